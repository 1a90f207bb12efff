"""The budget of open descriptors: each connection takes one and gives it back where it is closed."""

from __future__ import annotations

OWN = 16  # descriptors of the program itself: standard streams, event loop, listener, discovery, and slack
MARGIN = 0.1  # share of the limit left unused; closed sockets are counted late by the operating system


class Descriptors:
    def __init__(self, limit: int) -> None:
        self._most = max(8, int(limit * (1 - MARGIN)) - OWN)
        self.held = 0

    def full(self) -> bool:
        return self.held >= self._most

    def take(self) -> None:
        self.held += 1

    def give_back(self) -> None:
        self.held -= 1
