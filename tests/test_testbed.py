"""The testbed: fake servers and discovery on loopback, and scenarios against real node processes."""

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


def make_request(work: float = 0.01, path: str = protocol.REQUEST_PATH) -> Request:
    headers = {
        "host": "a",
        protocol.REQUEST_ID: "j",
        protocol.REQUEST_CLASS: "p0",
        protocol.DEADLINE_MS: "2000",
    }
    return Request("GET", f"{path}?work={work}", headers)


@pytest.mark.parametrize(
    ("server_state", "status"),
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
def test_response_of_a_failing_server(server_state: dict[str, Any], status: int | None) -> None:
    async def scenario() -> None:
        async with fake_server() as (fake, address, clients):
            for name, value in server_state.items():
                setattr(fake.server, name, value)
            assert await clients.request(address, make_request(), 0.3) == status

    run(scenario())


def test_server_rejects_when_full_and_restarts_at_the_same_address() -> None:
    async def scenario() -> None:
        async with fake_server() as (fake, address, clients):
            requests = [
                asyncio.create_task(clients.request(address, make_request(0.2), 2.0)) for _ in range(3)
            ]
            assert sorted([await task or 0 for task in requests]) == [200, 200, 503]
            in_progress = asyncio.create_task(clients.request(address, make_request(5.0), 2.0))
            while not fake.server.running:
                await asyncio.sleep(0.001)
            fake.stop()
            assert await in_progress is None
            assert await clients.request(address, make_request(), 0.3) is None
            await fake.start()
            assert (
                await clients.request(address, make_request(), 2.0) == 200
                and fake.server.capacity_share() < 0.5
            )

    run(scenario())


def test_closed_client_leaves_the_queue_and_the_server_limits_connections() -> None:
    async def scenario() -> None:
        async with fake_server(Tier(workers=1, queue_most=5, connections_most=2)) as (fake, address, clients):
            first = asyncio.create_task(clients.request(address, make_request(0.5), 2.0))
            second = asyncio.create_task(clients.request(address, make_request(0.5), 0.1))
            await second
            while fake.server.connections > 1:
                await asyncio.sleep(0.001)
            assert len(fake.server.running) + len(fake.server.waiting) == 1
            third = asyncio.create_task(clients.request(address, make_request(), 2.0))
            while fake.server.connections < 2:
                await asyncio.sleep(0.001)
            assert await clients.request(address, make_request(), 2.0) == 503
            assert (await first, await third) == (200, 200)

    run(scenario())


def test_partitioned_port_passes_nothing() -> None:
    async def scenario() -> None:
        async with fake_server() as (fake, address, clients):
            in_progress = asyncio.create_task(clients.request(address, make_request(0.1), 0.4))
            while not fake.server.running:
                await asyncio.sleep(0.001)
            fake.ports[0].partitioned = True
            assert await in_progress is None and await clients.request(address, make_request(), 0.1) is None
            assert not fake.server.running and not fake.server.waiting
            fake.ports[0].partitioned = False
            assert await clients.request(address, make_request(), 2.0) == 200

    run(scenario())


def test_discovery_sends_a_snapshot_then_changes_and_rejects_polls_over_its_rate() -> None:
    async def scenario() -> None:
        clock = LoopClock()
        model = Discovery(replace(SMALL, list_rate=4.0, list_wait=0.1, list_delay=0.0), clock, 1)
        server = Server(0, Tier(), 0, 1.0, SMALL, clock, Random(1))
        notified: list[EndpointEntry] = []
        fake = FakeDiscovery(
            model,
            clock,
            NodeView(
                0,
                0,
                lambda: [model.entry(server)],
                lambda _: ("h", 1),
                lambda _, update: notified.extend(update),
            ),
        )
        address = await fake.open()
        reader, writer = await asyncio.open_connection(*address)

        async def get(target: str) -> tuple[int, dict[str, Any]]:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            return int(head.split(b" ")[1]), json.loads(body or b"{}")

        status, snapshot = await get("/v1/endpoints")
        assert (
            status == 200
            and snapshot["snapshot"]
            and [row["name"] for row in snapshot["endpoints"]] == ["s0"]
        )
        clock.after(0.05, lambda: model.changed(0, server))
        status, update = await get("/v1/endpoints?after=0&wait_ms=5000")
        assert (status, update["index"], update["snapshot"], len(update["endpoints"])) == (200, 1, False, 1)
        status, empty_update = await get("/v1/endpoints?after=1&wait_ms=20")
        assert (status, empty_update["index"], empty_update["endpoints"]) == (200, 1, [])
        assert len(notified) == 2
        # A later poll costs work again, and a second one at the same time exceeds the rate.
        await asyncio.sleep(0.25)
        model.poll(0, 9, 1, lambda update, version: None)
        status, _ = await get("/v1/endpoints?after=1&wait_ms=20")
        assert status == 503
        writer.close()
        fake.close()

    run(scenario())


FAULTS = {
    "crash": (Fault(Kind.CRASH, 1.0, 2.0, (0, 1)),),
    "drain": (Fault(Kind.DRAIN, 1.0, 2.5, (0,)),),
    "cut": (Fault(Kind.CUT, 1.0, 2.0, zones=(1,)),),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_rules_hold_in_scenarios_with_real_nodes(fault: str, tmp_path: Path) -> None:
    scenario = replace(SMALL, zones=2, faults=FAULTS[fault])
    figures = asyncio.run(on_sockets(scenario, tmp_path))
    assert figures["breaches_said"] == [] and figures["in_time"] > 0.8
    assert figures["failures"] == figures["unaccounted"] == 0


def test_tiers_call_each_other_through_nodes_that_end_with_their_server(tmp_path: Path) -> None:
    tiers = (Tier(2, 0.5), Tier(2, 0.5, calls=1.2))
    scenario = replace(SMALL, nodes=1, tiers=tiers, faults=(Fault(Kind.CRASH, 1.0, 2.0, (0,), tier=0),))

    async def play_scenario() -> Stage:
        stage = Stage(scenario, tmp_path)
        trace = await stage.play()
        assert breaches(trace) == []
        executed_by = {row.server for row in trace.rows if isinstance(row, AttemptExecuted)}
        assert executed_by == {0, 1, 2, 3}
        return stage

    stage = asyncio.run(play_scenario())
    assert (
        len(stage.downstream_nodes) == 2 and max(stage.downstream_nodes.values()) > 2
    )  # one of them was started again
    assert not any(unaccounted(counters) for counters in stage.counters)


IGNORES_LIST_UPDATES = """
from notchjunction.balancing.interface import ListUpdate
from notchjunction.node.node import Node
apply = Node._apply_list
Node._apply_list = lambda self, update, kind: apply(self, update, kind) if kind is ListUpdate.CACHED else None
from notchjunction.__main__ import main
main()
"""


def test_node_that_ignores_list_updates_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", IGNORES_LIST_UPDATES])
    scenario = replace(SMALL, servers=2, list_delay=0.1, faults=(Fault(Kind.DRAIN, 0.5, 3.9, (0,)),))

    async def play_scenario() -> None:
        trace = await Stage(scenario, tmp_path).play()
        assert any(isinstance(row, EndpointNotified) for row in trace.rows)
        assert any(text.startswith("clean_drains") for text in breaches(trace))

    asyncio.run(play_scenario())


NEVER_TIMES_OUT_WATCHES = """
from notchjunction.discovery.watch_state import ListWatch
ListWatch.poll_started = lambda self, now, wait: 1000.0
from notchjunction.__main__ import main
main()
"""


@pytest.mark.parametrize("times_out", [True, False])
def test_silent_watch_times_out_and_a_node_that_never_times_out_is_detected(
    times_out: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not times_out:
        monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", NEVER_TIMES_OUT_WATCHES])
    # All servers drain: with one active, probes would make a node without notices avoid the others.
    faults = (Fault(Kind.LIST_SILENT, 1.0, 1.1), Fault(Kind.DRAIN, 1.0, 9.9, (0, 1, 2, 3)))
    scenario = replace(SMALL, length=10.0, list_delay=0.1, list_rate=100.0, faults=faults)

    async def play_scenario() -> None:
        trace = await Stage(scenario, tmp_path).play()
        notified_nodes = {
            row.node
            for row in trace.rows
            if isinstance(row, EndpointNotified) and row.state is EndpointState.DRAINING
        }
        assert (len(notified_nodes) == scenario.nodes) is times_out
        broken_rules = {text.partition(":")[0] for text in breaches(trace)}
        assert not broken_rules if times_out else "told_in_time" in broken_rules

    asyncio.run(play_scenario())


IGNORES_CANCELLATIONS = """
from notchjunction.net.request_handler import RequestHandler
RequestHandler.cancel = lambda self: None
RequestHandler._is_client_connected = lambda self: True
from notchjunction.__main__ import main
main()
"""


@pytest.mark.parametrize("cancels", [True, False])
def test_request_of_a_closed_client_is_cancelled_and_a_node_that_continues_is_detected(
    cancels: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not cancels:
        monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", IGNORES_CANCELLATIONS])
    # Two servers cannot serve this load, so requests queue. Clients leave within a quarter of their deadline.
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

    async def play_scenario() -> None:
        trace = await Stage(scenario, tmp_path).play()
        assert any(
            isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED for row in trace.rows
        )
        broken_rules = {text.partition(":")[0] for text in breaches(trace)}
        assert not broken_rules if cancels else "none_for_the_gone" in broken_rules

    asyncio.run(play_scenario())


def test_client_past_its_deadline_closes_and_its_request_stays_unanswered(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        stage = Stage(replace(SMALL, nodes=0), tmp_path)
        closed = asyncio.Event()

        async def wait_for_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()  # until the client closes
            writer.close()
            closed.set()

        server = await asyncio.start_server(wait_for_close, HOST, 0)
        address = server.sockets[0].getsockname()
        stage._placed_nodes[0] = SimpleNamespace(process=SimpleNamespace(listen=address))  # type: ignore[assignment]
        assert await stage._send_request(ClientRequest(0, 0, 0.1, 0.01, 1)) is FinalResponse.FAILED
        await closed.wait()
        assert [type(row) for row in stage.rows] == [RequestAccepted, ClientClosed]
        assert (
            await stage._send_request(ClientRequest(0, 0, 9.0, 0.01, 1, cancel_after=0.1))
            is FinalResponse.CANCELLED
        )
        assert stage.rows[-1] == RequestAnswered(stage.rows[-1].at, 0, 2, FinalResponse.CANCELLED)
        server.close()

    run(scenario())


@pytest.mark.parametrize("dies_at", ["startup", "during the run"])
def test_dead_node_is_reported_and_does_not_hang_the_run(
    dies_at: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        request_classes = (RequestClass(0.3, 0.5, idempotency=Idempotency.IDEMPOTENT),)
        streams = (Stream(0, 20.0, work=0.05),)
        stage = Stage(replace(SMALL, nodes=1, profiles=request_classes, streams=streams), tmp_path)
        if dies_at == "startup":
            monkeypatch.setattr(process, "PROGRAM", [sys.executable, "-c", "raise SystemExit('no')"])
            with pytest.raises(RuntimeError, match="node 0 ended"):
                await stage.play()
            return
        stage.clock.after(2.5, lambda: stage._placed_nodes[0].process.kill())
        trace = await stage.play()
        assert any(text.startswith("one_answer") for text in breaches(trace))

    asyncio.run(scenario())
