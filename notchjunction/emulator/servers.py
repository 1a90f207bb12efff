"""The model of a server: workers, a queue, slow start, two kinds of overload, and connections.

A server that receives too much work during slow start goes down. A server whose queue stays too long becomes
slower until it has been mostly idle for a while.

The model depends only on a clock and callbacks, so the same model runs in virtual time and behind a socket.
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

PROBE_WORK_S = 0.003  # work of a probe
HUNG_CHECK_INTERVAL_S = 0.1  # between checks whether a server still hangs, before it responds
ERROR_WORK_S = 0.002  # work of a request that fails at once
MOSTLY_IDLE_SHARE = 0.5  # of its workers that a mostly idle server uses at most


class DownstreamCall(Protocol):
    """A server's request to the next tier, in flight."""

    def cancel(self) -> None:
        """Cancel the request."""
        ...


@dataclass(slots=True, eq=False)
class Call:
    """An attempt at a server; `on_result` is called once, with its result as the server sees it."""

    attempt_id: Hashable
    request_class: int
    work: float  # s on a server of speed 1, in a tier of share 1
    deadline: float  # when its sender gives up
    on_result: Callable[[AttemptResult], None]
    deduplication_key: Hashable = None  # None if repeats are not dropped
    informed: bool = False  # whether its sender had been notified of the server's last start
    cancelled: bool = False  # by its sender
    downstream: DownstreamCall | None = None


@dataclass(slots=True)
class DeduplicationTable:
    """The deduplication keys that a group of servers remembers, and until when it drops repeats of each."""

    window: float
    expires_at: dict[Hashable, float] = field(default_factory=dict)

    def is_repeat(self, key: Hashable, now: float) -> bool:
        """Return whether the key is remembered; remember it if not."""
        if self.expires_at.get(key, 0.0) > now:
            return True
        self.expires_at[key] = now + self.window
        return False


class DeduplicationTables:
    """The deduplication tables of a scenario's servers; the servers of each zone are one group."""

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self._request_classes = request_classes
        self._tables: dict[Hashable, DeduplicationTable] = {}

    def find(self, depth: int, server: Server, call: Call) -> DeduplicationTable | None:
        """Return the table of the group that drops the call's repeats; None if no group does."""
        request_class = self._request_classes[call.request_class]
        if call.deduplication_key is None or request_class.idempotency is not Idempotency.KEYED:
            return None
        group = 0 if request_class.deduplication_scope is DeduplicationScope.ALL else server.zone
        return self._tables.setdefault(
            (depth, call.request_class, group), DeduplicationTable(request_class.deduplication_window)
        )


class Server:
    """One server of a tier.

    Args:
        number: The number among the servers of all tiers.
        tier: The tier's settings.
        zone: The number of the zone.
        speed: The factor of the speed of an ordinary server.
        scenario: The source of all other settings.
        clock: The time and timers.
        random: The source of random numbers.
        on_executed: Called when the server begins to execute a call.
        on_overloaded: Called when overload during slow start takes the server down, with the share of the
            work that came from senders that had been notified of the server's start.
        on_cold_load: Called with each call that arrives during slow start.
        call_downstream: Makes a call to the next tier for this one, with a timeout (s) and a callback for
            whether it succeeded; None in the last tier.
        downstream_calls: The number of calls to the next tier for each call; the fraction is drawn.
        find_table: Returns the table that knows the call's repeats, if there is one.
    """

    def __init__(
        self,
        number: int,
        tier: Tier,
        zone: int,
        speed: float,
        scenario: Scenario,
        clock: Clock,
        random: Random,
        on_executed: Callable[[Server, Call], None] = lambda server, call: None,
        on_overloaded: Callable[[Server, float], None] = lambda server, informed: None,
        on_cold_load: Callable[[Server, Call], None] = lambda server, call: None,
        call_downstream: Callable[[Call, float, Callable[[bool], None]], DownstreamCall] | None = None,
        downstream_calls: float = 0.0,
        find_table: Callable[[Server, Call], DeduplicationTable | None] = lambda server, call: None,
    ) -> None:
        self.number, self.tier, self.zone, self.speed = number, tier, zone, speed
        self._scenario, self._clock, self._random = scenario, clock, random
        self._on_executed, self._on_overloaded, self._call_downstream, self._find_table = (
            on_executed,
            on_overloaded,
            call_downstream,
            find_table,
        )
        self._on_cold_load = on_cold_load
        self._downstream_calls = downstream_calls
        self.started_at = 0.0  # s; 0: long before the run, so there is no slow start
        self.generation = 0  # changes with each stop; a connection belongs to one generation
        self.connections = 0  # open ones
        self.up = True
        self.state = EndpointState.ACTIVE
        self.fails_on_overload = True  # during slow start; False where a test measures the overload
        # Set by faults.
        self.hung = False
        self.slow = self.lies = 1.0
        self.errors = self.resets = self.losses = 0.0
        self.running: list[Call] = []  # on a worker
        self.calling: list[Call] = []  # own work is done; each occupies a slot until the next tier responds
        self.waiting: deque[Call] = deque()
        self.cold_load: deque[tuple[float, float, bool]] = (
            deque()
        )  # time, work (s), and whether the sender had been notified of the start
        self.degraded = False  # slower after an overload
        self._overloaded_since: float | None = None
        self._idle_since: float | None = None
        self._report: LoadReport | None = None
        self._reported_at = 0.0

    # Start and stop.

    def stop(self) -> None:
        """Go down: reset all calls and connections, and accept nothing until the next start."""
        self.up = False
        calls = [*self.running, *self.calling, *self.waiting]
        self.running, self.calling, self.waiting = [], [], deque()
        self.connections = 0
        self.generation += 1
        for call in calls:
            self._cancel_downstream(call)
            call.on_result(AttemptResult.RESET)

    def start(self) -> None:
        """Start again, in slow start."""
        self.up, self.started_at = True, self._clock.now
        self.cold_load.clear()
        self.degraded, self._overloaded_since, self._idle_since = False, None, None

    def capacity_share(self) -> float:
        """Return the share of its full speed that the server has now."""
        if self.started_at == 0.0:
            return 1.0
        progress = min((self._clock.now - self.started_at) / self._scenario.cold_time, 1.0)
        return self._scenario.cold_share + (1 - self._scenario.cold_share) * progress

    def is_within_cold_budget(self, extra_work: float = 0.0, budget_share: float = 1.0) -> bool:
        """Return whether the server's load plus `extra_work` (s) is within a share of its budget.

        After slow start there is no budget, and the result is always True.
        """
        if self.started_at == 0.0 or self._clock.now > self.started_at + self._scenario.cold_time:
            return True
        self._expire_cold_load()
        return sum(work for _, work, _ in self.cold_load) + extra_work <= budget_share * self.cold_budget()

    def cold_budget(self) -> float:
        """Return the work (s) that the server can receive over `tip_span`, at its present speed."""
        scenario = self._scenario
        return (
            scenario.tip_multiple * self.speed * self.tier.workers * scenario.tip_span * self.capacity_share()
        )

    # Connections.

    def connect(self) -> bool:
        """Open a connection; return False if the server is down or at its connection limit."""
        if not self.up or (self.tier.connections_most and self.connections >= self.tier.connections_most):
            return False
        self.connections += 1
        return True

    def disconnect(self, generation: int) -> None:
        """Close a connection; those of an earlier generation were closed by the stop."""
        if generation == self.generation and self.connections > 0:
            self.connections -= 1

    # Calls.

    def receive(self, call: Call) -> None:
        """Handle a call whose last byte has arrived: queue, reject or deduplicate it."""
        if self.up:
            self._add_cold_load(call)
        if not self.up:
            call.on_result(AttemptResult.NO_CONNECTION)
            return
        full = len(self.waiting) >= self.tier.queue_most
        if full or self.state is not EndpointState.ACTIVE or call.deadline <= self._clock.now:
            call.on_result(AttemptResult.REJECTED)
            return
        table = self._find_table(self, call)
        if table is not None and table.is_repeat(call.deduplication_key, self._clock.now):
            call.on_result(AttemptResult.SUCCEEDED)  # the response to the first one is sent again
            return
        self.waiting.append(call)
        self.start_queued()
        self._check_load()

    def cancel(self, call: Call) -> None:
        """Cancel a call for its sender, unless its own work is running; that continues."""
        call.cancelled = True
        if call in self.waiting:
            self.waiting.remove(call)
        elif call in self.calling:
            self._cancel_downstream(call)
            self.calling.remove(call)
            self.start_queued()
        self._check_load()

    def slowdown(self) -> float:
        """Return the seconds that a second of work takes now."""
        queue_factor = 1 + self._scenario.thrash * len(self.waiting)
        degraded_factor = self._scenario.overdrive_times if self.degraded else 1.0
        return self.slow * queue_factor * degraded_factor / (self.speed * self.capacity_share())

    def _add_cold_load(self, call: Call) -> None:
        """Record work that arrives during slow start; go down for good if it exceeds the budget."""
        if self.started_at == 0.0 or self._clock.now > self.started_at + self._scenario.cold_time:
            return
        self.cold_load.append((self._clock.now, call.work * self.tier.share, call.informed))
        self._on_cold_load(self, call)
        if self.fails_on_overload and not self.is_within_cold_budget():
            total = sum(work for _, work, _ in self.cold_load)
            informed_work = sum(work for _, work, informed in self.cold_load if informed)
            self._on_overloaded(self, informed_work / total)
            self.stop()

    def _expire_cold_load(self) -> None:
        while self.cold_load and self.cold_load[0][0] < self._clock.now - self._scenario.tip_span:
            self.cold_load.popleft()

    def start_queued(self) -> None:
        """Start queued calls while a worker and a slot are free."""
        while self.up and not self.hung and self.waiting and self._has_free_worker():
            call = self.waiting.popleft()
            self.running.append(call)
            self._on_executed(self, call)
            if self.errors and self._random.random() < self.errors:
                self._clock.after(
                    ERROR_WORK_S * self.slowdown(), partial(self._finish, call, AttemptResult.ERROR)
                )
                continue
            seconds = call.work * self.tier.share * self.slowdown()
            self._clock.after(seconds, partial(self._finish_own_work, call))

    def _has_free_worker(self) -> bool:
        slots = self.tier.slots or self.tier.workers
        return len(self.running) < self.tier.workers and len(self.running) + len(self.calling) < slots

    def _finish_own_work(self, call: Call) -> None:
        """End the server's own work on a call; begin its calls to the next tier."""
        if call not in self.running:
            return  # the server has stopped meanwhile
        if self.hung:
            self._clock.after(HUNG_CHECK_INTERVAL_S, lambda: self._finish_own_work(call))
            return
        count, fraction = divmod(self._downstream_calls, 1.0)
        remaining = int(count) + (self._random.random() < fraction)
        if not remaining or self._call_downstream is None:
            self._finish(call, AttemptResult.SUCCEEDED)
            return
        self.running.remove(call)
        self.calling.append(call)
        self._call_next_tier(call, remaining)
        self.start_queued()

    def _call_next_tier(self, call: Call, remaining: int) -> None:
        """Make the remaining calls to the next tier, one after another; the first failure ends the call."""
        if remaining <= 0 or self._call_downstream is None or call.cancelled:
            self._finish(call, AttemptResult.SUCCEEDED)
            return

        def on_downstream_result(succeeded: bool) -> None:
            call.downstream = None
            if call not in self.calling:
                return
            if succeeded:
                self._call_next_tier(call, remaining - 1)
            else:
                self._finish(call, AttemptResult.ERROR)

        time_left = call.deadline - self._clock.now
        if time_left <= 0:
            self._finish(call, AttemptResult.ERROR)
            return
        downstream = self._call_downstream(call, time_left, on_downstream_result)
        if call in self.calling:  # otherwise the result is already there
            call.downstream = downstream

    def _finish(self, call: Call, result: AttemptResult) -> None:
        calls = self.running if call in self.running else self.calling
        if call not in calls:
            return
        if self.hung:
            self._clock.after(HUNG_CHECK_INTERVAL_S, lambda: self._finish(call, result))
            return
        calls.remove(call)
        if self.losses and self._random.random() < self.losses:
            pass
        elif self.resets and self._random.random() < self.resets:
            call.on_result(AttemptResult.RESET)
        else:
            call.on_result(result)
        self.start_queued()
        self._check_load()

    def _cancel_downstream(self, call: Call) -> None:
        downstream, call.downstream = call.downstream, None
        if downstream is not None:
            downstream.cancel()

    # Degradation after overload.

    def _check_load(self) -> None:
        """Degrade the server after a long overload; recover it once it has been mostly idle."""
        scenario, now = self._scenario, self._clock.now
        if not scenario.overdrive_jobs:
            return
        if len(self.waiting) <= scenario.overdrive_jobs * self.tier.workers:
            self._overloaded_since = None
        elif self._overloaded_since is None:
            self._overloaded_since = now
            self._clock.after(scenario.overdrive_span, lambda: self._degrade(now))
        if len(self.running) + len(self.waiting) > MOSTLY_IDLE_SHARE * self.tier.workers:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
            self._clock.after(scenario.rest_span, lambda: self._recover(now))

    def _degrade(self, since: float) -> None:
        if self._overloaded_since == since:
            self.degraded = True

    def _recover(self, since: float) -> None:
        if self._idle_since == since:
            self.degraded = False

    # Probes.

    def probe_seconds(self) -> float | None:
        """Return the time (s) that a probe takes; None if it gets no response."""
        if not self.up or self.hung:
            return None
        load_factor = max(1.0, (len(self.running) + len(self.waiting)) / self.tier.workers)
        degraded_factor = self._scenario.overdrive_times if self.degraded else 1.0
        return PROBE_WORK_S * load_factor * degraded_factor * self.slow / (self.speed * self.capacity_share())

    def report(self) -> LoadReport:
        """Return the load report, renewed every `report_every` seconds and falsified by a fault."""
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


def build_tiers(
    scenario: Scenario,
    clock: Clock,
    random: Random,
    on_executed: Callable[[Server, Call], None],
    on_overloaded: Callable[[Server, float], None],
    call_downstream: Callable[[int, Call, float, Callable[[bool], None]], DownstreamCall],
    on_cold_load: Callable[[Server, Call], None] = lambda server, call: None,
) -> list[list[Server]]:
    """Return a scenario's servers by tier.

    The callbacks are those of `Server`; `call_downstream` also receives the number of the calling server.
    """
    tables = DeduplicationTables(scenario.profiles)
    tiers: list[list[Server]] = []
    number = 0
    for depth, tier in enumerate(scenario.effective_tiers):
        last = depth + 1 == len(scenario.effective_tiers)
        servers = []
        for index in range(tier.servers):
            server = Server(
                number,
                tier,
                index % scenario.zones,
                random.choice(tier.speeds),
                scenario,
                clock,
                random,
                on_executed=on_executed,
                on_overloaded=on_overloaded,
                on_cold_load=on_cold_load,
                call_downstream=None if last else partial(call_downstream, number),
                downstream_calls=0.0 if last else scenario.effective_tiers[depth + 1].calls,
                find_table=partial(tables.find, depth),
            )
            servers.append(server)
            number += 1
        tiers.append(servers)
    return tiers
