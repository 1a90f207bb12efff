"""Tells a peer that takes bytes slowly from one that takes none.

The operating system reports a full socket as writable only once a good part of its send buffer is free. A
slow peer may need longer for that part than the stall timeout. So progress is measured by the bytes that the
peer has acknowledged, and not by the bytes that the operating system has accepted.

A peer whose receive buffer is full acknowledges nothing either until it has read a part of it, on Linux a
sixteenth (tcp_select_window). So a peer also gets the time in which a slow one reads that much.
"""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.iostream import StreamClosedError

from notchjunction.net.socket_stream import NodeStream

STALL_TIMEOUT_S = 10.0  # without a byte sent or acknowledged by the peer; above the pauses of a slow one
CHECK_INTERVAL_S = 1.0  # between checks for acknowledged bytes
MIN_BYTES_PER_S = 48 * 1024  # of a peer in a body; slow ones move 64 kB a second
# The part of its receive buffer that a peer reads before it acknowledges further bytes.
WINDOW_STEP_SHARE = 1 / 16


class WriteStallDetector:
    """Watches one write that waits for its peer."""

    def __init__(self, stream: NodeStream) -> None:
        self._stream = stream
        self._loop = asyncio.get_running_loop()
        self._acknowledged = stream.bytes_acknowledged()
        self._progress_at = self._loop.time()

    @property
    def _timeout(self) -> float:
        """How long (s) the peer may acknowledge nothing."""
        return STALL_TIMEOUT_S + WINDOW_STEP_SHARE * self._stream.max_peer_window / MIN_BYTES_PER_S

    def has_stalled(self) -> bool:
        """Whether the peer has acknowledged no byte for longer than a slow one needs."""
        now = self._loop.time()
        acknowledged = self._stream.bytes_acknowledged()
        if acknowledged is not None and acknowledged != self._acknowledged:
            self._acknowledged = acknowledged
            self._progress_at = now
        return now - self._progress_at >= self._timeout

    def until_next_check(self) -> float:
        """Returns how long (s) to wait before `has_stalled` is worth a call."""
        remaining = self._progress_at + self._timeout - self._loop.time()
        return min(CHECK_INTERVAL_S, max(0.0, remaining))


async def wait_until_written(
    stream: NodeStream, written: asyncio.Future[None], *interrupts: asyncio.Future[Any]
) -> bool:
    """Waits until the operating system has accepted a write, or until one of the interrupts is done.

    Returns whether the write was accepted.

    Raises:
        StreamClosedError: The connection has ended, or the peer takes no bytes.
    """
    if not written.done():
        await _wait_for_any({written, *interrupts}, WriteStallDetector(stream))
    if written.done():
        written.result()
    return written.done()


async def _wait_for_any(futures: set[asyncio.Future[Any]], stall_detector: WriteStallDetector) -> None:
    done: set[asyncio.Future[Any]] = set()
    while not done:
        timeout = stall_detector.until_next_check()
        done, _ = await asyncio.wait(futures, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        if not done and stall_detector.has_stalled():
            # Guards against a peer that never reads, which a drain would wait for.
            raise StreamClosedError
