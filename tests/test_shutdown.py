"""The state machine of a graceful shutdown, from SIGTERM on, with times given by the tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from notchjunction.upgrade.shutdown import GracefulShutdown, ShutdownPhase
from notchjunction.upgrade.shutdown import ShutdownAction as Action

Step = tuple[float, bool, int]  # s since SIGTERM, whether a successor is ready, clients


@pytest.fixture(autouse=True)
def _half_for_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("notchjunction.upgrade.shutdown.DRAIN_SHARE", 0.5)  # of 2.4 s


def actions_of(*steps: Step) -> list[Action]:
    shutdown = GracefulShutdown(100.0, 2.0)
    return [action for step in steps for action in run_step(shutdown, *step)]


def run_step(
    shutdown: GracefulShutdown, at: float, has_successor: bool, clients: int, waiting: int = 0
) -> Iterator[Action]:
    """Yields the actions of one step, `at` seconds after SIGTERM.

    `clients` are connected; another `waiting` in the accept queue are accepted as the listeners close.
    """
    connected = [None] * clients
    for action in shutdown.next_actions(100 + at, has_successor, lambda: len(connected)):
        if action is Action.CLOSE_LISTENERS:
            connected.extend([None] * waiting)
        yield action


@pytest.mark.parametrize(
    ("steps", "actions"),
    [
        # The process accepts clients for some time, even if none is connected.
        ([(0, False, 3), (0.04, False, 0)], [Action.REPORT_NOT_READY]),
        ([(0, False, 3), (0.06, False, 0)], [Action.REPORT_NOT_READY, Action.CLOSE_LISTENERS, Action.FINISH]),
        (
            [(0, False, 3), (0.06, False, 3), (1.3, False, 3)],
            [Action.REPORT_NOT_READY, Action.CLOSE_LISTENERS, Action.DRAIN_CLIENTS],
        ),
        ([(0, True, 0)], [Action.PAUSE_ACCEPTING, Action.FINISH]),
        ([(0, True, 3), (0.2, True, 3), (0.3, True, 3)], [Action.PAUSE_ACCEPTING, Action.MIGRATE_STREAMS]),
        (
            [(0, True, 3), (0.05, False, 3), (0.06, True, 0)],
            [Action.PAUSE_ACCEPTING, Action.RESUME_ACCEPTING, Action.PAUSE_ACCEPTING, Action.FINISH],
        ),
        ([(0, False, 3), (0.03, True, 3)], [Action.REPORT_NOT_READY, Action.PAUSE_ACCEPTING]),
        (
            [(0, True, 3), (0.2, True, 3), (0.3, False, 3), (0.4, True, 3), (0.5, True, 3), (0.6, True, 3)],
            [
                Action.PAUSE_ACCEPTING,
                Action.MIGRATE_STREAMS,
                Action.RESUME_ACCEPTING,
                Action.PAUSE_ACCEPTING,
                Action.MIGRATE_STREAMS,
            ],
        ),
        (
            [(0, True, 1), (2.5, True, 1), (2.6, True, 1)],
            [Action.PAUSE_ACCEPTING, Action.MIGRATE_STREAMS, Action.REJECT_UPLOADS, Action.REJECT_UPLOADS],
        ),
    ],
)
def test_actions_of_a_shutdown(steps: list[Step], actions: list[Action]) -> None:
    assert actions_of(*steps) == actions


def test_process_that_lost_its_successor_serves_until_just_enough_time_remains_to_drain() -> None:
    shutdown = GracefulShutdown(100.0, 2.0)
    assert [*run_step(shutdown, 0.0, True, 1), *run_step(shutdown, 0.1, False, 0)] == [
        Action.PAUSE_ACCEPTING,
        Action.RESUME_ACCEPTING,
    ]
    assert not list(run_step(shutdown, 1.1, False, 0)) and shutdown.phase is ShutdownPhase.SUCCESSOR_LOST
    assert shutdown.serve_time_left(101.1) == pytest.approx(0.1)
    assert (
        list(run_step(shutdown, 1.3, False, 0))
        == [Action.CLOSE_LISTENERS, Action.REPORT_NOT_READY, Action.DRAIN_CLIENTS, Action.FINISH]
        and shutdown.finished
    )


@pytest.mark.parametrize(
    ("steps_before", "at", "actions"),
    [
        ([(0, False, 0)], 0.06, [Action.CLOSE_LISTENERS]),
        (
            [(0, True, 1), (0.1, False, 0)],
            1.3,
            [Action.CLOSE_LISTENERS, Action.REPORT_NOT_READY, Action.DRAIN_CLIENTS],
        ),
    ],
)
def test_clients_accepted_as_the_listeners_close_delay_the_end_of_the_shutdown(
    steps_before: list[Step], at: float, actions: list[Action]
) -> None:
    shutdown = GracefulShutdown(100.0, 2.0)
    for step in steps_before:
        list(run_step(shutdown, *step))
    assert list(run_step(shutdown, at, False, 0, waiting=1)) == actions and not shutdown.finished
    assert list(run_step(shutdown, at + 0.01, False, 0)) == [Action.FINISH]
