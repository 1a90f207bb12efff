"""The description of a run: servers, traffic and faults.

Times are in seconds, shares from 0 to 1. The fields and values are keys of experiment and scenario files.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from notchjunction.balancing.interface import Idempotency, RequestClass


class Kind(Enum):
    """The kinds of faults. A kind whose comment does not mention the fault's `size` does not use it."""

    CRASH = "crash"  # connections are reset, new ones refused; restarted at the end, in slow start
    HANG = "hang"  # accepts requests but does not respond until the end
    SLOW = "slow"  # work takes `size` times as long
    ERRORS = "errors"  # fails a share `size` of the requests at once
    RESET = "reset"  # executes a share `size` of the requests, then resets their connections
    LOSE = "lose"  # executes a share `size` of the requests without a response
    LIE = "lie"  # multiplies the values of load reports by `size`
    DRAIN = "drain"  # listed as draining; stopped and listed as removed at the end
    CUT = "cut"  # no messages pass between the fault's zones and the others
    LIST_DOWN = "list-down"  # polls of discovery fail
    LIST_LATE = "list-late"  # changes are published `size` seconds later
    LIST_SPLIT = "list-split"  # polls of a share `size` of the nodes fail
    LIST_SILENT = "list-silent"  # polls that are open at the beginning get no response; later ones do


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, from `at` to `until` seconds after the start of the run."""

    kind: Kind
    at: float
    until: float
    servers: Sequence[int] = ()  # by number within the tier
    size: float = 1.0
    tier: int = 0
    zones: Sequence[int] = ()  # for CUT: the zones on one side


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one class, at random times: `rate` per second over all nodes, from `at` to `until`."""

    profile: int  # number of the request class
    rate: float
    at: float = 0.0
    until: float = float("inf")
    work: float = 0.1  # s on a server of speed 1, in a tier of share 1
    operator: int = 0  # the tenant's number


@dataclass(frozen=True, slots=True)
class Tier:
    """A tier of servers; each request there makes its requests to the next tier one after another."""

    servers: int = 10
    share: float = 1.0  # of a client request's work, for each request in this tier
    calls: float = 1.0  # requests here for each one in the tier above; the fraction is drawn at random
    workers: int = 2  # requests that a server executes at the same time
    slots: int = 0  # requests that it executes or that wait for the next tier; 0: as many as workers
    queue_most: int = 20  # requests that a server queues in addition
    speeds: tuple[float, ...] = (0.7, 1.0, 1.4)  # one is drawn at random for each server
    connections_most: int = 0  # connections that a server accepts; 0: no limit


def _default_request_classes() -> tuple[RequestClass, ...]:
    return (
        RequestClass(1.0, 2.0, 1.0, 0.0, Idempotency.IDEMPOTENT),
        RequestClass(1.5, 3.0, 5.0, 0.0, Idempotency.NON_IDEMPOTENT),
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: its servers, network, discovery service, clients and faults."""

    name: str
    nodes: int = 3  # before the first tier; before each later tier, one per server of the tier above
    servers: int = 10  # of the only tier if `tiers` is empty
    tiers: tuple[Tier, ...] = ()
    zones: int = 1
    length: float = 30.0
    seed: int = 1
    profiles: tuple[RequestClass, ...] = field(default_factory=_default_request_classes)
    streams: tuple[Stream, ...] = (Stream(0, 40.0), Stream(1, 10.0))
    quotas: tuple[float, ...] = ()  # requests per second, by tenant; empty: no quotas
    faults: tuple[Fault, ...] = ()
    workers: int = 2  # of the only tier, like `queue_most`
    queue_most: int = 20
    thrash: float = 0.05  # share by which each queued request slows a server down
    overdrive_jobs: float = 0.0  # queued requests per worker above which a server is overloaded; 0: never
    overdrive_span: float = 2.0  # s of overload after which the server becomes slower
    overdrive_times: float = 3.0  # factor by which it becomes slower
    rest_span: float = 3.0  # s of being mostly idle after which it recovers
    latency: float = 0.0005  # s, one way
    zone_latency: float = 0.0  # s, one way, in addition between zones
    jitter: float = 0.2  # share of `latency` that is added at most, at random
    connection_idle: float = 0.0  # s after which an idle connection is closed; 0: connections cost nothing
    handshake_time: float = 0.005  # s that opening a connection takes
    handshake_work: float = 0.0  # s of a server's work that a new connection costs
    connect_within: float = 0.1  # s after which connecting times out
    cold_share: float = 0.4  # of its full speed that a server has at its start
    cold_time: float = 6.0  # s of slow start
    tip_multiple: float = 3.0  # multiple of its capacity above which a server in slow start goes down
    tip_span: float = 2.0  # s over which its load is added up for that
    report_every: float = 0.0  # s between renewals of a server's load report; 0: always up to date
    list_delay: float = 0.5  # s until discovery publishes a change
    list_rate: float = 4.0  # polls a second that discovery serves
    list_wait: float = 1.0  # s that a poll may be queued; one that would exceed it is rejected at once
    client_tries: int = 3  # at most, per request
    client_pause: float = 0.2  # s before a retry at least, and as much again at random
    client_patience: float = 1.0  # share of the deadline after which a client gives up a try
    client_leaves: float = 0.0  # share of tries that a client cancels at a random time, without a retry

    @property
    def mean_work(self) -> float:
        """Mean work (s) of a request, on a server of speed 1 in a tier of share 1."""
        rates = sum(stream.rate for stream in self.streams)
        return sum(stream.work * stream.rate for stream in self.streams) / rates

    @property
    def has_unanswered_polls(self) -> bool:
        """Whether some polls of discovery get no response."""
        return any(fault.kind is Kind.LIST_SILENT for fault in self.faults)

    @property
    def effective_tiers(self) -> tuple[Tier, ...]:
        """The tiers in order, the first of which receives the clients' requests."""
        return self.tiers or (Tier(servers=self.servers, workers=self.workers, queue_most=self.queue_most),)
