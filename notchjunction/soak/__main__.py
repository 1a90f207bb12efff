"""Plays the soak runs of some seeds and prints the violated invariants."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

from notchjunction.soak.plan import draw
from notchjunction.soak.run import Result, SoakRun

MAX_PRINTED = 12  # violations per seed


def seeds_in(text: str) -> list[int]:
    """Returns the seeds of a text such as `3`, `1-50` or `1,4,9`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        seeds.extend(range(int(first), int(last) + 1) if dash else [int(first)])
    return seeds


def play(seed: int, folder: Path, nodes: int | None, seconds: float, backends: int | None) -> Result:
    """Plays the run of one seed; writes its plan and its nodes' logs to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    plan = draw(seed, nodes=nodes, seconds=seconds, backends=backends)
    (folder / "plan.json").write_text(json.dumps(asdict(plan), default=lambda kind: kind.name, indent=1))
    return asyncio.run(SoakRun(plan, folder).play())


def line_of(result: Result) -> str:
    """Returns a result as one line of text."""
    plan = result.plan
    verdict = f"{len(result.violations)} violations" if result.violations else "no violations"
    invariant_violations = sum(
        value for name, value in result.counters.items() if name.startswith("invariant_")
    )
    return (
        f"seed {plan.seed}: {verdict}, {plan.nodes} nodes, {plan.backends} backends, "
        f"{len(plan.faults)} faults, {result.requests} requests, "
        f"{result.succeeded} served, {result.attempts} attempts, "
        f"violations counted by nodes {invariant_violations:.0f}, "
        f"harness late {result.max_stall:.3f} s"
    )


def main() -> int:
    """Plays the seeds of the command line; returns 1 if any run violated an invariant, else 0."""
    parser = argparse.ArgumentParser(prog="notchjunction.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="such as 3, 1-50 or 1,4,9 (default: 1-5)")
    parser.add_argument("--nodes", type=int, help="number of nodes (default: drawn from the seed)")
    parser.add_argument("--backends", type=int, help="number of backends (default: drawn from the seed)")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="length of traffic and faults (default: 10)"
    )
    parser.add_argument("--folder", type=Path, help="for logs and plans (default: a temporary folder)")
    arguments = parser.parse_args()
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for seed in seeds_in(arguments.seeds):
        result = play(seed, folder / str(seed), arguments.nodes, arguments.seconds, arguments.backends)
        print(line_of(result), flush=True)
        for violation in result.violations[:MAX_PRINTED]:
            print(f"  {violation}", flush=True)
        failed += bool(result.violations)
    print(f"{failed} seeds with violations; logs in {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
