"""The network between the nodes and one server: it can reset connections towards the nodes."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

from standins.http import Address
from standins.record import Record


class Proxy:
    """Passes bytes on. A reset ends the node's side alone: the server's side stays open."""

    def __init__(self, target: Address, record: Record) -> None:
        self.address: Address = ("127.0.0.1", 0)
        self._target = target
        self._record = record
        self._server: asyncio.Server | None = None
        self._nodes: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()  # kept, so that none is collected while it runs

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def reset_all(self) -> int:
        """Resets all connections towards the nodes; returns how many."""
        writers, self._nodes = self._nodes, set()
        for writer in writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self._record.note("network resets", connections=len(writers))
        return len(writers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection(*self._target)
        self._nodes.add(writer)
        back = asyncio.create_task(self._pass_on(server_reader, writer))
        self._tasks.add(back)
        await self._pass_on(reader, server_writer)
        if writer in self._nodes:
            self._nodes.discard(writer)
            server_writer.close()
            writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.CancelledError):
            while piece := await reader.read(65536):
                writer.write(piece)
                await writer.drain()
