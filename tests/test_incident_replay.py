"""Tests that replay the faults of incident 1 with real processes over loopback, one test for each fault."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from notchjunction import protocol
from notchjunction.http1.parser import RequestReader
from notchjunction.soak.discovery import LEAVING
from notchjunction.soak.plan import Plan
from notchjunction.soak.run import SoakRun
from tests.helpers import Client, Program, configuration

DEADLINE_TOLERANCE_S = 0.15  # the deadline sent to a server may exceed the client's time left by this
TIME_LEFT_S = 6.0  # deadline of the client's request
ACCEPT_DELAY_S = 0.5  # the server with the full queue accepts connections after this time


class FullQueueListener:
    """A server whose accept queue is full: new connections open only once it accepts some."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.at = "{}:{}".format(*self._listener.getsockname())
        self._queue_fillers = [self._connect() for _ in range(2)]

    def _connect(self) -> socket.socket:
        connecting = socket.socket()
        connecting.setblocking(False)
        connecting.connect_ex(self._listener.getsockname())
        return connecting

    async def first_request(self) -> tuple[float, float]:
        """Return when the first request arrived, and the deadline (s) that it carries."""
        loop = asyncio.get_running_loop()
        self._listener.setblocking(False)
        arrivals: asyncio.Queue[tuple[float, float]] = asyncio.Queue()
        accepting = loop.create_task(self._accept(arrivals))
        try:
            return await arrivals.get()
        finally:
            accepting.cancel()

    async def _accept(self, arrivals: asyncio.Queue[tuple[float, float]]) -> None:
        """Accept all connections: the node may open two, and may use either one."""
        loop = asyncio.get_running_loop()
        readers = set()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            if connection.getpeername() in [filler.getsockname() for filler in self._queue_fillers]:
                connection.close()
                continue
            connection.setblocking(False)
            readers.add(loop.create_task(self._read(connection, arrivals)))

    async def _read(self, connection: socket.socket, arrivals: asyncio.Queue[tuple[float, float]]) -> None:
        requests = RequestReader()
        while data := await asyncio.get_running_loop().sock_recv(connection, 65536):
            requests.feed(data)
            while (request := requests.next()) is not None:
                if request.path.startswith(protocol.REQUEST_PATH):
                    arrivals.put_nowait((time.monotonic(), int(request.headers[protocol.DEADLINE_MS]) / 1000))
        connection.close()

    def close(self) -> None:
        for open_socket in (self._listener, *self._queue_fillers):
            open_socket.close()


def test_the_deadline_sent_to_a_server_is_the_time_left_after_its_connection_is_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FullQueueListener()
        document = configuration()
        # Longer than the first two SYN retransmission intervals, whenever the first SYN was sent.
        document["settings"]["limits"]["connect_timeout"] = 4000.0
        row = {"name": "s0", "address": server.at, "zone": "a", "group": 0, "status": "active", "since_ms": 0}
        document["known"] = {"index": 1, "snapshot": True, "endpoints": [row]}
        async with Program(tmp_path, document) as program:
            await program.says("ready")
            client = await Client().open(program.listen)
            sent_at = time.monotonic()
            client.ask(left=str(int(TIME_LEFT_S * 1000)))
            await asyncio.sleep(ACCEPT_DELAY_S)
            async with asyncio.timeout(TIME_LEFT_S):
                received_at, deadline_sent = await server.first_request()
        server.close()
        assert received_at > sent_at + ACCEPT_DELAY_S  # otherwise the connection was not delayed
        assert deadline_sent <= sent_at + TIME_LEFT_S - received_at + DEADLINE_TOLERANCE_S

    asyncio.run(scenario())


NODES = 16
OUTAGE_S = 4.0
MIN_RECOVERY_S = 5.0  # discovery needs this time to answer all nodes once if no node retries


@pytest.mark.timeout(120)
def test_all_nodes_receive_a_drain_after_overloaded_discovery_comes_back(tmp_path: Path) -> None:
    """A poll that is rejected after it has queued costs discovery as much as one that it answers."""

    async def scenario() -> None:
        plan = Plan(1, NODES, 10, 1, 1, 0.0, 1.0, 1024, False, {}, ())
        run = SoakRun(plan, tmp_path)
        loop = asyncio.get_running_loop()
        try:
            await run.open()
            await asyncio.sleep(3.0)
            behaviour = run.discovery.behaviour
            behaviour.lines_per_second = behaviour.call_lines * NODES / MIN_RECOVERY_S
            run.discovery.go_down()
            await asyncio.sleep(OUTAGE_S)
            run.discovery.come_back()
            recovered_at = loop.time()
            run.publish((run.backends[0], LEAVING))
            notified: set[str] = set()
            while len(notified) < NODES and loop.time() < recovered_at + 3 * MIN_RECOVERY_S:
                await asyncio.sleep(0.1)
                notified = {
                    row.node for row in run.journal.notified if row.at > recovered_at and not row.active
                }
        finally:
            await run.close()
        assert len(notified) == NODES

    asyncio.run(scenario())
