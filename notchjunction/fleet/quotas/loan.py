"""A loan, which is the owner's side of a lease: its states and their transitions. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from notchjunction.fleet.envelope import Sender
from notchjunction.state_table import StateTable, Transition


class LoanState(Enum):
    """What an owner knows of a borrower's lease."""

    NONE = auto()
    LENT = auto()
    CLOSED = auto()  # returned; kept until its term would have ended, as older messages may still arrive


class LoanEvent(Enum):
    """The borrower's messages, as events of the loan."""

    REQUESTED = auto()
    RENEWAL_REQUESTED = auto()  # another round
    PARTLY_RETURNED = auto()
    RETURNED = auto()


class LoanAction(Enum):
    """What the owner does."""

    GRANT_OR_QUEUE = auto()
    GRANT_AGAIN = auto()
    RENEW = auto()
    REDUCE = auto()
    CLOSE = auto()
    DENY = auto()
    NOTHING = auto()


LOAN_TABLE = StateTable(
    (
        Transition(LoanState.NONE, LoanEvent.REQUESTED, LoanState.NONE, LoanAction.GRANT_OR_QUEUE),
        # Guards against the renewal of units that are no longer lent: the loan may have ended at the owner.
        Transition(LoanState.NONE, LoanEvent.RENEWAL_REQUESTED, LoanState.NONE, LoanAction.DENY),
        Transition(LoanState.NONE, LoanEvent.PARTLY_RETURNED, LoanState.NONE, LoanAction.NOTHING),
        # Guards against a request that arrives after its own return: no node would use the units, for a whole
        # term.
        Transition(LoanState.NONE, LoanEvent.RETURNED, LoanState.CLOSED, LoanAction.CLOSE),
        # Guards against lending twice for one request that arrived twice.
        Transition(LoanState.LENT, LoanEvent.REQUESTED, LoanState.LENT, LoanAction.GRANT_AGAIN),
        Transition(LoanState.LENT, LoanEvent.RENEWAL_REQUESTED, LoanState.LENT, LoanAction.RENEW),
        Transition(LoanState.LENT, LoanEvent.PARTLY_RETURNED, LoanState.LENT, LoanAction.REDUCE),
        Transition(LoanState.LENT, LoanEvent.RETURNED, LoanState.CLOSED, LoanAction.CLOSE),
        Transition(LoanState.CLOSED, LoanEvent.REQUESTED, LoanState.CLOSED, LoanAction.DENY),
        Transition(LoanState.CLOSED, LoanEvent.RENEWAL_REQUESTED, LoanState.CLOSED, LoanAction.DENY),
        Transition(LoanState.CLOSED, LoanEvent.PARTLY_RETURNED, LoanState.CLOSED, LoanAction.NOTHING),
        Transition(LoanState.CLOSED, LoanEvent.RETURNED, LoanState.CLOSED, LoanAction.NOTHING),
    )
)


class LoanKey(NamedTuple):
    """Identifies a loan at its owner: the borrower's name and start, and its number of the lease."""

    borrower: str
    start: int
    serial: int


@dataclass(slots=True, eq=False)
class Loan:
    """Units that this node has lent, until `ends` (s, own clock)."""

    borrower: Sender
    serial: int
    count: int
    round: int
    ends: float
    state: LoanState = LoanState.LENT
    recalled_at: float = -math.inf

    @property
    def key(self) -> LoanKey:
        """The key under which the owner stores this loan."""
        return LoanKey(self.borrower.name, self.borrower.start, self.serial)


@dataclass(frozen=True, slots=True)
class QueuedLeaseRequest:
    """A lease request that waits at its owner for a free unit since `queued_at` (s, own clock)."""

    borrower: Sender
    serial: int
    count: int
    queued_at: float


def apply_event(loan: Loan | None, event: LoanEvent) -> LoanAction:
    """Move a loan, if there is one, to its next state, and return what the owner is to do."""
    transition = LOAN_TABLE[LoanState.NONE if loan is None else loan.state, event]
    if loan is not None:
        loan.state = transition.next_state
    return transition.action
