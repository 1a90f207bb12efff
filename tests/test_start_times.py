"""Starts of servers on the node's own clock, while the wall clock is stepped."""

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

HOUR = 3600.0
NOW = 1_000_000.0  # s on the node's clock, which was set by the wall clock as the node started


@pytest.mark.parametrize("step", [-HOUR, -60.0, 0.0, 60.0, HOUR])
def test_a_start_that_is_news_is_recent_however_the_wall_clock_was_stepped_before_it(step: float) -> None:
    starts = StartTimes(NOW)
    starts.list_received(NOW)
    wall = NOW + 2.0 + step
    assert starts.started_at("s", wall - 1.0, NOW + 2.0, wall) == pytest.approx(NOW + 1.0)


@pytest.mark.parametrize("step", [-HOUR, -60.0, 60.0, HOUR])
def test_a_step_between_a_start_and_its_news_makes_it_just_started(step: float) -> None:
    starts = StartTimes(NOW)
    starts.list_received(NOW)
    assert starts.started_at("s", NOW + 1.0, NOW + 2.0, NOW + 2.0 + step) == NOW + 2.0


@pytest.mark.parametrize("step", [-HOUR, 2.0, HOUR])
def test_a_first_word_that_comes_after_a_step_takes_no_cold_server_for_a_warm_one(step: float) -> None:
    """The clock was right as the node started; discovery had nothing to say until the step was over."""
    starts = StartTimes(NOW)
    assert starts.started_at("s", NOW + 2.0, NOW + 2.5, NOW + 2.5 + step) >= NOW + 2.0


def test_a_step_of_a_few_seconds_makes_no_server_warm_too_early() -> None:
    starts = StartTimes(NOW)
    starts.list_received(NOW)
    assert starts.started_at("s", NOW + 1.0, NOW + 1.5, NOW + 1.5 + 2.0) >= NOW + 1.0


def test_what_was_said_of_a_start_stays_whatever_the_clocks_say_later() -> None:
    starts = StartTimes(NOW)
    starts.list_received(NOW)
    first = starts.started_at("s", NOW + 1.0, NOW + 2.0, NOW + 2.0)
    starts.list_received(NOW + 2.0)
    assert starts.started_at("s", NOW + 1.0, NOW + 50.0, NOW + 50.0 - HOUR) == first


def test_a_first_list_is_believed_but_for_a_step_and_a_list_that_is_a_little_late_too() -> None:
    starts = StartTimes(NOW)
    assert starts.started_at("old", NOW - HOUR - 500.0, NOW, NOW) == NOW - 500.0
    assert starts.started_at("young", NOW - 500.0, NOW, NOW) == NOW
    assert starts.started_at("always", 0.0, NOW, NOW) == 0.0
    starts.list_received(NOW)
    late = NOW + 1.0 - (1.0 + MAX_LISTING_DELAY_S) + 0.1
    assert starts.started_at("late", late, NOW + 1.0, NOW + 1.0) == pytest.approx(late)
    assert starts.started_at("later", late - 0.2, NOW + 1.0, NOW + 1.0) == NOW + 1.0


def test_a_server_that_started_after_this_process_is_as_old_as_the_first_word_says() -> None:
    starts = StartTimes(NOW)
    assert starts.started_at("s", NOW + 20.0, NOW + 25.0, NOW + 25.0) == NOW + 20.0


@pytest.mark.parametrize("step", [-HOUR, 0.0, HOUR])
def test_a_following_process_knows_how_old_servers_are_whatever_its_clock_says(step: float) -> None:
    """The list comes as the other process has it, with its times in milliseconds."""
    before = StartTimes(NOW)
    before.list_received(NOW)
    told = NOW + 100.0 + 1 / 3
    assert before.started_at("s", told, NOW + 101.0, NOW + 101.0) == pytest.approx(told)
    now = NOW + 110.0 + step  # its own clock goes by a wall clock that was stepped
    after = StartTimes(now)
    after.restore(json.loads(json.dumps(before.ages(NOW + 110.0))), now)
    assert after.started_at("s", told * 1000 / 1000, now, now) == pytest.approx(now - (110.0 - 100.0 - 1 / 3))
    assert after.started_at("s", round(told, 3), now + 1.0, now + 1.0) == pytest.approx(now - 9.0 - 2 / 3)


@pytest.mark.parametrize("ages", [[], {"s": 1}, {"s": ["x", 1]}, {"s": [1]}, None])
def test_what_is_no_word_of_starts_is_refused(ages: Any) -> None:
    with pytest.raises((TypeError, ValueError, AttributeError)):
        StartTimes(NOW).restore(ages, NOW)


def test_names_are_not_kept_for_ever() -> None:
    starts = StartTimes(NOW)
    for number in range(MAX_TRACKED_ENDPOINTS + 10):
        starts.started_at(f"s{number}", 0.0, NOW, NOW)
    assert len(starts._starts) == MAX_TRACKED_ENDPOINTS


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_server_that_starts_after_a_step_is_cold_for_its_cold_time_alone(step: float) -> None:
    clock = [NOW]
    terms = BalancerSettings(
        seed=1,
        request_classes=[RequestClass(1.0, 2.0, idempotency=Idempotency.IDEMPOTENT)],
        tier=0,
        tier_count=1,
        probes=False,
        slow_start_share=0.1,
        slow_start_time=8.0,
        overload_multiple=1.0,
    )
    decider = BalancerEngine(
        terms, SettingNames(["plain"]), lambda: clock[0], lambda delay: None, lambda: clock[0] + step
    )
    decider.apply_list_update(ListUpdate.SNAPSHOT, [])
    clock[0] += 1.0
    new = ListedEndpoint("new", EndpointState.ACTIVE, clock[0] + step - 0.5)
    decider.apply_list_update(ListUpdate.CHANGES, [new])

    def sent(jobs: int) -> int:
        """How many of so many jobs, all at one moment, are sent on at once."""
        found = 0
        for _ in range(jobs):
            ticket = decider.submit(RequestSpec("plain", 2.0, Idempotency.IDEMPOTENT))
            while not ticket.commands.empty():
                order = ticket.commands.get_nowait()
                assert isinstance(order, SendAttempt | RejectRequest | FailRequest)
                found += isinstance(order, SendAttempt)
        return found

    assert sent(20) <= 1
    clock[0] += 8.0
    assert sent(20) > 1


def test_a_node_that_starts_with_a_stepped_clock_takes_no_cold_server_for_a_warm_one() -> None:
    """Its clock is ahead by an hour; a server in its first list started a second ago."""
    starts = StartTimes(NOW)
    assert starts.started_at("s", NOW - HOUR - 1.0, NOW, NOW) >= NOW - MAX_LISTING_DELAY_S
