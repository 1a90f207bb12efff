"""What the node takes in, sends and answers, counted; and figures that are read when asked for."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable

from notchjunction.balancing.interface import AttemptResult
from notchjunction.telemetry.flight_recorder import FlightRecorder

log = logging.getLogger(__name__)


class Counters:
    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.recorder = FlightRecorder(clock)
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}

    def add(self, name: str, more: int = 1) -> None:
        self._counts[name] += more

    def add_result(self, kind: str, result: AttemptResult) -> None:
        self.add(f"{kind}_{result.value.replace(' ', '_')}")

    def add_failure(self, event: str, error: BaseException) -> None:
        """A failure of the node's own: counted, and logged with its trace."""
        self.add("internal_errors")
        log.error(event, exc_info=error)

    def gauge(self, name: str, figure: Callable[[], float]) -> None:
        self._gauges[name] = figure

    def read(self) -> dict[str, float]:
        """All figures by name, in order: the one way out, for a log line or a collector."""
        figures = {**self._counts, **{name: figure() for name, figure in self._gauges.items()}}
        return dict(sorted(figures.items()))
