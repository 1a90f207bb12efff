"""Tests of the generic state table: lookup, order and rejected tables."""

from __future__ import annotations

import pytest

from notchjunction.state_table import StateTable, Transition

OPEN = Transition("closed", "open", "open", 1)
CLOSE = Transition("open", "close", "closed", 2)
TABLE = StateTable[str, str, int]((OPEN, CLOSE))


def test_a_transition_is_found_by_state_and_event() -> None:
    assert TABLE["closed", "open"] is OPEN
    assert TABLE.find("open", "close") is CLOSE


def test_for_an_event_without_a_transition_find_returns_none_and_indexing_raises() -> None:
    assert TABLE.find("open", "open") is None
    with pytest.raises(KeyError):
        TABLE["open", "open"]


def test_iteration_follows_the_order_of_the_table() -> None:
    assert list(TABLE) == [OPEN, CLOSE]


def test_two_transitions_for_one_state_and_event_are_rejected() -> None:
    with pytest.raises(ValueError, match="two transitions for closed and open"):
        StateTable((OPEN, Transition("closed", "open", "closed", 3)))
