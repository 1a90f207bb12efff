"""Records of members, how two of them are merged, and the transitions of their state. Pure."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import NamedTuple

from notchjunction.fleet.membership.messages import CONFIRMATIONS_MAX, MemberState, MemberUpdate
from notchjunction.state_table import StateTable, Transition


@dataclass(frozen=True, slots=True)
class Member:
    """A record of one name."""

    name: str
    address: str
    start: int
    incarnation: int
    state: MemberState
    since: float  # when it got this state (s, own clock)
    accusers: tuple[str, ...] = ()  # the nodes that could not reach it, while it is suspected

    @property
    def live(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.state <= MemberState.SUSPECT

    @property
    def version(self) -> tuple[int, int]:
        """The key that orders the records of one name by age."""
        return self.start, self.incarnation

    @property
    def precedence(self) -> tuple[int, int, int, str]:
        """The key by which one of two records of a name is kept."""
        return self.start, self.incarnation, self.state, self.address

    def to_update(self, now: float) -> MemberUpdate:
        """Return the record in the form in which it is sent."""
        age = 0 if self.live else max(0, int(now - self.since))
        return MemberUpdate(
            self.name, self.address, self.start, self.incarnation, self.state, age, self.accusers
        )


def from_update(update: MemberUpdate, now: float) -> Member:
    """Return the record that was received in an update."""
    since = now - update.age if update.state >= MemberState.DEAD else now
    accusers = update.accusers if update.state is MemberState.SUSPECT else ()
    return Member(
        update.name, update.address, update.start, update.incarnation, update.state, since, accusers
    )


def merge(first: Member, second: Member) -> Member:
    """Merge two records of one name; this is commutative, associative and idempotent."""
    if first.precedence != second.precedence:
        return max(first, second, key=lambda member: member.precedence)
    accusers = limit_accusers(*first.accusers, *second.accusers)
    return replace(first, since=min(first.since, second.since), accusers=accusers)


def limit_accusers(*names: str) -> tuple[str, ...]:
    """Return the accusers as a record keeps them: sorted, unique, and no more than affect the timeout."""
    return tuple(sorted(set(names))[: CONFIRMATIONS_MAX + 1])


class RecordEvent(Enum):
    """Events of a record: an update that was received, or an observation of this node."""

    ALIVE_RECEIVED = auto()
    SUSPECT_RECEIVED = auto()
    DEAD_RECEIVED = auto()
    LEFT_RECEIVED = auto()
    PROBE_FAILED = auto()  # neither this node's probe nor its helpers' were answered
    SUSPICION_TIMED_OUT = auto()
    RETENTION_ENDED = auto()  # dead for too long, or too many are


class Relation(Enum):
    """How an update relates to the known record; or whether this node may trust its own observations."""

    NEWER = auto()  # a later start, a higher incarnation, or a name not known
    EQUAL = auto()  # the same start and incarnation
    OLDER = auto()
    STALE = auto()  # an old death of an unknown name
    OWN = auto()  # about this start of this node, and not refuted yet
    TRUSTED = auto()
    UNTRUSTED = auto()  # this node is away or was replaced


class RecordAction(Enum):
    """How the new record is derived from the known one and the update."""

    MERGE = auto()
    SUSPECT = auto()
    ACCUSE = auto()
    DECLARE_DEAD = auto()
    FORGET = auto()
    REFUTE = auto()


class Occurrence(NamedTuple):
    """An event and its relation to the known record."""

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
        # Guards against updates from a side of a partition, or from a node that was paused, which declare
        # healthy nodes dead.
        *_transitions(_LIVE, _E.DEAD_RECEIVED, _R.NEWER, _S.SUSPECT, _A.SUSPECT),
        *_transitions((_S.ALIVE,), _E.DEAD_RECEIVED, _R.EQUAL, _S.SUSPECT, _A.SUSPECT),
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
