"""Tests of slow start: when an endpoint is warming up, and at what rate attempts may be sent to it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from notchjunction.balancing.interface import BalancerSettings
from notchjunction.balancing.records import Endpoint
from notchjunction.balancing.slow_start import (
    BUDGET_USED,
    CREDIT_SPREAD,
    MAX_ATTEMPT_PERIOD_S,
    MAX_EVEN_SHARES,
    SlowStart,
    begin_credit,
    spend_credit,
)
from tests.helpers import endpoint_record

STARTED_AT = 1000.0
DURATION_S = 10.0
SETTINGS = BalancerSettings(
    seed=1, request_classes=[], slow_start_time=DURATION_S, slow_start_share=0.2, overload_multiple=3.0
)


def credit_over(
    since: float, until: float, served_rate: float = 4.0, active: int = 10, warm: int = 10
) -> float:
    """Return the credit that an endpoint collects between two times, in seconds after its start."""
    endpoint = endpoint_record(started_at=STARTED_AT)
    endpoint.slow_start_credit_from = STARTED_AT + since
    return SlowStart(SETTINGS).credit(endpoint, STARTED_AT + until, served_rate, active, warm)


@pytest.mark.parametrize(
    ("started_at", "now", "warming_up"),
    [
        (STARTED_AT, STARTED_AT, True),
        (STARTED_AT, STARTED_AT + DURATION_S - 0.001, True),
        (STARTED_AT, STARTED_AT + DURATION_S, False),
        (STARTED_AT, STARTED_AT - 1.0, True),
        (0.0, 1.0, False),
    ],
)
def test_an_endpoint_with_a_known_start_warms_up_for_the_slow_start_time(
    started_at: float, now: float, warming_up: bool
) -> None:
    assert SlowStart(SETTINGS).is_warming_up(endpoint_record(started_at=started_at), now) is warming_up


def test_no_endpoint_warms_up_without_a_slow_start_time() -> None:
    slow_start = SlowStart(BalancerSettings(seed=1, request_classes=[]))
    assert not slow_start.is_warming_up(endpoint_record(started_at=STARTED_AT), STARTED_AT)


@pytest.mark.parametrize(
    ("since", "until", "share"),
    [
        (0.0, 0.0, 0.2),
        (0.0, 1.0, 0.2 + 0.8 * 0.05),
        (0.0, DURATION_S, 0.2 + 0.8 * 0.5),
        (4.0, 6.0, 0.2 + 0.8 * 0.5),
        (DURATION_S, DURATION_S + 1.0, 1.0),
        (-2.0, 0.0, 0.2),
    ],
)
def test_credit_is_proportional_to_the_share_in_the_middle_of_the_time_that_it_is_collected(
    since: float, until: float, share: float
) -> None:
    expected = (until - since) * 4.0 * share * 3.0 * BUDGET_USED
    assert credit_over(since, until) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("active", "warm", "even_shares"),
    [
        (10, 10, 1.0),
        (10, 8, 1.25),
        (10, 5, MAX_EVEN_SHARES),
        (10, 1, MAX_EVEN_SHARES),
        (10, 0, 1.0),
    ],
)
def test_few_warm_endpoints_raise_the_credit_to_two_even_shares_at_most(
    active: int, warm: int, even_shares: float
) -> None:
    even = credit_over(0.0, 1.0)
    assert credit_over(0.0, 1.0, active=active, warm=warm) == pytest.approx(even_shares * even)


@pytest.mark.parametrize(("nodes", "processes"), [(1, 1), (4, 1), (4, 2)])
def test_a_node_without_a_learned_rate_uses_its_part_of_the_minimum_rate(nodes: int, processes: int) -> None:
    settings = BalancerSettings(
        seed=1, request_classes=[], slow_start_time=DURATION_S, node_count=nodes, process_count=processes
    )
    endpoint = endpoint_record(started_at=STARTED_AT)
    endpoint.slow_start_credit_from = STARTED_AT
    credit = SlowStart(settings).credit(endpoint, STARTED_AT + MAX_ATTEMPT_PERIOD_S, 0.0, 10, 0)
    assert credit == pytest.approx(settings.overload_multiple * BUDGET_USED / (nodes * processes))


def sample_credits(endpoint: Endpoint, random: Random) -> tuple[list[float], list[float]]:
    """Return the credits needed for many first and later attempts."""
    first, later = [], []
    for _ in range(1000):
        begin_credit(endpoint, STARTED_AT, random)
        first.append(endpoint.slow_start_credit_needed)
        spend_credit(endpoint, STARTED_AT, random)
        later.append(endpoint.slow_start_credit_needed)
    return first, later


def test_the_credit_needed_is_random_so_that_nodes_do_not_send_at_the_same_time() -> None:
    first, later = sample_credits(endpoint_record(started_at=STARTED_AT), Random(7))
    assert 0.0 <= min(first) < 0.05 and 0.95 < max(first) < 1.0
    assert 1 - CREDIT_SPREAD <= min(later) < 0.77
    assert 1.23 < max(later) <= 1 + CREDIT_SPREAD


@pytest.mark.parametrize("start_collecting", [begin_credit, spend_credit])
def test_collecting_credit_starts_at_the_given_time_and_draws_one_random_number(
    start_collecting: Callable[[Endpoint, float, Random], None],
) -> None:
    endpoint, random, reference = endpoint_record(), Random(7), Random(7)
    start_collecting(endpoint, STARTED_AT, random)
    reference.random()
    assert endpoint.slow_start_credit_from == STARTED_AT
    assert random.getstate() == reference.getstate()
