"""What happened in a run, one row an event; checkers and tables read nothing else."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from notchjunction.balancing.interface import RequestClass
from notchjunction.discovery.endpoints import EndpointState


class Final(Enum):
    HONOURED = auto()
    TURNED_BACK = auto()
    WRITTEN_OFF = auto()
    WITHDRAWN = auto()


@dataclass(frozen=True, slots=True)
class Taken:
    at: float
    node: int
    job: int
    profile: int
    abandon_at: float
    first_try: int  # the number of the client's first try; the same for all its tries; -1: a server's call


@dataclass(frozen=True, slots=True)
class Sent:
    at: float
    node: int
    job: int
    dispatch: int
    server: int
    until: float = inf  # when the time that it was given is over


@dataclass(frozen=True, slots=True)
class Landed:
    """It is out no more: answered, reset or closed, as the row's writer saw it."""

    at: float
    node: int
    job: int
    dispatch: int
    server: int


@dataclass(frozen=True, slots=True)
class Ran:
    """The server began to work on it; a repeat that it dropped is none."""

    at: float
    node: int
    job: int
    dispatch: int
    server: int


@dataclass(frozen=True, slots=True)
class Answered:
    at: float
    node: int
    job: int
    final: Final


@dataclass(frozen=True, slots=True)
class Left:
    """Its caller's connection has ended without an answer; a withdrawal is Answered instead."""

    at: float
    node: int
    job: int


@dataclass(frozen=True, slots=True)
class Told:
    at: float
    node: int
    server: int
    presence: EndpointState


@dataclass(frozen=True, slots=True)
class Probed:
    at: float
    node: int
    server: int


@dataclass(frozen=True, slots=True)
class Tipped:
    """A cold server was sent more than it bears, and is down for good."""

    at: float
    server: int
    knowing: float  # share of the work that came from nodes that had been told of its start


@dataclass(frozen=True, slots=True)
class Pushed:
    """Work reached a cold server, whether it takes it or not."""

    at: float
    server: int
    work: float  # in requests of mean work
    allowed: float  # the same, that the settings allow it over their span as warm as it is now
    knowing: bool  # whether the sender had been told of its start


@dataclass(frozen=True, slots=True)
class Published:
    """Discovery has a change, whoever hears of it."""

    at: float
    tier: int
    server: int
    presence: EndpointState


@dataclass(frozen=True, slots=True)
class Reached:
    """Whether a node's calls can reach discovery from now on; its first one is its start."""

    at: float
    node: int
    tier: int
    reachable: bool


Row = Taken | Sent | Landed | Ran | Answered | Left | Told | Probed | Tipped | Pushed | Published | Reached


@dataclass(frozen=True, slots=True)
class Story:
    """A run's rows in order, and what is needed to judge them."""

    rows: tuple[Row, ...]
    profiles: tuple[RequestClass, ...]
    grace: float  # s after word of a drain within which a send is forgiven
    slack: float  # s past the abandon time within which a final answer is forgiven
    ended_at: float
    tip_span: float = 0.0  # s over which what is pushed on a cold server adds up; 0: nothing was noted of it
    crossing: float = 0.0  # s after a caller withdrew within which what was under way to a server may be read
