"""The state machine of one node's watch on the endpoint list: when to poll, and from when changes count.

A change counts from `CHANGE_EFFECTIVE_AFTER_S` after discovery had it and was reachable, whatever became of
the poll that should have delivered it. A watch may be dead without a sign, so no poll waits longer than
leaves time to detect that and to poll again. A poll that times out is retried at once, on a new connection
and without waiting. A poll that is rejected, or whose connection breaks, is retried after a backoff, so
that nodes do not keep one another out.

A poll that discovery rejects after queueing costs it as much as one that it answers. Nodes that retry too
soon would therefore be rejected forever, long after the cause of the overload is over. So a node that has
met such an overload, or is one of many nodes, spreads its retries over 5 s, also where discovery is merely
down, and after a rejection from the queue it backs off exponentially. A discovery that is down may reject
polls in the same way; so neither rule applies before a new poll was rejected immediately, or many were not.

Pure: no I/O and no clock. All moments are seconds on the node's clock.
"""

from __future__ import annotations

import math
from enum import Enum, auto
from random import Random

from notchjunction.state_table import StateTable, Transition

# A change counts this long after discovery had it and was reachable; set by the protocol.
CHANGE_EFFECTIVE_AFTER_S = 6.0
# A watch is broken this long after the end of its wait, or after the last byte of its response.
RESPONSE_GRACE_S = 0.5
# A response that has begun is complete this long after that; so the last of it still comes in time.
MAX_TRANSFER_S = 4.0
# A poll without a wait is answered in this time; discovery rejects what has queued for a second.
IMMEDIATE_POLL_TIMEOUT_S = 1.5
# Share of that timeout by which it is shortened at random, as many nodes may have timed out together.
IMMEDIATE_POLL_JITTER = 0.3
# Upper bound of that timeout, which doubles with each poll in a row that times out.
MAX_IMMEDIATE_POLL_TIMEOUT_S = 6.0
# A poll waits at most this long: one that times out is retried before what it missed counts.
MAX_POLL_WAIT_S = CHANGE_EFFECTIVE_AFTER_S - RESPONSE_GRACE_S - IMMEDIATE_POLL_TIMEOUT_S
# Share of the poll interval that a poll waits, where that is shorter.
POLL_WAIT_SHARE = 0.75
# Share of a wait by which it is shortened at random, so that the nodes' watches do not end together.
POLL_WAIT_JITTER = 0.3
# Shortest backoff after a failed poll.
MIN_BACKOFF_S = 0.25
# Added for each failure, drawn evenly from 0, so that polls of many nodes spread out.
BACKOFF_STEP_S = 0.9
# Failures that count for that: retries are at most 3 s apart, half of what a change may be late.
MAX_BACKOFF_STEPS = 3
# Added instead where nodes may overload discovery: retries start at most 5 s apart, and 1 s for a response.
OVERLOAD_RETRY_SPREAD_S = 4.75
# Nodes of a tier that may overload discovery; fewer are answered in a moment.
OVERLOAD_NODE_COUNT = 16
# A poll that is rejected after less than this has not queued: discovery is down.
MIN_QUEUED_S = 0.25
# A poll that is rejected after more than this had passed the queue, and was waiting as a watch.
MAX_QUEUED_S = 2.5
# Rejections from the queue in a row that may as well come from a discovery that is down and slow to reject.
DOUBTED_RATE_LIMITS = 6
# Backoff after a rejection from the queue; it doubles with each further one.
OVERLOAD_BACKOFF_S = 2.0
# Added to that, drawn evenly from 0; it doubles likewise.
OVERLOAD_BACKOFF_SPREAD_S = 3.0
# Upper bound of either; longer than discovery needs to answer a fleet of any size once.
MAX_OVERLOAD_BACKOFF_S = 12.0
# Many nodes move to a new address over this time; what it has counts 4 s after the signal.
ADDRESS_CHANGE_SPREAD_S = 2.5
# Backoff before an agent that pushes lists is polled again, and as much again at random.
AGENT_BACKOFF_S = 0.1
# A new process waits this long for the agent's first response; then only the cached list is left.
AGENT_INITIAL_WAIT_S = 3.0


class WatchState(Enum):
    """What the last poll says of discovery."""

    NEW = auto()  # no poll has been answered yet
    WATCHING = auto()  # the last poll was answered, and the next one is under way
    UNRESPONSIVE = auto()  # the last poll ended without a response
    REJECTED = auto()  # discovery has more clients than it answers
    DOWN = auto()  # the connection broke, or could not be opened


class WatchEvent(Enum):
    """How a poll ended."""

    ANSWERED = auto()
    TIMED_OUT = auto()
    REJECTED = auto()
    RATE_LIMITED = auto()  # rejected because it has queued too long
    CONNECTION_LOST = auto()
    ADDRESS_CHANGED = auto()  # the configuration names another address of discovery


class PollAction(Enum):
    """What follows the end of a poll."""

    CONTINUE = auto()  # poll at once
    RETRY_NOW = auto()  # poll at once, on a new connection and without a wait
    BACK_OFF = auto()  # poll after a backoff
    RESUME = auto()  # poll at once; discovery has recovered


S, E, Do = WatchState, WatchEvent, PollAction
TABLE = StateTable[WatchState, WatchEvent, PollAction](
    (
        Transition(S.NEW, E.ANSWERED, S.WATCHING, Do.CONTINUE),
        Transition(S.NEW, E.TIMED_OUT, S.UNRESPONSIVE, Do.RETRY_NOW),
        Transition(S.NEW, E.REJECTED, S.REJECTED, Do.BACK_OFF),
        Transition(S.NEW, E.RATE_LIMITED, S.REJECTED, Do.BACK_OFF),
        Transition(S.NEW, E.CONNECTION_LOST, S.DOWN, Do.BACK_OFF),
        Transition(S.NEW, E.ADDRESS_CHANGED, S.NEW, Do.CONTINUE),
        Transition(S.WATCHING, E.ANSWERED, S.WATCHING, Do.CONTINUE),
        # Guards against missing changes while the poll after a timed-out one waits its turn.
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
)


def poll_backoff(failures: int, random: Random, max_spread: float = math.inf) -> float:
    """Returns the time (s) before the list is polled again after `failures` failed polls in a row.

    Args:
        failures: polls in a row that failed.
        random: the source of the backoff's random part, one draw.
        max_spread: upper bound (s) of the random part.
    """
    spread = min(BACKOFF_STEP_S * min(failures, MAX_BACKOFF_STEPS), max_spread)
    return MIN_BACKOFF_S + spread * random.random()


class ListWatch:
    """One node's watch on the endpoint list: timing of its polls, and what may be outdated."""

    def __init__(self, poll_interval: float, pushed: bool = False, seed: int = 0, nodes: int = 1) -> None:
        """Starts without an answered poll.

        Args:
            poll_interval: time (s) within which the list must be polled; 0: none given.
            pushed: an agent beside the node pushes the list.
            seed: seed of the random parts of waits and backoffs.
            nodes: nodes of this node's tier.
        """
        self._pushed = pushed
        self._random = Random(f"list {seed}")
        self._max_wait = (
            min(MAX_POLL_WAIT_S, poll_interval * POLL_WAIT_SHARE) if poll_interval > 0 else MAX_POLL_WAIT_S
        )
        self._poll_interval = poll_interval
        self._poll_started_at = -math.inf
        self._failures = 0  # polls in a row that were rejected or whose connection broke
        self._rate_limits = 0  # the latest of those in a row that were rejected from the queue
        self._timeouts = 0  # polls in a row that timed out
        self._failed_immediately = False  # since the last response: a discovery that is down is quick to fail
        self._failed_poll_duration = 0.0  # s that the last failed poll was under way
        self._may_overload = nodes >= OVERLOAD_NODE_COUNT
        self._address_changed = False  # and the new address has not answered yet
        self._possibly_outdated_since = math.inf
        self.state = WatchState.NEW

    def next_wait(self, known: bool) -> float:
        """Returns the time (s) that the next poll may wait at discovery for a change.

        It does not grow where polls are rejected: a watch that is renewed is no new poll to discovery.

        Args:
            known: there is a version to watch from.
        """
        if not known or self._address_changed or self.state is WatchState.UNRESPONSIVE:
            return 0.0  # a response at once brings what was missed; the watch goes on from there
        return self._max_wait * (1 - POLL_WAIT_JITTER * self._random.random())

    def poll_started(self, now: float, wait: float) -> float:
        """Starts a poll that waits `wait` s; returns its timeout (s) if no byte of a response comes."""
        self._poll_started_at = now
        if wait > 0:
            return wait + RESPONSE_GRACE_S
        # Guards against a busy discovery that works through polls which have timed out a moment before.
        timeout: float = IMMEDIATE_POLL_TIMEOUT_S * 2 ** max(0, self._timeouts - 1)
        jitter = 1 - IMMEDIATE_POLL_JITTER * self._random.random()
        return min(timeout, MAX_IMMEDIATE_POLL_TIMEOUT_S) * jitter

    def classify_rejection(self, now: float) -> WatchEvent:
        """Tells whether a rejection of the current poll means an outage or an overload of discovery."""
        duration = now - self._poll_started_at
        # A watch that is renewed is in no queue: it ends as discovery goes down.
        was_queued = self.state is not WatchState.WATCHING and MIN_QUEUED_S <= duration <= MAX_QUEUED_S
        return WatchEvent.RATE_LIMITED if was_queued else WatchEvent.REJECTED

    def poll_ended(self, event: WatchEvent, now: float) -> PollAction:
        """Takes in how the last poll ended; returns what follows."""
        # Guards against a new address that is unresponsive: what it has counts soon after the change.
        self._address_changed = event is WatchEvent.ADDRESS_CHANGED or (
            self._address_changed and event is not WatchEvent.ANSWERED
        )
        self._count_poll(event, now)
        if event is WatchEvent.ANSWERED:
            self._possibly_outdated_since = math.inf
        elif event is not WatchEvent.ADDRESS_CHANGED:
            # A timed-out poll may have missed what came right after it started; the clock of the first one
            # runs on, whatever becomes of its successors.
            self._possibly_outdated_since = min(
                self._possibly_outdated_since, self._poll_started_at if event is WatchEvent.TIMED_OUT else now
            )
        transition = TABLE[self.state, event]
        self.state = transition.next_state
        return transition.action

    def _count_poll(self, event: WatchEvent, now: float) -> None:
        """Counts failures in a row, and whether they look like an outage or an overload."""
        if event is WatchEvent.ANSWERED:
            self._failures = self._rate_limits = self._timeouts = 0
            self._failed_immediately = False
        elif event is WatchEvent.TIMED_OUT:
            self._timeouts += 1
        elif event is not WatchEvent.ADDRESS_CHANGED:
            self._failures += 1
            self._timeouts = 0
            self._rate_limits = self._rate_limits + 1 if event is WatchEvent.RATE_LIMITED else 0
            # A watch that is renewed ends as discovery goes down; that says nothing of new polls.
            is_new = self.state is not WatchState.WATCHING
            self._failed_poll_duration = now - self._poll_started_at if is_new else 0.0
            self._failed_immediately = self._failed_immediately or (
                is_new and self._failed_poll_duration < MIN_QUEUED_S
            )
            self._may_overload = self._may_overload or event is WatchEvent.RATE_LIMITED

    def backoff(self) -> float:
        """Returns the time (s) before the next poll after one that was rejected or lost its connection."""
        jitter = self._random.random()
        if self._pushed:
            # Guards against a backoff that grows without bound while what the agent has counts already.
            return AGENT_BACKOFF_S * (1 + jitter)
        # Guards against long backoffs where discovery is down, and rejects each poll only after a while.
        rate_limits = (
            self._rate_limits if self._failed_immediately else self._rate_limits - DOUBTED_RATE_LIMITS
        )
        if rate_limits > 0:
            factor: float = 2 ** (rate_limits - 1)
            spread = min(OVERLOAD_BACKOFF_SPREAD_S * factor, MAX_OVERLOAD_BACKOFF_S)
            return min(OVERLOAD_BACKOFF_S * factor, MAX_OVERLOAD_BACKOFF_S) + spread * jitter
        if self._may_overload and self._failed_immediately:
            # From one poll's start to the next: what has come back meanwhile counts soon after.
            spread = max(BACKOFF_STEP_S, OVERLOAD_RETRY_SPREAD_S - self._failed_poll_duration)
            return MIN_BACKOFF_S + spread * jitter
        return poll_backoff(self._failures, self._random, self._poll_interval / 4 or math.inf)

    def address_change_delay(self) -> float:
        """Returns the time (s) for which a node keeps polling the old address after a change of it."""
        # Guards against all nodes at the new address in one moment: most would be rejected there.
        return (
            ADDRESS_CHANGE_SPREAD_S * self._random.random()
            if self._may_overload and not self._pushed
            else 0.0
        )

    def initial_wait(self) -> float:
        """Returns how long (s) a new process waits for a first response before it uses a cached list."""
        # Guards against attempts by a cached list where what the agent has counts from the first moment.
        return AGENT_INITIAL_WAIT_S if self._pushed else 0.0

    def notified_by(self) -> float:
        """Returns the moment from which what this node may have missed counts; inf while it is up to date.

        As if discovery had been reachable all along, which a node cannot tell from a poll without a response.
        """
        return self._possibly_outdated_since + (0.0 if self._pushed else CHANGE_EFFECTIVE_AFTER_S)
