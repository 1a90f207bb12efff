"""Tells since when a client may have sent all of its request, although the node has not read all of it.

A client's time counts from its last byte. Where an endpoint takes a body slowly, the node reads it as slowly,
and the rest waits in the operating systems of the node and of the client. So the last byte may have been sent
long before the node reads it, and the node cannot see what the client's system holds.

The clock therefore keeps the latest moment at which the last byte had certainly not been sent yet. Two
observations prove that of a moment:

- Everything that has arrived has been read, and the client could send: then its system holds nothing. A
  client can send while its connection's window is open, that is while few bytes wait to be read here.
- More of the body arrives later than the client's system can have held at that moment.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# As many unread bytes leave the window of a connection open: Linux offers 64 KiB at least, and a sender waits
# for no more than half of it. The window may be closed with more, and until the client has had time to send.
OPEN_WINDOW_BYTES = 32 * 1024
# With a window that is open again, the bytes of a client that waited for it arrive within this time, or
# within so many round trips if those take longer.
REOPENING_S = 0.02
REOPENING_ROUND_TRIPS = 2
# The same for a client whose bytes do arrive, but one after the other.
CATCH_UP_S = 0.1
CATCH_UP_ROUND_TRIPS = 10
# Longer round trips are not believed.
MAX_ROUND_TRIP_S = 1.0
# What the client's system and the packets on their way may hold: Linux lets a send buffer grow to 4 MiB.
MAX_CLIENT_BUFFER_BYTES = 5 * 1024 * 1024
# Bytes between two samples of how much had arrived when.
SAMPLE_BYTES = 256 * 1024


class ArrivalSample(NamedTuple):
    """How many bytes of a request had arrived at a moment, read or not."""

    at: float  # s
    arrived: int


class UploadClock:
    """Follows the bytes of one request; moments are seconds on the node's clock."""

    def __init__(self, started_at: float, round_trip: float = 0.0) -> None:
        """Starts at the arrival of the request's first byte; `round_trip` (s) is that of its connection."""
        round_trip = min(round_trip, MAX_ROUND_TRIP_S)
        # By then (s) nothing unread proves that the client's system holds nothing.
        self.reopening = max(REOPENING_S, REOPENING_ROUND_TRIPS * round_trip)
        self._catch_up = max(CATCH_UP_S, CATCH_UP_ROUND_TRIPS * round_trip)
        self._unsent_at = started_at  # the last byte had not been sent then
        self._observed_at = started_at  # the latest observation
        self._arrived = 0  # bytes of the request, read or not
        self._grew_at = started_at  # when that number grew last
        self._read = 0  # bytes of the request, head and framing included
        self._may_wait = False  # the client may wait for its window to open
        self._restrained_at = started_at  # the last moment at which the node let bytes wait
        self._empty_since: float | None = None  # since when nothing has been unread
        self._samples: deque[ArrivalSample] = deque()  # oldest first

    def note_read(self, now: float, size: int, unread: int) -> None:
        """Records a read of `size` bytes, with the number of bytes that are unread after it."""
        self._read += size
        self._note_growth(now, self._read + unread)
        self._note_backlog(now, size + unread)
        self._empty_since = None if unread else now

    def note_held_back(self, now: float) -> None:
        """Records that the node does not read now, as there is no room for what it would read."""
        self._restrained_at = now

    def observe(self, now: float, unread: int, missing: int | None) -> None:
        """Records what is known of an incomplete body. All that has been read of it has been parsed.

        Args:
            now: The present moment.
            unread: Bytes that have arrived and have not been read.
            missing: Bytes of the body that have not been read; None if its length is not known.
        """
        self._observed_at = now
        self._note_backlog(now, unread)
        if unread == 0:
            self._note_nothing_unread(now)
        else:
            self._empty_since = None
        # Bytes of a body without a length may hold its end.
        is_end_unsent = unread == 0 or (missing is not None and unread < missing)
        if is_end_unsent and not self._may_wait:
            self._unsent_at = now
        self._note_arrivals(now, unread, missing)

    def _note_backlog(self, now: float, waiting: int) -> None:
        if waiting >= OPEN_WINDOW_BYTES:
            self._may_wait = True
            self._restrained_at = now

    def _note_growth(self, now: float, arrived: int) -> None:
        if arrived > self._arrived:
            self._arrived, self._grew_at = arrived, now

    def _note_nothing_unread(self, now: float) -> None:
        if self._empty_since is None:
            self._empty_since = now
        is_silent = now - self._empty_since >= self.reopening
        if is_silent or now - self._restrained_at >= self._catch_up:
            self._may_wait = False

    def _note_arrivals(self, now: float, unread: int, missing: int | None) -> None:
        arrived = self._read + unread
        self._note_growth(now, arrived)
        least_total = arrived if missing is None else self._read + missing
        if least_total - arrived > MAX_CLIENT_BUFFER_BYTES:
            self._unsent_at = now
        if not self._samples or arrived >= self._samples[-1].arrived + SAMPLE_BYTES:
            self._samples.append(ArrivalSample(now, arrived))
        while least_total - self._samples[0].arrived > MAX_CLIENT_BUFFER_BYTES and len(self._samples) > 1:
            self._unsent_at = max(self._unsent_at, self._samples.popleft().at)

    def elapsed(self, now: float) -> float:
        """Returns how much (s) of the client's time may have passed."""
        return now - self._unsent_at

    def pause(self, now: float) -> float:
        """Returns for how long (s) the client has sent nothing, although it could."""
        return now - self._grew_at if self.is_client_due else 0.0

    @property
    def is_client_due(self) -> bool:
        """Whether at the moment observed last the body was certainly incomplete and its client could send."""
        return self._unsent_at == self._observed_at and not self._may_wait
