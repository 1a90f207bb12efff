"""Writes responses to one client: whole ones, and large ones piece by piece."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Any

from tornado.iostream import StreamClosedError

from notchjunction.http1.encoder import encode_end, encode_piece
from notchjunction.net.body_streaming import Download
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_migration import ConnectionMigrator
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.stream_state import ResponseFraming

WRITE_TIMEOUT_S = 10.0  # that a client may take to read a response, or a piece of it; then it counts as gone


class ResponseWriter:
    """The one place where bytes for a client are written."""

    def __init__(
        self,
        context: ClientContext,
        stream: ClientStream,
        state: ConnectionState,
        migrator: ConnectionMigrator,
    ) -> None:
        self.stream = stream
        self._context = context
        self._state = state
        self._migrator = migrator
        self._bytes_queued = 0  # written so far, whether or not the operating system has accepted them

    async def write(self, wire: bytes) -> None:
        """Writes encoded bytes; StreamClosedError where the client has gone or does not read them."""
        self._bytes_queued += len(wire)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self.stream.write(wire)
        except TimeoutError as error:
            # Guards against a client that reads nothing: a drain would wait for it.
            raise StreamClosedError from error

    async def write_body(self, download: Download, framing: ResponseFraming) -> bool:
        """Writes a body piece by piece as it comes, and its end; whether the connection can be used again.

        Raises:
            ConnectionLost, Malformed: The endpoint's side of the response ended or is no response.
            StreamClosedError: The client has gone or does not read.
        """
        while True:
            if self._migrator.is_due():
                if self._migrator.move_response(download, framing, b""):
                    return False
                await self._migrator.pause()
            piece = download.ready_piece()
            if piece:
                if await self._write_piece(piece, download, framing):
                    return False
                await asyncio.sleep(0)  # guards against one body taking all turns
            elif download.over:
                break
            else:
                await download.waits(asyncio.Event() if self._state.pinned else self._context.migrating)
                if download.has_more():
                    await download.more()
        if end := encode_end(framing.length, framing.chunks):
            await self.write(end)
        return framing.keep

    async def _write_piece(self, piece: bytes, download: Download, framing: ResponseFraming) -> bool:
        """Writes one piece; whether the response moved to another process with the rest of it."""
        wire = encode_piece(piece, framing.length, framing.chunks)
        self._bytes_queued += len(wire)
        written = self.stream.write(wire)
        while not written.done() and not await self._wait_written(written):
            unsent = wire[len(wire) - (self._bytes_queued - self.stream.bytes_sent) :]
            if self._migrator.move_response(download, framing, unsent):
                return True
            await self._migrator.pause()
        return False

    async def _wait_written(self, written: asyncio.Future[None]) -> bool:
        """Waits until a piece is written, or responses are to move; whether it is written."""
        migrating = self._context.migrating
        waits: set[asyncio.Future[Any]] = {written}
        if not self._state.pinned:
            waits.add(moves := asyncio.ensure_future(migrating.wait()))
        await asyncio.wait(waits, timeout=WRITE_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        if not self._state.pinned:
            moves.cancel()
        if written.done():
            written.result()
        elif self._state.pinned or not migrating.is_set():
            # Guards against a client that reads nothing: a drain would wait for it.
            raise StreamClosedError
        return written.done()

    def truncate(self, framing: ResponseFraming) -> StreamClosedError:
        """The error that ends a connection whose response is not whole, through no fault of the node's.

        The client can tell, by the end that is missing.
        """
        if framing.length is None and not framing.chunks:
            # The end of the connection would pass for that of the response: it is reset.
            with suppress(OSError):
                self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return StreamClosedError()
