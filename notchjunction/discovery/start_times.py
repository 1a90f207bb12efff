"""When endpoints started, on this node's own clock, independently of steps of the wall clock.

The list gives an endpoint's start as wall-clock time. That clock may be stepped by up to an hour between the
endpoint's start, the update that lists it, and this node's own start. Without a correction, an endpoint that
has just started could be treated as a warm one, or stay in slow start for an hour. Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

# The list may give a start with this delay; an older start that was not listed before is not trusted.
MAX_LISTING_DELAY_S = 3.0
# The wall clock may have been stepped by this much before this process started.
MAX_CLOCK_STEP_S = 3600.0
# Two listed times of the same start may differ by less than this; the list has a resolution of 1 ms.
LISTED_TIME_TOLERANCE_S = 0.001
# Endpoints tracked, with those that were removed; over twice the largest supported number.
MAX_TRACKED_ENDPOINTS = 8192


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint: as listed (s of Unix time), and on the node's clock (s)."""

    listed_at: float
    started_at: float


class EndpointAge(NamedTuple):
    """One start of an endpoint: as listed (s of Unix time), and its age (s); in JSON a pair."""

    listed_at: float
    age: float


class StartTimes:
    """The starts of all endpoints that were listed recently."""

    def __init__(self, now: float) -> None:
        """Starts without any endpoint; `now` is the node's clock (s) at the start of this process."""
        self._process_started_at = now
        self._starts: OrderedDict[str, EndpointStart] = OrderedDict()
        self._list_received_at: float | None = None

    def started_at(self, name: str, listed_at: float, now: float, wall_time: float) -> float:
        """Returns an endpoint's start on the node's clock (s); 0 stands for long ago.

        Args:
            name: the endpoint.
            listed_at: its start as the list gives it (s of Unix time); 0 if it gives none.
            now: the node's clock (s) when the update arrived.
            wall_time: the wall clock (s of Unix time) when the update arrived.
        """
        known = self._starts.get(name)
        if known is not None and abs(known.listed_at - listed_at) < LISTED_TIME_TOLERANCE_S:
            self._starts.move_to_end(name)
            return known.started_at
        started_at = now - self._estimate_age(listed_at, now, wall_time) if listed_at > 0 else 0.0
        self._store(name, EndpointStart(listed_at, started_at))
        return started_at

    def ages(self, now: float) -> Mapping[str, EndpointAge]:
        """Returns the starts whose age could not be told from wall-clock time after a step, by endpoint.

        They are handed over to another process of this node, which has no other way to know their age.
        """
        return {
            name: EndpointAge(start.listed_at, now - start.started_at)
            for name, start in self._starts.items()
            if start.started_at > 0 and now - start.started_at < 2 * MAX_CLOCK_STEP_S
        }

    def restore(self, ages: Mapping[str, Sequence[float]], now: float) -> None:
        """Restores another process's `ages`; raises TypeError, ValueError or AttributeError if malformed."""
        for name, (listed_at, age) in ages.items():
            self._store(name, EndpointStart(float(listed_at), now - float(age)))

    def _store(self, name: str, start: EndpointStart) -> None:
        self._starts[name] = start
        self._starts.move_to_end(name)
        if len(self._starts) > MAX_TRACKED_ENDPOINTS:
            self._starts.popitem(last=False)

    def list_received(self, now: float) -> None:
        """Records that a complete update was applied: endpoints that it did not list had not started yet."""
        self._list_received_at = now

    def _estimate_age(self, listed_at: float, now: float, wall_time: float) -> float:
        """Returns the minimum age (s) of a start that was not known before."""
        wall_age = wall_time - listed_at
        if self._list_received_at is None:
            # In the first update the start may be before that of this process. Then it is as old as the wall
            # clock says, less any step of that clock since. An endpoint whose age is overestimated would be
            # overloaded during its warm-up.
            if wall_age > now - self._process_started_at:
                return max(0.0, wall_age - MAX_CLOCK_STEP_S)
        elif wall_age > now - self._list_received_at + MAX_LISTING_DELAY_S:
            return 0.0
        # The node's own clock was set from the wall clock once and is never stepped. So a step of the wall
        # clock in either direction makes one of the two ages too large.
        own_age = now - listed_at
        return max(0.0, min(wall_age, own_age) if own_age >= 0 else wall_age)
