# mypy: ignore-errors
"""The frozen recorder: speaks the names of commit 98f791a, for trees that have no recorder of their own.

A copy of `sameness_recorder` as it was when that tree was current, and not to be renamed. mypy passes over
it, as the names it imports are found in that tree alone. It is changed only where `sameness_rows`,
`sameness_script` or `sameness_fleet` change what they ask of a recorder.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from notchjunction.fleet.limits import Permit, Plan, Split
from notchjunction.fleet.member import Datagram, FleetInput, Member
from notchjunction.fleet.worlds import World as LimitsWorld
from notchjunction.following import Effect as WatchEffect
from notchjunction.following import Following
from notchjunction.following import Input as WatchInput
from notchjunction.interface import (
    Decisions,
    Effect,
    Group,
    Host,
    Job,
    Load,
    News,
    Outcome,
    Presence,
    Profile,
    Result,
    ServerEntry,
    Terms,
    Told,
)
from notchjunction.rules import Balancer

from benchmarks import sameness_fleet as fleet
from benchmarks import sameness_script as script
from benchmarks.sameness_rows import Code, Recording, flattened
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.emulator.world import World
from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import Key

EFFECTS = (Effect.REISSUABLE, Effect.NUMBERED, Effect.AT_MOST_ONCE)
GROUPS = (Group.ALL, Group.ZONE, Group.CELL)
PRESENCES = (Presence.READY, Presence.DRAINING, Presence.GONE)
NEWS = (News.CHANGES, News.WHOLE, News.REMEMBERED, News.FAILED)
RESULTS = (
    Result.HONOURED,
    Result.ERROR,
    Result.FULL,
    Result.TIMED_OUT,
    Result.NO_CONNECTION,
    Result.RESET,
    Result.SPOILT,
    Result.RECALLED,
    Result.NEVER_SENT,
    Result.UNKNOWN,
)


# The hosts.


class RecordingHost:
    """Stands before a host and records each command; `node` tells several hosts of one play apart."""

    def __init__(self, host: Host, node: int, recording: Recording) -> None:
        self._host, self._node, self._recording = host, node, recording

    def _record(self, code: Code, endpoint: int, *numbers: float) -> None:
        self._recording.add(self._host.now(), code, endpoint, self._node, *numbers)

    def now(self) -> float:
        """The host's clock."""
        return self._host.now()

    def dispatch(self, job: int, server: int, within: float) -> None:
        """An attempt."""
        self._record(Code.ATTEMPT, server, job, within)
        self._host.dispatch(job, server, within)

    def recall(self, job: int, dispatch: int) -> None:
        """A cancel."""
        self._record(Code.CANCEL, -1, job, dispatch)
        self._host.recall(job, dispatch)

    def probe(self, server: int) -> None:
        """A probe."""
        self._record(Code.PROBE, server)
        self._host.probe(server)

    def turn_back(self, job: int, come_back_in: float) -> None:
        """A final answer: come again."""
        self._record(Code.REJECT, -1, job, come_back_in)
        self._host.turn_back(job, come_back_in)

    def write_off(self, job: int) -> None:
        """A final answer: it failed."""
        self._record(Code.FAIL, -1, job)
        self._host.write_off(job)

    def set_timer(self, delay: float, token: int) -> None:
        """A timer."""
        delay = self._recording.timer_delay(delay)
        self._record(Code.SET_TIMER, -1, delay, token)
        self._host.set_timer(delay, token)

    def follow(self) -> None:
        """A poll of the endpoint list."""
        self._record(Code.POLL_LIST, -1)
        self._host.follow()

    def set_aside(self, server: int, seconds: float) -> None:
        """An ejection."""
        self._record(Code.EJECT, server, seconds)
        self._host.set_aside(server, seconds)

    def tell(self, peer: int, newest: int, told: Sequence[Told]) -> None:
        """Gossip to a peer."""
        self._record(Code.GOSSIP, -1, peer, newest, *flattened(told))
        self._host.tell(peer, newest, told)


class ScriptedHost:
    """Gives commands to a script."""

    def __init__(self, played: script.Script) -> None:
        self._script = played

    def now(self) -> float:
        """The host's clock."""
        return self._script.clock

    def dispatch(self, job: int, server: int, within: float) -> None:
        """An attempt."""
        self._script.attempt(job, server, within)

    def recall(self, job: int, dispatch: int) -> None:
        """A cancel."""
        self._script.cancel(job, dispatch)

    def probe(self, server: int) -> None:
        """A probe."""
        self._script.probe(server)

    def turn_back(self, job: int, come_back_in: float) -> None:
        """A final answer: come again."""
        self._script.close(job)

    def write_off(self, job: int) -> None:
        """A final answer: it failed."""
        self._script.close(job)

    def set_timer(self, delay: float, token: int) -> None:
        """A timer."""
        self._script.set_timer(delay, token)

    def follow(self) -> None:
        """A script gives list news when it likes."""

    def set_aside(self, server: int, seconds: float) -> None:
        """Nothing follows from it."""

    def tell(self, peer: int, newest: int, told: Sequence[Told]) -> None:
        """Nothing follows from it."""


# Decisions behind a script.


def profiles_of(settings: script.Settings) -> list[Profile]:
    """Request classes in this tree's type."""
    return [
        Profile(
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


def terms_of(settings: script.Settings) -> Terms:
    """Settings in this tree's type."""
    return Terms(
        seed=settings.seed,
        profiles=profiles_of(settings),
        operator_quotas=script.TENANT_QUOTAS,
        overage=0.3,
        nodes=settings.nodes,
        processes=settings.processes,
        depth=settings.depth,
        depths=settings.depths,
        must_follow=settings.must_follow,
        recalls=settings.cancels,
        second_copies=settings.hedges,
        advice_limit=2.0,
        max_dispatches=settings.max_attempts,
        ask_within=10.0,
        crossing_price=settings.crossing_price,
        connection_price=settings.connection_price,
        connection_idle=1.0,
        connect_within=0.25,
        cold_share=0.4,
        cold_time=6.0,
        beside_clients=settings.beside_clients,
        may_tell=settings.gossips,
        me=settings.nodes // 2,
        warm_keys=settings.warm_keys,
    )


def entries_of(endpoints: Sequence[script.Endpoint]) -> list[ServerEntry]:
    """Endpoints in this tree's type."""
    return [
        ServerEntry(
            each.number, PRESENCES[each.state], each.started_at, each.zone, each.cell, each.power, each.tag
        )
        for each in endpoints
    ]


def load_of(report: script.LoadReport | None) -> Load | None:
    """A load report in this tree's type."""
    return None if report is None else Load(*report.figures)


class ScriptedDecisions:
    """The decisions as a script's driver."""

    def __init__(self, played: script.Script, recording: Recording) -> None:
        self._script, self._recording = played, recording
        self._host = RecordingHost(ScriptedHost(played), 0, recording)
        self._balancer = Balancer(terms_of(played.settings), self._host)

    def submit(self, request: script.Request) -> None:
        """As in `script.Driver`."""
        self._balancer.take(
            Job(
                id=request.number,
                profile=request.class_number,
                operator=request.tenant,
                time_left=request.time_left,
                repeat=request.is_retry,
                whole=request.whole,
                key=request.key,
            )
        )

    def end(self, ending: script.Ending) -> None:
        """As in `script.Driver`."""
        self._balancer.outcome(
            Outcome(
                job=ending.request,
                dispatch=ending.attempt,
                server=ending.endpoint,
                result=RESULTS[ending.result],
                seconds=ending.seconds,
                over=ending.over,
                load=load_of(ending.load),
                spent=ending.spent,
            )
        )

    def complete_body(self, request: int, time_left: float) -> None:
        """As in `script.Driver`."""
        self._balancer.whole(request, time_left)

    def repeat_limit(self, request: int, attempt: int) -> float:
        """As in `script.Driver`."""
        limit = self._balancer.repeat_until(request, attempt)
        self._recording.add(self._script.clock, Code.REPEAT_LIMIT, -1, request, attempt, limit)
        return limit

    def begin_answer(self, request: int, attempt: int) -> None:
        """As in `script.Driver`."""
        self._balancer.streaming(request, attempt)

    def withdraw(self, request: int) -> None:
        """As in `script.Driver`."""
        self._balancer.withdrawn(request)

    def end_probe(self, endpoint: int, result: int, load: script.LoadReport | None) -> None:
        """As in `script.Driver`."""
        self._balancer.probed(endpoint, RESULTS[result], load_of(load))

    def fire(self, token: int) -> None:
        """As in `script.Driver`."""
        self._balancer.timer(token)

    def update_list(self, kind: int, endpoints: Sequence[script.Endpoint]) -> None:
        """As in `script.Driver`."""
        self._balancer.listed(NEWS[kind], entries_of(endpoints))

    def ban(self, endpoint: int, banned: bool) -> None:
        """As in `script.Driver`."""
        self._balancer.barred(endpoint, banned)

    def receive_gossip(self, outcomes: Sequence[script.PeerOutcome]) -> None:
        """As in `script.Driver`."""
        self._balancer.heard([Told(*each) for each in outcomes])

    def reconfigure(self, settings: script.Settings) -> None:
        """As in `script.Driver`."""
        self._balancer.retuned(terms_of(settings), dict(enumerate(profiles_of(settings))))

    def replace(self, settings: script.Settings, endpoints: Sequence[script.Endpoint]) -> None:
        """As in `script.Driver`."""
        lessons = self._balancer.lessons()
        self._balancer = Balancer(terms_of(settings), self._host)
        self._balancer.listed(News.REMEMBERED, entries_of(endpoints))
        self._balancer.learn(lessons)


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

    def make(terms: Terms, host: Host) -> Decisions:
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
            figures = self._world.of(number).figures(self._world.clock(number), LIMIT)
            yield tuple(flattened(figures))


class SpentPermit:
    """A permit with the member that gave it."""

    def __init__(self, member: Member, permit: Permit) -> None:
        self._member, self._permit = member, permit

    def extend(self, now: float, until: float) -> bool:
        """As in `fleet.Permit`."""
        return self._member.limits.extend(now, self._permit, until)

    def hold(self, until: float) -> None:
        """As in `fleet.Permit`."""
        self._member.limits.hold(self._permit, until)

    def release(self, now: float) -> list[fleet.Sent]:
        """As in `fleet.Permit`."""
        return sent(self._member.packed(self._member.limits.release(now, self._permit)))


def sent(datagrams: Sequence[Datagram]) -> list[fleet.Sent]:
    """Datagrams in the script's type."""
    return [fleet.Sent(*each) for each in datagrams]


def fleet_input(number: int, revision: int, follows: bool) -> FleetInput:
    """What a member's file says; odd and even revisions give two rights each to other owners."""
    splits: dict[int, Mapping[str, int]] = {0: {"n0": 2, "n1": 2}, 1: {"n0": 3, "n2": 1}}
    split = Split(revision, splits[revision % 2])
    before = Split(revision - 1, splits[(revision - 1) % 2]) if follows else None
    return FleetInput(
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
        self._member = Member(f"n{name}", start, told, 1.0, seed, now)

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
        permit = self._member.limits.spend(now, LIMIT, until)
        return None if permit is None else SpentPermit(self._member, permit)

    def seek(self, now: float) -> list[fleet.Sent]:
        """As in `fleet.Member`."""
        return sent(self._member.packed(self._member.limits.seek(now, LIMIT, 1)))

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
        yield from (member.roster.away(now), member.unknown_peers, len(member.faults(now)))
        yield from flattened(member.roster.digest())
        for name, held in member.roster.members().items():
            yield from flattened((name, held.start, held.incarnation, held.state, held.since))
        for name, before, after in member.roster.take_events():
            yield from flattened((name, before and before.state, after and after.state))
        yield from (member.limits.seeking(LIMIT), member.limits.free_in(now, LIMIT))
        yield from flattened(member.limits.figures(now, LIMIT))


def play_fleet(seed: int, recording: Recording) -> None:
    """Moves among limits, then members over a network."""
    recording.add(0.0, Code.PLAY, -1, 0, seed)
    fleet.play_limits(LimitMoves(), seed, MOVE_WEIGHTS, recording)
    recording.add(0.0, Code.PLAY, -1, 1, seed)
    fleet.Network(FleetMember, seed, recording).play()


# The watch of the endpoint list.

WATCH_INPUTS = (
    WatchInput.ANSWERED,
    WatchInput.SILENCE,
    WatchInput.REFUSAL,
    WatchInput.CROWD,
    WatchInput.BREAK,
    WatchInput.MOVED,
)
WATCH_EFFECTS = (WatchEffect.GO_ON, WatchEffect.AGAIN, WatchEffect.PAUSE, WatchEffect.BACK)


class Watch:
    """The state machine of the watch, as its script sees it."""

    def __init__(self, poll_within: float, pushed: bool, seed: int, nodes: int) -> None:
        self._following = Following(poll_within, pushed, seed, nodes)

    def call(self, now: float, known: bool) -> tuple[float, float]:
        """As in `script.Watch`."""
        wait = self._following.next_wait(known)
        return wait, self._following.begins(now, wait)

    def end(self, now: float, event: int) -> tuple[float, ...]:
        """As in `script.Watch`."""
        following, told = self._following, WATCH_INPUTS[event]
        if told is WatchInput.REFUSAL:
            told = following.refusal(now)
        effect = following.tell(told, now)
        moments = (following.pause(), following.move_pause(), following.waits_first(), following.told_by())
        return (WATCH_INPUTS.index(told), WATCH_EFFECTS.index(effect), *moments)


def play_watch(seed: int, recording: Recording) -> None:
    """Watches of the endpoint list whose calls end by chance."""
    script.play_watches(Watch, seed, recording)


PLAYS = {"worlds": play_worlds, "script": play_script, "fleet": play_fleet, "watch": play_watch}
