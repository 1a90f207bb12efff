"""Runs a `Balancer` for the node: names instead of numbers, command queues, and timers.

The node submits requests and awaits their commands with `next_command`. It reports results with
`report_attempt`, `report_probe` and the like, and calls `run_due_timers` when a timer is due.

The engine assigns the numbers of requests, attempts, endpoints and request classes, and keeps all timers in
one heap. It uses no sockets. All decisions are the balancer's.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerSettings,
    EndpointEntry,
    Idempotency,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestBalancer,
    RequestClass,
)
from notchjunction.balancing.outcome_gossip import OutcomeGossip, OutcomeReport, endpoint_hash
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from notchjunction.discovery.start_times import StartTimes

# Names of removed endpoints that operators can still ban; enough for a rollout of a large fleet.
MAX_REMOVED_NAMES = 1024
UNKNOWN_CLASS_NUMBER = -1  # given to the balancer for a request class that is not configured
MAX_TIMER_LAGS = 256  # most recent timer delays kept; covers some tens of seconds of ordinary traffic


@dataclass(frozen=True, slots=True)
class SettingNames:
    """Names of request classes, tenants and zones, in the order in which `BalancerSettings` numbers them.

    Clients and the endpoint list use the names; the balancer uses the numbers.
    """

    request_classes: Sequence[str] = ()
    tenants: Sequence[str] = ()
    zones: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as its client states it.

    `time_left` is in seconds until its deadline. `idempotency` follows from the HTTP method and the
    idempotency key.
    """

    request_class: str
    time_left: float
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    tenant: str = ""
    is_client_retry: bool = False
    work_hint: float | None = None
    complete: bool = True  # whether the whole body was received; if not, `report_body_complete` follows
    affinity_key: str = ""


@dataclass(frozen=True, slots=True)
class ExchangeOutcome:
    """How an attempt or a probe ended, after how many seconds, and the endpoint's load report if any."""

    result: AttemptResult
    seconds: float
    load: LoadReport | None = None
    unrepeatable: bool = False  # part of the sent body is no longer stored, so a retry is impossible


class NumberedClass(NamedTuple):
    """A request class in use, its number, and the number of its non-idempotent variant."""

    request_class: RequestClass
    number: int
    non_idempotent_number: int


# Commands for one request.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to this endpoint."""

    attempt: int
    endpoint: str
    expires_at: float  # when the attempt times out (s on the engine's clock)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel this attempt; the node still reports its end."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StartResponse:
    """Start forwarding this attempt's response: it is the final one, even if it later fails."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Forward this attempt's response to the client as the final one."""

    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject the request; the client may retry after `retry_after` seconds."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail the request: a retry by the client may cause its effect twice."""


@dataclass(frozen=True, slots=True)
class DropRequest:
    """Stop handling the request: the client disconnected, or the node itself failed it."""


# Commands for the node.


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Probe this endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class PollList:
    """Poll the endpoint list."""


@dataclass(frozen=True, slots=True)
class ReportEjection:
    """Log and count that an endpoint was ejected for so many seconds; needs no other action."""

    endpoint: str
    seconds: float


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip datagram to a peer; delivery is not required."""

    peer: int
    datagram: bytes


RequestCommand = (
    SendAttempt | CancelAttempt | StartResponse | ForwardResponse | RejectRequest | FailRequest | DropRequest
)
NodeCommand = SendProbe | PollList | ReportEjection | SendGossip


@dataclass(slots=True, eq=False)
class RequestHandle:
    """A request, tracked until it has ended and the end of its last attempt was reported."""

    number: int
    commands: asyncio.Queue[RequestCommand] = field(default_factory=asyncio.Queue)
    endpoints: list[int] = field(default_factory=list)  # endpoint number of each attempt, in order
    in_flight: set[int] = field(default_factory=set)  # attempt numbers
    cancelled: set[int] = field(default_factory=set)  # attempt numbers, also if the command is still queued
    response_started: bool = False  # a large response is being forwarded
    ended: bool = False  # the final response is decided, or the request was dropped


class BalancerEngine:
    """The node's interface to its balancer.

    Args:
        settings: the balancer's settings.
        names: the names that belong to the numbers in `settings`.
        clock: returns Unix time (s) on a clock that is never stepped.
        schedule_wakeup: requests a call of `run_due_timers` after a delay (s).
        wall_clock: returns the machine's current Unix time (s), which may be stepped; the endpoint list
            gives start times by it. Defaults to `clock`.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        names: SettingNames,
        clock: Callable[[], float],
        schedule_wakeup: Callable[[float], None],
        wall_clock: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._wall_clock = wall_clock or clock
        self._start_times = StartTimes(clock())
        self._schedule_wakeup = schedule_wakeup
        self._request_classes: dict[str, NumberedClass] = {}
        self._next_class_number = 0
        self._tenants = {name: index for index, name in enumerate(names.tenants)}
        self._zones = {name: index for index, name in enumerate(names.zones)}
        self._endpoint_numbers: dict[str, int] = {}
        self._endpoint_names: dict[int, str] = {}
        self._numbers_by_name_hash: dict[int, int] = {}
        self._gossip = OutcomeGossip(settings.seed)
        self._last_endpoint_number = 0
        self._removed_names: deque[str] = deque(maxlen=MAX_REMOVED_NAMES)
        self.banned: set[str] = set()  # endpoints banned by operators, whether or not they are listed
        self._handles: dict[int, RequestHandle] = {}
        self._last_request_number = 0
        self._node_commands: asyncio.Queue[NodeCommand] = asyncio.Queue()
        self._timers: list[tuple[float, int]] = []
        self._wakeup_at = math.inf
        self.timer_lags: deque[float] = deque(maxlen=MAX_TIMER_LAGS)
        self._settings = settings
        self._assign_class_numbers(settings, names)
        self._balancer: RequestBalancer = Balancer(replace(settings, request_classes=[]), _EngineHost(self))
        self._balancer.settings_changed(settings, self._classes_by_number())

    # Methods that the node calls.

    def submit(self, spec: RequestSpec) -> RequestHandle:
        """Submit a new request; `next_command` returns its commands."""
        self._last_request_number += 1
        handle = RequestHandle(self._last_request_number)
        self._handles[handle.number] = handle
        request = NewRequest(
            id=handle.number,
            request_class=self._class_number(spec),
            tenant=self._tenants.get(spec.tenant, 0),
            time_left=spec.time_left,
            is_client_retry=spec.is_client_retry,
            work_hint=spec.work_hint,
            body_complete=spec.complete,
            affinity_key=spec.affinity_key,
        )
        try:
            self._balancer.request_arrived(request)
        except Exception:
            self.cancel(handle)
            raise
        return handle

    async def next_command(self, handle: RequestHandle) -> RequestCommand:
        """Wait for the next command of a request."""
        return await handle.commands.get()

    def report_attempt(self, handle: RequestHandle, attempt: int, outcome: ExchangeOutcome) -> None:
        """Report how an attempt ended."""
        handle.in_flight.discard(attempt)
        is_first_success = outcome.result is AttemptResult.SUCCEEDED and not handle.ended
        handle.ended = handle.ended or is_first_success
        endpoint = handle.endpoints[attempt]
        final = handle.ended
        self._balancer.attempt_ended(
            AttemptOutcome(
                handle.number,
                attempt,
                endpoint,
                outcome.result,
                outcome.seconds,
                final,
                outcome.load,
                outcome.unrepeatable,
            )
        )
        if is_first_success:
            handle.commands.put_nowait(ForwardResponse(attempt))
        self._release_if_done(handle)

    def report_body_complete(self, handle: RequestHandle, time_left: float = math.inf) -> None:
        """Report that the request's last byte was received.

        The request's time starts to count now; at most `time_left` seconds remain until its deadline.
        """
        if not handle.ended:
            self._balancer.body_completed(handle.number, time_left)

    def is_wanted(self, handle: RequestHandle, attempt: int) -> bool:
        """Return whether an attempt is still needed; its cancellation may still be queued as a command."""
        return not handle.ended and attempt not in handle.cancelled

    def repeatable_until(self, handle: RequestHandle, attempt: int) -> float:
        """Return until when (s) sending an attempt cannot duplicate an effect; inf: always, -inf: never."""
        return self._balancer.repeatable_until(handle.number, attempt)

    def now(self) -> float:
        """Return Unix time (s) on a clock that is never stepped."""
        return self._clock()

    def report_response_received(self, handle: RequestHandle, attempt: int) -> None:
        """Report the head of a response whose body is still incomplete."""
        self._balancer.response_received(handle.number, attempt)

    def report_response_started(self, handle: RequestHandle, attempt: int) -> bool:
        """Report the start of a large response.

        Returns:
            False if another response was chosen before, or this attempt is no longer needed.
        """
        if handle.response_started or not self.is_wanted(handle, attempt):
            return False
        handle.response_started = True
        handle.commands.put_nowait(StartResponse(attempt))
        self._balancer.response_started(handle.number, attempt)
        return True

    def cancel(self, handle: RequestHandle) -> None:
        """Drop the request because the client disconnected or the node itself failed it."""
        if not handle.ended:
            handle.ended = True
            try:
                self._balancer.request_cancelled(handle.number)
            finally:
                handle.commands.put_nowait(DropRequest())
                self._release_if_done(handle)

    def apply_settings(self, settings: BalancerSettings, names: SettingNames) -> None:
        """Use new settings from now on; pending requests keep the request class they arrived with."""
        self._tenants = {name: index for index, name in enumerate(names.tenants)}
        if settings.zone < len(names.zones):
            # Guards against a reload that reorders the zones: endpoints keep the zone numbers that they have.
            name = names.zones[settings.zone]
            settings = replace(settings, zone=self._zones.setdefault(name, len(self._zones)))
        self._settings = replace(settings, process_count=self._settings.process_count)
        self._assign_class_numbers(settings, names)
        self._balancer.settings_changed(self._settings, self._classes_by_number())

    async def next_node_command(self) -> NodeCommand:
        """Wait for the next command that belongs to no request."""
        return await self._node_commands.get()

    def report_probe(self, endpoint: str, outcome: ExchangeOutcome) -> None:
        """Report how a probe ended."""
        if endpoint in self._endpoint_numbers:  # it may have been removed from the list during the probe
            self._balancer.probe_ended(self._endpoint_numbers[endpoint], outcome.result, outcome.load)

    def apply_list_update(self, update: ListUpdate, listed: Sequence[ListedEndpoint] = ()) -> None:
        """Apply an update of the endpoint list, or record a failed poll."""
        self._balancer.list_updated(update, [self._to_endpoint_entry(endpoint) for endpoint in listed])
        if update is ListUpdate.FAILED:
            return
        if update is not ListUpdate.CACHED:
            self._start_times.list_received(self._clock())
        # Guards against memory that grows with every endpoint ever listed. Numbers are never reused.
        removed = {endpoint.name for endpoint in listed if endpoint.state is EndpointState.REMOVED}
        if update is not ListUpdate.CHANGES:
            removed |= self._endpoint_numbers.keys() - {endpoint.name for endpoint in listed}
        for name in removed:
            self._endpoint_names.pop(self._endpoint_numbers.pop(name))
            self._numbers_by_name_hash.pop(endpoint_hash(name), None)
            self._removed_names.append(name)

    def receive_gossip(self, peer: int, datagram: bytes) -> None:
        """Process a peer's gossip; malformed datagrams and outcomes of unlisted endpoints are ignored."""
        if outcomes := self._gossip.peer_outcomes(peer, datagram, self._numbers_by_name_hash):
            self._balancer.gossip_received(outcomes)

    @property
    def ignored_datagrams(self) -> int:
        """Return how many gossip datagrams were ignored as malformed or of another version."""
        return self._gossip.ignored_datagrams

    def ban(self, endpoint: str, allow_unknown: bool = False) -> bool:
        """Ban an endpoint for an operator.

        Returns:
            False if no endpoint of this name is known and `allow_unknown` is not set.
        """
        if not allow_unknown and not self._is_known(endpoint):
            return False
        self.banned.add(endpoint)
        if endpoint in self._endpoint_numbers:
            self._balancer.ban_changed(self._endpoint_numbers[endpoint], True)
        return True

    def lift_ban(self, endpoint: str) -> bool:
        """Lift an endpoint's ban, even if it was banned several times; return false if it is unknown."""
        if not self._is_known(endpoint):
            return False
        self.banned.discard(endpoint)
        if endpoint in self._endpoint_numbers:
            self._balancer.ban_changed(self._endpoint_numbers[endpoint], False)
        return True

    def export_state(self) -> dict[str, Any]:
        """Return what the balancer has learned, keyed by names, for the process that succeeds this one."""
        learned_state = self._balancer.export_state()
        return {
            "clearing": learned_state["clearing"],
            "servers": {
                self._endpoint_names[number]: endpoint_state
                for number, endpoint_state in learned_state["servers"].items()
            },
            "spent": {
                name: learned_state["spent"][numbered.number]
                for name, numbered in self._request_classes.items()
            },
        }

    def start_ages(self) -> Mapping[str, Sequence[float]]:
        """Return the endpoints' start times as ages, for `restore_start_times` of the next process."""
        return self._start_times.ages(self._clock())

    def restore_start_times(self, ages: Mapping[str, Sequence[float]]) -> None:
        """Restore another process's `start_ages`; has to be called before the first list update.

        Raises:
            TypeError, ValueError, AttributeError: `ages` is malformed.
        """
        self._start_times.restore(ages, self._clock())

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Restore another process's `export_state`, without endpoints and request classes unknown here."""
        endpoints, latencies = learned_state["servers"], learned_state["spent"]
        numbered_state = {
            "clearing": learned_state["clearing"],
            "servers": {
                number: endpoints[name] for number, name in self._endpoint_names.items() if name in endpoints
            },
            "spent": {
                numbered.number: latencies[name]
                for name, numbered in self._request_classes.items()
                if name in latencies
            },
        }
        self._balancer.restore_state(numbered_state)

    def set_process_count(self, processes: int) -> None:
        """Set how many processes share this node's traffic from now on, as during an upgrade."""
        self._settings = replace(self._settings, process_count=processes)
        self._balancer.settings_changed(self._settings, self._classes_by_number())

    def _is_known(self, endpoint: str) -> bool:
        return (
            endpoint in self._endpoint_numbers or endpoint in self.banned or endpoint in self._removed_names
        )

    def run_due_timers(self) -> None:
        """Run all timers that are due, and schedule a wakeup for the next one."""
        now = self._clock()
        self._wakeup_at = math.inf
        try:
            while self._timers and self._timers[0][0] <= now:
                due, token = heapq.heappop(self._timers)
                self.timer_lags.append(now - due)
                self._balancer.timer_fired(token)
        finally:
            # Guards against a node whose timers stop for good after one of them raised an error.
            self._request_wakeup()

    @property
    def in_flight(self) -> int:
        """Return how many requests have no final response yet."""
        return sum(1 for handle in self._handles.values() if not handle.ended)

    @property
    def tracked(self) -> int:
        """Return how many requests are kept, including ended ones with attempts still in flight."""
        return len(self._handles)

    # Commands of the balancer.

    def _issue_command(self, request: int, command: RequestCommand) -> None:
        handle = self._handles[request]
        handle.commands.put_nowait(command)
        if isinstance(command, CancelAttempt):
            handle.cancelled.add(command.attempt)
        if isinstance(command, RejectRequest | FailRequest):
            handle.ended = True
            self._release_if_done(handle)

    def _send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        handle = self._handles[request]
        attempt = len(handle.endpoints)
        handle.endpoints.append(endpoint)
        handle.in_flight.add(attempt)
        self._issue_command(
            request, SendAttempt(attempt, self._endpoint_names[endpoint], self._clock() + timeout)
        )

    def _send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        # Numbers are never reused, so one without a name is that of a removed endpoint: its outcome is sent
        # with the hash of an empty name.
        hashes = [endpoint_hash(self._endpoint_names.get(outcome.endpoint, "")) for outcome in outcomes]
        reports = [
            OutcomeReport(name_hash, outcome.age, outcome.success, outcome.seconds)
            for name_hash, outcome in zip(hashes, outcomes, strict=True)
        ]
        self._node_commands.put_nowait(SendGossip(peer, self._gossip.encode(newest, reports)))

    def _set_timer(self, delay: float, token: int) -> None:
        heapq.heappush(self._timers, (self._clock() + delay, token))
        self._request_wakeup()

    def _request_wakeup(self) -> None:
        if self._timers and self._timers[0][0] < self._wakeup_at:
            self._wakeup_at = self._timers[0][0]
            self._schedule_wakeup(max(0.0, self._wakeup_at - self._clock()))

    # Numbers, names and the requests kept by number.

    def _release_if_done(self, handle: RequestHandle) -> None:
        if handle.ended and not handle.in_flight:
            self._handles.pop(handle.number, None)

    def _assign_class_numbers(self, settings: BalancerSettings, names: SettingNames) -> None:
        """Assign two numbers to each new request class: its own, and that of its non-idempotent variant.

        Requests whose HTTP method and key contradict the class's idempotency get the variant. A class whose
        settings changed counts as new, so that a number always means the same settings.
        """
        classes: dict[str, NumberedClass] = {}
        for name, request_class in zip(names.request_classes, settings.request_classes, strict=False):
            numbered = self._request_classes.get(name)
            if numbered is None or numbered.request_class != request_class:
                numbered = NumberedClass(request_class, self._next_class_number, self._next_class_number + 1)
                self._next_class_number += 2
            classes[name] = numbered
        self._request_classes = classes

    def _classes_by_number(self) -> dict[int, RequestClass]:
        classes = self._request_classes
        numbered = {numbered.number: numbered.request_class for numbered in classes.values()}
        non_idempotent = {
            numbered.non_idempotent_number: replace(
                numbered.request_class, idempotency=Idempotency.NON_IDEMPOTENT
            )
            for numbered in classes.values()
        }
        return numbered | non_idempotent

    def _class_number(self, spec: RequestSpec) -> int:
        numbered = self._request_classes.get(spec.request_class)
        if numbered is None:
            return UNKNOWN_CLASS_NUMBER
        return (
            numbered.number
            if numbered.request_class.idempotency is spec.idempotency
            else numbered.non_idempotent_number
        )

    def _to_endpoint_entry(self, listed: ListedEndpoint) -> EndpointEntry:
        if listed.name not in self._endpoint_numbers:
            self._last_endpoint_number += 1
            self._endpoint_numbers[listed.name] = self._last_endpoint_number
            self._endpoint_names[self._last_endpoint_number] = listed.name
            self._numbers_by_name_hash[endpoint_hash(listed.name)] = self._last_endpoint_number
            if listed.name in self.banned:
                self._balancer.ban_changed(self._last_endpoint_number, True)
        number = self._endpoint_numbers[listed.name]
        # Guards against retries outside the deduplication group: an endpoint without a group or zone gets a
        # negative number of its own, which it shares with no other endpoint.
        zone = self._zones.setdefault(listed.zone, len(self._zones)) if listed.zone else -1 - number
        group = -1 - number if listed.deduplication_group is None else listed.deduplication_group
        name_hash = endpoint_hash(listed.name)
        started_at = self._start_times.started_at(
            listed.name, listed.started_at, self._clock(), self._wall_clock()
        )
        return EndpointEntry(number, listed.state, started_at, zone, group, name_hash=name_hash)


class _EngineHost:
    """The balancer's host: turns its calls into queued commands and timers."""

    def __init__(self, engine: BalancerEngine) -> None:
        self._engine = engine

    def now(self) -> float:
        return self._engine._clock()

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        self._engine._send_attempt(request, endpoint, timeout)

    def cancel_attempt(self, request: int, attempt: int) -> None:
        self._engine._issue_command(request, CancelAttempt(attempt))

    def send_probe(self, endpoint: int) -> None:
        self._engine._node_commands.put_nowait(SendProbe(self._engine._endpoint_names[endpoint]))

    def reject(self, request: int, retry_after: float) -> None:
        self._engine._issue_command(request, RejectRequest(retry_after))

    def fail(self, request: int) -> None:
        self._engine._issue_command(request, FailRequest())

    def set_timer(self, delay: float, token: int) -> None:
        self._engine._set_timer(delay, token)

    def poll_list(self) -> None:
        self._engine._node_commands.put_nowait(PollList())

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        self._engine._node_commands.put_nowait(
            ReportEjection(self._engine._endpoint_names[endpoint], seconds)
        )

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        self._engine._send_gossip(peer, newest, outcomes)
