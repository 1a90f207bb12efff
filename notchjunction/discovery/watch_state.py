"""The state machine of one node's watch on the endpoint list: when to poll, and from when changes count.

A change counts from `CHANGE_EFFECTIVE_AFTER_S` after discovery had it and was reachable, even if the poll
that should have delivered it failed. The connection of a watch may be dead without any error. So the wait of
a poll is short enough to leave time to detect that and to poll again. A poll that times out is retried at
once, on a new connection and without a wait. A poll that is rejected, or whose connection breaks, is retried
after a backoff, so that nodes do not block one another.

A poll that discovery rejects after queueing costs it as much as one that it answers. Nodes that retry too
soon would therefore be rejected forever, long after the cause of the overload is over. So a node that has
seen such an overload, or is one of many nodes, spreads its retries over 5 s, even if discovery is merely
down, and after a rejection from the queue it backs off exponentially. A discovery that is down may reject
polls in the same way. So neither rule applies until a new poll was rejected immediately, or many were
rejected after queueing.

Pure: no I/O and no clock. All moments are seconds on the node's clock.
"""

from __future__ import annotations

import math
from enum import Enum, auto
from random import Random

from notchjunction.state_table import StateTable, Transition

# A change counts this long after discovery had it and was reachable; set by the protocol.
CHANGE_EFFECTIVE_AFTER_S = 6.0
# A poll has timed out this long after the end of its wait, or after the last byte of its response.
RESPONSE_GRACE_S = 0.5
# A response is complete this long after its first byte, so that its last entry still arrives in time.
MAX_TRANSFER_S = 4.0
# A poll without a wait is answered in this time; discovery rejects polls that have queued for a second.
IMMEDIATE_POLL_TIMEOUT_S = 1.5
# Share of that timeout by which it is shortened at random, as many nodes may have timed out together.
IMMEDIATE_POLL_JITTER = 0.3
# Upper bound of that timeout, which doubles with each consecutive poll that times out.
MAX_IMMEDIATE_POLL_TIMEOUT_S = 6.0
# A poll waits at most this long, so that one that times out is retried before a missed change counts.
MAX_POLL_WAIT_S = CHANGE_EFFECTIVE_AFTER_S - RESPONSE_GRACE_S - IMMEDIATE_POLL_TIMEOUT_S
# Share of the poll interval that a poll waits, if that is shorter.
POLL_WAIT_SHARE = 0.75
# Share of a wait by which it is shortened at random, so that the nodes' watches do not end together.
POLL_WAIT_JITTER = 0.3
# Shortest backoff after a failed poll.
MIN_BACKOFF_S = 0.25
# Added for each failure, uniformly distributed from 0, so that the polls of many nodes spread out.
BACKOFF_STEP_S = 0.9
# Failures that count for that: retries are at most 3 s apart, half the time in which a change must arrive.
MAX_BACKOFF_STEPS = 3
# Added instead if nodes may overload discovery: retries start at most 5 s apart, with 1 s for a response.
OVERLOAD_RETRY_SPREAD_S = 4.75
# Number of nodes in a tier that may overload discovery; fewer nodes are answered at once.
OVERLOAD_NODE_COUNT = 16
# A poll that is rejected after less than this has not queued: discovery is down.
MIN_QUEUED_S = 0.25
# A poll that is rejected after more than this had left the queue, and was waiting for a change.
MAX_QUEUED_S = 2.5
# So many consecutive rejections from the queue may also come from a discovery that is down.
AMBIGUOUS_RATE_LIMITS = 6
# Backoff after a rejection from the queue; it doubles with each further one.
OVERLOAD_BACKOFF_S = 2.0
# Added to that, uniformly distributed from 0; it doubles in the same way.
OVERLOAD_BACKOFF_SPREAD_S = 3.0
# Upper bound of either; longer than discovery needs to answer every node once, in a fleet of any size.
MAX_OVERLOAD_BACKOFF_S = 12.0
# Many nodes switch to a new address within this time; its changes count 4 s after the signal to switch.
ADDRESS_CHANGE_SPREAD_S = 2.5
# Backoff before an agent that pushes lists is polled again; up to as much is added at random.
AGENT_BACKOFF_S = 0.1
# A new process waits this long for the agent's first response; after that it uses the cached list.
AGENT_INITIAL_WAIT_S = 3.0


class WatchState(Enum):
    """The state of discovery as the last poll showed it."""

    NEW = auto()  # no poll has been answered yet
    WATCHING = auto()  # the last poll was answered, and the next one is in progress
    UNRESPONSIVE = auto()  # the last poll ended without a response
    REJECTED = auto()  # the last poll was rejected; discovery may be overloaded
    DOWN = auto()  # the connection broke, or could not be opened


class WatchEvent(Enum):
    """How a poll ended."""

    ANSWERED = auto()
    TIMED_OUT = auto()
    REJECTED = auto()
    RATE_LIMITED = auto()  # rejected because it was queued for too long
    CONNECTION_LOST = auto()
    ADDRESS_CHANGED = auto()  # the configuration names another address of discovery


class PollAction(Enum):
    """What the node does after the end of a poll."""

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
        # Guards against changes that are missed while a poll is delayed after one that timed out.
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
    """Returns the time (s) before the list is polled again after `failures` consecutive failed polls.

    Args:
        failures: consecutive polls that failed.
        random: the generator of the backoff's random part; one number is drawn.
        max_spread: upper bound (s) of the random part.
    """
    spread = min(BACKOFF_STEP_S * min(failures, MAX_BACKOFF_STEPS), max_spread)
    return MIN_BACKOFF_S + spread * random.random()


class ListWatch:
    """One node's watch on the endpoint list: the timing of its polls, and how outdated the list may be."""

    def __init__(self, poll_interval: float, pushed: bool = False, seed: int = 0, nodes: int = 1) -> None:
        """Starts without an answered poll.

        Args:
            poll_interval: time (s) within which the list must be polled; 0 if none is given.
            pushed: whether an agent on the node's host pushes the list.
            seed: seed of the random parts of waits and backoffs.
            nodes: the number of nodes in this node's tier.
        """
        self._pushed = pushed
        self._random = Random(f"list {seed}")
        self._max_wait = (
            min(MAX_POLL_WAIT_S, poll_interval * POLL_WAIT_SHARE) if poll_interval > 0 else MAX_POLL_WAIT_S
        )
        self._poll_interval = poll_interval
        self._poll_started_at = -math.inf
        self._failures = 0  # consecutive polls that were rejected or whose connection broke
        self._rate_limits = 0  # the latest consecutive ones of those that were rejected from the queue
        self._timeouts = 0  # consecutive polls that timed out
        self._failed_immediately = False  # since the last response; a sign that discovery is down
        self._failed_poll_duration = 0.0  # duration of the last failed poll (s)
        self._may_overload = nodes >= OVERLOAD_NODE_COUNT
        self._address_changed = False  # True until the new address has answered
        self._possibly_outdated_since = math.inf
        self.state = WatchState.NEW

    def next_wait(self, has_version: bool) -> float:
        """Returns the time (s) that the next poll may wait at discovery for a change.

        It does not grow when polls are rejected, as discovery does not queue a watch that is renewed.

        Args:
            has_version: whether the node has a version of the list from which it can watch.
        """
        if not has_version or self._address_changed or self.state is WatchState.UNRESPONSIVE:
            return 0.0  # an immediate response delivers missed changes; the watch continues from there
        return self._max_wait * (1 - POLL_WAIT_JITTER * self._random.random())

    def poll_started(self, now: float, wait: float) -> float:
        """Starts a poll that waits `wait` s; returns its timeout (s) if no byte of a response comes."""
        self._poll_started_at = now
        if wait > 0:
            return wait + RESPONSE_GRACE_S
        # Guards against a busy discovery that spends its time on polls which have just timed out.
        timeout: float = IMMEDIATE_POLL_TIMEOUT_S * 2 ** max(0, self._timeouts - 1)
        jitter = 1 - IMMEDIATE_POLL_JITTER * self._random.random()
        return min(timeout, MAX_IMMEDIATE_POLL_TIMEOUT_S) * jitter

    def classify_rejection(self, now: float) -> WatchEvent:
        """Returns whether a rejection of the current poll means an outage or an overload of discovery."""
        duration = now - self._poll_started_at
        # A watch that is renewed does not queue: it is rejected only when discovery goes down.
        was_queued = self.state is not WatchState.WATCHING and MIN_QUEUED_S <= duration <= MAX_QUEUED_S
        return WatchEvent.RATE_LIMITED if was_queued else WatchEvent.REJECTED

    def poll_ended(self, event: WatchEvent, now: float) -> PollAction:
        """Records how the last poll ended; returns what to do next."""
        # Guards against a new address that is unresponsive: its changes count soon after the switch.
        self._address_changed = event is WatchEvent.ADDRESS_CHANGED or (
            self._address_changed and event is not WatchEvent.ANSWERED
        )
        self._count_poll(event, now)
        if event is WatchEvent.ANSWERED:
            self._possibly_outdated_since = math.inf
        elif event is not WatchEvent.ADDRESS_CHANGED:
            # A poll that timed out may have missed a change right after its start. The earliest such moment
            # is kept until a poll is answered.
            self._possibly_outdated_since = min(
                self._possibly_outdated_since, self._poll_started_at if event is WatchEvent.TIMED_OUT else now
            )
        transition = TABLE[self.state, event]
        self.state = transition.next_state
        return transition.action

    def _count_poll(self, event: WatchEvent, now: float) -> None:
        """Counts consecutive failures, and records whether they indicate an outage or an overload."""
        if event is WatchEvent.ANSWERED:
            self._failures = self._rate_limits = self._timeouts = 0
            self._failed_immediately = False
        elif event is WatchEvent.TIMED_OUT:
            self._timeouts += 1
        elif event is not WatchEvent.ADDRESS_CHANGED:
            self._failures += 1
            self._timeouts = 0
            self._rate_limits = self._rate_limits + 1 if event is WatchEvent.RATE_LIMITED else 0
            # A watch that is renewed ends when discovery goes down; that tells nothing about new polls.
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
            # Guards against a backoff that grows without bound: an agent's changes count at once.
            return AGENT_BACKOFF_S * (1 + jitter)
        # Guards against long backoffs while discovery is down and rejects each poll only after a delay.
        rate_limits = (
            self._rate_limits if self._failed_immediately else self._rate_limits - AMBIGUOUS_RATE_LIMITS
        )
        if rate_limits > 0:
            factor: float = 2 ** (rate_limits - 1)
            spread = min(OVERLOAD_BACKOFF_SPREAD_S * factor, MAX_OVERLOAD_BACKOFF_S)
            return min(OVERLOAD_BACKOFF_S * factor, MAX_OVERLOAD_BACKOFF_S) + spread * jitter
        if self._may_overload and self._failed_immediately:
            # The spread is from the start of one poll to the next: once discovery is back, its changes count
            # soon after.
            spread = max(BACKOFF_STEP_S, OVERLOAD_RETRY_SPREAD_S - self._failed_poll_duration)
            return MIN_BACKOFF_S + spread * jitter
        return poll_backoff(self._failures, self._random, self._poll_interval / 4 or math.inf)

    def address_change_delay(self) -> float:
        """Returns the time (s) for which a node still polls the old address after it was changed."""
        # Guards against all nodes polling the new address at the same moment: most would be rejected.
        return (
            ADDRESS_CHANGE_SPREAD_S * self._random.random()
            if self._may_overload and not self._pushed
            else 0.0
        )

    def initial_wait(self) -> float:
        """Returns how long (s) a new process waits for a first response before it uses a cached list."""
        # Guards against attempts by an outdated cached list: an agent's changes count at once.
        return AGENT_INITIAL_WAIT_S if self._pushed else 0.0

    def notified_by(self) -> float:
        """Returns the moment from which a change that this node may have missed counts; inf if up to date.

        It assumes that discovery was reachable all the time: a poll without a response does not show that it
        was not.
        """
        return self._possibly_outdated_since + (0.0 if self._pushed else CHANGE_EFFECTIVE_AFTER_S)
