"""Peers that take bytes slowly and without a pause, and peers that take none."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import math
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from notchjunction.addresses import Address
from notchjunction.net import write_stall
from notchjunction.net.socket_stream import NodeStream
from notchjunction.net.write_stall import WriteStallDetector, wait_until_written
from notchjunction.node.node import Node
from tests.helpers import running
from tests.test_large_bodies import (
    BODY,
    MB,
    BodyClient,
    ScriptedConnection,
    running_with_scripts,
    wait_until_idle,
)
from tests.test_net import run
from tests.test_response_migration import wait_for_counter, wait_for_successor

# A third of a full send buffer is 1.3 MB; at the slow pace that takes twice as long as this.
STALL_TIMEOUT_S = 1.0
SLOW_READ_BYTES = 64_000
SLOW_READ_INTERVAL_S = 0.1
SLOW_S = 3.0  # the rest is read at full speed, so that the end is seen soon
SCHEDULING_SLACK_S = 1.0
LARGE_BODY = BODY * 12


async def read_slowly(read: Callable[[int], Awaitable[bytes]], max_bytes: float = math.inf) -> bytes:
    """Read until the end or so many bytes, slowly at first, and return them."""
    loop = asyncio.get_running_loop()
    slow_until = loop.time() + SLOW_S
    received = bytearray()
    while len(received) < max_bytes and (piece := await read(SLOW_READ_BYTES)):
        received += piece
        if loop.time() < slow_until:
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
    return bytes(received)


async def request_large_body(address: Address) -> socket.socket:
    """Return a socket on which the response to a request is under way, and its connection then ends."""
    sock = socket.socket()
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(
        sock,
        b"GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Kind: plain\r\nReq-Deadline-Ms: 2000\r\n"
        b"Connection: close\r\n\r\n",
    )
    return sock


async def receive_slowly(sock: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    return await read_slowly(lambda size: loop.sock_recv(sock, size))


async def send_large_body(connection: ScriptedConnection) -> None:
    await connection.read_request()
    await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY), LARGE_BODY)


async def stop_after_handover(old: Node, new: Node) -> None:
    """Stop the old process, and wait until the new one has adopted its response."""
    await wait_for_successor(old)
    old.stop()
    async with asyncio.timeout(5):
        await wait_for_counter(new, "streams_adopted")


def test_response_to_a_client_that_reads_slowly_is_not_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a slow client for one that has gone, as its full send buffer accepts no bytes."""
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)

    async def scenario() -> None:
        async with running_with_scripts(send_large_body) as (node, address, _):
            with await request_large_body(address) as sock:
                received = await receive_slowly(sock)
            assert received.endswith(LARGE_BODY)
            await wait_until_idle(node)

    run(scenario())


def test_upload_to_a_server_that_reads_slowly_is_not_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a slow server for one that reads nothing, as the send buffer accepts no bytes."""
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)

    async def scenario() -> None:
        received = b""

        async def read_request_slowly(connection: ScriptedConnection) -> None:
            nonlocal received
            head = await connection.reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: %d" % len(LARGE_BODY) in head
            received = await read_slowly(connection.reader.read, len(LARGE_BODY))
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async with running_with_scripts(read_request_slowly) as (_, address, _):
            client = await BodyClient().open(address)
            client.begin_request(LARGE_BODY, deadline_ms=2000)
            client.send(LARGE_BODY)
            assert await client.read_response() == (200, b"ok", True)
            assert received == LARGE_BODY

    run(scenario())


def test_migrated_response_to_a_client_that_reads_slowly_is_not_cut_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the same in the process that adopts the response, whose first write waits at once."""
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)

    async def scenario() -> None:
        async with running_with_scripts(send_large_body, shared=tmp_path) as (old, address, _):
            with await request_large_body(address) as sock:
                while not old.counters.read()["streams_open"]:
                    await asyncio.sleep(0.002)
                reading = asyncio.create_task(receive_slowly(sock))
                async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                    await stop_after_handover(old, new)
                    assert (await reading).endswith(LARGE_BODY)

    run(scenario())


def connect_streams() -> tuple[NodeStream, socket.socket]:
    """Return a stream and the socket of its peer."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        peer = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return NodeStream(accepted), peer


def test_a_peer_that_stops_reading_has_stalled_although_it_has_read_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)

    async def scenario() -> None:
        stream, peer = connect_streams()
        with peer:
            writing = stream.write(bytes(16 * MB))
            detector = WriteStallDetector(stream)
            loop = asyncio.get_running_loop()
            slow_until = loop.time() + 2 * STALL_TIMEOUT_S
            while loop.time() < slow_until:
                await loop.run_in_executor(None, peer.recv, SLOW_READ_BYTES)
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
                assert not detector.has_stalled()
            started_at = loop.time()
            with pytest.raises(OSError):
                await wait_until_written(stream, writing)
            # The last bytes are acknowledged at some moment between two checks.
            latest = STALL_TIMEOUT_S + write_stall.CHECK_INTERVAL_S + SCHEDULING_SLACK_S
            assert STALL_TIMEOUT_S <= loop.time() - started_at < latest
            stream.close()

    run(scenario())


def test_acknowledged_bytes_are_unknown_if_the_system_cannot_tell(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: Any) -> None:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))

    async def scenario() -> None:
        stream, peer = connect_streams()
        with peer:
            await stream.write(b"abc")
            while stream.bytes_acknowledged() != 3:
                await asyncio.sleep(0.001)
            monkeypatch.setattr(fcntl, "ioctl", fail)
            assert stream.bytes_acknowledged() is None
        stream.close()
        assert stream.bytes_acknowledged() is None

    run(scenario())


def test_a_peer_with_a_large_receive_buffer_has_time_to_read_a_part_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against giving up a slow peer whose system acknowledges nothing until much of it is read."""
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", 0.0)
    monkeypatch.setattr(write_stall, "MIN_BYTES_PER_S", 1_000_000)

    async def scenario() -> None:
        stream, peer = connect_streams()
        with peer:
            stream.observe_peer_window()
            first_window = stream.max_peer_window
            assert first_window > 0
            stream.max_peer_window = 16_000_000
            stream.observe_peer_window()
            assert stream.max_peer_window == 16_000_000  # the largest counts
            detector = WriteStallDetector(stream)
            assert not detector.has_stalled() and 0.9 < detector.until_next_check() <= 1.0
            await asyncio.sleep(1.01)
            assert detector.has_stalled()
        stream.close()

    run(scenario())


def test_peer_window_is_unknown_where_the_system_cannot_tell() -> None:
    async def scenario() -> None:
        ours, theirs = socket.socketpair()  # no TCP
        stream = NodeStream(ours)
        stream.observe_peer_window()
        assert stream.max_peer_window == 0
        stream.close()
        theirs.close()

    run(scenario())


def test_a_stream_taken_over_assumes_the_largest_window_that_its_peer_can_have_had() -> None:
    """Guards against giving up a slow client of a moved response; its process has seen no window of it."""

    async def scenario() -> None:
        stream, peer = connect_streams()
        with peer:
            writing = stream.write(bytes(16 * MB))
            acknowledged, before = stream.bytes_acknowledged(), None
            while acknowledged != before:
                await asyncio.sleep(0.2)  # until the peer's receive buffer is full
                acknowledged, before = stream.bytes_acknowledged(), acknowledged
            assert acknowledged and not writing.done()
            taken_over = NodeStream(stream.socket.dup())
            taken_over.observe_peer_window()
            assert taken_over.max_peer_window < acknowledged // 2  # closed by now
            taken_over.assume_largest_peer_window()
            assert taken_over.max_peer_window == acknowledged
            taken_over.close()
            stream.close()

    run(scenario())
