"""Counters of requests, responses and other events, and gauges that are read on demand."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable

from notchjunction.balancing.interface import AttemptResult
from notchjunction.telemetry.flight_recorder import FlightRecorder

log = logging.getLogger(__name__)


class Counters:
    """The node's counters and gauges by name, and its flight recorder; `clock` returns the time (s)."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.recorder = FlightRecorder(clock)
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name] += count

    def add_result(self, kind: str, result: AttemptResult) -> None:
        """Counts the result of an attempt or a probe; the counter's name starts with `kind`."""
        self.add(f"{kind}_{result.value.replace(' ', '_')}")

    def add_failure(self, event: str, error: BaseException) -> None:
        """Counts an internal error, and logs it with its traceback."""
        self.add("internal_errors")
        log.error(event, exc_info=error)

    def gauge(self, name: str, read_value: Callable[[], float]) -> None:
        """Registers a gauge; `read` calls `read_value` for its current value."""
        self._gauges[name] = read_value

    def read(self) -> dict[str, float]:
        """Returns all counters and gauges by name, sorted. Only this method reads them."""
        gauges = {name: read_value() for name, read_value in self._gauges.items()}
        return dict(sorted({**self._counts, **gauges}.items()))
