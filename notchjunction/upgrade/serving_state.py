"""What the node is to its callers: in service, led away by an operator, or ending. A table and its reader."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class State(Enum):
    SERVING = auto()
    LEADING = auto()  # not ready any more; callers are still let in and kept
    PARTING = auto()  # answers close their connections, and idle callers are closed
    ENDING = auto()  # asked to end; nothing leads back


class Input(Enum):
    OUT = auto()  # an operator takes the node out of service
    IN = auto()  # an operator brings it back
    DUE = auto()  # those who hear of readiness have had their time
    END = auto()


class Effect(Enum):
    NOTHING = auto()
    LEAD = auto()
    PART = auto()
    SERVE = auto()
    CEASE = auto()


class Row(NamedTuple):
    state: State
    input: Input
    then: State
    effect: Effect


S, In, Do = State, Input, Effect
TABLE = (
    Row(S.SERVING, In.OUT, S.LEADING, Do.LEAD),
    Row(S.SERVING, In.IN, S.SERVING, Do.NOTHING),
    Row(S.SERVING, In.END, S.ENDING, Do.CEASE),
    Row(S.LEADING, In.OUT, S.LEADING, Do.NOTHING),
    Row(S.LEADING, In.IN, S.SERVING, Do.SERVE),
    Row(S.LEADING, In.DUE, S.PARTING, Do.PART),
    Row(S.LEADING, In.END, S.ENDING, Do.CEASE),
    Row(S.PARTING, In.OUT, S.PARTING, Do.NOTHING),
    Row(S.PARTING, In.IN, S.SERVING, Do.SERVE),
    Row(S.PARTING, In.END, S.ENDING, Do.CEASE),
    Row(S.ENDING, In.OUT, S.ENDING, Do.NOTHING),
    Row(S.ENDING, In.END, S.ENDING, Do.NOTHING),
)
ROWS = {(row.state, row.input): row for row in TABLE}


class ServingState:
    def __init__(self) -> None:
        self.state = State.SERVING

    def tell(self, event: Input) -> Effect | None:
        """What is to be done; None where the input has no place in this state."""
        row = ROWS.get((self.state, event))
        if row is None:
            return None
        self.state = row.then
        return row.effect
