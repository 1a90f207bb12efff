"""What the emulator needs of time: virtual in a world, real where the testbed runs it on sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """The time, and timers on it."""

    @property
    def now(self) -> float:
        """Unix time in seconds that never jumps."""

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Call `due` in `delay` seconds; timers due at once run in order, never inside this call."""
