"""Graceful shutdown: what a process does from SIGTERM to its end. A state machine without I/O or clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from enum import Enum, auto

from notchjunction.state_table import StateTable, Transition

# From SIGTERM until new clients are no longer accepted; they arrive for up to 0.4 s after SIGTERM.
ACCEPT_TIME_S = 0.6
# From SIGTERM until the earliest SIGKILL, without the longest request deadline, which is added to it.
KILL_AFTER_S = 0.7
# Upper bound of the request deadline that is added.
MAX_REQUEST_DEADLINE_S = 3.0
# From the last response until SIGKILL, as the event loop may be late.
KILL_MARGIN_S = 0.3
# Share of a shutdown's duration, at its end, in which clients are drained; until then they are served on.
DRAIN_SHARE = 0.5
# From SIGTERM until responses in flight migrate; most have ended by then, and two seconds are left.
MIGRATE_AFTER_S = 1.6


class ShutdownPhase(Enum):
    """The phases of a shutdown."""

    STARTED = auto()
    ACCEPTING = auto()  # clients are still accepted; readiness checks are answered with "not ready"
    SERVING = auto()  # the listeners are closed; connected clients are served on
    SUCCESSOR_READY = auto()  # another process of the node accepts from the same queue; clients are drained
    SUCCESSOR_LOST = auto()  # that process has ended: only this one can accept new clients
    DRAINING = auto()  # responses close their connections, and idle client connections are closed
    FINISHED = auto()


class ShutdownCondition(Enum):
    """The conditions for a transition, in the order in which they are checked."""

    SUCCESSOR_READY = auto()
    NO_SUCCESSOR = auto()
    ACCEPT_TIME_OVER = auto()
    MIGRATION_DUE = auto()
    SERVE_TIME_OVER = auto()
    DEADLINE_PASSED = auto()  # a request that is not answered by now would be cut off by SIGKILL
    NO_CLIENTS = auto()  # no client is connected


class ShutdownAction(Enum):
    """What the node has to do after a transition."""

    REPORT_NOT_READY = auto()
    PAUSE_ACCEPTING = auto()  # accept no clients but keep their queue open, and drain the connected ones
    RESUME_ACCEPTING = auto()  # accept clients again, and offer the handover to the next process again
    CLOSE_LISTENERS = auto()  # accept the clients that are queued, and none after them
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
    """One shutdown, from SIGTERM at `now` (s) until no client is connected.

    `max_request_deadline` is the longest deadline (s) of the node's request classes.
    """

    def __init__(self, now: float, max_request_deadline: float) -> None:
        duration = KILL_AFTER_S - KILL_MARGIN_S + min(max_request_deadline, MAX_REQUEST_DEADLINE_S)
        self.phase = ShutdownPhase.STARTED
        self.deadline = now + duration
        self._accept_until = now + ACCEPT_TIME_S
        # Guards against clients that are drained while they have no other node to connect to yet, because
        # that one is still starting.
        self._serve_until = self.deadline - duration * DRAIN_SHARE
        self._migration_due_at = self._migrate_at = now + MIGRATE_AFTER_S

    @property
    def finished(self) -> bool:
        """Whether the process may end."""
        return self.phase is ShutdownPhase.FINISHED

    def serve_time_left(self, now: float) -> float:
        """Returns the time (s) from `now` for which clients are served on as before."""
        return max(0.0, round(self._serve_until - now, 3))

    def next_actions(
        self, now: float, has_successor: bool, count_clients: Callable[[], int]
    ) -> Iterator[ShutdownAction]:
        """Yields the actions due now, in order; to be called repeatedly until the shutdown has finished.

        The caller does each action before it takes the next one. `count_clients` is called only when its
        count is checked. Guards against finishing despite clients that an action of the same call has
        accepted.
        """
        for condition in ShutdownCondition:
            transition = SHUTDOWN_TRANSITIONS.find(self.phase, condition)
            if transition is None or not self._is_met(condition, now, has_successor, count_clients):
                continue
            self.phase = transition.next_state
            if condition is ShutdownCondition.MIGRATION_DUE:
                self._migrate_at = math.inf  # migration starts once
            elif self.phase is ShutdownPhase.SUCCESSOR_LOST:
                self._migrate_at = self._migration_due_at  # and again with the next successor
            yield from transition.action

    def _is_met(
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
