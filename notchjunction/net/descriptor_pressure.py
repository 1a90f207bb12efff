"""Frees descriptors while they are short: closes connections without a request, the longest idle first."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from itertools import islice

from notchjunction.net.client_state import ConnectionPhases, ManagedConnection
from notchjunction.net.descriptors import Descriptors
from notchjunction.telemetry.counters import Counters

# Times that a connection spends in a phase before it may be closed to free a descriptor.
# Lingering; longer than most round trips.
MIN_LINGER_S = 0.1
# Idle; ordinary clients connect again.
MIN_IDLE_S = 2.0
# Silent since the accept; ordinary clients send at once.
MIN_SILENT_S = 0.5
# The same times once part of the margin is in use as well.
# Silent; by then the request of an ordinary client has arrived from any zone.
MIN_SILENT_PAST_MARGIN_S = 0.1
# Idle; busy clients pause for less, and the others can connect again.
MIN_IDLE_PAST_MARGIN_S = 0.25
# With an incomplete head, since its first byte.
MIN_HEAD_PAST_MARGIN_S = 1.0
# With an answered request of which the rest is read: longer than most round trips.
MIN_DISCARDING_S = 0.5
# Incomplete heads are rejected to free descriptors only while fewer connections are lingering.
MAX_LINGERING_FOR_REJECTED_HEADS = 16
# Connections of a phase that are checked in order to close one; those longest in it rarely have unread bytes.
MAX_CANDIDATES = 4


class AcceptDecision(Enum):
    """What to do with a client that has just been accepted."""

    SERVE = auto()
    REJECT = auto()  # respond 503 to its one request
    WAIT = auto()  # no descriptor can be used for it now


class DescriptorPressure:
    """Decides on new clients by the descriptors in use, and closes connections that are not in use."""

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

    def decide(self) -> AcceptDecision:
        """Decides on one new client, after trying to make room for it."""
        if not self._descriptors.full_for_clients() or self._make_room():
            return AcceptDecision.SERVE
        # Guards against using up all descriptors: then not even the endpoint list could be polled.
        return (
            AcceptDecision.REJECT
            if not self._descriptors.exhausted() or self.make_room_past_margin()
            else AcceptDecision.WAIT
        )

    def _make_room(self) -> bool:
        """Closes an idle client, or an idle upstream connection if clients are within their share."""
        self._stop_discarding()
        return (
            self.close_oldest()
            or self._close_stopped()
            or (not self._descriptors.clients_over_share() and self._close_idle_upstream())
        )

    def _close_stopped(self) -> bool:
        """Closes a client that is answered and sends no more of its body. Returns whether it did.

        Guards against rejecting usual clients for the sake of a crowd that was rejected itself and stays.
        """
        for connection in list(islice(self._phases.discarding, MAX_CANDIDATES)):
            if connection.close_if_stopped():
                self._counters.add("client_connections_shed")
                return True
        return False

    def make_room_past_margin(self) -> bool:
        """Makes room for a client that could not even be rejected otherwise. Returns whether it did.

        Silent clients are closed before idle ones.
        """
        if self._close_one(
            (self._phases.lingering, MIN_LINGER_S),
            (self._phases.silent, MIN_SILENT_PAST_MARGIN_S),
            (self._phases.idle, MIN_IDLE_PAST_MARGIN_S),
        ):
            return True
        self._reject_slow_heads()
        return False

    def _reject_slow_heads(self) -> None:
        """Responds 408 to the oldest incomplete heads; clients that read it free their descriptors soon.

        Guards against a flood of incomplete heads, which would make other clients wait until they time out.
        """
        started_by = self._clock() - MIN_HEAD_PAST_MARGIN_S
        for connection, since in list(islice(self._phases.heads.items(), MAX_CANDIDATES)):
            if since > started_by or len(self._phases.lingering) >= MAX_LINGERING_FOR_REJECTED_HEADS:
                return
            connection.reject_partial_head()

    def _stop_discarding(self) -> None:
        """Ends connections whose answered request is still being read; they are closed as they linger.

        Guards against slow senders that keep their descriptors for as long as their bodies last.
        """
        answered_by = self._clock() - MIN_DISCARDING_S
        for connection, since in list(islice(self._phases.discarding.items(), MAX_CANDIDATES)):
            if since > answered_by:
                return
            connection.stop_discarding()

    def close_oldest(self) -> bool:
        """Closes a lingering client, else the longest idle one, else a silent one. Returns whether it did."""
        return self._close_one(
            (self._phases.lingering, MIN_LINGER_S),
            (self._phases.idle, MIN_IDLE_S),
            (self._phases.silent, MIN_SILENT_S),
        )

    def _close_one(self, *tables: tuple[dict[ManagedConnection, float], float]) -> bool:
        """Closes one connection that has been in its phase for a minimum time (s), first table first."""
        now = self._clock()
        for table, min_time in tables:
            for connection, since in islice(table.items(), MAX_CANDIDATES):
                if since > now - min_time:
                    break
                if connection.close_if_idle():
                    self._counters.add("client_connections_shed")
                    return True
        return False
