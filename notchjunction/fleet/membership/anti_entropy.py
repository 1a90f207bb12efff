"""Digests that find what gossip missed, and contact with the dead. Pure."""

from __future__ import annotations

from notchjunction.fleet.envelope import OutgoingMessage
from notchjunction.fleet.membership.dissemination import Dissemination
from notchjunction.fleet.membership.failure_detector import FailureDetector
from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import Differences, Digest, MemberState, UpdateBatch
from notchjunction.fleet.membership.records import RecordEvent

DEAD_KEPT_S = 3600.0  # that the dead are remembered; longer than partitions that end by themselves
DEAD_KEPT_MAX = 2048  # dead remembered; ten restarts of a large fleet under other names


class AntiEntropy:
    """Compares records with other nodes, and looks for the dead."""

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
        """Send changed records alone to one node, while there are any."""
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
        """Answer differences with the own records there."""
        if not (parts := self._table.differing_parts(message.sums)):
            return []
        return [OutgoingMessage(to, UpdateBatch(self._dissemination.updates_in(now, parts, message.updates)))]

    def contact_dead(self, now: float) -> list[OutgoingMessage]:
        """Forget those dead for long, and probe another, so that sides of a partition meet again."""
        gone = [record for record in self._table.ordered().values() if not record.live]
        gone.sort(key=lambda record: record.since, reverse=True)
        for rank, record in enumerate(gone):
            if rank >= DEAD_KEPT_MAX or now - record.since > DEAD_KEPT_S:
                self._table.apply(now, RecordEvent.RETENTION_ENDED, record)
        known = self._table.records
        dead = [each.name for each in gone if each.state is MemberState.DEAD and each.name in known]
        return [self._detector.ping(now, name) for name in self._local.sample(dead, 1)]
