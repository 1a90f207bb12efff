"""Proof that two revisions decide alike: plays fixed seeds on both and compares the ordered commands.

    python -m benchmarks.sameness --base REVISION                 # this tree against it
    python -m benchmarks.sameness --base REVISION --other FOLDER  # another worktree against it
    python -m benchmarks.sameness --base REVISION --mutate timer  # shows that a planted difference is found

Rows hold a sequence number, virtual time, a command's code, an endpoint and numbers; names are left out.
Exit status 0: all rows are the same. 1: a row differs; the first one of each play is shown for both sides.

A tree that has a recorder is played by its own, in its own names; an older one by the frozen
`sameness_baseline`. Four plays: the emulator's worlds, scripts on a socket-free host, fleets, list watches.
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
RECORDER = Path("benchmarks/sameness_recorder.py")  # within a tree
BASELINE = HERE / "sameness_baseline.py"
PLAYER = HERE / "sameness_player.py"
SEEDS: dict[str, tuple[int, ...]] = {
    "worlds": (1, 2, 3),
    "script": tuple(range(1, 15)),
    "fleet": (1, 2, 3, 4, 5),
    "watch": (1, 2, 3),
}
PROCESSES = 8  # at most at a time: both sides of each play
SAME, DIFFERENT = 0, 1


class Side(NamedTuple):
    """One of the two trees, and the difference that its recorder plants, if any."""

    name: str
    root: Path
    mutation: Mutation | None = None


class Verdict(NamedTuple):
    """What came of one play."""

    play: str
    rows: int
    digest: str
    difference: Difference | None


class PlayFailed(Exception):
    """A recorder could not play its tree."""


def recorder_of(root: Path) -> Path:
    """The tree's own recorder, else the frozen one."""
    own = root / RECORDER
    return own if own.exists() else BASELINE


def record(side: Side, play: str, seeds: Sequence[int], output: Path) -> Path:
    """Plays the seeds on one side, in a process of its own."""
    command = [sys.executable, str(PLAYER), str(recorder_of(side.root)), play]
    command += [",".join(map(str, seeds)), str(output), *([side.mutation.value] if side.mutation else [])]
    environment = {**os.environ, "PYTHONPATH": str(side.root), "PYTHONHASHSEED": "0"}
    ended = subprocess.run(command, cwd=side.root, env=environment, capture_output=True, text=True)
    if ended.returncode:
        raise PlayFailed(f"{play} on {side.name}:\n{ended.stderr}")
    return output


def lines_of(path: Path) -> Iterator[str]:
    """The rows of a recording."""
    with path.open() as lines:
        yield from (line.rstrip("\n") for line in lines)


def verdict(play: str, base: Path, other: Path) -> Verdict:
    """Compares two recordings of one play."""
    rows = sum(1 for _ in lines_of(base))
    return Verdict(play, rows, digest(lines_of(base)), first_difference(lines_of(base), lines_of(other)))


def compare(base: Side, other: Side, seeds: dict[str, tuple[int, ...]]) -> list[Verdict]:
    """Plays all on both sides at once, and compares."""
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(PROCESSES) as pool:
        running = {
            play: [
                pool.submit(record, side, play, drawn, Path(folder) / f"{play}-{place}")
                for place, side in enumerate((base, other))
            ]
            for play, drawn in seeds.items()
        }
        return [verdict(play, *(each.result() for each in both)) for play, both in running.items()]


def report(verdicts: Sequence[Verdict]) -> str:
    """The first differing rows of each play, or one line where there are none."""
    different = [each for each in verdicts if each.difference is not None]
    if not different:
        rows = sum(each.rows for each in verdicts)
        return f"same: {rows} rows, digest {digest(each.digest for each in verdicts)}"
    lines = []
    for play, _, _, difference in different:
        assert difference is not None
        lines.append(f"different: {play}; rows are: sequence, time, code, endpoint, numbers")
        lines.append(f"  base:  {difference.base or '(ended)'}")
        lines.append(f"  other: {difference.other or '(ended)'}")
    return "\n".join(lines)


@contextmanager
def worktree(revision: str) -> Iterator[Path]:
    """A checkout of a revision, for as long as it is needed."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder) / "base"
        git = ["git", "-C", str(HERE), "worktree"]
        subprocess.run([*git, "add", "--quiet", "--detach", str(root), revision], check=True)
        try:
            yield root
        finally:
            subprocess.run([*git, "remove", "--force", str(root)], check=True)


def parsed(arguments: Sequence[str] | None) -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--base", required=True, help="the revision that is taken for right")
    parser.add_argument("--other", type=Path, default=HERE.parent, help="root of the other tree")
    parser.add_argument("--seeds", type=int, nargs="+", help="for all plays, in place of the usual ones")
    parser.add_argument("--plays", nargs="+", choices=SEEDS, default=list(SEEDS), help="all by default")
    parser.add_argument("--mutate", type=Mutation, help="plant a difference: draw, timer or order")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command; gives its exit status."""
    asked = parsed(arguments)
    seeds = {play: tuple(asked.seeds or SEEDS[play]) for play in asked.plays}
    other = Side("other", asked.other.resolve(), asked.mutate)
    with worktree(asked.base) as root:
        verdicts = compare(Side("base", root), other, seeds)
    print(report(verdicts))
    return DIFFERENT if any(each.difference for each in verdicts) else SAME


if __name__ == "__main__":
    sys.exit(main())
