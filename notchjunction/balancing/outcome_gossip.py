"""Encodes and decodes gossip datagrams: a node's most recent outcomes, sent to one of its peers. No I/O.

Datagrams may be lost, delayed, truncated, duplicated or reordered, or come from an earlier process of the
peer. `OutcomeGossip.decode` returns only outcomes that it has not returned before, and counts the datagrams
that it ignores. Outcomes carry ages instead of times because the clocks of nodes differ.
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
MAX_PEERS = 1024  # peers whose newest outcome number is kept; more than there are nodes
HEADER = struct.Struct(">BIIB")  # version, start ID of the sender, number of its newest outcome, report count
REPORT = struct.Struct(">IHHB")  # endpoint hash, age in 0.01 s, latency in ms, 1 if it succeeded
MAX_REPORTS = (MAX_DATAGRAM_BYTES - HEADER.size) // REPORT.size


class OutcomeReport(NamedTuple):
    """One outcome of an attempt; `age` and `latency` in seconds."""

    endpoint_hash: int
    age: float
    success: bool
    latency: float


def endpoint_hash(name: str) -> int:
    """Return a hash of an endpoint's name that is the same on all nodes, unlike Python's `hash`."""
    return zlib.crc32(name.encode())


class OutcomeGossip:
    """Encodes the outcomes of one node and decodes those of its peers.

    `start_id` distinguishes this process of the node from earlier ones. `ignored_datagrams` counts datagrams
    that are malformed or of another version.
    """

    def __init__(self, start_id: int) -> None:
        self._start_id = start_id & 0xFFFFFFFF
        # Start ID and number of the newest outcome, by peer; the peer of the last datagram is at the end.
        self._newest_by_peer: OrderedDict[int, tuple[int, int]] = OrderedDict()
        self.ignored_datagrams = 0

    def encode(self, newest: int, reports: Sequence[OutcomeReport]) -> bytes:
        """Return a datagram with as many reports as fit, beginning with the first.

        Args:
            newest: the number of the first report; outcomes are numbered from the start of the process.
            reports: the outcomes, newest first.
        """
        reports = reports[:MAX_REPORTS]
        header = HEADER.pack(VERSION, self._start_id, newest & 0xFFFFFFFF, len(reports))
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
        """Return the outcomes of a datagram that are new, oldest first; none if it is malformed."""
        if len(datagram) < HEADER.size or len(datagram) > MAX_DATAGRAM_BYTES or datagram[0] != VERSION:
            self.ignored_datagrams += 1
            return []
        _, start_id, newest, count = HEADER.unpack_from(datagram)
        if len(datagram) != HEADER.size + count * REPORT.size:
            self.ignored_datagrams += 1
            return []
        known_start_id, newest_known = self._newest_by_peer.pop(peer, (start_id, 0))
        # Guards against ignoring a restarted peer's outcomes: it numbers them from the start again.
        newest_known = newest_known if known_start_id == start_id else 0
        self._newest_by_peer[peer] = (start_id, max(newest_known, newest))
        if len(self._newest_by_peer) > MAX_PEERS:
            self._newest_by_peer.popitem(last=False)
        # Guards against counting an outcome twice: datagrams overlap, and may be duplicated or reordered.
        new_count = min(count, max(0, newest - newest_known))
        new_reports = list(REPORT.iter_unpack(datagram[HEADER.size :]))[:new_count]
        return [
            OutcomeReport(name_hash, age / 100, success == 1, latency_ms / 1000)
            for name_hash, age, latency_ms, success in reversed(new_reports)
        ]

    def peer_outcomes(self, peer: int, datagram: bytes, numbers: Mapping[int, int]) -> list[PeerOutcome]:
        """Return the new outcomes of a datagram as `PeerOutcome`, oldest first.

        `numbers` has the receiving node's endpoint numbers by endpoint hash; outcomes of other endpoints are
        skipped.
        """
        reports = self.decode(peer, datagram)
        return [
            PeerOutcome(numbers[report.endpoint_hash], *report[1:])
            for report in reports
            if report.endpoint_hash in numbers
        ]
