"""Moves a client connection to the process of the node that replaces this one, in the middle of a message."""

from __future__ import annotations

import asyncio

from notchjunction.net.body_streaming import Download
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.stream_state import MigratedResponse, MigratedUpload, ResponseFraming

RETRY_INTERVAL_S = 0.02  # until a connection that could not move yet is tried again


class ConnectionMigrator:
    """Offers one connection to the other process, once: where that fails it is pinned to this one."""

    def __init__(
        self, context: ClientContext, stream: ClientStream, state: ConnectionState, intake: RequestIntake
    ) -> None:
        self._context = context
        self._stream = stream
        self._state = state
        self._intake = intake

    def is_due(self) -> bool:
        """Whether connections are moving now, and this one can."""
        return self._context.migrating.is_set() and not self._state.pinned

    def must_stay(self) -> bool:
        """Whether nobody else will go on with this connection."""
        return self._state.pinned or self._context.migrate_stream is None

    async def pause(self) -> None:
        """Waits until the next try."""
        await asyncio.sleep(RETRY_INTERVAL_S)

    def move_response(self, download: Download, framing: ResponseFraming, unsent: bytes) -> bool:
        """Moves a response between two of its pieces, with what of the last one is unsent; whether it did.

        It stays where a further request or the end of either side has come: only this process knows of that.
        """
        self._state.pinned = True
        migrate_stream = self._context.migrate_stream
        ahead = self._intake.parser.begun or self._intake.has_read() or self._stream.closed()
        if migrate_stream is None or ahead or download.over or not download.take_held():
            return False
        state = MigratedResponse(framing, download.state, unsent)
        try:
            if not migrate_stream(state.to_wire(), self._stream.socket, download.socket):
                return False
        except BlockingIOError:
            self._state.pinned = False  # the other process is still busy with those before it
            return False
        self._context.counters.add("streams_migrated")
        download.move()
        # Guards against ending it for the other process, too.
        self._stream.close()
        return True

    def move_upload(self, keep: bool) -> bool:
        """Moves a client that has its response, and whose body still comes; whether it did."""
        migrate_stream = self._context.migrate_stream
        if migrate_stream is None or self._intake.has_read() or self._stream.closed():
            return False
        try:
            moved = migrate_stream(
                MigratedUpload(keep, self._intake.parser.state()).to_wire(), self._stream.socket
            )
        except BlockingIOError:
            return False
        self._state.pinned = not moved
        if moved:
            self._context.counters.add("uploads_migrated")
            # Guards against ending it for the other process, too.
            self._stream.close()
        return moved
