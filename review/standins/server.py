"""A server of a tier: it answers probes, runs requests one at a time on a connection, and records both."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from standins.http import Address, Message, encode, read_body, read_head
from standins.record import Record

IDLE_S = 15.0  # a connection that has stood idle for so long is closed


@dataclass
class Run:
    """One request that a server has begun."""

    server: str
    request_id: str
    told_s: float  # the time that the server was told the node will wait
    begun_at: float
    answered_at: float | None = None


Behaviour = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """Answers `/health` at once; the behaviour writes the answer to any other request.

    A server does not notice that a connection has ended while it works: work that has begun goes on.
    """

    def __init__(self, name: str, record: Record, behaviour: Behaviour) -> None:
        self.name = name
        self.address: Address = ("127.0.0.1", 0)
        self.behaviour = behaviour
        self.hangs = False  # takes what it is sent, probes too, and answers nothing
        self.runs: list[Run] = []
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def row(self, address: str, status: str = "active") -> dict[str, Any]:
        """Returns the server's row in the list."""
        return {
            "name": self.name,
            "address": address,
            "zone": "a",
            "type": "m2",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            while True:
                async with asyncio.timeout(IDLE_S):
                    request = await read_head(reader)
                request.body = await read_body(reader, request.headers)
                if self.hangs:
                    self._begin(request)
                    await asyncio.sleep(3600)
                if request.words[1].startswith("/api"):
                    await self._run(request, writer)
                else:
                    writer.write(encode("HTTP/1.1 200 OK", {}))
                    await writer.drain()
        writer.close()

    def _begin(self, request: Message) -> Run:
        told = int(request.headers.get("req-deadline-ms", "0")) / 1000
        request_id = request.headers.get("req-id", "-")
        begun_at = self._record.note("run begins", server=self.name, id=request_id, told_s=told)
        run = Run(self.name, request_id, told, begun_at)
        if request_id != "-":
            self.runs.append(run)
        return run

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        run = self._begin(request)
        try:
            await self.behaviour(self, request, writer)
        except OSError as error:
            self._record.note(
                "answer broken off", server=self.name, id=run.request_id, why=type(error).__name__
            )
            raise
        run.answered_at = self._record.note("run answered", server=self.name, id=run.request_id)


async def answer(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Writes a whole answer 200."""
    writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "text/plain"}, body))
    await writer.drain()
