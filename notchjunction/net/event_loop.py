"""An event loop that knows for how long the bytes that it reads may have been unread.

The operating system does not report when bytes arrived. A late event loop reads them late, and times that
start with their arrival would start too late, a request's deadline in particular. But bytes that a select
call finds cannot have arrived before the previous select call.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from selectors import SelectorKey

# A select call that took at least this long waited for its events; for a shorter one they were there before.
MIN_WAIT_S = 0.0005
# After a turn of this length events may be there already. A call that finds them may take long all the same,
# as other processes have the processor. So a call without a wait comes first.
LONG_TURN_S = 0.005


class ObservedSelector(selectors.DefaultSelector):
    """Records for each select call the earliest time (s, monotonic) at which its events may have occurred."""

    def __init__(self) -> None:
        super().__init__()
        self._selected_at = self.ready_since = time.monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Waits for events as the base class does, and records when they may have occurred."""
        is_turn_long = time.monotonic() - self._selected_at >= LONG_TURN_S
        may_wait = timeout is None or timeout > 0
        if may_wait and is_turn_long:
            events = self._select(0)
            if events:
                return events
        return self._select(timeout)

    def _select(self, timeout: float | None) -> list[tuple[SelectorKey, int]]:
        started_at = time.monotonic()
        events = super().select(timeout)
        now = time.monotonic()
        has_waited = timeout != 0 and now - started_at >= MIN_WAIT_S
        self.ready_since = now if has_waited else self._selected_at
        self._selected_at = now
        return events


class ObservedLoop(asyncio.SelectorEventLoop):
    """The standard event loop on an observed selector."""

    def __init__(self) -> None:
        self.selector = ObservedSelector()
        super().__init__(self.selector)


def max_unread_age() -> float:
    """Returns how long (s) bytes read in this turn of the loop may have been unread; 0 if that is unknown."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, ObservedLoop):
        return 0.0
    return max(0.0, time.monotonic() - loop.selector.ready_since)
