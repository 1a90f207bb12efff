"""Discovery behind sockets: the emulator's model, with a door for each node."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from urllib.parse import parse_qs, urlsplit

from notchjunction.addresses import Address, text_of
from notchjunction.balancing.interface import EndpointEntry
from notchjunction.discovery.endpoint_list import format_row
from notchjunction.discovery.endpoints import ListedEndpoint
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.discovery import Discovery
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.testbed.server import HOST

WATCH_GOES_ON = 0.2  # s after an answer within which the next call costs no work; the protocol's

AddressOf = Callable[[int], Address]  # a server's, as one node sees it
Heard = Callable[[int, Sequence[EndpointEntry]], None]


def zone_name(zone: int) -> str:
    return f"z{zone}"


def server_name(server: int) -> str:
    return f"s{server}"


def list_text(entries: Sequence[EndpointEntry], version: int, whole: bool, address_of: AddressOf) -> bytes:
    rows = []
    for entry in entries:
        listed = ListedEndpoint(
            server_name(entry.number),
            entry.state,
            entry.started_at,
            zone_name(entry.zone),
            entry.deduplication_group,
        )
        rows.append(format_row(listed, text_of(address_of(entry.number))))
    return json.dumps({"index": version, "snapshot": whole, "endpoints": rows}).encode()


class DiscoveryStandIn:
    """One node's way to discovery; `heard` is told of each entry that is written to it."""

    def __init__(
        self,
        discovery: Discovery,
        clock: Clock,
        tier: int,
        node: int,
        whole: Callable[[], Sequence[EndpointEntry]],
        address_of: AddressOf,
        heard: Heard,
    ) -> None:
        self._discovery, self._clock = discovery, clock
        self._tier, self._node = tier, node
        self._whole, self._address_of, self._heard = whole, address_of, heard
        self._answered_at = float("-inf")
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> Address:
        self._listening = await asyncio.start_server(self._serve, HOST, 0)
        address: Address = self._listening.sockets[0].getsockname()
        return address

    def close(self) -> None:
        self._listening.close()
        self._discovery.forget(self._node)
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        requests = RequestReader()
        try:
            while piece := await reader.read(65536):
                requests.feed(piece)
                while (request := requests.next()) is not None:
                    self._ask(request, writer)
        except (ConnectionError, Malformed):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _ask(self, request: Request, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(request.target).query)
        after = query.get("after")
        version = int(after[0]) if after else -1
        wait = int(query.get("wait_ms", ["0"])[0]) / 1000

        def answer(news: Sequence[EndpointEntry] | None, at: int) -> None:
            if writer.is_closing():
                return
            self._answered_at = self._clock.now
            if news is None:
                writer.write(encode_answer(Answer(503)))
                return
            self._heard(self._node, news)
            body = list_text(news, at, version < 0, self._address_of)
            writer.write(encode_answer(Answer(200, body=body)))

        if version < 0:
            # A whole list: the call is worked through like any other.
            self._discovery.call(
                self._tier,
                self._node,
                -1,
                lambda news, at: answer(None if news is None else self._whole(), at),
            )
            return
        if self._clock.now - self._answered_at <= WATCH_GOES_ON:
            self._discovery.watch(self._tier, self._node, version, answer, wait)
        else:
            self._discovery.call(self._tier, self._node, version, answer, wait)
