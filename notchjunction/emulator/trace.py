"""The trace of a run, with one row per event: the only input of the checkers and of the result tables."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from notchjunction.balancing.interface import RequestClass
from notchjunction.discovery.endpoints import EndpointState


class FinalResponse(Enum):
    """How a request ended for its client."""

    SUCCEEDED = auto()
    REJECTED = auto()  # with advice when to retry
    FAILED = auto()
    CANCELLED = auto()  # by the client


@dataclass(frozen=True, slots=True)
class RequestAccepted:
    """A node accepted a request from a client, or from a server of the tier above."""

    at: float
    node: int
    request: int
    request_class: int
    deadline: float
    first_request: int  # number of the client's first try, the same for all retries; -1: from a server


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """A node sent an attempt to a server."""

    at: float
    node: int
    request: int
    attempt: int
    server: int
    timeout_at: float = inf  # when the attempt times out


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is no longer in flight: it got a response, was reset, or its connection was closed.

    The emulator's rows are written as the node sees the end, the testbed's as the server sees it.
    """

    at: float
    node: int
    request: int
    attempt: int
    server: int


@dataclass(frozen=True, slots=True)
class AttemptExecuted:
    """A server began to execute an attempt; a repeat that it dropped has no row."""

    at: float
    node: int
    request: int
    attempt: int
    server: int


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A node gave a request its final response."""

    at: float
    node: int
    request: int
    final: FinalResponse


@dataclass(frozen=True, slots=True)
class ClientClosed:
    """The client's connection ended without a response; a cancelled request is `RequestAnswered` instead."""

    at: float
    node: int
    request: int


@dataclass(frozen=True, slots=True)
class EndpointNotified:
    """A node was notified of an endpoint's state."""

    at: float
    node: int
    server: int
    state: EndpointState


@dataclass(frozen=True, slots=True)
class ProbeSent:
    """A node probed a server."""

    at: float
    node: int
    server: int


@dataclass(frozen=True, slots=True)
class ServerOverloaded:
    """A server in slow start received more work than its budget, and goes down."""

    at: float
    server: int
    informed: float  # share of the work from nodes that had been notified of its start


@dataclass(frozen=True, slots=True)
class ColdLoadReceived:
    """Work reached a server in slow start, whether the server accepts it or not."""

    at: float
    server: int
    work: float  # in requests of mean work
    allowed: float  # the same, by the settings, for a window that ends now
    informed: bool  # whether the sender had been notified of its start


@dataclass(frozen=True, slots=True)
class EndpointPublished:
    """Discovery has an endpoint's new state, of which nodes may not have been notified yet."""

    at: float
    tier: int
    server: int
    state: EndpointState


@dataclass(frozen=True, slots=True)
class DiscoveryReachable:
    """Whether a node can reach discovery from now on; the first row of a node marks its start."""

    at: float
    node: int
    tier: int
    reachable: bool


TraceRow = (
    RequestAccepted
    | AttemptSent
    | AttemptEnded
    | AttemptExecuted
    | RequestAnswered
    | ClientClosed
    | EndpointNotified
    | ProbeSent
    | ServerOverloaded
    | ColdLoadReceived
    | EndpointPublished
    | DiscoveryReachable
)


@dataclass(frozen=True, slots=True)
class Trace:
    """A run's rows in order, and what the checkers need besides; all times are in seconds."""

    rows: tuple[TraceRow, ...]
    request_classes: tuple[RequestClass, ...]
    drain_grace: float  # after notice of a drain, in which attempts are allowed
    deadline_slack: float  # after the deadline, in which a final response is allowed
    ended_at: float
    overload_window: float = 0.0  # over which load in slow start is added up; 0: no such load was recorded
    cancel_delay: float = (
        0.0  # after a client cancelled, in which a server may read an attempt that was on its way
    )
