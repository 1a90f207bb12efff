"""The records of all members that one node knows, their digest, and the changes to them. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import NamedTuple

from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.messages import CHECKSUM_BYTES, DIGEST_PARTS, MemberState
from notchjunction.fleet.membership.records import (
    RECEIVED,
    RECORD_TABLE,
    Member,
    Occurrence,
    RecordAction,
    RecordEvent,
    Relation,
    limit_accusers,
    merge,
)

DEATH_NEWS_S = 1800.0  # an older death of an unknown node is ignored


class MemberChange(NamedTuple):
    """A change of one record; None stands for no record."""

    name: str
    before: Member | None
    after: Member | None


class MemberTable:
    """The records of all known nodes, this one among them."""

    def __init__(self, local: LocalNode) -> None:
        self._local = local
        self.records: dict[str, Member] = {}  # by name, in the order of their last change
        self.suspects: dict[str, None] = {}
        self.live_count = 0
        self.changes: list[MemberChange] = []
        # How often each record that is to be disseminated was sent, by name, in the order of their change.
        self.pending: dict[str, int] = {}
        self.probe_order: list[str] = []  # the rest of this round of probes, in reverse order
        self._checksums: list[dict[str, int]] = [{} for _ in range(DIGEST_PARTS)]  # for each part by name

    @property
    def own(self) -> Member:
        """The record of this node's name."""
        return self.records[self._local.me.name]

    def live(self) -> list[str]:
        """Return the names of the other nodes that are alive or suspected."""
        me = self._local.me.name
        return sorted(name for name, record in self.records.items() if record.live and name != me)

    def ordered(self) -> Mapping[str, Member]:
        """Return all records, sorted by name."""
        return dict(sorted(self.records.items()))

    def digest(self) -> bytes:
        """Return the checksums of all parts; equal if two nodes have the same records."""
        return b"".join(
            reduce(xor, part.values(), 0).to_bytes(CHECKSUM_BYTES, "big") for part in self._checksums
        )

    def differing_parts(self, sums: bytes) -> list[int]:
        """Return the parts in which another node's digest differs from this node's."""
        own = self.digest()
        spans = [slice(at, at + CHECKSUM_BYTES) for at in range(0, len(own), CHECKSUM_BYTES)]
        return [part for part, span in enumerate(spans) if own[span] != sums[span]]

    def names_in(self, part: int) -> list[str]:
        """Return the names in one part of the digest."""
        return list(self._checksums[part])

    def receive(self, now: float, update: Member) -> bool:
        """Apply a received record; return whether this changed the current one."""
        return self.apply(now, RECEIVED[update.state], update)

    def apply(self, now: float, event: RecordEvent, update: Member) -> bool:
        """Apply an event to the record of a name; return whether this changed it."""
        current = self.records.get(update.name)
        occurrence = Occurrence(event, self._relation(now, event, current, update))
        transition = RECORD_TABLE.find(current.state if current else None, occurrence)
        if transition is None:
            return False
        after = self._changed(now, transition.action, current, update)
        state = transition.next_state
        return self.put(update.name, None if state is None else replace(after, state=state))

    def _relation(self, now: float, event: RecordEvent, current: Member | None, update: Member) -> Relation:
        if event not in RECEIVED.values():
            return Relation.TRUSTED if self._local.may_accuse(now) else Relation.UNTRUSTED
        if current is None:
            is_stale = not update.live and now - update.since > DEATH_NEWS_S
            return Relation.STALE if is_stale else Relation.NEWER
        if (update.name, update.start) == self._local.me:
            is_old = self._local.is_replaced or update.version < current.version
            return Relation.OLDER if is_old else Relation.OWN
        if update.version == current.version:
            return Relation.EQUAL
        return Relation.NEWER if update.version > current.version else Relation.OLDER

    def _changed(self, now: float, action: RecordAction, current: Member | None, update: Member) -> Member:
        match action:
            case RecordAction.MERGE:
                return merge(current, update) if current else update
            case RecordAction.SUSPECT | RecordAction.DECLARE_DEAD:
                return replace(update, since=now, accusers=())
            case RecordAction.ACCUSE:
                since = update.since if update.state is MemberState.SUSPECT else now
                accusers = limit_accusers(*update.accusers, self._local.me.name)
                return replace(update, since=since, accusers=accusers)
            case RecordAction.FORGET:
                return update
            case RecordAction.REFUTE:
                self._local.adjust_health(1)
                address, incarnation = self._local.address, update.incarnation + 1
                return replace(update, address=address, incarnation=incarnation, since=now, accusers=())

    def put(self, name: str, after: Member | None) -> bool:
        """Replace a record, or forget it if `after` is None; return whether this changed it."""
        before = self.records.pop(name, None)
        self.suspects.pop(name, None)
        self.live_count += (after is not None and after.live) - (before is not None and before.live)
        if after is None:
            del self._checksums[_checksum(name) % DIGEST_PARTS][name]
            self.pending.pop(name, None)
            self.probe_order = [other for other in self.probe_order if other != name]
        else:
            self._store(before, after)
        changed = before is None or after is None or before.precedence != after.precedence
        if changed:
            self.changes.append(MemberChange(name, before, after))
        return changed

    def _store(self, before: Member | None, after: Member) -> None:
        name = after.name
        self.records[name] = after
        checksum = _checksum(f"{name} {after.start} {after.incarnation} {after.state:d}")
        self._checksums[_checksum(name) % DIGEST_PARTS][name] = checksum
        if after.state is MemberState.SUSPECT:
            self.suspects[name] = None
        if before is None or (before.precedence, before.accusers) != (after.precedence, after.accusers):
            self.pending.pop(name, None)
            self.pending[name] = 0
        if after.live and name != self._local.me.name and name not in self.probe_order:
            # Guards against a node that joins during a round of probes and dies before the next one.
            self.probe_order.insert(self._local.random.randint(0, len(self.probe_order)), name)

    def shift_suspicions(self, gap: float) -> None:
        """Extend the time that suspected nodes have to refute by `gap` seconds."""
        for name in self.suspects:
            record = self.records[name]
            self.records[name] = replace(record, since=record.since + gap)

    def restart_suspicions(self, now: float) -> None:
        """Restart the time that suspected nodes have to refute."""
        for name in self.suspects:
            self.records[name] = replace(self.records[name], since=now)


def _checksum(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest(), "big")
