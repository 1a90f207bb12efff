"""The byte stream of one client, and what the operating system reports about the client's end."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
import time
from contextlib import suppress

from notchjunction.net.event_loop import max_unread_age
from notchjunction.net.socket_stream import NodeStream, Unread

# Bytes read at once of what is dropped.
DROP_CHUNK_BYTES = 64 * 1024
UNREAD_COUNT = struct.Struct("i")  # the result of FIONREAD
# Poll events that report the end of the connection, also while bytes are unread.
END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientStream(NodeStream):
    """Records when the last bytes arrived."""

    arrived_at = 0.0  # s, monotonic; the earliest time at which the bytes read last may have arrived

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads bytes, and records when they may have arrived.

        Returns their number; None if there are none.
        """
        count = super().read_from_fd(buf)
        if count:
            self.arrived_at = time.monotonic() - max_unread_age()
        return count

    def unread_bytes(self) -> int:
        """Returns how many bytes have arrived that have not been read.

        These are the bytes that the operating system holds, if it can tell, and those in this stream's
        buffer, which fills by a chunk while no read is in progress.
        """
        if self.closed():
            return 0
        buffered = int(self._read_buffer_size)
        try:
            count = fcntl.ioctl(self.socket, termios.FIONREAD, bytes(UNREAD_COUNT.size))
        except OSError:
            return buffered
        return buffered + int(UNREAD_COUNT.unpack(count)[0])

    def drop_unread(self, max_bytes: int) -> int:
        """Reads and drops bytes that have arrived, up to `max_bytes`; returns how many.

        This costs far less than a read. Nothing is dropped while the buffer here holds earlier bytes, or a
        read is in progress.
        """
        if self.closed() or self.reading() or self._read_buffer_size:
            return 0
        dropped = 0
        with suppress(OSError):
            while dropped < max_bytes:
                size = min(DROP_CHUNK_BYTES, max_bytes - dropped)
                received = len(self.socket.recv(size, socket.MSG_DONTWAIT))
                dropped += received
                if received < size:
                    break
        return dropped

    def has_unread(self) -> bool:
        """Whether bytes or the end of the stream are unread, or the operating system cannot tell."""
        return self.unread() is not Unread.NOTHING

    def is_peer_connected(self) -> bool:
        """Whether the client is still connected as far as the operating system knows.

        Guards against attempts for a client that has gone. Its end may come after unread bytes, or may have
        arrived only just now.
        """
        unread = self.unread()
        if unread in (Unread.END, Unread.NOTHING):
            return unread is Unread.NOTHING
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        with suppress(OSError):
            return not any(events & END_EVENTS for _, events in poll.poll(0))
        return True  # nothing reports an end
