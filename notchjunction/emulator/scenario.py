"""A run as data: servers, traffic and faults.

Times are in seconds, shares from 0 to 1. Experiment and scenario files give the fields by name.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from notchjunction.balancing.interface import Idempotency, RequestClass


class Kind(Enum):
    """What goes wrong; a fault's `size` means what the line says, and is unused where no line names it."""

    CRASH = "crash"  # connections are reset, new ones refused; restarted, in slow start, at the end
    HANG = "hang"  # accepts requests, answers none
    SLOW = "slow"  # `size` times the work
    ERRORS = "errors"  # fails `size` of the requests, at once
    RESET = "reset"  # resets the connection under `size` of the requests, after executing them
    LOSE = "lose"  # never answers `size` of the requests, after executing them
    LIE = "lie"  # reports `size` times what is true
    DRAIN = "drain"  # discovery lists it as draining; removed at the end
    CUT = "cut"  # nothing passes between these zones and the others
    LIST_DOWN = "list-down"  # polls of discovery fail
    LIST_LATE = "list-late"  # changes are published `size` seconds later
    LIST_SPLIT = "list-split"  # polls of `size` of the nodes fail
    LIST_SILENT = "list-silent"  # polls open as it begins are never answered; later ones are


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, from `at` to `until` seconds after the start of the run."""

    kind: Kind
    at: float
    until: float
    servers: Sequence[int] = ()  # of the tier
    size: float = 1.0
    tier: int = 0
    zones: Sequence[int] = ()  # for a cut: the zones on one side of it


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one class: open-loop arrivals at `rate` a second from `at` to `until`, over all nodes."""

    profile: int
    rate: float
    at: float = 0.0
    until: float = float("inf")
    work: float = 0.1  # s on a server of speed 1, in a tier of share 1
    operator: int = 0  # number of the tenant


@dataclass(frozen=True, slots=True)
class Tier:
    """A tier of servers; each request here makes its calls to the next tier one after another."""

    servers: int = 10
    share: float = 1.0  # of a request's work that one call costs here
    calls: float = 1.0  # that each request of the tier above makes here; the fraction is drawn at random
    workers: int = 2  # requests that a server executes at once without slowing down
    slots: int = 0  # requests that it executes or makes calls for at once; 0: as many as workers
    queue_most: int = 20  # requests that a server queues besides
    speeds: tuple[float, ...] = (0.7, 1.0, 1.4)
    connections_most: int = 0  # that a server accepts; 0: any number


def _default_request_classes() -> tuple[RequestClass, ...]:
    return (
        RequestClass(1.0, 2.0, 1.0, 0.0, Idempotency.IDEMPOTENT),
        RequestClass(1.5, 3.0, 5.0, 0.0, Idempotency.NON_IDEMPOTENT),
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: its servers, network, discovery, clients and faults."""

    name: str
    nodes: int = 3  # before the first tier; before a later one there is one for each server of the tier above
    servers: int = 10  # of the one tier, where `tiers` says nothing
    tiers: tuple[Tier, ...] = ()
    zones: int = 1
    length: float = 30.0
    seed: int = 1
    profiles: tuple[RequestClass, ...] = field(default_factory=_default_request_classes)
    streams: tuple[Stream, ...] = (Stream(0, 40.0), Stream(1, 10.0))
    quotas: tuple[float, ...] = ()  # requests a second within each tenant's quota; none: no quotas
    faults: tuple[Fault, ...] = ()
    workers: int = 2  # of the one tier, as is the next
    queue_most: int = 20
    thrash: float = 0.05  # by which each queued request slows the work down
    overdrive_jobs: float = 0.0  # queued for each worker past which a server is overloaded; 0: never
    overdrive_span: float = 2.0  # s of overload until the server turns slow
    overdrive_times: float = 3.0  # factor by which it is slower then
    rest_span: float = 3.0  # s of being mostly idle until it has recovered
    latency: float = 0.0005  # one way
    zone_latency: float = 0.0  # added one way where a message crosses zones
    jitter: float = 0.2  # share of a latency, at random
    connection_idle: float = 0.0  # s after which an idle connection is closed; 0: connections cost nothing
    handshake_time: float = 0.005  # s that the first request on a connection waits
    handshake_work: float = 0.0  # s of a server's work that a new connection costs
    connect_within: float = 0.1  # s after which connecting times out
    cold_share: float = 0.4  # of its full speed that a server has as it starts
    cold_time: float = 6.0  # s of slow start
    tip_multiple: float = 3.0  # times what a cold server can do, past which it is down for good
    tip_span: float = 2.0  # s over which its load adds up for that
    report_every: float = 0.0  # s between two load reports of a server; 0: always fresh
    list_delay: float = 0.5  # s until discovery publishes a change
    list_rate: float = 4.0  # polls a second that discovery serves
    list_wait: float = 1.0  # s that a poll may be queued; more are rejected at once
    client_tries: int = 3
    client_pause: float = 0.2  # s after a rejection at the minimum, and as much again at random
    client_patience: float = 1.0  # of the deadline after which a try is given up
    client_leaves: float = (
        0.0  # share of tries whose client closes, for good, after a random part of its time
    )

    @property
    def mean_work(self) -> float:
        """Mean work of a request in seconds, on a server of speed 1 in a tier of share 1."""
        rates = sum(stream.rate for stream in self.streams)
        return sum(stream.work * stream.rate for stream in self.streams) / rates

    @property
    def has_unanswered_polls(self) -> bool:
        """Whether polls of discovery may stay without an answer."""
        return any(fault.kind is Kind.LIST_SILENT for fault in self.faults)

    @property
    def effective_tiers(self) -> tuple[Tier, ...]:
        """The tiers, the first one first."""
        return self.tiers or (Tier(servers=self.servers, workers=self.workers, queue_most=self.queue_most),)
