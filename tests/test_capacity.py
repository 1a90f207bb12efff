"""Tests of descriptor limits, which close idle clients first, and of starts without discovery."""

from __future__ import annotations

import asyncio
import json
import math
import os
import re
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from notchjunction.addresses import Address
from notchjunction.balancing.interface import AttemptResult
from notchjunction.config import node_config, validation
from notchjunction.discovery import watch_state
from notchjunction.discovery.watch_state import ListWatch
from notchjunction.net import client_listener, descriptor_pressure, request_intake
from notchjunction.net.client_connection import ClientConnection
from notchjunction.net.descriptors import SHORTAGE_PAUSE_S
from notchjunction.net.discovery_client import DiscoveryClient
from notchjunction.node.node import Node
from notchjunction.upgrade import listener_sharing, shared_folder
from tests.helpers import (
    OK,
    SILENT,
    Client,
    Peer,
    Program,
    RawClient,
    Reply,
    configuration,
    free_address,
    news,
    no_descriptor_left,
    rows,
    running,
)
from tests.test_net import PoolHarness, run


async def status_of(client: Client) -> int:
    client.ask()
    return (await client.answer()).status


def document_with_list(peer: Peer, document: dict[str, Any], sockets: int = 64) -> dict[str, Any]:
    """Return the document with a cached list of `peer`, and a descriptor limit unless `sockets` is 0."""
    cached_list = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
    return {**document, "known": cached_list, **({"limits": {"sockets": sockets}} if sockets else {})}


@pytest.mark.parametrize(
    ("sockets", "descriptors", "used_elsewhere"),
    [
        (64, 64, 0),
        (160, 160, 0),
        (0, 64, 0),  # no limit is configured, and the operating system's limit is far below the usual one
        (64, 64, 40),  # something else in the process uses part of the configured limit
    ],
)
def test_idle_clients_free_descriptors_for_the_list_for_servers_and_for_new_clients(
    sockets: int, descriptors: int, used_elsewhere: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        discovery_address = free_address()  # discovery is down: refused
        async with Peer() as peer:
            document = document_with_list(
                peer, configuration(f"{discovery_address[0]}:{discovery_address[1]}"), sockets
            )
            async with Program(tmp_path, document, descriptors, used_elsewhere) as program:
                await program.says("ready")
                clients, statuses = [], []
                for _ in range(descriptors):
                    clients.append(await Client().open(program.listen))
                    statuses.append(await status_of(clients[-1]))
                assert set(statuses) <= {200, 503} and program.held() <= descriptors
                async with Peer(lambda _: news(2, rows(peer)), discovery_address) as discovery:
                    await discovery.asked.wait()
                    # These send nothing.
                    clients += [await Client().open(program.listen) for _ in range(descriptors)]
                    while len(discovery.requests) < 3:
                        await asyncio.sleep(0.002)
                    served = 0
                    while served < 3:  # each new client gets a response, and soon it is that of a server
                        new_client = await Client().open(program.listen)
                        status = await status_of(new_client)
                        assert status in (200, 503)
                        served += status == 200
                assert program.count("accept failed") <= (used_elsewhere > 0)
                assert program.count("list update failed") == 0

    run(scenario())


SHORT_DEADLINE_S = 0.8  # a deadline of a few tenths, and the 0.5 s after it in which a response counts
PARTIAL_HEAD = b"GET /api HTTP/1.1\r\nReq-Id: 1\r\n"


async def open_partial_heads(address: Address) -> list[Client]:
    """Open clients that send part of a head: the 7 that a node with 28 descriptors serves, and 1 more."""
    clients = [await Client().open(address) for _ in range(8)]
    for client in clients:
        client.send(PARTIAL_HEAD)
    return clients


async def exceed_margin(node: Node, address: Address) -> tuple[list[Client], list[Client]]:
    """Return those clients once they are accepted, and six more past the margin with a request each."""
    partial_clients = await open_partial_heads(address)
    while node._descriptors.clients < 8:
        await asyncio.sleep(0.001)
    late_clients = [await Client().open(address) for _ in range(6)]
    for client in late_clients:
        client.ask()
    return partial_clients, late_clients


@pytest.mark.parametrize(("room_timeout", "accepted"), [(5.0, True), (0.05, False)])
def test_clients_past_the_margin_are_rejected_after_a_bounded_wait(
    room_timeout: float, accepted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_intake, "REJECTED_TIMEOUT_S", 0.3)
    # The clients with incomplete heads stay connected, however late the event loop is.
    monkeypatch.setattr(descriptor_pressure, "MIN_HEAD_PAST_MARGIN_S", 30.0)
    monkeypatch.setattr(client_listener, "ROOM_TIMEOUT_S", room_timeout)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            partial_clients, late_clients = await exceed_margin(node, address)
            for client in late_clients:
                response = await client.answer()
                assert (response.status, response.keep_alive) == (503, False) and await client.closed()
            assert ("client_connections_dropped" in node.counters.read()) is not accepted
            assert node._descriptors.clients <= 8
            for client in partial_clients:
                client.writer.close()

    run(scenario())


def test_clients_that_wait_for_a_descriptor_in_vain_are_rejected_before_short_deadlines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No client disconnects. Each client that waits soon gets a response and a close without a reset."""
    monkeypatch.setattr(request_intake, "REJECTED_TIMEOUT_S", 30.0)
    monkeypatch.setattr(request_intake, "HEAD_TIMEOUT_S", 30.0)
    monkeypatch.setattr(descriptor_pressure, "MIN_HEAD_PAST_MARGIN_S", 30.0)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            partial_clients, late_clients = await exceed_margin(node, address)
            start = asyncio.get_running_loop().time()
            for client in late_clients:
                response = await client.answer()
                assert (response.status, response.keep_alive) == (503, False) and await client.closed()
            assert asyncio.get_running_loop().time() < start + SHORT_DEADLINE_S
            assert node._descriptors.clients == 8 and not peer.requests
            for client in partial_clients:
                client.writer.close()

    run(scenario())


@pytest.mark.parametrize("stops", [True, False])
def test_clients_that_wait_for_a_descriptor_get_a_response_when_the_node_stops_or_pauses(
    stops: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_intake, "REJECTED_TIMEOUT_S", 0.5)
    monkeypatch.setattr(request_intake, "HEAD_TIMEOUT_S", 0.5)
    monkeypatch.setattr(client_listener, "ROOM_TIMEOUT_S", 5.0)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            partial_clients, late_clients = await exceed_margin(node, address)
            while node._client_listener._waiting is None:
                await asyncio.sleep(0.001)
            if stops:
                node.stop()
                while node._client_listener.listeners and not node._client_listener._stopping:
                    await asyncio.sleep(0.001)
                assert {(await client.answer()).status for client in late_clients} <= {200, 503}
                assert not node._client_listener.listeners
                assert "client_connections_dropped" not in node.counters.read()
            else:
                node._client_listener.pause()
                assert (await late_clients[0].answer()).status in (200, 503)
                opened = node.counters.read()["client_connections_opened"]
                assert opened == 9  # the others stay queued for another process of the node
                node._client_listener.resume()
                assert {(await client.answer()).status for client in late_clients[1:]} <= {200, 503}
            for client in partial_clients:
                client.writer.close()

    run(scenario())


def test_past_the_margin_incomplete_heads_get_408_and_a_new_client_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for timeout in ("HEAD_TIMEOUT_S", "REJECTED_TIMEOUT_S", "BODY_GRACE_S"):
        monkeypatch.setattr(request_intake, timeout, 30.0)  # no client times out
    monkeypatch.setattr(client_listener, "ROOM_TIMEOUT_S", 30.0)
    reject_partial_head = ClientConnection.reject_partial_head
    to_complete: list[RawClient] = []

    def complete_and_reject(connection: ClientConnection) -> None:
        if to_complete:
            to_complete.pop().more(b"Req-Kind: plain\r\nReq-Deadline-Ms: 2000\r\n\r\n")
        reject_partial_head(connection)

    monkeypatch.setattr(ClientConnection, "reject_partial_head", complete_and_reject)

    async def answer_to(client: RawClient) -> bytes:
        async with asyncio.timeout(10):
            return await asyncio.get_running_loop().sock_recv(client.socket, 4096)

    async def scenario() -> None:
        async with (
            Peer(lambda request: SILENT if "?" in request.target else OK) as peer,
            running(peer, sockets=28) as (node, address),
        ):
            waiting_client = await Client().open(address)
            waiting_client.ask()
            await peer.asked.wait()
            body_client, completing_client = RawClient(address), RawClient(address)
            body_client.ask(b"x" * 50, "POST", length=100)
            completing_client.more(PARTIAL_HEAD)
            to_complete.append(completing_client)
            while not node._clients.phases.heads or not any(
                connection._intake.parser.in_body for connection in node._clients.connections
            ):
                await asyncio.sleep(0.001)
            partial_clients = [RawClient(address) for _ in range(5)]
            for partial_client in partial_clients:
                partial_client.more(PARTIAL_HEAD.replace(b"1\r\n", b"2\r\n"))
            while len(node._clients.phases.heads) < 6:
                await asyncio.sleep(0.001)
            new_client = RawClient(address)
            new_client.ask()
            assert (await answer_to(new_client)).startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
            # Its head was completed just before the 408.
            assert (await answer_to(completing_client)).startswith(b"HTTP/1.1 200")
            assert (await answer_to(partial_clients[0])).startswith(b"HTTP/1.1 408")
            assert await answer_to(partial_clients[0]) == b""  # closed without a reset
            body_client.more(b"x" * 50)
            assert (await answer_to(body_client)).startswith(b"HTTP/1.1 200")
            assert (await waiting_client.answer()).status != 408
            assert "client_connections_dropped" not in node.counters.read()
            for client in (body_client, completing_client, new_client, *partial_clients):
                client.socket.close()

    run(scenario())


def test_a_recently_idle_client_is_closed_only_after_silent_clients() -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            idle_client = await Client().open(address)
            assert await status_of(idle_client) == 200
            silent_clients = [await Client().open(address) for _ in range(20)]
            while node.counters.read()["client_connections_opened"] < 21:
                await asyncio.sleep(0.001)
            assert await status_of(idle_client) == 200 and await silent_clients[0].closed()

    run(scenario())


def test_an_idle_connection_is_closed_if_the_operating_system_has_no_descriptor() -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            upstream = PoolHarness(peer)
            discovery_client = DiscoveryClient(
                peer.address, ListWatch(0.0), time.monotonic, lambda: free_descriptors()
            )
            upstream.pool._close_idle_client = lambda: free_descriptors()

            def free_descriptors() -> bool:
                for _ in range(2):  # one for the node, and one for the peer, which runs in the same process
                    os.close(open_descriptors.pop())
                return True

            with no_descriptor_left(given=4) as open_descriptors:
                assert (await upstream.send()).outcome.result is AttemptResult.SUCCEEDED
                peer.reply = news(4, [])
                assert (await discovery_client.next_update()).version == 4
            discovery_client.close()
            upstream.pool.close()
            assert upstream.descriptors.in_use == 0

    run(scenario())


def max_accepts_since(start: float) -> float:
    """Return how many accepts a listener tries with its pauses; without pauses it tries thousands."""
    return 2 + (time.monotonic() - start) / SHORTAGE_PAUSE_S


# Idle connections stay open during a test.
KEEP_IDLE = {"max_dispatches": 5, "cancel": True, "conn_idle": 60_000}


def test_the_list_is_polled_while_idle_clients_use_all_descriptors(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery_address = free_address()
        async with Peer() as peer:
            document = document_with_list(
                peer, configuration(f"{discovery_address[0]}:{discovery_address[1]}", limits=KEEP_IDLE)
            )
            async with Program(tmp_path, document, 64, 40) as program:
                await program.says("ready")
                clients = []
                while program.held() < 64:
                    clients.append(await Client().open(program.listen))
                    clients[-1].ask()
                    await clients[-1].answer()
                # No further client connects, so an idle one is closed only for the poll of the list.
                async with (
                    Peer(lambda _: news(2, rows(peer)), discovery_address) as discovery,
                    asyncio.timeout(10),
                ):
                    await discovery.asked.wait()
                assert int((await program.figures())["client_connections_shed"]) >= 1

    run(scenario())


def test_failed_accepts_of_clients_are_retried_at_a_low_rate_and_logged_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer, Peer(SILENT) as discovery:
            document = document_with_list(peer, configuration(discovery.at))
            start = time.monotonic()
            async with Program(tmp_path, document, 64, 40) as program:
                await program.says("ready")
                clients = []
                for _ in range(30):
                    clients.append(await Client().open(program.listen))
                    clients[-1].ask(left="300")  # so that no client is idle and none can be closed
                await program.says("accept failed")
                assert {(await client.answer()).status for client in clients} <= {200, 503}
                counters = await program.figures()
                assert 1 <= int(counters["accepts_failed"]) <= max_accepts_since(start)
                assert program.count("accept failed") == 1

    run(scenario())


def test_failed_accepts_of_admin_connections_are_retried_at_a_low_rate_until_they_succeed() -> None:
    async def scenario() -> None:
        admin_address = free_address()
        async with Peer() as peer, running(peer, mgmt=admin_address) as (node, _):
            with socket.socket() as operator:
                operator.setblocking(False)
                with no_descriptor_left():
                    await node._loop.sock_connect(operator, admin_address)
                    start = time.monotonic()
                    for _ in range(200):
                        await asyncio.sleep(0)
                    assert 1 <= node.counters.read()["accepts_failed"] <= max_accepts_since(start)
                await node._loop.sock_sendall(operator, b"GET /control/ready HTTP/1.1\r\n\r\n")
                assert (await node._loop.sock_recv(operator, 99)).startswith(b"HTTP/1.1 200")

    run(scenario())


@pytest.mark.parametrize(
    ("socket_name", "kind"),
    [
        (shared_folder.HANDOVER_SOCKET, socket.SOCK_STREAM),
        (shared_folder.STREAMS_SOCKET, socket.SOCK_SEQPACKET),
    ],
)
def test_failed_accepts_of_the_next_process_are_retried_at_a_low_rate_until_they_succeed(
    socket_name: str, kind: socket.SocketKind, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            with (
                socket.socket(socket.AF_UNIX, kind) as next_process,
                socket.socket(socket.AF_UNIX, kind) as second_connection,
            ):
                next_process.setblocking(False)
                with no_descriptor_left():
                    next_process.connect(str(tmp_path / socket_name))
                    start = time.monotonic()
                    turns = 0
                    while node.counters.read().get("accepts_failed", 0) < 2 or turns < 200:
                        turns += 1
                        await asyncio.sleep(0)
                    assert node.counters.read()["accepts_failed"] <= max_accepts_since(start)
                if kind is socket.SOCK_STREAM:
                    identity = json.loads(
                        await node._loop.sock_recv(next_process, listener_sharing.MAX_IDENTITY_BYTES)
                    )
                    assert identity["node"] == "n"
                else:
                    while len(node._handover._stream_sockets) < 2:
                        await asyncio.sleep(0.001)
                # Closed during the pause: the listener is not watched any more, even if its number is reused.
                with no_descriptor_left():
                    second_connection.connect(str(tmp_path / socket_name))
                    failed_before = node.counters.read()["accepts_failed"]
                    while node.counters.read()["accepts_failed"] == failed_before:
                        await asyncio.sleep(0)
                    node._handover.close()
                await asyncio.sleep(2 * SHORTAGE_PAUSE_S)
                assert node.counters.read().get("internal_errors", 0) == 0

    run(scenario())


# A node with a complete or damaged cached list starts without discovery.

GARBAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{[\xff"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
DISCOVERY_REPLIES: dict[str, Reply | None] = {
    "refused": None,
    "silent": SILENT,
    "busy": (BUSY, "keep"),
    "garbage": (GARBAGE, "keep"),
    "reset": (b"", "reset"),
    "endless": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1, 2", "hold"),
}


async def ready(address: Address) -> bool:
    client = await Client().open(address)
    client.send(b"GET /ready HTTP/1.1\r\n\r\n")
    status = (await client.answer()).status
    client.writer.close()
    return status == 200


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("behaviour", DISCOVERY_REPLIES)
def test_a_node_with_a_cached_list_is_ready_and_serves_whatever_discovery_does(
    behaviour: str, pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_state, "AGENT_INITIAL_WAIT_S", 0.1)
    reply = DISCOVERY_REPLIES[behaviour]

    async def scenario() -> None:
        async with Peer() as peer, Peer(reply or OK) as discovery:
            if reply is None:
                await discovery.__aexit__()
            async with running(peer, discovery=discovery, pushed=pushed) as (node, address):
                while not await ready(address):
                    await asyncio.sleep(0.005)
                client = await Client().open(address)
                assert await status_of(client) == 200
                assert node.counters.read().get("internal_errors", 0) == 0

    run(scenario())


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_the_program_is_ready_well_within_10_s_with_discovery_down(mode: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery_address = free_address()
        async with Peer() as peer:
            document = document_with_list(
                peer, configuration(f"{discovery_address[0]}:{discovery_address[1]}", registry_mode=mode)
            )
            start = time.monotonic()
            async with Program(tmp_path, document) as program:
                await program.says("ready")
                assert time.monotonic() - start < 7.0
                assert await ready(program.listen)

    run(scenario())


@pytest.mark.parametrize("pushed", [False, True])
def test_a_hanging_previous_process_delays_a_start_only_briefly(
    pushed: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_state, "AGENT_INITIAL_WAIT_S", 0.1)
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        with socket.socket(socket.AF_UNIX) as hanging_process:  # accepts connections and sends nothing
            hanging_process.bind(str(tmp_path / shared_folder.HANDOVER_SOCKET))
            hanging_process.listen()
            discovery = Peer()
            discovery.address = free_address()
            async with (
                Peer() as peer,
                running(peer, discovery=discovery, shared=tmp_path, pushed=pushed) as started,
            ):
                node, address = started
                while not await ready(address):
                    await asyncio.sleep(0.005)
                assert node.counters.read()["handovers_failed"] == 1
                assert await status_of(await Client().open(address)) == 200

    run(scenario())


def test_the_timeouts_at_startup_use_less_than_half_of_the_10_s_allowed() -> None:
    assert listener_sharing.JOIN_TIMEOUT_S + watch_state.AGENT_INITIAL_WAIT_S < 5.0


def test_a_node_without_any_list_is_not_ready_until_the_first_one_arrives() -> None:
    async def scenario() -> None:
        discovery = Peer()
        discovery.address = free_address()
        async with Peer() as peer, running(discovery=discovery, known=False) as (_, address):
            assert not await ready(address)
            assert await status_of(await Client().open(address)) == 503
            discovery.reply = lambda request: SILENT if "after=" in request.target else news(5, rows(peer))
            async with discovery:
                while not await ready(address):
                    await asyncio.sleep(0.005)
                assert await status_of(await Client().open(address)) == 200

    run(scenario())


@pytest.mark.parametrize(
    ("index", "damaged_entry"),
    [
        (7, {"name": "s9", "address": "127.0.0.1:1"}),  # the status is missing
        (7, {"name": "s9", "address": "nowhere", "status": "active"}),
        (7, {"name": "s9", "address": "127.0.0.1:1", "status": "active", "since_ms": "soon"}),
        (7, "s9"),
        (None, None),
    ],
)
def test_valid_entries_of_a_damaged_cached_list_are_used_and_a_snapshot_is_requested(
    index: int | None, damaged_entry: Any, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, Peer(SILENT) as discovery:
            document = document_with_list(peer, configuration(discovery.at))
            endpoints = [*rows(peer), *([] if damaged_entry is None else [damaged_entry])]
            document["known"] = {"index": index, "snapshot": True, "endpoints": endpoints}
            async with Program(tmp_path, document) as program:
                await program.says("ready")
                assert await ready(program.listen)
                assert await status_of(await Client().open(program.listen)) == 200
                await discovery.asked.wait()
                assert discovery.requests[0].target == "/v1/endpoints"

    run(scenario())


@pytest.mark.parametrize("is_snapshot", [True, False])
@pytest.mark.parametrize("last_status", ["active", "leaving", "left"])
@pytest.mark.parametrize("first_status", ["active", "leaving", "left"])
def test_of_two_entries_for_one_server_in_a_list_the_last_one_applies(
    first_status: str, last_status: str, is_snapshot: bool
) -> None:
    async def scenario() -> None:
        replies: list[Reply] = []
        discovery = Peer(lambda _: replies.pop(0) if replies else SILENT)
        async with Peer() as listed_twice, Peer() as other, discovery:
            (first_entry,), (second_entry,) = (
                rows(listed_twice, status=first_status),
                rows(listed_twice, status=last_status),
            )
            other_entries = rows(listed_twice, other, status="leaving")[1:]
            replies.append(news(2, [first_entry, second_entry, *other_entries], is_snapshot))
            async with running(listed_twice, other, discovery=discovery) as (node, address):
                while len(discovery.requests) < 2:
                    await asyncio.sleep(0.001)
                client = await Client().open(address)
                assert await status_of(client) == (200 if last_status == "active" else 503)
                assert not other.requests  # the rest of the list applies too
                counters = node.counters.read()
                assert (
                    counters["endpoints_active"] == (last_status == "active")
                    and "list_polls_failed" not in counters
                )

    run(scenario())


def test_an_indented_list_is_read() -> None:
    async def scenario() -> None:
        async with Peer() as peer, Peer() as discovery:
            document = {"index": 5, "snapshot": True, "endpoints": rows(peer)}
            body = json.dumps(document, indent=4).encode()
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            discovery.reply = lambda request: SILENT if "after=" in request.target else (response, "keep")
            async with running(discovery=discovery, known=False) as (_, address):
                while not await ready(address):
                    await asyncio.sleep(0.005)
                assert await status_of(await Client().open(address)) == 200

    run(scenario())


@pytest.mark.parametrize(
    ("changed", "key"),
    [
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"limits": {"sockets": math.inf}}, "limits.sockets"),
        ({"limits": None}, "limits"),
        ({"seed": "seven"}, "seed"),
        ({"settings": {"layer": math.inf}}, "settings.layer"),
        ({"discovery": "here"}, "discovery"),
        ({"mgmt": 5}, "mgmt"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_key(
    changed: dict[str, Any], key: str, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**configuration(), **changed}))
    with pytest.raises(ValueError, match=rf"(^|; ){re.escape(key)}: expected"):
        node_config.load_config({"GW_CONFIG": str(file)})


def test_limits_with_further_keys_are_valid(tmp_path: Path) -> None:
    document = {**configuration(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
    validation.validate(document)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(document))
    assert node_config.load_config({"GW_CONFIG": str(file)}).max_descriptors == 1024
