"""The clock of the emulator's models on a real event loop, for models behind sockets."""

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
        """Unix time (s); steps of the system clock after the start have no effect on it."""
        return time.monotonic() + self._offset

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Calls `due` in `delay` seconds, or as soon as possible if that is negative."""
        self._loop.call_later(max(0.0, delay), due)
