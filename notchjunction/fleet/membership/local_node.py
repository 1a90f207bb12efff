"""A node's own state: identity, sequence numbers, health, recovery from pauses, name conflicts. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import Sender

HEALTH_MAX = 8  # Lifeguard's local health; a node multiplies its own timeouts by 1 + health
PAUSE_S = 2.0  # a longer gap between ticks counts as a pause; other nodes may suspect this one by then
# A node without answers after a pause may accuse after this time. Otherwise the last node that is left would
# never recover.
AWAY_MAX_S = 10.0
RECOVERY_PEERS = 2  # that must answer a node after a pause; a single one may have been paused too
DUPLICATE_REPORT_S = 60.0  # how long a duplicate name is reported after its last message; several joins
NAMESAKE_JOINS = 3  # sent to the address of another start of the own name after each sign of it


class ReplacedError(FleetError):
    """A later start of a node with this node's name runs."""


class DuplicateNodeNameError(FleetError):
    """Two running nodes have the same name."""


@dataclass(slots=True)
class Recovery:
    """The recovery of this node after a pause."""

    began_at: float  # when the pause ended (s, own clock)
    gap: float  # length of the pause (s)
    seq: int  # of the last message that was sent before the pause
    answers: dict[str, None]  # the nodes that have answered a later one


class LocalNode:
    """This start of a node, `me`, at `address` ("host:port")."""

    def __init__(self, me: Sender, address: str, seed: int) -> None:
        self.me = me
        self.address = address
        self.random = Random(seed)
        self.health = 0  # 0 is healthy; counts failures of this node's own links or timers
        self.seq = 0  # of the last message sent that requests an answer
        self.last_tick_at = math.inf
        self.recovery: Recovery | None = None
        self.namesake_address, self.namesake_joins = "", 0
        self._fault: FleetError | None = None
        self._fault_until = -math.inf

    def next_seq(self) -> int:
        """Return the sequence number for a message that requests an answer."""
        self.seq += 1
        return self.seq

    def sample(self, names: Sequence[str], count: int) -> list[str]:
        """Return `count` of the names at random, or all if there are fewer."""
        return self.random.sample(names, min(count, len(names)))

    def adjust_health(self, delta: int) -> None:
        """Count failures of this node's own links or timers; a negative `delta` counts successes."""
        self.health = min(HEALTH_MAX, max(0, self.health + delta))

    def is_away(self, now: float) -> bool:
        """Return whether this node was paused, and has not received enough answers since."""
        return self.recovery is not None or now - self.last_tick_at > PAUSE_S

    def may_accuse(self, now: float) -> bool:
        """Return whether this node may trust its own probes and timeouts."""
        away = self.recovery is not None and now - self.recovery.began_at <= AWAY_MAX_S
        return not away and not self.is_replaced

    @property
    def is_replaced(self) -> bool:
        """Whether a later start with this node's name is known."""
        return isinstance(self._fault, ReplacedError)

    def fault(self, now: float) -> FleetError | None:
        """Return the error that an on-call operator has to resolve, if there is one."""
        return self._fault if now < self._fault_until else None

    def report_replaced(self, start: int) -> None:
        """Record for good that a later start has this node's name."""
        what = f"start {start} has the same name as this one, {self.me.start}"
        remedy = "stop this process if it was replaced; otherwise rename one of the two nodes"
        self._fault, self._fault_until = ReplacedError(what, self.me.name, remedy), math.inf

    def report_duplicate(self, now: float, earlier: Sender, start: int, address: str) -> None:
        """Record that an earlier start still runs alongside a known one of the same name."""
        what = f"start {earlier.start} still runs alongside {start} at {address}"
        remedy = "stop or rename one of the two; if only one runs, replace the key: it has been compromised"
        if self.fault(now) is None or isinstance(self._fault, DuplicateNodeNameError):
            self._fault = DuplicateNodeNameError(what, earlier.name, remedy)
            self._fault_until = now + DUPLICATE_REPORT_S
        if self.namesake_address:
            self.namesake_joins = NAMESAKE_JOINS

    def note_namesake(self, address: str) -> None:
        """Schedule joins to the address of another start of the own name."""
        self.namesake_address, self.namesake_joins = address, NAMESAKE_JOINS
