"""A server as the emulator has it: workers, a queue, cold starts, tipping, overdrive, connections.

It knows a clock and its callers' callbacks alone, so that the same model serves in virtual time and behind a
socket. Servers are simulated.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from notchjunction.balancing.interface import (
    AttemptResult,
    DeduplicationScope,
    Idempotency,
    LoadReport,
    RequestClass,
)
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.scenario import Scenario, Tier

PROBE_WORK = 0.003  # s of a server's work that a probe costs
HUNG_LOOK = 0.1  # s between looks of a job that is done whether its server still hangs
ERROR_WORK = 0.002  # s that a job takes which fails at once
REST_SHARE = 0.5  # of its workers that a server may use and still counts as mostly idle


class Below(Protocol):
    """A call to the next tier that is under way."""

    def withdraw(self) -> None: ...


@dataclass(slots=True, eq=False)
class Call:
    """A request at a server. `answer` is told how it ended, once, as its server sees it."""

    name: Hashable  # of the dispatch
    profile: int
    seconds: float  # of work on a server of speed 1, in a tier of share 1
    until: float  # when its caller gives up
    answer: Callable[[AttemptResult], None]
    number: Hashable = None  # by which repeats are known; None where they are not dropped
    knowing: bool = False  # whether its sender has been told of the server's last start
    over: bool = False  # its sender no longer waits
    below: Below | None = None


@dataclass(slots=True)
class Numbers:
    """What a group of servers remembers of numbered jobs: until when a repeat of each is dropped."""

    window: float
    known: dict[Hashable, float] = field(default_factory=dict)

    def seen(self, number: Hashable, now: float) -> bool:
        """Whether it is a repeat; a first one is remembered."""
        if self.known.get(number, 0.0) > now:
            return True
        self.known[number] = now + self.window
        return False


class Memory:
    """What each group of a scenario's servers remembers; each zone is a cell."""

    def __init__(self, profiles: Sequence[RequestClass]) -> None:
        self._profiles = profiles
        self._numbers: dict[Hashable, Numbers] = {}

    def of(self, depth: int, server: Server, call: Call) -> Numbers | None:
        """Of the group that drops the call's repeats; None where nobody does."""
        profile = self._profiles[call.profile]
        if call.number is None or profile.idempotency is not Idempotency.KEYED:
            return None
        where = 0 if profile.deduplication_scope is DeduplicationScope.ALL else server.zone
        return self._numbers.setdefault((depth, call.profile, where), Numbers(profile.deduplication_window))


class Server:
    def __init__(
        self,
        number: int,
        tier: Tier,
        zone: int,
        speed: float,
        scenario: Scenario,
        clock: Clock,
        random: Random,
        ran: Callable[[Server, Call], None] = lambda server, call: None,
        tipped: Callable[[Server, float], None] = lambda server, knowing: None,
        pushed: Callable[[Server, Call], None] = lambda server, call: None,
        below: Callable[[Call, float, Callable[[bool], None]], Below] | None = None,
        calls: float = 0.0,
        numbers: Callable[[Server, Call], Numbers | None] = lambda server, call: None,
    ) -> None:
        self.number, self.tier, self.zone, self.speed = number, tier, zone, speed
        self._scenario, self._clock, self._random = scenario, clock, random
        self._ran, self._tipped, self._below, self._numbers = ran, tipped, below, numbers
        self._pushed = pushed
        self._calls = calls  # that each job makes to the next tier
        self.started_at = 0.0
        self.life = 0  # its starts; a connection belongs to one
        self.links = 0  # connections that it holds
        self.up = True
        self.presence = EndpointState.ACTIVE
        self.falls = True  # when it is sent too much while cold; not where a study asks by how much it was
        # What faults set.
        self.hung = False
        self.slow = self.lies = 1.0
        self.errors = self.resets = self.losses = 0.0
        self.running: list[Call] = []  # on a worker
        self.calling: list[Call] = []  # their own work is done; they hold a slot until the next tier answers
        self.waiting: deque[Call] = deque()
        self.pushed: deque[tuple[float, float, bool]] = (
            deque()
        )  # when, work, by one who was told of its start
        self.overdriven = False
        self._over_since: float | None = None
        self._rests_since: float | None = None
        self._report: LoadReport | None = None
        self._reported_at = 0.0

    # Life.

    def stop(self) -> None:
        """Resets what it holds; it takes nothing until it is up again."""
        self.up = False
        held = [*self.running, *self.calling, *self.waiting]
        self.running, self.calling, self.waiting = [], [], deque()
        self.links = 0
        self.life += 1
        for call in held:
            self._leave_below(call)
            call.answer(AttemptResult.RESET)

    def start(self) -> None:
        self.up, self.started_at = True, self._clock.now
        self.pushed.clear()
        self.overdriven, self._over_since, self._rests_since = False, None, None

    def warmth(self) -> float:
        """The share of its capacity that it has."""
        if self.started_at == 0.0:
            return 1.0
        warmed = min((self._clock.now - self.started_at) / self._scenario.cold_time, 1.0)
        return self._scenario.cold_share + (1 - self._scenario.cold_share) * warmed

    def bears(self, seconds: float = 0.0, care: float = 1.0) -> bool:
        """Whether so much more work leaves it standing, with so much of its budget used."""
        if self.started_at == 0.0 or self._clock.now > self.started_at + self._scenario.cold_time:
            return True
        self._forget_pushes()
        return sum(work for _, work, _ in self.pushed) + seconds <= care * self.allowed()

    def allowed(self) -> float:
        """Seconds of work that it bears over the span, as warm as it is now."""
        scenario = self._scenario
        return scenario.tip_multiple * self.speed * self.tier.workers * scenario.tip_span * self.warmth()

    # Connections.

    def connect(self) -> bool:
        """A new connection; False where it holds as many as it can."""
        if not self.up or (self.tier.connections_most and self.links >= self.tier.connections_most):
            return False
        self.links += 1
        return True

    def disconnect(self, life: int) -> None:
        if life == self.life and self.links > 0:
            self.links -= 1

    # Work.

    def reach(self, call: Call) -> None:
        """The request's last byte has come."""
        if self.up:
            self._push(call)
        if not self.up:
            call.answer(AttemptResult.NO_CONNECTION)
            return
        full = len(self.waiting) >= self.tier.queue_most
        if full or self.presence is not EndpointState.ACTIVE or call.until <= self._clock.now:
            call.answer(AttemptResult.REJECTED)
            return
        numbers = self._numbers(self, call)
        if numbers is not None and numbers.seen(call.number, self._clock.now):
            call.answer(AttemptResult.SUCCEEDED)  # the answer that was made before
            return
        self.waiting.append(call)
        self.start_queued()
        self._look_at_load()

    def drop(self, call: Call) -> None:
        """Its sender no longer waits: what waits or waits for the next tier is let go, work goes on."""
        call.over = True
        if call in self.waiting:
            self.waiting.remove(call)
        elif call in self.calling:
            self._leave_below(call)
            self.calling.remove(call)
            self.start_queued()
        self._look_at_load()

    def pace(self) -> float:
        """Seconds for each second of work now."""
        crowd = 1 + self._scenario.thrash * len(self.waiting)
        driven = self._scenario.overdrive_times if self.overdriven else 1.0
        return self.slow * crowd * driven / (self.speed * self.warmth())

    def _push(self, call: Call) -> None:
        """A cold server that is sent more than it bears over a span goes down for good."""
        if self.started_at == 0.0 or self._clock.now > self.started_at + self._scenario.cold_time:
            return
        self.pushed.append((self._clock.now, call.seconds * self.tier.share, call.knowing))
        self._pushed(self, call)
        if self.falls and not self.bears():
            total = sum(work for _, work, _ in self.pushed)
            knowing = sum(work for _, work, told in self.pushed if told)
            self._tipped(self, knowing / total)
            self.stop()

    def _forget_pushes(self) -> None:
        while self.pushed and self.pushed[0][0] < self._clock.now - self._scenario.tip_span:
            self.pushed.popleft()

    def start_queued(self) -> None:
        """Start queued calls while a worker and a slot are free."""
        while self.up and not self.hung and self.waiting and self._has_room():
            call = self.waiting.popleft()
            self.running.append(call)
            self._ran(self, call)
            if self.errors and self._random.random() < self.errors:
                self._clock.after(ERROR_WORK * self.pace(), partial(self._end, call, AttemptResult.ERROR))
                continue
            seconds = call.seconds * self.tier.share * self.pace()
            self._clock.after(seconds, partial(self._worked, call))

    def _has_room(self) -> bool:
        slots = self.tier.slots or self.tier.workers
        return len(self.running) < self.tier.workers and len(self.running) + len(self.calling) < slots

    def _worked(self, call: Call) -> None:
        """Its own work is done; what is left are the calls to the next tier."""
        if call not in self.running:
            return  # it went down meanwhile
        if self.hung:
            self._clock.after(HUNG_LOOK, lambda: self._worked(call))
            return
        whole, part = divmod(self._calls, 1.0)
        left = int(whole) + (self._random.random() < part)
        if not left or self._below is None:
            self._end(call, AttemptResult.SUCCEEDED)
            return
        self.running.remove(call)
        self.calling.append(call)
        self._call_on(call, left)
        self.start_queued()

    def _call_on(self, call: Call, left: int) -> None:
        if left <= 0 or self._below is None or call.over:
            self._end(call, AttemptResult.SUCCEEDED)
            return

        def done(honoured: bool) -> None:
            call.below = None
            if call not in self.calling:
                return
            if honoured:
                self._call_on(call, left - 1)
            else:
                self._end(call, AttemptResult.ERROR)

        time_left = call.until - self._clock.now
        if time_left <= 0:
            self._end(call, AttemptResult.ERROR)
            return
        under_way = self._below(call, time_left, done)
        if call in self.calling:  # else it has its answer already
            call.below = under_way

    def _end(self, call: Call, result: AttemptResult) -> None:
        place = self.running if call in self.running else self.calling
        if call not in place:
            return
        if self.hung:
            self._clock.after(HUNG_LOOK, lambda: self._end(call, result))
            return
        place.remove(call)
        if self.losses and self._random.random() < self.losses:
            pass
        elif self.resets and self._random.random() < self.resets:
            call.answer(AttemptResult.RESET)
        else:
            call.answer(result)
        self.start_queued()
        self._look_at_load()

    def _leave_below(self, call: Call) -> None:
        below, call.below = call.below, None
        if below is not None:
            below.withdraw()

    # Overdrive.

    def _look_at_load(self) -> None:
        """One that has far more waiting than workers for a while turns slow until it has rested."""
        scenario, now = self._scenario, self._clock.now
        if not scenario.overdrive_jobs:
            return
        if len(self.waiting) <= scenario.overdrive_jobs * self.tier.workers:
            self._over_since = None
        elif self._over_since is None:
            self._over_since = now
            self._clock.after(scenario.overdrive_span, lambda: self._drive_over(now))
        if len(self.running) + len(self.waiting) > REST_SHARE * self.tier.workers:
            self._rests_since = None
        elif self._rests_since is None:
            self._rests_since = now
            self._clock.after(scenario.rest_span, lambda: self._rest(now))

    def _drive_over(self, since: float) -> None:
        if self._over_since == since:
            self.overdriven = True

    def _rest(self, since: float) -> None:
        if self._rests_since == since:
            self.overdriven = False

    # Probes.

    def probe_seconds(self) -> float | None:
        """What a probe takes here; None where no answer comes."""
        if not self.up or self.hung:
            return None
        crowd = max(1.0, (len(self.running) + len(self.waiting)) / self.tier.workers)
        driven = self._scenario.overdrive_times if self.overdriven else 1.0
        return PROBE_WORK * crowd * driven * self.slow / (self.speed * self.warmth())

    def report(self) -> LoadReport:
        """What it says of itself, as old as its reports are, and as true."""
        now = self._clock.now
        if self._report is None or now - self._reported_at >= self._scenario.report_every:
            running, waiting = len(self.running), len(self.waiting)
            self._report = LoadReport(
                in_flight=(running + len(self.calling) + waiting) * self.lies,
                queued=waiting * self.lies,
                utilization=min(1.0, running / self.tier.workers) * self.lies,
            )
            self._reported_at = now
        return self._report


def build(
    scenario: Scenario,
    clock: Clock,
    random: Random,
    ran: Callable[[Server, Call], None],
    tipped: Callable[[Server, float], None],
    call_below: Callable[[int, Call, float, Callable[[bool], None]], Below],
    pushed: Callable[[Server, Call], None] = lambda server, call: None,
) -> list[list[Server]]:
    """A scenario's servers, tier by tier; `call_below` is told the number of the server that calls on."""
    memory = Memory(scenario.profiles)
    tiers: list[list[Server]] = []
    number = 0
    for depth, tier in enumerate(scenario.effective_tiers):
        last = depth + 1 == len(scenario.effective_tiers)
        row = []
        for index in range(tier.servers):
            server = Server(
                number,
                tier,
                index % scenario.zones,
                random.choice(tier.speeds),
                scenario,
                clock,
                random,
                ran=ran,
                tipped=tipped,
                pushed=pushed,
                below=None if last else partial(call_below, number),
                calls=0.0 if last else scenario.effective_tiers[depth + 1].calls,
                numbers=partial(memory.of, depth),
            )
            row.append(server)
            number += 1
        tiers.append(row)
    return tiers
