"""Plays fixed seeds against the decisions of the tree that it is found in, and records the commands.

It speaks this tree's names and is renamed along with them; all that depends on no name (scripts, rows) is in
the modules `sameness_rows`, `sameness_script` and `sameness_fleet`. Run by `sameness_player`. What is
listed here in an order (results, states) is known by number there: the order must stay.
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
from notchjunction.discovery.watch_state import ListWatch
from notchjunction.discovery.watch_state import PollAction as WatchEffect
from notchjunction.discovery.watch_state import WatchEvent as WatchInput
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.emulator.world import World
from notchjunction.errors import FleetError
from notchjunction.fleet.agent import Datagram, FleetAgent, FleetConfig
from notchjunction.fleet.envelope import Key
from notchjunction.fleet.exploration import World as LimitsWorld
from notchjunction.fleet.quotas.plan import Plan, Split
from notchjunction.fleet.quotas.state import Permit

EFFECTS = (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
GROUPS = (DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.GROUP)
PRESENCES = (EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED)
NEWS = (ListUpdate.CHANGES, ListUpdate.SNAPSHOT, ListUpdate.CACHED, ListUpdate.FAILED)
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


# The hosts.


class RecordingHost:
    """Stands before a host and records each command; `node` tells several hosts of one play apart."""

    def __init__(self, host: BalancerHost, node: int, recording: Recording) -> None:
        self._host, self._node, self._recording = host, node, recording

    def _record(self, code: Code, endpoint: int, *numbers: float) -> None:
        self._recording.add(self._host.now(), code, endpoint, self._node, *numbers)

    def now(self) -> float:
        """The host's clock."""
        return self._host.now()

    def send_attempt(self, job: int, server: int, within: float) -> None:
        """An attempt."""
        self._record(Code.ATTEMPT, server, job, within)
        self._host.send_attempt(job, server, within)

    def cancel_attempt(self, job: int, dispatch: int) -> None:
        """A cancel."""
        self._record(Code.CANCEL, -1, job, dispatch)
        self._host.cancel_attempt(job, dispatch)

    def send_probe(self, server: int) -> None:
        """A probe."""
        self._record(Code.PROBE, server)
        self._host.send_probe(server)

    def reject(self, job: int, come_back_in: float) -> None:
        """A final answer: come again."""
        self._record(Code.REJECT, -1, job, come_back_in)
        self._host.reject(job, come_back_in)

    def fail(self, job: int) -> None:
        """A final answer: it failed."""
        self._record(Code.FAIL, -1, job)
        self._host.fail(job)

    def set_timer(self, delay: float, token: int) -> None:
        """A timer."""
        delay = self._recording.timer_delay(delay)
        self._record(Code.SET_TIMER, -1, delay, token)
        self._host.set_timer(delay, token)

    def poll_list(self) -> None:
        """A poll of the endpoint list."""
        self._record(Code.POLL_LIST, -1)
        self._host.poll_list()

    def report_ejection(self, server: int, seconds: float) -> None:
        """An ejection."""
        self._record(Code.EJECT, server, seconds)
        self._host.report_ejection(server, seconds)

    def send_gossip(self, peer: int, newest: int, told: Sequence[PeerOutcome]) -> None:
        """Gossip to a peer."""
        self._record(Code.GOSSIP, -1, peer, newest, *flattened(told))
        self._host.send_gossip(peer, newest, told)


class ScriptedHost:
    """Gives commands to a script."""

    def __init__(self, played: script.Script) -> None:
        self._script = played

    def now(self) -> float:
        """The host's clock."""
        return self._script.clock

    def send_attempt(self, job: int, server: int, within: float) -> None:
        """An attempt."""
        self._script.attempt(job, server, within)

    def cancel_attempt(self, job: int, dispatch: int) -> None:
        """A cancel."""
        self._script.cancel(job, dispatch)

    def send_probe(self, server: int) -> None:
        """A probe."""
        self._script.probe(server)

    def reject(self, job: int, come_back_in: float) -> None:
        """A final answer: come again."""
        self._script.close(job)

    def fail(self, job: int) -> None:
        """A final answer: it failed."""
        self._script.close(job)

    def set_timer(self, delay: float, token: int) -> None:
        """A timer."""
        self._script.set_timer(delay, token)

    def poll_list(self) -> None:
        """A script gives list news when it likes."""

    def report_ejection(self, server: int, seconds: float) -> None:
        """Nothing follows from it."""

    def send_gossip(self, peer: int, newest: int, told: Sequence[PeerOutcome]) -> None:
        """Nothing follows from it."""


# Decisions behind a script.


def profiles_of(settings: script.Settings) -> list[RequestClass]:
    """Request classes in this tree's type."""
    return [
        RequestClass(
            each.objective,
            each.deadline,
            each.weight,
            each.late_share,
            EFFECTS[each.effect],
            GROUPS[each.group],
            each.window,
        )
        for each in settings.classes
    ]


def terms_of(settings: script.Settings) -> BalancerSettings:
    """Settings in this tree's type."""
    return BalancerSettings(
        seed=settings.seed,
        request_classes=profiles_of(settings),
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
    """Endpoints in this tree's type."""
    return [
        EndpointEntry(
            each.number, PRESENCES[each.state], each.started_at, each.zone, each.cell, each.power, each.tag
        )
        for each in endpoints
    ]


def load_of(report: script.LoadReport | None) -> LoadReport | None:
    """A load report in this tree's type."""
    return None if report is None else LoadReport(*report.figures)


class ScriptedDecisions:
    """The decisions as a script's driver."""

    def __init__(self, played: script.Script, recording: Recording) -> None:
        self._script, self._recording = played, recording
        self._host = RecordingHost(ScriptedHost(played), 0, recording)
        self._balancer = Balancer(terms_of(played.settings), self._host)

    def submit(self, request: script.Request) -> None:
        """As in `script.Driver`."""
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
        """As in `script.Driver`."""
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
        """As in `script.Driver`."""
        self._balancer.body_completed(request, time_left)

    def repeat_limit(self, request: int, attempt: int) -> float:
        """As in `script.Driver`."""
        limit = self._balancer.repeatable_until(request, attempt)
        self._recording.add(self._script.clock, Code.REPEAT_LIMIT, -1, request, attempt, limit)
        return limit

    def begin_answer(self, request: int, attempt: int) -> None:
        """As in `script.Driver`."""
        self._balancer.response_started(request, attempt)

    def withdraw(self, request: int) -> None:
        """As in `script.Driver`."""
        self._balancer.request_cancelled(request)

    def end_probe(self, endpoint: int, result: int, load: script.LoadReport | None) -> None:
        """As in `script.Driver`."""
        self._balancer.probe_ended(endpoint, RESULTS[result], load_of(load))

    def fire(self, token: int) -> None:
        """As in `script.Driver`."""
        self._balancer.timer_fired(token)

    def update_list(self, kind: int, endpoints: Sequence[script.Endpoint]) -> None:
        """As in `script.Driver`."""
        self._balancer.list_updated(NEWS[kind], entries_of(endpoints))

    def ban(self, endpoint: int, banned: bool) -> None:
        """As in `script.Driver`."""
        self._balancer.ban_changed(endpoint, banned)

    def receive_gossip(self, outcomes: Sequence[script.PeerOutcome]) -> None:
        """As in `script.Driver`."""
        self._balancer.gossip_received([PeerOutcome(*each) for each in outcomes])

    def reconfigure(self, settings: script.Settings) -> None:
        """As in `script.Driver`."""
        self._balancer.settings_changed(terms_of(settings), dict(enumerate(profiles_of(settings))))

    def replace(self, settings: script.Settings, endpoints: Sequence[script.Endpoint]) -> None:
        """As in `script.Driver`."""
        lessons = self._balancer.export_state()
        self._balancer = Balancer(terms_of(settings), self._host)
        self._balancer.list_updated(ListUpdate.CACHED, entries_of(endpoints))
        self._balancer.restore_state(lessons)


def play_script(seed: int, recording: Recording) -> None:
    """One script against the decisions, without sockets."""
    played = script.Script(seed)
    played.begin(ScriptedDecisions(played, recording))
    played.play()


# The emulator's worlds.

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
    """One world of the emulator; its nodes are numbered in the order in which they come up."""
    nodes = 0

    def make(terms: BalancerSettings, host: BalancerHost) -> RequestBalancer:
        nonlocal nodes
        nodes += 1
        return Balancer(terms, RecordingHost(host, nodes, recording))

    World(scenario, make).play()


def play_worlds(seed: int, recording: Recording) -> None:
    """All worlds with one seed."""
    for number, (scenario, faults) in enumerate(WORLDS):
        recording.add(0.0, Code.PLAY, -1, number, seed)
        fields = {name: getattr(scenario, name) for name in scenario.__dataclass_fields__}
        play_world(Scenario(**{**fields, "seed": seed, "faults": faults}), recording)


# Fleets.

LIMIT = "l"
DRIFT = 0.05
MOVE_KINDS = (
    "deliver",
    "seek",
    "spend",
    "end",
    "pass",
    "near",
    "take",
    "write",
    "pause",
    "wake",
    "replan",
    "lose",
    "repeat",
    "crash",
)
MOVE_WEIGHTS = (6.0, 1.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.3, 1.0, 0.3, 0.3, 0.5, 0.2)
CLOCK_RATES = (1.05, 1.0, 1 / 1.05, 1 / 1.05, 1.05)


class LimitMoves:
    """A world of limits as the fleet's part of the script sees it."""

    def __init__(self) -> None:
        before = Split(1, {"a": 2, "b": 1, "c": 1})
        after = Plan(LIMIT, Split(2, {"a": 1, "b": 1, "d": 2}), before)
        plans: dict[str, Sequence[Plan]] = {name: [Plan(LIMIT, before), after] for name in "abcde"}
        self._world = LimitsWorld(
            plans, CLOCK_RATES, DRIFT, kinds=MOVE_KINDS, losses=20, repeats=20, crashes=4
        ).settle(fleet.LIMIT_SETTLE_S)
        self._moves = list(self._world.moves())

    def now(self) -> float:
        """As in `fleet.LimitWorld`."""
        return self._world.now

    def moves(self) -> Sequence[fleet.Move]:
        """As in `fleet.LimitWorld`."""
        self._moves = list(self._world.moves())
        return [fleet.Move(MOVE_KINDS.index(move.kind), move.at) for move in self._moves]

    def take(self, number: int) -> None:
        """As in `fleet.LimitWorld`."""
        self._world.do(self._moves[number])

    def messages(self) -> Sequence[fleet.Message]:
        """As in `fleet.LimitWorld`."""
        return [
            fleet.Message(flight.to, tuple(flattened(fleet.wire_value(flight.message))))
            for flight in self._world.flights
        ]

    def state(self) -> Iterator[tuple[float, ...]]:
        """As in `fleet.LimitWorld`."""
        for number in range(len(self._world.places)):
            figures = self._world.of(number).stats(self._world.clock(number), LIMIT)
            yield tuple(flattened(figures))


class SpentPermit:
    """A permit with the member that gave it."""

    def __init__(self, member: FleetAgent, permit: Permit) -> None:
        self._member, self._permit = member, permit

    def extend(self, now: float, until: float) -> bool:
        """As in `fleet.Permit`."""
        return self._member.limits.extend(now, self._permit, until)

    def hold(self, until: float) -> None:
        """As in `fleet.Permit`."""
        self._member.limits.expire_at(self._permit, until)

    def release(self, now: float) -> list[fleet.Sent]:
        """As in `fleet.Permit`."""
        return sent(self._member.packed(self._member.limits.release(now, self._permit)))


def sent(datagrams: Sequence[Datagram]) -> list[fleet.Sent]:
    """Datagrams in the script's type."""
    return [fleet.Sent(*each) for each in datagrams]


def fleet_input(number: int, revision: int, follows: bool) -> FleetConfig:
    """What a member's file says; odd and even revisions give two rights each to other owners."""
    splits: dict[int, Mapping[str, int]] = {0: {"n0": 2, "n1": 2}, 1: {"n0": 3, "n2": 1}}
    split = Split(revision, splits[revision % 2])
    before = Split(revision - 1, splits[(revision - 1) % 2]) if follows else None
    return FleetConfig(
        listen=fleet.address_of(number),
        advertise=fleet.address_of(number),
        seeds=(fleet.address_of(0), fleet.address_of(1)),
        keys=(Key(1, b"k" * 16),),
        drift=0.01,
        rate=1.0,
        plans=(Plan(LIMIT, split, before),),
        scopes={},
    )


class FleetMember:
    """One start of a member."""

    def __init__(self, number: int, name: int, start: int, seed: int, now: float) -> None:
        self._number = number
        told = fleet_input(number, 1, follows=False)
        self._member = FleetAgent(f"n{name}", start, told, 1.0, seed, now)

    def tick(self, now: float) -> list[fleet.Sent]:
        """As in `fleet.Member`."""
        return sent(self._member.tick(now))

    def receive(self, now: float, data: bytes, source: str) -> list[fleet.Sent] | None:
        """As in `fleet.Member`."""
        try:
            return sent(self._member.hear(now, data, source))
        except FleetError:
            return None

    def leave(self, now: float) -> list[fleet.Sent]:
        """As in `fleet.Member`."""
        return sent(self._member.leave(now))

    def spend(self, now: float, until: float) -> fleet.Permit | None:
        """As in `fleet.Member`."""
        permit = self._member.limits.acquire(now, LIMIT, until)
        return None if permit is None else SpentPermit(self._member, permit)

    def seek(self, now: float) -> list[fleet.Sent]:
        """As in `fleet.Member`."""
        return sent(self._member.packed(self._member.limits.set_waiting(now, LIMIT, 1)))

    def renew(self, now: float, revision: int, follows: bool) -> bool:
        """As in `fleet.Member`."""
        try:
            self._member.renew(now, fleet_input(self._number, revision, follows))
        except FleetError:
            return False
        return True

    def state(self, now: float) -> Iterator[float]:
        """As in `fleet.Member`."""
        member = self._member
        yield from (member.roster.is_away(now), member.unknown_peers, len(member.faults(now)))
        yield from flattened(member.roster.digest())
        for name, held in member.roster.members().items():
            yield from flattened((name, held.start, held.incarnation, held.state, held.since))
        for name, before, after in member.roster.take_changes():
            yield from flattened((name, before and before.state, after and after.state))
        yield from (member.limits.may_be_granted(LIMIT), member.limits.retry_after(now, LIMIT))
        yield from flattened(member.limits.stats(now, LIMIT))


def play_fleet(seed: int, recording: Recording) -> None:
    """Moves among limits, then members over a network."""
    recording.add(0.0, Code.PLAY, -1, 0, seed)
    fleet.play_limits(LimitMoves(), seed, MOVE_WEIGHTS, recording)
    recording.add(0.0, Code.PLAY, -1, 1, seed)
    fleet.Network(FleetMember, seed, recording).play()


# The watch of the endpoint list.

WATCH_INPUTS = (
    WatchInput.ANSWERED,
    WatchInput.TIMED_OUT,
    WatchInput.REJECTED,
    WatchInput.RATE_LIMITED,
    WatchInput.CONNECTION_LOST,
    WatchInput.ADDRESS_CHANGED,
)
WATCH_EFFECTS = (WatchEffect.CONTINUE, WatchEffect.RETRY_NOW, WatchEffect.BACK_OFF, WatchEffect.RESUME)


class Watch:
    """The state machine of the watch, as its script sees it."""

    def __init__(self, poll_within: float, pushed: bool, seed: int, nodes: int) -> None:
        self._following = ListWatch(poll_within, pushed, seed, nodes)

    def call(self, now: float, known: bool) -> tuple[float, float]:
        """As in `script.Watch`."""
        wait = self._following.next_wait(known)
        return wait, self._following.poll_started(now, wait)

    def end(self, now: float, event: int) -> tuple[float, ...]:
        """As in `script.Watch`."""
        following, told = self._following, WATCH_INPUTS[event]
        if told is WatchInput.REJECTED:
            told = following.classify_rejection(now)
        effect = following.poll_ended(told, now)
        moments = (
            following.backoff(),
            following.address_change_delay(),
            following.initial_wait(),
            following.notified_by(),
        )
        return (WATCH_INPUTS.index(told), WATCH_EFFECTS.index(effect), *moments)


def play_watch(seed: int, recording: Recording) -> None:
    """Watches of the endpoint list whose calls end by chance."""
    script.play_watches(Watch, seed, recording)


PLAYS = {"worlds": play_worlds, "script": play_script, "fleet": play_fleet, "watch": play_watch}
