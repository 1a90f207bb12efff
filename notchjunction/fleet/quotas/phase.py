"""The phases in which a node changes to a new split of a quota, and their transitions. Pure."""

from __future__ import annotations

from enum import Enum, IntEnum, auto

from notchjunction.state_table import StateTable, Transition


class Phase(IntEnum):
    """Phase of a node's change to its split; the values are part of the wire format."""

    STARTING = (
        auto()
    )  # no unit is used: units that an earlier start lent may be in use, or the split is stale
    SHRINKING = auto()  # more units are in use than the smaller of both splits allows
    SHRUNK = auto()  # announced to all owners; waits for the others to shrink too
    GROWN = auto()  # the new split is in force at this node


class PhaseEvent(Enum):
    """Events that move a node to its next phase."""

    QUARANTINE_OVER = auto()  # an earlier start's loans have expired, and another owner confirms the split
    FITS_SMALLER_SPLIT = auto()  # the units in use fit the smaller of both splits
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
