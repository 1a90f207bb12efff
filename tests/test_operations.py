"""Operators' calls on loopback: bans, drains that lead back, and callers that say nothing."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from notchjunction.balancing.interface import ListUpdate
from notchjunction.discovery.endpoint_list import read_list
from notchjunction.net import admin
from notchjunction.net.admin import AdminListener
from notchjunction.net.descriptors import BASE_DESCRIPTORS
from notchjunction.net.upstream import UpstreamPool
from notchjunction.node import node as node_module
from notchjunction.node.node import Node
from notchjunction.upgrade.serving_state import (
    SERVING_TRANSITIONS,
    ServingAction,
    ServingEvent,
    ServingState,
    ServingStateMachine,
)
from tests.helpers import OK, SILENT, Client, Peer, Reply, call, free_address, rows, running
from tests.test_net import run


async def ask_ready(listen: tuple[str, int]) -> int:
    client = await Client().open(listen)
    client.send(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
    return (await client.answer()).status


OUT = b"PUT /control/out-of-service HTTP/1.1\r\nHost: n\r\n\r\n"


async def heard(sock: socket.socket) -> bytes:
    """All that an operator is told; a reset is an error."""
    sock.setblocking(False)
    found = b""
    async with asyncio.timeout(5):
        while piece := await asyncio.get_running_loop().sock_recv(sock, 4096):
            found += piece
    return found


async def until_silent(client: Client) -> None:
    assert await client.closed()


def test_calls_are_answered_by_name_and_what_is_none_is_a_no() -> None:
    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt):
                for method, path, status in (
                    ("GET", "/control/ready", 200),
                    ("PUT", "/control/ready", 405),
                    ("PUT", "/control/servers/s0/offline", 200),
                    ("PUT", "/control/servers/s0/offline", 200),
                    ("GET", "/control/servers/s0/offline", 405),
                    ("PUT", "/control/servers/s0/online", 200),
                    ("PUT", "/control/servers/%73%30/online", 200),
                    ("PUT", "/control/servers/s9/offline", 404),
                    ("PUT", "/control/servers/s9/online", 404),
                    ("PUT", "/control/servers//offline", 404),
                    ("PUT", "/control/in-service", 200),
                    ("PUT", "/control/out-of-service", 200),
                    ("PUT", "/control/out-of-service", 200),
                    ("PUT", "/control/in-service", 200),
                    ("PUT", "/api", 404),
                    ("DELETE", "/control/ready", 405),
                ):
                    assert await call(mgmt, method, path) == status, path
                assert await call(mgmt, "PUT", "/control/servers/s0/online", b"a body") == 200

    run(story())


@pytest.mark.parametrize(
    "wire", [b"", b"PUT /control/serv", b"PUT /control/in-service HTTP/1.1\r\nHost: n\r\n"]
)
def test_callers_that_say_nothing_or_half_a_call_hold_up_no_other(wire: bytes) -> None:
    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt) as (node, _):
                silent = []
                for _ in range(3 * admin.MAX_CALLS):
                    silent.append(await asyncio.open_connection(*mgmt))
                    silent[-1][1].write(wire)
                began = time.monotonic()
                for _ in range(3):
                    assert await call(mgmt, "GET", "/control/ready") == 200
                assert time.monotonic() - began < 1.0
                assert len(node._admin_listener._calls) <= admin.MAX_CALLS
                for _, writer in silent:
                    writer.close()

    run(story())


@pytest.mark.parametrize("call_is", ["half", "answered", "under way"])
def test_who_is_given_up_for_another_operators_call_meets_no_reset(
    call_is: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """More of what it sends comes in that moment; while a call is under way, the new one is given up."""
    monkeypatch.setattr(admin, "MAX_CALLS", 1)
    monkeypatch.setattr(admin, "LINGER_TIMEOUT_S", 60.0)
    monkeypatch.setattr(admin, "HANDLER_TIMEOUT_S", 60.0)
    accept = AdminListener._accept
    crossing: list[socket.socket] = []

    def crossed(self: AdminListener, listener: socket.socket) -> Any:
        while crossing:
            crossing.pop().sendall(b"more")
        return accept(self, listener)

    monkeypatch.setattr(AdminListener, "_accept", crossed)

    async def story() -> None:
        mgmt = free_address()
        async with Peer() as peer, running(peer, mgmt=mgmt) as (node, _):
            begun, go_on = asyncio.Event(), asyncio.Event()

            async def out_of_service() -> bool:
                begun.set()
                if call_is == "under way":
                    await go_on.wait()
                return True

            monkeypatch.setattr(node, "out_of_service", out_of_service)
            with socket.create_connection(mgmt) as first, socket.socket() as second:
                first.sendall(OUT[:-2] if call_is == "half" else OUT)
                if call_is != "half":
                    await begun.wait()
                while call_is != "under way" and not node._admin_listener._incomplete:
                    await asyncio.sleep(0.001)
                second.connect(mgmt)
                given_up = second if call_is == "under way" else first
                crossing.append(given_up)
                while not node.counters.read().get("admin_calls_dropped") and call_is != "under way":
                    await asyncio.sleep(0.001)
                found = await heard(given_up)
                assert found.startswith(b"HTTP/1.1 200") if call_is == "answered" else not found
                go_on.set()

    run(story())


@pytest.mark.parametrize("stands", ["under way", "in the queue", "half come"])
def test_a_call_that_has_begun_is_answered_though_the_node_ends(
    stands: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node goes on with its end in the moment after."""
    monkeypatch.setattr(node_module, "LINGER_FINAL_S", 60.0)
    close, crossing = AdminListener.close, asyncio.Event()

    def crossed(self: AdminListener, *told: Any) -> Any:
        crossing.set()
        return close(self, *told)

    monkeypatch.setattr(AdminListener, "close", crossed)

    async def story() -> None:
        mgmt = free_address()
        async with Peer() as peer:
            with socket.socket() as operator:
                async with running(peer, mgmt=mgmt) as (node, _):
                    begun, go_on = asyncio.Event(), asyncio.Event()

                    async def out_of_service() -> bool:
                        begun.set()
                        await go_on.wait()
                        return True

                    monkeypatch.setattr(node, "out_of_service", out_of_service)
                    if stands != "in the queue":
                        operator.connect(mgmt)
                        operator.sendall(OUT[:-2] if stands == "half come" else OUT)
                        while not (
                            begun.is_set() or (stands == "half come" and node._admin_listener._incomplete)
                        ):
                            await asyncio.sleep(0.001)
                    else:
                        for listener in node._admin_listener._listeners:
                            node._loop.remove_reader(listener.fileno())
                        operator.connect(mgmt)
                        operator.sendall(OUT)
                    node.stop()
                    await crossing.wait()
                    if stands == "half come":
                        operator.sendall(OUT[-2:])
                    go_on.set()
                    assert (await heard(operator)).startswith(b"HTTP/1.1 200")

    run(story())


def test_an_operator_that_has_said_nothing_holds_up_no_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_module, "LINGER_FINAL_S", 60.0)

    async def story() -> None:
        mgmt = free_address()
        async with Peer() as peer:
            with socket.socket() as operator:
                async with running(peer, mgmt=mgmt) as (node, _):
                    operator.connect(mgmt)
                    while not node._admin_listener._incomplete:
                        await asyncio.sleep(0.001)
                assert await heard(operator) == b""

    run(story())


def test_a_call_that_does_not_end_holds_up_the_nodes_end_for_a_moment_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admin, "HANDLER_TIMEOUT_S", 60.0)

    async def story() -> None:
        mgmt = free_address()
        async with Peer() as peer:
            with socket.socket() as operator:
                async with running(peer, mgmt=mgmt) as (node, _):
                    begun = asyncio.Event()

                    async def out_of_service() -> bool:
                        begun.set()
                        await asyncio.Event().wait()
                        return True

                    monkeypatch.setattr(node, "out_of_service", out_of_service)
                    operator.connect(mgmt)
                    operator.sendall(OUT)
                    await begun.wait()
                assert await heard(operator) == b""

    run(story())


def test_an_operator_that_goes_before_its_answer_is_no_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> None:
        mgmt = free_address()
        async with Peer() as peer, running(peer, mgmt=mgmt) as (node, _):
            operator = socket.create_connection(mgmt)

            async def out_of_service() -> bool:
                operator.close()
                return True

            monkeypatch.setattr(node, "out_of_service", out_of_service)
            operator.sendall(OUT)
            while not node.counters.read().get("admin_calls") or node._admin_listener._calls:
                await asyncio.sleep(0.001)
            assert not node.counters.read().get("internal_errors")

    run(story())


def test_a_call_that_never_ends_is_told_so(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin, "READ_TIMEOUT_S", 0.05)

    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt) as (node, _):
                reader, writer = await asyncio.open_connection(*mgmt)
                writer.write(b"GET /control/ready HTTP/1.1\r\n")
                assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
                writer.close()
                assert await call(mgmt, "nonsense\r\n", "") == 400
                while node._admin_listener._calls:
                    await asyncio.sleep(0)

    run(story())


def test_a_call_that_comes_byte_by_byte_is_one_call() -> None:
    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt):
                reader, writer = await asyncio.open_connection(*mgmt)
                for byte in b"PUT /control/out-of-service HTTP/1.1\r\nHost: n\r\n\r\n":
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(0)
                assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
                writer.close()

    run(story())


def hear(node: Node, index: int, *servers: Peer, status: str = "active") -> None:
    endpoints = rows(*servers, status=status)
    node._apply_list(
        read_list({"index": index, "snapshot": True, "endpoints": endpoints}), ListUpdate.SNAPSHOT
    )


def test_a_server_taken_out_gets_nothing_whatever_the_list_says_until_it_is_given_back() -> None:
    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt) as (node, listen):
                client = await Client().open(listen)
                client.ask()
                assert (await client.answer()).status == 200
                assert await call(mgmt, "PUT", "/control/servers/s0/offline") == 200
                assert await call(mgmt, "PUT", "/control/servers/s0/offline") == 200
                for step in ("banned", "listed anew", "dropped", "back"):
                    if step != "banned":
                        hear(node, 5, *([] if step == "dropped" else [peer]))
                    client.ask(left="60")
                    assert (await client.answer()).status == 503, step
                assert len(peer.requests) == 1
                assert await call(mgmt, "PUT", "/control/servers/s0/online") == 200
                client.ask()
                assert (await client.answer()).status == 200
                assert peer.connections == 2  # what was kept from before the ban is of no use

    run(story())


def test_a_server_taken_out_while_a_connection_comes_up_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story() -> None:
        async with Peer() as peer, Peer() as other:
            mgmt = free_address()
            async with running(peer, other, mgmt=mgmt) as (node, listen):
                opened = UpstreamPool._acquire

                async def slowly(servers: UpstreamPool, server: str, reuse: bool) -> object:
                    found = opened(servers, server, reuse)
                    if server == "s0":
                        assert await node.take_offline("s0")
                    return await found

                monkeypatch.setattr(UpstreamPool, "_acquire", slowly)
                statuses = []
                while not other.requests or "s0" not in node._engine.banned:
                    client = await Client().open(listen)
                    client.ask()
                    statuses.append((await client.answer()).status)
                assert peer.requests == [] and peer.connections <= 1
                assert set(statuses) <= {200, 503} and statuses.count(503) <= 1

    run(story())


def test_a_retry_goes_past_a_server_taken_out_meanwhile() -> None:
    async def story() -> None:
        async with Peer() as first, Peer() as second, Peer() as third:
            peers = [first, second, third]
            async with running(*peers, max_attempts=3) as (node, listen):
                client = await Client().open(listen)
                for _ in range(20):  # first sends for the retry's budget
                    client.ask()
                    assert (await client.answer()).status == 200
                asked: list[str] = []

                def reset(name: str) -> Reply:
                    asked.append(name)
                    if len(asked) == 1:
                        left = [f"s{i}" for i in range(3) if f"s{i}" != name]
                        node._engine.ban(left[0])
                        node._update_upstreams()
                        return (b"", "reset")
                    return OK

                for i, peer in enumerate(peers):
                    peer.reply = lambda _, name=f"s{i}": reset(name)
                client.ask()
                assert (await client.answer()).status == 200
                assert len(asked) == 2 and asked[1] not in node._engine.banned

    run(story())


def test_a_node_led_out_of_service_says_so_parts_with_its_callers_and_comes_back() -> None:
    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt) as (_, listen):
                idle, busy = await Client().open(listen), await Client().open(listen)
                assert await ask_ready(listen) == 200
                assert await call(mgmt, "PUT", "/control/out-of-service") == 200
                assert await ask_ready(listen) == 503
                busy.ask()
                assert (await busy.answer()).status == 200  # served on, also where it comes late
                assert await idle.closed() and await busy.closed()
                late = await Client().open(listen)
                late.ask()
                answer = await late.answer()
                assert answer.status == 200 and not answer.keep_alive and await late.closed()
                assert await call(mgmt, "GET", "/control/ready") == 200
                assert await call(mgmt, "PUT", "/control/in-service") == 200
                assert await call(mgmt, "PUT", "/control/in-service") == 200
                assert await ask_ready(listen) == 200
                again = await Client().open(listen)
                for _ in range(2):
                    again.ask()
                    assert (await again.answer()).keep_alive

    run(story())


def test_a_job_under_way_when_the_node_is_led_away_is_answered() -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt) as (node, listen):
                client = await Client().open(listen)
                client.ask()
                await peer.asked.wait()
                assert await call(mgmt, "PUT", "/control/out-of-service") == 200
                while node._serving_state.state is not ServingState.DRAINING:
                    await asyncio.sleep(0.01)
                peer.go_on.set()
                answer = await client.answer()
                assert answer.status == 200 and not answer.keep_alive
                node.stop()
                assert not await node.in_service()  # nothing leads back from the end

    run(story())


@pytest.mark.parametrize("state", list(ServingState))
@pytest.mark.parametrize("event", list(ServingEvent))
def test_every_state_and_input_has_one_row_or_none(state: ServingState, event: ServingEvent) -> None:
    service = ServingStateMachine()
    service.state = state
    effect = service.handle(event)
    assert sum(1 for row in SERVING_TRANSITIONS if (row.state, row.event) == (state, event)) == (
        effect is not None
    )
    if state is ServingState.SHUTTING_DOWN:
        assert service.state is ServingState.SHUTTING_DOWN and effect in (None, ServingAction.NONE)
    if event is ServingEvent.SHUTDOWN_REQUESTED:
        assert service.state is ServingState.SHUTTING_DOWN
    if event is ServingEvent.PUT_IN_SERVICE and state is not ServingState.SHUTTING_DOWN:
        assert service.state is ServingState.SERVING


def test_calls_are_answered_while_descriptors_are_short() -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt, sockets=64) as (node, listen):
                clients = [await Client().open(listen) for _ in range(60)]
                for client in clients[:20]:
                    client.ask()
                while "client_connections_rejected" not in node.counters.read():
                    await asyncio.sleep(0.005)
                assert await call(mgmt, "GET", "/control/ready") == 200
                assert await call(mgmt, "PUT", "/control/servers/s0/offline") == 200
                held = node._descriptors.in_use + len(node._admin_listener._calls)
                assert held <= 64 - BASE_DESCRIPTORS
                for client in clients:
                    client.writer.close()

    run(story())


def test_a_drain_ends_in_time_though_callers_go_on_asking_and_new_ones_come() -> None:
    async def story() -> None:
        async with Peer() as peer:
            mgmt = free_address()
            async with running(peer, mgmt=mgmt) as (node, listen):
                going = True
                led_away: list[float] = []

                async def stays() -> None:
                    """Asks on one connection for as long as it is open, and then on another."""
                    while going:
                        client = await Client().open(listen)
                        keep = True
                        while keep and going:
                            client.ask()
                            keep = (await client.answer()).keep_alive
                            await asyncio.sleep(0.005)
                        client.writer.close()
                        led_away.append(time.monotonic())
                        if node._serving_state.state is ServingState.DRAINING:
                            return

                work = [asyncio.create_task(stays()) for _ in range(3)]
                silent = [await Client().open(listen) for _ in range(10)]
                assert await call(mgmt, "PUT", "/control/out-of-service") == 200
                for client in silent:
                    assert await client.closed()
                await asyncio.gather(*work)
                while node._client_listener.connected:
                    await asyncio.sleep(0.005)
                going = False
                assert len(led_away) >= 3

    run(story())
