"""Parts of the emulated world: tiers, connections, zones, overdrive and faults. A seed determines a run."""

from __future__ import annotations

import heapq
import os
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

import pytest

from notchjunction.balancing.interface import AttemptResult, DeduplicationScope, Idempotency, RequestClass
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.checkers import breaches
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.node import NO_FIRST_REQUEST, Connection, ConnectionPool
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.emulator.servers import Call, DeduplicationTable, Server
from notchjunction.emulator.trace import (
    AttemptSent,
    DiscoveryReachable,
    EndpointNotified,
    EndpointPublished,
    FinalResponse,
    RequestAccepted,
    RequestAnswered,
    TraceRow,
)
from notchjunction.emulator.world import World
from notchjunction.experiments.baselines import VARIANTS
from notchjunction.experiments.runs import figures

CALM = Scenario("calm", length=12.0)
TIERS = (Tier(4, 0.3), Tier(5, 0.3), Tier(6, 0.4, calls=1.3))
THREE_TIERS = replace(
    CALM, tiers=TIERS, zones=2, zone_latency=0.002, streams=(Stream(0, 20.0), Stream(1, 6.0))
)


class ManualClock:
    """A clock that moves only by `advance`."""

    def __init__(self) -> None:
        self.now = 100.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), callback))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = end


def make_server(
    clock: ManualClock, tier: Tier | None = None, **scenario: Any
) -> tuple[Server, list[AttemptResult]]:
    created = Server(
        0, tier or Tier(workers=1), 0, 1.0, replace(CALM, thrash=0.0, **scenario), clock, Random(1)
    )
    return created, []


def make_call(
    results: list[AttemptResult], seconds: float = 1.0, clock: ManualClock | None = None, **options: Any
) -> Call:
    return Call("request", 0, seconds, float("inf"), results.append, **options)


@pytest.mark.parametrize(
    "fault",
    [
        Fault(Kind.ERRORS, 2.0, 6.0, (0, 1), 0.9),
        Fault(Kind.RESET, 2.0, 6.0, (0, 1), 0.5),
        Fault(Kind.LOSE, 2.0, 6.0, (0, 1), 0.5),
        Fault(Kind.LIE, 2.0, 6.0, (0, 1), 0.0),
        Fault(Kind.CUT, 2.0, 5.0, zones=(1,)),
        Fault(Kind.LIST_LATE, 1.0, 9.0, size=3.0),
        Fault(Kind.LIST_SPLIT, 1.0, 9.0, size=0.5),
        Fault(Kind.LIST_SILENT, 2.0, 2.1),
    ],
    ids=lambda fault: fault.kind.value,
)
@pytest.mark.parametrize("fleet", [replace(CALM, zones=2), THREE_TIERS], ids=["one tier", "three tiers"])
def test_rules_hold_through_each_fault(fleet: Scenario, fault: Fault) -> None:
    drains = (Fault(Kind.DRAIN, 3.0, 8.0, (2,)), Fault(Kind.CRASH, 4.0, 6.0, (3,)))
    trace = World(replace(fleet, faults=(fault, *drains))).play()
    assert breaches(trace) == []


def test_requests_pass_all_tiers_and_each_downstream_call_is_a_request() -> None:
    world = World(THREE_TIERS)
    trace = world.play()
    accepted = [row for row in trace.rows if isinstance(row, RequestAccepted)]
    from_clients = [row for row in accepted if row.first_request != NO_FIRST_REQUEST]
    tier_of = {node.number: node.tier for node in [*world.nodes, *world.downstream_nodes.values()]}
    second, third = (sum(tier_of[row.node] == depth for row in accepted) for depth in (1, 2))
    assert 0.9 * len(from_clients) < second <= len(from_clients) and 1.1 * second < third < 1.5 * second
    # No downstream call has more time than clients give to requests of its class.
    max_time_left = [
        max(row.deadline - row.at for row in from_clients if row.request_class == request_class)
        for request_class in (0, 1)
    ]
    assert all(row.deadline - row.at <= max_time_left[row.request_class] for row in accepted)


def test_crashed_server_takes_its_node_and_the_calls_in_progress_with_it() -> None:
    streams = (Stream(0, 30.0, work=0.4),)  # enough that calls are in progress with each seed
    world = World(
        replace(THREE_TIERS, streams=streams, faults=(Fault(Kind.CRASH, 4.0, 6.0, (0, 1), tier=0),))
    )
    before = world.downstream_nodes[0]
    trace = world.play()
    after = world.downstream_nodes[0]
    assert before is not after and not before.alive and after.alive
    assert not any(
        isinstance(row, AttemptSent) and row.node == before.number and row.at > 1_000_004.1
        for row in trace.rows
    )
    cancelled = [
        row for row in trace.rows if isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED
    ]
    assert cancelled and breaches(trace) == []


def test_same_seed_gives_the_same_rows_with_any_hash_seed() -> None:
    program = (
        "from tests.test_world import THREE_TIERS, rows_of; import hashlib;"
        "print(hashlib.sha256(repr(rows_of(THREE_TIERS)).encode()).hexdigest())"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(digests) == 1


def rows_of(scenario: Scenario) -> tuple[TraceRow, ...]:
    return World(replace(scenario, length=4.0)).play().rows


def test_overdriven_server_stays_slow_until_it_has_rested() -> None:
    clock = ManualClock()
    server, results = make_server(
        clock, overdrive_jobs=2.0, overdrive_span=2.0, overdrive_times=3.0, rest_span=4.0
    )
    for _ in range(4):
        server.receive(make_call(results, seconds=5.0))
    clock.advance(1.9)
    assert not server.degraded
    clock.advance(0.2)
    assert server.degraded and server.slowdown() == 3.0
    clock.advance(100.0)  # all calls are done, the last one at a third of the speed
    assert len(results) == 4 and not server.degraded
    server.receive(make_call(results, seconds=1.0))
    clock.advance(1.0)
    assert len(results) == 5


def test_work_during_the_rest_period_keeps_a_server_slow() -> None:
    clock = ManualClock()
    server, results = make_server(clock, overdrive_jobs=1.0, overdrive_span=1.0, rest_span=4.0)
    for _ in range(4):
        server.receive(make_call(results, seconds=1.5))
    while len(results) < 4:
        clock.advance(0.5)
    for _ in range(5):
        server.receive(make_call(results, seconds=0.3))
        clock.advance(2.0)
        assert server.degraded
    clock.advance(4.0)
    assert not server.degraded


@pytest.mark.parametrize(("cancel_waiting", "cancel_running"), [(True, False), (False, True)])
def test_cancelled_call_leaves_the_queue_and_a_running_call_finishes(
    cancel_waiting: bool, cancel_running: bool
) -> None:
    clock = ManualClock()
    busy_server, results = make_server(clock)
    running, waiting = make_call(results), make_call(results)
    busy_server.receive(running)
    busy_server.receive(waiting)
    busy_server.cancel(waiting if cancel_waiting else running)
    clock.advance(5.0)
    assert len(results) == (1 if cancel_waiting else 2)


def test_server_limits_connections_and_drops_them_on_a_restart() -> None:
    clock = ManualClock()
    limited_server, _ = make_server(clock, Tier(connections_most=2))
    assert limited_server.connect() and limited_server.connect() and not limited_server.connect()
    limited_server.disconnect(limited_server.generation)
    assert limited_server.connect()
    generation = limited_server.generation
    limited_server.stop()
    assert not limited_server.connect()
    limited_server.start()
    limited_server.disconnect(generation)  # for a connection that the stop has closed already
    assert limited_server.connections == 0 and limited_server.connect()


def test_idle_connection_is_reused_expires_and_ends_with_its_server() -> None:
    world = World(replace(CALM, connection_idle=2.0))
    target, pool = world.servers[0], ConnectionPool(world)
    assert target.connect()
    connection = Connection(target, target.generation)
    pool.release(connection)
    assert pool.acquire(target) is connection and pool.acquire(target) is None
    pool.release(connection)
    world.env.run(world.now + 1.9)
    open_before = target.connections
    assert pool.idle[0] == [connection]
    world.env.run(world.now + 0.2)
    assert not pool.idle[0] and target.connections <= open_before
    pool.release(connection)
    target.stop()
    assert pool.acquire(target) is None


def test_rules_hold_with_few_and_expensive_connections() -> None:
    tiers = (
        Tier(4, 0.3, connections_most=6),
        Tier(5, 0.3, connections_most=6),
        Tier(6, 0.4, connections_most=8),
    )
    scenario = replace(THREE_TIERS, tiers=tiers, connection_idle=3.0, handshake_work=0.01)
    assert breaches(World(scenario).play()) == []


@pytest.mark.parametrize(
    ("scope", "second_server", "executions"),
    [(DeduplicationScope.ALL, 1, 1), (DeduplicationScope.ZONE, 1, 2), (DeduplicationScope.ZONE, 2, 1)],
)
def test_deduplication_group_executes_a_repeated_request_once(
    scope: DeduplicationScope, second_server: int, executions: int
) -> None:
    request_class = RequestClass(
        1.0, 2.0, idempotency=Idempotency.KEYED, deduplication_scope=scope, deduplication_window=5.0
    )
    world = World(replace(CALM, servers=4, zones=2, profiles=(request_class,), streams=(Stream(0, 0.001),)))
    results: list[AttemptResult] = []
    for number in (0, second_server):
        world.servers[number].receive(
            Call((0, 1, number), 0, 0.1, float("inf"), results.append, deduplication_key=(0, 1))
        )
    world.env.run(world.now + 1.0)
    executed = sum(type(row).__name__ == "AttemptExecuted" for row in world.rows)
    assert results == [AttemptResult.SUCCEEDED] * 2 and executed == executions


class EndlessCall:
    """A call to the next tier that never ends."""

    def cancel(self) -> None:
        pass


@pytest.mark.parametrize(("slots", "expected_started"), [(0, 1), (3, 3), (9, 5)])
def test_call_waiting_for_the_next_tier_holds_a_slot_but_no_worker(slots: int, expected_started: int) -> None:
    clock, started = ManualClock(), list[object]()
    tier = Tier(workers=1, slots=slots)
    front_server = Server(
        0,
        tier,
        0,
        1.0,
        replace(CALM, thrash=0.0),
        clock,
        Random(1),
        on_executed=lambda _, call: started.append(call),
        call_downstream=lambda call, time_left, done: EndlessCall(),
        downstream_calls=1.0,
    )
    calls = [make_call([], seconds=0.1) for _ in range(5)]
    for call in calls:
        front_server.receive(call)
    clock.advance(5.0)
    assert len(started) == expected_started
    if slots == 3:  # a cancelled call frees its slot for the next one
        front_server.cancel(calls[0])
        clock.advance(1.0)
        assert len(started) == 4


def test_deduplication_key_expires_after_its_window() -> None:
    table = DeduplicationTable(window=5.0)
    assert not table.is_repeat("n", 10.0) and table.is_repeat("n", 14.9) and not table.is_repeat("n", 15.1)


def test_cut_blocks_messages_between_its_sides_only() -> None:
    world = World(replace(CALM, zones=3))
    delivered: list[tuple[int, int]] = []
    world.cut = frozenset({1})
    for source in range(3):
        for to in range(3):
            world.deliver(source, to, lambda source=source, to=to: delivered.append((source, to)))  # type: ignore[misc]
    world.env.run(world.now + 1.0)
    assert sorted(delivered) == [(0, 0), (0, 2), (1, 1), (2, 0), (2, 2)]


def test_split_list_notifies_only_some_nodes_until_the_split_ends() -> None:
    split = Fault(Kind.LIST_SPLIT, 1.0, 9.0, size=0.5)
    scenario = replace(CALM, nodes=10, length=20.0, faults=(split, Fault(Kind.DRAIN, 3.0, 19.0, (0,))))
    notified_at = {
        row.node: row.at
        for row in World(scenario).play().rows
        if isinstance(row, EndpointNotified) and row.state is EndpointState.DRAINING
    }
    late_count = sum(at > 1_000_009.0 for at in notified_at.values())
    assert len(notified_at) == 10 and 2 <= late_count <= 8


def test_discovery_rejects_polls_that_would_wait_too_long_and_forgets_nodes() -> None:
    clock = ManualClock()
    discovery = Discovery(replace(CALM, list_rate=2.0, list_wait=0.9), clock, 1)
    responses: list[int | None] = []
    for node in range(4):
        discovery.poll(0, node, 0, lambda update, version, node=node: responses.append(update and node))  # type: ignore[misc]
    assert responses == [None, None]  # the third and fourth would wait for 1 s
    clock.advance(2.0)
    discovery.forget(1)
    discovery.changed(0, make_server(clock)[0])
    clock.advance(1.0)
    assert responses == [None, None, 0]


def test_watch_is_answered_after_its_wait_and_never_once_it_was_dropped() -> None:
    clock, rows = ManualClock(), list[TraceRow]()
    discovery = Discovery(replace(CALM, list_rate=2.0, list_delay=0.0), clock, 1, rows.append)
    discovery.join(0, 7)
    responses: list[tuple[int, int]] = []

    def record_response(update: Sequence[object] | None, version: int) -> None:
        assert update is not None
        responses.append((len(update), version))

    discovery.poll(0, 7, 0, record_response, 0.0)
    clock.advance(0.4)
    assert not responses  # the poll has not been served yet
    clock.advance(0.2)
    assert responses == [(0, 0)]
    discovery.watch(0, 7, 0, record_response, 2.0)
    discovery.watch(0, 7, 0, record_response, 3.0)
    clock.advance(2.0)
    assert responses == [(0, 0)] * 2
    discovery.drop_watches()
    discovery.changed(0, make_server(clock)[0])
    clock.advance(9.0)
    assert responses == [(0, 0)] * 2
    discovery.watch(0, 7, 0, record_response, 2.0)
    assert responses == [(0, 0), (0, 0), (1, 1)]
    assert [type(row) for row in rows] == [DiscoveryReachable, EndpointPublished]


def test_reachability_changes_are_recorded_except_for_forgotten_nodes() -> None:
    clock, rows = ManualClock(), list[TraceRow]()
    discovery = Discovery(CALM, clock, 1, rows.append)
    for node in (1, 2, 3):
        discovery.join(0, node)
    discovery.forget(3)
    discovery.cut_off(lambda node: node == 2)
    discovery.stop()
    discovery.cut_off(lambda node: False)
    discovery.resume()
    recorded = [(row.node, row.reachable) for row in rows if isinstance(row, DiscoveryReachable)]
    assert recorded == [(1, True), (2, True), (3, True), (2, False), (1, False), (1, True), (2, True)]


OVERLOAD = replace(
    CALM,
    length=20.0,
    tiers=(Tier(4, 0.3, queue_most=12), Tier(5, 0.3, queue_most=12), Tier(8, 0.4, calls=1.25, queue_most=12)),
    streams=(Stream(0, 10.0, work=0.35), Stream(1, 2.0, work=0.5)),
    faults=(Fault(Kind.CRASH, 5.0, 8.0, (0, 1)),),
    overdrive_jobs=2.0,
    thrash=0.0,
    client_pause=0.1,
    cold_time=9.0,
    cold_share=0.3,
)


def test_overload_costs_a_policy_without_budgets_most_and_breaks_no_rule() -> None:
    def mean_in_time(variant: str) -> float:
        traces = [World(replace(OVERLOAD, seed=seed), VARIANTS[variant]).play() for seed in (1, 2, 3)]
        if variant == "module":
            assert not any(breaches(trace) for trace in traces)
        return sum(float(figures(trace, [])["in_time"]) for trace in traces) / 3

    random, module, top = (mean_in_time(variant) for variant in ("random", "module", "top"))
    assert random + 0.1 < module < top
