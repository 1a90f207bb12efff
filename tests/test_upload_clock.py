"""The deadline of a request counts from its client's last byte, also where the node reads that byte later."""

from __future__ import annotations

import asyncio
import gc
import math
import socket
import weakref

import pytest

from notchjunction.net.body_streaming import StreamBuffers
from notchjunction.net.open_request import OpenRequest
from notchjunction.net.upload_clock import MAX_CLIENT_BUFFER_BYTES, MIN_BACKLOG_BYTES, UploadClock
from notchjunction.net.upstream_connection import UpstreamConnection
from tests.test_large_bodies import (
    BODY,
    MB,
    BodyClient,
    ScriptedConnection,
    echo,
    running_with_scripts,
    wait_until_idle,
)
from tests.test_net import run


@pytest.mark.parametrize(
    ("unread", "missing", "may_be_sent"),
    [
        (100, 100, True),
        (99, 100, False),
        (MIN_BACKLOG_BYTES, MIN_BACKLOG_BYTES + MAX_CLIENT_BUFFER_BYTES, True),
        (MIN_BACKLOG_BYTES, MIN_BACKLOG_BYTES + MAX_CLIENT_BUFFER_BYTES + 1, False),
        (MIN_BACKLOG_BYTES, None, True),
        (MIN_BACKLOG_BYTES - 1, None, False),
    ],
)
def test_clients_time_counts_while_its_last_byte_may_wait_unread(
    unread: int, missing: int | None, may_be_sent: bool
) -> None:
    clock = UploadClock(time_left=2.0)
    clock.update(9.9, 1000, unread, missing)
    clock.update(10.0, 1000, unread, missing)
    clock.update(11.0, 1000, unread, missing)
    assert clock.elapsed(11.0) == pytest.approx((1.0 if missing is None else 1.1) if may_be_sent else 0.0)
    assert not clock.has_expired(11.8) and clock.has_expired(12.0) is may_be_sent
    clock.update(12.0, 1000, 0, 1 if missing else None)  # the node waits for the client
    assert clock.elapsed(13.0) == 0.0 and not clock.has_expired(99.0)


def test_clients_time_does_not_count_while_a_body_of_unknown_length_arrives() -> None:
    """Guards against a rejection of a client that still sends, at an endpoint that is somewhat slower."""
    clock = UploadClock(time_left=2.0)
    for second in range(10):
        clock.update(float(second), second * MB, MIN_BACKLOG_BYTES, None)
        assert not clock.has_expired(float(second))


def test_clients_time_goes_on_while_the_rest_of_a_body_is_read() -> None:
    clock = UploadClock(time_left=2.0)
    for second, unread in enumerate((2 * MB, MB, 10)):
        clock.update(float(second), 3 * MB - unread, unread, unread)
    assert clock.has_expired(2.0)


@pytest.mark.parametrize("chunked", [False, True])
def test_response_is_in_time_where_the_endpoint_takes_a_long_body_slowly(chunked: bool) -> None:
    """Guards against a response seconds after the deadline of a client that has sent its whole body."""

    async def scenario() -> None:
        async def read_a_part(connection: ScriptedConnection) -> None:
            connection.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await connection.reader.readexactly(1000)
            await asyncio.sleep(3.0)

        async with running_with_scripts(read_a_part) as (node, address, _):
            client = await BodyClient().open(address)
            loop = asyncio.get_running_loop()
            client.begin_request(BODY * 8, chunked=chunked, deadline_ms=500)
            client.send(b"%x\r\n%b\r\n0\r\n\r\n" % (8 * MB, BODY * 8) if chunked else BODY * 8)
            sent_at = loop.time()
            assert (await client.answer()).status == 503
            # A response up to half a second after its request's time is late, and not lost.
            assert loop.time() - sent_at < 0.5 + 0.5
            client.writer.close()
            while node._clients.connections:
                await asyncio.sleep(0.002)
            assert not node.counters.read().get("internal_errors")
            # The request may not run twice, and a refusal says that it has not run: its last byte never left.
            assert not [name for name in node.counters.read() if name.startswith("invariant_")]

    run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
def test_clients_time_counts_while_its_body_waits_for_memory(chunked: bool) -> None:
    """Guards against a deadline for the endpoint that is later than the client's."""
    deadline_ms, waited_ms, slack_ms = 2000, 300, 150
    told: list[int] = []

    async def scenario() -> None:
        async def record_deadline(connection: ScriptedConnection) -> None:
            request, _ = await connection.read_request()
            told.append(int(request.headers["req-deadline-ms"]))
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with running_with_scripts(record_deadline) as (node, address, _):
            for pool in (node._memory.buffers, node._memory.requests):
                pool.resize(1)
                pool.add(1)
            client = await BodyClient().open(address)
            client.begin_request(BODY[:8000], chunked=chunked, deadline_ms=deadline_ms)
            await asyncio.sleep(0.05)  # the node reads the head first
            client.send(b"1f40\r\n" + BODY[:8000] + b"\r\n0\r\n\r\n" if chunked else BODY[:8000])
            await asyncio.sleep(waited_ms / 1000)
            node._memory.requests.resize(math.inf)
            assert (await client.answer()).status == 200
            assert told[0] <= deadline_ms - waited_ms + slack_ms

    run(scenario())


def test_endpoint_is_told_what_is_left_where_a_body_waits_for_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a deadline for the endpoint that counts from when the last byte is read."""
    deadline_ms, connect_s, slack_ms = 2000, 0.4, 150
    told: list[int] = []
    monkeypatch.setattr(StreamBuffers, "piece_size", lambda _: 4096)
    connect = UpstreamConnection.open

    async def connect_late(connection: UpstreamConnection) -> None:
        await asyncio.sleep(connect_s)
        await connect(connection)

    monkeypatch.setattr(UpstreamConnection, "open", connect_late)

    async def scenario() -> None:
        async def record_deadline(connection: ScriptedConnection) -> None:
            request, _ = await connection.read_request()
            told.append(int(request.headers["req-deadline-ms"]))
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with running_with_scripts(record_deadline) as (_, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY[:150_000], deadline_ms=deadline_ms)
            client.send(BODY[:150_000])
            assert (await client.answer()).status == 200
            assert told[0] <= deadline_ms - connect_s * 1000 + slack_ms

    run(scenario())


def test_request_that_has_ended_is_freed_without_the_cycle_collector() -> None:
    """Guards against memory of ended requests that grows until the collector runs."""
    ended: list[weakref.ref[OpenRequest]] = []

    async def scenario() -> None:
        async with running_with_scripts(echo) as (node, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY)
            client.send(BODY[:-1])
            while not any(connection._open_request for connection in node._clients.connections):
                await asyncio.sleep(0.002)
            (connection,) = node._clients.connections
            open_request = connection._open_request
            assert open_request is not None
            ended.append(weakref.ref(open_request))
            del connection, open_request
            client.send(BODY[-1:])
            assert (await client.read_response())[0] == 200
            await wait_until_idle(node)
            assert ended[0]() is None

    gc.disable()
    try:
        run(scenario())
    finally:
        gc.enable()
