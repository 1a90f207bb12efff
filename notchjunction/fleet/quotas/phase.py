"""How far a node has changed to a quota's split: the phases and their transitions. Pure."""

from __future__ import annotations

from enum import Enum, IntEnum, auto

from notchjunction.state_table import StateTable, Transition


class Phase(IntEnum):
    """How far a node has changed to its split; the values are on the wire."""

    STARTING = auto()  # nothing is spent: what an earlier start lent may be in use, or the split be stale
    SHRINKING = auto()  # more is in use than the smaller of both splits allows
    SHRUNK = auto()  # announced to all; waits for the other owners
    GROWN = auto()  # the split is in force at this node


class PhaseEvent(Enum):
    """What moves a node to its next phase."""

    QUARANTINE_OVER = auto()  # an earlier start's units have expired, and another owner confirms the split
    FITS_SMALLER_SPLIT = auto()  # what is in use fits the smaller of both splits
    ALL_OWNERS_SHRUNK = auto()  # every owner of the previous split has shrunk
    SPLIT_CHANGED = auto()  # the configuration has a new split


PHASE_TABLE: StateTable[Phase, PhaseEvent, None] = StateTable(
    (
        Transition(Phase.STARTING, PhaseEvent.QUARANTINE_OVER, Phase.SHRINKING, None),
        Transition(Phase.SHRINKING, PhaseEvent.FITS_SMALLER_SPLIT, Phase.SHRUNK, None),
        Transition(Phase.SHRUNK, PhaseEvent.ALL_OWNERS_SHRUNK, Phase.GROWN, None),
        Transition(Phase.GROWN, PhaseEvent.SPLIT_CHANGED, Phase.SHRINKING, None),
    )
)
