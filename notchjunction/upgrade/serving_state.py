"""Whether a node serves clients, drains them for an operator, or shuts down: a state machine without I/O."""

from __future__ import annotations

from enum import Enum, auto

from notchjunction.state_table import StateTable, Transition


class ServingState(Enum):
    """How the node treats its clients."""

    SERVING = auto()
    NOT_READY = auto()  # reports that it is not ready; clients are still accepted and kept
    DRAINING = auto()  # responses close their connections, and idle client connections are closed
    SHUTTING_DOWN = auto()  # a shutdown was requested; no other state follows


class ServingEvent(Enum):
    """An event that may change the serving state."""

    TAKEN_OUT_OF_SERVICE = auto()  # by an operator
    PUT_IN_SERVICE = auto()  # by an operator
    NOTICE_TIME_OVER = auto()  # pollers of readiness have had the time to see that the node is not ready
    SHUTDOWN_REQUESTED = auto()


class ServingAction(Enum):
    """What the node has to do after an event."""

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
    """The state machine of a node's serving state; it starts in SERVING."""

    def __init__(self) -> None:
        self.state = ServingState.SERVING

    def handle(self, event: ServingEvent) -> ServingAction | None:
        """Enters the next state and returns what to do; None if the event does not apply in this state."""
        transition = SERVING_TRANSITIONS.find(self.state, event)
        if transition is None:
            return None
        self.state = transition.next_state
        return transition.action
