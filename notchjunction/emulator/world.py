"""Servers, discovery, clients and nodes in virtual time; each node is a real `Balancer` on a host of its own.

The clock and the order of events are SimPy's. All chance comes from one generator, so a seed gives one run.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import simpy

from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream
from notchjunction.emulator.trace import Answered, Final, Probed, Ran, Row, Sent, Story, Taken, Tipped, Told
from notchjunction.interface import (
    Decisions,
    Host,
    Job,
    Load,
    News,
    Outcome,
    Presence,
    Result,
    ServerEntry,
    Terms,
)
from notchjunction.rules import Balancer

BEGAN = 1_000_000.0  # s; Unix time at which a run begins, so that no server start is mistaken for "long ago"
GRACE = 0.5  # s after word of a drain within which a send is forgiven
TICK = 0.005  # s; what a node is told its timers may be late by
ASK_WITHIN = 10.0  # s in which a node has to ask for the list
PROBE_WORK = 0.003  # s of a server's work that a probe costs
PROBE_WITHIN = 0.3  # s that a probe may take

Make = Callable[[Terms, Host], Decisions]


@dataclass(slots=True, eq=False)
class Work:
    node: Node
    job: int
    dispatch: int
    seconds: float
    over: bool = False  # the node no longer waits


@dataclass(slots=True, eq=False)
class Server:
    number: int
    zone: int
    speed: float
    started_at: float = 0.0
    up: bool = True
    hung: bool = False
    slow: float = 1.0
    presence: Presence = Presence.READY
    running: list[Work] = field(default_factory=list)
    waiting: deque[Work] = field(default_factory=deque)
    pushed: deque[tuple[float, float, bool]] = field(default_factory=deque)  # by a node told of it


class World:
    def __init__(self, scenario: Scenario, make: Make = Balancer) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.env = simpy.Environment(BEGAN)
        self.rows: list[Row] = []
        self._tries = 0
        self.servers = [
            Server(number, number % scenario.zones, self.random.choice((0.7, 1.0, 1.4)))
            for number in range(scenario.servers)
        ]
        self.discovery = Discovery(self)
        self.nodes = [Node(self, number, make) for number in range(scenario.nodes)]
        for stream in scenario.streams:
            self.after(stream.at + self.random.expovariate(stream.rate), partial(self._arrive, stream))
        for fault in scenario.faults:
            self.after(fault.at, partial(self._begin, fault))
            self.after(fault.until, partial(self._end, fault))

    @property
    def now(self) -> float:
        return float(self.env.now)

    def after(self, delay: float, due: Callable[[], None]) -> None:
        event = self.env.timeout(max(0.0, delay))
        assert event.callbacks is not None
        event.callbacks.append(lambda _: due())

    def hop(self) -> float:
        return self.scenario.latency * (1 + self.scenario.jitter * self.random.random())

    def play(self) -> Story:
        self.env.run(BEGAN + self.scenario.length)
        return Story(tuple(self.rows), self.scenario.profiles, GRACE, 2 * TICK, self.now)

    # Clients.

    def _arrive(self, stream: Stream) -> None:
        if self.now - BEGAN < stream.until:
            self.after(self.random.expovariate(stream.rate), partial(self._arrive, stream))
            self._tries += 1
            self._ask(stream, self._tries, self.now, 1)

    def _ask(self, stream: Stream, first: int, began: float, tries: int) -> None:
        left = began + self.scenario.profiles[stream.profile].abandon_time - self.now
        if left > 0:
            node = self.random.choice(self.nodes)
            work = stream.work * self.random.uniform(0.5, 1.5)
            node.take(stream, first, began, tries, left, work)

    def turned_back(self, stream: Stream, first: int, began: float, tries: int, advice: float) -> None:
        if tries < self.scenario.client_tries:
            pause = max(advice, self.scenario.client_pause * self.random.uniform(1, 2))
            self.after(pause, partial(self._ask, stream, first, began, tries + 1))

    # Faults.

    def _begin(self, fault: Fault) -> None:
        for server in (self.servers[number] for number in fault.servers):
            if fault.kind is Kind.CRASH:
                self.stop(server)
            elif fault.kind is Kind.HANG:
                server.hung = True
            elif fault.kind is Kind.SLOW:
                server.slow = fault.size
            elif fault.kind is Kind.DRAIN:
                server.presence = Presence.DRAINING
                self.discovery.changed(server)
        if fault.kind is Kind.LIST_DOWN:
            self.discovery.down()

    def _end(self, fault: Fault) -> None:
        for server in (self.servers[number] for number in fault.servers):
            if fault.kind is Kind.CRASH:
                server.up, server.started_at = True, self.now
                self.discovery.changed(server)
            elif fault.kind is Kind.HANG:
                server.hung = False
                self._work_on(server)
            elif fault.kind is Kind.SLOW:
                server.slow = 1.0
            elif fault.kind is Kind.DRAIN:
                server.presence = Presence.GONE
                self.stop(server)
                self.discovery.changed(server)
        if fault.kind is Kind.LIST_DOWN:
            self.discovery.up = True

    def stop(self, server: Server) -> None:
        """Resets what it holds; it takes nothing until it is up again."""
        server.up = False
        for work in [*server.running, *server.waiting]:
            self.after(self.hop(), partial(work.node.ended, work, Result.RESET))
        server.running, server.waiting = [], deque()

    # Servers.

    def warmth(self, server: Server) -> float:
        if server.started_at == 0.0:
            return 1.0
        warmed = min((self.now - server.started_at) / self.scenario.cold_time, 1.0)
        return self.scenario.cold_share + (1 - self.scenario.cold_share) * warmed

    def reach(self, server: Server, work: Work) -> None:
        """The request's last byte has come to the server."""
        refusal = Result.NO_CONNECTION if not server.up else None
        if refusal is None:
            self._push(server, work)
            full = len(server.waiting) >= self.scenario.queue_most
            refusal = Result.FULL if full or server.presence is not Presence.READY or not server.up else None
        if refusal is not None:
            self.after(self.hop(), partial(work.node.ended, work, refusal))
            return
        server.waiting.append(work)
        self._work_on(server)

    def _push(self, server: Server, work: Work) -> None:
        """A cold server that is sent more than it bears over a span goes down for good."""
        if server.started_at == 0.0 or self.now > server.started_at + self.scenario.cold_time:
            return
        span = self.scenario.tip_span
        told = work.node.starts.get(server.number, 0.0) >= server.started_at
        server.pushed.append((self.now, work.seconds, told))
        while server.pushed[0][0] < self.now - span:
            server.pushed.popleft()
        most = self.scenario.tip_multiple * server.speed * self.scenario.workers * span * self.warmth(server)
        total = sum(seconds for _, seconds, _ in server.pushed)
        if total > most:
            knowing = sum(seconds for _, seconds, told in server.pushed if told)
            self.rows.append(Tipped(self.now, server.number, knowing / total))
            self.stop(server)

    def _work_on(self, server: Server) -> None:
        if server.hung or not server.up:
            return
        while server.waiting and len(server.running) < self.scenario.workers:
            work = server.waiting.popleft()
            if work.over:
                continue
            server.running.append(work)
            self.rows.append(Ran(self.now, work.node.number, work.job, work.dispatch, server.number))
            crowd = 1 + self.scenario.thrash * len(server.waiting)
            self.after(
                work.seconds * server.slow * crowd / (server.speed * self.warmth(server)),
                partial(self._finish, server, work),
            )

    def _finish(self, server: Server, work: Work) -> None:
        if work not in server.running:
            return  # it went down meanwhile
        if server.hung:
            self.after(0.1, partial(self._finish, server, work))
            return
        server.running.remove(work)
        self.after(self.hop(), partial(work.node.ended, work, Result.HONOURED))
        self._work_on(server)

    def probe_seconds(self, server: Server) -> float | None:
        """What a probe takes there; None where no answer comes."""
        if not server.up or server.hung:
            return None
        held = len(server.running) + len(server.waiting)
        crowd = max(1.0, held / self.scenario.workers)
        return 2 * self.hop() + PROBE_WORK * crowd * server.slow / (server.speed * self.warmth(server))


class Discovery:
    """Works through calls in turn, refuses what would wait too long, and holds watches."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.up = True
        self._free_at = BEGAN
        self._version = 0
        self._changes: list[ServerEntry] = []
        self._watching: list[tuple[Node, int]] = []

    def entry(self, server: Server) -> ServerEntry:
        return ServerEntry(server.number, server.presence, server.started_at, server.zone, server.zone)

    def changed(self, server: Server) -> None:
        entry = self.entry(server)
        self._world.after(self._world.scenario.list_delay, partial(self._publish, entry))

    def down(self) -> None:
        self.up = False
        watching, self._watching = self._watching, []
        for node, _ in watching:
            self._world.after(self._world.hop(), partial(node.heard, None, 0))

    def call(self, node: Node, version: int) -> None:
        now, rate = self._world.now, self._world.scenario.list_rate
        begins = max(now, self._free_at)
        if not self.up or begins - now > self._world.scenario.list_wait:
            self._world.after(2 * self._world.hop(), partial(node.heard, None, 0))
            return
        self._free_at = begins + 1 / rate
        self._world.after(self._free_at - now, partial(self.watch, node, version))

    def watch(self, node: Node, version: int) -> None:
        """Answers at once where there is something newer, else once there is; a kept watch costs no work."""
        if not self.up:
            self._world.after(self._world.hop(), partial(node.heard, None, 0))
        elif version < self._version:
            news = self._changes[version:]
            self._world.after(self._world.hop(), partial(node.heard, news, self._version))
        else:
            self._watching.append((node, version))

    def _publish(self, entry: ServerEntry) -> None:
        self._changes.append(entry)
        self._version += 1
        watching, self._watching = self._watching, []
        for node, version in watching:
            self.watch(node, version)


class Node:
    """The host of one real decision module."""

    def __init__(self, world: World, number: int, make: Make) -> None:
        self._world = world
        self.number = number
        scenario = world.scenario
        self._version = 0
        self.starts: dict[int, float] = {}  # of servers, as told
        self._jobs = 0
        self._asks: dict[int, tuple[Stream, int, float, int]] = {}
        self._seconds: dict[int, float] = {}
        self._out: dict[tuple[int, int], Work] = {}
        self._sent_at: dict[tuple[int, int], tuple[float, int]] = {}
        self._count: dict[int, int] = {}
        terms = Terms(
            seed=world.random.getrandbits(32),
            profiles=scenario.profiles,
            nodes=scenario.nodes,
            depth=0,
            depths=1,
            zone=number % scenario.zones,
            must_follow=True,
            max_dispatches=4,
            ask_within=ASK_WITHIN,
            tick=TICK,
            cold_share=scenario.cold_share,
            cold_time=scenario.cold_time,
            tip_multiple=scenario.tip_multiple,
        )
        self._core = make(terms, self)
        self._hear(News.REMEMBERED, [world.discovery.entry(server) for server in world.servers])

    @property
    def world(self) -> World:
        return self._world

    # What the world calls.

    def take(self, stream: Stream, first: int, began: float, tries: int, left: float, work: float) -> None:
        self._jobs += 1
        job = self._jobs
        self._asks[job] = (stream, first, began, tries)
        self._seconds[job] = work
        now = self._world.now
        self._world.rows.append(Taken(now, self.number, job, stream.profile, now + left, first))
        self._core.take(Job(job, stream.profile, 0, left, repeat=tries > 1))

    def ended(self, work: Work, result: Result) -> None:
        key = (work.job, work.dispatch)
        if self._out.pop(key, None) is None:
            return
        work.over = True
        at, server = self._sent_at.pop(key)
        first = result is Result.HONOURED and work.job in self._asks
        if first:
            self._answer(work.job, Final.HONOURED)
        over = work.job not in self._asks
        seconds = self._world.now - at
        self._core.outcome(Outcome(work.job, work.dispatch, server, result, seconds, over))

    def heard(self, news: list[ServerEntry] | None, version: int) -> None:
        if news is None:
            self._core.listed(News.FAILED, ())
            return
        self._version = version
        self._hear(News.CHANGES, news)
        self._world.after(self._world.hop(), partial(self._world.discovery.watch, self, version))

    def _hear(self, news: News, entries: list[ServerEntry]) -> None:
        now = self._world.now
        self.starts.update({entry.server: entry.started_at for entry in entries})
        self._world.rows += [Told(now, self.number, entry.server, entry.presence) for entry in entries]
        self._core.listed(news, entries)

    def _answer(self, job: int, final: Final) -> tuple[Stream, int, float, int] | None:
        """What its client asked; None where it has had its answer, which the checkers shall see."""
        self._world.rows.append(Answered(self._world.now, self.number, job, final))
        self._seconds.pop(job, None)
        self._count.pop(job, None)
        return self._asks.pop(job, None)

    # The module's Host.

    def now(self) -> float:
        return self._world.now

    def dispatch(self, job: int, server: int, within: float) -> None:
        number = self._count.get(job, 0)
        self._count[job] = number + 1
        world = self._world
        world.rows.append(Sent(world.now, self.number, job, number, server))
        work = Work(self, job, number, self._seconds.get(job, 0.1))
        self._out[job, number] = work
        self._sent_at[job, number] = (world.now, server)
        world.after(world.hop(), partial(world.reach, world.servers[server], work))
        world.after(within, partial(self.ended, work, Result.TIMED_OUT))

    def recall(self, job: int, dispatch: int) -> None:
        work = self._out.get((job, dispatch))
        if work is not None:
            self._world.after(0.0, partial(self.ended, work, Result.RECALLED))

    def probe(self, server: int) -> None:
        world = self._world
        world.rows.append(Probed(world.now, self.number, server))
        seconds = world.probe_seconds(world.servers[server])
        late = seconds is None or seconds > PROBE_WITHIN
        result = Result.TIMED_OUT if late else Result.HONOURED
        load = None if late else Load(held=float(len(world.servers[server].running)))
        due = partial(self._core.probed, server, result, load)
        world.after(PROBE_WITHIN if seconds is None else min(seconds, PROBE_WITHIN), due)

    def turn_back(self, job: int, come_back_in: float) -> None:
        asked = self._answer(job, Final.TURNED_BACK)
        if asked is not None:
            self._world.turned_back(*asked, come_back_in)

    def write_off(self, job: int) -> None:
        self._answer(job, Final.WRITTEN_OFF)

    def set_timer(self, delay: float, token: int) -> None:
        self._world.after(delay, lambda: self._core.timer(token))

    def follow(self) -> None:
        self._world.after(self._world.hop(), partial(self._world.discovery.call, self, self._version))

    def set_aside(self, server: int, seconds: float) -> None:
        pass
