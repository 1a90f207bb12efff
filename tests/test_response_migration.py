"""Responses and uploads that migrate, in the middle of a body, to the process that replaces this one."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from notchjunction.http1.messages import Response
from notchjunction.http1.parser import ResponseReader
from notchjunction.net import body_streaming, upstream_connection
from notchjunction.net.body_streaming import StreamBuffers
from notchjunction.net.client_connection import ClientConnection
from notchjunction.net.client_registry import ClientRegistry
from notchjunction.node.node import Node
from notchjunction.upgrade import handover, shared_folder, shutdown
from tests.helpers import Peer, running
from tests.test_large_bodies import (
    BODY,
    MB,
    BodyClient,
    ScriptedConnection,
    running_with_scripts,
    send_half_and_wait,
)
from tests.test_net import run


async def wait_for_successor(process: Node) -> None:
    """Wait until another process can take this one's place."""
    while process._handover is None or not process._handover.has_successor:
        await asyncio.sleep(0.002)


async def wait_for_counter(process: Node, name: str) -> None:
    """Wait until a counter is above 0."""
    while not process.counters.read().get(name):
        await asyncio.sleep(0.002)


async def wait_without_clients(process: Node) -> None:
    """Wait until a process has no client left."""
    while process._client_listener.connected:
        await asyncio.sleep(0.002)


async def read_chunked_body(client: BodyClient) -> bytes:
    """Read a body in chunks up to its end."""
    received, size = bytearray(), -1
    while size:
        size = int(await client._reader.readline(), 16)
        received += await client._reader.readexactly(size)
        await client._reader.readexactly(2)
    return bytes(received)


@pytest.mark.parametrize("framing", ["length", "chunks", "end"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("slow_side", ["client", "server"])
def test_response_in_progress_migrates_to_the_successor(
    framing: str, version: str, slow_side: str, tmp_path: Path
) -> None:
    """A client that reads slowly, or a server that pauses, outlasts the process that began the response."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def send_8_mb(connection: ScriptedConnection) -> None:
            await connection.read_request()
            head = {"length": b"Content-Length: %d" % (8 * MB), "chunks": b"Transfer-Encoding: chunked"}
            await connection.send(b"HTTP/1.1 200 OK\r\n" + head.get(framing, b"X: y") + b"\r\n\r\n")
            for number in range(8):
                if number == 1 and slow_side == "server":
                    await go_on.wait()
                piece = b"%x\r\n%b\r\n" % (MB, BODY) if framing == "chunks" else BODY
                await connection.send(piece)
            await connection.send(b"0\r\n\r\n" if framing == "chunks" else b"")
            if framing != "end":
                await connection.reader.read()

        async with running_with_scripts(send_8_mb, shared=tmp_path) as (old, address, _):
            client = await BodyClient().open(address)
            client.begin_request(version=version)
            await client._reader.readuntil(b"\r\n\r\n")
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                await wait_for_successor(old)
                old.stop()
                await wait_without_clients(old)
                await wait_for_counter(new, "streams_adopted")
                assert old.counters.read()["streams_migrated"] == new.counters.read()["streams_adopted"] == 1
                go_on.set()
                expected, received = BODY * 8, bytearray()
                if framing == "length" or version == "1.0":
                    received += await client._reader.readexactly(len(expected))
                else:
                    received += await read_chunked_body(client)
                assert bytes(received) == expected
                if version == "1.0":
                    assert await client.closed()
                while new.counters.read()["streams_open"]:
                    await asyncio.sleep(0.002)
                client.writer.close()
                while new._descriptors.in_use:
                    await asyncio.sleep(0.002)
                assert not new.counters.read().get("internal_errors") and not old.counters.read().get(
                    "internal_errors"
                )

    run(scenario())


def test_migrated_response_that_breaks_off_is_truncated(tmp_path: Path) -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def break_off(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (8 * MB), BODY)
            await go_on.wait()
            connection.reset()

        async with running_with_scripts(break_off, shared=tmp_path) as (old, address, _):
            client = await BodyClient().open(address)
            client.begin_request()
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                await wait_for_successor(old)
                old.stop()
                await wait_for_counter(new, "streams_adopted")
                go_on.set()
                status, body, complete = await client.read_response()
                assert status == 200 and not complete and len(body) <= MB
                while new._descriptors.in_use or new.counters.read()["streams_open"]:
                    await asyncio.sleep(0.002)
                assert new.counters.read()["streams_truncated"] == 1

    run(scenario())


def test_response_stays_when_no_process_can_adopt_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async with running_with_scripts(send_half_and_wait(go_on), shared=tmp_path) as (old, address, _):
            client = await BodyClient().open(address)
            client.begin_request(deadline_ms=3000)
            async with running(shared=tmp_path, listen=address, known=False):
                await wait_for_successor(old)
                (tmp_path / shared_folder.STREAMS_SOCKET).unlink()
                old.stop()
                await asyncio.sleep(0.3)
                go_on.set()
                status, body, complete = await client.read_response()
                assert (status, body == BODY * 2, complete) == (200, True, True)

    run(scenario())


@pytest.mark.parametrize("missing", ["descriptor", "queue space"])
def test_response_migrates_although_the_stream_socket_could_not_be_opened_at_first(
    missing: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No descriptor is free at that moment, or the queue of the successor's socket is full."""
    failures = [errno.EMFILE if missing == "descriptor" else errno.EAGAIN] * 2
    original_init = handover.StreamSender.__init__

    def fail_at_first(sender: handover.StreamSender, *args: Any) -> None:
        if failures:
            raise OSError(failures.pop(), "temporary")
        original_init(sender, *args)

    async def scenario() -> None:
        go_on = asyncio.Event()

        async with running_with_scripts(send_half_and_wait(go_on), shared=tmp_path) as (old, address, _):
            client = await BodyClient().open(address)
            client.begin_request(deadline_ms=3000)
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                await wait_for_successor(old)
                monkeypatch.setattr(handover.StreamSender, "__init__", fail_at_first)
                old.stop()
                async with asyncio.timeout(10):
                    await wait_without_clients(old)
                assert old.counters.read()["streams_migrated"] == 1 and not failures
                go_on.set()
                assert await client.read_response() == (200, BODY * 2, True)
                assert new.counters.read()["streams_adopted"] == 1
                client.writer.close()

    run(scenario())


@pytest.mark.parametrize("failure", [None, errno.EMFILE, errno.EAGAIN])
def test_response_migrates_to_the_third_process_after_the_second_has_stopped(
    failure: int | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second process stops between two checks. A third one owns the stream socket then.

    The first connect to it may fail.
    """
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", 8.0)
    connect, failures = socket.socket.connect, [failure]

    def fail_once(sock: socket.socket, address: Any) -> None:
        if str(address).endswith(shared_folder.STREAMS_SOCKET) and (
            error_number := failures.pop() if failures else None
        ):
            raise OSError(error_number, "temporary")
        connect(sock, address)

    async def scenario() -> None:
        go_on, finish = asyncio.Event(), asyncio.Event()

        async def respond_late(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await go_on.wait()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MB), BODY)
            await finish.wait()
            await connection.send(BODY)

        async with (
            running_with_scripts(respond_late, shared=tmp_path) as (first, address, _),
            contextlib.AsyncExitStack() as second_stack,
        ):
            client = await BodyClient().open(address)
            client.begin_request(deadline_ms=20_000)
            options: dict[str, Any] = {"shared": tmp_path, "listen": address, "known": False}
            second, _ = await second_stack.enter_async_context(running(**options))
            await wait_for_successor(first)
            first.stop()
            while first._clients.migrate_stream is None:
                await asyncio.sleep(0.002)
            async with running(**options) as (third, _):
                await wait_for_successor(second)
                await second_stack.aclose()
                assert first._handover is not None
                while first._handover.peer_count:
                    await asyncio.sleep(0.002)
                monkeypatch.setattr(socket.socket, "connect", fail_once)
                go_on.set()
                async with asyncio.timeout(10):
                    await wait_without_clients(first)
                    await wait_for_counter(third, "streams_adopted")
                finish.set()
                assert await client.read_response() == (200, BODY * 2, True)
                assert not second.counters.read().get("streams_adopted") and not failures
                client.writer.close()

    run(scenario())


def test_process_does_not_migrate_responses_to_itself(tmp_path: Path) -> None:
    """The stream socket may be its own: its successor has stopped, or had no descriptor to take it over."""

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.002)
            assert node._handover.open_stream_sender() is None and len(node._handover._stream_sockets) == 1

    run(scenario())


def test_many_responses_migrate_although_the_stream_socket_is_sometimes_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    accepted: list[bool] = []
    original_call = handover.StreamSender.__call__

    def block_two_of_three(sender: handover.StreamSender, *stream: Any) -> bool:
        accepted.append(len(accepted) % 3 == 2)
        if not accepted[-1]:
            raise BlockingIOError
        return original_call(sender, *stream)

    monkeypatch.setattr(handover.StreamSender, "__call__", block_two_of_three)

    async def scenario() -> None:
        async def send_4_mb(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (4 * MB), BODY * 4)
            await connection.reader.read()

        async with running_with_scripts(send_4_mb, send_4_mb, send_4_mb, shared=tmp_path) as (
            old,
            address,
            _,
        ):
            clients = [await BodyClient().open(address) for _ in range(6)]
            for client in clients:
                client.begin_request()
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old.counters.read().get("responses_streamed", 0) < 3:
                    await asyncio.sleep(0.002)
                await wait_for_successor(old)
                old.stop()
                for client in clients:
                    status, body, complete = await client.read_response()
                    assert complete and (status, len(body)) in ((200, 4 * MB), (503, 0))
                await wait_without_clients(old)
                migrated = old.counters.read().get("streams_migrated", 0)
                while new.counters.read().get("streams_adopted", 0) < migrated:
                    await asyncio.sleep(0.005)
                assert migrated == sum(accepted)

    run(scenario())


def test_migrated_response_is_not_read_by_the_old_process() -> None:
    """An event may arrive after the migration: the bytes that it reports belong to the other process."""

    async def scenario() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        other_process_socket = ours.dup()
        connection = upstream_connection.UpstreamConnection(("", 0), ours)
        download = body_streaming.Download(
            StreamBuffers(), connection, ResponseReader(), Response(200, more_body=True)
        )
        assert download.take_buffered()
        theirs.send(b"more")
        download.move()
        connection._stream._handle_events(ours.fileno(), 1)  # readable
        assert other_process_socket.recv(10) == b"more"
        download.close()
        other_process_socket.close()
        theirs.close()

    run(scenario())


async def request_ready_status(client: BodyClient) -> int:
    client.send(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
    return (await client.answer()).status


@pytest.mark.parametrize("response_sent", ["before migration", "at the shutdown deadline"])
def test_unfinished_upload_is_read_to_its_end_by_the_successor(
    response_sent: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client has been sent its response, and reads it only after it has sent its whole body."""
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", -1.4)  # the shutdown deadline is 0.3 s after `stop`

    async def scenario() -> None:
        received: list[object] = []

        async def record_request(connection: ScriptedConnection) -> None:
            received.append(await connection.read_request())

        async def respond_500(connection: ScriptedConnection) -> None:
            await connection.read_request(max_bytes=1)
            await connection.send(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            await (
                connection.reader.read()
            )  # a close over unread bytes would reset it, and destroy the response

        early = response_sent == "before migration"
        async with running_with_scripts(respond_500 if early else record_request, shared=tmp_path) as (
            old,
            address,
            _,
        ):
            client = await BodyClient().open(address)
            client.ask("POST", extra="Transfer-Encoding: chunked\r\n")
            client.send(b"%x\r\n%b" % (MB, BODY[:200_000]))
            counter = "responses_failed" if early else "attempts_first"
            while not old.counters.read().get(counter):
                await asyncio.sleep(0.002)
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                await wait_for_successor(old)
                old.stop()
                await wait_for_counter(new, "uploads_adopted")
                await wait_without_clients(old)
                client.send(BODY[200_000:] + b"\r\n0\r\n\r\n")
                response = await client.answer()
                assert (response.status, response.keep_alive) == ((502, True) if early else (503, False))
                if early:  # the new process serves it like any other client
                    assert await request_ready_status(client) == 200
                else:
                    assert await client.closed()
                assert not received and old.counters.read()["uploads_migrated"] == 1

    run(scenario())


BODY_END = b"END"
TAIL_BODY = b"x" * 200_000 + BODY_END
CHUNKED_END = b"0\r\n\r\n"


def stop_accepting(connection: ClientConnection, accepted: int | None, held_back: int) -> None:
    """Makes a client's socket accept no more bytes, as if the client read no further.

    It stops after the first `accepted` bytes, or else where the last `held_back` bytes of a response begin.
    """
    stream = connection._stream
    write, remaining = stream.write_to_fd, accepted

    def write_some(data: memoryview) -> int:
        nonlocal remaining
        if remaining is None and bytes(data).endswith((BODY_END, CHUNKED_END)):
            remaining = max(0, len(data) - held_back)
        if remaining == 0:
            raise BlockingIOError(errno.EAGAIN, "the socket is full")
        count = write(data[:remaining])
        remaining = None if remaining is None else remaining - count
        return count

    stream.write_to_fd = write_some  # type: ignore[method-assign]


def response_of(framing: str, body: bytes) -> bytes:
    head = {"length": b"Content-Length: %d" % len(body), "chunks": b"Transfer-Encoding: chunked"}
    framed = b"%x\r\n%b\r\n" % (len(body), body) + CHUNKED_END if framing == "chunks" else body
    return b"HTTP/1.1 200 OK\r\n" + head.get(framing, b"X: y") + b"\r\n\r\n" + framed


async def read_body(client: BodyClient) -> bytes:
    """Read a whole response and return its body."""
    head = await client._reader.readuntil(b"\r\n\r\n")
    if b"chunked" in head.lower():
        return await read_chunked_body(client)
    size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return await client._reader.readexactly(size)


class EndpointResponse(NamedTuple):
    """How an endpoint sends its response."""

    framing: str
    closes: bool  # its connection, right behind the response
    body: bytes = TAIL_BODY


@pytest.mark.parametrize(
    ("accepted", "held_back"), [(10, 0), (100_000, 0), (None, 1), (None, 60_000)], ids=str
)
@pytest.mark.parametrize(
    "response",
    [
        EndpointResponse("length", closes=False, body=TAIL_BODY[-5000:]),
        EndpointResponse("length", closes=False),
        EndpointResponse("length", closes=True),
        EndpointResponse("chunks", closes=False),
        EndpointResponse("end", closes=True),
    ],
    ids=["small", "length", "closed", "chunks", "end"],
)
def test_rest_of_a_response_migrates_whichever_byte_it_stands_at(
    response: EndpointResponse,
    accepted: int | None,
    held_back: int,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a response cut off in an upgrade because its endpoint has sent the last byte.

    Two upgrades follow one another, and the client reads nothing more until the second is over.
    """
    upgrades = 2
    if accepted is not None:
        accepted = min(accepted, len(response.body) - 1000)
    deaf_processes = upgrades

    def stop_if_deaf(connection: ClientConnection) -> None:
        nonlocal deaf_processes
        if deaf_processes:
            deaf_processes -= 1
            is_first = deaf_processes == upgrades - 1
            stop_accepting(connection, accepted if is_first else 0, held_back)

    async def scenario() -> None:
        async def send_all(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(response_of(response.framing, response.body))
            if not response.closes:
                await connection.reader.read()

        async with contextlib.AsyncExitStack() as stack:
            process, address, _ = await stack.enter_async_context(
                running_with_scripts(send_all, shared=tmp_path)
            )
            new_connection = ClientRegistry._new_connection

            def create(registry: ClientRegistry, sock: socket.socket, over_limit: bool) -> ClientConnection:
                connection = new_connection(registry, sock, over_limit)
                stop_if_deaf(connection)
                return connection

            monkeypatch.setattr(ClientRegistry, "_new_connection", create)
            client = await BodyClient().open(address)
            client.begin_request()
            await wait_for_counter(process, "attempts_first")
            for _ in range(upgrades):
                successor, _ = await stack.enter_async_context(
                    running(shared=tmp_path, listen=address, known=False)
                )
                await wait_for_successor(process)
                process.stop()
                async with asyncio.timeout(5):
                    await wait_for_counter(successor, "streams_adopted")
                    await wait_without_clients(process)
                process = successor
            async with asyncio.timeout(5):
                assert await read_body(client) == response.body
            async with asyncio.timeout(5):
                while process.counters.read()["streams_open"] or len(process._clients.request_ids):
                    await asyncio.sleep(0.001)
            assert not process.counters.read().get("internal_errors")
            client.writer.close()

    run(scenario())
