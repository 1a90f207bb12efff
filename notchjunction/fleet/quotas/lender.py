"""The owner's side of leases: grants, the queue of requests, recalls. Pure."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable

from notchjunction.fleet.envelope import OutgoingMessage, Sender
from notchjunction.fleet.quotas.loan import (
    Loan,
    LoanAction,
    LoanEvent,
    LoanKey,
    LoanState,
    QueuedLeaseRequest,
    apply_event,
)
from notchjunction.fleet.quotas.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
    LeaseReturn,
)
from notchjunction.fleet.quotas.state import RETRY_AFTER_MAX_S, QuotaState

QUEUE_MAX = 1024  # lease requests queued at an owner; more than the supported number of nodes
LOANS_MAX = 16384  # loans kept at an owner, most of them closed; further requests are denied
RECALL_INTERVAL_S = 0.05  # between recalls of one loan
RESERVATION_S = 0.1  # a unit stays reserved for so long for a waiting request of the owner itself


class Lender:
    """Lends what this node owns.

    Args:
        lease_term: Seconds that a lease lasts by the borrower's clock.
        clock_stretch: Factor by which an owner's clock may count more seconds than a borrower's.
    """

    def __init__(self, lease_term: float, clock_stretch: float) -> None:
        self.lease_term = lease_term
        self._clock_stretch = clock_stretch

    def loan_end(self, now: float) -> float:
        """Return when units lent now are certainly free again, whatever the borrower's clock shows."""
        return now + self.lease_term * self._clock_stretch

    def on_request(
        self, state: QuotaState, now: float, sender: Sender, request: LeaseRequest
    ) -> list[OutgoingMessage]:
        """Grant, renew, queue or deny a borrower's request."""
        loan = state.loans.get(LoanKey(sender.name, sender.start, request.serial))
        is_repeat = request.round == 0 if loan is None else request.round <= loan.round
        event = LoanEvent.REQUESTED if is_repeat else LoanEvent.RENEWAL_REQUESTED
        action = apply_event(loan, event)
        if action is LoanAction.GRANT_OR_QUEUE:
            return self._grant_or_queue(state, now, sender, request)
        if loan is None or action is LoanAction.DENY:
            denial = LeaseDenial(state.plan.name, request.serial, state.own_retry_after())
            return [OutgoingMessage(sender.name, denial)]
        if action is LoanAction.RENEW:
            # The loan is extended before the borrower can receive the grant.
            loan.round, loan.ends = request.round, self.loan_end(now)
        return [self._grant(state, loan)]

    def on_return(
        self, state: QuotaState, now: float, sender: Sender, returned: LeaseReturn
    ) -> list[OutgoingMessage]:
        """Free the units that a borrower returns, and lend them to queued requests."""
        key = LoanKey(sender.name, sender.start, returned.serial)
        loan = state.loans.get(key)
        event = LoanEvent.PARTLY_RETURNED if returned.kept > 0 else LoanEvent.RETURNED
        action = apply_event(loan, event)
        if action is LoanAction.NOTHING:
            return []
        if loan is None:
            state.add_loan(Loan(sender, returned.serial, 0, 0, self.loan_end(now), LoanState.CLOSED))
            state.queue = deque(
                queued
                for queued in state.queue
                if (queued.borrower, queued.serial) != (sender, returned.serial)
            )
            return []
        kept = min(loan.count, max(0, returned.kept))
        if loan.count > kept:
            state.released_at.append(now)
        state.lent -= loan.count - kept
        loan.count = kept
        return self.serve_queue(state, now)

    def _grant_or_queue(
        self, state: QuotaState, now: float, sender: Sender, request: LeaseRequest
    ) -> list[OutgoingMessage]:
        # Guards against unbounded memory, whatever the rate of requests.
        if len(state.queue) >= QUEUE_MAX or len(state.loans) >= LOANS_MAX:
            return [
                OutgoingMessage(sender.name, LeaseDenial(state.plan.name, request.serial, RETRY_AFTER_MAX_S))
            ]
        if not any((queued.borrower, queued.serial) == (sender, request.serial) for queued in state.queue):
            state.queue.append(QueuedLeaseRequest(sender, request.serial, max(1, request.count), now))
        return self.serve_queue(state, now)

    def _grant(self, state: QuotaState, loan: Loan) -> OutgoingMessage:
        grant = LeaseGrant(state.plan.name, loan.serial, loan.round, loan.count, self.lease_term)
        return OutgoingMessage(loan.borrower.name, grant)

    def serve_queue(self, state: QuotaState, now: float) -> list[OutgoingMessage]:
        """Grant free units to queued requests; recall lent units if there are not enough."""
        outgoing: list[OutgoingMessage] = []
        while (free := state.free()) > 0:
            queued = _next_in_queue(state)
            if queued is None and state.waiting <= len(state.reserved):
                break
            if queued is None:
                state.reserved.append(now + RESERVATION_S)
                continue
            state.queue.remove(queued)
            count = min(queued.count, free)
            state.use_own(count, lend=True)
            loan = Loan(queued.borrower, queued.serial, count, 0, self.loan_end(now))
            state.add_loan(loan)
            outgoing.append(self._grant(state, loan))
        if state.usable() <= 0:
            outgoing += _deny_queued(state, lambda queued: True)
        is_short = bool(state.queue) or state.waiting > len(state.reserved)
        return outgoing + (_recall(state, now) if is_short else [])

    def deny_overdue(self, state: QuotaState, now: float, queued_max: float) -> list[OutgoingMessage]:
        """Deny the requests that have been queued for more than `queued_max` seconds."""
        return _deny_queued(state, lambda queued: now - queued.queued_at > queued_max)


def _deny_queued(state: QuotaState, is_denied: Callable[[QueuedLeaseRequest], bool]) -> list[OutgoingMessage]:
    denied = [queued for queued in state.queue if is_denied(queued)]
    state.queue = deque(queued for queued in state.queue if not is_denied(queued))
    retry_after = state.own_retry_after()
    return [
        OutgoingMessage(queued.borrower.name, LeaseDenial(state.plan.name, queued.serial, retry_after))
        for queued in denied
    ]


def _next_in_queue(state: QuotaState) -> QueuedLeaseRequest | None:
    """Return the request that gets the next unit: the oldest, or none while own requests come first."""
    if state.waiting <= len(state.reserved):
        return next(iter(state.queue), None)
    # Guards against owners that lend each other units which they need themselves: in a partition neither
    # could use them.
    from_ownerless = [queued for queued in state.queue if _owns_nothing(state, queued.borrower.name)]
    own_share = math.ceil(state.usable() / (1 + len(_ownerless_borrowers(state))))
    has_own_share = state.own_in_use + len(state.reserved) >= own_share
    return from_ownerless[0] if from_ownerless and has_own_share else None


def _owns_nothing(state: QuotaState, name: str) -> bool:
    return not state.plan.split.owned_by(name)


def _ownerless_borrowers(state: QuotaState) -> set[str]:
    """Return the nodes that own no unit, and have borrowed or requested one here."""
    names = {queued.borrower.name for queued in state.queue}
    names |= {loan.borrower.name for loan in state.loans.values() if loan.count > 0}
    return {name for name in names if _owns_nothing(state, name)}


def _recall(state: QuotaState, now: float) -> list[OutgoingMessage]:
    """Recall idle units from all borrowers, and units above a borrower's share as they come free."""
    lent = [loan for loan in state.loans.values() if loan.count > 0]
    borrowed = Counter(loan.borrower.name for loan in lent for _ in range(loan.count))
    is_short = state.waiting > len(state.reserved)
    ownerless = _ownerless_borrowers(state)
    share = max(1, state.usable() // max(1, len(ownerless) + is_short))
    others_need = is_short or any(_owns_nothing(state, queued.borrower.name) for queued in state.queue)
    outgoing: list[OutgoingMessage] = []
    for loan in lent:
        if now - loan.recalled_at >= RECALL_INTERVAL_S:
            loan.recalled_at = now
            name = loan.borrower.name
            may_keep = borrowed[name] <= share if name in ownerless else not others_need
            keep = loan.count if may_keep else 0
            outgoing.append(
                OutgoingMessage(name, LeaseRecall(state.plan.name, loan.serial, loan.count, keep))
            )
    return outgoing
