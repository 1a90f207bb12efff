"""The id of a request is refused to others while the request is open, or while it may run."""

from __future__ import annotations

import asyncio

import pytest

from notchjunction.safety import request_ids
from notchjunction.safety.request_ids import RequestIds
from tests.helpers import FULL, OK, SILENT, Client, Peer, RawClient, Reply, running
from tests.test_departed_clients import wait_cancelled
from tests.test_large_bodies import BODY, MB, BodyClient, ScriptedConnection, running_with_scripts
from tests.test_net import run


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


def test_id_of_a_request_whose_long_response_is_on_its_way_is_refused() -> None:
    """Guards against an unsafe request that runs twice: its id was let go as its response began."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def pause_midway(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MB), BODY)
            await go_on.wait()
            await connection.send(BODY)

        async with running_with_scripts(pause_midway) as (node, address, (server,)):
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
