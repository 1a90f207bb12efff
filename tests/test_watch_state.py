"""The watch on the endpoint list: each transition, and from when a missed change counts in which state."""

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

EVENTS_TO = {  # the events that lead to each state
    WatchState.NEW: (),
    WatchState.WATCHING: (WatchEvent.ANSWERED,),
    WatchState.UNRESPONSIVE: (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT),
    WatchState.REJECTED: (WatchEvent.ANSWERED, WatchEvent.REJECTED),
    WatchState.DOWN: (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST),
}
EXPECTED = {
    WatchEvent.ANSWERED: PollAction.RESUME,
    WatchEvent.TIMED_OUT: PollAction.RETRY_NOW,
    WatchEvent.REJECTED: PollAction.BACK_OFF,
    WatchEvent.CONNECTION_LOST: PollAction.BACK_OFF,
    WatchEvent.RATE_LIMITED: PollAction.BACK_OFF,
    WatchEvent.ADDRESS_CHANGED: PollAction.CONTINUE,
}


def watch_after(
    poll_interval: float, events: tuple[WatchEvent, ...], pushed: bool = False, at: float = 100.0
) -> ListWatch:
    """A watch whose polls start a second apart, and end half a second later with `events` in turn."""
    watch = ListWatch(poll_interval, pushed)
    for number, event in enumerate(events):
        watch.poll_started(at + number, watch.next_wait(has_version=True))
        watch.poll_ended(event, at + number + 0.5)
    return watch


@pytest.mark.parametrize(("state", "event"), [(transition.state, transition.event) for transition in TABLE])
def test_each_end_of_a_poll_in_each_state_has_its_action(state: WatchState, event: WatchEvent) -> None:
    watch = watch_after(10.0, EVENTS_TO[state])
    assert watch.state is state
    expected = EXPECTED[event]
    if event is WatchEvent.ANSWERED and state in (WatchState.NEW, WatchState.WATCHING):
        expected = PollAction.CONTINUE
    if event is WatchEvent.ADDRESS_CHANGED and state is WatchState.UNRESPONSIVE:
        expected = PollAction.RETRY_NOW  # what is missed is missed at the new place too
    assert watch.poll_ended(event, 110.0) is expected


@pytest.mark.parametrize(
    ("poll_interval", "pushed", "events", "counts_from"),
    [
        (10.0, False, (WatchEvent.ANSWERED,), math.inf),
        # What a silent watch missed may have come right after its beginning, however long it may wait.
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        (2.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        # Its clock runs on, whatever becomes of the polls after it, until one is answered.
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
        # Refused or broken, no more is allowed: discovery may have been reached the moment after.
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.REJECTED), 101.5 + 6.0),
        (
            10.0,
            False,
            (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST, WatchEvent.CONNECTION_LOST),
            101.5 + 6.0,
        ),
        (0.0, False, (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST), 101.5 + 6.0),
        # What an agent has counts at once.
        (0.0, True, (WatchEvent.ANSWERED, WatchEvent.CONNECTION_LOST, WatchEvent.CONNECTION_LOST), 101.5),
    ],
)
def test_what_is_missed_counts_by_one_clock(
    poll_interval: float,
    pushed: bool,
    events: tuple[WatchEvent, ...],
    counts_from: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("notchjunction.discovery.watch_state.POLL_WAIT_JITTER", 0.0)
    assert watch_after(poll_interval, events, pushed).notified_by() == pytest.approx(counts_from)


@pytest.mark.parametrize("poll_interval", [0.0, 1.0, 5.0, 10.0, 30.0])
def test_a_timed_out_watch_leaves_time_for_the_next_poll_before_what_it_missed_counts(
    poll_interval: float,
) -> None:
    for seed in range(50):
        watch = ListWatch(poll_interval, seed=seed)
        watch.poll_ended(WatchEvent.ANSWERED, 0.0)
        wait = watch.next_wait(has_version=True)
        silent_at = 100.0 + watch.poll_started(100.0, wait)
        watch.poll_ended(WatchEvent.TIMED_OUT, silent_at)
        assert silent_at - 100.0 == pytest.approx(wait + RESPONSE_GRACE_S)
        assert watch.notified_by() - silent_at >= 1.49
        assert watch.next_wait(has_version=True) == 0.0  # an answer is due at once


def test_watches_of_many_nodes_do_not_end_together_and_an_agent_is_polled_soon() -> None:
    waits = [ListWatch(10.0, seed=seed).next_wait(has_version=True) for seed in range(40)]
    assert max(waits) - min(waits) > 1.0 and max(waits) <= 4.0
    assert ListWatch(0.0).next_wait(has_version=True) <= 4.0
    agent, remote = ListWatch(0.0, pushed=True), ListWatch(10.0)
    assert AGENT_BACKOFF_S <= agent.backoff() <= 2 * AGENT_BACKOFF_S
    assert MIN_BACKOFF_S <= remote.backoff() <= MIN_BACKOFF_S + BACKOFF_STEP_S
    assert (agent.initial_wait(), remote.initial_wait()) == (AGENT_INITIAL_WAIT_S, 0.0)


@pytest.mark.parametrize("rejections", [0, 1, 4, 8, 50])
def test_no_watch_is_longer_however_many_polls_were_rejected(rejections: int) -> None:
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
    ("state", "waited", "event"),
    [
        (WatchState.NEW, 0.01, WatchEvent.REJECTED),  # nothing listens there
        (WatchState.NEW, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.UNRESPONSIVE, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.REJECTED, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.DOWN, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.DOWN, 3.5, WatchEvent.REJECTED),  # it had passed the queue, and was waiting
        (WatchState.WATCHING, 1.0, WatchEvent.REJECTED),  # a watch that goes on is in no queue
    ],
)
def test_a_rejection_from_the_queue_is_distinguished_from_an_outage(
    state: WatchState, waited: float, event: WatchEvent
) -> None:
    watch = watch_after(10.0, EVENTS_TO[state])
    watch.poll_started(200.0, 0.0)
    assert watch.classify_rejection(200.0 + waited) is event


def test_a_rejection_from_the_queue_doubles_the_backoff_up_to_a_bound() -> None:
    for seed in range(50):
        watch = ListWatch(10.0, seed=seed)
        watch.poll_started(100.0, 0.0)
        watch.poll_ended(WatchEvent.CONNECTION_LOST, 100.0)  # it was down, and quick to say so
        for times in (1, 2, 4, 8, 16):
            watch.poll_ended(WatchEvent.RATE_LIMITED, 100.0)
            shortest, spread = (
                min(times * span, MAX_OVERLOAD_BACKOFF_S)
                for span in (OVERLOAD_BACKOFF_S, OVERLOAD_BACKOFF_SPREAD_S)
            )
            assert shortest <= watch.backoff() <= shortest + spread
        watch.poll_ended(WatchEvent.ANSWERED, 200.0)
        watch.poll_started(200.0, 0.0)
        watch.poll_ended(WatchEvent.RATE_LIMITED, 201.0)
        assert watch.backoff() <= MIN_BACKOFF_S + OVERLOAD_RETRY_SPREAD_S


def test_while_rejections_from_the_queue_may_mean_an_outage_no_backoff_is_over_3_s() -> None:
    for seed in range(50):
        watch = ListWatch(10.0, seed=seed, nodes=200)
        watch.poll_ended(WatchEvent.ANSWERED, 0.0)
        watch.poll_ended(WatchEvent.REJECTED, 3.0)  # its watch ends: no poll was rejected at once
        for number in range(AMBIGUOUS_RATE_LIMITS):
            watch.poll_started(10.0 * number, 0.0)
            watch.poll_ended(WatchEvent.RATE_LIMITED, 10.0 * number + 2.0)
            assert MIN_BACKOFF_S <= watch.backoff() <= MIN_BACKOFF_S + 3 * BACKOFF_STEP_S
        watch.poll_started(90.0, 0.0)
        watch.poll_ended(
            WatchEvent.RATE_LIMITED, 92.0
        )  # but not forever: it may be an overload that sustains itself
        assert watch.backoff() >= OVERLOAD_BACKOFF_S


def test_retries_during_an_outage_are_3_s_apart_and_5_s_where_an_overload_was_met() -> None:
    for seed in range(50):
        watch = ListWatch(0.0, seed=seed)
        for failures in range(1, 6):
            watch.poll_ended(WatchEvent.REJECTED, 100.0)
            assert MIN_BACKOFF_S <= watch.backoff() <= MIN_BACKOFF_S + BACKOFF_STEP_S * min(failures, 3) < 3.0
        watch.poll_ended(WatchEvent.RATE_LIMITED, 101.0)
        watch.poll_started(102.0, 0.0)
        watch.poll_ended(WatchEvent.REJECTED, 102.0)
        # A change counts 6 s after discovery is back: a second is left for the poll.
        assert MIN_BACKOFF_S <= watch.backoff() <= MIN_BACKOFF_S + OVERLOAD_RETRY_SPREAD_S <= 5.0


def test_a_poll_after_one_that_timed_out_has_twice_the_timeout() -> None:
    watch = ListWatch(10.0)
    watch.poll_ended(WatchEvent.ANSWERED, 0.0)
    for longest in (1.5, 3.0, 6.0, 6.0):
        watch.poll_ended(WatchEvent.TIMED_OUT, 10.0)
        assert 0.7 * longest <= watch.poll_started(10.0, watch.next_wait(has_version=True)) <= longest


class OverloadedDiscovery:
    """Nodes at a discovery that works through polls in turn, and rejects those that have queued for long.

    Each poll costs it the same, whether or not it is answered in time.
    """

    def __init__(self, nodes: int, rate: float, down: float, seed: int, slow: bool = False) -> None:
        self._rate, self._down, self._free_at = rate, down, 0.0
        self._slow = slow  # whether it rejects a poll only after a while, also while it is down
        self._max_queue_time = 2.0 if slow else 1.0  # s that a poll may queue
        self._watches = [ListWatch(10.0, seed=1000 * seed + number, nodes=nodes) for number in range(nodes)]
        self._polls = [0] * nodes
        self._due: list[tuple[float, int, int, WatchEvent | None]] = []  # None: the node polls
        self.answered: dict[int, float] = {}  # s after discovery's return

    def play(self, until: float) -> None:
        for number, watch in enumerate(self._watches):
            watch.poll_ended(WatchEvent.ANSWERED, 0.0)
            watch.poll_ended(WatchEvent.REJECTED, 0.0)  # its watch ends as discovery goes down
            self._schedule(0.0, number, watch)
        while self._due and self._due[0][0] < self._down + until:
            now, number, poll, event = heapq.heappop(self._due)
            if event is None:
                self._poll(now, number)
            elif poll == self._polls[number]:
                self._polls[number] += 1
                self._ended(now, number, event)

    def _schedule(self, now: float, number: int, watch: ListWatch) -> None:
        heapq.heappush(self._due, (now + watch.backoff(), number, 0, None))

    def _poll(self, now: float, number: int) -> None:
        watch, poll = self._watches[number], self._polls[number]
        timeout = watch.poll_started(now, watch.next_wait(has_version=True))
        if now < self._down and not self._slow:
            self._ended(now, number, WatchEvent.REJECTED)
            return
        heapq.heappush(self._due, (now + timeout, number, poll, WatchEvent.TIMED_OUT))
        if now < self._down:
            heapq.heappush(self._due, (now + self._max_queue_time, number, poll, WatchEvent.REJECTED))
            return
        begins = max(now, self._free_at)
        self._free_at = begins + 1 / self._rate
        if begins - now > self._max_queue_time:
            heapq.heappush(self._due, (now + self._max_queue_time, number, poll, WatchEvent.REJECTED))
        else:
            heapq.heappush(self._due, (self._free_at, number, poll, WatchEvent.ANSWERED))

    def _ended(self, now: float, number: int, event: WatchEvent) -> None:
        watch = self._watches[number]
        event = watch.classify_rejection(now) if event is WatchEvent.REJECTED else event
        match watch.poll_ended(event, now):
            case PollAction.BACK_OFF:
                self._schedule(now, number, watch)
            case PollAction.RETRY_NOW:
                self._poll(now, number)
            case _:
                self.answered.setdefault(number, now - self._down)


@pytest.mark.parametrize(
    ("nodes", "rate", "slow", "all_answered_after"),
    [
        (15, 5.0, False, 8.0),
        (24, 8.0, False, 6.0),
        (200, 60.0, False, 6.0),
        (200, 40.0, False, 10.0),
        # As on the bench's herd day, where pauses that doubled at once had eighty nodes notified too late.
        (220, 42.0, True, 6.0),
        (5, 40.0, True, 5.0),
    ],
)
def test_polls_of_many_nodes_spread_out_however_many_were_rejected(
    nodes: int, rate: float, slow: bool, all_answered_after: float
) -> None:
    """It could answer each once in 3 to 5 s; those that retry too soon cost as much as those it answers."""
    for seed in range(10):
        discovery = OverloadedDiscovery(nodes, rate, down=8.0, seed=seed, slow=slow)
        discovery.play(until=60.0)
        assert len(discovery.answered) == nodes
        assert max(discovery.answered.values()) <= all_answered_after


def test_many_nodes_do_not_move_to_a_new_address_in_one_moment() -> None:
    delays = [ListWatch(10.0, seed=seed, nodes=200).address_change_delay() for seed in range(200)]
    assert max(delays) <= ADDRESS_CHANGE_SPREAD_S < 4.0 - 1.0  # a second is left for the poll
    for at in range(5):
        in_step = [delay for delay in delays if at * 0.5 <= delay < (at + 1) * 0.5]
        assert 25 <= len(in_step) <= 55
    assert ListWatch(10.0, nodes=5).address_change_delay() == 0.0
    assert ListWatch(10.0, pushed=True, nodes=200).address_change_delay() == 0.0
