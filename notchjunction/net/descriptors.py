"""The budget of open descriptors: each connection takes one and gives it back where it is closed."""

from __future__ import annotations

OWN = 16  # descriptors of the program itself: standard streams, event loop, listener, discovery, and slack
MARGIN = 0.1  # share of the limit left unused; closed sockets are counted late by the operating system


class Descriptors:
    def __init__(self, limit: int) -> None:
        self._margin = int(limit * MARGIN)
        self._most = max(8, limit - self._margin - OWN)
        self.held = 0

    def full(self) -> bool:
        return self.held >= self._most

    def spent(self) -> bool:
        """Whether half the margin is used too."""
        return self.held >= self._most + self._margin // 2

    def take(self) -> None:
        self.held += 1

    def give_back(self) -> None:
        self.held -= 1
