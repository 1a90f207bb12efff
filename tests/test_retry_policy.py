"""Tests of the retry policy: the budget, which results are an endpoint's fault, and safe repeats."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from notchjunction.balancing.interface import AttemptResult, DeduplicationScope, Idempotency, RequestClass
from notchjunction.balancing.recent_events import EVENT_SPAN_S
from notchjunction.balancing.records import Attempt, Endpoint
from notchjunction.balancing.retry_policy import (
    RetryBudget,
    is_endpoint_fault,
    is_rejection_safe,
    repeatable_until,
)
from tests.helpers import endpoint_record

NOW = 1000.0
SENT_AT = 900.0
KEYED = RequestClass(1.0, 2.0, idempotency=Idempotency.KEYED, deduplication_window=5.0)


def attempt_at(endpoint: Endpoint, sent_at: float = SENT_AT, may_have_run: bool = True) -> Attempt:
    return Attempt(endpoint, sent_at, 1.0, reused_connection=False, may_have_run=may_have_run)


def budget_with(first_attempts: int, retries: int, recorded_at: float = NOW) -> RetryBudget:
    budget = RetryBudget()
    for _ in range(first_attempts):
        budget.first_attempts.record(recorded_at)
    for _ in range(retries):
        budget.record_retry(recorded_at)
    return budget


@pytest.mark.parametrize(
    ("first_attempts", "retries", "allowed"),
    [
        (0, 0, False),
        (4, 0, False),
        (5, 0, True),
        (5, 1, False),
        (9, 1, False),
        (10, 1, True),
        (10, 2, False),
        (100, 19, True),
        (100, 20, False),
    ],
)
def test_a_retry_is_allowed_only_within_a_fifth_of_first_attempts(
    first_attempts: int, retries: int, allowed: bool
) -> None:
    assert budget_with(first_attempts, retries).allows_retry(NOW) is allowed


def test_checking_the_budget_does_not_use_it() -> None:
    budget = budget_with(5, 0)
    assert [budget.allows_retry(NOW) for _ in range(3)] == [True, True, True]


def test_first_attempts_count_until_the_end_of_the_span() -> None:
    budget = budget_with(5, 0)
    assert budget.allows_retry(NOW + EVENT_SPAN_S)
    assert not budget.allows_retry(NOW + EVENT_SPAN_S + 0.001)


def test_a_retry_before_the_span_uses_no_budget() -> None:
    budget = budget_with(0, 1)
    for _ in range(5):
        budget.first_attempts.record(NOW + 1)
    assert not budget.allows_retry(NOW + EVENT_SPAN_S)
    assert budget.allows_retry(NOW + EVENT_SPAN_S + 0.001)


@pytest.mark.parametrize(
    ("result", "at_any_tier", "at_deepest_tier"),
    [
        (AttemptResult.SUCCEEDED, False, False),
        (AttemptResult.ERROR, False, True),
        (AttemptResult.REJECTED, True, True),
        (AttemptResult.TIMED_OUT, False, True),
        (AttemptResult.NO_CONNECTION, True, True),
        (AttemptResult.RESET, True, True),
        (AttemptResult.MALFORMED, True, True),
        (AttemptResult.CANCELLED, False, False),
        (AttemptResult.NOT_SENT, False, False),
        (AttemptResult.UNKNOWN, False, False),
    ],
)
def test_errors_and_timeouts_are_the_endpoints_fault_only_at_the_deepest_tier(
    result: AttemptResult, at_any_tier: bool, at_deepest_tier: bool
) -> None:
    assert is_endpoint_fault(result, deepest_tier=False) is at_any_tier
    assert is_endpoint_fault(result, deepest_tier=True) is at_deepest_tier


def test_only_unsent_and_rejected_attempts_certainly_never_ran() -> None:
    never_ran = {result for result in AttemptResult if result.never_ran}
    assert never_ran == {AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT}


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_request_that_never_ran_may_be_repeated_without_limit(idempotency: Idempotency) -> None:
    request_class = replace(KEYED, idempotency=idempotency)
    never_ran = [attempt_at(endpoint_record(1), may_have_run=False)]
    assert repeatable_until(request_class, [], endpoint_record(2), 0.5) == inf
    assert repeatable_until(request_class, never_ran, endpoint_record(2, zone=1), 0.5) == inf


@pytest.mark.parametrize(
    ("idempotency", "until"), [(Idempotency.IDEMPOTENT, inf), (Idempotency.NON_IDEMPOTENT, -inf)]
)
def test_without_a_key_only_idempotency_decides_whether_a_request_may_be_repeated(
    idempotency: Idempotency, until: float
) -> None:
    request_class = replace(KEYED, idempotency=idempotency, deduplication_scope=DeduplicationScope.ALL)
    endpoint = endpoint_record()
    assert repeatable_until(request_class, [attempt_at(endpoint)], endpoint, 0.5) == until


@pytest.mark.parametrize(
    ("scope", "zone", "group", "deduplicated"),
    [
        (DeduplicationScope.ALL, 1, 1, True),
        (DeduplicationScope.ZONE, 0, 1, True),
        (DeduplicationScope.ZONE, 1, 0, False),
        (DeduplicationScope.GROUP, 0, 0, True),
        (DeduplicationScope.GROUP, 0, 1, False),
        (DeduplicationScope.GROUP, 1, 0, False),
    ],
)
def test_a_keyed_request_is_repeated_only_where_its_first_run_is_deduplicated(
    scope: DeduplicationScope, zone: int, group: int, deduplicated: bool
) -> None:
    request_class = replace(KEYED, deduplication_scope=scope)
    second = endpoint_record(2, zone=zone, group=group)
    until = repeatable_until(request_class, [attempt_at(endpoint_record(1))], second, 0.5)
    assert until == (SENT_AT + 5.0 - 0.5 if deduplicated else -inf)


def test_the_deduplication_window_runs_from_the_first_attempt_that_may_have_run() -> None:
    endpoint = endpoint_record()
    earlier = [
        attempt_at(endpoint, SENT_AT - 1, may_have_run=False),
        attempt_at(endpoint, SENT_AT),
        attempt_at(endpoint, SENT_AT + 1),
    ]
    assert repeatable_until(KEYED, earlier, endpoint, 0.0) == SENT_AT + 5.0


@pytest.mark.parametrize(("zone", "group"), [(1, 0), (0, 1)])
def test_endpoint_that_changes_its_group_leaves_its_earlier_runs_there(zone: int, group: int) -> None:
    """Guards against a second run where a new process is listed as the endpoint that has gone."""
    scope = DeduplicationScope.ZONE if zone else DeduplicationScope.GROUP
    request_class = replace(KEYED, deduplication_scope=scope)
    endpoint = endpoint_record()
    attempt = attempt_at(endpoint)
    endpoint.entry = endpoint_record(zone=zone, group=group).entry
    assert repeatable_until(request_class, [attempt], endpoint, 0.0) == -inf
    assert repeatable_until(request_class, [attempt], endpoint_record(1), 0.0) == SENT_AT + 5.0


def test_one_earlier_run_outside_the_deduplication_group_forbids_a_repeat() -> None:
    endpoint, other_endpoint = endpoint_record(1, group=1), endpoint_record(2, group=2)
    assert repeatable_until(KEYED, [attempt_at(endpoint), attempt_at(other_endpoint)], endpoint, 0.5) == -inf


@pytest.mark.parametrize(
    ("idempotency", "scope", "safe_after_a_run"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.GROUP, True),
        (Idempotency.KEYED, DeduplicationScope.ALL, True),
        (Idempotency.KEYED, DeduplicationScope.ZONE, False),
        (Idempotency.KEYED, DeduplicationScope.GROUP, False),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, False),
    ],
)
def test_a_rejection_is_safe_where_a_second_run_has_no_effect_or_no_attempt_ran(
    idempotency: Idempotency, scope: DeduplicationScope, safe_after_a_run: bool
) -> None:
    request_class = replace(KEYED, idempotency=idempotency, deduplication_scope=scope)
    ran, never_ran = attempt_at(endpoint_record()), attempt_at(endpoint_record(), may_have_run=False)
    assert is_rejection_safe(request_class, [])
    assert is_rejection_safe(request_class, [never_ran])
    assert is_rejection_safe(request_class, [never_ran, ran]) is safe_after_a_run
