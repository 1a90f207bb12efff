"""Reads the requests of one client connection: deadlines of head and body, and limits of what comes ahead."""

from __future__ import annotations

import asyncio
import time
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

from notchjunction.http1.messages import Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState, ManagedConnection
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.upstream_connection import PIECE, read_piece
from notchjunction.safety.preconditions import ConnectionFacts, may_close

HEAD_TIMEOUT_S = 2.6  # from connecting, or a later request's first byte, to a whole head; some take 2 s
BODY_MIN_RATE = 48 * 1024  # bytes a second at which a body comes at least; slow clients send 64 kB
BODY_GRACE_S = (
    2.2  # that a body may lag behind that: pauses of slow clients; half a request is answered in 3 s
)
REJECTED_TIMEOUT_S = 1.0  # that a client over the limit has for the one request that is rejected
IDLE_TIMEOUT_S = 120.0  # between two requests; longer than pauses in traffic
MAX_READ_AHEAD_BYTES = 2 * PIECE  # bytes kept ahead of a response: a whole message and some of the next
MAX_DISCARDED_BYTES = (
    1024 * 1024
)  # bytes past those that are discarded; a client that sends more ahead only costs


class RequestIntake:
    """Reads from the stream, one read at a time, and parses what came.

    A request is due by its deadline: the head within `HEAD_TIMEOUT_S`, the body at `BODY_MIN_RATE`. While one
    is open, reading goes on, as only that shows that the client has gone; what comes ahead is kept up to
    `MAX_READ_AHEAD_BYTES` bytes and discarded after that.
    """

    def __init__(
        self,
        connection: ManagedConnection,
        context: ClientContext,
        stream: ClientStream,
        state: ConnectionState,
    ) -> None:
        self.parser = RequestReader()
        # s; when the request's last byte was read; of one that came ahead of its turn, the first.
        self.arrived_at = context.clock()
        self.bytes_discarded = 0  # sent too far ahead; what comes after them makes no sense
        # Guards against memory of closed connections that waits for the cycle collector.
        self._connection_ref = weakref.ref(connection)
        self._context = context
        self._stream = stream
        self.state = state
        self._reading: asyncio.Future[bytes] | None = None
        self._queued_since: float | None = None  # s; since when what came before the accept may have waited
        self._body_waited = 0.0  # s so far for the body under way
        context.phases.silent[connection] = self.arrived_at
        # The first request is due by the time of connecting: bytes that drip in do not renew it.
        self._due = self.arrived_at + (REJECTED_TIMEOUT_S if state.over_limit else HEAD_TIMEOUT_S)

    @property
    def _connection(self) -> ManagedConnection:
        connection = self._connection_ref()
        assert connection is not None  # whoever calls this is the connection, or is awaited by it
        return connection

    def note_queued(self, since: float) -> None:
        """The connection may have been in the queue since then (s), and what has come by now as well."""
        if self._stream.has_unread():
            self._queued_since = since

    def closing_facts(self) -> ConnectionFacts:
        """What decides at this moment whether the connection may be closed."""
        closing = self.state.closing or self._stream.closed()
        unread = self.has_read() or self._stream.has_unread()
        return ConnectionFacts(self.state.request_open, self.parser.begun, unread, closing)

    def has_more(self) -> bool:
        """Whether a further request has come, read or not.

        Guards against closing over a request that came with this one, drain or not.
        """
        return self.parser.begun or self.has_read() or self._stream.has_unread()

    def start_idle(self) -> None:
        """Between two requests from now on, unless the next one has begun to come."""
        now = self._context.clock()
        self._body_waited = 0.0
        if self.parser.begun:
            self._due = now + HEAD_TIMEOUT_S
        else:
            self._due = now + IDLE_TIMEOUT_S
            self._context.phases.idle[self._connection] = now

    async def next_request(self, send_continue: Callable[[], Awaitable[None]]) -> Request | None:
        """The next whole request; None once the connection closes, or nothing has come for too long.

        Args:
            send_continue: Called where the client waits for 100 Continue before it sends its body.

        Raises:
            Malformed: What came is no request, or came too slowly or too far ahead.
            StreamClosedError: The client has gone.
        """
        try:
            return await self._next_request(send_continue)
        finally:
            self._context.phases.heads.pop(self._connection, None)

    async def _next_request(self, send_continue: Callable[[], Awaitable[None]]) -> Request | None:
        late = False
        while (request := self.parser.next()) is None:
            if self.bytes_discarded:
                raise Malformed(413, "too much sent ahead")
            if late and self.parser.begun:
                raise Malformed(408, "request too slow")
            if late:
                return None
            self._note_head()
            reading = self.read()
            if self.parser.awaits_go_ahead():
                await send_continue()
            late = await self.wait(reading)
            if self.state.closing:
                return None
            if reading.done():
                self.feed()
                late = late and self._context.clock() >= self._due
            elif late and not self.parser.begun:
                # Guards against ending a connection over a request that came as its time was over.
                late = may_close(self.closing_facts()) is None
        return request

    def _note_head(self) -> None:
        if self.parser.in_body:
            self._context.phases.heads.pop(self._connection, None)
        elif self.parser.begun:
            self._context.phases.heads.setdefault(self._connection, self._context.clock())

    async def wait(self, *waiting: asyncio.Future[Any]) -> bool:
        """Waits for any of these while the client's next bytes are due; whether they are late.

        A body is due by its rate, over the time that was spent waiting for it: guards against clients that
        hold a connection for nothing.
        """
        started = self._context.clock()
        in_body = self.parser.in_body and not self.state.over_limit
        if in_body:
            self._due = started + BODY_GRACE_S + self.parser.body_come / BODY_MIN_RATE - self._body_waited
        await asyncio.wait(
            waiting, timeout=max(0.0, self._due - started), return_when=asyncio.FIRST_COMPLETED
        )
        now = self._context.clock()
        if in_body:
            self._body_waited += now - started
        # Guards against a busy loop's delay being put down to the client: what has come is read first.
        return now >= self._due

    def read(self, limit: int = PIECE) -> asyncio.Future[bytes]:
        """The read under way, or a new one of up to `limit` bytes."""
        if self._reading is None:
            self._reading = read_piece(self._stream, limit)
        return self._reading

    def has_read(self) -> bool:
        """Whether the read under way is done, and what it read is not fed to the parser yet."""
        return self._reading is not None and self._reading.done()

    def feed(self) -> None:
        """Feeds what was read to the parser, or discards it where too much came ahead.

        Raises:
            StreamClosedError: The read met the client's end.
        """
        assert self._reading is not None
        reading, self._reading = self._reading, None
        piece = reading.result()
        now = self._context.clock()
        # A request's time counts from its last byte; of one that came ahead only the first is known for sure.
        if not self.state.request_open or not self.parser.begun:
            # Guards against a late loop's delay passing for time that the client still has.
            self.arrived_at = now - max(0.0, time.monotonic() - self._stream.arrived_at)
        if self._queued_since is not None:
            self.arrived_at, self._queued_since = min(self.arrived_at, self._queued_since), None
        if not self.parser.begun:
            if self._connection in self._context.phases.idle:
                self._due = now + HEAD_TIMEOUT_S
            self._context.phases.leave(self._connection)
        # Guards against memory that grows with what a client sends ahead, which is read on for its end.
        ahead = self.state.request_open and self.parser.unread + len(piece) > MAX_READ_AHEAD_BYTES
        if self.bytes_discarded or ahead:
            self.bytes_discarded += len(piece)
        else:
            self.parser.feed(piece)

    def is_over_discard_limit(self) -> bool:
        """Whether the client has sent more ahead than is worth reading for its end."""
        return self.bytes_discarded > MAX_DISCARDED_BYTES

    async def discard(self, limit: int) -> None:
        """Reads up to so many bytes, and the read that crosses the limit whole, and throws them away."""
        left = limit
        while left > 0:
            left -= len(await self.read())
            self._reading = None
