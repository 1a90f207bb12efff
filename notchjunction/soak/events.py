"""What a soak run observed, as typed events on one monotonic clock (s); the oracle reads nothing else."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

RequestId = str


class Effect(Enum):
    """What a second execution of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Disposition(Enum):
    """What a backend did with an attempt that it read whole."""

    EXECUTED = "executed"  # it ran, or may have run, whatever became of its answer
    DECLINED = "declined"  # turned away before any work


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request as one backend read it."""

    first_byte_at: float
    last_byte_at: float
    backend: str
    zone: str
    request: RequestId
    told_seconds: float  # the time left, as the node told the backend
    disposition: Disposition


@dataclass(slots=True)
class Exchange:
    """One request as its client saw it, from its first byte to its end."""

    request: RequestId
    node: str
    effect: Effect
    deadline_seconds: float
    began_at: float
    sent_at: float | None = None  # its last byte was written; None while it was not
    first_on_connection: bool = True
    ended_at: float | None = None
    status: int | None = None  # of a whole answer
    body: bytes = b""
    client_left_at: float | None = None
    closed_at: float | None = None  # the node ended the connection without a whole answer
    answer_begun: bool = False  # part of an answer came
    closing: bool = False  # the answer says that the connection closes after it
    malformed: bool = False  # not a request that the protocol allows


@dataclass(frozen=True, slots=True)
class Notified:
    """Discovery wrote to a node that a backend has this status."""

    at: float
    node: str
    backend: str
    active: bool


@dataclass(frozen=True, slots=True)
class Published:
    """Discovery has a change, whoever hears of it."""

    at: float
    backend: str
    active: bool


@dataclass(frozen=True, slots=True)
class Reachable:
    """Whether a node's calls can reach discovery from now on."""

    at: float
    node: str
    reachable: bool


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A backend started: until it is warm, all nodes together may send it a budget alone."""

    at: float
    backend: str


@dataclass(frozen=True, slots=True)
class Killed:
    """A node process ended: by SIGKILL after a SIGTERM, by SIGKILL out of the blue, or by itself."""

    at: float
    node: str
    terminated_at: float | None  # when it got SIGTERM
    exit_code: int


@dataclass(frozen=True, slots=True)
class Upgrade:
    """Two processes of a node ran side by side; what discovery wrote to one, the other may not know."""

    node: str
    began_at: float
    ready_at: float  # the later one said yes, or ended


@dataclass(slots=True)
class Journal:
    """All observations of one run, in order of time within each list."""

    attempts: list[Attempt] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)
    notified: list[Notified] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    reachable: list[Reachable] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    killed: list[Killed] = field(default_factory=list)
    upgrades: list[Upgrade] = field(default_factory=list)
    answers_made: dict[RequestId, set[bytes]] = field(default_factory=dict)
    cut_by_backend: set[RequestId] = field(default_factory=set)  # whose answer a backend broke off
    node_errors: list[str] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(
        default_factory=list
    )  # when, and by how much the harness was late
    pauses: list[tuple[float, float, str]] = field(
        default_factory=list
    )  # from, until: a node that was stopped

    def lateness(self, since: float, until: float) -> float:
        """Seconds by which this harness may have seen something late that happened in that span."""
        late = (seconds for at, seconds in self.stalls if since - 1.0 <= at <= until + 1.0)
        return max(late, default=0.0)

    def held_up(self, node: str, since: float, until: float) -> float:
        """Seconds for which a node was stopped within that span."""
        return sum(
            max(0.0, min(end, until) - max(begin, since)) for begin, end, name in self.pauses if name == node
        )
