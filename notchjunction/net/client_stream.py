"""The byte stream of one client, and what the operating system knows of its other end."""

from __future__ import annotations

import select
import time
from contextlib import suppress

from notchjunction.net.event_loop import waited_most
from notchjunction.net.socket_stream import NodeStream, Unread

# Poll events that report an end of the connection, also one behind unread bytes.
END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientStream(NodeStream):
    """Counts what the operating system has accepted for sending, and notes when the last bytes arrived."""

    bytes_sent = 0  # accepted by the operating system
    arrived_at = 0.0  # s, monotonic; the earliest moment at which the bytes read last can have arrived

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Bytes read, None where there are none yet; notes when they can have arrived."""
        count = super().read_from_fd(buf)
        if count:
            self.arrived_at = time.monotonic() - waited_most()
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Bytes that the operating system accepted."""
        count = super().write_to_fd(data)
        self.bytes_sent += count
        return count

    def has_unread(self) -> bool:
        """Whether bytes, or an end, wait in the operating system, or it can't be looked at."""
        return self.unread() is not Unread.NOTHING

    def is_peer_connected(self) -> bool:
        """Whether the client is still connected as far as the operating system knows.

        Guards against a request sent on for a client that has gone: the end may stand behind unread bytes, or
        have come a moment ago.
        """
        unread = self.unread()
        if unread in (Unread.END, Unread.NOTHING):
            return unread is Unread.NOTHING
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        with suppress(OSError):
            return not any(events & END_EVENTS for _, events in poll.poll(0))
        return True  # nothing reports an end
