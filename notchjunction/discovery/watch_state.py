"""One clock for the list of servers: what follows from each end of a call for it, and what counts as told.

A change counts as told so long after discovery had it and could be reached, whatever became of the call that
was to bring it. A watch may be dead without a sign, so none waits longer than leaves time to find out and to
ask again. A call that stays silent is broken, not refused: it is made again at once, on a new connection, and
may not wait. A refused one, or one whose connection broke, is made again after a pause, so that nodes do not
keep one another out.

A call that discovery refuses because it has waited costs it as much as one that it answers. Nodes that come
again too soon are then refused for ever, all of them, long after what caused the crowd is over. So who has
met such a crowd, or is one of many nodes, spreads its tries over 5 s, also where discovery is merely down;
and who is refused for having waited comes again after a span that doubles. A place that is down may refuse
calls in the same way: then neither holds until a new call was refused at once, or many were not. Pure.
"""

from __future__ import annotations

import math
from enum import Enum, auto
from random import Random
from typing import NamedTuple

TOLD_AFTER = 6.0  # s after discovery had a change and could be reached from which it counts; the protocol's
SILENT_AFTER = 0.5  # s past its wait, or without a further byte, after which a watch is broken
DRIP_MOST = 4.0  # s past that in which a list that has begun to come is whole; the last of it counts in time
BUSY_MOST = 1.5  # s in which a call that may not wait is answered; what waits for a second is refused
BUSY_SPREAD = 0.3  # of that, at random, that it is shorter, as many nodes may have fallen silent together
WAIT_MOST = TOLD_AFTER - SILENT_AFTER - BUSY_MOST  # s that a call waits: a silent one is made again in time
WAIT_SHARE = 0.75  # of the time within which the list must be asked for, where that is shorter
WAIT_SPREAD = 0.3  # of a wait, at random, that it is shorter, so that nodes' watches do not end together
SILENT_MOST = 6.0  # s in which it is answered however many stayed silent before it; each has twice the time
RENEW_LEAST = 0.25  # s before the list is asked for again after a failed call
RENEW_MORE = 0.9  # s more for each failure, evenly at random from none, so that crowds come apart
RENEW_STEPS = 3  # failures that count for it: tries 3 s apart at most, half of what a change may be late
RENEW_SPREAD = 4.75  # s more, likewise, of a crowd: tries begin 5 s apart at most, and a second to answer
CROWD_NODES = 16  # nodes of a tier from which on they may be a crowd: fewer are answered in a moment
CROWDED_AFTER = 0.25  # s after which a call that is refused has waited; one at a place that is down has not
CROWDED_WITHIN = 2.5  # s; what was refused later had come through the queue, and was held as a watch
CROWD_DOUBTED = 6  # such refusals in a row that may as well come of a place that is down and slow to say so
CROWD_PAUSE = 2.0  # s before a call that waited in vain is made again, and twice that after each further one
CROWD_SPREAD = 3.0  # s more, evenly at random from none, and twice that likewise
CROWD_MOST = 12.0  # s of either; over the time in which discovery can answer any fleet once
MOVE_SPREAD = 2.5  # s over which many nodes go to a new place; what it has counts 4 s after the signal
AGENT_PAUSE = 0.1  # s, and as much again at random, before an agent that pushes lists is asked again
FIRST_WITHIN = (
    3.0  # s that a new process waits for the agent's word; then the remembered list is all there is
)


class WatchState(Enum):
    NEW = auto()  # nothing was answered yet
    WATCHING = auto()  # the last call was answered, and the next one is out
    UNRESPONSIVE = auto()  # the last call ended without a word
    REJECTED = auto()  # discovery has more callers than it answers
    DOWN = auto()  # its connection broke, or never came up


class WatchEvent(Enum):
    ANSWERED = auto()
    TIMED_OUT = auto()
    REJECTED = auto()
    RATE_LIMITED = auto()  # refused because it has waited too long
    CONNECTION_LOST = auto()
    ADDRESS_CHANGED = auto()  # the configuration names another place


class PollAction(Enum):
    CONTINUE = auto()  # the next call, at once
    RETRY_NOW = auto()  # the same, on a new connection, and it may not wait
    BACK_OFF = auto()  # the same after a pause
    RESUME = auto()  # the next call, at once; there was trouble, and it is over


class Transition(NamedTuple):
    state: WatchState
    event: WatchEvent
    next_state: WatchState
    action: PollAction


S, E, Do = WatchState, WatchEvent, PollAction
TABLE = (
    Transition(S.NEW, E.ANSWERED, S.WATCHING, Do.CONTINUE),
    Transition(S.NEW, E.TIMED_OUT, S.UNRESPONSIVE, Do.RETRY_NOW),
    Transition(S.NEW, E.REJECTED, S.REJECTED, Do.BACK_OFF),
    Transition(S.NEW, E.RATE_LIMITED, S.REJECTED, Do.BACK_OFF),
    Transition(S.NEW, E.CONNECTION_LOST, S.DOWN, Do.BACK_OFF),
    Transition(S.NEW, E.ADDRESS_CHANGED, S.NEW, Do.CONTINUE),
    Transition(S.WATCHING, E.ANSWERED, S.WATCHING, Do.CONTINUE),
    # Guards against news that is missed while a silent call's successor waits its turn.
    Transition(S.WATCHING, E.TIMED_OUT, S.UNRESPONSIVE, Do.RETRY_NOW),
    Transition(S.WATCHING, E.REJECTED, S.REJECTED, Do.BACK_OFF),
    Transition(S.WATCHING, E.RATE_LIMITED, S.REJECTED, Do.BACK_OFF),
    Transition(S.WATCHING, E.CONNECTION_LOST, S.DOWN, Do.BACK_OFF),
    Transition(S.WATCHING, E.ADDRESS_CHANGED, S.WATCHING, Do.CONTINUE),
    Transition(S.UNRESPONSIVE, E.ANSWERED, S.WATCHING, Do.RESUME),
    Transition(S.UNRESPONSIVE, E.TIMED_OUT, S.UNRESPONSIVE, Do.RETRY_NOW),
    Transition(S.UNRESPONSIVE, E.REJECTED, S.REJECTED, Do.BACK_OFF),
    Transition(S.UNRESPONSIVE, E.RATE_LIMITED, S.REJECTED, Do.BACK_OFF),
    Transition(S.UNRESPONSIVE, E.CONNECTION_LOST, S.DOWN, Do.BACK_OFF),
    Transition(S.UNRESPONSIVE, E.ADDRESS_CHANGED, S.UNRESPONSIVE, Do.RETRY_NOW),
    Transition(S.REJECTED, E.ANSWERED, S.WATCHING, Do.RESUME),
    Transition(S.REJECTED, E.TIMED_OUT, S.UNRESPONSIVE, Do.RETRY_NOW),
    Transition(S.REJECTED, E.REJECTED, S.REJECTED, Do.BACK_OFF),
    Transition(S.REJECTED, E.RATE_LIMITED, S.REJECTED, Do.BACK_OFF),
    Transition(S.REJECTED, E.CONNECTION_LOST, S.DOWN, Do.BACK_OFF),
    Transition(S.REJECTED, E.ADDRESS_CHANGED, S.WATCHING, Do.CONTINUE),
    Transition(S.DOWN, E.ANSWERED, S.WATCHING, Do.RESUME),
    Transition(S.DOWN, E.TIMED_OUT, S.UNRESPONSIVE, Do.RETRY_NOW),
    Transition(S.DOWN, E.REJECTED, S.REJECTED, Do.BACK_OFF),
    Transition(S.DOWN, E.RATE_LIMITED, S.REJECTED, Do.BACK_OFF),
    Transition(S.DOWN, E.CONNECTION_LOST, S.DOWN, Do.BACK_OFF),
    Transition(S.DOWN, E.ADDRESS_CHANGED, S.WATCHING, Do.CONTINUE),
)
ROWS = {(row.state, row.event): row for row in TABLE}


def renewal_pause(failures: int, random: Random, most: float = math.inf) -> float:
    """s before the list is asked for again after so many failed calls; spread over at most so many s."""
    more = min(RENEW_MORE * min(failures, RENEW_STEPS), most)
    return RENEW_LEAST + more * random.random()


class ListWatch:
    """One node's calls for the list, of so many nodes of its tier.

    `ask_within` in s, 0: none stated; `pushed`: an agent has the list.
    """

    def __init__(self, ask_within: float, pushed: bool = False, seed: int = 0, nodes: int = 1) -> None:
        self._pushed = pushed
        self._random = Random(f"list {seed}")
        self._wait_most = min(WAIT_MOST, ask_within * WAIT_SHARE) if ask_within > 0 else WAIT_MOST
        self._ask_within = ask_within
        self._began = -math.inf
        self._failures = 0  # calls in a row that were refused or broke
        self._crowds = 0  # of those, the last ones that had waited
        self._silences = 0  # calls in a row that ended without a word
        self._failed_at_once = False  # since the last answer: a place that is down is quick to say so
        self._waited = 0.0  # s that the last call that failed was out
        self._may_be_crowd = nodes >= CROWD_NODES
        self._moved = False
        self._missed_since = math.inf
        self.state = WatchState.NEW

    def next_wait(self, known: bool) -> float:
        """s that the next call may wait; `known`: there is a version to watch from.

        Never longer, also where calls are refused: a watch that goes on is no new call to discovery.
        """
        if not known or self._moved or self.state is WatchState.UNRESPONSIVE:
            return 0.0  # an answer at once tells what was missed; the watch goes on from it
        return self._wait_most * (1 - WAIT_SPREAD * self._random.random())

    def poll_started(self, now: float, wait: float) -> float:
        """A call goes out; s from now at which it is silent, if no byte of its answer has come."""
        self._began = now
        if wait > 0:
            return wait + SILENT_AFTER
        # Guards against a busy discovery that works through calls which were given up a moment before.
        patience: float = BUSY_MOST * 2 ** max(0, self._silences - 1)
        return min(patience, SILENT_MOST) * (1 - BUSY_SPREAD * self._random.random())

    def classify_rejection(self, now: float) -> WatchEvent:
        """What a refusal of the call that is out means: a place that is down, or too many callers."""
        waited = now - self._began
        # A watch that goes on is in no queue: it ends as discovery goes down.
        in_queue = self.state is not WatchState.WATCHING and CROWDED_AFTER <= waited <= CROWDED_WITHIN
        return WatchEvent.RATE_LIMITED if in_queue else WatchEvent.REJECTED

    def poll_ended(self, event: WatchEvent, now: float) -> PollAction:
        """How the last call ended."""
        # Guards against a new place that is silent: what it has counts soon after the move.
        self._moved = event is WatchEvent.ADDRESS_CHANGED or (
            self._moved and event is not WatchEvent.ANSWERED
        )
        self._count(event, now)
        if event is WatchEvent.ANSWERED:
            self._missed_since = math.inf
        elif event is not WatchEvent.ADDRESS_CHANGED:
            # A silent call may have missed what came right after it began; the first one's clock runs on,
            # whatever becomes of its successors.
            self._missed_since = min(
                self._missed_since, self._began if event is WatchEvent.TIMED_OUT else now
            )
        row = ROWS[self.state, event]
        self.state = row.next_state
        return row.action

    def _count(self, event: WatchEvent, now: float) -> None:
        if event is WatchEvent.ANSWERED:
            self._failures = self._crowds = self._silences = 0
            self._failed_at_once = False
        elif event is WatchEvent.TIMED_OUT:
            self._silences += 1
        elif event is not WatchEvent.ADDRESS_CHANGED:
            self._failures += 1
            self._silences = 0
            self._crowds = self._crowds + 1 if event is WatchEvent.RATE_LIMITED else 0
            # A watch that goes on ends as discovery goes down; that says nothing of new calls.
            is_new = self.state is not WatchState.WATCHING
            self._waited = now - self._began if is_new else 0.0
            self._failed_at_once = self._failed_at_once or (is_new and self._waited < CROWDED_AFTER)
            self._may_be_crowd = self._may_be_crowd or event is WatchEvent.RATE_LIMITED

    def backoff(self) -> float:
        """s before the list is asked for again after a call that was refused or broke."""
        chance = self._random.random()
        if self._pushed:
            # Guards against a pause that grows without bound while what the agent has counts already.
            return AGENT_PAUSE * (1 + chance)
        # Guards against long pauses at a place that is down, and refuses each call only after a while.
        crowds = self._crowds if self._failed_at_once else self._crowds - CROWD_DOUBTED
        if crowds > 0:
            times: float = 2 ** (crowds - 1)
            return min(CROWD_PAUSE * times, CROWD_MOST) + min(CROWD_SPREAD * times, CROWD_MOST) * chance
        if self._may_be_crowd and self._failed_at_once:
            # From one try's beginning to the next: what came back meanwhile counts soon after.
            return RENEW_LEAST + max(RENEW_MORE, RENEW_SPREAD - self._waited) * chance
        return renewal_pause(self._failures, self._random, self._ask_within / 4 or math.inf)

    def address_change_delay(self) -> float:
        """s for which a node that is told of a new place goes on at the old one."""
        # Guards against all nodes at the new place in one moment: most would be refused there.
        return MOVE_SPREAD * self._random.random() if self._may_be_crowd and not self._pushed else 0.0

    def initial_wait(self) -> float:
        """s that a new process waits for its first answer before it serves by the list that it remembers."""
        # Guards against sends by a remembered list, where what the agent has counts from the first moment.
        return FIRST_WITHIN if self._pushed else 0.0

    def notified_by(self) -> float:
        """The moment from which what this node may have missed counts as told; inf while all is told.

        As if discovery could be reached all along: what a node can't tell from a silent call.
        """
        return self._missed_since + (0.0 if self._pushed else TOLD_AFTER)
