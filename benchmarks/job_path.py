"""Benchmark of the cost of a request in the balancer and in the fleet's quotas, in microseconds.

    python -m benchmarks.job_path            # in this process: balancer by number of endpoints; quota permits
    python -m benchmarks.job_path --nodes    # CPU time of a node process under load, with and without a fleet

Servers and clients are fakes. Run it on an otherwise idle machine, and compare ratios rather than absolute
values. In this process, times are medians over several runs.
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

RUNS = 7  # per median
CALLS_PER_RUN = 2000
RATE = 150.0  # requests per second at one node
LOAD_S = 12.0  # duration of the load
# Time under load before the measurement. Without it, a node with a fleet would have run for longer when it is
# measured, as its load starts later.
WARM_UP_S = 5.0


def median_time(function: Callable[[], None]) -> float:
    """Return the microseconds of one call, as the median over all runs."""
    times = []
    for _ in range(RUNS):
        started_at = time.perf_counter()
        for _ in range(CALLS_PER_RUN):
            function()
        times.append((time.perf_counter() - started_at) / CALLS_PER_RUN * 1e6)
    return median(times)


def balancer_time(endpoints: int) -> float:
    """Return the balancer's time per request, with this many endpoints in the list."""
    host = FakeHost(endpoints=endpoints)
    host.serve_requests(200)

    def run_request() -> None:
        request = host.submit()
        host.clock += 0.001
        host.end_attempt(request)
        host.commands.clear()

    return median_time(run_request)


def permit_time(owned: int, lent: int) -> float:
    """Return the time to acquire, extend and release a permit, either an own or a borrowed one."""
    plan = Plan("l", Split(1, {"a": owned, "b": 8 - owned}))
    quotas = Quotas(Sender("a", 1), [plan], LeaseTiming(0.01, 1.0), 1, 0.0)
    quotas.receive(1.0, Sender("b", 1), PhaseAnnouncement("l", 1, Phase.GROWN, False))
    quotas.tick(100.0)
    if lent:
        (loan_request,) = quotas.set_waiting(100.0, "l", lent)
        quotas.receive(
            100.0, Sender("b", 1), LeaseGrant("l", loan_request.message.serial, 0, lent, quotas.lease_term)
        )
    now = 100.0

    def use_permit() -> None:
        nonlocal now
        now += 1e-6
        permit = quotas.acquire(now, "l", now + 1.0)
        assert permit is not None and quotas.extend(now, permit, now + 1.0)
        quotas.release(now, permit)

    return median_time(use_permit)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def node_cpu_time(fleet: bool) -> float:
    """Return the microseconds of CPU time per request of a node process, with or without a fleet."""
    request_class = RequestClass(0.5, 1.0, 1.0, 0.0, Idempotency.IDEMPOTENT)
    streams = (Stream(0, RATE, work=0.02),)
    scenario = Scenario("cost", nodes=1, servers=8, length=LOAD_S, profiles=(request_class,), streams=streams)
    cpu_times: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        links = await Links(["n0"], 1).open()
        stage = (
            FleetStage(scenario, FleetPart((64,)), Path(folder), links)
            if fleet
            else Stage(scenario, Path(folder))
        )

        async def measure() -> None:
            process = stage._placed_nodes[0].process._process
            assert process is not None
            await asyncio.sleep(WARM_UP_S)
            cpu_before = cpu_seconds(process.pid)
            await asyncio.sleep(LOAD_S - WARM_UP_S - 1.0)
            cpu_times.append(cpu_seconds(process.pid) - cpu_before)

        playing = asyncio.create_task(stage.play())
        while not stage.rows:  # until the first request
            await asyncio.sleep(0.01)
        await asyncio.gather(measure(), playing)
        await links.close()
    return cpu_times[0] / (RATE * (LOAD_S - WARM_UP_S - 1.0)) * 1e6


def main() -> None:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--nodes", action="store_true", help="measure a node process under load, with and without a fleet"
    )
    if parser.parse_args().nodes:
        rows = [(asyncio.run(node_cpu_time(False)), asyncio.run(node_cpu_time(True))) for _ in range(3)]
        for without, with_fleet in rows:
            print(
                f"node, per request: {without:.0f} us without a fleet, {with_fleet:.0f} us with one: "
                f"{with_fleet / without:.3f}"
            )
        return
    for endpoints in (10, 100, 1000):
        print(f"balancer, {endpoints} endpoints: {balancer_time(endpoints):.1f} us per request")
    print(f"own permit: {permit_time(4, 0):.1f} us; borrowed: {permit_time(0, 4):.1f} us")


if __name__ == "__main__":
    main()
