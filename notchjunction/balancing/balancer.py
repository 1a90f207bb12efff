"""Makes all request decisions of one node.

A host (see `BalancerHost` and `RequestBalancer` in interface.py) builds one `Balancer` from its settings and
calls it for each event. The balancer answers with commands to the host: `send_attempt`, `reject`, ...
Each event of a request becomes a `RequestEvent`. TRANSITIONS lists what to do for it in each request state,
and `_apply_event` looks it up.
The design combines error ownership on one hop with a probe pool: see docs/design.md.
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

# First attempts per probe. Probing at twice the design's minimum rate usually keeps two reports fresh.
ATTEMPTS_PER_PROBE = 5
# Seconds between probes on the timer; half the design's limit, so that one lost response does no harm.
PROBE_INTERVAL_S = 2.5
TYPICAL_LATENCY_REFRESH_S = 0.1  # seconds between updates; short compared with any incident
LOAD_REPORT_MAX_AGE_S = 10.0  # older reports are not used; their weight is small long before
MAX_POOL_SIZE = 48  # endpoints with the newest load reports; bounds the cost of a selection in a large fleet
MAX_RANDOM_PICKS = 32  # tries to find two eligible endpoints at random before all are scanned
# Share of the endpoints with a fresh load report, best first, to pick from; wide enough to avoid herding.
BEST_POOL_SHARE = 0.34
# Multiple of the typical probe latency that a probe may take by chance, as on a new connection.
PROBE_NOISE_RATIO = 2.0
# Multiple of the typical probe latency above which an endpoint is slow. Chance and unequal machines explain
# less than that.
SLOW_PROBE_RATIO = 4.0
# Share of a request's typical latency. A probe that takes less shows no delay that matters to a request.
MIN_SLOW_PROBE_SHARE = 0.05
SLOW_PROBE_MAX_AGE_S = 3.0  # about the time between two probes of an endpoint
# Share of the latency objective in which the requests in flight should be served; the rest is slack.
CAPACITY_OBJECTIVE_SHARE = 0.5
# Share of the latency objective after which an attempt is stuck and no longer counted as load.
STUCK_OBJECTIVE_SHARE = 0.75
# Seconds between checks of the queue when no outcome triggers one; short compared with any latency objective.
QUEUE_CHECK_INTERVAL_S = 0.05
# Share of the latency objective that a request may be expected to wait in the queue.
MAX_QUEUE_WAIT_SHARE = 0.25
# Multiple of the best median latency in which the requests in flight should be served. Above it, requests
# queue at the endpoints.
MAX_STABLE_MULTIPLE = 2.5
# Requests in flight per endpoint, of all nodes together, before any throughput is known. A small machine
# handles as many.
MIN_CAPACITY_PER_ENDPOINT = 6.0
MIN_STABLE_CAPACITY_PER_ENDPOINT = 9.0  # the same while latencies are stable; healthy endpoints handle more
# Share of the latency objective that the median request may take. Many requests take a few times the median,
# so a higher median makes many late.
MAX_MEDIAN_SHARE = 0.35
# Multiple of the typical latency after which an attempt is overdue, and may be hedged. On a healthy
# endpoint, even a large request rarely takes so long.
OVERDUE_RATIO = 8.0
# Longest such delay in a sidecar, as a share of the latency objective; the rest is for the next endpoint.
MAX_OVERDUE_SHARE = 0.5
# Multiple of the typical latency before an endpoint that sends nothing is unresponsive; requests differ in
# size.
UNRESPONSIVE_RATIO = 4.0
# Largest share of the active endpoints to avoid; if more are affected, the problem is common to all.
MAX_AVOIDED_SHARE = 0.5
# How much worse a same-zone endpoint's score may be, in multiples of the score of the choice from all zones,
# for a cross-zone cost of 1.
CROSS_ZONE_COST_WEIGHT = 20.0
# Share of this node's mean attempts in flight per endpoint that do not count against a same-zone endpoint.
SAME_ZONE_SPARE_SHARE = 0.5
DEADLINE_GUARD_TICKS = 2  # host ticks before the deadline at which the final response is given
# Endpoints that a key's requests go to first. More would each remember less, and a single one may be
# overloaded.
AFFINITY_ENDPOINTS = 2
# Highest score of an affinity endpoint, as a multiple of the score of the pool's choice. An endpoint that
# served the key before has far less work.
AFFINITY_MAX_RATIO = 2.5
MAX_GOSSIP_OUTCOMES = 12  # own outcomes in a datagram; each outcome reaches about as many peers
GOSSIP_MAX_AGE_S = 10.0  # older outcomes belong to an earlier incident
MIN_RETRY_AFTER_S = 0.25  # shortest wait that a rejected client is asked for


class Transition(NamedTuple):
    """The action and the next state for an event in a state, if the condition holds."""

    state: RequestState
    event: RequestEvent
    condition: Callable[[Balancer, PendingRequest], bool]
    next_state: RequestState
    action: Callable[[Balancer, PendingRequest], None]


class Balancer:
    """Decides for one node how requests are sent, queued, retried and rejected.

    `RequestBalancer` describes the methods that handle events of the host.
    """

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        self._host = host
        self._random = Random(settings.seed)
        self._endpoints: dict[int, Endpoint] = {}
        self._banned: dict[int, float] = {}
        self._active: list[Endpoint] = []
        # Subsets of the active endpoints, kept because scanning a large fleet is expensive.
        self._warming_up: list[Endpoint] = []  # may include some that are warm by now
        self._recent_probes: deque[tuple[float, Endpoint]] = deque()  # end and endpoint of each recent probe
        self._unbanned: list[Endpoint] = []  # may include some that have had their first attempt by now
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
        self._recent_latencies: dict[int, deque[float]] = {}
        self._recent_times_left: dict[int, deque[tuple[float, bool]]] = {}
        self.settings_changed(settings, dict(enumerate(settings.request_classes)))
        self._attempts_since_probe = self._poll_failures = self._own_outcome_count = self._last_token = (
            self._warm_count
        ) = self._healthy_count = 0
        self._probe_preferred = self._queue_timer_set = False
        self._timers: dict[int, Callable[[], None]] = {}
        self._typical_expires_at, self._typical = -math.inf, TypicalLatencies(1.0, 1.0, 0.001)
        self._avoided: list[Endpoint] = []
        if settings.polls_list:
            host.poll_list()
        self._start_timer(self._random.uniform(0, PROBE_INTERVAL_S), self._probe_on_timer)

    # Events from the host.

    def gossip_received(self, outcomes: Sequence[PeerOutcome]) -> None:
        """Record outcomes that a peer reports.

        They are hints: they may lead to an ejection, but end none and confirm nothing.
        """
        now = self._host.now()
        self._peer_reports.record(now)
        for peer_outcome in outcomes:
            endpoint, at = self._endpoints.get(peer_outcome.endpoint), now - peer_outcome.age
            # Guards against judging an endpoint by outcomes from before its start, or from before this node's
            # own last outcome there.
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

    def _send_gossip(self, endpoint: Endpoint, success: bool, latency: float, now: float) -> None:
        """Send the newest own outcomes, with this one, to a random peer."""
        self._own_outcomes.appendleft((now, RecentOutcome(endpoint, success, latency)))
        self._own_outcome_count += 1
        if self._settings.gossips and self._settings.node_count > 1:
            peer = self._random.randrange(self._settings.node_count - 1)
            outcomes = [
                PeerOutcome(outcome.endpoint.entry.number, now - at, outcome.success, outcome.latency)
                for at, outcome in self._own_outcomes
            ]
            self._host.send_gossip(
                peer + (peer >= self._settings.node_index), self._own_outcome_count, outcomes
            )

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        """Apply new settings to future requests; what was learned of endpoints is kept."""
        self._settings = settings
        self._request_classes = dict(request_classes)
        self._is_deepest_tier = settings.tier is not None and settings.tier == settings.tier_count - 1
        remaining_tiers = settings.tier_count - settings.tier if settings.tier is not None else 1
        self._capacity_share = CAPACITY_OBJECTIVE_SHARE * remaining_tiers / max(1, settings.tier_count)
        # Only the first tier limits the latency: a request that a deeper tier rejects has already cost work
        # at the tiers above.
        self._max_latency_multiple = math.inf if settings.tier else MAX_STABLE_MULTIPLE
        self._stuck_share = STUCK_OBJECTIVE_SHARE * remaining_tiers / max(1, settings.tier_count)
        # Only the first tier applies quotas.
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
        # Guards against noticing overdue attempts too late, where the latency objective is shorter than
        # several typical latencies.
        self._max_overdue_delay = (
            MAX_OVERDUE_SHARE * self._min_latency_objective if settings.sidecar else math.inf
        )
        self._update_warming_up()
        self._same_zone_max_ratio = 1.0 + CROSS_ZONE_COST_WEIGHT * settings.cross_zone_cost
        self._deadline_guard = DEADLINE_GUARD_TICKS * settings.tick
        # Latencies of a removed request class are dropped; a pending request keeps its own class.
        self._recent_latencies = {
            index: self._recent_latencies.get(index, deque(maxlen=16)) for index in request_classes
        }
        self._recent_times_left = {
            index: self._recent_times_left.get(index, deque(maxlen=32)) for index in request_classes
        }

    def request_arrived(self, request: NewRequest) -> None:
        """Handle a new request."""
        now = self._host.now()
        request_class = self._request_classes.get(request.request_class, UNKNOWN_CLASS)
        age = self._client_age(request, request_class, now)
        objective_at = now - age + min(request_class.latency_objective, request_class.deadline)
        over_quota, affinity_key = (
            self._is_over_quota(request.tenant, now),
            request.affinity_key if self._settings.key_affinity else "",
        )
        max_attempts, deadline_at = self._settings.max_attempts, now + request.time_left
        pending = PendingRequest(
            request.id,
            request.request_class,
            request_class,
            max_attempts,
            now,
            objective_at,
            deadline_at,
            over_quota,
            request.body_complete,
            affinity_key,
        )
        self._pending[request.id] = pending
        if request.body_complete:
            self._start_deadline_timer(pending, now)
        self._apply_event(pending, RequestEvent.ARRIVED)

    def _start_deadline_timer(self, pending: PendingRequest, now: float) -> None:
        # Guards against leaving a request unanswered if no other event occurs before its deadline.
        time_left = pending.deadline_at - now
        self._start_timer(
            max(time_left - self._deadline_guard, time_left / 2),
            lambda: self._handle_event(pending.id, RequestEvent.DEADLINE_NEAR),
        )

    def body_completed(self, request: int, time_left: float = math.inf) -> None:
        """Handle the last byte of a large request.

        Its latency objective, deadline and load count from now, and it is not retried.
        """
        pending, now = self._pending.get(request), self._host.now()
        if pending is not None and not pending.body_complete:
            pending.objective_at += now - pending.arrived_at
            pending.deadline_at = min(pending.deadline_at + now - pending.arrived_at, now + time_left)
            pending.body_complete, pending.max_attempts = True, 0
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
        attempt.may_have_run = not outcome.result.never_ran
        self._remove_in_flight(attempt)
        if outcome.result not in RESULTS_WITHOUT_RESPONSE:
            attempt.endpoint.last_response_at = now
        self._connections.record_result(attempt, outcome.result, now)
        if outcome.load is not None:
            self._record_load_report(attempt.endpoint, outcome.load, now)
        cancelled_as_slow = attempt.cancelled_for_retry or now - attempt.sent_at >= attempt.latency_objective
        if self._settings.sidecar and outcome.result is AttemptResult.CANCELLED and cancelled_as_slow:
            # Guards against judging an endpoint by its fast requests only: an attempt that was cancelled
            # for taking too long counts as timed out.
            outcome = replace(outcome, result=AttemptResult.TIMED_OUT, seconds=now - attempt.sent_at)
        self._assess_outcome(attempt.endpoint, outcome, now)
        pending = self._pending.get(outcome.request)
        if outcome.result is AttemptResult.SUCCEEDED and not attempt.response_started:
            self._record_response(pending, attempt, outcome.seconds, now)
        if pending is not None:
            pending.max_attempts = 0 if outcome.unrepeatable else pending.max_attempts
            if outcome.final:
                self._apply_event(pending, RequestEvent.COMPLETED)
            else:
                fault = (
                    is_endpoint_fault(outcome.result, self._is_deepest_tier) or attempt.cancelled_for_retry
                )
                self._apply_event(
                    pending, RequestEvent.ENDPOINT_FAULT if fault else RequestEvent.OTHER_FAILURE
                )
        self._serve_queue()

    def _record_response(
        self, pending: PendingRequest | None, attempt: Attempt, latency: float, now: float
    ) -> None:
        """Record a served request, from which capacity and typical latencies are computed."""
        self._throughput.record_success(attempt.latency_objective, latency, now)
        # Guards against slow start budgets derived from the rejections of dead or overloaded endpoints, which
        # increase as clients retry: only served requests count.
        self._served_rate.record_success(self._warm_count, max(1, len(self._active)))
        if pending is not None and pending.class_number in self._recent_latencies:
            self._recent_latencies[pending.class_number].append(latency)

    def response_received(self, request: int, attempt: int) -> None:
        """Handle the head of a response whose body is still incomplete."""
        # Guards against cancelling an attempt as stalled whose endpoint is sending its response.
        if (received := self._in_flight.get((request, attempt))) is not None:
            received.endpoint.last_response_at = self._host.now()

    def response_started(self, request: int, attempt: int) -> None:
        """Handle the start of a large response, which becomes the final response."""
        pending, started_attempt, now = (
            self._pending.get(request),
            self._in_flight.get((request, attempt)),
            self._host.now(),
        )
        if started_attempt is not None and not started_attempt.response_started:
            # The endpoint has processed the request. How long the rest takes depends on how fast the
            # client reads.
            started_attempt.response_started, started_attempt.endpoint.last_response_at = True, now
            self._remove_in_flight(started_attempt)
            self._record_response(pending, started_attempt, now - started_attempt.sent_at, now)
        if pending is not None:
            self._cancel_attempts(pending, attempt)  # the started response is the final one
        self._handle_event(request, RequestEvent.RESPONSE_STARTED)

    def request_cancelled(self, request: int) -> None:
        """Handle the cancellation of a request by its client."""
        self._handle_event(request, RequestEvent.CLIENT_CANCELLED)

    def probe_ended(self, endpoint: int, result: AttemptResult, load: LoadReport | None) -> None:
        """Handle the end of a probe."""
        now, record = self._host.now(), self._endpoints.get(endpoint)
        if record is None:
            return
        latency = now - record.probe_sent_at if record.probe_sent_at is not None else -math.inf
        record.probe_sent_at = None
        # Guards against counting a probe that failed at once as a fast one.
        if latency > record.probe_latency or (latency >= 0 and result is AttemptResult.SUCCEEDED):
            record.probe_latency, record.probe_ended_at = latency, now
            self._recent_probes.append((now, record))
        if result is AttemptResult.SUCCEEDED:
            self._record_load_report(record, load or LoadReport(), now)
        else:
            record.load_reported_at = -math.inf

    def timer_fired(self, token: int) -> None:
        """Run the callback of a timer."""
        self._timers.pop(token, lambda: None)()

    def list_updated(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        """Handle an update of the endpoint list, or a failed poll."""
        if update is ListUpdate.FAILED:
            self._poll_failures += 1
            # Guards against all nodes polling a failing list service again at the same moment.
            max_delay = self._settings.poll_interval / 4 or math.inf
            self._start_timer(
                poll_backoff(self._poll_failures, self._random, max_delay), self._host.poll_list
            )
            return
        self._poll_failures = 0
        if update is not ListUpdate.CHANGES:
            listed = {entry.number for entry in entries}
            self._endpoints = {
                number: endpoint for number, endpoint in self._endpoints.items() if number in listed
            }
        for entry in entries:
            self._apply_entry(entry)
        self._banned = {number: since for number, since in self._banned.items() if number in self._endpoints}
        self._refresh_endpoints()

    def ban_changed(self, endpoint: int, banned: bool) -> None:
        """Handle that an on-call operator banned an endpoint or lifted its ban; list updates lift no ban."""
        now, record = self._host.now(), self._endpoints.get(endpoint)
        if banned:
            self._banned.setdefault(endpoint, now)
        elif (banned_since := self._banned.pop(endpoint, None)) is not None and record is not None:
            # Guards against judging the endpoint by its state before the ban: it was very likely restarted.
            started_at = record.entry.started_at if record.entry.started_at > banned_since else now
            record = self._add_endpoint(replace(record.entry, started_at=started_at))
            record.banned_since, record.awaits_first_attempt = banned_since, True
            if self._settings.probes:
                self._send_probe(record)
        self._refresh_endpoints()

    def export_state(self) -> dict[str, Any]:
        """Return what was learned, for a successor process; keyed by the numbers of endpoints and classes."""
        now = self._host.now()
        endpoints = {number: endpoint.export_state(now) for number, endpoint in self._endpoints.items()}
        latencies = {number: list(recent) for number, recent in self._recent_latencies.items()}
        return {"clearing": self._throughput.export_state(now), "servers": endpoints, "spent": latencies}

    def restore_state(self, learned_state: Mapping[str, Any]) -> None:
        """Restore what a predecessor process exported with `export_state`."""
        now = self._host.now()
        self._throughput.restore_state(learned_state["clearing"], now)
        for number, state in learned_state["servers"].items():
            self._endpoints[number].restore_state(state, now)
            self._ejection.restore(self._endpoints[number])
            self._recent_probes.append((now, self._endpoints[number]))
        for number, latencies in learned_state["spent"].items():
            self._recent_latencies[number].extend(float(latency) for latency in latencies)

    def _refresh_endpoints(self) -> None:
        self._typical_expires_at = -math.inf  # its counts are from before this update
        # Kept between updates: scanning a large fleet for each request would cost more than all other work.
        self._active = [endpoint for endpoint in self._endpoints.values() if self._is_available(endpoint)]
        self._unbanned = [endpoint for endpoint in self._active if endpoint.awaits_first_attempt]
        self._update_warming_up()
        self._connections.keep_known(self._is_current)
        current = (
            endpoint for endpoint in self._pool if self._endpoints.get(endpoint.entry.number) is endpoint
        )
        self._pool = deque(current, maxlen=MAX_POOL_SIZE)
        self._serve_queue()

    def _update_warming_up(self) -> None:
        now = self._host.now()
        self._warming_up = [
            endpoint for endpoint in self._active if self._slow_start.is_warming_up(endpoint, now)
        ]

    # State machine.

    def _apply_event(self, pending: PendingRequest, event: RequestEvent) -> None:
        for transition in TRANSITIONS_BY_EVENT.get((pending.state, event), ()):
            if transition.condition(self, pending):
                pending.state = transition.next_state
                transition.action(self, pending)
                return

    def _serve_queue(self) -> None:
        """Send queued requests in the order of their rank, as far as capacity allows."""
        while self._queue:
            first = self._queue[0]
            self._apply_event(first, RequestEvent.CAPACITY_AVAILABLE)
            if first.state is RequestState.QUEUED:
                return

    def _serve_queue_on_timer(self) -> None:
        self._queue_timer_set = False
        self._serve_queue()
        self._start_queue_timer()

    def _start_queue_timer(self) -> None:
        # Guards against requests that wait for an endpoint that is warming up or ejected, when no outcome
        # causes the queue to be served.
        if self._queue and not self._queue_timer_set:
            self._queue_timer_set = True
            self._start_timer(QUEUE_CHECK_INTERVAL_S, self._serve_queue_on_timer)

    def _handle_event(self, request: int, event: RequestEvent) -> None:
        if (pending := self._pending.get(request)) is not None:
            self._apply_event(pending, event)
            self._serve_queue()

    # Conditions of the transitions.

    def _always(self, pending: PendingRequest) -> bool:
        return True

    def _is_too_late(self, pending: PendingRequest) -> bool:
        """Return whether no endpoint could respond in time to earn revenue.

        Revenue for late responses counts only while capacity is not scarce.
        """
        now, fast_latency = self._host.now(), self._fast_latency(pending.class_number)
        misses_objective = pending.objective_at - now < fast_latency and (
            not pending.request_class.late_weight or self._is_capacity_scarce(now)
        )
        return misses_objective or pending.deadline_at - now - self._deadline_guard < fast_latency

    def _is_shed(self, pending: PendingRequest) -> bool:
        """Return whether the request is shed, at random.

        As many are shed as the endpoints would serve too late, preferably those of low revenue.
        """
        # Guards against overload in sidecar deployments: each node has little traffic, so its own requests in
        # flight do not show the load of the endpoints.
        ratio = MAX_MEDIAN_SHARE * pending.request_class.latency_objective / self._typical_latencies().median
        revenue = pending.request_class.priority_weight * (
            self._settings.over_quota_weight if pending.over_quota else 1.0
        )
        accept_probability = ratio * ratio * math.sqrt(revenue / self._mean_priority_weight)
        return self._settings.sidecar and self._random.random() > accept_probability

    def _is_capacity_scarce(self, now: float) -> bool:
        return bool(self._queue) or self._load(now) >= self._capacity()

    def _finds_endpoint(self, pending: PendingRequest) -> bool:
        is_first = not self._queue or self._queue[0].rank() >= pending.rank()
        capacity = self._capacity()  # first, as it updates the avoided endpoints, which _load() leaves out
        if self._load(self._host.now()) >= capacity or not is_first:
            return False
        pending.chosen_endpoint = self._select_endpoint(pending)
        return pending.chosen_endpoint is not None

    def _may_queue(self, pending: PendingRequest) -> bool:
        now = self._host.now()
        queued_before = sum(1 for other in self._queue if other.rank() < pending.rank())
        wait = (queued_before + 1) / max(self._throughput.rate(now), 1.0)
        if self._settings.sidecar:
            wait = min(
                wait,
                (queued_before + 1) * self._typical_latencies().per_endpoint / max(1, len(self._in_flight)),
            )
        slack = pending.objective_at - now - self._fast_latency(pending.class_number)
        return wait <= min(slack, MAX_QUEUE_WAIT_SHARE * pending.request_class.latency_objective)

    def _has_attempt_in_flight(self, pending: PendingRequest) -> bool:
        return any(attempt.in_flight for attempt in pending.attempts)

    def _may_retry(self, pending: PendingRequest) -> bool:
        # The settings may have changed since the request arrived; the lower limit applies.
        max_attempts = min(pending.max_attempts, self._settings.max_attempts)
        if (
            not self._retry_budget.allows_retry(self._host.now())
            or len(pending.attempts) >= max_attempts
            or self._is_too_late(pending)
        ):
            return False
        pending.chosen_endpoint = self._select_endpoint(pending)
        return pending.chosen_endpoint is not None

    def _is_stalled(self, pending: PendingRequest) -> bool:
        """Return whether the last attempt is at an unresponsive endpoint and may be retried elsewhere."""
        # Guards against losing requests at endpoints that accept all requests and respond to none. As most
        # other endpoints respond, the endpoint itself is at fault, at any tier, even before a timeout.
        last_attempt = pending.attempts[-1]
        is_waiting = pending.body_complete and last_attempt.in_flight and not last_attempt.cancelled_for_retry
        return (
            is_waiting
            and last_attempt.endpoint in self._unresponsive(self._host.now())
            and self._may_retry(pending)
        )

    def _is_hedge_due(self, pending: PendingRequest) -> bool:
        return self._settings.hedging and self._is_stalled(pending)

    def _is_cancellation_due(self, pending: PendingRequest) -> bool:
        # Guards against cancelling at healthy endpoints that had no recent requests: the newest outcome there
        # has to be a failure.
        last_failed = not all(list(pending.attempts[-1].endpoint.recent_successes)[-1:])
        return not self._settings.hedging and last_failed and self._is_stalled(pending)

    # Actions of the transitions.

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
        reused_connection = self._connections.use_connection(endpoint, now)
        attempt = Attempt(endpoint, now, pending.request_class.latency_objective, reused_connection)
        self._in_flight[pending.id, len(pending.attempts)] = attempt
        pending.attempts.append(attempt)
        if pending.body_complete:
            self._add_in_flight(attempt, now)
        if self._slow_start.is_warming_up(endpoint, now):
            spend_credit(endpoint, now, self._random)
        timeout_at = (
            pending.deadline_at
            if pending.request_class.late_weight
            else min(pending.deadline_at, pending.objective_at)
        )
        self._host.send_attempt(pending.id, endpoint.entry.number, max(timeout_at - now, 0.001))
        if self._settings.hedging or (self._settings.sidecar and self._settings.cancellation):
            delay = min(OVERDUE_RATIO * self._typical_latencies().per_endpoint, self._max_overdue_delay)
            self._start_timer(delay, lambda: self._apply_event(pending, RequestEvent.OVERDUE))

    def _cancel_stalled_attempt(self, pending: PendingRequest) -> None:
        """Cancel a stalled attempt; its outcome then triggers a retry elsewhere."""
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

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """End the request: reject it if the client can safely retry, otherwise fail it."""
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

    def _cancel_attempts(self, pending: PendingRequest, except_number: int = -1) -> None:
        # Guards against endpoints that keep working on a request that no longer needs them.
        in_flight = (
            number
            for number, attempt in enumerate(pending.attempts)
            if attempt.in_flight and number != except_number
        )
        for number in in_flight if self._settings.cancellation else ():
            self._host.cancel_attempt(pending.id, number)

    # Selection of an endpoint.

    def _select_endpoint(self, pending: PendingRequest) -> Endpoint | None:
        now = self._host.now()
        # Maximum attempts in flight at an endpoint. Below, the variable is reassigned to a maximum score, and
        # is_eligible() compares with that value from then on.
        limit = max(2.0, MAX_EVEN_SHARES * self._capacity() / max(1, len(self._active)))

        def is_eligible(endpoint: Endpoint) -> bool:
            return (
                self._is_healthy(endpoint, now)
                and len(endpoint.in_flight) < limit
                and self._is_available(endpoint)
                and not (
                    self._slow_start.is_warming_up(endpoint, now)
                    and self._slow_start_credit(endpoint, now) < endpoint.slow_start_credit_needed
                )
                and not any(attempt.endpoint is endpoint for attempt in pending.attempts)
                and (not pending.attempts or self._is_repeat_safe(pending, endpoint, now))
            )

        def is_same_zone(endpoint: Endpoint) -> bool:
            return endpoint.entry.zone == self._settings.zone

        # Guards against an endpoint that gets no request after its ban was lifted, as nothing is known of it.
        unbanned = next(
            (
                endpoint
                for endpoint in self._unbanned
                if endpoint.awaits_first_attempt and is_eligible(endpoint)
            ),
            None,
        )
        if unbanned is not None:
            return unbanned
        connected = [
            endpoint
            for endpoint in self._connections.preferred(now, self._is_active)
            if is_eligible(endpoint)
        ]
        pool = connected or [endpoint for endpoint in self._pool if is_eligible(endpoint)]
        candidates = connected or self._active
        choice = self._select_from_pool(pool, candidates, is_eligible, now)
        if choice is not None and pending.affinity_key:
            limit = AFFINITY_MAX_RATIO * self._score(choice, now)
            preferred = (
                endpoint
                for endpoint in self._affinity_endpoints(pending.affinity_key)
                if is_eligible(endpoint)
            )
            best = min(preferred, key=lambda endpoint: self._score(endpoint, now), default=choice)
            choice = best if self._score(best, now) <= limit else choice
        elif (
            choice is not None
            and self._same_zone_max_ratio > 1.0
            and choice.entry.zone != self._settings.zone
        ):
            # Where crossing zones has a cost, an endpoint in the same zone is preferred unless clearly worse.
            pool = [endpoint for endpoint in pool if is_same_zone(endpoint)]
            same_zone = self._select_from_pool(
                pool, candidates, lambda endpoint: is_same_zone(endpoint) and is_eligible(endpoint), now
            )
            spare = math.floor(SAME_ZONE_SPARE_SHARE * len(self._in_flight) / len(self._active))
            limit = self._same_zone_max_ratio * self._score(choice, now)
            if same_zone is not None and self._score(same_zone, now, spare) <= limit:
                return same_zone
        return choice

    def _affinity_endpoints(self, key: str) -> list[Endpoint]:
        """Return the endpoints that all nodes send a key's requests to first.

        They are chosen by rendezvous hashing, weighted by size.
        """

        def rank(endpoint: Endpoint) -> float:
            digest = blake2b(f"{endpoint.entry.name_hash} {key}".encode(), digest_size=6).digest()
            return -math.log((1 + int.from_bytes(digest)) / 2**48) / max(endpoint.entry.size, 0.01)

        return sorted(self._active, key=rank)[:AFFINITY_ENDPOINTS]

    def _select_from_pool(
        self,
        pool: list[Endpoint],
        candidates: Sequence[Endpoint],
        is_eligible: Callable[[Endpoint], bool],
        now: float,
    ) -> Endpoint | None:
        """Return the better of two random endpoints out of the best of the pool.

        With fewer than two fresh load reports, return the one of two random candidates that has fewer of
        this node's attempts in flight.
        """
        fresh = [endpoint for endpoint in pool if now - endpoint.load_reported_at <= LOAD_REPORT_MAX_AGE_S]
        if len(fresh) >= 2:
            scored = sorted(
                (self._score(endpoint, now), self._random.random(), endpoint) for endpoint in fresh
            )
            best = scored[: max(2, math.ceil(len(scored) * BEST_POOL_SHARE))]
            return min(self._random.sample(best, 2))[2]
        sample = self._sample_two(candidates, is_eligible)
        return min(sample, key=lambda endpoint: len(endpoint.in_flight), default=None)

    def _sample_two(
        self, candidates: Sequence[Endpoint], is_eligible: Callable[[Endpoint], bool]
    ) -> list[Endpoint]:
        """Return two random eligible candidates, or as many as there are."""
        found: dict[Endpoint, None] = {}
        # Guards against scanning a large fleet for each request: a few random picks are usually enough.
        for _ in range(MAX_RANDOM_PICKS if len(candidates) > MAX_RANDOM_PICKS else 0):
            endpoint = self._random.choice(candidates)
            if is_eligible(endpoint):
                found[endpoint] = None
            if len(found) == 2:
                return list(found)
        eligible = [endpoint for endpoint in candidates if is_eligible(endpoint)]
        return self._random.sample(eligible, min(2, len(eligible)))

    def _is_current(self, endpoint: Endpoint) -> bool:
        """Return whether this is the current record: its endpoint has not left the list or restarted."""
        return self._endpoints.get(endpoint.entry.number) is endpoint

    def _is_active(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is active: current and available."""
        return self._is_current(endpoint) and self._is_available(endpoint)

    def _score(self, endpoint: Endpoint, now: float, spare: float = 0.0) -> float:
        """Return how loaded and slow an endpoint is; a lower score is better.

        It is the reported load, which weighs less as the report ages, plus this node's attempts in flight
        there, of which `spare` do not count. This is multiplied by factors for the endpoint's latency and for
        a slow probe.
        """
        report = endpoint.load_report or LoadReport()
        typical = self._typical_latencies()
        reported_load = report.in_flight if report.in_flight is not None else report.queued or 0.0
        weight = typical.per_endpoint / (typical.per_endpoint + now - endpoint.load_reported_at)
        load = max(0.0, weight * reported_load + len(endpoint.in_flight) - spare)
        probe_penalty = max(0.0, endpoint.probe_latency / typical.probe / PROBE_NOISE_RATIO - 1.0)
        probe_penalty *= typical.per_endpoint / (typical.per_endpoint + now - endpoint.probe_ended_at)
        # Guards against herding: among idle endpoints noisy latencies alone would decide, so they count half.
        return (
            (load + 1.0)
            * (1.0 + median(endpoint.recent_latencies, typical.per_endpoint) / typical.per_endpoint)
            / 2
            * (1.0 + probe_penalty)
        )

    def _unresponsive(self, now: float) -> list[Endpoint]:
        """Return the endpoints without any response since their oldest attempt in flight, which is overdue.

        If these are most of the active endpoints, none is returned.
        """
        overdue_before = now - min(
            UNRESPONSIVE_RATIO * self._typical_latencies().per_endpoint, self._max_overdue_delay
        )
        attempted = dict.fromkeys(attempt.endpoint for attempt in self._in_flight.values())
        overdue = [
            endpoint
            for endpoint in attempted
            if endpoint.in_flight
            and endpoint.in_flight[0].sent_at < overdue_before
            and self._is_active(endpoint)
        ]
        unresponsive = [
            endpoint for endpoint in overdue if endpoint.last_response_at < endpoint.in_flight[0].sent_at
        ]
        return unresponsive if len(unresponsive) <= MAX_AVOIDED_SHARE * len(self._active) else []

    def _find_avoided(self, now: float) -> list[Endpoint]:
        """Return the endpoints that are unresponsive or slow; none if these are most of the active ones."""
        # Guards against sending to overloaded endpoints: probes show overload seconds before requests do.
        typical = self._typical
        min_slow_latency, unresponsive = (
            max(SLOW_PROBE_RATIO * typical.probe, MIN_SLOW_PROBE_SHARE * typical.per_endpoint),
            self._unresponsive(now),
        )
        self._prune(self._recent_probes, now - SLOW_PROBE_MAX_AGE_S)
        probed = dict.fromkeys(endpoint for _, endpoint in self._recent_probes)
        slow = [
            endpoint
            for endpoint in probed
            if endpoint.probe_latency > min_slow_latency
            and now - endpoint.probe_ended_at < SLOW_PROBE_MAX_AGE_S
        ]
        avoided = unresponsive + [
            endpoint for endpoint in slow if endpoint not in unresponsive and self._is_active(endpoint)
        ]
        return avoided if len(avoided) <= MAX_AVOIDED_SHARE * len(self._active) else []

    def _is_healthy(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint is neither ejected nor avoided."""
        return endpoint.ejected_until <= now and endpoint not in self._avoided

    def _typical_latencies(self) -> TypicalLatencies:
        """Return the typical latencies; updates them, and the counts of endpoints, if they are too old."""
        now = self._host.now()
        if now >= self._typical_expires_at:
            self._typical_expires_at = now + TYPICAL_LATENCY_REFRESH_S
            self._served_rate.advance(now, self._warm_count)
            # One latency per endpoint: fast endpoints serve more requests and would otherwise dominate.
            latest = {
                outcome.endpoint.entry.number: outcome.latency
                for outcome in self._ejection.outcomes
                if outcome.latency
            }
            probes = (endpoint.probe_latency for endpoint in self._pool if endpoint.probe_latency)
            latencies = (outcome.latency for outcome in self._ejection.outcomes if outcome.latency)
            # Guards against overload being assumed at the start: the default of the median is 0, so without
            # any latencies nothing counts as overloaded.
            medians = (median(latest.values(), 1.0), median(probes, 1.0), median(latencies, 0.0))
            self._typical = TypicalLatencies(*(max(latency, 0.001) for latency in medians))
            self._avoided = self._find_avoided(now)
            # Updated only here: scanning a large fleet for each request would cost more than all other work.
            self._warming_up = [
                endpoint for endpoint in self._warming_up if self._slow_start.is_warming_up(endpoint, now)
            ]
            self._warm_count = len(self._active) - len(self._warming_up)
            unhealthy = dict.fromkeys([*self._ejection.ejected(now, self._is_active), *self._avoided])
            self._healthy_count = self._warm_count - sum(
                1 for endpoint in unhealthy if not self._slow_start.is_warming_up(endpoint, now)
            )
        return self._typical

    # Repeats and slow start.

    def _is_repeat_safe(self, pending: PendingRequest, endpoint: Endpoint, now: float) -> bool:
        """Return whether another attempt at this endpoint cannot make an effect happen twice."""
        # Guards against a retry that is decided in time but, while its connection is opened, reaches the
        # endpoint after the deduplication window.
        safe_until = repeatable_until(pending.request_class, pending.attempts, endpoint, self._deadline_guard)
        return now < safe_until - self._settings.connect_timeout

    def repeatable_until(self, request: int, attempt: int) -> float:
        """Return until when (s) a sent attempt cannot make an effect happen twice; -inf if unknown."""
        pending = self._pending.get(request)
        if pending is None:
            return -math.inf
        earlier, endpoint = pending.attempts[:attempt], pending.attempts[attempt].endpoint
        return repeatable_until(pending.request_class, earlier, endpoint, self._deadline_guard)

    def _is_rejection_safe(self, pending: PendingRequest) -> bool:
        return is_rejection_safe(pending.request_class, pending.attempts)

    def _slow_start_credit(self, endpoint: Endpoint, now: float) -> float:
        self._typical_latencies()  # updates the count of warm endpoints
        return self._slow_start.credit(
            endpoint, now, self._served_rate.rate(), len(self._active), self._warm_count
        )

    # Capacity, health, probes and the endpoint list.

    def _capacity(self) -> float:
        """Return the maximum number of requests in flight.

        They can be served within a share of their latency objective. Each healthy endpoint adds a minimum.
        """
        measured = self._throughput.capacity(
            self._capacity_share, self._max_latency_multiple, self._host.now()
        )
        self._typical_latencies()  # updates the count of healthy endpoints
        # Guards against overloading small machines: the higher minimum needs stable latencies.
        per_endpoint = (
            MIN_STABLE_CAPACITY_PER_ENDPOINT if self._throughput.is_stable() else MIN_CAPACITY_PER_ENDPOINT
        )
        if self._settings.sidecar:
            per_endpoint *= min(
                1.0, MAX_MEDIAN_SHARE * self._min_latency_objective / self._typical_latencies().median
            )
        return max(2.0, per_endpoint * self._healthy_count / self._traffic_divisor(), measured)

    def _traffic_divisor(self) -> float:
        """Return the ratio of all nodes' traffic to this node's; the number of nodes without gossip."""
        if not self._settings.gossips:
            return self._settings.node_count
        # Each node sends one datagram per outcome to a random peer. So a node receives as many as a node has
        # outcomes on average.
        now = self._host.now()
        first_attempts = self._retry_budget.first_attempts.count(now)
        return self._settings.node_count * (self._peer_reports.count(now) + 1) / (first_attempts + 1)

    def _load(self, now: float) -> int:
        """Return how many attempts are in flight at healthy endpoints, without those that are stuck."""
        # Guards against attempts that are stuck or at ejected endpoints using up the others' capacity.
        while self._recent_attempts:
            oldest = self._recent_attempts[0]
            if (
                oldest.in_flight
                and not oldest.response_started
                and now - oldest.sent_at <= self._stuck_share * oldest.latency_objective
            ):
                break
            self._recent_attempts.popleft()
        loaded = (
            attempt.endpoint
            for attempt in self._recent_attempts
            if attempt.in_flight and not attempt.response_started
        )
        return sum(1 for endpoint in loaded if self._is_healthy(endpoint, now))

    def _assess_outcome(self, endpoint: Endpoint, outcome: AttemptOutcome, now: float) -> None:
        """Record an outcome of this node and eject the endpoint if it rejected a request or is an outlier."""
        success = outcome.result is AttemptResult.SUCCEEDED
        if outcome.result is AttemptResult.REJECTED:
            # Guards against another rejection there: a full endpoint has capacity after a typical latency.
            self._ejection.eject(
                endpoint, max(endpoint.ejected_until, now + self._typical_latencies().per_endpoint)
            )
        if not success and outcome.result not in FAILURES:
            return
        latency = outcome.seconds if success or outcome.result is AttemptResult.TIMED_OUT else 0.0
        endpoint.last_own_outcome_at = now
        self._send_gossip(endpoint, success, latency, now)
        self._record_outcome(endpoint, success, latency, now)

    def _record_outcome(self, endpoint: Endpoint, success: bool, latency: float, now: float) -> None:
        """Record an outcome of this node or a peer and eject the endpoint if it is an outlier."""
        self._ejection.record_outcome(endpoint, success, latency)
        # Guards against ejecting the outdated record of an endpoint that left the list or restarted.
        if success or not self._is_current(endpoint):
            return
        ejected = len(self._ejection.ejected(now, self._is_active))
        if self._ejection.is_outlier(endpoint, ejected, len(self._active)):
            self._ejection.eject(endpoint, ejection_end(now, self._random))
            self._host.report_ejection(endpoint.entry.number, endpoint.ejected_until - now)

    def _record_load_report(self, endpoint: Endpoint, report: LoadReport, now: float) -> None:
        endpoint.load_report, endpoint.load_reported_at = report, now
        if endpoint in self._pool:
            self._pool.remove(endpoint)
        # Guards against sending to an endpoint that has left the list: a late outcome may still report load.
        if self._endpoints.get(endpoint.entry.number) is endpoint:
            self._pool.append(endpoint)

    def _probe_on_timer(self) -> None:
        if self._settings.probes:
            self._send_next_probe()
        self._start_timer(PROBE_INTERVAL_S, self._probe_on_timer)

    def _send_next_probe(self) -> None:
        self._attempts_since_probe = 0
        if self._active:
            self._probe_preferred = not self._probe_preferred
            # Every second probe goes to an endpoint that is likely to be selected, the others to any.
            connections = self._connections
            preferred = (
                connections.preferred(self._host.now(), self._is_active) if self._probe_preferred else []
            )
            self._send_probe(self._random.choice(preferred or self._active))

    def _send_probe(self, endpoint: Endpoint) -> None:
        endpoint.probe_sent_at = self._host.now()
        self._host.send_probe(endpoint.entry.number)

    def _apply_entry(self, entry: EndpointEntry) -> None:
        record = self._endpoints.get(entry.number)
        if entry.state is EndpointState.REMOVED:
            # Guards against keeping a record of every endpoint that ever existed. Attempts there refer to the
            # record themselves, as its deduplication group is still needed.
            self._endpoints.pop(entry.number, None)
        elif record is None or entry.started_at > record.entry.started_at:
            # Guards against judging a restarted endpoint by its state before the restart.
            self._add_endpoint(entry)
        else:
            # Guards against a start time from before a ban, by which the endpoint would count as warm. The
            # list may still have it after the ban is lifted.
            started_at = (
                entry.started_at if entry.started_at > record.banned_since else record.entry.started_at
            )
            record.entry = replace(entry, started_at=started_at)

    def _add_endpoint(self, entry: EndpointEntry) -> Endpoint:
        now = self._host.now()
        endpoint = self._endpoints[entry.number] = Endpoint(entry)
        if self._slow_start.is_warming_up(endpoint, now):
            begin_credit(endpoint, now, self._random)
        return endpoint

    def _is_available(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may get new requests: it is listed as active and not banned."""
        return endpoint.entry.state is EndpointState.ACTIVE and endpoint.entry.number not in self._banned

    def _is_over_quota(self, tenant: int, now: float) -> bool:
        """Return whether a request exceeds its tenant's quota; if not, count it against the quota."""
        quotas = self._tenant_quotas
        if not quotas.has_quota(tenant):
            return False
        return not quotas.take(tenant, self._traffic_divisor(), self._settings.process_count, now)

    def _client_age(self, request: NewRequest, request_class: RequestClass, now: float) -> float:
        """Estimate how long (s) the client has waited already.

        The time left of the request is compared with the longest time left of recent requests.
        """
        recent = self._recent_times_left.get(request.request_class)
        if recent is None:
            return 0.0
        recent.append((request.time_left, request.is_client_retry))
        # Guards against first attempts of clients looking old beside a last retry, which has more time left:
        # retries do not count. While capacity is scarce they do: first attempts then look older, and yield.
        scarce = any(is_retry for _, is_retry in recent) and self._is_capacity_scarce(now)
        typical = max(
            (time_left for time_left, is_retry in recent if scarce or not is_retry), default=request.time_left
        )
        if request.is_client_retry:
            differs = abs(request.time_left - typical) > 0.02 * typical
            return max(0.0, request_class.deadline - request.time_left) if differs else 0.0
        return typical - request.time_left

    def _fast_latency(self, request_class: int) -> float:
        """Return the lower quartile (s) of a class's recent latencies; 0 if there are none."""
        latencies = self._recent_latencies.get(request_class)
        return sorted(latencies)[len(latencies) // 4] if latencies else 0.0

    def _retry_after(self) -> float:
        """Return the wait (s) to ask a rejected client for; random, so that clients spread out."""
        wait = MIN_RETRY_AFTER_S + len(self._queue) / max(self._throughput.rate(self._host.now()), 1.0)
        return min(wait * self._random.uniform(1.0, 2.0), self._settings.retry_after_max)

    def _start_timer(self, delay: float, callback: Callable[[], None]) -> None:
        self._last_token += 1
        self._timers[self._last_token] = callback
        self._host.set_timer(delay, self._last_token)

    def _prune(self, entries: deque[Any], since: float) -> None:
        """Drop the entries from before `since`; the first field of an entry is its time."""
        while entries and entries[0][0] < since:
            entries.popleft()


UNKNOWN_CLASS = RequestClass(latency_objective=1.0, deadline=math.inf)  # treated as non-idempotent
RESULTS_WITHOUT_RESPONSE = (AttemptResult.CANCELLED, AttemptResult.TIMED_OUT, AttemptResult.NOT_SENT)
B, S, E = Balancer, RequestState, RequestEvent
TRANSITIONS = (
    # state, event, condition, next state, action; the first transition whose condition holds is taken
    Transition(S.NEW, E.ARRIVED, B._is_too_late, S.ENDED, B._reject_or_fail),
    Transition(S.NEW, E.ARRIVED, B._is_shed, S.ENDED, B._reject_or_fail),
    Transition(S.NEW, E.ARRIVED, B._finds_endpoint, S.IN_FLIGHT, B._send_first_attempt),
    Transition(S.NEW, E.ARRIVED, B._may_queue, S.QUEUED, B._enqueue),
    Transition(S.NEW, E.ARRIVED, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.QUEUED, E.CAPACITY_AVAILABLE, B._is_too_late, S.ENDED, B._reject_or_fail),
    Transition(S.QUEUED, E.CAPACITY_AVAILABLE, B._finds_endpoint, S.IN_FLIGHT, B._send_first_attempt),
    Transition(S.QUEUED, E.DEADLINE_NEAR, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.QUEUED, E.CLIENT_CANCELLED, B._always, S.ENDED, B._finish),
    Transition(S.IN_FLIGHT, E.ENDPOINT_FAULT, B._has_attempt_in_flight, S.IN_FLIGHT, B._do_nothing),
    Transition(S.IN_FLIGHT, E.ENDPOINT_FAULT, B._may_retry, S.IN_FLIGHT, B._send_retry),
    Transition(S.IN_FLIGHT, E.ENDPOINT_FAULT, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.IN_FLIGHT, E.OTHER_FAILURE, B._has_attempt_in_flight, S.IN_FLIGHT, B._do_nothing),
    Transition(S.IN_FLIGHT, E.OTHER_FAILURE, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.IN_FLIGHT, E.OVERDUE, B._is_hedge_due, S.IN_FLIGHT, B._send_retry),
    Transition(S.IN_FLIGHT, E.OVERDUE, B._is_cancellation_due, S.IN_FLIGHT, B._cancel_stalled_attempt),
    Transition(S.IN_FLIGHT, E.RESPONSE_STARTED, B._always, S.STREAMING, B._do_nothing),
    Transition(S.IN_FLIGHT, E.COMPLETED, B._always, S.ENDED, B._finish),
    Transition(S.IN_FLIGHT, E.DEADLINE_NEAR, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.IN_FLIGHT, E.CLIENT_CANCELLED, B._always, S.ENDED, B._finish),
    Transition(S.STREAMING, E.ENDPOINT_FAULT, B._has_attempt_in_flight, S.STREAMING, B._do_nothing),
    Transition(S.STREAMING, E.ENDPOINT_FAULT, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.STREAMING, E.OTHER_FAILURE, B._has_attempt_in_flight, S.STREAMING, B._do_nothing),
    Transition(S.STREAMING, E.OTHER_FAILURE, B._always, S.ENDED, B._reject_or_fail),
    Transition(S.STREAMING, E.COMPLETED, B._always, S.ENDED, B._finish),
    Transition(S.STREAMING, E.CLIENT_CANCELLED, B._always, S.ENDED, B._finish),
)
TRANSITIONS_BY_EVENT = {
    key: [transition for transition in TRANSITIONS if transition[:2] == key]
    for key in dict.fromkeys(transition[:2] for transition in TRANSITIONS)
}
