"""Tests of the count of recent events: the bounds of the span, and expired events."""

from __future__ import annotations

import pytest

from notchjunction.balancing.recent_events import EVENT_SPAN_S, RecentEvents

NOW = 1000.0


def test_the_count_is_zero_without_events() -> None:
    assert RecentEvents().count(NOW) == 0


@pytest.mark.parametrize(
    ("age", "count"),
    [
        (0.0, 1),
        (EVENT_SPAN_S / 2, 1),
        (EVENT_SPAN_S, 1),
        (EVENT_SPAN_S + 0.001, 0),
        (100 * EVENT_SPAN_S, 0),
    ],
)
def test_an_event_counts_until_the_end_of_the_span(age: float, count: int) -> None:
    events = RecentEvents()
    events.record(NOW - age)
    assert events.count(NOW) == count


def test_events_at_the_same_time_are_counted_separately() -> None:
    events = RecentEvents()
    for _ in range(3):
        events.record(NOW)
    assert events.count(NOW) == 3


def test_events_expire_one_by_one() -> None:
    events = RecentEvents()
    for second in range(4):
        events.record(NOW + second)
    counts = [events.count(NOW + EVENT_SPAN_S + second) for second in (0.0, 0.5, 1.5, 3.0, 3.5)]
    assert counts == [4, 3, 2, 1, 0]


def test_an_expired_event_is_not_counted_again() -> None:
    events = RecentEvents()
    events.record(NOW)
    assert events.count(NOW + 2 * EVENT_SPAN_S) == 0
    assert events.count(NOW) == 0
