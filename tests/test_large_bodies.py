"""Bodies larger than the node buffers: forwarded in pieces and aborted from either side, in each framing."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import struct
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from tornado.iostream import IOStream

from notchjunction.addresses import Address
from notchjunction.balancing.engine import BalancerEngine, CancelAttempt, RequestHandle, StartResponse
from notchjunction.balancing.interface import AttemptOutcome, AttemptResult, ListUpdate, NewRequest
from notchjunction.discovery.endpoint_list import read_list
from notchjunction.http1.messages import MalformedMessageError, Request
from notchjunction.http1.parser import MessageReader, RequestReader, ResponseReader
from notchjunction.net import body_streaming, request_intake, upstream, upstream_connection, write_stall
from notchjunction.net.body_streaming import Download, StreamBuffers
from notchjunction.net.socket_stream import NodeStream
from notchjunction.net.upstream_attempt import AttemptSpec
from notchjunction.net.upstream_connection import ConnectionLostError
from notchjunction.node.node import Node
from notchjunction.upgrade import shutdown
from tests.helpers import Client, FakeHost, Peer, call, configuration, free_address, rows, running
from tests.test_net import REQUEST, PoolHarness, run
from tests.test_upgrade import wait_until_ready

MB = 1024 * 1024
BODY = bytes(range(256)) * (MB // 256)  # 1 MB in which neighbouring bytes differ
POST = b"POST http://app.svc/api?a=b HTTP/1.1\r\nReq-Id: 1\r\n"
REQUESTS = {
    "length": POST + b"Content-Length: 5\r\n\r\nabcde",
    "chunks": POST
    + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0002\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
    "blank lines": b"\r\n\r\n\r\n" + POST + b"content-length:5  \r\nX:\r\n\r\nabcde",
    "no body": b"GET /api HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
}
RESPONSES = {
    "length": b"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nabcde",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
}


def parse_pieces(reader: MessageReader, *pieces: bytes) -> Any:
    for piece in pieces:
        reader.feed(piece)
        message = reader.next()  # type: ignore[attr-defined]
        if message is not None:
            return message
    return None


@pytest.mark.parametrize("form", REQUESTS)
def test_request_parses_the_same_when_split_at_any_byte(form: str) -> None:
    wire = REQUESTS[form]
    expected = parse_pieces(RequestReader(), wire)
    assert (
        expected.path == "/api"
        and expected.body == (b"" if form == "no body" else b"abcde")
        and expected.keep_alive
    )
    for at in range(1, len(wire)):
        reader = RequestReader()
        assert parse_pieces(reader, wire[:at], wire[at:]) == expected and not reader.started


@pytest.mark.parametrize("form", RESPONSES)
def test_response_parses_the_same_when_split_at_any_byte(form: str) -> None:
    wire = RESPONSES[form]
    expected = parse_pieces(ResponseReader(), wire)
    assert (expected.status, expected.body, expected.keep_alive) == (200, b"abcde", True)
    for at in range(1, len(wire)):
        assert parse_pieces(ResponseReader(), wire[:at], wire[at:]) == expected


@pytest.mark.parametrize("step", [1000, 4096, 65536, MB])
@pytest.mark.parametrize("chunk_size", [0, 1, 7000, 200_000])
def test_large_body_is_returned_in_pieces_and_not_buffered(chunk_size: int, step: int) -> None:
    body = BODY[: 300_000 if chunk_size != 1 else 70_000]
    if chunk_size:
        chunks = [body[at : at + chunk_size] for at in range(0, len(body), chunk_size)]
        framed = (
            b"".join(b"%x\r\n%b\r\n" % (len(chunk_body), chunk_body) for chunk_body in chunks) + b"0\r\n\r\n"
        )
        wire = POST + b"Transfer-Encoding: chunked\r\n\r\n" + framed
    else:
        wire = POST + b"Content-Length: %d\r\n\r\n" % len(body) + body
    reader = RequestReader()
    received, ended, max_unread = bytearray(), False, 0
    for at in range(0, len(wire), step):
        reader.feed(wire[at : at + step])
        request = reader.next()
        if request is not None:
            received += request.body
            assert request.length == (None if chunk_size else len(body))
            ended = not request.more_body
        elif reader.streaming:
            piece, ended = reader.take_piece()
            received += piece
            max_unread = max(max_unread, reader.unread)
    assert bytes(received) == body and ended and not reader.started
    assert max_unread <= 256 + 2  # the longest line with the size of a chunk


def test_endless_chunked_body_is_rejected() -> None:
    reader = RequestReader(max_body=MB)
    reader.feed(POST + b"Transfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(MalformedMessageError) as raised:
        for _ in range(20):
            reader.feed(b"%x\r\n%b\r\n" % (MB // 10, BODY[: MB // 10]))
            if reader.streaming:
                reader.take_piece()
            else:
                reader.next()
    assert raised.value.status == 413


# Over loopback connections.

Script = Callable[["ScriptedConnection"], Awaitable[None]]


class ScriptedConnection:
    """The server's side of a connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read_request(self, max_bytes: int | None = None) -> tuple[Request, bytes]:
        """Read a request with its whole body, or until `max_bytes` of the body have arrived."""
        parser, body, request, ended = RequestReader(), bytearray(), None, False
        while not ended and (max_bytes is None or len(body) < max_bytes):
            chunk = await self.reader.read(65536)
            if not chunk:
                raise ConnectionError("closed within a request")
            parser.feed(chunk)
            if request is None:
                request = parser.next()
                if request is not None:
                    body += request.body
                    ended = not request.more_body
            elif parser.streaming:
                more, ended = parser.take_piece()
                body += more
        assert request is not None
        return request, bytes(body)

    async def send(self, *pieces: bytes) -> None:
        for chunk in pieces:
            self.writer.write(chunk)
            await self.writer.drain()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SO_LINGER
        self.writer.close()


class ScriptedServer(Peer):
    """A server that runs a script on each connection."""

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.script = script
        self.disconnected = asyncio.Event()
        self.errors: list[Exception] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self.script(ScriptedConnection(reader, writer))
        except ConnectionError:
            pass
        except Exception as error:
            self.errors.append(error)
        finally:
            self.disconnected.set()
            writer.close()


class BodyClient(Client):
    """A client that can send and receive large bodies."""

    def begin_request(
        self, body: bytes | None = None, chunked: bool = False, version: str = "1.1", deadline_ms: int = 2000
    ) -> None:
        self.job_id += 1
        framing = "" if body is None else f"Content-Length: {len(body)}\r\n"
        if chunked:
            framing = "Transfer-Encoding: chunked\r\n"
        method = "GET" if body is None else "POST"
        self.send(
            f"{method} /api HTTP/{version}\r\nHost: a\r\nReq-Id: {self.job_id}\r\nReq-Kind: plain\r\n"
            f"Req-Deadline-Ms: {deadline_ms}\r\n{framing}\r\n".encode()
        )

    async def read_response(self) -> tuple[int, bytes, bool]:
        """Return the status, the body, and whether the response is complete."""
        parser, body = ResponseReader(), bytearray()
        status, ended, head_received = 0, False, False
        async with asyncio.timeout(15):
            while not ended:
                try:
                    chunk = await self._reader.read(65536)
                except ConnectionError:
                    return status, bytes(body), False
                if not chunk:
                    return status, bytes(body), head_received and parser.ends_with_connection()
                parser.feed(chunk)
                if not head_received:
                    response = parser.next()
                    if response is None:
                        continue
                    status, head_received, ended = response.status, response.more_body, not response.more_body
                    body += response.body
                else:
                    more, ended = parser.take_piece()
                    body += more
        return status, bytes(body), True


def send_half_and_wait(go_on: asyncio.Event) -> Script:
    """Return a script that sends a response of 2 MB, and stops midway until the event is set."""

    async def pause_midway(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MB), BODY)
        await go_on.wait()
        await connection.send(BODY)

    return pause_midway


@asynccontextmanager
async def running_with_scripts(
    *scripts: Script, **options: Any
) -> AsyncIterator[tuple[Node, Address, list[ScriptedServer]]]:
    async with contextlib.AsyncExitStack() as stack:
        peers = [await stack.enter_async_context(ScriptedServer(script)) for script in scripts]
        node, address = await stack.enter_async_context(running(*peers, **options))
        yield node, address, peers
        assert not any(peer.errors for peer in peers), peers[0].errors


async def wait_until_idle(node: Node) -> None:
    """Wait until each request is accounted for and no stream is open."""
    async with asyncio.timeout(5):
        while True:
            counters = node.counters.read()
            responses = sum(counters.get(f"responses_{outcome}", 0) for outcome in (*OUTCOMES, "truncated"))
            all_counted = counters["requests_received"] == responses + counters.get("requests_cancelled", 0)
            if all_counted and not counters["requests_tracked"] and not counters["streams_open"]:
                break
            await asyncio.sleep(0.002)
    assert not counters.get("internal_errors")


OUTCOMES = ("succeeded", "rejected", "failed", "internal_error")


async def echo(connection: ScriptedConnection) -> None:
    while True:
        _, body = await connection.read_request()
        await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)


async def echo_chunked(connection: ScriptedConnection) -> None:
    while True:
        _, body = await connection.read_request()
        await connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for at in range(0, len(body), 100_000):
            part = body[at : at + 100_000]
            await connection.send(b"%x;e=1\r\n%b\r\n" % (len(part), part))
        await connection.send(b"0\r\nX: y\r\n\r\n")


async def echo_until_close(connection: ScriptedConnection) -> None:
    _, body = await connection.read_request()
    await connection.send(b"HTTP/1.1 200 OK\r\n\r\n", body)


@pytest.mark.parametrize("script", [echo, echo_chunked, echo_until_close])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_large_body_is_echoed_unchanged(script: Script, chunked: bool, version: str) -> None:
    async def scenario() -> None:
        async with running_with_scripts(script) as (node, address, _):
            client = await BodyClient().open(address)
            body = BODY * 3 + b"end"
            for _ in range(2 if version == "1.1" else 1):
                client.begin_request(body, chunked, version)
                for at in range(0, len(body), 50_000):
                    part = body[at : at + 50_000]
                    client.send(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                    await client.writer.drain()
                if chunked:
                    client.send(b"0\r\n\r\n")
                assert await client.read_response() == (200, body, True)
            await wait_until_idle(node)

    run(scenario())


def test_first_bytes_of_a_large_response_are_forwarded_before_the_rest_arrives() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def send_in_two_parts(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY), BODY[:70_000])
            await go_on.wait()
            await connection.send(BODY[70_000:])

        async with running_with_scripts(send_in_two_parts) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(deadline_ms=300)
            async with asyncio.timeout(5):
                head = await client._reader.readuntil(b"\r\n\r\n")
                first = await client._reader.readexactly(70_000)
            assert b"200" in head and first == BODY[:70_000]
            await asyncio.sleep(0.4)  # past the deadline, which applies to the first bytes only
            assert node.counters.read()["requests_in_flight"] == 1
            go_on.set()
            async with asyncio.timeout(5):
                assert await client._reader.readexactly(len(BODY) - 70_000) == BODY[70_000:]
            await wait_until_idle(node)

    run(scenario())


@pytest.mark.parametrize("with_length", [True, False])
def test_slow_response_is_forwarded_before_much_of_it_has_arrived(
    with_length: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_connection, "RESPONSE_HOLD_S", 0.05)

    async def scenario() -> None:
        head_received = asyncio.Event()

        async def send_slowly(connection: ScriptedConnection) -> None:
            await connection.read_request()
            framing = b"Content-Length: 100000" if with_length else b"Connection: close"
            await connection.send(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            for at in range(0, 1000, 10):
                await connection.send(BODY[at : at + 10])
                await asyncio.sleep(0.005)
            await head_received.wait()
            await connection.send(BODY[1000:100_000])

        async with running_with_scripts(send_slowly) as (_, address, _):
            client = await BodyClient().open(address)
            client.begin_request()
            async with asyncio.timeout(5):
                await client._reader.readuntil(b"\r\n\r\n")
            head_received.set()
            async with asyncio.timeout(5):
                rest = await client._reader.read(10)
            assert rest

    run(scenario())


def test_response_reset_before_any_of_it_was_forwarded_is_answered_503(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node holds back the start of a response, so that one that breaks off early can be retried."""

    async def scenario() -> None:
        async def send_part_and_reset(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc")
            await asyncio.sleep(0.4)
            connection.reset()

        async with running_with_scripts(send_part_and_reset) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request()
            assert (await client.answer()).status == 503
            await wait_until_idle(node)

    run(scenario())


ENDINGS = ["reset", "close", "stall", "invalid chunk"]


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_response_broken_off_midway_is_truncated_and_not_retried(
    ending: str, framing: str, version: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(body_streaming, "STALL_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        requests = 0

        async def break_off(connection: ScriptedConnection) -> None:
            nonlocal requests
            await connection.read_request()
            requests += 1
            head = b"Content-Length: %d" % len(BODY) if framing == "length" else b"Transfer-Encoding: chunked"
            await connection.send(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n")
            part = BODY[:200_000]
            await connection.send(part if framing == "length" else b"%x\r\n%b\r\n" % (len(part), part))
            if ending == "invalid chunk" and framing == "chunks":
                await connection.send(b"what\r\n")
            if ending == "reset":
                await asyncio.sleep(0.05)  # until the bytes written before have arrived
                connection.reset()
            elif ending == "stall":
                await asyncio.sleep(10)

        async with running_with_scripts(break_off, break_off) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(version=version)
            status, body, complete = await client.read_response()
            assert status in (200, 0) and not complete and len(body) <= 200_000
            await wait_until_idle(node)
            assert requests == 1 and node.counters.read()["responses_truncated"] == 1

    run(scenario())


def test_client_that_closes_or_stops_reading_ends_the_upstream_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async def send_30_mb(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(30):
                await connection.send(b"%x\r\n%b\r\n" % (MB, BODY))

        for closes in (True, False):
            async with running_with_scripts(send_30_mb) as (node, address, (peer,)):
                client = await BodyClient().open(address)
                client.begin_request()
                await client._reader.readexactly(100_000)
                if closes:
                    client.writer.close()
                async with asyncio.timeout(5):
                    await peer.disconnected.wait()
                await wait_until_idle(node)

    run(scenario())


@pytest.mark.parametrize("failure", ["client closes", "client stalls", "invalid chunk"])
def test_request_with_an_incomplete_body_never_runs(failure: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_intake, "BODY_GRACE_S", 0.2)

    async def scenario() -> None:
        received = []

        async def record_request(connection: ScriptedConnection) -> None:
            received.append(await connection.read_request())

        async with running_with_scripts(record_request) as (node, address, (peer,)):
            client = await BodyClient().open(address)
            client.begin_request(BODY, chunked=failure == "invalid chunk")
            client.send(
                b"%x\r\n%b\r\n" % (200_000, BODY[:200_000]) if failure == "invalid chunk" else BODY[:100_000]
            )
            while not peer.connections:
                await asyncio.sleep(0.002)
            if failure == "client closes":
                client.writer.close()
            elif failure == "invalid chunk":
                client.send(b"what is this\r\n")
                assert (await client.answer()).status == 400
            else:
                monkeypatch.setattr(request_intake, "BODY_MIN_RATE", 4 * MB)
                assert (await client.answer()).status == 408
            await peer.disconnected.wait()
            await wait_until_idle(node)
            assert not received

    run(scenario())


@pytest.mark.parametrize("answered", [False, True])
def test_client_that_stops_in_a_long_body_is_ended_however_fast_it_sent_before(
    answered: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that occupy connections and memory: what came fast bought them time.

    The stop comes while the request is open, or once it is `answered` and the rest is discarded.
    """
    monkeypatch.setattr(request_intake, "BODY_GRACE_S", 0.2)

    async def scenario() -> None:
        async def respond(connection: ScriptedConnection) -> None:
            await connection.read_request(max_bytes=MB)
            if answered:
                await connection.send(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            await connection.reader.read()

        async with running_with_scripts(respond) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY * 8)
            client.send(BODY * 4)
            assert (await client.answer()).status == (503 if answered else 408)
            async with asyncio.timeout(2):
                assert await client.closed()
            await wait_until_idle(node)

    run(scenario())


def test_upload_reset_by_the_server_is_answered_503_and_the_client_stays_connected() -> None:
    async def scenario() -> None:
        async def reset_large_requests(connection: ScriptedConnection) -> None:
            request, _ = await connection.read_request(max_bytes=200_000)
            if request.more_body:
                connection.reset()
            else:
                await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async with running_with_scripts(reset_large_requests, reset_large_requests) as (node, address, peers):
            client = await BodyClient().open(address)
            client.begin_request(BODY * 8)
            for _ in range(4):
                client.send(BODY)
                await asyncio.sleep(0.02)
            response = await client.answer()
            assert (
                response.status == 503 and response.keep_alive
            )  # sent at once, while the client still sends
            client.send(BODY * 4)
            client.begin_request()
            assert (await client.answer()).status == 200
            assert sum(peer.connections for peer in peers) <= 3
            await wait_until_idle(node)

    run(scenario())


def test_server_may_reject_a_request_before_its_body_is_complete() -> None:
    async def scenario() -> None:
        async def reject_early(connection: ScriptedConnection) -> None:
            await connection.read_request(max_bytes=100_000)
            await connection.send(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.2)

        async with running_with_scripts(reject_early) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY)
            client.send(BODY[:500_000])
            assert (await client.answer()).status == 503
            client.send(BODY[500_000:])
            await wait_until_idle(node)
            assert node.counters.read()["attempts_rejected"] == 1

    run(scenario())


def test_request_is_retried_with_its_whole_body_after_a_failed_connect() -> None:
    async def scenario() -> None:
        bodies = []

        async def record_body(connection: ScriptedConnection) -> None:
            while True:
                bodies.append((await connection.read_request())[1])
                await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with ScriptedServer(record_body) as closed_server:
            closed_address = closed_server.address
        async with running_with_scripts(record_body, max_attempts=4) as (node, address, (_,)):
            for _ in range(20):  # to fill the retry budget
                client = await BodyClient().open(address)
                client.begin_request()
                assert (await client.answer()).status == 200
            bodies.clear()
            dead = Peer()
            dead.address = closed_address
            endpoints = rows(dead)
            endpoints[0]["name"] = "dead"
            node._apply_list(
                read_list({"index": 2, "snapshot": False, "endpoints": endpoints}), ListUpdate.CHANGES
            )
            for _ in range(8):
                client = await BodyClient().open(address)
                client.begin_request(BODY)
                client.send(BODY)
                assert (await client.answer()).status == 200
            assert bodies == [BODY] * 8
            assert node.counters.read().get("attempts_no_connection", 0) >= 1

    run(scenario())


def test_deadline_of_a_large_request_counts_from_its_last_byte() -> None:
    async def scenario() -> None:
        async def respond_late(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await asyncio.sleep(0.15)
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with running_with_scripts(respond_late) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY, deadline_ms=300)
            for at in range(0, MB, MB // 16):
                client.send(BODY[at : at + MB // 16])
                await asyncio.sleep(0.03)  # half a second in all
            assert (await client.answer()).status == 200
            client.begin_request(BODY, deadline_ms=100)
            client.send(BODY)
            sent_at = asyncio.get_running_loop().time()
            assert (await client.answer()).status in (502, 503)
            assert asyncio.get_running_loop().time() - sent_at < 1.0
            await wait_until_idle(node)

    run(scenario())


def test_stream_buffers_shrink_as_the_number_of_streams_grows() -> None:
    streams = StreamBuffers()
    sizes = []
    for streams.active in (1, 32, 33, 128, 129, 1000):
        sizes.append(streams.piece_size())
    assert sizes == [65536, 65536, 16384, 16384, 4096, 4096]


def test_memory_use_does_not_grow_with_the_bytes_forwarded(tmp_path: Path) -> None:
    """Clients that are slow to read send sixteen bodies of 16 MB, and a server echoes them."""

    async def scenario() -> None:
        async with ScriptedServer(echo) as peer, Peer() as discovery:
            document = configuration(discovery.at)
            document["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            document["settings"]["profiles"][0] |= {"contract_time": 30000, "abandon_time": 60000}
            (tmp_path / "config.json").write_text(json.dumps(document))
            listen, mgmt = free_address(), free_address()
            environment = {
                **os.environ,
                "GW_CONFIG": str(tmp_path / "config.json"),
                "GW_LISTEN": f"{listen[0]}:{listen[1]}",
                "GW_MGMT": f"{mgmt[0]}:{mgmt[1]}",
            }
            process = subprocess.Popen(
                [sys.executable, "-m", "notchjunction"], env=environment, stderr=subprocess.DEVNULL
            )

            async def exchange() -> None:
                client = await BodyClient().open(listen)
                client.begin_request(BODY * 16, deadline_ms=60000)
                for _ in range(16):
                    client.send(BODY)
                    await client.writer.drain()
                status, body, complete = await client.read_response()
                assert status in (200, 503) and complete
                if status == 200:
                    assert len(body) == 16 * MB
                    succeeded.append(status)

            succeeded: list[int] = []
            try:
                await wait_until_ready(mgmt)
                while len(succeeded) < 16:
                    await asyncio.gather(*(exchange() for _ in range(4)))
                status_text = Path(f"/proc/{process.pid}/status").read_text()
                peak_mb = int(status_text.partition("VmHWM:")[2].split()[0]) / 1024
                assert peak_mb < 64, f"{peak_mb:.0f} MB"
                process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, 10) == 0
            finally:
                process.kill()
                process.wait()

    asyncio.run(asyncio.wait_for(scenario(), 60))


# The balancer.


def submit_incomplete(host: FakeHost) -> int:
    host.request_count += 1
    host.balancer.request_arrived(NewRequest(host.request_count, 0, 0, 2.0, body_complete=False))
    return host.request_count


def test_incomplete_request_is_not_in_flight_and_its_deadline_does_not_run() -> None:
    host = FakeHost(endpoints=1)
    host.serve_requests(20)
    request = submit_incomplete(host)
    assert len(host.sent_to(request)) == 1 and not host.balancer._endpoints[0].in_flight
    host.advance(30.0)
    assert not host.final_commands(request)
    host.balancer.body_completed(request)
    assert len(host.balancer._endpoints[0].in_flight) == 1
    host.advance(1.9)
    assert not host.final_commands(request)
    host.advance(0.2)
    assert len(host.final_commands(request)) == 1


@pytest.mark.parametrize("unrepeatable", [False, True])
def test_request_with_a_forwarded_body_is_not_retried(unrepeatable: bool) -> None:
    host = FakeHost()
    host.serve_requests(60)
    request = submit_incomplete(host)
    endpoint = host.sent_to(request)[0]
    host.balancer.attempt_ended(
        AttemptOutcome(request, 0, endpoint, AttemptResult.NO_CONNECTION, 0.01, unrepeatable=unrepeatable)
    )
    assert len(host.sent_to(request)) == (1 if unrepeatable else 2)
    assert host.final_commands(request) == (["reject"] if unrepeatable else [])


def test_large_request_is_not_hedged_after_its_last_byte() -> None:
    host = FakeHost(hedging=True)
    host.serve_requests(60)
    request = submit_incomplete(host)
    host.balancer.body_completed(request)
    for _ in range(10):
        host.serve_requests(4, every=0.1)
    assert len(host.sent_to(request)) == 1


def test_started_response_is_final_and_its_endpoint_is_free() -> None:
    host = FakeHost(endpoints=4, hedging=True)
    host.serve_requests(60)
    request = host.submit(time_left=20.0)
    slow = host.sent_to(request)[0]
    while len(host.sent_to(request)) < 2:  # the endpoint does not respond: the request is hedged
        host.serve_requests(2, every=0.1)
    host.balancer.response_started(request, 1)
    assert ("cancel_attempt", request, 0) in host.commands
    second = host.sent_to(request)[1]
    assert not host.balancer._endpoints[second].in_flight and slow != second
    host.balancer.attempt_ended(AttemptOutcome(request, 0, slow, AttemptResult.CANCELLED, 0.1))
    host.advance(30.0)
    assert not host.final_commands(request) and len(host.sent_to(request)) == 2
    host.balancer.attempt_ended(AttemptOutcome(request, 1, second, AttemptResult.SUCCEEDED, 0.1, final=True))
    assert not host.final_commands(request) and request not in host.balancer._pending


def test_admin_api_responds_promptly_during_large_transfers() -> None:
    async def scenario() -> None:
        async def send_16_mb(connection: ScriptedConnection) -> None:
            while True:
                await connection.read_request()
                await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * MB))
                for _ in range(16):
                    await connection.send(BODY)

        mgmt = free_address()
        async with running_with_scripts(*[send_16_mb] * 4, mgmt=mgmt) as (node, address, _):
            running_transfers = True

            async def download() -> int:
                total = 0
                while running_transfers:
                    client = await BodyClient().open(address)
                    client.begin_request()
                    total += len((await client.read_response())[1])
                return total

            downloads = [asyncio.create_task(download()) for _ in range(4)]
            while node.counters.read()["streams_open"] < 2:
                await asyncio.sleep(0.002)
            loop = asyncio.get_running_loop()
            for _ in range(10):
                started_at = loop.time()
                assert await call(mgmt, "GET", "/control/ready") == 200
                assert loop.time() - started_at < 1.0
            running_transfers = False
            assert sum(await asyncio.gather(*downloads)) >= 16 * MB
            await wait_until_idle(node)

    run(scenario())


def test_body_incomplete_at_the_shutdown_deadline_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", -1.5)  # the shutdown deadline is 0.2 s after `stop`

    async def scenario() -> None:
        received = []

        async def record_request(connection: ScriptedConnection) -> None:
            received.append(await connection.read_request())

        async with running_with_scripts(record_request) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY)
            client.send(BODY[:200_000])
            while not node.counters.read().get("attempts_first"):
                await asyncio.sleep(0.002)
            node.stop()
            response = await client.answer()
            assert response.status == 503 and not response.keep_alive
            assert not received

    run(scenario())


@pytest.mark.parametrize("cause", ["node drains", "client requests close"])
def test_early_response_does_not_close_the_connection_before_the_body_has_arrived(cause: str) -> None:
    """The request was rejected early. A slow client reads the response only after it has sent its body."""

    async def scenario() -> None:
        async with running_with_scripts() as (node, address, _):
            if cause == "node drains":
                node._clients.announce_closing()
            client = await BodyClient().open(address)
            extra = "Connection: close\r\n" if cause != "node drains" else ""
            client.ask("POST", extra=f"{extra}Transfer-Encoding: chunked\r\n")
            client.send(b"%x\r\n%b" % (MB, BODY[:100_000]))
            response = await client.answer()
            assert (response.status, response.keep_alive) == (503, False)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await client._reader.read(1)
            client.send(BODY[100_000:] + b"\r\n0\r\n\r\n")
            assert await client.closed()

    run(scenario())


async def send_unfinished(connection: ScriptedConnection) -> None:
    """Send the start of a large response that ends only with its connection."""
    await connection.read_request()
    await connection.send(b"HTTP/1.1 200 OK\r\n\r\n" + BODY[:200_000])
    await connection.reader.read()


def test_connection_closed_by_the_node_does_not_complete_a_response() -> None:
    async def scenario() -> None:
        async with ScriptedServer(send_unfinished) as peer:
            harness = PoolHarness(peer)
            started: asyncio.Future[Download] = asyncio.get_running_loop().create_future()
            attempt = asyncio.create_task(
                harness.pool.attempt(
                    AttemptSpec("s0", harness.clock + 2.0, on_response_start=started.set_result), REQUEST
                )
            )
            download = await started
            attempt.cancel()
            await asyncio.wait({attempt})
            with pytest.raises(ConnectionLostError):
                while not download.finished:
                    await download.read_more()
                    download.take_piece()
            download.close()

    run(scenario())


def test_response_that_starts_after_its_attempt_was_cancelled_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_report = BalancerEngine.report_response_started

    def cancel_then_report(self: BalancerEngine, handle: RequestHandle, attempt: int) -> bool:
        self._issue_command(handle.number, CancelAttempt(attempt))  # queued, and not read yet
        return original_report(self, handle, attempt)

    async def scenario() -> None:
        monkeypatch.setattr(BalancerEngine, "report_response_started", cancel_then_report)
        async with running_with_scripts(send_unfinished) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request()
            status, body, _ = await client.read_response()
            assert status in (502, 503) and not body
            await wait_until_idle(node)

    run(scenario())


@pytest.mark.parametrize("cancellation", [True, False])
def test_upload_is_aborted_when_its_client_closes_with_or_without_cancellation(cancellation: bool) -> None:
    async def scenario() -> None:
        async with running_with_scripts(send_unfinished, cancellation=cancellation) as (
            node,
            address,
            (peer,),
        ):
            client = await BodyClient().open(address)
            client.begin_request(BODY)
            client.send(BODY[:200_000])
            while not peer.connections:
                await asyncio.sleep(0.002)
            client.writer.close()
            await wait_until_idle(node)

    run(scenario())


@pytest.mark.parametrize("client_aborts", [True, False])
def test_upload_to_a_server_that_reads_nothing_is_aborted(
    client_aborts: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", 0.5)

    async def scenario() -> None:
        finish = asyncio.Event()

        async def read_nothing(connection: ScriptedConnection) -> None:
            await finish.wait()

        async with running_with_scripts(read_nothing, cancellation=False) as (node, address, (peer,)):
            client = await BodyClient().open(address)
            client.begin_request(BODY * 16)
            client.send(BODY * 16)
            while not peer.connections:
                await asyncio.sleep(0.002)
            if client_aborts:
                client.writer.transport.abort()
            else:
                assert (await client.answer()).status == 503
            await wait_until_idle(node)
            finish.set()

    run(scenario())


@pytest.mark.parametrize("cancellation", [True, False])
def test_connection_with_an_unfinished_response_is_not_reused_after_the_client_closed(
    cancellation: bool,
) -> None:
    response_format = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"

    async def scenario() -> None:
        client_closed = asyncio.Event()

        async def pause_midway(connection: ScriptedConnection) -> None:
            request, _ = await connection.read_request()
            if not request.body:
                await connection.send(response_format % (2, b"ok"))
                return
            await connection.send(response_format % (400_000, BODY[:200_000]))
            await client_closed.wait()
            await connection.send(BODY[:1000])
            await connection.read_request()
            # The rest of the first response looks like a response to the next request.
            await connection.send(response_format % (6, b"forged"))

        async with running_with_scripts(pause_midway, cancellation=cancellation) as (node, address, (peer,)):
            client = await BodyClient().open(address)
            client.begin_request(b"body")
            client.send(b"body")
            await client._reader.readuntil(b"\r\n\r\n")
            await client._reader.readexactly(200_000)
            client.writer.transport.abort()
            (client_connection,) = node._clients.connections
            while not client_connection._stream.closed():
                await asyncio.sleep(0.002)
            client_closed.set()
            await wait_until_idle(node)
            await asyncio.sleep(
                2 * upstream.MIN_IDLE_BEFORE_REUSE_S
            )  # an idle connection may be reused by then
            client = await BodyClient().open(address)
            client.begin_request()
            assert await client.read_response() == (200, b"ok", True) and peer.connections == 2

    run(scenario())


def test_aborted_upload_is_not_completed_later(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", 0.2)
    aborted, last_bytes = False, b"the last of it"
    original_wait, write = upstream_connection.UpstreamConnection._wait_written, IOStream.write_to_fd

    async def record_abort(self: upstream_connection.UpstreamConnection, *args: Any) -> None:
        nonlocal aborted
        try:
            await original_wait(self, *args)
        except upstream_connection.RequestNotSentError:
            aborted = True
            raise

    def block_last_bytes_until_abort(stream: IOStream, data: memoryview) -> int | None:
        if type(stream) is NodeStream and bytes(data[-len(last_bytes) :]) == last_bytes and not aborted:
            raise BlockingIOError
        return write(stream, data)

    async def scenario() -> None:
        received: list[Request] = []

        async def read_two_requests(connection: ScriptedConnection) -> None:
            received.append((await connection.read_request())[0])
            await connection.read_request()

        async with running_with_scripts(read_two_requests) as (node, address, (peer,)):
            monkeypatch.setattr(upstream_connection.UpstreamConnection, "_wait_written", record_abort)
            monkeypatch.setattr(IOStream, "write_to_fd", block_last_bytes_until_abort)
            client = await BodyClient().open(address)
            client.begin_request(BODY + last_bytes)
            client.send(BODY + last_bytes)
            assert (await client.answer()).status == 503 and aborted
            async with asyncio.timeout(5):
                await peer.disconnected.wait()
            assert not received
            await wait_until_idle(node)

    run(scenario())


def test_internal_error_before_forwarding_a_response_leaves_no_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    next_command = BalancerEngine.next_command

    async def fail_on_start(self: BalancerEngine, handle: RequestHandle) -> Any:
        command = await next_command(self, handle)
        if isinstance(command, StartResponse):
            raise RuntimeError("own")
        return command

    async def scenario() -> None:
        monkeypatch.setattr(BalancerEngine, "next_command", fail_on_start)
        async with running_with_scripts(send_unfinished) as (node, address, (peer,)):
            client = await BodyClient().open(address)
            client.begin_request()
            assert (await client.read_response())[0] == 500
            async with asyncio.timeout(5):
                await peer.disconnected.wait()
            assert node.counters.read()["streams_open"] == 0

    run(scenario())


def test_responses_ended_by_a_close_do_not_count_as_idle_lifetimes() -> None:
    async def scenario() -> None:
        async def respond_until_close(connection: ScriptedConnection) -> None:
            while (await connection.read_request())[0].method == "GET":
                await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await connection.send(b"HTTP/1.1 200 OK\r\n\r\n", BODY)

        async with running_with_scripts(respond_until_close) as (node, address, (peer,)):
            client = await BodyClient().open(address)
            for _ in range(upstream.MIN_IDLE_LIFETIMES + 1):
                client.begin_request(b"")
                status, body, _ = await client.read_response()
                assert (status, body) == (200, BODY)
                await wait_until_idle(node)
                await asyncio.sleep(
                    2 * upstream.MIN_IDLE_BEFORE_REUSE_S
                )  # an idle connection may be reused by then
            before = peer.connections
            for _ in range(3):
                client.begin_request()
                assert await client.read_response() == (200, b"ok", True)
                await asyncio.sleep(2 * upstream.MIN_IDLE_BEFORE_REUSE_S)
            assert peer.connections == before + 1

    run(scenario())
