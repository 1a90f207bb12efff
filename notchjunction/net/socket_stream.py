"""The base of this node's byte streams: what a failing read or write says of the connection."""

from __future__ import annotations

import errno
import socket
from contextlib import suppress
from enum import Enum, auto

from tornado.iostream import IOStream

# What recv(2) and send(2) say where the system has no memory now; the connection stays.
OUT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
DISCARDED_MOST = 1024 * 1024  # bytes thrown away as a connection is given up; more costs too much
DISCARDED_AT_ONCE = 64 * 1024  # bytes of one such read


class Unread(Enum):
    """What waits in the operating system."""

    NOTHING = auto()
    BYTES = auto()
    END = auto()
    UNKNOWN = auto()  # it could not be looked at


class NodeStream(IOStream):
    """A stream that a shortage of memory does not end: the call is made again, as one that would block.

    Each other error is the connection's end, whatever the operating system calls it.
    """

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Bytes read; None where there are none yet. OSError at the connection's end."""
        try:
            return super().read_from_fd(buf)
        except OSError as error:
            if error.errno in OUT_OF_MEMORY:
                return None
            raise

    def write_to_fd(self, data: memoryview) -> int:
        """Bytes written. BlockingIOError where none can be now, OSError at the connection's end."""
        try:
            return super().write_to_fd(data)
        except OSError as error:
            if error.errno in OUT_OF_MEMORY:
                raise BlockingIOError(error.errno, error.strerror) from error
            raise

    def unread(self) -> Unread:
        """What has come and is not read yet, without reading it."""
        if self.closed():
            return Unread.END
        try:
            return Unread.BYTES if self.socket.recv(1, socket.MSG_PEEK) else Unread.END
        except BlockingIOError:
            return Unread.NOTHING
        except OSError as error:
            return Unread.UNKNOWN if error.errno in OUT_OF_MEMORY else Unread.END

    def _is_connreset(self, exc: BaseException) -> bool:
        # Guards against a line of error in the log for an end that is called, say, host unreachable.
        return isinstance(exc, OSError)


def end_sending(sock: socket.socket) -> None:
    """Tells the other side that nothing more comes; the connection may have ended already."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def end_sending_and_discard(sock: socket.socket) -> None:
    """Ends the sending and throws away what has come; the socket can be closed then without a reset."""
    end_sending(sock)
    discard_unread(sock)


def discard_unread(sock: socket.socket) -> None:
    """Reads what has come and throws it away: a close over it is a reset, which may destroy an answer."""
    with suppress(OSError):
        for _ in range(DISCARDED_MOST // DISCARDED_AT_ONCE):
            if not sock.recv(DISCARDED_AT_ONCE, socket.MSG_DONTWAIT):
                return
