"""The emulator's clock on a real event loop: the same server model serves behind a socket."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class LoopClock:
    """Wall-clock time that never goes back, and timers on the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = time.time() - time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the epoch; steps of the system's clock after the start are not seen."""
        return time.monotonic() + self._offset

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Calls `due` in `delay` seconds, at once where that is negative."""
        self._loop.call_later(max(0.0, delay), due)
