"""The last things that happened in this process, kept in memory and logged where something went wrong.

Each entry names what happened, the request that it concerns, if any, and the facts that decided it: the
reason of each close, retry, refusal and change of state. At the log level DEBUG each is a log line at once;
else an entry costs a few hundred bytes until newer ones take its place.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

ENTRIES_MOST = 2048  # kept; a few seconds of a busy node, a minute of a quiet one
LOGGED_MOST = 24  # entries of one request that are logged; a request rarely has more
REPORTS_SPAN = 10.0  # s
REPORTS_MOST = 8  # anomalies that are logged in that span; a storm of them says the same again and again


class Occurrence(Enum):
    """What happened."""

    REQUEST_TAKEN = "request taken"
    REQUEST_ANSWERED = "request answered"
    CALLER_LEFT = "client gone"
    CALLER_CLOSED = "client connection closed"
    ATTEMPT_ORDERED = "attempt ordered"
    ATTEMPT_WRITTEN = "attempt written"
    ATTEMPT_WITHHELD = "attempt withheld"
    ATTEMPT_ENDED = "attempt ended"
    LIST_CALL_ENDED = "list poll ended"
    LIST_APPLIED = "list update applied"
    STATE_CHANGED = "state changed"
    INVARIANT_BROKEN = "invariant broken"


Fact = str | float | None


@dataclass(frozen=True, slots=True)
class Entry:
    """One thing that happened; `at` in s on the node's clock, `request` is empty where it concerns none."""

    at: float
    what: Occurrence
    request: str
    facts: Mapping[str, Fact]


class FlightRecorder:
    """Keeps the newest entries; `clock` gives the node's time in s."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: deque[Entry] = deque(maxlen=ENTRIES_MOST)
        self._reported: deque[float] = deque(maxlen=REPORTS_MOST)

    def note(self, what: Occurrence, request: str = "", **facts: Fact) -> None:
        """Something happened."""
        entry = Entry(self._clock(), what, request, facts)
        self._entries.append(entry)
        if log.isEnabledFor(logging.DEBUG):
            self._write(logging.DEBUG, entry)

    def about(self, request: str) -> list[Entry]:
        """What is kept of one request, oldest first."""
        return [entry for entry in self._entries if entry.request == request]

    def report(self, why: str, request: str = "", **facts: Fact) -> None:
        """Something went wrong: it is logged, with all that is kept of its request."""
        now = self._clock()
        self.note(Occurrence.INVARIANT_BROKEN, request, why=why, **facts)
        if len(self._reported) == REPORTS_MOST and now - self._reported[0] < REPORTS_SPAN:
            return
        self._reported.append(now)
        log.error("anomaly", extra=pairs(why=why, request=request or None, **facts))
        if request:
            for entry in self.about(request)[-LOGGED_MOST:]:
                self._write(logging.WARNING, entry, ago=round(now - entry.at, 3))

    def _write(self, level: int, entry: Entry, **more: Fact) -> None:
        named = {"request": entry.request} if entry.request else {}
        log.log(level, entry.what.value, extra=pairs(**named, **entry.facts, **more))
