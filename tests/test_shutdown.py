"""What a process does from SIGTERM on: a table, played on a plain clock."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from notchjunction.upgrade.shutdown import Effect, GracefulShutdown, Phase

Look = tuple[float, bool, int]  # s since SIGTERM, whether another process follows, callers
Do = Effect


@pytest.fixture(autouse=True)
def _half_for_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("notchjunction.upgrade.shutdown.ANSWER_SHARE", 0.5)  # of 2.4 s


def story(*looks: Look) -> list[Effect]:
    ending = GracefulShutdown(100.0, 2.0)
    return [effect for look in looks for effect in looked(ending, *look)]


def looked(
    ending: GracefulShutdown, at: float, followed: bool, callers: int, waiting: int = 0
) -> Iterator[Effect]:
    """A look at a node with so many callers, and so many in the queue, who are let in as it is closed."""
    connected = [None] * callers
    for effect in ending.look(100 + at, followed, lambda: len(connected)):
        if effect is Do.CLOSE:
            connected.extend([None] * waiting)
        yield effect


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
    ending = GracefulShutdown(100.0, 2.0)
    assert [*looked(ending, 0.0, True, 1), *looked(ending, 0.1, False, 0)] == [Do.YIELD, Do.TAKE_BACK]
    assert not list(looked(ending, 1.1, False, 0)) and ending.phase is Phase.STANDING_IN
    assert ending.left(101.1) == pytest.approx(0.1)
    assert list(looked(ending, 1.3, False, 0)) == [Do.CLOSE, Do.LEAD, Do.PART, Do.END] and ending.over


@pytest.mark.parametrize(
    ("first", "at", "effects"),
    [
        ([(0, False, 0)], 0.06, [Do.CLOSE]),
        ([(0, True, 1), (0.1, False, 0)], 1.3, [Do.CLOSE, Do.LEAD, Do.PART]),
    ],
)
def test_callers_let_in_as_the_queue_closes_are_not_ended_over(
    first: list[Look], at: float, effects: list[Effect]
) -> None:
    ending = GracefulShutdown(100.0, 2.0)
    for look in first:
        list(looked(ending, *look))
    assert list(looked(ending, at, False, 0, waiting=1)) == effects and not ending.over
    assert list(looked(ending, at + 0.01, False, 0)) == [Do.END]
