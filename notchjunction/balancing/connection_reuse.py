"""Connection reuse: which endpoints the node has open connections to, and whether new ones fail."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from notchjunction.balancing.interface import AttemptResult, BalancerSettings
from notchjunction.balancing.recent_events import EVENT_SPAN_S
from notchjunction.balancing.records import MAX_RECENT_OUTCOMES, Attempt, Endpoint

# Where connections have a cost, connected endpoints are preferred once there are so many of them: enough to
# find two with capacity.
MIN_CONNECTED = 12


class ConnectionReuse:
    """Tracks the connections that attempts left open, and how recent attempts to open new ones ended."""

    def __init__(self, settings: BalancerSettings) -> None:
        # Kept so that not all endpoints have to be searched: few of a large fleet are connected.
        self._connected: dict[Endpoint, None] = {}
        # Time (s) of each, and whether the connection was established.
        self._new_connections: deque[tuple[float, bool]] = deque(maxlen=MAX_RECENT_OUTCOMES)
        self.apply_settings(settings)

    def apply_settings(self, settings: BalancerSettings) -> None:
        """Apply the settings for connections: streams on each, idle timeout and cost."""
        self._shares_connections = settings.streams_per_connection > 1
        self._idle_timeout = settings.connection_idle_timeout
        self._has_connection_cost = settings.connection_cost > 0

    def is_connected(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an attempt at the endpoint could use an open connection."""
        shared = self._shares_connections and len(endpoint.in_flight) > 0
        return shared or (
            len(endpoint.idle_connections) > 0 and endpoint.idle_connections[-1] > now - self._idle_timeout
        )

    def use_connection(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an attempt that is sent now reuses a connection; if so, it is no longer idle."""
        connected = self.is_connected(endpoint, now)
        if connected and not self._shares_connections:
            endpoint.idle_connections.pop()
        return connected

    def record_attempt(self, endpoint: Endpoint) -> None:
        """Record that an attempt at the endpoint is in flight."""
        self._connected[endpoint] = None

    def record_result(self, attempt: Attempt, result: AttemptResult, now: float) -> None:
        """Record what an attempt's result shows about its connection."""
        if not attempt.reused_connection and result is not AttemptResult.NOT_SENT:
            self._new_connections.append((now, result is not AttemptResult.NO_CONNECTION))
        if result in (AttemptResult.NO_CONNECTION, AttemptResult.RESET):
            attempt.endpoint.idle_connections.clear()
        elif result not in (AttemptResult.NOT_SENT, AttemptResult.MALFORMED):
            attempt.endpoint.idle_connections.append(now)
            self._connected[attempt.endpoint] = None

    def preferred(self, now: float, is_in_use: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """Return the endpoints to prefer because they are connected.

        These are all connected endpoints that are in use if most new connections fail, or if connections have
        a cost and at least `MIN_CONNECTED` endpoints are connected. Otherwise the list is empty.
        """
        # Guards against opening more connections than endpoints accept, and against attempts that fail on new
        # connections while open ones still work.
        recent = self._new_connections
        while recent and recent[0][0] < now - EVENT_SPAN_S:
            recent.popleft()
        failing = sum(1 for _, established in recent if not established) > MAX_RECENT_OUTCOMES / 2
        if not failing and not self._has_connection_cost:
            return []
        connected = [
            endpoint
            for endpoint in list(self._connected)
            if self._check_connected(endpoint, now) and is_in_use(endpoint)
        ]
        return connected if failing or len(connected) >= MIN_CONNECTED else []

    def keep_known(self, is_known: Callable[[Endpoint], bool]) -> None:
        """Drop the endpoints that were removed from the list or restarted: those that are not `is_known`."""
        # Guards against memory that grows with every endpoint ever listed.
        self._connected = {endpoint: None for endpoint in self._connected if is_known(endpoint)}

    def _check_connected(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint is connected; drop it if not, unless it has attempts in flight."""
        connected = self.is_connected(endpoint, now)
        if not (connected or endpoint.in_flight):
            del self._connected[endpoint]
        return connected
