"""A node in virtual time: the host of one real decision module, and its connections to servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random
from typing import Protocol

from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerHost,
    BalancerSettings,
    EndpointEntry,
    Idempotency,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestBalancer,
)
from notchjunction.discovery.watch_state import ListWatch, WatchEvent
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.discovery import Heard as Listener
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.servers import Call, Server
from notchjunction.emulator.trace import (
    AttemptEnded,
    AttemptSent,
    EndpointNotified,
    FinalResponse,
    ProbeSent,
    RequestAccepted,
    RequestAnswered,
    TraceRow,
)

TICK = 0.005  # s; what a node is told its timers may be late by
ASK_WITHIN = 10.0  # s in which a node has to ask for the list
PROBE_WITHIN = 0.3  # s that a probe may take
MAX_DISPATCHES = 4
CONNECTION_PRICE = 0.01  # told where connections cost something; its size decides nothing
CROSSING_PRICE = 0.05  # told where zones lie apart

Make = Callable[[BalancerSettings, BalancerHost], RequestBalancer]
NO_TRY = -1  # the first try of a call that a server makes


class Surroundings(Clock, Protocol):
    """What a node needs of the world that it stands in."""

    scenario: Scenario
    discovery: Discovery
    random: Random
    rows: list[TraceRow]
    servers: list[Server]  # by number
    tiers: list[list[Server]]

    def hop(self) -> float:
        """Seconds that a message takes within a zone; drawn anew each time."""

    def carry(self, here: int, there: int, due: Callable[[], None]) -> None:
        """A message from one zone to another, which calls `due` as it arrives."""


@dataclass(slots=True)
class Asked:
    """A job as its caller has it; `done` hears the final answer, and the advice of a turn-back."""

    profile: int
    left: float
    work: float
    done: Callable[[FinalResponse, float], None]
    operator: int = 0
    first_try: int = NO_TRY
    repeat: bool = False


@dataclass(slots=True, eq=False)
class Link:
    """One connection to a server."""

    server: Server
    life: int
    idle_since: float = 0.0


@dataclass(slots=True, eq=False)
class Out:
    """A dispatch that has no outcome yet."""

    call: Call
    server: Server
    at: float
    link: Link | None = None


@dataclass(slots=True)
class UnderWay:
    """A call of a server's to the next tier."""

    node: Node
    job: int

    def withdraw(self) -> None:
        self.node.withdraw(self.job)


@dataclass(slots=True)
class Links:
    """The connections of one node; none is counted where they cost nothing."""

    world: Surroundings
    idle: dict[int, list[Link]] = field(default_factory=dict)

    def take(self, server: Server) -> Link | None:
        """The newest idle one that is fit."""
        kept = self.idle.get(server.number, [])
        while kept:
            link = kept.pop()
            if link.life == server.life:
                return link
        return None

    def give_back(self, link: Link) -> None:
        link.idle_since = self.world.now
        self.idle.setdefault(link.server.number, []).append(link)
        self.world.after(self.world.scenario.connection_idle, partial(self._retire, link, link.idle_since))

    def close(self, link: Link) -> None:
        link.server.disconnect(link.life)

    def _retire(self, link: Link, since: float) -> None:
        kept = self.idle.get(link.server.number, [])
        if link in kept and link.idle_since == since:
            kept.remove(link)
            self.close(link)

    def close_all(self) -> None:
        for kept in self.idle.values():
            for link in kept:
                self.close(link)
        self.idle.clear()


class Node:
    """Before `tier`, in `zone`; `group` nodes stand there in all."""

    def __init__(
        self, world: Surroundings, number: int, tier: int, zone: int, group: int, make: Make
    ) -> None:
        self.world = world
        self.number, self.tier, self.zone = number, tier, zone
        self.alive = True
        scenario = world.scenario
        world.discovery.join(tier, number)
        self._version = world.discovery.version(tier)
        # Calls wait for ever where none falls silent: to make them again would cost each run events.
        self._following = ListWatch(ASK_WITHIN, seed=number) if scenario.has_unanswered_polls else None
        self._call = 0  # the last call for the list; what comes of an earlier one is not heard
        self._jobs = 0
        self._asked: dict[int, Asked] = {}
        self._out: dict[tuple[int, int], Out] = {}
        self._count: dict[int, int] = {}
        self._starts: dict[int, float] = {}  # of servers, as told
        self._links = Links(world)
        self._linked = scenario.connection_idle > 0
        terms = BalancerSettings(
            seed=world.random.getrandbits(32),
            request_classes=scenario.profiles,
            tenant_quotas=() if tier else scenario.quotas,
            node_count=group,
            tier=tier,
            tier_count=len(scenario.effective_tiers),
            zone=zone,
            polls_list=True,
            max_attempts=MAX_DISPATCHES,
            poll_interval=ASK_WITHIN,
            tick=TICK,
            cross_zone_cost=CROSSING_PRICE if scenario.zone_latency else 0.0,
            connection_cost=CONNECTION_PRICE if scenario.handshake_work else 0.0,
            connection_idle_timeout=scenario.connection_idle,
            slow_start_share=scenario.cold_share,
            slow_start_time=scenario.cold_time,
            overload_multiple=scenario.tip_multiple,
        )
        self._core = make(terms, self)
        self._hear(ListUpdate.CACHED, [world.discovery.entry(server) for server in world.tiers[tier]])

    # What the world calls.

    def take(self, asked: Asked) -> UnderWay:
        self._jobs += 1
        job = self._jobs
        self._asked[job] = asked
        now = self.world.now
        self.world.rows.append(
            RequestAccepted(now, self.number, job, asked.profile, now + asked.left, asked.first_try)
        )
        self._core.request_arrived(
            NewRequest(job, asked.profile, asked.operator, asked.left, is_client_retry=asked.repeat)
        )
        return UnderWay(self, job)

    def withdraw(self, job: int) -> None:
        if self.alive and job in self._asked:
            self._answer(job, FinalResponse.CANCELLED)
            self._core.request_cancelled(job)

    def die(self) -> None:
        """Goes with the server that it serves; nothing more is heard of it."""
        self.alive = False
        for job in list(self._asked):
            self._answer(job, FinalResponse.CANCELLED)
        for key, out in list(self._out.items()):
            self._has_landed(key, out)
            self._let_go(out)
        self._out.clear()
        self._links.close_all()
        self.world.discovery.forget(self.number)

    # Dispatches.

    def send_attempt(self, job: int, server: int, within: float) -> None:
        number = self._count.get(job, 0)
        self._count[job] = number + 1
        world, now = self.world, self.world.now
        world.rows.append(AttemptSent(now, self.number, job, number, server, now + within))
        asked = self._asked.get(job)
        to = world.servers[server]
        key = (job, number)
        profile = asked.profile if asked else 0
        call = Call(
            name=(self.number, job, number),
            profile=profile,
            seconds=asked.work if asked else 0.0,
            until=now + within,
            answer=lambda result: world.carry(to.zone, self.zone, partial(self.ended, key, result)),
            number=(self.number, job)
            if world.scenario.profiles[profile].idempotency is Idempotency.KEYED
            else None,
        )
        out = self._out[key] = Out(call, to, now)
        world.after(within, partial(self.ended, key, AttemptResult.TIMED_OUT))
        if self._linked:
            out.link = self._links.take(to)
            if out.link is None:
                self._open(key, out)
                return
        world.carry(self.zone, to.zone, partial(self._reach, out))

    def _open(self, key: tuple[int, int], out: Out) -> None:
        """A connection comes up, is refused, or never does."""
        scenario, to = self.world.scenario, out.server

        def answered() -> None:
            if key not in self._out:
                return
            if not to.up:
                to_ended = AttemptResult.NO_CONNECTION
            elif not to.connect():
                to_ended = AttemptResult.REJECTED
            else:
                out.link = Link(to, to.life)
                out.call.seconds += scenario.handshake_work
                self._reach(out)
                return
            self.world.carry(to.zone, self.zone, partial(self.ended, key, to_ended))

        def silent() -> None:
            if key in self._out and out.link is None:
                self.ended(key, AttemptResult.NO_CONNECTION)

        self.world.carry(self.zone, to.zone, lambda: self.world.after(scenario.handshake_time, answered))
        self.world.after(scenario.handshake_time + scenario.connect_within, silent)

    def _reach(self, out: Out) -> None:
        out.call.knowing = self._starts.get(out.server.number, 0.0) >= out.server.started_at
        out.server.reach(out.call)

    def ended(self, key: tuple[int, int], result: AttemptResult) -> None:
        out = self._out.pop(key, None)
        if out is None or not self.alive:
            return
        self._has_landed(key, out)
        job, number = key
        gave_up = result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED)
        if gave_up:
            self._let_go(out)
        if out.link is not None:
            if gave_up or result is AttemptResult.RESET:
                self._links.close(out.link)
            else:
                self._links.give_back(out.link)
        if result is AttemptResult.SUCCEEDED and job in self._asked:
            self._answer(job, FinalResponse.SUCCEEDED)
        over = job not in self._asked
        seconds = self.world.now - out.at
        self._core.attempt_ended(AttemptOutcome(job, number, out.server.number, result, seconds, over))

    def _has_landed(self, key: tuple[int, int], out: Out) -> None:
        self.world.rows.append(AttemptEnded(self.world.now, self.number, *key, out.server.number))

    def _let_go(self, out: Out) -> None:
        self.world.carry(self.zone, out.server.zone, partial(out.server.drop, out.call))

    def _answer(self, job: int, final: FinalResponse, advice: float = 0.0) -> None:
        """Its caller's one final answer; a second one is a row too, which the checkers shall see."""
        self.world.rows.append(RequestAnswered(self.world.now, self.number, job, final))
        self._count.pop(job, None)
        asked = self._asked.pop(job, None)
        if asked is not None and final is not FinalResponse.CANCELLED:
            asked.done(final, advice)

    # The list.

    def heard(self, call: int, news: Sequence[EndpointEntry] | None, version: int) -> None:
        if not self.alive or call != self._call:
            return
        self._call += 1  # it has ended, and is not silent any more
        if self._following is not None:
            event = WatchEvent.REJECTED if news is None else WatchEvent.ANSWERED
            self._following.poll_ended(event, self.world.now)
        if news is None:
            self._core.list_updated(ListUpdate.FAILED, ())
            return
        self._version = version
        self._hear(ListUpdate.CHANGES, news)
        # A kept watch costs discovery no work.
        self._ask_for_list(self.world.discovery.watch)

    def _heard(self, call: int, news: Sequence[EndpointEntry] | None, version: int) -> None:
        self.world.after(self.world.hop(), partial(self.heard, call, news, version))

    def _ask_for_list(self, ask: Callable[[int, int, int, Listener, float], None]) -> None:
        world, wait = self.world, inf
        self._call += 1
        if self._following is not None:
            wait = self._following.next_wait(has_version=True)
            world.after(self._following.poll_started(world.now, wait), partial(self._silent, self._call))
        heard = partial(self._heard, self._call)
        world.after(world.hop(), partial(ask, self.tier, self.number, self._version, heard, wait))

    def _silent(self, call: int) -> None:
        if self.alive and call == self._call and self._following is not None:
            self._following.poll_ended(WatchEvent.TIMED_OUT, self.world.now)
            self._ask_for_list(self.world.discovery.call)

    def _hear(self, kind: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        now = self.world.now
        self._starts.update({entry.number: entry.started_at for entry in entries})
        self.world.rows += [
            EndpointNotified(now, self.number, entry.number, entry.state) for entry in entries
        ]
        self._core.list_updated(kind, entries)

    # The rest of the module's Host.

    def now(self) -> float:
        return self.world.now

    def cancel_attempt(self, job: int, dispatch: int) -> None:
        if (job, dispatch) in self._out:
            self.world.after(0.0, partial(self.ended, (job, dispatch), AttemptResult.CANCELLED))

    def send_probe(self, server: int) -> None:
        world, to = self.world, self.world.servers[server]
        world.rows.append(ProbeSent(world.now, self.number, server))
        done = False

        def answered(result: AttemptResult, load: LoadReport | None) -> None:
            nonlocal done
            if not done and self.alive:
                done = True
                self._core.probe_ended(server, result, load)

        def reached() -> None:
            seconds = to.probe_seconds()
            if seconds is None and not to.up:
                world.carry(to.zone, self.zone, partial(answered, AttemptResult.NO_CONNECTION, None))
            elif seconds is not None:
                world.after(
                    seconds,
                    lambda: world.carry(
                        to.zone, self.zone, partial(answered, AttemptResult.SUCCEEDED, to.report())
                    ),
                )

        world.carry(self.zone, to.zone, reached)
        world.after(PROBE_WITHIN, partial(answered, AttemptResult.TIMED_OUT, None))

    def reject(self, job: int, come_back_in: float) -> None:
        self._answer(job, FinalResponse.REJECTED, come_back_in)

    def fail(self, job: int) -> None:
        self._answer(job, FinalResponse.FAILED)

    def set_timer(self, delay: float, token: int) -> None:
        self.world.after(delay, lambda: self._core.timer_fired(token) if self.alive else None)

    def poll_list(self) -> None:
        self._ask_for_list(self.world.discovery.call)

    def report_ejection(self, server: int, seconds: float) -> None:
        pass

    def send_gossip(self, peer: int, newest: int, told: Sequence[PeerOutcome]) -> None:
        """Emulated nodes share nothing."""
