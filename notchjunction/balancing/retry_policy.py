"""Which failures may be retried: fault ownership, the retry budget, and what a second run would do."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from notchjunction.balancing.interface import AttemptResult, DeduplicationScope, Idempotency, RequestClass
from notchjunction.balancing.recent_events import RecentEvents
from notchjunction.balancing.records import Attempt, Endpoint

RETRY_RATIO = 0.2  # retries per first attempt; the design's upper bound, rounded down, no floor

# Results of attempts that the endpoint surely did not run.
NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT)
# Results that are the endpoint's own fault, whatever stands behind it.
ENDPOINT_FAULTS = (
    AttemptResult.REJECTED,
    AttemptResult.NO_CONNECTION,
    AttemptResult.RESET,
    AttemptResult.MALFORMED,
)
# The same at the deepest tier, where no other service can have caused an error or a delay.
DEEPEST_TIER_FAULTS = (*ENDPOINT_FAULTS, AttemptResult.ERROR, AttemptResult.TIMED_OUT)


class RetryBudget:
    """Retries as a share of the first attempts, both over the last seconds."""

    def __init__(self) -> None:
        self.first_attempts = RecentEvents()
        self._retries = RecentEvents()

    def record_retry(self, now: float) -> None:
        """Count a retry against the budget."""
        self._retries.record(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether one more retry stays within the budget."""
        return self._retries.count(now) + 1 <= RETRY_RATIO * self.first_attempts.count(now)


def is_endpoint_fault(result: AttemptResult, deepest_tier: bool) -> bool:
    """Return whether the called endpoint itself caused this result."""
    return result in (DEEPEST_TIER_FAULTS if deepest_tier else ENDPOINT_FAULTS)


def repeatable_until(
    request_class: RequestClass, earlier: Iterable[Attempt], endpoint: Endpoint, guard: float
) -> float:
    """Return until when (s) an attempt at the endpoint cannot make an effect happen twice.

    It is inf where it never can, and -inf where it may at once. `guard` (s) is kept clear of the end of the
    deduplication window.
    """
    ran = [attempt for attempt in earlier if attempt.may_have_run]
    if not ran or request_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return -math.inf
    if not all(_are_deduplicated(request_class, attempt.endpoint, endpoint) for attempt in ran):
        return -math.inf
    return ran[0].sent_at + request_class.deduplication_window - guard


def is_rejection_safe(request_class: RequestClass, attempts: Sequence[Attempt]) -> bool:
    """Return whether the client may surely send the request again without a second effect."""
    idempotency = request_class.idempotency
    may_repeat = idempotency is Idempotency.IDEMPOTENT or (
        idempotency is Idempotency.KEYED and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    return may_repeat or not any(attempt.may_have_run for attempt in attempts)


def _are_deduplicated(request_class: RequestClass, first: Endpoint, second: Endpoint) -> bool:
    """Return whether the second endpoint drops what the first has run."""
    same_zone = first.entry.zone == second.entry.zone
    shared = same_zone and (
        request_class.deduplication_scope is DeduplicationScope.ZONE
        or first.entry.deduplication_group == second.entry.deduplication_group
    )
    return shared or request_class.deduplication_scope is DeduplicationScope.ALL
