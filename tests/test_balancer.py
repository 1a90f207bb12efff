"""Short stories, one for each failure met."""

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
from notchjunction.emulator.world import GRACE
from tests.helpers import PLAIN, FakeHost, profile

ONCE = Idempotency.NON_IDEMPOTENT


@pytest.mark.parametrize(
    ("result", "deepest", "dispatches"),
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
def test_only_what_the_server_itself_caused_is_retried(
    result: AttemptResult, deepest: bool, dispatches: int
) -> None:
    host = FakeHost(tier=1 if deepest else 0, tier_count=2)
    host.serve(20)
    job = host.take()
    host.end(job, result)
    servers = host.sent(job)
    assert len(servers) == dispatches and len(set(servers)) == dispatches
    assert (host.finals(job) == []) == (dispatches == 2)


def test_an_error_at_unknown_depth_goes_up_unretried() -> None:
    host = FakeHost(tier=None, tier_count=0)
    host.serve(20)
    job = host.take()
    host.end(job, AttemptResult.ERROR)
    assert len(host.sent(job)) == 1


def test_retries_stay_within_a_fifth_of_first_sends() -> None:
    host = FakeHost(servers=30)
    host.serve(50, AttemptResult.REJECTED)
    assert 0 < host.count("send_attempt") - 50 <= 10


@pytest.mark.parametrize(
    ("effect", "group", "result", "resent", "final"),
    [
        (ONCE, DeduplicationScope.ALL, AttemptResult.RESET, False, "fail"),
        (ONCE, DeduplicationScope.ALL, AttemptResult.MALFORMED, False, "fail"),
        (Idempotency.KEYED, DeduplicationScope.ALL, AttemptResult.MALFORMED, True, "reject"),
        (Idempotency.KEYED, DeduplicationScope.GROUP, AttemptResult.MALFORMED, False, "fail"),
        (ONCE, DeduplicationScope.ALL, AttemptResult.REJECTED, True, "reject"),
        (Idempotency.KEYED, DeduplicationScope.ALL, AttemptResult.RESET, True, "reject"),
        (Idempotency.KEYED, DeduplicationScope.ZONE, AttemptResult.RESET, False, "fail"),
        (Idempotency.KEYED, DeduplicationScope.GROUP, AttemptResult.RESET, False, "fail"),
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, AttemptResult.RESET, True, "reject"),
    ],
)
def test_no_effect_happens_twice(
    effect: Idempotency, group: DeduplicationScope, result: AttemptResult, resent: bool, final: str
) -> None:
    host = FakeHost(servers=0, request_classes=[profile(effect, group), PLAIN], max_attempts=2)
    for server in range(4):
        host.list_servers(server, zone=server, deduplication_group=server)
    for _ in range(20):
        host.end(host.take(profile=1))
    job = host.take()
    host.end(job, result)
    assert (len(host.sent(job)) == 2) == resent
    if resent:
        host.end(job, result, dispatch=1)
    assert host.finals(job) == [final]


def test_a_numbered_job_is_not_resent_after_its_window() -> None:
    host = FakeHost(request_classes=[replace(profile(Idempotency.KEYED), deduplication_window=0.5)])
    host.serve(20)
    job = host.take()
    host.advance(0.6)
    host.end(job, AttemptResult.RESET)
    assert len(host.sent(job)) == 1


@pytest.mark.parametrize("effect", list(Idempotency))
def test_each_job_is_answered_once_before_it_is_abandoned(effect: Idempotency) -> None:
    host = FakeHost(request_classes=[profile(effect)])
    job = host.take(time_left=0.8)
    host.advance(0.799)
    assert len(host.finals(job)) == 1
    host.end(job, AttemptResult.TIMED_OUT)
    host.advance(5.0)
    assert len(host.finals(job)) == 1 and len(host.sent(job)) == 1


def test_with_no_ready_server_a_job_is_turned_back() -> None:
    host = FakeHost(servers=0)
    job = host.take(time_left=0.5)
    host.advance(0.5)
    assert host.finals(job) == ["reject"]


@pytest.mark.parametrize("presence", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_goes_to_a_server_that_drains_or_is_gone(presence: EndpointState) -> None:
    host = FakeHost(servers=2)
    host.list_servers(1, state=presence)
    jobs = [host.take() for _ in range(10)]
    assert {server for job in jobs for server in host.sent(job)} == {0}


def test_a_restarted_server_gets_little_until_it_is_warm() -> None:
    host = FakeHost(slow_start_share=0.2, slow_start_time=10.0, node_count=4)
    host.serve(200)
    host.list_servers(0, started_at=host.clock - 0.1)
    before = len(host.did)
    host.serve(100)
    early = sum(1 for row in host.did[before:] if row[0] == "send_attempt" and row[2] == 0)
    host.advance(10.0)
    before = len(host.did)
    host.serve(100)
    late = sum(1 for row in host.did[before:] if row[0] == "send_attempt" and row[2] == 0)
    assert early <= 16 and late >= 15  # an even share is 25


@pytest.mark.parametrize(
    ("nodes", "group_size", "least"),
    [(1, 1, 0.4), (3, 3, 0.4), (40, 40, 0.3), (200, 200, 0.05), (8, 1, 0.2), (3, 200, 0.2)],
)
def test_a_fleet_uses_much_of_cold_servers_budgets_and_never_passes_them(
    nodes: int, group_size: int, least: float
) -> None:
    """All servers return cold together; what all nodes send to one of them is added up over each window."""
    cold_time, share, multiple, window, take = 10.0, 0.3, 3.0, 2.0, 5.0  # `take`: jobs a second, each server
    settings = {
        "slow_start_share": share,
        "slow_start_time": cold_time,
        "overload_multiple": multiple,
        "node_count": group_size,
    }
    hosts = [FakeHost(10, seed=number, **settings) for number in range(nodes)]
    every = nodes / (10 * take)
    for host in hosts:
        host.advance(host.core._random.uniform(0, every))
        host.serve(int(12.0 / every), every=every)
        host.list_servers(*range(10), started_at=host.clock)
    sent: list[float] = []
    for host in hosts:
        began, seen = host.clock, len(host.did)
        host.advance(host.core._random.uniform(0, every))
        while host.clock < began + cold_time:
            host.take()
            host.advance(every)
            rows, seen = [row for row in host.did[seen:] if row[0] == "send_attempt"], len(host.did)
            for row in rows:
                host.end(row[1])
        sent += [at - began for at, server in host.sent_at if server == 9 and at >= began]
    used = []
    for second in range(int(cold_time - window)):
        budget = multiple * take * window * (share + (1 - share) * (second + window / 2) / cold_time)
        used.append(sum(1 for at in sent if second <= at < second + window) / budget)
    assert max(used) <= 1.0
    assert sum(used[:5]) / 5 > least


def test_the_list_is_asked_for_again_after_a_failure() -> None:
    host = FakeHost(polls_list=True, poll_interval=10.0)
    assert host.count("poll_list") == 1
    host.core.list_updated(ListUpdate.FAILED, ())
    assert host.count("poll_list") == 1
    host.advance(2.5)
    assert host.count("poll_list") == 2


@pytest.mark.parametrize("ask_within", [0.0, 10.0, 60.0])
def test_however_many_calls_for_the_list_failed_the_next_one_follows_within_three_seconds(
    ask_within: float,
) -> None:
    pauses = []
    for seed in range(20):
        host = FakeHost(polls_list=True, poll_interval=ask_within, seed=seed)
        for _ in range(40):
            at, seen = host.clock, host.count("poll_list")
            host.core.list_updated(ListUpdate.FAILED, ())
            while host.count("poll_list") == seen:
                host.advance(0.01)
                assert host.clock - at < 2.97
        pauses.append(host.clock - at)
    assert max(pauses) - min(pauses) > 1.5  # and not all at the same moment


@pytest.mark.parametrize(("nodes", "down"), [(1, 0.0), (40, 0.0), (40, 60.0), (200, 0.0)])
def test_a_fleet_that_asks_for_the_list_at_once_is_all_served_in_a_bounded_time(
    nodes: int, down: float
) -> None:
    """Discovery works through four calls a second and refuses what would wait for over a second."""
    rate, limit, step = 4.0, 2.5, 0.05
    hosts = [FakeHost(1, seed=number, polls_list=True, poll_interval=10.0) for number in range(nodes)]
    waiting: list[FakeHost] = []
    seen = dict.fromkeys(range(nodes), 0)
    done: dict[int, float] = {}
    calls, now, worked = 0, 0.0, 0.0
    while len(done) < nodes:
        for number, host in enumerate(hosts):
            if number not in done and host.count("poll_list") > seen[number]:
                seen[number] += 1
                calls += 1
                if now < down or len(waiting) > rate:
                    host.core.list_updated(ListUpdate.FAILED, ())
                else:
                    waiting.append(host)
        worked += rate * step if now >= down else 0.0
        while worked >= 1.0 and waiting:
            worked -= 1.0
            served = waiting.pop(0)
            served.core.list_updated(ListUpdate.CHANGES, ())
            done[hosts.index(served)] = now
        worked = min(worked, 1.0)
        for host in hosts:
            host.advance(step)
        now += step
        assert now < down + 1.5 * nodes / rate + 2 * limit
    assert calls <= nodes * (4 + now)


@pytest.mark.parametrize(("nodes", "rate"), [(220, 42.0), (120, 25.0), (20, 42.0)])
def test_a_fleet_that_finds_a_crowded_discovery_back_hears_of_what_it_has_in_time(
    nodes: int, rate: float
) -> None:
    """All asked at once, and it went down; a call that waits there for over 2 s is refused, at full cost."""
    wait, down, back, step = 2.0, 2.0, 11.0, 0.05
    hosts = [
        FakeHost(1, seed=number, polls_list=True, poll_interval=10.0, probes=False) for number in range(nodes)
    ]
    seen = [0] * nodes
    ends: list[tuple[float, int, bool]] = []
    heard: dict[int, float] = {}
    now = free = 0.0
    while len(heard) < nodes:
        for number, host in enumerate(hosts):
            if host.count("poll_list") > seen[number]:
                seen[number] += 1
                free = max(now, free) + (0.0 if down <= now < back else 1 / rate)
                refused = down <= now < back or free - now > wait
                ends.append((now + wait if refused else free, number, not refused))
        due, ends = [end for end in ends if end[0] <= now], [end for end in ends if end[0] > now]
        for at, number, accepted in due:
            if not accepted:
                hosts[number].core.list_updated(ListUpdate.FAILED, ())
            elif at < back:
                ends.append((down, number, False))  # its watch ends as discovery goes down
            else:
                heard[number] = at
        for host in hosts:
            host.advance(step)
        now += step
        assert now < back + CHANGE_EFFECTIVE_AFTER_S + GRACE


def test_probes_go_out_with_and_without_jobs() -> None:
    host = FakeHost()
    host.advance(10.0)
    assert host.count("send_probe") >= 2
    before = host.count("send_probe")
    host.serve(100, every=0.0)
    assert host.count("send_probe") - before >= 10


def test_the_better_of_two_fresh_answers_is_taken() -> None:
    host = FakeHost(servers=2)
    host.answer(0, in_flight=9.0, latency=0.1)
    host.answer(1, in_flight=0.0, latency=0.1)
    assert host.sent(host.take()) == [1]


def test_a_failing_server_is_set_aside_and_returns() -> None:
    host = FakeHost(servers=4)
    host.serve(40)
    for _ in range(60):
        job = host.take()
        host.advance(0.02)
        host.end(job, AttemptResult.ERROR if host.sent(job)[0] == 0 else AttemptResult.SUCCEEDED)
    late = [host.take() for _ in range(3)]
    assert all(host.sent(job) != [0] for job in late)
    for job in late:
        host.end(job)
    host.advance(4.1)
    host.until(lambda: any(row[0] == "send_attempt" and row[2] == 0 for row in host.did[-3:]))


def test_a_trouble_common_to_all_sets_no_server_aside() -> None:
    host = FakeHost(servers=4, tier_count=2)
    host.serve(80, AttemptResult.ERROR)
    jobs = [host.take() for _ in range(8)]
    assert {server for job in jobs for server in host.sent(job)} == {0, 1, 2, 3}


def test_never_more_than_half_the_servers_are_set_aside() -> None:
    host = FakeHost(servers=4, tier_count=2)
    host.serve(40)
    for _ in range(120):
        job = host.take()
        host.advance(0.005)
        host.end(job, AttemptResult.SUCCEEDED if host.sent(job)[0] == 3 else AttemptResult.ERROR)
    late = {server for _ in range(8) for server in host.sent(host.take())}
    assert 3 in late and len(late) >= 2


def test_surplus_waits_a_little_or_is_turned_back_at_once() -> None:
    host = FakeHost(servers=2, retry_after_max=3.0)
    jobs = [host.take() for _ in range(100)]
    assert 0 < host.count("send_attempt") < 30
    assert any(host.finals(job) == ["reject"] for job in jobs)
    assert all(row[2] > 0 for row in host.did if row[0] == "reject")


def test_a_withdrawn_job_is_recalled_and_owed_nothing() -> None:
    host = FakeHost()
    job = host.take()
    host.core.request_cancelled(job)
    host.core.request_cancelled(job)
    host.end(job, AttemptResult.CANCELLED)
    assert host.count("cancel_attempt") == 1 and host.finals(job) == []


def test_an_unknown_profile_is_at_most_once() -> None:
    host = FakeHost()
    host.serve(20)
    job = host.take(profile=9)
    host.end(job, AttemptResult.RESET)
    assert host.finals(job) == ["fail"]


@pytest.mark.parametrize("result", [AttemptResult.SUCCEEDED, AttemptResult.ERROR, AttemptResult.TIMED_OUT])
def test_a_server_whose_probe_takes_long_rests_for_a_while(result: AttemptResult) -> None:
    host = FakeHost(6, node_count=9)
    host.serve(40)
    host.probe_all({})
    host.probe_all({0: 0.3}, result)
    host.advance(0.2)  # the usual figures stand for a while
    assert 0 not in [server for job in [host.take() for _ in range(9)] for server in host.sent(job)]
    host.advance(20.0)  # old news by now
    host.until(lambda: host.sent_at[-1][1] == 0)


def test_where_most_servers_are_silent_or_slow_the_trouble_is_common_and_none_rests() -> None:
    host = FakeHost(5, hedging=False)
    host.serve(40)
    while host.sent(host.take(time_left=30.0)) != [0]:  # it is swallowed
        host.end(host.jobs)
        host.advance(0.01)
    host.advance(0.5)
    host.probe_all({})
    host.probe_all({1: 0.3, 2: 0.3})
    host.list_servers(3, 4, state=EndpointState.DRAINING)
    host.advance(0.2)
    assert host.sent(host.take())


@pytest.mark.parametrize(
    ("result", "silent"),
    [(AttemptResult.NOT_SENT, True), (AttemptResult.CANCELLED, True), (AttemptResult.ERROR, False)],
)
def test_a_dispatch_that_was_never_written_is_no_word_from_its_server(
    result: AttemptResult, silent: bool
) -> None:
    host = FakeHost(3)
    host.serve(40)
    host.advance(0.01)
    jobs = [host.take(time_left=30.0) for _ in range(6)]
    sent = [host.sent(job)[0] for job in jobs]
    number = max(set(sent), key=sent.count)
    stays = [job for job, to in zip(jobs, sent, strict=True) if to == number]
    server = host.core._endpoints[number]
    host.advance(0.3)
    for job in set(jobs) - set(stays):
        host.end(job)  # the others answer
    host.advance(0.3)
    assert server in host.core._unresponsive(host.clock)
    host.end(stays[1], result)
    assert (server in host.core._unresponsive(host.clock)) is silent


def test_a_probe_that_fails_at_once_is_not_taken_for_a_quick_one() -> None:
    host = FakeHost(3, node_count=9, probes=False)
    for server, seconds in ((0, 0.1), (1, 0.1), (2, 0.1), (0, 0.5)):
        host.core._active = [host.core._endpoints[server]]
        host.core._send_next_probe()
        host.advance(seconds)
        host.answer(server)
    host.core._send_next_probe()  # to server 0 again
    host.core.probe_ended(0, AttemptResult.NO_CONNECTION, None)
    host.list_servers(2, state=EndpointState.DRAINING)
    host.advance(0.2)
    assert {server for job in [host.take() for _ in range(4)] for server in host.sent(job)} == {1}


def test_jobs_stuck_in_a_resting_server_leave_the_room_to_the_others() -> None:
    long = replace(PLAIN, latency_objective=10.0, deadline=20.0)
    host = FakeHost(4, node_count=40, tier=1, tier_count=2, request_classes=[long])
    host.serve(100)
    jobs = [host.take(time_left=20.0) for _ in range(200)]
    out = [host.sent(job)[0] for job in jobs if host.sent(job)]
    host.core._endpoints[0].ejected_until = host.clock + 5.0
    more = [host.take(time_left=20.0) for _ in range(200)]
    assert 0 < out.count(0) <= len([job for job in more if host.sent(job)])


def test_a_waiting_job_is_sent_once_its_cold_server_may_be_without_any_outcome() -> None:
    host = FakeHost(1, slow_start_share=0.3, slow_start_time=10.0)
    host.serve(200, every=0.1)
    host.list_servers(0, started_at=host.clock)
    jobs = [host.take() for _ in range(2)]
    assert not host.sent(jobs[1])
    host.advance(0.7)
    assert host.sent(jobs[0]) and not host.finals(jobs[0])


def test_jobs_that_come_and_go_in_the_queue_keep_one_timer_for_their_turns() -> None:
    host = FakeHost(1, slow_start_share=0.3, slow_start_time=10.0, probes=False)
    host.serve(200, every=0.1)
    host.list_servers(0, started_at=host.clock)
    for _ in range(20):
        host.core.request_cancelled(host.take())  # the queue is empty again and again
    before = len(host.timers)
    host.take()
    assert len(host.timers) == before + 1  # its last call


def swallow(host: FakeHost) -> int:
    """Server 0 takes a job and answers nothing more, while the others go on."""
    host.serve(40)
    for _ in range(100):
        job = host.take()
        if host.sent(job) == [0]:
            return job
        host.end(job)
    raise AssertionError("server 0 was never picked")


def test_a_server_that_swallows_jobs_is_passed_over() -> None:
    host = FakeHost(servers=4, hedging=False)
    swallow(host)
    host.serve(10, every=0.06)
    jobs = [host.take() for _ in range(6)]
    assert host.core._unresponsive(host.clock)
    assert all(host.sent(job) != [0] for job in jobs)


@pytest.mark.parametrize(("effect", "copies"), [(Idempotency.IDEMPOTENT, 2), (ONCE, 1)])
def test_a_swallowed_job_gets_a_second_copy_where_it_may_run_again(effect: Idempotency, copies: int) -> None:
    host = FakeHost(servers=4, request_classes=[profile(effect)])
    job = swallow(host)
    host.serve(20, every=0.05)
    assert len(host.sent(job)) == copies and len(set(host.sent(job))) == copies


def test_stuck_jobs_take_up_no_room() -> None:
    host = FakeHost(servers=2, node_count=10)
    stuck = [host.take() for _ in range(2)]
    assert all(host.sent(job) for job in stuck)
    refused = host.take()
    host.advance(0.9)
    assert host.finals(refused) == ["reject"] and host.sent(host.take())


def test_a_full_server_is_left_alone_for_one_job_time() -> None:
    host = FakeHost(servers=2)
    host.serve(20)
    job = host.take()
    full = host.sent(job)[0]
    host.end(job, AttemptResult.REJECTED)
    assert all(host.sent(host.take()) != [full] for _ in range(3))


def test_an_old_answer_says_little() -> None:
    host = FakeHost(servers=2, probes=False)
    host.serve(20)
    host.answer(0, in_flight=3.0)
    host.advance(9.0)
    host.answer(1, in_flight=1.0)
    assert host.sent(host.take()) == [0]


def test_while_new_connections_fail_only_open_ones_are_used() -> None:
    host = FakeHost(servers=30, connection_idle_timeout=5.0, max_attempts=1)
    host.serve(8)
    open_ones = {row[2] for row in host.did if row[0] == "send_attempt"}
    for _ in range(40):
        job = host.take()
        host.end(
            job, AttemptResult.SUCCEEDED if host.sent(job)[0] in open_ones else AttemptResult.NO_CONNECTION
        )
    assert all(host.sent(host.take())[0] in open_ones for _ in range(4))


def test_where_connections_are_priced_a_node_keeps_to_a_few_servers() -> None:
    used = []
    for price in (0.0, 0.04):
        host = FakeHost(
            servers=60, connection_idle_timeout=60.0, streams_per_connection=100, connection_cost=price
        )
        host.serve(300)
        used.append(len({row[2] for row in host.did if row[0] == "send_attempt"}))
    assert used[1] <= 15 and used[0] > 40


def test_word_of_a_servers_end_does_not_change_its_group() -> None:
    host = FakeHost(servers=0, request_classes=[profile(Idempotency.KEYED, DeduplicationScope.ZONE), PLAIN])
    host.list_servers(0, 1, zone=0)
    host.list_servers(2, zone=1)
    for _ in range(20):
        host.end(host.take(profile=1))
    jobs = [host.take() for _ in range(4)]
    job = next(job for job in jobs if host.sent(job) == [2])
    host.list_servers(2, state=EndpointState.REMOVED)
    host.end(job, AttemptResult.RESET)
    assert host.sent(job) == [2] and host.finals(job) == ["fail"]


@pytest.mark.parametrize(("depth", "least", "most"), [(0, 2, 18), (1, 40, 60)])
def test_no_more_is_out_than_a_few_calm_times_clear(depth: int, least: int, most: int) -> None:
    slow = replace(PLAIN, latency_objective=10.0, deadline=20.0)
    host = FakeHost(servers=2, request_classes=[slow], tier=depth, tier_count=2)
    for _ in range(100):
        job = host.take(time_left=20.0)
        host.advance(0.05)
        host.end(job)
    bunch = [host.take(time_left=20.0) for _ in range(100)]
    assert least <= sum(1 for job in bunch if host.sent(job)) <= most


def test_a_sound_server_slower_than_a_quick_one_gets_no_copy_sent_elsewhere() -> None:
    host = FakeHost(servers=3, request_classes=[replace(PLAIN, latency_objective=5.0, deadline=9.0)])
    for best in (1, 2, 0, 0, 0, 0):
        for server in range(3):
            host.answer(server, in_flight=0.0 if server == best else 50.0)
        for _ in range(8):
            job = host.take(time_left=9.0)
            assert host.sent(job) == [best]
            host.end(job, seconds=0.5 if best else 0.1)
    host.advance(0.2)
    host.answer(0, in_flight=5000.0)
    slower = host.take(time_left=9.0)
    host.advance(0.9)
    assert host.sent(slower) in ([1], [2])


def test_a_first_try_does_not_pass_for_old_beside_a_last_retry_unless_room_is_scarce() -> None:
    host = FakeHost(request_classes=[profile(Idempotency.IDEMPOTENT, late_share=0.0)])
    for _ in range(100):  # answers enough that a job may expect to wait a moment only
        first = host.take(time_left=0.8)
        host.advance(0.01)
        host.end(first, seconds=0.01)
    last = host.take(time_left=1.9, repeat=True)
    first = host.take(time_left=0.8)
    assert host.sent(last) and host.sent(first)
    while not host.core._is_capacity_scarce(host.clock):
        host.take(time_left=1.9, repeat=True)
    last = host.take(time_left=1.9, repeat=True)
    first = host.take(time_left=0.8)
    assert (host.finals(last), host.finals(first)) == ([], ["reject"])


@pytest.mark.parametrize(("far", "least", "most"), [(1, 9, 10), (9, 2, 4)])
def test_a_near_server_is_spared_part_of_an_even_share(far: int, least: int, most: int) -> None:
    host = FakeHost(servers=0, cross_zone_cost=0.05, zone=0)
    host.list_servers(0, zone=0)
    host.list_servers(*range(1, far + 1), zone=1)
    sent = [host.sent(host.take())[0] for _ in range(12)]
    assert least <= sent.count(0) <= most


def test_a_near_server_with_one_answer_comes_before_far_ones() -> None:
    host = FakeHost(servers=0, cross_zone_cost=0.05, zone=1)
    host.list_servers(0, zone=1)
    host.list_servers(1, 2, 3, zone=0)
    for server in range(4):
        host.answer(server, in_flight=1.0)
    assert host.sent(host.take()) == [0]


def test_a_server_that_answers_often_crowds_no_other_out_of_the_pool() -> None:
    host = FakeHost(servers=3)
    for server in (1, 2, *[0] * 60):
        host.answer(server, in_flight=5.0 if server == 0 else 0.0)
    assert host.sent(host.take()) in ([1], [2])


def test_a_reset_closes_the_connections_that_were_open() -> None:
    host = FakeHost(servers=1, connection_idle_timeout=5.0, connection_cost=0.04)
    jobs = [host.take(), host.take(), host.take()]
    for job in jobs[:2]:
        host.end(job)
    assert host.core._connections.is_connected(host.core._endpoints[0], host.clock)
    host.end(jobs[2], AttemptResult.RESET)
    assert not host.core._connections.is_connected(host.core._endpoints[0], host.clock)


def test_a_late_report_brings_no_dropped_server_back() -> None:
    host = FakeHost(servers=3)
    for server in range(3):
        host.answer(server, in_flight=9.0 if server else 0.0)
    job = host.take()
    assert host.sent(job) == [0]
    host.core.list_updated(
        ListUpdate.SNAPSHOT, [EndpointEntry(server, EndpointState.ACTIVE) for server in (1, 2)]
    )
    host.core.attempt_ended(
        AttemptOutcome(job, 0, 0, AttemptResult.SUCCEEDED, 0.1, True, LoadReport(in_flight=0.0))
    )
    assert all(host.sent(host.take()) != [0] for _ in range(6))


def test_a_server_given_back_is_cold_its_record_void_and_it_is_met_soon() -> None:
    host = FakeHost(slow_start_share=0.2, slow_start_time=10.0, overload_multiple=3.0)
    host.serve(100)
    host.core.ban_changed(0, True)
    host.core.ban_changed(0, True)
    host.list_servers(0, started_at=0.0)
    seen, did = len(host.sent_at), len(host.did)
    host.serve(100)
    assert 0 not in {server for _, server in host.sent_at[seen:]}
    assert ("send_probe", 0) not in host.did[did:]
    probes = host.count("send_probe")
    given_back = host.clock
    host.core.ban_changed(0, False)
    assert host.did[-1] == ("send_probe", 0) and host.count("send_probe") == probes + 1
    server = host.core._endpoints[0]
    assert (
        not server.recent_successes
        and not server.in_flight
        and host.core._slow_start.is_warming_up(server, host.clock + 9.0)
    )
    host.list_servers(0, started_at=0.0)  # word from before the ban
    assert host.core._slow_start.is_warming_up(host.core._endpoints[0], host.clock + 9.0)
    host.list_servers(0, started_at=given_back - 2.0)  # it started while it was out: the list tells when
    assert not host.core._slow_start.is_warming_up(host.core._endpoints[0], given_back + 9.0)
    host.serve(100)
    sent = [at for at, server in host.sent_at if server == 0 and at > given_back]
    assert sent and sent[0] < given_back + 5.0 and len(sent) < 25


def test_word_of_a_later_start_voids_the_record_and_keeps_the_ban() -> None:
    host = FakeHost(slow_start_time=10.0)
    host.core.ban_changed(1, True)
    host.list_servers(1, started_at=host.clock + 1.0)
    assert [server.entry.number for server in host.core._active] == [0, 2, 3]
    host.advance(2.0)
    host.core.ban_changed(1, False)
    assert host.core._endpoints[1].entry.started_at == 1001.0 and len(host.core._active) == 4


def test_a_late_report_of_a_server_taken_out_brings_it_no_job() -> None:
    host = FakeHost()
    host.core.ban_changed(2, True)
    for server in range(4):
        host.answer(server, in_flight=0.0 if server == 2 else 5.0)
    host.serve(50)
    assert 2 not in {server for _, server in host.sent_at}


@pytest.mark.parametrize(("at", "sent"), [(0.3, 2), (0.36, 1), (0.59, 1)])
def test_a_repeat_is_decided_on_only_while_its_connection_can_come_up_within_the_window(
    at: float, sent: int
) -> None:
    """Servers drop repeats for 0.6 s, and a connection may take 0.25 s of that."""
    told = {
        **{"profiles.count": "1", "profiles.0.effect": "by_key", "profiles.0.dedup_scope": "all"},
        **{"profiles.0.window": "600", "profiles.0.contract_time": "2000", "profiles.0.abandon_time": "4000"},
        "limits.connect_timeout": "250",
    }
    found = read_settings(1, told)
    host = FakeHost(
        request_classes=found.request_classes, connect_timeout=found.connect_timeout, hedging=False
    )
    host.serve(20)
    job = host.take(time_left=4.0)
    host.advance(at)
    host.end(job, AttemptResult.RESET)
    assert len(host.sent(job)) == sent
