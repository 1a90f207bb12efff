"""Plays of a fleet over a simulated network, and of random steps in an exploration of quotas.

The network loses, delays, duplicates and partitions. Members are paused, leave, crash, restart and use
permits of one quota. All random decisions are drawn from the seed.

A recorder implements `Member` and `LimitWorld`. This module uses no name of the project. Recorders of older
revisions import it, so the names that they use (the types, their fields, the methods of `Member`, `Permit`
and `LimitWorld`) must not change.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Sequence
from random import Random  # imported before a mutation replaces `random.Random`
from typing import NamedTuple, Protocol

import msgspec

from benchmarks.sameness_rows import Code, Recording, flattened

MEMBERS = 6
NETWORK_S = 90.0  # virtual duration of one play
TICK_S = 0.1
STATE_INTERVAL_S = 2.0  # between two recordings of all members' states
LOSS_SHARE = 0.05  # of datagrams
DUPLICATE_SHARE = 0.02  # of datagrams
MAX_DELAY_S = 0.05  # of a datagram
CLOCK_DRIFT = 0.005  # greatest relative error of the rate of a member's clock
PERMIT_TIMEOUT_S = 0.8  # of an attempt with a permit; less than the longest timeout that members allow
HEADER_BYTES = 29  # of a datagram; the last two bytes are the lengths of the two names that follow it
SEAL_BYTES = 16  # at the end of a datagram
LIMIT_MOVES = 400  # steps of one exploration
LIMIT_SETTLE_S = 8.0  # after which no node is in quarantine any more


class Sent(NamedTuple):
    """A datagram to send."""

    address: str
    data: bytes


class Permit(Protocol):
    """A permit that was acquired."""

    def extend(self, now: float, until: float) -> bool:
        """Extend the permit until then; return whether that succeeded."""

    def hold(self, until: float) -> None:
        """Set when the permit expires; not later than it would anyway."""

    def release(self, now: float) -> list[Sent]:
        """Release the permit."""


class Member(Protocol):
    """A member of the fleet, from one start to its end."""

    def tick(self, now: float) -> list[Sent]:
        """Run everything that is due."""

    def receive(self, now: float, data: bytes, source: str) -> list[Sent] | None:
        """Handle a datagram; return None if it is rejected."""

    def leave(self, now: float) -> list[Sent]:
        """Leave the fleet."""

    def spend(self, now: float, until: float) -> Permit | None:
        """Acquire a permit, if one is available."""

    def seek(self, now: float) -> list[Sent]:
        """Request a permit from other members."""

    def renew(self, now: float, revision: int, follows: bool) -> bool:
        """Apply a configuration with this split of the quota; return whether it was accepted.

        With `follows`, the configuration also names the split of the previous revision.
        """

    def state(self, now: float) -> Iterator[float]:
        """Yield the member's state as numbers, in a fixed order."""


class Move(NamedTuple):
    """A step that an exploration allows: the number of its kind, and that of the node or message."""

    kind: int
    target: int


class Message(NamedTuple):
    """A message in flight, as numbers."""

    receiver: int
    numbers: tuple[float, ...]


class LimitWorld(Protocol):
    """An exploration: a few nodes with quotas, in virtual time."""

    def now(self) -> float:
        """Return the true time."""

    def moves(self) -> Sequence[Move]:
        """Return the possible next steps."""

    def take(self, number: int) -> None:
        """Take the step with this number in the last result of `moves`."""

    def messages(self) -> Sequence[Message]:
        """Return the messages in flight, in order."""

    def state(self) -> Iterator[tuple[float, ...]]:
        """Yield the figures of each node."""


def play_limits(world: LimitWorld, seed: int, weights: Sequence[float], recording: Recording) -> None:
    """Take random steps, with weights by kind."""
    random = Random(f"limits {seed}")
    for _ in range(LIMIT_MOVES):
        moves = world.moves()
        number = random.choices(range(len(moves)), [weights[move.kind] for move in moves])[0]
        world.take(number)
        recording.add(world.now(), Code.LIMIT_MOVE, moves[number].target, moves[number].kind)
        for message in world.messages():
            recording.add(world.now(), Code.LIMIT_MESSAGE, message.receiver, *message.numbers)
        for node, numbers in enumerate(world.state()):
            recording.add(world.now(), Code.LIMIT_STATE, node, *numbers)


def wire_value(message: object) -> object:
    """Return a message as it is sent over the wire: nested lists without names of fields."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


def datagram_numbers(data: bytes) -> Iterator[float]:
    """Yield the size of a datagram and its content; the layout on the wire does not change."""
    names_length = data[HEADER_BYTES - 2] + data[HEADER_BYTES - 1]
    payload = data[HEADER_BYTES + names_length : -SEAL_BYTES]
    yield len(data)
    yield from flattened(msgspec.msgpack.decode(payload))
    yield from flattened(data)


class Machine:
    """A simulated machine on which a member runs."""

    def __init__(self, number: int, name: int, member: Member, rate: float) -> None:
        self.number = number
        self.name = name
        self.member = member
        self.rate = rate
        self.running = True
        self.start = 1
        self.paused_until = 0.0
        self.revision = 1


class Network:
    """The simulated network.

    `make` creates a member. Its arguments are the numbers of the machine, the name and the start, the seed
    and the time.
    """

    def __init__(
        self, make: Callable[[int, int, int, int, float], Member], seed: int, recording: Recording
    ) -> None:
        self.random = Random(f"network {seed}")
        self.now = 0.0
        self._make, self._recording = make, recording
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._partition_size = 0  # machines below this number are cut off from the others
        self.machines: list[Machine] = []
        for number in range(MEMBERS):
            rate = 1.0 + self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            self._add(number, number, 1, rate)
        self._schedule_faults()

    def _add(self, number: int, name: int, start: int, rate: float) -> Machine:
        member = self._make(number, name, start, self.random.getrandbits(30), self._clock(rate))
        machine = Machine(number, name, member, rate)
        self.machines.append(machine)
        self.after(self.random.random(), lambda: self._tick(machine))
        return machine

    def play(self) -> None:
        """Run to the end."""
        while self._queue and self._queue[0][0] <= NETWORK_S:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` after a delay."""
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, callback))

    def _clock(self, rate: float) -> float:
        return 500.0 + self.now * rate

    def _time(self, machine: Machine) -> float:
        return self._clock(machine.rate)

    # Faults.

    def _schedule_faults(self) -> None:
        faults = (self._partition, self._pause, self._crash, self._leave, self._renew)
        for _ in range(8):
            fault = self.random.choice(faults)
            self.after(self.random.uniform(10.0, 0.85 * NETWORK_S), fault)
        self.after(self.random.uniform(0.5, 0.8) * NETWORK_S, self._start_duplicate_name)
        self.after(STATE_INTERVAL_S, self._record_states)

    def _start_duplicate_name(self) -> None:
        """Start a second member with a later start of an existing name, while the first may still run."""
        original = self.random.choice(self.machines)
        machine = self._add(MEMBERS, original.name, original.start + 1, 1.0)
        self.after(self.random.uniform(5.0, 20.0), lambda: setattr(machine, "running", False))

    def _partition(self) -> None:
        self._partition_size = self.random.randrange(1, MEMBERS)
        self.after(self.random.uniform(3.0, 15.0), self._heal)

    def _heal(self) -> None:
        self._partition_size = 0

    def _pause(self) -> None:
        self.random.choice(self.machines).paused_until = self.now + self.random.uniform(1.0, 8.0)

    def _crash(self) -> None:
        machine = self.random.choice(self.machines)
        if machine.running:
            machine.running = False
            self.after(self.random.uniform(2.0, 15.0), lambda: self._restart(machine))

    def _restart(self, machine: Machine) -> None:
        machine.start += 1
        machine.revision = 1
        seed = self.random.getrandbits(30)
        machine.member = self._make(machine.number, machine.name, machine.start, seed, self._time(machine))
        machine.running = True

    def _leave(self) -> None:
        machine = self.random.choice(self.machines)
        if machine.running:
            self._send(machine, machine.member.leave(self._time(machine)))
            machine.running = False
            self.after(self.random.uniform(2.0, 15.0), lambda: self._restart(machine))

    def _renew(self) -> None:
        """Change the configuration of each member; one that rejects it keeps its old configuration."""
        revision = max(machine.revision for machine in self.machines) + self.random.choice((0, 1, 1, 1, 2))
        follows = self.random.random() < 0.8
        for machine in self.machines:
            accepted = machine.running and machine.member.renew(self._time(machine), revision, follows)
            self._recording.add(self.now, Code.RENEWAL, machine.number, revision, follows, accepted)
            machine.revision = revision if accepted else machine.revision

    # Ticks and permits.

    def _tick(self, machine: Machine) -> None:
        wait = max(TICK_S / machine.rate, machine.paused_until - self.now)
        self.after(wait, lambda: self._tick(machine))
        if machine.running and self.now >= machine.paused_until:
            self._send(machine, machine.member.tick(self._time(machine)))
            if self.random.random() < 0.3:
                self._spend(machine)

    def _spend(self, machine: Machine) -> None:
        now, member = self._time(machine), machine.member
        permit = member.spend(now, now + PERMIT_TIMEOUT_S)
        extended = permit is not None and permit.extend(now, now + PERMIT_TIMEOUT_S)
        self._recording.add(self.now, Code.PERMIT, machine.number, permit is not None, extended)
        if permit is None:
            self._send(machine, member.seek(now))
        else:
            if extended and self.random.random() < 0.2:
                permit.hold(now + PERMIT_TIMEOUT_S / 4)
            self.after(self.random.uniform(0.05, 0.7), lambda: self._release(machine, member, permit))

    def _release(self, machine: Machine, member: Member, permit: Permit) -> None:
        if machine.running and machine.member is member:
            self._send(machine, permit.release(self._time(machine)))

    # Datagrams.

    def _send(self, machine: Machine, datagrams: Sequence[Sent]) -> None:
        for address, data in datagrams:
            receiver = number_of(address)
            self._recording.add(self.now, Code.DATAGRAM, receiver, machine.number, *datagram_numbers(data))
            if not 0 <= receiver < len(self.machines) or self.random.random() < LOSS_SHARE:
                continue
            if (machine.number < self._partition_size) != (receiver < self._partition_size):
                continue
            for _ in range(2 if self.random.random() < DUPLICATE_SHARE else 1):
                delay = self.random.uniform(0.001, MAX_DELAY_S)
                self.after(delay, lambda data=data, to=receiver: self._deliver(to, data, machine.number))  # type: ignore[misc]

    def _deliver(self, receiver: int, data: bytes, sender: int) -> None:
        machine = self.machines[receiver]
        if not machine.running:
            return
        if self.now < machine.paused_until:
            wait = machine.paused_until - self.now + 0.001
            self.after(wait, lambda: self._deliver(receiver, data, sender))
            return
        responses = machine.member.receive(self._time(machine), data, address_of(sender))
        if responses is None:
            self._recording.add(self.now, Code.REFUSED_DATAGRAM, receiver, sender, len(data))
        else:
            self._send(machine, responses)

    def _record_states(self) -> None:
        self.after(STATE_INTERVAL_S, self._record_states)
        for machine in self.machines:
            if machine.running:
                numbers = machine.member.state(self._time(machine))
                self._recording.add(self.now, Code.MEMBER_STATE, machine.number, *numbers)


def address_of(number: int) -> str:
    """Return the address of a machine."""
    return f"10.0.0.{number}:7000"


def number_of(address: str) -> int:
    """Return the number of the machine with an address, or -1 if there is none."""
    numbers = [number for number in range(MEMBERS + 1) if address_of(number) == address]
    return numbers[0] if numbers else -1
