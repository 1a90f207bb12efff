"""The invariants that a soak run is judged by, from its observations alone.

It shares no code with the node, so that it does not share its faults.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import inf, sqrt

from notchjunction.soak.events import Attempt, ColdStart, Disposition, Effect, Exchange, Journal, RequestId

RESPONSE_SLACK_S = (
    0.5  # s past its deadline up to which an answer only earns nothing; later it counts as lost
)
CANCEL_SLACK_S = 0.1  # s after its client closed from which no attempt may begin
DEADLINE_SLACK_S = 0.15  # s by which the time told to a backend may exceed what the client has left
DRAIN_GRACE_S = 0.55  # s after a node was notified within which it may still send; the rule's, on sockets
UPGRADE_GRACE_S = 2.0  # s after the later process's yes from which word to either of a node's two binds both
NOTIFICATION_LIMIT_S = 6.0  # s after discovery had a change and could be reached from which it counts
UNREAD_SPAN_S = 0.05  # s after its last byte within which a close may have crossed a request
NETWORK_SLACK_S = 0.02  # s that a byte may take on loopback between two busy processes
SMALL_BUDGET = 30  # calls under which a cold backend's budget is widened by three roots instead of two


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken invariant."""

    invariant: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.invariant} at {self.at:.3f}: {self.text}"


@dataclass(frozen=True, slots=True)
class Limits:
    """What the settings of the run allow."""

    key_window: float  # s for which a zone remembers a key
    cold_time: float  # s until a backend is warm
    cold_share: float  # of its capacity that a backend has as it starts
    fall_multiple: float
    fall_span: float  # s
    capacity: float  # calls a second of a warm backend


Check = Callable[[Journal, Limits], Iterator[Violation]]


def violations(journal: Journal, limits: Limits) -> list[Violation]:
    """All that was broken, in order of time."""
    found = [violation for check in CHECKS for violation in check(journal, limits)]
    return sorted(found, key=lambda violation: violation.at)


def attempts_by_request(journal: Journal) -> Mapping[RequestId, list[Attempt]]:
    found: dict[RequestId, list[Attempt]] = defaultdict(list)
    for attempt in journal.attempts:
        found[attempt.request].append(attempt)
    return found


def every_request_is_answered(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """Each request that a node took gets one whole answer, at the latest half a second past its deadline."""
    attempts = attempts_by_request(journal)
    killed = _kills_without_notice(journal)
    for each in journal.exchanges:
        if each.malformed or each.sent_at is None or each.client_left_at is not None:
            continue
        due = each.sent_at + each.deadline_seconds + RESPONSE_SLACK_S
        ended = each.ended_at if each.ended_at is not None else each.closed_at
        if any(each.sent_at <= at <= (ended or inf) + 1.0 for at in killed.get(each.node, ())):
            continue
        slack = journal.lateness(each.sent_at, due) + journal.held_up(each.node, each.sent_at, due)
        if each.status is not None:
            assert each.ended_at is not None
            if each.ended_at > due + slack:
                yield Violation(
                    "lost", each.ended_at, f"{_name(each)} answered {each.ended_at - due:.3f} s late"
                )
        elif each.closed_at is not None:
            if each.answer_begun and each.request in journal.cut_by_backend:
                continue  # the client can tell that it is not whole, and the node is not to blame
            forwarded = attempts.get(each.request, [])
            unread = each.closed_at <= each.sent_at + UNREAD_SPAN_S + slack
            if forwarded:
                yield Violation("lost", each.closed_at, f"{_name(each)} forwarded, then closed unanswered")
            elif not unread:
                yield Violation("lost", each.closed_at, f"{_name(each)} read, then closed unanswered")
        elif each.ended_at is not None:
            yield Violation("lost", each.ended_at, f"{_name(each)} got no answer by its deadline")


def answers_are_what_a_backend_made(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A success carries the body that some backend made for this very request."""
    for each in journal.exchanges:
        if (
            each.status == 200
            and not each.malformed
            and each.body not in journal.answers_made.get(each.request, ())
        ):
            assert each.ended_at is not None
            yield Violation(
                "lost", each.ended_at, f"{_name(each)} answered with {each.body[:60]!r}, made by nobody"
            )


def nothing_is_sent_after_its_end(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """No attempt begins after its request was answered, or over 0.1 s after its client closed."""
    attempts = attempts_by_request(journal)
    for each in journal.exchanges:
        left = each.client_left_at
        for attempt in attempts.get(each.request, ()):
            late = journal.lateness(attempt.first_byte_at, attempt.last_byte_at) + NETWORK_SLACK_S
            late += journal.held_up(each.node, attempt.first_byte_at - 1.0, attempt.first_byte_at)
            if left is not None and attempt.first_byte_at > left + CANCEL_SLACK_S + late:
                after = attempt.first_byte_at - left
                yield Violation(
                    "lost", attempt.first_byte_at, f"{_name(each)} sent {after:.3f} s after its client closed"
                )
            answered = each.ended_at if each.status is not None else None
            if answered is not None and attempt.first_byte_at > answered + late:
                yield Violation("lost", attempt.first_byte_at, f"{_name(each)} sent after its answer")


def deadlines_told_are_true(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """The time left that a backend is told is at most what the client has left, with 0.15 s of slack."""
    by_request = {each.request: each for each in journal.exchanges}
    for attempt in journal.attempts:
        each = by_request.get(attempt.request)
        if each is None or each.sent_at is None:
            continue
        left = each.sent_at + each.deadline_seconds - attempt.first_byte_at
        slack = DEADLINE_SLACK_S + NETWORK_SLACK_S + journal.lateness(each.sent_at, attempt.first_byte_at)
        slack += journal.held_up(each.node, each.sent_at, attempt.first_byte_at)
        if attempt.told_seconds > left + slack:
            text = f"{_name(each)} told {attempt.told_seconds:.3f} s with {left:.3f} s left"
            yield Violation("lost", attempt.first_byte_at, text)


def effects_happen_at_most_once(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """An unsafe request executes once; a keyed one again only where, and while, its repeat is dropped."""
    attempts = attempts_by_request(journal)
    for each in journal.exchanges:
        executed = [one for one in attempts.get(each.request, ()) if one.disposition is Disposition.EXECUTED]
        executed.sort(key=lambda one: one.last_byte_at)
        for again in executed[1:]:
            if each.effect is Effect.UNSAFE:
                yield Violation(
                    "duplicate", again.last_byte_at, f"{_name(each)} executed again at {again.backend}"
                )
            elif each.effect is Effect.KEYED:
                first = executed[0]
                late = journal.lateness(first.first_byte_at, again.last_byte_at)
                after = again.last_byte_at - first.last_byte_at
                if again.zone != first.zone:
                    text = f"{_name(each)} executed in {first.zone} and {again.zone}"
                    yield Violation("duplicate", again.last_byte_at, text)
                elif after > limits.key_window + late:
                    text = f"{_name(each)} executed again {after:.3f} s later, past its window"
                    yield Violation("duplicate", again.last_byte_at, text)
        refused = each.status in (429, 503) and each.effect is not Effect.SAFE
        if refused and executed:
            assert each.ended_at is not None
            yield Violation("duplicate", each.ended_at, f"{_name(each)} refused though it was executed")


def nothing_goes_to_drained_backends(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """Past the grace after a node was notified, or counts as notified, it sends nothing to that backend."""
    nodes = {each.request: each.node for each in journal.exchanges}
    notified = _drained_since(journal)
    for attempt in journal.attempts:
        node = nodes.get(attempt.request)
        if node is None:
            continue
        at = attempt.first_byte_at
        late = journal.lateness(at - DRAIN_GRACE_S, at) + NETWORK_SLACK_S
        since = _binding(journal, node, notified(node, attempt.backend, at))
        if since is not None and at > since + DRAIN_GRACE_S + late:
            text = f"{node} sent {attempt.request} to {attempt.backend}, notified {at - since:.3f} s ago"
            yield Violation("drain", at, text)


def _binding(journal: Journal, node: str, since: float | None) -> float | None:
    """The same, or what comes later: when it binds both processes of a node, where two ran side by side."""
    for upgrade in journal.upgrades:
        binds_at = upgrade.ready_at + UPGRADE_GRACE_S
        if since is not None and upgrade.node == node and upgrade.began_at <= since < binds_at:
            since = binds_at
    return since


def cold_backends_are_spared(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """All nodes that were told of it stay within a cold backend's budget over each span, with the slack."""
    arrivals: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in journal.attempts:
        arrivals[attempt.backend].append(attempt)
    knows = _knows_start(journal)
    for start in journal.cold_starts:
        times = sorted(
            attempt.last_byte_at
            for attempt in arrivals.get(start.backend, ())
            if attempt.last_byte_at >= start.at and knows(attempt, start)
        )
        for index, at in enumerate(times):
            age = at - start.at
            if age > limits.cold_time:
                break
            warm = limits.cold_share + (1 - limits.cold_share) * age / limits.cold_time
            budget = limits.fall_multiple * limits.capacity * warm * limits.fall_span
            roots = 3 * sqrt(budget) + 3 if budget < SMALL_BUDGET else 2 * sqrt(budget) + 2
            sent = index + 1 - bisect_right(times, at - limits.fall_span)
            if sent > budget + roots:
                text = f"{start.backend} got {sent} calls cold, for {budget:.1f} and {roots:.1f} of chance"
                yield Violation("failback", at, text)
                break


def _knows_start(journal: Journal) -> Callable[[Attempt, ColdStart], bool]:
    """Whether the node of an attempt was told that its backend started, or counts as told."""
    nodes = {each.request: each.node for each in journal.exchanges}
    told: dict[tuple[str, str], list[float]] = defaultdict(list)
    for row in journal.notified:
        told[row.node, row.backend].append(row.at)

    def knows(attempt: Attempt, start: ColdStart) -> bool:
        at = attempt.first_byte_at
        times = told.get((nodes.get(attempt.request, ""), start.backend), [])
        return at >= start.at + NOTIFICATION_LIMIT_S or any(start.at <= heard <= at for heard in times)

    return knows


def nodes_end_soundly(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A node ends with 0 after SIGTERM and never by itself, and fails at nothing of its own."""
    for killed in journal.killed:
        if killed.terminated_at is None and killed.exit_code != -9:
            yield Violation("crash", killed.at, f"{killed.node} ended by itself with {killed.exit_code}")
        elif killed.terminated_at is not None and killed.exit_code not in (0, -9):
            yield Violation("crash", killed.at, f"{killed.node} ended with {killed.exit_code} after SIGTERM")
    for error in journal.node_errors:
        yield Violation("failure", 0.0, error)


CHECKS: tuple[Check, ...] = (
    every_request_is_answered,
    answers_are_what_a_backend_made,
    nothing_is_sent_after_its_end,
    deadlines_told_are_true,
    effects_happen_at_most_once,
    nothing_goes_to_drained_backends,
    cold_backends_are_spared,
    nodes_end_soundly,
)


def _name(each: Exchange) -> str:
    return f"{each.request} ({each.effect.value}, at {each.node}, sent {each.sent_at or 0:.3f})"


def _kills_without_notice(journal: Journal) -> Mapping[str, list[float]]:
    """By node, when it was killed outright: what it held then is nobody's fault."""
    found: dict[str, list[float]] = defaultdict(list)
    for killed in journal.killed:
        if killed.terminated_at is None and killed.exit_code == -9:
            found[killed.node].append(killed.at)
    return found


def _drained_since(journal: Journal) -> Callable[[str, str, float], float | None]:
    """For a node, a backend and a moment: since when the node counts as notified that it drains."""
    told: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for row in journal.notified:
        told[row.node, row.backend].append((row.at, inf if row.active else row.at))
    counts = _counted_notifications(journal)

    def since(node: str, backend: str, at: float) -> float | None:
        rows = told.get((node, backend), [])
        index = bisect_right([row[0] for row in rows], at)
        heard = inf
        for when, drained in rows[:index]:
            heard = inf if drained == inf else min(heard, when)
        last_word = rows[index - 1][0] if index else -inf
        counted = counts(node, backend, at)
        if counted is not None and counted < last_word and heard == inf:
            counted = None  # it was told since that the backend is active
        earliest = min(heard, counted if counted is not None else inf)
        return earliest if earliest < inf else None

    return since


def _counted_notifications(journal: Journal) -> Callable[[str, str, float], float | None]:
    """The same whether or not the node heard: 6 s after discovery had it and could be reached by the node."""
    changes: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for row in journal.published:
        changes[row.backend].append((row.at, row.active))
    reached: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for reach in journal.reachable:
        reached[reach.node].append((reach.at, reach.reachable))

    def counted(node: str, backend: str, at: float) -> float | None:
        drained: float | None = None
        for when, active in changes.get(backend, ()):
            if when > at:
                break
            drained = None if active else (when if drained is None else drained)
        if drained is None:
            return None
        began: float | None = None
        for when, reachable in reached.get(node, ()):
            if when > at:
                break
            if began is not None and when - max(began, drained) >= NOTIFICATION_LIMIT_S:
                break  # it counts already, whatever came later
            began = when if reachable else None
        if began is None:
            return None
        due = max(began, drained) + NOTIFICATION_LIMIT_S
        return due if due <= at else None

    return counted
