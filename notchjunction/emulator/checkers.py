"""The rules and the mechanism's bounds, checked from a run's rows alone; they know nothing of the module."""

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

TOLD_AFTER = 6.0  # s after discovery had a change and could be reached from which it counts; the operators'
GONE_AFTER = 0.1  # s after its caller has closed from which a job gets no attempt; the operators'
RETRY_SHARE = 0.2  # retries a first send at most; the design's bound
BOUND_SPAN = 10.0  # s over which that bound holds; the design's
KNOWING_SHARE = 2 / 3  # of the push on a cold server that came from nodes told of its start; the rule's
CHANCE_ROOTS = 2.0  # roots of what a cold server is allowed by which chance may pass it; the operators'
CHANCE_MORE = 2.0  # requests by which chance may pass it besides; the operators'
PROBE_SHARE = 0.1  # probes a first send at least; the design's bound
PROBE_SPAN = 5.0  # s between two probes of a node at most; the design's bound

Key = tuple[int, int]  # node and job


def one_answer(story: Trace) -> Iterator[str]:
    """Rule 1: exactly one final answer before the abandon time, and nothing sent after it."""
    taken: dict[Key, RequestAccepted] = {}
    ended: dict[Key, RequestAnswered] = {}
    for row in story.rows:
        if isinstance(row, RequestAccepted):
            taken[row.node, row.request] = row
        elif isinstance(row, RequestAnswered):
            key = (row.node, row.request)
            if key in ended:
                yield f"{row.at:.3f} job {key} has a second answer {row.final.name}"
            elif key in taken and row.at > taken[key].deadline + story.deadline_slack:
                yield f"{row.at:.3f} job {key} is answered late"
            ended[key] = row
        elif isinstance(row, AttemptSent) and (row.node, row.request) in ended:
            # Guards against blaming a node on sockets for what its caller's close has crossed.
            end = ended[row.node, row.request]
            if end.final is FinalResponse.CANCELLED and row.at < end.at + story.cancel_delay:
                continue
            yield f"{row.at:.3f} job {(row.node, row.request)} is sent after its answer"
    for key, row in taken.items():
        if key not in ended and row.deadline + story.deadline_slack < story.ended_at:
            yield f"{row.deadline:.3f} job {key} has no answer"


def none_for_the_gone(story: Trace) -> Iterator[str]:
    """No attempt, first or further, begins over 0.1 s after its caller closed."""
    gone: dict[Key, float] = {}
    for row in story.rows:
        if isinstance(row, ClientClosed) or (
            isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED
        ):
            gone.setdefault((row.node, row.request), row.at)
        elif isinstance(row, AttemptSent):
            late = row.at - gone.get((row.node, row.request), inf)
            if late > max(GONE_AFTER, story.cancel_delay):
                key = (row.node, row.request)
                yield f"{row.at:.3f} job {key} is sent {late:.3f} s after its caller closed"


def no_double_effects(story: Trace) -> Iterator[str]:
    """Rule 2: what may run once runs once, and a turn-back promises that a retry is harmless."""
    ran: dict[Key, set[int]] = defaultdict(set)
    profile_of: dict[Key, int] = {}
    for row in story.rows:
        if isinstance(row, RequestAccepted):
            profile_of[row.node, row.request] = row.request_class
            continue
        if not isinstance(row, AttemptExecuted | RequestAnswered):
            continue
        key = (row.node, row.request)
        profile = story.request_classes[profile_of[key]]
        if isinstance(row, AttemptExecuted):
            ran[key].add(row.attempt)
            if len(ran[key]) > 1 and profile.idempotency is not Idempotency.IDEMPOTENT:
                yield f"{row.at:.3f} job {key} runs a second time"
        elif row.final is FinalResponse.REJECTED and ran[key]:
            harmless = profile.idempotency is Idempotency.IDEMPOTENT or (
                profile.idempotency is Idempotency.KEYED
                and profile.deduplication_scope is DeduplicationScope.ALL
            )
            if not harmless:
                yield f"{row.at:.3f} job {key} is turned back after it has run"


def clean_drains(story: Trace) -> Iterator[str]:
    """Rule 3: nothing new past the grace after word that a server drains or is gone."""
    told: dict[Key, float] = {}  # node and server
    for row in story.rows:
        if isinstance(row, EndpointNotified) and row.state is EndpointState.ACTIVE:
            told.pop((row.node, row.server), None)
        elif isinstance(row, EndpointNotified):
            told.setdefault((row.node, row.server), row.at)
        elif isinstance(row, AttemptSent):
            since = told.get((row.node, row.server))
            if since is not None and row.at > since + story.drain_grace:
                late = row.at - since
                yield f"{row.at:.3f} node {row.node} sends to server {row.server}, told {late:.3f} s ago"


def told_in_time(story: Trace) -> Iterator[str]:
    """Rule 3 whether or not the node heard: nothing new past the grace after a change counts as told.

    It counts 6 s after discovery had it and the node could reach discovery, whatever became of its calls. An
    outage that begins before then starts the 6 s anew at its end; one that begins later changes nothing.
    """
    tiers: dict[int, int] = {}  # of nodes
    cut_off: set[int] = set()
    counts: dict[int, dict[int, float]] = {}  # by node and server, the moment from which
    for row in story.rows:
        if isinstance(row, EndpointPublished):
            for node in (node for node, tier in tiers.items() if tier == row.tier):
                if row.state is EndpointState.ACTIVE:
                    counts[node].pop(row.server, None)
                else:
                    counts[node].setdefault(row.server, inf if node in cut_off else row.at + TOLD_AFTER)
        elif isinstance(row, DiscoveryReachable):
            tiers[row.node] = row.tier
            pending = counts.setdefault(row.node, {})
            then = row.at + TOLD_AFTER if row.reachable else inf
            pending |= {server: then for server, at in pending.items() if at > row.at}
            (cut_off.discard if row.reachable else cut_off.add)(row.node)
        elif isinstance(row, AttemptSent):
            since = counts.get(row.node, {}).get(row.server, inf)
            if row.at > since + story.drain_grace:
                late = row.at - since
                yield f"{row.at:.3f} node {row.node} sends to server {row.server}, as told {late:.3f} s ago"


def gentle_fail_back(story: Trace) -> Iterator[str]:
    """Rule 4: no cold server is pushed over by nodes that know of its start."""
    for row in story.rows:
        if isinstance(row, ServerOverloaded) and row.informed >= KNOWING_SHARE:
            yield f"{row.at:.3f} server {row.server} was pushed over while cold"


class Window(NamedTuple):
    """What was pushed on a cold server in the span that ends with one of its requests."""

    at: float
    server: int
    pushed: float  # requests of mean work, by all nodes
    allowed: float  # the same, by the settings
    knowing: float  # share of it that came from nodes that had been told of the start

    @property
    def excess(self) -> float:
        """Roots of what is allowed by which it is passed, past the requests that chance may add."""
        return (self.pushed - self.allowed - CHANCE_MORE) / sqrt(self.allowed)


def cold_windows(story: Trace) -> Iterator[Window]:
    """Each window that ends with a request to a cold server, summed over all processes of all nodes."""
    recent: dict[int, deque[ColdLoadReceived]] = defaultdict(deque)
    for row in story.rows:
        if isinstance(row, ColdLoadReceived):
            pushed = recent[row.server]
            pushed.append(row)
            while pushed[0].at < row.at - story.overload_window:
                pushed.popleft()
            total = sum(each.work for each in pushed)
            knowing = sum(each.work for each in pushed if each.informed)
            yield Window(row.at, row.server, total, row.allowed, knowing / total)


def cold_sum(story: Trace) -> Iterator[str]:
    """Rule 4 for the fleet: what all nodes push on a cold server passes its budget by chance at most."""
    for window in cold_windows(story):
        if window.excess > CHANCE_ROOTS and window.knowing >= KNOWING_SHARE:
            most = f"{window.allowed:.1f} and chance"
            yield f"{window.at:.3f} server {window.server} was sent {window.pushed:.1f} cold, for {most}"


def retry_bound(story: Trace) -> Iterator[str]:
    """Further dispatches of a node are at most a fifth of its first ones over any span of 10 s."""
    firsts: dict[int, deque[float]] = defaultdict(deque)
    others: dict[int, deque[float]] = defaultdict(deque)
    for row in story.rows:
        if not isinstance(row, AttemptSent):
            continue
        (others if row.attempt else firsts)[row.node].append(row.at)
        for times in (firsts[row.node], others[row.node]):
            while times and times[0] < row.at - BOUND_SPAN:
                times.popleft()
        if row.attempt and len(others[row.node]) > RETRY_SHARE * len(firsts[row.node]):
            yield f"{row.at:.3f} node {row.node} has sent {len(others[row.node])} again in 10 s"


def probe_bound(story: Trace) -> Iterator[str]:
    """A node probes at least every 5 s, and once for ten first sends."""
    last: dict[int, float] = {}
    unprobed: dict[int, int] = defaultdict(int)
    for row in story.rows:
        if isinstance(row, RequestAccepted | EndpointNotified):
            last.setdefault(row.node, row.at)
        elif isinstance(row, ProbeSent):
            last[row.node], unprobed[row.node] = row.at, 0
        elif isinstance(row, AttemptSent) and not row.attempt:
            unprobed[row.node] += 1
            if unprobed[row.node] == 1 / PROBE_SHARE + 1:
                yield f"{row.at:.3f} node {row.node} has sent ten first times without a probe"
        node = _node(row)
        if node in last and row.at - last[node] > PROBE_SPAN + story.deadline_slack:
            yield f"{row.at:.3f} node {node} has not probed for {row.at - last[node]:.1f} s"
            last[node] = row.at


def _node(row: TraceRow) -> int:
    return -1 if isinstance(row, ServerOverloaded | ColdLoadReceived | EndpointPublished) else row.node


class Use(NamedTuple):
    """Dispatches out over a span."""

    peak: int  # the most at one moment
    mean: float  # over its seconds


def limit_held(rows: Iterable[TraceRow], most: int, slack: float = 0.0) -> Iterator[str]:
    """A hard limit: over all nodes together no more than `most` dispatches are ever out.

    What goes over for `slack` seconds or less is forgiven: on sockets the two ends of a connection see its
    end at different moments.
    """
    rows = tuple(rows)
    # Guards against blaming a run for its end: how long such an excess lasts nobody saw.
    latest = rows[-1].at - slack if rows else 0.0
    out, peak, since = 0, 0, 0.0
    for at, change in _changes(rows):
        was, out = out, out + change
        if was <= most < out:
            peak, since = out, at
        elif out <= most < was and at - since > slack and since <= latest:
            yield f"{since:.3f} {peak} are out where {most} may be, for {at - since:.3f} s"
        peak = max(peak, out)


def use(rows: Iterable[TraceRow], since: float, until: float) -> Use:
    """What was out from `since` to `until`, seconds on the rows' clock."""
    peak, area, reached, out = 0, 0.0, since, 0
    for at, change in [*_changes(rows), (inf, 0)]:
        end = min(at, until)
        if end > reached:
            peak = max(peak, out)
            area += out * (end - reached)
            reached = end
        out += change
    return Use(peak, area / (until - since))


def _changes(rows: Iterable[TraceRow]) -> list[tuple[float, int]]:
    """By how many more or fewer are out from which moment on, in order of time."""
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


def breaches(story: Trace) -> list[str]:
    """All that was broken, each with the checker's name."""
    return [f"{checker.__name__}: {text}" for checker in CHECKERS for text in checker(story)]
