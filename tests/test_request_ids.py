"""The id of a request is refused to others while the request is open, or while it may run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from notchjunction.node.node import Node
from notchjunction.safety import request_ids
from notchjunction.safety.request_ids import RequestIds
from tests.helpers import FULL, OK, SILENT, Client, Peer, RawClient, Reply, running
from tests.test_departed_clients import wait_cancelled
from tests.test_large_bodies import BODY, MB, BodyClient, running_with_scripts, send_half_and_wait
from tests.test_net import run
from tests.test_response_migration import wait_for_counter, wait_for_successor


def test_id_is_taken_until_its_request_ends_or_may_no_longer_run() -> None:
    ids = RequestIds()
    ids.open("a", 2.0)
    ids.open("b", 2.0)
    assert ids.is_taken("a", 100.0) and not ids.is_taken("c", 100.0)
    ids.close("a", 100.0, may_run=False)
    ids.close("b", 100.0, may_run=True)
    assert not ids.is_taken("a", 100.0)
    assert ids.is_taken("b", 101.9) and not ids.is_taken("b", 102.0)


def test_ended_ids_use_no_memory_for_longer_than_the_limit() -> None:
    """Guards against memory that grows with clients that state a long deadline and leave."""
    ids = RequestIds()
    for number in range(100):
        ids.open(str(number), 999.0)
        ids.close(str(number), 0.0, may_run=True)
    ids.forget_expired(request_ids.MAX_HOLD_S - 1)
    assert len(ids) == 100
    ids.forget_expired(request_ids.MAX_HOLD_S)
    assert len(ids) == 0


def test_ids_of_another_process_are_taken_until_it_frees_them_or_its_requests_may_no_longer_run() -> None:
    ids = RequestIds()
    for request_id in ("a", "b", "c"):
        ids.opened_elsewhere("old", request_id, 2.0)
    ids.closed_elsewhere("old", "a", 100.0, hold=0.0)
    ids.closed_elsewhere("old", "b", 100.0, hold=1.0)
    assert [ids.is_taken(request_id, 100.5) for request_id in ("a", "b", "c")] == [False, True, True]
    ids.opened_elsewhere("old", "moved", 3.0)
    assert ids.adopt("moved") == 3.0
    assert ids.process_left("old", 110.0) == {"c": 2.0}
    assert ids.close("moved", 110.0, may_run=False) == 0.0 and not ids.is_taken("moved", 110.0)
    assert [ids.is_taken(request_id, 111.9) for request_id in ("a", "b", "c")] == [False, False, True]
    assert not ids.is_taken("c", 112.0)


def test_id_of_a_request_whose_long_response_is_on_its_way_is_refused() -> None:
    """Guards against an unsafe request that runs twice: its id was let go as its response began."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async with running_with_scripts(send_half_and_wait(go_on)) as (node, address, (server,)):
            first = await BodyClient().open(address)
            first.begin_request(b"")
            await first._reader.readexactly(1)
            second = await Client().open(address)
            second.job_id = first.job_id - 1
            second.ask("POST")
            assert (await second.answer()).status == 409
            go_on.set()
            await first._reader.readuntil(b"\r\n\r\n")
            assert await first._reader.readexactly(2 * MB) == BODY * 2
            assert server.connections == 1 and not len(node._clients.request_ids)

    run(scenario())


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_id_of_a_request_whose_client_has_left_is_refused_while_it_may_run(how: str) -> None:
    """Guards against an unsafe request that runs twice: its id was let go as its client left."""

    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer) as (node, address):
            client = RawClient(address)
            client.ask(method="POST")
            await peer.asked.wait()
            client.go(how)
            await wait_cancelled(node)
            again = await Client().open(address)
            again.job_id = client._job_id - 1
            again.ask("POST")
            assert (await again.answer()).status == 409 and len(peer.requests) == 1

    run(scenario())


@pytest.mark.parametrize(
    ("reply", "is_refused"),
    [((b"", "reset"), True), (SILENT, True), (FULL, False)],
    ids=["reset", "hangs", "full"],
)
def test_id_of_a_failed_request_is_refused_only_if_the_request_may_run(
    reply: Reply, is_refused: bool
) -> None:
    """Guards against a repeated id whose first request an endpoint may still be working on."""

    async def scenario() -> None:
        async with Peer(reply) as peer, running(peer) as (_, address):
            client, again = await Client().open(address), await Client().open(address)
            client.ask("POST", left="300")
            assert (await client.answer()).status != 200
            peer.reply = OK
            again.job_id = client.job_id - 1
            again.ask("POST")
            assert ((await again.answer()).status == 409) is is_refused

    run(scenario())


# Two processes of one node, during an upgrade.


@asynccontextmanager
async def upgrading(folder: Path, *peers: Peer) -> AsyncIterator[tuple[Node, Node, Client, Client]]:
    """Run two processes of a node; yield them, and a client that each of them has accepted."""
    async with running(*peers, shared=folder) as (old, address):
        at_old = await Client().open(address)
        await wait_for_client(old)
        async with running(*peers, shared=folder, listen=address, known=False) as (new, _):
            await wait_for_successor(old)
            old._client_listener.pause()
            at_new = await Client().open(address)
            await wait_for_client(new)
            at_new.job_id = at_old.job_id
            yield old, new, at_old, at_new


async def wait_for_client(node: Node) -> None:
    while not node._client_listener.connected:
        await asyncio.sleep(0.001)


async def wait_until_taken(node: Node, client: Client) -> None:
    """Wait until the id of the client's last request is taken at a process."""
    async with asyncio.timeout(5):
        while not node._clients.request_ids.is_taken(str(client.job_id), node.now()):
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("first", ["old", "new"])
def test_id_of_a_request_open_at_one_process_is_refused_at_the_other(
    first: str, method: str, tmp_path: Path
) -> None:
    """Guards against a request that runs twice because its id comes again at the other process."""

    async def scenario() -> None:
        async with Peer(SILENT) as peer, upgrading(tmp_path, peer) as (old, new, at_old, at_new):
            client, again = (at_old, at_new) if first == "old" else (at_new, at_old)
            client.ask(method)
            await peer.asked.wait()
            await wait_until_taken(new if first == "old" else old, client)
            again.ask(method)
            assert (await again.answer()).status == 409 and len(peer.requests) == 1
            peer.go_on.set()
            assert (await client.answer()).status == 200
            peer.reply = OK
            async with asyncio.timeout(5):
                while len(old._clients.request_ids) or len(new._clients.request_ids):
                    await asyncio.sleep(0.001)

    run(scenario())


def test_of_two_requests_with_one_id_that_arrive_at_both_processes_at_once_one_runs(tmp_path: Path) -> None:
    """Guards against both processes accepting an id before either has heard of the other's request."""

    async def scenario() -> None:
        async with Peer() as peer, upgrading(tmp_path, peer) as (_, _, at_old, at_new):
            for _ in range(20):
                peer.requests.clear()
                at_old.ask("POST", extra="Connection: keep-alive\r\n")
                at_new.ask("POST")
                statuses = [(await client.answer()).status for client in (at_old, at_new)]
                assert statuses == [200, 409] and len(peer.requests) == 1
                at_new._reader, at_new.writer = await asyncio.open_connection(
                    *at_new.writer.get_extra_info("peername")
                )

    run(scenario())


@pytest.mark.parametrize("leaves", ["client", "process"])
def test_id_stays_taken_at_the_successor_after_the_client_or_its_process_has_left(
    leaves: str, tmp_path: Path
) -> None:
    """Guards against a request that runs twice because the process that knew its id has ended."""

    async def scenario() -> None:
        async with Peer(SILENT) as peer, upgrading(tmp_path, peer) as (old, new, at_old, at_new):
            at_old.ask("POST")
            await peer.asked.wait()
            await wait_until_taken(new, at_old)
            if leaves == "client":
                at_old.writer.close()
                await wait_cancelled(old)
                old.stop()
            else:
                for channel in old._handover._channels:  # type: ignore[union-attr]
                    channel.abort()
            while new._handover is None or new._handover.peer_count:
                await asyncio.sleep(0.001)
            at_new.ask("POST")
            assert (await at_new.answer()).status == 409 and len(peer.requests) == 1
            peer.go_on.set()

    run(scenario())


def test_id_of_a_response_that_migrates_stays_taken_to_its_last_byte(tmp_path: Path) -> None:
    """Guards against a request that runs twice because its id did not move with its response."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async with running_with_scripts(send_half_and_wait(go_on), shared=tmp_path) as (
            old,
            address,
            (server,),
        ):
            first = await BodyClient().open(address)
            first.begin_request(b"")
            await first._reader.readuntil(b"\r\n\r\n")
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                await wait_for_successor(old)
                old.stop()
                await wait_for_counter(new, "streams_adopted")
                while new._handover is None or new._handover.peer_count:
                    await asyncio.sleep(0.001)
                new._clients.request_ids.forget_expired(new.now() + request_ids.MAX_HOLD_S)
                second = await Client().open(address)
                second.job_id = first.job_id - 1
                second.ask("POST")
                assert (await second.answer()).status == 409 and server.connections == 1
                go_on.set()
                assert await first._reader.readexactly(2 * MB) == BODY * 2
                while len(new._clients.request_ids):
                    await asyncio.sleep(0.001)

    run(scenario())
