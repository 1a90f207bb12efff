"""Quotas for the whole fleet, divided into units that are each owned by one node and lent for a time. Pure.

A quota limits the attempts that are in flight from all nodes at any moment. An attempt is in flight from its
write until it is answered or its timeout is over, whichever is first. The configuration defines how many
units each owner has; their sum is the quota. Each owner decides on its own units alone. So no consensus is
necessary, and lost messages affect only availability, never the limit:

- a borrower counts a lease's term from its request; its owner counts it from the grant, and extends it by the
  clock drift;
- an attempt is written only with a unit that lasts until the attempt's timeout; this is checked at the write;
- an owner that has restarted neither uses nor lends units until the loans of its earlier start have certainly
  ended, and until another owner has announced that the split of this node is in force;
- while a split changes, each owner uses the smaller number of units of both splits, until every owner of the
  previous split has shrunk to that.

`now` is the node's own clock in seconds; it never jumps, and its rate may deviate by the configured drift.
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

# A lease's term as a multiple of the longest request time; so a lease is usable for half its term unrenewed.
LEASE_TERM_FACTOR = 2.0


class LeaseTiming(NamedTuple):
    """The parameters that determine the terms of leases."""

    clock_drift: float  # share by which a clock's rate may deviate
    request_time_max: float  # s

    @property
    def term(self) -> float:
        """Seconds that a lease lasts by its borrower's clock."""
        return LEASE_TERM_FACTOR * self.request_time_max

    @property
    def clock_stretch(self) -> float:
        """The seconds that an owner's clock may count in one second of a borrower's."""
        # The borrower's clock may run slow and the owner's fast, each by the drift.
        return (1 + self.clock_drift) / (1 - self.clock_drift)


class Quotas:
    """One node's part in all quotas of its fleet.

    Args:
        me: This start of this node.
        plans: The quotas as configured.
        timing: The parameters that determine the terms of leases.
        seed: For the random choice between owners.
        now: The node's clock (s).
    """

    def __init__(self, me: Sender, plans: Sequence[Plan], timing: LeaseTiming, seed: int, now: float) -> None:
        self._me = me
        self.lease_term = timing.term
        self.lender = Lender(self.lease_term, timing.clock_stretch)
        self.borrower = Borrower(self.lease_term, Random(f"limits {seed}"))
        self.states: dict[str, QuotaState] = {}
        self.apply_plans(now, plans)

    def apply_plans(self, now: float, plans: Sequence[Plan]) -> None:
        """Apply a new configuration of all quotas; if an error is raised, no quota is changed.

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
        """Restart the quarantine, as an earlier process of this node may have lent units until now.

        To be called when this process has bound the node's address, which only one process can have.
        """
        for state in self.states.values():
            state.quarantine_ends = self.lender.loan_end(now)

    def acquire(self, now: float, quota: str, until: float) -> Permit | None:
        """Acquire a permit for an attempt that times out at `until`; None if no unit is free."""
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
            lease = max(usable, key=lambda lease: lease.end, default=None)
            if lease is None:
                return None
            lease.in_use += 1
            lease.peak = max(lease.peak, lease.in_use)
            permit = Permit(state, lease, until)
        state.track_permit(permit)
        return permit

    def extend(self, now: float, permit: Permit, until: float) -> bool:
        """Return whether a permit is valid until then, and extend it if so; to be called at each write."""
        # Guards against a process that was paused between acquiring the permit and writing the attempt.
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
        """Let the permit of an unanswered attempt expire at `until`; its endpoint may go on until then."""
        if permit.live and until < permit.expires_at:
            permit.expires_at = until
            permit.state.track_permit(permit)

    def set_waiting(self, now: float, quota: str, waiting: int) -> list[OutgoingMessage]:
        """Set how many requests of this node wait for a unit, and borrow units for them."""
        state = self.states[quota]
        state.waiting = waiting
        if not waiting:
            return self.borrower.withdraw_requests(state)
        return self.lender.serve_queue(state, now) + self.borrower.request_lease(state, now)

    def may_be_granted(self, quota: str) -> bool:
        """Return whether waiting requests may still get a unit; if not, they are rejected at once."""
        state = self.states[quota]
        owns = state.phase is not Phase.STARTING and state.plan.split.owned_by(self._me.name) > 0
        return owns or any(not lease.granted for lease in state.leases.values())

    def retry_after(self, now: float, quota: str) -> float:
        """Return the estimated seconds until a unit is free for this node."""
        return self.states[quota].retry_after(now)

    @property
    def faults(self) -> list[FleetError]:
        """The errors that an on-call operator has to resolve before this node may use its units."""
        return [state.fault for state in self.states.values() if state.fault is not None]

    def receive(self, now: float, sender: Sender, message: Message) -> list[OutgoingMessage]:
        """Process another node's message, and return the messages to send."""
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
        """Do what is due in a fleet of `nodes` nodes; to be called every 20 to 100 ms."""
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
        """Return the statistics of one quota for the admin API."""
        state = self.states[quota]
        state.expire(now)
        return state.stats(now)

    @property
    def names(self) -> list[str]:
        """The names of all quotas."""
        return list(self.states)
