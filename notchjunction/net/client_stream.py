"""The byte stream of one client, and what the operating system reports about the client's end."""

from __future__ import annotations

import fcntl
import select
import struct
import termios
import time
from contextlib import suppress

from notchjunction.net.event_loop import max_unread_age
from notchjunction.net.socket_stream import NodeStream, Unread

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
        """Returns how many bytes the operating system holds that have not been read; 0 if it cannot tell."""
        if self.closed():
            return 0
        try:
            count = fcntl.ioctl(self.socket, termios.FIONREAD, bytes(UNREAD_COUNT.size))
        except OSError:
            return 0
        return int(UNREAD_COUNT.unpack(count)[0])

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
