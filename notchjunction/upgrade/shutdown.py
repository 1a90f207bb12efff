"""Graceful shutdown: what a process does from SIGTERM until it ends. A state machine without I/O or clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from enum import Enum, auto

from notchjunction.state_table import StateTable, Transition

# New clients are accepted for so long after SIGTERM; they go on coming for 0.4 s.
ACCEPT_TIME_S = 0.6
# SIGKILL comes at the earliest so long after SIGTERM, plus the longest request deadline.
KILL_AFTER_S = 0.7
# That request deadline counts up to here.
MAX_REQUEST_DEADLINE_S = 3.0
# Every request is answered so long before SIGKILL; the loop may be late.
KILL_MARGIN_S = 0.3
# Share of the time until then that is kept for responses; before it, clients that stay are served on.
DRAIN_SHARE = 0.5
# From SIGTERM until responses in flight migrate; most have ended by then, and two seconds are left.
MIGRATE_AFTER_S = 1.6


class ShutdownPhase(Enum):
    """How far the shutdown has come."""

    STARTED = auto()
    ACCEPTING = auto()  # clients are still accepted; whoever polls readiness sees that they should not come
    SERVING = auto()  # the listeners are closed; clients that stay are served on
    SUCCESSOR_READY = auto()  # another process of the node accepts from the same queue; clients are drained
    SUCCESSOR_LOST = auto()  # that process has gone: clients that come have only this one
    DRAINING = auto()  # responses close their connections, and idle client connections are closed
    FINISHED = auto()


class ShutdownCondition(Enum):
    """What is observed, in this order."""

    SUCCESSOR_READY = auto()
    NO_SUCCESSOR = auto()
    ACCEPT_TIME_OVER = auto()
    MIGRATION_DUE = auto()
    SERVE_TIME_OVER = auto()
    DEADLINE_PASSED = auto()  # what is not answered by now is cut off by SIGKILL
    NO_CLIENTS = auto()  # no client is connected


class ShutdownAction(Enum):
    """What the node has to do."""

    REPORT_NOT_READY = auto()
    PAUSE_ACCEPTING = auto()  # accepts no clients but keeps their queue open, and drains those it has
    RESUME_ACCEPTING = auto()  # accepts clients again, and offers the handover to the next process again
    CLOSE_LISTENERS = auto()  # accepts the clients that wait, and none after them
    DRAIN_CLIENTS = auto()
    MIGRATE_STREAMS = auto()
    REJECT_UPLOADS = auto()
    FINISH = auto()


_P, _C, _A = ShutdownPhase, ShutdownCondition, ShutdownAction
SHUTDOWN_TRANSITIONS: StateTable[ShutdownPhase, ShutdownCondition, tuple[ShutdownAction, ...]] = StateTable(
    [
        Transition(_P.STARTED, _C.SUCCESSOR_READY, _P.SUCCESSOR_READY, (_A.PAUSE_ACCEPTING,)),
        Transition(_P.STARTED, _C.NO_SUCCESSOR, _P.ACCEPTING, (_A.REPORT_NOT_READY,)),
        Transition(_P.ACCEPTING, _C.SUCCESSOR_READY, _P.SUCCESSOR_READY, (_A.PAUSE_ACCEPTING,)),
        Transition(_P.ACCEPTING, _C.ACCEPT_TIME_OVER, _P.SERVING, (_A.CLOSE_LISTENERS,)),
        Transition(_P.SERVING, _C.SERVE_TIME_OVER, _P.DRAINING, (_A.DRAIN_CLIENTS,)),
        Transition(_P.SERVING, _C.NO_CLIENTS, _P.FINISHED, (_A.FINISH,)),
        Transition(_P.SUCCESSOR_READY, _C.NO_SUCCESSOR, _P.SUCCESSOR_LOST, (_A.RESUME_ACCEPTING,)),
        Transition(_P.SUCCESSOR_READY, _C.MIGRATION_DUE, _P.SUCCESSOR_READY, (_A.MIGRATE_STREAMS,)),
        Transition(_P.SUCCESSOR_READY, _C.DEADLINE_PASSED, _P.SUCCESSOR_READY, (_A.REJECT_UPLOADS,)),
        Transition(_P.SUCCESSOR_READY, _C.NO_CLIENTS, _P.FINISHED, (_A.FINISH,)),
        Transition(_P.SUCCESSOR_LOST, _C.SUCCESSOR_READY, _P.SUCCESSOR_READY, (_A.PAUSE_ACCEPTING,)),
        Transition(
            _P.SUCCESSOR_LOST,
            _C.SERVE_TIME_OVER,
            _P.DRAINING,
            (_A.CLOSE_LISTENERS, _A.REPORT_NOT_READY, _A.DRAIN_CLIENTS),
        ),
        Transition(_P.DRAINING, _C.DEADLINE_PASSED, _P.DRAINING, (_A.REJECT_UPLOADS,)),
        Transition(_P.DRAINING, _C.NO_CLIENTS, _P.FINISHED, (_A.FINISH,)),
    ]
)


class GracefulShutdown:
    """One shutdown, from SIGTERM at `now` (s on the caller's clock) until all clients have gone.

    `max_request_deadline` is the longest deadline (s) of the node's request classes.
    """

    def __init__(self, now: float, max_request_deadline: float) -> None:
        duration = KILL_AFTER_S - KILL_MARGIN_S + min(max_request_deadline, MAX_REQUEST_DEADLINE_S)
        self.phase = ShutdownPhase.STARTED
        self.deadline = now + duration
        self._accept_until = now + ACCEPT_TIME_S
        # Guards against clients that have nowhere to go yet, as where another node is still starting.
        self._serve_until = self.deadline - duration * DRAIN_SHARE
        self._migration_due_at = self._migrate_at = now + MIGRATE_AFTER_S

    @property
    def finished(self) -> bool:
        """Whether the process may end."""
        return self.phase is ShutdownPhase.FINISHED

    def serve_time_left(self, now: float) -> float:
        """Time (s) for which clients are served on as before, from `now`."""
        return max(0.0, round(self._serve_until - now, 3))

    def next_actions(
        self, now: float, has_successor: bool, count_clients: Callable[[], int]
    ) -> Iterator[ShutdownAction]:
        """Yields what to do now, in order; to be called again and again until the shutdown has finished.

        Each action is to be done before the next one is taken. `count_clients` is called where its count is
        judged. Guards against finishing over clients that an action of this very call has accepted.
        """
        for condition in ShutdownCondition:
            transition = SHUTDOWN_TRANSITIONS.find(self.phase, condition)
            if transition is None or not self._holds(condition, now, has_successor, count_clients):
                continue
            self.phase = transition.next_state
            if condition is ShutdownCondition.MIGRATION_DUE:
                self._migrate_at = math.inf  # it is tried once
            elif self.phase is ShutdownPhase.SUCCESSOR_LOST:
                self._migrate_at = self._migration_due_at  # and once more with the next successor
            yield from transition.action

    def _holds(
        self,
        condition: ShutdownCondition,
        now: float,
        has_successor: bool,
        count_clients: Callable[[], int],
    ) -> bool:
        match condition:
            case ShutdownCondition.SUCCESSOR_READY:
                return has_successor
            case ShutdownCondition.NO_SUCCESSOR:
                return not has_successor
            case ShutdownCondition.ACCEPT_TIME_OVER:
                return now >= self._accept_until
            case ShutdownCondition.MIGRATION_DUE:
                return now >= self._migrate_at
            case ShutdownCondition.SERVE_TIME_OVER:
                return now >= self._serve_until
            case ShutdownCondition.DEADLINE_PASSED:
                return now >= self.deadline
            case ShutdownCondition.NO_CLIENTS:
                return not count_clients()
