"""The decisions behind a small facade in blocking style.

`pick` waits for a job's next order, `report` and its siblings tell how something ended, `tick` runs the
timers that are due.

It owns the module's numbers for jobs, dispatches and servers and the one heap of timers. It knows no sockets
and decides nothing.
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

GONE_KEPT = 1024  # names that left the list and that operators may still speak of; a release of a large fleet
UNKNOWN = -1  # the number of no profile
LAGS_KEPT = 256  # last delays of timers; some tens of seconds of ordinary traffic


@dataclass(frozen=True, slots=True)
class SettingNames:
    """The words under which callers and the list name what the module numbers."""

    request_classes: Sequence[str] = ()
    tenants: Sequence[str] = ()
    zones: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A job as its caller states it; `effect` is what method and key say."""

    request_class: str
    time_left: float
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    tenant: str = ""
    is_client_retry: bool = False
    work_hint: float | None = None
    complete: bool = True  # whether its last byte has come; else `whole` tells of it
    affinity_key: str = ""


@dataclass(frozen=True, slots=True)
class ExchangeOutcome:
    """How a dispatch or a probe ended, and after how long."""

    result: AttemptResult
    seconds: float
    load: LoadReport | None = None
    unrepeatable: bool = False  # more of the request was sent on than is kept: there is no other dispatch


class NumberedClass(NamedTuple):
    """A profile as it is in force, and its numbers."""

    request_class: RequestClass
    number: int
    non_idempotent_number: int


# Orders about a job.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    attempt: int
    endpoint: str
    expires_at: float  # s on the decider's clock: the end of the time that it is given


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    attempt: int


@dataclass(frozen=True, slots=True)
class StartResponse:
    """That dispatch's answer has begun to come and is the final one, whatever becomes of it."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """That dispatch's answer is the final one."""

    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    retry_after: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    pass


@dataclass(frozen=True, slots=True)
class DropRequest:
    """The caller has gone; nothing is owed."""


# Orders about no job.


@dataclass(frozen=True, slots=True)
class SendProbe:
    endpoint: str


@dataclass(frozen=True, slots=True)
class PollList:
    pass


@dataclass(frozen=True, slots=True)
class ReportEjection:
    """To be told to whoever is on call; nothing is to be done."""

    endpoint: str
    seconds: float


@dataclass(frozen=True, slots=True)
class SendGossip:
    """A note for a peer; that it arrives is not counted on."""

    peer: int
    datagram: bytes


RequestCommand = (
    SendAttempt | CancelAttempt | StartResponse | ForwardResponse | RejectRequest | FailRequest | DropRequest
)
NodeCommand = SendProbe | PollList | ReportEjection | SendGossip


@dataclass(slots=True, eq=False)
class RequestHandle:
    """A job that was taken, until its final answer is ordered and its last dispatch reported."""

    number: int
    commands: asyncio.Queue[RequestCommand] = field(default_factory=asyncio.Queue)
    endpoints: list[int] = field(default_factory=list)  # by dispatch
    in_flight: set[int] = field(default_factory=set)
    cancelled: set[int] = field(default_factory=set)  # dispatches, whether or not their Stop was picked
    response_started: bool = False  # a large answer is on its way
    answered: bool = False


class BalancerEngine:
    """The facade. `clock` gives Unix time that never jumps, `wake` asks for a `tick` after a delay.

    `wall` gives Unix time as the machine has it now, by which the list tells when servers started.
    """

    def __init__(
        self,
        terms: BalancerSettings,
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
        self._numbers_by_hash: dict[int, int] = {}  # the numbers of servers by the tags of their names
        self._gossip = OutcomeGossip(terms.seed)
        self._endpoint_numbers_given = 0
        self._removed_names: deque[str] = deque(maxlen=GONE_KEPT)
        self.banned: set[str] = set()  # by operators; whatever the list says
        self._handles: dict[int, RequestHandle] = {}
        self._submitted = 0
        self._node_commands: asyncio.Queue[NodeCommand] = asyncio.Queue()
        self._timers: list[tuple[float, int]] = []
        self._wake_at = math.inf
        self.timer_lags: deque[float] = deque(maxlen=LAGS_KEPT)
        self._settings = terms
        self._number_request_classes(terms, names)
        self._balancer: RequestBalancer = Balancer(replace(terms, request_classes=[]), _EngineHost(self))
        self._balancer.settings_changed(terms, self._numbered_classes())

    # What the node calls.

    def submit(self, ask: RequestSpec) -> RequestHandle:
        self._submitted += 1
        ticket = RequestHandle(self._submitted)
        self._handles[ticket.number] = ticket
        job = NewRequest(
            id=ticket.number,
            request_class=self._class_number(ask),
            tenant=self._tenants.get(ask.tenant, 0),
            time_left=ask.time_left,
            is_client_retry=ask.is_client_retry,
            work_hint=ask.work_hint,
            complete=ask.complete,
            affinity_key=ask.affinity_key,
        )
        try:
            self._balancer.request_arrived(job)
        except Exception:
            self.cancel(ticket)
            raise
        return ticket

    async def next_command(self, ticket: RequestHandle) -> RequestCommand:
        return await ticket.commands.get()

    def report_attempt(self, ticket: RequestHandle, dispatch: int, ended: ExchangeOutcome) -> None:
        ticket.in_flight.discard(dispatch)
        first = ended.result is AttemptResult.SUCCEEDED and not ticket.answered
        ticket.answered = ticket.answered or first
        server = ticket.endpoints[dispatch]
        over = ticket.answered
        self._balancer.attempt_ended(
            AttemptOutcome(
                ticket.number,
                dispatch,
                server,
                ended.result,
                ended.seconds,
                over,
                ended.load,
                ended.unrepeatable,
            )
        )
        if first:
            ticket.commands.put_nowait(ForwardResponse(dispatch))
        self._release(ticket)

    def report_body_complete(self, ticket: RequestHandle, most: float = math.inf) -> None:
        """The job's last byte has come: its time counts from now, and is so many seconds at most."""
        if not ticket.answered:
            self._balancer.body_completed(ticket.number, most)

    def is_wanted(self, ticket: RequestHandle, dispatch: int) -> bool:
        """Whether a dispatch that was ordered is still wanted; orders against it may wait to be picked."""
        return not ticket.answered and dispatch not in ticket.cancelled

    def repeatable_until(self, ticket: RequestHandle, dispatch: int) -> float:
        """Until when (s) a dispatch can't make an effect happen twice; inf: always, -inf: it may already."""
        return self._balancer.repeatable_until(ticket.number, dispatch)

    def now(self) -> float:
        """Unix time (s) that never jumps."""
        return self._clock()

    def report_response_started(self, ticket: RequestHandle, dispatch: int) -> bool:
        """A large answer has begun to come; false where the job has its answer, or recalled this one."""
        if ticket.response_started or not self.is_wanted(ticket, dispatch):
            return False
        ticket.response_started = True
        ticket.commands.put_nowait(StartResponse(dispatch))
        self._balancer.response_started(ticket.number, dispatch)
        return True

    def cancel(self, ticket: RequestHandle) -> None:
        """The caller has gone, or the node itself failed the job."""
        if not ticket.answered:
            ticket.answered = True
            try:
                self._balancer.request_cancelled(ticket.number)
            finally:
                ticket.commands.put_nowait(DropRequest())
                self._release(ticket)

    def apply_settings(self, terms: BalancerSettings, names: SettingNames) -> None:
        """New terms for what comes from now on; jobs that are held keep the profile they were taken with."""
        self._tenants = {name: index for index, name in enumerate(names.tenants)}
        if terms.zone < len(names.zones):
            # Guards against a list of zones in another order: servers keep the numbers that they have.
            name = names.zones[terms.zone]
            terms = replace(terms, zone=self._zones.setdefault(name, len(self._zones)))
        self._settings = replace(terms, process_count=self._settings.process_count)
        self._number_request_classes(terms, names)
        self._balancer.settings_changed(self._settings, self._numbered_classes())

    async def next_node_command(self) -> NodeCommand:
        return await self._node_commands.get()

    def report_probe(self, server: str, ended: ExchangeOutcome) -> None:
        if server in self._endpoint_numbers:  # it may have left the list meanwhile
            self._balancer.probe_ended(self._endpoint_numbers[server], ended.result, ended.load)

    def apply_list_update(self, news: ListUpdate, listed: Sequence[ListedEndpoint] = ()) -> None:
        self._balancer.list_updated(news, [self._entry(server) for server in listed])
        if news is ListUpdate.FAILED:
            return
        if news is not ListUpdate.CACHED:
            self._start_times.list_received(self._clock())
        # Guards against growing with every server that ever was. Numbers are never given out again.
        gone = {server.name for server in listed if server.state is EndpointState.REMOVED}
        if news is not ListUpdate.CHANGES:
            gone |= self._endpoint_numbers.keys() - {server.name for server in listed}
        for name in gone:
            self._endpoint_names.pop(self._endpoint_numbers.pop(name))
            self._numbers_by_hash.pop(endpoint_hash(name), None)
            self._removed_names.append(name)

    def receive_gossip(self, peer: int, note: bytes) -> None:
        """A peer's note; what is not in the own list is passed over, and what can't be read."""
        if told := self._gossip.peer_outcomes(peer, note, self._numbers_by_hash):
            self._balancer.gossip_received(told)

    @property
    def ignored_reports(self) -> int:
        return self._gossip.ignored

    def ban(self, server: str, known: bool = False) -> bool:
        """An operator takes a server out of use; false where nobody has heard of it."""
        if not known and not self._is_known(server):
            return False
        self.banned.add(server)
        if server in self._endpoint_numbers:
            self._balancer.ban_changed(self._endpoint_numbers[server], True)
        return True

    def lift_ban(self, server: str) -> bool:
        """An operator gives a server back, however often it was taken out."""
        if not self._is_known(server):
            return False
        self.banned.discard(server)
        if server in self._endpoint_numbers:
            self._balancer.ban_changed(self._endpoint_numbers[server], False)
        return True

    def export_state(self) -> dict[str, Any]:
        """What was learned so far, by names: for a process that follows this one."""
        found = self._balancer.export_state()
        return {
            "clearing": found["clearing"],
            "servers": {self._endpoint_names[index]: known for index, known in found["servers"].items()},
            "spent": {name: found["spent"][kind.number] for name, kind in self._request_classes.items()},
        }

    def start_ages(self) -> Mapping[str, Sequence[float]]:
        """What is known of when servers started, for a process that follows this one (`inherit_starts`)."""
        return self._start_times.ages(self._clock())

    def restore_start_times(self, ages: Mapping[str, Sequence[float]]) -> None:
        """Takes that over, before any list is; TypeError, ValueError or AttributeError where it is none."""
        self._start_times.restore(ages, self._clock())

    def restore_state(self, lessons: Mapping[str, Any]) -> None:
        """Takes over what another process learned, of servers and profiles that are known here too."""
        servers, spent = lessons["servers"], lessons["spent"]
        known = {
            "clearing": lessons["clearing"],
            "servers": {
                index: servers[name] for index, name in self._endpoint_names.items() if name in servers
            },
            "spent": {
                kind.number: spent[name] for name, kind in self._request_classes.items() if name in spent
            },
        }
        self._balancer.restore_state(known)

    def set_process_count(self, processes: int) -> None:
        """So many processes are this one node from now on: each keeps to its part."""
        self._settings = replace(self._settings, process_count=processes)
        self._balancer.settings_changed(self._settings, self._numbered_classes())

    def _is_known(self, server: str) -> bool:
        return server in self._endpoint_numbers or server in self.banned or server in self._removed_names

    def run_due_timers(self) -> None:
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
        return sum(1 for ticket in self._handles.values() if not ticket.answered)

    @property
    def tracked(self) -> int:
        return len(self._handles)

    # What the module's actions become.

    def _command(self, job: int, order: RequestCommand) -> None:
        ticket = self._handles[job]
        ticket.commands.put_nowait(order)
        if isinstance(order, CancelAttempt):
            ticket.cancelled.add(order.attempt)
        if isinstance(order, RejectRequest | FailRequest):
            ticket.answered = True
            self._release(ticket)

    def _send_attempt(self, job: int, server: int, within: float) -> None:
        ticket = self._handles[job]
        dispatch = len(ticket.endpoints)
        ticket.endpoints.append(server)
        ticket.in_flight.add(dispatch)
        self._command(job, SendAttempt(dispatch, self._endpoint_names[server], self._clock() + within))

    def _send_gossip(self, peer: int, newest: int, told: Sequence[PeerOutcome]) -> None:
        # Numbers are never given out again: a server that has left the list is told of without a tag.
        tags = [endpoint_hash(self._endpoint_names.get(each.endpoint, "")) for each in told]
        words = [
            OutcomeReport(tag, each.age, each.success, each.seconds)
            for tag, each in zip(tags, told, strict=True)
        ]
        self._node_commands.put_nowait(SendGossip(peer, self._gossip.encode(newest, words)))

    def _set_timer(self, delay: float, token: int) -> None:
        heapq.heappush(self._timers, (self._clock() + delay, token))
        self._request_wake()

    def _request_wake(self) -> None:
        if self._timers and self._timers[0][0] < self._wake_at:
            self._wake_at = self._timers[0][0]
            self._wake(max(0.0, self._wake_at - self._clock()))

    # Numbers for names.

    def _release(self, ticket: RequestHandle) -> None:
        if ticket.answered and not ticket.in_flight:
            self._handles.pop(ticket.number, None)

    def _number_request_classes(self, terms: BalancerSettings, names: SettingNames) -> None:
        """A number for each profile, and one for its copy that a job gets whose method and key contradict it.

        A profile that has changed is another one: a number never changes its meaning.
        """
        kinds: dict[str, NumberedClass] = {}
        for name, profile in zip(names.request_classes, terms.request_classes, strict=False):
            kind = self._request_classes.get(name)
            if kind is None or kind.request_class != profile:
                kind = NumberedClass(profile, self._class_numbers_given, self._class_numbers_given + 1)
                self._class_numbers_given += 2
            kinds[name] = kind
        self._request_classes = kinds

    def _numbered_classes(self) -> dict[int, RequestClass]:
        kinds = self._request_classes
        numbered = {kind.number: kind.request_class for kind in kinds.values()}
        cautious = {
            kind.non_idempotent_number: replace(kind.request_class, idempotency=Idempotency.NON_IDEMPOTENT)
            for kind in kinds.values()
        }
        return numbered | cautious

    def _class_number(self, ask: RequestSpec) -> int:
        kind = self._request_classes.get(ask.request_class)
        if kind is None:
            return UNKNOWN
        return (
            kind.number if kind.request_class.idempotency is ask.idempotency else kind.non_idempotent_number
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
        # Guards against repeats outside the group: servers of an unknown cell or zone share it with nobody.
        zone = self._zones.setdefault(listed.zone, len(self._zones)) if listed.zone else -1 - number
        cell = -1 - number if listed.deduplication_group is None else listed.deduplication_group
        tag = endpoint_hash(listed.name)
        started_at = self._start_times.started_at(listed.name, listed.started_at, self._clock(), self._wall())
        return EndpointEntry(number, listed.state, started_at, zone, cell, name_hash=tag)


class _EngineHost:
    """The module's Host: its actions become orders."""

    def __init__(self, decider: BalancerEngine) -> None:
        self._engine = decider

    def now(self) -> float:
        return self._engine._clock()

    def send_attempt(self, job: int, server: int, within: float) -> None:
        self._engine._send_attempt(job, server, within)

    def cancel_attempt(self, job: int, dispatch: int) -> None:
        self._engine._command(job, CancelAttempt(dispatch))

    def send_probe(self, server: int) -> None:
        self._engine._node_commands.put_nowait(SendProbe(self._engine._endpoint_names[server]))

    def reject(self, job: int, come_back_in: float) -> None:
        self._engine._command(job, RejectRequest(come_back_in))

    def fail(self, job: int) -> None:
        self._engine._command(job, FailRequest())

    def set_timer(self, delay: float, token: int) -> None:
        self._engine._set_timer(delay, token)

    def poll_list(self) -> None:
        self._engine._node_commands.put_nowait(PollList())

    def report_ejection(self, server: int, seconds: float) -> None:
        self._engine._node_commands.put_nowait(ReportEjection(self._engine._endpoint_names[server], seconds))

    def send_gossip(self, peer: int, newest: int, told: Sequence[PeerOutcome]) -> None:
        self._engine._send_gossip(peer, newest, told)
