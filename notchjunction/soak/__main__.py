"""The soak's command line: plays seeds and says what broke."""

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

MAX_SHOWN = 12  # violations of a seed that are printed


def seeds_in(text: str) -> list[int]:
    """The seeds of a text such as `3`, `1-50` or `1,4,9`."""
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        found.extend(range(int(first), int(last) + 1) if dash else [int(first)])
    return found


def play(seed: int, folder: Path, nodes: int | None, seconds: float, backends: int | None) -> Result:
    """Plays one seed; its plan and its nodes' logs stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    plan = draw(seed, nodes=nodes, seconds=seconds, backends=backends)
    (folder / "plan.json").write_text(json.dumps(asdict(plan), default=lambda kind: kind.name, indent=1))
    return asyncio.run(SoakRun(plan, folder).play())


def line_of(result: Result) -> str:
    """A result in one line."""
    plan = result.plan
    verdict = f"{len(result.violations)} violations" if result.violations else "sound"
    broken = sum(figure for name, figure in result.counters.items() if name.startswith("invariant_"))
    return (
        f"seed {plan.seed}: {verdict}, {plan.nodes} nodes, {plan.backends} backends, "
        f"{len(plan.faults)} faults, {result.requests} requests, "
        f"{result.succeeded} served, {result.attempts} attempts, withheld by invariants {broken:.0f}, "
        f"harness late {result.max_stall:.3f} s"
    )


def main() -> int:
    """Plays the seeds of the command line; the exit code, 1 where any broke an invariant."""
    parser = argparse.ArgumentParser(prog="notchjunction.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="as 3, 1-50 or 1,4,9 (default: 1-5)")
    parser.add_argument("--nodes", type=int, help="processes (default: drawn from the seed)")
    parser.add_argument("--backends", type=int, help="servers in the list (default: drawn from the seed)")
    parser.add_argument("--seconds", type=float, default=10.0, help="of traffic and faults (default: 10)")
    parser.add_argument("--folder", type=Path, help="where logs and plans go (default: a temporary folder)")
    arguments = parser.parse_args()
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for seed in seeds_in(arguments.seeds):
        result = play(seed, folder / str(seed), arguments.nodes, arguments.seconds, arguments.backends)
        print(line_of(result), flush=True)
        for violation in result.violations[:MAX_SHOWN]:
            print(f"  {violation}", flush=True)
        broken += bool(result.violations)
    print(f"{broken} seeds with violations; logs in {folder}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
