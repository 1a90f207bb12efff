"""Hard limits that hold for the whole fleet: rights, each owned by one node, and lent for a time. Pure.

A limit bounds the dispatches that are out over all nodes at any moment. A dispatch is out from its writing
until it is answered, or the time that its server was told is over, whichever is first. The operator's file
says who owns how many rights; their sum is the limit. An owner alone decides on its rights, so nothing has
to be agreed, and no acknowledgement is needed for safety, only for use:

- a borrower counts a lease's time from its asking, its owner from the granting and longer by what clocks
  may drift;
- a dispatch is written only under a right that lasts until the dispatch's time is over, asked for at the
  writing;
- an owner that has started anew neither spends nor lends until whatever its earlier start lent has surely
  ended, and until another owner has told it that the split it knows is the one in force;
- a changed split only shrinks until every owner of the one before has settled to the smaller of the two.

`now` is the node's own clock in seconds; it never jumps, and may run off by `drift`.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from random import Random
from typing import NamedTuple

import msgspec

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import Out, Sender

# Constants: unit, and why this size.
TERM_TIMES = (
    2.0  # times the longest time of a job that a lease lasts: it can be spent for half of it, unrenewed
)
RENEW_SHARE = (
    0.25  # of a lease's time after which it is renewed; several tries are left before it can't be spent
)
RENEW_PAUSE = 0.25  # s between those tries; short against any lease
ASK_WITHIN = 0.25  # s that a job may wait for a right in all; short against any contract time
ASK_NEXT = 0.03  # s without a grant after which another owner is asked too; some round trips
ASK_AGAIN = 0.1  # s after which the same owner is asked once more, as the ask or its answer may be lost
HOLD = 0.2  # s that an owner keeps an ask that it can't grant yet; under what the borrower waits
REFUSED_SPAN = 0.05  # s that an owner which refused is not asked again
ROUNDS_KEPT = 8  # last tries whose answers still count; two seconds of them
QUEUE_MOST = 1024  # asks that wait at an owner; more nodes than are promised
LOANS_MOST = 16384  # leases an owner remembers, most of them closed; past that the oldest asks are refused
IDLE_KEEP = 0.2  # s in which a right that was not used is given back; a few jobs' time
WISH_SPAN = 0.5  # s that an owner's wish for rights back counts; then its need may be over
RECALL_PAUSE = 0.05  # s between wishes to one borrower
RESERVE_SPAN = 0.1  # s that a right stays set aside for the owner's own waiting job
STANDING_EVERY = 1.0  # s between an owner's words on a split that is being changed, or on its own start
HEARD_EVERY = 5.0  # s in which each owner is asked how it stands, in a small fleet; for `age` alone
HEARD_NODE = 0.1  # s of that more for each node, so that an owner answers ten in a second, however many ask
FREES_KEPT = 8  # last moments at which rights came free, by which it is told when the next one may
FREE_LEAST = 0.05  # s told at least until a right may come free
FREE_MOST = 5.0  # s told at most; a client that waits longer had better ask again


class NotSettled(FleetError):
    """The split before this one may still be spent somewhere."""


class OtherSplit(FleetError):
    """A split that does not follow the one in force."""


class OldSplit(FleetError):
    """Another owner knows of a later split than this node started with."""


class OverSpent(FleetError):
    """More rights are out than owned: a defect of the program's own."""


# Messages. `serial` is the borrower's number of a lease, `round` counts its renewals.


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=20):
    limit: str
    serial: int
    round: int
    count: int


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=21):
    limit: str
    serial: int
    round: int
    count: int
    term: float  # s


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=22):
    limit: str
    serial: int
    free_in: float  # s until a right may come free there


class GiveBack(msgspec.Struct, frozen=True, array_like=True, tag=23):
    limit: str
    serial: int
    left: int  # rights that the borrower keeps; never more than before


class Recall(msgspec.Struct, frozen=True, array_like=True, tag=24):
    limit: str
    serial: int
    count: int  # rights that the owner takes for lent
    wish: int  # rights that its own waiting jobs may keep; all else that is idle is wanted back


class Standing(msgspec.Struct, frozen=True, array_like=True, tag=25):
    limit: str
    revision: int
    phase: int  # of the sender's split; see Phase
    asks: bool  # whether the receiver's own is asked for


Message = Ask | Grant | Refuse | GiveBack | Recall | Standing


@dataclass(frozen=True, slots=True)
class Split:
    """Who owns how many rights; `ended`: owners that an operator says are stopped for good."""

    revision: int
    owners: Mapping[str, int]
    ended: tuple[str, ...] = ()

    def of(self, name: str) -> int:
        return self.owners.get(name, 0)

    @property
    def most(self) -> int:
        return sum(self.owners.values())


@dataclass(frozen=True, slots=True)
class Plan:
    """A limit as the file has it; `before`: the split that it follows, until that has settled everywhere."""

    name: str
    split: Split
    before: Split | None = None


@dataclass(slots=True, eq=False)
class Lease:
    """Rights that this node has borrowed; it may spend them until `end` (s, own clock)."""

    owner: str
    serial: int
    asked: int
    asked_at: float
    rounds: dict[int, float]  # when each was first asked for; the last few
    round: int = 0
    sent_at: float = 0.0
    held: bool = False
    count: int = 0
    end: float = -math.inf
    in_use: int = 0
    peak: int = 0  # most in use since the last look
    looked_at: float = 0.0
    wish: int = 0
    wish_until: float = -math.inf

    def idle(self, now: float) -> int:
        return self.count - self.in_use if now < self.end else 0


@dataclass(slots=True, eq=False)
class Permit:
    """One right, spent; `until` (s, own clock) is when it frees itself if nobody does."""

    side: Side  # guards against a right that is given back to a limit which went and came again since
    lease: Lease | None  # none: an own right
    until: float
    live: bool = True


class Figures(NamedTuple):
    """One limit at one node; counts are rights, times are seconds."""

    owned: int  # that may be spent or lent now
    in_use: int
    lent: int
    borrowed: int
    quarantined_for: float
    revision: int
    settled: bool
    age: float | None  # since the word of the owner that was silent for longest; none: one was never heard


# The owner's side of a lease.


class Loaned(Enum):
    NONE = auto()
    LENT = auto()
    CLOSED = auto()  # given back; remembered as long as it could have lasted, as older words may still come


class Said(Enum):
    ASKED = auto()
    ASKED_ANEW = auto()  # another round
    GAVE_SOME = auto()
    GAVE_ALL = auto()


class Do(Enum):
    GRANT_OR_HOLD = auto()
    GRANT_AGAIN = auto()
    RENEW = auto()
    LOWER = auto()
    CLOSE = auto()
    REFUSE = auto()
    NOTHING = auto()


class LoanRow(NamedTuple):
    state: Loaned
    said: Said
    then: Loaned
    effect: Do


LOAN_TABLE = (
    LoanRow(Loaned.NONE, Said.ASKED, Loaned.NONE, Do.GRANT_OR_HOLD),
    # Guards against a renewal of what is no longer lent: the borrower's time may be over here.
    LoanRow(Loaned.NONE, Said.ASKED_ANEW, Loaned.NONE, Do.REFUSE),
    LoanRow(Loaned.NONE, Said.GAVE_SOME, Loaned.NONE, Do.NOTHING),
    # Guards against an ask that comes after its own giving back: it would be lent to nobody for a term.
    LoanRow(Loaned.NONE, Said.GAVE_ALL, Loaned.CLOSED, Do.CLOSE),
    # Guards against lending twice for one ask that came twice.
    LoanRow(Loaned.LENT, Said.ASKED, Loaned.LENT, Do.GRANT_AGAIN),
    LoanRow(Loaned.LENT, Said.ASKED_ANEW, Loaned.LENT, Do.RENEW),
    LoanRow(Loaned.LENT, Said.GAVE_SOME, Loaned.LENT, Do.LOWER),
    LoanRow(Loaned.LENT, Said.GAVE_ALL, Loaned.CLOSED, Do.CLOSE),
    LoanRow(Loaned.CLOSED, Said.ASKED, Loaned.CLOSED, Do.REFUSE),
    LoanRow(Loaned.CLOSED, Said.ASKED_ANEW, Loaned.CLOSED, Do.REFUSE),
    LoanRow(Loaned.CLOSED, Said.GAVE_SOME, Loaned.CLOSED, Do.NOTHING),
    LoanRow(Loaned.CLOSED, Said.GAVE_ALL, Loaned.CLOSED, Do.NOTHING),
)
LOAN_ROWS = {(row.state, row.said): row for row in LOAN_TABLE}

Key = tuple[str, int, int]  # borrower, its start, the serial


@dataclass(slots=True, eq=False)
class Loan:
    """Rights that this node has lent, until `ends` (s, own clock)."""

    borrower: Sender
    serial: int
    count: int
    round: int
    ends: float
    state: Loaned = Loaned.LENT
    recalled_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class Held:
    """An ask that waits for a right to come free."""

    sender: Sender
    serial: int
    count: int
    since: float


# A split's change.


class Phase(IntEnum):
    STARTING = auto()  # nothing is spent: what an earlier start lent may be out, or the split be an old one
    SHRINKING = auto()  # what is out is still more than the smaller of both splits
    SHRUNK = auto()  # told to all; waits for the others
    GROWN = auto()  # the split is in force here


class Seen(Enum):
    WAITED = auto()  # the earlier start's rights are surely over, and another owner vouches for the split
    FITS = auto()  # what is out fits the smaller split
    ALL = auto()  # every owner of the split before has settled
    CHANGED = auto()  # the file has a new split


class PhaseRow(NamedTuple):
    phase: Phase
    seen: Seen
    then: Phase


PHASE_TABLE = (
    PhaseRow(Phase.STARTING, Seen.WAITED, Phase.SHRINKING),
    PhaseRow(Phase.SHRINKING, Seen.FITS, Phase.SHRUNK),
    PhaseRow(Phase.SHRUNK, Seen.ALL, Phase.GROWN),
    PhaseRow(Phase.GROWN, Seen.CHANGED, Phase.SHRINKING),
)
PHASE_ROWS = {(row.phase, row.seen): row.then for row in PHASE_TABLE}


@dataclass(slots=True, eq=False)
class Side:
    """All that one node knows of one limit."""

    plan: Plan
    quarantine_ends: float
    phase: Phase = Phase.STARTING
    own_use: int = 0
    lent: int = 0
    reserved: deque[float] = field(default_factory=deque)  # until when, of rights for own waiting jobs
    loans: dict[Key, Loan] = field(default_factory=dict)
    loan_ends: list[tuple[float, Key]] = field(default_factory=list)  # a heap; an end may have moved since
    queue: deque[Held] = field(default_factory=deque)
    leases: dict[int, Lease] = field(default_factory=dict)
    permits: list[tuple[float, int, Permit]] = field(default_factory=list)  # a heap by time
    wanted: int = 0  # own jobs that wait for a right
    refused: dict[str, tuple[float, float]] = field(default_factory=dict)  # by owner: when, and free from
    standings: dict[str, tuple[int, int]] = field(default_factory=dict)  # by owner: revision, phase
    heard: dict[str, float] = field(default_factory=dict)  # by owner: when last
    frees: deque[float] = field(default_factory=lambda: deque(maxlen=FREES_KEPT))
    spoke_at: float = -math.inf
    asked_at: float = -math.inf  # when an owner was last asked how it stands
    asked: int = 0
    fault: FleetError | None = None


class Quotas:
    """One node's part in all hard limits. `longest`: s that a job's time may be at most."""

    def __init__(
        self,
        me: Sender,
        plans: Sequence[Plan],
        drift: float,
        longest: float,
        seed: int,
        now: float,
    ) -> None:
        self._me = me
        self._random = Random(f"limits {seed}")
        self.term = TERM_TIMES * longest
        # The borrower's clock may run slow and the owner's fast: both by `drift` against true time.
        self._stretch = (1 + drift) / (1 - drift)
        self._serial = 0
        self._spent = 0
        self._sides: dict[str, Side] = {}
        self.replan(now, plans)

    # The plans.

    def replan(self, now: float, plans: Sequence[Plan]) -> None:
        """Takes the file's limits as they are now, all of them or, with NotSettled or OtherSplit, none."""
        for plan in plans:
            if (side := self._sides.get(plan.name)) is not None:
                self._check_follows(side, plan)
        found: dict[str, Side] = {}
        for plan in plans:
            side = self._sides.get(plan.name)
            if side is None:
                # A limit that is new here may have been known to an earlier start.
                side = Side(plan, self._loan_end(now))
            elif plan.split.revision != side.plan.split.revision:
                side.phase = PHASE_ROWS[side.phase, Seen.CHANGED]
                side.standings.clear()
            side.plan = plan
            found[plan.name] = side
        self._sides = found

    def _check_follows(self, side: Side, plan: Plan) -> None:
        known = side.plan
        same = plan.split.revision == known.split.revision
        where = f"fleet.limits {plan.name}"
        other = same and plan.split.owners != known.split.owners
        if same and plan.before is not None and known.before is not None:
            other = other or plan.before.owners != known.before.owners
        if other:
            raise OtherSplit(
                f"revision {plan.split.revision} has other owners",
                where,
                "give the changed split the next revision",
            )
        if same and plan.before is None and known.before is not None and side.phase is not Phase.GROWN:
            raise NotSettled(
                "`before` is left out too early",
                where,
                "keep it until every owner shows the limit as settled",
            )
        if same:
            return
        follows = plan.before is not None and plan.split.revision == known.split.revision + 1
        if not follows or plan.before is None or plan.before.owners != known.split.owners:
            raise OtherSplit(
                f"revision {plan.split.revision} does not follow {known.split.revision}",
                where,
                "put the split in force under `before`, and count one on from its revision",
            )
        if side.phase is not Phase.GROWN:
            raise NotSettled(
                f"revision {known.split.revision} has not settled",
                where,
                "wait until every owner shows it as settled, or name those stopped for good under `ended`",
            )

    def begin(self, now: float) -> None:
        """The node has its address alone from now on; what an earlier process lent may last from here."""
        for side in self._sides.values():
            side.quarantine_ends = self._loan_end(now)

    # Spending.

    def spend(self, now: float, limit: str, until: float) -> Permit | None:
        """One right for a dispatch whose time is over at `until`; none where there is none on hand."""
        side = self._sides[limit]
        self._expire(side, now)
        permit: Permit | None = None
        free = self._free(side)
        # Guards against a right that was set aside under a split that has shrunk since.
        if (side.reserved and free >= 0) or (free > 0 and not side.queue):
            if side.reserved:
                side.reserved.popleft()
            self._take_own(side, now)
            permit = Permit(side, None, until)
        else:
            fit = [lease for lease in side.leases.values() if lease.end >= until and lease.idle(now) > 0]
            lease = max(fit, key=lambda each: each.end, default=None)
            if lease is None:
                return None
            lease.in_use += 1
            lease.peak = max(lease.peak, lease.in_use)
            permit = Permit(side, lease, until)
        self._spent += 1
        heapq.heappush(side.permits, (until, self._spent, permit))
        return permit

    def extend(self, now: float, permit: Permit, until: float) -> bool:
        """Whether the right is still this permit's, now and until then; to be asked at each writing."""
        # Guards against a process that was paused between taking a right and writing under it.
        if not permit.live or now >= permit.until:
            return False
        if permit.lease is not None and permit.lease.end < until:
            return False
        permit.until = max(permit.until, until)
        return True

    def release(self, now: float, permit: Permit) -> list[Out]:
        """Its dispatch is out no more; a second call changes nothing."""
        side = permit.side
        if not permit.live:
            return []
        self._free_permit(side, permit, now)
        lease = permit.lease
        if lease is not None and now < lease.wish_until:
            return self._heed(side, lease)
        return self._serve_queue(side, now)

    def hold(self, permit: Permit, until: float) -> None:
        """Its dispatch ended without an answer: its server may work on it until then, so it stays out."""
        if permit.live and until < permit.until:
            permit.until = until
            self._spent += 1
            heapq.heappush(permit.side.permits, (until, self._spent, permit))

    def _free_permit(self, side: Side, permit: Permit, now: float) -> None:
        permit.live = False
        side.frees.append(now)
        if permit.lease is not None:
            permit.lease.in_use -= 1
        else:
            side.own_use -= 1

    def _take_own(self, side: Side, now: float, count: int = 1, lend: bool = False) -> None:
        """The one place where own rights go out."""
        if side.own_use + side.lent + len(side.reserved) + count > self._cap(side):
            raise OverSpent(
                "more rights out than owned", f"fleet.limits {side.plan.name}", "report it as a defect"
            )
        if lend:
            side.lent += count
        else:
            side.own_use += count

    def _cap(self, side: Side) -> int:
        """Own rights that may be out now."""
        if side.phase is Phase.STARTING:
            return 0
        new, before = side.plan.split.of(self._me.name), side.plan.before
        if side.phase is Phase.GROWN or before is None:
            return new
        # Guards against both splits being spent at once.
        return min(new, before.of(self._me.name))

    def _free(self, side: Side) -> int:
        return self._cap(side) - side.own_use - side.lent - len(side.reserved)

    # Seeking.

    def seek(self, now: float, limit: str, waiting: int) -> list[Out]:
        """So many own jobs wait for a right; 0 where none does any more."""
        side = self._sides[limit]
        side.wanted = waiting
        if not waiting:
            return self._give_up(side, lambda lease: True)
        return self._serve_queue(side, now) + self._ask_on(side, now)

    def seeking(self, limit: str) -> bool:
        """Whether a right may still come for those who wait; where not, they are turned back at once."""
        side = self._sides[limit]
        owns = side.phase is not Phase.STARTING and side.plan.split.of(self._me.name) > 0
        return owns or any(not lease.held for lease in side.leases.values())

    def free_in(self, now: float, limit: str) -> float:
        """s until a right may come free for this node, by what it and the owners have seen."""
        side = self._sides[limit]
        told = [max(0.0, free_at - now) for _, free_at in side.refused.values()]
        own = self._gap(side, now) if self._cap(side) > 0 or side.leases else FREE_MOST
        if side.phase is Phase.STARTING and side.plan.split.of(self._me.name) > 0:
            own = max(FREE_LEAST, side.quarantine_ends - now)
        return min(FREE_MOST, max(FREE_LEAST, min([own, *told])))

    def _gap(self, side: Side, now: float) -> float:
        """Middle time between the last rights that came free, for each ask that waits."""
        gaps = sorted(
            later - earlier for earlier, later in zip(side.frees, list(side.frees)[1:], strict=False)
        )
        if not gaps:
            return FREE_MOST
        # Those who wait for longer than an ask is kept are turned back, and are not ahead of who comes later.
        return gaps[len(gaps) // 2] + min(HOLD, gaps[len(gaps) // 2] * len(side.queue))

    @property
    def faults(self) -> list[FleetError]:
        """What an operator has to mend before this node may spend what it owns."""
        return [side.fault for side in self._sides.values() if side.fault is not None]

    def _owners(self, side: Side) -> list[str]:
        """All owners of the split, and of the one before, but this node and those stopped for good."""
        before = side.plan.before
        names = {**(before.owners if before else {}), **side.plan.split.owners}
        ended = before.ended if before else ()
        return [name for name in sorted(names) if name != self._me.name and name not in ended]

    def _ask_on(self, side: Side, now: float) -> list[Out]:
        """Asks one more owner where those asked have said nothing yet."""
        if not side.wanted:
            return []
        pending = [lease for lease in side.leases.values() if not lease.held]
        if pending and now - max(lease.asked_at for lease in pending) < ASK_NEXT:
            return []
        asked = {lease.owner for lease in pending}
        lately = {name for name, (at, _) in side.refused.items() if now - at < REFUSED_SPAN}
        may = [name for name in self._owners(side) if name not in asked and name not in lately]
        if not may:
            return []
        owner = self._random.choice(may)
        self._serial += 1
        count = max(1, side.wanted)
        lease = Lease(owner, self._serial, count, now, {0: now}, sent_at=now, looked_at=now)
        side.leases[self._serial] = lease
        return [Out(owner, Ask(side.plan.name, lease.serial, 0, count))]

    # Words.

    def hear(self, now: float, sender: Sender, message: Message) -> list[Out]:
        """What another node says."""
        side = self._sides.get(message.limit)
        if side is None:
            return []
        self._expire(side, now)
        if sender.name in side.plan.split.owners:
            side.heard[sender.name] = now
        match message:
            case Ask(serial=serial, round=turn):
                loan = side.loans.get((sender.name, sender.start, serial))
                fresh = turn == 0 if loan is None else turn <= loan.round
                return self._on_loan(
                    side, now, sender, loan, Said.ASKED if fresh else Said.ASKED_ANEW, message
                )
            case GiveBack(serial=serial, left=left):
                loan = side.loans.get((sender.name, sender.start, serial))
                return self._on_loan(
                    side, now, sender, loan, Said.GAVE_SOME if left > 0 else Said.GAVE_ALL, message
                )
            case Grant():
                return self._on_grant(side, now, sender, message)
            case Refuse(serial=serial, free_in=free_in):
                side.refused[sender.name] = (now, now + free_in)
                lease = side.leases.get(serial)
                if lease is not None and lease.owner == sender.name and not lease.held:
                    del side.leases[serial]
                return self._ask_on(side, now)
            case Recall(serial=serial, count=count, wish=wish):
                lease = side.leases.get(serial)
                if lease is None or lease.owner != sender.name:
                    # Guards against rights that nobody holds: the word that gave them back was lost.
                    return [Out(sender.name, GiveBack(message.limit, serial, 0))]
                if not lease.held:
                    return []
                lease.wish, lease.wish_until = wish, now + WISH_SPAN
                told = self._heed(side, lease)
                if lease.count < count and not told:
                    return [Out(sender.name, GiveBack(message.limit, serial, lease.count))]
                return told
            case Standing():
                return self._on_standing(side, sender, message)

    def _on_loan(
        self, side: Side, now: float, sender: Sender, loan: Loan | None, said: Said, message: Ask | GiveBack
    ) -> list[Out]:
        row = LOAN_ROWS[Loaned.NONE if loan is None else loan.state, said]
        name, serial = side.plan.name, message.serial
        if loan is not None:
            loan.state = row.then
        match row.effect:
            case Do.GRANT_OR_HOLD:
                assert isinstance(message, Ask)
                # Guards against memory without bound, whoever asks how often.
                if len(side.queue) >= QUEUE_MOST or len(side.loans) >= LOANS_MOST:
                    return [Out(sender.name, Refuse(name, serial, FREE_MOST))]
                held = Held(sender, serial, max(1, message.count), now)
                if not any((each.sender, each.serial) == (sender, serial) for each in side.queue):
                    side.queue.append(held)
                return self._serve_queue(side, now)
            case Do.GRANT_AGAIN:
                assert loan is not None
                return [Out(sender.name, Grant(name, serial, loan.round, loan.count, self.term))]
            case Do.RENEW:
                assert loan is not None and isinstance(message, Ask)
                # The end moves before the borrower can know of it.
                loan.round, loan.ends = message.round, self._loan_end(now)
                return [Out(sender.name, Grant(name, serial, loan.round, loan.count, self.term))]
            case Do.LOWER | Do.CLOSE:
                assert isinstance(message, GiveBack)
                if loan is None:
                    self._note_loan(side, Loan(sender, serial, 0, 0, self._loan_end(now), Loaned.CLOSED))
                    side.queue = deque(
                        each for each in side.queue if (each.sender, each.serial) != (sender, serial)
                    )
                    return []
                left = min(loan.count, max(0, message.left))
                if loan.count > left:
                    side.frees.append(now)
                side.lent -= loan.count - left
                loan.count = left
                return self._serve_queue(side, now)
            case Do.REFUSE:
                return [Out(sender.name, Refuse(name, serial, self._free_in_here(side, now)))]
            case Do.NOTHING:
                return []

    def _loan_end(self, now: float) -> float:
        """When rights that are lent now are surely free again, whatever the borrower's clock says."""
        return now + self.term * self._stretch

    def _note_loan(self, side: Side, loan: Loan) -> None:
        key = (loan.borrower.name, loan.borrower.start, loan.serial)
        side.loans[key] = loan
        heapq.heappush(side.loan_ends, (loan.ends, key))

    def _free_in_here(self, side: Side, now: float) -> float:
        if self._cap(side) <= 0:
            return FREE_MOST
        return min(FREE_MOST, max(FREE_LEAST, self._gap(side, now)))

    def _serve_queue(self, side: Side, now: float) -> list[Out]:
        """Gives what is free to those who wait; wishes for more where it is not enough."""
        outs: list[Out] = []
        while (free := self._free(side)) > 0:
            held = self._next(side)
            if held is None and side.wanted <= len(side.reserved):
                break
            if held is None:
                side.reserved.append(now + RESERVE_SPAN)
                continue
            side.queue.remove(held)
            count = min(held.count, free)
            self._take_own(side, now, count, lend=True)
            self._note_loan(side, Loan(held.sender, held.serial, count, 0, self._loan_end(now)))
            outs.append(Out(held.sender.name, Grant(side.plan.name, held.serial, 0, count, self.term)))
        if self._cap(side) <= 0:
            outs += self._refuse_all(side, now, lambda held: True)
        short = bool(side.queue) or side.wanted > len(side.reserved)
        return outs + (self._recall(side, now) if short else [])

    def _next(self, side: Side) -> Held | None:
        """Who gets the next right: the ask that waits longest, or none of them, as own jobs come first."""
        if side.wanted <= len(side.reserved):
            return next(iter(side.queue), None)
        # Guards against owners that lend one another what each needs itself: a cut would leave it to nobody.
        poor = [held for held in side.queue if self._owns_nothing(side, held.sender.name)]
        own_part = math.ceil(self._cap(side) / (1 + len(self._poor(side))))
        return poor[0] if poor and side.own_use + len(side.reserved) >= own_part else None

    def _owns_nothing(self, side: Side, name: str) -> bool:
        return not side.plan.split.of(name)

    def _poor(self, side: Side) -> set[str]:
        """Nodes that own no right, and have borrowed or asked for one here."""
        names = {held.sender.name for held in side.queue}
        names |= {loan.borrower.name for loan in side.loans.values() if loan.count > 0}
        return {name for name in names if self._owns_nothing(side, name)}

    def _recall(self, side: Side, now: float) -> list[Out]:
        """Wishes to all who hold a right: what is idle; and what comes free where it is over their part."""
        lent = [loan for loan in side.loans.values() if loan.count > 0]
        borrowed = Counter(loan.borrower.name for loan in lent for _ in range(loan.count))
        own = side.wanted > len(side.reserved)
        poor = self._poor(side)
        part = max(1, self._cap(side) // max(1, len(poor) + own))
        needy = own or any(self._owns_nothing(side, held.sender.name) for held in side.queue)
        outs: list[Out] = []
        for loan in lent:
            if now - loan.recalled_at >= RECALL_PAUSE:
                loan.recalled_at = now
                name = loan.borrower.name
                keeps = borrowed[name] <= part if name in poor else not needy
                wish = loan.count if keeps else 0
                outs.append(Out(name, Recall(side.plan.name, loan.serial, loan.count, wish)))
        return outs

    def _refuse_all(self, side: Side, now: float, unwanted: Callable[[Held], bool]) -> list[Out]:
        gone = [held for held in side.queue if unwanted(held)]
        side.queue = deque(held for held in side.queue if not unwanted(held))
        free_in = self._free_in_here(side, now)
        return [Out(held.sender.name, Refuse(side.plan.name, held.serial, free_in)) for held in gone]

    def _on_grant(self, side: Side, now: float, sender: Sender, grant: Grant) -> list[Out]:
        lease = side.leases.get(grant.serial)
        if lease is None or lease.owner != sender.name:
            # Guards against rights that wait a whole term at their owner for a borrower who has given up.
            return [Out(sender.name, GiveBack(grant.limit, grant.serial, 0))]
        if grant.round not in lease.rounds:
            return []
        # Guards against a grant that was long on its way: its time counts from the asking.
        lease.end = max(lease.end, lease.rounds[grant.round] + grant.term)
        if not lease.held:
            lease.held, lease.count, lease.looked_at = True, grant.count, now
        return []

    def _heed(self, side: Side, lease: Lease) -> list[Out]:
        """An owner's wish: what no own waiting job needs goes back, and what is over it as it comes free."""
        needed = min(lease.count, lease.in_use + side.wanted)
        return self._lower(side.plan.name, lease, max(lease.in_use, min(needed, lease.wish)))

    def _give_up(self, side: Side, unwanted: Callable[[Lease], bool]) -> list[Out]:
        """Asks that are not answered yet; the word frees at once what may have been granted meanwhile."""
        gone = [lease for lease in side.leases.values() if not lease.held and unwanted(lease)]
        for lease in gone:
            del side.leases[lease.serial]
        return [Out(lease.owner, GiveBack(side.plan.name, lease.serial, 0)) for lease in gone]

    def _lower(self, limit: str, lease: Lease, left: int) -> list[Out]:
        """Gives rights back: fewer here first, then the word."""
        if left >= lease.count:
            return []
        lease.count = left
        return [Out(lease.owner, GiveBack(limit, lease.serial, left))]

    def _on_standing(self, side: Side, sender: Sender, word: Standing) -> list[Out]:
        if sender.name in self._owners(side):
            side.standings[sender.name] = (word.revision, word.phase)
        if side.phase is Phase.STARTING:
            agrees = self._agrees(side, word.revision, word.phase)
            side.fault = (
                None
                if agrees
                else OldSplit(
                    f"{sender.name} goes by revision {word.revision}, this node started with "
                    f"{side.plan.split.revision}, or without its `before`",
                    f"fleet.limits {side.plan.name}",
                    "give this node the file in force, and start it again",
                )
            )
        return [Out(sender.name, self._standing(side, asks=False))] if word.asks and self._owns(side) else []

    def _standing(self, side: Side, asks: bool) -> Standing:
        return Standing(side.plan.name, side.plan.split.revision, side.phase, asks)

    def _agrees(self, side: Side, revision: int, phase: int) -> bool:
        """Whether another owner's split is the one this node started with, or the one before it."""
        before, own = side.plan.before, side.plan.split.revision
        if before is not None:
            return revision in (own, before.revision)
        return revision == own and phase not in (Phase.SHRINKING, Phase.SHRUNK)

    # Time.

    def tick(self, now: float, nodes: int = 1) -> list[Out]:
        """What is due, in a fleet of so many; to be called every 20 to 100 ms."""
        outs: list[Out] = []
        for side in self._sides.values():
            self._expire(side, now)
            outs += self._look_at_phase(side, now) + self._ask_owner(side, now, nodes)
            outs += self._refuse_all(side, now, lambda held: now - held.since > HOLD)
            outs += self._serve_queue(side, now)
            outs += self._look_at_leases(side, now)
            outs += self._ask_on(side, now)
        return outs

    def _look_at_phase(self, side: Side, now: float) -> list[Out]:
        judgements: dict[Seen, Callable[[], bool]] = {
            Seen.WAITED: lambda: (
                not self._owns(side) or (now >= side.quarantine_ends and self._vouched(side))
            ),
            Seen.FITS: lambda: side.own_use + side.lent + len(side.reserved) <= self._cap(side),
            Seen.ALL: lambda: not self._owns(side) or self._all_settled(side),
        }
        for seen, holds in judgements.items():
            then = PHASE_ROWS.get((side.phase, seen))
            if then is not None and holds():
                side.phase = then
        if not self._owns(side) or side.phase is Phase.GROWN or now - side.spoke_at < STANDING_EVERY:
            return []
        side.spoke_at = now
        return [Out(name, self._standing(side, asks=True)) for name in self._owners(side)]

    def _ask_owner(self, side: Side, now: float, nodes: int) -> list[Out]:
        """One owner after the other, so that each is heard within a bounded time while links are whole."""
        owners = self._owners(side)
        if not owners or now - side.asked_at < max(HEARD_EVERY, HEARD_NODE * nodes) / len(owners):
            return []
        side.asked_at = now
        side.asked += 1
        return [Out(owners[side.asked % len(owners)], self._standing(side, asks=True))]

    def _owns(self, side: Side) -> bool:
        """Whether this node is an owner by the split, or by the one before."""
        before = side.plan.before
        return self._me.name in side.plan.split.owners or (
            before is not None and self._me.name in before.owners
        )

    def _vouched(self, side: Side) -> bool:
        """Whether another owner has told that it goes by the same split, and none that it does not."""
        # Guards against an old file, with which a node starts while the others have gone on to another split.
        if not self._owners(side):
            return True  # a sole owner needs nobody
        told = side.standings.values()
        return bool(told) and all(self._agrees(side, revision, phase) for revision, phase in told)

    def _all_settled(self, side: Side) -> bool:
        before = side.plan.before
        if before is None:
            return True
        names = [name for name, count in before.owners.items() if count > 0 and name not in before.ended]
        others = (side.standings.get(name, (0, 0)) for name in names if name != self._me.name)
        own = side.plan.split.revision
        return all(
            revision > own or (revision == own and phase >= Phase.SHRUNK) for revision, phase in others
        )

    def _look_at_leases(self, side: Side, now: float) -> list[Out]:
        outs = self._give_up(side, lambda lease: now - lease.asked_at > ASK_WITHIN)
        name = side.plan.name
        for lease in list(side.leases.values()):
            if not lease.held:
                if now - lease.sent_at > ASK_AGAIN:
                    lease.sent_at = now
                    outs.append(Out(lease.owner, Ask(name, lease.serial, 0, lease.asked)))
                continue
            if now - lease.looked_at >= IDLE_KEEP:
                kept = max(lease.peak, lease.in_use)
                outs += self._lower(name, lease, kept)
                lease.looked_at, lease.peak = now, lease.in_use
            if lease.count == 0 or now >= lease.end:
                if lease.in_use == 0:
                    del side.leases[lease.serial]
                continue
            due = lease.end - self.term + RENEW_SHARE * self.term
            if now >= due and now - lease.sent_at >= RENEW_PAUSE:
                lease.round += 1
                lease.rounds[lease.round] = lease.sent_at = now
                lease.rounds.pop(lease.round - ROUNDS_KEPT, None)
                outs.append(Out(lease.owner, Ask(name, lease.serial, lease.round, lease.count)))
        return outs

    def _expire(self, side: Side, now: float) -> None:
        """Rights whose time is over come back, here and at their owner."""
        while side.permits and side.permits[0][0] <= now:
            _, number, permit = heapq.heappop(side.permits)
            if permit.live and permit.until > now:
                heapq.heappush(side.permits, (permit.until, number, permit))
            elif permit.live:
                self._free_permit(side, permit, now)
        while side.reserved and side.reserved[0] <= now:
            side.reserved.popleft()
        while side.loan_ends and side.loan_ends[0][0] <= now:
            _, key = heapq.heappop(side.loan_ends)
            loan = side.loans[key]
            if loan.ends > now:
                heapq.heappush(side.loan_ends, (loan.ends, key))
            else:
                side.lent -= side.loans.pop(key).count

    # Figures.

    def figures(self, now: float, limit: str) -> Figures:
        side = self._sides[limit]
        self._expire(side, now)
        leases = side.leases.values()
        owners = self._owners(side)
        heard = [side.heard.get(name) for name in owners]
        known = [at for at in heard if at is not None]
        age = None if len(known) < len(owners) else max((now - at for at in known), default=0.0)
        return Figures(
            owned=self._cap(side),
            in_use=side.own_use + sum(lease.in_use for lease in leases),
            lent=side.lent,
            borrowed=sum(lease.count for lease in leases if now < lease.end),
            quarantined_for=max(0.0, side.quarantine_ends - now) if side.phase is Phase.STARTING else 0.0,
            revision=side.plan.split.revision,
            settled=side.phase is Phase.GROWN,
            age=age,
        )

    @property
    def names(self) -> list[str]:
        return list(self._sides)
