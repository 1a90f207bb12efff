"""Tests of the sameness command: equal trees have no difference, and each injected difference is found."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from benchmarks import sameness
from benchmarks.sameness import BASELINE, DIFFERENT, RECORDER, SAME, Comparison, Side
from benchmarks.sameness_rows import (
    Code,
    Difference,
    Mutation,
    Recording,
    Row,
    first_difference,
    flattened,
    swapped,
)

ROOT = Path(__file__).resolve().parent.parent
SEEDS: dict[str, tuple[int, ...]] = {"script": (3,)}


def numbers(line: str | None) -> list[float]:
    assert line is not None
    return [float(word) for word in line.split()]


def compare_with(mutation: Mutation | None) -> Comparison:
    """Compare this tree with itself, with a mutation on one side."""
    (comparison,) = sameness.compare(Side("base", ROOT), Side("other", ROOT, mutation), SEEDS)
    return comparison


def first_different_rows(mutation: Mutation) -> tuple[list[float], list[float]]:
    difference = compare_with(mutation).difference
    assert difference is not None
    return numbers(difference.base), numbers(difference.other)


def test_equal_trees_have_no_difference_in_any_play() -> None:
    seeds: dict[str, tuple[int, ...]] = {"script": (1,), "fleet": (1,), "watch": (1,)}
    results = sameness.compare(Side("base", ROOT), Side("other", ROOT), seeds)
    assert [result.play for result in results] == list(seeds)
    assert all(result.difference is None and result.rows > 1000 for result in results)
    assert sameness.report(results).startswith(
        f"same: {sum(result.rows for result in results)} rows, digest "
    )


def test_a_changed_random_draw_is_found() -> None:
    base, other = first_different_rows(Mutation.DRAW)
    assert base[0] == other[0] and base[1:] != other[1:]


def test_a_changed_timer_is_found_at_its_row() -> None:
    base, other = first_different_rows(Mutation.TIMER)
    assert base[:4] == other[:4] and base[2] == Code.SET_TIMER
    changed = [(old, new) for old, new in zip(base, other, strict=True) if old != new]
    assert len(changed) == 1 and changed[0][1] - changed[0][0] == pytest.approx(0.001)


def test_a_swapped_order_of_two_commands_is_found() -> None:
    base, other = first_different_rows(Mutation.ORDER)
    assert base[0] == other[0] and base[1:] != other[1:]


def test_the_command_compares_a_checkout_of_the_base_revision_with_the_other_tree(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    added: list[Path] = []
    removed: list[Path] = []

    def run(command: list[str], check: bool) -> None:
        """Replace git: check the command and record the path of the worktree."""
        assert check and command[:2] == ["git", "-C"] and command[3] == "worktree"
        if command[4] == "add":
            assert command[5:7] == ["--quiet", "--detach"] and command[8] == "1a2b3c"
            added.append(Path(command[7]))
        else:
            assert command[4:] == ["remove", "--force", str(added[-1])]
            removed.append(added[-1])

    compared: list[tuple[Side, Side]] = []

    def compare(base: Side, other: Side, seeds: dict[str, tuple[int, ...]]) -> list[Comparison]:
        compared.append((base, other))
        difference = Difference("5 0.0 1 2", None) if other.mutation else None
        return [Comparison(play, 7, "d", difference) for play in seeds]

    monkeypatch.setattr(subprocess, "run", run)
    monkeypatch.setattr(sameness, "compare", compare)
    arguments = ["--base", "1a2b3c", "--other", str(tmp_path), "--seeds", "4", "--plays", "watch"]
    assert sameness.main(arguments) == SAME
    assert capsys.readouterr().out.startswith("same: 7 rows")
    assert sameness.main([*arguments, "--mutate", "timer"]) == DIFFERENT
    assert "base:  5 0.0 1 2\n  other: (ended)" in capsys.readouterr().out
    assert added == removed == [base.root for base, _ in compared] and compared[0][1] == Side(
        "other", tmp_path
    )


def test_a_tree_without_a_recorder_is_played_by_the_baseline(tmp_path: Path) -> None:
    assert sameness.recorder_of(tmp_path) == BASELINE and BASELINE.exists()
    assert sameness.recorder_of(ROOT) == ROOT / RECORDER


def test_a_failed_recorder_raises_an_error_with_its_output(tmp_path: Path) -> None:
    own = tmp_path / RECORDER
    own.parent.mkdir()
    own.write_text("raise SystemExit('no such name')\n")
    with pytest.raises(sameness.PlayError, match="no such name"):
        sameness.compare(Side("base", tmp_path), Side("other", tmp_path), {"watch": (1,)})


def test_the_first_difference_is_a_changed_row_or_the_end_of_one_side() -> None:
    assert first_difference(["a", "b"], ["a", "b"]) is None
    assert first_difference(["a", "b", "c"], ["a", "x", "y"]) == Difference("b", "x")
    assert first_difference(["a", "b"], ["a"]) == Difference("b", None)
    assert first_difference([], ["a"]) == Difference(None, "a")


def test_rows_contain_only_numbers_with_all_digits() -> None:
    recording = Recording()
    recording.add(0.1 + 0.2, Code.ATTEMPT, 3, 7, 1 / 3)
    assert list(recording.lines()) == ["0 0.30000000000000004 1 3 7 0.3333333333333333"]
    assert list(flattened([1, (2.5, None), {"a": True}]))[:3] == [1, 2.5, -1.0]


def test_a_swap_skips_equal_neighbours() -> None:
    rows = [Row(number, 0.0, code, 1, ()) for number, code in enumerate((1, 1, 1, 1, 2, 2))]
    assert [row.code for row in swapped(rows)] == [1, 1, 1, 2, 1, 2]
    assert [row.sequence for row in swapped(rows)] == list(range(6))
