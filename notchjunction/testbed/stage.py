"""Plays a scenario against real node processes on loopback, and records a trace like the emulator's.

Servers, discovery, clients and faults are the emulator's models on a real clock; nodes are real processes.
The rows record what the fakes observe. An attempt is recorded when its server has read it, so there is no row
for one that never arrived, and a request's attempts are numbered in order of arrival.
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
    CANCEL_GRACE_S,
    clean_drains,
    gentle_fail_back,
    no_double_effects,
    none_for_the_gone,
    one_answer,
    retry_bound,
    told_in_time,
)
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.node import NO_FIRST_REQUEST
from notchjunction.emulator.scenario import Fault, Scenario, Stream
from notchjunction.emulator.servers import Call, DownstreamCall, Server, build_tiers
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
from notchjunction.testbed.client import FakeClients
from notchjunction.testbed.client_request import ClientRequest, http_request
from notchjunction.testbed.clock import LoopClock
from notchjunction.testbed.discovery import FakeDiscovery, NodeView, encode_list
from notchjunction.testbed.process import NodePlacement, NodeProcess
from notchjunction.testbed.server import FakeServer, bind_free_port, remaining_time

DRAIN_GRACE_S = (
    0.55  # after notice of a drain, in which attempts are allowed: the rule's 0.5 s and slack for sockets
)
STALL_CHECK_INTERVAL_S = 0.01  # of this process's own event loop; short compared with all bounds of the rules
DEADLINE_SLACK_S = 0.1  # after the deadline, in which a final response is allowed on a busy machine
FINAL_BY_STATUS = {200: FinalResponse.SUCCEEDED, 429: FinalResponse.REJECTED, 503: FinalResponse.REJECTED}


@dataclass(frozen=True, slots=True)
class PlacedNode:
    """A node process, its discovery service, and the tier that it balances."""

    process: NodeProcess
    discovery: FakeDiscovery
    tier: int


class _DownstreamTask:
    """A server's request to the next tier, as a task."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Cancels the request."""
        self._task.cancel()


class Stage:
    """One run of a scenario on sockets; `faults.EFFECTS` acts on it as on the emulator's world."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.clock = LoopClock()
        self.rows: list[TraceRow] = []
        self.counters: list[Mapping[str, float]] = []
        self.schedule_lag = 0.0  # s by which clients sent later than scheduled, at most
        self._loop_stall = 0.0  # s by which this process's event loop was late, at most
        self._folder = folder
        self._cut_zones: frozenset[int] = frozenset()
        self._clients = FakeClients()
        self._notified_starts: dict[tuple[int, int], float] = {}  # by node and server
        self._attempt_counts: dict[tuple[int, str], int] = {}
        self._in_flight: dict[
            int, AttemptSent
        ] = {}  # by identity of the HTTP request, as two attempts of a request may be equal
        self._request_numbers: dict[tuple[int, str], int] = {}
        self._request_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._placed_nodes: dict[int, PlacedNode] = {}
        self._zones: dict[int, int] = {}
        self.nodes: list[int] = []
        self.downstream_nodes: dict[int, int] = {}  # by server above the last tier
        self.tiers = build_tiers(
            scenario, self.clock, self.random, self._on_executed, self._on_overloaded, self._call_downstream
        )
        self.servers = [server for tier in self.tiers for server in tier]
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

    # The run.

    async def play(self) -> Trace:
        """Starts all processes, plays the scenario in real time, and stops all processes; returns the trace.

        Raises:
            RuntimeError: A node's process ended before it was ready.
        """
        try:
            await self._start_nodes()
            await self._wait_until_ready()
            self.rows[:] = [row for row in self.rows if isinstance(row, DiscoveryReachable)]
            self._start_schedule()
            await asyncio.sleep(self.scenario.length)
            ended_at = self.clock.now
            trace_rows = tuple(self.rows)
        finally:
            await self._stop_all()
        cancel_delay = CANCEL_GRACE_S + self._loop_stall
        return Trace(
            trace_rows,
            self.scenario.profiles,
            DRAIN_GRACE_S,
            DEADLINE_SLACK_S,
            ended_at,
            cancel_delay=cancel_delay,
        )

    async def _start_nodes(self) -> None:
        scenario = self.scenario
        for number in range(scenario.nodes):
            self.nodes.append(await self._start_node(0, number % scenario.zones, scenario.nodes))
        for depth, tier in enumerate(self.tiers[:-1]):
            for server in tier:
                self.downstream_nodes[server.number] = await self._start_node(
                    depth + 1, server.zone, len(tier)
                )

    def _start_schedule(self) -> None:
        """Starts the subclass's part of the schedule, the clients and the faults."""
        started_at = self.clock.now
        self._on_started()
        self._spawn(self._measure_stalls())
        for stream in self.scenario.streams:
            self._spawn(self._send_stream(stream, started_at))
        for fault in self.scenario.faults:
            effects = faults.EFFECTS[fault.kind]
            self.clock.after(fault.at, partial(self._apply_fault, effects.begins, fault))
            self.clock.after(fault.until, partial(self._apply_fault, effects.ends, fault))

    async def _stop_all(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        placed = list(self._placed_nodes.values())
        self.counters = await asyncio.gather(*(node.process.terminate() for node in placed))
        for node in placed:
            node.discovery.close()
        for fake in self._fake_servers:
            fake.close()
        self._clients.close()

    async def _measure_stalls(self) -> None:
        """Guards against false reports about a node when this process, on a busy machine, reads late."""
        while True:
            due = self.clock.now + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            self._loop_stall = max(self._loop_stall, self.clock.now - due)

    async def _wait_until_ready(self) -> None:
        for node in self._placed_nodes.values():
            await node.process.wait_until_ready(self._clients)

    def _on_started(self) -> None:
        """Starts a subclass's part of the schedule."""

    def _config_sections(self, number: int) -> Mapping[str, Any]:
        """Returns further sections of a node's configuration file."""
        return {}

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Nodes.

    async def _start_node(self, tier: int, zone: int, group_size: int) -> int:
        number = len(self._zones)
        self._zones[number] = zone
        listener = bind_free_port()
        listen: Address = listener.getsockname()
        listener.close()
        addresses: dict[int, Address] = {}
        for server in self.tiers[tier]:
            addresses[server.number] = await self._fake_servers[server.number].open_port(number)

        def snapshot() -> list[EndpointEntry]:
            return [self.discovery.entry(server) for server in self.tiers[tier]]

        view = NodeView(number, tier, snapshot, addresses.__getitem__, self._on_notified)
        discovery = FakeDiscovery(self.discovery, self.clock, view)
        self.discovery.join(tier, number)
        process = NodeProcess(number, listen, self._folder)
        known = json.loads(encode_list(snapshot(), self.discovery.version(tier), True, addresses.__getitem__))
        sections = self._config_sections(number)
        placement = NodePlacement(tier, zone, group_size)
        process.start(self.scenario, placement, await discovery.open(), known, sections)
        self._placed_nodes[number] = PlacedNode(process, discovery, tier)
        return number

    def stop(self, server: Server) -> None:
        """Crashes a server, and kills the node through which it calls the next tier."""
        self._fake_servers[server.number].stop()
        node = self.downstream_nodes.pop(server.number, None)
        if node is not None:
            placed = self._placed_nodes.pop(node)
            placed.process.kill()
            placed.discovery.close()
            self._clients.forget(placed.process.listen)
            for other in self.tiers[placed.tier]:
                self._fake_servers[other.number].close_port(node)

    def start(self, server: Server) -> None:
        """Starts a server and its node again, in the background."""
        self._spawn(self._restart_server(server))

    async def _restart_server(self, server: Server) -> None:
        """Starts the node through which the server calls the next tier, if any, and then the server."""
        depth = next(depth for depth, tier in enumerate(self.tiers) if server in tier)
        if depth + 1 < len(self.tiers):
            node = await self._start_node(depth + 1, server.zone, len(self.tiers[depth]))
            await self._placed_nodes[node].process.wait_until_ready(self._clients)
            self.downstream_nodes[server.number] = node
        await self._fake_servers[server.number].start()

    # Set by `faults.EFFECTS`.

    @property
    def cut(self) -> frozenset[int]:
        """The zones that are partitioned from all others."""
        return self._cut_zones

    @cut.setter
    def cut(self, zones: frozenset[int]) -> None:
        self._cut_zones = zones
        for fake in self._fake_servers:
            for node, port in fake.ports.items():
                port.partitioned = (self._zones[node] in zones) != (fake.server.zone in zones)

    def _apply_fault(self, effect: Callable[..., None], fault: Fault) -> None:
        effect(self, fault, [self.tiers[fault.tier][number] for number in fault.servers])

    # Clients.

    async def _send_stream(self, stream: Stream, started_at: float) -> None:
        """Sends a stream's requests in an open loop: on schedule, without waiting for earlier responses."""
        at = started_at + stream.at + self.random.expovariate(stream.rate)
        while at < started_at + min(stream.until, self.scenario.length):
            await asyncio.sleep(at - self.clock.now)
            self.schedule_lag = max(self.schedule_lag, self.clock.now - at)
            self._request_count += 1
            self._spawn(self._send_with_retries(stream, self._request_count, at))
            at += self.random.expovariate(stream.rate)

    async def _send_with_retries(self, stream: Stream, first_request: int, started_at: float) -> None:
        """Sends one request, and its retries."""
        scenario, request_class = self.scenario, self.scenario.profiles[stream.profile]
        for retries in range(scenario.client_tries):
            timeout = min(
                started_at + request_class.deadline - self.clock.now,
                scenario.client_patience * request_class.deadline,
            )
            if timeout <= 0:
                return
            node = self.random.choice(self.nodes)
            work = stream.work * self.random.uniform(0.5, 1.5)
            cancel_share = scenario.client_leaves
            cancel_after = None
            if cancel_share and self.random.random() < cancel_share:
                cancel_after = timeout * self.random.random()
            final = await self._send_request(
                ClientRequest(
                    node,
                    stream.profile,
                    timeout,
                    work,
                    first_request,
                    retries > 0,
                    stream.operator,
                    cancel_after,
                )
            )
            may_retry_failure = (
                final is FinalResponse.FAILED and request_class.idempotency is Idempotency.IDEMPOTENT
            )
            if final is not FinalResponse.REJECTED and not may_retry_failure:
                return
            await asyncio.sleep(scenario.client_pause * self.random.uniform(1, 2))

    async def _send_request(self, sent: ClientRequest) -> FinalResponse:
        """Sends one request to its node; returns the node's final response."""
        node, number = sent.node, len(self._request_numbers) + 1
        name = f"j{number}"
        self._request_numbers[node, name] = number
        deadline = self.clock.now + sent.timeout
        self.rows.append(
            RequestAccepted(self.clock.now, node, number, sent.request_class, deadline, sent.first_request)
        )
        try:
            address = self._placed_nodes[node].process.listen
            async with asyncio.timeout(sent.cancel_after):
                status = await self._clients.request(
                    address, http_request(name, sent, self.scenario), sent.timeout + DEADLINE_SLACK_S / 2
                )
        except TimeoutError:
            self.rows.append(RequestAnswered(self.clock.now, node, number, FinalResponse.CANCELLED))
            return FinalResponse.CANCELLED
        except asyncio.CancelledError:
            self.rows.append(RequestAnswered(self.clock.now, node, number, FinalResponse.CANCELLED))
            raise
        if status is None:
            # Without a `RequestAnswered` row, `one_answer` reports the missing response.
            self.rows.append(ClientClosed(self.clock.now, node, number))
            return FinalResponse.FAILED
        final = FINAL_BY_STATUS.get(status, FinalResponse.FAILED)
        self.rows.append(RequestAnswered(self.clock.now, node, number, final))
        return final

    def _call_downstream(
        self, server: int, call: Call, timeout: float, on_result: Callable[[bool], None]
    ) -> DownstreamCall:
        async def send() -> None:
            node = self.downstream_nodes.get(server)
            final = FinalResponse.FAILED
            if node is not None:
                final = await self._send_request(
                    ClientRequest(node, call.request_class, timeout, call.work, NO_FIRST_REQUEST)
                )
            on_result(final is FinalResponse.SUCCEEDED)

        return _DownstreamTask(self._spawn(send()))

    # Events of the fakes.

    def _on_attempt(self, server: Server, node: int, request: Request) -> bool:
        """Records an attempt; returns whether its node had been notified of the server's last start."""
        name = request.headers.get(protocol.REQUEST_ID, "")
        attempt = self._attempt_counts.get((node, name), 0)
        self._attempt_counts[node, name] = attempt + 1
        request_number = self._request_numbers.get((node, name), 0)
        now = self.clock.now
        sent = AttemptSent(now, node, request_number, attempt, server.number, now + remaining_time(request))
        self.rows.append(sent)
        self._in_flight[id(request)] = sent
        return self._notified_starts.get((node, server.number), 0.0) >= server.started_at

    def _on_attempt_ended(self, node: int, request: Request) -> None:
        sent = self._in_flight.pop(id(request))
        self.rows.append(AttemptEnded(self.clock.now, node, sent.request, sent.attempt, sent.server))

    def _on_probe(self, server: Server, node: int) -> None:
        self.rows.append(ProbeSent(self.clock.now, node, server.number))

    def _on_executed(self, server: Server, call: Call) -> None:
        assert isinstance(call.attempt_id, tuple)
        node, name, _ = call.attempt_id
        attempt = self._attempt_counts.get((node, name), 1) - 1
        self.rows.append(
            AttemptExecuted(
                self.clock.now, node, self._request_numbers.get((node, name), 0), attempt, server.number
            )
        )

    def _on_overloaded(self, server: Server, informed: float) -> None:
        self.rows.append(ServerOverloaded(self.clock.now, server.number, informed))
        self.clock.after(0.0, partial(self.stop, server))

    def _on_notified(self, node: int, entries: Sequence[EndpointEntry]) -> None:
        now = self.clock.now
        self._notified_starts.update({(node, entry.number): entry.started_at for entry in entries})
        self.rows += [EndpointNotified(now, node, entry.number, entry.state) for entry in entries]


OBSERVABLE_CHECKERS = (
    one_answer,
    none_for_the_gone,
    no_double_effects,
    clean_drains,
    told_in_time,
    gentle_fail_back,
    retry_bound,
)


def breaches(trace: Trace) -> list[str]:
    """Returns the violations of the rules that fakes can observe.

    `probe_bound` is not among them: probes of a server that is down reach no fake.
    """
    return [f"{checker.__name__}: {text}" for checker in OBSERVABLE_CHECKERS for text in checker(trace)]
