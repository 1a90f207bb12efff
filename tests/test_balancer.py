"""Tests of the balancer against a fake host: one short test for each failure that was found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    DeduplicationScope,
    EndpointEntry,
    Idempotency,
    ListUpdate,
    LoadReport,
)
from notchjunction.config.settings import read_settings
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.discovery.watch_state import CHANGE_EFFECTIVE_AFTER_S
from notchjunction.emulator.world import DRAIN_GRACE_S
from tests.helpers import PLAIN, FakeHost, make_request_class

NON_IDEMPOTENT = Idempotency.NON_IDEMPOTENT


@pytest.mark.parametrize(
    ("result", "deepest_tier", "attempts"),
    [
        (AttemptResult.NO_CONNECTION, False, 2),
        (AttemptResult.RESET, False, 2),
        (AttemptResult.MALFORMED, False, 2),
        (AttemptResult.REJECTED, False, 2),
        (AttemptResult.ERROR, False, 1),
        (AttemptResult.TIMED_OUT, False, 1),
        (AttemptResult.ERROR, True, 2),
        (AttemptResult.TIMED_OUT, True, 2),
        (AttemptResult.UNKNOWN, True, 1),
        (AttemptResult.NOT_SENT, True, 1),
    ],
)
def test_only_failures_that_the_endpoint_itself_caused_are_retried(
    result: AttemptResult, deepest_tier: bool, attempts: int
) -> None:
    host = FakeHost(tier=1 if deepest_tier else 0, tier_count=2)
    host.serve_requests(20)
    request = host.submit()
    host.end_attempt(request, result)
    endpoints = host.sent_to(request)
    assert len(endpoints) == attempts and len(set(endpoints)) == attempts
    assert (host.final_commands(request) == []) == (attempts == 2)


def test_an_error_at_an_unknown_tier_is_not_retried() -> None:
    host = FakeHost(tier=None, tier_count=0)
    host.serve_requests(20)
    request = host.submit()
    host.end_attempt(request, AttemptResult.ERROR)
    assert len(host.sent_to(request)) == 1


def test_retries_stay_within_a_fifth_of_first_attempts() -> None:
    host = FakeHost(endpoints=30)
    host.serve_requests(50, AttemptResult.REJECTED)
    assert 0 < host.count_commands("send_attempt") - 50 <= 10


@pytest.mark.parametrize(
    ("idempotency", "scope", "result", "retried", "final"),
    [
        (NON_IDEMPOTENT, DeduplicationScope.ALL, AttemptResult.RESET, False, "fail"),
        (NON_IDEMPOTENT, DeduplicationScope.ALL, AttemptResult.MALFORMED, False, "fail"),
        (Idempotency.KEYED, DeduplicationScope.ALL, AttemptResult.MALFORMED, True, "reject"),
        (Idempotency.KEYED, DeduplicationScope.GROUP, AttemptResult.MALFORMED, False, "fail"),
        (NON_IDEMPOTENT, DeduplicationScope.ALL, AttemptResult.REJECTED, True, "reject"),
        (Idempotency.KEYED, DeduplicationScope.ALL, AttemptResult.RESET, True, "reject"),
        (Idempotency.KEYED, DeduplicationScope.ZONE, AttemptResult.RESET, False, "fail"),
        (Idempotency.KEYED, DeduplicationScope.GROUP, AttemptResult.RESET, False, "fail"),
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, AttemptResult.RESET, True, "reject"),
    ],
)
def test_a_request_is_retried_only_where_it_cannot_take_effect_twice(
    idempotency: Idempotency, scope: DeduplicationScope, result: AttemptResult, retried: bool, final: str
) -> None:
    host = FakeHost(
        endpoints=0, request_classes=[make_request_class(idempotency, scope), PLAIN], max_attempts=2
    )
    for endpoint in range(4):
        host.list_endpoints(endpoint, zone=endpoint, deduplication_group=endpoint)
    for _ in range(20):
        host.end_attempt(host.submit(request_class=1))
    request = host.submit()
    host.end_attempt(request, result)
    assert (len(host.sent_to(request)) == 2) == retried
    if retried:
        host.end_attempt(request, result, attempt=1)
    assert host.final_commands(request) == [final]


def test_a_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    host = FakeHost(
        request_classes=[replace(make_request_class(Idempotency.KEYED), deduplication_window=0.5)]
    )
    host.serve_requests(20)
    request = host.submit()
    host.advance(0.6)
    host.end_attempt(request, AttemptResult.RESET)
    assert len(host.sent_to(request)) == 1


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_each_request_is_ended_once_before_its_deadline(idempotency: Idempotency) -> None:
    host = FakeHost(request_classes=[make_request_class(idempotency)])
    request = host.submit(time_left=0.8)
    host.advance(0.799)
    assert len(host.final_commands(request)) == 1
    host.end_attempt(request, AttemptResult.TIMED_OUT)
    host.advance(5.0)
    assert len(host.final_commands(request)) == 1 and len(host.sent_to(request)) == 1


def test_a_request_is_rejected_where_no_endpoint_is_active() -> None:
    host = FakeHost(endpoints=0)
    request = host.submit(time_left=0.5)
    host.advance(0.5)
    assert host.final_commands(request) == ["reject"]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_no_request_is_sent_to_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    host = FakeHost(endpoints=2)
    host.list_endpoints(1, state=state)
    requests = [host.submit() for _ in range(10)]
    assert {endpoint for request in requests for endpoint in host.sent_to(request)} == {0}


def test_a_restarted_endpoint_gets_few_requests_during_slow_start() -> None:
    host = FakeHost(slow_start_share=0.2, slow_start_time=10.0, node_count=4)
    host.serve_requests(200)
    host.list_endpoints(0, started_at=host.clock - 0.1)
    before = len(host.commands)
    host.serve_requests(100)
    early_count = sum(1 for row in host.commands[before:] if row[0] == "send_attempt" and row[2] == 0)
    host.advance(10.0)
    before = len(host.commands)
    host.serve_requests(100)
    late_count = sum(1 for row in host.commands[before:] if row[0] == "send_attempt" and row[2] == 0)
    assert early_count <= 16 and late_count >= 15  # an even share is 25


@pytest.mark.parametrize(
    ("nodes", "group_size", "minimum"),
    [(1, 1, 0.4), (3, 3, 0.4), (40, 40, 0.3), (200, 200, 0.05), (8, 1, 0.2), (3, 200, 0.2)],
)
def test_a_fleet_uses_much_of_the_slow_start_budget_and_never_exceeds_it(
    nodes: int, group_size: int, minimum: float
) -> None:
    """All endpoints restart together; the attempts of all nodes at one of them are summed for each window."""
    warm_up_time, share, overload_multiple, window = 10.0, 0.3, 3.0, 2.0
    served_rate = 5.0  # requests a second of each endpoint
    settings = {
        "slow_start_share": share,
        "slow_start_time": warm_up_time,
        "overload_multiple": overload_multiple,
        "node_count": group_size,
    }
    hosts = [FakeHost(10, seed=number, **settings) for number in range(nodes)]
    interval = nodes / (10 * served_rate)
    for host in hosts:
        host.advance(host.balancer._random.uniform(0, interval))
        host.serve_requests(int(12.0 / interval), every=interval)
        host.list_endpoints(*range(10), started_at=host.clock)
    sent_times: list[float] = []
    for host in hosts:
        start, commands_seen = host.clock, len(host.commands)
        host.advance(host.balancer._random.uniform(0, interval))
        while host.clock < start + warm_up_time:
            host.submit()
            host.advance(interval)
            rows, commands_seen = (
                [row for row in host.commands[commands_seen:] if row[0] == "send_attempt"],
                len(host.commands),
            )
            for row in rows:
                host.end_attempt(row[1])
        sent_times += [
            sent_at - start for sent_at, endpoint in host.sent_attempts if endpoint == 9 and sent_at >= start
        ]
    budget_shares = []
    for second in range(int(warm_up_time - window)):
        budget = (
            overload_multiple
            * served_rate
            * window
            * (share + (1 - share) * (second + window / 2) / warm_up_time)
        )
        budget_shares.append(sum(1 for sent_at in sent_times if second <= sent_at < second + window) / budget)
    assert max(budget_shares) <= 1.0
    assert sum(budget_shares[:5]) / 5 > minimum


def test_the_endpoint_list_is_polled_again_after_a_failure() -> None:
    host = FakeHost(polls_list=True, poll_interval=10.0)
    assert host.count_commands("poll_list") == 1
    host.balancer.list_updated(ListUpdate.FAILED, ())
    assert host.count_commands("poll_list") == 1
    host.advance(2.5)
    assert host.count_commands("poll_list") == 2


@pytest.mark.parametrize("poll_interval", [0.0, 10.0, 60.0])
def test_the_next_poll_follows_within_three_seconds_after_any_number_of_failures(
    poll_interval: float,
) -> None:
    poll_delays = []
    for seed in range(20):
        host = FakeHost(polls_list=True, poll_interval=poll_interval, seed=seed)
        for _ in range(40):
            failed_at, poll_count = host.clock, host.count_commands("poll_list")
            host.balancer.list_updated(ListUpdate.FAILED, ())
            while host.count_commands("poll_list") == poll_count:
                host.advance(0.01)
                assert host.clock - failed_at < 2.97
        poll_delays.append(host.clock - failed_at)
    assert max(poll_delays) - min(poll_delays) > 1.5  # jitter: nodes do not all poll at the same moment


@pytest.mark.parametrize(("nodes", "outage_end"), [(1, 0.0), (40, 0.0), (40, 60.0), (200, 0.0)])
def test_nodes_that_all_poll_the_list_at_once_receive_it_in_a_bounded_time(
    nodes: int, outage_end: float
) -> None:
    """Discovery serves four polls a second and rejects those that would queue for over a second."""
    rate, margin, step = 4.0, 2.5, 0.05
    hosts = [FakeHost(1, seed=number, polls_list=True, poll_interval=10.0) for number in range(nodes)]
    queue: list[FakeHost] = []
    polls_seen = dict.fromkeys(range(nodes), 0)
    updated_at: dict[int, float] = {}
    poll_count, now, served_credit = 0, 0.0, 0.0
    while len(updated_at) < nodes:
        for number, host in enumerate(hosts):
            if number not in updated_at and host.count_commands("poll_list") > polls_seen[number]:
                polls_seen[number] += 1
                poll_count += 1
                if now < outage_end or len(queue) > rate:
                    host.balancer.list_updated(ListUpdate.FAILED, ())
                else:
                    queue.append(host)
        served_credit += rate * step if now >= outage_end else 0.0
        while served_credit >= 1.0 and queue:
            served_credit -= 1.0
            served = queue.pop(0)
            served.balancer.list_updated(ListUpdate.CHANGES, ())
            updated_at[hosts.index(served)] = now
        served_credit = min(served_credit, 1.0)
        for host in hosts:
            host.advance(step)
        now += step
        assert now < outage_end + 1.5 * nodes / rate + 2 * margin
    assert poll_count <= nodes * (4 + now)


@pytest.mark.parametrize(("nodes", "rate"), [(220, 42.0), (120, 25.0), (20, 42.0)])
def test_all_nodes_receive_the_list_in_time_after_an_overloaded_discovery_recovers(
    nodes: int, rate: float
) -> None:
    """All nodes poll at once, then discovery goes down.

    A poll that queues for over 2 s is rejected, and costs discovery as much as one that it answers.
    """
    max_queue_time, outage_start, outage_end, step = 2.0, 2.0, 11.0, 0.05
    hosts = [
        FakeHost(1, seed=number, polls_list=True, poll_interval=10.0, probes=False) for number in range(nodes)
    ]
    polls_seen = [0] * nodes
    poll_ends: list[tuple[float, int, bool]] = []
    received_at: dict[int, float] = {}
    now = free_at = 0.0
    while len(received_at) < nodes:
        for number, host in enumerate(hosts):
            if host.count_commands("poll_list") > polls_seen[number]:
                polls_seen[number] += 1
                free_at = max(now, free_at) + (0.0 if outage_start <= now < outage_end else 1 / rate)
                rejected = outage_start <= now < outage_end or free_at - now > max_queue_time
                poll_ends.append((now + max_queue_time if rejected else free_at, number, not rejected))
        due_ends, poll_ends = (
            [poll_end for poll_end in poll_ends if poll_end[0] <= now],
            [poll_end for poll_end in poll_ends if poll_end[0] > now],
        )
        for ended_at, number, accepted in due_ends:
            if not accepted:
                hosts[number].balancer.list_updated(ListUpdate.FAILED, ())
            elif ended_at < outage_end:
                poll_ends.append((outage_start, number, False))  # its watch ends as discovery goes down
            else:
                received_at[number] = ended_at
        for host in hosts:
            host.advance(step)
        now += step
        assert now < outage_end + CHANGE_EFFECTIVE_AFTER_S + DRAIN_GRACE_S


def test_probes_are_sent_with_and_without_requests() -> None:
    host = FakeHost()
    host.advance(10.0)
    assert host.count_commands("send_probe") >= 2
    before = host.count_commands("send_probe")
    host.serve_requests(100, every=0.0)
    assert host.count_commands("send_probe") - before >= 10


def test_the_endpoint_with_the_better_of_two_fresh_probes_is_chosen() -> None:
    host = FakeHost(endpoints=2)
    host.answer_probe(0, in_flight=9.0, latency=0.1)
    host.answer_probe(1, in_flight=0.0, latency=0.1)
    assert host.sent_to(host.submit()) == [1]


def test_a_failing_endpoint_is_ejected_and_returns() -> None:
    host = FakeHost(endpoints=4)
    host.serve_requests(40)
    for _ in range(60):
        request = host.submit()
        host.advance(0.02)
        host.end_attempt(
            request,
            AttemptResult.ERROR if host.sent_to(request)[0] == 0 else AttemptResult.SUCCEEDED,
        )
    later_requests = [host.submit() for _ in range(3)]
    assert all(host.sent_to(request) != [0] for request in later_requests)
    for request in later_requests:
        host.end_attempt(request)
    host.advance(4.1)
    host.serve_until(lambda: any(row[0] == "send_attempt" and row[2] == 0 for row in host.commands[-3:]))


def test_no_endpoint_is_ejected_where_all_fail() -> None:
    host = FakeHost(endpoints=4, tier_count=2)
    host.serve_requests(80, AttemptResult.ERROR)
    requests = [host.submit() for _ in range(8)]
    assert {endpoint for request in requests for endpoint in host.sent_to(request)} == {0, 1, 2, 3}


def test_never_more_than_half_the_endpoints_are_ejected() -> None:
    host = FakeHost(endpoints=4, tier_count=2)
    host.serve_requests(40)
    for _ in range(120):
        request = host.submit()
        host.advance(0.005)
        host.end_attempt(
            request,
            AttemptResult.SUCCEEDED if host.sent_to(request)[0] == 3 else AttemptResult.ERROR,
        )
    endpoints_used = {endpoint for _ in range(8) for endpoint in host.sent_to(host.submit())}
    assert 3 in endpoints_used and len(endpoints_used) >= 2


def test_requests_over_capacity_are_queued_briefly_or_rejected_at_once() -> None:
    host = FakeHost(endpoints=2, retry_after_max=3.0)
    requests = [host.submit() for _ in range(100)]
    assert 0 < host.count_commands("send_attempt") < 30
    assert any(host.final_commands(request) == ["reject"] for request in requests)
    assert all(row[2] > 0 for row in host.commands if row[0] == "reject")


def test_a_request_cancelled_by_its_client_is_cancelled_and_gets_no_response() -> None:
    host = FakeHost()
    request = host.submit()
    host.balancer.request_cancelled(request)
    host.balancer.request_cancelled(request)
    host.end_attempt(request, AttemptResult.CANCELLED)
    assert host.count_commands("cancel_attempt") == 1 and host.final_commands(request) == []


def test_a_request_of_an_unknown_class_is_not_idempotent() -> None:
    host = FakeHost()
    host.serve_requests(20)
    request = host.submit(request_class=9)
    host.end_attempt(request, AttemptResult.RESET)
    assert host.final_commands(request) == ["fail"]


@pytest.mark.parametrize("result", [AttemptResult.SUCCEEDED, AttemptResult.ERROR, AttemptResult.TIMED_OUT])
def test_an_endpoint_with_a_slow_probe_is_passed_over_until_the_probe_is_out_of_date(
    result: AttemptResult,
) -> None:
    host = FakeHost(6, node_count=9)
    host.serve_requests(40)
    host.probe_all({})
    host.probe_all({0: 0.3}, result)
    host.advance(0.2)  # the typical value is cached for a while
    assert 0 not in [
        endpoint for request in [host.submit() for _ in range(9)] for endpoint in host.sent_to(request)
    ]
    host.advance(20.0)  # the probe is out of date by now
    host.serve_until(lambda: host.sent_attempts[-1][1] == 0)


def test_no_endpoint_is_passed_over_where_most_are_unresponsive_or_slow() -> None:
    host = FakeHost(5, hedging=False)
    host.serve_requests(40)
    while host.sent_to(host.submit(time_left=30.0)) != [0]:  # this request stalls at endpoint 0
        host.end_attempt(host.request_count)
        host.advance(0.01)
    host.advance(0.5)
    host.probe_all({})
    host.probe_all({1: 0.3, 2: 0.3})
    host.list_endpoints(3, 4, state=EndpointState.DRAINING)
    host.advance(0.2)
    assert host.sent_to(host.submit())


@pytest.mark.parametrize(
    ("result", "unresponsive"),
    [(AttemptResult.NOT_SENT, True), (AttemptResult.CANCELLED, True), (AttemptResult.ERROR, False)],
)
def test_an_attempt_that_was_not_sent_or_was_cancelled_does_not_show_its_endpoint_responsive(
    result: AttemptResult, unresponsive: bool
) -> None:
    host = FakeHost(3)
    host.serve_requests(40)
    host.advance(0.01)
    requests = [host.submit(time_left=30.0) for _ in range(6)]
    first_endpoints = [host.sent_to(request)[0] for request in requests]
    number = max(set(first_endpoints), key=first_endpoints.count)
    stalled_requests = [
        request for request, sent_to in zip(requests, first_endpoints, strict=True) if sent_to == number
    ]
    endpoint = host.balancer._endpoints[number]
    host.advance(0.3)
    for request in set(requests) - set(stalled_requests):
        host.end_attempt(request)  # the others respond
    host.advance(0.3)
    assert endpoint in host.balancer._unresponsive(host.clock)
    host.end_attempt(stalled_requests[1], result)
    assert (endpoint in host.balancer._unresponsive(host.clock)) is unresponsive


def test_a_probe_that_fails_at_once_does_not_count_as_a_fast_one() -> None:
    host = FakeHost(3, node_count=9, probes=False)
    for endpoint, seconds in ((0, 0.1), (1, 0.1), (2, 0.1), (0, 0.5)):
        host.balancer._active = [host.balancer._endpoints[endpoint]]
        host.balancer._send_next_probe()
        host.advance(seconds)
        host.answer_probe(endpoint)
    host.balancer._send_next_probe()  # to endpoint 0 again
    host.balancer.probe_ended(0, AttemptResult.NO_CONNECTION, None)
    host.list_endpoints(2, state=EndpointState.DRAINING)
    host.advance(0.2)
    assert {
        endpoint for request in [host.submit() for _ in range(4)] for endpoint in host.sent_to(request)
    } == {1}


def test_requests_stalled_at_an_ejected_endpoint_use_no_capacity() -> None:
    slow_class = replace(PLAIN, latency_objective=10.0, deadline=20.0)
    host = FakeHost(4, node_count=40, tier=1, tier_count=2, request_classes=[slow_class])
    host.serve_requests(100)
    requests = [host.submit(time_left=20.0) for _ in range(200)]
    endpoints_used = [host.sent_to(request)[0] for request in requests if host.sent_to(request)]
    host.balancer._endpoints[0].ejected_until = host.clock + 5.0
    later_requests = [host.submit(time_left=20.0) for _ in range(200)]
    assert (
        0 < endpoints_used.count(0) <= len([request for request in later_requests if host.sent_to(request)])
    )


def test_a_queued_request_is_sent_once_slow_start_allows_it_without_any_outcome() -> None:
    host = FakeHost(1, slow_start_share=0.3, slow_start_time=10.0)
    host.serve_requests(200, every=0.1)
    host.list_endpoints(0, started_at=host.clock)
    requests = [host.submit() for _ in range(2)]
    assert not host.sent_to(requests[1])
    host.advance(0.7)
    assert host.sent_to(requests[0]) and not host.final_commands(requests[0])


def test_requests_that_enter_and_leave_the_queue_share_one_timer() -> None:
    host = FakeHost(1, slow_start_share=0.3, slow_start_time=10.0, probes=False)
    host.serve_requests(200, every=0.1)
    host.list_endpoints(0, started_at=host.clock)
    for _ in range(20):
        host.balancer.request_cancelled(host.submit())  # the queue is empty again each time
    before = len(host.timers)
    host.submit()
    assert len(host.timers) == before + 1  # its deadline


def stall_one_request(host: FakeHost) -> int:
    """Return a request that endpoint 0 accepts and never responds to, while the other endpoints respond."""
    host.serve_requests(40)
    for _ in range(100):
        request = host.submit()
        if host.sent_to(request) == [0]:
            return request
        host.end_attempt(request)
    raise AssertionError("endpoint 0 was never chosen")


def test_an_unresponsive_endpoint_is_passed_over() -> None:
    host = FakeHost(endpoints=4, hedging=False)
    stall_one_request(host)
    host.serve_requests(10, every=0.06)
    requests = [host.submit() for _ in range(6)]
    assert host.balancer._unresponsive(host.clock)
    assert all(host.sent_to(request) != [0] for request in requests)


@pytest.mark.parametrize(("idempotency", "attempts"), [(Idempotency.IDEMPOTENT, 2), (NON_IDEMPOTENT, 1)])
def test_a_stalled_request_is_hedged_where_it_may_run_again(idempotency: Idempotency, attempts: int) -> None:
    host = FakeHost(endpoints=4, request_classes=[make_request_class(idempotency)])
    request = stall_one_request(host)
    host.serve_requests(20, every=0.05)
    assert len(host.sent_to(request)) == attempts and len(set(host.sent_to(request))) == attempts


def test_stalled_requests_use_no_capacity() -> None:
    host = FakeHost(endpoints=2, node_count=10)
    stalled_requests = [host.submit() for _ in range(2)]
    assert all(host.sent_to(request) for request in stalled_requests)
    rejected = host.submit()
    host.advance(0.9)
    assert host.final_commands(rejected) == ["reject"] and host.sent_to(host.submit())


def test_a_full_endpoint_is_passed_over_for_the_time_of_one_request() -> None:
    host = FakeHost(endpoints=2)
    host.serve_requests(20)
    request = host.submit()
    full_endpoint = host.sent_to(request)[0]
    host.end_attempt(request, AttemptResult.REJECTED)
    assert all(host.sent_to(host.submit()) != [full_endpoint] for _ in range(3))


def test_an_old_load_report_has_little_weight() -> None:
    host = FakeHost(endpoints=2, probes=False)
    host.serve_requests(20)
    host.answer_probe(0, in_flight=3.0)
    host.advance(9.0)
    host.answer_probe(1, in_flight=1.0)
    assert host.sent_to(host.submit()) == [0]


def test_while_new_connections_fail_only_open_ones_are_used() -> None:
    host = FakeHost(endpoints=30, connection_idle_timeout=5.0, max_attempts=1)
    host.serve_requests(8)
    connected_endpoints = {row[2] for row in host.commands if row[0] == "send_attempt"}
    for _ in range(40):
        request = host.submit()
        host.end_attempt(
            request,
            AttemptResult.SUCCEEDED
            if host.sent_to(request)[0] in connected_endpoints
            else AttemptResult.NO_CONNECTION,
        )
    assert all(host.sent_to(host.submit())[0] in connected_endpoints for _ in range(4))


def test_a_node_uses_few_endpoints_where_connections_have_a_cost() -> None:
    endpoint_counts = []
    for cost in (0.0, 0.04):
        host = FakeHost(
            endpoints=60, connection_idle_timeout=60.0, streams_per_connection=100, connection_cost=cost
        )
        host.serve_requests(300)
        endpoint_counts.append(len({row[2] for row in host.commands if row[0] == "send_attempt"}))
    assert endpoint_counts[1] <= 15 and endpoint_counts[0] > 40


def test_the_removal_of_an_endpoint_does_not_change_its_deduplication_group() -> None:
    host = FakeHost(
        endpoints=0, request_classes=[make_request_class(Idempotency.KEYED, DeduplicationScope.ZONE), PLAIN]
    )
    host.list_endpoints(0, 1, zone=0)
    host.list_endpoints(2, zone=1)
    for _ in range(20):
        host.end_attempt(host.submit(request_class=1))
    requests = [host.submit() for _ in range(4)]
    request = next(request for request in requests if host.sent_to(request) == [2])
    host.list_endpoints(2, state=EndpointState.REMOVED)
    host.end_attempt(request, AttemptResult.RESET)
    assert host.sent_to(request) == [2] and host.final_commands(request) == ["fail"]


@pytest.mark.parametrize(("tier", "minimum", "maximum"), [(0, 2, 18), (1, 40, 60)])
def test_no_more_requests_are_in_flight_than_a_few_typical_latencies_serve(
    tier: int, minimum: int, maximum: int
) -> None:
    slow_class = replace(PLAIN, latency_objective=10.0, deadline=20.0)
    host = FakeHost(endpoints=2, request_classes=[slow_class], tier=tier, tier_count=2)
    for _ in range(100):
        request = host.submit(time_left=20.0)
        host.advance(0.05)
        host.end_attempt(request)
    requests = [host.submit(time_left=20.0) for _ in range(100)]
    assert minimum <= sum(1 for request in requests if host.sent_to(request)) <= maximum


def test_a_healthy_endpoint_slower_than_a_fast_one_causes_no_hedge() -> None:
    host = FakeHost(endpoints=3, request_classes=[replace(PLAIN, latency_objective=5.0, deadline=9.0)])
    for least_loaded in (1, 2, 0, 0, 0, 0):
        for endpoint in range(3):
            host.answer_probe(endpoint, in_flight=0.0 if endpoint == least_loaded else 50.0)
        for _ in range(8):
            request = host.submit(time_left=9.0)
            assert host.sent_to(request) == [least_loaded]
            host.end_attempt(request, seconds=0.5 if least_loaded else 0.1)
    host.advance(0.2)
    host.answer_probe(0, in_flight=5000.0)
    slow_request = host.submit(time_left=9.0)
    host.advance(0.9)
    assert host.sent_to(slow_request) in ([1], [2])


def test_a_first_attempt_is_rejected_in_favor_of_a_client_retry_only_where_capacity_is_scarce() -> None:
    host = FakeHost(request_classes=[make_request_class(Idempotency.IDEMPOTENT, late_weight=0.0)])
    for _ in range(100):  # enough responses that a request is expected to wait only briefly
        first_attempt = host.submit(time_left=0.8)
        host.advance(0.01)
        host.end_attempt(first_attempt, seconds=0.01)
    client_retry = host.submit(time_left=1.9, is_client_retry=True)
    first_attempt = host.submit(time_left=0.8)
    assert host.sent_to(client_retry) and host.sent_to(first_attempt)
    while not host.balancer._is_capacity_scarce(host.clock):
        host.submit(time_left=1.9, is_client_retry=True)
    client_retry = host.submit(time_left=1.9, is_client_retry=True)
    first_attempt = host.submit(time_left=0.8)
    assert (host.final_commands(client_retry), host.final_commands(first_attempt)) == ([], ["reject"])


@pytest.mark.parametrize(("remote_endpoints", "minimum", "maximum"), [(1, 9, 10), (9, 2, 4)])
def test_an_endpoint_of_the_own_zone_is_preferred_but_does_not_get_all_requests(
    remote_endpoints: int, minimum: int, maximum: int
) -> None:
    host = FakeHost(endpoints=0, cross_zone_cost=0.05, zone=0)
    host.list_endpoints(0, zone=0)
    host.list_endpoints(*range(1, remote_endpoints + 1), zone=1)
    endpoints_used = [host.sent_to(host.submit())[0] for _ in range(12)]
    assert minimum <= endpoints_used.count(0) <= maximum


def test_at_equal_load_an_endpoint_of_the_own_zone_is_chosen() -> None:
    host = FakeHost(endpoints=0, cross_zone_cost=0.05, zone=1)
    host.list_endpoints(0, zone=1)
    host.list_endpoints(1, 2, 3, zone=0)
    for endpoint in range(4):
        host.answer_probe(endpoint, in_flight=1.0)
    assert host.sent_to(host.submit()) == [0]


def test_an_endpoint_that_reports_often_does_not_displace_others_from_the_pool() -> None:
    host = FakeHost(endpoints=3)
    for endpoint in (1, 2, *[0] * 60):
        host.answer_probe(endpoint, in_flight=5.0 if endpoint == 0 else 0.0)
    assert host.sent_to(host.submit()) in ([1], [2])


def test_a_reset_closes_the_connections_that_were_open() -> None:
    host = FakeHost(endpoints=1, connection_idle_timeout=5.0, connection_cost=0.04)
    requests = [host.submit(), host.submit(), host.submit()]
    for request in requests[:2]:
        host.end_attempt(request)
    assert host.balancer._connections.is_connected(host.balancer._endpoints[0], host.clock)
    host.end_attempt(requests[2], AttemptResult.RESET)
    assert not host.balancer._connections.is_connected(host.balancer._endpoints[0], host.clock)


def test_a_late_load_report_does_not_bring_back_a_removed_endpoint() -> None:
    host = FakeHost(endpoints=3)
    for endpoint in range(3):
        host.answer_probe(endpoint, in_flight=9.0 if endpoint else 0.0)
    request = host.submit()
    assert host.sent_to(request) == [0]
    host.balancer.list_updated(
        ListUpdate.SNAPSHOT, [EndpointEntry(endpoint, EndpointState.ACTIVE) for endpoint in (1, 2)]
    )
    host.balancer.attempt_ended(
        AttemptOutcome(request, 0, 0, AttemptResult.SUCCEEDED, 0.1, True, LoadReport(in_flight=0.0))
    )
    assert all(host.sent_to(host.submit()) != [0] for _ in range(6))


def test_an_endpoint_whose_ban_is_lifted_warms_up_again_and_soon_gets_a_request() -> None:
    host = FakeHost(slow_start_share=0.2, slow_start_time=10.0, overload_multiple=3.0)
    host.serve_requests(100)
    host.balancer.ban_changed(0, True)
    host.balancer.ban_changed(0, True)
    host.list_endpoints(0, started_at=0.0)
    attempts_seen, commands_seen = len(host.sent_attempts), len(host.commands)
    host.serve_requests(100)
    assert 0 not in {endpoint for _, endpoint in host.sent_attempts[attempts_seen:]}
    assert ("send_probe", 0) not in host.commands[commands_seen:]
    probes = host.count_commands("send_probe")
    lifted_at = host.clock
    host.balancer.ban_changed(0, False)
    assert host.commands[-1] == ("send_probe", 0) and host.count_commands("send_probe") == probes + 1
    endpoint = host.balancer._endpoints[0]
    assert (
        not endpoint.recent_successes
        and not endpoint.in_flight
        and host.balancer._slow_start.is_warming_up(endpoint, host.clock + 9.0)
    )
    host.list_endpoints(0, started_at=0.0)  # a list from before the ban
    assert host.balancer._slow_start.is_warming_up(host.balancer._endpoints[0], host.clock + 9.0)
    host.list_endpoints(
        0, started_at=lifted_at - 2.0
    )  # restarted during the ban: the time in the list applies
    assert not host.balancer._slow_start.is_warming_up(host.balancer._endpoints[0], lifted_at + 9.0)
    host.serve_requests(100)
    sent_times = [
        sent_at for sent_at, endpoint in host.sent_attempts if endpoint == 0 and sent_at > lifted_at
    ]
    assert sent_times and sent_times[0] < lifted_at + 5.0 and len(sent_times) < 25


def test_a_later_start_time_is_recorded_and_does_not_lift_the_ban() -> None:
    host = FakeHost(slow_start_time=10.0)
    host.balancer.ban_changed(1, True)
    host.list_endpoints(1, started_at=host.clock + 1.0)
    assert [endpoint.entry.number for endpoint in host.balancer._active] == [0, 2, 3]
    host.advance(2.0)
    host.balancer.ban_changed(1, False)
    assert host.balancer._endpoints[1].entry.started_at == 1001.0 and len(host.balancer._active) == 4


def test_a_late_load_report_of_a_banned_endpoint_brings_it_no_request() -> None:
    host = FakeHost()
    host.balancer.ban_changed(2, True)
    for endpoint in range(4):
        host.answer_probe(endpoint, in_flight=0.0 if endpoint == 2 else 5.0)
    host.serve_requests(50)
    assert 2 not in {endpoint for _, endpoint in host.sent_attempts}


@pytest.mark.parametrize(("elapsed", "attempts"), [(0.3, 2), (0.36, 1), (0.59, 1)])
def test_a_keyed_request_is_retried_only_while_a_connection_can_come_up_in_its_window(
    elapsed: float, attempts: int
) -> None:
    """Endpoints deduplicate for 0.6 s, and opening a connection may take 0.25 s of that."""
    document = {
        **{"profiles.count": "1", "profiles.0.effect": "by_key", "profiles.0.dedup_scope": "all"},
        **{"profiles.0.window": "600", "profiles.0.contract_time": "2000", "profiles.0.abandon_time": "4000"},
        "limits.connect_timeout": "250",
    }
    node_settings = read_settings(1, document)
    host = FakeHost(
        request_classes=node_settings.request_classes,
        connect_timeout=node_settings.connect_timeout,
        hedging=False,
    )
    host.serve_requests(20)
    request = host.submit(time_left=4.0)
    host.advance(elapsed)
    host.end_attempt(request, AttemptResult.RESET)
    assert len(host.sent_to(request)) == attempts
