"""Which endpoints are ejected: their last outcomes trail the others', or they rejected a request."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from notchjunction.balancing.interface import AttemptResult
from notchjunction.balancing.records import Endpoint, RecentOutcome

RECENT_OUTCOMES = 64  # kept of all endpoints together; what is typical, in a second or a few of traffic
MIN_SUCCESS_GAP = 0.35  # share of successes by which an endpoint must trail; under it is chance in eight
MIN_EJECTION_S = 2.0  # short against troubles of many seconds, long against a blip
EJECTION_JITTER_S = 2.0  # more at most, at random, so that nodes do not return together
MAX_EJECTED_SHARE = 0.5  # of the active endpoints; more failing is a trouble common to all

# Results that count against an endpoint's health.
FAILURES = (
    AttemptResult.ERROR,
    AttemptResult.TIMED_OUT,
    AttemptResult.NO_CONNECTION,
    AttemptResult.RESET,
    AttemptResult.MALFORMED,
)


class OutlierEjection:
    """The last outcomes of all endpoints, and the endpoints that may be ejected."""

    def __init__(self) -> None:
        self.outcomes: deque[RecentOutcome] = deque(maxlen=RECENT_OUTCOMES)
        # Of all endpoints, those that a look at all of them would find: a large fleet has few such.
        self._ejected: dict[Endpoint, None] = {}

    def record_outcome(self, endpoint: Endpoint, success: bool, latency: float) -> None:
        """Note an outcome of this node or of a peer; a latency (s) of 0 says nothing of its pace."""
        endpoint.recent_successes.append(success)
        if latency:
            endpoint.recent_latencies.append(latency)
        self.outcomes.append(RecentOutcome(endpoint, success, latency))

    def is_outlier(self, endpoint: Endpoint, ejected: int, active: int) -> bool:
        """Return whether it fails more than the others, and few enough of the active ones are ejected."""
        others = [outcome.success for outcome in self.outcomes if outcome.endpoint is not endpoint]
        typical = sum(others) / len(others) if others else 1.0
        successes = endpoint.recent_successes
        # Guards against ejecting the fleet in a trouble common to all.
        return (
            sum(successes) / len(successes) < typical - MIN_SUCCESS_GAP
            and ejected < MAX_EJECTED_SHARE * active
        )

    def eject(self, endpoint: Endpoint, until: float) -> None:
        """Keep new requests from an endpoint until this moment (s)."""
        endpoint.ejected_until = until
        self._ejected[endpoint] = None

    def restore(self, endpoint: Endpoint) -> None:
        """Look after an endpoint whose record, with its ejection, came from an earlier process."""
        self._ejected[endpoint] = None

    def ejected(self, now: float, is_in_use: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """Return the ejected endpoints that are in use, and forget those whose time is over."""
        for endpoint in [endpoint for endpoint in self._ejected if endpoint.ejected_until <= now]:
            del self._ejected[endpoint]
        return [endpoint for endpoint in self._ejected if is_in_use(endpoint)]


def ejection_end(now: float, random: Random) -> float:
    """Return until when (s) an outlier stays ejected."""
    return now + MIN_EJECTION_S + random.uniform(0, EJECTION_JITTER_S)
