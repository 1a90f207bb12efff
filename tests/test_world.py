"""The emulated world's parts: tiers, connections, zones, overdrive, each fault; one seed gives one run."""

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
DEEP = replace(CALM, tiers=TIERS, zones=2, zone_latency=0.002, streams=(Stream(0, 20.0), Stream(1, 6.0)))


class Hand:
    """A clock that is moved by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def after(self, delay: float, due: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), due))

    def on(self, seconds: float) -> None:
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            self.now, _, due = heapq.heappop(self._due)
            due()
        self.now = end


def server(clock: Hand, tier: Tier | None = None, **scenario: Any) -> tuple[Server, list[AttemptResult]]:
    found = Server(
        0, tier or Tier(workers=1), 0, 1.0, replace(CALM, thrash=0.0, **scenario), clock, Random(1)
    )
    return found, []


def call(results: list[AttemptResult], seconds: float = 1.0, clock: Hand | None = None, **more: Any) -> Call:
    return Call("job", 0, seconds, float("inf"), results.append, **more)


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
@pytest.mark.parametrize("fleet", [replace(CALM, zones=2), DEEP], ids=["one tier", "three tiers"])
def test_the_rules_hold_through_each_fault(fleet: Scenario, fault: Fault) -> None:
    drains = (Fault(Kind.DRAIN, 3.0, 8.0, (2,)), Fault(Kind.CRASH, 4.0, 6.0, (3,)))
    story = World(replace(fleet, faults=(fault, *drains))).play()
    assert breaches(story) == []


def test_a_job_is_called_on_through_all_tiers_and_each_call_is_a_job_of_its_own() -> None:
    world = World(DEEP)
    story = world.play()
    taken = [row for row in story.rows if isinstance(row, RequestAccepted)]
    first = [row for row in taken if row.first_request != NO_FIRST_REQUEST]
    tier_of = {node.number: node.tier for node in [*world.nodes, *world.downstream_nodes.values()]}
    second, third = (sum(tier_of[row.node] == depth for row in taken) for depth in (1, 2))
    assert 0.9 * len(first) < second <= len(first) and 1.1 * second < third < 1.5 * second
    # What a server calls on for has no more time than callers of its profile ever give.
    left = [max(row.deadline - row.at for row in first if row.request_class == profile) for profile in (0, 1)]
    assert all(row.deadline - row.at <= left[row.request_class] for row in taken)


def test_a_server_that_goes_takes_its_node_and_the_calls_under_way_with_it() -> None:
    streams = (Stream(0, 30.0, work=0.4),)  # enough that calls are under way at each seed
    world = World(replace(DEEP, streams=streams, faults=(Fault(Kind.CRASH, 4.0, 6.0, (0, 1), tier=0),)))
    before = world.downstream_nodes[0]
    story = world.play()
    after = world.downstream_nodes[0]
    assert before is not after and not before.alive and after.alive
    assert not any(
        isinstance(row, AttemptSent) and row.node == before.number and row.at > 1_000_004.1
        for row in story.rows
    )
    withdrawn = [
        row for row in story.rows if isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED
    ]
    assert withdrawn and breaches(story) == []


def test_the_same_seed_gives_the_same_rows_whatever_the_hashes_of_a_process() -> None:
    text = (
        "from tests.test_world import DEEP, rows_of; import hashlib;"
        "print(hashlib.sha256(repr(rows_of(DEEP)).encode()).hexdigest())"
    )
    seen = {
        subprocess.run(
            [sys.executable, "-c", text],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(seen) == 1


def rows_of(scenario: Scenario) -> tuple[TraceRow, ...]:
    return World(replace(scenario, length=4.0)).play().rows


def test_an_overdriven_server_stays_slow_until_it_has_rested() -> None:
    clock = Hand()
    driven, results = server(
        clock, overdrive_jobs=2.0, overdrive_span=2.0, overdrive_times=3.0, rest_span=4.0
    )
    for _ in range(4):
        driven.receive(call(results, seconds=5.0))
    clock.on(1.9)
    assert not driven.degraded
    clock.on(0.2)
    assert driven.degraded and driven.slowdown() == 3.0
    clock.on(100.0)  # all is done, the last one at a third of the pace
    assert len(results) == 4 and not driven.degraded
    driven.receive(call(results, seconds=1.0))
    clock.on(1.0)
    assert len(results) == 5


def test_work_that_comes_before_it_has_rested_keeps_it_slow() -> None:
    clock = Hand()
    driven, results = server(clock, overdrive_jobs=1.0, overdrive_span=1.0, rest_span=4.0)
    for _ in range(4):
        driven.receive(call(results, seconds=1.5))
    while len(results) < 4:
        clock.on(0.5)
    for _ in range(5):
        driven.receive(call(results, seconds=0.3))
        clock.on(2.0)
        assert driven.degraded
    clock.on(4.0)
    assert not driven.degraded


@pytest.mark.parametrize(("waits", "dropped"), [(True, False), (False, True)])
def test_what_is_dropped_waits_no_more_and_what_runs_runs_on(waits: bool, dropped: bool) -> None:
    clock = Hand()
    busy, results = server(clock)
    one, two = call(results), call(results)
    busy.receive(one)
    busy.receive(two)
    busy.cancel(two if waits else one)
    clock.on(5.0)
    assert len(results) == (1 if waits else 2)


def test_a_server_holds_so_many_connections_and_those_of_an_earlier_life_are_gone() -> None:
    clock = Hand()
    few, _ = server(clock, Tier(connections_most=2))
    assert few.connect() and few.connect() and not few.connect()
    few.disconnect(few.generation)
    assert few.connect()
    life = few.generation
    few.stop()
    assert not few.connect()
    few.start()
    few.disconnect(life)  # of a connection that its end has closed already
    assert few.connections == 0 and few.connect()


def test_a_kept_connection_is_used_again_retired_in_time_and_not_outlived() -> None:
    world = World(replace(CALM, connection_idle=2.0))
    to, links = world.servers[0], ConnectionPool(world)
    assert to.connect()
    link = Connection(to, to.generation)
    links.release(link)
    assert links.acquire(to) is link and links.acquire(to) is None
    links.release(link)
    world.env.run(world.now + 1.9)
    held = to.connections
    assert links.idle[0] == [link]
    world.env.run(world.now + 0.2)
    assert not links.idle[0] and to.connections <= held
    links.release(link)
    to.stop()
    assert links.acquire(to) is None


def test_connections_that_are_scarce_and_dear_break_no_rule() -> None:
    tiers = (
        Tier(4, 0.3, connections_most=6),
        Tier(5, 0.3, connections_most=6),
        Tier(6, 0.4, connections_most=8),
    )
    scenario = replace(DEEP, tiers=tiers, connection_idle=3.0, handshake_work=0.01)
    assert breaches(World(scenario).play()) == []


@pytest.mark.parametrize(
    ("group", "at", "runs"),
    [(DeduplicationScope.ALL, 1, 1), (DeduplicationScope.ZONE, 1, 2), (DeduplicationScope.ZONE, 2, 1)],
)
def test_a_groups_servers_drop_the_repeats_of_a_numbered_job(
    group: DeduplicationScope, at: int, runs: int
) -> None:
    profile = RequestClass(
        1.0, 2.0, idempotency=Idempotency.KEYED, deduplication_scope=group, deduplication_window=5.0
    )
    world = World(replace(CALM, servers=4, zones=2, profiles=(profile,), streams=(Stream(0, 0.001),)))
    results: list[AttemptResult] = []
    for number in (0, at):
        world.servers[number].receive(
            Call((0, 1, number), 0, 0.1, float("inf"), results.append, deduplication_key=(0, 1))
        )
    world.env.run(world.now + 1.0)
    ran = sum(type(row).__name__ == "AttemptExecuted" for row in world.rows)
    assert results == [AttemptResult.SUCCEEDED] * 2 and ran == runs


class Nowhere:
    """A call to the next tier that never ends."""

    def cancel(self) -> None:
        pass


@pytest.mark.parametrize(("slots", "ran"), [(0, 1), (3, 3), (9, 5)])
def test_a_job_that_waits_for_the_next_tier_holds_a_slot_and_no_worker(slots: int, ran: int) -> None:
    clock, began = Hand(), list[object]()
    tier = Tier(workers=1, slots=slots)
    above = Server(
        0,
        tier,
        0,
        1.0,
        replace(CALM, thrash=0.0),
        clock,
        Random(1),
        on_executed=lambda _, call: began.append(call),
        call_downstream=lambda call, left, done: Nowhere(),
        downstream_calls=1.0,
    )
    calls = [call([], seconds=0.1) for _ in range(5)]
    for each in calls:
        above.receive(each)
    clock.on(5.0)
    assert len(began) == ran
    if slots == 3:  # one that is given up makes room for the next
        above.cancel(calls[0])
        clock.on(1.0)
        assert len(began) == 4


def test_a_number_is_forgotten_after_its_window() -> None:
    numbers = DeduplicationTable(window=5.0)
    assert (
        not numbers.is_repeat("n", 10.0) and numbers.is_repeat("n", 14.9) and not numbers.is_repeat("n", 15.1)
    )


def test_nothing_crosses_a_cut_and_all_goes_on_within_each_side() -> None:
    world = World(replace(CALM, zones=3))
    came: list[tuple[int, int]] = []
    world.cut = frozenset({1})
    for here in range(3):
        for there in range(3):
            world.deliver(here, there, lambda here=here, there=there: came.append((here, there)))  # type: ignore[misc]
    world.env.run(world.now + 1.0)
    assert sorted(came) == [(0, 0), (0, 2), (1, 1), (2, 0), (2, 2)]


def test_a_split_list_is_heard_by_some_nodes_alone_until_it_is_whole_again() -> None:
    split = Fault(Kind.LIST_SPLIT, 1.0, 9.0, size=0.5)
    scenario = replace(CALM, nodes=10, length=20.0, faults=(split, Fault(Kind.DRAIN, 3.0, 19.0, (0,))))
    heard = {
        row.node: row.at
        for row in World(scenario).play().rows
        if isinstance(row, EndpointNotified) and row.state is EndpointState.DRAINING
    }
    late = sum(at > 1_000_009.0 for at in heard.values())
    assert len(heard) == 10 and 2 <= late <= 8


def test_discovery_refuses_what_would_wait_too_long_and_forgets_who_has_gone() -> None:
    clock = Hand()
    discovery = Discovery(replace(CALM, list_rate=2.0, list_wait=0.9), clock, 1)
    heard: list[int | None] = []
    for asker in range(4):
        discovery.poll(0, asker, 0, lambda news, version, asker=asker: heard.append(news and asker))  # type: ignore[misc]
    assert heard == [None, None]  # the third and fourth would wait for a second
    clock.on(2.0)
    discovery.forget(1)
    discovery.changed(0, server(clock)[0])
    clock.on(1.0)
    assert heard == [None, None, 0]


def test_a_watch_is_answered_when_its_wait_is_over_and_never_once_it_has_fallen_silent() -> None:
    clock, rows = Hand(), list[TraceRow]()
    discovery = Discovery(replace(CALM, list_rate=2.0, list_delay=0.0), clock, 1, rows.append)
    discovery.join(0, 7)
    heard: list[tuple[int, int]] = []

    def answered(news: Sequence[object] | None, version: int) -> None:
        assert news is not None
        heard.append((len(news), version))

    discovery.poll(0, 7, 0, answered, 0.0)
    clock.on(0.4)
    assert not heard  # not worked through
    clock.on(0.2)
    assert heard == [(0, 0)]
    discovery.watch(0, 7, 0, answered, 2.0)
    discovery.watch(0, 7, 0, answered, 3.0)
    clock.on(2.0)
    assert heard == [(0, 0)] * 2
    discovery.drop_watches()
    discovery.changed(0, server(clock)[0])
    clock.on(9.0)
    assert heard == [(0, 0)] * 2
    discovery.watch(0, 7, 0, answered, 2.0)
    assert heard == [(0, 0), (0, 0), (1, 1)]
    assert [type(row) for row in rows] == [DiscoveryReachable, EndpointPublished]


def test_who_can_reach_discovery_is_noted_as_it_changes_and_no_more_of_who_has_gone() -> None:
    clock, rows = Hand(), list[TraceRow]()
    discovery = Discovery(CALM, clock, 1, rows.append)
    for asker in (1, 2, 3):
        discovery.join(0, asker)
    discovery.forget(3)
    discovery.cut_off(lambda asker: asker == 2)
    discovery.stop()
    discovery.cut_off(lambda asker: False)
    discovery.resume()
    seen = [(row.node, row.reachable) for row in rows if isinstance(row, DiscoveryReachable)]
    assert seen == [(1, True), (2, True), (3, True), (2, False), (1, False), (1, True), (2, True)]


CRUNCH = replace(
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


def test_a_crunch_costs_a_policy_without_budgets_most_and_breaks_no_rule_of_the_modules() -> None:
    def worth(variant: str) -> float:
        runs = [World(replace(CRUNCH, seed=seed), VARIANTS[variant]).play() for seed in (1, 2, 3)]
        if variant == "module":
            assert not any(breaches(story) for story in runs)
        return sum(float(figures(story, [])["in_time"]) for story in runs) / 3

    random, module, top = (worth(variant) for variant in ("random", "module", "top"))
    assert random + 0.1 < module < top
