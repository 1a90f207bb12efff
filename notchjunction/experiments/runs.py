"""Execution of an experiment's runs in parallel processes.

Each run's result is stored in its own file, so that an interrupted experiment can be resumed. A run that
crashes also has a result, which holds the error.
"""

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

COURSE_INTERVAL_S = 1.0  # length of the intervals in `course`, seconds
MAX_BREACH_MESSAGES = 5  # messages stored per run; the count of breaches includes all

ResultCallback = Callable[[dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class Run:
    """One run: a scenario played with one variant and one seed, by one revision of the code."""

    scenario: Scenario
    variant: str
    seed: int
    revision: str

    @property
    def key(self) -> str:
        """Hash of scenario, variant, seed and revision; it changes when any value of the scenario changes."""
        text = json.dumps([asdict(self.scenario), self.variant, self.seed, self.revision], default=str)
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def identity(self) -> dict[str, Any]:
        """Return the fields that identify the run in its result."""
        return {
            "scenario": self.scenario.name,
            "variant": self.variant,
            "seed": self.seed,
            "revision": self.revision,
            "key": self.key,
        }


def runs_of(experiment: Experiment, revision: str) -> Iterator[Run]:
    """Yield all runs of an experiment."""
    for scenario in experiment.scenarios:
        for variant in experiment.variants:
            for seed in experiment.seeds:
                yield Run(scenario, variant, seed, revision)


def play(run: Run) -> dict[str, Any]:
    """Play one run in the emulator and return its result."""
    trace = World(replace(run.scenario, seed=run.seed), VARIANTS[run.variant]).play()
    return {**run.identity(), "died": None, **figures(trace, breaches(trace))}


def figures(trace: Trace, breach_messages: list[str], started_at: float = START_TIME) -> dict[str, Any]:
    """Return the figures of a run.

    They are counted per first request of a client: a client's retry belongs to the request that it repeats.

    Args:
        trace: The trace of the run.
        breach_messages: A message for each rule that the run broke.
        started_at: When the load began, in seconds on the trace's clock.
    """
    first_sent_at: dict[int, float] = {}
    request_class_of: dict[int, int] = {}
    first_request_of: dict[tuple[int, int], int] = {}
    succeeded_at: dict[int, float] = {}
    counts: Counter[str] = Counter()
    responses: Counter[FinalResponse] = Counter()
    for row in trace.rows:
        if isinstance(row, RequestAccepted) and row.first_request != NO_FIRST_REQUEST:
            first_sent_at.setdefault(row.first_request, row.at)
            request_class_of[row.first_request] = row.request_class
            first_request_of[row.node, row.request] = row.first_request
            counts["tries"] += 1
        elif isinstance(row, AttemptSent):
            counts["again" if row.attempt else "first"] += 1
        elif isinstance(row, ProbeSent):
            counts["probes"] += 1
        elif isinstance(row, RequestAnswered):
            if (row.node, row.request) not in first_request_of:
                continue  # a request from a server to another tier
            responses[row.final] += 1
            if row.final is FinalResponse.SUCCEEDED:
                succeeded_at.setdefault(first_request_of[row.node, row.request], row.at)
    possible_revenue = earned_revenue = 0.0
    course: dict[int, list[float]] = {}
    max_deadline = max(request_class.deadline for request_class in trace.request_classes)
    latencies = []
    for first_request, sent_at in first_sent_at.items():
        if sent_at > trace.ended_at - max_deadline:
            continue  # the run ended before the deadline of this request
        request_class = trace.request_classes[request_class_of[first_request]]
        revenue = 0.0
        if first_request in succeeded_at:
            latency = succeeded_at[first_request] - sent_at
            latencies.append(latency)
            revenue = request_class.priority_weight * (
                1.0 if latency <= request_class.latency_objective else request_class.late_weight
            )
        possible_revenue += request_class.priority_weight
        earned_revenue += revenue
        interval = course.setdefault(int((sent_at - started_at) / COURSE_INTERVAL_S), [0.0, 0.0])
        interval[0] += revenue
        interval[1] += request_class.priority_weight
    latencies.sort()
    return {
        "in_time": earned_revenue / possible_revenue if possible_revenue else 0.0,
        "tries_a_job": counts["tries"] / max(1, len(first_sent_at)),
        "dispatches_a_job": (counts["first"] + counts["again"]) / max(1, len(first_sent_at)),
        "retry_share": counts["again"] / max(1, counts["first"]),
        "probes_a_dispatch": counts["probes"] / max(1, counts["first"]),
        "turned_back": responses[FinalResponse.REJECTED],
        "written_off": responses[FinalResponse.FAILED],
        "p50": latencies[len(latencies) // 2] if latencies else None,
        "p99": latencies[int(len(latencies) * 0.99)] if latencies else None,
        "breaches": len(breach_messages),
        "breaches_said": breach_messages[:MAX_BREACH_MESSAGES],
        "course": [[start, earned, possible] for start, (earned, possible) in sorted(course.items())],
    }


def run_all(
    runs: list[Run],
    folder: Path,
    workers: int,
    on_result: ResultCallback,
    work: Callable[[Run], dict[str, Any]] = play,
) -> int:
    """Play the runs that have no result in the folder yet, and store their results there.

    Args:
        runs: The runs of the experiment.
        folder: The folder of the results; it is created if it does not exist.
        workers: The number of processes.
        on_result: Called with each new result.
        work: Plays one run; replaced in tests.

    Returns:
        The number of runs that crashed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    missing = [run for run in runs if stored_result(folder, run) is None]
    crashed = 0
    interrupted: list[Run] = []
    with ProcessPoolExecutor(max_workers=workers) as pool:
        pending: dict[Future[dict[str, Any]], Run] = {pool.submit(work, run): run for run in missing}
        for future in as_completed(pending):
            run = pending[future]
            try:
                result = future.result()
            except BrokenProcessPool:
                interrupted.append(run)  # this run or a concurrent one crashed its process
                continue
            except Exception as error:
                result = {**run.identity(), "died": repr(error)}
                crashed += 1
            _store(folder, run, result)
            on_result(result)
    # Run one at a time, to find out which of them crashes its process.
    return crashed + sum(_run_alone(run, folder, on_result, work) for run in interrupted)


def _run_alone(
    run: Run, folder: Path, on_result: ResultCallback, work: Callable[[Run], dict[str, Any]]
) -> bool:
    with ProcessPoolExecutor(max_workers=1) as pool:
        try:
            result = pool.submit(work, run).result()
        except BrokenProcessPool:
            result = {**run.identity(), "died": "its process ended"}
        except Exception as error:
            result = {**run.identity(), "died": repr(error)}
    _store(folder, run, result)
    on_result(result)
    return result["died"] is not None


def stored_result(folder: Path, run: Run) -> dict[str, Any] | None:
    """Return the stored result of a run, or None if there is none or the file is incomplete."""
    try:
        result = json.loads((folder / f"{run.key}.json").read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return None
    return result if isinstance(result, dict) and result.get("key") == run.key else None


def _store(folder: Path, run: Run, result: dict[str, Any]) -> None:
    partial = folder / f"{run.key}.{os.getpid()}.part"
    partial.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    partial.rename(folder / f"{run.key}.json")
