"""An event loop that knows since when the bytes that it reads may have been waiting.

The operating system does not tell when bytes came. A loop that is late reads them late, and what counts from
their coming would start too late: a request's deadline above all. Between two looks at the sockets they can
only have come after the earlier one.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from selectors import SelectorKey

WAITED_LEAST = 0.0005  # s of a look from which it has waited for what it found; shorter ones found it there


class ObservedSelector(selectors.DefaultSelector):
    """Notes of each look since when what it finds may have been there (s, monotonic)."""

    def __init__(self) -> None:
        super().__init__()
        self._looked_at = self.ready_since = time.monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        began = time.monotonic()
        found = super().select(timeout)
        now = time.monotonic()
        self.ready_since = now if now - began >= WAITED_LEAST else self._looked_at
        self._looked_at = now
        return found


class ObservedLoop(asyncio.SelectorEventLoop):
    """The usual loop on an observed selector."""

    def __init__(self) -> None:
        self.selector = ObservedSelector()
        super().__init__(self.selector)


def waited_most() -> float:
    """s that bytes which are read in this turn of the loop may have waited; 0 where nobody can tell."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, ObservedLoop):
        return 0.0
    return max(0.0, time.monotonic() - loop.selector.ready_since)
