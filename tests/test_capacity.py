"""Room for all that is needed: callers that only sit there leave it, and a start needs nobody else."""

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


def told_with(peer: Peer, told: dict[str, Any], sockets: int = 64) -> dict[str, Any]:
    """All that a node is told, with a remembered list; no limit where `sockets` is 0."""
    known = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
    return {**told, "known": known, **({"limits": {"sockets": sockets}} if sockets else {})}


@pytest.mark.parametrize(
    ("sockets", "descriptors", "lost"),
    [
        (64, 64, 0),
        (160, 160, 0),
        (0, 64, 0),  # no limit is told, and the operating system's is far under the usual one
        (64, 64, 40),  # something else in the process holds what the node counts on
    ],
)
def test_callers_at_rest_leave_room_for_the_list_for_servers_and_for_new_callers(
    sockets: int, descriptors: int, lost: int, tmp_path: Path
) -> None:
    async def story() -> None:
        place = free_address()  # discovery is down: refused
        async with Peer() as peer:
            told = told_with(peer, configuration(f"{place[0]}:{place[1]}"), sockets)
            async with Program(tmp_path, told, descriptors, lost) as program:
                await program.says("ready")
                crowd, found = [], []
                for _ in range(descriptors):
                    crowd.append(await Client().open(program.listen))
                    found.append(await status_of(crowd[-1]))
                assert set(found) <= {200, 503} and program.held() <= descriptors
                async with Peer(lambda _: news(2, rows(peer)), place) as discovery:
                    await discovery.asked.wait()
                    crowd += [await Client().open(program.listen) for _ in range(descriptors)]  # say nothing
                    while len(discovery.requests) < 3:
                        await asyncio.sleep(0.002)
                    served = 0
                    while served < 3:  # each new caller has its answer, and soon it is a server's
                        late = await Client().open(program.listen)
                        status = await status_of(late)
                        assert status in (200, 503)
                        served += status == 200
                assert program.count("accept failed") <= (lost > 0)
                assert program.count("list update failed") == 0

    run(story())


SHORT_DEADLINE = 0.8  # s; a few tenths, and the half second past it within which an answer still counts
HALF = b"GET /api HTTP/1.1\r\nReq-Id: 1\r\n"


async def crowd_of_half_heads(address: Address) -> list[Client]:
    """As many as a node of 28 descriptors lets in: 7, and 1 past them that would be refused."""
    crowd = [await Client().open(address) for _ in range(8)]
    for client in crowd:
        client.send(HALF)
    return crowd


async def crowded(node: Node, address: Address) -> tuple[list[Client], list[Client]]:
    """That crowd, let in, and six callers past the margin who have asked."""
    crowd = await crowd_of_half_heads(address)
    while node._descriptors.clients < 8:
        await asyncio.sleep(0.001)
    late = [await Client().open(address) for _ in range(6)]
    for client in late:
        client.ask()
    return crowd, late


@pytest.mark.parametrize(("room_within", "let_in"), [(5.0, True), (0.05, False)])
def test_past_the_margin_callers_wait_for_an_answer_but_not_for_long(
    room_within: float, let_in: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_intake, "REJECTED_TIMEOUT_S", 0.3)
    # The crowd stays, however late the loop is.
    monkeypatch.setattr(descriptor_pressure, "MIN_HEAD_PAST_MARGIN_S", 30.0)
    monkeypatch.setattr(client_listener, "ROOM_TIMEOUT_S", room_within)

    async def story() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            crowd, late = await crowded(node, address)
            for client in late:
                found = await client.answer()
                assert (found.status, found.keep_alive) == (503, False) and await client.closed()
            assert ("client_connections_dropped" in node.counters.read()) is not let_in
            assert node._descriptors.clients <= 8
            for client in crowd:
                client.writer.close()

    run(story())


def test_callers_that_wait_for_room_in_vain_are_told_so_while_short_deadlines_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nobody leaves. Each of those who wait has an answer and an orderly end, and soon."""
    monkeypatch.setattr(request_intake, "REJECTED_TIMEOUT_S", 30.0)
    monkeypatch.setattr(request_intake, "HEAD_TIMEOUT_S", 30.0)
    monkeypatch.setattr(descriptor_pressure, "MIN_HEAD_PAST_MARGIN_S", 30.0)

    async def story() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            crowd, late = await crowded(node, address)
            began = asyncio.get_running_loop().time()
            for client in late:
                found = await client.answer()
                assert (found.status, found.keep_alive) == (503, False) and await client.closed()
            assert asyncio.get_running_loop().time() < began + SHORT_DEADLINE
            assert node._descriptors.clients == 8 and not peer.requests
            for client in crowd:
                client.writer.close()

    run(story())


@pytest.mark.parametrize("end", [True, False])
def test_callers_that_wait_for_room_are_answered_by_a_node_that_ends_or_pauses(
    end: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(request_intake, "REJECTED_TIMEOUT_S", 0.5)
    monkeypatch.setattr(request_intake, "HEAD_TIMEOUT_S", 0.5)
    monkeypatch.setattr(client_listener, "ROOM_TIMEOUT_S", 5.0)

    async def story() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            crowd, late = await crowded(node, address)
            while node._client_listener._waiting is None:
                await asyncio.sleep(0.001)
            if end:
                node.stop()
                while node._client_listener.listeners and not node._client_listener._stopping:
                    await asyncio.sleep(0.001)
                assert {(await client.answer()).status for client in late} <= {200, 503}
                assert not node._client_listener.listeners
                assert "client_connections_dropped" not in node.counters.read()
            else:
                node._client_listener.pause()
                assert (await late[0].answer()).status in (200, 503)
                opened = node.counters.read()["client_connections_opened"]
                assert opened == 9  # the others are in the queue, for another process of the node
                node._client_listener.resume()
                assert {(await client.answer()).status for client in late[1:]} <= {200, 503}
            for client in crowd:
                client.writer.close()

    run(story())


def test_past_the_margin_half_heads_are_told_408_and_a_new_caller_has_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for span in ("HEAD_TIMEOUT_S", "REJECTED_TIMEOUT_S", "BODY_GRACE_S"):
        monkeypatch.setattr(request_intake, span, 30.0)  # nobody goes by itself
    monkeypatch.setattr(client_listener, "ROOM_TIMEOUT_S", 30.0)
    turn_away = ClientConnection.reject_partial_head
    crossing: list[RawClient] = []

    def crossed(caller: ClientConnection) -> None:
        if crossing:
            crossing.pop().more(b"Req-Kind: plain\r\nReq-Deadline-Ms: 2000\r\n\r\n")
        turn_away(caller)

    monkeypatch.setattr(ClientConnection, "reject_partial_head", crossed)

    async def answer_to(client: RawClient) -> bytes:
        async with asyncio.timeout(10):
            return await asyncio.get_running_loop().sock_recv(client.socket, 4096)

    async def story() -> None:
        async with (
            Peer(lambda request: SILENT if "?" in request.target else OK) as peer,
            running(peer, sockets=28) as (node, address),
        ):
            held = await Client().open(address)
            held.ask()
            await peer.asked.wait()
            body, ending = RawClient(address), RawClient(address)
            body.ask(b"x" * 50, "POST", length=100)
            ending.more(HALF)
            crossing.append(ending)
            while not node._clients.phases.heads or not any(
                caller._intake.parser.in_body for caller in node._clients.connections
            ):
                await asyncio.sleep(0.001)
            halves = [RawClient(address) for _ in range(5)]
            for half in halves:
                half.more(HALF.replace(b"1\r\n", b"2\r\n"))
            while len(node._clients.phases.heads) < 6:
                await asyncio.sleep(0.001)
            late = RawClient(address)
            late.ask()
            assert (await answer_to(late)).startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
            assert (await answer_to(ending)).startswith(b"HTTP/1.1 200")  # its request came in that moment
            assert (await answer_to(halves[0])).startswith(b"HTTP/1.1 408")
            assert await answer_to(halves[0]) == b""  # an end, and no reset
            body.more(b"x" * 50)
            assert (await answer_to(body)).startswith(b"HTTP/1.1 200")
            assert (await held.answer()).status != 408
            assert "client_connections_dropped" not in node.counters.read()
            for client in (body, ending, late, *halves):
                client.socket.close()

    run(story())


def test_a_young_caller_at_rest_goes_only_after_those_who_say_nothing() -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            resting = await Client().open(address)
            assert await status_of(resting) == 200
            silent = [await Client().open(address) for _ in range(20)]
            while node.counters.read()["client_connections_opened"] < 21:
                await asyncio.sleep(0.001)
            assert await status_of(resting) == 200 and await silent[0].closed()

    run(story())


def test_where_the_operating_system_has_no_descriptor_one_at_rest_is_given_up() -> None:
    async def story() -> None:
        async with Peer() as peer:
            sent = PoolHarness(peer)
            asked = DiscoveryClient(peer.address, ListWatch(0.0), time.monotonic, lambda: spare())
            sent.pool._close_idle_client = lambda: spare()

            def spare() -> bool:
                for _ in range(2):  # one for the node, one for the peer, which is in this process too
                    os.close(left.pop())
                return True

            with no_descriptor_left(given=4) as left:
                assert (await sent.send()).outcome.result is AttemptResult.SUCCEEDED
                peer.reply = news(4, [])
                assert (await asked.next_update()).version == 4
            asked.close()
            sent.pool.close()
            assert sent.descriptors.in_use == 0

    run(story())


def tries_since(began: float) -> float:
    """As many as a listener makes with its pauses; without them it makes thousands."""
    return 2 + (time.monotonic() - began) / SHORTAGE_PAUSE_S


KEPT = {"max_dispatches": 5, "cancel": True, "conn_idle": 60_000}  # nothing is retired while a story lasts


def test_the_list_is_asked_for_with_all_descriptors_held_by_callers_at_rest(tmp_path: Path) -> None:
    async def story() -> None:
        place = free_address()
        async with Peer() as peer:
            told = told_with(peer, configuration(f"{place[0]}:{place[1]}", limits=KEPT))
            async with Program(tmp_path, told, 64, 40) as program:
                await program.says("ready")
                crowd = []
                while program.held() < 64:
                    crowd.append(await Client().open(program.listen))
                    crowd[-1].ask()
                    await crowd[-1].answer()
                # No one else knocks, so that it is for the list alone that one has to go.
                async with Peer(lambda _: news(2, rows(peer)), place) as discovery, asyncio.timeout(10):
                    await discovery.asked.wait()
                assert int((await program.figures())["client_connections_shed"]) >= 1

    run(story())


def test_callers_that_can_not_be_let_in_yet_keep_the_node_from_nothing_else(tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer, Peer(SILENT) as discovery:
            told = told_with(peer, configuration(discovery.at))
            began = time.monotonic()
            async with Program(tmp_path, told, 64, 40) as program:
                await program.says("ready")
                crowd = []
                for _ in range(30):
                    crowd.append(await Client().open(program.listen))
                    crowd[-1].ask(left="300")  # so that none is at rest, and none can go
                await program.says("accept failed")
                assert {(await client.answer()).status for client in crowd} <= {200, 503}
                figures = await program.figures()
                assert 1 <= int(figures["accepts_failed"]) <= tries_since(began)
                assert program.count("accept failed") == 1

    run(story())


def test_operators_that_can_not_be_let_in_yet_are_answered_later_and_cost_nothing_until_then() -> None:
    async def story() -> None:
        mgmt = free_address()
        async with Peer() as peer, running(peer, mgmt=mgmt) as (node, _):
            with socket.socket() as operator:
                operator.setblocking(False)
                with no_descriptor_left():
                    await node._loop.sock_connect(operator, mgmt)
                    began = time.monotonic()
                    for _ in range(200):
                        await asyncio.sleep(0)
                    assert 1 <= node.counters.read()["accepts_failed"] <= tries_since(began)
                await node._loop.sock_sendall(operator, b"GET /control/ready HTTP/1.1\r\n\r\n")
                assert (await node._loop.sock_recv(operator, 99)).startswith(b"HTTP/1.1 200")

    run(story())


@pytest.mark.parametrize(
    ("file", "kind"),
    [
        (shared_folder.HANDOVER_SOCKET, socket.SOCK_STREAM),
        (shared_folder.STREAMS_SOCKET, socket.SOCK_SEQPACKET),
    ],
)
def test_the_next_process_that_can_not_be_let_in_yet_is_later_and_costs_nothing_until_then(
    file: str, kind: socket.SocketKind, tmp_path: Path
) -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            with socket.socket(socket.AF_UNIX, kind) as follower, socket.socket(socket.AF_UNIX, kind) as late:
                follower.setblocking(False)
                with no_descriptor_left():
                    follower.connect(str(tmp_path / file))
                    began = time.monotonic()
                    turns = 0
                    while node.counters.read().get("accepts_failed", 0) < 2 or turns < 200:
                        turns += 1
                        await asyncio.sleep(0)
                    assert node.counters.read()["accepts_failed"] <= tries_since(began)
                if kind is socket.SOCK_STREAM:
                    told = json.loads(
                        await node._loop.sock_recv(follower, listener_sharing.MAX_IDENTITY_BYTES)
                    )
                    assert told["node"] == "n"
                else:
                    while len(node._handover._stream_sockets) < 2:
                        await asyncio.sleep(0.001)
                # Withdrawn within the pause: it is heard no more, whatever has its number by now.
                with no_descriptor_left():
                    late.connect(str(tmp_path / file))
                    failed = node.counters.read()["accepts_failed"]
                    while node.counters.read()["accepts_failed"] == failed:
                        await asyncio.sleep(0)
                    node._handover.close()
                await asyncio.sleep(2 * SHORTAGE_PAUSE_S)
                assert node.counters.read().get("internal_errors", 0) == 0

    run(story())


# A start needs nobody else where there is a remembered list, whole or in part.

GARBAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{[\xff"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
DISCOVERIES: dict[str, Reply | None] = {
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
@pytest.mark.parametrize("how", DISCOVERIES)
def test_a_node_with_a_remembered_list_is_ready_and_serves_whatever_discovery_does(
    how: str, pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_state, "AGENT_INITIAL_WAIT_S", 0.1)
    found = DISCOVERIES[how]

    async def story() -> None:
        async with Peer() as peer, Peer(found or OK) as teller:
            if found is None:
                await teller.__aexit__()
            async with running(peer, discovery=teller, pushed=pushed) as (node, address):
                while not await ready(address):
                    await asyncio.sleep(0.005)
                client = await Client().open(address)
                assert await status_of(client) == 200
                assert node.counters.read().get("internal_errors", 0) == 0

    run(story())


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_the_program_is_ready_well_within_10_s_with_discovery_down(mode: str, tmp_path: Path) -> None:
    async def story() -> None:
        place = free_address()
        async with Peer() as peer:
            told = told_with(peer, configuration(f"{place[0]}:{place[1]}", registry_mode=mode))
            began = time.monotonic()
            async with Program(tmp_path, told) as program:
                await program.says("ready")
                assert time.monotonic() - began < 7.0
                assert await ready(program.listen)

    run(story())


@pytest.mark.parametrize("pushed", [False, True])
def test_a_process_before_that_hangs_delays_no_start_for_long(
    pushed: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_state, "AGENT_INITIAL_WAIT_S", 0.1)
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.1)

    async def story() -> None:
        with socket.socket(socket.AF_UNIX) as hung:  # takes connections and says nothing
            hung.bind(str(tmp_path / shared_folder.HANDOVER_SOCKET))
            hung.listen()
            down = Peer()
            down.address = free_address()
            async with Peer() as peer, running(peer, discovery=down, shared=tmp_path, pushed=pushed) as at:
                node, address = at
                while not await ready(address):
                    await asyncio.sleep(0.005)
                assert node.counters.read()["handovers_failed"] == 1
                assert await status_of(await Client().open(address)) == 200

    run(story())


def test_the_waits_of_a_start_leave_half_of_its_10_s() -> None:
    assert listener_sharing.JOIN_TIMEOUT_S + watch_state.AGENT_INITIAL_WAIT_S < 5.0


def test_without_any_list_a_node_says_so_and_is_ready_with_the_first_one() -> None:
    async def story() -> None:
        teller = Peer()
        teller.address = free_address()
        async with Peer() as peer, running(discovery=teller, known=False) as (_, address):
            assert not await ready(address)
            assert await status_of(await Client().open(address)) == 503
            teller.reply = lambda request: SILENT if "after=" in request.target else news(5, rows(peer))
            async with teller:
                while not await ready(address):
                    await asyncio.sleep(0.005)
                assert await status_of(await Client().open(address)) == 200

    run(story())


@pytest.mark.parametrize(
    ("index", "torn"),
    [
        (7, {"name": "s9", "address": "127.0.0.1:1"}),  # its state is missing
        (7, {"name": "s9", "address": "nowhere", "status": "active"}),
        (7, {"name": "s9", "address": "127.0.0.1:1", "status": "active", "since_ms": "soon"}),
        (7, "s9"),
        (None, None),
    ],
)
def test_of_a_remembered_list_that_is_torn_what_can_be_read_counts_and_all_is_asked_for(
    index: int | None, torn: Any, tmp_path: Path
) -> None:
    async def story() -> None:
        async with Peer() as peer, Peer(SILENT) as discovery:
            told = told_with(peer, configuration(discovery.at))
            endpoints = [*rows(peer), *([] if torn is None else [torn])]
            told["known"] = {"index": index, "snapshot": True, "endpoints": endpoints}
            async with Program(tmp_path, told) as program:
                await program.says("ready")
                assert await ready(program.listen)
                assert await status_of(await Client().open(program.listen)) == 200
                await discovery.asked.wait()
                assert discovery.requests[0].target == "/v1/endpoints"

    run(story())


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("last", ["active", "leaving", "left"])
@pytest.mark.parametrize("first", ["active", "leaving", "left"])
def test_of_two_words_on_one_server_in_one_list_the_last_one_holds(
    first: str, last: str, whole: bool
) -> None:
    async def story() -> None:
        told: list[Reply] = []
        teller = Peer(lambda _: told.pop(0) if told else SILENT)
        async with Peer() as doubled, Peer() as other, teller:
            (one,), (two,) = rows(doubled, status=first), rows(doubled, status=last)
            rest = rows(doubled, other, status="leaving")[1:]
            told.append(news(2, [one, two, *rest], whole))
            async with running(doubled, other, discovery=teller) as (node, address):
                while len(teller.requests) < 2:
                    await asyncio.sleep(0.001)
                client = await Client().open(address)
                assert await status_of(client) == (200 if last == "active" else 503)
                assert not other.requests  # the rest of the list is heard too
                figures = node.counters.read()
                assert (
                    figures["endpoints_active"] == (last == "active") and "list_polls_failed" not in figures
                )

    run(story())


def test_an_indented_list_is_a_list() -> None:
    async def story() -> None:
        async with Peer() as peer, Peer() as teller:
            listed = {"index": 5, "snapshot": True, "endpoints": rows(peer)}
            text = json.dumps(listed, indent=4).encode()
            whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
            teller.reply = lambda request: SILENT if "after=" in request.target else (whole, "keep")
            async with running(discovery=teller, known=False) as (_, address):
                while not await ready(address):
                    await asyncio.sleep(0.005)
                assert await status_of(await Client().open(address)) == 200

    run(story())


@pytest.mark.parametrize(
    ("told", "place"),
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
def test_a_start_that_can_not_be_says_which_key_is_at_fault(
    told: dict[str, Any], place: str, tmp_path: Path
) -> None:
    file = tmp_path / "told.json"
    file.write_text(json.dumps({**configuration(), **told}))
    with pytest.raises(ValueError, match=rf"(^|; ){re.escape(place)}: expected"):
        node_config.load_config({"GW_CONFIG": str(file)})


def test_limits_that_say_more_than_sockets_are_sound(tmp_path: Path) -> None:
    found = {**configuration(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
    validation.validate(found)
    file = tmp_path / "told.json"
    file.write_text(json.dumps(found))
    assert node_config.load_config({"GW_CONFIG": str(file)}).max_descriptors == 1024
