"""One node's state of one quota: its plan, own units, loans, leases and permits. Pure."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from notchjunction.errors import FleetError
from notchjunction.fleet.quotas.loan import Loan, LoanKey, QueuedLeaseRequest
from notchjunction.fleet.quotas.phase import Phase
from notchjunction.fleet.quotas.plan import Plan, QuotaOverspentError

REQUEST_QUEUED_S = 0.2  # an owner queues a request for so long; less than the borrower waits
RELEASES_KEPT = 8  # latest releases of units, from which the next one is estimated
RETRY_AFTER_MIN_S = 0.05  # the shortest estimate of the time until a unit is free
RETRY_AFTER_MAX_S = 5.0  # the longest one; rather than wait longer a client should send its request again


@dataclass(slots=True, eq=False)
class Lease:
    """Units that this node has borrowed; it may use them until `end` (s, own clock)."""

    owner: str
    serial: int
    requested: int
    requested_at: float
    rounds: dict[int, float]  # when each of the latest renewals was first requested, by number
    round: int = 0
    sent_at: float = 0.0
    granted: bool = False
    count: int = 0
    end: float = -math.inf
    in_use: int = 0
    peak: int = 0  # the most units in use at once since the last review
    reviewed_at: float = 0.0
    recall_keep: int = 0  # units that waiting requests may keep, by the owner's last recall
    recalled_until: float = -math.inf

    def idle(self, now: float) -> int:
        """Return the number of units that are valid and not in use."""
        return self.count - self.in_use if now < self.end else 0


@dataclass(slots=True, eq=False)
class Permit:
    """One unit in use; it is freed automatically at `expires_at` (s, own clock)."""

    # Guards against a unit that is returned to another quota: its own one may have been removed and added
    # again.
    state: QuotaState
    lease: Lease | None  # None for an own unit
    expires_at: float
    live: bool = True


class QuotaStats(NamedTuple):
    """Statistics of a quota at one node, in units and seconds. The names are keys in /control/fleet."""

    owned: int  # own units that may be used or lent now
    in_use: int
    lent: int
    borrowed: int
    quarantined_for: float
    revision: int
    settled: bool
    age: float | None  # since the least recent of all owners' last messages; None if one has sent none


class OwnerDenial(NamedTuple):
    """An owner's last denial; both fields are moments (s, own clock)."""

    received_at: float
    free_at: float


class OwnerPhase(NamedTuple):
    """The split and phase that another owner announced last."""

    revision: int
    phase: int


@dataclass(slots=True, eq=False)
class QuotaState:
    """The state of one quota at the node with the name `node`."""

    node: str
    plan: Plan
    quarantine_ends: float
    phase: Phase = Phase.STARTING
    own_in_use: int = 0
    lent: int = 0
    reserved: deque[float] = field(default_factory=deque)  # expiry of units for own waiting requests
    loans: dict[LoanKey, Loan] = field(default_factory=dict)
    loan_ends: list[tuple[float, LoanKey]] = field(default_factory=list)  # a heap; renewed loans end later
    queue: deque[QueuedLeaseRequest] = field(default_factory=deque)
    leases: dict[int, Lease] = field(default_factory=dict)
    permits: list[tuple[float, int, Permit]] = field(default_factory=list)  # a heap by expiry
    permit_entries: int = 0  # entries ever put on that heap; makes its order total
    waiting: int = 0  # requests of this node that wait for a unit
    denials: dict[str, OwnerDenial] = field(default_factory=dict)  # by owner
    owner_phases: dict[str, OwnerPhase] = field(default_factory=dict)  # by owner
    last_message_at: dict[str, float] = field(default_factory=dict)  # by owner
    released_at: deque[float] = field(default_factory=lambda: deque(maxlen=RELEASES_KEPT))
    announced_at: float = -math.inf
    polled_at: float = -math.inf  # when an owner was last asked for its phase
    polls: int = 0
    fault: FleetError | None = None

    def usable(self) -> int:
        """Return the number of own units that may be in use or lent now."""
        if self.phase is Phase.STARTING:
            return 0
        new, before = self.plan.split.owned_by(self.node), self.plan.before
        if self.phase is Phase.GROWN or before is None:
            return new
        # Guards against units of both splits that are in use at once.
        return min(new, before.owned_by(self.node))

    def free(self) -> int:
        """Return the number of own units not in use, lent or reserved; negative while the split shrinks."""
        return self.usable() - self.own_in_use - self.lent - len(self.reserved)

    def use_own(self, count: int = 1, lend: bool = False) -> None:
        """Mark own units as in use or lent; no other method does this.

        Raises:
            QuotaOverspentError: Fewer units are free.
        """
        if self.own_in_use + self.lent + len(self.reserved) + count > self.usable():
            raise QuotaOverspentError(
                "more units in use than owned", f"fleet.limits {self.plan.name}", "report it as a defect"
            )
        if lend:
            self.lent += count
        else:
            self.own_in_use += count

    def is_owner(self) -> bool:
        """Return whether this node is an owner in the split or in the previous one."""
        before = self.plan.before
        return self.node in self.plan.split.owners or (before is not None and self.node in before.owners)

    def other_owners(self) -> list[str]:
        """Return the owners in this and the previous split, without this node and those stopped for good."""
        before = self.plan.before
        names = {**(before.owners if before else {}), **self.plan.split.owners}
        ended = before.ended if before else ()
        return [name for name in sorted(names) if name != self.node and name not in ended]

    def track_permit(self, permit: Permit) -> None:
        """Register a permit, so that it is freed at its expiry."""
        self.permit_entries += 1
        heapq.heappush(self.permits, (permit.expires_at, self.permit_entries, permit))

    def free_permit(self, permit: Permit, now: float) -> None:
        """End a live permit, so that its unit may be used again."""
        permit.live = False
        self.released_at.append(now)
        if permit.lease is not None:
            permit.lease.in_use -= 1
        else:
            self.own_in_use -= 1

    def add_loan(self, loan: Loan) -> None:
        """Store a loan until it ends."""
        self.loans[loan.key] = loan
        heapq.heappush(self.loan_ends, (loan.ends, loan.key))

    def expire(self, now: float) -> None:
        """Free the units whose permit, reservation or loan has ended."""
        while self.permits and self.permits[0][0] <= now:
            _, entry, permit = heapq.heappop(self.permits)
            if permit.live and permit.expires_at > now:
                heapq.heappush(self.permits, (permit.expires_at, entry, permit))
            elif permit.live:
                self.free_permit(permit, now)
        while self.reserved and self.reserved[0] <= now:
            self.reserved.popleft()
        while self.loan_ends and self.loan_ends[0][0] <= now:
            _, key = heapq.heappop(self.loan_ends)
            loan = self.loans[key]
            if loan.ends > now:
                heapq.heappush(self.loan_ends, (loan.ends, key))
            else:
                self.lent -= self.loans.pop(key).count

    def release_interval(self) -> float:
        """Return the estimated seconds until a unit is released for a new request.

        This is the median interval between the latest releases, and as much for each request ahead in the
        queue.
        """
        gaps = sorted(later - earlier for earlier, later in itertools.pairwise(self.released_at))
        if not gaps:
            return RETRY_AFTER_MAX_S
        median = gaps[len(gaps) // 2]
        # Requests that are queued for too long are denied, so they do not delay a new one.
        return median + min(REQUEST_QUEUED_S, median * len(self.queue))

    def own_retry_after(self) -> float:
        """Return the estimated seconds until an own unit is free, as sent to borrowers."""
        return clamp_retry_after(self.release_interval()) if self.usable() > 0 else RETRY_AFTER_MAX_S

    def retry_after(self, now: float) -> float:
        """Return the estimated seconds until this node may get a unit, its own or another owner's."""
        others = [max(0.0, denial.free_at - now) for denial in self.denials.values()]
        own = self.release_interval() if self.usable() > 0 or self.leases else RETRY_AFTER_MAX_S
        if self.phase is Phase.STARTING and self.plan.split.owned_by(self.node) > 0:
            own = max(RETRY_AFTER_MIN_S, self.quarantine_ends - now)
        return clamp_retry_after(min([own, *others]))

    def stats(self, now: float) -> QuotaStats:
        """Return the quota's statistics for the admin API."""
        leases = self.leases.values()
        owners = self.other_owners()
        times = [at for at in map(self.last_message_at.get, owners) if at is not None]
        age = None if len(times) < len(owners) else max((now - at for at in times), default=0.0)
        return QuotaStats(
            owned=self.usable(),
            in_use=self.own_in_use + sum(lease.in_use for lease in leases),
            lent=self.lent,
            borrowed=sum(lease.count for lease in leases if now < lease.end),
            quarantined_for=max(0.0, self.quarantine_ends - now) if self.phase is Phase.STARTING else 0.0,
            revision=self.plan.split.revision,
            settled=self.phase is Phase.GROWN,
            age=age,
        )


def clamp_retry_after(seconds: float) -> float:
    """Limit an estimate to the range that is sent to borrowers and clients."""
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, seconds))
