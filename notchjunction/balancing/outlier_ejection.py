"""Outlier ejection: keeps new requests from endpoints that fail more than the others or reject a request."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from notchjunction.balancing.interface import AttemptResult
from notchjunction.balancing.records import Endpoint, RecentOutcome

# Outcomes kept of all endpoints together, to know the typical success rate: one to a few seconds of traffic.
RECENT_OUTCOMES = 64
# How far an outlier's success rate is below that of the others. With 8 outcomes of an endpoint, smaller gaps
# occur by chance.
MIN_SUCCESS_GAP = 0.35
MIN_EJECTION_S = 2.0  # short compared with faults of many seconds, long compared with a momentary one
# Most that is added to an ejection (s), at random, so that nodes do not use the endpoint again all at once.
EJECTION_JITTER_S = 2.0
# Share of the active endpoints that may be ejected. If more fail, the cause is common to all of them.
MAX_EJECTED_SHARE = 0.5

# Results that count against an endpoint's health.
FAILURES = (
    AttemptResult.ERROR,
    AttemptResult.TIMED_OUT,
    AttemptResult.NO_CONNECTION,
    AttemptResult.RESET,
    AttemptResult.MALFORMED,
)


class OutlierEjection:
    """Keeps the most recent outcomes of all endpoints, and which endpoints are ejected."""

    def __init__(self) -> None:
        self.outcomes: deque[RecentOutcome] = deque(maxlen=RECENT_OUTCOMES)
        # Kept so that not all endpoints have to be searched: few of a large fleet are ejected.
        self._ejected: dict[Endpoint, None] = {}

    def record_outcome(self, endpoint: Endpoint, success: bool, latency: float) -> None:
        """Record an outcome of this node or of a peer; a latency (s) of 0 means that it is unknown."""
        endpoint.recent_successes.append(success)
        if latency:
            endpoint.recent_latencies.append(latency)
        self.outcomes.append(RecentOutcome(endpoint, success, latency))

    def is_outlier(self, endpoint: Endpoint, ejected_count: int, active_count: int) -> bool:
        """Return whether an endpoint fails much more than the others and may be ejected.

        Args:
            endpoint: an endpoint with at least one recent outcome.
            ejected_count: how many endpoints are ejected already.
            active_count: how many endpoints are active, including the ejected ones.
        """
        other_successes = [outcome.success for outcome in self.outcomes if outcome.endpoint is not endpoint]
        typical_success_rate = sum(other_successes) / len(other_successes) if other_successes else 1.0
        endpoint_successes = endpoint.recent_successes
        # Guards against ejecting most of the fleet when a common cause makes all endpoints fail.
        return (
            sum(endpoint_successes) / len(endpoint_successes) < typical_success_rate - MIN_SUCCESS_GAP
            and ejected_count < MAX_EJECTED_SHARE * active_count
        )

    def eject(self, endpoint: Endpoint, until: float) -> None:
        """Keep new requests from an endpoint until this time (s)."""
        endpoint.ejected_until = until
        self._ejected[endpoint] = None

    def restore(self, endpoint: Endpoint) -> None:
        """Track an endpoint whose record was restored from an earlier process and may contain an ejection."""
        self._ejected[endpoint] = None

    def ejected(self, now: float, is_in_use: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """Return the ejected endpoints that are in use, and drop those whose ejection is over."""
        for endpoint in [endpoint for endpoint in self._ejected if endpoint.ejected_until <= now]:
            del self._ejected[endpoint]
        return [endpoint for endpoint in self._ejected if is_in_use(endpoint)]


def ejection_end(now: float, random: Random) -> float:
    """Return until when (s) an outlier that is ejected now stays ejected."""
    return now + MIN_EJECTION_S + random.uniform(0, EJECTION_JITTER_S)
