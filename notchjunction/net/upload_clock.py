"""Tells since when a client may have sent all of its request, although the node has not read all of it.

A client's time counts from its last byte. Where an endpoint takes a body slowly, the node reads it as slowly,
and the rest waits in the operating systems of the node and of the client. So the last byte may have been sent
long before the node reads it. Where the length of the body is not known, it counts as sent while bytes wait
and no further ones arrive.
"""

from __future__ import annotations

# Where this many bytes wait to be read, the endpoint is slower than the client, whose system may hold more.
MIN_BACKLOG_BYTES = 64 * 1024
# What that system and the packets on their way may hold: Linux lets a send buffer grow to 4 MiB.
MAX_CLIENT_BUFFER_BYTES = 5 * 1024 * 1024


class UploadClock:
    """Follows one body whose last byte has not been read; moments are seconds on the node's clock."""

    def __init__(self, time_left: float) -> None:
        """Starts with a body that is not whole; `time_left` (s) counts from the client's last byte."""
        self._time_left = time_left
        self._sent_since: float | None = None
        self._arrived = 0  # bytes of the body, read or not

    def update(self, now: float, received: int, unread: int, missing: int | None) -> None:
        """Records what is known now.

        Args:
            now: The present moment.
            received: Bytes of the body that have been read.
            unread: Bytes of the body that the node's operating system holds.
            missing: Bytes that have not been read of it; None if its length is not known.
        """
        before, self._arrived = self._arrived, received + unread
        if missing is None:
            is_still_sent = unread < MIN_BACKLOG_BYTES or self._arrived > before
            may_be_sent = not is_still_sent
        else:
            is_still_sent = unread == 0 or missing - unread > MAX_CLIENT_BUFFER_BYTES
            may_be_sent = unread >= min(MIN_BACKLOG_BYTES, missing)
        if is_still_sent:
            self._sent_since = None
        elif may_be_sent and self._sent_since is None:
            self._sent_since = now

    def elapsed(self, now: float) -> float:
        """Returns how much (s) of the client's time may have passed."""
        return 0.0 if self._sent_since is None else now - self._sent_since

    def has_expired(self, now: float) -> bool:
        """Whether the client's time may be over."""
        return self._sent_since is not None and self.elapsed(now) >= self._time_left
