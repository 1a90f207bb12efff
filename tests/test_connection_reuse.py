"""Tests of connection reuse: which endpoints have an open connection, and when they are preferred."""

from __future__ import annotations

from dataclasses import replace

import pytest

from notchjunction.balancing.connection_reuse import MIN_CONNECTED, ConnectionReuse
from notchjunction.balancing.interface import AttemptResult, BalancerSettings
from notchjunction.balancing.recent_events import EVENT_SPAN_S
from notchjunction.balancing.records import MAX_RECENT_OUTCOMES, Attempt, Endpoint
from tests.helpers import endpoint_record

NOW = 1000.0
IDLE_TIMEOUT_S = 60.0
SETTINGS = BalancerSettings(seed=1, request_classes=[], connection_idle_timeout=IDLE_TIMEOUT_S)
WITH_COST = replace(SETTINGS, connection_cost=1.0)
FAILURE_MAJORITY = MAX_RECENT_OUTCOMES // 2 + 1  # failed new connections that are more than half


def attempt_at(endpoint: Endpoint, reused_connection: bool = False) -> Attempt:
    return Attempt(endpoint, NOW, 1.0, reused_connection)


def connect(reuse: ConnectionReuse, endpoint: Endpoint, now: float = NOW) -> None:
    """Record a successful attempt, which leaves its connection open and idle."""
    reuse.record_result(attempt_at(endpoint), AttemptResult.SUCCEEDED, now)


def fail_new_connections(reuse: ConnectionReuse, count: int, now: float = NOW) -> None:
    for _ in range(count):
        reuse.record_result(attempt_at(endpoint_record()), AttemptResult.NO_CONNECTION, now)


def preferred(reuse: ConnectionReuse, now: float = NOW) -> list[int]:
    return [endpoint.entry.number for endpoint in reuse.preferred(now, lambda _: True)]


@pytest.mark.parametrize(
    ("idle_time", "connected"),
    [(0.0, True), (IDLE_TIMEOUT_S - 0.001, True), (IDLE_TIMEOUT_S, False), (2 * IDLE_TIMEOUT_S, False)],
)
def test_an_idle_connection_counts_as_open_until_the_idle_timeout(idle_time: float, connected: bool) -> None:
    reuse, endpoint = ConnectionReuse(SETTINGS), endpoint_record()
    connect(reuse, endpoint)
    assert reuse.is_connected(endpoint, NOW + idle_time) is connected


@pytest.mark.parametrize(
    ("result", "connected"),
    [
        (AttemptResult.SUCCEEDED, True),
        (AttemptResult.ERROR, True),
        (AttemptResult.REJECTED, True),
        (AttemptResult.NOT_SENT, False),
        (AttemptResult.MALFORMED, False),
        (AttemptResult.NO_CONNECTION, False),
        (AttemptResult.RESET, False),
    ],
)
def test_an_attempt_leaves_its_connection_open_unless_it_was_lost_or_never_used(
    result: AttemptResult, connected: bool
) -> None:
    reuse, endpoint = ConnectionReuse(SETTINGS), endpoint_record()
    reuse.record_result(attempt_at(endpoint), result, NOW)
    assert reuse.is_connected(endpoint, NOW) is connected


@pytest.mark.parametrize("result", [AttemptResult.NO_CONNECTION, AttemptResult.RESET])
def test_a_lost_connection_counts_all_idle_connections_of_the_endpoint_as_lost(result: AttemptResult) -> None:
    reuse, endpoint = ConnectionReuse(SETTINGS), endpoint_record()
    connect(reuse, endpoint)
    connect(reuse, endpoint)
    reuse.record_result(attempt_at(endpoint, reused_connection=True), result, NOW)
    assert not reuse.is_connected(endpoint, NOW)


def test_an_idle_connection_serves_one_attempt_at_a_time() -> None:
    reuse, endpoint = ConnectionReuse(SETTINGS), endpoint_record()
    connect(reuse, endpoint)
    assert [reuse.use_connection(endpoint, NOW) for _ in range(2)] == [True, False]


def test_a_multiplexed_connection_serves_more_attempts_while_one_is_in_flight() -> None:
    reuse, endpoint = ConnectionReuse(replace(SETTINGS, streams_per_connection=8)), endpoint_record()
    assert not reuse.use_connection(endpoint, NOW)
    endpoint.in_flight.append(attempt_at(endpoint))
    assert [reuse.use_connection(endpoint, NOW) for _ in range(3)] == [True, True, True]


@pytest.mark.parametrize(
    ("failures", "failing"),
    [(0, False), (FAILURE_MAJORITY - 1, False), (FAILURE_MAJORITY, True), (MAX_RECENT_OUTCOMES, True)],
)
def test_connected_endpoints_are_preferred_while_most_new_connections_fail(
    failures: int, failing: bool
) -> None:
    reuse = ConnectionReuse(SETTINGS)
    connect(reuse, endpoint_record(1))
    fail_new_connections(reuse, failures)
    assert preferred(reuse) == ([1] if failing else [])


def test_failed_connections_count_until_the_end_of_the_span() -> None:
    reuse = ConnectionReuse(SETTINGS)
    connect(reuse, endpoint_record(1))
    fail_new_connections(reuse, FAILURE_MAJORITY)
    assert preferred(reuse, NOW + EVENT_SPAN_S) == [1]
    assert preferred(reuse, NOW + EVENT_SPAN_S + 0.001) == []


@pytest.mark.parametrize(
    ("settings", "connected", "is_preferred"),
    [
        (SETTINGS, MIN_CONNECTED, False),
        (WITH_COST, 0, False),
        (WITH_COST, MIN_CONNECTED - 1, False),
        (WITH_COST, MIN_CONNECTED, True),
    ],
)
def test_connected_endpoints_are_preferred_where_connections_have_a_cost_and_enough_are_open(
    settings: BalancerSettings, connected: int, is_preferred: bool
) -> None:
    reuse = ConnectionReuse(settings)
    for number in range(connected):
        connect(reuse, endpoint_record(number))
    assert preferred(reuse) == (list(range(connected)) if is_preferred else [])


def test_no_endpoint_is_preferred_where_new_connections_fail_and_none_is_open() -> None:
    reuse = ConnectionReuse(SETTINGS)
    fail_new_connections(reuse, FAILURE_MAJORITY)
    assert preferred(reuse) == []


def test_endpoints_out_of_use_or_removed_are_not_preferred() -> None:
    reuse, endpoints = ConnectionReuse(SETTINGS), [endpoint_record(number) for number in range(3)]
    for endpoint in endpoints:
        connect(reuse, endpoint)
    fail_new_connections(reuse, FAILURE_MAJORITY)
    assert reuse.preferred(NOW, lambda endpoint: endpoint is not endpoints[0]) == endpoints[1:]
    reuse.keep_known(lambda endpoint: endpoint is endpoints[2])
    assert preferred(reuse) == [2]
