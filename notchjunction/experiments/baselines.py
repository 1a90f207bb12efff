"""Baseline balancing policies, with which experiments compare the balancer (the variant `module`).

Apart from `UpperBound`, they do not limit the load on cold servers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerHost,
    BalancerSettings,
    EndpointEntry,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestBalancer,
    RequestClass,
)
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.node import Node
from notchjunction.emulator.servers import Server

# Share of a cold server's budget that `UpperBound` uses. The rest covers requests that have not arrived yet.
BUDGET_SHARE = 0.7
DEADLINE_MARGIN_S = 0.02  # before its deadline, a request without a response is ended as failed


class SingleAttempt:
    """Sends each request once, to a random active endpoint. Subclasses choose the endpoint differently."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        self.settings = settings
        self.host = host
        self.random = Random(settings.seed)
        self.ready: list[int] = []
        self.in_flight: dict[int, int] = {}
        self._states: dict[int, EndpointState] = {}
        self._banned: set[int] = set()
        self._endpoint_of: dict[int, int] = {}  # by request, of those without a response
        self._timers: dict[int, Callable[[], None]] = {}
        self._last_token = 0
        host.poll_list()

    def choose(self) -> int:
        """Choose one of the endpoints in `ready`."""
        return self.random.choice(self.ready)

    def request_arrived(self, request: NewRequest) -> None:
        """Send the request to the chosen endpoint, or reject it if no endpoint is active."""
        if not self.ready:
            self.host.reject(request.id, 0.25)
            return
        endpoint = self.choose()
        self._endpoint_of[request.id] = endpoint
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.host.send_attempt(request.id, endpoint, max(request.time_left - DEADLINE_MARGIN_S, 0.001))
        self._after(max(request.time_left - DEADLINE_MARGIN_S, 0.001), lambda: self._time_out(request.id))

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Reject the request if the attempt had no effect; fail it after any other failure."""
        self.in_flight[outcome.endpoint] -= 1
        if self._endpoint_of.pop(outcome.request, None) is None or outcome.final:
            return
        if outcome.result in (AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT):
            self.host.reject(outcome.request, 0.25)
        else:
            self.host.fail(outcome.request)

    def _time_out(self, request: int) -> None:
        if self._endpoint_of.pop(request, None) is not None:
            self.host.fail(request)
            self.host.cancel_attempt(request, 0)

    def request_cancelled(self, request: int) -> None:
        """Cancel the attempt of the request."""
        if self._endpoint_of.pop(request, None) is not None:
            self.host.cancel_attempt(request, 0)

    def list_updated(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        """Apply a list update; after a failed poll, poll again in 0.25 to 0.5 s."""
        if update is ListUpdate.FAILED:
            self._after(0.25 + 0.25 * self.random.random(), self.host.poll_list)
            return
        if update is not ListUpdate.CHANGES:
            self._states = {}
        self._states.update({entry.number: entry.state for entry in entries})
        self._update_ready()

    def ban_changed(self, endpoint: int, banned: bool) -> None:
        """Ban an endpoint or lift its ban."""
        (self._banned.add if banned else self._banned.discard)(endpoint)
        self._update_ready()

    def gossip_received(self, outcomes: Sequence[PeerOutcome]) -> None:
        """Ignore outcomes from peers: baselines use only the node's own traffic."""

    def _update_ready(self) -> None:
        ready = (endpoint for endpoint, state in self._states.items() if state is EndpointState.ACTIVE)
        self.ready = [endpoint for endpoint in ready if endpoint not in self._banned]

    def timer_fired(self, token: int) -> None:
        """Run the callback of the timer."""
        self._timers.pop(token)()

    def _after(self, delay: float, callback: Callable[[], None]) -> None:
        self._last_token += 1
        self._timers[self._last_token] = callback
        self.host.set_timer(delay, self._last_token)

    # Events that do not affect the baselines.

    def body_completed(self, request: int, time_left: float = 0.0) -> None:
        """Ignore the end of a request body."""
        pass

    def repeatable_until(self, request: int, attempt: int) -> float:
        """Return infinity: a request has only one attempt."""
        return math.inf

    def response_received(self, request: int, attempt: int) -> None:
        """Ignore the head of a response."""
        pass

    def response_started(self, request: int, attempt: int) -> None:
        """Ignore the start of a response."""
        pass

    def probe_ended(self, endpoint: int, result: AttemptResult, load: LoadReport | None) -> None:
        """Ignore the end of a probe."""
        pass

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        """Replace the settings."""
        self.settings = settings

    def export_state(self) -> dict[str, Any]:
        """Return an empty state: baselines learn nothing."""
        return {}

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Ignore the learned state."""
        pass


class RoundRobin(SingleAttempt):
    """Sends requests to the endpoints in turn, beginning at a random one."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(settings, host)
        self._next = self.random.randrange(1_000_000)

    def choose(self) -> int:
        """Choose the next endpoint."""
        self._next += 1
        return self.ready[self._next % len(self.ready)]


class LeastInFlight(SingleAttempt):
    """Chooses the endpoint with the fewest of this node's requests in flight."""

    def choose(self) -> int:
        """Choose the endpoint with the fewest requests in flight; ties are broken at random."""
        return min(self.ready, key=lambda endpoint: (self.in_flight.get(endpoint, 0), self.random.random()))


class TrueState(SingleAttempt):
    """Reads the current state of the emulated servers directly, which no real node can do."""

    def choose(self) -> int:
        """Choose the server with the shortest expected wait; ties are broken at random."""
        return min(self.ready, key=self._expected_wait)

    def _expected_wait(self, endpoint: int) -> tuple[float, float]:
        server = self.server(endpoint)
        if not server.up or server.hung:
            return float("inf"), 0.0
        request_count = len(server.running) + len(server.waiting) + 1
        return request_count * server.slowdown() / server.tier.workers, self.random.random()

    def server(self, endpoint: int) -> Server:
        """Return the emulated server of an endpoint."""
        assert isinstance(self.host, Node)
        return self.host.world.servers[endpoint]


class UpperBound(TrueState):
    """Also skips cold servers without budget and servers whose queue slows them down: an upper bound."""

    def request_arrived(self, request: NewRequest) -> None:
        """Send the request to a server that has room for it, or reject it if there is none."""
        with_room = [endpoint for endpoint in self.ready if self._has_room(self.server(endpoint))]
        if not with_room:
            self.host.reject(request.id, 0.25)
            return
        all_ready, self.ready = self.ready, with_room
        super().request_arrived(request)
        self.ready = all_ready

    def _has_room(self, server: Server) -> bool:
        assert isinstance(self.host, Node)
        max_waiting = self.host.world.scenario.overdrive_jobs * server.tier.workers
        is_full = max_waiting and len(server.waiting) >= max_waiting
        return (
            server.up and not server.hung and not is_full and server.is_within_cold_budget(0.0, BUDGET_SHARE)
        )


VARIANTS: dict[str, Callable[[BalancerSettings, BalancerHost], RequestBalancer]] = {
    "module": Balancer,
    "random": SingleAttempt,
    "in turn": RoundRobin,
    "least out": LeastInFlight,
    "true state": TrueState,
    "top": UpperBound,
}
