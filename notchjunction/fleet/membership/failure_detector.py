"""SWIM's failure detector with Lifeguard's extensions: probes, indirect probes, suspicion timeouts. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from notchjunction.fleet.envelope import OutgoingMessage
from notchjunction.fleet.membership.dissemination import Dissemination
from notchjunction.fleet.membership.local_node import RECOVERY_PEERS, LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import (
    CONFIRMATIONS_MAX,
    Ack,
    IndirectPing,
    MemberState,
    Nack,
    Ping,
)
from notchjunction.fleet.membership.records import Member, RecordEvent

PROBE_INTERVAL_S = 1.0  # so each node is probed about once a second by some other node
PROBE_TIMEOUT_S = 0.3  # longer than any round trip on earth
# Added for an indirect probe: its helpers wait PROBE_TIMEOUT_S and send a Nack. Ends within the interval.
INDIRECT_TIMEOUT_S = 0.6
HELPERS = 3  # nodes asked for an indirect probe, so that one lost datagram or bad link causes no suspicion
# The minimum time to refute a suspicion: this many probe intervals times log10 of the number of nodes. It is
# enough for a few rounds of gossip.
SUSPICION_FACTOR = 4.0
SUSPICION_MAX_FACTOR = 3.0  # on that minimum, for a suspicion that no other node shares
REPROBE_INTERVAL_S = 0.5  # a suspected node is probed several times before it is declared dead
# Expected number of nodes that probe a suspected one again, besides its accusers. The others learn of its
# answer by gossip.
REPROBERS = 10


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered yet."""

    member: Member
    step_at: float  # when the next step is due
    helpers: int | None = None  # how many were asked for an indirect probe; None before that
    nacks: int = 0


class Relay(NamedTuple):
    """A Ping sent for another node."""

    to: str
    seq: int
    until: float


class FailureDetector:
    """Probes the other nodes, and suspects those that do not answer."""

    def __init__(self, local: LocalNode, table: MemberTable, dissemination: Dissemination) -> None:
        self._local = local
        self._table = table
        self._dissemination = dissemination
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def ping(self, now: float, to: str) -> OutgoingMessage:
        """Return a Ping with a new sequence number."""
        seq = self._local.next_seq()
        return OutgoingMessage(to, Ping(seq, self._dissemination.updates_for(now, to, own=True)))

    def delay_probes(self, gap: float) -> None:
        """Extend the timeouts of all probes by `gap` seconds."""
        for probe in self._probes.values():
            probe.step_at += gap

    def abandon_probes(self) -> None:
        """Drop all probes, this node's own ones and those for other nodes."""
        self._probes.clear()
        self._relays.clear()

    def probe_next(self, now: float) -> list[OutgoingMessage]:
        """Probe the next node of the shuffled round."""
        table = self._table
        while not table.probe_order or not table.records[table.probe_order[-1]].live:
            if table.probe_order:
                table.probe_order.pop()
                continue
            table.probe_order = table.live()
            self._local.random.shuffle(table.probe_order)
            if not table.probe_order:
                return []
        name = table.probe_order.pop()
        outgoing = [self.ping(now, name)]
        timeout = PROBE_TIMEOUT_S * (1 + self._local.health)
        self._probes[self._local.seq] = Probe(table.records[name], now + timeout)
        if self._local.recovery is not None:
            outgoing += [self.ping(now, other) for other in self._local.sample(table.live(), RECOVERY_PEERS)]
        return outgoing

    def reprobe_suspect(self, now: float) -> list[OutgoingMessage]:
        """Probe one of the suspected nodes again."""
        # Guards against a refutation that was lost: this node probes again those that it accuses itself, and
        # some of those that it would soon declare dead. Not all nodes probe a suspected one.
        is_reprober = self._local.random.random() * self._table.live_count < REPROBERS
        me = self._local.me.name
        names = [
            record.name
            for record in [self._table.records[name] for name in self._table.suspects]
            if me in record.accusers or (is_reprober and now - record.since > self._timeout(record) / 2)
        ]
        return [self.ping(now, name) for name in self._local.sample(names, 1)]

    def expire_suspicions(self, now: float) -> None:
        """Declare the suspected nodes dead whose suspicion has timed out."""
        for name in list(self._table.suspects):
            record = self._table.records[name]
            if now - record.since >= self._timeout(record):
                self._table.apply(now, RecordEvent.SUSPICION_TIMED_OUT, record)

    def check_probes(self, now: float) -> list[OutgoingMessage]:
        """Take the next step of all probes that were not answered in time."""
        outgoing: list[OutgoingMessage] = []
        for seq, probe in list(self._probes.items()):
            if now >= probe.step_at:
                outgoing += self._step(now, seq, probe)
        for seq, relay in list(self._relays.items()):
            if now >= relay.until:
                del self._relays[seq]
                outgoing += self._relay(now, relay, Nack)
        return outgoing

    def _step(self, now: float, seq: int, probe: Probe) -> list[OutgoingMessage]:
        name = probe.member.name
        record = self._table.records.get(name)
        if record is None or not record.live or record.version != probe.member.version:
            del self._probes[seq]  # the record was updated since, so the probe is outdated
            return []
        if probe.helpers is None:
            return self._probe_indirectly(now, seq, probe)
        del self._probes[seq]
        # Guards against a node with bad links that suspects healthy ones: a helper that does not answer
        # counts as a failure of this node's own links.
        self._local.adjust_health(max(0, probe.helpers - probe.nacks) if probe.helpers else 1)
        self._table.apply(now, RecordEvent.PROBE_FAILED, record)
        return []

    def _probe_indirectly(self, now: float, seq: int, probe: Probe) -> list[OutgoingMessage]:
        name, updates_for = probe.member.name, self._dissemination.updates_for
        others = [other for other in self._table.live() if other != name]
        alive = [other for other in others if self._table.records[other].state is MemberState.ALIVE]
        helpers = self._local.sample(alive, HELPERS)
        probe.helpers = len(helpers)
        probe.step_at = now + INDIRECT_TIMEOUT_S * (1 + self._local.health)
        outgoing = [OutgoingMessage(name, Ping(seq, updates_for(now, name, own=True)))]
        outgoing += [
            OutgoingMessage(helper, IndirectPing(seq, name, updates_for(now, helper))) for helper in helpers
        ]
        return outgoing

    def on_indirect_ping(self, now: float, to: str, message: IndirectPing) -> list[OutgoingMessage]:
        """Probe a node on behalf of another one."""
        if message.name not in self._table.records:
            return []
        ping = self.ping(now, message.name)
        self._relays[self._local.seq] = Relay(to, message.seq, now + PROBE_TIMEOUT_S)
        return [ping]

    def on_ack(self, now: float, message: Ack) -> list[OutgoingMessage]:
        """End the probe that is answered; relay the answer if the probe was for another node."""
        if self._probes.pop(message.seq, None):
            self._local.adjust_health(-1)
        relay = self._relays.pop(message.seq, None)
        return self._relay(now, relay, Ack) if relay else []

    def on_nack(self, message: Nack) -> list[OutgoingMessage]:
        """Count a helper whose probe was not answered."""
        if message.seq in self._probes:
            self._probes[message.seq].nacks += 1
        return []

    def _relay(self, now: float, relay: Relay, answer: type[Ack] | type[Nack]) -> list[OutgoingMessage]:
        if relay.to not in self._table.records:
            return []
        updates = self._dissemination.updates_for(now, relay.to, own=True)
        return [OutgoingMessage(relay.to, answer(relay.seq, updates))]

    def _timeout(self, record: Member) -> float:
        return suspicion_timeout(self._table.live_count, len(record.accusers) - 1)


def suspicion_timeout(nodes: int, confirmations: int) -> float:
    """Return the seconds that a suspected node has to refute the suspicion.

    Args:
        nodes: The number of nodes in the fleet.
        confirmations: How many other nodes share the suspicion.
    """
    shortest = PROBE_INTERVAL_S * SUSPICION_FACTOR * max(1.0, math.log10(nodes))
    others = min(CONFIRMATIONS_MAX, nodes - 2)
    if others < 1:
        return shortest
    share = math.log(1 + min(max(confirmations, 0), others)) / math.log(1 + others)
    return shortest * (SUSPICION_MAX_FACTOR - (SUSPICION_MAX_FACTOR - 1) * share)


def detection_time_max(nodes: int) -> float:
    """Return the maximum seconds from a node's crash until all other nodes have declared it dead."""
    return 5 * PROBE_INTERVAL_S + suspicion_timeout(nodes, 2) + PROBE_INTERVAL_S * math.log2(nodes)
