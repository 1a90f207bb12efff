"""The world in virtual time: tiers of servers, a node before each, discovery, clients, and faults.

The clock and the order of events are SimPy's. All chance comes from one generator, so a seed gives one run.
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
from notchjunction.emulator.node import TICK, Asked, Make, Node
from notchjunction.emulator.scenario import Fault, Scenario, Stream
from notchjunction.emulator.servers import Below, Call, Server, build
from notchjunction.emulator.trace import (
    AttemptExecuted,
    ColdLoadReceived,
    FinalResponse,
    ServerOverloaded,
    Trace,
    TraceRow,
)

BEGAN = 1_000_000.0  # s; Unix time at which a run begins, so that no server start is mistaken for "long ago"
GRACE = 0.5  # s after word of a drain within which a send is forgiven
AGAIN = (FinalResponse.REJECTED,)  # after which any client may ask again
AGAIN_HARMLESS = (FinalResponse.REJECTED, FinalResponse.FAILED)  # the same where a repeat does no harm


class World:
    def __init__(self, scenario: Scenario, make: Make = Balancer) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.env = simpy.Environment(BEGAN)
        self.rows: list[TraceRow] = []
        self.cut: frozenset[int] = frozenset()  # zones that are cut off from the others
        self._make = make
        self._tries = 0
        told = (self._ran, self._has_tipped, self._call_below, self._has_pushed)
        self.tiers = build(scenario, self, self.random, *told)
        self.servers = [server for row in self.tiers for server in row]
        self.discovery = Discovery(scenario, self, len(self.tiers), self.rows.append)
        self._made = 0
        self.nodes = [
            self._node(0, number % scenario.zones, scenario.nodes) for number in range(scenario.nodes)
        ]
        # Of each server above the deepest tier, by its number: the node that it calls on through.
        self.below: dict[int, Node] = {}
        self._depth = {server.number: depth for depth, row in enumerate(self.tiers) for server in row}
        for server in self.servers:
            self._join_node(server)
        for stream in scenario.streams:
            self.after(stream.at + self.random.expovariate(stream.rate), partial(self._arrive, stream))
        for fault in scenario.faults:
            row = faults.EFFECTS[fault.kind]
            self.after(fault.at, partial(self._fault, row.begins, fault))
            self.after(fault.until, partial(self._fault, row.ends, fault))

    @property
    def now(self) -> float:
        return float(self.env.now)

    def after(self, delay: float, due: Callable[[], None]) -> None:
        event = self.env.timeout(max(0.0, delay))
        assert event.callbacks is not None
        event.callbacks.append(lambda _: due())

    def play(self) -> Trace:
        self.env.run(BEGAN + self.scenario.length)
        scenario = self.scenario
        return Trace(tuple(self.rows), scenario.profiles, GRACE, 2 * TICK, self.now, scenario.tip_span)

    # The network.

    def hop(self) -> float:
        return self.scenario.latency * (1 + self.scenario.jitter * self.random.random())

    def carry(self, here: int, there: int, due: Callable[[], None]) -> None:
        """A message from one zone to another; one that meets a cut is never heard of again."""
        if here != there and (here in self.cut) != (there in self.cut):
            return
        further = self.scenario.zone_latency if here != there else 0.0
        self.after(self.hop() + further, due)

    # Servers and the nodes that they call on through.

    def stop(self, server: Server) -> None:
        server.stop()
        node = self.below.pop(server.number, None)
        if node is not None:
            node.die()

    def start(self, server: Server) -> None:
        server.start()
        self._join_node(server)

    def _join_node(self, server: Server) -> None:
        depth = self._depth[server.number]
        if depth + 1 < len(self.tiers):
            self.below[server.number] = self._node(depth + 1, server.zone, len(self.tiers[depth]))

    def _node(self, tier: int, zone: int, group: int) -> Node:
        self._made += 1
        return Node(self, self._made - 1, tier, zone, group, self._make)

    def _call_below(self, server: int, call: Call, left: float, done: Callable[[bool], None]) -> Below:
        asked = Asked(
            call.profile, left, call.seconds, lambda final, _: done(final is FinalResponse.SUCCEEDED)
        )
        return self.below[server].take(asked)

    def _ran(self, server: Server, call: Call) -> None:
        assert isinstance(call.name, tuple)
        node, job, dispatch = call.name
        self.rows.append(AttemptExecuted(self.now, node, job, dispatch, server.number))

    def _has_tipped(self, server: Server, knowing: float) -> None:
        self.rows.append(ServerOverloaded(self.now, server.number, knowing))

    def _has_pushed(self, server: Server, call: Call) -> None:
        mean = self.scenario.mean_work
        allowed = server.allowed() / (mean * server.tier.share)
        self.rows.append(
            ColdLoadReceived(self.now, server.number, call.seconds / mean, allowed, call.knowing)
        )

    # Clients.

    def _arrive(self, stream: Stream) -> None:
        if self.now - BEGAN < stream.until:
            self.after(self.random.expovariate(stream.rate), partial(self._arrive, stream))
            self._tries += 1
            self._ask(stream, self._tries, self.now, 1)

    def _ask(self, stream: Stream, first: int, began: float, tries: int) -> None:
        profile = self.scenario.profiles[stream.profile]
        patience = self.scenario.client_patience * profile.deadline
        left = min(began + profile.deadline - self.now, patience)
        if left <= 0:
            return
        node = self._deal()
        again = AGAIN_HARMLESS if profile.idempotency is Idempotency.IDEMPOTENT else AGAIN

        def done(final: FinalResponse, advice: float) -> None:
            if final in again and tries < self.scenario.client_tries:
                pause = max(advice, self.scenario.client_pause * self.random.uniform(1, 2))
                self.after(pause, partial(self._ask, stream, first, began, tries + 1))

        work = stream.work * self.random.uniform(0.5, 1.5)
        asked = Asked(stream.profile, left, work, done, stream.operator, first, repeat=tries > 1)
        under_way = node.take(asked)
        leaves = self.scenario.client_leaves
        # Guards against a draw where no client leaves: a seed's run stays what it was.
        if leaves and self.random.random() < leaves:
            self.after(left * self.random.random(), under_way.withdraw)

    def _deal(self) -> Node:
        """The node that a client's next try goes to."""
        return self.random.choice(self.nodes)

    # Faults.

    def _fault(self, do: faults.Effect, fault: Fault) -> None:
        do(self, fault, [self.tiers[fault.tier][number] for number in fault.servers])
