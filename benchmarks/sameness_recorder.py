"""Plays fixed seeds with the balancer, fleet and list watch of this tree and records their commands.

`sameness_player` runs this file and uses its dictionary `PLAYS`. This module follows renames in its tree.
Scripts and rows, which use no names of the project, are in `sameness_rows`, `sameness_script` and
`sameness_fleet`. These modules refer to results, states and kinds by their position in the tuples below, so
the order of the tuples must not change.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from benchmarks import sameness_fleet as fleet
from benchmarks import sameness_script as script
from benchmarks.sameness_rows import Code, Recording, flattened
from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerHost,
    BalancerSettings,
    DeduplicationScope,
    EndpointEntry,
    Idempotency,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestBalancer,
    RequestClass,
)
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.discovery.watch_state import ListWatch, PollAction, WatchEvent
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.emulator.world import World
from notchjunction.errors import FleetError
from notchjunction.fleet.agent import Datagram, FleetAgent, FleetConfig
from notchjunction.fleet.envelope import Key
from notchjunction.fleet.exploration import World as LimitsWorld
from notchjunction.fleet.quotas.plan import Plan, Split
from notchjunction.fleet.quotas.state import Permit

IDEMPOTENCIES = (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
DEDUPLICATION_SCOPES = (DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.GROUP)
ENDPOINT_STATES = (EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED)
LIST_UPDATES = (ListUpdate.CHANGES, ListUpdate.SNAPSHOT, ListUpdate.CACHED, ListUpdate.FAILED)
RESULTS = (
    AttemptResult.SUCCEEDED,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.TIMED_OUT,
    AttemptResult.NO_CONNECTION,
    AttemptResult.RESET,
    AttemptResult.MALFORMED,
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
    AttemptResult.UNKNOWN,
)


# Hosts.


class RecordingHost:
    """Records each command and passes it to the host; `node` distinguishes several hosts of one play."""

    def __init__(self, host: BalancerHost, node: int, recording: Recording) -> None:
        self._host, self._node, self._recording = host, node, recording

    def _record(self, code: Code, endpoint: int, *numbers: float) -> None:
        self._recording.add(self._host.now(), code, endpoint, self._node, *numbers)

    def now(self) -> float:
        """Return the time of the host's clock."""
        return self._host.now()

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send an attempt."""
        self._record(Code.ATTEMPT, endpoint, request, timeout)
        self._host.send_attempt(request, endpoint, timeout)

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt."""
        self._record(Code.CANCEL, -1, request, attempt)
        self._host.cancel_attempt(request, attempt)

    def send_probe(self, endpoint: int) -> None:
        """Send a probe."""
        self._record(Code.PROBE, endpoint)
        self._host.send_probe(endpoint)

    def reject(self, request: int, retry_after: float) -> None:
        """Reject a request."""
        self._record(Code.REJECT, -1, request, retry_after)
        self._host.reject(request, retry_after)

    def fail(self, request: int) -> None:
        """Fail a request."""
        self._record(Code.FAIL, -1, request)
        self._host.fail(request)

    def set_timer(self, delay: float, token: int) -> None:
        """Set a timer."""
        delay = self._recording.timer_delay(delay)
        self._record(Code.SET_TIMER, -1, delay, token)
        self._host.set_timer(delay, token)

    def poll_list(self) -> None:
        """Poll the endpoint list."""
        self._record(Code.POLL_LIST, -1)
        self._host.poll_list()

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        """Report an ejection."""
        self._record(Code.EJECT, endpoint, seconds)
        self._host.report_ejection(endpoint, seconds)

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        """Send gossip to a peer."""
        self._record(Code.GOSSIP, -1, peer, newest, *flattened(outcomes))
        self._host.send_gossip(peer, newest, outcomes)


class ScriptedHost:
    """Passes commands to a script."""

    def __init__(self, running: script.Script) -> None:
        self._script = running

    def now(self) -> float:
        """Return the time of the host's clock."""
        return self._script.clock

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send an attempt."""
        self._script.attempt(request, endpoint, timeout)

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt."""
        self._script.cancel(request, attempt)

    def send_probe(self, endpoint: int) -> None:
        """Send a probe."""
        self._script.probe(endpoint)

    def reject(self, request: int, retry_after: float) -> None:
        """Reject a request."""
        self._script.close(request)

    def fail(self, request: int) -> None:
        """Fail a request."""
        self._script.close(request)

    def set_timer(self, delay: float, token: int) -> None:
        """Set a timer."""
        self._script.set_timer(delay, token)

    def poll_list(self) -> None:
        """Do nothing: the script updates the list at times of its own."""

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        """Do nothing."""

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        """Do nothing."""


# The balancer with a script.


def request_classes_of(settings: script.Settings) -> list[RequestClass]:
    """Convert request classes to the type of this tree."""
    return [
        RequestClass(
            request_class.objective,
            request_class.deadline,
            request_class.weight,
            request_class.late_share,
            IDEMPOTENCIES[request_class.effect],
            DEDUPLICATION_SCOPES[request_class.group],
            request_class.window,
        )
        for request_class in settings.classes
    ]


def settings_of(settings: script.Settings) -> BalancerSettings:
    """Convert settings to the type of this tree."""
    return BalancerSettings(
        seed=settings.seed,
        request_classes=request_classes_of(settings),
        tenant_quotas=script.TENANT_QUOTAS,
        over_quota_weight=0.3,
        node_count=settings.nodes,
        process_count=settings.processes,
        tier=settings.depth,
        tier_count=settings.depths,
        polls_list=settings.must_follow,
        cancellation=settings.cancels,
        hedging=settings.hedges,
        retry_after_max=2.0,
        max_attempts=settings.max_attempts,
        poll_interval=10.0,
        cross_zone_cost=settings.crossing_price,
        connection_cost=settings.connection_price,
        connection_idle_timeout=1.0,
        connect_timeout=0.25,
        slow_start_share=0.4,
        slow_start_time=6.0,
        sidecar=settings.beside_clients,
        gossips=settings.gossips,
        node_index=settings.nodes // 2,
        key_affinity=settings.warm_keys,
    )


def entries_of(endpoints: Sequence[script.Endpoint]) -> list[EndpointEntry]:
    """Convert endpoints to the type of this tree."""
    return [
        EndpointEntry(
            endpoint.number,
            ENDPOINT_STATES[endpoint.state],
            endpoint.started_at,
            endpoint.zone,
            endpoint.cell,
            endpoint.power,
            endpoint.tag,
        )
        for endpoint in endpoints
    ]


def load_of(report: script.LoadReport | None) -> LoadReport | None:
    """Convert a load report to the type of this tree."""
    return None if report is None else LoadReport(*report.figures)


class BalancerDriver:
    """Implements `script.Driver` with the balancer of this tree."""

    def __init__(self, running: script.Script, recording: Recording) -> None:
        self._script, self._recording = running, recording
        self._host = RecordingHost(ScriptedHost(running), 0, recording)
        self._balancer = Balancer(settings_of(running.settings), self._host)

    def submit(self, request: script.Request) -> None:
        """See `script.Driver`."""
        self._balancer.request_arrived(
            NewRequest(
                id=request.number,
                request_class=request.class_number,
                tenant=request.tenant,
                time_left=request.time_left,
                is_client_retry=request.is_retry,
                body_complete=request.whole,
                affinity_key=request.key,
            )
        )

    def end(self, ending: script.Ending) -> None:
        """See `script.Driver`."""
        self._balancer.attempt_ended(
            AttemptOutcome(
                request=ending.request,
                attempt=ending.attempt,
                endpoint=ending.endpoint,
                result=RESULTS[ending.result],
                seconds=ending.seconds,
                final=ending.over,
                load=load_of(ending.load),
                unrepeatable=ending.spent,
            )
        )

    def complete_body(self, request: int, time_left: float) -> None:
        """See `script.Driver`."""
        self._balancer.body_completed(request, time_left)

    def repeat_limit(self, request: int, attempt: int) -> float:
        """See `script.Driver`."""
        limit = self._balancer.repeatable_until(request, attempt)
        self._recording.add(self._script.clock, Code.REPEAT_LIMIT, -1, request, attempt, limit)
        return limit

    def begin_answer(self, request: int, attempt: int) -> None:
        """See `script.Driver`."""
        self._balancer.response_started(request, attempt)

    def withdraw(self, request: int) -> None:
        """See `script.Driver`."""
        self._balancer.request_cancelled(request)

    def end_probe(self, endpoint: int, result: int, load: script.LoadReport | None) -> None:
        """See `script.Driver`."""
        self._balancer.probe_ended(endpoint, RESULTS[result], load_of(load))

    def fire(self, token: int) -> None:
        """See `script.Driver`."""
        self._balancer.timer_fired(token)

    def update_list(self, kind: int, endpoints: Sequence[script.Endpoint]) -> None:
        """See `script.Driver`."""
        self._balancer.list_updated(LIST_UPDATES[kind], entries_of(endpoints))

    def ban(self, endpoint: int, banned: bool) -> None:
        """See `script.Driver`."""
        self._balancer.ban_changed(endpoint, banned)

    def receive_gossip(self, outcomes: Sequence[script.PeerOutcome]) -> None:
        """See `script.Driver`."""
        self._balancer.gossip_received([PeerOutcome(*outcome) for outcome in outcomes])

    def reconfigure(self, settings: script.Settings) -> None:
        """See `script.Driver`."""
        self._balancer.settings_changed(settings_of(settings), dict(enumerate(request_classes_of(settings))))

    def replace(self, settings: script.Settings, endpoints: Sequence[script.Endpoint]) -> None:
        """See `script.Driver`."""
        learned_state = self._balancer.export_state()
        self._balancer = Balancer(settings_of(settings), self._host)
        self._balancer.list_updated(ListUpdate.CACHED, entries_of(endpoints))
        self._balancer.restore_state(learned_state)


def play_script(seed: int, recording: Recording) -> None:
    """Play one script with the balancer, without sockets."""
    running = script.Script(seed)
    running.begin(BalancerDriver(running, recording))
    running.play()


# Scenarios of the emulator.

USUAL = Scenario("usual", length=14.0)
CONNECTIONS = Scenario(
    "connections", length=12.0, connection_idle=1.0, handshake_work=0.01, streams=(Stream(0, 80.0),)
)
COLD = Scenario(
    "cold", length=12.0, servers=6, cold_share=0.05, cold_time=10.0, list_delay=0.0, tip_multiple=2.0
)
TIERS = Scenario(
    "tiers",
    length=10.0,
    zones=2,
    zone_latency=0.002,
    tiers=(Tier(servers=4, share=0.4, slots=16), Tier(servers=6, share=0.6)),
    quotas=(15.0, 5.0),
    streams=(Stream(0, 25.0), Stream(1, 10.0, operator=1)),
)
WORLDS: tuple[tuple[Scenario, tuple[Fault, ...]], ...] = (
    (USUAL, (Fault(Kind.CRASH, 3.0, 6.0, (0, 1, 2)), Fault(Kind.SLOW, 7.0, 11.0, (3, 4), 6.0))),
    (USUAL, (Fault(Kind.HANG, 2.0, 7.0, (0,)), Fault(Kind.ERRORS, 5.0, 10.0, (1, 2), 0.5))),
    (USUAL, (Fault(Kind.RESET, 2.0, 7.0, (0, 1), 0.5), Fault(Kind.LOSE, 6.0, 11.0, (2, 3), 0.3))),
    (USUAL, tuple(Fault(Kind.DRAIN, 2.0 + number, 5.0 + number, (number,)) for number in range(4))),
    (USUAL, (Fault(Kind.LIST_DOWN, 1.0, 8.0), Fault(Kind.DRAIN, 3.0, 11.0, (0,)))),
    (USUAL, (Fault(Kind.LIST_SILENT, 2.0, 2.1), Fault(Kind.DRAIN, 3.0, 11.0, (0, 1, 2)))),
    (USUAL, (Fault(Kind.LIST_SPLIT, 1.0, 6.0, size=0.7), Fault(Kind.LIE, 3.0, 9.0, (0, 5), 0.1))),
    (CONNECTIONS, (Fault(Kind.CRASH, 3.0, 6.0, (0, 1)), Fault(Kind.HANG, 4.0, 8.0, (4,)))),
    (COLD, (Fault(Kind.CRASH, 3.0, 5.0, (0, 1, 2)),)),
    (TIERS, (Fault(Kind.CUT, 3.0, 5.0, zones=(1,)), Fault(Kind.CRASH, 5.0, 7.0, (1,), tier=1))),
    (Scenario("crowd", length=8.0, streams=(Stream(0, 400.0), Stream(1, 60.0)), client_leaves=0.2), ()),
)


def play_world(scenario: Scenario, recording: Recording) -> None:
    """Play one scenario of the emulator; its nodes are numbered in the order of their starts."""
    nodes = 0

    def make(settings: BalancerSettings, host: BalancerHost) -> RequestBalancer:
        nonlocal nodes
        nodes += 1
        return Balancer(settings, RecordingHost(host, nodes, recording))

    World(scenario, make).play()


def play_worlds(seed: int, recording: Recording) -> None:
    """Play all scenarios with one seed."""
    for number, (scenario, faults) in enumerate(WORLDS):
        recording.add(0.0, Code.PLAY, -1, number, seed)
        fields = {name: getattr(scenario, name) for name in scenario.__dataclass_fields__}
        play_world(Scenario(**{**fields, "seed": seed, "faults": faults}), recording)


# Fleets.

LIMIT = "l"
DRIFT = 0.05
MOVE_KINDS = (
    "deliver",
    "wait",
    "acquire_and_write",
    "release",
    "advance",
    "advance_near",
    "acquire",
    "write",
    "pause",
    "resume",
    "change_plan",
    "lose",
    "duplicate",
    "crash",
)
MOVE_WEIGHTS = (6.0, 1.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.3, 1.0, 0.3, 0.3, 0.5, 0.2)
CLOCK_RATES = (1.05, 1.0, 1 / 1.05, 1 / 1.05, 1.05)


class QuotaExploration:
    """Implements `fleet.LimitWorld` with the exploration of this tree."""

    def __init__(self) -> None:
        before = Split(1, {"a": 2, "b": 1, "c": 1})
        after = Plan(LIMIT, Split(2, {"a": 1, "b": 1, "d": 2}), before)
        plans: dict[str, Sequence[Plan]] = {name: [Plan(LIMIT, before), after] for name in "abcde"}
        self._world = LimitsWorld(
            plans, CLOCK_RATES, DRIFT, kinds=MOVE_KINDS, losses=20, duplicates=20, crashes=4
        ).settle(fleet.LIMIT_SETTLE_S)
        self._moves = list(self._world.moves())

    def now(self) -> float:
        """See `fleet.LimitWorld`."""
        return self._world.now

    def moves(self) -> Sequence[fleet.Move]:
        """See `fleet.LimitWorld`."""
        self._moves = list(self._world.moves())
        return [fleet.Move(MOVE_KINDS.index(move.kind), move.position) for move in self._moves]

    def take(self, number: int) -> None:
        """See `fleet.LimitWorld`."""
        self._world.apply(self._moves[number])

    def messages(self) -> Sequence[fleet.Message]:
        """See `fleet.LimitWorld`."""
        return [
            fleet.Message(in_flight.to, tuple(flattened(fleet.wire_value(in_flight.message))))
            for in_flight in self._world.messages
        ]

    def state(self) -> Iterator[tuple[float, ...]]:
        """See `fleet.LimitWorld`."""
        for number in range(len(self._world.nodes)):
            stats = self._world.quotas_of(number).stats(self._world.clock(number), LIMIT)
            yield tuple(flattened(stats))


class AcquiredPermit:
    """Implements `fleet.Permit`: a permit with the member that holds it."""

    def __init__(self, member: FleetAgent, permit: Permit) -> None:
        self._member, self._permit = member, permit

    def extend(self, now: float, until: float) -> bool:
        """See `fleet.Permit`."""
        return self._member.quotas.extend(now, self._permit, until)

    def hold(self, until: float) -> None:
        """See `fleet.Permit`."""
        self._member.quotas.expire_at(self._permit, until)

    def release(self, now: float) -> list[fleet.Sent]:
        """See `fleet.Permit`."""
        return sent(self._member.pack(self._member.quotas.release(now, self._permit)))


def sent(datagrams: Sequence[Datagram]) -> list[fleet.Sent]:
    """Convert datagrams to the type of `sameness_fleet`."""
    return [fleet.Sent(*datagram) for datagram in datagrams]


def fleet_config(number: int, revision: int, follows: bool) -> FleetConfig:
    """Return a member's configuration; odd and even revisions have different splits of the four permits."""
    splits: dict[int, Mapping[str, int]] = {0: {"n0": 2, "n1": 2}, 1: {"n0": 3, "n2": 1}}
    split = Split(revision, splits[revision % 2])
    before = Split(revision - 1, splits[(revision - 1) % 2]) if follows else None
    return FleetConfig(
        listen=fleet.address_of(number),
        advertise=fleet.address_of(number),
        seeds=(fleet.address_of(0), fleet.address_of(1)),
        keys=(Key(1, b"k" * 16),),
        clock_drift=0.01,
        clock_rate=1.0,
        plans=(Plan(LIMIT, split, before),),
        scopes={},
    )


class FleetMember:
    """Implements `fleet.Member`."""

    def __init__(self, number: int, name: int, start: int, seed: int, now: float) -> None:
        self._number = number
        config = fleet_config(number, 1, follows=False)
        self._member = FleetAgent(f"n{name}", start, config, 1.0, seed, now)

    def tick(self, now: float) -> list[fleet.Sent]:
        """See `fleet.Member`."""
        return sent(self._member.tick(now))

    def receive(self, now: float, data: bytes, source: str) -> list[fleet.Sent] | None:
        """See `fleet.Member`."""
        try:
            return sent(self._member.receive(now, data, source))
        except FleetError:
            return None

    def leave(self, now: float) -> list[fleet.Sent]:
        """See `fleet.Member`."""
        return sent(self._member.leave(now))

    def spend(self, now: float, until: float) -> fleet.Permit | None:
        """See `fleet.Member`."""
        permit = self._member.quotas.acquire(now, LIMIT, until)
        return None if permit is None else AcquiredPermit(self._member, permit)

    def seek(self, now: float) -> list[fleet.Sent]:
        """See `fleet.Member`."""
        return sent(self._member.pack(self._member.quotas.set_waiting(now, LIMIT, 1)))

    def renew(self, now: float, revision: int, follows: bool) -> bool:
        """See `fleet.Member`."""
        try:
            self._member.apply_config(now, fleet_config(self._number, revision, follows))
        except FleetError:
            return False
        return True

    def state(self, now: float) -> Iterator[float]:
        """See `fleet.Member`."""
        member = self._member
        yield from (member.membership.is_away(now), member.unknown_peers, len(member.faults(now)))
        yield from flattened(member.membership.digest())
        for name, peer in member.membership.members().items():
            yield from flattened((name, peer.start, peer.incarnation, peer.state, peer.since))
        for name, before, after in member.membership.take_changes():
            yield from flattened((name, before and before.state, after and after.state))
        yield from (member.quotas.may_be_granted(LIMIT), member.quotas.retry_after(now, LIMIT))
        yield from flattened(member.quotas.stats(now, LIMIT))


def play_fleet(seed: int, recording: Recording) -> None:
    """Play an exploration of quotas, then members over a network."""
    recording.add(0.0, Code.PLAY, -1, 0, seed)
    fleet.play_limits(QuotaExploration(), seed, MOVE_WEIGHTS, recording)
    recording.add(0.0, Code.PLAY, -1, 1, seed)
    fleet.Network(FleetMember, seed, recording).play()


# The watch of the endpoint list.

WATCH_EVENTS = (
    WatchEvent.ANSWERED,
    WatchEvent.TIMED_OUT,
    WatchEvent.REJECTED,
    WatchEvent.RATE_LIMITED,
    WatchEvent.CONNECTION_LOST,
    WatchEvent.ADDRESS_CHANGED,
)
POLL_ACTIONS = (PollAction.CONTINUE, PollAction.RETRY_NOW, PollAction.BACK_OFF, PollAction.RESUME)


class Watch:
    """Implements `script.Watch` with the list watch of this tree."""

    def __init__(self, poll_interval: float, pushed: bool, seed: int, nodes: int) -> None:
        self._watch = ListWatch(poll_interval, pushed, seed, nodes)

    def call(self, now: float, known: bool) -> tuple[float, float]:
        """See `script.Watch`."""
        wait = self._watch.next_wait(known)
        return wait, self._watch.poll_started(now, wait)

    def end(self, now: float, event: int) -> tuple[float, ...]:
        """See `script.Watch`."""
        watch, watch_event = self._watch, WATCH_EVENTS[event]
        if watch_event is WatchEvent.REJECTED:
            watch_event = watch.classify_rejection(now)
        action = watch.poll_ended(watch_event, now)
        times = (
            watch.backoff(),
            watch.address_change_delay(),
            watch.initial_wait(),
            watch.notified_by(),
        )
        return (WATCH_EVENTS.index(watch_event), POLL_ACTIONS.index(action), *times)


def play_watch(seed: int, recording: Recording) -> None:
    """Play watches of the endpoint list, whose polls end at random."""
    script.play_watches(Watch, seed, recording)


PLAYS = {"worlds": play_worlds, "script": play_script, "fleet": play_fleet, "watch": play_watch}
