"""The invariants that the observations of a soak run must satisfy.

The checks share no code with the node, so a fault in the node's code can't hide itself here.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import inf, sqrt

from notchjunction.soak.events import (
    LONG_RESPONSE_S,
    Attempt,
    BackendStart,
    Disposition,
    Effect,
    Exchange,
    Journal,
    RequestId,
)

# A response up to this long past the deadline earns nothing; a later one counts as lost.
RESPONSE_SLACK_S = 0.5
# No attempt may begin later than this after the client closed its connection.
CANCEL_SLACK_S = 0.1
# The time left that a node reports to a backend may exceed the client's by this much.
DEADLINE_SLACK_S = 0.15
# A node may still send to a backend for this long after it was notified that the backend drains; the
# protocol's limit for nodes on sockets.
DRAIN_GRACE_S = 0.55
# During an upgrade, a notification written to either process of a node applies to both processes from this
# long after the successor became ready.
UPGRADE_GRACE_S = 2.0
# A node counts as notified of a change this long after discovery had it and the node could reach discovery.
NOTIFICATION_LIMIT_S = 6.0
# A node that closes a connection this soon after the last byte of a request may not have read the request.
UNREAD_SPAN_S = 0.05
# A head that a backend sends this shortly before the deadline may not reach the client in time.
START_SLACK_S = 0.2
# Delay of a byte on loopback between two busy processes.
NETWORK_SLACK_S = 0.02
# Requests; a smaller budget of a backend in slow start is exceeded by chance more easily, so three square
# roots are added to it instead of two.
SMALL_BUDGET = 30


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant."""

    invariant: str
    at: float  # seconds on the journal's clock
    text: str

    def __str__(self) -> str:
        return f"{self.invariant} at {self.at:.3f}: {self.text}"


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits that the settings of the run define."""

    deduplication_window: float  # seconds for which the backends of a zone remember an idempotency key
    slow_start_time: float  # seconds from the start of a backend until it has its full capacity
    slow_start_share: float  # capacity of a backend right after its start, as a share of the full one
    overload_multiple: float  # times its capacity that a backend in slow start may receive
    overload_span: float  # seconds over which the requests to a backend in slow start are counted
    capacity: float  # requests per second of a backend past its slow start
    memory_mb: float = inf  # of a node's processes together
    connections_die: bool = False  # those of nodes to backends, for neither side's fault


Check = Callable[[Journal, Limits], Iterator[Violation]]


def violations(journal: Journal, limits: Limits) -> list[Violation]:
    """Returns all violations in order of time."""
    found = [violation for check in CHECKS for violation in check(journal, limits)]
    return sorted(found, key=lambda violation: violation.at)


def attempts_by_request(journal: Journal) -> Mapping[RequestId, list[Attempt]]:
    """Groups the attempts by request."""
    grouped: dict[RequestId, list[Attempt]] = defaultdict(list)
    for attempt in journal.attempts:
        grouped[attempt.request].append(attempt)
    return grouped


def check_requests_are_answered(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """Each request that a node read gets one complete response, at most 0.5 s past its deadline."""
    attempts = attempts_by_request(journal)
    kills = _kills_without_notice(journal)
    for exchange in journal.exchanges:
        if exchange.malformed or exchange.sent_at is None or exchange.cancelled_at is not None:
            continue
        due = exchange.sent_at + exchange.deadline_seconds + RESPONSE_SLACK_S
        ended_at = exchange.ended_at if exchange.ended_at is not None else exchange.closed_at
        if any(exchange.sent_at <= at <= (ended_at or inf) + 1.0 for at in kills.get(exchange.node, ())):
            continue
        slack = journal.harness_delay(exchange.sent_at, due) + journal.paused_seconds(
            exchange.node, exchange.sent_at, due
        )
        is_long = exchange.request in journal.long_responses
        if exchange.status is not None:
            assert exchange.ended_at is not None
            answered_at = exchange.begun_at if is_long and exchange.begun_at else exchange.ended_at
            if answered_at > due + slack:
                yield Violation(
                    "lost", answered_at, f"{_describe(exchange)} answered {answered_at - due:.3f} s late"
                )
        elif exchange.closed_at is not None:
            if exchange.response_begun and exchange.request in journal.truncated_by_backend:
                continue  # the backend truncated the response, and the close shows that to the client
            if exchange.response_begun and is_long and _may_be_truncated(journal, limits, exchange):
                continue  # the node could not finish it, and the close shows that to the client
            forwarded = attempts.get(exchange.request, [])
            unread = exchange.closed_at <= exchange.sent_at + UNREAD_SPAN_S + slack
            if forwarded:
                yield Violation(
                    "lost", exchange.closed_at, f"{_describe(exchange)} forwarded, then closed unanswered"
                )
            elif not unread:
                yield Violation(
                    "lost", exchange.closed_at, f"{_describe(exchange)} read, then closed unanswered"
                )
        elif exchange.ended_at is not None:
            yield Violation("lost", exchange.ended_at, f"{_describe(exchange)} timed out without a response")


def check_long_responses_are_not_cut_off(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A node does not end a long response that a backend still sends, unless its client has gone."""
    if limits.connections_die:
        return  # a connection that died looks to its backend as if the node had closed it
    exchanges = {exchange.request: exchange for exchange in journal.exchanges}
    for cut in journal.cut_responses:
        exchange = exchanges.get(cut.request)
        if exchange is None or exchange.sent_at is None:
            continue
        if exchange.status == 200 or (exchange.status is None and exchange.response_begun):
            continue  # its client gets the response of another attempt, whole or as far as that comes
        has_left = exchange.cancelled_at is not None or exchange.malformed
        slack = START_SLACK_S + journal.harness_delay(exchange.sent_at, cut.at)
        slack += journal.paused_seconds(exchange.node, exchange.sent_at, cut.at)
        is_too_late = cut.begun_at > exchange.sent_at + exchange.deadline_seconds - slack
        if has_left or is_too_late or _exits_between(journal, exchange.node, exchange.sent_at, cut.at + 1.0):
            continue
        time_left = exchange.sent_at + exchange.deadline_seconds - cut.at
        text = (
            f"{_describe(exchange)} cut off {cut.at - cut.begun_at:.3f} s after its long response began,"
            f" with {time_left:.3f} s left; status {exchange.status}"
        )
        yield Violation("lost", cut.at, text)


def check_memory_limits(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A node's processes use no more memory together than the limit."""
    for use in journal.memory_peaks.values():
        if use.megabytes > limits.memory_mb:
            text = f"{use.node} used {use.megabytes:.1f} MB of {limits.memory_mb:g}"
            yield Violation("memory", use.at, text)


def _may_be_truncated(journal: Journal, limits: Limits, exchange: Exchange) -> bool:
    """Whether a node may fail to finish a long response that a backend sends without a fault."""
    sent_at = exchange.sent_at or 0.0
    ends_by = sent_at + exchange.deadline_seconds + RESPONSE_SLACK_S + LONG_RESPONSE_S
    return limits.connections_die or _exits_between(journal, exchange.node, sent_at, ends_by)


def _exits_between(journal: Journal, node: str, since: float, until: float) -> bool:
    """Whether a process of the node was told to end, or exited, within this span."""
    return any(
        process_exit.node == node
        and (process_exit.terminated_at or process_exit.at) <= until
        and process_exit.at >= since
        for process_exit in journal.process_exits
    )


def check_bodies_are_from_backends(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A response with status 200 has the body that some backend generated for this request."""
    for exchange in journal.exchanges:
        if (
            exchange.status == 200
            and not exchange.malformed
            and exchange.body not in journal.response_bodies.get(exchange.request, ())
        ):
            assert exchange.ended_at is not None
            yield Violation(
                "lost",
                exchange.ended_at,
                f"{_describe(exchange)} answered with {exchange.body[:60]!r}, which no backend sent",
            )


def check_nothing_is_sent_after_the_end(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """No attempt begins after the response to its request, or over 0.1 s after its client closed."""
    attempts = attempts_by_request(journal)
    for exchange in journal.exchanges:
        cancelled_at = exchange.cancelled_at
        for attempt in attempts.get(exchange.request, ()):
            slack = journal.harness_delay(attempt.first_byte_at, attempt.last_byte_at) + NETWORK_SLACK_S
            slack += journal.paused_seconds(exchange.node, attempt.first_byte_at - 1.0, attempt.first_byte_at)
            if cancelled_at is not None and attempt.first_byte_at > cancelled_at + CANCEL_SLACK_S + slack:
                delay = attempt.first_byte_at - cancelled_at
                yield Violation(
                    "lost",
                    attempt.first_byte_at,
                    f"{_describe(exchange)} sent {delay:.3f} s after its client closed",
                )
            answered_at = exchange.ended_at if exchange.status is not None else None
            if answered_at is not None and attempt.first_byte_at > answered_at + slack:
                yield Violation(
                    "lost", attempt.first_byte_at, f"{_describe(exchange)} sent after its response"
                )


def check_reported_deadlines(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """The time left that a node reports to a backend exceeds the client's by at most 0.15 s."""
    exchanges = {exchange.request: exchange for exchange in journal.exchanges}
    for attempt in journal.attempts:
        exchange = exchanges.get(attempt.request)
        if exchange is None or exchange.sent_at is None:
            continue
        time_left = exchange.sent_at + exchange.deadline_seconds - attempt.first_byte_at
        slack = (
            DEADLINE_SLACK_S
            + NETWORK_SLACK_S
            + journal.harness_delay(exchange.sent_at, attempt.first_byte_at)
        )
        slack += journal.paused_seconds(exchange.node, exchange.sent_at, attempt.first_byte_at)
        if attempt.time_left_seconds > time_left + slack:
            text = (
                f"{_describe(exchange)} sent with a deadline of {attempt.time_left_seconds:.3f} s"
                f" when {time_left:.3f} s were left"
            )
            yield Violation("lost", attempt.first_byte_at, text)


def check_effects_happen_once(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A request without a key executes once; one with a key again only where backends deduplicate it.

    Backends deduplicate within a zone, for the length of the deduplication window.
    """
    attempts = attempts_by_request(journal)
    for exchange in journal.exchanges:
        executed = [
            attempt
            for attempt in attempts.get(exchange.request, ())
            if attempt.disposition is Disposition.EXECUTED
        ]
        executed.sort(key=lambda attempt: attempt.last_byte_at)
        for repeat in executed[1:]:
            if exchange.effect is Effect.UNSAFE:
                yield Violation(
                    "duplicate",
                    repeat.last_byte_at,
                    f"{_describe(exchange)} executed again at {repeat.backend}",
                )
            elif exchange.effect is Effect.KEYED:
                first = executed[0]
                slack = journal.harness_delay(first.first_byte_at, repeat.last_byte_at)
                delay = repeat.last_byte_at - first.last_byte_at
                if repeat.zone != first.zone:
                    text = f"{_describe(exchange)} executed in {first.zone} and {repeat.zone}"
                    yield Violation("duplicate", repeat.last_byte_at, text)
                elif delay > limits.deduplication_window + slack:
                    text = (
                        f"{_describe(exchange)} executed again {delay:.3f} s later,"
                        " past its deduplication window"
                    )
                    yield Violation("duplicate", repeat.last_byte_at, text)
        rejected = exchange.status in (429, 503) and exchange.effect is not Effect.SAFE
        if rejected and executed:
            assert exchange.ended_at is not None
            yield Violation(
                "duplicate", exchange.ended_at, f"{_describe(exchange)} rejected although it was executed"
            )


def check_draining_backends_get_nothing(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A node sends nothing to a draining backend once the grace after its notification has passed."""
    nodes = {exchange.request: exchange.node for exchange in journal.exchanges}
    notified_since = _notified_of_drain(journal)
    for attempt in journal.attempts:
        node = nodes.get(attempt.request)
        if node is None:
            continue
        at = attempt.first_byte_at
        slack = journal.harness_delay(at - DRAIN_GRACE_S, at) + NETWORK_SLACK_S
        since = _after_upgrade(journal, node, notified_since(node, attempt.backend, at))
        if since is not None and at > since + DRAIN_GRACE_S + slack:
            text = f"{node} sent {attempt.request} to {attempt.backend}, notified {at - since:.3f} s ago"
            yield Violation("drain", at, text)


def _after_upgrade(journal: Journal, node: str, since: float | None) -> float | None:
    """Postpones a notification received during an upgrade until it applies to both processes of the node."""
    for upgrade in journal.upgrades:
        applies_at = upgrade.ready_at + UPGRADE_GRACE_S
        if since is not None and upgrade.node == node and upgrade.began_at <= since < applies_at:
            since = applies_at
    return since


def check_slow_start_budgets(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """All nodes together keep within the budget of a backend in slow start.

    The check counts the attempts of nodes that were notified of its start, over each span of `overload_span`
    seconds. Random arrivals may exceed the budget by two or three times its square root.
    """
    arrivals: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in journal.attempts:
        arrivals[attempt.backend].append(attempt)
    was_notified = _notified_of_start(journal)
    for start in journal.backend_starts:
        times = sorted(
            attempt.last_byte_at
            for attempt in arrivals.get(start.backend, ())
            if attempt.last_byte_at >= start.at and was_notified(attempt, start)
        )
        for index, at in enumerate(times):
            age = at - start.at
            if age > limits.slow_start_time:
                break
            share = limits.slow_start_share + (1 - limits.slow_start_share) * age / limits.slow_start_time
            budget = limits.overload_multiple * limits.capacity * share * limits.overload_span
            tolerance = 3 * sqrt(budget) + 3 if budget < SMALL_BUDGET else 2 * sqrt(budget) + 2
            count = index + 1 - bisect_right(times, at - limits.overload_span)
            if count > budget + tolerance:
                text = (
                    f"{start.backend} got {count} requests in slow start,"
                    f" over a budget of {budget:.1f} plus {tolerance:.1f} for chance"
                )
                yield Violation("failback", at, text)
                break


def _notified_of_start(journal: Journal) -> Callable[[Attempt, BackendStart], bool]:
    """Returns a function that tells whether an attempt's node was notified of a start, or counts as such."""
    nodes = {exchange.request: exchange.node for exchange in journal.exchanges}
    notifications: dict[tuple[str, str], list[float]] = defaultdict(list)
    for notification in journal.notified:
        notifications[notification.node, notification.backend].append(notification.at)

    def was_notified(attempt: Attempt, start: BackendStart) -> bool:
        at = attempt.first_byte_at
        times = notifications.get((nodes.get(attempt.request, ""), start.backend), [])
        return at >= start.at + NOTIFICATION_LIMIT_S or any(
            start.at <= notified_at <= at for notified_at in times
        )

    return was_notified


def check_nodes_exit_cleanly(journal: Journal, limits: Limits) -> Iterator[Violation]:
    """A node exits only after SIGTERM, and with 0; it logs no error."""
    for process_exit in journal.process_exits:
        if process_exit.terminated_at is None and process_exit.exit_code != -9:
            yield Violation(
                "crash",
                process_exit.at,
                f"{process_exit.node} exited by itself with {process_exit.exit_code}",
            )
        elif process_exit.terminated_at is not None and process_exit.exit_code not in (0, -9):
            yield Violation(
                "crash",
                process_exit.at,
                f"{process_exit.node} exited with {process_exit.exit_code} after SIGTERM",
            )
    for error in journal.node_errors:
        yield Violation("failure", 0.0, error)


CHECKS: tuple[Check, ...] = (
    check_requests_are_answered,
    check_bodies_are_from_backends,
    check_nothing_is_sent_after_the_end,
    check_reported_deadlines,
    check_effects_happen_once,
    check_draining_backends_get_nothing,
    check_slow_start_budgets,
    check_nodes_exit_cleanly,
    check_long_responses_are_not_cut_off,
    check_memory_limits,
)


def _describe(exchange: Exchange) -> str:
    return (
        f"{exchange.request} ({exchange.effect.value}, at {exchange.node}, sent {exchange.sent_at or 0:.3f})"
    )


def _kills_without_notice(journal: Journal) -> Mapping[str, list[float]]:
    """Returns the times of SIGKILLs without a SIGTERM by node; requests in flight then may be lost."""
    kills: dict[str, list[float]] = defaultdict(list)
    for process_exit in journal.process_exits:
        if process_exit.terminated_at is None and process_exit.exit_code == -9:
            kills[process_exit.node].append(process_exit.at)
    return kills


def _notified_of_drain(journal: Journal) -> Callable[[str, str, float], float | None]:
    """Returns a function of a node, a backend and a time.

    It returns since when the node is notified, or counts as notified, that the backend drains; None where it
    isn't.
    """
    notifications: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for notification in journal.notified:
        notifications[notification.node, notification.backend].append(
            (notification.at, inf if notification.active else notification.at)
        )
    counted_since = _counted_notifications(journal)

    def since(node: str, backend: str, at: float) -> float | None:
        rows = notifications.get((node, backend), [])
        index = bisect_right([row[0] for row in rows], at)
        notified_at = inf
        for row_at, drained_at in rows[:index]:
            notified_at = inf if drained_at == inf else min(notified_at, row_at)
        last_notified_at = rows[index - 1][0] if index else -inf
        counted_at = counted_since(node, backend, at)
        if counted_at is not None and counted_at < last_notified_at and notified_at == inf:
            counted_at = None  # a later notification said that the backend is active
        earliest = min(notified_at, counted_at if counted_at is not None else inf)
        return earliest if earliest < inf else None

    return since


def _counted_notifications(journal: Journal) -> Callable[[str, str, float], float | None]:
    """Returns a function of a node, a backend and a time, independent of actual notifications.

    It returns since when the node counts as notified that the backend drains: 6 s after discovery had the
    change and the node could reach discovery.
    """
    changes: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for published in journal.published:
        changes[published.backend].append((published.at, published.active))
    reachability: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    for change in journal.reachable:
        reachability[change.node].append((change.at, change.reachable))

    def counted_since(node: str, backend: str, at: float) -> float | None:
        drained_at: float | None = None
        for changed_at, active in changes.get(backend, ()):
            if changed_at > at:
                break
            drained_at = None if active else (changed_at if drained_at is None else drained_at)
        if drained_at is None:
            return None
        reachable_since: float | None = None
        for changed_at, reachable in reachability.get(node, ()):
            if changed_at > at:
                break
            if (
                reachable_since is not None
                and changed_at - max(reachable_since, drained_at) >= NOTIFICATION_LIMIT_S
            ):
                break  # counts as notified already, whatever changed later
            reachable_since = changed_at if reachable else None
        if reachable_since is None:
            return None
        counted_at = max(reachable_since, drained_at) + NOTIFICATION_LIMIT_S
        return counted_at if counted_at <= at else None

    return counted_since
