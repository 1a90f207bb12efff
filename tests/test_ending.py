"""What a process does from SIGTERM on: a table, played on a plain clock."""

from __future__ import annotations

import pytest

from notchjunction.net.ending import Effect, Ending, Phase

Look = tuple[float, bool, int]  # s since SIGTERM, whether another process follows, callers
Do = Effect


@pytest.fixture(autouse=True)
def _half_for_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("notchjunction.net.ending.ANSWER_SHARE", 0.5)  # of 2.4 s


def story(*looks: Look) -> list[Effect]:
    ending = Ending(100.0, 2.0)
    return [effect for at, followed, callers in looks for effect in ending.look(100 + at, followed, callers)]


@pytest.mark.parametrize(
    ("looks", "effects"),
    [
        ([(0, False, 3), (0.04, False, 0)], [Do.LEAD]),  # callers come for a while, even if none is there
        ([(0, False, 3), (0.06, False, 0)], [Do.LEAD, Do.CLOSE, Do.END]),
        ([(0, False, 3), (0.06, False, 3), (1.3, False, 3)], [Do.LEAD, Do.CLOSE, Do.PART]),
        ([(0, True, 0)], [Do.YIELD, Do.END]),
        ([(0, True, 3), (0.2, True, 3), (0.3, True, 3)], [Do.YIELD, Do.MOVE]),
        ([(0, True, 3), (0.05, False, 3), (0.06, True, 0)], [Do.YIELD, Do.TAKE_BACK, Do.YIELD, Do.END]),
        ([(0, False, 3), (0.03, True, 3)], [Do.LEAD, Do.YIELD]),
        (
            [(0, True, 3), (0.2, True, 3), (0.3, False, 3), (0.4, True, 3), (0.5, True, 3), (0.6, True, 3)],
            [Do.YIELD, Do.MOVE, Do.TAKE_BACK, Do.YIELD, Do.MOVE],
        ),
        ([(0, True, 1), (2.5, True, 1), (2.6, True, 1)], [Do.YIELD, Do.MOVE, Do.TURN_BACK, Do.TURN_BACK]),
    ],
)
def test_what_is_done_as_a_process_ends(looks: list[Look], effects: list[Effect]) -> None:
    assert story(*looks) == effects


def test_who_stands_in_waits_for_callers_until_too_little_time_is_left() -> None:
    ending = Ending(100.0, 2.0)
    assert [*ending.look(100.0, True, 1), *ending.look(100.1, False, 0)] == [Do.YIELD, Do.TAKE_BACK]
    assert not list(ending.look(101.1, False, 0)) and ending.phase is Phase.STANDING_IN
    assert ending.left(101.1) == pytest.approx(0.1)
    assert list(ending.look(101.3, False, 0)) == [Do.CLOSE, Do.LEAD, Do.PART, Do.END] and ending.over
