"""The fake discovery service of the testbed: the emulator's model, with a listener for each node."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from notchjunction.addresses import Address, text_of
from notchjunction.balancing.interface import EndpointEntry
from notchjunction.discovery.endpoint_list import format_row
from notchjunction.discovery.endpoints import ListedEndpoint
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.discovery import Discovery
from notchjunction.http1.encoder import encode_response
from notchjunction.http1.messages import MalformedMessageError, Request, Response
from notchjunction.http1.parser import RequestReader
from notchjunction.testbed.client import READ_SIZE
from notchjunction.testbed.server import HOST

WATCH_CONTINUES_S = 0.2  # a poll this soon after a response costs discovery no work; set by the protocol

AddressOf = Callable[[int], Address]  # a server's number -> its address for one node
OnNotified = Callable[[int, Sequence[EndpointEntry]], None]  # (node, entries sent to it)


def zone_name(zone: int) -> str:
    """Returns a zone's name in the list and in the nodes' settings."""
    return f"z{zone}"


def server_name(server: int) -> str:
    """Returns a server's name in the list."""
    return f"s{server}"


def encode_list(
    entries: Sequence[EndpointEntry], version: int, is_snapshot: bool, address_of: AddressOf
) -> bytes:
    """Returns the body of a response, in the protocol's format."""
    rows = []
    for entry in entries:
        endpoint = ListedEndpoint(
            server_name(entry.number),
            entry.state,
            entry.started_at,
            zone_name(entry.zone),
            entry.deduplication_group,
        )
        rows.append(format_row(endpoint, text_of(address_of(entry.number))))
    return json.dumps({"index": version, "snapshot": is_snapshot, "endpoints": rows}).encode()


@dataclass(frozen=True, slots=True)
class NodeView:
    """What discovery serves to one node: the list of the tier that it balances, with its own addresses."""

    node: int
    tier: int
    snapshot: Callable[[], Sequence[EndpointEntry]]
    address_of: AddressOf
    on_notified: OnNotified


class FakeDiscovery:
    """One node's discovery service; it calls the view's `on_notified` with all entries that it sends."""

    def __init__(self, discovery: Discovery, clock: Clock, view: NodeView) -> None:
        self._discovery, self._clock, self._view = discovery, clock, view
        self._responded_at = float("-inf")
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> Address:
        """Listens on a free port; returns the address."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        address: Address = self._listener.sockets[0].getsockname()
        return address

    def close(self) -> None:
        """Stops listening, drops the node's pending polls and closes its connections."""
        self._listener.close()
        self._discovery.forget(self._view.node)
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        requests = RequestReader()
        try:
            while data := await reader.read(READ_SIZE):
                requests.feed(data)
                while (request := requests.next()) is not None:
                    self._poll(request, writer)
        except (ConnectionError, MalformedMessageError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _poll(self, request: Request, writer: asyncio.StreamWriter) -> None:
        view = self._view
        query = parse_qs(urlsplit(request.target).query)
        after = query.get("after")
        version = int(after[0]) if after else -1
        wait = int(query.get("wait_ms", ["0"])[0]) / 1000

        def respond(entries: Sequence[EndpointEntry] | None, at_version: int) -> None:
            if writer.is_closing():
                return
            self._responded_at = self._clock.now
            if entries is None:
                writer.write(encode_response(Response(503)))
                return
            view.on_notified(view.node, entries)
            body = encode_list(entries, at_version, version < 0, view.address_of)
            writer.write(encode_response(Response(200, body=body)))

        if version < 0:
            # A snapshot costs discovery as much work as any other new poll.
            self._discovery.poll(
                view.tier,
                view.node,
                -1,
                lambda entries, at: respond(None if entries is None else view.snapshot(), at),
            )
        elif self._clock.now - self._responded_at <= WATCH_CONTINUES_S:
            self._discovery.watch(view.tier, view.node, version, respond, wait)
        else:
            self._discovery.poll(view.tier, view.node, version, respond, wait)
