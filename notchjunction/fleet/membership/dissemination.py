"""Which records go with which message: piggybacked gossip under a budget of bytes. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import MemberState, MemberUpdate

TRANSMISSIONS_FACTOR = 1.0  # times log2 of the nodes: how often each sends a change; digests find the rest
GOSSIP_BYTES_MAX = 700  # bytes of records in a message; with a digest it fits a sealed datagram
GOSSIP_BYTES_PER_S = 4000.0  # of records sent at most; a large fleet's news in seconds
_ENCODER = msgspec.msgpack.Encoder()


class Dissemination:
    """Chooses records for messages, those that were sent least often first."""

    def __init__(self, local: LocalNode, table: MemberTable) -> None:
        self._local = local
        self._table = table
        self._budget = GOSSIP_BYTES_PER_S  # bytes that may be sent now
        self._budget_at = 0.0

    def updates_for(self, now: float, to: str, own: bool = False) -> tuple[MemberUpdate, ...]:
        """The own record if wanted, then the receiver's if it is not alive, then those sent least often."""
        records, pending = self._table.records, self._table.pending
        first = [self._local.me.name] if own else []
        receiver_alive = records[to].state is MemberState.ALIVE
        if not receiver_alive:
            first.append(to)  # so that it refutes
        news = {} if self._local.recovery else pending
        by_count = sorted(reversed(news.items()), key=lambda item: item[1])
        names = dict.fromkeys([*first, *(name for name, _ in by_count)])
        updates = self._fitting(now, names, len(first))
        transmissions = TRANSMISSIONS_FACTOR * math.log2(2 + len(records))
        # What is sent to the dead arrives nowhere, and does not count.
        for update in updates if receiver_alive else ():
            if update.name in pending:
                pending[update.name] += 1
                if pending[update.name] >= transmissions:
                    del pending[update.name]
        return updates

    def updates_in(
        self, now: float, parts: list[int], received: Sequence[MemberUpdate]
    ) -> tuple[MemberUpdate, ...]:
        """Records in these parts of the digest but those just received alike, part by part to settle some."""
        records = self._table.records
        known = {
            update.name
            for update in received
            if update.name in records and update == records[update.name].to_update(now)
        }
        self._local.random.shuffle(parts)
        names = [name for part in parts for name in self._table.names_in(part) if name not in known]
        return self._fitting(now, names)

    def _fitting(self, now: float, names: Iterable[str], required: int = 0) -> tuple[MemberUpdate, ...]:
        # Guards against messages that grow with the fleet, and against answering many at once in full.
        refill = GOSSIP_BYTES_PER_S * max(0.0, now - self._budget_at)
        self._budget = min(GOSSIP_BYTES_PER_S, self._budget + refill)
        self._budget_at = now
        updates: list[MemberUpdate] = []
        spare = min(GOSSIP_BYTES_MAX, self._budget)
        for name in names:
            update = self._table.records[name].to_update(now)
            size = len(_ENCODER.encode(update))
            spare -= size
            if spare < 0 and len(updates) >= required:
                break
            self._budget -= size
            updates.append(update)
        return tuple(updates)
