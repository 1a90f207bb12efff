"""The balancer against a fake host: one short test for each failure met."""

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
    ("result", "deepest", "attempts"),
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
    result: AttemptResult, deepest: bool, attempts: int
) -> None:
    host = FakeHost(tier=1 if deepest else 0, tier_count=2)
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
def test_no_effect_happens_twice(
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
    early = sum(1 for row in host.commands[before:] if row[0] == "send_attempt" and row[2] == 0)
    host.advance(10.0)
    before = len(host.commands)
    host.serve_requests(100)
    late = sum(1 for row in host.commands[before:] if row[0] == "send_attempt" and row[2] == 0)
    assert early <= 16 and late >= 15  # an even share is 25


@pytest.mark.parametrize(
    ("nodes", "group_size", "minimum"),
    [(1, 1, 0.4), (3, 3, 0.4), (40, 40, 0.3), (200, 200, 0.05), (8, 1, 0.2), (3, 200, 0.2)],
)
def test_a_fleet_uses_much_of_the_slow_start_budget_and_never_exceeds_it(
    nodes: int, group_size: int, minimum: float
) -> None:
    """All endpoints restart together; the attempts of all nodes at one of them are added up a window."""
    warm_up_time, share, multiple, window = 10.0, 0.3, 3.0, 2.0
    served_rate = 5.0  # requests a second of each endpoint
    settings = {
        "slow_start_share": share,
        "slow_start_time": warm_up_time,
        "overload_multiple": multiple,
        "node_count": group_size,
    }
    hosts = [FakeHost(10, seed=number, **settings) for number in range(nodes)]
    every = nodes / (10 * served_rate)
    for host in hosts:
        host.advance(host.balancer._random.uniform(0, every))
        host.serve_requests(int(12.0 / every), every=every)
        host.list_endpoints(*range(10), started_at=host.clock)
    sent: list[float] = []
    for host in hosts:
        began, seen = host.clock, len(host.commands)
        host.advance(host.balancer._random.uniform(0, every))
        while host.clock < began + warm_up_time:
            host.submit()
            host.advance(every)
            rows, seen = [row for row in host.commands[seen:] if row[0] == "send_attempt"], len(host.commands)
            for row in rows:
                host.end_attempt(row[1])
        sent += [at - began for at, endpoint in host.sent_attempts if endpoint == 9 and at >= began]
    used = []
    for second in range(int(warm_up_time - window)):
        budget = (
            multiple * served_rate * window * (share + (1 - share) * (second + window / 2) / warm_up_time)
        )
        used.append(sum(1 for at in sent if second <= at < second + window) / budget)
    assert max(used) <= 1.0
    assert sum(used[:5]) / 5 > minimum


def test_the_endpoint_list_is_polled_again_after_a_failure() -> None:
    host = FakeHost(polls_list=True, poll_interval=10.0)
    assert host.count_commands("poll_list") == 1
    host.balancer.list_updated(ListUpdate.FAILED, ())
    assert host.count_commands("poll_list") == 1
    host.advance(2.5)
    assert host.count_commands("poll_list") == 2


@pytest.mark.parametrize("poll_interval", [0.0, 10.0, 60.0])
def test_the_next_poll_follows_in_under_three_seconds_however_many_failed(
    poll_interval: float,
) -> None:
    pauses = []
    for seed in range(20):
        host = FakeHost(polls_list=True, poll_interval=poll_interval, seed=seed)
        for _ in range(40):
            at, seen = host.clock, host.count_commands("poll_list")
            host.balancer.list_updated(ListUpdate.FAILED, ())
            while host.count_commands("poll_list") == seen:
                host.advance(0.01)
                assert host.clock - at < 2.97
        pauses.append(host.clock - at)
    assert max(pauses) - min(pauses) > 1.5  # and not all at the same moment


@pytest.mark.parametrize(("nodes", "down"), [(1, 0.0), (40, 0.0), (40, 60.0), (200, 0.0)])
def test_a_fleet_that_polls_the_list_at_once_is_served_in_a_bounded_time(nodes: int, down: float) -> None:
    """Discovery serves four polls a second and rejects those that would wait for over a second."""
    rate, limit, step = 4.0, 2.5, 0.05
    hosts = [FakeHost(1, seed=number, polls_list=True, poll_interval=10.0) for number in range(nodes)]
    waiting: list[FakeHost] = []
    seen = dict.fromkeys(range(nodes), 0)
    done: dict[int, float] = {}
    calls, now, worked = 0, 0.0, 0.0
    while len(done) < nodes:
        for number, host in enumerate(hosts):
            if number not in done and host.count_commands("poll_list") > seen[number]:
                seen[number] += 1
                calls += 1
                if now < down or len(waiting) > rate:
                    host.balancer.list_updated(ListUpdate.FAILED, ())
                else:
                    waiting.append(host)
        worked += rate * step if now >= down else 0.0
        while worked >= 1.0 and waiting:
            worked -= 1.0
            served = waiting.pop(0)
            served.balancer.list_updated(ListUpdate.CHANGES, ())
            done[hosts.index(served)] = now
        worked = min(worked, 1.0)
        for host in hosts:
            host.advance(step)
        now += step
        assert now < down + 1.5 * nodes / rate + 2 * limit
    assert calls <= nodes * (4 + now)


@pytest.mark.parametrize(("nodes", "rate"), [(220, 42.0), (120, 25.0), (20, 42.0)])
def test_a_fleet_receives_the_list_in_time_after_an_overloaded_discovery_recovers(
    nodes: int, rate: float
) -> None:
    """All polled at once, and it went down; a poll that waits for over 2 s is rejected, at full cost."""
    wait, down, back, step = 2.0, 2.0, 11.0, 0.05
    hosts = [
        FakeHost(1, seed=number, polls_list=True, poll_interval=10.0, probes=False) for number in range(nodes)
    ]
    seen = [0] * nodes
    ends: list[tuple[float, int, bool]] = []
    received_at: dict[int, float] = {}
    now = free = 0.0
    while len(received_at) < nodes:
        for number, host in enumerate(hosts):
            if host.count_commands("poll_list") > seen[number]:
                seen[number] += 1
                free = max(now, free) + (0.0 if down <= now < back else 1 / rate)
                refused = down <= now < back or free - now > wait
                ends.append((now + wait if refused else free, number, not refused))
        due, ends = [end for end in ends if end[0] <= now], [end for end in ends if end[0] > now]
        for at, number, accepted in due:
            if not accepted:
                hosts[number].balancer.list_updated(ListUpdate.FAILED, ())
            elif at < back:
                ends.append((down, number, False))  # its watch ends as discovery goes down
            else:
                received_at[number] = at
        for host in hosts:
            host.advance(step)
        now += step
        assert now < back + CHANGE_EFFECTIVE_AFTER_S + DRAIN_GRACE_S


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
    late = [host.submit() for _ in range(3)]
    assert all(host.sent_to(request) != [0] for request in late)
    for request in late:
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
    late = {endpoint for _ in range(8) for endpoint in host.sent_to(host.submit())}
    assert 3 in late and len(late) >= 2


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
def test_an_endpoint_whose_probe_takes_long_is_passed_over_for_a_while(result: AttemptResult) -> None:
    host = FakeHost(6, node_count=9)
    host.serve_requests(40)
    host.probe_all({})
    host.probe_all({0: 0.3}, result)
    host.advance(0.2)  # what is typical is kept for a while
    assert 0 not in [
        endpoint for request in [host.submit() for _ in range(9)] for endpoint in host.sent_to(request)
    ]
    host.advance(20.0)  # the probe is out of date by now
    host.serve_until(lambda: host.sent_attempts[-1][1] == 0)


def test_none_is_passed_over_where_most_endpoints_are_unresponsive_or_slow() -> None:
    host = FakeHost(5, hedging=False)
    host.serve_requests(40)
    while host.sent_to(host.submit(time_left=30.0)) != [0]:  # it stalls there
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
def test_an_attempt_that_was_never_sent_is_no_sign_of_life_of_its_endpoint(
    result: AttemptResult, unresponsive: bool
) -> None:
    host = FakeHost(3)
    host.serve_requests(40)
    host.advance(0.01)
    requests = [host.submit(time_left=30.0) for _ in range(6)]
    sent = [host.sent_to(request)[0] for request in requests]
    number = max(set(sent), key=sent.count)
    stalled_requests = [request for request, to in zip(requests, sent, strict=True) if to == number]
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


def test_requests_stalled_at_an_ejected_endpoint_leave_the_capacity_to_others() -> None:
    long = replace(PLAIN, latency_objective=10.0, deadline=20.0)
    host = FakeHost(4, node_count=40, tier=1, tier_count=2, request_classes=[long])
    host.serve_requests(100)
    requests = [host.submit(time_left=20.0) for _ in range(200)]
    endpoints_used = [host.sent_to(request)[0] for request in requests if host.sent_to(request)]
    host.balancer._endpoints[0].ejected_until = host.clock + 5.0
    more = [host.submit(time_left=20.0) for _ in range(200)]
    assert 0 < endpoints_used.count(0) <= len([request for request in more if host.sent_to(request)])


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
        host.balancer.request_cancelled(host.submit())  # the queue is empty again and again
    before = len(host.timers)
    host.submit()
    assert len(host.timers) == before + 1  # its deadline


def stall_one_request(host: FakeHost) -> int:
    """Return a request that endpoint 0 accepts and never responds to, while the others go on."""
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
    stuck = [host.submit() for _ in range(2)]
    assert all(host.sent_to(request) for request in stuck)
    rejected = host.submit()
    host.advance(0.9)
    assert host.final_commands(rejected) == ["reject"] and host.sent_to(host.submit())


def test_a_full_endpoint_is_passed_over_for_the_time_of_one_request() -> None:
    host = FakeHost(endpoints=2)
    host.serve_requests(20)
    request = host.submit()
    full = host.sent_to(request)[0]
    host.end_attempt(request, AttemptResult.REJECTED)
    assert all(host.sent_to(host.submit()) != [full] for _ in range(3))


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
    connected = {row[2] for row in host.commands if row[0] == "send_attempt"}
    for _ in range(40):
        request = host.submit()
        host.end_attempt(
            request,
            AttemptResult.SUCCEEDED if host.sent_to(request)[0] in connected else AttemptResult.NO_CONNECTION,
        )
    assert all(host.sent_to(host.submit())[0] in connected for _ in range(4))


def test_a_node_keeps_to_a_few_endpoints_where_connections_are_priced() -> None:
    used = []
    for price in (0.0, 0.04):
        host = FakeHost(
            endpoints=60, connection_idle_timeout=60.0, streams_per_connection=100, connection_cost=price
        )
        host.serve_requests(300)
        used.append(len({row[2] for row in host.commands if row[0] == "send_attempt"}))
    assert used[1] <= 15 and used[0] > 40


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
    slow = replace(PLAIN, latency_objective=10.0, deadline=20.0)
    host = FakeHost(endpoints=2, request_classes=[slow], tier=tier, tier_count=2)
    for _ in range(100):
        request = host.submit(time_left=20.0)
        host.advance(0.05)
        host.end_attempt(request)
    bunch = [host.submit(time_left=20.0) for _ in range(100)]
    assert minimum <= sum(1 for request in bunch if host.sent_to(request)) <= maximum


def test_a_healthy_endpoint_slower_than_a_fast_one_causes_no_hedge() -> None:
    host = FakeHost(endpoints=3, request_classes=[replace(PLAIN, latency_objective=5.0, deadline=9.0)])
    for best in (1, 2, 0, 0, 0, 0):
        for endpoint in range(3):
            host.answer_probe(endpoint, in_flight=0.0 if endpoint == best else 50.0)
        for _ in range(8):
            request = host.submit(time_left=9.0)
            assert host.sent_to(request) == [best]
            host.end_attempt(request, seconds=0.5 if best else 0.1)
    host.advance(0.2)
    host.answer_probe(0, in_flight=5000.0)
    slower = host.submit(time_left=9.0)
    host.advance(0.9)
    assert host.sent_to(slower) in ([1], [2])


def test_a_first_attempt_gives_way_to_a_last_client_retry_only_where_capacity_is_scarce() -> None:
    host = FakeHost(request_classes=[make_request_class(Idempotency.IDEMPOTENT, late_weight=0.0)])
    for _ in range(100):  # enough responses that a request may expect to wait a moment only
        first = host.submit(time_left=0.8)
        host.advance(0.01)
        host.end_attempt(first, seconds=0.01)
    last = host.submit(time_left=1.9, is_client_retry=True)
    first = host.submit(time_left=0.8)
    assert host.sent_to(last) and host.sent_to(first)
    while not host.balancer._is_capacity_scarce(host.clock):
        host.submit(time_left=1.9, is_client_retry=True)
    last = host.submit(time_left=1.9, is_client_retry=True)
    first = host.submit(time_left=0.8)
    assert (host.final_commands(last), host.final_commands(first)) == ([], ["reject"])


@pytest.mark.parametrize(("far", "minimum", "maximum"), [(1, 9, 10), (9, 2, 4)])
def test_an_endpoint_of_the_own_zone_is_preferred_but_leaves_requests_to_others(
    far: int, minimum: int, maximum: int
) -> None:
    host = FakeHost(endpoints=0, cross_zone_cost=0.05, zone=0)
    host.list_endpoints(0, zone=0)
    host.list_endpoints(*range(1, far + 1), zone=1)
    sent = [host.sent_to(host.submit())[0] for _ in range(12)]
    assert minimum <= sent.count(0) <= maximum


def test_an_endpoint_of_the_own_zone_is_chosen_before_those_of_others() -> None:
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


def test_an_endpoint_whose_ban_is_lifted_warms_up_afresh_and_is_tried_soon() -> None:
    host = FakeHost(slow_start_share=0.2, slow_start_time=10.0, overload_multiple=3.0)
    host.serve_requests(100)
    host.balancer.ban_changed(0, True)
    host.balancer.ban_changed(0, True)
    host.list_endpoints(0, started_at=0.0)
    seen, commands_seen = len(host.sent_attempts), len(host.commands)
    host.serve_requests(100)
    assert 0 not in {endpoint for _, endpoint in host.sent_attempts[seen:]}
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
    host.list_endpoints(0, started_at=lifted_at - 2.0)  # it started during the ban: the list has the time
    assert not host.balancer._slow_start.is_warming_up(host.balancer._endpoints[0], lifted_at + 9.0)
    host.serve_requests(100)
    sent = [at for at, endpoint in host.sent_attempts if endpoint == 0 and at > lifted_at]
    assert sent and sent[0] < lifted_at + 5.0 and len(sent) < 25


def test_a_later_start_time_clears_the_record_and_keeps_the_ban() -> None:
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


@pytest.mark.parametrize(("at", "sent"), [(0.3, 2), (0.36, 1), (0.59, 1)])
def test_a_keyed_request_is_retried_only_while_a_connection_can_come_up_in_its_window(
    at: float, sent: int
) -> None:
    """Endpoints drop repeats for 0.6 s, and a connection may take 0.25 s of that."""
    document = {
        **{"profiles.count": "1", "profiles.0.effect": "by_key", "profiles.0.dedup_scope": "all"},
        **{"profiles.0.window": "600", "profiles.0.contract_time": "2000", "profiles.0.abandon_time": "4000"},
        "limits.connect_timeout": "250",
    }
    found = read_settings(1, document)
    host = FakeHost(
        request_classes=found.request_classes, connect_timeout=found.connect_timeout, hedging=False
    )
    host.serve_requests(20)
    request = host.submit(time_left=4.0)
    host.advance(at)
    host.end_attempt(request, AttemptResult.RESET)
    assert len(host.sent_to(request)) == sent
