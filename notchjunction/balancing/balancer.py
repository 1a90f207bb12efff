"""The coordinator of a node's decisions: takes events, keeps the requests, and gives commands.

A host (see `BalancerHost` and `RequestBalancer` in interface.py) builds one `Balancer` from its settings and
calls it for each event. It answers through the host: `send_attempt`, `reject`, ...
Each event becomes a `RequestEvent`; TABLE says, by the request's state, what is done; `_step` reads it.
The design is error ownership on one hop and a probe pool: see docs/design.md.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from notchjunction.balancing.connection_reuse import ConnectionReuse
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerHost,
    BalancerSettings,
    EndpointEntry,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestClass,
)
from notchjunction.balancing.outlier_ejection import FAILURES, OutlierEjection, ejection_end
from notchjunction.balancing.recent_events import RecentEvents
from notchjunction.balancing.records import (
    Attempt,
    Endpoint,
    PendingRequest,
    RecentOutcome,
    RequestEvent,
    RequestState,
    TypicalLatencies,
    median,
)
from notchjunction.balancing.retry_policy import (
    NEVER_RAN,
    RetryBudget,
    is_endpoint_fault,
    is_rejection_safe,
    repeatable_until,
)
from notchjunction.balancing.slow_start import MAX_EVEN_SHARES, SlowStart, begin_credit, spend_credit
from notchjunction.balancing.tenant_quota import TenantQuotas
from notchjunction.balancing.throughput import ServedRate, ThroughputEstimate
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.discovery.watch_state import poll_backoff

ATTEMPTS_PER_PROBE = 5  # first attempts; twice the design's least, so that two fresh reports are common
PROBE_INTERVAL_S = 2.5  # without attempts; half the design's bound, to survive one lost response
TYPICAL_REFRESH_S = 0.1  # for which the fleet's typical latencies stand; short against any trouble
LOAD_REPORT_MAX_AGE_S = 10.0  # the weight of an old report is small long before
MAX_POOL_SIZE = 48  # newest load reports; bounds the work of a selection, however large the fleet
MAX_RANDOM_TRIES = 32  # for two endpoints that fit, before all are gone through
POOL_SHARE = 0.34  # of the fresh reports, the best, that make up the pool; random enough against herds
PROBE_NOISE_RATIO = 2.0  # times the typical latency a probe may take by chance, as on a new connection
SLOW_PROBE_RATIO = 4.0  # times the typical past which its endpoint is slow; past chance, unequal machines
MIN_SLOW_PROBE_SHARE = 0.05  # of a request's typical latency; a quicker probe shows nothing that harms one
SLOW_PROBE_SPAN_S = 3.0  # that a slow probe counts; about the time between two probes of an endpoint
CAPACITY_OBJECTIVE_SHARE = 0.5  # of the latency objective to serve what is in flight; the rest is slack
LOAD_OBJECTIVE_SHARE = 0.75  # of the latency objective after which an attempt is stuck: no load any more
QUEUE_INTERVAL_S = 0.05  # between looks at the queue without an outcome; short against any objective
MAX_QUEUE_SHARE = 0.25  # of the latency objective that a request may expect to wait in the queue
MAX_STABLE_MULTIPLE = 2.5  # times the best median latency to serve what is in flight; past it it queues there
MIN_CAPACITY_PER_ENDPOINT = 6.0  # requests of all nodes before anything is learned: a small machine's
MIN_STABLE_CAPACITY_PER_ENDPOINT = 9.0  # the same while latencies are stable; good endpoints hold more
MAX_MEDIAN_SHARE = (
    0.35  # of the latency objective for the median request; a few times that, and many are late
)
OVERDUE_RATIO = (
    8.0  # times the typical latency before a hedge; rarer than a large request on a sound endpoint
)
MAX_OVERDUE_SHARE = 0.5  # of the latency objective, for a sidecar; the rest is for the next endpoint
UNRESPONSIVE_RATIO = 4.0  # times the typical latency before an attempt is unanswered; requests differ in size
MAX_AVOIDED_SHARE = 0.5  # of the active endpoints; more is a trouble common to all
NEAR_ZONE_WEIGHT = (
    20.0  # times a far endpoint's score, for a crossing cost of 1, that a near one may be worse
)
NEAR_ZONE_SPARE_SHARE = 0.5  # of an even share of own requests that doesn't count against a near endpoint
DEADLINE_GUARD_TICKS = 2  # host ticks before the deadline at which the final response is given
AFFINITY_ENDPOINTS = 2  # that a key goes to first; more would share what one remembers, one may be hot
AFFINITY_MAX_RATIO = 2.5  # times the pool's choice that one may score; a met key takes far less work
MAX_GOSSIP_OUTCOMES = 12  # own ones in a datagram; each goes to about so many peers
GOSSIP_MAX_AGE_S = 10.0  # older outcomes are of another trouble
MIN_RETRY_AFTER_S = 0.25  # that a rejected client is asked to wait


class Transition(NamedTuple):
    """What an event does in a state, if the condition holds."""

    state: RequestState
    event: RequestEvent
    condition: Callable[[Balancer, PendingRequest], bool]
    next_state: RequestState
    action: Callable[[Balancer, PendingRequest], None]


class Balancer:
    """All decisions of one node; see `RequestBalancer` for what the methods are called for."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        self._host = host
        self._random = Random(settings.seed)
        self._endpoints: dict[int, Endpoint] = {}
        self._banned: dict[int, float] = {}
        self._active: list[Endpoint] = []
        # Of the active ones, those that a look at all of them would find: a large fleet has few such.
        self._warming_up: list[Endpoint] = []  # may still be warming up
        self._probed: deque[tuple[float, Endpoint]] = (
            deque()
        )  # probed within the span that such a wait counts
        self._unbanned: list[Endpoint] = []
        self._pool: deque[Endpoint] = deque(maxlen=MAX_POOL_SIZE)
        self._ejection = OutlierEjection()
        self._pending: dict[int, PendingRequest] = {}
        self._in_flight: dict[tuple[int, int], Attempt] = {}
        self._queue: list[PendingRequest] = []
        self._retry_budget = RetryBudget()
        self._recent_attempts: deque[Attempt] = deque()
        self._own_outcomes: deque[tuple[float, RecentOutcome]] = deque(maxlen=MAX_GOSSIP_OUTCOMES)
        self._peer_reports = RecentEvents()
        self._throughput, self._served_rate = ThroughputEstimate(host.now()), ServedRate(host.now())
        self._connections = ConnectionReuse(settings)
        self._latencies: dict[int, deque[float]] = {}
        self._times_left: dict[int, deque[tuple[float, bool]]] = {}
        self.settings_changed(settings, dict(enumerate(settings.request_classes)))
        self._attempts_since_probe = self._poll_failures = self._own_outcome_count = self._last_token = (
            self._warm_count
        ) = self._able_count = 0
        self._probes_preferred = self._queue_timer_set = False
        self._timers: dict[int, Callable[[], None]] = {}
        self._typical_until, self._typical = -math.inf, TypicalLatencies(1.0, 1.0, 0.001)
        self._avoided: list[Endpoint] = []
        if settings.polls_list:
            host.poll_list()
        self._start_timer(self._random.uniform(0, PROBE_INTERVAL_S), self._probe_on_timer)

    # What the host calls.

    def gossip_received(self, outcomes: Sequence[PeerOutcome]) -> None:
        """Outcomes that a peer reports: they make this node careful, and open or prove nothing."""
        now = self._host.now()
        self._peer_reports.record(now)
        for peer_outcome in outcomes:
            endpoint, at = self._endpoints.get(peer_outcome.endpoint), now - peer_outcome.age
            # Guards against judging an endpoint by what was before its start, or before an own outcome.
            if (
                endpoint is None
                or peer_outcome.age > GOSSIP_MAX_AGE_S
                or at <= max(endpoint.entry.started_at, endpoint.last_own_outcome_at)
            ):
                continue
            if peer_outcome.success:
                endpoint.last_response_at = max(endpoint.last_response_at, at)
                self._throughput.record_latency(peer_outcome.seconds, now)
            self._record_outcome(endpoint, peer_outcome.success, peer_outcome.seconds, now)

    def _send_gossip(self, endpoint: Endpoint, good: bool, seconds: float, now: float) -> None:
        self._own_outcomes.appendleft((now, RecentOutcome(endpoint, good, seconds)))
        self._own_outcome_count += 1
        if self._settings.gossips and self._settings.node_count > 1:
            peer = self._random.randrange(self._settings.node_count - 1)
            outcomes = [
                PeerOutcome(end.endpoint.entry.number, now - at, end.success, end.latency)
                for at, end in self._own_outcomes
            ]
            self._host.send_gossip(
                peer + (peer >= self._settings.node_index), self._own_outcome_count, outcomes
            )

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        """The settings for what comes from now on; what was learned of endpoints stays."""
        self._settings = settings
        self._request_classes = dict(request_classes)
        self._is_deepest_tier = settings.tier is not None and settings.tier == settings.tier_count - 1
        tiers_left = settings.tier_count - settings.tier if settings.tier is not None else 1
        self._capacity_share = CAPACITY_OBJECTIVE_SHARE * tiers_left / max(1, settings.tier_count)
        # The first tier alone: what a deeper one turns away has had work spent on it above.
        self._stable_multiple = math.inf if settings.tier else MAX_STABLE_MULTIPLE
        self._load_share = LOAD_OBJECTIVE_SHARE * tiers_left / max(1, settings.tier_count)
        # Quotas are the first tier's matter.
        self._tenant_quotas = TenantQuotas(() if settings.tier else settings.tenant_quotas)
        self._slow_start = SlowStart(settings)
        self._connections.apply_settings(settings)
        self._mean_priority_weight = (
            sum(request_class.priority_weight for request_class in request_classes.values())
            / max(1, len(request_classes))
            or 1.0
        )
        self._min_latency_objective = min(
            (request_class.latency_objective for request_class in request_classes.values()), default=1.0
        )
        # Guards against a latency objective that ends before several typical ones.
        self._max_patience = MAX_OVERDUE_SHARE * self._min_latency_objective if settings.sidecar else math.inf
        self._find_warming_up()
        self._near_zone_factor = 1.0 + NEAR_ZONE_WEIGHT * settings.cross_zone_cost
        self._deadline_guard = DEADLINE_GUARD_TICKS * settings.tick
        # What was learned of a request class goes with it; a request that is pending still knows its own.
        self._latencies = {index: self._latencies.get(index, deque(maxlen=16)) for index in request_classes}
        self._times_left = {index: self._times_left.get(index, deque(maxlen=32)) for index in request_classes}

    def request_arrived(self, request: NewRequest) -> None:
        """Handle a new request."""
        now = self._host.now()
        request_class = self._request_classes.get(request.request_class, UNKNOWN_CLASS)
        age = self._client_age(request, request_class, now)
        contract_end = now - age + min(request_class.latency_objective, request_class.deadline)
        over_quota, key = (
            self._is_over_quota(request.tenant, now),
            request.affinity_key if self._settings.key_affinity else "",
        )
        most, end = self._settings.max_attempts, now + request.time_left
        pending = PendingRequest(
            request.id,
            request.request_class,
            request_class,
            most,
            now,
            contract_end,
            end,
            over_quota,
            request.complete,
            key,
        )
        self._pending[request.id] = pending
        if request.complete:
            self._start_deadline_timer(pending, now)
        self._step(pending, RequestEvent.ARRIVED)

    def _start_deadline_timer(self, pending: PendingRequest, now: float) -> None:
        # Guards against a request left unanswered when nothing else happens before its deadline.
        left = pending.deadline_at - now
        self._start_timer(
            max(left - self._deadline_guard, left / 2),
            lambda: self._handle_event(pending.id, RequestEvent.DEADLINE_NEAR),
        )

    def body_completed(self, request: int, time_left: float = math.inf) -> None:
        """A large request's last byte has come: time and load count from now, and it is not retried."""
        pending, now = self._pending.get(request), self._host.now()
        if pending is not None and not pending.complete:
            pending.objective_at += now - pending.arrived_at
            pending.deadline_at = min(pending.deadline_at + now - pending.arrived_at, now + time_left)
            pending.complete, pending.max_attempts = True, 0
            for attempt in pending.attempts:
                if attempt.in_flight:
                    self._add_in_flight(attempt, now)
            self._start_deadline_timer(pending, now)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Handle the end of an attempt."""
        attempt = self._in_flight.pop((outcome.request, outcome.attempt), None)
        if attempt is None:
            return
        now = self._host.now()
        attempt.in_flight = False
        attempt.may_have_run = outcome.result not in NEVER_RAN
        self._remove_in_flight(attempt)
        if outcome.result not in SILENT_RESULTS:
            attempt.endpoint.last_response_at = now
        self._connections.record_result(attempt, outcome.result, now)
        if outcome.load is not None:
            self._record_load_report(attempt.endpoint, outcome.load, now)
        ours = attempt.cancelled_for_retry or now - attempt.sent_at >= attempt.latency_objective
        if self._settings.sidecar and outcome.result is AttemptResult.CANCELLED and ours:
            # Guards against judging by quick requests alone: what is cancelled for its time has timed out.
            outcome = replace(outcome, result=AttemptResult.TIMED_OUT, seconds=now - attempt.sent_at)
        self._assess_outcome(attempt.endpoint, outcome, now)
        pending = self._pending.get(outcome.request)
        if outcome.result is AttemptResult.SUCCEEDED and not attempt.response_started:
            self._record_response(pending, attempt, outcome.seconds, now)
        if pending is not None:
            pending.max_attempts = 0 if outcome.unrepeatable else pending.max_attempts
            if outcome.final:
                self._step(pending, RequestEvent.COMPLETED)
            else:
                fault = (
                    is_endpoint_fault(outcome.result, self._is_deepest_tier) or attempt.cancelled_for_retry
                )
                self._step(pending, RequestEvent.ENDPOINT_FAULT if fault else RequestEvent.OTHER_FAILURE)
        self._serve_queue()

    def _record_response(
        self, pending: PendingRequest | None, attempt: Attempt, seconds: float, now: float
    ) -> None:
        """An endpoint has served a request: capacity and typical latencies are worked out from this."""
        self._throughput.record_success(attempt.latency_objective, seconds, now)
        # Guards against budgets learned from what dead or overloaded endpoints reject, as clients come again.
        self._served_rate.record_success(self._warm_count, max(1, len(self._active)))
        if pending is not None and pending.class_number in self._latencies:
            self._latencies[pending.class_number].append(seconds)

    def response_started(self, request: int, attempt: int) -> None:
        """Handle the start of a large response, which is the final one."""
        pending, flight, now = (
            self._pending.get(request),
            self._in_flight.get((request, attempt)),
            self._host.now(),
        )
        if flight is not None and not flight.response_started:
            # Its endpoint has done the request: what remains is the way, as slow as the client reads.
            flight.response_started, flight.endpoint.last_response_at = True, now
            self._remove_in_flight(flight)
            self._record_response(pending, flight, now - flight.sent_at, now)
        if pending is not None:
            self._cancel_attempts(pending, attempt)  # the answer that has begun is the final one
        self._handle_event(request, RequestEvent.RESPONSE_STARTED)

    def request_cancelled(self, request: int) -> None:
        """Handle that the client cancelled the request."""
        self._handle_event(request, RequestEvent.CLIENT_CANCELLED)

    def probe_ended(self, endpoint: int, result: AttemptResult, load: LoadReport | None) -> None:
        """Handle the end of a probe."""
        now, known = self._host.now(), self._endpoints.get(endpoint)
        if known is None:
            return
        waited = now - known.probe_sent_at if known.probe_sent_at is not None else -math.inf
        known.probe_sent_at = None
        # Guards against taking a probe that failed at once for a quick one.
        if waited > known.probe_latency or (waited >= 0 and result is AttemptResult.SUCCEEDED):
            known.probe_latency, known.probe_ended_at = waited, now
            self._probed.append((now, known))
        if result is AttemptResult.SUCCEEDED:
            self._record_load_report(known, load or LoadReport(), now)
        else:
            known.load_reported_at = -math.inf

    def timer_fired(self, token: int) -> None:
        """Run what a timer was set for."""
        self._timers.pop(token, lambda: None)()

    def list_updated(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        """Handle an update of the endpoint list, or a failed poll."""
        if update is ListUpdate.FAILED:
            self._poll_failures += 1
            # Guards against all nodes asking a troubled list service again at the same moment.
            most = self._settings.poll_interval / 4 or math.inf
            self._start_timer(poll_backoff(self._poll_failures, self._random, most), self._host.poll_list)
            return
        self._poll_failures = 0
        if update is not ListUpdate.CHANGES:
            named = {entry.number for entry in entries}
            self._endpoints = {index: known for index, known in self._endpoints.items() if index in named}
        for entry in entries:
            self._apply_entry(entry)
        self._banned = {
            endpoint: since for endpoint, since in self._banned.items() if endpoint in self._endpoints
        }
        self._refresh_endpoints()

    def ban_changed(self, endpoint: int, out: bool) -> None:
        """An operator takes an endpoint out of use or gives it back; the list has no say in that."""
        now, known = self._host.now(), self._endpoints.get(endpoint)
        if out:
            self._banned.setdefault(endpoint, now)
        elif (since := self._banned.pop(endpoint, None)) is not None and known is not None:
            # Guards against judging it by what it was before: it was very likely restarted meanwhile.
            start = known.entry.started_at if known.entry.started_at > since else now
            known = self._add_endpoint(replace(known.entry, started_at=start))
            known.banned_since, known.awaits_first_attempt = since, True
            if self._settings.probes:
                self._send_probe(known)
        self._refresh_endpoints()

    def export_state(self) -> dict[str, Any]:
        """What was learned so far, for a process that follows this one; by numbers."""
        now = self._host.now()
        endpoints = {index: endpoint.export_state(now) for index, endpoint in self._endpoints.items()}
        spent = {index: list(times) for index, times in self._latencies.items()}
        return {"clearing": self._throughput.export_state(now), "servers": endpoints, "spent": spent}

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Go on from what an earlier process learned."""
        now = self._host.now()
        self._throughput.restore_state(learned_state["clearing"], now)
        for index, known in learned_state["servers"].items():
            self._endpoints[index].restore_state(known, now)
            self._ejection.restore(self._endpoints[index])
            self._probed.append((now, self._endpoints[index]))
        for index, times in learned_state["spent"].items():
            self._latencies[index].extend(float(seconds) for seconds in times)

    def _refresh_endpoints(self) -> None:
        self._typical_until = -math.inf  # its counts are of the endpoints before this update
        # Kept between updates: a look through a large fleet for each request costs more than all else.
        self._active = [endpoint for endpoint in self._endpoints.values() if self._is_available(endpoint)]
        self._unbanned = [endpoint for endpoint in self._active if endpoint.awaits_first_attempt]
        self._find_warming_up()
        self._connections.keep_known(self._is_known)
        known = (
            endpoint for endpoint in self._pool if self._endpoints.get(endpoint.entry.number) is endpoint
        )
        self._pool = deque(known, maxlen=MAX_POOL_SIZE)
        self._serve_queue()

    def _find_warming_up(self) -> None:
        now = self._host.now()
        self._warming_up = [
            endpoint for endpoint in self._active if self._slow_start.is_warming_up(endpoint, now)
        ]

    # The loop and what it reads.

    def _step(self, pending: PendingRequest, event: RequestEvent) -> None:
        for row in ROWS.get((pending.state, event), ()):
            if row.condition(self, pending):
                pending.state = row.next_state
                row.action(self, pending)
                return

    def _serve_queue(self) -> None:
        """Gives waiting requests their turn, the most pressing first, while capacity lasts."""
        while self._queue:
            head = self._queue[0]
            self._step(head, RequestEvent.CAPACITY_AVAILABLE)
            if head.state is RequestState.QUEUED:
                return

    def _serve_queue_on_timer(self) -> None:
        self._queue_timer_set = False
        self._serve_queue()
        self._start_queue_timer()

    def _start_queue_timer(self) -> None:
        # Guards against requests that wait for a warming or ejected endpoint while no outcome wakes them.
        if self._queue and not self._queue_timer_set:
            self._queue_timer_set = True
            self._start_timer(QUEUE_INTERVAL_S, self._serve_queue_on_timer)

    def _handle_event(self, request: int, event: RequestEvent) -> None:
        if (pending := self._pending.get(request)) is not None:
            self._step(pending, event)
            self._serve_queue()

    # Judgements: what the table asks.

    def _always(self, pending: PendingRequest) -> bool:
        return True

    def _is_hopeless(self, pending: PendingRequest) -> bool:
        """No endpoint could answer it in time for any revenue; late answers count only while none waits."""
        now, quick = self._host.now(), self._fast_latency(pending.class_number)
        late = pending.objective_at - now < quick and (
            not pending.request_class.late_weight or self._is_capacity_scarce(now)
        )
        return late or pending.deadline_at - now - self._deadline_guard < quick

    def _is_shed(self, pending: PendingRequest) -> bool:
        """By chance, as many as endpoints would do too late, those of little revenue first."""
        # Guards where nodes sit beside clients: what a thin one has out says nothing of what endpoints hold.
        part = MAX_MEDIAN_SHARE * pending.request_class.latency_objective / self._typical_latencies().median
        revenue = pending.request_class.priority_weight * (
            self._settings.over_quota_weight if pending.over_quota else 1.0
        )
        chance = part * part * math.sqrt(revenue / self._mean_priority_weight)
        return self._settings.sidecar and self._random.random() > chance

    def _is_capacity_scarce(self, now: float) -> bool:
        return bool(self._queue) or self._load(now) >= self._capacity()

    def _finds_endpoint(self, pending: PendingRequest) -> bool:
        overtakes = not self._queue or self._queue[0].rank() >= pending.rank()
        room = self._capacity()  # finds anew who is passed over: what is out there does not press
        if self._load(self._host.now()) >= room or not overtakes:
            return False
        pending.chosen_endpoint = self._select_endpoint(pending)
        return pending.chosen_endpoint is not None

    def _may_queue(self, pending: PendingRequest) -> bool:
        now = self._host.now()
        ahead = sum(1 for other in self._queue if other.rank() < pending.rank())
        wait = (ahead + 1) / max(self._throughput.rate(now), 1.0)
        if self._settings.sidecar:
            wait = min(
                wait, (ahead + 1) * self._typical_latencies().per_endpoint / max(1, len(self._in_flight))
            )
        slack = pending.objective_at - now - self._fast_latency(pending.class_number)
        return wait <= min(slack, MAX_QUEUE_SHARE * pending.request_class.latency_objective)

    def _has_attempt_in_flight(self, pending: PendingRequest) -> bool:
        return any(attempt.in_flight for attempt in pending.attempts)

    def _may_retry(self, pending: PendingRequest) -> bool:
        most = min(
            pending.max_attempts, self._settings.max_attempts
        )  # the stricter, if the settings have changed
        if (
            not self._retry_budget.allows_retry(self._host.now())
            or len(pending.attempts) >= most
            or self._is_hopeless(pending)
        ):
            return False
        pending.chosen_endpoint = self._select_endpoint(pending)
        return pending.chosen_endpoint is not None

    def _is_stalled(self, pending: PendingRequest) -> bool:
        """Its endpoint answers nothing while most others do: its own fault, seen before the time-out."""
        # Guards against requests lost in endpoints that accept all and answer none, at any tier.
        last = pending.attempts[-1]
        waits = pending.complete and last.in_flight and not last.cancelled_for_retry
        return waits and last.endpoint in self._unresponsive(self._host.now()) and self._may_retry(pending)

    def _is_hedge_due(self, pending: PendingRequest) -> bool:
        return self._settings.hedging and self._is_stalled(pending)

    def _is_cancellation_due(self, pending: PendingRequest) -> bool:
        # Guards against sound endpoints without recent responses: the newest outcome there must be a failure.
        doubted = not all(list(pending.attempts[-1].endpoint.recent_successes)[-1:])
        return not self._settings.hedging and doubted and self._is_stalled(pending)

    # Effects: what the table does.

    def _do_nothing(self, pending: PendingRequest) -> None:
        pass

    def _enqueue(self, pending: PendingRequest) -> None:
        insort(self._queue, pending, key=PendingRequest.rank)
        self._start_queue_timer()

    def _send_first_attempt(self, pending: PendingRequest) -> None:
        if pending in self._queue:
            self._queue.remove(pending)
        self._retry_budget.first_attempts.record(self._host.now())
        self._send(pending)
        self._attempts_since_probe += 1
        if self._settings.probes and self._attempts_since_probe >= ATTEMPTS_PER_PROBE:
            self._send_next_probe()

    def _send_retry(self, pending: PendingRequest) -> None:
        self._retry_budget.record_retry(self._host.now())
        self._send(pending)

    def _send(self, pending: PendingRequest) -> None:
        now, endpoint, pending.chosen_endpoint = self._host.now(), pending.chosen_endpoint, None
        assert endpoint is not None
        endpoint.awaits_first_attempt = False
        connected = self._connections.use_connection(endpoint, now)
        attempt = Attempt(endpoint, now, pending.request_class.latency_objective, connected)
        self._in_flight[pending.id, len(pending.attempts)] = attempt
        pending.attempts.append(attempt)
        if pending.complete:
            self._add_in_flight(attempt, now)
        if self._slow_start.is_warming_up(endpoint, now):
            spend_credit(endpoint, now, self._random)
        end = (
            pending.deadline_at
            if pending.request_class.late_weight
            else min(pending.deadline_at, pending.objective_at)
        )
        self._host.send_attempt(pending.id, endpoint.entry.number, max(end - now, 0.001))
        if self._settings.hedging or (self._settings.sidecar and self._settings.cancellation):
            delay = min(OVERDUE_RATIO * self._typical_latencies().per_endpoint, self._max_patience)
            self._start_timer(delay, lambda: self._step(pending, RequestEvent.OVERDUE))

    def _cancel_stalled_attempt(self, pending: PendingRequest) -> None:
        """Cancels a stalled attempt; the request is retried elsewhere once that outcome is there."""
        pending.attempts[-1].cancelled_for_retry = True
        self._host.cancel_attempt(pending.id, len(pending.attempts) - 1)

    def _add_in_flight(self, attempt: Attempt, now: float) -> None:
        attempt.sent_at = now
        self._recent_attempts.append(attempt)
        attempt.endpoint.in_flight.append(attempt)
        self._connections.record_attempt(attempt.endpoint)

    def _remove_in_flight(self, attempt: Attempt) -> None:
        if attempt in attempt.endpoint.in_flight:
            attempt.endpoint.in_flight.remove(attempt)

    def _give_up(self, pending: PendingRequest) -> None:
        """The final answer: a rejection where trying again is surely harmless, else a failure."""
        self._finish(pending)
        if self._is_rejection_safe(pending):
            self._host.reject(pending.id, self._retry_after())
        else:
            self._host.fail(pending.id)

    def _finish(self, pending: PendingRequest) -> None:
        del self._pending[pending.id]
        if pending in self._queue:
            self._queue.remove(pending)
        self._cancel_attempts(pending)

    def _cancel_attempts(self, pending: PendingRequest, but: int = -1) -> None:
        # Guards against endpoints working on for nobody.
        out = (
            number for number, attempt in enumerate(pending.attempts) if attempt.in_flight and number != but
        )
        for number in out if self._settings.cancellation else ():
            self._host.cancel_attempt(pending.id, number)

    # Which endpoint.

    def _select_endpoint(self, pending: PendingRequest) -> Endpoint | None:
        now = self._host.now()
        most = max(2.0, MAX_EVEN_SHARES * self._capacity() / max(1, len(self._active)))

        def fits(endpoint: Endpoint) -> bool:
            return (
                self._accepts_requests(endpoint, now)
                and len(endpoint.in_flight) < most
                and self._is_available(endpoint)
                and not (
                    self._slow_start.is_warming_up(endpoint, now)
                    and self._slow_start_credit(endpoint, now) < endpoint.slow_start_credit_needed
                )
                and not any(attempt.endpoint is endpoint for attempt in pending.attempts)
                and (not pending.attempts or self._is_repeat_safe(pending, endpoint, now))
            )

        def is_near(endpoint: Endpoint) -> bool:
            return endpoint.entry.zone == self._settings.zone

        # Guards against an endpoint given back that is never met: nothing is known of it.
        owed = next(
            (endpoint for endpoint in self._unbanned if endpoint.awaits_first_attempt and fits(endpoint)),
            None,
        )
        if owed is not None:
            return owed
        known = [endpoint for endpoint in self._connections.preferred(now, self._is_in_use) if fits(endpoint)]
        pool = known or [endpoint for endpoint in self._pool if fits(endpoint)]
        ready = known or self._active
        choice = self._select_from_pool(pool, ready, fits, now)
        if choice is not None and pending.affinity_key:
            most = AFFINITY_MAX_RATIO * self._score(choice, now)
            likely = (
                endpoint for endpoint in self._affinity_endpoints(pending.affinity_key) if fits(endpoint)
            )
            met = min(likely, key=lambda endpoint: self._score(endpoint, now), default=choice)
            choice = met if self._score(met, now) <= most else choice
        elif choice is not None and self._near_zone_factor > 1.0 and choice.entry.zone != self._settings.zone:
            # Acts only where crossing zones is priced: a near endpoint wins unless clearly worse.
            pool = [endpoint for endpoint in pool if is_near(endpoint)]
            near = self._select_from_pool(
                pool, ready, lambda endpoint: is_near(endpoint) and fits(endpoint), now
            )
            spare = math.floor(NEAR_ZONE_SPARE_SHARE * len(self._in_flight) / len(self._active))
            most = self._near_zone_factor * self._score(choice, now)
            if near is not None and self._score(near, now, spare) <= most:
                return near
        return choice

    def _affinity_endpoints(self, key: str) -> list[Endpoint]:
        """The endpoints that all nodes send a key's requests to first: a rank by hash, weighted by size."""

        def rank(endpoint: Endpoint) -> float:
            digest = blake2b(f"{endpoint.entry.name_hash} {key}".encode(), digest_size=6).digest()
            return -math.log((1 + int.from_bytes(digest)) / 2**48) / max(endpoint.entry.size, 0.01)

        return sorted(self._active, key=rank)[:AFFINITY_ENDPOINTS]

    def _select_from_pool(
        self, pool: list[Endpoint], ready: Sequence[Endpoint], fits: Callable[[Endpoint], bool], now: float
    ) -> Endpoint | None:
        """The better of two random entries of the pool; with less than two, of two active by own load."""
        fresh = [endpoint for endpoint in pool if now - endpoint.load_reported_at <= LOAD_REPORT_MAX_AGE_S]
        if len(fresh) >= 2:
            scored = sorted(
                (self._score(endpoint, now), self._random.random(), endpoint) for endpoint in fresh
            )
            best = scored[: max(2, math.ceil(len(scored) * POOL_SHARE))]
            return min(self._random.sample(best, 2))[2]
        two = self._sample_two(ready, fits)
        return min(two, key=lambda endpoint: len(endpoint.in_flight), default=None)

    def _sample_two(self, ready: Sequence[Endpoint], fits: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """Two random endpoints that fit, or as many as there are."""
        found: dict[Endpoint, None] = {}
        # Guards against a look through a large fleet for each request: mostly a few tries are enough.
        for _ in range(MAX_RANDOM_TRIES if len(ready) > MAX_RANDOM_TRIES else 0):
            endpoint = self._random.choice(ready)
            if fits(endpoint):
                found[endpoint] = None
            if len(found) == 2:
                return list(found)
        fitting = [endpoint for endpoint in ready if fits(endpoint)]
        return self._random.sample(fitting, min(2, len(fitting)))

    def _is_known(self, endpoint: Endpoint) -> bool:
        """Whether it is in the list, and not the record of an endpoint that left or restarted."""
        return self._endpoints.get(endpoint.entry.number) is endpoint

    def _is_in_use(self, endpoint: Endpoint) -> bool:
        """Whether it is one of the active ones."""
        return self._is_known(endpoint) and self._is_available(endpoint)

    def _score(self, endpoint: Endpoint, now: float, spare: float = 0.0) -> float:
        """The answer's load, less as it ages, plus own sends still out, less those spared, by its pace."""
        answer = endpoint.load_report or LoadReport()
        usual = self._typical_latencies()
        reported = answer.in_flight if answer.in_flight is not None else answer.queued or 0.0
        weight = usual.per_endpoint / (usual.per_endpoint + now - endpoint.load_reported_at)
        pending = max(0.0, weight * reported + len(endpoint.in_flight) - spare)
        late = max(0.0, endpoint.probe_latency / usual.probe / PROBE_NOISE_RATIO - 1.0)
        late *= usual.per_endpoint / (usual.per_endpoint + now - endpoint.probe_ended_at)
        # Guards against herds: among idle endpoints a noisy pace would decide alone, so it counts half.
        return (
            (pending + 1.0)
            * (1.0 + median(endpoint.recent_latencies, usual.per_endpoint) / usual.per_endpoint)
            / 2
            * (1.0 + late)
        )

    def _unresponsive(self, now: float) -> list[Endpoint]:
        """Endpoints from which nothing was heard since an overdue attempt; none if that is most of them."""
        due = now - min(UNRESPONSIVE_RATIO * self._typical_latencies().per_endpoint, self._max_patience)
        flying = dict.fromkeys(attempt.endpoint for attempt in self._in_flight.values())
        holding = [
            endpoint
            for endpoint in flying
            if endpoint.in_flight and endpoint.in_flight[0].sent_at < due and self._is_in_use(endpoint)
        ]
        silent = [
            endpoint for endpoint in holding if endpoint.last_response_at < endpoint.in_flight[0].sent_at
        ]
        return silent if len(silent) <= MAX_AVOIDED_SHARE * len(self._active) else []

    def _find_avoided(self, now: float) -> list[Endpoint]:
        """Endpoints that are silent or slow; none if that is most of them."""
        # Guards against requests at overloaded endpoints: a probe shows it seconds before a request does.
        usual = self._typical
        least, silent = (
            max(SLOW_PROBE_RATIO * usual.probe, MIN_SLOW_PROBE_SHARE * usual.per_endpoint),
            self._unresponsive(now),
        )
        self._prune(self._probed, now - SLOW_PROBE_SPAN_S)
        waited = dict.fromkeys(endpoint for _, endpoint in self._probed)
        slow = [
            endpoint
            for endpoint in waited
            if endpoint.probe_latency > least and now - endpoint.probe_ended_at < SLOW_PROBE_SPAN_S
        ]
        found = silent + [
            endpoint for endpoint in slow if endpoint not in silent and self._is_in_use(endpoint)
        ]
        return found if len(found) <= MAX_AVOIDED_SHARE * len(self._active) else []

    def _accepts_requests(self, endpoint: Endpoint, now: float) -> bool:
        return endpoint.ejected_until <= now and endpoint not in self._avoided

    def _typical_latencies(self) -> TypicalLatencies:
        now = self._host.now()
        if now >= self._typical_until:
            self._typical_until = now + TYPICAL_REFRESH_S
            self._served_rate.advance(now, self._warm_count)
            # One time an endpoint: quick endpoints answer more requests and would pass for typical.
            latest = {
                end.endpoint.entry.number: end.latency for end in self._ejection.outcomes if end.latency
            }
            waits = (endpoint.probe_latency for endpoint in self._pool if endpoint.probe_latency)
            seconds = (end.latency for end in self._ejection.outcomes if end.latency)
            # Guards against a start that passes for crowded: without any latencies, nothing is.
            figures = (median(latest.values(), 1.0), median(waits, 1.0), median(seconds, 0.0))
            self._typical = TypicalLatencies(*(max(figure, 0.001) for figure in figures))
            self._avoided = self._find_avoided(now)
            # Kept with them: a look through a large fleet for each request costs more than all else.
            self._warming_up = [
                endpoint for endpoint in self._warming_up if self._slow_start.is_warming_up(endpoint, now)
            ]
            self._warm_count = len(self._active) - len(self._warming_up)
            kept_out = dict.fromkeys([*self._ejection.ejected(now, self._is_in_use), *self._avoided])
            self._able_count = self._warm_count - sum(
                1 for endpoint in kept_out if not self._slow_start.is_warming_up(endpoint, now)
            )
        return self._typical

    # The four rules.

    def _is_repeat_safe(self, pending: PendingRequest, endpoint: Endpoint, now: float) -> bool:
        """Whether a further attempt there cannot make an effect happen twice."""
        # Guards against a repeat that is decided on in time, and comes up when its endpoint has forgotten.
        until = repeatable_until(pending.request_class, pending.attempts, endpoint, self._deadline_guard)
        return now < until - self._settings.connect_timeout

    def repeatable_until(self, request: int, attempt: int) -> float:
        """Return until when (s) an attempt that was sent cannot make an effect happen twice."""
        pending = self._pending.get(request)
        if pending is None:
            return -math.inf
        earlier, endpoint = pending.attempts[:attempt], pending.attempts[attempt].endpoint
        return repeatable_until(pending.request_class, earlier, endpoint, self._deadline_guard)

    def _is_rejection_safe(self, pending: PendingRequest) -> bool:
        return is_rejection_safe(pending.request_class, pending.attempts)

    def _slow_start_credit(self, endpoint: Endpoint, now: float) -> float:
        self._typical_latencies()  # counts the warm endpoints anew
        return self._slow_start.credit(
            endpoint, now, self._served_rate.rate(), len(self._active), self._warm_count
        )

    # Capacity, health and the rest.

    def _capacity(self) -> float:
        """Requests in flight at most: what the throughput serves within a part of the objective."""
        learned = self._throughput.capacity(self._capacity_share, self._stable_multiple, self._host.now())
        self._typical_latencies()  # counts the able endpoints anew
        # Guards small machines, which the higher floor overdrives: it holds while answers are calm.
        floor = (
            MIN_STABLE_CAPACITY_PER_ENDPOINT if self._throughput.is_stable() else MIN_CAPACITY_PER_ENDPOINT
        )
        if self._settings.sidecar:
            floor *= min(
                1.0, MAX_MEDIAN_SHARE * self._min_latency_objective / self._typical_latencies().median
            )
        return max(2.0, floor * self._able_count / self._traffic_divisor(), learned)

    def _traffic_divisor(self) -> float:
        """How many times this node's traffic all nodes have; by their number where no peer reports."""
        if not self._settings.gossips:
            return self._settings.node_count
        # Each outcome of a node is one note to one peer: so many come as a node has outcomes in the mean.
        now = self._host.now()
        first_attempts = self._retry_budget.first_attempts.count(now)
        return self._settings.node_count * (self._peer_reports.count(now) + 1) / (first_attempts + 1)

    def _load(self, now: float) -> int:
        """Requests in flight, still young, and where more may go."""
        # Guards against requests stalled, or stuck in ejected endpoints, using up the capacity of the others.
        while self._recent_attempts:
            first = self._recent_attempts[0]
            if (
                first.in_flight
                and not first.response_started
                and now - first.sent_at <= self._load_share * first.latency_objective
            ):
                break
            self._recent_attempts.popleft()
        pressing = (
            attempt.endpoint
            for attempt in self._recent_attempts
            if attempt.in_flight and not attempt.response_started
        )
        return sum(1 for endpoint in pressing if self._accepts_requests(endpoint, now))

    def _assess_outcome(self, endpoint: Endpoint, outcome: AttemptOutcome, now: float) -> None:
        """Ejects an endpoint when its last few outcomes trail the others'."""
        good = outcome.result is AttemptResult.SUCCEEDED
        if outcome.result is AttemptResult.REJECTED:
            # Guards against a second rejection there: a full endpoint has capacity after a typical latency.
            self._ejection.eject(
                endpoint, max(endpoint.ejected_until, now + self._typical_latencies().per_endpoint)
            )
        if not good and outcome.result not in FAILURES:
            return
        seconds = outcome.seconds if good or outcome.result is AttemptResult.TIMED_OUT else 0.0
        endpoint.last_own_outcome_at = now
        self._send_gossip(endpoint, good, seconds, now)
        self._record_outcome(endpoint, good, seconds, now)

    def _record_outcome(self, endpoint: Endpoint, good: bool, seconds: float, now: float) -> None:
        self._ejection.record_outcome(endpoint, good, seconds)
        # Guards against ejecting what has left the list, or was restarted: nobody knows it any more.
        if good or not self._is_known(endpoint):
            return
        ejected = len(self._ejection.ejected(now, self._is_in_use))
        if self._ejection.is_outlier(endpoint, ejected, len(self._active)):
            self._ejection.eject(endpoint, ejection_end(now, self._random))
            self._host.report_ejection(endpoint.entry.number, endpoint.ejected_until - now)

    def _record_load_report(self, endpoint: Endpoint, load: LoadReport, now: float) -> None:
        endpoint.load_report, endpoint.load_reported_at = load, now
        if endpoint in self._pool:
            self._pool.remove(endpoint)
        # Guards against sends to an endpoint the list has dropped: a late outcome may still bring its report.
        if self._endpoints.get(endpoint.entry.number) is endpoint:
            self._pool.append(endpoint)

    def _probe_on_timer(self) -> None:
        if self._settings.probes:
            self._send_next_probe()
        self._start_timer(PROBE_INTERVAL_S, self._probe_on_timer)

    def _send_next_probe(self) -> None:
        self._attempts_since_probe = 0
        if self._active:
            self._probes_preferred = not self._probes_preferred
            # Every other probe goes to an endpoint that is likely to be chosen; the others to any.
            connections = self._connections
            preferred = (
                connections.preferred(self._host.now(), self._is_in_use) if self._probes_preferred else []
            )
            self._send_probe(self._random.choice(preferred or self._active))

    def _send_probe(self, endpoint: Endpoint) -> None:
        endpoint.probe_sent_at = self._host.now()
        self._host.send_probe(endpoint.entry.number)

    def _apply_entry(self, entry: EndpointEntry) -> None:
        known = self._endpoints.get(entry.number)
        if entry.state is EndpointState.REMOVED:
            # Guards against growing with each endpoint that ever was; attempts there still know its group.
            self._endpoints.pop(entry.number, None)
        elif known is None or entry.started_at > known.entry.started_at:
            # Guards against judging a restarted endpoint by what it was before.
            self._add_endpoint(entry)
        else:
            # Guards against word from before it was given back: that it is warm.
            start = entry.started_at if entry.started_at > known.banned_since else known.entry.started_at
            known.entry = replace(entry, started_at=start)

    def _add_endpoint(self, entry: EndpointEntry) -> Endpoint:
        now = self._host.now()
        known = self._endpoints[entry.number] = Endpoint(entry)
        if self._slow_start.is_warming_up(known, now):
            begin_credit(known, now, self._random)
        return known

    def _is_available(self, endpoint: Endpoint) -> bool:
        """Whether anything new may go there: the list has it active, and no operator has it out."""
        return endpoint.entry.state is EndpointState.ACTIVE and endpoint.entry.number not in self._banned

    def _is_over_quota(self, tenant: int, now: float) -> bool:
        quotas = self._tenant_quotas
        if not quotas.has_quota(tenant):
            return False
        return not quotas.take(tenant, self._traffic_divisor(), self._settings.process_count, now)

    def _client_age(self, request: NewRequest, request_class: RequestClass, now: float) -> float:
        """How long the client has waited, read off the time left against the longest seen lately."""
        lefts = self._times_left.get(request.request_class)
        if lefts is None:
            return 0.0
        lefts.append((request.time_left, request.is_client_retry))
        # Guards against first tries passing for old beside a last retry; they yield while capacity is scarce.
        scarce = any(repeat for _, repeat in lefts) and self._is_capacity_scarce(now)
        usual = max((left for left, repeat in lefts if scarce or not repeat), default=request.time_left)
        if request.is_client_retry:
            own = abs(request.time_left - usual) > 0.02 * usual
            return max(0.0, request_class.deadline - request.time_left) if own else 0.0
        return usual - request.time_left

    def _fast_latency(self, request_class: int) -> float:
        spent = self._latencies.get(request_class)
        return sorted(spent)[len(spent) // 4] if spent else 0.0

    def _retry_after(self) -> float:
        wait = MIN_RETRY_AFTER_S + len(self._queue) / max(self._throughput.rate(self._host.now()), 1.0)
        return min(wait * self._random.uniform(1.0, 2.0), self._settings.retry_after_max)

    def _start_timer(self, delay: float, due: Callable[[], None]) -> None:
        self._last_token += 1
        self._timers[self._last_token] = due
        self._host.set_timer(delay, self._last_token)

    def _prune(self, kept: deque[Any], since: float) -> None:
        """Drops what was noted before; each entry begins with its moment."""
        while kept and kept[0][0] < since:
            kept.popleft()


UNKNOWN_CLASS = RequestClass(latency_objective=1.0, deadline=math.inf)  # taken as non-idempotent
SILENT_RESULTS = (AttemptResult.CANCELLED, AttemptResult.TIMED_OUT, AttemptResult.NOT_SENT)
B, S, E = Balancer, RequestState, RequestEvent
TABLE = (
    # state, input, judgement, next state, effect; the first row whose judgement holds is taken
    Transition(S.NEW, E.ARRIVED, B._is_hopeless, S.ENDED, B._give_up),
    Transition(S.NEW, E.ARRIVED, B._is_shed, S.ENDED, B._give_up),
    Transition(S.NEW, E.ARRIVED, B._finds_endpoint, S.IN_FLIGHT, B._send_first_attempt),
    Transition(S.NEW, E.ARRIVED, B._may_queue, S.QUEUED, B._enqueue),
    Transition(S.NEW, E.ARRIVED, B._always, S.ENDED, B._give_up),
    Transition(S.QUEUED, E.CAPACITY_AVAILABLE, B._is_hopeless, S.ENDED, B._give_up),
    Transition(S.QUEUED, E.CAPACITY_AVAILABLE, B._finds_endpoint, S.IN_FLIGHT, B._send_first_attempt),
    Transition(S.QUEUED, E.DEADLINE_NEAR, B._always, S.ENDED, B._give_up),
    Transition(S.QUEUED, E.CLIENT_CANCELLED, B._always, S.ENDED, B._finish),
    Transition(S.IN_FLIGHT, E.ENDPOINT_FAULT, B._has_attempt_in_flight, S.IN_FLIGHT, B._do_nothing),
    Transition(S.IN_FLIGHT, E.ENDPOINT_FAULT, B._may_retry, S.IN_FLIGHT, B._send_retry),
    Transition(S.IN_FLIGHT, E.ENDPOINT_FAULT, B._always, S.ENDED, B._give_up),
    Transition(S.IN_FLIGHT, E.OTHER_FAILURE, B._has_attempt_in_flight, S.IN_FLIGHT, B._do_nothing),
    Transition(S.IN_FLIGHT, E.OTHER_FAILURE, B._always, S.ENDED, B._give_up),
    Transition(S.IN_FLIGHT, E.OVERDUE, B._is_hedge_due, S.IN_FLIGHT, B._send_retry),
    Transition(S.IN_FLIGHT, E.OVERDUE, B._is_cancellation_due, S.IN_FLIGHT, B._cancel_stalled_attempt),
    Transition(S.IN_FLIGHT, E.RESPONSE_STARTED, B._always, S.STREAMING, B._do_nothing),
    Transition(S.IN_FLIGHT, E.COMPLETED, B._always, S.ENDED, B._finish),
    Transition(S.IN_FLIGHT, E.DEADLINE_NEAR, B._always, S.ENDED, B._give_up),
    Transition(S.IN_FLIGHT, E.CLIENT_CANCELLED, B._always, S.ENDED, B._finish),
    Transition(S.STREAMING, E.ENDPOINT_FAULT, B._has_attempt_in_flight, S.STREAMING, B._do_nothing),
    Transition(S.STREAMING, E.ENDPOINT_FAULT, B._always, S.ENDED, B._give_up),
    Transition(S.STREAMING, E.OTHER_FAILURE, B._has_attempt_in_flight, S.STREAMING, B._do_nothing),
    Transition(S.STREAMING, E.OTHER_FAILURE, B._always, S.ENDED, B._give_up),
    Transition(S.STREAMING, E.COMPLETED, B._always, S.ENDED, B._finish),
    Transition(S.STREAMING, E.CLIENT_CANCELLED, B._always, S.ENDED, B._finish),
)
ROWS = {key: [row for row in TABLE if row[:2] == key] for key in dict.fromkeys(row[:2] for row in TABLE)}
