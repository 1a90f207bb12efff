"""Tests of the watch on the endpoint list: transitions, backoffs, and when a missed change counts."""

from __future__ import annotations

import heapq
import math

import pytest

from notchjunction.discovery.watch_state import (
    ADDRESS_CHANGE_SPREAD_S,
    AGENT_BACKOFF_S,
    AGENT_INITIAL_WAIT_S,
    AMBIGUOUS_RATE_LIMITS,
    BACKOFF_STEP_S,
    MAX_OVERLOAD_BACKOFF_S,
    MIN_BACKOFF_S,
    OVERLOAD_BACKOFF_S,
    OVERLOAD_BACKOFF_SPREAD_S,
    OVERLOAD_RETRY_SPREAD_S,
    RESPONSE_GRACE_S,
    TABLE,
    ListWatch,
    PollAction,
    WatchEvent,
    WatchState,
)

EVENTS_LEADING_TO = {  # in order, from a new watch
    WatchState.NEW: (),
    WatchState.WATCHING: (WatchEvent.ANSWERED,),
    WatchState.UNRESPONSIVE: (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT),
    WatchState.REJECTED: (WatchEvent.ANSWERED, WatchEvent.REJECTED),
    WatchState.DOWN: (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST),
}
EXPECTED_ACTIONS = {
    WatchEvent.ANSWERED: PollAction.RESUME,
    WatchEvent.TIMED_OUT: PollAction.RETRY_NOW,
    WatchEvent.REJECTED: PollAction.BACK_OFF,
    WatchEvent.CONNECTION_LOST: PollAction.BACK_OFF,
    WatchEvent.RATE_LIMITED: PollAction.BACK_OFF,
    WatchEvent.ADDRESS_CHANGED: PollAction.CONTINUE,
}


def watch_after(
    poll_interval: float, events: tuple[WatchEvent, ...], pushed: bool = False, start: float = 100.0
) -> ListWatch:
    """Return a watch whose polls start 1 s apart and end 0.5 s later with `events` in turn."""
    watch = ListWatch(poll_interval, pushed)
    for number, event in enumerate(events):
        watch.poll_started(start + number, watch.next_wait(has_version=True))
        watch.poll_ended(event, start + number + 0.5)
    return watch


@pytest.mark.parametrize(("state", "event"), [(transition.state, transition.event) for transition in TABLE])
def test_each_transition_returns_its_action(state: WatchState, event: WatchEvent) -> None:
    watch = watch_after(10.0, EVENTS_LEADING_TO[state])
    assert watch.state is state
    expected = EXPECTED_ACTIONS[event]
    if event is WatchEvent.ANSWERED and state in (WatchState.NEW, WatchState.WATCHING):
        expected = PollAction.CONTINUE
    if event is WatchEvent.ADDRESS_CHANGED and state is WatchState.UNRESPONSIVE:
        expected = PollAction.RETRY_NOW  # changes may be missed at the new address as well
    assert watch.poll_ended(event, 110.0) is expected


@pytest.mark.parametrize(
    ("poll_interval", "pushed", "events", "counts_from"),
    [
        (10.0, False, (WatchEvent.ANSWERED,), math.inf),
        # A watch that timed out may have missed a change right after its start, whatever its wait.
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        (2.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        # The results of later polls do not change that time, until one is answered.
        (
            10.0,
            False,
            (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT, WatchEvent.REJECTED, WatchEvent.CONNECTION_LOST),
            101.0 + 6.0,
        ),
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        (
            10.0,
            False,
            (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT, WatchEvent.ADDRESS_CHANGED, WatchEvent.TIMED_OUT),
            101.0 + 6.0,
        ),
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT, WatchEvent.ANSWERED), math.inf),
        # After a rejection or a lost connection, discovery may be reachable again at once.
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.REJECTED), 101.5 + 6.0),
        (
            10.0,
            False,
            (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST, WatchEvent.CONNECTION_LOST),
            101.5 + 6.0,
        ),
        (0.0, False, (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST), 101.5 + 6.0),
        # A change that an agent has counts at once.
        (0.0, True, (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST, WatchEvent.CONNECTION_LOST), 101.5),
    ],
)
def test_the_time_from_which_a_missed_change_counts(
    poll_interval: float,
    pushed: bool,
    events: tuple[WatchEvent, ...],
    counts_from: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("notchjunction.discovery.watch_state.POLL_WAIT_JITTER", 0.0)
    assert watch_after(poll_interval, events, pushed).notified_by() == pytest.approx(counts_from)


@pytest.mark.parametrize("poll_interval", [0.0, 1.0, 5.0, 10.0, 30.0])
def test_a_timed_out_watch_leaves_time_for_the_next_poll_before_a_missed_change_counts(
    poll_interval: float,
) -> None:
    for seed in range(50):
        watch = ListWatch(poll_interval, seed=seed)
        watch.poll_ended(WatchEvent.ANSWERED, 0.0)
        wait = watch.next_wait(has_version=True)
        timed_out_at = 100.0 + watch.poll_started(100.0, wait)
        watch.poll_ended(WatchEvent.TIMED_OUT, timed_out_at)
        assert timed_out_at - 100.0 == pytest.approx(wait + RESPONSE_GRACE_S)
        assert watch.notified_by() - timed_out_at >= 1.49
        assert watch.next_wait(has_version=True) == 0.0  # the next poll is answered without a wait


def test_watches_of_many_nodes_do_not_end_together_and_an_agent_is_polled_soon() -> None:
    waits = [ListWatch(10.0, seed=seed).next_wait(has_version=True) for seed in range(40)]
    assert max(waits) - min(waits) > 1.0 and max(waits) <= 4.0
    assert ListWatch(0.0).next_wait(has_version=True) <= 4.0
    agent, remote = ListWatch(0.0, pushed=True), ListWatch(10.0)
    assert AGENT_BACKOFF_S <= agent.backoff() <= 2 * AGENT_BACKOFF_S
    assert MIN_BACKOFF_S <= remote.backoff() <= MIN_BACKOFF_S + BACKOFF_STEP_S
    assert (agent.initial_wait(), remote.initial_wait()) == (AGENT_INITIAL_WAIT_S, 0.0)


@pytest.mark.parametrize("rejections", [0, 1, 4, 8, 50])
def test_the_wait_of_a_watch_does_not_grow_with_rejected_polls(rejections: int) -> None:
    for seed in range(50):
        watch = ListWatch(10.0, seed=seed)
        for _ in range(rejections):
            watch.poll_ended(WatchEvent.REJECTED, 100.0)
        assert 2.8 <= watch.next_wait(has_version=True) <= 4.0


def test_a_new_address_is_polled_without_a_wait_until_it_answers() -> None:
    watch = watch_after(10.0, (WatchEvent.ANSWERED, WatchEvent.ADDRESS_CHANGED))
    assert watch.next_wait(has_version=True) == 0.0
    watch.poll_ended(WatchEvent.REJECTED, 103.0)
    assert watch.next_wait(has_version=True) == 0.0  # it has not answered yet
    watch.poll_ended(WatchEvent.ANSWERED, 104.0)
    assert watch.next_wait(has_version=True) > 0.0


@pytest.mark.parametrize(
    ("state", "elapsed", "event"),
    [
        (WatchState.NEW, 0.01, WatchEvent.REJECTED),  # nothing listens there
        (WatchState.NEW, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.UNRESPONSIVE, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.REJECTED, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.DOWN, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.DOWN, 3.5, WatchEvent.REJECTED),  # the poll had left the queue and was waiting
        (WatchState.WATCHING, 1.0, WatchEvent.REJECTED),  # a continued watch is not queued
    ],
)
def test_a_rejection_from_the_queue_is_distinguished_from_an_outage(
    state: WatchState, elapsed: float, event: WatchEvent
) -> None:
    watch = watch_after(10.0, EVENTS_LEADING_TO[state])
    watch.poll_started(200.0, 0.0)
    assert watch.classify_rejection(200.0 + elapsed) is event


def test_a_rejection_from_the_queue_doubles_the_backoff_up_to_a_bound() -> None:
    for seed in range(50):
        watch = ListWatch(10.0, seed=seed)
        watch.poll_started(100.0, 0.0)
        watch.poll_ended(WatchEvent.CONNECTION_LOST, 100.0)  # discovery was down and failed at once
        for factor in (1, 2, 4, 8, 16):
            watch.poll_ended(WatchEvent.RATE_LIMITED, 100.0)
            minimum, spread = (
                min(factor * seconds, MAX_OVERLOAD_BACKOFF_S)
                for seconds in (OVERLOAD_BACKOFF_S, OVERLOAD_BACKOFF_SPREAD_S)
            )
            assert minimum <= watch.backoff() <= minimum + spread
        watch.poll_ended(WatchEvent.ANSWERED, 200.0)
        watch.poll_started(200.0, 0.0)
        watch.poll_ended(WatchEvent.RATE_LIMITED, 201.0)
        assert watch.backoff() <= MIN_BACKOFF_S + OVERLOAD_RETRY_SPREAD_S


def test_no_backoff_exceeds_3_s_while_rejections_from_the_queue_may_mean_an_outage() -> None:
    for seed in range(50):
        watch = ListWatch(10.0, seed=seed, nodes=200)
        watch.poll_ended(WatchEvent.ANSWERED, 0.0)
        watch.poll_ended(WatchEvent.REJECTED, 3.0)  # the watch ends; no new poll was rejected at once
        for number in range(AMBIGUOUS_RATE_LIMITS):
            watch.poll_started(10.0 * number, 0.0)
            watch.poll_ended(WatchEvent.RATE_LIMITED, 10.0 * number + 2.0)
            assert MIN_BACKOFF_S <= watch.backoff() <= MIN_BACKOFF_S + 3 * BACKOFF_STEP_S
        watch.poll_started(90.0, 0.0)
        # After so many rejections the cause may be an overload that the retries sustain.
        watch.poll_ended(WatchEvent.RATE_LIMITED, 92.0)
        assert watch.backoff() >= OVERLOAD_BACKOFF_S


def test_retries_during_an_outage_are_at_most_3_s_apart_and_5_s_after_an_overload() -> None:
    for seed in range(50):
        watch = ListWatch(0.0, seed=seed)
        for failures in range(1, 6):
            watch.poll_ended(WatchEvent.REJECTED, 100.0)
            assert MIN_BACKOFF_S <= watch.backoff() <= MIN_BACKOFF_S + BACKOFF_STEP_S * min(failures, 3) < 3.0
        watch.poll_ended(WatchEvent.RATE_LIMITED, 101.0)
        watch.poll_started(102.0, 0.0)
        watch.poll_ended(WatchEvent.REJECTED, 102.0)
        # A change counts 6 s after discovery is reachable again, which leaves 1 s for the poll.
        assert MIN_BACKOFF_S <= watch.backoff() <= MIN_BACKOFF_S + OVERLOAD_RETRY_SPREAD_S <= 5.0


def test_a_poll_after_one_that_timed_out_has_twice_the_timeout() -> None:
    watch = ListWatch(10.0)
    watch.poll_ended(WatchEvent.ANSWERED, 0.0)
    for max_timeout in (1.5, 3.0, 6.0, 6.0):
        watch.poll_ended(WatchEvent.TIMED_OUT, 10.0)
        assert 0.7 * max_timeout <= watch.poll_started(10.0, watch.next_wait(has_version=True)) <= max_timeout


class OverloadedDiscovery:
    """Simulates nodes and a discovery that processes polls in turn and rejects those that queue too long.

    Each poll costs discovery the same, whether it is answered or rejected.
    """

    def __init__(self, nodes: int, rate: float, outage: float, seed: int, slow: bool = False) -> None:
        self._rate, self._outage_s, self._free_at = rate, outage, 0.0
        self._slow = slow  # whether it rejects polls only after a delay, even while it is down
        self._max_queue_time = 2.0 if slow else 1.0  # s that a poll may queue
        self._watches = [ListWatch(10.0, seed=1000 * seed + number, nodes=nodes) for number in range(nodes)]
        self._polls = [0] * nodes
        self._event_queue: list[tuple[float, int, int, WatchEvent | None]] = []  # None: the node sends a poll
        self.answered: dict[int, float] = {}  # s after the end of the outage

    def run(self, until: float) -> None:
        for number, watch in enumerate(self._watches):
            watch.poll_ended(WatchEvent.ANSWERED, 0.0)
            watch.poll_ended(WatchEvent.REJECTED, 0.0)  # its watch ends as discovery goes down
            self._schedule(0.0, number, watch)
        while self._event_queue and self._event_queue[0][0] < self._outage_s + until:
            now, number, poll, event = heapq.heappop(self._event_queue)
            if event is None:
                self._poll(now, number)
            elif poll == self._polls[number]:
                self._polls[number] += 1
                self._end_poll(now, number, event)

    def _schedule(self, now: float, number: int, watch: ListWatch) -> None:
        heapq.heappush(self._event_queue, (now + watch.backoff(), number, 0, None))

    def _poll(self, now: float, number: int) -> None:
        watch, poll = self._watches[number], self._polls[number]
        timeout = watch.poll_started(now, watch.next_wait(has_version=True))
        if now < self._outage_s and not self._slow:
            self._end_poll(now, number, WatchEvent.REJECTED)
            return
        heapq.heappush(self._event_queue, (now + timeout, number, poll, WatchEvent.TIMED_OUT))
        if now < self._outage_s:
            heapq.heappush(self._event_queue, (now + self._max_queue_time, number, poll, WatchEvent.REJECTED))
            return
        service_start = max(now, self._free_at)
        self._free_at = service_start + 1 / self._rate
        if service_start - now > self._max_queue_time:
            heapq.heappush(self._event_queue, (now + self._max_queue_time, number, poll, WatchEvent.REJECTED))
        else:
            heapq.heappush(self._event_queue, (self._free_at, number, poll, WatchEvent.ANSWERED))

    def _end_poll(self, now: float, number: int, event: WatchEvent) -> None:
        watch = self._watches[number]
        event = watch.classify_rejection(now) if event is WatchEvent.REJECTED else event
        match watch.poll_ended(event, now):
            case PollAction.BACK_OFF:
                self._schedule(now, number, watch)
            case PollAction.RETRY_NOW:
                self._poll(now, number)
            case _:
                self.answered.setdefault(number, now - self._outage_s)


@pytest.mark.parametrize(
    ("nodes", "rate", "slow", "all_answered_after"),
    [
        (15, 5.0, False, 8.0),
        (24, 8.0, False, 6.0),
        (200, 60.0, False, 6.0),
        (200, 40.0, False, 10.0),
        # Guards against backoffs that double from the first rejection: 80 nodes were then notified too late.
        (220, 42.0, True, 6.0),
        (5, 40.0, True, 5.0),
    ],
)
def test_polls_of_many_nodes_spread_out_so_that_all_are_answered_in_time(
    nodes: int, rate: float, slow: bool, all_answered_after: float
) -> None:
    """Discovery could answer all nodes once in 3 to 5 s, but rejected polls cost it as much as others."""
    for seed in range(10):
        discovery = OverloadedDiscovery(nodes, rate, outage=8.0, seed=seed, slow=slow)
        discovery.run(until=60.0)
        assert len(discovery.answered) == nodes
        assert max(discovery.answered.values()) <= all_answered_after


def test_many_nodes_move_to_a_new_address_at_different_times() -> None:
    delays = [ListWatch(10.0, seed=seed, nodes=200).address_change_delay() for seed in range(200)]
    assert max(delays) <= ADDRESS_CHANGE_SPREAD_S < 4.0 - 1.0  # 1 s is left for the poll
    for index in range(5):
        in_interval = [delay for delay in delays if index * 0.5 <= delay < (index + 1) * 0.5]
        assert 25 <= len(in_interval) <= 55
    assert ListWatch(10.0, nodes=5).address_change_delay() == 0.0
    assert ListWatch(10.0, pushed=True, nodes=200).address_change_delay() == 0.0
