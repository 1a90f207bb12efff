"""Which endpoints this node has open connections to, and whether new connections fail."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from notchjunction.balancing.interface import AttemptResult, BalancerSettings
from notchjunction.balancing.recent_events import EVENT_SPAN_S
from notchjunction.balancing.records import MAX_RECENT_OUTCOMES, Attempt, Endpoint

MIN_CONNECTED = 12  # endpoints a node keeps to where connections are priced; enough to find two that are free


class ConnectionReuse:
    """The connections that attempts left open, and how new connections went lately."""

    def __init__(self, settings: BalancerSettings) -> None:
        # Of all endpoints, those that a look at all of them would find: a large fleet has few such.
        self._connected: dict[Endpoint, None] = {}
        self._new_connections: deque[tuple[float, bool]] = deque(
            maxlen=MAX_RECENT_OUTCOMES
        )  # when, and whether it came up
        self.apply_settings(settings)

    def apply_settings(self, settings: BalancerSettings) -> None:
        """Take over what the host's connections can do and cost."""
        self._shares_connections = settings.streams_per_connection > 1
        self._idle_timeout = settings.connection_idle_timeout
        self._is_priced = settings.connection_cost > 0

    def is_connected(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an attempt there would find an open connection."""
        shared = self._shares_connections and len(endpoint.in_flight) > 0
        return shared or (
            len(endpoint.idle_connections) > 0 and endpoint.idle_connections[-1] > now - self._idle_timeout
        )

    def use_connection(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an attempt that is sent now reuses a connection, which is then no longer idle."""
        connected = self.is_connected(endpoint, now)
        if connected and not self._shares_connections:
            endpoint.idle_connections.pop()
        return connected

    def record_attempt(self, endpoint: Endpoint) -> None:
        """Note that an attempt is in flight there."""
        self._connected[endpoint] = None

    def record_result(self, attempt: Attempt, result: AttemptResult, now: float) -> None:
        """Note what an attempt's end says of its connection."""
        if not attempt.reused_connection and result is not AttemptResult.NOT_SENT:
            self._new_connections.append((now, result is not AttemptResult.NO_CONNECTION))
        if result in (AttemptResult.NO_CONNECTION, AttemptResult.RESET):
            attempt.endpoint.idle_connections.clear()
        elif result not in (AttemptResult.NOT_SENT, AttemptResult.MALFORMED):
            attempt.endpoint.idle_connections.append(now)
            self._connected[attempt.endpoint] = None

    def preferred(self, now: float, is_in_use: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """Return the connected endpoints where connections are priced or new ones fail; none elsewhere."""
        # Guards against more connections than endpoints accept, and new ones failing while open ones serve.
        recent = self._new_connections
        while recent and recent[0][0] < now - EVENT_SPAN_S:
            recent.popleft()
        failing = sum(1 for _, came_up in recent if not came_up) > MAX_RECENT_OUTCOMES / 2
        if not failing and not self._is_priced:
            return []
        connected = [
            endpoint
            for endpoint in list(self._connected)
            if self._find(endpoint, now) and is_in_use(endpoint)
        ]
        return connected if failing or len(connected) >= MIN_CONNECTED else []

    def keep_known(self, is_known: Callable[[Endpoint], bool]) -> None:
        """Forget the endpoints that have left the list or restarted."""
        # Guards against growing with every endpoint that ever was.
        self._connected = {endpoint: None for endpoint in self._connected if is_known(endpoint)}

    def _find(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether it is connected; without any connection it is not looked at again."""
        connected = self.is_connected(endpoint, now)
        if not (connected or endpoint.in_flight):
            del self._connected[endpoint]
        return connected
