"""Random scripts, drawn from a seed, that drive a balancer through a host without sockets.

`Script` acts as the host: it submits requests, ends attempts and probes, changes the endpoint list and lets
time pass. Its next step depends on the balancer's commands before; the recorder passes them to the methods
`attempt`, `cancel`, `probe`, `close` and `set_timer`. A recorder implements `Driver`, which translates the
calls and types of this module to those of its tree.

This module uses no name of the project. Recorders of older revisions import it, so the names that they use
(the types, their fields, the methods of `Script`, `Driver` and `Watch`) must not change.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random  # imported before a mutation replaces `random.Random`
from typing import NamedTuple, Protocol

from benchmarks.sameness_rows import Code, Recording

START_TIME_S = 1000.0  # clock at the start of a script
STEPS = 4000
CHANGING_ENDPOINTS = 24  # endpoints with lower numbers change in a play
# Sizes of the first list. The last one is too large for a balancer to examine all endpoints for each request.
INITIAL_ENDPOINT_COUNTS = (3, 8, 16, 64)
ZONES = 2
CELLS = 3
TENANT_QUOTAS = (20.0, 5.0)  # requests per second
UNKNOWN_CLASS_SHARE = 0.003  # share of requests with a class that is not in the settings
MEAN_STEP_S = 0.008  # between two steps; more than a hundred steps per second fill small fleets

# Results of attempts as numbers; a recorder maps them to its type.
SUCCEEDED, ERROR, REJECTED, TIMED_OUT, NO_CONNECTION, RESET, MALFORMED, CANCELLED, NOT_SENT, UNKNOWN = range(
    10
)
FAILURES = (ERROR, REJECTED, NO_CONNECTION, RESET, MALFORMED, NOT_SENT, UNKNOWN)
# States of endpoints as numbers.
ACTIVE, DRAINING, REMOVED = range(3)
# Kinds of list updates as numbers.
CHANGES, SNAPSHOT, CACHED, FAILED_POLL = range(4)


class RequestClass(NamedTuple):
    """A request class; times in s. `effect` (idempotency) and `group` (deduplication scope) are numbers."""

    objective: float
    deadline: float
    weight: float
    late_share: float
    effect: int
    group: int
    window: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a script, which a recorder converts to those of its balancer."""

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
    """A request as the balancer receives it. `whole`: its body has been received completely."""

    number: int
    class_number: int
    tenant: int
    time_left: float
    is_retry: bool
    whole: bool
    key: str


class LoadReport(NamedTuple):
    """The figures of a load report: in flight, queued, utilization, latency, rate, error rate; or None."""

    figures: tuple[float | None, ...]


class Ending(NamedTuple):
    """The end of an attempt. `over`: the request has its response; `spent`: it can't be sent again."""

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
    """The outcome of an attempt that a peer reports, `age` seconds ago."""

    endpoint: int
    age: float
    good: bool
    seconds: float


class Driver(Protocol):
    """The balancer, as a script calls it."""

    def submit(self, request: Request) -> None:
        """Handle a new request."""

    def end(self, ending: Ending) -> None:
        """Handle the end of an attempt."""

    def complete_body(self, request: int, time_left: float) -> None:
        """Handle the last byte of a large request."""

    def repeat_limit(self, request: int, attempt: int) -> float:
        """Return until when (s) the attempt may be sent without a risk of a second effect."""

    def begin_answer(self, request: int, attempt: int) -> None:
        """Handle the start of a streamed response."""

    def withdraw(self, request: int) -> None:
        """Handle the cancellation of a request by its client."""

    def end_probe(self, endpoint: int, result: int, load: LoadReport | None) -> None:
        """Handle the end of a probe."""

    def fire(self, token: int) -> None:
        """Handle the end of a timer."""

    def update_list(self, kind: int, endpoints: Sequence[Endpoint]) -> None:
        """Handle an update of the endpoint list, or a failed poll."""

    def ban(self, endpoint: int, banned: bool) -> None:
        """Handle that an operator banned an endpoint or lifted its ban."""

    def receive_gossip(self, outcomes: Sequence[PeerOutcome]) -> None:
        """Handle outcomes that a peer reports."""

    def reconfigure(self, settings: Settings) -> None:
        """Handle changed settings."""

    def replace(self, settings: Settings, endpoints: Sequence[Endpoint]) -> None:
        """Replace the balancer by that of a new process, which restores the learned state and this list."""


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    request: int
    number: int
    endpoint: int
    sent_at: float
    until: float
    cancelled: bool = False
    streaming: bool = False


@dataclass(slots=True)
class SimulatedEndpoints:
    """The endpoints by number, and how they behave."""

    entries: dict[int, Endpoint] = field(default_factory=dict)
    failure_share: dict[int, float] = field(default_factory=dict)
    stalled: set[int] = field(default_factory=set)
    banned: list[int] = field(default_factory=list)


def draw_settings(random: Random, seed: int) -> Settings:
    """Draw random settings, so that a few seeds reach most branches of the balancer."""
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
    """One script: call `begin` with the driver, then `play`."""

    def __init__(self, seed: int) -> None:
        self.random = Random(f"script {seed}")
        self.settings = draw_settings(self.random, seed)
        self.clock = START_TIME_S
        self.endpoints = SimulatedEndpoints()
        self.attempts: list[Attempt] = []
        self.probes: list[int] = []
        self.attempt_counts: dict[int, int] = {}  # by request, of those without a final response
        self.incomplete_bodies: list[int] = []  # requests whose last byte has not arrived
        self._requests = 0
        self._generation = 0
        self._timers: list[tuple[float, int, int, int]] = []
        self._order = 0

    def begin(self, driver: Driver) -> None:
        """Apply the first endpoint list."""
        self.driver = driver
        for number in range(self.random.choice(INITIAL_ENDPOINT_COUNTS)):
            self._add_endpoint(number, started_at=0.0)
        driver.update_list(CACHED, list(self.endpoints.entries.values()))

    def play(self) -> None:
        """Run all steps."""
        steps: list[tuple[Callable[[], None], float]] = [
            (self._submit, 30.0),
            (self._end_attempt, 34.0),
            (self._end_probe, 12.0),
            (self._begin_answer, 2.0),
            (self._complete_body, 2.0),
            (self._query_repeat_limit, 2.0),
            (self._receive_gossip, 1.5),
            (self._withdraw, 1.0),
            (self._change_endpoint, 0.8),
            (self._change_health, 0.6),
            (self._fail_list_poll, 0.3),
            (self._update_whole_list, 0.2),
            (self._ban, 0.3),
            (self._reconfigure, 0.1),
            (self._replace, 0.05),
            (self._pause, 0.3),
        ]
        kinds, weights = zip(*steps, strict=True)
        for _ in range(STEPS):
            self.advance(self.random.expovariate(1 / MEAN_STEP_S))
            self.random.choices(kinds, weights)[0]()

    # The commands of the balancer. The recorder calls these methods.

    def attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send an attempt."""
        number = self.attempt_counts.get(request, 0)
        self.attempt_counts[request] = number + 1
        self.attempts.append(Attempt(request, number, endpoint, self.clock, self.clock + timeout))

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt."""
        for in_flight in self.attempts:
            if (in_flight.request, in_flight.number) == (request, attempt):
                in_flight.cancelled = True

    def probe(self, endpoint: int) -> None:
        """Send a probe."""
        self.probes.append(endpoint)

    def close(self, request: int) -> None:
        """End a request: the client has its final response."""
        self.attempt_counts.pop(request, None)
        if request in self.incomplete_bodies:
            self.incomplete_bodies.remove(request)

    def set_timer(self, delay: float, token: int) -> None:
        """Set a timer."""
        self._order += 1
        heapq.heappush(self._timers, (self.clock + delay, self._order, self._generation, token))

    # Time.

    def advance(self, seconds: float) -> None:
        """Let time pass: timers fire, and attempts that reach their timeout end."""
        end = self.clock + seconds
        while self._timers and self._timers[0][0] <= end:
            due, _, generation, token = heapq.heappop(self._timers)
            self.clock = max(self.clock, due)
            if generation == self._generation:
                self.driver.fire(token)
        self.clock = end
        for attempt in [attempt for attempt in self.attempts if attempt.until <= end]:
            self._end(attempt, TIMED_OUT)

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
        self.attempt_counts[self._requests] = 0
        if not whole:
            self.incomplete_bodies.append(self._requests)
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
        ready = [
            attempt
            for attempt in self.attempts
            if attempt.endpoint not in self.endpoints.stalled or attempt.cancelled
        ]
        if ready:
            # Older attempts are more likely to end.
            attempt = ready[min(self.random.randrange(len(ready)), self.random.randrange(len(ready)))]
            self._end(attempt, self._result(attempt))

    def _result(self, attempt: Attempt) -> int:
        chance = self.random.random()
        if attempt.cancelled and chance < 0.9:
            return CANCELLED
        fails = self.random.random() < self.endpoints.failure_share.get(attempt.endpoint, 0.02)
        return self.random.choice(FAILURES) if fails else SUCCEEDED

    def _end(self, attempt: Attempt, result: int) -> None:
        self.attempts.remove(attempt)
        is_final = result == SUCCEEDED or self.random.random() < 0.03
        over = is_final or attempt.request not in self.attempt_counts
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
        max_values = (10.0, 5.0, 1.0, 0.5, 100.0, 0.3)
        figures = (random.uniform(0.0, value) if random.random() < 0.7 else None for value in max_values)
        return LoadReport(tuple(figures))

    def _begin_answer(self) -> None:
        waiting = [
            attempt
            for attempt in self.attempts
            if not attempt.streaming and attempt.request in self.attempt_counts
        ]
        if waiting:
            attempt = self.random.choice(waiting)
            attempt.streaming = True
            attempt.until += 30.0  # a streamed response may last longer than the deadline
            self.driver.begin_answer(attempt.request, attempt.number)

    def _complete_body(self) -> None:
        if self.incomplete_bodies:
            request = self.incomplete_bodies.pop(0)
            self.driver.complete_body(request, self.random.choice((0.5, 10.0)))

    def _query_repeat_limit(self) -> None:
        if self.attempts:
            attempt = self.random.choice(self.attempts)
            self.driver.repeat_limit(attempt.request, attempt.number)

    def _withdraw(self) -> None:
        if self.attempt_counts:
            request = self.random.choice(list(self.attempt_counts))
            self.close(request)
            self.driver.withdraw(request)

    def _end_probe(self) -> None:
        if not self.probes:
            return
        endpoint = self.probes.pop(self.random.randrange(len(self.probes)))
        if endpoint in self.endpoints.stalled:
            self.driver.end_probe(endpoint, TIMED_OUT, None)
        elif self.random.random() < self.endpoints.failure_share.get(endpoint, 0.02):
            self.driver.end_probe(endpoint, NO_CONNECTION, None)
        else:
            self.driver.end_probe(endpoint, SUCCEEDED, self._load(0.9))

    def _receive_gossip(self) -> None:
        random = self.random
        count = random.randrange(1, 6)
        self.driver.receive_gossip(
            [
                PeerOutcome(
                    random.randrange(CHANGING_ENDPOINTS),
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
        self.endpoints.entries[number] = entry
        return entry

    def _change_endpoint(self) -> None:
        number = self.random.randrange(CHANGING_ENDPOINTS)
        current = self.endpoints.entries.get(number)
        if current is None:
            entry = self._add_endpoint(number, started_at=self.clock - self.random.uniform(0.0, 2.0))
        elif current.state == ACTIVE and self.random.random() < 0.5:
            entry = self.endpoints.entries[number] = current._replace(started_at=self.clock)
        elif current.state == ACTIVE:
            entry = self.endpoints.entries[number] = current._replace(state=DRAINING)
        else:
            entry = current._replace(state=REMOVED)
            del self.endpoints.entries[number]
        self.driver.update_list(CHANGES, [entry])

    def _change_health(self) -> None:
        number = self.random.randrange(CHANGING_ENDPOINTS)
        self.endpoints.stalled.discard(number)
        share = self.random.choice((0.02, 0.02, 0.4, 0.9))
        self.endpoints.failure_share[number] = share
        if share == 0.4 and len(self.endpoints.stalled) < 3:
            self.endpoints.stalled.add(number)

    def _fail_list_poll(self) -> None:
        self.driver.update_list(FAILED_POLL, [])

    def _update_whole_list(self) -> None:
        self.driver.update_list(SNAPSHOT, list(self.endpoints.entries.values()))

    def _ban(self) -> None:
        if self.endpoints.banned:
            self.driver.ban(self.endpoints.banned.pop(), False)
        elif self.endpoints.entries:
            number = self.random.choice(list(self.endpoints.entries))
            self.endpoints.banned.append(number)
            self.driver.ban(number, True)

    def _reconfigure(self) -> None:
        settings = draw_settings(self.random, self.settings.seed)
        self.settings = settings
        self.driver.reconfigure(settings)

    def _replace(self) -> None:
        """Upgrade: the requests and timers of the old process end, and the new process starts without any."""
        self._generation += 1
        self.attempts.clear()
        self.probes.clear()
        self.attempt_counts.clear()
        self.incomplete_bodies.clear()
        self.endpoints.banned.clear()
        self.driver.replace(self.settings, list(self.endpoints.entries.values()))


WATCHES = 60  # per play
WATCH_POLLS = 60  # per watch
# Weights of the results of polls, by the behaviour of discovery. The results are: answered, timed out,
# rejected, rate limited, connection lost, address changed.
WATCH_RESULT_WEIGHTS = (
    (4.0, 1.0, 1.5, 0.7, 1.0, 0.3),  # all results
    (0.3, 0.1, 0.0, 6.0, 0.0, 0.1),  # rate limited for a long time
    (0.3, 6.0, 0.3, 0.0, 0.3, 0.1),  # silent for a long time
    (0.3, 0.0, 3.0, 1.0, 3.0, 0.1),  # down for a long time
)
WATCH_MAX_POLL_S = ((0.3,), (0.3, 1.0, 4.0), (1.5, 4.0))  # longest polls, by the behaviour of the network


class Watch(Protocol):
    """The watch of the endpoint list."""

    def call(self, now: float, known: bool) -> tuple[float, float]:
        """Start a poll; return the seconds it may wait and the seconds after which it times out."""

    def end(self, now: float, event: int) -> tuple[float, ...]:
        """End the poll; return the decisions as numbers."""


def play_watches(make: Callable[[float, bool, int, int], Watch], seed: int, recording: Recording) -> None:
    """Play watches with several settings, whose polls end at random."""
    random = Random(f"watch {seed}")
    for number in range(WATCHES):
        nodes = random.choice((1, 15, 16, 40))
        watch = make(random.choice((0.0, 4.0, 10.0)), random.random() < 0.2, seed * 100 + number, nodes)
        weights, max_times = random.choice(WATCH_RESULT_WEIGHTS), random.choice(WATCH_MAX_POLL_S)
        now = START_TIME_S
        for poll in range(WATCH_POLLS):
            recording.add(now, Code.WATCH, number, poll, *watch.call(now, poll > 0))
            now += random.choice(max_times) * random.random()
            event = random.choices(range(len(weights)), weights)[0]
            recording.add(now, Code.WATCH, number, poll, *watch.end(now, event))
            now += random.random()
