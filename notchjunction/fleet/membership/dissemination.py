"""Gossip: chooses the records that are piggybacked on each message, within a budget of bytes. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import MemberState, MemberUpdate

# Each node sends a change this many times log2 of the number of nodes; digests find what was missed.
TRANSMISSIONS_FACTOR = 1.0
GOSSIP_BYTES_MAX = 700  # bytes of records in a message; with a digest they fit a datagram
GOSSIP_BYTES_PER_S = 4000.0  # maximum rate of records sent; spreads a large fleet's changes within seconds
_ENCODER = msgspec.msgpack.Encoder()


class Dissemination:
    """Chooses records for messages, those that were sent least often first."""

    def __init__(self, local: LocalNode, table: MemberTable) -> None:
        self._local = local
        self._table = table
        self._budget = GOSSIP_BYTES_PER_S  # bytes that may be sent now
        self._budget_at = 0.0

    def updates_for(self, now: float, to: str, own: bool = False) -> tuple[MemberUpdate, ...]:
        """Return the records to piggyback on a message.

        These are this node's own record if `own` is set, the receiver's if it is not alive, and then the
        changed ones that were sent least often.
        """
        records, pending = self._table.records, self._table.pending
        first = [self._local.me.name] if own else []
        receiver_alive = records[to].state is MemberState.ALIVE
        if not receiver_alive:
            first.append(to)  # so that it can refute the suspicion
        changed = {} if self._local.recovery else pending
        by_count = sorted(reversed(changed.items()), key=lambda item: item[1])
        names = dict.fromkeys([*first, *(name for name, _ in by_count)])
        updates = self._select_fitting(now, names, len(first))
        transmissions = TRANSMISSIONS_FACTOR * math.log2(2 + len(records))
        # Messages to dead nodes do not arrive, so they do not count as transmissions.
        for update in updates if receiver_alive else ():
            if update.name in pending:
                pending[update.name] += 1
                if pending[update.name] >= transmissions:
                    del pending[update.name]
        return updates

    def updates_in(
        self, now: float, parts: list[int], received: Sequence[MemberUpdate]
    ) -> tuple[MemberUpdate, ...]:
        """Return the records in these parts of the digest, except those just received with the same content.

        They are ordered by part, so that at least some parts agree if not all records fit.
        """
        records = self._table.records
        unchanged = {
            update.name
            for update in received
            if update.name in records and update == records[update.name].to_update(now)
        }
        self._local.random.shuffle(parts)
        names = [name for part in parts for name in self._table.names_in(part) if name not in unchanged]
        return self._select_fitting(now, names)

    def _select_fitting(
        self, now: float, names: Iterable[str], required: int = 0
    ) -> tuple[MemberUpdate, ...]:
        # Guards against messages that grow with the fleet, and against bursts of full answers to many nodes.
        refill = GOSSIP_BYTES_PER_S * max(0.0, now - self._budget_at)
        self._budget = min(GOSSIP_BYTES_PER_S, self._budget + refill)
        self._budget_at = now
        updates: list[MemberUpdate] = []
        remaining_bytes = min(GOSSIP_BYTES_MAX, self._budget)
        for name in names:
            update = self._table.records[name].to_update(now)
            size = len(_ENCODER.encode(update))
            remaining_bytes -= size
            if remaining_bytes < 0 and len(updates) >= required:
                break
            self._budget -= size
            updates.append(update)
        return tuple(updates)
