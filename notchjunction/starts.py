"""When servers started, on this node's own clock, whatever becomes of the wall clock.

The list tells a server's start as the wall clock's time. That clock may be stepped, by up to an hour,
between the server's start, the list's news of it, and this node's own start. A server that has just started
would then pass for a warm one, or stay cold for an hour. Pure.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

LISTED_LATE = 3.0  # s that a list may be late with a start; an older one that is news is not believed
KEPT_MOST = 8192  # names of servers remembered, also of those that left; over twice the largest fleet


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a server: as the list tells it, and on the node's clock (s)."""

    told: float
    at: float


class Starts:
    """The starts of all servers that were heard of lately."""

    def __init__(self) -> None:
        self._starts: OrderedDict[str, Start] = OrderedDict()
        self._heard_at: float | None = None

    def at(self, name: str, told: float, now: float, wall: float) -> float:
        """The start of a server on the node's clock (s), by the list's word `told`; 0: long ago.

        `now` is the node's clock and `wall` the wall clock, both as the word came.
        """
        known = self._starts.get(name)
        if known is not None and known.told == told:
            self._starts.move_to_end(name)
            return known.at
        start = Start(told, now - self._age(told, now, wall) if told > 0 else 0.0)
        self._starts[name] = start
        self._starts.move_to_end(name)
        if len(self._starts) > KEPT_MOST:
            self._starts.popitem(last=False)
        return start.at

    def heard(self, now: float) -> None:
        """Discovery's word has been taken in whole: what it did not name had not started by then."""
        self._heard_at = now

    def _age(self, told: float, now: float, wall: float) -> float:
        """s since a start that is news; none where what the wall clock says can't be.

        The node's clock was set by the wall clock once, and never stepped: of two ages that can be the lesser
        counts, as a step of the wall clock in either direction makes one of them too great.
        """
        by_wall = wall - told
        by_own = now - told
        most = by_wall if self._heard_at is None else now - self._heard_at + LISTED_LATE
        if not 0 <= by_wall <= most:
            return 0.0
        return min(by_wall, by_own) if by_own >= 0 else by_wall
