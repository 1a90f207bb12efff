"""Tests of the experiments: validation of files, resumed and crashed runs, reports, and open-loop load."""

from __future__ import annotations

import asyncio
import csv
import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from notchjunction.config import validation
from notchjunction.emulator.scenario import Scenario
from notchjunction.experiments import report
from notchjunction.experiments.cli import main
from notchjunction.experiments.files import read_experiment
from notchjunction.experiments.load import (
    TRACE_COLUMNS,
    LoadGenerator,
    ScheduledRequest,
    Shape,
    read_trace,
    schedule,
)
from notchjunction.experiments.runs import Run, play, run_all, runs_of, stored_result
from tests.helpers import OK, Peer, Reply
from tests.test_net import run

EXPERIMENTS = Path(__file__).parents[1] / "experiments"
SMOKE = EXPERIMENTS / "smoke.toml"
SMALL = Scenario("small", nodes=2, servers=4, length=4.0)


def smoke_file_with(tmp_path: Path, old: str, new: str) -> Path:
    """Write a copy of the smoke experiment with one text replaced."""
    file = tmp_path / "it.toml"
    text = SMOKE.read_text()
    assert old in text
    file.write_text(text.replace(old, new, 1))
    return file


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("version = 1", "version = 2", "version"),
        ("version = 1", "", "version"),
        ("seeds = [1, 2]", "seeds = []", "seeds"),
        ("seeds = [1, 2]", "seeds = [1, 1]", "seeds"),
        ("seeds = [1, 2]", 'seeds = [1, "two"]', "seeds.1"),
        ('"random"', '"randum"', "variants.1"),
        ("nodes = 3", "nodes = 0", "scenarios.0.nodes"),
        ("nodes = 3", "nods = 3", "scenarios.0.nods"),
        ("nodes = 3", "zones = 9", "scenarios.0.zones"),
        ("length = 8.0", "length = -8.0", "scenarios.0.length"),
        ("rate = 30.0", "rate = nan", "scenarios.0.streams.0.rate"),
        ("profile = 1", "profile = 2", "scenarios.0.streams.1.profile"),
        ('name = "four crash"', 'name = "calm"', "scenarios"),
        ("until = 5.0", "until = 2.0", "scenarios.1.faults.0.until"),
        ("servers = [0, 1, 2, 3]", "servers = [0, 8]", "scenarios.1.faults.0.servers"),
        ('kind = "crash"', 'kind = "crush"', "scenarios.1.faults.0.kind"),
    ],
)
def test_an_invalid_experiment_is_rejected_with_the_path_of_the_error(
    old: str, new: str, path: str, tmp_path: Path
) -> None:
    file = smoke_file_with(tmp_path, old, new)
    with pytest.raises(validation.InvalidConfigurationError) as rejected:
        read_experiment(file)
    assert [error.partition(":")[0] for error in rejected.value.errors] == [path]
    checked = CliRunner().invoke(main, ["check", str(file)])
    assert checked.exit_code == 1 and f"{file}: {path}" in checked.output


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("owners = [2, 2, 2, 2, 2]", "owners = [2, 2]", "scenarios.0.fleet.owners"),
        ("owners = [2, 2, 2, 2, 2]", "owners = [0, 0, 0, 0, 0]", "scenarios.0.fleet.owners"),
        ("node = 4", "node = 5", "scenarios.0.fleet.processes.0.node"),
        ("until = 11.5", "until = 8.0", "scenarios.0.fleet.processes.0.until"),
        ('"n0", "n1", "n2"', '"n0", "n9"', "scenarios.0.fleet.links.1"),
        ('kind = "cut"', 'kind = "cute"', "scenarios.0.fleet.links.1.kind"),
    ],
)
def test_a_fleet_that_contradicts_its_scenario_is_rejected_and_a_valid_one_only_runs_on_sockets(
    old: str, new: str, path: str, tmp_path: Path
) -> None:
    valid = EXPERIMENTS / "fleet.toml"
    file = tmp_path / "changed.toml"
    file.write_text(valid.read_text().replace(old, new, 1))
    with pytest.raises(validation.InvalidConfigurationError) as rejected:
        read_experiment(file)
    assert [error.partition(":")[0] for error in rejected.value.errors] == [path]
    for arguments in (["emulate", str(valid)], ["experiment", str(valid), "--into", str(tmp_path)]):
        assert CliRunner().invoke(main, arguments).exit_code == 1


def test_a_truncated_experiment_is_rejected_unless_it_is_valid_itself(tmp_path: Path) -> None:
    file = tmp_path / "torn.toml"
    text = SMOKE.read_text()
    for end in range(0, len(text) - 1, 23):
        file.write_text(text[:end])
        try:
            experiment = read_experiment(file)
        except validation.InvalidConfigurationError:
            continue
        assert experiment.scenarios  # truncated between two scenarios or faults, a file may be valid


@pytest.mark.parametrize("file", sorted(EXPERIMENTS.glob("*.toml")), ids=lambda file: str(file.stem))
def test_the_experiments_of_the_repository_are_valid(file: Path) -> None:
    assert read_experiment(file).scenarios


def test_a_run_has_the_same_result_in_every_process_with_any_hash_seed() -> None:
    code = (
        "import json; from notchjunction.experiments.runs import *;"
        "from notchjunction.emulator.scenario import *;"
        "s = Scenario('small', nodes=2, servers=4, length=4.0, faults=(Fault(Kind.CRASH, 1, 2, (0, 1)),));"
        "print(json.dumps(play(Run(s, 'module', 5, 'r'))))"
    )
    texts = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(texts) == 1


def play_or_crash(run: Run) -> dict[str, Any]:
    """Raise an error for seed 3, end the process for seed 4, and play other runs."""
    if run.seed == 3:
        raise RuntimeError("a defect")
    if run.seed == 4:
        os._exit(9)
    return play(run)


def test_an_interrupted_experiment_resumes_and_a_crashed_run_has_a_result(tmp_path: Path) -> None:
    runs = [Run(SMALL, "least out", seed, "r") for seed in range(1, 6)]
    results: list[dict[str, Any]] = []
    assert run_all(runs[:2], tmp_path, 2, results.append) == 0
    truncated = tmp_path / f"{runs[1].key}.json"
    truncated.write_text(
        truncated.read_text()[:50]
    )  # as if the process had been killed while it wrote the file
    (tmp_path / "left.part").write_text("{")
    written_at = (tmp_path / f"{runs[0].key}.json").stat().st_mtime_ns
    results.clear()
    assert run_all(runs, tmp_path, 2, results.append, play_or_crash) == 2
    assert sorted(row["seed"] for row in results) == [2, 3, 4, 5]
    assert (tmp_path / f"{runs[0].key}.json").stat().st_mtime_ns == written_at
    stored = [stored_result(tmp_path, run) for run in runs]
    assert [bool(row and row["died"]) for row in stored] == [False, False, True, True, False]
    assert run_all(runs, tmp_path, 2, results.append, play_or_crash) == 0 and len(results) == 4


def test_the_key_of_a_run_depends_on_scenario_variant_and_revision() -> None:
    keys = {
        Run(SMALL, "module", 1, "a").key,
        Run(SMALL, "module", 1, "b").key,
        Run(Scenario("small", nodes=3, servers=4, length=4.0), "module", 1, "a").key,
        Run(SMALL, "random", 1, "a").key,
    }
    assert len(keys) == 4


def test_the_command_line_plays_an_experiment_and_writes_its_report(tmp_path: Path) -> None:
    runner = CliRunner()
    results, into = tmp_path / "results", tmp_path / "report"
    missing = runner.invoke(main, ["report", str(SMOKE), "--results", str(tmp_path), "--into", str(into)])
    assert missing.exit_code == 1 and "no results" in missing.output
    played = runner.invoke(main, ["experiment", str(SMOKE), "--into", str(results), "--workers", "4"])
    assert played.exit_code == 0 and "20 runs, 0 already done" in played.output, played.output
    again = runner.invoke(main, ["experiment", str(SMOKE), "--into", str(results)])
    assert "20 runs, 20 already done" in again.output
    reported = runner.invoke(main, ["report", str(SMOKE), "--results", str(results), "--into", str(into)])
    assert reported.exit_code == 0, reported.output
    rows = list(csv.DictReader(io.StringIO((into / "runs.csv").read_text())))
    assert len(rows) == 20 and len({(row["scenario"], row["variant"], row["seed"]) for row in rows}) == 20
    in_time = {(row["scenario"], row["variant"], row["seed"]): float(row["in_time"]) for row in rows}
    assert all(
        in_time["four crash", "module", seed] > in_time["four crash", "random", seed] for seed in ("1", "2")
    )
    module = [row for row in rows if row["variant"] == "module"]
    assert all(row["breaches"] == "0" for row in module)
    summary = (into / "summary.md").read_text()
    assert summary.count("| four crash |") == 5 and "revision" not in summary
    assert {chart.name for chart in into.glob("*.png")} == {
        "in-time.png",
        "course-calm.png",
        "course-four-crash.png",
    }
    first = json.loads(next(results.glob("*.json")).read_text())
    (results / "another.json").write_text(json.dumps({**first, "revision": "other"}))
    mixed = runner.invoke(main, ["report", str(SMOKE), "--results", str(results), "--into", str(into)])
    assert mixed.exit_code == 1 and "results of 2 revisions" in mixed.output
    emulated = runner.invoke(main, ["emulate", str(SMOKE), "--scenario", "calm"])
    assert emulated.exit_code == 0 and json.loads(emulated.output)["breaches"] == 0
    assert runner.invoke(main, ["emulate", str(SMOKE), "--scenario", "storm"]).exit_code == 2


def test_paired_differences_are_computed_seed_by_seed() -> None:
    def row(variant: str, seed: int, in_time: float, died: str | None = None) -> dict[str, Any]:
        figures = dict.fromkeys(report.COLUMNS, 0.0) | {"in_time": in_time}
        head = {"scenario": "s", "variant": variant, "seed": seed, "revision": "r", "died": died}
        return head | (figures if died is None else {})

    rows = [row("module", 1, 0.9), row("module", 2, 0.5), row("random", 2, 0.4), row("random", 1, 0.6)]
    text = report.summary("x", [*rows, row("random", 3, 0.0, "it died")])
    assert "| s | random | 3, 1 died | 0.500 (0.400 to 0.600) | -0.200 (-0.300 to -0.100) |" in text


# Load.


@pytest.mark.parametrize("even", [True, False])
def test_a_schedule_follows_its_shapes_and_is_the_same_for_equal_seeds(even: bool) -> None:
    shapes = [Shape(100.0, 10.0, even=even), Shape(0.0, 10.0, 200.0), Shape(400.0, 1.0)]
    requests = list(schedule(shapes, "p", 1.0, 7))
    assert requests == list(schedule(shapes, "p", 1.0, 7)) != list(schedule(shapes, "p", 1.0, 8))
    counts = [
        sum(1 for request in requests if a <= request.at < b)
        for a, b in ((0, 10), (10, 15), (15, 20), (20, 21))
    ]
    for count, expected in zip(counts, (1000, 250, 750, 400), strict=True):
        assert abs(count - expected) < 4 * expected**0.5
    assert [request.at for request in requests] == sorted(request.at for request in requests)


def test_a_target_that_stalls_delays_no_request_and_the_stall_shows_in_the_latency() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        arrived: list[float] = []
        async with Peer() as peer:
            started_at = loop.time()

            async def stall() -> None:
                await asyncio.sleep(0.5)
                peer.reply = lambda _: hold()

            def hold() -> Reply:
                arrived.append(loop.time() - started_at)
                return (b"", "hold")  # responds once `go_on` is set

            stalling = asyncio.create_task(stall())
            requests = [ScheduledRequest(i * 0.02, "p", 10.0) for i in range(150)]  # 3 s
            playing = asyncio.create_task(LoadGenerator(peer.address).play(requests))
            await asyncio.sleep(2.5)
            peer.reply = OK
            peer.go_on.set()
            result = await playing
            await stalling
        assert result.first_request_count == 150 and result.final_results == {"honoured": 150}
        stalled = len(arrived)
        assert 90 <= stalled <= 110  # the requests of 2 s: the schedule was kept during the stall
        assert result.schedule_lag.get_max_value() / 1e6 < 0.5
        # One in 150 waited for the whole stall, and half of the stalled requests for half of it or more.
        assert 1.8 <= result.percentile(99.9) <= 2.4
        percent = 100 * (1 - stalled / 2 / 150)
        assert result.percentile(percent) == pytest.approx(1.0, abs=0.3)

    run(scenario())


def test_the_latency_of_a_clients_retry_counts_from_its_first_request() -> None:
    async def scenario() -> None:
        async with Peer((b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "keep")) as peer:
            received: list[int] = []

            def every_third(_: object) -> Reply:
                received.append(1)
                return (
                    OK
                    if len(received) % 3 == 0
                    else (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "keep")
                )

            peer.reply = every_third
            result = await LoadGenerator(peer.address, max_tries=3).play([ScheduledRequest(0.0, "p", 5.0)])
            assert (result.request_count, result.first_request_count, result.final_results) == (
                3,
                1,
                {"honoured": 1},
            )
            assert result.percentile(50) > 0.1  # with two pauses between the requests
            recorded = [
                ScheduledRequest(0.0, "p", 5.0, first_try="a"),
                ScheduledRequest(0.2, "p", 5.0, first_try="a"),
            ]
            received[:] = [1]
            result = await LoadGenerator(peer.address).play(recorded)
            assert (result.first_request_count, result.request_count) == (1, 2)
            assert result.percentile(50) == pytest.approx(0.2, abs=0.15)  # since the first request

    run(scenario())


def trace_file(tmp_path: Path, *lines: str, end: str = "\n") -> Path:
    file = tmp_path / "trace.csv"
    file.write_text("\n".join([",".join(TRACE_COLUMNS), *lines]) + end)
    return file


def test_an_invalid_trace_is_rejected_with_the_numbers_of_its_lines(tmp_path: Path) -> None:
    valid = trace_file(
        tmp_path, "0.0,a,a,p,1.0,reissuable", "0.5,b,a,p,0.5,reissuable", "0.6,c,c,q,2,at-most-once"
    )
    assert [request.first_try for request in read_trace(valid)] == ["a", "a", "c"]
    for lines, end, error_start in (
        (["0.0,a,a,p,1.0,reissuable", "x,b,b,p,1.0,reissuable"], "\n", "line 3"),
        (["0.0,a,a,p,1.0,perhaps"], "\n", "line 2"),
        (["0.0,a,z,p,1.0,reissuable"], "\n", "line 2"),
        (["0.0,a,a,p,1.0,reissuable", "0.1,a,a,p,1.0,reissuable"], "\n", "line 3"),
        (["0.0,a,a,p,-1,reissuable"], "\n", "line 2"),
        (["0.0,a,a,p,nan,reissuable"], "\n", "line 2"),
        (["0.0,a,a,p"], "\n", "line 2"),
        (["0.5,a,a,p,1,reissuable", "0.1,b,b,p,1,reissuable"], "\n", "the rows are not in order"),
        (["0.0,a,a,p,1.0,reissuable"], "", "the last line has no newline"),
    ):
        with pytest.raises(validation.InvalidConfigurationError) as rejected:
            read_trace(trace_file(tmp_path, *lines, end=end))
        assert rejected.value.errors[0].startswith(error_start)
    (tmp_path / "trace.csv").write_text("when,who\n")
    checked = CliRunner().invoke(main, ["check", str(tmp_path / "trace.csv")])
    assert checked.exit_code == 1 and "line 1" in checked.output


def test_load_to_another_machine_is_rejected() -> None:
    rejected = CliRunner().invoke(main, ["load", "--to", "10.0.0.1:80"])
    assert rejected.exit_code == 2 and "this machine" in rejected.output


def test_the_node_does_not_import_experiments_or_emulator() -> None:
    code = "import sys, notchjunction.__main__, notchjunction.node.node; print(*sys.modules)"
    imported = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not {"simpy", "click", "hdrh", "matplotlib", "numpy", "notchjunction.experiments"} & set(imported)
    assert not any(name.startswith("notchjunction.emulator") for name in imported)


def test_all_runs_of_an_experiment_have_different_keys() -> None:
    runs = list(runs_of(read_experiment(SMOKE), "r"))
    assert len(runs) == 20 == len({run.key for run in runs})
