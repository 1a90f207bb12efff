"""Runs of an experiment: each a file of its own, in parallel, resumable; one that dies is a result too."""

from __future__ import annotations

import hashlib
import json
import os
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from notchjunction.emulator.checkers import breaches
from notchjunction.emulator.node import NO_FIRST_REQUEST
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.trace import (
    AttemptSent,
    FinalResponse,
    ProbeSent,
    RequestAccepted,
    RequestAnswered,
    Trace,
)
from notchjunction.emulator.world import START_TIME, World
from notchjunction.experiments.baselines import VARIANTS
from notchjunction.experiments.files import Experiment

STRETCH = 1.0  # s of a run that make one figure of its course
BREACHES_KEPT = 5  # of a run, as text; all are counted

Done = Callable[[dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class Run:
    scenario: Scenario
    variant: str
    seed: int
    revision: str

    @property
    def key(self) -> str:
        """The same for the same run of the same code; another scenario under an old name is another run."""
        told = json.dumps([asdict(self.scenario), self.variant, self.seed, self.revision], default=str)
        return hashlib.sha256(told.encode()).hexdigest()[:16]

    def said(self) -> dict[str, Any]:
        return {
            "scenario": self.scenario.name,
            "variant": self.variant,
            "seed": self.seed,
            "revision": self.revision,
            "key": self.key,
        }


def runs_of(experiment: Experiment, revision: str) -> Iterator[Run]:
    for scenario in experiment.scenarios:
        for variant in experiment.variants:
            for seed in experiment.seeds:
                yield Run(scenario, variant, seed, revision)


def play(run: Run) -> dict[str, Any]:
    """One run; its figures."""
    story = World(replace(run.scenario, seed=run.seed), VARIANTS[run.variant]).play()
    return {**run.said(), "died": None, **figures(story, breaches(story))}


def figures(story: Trace, broken: list[str], began: float = START_TIME) -> dict[str, Any]:
    """What a run came to, by clients' first tries: a retry belongs to the try that it repeats."""
    first_at: dict[int, float] = {}
    profile_of: dict[int, int] = {}
    tries: dict[tuple[int, int], int] = {}
    honoured_at: dict[int, float] = {}
    counts: Counter[str] = Counter()
    responses: Counter[FinalResponse] = Counter()
    for row in story.rows:
        if isinstance(row, RequestAccepted) and row.first_request != NO_FIRST_REQUEST:
            first_at.setdefault(row.first_request, row.at)
            profile_of[row.first_request] = row.request_class
            tries[row.node, row.request] = row.first_request
            counts["tries"] += 1
        elif isinstance(row, AttemptSent):
            counts["again" if row.attempt else "first"] += 1
        elif isinstance(row, ProbeSent):
            counts["probes"] += 1
        elif isinstance(row, RequestAnswered):
            if (row.node, row.request) not in tries:
                continue  # a call that a server made
            responses[row.final] += 1
            if row.final is FinalResponse.SUCCEEDED:
                honoured_at.setdefault(tries[row.node, row.request], row.at)
    worth = earned = 0.0
    course: dict[int, list[float]] = {}
    longest = max(profile.deadline for profile in story.request_classes)
    seconds = []
    for first, at in first_at.items():
        if at > story.ended_at - longest:
            continue  # its answer may still be due
        profile = story.request_classes[profile_of[first]]
        gain = 0.0
        if first in honoured_at:
            took = honoured_at[first] - at
            seconds.append(took)
            gain = profile.priority_weight * (
                1.0 if took <= profile.latency_objective else profile.late_weight
            )
        worth += profile.priority_weight
        earned += gain
        stretch = course.setdefault(int((at - began) / STRETCH), [0.0, 0.0])
        stretch[0] += gain
        stretch[1] += profile.priority_weight
    seconds.sort()
    return {
        "in_time": earned / worth if worth else 0.0,
        "tries_a_job": counts["tries"] / max(1, len(first_at)),
        "dispatches_a_job": (counts["first"] + counts["again"]) / max(1, len(first_at)),
        "retry_share": counts["again"] / max(1, counts["first"]),
        "probes_a_dispatch": counts["probes"] / max(1, counts["first"]),
        "turned_back": responses[FinalResponse.REJECTED],
        "written_off": responses[FinalResponse.FAILED],
        "p50": seconds[len(seconds) // 2] if seconds else None,
        "p99": seconds[int(len(seconds) * 0.99)] if seconds else None,
        "breaches": len(broken),
        "breaches_said": broken[:BREACHES_KEPT],
        "course": [[at, gain, most] for at, (gain, most) in sorted(course.items())],
    }


def run_all(
    runs: list[Run], folder: Path, workers: int, said: Done, work: Callable[[Run], dict[str, Any]] = play
) -> int:
    """Plays what the folder does not hold yet; how many runs died."""
    folder.mkdir(parents=True, exist_ok=True)
    missing = [run for run in runs if kept(folder, run) is None]
    died = 0
    left: list[Run] = []
    with ProcessPoolExecutor(max_workers=workers) as pool:
        out: dict[Future[dict[str, Any]], Run] = {pool.submit(work, run): run for run in missing}
        for future in as_completed(out):
            run = out[future]
            try:
                result = future.result()
            except BrokenProcessPool:
                left.append(run)  # it, or one beside it, took the process down
                continue
            except Exception as error:
                result = {**run.said(), "died": repr(error)}
                died += 1
            _keep(folder, run, result)
            said(result)
    # One at a time tells which run it is that takes its process down.
    return died + sum(_alone(run, folder, said, work) for run in left)


def _alone(run: Run, folder: Path, said: Done, work: Callable[[Run], dict[str, Any]]) -> bool:
    with ProcessPoolExecutor(max_workers=1) as pool:
        try:
            result = pool.submit(work, run).result()
        except BrokenProcessPool:
            result = {**run.said(), "died": "its process ended"}
        except Exception as error:
            result = {**run.said(), "died": repr(error)}
    _keep(folder, run, result)
    said(result)
    return result["died"] is not None


def kept(folder: Path, run: Run) -> dict[str, Any] | None:
    """The result that the folder holds of a run; one that is torn counts as none."""
    try:
        found = json.loads((folder / f"{run.key}.json").read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None
    return found if isinstance(found, dict) and found.get("key") == run.key else None


def _keep(folder: Path, run: Run, result: dict[str, Any]) -> None:
    torn = folder / f"{run.key}.{os.getpid()}.part"
    torn.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    torn.rename(folder / f"{run.key}.json")
