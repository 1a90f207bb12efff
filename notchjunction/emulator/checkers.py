"""Checkers of the rules and of the design's bounds; they use only a run's trace, and nothing of the balancer.

Each checker is a generator that yields a text for each violation. Reports contain the checkers' names.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator
from math import inf, sqrt
from typing import NamedTuple

from notchjunction.balancing.interface import DeduplicationScope, Idempotency
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.trace import (
    AttemptEnded,
    AttemptExecuted,
    AttemptSent,
    ClientClosed,
    ColdLoadReceived,
    DiscoveryReachable,
    EndpointNotified,
    EndpointPublished,
    FinalResponse,
    ProbeSent,
    RequestAccepted,
    RequestAnswered,
    ServerOverloaded,
    Trace,
    TraceRow,
)

# A change of the list counts this long after discovery had it and was reachable; the operators' requirement.
EFFECTIVE_AFTER_S = 6.0
CANCEL_GRACE_S = 0.1  # after its client closed, a request gets no further attempt; the operators' requirement
MAX_RETRY_SHARE = 0.2  # retries per first attempt; the design's bound
RETRY_WINDOW_S = 10.0  # over which that bound holds
# Share of the load in slow start from nodes that had been notified of the start, from which rule 4 applies.
MIN_INFORMED_SHARE = 2 / 3
# Random excess over the load allowed in slow start that is no violation, in square roots of the allowed load.
MAX_EXCESS_ROOTS = 2.0  # the operators' limit
EXCESS_TOLERANCE = 2.0  # in requests, in addition to that; the operators' limit
MIN_PROBE_SHARE = 0.1  # probes per first attempt; the design's bound
MAX_PROBE_GAP_S = 5.0  # between two probes of a node; the design's bound

Key = tuple[int, int]  # a node and its request, or a node and a server


def one_answer(trace: Trace) -> Iterator[str]:
    """Rule 1: each request has one final response before its deadline, and no attempt after that."""
    accepted: dict[Key, RequestAccepted] = {}
    answered: dict[Key, RequestAnswered] = {}
    for row in trace.rows:
        if isinstance(row, RequestAccepted):
            accepted[row.node, row.request] = row
        elif isinstance(row, RequestAnswered):
            key = (row.node, row.request)
            if key in answered:
                yield f"{row.at:.3f} request {key} has a second final response {row.final.name}"
            elif key in accepted and row.at > accepted[key].deadline + trace.deadline_slack:
                yield f"{row.at:.3f} request {key} is answered after its deadline"
            answered[key] = row
        elif isinstance(row, AttemptSent) and (row.node, row.request) in answered:
            # Guards against a false report on sockets: an attempt sent before the close may be read later.
            response = answered[row.node, row.request]
            if response.final is FinalResponse.CANCELLED and row.at < response.at + trace.cancel_delay:
                continue
            yield f"{row.at:.3f} request {(row.node, row.request)} is sent after its final response"
    for key, row in accepted.items():
        if key not in answered and row.deadline + trace.deadline_slack < trace.ended_at:
            yield f"{row.deadline:.3f} request {key} has no final response"


def none_for_the_gone(trace: Trace) -> Iterator[str]:
    """No attempt of a request, first or later, is sent more than 0.1 s after its client closed."""
    closed_at: dict[Key, float] = {}
    for row in trace.rows:
        if isinstance(row, ClientClosed) or (
            isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED
        ):
            closed_at.setdefault((row.node, row.request), row.at)
        elif isinstance(row, AttemptSent):
            late = row.at - closed_at.get((row.node, row.request), inf)
            if late > max(CANCEL_GRACE_S, trace.cancel_delay):
                key = (row.node, row.request)
                yield f"{row.at:.3f} request {key} is sent {late:.3f} s after its client closed"


def no_double_effects(trace: Trace) -> Iterator[str]:
    """Rule 2: a request is executed twice only if idempotent, and rejected only if a retry is safe."""
    executed: dict[Key, set[int]] = defaultdict(set)
    class_of: dict[Key, int] = {}
    for row in trace.rows:
        if isinstance(row, RequestAccepted):
            class_of[row.node, row.request] = row.request_class
            continue
        if not isinstance(row, AttemptExecuted | RequestAnswered):
            continue
        key = (row.node, row.request)
        request_class = trace.request_classes[class_of[key]]
        if isinstance(row, AttemptExecuted):
            executed[key].add(row.attempt)
            if len(executed[key]) > 1 and request_class.idempotency is not Idempotency.IDEMPOTENT:
                yield f"{row.at:.3f} request {key} is executed a second time"
        elif row.final is FinalResponse.REJECTED and executed[key]:
            safe_to_retry = request_class.idempotency is Idempotency.IDEMPOTENT or (
                request_class.idempotency is Idempotency.KEYED
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            if not safe_to_retry:
                yield f"{row.at:.3f} request {key} is rejected after it was executed"


def clean_drains(trace: Trace) -> Iterator[str]:
    """Rule 3: a node that was notified that a server drains or is gone sends it nothing after the grace."""
    notified_at: dict[Key, float] = {}  # by node and server
    for row in trace.rows:
        if isinstance(row, EndpointNotified) and row.state is EndpointState.ACTIVE:
            notified_at.pop((row.node, row.server), None)
        elif isinstance(row, EndpointNotified):
            notified_at.setdefault((row.node, row.server), row.at)
        elif isinstance(row, AttemptSent):
            since = notified_at.get((row.node, row.server))
            if since is not None and row.at > since + trace.drain_grace:
                late = row.at - since
                yield (
                    f"{row.at:.3f} node {row.node} sends to server {row.server}"
                    f" {late:.3f} s after notice of its drain or removal"
                )


def told_in_time(trace: Trace) -> Iterator[str]:
    """Rule 3 without regard to notices: a node sends nothing after a change took effect, and the grace.

    A change takes effect 6 s after discovery had it and the node could reach discovery, whatever became of
    the node's polls. An outage that begins before then restarts the 6 s at its end; a later one changes
    nothing.
    """
    tier_of: dict[int, int] = {}  # by node
    cut_off: set[int] = set()
    effective_at: dict[int, dict[int, float]] = {}  # by node and server
    for row in trace.rows:
        if isinstance(row, EndpointPublished):
            for node in (node for node, tier in tier_of.items() if tier == row.tier):
                if row.state is EndpointState.ACTIVE:
                    effective_at[node].pop(row.server, None)
                else:
                    effective_at[node].setdefault(
                        row.server, inf if node in cut_off else row.at + EFFECTIVE_AFTER_S
                    )
        elif isinstance(row, DiscoveryReachable):
            tier_of[row.node] = row.tier
            pending = effective_at.setdefault(row.node, {})
            at_earliest = row.at + EFFECTIVE_AFTER_S if row.reachable else inf
            pending |= {server: at_earliest for server, at in pending.items() if at > row.at}
            (cut_off.discard if row.reachable else cut_off.add)(row.node)
        elif isinstance(row, AttemptSent):
            since = effective_at.get(row.node, {}).get(row.server, inf)
            if row.at > since + trace.drain_grace:
                late = row.at - since
                yield (
                    f"{row.at:.3f} node {row.node} sends to server {row.server}"
                    f" {late:.3f} s after its drain or removal took effect"
                )


def gentle_fail_back(trace: Trace) -> Iterator[str]:
    """Rule 4: nodes that were notified of a server's start do not overload it during slow start."""
    for row in trace.rows:
        if isinstance(row, ServerOverloaded) and row.informed >= MIN_INFORMED_SHARE:
            yield f"{row.at:.3f} server {row.server} was overloaded during slow start"


class ColdWindow(NamedTuple):
    """The load on a server in slow start, over the window that ends as one of its requests arrives."""

    at: float
    server: int
    load: float  # in requests of mean work, from all nodes
    allowed: float  # the same, by the settings
    informed: float  # share of the load from nodes that had been notified of the start

    @property
    def excess(self) -> float:
        """Load over what is allowed and tolerated, in square roots of what is allowed."""
        return (self.load - self.allowed - EXCESS_TOLERANCE) / sqrt(self.allowed)


def cold_windows(trace: Trace) -> Iterator[ColdWindow]:
    """Yield the window of each request to a server in slow start, with the load from all nodes' processes."""
    recent_rows: dict[int, deque[ColdLoadReceived]] = defaultdict(deque)
    for row in trace.rows:
        if isinstance(row, ColdLoadReceived):
            window_rows = recent_rows[row.server]
            window_rows.append(row)
            while window_rows[0].at < row.at - trace.overload_window:
                window_rows.popleft()
            total = sum(window_row.work for window_row in window_rows)
            informed_work = sum(window_row.work for window_row in window_rows if window_row.informed)
            yield ColdWindow(row.at, row.server, total, row.allowed, informed_work / total)


def cold_sum(trace: Trace) -> Iterator[str]:
    """Rule 4 for the fleet: all nodes' load on a server in slow start exceeds its budget by chance only."""
    for window in cold_windows(trace):
        if window.excess > MAX_EXCESS_ROOTS and window.informed >= MIN_INFORMED_SHARE:
            allowed = f"{window.allowed:.1f} and chance"
            yield (
                f"{window.at:.3f} server {window.server} received {window.load:.1f} requests in slow start,"
                f" allowed: {allowed}"
            )


def retry_bound(trace: Trace) -> Iterator[str]:
    """A node sends at most one retry per five first attempts, over any 10 s."""
    firsts: dict[int, deque[float]] = defaultdict(deque)
    retries: dict[int, deque[float]] = defaultdict(deque)
    for row in trace.rows:
        if not isinstance(row, AttemptSent):
            continue
        (retries if row.attempt else firsts)[row.node].append(row.at)
        for times in (firsts[row.node], retries[row.node]):
            while times and times[0] < row.at - RETRY_WINDOW_S:
                times.popleft()
        if row.attempt and len(retries[row.node]) > MAX_RETRY_SHARE * len(firsts[row.node]):
            yield f"{row.at:.3f} node {row.node} has sent {len(retries[row.node])} retries in 10 s"


def probe_bound(trace: Trace) -> Iterator[str]:
    """A node probes at least every 5 s, and at least once per ten first attempts."""
    gap_start: dict[int, float] = {}
    unprobed: dict[int, int] = defaultdict(int)
    for row in trace.rows:
        if isinstance(row, RequestAccepted | EndpointNotified):
            gap_start.setdefault(row.node, row.at)
        elif isinstance(row, ProbeSent):
            gap_start[row.node], unprobed[row.node] = row.at, 0
        elif isinstance(row, AttemptSent) and not row.attempt:
            unprobed[row.node] += 1
            if unprobed[row.node] == 1 / MIN_PROBE_SHARE + 1:
                yield f"{row.at:.3f} node {row.node} has sent over ten first attempts without a probe"
        node = _node_of(row)
        if node in gap_start and row.at - gap_start[node] > MAX_PROBE_GAP_S + trace.deadline_slack:
            yield f"{row.at:.3f} node {node} has not probed for {row.at - gap_start[node]:.1f} s"
            gap_start[node] = row.at


def _node_of(row: TraceRow) -> int:
    return -1 if isinstance(row, ServerOverloaded | ColdLoadReceived | EndpointPublished) else row.node


class InFlight(NamedTuple):
    """Numbers of attempts in flight over a period."""

    peak: int
    mean: float  # weighted by time


def limit_held(rows: Iterable[TraceRow], limit: int, tolerance: float = 0.0) -> Iterator[str]:
    """A hard limit: all nodes together never have more than `limit` attempts in flight.

    An excess of `tolerance` seconds or less is no violation: on sockets, the two ends of a connection see its
    end at different moments.
    """
    rows = tuple(rows)
    # Guards against a false report at the end of a run, where it is unknown how long an excess would last.
    latest = rows[-1].at - tolerance if rows else 0.0
    in_flight, peak, since = 0, 0, 0.0
    for at, change in _in_flight_changes(rows):
        before, in_flight = in_flight, in_flight + change
        if before <= limit < in_flight:
            peak, since = in_flight, at
        elif in_flight <= limit < before and at - since > tolerance and since <= latest:
            yield f"{since:.3f} {peak} are in flight where {limit} are allowed, for {at - since:.3f} s"
        peak = max(peak, in_flight)


def measure_in_flight(rows: Iterable[TraceRow], since: float, until: float) -> InFlight:
    """Return the attempts in flight from `since` to `until`, times (s) on the rows' clock."""
    peak, area, reached, in_flight = 0, 0.0, since, 0
    for at, change in [*_in_flight_changes(rows), (inf, 0)]:
        end = min(at, until)
        if end > reached:
            peak = max(peak, in_flight)
            area += in_flight * (end - reached)
            reached = end
        in_flight += change
    return InFlight(peak, area / (until - since))


def _in_flight_changes(rows: Iterable[TraceRow]) -> list[tuple[float, int]]:
    """Return each moment at which the number of attempts in flight changes, and by how much, in order."""
    sent: dict[tuple[int, int, int], AttemptSent] = {}
    ends: dict[tuple[int, int, int], float] = {}
    for row in rows:
        if isinstance(row, AttemptSent):
            sent[row.node, row.request, row.attempt] = row
        elif isinstance(row, AttemptEnded):
            ends.setdefault((row.node, row.request, row.attempt), row.at)
    changes: Counter[float] = Counter()
    for key, row in sent.items():
        changes[row.at] += 1
        changes[min(ends.get(key, inf), row.timeout_at)] -= 1
    return sorted(changes.items())


CHECKERS = (
    one_answer,
    none_for_the_gone,
    no_double_effects,
    clean_drains,
    told_in_time,
    gentle_fail_back,
    cold_sum,
    retry_bound,
    probe_bound,
)


def breaches(trace: Trace) -> list[str]:
    """Return the text of each violation of a rule or a bound, after the checker's name."""
    return [f"{checker.__name__}: {text}" for checker in CHECKERS for text in checker(trace)]
