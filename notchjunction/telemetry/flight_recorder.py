"""The latest events of this process, kept in memory and logged when something goes wrong.

Each entry names the event, the request that it concerns, if any, and the facts behind it: the reason for each
close, retry, rejection and change of state. At log level DEBUG each entry is also logged at once. An entry
takes a few hundred bytes until a newer one replaces it.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

# Entries kept: a few seconds on a busy node, a minute on a quiet one.
MAX_ENTRIES = 2048
# Entries of one request that are logged; a request rarely has more.
MAX_LOGGED_ENTRIES = 24
# Anomalies logged within REPORT_WINDOW_S; more of them mostly repeat the same one.
MAX_REPORTS = 8
REPORT_WINDOW_S = 10.0


class Occurrence(Enum):
    """A kind of event. The values are written as the event of log lines."""

    REQUEST_ACCEPTED = "request taken"
    REQUEST_REFUSED = "request refused"
    REQUEST_ANSWERED = "request answered"
    CLIENT_GONE = "client gone"
    BODY_HELD_BACK = "request body held back"
    BODY_ENDED = "request body ended"
    CLIENT_CONNECTION_CLOSED = "client connection closed"
    ATTEMPT_ORDERED = "attempt ordered"
    ATTEMPT_WRITTEN = "attempt written"
    ATTEMPT_WITHHELD = "attempt withheld"
    RESPONSE_STARTED = "response started"
    ATTEMPT_ENDED = "attempt ended"
    LIST_POLL_ENDED = "list poll ended"
    LIST_APPLIED = "list update applied"
    STATE_CHANGED = "state changed"
    INVARIANT_BROKEN = "invariant broken"


Fact = str | float | None


@dataclass(frozen=True, slots=True)
class Entry:
    """One event; `at` is in s on the node's clock, and `request` is empty if it concerns none."""

    at: float
    occurrence: Occurrence
    request: str
    facts: Mapping[str, Fact]


class FlightRecorder:
    """Keeps the newest entries; `clock` returns the node's time (s)."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: deque[Entry] = deque(maxlen=MAX_ENTRIES)
        self._reported_at: deque[float] = deque(maxlen=MAX_REPORTS)

    def note(self, occurrence: Occurrence, request: str = "", **facts: Fact) -> None:
        """Records an event with the facts behind it."""
        entry = Entry(self._clock(), occurrence, request, facts)
        self._entries.append(entry)
        if log.isEnabledFor(logging.DEBUG):
            self._write(logging.DEBUG, entry)

    def entries_of(self, request: str) -> list[Entry]:
        """Returns the kept entries of one request, oldest first."""
        return [entry for entry in self._entries if entry.request == request]

    def report(self, why: str, request: str = "", **facts: Fact) -> None:
        """Records and logs an anomaly, with the kept entries of its request."""
        now = self._clock()
        self.note(Occurrence.INVARIANT_BROKEN, request, why=why, **facts)
        if len(self._reported_at) == MAX_REPORTS and now - self._reported_at[0] < REPORT_WINDOW_S:
            return
        self._reported_at.append(now)
        log.error("anomaly", extra=pairs(why=why, request=request or None, **facts))
        if request:
            for entry in self.entries_of(request)[-MAX_LOGGED_ENTRIES:]:
                self._write(logging.WARNING, entry, ago=round(now - entry.at, 3))

    def _write(self, level: int, entry: Entry, **further_facts: Fact) -> None:
        request_fact = {"request": entry.request} if entry.request else {}
        log.log(level, entry.occurrence.value, extra=pairs(**request_fact, **entry.facts, **further_facts))
