"""Types that the decision module shares with whatever hosts it: the node, or the bench's adapter.

Times are seconds, ids are small whole numbers given out by the host. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from notchjunction.discovery.endpoints import EndpointState


class Idempotency(Enum):
    """What a second run of a job does."""

    IDEMPOTENT = "reissuable"
    KEYED = "numbered"
    NON_IDEMPOTENT = "at-most-once"


class DeduplicationScope(Enum):
    """Which servers drop a numbered job's repeats."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "cell"


class AttemptResult(Enum):
    """How a dispatch or a probe ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    MALFORMED = "malformed"  # its answer could not be read: it may have run, and the connection is of no use
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class ListUpdate(Enum):
    """What kind of list news came."""

    CHANGES = "changes"
    SNAPSHOT = "snapshot"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.GROUP
    deduplication_window: float = 0.0


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """What a node is told at start."""

    seed: int
    request_classes: Sequence[RequestClass]
    tenant_quotas: Sequence[float] = ()
    over_quota_weight: float = 1.0  # revenue of a job past its operator's share, as a part of its profile's
    node_count: int = 1
    process_count: int = 1  # that are this one node together, as during an upgrade
    tier: int | None = None
    tier_count: int = 0
    zone: int = 0
    polls_list: bool = False
    probes: bool = True
    cancellation: bool = True
    hedging: bool = True
    retry_after_max: float = 0.0
    max_attempts: int = 1
    poll_interval: float = 0.0
    tick: float = 0.005
    cross_zone_cost: float = 0.0
    connection_cost: float = 0.0
    connection_idle_timeout: float = 0.0
    connect_timeout: float = 0.0  # s that a connection may take to come up
    streams_per_connection: int = 1
    slow_start_share: float = 1.0
    slow_start_time: float = 0.0
    overload_multiple: float = 3.0
    sidecar: bool = False  # each client process has a node of its own: many, each with little traffic
    gossips: bool = False
    node_index: int = 0  # this node's number among those it may tell
    key_affinity: bool = False  # a server that met a job's key lately does it for less work


@dataclass(slots=True)
class NewRequest:
    id: int
    request_class: int
    tenant: int
    time_left: float
    is_client_retry: bool = False
    work_hint: float | None = None
    complete: bool = True  # whether its last byte has come; its time counts from then
    affinity_key: str = ""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's own report; a figure it does not give is None."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    latency: float | None = None
    rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    number: int
    state: EndpointState
    started_at: float = 0.0
    zone: int = 0
    deduplication_group: int = 0
    size: float = 1.0  # rough size against other servers'
    name_hash: int = 0  # the same at all nodes: a hash of its name


class PeerOutcome(NamedTuple):
    """One outcome of a dispatch, as a peer tells of it; a hint, never a fact."""

    endpoint: int
    age: float
    success: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    request: int
    attempt: int
    endpoint: int
    result: AttemptResult
    seconds: float
    final: bool = False
    load: LoadReport | None = None
    unrepeatable: bool = False  # the request can't be sent again: more of it was sent on than the host keeps


class BalancerHost(Protocol):
    """What a node can do for the decisions."""

    def now(self) -> float: ...

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None: ...

    def cancel_attempt(self, request: int, attempt: int) -> None: ...

    def send_probe(self, endpoint: int) -> None: ...

    def reject(self, request: int, retry_after: float) -> None: ...

    def fail(self, request: int) -> None: ...

    def set_timer(self, delay: float, token: int) -> None: ...

    def poll_list(self) -> None: ...

    def report_ejection(self, endpoint: int, seconds: float) -> None: ...

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None: ...


class RequestBalancer(Protocol):
    """What a host calls; `rules.Balancer` is one."""

    def request_arrived(self, request: NewRequest) -> None: ...

    def attempt_ended(self, outcome: AttemptOutcome) -> None: ...

    def body_completed(self, request: int, time_left: float = ...) -> None: ...

    def repeatable_until(self, request: int, attempt: int) -> float: ...

    def response_started(self, request: int, attempt: int) -> None: ...

    def request_cancelled(self, request: int) -> None: ...

    def probe_ended(self, endpoint: int, result: AttemptResult, load: LoadReport | None) -> None: ...

    def timer_fired(self, token: int) -> None: ...

    def list_updated(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None: ...

    def ban_changed(self, endpoint: int, banned: bool) -> None: ...

    def gossip_received(self, outcomes: Sequence[PeerOutcome]) -> None: ...

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None: ...

    def export_state(self) -> dict[str, Any]: ...

    def restore_state(self, learned_state: Mapping[str, Any]) -> None: ...
