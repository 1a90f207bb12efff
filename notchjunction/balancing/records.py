"""Records that the balancer keeps of requests, attempts, endpoints and outcomes."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, NamedTuple

from notchjunction.balancing.interface import EndpointEntry, LoadReport, RequestClass

MAX_RECENT_OUTCOMES = 8  # kept per endpoint; fewer would depend on chance, more would be out of date
MAX_EXPORTED_AGE_S = 3600.0  # an older event is exported with this age, as it has no effect any more
MAX_IDLE_CONNECTIONS = 32  # tracked per endpoint; a node rarely has more requests there at once


class RequestState(Enum):
    """The state of a request."""

    NEW = auto()
    QUEUED = auto()  # without an attempt, waiting for capacity
    IN_FLIGHT = auto()  # at least one attempt in flight
    STREAMING = auto()  # the response has started and is passed on to the client
    ENDED = auto()


class RequestEvent(Enum):
    """An event that concerns a request."""

    ARRIVED = auto()
    CAPACITY_AVAILABLE = auto()  # capacity may have become available
    ENDPOINT_FAULT = auto()  # an attempt failed, and its endpoint itself was at fault
    OTHER_FAILURE = auto()  # an attempt failed, and its endpoint was not, or not certainly, at fault
    COMPLETED = auto()  # the client has received the final response
    RESPONSE_STARTED = auto()
    OVERDUE = auto()  # an attempt has been in flight for several typical latencies
    DEADLINE_NEAR = auto()
    CLIENT_CANCELLED = auto()


@dataclass(slots=True, eq=False)
class Attempt:
    """A request that was sent to an endpoint; times in seconds."""

    endpoint: Endpoint
    sent_at: float
    latency_objective: float
    reused_connection: bool
    in_flight: bool = True
    response_started: bool = False  # the rest is limited by how fast the client reads
    may_have_run: bool = True
    cancelled_for_retry: bool = False  # cancelled by this node, to retry at another endpoint
    # The endpoint as the list had it when the request was sent; it may have another group since.
    sent_to: EndpointEntry = field(init=False)

    def __post_init__(self) -> None:
        self.sent_to = self.endpoint.entry


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state of one endpoint as this node sees it, mostly from its own traffic; times in seconds."""

    entry: EndpointEntry
    in_flight: list[Attempt] = field(default_factory=list)  # oldest first, without those that respond already
    last_response_at: float = -math.inf
    last_own_outcome_at: float = -math.inf  # last outcome of an attempt by this node
    recent_successes: deque[bool] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_OUTCOMES))
    recent_latencies: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_OUTCOMES))
    load_report: LoadReport | None = None
    load_reported_at: float = -math.inf
    probe_sent_at: float | None = None  # when the last probe was sent, while it is in flight
    probe_latency: float = 0.0  # of the last probe; all work of the endpoint delays it
    probe_ended_at: float = -math.inf
    ejected_until: float = -math.inf
    # When each connection became idle, latest last.
    idle_connections: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_IDLE_CONNECTIONS))
    slow_start_credit_from: float = -math.inf  # start of collecting slow start credit for the next attempt
    slow_start_credit_needed: float = 1.0  # credit that the next attempt takes, in attempts
    banned_since: float = -math.inf  # start of the last ban, set when it is lifted
    awaits_first_attempt: bool = False  # its ban was lifted, and no attempt was sent there since

    def export_state(self, now: float) -> dict[str, Any]:
        """Return the state to restore in another process of the node; times as seconds from now."""
        return {
            "last": list(self.recent_successes),
            "seconds": list(self.recent_latencies),
            "back_in": max(0.0, self.ejected_until - now),
            "wait": [self.probe_latency, min(now - self.probe_ended_at, MAX_EXPORTED_AGE_S)],
        }

    def restore_state(self, learned_state: Mapping[str, Any], now: float) -> None:
        """Restore the state that another process exported.

        Raises:
            KeyError, TypeError, ValueError: The state is malformed.
        """
        self.recent_successes.extend(bool(success) for success in learned_state["last"])
        self.recent_latencies.extend(float(seconds) for seconds in learned_state["seconds"])
        self.ejected_until = max(self.ejected_until, now + float(learned_state["back_in"]))
        latency, age = learned_state["wait"]
        self.probe_latency, self.probe_ended_at = float(latency), now - float(age)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet; times in seconds."""

    id: int
    class_number: int
    request_class: RequestClass
    max_attempts: int
    arrived_at: float
    objective_at: float
    deadline_at: float
    over_quota: bool
    body_complete: bool  # the last byte was received; the latency objective counts from then
    affinity_key: str = ""  # endpoints do less work for a key that they served before; empty if there is none
    state: RequestState = RequestState.NEW
    attempts: list[Attempt] = field(default_factory=list)
    chosen_endpoint: Endpoint | None = None

    def rank(self) -> tuple[bool, float]:
        """Return the sort key in the queue: within quota first, then by the end of the latency objective."""
        return (self.over_quota, self.objective_at)


class RecentOutcome(NamedTuple):
    """A recent outcome of an attempt at any endpoint; `latency` in seconds, 0 if it shows no latency."""

    endpoint: Endpoint
    success: bool
    latency: float


class TypicalLatencies(NamedTuple):
    """Current median latencies in seconds."""

    per_endpoint: float  # of the last response of each endpoint
    probe: float  # of probes
    median: float  # of all recent responses


def median(values: Iterable[float], default: float) -> float:
    """Return the median, the upper one of two middle values; `default` if there are no values."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
