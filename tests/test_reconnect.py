"""Connections to servers that come up late: a second one is tried, and the late one serves later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from notchjunction.net import upstream
from notchjunction.net.upstream_connection import RequestNotSentError, UpstreamConnection
from tests.helpers import SILENT, Client, Peer, running


class Held:
    """Connections that come up as told, by their order: at once, when released, or are refused."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, how: Callable[[int], str]) -> None:
        self.opened: list[UpstreamConnection] = []
        self.release = asyncio.Event()
        self.came_up = asyncio.Event()
        plain = UpstreamConnection.open

        async def open_as_told(connection: UpstreamConnection) -> None:
            self.opened.append(connection)
            match how(len(self.opened)):
                case "late":
                    await self.release.wait()
                    await plain(connection)
                    self.came_up.set()
                case "refused":
                    raise RequestNotSentError("refused")
                case _:
                    await plain(connection)

        monkeypatch.setattr(UpstreamConnection, "open", open_as_told)


async def settle(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not done():
            await asyncio.sleep(0)


def test_where_a_connection_comes_up_late_a_second_serves_and_the_late_one_serves_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story() -> None:
        held = Held(monkeypatch, lambda number: "late" if number == 1 else "at once")
        async with Peer() as server, running(server) as (node, listen):
            client = await Client().open(listen)
            client.ask()
            assert (await client.answer()).status == 200  # the time-out would fail it: there is one server
            assert len(held.opened) == 2 and server.connections == 1
            held.release.set()
            await held.came_up.wait()
            await settle(lambda: node.counters.read()["connections_idle"] == 2)
            await asyncio.sleep(2 * upstream.MIN_IDLE_BEFORE_REUSE_S)
            server.reply = SILENT
            other = await Client().open(listen)
            client.ask()
            other.ask()
            await settle(lambda: len(server.requests) == 3)
            server.go_on.set()
            assert [(await each.answer()).status for each in (client, other)] == [200, 200]
            assert len(held.opened) == 2 and server.connections == 2
            assert node.counters.read()["connections_raced"] == 1

    asyncio.run(story())


@pytest.mark.parametrize("how", ["late", "refused"])
def test_what_never_comes_up_or_is_refused_gives_every_descriptor_back(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "LATE_CONNECT_TIMEOUT_S", 0.05)

    async def story() -> None:
        held = Held(monkeypatch, lambda number: how)
        async with Peer() as server, running(server) as (node, listen):
            node._upstreams.apply_settings(0.05, 5.0, "/health")
            client = await Client().open(listen)
            client.ask()
            assert (await client.answer()).status == 503  # it never ran
            await settle(lambda: node._descriptors.in_use == 1)  # the caller's
            assert len(held.opened) >= (2 if how == "late" else 1) and not node._upstreams._late_connects
            figures = node.counters.read()
            assert figures["connections_opened"] == figures["connections_closed"] == len(held.opened)

    asyncio.run(story())


def test_late_connections_of_a_server_are_few_and_none_is_kept_where_the_list_has_dropped_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story() -> None:
        held = Held(monkeypatch, lambda number: "late")
        async with Peer() as server, running(server, max_attempts=1) as (node, listen):
            node._upstreams.apply_settings(0.05, 5.0, "/health")
            clients = [await Client().open(listen) for _ in range(4)]
            for client in clients:
                client.ask()
            assert [(await client.answer()).status for client in clients] == [503] * 4
            assert len(held.opened) == 8
            assert len(node._upstreams._late_connects["s0"]) <= upstream.MAX_LATE_CONNECTS
            node._upstreams.set_endpoints({})
            held.release.set()
            await settle(lambda: not node._upstreams._late_connects)
            assert node.counters.read()["connections_idle"] == 0
            await settle(lambda: node._descriptors.in_use == 4)

    asyncio.run(story())


def test_a_caller_that_goes_while_its_connection_comes_up_leaves_no_request_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story() -> None:
        held = Held(monkeypatch, lambda number: "late")
        async with Peer() as server, running(server) as (node, listen):
            client = await Client().open(listen)
            client.ask()
            await settle(lambda: bool(held.opened))
            client.writer.close()
            await settle(lambda: node.counters.read().get("requests_cancelled", 0) == 1)
            held.release.set()
            await settle(lambda: not node._upstreams._late_connects)
            assert server.requests == []

    asyncio.run(story())


def test_where_the_first_is_refused_as_the_second_comes_up_the_second_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plain, opened, second_up = UpstreamConnection.open, 0, asyncio.Event()

    async def open_side_by_side(connection: UpstreamConnection) -> None:
        nonlocal opened
        opened += 1
        if opened == 1:
            await second_up.wait()
            raise RequestNotSentError("refused")
        await plain(connection)
        second_up.set()  # the first is over before the loop has told of either

    async def story() -> None:
        async with Peer() as server, running(server) as (node, listen):
            monkeypatch.setattr(UpstreamConnection, "open", open_side_by_side)
            client = await Client().open(listen)
            client.ask()
            assert (await client.answer()).status == 200 and opened == 2
            figures = node.counters.read()
            assert figures["connections_opened"] - figures.get("connections_closed", 0) == 1

    asyncio.run(story())
