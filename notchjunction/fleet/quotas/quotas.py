"""Quotas that hold for the whole fleet: units, each owned by one node, and lent for a time. Pure.

A quota bounds the attempts that are in flight over all nodes at any moment. An attempt is in flight from its
writing until it is answered, or the time that its endpoint was given is over, whichever is first. The
operator's file defines who owns how many units; their sum is the quota. An owner alone decides on its units,
so nothing has to be agreed, and no acknowledgement is needed for safety, only for use:

- a borrower counts a lease's term from its request, its owner from the grant and longer by what clocks may
  drift;
- an attempt is written only under a unit that lasts until the attempt's time is over, checked at the writing;
- an owner that has started anew neither uses nor lends until whatever its earlier start lent has surely
  ended, and until another owner has announced that the split it knows is the one in force;
- a changed split only shrinks until every owner of the one before has settled to the smaller of the two.

`now` is the node's own clock in seconds; it never jumps, and may run off by `drift`.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import OutgoingMessage, Sender
from notchjunction.fleet.quotas.borrower import Borrower
from notchjunction.fleet.quotas.lender import Lender
from notchjunction.fleet.quotas.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
    LeaseReturn,
    Message,
    PhaseAnnouncement,
)
from notchjunction.fleet.quotas.phase import PHASE_TABLE, Phase, PhaseEvent
from notchjunction.fleet.quotas.plan import Plan, check_follows
from notchjunction.fleet.quotas.split_change import advance_phase, on_announcement, poll_owner
from notchjunction.fleet.quotas.state import REQUEST_QUEUED_S, Permit, QuotaState, QuotaStats

LEASE_TERM_FACTOR = 2.0  # a lease's term in longest request times: it is usable for half of it, unrenewed


class LeaseTiming(NamedTuple):
    """What leases' terms follow from: the share by which clocks may run off, and the longest request."""

    clock_drift: float
    request_time_max: float  # s

    @property
    def term(self) -> float:
        """Seconds that a lease lasts by its borrower's clock."""
        return LEASE_TERM_FACTOR * self.request_time_max

    @property
    def clock_stretch(self) -> float:
        """How many seconds an owner's clock may count in one of a borrower's."""
        # The borrower's clock may run slow and the owner's fast: both by the drift against true time.
        return (1 + self.clock_drift) / (1 - self.clock_drift)


class Quotas:
    """One node's part in all quotas of its fleet.

    Args:
        me: This start of this node.
        plans: The quotas as configured.
        timing: What the terms of leases follow from.
        seed: Of the choice between owners.
        now: The node's clock.
    """

    def __init__(self, me: Sender, plans: Sequence[Plan], timing: LeaseTiming, seed: int, now: float) -> None:
        self._me = me
        self.lease_term = timing.term
        self.lender = Lender(self.lease_term, timing.clock_stretch)
        self.borrower = Borrower(self.lease_term, Random(f"limits {seed}"))
        self.states: dict[str, QuotaState] = {}
        self.apply_plans(now, plans)

    def apply_plans(self, now: float, plans: Sequence[Plan]) -> None:
        """Use the quotas as they are configured now: all of them or, with an error, none.

        Raises:
            SplitMismatchError: A split does not follow the one in force.
            UnsettledSplitError: The one in force has not settled yet.
        """
        for plan in plans:
            if (state := self.states.get(plan.name)) is not None:
                check_follows(state.plan, state.phase, plan)
        states: dict[str, QuotaState] = {}
        for plan in plans:
            state = self.states.get(plan.name)
            if state is None:
                # A quota that is new here may have been known to an earlier start.
                state = QuotaState(self._me.name, plan, self.lender.loan_end(now))
            elif plan.split.revision != state.plan.split.revision:
                state.phase = PHASE_TABLE[state.phase, PhaseEvent.SPLIT_CHANGED].next_state
                state.owner_phases.clear()
            state.plan = plan
            states[plan.name] = state
        self.states = states

    def restart_quarantine(self, now: float) -> None:
        """Count from now what an earlier process lent: only from now on is the node's address its own."""
        for state in self.states.values():
            state.quarantine_ends = self.lender.loan_end(now)

    def acquire(self, now: float, quota: str, until: float) -> Permit | None:
        """Use one unit for an attempt whose time is over at `until`; none where none is at hand."""
        state = self.states[quota]
        state.expire(now)
        free = state.free()
        # Guards against a unit that was reserved under a split that has shrunk since.
        if (state.reserved and free >= 0) or (free > 0 and not state.queue):
            if state.reserved:
                state.reserved.popleft()
            state.use_own()
            permit = Permit(state, None, until)
        else:
            usable = [lease for lease in state.leases.values() if lease.end >= until and lease.idle(now) > 0]
            lease = max(usable, key=lambda each: each.end, default=None)
            if lease is None:
                return None
            lease.in_use += 1
            lease.peak = max(lease.peak, lease.in_use)
            permit = Permit(state, lease, until)
        state.track_permit(permit)
        return permit

    def extend(self, now: float, permit: Permit, until: float) -> bool:
        """Whether the unit is still this permit's, now and until then; to be checked at each writing."""
        # Guards against a process that was paused between acquiring a permit and writing under it.
        if not permit.live or now >= permit.expires_at:
            return False
        if permit.lease is not None and permit.lease.end < until:
            return False
        permit.expires_at = max(permit.expires_at, until)
        return True

    def release(self, now: float, permit: Permit) -> list[OutgoingMessage]:
        """End a permit whose attempt is no longer in flight; a second call changes nothing."""
        if not permit.live:
            return []
        state, lease = permit.state, permit.lease
        state.free_permit(permit, now)
        if lease is not None and now < lease.recalled_until:
            return self.borrower.heed_recall(state, lease)
        return self.lender.serve_queue(state, now)

    def expire_at(self, permit: Permit, until: float) -> None:
        """Keep the permit of an unanswered attempt only until then: its endpoint may work on it so long."""
        if permit.live and until < permit.expires_at:
            permit.expires_at = until
            permit.state.track_permit(permit)

    def set_waiting(self, now: float, quota: str, waiting: int) -> list[OutgoingMessage]:
        """Note how many own requests wait for a unit, 0 where none does any more; borrow for them."""
        state = self.states[quota]
        state.waiting = waiting
        if not waiting:
            return self.borrower.withdraw_requests(state)
        return self.lender.serve_queue(state, now) + self.borrower.request_lease(state, now)

    def may_be_granted(self, quota: str) -> bool:
        """Whether waiting requests may still get a unit; where not, they are rejected at once."""
        state = self.states[quota]
        owns = state.phase is not Phase.STARTING and state.plan.split.owned_by(self._me.name) > 0
        return owns or any(not lease.granted for lease in state.leases.values())

    def retry_after(self, now: float, quota: str) -> float:
        """Seconds until a unit may come free for this node, by what it and the owners have observed."""
        return self.states[quota].retry_after(now)

    @property
    def faults(self) -> list[FleetError]:
        """What an operator has to mend before this node may use what it owns."""
        return [state.fault for state in self.states.values() if state.fault is not None]

    def receive(self, now: float, sender: Sender, message: Message) -> list[OutgoingMessage]:
        """Apply another node's message, and return what is to be sent."""
        state = self.states.get(message.quota)
        if state is None:
            return []
        state.expire(now)
        if sender.name in state.plan.split.owners:
            state.last_message_at[sender.name] = now
        match message:
            case LeaseRequest():
                return self.lender.on_request(state, now, sender, message)
            case LeaseReturn():
                return self.lender.on_return(state, now, sender, message)
            case LeaseGrant():
                return self.borrower.on_grant(state, now, sender, message)
            case LeaseDenial():
                return self.borrower.on_denial(state, now, sender, message)
            case LeaseRecall():
                return self.borrower.on_recall(state, now, sender, message)
            case PhaseAnnouncement():
                return on_announcement(state, sender, message)

    def tick(self, now: float, nodes: int = 1) -> list[OutgoingMessage]:
        """Do what is due, in a fleet of so many nodes; to be called every 20 to 100 ms."""
        outgoing: list[OutgoingMessage] = []
        for state in self.states.values():
            state.expire(now)
            outgoing += advance_phase(state, now) + poll_owner(state, now, nodes)
            outgoing += self.lender.deny_overdue(state, now, REQUEST_QUEUED_S)
            outgoing += self.lender.serve_queue(state, now)
            outgoing += self.borrower.review_leases(state, now)
            outgoing += self.borrower.request_lease(state, now)
        return outgoing

    def stats(self, now: float, quota: str) -> QuotaStats:
        """The figures of one quota, for an operator."""
        state = self.states[quota]
        state.expire(now)
        return state.stats(now)

    @property
    def names(self) -> list[str]:
        """The names of all quotas."""
        return list(self.states)
