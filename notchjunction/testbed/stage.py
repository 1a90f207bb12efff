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
    Answered,
    Final,
    Landed,
    Left,
    Probed,
    Ran,
    Reached,
    Row,
    Sent,
    Story,
    Taken,
    Tipped,
    Told,
)
from notchjunction.http1.messages import Request
from notchjunction.testbed.client import FakeClients
from notchjunction.testbed.clock import LoopClock
from notchjunction.testbed.discovery import FakeDiscovery, NodeView, encode_list
from notchjunction.testbed.process import NodePlacement, NodeProcess
from notchjunction.testbed.server import WORK_PARAMETER, FakeServer, bind_free_port, remaining_time

DRAIN_GRACE_S = (
    0.55  # s after word of a drain within which a send is forgiven; the rule's, and its slack on sockets
)
STALL_CHECK_INTERVAL_S = (
    0.01  # s between looks at how late this process's own loop is; short against any bound
)
DEADLINE_SLACK_S = 0.1  # s past the abandon time within which a final answer is forgiven, on a busy machine
FINAL_BY_STATUS = {200: Final.HONOURED, 429: Final.TURNED_BACK, 503: Final.TURNED_BACK}


@dataclass(frozen=True, slots=True)
class PlacedNode:
    """A node process, its discovery, and the tier that it stands before."""

    process: NodeProcess
    discovery: FakeDiscovery
    tier: int


class _DownstreamCall:
    """A server's call to the next tier, as a task."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def withdraw(self) -> None:
        self._task.cancel()


class Stage:
    """One scenario on sockets; what `faults.TABLE` sees of it is what it sees of the emulator's world."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.clock = LoopClock()
        self.rows: list[Row] = []
        self.counters: list[Mapping[str, float]] = []
        self.schedule_lag = 0.0  # s by which the clients' schedule fell behind at most
        self._loop_stall = 0.0  # s by which what had come here was read late at most
        self._folder = folder
        self._cut_zones: frozenset[int] = frozenset()
        self._clients = FakeClients()
        self._notified_starts: dict[tuple[int, int], float] = {}  # by node and server, as told
        self._attempt_counts: dict[tuple[int, str], int] = {}
        self._in_flight: dict[
            int, Sent
        ] = {}  # by the request's identity: two dispatches of a job may be equal
        self._request_numbers: dict[tuple[int, str], int] = {}
        self._request_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._placed_nodes: dict[int, PlacedNode] = {}
        self._zones: dict[int, int] = {}
        self.nodes: list[int] = []
        self.below: dict[int, int] = {}  # of each server above the deepest tier: its node
        self.tiers = build(
            scenario, self.clock, self.random, self._on_effect, self._on_overload, self._call_below
        )
        self.servers = [server for row in self.tiers for server in row]
        self._fake_servers = [
            FakeServer(
                server,
                self.clock,
                partial(self._on_attempt, server),
                partial(self._on_probe, server),
                self._on_attempt_ended,
            )
            for server in self.servers
        ]
        self.discovery = Discovery(scenario, self.clock, len(self.tiers), self.rows.append)

    # The day.

    async def play(self) -> Story:
        """Starts all, plays the scenario's length in real time, ends all; RuntimeError where a node dies."""
        scenario = self.scenario
        try:
            for number in range(scenario.nodes):
                self.nodes.append(await self._start_node(0, number % scenario.zones, scenario.nodes))
            for depth, row in enumerate(self.tiers[:-1]):
                for server in row:
                    self.below[server.number] = await self._start_node(depth + 1, server.zone, len(row))
            await self._all_ready()
            self.rows[:] = [row for row in self.rows if isinstance(row, Reached)]
            began = self.clock.now
            self._on_started()
            self._spawn(self._measure_stalls())
            for stream in scenario.streams:
                self._spawn(self._send_stream(stream, began))
            for fault in scenario.faults:
                row_of = faults.TABLE[fault.kind]
                self.clock.after(fault.at, partial(self._apply_fault, row_of.begins, fault))
                self.clock.after(fault.until, partial(self._apply_fault, row_of.ends, fault))
            await asyncio.sleep(scenario.length)
            ended = self.clock.now
            story_rows = tuple(self.rows)
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            places = list(self._placed_nodes.values())
            self.counters = await asyncio.gather(*(place.process.terminate() for place in places))
            for place in places:
                place.discovery.close()
            for standin in self._fake_servers:
                standin.close()
            self._clients.close()
        crossing = GONE_AFTER + self._loop_stall
        return Story(story_rows, scenario.profiles, DRAIN_GRACE_S, DEADLINE_SLACK_S, ended, crossing=crossing)

    async def _measure_stalls(self) -> None:
        """Guards against blaming a node for what this process read late, on a busy machine."""
        while True:
            due = self.clock.now + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            self._loop_stall = max(self._loop_stall, self.clock.now - due)

    async def _all_ready(self) -> None:
        for place in self._placed_nodes.values():
            await place.process.wait_until_ready(self._clients)

    def _on_started(self) -> None:
        """What else goes wrong, from now on."""

    def _config_sections(self, number: int) -> Mapping[str, Any]:
        """Further parts of a node's file."""
        return {}

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Nodes.

    async def _start_node(self, tier: int, zone: int, group: int) -> int:
        number = len(self._zones)
        self._zones[number] = zone
        place = bind_free_port()
        listen: Address = place.getsockname()
        place.close()
        addresses: dict[int, Address] = {}
        for server in self.tiers[tier]:
            addresses[server.number] = await self._fake_servers[server.number].open_port(number)

        def whole() -> list[EndpointEntry]:
            return [self.discovery.entry(server) for server in self.tiers[tier]]

        view = NodeView(number, tier, whole, addresses.__getitem__, self._on_notified)
        standin = FakeDiscovery(self.discovery, self.clock, view)
        self.discovery.join(tier, number)
        process = NodeProcess(number, listen, self._folder)
        known = json.loads(encode_list(whole(), self.discovery.version(tier), True, addresses.__getitem__))
        more = self._config_sections(number)
        placement = NodePlacement(tier, zone, group)
        process.start(self.scenario, placement, await standin.open(), known, more)
        self._placed_nodes[number] = PlacedNode(process, standin, tier)
        return number

    def stop(self, server: Server) -> None:
        self._fake_servers[server.number].stop()
        node = self.below.pop(server.number, None)
        if node is not None:
            place = self._placed_nodes.pop(node)
            place.process.kill()
            place.discovery.close()
            self._clients.forget(place.process.listen)
            for other in self.tiers[place.tier]:
                self._fake_servers[other.number].close_port(node)

    def start(self, server: Server) -> None:
        self._spawn(self._restart_server(server))

    async def _restart_server(self, server: Server) -> None:
        """With its node, where it calls on; only then does it listen."""
        depth = next(depth for depth, row in enumerate(self.tiers) if server in row)
        if depth + 1 < len(self.tiers):
            node = await self._start_node(depth + 1, server.zone, len(self.tiers[depth]))
            await self._placed_nodes[node].process.wait_until_ready(self._clients)
            self.below[server.number] = node
        await self._fake_servers[server.number].start()

    # What `faults.TABLE` sets.

    @property
    def cut(self) -> frozenset[int]:
        return self._cut_zones

    @cut.setter
    def cut(self, zones: frozenset[int]) -> None:
        self._cut_zones = zones
        for standin in self._fake_servers:
            for node, door in standin.ports.items():
                door.partitioned = (self._zones[node] in zones) != (standin.server.zone in zones)

    def _apply_fault(self, do: Callable[..., None], fault: Fault) -> None:
        do(self, fault, [self.tiers[fault.tier][number] for number in fault.servers])

    # Callers.

    async def _send_stream(self, stream: Stream, began: float) -> None:
        """Open loop: no answer is waited for."""
        at = began + stream.at + self.random.expovariate(stream.rate)
        while at < began + min(stream.until, self.scenario.length):
            await asyncio.sleep(at - self.clock.now)
            self.schedule_lag = max(self.schedule_lag, self.clock.now - at)
            self._request_count += 1
            self._spawn(self._send_with_retries(stream, self._request_count, at))
            at += self.random.expovariate(stream.rate)

    async def _send_with_retries(self, stream: Stream, first: int, began: float) -> None:
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
            final = await self._send_request(
                node, stream.profile, left, work, first, tries > 0, stream.operator, stays
            )
            harmless = final is Final.WRITTEN_OFF and profile.idempotency is Idempotency.IDEMPOTENT
            if final is not Final.TURNED_BACK and not harmless:
                return
            await asyncio.sleep(scenario.client_pause * self.random.uniform(1, 2))

    async def _send_request(
        self,
        node: int,
        profile: int,
        left: float,
        work: float,
        first: int,
        repeat: bool,
        operator: int = 0,
        stays: float | None = None,
    ) -> Final:
        """How the node answered in `left` seconds; after `stays`, if any, the caller closes."""
        job = len(self._request_numbers) + 1
        name = f"j{job}"
        self._request_numbers[node, name] = job
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
        request = Request(method, f"{protocol.REQUEST_PATH}?{WORK_PARAMETER}={work:.5f}", headers)
        self.rows.append(Taken(self.clock.now, node, job, profile, self.clock.now + left, first))
        try:
            place = self._placed_nodes[node].process.listen
            async with asyncio.timeout(stays):
                status = await self._clients.request(place, request, left + DEADLINE_SLACK_S / 2)
        except TimeoutError:
            self.rows.append(Answered(self.clock.now, node, job, Final.WITHDRAWN))
            return Final.WITHDRAWN
        except asyncio.CancelledError:
            self.rows.append(Answered(self.clock.now, node, job, Final.WITHDRAWN))
            raise
        if status is None:
            self.rows.append(Left(self.clock.now, node, job))
            return Final.WRITTEN_OFF  # no answer at all: no row, and the rule on answers is broken
        final = FINAL_BY_STATUS.get(status, Final.WRITTEN_OFF)
        self.rows.append(Answered(self.clock.now, node, job, final))
        return final

    def _call_below(self, server: int, call: Call, left: float, done: Callable[[bool], None]) -> Below:
        async def ask() -> None:
            node = self.below.get(server)
            final = Final.WRITTEN_OFF
            if node is not None:
                final = await self._send_request(node, call.profile, left, call.seconds, NO_TRY, False)
            done(final is Final.HONOURED)

        return _DownstreamCall(self._spawn(ask()))

    # What the stand-ins saw.

    def _on_attempt(self, server: Server, node: int, request: Request) -> bool:
        """A dispatch has been read; whether its node had been told of the server's last start."""
        name = request.headers.get(protocol.REQUEST_ID, "")
        number = self._attempt_counts.get((node, name), 0)
        self._attempt_counts[node, name] = number + 1
        job = self._request_numbers.get((node, name), 0)
        now = self.clock.now
        sent = Sent(now, node, job, number, server.number, now + remaining_time(request))
        self.rows.append(sent)
        self._in_flight[id(request)] = sent
        return self._notified_starts.get((node, server.number), 0.0) >= server.started_at

    def _on_attempt_ended(self, node: int, request: Request) -> None:
        sent = self._in_flight.pop(id(request))
        self.rows.append(Landed(self.clock.now, node, sent.job, sent.dispatch, sent.server))

    def _on_probe(self, server: Server, node: int) -> None:
        self.rows.append(Probed(self.clock.now, node, server.number))

    def _on_effect(self, server: Server, call: Call) -> None:
        assert isinstance(call.name, tuple)
        node, name, _ = call.name
        number = self._attempt_counts.get((node, name), 1) - 1
        self.rows.append(
            Ran(self.clock.now, node, self._request_numbers.get((node, name), 0), number, server.number)
        )

    def _on_overload(self, server: Server, knowing: float) -> None:
        self.rows.append(Tipped(self.clock.now, server.number, knowing))
        self.clock.after(0.0, partial(self.stop, server))

    def _on_notified(self, node: int, entries: Sequence[EndpointEntry]) -> None:
        now = self.clock.now
        self._notified_starts.update({(node, entry.number): entry.started_at for entry in entries})
        self.rows += [Told(now, node, entry.number, entry.state) for entry in entries]


OBSERVABLE_CHECKERS = (
    one_answer,
    none_for_the_gone,
    no_double_effects,
    clean_drains,
    told_in_time,
    gentle_fail_back,
    retry_bound,
)


def breaches(story: Story) -> list[str]:
    """What stand-ins can see of the rules; probes that meet a dead server they do not."""
    return [f"{checker.__name__}: {text}" for checker in OBSERVABLE_CHECKERS for text in checker(story)]
