"""Anti-entropy: digests that find the updates which gossip missed, and probes of dead nodes. Pure."""

from __future__ import annotations

from notchjunction.fleet.envelope import OutgoingMessage
from notchjunction.fleet.membership.dissemination import Dissemination
from notchjunction.fleet.membership.failure_detector import FailureDetector
from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import Differences, Digest, MemberState, UpdateBatch
from notchjunction.fleet.membership.records import RecordEvent

DEAD_KEPT_S = 3600.0  # retention of records of dead nodes; longer than partitions that end by themselves
DEAD_KEPT_MAX = 2048  # such records; enough for ten restarts of a large fleet under new names


class AntiEntropy:
    """Compares records with other nodes, and probes dead ones to find out that a partition has ended."""

    def __init__(
        self,
        local: LocalNode,
        table: MemberTable,
        dissemination: Dissemination,
        detector: FailureDetector,
    ) -> None:
        self._local = local
        self._table = table
        self._dissemination = dissemination
        self._detector = detector

    def send_updates(self, now: float) -> list[OutgoingMessage]:
        """Send the changed records, if there are any, to one node in a message of their own."""
        names = self._local.sample(self._table.live(), 1) if self._table.pending else []
        return [
            OutgoingMessage(name, UpdateBatch(self._dissemination.updates_for(now, name))) for name in names
        ]

    def send_digest(self, now: float) -> list[OutgoingMessage]:
        """Send a digest to one node."""
        names = self._local.sample(self._table.live(), 1)
        updates_for = self._dissemination.updates_for
        return [OutgoingMessage(name, Digest(self._table.digest(), updates_for(now, name))) for name in names]

    def on_digest(self, now: float, to: str, message: Digest) -> list[OutgoingMessage]:
        """Answer a digest with the records where it differs."""
        if not (parts := self._table.differing_parts(message.sums)):
            return []
        updates = self._dissemination.updates_in(now, parts, ())
        return [OutgoingMessage(to, Differences(self._table.digest(), updates))]

    def on_differences(self, now: float, to: str, message: Differences) -> list[OutgoingMessage]:
        """Answer differences with this node's records in the parts of the digest that differ."""
        if not (parts := self._table.differing_parts(message.sums)):
            return []
        return [OutgoingMessage(to, UpdateBatch(self._dissemination.updates_in(now, parts, message.updates)))]

    def contact_dead(self, now: float) -> list[OutgoingMessage]:
        """Forget nodes that have been dead for long, and probe one of the others.

        Without these probes the sides of a partition would not find each other once it has ended.
        """
        not_live = [record for record in self._table.ordered().values() if not record.live]
        not_live.sort(key=lambda record: record.since, reverse=True)
        for rank, record in enumerate(not_live):
            if rank >= DEAD_KEPT_MAX or now - record.since > DEAD_KEPT_S:
                self._table.apply(now, RecordEvent.RETENTION_ENDED, record)
        remaining = self._table.records
        dead = [
            record.name
            for record in not_live
            if record.state is MemberState.DEAD and record.name in remaining
        ]
        return [self._detector.ping(now, name) for name in self._local.sample(dead, 1)]
