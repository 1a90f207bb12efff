"""The laboratory: files refused whole, runs that resume and die, tables, and load that keeps its schedule."""

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
from notchjunction.experiments.load import TRACE, Load, Send, Shape, read_trace, schedule
from notchjunction.experiments.runs import Run, kept, play, run_all, runs_of
from tests.helpers import OK, Peer, Reply
from tests.test_net import run

HERE = Path(__file__).parents[1] / "experiments"
SMOKE = HERE / "smoke.toml"
SMALL = Scenario("small", nodes=2, servers=4, length=4.0)


def changed(tmp_path: Path, old: str, new: str) -> Path:
    file = tmp_path / "it.toml"
    text = SMOKE.read_text()
    assert old in text
    file.write_text(text.replace(old, new, 1))
    return file


@pytest.mark.parametrize(
    ("old", "new", "place"),
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
def test_an_experiment_that_is_wrong_is_refused_with_the_place(
    old: str, new: str, place: str, tmp_path: Path
) -> None:
    file = changed(tmp_path, old, new)
    with pytest.raises(validation.InvalidConfigurationError) as refused:
        read_experiment(file)
    assert [error.partition(":")[0] for error in refused.value.errors] == [place]
    asked = CliRunner().invoke(main, ["check", str(file)])
    assert asked.exit_code == 1 and f"{file}: {place}" in asked.output


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("owners = [2, 2, 2, 2, 2]", "owners = [2, 2]", "scenarios.0.fleet.owners"),
        ("owners = [2, 2, 2, 2, 2]", "owners = [0, 0, 0, 0, 0]", "scenarios.0.fleet.owners"),
        ("node = 4", "node = 5", "scenarios.0.fleet.processes.0.node"),
        ("until = 11.5", "until = 8.0", "scenarios.0.fleet.processes.0.until"),
        ('"n0", "n1", "n2"', '"n0", "n9"', "scenarios.0.fleet.links.1"),
        ('kind = "cut"', 'kind = "cute"', "scenarios.0.fleet.links.1.kind"),
    ],
)
def test_a_fleet_that_contradicts_its_scenario_is_refused_and_a_sound_one_is_for_sockets(
    old: str, new: str, place: str, tmp_path: Path
) -> None:
    kept = HERE / "fleet.toml"
    file = tmp_path / "changed.toml"
    file.write_text(kept.read_text().replace(old, new, 1))
    with pytest.raises(validation.InvalidConfigurationError) as refused:
        read_experiment(file)
    assert [error.partition(":")[0] for error in refused.value.errors] == [place]
    for asked in (["emulate", str(kept)], ["experiment", str(kept), "--into", str(tmp_path)]):
        assert CliRunner().invoke(main, asked).exit_code == 1


def test_a_torn_experiment_is_refused_and_not_half_run(tmp_path: Path) -> None:
    file = tmp_path / "torn.toml"
    text = SMOKE.read_text()
    for end in range(0, len(text) - 1, 23):
        file.write_text(text[:end])
        try:
            found = read_experiment(file)
        except validation.InvalidConfigurationError:
            continue
        assert found.scenarios  # cut between two scenarios or faults, a file may be whole


@pytest.mark.parametrize("file", sorted(HERE.glob("*.toml")), ids=lambda file: str(file.stem))
def test_the_experiments_that_are_kept_are_sound(file: Path) -> None:
    assert read_experiment(file).scenarios


def test_a_run_is_the_same_in_every_process_whatever_its_hash_seed() -> None:
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


def interrupted(run: Run) -> dict[str, Any]:
    if run.seed == 3:
        raise RuntimeError("a defect")
    if run.seed == 4:
        os._exit(9)
    return play(run)


def test_runs_resume_where_they_were_cut_off_and_one_that_dies_is_a_result(tmp_path: Path) -> None:
    runs = [Run(SMALL, "least out", seed, "r") for seed in range(1, 6)]
    said: list[dict[str, Any]] = []
    assert run_all(runs[:2], tmp_path, 2, said.append) == 0
    torn = tmp_path / f"{runs[1].key}.json"
    torn.write_text(torn.read_text()[:50])  # as a stop in the midst of writing would leave it
    (tmp_path / "left.part").write_text("{")
    before = (tmp_path / f"{runs[0].key}.json").stat().st_mtime_ns
    said.clear()
    assert run_all(runs, tmp_path, 2, said.append, interrupted) == 2
    assert sorted(row["seed"] for row in said) == [2, 3, 4, 5]
    assert (tmp_path / f"{runs[0].key}.json").stat().st_mtime_ns == before
    results = [kept(tmp_path, each) for each in runs]
    assert [bool(row and row["died"]) for row in results] == [False, False, True, True, False]
    assert run_all(runs, tmp_path, 2, said.append, interrupted) == 0 and len(said) == 4


def test_another_scenario_or_revision_is_another_run() -> None:
    keys = {
        Run(SMALL, "module", 1, "a").key,
        Run(SMALL, "module", 1, "b").key,
        Run(Scenario("small", nodes=3, servers=4, length=4.0), "module", 1, "a").key,
        Run(SMALL, "random", 1, "a").key,
    }
    assert len(keys) == 4


def test_the_command_line_plays_reports_and_compares(tmp_path: Path) -> None:
    command = CliRunner()
    results, into = tmp_path / "results", tmp_path / "report"
    missing = command.invoke(main, ["report", str(SMOKE), "--results", str(tmp_path), "--into", str(into)])
    assert missing.exit_code == 1 and "no results" in missing.output
    played = command.invoke(main, ["experiment", str(SMOKE), "--into", str(results), "--workers", "4"])
    assert played.exit_code == 0 and "20 runs, 0 there already" in played.output, played.output
    again = command.invoke(main, ["experiment", str(SMOKE), "--into", str(results)])
    assert "20 runs, 20 there already" in again.output
    made = command.invoke(main, ["report", str(SMOKE), "--results", str(results), "--into", str(into)])
    assert made.exit_code == 0, made.output
    rows = list(csv.DictReader(io.StringIO((into / "runs.csv").read_text())))
    assert len(rows) == 20 and len({(row["scenario"], row["variant"], row["seed"]) for row in rows}) == 20
    by = {(row["scenario"], row["variant"], row["seed"]): float(row["in_time"]) for row in rows}
    assert all(by["four crash", "module", seed] > by["four crash", "random", seed] for seed in ("1", "2"))
    module = [row for row in rows if row["variant"] == "module"]
    assert all(row["breaches"] == "0" for row in module)
    summary = (into / "summary.md").read_text()
    assert summary.count("| four crash |") == 5 and "revision" not in summary
    assert {each.name for each in into.glob("*.png")} == {
        "in-time.png",
        "course-calm.png",
        "course-four-crash.png",
    }
    first = json.loads(next(results.glob("*.json")).read_text())
    (results / "another.json").write_text(json.dumps({**first, "revision": "other"}))
    mixed = command.invoke(main, ["report", str(SMOKE), "--results", str(results), "--into", str(into)])
    assert mixed.exit_code == 1 and "results of 2 revisions" in mixed.output
    one = command.invoke(main, ["emulate", str(SMOKE), "--scenario", "calm"])
    assert one.exit_code == 0 and json.loads(one.output)["breaches"] == 0
    assert command.invoke(main, ["emulate", str(SMOKE), "--scenario", "storm"]).exit_code == 2


def test_paired_differences_are_taken_seed_by_seed() -> None:
    def row(variant: str, seed: int, in_time: float, died: str | None = None) -> dict[str, Any]:
        figures = dict.fromkeys(report.COLUMNS, 0.0) | {"in_time": in_time}
        head = {"scenario": "s", "variant": variant, "seed": seed, "revision": "r", "died": died}
        return head | (figures if died is None else {})

    rows = [row("module", 1, 0.9), row("module", 2, 0.5), row("random", 2, 0.4), row("random", 1, 0.6)]
    text = report.summary("x", [*rows, row("random", 3, 0.0, "it died")])
    assert "| s | random | 3, 1 died | 0.500 (0.400 to 0.600) | -0.200 (-0.300 to -0.100) |" in text


# Load.


@pytest.mark.parametrize("even", [True, False])
def test_a_schedule_has_its_shape_and_is_the_same_for_a_seed(even: bool) -> None:
    shapes = [Shape(100.0, 10.0, even=even), Shape(0.0, 10.0, 200.0), Shape(400.0, 1.0)]
    sends = list(schedule(shapes, "p", 1.0, 7))
    assert sends == list(schedule(shapes, "p", 1.0, 7)) != list(schedule(shapes, "p", 1.0, 8))
    counts = [
        sum(1 for send in sends if a <= send.at < b) for a, b in ((0, 10), (10, 15), (15, 20), (20, 21))
    ]
    for count, wanted in zip(counts, (1000, 250, 750, 400), strict=True):
        assert abs(count - wanted) < 4 * wanted**0.5
    assert [send.at for send in sends] == sorted(send.at for send in sends)


def test_a_target_that_stalls_delays_no_request_and_its_tail_is_the_stall() -> None:
    async def story() -> None:
        loop = asyncio.get_running_loop()
        arrived: list[float] = []
        async with Peer() as peer:
            began = loop.time()

            async def stall() -> None:
                await asyncio.sleep(0.5)
                peer.reply = lambda _: hold()

            def hold() -> Reply:
                arrived.append(loop.time() - began)
                return (b"", "hold")  # answers once it may go on

            stalling = asyncio.create_task(stall())
            sends = [Send(i * 0.02, "p", 10.0) for i in range(150)]  # 3 s
            playing = asyncio.create_task(Load(peer.address).play(sends))
            await asyncio.sleep(2.5)
            peer.reply = OK
            peer.go_on.set()
            outcome = await playing
            await stalling
        assert outcome.first_tries == 150 and outcome.finals == {"honoured": 150}
        held = len(arrived)
        assert 90 <= held <= 110  # those of two seconds: the schedule went on
        assert outcome.lateness.get_max_value() / 1e6 < 0.5
        # One in 150 waited for all of the stall, and half of the held ones for half of it or more.
        assert 1.8 <= outcome.percentile(99.9) <= 2.4
        share = 100 * (1 - held / 2 / 150)
        assert outcome.percentile(share) == pytest.approx(1.0, abs=0.3)

    run(story())


def test_a_clients_retries_belong_to_its_first_try() -> None:
    async def story() -> None:
        async with Peer((b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "keep")) as peer:
            seen: list[int] = []

            def every_third(_: object) -> Reply:
                seen.append(1)
                return OK if len(seen) % 3 == 0 else (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "keep")

            peer.reply = every_third
            outcome = await Load(peer.address, tries=3).play([Send(0.0, "p", 5.0)])
            assert (outcome.tries, outcome.first_tries, outcome.finals) == (3, 1, {"honoured": 1})
            assert outcome.percentile(50) > 0.1  # two pauses lie between
            recorded = [Send(0.0, "p", 5.0, first_try="a"), Send(0.2, "p", 5.0, first_try="a")]
            seen[:] = [1]
            outcome = await Load(peer.address).play(recorded)
            assert (outcome.first_tries, outcome.tries) == (1, 2)
            assert outcome.percentile(50) == pytest.approx(0.2, abs=0.15)  # from the first try's moment

    run(story())


def trace(tmp_path: Path, *lines: str, end: str = "\n") -> Path:
    file = tmp_path / "trace.csv"
    file.write_text("\n".join([",".join(TRACE), *lines]) + end)
    return file


def test_a_trace_is_read_whole_or_refused_with_its_lines(tmp_path: Path) -> None:
    good = trace(tmp_path, "0.0,a,a,p,1.0,reissuable", "0.5,b,a,p,0.5,reissuable", "0.6,c,c,q,2,at-most-once")
    assert [send.first_try for send in read_trace(good)] == ["a", "a", "c"]
    for lines, end, place in (
        (["0.0,a,a,p,1.0,reissuable", "x,b,b,p,1.0,reissuable"], "\n", "line 3"),
        (["0.0,a,a,p,1.0,perhaps"], "\n", "line 2"),
        (["0.0,a,z,p,1.0,reissuable"], "\n", "line 2"),
        (["0.0,a,a,p,1.0,reissuable", "0.1,a,a,p,1.0,reissuable"], "\n", "line 3"),
        (["0.0,a,a,p,-1,reissuable"], "\n", "line 2"),
        (["0.0,a,a,p,nan,reissuable"], "\n", "line 2"),
        (["0.0,a,a,p"], "\n", "line 2"),
        (["0.5,a,a,p,1,reissuable", "0.1,b,b,p,1,reissuable"], "\n", "the rows are not in order"),
        (["0.0,a,a,p,1.0,reissuable"], "", "the last line has no end"),
    ):
        with pytest.raises(validation.InvalidConfigurationError) as refused:
            read_trace(trace(tmp_path, *lines, end=end))
        assert refused.value.errors[0].startswith(place)
    (tmp_path / "trace.csv").write_text("when,who\n")
    asked = CliRunner().invoke(main, ["check", str(tmp_path / "trace.csv")])
    assert asked.exit_code == 1 and "line 1" in asked.output


def test_load_goes_to_this_machine_alone() -> None:
    asked = CliRunner().invoke(main, ["load", "--to", "10.0.0.1:80"])
    assert asked.exit_code == 2 and "this machine" in asked.output


def test_the_node_never_imports_the_laboratory() -> None:
    code = "import sys, notchjunction.__main__, notchjunction.node.node; print(*sys.modules)"
    said = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not {"simpy", "click", "hdrh", "matplotlib", "numpy", "notchjunction.experiments"} & set(said)
    assert not any(name.startswith("notchjunction.emulator") for name in said)


def test_runs_of_an_experiment_are_each_made_once() -> None:
    runs = list(runs_of(read_experiment(SMOKE), "r"))
    assert len(runs) == 20 == len({each.key for each in runs})
