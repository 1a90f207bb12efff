"""Benchmark of a fleet's traffic and CPU time for membership and one quota, by the size of the fleet.

    python -m benchmarks.fleet_talk            # 5, 50 and 200 nodes; with --large 1,000 too

It runs in virtual time. The nodes exchange real, sealed datagrams over a simulated network. Five nodes own
the permits of the quota. Each node has one request in ten seconds on average, which needs a permit.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import time
from random import Random

from notchjunction.fleet.agent import Datagram, FleetAgent, FleetConfig, Scope
from notchjunction.fleet.envelope import Key
from notchjunction.fleet.quotas.plan import Plan, Split
from notchjunction.fleet.quotas.state import Permit

TICK_S = 0.1  # between two ticks of a node
WARM_UP_S = 60.0  # for all nodes to discover each other
MEASURED_S = 60.0
LATENCY_S = 0.002  # mean of the network
REQUEST_INTERVAL_S = 10.0  # mean time between two requests at a node
PERMIT_USE_S = 0.1  # for which a request uses its permit


class Fleet:
    """The nodes of a fleet and the simulated network between them."""

    def __init__(self, count: int) -> None:
        self.random = Random(count)
        self.now = 0.0
        self.bytes = 0
        self.datagrams = 0
        self.quota_ages: list[float] = []
        self.waits: list[float] = []
        names = [f"n{number}" for number in range(count)]
        plans = (Plan("l", Split(1, dict.fromkeys(names[:5], 4))),)
        scopes = {"l": Scope(frozenset(), frozenset())}
        key = (Key(1, b"k" * 32),)
        self.members = {}
        for number, name in enumerate(names):
            config = FleetConfig(name, name, ("n0", "n1", "n2"), key, 0.01, 1.0, plans, scopes)
            self.members[name] = FleetAgent(name, 1000 + number, config, 1.0, number, 0.0)
        self.order = itertools.count()  # breaks ties between equal times in heaps
        self.in_flight: list[tuple[float, int, str, str, bytes]] = []

    def send(self, source: str, datagrams: list[Datagram]) -> None:
        """Count datagrams and put them on the network."""
        for receiver, data in datagrams:
            self.bytes += len(data)
            self.datagrams += 1
            arrives_at = self.now + LATENCY_S * self.random.uniform(0.5, 1.5)
            heapq.heappush(self.in_flight, (arrives_at, next(self.order), receiver, source, data))

    def deliver(self, until: float) -> None:
        """Deliver all datagrams that arrive until then."""
        while self.in_flight and self.in_flight[0][0] <= until:
            self.now, _, receiver, source, data = heapq.heappop(self.in_flight)
            self.send(receiver, self.members[receiver].receive(self.now, data, source))
        self.now = until

    def play(self, seconds: float, with_requests: bool) -> None:
        """Run the fleet for a time, with or without requests."""
        waiting_since: dict[str, float] = {}
        used_permits: list[tuple[float, int, str, Permit]] = []
        end = self.now + seconds
        while self.now < end:
            for name, member in self.members.items():
                self.send(name, member.tick(self.now))
                if with_requests and self.random.random() < TICK_S / REQUEST_INTERVAL_S:
                    waiting_since.setdefault(name, self.now)
                    self.send(name, member.pack(member.quotas.set_waiting(self.now, "l", 1)))
            next_tick = self.now + TICK_S
            while self.now < next_tick:
                self.deliver(min(next_tick, self.now + 0.005))
                for name in list(waiting_since):
                    quotas = self.members[name].quotas
                    permit = quotas.acquire(self.now, "l", self.now + 1.0)
                    if permit is not None:
                        self.waits.append(self.now - waiting_since.pop(name))
                        heapq.heappush(
                            used_permits, (self.now + PERMIT_USE_S, next(self.order), name, permit)
                        )
                        self.send(name, self.members[name].pack(quotas.set_waiting(self.now, "l", 0)))
                while used_permits and used_permits[0][0] <= self.now:
                    _, _, name, permit = heapq.heappop(used_permits)
                    member = self.members[name]
                    self.send(name, member.pack(member.quotas.release(self.now, permit)))
            if with_requests:
                name = self.random.choice(list(self.members))
                age = self.members[name].quotas.stats(self.now, "l").age
                self.quota_ages.append(float("inf") if age is None else age)


def quantile(values: list[float], share: float) -> float:
    """Return the value below which this share of the values lies."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def main() -> None:
    """Run the benchmark and print a line for each size of the fleet."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--large", action="store_true", help="measure 1,000 nodes too")
    for count in (5, 50, 200, *((1000,) if parser.parse_args().large else ())):
        fleet = Fleet(count)
        fleet.play(WARM_UP_S, with_requests=False)
        min_peers = min(len(member.membership.live()) for member in fleet.members.values())
        fleet.bytes = fleet.datagrams = 0
        started_at = time.process_time()
        fleet.play(MEASURED_S, with_requests=True)
        cpu = (time.process_time() - started_at) / count / MEASURED_S * 1e6
        ages = [quantile(fleet.quota_ages, share) for share in (0.5, 0.99, 1.0)]
        waits = [quantile(fleet.waits, share) * 1000 for share in (0.5, 0.99, 1.0)]
        print(
            f"{count} nodes (each knows at least {min_peers + 1}): per node and second "
            f"{fleet.bytes / count / MEASURED_S:.0f} bytes, "
            f"{fleet.datagrams / count / MEASURED_S:.1f} datagrams, {cpu:.0f} us of CPU; "
            f"age of the quota's state, s: {ages[0]:.1f}, {ages[1]:.1f}, {ages[2]:.1f} (p50, p99, max); "
            f"wait for a permit, ms: {waits[0]:.0f}, {waits[1]:.0f}, {waits[2]:.0f}"
        )


if __name__ == "__main__":
    main()
