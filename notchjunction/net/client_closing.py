"""Closes a client connection without a reset: a half-close, then reading until the linger timeout."""

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

# Bytes read and discarded after the last response; reading more is not worth its cost.
MAX_LINGER_BYTES = 1024 * 1024


class ConnectionCloser:
    """Decides whether a connection may be closed, and closes it in steps."""

    def __init__(
        self,
        connection: ManagedConnection,
        context: ClientContext,
        stream: ClientStream,
        state: ConnectionState,
        intake: RequestIntake,
    ) -> None:
        # Weak: guards against closed connections that stay in memory until the cycle collector runs.
        self._connection_ref = weakref.ref(connection)
        self._context = context
        self._stream = stream
        self._state = state
        self._intake = intake

    @property
    def _connection(self) -> ManagedConnection:
        connection = self._connection_ref()
        assert connection is not None  # the caller is the connection, or is awaited by it
        return connection

    def is_idle(self) -> bool:
        """Whether the node may close the connection now on its own."""
        return may_close(self._intake.closing_facts()) is None

    def is_idle_in_head(self) -> bool:
        """Whether the node may reject an incomplete head now, because no further bytes are unread."""
        return may_close(replace(self._intake.closing_facts(), request_started=False)) is None

    def end_sending(self) -> None:
        """Closes the sending side.

        Guards against a request that arrives at the same moment: from now on none is handled.
        """
        if self._state.closing:
            return
        self._state.closing = True
        self._context.phases.leave(self._connection)
        if self._stream.closed():
            return  # the client closed first, and the connection's task has not noticed yet
        self._context.phases.lingering[self._connection] = self._context.clock()
        end_sending(self._stream.socket)

    def end_sending_and_close_later(self) -> None:
        """Closes the sending side, and the connection after the linger timeout, while its task is reading."""
        self.end_sending()
        asyncio.get_running_loop().call_later(self._context.linger_timeout(), self._connection.close)

    def end_sending_and_discard(self) -> bool:
        """Closes the sending side and discards unread bytes, if a close is allowed. Returns whether it is."""
        if self._stream.closed() or not (self._state.closing or self.is_idle()):
            return False
        self.end_sending()
        discard_unread(self._stream.socket)
        return True

    async def linger(self) -> None:
        """Closes the sending side and discards bytes until the linger timeout.

        A close with unread bytes sends a reset, which may destroy a response that the client has not read.
        """
        if self._stream.closed():
            return
        self.end_sending()
        if self._context.descriptors.full_for_clients():
            discard_unread(self._stream.socket)
            return
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._context.linger_timeout()):
                await self._intake.discard(MAX_LINGER_BYTES)
