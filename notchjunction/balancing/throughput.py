"""How fast endpoints serve a node's requests, and what of it the node's next process inherits. Pure."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from notchjunction.balancing.records import median

RATE_SPAN_S = 2.0  # of responses from which the throughput is worked out
MIN_RATE_SPAN_S = 0.1  # that counts as passed; the first responses would make a rate without bound
STABLE_RATIO = 1.5  # times the best median latency up to which responses are stable; less is chance
MAX_MEDIANS = 32  # remembered to find the best; a minute or more, longer than troubles
MIN_SAMPLES = 16  # latencies for a median; fewer make one by chance
SERVED_SPAN_S = 30.0  # of what endpoints did that counts; a fleet may be dead or warming up for many seconds
MIN_SERVED_SHARE = 0.3  # of that span, seen before a rate is taken whole; a first request proves none


class ThroughputEstimate:
    """The responses of the last seconds, and the medians of latency since the process began.

    Moments and latencies are in seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at = self._median_due_at = now
        self._responses: deque[tuple[float, float]] = deque()  # when, and the latency objective
        self._samples: list[float] = []
        self._medians: deque[float] = deque(maxlen=MAX_MEDIANS)

    def record_success(self, latency_objective: float, latency: float, now: float) -> None:
        """Count a response to a request of this node."""
        self._responses.append((now, latency_objective))
        self.record_latency(latency, now)

    def record_latency(self, latency: float, now: float) -> None:
        """Note the latency of a response, to this node or to a peer."""
        self._samples.append(latency)
        if len(self._samples) >= MIN_SAMPLES and now >= self._median_due_at:
            self._medians.append(median(self._samples, 1.0))
            self._samples, self._median_due_at = [], now + RATE_SPAN_S

    def rate(self, now: float) -> float:
        """Return the responses a second."""
        self._prune(now)
        return len(self._responses) / RATE_SPAN_S

    def capacity(self, objective_share: float, stable_multiple: float, now: float) -> float:
        """Return the requests in flight that this throughput serves in time.

        In time is within `objective_share` of their latency objective, and `stable_multiple` of the best
        median latency.
        """
        self._prune(now)
        span = min(RATE_SPAN_S, max(now - self._started_at, MIN_RATE_SPAN_S))
        # Guards against endpoints that turn slow from too much load, long before the objective is missed.
        max_per_request = stable_multiple * min(self._medians, default=math.inf)
        return (
            sum(
                min(latency_objective * objective_share, max_per_request)
                for _, latency_objective in self._responses
            )
            / span
        )

    def is_stable(self) -> bool:
        """Return whether the last median latency is close to the best."""
        return len(self._medians) > 1 and self._medians[-1] <= STABLE_RATIO * min(self._medians)

    def export_state(self, now: float) -> dict[str, Any]:
        """Return what another process of the node may go on from; moments as ages in seconds."""
        self._prune(now)
        return {
            "began": now - self._started_at,
            "answers": [[now - at, latency_objective] for at, latency_objective in self._responses],
            "calm": list(self._medians),
        }

    def restore_state(self, learned_state: Mapping[str, Any], now: float) -> None:
        """Go on from another process's export; KeyError, TypeError or ValueError where it is none."""
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
    """Requests a second that the endpoints served for this node, each an even share.

    Those of the last span, not the highest seen: such counts of all nodes add up to that of the fleet, also
    while traffic moves from node to node. It never exceeds what endpoints can do: rejections do not count.
    """

    def __init__(self, now: float) -> None:
        self._advanced_at = now
        self._served_time = 0.0  # s that passed with an endpoint warm
        self._rate: float | None = 0.0  # shares a second; None: not added up since time has passed
        self._served: deque[tuple[float, float]] = deque()  # after how much of that time, and the share

    def record_success(self, warm: int, active: int) -> None:
        """Count a response by one of the active endpoints."""
        if warm:
            self._served.append((self._served_time, 1.0 / active))

    def advance(self, now: float, warm: int) -> None:
        """Note that time has passed, with so many endpoints warm; older responses count no more."""
        # Guards against a fleet that sends ever less because it has sent little: time without warm
        # endpoints does not count.
        self._served_time += now - self._advanced_at if warm else 0.0
        self._advanced_at = now
        while self._served and self._served[0][0] < self._served_time - SERVED_SPAN_S:
            self._served.popleft()
        self._rate = None

    def rate(self) -> float:
        """Return the shares served a second, as of the last `advance`."""
        if self._rate is None:
            # Guards against new processes that each take their first requests for a rate, and add up.
            span = min(max(self._served_time, MIN_SERVED_SHARE * SERVED_SPAN_S), SERVED_SPAN_S)
            self._rate = sum(share for _, share in self._served) / span
        return self._rate
