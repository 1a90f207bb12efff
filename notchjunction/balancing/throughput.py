"""Estimates how fast endpoints serve a node's requests, and exports it to a successor process.

The caller passes the time; nothing here does I/O.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from notchjunction.balancing.records import median

RATE_SPAN_S = 2.0  # seconds of responses from which the throughput is computed
# Shortest time to divide by for a rate; without it, the first responses would give an unbounded rate.
MIN_RATE_SPAN_S = 0.1
# Multiple of the best median latency up to which latencies are stable; smaller changes occur by chance.
STABLE_RATIO = 1.5
MAX_MEDIANS = 32  # medians kept to find the best one; they cover a minute or more, longer than an incident
MIN_SAMPLES = 16  # latencies for a median; with fewer, it depends on chance
# Seconds of responses that the served rate covers; a fleet may be down or warming up for many seconds.
SERVED_SPAN_S = 30.0
# Share of SERVED_SPAN_S that the served rate is divided by at least; a first request alone shows no rate.
MIN_SERVED_SHARE = 0.3


class ThroughputEstimate:
    """Estimates throughput and capacity from recent responses and from past median latencies.

    Times and latencies are in seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = self._median_due_at = now
        self._responses: deque[tuple[float, float]] = deque()  # time and latency objective
        self._samples: list[float] = []
        self._medians: deque[float] = deque(maxlen=MAX_MEDIANS)

    def record_success(self, latency_objective: float, latency: float, now: float) -> None:
        """Record a response to a request of this node."""
        self._responses.append((now, latency_objective))
        self.record_latency(latency, now)

    def record_latency(self, latency: float, now: float) -> None:
        """Record the latency of a response to this node or to a peer."""
        self._samples.append(latency)
        if len(self._samples) >= MIN_SAMPLES and now >= self._median_due_at:
            self._medians.append(median(self._samples, 1.0))
            self._samples, self._median_due_at = [], now + RATE_SPAN_S

    def rate(self, now: float) -> float:
        """Return the throughput in responses a second."""
        self._prune(now)
        return len(self._responses) / RATE_SPAN_S

    def capacity(self, objective_share: float, max_latency_multiple: float, now: float) -> float:
        """Return how many requests in flight are served in time at the current throughput.

        In time means within `objective_share` of their latency objective, and within `max_latency_multiple`
        times the best median latency.
        """
        self._prune(now)
        span = min(RATE_SPAN_S, max(now - self._started_at, MIN_RATE_SPAN_S))
        # Guards against slowing endpoints down by overload, which begins long before objectives are missed.
        max_latency = max_latency_multiple * min(self._medians, default=math.inf)
        return (
            sum(
                min(latency_objective * objective_share, max_latency)
                for _, latency_objective in self._responses
            )
            / span
        )

    def is_stable(self) -> bool:
        """Return whether the last median latency is close to the best one."""
        return len(self._medians) > 1 and self._medians[-1] <= STABLE_RATIO * min(self._medians)

    def export_state(self, now: float) -> dict[str, Any]:
        """Return the state to restore in another process of the node; times as ages in seconds."""
        self._prune(now)
        return {
            "began": now - self._started_at,
            "answers": [[now - at, latency_objective] for at, latency_objective in self._responses],
            "calm": list(self._medians),
        }

    def restore_state(self, learned_state: Mapping[str, Any], now: float) -> None:
        """Restore the state that another process exported.

        Raises:
            KeyError, TypeError, ValueError: The state is malformed.
        """
        self._started_at = now - float(learned_state["began"])
        self._responses.extend(
            (now - float(age), float(latency_objective))
            for age, latency_objective in learned_state["answers"]
        )
        self._medians.extend(float(latency) for latency in learned_state["calm"])

    def _prune(self, now: float) -> None:
        while self._responses and self._responses[0][0] < now - RATE_SPAN_S:
            self._responses.popleft()


class ServedRate:
    """The mean rate at which each active endpoint served requests of this node.

    It covers the last SERVED_SPAN_S and is not the highest rate seen. So the rates of all nodes add up to
    that of the fleet, even while traffic moves from node to node. As rejections do not count, it never
    exceeds what endpoints can serve.
    """

    def __init__(self, now: float) -> None:
        self._advanced_at = now
        self._served_time = 0.0  # seconds so far with at least one warm endpoint
        self._rate: float | None = 0.0  # requests a second of each endpoint; None if outdated
        self._served: deque[tuple[float, float]] = deque()  # served time, and share of each endpoint

    def record_success(self, warm: int, active: int) -> None:
        """Record a response; `warm` and `active` are the numbers of such endpoints."""
        if warm:
            self._served.append((self._served_time, 1.0 / active))

    def advance(self, now: float, warm: int) -> None:
        """Advance the time to now, with `warm` endpoints warm since the last call; drop old responses."""
        # Guards against a fleet that sends less and less because it has sent little: time without warm
        # endpoints does not count.
        self._served_time += now - self._advanced_at if warm else 0.0
        self._advanced_at = now
        while self._served and self._served[0][0] < self._served_time - SERVED_SPAN_S:
            self._served.popleft()
        self._rate = None

    def rate(self) -> float:
        """Return the requests a second that each endpoint served, as of the last `advance`."""
        if self._rate is None:
            # Guards against overload by several new processes that each derive a high rate from their first
            # requests: these rates would add up.
            span = min(max(self._served_time, MIN_SERVED_SHARE * SERVED_SPAN_S), SERVED_SPAN_S)
            self._rate = sum(share for _, share in self._served) / span
        return self._rate
