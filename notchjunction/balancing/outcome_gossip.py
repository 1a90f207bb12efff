"""The datagrams of gossip: a few of a node's last outcomes, for one of its peers. Pure; decides nothing.

A datagram may be lost, late, cut, doubled, out of order, or from an earlier start of its peer:
`OutcomeGossip.decode` returns only what it has not had before and counts what it ignores. Ages are relative,
as the clocks of nodes differ.
"""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from notchjunction.balancing.interface import PeerOutcome

VERSION = 1
MAX_DATAGRAM_BYTES = 256
MAX_PEERS = 1024  # of which the newest outcome is remembered; more than there are nodes
HEADER = struct.Struct(">BIIB")  # version, start of the sender, number of its newest outcome, count
REPORT = struct.Struct(">IHHB")  # endpoint hash, age in 0.01 s, latency in ms, whether it succeeded
MAX_REPORTS = (MAX_DATAGRAM_BYTES - HEADER.size) // REPORT.size


class OutcomeReport(NamedTuple):
    """One outcome of an attempt; `age` and `latency` in seconds."""

    endpoint_hash: int
    age: float
    success: bool
    latency: float


def endpoint_hash(name: str) -> int:
    """Return a hash of an endpoint's name that is the same at all nodes.

    Python's own hash differs from process to process.
    """
    return zlib.crc32(name.encode())


class OutcomeGossip:
    """Encoder and decoder of one node.

    `start` tells this start of the node from its earlier ones; `ignored` counts datagrams that can't be read.
    """

    def __init__(self, start: int) -> None:
        self._start = start & 0xFFFFFFFF
        self._newest_by_peer: OrderedDict[int, tuple[int, int]] = OrderedDict()
        self.ignored = 0

    def encode(self, newest: int, reports: Sequence[OutcomeReport]) -> bytes:
        """Return a datagram of the first reports, newest first, as many as fit.

        `newest` is the number of the newest one, counted since this start.
        """
        reports = reports[:MAX_REPORTS]
        header = HEADER.pack(VERSION, self._start, newest & 0xFFFFFFFF, len(reports))
        return header + b"".join(
            REPORT.pack(
                report.endpoint_hash,
                min(max(0, round(report.age * 100)), 0xFFFF),
                min(max(0, round(report.latency * 1000)), 0xFFFF),
                report.success,
            )
            for report in reports
        )

    def decode(self, peer: int, datagram: bytes) -> list[OutcomeReport]:
        """Return what is new in a datagram, oldest first; nothing where it can't be read."""
        if len(datagram) < HEADER.size or len(datagram) > MAX_DATAGRAM_BYTES or datagram[0] != VERSION:
            self.ignored += 1
            return []
        _, start, newest, count = HEADER.unpack_from(datagram)
        if len(datagram) != HEADER.size + count * REPORT.size:
            self.ignored += 1
            return []
        known, last_known = self._newest_by_peer.pop(peer, (start, 0))
        # Guards against an earlier start's numbers hiding what a peer sends after its restart.
        last_known = last_known if known == start else 0
        self._newest_by_peer[peer] = (start, max(last_known, newest))
        if len(self._newest_by_peer) > MAX_PEERS:
            self._newest_by_peer.popitem(last=False)
        # Guards against counting an outcome twice: datagrams overlap, and may come doubled or out of order.
        new = min(count, max(0, newest - last_known))
        items = list(REPORT.iter_unpack(datagram[HEADER.size :]))[:new]
        return [
            OutcomeReport(name_hash, age / 100, success == 1, latency_ms / 1000)
            for name_hash, age, latency_ms, success in reversed(items)
        ]

    def peer_outcomes(self, peer: int, datagram: bytes, numbers: Mapping[int, int]) -> list[PeerOutcome]:
        """Return what is new in a datagram of the node's own endpoints, oldest first.

        `numbers` gives their numbers by endpoint hash; other endpoints are left out.
        """
        reports = self.decode(peer, datagram)
        return [
            PeerOutcome(numbers[report.endpoint_hash], *report[1:])
            for report in reports
            if report.endpoint_hash in numbers
        ]
