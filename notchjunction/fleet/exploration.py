"""Model checking of the fleet's quotas over orders of delivery, loss, duplication, pauses, crashes and time.

For tests and benchmarks; a node never imports it. A world holds the real `Quotas` of a few nodes, the
messages in flight, and the attempts in flight by a true time that no node knows. `explore` visits every world
that a number of moves leads to, each once. `walk` follows one long sequence of random moves. Both end at the
first world with more attempts in flight than the quota allows, and return the moves that led to it.
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

QUOTA = "l"
EPSILON_S = 1e-6  # how far the true time is set before or after an expiry
MAX_MESSAGES_IN_FLIGHT = 5  # further ones are lost
MAX_ATTEMPTS_PER_NODE = 3  # in flight


class Move(NamedTuple):
    """One step of a world."""

    kind: str
    position: int = 0  # of a node, or of a message in flight


class InFlightMessage(NamedTuple):
    """A message that has been sent and not yet been delivered or lost."""

    sender: Sender
    to: int
    message: Message


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that an endpoint may be working on."""

    node: int
    permit: Permit
    until: float  # true time at which it has timed out even by the clock of an endpoint that runs slow


@dataclass(slots=True)
class SimulatedNode:
    """A node whose clock shows `offset` plus the true time multiplied by `rate`."""

    name: str
    rate: float
    offset: float
    plans: list[Plan]  # the one in force, then those that it is reconfigured to
    quotas: Quotas | None = None
    start: int = 1
    paused: bool = False
    unwritten_permits: list[Permit] = field(default_factory=list)  # acquired, no attempt written yet


class FirstChoice:
    """Replaces the random choice of an owner, so that a world is deterministic."""

    def choice(self, names: Sequence[str], /) -> str:
        """Returns the first of the names."""
        return names[0]


class World:
    """A few nodes that share one quota, the messages between them, and their attempts in flight.

    Args:
        plans: The plans of each node, by its name: the one in force, then those that it is reconfigured to.
        rates: The rate of each node's clock.
        drift: The share by which clocks may deviate, as configured.
        timeout: Timeout of each attempt, in seconds.
        kinds: The kinds of moves that are possible.
        losses: How many messages may be lost.
        duplicates: How many messages may be delivered twice.
        crashes: How many nodes may crash.
    """

    def __init__(
        self,
        plans: dict[str, Sequence[Plan]],
        rates: Sequence[float],
        drift: float,
        timeout: float = 1.0,
        kinds: Sequence[str] = ("advance", "acquire_and_write", "release", "wait", "deliver"),
        losses: int = 0,
        duplicates: int = 0,
        crashes: int = 0,
    ) -> None:
        self.now = 100.0
        self.drift = drift
        self.timeout = timeout
        self.kinds = tuple(kinds)
        self.remaining = {"lose": losses, "duplicate": duplicates, "crash": crashes}
        self.messages: list[InFlightMessage] = []
        self.attempts: list[InFlightAttempt] = []
        self.nodes = [
            SimulatedNode(name, rate, 1000.0 * number, list(own_plans))
            for number, ((name, own_plans), rate) in enumerate(zip(plans.items(), rates, strict=True))
        ]
        for number in range(len(self.nodes)):
            self._start_node(number)

    def _start_node(self, number: int) -> None:
        node = self.nodes[number]
        quotas = Quotas(
            Sender(node.name, node.start),
            node.plans[:1],
            LeaseTiming(self.drift, self.timeout),
            1,
            self.clock(number),
        )
        quotas.borrower.chooser = FirstChoice()
        node.quotas = quotas

    def clock(self, number: int) -> float:
        """Returns the time (s) that a node's clock shows."""
        node = self.nodes[number]
        return node.offset + self.now * node.rate

    def quotas_of(self, number: int) -> Quotas:
        """Returns a node's quotas."""
        quotas = self.nodes[number].quotas
        assert quotas is not None
        return quotas

    # Moves.

    def moves(self) -> Iterator[Move]:
        """Yields all moves that are possible now, in a fixed order."""
        running = [number for number, node in enumerate(self.nodes) if not node.paused]
        for kind in self.kinds:
            match kind:
                case "deliver" | "lose" | "duplicate":
                    if self.remaining.get(kind, 1):
                        deliverable = (
                            number for number, sent in enumerate(self.messages) if sent.to in running
                        )
                        yield from (Move(kind, number) for number in deliverable)
                case "advance" | "advance_near":
                    yield Move(kind)
                case "acquire_and_write" | "acquire":
                    below_max = [
                        n
                        for n in running
                        if sum(1 for attempt in self.attempts if attempt.node == n) < MAX_ATTEMPTS_PER_NODE
                    ]
                    yield from (
                        Move(kind, number) for number in below_max if not self.nodes[number].unwritten_permits
                    )
                case "write":
                    yield from (
                        Move(kind, number) for number in running if self.nodes[number].unwritten_permits
                    )
                case "release":
                    yield from (
                        Move(kind, n) for n in running if any(attempt.node == n for attempt in self.attempts)
                    )
                case "resume":
                    yield from (Move(kind, n) for n, node in enumerate(self.nodes) if node.paused)
                case "change_plan":
                    ready = [n for n in running if self.quotas_of(n).states[QUOTA].phase is Phase.GROWN]
                    yield from (Move(kind, n) for n in ready if len(self.nodes[n].plans) > 1)
                case "crash":
                    if self.remaining["crash"]:
                        yield from (Move(kind, number) for number in range(len(self.nodes)))
                case _:
                    yield from (Move(kind, number) for number in running)

    def apply(self, move: Move) -> None:
        """Makes one of the possible moves."""
        number = move.position
        if move.kind in self.remaining:
            self.remaining[move.kind] -= 1
        match move.kind:
            case "deliver":
                self._deliver(self.messages.pop(number))
            case "duplicate":
                self._deliver(self.messages[number])
            case "lose":
                del self.messages[number]
            case "advance" | "advance_near":
                expiry = min(
                    (at for at in self._expiries() if at > self.now + 2 * EPSILON_S), default=self.now + 1.0
                )
                self.now = expiry + (EPSILON_S if move.kind == "advance" else -EPSILON_S)
                self._tick()
            case "acquire_and_write":
                if self._acquire(number):
                    self._write(number)
            case "acquire":
                self._acquire(number)
            case "write":
                self._write(number)
            case "release":
                self._release(number)
            case "wait":
                self._send(number, self.quotas_of(number).set_waiting(self.clock(number), QUOTA, 1))
            case "pause":
                self.nodes[number].paused = True
            case "resume":
                self.nodes[number].paused = False
            case "change_plan":
                plans = self.nodes[number].plans
                self.quotas_of(number).apply_plans(self.clock(number), plans[1:2])
                del plans[0]
            case "crash":
                node = self.nodes[number]
                node.start += 1
                node.unwritten_permits.clear()
                node.paused = False
                self._start_node(number)  # its attempts in flight continue at their endpoints
        self.attempts = [attempt for attempt in self.attempts if attempt.until > self.now]

    def _tick(self) -> None:
        for number, node in enumerate(self.nodes):
            if not node.paused:
                self._send(number, self.quotas_of(number).tick(self.clock(number)))

    def _acquire(self, number: int) -> bool:
        now = self.clock(number)
        permit = self.quotas_of(number).acquire(now, QUOTA, now + self._permit_time())
        if permit is not None:
            self.nodes[number].unwritten_permits.append(permit)
        return permit is not None

    def _permit_time(self) -> float:
        """Returns the seconds on a node's clock after which an attempt has timed out by every clock."""
        return self.timeout * (1 + self.drift) / (1 - self.drift)

    def _write(self, number: int) -> None:
        now, permit = self.clock(number), self.nodes[number].unwritten_permits.pop()
        if self.quotas_of(number).extend(now, permit, now + self._permit_time()):
            self.attempts.append(InFlightAttempt(number, permit, self.now + self.timeout / (1 - self.drift)))

    def _release(self, number: int) -> None:
        released = next(attempt for attempt in self.attempts if attempt.node == number)
        self.attempts.remove(released)
        self._send(number, self.quotas_of(number).release(self.clock(number), released.permit))

    def _deliver(self, sent: InFlightMessage) -> None:
        outgoing = self.quotas_of(sent.to).receive(self.clock(sent.to), sent.sender, sent.message)
        self._send(sent.to, outgoing)

    def _send(self, number: int, outgoing: Sequence[OutgoingMessage]) -> None:
        node = self.nodes[number]
        names = [other.name for other in self.nodes]
        for item in outgoing:
            if len(self.messages) < MAX_MESSAGES_IN_FLIGHT and item.to in names:
                sender = Sender(node.name, node.start)
                self.messages.append(InFlightMessage(sender, names.index(item.to), item.message))

    def _expiries(self) -> Iterator[float]:
        """Yields the true times at which a lease, a loan, a permit, a quarantine or an attempt ends."""
        for number, node in enumerate(self.nodes):
            state = self.quotas_of(number).states[QUOTA]
            leases = [lease for lease in state.leases.values() if lease.granted]
            ends = [lease.end for lease in leases] + [lease.end - self._permit_time() for lease in leases]
            ends += [loan.ends for loan in state.loans.values()]
            ends += [until for until, _, permit in state.permits if permit.live]
            ends += [state.quarantine_ends] if state.phase is Phase.STARTING else []
            yield from ((end - node.offset) / node.rate for end in ends)
            yield from (attempt.until for attempt in self.attempts if attempt.node == number)

    def settle(self, seconds: float) -> World:
        """Advances the time with every message delivered at once, and returns this world.

        Used to reach a steady initial state, in which no quarantine is left.
        """
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            self._tick()
            while self.messages:
                self._deliver(self.messages.pop(0))
        return self

    # The checked property.

    def limit_in_force(self) -> int:
        """Returns the quota: the larger one of the splits until all nodes have settled to the newest."""
        plans = [node.plans[0] for node in self.nodes]
        newest = max(plans, key=lambda plan: plan.split.revision)
        states = [self.quotas_of(number).states[QUOTA] for number in range(len(self.nodes))]
        is_settled = all(state.phase is Phase.GROWN and state.plan.split == newest.split for state in states)
        if is_settled:
            return newest.split.total
        splits = [plan.split.total for plan in plans] + [plan.before.total for plan in plans if plan.before]
        return max(splits)

    def is_limit_exceeded(self) -> bool:
        """Returns whether more attempts are in flight than the quota allows."""
        return len(self.attempts) > self.limit_in_force()


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result of a search."""

    worlds: int  # visited
    max_in_flight: int  # attempts, the most in any world visited
    path: tuple[Move, ...] | None = (
        None  # the moves to a world that exceeds the quota; None if none was found
    )


def explore(world: World, moves: int, max_worlds: int = 100_000) -> SearchResult:
    """Visits every world within a number of moves, each once; ends early after `max_worlds` worlds."""
    initial = pickle.dumps(world)
    seen = {hash(initial)}
    pending: deque[tuple[bytes, tuple[Move, ...]]] = deque([(initial, ())])
    max_in_flight = len(world.attempts)
    while pending and len(seen) < max_worlds:
        packed, path = pending.popleft()
        current: World = pickle.loads(packed)
        for move in list(current.moves()):
            next_world: World = pickle.loads(packed)
            next_world.apply(move)
            max_in_flight = max(max_in_flight, len(next_world.attempts))
            if next_world.is_limit_exceeded():
                return SearchResult(len(seen), max_in_flight, (*path, move))
            packed_next = pickle.dumps(next_world)
            if hash(packed_next) not in seen:
                seen.add(hash(packed_next))
                if len(path) + 1 < moves:
                    pending.append((packed_next, (*path, move)))
    return SearchResult(len(seen), max_in_flight)


def walk(world: World, seed: int, moves: int, weights: dict[str, float] | None = None) -> SearchResult:
    """Follows a random sequence of moves from a copy of a world.

    Args:
        world: The initial world; it is not changed.
        seed: Of the random choices.
        moves: The number of moves.
        weights: Weights of the choice by kind of move; 1 for a kind that is not given.
    """
    random = Random(seed)
    current: World = pickle.loads(pickle.dumps(world))
    path: list[Move] = []
    max_in_flight = 0
    for number in range(moves):
        possible = list(current.moves())
        move_weights = [(weights or {}).get(move.kind, 1.0) for move in possible]
        move = random.choices(possible, move_weights)[0]
        current.apply(move)
        path.append(move)
        max_in_flight = max(max_in_flight, len(current.attempts))
        if current.is_limit_exceeded():
            return SearchResult(number + 1, max_in_flight, tuple(path))
    return SearchResult(moves, max_in_flight)
