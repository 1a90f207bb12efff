"""A run as data: fleet, traffic, faults. Times in seconds, shares from 0 to 1."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from notchjunction.interface import Effect, Profile


class Kind(Enum):
    CRASH = "crash"  # connections are reset, new ones refused; back cold at the end
    HANG = "hang"  # takes work, answers none
    SLOW = "slow"  # `size` times the work
    DRAIN = "drain"  # the list says that it drains; gone at the end
    LIST_DOWN = "list-down"  # calls for the list fail


@dataclass(frozen=True, slots=True)
class Fault:
    kind: Kind
    at: float
    until: float
    servers: Sequence[int] = ()
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class Stream:
    """Jobs of one profile: open-loop arrivals at `rate` a second from `at` to `until`, over all nodes."""

    profile: int
    rate: float
    at: float = 0.0
    until: float = float("inf")
    work: float = 0.1  # s on a server of speed 1


def _usual_profiles() -> tuple[Profile, ...]:
    return (
        Profile(1.0, 2.0, 1.0, 0.0, Effect.REISSUABLE),
        Profile(1.5, 3.0, 5.0, 0.0, Effect.AT_MOST_ONCE),
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    nodes: int = 3
    servers: int = 10
    zones: int = 1
    length: float = 30.0
    seed: int = 1
    profiles: tuple[Profile, ...] = field(default_factory=_usual_profiles)
    streams: tuple[Stream, ...] = (Stream(0, 40.0), Stream(1, 10.0))
    faults: tuple[Fault, ...] = ()
    workers: int = 2  # jobs that a server works on at once without slowing down
    queue_most: int = 20  # jobs that a server holds besides
    thrash: float = 0.05  # by which each waiting job slows the work down
    latency: float = 0.0005  # one way
    jitter: float = 0.2  # of a latency, at random
    cold_share: float = 0.4
    cold_time: float = 6.0
    tip_multiple: float = 3.0
    tip_span: float = 2.0
    list_delay: float = 0.5  # until discovery knows of a change
    list_rate: float = 4.0  # calls a second that discovery works through
    list_wait: float = 1.0  # s that a call may wait there; more are refused at once
    client_tries: int = 3
    client_pause: float = 0.2  # s after a turn-back at least, and as much again at random
