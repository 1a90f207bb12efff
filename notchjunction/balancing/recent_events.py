"""Counts recent events over a sliding window."""

from __future__ import annotations

from collections import deque

# The window in which the design bounds the retry budget; long enough for nodes with few requests.
EVENT_SPAN_S = 10.0


class RecentEvents:
    """Counts the events of the last `EVENT_SPAN_S`."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def record(self, now: float) -> None:
        """Count an event that happens now (s)."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return how many events happened in the window that ends now, and drop older ones."""
        times, since = self._times, now - EVENT_SPAN_S
        while times and times[0] < since:
            times.popleft()
        return len(times)
