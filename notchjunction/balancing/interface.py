"""Types that the decision module shares with whatever hosts it: the node, or the bench's adapter.

Times are seconds, ids are small whole numbers given out by the host. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from notchjunction.discovery.endpoints import Presence


class Effect(Enum):
    """What a second run of a job does."""

    REISSUABLE = "reissuable"
    NUMBERED = "numbered"
    AT_MOST_ONCE = "at-most-once"


class Group(Enum):
    """Which servers drop a numbered job's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How a dispatch or a probe ended."""

    HONOURED = "honoured"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    SPOILT = "spoilt"  # its answer could not be read: it may have run, and the connection is of no use
    RECALLED = "recalled"
    NEVER_SENT = "never sent"
    UNKNOWN = "unknown"


class News(Enum):
    """What kind of list news came."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Profile:
    contract_time: float
    abandon_time: float
    revenue: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.AT_MOST_ONCE
    group: Group = Group.CELL
    window: float = 0.0


@dataclass(frozen=True, slots=True)
class Terms:
    """What a node is told at start."""

    seed: int
    profiles: Sequence[Profile]
    operator_quotas: Sequence[float] = ()
    overage: float = 1.0  # revenue of a job past its operator's share, as a part of its profile's
    nodes: int = 1
    processes: int = 1  # that are this one node together, as during an upgrade
    depth: int | None = None
    depths: int = 0
    zone: int = 0
    must_follow: bool = False
    probes: bool = True
    recalls: bool = True
    second_copies: bool = True
    advice_limit: float = 0.0
    max_dispatches: int = 1
    ask_within: float = 0.0
    tick: float = 0.005
    crossing_price: float = 0.0
    connection_price: float = 0.0
    connection_idle: float = 0.0
    connect_within: float = 0.0  # s that a connection may take to come up
    connection_jobs: int = 1
    cold_share: float = 1.0
    cold_time: float = 0.0
    tip_multiple: float = 3.0
    beside_clients: bool = False  # each client process has a node of its own: many, each with little traffic
    may_tell: bool = False
    me: int = 0  # this node's number among those it may tell
    warm_keys: bool = False  # a server that met a job's key lately does it for less work


@dataclass(slots=True)
class Job:
    id: int
    profile: int
    operator: int
    time_left: float
    repeat: bool = False
    work_hint: float | None = None
    whole: bool = True  # whether its last byte has come; its time counts from then
    key: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """A server's own report; a figure it does not give is None."""

    held: float | None = None
    waiting: float | None = None
    busy: float | None = None
    pace: float | None = None
    rate: float | None = None
    errors: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server: int
    presence: Presence
    started_at: float = 0.0
    zone: int = 0
    cell: int = 0
    power: float = 1.0  # rough size against other servers'
    tag: int = 0  # the same at all nodes: a hash of its name


class Told(NamedTuple):
    """One outcome of a dispatch, as a peer tells of it; a hint, never a fact."""

    server: int
    ago: float
    good: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class Outcome:
    job: int
    dispatch: int
    server: int
    result: Result
    seconds: float
    over: bool = False
    load: Load | None = None
    spent: bool = False  # the request can't be sent again: more of it was sent on than the host keeps


class Host(Protocol):
    """What a node can do for the decisions."""

    def now(self) -> float: ...

    def dispatch(self, job: int, server: int, within: float) -> None: ...

    def recall(self, job: int, dispatch: int) -> None: ...

    def probe(self, server: int) -> None: ...

    def turn_back(self, job: int, come_back_in: float) -> None: ...

    def write_off(self, job: int) -> None: ...

    def set_timer(self, delay: float, token: int) -> None: ...

    def follow(self) -> None: ...

    def set_aside(self, server: int, seconds: float) -> None: ...

    def tell(self, peer: int, newest: int, told: Sequence[Told]) -> None: ...


class Decisions(Protocol):
    """What a host calls; `rules.Balancer` is one."""

    def take(self, job: Job) -> None: ...

    def outcome(self, outcome: Outcome) -> None: ...

    def whole(self, job: int, most: float = ...) -> None: ...

    def repeat_until(self, job: int, dispatch: int) -> float: ...

    def streaming(self, job: int, dispatch: int) -> None: ...

    def withdrawn(self, job: int) -> None: ...

    def probed(self, server: int, result: Result, load: Load | None) -> None: ...

    def timer(self, token: int) -> None: ...

    def listed(self, news: News, entries: Sequence[ServerEntry]) -> None: ...

    def barred(self, server: int, out: bool) -> None: ...

    def heard(self, told: Sequence[Told]) -> None: ...

    def retuned(self, terms: Terms, profiles: Mapping[int, Profile]) -> None: ...

    def lessons(self) -> dict[str, Any]: ...

    def learn(self, lessons: Mapping[str, Any]) -> None: ...
