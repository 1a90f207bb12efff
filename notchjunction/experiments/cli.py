"""The laboratory's command line: run a node, emulate, load, experiment, report, check a file."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from notchjunction.addresses import address_of
from notchjunction.config import validation
from notchjunction.emulator.checkers import limit_held, measure_in_flight
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.trace import Trace
from notchjunction.experiments import report as reports
from notchjunction.experiments.baselines import VARIANTS
from notchjunction.experiments.files import Experiment, read_experiment
from notchjunction.experiments.load import Load, Send, Shape, read_trace, schedule
from notchjunction.experiments.runs import Run, figures, kept, play, run_all, runs_of
from notchjunction.testbed.fleet_stage import OBSERVATION_LAG_S, FleetPart, play_fleet
from notchjunction.testbed.stage import Stage
from notchjunction.testbed.stage import breaches as stage_breaches


def refuse(file: Path, unfit: validation.InvalidConfigurationError) -> click.ClickException:
    """All errors at once, each with file and place; exit code 1."""
    return click.ClickException("\n".join(f"{file}: {error}" for error in unfit.errors))


def revision() -> str:
    """Of the code that runs; with a plus where files differ from it."""
    here = Path(__file__).parent
    try:
        asked = ["git", "describe", "--always", "--dirty=+"]
        return subprocess.run(asked, cwd=here, capture_output=True, text=True, check=True).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def experiment_in(file: Path) -> Experiment:
    try:
        return read_experiment(file)
    except validation.InvalidConfigurationError as unfit:
        raise refuse(file, unfit) from unfit


def one_of(file: Path, name: str | None) -> Scenario:
    """The scenario of that name, else the first."""
    scenarios = {each.name: each for each in experiment_in(file).scenarios}
    chosen = scenarios.get(name) if name else next(iter(scenarios.values()))
    if chosen is None:
        raise click.BadParameter(f"none of {', '.join(scenarios)}", param_hint="--scenario")
    return chosen


FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def main() -> None:
    """Experiments with notchjunction. Servers in the emulator are simulated."""


@main.command()
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def node(arguments: tuple[str, ...]) -> None:
    """Run one node, by its environment (see the README)."""
    os.execv(sys.executable, [sys.executable, "-m", "notchjunction", *arguments])


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Say all that is wrong with an experiment (.toml), a trace (.csv) or a node's file (.json)."""
    try:
        if file.suffix == ".toml":
            read_experiment(file)
        elif file.suffix == ".csv":
            read_trace(file)
        else:
            validation.validate(validation.parse(file.read_text(encoding="utf-8")))
    except validation.InvalidConfigurationError as unfit:
        raise refuse(file, unfit) from unfit
    click.echo(f"{file}: sound")


@main.command()
@click.argument("file", type=FILE)
@click.option("--scenario", help="Its name; the first one if not given.")
@click.option("--variant", type=click.Choice(sorted(VARIANTS)), default="module", show_default=True)
@click.option("--seed", default=1, show_default=True)
def emulate(file: Path, scenario: str | None, variant: str, seed: int) -> None:
    """Play one scenario once, and print its figures as JSON; exit code 3 if a rule breaks."""
    chosen = one_of(file, scenario)
    if chosen.name in experiment_in(file).fleets:
        raise click.ClickException(f"{file}: {chosen.name} is a fleet, and played with `sockets`")
    result = play(Run(chosen, variant, seed, revision()))
    del result["course"]
    click.echo(json.dumps(result, indent=1))
    if result["breaches"]:
        sys.exit(3)


@main.command()
@click.argument("file", type=FILE)
@click.option("--scenario", help="Its name; the first one if not given.")
@click.option("--seed", default=1, show_default=True)
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the nodes' logs there.")
def sockets(file: Path, scenario: str | None, seed: int, logs: Path | None) -> None:
    """Play one scenario against real node processes on loopback, in real time; servers are stand-ins.

    Prints its figures as JSON, and those of the emulator beside them; exit code 3 if a rule breaks, 2 if a
    node dies.
    """
    chosen = replace(one_of(file, scenario), seed=seed)
    part = experiment_in(file).fleets.get(chosen.name)
    with tempfile.TemporaryDirectory() as folder:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        try:
            into = logs or Path(folder)
            result = asyncio.run(as_fleet(chosen, part, into) if part else on_sockets(chosen, into))
        except RuntimeError as error:
            click.echo(str(error), err=True)
            sys.exit(2)
    del result["course"]
    if part is not None:
        click.echo(json.dumps(result, indent=1))
    else:
        emulated = play(Run(chosen, "module", seed, revision()))
        shown = {name: [result.get(name), emulated.get(name)] for name in result}
        click.echo(json.dumps({"sockets, emulator": shown}, indent=1))
    if result["breaches"]:
        sys.exit(3)


async def as_fleet(scenario: Scenario, part: FleetPart, folder: Path) -> dict[str, Any]:
    """The same of nodes that are one fleet under a limit, with what was out at the servers by the second."""
    stage, story = await play_fleet(scenario, part, folder)
    began, seconds = stage.settled_at, int(scenario.length)
    spans = (measure_in_flight(story.rows, began + second, began + second + 1) for second in range(seconds))
    over = [f"limit_held: {text}" for text in limit_held(story.rows, part.total_permits, OBSERVATION_LAG_S)]
    return {
        **figures(story, stage_breaches(sound(story, part)) + over, began),
        "limit": part.total_permits,
        "most_out": measure_in_flight(story.rows, began, began + seconds).peak,
        "out_by_second": [round(span.mean, 1) for span in spans],
        "failures": sum(counters.get("internal_errors", 0.0) for counters in stage.counters),
    }


def sound(story: Trace, part: FleetPart) -> Trace:
    """Without the nodes that were paused or killed: what they had taken can't be answered in time."""
    hit = {fault.node for fault in part.processes}
    return replace(story, rows=tuple(row for row in story.rows if getattr(row, "node", None) not in hit))


async def on_sockets(scenario: Scenario, folder: Path) -> dict[str, Any]:
    """A run on sockets; its figures, with how far the clients fell behind and what the nodes failed at."""
    stage = Stage(scenario, folder)
    began = stage.clock.now
    story = await stage.play()
    return {
        **figures(story, stage_breaches(story), began),
        "clients_late": stage.schedule_lag,
        "failures": sum(counters.get("internal_errors", 0.0) for counters in stage.counters),
        "unaccounted": sum(unaccounted(counters) for counters in stage.counters),
    }


# The counters of which each request adds to one, unless its client has cancelled it.
FINAL_RESPONSES = (
    "responses_succeeded",
    "responses_rejected",
    "responses_failed",
    "responses_internal_error",
    "responses_truncated",
)


def unaccounted(counters: Mapping[str, float]) -> float:
    """Jobs taken that are under no answer of a node's counters; any is a defect."""
    ended = sum(counters.get(name, 0.0) for name in FINAL_RESPONSES)
    known = ended + counters.get("requests_cancelled", 0.0) + counters.get("requests_in_flight", 0.0)
    return abs(counters.get("requests_received", 0.0) - known)


@main.command()
@click.argument("file", type=FILE)
@click.option(
    "--into", type=click.Path(file_okay=False, path_type=Path), required=True, help="Folder of results."
)
@click.option("--workers", default=os.cpu_count() or 1, show_default=True)
def experiment(file: Path, into: Path, workers: int) -> None:
    """Play all runs of an experiment that the folder does not hold yet; exit code 2 if one died."""
    found = experiment_in(file)
    if found.fleets:
        raise click.ClickException(f"{file}: a fleet is played with `sockets`, a scenario at a time")
    runs = list(runs_of(found, revision()))
    there = sum(1 for run in runs if kept(into, run) is not None)
    click.echo(f"{found.name}: {len(runs)} runs, {there} there already")

    def said(result: dict[str, Any]) -> None:
        figure = f"died: {result['died']}" if result["died"] else f"{result['in_time']:.3f} in time"
        click.echo(f"{result['scenario']}, {result['variant']}, seed {result['seed']}: {figure}")

    if run_all(runs, into, workers, said):
        sys.exit(2)


@main.command()
@click.argument("file", type=FILE)
@click.option("--results", type=click.Path(exists=True, file_okay=False, path_type=Path), required=True)
@click.option("--into", type=click.Path(file_okay=False, path_type=Path), required=True)
def report(file: Path, results: Path, into: Path) -> None:
    """Make tables and charts of an experiment's results; runs that are missing are said, not made up."""
    found = experiment_in(file)
    wanted = [(s.name, v, n) for s in found.scenarios for v in found.variants for n in found.seeds]
    rows = [json.loads(each.read_text(encoding="utf-8")) for each in sorted(results.glob("*.json"))]
    revisions = sorted({row["revision"] for row in rows if _name(row) in wanted})
    if len(revisions) > 1:
        raise click.ClickException(
            f"results of {len(revisions)} revisions in one folder: {', '.join(revisions)}"
        )
    by = {_name(row): row for row in rows}
    rows = [by[each] for each in wanted if each in by]
    if not rows:
        raise click.ClickException(f"no results of {found.name} in {results}")
    into.mkdir(parents=True, exist_ok=True)
    (into / "runs.csv").write_text(reports.table(rows), encoding="utf-8")
    (into / "summary.md").write_text(reports.summary(found.name, rows), encoding="utf-8")
    made = reports.charts(found.name, rows, into)
    click.echo(f"{len(rows)} of {len(wanted)} runs, revision {revisions[0]}; {2 + len(made)} files in {into}")


def _name(row: dict[str, Any]) -> tuple[str, str, int]:
    return row["scenario"], row["variant"], row["seed"]


@main.command()
@click.option("--to", "address", required=True, help="HOST:PORT of a node, on this machine.")
@click.option("--profile", default="lookup", show_default=True)
@click.option("--within", default=2.0, show_default=True, help="s that each request is waited for")
@click.option("--rate", default=50.0, show_default=True, help="requests a second")
@click.option("--rate-end", type=float, help="requests a second at the end: a ramp")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--flush", default=0.0, show_default=True, help="requests a second in one second after that")
@click.option("--trace", type=FILE, help="a recorded trace in place of these")
@click.option(
    "--tries", default=1, show_default=True, help="tries a client makes of itself after a turn-back"
)
@click.option("--seed", default=1, show_default=True)
def load(
    address: str,
    profile: str,
    within: float,
    rate: float,
    rate_end: float | None,
    seconds: float,
    flush: float,
    trace: Path | None,
    tries: int,
    seed: int,
) -> None:
    """Send open-loop load, and print what came of it as JSON; latency counts from the intended send time."""
    if not address.startswith("127."):
        raise click.BadParameter("load goes to addresses of this machine alone", param_hint="--to")
    sends: list[Send]
    if trace is not None:
        try:
            sends = read_trace(trace)
        except validation.InvalidConfigurationError as unfit:
            raise refuse(trace, unfit) from unfit
    else:
        shapes = [Shape(rate, seconds, rate_end), *([Shape(flush, 1.0)] if flush else [])]
        sends = list(schedule(shapes, profile, within, seed))
    outcome = asyncio.run(Load(address_of(address), tries, seed).play(sends))
    shares = (50.0, 90.0, 99.0, 99.9)
    click.echo(
        json.dumps(
            {
                "first_tries": outcome.first_tries,
                "tries": outcome.tries,
                "finals": dict(outcome.finals),
                "latency_s": {str(share): outcome.percentile(share) for share in shares},
                "sent_late_s": outcome.lateness.get_max_value() / 1e6,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()
