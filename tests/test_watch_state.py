"""One clock for the list: a row of the table a story, and what counts as told in which state."""

from __future__ import annotations

import heapq
import math

import pytest

from notchjunction.discovery.watch_state import (
    AGENT_PAUSE,
    CROWD_DOUBTED,
    CROWD_MOST,
    CROWD_PAUSE,
    CROWD_SPREAD,
    FIRST_WITHIN,
    MOVE_SPREAD,
    RENEW_LEAST,
    RENEW_MORE,
    RENEW_SPREAD,
    ROWS,
    SILENT_AFTER,
    ListWatch,
    PollAction,
    WatchEvent,
    WatchState,
)

WAY = {  # how each state is come to
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


def follow(
    ask_within: float, events: tuple[WatchEvent, ...], pushed: bool = False, at: float = 100.0
) -> ListWatch:
    """Calls that begin a second apart, and end as told half a second later."""
    following = ListWatch(ask_within, pushed)
    for number, event in enumerate(events):
        following.poll_started(at + number, following.next_wait(known=True))
        following.poll_ended(event, at + number + 0.5)
    return following


@pytest.mark.parametrize(("state", "event"), list(ROWS))
def test_each_end_of_a_call_in_each_state_has_its_effect(state: WatchState, event: WatchEvent) -> None:
    following = follow(10.0, WAY[state])
    assert following.state is state
    expected = EXPECTED[event]
    if event is WatchEvent.ANSWERED and state in (WatchState.NEW, WatchState.WATCHING):
        expected = PollAction.CONTINUE
    if event is WatchEvent.ADDRESS_CHANGED and state is WatchState.UNRESPONSIVE:
        expected = PollAction.RETRY_NOW  # what is missed is missed at the new place too
    assert following.poll_ended(event, 110.0) is expected


@pytest.mark.parametrize(
    ("ask_within", "pushed", "events", "told_by"),
    [
        (10.0, False, (WatchEvent.ANSWERED,), math.inf),
        # What a silent watch missed may have come right after its beginning, however long it may wait.
        (10.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        (2.0, False, (WatchEvent.ANSWERED, WatchEvent.TIMED_OUT), 101.0 + 6.0),
        # Its clock runs on, whatever becomes of the calls after it, until one is answered.
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
def test_what_is_missed_counts_as_told_by_one_clock(
    ask_within: float,
    pushed: bool,
    events: tuple[WatchEvent, ...],
    told_by: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("notchjunction.discovery.watch_state.WAIT_SPREAD", 0.0)
    assert follow(ask_within, events, pushed).notified_by() == pytest.approx(told_by)


@pytest.mark.parametrize("ask_within", [0.0, 1.0, 5.0, 10.0, 30.0])
def test_a_silent_watch_leaves_a_second_for_the_next_call_before_its_news_counts(ask_within: float) -> None:
    for seed in range(50):
        following = ListWatch(ask_within, seed=seed)
        following.poll_ended(WatchEvent.ANSWERED, 0.0)
        wait = following.next_wait(known=True)
        silent_at = 100.0 + following.poll_started(100.0, wait)
        following.poll_ended(WatchEvent.TIMED_OUT, silent_at)
        assert silent_at - 100.0 == pytest.approx(wait + SILENT_AFTER)
        assert following.notified_by() - silent_at >= 1.49
        assert following.next_wait(known=True) == 0.0  # an answer is due at once


def test_watches_of_many_nodes_do_not_end_together_and_an_agent_is_asked_soon() -> None:
    waits = [ListWatch(10.0, seed=seed).next_wait(known=True) for seed in range(40)]
    assert max(waits) - min(waits) > 1.0 and max(waits) <= 4.0
    assert ListWatch(0.0).next_wait(known=True) <= 4.0
    agent, asked = ListWatch(0.0, pushed=True), ListWatch(10.0)
    assert AGENT_PAUSE <= agent.backoff() <= 2 * AGENT_PAUSE
    assert RENEW_LEAST <= asked.backoff() <= RENEW_LEAST + RENEW_MORE
    assert (agent.initial_wait(), asked.initial_wait()) == (FIRST_WITHIN, 0.0)


@pytest.mark.parametrize("refusals", [0, 1, 4, 8, 50])
def test_no_watch_is_longer_however_many_calls_were_refused(refusals: int) -> None:
    for seed in range(50):
        following = ListWatch(10.0, seed=seed)
        for _ in range(refusals):
            following.poll_ended(WatchEvent.REJECTED, 100.0)
        assert 2.8 <= following.next_wait(known=True) <= 4.0


def test_a_new_place_is_asked_for_what_it_has_at_once_until_it_answers() -> None:
    following = follow(10.0, (WatchEvent.ANSWERED, WatchEvent.ADDRESS_CHANGED))
    assert following.next_wait(known=True) == 0.0
    following.poll_ended(WatchEvent.REJECTED, 103.0)
    assert following.next_wait(known=True) == 0.0  # it has not said a word yet
    following.poll_ended(WatchEvent.ANSWERED, 104.0)
    assert following.next_wait(known=True) > 0.0


@pytest.mark.parametrize(
    ("state", "waited", "event"),
    [
        (WatchState.NEW, 0.01, WatchEvent.REJECTED),  # nobody is there to wait for
        (WatchState.NEW, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.UNRESPONSIVE, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.REJECTED, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.DOWN, 1.0, WatchEvent.RATE_LIMITED),
        (WatchState.DOWN, 3.5, WatchEvent.REJECTED),  # it had come through, and was held
        (WatchState.WATCHING, 1.0, WatchEvent.REJECTED),  # a watch that goes on is in no queue
    ],
)
def test_a_refusal_after_a_wait_in_the_queue_is_told_from_one_of_a_place_that_is_down(
    state: WatchState, waited: float, event: WatchEvent
) -> None:
    following = follow(10.0, WAY[state])
    following.poll_started(200.0, 0.0)
    assert following.classify_rejection(200.0 + waited) is event


def test_who_waited_in_vain_comes_again_after_twice_the_span_each_time_up_to_a_bound() -> None:
    for seed in range(50):
        following = ListWatch(10.0, seed=seed)
        following.poll_started(100.0, 0.0)
        following.poll_ended(WatchEvent.CONNECTION_LOST, 100.0)  # it was down, and quick to say so
        for times in (1, 2, 4, 8, 16):
            following.poll_ended(WatchEvent.RATE_LIMITED, 100.0)
            least, spread = (min(times * span, CROWD_MOST) for span in (CROWD_PAUSE, CROWD_SPREAD))
            assert least <= following.backoff() <= least + spread
        following.poll_ended(WatchEvent.ANSWERED, 200.0)
        following.poll_started(200.0, 0.0)
        following.poll_ended(WatchEvent.RATE_LIMITED, 201.0)
        assert following.backoff() <= RENEW_LEAST + RENEW_SPREAD


def test_while_refusals_after_a_wait_may_come_of_an_outage_no_pause_is_over_3_s() -> None:
    for seed in range(50):
        following = ListWatch(10.0, seed=seed, nodes=200)
        following.poll_ended(WatchEvent.ANSWERED, 0.0)
        following.poll_ended(WatchEvent.REJECTED, 3.0)  # its watch ends: no call was refused at once
        for number in range(CROWD_DOUBTED):
            following.poll_started(10.0 * number, 0.0)
            following.poll_ended(WatchEvent.RATE_LIMITED, 10.0 * number + 2.0)
            assert RENEW_LEAST <= following.backoff() <= RENEW_LEAST + 3 * RENEW_MORE
        following.poll_started(90.0, 0.0)
        following.poll_ended(
            WatchEvent.RATE_LIMITED, 92.0
        )  # but not for ever: it may be a crowd that holds itself up
        assert following.backoff() >= CROWD_PAUSE


def test_tries_at_a_place_that_is_down_are_3_s_apart_and_5_s_where_a_crowd_was_met() -> None:
    for seed in range(50):
        following = ListWatch(0.0, seed=seed)
        for failures in range(1, 6):
            following.poll_ended(WatchEvent.REJECTED, 100.0)
            assert RENEW_LEAST <= following.backoff() <= RENEW_LEAST + RENEW_MORE * min(failures, 3) < 3.0
        following.poll_ended(WatchEvent.RATE_LIMITED, 101.0)
        following.poll_started(102.0, 0.0)
        following.poll_ended(WatchEvent.REJECTED, 102.0)
        # A change counts 6 s after discovery is back: a second is left for the call.
        assert RENEW_LEAST <= following.backoff() <= RENEW_LEAST + RENEW_SPREAD <= 5.0


def test_a_call_after_one_that_stayed_silent_has_twice_the_time() -> None:
    following = ListWatch(10.0)
    following.poll_ended(WatchEvent.ANSWERED, 0.0)
    for most in (1.5, 3.0, 6.0, 6.0):
        following.poll_ended(WatchEvent.TIMED_OUT, 10.0)
        assert 0.7 * most <= following.poll_started(10.0, following.next_wait(known=True)) <= most


class Crowd:
    """Nodes at a discovery that works through calls in turn, and refuses those that have waited for long.

    Each call costs it the same, whether or not it is answered or still waited for.
    """

    def __init__(self, nodes: int, rate: float, down: float, seed: int, slow: bool = False) -> None:
        self._rate, self._down, self._free_at = rate, down, 0.0
        self._slow = slow  # whether a call is refused only after it has waited, also while discovery is down
        self._queue_most = 2.0 if slow else 1.0  # s that a call may wait
        self._followings = [
            ListWatch(10.0, seed=1000 * seed + number, nodes=nodes) for number in range(nodes)
        ]
        self._calls = [0] * nodes
        self._due: list[tuple[float, int, int, WatchEvent | None]] = []  # None: the node asks
        self.heard: dict[int, float] = {}  # s after discovery's return

    def play(self, until: float) -> None:
        for number, following in enumerate(self._followings):
            following.poll_ended(WatchEvent.ANSWERED, 0.0)
            following.poll_ended(WatchEvent.REJECTED, 0.0)  # its watch ends as discovery goes down
            self._after(0.0, number, following)
        while self._due and self._due[0][0] < self._down + until:
            now, number, call, event = heapq.heappop(self._due)
            if event is None:
                self._ask(now, number)
            elif call == self._calls[number]:
                self._calls[number] += 1
                self._ended(now, number, event)

    def _after(self, now: float, number: int, following: ListWatch) -> None:
        heapq.heappush(self._due, (now + following.backoff(), number, 0, None))

    def _ask(self, now: float, number: int) -> None:
        following, call = self._followings[number], self._calls[number]
        silent_after = following.poll_started(now, following.next_wait(known=True))
        if now < self._down and not self._slow:
            self._ended(now, number, WatchEvent.REJECTED)
            return
        heapq.heappush(self._due, (now + silent_after, number, call, WatchEvent.TIMED_OUT))
        if now < self._down:
            heapq.heappush(self._due, (now + self._queue_most, number, call, WatchEvent.REJECTED))
            return
        begins = max(now, self._free_at)
        self._free_at = begins + 1 / self._rate
        if begins - now > self._queue_most:
            heapq.heappush(self._due, (now + self._queue_most, number, call, WatchEvent.REJECTED))
        else:
            heapq.heappush(self._due, (self._free_at, number, call, WatchEvent.ANSWERED))

    def _ended(self, now: float, number: int, event: WatchEvent) -> None:
        following = self._followings[number]
        event = following.classify_rejection(now) if event is WatchEvent.REJECTED else event
        match following.poll_ended(event, now):
            case PollAction.BACK_OFF:
                self._after(now, number, following)
            case PollAction.RETRY_NOW:
                self._ask(now, number)
            case _:
                self.heard.setdefault(number, now - self._down)


@pytest.mark.parametrize(
    ("nodes", "rate", "slow", "all_within"),
    [
        (15, 5.0, False, 8.0),
        (24, 8.0, False, 6.0),
        (200, 60.0, False, 6.0),
        (200, 40.0, False, 10.0),
        # As on the bench's herd day, where pauses that doubled at once had eighty nodes hear too late.
        (220, 42.0, True, 6.0),
        (5, 40.0, True, 5.0),
    ],
)
def test_a_crowd_at_discovery_comes_apart_however_many_were_refused(
    nodes: int, rate: float, slow: bool, all_within: float
) -> None:
    """It could answer each once in 3 to 5 s; those who come too soon cost as much as those it answers."""
    for seed in range(10):
        crowd = Crowd(nodes, rate, down=8.0, seed=seed, slow=slow)
        crowd.play(until=60.0)
        assert len(crowd.heard) == nodes
        assert max(crowd.heard.values()) <= all_within


def test_many_nodes_that_are_told_of_a_new_place_do_not_go_there_in_one_moment() -> None:
    pauses = [ListWatch(10.0, seed=seed, nodes=200).address_change_delay() for seed in range(200)]
    assert max(pauses) <= MOVE_SPREAD < 4.0 - 1.0  # a second is left for the call
    for at in range(5):
        within = [pause for pause in pauses if at * 0.5 <= pause < (at + 1) * 0.5]
        assert 25 <= len(within) <= 55
    assert ListWatch(10.0, nodes=5).address_change_delay() == 0.0
    assert ListWatch(10.0, pushed=True, nodes=200).address_change_delay() == 0.0
