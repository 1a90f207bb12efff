"""One clock for the list: a row of the table a story, and what counts as told in which state."""

from __future__ import annotations

import math

import pytest

from notchjunction.following import (
    AGENT_PAUSE,
    FIRST_WITHIN,
    ROWS,
    SILENT_AFTER,
    Effect,
    Following,
    Input,
    State,
)

WAY = {  # how each state is come to
    State.NEW: (),
    State.WATCHING: (Input.ANSWERED,),
    State.SILENT: (Input.ANSWERED, Input.SILENCE),
    State.REFUSED: (Input.ANSWERED, Input.REFUSAL),
    State.DOWN: (Input.ANSWERED, Input.BREAK),
}
EXPECTED = {
    Input.ANSWERED: Effect.BACK,
    Input.SILENCE: Effect.AGAIN,
    Input.REFUSAL: Effect.PAUSE,
    Input.BREAK: Effect.PAUSE,
    Input.MOVED: Effect.GO_ON,
}


def follow(
    ask_within: float, events: tuple[Input, ...], pushed: bool = False, at: float = 100.0
) -> Following:
    """Calls that begin a second apart, and end as told half a second later."""
    following = Following(ask_within, pushed)
    for number, event in enumerate(events):
        following.begins(at + number, following.next_wait(known=True))
        following.tell(event, at + number + 0.5)
    return following


@pytest.mark.parametrize(("state", "event"), list(ROWS))
def test_each_end_of_a_call_in_each_state_has_its_effect(state: State, event: Input) -> None:
    following = follow(10.0, WAY[state])
    assert following.state is state
    expected = EXPECTED[event]
    if event is Input.ANSWERED and state in (State.NEW, State.WATCHING):
        expected = Effect.GO_ON
    if event is Input.MOVED and state is State.SILENT:
        expected = Effect.AGAIN  # what is missed is missed at the new place too
    assert following.tell(event, 110.0) is expected


@pytest.mark.parametrize(
    ("ask_within", "pushed", "events", "told_by"),
    [
        (10.0, False, (Input.ANSWERED,), math.inf),
        # What a silent watch missed may have come right after its beginning, however long it may wait.
        (10.0, False, (Input.ANSWERED, Input.SILENCE), 101.0 + 6.0),
        (2.0, False, (Input.ANSWERED, Input.SILENCE), 101.0 + 6.0),
        # Its clock runs on, whatever becomes of the calls after it, until one is answered.
        (10.0, False, (Input.ANSWERED, Input.SILENCE, Input.REFUSAL, Input.BREAK), 101.0 + 6.0),
        (10.0, False, (Input.ANSWERED, Input.SILENCE, Input.SILENCE), 101.0 + 6.0),
        (10.0, False, (Input.ANSWERED, Input.SILENCE, Input.MOVED, Input.SILENCE), 101.0 + 6.0),
        (10.0, False, (Input.ANSWERED, Input.SILENCE, Input.ANSWERED), math.inf),
        # Refused or broken, no more is allowed: discovery may have been reached the moment after.
        (10.0, False, (Input.ANSWERED, Input.REFUSAL), 101.5 + 6.0),
        (10.0, False, (Input.ANSWERED, Input.BREAK, Input.BREAK), 101.5 + 6.0),
        (0.0, False, (Input.ANSWERED, Input.BREAK), 101.5 + 6.0),
        # What an agent has counts at once.
        (0.0, True, (Input.ANSWERED, Input.BREAK, Input.BREAK), 101.5),
    ],
)
def test_what_is_missed_counts_as_told_by_one_clock(
    ask_within: float,
    pushed: bool,
    events: tuple[Input, ...],
    told_by: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("notchjunction.following.WAIT_SPREAD", 0.0)
    assert follow(ask_within, events, pushed).told_by() == pytest.approx(told_by)


@pytest.mark.parametrize("ask_within", [0.0, 1.0, 5.0, 10.0, 30.0])
def test_a_silent_watch_leaves_a_second_for_the_next_call_before_its_news_counts(ask_within: float) -> None:
    for seed in range(50):
        following = Following(ask_within, seed=seed)
        following.tell(Input.ANSWERED, 0.0)
        wait = following.next_wait(known=True)
        silent_at = 100.0 + following.begins(100.0, wait)
        following.tell(Input.SILENCE, silent_at)
        assert silent_at - 100.0 == pytest.approx(wait + SILENT_AFTER)
        assert following.told_by() - silent_at >= 1.49
        assert following.next_wait(known=True) == 0.0  # an answer is due at once


def test_watches_of_many_nodes_do_not_end_together_and_an_agent_is_asked_soon() -> None:
    waits = [Following(10.0, seed=seed).next_wait(known=True) for seed in range(40)]
    assert max(waits) - min(waits) > 1.0 and max(waits) <= 4.0
    assert Following(0.0).next_wait(known=True) <= 4.0
    agent, asked = Following(0.0, pushed=True), Following(10.0)
    assert AGENT_PAUSE <= (agent.pause() or 0.0) <= 2 * AGENT_PAUSE and asked.pause() is None
    assert (agent.waits_first(), asked.waits_first()) == (FIRST_WITHIN, 0.0)


@pytest.mark.parametrize("refusals", [0, 1, 4, 8, 50])
def test_no_watch_is_longer_however_many_calls_were_refused(refusals: int) -> None:
    for seed in range(50):
        following = Following(10.0, seed=seed)
        for _ in range(refusals):
            following.tell(Input.REFUSAL, 100.0)
        assert 2.8 <= following.next_wait(known=True) <= 4.0


def test_a_new_place_is_asked_for_what_it_has_at_once_until_it_answers() -> None:
    following = follow(10.0, (Input.ANSWERED, Input.MOVED))
    assert following.next_wait(known=True) == 0.0
    following.tell(Input.REFUSAL, 103.0)
    assert following.next_wait(known=True) == 0.0  # it has not said a word yet
    following.tell(Input.ANSWERED, 104.0)
    assert following.next_wait(known=True) > 0.0
