"""The count of recent events: the span's bounds, and events that have left it."""

from __future__ import annotations

import pytest

from notchjunction.balancing.recent_events import EVENT_SPAN_S, RecentEvents

NOW = 1000.0


def test_no_events_count_as_none() -> None:
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
def test_an_event_counts_up_to_the_last_moment_of_the_span(age: float, count: int) -> None:
    events = RecentEvents()
    events.record(NOW - age)
    assert events.count(NOW) == count


def test_events_of_one_moment_count_one_by_one() -> None:
    events = RecentEvents()
    for _ in range(3):
        events.record(NOW)
    assert events.count(NOW) == 3


def test_events_leave_the_span_one_by_one_as_time_passes() -> None:
    events = RecentEvents()
    for second in range(4):
        events.record(NOW + second)
    counts = [events.count(NOW + EVENT_SPAN_S + second) for second in (0.0, 0.5, 1.5, 3.0, 3.5)]
    assert counts == [4, 3, 2, 1, 0]


def test_an_event_that_has_left_the_span_does_not_come_back() -> None:
    events = RecentEvents()
    events.record(NOW)
    assert events.count(NOW + 2 * EVENT_SPAN_S) == 0
    assert events.count(NOW) == 0
