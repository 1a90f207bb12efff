"""After a client disconnects or a request is cancelled, at whatever moment, nothing more is sent for it."""

from __future__ import annotations

import asyncio
import errno
import gc
import socket
import weakref
from collections.abc import Callable
from typing import Any

import pytest
from tornado.iostream import IOStream

from notchjunction.addresses import Address
from notchjunction.balancing.engine import CancelAttempt, FailRequest, RejectRequest, RequestSpec
from notchjunction.balancing.interface import AttemptResult
from notchjunction.http1.messages import MAX_BUFFERED_BODY_BYTES
from notchjunction.net import request_intake
from notchjunction.net.client_connection import ClientConnection
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.response_writer import ResponseWriter
from notchjunction.net.socket_stream import NodeStream
from notchjunction.net.upstream import MIN_IDLE_BEFORE_REUSE_S, UpstreamPool
from notchjunction.net.upstream_attempt import AttemptSpec
from notchjunction.net.upstream_connection import READ_CHUNK_BYTES, UpstreamConnection
from notchjunction.node.node import Node
from tests.helpers import FULL, OK, SILENT, Client, Peer, RawClient, running
from tests.test_large_bodies import ScriptedConnection, running_with_scripts
from tests.test_net import REQUEST, PoolHarness, hang, run

BODY = b"x" * (MAX_BUFFERED_BODY_BYTES + 10_000)  # more than is buffered before a request is forwarded

DISCONNECTS = ["close", "reset", "half"]


def call_before_write(
    monkeypatch: pytest.MonkeyPatch, attempt_number: int, callback: Callable[[], object]
) -> None:
    """Call back between the acquisition of a connection for that attempt and the write to it.

    The event loop does not run in between: only the operating system knows yet of what the callback did.
    """
    original_acquire, calls = UpstreamPool.acquire, 0

    async def acquire_and_call(self: UpstreamPool, *args: Any, **kwargs: Any) -> UpstreamConnection:
        nonlocal calls
        connection = await original_acquire(self, *args, **kwargs)
        calls += 1
        if calls == attempt_number:
            callback()
        return connection

    monkeypatch.setattr(UpstreamPool, "acquire", acquire_and_call)


async def wait_cancelled(node: Node, count: int = 1) -> dict[str, float]:
    """Return the counters once this many requests were cancelled and none is tracked any more."""
    async with asyncio.timeout(5):
        while (counters := node.counters.read()).get("requests_cancelled", 0) < count or counters[
            "requests_tracked"
        ]:
            assert not counters.get("responses_rejected") and not counters.get("responses_failed")
            await asyncio.sleep(0.001)
    assert counters["requests_in_flight"] == 0 and not counters.get("internal_errors")
    return counters


async def warm_up(address: Address, request_count: int = 1) -> None:
    """Leave idle connections to servers, which may be reused at once."""
    client = await Client().open(address)
    for _ in range(request_count):
        client.ask()
        assert (await client.answer()).status == 200
    client.writer.close()
    await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_S)


@pytest.mark.parametrize("pipelined", [0, 1])
@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_requests_that_arrive_together_with_the_disconnect_of_their_client_are_not_sent(
    disconnect: str, pipelined: int
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            await warm_up(address)
            # All before the event loop runs again: the node finds the request and the disconnect together.
            client = RawClient(address)
            for _ in range(1 + pipelined):
                client.ask()
            client.go(disconnect)
            await wait_cancelled(node)
            assert len(peer.requests) == 1 and peer.connections == 1
            await warm_up(address)
            # The connection that nothing was written to is kept.
            assert len(peer.requests) == 2 and peer.connections == 1

    run(scenario())


@pytest.mark.parametrize("pipelined", [0, 1, 300])  # pipelined requests that are unread before the disconnect
@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("reuses", [False, True])
def test_a_request_whose_client_disconnects_right_before_the_write_is_not_sent(
    reuses: bool, disconnect: str, pipelined: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            if reuses:
                await warm_up(address)
            client = RawClient(address)

            def disconnect_client() -> None:
                for _ in range(pipelined):
                    client.ask()
                client.go(disconnect)

            call_before_write(monkeypatch, 1, disconnect_client)
            client.ask()
            counters = await wait_cancelled(node)
            assert len(peer.requests) == reuses and counters["attempts_first"] == 1 + reuses

    run(scenario())


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_a_request_whose_client_disconnects_before_a_retry_is_not_sent_again(
    disconnect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer() as first, Peer() as second, running(first, second, tier_count=2) as (node, address):
            await warm_up(address, 10)  # fills the retry budget
            first.reply, first.requests = FULL, []
            second.reply, second.requests = FULL, []
            client = RawClient(address)
            call_before_write(monkeypatch, 2, lambda: client.go(disconnect))
            client.ask()
            counters = await wait_cancelled(node)
            assert len(first.requests) + len(second.requests) == 1
            assert counters["attempts_retried"] == 1 and counters["attempts_not_sent"] == 1

    run(scenario())


def test_a_request_cancelled_right_before_the_write_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            client = RawClient(address)

            def cancel_request() -> None:
                (connection,) = node._clients.connections
                assert connection._open_request is not None
                connection._open_request.handler.cancel()

            call_before_write(monkeypatch, 1, cancel_request)
            client.ask()
            await wait_cancelled(node)
            assert not peer.requests

    run(scenario())


@pytest.mark.parametrize("command", [RejectRequest(0.0), FailRequest(), CancelAttempt(0)])
def test_an_attempt_no_longer_wanted_right_before_the_write_is_not_written(
    command: RejectRequest | FailRequest | CancelAttempt, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer() as first, Peer() as second, running(first, second, tier_count=2) as (node, address):
            await warm_up(address, 10)  # fills the retry budget
            client = await Client().open(address)
            call_before_write(monkeypatch, 1, lambda: node._engine._issue_command(11, command))
            client.ask()
            status = (await client.answer()).status
            assert status == (502 if isinstance(command, FailRequest) else 503)
            counters = node.counters.read()
            assert counters["attempts_first"] == 11 and counters["attempts_not_sent"] == 1
            assert len(first.requests) + len(second.requests) == 10

    run(scenario())


def test_a_connection_that_nothing_was_written_to_stays_reusable() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            harness = PoolHarness(peer)
            assert (await harness.send()).outcome.result is AttemptResult.SUCCEEDED
            harness.pass_reuse_delay()
            withheld = await harness.pool.attempt(
                AttemptSpec("s0", harness.clock + 2.0, acquire_quota=lambda _: False), REQUEST
            )
            assert withheld.outcome.result is AttemptResult.NOT_SENT
            assert (await harness.send()).outcome.result is AttemptResult.SUCCEEDED
            assert len(peer.requests) == 2 and peer.connections == 1

    run(scenario())


def test_a_body_is_not_completed_at_the_server_after_its_client_disconnects() -> None:
    async def scenario() -> None:
        bodies: list[bytes] = []

        async def read_request(upstream: ScriptedConnection) -> None:
            bodies.append((await upstream.read_request())[1])

        async with running_with_scripts(read_request) as (node, address, (peer,)):
            client = RawClient(address)
            client.ask(BODY, "POST", length=len(BODY) + 10)
            while not peer.connections:
                await asyncio.sleep(0.001)
            (connection,) = node._clients.connections
            while connection._intake.parser.body_received < len(BODY):
                await asyncio.sleep(0.001)
            # Its last bytes and its disconnect arrive together.
            client.more(b"y" * 10)
            client.go("close")
            await wait_cancelled(node)
            await peer.disconnected.wait()
            assert not bodies

    run(scenario())


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_a_large_request_whose_client_disconnects_before_the_write_is_not_sent(
    disconnect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        first_bytes: list[bytes] = []

        async def read_first_byte(upstream: ScriptedConnection) -> None:
            first_bytes.append(await upstream.reader.read(1))

        async with running_with_scripts(read_first_byte) as (node, address, _):
            client = RawClient(address)

            def send_and_disconnect() -> None:
                client.more(BODY[:10])
                client.go(disconnect)

            call_before_write(monkeypatch, 1, send_and_disconnect)
            client.ask(BODY, "POST", length=len(BODY) + 10)
            await wait_cancelled(node)
            assert first_bytes in ([], [b""])

    run(scenario())


async def send_and_await_server(node: Node, address: Address, peer: Peer) -> tuple[Client, ClientConnection]:
    """Return a client whose one request is at its server, and the node's connection to that client."""
    client = await Client().open(address)
    client.ask()
    await peer.asked.wait()
    (connection,) = node._clients.connections
    return client, connection


def pipeline_requests(client: Client, min_bytes: int) -> int:
    """Send complete requests of at least this many bytes in total; return their number."""
    count = -(-min_bytes // 8000)
    for _ in range(count):
        client.ask(extra="X: " + "x" * 8000 + "\r\n")
    return count


# The bytes pipelined while the first request is in flight.
@pytest.mark.parametrize("byte_count", [READ_CHUNK_BYTES, 6 * READ_CHUNK_BYTES])
@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_the_disconnect_of_a_client_that_pipelined_many_bytes_is_detected(
    disconnect: str, byte_count: int
) -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, connection = await send_and_await_server(node, address, peer)
            pipeline_requests(client, byte_count)
            # The node has buffered part of it before the client disconnects.
            while connection._intake.parser.unread < READ_CHUNK_BYTES:
                await asyncio.sleep(0.001)
            client.writer.close() if disconnect == "close" else client.writer.transport.abort()
            counters = await wait_cancelled(node)
            assert counters["attempts_first"] == 1 and len(peer.requests) == 1

    run(scenario())


def test_pipelined_bytes_are_bounded_and_discarded_requests_are_answered_with_413() -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, connection = await send_and_await_server(node, address, peer)
            count, max_unread = pipeline_requests(client, 6 * READ_CHUNK_BYTES), 0
            while not connection._intake.bytes_discarded:
                await asyncio.sleep(0)
                max_unread = max(max_unread, connection._intake.parser.unread)
            assert READ_CHUNK_BYTES < max_unread <= request_intake.MAX_READ_AHEAD_BYTES
            peer.reply = OK
            peer.go_on.set()
            statuses = []
            while (status := (await client.answer()).status) == 200:
                statuses.append(status)
            assert status == 413 and await client.closed()
            assert READ_CHUNK_BYTES // 9000 < len(statuses) == len(peer.requests) < count

    run(scenario())


def test_a_client_that_pipelines_past_the_limit_is_rejected_and_its_request_cancelled() -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, _ = await send_and_await_server(node, address, peer)
            pipeline_requests(client, 2 * request_intake.MAX_DISCARDED_BYTES)
            assert (await client.answer()).status == 413
            await wait_cancelled(node)
            assert len(peer.requests) == 1

    run(scenario())


def test_a_disconnect_while_a_body_waits_for_buffer_space_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(UpstreamConnection, "open", hang)  # so that no part of the body is consumed

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._upstreams._connect_timeout = 10.0  # s, longer than the scenario waits
            client = RawClient(address)
            client.ask(BODY[:1000], "POST", length=10 * len(BODY))
            while not node._clients.connections:
                await asyncio.sleep(0.001)
            (connection,) = node._clients.connections
            while (
                (request := connection._open_request) is None
                or request.upload is None
                or request.upload.has_room()
            ):
                received = connection._intake.parser.body_received
                client.more(BODY[:8000])
                while connection._intake.parser.body_received == received:
                    await asyncio.sleep(0.001)
            client.more(BODY[:8000])  # there is no buffer space for these
            client.go("close")
            await wait_cancelled(node)

    run(scenario())


def test_a_request_whose_client_disconnects_while_it_waits_for_quota_is_not_sent() -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            await warm_up(address)
            quota_requested, quota_granted = asyncio.Event(), asyncio.Event()

            async def admit(spec: RequestSpec) -> tuple[None, RequestSpec]:
                quota_requested.set()
                await quota_granted.wait()
                return None, spec

            node._clients.admit = admit
            client = RawClient(address)
            client.ask()
            await quota_requested.wait()
            client.go("close")
            quota_granted.set()
            await wait_cancelled(node)
            assert len(peer.requests) == 1

    run(scenario())


def test_the_next_request_of_a_client_that_disconnects_during_a_response_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_write = ResponseWriter.write_response

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            await warm_up(address)
            client = RawClient(address)

            async def write_and_disconnect(self: ResponseWriter, wire: bytes, keep: bool) -> bool:
                can_continue = await original_write(self, wire, keep)
                client.go("close")
                return can_continue

            monkeypatch.setattr(ResponseWriter, "write_response", write_and_disconnect)
            client.ask()
            client.ask()
            await wait_cancelled(node)
            assert len(peer.requests) == 2

    run(scenario())


@pytest.mark.parametrize("error_number", [errno.EHOSTUNREACH, errno.ECONNRESET])
def test_any_read_error_on_the_client_connection_cancels_its_request(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            original_start_request = node._clients.start_request

            def start_and_fail_reads(*args: Any) -> Any:
                # Once the request has started, every read from its client fails.
                (connection,) = node._clients.connections
                monkeypatch.setattr(connection._stream, "read_from_fd", fail_read)
                return original_start_request(*args)

            def fail_read(_: object) -> int:
                raise OSError(error_number, "gone")

            monkeypatch.setattr(node._clients, "start_request", start_and_fail_reads)
            client = RawClient(address)
            client.ask()
            await wait_cancelled(node)

    run(scenario())


def test_an_internal_failure_during_a_request_leaves_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_error(_: object) -> None:
        raise RuntimeError("own")

    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, _ = await send_and_await_server(node, address, peer)
            monkeypatch.setattr(RequestIntake, "feed", raise_error)
            client.ask()
            assert (await client.answer()).status == 500
            while (counters := node.counters.read())["requests_tracked"]:
                await asyncio.sleep(0.001)
            assert counters["attempts_cancelled"] == 1
            assert not counters.get("responses_rejected") and not counters.get("responses_failed")

    run(scenario())


LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"


# A second response, and a part of its status line.
@pytest.mark.parametrize("extra", [LATE_RESPONSE, LATE_RESPONSE[:9]])
def test_a_connection_is_reused_only_after_the_reuse_delay(
    extra: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            harness = PoolHarness(peer)
            read_counters = harness.counters.read

            async def send() -> None:
                exchanged = await harness.send()
                assert exchanged.outcome.result is AttemptResult.SUCCEEDED and exchanged.response is not None
                assert exchanged.response.body == b"ok"

            # The first extra bytes arrive at the moment in which the next request is written.
            await send()
            call_before_write(monkeypatch, 1, lambda: peer._writers[0].write(extra))
            await send()
            assert peer.connections == 2 and read_counters()["connections_unsettled"] == 1
            # They are detected during the delay: that connection is not reused, the other is after its own.
            async with asyncio.timeout(5):
                while not read_counters().get("responses_unsolicited"):
                    await asyncio.sleep(0)
            harness.clock += MIN_IDLE_BEFORE_REUSE_S - 0.001
            await send()
            assert peer.connections == 3 and read_counters()["connections_unsettled"] == 2
            harness.clock += 0.002
            await send()
            assert peer.connections == 3 and read_counters()["connections_unsettled"] == 2
            # Every connection has to wait for the delay, however long ago that was.
            for repeat in (1, 2):
                harness.clock += 100.0
                await send()
                await send()
                assert peer.connections == 3 + 2 * repeat
                assert read_counters()["connections_unsettled"] == 2 + repeat
            assert read_counters()["responses_unsolicited"] == 1

    run(scenario())


@pytest.mark.parametrize("cancellation", [True, False])
@pytest.mark.parametrize("in_pieces", [True, False])
def test_bytes_not_yet_written_when_the_client_disconnects_never_reach_the_server(
    in_pieces: bool, cancellation: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    body = (BODY if in_pieces else b"x" * 1000) + b"the last of it"
    original_write, write_blocked, has_room = IOStream.write_to_fd, asyncio.Event(), False

    def write_if_room(stream: IOStream, data: memoryview) -> int | None:
        if type(stream) is NodeStream and bytes(data[-10:]) == body[-10:] and not has_room:
            write_blocked.set()
            raise BlockingIOError
        return original_write(stream, data)

    async def scenario() -> None:
        nonlocal has_room
        bodies: list[bytes] = []

        async def read_request(upstream: ScriptedConnection) -> None:
            bodies.append((await upstream.read_request())[1])

        async with running_with_scripts(read_request, cancellation=cancellation) as (node, address, (peer,)):
            monkeypatch.setattr(IOStream, "write_to_fd", write_if_room)
            client = RawClient(address)
            client.ask(body, "POST")
            await write_blocked.wait()
            client.go("close")
            # The socket has room only once the request is over. Without the regular check whether the request
            # is still wanted, its attempt would end only by its timeout, if at all.
            counters = await wait_cancelled(node)
            has_room = True
            async with asyncio.timeout(5):
                await peer.disconnected.wait()
            aborted = "attempts_not_sent", "attempts_cancelled"
            assert not bodies and sum(counters.get(name, 0) for name in aborted) == 1

    run(scenario())


@pytest.mark.parametrize("sent", [b"", b"GET /api HTTP/1.1\r\n", b"GET /ready HTTP/1.1\r\n\r\n"])
def test_a_connection_that_has_ended_leaves_nothing_to_the_cycle_collector(sent: bytes) -> None:
    """Otherwise many short-lived client connections would fill the memory before the collector runs."""

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            gc.collect()
            gc.disable()
            try:
                client = socket.create_connection(address)
                while not node._clients.connections:
                    await asyncio.sleep(0.001)
                connection = weakref.ref(next(iter(node._clients.connections)))
                client.sendall(sent)
                await asyncio.sleep(0.02)
                client.close()
                while node._clients.connections:
                    await asyncio.sleep(0.001)
                await asyncio.sleep(0.01)
                assert connection() is None
            finally:
                gc.enable()

    run(scenario())
