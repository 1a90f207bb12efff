"""What it costs nodes to know of one another and of a limit, in virtual time, by the size of the fleet.

    python -m benchmarks.fleet_talk            # 5, 50 and 200 nodes; with --large 1,000 too

Datagrams are the real ones, sealed; the network between them is simulated. Five nodes own the limit; one job
in ten seconds and node asks for a right.
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

TICK = 0.1  # s
BEGIN = 60.0  # s in which all find one another
SPAN = 60.0  # s measured
LATENCY = 0.002  # s
ASK_EVERY = 10.0  # s between a node's jobs
HOLD = 0.1  # s that a job has its right


class Fleet:
    def __init__(self, count: int) -> None:
        self.random = Random(count)
        self.now = 0.0
        self.bytes = 0
        self.datagrams = 0
        self.ages: list[float] = []
        self.waits: list[float] = []
        names = [f"n{number}" for number in range(count)]
        plans = (Plan("l", Split(1, dict.fromkeys(names[:5], 4))),)
        scopes = {"l": Scope(frozenset(), frozenset())}
        key = (Key(1, b"k" * 32),)
        self.members = {}
        for number, name in enumerate(names):
            told = FleetConfig(name, name, ("n0", "n1", "n2"), key, 0.01, 1.0, plans, scopes)
            self.members[name] = FleetAgent(name, 1000 + number, told, 1.0, number, 0.0)
        self.order = itertools.count()
        self.due: list[tuple[float, int, str, str, bytes]] = []

    def send(self, source: str, datagrams: list[Datagram]) -> None:
        for to, data in datagrams:
            self.bytes += len(data)
            self.datagrams += 1
            at = self.now + LATENCY * self.random.uniform(0.5, 1.5)
            heapq.heappush(self.due, (at, next(self.order), to, source, data))

    def deliver(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, to, source, data = heapq.heappop(self.due)
            self.send(to, self.members[to].receive(self.now, data, source))
        self.now = until

    def play(self, seconds: float, jobs: bool) -> None:
        asking: dict[str, float] = {}
        held: list[tuple[float, int, str, Permit]] = []
        end = self.now + seconds
        while self.now < end:
            for name, member in self.members.items():
                self.send(name, member.tick(self.now))
                if jobs and self.random.random() < TICK / ASK_EVERY:
                    asking.setdefault(name, self.now)
                    self.send(name, member.pack(member.quotas.set_waiting(self.now, "l", 1)))
            step = self.now + TICK
            while self.now < step:
                self.deliver(min(step, self.now + 0.005))
                for name in list(asking):
                    limits = self.members[name].quotas
                    permit = limits.acquire(self.now, "l", self.now + 1.0)
                    if permit is not None:
                        self.waits.append(self.now - asking.pop(name))
                        heapq.heappush(held, (self.now + HOLD, next(self.order), name, permit))
                        self.send(name, self.members[name].pack(limits.set_waiting(self.now, "l", 0)))
                while held and held[0][0] <= self.now:
                    _, _, name, permit = heapq.heappop(held)
                    member = self.members[name]
                    self.send(name, member.pack(member.quotas.release(self.now, permit)))
            if jobs:
                name = self.random.choice(list(self.members))
                age = self.members[name].quotas.stats(self.now, "l").age
                self.ages.append(float("inf") if age is None else age)


def share(found: list[float], part: float) -> float:
    return sorted(found)[min(len(found) - 1, int(part * len(found)))]


def main() -> None:
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--large", action="store_true", help="1,000 nodes too")
    for count in (5, 50, 200, *((1000,) if asked.parse_args().large else ())):
        fleet = Fleet(count)
        fleet.play(BEGIN, jobs=False)
        known = min(len(member.membership.live()) for member in fleet.members.values())
        fleet.bytes = fleet.datagrams = 0
        began = time.process_time()
        fleet.play(SPAN, jobs=True)
        cpu = (time.process_time() - began) / count / SPAN * 1e6
        ages = [share(fleet.ages, part) for part in (0.5, 0.99, 1.0)]
        waits = [share(fleet.waits, part) * 1000 for part in (0.5, 0.99, 1.0)]
        print(
            f"{count} nodes (each knows {known + 1} at least): {fleet.bytes / count / SPAN:.0f} bytes and "
            f"{fleet.datagrams / count / SPAN:.1f} datagrams a second and node, {cpu:.0f} us of CPU; "
            f"age of the limit, s: {ages[0]:.1f}, {ages[1]:.1f}, {ages[2]:.1f} (p50, p99, most); "
            f"wait for a right, ms: {waits[0]:.0f}, {waits[1]:.0f}, {waits[2]:.0f}"
        )


if __name__ == "__main__":
    main()
