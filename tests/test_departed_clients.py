"""A caller that closes or cancels has gone: whatever moment it chooses, nothing more is sent on for it."""

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
from notchjunction.net.upstream import MIN_IDLE_BEFORE_REUSE_S, AttemptSpec, UpstreamPool
from notchjunction.net.upstream_connection import READ_CHUNK_BYTES, UpstreamConnection
from notchjunction.node.node import Node
from tests.helpers import FULL, OK, SILENT, Client, Peer, RawClient, running
from tests.test_large_bodies import ScriptedConnection, running_with_scripts
from tests.test_net import JOB, Dispatches, hanging, run

BODY = b"x" * (MAX_BUFFERED_BODY_BYTES + 10_000)  # more than is whole before it goes on

GOING = ["close", "reset", "half"]


def at_the_writing(monkeypatch: pytest.MonkeyPatch, which: int, happens: Callable[[], object]) -> None:
    """Lets something happen between finding a connection for that dispatch and writing to it.

    The loop does not run in between: what it would have told is in the operating system's hands only.
    """
    found, calls = UpstreamPool._acquire, 0

    async def hooked(self: UpstreamPool, *args: Any, **kept: Any) -> UpstreamConnection:
        nonlocal calls
        connection = await found(self, *args, **kept)
        calls += 1
        if calls == which:
            happens()
        return connection

    monkeypatch.setattr(UpstreamPool, "_acquire", hooked)


async def withdrawn(node: Node, count: int = 1) -> dict[str, float]:
    """The counters once so many jobs were withdrawn and nothing is left of any."""
    async with asyncio.timeout(5):
        while (figures := node.counters.read()).get("requests_cancelled", 0) < count or figures[
            "requests_tracked"
        ]:
            assert not figures.get("responses_rejected") and not figures.get("responses_failed")
            await asyncio.sleep(0.001)
    assert figures["requests_in_flight"] == 0 and not figures.get("internal_errors")
    return figures


async def warm(address: Address, jobs: int = 1) -> None:
    """Leaves connections to servers that are kept, and may be used again."""
    client = await Client().open(address)
    for _ in range(jobs):
        client.ask()
        assert (await client.answer()).status == 200
    client.writer.close()
    await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_S)


@pytest.mark.parametrize("ahead", [0, 1])
@pytest.mark.parametrize("how", GOING)
def test_of_a_caller_whose_end_came_with_its_requests_none_is_sent_on(how: str, ahead: int) -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            await warm(address)
            # All of it before the loop runs again: the node finds request and end side by side.
            client = RawClient(address)
            for _ in range(1 + ahead):
                client.ask()
            client.go(how)
            await withdrawn(node)
            assert len(peer.requests) == 1 and peer.connections == 1
            await warm(address)
            assert len(peer.requests) == 2 and peer.connections == 1  # what was not written on is kept

    run(story())


@pytest.mark.parametrize("ahead", [0, 1, 300])  # requests that stand unread before the end
@pytest.mark.parametrize("how", GOING)
@pytest.mark.parametrize("kept", [False, True])
def test_a_caller_that_goes_at_the_very_writing_is_not_sent_on(
    kept: bool, how: str, ahead: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            if kept:
                await warm(address)
            client = RawClient(address)

            def goes() -> None:
                for _ in range(ahead):
                    client.ask()
                client.go(how)

            at_the_writing(monkeypatch, 1, goes)
            client.ask()
            figures = await withdrawn(node)
            assert len(peer.requests) == kept and figures["attempts_first"] == 1 + kept

    run(story())


@pytest.mark.parametrize("how", GOING)
def test_a_caller_that_goes_before_a_further_dispatch_is_not_sent_on_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer() as first, Peer() as second, running(first, second, tier_count=2) as (node, address):
            await warm(address, 10)  # for the budget of retries
            first.reply, first.requests = FULL, []
            second.reply, second.requests = FULL, []
            client = RawClient(address)
            at_the_writing(monkeypatch, 2, lambda: client.go(how))
            client.ask()
            figures = await withdrawn(node)
            assert len(first.requests) + len(second.requests) == 1
            assert figures["attempts_retried"] == 1 and figures["attempts_not_sent"] == 1

    run(story())


def test_a_job_that_is_withdrawn_at_the_very_writing_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            client = RawClient(address)

            def withdraw() -> None:
                (caller,) = node._clients.connections
                assert caller._open_request is not None
                caller._open_request.handler.cancel()

            at_the_writing(monkeypatch, 1, withdraw)
            client.ask()
            await withdrawn(node)
            assert not peer.requests

    run(story())


@pytest.mark.parametrize("order", [RejectRequest(0.0), FailRequest(), CancelAttempt(0)])
def test_a_dispatch_that_is_no_longer_wanted_at_the_very_writing_is_not_written(
    order: RejectRequest | FailRequest | CancelAttempt, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer() as first, Peer() as second, running(first, second, tier_count=2) as (node, address):
            await warm(address, 10)  # for the budget of retries
            client = await Client().open(address)
            at_the_writing(monkeypatch, 1, lambda: node._engine._issue_command(11, order))
            client.ask()
            status = (await client.answer()).status
            assert status == (502 if isinstance(order, FailRequest) else 503)
            figures = node.counters.read()
            assert figures["attempts_first"] == 11 and figures["attempts_not_sent"] == 1
            assert len(first.requests) + len(second.requests) == 10

    run(story())


def test_a_connection_that_nothing_was_written_on_stays_fit() -> None:
    async def story() -> None:
        async with Peer() as peer:
            dispatches = Dispatches(peer)
            assert (await dispatches.send()).outcome.result is AttemptResult.SUCCEEDED
            dispatches.rested()
            refused = await dispatches.servers.attempt(
                AttemptSpec("s0", dispatches.clock + 2.0, acquire_quota=lambda _: False), JOB
            )
            assert refused.outcome.result is AttemptResult.NOT_SENT
            assert (await dispatches.send()).outcome.result is AttemptResult.SUCCEEDED
            assert len(peer.requests) == 2 and peer.connections == 1

    run(story())


def test_a_body_does_not_become_whole_at_a_server_once_its_caller_has_gone() -> None:
    async def story() -> None:
        whole: list[bytes] = []

        async def reads(talk: ScriptedConnection) -> None:
            whole.append((await talk.read_request())[1])

        async with running_with_scripts(reads) as (node, address, (peer,)):
            client = RawClient(address)
            client.ask(BODY, "POST", length=len(BODY) + 10)
            while not peer.connections:
                await asyncio.sleep(0.001)
            (caller,) = node._clients.connections
            while caller._intake.parser.body_received < len(BODY):
                await asyncio.sleep(0.001)
            # Its last bytes and its end come side by side.
            client.more(b"y" * 10)
            client.go("close")
            await withdrawn(node)
            await peer.disconnected.wait()
            assert not whole

    run(story())


@pytest.mark.parametrize("how", GOING)
def test_a_caller_that_goes_before_its_large_body_is_written_is_not_sent_on(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        begun: list[bytes] = []

        async def reads(talk: ScriptedConnection) -> None:
            begun.append(await talk.reader.read(1))

        async with running_with_scripts(reads) as (node, address, _):
            client = RawClient(address)

            def goes() -> None:
                client.more(BODY[:10])
                client.go(how)

            at_the_writing(monkeypatch, 1, goes)
            client.ask(BODY, "POST", length=len(BODY) + 10)
            await withdrawn(node)
            assert begun in ([], [b""])

    run(story())


async def waiting(node: Node, address: Address, peer: Peer) -> tuple[Client, ClientConnection]:
    """A caller whose one request is at its server."""
    client = await Client().open(address)
    client.ask()
    await peer.asked.wait()
    (caller,) = node._clients.connections
    return client, caller


def send_ahead(client: Client, least: int) -> int:
    """Whole requests of so many bytes; how many they are."""
    count = -(-least // 8000)
    for _ in range(count):
        client.ask(extra="X: " + "x" * 8000 + "\r\n")
    return count


@pytest.mark.parametrize(
    "bulk", [READ_CHUNK_BYTES, 6 * READ_CHUNK_BYTES]
)  # bytes sent ahead while the first request waits
@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_caller_that_sends_much_ahead_and_goes_is_seen_to_go(how: str, bulk: int) -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, caller = await waiting(node, address, peer)
            send_ahead(client, bulk)
            # Whatever the node kept of it so far is in before the end comes.
            while caller._intake.parser.unread < READ_CHUNK_BYTES:
                await asyncio.sleep(0.001)
            client.writer.close() if how == "close" else client.writer.transport.abort()
            figures = await withdrawn(node)
            assert figures["attempts_first"] == 1 and len(peer.requests) == 1

    run(story())


def test_what_is_sent_far_ahead_is_kept_in_bounds_and_what_was_not_kept_is_told_so() -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, caller = await waiting(node, address, peer)
            count, most = send_ahead(client, 6 * READ_CHUNK_BYTES), 0
            while not caller._intake.bytes_discarded:
                await asyncio.sleep(0)
                most = max(most, caller._intake.parser.unread)
            assert READ_CHUNK_BYTES < most <= request_intake.MAX_READ_AHEAD_BYTES
            peer.reply = OK
            peer.go_on.set()
            statuses = []
            while (status := (await client.answer()).status) == 200:
                statuses.append(status)
            assert status == 413 and await client.closed()
            assert READ_CHUNK_BYTES // 9000 < len(statuses) == len(peer.requests) < count

    run(story())


def test_a_caller_that_never_stops_sending_ahead_is_refused_and_its_job_withdrawn() -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, _ = await waiting(node, address, peer)
            send_ahead(client, 2 * request_intake.MAX_DISCARDED_BYTES)
            assert (await client.answer()).status == 413
            await withdrawn(node)
            assert len(peer.requests) == 1

    run(story())


def test_a_caller_that_goes_while_its_body_waits_for_room_is_seen_to_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(UpstreamConnection, "open", hanging)  # so that nothing of the body is taken

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._upstreams._connect_timeout = 10.0  # s, over what the story waits
            client = RawClient(address)
            client.ask(BODY[:1000], "POST", length=10 * len(BODY))
            while not node._clients.connections:
                await asyncio.sleep(0.001)
            (caller,) = node._clients.connections
            while (
                (request := caller._open_request) is None
                or request.upload is None
                or request.upload.has_room()
            ):
                seen = caller._intake.parser.body_received
                client.more(BODY[:8000])
                while caller._intake.parser.body_received == seen:
                    await asyncio.sleep(0.001)
            client.more(BODY[:8000])  # for which there is no room
            client.go("close")
            await withdrawn(node)

    run(story())


def test_a_caller_that_goes_while_it_waits_for_rights_is_not_sent_on() -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            await warm(address)
            asked, given = asyncio.Event(), asyncio.Event()

            async def admit(ask: RequestSpec) -> tuple[None, RequestSpec]:
                asked.set()
                await given.wait()
                return None, ask

            node._clients.admit = admit
            client = RawClient(address)
            client.ask()
            await asked.wait()
            client.go("close")
            given.set()
            await withdrawn(node)
            assert len(peer.requests) == 1

    run(story())


def test_a_caller_that_goes_while_its_answer_is_written_has_its_next_request_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write = ResponseWriter.write

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            await warm(address)
            client = RawClient(address)

            async def goes(self: ResponseWriter, wire: bytes) -> None:
                await write(self, wire)
                client.go("close")

            monkeypatch.setattr(ResponseWriter, "write", goes)
            client.ask()
            client.ask()
            await withdrawn(node)
            assert len(peer.requests) == 2

    run(story())


@pytest.mark.parametrize("error", [errno.EHOSTUNREACH, errno.ECONNRESET])
def test_an_end_that_the_system_words_otherwise_withdraws_the_job_too(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            taken = node._clients.start_request

            def take(*args: Any) -> Any:
                # From the moment that the job is there, each read of its caller's bytes fails.
                (caller,) = node._clients.connections
                monkeypatch.setattr(caller._stream, "read_from_fd", fails)
                return taken(*args)

            def fails(_: object) -> int:
                raise OSError(error, "gone")

            monkeypatch.setattr(node._clients, "start_request", take)
            client = RawClient(address)
            client.ask()
            await withdrawn(node)

    run(story())


def test_a_failure_of_the_node_itself_beside_a_job_leaves_no_dispatch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(_: object) -> None:
        raise RuntimeError("own")

    async def story() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client, _ = await waiting(node, address, peer)
            monkeypatch.setattr(RequestIntake, "feed", broken)
            client.ask()
            assert (await client.answer()).status == 500
            while (figures := node.counters.read())["requests_tracked"]:
                await asyncio.sleep(0.001)
            assert figures["attempts_cancelled"] == 1
            assert not figures.get("responses_rejected") and not figures.get("responses_failed")

    run(story())


LATE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"


@pytest.mark.parametrize("spare", [LATE, LATE[:9]])  # a second answer, half a line
def test_a_kept_connection_is_used_again_only_once_it_has_rested(
    spare: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer() as peer:
            dispatches = Dispatches(peer)
            figures = dispatches.counters.read

            async def send() -> None:
                exchanged = await dispatches.send()
                assert exchanged.outcome.result is AttemptResult.SUCCEEDED and exchanged.response is not None
                assert exchanged.response.body == b"ok"

            # The very first spare bytes come in the moment in which the next request is written.
            await send()
            at_the_writing(monkeypatch, 1, lambda: peer._writers[0].write(spare))
            await send()
            assert peer.connections == 2 and figures()["connections_unsettled"] == 1
            # They are seen while it rests; it is not used again, and the other one is, once it has rested.
            async with asyncio.timeout(5):
                while not figures().get("responses_unsolicited"):
                    await asyncio.sleep(0)
            dispatches.clock += MIN_IDLE_BEFORE_REUSE_S - 0.001
            await send()
            assert peer.connections == 3 and figures()["connections_unsettled"] == 2
            dispatches.clock += 0.002
            await send()
            assert peer.connections == 3 and figures()["connections_unsettled"] == 2
            # However long ago that was, each has to rest.
            for times in (1, 2):
                dispatches.clock += 100.0
                await send()
                await send()
                assert peer.connections == 3 + 2 * times
                assert figures()["connections_unsettled"] == 2 + times
            assert figures()["responses_unsolicited"] == 1

    run(story())


@pytest.mark.parametrize("recalls", [True, False])
@pytest.mark.parametrize("pieces", [True, False])
def test_what_its_server_has_not_taken_as_its_caller_goes_does_not_come_there(
    pieces: bool, recalls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    body = (BODY if pieces else b"x" * 1000) + b"the last of it"
    write, held, room = IOStream.write_to_fd, asyncio.Event(), False

    def without_room(stream: IOStream, data: memoryview) -> int | None:
        if type(stream) is NodeStream and bytes(data[-10:]) == body[-10:] and not room:
            held.set()
            raise BlockingIOError
        return write(stream, data)

    async def story() -> None:
        nonlocal room
        whole: list[bytes] = []

        async def reads(talk: ScriptedConnection) -> None:
            whole.append((await talk.read_request())[1])

        async with running_with_scripts(reads, cancellation=recalls) as (node, address, (peer,)):
            monkeypatch.setattr(IOStream, "write_to_fd", without_room)
            client = RawClient(address)
            client.ask(body, "POST")
            await held.wait()
            client.go("close")
            # There is room only once the job is over. With no look its dispatch ends by its time, or by none.
            figures = await withdrawn(node)
            room = True
            async with asyncio.timeout(5):
                await peer.disconnected.wait()
            broken_off = "attempts_not_sent", "attempts_cancelled"
            assert not whole and sum(figures.get(name, 0) for name in broken_off) == 1

    run(story())


@pytest.mark.parametrize("sent", [b"", b"GET /api HTTP/1.1\r\n", b"GET /ready HTTP/1.1\r\n\r\n"])
def test_a_connection_that_has_ended_leaves_nothing_to_the_cycle_collector(sent: bytes) -> None:
    """Else a crowd of clients that come and go would fill the memory before the collector runs."""

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
