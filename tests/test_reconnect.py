"""Slow connects to servers: a second connection is raced, and the late one is pooled for later requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from notchjunction.net import upstream
from notchjunction.net.upstream_connection import RequestNotSentError, UpstreamConnection
from tests.helpers import SILENT, Client, Peer, running


class ScriptedConnects:
    """Replaces connecting: by its number, a connect runs at once, waits for `release` or is refused."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, behaviour_of: Callable[[int], str]) -> None:
        self.opened: list[UpstreamConnection] = []
        self.release = asyncio.Event()
        self.late_connected = asyncio.Event()
        original_open = UpstreamConnection.open

        async def open_scripted(connection: UpstreamConnection) -> None:
            self.opened.append(connection)
            match behaviour_of(len(self.opened)):
                case "late":
                    await self.release.wait()
                    await original_open(connection)
                    self.late_connected.set()
                case "refused":
                    raise RequestNotSentError("refused")
                case _:
                    await original_open(connection)

        monkeypatch.setattr(UpstreamConnection, "open", open_scripted)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0)


def test_a_second_connection_is_raced_on_a_slow_connect_and_the_late_one_is_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        connects = ScriptedConnects(monkeypatch, lambda number: "late" if number == 1 else "at once")
        async with Peer() as server, running(server) as (node, listen):
            client = await Client().open(listen)
            client.ask()
            # There is one server: the request would fail if it waited for the first connect.
            assert (await client.answer()).status == 200
            assert len(connects.opened) == 2 and server.connections == 1
            connects.release.set()
            await connects.late_connected.wait()
            await wait_until(lambda: node.counters.read()["connections_idle"] == 2)
            await asyncio.sleep(2 * upstream.MIN_IDLE_BEFORE_REUSE_S)
            server.reply = SILENT
            second_client = await Client().open(listen)
            client.ask()
            second_client.ask()
            await wait_until(lambda: len(server.requests) == 3)
            server.go_on.set()
            assert [(await requester.answer()).status for requester in (client, second_client)] == [200, 200]
            assert len(connects.opened) == 2 and server.connections == 2
            assert node.counters.read()["connections_raced"] == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("behaviour", ["late", "refused"])
def test_hanging_and_refused_connects_release_every_descriptor(
    behaviour: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "LATE_CONNECT_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        connects = ScriptedConnects(monkeypatch, lambda number: behaviour)
        async with Peer() as server, running(server) as (node, listen):
            node._upstreams.apply_settings(0.05, 5.0, "/health")
            client = await Client().open(listen)
            client.ask()
            assert (await client.answer()).status == 503  # no server received the request
            await wait_until(lambda: node._descriptors.in_use == 1)  # the client connection's
            assert (
                len(connects.opened) >= (2 if behaviour == "late" else 1)
                and not node._upstreams._late_connects
            )
            counters = node.counters.read()
            assert counters["connections_opened"] == counters["connections_closed"] == len(connects.opened)

    asyncio.run(scenario())


def test_late_connects_per_server_are_bounded_and_dropped_once_the_server_is_unlisted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        connects = ScriptedConnects(monkeypatch, lambda number: "late")
        async with Peer() as server, running(server, max_attempts=1) as (node, listen):
            node._upstreams.apply_settings(0.05, 5.0, "/health")
            clients = [await Client().open(listen) for _ in range(4)]
            for client in clients:
                client.ask()
            assert [(await client.answer()).status for client in clients] == [503] * 4
            assert len(connects.opened) == 8
            assert len(node._upstreams._late_connects["s0"]) <= upstream.MAX_LATE_CONNECTS
            node._upstreams.set_endpoints({})
            connects.release.set()
            await wait_until(lambda: not node._upstreams._late_connects)
            assert node.counters.read()["connections_idle"] == 0
            await wait_until(lambda: node._descriptors.in_use == 4)

    asyncio.run(scenario())


def test_a_client_that_disconnects_during_the_connect_has_its_request_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        connects = ScriptedConnects(monkeypatch, lambda number: "late")
        async with Peer() as server, running(server) as (node, listen):
            client = await Client().open(listen)
            client.ask()
            await wait_until(lambda: bool(connects.opened))
            client.writer.close()
            await wait_until(lambda: node.counters.read().get("requests_cancelled", 0) == 1)
            connects.release.set()
            await wait_until(lambda: not node._upstreams._late_connects)
            assert server.requests == []

    asyncio.run(scenario())


def test_the_second_connection_serves_when_the_first_is_refused_as_the_second_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_open, opened, second_connected = UpstreamConnection.open, 0, asyncio.Event()

    async def open_both_in_one_step(connection: UpstreamConnection) -> None:
        nonlocal opened
        opened += 1
        if opened == 1:
            await second_connected.wait()
            raise RequestNotSentError("refused")
        await original_open(connection)
        second_connected.set()  # both connects end before the event loop reports either

    async def scenario() -> None:
        async with Peer() as server, running(server) as (node, listen):
            monkeypatch.setattr(UpstreamConnection, "open", open_both_in_one_step)
            client = await Client().open(listen)
            client.ask()
            assert (await client.answer()).status == 200 and opened == 2
            counters = node.counters.read()
            assert counters["connections_opened"] - counters.get("connections_closed", 0) == 1

    asyncio.run(scenario())
