"""Closes a client connection without a reset: sending ends first, and reading goes on for a moment."""

from __future__ import annotations

import asyncio
import weakref
from contextlib import suppress
from dataclasses import replace

from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState, ManagedConnection
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.socket_stream import discard_unread, end_sending
from notchjunction.safety.preconditions import may_close

MAX_LINGER_BYTES = 1024 * 1024  # bytes discarded after the last response; more costs too much for politeness


class ConnectionCloser:
    """Decides whether a connection may be closed, and does the half-close and the lingering."""

    def __init__(
        self,
        connection: ManagedConnection,
        context: ClientContext,
        stream: ClientStream,
        state: ConnectionState,
        intake: RequestIntake,
    ) -> None:
        # Guards against memory of closed connections that waits for the cycle collector.
        self._connection_ref = weakref.ref(connection)
        self._context = context
        self._stream = stream
        self._state = state
        self._intake = intake

    @property
    def _connection(self) -> ManagedConnection:
        connection = self._connection_ref()
        assert connection is not None  # whoever calls this is the connection, or is awaited by it
        return connection

    def is_idle(self) -> bool:
        """Whether the connection may be closed now though its client has not asked for that."""
        return may_close(self._intake.closing_facts()) is None

    def is_idle_in_head(self) -> bool:
        """The same for a connection with a head under way: whether nothing more of it has just come."""
        return may_close(replace(self._intake.closing_facts(), request_started=False)) is None

    def end_sending(self) -> None:
        """Ends the sending. Guards against a request that crosses this: from here on none is sent on."""
        if self._state.closing:
            return
        self._state.closing = True
        self._context.phases.leave(self._connection)
        if self._stream.closed():
            return  # the client went first; the connection's task has not met its end yet
        self._context.phases.lingering[self._connection] = self._context.clock()
        end_sending(self._stream.socket)

    def end_sending_and_close_later(self) -> None:
        """The same while the connection's task waits for what comes, which may be nothing."""
        self.end_sending()
        asyncio.get_running_loop().call_later(self._context.linger_within(), self._connection.close)

    def end_sending_and_discard(self) -> bool:
        """Readies the connection for a close at once, where it may be; what has come is all that is read."""
        if self._stream.closed() or not (self._state.closing or self.is_idle()):
            return False
        self.end_sending()
        discard_unread(self._stream.socket)
        return True

    async def linger(self) -> None:
        """Reads on for a moment: a close over unread bytes is a reset, which may destroy what was written."""
        if self._stream.closed():
            return
        self.end_sending()
        if self._context.descriptors.full_of_callers():
            discard_unread(self._stream.socket)
            return
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._context.linger_within()):
                await self._intake.discard(MAX_LINGER_BYTES)
