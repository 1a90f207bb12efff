"""Policies to compare the module with; they live here only. They know nothing of rule 4."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import (
    Decisions,
    Host,
    Job,
    Load,
    News,
    Outcome,
    Profile,
    Result,
    ServerEntry,
    Terms,
    Told,
)
from notchjunction.discovery.endpoints import Presence
from notchjunction.emulator.node import Node
from notchjunction.emulator.servers import Server

BUDGET_USED = 0.7  # of a cold server's budget that the top uses; the rest is what is on its way
GUARD = 0.02  # s before the abandon time at which a job without an answer is given up


class OneDispatch:
    """One dispatch a job, never sent again; the choice of server is what the policies differ in."""

    def __init__(self, terms: Terms, host: Host) -> None:
        self.terms = terms
        self.host = host
        self.random = Random(terms.seed)
        self.ready: list[int] = []
        self.flights: dict[int, int] = {}
        self._known: dict[int, Presence] = {}
        self._barred: set[int] = set()
        self._held: dict[int, int] = {}
        self._due: dict[int, Callable[[], None]] = {}
        self._token = 0
        host.follow()

    def choose(self) -> int:
        return self.random.choice(self.ready)

    def take(self, job: Job) -> None:
        if not self.ready:
            self.host.turn_back(job.id, 0.25)
            return
        server = self.choose()
        self._held[job.id] = server
        self.flights[server] = self.flights.get(server, 0) + 1
        self.host.dispatch(job.id, server, max(job.time_left - GUARD, 0.001))
        self._after(max(job.time_left - GUARD, 0.001), lambda: self._give_up(job.id))

    def outcome(self, outcome: Outcome) -> None:
        self.flights[outcome.server] -= 1
        if self._held.pop(outcome.job, None) is None or outcome.over:
            return
        if outcome.result in (Result.FULL, Result.NO_CONNECTION, Result.NEVER_SENT):
            self.host.turn_back(outcome.job, 0.25)
        else:
            self.host.write_off(outcome.job)

    def _give_up(self, job: int) -> None:
        if self._held.pop(job, None) is not None:
            self.host.write_off(job)
            self.host.recall(job, 0)

    def withdrawn(self, job: int) -> None:
        if self._held.pop(job, None) is not None:
            self.host.recall(job, 0)

    def listed(self, news: News, entries: Sequence[ServerEntry]) -> None:
        if news is News.FAILED:
            self._after(0.25 + 0.25 * self.random.random(), self.host.follow)
            return
        if news is not News.CHANGES:
            self._known = {}
        self._known.update({entry.server: entry.presence for entry in entries})
        self._open()

    def barred(self, server: int, out: bool) -> None:
        (self._barred.add if out else self._barred.discard)(server)
        self._open()

    def heard(self, told: Sequence[Told]) -> None:
        """A baseline goes by its own traffic alone."""

    def _open(self) -> None:
        ready = (server for server, presence in self._known.items() if presence is Presence.READY)
        self.ready = [server for server in ready if server not in self._barred]

    def timer(self, token: int) -> None:
        self._due.pop(token)()

    def _after(self, delay: float, due: Callable[[], None]) -> None:
        self._token += 1
        self._due[self._token] = due
        self.host.set_timer(delay, self._token)

    # What makes no difference to these.

    def whole(self, job: int, most: float = 0.0) -> None:
        pass

    def repeat_until(self, job: int, dispatch: int) -> float:
        return math.inf

    def streaming(self, job: int, dispatch: int) -> None:
        pass

    def probed(self, server: int, result: Result, load: Load | None) -> None:
        pass

    def retuned(self, terms: Terms, profiles: Mapping[int, Profile]) -> None:
        self.terms = terms

    def lessons(self) -> dict[str, Any]:
        return {}

    def learn(self, lessons: Mapping[str, Any]) -> None:
        pass


class InTurn(OneDispatch):
    """Round robin, from a random start."""

    def __init__(self, terms: Terms, host: Host) -> None:
        super().__init__(terms, host)
        self._next = self.random.randrange(1_000_000)

    def choose(self) -> int:
        self._next += 1
        return self.ready[self._next % len(self.ready)]


class LeastOut(OneDispatch):
    """The server with the fewest of this node's own jobs, at random among equals."""

    def choose(self) -> int:
        return min(self.ready, key=lambda server: (self.flights.get(server, 0), self.random.random()))


class TrueState(OneDispatch):
    """Sees each server as it is, at once: up, hung, slow, cold, and what it holds. No node can."""

    def choose(self) -> int:
        return min(self.ready, key=self._wait)

    def _wait(self, server: int) -> tuple[float, float]:
        true = self.true(server)
        if not true.up or true.hung:
            return float("inf"), 0.0
        held = len(true.running) + len(true.waiting) + 1
        return held * true.pace() / true.tier.workers, self.random.random()

    def true(self, server: int) -> Server:
        assert isinstance(self.host, Node)
        return self.host.world.servers[server]


class Top(TrueState):
    """It knows rule 4's budget too, and what a server holds before it turns slow: the upper bound."""

    def take(self, job: Job) -> None:
        able = [server for server in self.ready if self._bears(self.true(server))]
        if not able:
            self.host.turn_back(job.id, 0.25)
            return
        all_ready, self.ready = self.ready, able
        super().take(job)
        self.ready = all_ready

    def _bears(self, server: Server) -> bool:
        assert isinstance(self.host, Node)
        most = self.host.world.scenario.overdrive_jobs * server.tier.workers
        crowded = most and len(server.waiting) >= most
        return server.up and not server.hung and not crowded and server.bears(0.0, BUDGET_USED)


VARIANTS: dict[str, Callable[[Terms, Host], Decisions]] = {
    "module": Balancer,
    "random": OneDispatch,
    "in turn": InTurn,
    "least out": LeastOut,
    "true state": TrueState,
    "top": Top,
}
