"""Small worlds in which a hard limit is tried out: every order of delivery, loss, repeat, pause, crash and
time.

For tests and the laboratory; a node never imports it. A world is a few nodes' real `Limits`, the messages
on their way, and the dispatches that are truly out, by a true time that no node knows. `explore` goes
through all worlds that so many moves lead to, each once; `walk` follows one long chain of moves by chance.
Both end at the first world in which more is out than the limit, and give the moves that led there.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from notchjunction.fleet.envelope import OutgoingMessage, Sender
from notchjunction.fleet.quotas.messages import Message
from notchjunction.fleet.quotas.phase import Phase
from notchjunction.fleet.quotas.plan import Plan
from notchjunction.fleet.quotas.quotas import LeaseTiming, Quotas
from notchjunction.fleet.quotas.state import Permit

NAME = "l"
TINY = 1e-6  # s by which a moment is passed, or not yet reached
IN_FLIGHT_MOST = 5  # messages on their way; what is more is lost
OUT_MOST = 3  # dispatches of one node


class Move(NamedTuple):
    kind: str
    at: int = 0  # a node's place, or a message's


class Flight(NamedTuple):
    sender: Sender
    to: int
    message: Message


@dataclass(slots=True)
class Dispatch:
    node: int
    permit: Permit
    until: float  # true time at which its server's time for it is over, by a server's clock that may run slow


@dataclass(slots=True)
class Place:
    """One node: its clock reads `offset` plus the true time at `rate`."""

    name: str
    rate: float
    offset: float
    plans: list[Plan]  # what its file says, the one in force first; a move goes on to the next
    limits: Quotas | None = None
    start: int = 1
    paused: bool = False
    taken: list[Permit] = field(default_factory=list)  # spent, and nothing written under it yet


class First:
    """In place of chance: a world that is explored has no other."""

    def choice(self, names: Sequence[str], /) -> str:
        return names[0]


class World:
    """Nodes with their clocks' rates; each asks for dispatches of `within` seconds."""

    def __init__(
        self,
        plans: dict[str, Sequence[Plan]],
        rates: Sequence[float],
        drift: float,
        within: float = 1.0,
        kinds: Sequence[str] = ("pass", "spend", "end", "seek", "deliver"),
        losses: int = 0,
        repeats: int = 0,
        crashes: int = 0,
    ) -> None:
        self.now = 100.0
        self.drift = drift
        self.within = within
        self.kinds = tuple(kinds)
        self.left = {"lose": losses, "repeat": repeats, "crash": crashes}
        self.flights: list[Flight] = []
        self.out: list[Dispatch] = []
        self.places = [
            Place(name, rate, 1000.0 * number, list(mine))
            for number, ((name, mine), rate) in enumerate(zip(plans.items(), rates, strict=True))
        ]
        for number in range(len(self.places)):
            self._start(number)

    def _start(self, number: int) -> None:
        place = self.places[number]
        limits = Quotas(
            Sender(place.name, place.start),
            place.plans[:1],
            LeaseTiming(self.drift, self.within),
            1,
            self.clock(number),
        )
        limits.borrower.chooser = First()
        place.limits = limits

    def clock(self, number: int) -> float:
        place = self.places[number]
        return place.offset + self.now * place.rate

    def of(self, number: int) -> Quotas:
        limits = self.places[number].limits
        assert limits is not None
        return limits

    # What can happen.

    def moves(self) -> Iterator[Move]:
        """All that may come next, in a fixed order."""
        awake = [number for number, place in enumerate(self.places) if not place.paused]
        for kind in self.kinds:
            match kind:
                case "deliver" | "lose" | "repeat":
                    if self.left.get(kind, 1):
                        to = (number for number, flight in enumerate(self.flights) if flight.to in awake)
                        yield from (Move(kind, number) for number in to)
                case "pass" | "near":
                    yield Move(kind)
                case "spend" | "take":
                    few = [n for n in awake if sum(1 for each in self.out if each.node == n) < OUT_MOST]
                    yield from (Move(kind, number) for number in few if not self.places[number].taken)
                case "write":
                    yield from (Move(kind, number) for number in awake if self.places[number].taken)
                case "end":
                    yield from (Move(kind, n) for n in awake if any(each.node == n for each in self.out))
                case "wake":
                    yield from (Move(kind, n) for n, place in enumerate(self.places) if place.paused)
                case "replan":
                    ready = [n for n in awake if self.of(n).states[NAME].phase is Phase.GROWN]
                    yield from (Move(kind, n) for n in ready if len(self.places[n].plans) > 1)
                case "crash":
                    if self.left["crash"]:
                        yield from (Move(kind, number) for number in range(len(self.places)))
                case _:
                    yield from (Move(kind, number) for number in awake)

    def do(self, move: Move) -> None:
        number = move.at
        if move.kind in self.left:
            self.left[move.kind] -= 1
        match move.kind:
            case "deliver":
                self._deliver(self.flights.pop(number))
            case "repeat":
                self._deliver(self.flights[number])
            case "lose":
                del self.flights[number]
            case "pass" | "near":
                ahead = min(
                    (at for at in self._moments() if at > self.now + 2 * TINY), default=self.now + 1.0
                )
                self.now = ahead + (TINY if move.kind == "pass" else -TINY)
                self._tick()
            case "spend":
                if self._take(number):
                    self._write(number)
            case "take":
                self._take(number)
            case "write":
                self._write(number)
            case "end":
                self._end(number)
            case "seek":
                self._carry(number, self.of(number).set_waiting(self.clock(number), NAME, 1))
            case "pause":
                self.places[number].paused = True
            case "wake":
                self.places[number].paused = False
            case "replan":
                plans = self.places[number].plans
                self.of(number).apply_plans(self.clock(number), plans[1:2])
                del plans[0]
            case "crash":
                place = self.places[number]
                place.start += 1
                place.taken.clear()
                place.paused = False
                self._start(number)  # what it had out goes on at its servers
        self.out = [each for each in self.out if each.until > self.now]

    def _tick(self) -> None:
        for number, place in enumerate(self.places):
            if not place.paused:
                self._carry(number, self.of(number).tick(self.clock(number)))

    def _take(self, number: int) -> bool:
        now = self.clock(number)
        permit = self.of(number).acquire(now, NAME, now + self._needed())
        if permit is not None:
            self.places[number].taken.append(permit)
        return permit is not None

    def _needed(self) -> float:
        """s by the node's clock after which a dispatch's time is over by any server's."""
        return self.within * (1 + self.drift) / (1 - self.drift)

    def _write(self, number: int) -> None:
        now, permit = self.clock(number), self.places[number].taken.pop()
        if self.of(number).extend(now, permit, now + self._needed()):
            self.out.append(Dispatch(number, permit, self.now + self.within / (1 - self.drift)))

    def _end(self, number: int) -> None:
        ended = next(each for each in self.out if each.node == number)
        self.out.remove(ended)
        self._carry(number, self.of(number).release(self.clock(number), ended.permit))

    def _deliver(self, flight: Flight) -> None:
        outgoing = self.of(flight.to).receive(self.clock(flight.to), flight.sender, flight.message)
        self._carry(flight.to, outgoing)

    def _carry(self, number: int, outgoing: Sequence[OutgoingMessage]) -> None:
        place = self.places[number]
        names = [each.name for each in self.places]
        for out in outgoing:
            if len(self.flights) < IN_FLIGHT_MOST and out.to in names:
                sender = Sender(place.name, place.start)
                self.flights.append(Flight(sender, names.index(out.to), out.message))

    def _moments(self) -> Iterator[float]:
        """True times at which something ends at a node."""
        for number, place in enumerate(self.places):
            side = self.of(number).states[NAME]
            leases = [lease for lease in side.leases.values() if lease.granted]
            ends = [lease.end for lease in leases] + [lease.end - self._needed() for lease in leases]
            ends += [loan.ends for loan in side.loans.values()]
            ends += [until for until, _, permit in side.permits if permit.live]
            ends += [side.quarantine_ends] if side.phase is Phase.STARTING else []
            yield from ((end - place.offset) / place.rate for end in ends)
            yield from (each.until for each in self.out if each.node == number)

    def settle(self, seconds: float) -> World:
        """Lets so much time pass with every message delivered; for a beginning in which all is calm."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            self._tick()
            while self.flights:
                self._deliver(self.flights.pop(0))
        return self

    # The promise.

    def most(self) -> int:
        """The limit in force: the larger of two splits until all nodes that run have settled to the last."""
        plans = [place.plans[0] for place in self.places]
        newest = max(plans, key=lambda plan: plan.split.revision)
        sides = [self.of(number).states[NAME] for number in range(len(self.places))]
        done = all(side.phase is Phase.GROWN and side.plan.split == newest.split for side in sides)
        if done:
            return newest.split.total
        splits = [plan.split.total for plan in plans] + [plan.before.total for plan in plans if plan.before]
        return max(splits)

    def broken(self) -> bool:
        return len(self.out) > self.most()


@dataclass(frozen=True, slots=True)
class Found:
    """What a search saw; `way`: the moves to a world in which the promise is broken, if there is one."""

    worlds: int
    most_out: int
    way: tuple[Move, ...] | None = None


def explore(world: World, moves: int, worlds_most: int = 100_000) -> Found:
    """Every world within so many moves, each once; ends early at `worlds_most`."""
    first = pickle.dumps(world)
    seen = {hash(first)}
    ahead: deque[tuple[bytes, tuple[Move, ...]]] = deque([(first, ())])
    most_out = len(world.out)
    while ahead and len(seen) < worlds_most:
        packed, way = ahead.popleft()
        here: World = pickle.loads(packed)
        for move in list(here.moves()):
            there: World = pickle.loads(packed)
            there.do(move)
            most_out = max(most_out, len(there.out))
            if there.broken():
                return Found(len(seen), most_out, (*way, move))
            then = pickle.dumps(there)
            if hash(then) not in seen:
                seen.add(hash(then))
                if len(way) + 1 < moves:
                    ahead.append((then, (*way, move)))
    return Found(len(seen), most_out)


def walk(world: World, seed: int, moves: int, weights: dict[str, float] | None = None) -> Found:
    """One chain of so many moves by chance, from a copy; `weights` by kind of move, 1 where none is given."""
    random = Random(seed)
    here: World = pickle.loads(pickle.dumps(world))
    way: list[Move] = []
    most_out = 0
    for number in range(moves):
        may = list(here.moves())
        chances = [(weights or {}).get(move.kind, 1.0) for move in may]
        move = random.choices(may, chances)[0]
        here.do(move)
        way.append(move)
        most_out = max(most_out, len(here.out))
        if here.broken():
            return Found(number + 1, most_out, tuple(way))
    return Found(moves, most_out)
