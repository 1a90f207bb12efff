"""Tests of the load that all nodes together put on cold servers, in simulated fleets.

`python -m tests.test_slow_start FIRST LAST` simulates a random fleet for each seed from FIRST up to, not
including, LAST, and prints how close the load comes to the allowed one.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, replace
from functools import partial
from math import inf
from random import Random

import pytest

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import Idempotency, RequestClass
from notchjunction.balancing.records import Endpoint
from notchjunction.balancing.throughput import ServedRate
from notchjunction.emulator.checkers import MAX_EXCESS_ROOTS, MIN_INFORMED_SHARE, cold_sum, cold_windows
from notchjunction.emulator.node import BalancerFactory, Node
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.emulator.trace import ColdLoadReceived, FinalResponse, RequestAnswered, Trace
from notchjunction.emulator.world import World
from tests.helpers import FakeHost

# Servers start cold only later. Longer than the span from which a node learns its traffic.
LEARNING_TIME_S = 11.0


@dataclass(frozen=True, slots=True)
class TrafficChange:
    """From `at` (s) on: how requests are distributed over the nodes, and which nodes restart."""

    at: float
    weights: tuple[float, ...]
    restarted: tuple[int, ...] = ()
    downtime: float = 0.5  # s until they are back; the other nodes get their requests meanwhile


class Fleet(World):
    """A world whose nodes have unequal shares of the traffic and are restarted."""

    def __init__(
        self, scenario: Scenario, changes: tuple[TrafficChange, ...], make: BalancerFactory = Balancer
    ) -> None:
        self._weights = [1.0] * scenario.nodes
        super().__init__(scenario, make)
        for server in self.servers:
            server.fails_on_overload = False
        for change in changes:
            self.after(change.at, partial(self._apply_change, change))

    def _choose_node(self) -> Node:
        weights = [weight * node.alive for weight, node in zip(self._weights, self.nodes, strict=True)]
        return self.random.choices(self.nodes, weights)[0]

    def _apply_change(self, change: TrafficChange) -> None:
        self._weights = list(change.weights[: self.scenario.nodes])
        for number in change.restarted:
            self.nodes[number].stop()
            self.after(change.downtime, partial(self._restart_node, number))

    def _restart_node(self, number: int) -> None:
        self.nodes[number] = self._make_node(0, self.nodes[number].zone, self.scenario.nodes)


def random_scenario(seed: int) -> tuple[Scenario, tuple[TrafficChange, ...]]:
    """Return a random fleet of 2 to 200 nodes; some or all servers start cold, at once or in turn."""
    random = Random(seed)
    nodes = (2, 20, 30, 200)[seed % 4]
    servers = random.choice((4, 8, 16, 40))
    workers = random.choice((1, 2, 4))
    utilization = random.choice((0.05, 0.3, 0.6, 0.9, 1.2))  # of the capacity of all servers
    rate = random.choice((30.0, 80.0, 160.0, 300.0))
    work = min(utilization * servers * workers / rate, 1.0)
    cold_time = random.choice((4.0, 10.0, 20.0))
    cold_servers = random.sample(
        range(servers), max(1, int(servers * random.choice((0.1, 0.3, 0.6, 0.9, 1.0))))
    )
    crash_interval = random.choice((0.0, 0.0, 0.3, 7.0 / len(cold_servers)))
    downtime = random.choice((0.3, 2.0, 5.0))
    last_return = LEARNING_TIME_S + crash_interval * len(cold_servers) + downtime
    faults = tuple(
        Fault(
            Kind.CRASH,
            LEARNING_TIME_S + crash_interval * index,
            LEARNING_TIME_S + crash_interval * index + downtime,
            (server,),
        )
        for index, server in enumerate(cold_servers)
    )
    sigma = random.choice((0.0, 0.5, 1.0, 1.5))

    def weights() -> tuple[float, ...]:
        return tuple(random.lognormvariate(0.0, sigma) for _ in range(nodes))

    changes = [TrafficChange(0.0, weights())]
    for _ in range(random.choice((0, 1, 3))):
        restarted = random.sample(range(nodes), int(nodes * random.choice((0.0, 0.1, 0.5, 0.7))))
        at = random.uniform(LEARNING_TIME_S - 2.0, last_return + cold_time / 2)
        change_weights = random.choice((changes[-1].weights, weights()))
        changes.append(TrafficChange(at, change_weights, tuple(restarted), random.choice((0.2, 2.0))))
    scenario = Scenario(
        f"drawn {seed}",
        nodes=nodes,
        tiers=(Tier(servers, workers=workers, speeds=random.choice(((1.0,), (0.7, 1.0, 1.4)))),),
        seed=seed,
        profiles=(
            RequestClass(max(1.0, 8 * work), max(2.0, 16 * work), idempotency=Idempotency.IDEMPOTENT),
            RequestClass(max(1.0, 8 * work), max(2.0, 16 * work), idempotency=Idempotency.NON_IDEMPOTENT),
        ),
        streams=(Stream(0, 0.8 * rate, work=work), Stream(1, 0.2 * rate, work=work)),
        faults=faults,
        cold_share=random.choice((0.05, 0.15, 0.4)),
        cold_time=cold_time,
        tip_multiple=random.choice((1.5, 2.0, 3.0)),
        tip_span=random.choice((0.5, 1.0, 2.0)),
        list_delay=random.choice((0.0, 0.5)),
        list_rate=50.0,
        length=last_return + cold_time + 1.0,
    )
    return scenario, tuple(sorted(changes, key=lambda change: change.at))


@dataclass(frozen=True, slots=True)
class RunSummary:
    """The windows of one run whose load came mostly from nodes that knew of the server's start."""

    windows: int
    exceeded: int  # windows over the bound
    # The largest excess over the allowed load and the two requests that chance may add, in square roots of
    # the allowed load.
    max_excess: float
    mean_budget_share: float  # used share of the allowed load, mean of the windows
    success_share: float  # share of requests that succeeded


def summarize(trace: Trace) -> RunSummary:
    windows = [window for window in cold_windows(trace) if window.informed >= MIN_INFORMED_SHARE]
    excesses = [window.excess for window in windows]
    mean_budget_share = sum(window.load / window.allowed for window in windows) / max(1, len(windows))
    finals = [row.final for row in trace.rows if isinstance(row, RequestAnswered)]
    exceeded = sum(excess > MAX_EXCESS_ROOTS for excess in excesses)
    success_share = finals.count(FinalResponse.SUCCEEDED) / max(1, len(finals))
    return RunSummary(len(windows), exceeded, max(excesses, default=-inf), mean_budget_share, success_share)


# All servers are down for four seconds while clients retry, and return one after another.
OUTAGE = Scenario(
    "outage",
    nodes=20,
    tiers=(Tier(8, speeds=(0.7, 1.0, 1.4)),),
    streams=(Stream(0, 300.0, work=0.064),),
    faults=tuple(Fault(Kind.CRASH, 3.0 + 0.3 * n, 7.0 + 0.3 * n, (n,)) for n in range(8)),
    cold_share=0.05,
    cold_time=20.0,
    tip_span=1.0,
    list_delay=0.0,
    list_rate=50.0,
    length=10.0,
)
# Seven of ten servers are replaced within seven seconds.
REPLACEMENT = Scenario(
    "join",
    nodes=30,
    tiers=(Tier(10, speeds=(0.7, 1.0, 1.4)),),
    streams=(Stream(0, 80.0, work=0.15),),
    faults=tuple(Fault(Kind.CRASH, 6.0 + n, 6.3 + n, (n,)) for n in range(7)),
    cold_share=0.15,
    cold_time=10.0,
    tip_span=1.0,
    list_rate=50.0,
    length=14.0,
)
EVEN = TrafficChange(0.0, (1.0,) * 200)
UNEVEN = TrafficChange(0.0, (6.0, *[1.0] * 9) * 20)
RESTARTED = TrafficChange(9.0, EVEN.weights, tuple(range(21)), 2.0)  # 21 of the 30 nodes


class FullBudgetBalancer(Balancer):
    """Gives each node the whole budget of a cold server instead of its share."""

    def _slow_start_credit(self, server: Endpoint, now: float) -> float:
        return self._settings.node_count * super()._slow_start_credit(server, now)


@pytest.mark.parametrize("case", [(16.9, False), (17.2, True)])
def test_the_checker_sums_the_requests_of_all_nodes_in_a_window(case: tuple[float, bool]) -> None:
    """Nine requests are allowed, and chance may add two square roots of nine and two more.

    Requests before the window do not count.
    """
    load, is_over = case
    rows = [
        ColdLoadReceived(at, 0, work, 9.0, True) for at, work in ((1.0, 90.0), (4.0, load - 2.0), (4.9, 2.0))
    ]
    trace = Trace(tuple(rows[1:]), (), 0.0, 0.0, 10.0, overload_window=1.0)
    assert bool(list(cold_sum(trace))) is is_over
    window_loads = [round(window.load, 6) for window in cold_windows(replace(trace, rows=tuple(rows)))]
    assert window_loads == [90.0, round(load - 2.0, 6), load]
    uninformed = replace(trace, rows=tuple(replace(row, informed=False) for row in rows[1:]))
    assert list(cold_sum(uninformed)) == []


def test_servers_that_return_after_an_outage_with_client_retries_are_not_overloaded() -> None:
    trace = Fleet(OUTAGE, (EVEN,)).play()
    assert list(cold_sum(trace)) == [] and summarize(trace).mean_budget_share > 0.1, summarize(trace)


def test_the_checker_detects_nodes_that_each_use_the_budget_of_the_whole_fleet() -> None:
    """The test above runs the same fleet with the real balancer, and the checker reports nothing."""
    assert list(cold_sum(Fleet(replace(OUTAGE, length=8.5), (EVEN,), FullBudgetBalancer).play()))


@pytest.mark.parametrize(
    ("nodes", "changes"),
    [(2, (EVEN,)), (200, (UNEVEN,)), (30, (EVEN, RESTARTED))],
    ids=["2 nodes", "200 nodes, uneven traffic", "30 nodes, 21 restarted"],
)
def test_while_most_servers_are_replaced_the_fleet_uses_the_budget_and_does_not_exceed_it(
    nodes: int, changes: tuple[TrafficChange, ...]
) -> None:
    scenario = replace(REPLACEMENT, nodes=nodes)
    summary = summarize(Fleet(scenario, changes).play())
    assert summary.exceeded == 0 and summary.mean_budget_share > 0.1 and summary.windows > 30, summary


def test_the_served_rate_of_the_fleet_is_not_attributed_to_one_remaining_warm_server() -> None:
    """Each server responded to five requests a second, and that is taken as its capacity."""
    served_rate, share, overload_multiple, window, cold_time = 5.0, 0.1, 1.5, 2.0, 20.0
    host = FakeHost(
        10, slow_start_share=share, slow_start_time=cold_time, overload_multiple=overload_multiple
    )
    host.serve_requests(1000, every=0.02)
    host.list_endpoints(*range(9), started_at=host.clock)
    start, commands_seen = host.clock, len(host.commands)
    while host.clock < start + 4.0:
        host.submit()
        host.advance(0.02)
        new_attempts, commands_seen = (
            [row for row in host.commands[commands_seen:] if row[0] == "send_attempt"],
            len(host.commands),
        )
        for row in new_attempts:
            host.end_attempt(row[1])
    load = [
        ColdLoadReceived(
            sent_at,
            server,
            1.0,
            overload_multiple * served_rate * window * (share + (1 - share) * (sent_at - start) / cold_time),
            True,
        )
        for sent_at, server in host.sent_attempts
        if sent_at >= start and server < 9
    ]
    trace = Trace(tuple(load), (), 0.0, 0.0, host.clock, overload_window=window)
    assert list(cold_sum(trace)) == [] and summarize(trace).windows > 9


def test_the_first_response_of_a_new_process_does_not_count_as_a_high_rate() -> None:
    served_rate = ServedRate(0.0)
    served_rate.record_success(warm=4, active=4)
    served_rate.advance(0.1, warm=4)
    assert served_rate.rate() < 0.03  # not a quarter of a request in a tenth of a second


def test_served_rates_of_nodes_add_up_while_traffic_moves_and_are_kept_while_no_server_is_warm() -> None:
    served_rates = [ServedRate(0.0), ServedRate(0.0)]
    sums = []
    for step in range(2000):
        # Ten a second in total, one for each server.
        served_rates[step >= 1000].record_success(warm=10, active=10)
        for served_rate in served_rates:
            served_rate.advance(step / 10, warm=10)
        sums.append(sum(served_rate.rate() for served_rate in served_rates))
    assert min(sums[200:]) > 0.9 and max(sums[200:]) < 1.1
    before = served_rates[1].rate()
    served_rates[1].advance(400.0, warm=0)
    assert served_rates[1].rate() == before


def main(first: int, last: int) -> None:
    summaries = []
    for seed in range(first, last):
        summaries.append(summarize(Fleet(*random_scenario(seed)).play()))
        print(seed, random_scenario(seed)[0].nodes, summaries[-1], flush=True)
    exceeded = [summary.exceeded for summary in summaries if summary.exceeded]
    windows, max_excess = (
        sum(summary.windows for summary in summaries),
        max(summary.max_excess for summary in summaries),
    )
    print(
        f"{len(summaries)} seeds, {windows} windows, {sum(exceeded)} over in {len(exceeded)} seeds, "
        f"worst {max_excess:.2f}"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
