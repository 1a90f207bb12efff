"""The latest events of this process, kept in memory and logged where something went wrong.

Each entry names what happened, the request that it concerns, if any, and the facts that decided it: the
reason of each close, retry, rejection and change of state. At log level DEBUG each is also a log line at
once; otherwise an entry takes a few hundred bytes until newer ones replace it.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

# Entries kept: a few seconds of a busy node, a minute of a quiet one.
MAX_ENTRIES = 2048
# Entries of one request that are logged; a request rarely has more.
MAX_LOGGED_ENTRIES = 24
# Anomalies logged in REPORT_WINDOW_S; many of them repeat the same one.
MAX_REPORTS = 8
REPORT_WINDOW_S = 10.0


class Occurrence(Enum):
    """What happened; the values are the events of log lines."""

    REQUEST_ACCEPTED = "request taken"
    REQUEST_ANSWERED = "request answered"
    CLIENT_GONE = "client gone"
    CLIENT_CONNECTION_CLOSED = "client connection closed"
    ATTEMPT_ORDERED = "attempt ordered"
    ATTEMPT_WRITTEN = "attempt written"
    ATTEMPT_WITHHELD = "attempt withheld"
    ATTEMPT_ENDED = "attempt ended"
    LIST_POLL_ENDED = "list poll ended"
    LIST_APPLIED = "list update applied"
    STATE_CHANGED = "state changed"
    INVARIANT_BROKEN = "invariant broken"


Fact = str | float | None


@dataclass(frozen=True, slots=True)
class Entry:
    """One event; `at` in s on the node's clock, `request` is empty where it concerns none."""

    at: float
    what: Occurrence
    request: str
    facts: Mapping[str, Fact]


class FlightRecorder:
    """Keeps the newest entries; `clock` gives the node's time in s."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: deque[Entry] = deque(maxlen=MAX_ENTRIES)
        self._reported: deque[float] = deque(maxlen=MAX_REPORTS)

    def note(self, what: Occurrence, request: str = "", **facts: Fact) -> None:
        """Records an event, with the facts that decided it."""
        entry = Entry(self._clock(), what, request, facts)
        self._entries.append(entry)
        if log.isEnabledFor(logging.DEBUG):
            self._write(logging.DEBUG, entry)

    def about(self, request: str) -> list[Entry]:
        """Returns the entries kept of one request, oldest first."""
        return [entry for entry in self._entries if entry.request == request]

    def report(self, why: str, request: str = "", **facts: Fact) -> None:
        """Records and logs that something went wrong, with the entries kept of its request."""
        now = self._clock()
        self.note(Occurrence.INVARIANT_BROKEN, request, why=why, **facts)
        if len(self._reported) == MAX_REPORTS and now - self._reported[0] < REPORT_WINDOW_S:
            return
        self._reported.append(now)
        log.error("anomaly", extra=pairs(why=why, request=request or None, **facts))
        if request:
            for entry in self.about(request)[-MAX_LOGGED_ENTRIES:]:
                self._write(logging.WARNING, entry, ago=round(now - entry.at, 3))

    def _write(self, level: int, entry: Entry, **more: Fact) -> None:
        named = {"request": entry.request} if entry.request else {}
        log.log(level, entry.what.value, extra=pairs(**named, **entry.facts, **more))
