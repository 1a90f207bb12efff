"""Checks that two revisions make the same decisions: plays fixed seeds on both and compares all commands.

    python -m benchmarks.sameness --base REVISION                 # compare this tree with the revision
    python -m benchmarks.sameness --base REVISION --other FOLDER  # compare another worktree with it
    python -m benchmarks.sameness --base REVISION --mutate timer  # check that an injected difference is found

There are four plays: scenarios of the emulator, random scripts on a host without sockets, fleets, and watches
of the endpoint list. Each play records a row per command: a sequence number, the virtual time, the code of
the command, an endpoint and further numbers. Rows hold no names, so that renaming changes no row.

Exit status 0: all rows are equal. 1: a row differs; the first one of each play is shown for both sides.

Each tree is played by its own `sameness_recorder`, which uses the names of that tree. A tree from before the
recorder existed is played by `sameness_baseline`, which is never changed.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from benchmarks.sameness_rows import Difference, Mutation, digest, first_difference

HERE = Path(__file__).resolve().parent
RECORDER = Path("benchmarks/sameness_recorder.py")  # relative to the root of a tree
BASELINE = HERE / "sameness_baseline.py"
PLAYER = HERE / "sameness_player.py"
SEEDS: dict[str, tuple[int, ...]] = {
    "worlds": (1, 2, 3),
    "script": tuple(range(1, 15)),
    "fleet": (1, 2, 3, 4, 5),
    "watch": (1, 2, 3),
}
MAX_PROCESSES = 8  # four plays on two sides
SAME, DIFFERENT = 0, 1


class Side(NamedTuple):
    """One of the two trees, and the difference that its recorder injects, if any."""

    name: str
    root: Path
    mutation: Mutation | None = None


class Comparison(NamedTuple):
    """The result of one play on both sides: rows and digest of the base, and the first difference."""

    play: str
    rows: int
    digest: str
    difference: Difference | None


class PlayError(Exception):
    """A recorder failed; the message holds its output."""


def recorder_of(root: Path) -> Path:
    """Return the path of the tree's own recorder, or `BASELINE` if it has none."""
    own = root / RECORDER
    return own if own.exists() else BASELINE


def record(side: Side, play: str, seeds: Sequence[int], output: Path) -> Path:
    """Play the seeds on one side in a separate process, which writes its rows to `output`."""
    command = [sys.executable, str(PLAYER), str(recorder_of(side.root)), play]
    command += [",".join(map(str, seeds)), str(output), *([side.mutation.value] if side.mutation else [])]
    environment = {**os.environ, "PYTHONPATH": str(side.root), "PYTHONHASHSEED": "0"}
    completed = subprocess.run(command, cwd=side.root, env=environment, capture_output=True, text=True)
    if completed.returncode:
        raise PlayError(f"{play} on {side.name}:\n{completed.stderr}")
    return output


def lines_of(path: Path) -> Iterator[str]:
    """Yield the rows of a recording as text."""
    with path.open() as lines:
        yield from (line.rstrip("\n") for line in lines)


def compare_recordings(play: str, base: Path, other: Path) -> Comparison:
    """Compare two recordings of one play."""
    rows = sum(1 for _ in lines_of(base))
    return Comparison(play, rows, digest(lines_of(base)), first_difference(lines_of(base), lines_of(other)))


def compare(base: Side, other: Side, seeds: dict[str, tuple[int, ...]]) -> list[Comparison]:
    """Play all plays on both sides in parallel and compare the recordings."""
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(MAX_PROCESSES) as pool:
        running = {
            play: [
                pool.submit(record, side, play, play_seeds, Path(folder) / f"{play}-{number}")
                for number, side in enumerate((base, other))
            ]
            for play, play_seeds in seeds.items()
        }
        return [
            compare_recordings(play, *(future.result() for future in futures))
            for play, futures in running.items()
        ]


def report(comparisons: Sequence[Comparison]) -> str:
    """Return the first differing rows of each play, or one line if there are none."""
    different = [comparison for comparison in comparisons if comparison.difference is not None]
    if not different:
        rows = sum(comparison.rows for comparison in comparisons)
        return f"same: {rows} rows, digest {digest(comparison.digest for comparison in comparisons)}"
    lines = []
    for play, _, _, difference in different:
        assert difference is not None
        lines.append(f"different: {play}; rows are: sequence, time, code, endpoint, numbers")
        lines.append(f"  base:  {difference.base or '(ended)'}")
        lines.append(f"  other: {difference.other or '(ended)'}")
    return "\n".join(lines)


@contextmanager
def worktree(revision: str) -> Iterator[Path]:
    """Check out a revision in a temporary worktree, which is removed at the end of the context."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder) / "base"
        git = ["git", "-C", str(HERE), "worktree"]
        subprocess.run([*git, "add", "--quiet", "--detach", str(root), revision], check=True)
        try:
            yield root
        finally:
            subprocess.run([*git, "remove", "--force", str(root)], check=True)


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--base", required=True, help="the revision to compare with")
    parser.add_argument("--other", type=Path, default=HERE.parent, help="root of the other tree")
    parser.add_argument(
        "--seeds", type=int, nargs="+", help="seeds of all plays, instead of the default ones"
    )
    parser.add_argument(
        "--plays", nargs="+", choices=SEEDS, default=list(SEEDS), help="plays to run; all by default"
    )
    parser.add_argument("--mutate", type=Mutation, help="inject a difference: draw, timer or order")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command and return its exit status."""
    options = parse_arguments(arguments)
    seeds = {play: tuple(options.seeds or SEEDS[play]) for play in options.plays}
    other = Side("other", options.other.resolve(), options.mutate)
    with worktree(options.base) as root:
        comparisons = compare(Side("base", root), other, seeds)
    print(report(comparisons))
    return DIFFERENT if any(comparison.difference for comparison in comparisons) else SAME


if __name__ == "__main__":
    sys.exit(main())
