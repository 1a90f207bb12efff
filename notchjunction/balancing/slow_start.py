"""How much a node may send to an endpoint that is warming up."""

from __future__ import annotations

from random import Random

from notchjunction.balancing.interface import BalancerSettings
from notchjunction.balancing.records import Endpoint

BUDGET_USED = (
    0.6  # part of the slow start budget; requests differ in size, endpoints in speed, nodes coincide
)
MIN_ATTEMPT_PERIOD_S = 3.0  # in which all nodes together may send a warm endpoint one request, at the least
CREDIT_SPREAD = 0.25  # of an attempt, at random, by which nodes wait more or less, so as not to fall in step
MAX_EVEN_SHARES = (
    2.0  # times an even share of the node's requests that one endpoint may hold; unequal machines
)


class SlowStart:
    """The settings of slow start, and the credit that endpoints collect towards their next attempt."""

    def __init__(self, settings: BalancerSettings) -> None:
        self._duration = settings.slow_start_time
        self._initial_share = settings.slow_start_share
        self._overload_multiple = settings.overload_multiple
        # Sends a second that a warm endpoint is taken to get, whatever the node learned.
        self._min_rate = 1.0 / (MIN_ATTEMPT_PERIOD_S * settings.node_count * settings.process_count)

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint started too short a time ago for its full load."""
        started_at = endpoint.entry.started_at
        return started_at > 0 and now < started_at + self._duration

    def credit(self, endpoint: Endpoint, now: float, served_rate: float, active: int, warm: int) -> float:
        """Return the attempts that this node's part of the budget has come to since the last one there.

        `served_rate` is requests a second that each of the active endpoints did for this node.
        """
        # Guards against one warm endpoint that passes for doing all the fleet did; none gets so much.
        concentration = min(MAX_EVEN_SHARES, active / warm) if warm else 1.0
        warm_rate = max(concentration * served_rate, self._min_rate)
        # Added up as the endpoint warms, and not predicted: many nodes' next attempts lie seconds ahead.
        between = (endpoint.slow_start_credit_from + now) / 2 - endpoint.entry.started_at
        progress = min(max(0.0, between) / self._duration, 1.0)
        share = self._initial_share + (1.0 - self._initial_share) * progress
        elapsed = now - endpoint.slow_start_credit_from
        return elapsed * warm_rate * share * self._overload_multiple * BUDGET_USED


def begin_credit(endpoint: Endpoint, now: float, random: Random) -> None:
    """Start collecting for the first attempt at an endpoint, from a random point so that nodes differ."""
    endpoint.slow_start_credit_from, endpoint.slow_start_credit_needed = now, random.random()


def spend_credit(endpoint: Endpoint, now: float, random: Random) -> None:
    """Start collecting for the attempt after the one that is sent now."""
    endpoint.slow_start_credit_from = now
    endpoint.slow_start_credit_needed = random.uniform(1 - CREDIT_SPREAD, 1 + CREDIT_SPREAD)
