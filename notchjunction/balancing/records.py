"""What the decisions remember of jobs, dispatches, servers and outcomes; plain records."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, NamedTuple

from notchjunction.balancing.interface import EndpointEntry, LoadReport, RequestClass

LAST_FEW = 8  # outcomes kept of a server; fewer are chance, more are old news
LONG_AGO = 3600.0  # s after which a thing is as good as never
IDLE_MOST = 32  # idle connections remembered of a server; a node rarely has more jobs there at once


class RequestState(Enum):
    NEW = auto()
    QUEUED = auto()  # nothing out, room awaited
    IN_FLIGHT = auto()  # at least one dispatch out
    STREAMING = auto()  # the answer has begun and belongs to the client
    ENDED = auto()


class RequestEvent(Enum):
    ARRIVED = auto()
    CAPACITY_AVAILABLE = auto()  # room may have come
    ENDPOINT_FAULT = auto()  # a dispatch failed by its server's own fault
    OTHER_FAILURE = auto()  # a dispatch failed, not or not surely by its server's fault
    COMPLETED = auto()  # the client has its answer
    RESPONSE_STARTED = auto()
    OVERDUE = auto()  # a dispatch is out for several usual times
    DEADLINE_NEAR = auto()
    CLIENT_CANCELLED = auto()


@dataclass(slots=True, eq=False)
class Attempt:
    endpoint: Endpoint
    sent_at: float
    latency_objective: float
    reused_connection: bool
    in_flight: bool = True
    response_started: bool = False  # its answer has begun to come, and goes on its way
    may_have_run: bool = True
    cancelled_for_retry: bool = False  # recalled, to be sent elsewhere once that outcome is there


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this node knows of one server, mostly from its own traffic."""

    entry: EndpointEntry
    in_flight: list[Attempt] = field(default_factory=list)
    last_response_at: float = -math.inf
    last_own_outcome_at: float = -math.inf  # this node's own last outcome there
    recent_successes: deque[bool] = field(default_factory=lambda: deque(maxlen=LAST_FEW))
    recent_latencies: deque[float] = field(default_factory=lambda: deque(maxlen=LAST_FEW))
    load_report: LoadReport | None = None
    load_reported_at: float = -math.inf
    probe_sent_at: float | None = None  # when the last probe was sent, while it is out
    probe_latency: float = 0.0  # s that the last probe took; whatever its server does delays it
    probe_ended_at: float = -math.inf
    ejected_until: float = -math.inf
    idle_connections: deque[float] = field(default_factory=lambda: deque(maxlen=IDLE_MOST))
    slow_start_credit_from: float = (
        -math.inf
    )  # since when this node's part of the cold budget adds up to the next send
    slow_start_credit_needed: float = 1.0  # sends that it has to add up to
    banned_since: float = -math.inf  # since when an operator had it out, if it was given back
    awaits_first_attempt: bool = False  # given back and not yet sent to

    def export_state(self, now: float) -> dict[str, Any]:
        """What another process of the node may go on from; times are seconds ago, or to come."""
        return {
            "last": list(self.recent_successes),
            "seconds": list(self.recent_latencies),
            "back_in": max(0.0, self.ejected_until - now),
            "wait": [self.probe_latency, min(now - self.probe_ended_at, LONG_AGO)],
        }

    def restore_state(self, learned_state: Mapping[str, Any], now: float) -> None:
        self.recent_successes.extend(bool(success) for success in learned_state["last"])
        self.recent_latencies.extend(float(seconds) for seconds in learned_state["seconds"])
        self.ejected_until = max(self.ejected_until, now + float(learned_state["back_in"]))
        probe, age = learned_state["wait"]
        self.probe_latency, self.probe_ended_at = float(probe), now - float(age)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A job without its final answer."""

    id: int
    class_number: int
    request_class: RequestClass
    max_attempts: int
    arrived_at: float
    objective_at: float
    deadline_at: float
    over_quota: bool
    complete: bool  # whether its last byte has come; its time counts from then
    affinity_key: str = ""  # what it concerns, where servers do less work for a key they have met
    state: RequestState = RequestState.NEW
    attempts: list[Attempt] = field(default_factory=list)
    chosen_endpoint: Endpoint | None = None

    def rank(self) -> tuple[bool, float]:
        return (self.over_quota, self.objective_at)


class RecentOutcome(NamedTuple):
    """One of the last outcomes of all servers."""

    endpoint: Endpoint
    success: bool
    latency: float


class TypicalLatencies(NamedTuple):
    per_endpoint: float
    probe: float
    median: float  # of all jobs, where `seconds` has one a server


def median(values: Iterable[float], default: float) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
