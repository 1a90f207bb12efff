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

    def encode(self, newest: int, reports: Sequence[OutcomeReport]) -> bytes:
        reports = reports[:ITEMS_MOST]
        head = HEAD.pack(VERSION, self._start, newest & 0xFFFFFFFF, len(reports))
        return head + b"".join(
            ITEM.pack(
                report.endpoint_hash,
                min(max(0, round(report.age * 100)), 0xFFFF),
                min(max(0, round(report.latency * 1000)), 0xFFFF),
                report.success,
            )
            for report in reports
        )

    def decode(self, peer: int, datagram: bytes) -> list[OutcomeReport]:
        """What is new in a note, oldest first; nothing where it can't be read."""
        if len(datagram) < HEAD.size or len(datagram) > MOST or datagram[0] != VERSION:
            self.ignored += 1
            return []
        _, start, newest, count = HEAD.unpack_from(datagram)
        if len(datagram) != HEAD.size + count * ITEM.size:
            self.ignored += 1
            return []
        known, last_known = self._newest_by_peer.pop(peer, (start, 0))
        # Guards against an earlier start's numbers hiding what a peer tells after its restart.
        last_known = last_known if known == start else 0
        self._newest_by_peer[peer] = (start, max(last_known, newest))
        if len(self._newest_by_peer) > PEERS_KEPT:
            self._newest_by_peer.popitem(last=False)
        # Guards against counting an outcome twice: notes overlap, and may come doubled or out of order.
        new = min(count, max(0, newest - last_known))
        items = list(ITEM.iter_unpack(datagram[HEAD.size :]))[:new]
        return [
            OutcomeReport(name_hash, age / 100, success == 1, latency_ms / 1000)
            for name_hash, age, latency_ms, success in reversed(items)
        ]

    def peer_outcomes(self, peer: int, datagram: bytes, numbers: Mapping[int, int]) -> list[PeerOutcome]:
        """What is new in it of the host's own servers, whose numbers are given by their tags."""
        reports = self.decode(peer, datagram)
        return [
            PeerOutcome(numbers[report.endpoint_hash], *report[1:])
            for report in reports
            if report.endpoint_hash in numbers
        ]
