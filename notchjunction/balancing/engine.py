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
    Decisions,
    Effect,
    Job,
    Load,
    News,
    Outcome,
    Profile,
    Result,
    ServerEntry,
    Terms,
    Told,
)
from notchjunction.balancing.outcome_gossip import Notes, Word, tag_of
from notchjunction.discovery.endpoints import Listed, Presence
from notchjunction.discovery.start_times import Starts

GONE_KEPT = 1024  # names that left the list and that operators may still speak of; a release of a large fleet
UNKNOWN = -1  # the number of no profile
LAGS_KEPT = 256  # last delays of timers; some tens of seconds of ordinary traffic


@dataclass(frozen=True, slots=True)
class Names:
    """The words under which callers and the list name what the module numbers."""

    profiles: Sequence[str] = ()
    operators: Sequence[str] = ()
    zones: Sequence[str] = ()


@dataclass(frozen=True, slots=True)
class Ask:
    """A job as its caller states it; `effect` is what method and key say."""

    profile: str
    time_left: float
    effect: Effect = Effect.AT_MOST_ONCE
    operator: str = ""
    repeat: bool = False
    work_hint: float | None = None
    whole: bool = True  # whether its last byte has come; else `whole` tells of it
    key: str = ""


@dataclass(frozen=True, slots=True)
class Ended:
    """How a dispatch or a probe ended, and after how long."""

    result: Result
    seconds: float
    load: Load | None = None
    spent: bool = False  # more of the request was sent on than is kept: there is no other dispatch


class Kind(NamedTuple):
    """A profile as it is in force, and its numbers."""

    profile: Profile
    number: int
    cautious: int


# Orders about a job.


@dataclass(frozen=True, slots=True)
class Send:
    dispatch: int
    server: str
    until: float  # s on the decider's clock: the end of the time that it is given


@dataclass(frozen=True, slots=True)
class Stop:
    dispatch: int


@dataclass(frozen=True, slots=True)
class Begin:
    """That dispatch's answer has begun to come and is the final one, whatever becomes of it."""

    dispatch: int


@dataclass(frozen=True, slots=True)
class PassOn:
    """That dispatch's answer is the final one."""

    dispatch: int


@dataclass(frozen=True, slots=True)
class TurnBack:
    come_back_in: float


@dataclass(frozen=True, slots=True)
class WriteOff:
    pass


@dataclass(frozen=True, slots=True)
class Leave:
    """The caller has gone; nothing is owed."""


# Orders about no job.


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Follow:
    pass


@dataclass(frozen=True, slots=True)
class SetAside:
    """To be told to whoever is on call; nothing is to be done."""

    server: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Tell:
    """A note for a peer; that it arrives is not counted on."""

    peer: int
    note: bytes


Order = Send | Stop | Begin | PassOn | TurnBack | WriteOff | Leave
Errand = Probe | Follow | SetAside | Tell


@dataclass(slots=True, eq=False)
class Ticket:
    """A job that was taken, until its final answer is ordered and its last dispatch reported."""

    number: int
    orders: asyncio.Queue[Order] = field(default_factory=asyncio.Queue)
    servers: list[int] = field(default_factory=list)  # by dispatch
    out: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)  # dispatches, whether or not their Stop was picked
    begun: bool = False  # a large answer is on its way
    answered: bool = False


class Decider:
    """The facade. `clock` gives Unix time that never jumps, `wake` asks for a `tick` after a delay.

    `wall` gives Unix time as the machine has it now, by which the list tells when servers started.
    """

    def __init__(
        self,
        terms: Terms,
        names: Names,
        clock: Callable[[], float],
        wake: Callable[[float], None],
        wall: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._wall = wall or clock
        self._starts = Starts(clock())
        self._wake = wake
        self._kinds: dict[str, Kind] = {}
        self._kinds_made = 0
        self._operators = {name: index for index, name in enumerate(names.operators)}
        self._zones = {name: index for index, name in enumerate(names.zones)}
        self._servers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._tags: dict[int, int] = {}  # the numbers of servers by the tags of their names
        self._notes = Notes(terms.seed)
        self._listed = 0
        self._gone: deque[str] = deque(maxlen=GONE_KEPT)
        self.barred: set[str] = set()  # by operators; whatever the list says
        self._tickets: dict[int, Ticket] = {}
        self._taken = 0
        self._errands: asyncio.Queue[Errand] = asyncio.Queue()
        self._timers: list[tuple[float, int]] = []
        self._awake_at = math.inf
        self.lags: deque[float] = deque(maxlen=LAGS_KEPT)
        self._terms = terms
        self._number_profiles(terms, names)
        self._core: Decisions = Balancer(replace(terms, profiles=[]), _Desk(self))
        self._core.retuned(terms, self._numbered())

    # What the node calls.

    def take(self, ask: Ask) -> Ticket:
        self._taken += 1
        ticket = Ticket(self._taken)
        self._tickets[ticket.number] = ticket
        job = Job(
            id=ticket.number,
            profile=self._profile(ask),
            operator=self._operators.get(ask.operator, 0),
            time_left=ask.time_left,
            repeat=ask.repeat,
            work_hint=ask.work_hint,
            whole=ask.whole,
            key=ask.key,
        )
        try:
            self._core.take(job)
        except Exception:
            self.withdraw(ticket)
            raise
        return ticket

    async def pick(self, ticket: Ticket) -> Order:
        return await ticket.orders.get()

    def report(self, ticket: Ticket, dispatch: int, ended: Ended) -> None:
        ticket.out.discard(dispatch)
        first = ended.result is Result.HONOURED and not ticket.answered
        ticket.answered = ticket.answered or first
        server = ticket.servers[dispatch]
        over = ticket.answered
        self._core.outcome(
            Outcome(
                ticket.number, dispatch, server, ended.result, ended.seconds, over, ended.load, ended.spent
            )
        )
        if first:
            ticket.orders.put_nowait(PassOn(dispatch))
        self._release(ticket)

    def whole(self, ticket: Ticket, most: float = math.inf) -> None:
        """The job's last byte has come: its time counts from now, and is so many seconds at most."""
        if not ticket.answered:
            self._core.whole(ticket.number, most)

    def stands(self, ticket: Ticket, dispatch: int) -> bool:
        """Whether a dispatch that was ordered is still wanted; orders against it may wait to be picked."""
        return not ticket.answered and dispatch not in ticket.stopped

    def repeat_until(self, ticket: Ticket, dispatch: int) -> float:
        """Until when (s) a dispatch can't make an effect happen twice; inf: always, -inf: it may already."""
        return self._core.repeat_until(ticket.number, dispatch)

    def now(self) -> float:
        """Unix time (s) that never jumps."""
        return self._clock()

    def begun(self, ticket: Ticket, dispatch: int) -> bool:
        """A large answer has begun to come; false where the job has its answer, or recalled this one."""
        if ticket.begun or not self.stands(ticket, dispatch):
            return False
        ticket.begun = True
        ticket.orders.put_nowait(Begin(dispatch))
        self._core.streaming(ticket.number, dispatch)
        return True

    def withdraw(self, ticket: Ticket) -> None:
        """The caller has gone, or the node itself failed the job."""
        if not ticket.answered:
            ticket.answered = True
            try:
                self._core.withdrawn(ticket.number)
            finally:
                ticket.orders.put_nowait(Leave())
                self._release(ticket)

    def retune(self, terms: Terms, names: Names) -> None:
        """New terms for what comes from now on; jobs that are held keep the profile they were taken with."""
        self._operators = {name: index for index, name in enumerate(names.operators)}
        if terms.zone < len(names.zones):
            # Guards against a list of zones in another order: servers keep the numbers that they have.
            name = names.zones[terms.zone]
            terms = replace(terms, zone=self._zones.setdefault(name, len(self._zones)))
        self._terms = replace(terms, processes=self._terms.processes)
        self._number_profiles(terms, names)
        self._core.retuned(self._terms, self._numbered())

    async def errand(self) -> Errand:
        return await self._errands.get()

    def report_probe(self, server: str, ended: Ended) -> None:
        if server in self._servers:  # it may have left the list meanwhile
            self._core.probed(self._servers[server], ended.result, ended.load)

    def report_list(self, news: News, listed: Sequence[Listed] = ()) -> None:
        self._core.listed(news, [self._entry(server) for server in listed])
        if news is News.FAILED:
            return
        if news is not News.REMEMBERED:
            self._starts.heard(self._clock())
        # Guards against growing with every server that ever was. Numbers are never given out again.
        gone = {server.name for server in listed if server.presence is Presence.GONE}
        if news is not News.CHANGES:
            gone |= self._servers.keys() - {server.name for server in listed}
        for name in gone:
            self._names.pop(self._servers.pop(name))
            self._tags.pop(tag_of(name), None)
            self._gone.append(name)

    def hear(self, peer: int, note: bytes) -> None:
        """A peer's note; what is not in the own list is passed over, and what can't be read."""
        if told := self._notes.told(peer, note, self._tags):
            self._core.heard(told)

    @property
    def notes_passed_over(self) -> int:
        return self._notes.passed_over

    def bar(self, server: str, known: bool = False) -> bool:
        """An operator takes a server out of use; false where nobody has heard of it."""
        if not known and not self._heard_of(server):
            return False
        self.barred.add(server)
        if server in self._servers:
            self._core.barred(self._servers[server], True)
        return True

    def unbar(self, server: str) -> bool:
        """An operator gives a server back, however often it was taken out."""
        if not self._heard_of(server):
            return False
        self.barred.discard(server)
        if server in self._servers:
            self._core.barred(self._servers[server], False)
        return True

    def lessons(self) -> dict[str, Any]:
        """What was learned so far, by names: for a process that follows this one."""
        found = self._core.lessons()
        return {
            "clearing": found["clearing"],
            "servers": {self._names[index]: known for index, known in found["servers"].items()},
            "spent": {name: found["spent"][kind.number] for name, kind in self._kinds.items()},
        }

    def start_ages(self) -> Mapping[str, Sequence[float]]:
        """What is known of when servers started, for a process that follows this one (`inherit_starts`)."""
        return self._starts.ages(self._clock())

    def inherit_starts(self, ages: Mapping[str, Sequence[float]]) -> None:
        """Takes that over, before any list is; TypeError, ValueError or AttributeError where it is none."""
        self._starts.inherit(ages, self._clock())

    def learn(self, lessons: Mapping[str, Any]) -> None:
        """Takes over what another process learned, of servers and profiles that are known here too."""
        servers, spent = lessons["servers"], lessons["spent"]
        known = {
            "clearing": lessons["clearing"],
            "servers": {index: servers[name] for index, name in self._names.items() if name in servers},
            "spent": {kind.number: spent[name] for name, kind in self._kinds.items() if name in spent},
        }
        self._core.learn(known)

    def share(self, processes: int) -> None:
        """So many processes are this one node from now on: each keeps to its part."""
        self._terms = replace(self._terms, processes=processes)
        self._core.retuned(self._terms, self._numbered())

    def _heard_of(self, server: str) -> bool:
        return server in self._servers or server in self.barred or server in self._gone

    def tick(self) -> None:
        now = self._clock()
        self._awake_at = math.inf
        try:
            while self._timers and self._timers[0][0] <= now:
                due, token = heapq.heappop(self._timers)
                self.lags.append(now - due)
                self._core.timer(token)
        finally:
            # Guards against a node that never wakes again after one failure.
            self._ask_wake()

    @property
    def held(self) -> int:
        return sum(1 for ticket in self._tickets.values() if not ticket.answered)

    @property
    def kept(self) -> int:
        return len(self._tickets)

    # What the module's actions become.

    def _order(self, job: int, order: Order) -> None:
        ticket = self._tickets[job]
        ticket.orders.put_nowait(order)
        if isinstance(order, Stop):
            ticket.stopped.add(order.dispatch)
        if isinstance(order, TurnBack | WriteOff):
            ticket.answered = True
            self._release(ticket)

    def _send(self, job: int, server: int, within: float) -> None:
        ticket = self._tickets[job]
        dispatch = len(ticket.servers)
        ticket.servers.append(server)
        ticket.out.add(dispatch)
        self._order(job, Send(dispatch, self._names[server], self._clock() + within))

    def _tell(self, peer: int, newest: int, told: Sequence[Told]) -> None:
        # Numbers are never given out again: a server that has left the list is told of without a tag.
        tags = [tag_of(self._names.get(each.server, "")) for each in told]
        words = [Word(tag, each.ago, each.good, each.seconds) for tag, each in zip(tags, told, strict=True)]
        self._errands.put_nowait(Tell(peer, self._notes.write(newest, words)))

    def _set_timer(self, delay: float, token: int) -> None:
        heapq.heappush(self._timers, (self._clock() + delay, token))
        self._ask_wake()

    def _ask_wake(self) -> None:
        if self._timers and self._timers[0][0] < self._awake_at:
            self._awake_at = self._timers[0][0]
            self._wake(max(0.0, self._awake_at - self._clock()))

    # Numbers for names.

    def _release(self, ticket: Ticket) -> None:
        if ticket.answered and not ticket.out:
            self._tickets.pop(ticket.number, None)

    def _number_profiles(self, terms: Terms, names: Names) -> None:
        """A number for each profile, and one for its copy that a job gets whose method and key contradict it.

        A profile that has changed is another one: a number never changes its meaning.
        """
        kinds: dict[str, Kind] = {}
        for name, profile in zip(names.profiles, terms.profiles, strict=False):
            kind = self._kinds.get(name)
            if kind is None or kind.profile != profile:
                kind = Kind(profile, self._kinds_made, self._kinds_made + 1)
                self._kinds_made += 2
            kinds[name] = kind
        self._kinds = kinds

    def _numbered(self) -> dict[int, Profile]:
        kinds = self._kinds
        numbered = {kind.number: kind.profile for kind in kinds.values()}
        cautious = {
            kind.cautious: replace(kind.profile, effect=Effect.AT_MOST_ONCE) for kind in kinds.values()
        }
        return numbered | cautious

    def _profile(self, ask: Ask) -> int:
        kind = self._kinds.get(ask.profile)
        if kind is None:
            return UNKNOWN
        return kind.number if kind.profile.effect is ask.effect else kind.cautious

    def _entry(self, listed: Listed) -> ServerEntry:
        if listed.name not in self._servers:
            self._listed += 1
            self._servers[listed.name] = self._listed
            self._names[self._listed] = listed.name
            self._tags[tag_of(listed.name)] = self._listed
            if listed.name in self.barred:
                self._core.barred(self._listed, True)
        number = self._servers[listed.name]
        # Guards against repeats outside the group: servers of an unknown cell or zone share it with nobody.
        zone = self._zones.setdefault(listed.zone, len(self._zones)) if listed.zone else -1 - number
        cell = -1 - number if listed.cell is None else listed.cell
        tag = tag_of(listed.name)
        started_at = self._starts.at(listed.name, listed.started_at, self._clock(), self._wall())
        return ServerEntry(number, listed.presence, started_at, zone, cell, tag=tag)


class _Desk:
    """The module's Host: its actions become orders."""

    def __init__(self, decider: Decider) -> None:
        self._decider = decider

    def now(self) -> float:
        return self._decider._clock()

    def dispatch(self, job: int, server: int, within: float) -> None:
        self._decider._send(job, server, within)

    def recall(self, job: int, dispatch: int) -> None:
        self._decider._order(job, Stop(dispatch))

    def probe(self, server: int) -> None:
        self._decider._errands.put_nowait(Probe(self._decider._names[server]))

    def turn_back(self, job: int, come_back_in: float) -> None:
        self._decider._order(job, TurnBack(come_back_in))

    def write_off(self, job: int) -> None:
        self._decider._order(job, WriteOff())

    def set_timer(self, delay: float, token: int) -> None:
        self._decider._set_timer(delay, token)

    def follow(self) -> None:
        self._decider._errands.put_nowait(Follow())

    def set_aside(self, server: int, seconds: float) -> None:
        self._decider._errands.put_nowait(SetAside(self._decider._names[server], seconds))

    def tell(self, peer: int, newest: int, told: Sequence[Told]) -> None:
        self._decider._tell(peer, newest, told)
