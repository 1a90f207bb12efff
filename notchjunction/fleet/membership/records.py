"""Records of members, how two are merged, and what each event makes of one. Pure."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import NamedTuple

from notchjunction.fleet.membership.messages import CONFIRMATIONS_MAX, MemberState, MemberUpdate
from notchjunction.state_table import StateTable, Transition


@dataclass(frozen=True, slots=True)
class Member:
    """A record of one name. `since`: s on the own clock; `accusers`: who could not reach it, if suspected."""

    name: str
    address: str
    start: int
    incarnation: int
    state: MemberState
    since: float
    accusers: tuple[str, ...] = ()

    @property
    def live(self) -> bool:
        """Whether it is alive or only suspected."""
        return self.state <= MemberState.SUSPECT

    @property
    def version(self) -> tuple[int, int]:
        """By which records of one name are newer or older."""
        return self.start, self.incarnation

    @property
    def precedence(self) -> tuple[int, int, int, str]:
        """By which one of two records of a name is kept."""
        return self.start, self.incarnation, self.state, self.address

    def to_update(self, now: float) -> MemberUpdate:
        """The record as it is sent."""
        age = 0 if self.live else max(0, int(now - self.since))
        return MemberUpdate(
            self.name, self.address, self.start, self.incarnation, self.state, age, self.accusers
        )


def from_update(update: MemberUpdate, now: float) -> Member:
    """A record as it was received."""
    since = now - update.age if update.state >= MemberState.DEAD else now
    accusers = update.accusers if update.state is MemberState.SUSPECT else ()
    return Member(
        update.name, update.address, update.start, update.incarnation, update.state, since, accusers
    )


def merge(one: Member, other: Member) -> Member:
    """Two records of one name merged; commutative, associative, idempotent."""
    if one.precedence != other.precedence:
        return max(one, other, key=lambda member: member.precedence)
    accusers = limit_accusers(*one.accusers, *other.accusers)
    return replace(one, since=min(one.since, other.since), accusers=accusers)


def limit_accusers(*names: str) -> tuple[str, ...]:
    """Accusers as they are kept: in order, each once, so many that the shortest timeout holds."""
    return tuple(sorted(set(names))[: CONFIRMATIONS_MAX + 1])


class RecordEvent(Enum):
    """What happens to a record: an update is received, or this node finds out itself."""

    ALIVE_RECEIVED = auto()
    SUSPECT_RECEIVED = auto()
    DEAD_RECEIVED = auto()
    LEFT_RECEIVED = auto()
    PROBE_FAILED = auto()  # an own probe and its helpers
    SUSPICION_TIMED_OUT = auto()
    RETENTION_ENDED = auto()  # dead for so long, or so many are


class Relation(Enum):
    """How an update relates to the known record; or whether this node may trust what it observes itself."""

    NEWER = auto()  # a later start, a higher incarnation, or a name not known
    EQUAL = auto()  # the same start and incarnation
    OLDER = auto()
    STALE = auto()  # an old death of a name not known
    OWN = auto()  # of this start of this node, and not refuted yet
    TRUSTED = auto()
    UNTRUSTED = auto()  # it is away, or replaced


class RecordAction(Enum):
    """How the new record follows from the known one and the update."""

    MERGE = auto()
    DOUBT = auto()
    ACCUSE = auto()
    DECLARE_DEAD = auto()
    FORGET = auto()
    REFUTE = auto()


class Occurrence(NamedTuple):
    """An event and how it relates to what is known."""

    event: RecordEvent
    relation: Relation


RECEIVED = {
    MemberState.ALIVE: RecordEvent.ALIVE_RECEIVED,
    MemberState.SUSPECT: RecordEvent.SUSPECT_RECEIVED,
    MemberState.DEAD: RecordEvent.DEAD_RECEIVED,
    MemberState.LEFT: RecordEvent.LEFT_RECEIVED,
}
_S, _E, _R, _A = MemberState, RecordEvent, Relation, RecordAction
_UNKNOWN = (None,)
_LIVE, _GONE = (_S.ALIVE, _S.SUSPECT), (_S.DEAD, _S.LEFT)
_ANY = (*_LIVE, *_GONE)


def _transitions(
    states: tuple[MemberState | None, ...],
    event: RecordEvent,
    relation: Relation,
    next_state: MemberState | None,
    action: RecordAction,
) -> list[Transition[MemberState | None, Occurrence, RecordAction]]:
    return [Transition(state, Occurrence(event, relation), next_state, action) for state in states]


RECORD_TABLE = StateTable(
    (
        *_transitions((*_UNKNOWN, *_ANY), _E.ALIVE_RECEIVED, _R.NEWER, _S.ALIVE, _A.MERGE),
        *_transitions((*_UNKNOWN, *_ANY), _E.SUSPECT_RECEIVED, _R.NEWER, _S.SUSPECT, _A.MERGE),
        *_transitions(_LIVE, _E.SUSPECT_RECEIVED, _R.EQUAL, _S.SUSPECT, _A.MERGE),
        # Guards against a side of a partition, or a node that was paused, declaring the healthy dead by
        # hearsay.
        *_transitions(_LIVE, _E.DEAD_RECEIVED, _R.NEWER, _S.SUSPECT, _A.DOUBT),
        *_transitions((_S.ALIVE,), _E.DEAD_RECEIVED, _R.EQUAL, _S.SUSPECT, _A.DOUBT),
        *_transitions((*_UNKNOWN, *_GONE), _E.DEAD_RECEIVED, _R.NEWER, _S.DEAD, _A.MERGE),
        *_transitions((_S.DEAD,), _E.DEAD_RECEIVED, _R.EQUAL, _S.DEAD, _A.MERGE),
        *_transitions((*_UNKNOWN, *_ANY), _E.LEFT_RECEIVED, _R.NEWER, _S.LEFT, _A.MERGE),
        *_transitions(_ANY, _E.LEFT_RECEIVED, _R.EQUAL, _S.LEFT, _A.MERGE),
        *_transitions((_S.ALIVE,), _E.SUSPECT_RECEIVED, _R.OWN, _S.ALIVE, _A.REFUTE),
        *_transitions((_S.ALIVE,), _E.DEAD_RECEIVED, _R.OWN, _S.ALIVE, _A.REFUTE),
        *_transitions((_S.ALIVE,), _E.LEFT_RECEIVED, _R.OWN, _S.ALIVE, _A.REFUTE),
        *_transitions(_LIVE, _E.PROBE_FAILED, _R.TRUSTED, _S.SUSPECT, _A.ACCUSE),
        *_transitions((_S.SUSPECT,), _E.SUSPICION_TIMED_OUT, _R.TRUSTED, _S.DEAD, _A.DECLARE_DEAD),
        *_transitions(_GONE, _E.RETENTION_ENDED, _R.TRUSTED, None, _A.FORGET),
    )
)
