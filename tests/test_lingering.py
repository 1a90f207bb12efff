"""Connections that are read from after their last response do not delay others."""

from __future__ import annotations

import asyncio
import time

import pytest
from tornado.iostream import IOStream

from notchjunction.net import request_intake
from notchjunction.net.upstream_connection import start_read
from tests.helpers import Peer, RawClient, running
from tests.test_net import run

BODY_BYTES = 1024 * 1024
MAX_GAP_S = 0.25  # between two turns of the event loop; a request's deadline allows for no more
TICK_S = 0.005


async def longest_gap(seconds: float) -> float:
    """Return the longest time (s) between two turns of the event loop."""
    longest, ends_at, before = 0.0, time.monotonic() + seconds, time.monotonic()
    while before < ends_at:
        await asyncio.sleep(TICK_S)
        longest, before = max(longest, time.monotonic() - before), time.monotonic()
    return longest


def test_rest_of_a_rejected_body_is_not_read_byte_by_byte() -> None:
    """Guards against one rejected client that keeps the event loop busy for seconds with its body."""

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            rejected = RawClient(address)
            head = f"POST /api HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"  # no class
            rejected.more(head.encode())
            sending = asyncio.get_running_loop().sock_sendall(rejected.socket, b"x" * BODY_BYTES)
            gap, _ = await asyncio.gather(longest_gap(1.0), sending, return_exceptions=True)
            assert isinstance(gap, float) and gap < MAX_GAP_S
            assert node.counters.read()["bad_requests"] == 1
            rejected.socket.close()

    run(scenario())


def test_connection_that_ends_with_the_last_bytes_it_lingers_for_is_no_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an internal error where a client's last bytes and its end arrive together."""

    def read_and_end(stream: IOStream, max_bytes: int = 0) -> asyncio.Future[bytes]:
        reading = start_read(stream, max_bytes)
        if max_bytes == request_intake.DISCARD_READ_BYTES:
            reading.add_done_callback(lambda _: stream.close())
        return reading

    monkeypatch.setattr(request_intake, "start_read", read_and_end)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            client = RawClient(address)
            client.more(b"GET /api HTTP/1.1\r\nReq-Id: 1\r\n\r\n")  # no class
            answer = await asyncio.get_running_loop().sock_recv(client.socket, 4096)
            assert answer.startswith(b"HTTP/1.1 400")
            client.more(b"x" * 100)
            while node._clients.connections:
                await asyncio.sleep(TICK_S)
            assert not node.counters.read().get("internal_errors")
            client.socket.close()

    run(scenario())
