"""Migrates a client connection, in the middle of a message, to the process that replaces this one."""

from __future__ import annotations

import asyncio
import socket

from notchjunction.http1.parser import ENDED_BODY
from notchjunction.net.body_streaming import Download
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.descriptors import SHORTAGE_ERRNOS
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
            download: The response of the endpoint.
            framing: How the response is written to the client.
            unsent: The encoded bytes, of the last piece, that the operating system has not accepted. If the
                response has ended, they include its end marker.
        """
        if download.finished:
            return self.migrate_tail(unsent, framing.keep)
        if not self._can_migrate():
            return False
        is_connected = download.take_buffered()
        state = MigratedResponse(framing, download.state, unsent, self._state.request_id)
        if is_connected:
            migrated = self._send(state, download.socket)
        else:
            # The rest of the body is here, and its end is that of the connection, unless it broke off.
            migrated = download.ended_cleanly and self._send_without_upstream(state)
        if migrated:
            download.move()
        return migrated

    def migrate_tail(self, unsent: bytes, keep: bool) -> bool:
        """Migrates the last bytes of a response, of which nothing more comes from its endpoint.

        Returns whether it did.

        Args:
            unsent: The encoded bytes that the operating system has not accepted, to the response's end.
            keep: Whether the connection is kept after the response.
        """
        if not self._can_migrate():
            return False
        framing = ResponseFraming(length=0, chunks=False, keep=keep)  # the bytes are framed already
        return self._send_without_upstream(
            MigratedResponse(framing, ENDED_BODY, unsent, self._state.request_id)
        )

    def _send_without_upstream(self, response: MigratedResponse) -> bool:
        """Sends a response whose endpoint sends nothing more, with a closed connection in place of its own.

        Guards against a message with one socket, which the other process takes for an upload.
        """
        try:
            closed, peer = socket.socketpair()
        except OSError as error:
            self._state.pinned = error.errno not in SHORTAGE_ERRNOS
            return False
        peer.close()
        with closed:
            return self._send(response, closed)

    def _can_migrate(self) -> bool:
        """Whether this connection can migrate; if not, it is pinned."""
        has_other_data = self._intake.parser.started or self._intake.has_read() or self._stream.closed()
        self._state.pinned = self._context.migrate_stream is None or has_other_data
        return not self._state.pinned

    def _send(self, response: MigratedResponse, upstream: socket.socket) -> bool:
        """Sends a response to the other process, and closes the connection here if it was accepted."""
        migrate_stream = self._context.migrate_stream
        assert migrate_stream is not None
        self._state.pinned = True
        try:
            if not migrate_stream(response.to_wire(), self._stream.socket, upstream):
                return False
        except BlockingIOError:
            self._state.pinned = False  # the other process is still busy with earlier connections
            return False
        self._context.counters.add("streams_migrated")
        self._state.moved = True
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
