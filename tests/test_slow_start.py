"""What all nodes together push on cold servers, in drawn fleets; servers are simulated.

`python -m tests.test_slow_start FIRST LAST` plays so many drawn fleets and prints how near they come.
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

CALM = 11.0  # s before anything starts cold: over the span that a node learns its traffic from


@dataclass(frozen=True, slots=True)
class Deal:
    """From `at` on, how the clients' jobs fall to the nodes, and which nodes' processes start anew."""

    at: float
    weights: tuple[float, ...]
    restarted: tuple[int, ...] = ()
    away: float = 0.5  # s until those are there again; the others have their jobs meanwhile


class Fleet(World):
    """A world whose nodes have unequal parts of the traffic and are restarted."""

    def __init__(self, scenario: Scenario, deals: tuple[Deal, ...], make: BalancerFactory = Balancer) -> None:
        self._weights = [1.0] * scenario.nodes
        super().__init__(scenario, make)
        for server in self.servers:
            server.fails_on_overload = False
        for deal in deals:
            self.after(deal.at, partial(self._begin, deal))

    def _choose_node(self) -> Node:
        weights = [weight * node.alive for weight, node in zip(self._weights, self.nodes, strict=True)]
        return self.random.choices(self.nodes, weights)[0]

    def _begin(self, deal: Deal) -> None:
        self._weights = list(deal.weights[: self.scenario.nodes])
        for number in deal.restarted:
            self.nodes[number].stop()
            self.after(deal.away, partial(self._return, number))

    def _return(self, number: int) -> None:
        self.nodes[number] = self._make_node(0, self.nodes[number].zone, self.scenario.nodes)


def drawn(seed: int) -> tuple[Scenario, tuple[Deal, ...]]:
    """A fleet of 2 to 200 nodes, of whose servers some or most start cold at once or in steps."""
    random = Random(seed)
    nodes = (2, 20, 30, 200)[seed % 4]
    servers = random.choice((4, 8, 16, 40))
    workers = random.choice((1, 2, 4))
    used = random.choice((0.05, 0.3, 0.6, 0.9, 1.2))  # of what all servers can do
    rate = random.choice((30.0, 80.0, 160.0, 300.0))
    work = min(used * servers * workers / rate, 1.0)
    cold_time = random.choice((4.0, 10.0, 20.0))
    cold = random.sample(range(servers), max(1, int(servers * random.choice((0.1, 0.3, 0.6, 0.9, 1.0)))))
    step = random.choice((0.0, 0.0, 0.3, 7.0 / len(cold)))
    down = random.choice((0.3, 2.0, 5.0))
    last = CALM + step * len(cold) + down
    faults = tuple(
        Fault(Kind.CRASH, CALM + step * n, CALM + step * n + down, (server,)) for n, server in enumerate(cold)
    )
    spread = random.choice((0.0, 0.5, 1.0, 1.5))

    def weights() -> tuple[float, ...]:
        return tuple(random.lognormvariate(0.0, spread) for _ in range(nodes))

    deals = [Deal(0.0, weights())]
    for _ in range(random.choice((0, 1, 3))):
        restarted = random.sample(range(nodes), int(nodes * random.choice((0.0, 0.1, 0.5, 0.7))))
        at = random.uniform(CALM - 2.0, last + cold_time / 2)
        dealt = random.choice((deals[-1].weights, weights()))
        deals.append(Deal(at, dealt, tuple(restarted), random.choice((0.2, 2.0))))
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
        length=last + cold_time + 1.0,
    )
    return scenario, tuple(sorted(deals, key=lambda deal: deal.at))


@dataclass(frozen=True, slots=True)
class Seen:
    """Of one run: windows that knowing nodes filled, those over the bound, and what the worst was."""

    windows: int
    over: int
    worst: float  # roots of what is allowed, past it and the two that chance may add
    used: float  # of what is allowed, in the mean of these windows
    honoured: float  # of all jobs


def seen(story: Trace) -> Seen:
    windows = [window for window in cold_windows(story) if window.informed >= MIN_INFORMED_SHARE]
    excesses = [window.excess for window in windows]
    used = sum(window.load / window.allowed for window in windows) / max(1, len(windows))
    finals = [row.final for row in story.rows if isinstance(row, RequestAnswered)]
    over = sum(excess > MAX_EXCESS_ROOTS for excess in excesses)
    honoured = finals.count(FinalResponse.SUCCEEDED) / max(1, len(finals))
    return Seen(len(windows), over, max(excesses, default=-inf), used, honoured)


# Servers that all refuse for four seconds while clients come again, and return one after another.
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
JOIN = Scenario(
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
EVEN = Deal(0.0, (1.0,) * 200)
UNEVEN = Deal(0.0, (6.0, *[1.0] * 9) * 20)
KILLED = Deal(9.0, EVEN.weights, tuple(range(21)), 2.0)  # seven in ten front nodes


class Lavish(Balancer):
    """Each node takes the budget of a cold server for itself alone, and keeps to it."""

    def _slow_start_credit(self, server: Endpoint, now: float) -> float:
        return self._settings.node_count * super()._slow_start_credit(server, now)


@pytest.mark.parametrize("window", [(16.9, False), (17.2, True)])
def test_the_checker_adds_up_all_nodes_requests_in_one_span(window: tuple[float, bool]) -> None:
    """Nine are allowed: chance may add two roots and two more. What came before the span counts no more."""
    pushed, is_over = window
    rows = [
        ColdLoadReceived(at, 0, work, 9.0, True)
        for at, work in ((1.0, 90.0), (4.0, pushed - 2.0), (4.9, 2.0))
    ]
    story = Trace(tuple(rows[1:]), (), 0.0, 0.0, 10.0, overload_window=1.0)
    assert bool(list(cold_sum(story))) is is_over
    summed = [round(window.load, 6) for window in cold_windows(replace(story, rows=tuple(rows)))]
    assert summed == [90.0, round(pushed - 2.0, 6), pushed]
    untold = replace(story, rows=tuple(replace(row, informed=False) for row in rows[1:]))
    assert list(cold_sum(untold)) == []


def test_servers_that_refused_all_while_clients_came_again_are_not_pushed_over_as_they_return() -> None:
    story = Fleet(OUTAGE, (EVEN,)).play()
    assert list(cold_sum(story)) == [] and seen(story).used > 0.1, seen(story)


def test_the_checker_catches_nodes_that_each_keep_a_budget_that_is_for_all() -> None:
    """The story above has the same fleet with the real module, which it does not catch."""
    assert list(cold_sum(Fleet(replace(OUTAGE, length=8.5), (EVEN,), Lavish).play()))


@pytest.mark.parametrize(
    ("nodes", "deals"),
    [(2, (EVEN,)), (200, (UNEVEN,)), (30, (EVEN, KILLED))],
    ids=["two", "two hundred, uneven", "thirty, seven in ten killed"],
)
def test_while_most_servers_are_replaced_all_nodes_keep_the_budget_and_use_it(
    nodes: int, deals: tuple[Deal, ...]
) -> None:
    scenario = replace(JOIN, nodes=nodes)
    found = seen(Fleet(scenario, deals).play())
    assert found.over == 0 and found.used > 0.1 and found.windows > 30, found


def test_one_warm_server_that_is_left_does_not_pass_for_doing_all_that_the_fleet_did() -> None:
    """Servers did five jobs a second each, and no more is taken to be what they can do."""
    take, share, multiple, span, cold_time = 5.0, 0.1, 1.5, 2.0, 20.0
    host = FakeHost(10, slow_start_share=share, slow_start_time=cold_time, overload_multiple=multiple)
    host.serve_requests(1000, every=0.02)
    host.list_endpoints(*range(9), started_at=host.clock)
    began, rows = host.clock, len(host.commands)
    while host.clock < began + 4.0:
        host.submit()
        host.advance(0.02)
        sent, rows = [row for row in host.commands[rows:] if row[0] == "send_attempt"], len(host.commands)
        for row in sent:
            host.end_attempt(row[1])
    pushed = [
        ColdLoadReceived(
            at, server, 1.0, multiple * take * span * (share + (1 - share) * (at - began) / cold_time), True
        )
        for at, server in host.sent_attempts
        if at >= began and server < 9
    ]
    story = Trace(tuple(pushed), (), 0.0, 0.0, host.clock, overload_window=span)
    assert list(cold_sum(story)) == [] and seen(story).windows > 9


def test_a_new_process_takes_its_first_jobs_for_no_rate() -> None:
    take = ServedRate(0.0)
    take.record_success(warm=4, active=4)
    take.advance(0.1, warm=4)
    assert take.rate() < 0.03  # and not a quarter of a job in a tenth of a second


def test_what_a_fleet_did_adds_up_while_traffic_moves_and_is_kept_while_none_is_warm() -> None:
    takes = [ServedRate(0.0), ServedRate(0.0)]
    sums = []
    for step in range(2000):
        takes[step >= 1000].record_success(warm=10, active=10)  # ten a second in all, one a server
        for take in takes:
            take.advance(step / 10, warm=10)
        sums.append(sum(take.rate() for take in takes))
    assert min(sums[200:]) > 0.9 and max(sums[200:]) < 1.1
    before = takes[1].rate()
    takes[1].advance(400.0, warm=0)
    assert takes[1].rate() == before


def main(first: int, last: int) -> None:
    found = []
    for seed in range(first, last):
        found.append(seen(Fleet(*drawn(seed)).play()))
        print(seed, drawn(seed)[0].nodes, found[-1], flush=True)
    over = [each.over for each in found if each.over]
    windows, worst = sum(each.windows for each in found), max(each.worst for each in found)
    print(f"{len(found)} seeds, {windows} windows, {sum(over)} over in {len(over)} seeds, worst {worst:.2f}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
