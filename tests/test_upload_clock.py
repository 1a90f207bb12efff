"""The deadline of a request counts from its client's last byte, also where the node reads that byte later."""

from __future__ import annotations

import asyncio
import gc
import math
import socket
import time
import weakref

import pytest

from notchjunction.net.body_streaming import StreamBuffers
from notchjunction.net.memory_budget import MemoryBudget
from notchjunction.net.open_request import OpenRequest
from notchjunction.net.upload_clock import (
    CATCH_UP_S,
    MAX_CLIENT_BUFFER_BYTES,
    OPEN_WINDOW_BYTES,
    REOPENING_S,
    SAMPLE_BYTES,
    UploadClock,
)
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

SMALL_READ_BYTES = OPEN_WINDOW_BYTES // 2
FAST_READ_BYTES = 64 * 1024


@pytest.mark.parametrize(
    ("unread", "missing", "may_be_sent"),
    [
        (100, 100, True),
        (99, 100, False),
        (OPEN_WINDOW_BYTES - 1, OPEN_WINDOW_BYTES, False),
        (OPEN_WINDOW_BYTES, OPEN_WINDOW_BYTES + MAX_CLIENT_BUFFER_BYTES, True),
        (OPEN_WINDOW_BYTES, OPEN_WINDOW_BYTES + MAX_CLIENT_BUFFER_BYTES + 1, False),
        (64 * 1024, None, True),
        (64 * 1024 - 1, None, True),
        (1, None, True),
        (0, None, False),
    ],
)
def test_clients_time_counts_while_its_last_byte_may_wait_unread(
    unread: int, missing: int | None, may_be_sent: bool
) -> None:
    clock = UploadClock(started_at=9.0)
    clock.note_read(9.9, SMALL_READ_BYTES, 0)
    clock.observe(9.9, 0, missing and missing + 1)
    for now in (10.0, 11.0):
        clock.note_held_back(now)
        clock.observe(now, unread, missing)
    assert clock.elapsed(11.0) == pytest.approx(1.1 if may_be_sent else 0.0)
    assert clock.elapsed(12.0) == pytest.approx(2.1 if may_be_sent else 1.0)
    # The node has read all of that, and waits for the client.
    clock.note_read(12.0, unread, 0)
    clock.observe(12.1, 0, 1 if missing else None)
    assert clock.elapsed(12.1) == 0.0


@pytest.mark.parametrize("missing", [None, 4 * MB])
def test_clients_time_does_not_count_while_the_node_reads_all_that_a_slow_client_sends(
    missing: int | None,
) -> None:
    """Guards against a rejection of a client that still sends, also where its pieces come without a pause."""
    clock = UploadClock(started_at=0.0)
    for step in range(1000):
        now = step * 0.01
        clock.note_read(now, SMALL_READ_BYTES, 0)
        clock.observe(now, 0, missing)
        assert clock.elapsed(now) == 0.0


def test_clients_time_does_not_count_while_more_arrives_than_its_system_holds() -> None:
    """Guards against a rejection of a client that still sends, at an endpoint that is somewhat slower."""
    clock = UploadClock(started_at=0.0)
    for step in range(1000):
        now = step * 0.01
        clock.note_read(now, FAST_READ_BYTES, FAST_READ_BYTES)
        clock.note_held_back(now)
        clock.observe(now, FAST_READ_BYTES, None)
        assert clock.elapsed(now) <= 0.01 * (MAX_CLIENT_BUFFER_BYTES + SAMPLE_BYTES) / FAST_READ_BYTES + 0.01


@pytest.mark.parametrize("missing", [None, 4 * MB])
def test_clients_time_counts_while_an_endpoint_takes_the_body_in_small_steps(missing: int | None) -> None:
    """Guards against a client's window that stays closed until nearly all that waited has been read."""
    clock = UploadClock(started_at=0.0)
    unread = 2 * SMALL_READ_BYTES
    for step in range(20):
        now = 0.25 * (step + 1)
        clock.note_held_back(now - 0.01)
        clock.observe(now - 0.01, unread, missing)
        unread -= SMALL_READ_BYTES
        clock.note_read(now, SMALL_READ_BYTES, unread)
        clock.observe(now, unread, missing)
        assert clock.elapsed(now) == pytest.approx(now)
        unread = unread or 2 * SMALL_READ_BYTES  # the window opens, and the client's system sends more


def test_clients_time_does_not_count_once_its_window_was_open_and_it_sent_nothing() -> None:
    clock = UploadClock(started_at=0.0)
    clock.note_read(1.0, FAST_READ_BYTES, 0)
    clock.observe(1.0, 0, None)
    assert clock.elapsed(1.0) == 1.0
    clock.observe(1.0 + REOPENING_S / 2, 0, None)
    assert clock.elapsed(1.0 + REOPENING_S / 2) > 1.0
    clock.observe(1.0 + REOPENING_S, 0, None)
    assert clock.elapsed(1.0 + REOPENING_S) == 0.0


def test_a_client_that_is_far_away_has_the_round_trips_that_it_needs_to_send_again() -> None:
    round_trip = 0.2
    clock = UploadClock(started_at=0.0, round_trip=round_trip)
    clock.note_read(1.0, FAST_READ_BYTES, 0)
    for step in range(8):
        now = 1.0 + step * 0.05  # up to two round trips
        clock.observe(now, 0, None)
        assert clock.elapsed(now) == pytest.approx(now)
    later = 1.01 + 2 * round_trip
    clock.observe(later, 0, None)
    assert clock.elapsed(later) == 0.0


def test_clients_time_does_not_count_once_the_node_has_caught_up() -> None:
    clock = UploadClock(started_at=0.0)
    clock.note_read(1.0, FAST_READ_BYTES, 0)
    clock.observe(1.0, 0, None)
    for step in range(1, 20):  # small pieces without a pause
        now = 1.0 + step * 0.01
        clock.note_read(now, SMALL_READ_BYTES, 0)
        clock.observe(now, 0, None)
        assert (clock.elapsed(now) == 0.0) is (now >= 1.0 + CATCH_UP_S)


def test_a_client_whose_window_may_be_closed_is_not_taken_for_one_that_pauses() -> None:
    """Guards against ending a client that the node itself holds back, as its body is incomplete."""
    clock = UploadClock(started_at=0.0)
    clock.note_read(0.0, FAST_READ_BYTES, FAST_READ_BYTES)
    for second in range(5):
        clock.note_held_back(float(second))
        clock.observe(float(second), FAST_READ_BYTES, 2 * MAX_CLIENT_BUFFER_BYTES)
        assert clock.elapsed(float(second)) == clock.pause(float(second)) == 0.0


def test_a_client_pauses_from_its_last_bytes_on_also_while_it_is_not_read() -> None:
    clock = UploadClock(started_at=0.0)
    clock.note_read(0.0, SMALL_READ_BYTES, 0)
    for second in range(5):
        clock.note_held_back(float(second))
        clock.observe(float(second), 100 if second else 0, MB)
        assert clock.pause(float(second)) == max(0, second - 1)


def test_clients_time_goes_on_while_the_rest_of_a_body_is_read() -> None:
    clock = UploadClock(started_at=0.0)
    clock.note_read(0.0, 0, 2 * MB)
    for second, unread in enumerate((2 * MB, MB, 10)):
        clock.observe(float(second), unread, unread)
        clock.note_read(float(second), MB - 10, unread - MB if unread > MB else 10)
    assert clock.elapsed(2.0) == 2.0


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


def test_endpoint_is_told_what_is_left_where_a_busy_node_reads_a_short_body_in_many_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a deadline that counts from its last piece, which was sent with the first."""
    deadline_ms, read_bytes, body_bytes, slack_ms = 2000, 4096, 60_000, 150
    turn_s, endpoint_turns = 0.03, 4
    told: list[int] = []
    received_at: list[float] = []
    monkeypatch.setattr(MemoryBudget, "read_size", lambda *_: read_bytes)

    async def scenario() -> None:
        async def record_deadline(connection: ScriptedConnection) -> None:
            request, _ = await connection.read_request()
            received_at.append(asyncio.get_running_loop().time())
            told.append(int(request.headers["req-deadline-ms"]))
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async def keep_busy() -> None:
            while not told:
                time.sleep(turn_s)
                await asyncio.sleep(0)

        async with running_with_scripts(record_deadline) as (_, address, _):
            client = await BodyClient().open(address)
            client.begin_request(BODY[:body_bytes], deadline_ms=deadline_ms)
            client.send(BODY[:body_bytes])
            sent_at = asyncio.get_running_loop().time()
            busy = asyncio.create_task(keep_busy())
            assert (await client.answer()).status == 200
            await busy
            # The endpoint takes some turns of the same event loop to read the request.
            passed_ms = (received_at[0] - sent_at - endpoint_turns * turn_s) * 1000
            assert passed_ms > 2 * slack_ms
            assert told[0] <= deadline_ms - passed_ms + slack_ms

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
