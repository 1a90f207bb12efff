"""Rules for retries: which failures an endpoint caused, the retry budget, and whether a retry is safe."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from notchjunction.balancing.interface import (
    AttemptResult,
    DeduplicationScope,
    EndpointEntry,
    Idempotency,
    RequestClass,
)
from notchjunction.balancing.recent_events import RecentEvents
from notchjunction.balancing.records import Attempt, Endpoint

# Retries per first attempt: the upper bound of the design. The count is rounded down, without a minimum.
RETRY_RATIO = 0.2

# Results that the endpoint itself caused, whatever services it depends on.
ENDPOINT_FAULTS = (
    AttemptResult.REJECTED,
    AttemptResult.NO_CONNECTION,
    AttemptResult.RESET,
    AttemptResult.MALFORMED,
)
# The same for endpoints of the deepest tier: they call no other service that could cause errors or delays.
DEEPEST_TIER_FAULTS = (*ENDPOINT_FAULTS, AttemptResult.ERROR, AttemptResult.TIMED_OUT)


class RetryBudget:
    """Limits retries to a share of the first attempts, both counted over the last `EVENT_SPAN_S`."""

    def __init__(self) -> None:
        self.first_attempts = RecentEvents()
        self._retries = RecentEvents()

    def record_retry(self, now: float) -> None:
        """Count a retry that is sent now."""
        self._retries.record(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether one more retry is within the budget."""
        return self._retries.count(now) + 1 <= RETRY_RATIO * self.first_attempts.count(now)


def is_endpoint_fault(result: AttemptResult, deepest_tier: bool) -> bool:
    """Return whether the endpoint itself, and no service behind it, caused this result."""
    return result in (DEEPEST_TIER_FAULTS if deepest_tier else ENDPOINT_FAULTS)


def repeatable_until(
    request_class: RequestClass, earlier_attempts: Iterable[Attempt], endpoint: Endpoint, safety_margin: float
) -> float:
    """Return until when (s) a further attempt at the endpoint cannot duplicate the request's effect.

    Args:
        request_class: the request's class.
        earlier_attempts: the request's attempts so far, oldest first.
        endpoint: where the further attempt would be sent.
        safety_margin: time (s) by which the result precedes the end of the deduplication window.

    Returns:
        inf if the effect can never be duplicated, -inf if no further attempt is safe.
    """
    possibly_run = [attempt for attempt in earlier_attempts if attempt.may_have_run]
    if not possibly_run or request_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return -math.inf
    if not all(_are_deduplicated(request_class, attempt.sent_to, endpoint.entry) for attempt in possibly_run):
        return -math.inf
    return possibly_run[0].sent_at + request_class.deduplication_window - safety_margin


def is_rejection_safe(request_class: RequestClass, attempts: Sequence[Attempt]) -> bool:
    """Return whether the client can retry a rejected request without duplicating its effect."""
    idempotency = request_class.idempotency
    is_repeatable = idempotency is Idempotency.IDEMPOTENT or (
        idempotency is Idempotency.KEYED and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    return is_repeatable or not any(attempt.may_have_run for attempt in attempts)


def _are_deduplicated(request_class: RequestClass, first: EndpointEntry, second: EndpointEntry) -> bool:
    """Return whether the second endpoint drops a repeat of a request that the first has run."""
    shares_deduplication = first.zone == second.zone and (
        request_class.deduplication_scope is DeduplicationScope.ZONE
        or first.deduplication_group == second.deduplication_group
    )
    return shares_deduplication or request_class.deduplication_scope is DeduplicationScope.ALL
