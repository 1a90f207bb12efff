"""What the decisions remember of jobs, dispatches, servers and outcomes; plain records."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, NamedTuple

from notchjunction.balancing.interface import Load, Profile, ServerEntry

LAST_FEW = 8  # outcomes kept of a server; fewer are chance, more are old news
LONG_AGO = 3600.0  # s after which a thing is as good as never
IDLE_MOST = 32  # idle connections remembered of a server; a node rarely has more jobs there at once


class State(Enum):
    NEW = auto()
    WAITING = auto()  # nothing out, room awaited
    OUT = auto()  # at least one dispatch out
    STREAMING = auto()  # the answer has begun and belongs to the client
    ENDED = auto()


class Input(Enum):
    ARRIVED = auto()
    TURN = auto()  # room may have come
    OWNED = auto()  # a dispatch failed by its server's own fault
    PASSED_ALONG = auto()  # a dispatch failed, not or not surely by its server's fault
    OVER = auto()  # the client has its answer
    BEGUN = auto()
    OVERDUE = auto()  # a dispatch is out for several usual times
    LAST_CALL = auto()
    WITHDRAWN = auto()


@dataclass(slots=True, eq=False)
class Dispatch:
    server: Server
    at: float
    contract_time: float
    linked: bool
    out: bool = True
    begun: bool = False  # its answer has begun to come, and goes on its way
    may_have_run: bool = True
    taken_back: bool = False  # recalled, to be sent elsewhere once that outcome is there


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of one server, mostly from its own traffic."""

    entry: ServerEntry
    flights: list[Dispatch] = field(default_factory=list)
    heard_at: float = -math.inf
    own_at: float = -math.inf  # this node's own last outcome there
    last: deque[bool] = field(default_factory=lambda: deque(maxlen=LAST_FEW))
    seconds: deque[float] = field(default_factory=lambda: deque(maxlen=LAST_FEW))
    answer: Load | None = None
    answered_at: float = -math.inf
    asked_at: float | None = None  # when the last probe was sent, while it is out
    wait: float = 0.0  # s that the last probe took; whatever its server does delays it
    waited_at: float = -math.inf
    back_at: float = -math.inf
    idle: deque[float] = field(default_factory=lambda: deque(maxlen=IDLE_MOST))
    cold_from: float = -math.inf  # since when this node's part of the cold budget adds up to the next send
    cold_due: float = 1.0  # sends that it has to add up to
    out_since: float = -math.inf  # since when an operator had it out, if it was given back
    owed: bool = False  # given back and not yet sent to

    def lessons(self, now: float) -> dict[str, Any]:
        """What another process of the node may go on from; times are seconds ago, or to come."""
        return {
            "last": list(self.last),
            "seconds": list(self.seconds),
            "back_in": max(0.0, self.back_at - now),
            "wait": [self.wait, min(now - self.waited_at, LONG_AGO)],
        }

    def learn(self, lessons: Mapping[str, Any], now: float) -> None:
        self.last.extend(bool(good) for good in lessons["last"])
        self.seconds.extend(float(seconds) for seconds in lessons["seconds"])
        self.back_at = max(self.back_at, now + float(lessons["back_in"]))
        wait, ago = lessons["wait"]
        self.wait, self.waited_at = float(wait), now - float(ago)


@dataclass(slots=True, eq=False)
class Held:
    """A job without its final answer."""

    id: int
    number: int
    profile: Profile
    most: int
    taken_at: float
    contract_end: float
    abandon_end: float
    past_share: bool
    whole: bool  # whether its last byte has come; its time counts from then
    key: str = ""  # what it concerns, where servers do less work for a key they have met
    state: State = State.NEW
    sent: list[Dispatch] = field(default_factory=list)
    choice: Server | None = None

    def rank(self) -> tuple[bool, float]:
        return (self.past_share, self.contract_end)


class End(NamedTuple):
    """One of the last outcomes of all servers."""

    server: Server
    good: bool
    seconds: float


class Usual(NamedTuple):
    seconds: float
    wait: float
    middle: float  # of all jobs, where `seconds` has one a server


def middle(values: Iterable[float], default: float) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
