"""Types and protocols between the balancer and its host: the node, the simulator's host or the emulator.

All times are in seconds. The host identifies requests and endpoints by small integers. This module contains
no decisions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from notchjunction.discovery.endpoints import EndpointState


class Idempotency(Enum):
    """Whether a request can run twice without a second effect."""

    IDEMPOTENT = "reissuable"
    KEYED = "numbered"  # it has an idempotency key, by which endpoints recognize repeats
    NON_IDEMPOTENT = "at-most-once"


class DeduplicationScope(Enum):
    """Which endpoints recognize and drop repeats of a request with an idempotency key."""

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
    # The response could not be parsed. The request may have run, and the connection is lost.
    MALFORMED = "malformed"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"

    @property
    def never_ran(self) -> bool:
        """Whether the endpoint certainly did not run the request, and will not."""
        return self in (AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT)

    @property
    def may_still_run(self) -> bool:
        """Whether the endpoint may be working on the request, as it has sent no response to it."""
        return self in (
            AttemptResult.TIMED_OUT,
            AttemptResult.RESET,
            AttemptResult.CANCELLED,
            AttemptResult.UNKNOWN,
        )


class ListUpdate(Enum):
    """The kind of an endpoint list update."""

    CHANGES = "changes"  # entries that changed
    SNAPSHOT = "snapshot"  # all entries
    CACHED = "cached"  # all entries, from a copy that may be out of date
    FAILED = "failed"  # the poll failed, without entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The latency limits, weights and idempotency of one class of requests."""

    latency_objective: float
    deadline: float
    priority_weight: float = 1.0  # relative revenue of a response within the latency objective
    late_weight: float = 0.0  # relative revenue of a later response
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.GROUP
    deduplication_window: float = 0.0


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """The settings of one node's balancer; times in seconds."""

    seed: int
    request_classes: Sequence[RequestClass]
    tenant_quotas: Sequence[float] = ()  # requests a second for all nodes together, by tenant; 0: no quota
    over_quota_weight: float = 1.0  # factor of the priority weight of requests over their tenant's quota
    node_count: int = 1
    process_count: int = 1  # processes that share the work of this node, as during an upgrade
    tier: int | None = None  # counted from 0; None if unknown
    tier_count: int = 0
    zone: int = 0
    polls_list: bool = False  # whether the endpoint list has to be polled
    probes: bool = True
    cancellation: bool = True
    hedging: bool = True
    retry_after_max: float = 0.0
    max_attempts: int = 1  # per request, the first one included
    poll_interval: float = 0.0
    tick: float = 0.005  # resolution of the host's timers
    cross_zone_cost: float = 0.0
    connection_cost: float = 0.0
    connection_idle_timeout: float = 0.0
    connect_timeout: float = 0.0  # for establishing a new connection
    streams_per_connection: int = 1
    slow_start_share: float = 1.0  # capacity of an endpoint right after its start, as a share of the full one
    slow_start_time: float = 0.0  # from its start until it has its full capacity
    overload_multiple: float = 3.0  # multiple of the rate for its capacity that overloads an endpoint
    sidecar: bool = False  # whether each client process has its own node, with little traffic each
    gossips: bool = False
    node_index: int = 0  # this node's number among all nodes, from 0
    key_affinity: bool = False  # whether an endpoint does less work for a key that it served recently


@dataclass(slots=True)
class NewRequest:
    """A request that arrives; `time_left` is the time (s) until its deadline."""

    id: int
    request_class: int
    tenant: int
    time_left: float
    is_client_retry: bool = False
    work_hint: float | None = None  # estimated work (s) of the request; None if unknown
    body_complete: bool = True  # whether the last byte was received; if not, see `body_completed`
    affinity_key: str = ""  # empty if there is none


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint reports; None for values that it does not report."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    latency: float | None = None
    rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An entry of the endpoint list; `started_at` in seconds, 0 if unknown."""

    number: int
    state: EndpointState
    started_at: float = 0.0
    zone: int = 0
    deduplication_group: int = 0
    size: float = 1.0  # approximate capacity relative to other endpoints
    name_hash: int = 0  # hash of its name, the same at all nodes


class PeerOutcome(NamedTuple):
    """The outcome of an attempt as a peer reports it; a hint that may be wrong.

    `age` is the time (s) since the outcome, `seconds` the latency of the attempt, 0 if it shows none.
    """

    endpoint: int
    age: float
    success: bool
    seconds: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The outcome of an attempt of this node, `seconds` after it was sent.

    `final` means that the request now has its response.
    """

    request: int
    attempt: int
    endpoint: int
    result: AttemptResult
    seconds: float
    final: bool = False
    load: LoadReport | None = None
    unrepeatable: bool = False  # the request can't be sent again, as the host no longer has all of its body


class BalancerHost(Protocol):
    """The commands, clock and timers that a host provides for the balancer."""

    def now(self) -> float:
        """Return the time (s) of a monotonic clock."""
        ...

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send the request to an endpoint, with a timeout in seconds; its attempts are numbered from 0."""
        ...

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt in flight; its outcome is still reported with `attempt_ended`."""
        ...

    def send_probe(self, endpoint: int) -> None:
        """Probe an endpoint; the result is reported with `probe_ended`."""
        ...

    def reject(self, request: int, retry_after: float) -> None:
        """Reject the request; the client may retry after `retry_after` seconds."""
        ...

    def fail(self, request: int) -> None:
        """Fail the request; it may have run, so that a retry by the client is not safe."""
        ...

    def set_timer(self, delay: float, token: int) -> None:
        """Call `timer_fired` with this token after a delay (s)."""
        ...

    def poll_list(self) -> None:
        """Poll the endpoint list; the result is reported with `list_updated`."""
        ...

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        """Report that an endpoint is ejected for this time (s); the host need not act on it."""
        ...

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        """Send outcomes to a peer, newest first; `newest` is the sequence number of the first."""
        ...


class RequestBalancer(Protocol):
    """The methods that a host calls for events; implemented by `balancer.Balancer`."""

    def request_arrived(self, request: NewRequest) -> None:
        """Handle a new request."""
        ...

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Handle the end of an attempt."""
        ...

    def body_completed(self, request: int, time_left: float = ...) -> None:
        """Handle the last byte of a large request, whose deadline is at most `time_left` seconds away."""
        ...

    def repeatable_until(self, request: int, attempt: int) -> float:
        """Return until when (s) an attempt can run without a risk of a second effect."""
        ...

    def response_received(self, request: int, attempt: int) -> None:
        """Handle the head of a response whose body is still incomplete."""
        ...

    def response_started(self, request: int, attempt: int) -> None:
        """Handle the start of a large response, which becomes the final response."""
        ...

    def request_cancelled(self, request: int) -> None:
        """Handle the cancellation of a request by its client."""
        ...

    def probe_ended(self, endpoint: int, result: AttemptResult, load: LoadReport | None) -> None:
        """Handle the end of a probe."""
        ...

    def timer_fired(self, token: int) -> None:
        """Handle the end of a timer that was set with `set_timer`."""
        ...

    def list_updated(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        """Handle an update of the endpoint list, or a failed poll."""
        ...

    def ban_changed(self, endpoint: int, banned: bool) -> None:
        """Handle that an on-call operator banned an endpoint or lifted its ban."""
        ...

    def gossip_received(self, outcomes: Sequence[PeerOutcome]) -> None:
        """Handle outcomes that a peer reports, oldest first."""
        ...

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        """Apply new settings to future requests."""
        ...

    def export_state(self) -> dict[str, Any]:
        """Return the learned state, for a successor process."""
        ...

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Restore the learned state that a predecessor process exported."""
        ...
