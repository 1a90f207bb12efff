"""The admin API on loopback: bans, cancelled drains, and clients that send nothing or half a request."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from notchjunction.balancing.interface import ListUpdate
from notchjunction.discovery.endpoint_list import read_list
from notchjunction.http1.messages import Request
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


OUT_OF_SERVICE = b"PUT /control/out-of-service HTTP/1.1\r\nHost: n\r\n\r\n"


async def read_to_end(sock: socket.socket) -> bytes:
    """Returns all that arrives until the connection is closed; a reset is an error."""
    sock.setblocking(False)
    received = b""
    async with asyncio.timeout(5):
        while piece := await asyncio.get_running_loop().sock_recv(sock, 4096):
            received += piece
    return received


async def check_closed(client: Client) -> None:
    assert await client.closed()


def test_requests_get_the_status_of_their_method_and_path() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address):
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
                    assert await call(admin_address, method, path) == status, path
                assert await call(admin_address, "PUT", "/control/servers/s0/online", b"a body") == 200

    run(scenario())


@pytest.mark.parametrize(
    "wire", [b"", b"PUT /control/serv", b"PUT /control/in-service HTTP/1.1\r\nHost: n\r\n"]
)
def test_clients_that_send_nothing_or_half_a_request_delay_no_other(wire: bytes) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address) as (node, _):
                incomplete = []
                for _ in range(3 * admin.MAX_CALLS):
                    incomplete.append(await asyncio.open_connection(*admin_address))
                    incomplete[-1][1].write(wire)
                started_at = time.monotonic()
                for _ in range(3):
                    assert await call(admin_address, "GET", "/control/ready") == 200
                assert time.monotonic() - started_at < 1.0
                assert len(node._admin_listener._calls) <= admin.MAX_CALLS
                for _, writer in incomplete:
                    writer.close()

    run(scenario())


@pytest.mark.parametrize("first_request", ["half sent", "answered", "being handled"])
def test_connection_dropped_in_favour_of_another_is_not_reset(
    first_request: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """More bytes arrive on it at that moment. During a handler, the new one is dropped instead."""
    monkeypatch.setattr(admin, "MAX_CALLS", 1)
    monkeypatch.setattr(admin, "LINGER_TIMEOUT_S", 60.0)
    monkeypatch.setattr(admin, "HANDLER_TIMEOUT_S", 60.0)
    accept = AdminListener._accept
    sending: list[socket.socket] = []

    def send_before_accept(self: AdminListener, listener: socket.socket) -> Any:
        while sending:
            sending.pop().sendall(b"more")
        return accept(self, listener)

    monkeypatch.setattr(AdminListener, "_accept", send_before_accept)

    async def scenario() -> None:
        admin_address = free_address()
        async with Peer() as peer, running(peer, mgmt=admin_address) as (node, _):
            handler_started, go_on = asyncio.Event(), asyncio.Event()

            async def out_of_service() -> bool:
                handler_started.set()
                if first_request == "being handled":
                    await go_on.wait()
                return True

            monkeypatch.setattr(node, "out_of_service", out_of_service)
            with socket.create_connection(admin_address) as first, socket.socket() as second:
                first.sendall(OUT_OF_SERVICE[:-2] if first_request == "half sent" else OUT_OF_SERVICE)
                if first_request != "half sent":
                    await handler_started.wait()
                while first_request != "being handled" and not node._admin_listener._incomplete:
                    await asyncio.sleep(0.001)
                second.connect(admin_address)
                dropped = second if first_request == "being handled" else first
                sending.append(dropped)
                while (
                    not node.counters.read().get("admin_calls_dropped") and first_request != "being handled"
                ):
                    await asyncio.sleep(0.001)
                received = await read_to_end(dropped)
                assert received.startswith(b"HTTP/1.1 200") if first_request == "answered" else not received
                go_on.set()

    run(scenario())


@pytest.mark.parametrize("request_is", ["being handled", "in the queue", "half received"])
def test_request_that_has_begun_is_answered_while_the_node_shuts_down(
    request_is: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rest of the request, or its result, comes while the admin listener closes."""
    monkeypatch.setattr(node_module, "LINGER_FINAL_S", 60.0)
    close, closing = AdminListener.close, asyncio.Event()

    def report_close(self: AdminListener, *arguments: Any) -> Any:
        closing.set()
        return close(self, *arguments)

    monkeypatch.setattr(AdminListener, "close", report_close)

    async def scenario() -> None:
        admin_address = free_address()
        async with Peer() as peer:
            with socket.socket() as operator:
                async with running(peer, mgmt=admin_address) as (node, _):
                    handler_started, go_on = asyncio.Event(), asyncio.Event()

                    async def out_of_service() -> bool:
                        handler_started.set()
                        await go_on.wait()
                        return True

                    monkeypatch.setattr(node, "out_of_service", out_of_service)
                    if request_is != "in the queue":
                        operator.connect(admin_address)
                        operator.sendall(
                            OUT_OF_SERVICE[:-2] if request_is == "half received" else OUT_OF_SERVICE
                        )
                        while not (
                            handler_started.is_set()
                            or (request_is == "half received" and node._admin_listener._incomplete)
                        ):
                            await asyncio.sleep(0.001)
                    else:
                        for listener in node._admin_listener._listeners:
                            node._loop.remove_reader(listener.fileno())
                        operator.connect(admin_address)
                        operator.sendall(OUT_OF_SERVICE)
                    node.stop()
                    await closing.wait()
                    if request_is == "half received":
                        operator.sendall(OUT_OF_SERVICE[-2:])
                    go_on.set()
                    assert (await read_to_end(operator)).startswith(b"HTTP/1.1 200")

    run(scenario())


def test_client_that_has_sent_nothing_does_not_delay_the_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_module, "LINGER_FINAL_S", 60.0)

    async def scenario() -> None:
        admin_address = free_address()
        async with Peer() as peer:
            with socket.socket() as operator:
                async with running(peer, mgmt=admin_address) as (node, _):
                    operator.connect(admin_address)
                    while not node._admin_listener._incomplete:
                        await asyncio.sleep(0.001)
                assert await read_to_end(operator) == b""

    run(scenario())


def test_handler_that_never_returns_delays_the_shutdown_only_briefly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admin, "HANDLER_TIMEOUT_S", 60.0)

    async def scenario() -> None:
        admin_address = free_address()
        async with Peer() as peer:
            with socket.socket() as operator:
                async with running(peer, mgmt=admin_address) as (node, _):
                    handler_started = asyncio.Event()

                    async def out_of_service() -> bool:
                        handler_started.set()
                        await asyncio.Event().wait()
                        return True

                    monkeypatch.setattr(node, "out_of_service", out_of_service)
                    operator.connect(admin_address)
                    operator.sendall(OUT_OF_SERVICE)
                    await handler_started.wait()
                assert await read_to_end(operator) == b""

    run(scenario())


def test_client_that_disconnects_before_its_response_is_no_internal_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        admin_address = free_address()
        async with Peer() as peer, running(peer, mgmt=admin_address) as (node, _):
            operator = socket.create_connection(admin_address)

            async def out_of_service() -> bool:
                operator.close()
                return True

            monkeypatch.setattr(node, "out_of_service", out_of_service)
            operator.sendall(OUT_OF_SERVICE)
            while not node.counters.read().get("admin_calls") or node._admin_listener._calls:
                await asyncio.sleep(0.001)
            assert not node.counters.read().get("internal_errors")

    run(scenario())


def test_incomplete_request_gets_408_after_the_timeout_and_a_malformed_one_400(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admin, "READ_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address) as (node, _):
                reader, writer = await asyncio.open_connection(*admin_address)
                writer.write(b"GET /control/ready HTTP/1.1\r\n")
                assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
                writer.close()
                assert await call(admin_address, "nonsense\r\n", "") == 400
                while node._admin_listener._calls:
                    await asyncio.sleep(0)

    run(scenario())


def test_request_that_arrives_byte_by_byte_is_one_request() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address):
                reader, writer = await asyncio.open_connection(*admin_address)
                for byte in b"PUT /control/out-of-service HTTP/1.1\r\nHost: n\r\n\r\n":
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(0)
                assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
                writer.close()

    run(scenario())


def apply_list(node: Node, index: int, *servers: Peer, status: str = "active") -> None:
    endpoints = rows(*servers, status=status)
    node._apply_list(
        read_list({"index": index, "snapshot": True, "endpoints": endpoints}), ListUpdate.SNAPSHOT
    )


def test_banned_server_gets_no_request_whatever_the_list_has_until_the_ban_is_lifted() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address) as (node, listen):
                client = await Client().open(listen)
                client.ask()
                assert (await client.answer()).status == 200
                assert await call(admin_address, "PUT", "/control/servers/s0/offline") == 200
                assert await call(admin_address, "PUT", "/control/servers/s0/offline") == 200
                for step in ("banned", "listed anew", "dropped", "back"):
                    if step != "banned":
                        apply_list(node, 5, *([] if step == "dropped" else [peer]))
                    client.ask(left="60")
                    assert (await client.answer()).status == 503, step
                assert len(peer.requests) == 1
                assert await call(admin_address, "PUT", "/control/servers/s0/online") == 200
                client.ask()
                assert (await client.answer()).status == 200
                assert peer.connections == 2  # a connection from before the ban is not reused

    run(scenario())


def test_server_banned_while_a_connection_is_being_opened_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, Peer() as other:
            admin_address = free_address()
            async with running(peer, other, mgmt=admin_address) as (node, listen):
                acquire = UpstreamPool.acquire

                async def ban_meanwhile(pool: UpstreamPool, server: str, request: Request) -> object:
                    connection = acquire(pool, server, request)
                    if server == "s0":
                        assert await node.take_offline("s0")
                    return await connection

                monkeypatch.setattr(UpstreamPool, "acquire", ban_meanwhile)
                statuses = []
                while not other.requests or "s0" not in node._engine.banned:
                    client = await Client().open(listen)
                    client.ask()
                    statuses.append((await client.answer()).status)
                assert peer.requests == [] and peer.connections <= 1
                assert set(statuses) <= {200, 503} and statuses.count(503) <= 1

    run(scenario())


def test_retry_is_not_sent_to_a_server_banned_after_the_first_attempt() -> None:
    async def scenario() -> None:
        async with Peer() as first, Peer() as second, Peer() as third:
            peers = [first, second, third]
            async with running(*peers, max_attempts=3) as (node, listen):
                client = await Client().open(listen)
                for _ in range(20):  # first attempts, which add to the retry budget
                    client.ask()
                    assert (await client.answer()).status == 200
                attempted: list[str] = []

                def reset_first(name: str) -> Reply:
                    attempted.append(name)
                    if len(attempted) == 1:
                        others = [f"s{i}" for i in range(3) if f"s{i}" != name]
                        node._engine.ban(others[0])
                        node._update_upstreams()
                        return (b"", "reset")
                    return OK

                for i, peer in enumerate(peers):
                    peer.reply = lambda _, name=f"s{i}": reset_first(name)
                client.ask()
                assert (await client.answer()).status == 200
                assert len(attempted) == 2 and attempted[1] not in node._engine.banned

    run(scenario())


def test_node_out_of_service_reports_it_closes_its_connections_and_can_return() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address) as (_, listen):
                idle, busy = await Client().open(listen), await Client().open(listen)
                assert await ask_ready(listen) == 200
                assert await call(admin_address, "PUT", "/control/out-of-service") == 200
                assert await ask_ready(listen) == 503
                busy.ask()
                assert (await busy.answer()).status == 200  # served, although the node drains
                assert await idle.closed() and await busy.closed()
                late = await Client().open(listen)
                late.ask()
                response = await late.answer()
                assert response.status == 200 and not response.keep_alive and await late.closed()
                assert await call(admin_address, "GET", "/control/ready") == 200
                assert await call(admin_address, "PUT", "/control/in-service") == 200
                assert await call(admin_address, "PUT", "/control/in-service") == 200
                assert await ask_ready(listen) == 200
                again = await Client().open(listen)
                for _ in range(2):
                    again.ask()
                    assert (await again.answer()).keep_alive

    run(scenario())


def test_request_in_flight_when_the_node_goes_out_of_service_is_answered() -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address) as (node, listen):
                client = await Client().open(listen)
                client.ask()
                await peer.asked.wait()
                assert await call(admin_address, "PUT", "/control/out-of-service") == 200
                while node._serving_state.state is not ServingState.DRAINING:
                    await asyncio.sleep(0.01)
                peer.go_on.set()
                response = await client.answer()
                assert response.status == 200 and not response.keep_alive
                node.stop()
                assert not await node.in_service()  # a shutdown cannot be cancelled

    run(scenario())


@pytest.mark.parametrize("state", list(ServingState))
@pytest.mark.parametrize("event", list(ServingEvent))
def test_each_serving_state_and_event_has_at_most_one_transition(
    state: ServingState, event: ServingEvent
) -> None:
    machine = ServingStateMachine()
    machine.state = state
    action = machine.handle(event)
    assert sum(1 for row in SERVING_TRANSITIONS if (row.state, row.event) == (state, event)) == (
        action is not None
    )
    if state is ServingState.SHUTTING_DOWN:
        assert machine.state is ServingState.SHUTTING_DOWN and action in (None, ServingAction.NONE)
    if event is ServingEvent.SHUTDOWN_REQUESTED:
        assert machine.state is ServingState.SHUTTING_DOWN
    if event is ServingEvent.PUT_IN_SERVICE and state is not ServingState.SHUTTING_DOWN:
        assert machine.state is ServingState.SERVING


def test_admin_requests_are_answered_while_descriptors_are_short() -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address, sockets=64) as (node, listen):
                clients = [await Client().open(listen) for _ in range(60)]
                for client in clients[:20]:
                    client.ask()
                while "client_connections_rejected" not in node.counters.read():
                    await asyncio.sleep(0.005)
                assert await call(admin_address, "GET", "/control/ready") == 200
                assert await call(admin_address, "PUT", "/control/servers/s0/offline") == 200
                in_use = node._descriptors.in_use + len(node._admin_listener._calls)
                assert in_use <= 64 - BASE_DESCRIPTORS
                for client in clients:
                    client.writer.close()

    run(scenario())


def test_drain_ends_although_clients_keep_sending_requests_and_new_ones_connect() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            admin_address = free_address()
            async with running(peer, mgmt=admin_address) as (node, listen):
                sending = True
                closed_at: list[float] = []

                async def send_requests() -> None:
                    """Sends requests on one connection until the node closes it, and then on another."""
                    while sending:
                        client = await Client().open(listen)
                        keep_alive = True
                        while keep_alive and sending:
                            client.ask()
                            keep_alive = (await client.answer()).keep_alive
                            await asyncio.sleep(0.005)
                        client.writer.close()
                        closed_at.append(time.monotonic())
                        if node._serving_state.state is ServingState.DRAINING:
                            return

                tasks = [asyncio.create_task(send_requests()) for _ in range(3)]
                idle = [await Client().open(listen) for _ in range(10)]
                assert await call(admin_address, "PUT", "/control/out-of-service") == 200
                for client in idle:
                    assert await client.closed()
                await asyncio.gather(*tasks)
                while node._client_listener.connected:
                    await asyncio.sleep(0.005)
                sending = False
                assert len(closed_at) >= 3

    run(scenario())
