"""Incident 1 on real processes over loopback: what was seen to break, each as a story of its own."""

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

DEADLINE_SLACK = 0.15  # s by which the time told to a server may exceed what the client has left
LEFT = 6.0  # s that the client waits
CROWDED_FOR = 0.5  # s until the crowded server lets connections in


class CrowdedListener:
    """A server whose queue of connections is full: what knocks comes up only once it has let some in."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.at = "{}:{}".format(*self._listener.getsockname())
        self._filling = [self._knock() for _ in range(2)]

    def _knock(self) -> socket.socket:
        knocking = socket.socket()
        knocking.setblocking(False)
        knocking.connect_ex(self._listener.getsockname())
        return knocking

    async def first_request(self) -> tuple[float, float]:
        """When the first request was there, and the time left (s) that it tells."""
        loop = asyncio.get_running_loop()
        self._listener.setblocking(False)
        came: asyncio.Queue[tuple[float, float]] = asyncio.Queue()
        letting_in = loop.create_task(self._let_in(came))
        try:
            return await came.get()
        finally:
            letting_in.cancel()

    async def _let_in(self, came: asyncio.Queue[tuple[float, float]]) -> None:
        """Lets in whoever knocks; of two connections of the node it is not known which one it uses."""
        loop = asyncio.get_running_loop()
        reading = set()
        while True:
            opened, _ = await loop.sock_accept(self._listener)
            if opened.getpeername() in [knocking.getsockname() for knocking in self._filling]:
                opened.close()
                continue
            opened.setblocking(False)
            reading.add(loop.create_task(self._read(opened, came)))

    async def _read(self, opened: socket.socket, came: asyncio.Queue[tuple[float, float]]) -> None:
        requests = RequestReader()
        while piece := await asyncio.get_running_loop().sock_recv(opened, 65536):
            requests.feed(piece)
            while (request := requests.next()) is not None:
                if request.path.startswith(protocol.REQUEST_PATH):
                    came.put_nowait((time.monotonic(), int(request.headers[protocol.DEADLINE_MS]) / 1000))
        opened.close()

    def close(self) -> None:
        for each in (self._listener, *self._filling):
            each.close()


def test_a_server_is_told_the_time_that_is_left_once_its_connection_is_up(tmp_path: Path) -> None:
    async def story() -> None:
        server = CrowdedListener()
        told = configuration()
        # Over the first two spans after which the system knocks again, wherever the first knocks fell.
        told["settings"]["limits"]["connect_timeout"] = 4000.0
        row = {"name": "s0", "address": server.at, "zone": "a", "group": 0, "status": "active", "since_ms": 0}
        told["known"] = {"index": 1, "snapshot": True, "endpoints": [row]}
        async with Program(tmp_path, told) as program:
            await program.says("ready")
            client = await Client().open(program.listen)
            asked_at = time.monotonic()
            client.ask(left=str(int(LEFT * 1000)))
            await asyncio.sleep(CROWDED_FOR)
            async with asyncio.timeout(LEFT):
                came_at, told_left = await server.first_request()
        server.close()
        assert came_at > asked_at + CROWDED_FOR  # else its connection was not late
        assert told_left <= asked_at + LEFT - came_at + DEADLINE_SLACK

    asyncio.run(story())


NODES = 16
OUTAGE = 4.0  # s
IDEAL = 5.0  # s in which discovery can answer all nodes once, if none comes twice


@pytest.mark.timeout(120)
def test_nodes_that_crowd_at_discovery_as_it_comes_back_all_hear_of_a_drain(tmp_path: Path) -> None:
    """A call that is refused for having waited costs discovery as much as one that it answers."""

    async def story() -> None:
        plan = Plan(1, NODES, 10, 1, 1, 0.0, 1.0, 1024, False, {}, ())
        run = SoakRun(plan, tmp_path)
        loop = asyncio.get_running_loop()
        try:
            await run.open()
            await asyncio.sleep(3.0)
            manner = run.discovery.behaviour
            manner.lines_per_second = manner.call_lines * NODES / IDEAL
            run.discovery.go_down()
            await asyncio.sleep(OUTAGE)
            run.discovery.come_back()
            back = loop.time()
            run.publish((run.backends[0], LEAVING))
            heard: set[str] = set()
            while len(heard) < NODES and loop.time() < back + 3 * IDEAL:
                await asyncio.sleep(0.1)
                heard = {row.node for row in run.journal.notified if row.at > back and not row.active}
        finally:
            await run.close()
        assert len(heard) == NODES

    asyncio.run(story())
