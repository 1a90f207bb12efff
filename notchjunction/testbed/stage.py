"""Plays a scenario against real node processes on loopback, and tells it as the emulator tells its runs.

Servers, discovery, clients and faults are the emulator's models on a real clock; the nodes are the program.
Rows are what the stand-ins saw: a dispatch counts when its server has read it, so one that never arrived is
no row, and only the first of a job's dispatches is known as such by its order.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.balancing.interface import EndpointEntry, Idempotency
from notchjunction.emulator import faults
from notchjunction.emulator.checkers import (
    GONE_AFTER,
    clean_drains,
    gentle_fail_back,
    no_double_effects,
    none_for_the_gone,
    one_answer,
    retry_bound,
    told_in_time,
)
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.node import NO_TRY
from notchjunction.emulator.scenario import Fault, Scenario, Stream
from notchjunction.emulator.servers import Below, Call, Server, build
from notchjunction.emulator.trace import (
    AttemptEnded,
    AttemptExecuted,
    AttemptSent,
    ClientClosed,
    DiscoveryReachable,
    EndpointNotified,
    FinalResponse,
    ProbeSent,
    RequestAccepted,
    RequestAnswered,
    ServerOverloaded,
    Trace,
    TraceRow,
)
from notchjunction.http1.messages import Request
from notchjunction.testbed.client import Callers
from notchjunction.testbed.clock import LoopClock
from notchjunction.testbed.discovery import DiscoveryStandIn, list_text
from notchjunction.testbed.process import NodeProcess
from notchjunction.testbed.server import WORK, ServerStandIn, free_listener, time_left

GRACE = 0.55  # s after word of a drain within which a send is forgiven; the rule's, and its slack on sockets
LOOK_EVERY = 0.01  # s between looks at how late this process's own loop is; short against any bound
SLACK = 0.1  # s past the abandon time within which a final answer is forgiven, on a busy machine
FINALS = {200: FinalResponse.SUCCEEDED, 429: FinalResponse.REJECTED, 503: FinalResponse.REJECTED}


@dataclass(frozen=True, slots=True)
class NodePlace:
    """A node process, its discovery, and the tier that it stands before."""

    process: NodeProcess
    discovery: DiscoveryStandIn
    tier: int


class _Flight:
    """A server's call to the next tier, as a task."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def withdraw(self) -> None:
        self._task.cancel()


class Stage:
    """One scenario on sockets; what `faults.EFFECTS` sees of it is what it sees of the emulator's world."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.clock = LoopClock()
        self.rows: list[TraceRow] = []
        self.counters: list[Mapping[str, float]] = []
        self.lateness = 0.0  # s by which the clients' schedule fell behind at most
        self._stall = 0.0  # s by which what had come here was read late at most
        self._folder = folder
        self._cut: frozenset[int] = frozenset()
        self._callers = Callers()
        self._starts: dict[tuple[int, int], float] = {}  # by node and server, as told
        self._dispatches: dict[tuple[int, str], int] = {}
        self._out: dict[
            int, AttemptSent
        ] = {}  # by the request's identity: two dispatches of a job may be equal
        self._jobs: dict[tuple[int, str], int] = {}
        self._asked = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._places: dict[int, NodePlace] = {}
        self._zones: dict[int, int] = {}
        self.nodes: list[int] = []
        self.below: dict[int, int] = {}  # of each server above the deepest tier: its node
        self.tiers = build(scenario, self.clock, self.random, self._ran, self._tipped, self._call_below)
        self.servers = [server for row in self.tiers for server in row]
        self._standins = [
            ServerStandIn(
                server,
                self.clock,
                partial(self._came, server),
                partial(self._probed, server),
                self._has_landed,
            )
            for server in self.servers
        ]
        self.discovery = Discovery(scenario, self.clock, len(self.tiers), self.rows.append)

    # The day.

    async def play(self) -> Trace:
        """Starts all, plays the scenario's length in real time, ends all; RuntimeError where a node dies."""
        scenario = self.scenario
        try:
            for number in range(scenario.nodes):
                self.nodes.append(await self._node(0, number % scenario.zones, scenario.nodes))
            for depth, row in enumerate(self.tiers[:-1]):
                for server in row:
                    self.below[server.number] = await self._node(depth + 1, server.zone, len(row))
            await self._all_ready()
            self.rows[:] = [row for row in self.rows if isinstance(row, DiscoveryReachable)]
            began = self.clock.now
            self._begin()
            self._start(self._look_at_stalls())
            for stream in scenario.streams:
                self._start(self._arrivals(stream, began))
            for fault in scenario.faults:
                row_of = faults.EFFECTS[fault.kind]
                self.clock.after(fault.at, partial(self._fault, row_of.begins, fault))
                self.clock.after(fault.until, partial(self._fault, row_of.ends, fault))
            await asyncio.sleep(scenario.length)
            ended = self.clock.now
            story_rows = tuple(self.rows)
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            places = list(self._places.values())
            self.counters = await asyncio.gather(*(place.process.end() for place in places))
            for place in places:
                place.discovery.close()
            for standin in self._standins:
                standin.close()
            self._callers.close()
        crossing = GONE_AFTER + self._stall
        return Trace(story_rows, scenario.profiles, GRACE, SLACK, ended, cancel_delay=crossing)

    async def _look_at_stalls(self) -> None:
        """Guards against blaming a node for what this process read late, on a busy machine."""
        while True:
            due = self.clock.now + LOOK_EVERY
            await asyncio.sleep(LOOK_EVERY)
            self._stall = max(self._stall, self.clock.now - due)

    async def _all_ready(self) -> None:
        for place in self._places.values():
            await place.process.ready(self._callers)

    def _begin(self) -> None:
        """What else goes wrong, from now on."""

    def _more(self, number: int) -> Mapping[str, Any]:
        """Further parts of a node's file."""
        return {}

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Nodes.

    async def _node(self, tier: int, zone: int, group: int) -> int:
        number = len(self._zones)
        self._zones[number] = zone
        place = free_listener()
        listen: Address = place.getsockname()
        place.close()
        addresses: dict[int, Address] = {}
        for server in self.tiers[tier]:
            addresses[server.number] = await self._standins[server.number].open_to(number)

        def whole() -> list[EndpointEntry]:
            return [self.discovery.entry(server) for server in self.tiers[tier]]

        standin = DiscoveryStandIn(
            self.discovery, self.clock, tier, number, whole, addresses.__getitem__, self._told
        )
        self.discovery.join(tier, number)
        process = NodeProcess(number, listen, self._folder)
        known = json.loads(list_text(whole(), self.discovery.version(tier), True, addresses.__getitem__))
        more = self._more(number)
        process.start(self.scenario, tier, zone, group, await standin.open(), known, more)
        self._places[number] = NodePlace(process, standin, tier)
        return number

    def stop(self, server: Server) -> None:
        self._standins[server.number].stop()
        node = self.below.pop(server.number, None)
        if node is not None:
            place = self._places.pop(node)
            place.process.kill()
            place.discovery.close()
            self._callers.forget(place.process.listen)
            for other in self.tiers[place.tier]:
                self._standins[other.number].shut(node)

    def start(self, server: Server) -> None:
        self._start(self._restart(server))

    async def _restart(self, server: Server) -> None:
        """With its node, where it calls on; only then does it listen."""
        depth = next(depth for depth, row in enumerate(self.tiers) if server in row)
        if depth + 1 < len(self.tiers):
            node = await self._node(depth + 1, server.zone, len(self.tiers[depth]))
            await self._places[node].process.ready(self._callers)
            self.below[server.number] = node
        await self._standins[server.number].start()

    # What `faults.EFFECTS` sets.

    @property
    def cut(self) -> frozenset[int]:
        return self._cut

    @cut.setter
    def cut(self, zones: frozenset[int]) -> None:
        self._cut = zones
        for standin in self._standins:
            for node, door in standin.doors.items():
                door.silent = (self._zones[node] in zones) != (standin.server.zone in zones)

    def _fault(self, do: Callable[..., None], fault: Fault) -> None:
        do(self, fault, [self.tiers[fault.tier][number] for number in fault.servers])

    # Callers.

    async def _arrivals(self, stream: Stream, began: float) -> None:
        """Open loop: no answer is waited for."""
        at = began + stream.at + self.random.expovariate(stream.rate)
        while at < began + min(stream.until, self.scenario.length):
            await asyncio.sleep(at - self.clock.now)
            self.lateness = max(self.lateness, self.clock.now - at)
            self._asked += 1
            self._start(self._try(stream, self._asked, at))
            at += self.random.expovariate(stream.rate)

    async def _try(self, stream: Stream, first: int, began: float) -> None:
        """A client's tries of one job."""
        scenario, profile = self.scenario, self.scenario.profiles[stream.profile]
        for tries in range(scenario.client_tries):
            left = min(
                began + profile.deadline - self.clock.now,
                scenario.client_patience * profile.deadline,
            )
            if left <= 0:
                return
            node = self.random.choice(self.nodes)
            work = stream.work * self.random.uniform(0.5, 1.5)
            leaves = scenario.client_leaves
            stays = None
            if leaves and self.random.random() < leaves:
                stays = left * self.random.random()
            final = await self._ask(
                node, stream.profile, left, work, first, tries > 0, stream.operator, stays
            )
            harmless = final is FinalResponse.FAILED and profile.idempotency is Idempotency.IDEMPOTENT
            if final is not FinalResponse.REJECTED and not harmless:
                return
            await asyncio.sleep(scenario.client_pause * self.random.uniform(1, 2))

    async def _ask(
        self,
        node: int,
        profile: int,
        left: float,
        work: float,
        first: int,
        repeat: bool,
        operator: int = 0,
        stays: float | None = None,
    ) -> FinalResponse:
        """How the node answered in `left` seconds; after `stays`, if any, the caller closes."""
        job = len(self._jobs) + 1
        name = f"j{job}"
        self._jobs[node, name] = job
        effect = self.scenario.profiles[profile].idempotency
        headers = {
            "host": "app",
            protocol.REQUEST_ID: name,
            protocol.REQUEST_CLASS: f"p{profile}",
            protocol.DEADLINE_MS: str(max(1, int(left * 1000))),
            **({protocol.CLIENT_RETRY: "1"} if repeat else {}),
            **({protocol.IDEMPOTENCY_KEY: name} if effect is Idempotency.KEYED else {}),
            **({protocol.TENANT: f"o{operator}"} if self.scenario.quotas else {}),
        }
        method = "GET" if effect is Idempotency.IDEMPOTENT else "POST"
        request = Request(method, f"{protocol.REQUEST_PATH}?{WORK}={work:.5f}", headers)
        self.rows.append(RequestAccepted(self.clock.now, node, job, profile, self.clock.now + left, first))
        try:
            place = self._places[node].process.listen
            async with asyncio.timeout(stays):
                status = await self._callers.ask(place, request, left + SLACK / 2)
        except TimeoutError:
            self.rows.append(RequestAnswered(self.clock.now, node, job, FinalResponse.CANCELLED))
            return FinalResponse.CANCELLED
        except asyncio.CancelledError:
            self.rows.append(RequestAnswered(self.clock.now, node, job, FinalResponse.CANCELLED))
            raise
        if status is None:
            self.rows.append(ClientClosed(self.clock.now, node, job))
            return FinalResponse.FAILED  # no answer at all: no row, and the rule on answers is broken
        final = FINALS.get(status, FinalResponse.FAILED)
        self.rows.append(RequestAnswered(self.clock.now, node, job, final))
        return final

    def _call_below(self, server: int, call: Call, left: float, done: Callable[[bool], None]) -> Below:
        async def ask() -> None:
            node = self.below.get(server)
            final = FinalResponse.FAILED
            if node is not None:
                final = await self._ask(node, call.profile, left, call.seconds, NO_TRY, False)
            done(final is FinalResponse.SUCCEEDED)

        return _Flight(self._start(ask()))

    # What the stand-ins saw.

    def _came(self, server: Server, node: int, request: Request) -> bool:
        """A dispatch has been read; whether its node had been told of the server's last start."""
        name = request.headers.get(protocol.REQUEST_ID, "")
        number = self._dispatches.get((node, name), 0)
        self._dispatches[node, name] = number + 1
        job = self._jobs.get((node, name), 0)
        now = self.clock.now
        sent = AttemptSent(now, node, job, number, server.number, now + time_left(request))
        self.rows.append(sent)
        self._out[id(request)] = sent
        return self._starts.get((node, server.number), 0.0) >= server.started_at

    def _has_landed(self, node: int, request: Request) -> None:
        sent = self._out.pop(id(request))
        self.rows.append(AttemptEnded(self.clock.now, node, sent.request, sent.attempt, sent.server))

    def _probed(self, server: Server, node: int) -> None:
        self.rows.append(ProbeSent(self.clock.now, node, server.number))

    def _ran(self, server: Server, call: Call) -> None:
        assert isinstance(call.name, tuple)
        node, name, _ = call.name
        number = self._dispatches.get((node, name), 1) - 1
        self.rows.append(
            AttemptExecuted(self.clock.now, node, self._jobs.get((node, name), 0), number, server.number)
        )

    def _tipped(self, server: Server, knowing: float) -> None:
        self.rows.append(ServerOverloaded(self.clock.now, server.number, knowing))
        self.clock.after(0.0, partial(self.stop, server))

    def _told(self, node: int, entries: Sequence[EndpointEntry]) -> None:
        now = self.clock.now
        self._starts.update({(node, entry.number): entry.started_at for entry in entries})
        self.rows += [EndpointNotified(now, node, entry.number, entry.state) for entry in entries]


SEEN = (
    one_answer,
    none_for_the_gone,
    no_double_effects,
    clean_drains,
    told_in_time,
    gentle_fail_back,
    retry_bound,
)


def breaches(story: Trace) -> list[str]:
    """What stand-ins can see of the rules; probes that meet a dead server they do not."""
    return [f"{checker.__name__}: {text}" for checker in SEEN for text in checker(story)]
