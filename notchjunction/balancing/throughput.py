"""How fast servers clear a node's jobs, and what passes of it to the next process of the node. Pure."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from notchjunction.balancing.records import median

RATE_SPAN = 2.0  # s of answers from which the clearing rate is worked out
RATE_LEAST = 0.1  # s that count as passed at least; the first answers would make a rate without bound
SLOWER_TIMES = 1.5  # times the calmest middle time up to which answers are calm; less is chance
CALM_MOST = 32  # stretches of answers remembered to find the calmest; a minute or more, longer than troubles
TAKE_SPAN = 30.0  # s of what servers did that count; a fleet may be dead or cold for many seconds
TAKE_LEAST = 0.3  # of that span, seen before a rate is taken whole; a new process's first job proves none
STRETCH_LEAST = 16  # answers in a stretch; fewer make a middle by chance


class ThroughputEstimate:
    def __init__(self, now: float) -> None:
        self._began = self._stretch_ends = now
        self._answers: deque[tuple[float, float]] = deque()  # when, and the job's contract time
        self._stretch: list[float] = []
        self._calm: deque[float] = deque(maxlen=CALM_MOST)

    def record_success(self, latency_objective: float, latency: float, now: float) -> None:
        """A server has done a job in so many seconds."""
        self._answers.append((now, latency_objective))
        self.record_latency(latency, now)

    def record_latency(self, latency: float, now: float) -> None:
        """A server has done a job, of this node or of a peer, in so many seconds."""
        self._stretch.append(latency)
        if len(self._stretch) >= STRETCH_LEAST and now >= self._stretch_ends:
            self._calm.append(median(self._stretch, 1.0))
            self._stretch, self._stretch_ends = [], now + RATE_SPAN

    def rate(self, now: float) -> float:
        """Jobs cleared in a second."""
        self._prune(now)
        return len(self._answers) / RATE_SPAN

    def capacity(self, objective_share: float, stable_multiple: float, now: float) -> float:
        """Jobs out that this rate clears within so much of their contract time, or so many calm times."""
        self._prune(now)
        span = min(RATE_SPAN, max(now - self._began, RATE_LEAST))
        # Guards against servers that turn slow from holding too much, long before the contract time is full.
        max_per_request = stable_multiple * min(self._calm, default=math.inf)
        return (
            sum(
                min(latency_objective * objective_share, max_per_request)
                for _, latency_objective in self._answers
            )
            / span
        )

    def is_stable(self) -> bool:
        return len(self._calm) > 1 and self._calm[-1] <= SLOWER_TIMES * min(self._calm)

    def export_state(self, now: float) -> dict[str, Any]:
        """What another process of the node may go on from; times are seconds ago."""
        self._prune(now)
        return {
            "began": now - self._began,
            "answers": [[now - at, latency_objective] for at, latency_objective in self._answers],
            "calm": list(self._calm),
        }

    def restore_state(self, learned_state: Mapping[str, Any], now: float) -> None:
        self._began = now - float(learned_state["began"])
        self._answers.extend(
            (now - float(age), float(latency_objective))
            for age, latency_objective in learned_state["answers"]
        )
        self._calm.extend(float(latency) for latency in learned_state["calm"])

    def _prune(self, now: float) -> None:
        while self._answers and self._answers[0][0] < now - RATE_SPAN:
            self._answers.popleft()


class ServedRate:
    """Jobs that the servers did for this node, each an even part, in a second.

    Those of the last span, not the most seen: such counts of all nodes add up to that of the fleet, also
    while traffic moves from node to node. Past what servers can do it does not go, as refusals do not count.
    """

    def __init__(self, now: float) -> None:
        self._at = now
        self._passed = 0.0  # s that passed with a server warm
        self._rate: float | None = 0.0  # parts of jobs a second; None: not added up since time has passed
        self._done: deque[tuple[float, float]] = deque()  # after how much of that, and the part

    def record_success(self, warm: int, ready: int) -> None:
        """One of so many servers has done a job."""
        if warm:
            self._done.append((self._passed, 1.0 / ready))

    def advance(self, now: float, warm: int) -> None:
        """Time has passed, with so many servers warm; older jobs count no more."""
        # Guards against a fleet that sends ever less because it has sent little: no time without warm ones.
        self._passed += now - self._at if warm else 0.0
        self._at = now
        while self._done and self._done[0][0] < self._passed - TAKE_SPAN:
            self._done.popleft()
        self._rate = None

    def rate(self) -> float:
        if self._rate is None:
            # Guards against new processes that each take their first jobs for a rate, and add up.
            span = min(max(self._passed, TAKE_LEAST * TAKE_SPAN), TAKE_SPAN)
            self._rate = sum(part for _, part in self._done) / span
        return self._rate
