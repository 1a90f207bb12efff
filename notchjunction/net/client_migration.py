"""Migrates a client connection, in the middle of a message, to the process that replaces this one."""

from __future__ import annotations

import asyncio

from notchjunction.net.body_streaming import Download
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.stream_state import MigratedResponse, MigratedUpload, ResponseFraming

# Pause between attempts to migrate one connection.
RETRY_INTERVAL_S = 0.02


class ConnectionMigrator:
    """Migrates one connection to the process that replaces this one.

    A connection that cannot migrate is pinned: it stays with this process. If the other process is only busy,
    the migration can be tried again.
    """

    def __init__(
        self, context: ClientContext, stream: ClientStream, state: ConnectionState, intake: RequestIntake
    ) -> None:
        self._context = context
        self._stream = stream
        self._state = state
        self._intake = intake

    def is_due(self) -> bool:
        """Whether connections migrate now and this one is not pinned."""
        return self._context.migrating.is_set() and not self._state.pinned

    def must_stay(self) -> bool:
        """Whether no other process can take this connection."""
        return self._state.pinned or self._context.migrate_stream is None

    async def pause(self) -> None:
        """Waits until the next attempt to migrate."""
        await asyncio.sleep(RETRY_INTERVAL_S)

    def migrate_response(self, download: Download, framing: ResponseFraming, unsent: bytes) -> bool:
        """Migrates a response between two of its pieces. Returns whether it did.

        A response is pinned if a further request or the end of either side has arrived: only this process has
        read that.

        Args:
            download: The response of the endpoint, of which more follows.
            framing: How the response is written to the client.
            unsent: The encoded bytes of the last piece that the operating system has not accepted.
        """
        self._state.pinned = True
        migrate_stream = self._context.migrate_stream
        has_other_data = self._intake.parser.started or self._intake.has_read() or self._stream.closed()
        if migrate_stream is None or has_other_data or download.finished or not download.take_buffered():
            return False
        state = MigratedResponse(framing, download.state, unsent, self._state.request_id)
        try:
            if not migrate_stream(state.to_wire(), self._stream.socket, download.socket):
                return False
        except BlockingIOError:
            self._state.pinned = False  # the other process is still busy with earlier connections
            return False
        self._context.counters.add("streams_migrated")
        self._state.moved = True
        download.move()
        # Guards against a later half-close here: it would end the connection for the other process.
        self._stream.close()
        return True

    def migrate_upload(self, keep: bool) -> bool:
        """Migrates a client that still sends the body of an answered request. Returns whether it did."""
        migrate_stream = self._context.migrate_stream
        if migrate_stream is None or self._intake.has_read() or self._stream.closed():
            return False
        try:
            migrated = migrate_stream(
                MigratedUpload(keep, self._intake.parser.state()).to_wire(), self._stream.socket
            )
        except BlockingIOError:
            return False
        self._state.pinned = not migrated
        if migrated:
            self._context.counters.add("uploads_migrated")
            # Guards against a later half-close here: it would end the connection for the other process.
            self._stream.close()
        return migrated
