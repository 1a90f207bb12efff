"""Policies to compare the module with; they live here only. They know nothing of rule 4."""

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

BUDGET_USED = 0.7  # of a cold server's budget that the top uses; the rest is what is on its way
GUARD = 0.02  # s before the abandon time at which a job without an answer is given up


class SingleAttempt:
    """One dispatch a job, never sent again; the choice of server is what the policies differ in."""

    def __init__(self, terms: BalancerSettings, host: BalancerHost) -> None:
        self.terms = terms
        self.host = host
        self.random = Random(terms.seed)
        self.ready: list[int] = []
        self.flights: dict[int, int] = {}
        self._known: dict[int, EndpointState] = {}
        self._barred: set[int] = set()
        self._held: dict[int, int] = {}
        self._due: dict[int, Callable[[], None]] = {}
        self._token = 0
        host.poll_list()

    def choose(self) -> int:
        return self.random.choice(self.ready)

    def request_arrived(self, job: NewRequest) -> None:
        if not self.ready:
            self.host.reject(job.id, 0.25)
            return
        server = self.choose()
        self._held[job.id] = server
        self.flights[server] = self.flights.get(server, 0) + 1
        self.host.send_attempt(job.id, server, max(job.time_left - GUARD, 0.001))
        self._after(max(job.time_left - GUARD, 0.001), lambda: self._give_up(job.id))

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        self.flights[outcome.endpoint] -= 1
        if self._held.pop(outcome.request, None) is None or outcome.final:
            return
        if outcome.result in (AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT):
            self.host.reject(outcome.request, 0.25)
        else:
            self.host.fail(outcome.request)

    def _give_up(self, job: int) -> None:
        if self._held.pop(job, None) is not None:
            self.host.fail(job)
            self.host.cancel_attempt(job, 0)

    def request_cancelled(self, job: int) -> None:
        if self._held.pop(job, None) is not None:
            self.host.cancel_attempt(job, 0)

    def list_updated(self, news: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        if news is ListUpdate.FAILED:
            self._after(0.25 + 0.25 * self.random.random(), self.host.poll_list)
            return
        if news is not ListUpdate.CHANGES:
            self._known = {}
        self._known.update({entry.number: entry.state for entry in entries})
        self._open()

    def ban_changed(self, server: int, out: bool) -> None:
        (self._barred.add if out else self._barred.discard)(server)
        self._open()

    def gossip_received(self, told: Sequence[PeerOutcome]) -> None:
        """A baseline goes by its own traffic alone."""

    def _open(self) -> None:
        ready = (server for server, presence in self._known.items() if presence is EndpointState.ACTIVE)
        self.ready = [server for server in ready if server not in self._barred]

    def timer_fired(self, token: int) -> None:
        self._due.pop(token)()

    def _after(self, delay: float, due: Callable[[], None]) -> None:
        self._token += 1
        self._due[self._token] = due
        self.host.set_timer(delay, self._token)

    # What makes no difference to these.

    def body_completed(self, job: int, most: float = 0.0) -> None:
        pass

    def repeatable_until(self, job: int, dispatch: int) -> float:
        return math.inf

    def response_started(self, job: int, dispatch: int) -> None:
        pass

    def probe_ended(self, server: int, result: AttemptResult, load: LoadReport | None) -> None:
        pass

    def settings_changed(self, terms: BalancerSettings, profiles: Mapping[int, RequestClass]) -> None:
        self.terms = terms

    def export_state(self) -> dict[str, Any]:
        return {}

    def restore_state(self, lessons: Mapping[str, Any]) -> None:
        pass


class InTurn(SingleAttempt):
    """Round robin, from a random start."""

    def __init__(self, terms: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(terms, host)
        self._next = self.random.randrange(1_000_000)

    def choose(self) -> int:
        self._next += 1
        return self.ready[self._next % len(self.ready)]


class LeastOut(SingleAttempt):
    """The server with the fewest of this node's own jobs, at random among equals."""

    def choose(self) -> int:
        return min(self.ready, key=lambda server: (self.flights.get(server, 0), self.random.random()))


class TrueState(SingleAttempt):
    """Sees each server as it is, at once: up, hung, slow, cold, and what it holds. No node can."""

    def choose(self) -> int:
        return min(self.ready, key=self._wait)

    def _wait(self, server: int) -> tuple[float, float]:
        true = self.true(server)
        if not true.up or true.hung:
            return float("inf"), 0.0
        held = len(true.running) + len(true.waiting) + 1
        return held * true.slowdown() / true.tier.workers, self.random.random()

    def true(self, server: int) -> Server:
        assert isinstance(self.host, Node)
        return self.host.world.servers[server]


class Top(TrueState):
    """It knows rule 4's budget too, and what a server holds before it turns slow: the upper bound."""

    def request_arrived(self, job: NewRequest) -> None:
        able = [server for server in self.ready if self._bears(self.true(server))]
        if not able:
            self.host.reject(job.id, 0.25)
            return
        all_ready, self.ready = self.ready, able
        super().request_arrived(job)
        self.ready = all_ready

    def _bears(self, server: Server) -> bool:
        assert isinstance(self.host, Node)
        most = self.host.world.scenario.overdrive_jobs * server.tier.workers
        crowded = most and len(server.waiting) >= most
        return (
            server.up and not server.hung and not crowded and server.is_within_cold_budget(0.0, BUDGET_USED)
        )


VARIANTS: dict[str, Callable[[BalancerSettings, BalancerHost], RequestBalancer]] = {
    "module": Balancer,
    "random": SingleAttempt,
    "in turn": InTurn,
    "least out": LeastOut,
    "true state": TrueState,
    "top": Top,
}
