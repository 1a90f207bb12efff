"""Tests of the start times of endpoints on the node's clock, after steps of the wall clock."""

from __future__ import annotations

import json
from typing import Any

import pytest

from notchjunction.balancing.engine import (
    BalancerEngine,
    FailRequest,
    RejectRequest,
    RequestSpec,
    SendAttempt,
    SettingNames,
)
from notchjunction.balancing.interface import BalancerSettings, Idempotency, ListUpdate, RequestClass
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from notchjunction.discovery.start_times import MAX_LISTING_DELAY_S, MAX_TRACKED_ENDPOINTS, StartTimes

HOUR_S = 3600.0
NOW = 1_000_000.0  # s on the node's clock, which starts at the wall time of the node's start


@pytest.mark.parametrize("step", [-HOUR_S, -60.0, 0.0, 60.0, HOUR_S])
def test_a_new_start_time_is_converted_correctly_after_any_step_of_the_wall_clock(step: float) -> None:
    start_times = StartTimes(NOW)
    start_times.list_received(NOW)
    wall_time = NOW + 2.0 + step
    assert start_times.started_at("s", wall_time - 1.0, NOW + 2.0, wall_time) == pytest.approx(NOW + 1.0)


@pytest.mark.parametrize("step", [-HOUR_S, -60.0, 60.0, HOUR_S])
def test_after_a_step_between_a_start_and_its_report_the_endpoint_counts_as_just_started(step: float) -> None:
    start_times = StartTimes(NOW)
    start_times.list_received(NOW)
    assert start_times.started_at("s", NOW + 1.0, NOW + 2.0, NOW + 2.0 + step) == NOW + 2.0


@pytest.mark.parametrize("step", [-HOUR_S, 2.0, HOUR_S])
def test_a_first_list_after_a_step_does_not_make_a_cold_endpoint_warm(step: float) -> None:
    """The clock was right when the node started; the first list arrives after the step."""
    start_times = StartTimes(NOW)
    assert start_times.started_at("s", NOW + 2.0, NOW + 2.5, NOW + 2.5 + step) >= NOW + 2.0


def test_a_step_of_a_few_seconds_does_not_make_an_endpoint_warm_too_early() -> None:
    start_times = StartTimes(NOW)
    start_times.list_received(NOW)
    assert start_times.started_at("s", NOW + 1.0, NOW + 1.5, NOW + 1.5 + 2.0) >= NOW + 1.0


def test_a_recorded_start_time_does_not_change_with_later_clock_steps() -> None:
    start_times = StartTimes(NOW)
    start_times.list_received(NOW)
    recorded = start_times.started_at("s", NOW + 1.0, NOW + 2.0, NOW + 2.0)
    start_times.list_received(NOW + 2.0)
    assert start_times.started_at("s", NOW + 1.0, NOW + 50.0, NOW + 50.0 - HOUR_S) == recorded


def test_the_first_list_allows_for_a_clock_step_and_later_lists_for_a_listing_delay() -> None:
    start_times = StartTimes(NOW)
    assert start_times.started_at("old", NOW - HOUR_S - 500.0, NOW, NOW) == NOW - 500.0
    assert start_times.started_at("young", NOW - 500.0, NOW, NOW) == NOW
    assert start_times.started_at("always", 0.0, NOW, NOW) == 0.0
    start_times.list_received(NOW)
    late_start = NOW + 1.0 - (1.0 + MAX_LISTING_DELAY_S) + 0.1
    assert start_times.started_at("late", late_start, NOW + 1.0, NOW + 1.0) == pytest.approx(late_start)
    assert start_times.started_at("later", late_start - 0.2, NOW + 1.0, NOW + 1.0) == NOW + 1.0


def test_the_first_list_is_accepted_for_an_endpoint_that_started_after_this_process() -> None:
    start_times = StartTimes(NOW)
    assert start_times.started_at("s", NOW + 20.0, NOW + 25.0, NOW + 25.0) == NOW + 20.0


@pytest.mark.parametrize("step", [-HOUR_S, 0.0, HOUR_S])
def test_the_next_process_restores_the_ages_of_endpoints_whatever_its_clock_shows(step: float) -> None:
    """The ages are passed on as JSON; the list has start times in milliseconds."""
    previous = StartTimes(NOW)
    previous.list_received(NOW)
    started_at = NOW + 100.0 + 1 / 3
    assert previous.started_at("s", started_at, NOW + 101.0, NOW + 101.0) == pytest.approx(started_at)
    now = NOW + 110.0 + step  # the new process's clock starts from a stepped wall clock
    restored = StartTimes(now)
    restored.restore(json.loads(json.dumps(previous.ages(NOW + 110.0))), now)
    assert restored.started_at("s", started_at * 1000 / 1000, now, now) == pytest.approx(
        now - (110.0 - 100.0 - 1 / 3)
    )
    assert restored.started_at("s", round(started_at, 3), now + 1.0, now + 1.0) == pytest.approx(
        now - 9.0 - 2 / 3
    )


@pytest.mark.parametrize("ages", [[], {"s": 1}, {"s": ["x", 1]}, {"s": [1]}, None])
def test_invalid_ages_are_rejected(ages: Any) -> None:
    with pytest.raises((TypeError, ValueError, AttributeError)):
        StartTimes(NOW).restore(ages, NOW)


def test_the_number_of_tracked_names_is_bounded() -> None:
    start_times = StartTimes(NOW)
    for number in range(MAX_TRACKED_ENDPOINTS + 10):
        start_times.started_at(f"s{number}", 0.0, NOW, NOW)
    assert len(start_times._starts) == MAX_TRACKED_ENDPOINTS


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_an_endpoint_that_starts_after_a_step_is_in_slow_start_only_for_the_slow_start_time(
    step: float,
) -> None:
    clock = [NOW]
    balancer_settings = BalancerSettings(
        seed=1,
        request_classes=[RequestClass(1.0, 2.0, idempotency=Idempotency.IDEMPOTENT)],
        tier=0,
        tier_count=1,
        probes=False,
        slow_start_share=0.1,
        slow_start_time=8.0,
        overload_multiple=1.0,
    )
    engine = BalancerEngine(
        balancer_settings,
        SettingNames(["plain"]),
        lambda: clock[0],
        lambda delay: None,
        lambda: clock[0] + step,
    )
    engine.apply_list_update(ListUpdate.SNAPSHOT, [])
    clock[0] += 1.0
    endpoint = ListedEndpoint("new", EndpointState.ACTIVE, clock[0] + step - 0.5)
    engine.apply_list_update(ListUpdate.CHANGES, [endpoint])

    def count_sent(count: int) -> int:
        """Return how many of `count` requests, submitted at one time, are sent at once."""
        sent_count = 0
        for _ in range(count):
            handle = engine.submit(RequestSpec("plain", 2.0, Idempotency.IDEMPOTENT))
            while not handle.commands.empty():
                command = handle.commands.get_nowait()
                assert isinstance(command, SendAttempt | RejectRequest | FailRequest)
                sent_count += isinstance(command, SendAttempt)
        return sent_count

    assert count_sent(20) <= 1
    clock[0] += 8.0
    assert count_sent(20) > 1


def test_a_node_that_starts_with_a_stepped_clock_does_not_take_a_cold_endpoint_as_warm() -> None:
    """The node's clock is an hour ahead; an endpoint in its first list started a second ago."""
    start_times = StartTimes(NOW)
    assert start_times.started_at("s", NOW - HOUR_S - 1.0, NOW, NOW) >= NOW - MAX_LISTING_DELAY_S
