"""The datagram socket over which nodes gossip about outcomes. It identifies peers by address.

Used only if the configuration enables it.
"""

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

DESCRIPTORS = 1  # file descriptors that a socket for gossip, or for the fleet, uses


class GossipSocket(asyncio.DatagramProtocol):
    """A socket for gossip with a fixed list of peers, each identified by its index in that list.

    A datagram is accepted only from the address of a peer.

    Args:
        listen: The address to bind.
        peers: The addresses of the peers.
        on_datagram: Called with the peer's index and the data of each datagram received.
        counters: The node's counters.
    """

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        on_datagram: Callable[[int, bytes], None],
        counters: Counters,
    ) -> None:
        self._listen = listen
        self._peers = list(peers)
        self._index_by_address = {peer: index for index, peer in enumerate(peers)}
        self._on_datagram = on_datagram
        self._counters = counters
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds the socket; raises OSError if that fails."""
        # The port is shared: during an upgrade two processes run as this node, and either may receive a
        # datagram.
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._listen, reuse_port=True
        )
        log.info("gossip started", extra=pairs(listen=text_of(self._listen), peers=len(self._peers)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def send(self, peer: int, data: bytes) -> None:
        """Sends a datagram to the peer with this index; counted as failed if there is none, or no socket."""
        if self._transport is None or not 0 <= peer < len(self._peers):
            self._counters.add("gossip_send_failed")
            return
        self._counters.add("gossip_sent")
        self._transport.sendto(data, self._peers[peer])

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Passes on a datagram from a peer; any other is counted and dropped."""
        index = self._index_by_address.get((source[0], source[1]))
        # Guards against datagrams from senders that are not peers, and against oversized ones.
        if index is None or len(data) > MAX_DATAGRAM_BYTES:
            self._counters.add("gossip_unknown_sender" if index is None else "gossip_oversized")
            return
        self._counters.add("gossip_received")
        try:
            self._on_datagram(index, data)
        except Exception as error:
            self._counters.add_failure("gossip handler failed", error)

    def error_received(self, error: Exception) -> None:
        """Counts an ICMP error: no process listens at some peer's address."""
        self._counters.add("gossip_refused")

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
