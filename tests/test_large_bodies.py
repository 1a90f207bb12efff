"""Bodies far over what is held: passed on in pieces, broken off on either side, however they are framed."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
import socket
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
from notchjunction.http1.messages import MalformedMessageError, Request, Response
from notchjunction.http1.parser import MessageReader, RequestReader, ResponseReader
from notchjunction.net import body_streaming, request_intake, response_writer, upstream, upstream_connection
from notchjunction.net.body_streaming import Download, StreamBuffers
from notchjunction.net.socket_stream import NodeStream
from notchjunction.net.upstream import AttemptSpec
from notchjunction.net.upstream_connection import ConnectionLostError
from notchjunction.node.node import Node
from notchjunction.upgrade import handover, shared_folder, shutdown
from tests.helpers import Client, FakeHost, Peer, call, configuration, free_address, rows, running
from tests.test_net import JOB, Dispatches, run
from tests.test_upgrade import wait_until_ready

MB = 1024 * 1024
BODY = bytes(range(256)) * (MB // 256)  # one MB that differs from place to place
POST = b"POST http://app.svc/api?a=b HTTP/1.1\r\nReq-Id: 1\r\n"
FORMS = {
    "length": POST + b"Content-Length: 5\r\n\r\nabcde",
    "chunks": POST
    + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0002\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
    "blank lines": b"\r\n\r\n\r\n" + POST + b"content-length:5  \r\nX:\r\n\r\nabcde",
    "no body": b"GET /api HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
}
ANSWERS = {
    "length": b"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nabcde",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
}


def fed(reader: MessageReader, *pieces: bytes) -> Any:
    for piece in pieces:
        reader.feed(piece)
        found = reader.next()  # type: ignore[attr-defined]
        if found is not None:
            return found
    return None


@pytest.mark.parametrize("form", FORMS)
def test_a_request_is_the_same_cut_at_any_byte(form: str) -> None:
    wire = FORMS[form]
    whole = fed(RequestReader(), wire)
    assert (
        whole.path == "/api" and whole.body == (b"" if form == "no body" else b"abcde") and whole.keep_alive
    )
    for at in range(1, len(wire)):
        reader = RequestReader()
        assert fed(reader, wire[:at], wire[at:]) == whole and not reader.started


@pytest.mark.parametrize("form", ANSWERS)
def test_an_answer_is_the_same_cut_at_any_byte(form: str) -> None:
    wire = ANSWERS[form]
    whole = fed(ResponseReader(), wire)
    assert (whole.status, whole.body, whole.keep_alive) == (200, b"abcde", True)
    for at in range(1, len(wire)):
        assert fed(ResponseReader(), wire[:at], wire[at:]) == whole


@pytest.mark.parametrize("step", [1000, 4096, 65536, MB])
@pytest.mark.parametrize("chunk", [0, 1, 7000, 200_000])
def test_a_large_body_is_given_out_in_pieces_and_nothing_of_it_is_held(chunk: int, step: int) -> None:
    body = BODY[: 300_000 if chunk != 1 else 70_000]
    if chunk:
        parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
        framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        wire = POST + b"Transfer-Encoding: chunked\r\n\r\n" + framed
    else:
        wire = POST + b"Content-Length: %d\r\n\r\n" % len(body) + body
    reader = RequestReader()
    found, ended, most = bytearray(), False, 0
    for at in range(0, len(wire), step):
        reader.feed(wire[at : at + step])
        beginning = reader.next()
        if beginning is not None:
            found += beginning.body
            assert beginning.length == (None if chunk else len(body))
            ended = not beginning.more_body
        elif reader.streaming:
            piece, ended = reader.take_piece()
            found += piece
            most = max(most, reader.unread)
    assert bytes(found) == body and ended and not reader.started
    assert most <= 256 + 2  # the line of a chunk's size


def test_a_large_body_that_never_ends_is_refused() -> None:
    reader = RequestReader(max_body=MB)
    reader.feed(POST + b"Transfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(MalformedMessageError) as refused:
        for _ in range(20):
            reader.feed(b"%x\r\n%b\r\n" % (MB // 10, BODY[: MB // 10]))
            if reader.streaming:
                reader.take_piece()
            else:
                reader.next()
    assert refused.value.status == 413


# On loopback.

Serve = Callable[["Talk"], Awaitable[None]]


class Talk:
    """A server's side of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self, most: int | None = None) -> tuple[Request, bytes]:
        """One request with its whole body, or with the first so many bytes of it."""
        requests, body, request, ended = RequestReader(), bytearray(), None, False
        while not ended and (most is None or len(body) < most):
            piece = await self.reader.read(65536)
            if not piece:
                raise ConnectionError("cut")
            requests.feed(piece)
            if request is None:
                request = requests.next()
                if request is not None:
                    body += request.body
                    ended = not request.more_body
            elif requests.streaming:
                more, ended = requests.take_piece()
                body += more
        assert request is not None
        return request, bytes(body)

    async def send(self, *pieces: bytes) -> None:
        for piece in pieces:
            self.writer.write(piece)
            await self.writer.drain()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SO_LINGER
        self.writer.close()


class Scripted(Peer):
    """A server of which each connection goes by the script."""

    def __init__(self, script: Serve) -> None:
        super().__init__()
        self.script = script
        self.gone = asyncio.Event()
        self.errors: list[Exception] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self.script(Talk(reader, writer))
        except ConnectionError:
            pass
        except Exception as error:
            self.errors.append(error)
        finally:
            self.gone.set()
            writer.close()


class Caller(Client):
    def begin(
        self, body: bytes | None = None, chunks: bool = False, version: str = "1.1", left: int = 2000
    ) -> None:
        self.job_id += 1
        framing = "" if body is None else f"Content-Length: {len(body)}\r\n"
        if chunks:
            framing = "Transfer-Encoding: chunked\r\n"
        method = "GET" if body is None else "POST"
        self.send(
            f"{method} /api HTTP/{version}\r\nHost: a\r\nReq-Id: {self.job_id}\r\nReq-Kind: plain\r\n"
            f"Req-Deadline-Ms: {left}\r\n{framing}\r\n".encode()
        )

    async def whole(self) -> tuple[int, bytes, bool]:
        """Status, body and whether it came to its end."""
        answers, body = ResponseReader(), bytearray()
        status, ended, going = 0, False, False
        async with asyncio.timeout(15):
            while not ended:
                try:
                    piece = await self._reader.read(65536)
                except ConnectionError:
                    return status, bytes(body), False
                if not piece:
                    return status, bytes(body), going and answers.ends_with_connection()
                answers.feed(piece)
                if not going:
                    answer = answers.next()
                    if answer is None:
                        continue
                    status, going, ended = answer.status, answer.more_body, not answer.more_body
                    body += answer.body
                else:
                    more, ended = answers.take_piece()
                    body += more
        return status, bytes(body), True


@asynccontextmanager
async def served(*scripts: Serve, **terms: Any) -> AsyncIterator[tuple[Node, Address, list[Scripted]]]:
    async with contextlib.AsyncExitStack() as stack:
        peers = [await stack.enter_async_context(Scripted(script)) for script in scripts]
        node, address = await stack.enter_async_context(running(*peers, **terms))
        yield node, address, peers
        assert not any(peer.errors for peer in peers), peers[0].errors


async def nothing_left(node: Node) -> None:
    """No job, stream or connection to a server in use is left behind."""
    async with asyncio.timeout(5):
        while True:
            figures = node.counters.read()
            answered = sum(figures.get(f"responses_{kind}", 0) for kind in (*KINDS, "truncated"))
            told = figures["requests_received"] == answered + figures.get("requests_cancelled", 0)
            if told and not figures["requests_tracked"] and not figures["streams_open"]:
                break
            await asyncio.sleep(0.002)
    assert not figures.get("internal_errors")


KINDS = ("succeeded", "rejected", "failed", "internal_error")


async def echo(talk: Talk) -> None:
    while True:
        _, body = await talk.request()
        await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)


async def echo_in_chunks(talk: Talk) -> None:
    while True:
        _, body = await talk.request()
        await talk.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for at in range(0, len(body), 100_000):
            part = body[at : at + 100_000]
            await talk.send(b"%x;e=1\r\n%b\r\n" % (len(part), part))
        await talk.send(b"0\r\nX: y\r\n\r\n")


async def echo_to_the_end(talk: Talk) -> None:
    _, body = await talk.request()
    await talk.send(b"HTTP/1.1 200 OK\r\n\r\n", body)


@pytest.mark.parametrize("script", [echo, echo_in_chunks, echo_to_the_end])
@pytest.mark.parametrize("chunks", [False, True])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_large_body_goes_and_comes_back_unchanged(script: Serve, chunks: bool, version: str) -> None:
    async def story() -> None:
        async with served(script) as (node, address, _):
            caller = await Caller().open(address)
            body = BODY * 3 + b"end"
            for _ in range(2 if version == "1.1" else 1):
                caller.begin(body, chunks, version)
                for at in range(0, len(body), 50_000):
                    part = body[at : at + 50_000]
                    caller.send(b"%x\r\n%b\r\n" % (len(part), part) if chunks else part)
                    await caller.writer.drain()
                if chunks:
                    caller.send(b"0\r\n\r\n")
                assert await caller.whole() == (200, body, True)
            await nothing_left(node)

    run(story())


def test_the_first_bytes_of_a_large_answer_go_on_while_the_rest_is_still_to_come() -> None:
    async def story() -> None:
        go_on = asyncio.Event()

        async def slow(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY), BODY[:70_000])
            await go_on.wait()
            await talk.send(BODY[70_000:])

        async with served(slow) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin(left=300)
            async with asyncio.timeout(5):
                head = await caller._reader.readuntil(b"\r\n\r\n")
                first = await caller._reader.readexactly(70_000)
            assert b"200" in head and first == BODY[:70_000]
            await asyncio.sleep(0.4)  # past the job's time: it is that of the first bytes
            assert node.counters.read()["requests_in_flight"] == 1
            go_on.set()
            async with asyncio.timeout(5):
                assert await caller._reader.readexactly(len(BODY) - 70_000) == BODY[70_000:]
            await nothing_left(node)

    run(story())


@pytest.mark.parametrize("length", [True, False])
def test_an_answer_that_drips_goes_on_before_much_of_it_has_come(
    length: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_connection, "RESPONSE_HOLD_S", 0.05)

    async def story() -> None:
        heard = asyncio.Event()

        async def drip(talk: Talk) -> None:
            await talk.request()
            framing = b"Content-Length: 100000" if length else b"Connection: close"
            await talk.send(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            for at in range(0, 1000, 10):
                await talk.send(BODY[at : at + 10])
                await asyncio.sleep(0.005)
            await heard.wait()
            await talk.send(BODY[1000:100_000])

        async with served(drip) as (_, address, _):
            caller = await Caller().open(address)
            caller.begin()
            async with asyncio.timeout(5):
                await caller._reader.readuntil(b"\r\n\r\n")
            heard.set()
            async with asyncio.timeout(5):
                rest = await caller._reader.read(10)
            assert rest

    run(story())


def test_a_short_answer_in_chunks_is_whole_or_none_however_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    """What stops early is not passed on: it can be retried."""

    async def story() -> None:
        async def stuck(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc")
            await asyncio.sleep(0.4)
            talk.reset()

        async with served(stuck) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin()
            assert (await caller.answer()).status == 503
            await nothing_left(node)

    run(story())


BREAKS = ["reset", "close", "nothing more", "bad chunk"]


@pytest.mark.parametrize("end", BREAKS)
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_answer_broken_off_midway_is_told_as_broken_and_sent_nowhere_else(
    end: str, framing: str, version: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(body_streaming, "STALL_TIMEOUT_S", 0.1)

    async def story() -> None:
        requests = 0

        async def breaks(talk: Talk) -> None:
            nonlocal requests
            await talk.request()
            requests += 1
            head = b"Content-Length: %d" % len(BODY) if framing == "length" else b"Transfer-Encoding: chunked"
            await talk.send(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n")
            part = BODY[:200_000]
            await talk.send(part if framing == "length" else b"%x\r\n%b\r\n" % (len(part), part))
            if end == "bad chunk" and framing == "chunks":
                await talk.send(b"what\r\n")
            if end == "reset":
                await asyncio.sleep(0.05)  # so that what was written has come
                talk.reset()
            elif end == "nothing more":
                await asyncio.sleep(10)

        async with served(breaks, breaks) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin(version=version)
            status, body, whole = await caller.whole()
            assert status in (200, 0) and not whole and len(body) <= 200_000
            await nothing_left(node)
            assert requests == 1 and node.counters.read()["responses_truncated"] == 1

    run(story())


def test_a_caller_that_goes_midway_or_reads_nothing_ends_the_servers_side_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(response_writer, "WRITE_TIMEOUT_S", 0.2)

    async def story() -> None:
        async def endless(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(30):
                await talk.send(b"%x\r\n%b\r\n" % (MB, BODY))

        for goes in (True, False):
            async with served(endless) as (node, address, (peer,)):
                caller = await Caller().open(address)
                caller.begin()
                await caller._reader.readexactly(100_000)
                if goes:
                    caller.writer.close()
                async with asyncio.timeout(5):
                    await peer.gone.wait()
                await nothing_left(node)

    run(story())


@pytest.mark.parametrize("how", ["caller closes", "caller stalls", "noise"])
def test_a_body_that_is_never_whole_never_runs(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_intake, "BODY_GRACE_S", 0.2)

    async def story() -> None:
        ran = []

        async def counts(talk: Talk) -> None:
            ran.append(await talk.request())

        async with served(counts) as (node, address, (peer,)):
            caller = await Caller().open(address)
            caller.begin(BODY, chunks=how == "noise")
            caller.send(b"%x\r\n%b\r\n" % (200_000, BODY[:200_000]) if how == "noise" else BODY[:100_000])
            while not peer.connections:
                await asyncio.sleep(0.002)
            if how == "caller closes":
                caller.writer.close()
            elif how == "noise":
                caller.send(b"what is this\r\n")
                assert (await caller.answer()).status == 400
            else:
                monkeypatch.setattr(request_intake, "BODY_MIN_RATE", 4 * MB)
                assert (await caller.answer()).status == 408
            await peer.gone.wait()
            await nothing_left(node)
            assert not ran

    run(story())


def test_a_server_that_breaks_off_a_body_never_ran_it_and_the_caller_goes_on() -> None:
    async def story() -> None:
        async def breaks(talk: Talk) -> None:
            request, _ = await talk.request(most=200_000)
            if request.more_body:
                talk.reset()
            else:
                await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async with served(breaks, breaks) as (node, address, peers):
            caller = await Caller().open(address)
            caller.begin(BODY * 8)
            for _ in range(4):
                caller.send(BODY)
                await asyncio.sleep(0.02)
            answer = await caller.answer()
            assert answer.status == 503 and answer.keep_alive  # told at once, while it still sends
            caller.send(BODY * 4)
            caller.begin()
            assert (await caller.answer()).status == 200
            assert sum(peer.connections for peer in peers) <= 3
            await nothing_left(node)

    run(story())


def test_a_server_may_turn_a_body_away_before_its_end() -> None:
    async def story() -> None:
        async def declines(talk: Talk) -> None:
            await talk.request(most=100_000)
            await talk.send(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.2)

        async with served(declines) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin(BODY)
            caller.send(BODY[:500_000])
            assert (await caller.answer()).status == 503
            caller.send(BODY[500_000:])
            await nothing_left(node)
            assert node.counters.read()["attempts_rejected"] == 1

    run(story())


def test_a_server_that_cannot_be_reached_is_followed_by_another_with_the_body_whole() -> None:
    async def story() -> None:
        bodies = []

        async def keeps(talk: Talk) -> None:
            while True:
                bodies.append((await talk.request())[1])
                await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with Scripted(keeps) as gone:
            address_of_gone = gone.address
        async with served(keeps, max_attempts=4) as (node, address, (_,)):
            for _ in range(20):  # for the budget of retries
                caller = await Caller().open(address)
                caller.begin()
                assert (await caller.answer()).status == 200
            bodies.clear()
            dead = Peer()
            dead.address = address_of_gone
            list_ = rows(dead)
            list_[0]["name"] = "dead"
            node._apply_list(
                read_list({"index": 2, "snapshot": False, "endpoints": list_}), ListUpdate.CHANGES
            )
            for _ in range(8):
                caller = await Caller().open(address)
                caller.begin(BODY)
                caller.send(BODY)
                assert (await caller.answer()).status == 200
            assert bodies == [BODY] * 8
            assert node.counters.read().get("attempts_no_connection", 0) >= 1

    run(story())


def test_a_bodys_time_counts_from_its_last_byte() -> None:
    async def story() -> None:
        async def late(talk: Talk) -> None:
            await talk.request()
            await asyncio.sleep(0.15)
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with served(late) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin(BODY, left=300)
            for at in range(0, MB, MB // 16):
                caller.send(BODY[at : at + MB // 16])
                await asyncio.sleep(0.03)  # half a second in all
            assert (await caller.answer()).status == 200
            caller.begin(BODY, left=100)
            caller.send(BODY)
            began = asyncio.get_running_loop().time()
            assert (await caller.answer()).status in (502, 503)
            assert asyncio.get_running_loop().time() - began < 1.0
            await nothing_left(node)

    run(story())


def test_streams_hold_less_the_more_there_are() -> None:
    streams = StreamBuffers()
    sizes = []
    for streams.active in (1, 32, 33, 128, 129, 1000):
        sizes.append(streams.piece_size())
    assert sizes == [65536, 65536, 16384, 16384, 4096, 4096]


def test_memory_depends_on_streams_and_not_on_what_passes_through(tmp_path: Path) -> None:
    """Sixteen bodies of 16 MB go to servers that echo them, to callers that are slow to read."""

    async def story() -> None:
        async with Scripted(echo) as peer, Peer() as place:
            told = configuration(place.at)
            told["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            told["settings"]["profiles"][0] |= {"contract_time": 30000, "abandon_time": 60000}
            (tmp_path / "told.json").write_text(json.dumps(told))
            listen, mgmt = free_address(), free_address()
            environment = {
                **os.environ,
                "GW_CONFIG": str(tmp_path / "told.json"),
                "GW_LISTEN": f"{listen[0]}:{listen[1]}",
                "GW_MGMT": f"{mgmt[0]}:{mgmt[1]}",
            }
            process = subprocess.Popen(
                [sys.executable, "-m", "notchjunction"], env=environment, stderr=subprocess.DEVNULL
            )

            async def one() -> None:
                caller = await Caller().open(listen)
                caller.begin(BODY * 16, left=60000)
                for _ in range(16):
                    caller.send(BODY)
                    await caller.writer.drain()
                status, body, whole = await caller.whole()
                assert status in (200, 503) and whole
                if status == 200:
                    assert len(body) == 16 * MB
                    passed.append(status)

            passed: list[int] = []
            try:
                await wait_until_ready(mgmt)
                while len(passed) < 16:
                    await asyncio.gather(*(one() for _ in range(4)))
                used = Path(f"/proc/{process.pid}/status").read_text()
                most = int(used.partition("VmHWM:")[2].split()[0]) / 1024
                assert most < 64, f"{most:.0f} MB"
                process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, 10) == 0
            finally:
                process.kill()
                process.wait()

    asyncio.run(asyncio.wait_for(story(), 60))


# The module.


def large(host: FakeHost) -> int:
    host.request_count += 1
    host.balancer.request_arrived(NewRequest(host.request_count, 0, 0, 2.0, body_complete=False))
    return host.request_count


def test_a_job_that_is_not_whole_takes_no_room_and_no_time() -> None:
    host = FakeHost(endpoints=1)
    host.serve_requests(20)
    job = large(host)
    assert len(host.sent_to(job)) == 1 and not host.balancer._endpoints[0].in_flight
    host.advance(30.0)
    assert not host.final_commands(job)
    host.balancer.body_completed(job)
    assert len(host.balancer._endpoints[0].in_flight) == 1
    host.advance(1.9)
    assert not host.final_commands(job)
    host.advance(0.2)
    assert len(host.final_commands(job)) == 1


@pytest.mark.parametrize("spent", [False, True])
def test_a_body_that_was_sent_on_is_not_sent_again(spent: bool) -> None:
    host = FakeHost()
    host.serve_requests(60)
    job = large(host)
    server = host.sent_to(job)[0]
    host.balancer.attempt_ended(
        AttemptOutcome(job, 0, server, AttemptResult.NO_CONNECTION, 0.01, unrepeatable=spent)
    )
    assert len(host.sent_to(job)) == (1 if spent else 2)
    assert host.final_commands(job) == (["reject"] if spent else [])


def test_after_its_last_byte_a_large_job_gets_no_second_copy() -> None:
    host = FakeHost(hedging=True)
    host.serve_requests(60)
    job = large(host)
    host.balancer.body_completed(job)
    for _ in range(10):
        host.serve_requests(4, every=0.1)
    assert len(host.sent_to(job)) == 1


def test_an_answer_that_has_begun_is_final_and_its_server_has_done_the_job() -> None:
    host = FakeHost(endpoints=4, hedging=True)
    host.serve_requests(60)
    job = host.submit(time_left=20.0)
    slow = host.sent_to(job)[0]
    while len(host.sent_to(job)) < 2:  # the server is silent: a second copy
        host.serve_requests(2, every=0.1)
    host.balancer.response_started(job, 1)
    assert ("cancel_attempt", job, 0) in host.commands
    second = host.sent_to(job)[1]
    assert not host.balancer._endpoints[second].in_flight and slow != second
    host.balancer.attempt_ended(AttemptOutcome(job, 0, slow, AttemptResult.CANCELLED, 0.1))
    host.advance(30.0)
    assert not host.final_commands(job) and len(host.sent_to(job)) == 2
    host.balancer.attempt_ended(AttemptOutcome(job, 1, second, AttemptResult.SUCCEEDED, 0.1, final=True))
    assert not host.final_commands(job) and job not in host.balancer._pending


def test_operators_are_answered_at_once_while_bodies_pass() -> None:
    async def story() -> None:
        async def endless(talk: Talk) -> None:
            while True:
                await talk.request()
                await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * MB))
                for _ in range(16):
                    await talk.send(BODY)

        mgmt = free_address()
        async with served(*[endless] * 4, mgmt=mgmt) as (node, address, _):
            going = True

            async def reads() -> int:
                total = 0
                while going:
                    caller = await Caller().open(address)
                    caller.begin()
                    total += len((await caller.whole())[1])
                return total

            work = [asyncio.create_task(reads()) for _ in range(4)]
            while node.counters.read()["streams_open"] < 2:
                await asyncio.sleep(0.002)
            loop = asyncio.get_running_loop()
            for _ in range(10):
                began = loop.time()
                assert await call(mgmt, "GET", "/control/ready") == 200
                assert loop.time() - began < 1.0
            going = False
            assert sum(await asyncio.gather(*work)) >= 16 * MB
            await nothing_left(node)

    run(story())


@pytest.mark.parametrize("framing", ["length", "chunks", "end"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("held", ["caller", "server"])
def test_an_answer_under_way_moves_to_the_process_that_follows(
    framing: str, version: str, held: str, tmp_path: Path
) -> None:
    """A caller that reads slowly, or a server that pauses, outlasts the process that began the answer."""

    async def story() -> None:
        go_on = asyncio.Event()

        async def large(talk: Talk) -> None:
            await talk.request()
            head = {"length": b"Content-Length: %d" % (8 * MB), "chunks": b"Transfer-Encoding: chunked"}
            await talk.send(b"HTTP/1.1 200 OK\r\n" + head.get(framing, b"X: y") + b"\r\n\r\n")
            for number in range(8):
                if number == 1 and held == "server":
                    await go_on.wait()
                framed = b"%x\r\n%b\r\n" % (MB, BODY) if framing == "chunks" else BODY
                await talk.send(framed)
            await talk.send(b"0\r\n\r\n" if framing == "chunks" else b"")
            if framing != "end":
                await talk.reader.read()

        async with served(large, shared=tmp_path) as (old, address, _):
            caller = await Caller().open(address)
            caller.begin(version=version)
            await caller._reader.readuntil(b"\r\n\r\n")
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.002)
                old.stop()
                while old._client_listener.connected:  # all its callers are gone, this one among them
                    await asyncio.sleep(0.005)
                while not new.counters.read().get("streams_adopted"):
                    await asyncio.sleep(0.005)
                assert old.counters.read()["streams_migrated"] == new.counters.read()["streams_adopted"] == 1
                go_on.set()
                wanted, found = BODY * 8, bytearray()
                if framing == "length" or version == "1.0":
                    found += await caller._reader.readexactly(len(wanted))
                else:
                    while line := (await caller._reader.readline()).strip():
                        size = int(line, 16)
                        found += await caller._reader.readexactly(size)
                        await caller._reader.readexactly(2)
                        if size == 0:
                            break
                assert bytes(found) == wanted
                if version == "1.0":
                    assert await caller.closed()
                while new.counters.read()["streams_open"]:
                    await asyncio.sleep(0.002)
                caller.writer.close()
                while new._descriptors.in_use:
                    await asyncio.sleep(0.002)
                assert not new.counters.read().get("internal_errors") and not old.counters.read().get(
                    "internal_errors"
                )

    run(story())


def test_a_moved_answer_that_breaks_off_is_told_as_broken(tmp_path: Path) -> None:
    async def story() -> None:
        go_on = asyncio.Event()

        async def breaks(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (8 * MB), BODY)
            await go_on.wait()
            talk.reset()

        async with served(breaks, shared=tmp_path) as (old, address, _):
            caller = await Caller().open(address)
            caller.begin()
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.002)
                old.stop()
                while not new.counters.read().get("streams_adopted"):
                    await asyncio.sleep(0.002)
                go_on.set()
                status, body, whole = await caller.whole()
                assert status == 200 and not whole and len(body) <= MB
                while new._descriptors.in_use or new.counters.read()["streams_open"]:
                    await asyncio.sleep(0.002)
                assert new.counters.read()["streams_truncated"] == 1

    run(story())


def test_an_answer_stays_where_no_process_can_take_it(tmp_path: Path) -> None:
    async def story() -> None:
        go_on = asyncio.Event()

        async def pauses(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MB), BODY)
            await go_on.wait()
            await talk.send(BODY)

        async with served(pauses, shared=tmp_path) as (old, address, _):
            caller = await Caller().open(address)
            caller.begin(left=3000)
            async with running(shared=tmp_path, listen=address, known=False):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.002)
                (tmp_path / shared_folder.STREAMS_SOCKET).unlink()
                old.stop()
                await asyncio.sleep(0.3)
                go_on.set()
                status, body, whole = await caller.whole()
                assert (status, body == BODY * 2, whole) == (200, True, True)

    run(story())


@pytest.mark.parametrize("missing", ["descriptor", "room"])
def test_an_answer_moves_though_the_way_could_not_be_opened_at_first(
    missing: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No descriptor is left in that moment, or too many knock at the process that follows."""
    failures = [errno.EMFILE if missing == "descriptor" else errno.EAGAIN] * 2
    opens = handover.StreamSender.__init__

    def fails_at_first(giver: handover.StreamSender, *told: Any) -> None:
        if failures:
            raise OSError(failures.pop(), "for now")
        opens(giver, *told)

    async def story() -> None:
        go_on = asyncio.Event()

        async def pauses(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MB), BODY)
            await go_on.wait()
            await talk.send(BODY)

        async with served(pauses, shared=tmp_path) as (old, address, _):
            caller = await Caller().open(address)
            caller.begin(left=3000)
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.002)
                monkeypatch.setattr(handover.StreamSender, "__init__", fails_at_first)
                old.stop()
                async with asyncio.timeout(10):
                    while old._client_listener.connected:
                        await asyncio.sleep(0.005)
                assert old.counters.read()["streams_migrated"] == 1 and not failures
                go_on.set()
                assert await caller.whole() == (200, BODY * 2, True)
                assert new.counters.read()["streams_adopted"] == 1
                caller.writer.close()

    run(story())


@pytest.mark.parametrize("missing", [None, errno.EMFILE, errno.EAGAIN])
def test_an_answer_moves_to_the_process_after_the_one_that_followed_and_has_gone(
    missing: int | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It ends between two looks; by then a third one has the place, maybe out of reach for a moment."""
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", 8.0)
    connect, failures = socket.socket.connect, [missing]

    def fails_once(sock: socket.socket, place: Any) -> None:
        if str(place).endswith(shared_folder.STREAMS_SOCKET) and (
            failure := failures.pop() if failures else None
        ):
            raise OSError(failure, "for now")
        connect(sock, place)

    async def story() -> None:
        go_on, ends = asyncio.Event(), asyncio.Event()

        async def late(talk: Talk) -> None:
            await talk.request()
            await go_on.wait()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MB), BODY)
            await ends.wait()
            await talk.send(BODY)

        async with served(late, shared=tmp_path) as (old, address, _), contextlib.AsyncExitStack() as middle:
            caller = await Caller().open(address)
            caller.begin(left=20_000)
            again: dict[str, Any] = {"shared": tmp_path, "listen": address, "known": False}
            follower, _ = await middle.enter_async_context(running(**again))
            while old._handover is None or not old._handover.has_successor:
                await asyncio.sleep(0.002)
            old.stop()
            while old._clients.migrate_stream is None:
                await asyncio.sleep(0.002)
            async with running(**again) as (last, _):
                while follower._handover is None or not follower._handover.has_successor:
                    await asyncio.sleep(0.002)
                await middle.aclose()
                while old._handover.peer_count:
                    await asyncio.sleep(0.002)
                monkeypatch.setattr(socket.socket, "connect", fails_once)
                go_on.set()
                async with asyncio.timeout(10):
                    while old._client_listener.connected:
                        await asyncio.sleep(0.002)
                    while not last.counters.read().get("streams_adopted"):
                        await asyncio.sleep(0.002)
                ends.set()
                assert await caller.whole() == (200, BODY * 2, True)
                assert not follower.counters.read().get("streams_adopted") and not failures
                caller.writer.close()

    run(story())


def test_no_answer_moves_to_the_process_that_it_is_to_leave(tmp_path: Path) -> None:
    """The place is its own: the one that followed has gone, or has found no descriptor to take it."""

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.002)
            assert node._handover.open_stream_sender() is None and len(node._handover._stream_sockets) == 1

    run(story())


def test_a_body_that_is_not_whole_by_the_nodes_end_is_turned_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", -1.5)  # the node's end is 0.2 s after it was asked to

    async def story() -> None:
        ran = []

        async def counts(talk: Talk) -> None:
            ran.append(await talk.request())

        async with served(counts) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin(BODY)
            caller.send(BODY[:200_000])
            while not node.counters.read().get("attempts_first"):
                await asyncio.sleep(0.002)
            node.stop()
            answer = await caller.answer()
            assert answer.status == 503 and not answer.keep_alive
            assert not ran

    run(story())


def test_many_answers_move_though_the_way_is_full_at_times(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tries: list[bool] = []
    gives = handover.StreamSender.__call__

    def full_at_first(giver: handover.StreamSender, *stream: Any) -> bool:
        tries.append(len(tries) % 3 == 2)
        if not tries[-1]:
            raise BlockingIOError
        return gives(giver, *stream)

    monkeypatch.setattr(handover.StreamSender, "__call__", full_at_first)

    async def story() -> None:
        async def large(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (4 * MB), BODY * 4)
            await talk.reader.read()

        async with served(large, large, large, shared=tmp_path) as (old, address, _):
            opened = [await Caller().open(address) for _ in range(6)]
            for caller in opened:
                caller.begin()
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old.counters.read().get("responses_streamed", 0) < 3:
                    await asyncio.sleep(0.002)
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.002)
                old.stop()
                for caller in opened:
                    status, body, whole = await caller.whole()
                    assert whole and (status, len(body)) in ((200, 4 * MB), (503, 0))
                while old._client_listener.connected:
                    await asyncio.sleep(0.002)
                moved = old.counters.read().get("streams_migrated", 0)
                while new.counters.read().get("streams_adopted", 0) < moved:
                    await asyncio.sleep(0.005)
                assert moved == sum(tries)

    run(story())


@pytest.mark.parametrize("last", ["the node parts", "the caller says close"])
def test_an_early_answer_does_not_end_the_connection_over_a_body_that_still_comes(last: str) -> None:
    """The node has turned the job back; a slow caller reads that only once all of its body is sent."""

    async def story() -> None:
        async with served() as (node, address, _):
            if last == "the node parts":
                node._clients.announce_closing()
            caller = await Caller().open(address)
            extra = "Connection: close\r\n" if last != "the node parts" else ""
            caller.ask("POST", extra=f"{extra}Transfer-Encoding: chunked\r\n")
            caller.send(b"%x\r\n%b" % (MB, BODY[:100_000]))
            answer = await caller.answer()
            assert (answer.status, answer.keep_alive) == (503, False)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await caller._reader.read(1)
            caller.send(BODY[100_000:] + b"\r\n0\r\n\r\n")
            assert await caller.closed()

    run(story())


async def never_ends(talk: Talk) -> None:
    """A large answer that only the end of its connection would end."""
    await talk.request()
    await talk.send(b"HTTP/1.1 200 OK\r\n\r\n" + BODY[:200_000])
    await talk.reader.read()


def test_the_nodes_own_end_of_a_connection_is_no_answers_end() -> None:
    async def story() -> None:
        async with Scripted(never_ends) as peer:
            sent = Dispatches(peer)
            begun: asyncio.Future[Download] = asyncio.get_running_loop().create_future()
            work = asyncio.create_task(
                sent.servers.attempt(
                    AttemptSpec("s0", sent.clock + 2.0, on_response_start=begun.set_result), JOB
                )
            )
            download = await begun
            work.cancel()
            await asyncio.wait({work})
            with pytest.raises(ConnectionLostError):
                while not download.finished:
                    await download.read_more()
                    download.take_piece()
            download.close()

    run(story())


def test_an_answer_that_begins_after_its_recall_is_not_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    begun = BalancerEngine.report_response_started

    def recalled(self: BalancerEngine, ticket: RequestHandle, dispatch: int) -> bool:
        self._issue_command(ticket.number, CancelAttempt(dispatch))  # it waits to be picked
        return begun(self, ticket, dispatch)

    async def story() -> None:
        monkeypatch.setattr(BalancerEngine, "report_response_started", recalled)
        async with served(never_ends) as (node, address, _):
            caller = await Caller().open(address)
            caller.begin()
            status, body, _ = await caller.whole()
            assert status in (502, 503) and not body
            await nothing_left(node)

    run(story())


def test_nothing_of_an_answer_is_read_here_once_it_has_moved() -> None:
    """An event that is already due comes after the move: what it tells of belongs to the other process."""

    async def story() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        kept = ours.dup()
        connection = upstream_connection.UpstreamConnection(("", 0), ours)
        download = body_streaming.Download(
            StreamBuffers(), connection, ResponseReader(), Response(200, more_body=True)
        )
        assert download.take_buffered()
        theirs.send(b"more")
        download.move()
        connection._stream._handle_events(ours.fileno(), 1)  # readable
        assert kept.recv(10) == b"more"
        download.close()
        kept.close()
        theirs.close()

    run(story())


async def ask_ready_on(caller: Caller) -> int:
    caller.send(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
    return (await caller.answer()).status


@pytest.mark.parametrize("answered", ["before the move", "at the node's end"])
def test_a_body_that_outlasts_the_process_is_read_on_by_the_one_that_follows(
    answered: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its caller has its answer, and reads that only once all of its body is sent."""
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", -1.4)  # the node's end is 0.3 s after it was asked to

    async def story() -> None:
        ran: list[object] = []

        async def counts(talk: Talk) -> None:
            ran.append(await talk.request())

        async def fails(talk: Talk) -> None:
            await talk.request(most=1)
            await talk.send(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")

        early = answered == "before the move"
        async with served(fails if early else counts, shared=tmp_path) as (old, address, _):
            caller = await Caller().open(address)
            caller.ask("POST", extra="Transfer-Encoding: chunked\r\n")
            caller.send(b"%x\r\n%b" % (MB, BODY[:200_000]))
            what = "responses_failed" if early else "attempts_first"
            while not old.counters.read().get(what):
                await asyncio.sleep(0.002)
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.002)
                old.stop()
                while not new.counters.read().get("uploads_adopted"):
                    await asyncio.sleep(0.002)
                while old._client_listener.connected:
                    await asyncio.sleep(0.002)
                caller.send(BODY[200_000:] + b"\r\n0\r\n\r\n")
                answer = await caller.answer()
                assert (answer.status, answer.keep_alive) == ((502, True) if early else (503, False))
                if early:  # it goes on as any caller, with the process that has it now
                    assert await ask_ready_on(caller) == 200
                else:
                    assert await caller.closed()
                assert not ran and old.counters.read()["uploads_migrated"] == 1

    run(story())


@pytest.mark.parametrize("recalls", [True, False])
def test_a_body_whose_caller_goes_is_broken_off_whether_or_not_jobs_are_recalled(recalls: bool) -> None:
    async def story() -> None:
        async with served(never_ends, cancellation=recalls) as (node, address, (peer,)):
            caller = await Caller().open(address)
            caller.begin(BODY)
            caller.send(BODY[:200_000])
            while not peer.connections:
                await asyncio.sleep(0.002)
            caller.writer.close()
            await nothing_left(node)

    run(story())


@pytest.mark.parametrize("goes", [True, False])
def test_a_server_that_takes_nothing_of_a_body_is_given_up(
    goes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_connection, "STALL_TIMEOUT_S", 0.5)

    async def story() -> None:
        over = asyncio.Event()

        async def takes_nothing(talk: Talk) -> None:
            await over.wait()

        async with served(takes_nothing, cancellation=False) as (node, address, (peer,)):
            caller = await Caller().open(address)
            caller.begin(BODY * 16)
            caller.send(BODY * 16)
            while not peer.connections:
                await asyncio.sleep(0.002)
            if goes:
                caller.writer.transport.abort()
            else:
                assert (await caller.answer()).status == 503
            await nothing_left(node)
            over.set()

    run(story())


@pytest.mark.parametrize("recalls", [True, False])
def test_a_connection_is_not_kept_in_the_midst_of_an_answer_whose_caller_has_gone(recalls: bool) -> None:
    answered = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"

    async def story() -> None:
        left = asyncio.Event()

        async def pauses(talk: Talk) -> None:
            request, _ = await talk.request()
            if not request.body:
                await talk.send(answered % (2, b"ok"))
                return
            await talk.send(answered % (400_000, BODY[:200_000]))
            await left.wait()
            await talk.send(BODY[:1000])
            await talk.request()
            # What is still to come of the first answer reads like one to the request after it.
            await talk.send(answered % (6, b"forged"))

        async with served(pauses, cancellation=recalls) as (node, address, (peer,)):
            caller = await Caller().open(address)
            caller.begin(b"body")
            caller.send(b"body")
            await caller._reader.readuntil(b"\r\n\r\n")
            await caller._reader.readexactly(200_000)
            caller.writer.transport.abort()
            (held,) = node._clients.connections
            while not held._stream.closed():
                await asyncio.sleep(0.002)
            left.set()
            await nothing_left(node)
            await asyncio.sleep(
                2 * upstream.MIN_IDLE_BEFORE_REUSE_S
            )  # a kept connection may be used again by then
            caller = await Caller().open(address)
            caller.begin()
            assert await caller.whole() == (200, b"ok", True) and peer.connections == 2

    run(story())


def test_a_body_does_not_become_whole_at_a_server_that_was_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_connection, "STALL_TIMEOUT_S", 0.2)
    given_up, last = False, b"the last of it"
    taken, write = upstream_connection.UpstreamConnection._wait_written, IOStream.write_to_fd

    async def notes_the_end(self: upstream_connection.UpstreamConnection, *args: Any) -> None:
        nonlocal given_up
        try:
            await taken(self, *args)
        except upstream_connection.RequestNotSentError:
            given_up = True
            raise

    def takes_the_last_once_it_is_late(stream: IOStream, data: memoryview) -> int | None:
        if type(stream) is NodeStream and bytes(data[-len(last) :]) == last and not given_up:
            raise BlockingIOError
        return write(stream, data)

    async def story() -> None:
        ran: list[Request] = []

        async def takes_all(talk: Talk) -> None:
            ran.append((await talk.request())[0])
            await talk.request()

        async with served(takes_all) as (node, address, (peer,)):
            monkeypatch.setattr(upstream_connection.UpstreamConnection, "_wait_written", notes_the_end)
            monkeypatch.setattr(IOStream, "write_to_fd", takes_the_last_once_it_is_late)
            caller = await Caller().open(address)
            caller.begin(BODY + last)
            caller.send(BODY + last)
            assert (await caller.answer()).status == 503 and given_up
            async with asyncio.timeout(5):
                await peer.gone.wait()
            assert not ran
            await nothing_left(node)

    run(story())


def test_a_large_answer_that_the_node_fails_to_pass_on_leaves_no_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pick = BalancerEngine.next_command

    async def misses_the_beginning(self: BalancerEngine, ticket: RequestHandle) -> Any:
        order = await pick(self, ticket)
        if isinstance(order, StartResponse):
            raise RuntimeError("own")
        return order

    async def story() -> None:
        monkeypatch.setattr(BalancerEngine, "next_command", misses_the_beginning)
        async with served(never_ends) as (node, address, (peer,)):
            caller = await Caller().open(address)
            caller.begin()
            assert (await caller.whole())[0] == 500
            async with asyncio.timeout(5):
                await peer.gone.wait()
            assert node.counters.read()["streams_open"] == 0

    run(story())


def test_answers_that_end_with_their_connection_tell_nothing_of_how_long_one_is_kept() -> None:
    async def story() -> None:
        async def large_to_the_end(talk: Talk) -> None:
            while (await talk.request())[0].method == "GET":
                await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await talk.send(b"HTTP/1.1 200 OK\r\n\r\n", BODY)

        async with served(large_to_the_end) as (node, address, (peer,)):
            caller = await Caller().open(address)
            for _ in range(upstream.MIN_IDLE_LIFETIMES + 1):
                caller.begin(b"")
                status, body, _ = await caller.whole()
                assert (status, body) == (200, BODY)
                await nothing_left(node)
                await asyncio.sleep(
                    2 * upstream.MIN_IDLE_BEFORE_REUSE_S
                )  # a kept connection may be used again by then
            before = peer.connections
            for _ in range(3):
                caller.begin()
                assert await caller.whole() == (200, b"ok", True)
                await asyncio.sleep(2 * upstream.MIN_IDLE_BEFORE_REUSE_S)
            assert peer.connections == before + 1

    run(story())
