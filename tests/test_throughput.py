"""Tests of the throughput estimates: rate, capacity, stability of latency, and the served rate."""

from __future__ import annotations

import pytest

from notchjunction.balancing.throughput import (
    MIN_RATE_SPAN_S,
    MIN_SAMPLES,
    MIN_SERVED_SHARE,
    RATE_SPAN_S,
    SERVED_SPAN_S,
    STABLE_RATIO,
    ServedRate,
    ThroughputEstimate,
)

NOW = 1000.0


def estimate_after(responses: int, latency: float = 0.1, recorded_at: float = NOW) -> ThroughputEstimate:
    """Return an estimate of a process that started at NOW, after responses at one time."""
    estimate = ThroughputEstimate(NOW)
    for _ in range(responses):
        estimate.record_success(1.0, latency, recorded_at)
    return estimate


def estimate_with_medians(*medians: float) -> ThroughputEstimate:
    """Return an estimate with the given median latencies (s), one for each span."""
    estimate = ThroughputEstimate(NOW)
    for number, latency in enumerate(medians):
        for _ in range(MIN_SAMPLES):
            estimate.record_latency(latency, NOW + number * RATE_SPAN_S)
    return estimate


@pytest.mark.parametrize(
    ("age", "rate"), [(0.0, 5.0), (RATE_SPAN_S, 5.0), (RATE_SPAN_S + 0.001, 0.0), (100.0, 0.0)]
)
def test_responses_count_for_the_rate_until_the_end_of_the_span(age: float, rate: float) -> None:
    assert estimate_after(10).rate(NOW + age) == rate


@pytest.mark.parametrize(
    ("elapsed", "span"),
    [
        (0.0, MIN_RATE_SPAN_S),
        (MIN_RATE_SPAN_S, MIN_RATE_SPAN_S),
        (0.5, 0.5),
        (RATE_SPAN_S, RATE_SPAN_S),
        (10.0, RATE_SPAN_S),
    ],
)
def test_the_capacity_of_a_new_process_is_calculated_over_its_run_time(elapsed: float, span: float) -> None:
    estimate = estimate_after(10, recorded_at=NOW + elapsed)
    assert estimate.capacity(0.5, 3.0, NOW + elapsed) == pytest.approx(10 * 0.5 / span)


@pytest.mark.parametrize(("median", "request_time"), [(0.01, 0.03), (0.1, 0.3), (0.2, 0.5), (5.0, 0.5)])
def test_capacity_is_limited_to_a_multiple_of_the_best_median_latency(
    median: float, request_time: float
) -> None:
    estimate = estimate_after(MIN_SAMPLES, latency=median, recorded_at=NOW + 1.0)
    estimate.record_success(1.0, 10.0, NOW + 1.0)
    assert estimate.capacity(0.5, 3.0, NOW + 1.0) == pytest.approx((MIN_SAMPLES + 1) * request_time)


def test_without_responses_there_is_neither_rate_nor_capacity() -> None:
    estimate = ThroughputEstimate(NOW)
    assert estimate.rate(NOW) == 0.0
    assert estimate.capacity(0.5, 3.0, NOW) == 0.0


@pytest.mark.parametrize(
    ("medians", "stable"),
    [
        ((), False),
        ((0.1,), False),
        ((0.1, 0.1), True),
        ((0.1, 0.1 * STABLE_RATIO), True),
        ((0.1, 0.1 * STABLE_RATIO + 0.001), False),
        ((0.3, 0.1), True),
        ((0.1, 0.3, 0.1), True),
    ],
)
def test_latency_is_stable_if_its_last_median_is_close_to_the_best(
    medians: tuple[float, ...], stable: bool
) -> None:
    assert estimate_with_medians(*medians).is_stable() is stable


def test_a_median_needs_enough_latencies() -> None:
    too_few, enough = estimate_after(MIN_SAMPLES - 1), estimate_after(MIN_SAMPLES)
    assert too_few.export_state(NOW)["calm"] == []
    assert enough.export_state(NOW)["calm"] == [0.1]


def test_the_exported_state_can_be_restored_in_another_process() -> None:
    exported = estimate_after(MIN_SAMPLES, recorded_at=NOW + 0.5).export_state(NOW + 1.0)
    restored = ThroughputEstimate(50.0)
    restored.restore_state(exported, 50.0)
    assert restored.export_state(50.0) == exported
    assert restored.rate(50.0 + RATE_SPAN_S - 0.5) == MIN_SAMPLES / RATE_SPAN_S
    assert restored.rate(50.0 + RATE_SPAN_S - 0.499) == 0.0


@pytest.mark.parametrize(
    ("state", "error"),
    [
        ({}, KeyError),
        ({"began": None, "answers": [], "calm": []}, TypeError),
        ({"began": 1.0, "answers": [[1.0]], "calm": []}, ValueError),
        ({"began": 1.0, "answers": [], "calm": ["slow"]}, ValueError),
    ],
)
def test_invalid_state_is_rejected(state: dict[str, object], error: type[Exception]) -> None:
    with pytest.raises(error):
        ThroughputEstimate(NOW).restore_state(state, NOW)


@pytest.mark.parametrize(
    ("elapsed", "span"),
    [
        (0.0, MIN_SERVED_SHARE * SERVED_SPAN_S),
        (1.0, MIN_SERVED_SHARE * SERVED_SPAN_S),
        (MIN_SERVED_SHARE * SERVED_SPAN_S, MIN_SERVED_SHARE * SERVED_SPAN_S),
        (20.0, 20.0),
        (SERVED_SPAN_S, SERVED_SPAN_S),
    ],
)
def test_the_served_rate_of_a_new_process_is_calculated_over_a_minimum_span(
    elapsed: float, span: float
) -> None:
    served = ServedRate(NOW)
    for _ in range(60):
        served.record_success(warm=4, active=4)
    served.advance(NOW + elapsed, warm=4)
    assert served.rate() == pytest.approx(15 / span)


def test_a_response_counts_until_the_end_of_the_span_of_warm_time() -> None:
    served = ServedRate(NOW)
    served.record_success(warm=1, active=2)
    served.advance(NOW + SERVED_SPAN_S, warm=1)
    assert served.rate() == 0.5 / SERVED_SPAN_S
    served.advance(NOW + SERVED_SPAN_S + 0.001, warm=1)
    assert served.rate() == 0.0


def test_time_without_a_warm_endpoint_does_not_count() -> None:
    served = ServedRate(NOW)
    served.record_success(warm=2, active=2)
    served.advance(NOW + 20.0, warm=2)
    rate = served.rate()
    served.advance(NOW + 1000.0, warm=0)
    assert rate == 0.5 / 20.0
    assert served.rate() == rate


def test_a_response_counts_only_while_an_endpoint_is_warm() -> None:
    served = ServedRate(NOW)
    served.record_success(warm=0, active=2)
    served.advance(NOW + 1.0, warm=2)
    assert served.rate() == 0.0


def test_the_rate_is_as_of_the_last_advance() -> None:
    served = ServedRate(NOW)
    assert served.rate() == 0.0
    served.record_success(warm=1, active=1)
    assert served.rate() == 0.0
    served.advance(NOW, warm=1)
    assert served.rate() == 1 / (MIN_SERVED_SHARE * SERVED_SPAN_S)
