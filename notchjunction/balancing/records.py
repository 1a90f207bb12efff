"""What the decisions remember of requests, attempts, endpoints and outcomes: plain records."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, NamedTuple

from notchjunction.balancing.interface import EndpointEntry, LoadReport, RequestClass

MAX_RECENT_OUTCOMES = 8  # outcomes kept of an endpoint; fewer are chance, more are out of date
MAX_AGE_S = 3600.0  # s after which an event is as good as never
MAX_IDLE_CONNECTIONS = 32  # remembered of an endpoint; a node rarely has more requests there at once


class RequestState(Enum):
    """Where a request stands."""

    NEW = auto()
    QUEUED = auto()  # no attempt in flight, waits for capacity
    IN_FLIGHT = auto()  # at least one attempt in flight
    STREAMING = auto()  # the response has begun and goes on to the client
    ENDED = auto()


class RequestEvent(Enum):
    """What can happen to a request."""

    ARRIVED = auto()
    CAPACITY_AVAILABLE = auto()  # or may have become so
    ENDPOINT_FAULT = auto()  # an attempt failed by its endpoint's own fault
    OTHER_FAILURE = auto()  # an attempt failed, not or not surely by its endpoint's fault
    COMPLETED = auto()  # the client has its response
    RESPONSE_STARTED = auto()
    OVERDUE = auto()  # an attempt has been in flight for several typical latencies
    DEADLINE_NEAR = auto()
    CLIENT_CANCELLED = auto()


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to an endpoint."""

    endpoint: Endpoint
    sent_at: float
    latency_objective: float
    reused_connection: bool
    in_flight: bool = True
    response_started: bool = False  # what remains is on its way, as fast as the client reads
    may_have_run: bool = True
    cancelled_for_retry: bool = False  # its outcome leads to a retry elsewhere


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this node knows of one endpoint, mostly from its own traffic; times in seconds."""

    entry: EndpointEntry
    in_flight: list[Attempt] = field(default_factory=list)
    last_response_at: float = -math.inf
    last_own_outcome_at: float = -math.inf  # this node's own last outcome there
    recent_successes: deque[bool] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_OUTCOMES))
    recent_latencies: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_OUTCOMES))
    load_report: LoadReport | None = None
    load_reported_at: float = -math.inf
    probe_sent_at: float | None = None  # when the last probe was sent, while it is in flight
    probe_latency: float = 0.0  # s that the last probe took; whatever its endpoint does delays it
    probe_ended_at: float = -math.inf
    ejected_until: float = -math.inf
    idle_connections: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_IDLE_CONNECTIONS))
    slow_start_credit_from: float = -math.inf  # since when slow start credit adds up to the next attempt
    slow_start_credit_needed: float = 1.0  # attempts that it has to add up to
    banned_since: float = -math.inf  # since when it was banned, if the ban was lifted
    awaits_first_attempt: bool = False  # its ban was lifted, and nothing was sent there since

    def export_state(self, now: float) -> dict[str, Any]:
        """Return what another process of the node may go on from; moments as seconds ago, or to come."""
        return {
            "last": list(self.recent_successes),
            "seconds": list(self.recent_latencies),
            "back_in": max(0.0, self.ejected_until - now),
            "wait": [self.probe_latency, min(now - self.probe_ended_at, MAX_AGE_S)],
        }

    def restore_state(self, learned_state: Mapping[str, Any], now: float) -> None:
        """Go on from another process's export; KeyError, TypeError or ValueError where it is none."""
        self.recent_successes.extend(bool(success) for success in learned_state["last"])
        self.recent_latencies.extend(float(seconds) for seconds in learned_state["seconds"])
        self.ejected_until = max(self.ejected_until, now + float(learned_state["back_in"]))
        probe, age = learned_state["wait"]
        self.probe_latency, self.probe_ended_at = float(probe), now - float(age)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without its final response."""

    id: int
    class_number: int
    request_class: RequestClass
    max_attempts: int
    arrived_at: float
    objective_at: float
    deadline_at: float
    over_quota: bool
    body_complete: bool  # whether its last byte has come; its time counts from then
    affinity_key: str = ""  # where endpoints do less work for a key they have met
    state: RequestState = RequestState.NEW
    attempts: list[Attempt] = field(default_factory=list)
    chosen_endpoint: Endpoint | None = None

    def rank(self) -> tuple[bool, float]:
        """Return its place in the queue: requests within their quota first, then by latency objective."""
        return (self.over_quota, self.objective_at)


class RecentOutcome(NamedTuple):
    """One of the last outcomes of all endpoints; `latency` in seconds, 0 if it says nothing."""

    endpoint: Endpoint
    success: bool
    latency: float


class TypicalLatencies(NamedTuple):
    """What is typical now (s): the last response of each endpoint, probes, and all responses."""

    per_endpoint: float
    probe: float
    median: float  # of all responses, where `per_endpoint` has one an endpoint


def median(values: Iterable[float], default: float) -> float:
    """Return the middle value, the upper of two; `default` where there is none."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
