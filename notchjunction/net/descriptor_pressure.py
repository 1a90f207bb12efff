"""Who makes room where descriptors are short: connections that are not in use, the longest idle first."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from itertools import islice

from notchjunction.net.client_state import ConnectionPhases, ManagedConnection
from notchjunction.net.descriptors import Descriptors
from notchjunction.telemetry.counters import Counters

MIN_LINGER_S = 0.1  # of lingering that each has even where descriptors are short; over most round trips
MIN_IDLE_S = 2.0  # idle until a client is closed where descriptors are short; sound ones come again
MIN_SILENT_S = 0.5  # from connecting until a silent client is closed; sound ones send at once
MIN_SILENT_PAST_MARGIN_S = (
    0.1  # the same past the margin; by then a sound one's request has come from any zone
)
MIN_IDLE_PAST_MARGIN_S = (
    0.25  # idle, likewise; the pauses of busy clients are shorter, and waiting ones can bear it
)
MIN_HEAD_PAST_MARGIN_S = 1.0  # of a head under way, likewise
TURNED_AWAY_MAX = 16  # lingering connections; no head is answered with 408 for room while there are as many
CANDIDATES_MAX = 4  # connections looked at to make room for one; the longest idle are rarely about to send


class Verdict(Enum):
    """What to do with a client that has just been accepted."""

    SERVE = auto()
    REJECT = auto()  # serve its one request with 503
    WAIT = auto()  # no descriptor may be used for it now


class DescriptorPressure:
    """Judges new clients by the descriptors in use, and closes connections that need none."""

    def __init__(
        self,
        clock: Callable[[], float],
        phases: ConnectionPhases,
        descriptors: Descriptors,
        close_idle_upstream: Callable[[], bool],
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._phases = phases
        self._descriptors = descriptors
        self._close_idle_upstream = close_idle_upstream
        self._counters = counters

    def judge(self) -> Verdict:
        """The verdict on one new client, after what can be done to make room for it."""
        if not self._descriptors.full_of_callers() or self._make_room():
            return Verdict.SERVE
        # Guards against running out altogether: then not even the endpoint list could be polled.
        return Verdict.REJECT if not self._descriptors.spent() or self.press() else Verdict.WAIT

    def _make_room(self) -> bool:
        """Closes an idle client; else an idle upstream connection, if clients are within their share."""
        return self.close_oldest() or (
            not self._descriptors.past_callers_share() and self._close_idle_upstream()
        )

    def press(self) -> bool:
        """Makes room where a new client would else get no answer: silent ones go first."""
        if self._close_one(
            (self._phases.lingering, MIN_LINGER_S),
            (self._phases.silent, MIN_SILENT_PAST_MARGIN_S),
            (self._phases.idle, MIN_IDLE_PAST_MARGIN_S),
        ):
            return True
        self._turn_slow_heads_away()
        return False

    def _turn_slow_heads_away(self) -> None:
        """Answers 408 to the heads longest under way; they leave room a moment later, with that read.

        Guards against a flood of half heads: each has its time to be whole, and others wait unserved.
        """
        due = self._clock() - MIN_HEAD_PAST_MARGIN_S
        for connection, since in list(islice(self._phases.heads.items(), CANDIDATES_MAX)):
            if since > due or len(self._phases.lingering) >= TURNED_AWAY_MAX:
                return
            connection.reject_partial_head()

    def close_oldest(self) -> bool:
        """Closes the client that has been idle longest, else one that has sent nothing since it came."""
        return self._close_one(
            (self._phases.lingering, MIN_LINGER_S),
            (self._phases.idle, MIN_IDLE_S),
            (self._phases.silent, MIN_SILENT_S),
        )

    def _close_one(self, *tables: tuple[dict[ManagedConnection, float], float]) -> bool:
        """Closes one of the first table, else of the next, that has been in it for at least so many s."""
        now = self._clock()
        for table, spared in tables:
            for connection, since in islice(table.items(), CANDIDATES_MAX):
                if since > now - spared:
                    break
                if connection.close_if_idle():
                    self._counters.add("client_connections_shed")
                    return True
        return False
