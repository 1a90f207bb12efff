"""Gauges that concern a node as a whole; connections, listeners and quotas register their own."""

from __future__ import annotations

from notchjunction.balancing.engine import BalancerEngine
from notchjunction.net.body_streaming import StreamBuffers
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.discovery_client import DiscoveryClient
from notchjunction.telemetry.counters import Counters


def register_gauges(
    counters: Counters,
    engine: BalancerEngine,
    discovery: DiscoveryClient,
    descriptors: Descriptors,
    streams: StreamBuffers,
) -> None:
    """Registers gauges of requests, streams, descriptors, the age of the list and the event loop's lag."""
    counters.gauge("requests_in_flight", lambda: engine.in_flight)
    counters.gauge("requests_tracked", lambda: engine.tracked)
    counters.gauge("streams_open", lambda: streams.active)
    counters.gauge("descriptors_in_use", lambda: descriptors.in_use)
    counters.gauge("list_polls_timed_out", lambda: discovery.timeouts)
    counters.gauge("list_stale_seconds", lambda: max(0.0, -discovery.notified_in()))
    counters.gauge("loop_lag_max", lambda: max(engine.timer_lags, default=0.0))


def register_gossip_gauges(counters: Counters, engine: BalancerEngine) -> None:
    """Registers the gauge of ignored gossip datagrams, for a node that has peers."""
    counters.gauge("gossip_ignored", lambda: engine.ignored_datagrams)
