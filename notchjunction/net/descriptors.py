"""The budget of open descriptors: each connection takes one and gives it back where it is closed."""

from __future__ import annotations

import errno

BASE_DESCRIPTORS = (
    16  # descriptors of the program itself: standard streams, event loop, listener, discovery, and slack
)
MARGIN_SHARE = 0.1  # share of the limit left unused; closed sockets are counted late by the operating system
MIN_UPSTREAM_SHARE = (
    1 / 3
)  # share that callers never get: without connections to servers none of them is served

SHORTAGE_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # the operating system has none to give
SHORTAGE_PAUSE_S = 0.05  # s until a listener is heard again where there was none for who came


class Descriptors:
    def __init__(self, limit: int, reserved: int = 0) -> None:
        self._margin = int(limit * MARGIN_SHARE)
        self._max = max(8, limit - self._margin - BASE_DESCRIPTORS - reserved)
        self._max_clients = self._max - int(self._max * MIN_UPSTREAM_SHARE)
        self.in_use = 0
        self.clients = 0
        # What another process of the same node uses, while there is one: the limit is the node's.
        self.other_process = 0
        self.other_process_clients = 0

    def full(self) -> bool:
        return self.in_use + self.other_process >= self._max

    def clients_over_share(self) -> bool:
        return self.clients + self.other_process_clients >= self._max_clients

    def full_for_clients(self) -> bool:
        return self.clients_over_share() or self.full()

    def exhausted(self) -> bool:
        """Whether half the margin is used too."""
        over = self._margin // 2
        in_use, clients = self.in_use + self.other_process, self.clients + self.other_process_clients
        return in_use >= self._max + over or clients >= self._max_clients + over

    def take(self) -> None:
        self.in_use += 1

    def release(self) -> None:
        self.in_use -= 1

    def take_for_client(self) -> None:
        self.clients += 1
        self.take()

    def release_for_client(self) -> None:
        self.clients -= 1
        self.release()
