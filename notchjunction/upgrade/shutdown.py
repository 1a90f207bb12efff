"""What a process that was asked to end does until it has: a table and its reader. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from enum import Enum, auto
from typing import NamedTuple

LISTEN_ON = 0.6  # s that new callers are let in after SIGTERM; they go on coming for 0.4 s
KILL_AFTER = 0.7  # s, and the longest abandon time, from SIGTERM to the least that a SIGKILL may come
LONGEST_MOST = 3.0  # s of that abandon time at most
KILL_MARGIN = 0.3  # s before it by which all is answered; the loop may be late
ANSWER_SHARE = 0.5  # of what is left kept for answers; until then callers that stay are served on
MOVE_AFTER = 1.6  # s from SIGTERM until answers under way move; most have ended, and two seconds are left


class Phase(Enum):
    BEGUN = auto()
    LISTENING = auto()  # callers are still let in; those who look are told that they should not come
    SERVING = auto()  # the listener is closed; callers that stay are served on
    FOLLOWED = auto()  # another process of the node has the same queue of callers; these part
    STANDING_IN = auto()  # the one that followed has gone: whoever comes has nobody else
    PARTING = auto()  # answers close their connections, and idle callers are closed
    ENDED = auto()


class Seen(Enum):
    """What is looked at, in this order."""

    FOLLOWED = auto()  # another process is ready in this one's place
    ALONE = auto()
    LISTENED = auto()
    MOVE_DUE = auto()
    SERVED = auto()
    LAST = auto()  # by now all is answered, or the kill cuts it off
    EMPTY = auto()  # no caller is connected


class Effect(Enum):
    LEAD = auto()  # says that it is not ready
    YIELD = auto()  # lets nobody in, but keeps the queue of callers open, and parts with those it has
    TAKE_BACK = auto()  # lets callers in again, and is found again by the next process
    CLOSE = auto()  # lets in who waits, and nobody after
    PART = auto()
    MOVE = auto()
    TURN_BACK = auto()
    END = auto()


class Row(NamedTuple):
    phase: Phase
    seen: Seen
    then: Phase
    effects: tuple[Effect, ...]


P, Do = Phase, Effect
TABLE = (
    Row(P.BEGUN, Seen.FOLLOWED, P.FOLLOWED, (Do.YIELD,)),
    Row(P.BEGUN, Seen.ALONE, P.LISTENING, (Do.LEAD,)),
    Row(P.LISTENING, Seen.FOLLOWED, P.FOLLOWED, (Do.YIELD,)),
    Row(P.LISTENING, Seen.LISTENED, P.SERVING, (Do.CLOSE,)),
    Row(P.SERVING, Seen.SERVED, P.PARTING, (Do.PART,)),
    Row(P.SERVING, Seen.EMPTY, P.ENDED, (Do.END,)),
    Row(P.FOLLOWED, Seen.ALONE, P.STANDING_IN, (Do.TAKE_BACK,)),
    Row(P.FOLLOWED, Seen.MOVE_DUE, P.FOLLOWED, (Do.MOVE,)),
    Row(P.FOLLOWED, Seen.LAST, P.FOLLOWED, (Do.TURN_BACK,)),
    Row(P.FOLLOWED, Seen.EMPTY, P.ENDED, (Do.END,)),
    Row(P.STANDING_IN, Seen.FOLLOWED, P.FOLLOWED, (Do.YIELD,)),
    Row(P.STANDING_IN, Seen.SERVED, P.PARTING, (Do.CLOSE, Do.LEAD, Do.PART)),
    Row(P.PARTING, Seen.LAST, P.PARTING, (Do.TURN_BACK,)),
    Row(P.PARTING, Seen.EMPTY, P.ENDED, (Do.END,)),
)
ROWS = {(row.phase, row.seen): row for row in TABLE}


class GracefulShutdown:
    """From SIGTERM at `now` (s) to the end; `longest` is the longest abandon time of the node's profiles."""

    def __init__(self, now: float, longest: float) -> None:
        span = KILL_AFTER - KILL_MARGIN + min(longest, LONGEST_MOST)
        self.phase = Phase.BEGUN
        self.end_at = now + span
        self._listen_until = now + LISTEN_ON
        # Guards against callers that have nowhere to go yet, as where another node is still starting.
        self._serve_until = self.end_at - span * ANSWER_SHARE
        self._move_due = self._move_at = now + MOVE_AFTER

    @property
    def over(self) -> bool:
        return self.phase is Phase.ENDED

    def left(self, now: float) -> float:
        """s in which callers are let in yet."""
        return max(0.0, round(self._serve_until - now, 3))

    def look(self, now: float, followed: bool, connected: Callable[[], int]) -> Iterator[Effect]:
        """What is to be done now, in this order; to be asked again and again until it has ended.

        `connected` is counted where it is judged. Guards against ending over callers whom an effect of this
        very look has let in.
        """
        judgements: dict[Seen, Callable[[], bool]] = {
            Seen.FOLLOWED: lambda: followed,
            Seen.ALONE: lambda: not followed,
            Seen.LISTENED: lambda: now >= self._listen_until,
            Seen.MOVE_DUE: lambda: now >= self._move_at,
            Seen.SERVED: lambda: now >= self._serve_until,
            Seen.LAST: lambda: now >= self.end_at,
            Seen.EMPTY: lambda: not connected(),
        }
        for seen, holds in judgements.items():
            row = ROWS.get((self.phase, seen))
            if row is None or not holds():
                continue
            self.phase = row.then
            if seen is Seen.MOVE_DUE:
                self._move_at = math.inf  # it is tried once
            elif row.then is Phase.STANDING_IN:
                self._move_at = self._move_due  # and once more with the next one that follows
            yield from row.effects
