"""The clock of the emulator's models: virtual in a `World`, real where the testbed runs them on sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Clock(Protocol):
    """A clock with timers."""

    @property
    def now(self) -> float:
        """Unix time (s) without jumps."""

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Call `due` in `delay` seconds, never inside this call; timers due at the same time run in order."""
