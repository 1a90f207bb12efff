"""Who is there: the nodes of a fleet, as this one knows them. Pure: decides without clock or I/O.

Known ways: SWIM's probes (one each interval, in a shuffled round, with helpers), suspicion and incarnations;
Lifeguard's guards (a node whose own links or timers fail waits longer before it accuses; a suspicion runs out
sooner the more nodes share it; a suspected node is told so and refutes); and digests for what gossip missed.

Order of truth for one name: a later start, then a higher incarnation, then LEFT > DEAD > SUSPECT > ALIVE;
`join` puts two records together by it. One thing is not believed by hearsay: that a node held to be there is
dead. It is suspected, and has all of that time to refute, so that no side of a cut, and no node that slept,
buries the healthy.

A node that was paused is *away* until peers have answered what it asked after it woke: it doubts what it
believed, tells only of itself, and accuses nobody. One that nobody answers may accuse after AWAY_MOST, and
so learns that it is alone.

Promises, in s of the nodes' own clocks, for whole links and ticks each 0.1 s: `buried_within`, and, once a
cut is over, HEALED_WITHIN. Bytes of messages (before their seals) that a node sends in a second, on average
over 10 s, at 5 to 200 nodes: at most CALM_BYTES while nothing changes, TROUBLE_BYTES whatever does. If half
of the fleet goes at once, each node doubts its own links first, and it may take a minute.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum, IntEnum, auto
from functools import reduce
from hashlib import blake2b
from operator import xor
from random import Random
from typing import Annotated, NamedTuple

import msgspec

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import NAME_MOST, Out, Sender

PROBE_EVERY = 1.0  # s between probes; each node is looked at about once a second by somebody
PROBE_WAIT = 0.3  # s for an answer; longer than a way round the world
HELP_WAIT = 0.6  # s more with helpers, who ask for PROBE_WAIT and tell if in vain; ends with the interval
HELPERS = 3  # nodes asked to ask; one lost datagram or one bad link accuses nobody
HEALTH_MOST = 8  # intervals added at most to each wait of a node whose own links or timers fail; Lifeguard's
SUSPECT_TIMES = 4.0  # intervals, times log10 of the nodes, to refute at least; a few rounds of gossip
SUSPECT_MOST = 3.0  # times as long for a suspicion that nobody shares
CONFIRM_MOST = 3  # others that share it until the least time holds; more would add nothing
RECALL_EVERY = 0.5  # s between asking a suspected node once more; several times before it is buried
RECALL_FEW = 10  # nodes that do so before they bury one, besides its accusers; the others hear of its answer
LAMBDA = 1.0  # times log2 of the nodes that each tells a change; gossip misses about one, and digests find it
SPREAD_EVERY = 0.5  # s between messages that only tell changes, while there are any
SYNC_EVERY = 5.0  # s between digests; finds what gossip missed
SYNC_SOON = 1.0  # s to the next one after a digest found something
REVISIT_EVERY = 10.0  # s between asking one of the dead, so that sides of a cut find each other
GREET_FIRST = 0.5  # s to the second greeting while alone, then twice as long each time
GREET_EVERY = 10.0  # s between greetings at most, and to one seed that is not in view
GREET_TO = 3  # seeds greeted at once
GREETED_MOST = 50  # greetings answered in a second; a fleet that starts at once is in within seconds
BUCKETS = 64  # parts of a digest; of 200 nodes a few records each, and 256 bytes in all
MARK_BYTES = 4  # of each part; two views that differ look alike once in billions
GOSSIP_MOST = 700  # bytes of records in a message; with a digest it fits a sealed datagram
GOSSIP_RATE = 4000.0  # bytes of records told in a second at most; a large fleet's news in seconds
TOMB_SPAN = 3600.0  # s that the dead are remembered; longer than cuts that end by themselves
TOMB_NEWS = 1800.0  # s after which a death is no news to one who never heard of the node
TOMBS_MOST = 2048  # dead remembered; ten restarts of a large fleet under other names
PAUSE_SPAN = 2.0  # s between ticks after which a node was away; others may suspect it by then
LATE_SPAN = 0.5  # s between ticks after which its own timer, not a peer, is to blame for waits
BACK_FROM = 2  # peers that must answer a node that was away; one alone may have slept beside it
AWAY_MOST = 10.0  # s without answers after which it may accuse; else one that is left alone stays away
NAMESAKE_TIMES = 3  # greetings to the address of another start of the own name, after each sign of it
LEAVE_TO = 5  # nodes told by one that leaves; they tell the others
TWIN_AFTER = 5.0  # s after which an earlier start that still speaks is a twin, and not late datagrams
TWIN_SPAN = 60.0  # s a twin is reported after its last sign; some of its greetings
HEALED_WITHIN = 20.0  # s after a cut between two halves until all 5 to 200 nodes have one view
CALM_BYTES = 250  # a node and second; a probe, an answer and a fifth of a digest, with names of 16 bytes
TROUBLE_BYTES = 8000  # a node and second; all its chores' messages and as many answers, each full


class State(IntEnum):
    """In order of truth within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A record of one name. `since`: s on the own clock; `accusers`: who could not reach it, if suspected."""

    name: str
    address: str
    start: int
    incarnation: int
    state: State
    since: float
    accusers: tuple[str, ...] = ()

    @property
    def live(self) -> bool:
        return self.state <= State.SUSPECT

    @property
    def version(self) -> tuple[int, int]:
        return self.start, self.incarnation

    @property
    def truth(self) -> tuple[int, int, int, str]:
        return self.start, self.incarnation, self.state, self.address


def join(one: Member, other: Member) -> Member:
    """Two records of one name put together; commutative, associative, idempotent."""
    if one.truth != other.truth:
        return max(one, other, key=lambda member: member.truth)
    accusers = sorted({*one.accusers, *other.accusers})[: CONFIRM_MOST + 1]
    return replace(one, since=min(one.since, other.since), accusers=tuple(accusers))


Name = Annotated[str, msgspec.Meta(max_length=NAME_MOST)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=2**62)]  # leaves room to refute by a higher one


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """A record as told; `age`: s since a death or leave."""

    name: Name
    address: Annotated[str, msgspec.Meta(max_length=128)]
    start: Whole
    incarnation: Whole
    state: State
    age: Whole
    by: Annotated[tuple[Name, ...], msgspec.Meta(max_length=CONFIRM_MOST + 1)]


Sums = Annotated[bytes, msgspec.Meta(min_length=BUCKETS * MARK_BYTES, max_length=BUCKETS * MARK_BYTES)]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """To an address whose node is not known: who is there?"""

    seq: Whole


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=2):
    seq: Whole  # of the Hello
    told: tuple[Rumour, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=3):
    seq: Whole
    told: tuple[Rumour, ...]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    seq: Whole  # of the Ping or PingFor
    told: tuple[Rumour, ...]


class PingFor(msgspec.Struct, frozen=True, array_like=True, tag=5):
    seq: Whole
    name: Name
    told: tuple[Rumour, ...]


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The node asked for has not answered the helper."""

    seq: Whole  # of the PingFor
    told: tuple[Rumour, ...]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    sums: Sums
    told: tuple[Rumour, ...]


class Differences(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """What the sender holds where two digests differ, as far as it fits."""

    sums: Sums
    told: tuple[Rumour, ...]


class Told(msgspec.Struct, frozen=True, array_like=True, tag=9):
    told: tuple[Rumour, ...]


Spoken = Welcome | Ping | Ack | PingFor | Nack | Digest | Differences | Told
Message = Hello | Spoken
ENCODER = msgspec.msgpack.Encoder()


class Replaced(FleetError):
    """A later start has this node's name."""


class Twins(FleetError):
    """Two nodes that run have one name."""


class Input(Enum):
    TOLD_ALIVE = auto()
    TOLD_SUSPECT = auto()
    TOLD_DEAD = auto()
    TOLD_LEFT = auto()
    UNANSWERED = auto()  # by an own probe and its helpers
    RUN_OUT = auto()  # the time to refute is over
    OLD = auto()  # dead for so long, or so many are


class Judged(Enum):
    """How what is told stands to what is held; or whether this node may trust what it sees itself."""

    NEWER = auto()  # a later start, a higher incarnation, or a name not known
    LEVEL = auto()  # the same start and incarnation
    OLDER = auto()
    STALE = auto()  # an old death of a name not known
    MINE = auto()  # of this start of this node, and not refuted yet
    SURE = auto()
    UNSURE = auto()  # it is away, or replaced


class Row(NamedTuple):
    held: tuple[State | None, ...]
    input: Input
    judged: Judged
    then: State | None
    effect: Callable[[Membership, float, Member | None, Member], Member]


@dataclass(slots=True)
class Asked:
    """A probe under way; `until` is when the next step is due."""

    held: Member
    until: float
    helpers: int | None = None
    nacks: int = 0


class Relay(NamedTuple):
    """A Ping sent for another node."""

    to: str
    seq: int
    until: float


@dataclass(slots=True)
class Waking:
    """When this node woke, from how long, the last question before that, and who has answered a later one."""

    at: float
    gap: float
    seq: int
    answers: dict[str, None]


class Membership:
    """One start of a node, `me`, at `address` ("host:port"); `seeds`: addresses of some others.

    Call `tick` and `greet` each 0.1 s or so, `hear` and `hear_greeting` for what comes, `take_events` after
    them. `now` is in s on the own clock.
    """

    def __init__(self, me: Sender, address: str, seeds: Sequence[str], seed: int) -> None:
        self._me = me
        self._address = address
        self._seeds = [other for other in seeds if other != address]
        self._random = Random(seed)
        self._members: dict[str, Member] = {}
        self._marks: list[dict[str, int]] = [{} for _ in range(BUCKETS)]
        self._news: dict[str, int] = {}  # times told, in order of change
        self._suspects: dict[str, None] = {}
        self._order: list[str] = []
        self._asked: dict[int, Asked] = {}
        self._relays: dict[int, Relay] = {}
        self._due: dict[str, float] = {}
        self._events: list[tuple[str, Member | None, Member | None]] = []
        self._greeted: deque[float] = deque(maxlen=GREETED_MOST)
        self._greet_at, self._greet_wait = -math.inf, GREET_FIRST
        self._looked = math.inf
        self._health = self._seq = self._nodes = 0
        self._waking: Waking | None = None
        self._spare, self._spared = GOSSIP_RATE, 0.0
        self._namesake, self._namesake_greetings = "", 0
        self._fault: FleetError | None = None
        self._fault_until = -math.inf
        self._put(me.name, Member(me.name, address, me.start, 0, State.ALIVE, 0.0))

    # What is known.

    def members(self) -> Mapping[str, Member]:
        """All that are known, this node too, with the dead of the last hour."""
        return dict(sorted(self._members.items()))

    def live(self) -> list[str]:
        """Names of the others that are alive or only suspected."""
        return sorted(name for name, held in self._members.items() if held.live and name != self._me.name)

    def address_of(self, name: str) -> str | None:
        held = self._members.get(name)
        return None if held is None else held.address

    def start_of(self, name: str) -> int:
        """0 if not known."""
        held = self._members.get(name)
        return 0 if held is None else held.start

    def away(self, now: float) -> bool:
        """Whether this node was paused, and has not heard since how things are."""
        return self._waking is not None or now - self._looked > PAUSE_SPAN

    def fault(self, now: float) -> FleetError | None:
        return self._fault if now < self._fault_until else None

    def take_events(self) -> list[tuple[str, Member | None, Member | None]]:
        """Changes (name, before, after) since the last call; None: not known."""
        events, self._events = self._events, []
        return events

    def digest(self) -> bytes:
        """Alike where two nodes hold the same of all names."""
        return b"".join(reduce(xor, marks.values(), 0).to_bytes(MARK_BYTES, "big") for marks in self._marks)

    # What is due.

    def tick(self, now: float) -> list[Out]:
        self._woken(now, LATE_SPAN)
        self._looked = now
        if self._members[self._me.name].state is State.LEFT:
            return []
        self._settle(now)
        out = self._await(now)
        for name in list(self._suspects):
            held = self._members[name]
            if now - held.since >= self._patience(held):
                self._step(now, Input.RUN_OUT, held)
        for chore, (every, act) in CHORES.items():
            # The first time and each later one vary by chance, so that nodes do not fall in step.
            if now >= self._due.setdefault(chore, now + every * self._random.random()):
                waits = 1 + self._health if chore == "probe" else 1
                self._due[chore] = now + every * waits * self._random.uniform(0.9, 1.1)
                out += act(self, now)
        return out

    def greet(self, now: float) -> list[tuple[str, Message]]:
        """Greetings to send to addresses of nodes that are not known."""
        if now < self._greet_at or self._members[self._me.name].state is State.LEFT:
            return []
        live = self.live()
        if live and self._waking is None:
            # Guards against sides that have forgotten each other in a long cut.
            seen = {self._members[name].address for name in live}
            addresses = self._some([seed for seed in self._seeds if seed not in seen], 1)
            self._greet_wait, wait = GREET_FIRST, GREET_EVERY
        else:
            addresses = self._some(self._seeds, GREET_TO)
            wait = self._greet_wait
            self._greet_wait = min(2 * wait, GREET_EVERY)
        if self._namesake_greetings:
            self._namesake_greetings -= 1
            addresses.append(self._namesake)
        self._greet_at = now + wait * self._random.uniform(0.5, 1.0)
        self._seq += 1
        return [(address, Hello(self._seq)) for address in addresses]

    def leave(self, now: float) -> list[Out]:
        """Says that this node goes; it is quiet afterwards."""
        held = self._members[self._me.name]
        if isinstance(self._fault, Replaced):
            return []
        self._put(held.name, replace(held, state=State.LEFT, since=now))
        return [Out(name, Told(self._say(now, name, own=True))) for name in self._some(self.live(), LEAVE_TO)]

    def _woken(self, now: float, span: float) -> None:
        gap = now - self._looked
        if gap <= span:
            return
        # Guards against blaming peers for the time in which this node did not look.
        self._feel(1)
        for asked in self._asked.values():
            asked.until += gap
        for name in self._suspects:
            self._members[name] = replace(self._members[name], since=self._members[name].since + gap)
        if gap <= PAUSE_SPAN:
            return
        # Guards against acting on what was so before a pause, and on what waited in the socket.
        self._looked = now
        self._waking = Waking(now, gap, self._seq, {})
        self._asked.clear()
        self._relays.clear()
        self._due["probe"] = self._greet_at = now
        self._greet_wait = GREET_FIRST

    def _answered(self, now: float, waking: Waking, name: str) -> None:
        if waking.gap > TOMB_SPAN and not waking.answers:
            # Guards against bringing back what the others have buried and forgotten.
            for known in self.members():
                if known != self._me.name:
                    self._put(known, None)
        waking.answers[name] = None

    def _settle(self, now: float) -> None:
        """Whether a node that was away is back."""
        if self._waking is None:
            return
        live = self._nodes - 1
        alone = not live and now - self._waking.at > AWAY_MOST
        if alone or len(self._waking.answers) >= max(1, min(BACK_FROM, live)):
            self._waking = None
            for name in self._suspects:
                self._members[name] = replace(self._members[name], since=now)

    def _await(self, now: float) -> list[Out]:
        out = []
        for seq, asked in list(self._asked.items()):
            if now < asked.until:
                continue
            name = asked.held.name
            held = self._members.get(name)
            if held is None or not held.live or held.version != asked.held.version:
                del self._asked[seq]  # told of since: the probe says nothing of that
            elif asked.helpers is None:
                others = [other for other in self.live() if other != name]
                able = [other for other in others if self._members[other].state is State.ALIVE]
                helpers = self._some(able, HELPERS)
                asked.helpers = len(helpers)
                asked.until = now + HELP_WAIT * (1 + self._health)
                out.append(Out(name, Ping(seq, self._say(now, name, own=True))))
                out += [Out(helper, PingFor(seq, name, self._say(now, helper))) for helper in helpers]
            else:
                del self._asked[seq]
                # Guards against a node with bad links accusing the healthy: helpers that are silent count.
                self._feel(max(0, asked.helpers - asked.nacks) if asked.helpers else 1)
                self._step(now, Input.UNANSWERED, held)
        for seq, relay in list(self._relays.items()):
            if now >= relay.until:
                del self._relays[seq]
                out += self._relay(now, relay, Nack)
        return out

    def _probe(self, now: float) -> list[Out]:
        while not self._order or not self._members[self._order[-1]].live:
            if self._order:
                self._order.pop()
                continue
            self._order = self.live()
            self._random.shuffle(self._order)
            if not self._order:
                return []
        name = self._order.pop()
        out = [self._ping(now, name)]
        self._asked[self._seq] = Asked(self._members[name], now + PROBE_WAIT * (1 + self._health))
        if self._waking is not None:
            out += [self._ping(now, other) for other in self._some(self.live(), BACK_FROM)]
        return out

    def _recall(self, now: float) -> list[Out]:
        # Guards against a refutation that was lost: whom it accuses, or would bury soon, it asks once more;
        # but not all nodes ask one.
        few = self._random.random() * self._nodes < RECALL_FEW
        names = [
            held.name
            for held in [self._members[name] for name in self._suspects]
            if self._me.name in held.accusers or (few and now - held.since > self._patience(held) / 2)
        ]
        return [self._ping(now, name) for name in self._some(names, 1)]

    def _spread(self, now: float) -> list[Out]:
        to = self._some(self.live(), 1) if self._news else []
        return [Out(name, Told(self._say(now, name))) for name in to]

    def _sync(self, now: float) -> list[Out]:
        return [Out(name, Digest(self.digest(), self._say(now, name))) for name in self._some(self.live(), 1)]

    def _revisit(self, now: float) -> list[Out]:
        gone = [held for name, held in self.members().items() if not held.live]
        gone.sort(key=lambda held: held.since, reverse=True)
        for rank, held in enumerate(gone):
            if rank >= TOMBS_MOST or now - held.since > TOMB_SPAN:
                self._step(now, Input.OLD, held)
        dead = [held.name for held in gone if held.state is State.DEAD and held.name in self._members]
        return [self._ping(now, name) for name in self._some(dead, 1)]

    # What is heard.

    def hear(self, now: float, sender: Sender, message: Message) -> list[Out]:
        """A message that was for this start of this node. A Hello among them is not answered: see below."""
        self._woken(now, PAUSE_SPAN)
        if isinstance(message, Hello) or self._members[self._me.name].state is State.LEFT:
            return []
        if sender.name == self._me.name:
            return self._hear_namesake(now, sender, message)
        held = self._members.get(sender.name)
        if held is not None and sender.start < held.start:
            if now - held.since > TWIN_AFTER:
                self._twins(now, sender)
            return []
        waking = self._waking
        if waking and isinstance(message, Welcome | Ack | Nack) and message.seq > waking.seq:
            self._answered(now, waking, sender.name)
        changes = [self._heed(now, rumour) for rumour in message.told]
        self._settle(now)
        held = self._members.get(sender.name)
        if held is None or held.start != sender.start:
            return []  # it can't be answered before its own record is known
        if self._waking and isinstance(message, Digest | Differences):
            return []
        if isinstance(message, Differences) and any(changes):
            self._due["sync"] = min(self._due.get("sync", math.inf), now + SYNC_SOON)
        return self._answer(now, sender.name, message)

    def hear_greeting(self, now: float, sender: Sender, message: Message) -> list[Message]:
        """A message that was a greeting: answers to the address that it came from, sealed for `sender`."""
        while self._greeted and now - self._greeted[0] > 1.0:
            self._greeted.popleft()
        # Guards against repeated greetings: nothing in them is believed, and so many a second are answered.
        if sender == self._me or not isinstance(message, Hello) or len(self._greeted) == GREETED_MOST:
            return []
        self._greeted.append(now)
        if sender.name == self._me.name and sender.start > self._me.start:
            self._replaced(sender.start)  # the seal alone tells that, and it stays true
        # Guards against being used to multiply datagrams: no more than two records.
        names = dict.fromkeys([self._me.name, sender.name])
        told = [self._rumour(now, self._members[name]) for name in names if name in self._members]
        return [Welcome(message.seq, tuple(told))]

    def _answer(self, now: float, to: str, message: Spoken) -> list[Out]:
        match message:
            case Welcome():
                return [self._ping(now, to), Out(to, Digest(self.digest(), ()))]
            case Ping(seq):
                return [Out(to, Ack(seq, self._say(now, to, own=True)))]
            case PingFor(seq, name) if name in self._members:
                ping = self._ping(now, name)
                self._relays[self._seq] = Relay(to, seq, now + PROBE_WAIT)
                return [ping]
            case Ack(seq):
                if self._asked.pop(seq, None):
                    self._feel(-1)
                relay = self._relays.pop(seq, None)
                return self._relay(now, relay, Ack) if relay else []
            case Nack(seq) if seq in self._asked:
                self._asked[seq].nacks += 1
            case Digest(sums) if differing := self._differing(sums):
                return [Out(to, Differences(self.digest(), self._piece(now, differing, ())))]
            case Differences(sums, told) if differing := self._differing(sums):
                return [Out(to, Told(self._piece(now, differing, told)))]
        return []

    def _relay(self, now: float, relay: Relay, answer: type[Ack] | type[Nack]) -> list[Out]:
        known = relay.to in self._members
        return [Out(relay.to, answer(relay.seq, self._say(now, relay.to, own=True)))] if known else []

    def _hear_namesake(self, now: float, sender: Sender, message: Spoken) -> list[Out]:
        if sender.start <= self._me.start:
            self._twins(now, sender)
            return []
        for rumour in message.told:
            self._heed(now, rumour)
        if isinstance(message, Welcome) and self.address_of(self._me.name) != self._address:
            return [self._ping(now, self._me.name)]  # that the other hears of this one
        return []

    def _heed(self, now: float, rumour: Rumour) -> bool:
        since = now - rumour.age if rumour.state >= State.DEAD else now
        by = rumour.by if rumour.state is State.SUSPECT else ()
        told = Member(rumour.name, rumour.address, rumour.start, rumour.incarnation, rumour.state, since, by)
        if told.name == self._me.name and told.start != self._me.start:
            if told.start > self._me.start:
                self._replaced(told.start)
            if told.live and told.address != self._address:
                # Guards against twins that never hear of each other: the others refuse the earlier one.
                self._namesake, self._namesake_greetings = told.address, NAMESAKE_TIMES
        return self._step(now, TOLD[told.state], told)

    def _replaced(self, start: int) -> None:
        what = f"start {start} has the name of this one, {self._me.start}"
        remedy = "stop this process if it was replaced; else give one of the two another name"
        self._fault, self._fault_until = Replaced(what, self._me.name, remedy), math.inf

    def _twins(self, now: float, sender: Sender) -> None:
        held = self._members[sender.name]
        what = f"start {sender.start} still runs beside {held.start} at {held.address}"
        remedy = "stop one, or give it another name; if one alone runs, change the key: it is misused"
        if self.fault(now) is None or isinstance(self._fault, Twins):
            self._fault, self._fault_until = Twins(what, sender.name, remedy), now + TWIN_SPAN
        if self._namesake:
            self._namesake_greetings = NAMESAKE_TIMES

    # What is held of a name, by TABLE.

    def _step(self, now: float, seen: Input, told: Member) -> bool:
        """Whether the record of that name is another one now."""
        held = self._members.get(told.name)
        row = ROWS.get((held.state if held else None, seen, self._judge(now, seen, held, told)))
        if row is None:
            return False
        after = row.effect(self, now, held, told)
        return self._put(told.name, None if row.then is None else replace(after, state=row.then))

    def _judge(self, now: float, seen: Input, held: Member | None, told: Member) -> Judged:
        if seen not in TOLD.values():
            away = self._waking is not None and now - self._waking.at <= AWAY_MOST
            return Judged.UNSURE if away or isinstance(self._fault, Replaced) else Judged.SURE
        if held is None:
            return Judged.STALE if not told.live and now - told.since > TOMB_NEWS else Judged.NEWER
        if (told.name, told.start) == self._me:
            old = isinstance(self._fault, Replaced) or told.version < held.version
            return Judged.OLDER if old else Judged.MINE
        if told.version == held.version:
            return Judged.LEVEL
        return Judged.NEWER if told.version > held.version else Judged.OLDER

    def _joined(self, now: float, held: Member | None, told: Member) -> Member:
        return join(held, told) if held else told

    def _doubted(self, now: float, held: Member | None, told: Member) -> Member:
        return replace(told, since=now, accusers=())

    def _accused(self, now: float, held: Member | None, told: Member) -> Member:
        since = told.since if told.state is State.SUSPECT else now
        accusers = sorted({*told.accusers, self._me.name})[: CONFIRM_MOST + 1]
        return replace(told, since=since, accusers=tuple(accusers))

    def _buried(self, now: float, held: Member | None, told: Member) -> Member:
        return replace(told, since=now, accusers=())

    def _forgotten(self, now: float, held: Member | None, told: Member) -> Member:
        return told

    def _refuted(self, now: float, held: Member | None, told: Member) -> Member:
        self._feel(1)
        return replace(told, address=self._address, incarnation=told.incarnation + 1, since=now, accusers=())

    def _put(self, name: str, after: Member | None) -> bool:
        before = self._members.pop(name, None)
        marks = self._marks[_mark(name) % BUCKETS]
        self._suspects.pop(name, None)
        self._nodes += (after is not None and after.live) - (before is not None and before.live)
        if after is None:
            del marks[name]
            self._news.pop(name, None)
            self._order = [other for other in self._order if other != name]
        else:
            self._members[name] = after
            marks[name] = _mark(f"{name} {after.start} {after.incarnation} {after.state:d}")
            if after.state is State.SUSPECT:
                self._suspects[name] = None
            if before is None or (before.truth, before.accusers) != (after.truth, after.accusers):
                self._news.pop(name, None)
                self._news[name] = 0
            if after.live and name != self._me.name and name not in self._order:
                # Guards against one that came during a round and dies before the next is shuffled.
                self._order.insert(self._random.randint(0, len(self._order)), name)
        changed = before is None or after is None or before.truth != after.truth
        if changed:
            self._events.append((name, before, after))
        return changed

    # What is told of it.

    def _ping(self, now: float, to: str) -> Out:
        self._seq += 1
        return Out(to, Ping(self._seq, self._say(now, to, own=True)))

    def _rumour(self, now: float, held: Member) -> Rumour:
        age = 0 if held.live else max(0, int(now - held.since))
        return Rumour(held.name, held.address, held.start, held.incarnation, held.state, age, held.accusers)

    def _say(self, now: float, to: str, own: bool = False) -> tuple[Rumour, ...]:
        """Its own record if asked for, then what is held against the receiver, then what was told least."""
        first = [self._me.name] if own else []
        if self._members[to].state is not State.ALIVE:
            first.append(to)  # so that it refutes
        news = {} if self._waking else self._news
        fresh = sorted(reversed(news.items()), key=lambda item: item[1])
        told = self._fitting(now, dict.fromkeys([*first, *(name for name, _ in fresh)]), len(first))
        enough = LAMBDA * math.log2(2 + len(self._members))
        # What is said to the dead is heard by nobody, and does not count.
        for rumour in told if self._members[to].state is State.ALIVE else ():
            if rumour.name in self._news:
                self._news[rumour.name] += 1
                if self._news[rumour.name] >= enough:
                    del self._news[rumour.name]
        return told

    def _piece(self, now: float, differing: list[int], told: Sequence[Rumour]) -> tuple[Rumour, ...]:
        """Records in these parts but those just told alike; part by part, so that a round settles some."""
        held = self._members
        known = {
            each.name for each in told if each.name in held and each == self._rumour(now, held[each.name])
        }
        self._random.shuffle(differing)
        names = [name for part in differing for name in self._marks[part] if name not in known]
        return self._fitting(now, names)

    def _fitting(self, now: float, names: Iterable[str], least: int = 0) -> tuple[Rumour, ...]:
        # Guards against messages that grow with the fleet, and against answering many at once in full.
        self._spare = min(GOSSIP_RATE, self._spare + GOSSIP_RATE * max(0.0, now - self._spared))
        self._spared = now
        told: list[Rumour] = []
        spare = min(GOSSIP_MOST, self._spare)
        for name in names:
            rumour = self._rumour(now, self._members[name])
            size = len(ENCODER.encode(rumour))
            spare -= size
            if spare < 0 and len(told) >= least:
                break
            self._spare -= size
            told.append(rumour)
        return tuple(told)

    def _differing(self, sums: bytes) -> list[int]:
        mine = self.digest()
        spans = [slice(at, at + MARK_BYTES) for at in range(0, len(mine), MARK_BYTES)]
        return [part for part, span in enumerate(spans) if mine[span] != sums[span]]

    def _patience(self, held: Member) -> float:
        return patience(self._nodes, len(held.accusers) - 1)

    def _feel(self, worse: int) -> None:
        self._health = min(HEALTH_MOST, max(0, self._health + worse))

    def _some(self, names: Sequence[str], most: int) -> list[str]:
        return self._random.sample(names, min(most, len(names)))


def patience(nodes: int, shared: int) -> float:
    """s that a suspected node has to refute, in a fleet of so many, if so many others share the suspicion."""
    least = PROBE_EVERY * SUSPECT_TIMES * max(1.0, math.log10(nodes))
    others = min(CONFIRM_MOST, nodes - 2)
    if others < 1:
        return least
    part = math.log(1 + min(max(shared, 0), others)) / math.log(1 + others)
    return least * (SUSPECT_MOST - (SUSPECT_MOST - 1) * part)


def buried_within(nodes: int) -> float:
    """s from a node's end until all the others hold it dead, in a fleet of so many."""
    return 5 * PROBE_EVERY + patience(nodes, 2) + PROBE_EVERY * math.log2(nodes)


def _mark(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=MARK_BYTES).digest(), "big")


S, In, J = State, Input, Judged
LIVE, GONE = (S.ALIVE, S.SUSPECT), (S.DEAD, S.LEFT)
TABLE = (
    Row((None, *S), In.TOLD_ALIVE, J.NEWER, S.ALIVE, Membership._joined),
    Row((None, *S), In.TOLD_SUSPECT, J.NEWER, S.SUSPECT, Membership._joined),
    Row(LIVE, In.TOLD_SUSPECT, J.LEVEL, S.SUSPECT, Membership._joined),
    # Guards against a side of a cut, or a node that slept, burying the healthy by hearsay.
    Row(LIVE, In.TOLD_DEAD, J.NEWER, S.SUSPECT, Membership._doubted),
    Row((S.ALIVE,), In.TOLD_DEAD, J.LEVEL, S.SUSPECT, Membership._doubted),
    Row((None, *GONE), In.TOLD_DEAD, J.NEWER, S.DEAD, Membership._joined),
    Row((S.DEAD,), In.TOLD_DEAD, J.LEVEL, S.DEAD, Membership._joined),
    Row((None, *S), In.TOLD_LEFT, J.NEWER, S.LEFT, Membership._joined),
    Row(tuple(S), In.TOLD_LEFT, J.LEVEL, S.LEFT, Membership._joined),
    Row((S.ALIVE,), In.TOLD_SUSPECT, J.MINE, S.ALIVE, Membership._refuted),
    Row((S.ALIVE,), In.TOLD_DEAD, J.MINE, S.ALIVE, Membership._refuted),
    Row((S.ALIVE,), In.TOLD_LEFT, J.MINE, S.ALIVE, Membership._refuted),
    Row(LIVE, In.UNANSWERED, J.SURE, S.SUSPECT, Membership._accused),
    Row((S.SUSPECT,), In.RUN_OUT, J.SURE, S.DEAD, Membership._buried),
    Row(GONE, In.OLD, J.SURE, None, Membership._forgotten),
)
ROWS = {(held, row.input, row.judged): row for row in TABLE for held in row.held}
TOLD = {
    S.ALIVE: In.TOLD_ALIVE,
    S.SUSPECT: In.TOLD_SUSPECT,
    S.DEAD: In.TOLD_DEAD,
    S.LEFT: In.TOLD_LEFT,
}
CHORES = {
    "probe": (PROBE_EVERY, Membership._probe),
    "recall": (RECALL_EVERY, Membership._recall),
    "spread": (SPREAD_EVERY, Membership._spread),
    "sync": (SYNC_EVERY, Membership._sync),
    "revisit": (REVISIT_EVERY, Membership._revisit),
}
