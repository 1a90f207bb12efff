"""Command line of the experiments: run a node, play scenarios, send load, write reports, check files."""

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
from notchjunction.experiments.load import LoadGenerator, ScheduledRequest, Shape, read_trace, schedule
from notchjunction.experiments.runs import Run, figures, play, run_all, runs_of, stored_result
from notchjunction.testbed.fleet_stage import OBSERVATION_LAG_S, FleetPart, play_fleet
from notchjunction.testbed.stage import Stage
from notchjunction.testbed.stage import breaches as stage_breaches


def invalid_file(file: Path, invalid: validation.InvalidConfigurationError) -> click.ClickException:
    """Return an exception that shows all errors of a file, one per line; exit code 1."""
    return click.ClickException("\n".join(f"{file}: {error}" for error in invalid.errors))


def revision() -> str:
    """Return the Git revision of this code, with a plus sign if files were changed; else "unknown"."""
    folder = Path(__file__).parent
    try:
        command = ["git", "describe", "--always", "--dirty=+"]
        return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def load_experiment(file: Path) -> Experiment:
    """Read an experiment file; an invalid one ends the command."""
    try:
        return read_experiment(file)
    except validation.InvalidConfigurationError as error:
        raise invalid_file(file, error) from error


def scenario_in(file: Path, name: str | None) -> Scenario:
    """Return the scenario of that name, or the first one if no name is given."""
    scenarios = {scenario.name: scenario for scenario in load_experiment(file).scenarios}
    chosen = scenarios.get(name) if name else next(iter(scenarios.values()))
    if chosen is None:
        raise click.BadParameter(f"expected one of {', '.join(scenarios)}", param_hint="--scenario")
    return chosen


FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def main() -> None:
    """Run experiments with notchjunction. Servers in the emulator are simulated."""


@main.command()
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def node(arguments: tuple[str, ...]) -> None:
    """Run one node, configured by environment variables (see the README)."""
    os.execv(sys.executable, [sys.executable, "-m", "notchjunction", *arguments])


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Show all errors of an experiment (.toml), a trace (.csv) or a node's configuration file (.json)."""
    try:
        if file.suffix == ".toml":
            read_experiment(file)
        elif file.suffix == ".csv":
            read_trace(file)
        else:
            validation.validate(validation.parse(file.read_text(encoding="utf-8")))
    except validation.InvalidConfigurationError as error:
        raise invalid_file(file, error) from error
    click.echo(f"{file}: valid")


@main.command()
@click.argument("file", type=FILE)
@click.option("--scenario", help="Its name; the first one if not given.")
@click.option("--variant", type=click.Choice(sorted(VARIANTS)), default="module", show_default=True)
@click.option("--seed", default=1, show_default=True)
def emulate(file: Path, scenario: str | None, variant: str, seed: int) -> None:
    """Play one scenario in the emulator and print its figures as JSON; exit code 3 if a rule is broken."""
    chosen = scenario_in(file, scenario)
    if chosen.name in load_experiment(file).fleets:
        raise click.ClickException(f"{file}: {chosen.name} has a fleet; play it with `sockets`")
    result = play(Run(chosen, variant, seed, revision()))
    del result["course"]
    click.echo(json.dumps(result, indent=1))
    if result["breaches"]:
        sys.exit(3)


@main.command()
@click.argument("file", type=FILE)
@click.option("--scenario", help="Its name; the first one if not given.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the nodes' logs in this folder."
)
def sockets(file: Path, scenario: str | None, seed: int, logs: Path | None) -> None:
    """Play one scenario with real node processes on loopback, in real time; the servers are fakes.

    Prints its figures as JSON, beside those of the emulator unless the nodes form a fleet. Exit code 3 if a
    rule is broken, 2 if a node crashes.
    """
    chosen = replace(scenario_in(file, scenario), seed=seed)
    fleet = load_experiment(file).fleets.get(chosen.name)
    with tempfile.TemporaryDirectory() as temporary:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        try:
            folder = logs or Path(temporary)
            result = asyncio.run(
                fleet_on_sockets(chosen, fleet, folder) if fleet else on_sockets(chosen, folder)
            )
        except RuntimeError as error:
            click.echo(str(error), err=True)
            sys.exit(2)
    del result["course"]
    if fleet is not None:
        click.echo(json.dumps(result, indent=1))
    else:
        emulated = play(Run(chosen, "module", seed, revision()))
        compared = {name: [result.get(name), emulated.get(name)] for name in result}
        click.echo(json.dumps({"sockets, emulator": compared}, indent=1))
    if result["breaches"]:
        sys.exit(3)


async def fleet_on_sockets(scenario: Scenario, fleet: FleetPart, folder: Path) -> dict[str, Any]:
    """Play a scenario whose nodes form a fleet with one quota.

    Returns the figures of the run and, among others, the mean number of attempts in flight in each second.
    """
    stage, trace = await play_fleet(scenario, fleet, folder)
    started_at, seconds = stage.settled_at, int(scenario.length)
    spans = (
        measure_in_flight(trace.rows, started_at + second, started_at + second + 1)
        for second in range(seconds)
    )
    excess = [
        f"limit_held: {text}" for text in limit_held(trace.rows, fleet.total_permits, OBSERVATION_LAG_S)
    ]
    return {
        **figures(trace, stage_breaches(without_faulty_nodes(trace, fleet)) + excess, started_at),
        "limit": fleet.total_permits,
        "most_out": measure_in_flight(trace.rows, started_at, started_at + seconds).peak,
        "out_by_second": [round(span.mean, 1) for span in spans],
        "failures": sum(counters.get("internal_errors", 0.0) for counters in stage.counters),
    }


def without_faulty_nodes(trace: Trace, fleet: FleetPart) -> Trace:
    """Drop the rows of nodes that were paused or killed: they can't answer their requests in time."""
    faulty = {fault.node for fault in fleet.processes}
    return replace(trace, rows=tuple(row for row in trace.rows if getattr(row, "node", None) not in faulty))


async def on_sockets(scenario: Scenario, folder: Path) -> dict[str, Any]:
    """Play a scenario on sockets.

    Returns the figures of the run, the clients' lag behind their schedule (`clients_late`), and the nodes'
    counts of internal errors and of requests without a result.
    """
    stage = Stage(scenario, folder)
    started_at = stage.clock.now
    trace = await stage.play()
    return {
        **figures(trace, stage_breaches(trace), started_at),
        "clients_late": stage.schedule_lag,
        "failures": sum(counters.get("internal_errors", 0.0) for counters in stage.counters),
        "unaccounted": sum(unaccounted(counters) for counters in stage.counters),
    }


# Each request that its client does not cancel is counted in exactly one of these counters.
FINAL_RESPONSES = (
    "responses_succeeded",
    "responses_rejected",
    "responses_failed",
    "responses_internal_error",
    "responses_truncated",
)


def unaccounted(counters: Mapping[str, float]) -> float:
    """Return how many requests a node received but counted under no result; anything but 0 is a defect."""
    responded = sum(counters.get(name, 0.0) for name in FINAL_RESPONSES)
    accounted = responded + counters.get("requests_cancelled", 0.0) + counters.get("requests_in_flight", 0.0)
    return abs(counters.get("requests_received", 0.0) - accounted)


@main.command()
@click.argument("file", type=FILE)
@click.option(
    "--into", type=click.Path(file_okay=False, path_type=Path), required=True, help="Folder of the results."
)
@click.option("--workers", default=os.cpu_count() or 1, show_default=True)
def experiment(file: Path, into: Path, workers: int) -> None:
    """Play all runs of an experiment that have no result in the folder yet; exit code 2 if one crashed."""
    definition = load_experiment(file)
    if definition.fleets:
        raise click.ClickException(f"{file}: play scenarios with a fleet one at a time with `sockets`")
    runs = list(runs_of(definition, revision()))
    stored = sum(1 for run in runs if stored_result(into, run) is not None)
    click.echo(f"{definition.name}: {len(runs)} runs, {stored} already done")

    def show_result(result: dict[str, Any]) -> None:
        text = f"died: {result['died']}" if result["died"] else f"{result['in_time']:.3f} in time"
        click.echo(f"{result['scenario']}, {result['variant']}, seed {result['seed']}: {text}")

    if run_all(runs, into, workers, show_result):
        sys.exit(2)


@main.command()
@click.argument("file", type=FILE)
@click.option("--results", type=click.Path(exists=True, file_okay=False, path_type=Path), required=True)
@click.option("--into", type=click.Path(file_okay=False, path_type=Path), required=True)
def report(file: Path, results: Path, into: Path) -> None:
    """Write tables and charts of an experiment's results, and print how many of its runs have a result."""
    definition = load_experiment(file)
    expected = [
        (s.name, v, n) for s in definition.scenarios for v in definition.variants for n in definition.seeds
    ]
    rows = [json.loads(path.read_text(encoding="utf-8")) for path in sorted(results.glob("*.json"))]
    revisions = sorted({row["revision"] for row in rows if _run_id(row) in expected})
    if len(revisions) > 1:
        raise click.ClickException(
            f"results of {len(revisions)} revisions in one folder: {', '.join(revisions)}"
        )
    row_of = {_run_id(row): row for row in rows}
    rows = [row_of[run_id] for run_id in expected if run_id in row_of]
    if not rows:
        raise click.ClickException(f"no results of {definition.name} in {results}")
    into.mkdir(parents=True, exist_ok=True)
    (into / "runs.csv").write_text(reports.table(rows), encoding="utf-8")
    (into / "summary.md").write_text(reports.summary(definition.name, rows), encoding="utf-8")
    charts = reports.charts(definition.name, rows, into)
    click.echo(
        f"{len(rows)} of {len(expected)} runs, revision {revisions[0]}; {2 + len(charts)} files in {into}"
    )


def _run_id(row: dict[str, Any]) -> tuple[str, str, int]:
    return row["scenario"], row["variant"], row["seed"]


@main.command()
@click.option("--to", "address", required=True, help="HOST:PORT of a node, on this machine.")
@click.option("--profile", default="lookup", show_default=True)
@click.option("--within", default=2.0, show_default=True, help="timeout of each request, s")
@click.option("--rate", default=50.0, show_default=True, help="requests per second")
@click.option("--rate-end", type=float, help="requests per second at the end, for a ramp")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--flush", default=0.0, show_default=True, help="requests per second, sent for 1 s after that")
@click.option("--trace", type=FILE, help="a recorded trace to send instead")
@click.option(
    "--tries",
    default=1,
    show_default=True,
    help="maximum number of tries per request; rejected requests are retried",
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
    """Send open-loop load and print the results as JSON; latency counts from the scheduled send time."""
    if not address.startswith("127."):
        raise click.BadParameter("load can only be sent to addresses of this machine", param_hint="--to")
    requests: list[ScheduledRequest]
    if trace is not None:
        try:
            requests = read_trace(trace)
        except validation.InvalidConfigurationError as error:
            raise invalid_file(trace, error) from error
    else:
        shapes = [Shape(rate, seconds, rate_end), *([Shape(flush, 1.0)] if flush else [])]
        requests = list(schedule(shapes, profile, within, seed))
    result = asyncio.run(LoadGenerator(address_of(address), tries, seed).play(requests))
    percentiles = (50.0, 90.0, 99.0, 99.9)
    click.echo(
        json.dumps(
            {
                "first_tries": result.first_request_count,
                "tries": result.request_count,
                "finals": dict(result.final_results),
                "latency_s": {str(percent): result.percentile(percent) for percent in percentiles},
                "sent_late_s": result.schedule_lag.get_max_value() / 1e6,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()
