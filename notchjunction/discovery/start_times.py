"""When servers started, on this node's own clock, whatever becomes of the wall clock.

The list tells a server's start as the wall clock's time. That clock may be stepped, by up to an hour,
between the server's start, the list's news of it, and this node's own start. A server that has just started
would then pass for a warm one, or stay cold for an hour. Pure.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

LISTED_LATE = 3.0  # s that a list may be late with a start; an older one that is news is not believed
STEP_MOST = 3600.0  # s by which the wall clock may have been stepped before this process began
SAME_WITHIN = 0.001  # s by which two words of one start may differ; the list has milliseconds
KEPT_MOST = 8192  # names of servers remembered, also of those that left; over twice the largest fleet


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of a server: as the list tells it, and on the node's clock (s)."""

    listed_at: float
    started_at: float


class StartTimes:
    """The starts of all servers that were heard of lately."""

    def __init__(self, now: float) -> None:
        """`now` is the node's clock (s) as this process begins."""
        self._process_started_at = now
        self._starts: OrderedDict[str, EndpointStart] = OrderedDict()
        self._list_received_at: float | None = None

    def started_at(self, name: str, told: float, now: float, wall: float) -> float:
        """The start of a server on the node's clock (s), by the list's word `told`; 0: long ago.

        `now` is the node's clock and `wall` the wall clock, both as the word came.
        """
        known = self._starts.get(name)
        if known is not None and abs(known.listed_at - told) < SAME_WITHIN:
            self._starts.move_to_end(name)
            return known.started_at
        start = EndpointStart(told, now - self._age(told, now, wall) if told > 0 else 0.0)
        self._keep(name, start)
        return start.started_at

    def ages(self, now: float) -> Mapping[str, tuple[float, float]]:
        """By server, a start as the list tells it and its age (s), of those that a clock may hide.

        For another process of this node, which can't tell how old they are.
        """
        return {
            name: (start.listed_at, now - start.started_at)
            for name, start in self._starts.items()
            if start.started_at > 0 and now - start.started_at < 2 * STEP_MOST
        }

    def restore(self, ages: Mapping[str, Sequence[float]], now: float) -> None:
        """Takes what another process of this node knows; TypeError, ValueError or AttributeError if unfit."""
        for name, (told, age) in ages.items():
            self._keep(name, EndpointStart(float(told), now - float(age)))

    def _keep(self, name: str, start: EndpointStart) -> None:
        self._starts[name] = start
        self._starts.move_to_end(name)
        if len(self._starts) > KEPT_MOST:
            self._starts.popitem(last=False)

    def list_received(self, now: float) -> None:
        """Discovery's word has been taken in whole: what it did not name had not started by then."""
        self._list_received_at = now

    def _age(self, told: float, now: float, wall: float) -> float:
        """s since a start that is news: the least that it can be."""
        by_wall = wall - told
        if self._list_received_at is None:
            # In the first word from discovery it may lie before this process: then it is as old as the wall
            # clock says, less any step of that clock since. One taken for older is pushed as it warms up.
            if by_wall > now - self._process_started_at:
                return max(0.0, by_wall - STEP_MOST)
        elif by_wall > now - self._list_received_at + LISTED_LATE:
            return 0.0
        # The node's own clock was set by the wall clock once, and never stepped: a step of the wall clock in
        # either direction makes one of the two ages too great.
        by_own = now - told
        return max(0.0, min(by_wall, by_own) if by_own >= 0 else by_wall)
