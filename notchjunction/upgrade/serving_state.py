"""Whether a node serves its clients, drains them for an operator, or shuts down: a state machine, no I/O."""

from __future__ import annotations

from enum import Enum, auto

from notchjunction.state_table import StateTable, Transition


class ServingState(Enum):
    """What the node is to its clients."""

    SERVING = auto()
    NOT_READY = auto()  # reports that it is not ready; clients are still accepted and kept
    DRAINING = auto()  # responses close their connections, and idle client connections are closed
    SHUTTING_DOWN = auto()  # the process was asked to end; no other state follows


class ServingEvent(Enum):
    """What changes the serving state."""

    TAKEN_OUT_OF_SERVICE = auto()  # by an operator
    PUT_IN_SERVICE = auto()  # by an operator
    NOTICE_TIME_OVER = auto()  # whoever polls readiness has had the time to see that it changed
    SHUTDOWN_REQUESTED = auto()


class ServingAction(Enum):
    """What the node has to do about an event."""

    NONE = auto()
    REPORT_NOT_READY = auto()
    DRAIN_CLIENTS = auto()
    RESUME = auto()
    SHUT_DOWN = auto()


_S, _E, _A = ServingState, ServingEvent, ServingAction
SERVING_TRANSITIONS = StateTable(
    [
        Transition(_S.SERVING, _E.TAKEN_OUT_OF_SERVICE, _S.NOT_READY, _A.REPORT_NOT_READY),
        Transition(_S.SERVING, _E.PUT_IN_SERVICE, _S.SERVING, _A.NONE),
        Transition(_S.SERVING, _E.SHUTDOWN_REQUESTED, _S.SHUTTING_DOWN, _A.SHUT_DOWN),
        Transition(_S.NOT_READY, _E.TAKEN_OUT_OF_SERVICE, _S.NOT_READY, _A.NONE),
        Transition(_S.NOT_READY, _E.PUT_IN_SERVICE, _S.SERVING, _A.RESUME),
        Transition(_S.NOT_READY, _E.NOTICE_TIME_OVER, _S.DRAINING, _A.DRAIN_CLIENTS),
        Transition(_S.NOT_READY, _E.SHUTDOWN_REQUESTED, _S.SHUTTING_DOWN, _A.SHUT_DOWN),
        Transition(_S.DRAINING, _E.TAKEN_OUT_OF_SERVICE, _S.DRAINING, _A.NONE),
        Transition(_S.DRAINING, _E.PUT_IN_SERVICE, _S.SERVING, _A.RESUME),
        Transition(_S.DRAINING, _E.SHUTDOWN_REQUESTED, _S.SHUTTING_DOWN, _A.SHUT_DOWN),
        Transition(_S.SHUTTING_DOWN, _E.TAKEN_OUT_OF_SERVICE, _S.SHUTTING_DOWN, _A.NONE),
        Transition(_S.SHUTTING_DOWN, _E.SHUTDOWN_REQUESTED, _S.SHUTTING_DOWN, _A.NONE),
    ]
)


class ServingStateMachine:
    """The node's serving state, which starts as SERVING."""

    def __init__(self) -> None:
        self.state = ServingState.SERVING

    def handle(self, event: ServingEvent) -> ServingAction | None:
        """Goes to the next state and returns what to do; None where the event has no place in this state."""
        transition = SERVING_TRANSITIONS.find(self.state, event)
        if transition is None:
            return None
        self.state = transition.next_state
        return transition.action
