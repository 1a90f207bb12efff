"""What the node takes in, sends and answers, counted; and figures that are read when asked for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable


class Counters:
    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}

    def add(self, name: str, more: int = 1) -> None:
        self._counts[name] += more

    def gauge(self, name: str, figure: Callable[[], float]) -> None:
        self._gauges[name] = figure

    def read(self) -> dict[str, float]:
        """All figures by name, in order: the one way out, for a log line or a collector."""
        figures = {**self._counts, **{name: figure() for name, figure in self._gauges.items()}}
        return dict(sorted(figures.items()))
