"""What a node knows of itself: identity, message numbers, health, pauses, conflicts over its name. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import Sender

HEALTH_MAX = 8  # intervals added at most to each wait of a node whose own links or timers fail; Lifeguard's
PAUSE_S = 2.0  # between ticks after which a node was away; others may suspect it by then
AWAY_MAX_S = 10.0  # without answers, after which it may accuse; else one that is left alone stays away
RECOVERY_PEERS = 2  # that must answer a node that was away; one alone may have been paused beside it
DUPLICATE_REPORT_S = 60.0  # that a duplicate name is reported after its last sign; some of its joins
NAMESAKE_JOINS = 3  # to the address of another start of the own name, after each sign of it


class ReplacedError(FleetError):
    """A later start has this node's name."""


class DuplicateNodeNameError(FleetError):
    """Two nodes that run have one name."""


@dataclass(slots=True)
class Recovery:
    """A node's way back after a pause of `gap` s that ended at `began_at` (s, own clock)."""

    began_at: float
    gap: float
    seq: int  # of the last message before it
    answers: dict[str, None]  # who has answered a later one


class LocalNode:
    """This start of a node, `me`, at `address` ("host:port")."""

    def __init__(self, me: Sender, address: str, seed: int) -> None:
        self.me = me
        self.address = address
        self.random = Random(seed)
        self.health = 0  # 0: well; counts failures of own links or timers
        self.seq = 0  # of the last message that asks for an answer
        self.last_tick_at = math.inf
        self.recovery: Recovery | None = None
        self.namesake_address, self.namesake_joins = "", 0
        self._fault: FleetError | None = None
        self._fault_until = -math.inf

    def next_seq(self) -> int:
        """A number for a message that asks for an answer."""
        self.seq += 1
        return self.seq

    def sample(self, names: Sequence[str], count: int) -> list[str]:
        """So many of the names by chance, or all if there are fewer."""
        return self.random.sample(names, min(count, len(names)))

    def adjust_health(self, delta: int) -> None:
        """Count failures of own links or timers, or, below 0, a success."""
        self.health = min(HEALTH_MAX, max(0, self.health + delta))

    def is_away(self, now: float) -> bool:
        """Whether this node was paused, and has not learned since how things are."""
        return self.recovery is not None or now - self.last_tick_at > PAUSE_S

    def may_accuse(self, now: float) -> bool:
        """Whether this node may trust what it observes itself."""
        away = self.recovery is not None and now - self.recovery.began_at <= AWAY_MAX_S
        return not away and not self.is_replaced

    @property
    def is_replaced(self) -> bool:
        """Whether a later start has this node's name."""
        return isinstance(self._fault, ReplacedError)

    def fault(self, now: float) -> FleetError | None:
        """What an operator has to mend, if anything."""
        return self._fault if now < self._fault_until else None

    def report_replaced(self, start: int) -> None:
        """Note that a later start has this node's name, for good."""
        what = f"start {start} has the name of this one, {self.me.start}"
        remedy = "stop this process if it was replaced; else give one of the two another name"
        self._fault, self._fault_until = ReplacedError(what, self.me.name, remedy), math.inf

    def report_duplicate(self, now: float, earlier: Sender, start: int, address: str) -> None:
        """Note that an earlier start still runs beside a known one of the same name."""
        what = f"start {earlier.start} still runs beside {start} at {address}"
        remedy = "stop one, or give it another name; if one alone runs, change the key: it is misused"
        if self.fault(now) is None or isinstance(self._fault, DuplicateNodeNameError):
            self._fault = DuplicateNodeNameError(what, earlier.name, remedy)
            self._fault_until = now + DUPLICATE_REPORT_S
        if self.namesake_address:
            self.namesake_joins = NAMESAKE_JOINS

    def note_namesake(self, address: str) -> None:
        """Send joins to the address of another start of the own name."""
        self.namesake_address, self.namesake_joins = address, NAMESAKE_JOINS
