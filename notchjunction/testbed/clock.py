"""The emulator's clock on a real loop: the same server model serves behind a socket."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class LoopClock:
    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._offset = time.time() - time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() + self._offset

    def after(self, delay: float, due: Callable[[], None]) -> None:
        self._loop.call_later(max(0.0, delay), due)
