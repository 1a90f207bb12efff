"""The budget of open descriptors: each connection takes one and gives it back where it is closed."""

from __future__ import annotations

import errno

OWN = 16  # descriptors of the program itself: standard streams, event loop, listener, discovery, and slack
MARGIN = 0.1  # share of the limit left unused; closed sockets are counted late by the operating system
SERVERS_LEAST = 1 / 3  # share that callers never get: without connections to servers none of them is served

SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # the operating system has none to give
SHORT_PAUSE = 0.05  # s until a listener is heard again where there was none for who came


class Descriptors:
    def __init__(self, limit: int, kept_back: int = 0) -> None:
        self._margin = int(limit * MARGIN)
        self._most = max(8, limit - self._margin - OWN - kept_back)
        self._callers_most = self._most - int(self._most * SERVERS_LEAST)
        self.held = 0
        self.callers = 0
        # What another process of the same node uses, while there is one: the limit is the node's.
        self.elsewhere = 0
        self.callers_elsewhere = 0

    def full(self) -> bool:
        return self.held + self.elsewhere >= self._most

    def past_callers_share(self) -> bool:
        return self.callers + self.callers_elsewhere >= self._callers_most

    def full_of_callers(self) -> bool:
        return self.past_callers_share() or self.full()

    def spent(self) -> bool:
        """Whether half the margin is used too."""
        over = self._margin // 2
        held, callers = self.held + self.elsewhere, self.callers + self.callers_elsewhere
        return held >= self._most + over or callers >= self._callers_most + over

    def take(self) -> None:
        self.held += 1

    def give_back(self) -> None:
        self.held -= 1

    def take_caller(self) -> None:
        self.callers += 1
        self.take()

    def give_back_caller(self) -> None:
        self.callers -= 1
        self.give_back()
