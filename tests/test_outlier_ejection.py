"""Tests of outlier ejection: which endpoints are outliers, how many are ejected, and for how long."""

from __future__ import annotations

from random import Random

import pytest

from notchjunction.balancing.outlier_ejection import (
    EJECTION_JITTER_S,
    MIN_EJECTION_S,
    RECENT_OUTCOMES,
    OutlierEjection,
    ejection_end,
)
from notchjunction.balancing.records import MAX_RECENT_OUTCOMES, Endpoint
from tests.helpers import endpoint_record

NOW = 1000.0


def record(ejection: OutlierEjection, endpoint: Endpoint, successes: int, failures: int) -> None:
    for success in [True] * successes + [False] * failures:
        ejection.record_outcome(endpoint, success, 0.1)


@pytest.mark.parametrize(
    ("successes", "failures", "outlier"),
    [(8, 0, False), (6, 2, False), (5, 3, True), (0, 8, True), (0, 1, True), (1, 0, False)],
)
def test_an_endpoint_is_an_outlier_if_its_success_rate_is_much_lower_than_that_of_others(
    successes: int, failures: int, outlier: bool
) -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    record(ejection, endpoint_record(2), 20, 0)
    record(ejection, endpoint, successes, failures)
    assert ejection.is_outlier(endpoint, ejected_count=0, active_count=10) is outlier


@pytest.mark.parametrize(("others_succeeded", "outlier"), [(20, True), (8, True), (7, False), (0, False)])
def test_a_failing_endpoint_is_no_outlier_where_most_others_fail_too(
    others_succeeded: int, outlier: bool
) -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    record(ejection, endpoint_record(2), others_succeeded, 20 - others_succeeded)
    record(ejection, endpoint, 0, 8)
    assert ejection.is_outlier(endpoint, ejected_count=0, active_count=10) is outlier


def test_without_outcomes_of_others_the_typical_success_rate_is_one() -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    record(ejection, endpoint, 1, 1)
    assert ejection.is_outlier(endpoint, ejected_count=0, active_count=10)


@pytest.mark.parametrize(
    ("ejected", "active", "outlier"),
    [(0, 1, True), (4, 10, True), (5, 10, False), (1, 3, True), (2, 3, False)],
)
def test_no_endpoint_is_an_outlier_once_half_of_the_active_ones_are_ejected(
    ejected: int, active: int, outlier: bool
) -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    record(ejection, endpoint_record(2), 20, 0)
    record(ejection, endpoint, 0, 8)
    assert ejection.is_outlier(endpoint, ejected, active) is outlier


def test_only_recent_outcomes_are_kept_and_a_latency_of_zero_is_ignored() -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    record(ejection, endpoint, RECENT_OUTCOMES + 10, 0)
    ejection.record_outcome(endpoint, False, 0.0)
    assert len(ejection.outcomes) == RECENT_OUTCOMES
    assert list(endpoint.recent_successes) == [True] * (MAX_RECENT_OUTCOMES - 1) + [False]
    assert list(endpoint.recent_latencies) == [0.1] * MAX_RECENT_OUTCOMES


@pytest.mark.parametrize(("remaining", "ejected"), [(0.001, True), (0.0, False), (-1.0, False)])
def test_an_endpoint_is_ejected_until_the_end_of_its_ejection(remaining: float, ejected: bool) -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    ejection.eject(endpoint, NOW + remaining)
    assert ejection.ejected(NOW, lambda _: True) == ([endpoint] if ejected else [])


def test_an_ejected_endpoint_out_of_use_is_not_returned_but_stays_ejected() -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    ejection.eject(endpoint, NOW + 1.0)
    assert ejection.ejected(NOW, lambda _: False) == []
    assert ejection.ejected(NOW, lambda _: True) == [endpoint]


def test_an_ejection_of_the_previous_process_can_be_restored() -> None:
    ejection, endpoint = OutlierEjection(), endpoint_record(1)
    endpoint.ejected_until = NOW + 1.0
    assert ejection.ejected(NOW, lambda _: True) == []
    ejection.restore(endpoint)
    assert ejection.ejected(NOW, lambda _: True) == [endpoint]
    assert ejection.ejected(NOW + 1.0, lambda _: True) == []


def test_an_ejection_lasts_two_seconds_and_up_to_two_more_at_random() -> None:
    random = Random(7)
    durations = [ejection_end(0.0, random) for _ in range(1000)]
    assert MIN_EJECTION_S <= min(durations) < MIN_EJECTION_S + 0.05
    assert MIN_EJECTION_S + EJECTION_JITTER_S - 0.05 < max(durations) <= MIN_EJECTION_S + EJECTION_JITTER_S
    assert ejection_end(NOW, Random(3)) == NOW + MIN_EJECTION_S + Random(3).uniform(0, EJECTION_JITTER_S)
