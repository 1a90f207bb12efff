"""The base class of the node's byte streams, and functions that end a connection without a reset."""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
import termios
from contextlib import suppress
from enum import Enum, auto

from tornado.iostream import IOStream

# Errors of recv(2) and send(2) for a temporary shortage of memory; the connection persists.
OUT_OF_MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
# The result of TIOCOUTQ: how many bytes the peer has not acknowledged.
SEND_QUEUE_SIZE = struct.Struct("i")
# In tcp_info: the receive window that the peer advertised last (bytes). Older kernels lack the field.
PEER_WINDOW = struct.Struct("I")
PEER_WINDOW_OFFSET = 228
# Bytes read and discarded before a close; reading more is not worth its cost.
MAX_DISCARDED_BYTES = 1024 * 1024
# Bytes of one such read.
DISCARD_CHUNK_BYTES = 64 * 1024


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

    def observe_peer_window(self) -> None:
        """Updates `max_peer_window`; it stays as it is if the operating system cannot tell the window."""
        if self.closed():
            return
        size = PEER_WINDOW_OFFSET + PEER_WINDOW.size
        with suppress(OSError):
            info = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
            if len(info) == size:
                (window,) = PEER_WINDOW.unpack_from(info, PEER_WINDOW_OFFSET)
                self.max_peer_window = max(self.max_peer_window, window)

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


def end_sending(sock: socket.socket) -> None:
    """Closes the sending side of a connection, which may have ended already."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def end_sending_and_discard(sock: socket.socket) -> None:
    """Closes the sending side and discards unread bytes. Closing the socket then sends no reset."""
    end_sending(sock)
    discard_unread(sock)


def discard_unread(sock: socket.socket) -> None:
    """Reads and discards unread bytes.

    A close with unread bytes sends a reset, which may destroy a response in transit.
    """
    with suppress(OSError):
        for _ in range(MAX_DISCARDED_BYTES // DISCARD_CHUNK_BYTES):
            if not sock.recv(DISCARD_CHUNK_BYTES, socket.MSG_DONTWAIT):
                return
