"""Notes between nodes: one datagram endpoint, off unless told. Knows peers by address; decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from notchjunction.addresses import Address, text_of
from notchjunction.balancing.outcome_gossip import MAX_DATAGRAM_BYTES
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

DESCRIPTORS = 1


class GossipSocket(asyncio.DatagramProtocol):
    """Peers are numbered by their place; a note is taken from a peer's own address alone."""

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        hear: Callable[[int, bytes], None],
        counters: Counters,
    ) -> None:
        self._listen = listen
        self._peers = list(peers)
        self._numbers = {peer: number for number, peer in enumerate(peers)}
        self._hear = hear
        self._counters = counters
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        # The port is shared: during an upgrade two processes are this node, and either may hear a note.
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._listen, reuse_port=True
        )
        log.info("gossip started", extra=pairs(listen=text_of(self._listen), peers=len(self._peers)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def send(self, peer: int, note: bytes) -> None:
        if self._transport is None or not 0 <= peer < len(self._peers):
            self._counters.add("gossip_send_failed")
            return
        self._counters.add("gossip_sent")
        self._transport.sendto(note, self._peers[peer])

    def datagram_received(self, data: bytes, source: Address) -> None:
        number = self._numbers.get((source[0], source[1]))
        # Guards against words from anyone who finds the port, and against more than a note holds.
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            self._counters.add("gossip_unknown_sender" if number is None else "gossip_oversized")
            return
        self._counters.add("gossip_received")
        try:
            self._hear(number, data)
        except Exception as error:
            self._counters.add_failure("gossip handler failed", error)

    def error_received(self, error: Exception) -> None:
        """A peer that is gone: the talk goes on without it."""
        self._counters.add("gossip_refused")

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None
