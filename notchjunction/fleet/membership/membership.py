"""Membership: the nodes of a fleet, as this one knows them. Pure: no clock and no I/O.

It combines three known methods:

- SWIM: one probe in each interval, in shuffled rounds and with helpers; suspicion and incarnations;
- Lifeguard: a node whose own links or timers fail waits longer before it accuses others; a suspicion times
  out sooner the more nodes share it; a suspected node is informed, and refutes;
- digests that find the updates which gossip missed.

Precedence of the records of one name: a later start, then a higher incarnation, then LEFT > DEAD > SUSPECT >
ALIVE. `merge` combines two records by it. There is one exception: an update that declares a live node dead
only makes it suspected, with the full time to refute. So neither a side of a partition nor a node that was
paused can declare healthy nodes dead.

A node that was paused is *away* until peers have answered messages that it sent after the pause. Until then
it sends only its own record and accuses no node, as its other records may be outdated. If no node answers, it
may accuse after AWAY_MAX_S, and so finds out that it is the only one left.

Guarantees, in seconds of the nodes' own clocks, with working links and a tick each 0.1 s: a crash is detected
within `detection_time_max`, and all nodes have the same records within HEALED_MAX_S after a partition. The
bytes of messages (without the envelope) that a node sends per second, on average over 10 s, with 5 to 200
nodes: at most CALM_BYTES_PER_S while nothing changes, and at most TROUBLE_BYTES_PER_S in any case. If half of
the fleet fails at once, each node first attributes that to its own links, and detection may take a minute.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import OutgoingMessage, Sender
from notchjunction.fleet.membership.anti_entropy import DEAD_KEPT_S, AntiEntropy
from notchjunction.fleet.membership.dissemination import Dissemination
from notchjunction.fleet.membership.failure_detector import (
    PROBE_INTERVAL_S,
    REPROBE_INTERVAL_S,
    FailureDetector,
)
from notchjunction.fleet.membership.joining import Joining
from notchjunction.fleet.membership.local_node import (
    AWAY_MAX_S,
    PAUSE_S,
    RECOVERY_PEERS,
    LocalNode,
    Recovery,
)
from notchjunction.fleet.membership.member_table import MemberChange, MemberTable
from notchjunction.fleet.membership.messages import (
    Ack,
    Differences,
    Digest,
    IndirectPing,
    Join,
    JoinReply,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    PeerMessage,
    Ping,
    UpdateBatch,
)
from notchjunction.fleet.membership.records import Member, from_update

SPREAD_INTERVAL_S = 0.5  # between messages with changed records only, while there are any
SYNC_INTERVAL_S = 5.0  # between digests
SYNC_SOON_S = 1.0  # until the next digest after one that found differences
DEAD_CONTACT_INTERVAL_S = 10.0  # between probes of dead nodes, by which the sides of a partition reunite
LATE_TICK_S = 0.5  # a longer gap between ticks means that this node's own timer was late, not a peer
LEAVE_RECEIVERS = 5  # nodes to which a leaving node sends its update; they spread it
DUPLICATE_AFTER_S = 5.0  # later messages from an earlier start are from a duplicate, not delayed
HEALED_MAX_S = 20.0  # from the end of a partition into halves until all 5 to 200 nodes have one view
CALM_BYTES_PER_S = 250  # a node; a probe, an answer and a fifth of a digest, with names of 16 bytes
TROUBLE_BYTES_PER_S = 8000  # a node; the messages of all periodic tasks and as many answers, each full


class PeriodicTask(NamedTuple):
    """A task that a node runs at intervals."""

    interval: float  # s
    run: Callable[[float], list[OutgoingMessage]]


class Membership:
    """The membership as one start of a node, `me`, at `address` ("host:port") knows it.

    `tick` and `due_joins` are to be called about each 0.1 s, `receive` and `reply_to_join` for each message,
    and `take_changes` after them. `now` is in seconds on the node's own clock. `seeds` are addresses of some
    other nodes.
    """

    def __init__(self, me: Sender, address: str, seeds: Sequence[str], seed: int) -> None:
        self.local = LocalNode(me, address, seed)
        self._table = MemberTable(self.local)
        dissemination = Dissemination(self.local, self._table)
        self._dissemination = dissemination
        self._detector = FailureDetector(self.local, self._table, dissemination)
        self._sync = AntiEntropy(self.local, self._table, dissemination, self._detector)
        self._joining = Joining(self.local, self._table, seeds)
        self._tasks = {
            "probe": PeriodicTask(PROBE_INTERVAL_S, self._detector.probe_next),
            "reprobe": PeriodicTask(REPROBE_INTERVAL_S, self._detector.reprobe_suspect),
            "spread": PeriodicTask(SPREAD_INTERVAL_S, self._sync.send_updates),
            "sync": PeriodicTask(SYNC_INTERVAL_S, self._sync.send_digest),
            "contact dead": PeriodicTask(DEAD_CONTACT_INTERVAL_S, self._sync.contact_dead),
        }
        self._due: dict[str, float] = {}
        self._table.put(me.name, Member(me.name, address, me.start, 0, MemberState.ALIVE, 0.0))

    def members(self) -> Mapping[str, Member]:
        """Return all known members, with this node and those that died within the last hour."""
        return self._table.ordered()

    def live(self) -> list[str]:
        """Return the names of the other nodes that are alive or suspected."""
        return self._table.live()

    def address_of(self, name: str) -> str | None:
        """Return a node's address; None if it is not known."""
        record = self._table.records.get(name)
        return None if record is None else record.address

    def start_of(self, name: str) -> int:
        """Return a node's start; 0 if it is not known."""
        record = self._table.records.get(name)
        return 0 if record is None else record.start

    def is_away(self, now: float) -> bool:
        """Return whether this node was paused, and has not received enough answers since."""
        return self.local.is_away(now)

    def fault(self, now: float) -> FleetError | None:
        """Return the error that an on-call operator has to resolve, if there is one."""
        return self.local.fault(now)

    def take_changes(self) -> list[MemberChange]:
        """Return the changes of records since the last call."""
        changes, self._table.changes = self._table.changes, []
        return changes

    def digest(self) -> bytes:
        """Return a digest that is equal if two nodes have the same records."""
        return self._table.digest()

    @property
    def _has_left(self) -> bool:
        return self._table.own.state is MemberState.LEFT

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Run the tasks that are due; return the messages to send."""
        self._check_gap(now, LATE_TICK_S)
        self.local.last_tick_at = now
        if self._has_left:
            return []
        self._check_recovery(now)
        outgoing = self._detector.check_probes(now)
        self._detector.expire_suspicions(now)
        random = self.local.random
        for name, task in self._tasks.items():
            # The first run and the intervals are randomized, so that nodes do not synchronize.
            if now >= self._due.setdefault(name, now + task.interval * random.random()):
                factor = 1 + self.local.health if name == "probe" else 1
                self._due[name] = now + task.interval * factor * random.uniform(0.9, 1.1)
                outgoing += task.run(now)
        return outgoing

    def due_joins(self, now: float) -> list[tuple[str, Message]]:
        """Return the joins to send, each with the address that it goes to."""
        return [] if self._has_left else self._joining.due_joins(now)

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Return the messages that announce that this node leaves; it sends nothing afterwards."""
        if self.local.is_replaced:
            return []
        own = self._table.own
        self._table.put(own.name, replace(own, state=MemberState.LEFT, since=now))
        return [
            OutgoingMessage(name, UpdateBatch(self._dissemination.updates_for(now, name, own=True)))
            for name in self.local.sample(self.live(), LEAVE_RECEIVERS)
        ]

    def receive(self, now: float, sender: Sender, message: Message) -> list[OutgoingMessage]:
        """Apply a message for this start of this node; a Join is not answered, see `reply_to_join`."""
        self._check_gap(now, PAUSE_S)
        if isinstance(message, Join) or self._has_left:
            return []
        if sender.name == self.local.me.name:
            return self._receive_from_namesake(now, sender, message)
        known = self._table.records.get(sender.name)
        if known is not None and sender.start < known.start:
            if now - known.since > DUPLICATE_AFTER_S:
                self.local.report_duplicate(now, sender, known.start, known.address)
            return []
        recovery = self.local.recovery
        if recovery and isinstance(message, JoinReply | Ack | Nack) and message.seq > recovery.seq:
            self._note_recovery_answer(recovery, sender.name)
        changes = [self._apply_update(now, update) for update in message.updates]
        self._check_recovery(now)
        if self.start_of(sender.name) != sender.start or sender.name not in self._table.records:
            return []  # cannot be answered before this start's record is known
        if self.local.recovery and isinstance(message, Digest | Differences):
            return []
        if isinstance(message, Differences) and any(changes):
            self._due["sync"] = min(self._due.get("sync", math.inf), now + SYNC_SOON_S)
        return self._answer(now, sender.name, message)

    def reply_to_join(self, now: float, sender: Sender, message: Message) -> list[Message]:
        """Return the replies to a join, to be sealed for `sender` and sent to the join's source address."""
        return self._joining.reply(now, sender, message)

    def _answer(self, now: float, to: str, message: PeerMessage) -> list[OutgoingMessage]:
        match message:
            case JoinReply():
                return [self._detector.ping(now, to), OutgoingMessage(to, Digest(self.digest(), ()))]
            case Ping(seq):
                return [OutgoingMessage(to, Ack(seq, self._dissemination.updates_for(now, to, own=True)))]
            case IndirectPing():
                return self._detector.on_indirect_ping(now, to, message)
            case Ack():
                return self._detector.on_ack(now, message)
            case Nack():
                return self._detector.on_nack(message)
            case Digest():
                return self._sync.on_digest(now, to, message)
            case Differences():
                return self._sync.on_differences(now, to, message)
            case UpdateBatch():
                return []

    def _receive_from_namesake(
        self, now: float, sender: Sender, message: PeerMessage
    ) -> list[OutgoingMessage]:
        me, own = self.local.me, self._table.own
        if sender.start <= me.start:
            self.local.report_duplicate(now, sender, own.start, own.address)
            return []
        for update in message.updates:
            self._apply_update(now, update)
        if isinstance(message, JoinReply) and self.address_of(me.name) != self.local.address:
            return [self._detector.ping(now, me.name)]  # so that the other one learns of this one
        return []

    def _apply_update(self, now: float, update: MemberUpdate) -> bool:
        record = from_update(update, now)
        me = self.local.me
        if record.name == me.name and record.start != me.start:
            if record.start > me.start:
                self.local.report_replaced(record.start)
            if record.live and record.address != self.local.address:
                # Guards against duplicates that never learn of each other, as other nodes reject the messages
                # of the earlier one.
                self.local.note_namesake(record.address)
        return self._table.receive(now, record)

    def _check_gap(self, now: float, allowed: float) -> None:
        """Handle a gap since the last tick that is longer than `allowed` seconds."""
        local = self.local
        gap = now - local.last_tick_at
        if gap <= allowed:
            return
        # Guards against suspecting peers for the time in which this node did not run.
        local.adjust_health(1)
        self._detector.delay_probes(gap)
        self._table.shift_suspicions(gap)
        if gap <= PAUSE_S:
            return
        # Guards against acting on records from before a pause, or on datagrams that waited in the socket.
        local.last_tick_at = now
        local.recovery = Recovery(now, gap, local.seq, {})
        self._detector.abandon_probes()
        self._due["probe"] = now
        self._joining.restart(now)

    def _note_recovery_answer(self, recovery: Recovery, name: str) -> None:
        if recovery.gap > DEAD_KEPT_S and not recovery.answers:
            # Guards against bringing back nodes that the others have declared dead and forgotten.
            for member in self.members():
                if member != self.local.me.name:
                    self._table.put(member, None)
        recovery.answers[name] = None

    def _check_recovery(self, now: float) -> None:
        """End the recovery after a pause once enough peers have answered."""
        recovery = self.local.recovery
        if recovery is None:
            return
        live = self._table.live_count - 1
        is_alone = not live and now - recovery.began_at > AWAY_MAX_S
        if is_alone or len(recovery.answers) >= max(1, min(RECOVERY_PEERS, live)):
            self.local.recovery = None
            self._table.restart_suspicions(now)
