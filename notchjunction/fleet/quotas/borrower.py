"""The borrower's side of leases: requests, renewals, returns. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from notchjunction.fleet.envelope import OutgoingMessage, Sender
from notchjunction.fleet.quotas.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
    LeaseReturn,
)
from notchjunction.fleet.quotas.state import Lease, OwnerDenial, QuotaState

RENEW_SHARE = 0.25  # share of a lease's term after which it is renewed; leaves time for several attempts
RENEW_INTERVAL_S = 0.25  # between those attempts; short against any lease's term
REQUEST_TIMEOUT_S = 0.25  # a request waits no longer for a unit; short against any latency objective
NEXT_OWNER_DELAY_S = 0.03  # without a grant for so long, another owner is asked too; a few round trips
RESEND_DELAY_S = 0.1  # without an answer for so long, a lease request is sent to the same owner again
DENIED_OWNER_PAUSE_S = 0.05  # an owner that denied a lease is not asked again for so long
ROUNDS_KEPT = 8  # latest renewals of a lease whose grants are accepted; they span two seconds
IDLE_KEPT_S = 0.2  # units that were idle for so long are returned; the duration of a few requests
RECALL_VALID_S = 0.5  # an owner's recall applies for so long; the owner may not need the units any more


class OwnerChoice(Protocol):
    """Chooses the owner that is asked next: a random generator, except in model checking."""

    def choice(self, names: Sequence[str], /) -> str:
        """Return one of the names."""
        ...


class Borrower:
    """Borrows what this node needs beyond its own units.

    Args:
        lease_term: Seconds that a lease lasts by this node's clock.
        chooser: Chooses between owners.
    """

    def __init__(self, lease_term: float, chooser: OwnerChoice) -> None:
        self.lease_term = lease_term
        self.chooser = chooser
        self._serial = 0

    def request_lease(self, state: QuotaState, now: float) -> list[OutgoingMessage]:
        """Ask one more owner for units if requests wait and the owners asked have not granted any yet."""
        if not state.waiting:
            return []
        pending = [lease for lease in state.leases.values() if not lease.granted]
        if pending and now - max(lease.requested_at for lease in pending) < NEXT_OWNER_DELAY_S:
            return []
        asked = {lease.owner for lease in pending}
        denied = {
            name for name, denial in state.denials.items() if now - denial.received_at < DENIED_OWNER_PAUSE_S
        }
        candidates = [name for name in state.other_owners() if name not in asked and name not in denied]
        if not candidates:
            return []
        owner = self.chooser.choice(candidates)
        self._serial += 1
        count = max(1, state.waiting)
        state.leases[self._serial] = Lease(
            owner, self._serial, count, now, {0: now}, sent_at=now, reviewed_at=now
        )
        return [OutgoingMessage(owner, LeaseRequest(state.plan.name, self._serial, 0, count))]

    def on_grant(
        self, state: QuotaState, now: float, sender: Sender, grant: LeaseGrant
    ) -> list[OutgoingMessage]:
        """Accept a lease or its renewal; return a lease that is no longer wanted."""
        lease = state.leases.get(grant.serial)
        if lease is None or lease.owner != sender.name:
            # Guards against units that stay lent for a whole term after the borrower withdrew its request.
            return [OutgoingMessage(sender.name, LeaseReturn(grant.quota, grant.serial, 0))]
        if grant.round not in lease.rounds:
            return []
        # Guards against a grant that was delayed by the network: its term counts from the request.
        lease.end = max(lease.end, lease.rounds[grant.round] + grant.term)
        if not lease.granted:
            lease.granted, lease.count, lease.reviewed_at = True, grant.count, now
        return []

    def on_denial(
        self, state: QuotaState, now: float, sender: Sender, denial: LeaseDenial
    ) -> list[OutgoingMessage]:
        """Drop the denied request, and ask another owner."""
        state.denials[sender.name] = OwnerDenial(now, now + denial.retry_after)
        lease = state.leases.get(denial.serial)
        if lease is not None and lease.owner == sender.name and not lease.granted:
            del state.leases[denial.serial]
        return self.request_lease(state, now)

    def on_recall(
        self, state: QuotaState, now: float, sender: Sender, recall: LeaseRecall
    ) -> list[OutgoingMessage]:
        """Return what is not needed of a recalled lease."""
        lease = state.leases.get(recall.serial)
        if lease is None or lease.owner != sender.name:
            # Guards against units that no node can use, as the message that returned them was lost.
            return [OutgoingMessage(sender.name, LeaseReturn(recall.quota, recall.serial, 0))]
        if not lease.granted:
            return []
        lease.recall_keep, lease.recalled_until = recall.keep, now + RECALL_VALID_S
        outgoing = self.heed_recall(state, lease)
        if lease.count < recall.count and not outgoing:
            return [OutgoingMessage(sender.name, LeaseReturn(recall.quota, recall.serial, lease.count))]
        return outgoing

    def heed_recall(self, state: QuotaState, lease: Lease) -> list[OutgoingMessage]:
        """Return units that no request of this node needs, and recalled ones as they come free."""
        needed = min(lease.count, lease.in_use + state.waiting)
        return _reduce(state, lease, max(lease.in_use, min(needed, lease.recall_keep)))

    def withdraw_requests(self, state: QuotaState) -> list[OutgoingMessage]:
        """Withdraw all lease requests that are not answered yet."""
        return _withdraw(state, lambda lease: True)

    def review_leases(self, state: QuotaState, now: float) -> list[OutgoingMessage]:
        """Resend requests, renew leases and return idle units, each when it is due."""
        outgoing = _withdraw(state, lambda lease: now - lease.requested_at > REQUEST_TIMEOUT_S)
        for lease in list(state.leases.values()):
            if lease.granted:
                outgoing += self._review_granted(state, lease, now)
            elif now - lease.sent_at > RESEND_DELAY_S:
                lease.sent_at = now
                request = LeaseRequest(state.plan.name, lease.serial, 0, lease.requested)
                outgoing.append(OutgoingMessage(lease.owner, request))
        return outgoing

    def _review_granted(self, state: QuotaState, lease: Lease, now: float) -> list[OutgoingMessage]:
        outgoing: list[OutgoingMessage] = []
        if now - lease.reviewed_at >= IDLE_KEPT_S:
            outgoing = _reduce(state, lease, max(lease.peak, lease.in_use))
            lease.reviewed_at, lease.peak = now, lease.in_use
        if lease.count == 0 or now >= lease.end:
            if lease.in_use == 0:
                del state.leases[lease.serial]
            return outgoing
        renew_at = lease.end - self.lease_term + RENEW_SHARE * self.lease_term
        if now >= renew_at and now - lease.sent_at >= RENEW_INTERVAL_S:
            lease.round += 1
            lease.rounds[lease.round] = lease.sent_at = now
            lease.rounds.pop(lease.round - ROUNDS_KEPT, None)
            request = LeaseRequest(state.plan.name, lease.serial, lease.round, lease.count)
            outgoing.append(OutgoingMessage(lease.owner, request))
        return outgoing


def _withdraw(state: QuotaState, is_withdrawn: Callable[[Lease], bool]) -> list[OutgoingMessage]:
    """Withdraw unanswered requests; the messages free at once any units that were granted meanwhile."""
    withdrawn = [lease for lease in state.leases.values() if not lease.granted and is_withdrawn(lease)]
    for lease in withdrawn:
        del state.leases[lease.serial]
    return [
        OutgoingMessage(lease.owner, LeaseReturn(state.plan.name, lease.serial, 0)) for lease in withdrawn
    ]


def _reduce(state: QuotaState, lease: Lease, kept: int) -> list[OutgoingMessage]:
    """Return units: this node stops using them before the message is sent."""
    if kept >= lease.count:
        return []
    lease.count = kept
    return [OutgoingMessage(lease.owner, LeaseReturn(state.plan.name, lease.serial, kept))]
