"""What the emulator's parts need of time; virtual in the world, real where stand-ins play on sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    @property
    def now(self) -> float:
        """Unix time in seconds that never jumps."""

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Calls `due` after so many seconds; at once in order, never inside this call."""
