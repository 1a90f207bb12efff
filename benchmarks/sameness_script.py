"""Random scripts, drawn from a seed, that drive decisions through a socket-free host. Knows no project names.

`Script` plays the host's part: it submits requests, ends attempts, answers probes, changes the endpoint list
and lets time pass. What it does next depends on the commands that the decisions gave so far, which come to it
through the methods of `Script` that share a name with a command. A recorder implements `Driver`, which turns
the values here into calls of the decisions.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random  # bound before a mutation of the code's own draws is planted
from typing import NamedTuple, Protocol

from benchmarks.sameness_rows import Code, Recording

BEGIN_S = 1000.0  # the clock at which a script begins
STEPS = 4000
ENDPOINTS_MOST = 24  # numbers that change in a play
FIRST_ENDPOINTS = (3, 8, 16, 64)  # in the first list; the last is a fleet too large to look through each time
ZONES = 2
CELLS = 3
TENANT_QUOTAS = (20.0, 5.0)  # requests a second
UNKNOWN_CLASS_SHARE = 0.003  # of requests, whose class the settings do not name
MEAN_STEP_S = 0.008  # between two steps; a hundred requests a second and more, enough to fill small fleets

# Results of attempts, by number; a recorder maps them to its type.
SUCCEEDED, ERROR, FULL, TIMED_OUT, NO_CONNECTION, RESET, UNREADABLE, CANCELLED, NEVER_SENT, UNKNOWN = range(
    10
)
FAILURES = (ERROR, FULL, NO_CONNECTION, RESET, UNREADABLE, NEVER_SENT, UNKNOWN)
# States of endpoints, by number.
ACTIVE, DRAINING, REMOVED = range(3)
# Kinds of list news, by number.
CHANGES, WHOLE, REMEMBERED, FAILED_CALL = range(4)


class RequestClass(NamedTuple):
    """A class of requests; the last three: effect and deduplication group by number, window in seconds."""

    objective: float
    deadline: float
    weight: float
    late_share: float
    effect: int
    group: int
    window: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one script."""

    seed: int
    classes: tuple[RequestClass, ...]
    nodes: int
    processes: int
    depth: int
    depths: int
    must_follow: bool
    hedges: bool
    cancels: bool
    max_attempts: int
    crossing_price: float
    connection_price: float
    beside_clients: bool
    gossips: bool
    warm_keys: bool


class Request(NamedTuple):
    """A request as the decisions get it."""

    number: int
    class_number: int
    tenant: int
    time_left: float
    is_retry: bool
    whole: bool
    key: str


class LoadReport(NamedTuple):
    """Held, waiting, busy, pace, rate, errors; any may be missing."""

    figures: tuple[float | None, ...]


class Ending(NamedTuple):
    """How an attempt ended."""

    request: int
    attempt: int
    endpoint: int
    result: int
    seconds: float
    over: bool
    load: LoadReport | None
    spent: bool


class Endpoint(NamedTuple):
    """An entry of the endpoint list."""

    number: int
    state: int
    started_at: float
    zone: int
    cell: int
    power: float
    tag: int


class PeerOutcome(NamedTuple):
    """An outcome that another node tells of."""

    endpoint: int
    age: float
    good: bool
    seconds: float


class Driver(Protocol):
    """The decisions, as a script calls them."""

    def submit(self, request: Request) -> None:
        """A request came."""

    def end(self, ending: Ending) -> None:
        """An attempt ended."""

    def complete_body(self, request: int, time_left: float) -> None:
        """The last byte of a large request came."""

    def repeat_limit(self, request: int, attempt: int) -> float:
        """Until when the attempt may be written."""

    def begin_answer(self, request: int, attempt: int) -> None:
        """An answer began to stream."""

    def withdraw(self, request: int) -> None:
        """The client closed."""

    def end_probe(self, endpoint: int, result: int, load: LoadReport | None) -> None:
        """A probe ended."""

    def fire(self, token: int) -> None:
        """A timer is due."""

    def update_list(self, kind: int, endpoints: Sequence[Endpoint]) -> None:
        """News of the endpoint list."""

    def ban(self, endpoint: int, banned: bool) -> None:
        """An operator's order."""

    def receive_gossip(self, outcomes: Sequence[PeerOutcome]) -> None:
        """A peer's datagram."""

    def reconfigure(self, settings: Settings) -> None:
        """Settings changed."""

    def replace(self, settings: Settings, endpoints: Sequence[Endpoint]) -> None:
        """A new process with this list takes over what was learned; timers of the old one are void."""


@dataclass(slots=True)
class Attempt:
    """An attempt that has not ended."""

    request: int
    number: int
    endpoint: int
    sent_at: float
    until: float
    cancelled: bool = False
    streaming: bool = False


@dataclass(slots=True)
class World:
    """What is true of the endpoints, apart from the list."""

    entries: dict[int, Endpoint] = field(default_factory=dict)
    failure_share: dict[int, float] = field(default_factory=dict)
    stalled: set[int] = field(default_factory=set)
    banned: list[int] = field(default_factory=list)


def draw_settings(random: Random, seed: int) -> Settings:
    """Settings by chance, so that a few seeds meet most branches."""
    depths = random.choice((1, 1, 2))
    classes = tuple(
        RequestClass(
            objective=random.choice((0.3, 1.0, 1.5)),
            deadline=random.choice((2.0, 3.0)),
            weight=random.choice((1.0, 5.0)),
            late_share=random.choice((0.0, 0.5)),
            effect=number % 3,
            group=random.randrange(3),
            window=1.5,
        )
        for number in range(4)
    )
    return Settings(
        seed=seed,
        classes=classes,
        nodes=random.choice((1, 3, 20)),
        processes=random.choice((1, 2)),
        depth=random.randrange(depths),
        depths=depths,
        must_follow=random.random() < 0.8,
        hedges=random.random() < 0.6,
        cancels=random.random() < 0.8,
        max_attempts=random.choice((2, 4, 5)),
        crossing_price=random.choice((0.0, 0.05)),
        connection_price=random.choice((0.0, 0.01)),
        beside_clients=random.random() < 0.3,
        gossips=random.random() < 0.6,
        warm_keys=random.random() < 0.4,
    )


class Script:
    """One play: `begin` once the driver is there, then `play`."""

    def __init__(self, seed: int) -> None:
        self.random = Random(f"script {seed}")
        self.settings = draw_settings(self.random, seed)
        self.clock = BEGIN_S
        self.world = World()
        self.attempts: list[Attempt] = []
        self.probes: list[int] = []
        self.open: dict[int, int] = {}  # by request, the attempts that it had
        self.bodies: list[int] = []  # requests whose last byte has not come
        self._requests = 0
        self._generation = 0
        self._timers: list[tuple[float, int, int, int]] = []
        self._order = 0

    def begin(self, driver: Driver) -> None:
        """Gives the first endpoint list."""
        self.driver = driver
        for number in range(self.random.choice(FIRST_ENDPOINTS)):
            self._add_endpoint(number, started_at=0.0)
        driver.update_list(REMEMBERED, list(self.world.entries.values()))

    def play(self) -> None:
        """Takes all steps."""
        steps: list[tuple[Callable[[], None], float]] = [
            (self._submit, 30.0),
            (self._end_attempt, 34.0),
            (self._end_probe, 12.0),
            (self._begin_answer, 2.0),
            (self._complete_body, 2.0),
            (self._ask_repeat_limit, 2.0),
            (self._receive_gossip, 1.5),
            (self._withdraw, 1.0),
            (self._change_endpoint, 0.8),
            (self._change_health, 0.6),
            (self._fail_list_call, 0.3),
            (self._give_whole_list, 0.2),
            (self._ban, 0.3),
            (self._reconfigure, 0.1),
            (self._replace, 0.05),
            (self._pause, 0.3),
        ]
        kinds, weights = zip(*steps, strict=True)
        for _ in range(STEPS):
            self.advance(self.random.expovariate(1 / MEAN_STEP_S))
            self.random.choices(kinds, weights)[0]()

    # What the decisions order; a recorder calls these.

    def attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """An attempt goes out."""
        number = self.open.get(request, 0)
        self.open[request] = number + 1
        self.attempts.append(Attempt(request, number, endpoint, self.clock, self.clock + timeout))

    def cancel(self, request: int, attempt: int) -> None:
        """An attempt is to be cancelled."""
        for each in self.attempts:
            if (each.request, each.number) == (request, attempt):
                each.cancelled = True

    def probe(self, endpoint: int) -> None:
        """A probe goes out."""
        self.probes.append(endpoint)

    def close(self, request: int) -> None:
        """The client got its final answer."""
        self.open.pop(request, None)
        if request in self.bodies:
            self.bodies.remove(request)

    def set_timer(self, delay: float, token: int) -> None:
        """A timer is set."""
        self._order += 1
        heapq.heappush(self._timers, (self.clock + delay, self._order, self._generation, token))

    # Time.

    def advance(self, seconds: float) -> None:
        """Lets time pass; timers fire, and attempts whose time is over end."""
        end = self.clock + seconds
        while self._timers and self._timers[0][0] <= end:
            due, _, generation, token = heapq.heappop(self._timers)
            self.clock = max(self.clock, due)
            if generation == self._generation:
                self.driver.fire(token)
        self.clock = end
        for each in [each for each in self.attempts if each.until <= end]:
            self._end(each, TIMED_OUT)

    def _pause(self) -> None:
        self.advance(self.random.uniform(0.5, 4.0))

    # Requests and attempts.

    def _submit(self) -> None:
        random = self.random
        self._requests += 1
        class_number = random.randrange(len(self.settings.classes))
        deadline = self.settings.classes[class_number].deadline
        if random.random() < UNKNOWN_CLASS_SHARE:
            class_number = len(self.settings.classes)
        is_retry = random.random() < 0.1
        time_left = deadline * (random.uniform(0.1, 0.9) if is_retry else random.uniform(0.97, 1.0))
        whole = random.random() >= 0.06
        self.open[self._requests] = 0
        if not whole:
            self.bodies.append(self._requests)
        request = Request(
            number=self._requests,
            class_number=class_number,
            tenant=random.randrange(len(TENANT_QUOTAS) + 1),
            time_left=time_left,
            is_retry=is_retry,
            whole=whole,
            key=random.choice(("", "k1", "k2", "k3")),
        )
        self.driver.submit(request)

    def _end_attempt(self) -> None:
        ready = [each for each in self.attempts if each.endpoint not in self.world.stalled or each.cancelled]
        if ready:
            # The older ones are likelier to be through.
            attempt = ready[min(self.random.randrange(len(ready)), self.random.randrange(len(ready)))]
            self._end(attempt, self._result(attempt))

    def _result(self, attempt: Attempt) -> int:
        chance = self.random.random()
        if attempt.cancelled and chance < 0.9:
            return CANCELLED
        failing = self.random.random() < self.world.failure_share.get(attempt.endpoint, 0.02)
        return self.random.choice(FAILURES) if failing else SUCCEEDED

    def _end(self, attempt: Attempt, result: int) -> None:
        self.attempts.remove(attempt)
        answered = result == SUCCEEDED or self.random.random() < 0.03
        over = answered or attempt.request not in self.open
        if over:
            self.close(attempt.request)
        self.driver.end(
            Ending(
                request=attempt.request,
                attempt=attempt.number,
                endpoint=attempt.endpoint,
                result=result,
                seconds=self.clock - attempt.sent_at,
                over=over,
                load=self._load(0.3),
                spent=self.random.random() < 0.02,
            )
        )

    def _load(self, share: float) -> LoadReport | None:
        random = self.random
        if random.random() >= share:
            return None
        tops = (10.0, 5.0, 1.0, 0.5, 100.0, 0.3)
        figures = (random.uniform(0.0, top) if random.random() < 0.7 else None for top in tops)
        return LoadReport(tuple(figures))

    def _begin_answer(self) -> None:
        waiting = [each for each in self.attempts if not each.streaming and each.request in self.open]
        if waiting:
            attempt = self.random.choice(waiting)
            attempt.streaming = True
            attempt.until += 30.0  # a stream has no deadline of its own
            self.driver.begin_answer(attempt.request, attempt.number)

    def _complete_body(self) -> None:
        if self.bodies:
            request = self.bodies.pop(0)
            self.driver.complete_body(request, self.random.choice((0.5, 10.0)))

    def _ask_repeat_limit(self) -> None:
        if self.attempts:
            attempt = self.random.choice(self.attempts)
            self.driver.repeat_limit(attempt.request, attempt.number)

    def _withdraw(self) -> None:
        if self.open:
            request = self.random.choice(list(self.open))
            self.close(request)
            self.driver.withdraw(request)

    def _end_probe(self) -> None:
        if not self.probes:
            return
        endpoint = self.probes.pop(self.random.randrange(len(self.probes)))
        if endpoint in self.world.stalled:
            self.driver.end_probe(endpoint, TIMED_OUT, None)
        elif self.random.random() < self.world.failure_share.get(endpoint, 0.02):
            self.driver.end_probe(endpoint, NO_CONNECTION, None)
        else:
            self.driver.end_probe(endpoint, SUCCEEDED, self._load(0.9))

    def _receive_gossip(self) -> None:
        random = self.random
        count = random.randrange(1, 6)
        self.driver.receive_gossip(
            [
                PeerOutcome(
                    random.randrange(ENDPOINTS_MOST),
                    random.uniform(0.0, 12.0),
                    random.random() < 0.8,
                    random.uniform(0.01, 0.5),
                )
                for _ in range(count)
            ]
        )

    # Endpoints and settings.

    def _add_endpoint(self, number: int, started_at: float) -> Endpoint:
        entry = Endpoint(
            number=number,
            state=ACTIVE,
            started_at=started_at,
            zone=number % ZONES,
            cell=number % CELLS,
            power=self.random.choice((0.5, 1.0, 2.0)),
            tag=number * 7919,
        )
        self.world.entries[number] = entry
        return entry

    def _change_endpoint(self) -> None:
        number = self.random.randrange(ENDPOINTS_MOST)
        known = self.world.entries.get(number)
        if known is None:
            entry = self._add_endpoint(number, started_at=self.clock - self.random.uniform(0.0, 2.0))
        elif known.state == ACTIVE and self.random.random() < 0.5:
            entry = self.world.entries[number] = known._replace(started_at=self.clock)
        elif known.state == ACTIVE:
            entry = self.world.entries[number] = known._replace(state=DRAINING)
        else:
            entry = known._replace(state=REMOVED)
            del self.world.entries[number]
        self.driver.update_list(CHANGES, [entry])

    def _change_health(self) -> None:
        number = self.random.randrange(ENDPOINTS_MOST)
        self.world.stalled.discard(number)
        share = self.random.choice((0.02, 0.02, 0.4, 0.9))
        self.world.failure_share[number] = share
        if share == 0.4 and len(self.world.stalled) < 3:
            self.world.stalled.add(number)

    def _fail_list_call(self) -> None:
        self.driver.update_list(FAILED_CALL, [])

    def _give_whole_list(self) -> None:
        self.driver.update_list(WHOLE, list(self.world.entries.values()))

    def _ban(self) -> None:
        if self.world.banned:
            self.driver.ban(self.world.banned.pop(), False)
        elif self.world.entries:
            number = self.random.choice(list(self.world.entries))
            self.world.banned.append(number)
            self.driver.ban(number, True)

    def _reconfigure(self) -> None:
        drawn = draw_settings(self.random, self.settings.seed)
        self.settings = drawn
        self.driver.reconfigure(drawn)

    def _replace(self) -> None:
        """An upgrade; the old process's requests end with it, and the new one has none."""
        self._generation += 1
        self.attempts.clear()
        self.probes.clear()
        self.open.clear()
        self.bodies.clear()
        self.world.banned.clear()
        self.driver.replace(self.settings, list(self.world.entries.values()))


WATCHES = 60  # in one play
WATCH_CALLS = 60
# By kind of discovery, weights of the ends: answered, silent, refused, refused in a crowd, broken, moved.
WATCH_END_WEIGHTS = (
    (4.0, 1.0, 1.5, 0.7, 1.0, 0.3),  # some of all
    (0.3, 0.1, 0.0, 6.0, 0.0, 0.1),  # a crowd for long
    (0.3, 6.0, 0.3, 0.0, 0.3, 0.1),  # silent for long
    (0.3, 0.0, 3.0, 1.0, 3.0, 0.1),  # down for long
)
WATCH_CALL_MOST_S = ((0.3,), (0.3, 1.0, 4.0), (1.5, 4.0))  # by kind of network: times that calls may take


class Watch(Protocol):
    """The watch of the endpoint list."""

    def call(self, now: float, known: bool) -> tuple[float, float]:
        """A call begins: seconds that it may wait, and seconds after which it is silent."""

    def end(self, now: float, event: int) -> tuple[float, ...]:
        """It ended; what was decided, as numbers."""


def play_watches(make: Callable[[float, bool, int, int], Watch], seed: int, recording: Recording) -> None:
    """Watches of several settings, whose calls end by chance."""
    random = Random(f"watch {seed}")
    for number in range(WATCHES):
        nodes = random.choice((1, 15, 16, 40))
        watch = make(random.choice((0.0, 4.0, 10.0)), random.random() < 0.2, seed * 100 + number, nodes)
        weights, times = random.choice(WATCH_END_WEIGHTS), random.choice(WATCH_CALL_MOST_S)
        now = BEGIN_S
        for call in range(WATCH_CALLS):
            recording.add(now, Code.WATCH, number, call, *watch.call(now, call > 0))
            now += random.choice(times) * random.random()
            event = random.choices(range(len(weights)), weights)[0]
            recording.add(now, Code.WATCH, number, call, *watch.end(now, event))
            now += random.random()
