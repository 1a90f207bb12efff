"""The memory of a node, divided among its connections, open requests and buffered bytes.

The pace of clients and endpoints decides for how long the node holds a connection, a request and its bytes.
So a crowd of slow ones could make the node hold more than its memory limit, and be killed. `MemoryBudget`
owns the limit: it says how many clients may be connected, and has a pool for open requests and one for
buffered bytes. Whoever opens a request or buffers bytes takes them from a pool first, and gives them back.
"""

from __future__ import annotations

import asyncio
import math
import os
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

KIB = 1024
MIB = 1024 * KIB
# Left for what grows with the node's work and not with its clients: statistics of some seconds, upgrades.
WORK_BYTES = 6 * MIB
# A client's connection without an open request: its socket, task and parser, also as it waits for a body.
CONNECTION_BYTES = 12 * KIB
# An open request: its tasks, attempts and connection to an endpoint, and pieces of the least size.
REQUEST_BYTES = 40 * KIB
# Bytes of memory for each byte buffered: as it is read, parsed, and encoded to be sent.
COPIES = 3
# An endpoint of the list, with what the node has learned of it.
ENDPOINT_BYTES = 4 * KIB
# Connections get no more than this share of the available memory, and open requests this share of the rest.
CONNECTION_SHARE = 0.5
REQUEST_SHARE = 0.6
# Requests whose peers decide how long they last get no more than this share of the pool of open requests.
SLOW_SHARE = 0.6
# Streams get this share of the buffered bytes for pieces above the least size; whole messages get the rest.
STREAM_SHARE = 0.4
# The least amount to divide, however small the limit: some requests can always be served.
MIN_AVAILABLE_BYTES = 2 * MIB
# Assumed memory of a process that has just started, where the operating system does not tell it.
DEFAULT_RESIDENT_BYTES = 32 * MIB
# Further requests are read ahead only while less than this share of the buffered bytes is taken.
READ_AHEAD_SHARE = 0.5
# All connections together read no more than this share of the buffered bytes in one turn of the event loop.
READ_SHARE = 0.5
MIN_READ_BYTES = 4 * KIB
MAX_READ_BYTES = 64 * KIB


def resident_bytes() -> int:
    """Returns the memory that this process uses now."""
    with suppress(OSError, ValueError, IndexError):
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    return DEFAULT_RESIDENT_BYTES


@dataclass(eq=False, slots=True)
class _Waiter:
    """A reservation that waits for room."""

    size: int
    granted: asyncio.Future[None]


class MemoryPool:
    """An amount of memory in bytes, from which reservations are taken in the order of their arrival."""

    def __init__(self, size: float = math.inf) -> None:
        self._size = size
        self._waiting: deque[_Waiter] = deque()
        self.reserved = 0

    @property
    def size(self) -> float:
        """The amount that can be reserved (bytes)."""
        return self._size

    def resize(self, size: float) -> None:
        """Changes the amount that can be reserved; earlier reservations stay."""
        self._size = size
        self._grant()

    def share_taken(self) -> float:
        """Returns which share of the pool is reserved."""
        return self.reserved / self._size

    def has_room(self, size: int) -> bool:
        """Whether a reservation would be granted at once. The first one always is, whatever its size."""
        return self.reserved + size <= self._size or self.reserved <= 0

    def add(self, size: int) -> None:
        """Counts bytes that are held already, whether or not there is room."""
        self.reserved += size

    def try_reserve(self, size: int) -> bool:
        """Reserves room if there is some that no earlier reservation waits for. Returns whether it did."""
        if self._waiting or not self.has_room(size):
            return False
        self.reserved += size
        return True

    async def reserve(self, size: int, timeout: float) -> bool:
        """Reserves room; returns False if there is none within `timeout` s."""
        if self.try_reserve(size):
            return True
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            await asyncio.wait({waiter.granted}, timeout=timeout)
        except BaseException:
            if waiter.granted.done():
                self.release(size)
            raise
        finally:
            if not waiter.granted.done():
                self._waiting.remove(waiter)
                self._grant()
        return waiter.granted.done()

    def release(self, size: int) -> None:
        """Gives reserved or added bytes back."""
        self.reserved -= size
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self.has_room(self._waiting[0].size):
            waiter = self._waiting.popleft()
            self.reserved += waiter.size
            waiter.granted.set_result(None)


class MemoryBudget:
    """Divides the memory limit of a node, in all of its processes by an even share."""

    def __init__(self, limit: float = math.inf, resident: int = 0, max_clients: int = 0) -> None:
        """Divides what the limit leaves.

        Args:
            limit: The memory limit of the node in bytes; inf if there is none.
            resident: What a process uses without any client, in bytes.
            max_clients: How many clients the limit of descriptors allows.
        """
        self._limit = limit
        self._resident = resident
        self._max_clients = max_clients
        self._process_count = 1
        self._endpoint_count = 0
        self.requests = MemoryPool()
        self.buffers = MemoryPool()
        self._divide()

    @property
    def is_limited(self) -> bool:
        """Whether the node has a memory limit."""
        return math.isfinite(self._limit)

    def set_process_count(self, processes: int) -> None:
        """Sets how many processes of the node share its memory limit."""
        self._process_count = processes
        self._divide()

    def set_endpoint_count(self, endpoints: int) -> None:
        """Sets how many endpoints the list has."""
        self._endpoint_count = endpoints
        self._divide()

    def _divide(self) -> None:
        own = self._resident + WORK_BYTES + self._endpoint_count * ENDPOINT_BYTES
        available = max(MIN_AVAILABLE_BYTES, self._limit / self._process_count - own)
        connections = min(CONNECTION_SHARE * available, self._max_clients * CONNECTION_BYTES)
        self.max_clients = max(1, int(CONNECTION_SHARE * min(available, 1e12) / CONNECTION_BYTES))
        rest = available - connections
        self.requests.resize(REQUEST_SHARE * rest)
        buffers = (1 - REQUEST_SHARE) * rest / COPIES
        self.buffers.resize((1 - STREAM_SHARE) * buffers)
        self._stream_bytes = STREAM_SHARE * buffers

    @property
    def max_slow_requests(self) -> float:
        """How many requests may be open at once whose peers decide how long they last."""
        return max(1.0, SLOW_SHARE * self.requests.size / REQUEST_BYTES)

    @property
    def reserved(self) -> int:
        """Bytes that are reserved for open requests and buffered bytes."""
        return self.requests.reserved + COPIES * self.buffers.reserved

    @property
    def allows_read_ahead(self) -> bool:
        """Whether there is room for requests beyond those that are being served."""
        return self.buffers.share_taken() < READ_AHEAD_SHARE

    def read_size(self, connections: int) -> int:
        """Returns how many bytes a connection reads at once, as all may be readable at the same moment."""
        share = READ_SHARE * self.buffers.size / max(1, connections)
        return int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, share)))

    def response_read_size(self) -> int:
        """Returns how many bytes of a response are read at once, as all may be readable together."""
        share = READ_SHARE * (self.buffers.size - self.buffers.reserved) * REQUEST_BYTES
        share /= max(REQUEST_BYTES, self.requests.reserved)
        return int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, share)))

    def piece_size(self, streams: int) -> int:
        """Returns how many bytes of a body each of so many open streams may hold."""
        share = self._stream_bytes / max(1, streams)
        return int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, share)))


class RequestMemory:
    """What one open request has reserved; released as a whole at its end."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._is_open = False
        self._buffered = 0

    async def open(self, timeout: float) -> bool:
        """Reserves room for the request; returns False if there is none within `timeout` s."""
        self._is_open = await self._budget.requests.reserve(REQUEST_BYTES, timeout)
        return self._is_open

    def adopt(self) -> None:
        """Counts a request that another process of the node accepted, whether or not there is room."""
        self._is_open = True
        self._budget.requests.add(REQUEST_BYTES)

    def read_size(self) -> int:
        """Returns how many bytes of a response to read at once."""
        return self._budget.response_read_size()

    def buffer(self, size: int) -> bool:
        """Reserves room for bytes of a message that is buffered. Returns whether there is some now."""
        if not self._budget.buffers.try_reserve(size):
            return False
        self._buffered += size
        return True

    def close(self) -> None:
        """Gives back all that is reserved; a second call changes nothing."""
        if self._is_open:
            self._is_open = False
            self._budget.requests.release(REQUEST_BYTES)
        self.release_buffered()

    def release_buffered(self) -> None:
        """Gives back the room for bytes of messages, which have been forwarded or dropped."""
        buffered, self._buffered = self._buffered, 0
        if buffered:
            self._budget.buffers.release(buffered)
