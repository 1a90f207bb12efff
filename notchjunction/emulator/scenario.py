"""A run as data: servers, traffic, faults. Times in seconds, shares from 0 to 1."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from notchjunction.balancing.interface import Idempotency, RequestClass


class Kind(Enum):
    """What goes wrong; `size` means what the line says, and nothing where it says nothing of it."""

    CRASH = "crash"  # connections are reset, new ones refused; back cold at the end
    HANG = "hang"  # takes work, answers none
    SLOW = "slow"  # `size` times the work
    ERRORS = "errors"  # fails `size` of the jobs, at once
    RESET = "reset"  # resets the connection under `size` of the jobs, which have run
    LOSE = "lose"  # never answers `size` of the jobs, which have run
    LIE = "lie"  # reports `size` times what is true
    DRAIN = "drain"  # the list says that it drains; gone at the end
    CUT = "cut"  # zones hear nothing of the other zones, which hear nothing of them
    LIST_DOWN = "list-down"  # calls for the list fail
    LIST_LATE = "list-late"  # news comes `size` seconds later
    LIST_SPLIT = "list-split"  # calls of `size` of the nodes fail
    LIST_SILENT = "list-silent"  # calls that wait as it begins are never answered; later ones are


@dataclass(frozen=True, slots=True)
class Fault:
    kind: Kind
    at: float
    until: float
    servers: Sequence[int] = ()  # of the tier
    size: float = 1.0
    tier: int = 0
    zones: Sequence[int] = ()  # of a cut: those on the one side


@dataclass(frozen=True, slots=True)
class Stream:
    """Jobs of one profile: open-loop arrivals at `rate` a second from `at` to `until`, over all nodes."""

    profile: int
    rate: float
    at: float = 0.0
    until: float = float("inf")
    work: float = 0.1  # s on a server of speed 1, in a tier of share 1
    operator: int = 0


@dataclass(frozen=True, slots=True)
class Tier:
    """Servers that stand in a row; each job here makes its calls to the next tier one after another."""

    servers: int = 10
    share: float = 1.0  # of a job's work that one call costs here
    calls: float = 1.0  # that each job of the tier above makes here; what is past a whole one, by chance
    workers: int = 2  # jobs that a server works on at once without slowing down
    slots: int = 0  # jobs that it works on or calls on for at once; 0: as many as workers
    queue_most: int = 20  # jobs that a server holds besides
    speeds: tuple[float, ...] = (0.7, 1.0, 1.4)
    connections_most: int = 0  # that a server holds; 0: any number


def _usual_profiles() -> tuple[RequestClass, ...]:
    return (
        RequestClass(1.0, 2.0, 1.0, 0.0, Idempotency.IDEMPOTENT),
        RequestClass(1.5, 3.0, 5.0, 0.0, Idempotency.NON_IDEMPOTENT),
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    nodes: int = 3  # before the first tier; before a later one there is one for each server of the tier above
    servers: int = 10  # of the one tier, where `tiers` says nothing
    tiers: tuple[Tier, ...] = ()
    zones: int = 1
    length: float = 30.0
    seed: int = 1
    profiles: tuple[RequestClass, ...] = field(default_factory=_usual_profiles)
    streams: tuple[Stream, ...] = (Stream(0, 40.0), Stream(1, 10.0))
    quotas: tuple[
        float, ...
    ] = ()  # jobs a second of each operator that are within its share; none: no shares
    faults: tuple[Fault, ...] = ()
    workers: int = 2  # of the one tier, as is the next
    queue_most: int = 20
    thrash: float = 0.05  # by which each waiting job slows the work down
    overdrive_jobs: float = 0.0  # waiting for each worker past which a server is overdriven; 0: never
    overdrive_span: float = 2.0  # s of that until it turns slow
    overdrive_times: float = 3.0  # times slower that it is then
    rest_span: float = 3.0  # s of being mostly idle until it is as before
    latency: float = 0.0005  # one way
    zone_latency: float = 0.0  # one way more, where a message crosses zones
    jitter: float = 0.2  # of a latency, at random
    connection_idle: float = 0.0  # s after which an idle connection is closed; 0: connections cost nothing
    handshake_time: float = 0.005  # s that the first request on a connection waits
    handshake_work: float = 0.0  # s of a server's work that a new connection costs
    connect_within: float = 0.1  # s after which a connection that never comes up is given up
    cold_share: float = 0.4
    cold_time: float = 6.0
    tip_multiple: float = 3.0
    tip_span: float = 2.0
    report_every: float = 0.0  # s for which a server's report stands; 0: always fresh
    list_delay: float = 0.5  # until discovery knows of a change
    list_rate: float = 4.0  # calls a second that discovery works through
    list_wait: float = 1.0  # s that a call may wait there; more are refused at once
    client_tries: int = 3
    client_pause: float = 0.2  # s after a turn-back at least, and as much again at random
    client_patience: float = 1.0  # of the abandon time after which a try is given up
    client_leaves: float = 0.0  # share of tries whose client closes after a random part of its time, for good

    @property
    def mean_work(self) -> float:
        """Seconds of work that a job is in the mean, on a server of speed 1 in a tier of share 1."""
        rates = sum(stream.rate for stream in self.streams)
        return sum(stream.work * stream.rate for stream in self.streams) / rates

    @property
    def silences(self) -> bool:
        """Whether calls for the list may stay without an answer."""
        return any(fault.kind is Kind.LIST_SILENT for fault in self.faults)

    @property
    def rows(self) -> tuple[Tier, ...]:
        """Its tiers, the first one first."""
        return self.tiers or (Tier(servers=self.servers, workers=self.workers, queue_most=self.queue_most),)
