"""How many events of one kind happened lately: a count over a sliding span."""

from __future__ import annotations

from collections import deque

EVENT_SPAN_S = 10.0  # the design's bound for the retry budget, long enough for nodes with few requests


class RecentEvents:
    """The moments (s) of events within the last `EVENT_SPAN_S`."""

    def __init__(self) -> None:
        self._moments: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count one event at this moment."""
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Return how many events the span up to now holds, and forget older ones."""
        moments, since = self._moments, now - EVENT_SPAN_S
        while moments and moments[0] < since:
            moments.popleft()
        return len(moments)
