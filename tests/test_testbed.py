"""Fakes on loopback: what a node meets at a server's port, and scenarios against real node processes."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.balancing.interface import EndpointEntry, Idempotency, RequestClass
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.emulator.servers import Server
from notchjunction.emulator.trace import (
    AttemptExecuted,
    ClientClosed,
    EndpointNotified,
    FinalResponse,
    RequestAccepted,
    RequestAnswered,
)
from notchjunction.experiments.cli import on_sockets, unaccounted
from notchjunction.http1.messages import Request
from notchjunction.testbed import process
from notchjunction.testbed.client import FakeClients
from notchjunction.testbed.client_request import ClientRequest
from notchjunction.testbed.clock import LoopClock
from notchjunction.testbed.discovery import FakeDiscovery, NodeView
from notchjunction.testbed.server import HOST, FakeServer
from notchjunction.testbed.stage import Stage, breaches
from tests.test_net import run

SMALL = Scenario(
    "small", nodes=2, servers=4, length=4.0, thrash=0.0, streams=(Stream(0, 25.0, work=0.05), Stream(1, 6.0))
)


@asynccontextmanager
async def fake_server(tier: Tier | None = None) -> AsyncIterator[tuple[FakeServer, Address, FakeClients]]:
    clock = LoopClock()
    server = Server(0, tier or Tier(workers=1, queue_most=1), 0, 1.0, SMALL, clock, Random(1))
    fake = FakeServer(server, clock, lambda node, request: True, lambda node: None)
    clients = FakeClients()
    yield fake, await fake.open_port(0), clients
    clients.close()
    fake.close()


def job(work: float = 0.01, path: str = protocol.REQUEST_PATH) -> Request:
    headers = {
        "host": "a",
        protocol.REQUEST_ID: "j",
        protocol.REQUEST_CLASS: "p0",
        protocol.DEADLINE_MS: "2000",
    }
    return Request("GET", f"{path}?work={work}", headers)


@pytest.mark.parametrize(
    ("trouble", "status"),
    [
        ({}, 200),
        ({"errors": 1.0}, 500),
        ({"resets": 1.0}, None),
        ({"losses": 1.0}, None),
        ({"hung": True}, None),
        ({"state": EndpointState.DRAINING}, 503),
    ],
    ids=str,
)
def test_what_a_server_in_trouble_answers(trouble: dict[str, Any], status: int | None) -> None:
    async def story() -> None:
        async with fake_server() as (fake, at, clients):
            for name, value in trouble.items():
                setattr(fake.server, name, value)
            assert await clients.request(at, job(), 0.3) == status

    run(story())


def test_a_server_is_full_down_and_back_at_its_address() -> None:
    async def story() -> None:
        async with fake_server() as (fake, at, clients):
            held = [asyncio.create_task(clients.request(at, job(0.2), 2.0)) for _ in range(3)]
            assert sorted([await each or 0 for each in held]) == [200, 200, 503]
            under_way = asyncio.create_task(clients.request(at, job(5.0), 2.0))
            while not fake.server.running:
                await asyncio.sleep(0.001)
            fake.stop()
            assert await under_way is None
            assert await clients.request(at, job(), 0.3) is None
            await fake.start()
            assert await clients.request(at, job(), 2.0) == 200 and fake.server.capacity_share() < 0.5

    run(story())


def test_a_client_that_closes_leaves_the_queue_and_a_server_accepts_so_many_connections() -> None:
    async def story() -> None:
        async with fake_server(Tier(workers=1, queue_most=5, connections_most=2)) as (fake, at, clients):
            first = asyncio.create_task(clients.request(at, job(0.5), 2.0))
            second = asyncio.create_task(clients.request(at, job(0.5), 0.1))
            await second
            while fake.server.connections > 1:
                await asyncio.sleep(0.001)
            assert len(fake.server.running) + len(fake.server.waiting) == 1
            third = asyncio.create_task(clients.request(at, job(), 2.0))
            while fake.server.connections < 2:
                await asyncio.sleep(0.001)
            assert await clients.request(at, job(), 2.0) == 503
            assert (await first, await third) == (200, 200)

    run(story())


def test_nothing_passes_a_partitioned_port() -> None:
    async def story() -> None:
        async with fake_server() as (fake, at, clients):
            under_way = asyncio.create_task(clients.request(at, job(0.1), 0.4))
            while not fake.server.running:
                await asyncio.sleep(0.001)
            fake.ports[0].partitioned = True
            assert await under_way is None and await clients.request(at, job(), 0.1) is None
            assert not fake.server.running and not fake.server.waiting
            fake.ports[0].partitioned = False
            assert await clients.request(at, job(), 2.0) == 200

    run(story())


def test_discovery_gives_the_whole_list_then_changes_and_refuses_past_its_pace() -> None:
    async def story() -> None:
        clock = LoopClock()
        model = Discovery(replace(SMALL, list_rate=4.0, list_wait=0.1, list_delay=0.0), clock, 1)
        server = Server(0, Tier(), 0, 1.0, SMALL, clock, Random(1))
        told: list[EndpointEntry] = []
        fake = FakeDiscovery(
            model,
            clock,
            NodeView(
                0, 0, lambda: [model.entry(server)], lambda _: ("h", 1), lambda _, news: told.extend(news)
            ),
        )
        at = await fake.open()
        reader, writer = await asyncio.open_connection(*at)

        async def ask(target: str) -> tuple[int, dict[str, Any]]:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            return int(head.split(b" ")[1]), json.loads(body or b"{}")

        status, whole = await ask("/v1/endpoints")
        assert status == 200 and whole["snapshot"] and [row["name"] for row in whole["endpoints"]] == ["s0"]
        clock.after(0.05, lambda: model.changed(0, server))
        status, news = await ask("/v1/endpoints?after=0&wait_ms=5000")
        assert (status, news["index"], news["snapshot"], len(news["endpoints"])) == (200, 1, False, 1)
        status, nothing = await ask("/v1/endpoints?after=1&wait_ms=20")
        assert (status, nothing["index"], nothing["endpoints"]) == (200, 1, [])
        assert len(told) == 2
        await asyncio.sleep(0.25)  # a later call begins anew, and two at once are one too many
        model.poll(0, 9, 1, lambda news, version: None)
        status, _ = await ask("/v1/endpoints?after=1&wait_ms=20")
        assert status == 503
        writer.close()
        fake.close()

    run(story())


FAULTS = {
    "crash": (Fault(Kind.CRASH, 1.0, 2.0, (0, 1)),),
    "drain": (Fault(Kind.DRAIN, 1.0, 2.5, (0,)),),
    "cut": (Fault(Kind.CUT, 1.0, 2.0, zones=(1,)),),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_scenario_plays_against_real_nodes_and_the_rules_hold(fault: str, tmp_path: Path) -> None:
    scenario = replace(SMALL, zones=2, faults=FAULTS[fault])
    figures = asyncio.run(on_sockets(scenario, tmp_path))
    assert figures["breaches_said"] == [] and figures["in_time"] > 0.8
    assert figures["failures"] == figures["unaccounted"] == 0


def test_tiers_call_tiers_through_nodes_that_die_with_their_server(tmp_path: Path) -> None:
    tiers = (Tier(2, 0.5), Tier(2, 0.5, calls=1.2))
    scenario = replace(SMALL, nodes=1, tiers=tiers, faults=(Fault(Kind.CRASH, 1.0, 2.0, (0,), tier=0),))

    async def story() -> Stage:
        stage = Stage(scenario, tmp_path)
        found = await stage.play()
        assert breaches(found) == []
        ran = {row.server for row in found.rows if isinstance(row, AttemptExecuted)}
        assert ran == {0, 1, 2, 3}
        return stage

    stage = asyncio.run(story())
    assert (
        len(stage.downstream_nodes) == 2 and max(stage.downstream_nodes.values()) > 2
    )  # one was started anew
    assert not any(unaccounted(counters) for counters in stage.counters)


DEAF = """
from notchjunction.balancing.interface import ListUpdate
from notchjunction.node.node import Node
hears = Node._apply_list
Node._apply_list = lambda self, news, kind: hears(self, news, kind) if kind is ListUpdate.CACHED else None
from notchjunction.__main__ import main
main()
"""


def test_a_node_that_does_not_listen_to_the_list_is_caught(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", DEAF])
    scenario = replace(SMALL, servers=2, list_delay=0.1, faults=(Fault(Kind.DRAIN, 0.5, 3.9, (0,)),))

    async def story() -> None:
        found = await Stage(scenario, tmp_path).play()
        assert any(isinstance(row, EndpointNotified) for row in found.rows)
        assert any(text.startswith("clean_drains") for text in breaches(found))

    asyncio.run(story())


WAITING = """
from notchjunction.discovery.watch_state import ListWatch
ListWatch.poll_started = lambda self, now, wait: 1000.0
from notchjunction.__main__ import main
main()
"""


@pytest.mark.parametrize("finds_out", [True, False])
def test_a_watch_that_falls_silent_is_found_out_in_time_and_one_that_is_not_is_caught(
    finds_out: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not finds_out:
        monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", WAITING])
    # All drain: while one does not, a node that was not told learns from probes to leave the others alone.
    faults = (Fault(Kind.LIST_SILENT, 1.0, 1.1), Fault(Kind.DRAIN, 1.0, 9.9, (0, 1, 2, 3)))
    scenario = replace(SMALL, length=10.0, list_delay=0.1, list_rate=100.0, faults=faults)

    async def story() -> None:
        found = await Stage(scenario, tmp_path).play()
        told = {
            row.node
            for row in found.rows
            if isinstance(row, EndpointNotified) and row.state is EndpointState.DRAINING
        }
        assert (len(told) == scenario.nodes) is finds_out
        caught = {text.partition(":")[0] for text in breaches(found)}
        assert not caught if finds_out else "told_in_time" in caught

    asyncio.run(story())


LOYAL = """
from notchjunction.net.request_handler import RequestHandler
RequestHandler.cancel = lambda self: None
RequestHandler._is_client_connected = lambda self: True
from notchjunction.__main__ import main
main()
"""


@pytest.mark.parametrize("gives_up", [True, False])
def test_a_request_whose_client_has_closed_is_cancelled_and_a_node_that_goes_on_is_caught(
    gives_up: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not gives_up:
        monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", LOYAL])
    # More than two servers can do, so that jobs wait, and clients that leave within a quarter of their time.
    scenario = replace(
        SMALL,
        servers=2,
        length=6.0,
        profiles=(RequestClass(2.0, 4.0, idempotency=Idempotency.IDEMPOTENT),),
        streams=(Stream(0, 40.0, work=0.15),),
        faults=(Fault(Kind.RESET, 0.5, 6.0, (0, 1), 0.2),),
        client_patience=0.25,
        client_leaves=1.0,
    )

    async def story() -> None:
        found = await Stage(scenario, tmp_path).play()
        assert any(
            isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED for row in found.rows
        )
        caught = {text.partition(":")[0] for text in breaches(found)}
        assert not caught if gives_up else "none_for_the_gone" in caught

    asyncio.run(story())


def test_a_client_whose_deadline_has_passed_has_left_and_is_owed_a_response_all_the_same(
    tmp_path: Path,
) -> None:
    async def story() -> None:
        stage = Stage(replace(SMALL, nodes=0), tmp_path)
        heard = asyncio.Event()

        async def never(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()  # until its caller closes
            writer.close()
            heard.set()

        listening = await asyncio.start_server(never, HOST, 0)
        place = listening.sockets[0].getsockname()
        stage._placed_nodes[0] = SimpleNamespace(process=SimpleNamespace(listen=place))  # type: ignore[assignment]
        assert await stage._send_request(ClientRequest(0, 0, 0.1, 0.01, 1)) is FinalResponse.FAILED
        await heard.wait()
        assert [type(row) for row in stage.rows] == [RequestAccepted, ClientClosed]
        assert (
            await stage._send_request(ClientRequest(0, 0, 9.0, 0.01, 1, cancel_after=0.1))
            is FinalResponse.CANCELLED
        )
        assert stage.rows[-1] == RequestAnswered(stage.rows[-1].at, 0, 2, FinalResponse.CANCELLED)
        listening.close()

    run(story())


@pytest.mark.parametrize("dies", ["at its start", "in the midst"])
def test_a_node_that_dies_is_a_result_and_no_hang(
    dies: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        short = (RequestClass(0.3, 0.5, idempotency=Idempotency.IDEMPOTENT),)
        streams = (Stream(0, 20.0, work=0.05),)
        stage = Stage(replace(SMALL, nodes=1, profiles=short, streams=streams), tmp_path)
        if dies == "at its start":
            monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", "raise SystemExit('no')"])
            with pytest.raises(RuntimeError, match="node 0 ended"):
                await stage.play()
            return
        stage.clock.after(2.5, lambda: stage._placed_nodes[0].process.kill())
        found = await stage.play()
        assert any(text.startswith("one_answer") for text in breaches(found))

    asyncio.run(story())
