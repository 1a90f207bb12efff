"""The budget of memory for the bytes of clients' requests, from the memory limit of the node.

A client's pace decides for how long the node holds the bytes of its request. So a crowd of slow clients could
make the node hold more than its memory limit, and be killed. Each connection reserves room before it reads a
body, and reads further requests ahead only while there is room.
"""

from __future__ import annotations

import asyncio
import math
import os
from collections import deque
from contextlib import suppress
from pathlib import Path

MIB = 1024 * 1024
# Left for what grows with the node's work and not with its clients' bytes: the list, records, upgrades.
WORK_BYTES = 8 * MIB
# Bytes of memory for each byte held: it is copied as it is parsed and sent, and freed blocks leave gaps.
COPIES = 3
# The least budget, however small the limit: some requests with large bodies can always be served.
MIN_BUDGET_BYTES = 2 * MIB
# Assumed memory of a process that has just started, where the operating system does not tell it.
DEFAULT_RESIDENT_BYTES = 32 * MIB
# Further requests are read ahead only while less than this share is reserved.
READ_AHEAD_SHARE = 0.5
# All connections together read no more than this share in one turn of the event loop.
READ_SHARE = 0.25
MIN_READ_BYTES = 4 * 1024
MAX_READ_BYTES = 64 * 1024


def resident_bytes() -> int:
    """Returns the memory that this process uses now."""
    with suppress(OSError, ValueError, IndexError):
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    return DEFAULT_RESIDENT_BYTES


class MemoryBudget:
    """Counts the bytes that are reserved, in all processes of a node by an even share."""

    def __init__(self, limit: float = math.inf, resident: int = 0) -> None:
        """Starts with nothing reserved.

        Args:
            limit: The memory limit of the node in bytes; inf if there is none.
            resident: What a process uses without any request, in bytes.
        """
        self._limit = limit
        self._resident = resident
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self.reserved = 0
        self.set_process_count(1)

    def set_process_count(self, processes: int) -> None:
        """Sets how many processes of the node share its memory limit."""
        available = self._limit / processes - self._resident - WORK_BYTES
        self._budget = max(MIN_BUDGET_BYTES, available / COPIES)

    @property
    def allows_read_ahead(self) -> bool:
        """Whether there is room for requests beyond those that are being served."""
        return self.reserved < READ_AHEAD_SHARE * self._budget

    def read_size(self, connections: int) -> int:
        """Returns how many bytes a connection reads at once, as all may be readable at the same moment."""
        share = READ_SHARE * self._budget / max(1, connections)
        return int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, share)))

    def add(self, size: int) -> None:
        """Counts bytes that have been read already."""
        self.reserved += size

    async def reserve(self, size: int, timeout: float) -> bool:
        """Reserves room for bytes that are to be read; returns False if there is none within `timeout` s."""
        if not self._waiting and self._has_room(size):
            self.reserved += size
            return True
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = (size, granted)
        self._waiting.append(waiter)
        try:
            await asyncio.wait({granted}, timeout=timeout)
        except BaseException:
            if granted.done():
                self.release(size)
            raise
        finally:
            if not granted.done():
                self._waiting.remove(waiter)
                self._grant()
        return granted.done()

    def release(self, size: int) -> None:
        """Gives reserved or added bytes back."""
        self.reserved -= size
        self._grant()

    def _has_room(self, size: int) -> bool:
        return self.reserved + size <= self._budget or self.reserved <= 0

    def _grant(self) -> None:
        """Grants waiting reservations in their order."""
        while self._waiting and self._has_room(self._waiting[0][0]):
            size, granted = self._waiting.popleft()
            self.reserved += size
            granted.set_result(None)
