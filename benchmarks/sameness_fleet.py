"""A fleet's members over a simulated network, and moves in small worlds of limits. Knows no project names.

The network loses, delays, repeats and cuts; members are paused, leave, crash and start again, and spend
rights of one limit. All chance comes from the seed. A recorder implements `Member` and `LimitWorld`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Sequence
from random import Random  # bound before a mutation of the code's own draws is planted
from typing import NamedTuple, Protocol

import msgspec

from benchmarks.sameness_rows import Code, Recording, flattened

MEMBERS = 6
NETWORK_S = 90.0  # virtual seconds of one play
TICK_S = 0.1
STATE_EVERY_S = 2.0
LOSS = 0.05
REPEAT = 0.02  # share of datagrams that come twice
DELAY_MOST_S = 0.05
CLOCK_DRIFT = 0.005  # share by which a member's clock may run off
PERMIT_TIMEOUT_S = 0.8  # of an attempt under a right; under the longest that members are told
HEADER_BYTES = 29  # of a datagram, before the two names whose lengths are its last two bytes
SEAL_BYTES = 16
LIMIT_MOVES = 400
LIMIT_SETTLE_S = 8.0  # in which every node's quarantine is over


class Sent(NamedTuple):
    """A datagram to send."""

    address: str
    data: bytes


class Permit(Protocol):
    """One right that was spent."""

    def extend(self, now: float, until: float) -> bool:
        """Whether it lasts until then."""

    def hold(self, until: float) -> None:
        """Keeps it until then, and no longer than it lasts."""

    def release(self, now: float) -> list[Sent]:
        """Gives it back."""


class Member(Protocol):
    """One start of a member of the fleet."""

    def tick(self, now: float) -> list[Sent]:
        """What is due."""

    def receive(self, now: float, data: bytes, source: str) -> list[Sent] | None:
        """A datagram that came; None where it is refused."""

    def leave(self, now: float) -> list[Sent]:
        """It goes in order."""

    def spend(self, now: float, until: float) -> Permit | None:
        """A right, if there is one now."""

    def seek(self, now: float) -> list[Sent]:
        """Asks others for a right."""

    def renew(self, now: float, revision: int, follows: bool) -> bool:
        """The file names this split of the limit, and whether it follows one; whether it was taken."""

    def state(self, now: float) -> Iterator[float]:
        """All that it knows, as numbers in a fixed order."""


class Move(NamedTuple):
    """A move that a world of limits allows: its kind by number, and the node's or message's place."""

    kind: int
    place: int


class Message(NamedTuple):
    """A message on its way, as numbers."""

    receiver: int
    numbers: tuple[float, ...]


class LimitWorld(Protocol):
    """A few nodes with limits in virtual time."""

    def now(self) -> float:
        """True time."""

    def moves(self) -> Sequence[Move]:
        """All that may come next."""

    def take(self, number: int) -> None:
        """Does the move of this place among the last `moves`."""

    def messages(self) -> Sequence[Message]:
        """Those on their way, in order."""

    def state(self) -> Iterator[tuple[float, ...]]:
        """Of each node, its figures."""


def play_limits(world: LimitWorld, seed: int, weights: Sequence[float], recording: Recording) -> None:
    """One long chain of moves by chance, with weights by kind."""
    random = Random(f"limits {seed}")
    for _ in range(LIMIT_MOVES):
        moves = world.moves()
        number = random.choices(range(len(moves)), [weights[move.kind] for move in moves])[0]
        world.take(number)
        recording.add(world.now(), Code.LIMIT_MOVE, moves[number].place, moves[number].kind)
        for message in world.messages():
            recording.add(world.now(), Code.LIMIT_MESSAGE, message.receiver, *message.numbers)
        for place, numbers in enumerate(world.state()):
            recording.add(world.now(), Code.LIMIT_STATE, place, *numbers)


def wire_value(message: object) -> object:
    """A message as it goes over the wire: nested lists, names of fields left out."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


def datagram_numbers(data: bytes) -> Iterator[float]:
    """A datagram's size and what its payload says; the layout is that of the wire, and never changes."""
    names = data[HEADER_BYTES - 2] + data[HEADER_BYTES - 1]
    payload = data[HEADER_BYTES + names : -SEAL_BYTES]
    yield len(data)
    yield from flattened(msgspec.msgpack.decode(payload))
    yield from flattened(data)


class Place:
    """Where one member runs."""

    def __init__(self, number: int, name: int, member: Member, rate: float) -> None:
        self.number = number
        self.name = name
        self.member = member
        self.rate = rate
        self.up = True
        self.start = 1
        self.paused_until = 0.0
        self.revision = 1


class Network:
    """The simulated network; `make` gives a member: place, name, start, seed, time."""

    def __init__(
        self, make: Callable[[int, int, int, int, float], Member], seed: int, recording: Recording
    ) -> None:
        self.random = Random(f"network {seed}")
        self.now = 0.0
        self._make, self._recording = make, recording
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._cut = 0  # members below this number hear nothing of the others
        self.places: list[Place] = []
        for number in range(MEMBERS):
            rate = 1.0 + self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            self._add(number, number, 1, rate)
        self._plan_troubles()

    def _add(self, number: int, name: int, start: int, rate: float) -> Place:
        member = self._make(number, name, start, self.random.getrandbits(30), self._clock(rate))
        place = Place(number, name, member, rate)
        self.places.append(place)
        self.after(self.random.random(), lambda: self._tick(place))
        return place

    def play(self) -> None:
        """Runs to the end."""
        while self._queue and self._queue[0][0] <= NETWORK_S:
            self.now, _, due = heapq.heappop(self._queue)
            due()

    def after(self, delay: float, due: Callable[[], None]) -> None:
        """Calls `due` later."""
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, due))

    def _clock(self, rate: float) -> float:
        return 500.0 + self.now * rate

    def _time(self, place: Place) -> float:
        return self._clock(place.rate)

    # What goes wrong.

    def _plan_troubles(self) -> None:
        troubles = (self._cut_off, self._pause, self._crash, self._leave, self._renew)
        for _ in range(8):
            trouble = self.random.choice(troubles)
            self.after(self.random.uniform(10.0, 0.85 * NETWORK_S), trouble)
        self.after(self.random.uniform(0.5, 0.8) * NETWORK_S, self._start_namesake)
        self.after(STATE_EVERY_S, self._record_states)

    def _start_namesake(self) -> None:
        """A later start of a member's name, at another address, while the earlier one may still run."""
        other = self.random.choice(self.places)
        place = self._add(MEMBERS, other.name, other.start + 1, 1.0)
        self.after(self.random.uniform(5.0, 20.0), lambda: setattr(place, "up", False))

    def _cut_off(self) -> None:
        self._cut = self.random.randrange(1, MEMBERS)
        self.after(self.random.uniform(3.0, 15.0), self._heal)

    def _heal(self) -> None:
        self._cut = 0

    def _pause(self) -> None:
        self.random.choice(self.places).paused_until = self.now + self.random.uniform(1.0, 8.0)

    def _crash(self) -> None:
        place = self.random.choice(self.places)
        if place.up:
            place.up = False
            self.after(self.random.uniform(2.0, 15.0), lambda: self._restart(place))

    def _restart(self, place: Place) -> None:
        place.start += 1
        place.revision = 1
        seed = self.random.getrandbits(30)
        place.member = self._make(place.number, place.name, place.start, seed, self._time(place))
        place.up = True

    def _leave(self) -> None:
        place = self.random.choice(self.places)
        if place.up:
            self._send(place, place.member.leave(self._time(place)))
            place.up = False
            self.after(self.random.uniform(2.0, 15.0), lambda: self._restart(place))

    def _renew(self) -> None:
        """Each member's file changes, one after the other; one that can't take it yet keeps the old one."""
        revision = max(place.revision for place in self.places) + self.random.choice((0, 1, 1, 1, 2))
        follows = self.random.random() < 0.8
        for place in self.places:
            taken = place.up and place.member.renew(self._time(place), revision, follows)
            self._recording.add(self.now, Code.RENEWAL, place.number, revision, follows, taken)
            place.revision = revision if taken else place.revision

    # Members at work.

    def _tick(self, place: Place) -> None:
        wait = max(TICK_S / place.rate, place.paused_until - self.now)
        self.after(wait, lambda: self._tick(place))
        if place.up and self.now >= place.paused_until:
            self._send(place, place.member.tick(self._time(place)))
            if self.random.random() < 0.3:
                self._spend(place)

    def _spend(self, place: Place) -> None:
        now, member = self._time(place), place.member
        permit = member.spend(now, now + PERMIT_TIMEOUT_S)
        kept = permit is not None and permit.extend(now, now + PERMIT_TIMEOUT_S)
        self._recording.add(self.now, Code.PERMIT, place.number, permit is not None, kept)
        if permit is None:
            self._send(place, member.seek(now))
        else:
            if kept and self.random.random() < 0.2:
                permit.hold(now + PERMIT_TIMEOUT_S / 4)
            self.after(self.random.uniform(0.05, 0.7), lambda: self._release(place, member, permit))

    def _release(self, place: Place, member: Member, permit: Permit) -> None:
        if place.up and place.member is member:
            self._send(place, permit.release(self._time(place)))

    # Datagrams.

    def _send(self, place: Place, datagrams: Sequence[Sent]) -> None:
        for address, data in datagrams:
            receiver = number_of(address)
            self._recording.add(self.now, Code.DATAGRAM, receiver, place.number, *datagram_numbers(data))
            if not 0 <= receiver < len(self.places) or self.random.random() < LOSS:
                continue
            if (place.number < self._cut) != (receiver < self._cut):
                continue
            for _ in range(2 if self.random.random() < REPEAT else 1):
                delay = self.random.uniform(0.001, DELAY_MOST_S)
                self.after(delay, lambda data=data, to=receiver: self._deliver(to, data, place.number))  # type: ignore[misc]

    def _deliver(self, receiver: int, data: bytes, sender: int) -> None:
        place = self.places[receiver]
        if not place.up:
            return
        if self.now < place.paused_until:
            wait = place.paused_until - self.now + 0.001
            self.after(wait, lambda: self._deliver(receiver, data, sender))
            return
        answers = place.member.receive(self._time(place), data, address_of(sender))
        if answers is None:
            self._recording.add(self.now, Code.REFUSED_DATAGRAM, receiver, sender, len(data))
        else:
            self._send(place, answers)

    def _record_states(self) -> None:
        self.after(STATE_EVERY_S, self._record_states)
        for place in self.places:
            if place.up:
                numbers = place.member.state(self._time(place))
                self._recording.add(self.now, Code.MEMBER_STATE, place.number, *numbers)


def address_of(number: int) -> str:
    """The address of a member."""
    return f"10.0.0.{number}:7000"


def number_of(address: str) -> int:
    """The member at an address; -1 if none has it."""
    found = [number for number in range(MEMBERS + 1) if address_of(number) == address]
    return found[0] if found else -1
