"""The world in virtual time: tiers of servers, a node before each, discovery, clients, and faults.

SimPy provides the clock and the order of events. All random numbers come from one generator, so runs with the
same seed are equal.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import simpy

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import Idempotency
from notchjunction.emulator import faults
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.node import TICK_S, BalancerFactory, IncomingRequest, Node
from notchjunction.emulator.scenario import Fault, Scenario, Stream
from notchjunction.emulator.servers import Call, DownstreamCall, Server, build_tiers
from notchjunction.emulator.trace import (
    AttemptExecuted,
    ColdLoadReceived,
    FinalResponse,
    ServerOverloaded,
    Trace,
    TraceRow,
)

START_TIME = 1_000_000.0  # s; Unix time at the start of a run. A server start near 0 would mean "long ago".
DRAIN_GRACE_S = 0.5  # after notice of a drain, in which attempts are allowed
RETRYABLE = (FinalResponse.REJECTED,)  # after which a client may retry any request
RETRYABLE_IF_IDEMPOTENT = (FinalResponse.REJECTED, FinalResponse.FAILED)


class World:
    """One run of a scenario: all parts of it, and its trace."""

    def __init__(self, scenario: Scenario, make_balancer: BalancerFactory = Balancer) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.env = simpy.Environment(START_TIME)
        self.rows: list[TraceRow] = []
        self.cut: frozenset[int] = frozenset()  # the zones that are partitioned from all others
        self._make_balancer = make_balancer
        self._request_count = 0
        callbacks = (self._on_executed, self._on_overloaded, self._call_downstream, self._on_cold_load)
        self.tiers = build_tiers(scenario, self, self.random, *callbacks)
        self.servers = [server for tier in self.tiers for server in tier]
        self.discovery = Discovery(scenario, self, len(self.tiers), self.rows.append)
        self._node_count = 0
        self.nodes = [
            self._make_node(0, number % scenario.zones, scenario.nodes) for number in range(scenario.nodes)
        ]
        # By number of each server above the last tier: the node through which it calls the next tier.
        self.downstream_nodes: dict[int, Node] = {}
        self._depth = {server.number: depth for depth, tier in enumerate(self.tiers) for server in tier}
        for server in self.servers:
            self._start_downstream_node(server)
        for stream in scenario.streams:
            self.after(stream.at + self.random.expovariate(stream.rate), partial(self._on_arrival, stream))
        for fault in scenario.faults:
            effects = faults.EFFECTS[fault.kind]
            self.after(fault.at, partial(self._apply_fault, effects.begins, fault))
            self.after(fault.until, partial(self._apply_fault, effects.ends, fault))

    @property
    def now(self) -> float:
        """The present time (s)."""
        return float(self.env.now)

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Call `due` in `delay` seconds."""
        event = self.env.timeout(max(0.0, delay))
        assert event.callbacks is not None
        event.callbacks.append(lambda _: due())

    def play(self) -> Trace:
        """Run the scenario to its end, and return the trace."""
        self.env.run(START_TIME + self.scenario.length)
        scenario = self.scenario
        return Trace(
            tuple(self.rows), scenario.profiles, DRAIN_GRACE_S, 2 * TICK_S, self.now, scenario.tip_span
        )

    # The network.

    def sample_latency(self) -> float:
        """Return a random time (s) that a message takes within a zone."""
        return self.scenario.latency * (1 + self.scenario.jitter * self.random.random())

    def deliver(self, source_zone: int, target_zone: int, on_arrival: Callable[[], None]) -> None:
        """Send a message from one zone to another; it is lost if a partition is between them."""
        if source_zone != target_zone and (source_zone in self.cut) != (target_zone in self.cut):
            return
        zone_latency = self.scenario.zone_latency if source_zone != target_zone else 0.0
        self.after(self.sample_latency() + zone_latency, on_arrival)

    # Servers and the nodes through which they call the next tier.

    def stop(self, server: Server) -> None:
        """Stop a server, and the node through which it calls the next tier."""
        server.stop()
        node = self.downstream_nodes.pop(server.number, None)
        if node is not None:
            node.stop()

    def start(self, server: Server) -> None:
        """Start a server again, with a new node."""
        server.start()
        self._start_downstream_node(server)

    def _start_downstream_node(self, server: Server) -> None:
        depth = self._depth[server.number]
        if depth + 1 < len(self.tiers):
            self.downstream_nodes[server.number] = self._make_node(
                depth + 1, server.zone, len(self.tiers[depth])
            )

    def _make_node(self, tier: int, zone: int, group_size: int) -> Node:
        self._node_count += 1
        return Node(self, self._node_count - 1, tier, zone, group_size, self._make_balancer)

    def _call_downstream(
        self, server: int, call: Call, timeout: float, on_result: Callable[[bool], None]
    ) -> DownstreamCall:
        incoming = IncomingRequest(
            call.request_class,
            timeout,
            call.work,
            lambda response, _: on_result(response is FinalResponse.SUCCEEDED),
        )
        return self.downstream_nodes[server].accept(incoming)

    def _on_executed(self, server: Server, call: Call) -> None:
        assert isinstance(call.attempt_id, tuple)
        node, request, attempt = call.attempt_id
        self.rows.append(AttemptExecuted(self.now, node, request, attempt, server.number))

    def _on_overloaded(self, server: Server, informed: float) -> None:
        self.rows.append(ServerOverloaded(self.now, server.number, informed))

    def _on_cold_load(self, server: Server, call: Call) -> None:
        mean_work = self.scenario.mean_work
        allowed = server.cold_budget() / (mean_work * server.tier.share)
        self.rows.append(
            ColdLoadReceived(self.now, server.number, call.work / mean_work, allowed, call.informed)
        )

    # Clients.

    def _on_arrival(self, stream: Stream) -> None:
        """Send a new request of a stream, and schedule the next one."""
        if self.now - START_TIME < stream.until:
            self.after(self.random.expovariate(stream.rate), partial(self._on_arrival, stream))
            self._request_count += 1
            self._send_request(stream, self._request_count, self.now, 1)

    def _send_request(self, stream: Stream, first_request: int, arrived_at: float, try_number: int) -> None:
        """Send one try of a client's request, unless its deadline has passed."""
        request_class = self.scenario.profiles[stream.profile]
        max_wait = self.scenario.client_patience * request_class.deadline
        time_left = min(arrived_at + request_class.deadline - self.now, max_wait)
        if time_left <= 0:
            return
        node = self._choose_node()
        retryable = (
            RETRYABLE_IF_IDEMPOTENT if request_class.idempotency is Idempotency.IDEMPOTENT else RETRYABLE
        )

        def on_response(response: FinalResponse, retry_after: float) -> None:
            if response in retryable and try_number < self.scenario.client_tries:
                pause = max(retry_after, self.scenario.client_pause * self.random.uniform(1, 2))
                self.after(
                    pause, partial(self._send_request, stream, first_request, arrived_at, try_number + 1)
                )

        work = stream.work * self.random.uniform(0.5, 1.5)
        incoming = IncomingRequest(
            stream.profile,
            time_left,
            work,
            on_response,
            stream.operator,
            first_request,
            is_retry=try_number > 1,
        )
        handle = node.accept(incoming)
        cancel_share = self.scenario.client_leaves
        # Guards against a random draw in scenarios where no client leaves: it would change their runs.
        if cancel_share and self.random.random() < cancel_share:
            self.after(time_left * self.random.random(), handle.cancel)

    def _choose_node(self) -> Node:
        """Return the node to which a client sends its next try."""
        return self.random.choice(self.nodes)

    # Faults.

    def _apply_fault(self, effect: faults.Effect, fault: Fault) -> None:
        effect(self, fault, [self.tiers[fault.tier][number] for number in fault.servers])
