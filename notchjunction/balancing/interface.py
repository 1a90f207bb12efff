"""Types that the decisions share with their host: the node, the simulator's host or the emulator.

Times are seconds; numbers of requests and endpoints are small integers given out by the host. Nothing here
decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from notchjunction.discovery.endpoints import EndpointState


class Idempotency(Enum):
    """What a second run of a request does."""

    IDEMPOTENT = "reissuable"
    KEYED = "numbered"
    NON_IDEMPOTENT = "at-most-once"


class DeduplicationScope(Enum):
    """Which endpoints drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "cell"


class AttemptResult(Enum):
    """How an attempt or a probe ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    MALFORMED = "malformed"  # its response could not be read: it may have run, and the connection is lost
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class ListUpdate(Enum):
    """What kind of endpoint list update came."""

    CHANGES = "changes"
    SNAPSHOT = "snapshot"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What requests of one class may take, are worth, and do when they run twice."""

    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.GROUP
    deduplication_window: float = 0.0


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """The settings of one node's decisions; times in seconds."""

    seed: int
    request_classes: Sequence[RequestClass]
    tenant_quotas: Sequence[float] = ()
    over_quota_weight: float = 1.0  # weight of a request over its tenant's quota, as a part of its class's
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
    sidecar: bool = False  # each client process has its own node: many, each with little traffic
    gossips: bool = False
    node_index: int = 0  # this node's number among its peers
    key_affinity: bool = False  # an endpoint that met a request's key lately serves it for less work


@dataclass(slots=True)
class NewRequest:
    """A request as it arrives; `time_left` (s) runs until its deadline."""

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
    """An endpoint's own report of its load; a figure it does not give is None."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    latency: float | None = None
    rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint as the endpoint list has it; `started_at` in seconds, 0 if unknown."""

    number: int
    state: EndpointState
    started_at: float = 0.0
    zone: int = 0
    deduplication_group: int = 0
    size: float = 1.0  # rough size against other endpoints'
    name_hash: int = 0  # the same at all nodes: a hash of its name


class PeerOutcome(NamedTuple):
    """One outcome of an attempt, as a peer reports it; a hint, never a fact."""

    endpoint: int
    age: float
    success: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How an attempt of this node ended; `final` if the request has its response."""

    request: int
    attempt: int
    endpoint: int
    result: AttemptResult
    seconds: float
    final: bool = False
    load: LoadReport | None = None
    unrepeatable: bool = False  # the request can't be sent again: more of it was sent on than the host keeps


class BalancerHost(Protocol):
    """What a node can do for the decisions: the commands, a clock and timers."""

    def now(self) -> float:
        """Return the time (s) on a clock that never jumps."""
        ...

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send the request to an endpoint, with so many seconds for it; attempts count from 0."""
        ...

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt in flight; its outcome is still reported."""
        ...

    def send_probe(self, endpoint: int) -> None:
        """Probe an endpoint; the result is reported."""
        ...

    def reject(self, request: int, retry_after: float) -> None:
        """Reject the request: the client may try again after so many seconds."""
        ...

    def fail(self, request: int) -> None:
        """Fail the request: it may have run, and is not safe to send again."""
        ...

    def set_timer(self, delay: float, token: int) -> None:
        """Call `timer_fired` with this token after a delay (s)."""
        ...

    def poll_list(self) -> None:
        """Poll the endpoint list."""
        ...

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        """Report that an endpoint is ejected for so long; nothing is to be done."""
        ...

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        """Send outcomes to a peer, newest first; `newest` is the number of the first."""
        ...


class RequestBalancer(Protocol):
    """What a host calls for each event; `balancer.Balancer` is the one in use."""

    def request_arrived(self, request: NewRequest) -> None:
        """Handle a new request."""
        ...

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Handle the end of an attempt."""
        ...

    def body_completed(self, request: int, time_left: float = ...) -> None:
        """Handle the last byte of a large request, which has `time_left` seconds at most from now."""
        ...

    def repeatable_until(self, request: int, attempt: int) -> float:
        """Return until when (s) an attempt cannot make an effect happen twice."""
        ...

    def response_started(self, request: int, attempt: int) -> None:
        """Handle the start of a large response, which is the final one."""
        ...

    def request_cancelled(self, request: int) -> None:
        """Handle that the client cancelled the request."""
        ...

    def probe_ended(self, endpoint: int, result: AttemptResult, load: LoadReport | None) -> None:
        """Handle the end of a probe."""
        ...

    def timer_fired(self, token: int) -> None:
        """Handle a timer that is due."""
        ...

    def list_updated(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        """Handle an update of the endpoint list, or a failed poll."""
        ...

    def ban_changed(self, endpoint: int, banned: bool) -> None:
        """Handle that an operator banned an endpoint or lifted the ban."""
        ...

    def gossip_received(self, outcomes: Sequence[PeerOutcome]) -> None:
        """Handle outcomes that a peer reports, oldest first."""
        ...

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        """Handle new settings, which hold for what comes from now on."""
        ...

    def export_state(self) -> dict[str, Any]:
        """Return what was learned, for a process that follows this one."""
        ...

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Go on from what an earlier process learned."""
        ...
