"""Reads the requests of one client connection, with timeouts and a limit on bytes sent ahead."""

from __future__ import annotations

import asyncio
import math
import time
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

from notchjunction.http1.messages import MalformedMessageError, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState, ManagedConnection
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.socket_stream import discard_unread
from notchjunction.net.upload_clock import UploadClock
from notchjunction.net.upstream_connection import READ_CHUNK_BYTES, start_read
from notchjunction.net.write_stall import MIN_BYTES_PER_S
from notchjunction.safety.preconditions import ConnectionFacts, may_close

# A head has to be complete this long after the accept, or after its first byte. Some clients take 2 s.
HEAD_TIMEOUT_S = 2.6
# Bytes a second; a body has to arrive at this average rate.
BODY_MIN_RATE = MIN_BYTES_PER_S
# A body may be this much later than at BODY_MIN_RATE, and pause for as long, as slow clients pause. A client
# that stops in the middle of a request gets its response within 3 s of its last byte.
BODY_GRACE_S = 2.2
# A client whose request is answered, and that sends nothing for this time, may be closed to let in another:
# longer than most round trips.
STOPPED_AFTER_S = 0.25
# A client over the descriptor limit has this time to send the one request that is rejected.
REJECTED_TIMEOUT_S = 1.0
# A connection without a request is closed after this time. Longer than pauses in traffic.
IDLE_TIMEOUT_S = 120.0
# Limit of the bytes kept while a response is pending: a complete request and part of the next.
MAX_READ_AHEAD_BYTES = 2 * READ_CHUNK_BYTES
# The same while memory is short.
MIN_READ_AHEAD_BYTES = 4 * 1024
# Bodies up to this many missing bytes need no reservation: most requests are far smaller than the limit.
MIN_RESERVED_BYTES = 4 * 1024
# Bytes read at once of what is discarded.
DISCARD_READ_BYTES = 1024
# Limit of the bytes discarded beyond those. A client that sends more gets 413, as reading on has a cost.
MAX_DISCARDED_BYTES = 1024 * 1024


class RequestIntake:
    """Reads from the stream, one read at a time, and parses the bytes.

    A head has to arrive within `HEAD_TIMEOUT_S`, a body at `BODY_MIN_RATE`. Reading continues while a request
    is open, because only a read shows that the client has gone. Bytes of further requests are kept up to
    `MAX_READ_AHEAD_BYTES`, and discarded beyond that.
    """

    def __init__(
        self,
        connection: ManagedConnection,
        context: ClientContext,
        stream: ClientStream,
        state: ConnectionState,
    ) -> None:
        self.parser = RequestReader(kept_headers=context.kept_headers)
        # s; when the request's last byte arrived; its first byte, if it arrived while another one was open.
        self.arrived_at = context.clock()
        self.bytes_discarded = 0  # beyond the read-ahead limit; later bytes cannot be parsed
        # Weak: guards against closed connections that stay in memory until the cycle collector runs.
        self._connection_ref = weakref.ref(connection)
        self._context = context
        self._stream = stream
        self.state = state
        self._reading: asyncio.Future[bytes] | None = None
        # s; since when bytes that were sent before the accept may have been queued.
        self._queued_since: float | None = None
        self._read_started_at = self.arrived_at  # s; start of the latest read
        self._request_began_at = self.arrived_at  # s; when the first byte of the current request arrived
        self._upload_clock: UploadClock | None = None  # of the current request, once it takes further reads
        self._body_waited = 0.0  # s spent waiting for the current body
        self._reserved = 0  # bytes of memory for the body of the current request
        self._unparsed = 0  # bytes of heads and of further requests, which count as reserved, too
        context.phases.silent[connection] = self.arrived_at
        # The first head's timeout starts at the accept. Single bytes that trickle in do not renew it.
        self._times_out_at = self.arrived_at + (REJECTED_TIMEOUT_S if state.over_limit else HEAD_TIMEOUT_S)

    @property
    def _connection(self) -> ManagedConnection:
        connection = self._connection_ref()
        assert connection is not None  # the caller is the connection, or is awaited by it
        return connection

    def note_queued(self, since: float) -> None:
        """Records that the connection, and bytes received by now, may have been queued since then (s)."""
        if self._stream.has_unread():
            self._queued_since = since

    def closing_facts(self) -> ConnectionFacts:
        """Returns the facts that decide whether the connection may be closed now."""
        closing = self.state.closing or self._stream.closed()
        unread = self.has_read() or self._stream.has_unread()
        return ConnectionFacts(self.state.request_open, self.parser.started, unread, closing)

    def _count_unparsed(self) -> None:
        """Counts the bytes that have been read of heads and of further requests."""
        before, self._unparsed = self._unparsed, 0 if self.parser.in_body else self.parser.unread
        if self._unparsed > before:
            self._context.memory.buffers.add(self._unparsed - before)
        elif self._unparsed < before:
            self._context.memory.buffers.release(before - self._unparsed)

    def close(self) -> None:
        """Gives back all memory that is reserved, as the connection has ended."""
        self.release_memory()
        unparsed, self._unparsed = self._unparsed, 0
        self._context.memory.buffers.release(unparsed)

    def has_more(self) -> bool:
        """Whether bytes of a further request have arrived, read or not.

        Guards against a close that loses a request sent together with the current one, also during a drain.
        """
        return self.parser.started or self.has_read() or self._stream.has_unread()

    def start_idle(self) -> None:
        """Starts the idle phase between two requests, unless part of the next one has been read."""
        now = self._context.clock()
        self._body_waited = 0.0
        self._request_began_at, self._upload_clock = self.arrived_at, None
        self.release_memory()
        self._count_unparsed()
        if self.parser.started:
            self._times_out_at = now + HEAD_TIMEOUT_S
        else:
            self._times_out_at = now + IDLE_TIMEOUT_S
            self._context.phases.idle[self._connection] = now

    async def next_request(self, send_continue: Callable[[], Awaitable[None]]) -> Request | None:
        """Returns the next request to handle; None if the connection closes or was idle for too long.

        Args:
            send_continue: Called if the client waits for 100 Continue before it sends its body.

        Raises:
            MalformedMessageError: The bytes are no valid request, arrived too slowly, or exceeded the
                read-ahead limit.
            StreamClosedError: The client has gone.
        """
        try:
            return await self._next_request(send_continue)
        finally:
            self._context.phases.heads.pop(self._connection, None)

    async def _next_request(self, send_continue: Callable[[], Awaitable[None]]) -> Request | None:
        timed_out = False
        while (request := self.parser.next()) is None:
            if self.bytes_discarded:
                raise MalformedMessageError(413, "read-ahead limit exceeded")
            if timed_out and self.parser.started:
                raise MalformedMessageError(408, "request timed out")
            if timed_out:
                return None
            self._track_head_phase()
            self._count_unparsed()
            self._check_head_memory()
            if self.parser.expects_continue():
                await send_continue()
            if self.parser.in_body and not self._reserve_body():
                self.parser.stream_early()
                continue
            reading = self.read()
            timed_out = await self.wait(reading)
            if self.state.closing:
                return None
            if reading.done():
                self.feed()
                timed_out = timed_out and self._context.clock() >= self._times_out_at
            elif timed_out and not self.parser.started:
                # Guards against a close that loses a request which arrived as the timeout passed.
                timed_out = may_close(self.closing_facts()) is None
        self._count_unparsed()
        return request

    def _check_head_memory(self) -> None:
        """Rejects a long head that is incomplete while memory is used up.

        Raises:
            MalformedMessageError: The head, and what was sent ahead of it, takes more memory than there is.
        """
        buffers = self._context.memory.buffers
        if self._unparsed > MIN_READ_AHEAD_BYTES and buffers.reserved > buffers.size:
            self._context.memory_shortage.report("request head")
            raise MalformedMessageError(503, "no memory for the head")

    def _reserve_body(self) -> bool:
        """Reserves memory to buffer the current body. Returns False if there is none: it is streamed then."""
        size = self.parser.bytes_to_buffer
        if self._reserved or size <= MIN_RESERVED_BYTES:
            return True
        if not self.state.over_limit and self._context.memory.buffers.try_reserve(size):
            self._reserved = size
        return self._reserved > 0

    def release_memory(self) -> None:
        """Gives back what is reserved for the request that has ended, or for the part that is dropped."""
        reserved, self._reserved = self._reserved, 0
        if reserved:
            self._context.memory.buffers.release(reserved)

    def _read_limit(self) -> int:
        """Returns how many bytes to read: no more of a body than are buffered before it is streamed."""
        limit = self._context.memory.read_size(self._context.descriptors.clients)
        if self.parser.in_body and not self.parser.streaming:
            return min(limit, max(1, self.parser.bytes_to_buffer))
        return min(limit, self.parser.read_limit)

    def has_stopped(self) -> bool:
        """Whether the client has sent nothing for a while although the node was reading."""
        if self._reading is None or self._reading.done() or self._stream.has_unread():
            return False
        return self._context.clock() >= self._read_started_at + STOPPED_AFTER_S

    def note_held_back(self) -> None:
        """Records that the current body is not read now, as there is no room for more of it."""
        self._clock_of_upload().note_held_back(self._context.clock())

    def observe_upload(self) -> float:
        """Returns for how long (s) the client may have sent all of the current body, which is incomplete."""
        now = self._context.clock()
        clock = self._clock_of_upload()
        if not self.has_read():
            clock.observe(now, self._stream.unread_bytes(), self.parser.bytes_missing)
        return clock.elapsed(now)

    def upload_elapsed(self) -> float:
        """Returns the same as observed last, also for a body whose last byte has just been read."""
        return self._clock_of_upload().elapsed(self._context.clock())

    def waited(self) -> float:
        """Returns for how long (s) a request that has been read may have been sent."""
        waited = self._context.clock() - self.arrived_at
        return waited if self._upload_clock is None else max(waited, self.upload_elapsed())

    def is_pause_over(self) -> bool:
        """Whether the client has sent nothing of its incomplete body for longer than a slow one pauses."""
        return self._body_pause() > BODY_GRACE_S

    def _body_pause(self) -> float:
        return self._clock_of_upload().pause(self._context.clock())

    def _clock_of_upload(self) -> UploadClock:
        if self._upload_clock is None:
            self._upload_clock = UploadClock(self._request_began_at, self._stream.round_trip())
        return self._upload_clock

    def _clock_read(self, arrived_at: float, size: int) -> None:
        """Tells the clock of the current request of a read. A request of one read needs no clock."""
        if not self.parser.started:
            self._request_began_at, self._upload_clock = self.arrived_at, None
            return
        clock = self._clock_of_upload()
        if arrived_at > self._read_started_at:
            clock.observe(arrived_at, 0, self.parser.bytes_missing)
        clock.note_read(self._context.clock(), size, self._stream.unread_bytes())

    def may_read_ahead(self) -> bool:
        """Whether bytes of further requests are read while a request is open, although memory is short."""
        return self._context.memory.allows_read_ahead or self.parser.unread < MIN_READ_AHEAD_BYTES

    def _track_head_phase(self) -> None:
        if self.parser.in_body:
            self._context.phases.heads.pop(self._connection, None)
        elif self.parser.started:
            self._context.phases.heads.setdefault(self._connection, self._context.clock())

    async def wait(self, *futures: asyncio.Future[Any]) -> bool:
        """Waits for any of the futures or the client's timeout. Returns whether the timeout has passed.

        A body's timeout follows from its minimum rate over the time spent waiting for it, and from the
        longest pause. This guards against clients that occupy a connection without sending, also after they
        have sent much at once.
        """
        wait_started_at = self._context.clock()
        longest_wait = math.inf
        in_body = self.parser.in_body and not self.state.over_limit
        if in_body:
            allowed = BODY_GRACE_S + self.parser.body_received / BODY_MIN_RATE
            self.observe_upload()
            pause = max(wait_started_at - self._read_started_at, self._body_pause())
            self._times_out_at = wait_started_at + min(allowed - self._body_waited, BODY_GRACE_S - pause)
            if not self._clock_of_upload().is_client_due:
                longest_wait = self._clock_of_upload().reopening  # by then it is, unless more arrives
        await asyncio.wait(
            futures,
            timeout=max(0.0, min(longest_wait, self._times_out_at - wait_started_at)),
            return_when=asyncio.FIRST_COMPLETED,
        )
        now = self._context.clock()
        if in_body:
            self._body_waited += now - wait_started_at
        # Guards against blaming a client for the delay of a busy loop: callers first read what has arrived.
        return now >= self._times_out_at

    def read(self, limit: int | None = None) -> asyncio.Future[bytes]:
        """Returns the read in progress, or starts one of up to `limit` bytes."""
        if self._reading is None:
            self._reading = start_read(self._stream, min(limit or MAX_READ_AHEAD_BYTES, self._read_limit()))
            self._read_started_at = self._context.clock()
        return self._reading

    def has_read(self) -> bool:
        """Whether a read has finished whose bytes have not been passed to the parser yet."""
        return self._reading is not None and self._reading.done()

    def feed(self) -> None:
        """Passes the bytes read to the parser, or discards them beyond the read-ahead limit.

        Raises:
            StreamClosedError: The client has gone.
        """
        assert self._reading is not None
        reading, self._reading = self._reading, None
        piece = reading.result()
        now = self._context.clock()
        # Guards against a late event loop whose delay is added to the time that the client allows.
        arrived_at = now - max(0.0, time.monotonic() - self._stream.arrived_at)
        # A request's time left counts from its last byte; from its first if sent ahead, the only one known.
        if not self.state.request_open or not self.parser.started:
            self.arrived_at = arrived_at
        if self._queued_since is not None:
            self.arrived_at, self._queued_since = min(self.arrived_at, self._queued_since), None
        if not self.state.request_open or self.parser.streaming:
            self._clock_read(arrived_at, len(piece))
        if not self.parser.started:
            if self._connection in self._context.phases.idle:
                self._times_out_at = now + HEAD_TIMEOUT_S
            self._context.phases.leave(self._connection)
        # Guards against memory that grows with the bytes sent ahead: reading continues to notice the client's
        # end.
        ahead = self.state.request_open and self.parser.unread + len(piece) > MAX_READ_AHEAD_BYTES
        if self.bytes_discarded or ahead:
            self.bytes_discarded += len(piece)
        else:
            self.parser.feed(piece)
            if self.state.request_open and not self.parser.streaming:
                self._count_unparsed()

    def drop_body(self) -> None:
        """Drops what has arrived of a streamed body that nobody wants, if its length is stated."""
        missing = self.parser.bytes_missing
        if missing and self._reading is None:
            dropped = self._stream.drop_unread(min(missing, MAX_DISCARDED_BYTES))
            self.parser.skip(dropped)
            if dropped:
                self._clock_of_upload().note_read(self._context.clock(), dropped, self._stream.unread_bytes())

    def is_over_discard_limit(self) -> bool:
        """Whether the client has sent too many bytes ahead for reading to continue."""
        return self.bytes_discarded > MAX_DISCARDED_BYTES

    async def discard(self, limit: int) -> None:
        """Reads and discards up to `limit` bytes, or somewhat more if many arrive at once."""
        remaining = limit
        while remaining > 0:
            # Whatever the parser waits for: guards against reads of single bytes in the middle of a body.
            reading = self._reading or start_read(self._stream, DISCARD_READ_BYTES)
            self._reading = None
            remaining -= len(await reading)
            if self._stream.closed():
                return  # the client's last bytes and its end arrived together
            # Without the stream's buffers, which all lingering connections would fill in the same moment.
            remaining -= discard_unread(self._stream.socket, remaining)
            await asyncio.sleep(0)  # guards against one client that sends fast and starves all others
