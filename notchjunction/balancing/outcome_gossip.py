"""What nodes tell one another: a few of their last outcomes, in at most `MOST` bytes. Pure; decides nothing.

A note may be lost, late, cut, doubled, out of order, or from an earlier start of its peer: `Notes.read` takes
only what it has not had before and counts what it passes over. Ages are relative, as clocks of nodes differ.
"""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from notchjunction.balancing.interface import PeerOutcome

VERSION = 1
MOST = 256  # bytes of a note
PEERS_KEPT = 1024  # peers of whom it is known what they have told; more than there are nodes
HEAD = struct.Struct(">BIIB")  # version, start of the teller, number of its newest outcome, count
ITEM = struct.Struct(">IHHB")  # tag of the server, age in 0.01 s, milliseconds, whether it was good
ITEMS_MOST = (MOST - HEAD.size) // ITEM.size


class OutcomeReport(NamedTuple):
    """One outcome, newest first in a note."""

    endpoint_hash: int
    age: float
    success: bool
    latency: float


def endpoint_hash(name: str) -> int:
    """The same at all nodes; not Python's own hash, which differs from process to process."""
    return zlib.crc32(name.encode())


class OutcomeGossip:
    """One node's side of the talk. `start` tells this start of the node from its earlier ones."""

    def __init__(self, start: int) -> None:
        self._start = start & 0xFFFFFFFF
        self._newest_by_peer: OrderedDict[int, tuple[int, int]] = OrderedDict()
        self.ignored = 0

    def encode(self, newest: int, words: Sequence[OutcomeReport]) -> bytes:
        words = words[:ITEMS_MOST]
        head = HEAD.pack(VERSION, self._start, newest & 0xFFFFFFFF, len(words))
        return head + b"".join(
            ITEM.pack(
                word.endpoint_hash,
                min(max(0, round(word.age * 100)), 0xFFFF),
                min(max(0, round(word.latency * 1000)), 0xFFFF),
                word.success,
            )
            for word in words
        )

    def decode(self, peer: int, note: bytes) -> list[OutcomeReport]:
        """What is new in a note, oldest first; nothing where it can't be read."""
        if len(note) < HEAD.size or len(note) > MOST or note[0] != VERSION:
            self.ignored += 1
            return []
        _, start, newest, count = HEAD.unpack_from(note)
        if len(note) != HEAD.size + count * ITEM.size:
            self.ignored += 1
            return []
        known, had = self._newest_by_peer.pop(peer, (start, 0))
        # Guards against an earlier start's numbers hiding what a peer tells after its restart.
        had = had if known == start else 0
        self._newest_by_peer[peer] = (start, max(had, newest))
        if len(self._newest_by_peer) > PEERS_KEPT:
            self._newest_by_peer.popitem(last=False)
        # Guards against counting an outcome twice: notes overlap, and may come doubled or out of order.
        new = min(count, max(0, newest - had))
        items = list(ITEM.iter_unpack(note[HEAD.size :]))[:new]
        return [OutcomeReport(tag, ago / 100, good == 1, ms / 1000) for tag, ago, ms, good in reversed(items)]

    def peer_outcomes(self, peer: int, note: bytes, numbers: Mapping[int, int]) -> list[PeerOutcome]:
        """What is new in it of the host's own servers, whose numbers are given by their tags."""
        words = self.decode(peer, note)
        return [
            PeerOutcome(numbers[word.endpoint_hash], *word[1:])
            for word in words
            if word.endpoint_hash in numbers
        ]
