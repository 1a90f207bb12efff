"""Writes responses to one client: small ones at once, large ones piece by piece."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from tornado.iostream import StreamClosedError

from notchjunction.http1.encoder import encode_end, encode_piece
from notchjunction.net.body_streaming import Download
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_migration import ConnectionMigrator
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.stream_state import ResponseFraming
from notchjunction.net.write_stall import wait_until_written


class ResponseWriter:
    """Writes the responses of one connection, and tracks how many bytes were queued for them."""

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
        self._bytes_queued = 0  # passed to the stream so far, accepted by the operating system or not

    async def write(self, wire: bytes) -> None:
        """Writes encoded bytes.

        Raises:
            StreamClosedError: The client has gone or does not read.
        """
        self._bytes_queued += len(wire)
        await wait_until_written(self.stream, self.stream.write(wire))

    async def write_response(self, wire: bytes, keep: bool) -> bool:
        """Writes a complete response; `keep` says whether the connection is kept after it.

        Returns whether the connection can be used again; it cannot if the response migrated meanwhile.

        Raises:
            StreamClosedError: The client has gone or does not read.
        """
        migrated = await self._write_migratable(
            wire, lambda unsent: self._migrator.migrate_tail(unsent, keep)
        )
        return keep and not migrated

    async def write_part(self, wire: bytes, download: Download, framing: ResponseFraming) -> bool:
        """Writes the next encoded bytes of a streamed response.

        Returns whether the response migrated, with the rest of the bytes, meanwhile.

        Raises:
            StreamClosedError: The client has gone or does not read.
        """
        return await self._write_migratable(
            wire, lambda unsent: self._migrator.migrate_response(download, framing, unsent)
        )

    async def write_body(self, download: Download, framing: ResponseFraming) -> bool:
        """Writes a body piece by piece as it arrives, and its end marker.

        Returns whether the connection can be used again.

        Raises:
            ConnectionLostError: The endpoint's connection ended before the response did.
            MalformedMessageError: The endpoint's bytes are not a valid response.
            StreamClosedError: The client has gone or does not read.
        """
        while True:
            if self._migrator.is_due():
                if self._migrator.migrate_response(download, framing, b""):
                    return False
                await self._migrator.pause()
            piece = download.take_piece()
            wire = encode_piece(piece, framing.length, framing.chunks)
            if download.finished:
                wire += encode_end(framing.length, framing.chunks)
            if wire and await self.write_part(wire, download, framing):
                return False
            if download.finished:
                return framing.keep
            if piece:
                await asyncio.sleep(0)  # guards against one body that starves other connections
                continue
            await download.wait_readable(asyncio.Event() if self._state.pinned else self._context.migrating)
            if download.has_more():
                await download.read_more()

    async def _write_migratable(self, wire: bytes, migrate: Callable[[bytes], bool]) -> bool:
        """Writes encoded bytes, and migrates the response if that is due before all are written.

        Args:
            wire: The bytes.
            migrate: Migrates the response with those of the bytes that the operating system has not
                accepted; returns whether it did.

        Returns:
            Whether the response migrated.
        """
        self._bytes_queued += len(wire)
        self.stream.observe_peer_window()
        written = self.stream.write(wire)
        while not written.done() and not await self._wait_written(written):
            unsent = wire[len(wire) - (self._bytes_queued - self.stream.bytes_sent) :]
            if migrate(unsent):
                return True
            await self._migrator.pause()
        if written.done():
            written.result()
        return False

    async def _wait_written(self, written: asyncio.Future[None]) -> bool:
        """Waits until a piece is written or migration starts. Returns whether it is written."""
        if self._state.pinned:
            return await wait_until_written(self.stream, written)
        migration = asyncio.ensure_future(self._context.migrating.wait())
        try:
            return await wait_until_written(self.stream, written, migration)
        finally:
            migration.cancel()

    def truncate(self, framing: ResponseFraming) -> StreamClosedError:
        """Returns the error that ends a connection whose response is incomplete because of its endpoint.

        The client notices the truncation: the end of the body is missing, or the connection is reset.
        """
        if framing.length is None and not framing.chunks:
            # The end of the connection marks the end of such a response, so it is reset instead of closed.
            with suppress(OSError):
                self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return StreamClosedError()
