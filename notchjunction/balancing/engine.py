"""The decisions behind a small facade in blocking style.

`next_command` waits for a request's next command, `report_attempt` and its siblings report how something
ended, `run_due_timers` runs the timers that are due.

It owns the numbers of requests, attempts and endpoints and the one heap of timers. It knows no sockets and
decides nothing.
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

MAX_REMOVED_NAMES = 1024  # that left the list and may still be banned; a release of a large fleet
UNKNOWN_CLASS_NUMBER = -1  # of no request class
MAX_TIMER_LAGS = 256  # last delays of timers; some tens of seconds of ordinary traffic


@dataclass(frozen=True, slots=True)
class SettingNames:
    """The names by which clients and the endpoint list mean what the decisions number."""

    request_classes: Sequence[str] = ()
    tenants: Sequence[str] = ()
    zones: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as its client states it; `idempotency` is what method and key say."""

    request_class: str
    time_left: float
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    tenant: str = ""
    is_client_retry: bool = False
    work_hint: float | None = None
    complete: bool = True  # whether its last byte has come; else see `report_body_complete`
    affinity_key: str = ""


@dataclass(frozen=True, slots=True)
class ExchangeOutcome:
    """How an attempt or a probe ended, and after how many seconds."""

    result: AttemptResult
    seconds: float
    load: LoadReport | None = None
    unrepeatable: bool = False  # more of the request was sent on than is kept: no retry


class NumberedClass(NamedTuple):
    """A request class as it is in force, and its numbers."""

    request_class: RequestClass
    number: int
    non_idempotent_number: int


# Commands for a request.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to this endpoint."""

    attempt: int
    endpoint: str
    expires_at: float  # s on the engine's clock, when its timeout ends


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel this attempt; its end is still reported."""

    attempt: int


@dataclass(frozen=True, slots=True)
class StartResponse:
    """This attempt's response has begun and is the final one, whatever becomes of it."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """This attempt's response is the final one."""

    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject the request; the client may try again after so many seconds."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail the request: trying again is not surely safe."""


@dataclass(frozen=True, slots=True)
class DropRequest:
    """The client has gone; nothing is left to do."""


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
    """An endpoint is ejected for so long: for logs and counters; nothing is to be done."""

    endpoint: str
    seconds: float


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a datagram to a peer; it may be lost."""

    peer: int
    datagram: bytes


RequestCommand = (
    SendAttempt | CancelAttempt | StartResponse | ForwardResponse | RejectRequest | FailRequest | DropRequest
)
NodeCommand = SendProbe | PollList | ReportEjection | SendGossip


@dataclass(slots=True, eq=False)
class RequestHandle:
    """A request, until its final response is commanded and its last attempt reported."""

    number: int
    commands: asyncio.Queue[RequestCommand] = field(default_factory=asyncio.Queue)
    endpoints: list[int] = field(default_factory=list)  # by attempt
    in_flight: set[int] = field(default_factory=set)
    cancelled: set[int] = field(default_factory=set)  # attempts, whether or not the command was read
    response_started: bool = False  # a large response is on its way
    answered: bool = False


class BalancerEngine:
    """The facade. `clock` gives Unix time that never jumps, `wake` asks for a `tick` after a delay.

    `wall` gives Unix time as the machine has it now, by which the list states when endpoints started.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        names: SettingNames,
        clock: Callable[[], float],
        wake: Callable[[float], None],
        wall: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._wall = wall or clock
        self._start_times = StartTimes(clock())
        self._wake = wake
        self._request_classes: dict[str, NumberedClass] = {}
        self._class_numbers_given = 0
        self._tenants = {name: index for index, name in enumerate(names.tenants)}
        self._zones = {name: index for index, name in enumerate(names.zones)}
        self._endpoint_numbers: dict[str, int] = {}
        self._endpoint_names: dict[int, str] = {}
        self._numbers_by_hash: dict[int, int] = {}  # by the hashes of endpoint names
        self._gossip = OutcomeGossip(settings.seed)
        self._endpoint_numbers_given = 0
        self._removed_names: deque[str] = deque(maxlen=MAX_REMOVED_NAMES)
        self.banned: set[str] = set()  # by operators; whatever the list says
        self._handles: dict[int, RequestHandle] = {}
        self._submitted = 0
        self._node_commands: asyncio.Queue[NodeCommand] = asyncio.Queue()
        self._timers: list[tuple[float, int]] = []
        self._wake_at = math.inf
        self.timer_lags: deque[float] = deque(maxlen=MAX_TIMER_LAGS)
        self._settings = settings
        self._number_request_classes(settings, names)
        self._balancer: RequestBalancer = Balancer(replace(settings, request_classes=[]), _EngineHost(self))
        self._balancer.settings_changed(settings, self._numbered_classes())

    # What the node calls.

    def submit(self, spec: RequestSpec) -> RequestHandle:
        """Hand in a new request; its commands follow at `next_command`."""
        self._submitted += 1
        handle = RequestHandle(self._submitted)
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
        first = outcome.result is AttemptResult.SUCCEEDED and not handle.answered
        handle.answered = handle.answered or first
        endpoint = handle.endpoints[attempt]
        final = handle.answered
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
        if first:
            handle.commands.put_nowait(ForwardResponse(attempt))
        self._release(handle)

    def report_body_complete(self, handle: RequestHandle, time_left: float = math.inf) -> None:
        """Report the request's last byte: its time counts from now, and is so many seconds at most."""
        if not handle.answered:
            self._balancer.body_completed(handle.number, time_left)

    def is_wanted(self, handle: RequestHandle, attempt: int) -> bool:
        """Return whether an attempt is still wanted; a command to cancel it may not be read yet."""
        return not handle.answered and attempt not in handle.cancelled

    def repeatable_until(self, handle: RequestHandle, attempt: int) -> float:
        """Return until when (s) an attempt can't make an effect happen twice; inf: always, -inf: never."""
        return self._balancer.repeatable_until(handle.number, attempt)

    def now(self) -> float:
        """Return Unix time (s) that never jumps."""
        return self._clock()

    def report_response_started(self, handle: RequestHandle, attempt: int) -> bool:
        """Report the start of a large response; false where the request has one, or cancelled this one."""
        if handle.response_started or not self.is_wanted(handle, attempt):
            return False
        handle.response_started = True
        handle.commands.put_nowait(StartResponse(attempt))
        self._balancer.response_started(handle.number, attempt)
        return True

    def cancel(self, handle: RequestHandle) -> None:
        """Drop the request: the client has gone, or the node itself failed it."""
        if not handle.answered:
            handle.answered = True
            try:
                self._balancer.request_cancelled(handle.number)
            finally:
                handle.commands.put_nowait(DropRequest())
                self._release(handle)

    def apply_settings(self, settings: BalancerSettings, names: SettingNames) -> None:
        """Use these settings from now on; pending requests keep the request class they came with."""
        self._tenants = {name: index for index, name in enumerate(names.tenants)}
        if settings.zone < len(names.zones):
            # Guards against a list of zones in another order: endpoints keep the numbers that they have.
            name = names.zones[settings.zone]
            settings = replace(settings, zone=self._zones.setdefault(name, len(self._zones)))
        self._settings = replace(settings, process_count=self._settings.process_count)
        self._number_request_classes(settings, names)
        self._balancer.settings_changed(self._settings, self._numbered_classes())

    async def next_node_command(self) -> NodeCommand:
        """Wait for the next command that belongs to no request."""
        return await self._node_commands.get()

    def report_probe(self, endpoint: str, outcome: ExchangeOutcome) -> None:
        """Report how a probe ended."""
        if endpoint in self._endpoint_numbers:  # it may have left the list meanwhile
            self._balancer.probe_ended(self._endpoint_numbers[endpoint], outcome.result, outcome.load)

    def apply_list_update(self, update: ListUpdate, listed: Sequence[ListedEndpoint] = ()) -> None:
        """Take in an update of the endpoint list, or a failed poll."""
        self._balancer.list_updated(update, [self._entry(endpoint) for endpoint in listed])
        if update is ListUpdate.FAILED:
            return
        if update is not ListUpdate.CACHED:
            self._start_times.list_received(self._clock())
        # Guards against growing with every endpoint that ever was. Numbers are never given out again.
        removed = {endpoint.name for endpoint in listed if endpoint.state is EndpointState.REMOVED}
        if update is not ListUpdate.CHANGES:
            removed |= self._endpoint_numbers.keys() - {endpoint.name for endpoint in listed}
        for name in removed:
            self._endpoint_names.pop(self._endpoint_numbers.pop(name))
            self._numbers_by_hash.pop(endpoint_hash(name), None)
            self._removed_names.append(name)

    def receive_gossip(self, peer: int, datagram: bytes) -> None:
        """Take in a peer's datagram; endpoints that are not listed and what can't be read are ignored."""
        if outcomes := self._gossip.peer_outcomes(peer, datagram, self._numbers_by_hash):
            self._balancer.gossip_received(outcomes)

    @property
    def ignored_reports(self) -> int:
        """How many gossip datagrams were ignored."""
        return self._gossip.ignored

    def ban(self, endpoint: str, known: bool = False) -> bool:
        """Ban an endpoint for an operator; false where it is unknown, unless `known` is set."""
        if not known and not self._is_known(endpoint):
            return False
        self.banned.add(endpoint)
        if endpoint in self._endpoint_numbers:
            self._balancer.ban_changed(self._endpoint_numbers[endpoint], True)
        return True

    def lift_ban(self, endpoint: str) -> bool:
        """Lift an endpoint's ban, however often it was banned; false where it is unknown."""
        if not self._is_known(endpoint):
            return False
        self.banned.discard(endpoint)
        if endpoint in self._endpoint_numbers:
            self._balancer.ban_changed(self._endpoint_numbers[endpoint], False)
        return True

    def export_state(self) -> dict[str, Any]:
        """Return what was learned so far, by names, for a process that follows this one."""
        exported = self._balancer.export_state()
        return {
            "clearing": exported["clearing"],
            "servers": {self._endpoint_names[index]: known for index, known in exported["servers"].items()},
            "spent": {
                name: exported["spent"][numbered.number] for name, numbered in self._request_classes.items()
            },
        }

    def start_ages(self) -> Mapping[str, Sequence[float]]:
        """Return what is known of endpoints' start times, for `restore_start_times` of the next process."""
        return self._start_times.ages(self._clock())

    def restore_start_times(self, ages: Mapping[str, Sequence[float]]) -> None:
        """Take those over, before any list; TypeError, ValueError or AttributeError where they are none."""
        self._start_times.restore(ages, self._clock())

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Take over what another process learned of endpoints and request classes known here too."""
        endpoints, spent = learned_state["servers"], learned_state["spent"]
        known = {
            "clearing": learned_state["clearing"],
            "servers": {
                index: endpoints[name] for index, name in self._endpoint_names.items() if name in endpoints
            },
            "spent": {
                numbered.number: spent[name]
                for name, numbered in self._request_classes.items()
                if name in spent
            },
        }
        self._balancer.restore_state(known)

    def set_process_count(self, processes: int) -> None:
        """Share this node's part among so many processes from now on."""
        self._settings = replace(self._settings, process_count=processes)
        self._balancer.settings_changed(self._settings, self._numbered_classes())

    def _is_known(self, endpoint: str) -> bool:
        return (
            endpoint in self._endpoint_numbers or endpoint in self.banned or endpoint in self._removed_names
        )

    def run_due_timers(self) -> None:
        """Run all timers that are due, and ask to be woken for the next."""
        now = self._clock()
        self._wake_at = math.inf
        try:
            while self._timers and self._timers[0][0] <= now:
                due, token = heapq.heappop(self._timers)
                self.timer_lags.append(now - due)
                self._balancer.timer_fired(token)
        finally:
            # Guards against a node that never wakes again after one failure.
            self._request_wake()

    @property
    def in_flight(self) -> int:
        """How many requests have no final response yet."""
        return sum(1 for handle in self._handles.values() if not handle.answered)

    @property
    def tracked(self) -> int:
        """How many requests are kept, cancelled attempts in flight included."""
        return len(self._handles)

    # What the decisions command.

    def _command(self, request: int, command: RequestCommand) -> None:
        handle = self._handles[request]
        handle.commands.put_nowait(command)
        if isinstance(command, CancelAttempt):
            handle.cancelled.add(command.attempt)
        if isinstance(command, RejectRequest | FailRequest):
            handle.answered = True
            self._release(handle)

    def _send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        handle = self._handles[request]
        attempt = len(handle.endpoints)
        handle.endpoints.append(endpoint)
        handle.in_flight.add(attempt)
        self._command(request, SendAttempt(attempt, self._endpoint_names[endpoint], self._clock() + timeout))

    def _send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        # Numbers are never given out again: an endpoint that has left the list is reported without a hash.
        hashes = [endpoint_hash(self._endpoint_names.get(outcome.endpoint, "")) for outcome in outcomes]
        reports = [
            OutcomeReport(name_hash, outcome.age, outcome.success, outcome.seconds)
            for name_hash, outcome in zip(hashes, outcomes, strict=True)
        ]
        self._node_commands.put_nowait(SendGossip(peer, self._gossip.encode(newest, reports)))

    def _set_timer(self, delay: float, token: int) -> None:
        heapq.heappush(self._timers, (self._clock() + delay, token))
        self._request_wake()

    def _request_wake(self) -> None:
        if self._timers and self._timers[0][0] < self._wake_at:
            self._wake_at = self._timers[0][0]
            self._wake(max(0.0, self._wake_at - self._clock()))

    # Numbers for names.

    def _release(self, handle: RequestHandle) -> None:
        if handle.answered and not handle.in_flight:
            self._handles.pop(handle.number, None)

    def _number_request_classes(self, settings: BalancerSettings, names: SettingNames) -> None:
        """Number each request class, and its copy for requests whose method and key contradict it.

        A request class that has changed is another one: a number never changes its meaning.
        """
        classes: dict[str, NumberedClass] = {}
        for name, request_class in zip(names.request_classes, settings.request_classes, strict=False):
            numbered = self._request_classes.get(name)
            if numbered is None or numbered.request_class != request_class:
                numbered = NumberedClass(
                    request_class, self._class_numbers_given, self._class_numbers_given + 1
                )
                self._class_numbers_given += 2
            classes[name] = numbered
        self._request_classes = classes

    def _numbered_classes(self) -> dict[int, RequestClass]:
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

    def _entry(self, listed: ListedEndpoint) -> EndpointEntry:
        if listed.name not in self._endpoint_numbers:
            self._endpoint_numbers_given += 1
            self._endpoint_numbers[listed.name] = self._endpoint_numbers_given
            self._endpoint_names[self._endpoint_numbers_given] = listed.name
            self._numbers_by_hash[endpoint_hash(listed.name)] = self._endpoint_numbers_given
            if listed.name in self.banned:
                self._balancer.ban_changed(self._endpoint_numbers_given, True)
        number = self._endpoint_numbers[listed.name]
        # Guards against repeats outside the group: an unknown group or zone is shared with no other endpoint.
        zone = self._zones.setdefault(listed.zone, len(self._zones)) if listed.zone else -1 - number
        group = -1 - number if listed.deduplication_group is None else listed.deduplication_group
        name_hash = endpoint_hash(listed.name)
        started_at = self._start_times.started_at(listed.name, listed.started_at, self._clock(), self._wall())
        return EndpointEntry(number, listed.state, started_at, zone, group, name_hash=name_hash)


class _EngineHost:
    """The host of the decisions: their calls become commands."""

    def __init__(self, engine: BalancerEngine) -> None:
        self._engine = engine

    def now(self) -> float:
        return self._engine._clock()

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        self._engine._send_attempt(request, endpoint, timeout)

    def cancel_attempt(self, request: int, attempt: int) -> None:
        self._engine._command(request, CancelAttempt(attempt))

    def send_probe(self, endpoint: int) -> None:
        self._engine._node_commands.put_nowait(SendProbe(self._engine._endpoint_names[endpoint]))

    def reject(self, request: int, retry_after: float) -> None:
        self._engine._command(request, RejectRequest(retry_after))

    def fail(self, request: int) -> None:
        self._engine._command(request, FailRequest())

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
