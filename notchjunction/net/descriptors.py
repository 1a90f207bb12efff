"""The budget of file descriptors: each connection takes one, and releases it when it is closed."""

from __future__ import annotations

import errno
import sys

BASE_DESCRIPTORS = 16  # of the program itself: standard streams, event loop, listener, discovery, and slack
MARGIN_SHARE = 0.1  # of the limit, left unused: the operating system frees closed sockets with a delay
MIN_UPSTREAM_SHARE = 1 / 3  # that clients never get: without upstream connections no client is served
MAX_SLOW_SHARE = 1 / 3  # of the limit; the protocol's clients hold no more descriptors for their requests

# Errors of a call for which the operating system has no descriptor or no memory.
SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SHORTAGE_PAUSE_S = 0.05  # until a listener accepts again after an accept failed for lack of descriptors


class Descriptors:
    """Counts the descriptors in use and limits them, in total and for clients."""

    def __init__(self, limit: int, reserved: int = 0) -> None:
        self._margin = int(limit * MARGIN_SHARE)
        self._max = max(8, limit - self._margin - BASE_DESCRIPTORS - reserved)
        self._max_clients = self._max - int(self._max * MIN_UPSTREAM_SHARE)
        self._max_clients_here = sys.maxsize  # by the memory of this process alone
        # How many requests may be open whose clients decide how long they last: each takes two descriptors.
        self.max_slow_requests = max(1, int(limit * MAX_SLOW_SHARE))
        self.in_use = 0
        self.clients = 0
        # Used by another process of the same node, while there is one: the limit is for the whole node.
        self.other_process = 0
        self.other_process_clients = 0

    @property
    def max_clients(self) -> int:
        """How many clients this process may have, if it is the node's only one."""
        return min(self._max_clients, self._max_clients_here)

    def limit_clients(self, max_clients: int) -> None:
        """Sets how many clients the memory of this process allows, whatever others of the node have."""
        self._max_clients_here = max_clients

    def full(self) -> bool:
        """Whether all descriptors up to the margin are used."""
        return self.in_use + self.other_process >= self._max

    def clients_over_share(self) -> bool:
        """Whether clients use up their share."""
        return self._has_clients_beyond(0, 0)

    def full_for_clients(self) -> bool:
        """Whether there is no descriptor for another client, short of the margin."""
        return self.clients_over_share() or self.full()

    def exhausted(self) -> bool:
        """Whether half of the margin is used as well, in total or by clients."""
        extra = self._margin // 2
        extra_here = min(extra, max(1, int(self._max_clients_here * MARGIN_SHARE)))
        in_use = self.in_use + self.other_process
        return in_use >= self._max + extra or self._has_clients_beyond(extra, extra_here)

    def _has_clients_beyond(self, extra: int, extra_here: int) -> bool:
        """Whether there are so many clients more than the node, or this process, should have."""
        clients = self.clients + self.other_process_clients
        return clients >= self._max_clients + extra or self.clients >= self._max_clients_here + extra_here

    def take(self) -> None:
        """Counts a descriptor as used."""
        self.in_use += 1

    def release(self) -> None:
        """Counts a descriptor as free again."""
        self.in_use -= 1

    def take_for_client(self) -> None:
        """Counts a descriptor as used by a client."""
        self.clients += 1
        self.take()

    def release_for_client(self) -> None:
        """Counts a client's descriptor as free again."""
        self.clients -= 1
        self.release()
