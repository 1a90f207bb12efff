"""Slow start: how many attempts a node may send to an endpoint that is warming up."""

from __future__ import annotations

from random import Random

from notchjunction.balancing.interface import BalancerSettings
from notchjunction.balancing.records import Endpoint

# Share of the slow start budget that is used. The rest is headroom: requests differ in size, endpoints differ
# in speed, and nodes may send at the same moment.
BUDGET_USED = 0.6
# The least traffic assumed for a warm endpoint: one request in this time (s), from all nodes together.
MAX_ATTEMPT_PERIOD_S = 3.0
# Random spread of the credit needed, in attempts, so that nodes do not send at the same moments.
CREDIT_SPREAD = 0.25
# Most requests of the node that one endpoint may have in flight, as a multiple of an even share. It is more
# than one because machines are unequal.
MAX_EVEN_SHARES = 2.0


class SlowStart:
    """Calculates the credit that endpoints collect for their next attempt while they warm up."""

    def __init__(self, settings: BalancerSettings) -> None:
        self._duration = settings.slow_start_time
        self._initial_share = settings.slow_start_share
        self._overload_multiple = settings.overload_multiple
        # Least rate assumed for a warm endpoint, in attempts per second of this process.
        self._min_rate = 1.0 / (MAX_ATTEMPT_PERIOD_S * settings.node_count * settings.process_count)

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's slow start is not over yet; false if its start time is unknown."""
        started_at = endpoint.entry.started_at
        return started_at > 0 and now < started_at + self._duration

    def credit(
        self, endpoint: Endpoint, now: float, served_rate: float, active_count: int, warm_count: int
    ) -> float:
        """Return the credit, in attempts, that an endpoint collected since this node's last attempt there.

        Args:
            endpoint: an endpoint that is warming up.
            now: the current time (s).
            served_rate: requests per second that an active endpoint served for this node, on average.
            active_count: how many endpoints are active.
            warm_count: how many of them are not warming up.
        """
        # Guards against taking the throughput of the whole fleet for that of a single warm endpoint: the rate
        # is at most `MAX_EVEN_SHARES` of an even share.
        concentration = min(MAX_EVEN_SHARES, active_count / warm_count) if warm_count else 1.0
        warm_rate = max(concentration * served_rate, self._min_rate)
        # The credit is added up while the endpoint warms up, not predicted: with many nodes, a node's next
        # attempt may be seconds away.
        mean_age = (endpoint.slow_start_credit_from + now) / 2 - endpoint.entry.started_at
        progress = min(max(0.0, mean_age) / self._duration, 1.0)
        share = self._initial_share + (1.0 - self._initial_share) * progress
        elapsed = now - endpoint.slow_start_credit_from
        return elapsed * warm_rate * share * self._overload_multiple * BUDGET_USED


def begin_credit(endpoint: Endpoint, now: float, random: Random) -> None:
    """Start collecting credit for the first attempt at an endpoint; it needs a random part of an attempt.

    Nodes thus send their first attempts at different moments.
    """
    endpoint.slow_start_credit_from, endpoint.slow_start_credit_needed = now, random.random()


def spend_credit(endpoint: Endpoint, now: float, random: Random) -> None:
    """Start collecting credit for the attempt after the one that is sent now."""
    endpoint.slow_start_credit_from = now
    endpoint.slow_start_credit_needed = random.uniform(1 - CREDIT_SPREAD, 1 + CREDIT_SPREAD)
