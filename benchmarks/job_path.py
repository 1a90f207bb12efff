"""What a job costs where the decisions and the fleet's limits stand; in microseconds, medians of runs.

    python -m benchmarks.job_path            # in this process: picks by servers; rights, own and borrowed
    python -m benchmarks.job_path --nodes    # a node process under load, with its section `fleet` and without

Servers and callers are stand-ins. Run it with nothing else on the machine; ratios say more than figures.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median

from notchjunction.balancing.interface import Idempotency, RequestClass
from notchjunction.emulator.scenario import Scenario, Stream
from notchjunction.fleet.envelope import Sender
from notchjunction.fleet.quotas.messages import LeaseGrant, PhaseAnnouncement
from notchjunction.fleet.quotas.phase import Phase
from notchjunction.fleet.quotas.plan import Plan, Split
from notchjunction.fleet.quotas.quotas import LeaseTiming, Quotas
from notchjunction.testbed.fleet_stage import FleetPart, FleetStage
from notchjunction.testbed.links import Links
from notchjunction.testbed.stage import Stage
from tests.helpers import FakeHost

RUNS = 7  # of each figure
COUNT = 2000  # of what is timed, in one run
RATE = 150.0  # jobs a second at one node
SECONDS = 12.0
WARM = 5.0  # s of load first; a fleet's nodes have run for longer when their load begins


def timed(work: Callable[[], None]) -> float:
    """Microseconds for one, the median over runs."""
    found = []
    for _ in range(RUNS):
        began = time.perf_counter()
        for _ in range(COUNT):
            work()
        found.append((time.perf_counter() - began) / COUNT * 1e6)
    return median(found)


def picks(servers: int) -> float:
    """A job from its taking to its answer, with as many servers in the list."""
    host = FakeHost(endpoints=servers)
    host.serve_requests(200)

    def one() -> None:
        job = host.submit()
        host.clock += 0.001
        host.end_attempt(job)
        host.commands.clear()

    return timed(one)


def rights(owned: int, lent: int) -> float:
    """A right that is spent, looked at again and given back: an own one, or a borrowed one."""
    plan = Plan("l", Split(1, {"a": owned, "b": 8 - owned}))
    limits = Quotas(Sender("a", 1), [plan], LeaseTiming(0.01, 1.0), 1, 0.0)
    limits.receive(1.0, Sender("b", 1), PhaseAnnouncement("l", 1, Phase.GROWN, False))
    limits.tick(100.0)
    if lent:
        (ask,) = limits.set_waiting(100.0, "l", lent)
        limits.receive(100.0, Sender("b", 1), LeaseGrant("l", ask.message.serial, 0, lent, limits.lease_term))
    now = 100.0

    def one() -> None:
        nonlocal now
        now += 1e-6
        permit = limits.acquire(now, "l", now + 1.0)
        assert permit is not None and limits.extend(now, permit, now + 1.0)
        limits.release(now, permit)

    return timed(one)


def cpu_of(process: int) -> float:
    """Processor seconds that it has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def node_cpu(fleet: bool) -> float:
    """Microseconds of a node's processor time for a job, beside two others that only own rights."""
    profile = RequestClass(0.5, 1.0, 1.0, 0.0, Idempotency.IDEMPOTENT)
    streams = (Stream(0, RATE, work=0.02),)
    scenario = Scenario("cost", nodes=1, servers=8, length=SECONDS, profiles=(profile,), streams=streams)
    used: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        links = await Links(["n0"], 1).open()
        stage = (
            FleetStage(scenario, FleetPart((64,)), Path(folder), links)
            if fleet
            else Stage(scenario, Path(folder))
        )

        async def watch() -> None:
            process = stage._placed_nodes[0].process._process
            assert process is not None
            await asyncio.sleep(WARM)
            began = cpu_of(process.pid)
            await asyncio.sleep(SECONDS - WARM - 1.0)
            used.append(cpu_of(process.pid) - began)

        playing = asyncio.create_task(stage.play())
        while not stage.rows:  # the first job's
            await asyncio.sleep(0.01)
        await asyncio.gather(watch(), playing)
        await links.close()
    return used[0] / (RATE * (SECONDS - WARM - 1.0)) * 1e6


def main() -> None:
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument(
        "--nodes", action="store_true", help="a node process under load, with and without a fleet"
    )
    if asked.parse_args().nodes:
        rows = [(asyncio.run(node_cpu(False)), asyncio.run(node_cpu(True))) for _ in range(3)]
        for off, on in rows:
            print(f"node, a job: {off:.0f} us without a fleet, {on:.0f} us with one: {on / off:.3f}")
        return
    for servers in (10, 100, 1000):
        print(f"decisions, {servers} servers: {picks(servers):.1f} us a job")
    print(f"own right: {rights(4, 0):.1f} us; borrowed: {rights(0, 4):.1f} us")


if __name__ == "__main__":
    main()
