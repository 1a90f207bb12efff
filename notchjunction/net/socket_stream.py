"""The base class of the node's byte streams, and functions that end a connection without a reset."""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, auto
from typing import NamedTuple, TypeVar

from tornado.iostream import IOStream

Result = TypeVar("Result")

# Errors of recv(2) and send(2) for a temporary shortage of memory; the connection persists.
OUT_OF_MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
# How often a call is made that fails with one of them, where the connection is closed right after it.
MAX_CALLS = 5
# The result of TIOCOUTQ: how many bytes the peer has not acknowledged.
SEND_QUEUE_SIZE = struct.Struct("i")
# Fields of tcp_info: the scale of the peer's windows (the lower four bits), the round trip (microseconds),
# the bytes that the peer has acknowledged, and the receive window that it advertised last (bytes). Older
# kernels lack the last one.
TCP_INFO_FIELDS = struct.Struct("=6xB61xI48xQ100xI")
WINDOW_SCALE_MASK = 0x0F
MAX_UNSCALED_WINDOW = 65535
# Bytes read and discarded before a close; reading more is not worth its cost.
MAX_DISCARDED_BYTES = 1024 * 1024
# Bytes of one such read.
DISCARD_CHUNK_BYTES = 64 * 1024


class TcpInfo(NamedTuple):
    """What the operating system knows of a TCP connection."""

    round_trip: float  # s, smoothed
    window_scale: int  # the peer's windows are this power of two times what their 16 bits can hold
    bytes_acknowledged: int  # by the peer, of all bytes sent on the connection
    peer_window: int  # bytes; the receive window that the peer advertised last


class Unread(Enum):
    """What the operating system holds that has not been read."""

    NOTHING = auto()
    BYTES = auto()
    END = auto()
    UNKNOWN = auto()  # the look failed for lack of memory


class NodeStream(IOStream):
    """A stream that survives a shortage of memory: the call is repeated, like one that would block.

    Any other error ends the connection, whatever its error code.
    """

    bytes_sent = 0  # accepted by the operating system
    max_peer_window = 0  # bytes; the largest receive window of the peer that was observed

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads bytes. Returns their number; None if none are there.

        Raises:
            OSError: The connection has ended.
        """
        try:
            return super().read_from_fd(buf)
        except OSError as error:
            if error.errno in OUT_OF_MEMORY_ERRORS:
                return None
            raise

    def write_to_fd(self, data: memoryview) -> int:
        """Writes bytes. Returns how many the operating system accepted.

        Raises:
            BlockingIOError: None can be written now.
            OSError: The connection has ended.
        """
        try:
            count: int = super().write_to_fd(data)
        except OSError as error:
            if error.errno in OUT_OF_MEMORY_ERRORS:
                raise BlockingIOError(error.errno, error.strerror) from error
            raise
        self.bytes_sent += count
        return count

    def bytes_acknowledged(self) -> int | None:
        """Returns how many of the bytes sent here the peer's operating system has acknowledged.

        Only differences count: it is negative while bytes are unacknowledged that another process sent before
        this one took the connection over. None if the operating system cannot tell.
        """
        if self.closed():
            return None
        try:
            queued = fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(SEND_QUEUE_SIZE.size))
        except OSError:
            return None
        return self.bytes_sent - int(SEND_QUEUE_SIZE.unpack(queued)[0])

    def round_trip(self) -> float:
        """Returns the time (s) to the peer and back; 0 if the operating system cannot tell."""
        info = self._tcp_info()
        return 0.0 if info is None else info.round_trip

    def observe_peer_window(self) -> None:
        """Updates `max_peer_window`; it stays as it is if the operating system cannot tell the window."""
        if info := self._tcp_info():
            self.max_peer_window = max(self.max_peer_window, info.peer_window)

    def assume_largest_peer_window(self) -> None:
        """Sets `max_peer_window` for a connection that another process has used.

        The window was never larger than its scale allows, nor, once it is full, than all bytes acknowledged.
        """
        if info := self._tcp_info():
            largest = MAX_UNSCALED_WINDOW << info.window_scale
            self.max_peer_window = min(largest, info.bytes_acknowledged)

    def _tcp_info(self) -> TcpInfo | None:
        """Returns what the operating system knows of the connection; None if it cannot tell."""
        if self.closed():
            return None
        try:
            info = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FIELDS.size)
        except OSError:
            return None
        if len(info) < TCP_INFO_FIELDS.size:
            return None
        scales, round_trip_us, bytes_acknowledged, peer_window = TCP_INFO_FIELDS.unpack(info)
        return TcpInfo(round_trip_us / 1e6, scales & WINDOW_SCALE_MASK, bytes_acknowledged, peer_window)

    def unread(self) -> Unread:
        """Returns what is unread, without reading it."""
        if self.closed():
            return Unread.END
        try:
            return Unread.BYTES if self.socket.recv(1, socket.MSG_PEEK) else Unread.END
        except BlockingIOError:
            return Unread.NOTHING
        except OSError as error:
            return Unread.UNKNOWN if error.errno in OUT_OF_MEMORY_ERRORS else Unread.END

    def _is_connreset(self, exc: BaseException) -> bool:
        # Guards against an error line in the log when a connection ends with, say, "host unreachable".
        return isinstance(exc, OSError)


def call_despite_shortage(call: Callable[..., Result], *arguments: bytes | int) -> Result:
    """Makes a system call, and again while it fails for a temporary shortage of memory, a few times at most.

    Raises:
        OSError: The call failed for another reason, or each time.
    """
    for _ in range(MAX_CALLS - 1):
        try:
            return call(*arguments)
        except OSError as error:
            if error.errno not in OUT_OF_MEMORY_ERRORS:
                raise
    return call(*arguments)


def end_sending(sock: socket.socket) -> None:
    """Closes the sending side of a connection, which may have ended already."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def end_sending_and_discard(sock: socket.socket) -> None:
    """Closes the sending side and discards unread bytes. Closing the socket then sends no reset."""
    end_sending(sock)
    discard_unread(sock)


def discard_unread(sock: socket.socket, max_bytes: int = MAX_DISCARDED_BYTES) -> int:
    """Reads and discards unread bytes, up to `max_bytes` and a chunk more; returns how many.

    A close with unread bytes sends a reset, which may destroy a response in transit.
    """
    discarded = 0
    with suppress(OSError):
        while discarded < max_bytes:
            received = len(call_despite_shortage(sock.recv, DISCARD_CHUNK_BYTES, socket.MSG_DONTWAIT))
            if not received:
                break
            discarded += received
    return discarded
