"""One connection that this node opened, to a server or to discovery, and one exchange at a time on it."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

from tornado.iostream import IOStream, StreamClosedError

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_end, encode_piece, encode_request
from notchjunction.http1.messages import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, Request, Response
from notchjunction.http1.parser import ResponseReader
from notchjunction.net.socket_stream import NodeStream, Unread

READ_CHUNK_BYTES = 64 * 1024  # bytes read at once
STALL_TIMEOUT_S = 10.0  # s in which the other side gives or takes nothing; over any pause of a slow one
CLIENT_CHECK_INTERVAL_S = (
    0.05  # s after which it is looked whether a caller is there whose bytes have no room
)
RESPONSE_HOLD_S = (
    0.3  # s after its head that an answer which may be large is held; it may be short, or spoilt
)
MAX_BUFFER_BYTES = 2 * (
    MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES
)  # bytes kept of either direction; a message and some of the next


def start_read(stream: IOStream, most: int = READ_CHUNK_BYTES) -> asyncio.Future[bytes]:
    """A read that goes on; it also notices the end of the connection, and never fails at once."""
    stream.read_chunk_size = min(most, READ_CHUNK_BYTES)
    try:
        return asyncio.ensure_future(stream.read_bytes(most, partial=True))
    except OSError as error:
        # Guards against a peer whose last bytes and end come together: the stream is closed before this read;
        # and against an end that the stream passes on as the operating system words it (host unreachable).
        ended: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        known = isinstance(error, StreamClosedError)
        ended.set_exception(error if known else StreamClosedError(real_error=error))
        ended.exception()  # seen: an end is no failure by itself
        return ended


class RequestNotSentError(Exception):
    """The request was not written whole: it never ran."""


class NoDescriptorError(RequestNotSentError):
    """This node had no descriptor left: no fault of the other side."""


class AttemptWithheldError(RequestNotSentError):
    """It was not to be written any more: no fault of the other side."""


class ConnectionLostError(Exception):
    """The connection ended after the request was written and before its answer was whole."""

    def __init__(self, why: str, clean: bool = False) -> None:
        super().__init__(why)
        self.clean = clean  # whether the other side ended it as one ends a connection, without a reset


class Body(Protocol):
    """The rest of a request's body."""

    complete: bool  # whether its last byte has come here

    @property
    def drained(self) -> bool:
        """Whether its last byte has been given out, too."""

    async def get(self) -> bytes: ...


def _cause(error: Exception) -> str:
    """What the operating system said, where the stream tells it."""
    return str(getattr(error, "real_error", None) or error)


class UpstreamConnection:
    def __init__(self, address: Address, opened: socket.socket | None = None) -> None:
        """A new connection; or one that another process of this node opened."""
        self.address = address
        self._reading: asyncio.Future[bytes] | None = None
        self.idle_since = 0.0
        self.has_served = False  # whether it has served before
        self._last: asyncio.Future[None] | None = None  # the writing of a body's last byte
        self._strayed: Callable[[], None] | None = None  # to be told, while it stands idle
        self._closed_here = False
        self.idle_lifetime: float | None = None  # s that it stood idle until the other side ended it
        if opened is not None:
            self._stream = NodeStream(
                opened, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES
            )
            return
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            # Guards against an outcome in doubt where the operating system itself is short of descriptors.
            raise NoDescriptorError(_cause(error)) from error
        self._stream = NodeStream(sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES)

    async def open(self) -> None:
        try:
            await self._stream.connect(self.address)
        except (OSError, StreamClosedError) as error:
            raise RequestNotSentError(_cause(error)) from error
        self._stream.set_nodelay(True)

    async def exchange(
        self,
        request: Request,
        answers: ResponseReader,
        body: Body | None = None,
        on_written: Callable[[], None] = lambda: None,
        on_received: Callable[[], None] = lambda: None,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Response:
        """Writes the request and waits for its answer, whole or, where it is large, its beginning.

        `written` is called once the last byte is written; the rest of a body is taken in pieces until then.
        `heard` is called with each piece of the answer that comes. Withheld where `wanted` says no once the
        body's last byte has come and is not yet written; it is asked again and again while there is no room.
        """
        self._strayed = self._last = None
        try:
            writing = self._stream.write(encode_request(request))
            try:
                await self._taken(writing, body, is_wanted)
            except asyncio.CancelledError:
                if body is None and writing.done() and writing.exception() is None:
                    # Guards against word that it never ran: its last byte went out as its time ended.
                    on_written()
                raise
            if body is not None:
                early = await self._write_rest(request, body, answers, is_wanted)
                if early is not None:
                    return early
        except StreamClosedError as error:
            raise RequestNotSentError(_cause(error)) from error
        on_written()
        opened: float | None = None
        while (answer := answers.next()) is None:
            # What still comes a while after its head is large, and its first bytes go on.
            now = asyncio.get_running_loop().time()
            if opened is not None and now - opened >= RESPONSE_HOLD_S and answers.can_stream_early():
                return answers.start_streaming()
            if opened is None and answers.in_body:
                opened = now
            try:
                answers.feed(await self.read())
                on_received()
            except ConnectionLostError as cut:
                last = answers.finish() if cut.clean else None
                if last is None:
                    raise
                return last
        return answer

    async def _write_rest(
        self, request: Request, body: Body, answers: ResponseReader, is_wanted: Callable[[], bool]
    ) -> Response | None:
        """The body's pieces; the answer, if one comes before the body's end, which ends the writing."""
        reading = self.start_reading()
        step: asyncio.Task[bool] | None = None
        try:
            while True:
                step = step or asyncio.create_task(self._write_piece(request, body, is_wanted))
                either: set[asyncio.Future[Any]] = {step, reading}
                await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
                if step.done():
                    more, step = step.result(), None
                    if not more:
                        return None
                    await asyncio.sleep(0)  # guards against one body taking all turns
                    continue
                answers.feed(await self.read())
                early = answers.next()
                if early is not None:
                    return replace(early, keep_alive=False)
                reading = self.start_reading()
        except ConnectionLostError as error:
            if self._last is not None and self._last.done() and self._last.exception() is None:
                # Guards against word that it never ran, where the end crosses the look at the last writing.
                raise
            raise RequestNotSentError(str(error)) from error
        finally:
            if step is not None:
                step.cancel()
                with suppress(asyncio.CancelledError, StreamClosedError):
                    await step

    async def _write_piece(self, request: Request, body: Body, is_wanted: Callable[[], bool]) -> bool:
        piece = await body.get()
        out = encode_piece(piece, request.length) if piece else encode_end(request.length)
        if out and body.complete and not is_wanted():
            # Guards against a request that becomes whole at a server after its caller has gone.
            raise AttemptWithheldError("no longer wanted")
        # Nothing of the request comes after it: no look at what the server says stands in between.
        last = body.drained and (not piece or request.length is not None)
        if out:
            writing = self._stream.write(out)
            self._last = writing if last else None
            await self._taken(writing, body, is_wanted)
        return not last

    async def _taken(
        self, writing: asyncio.Future[None], body: Body | None, is_wanted: Callable[[], bool]
    ) -> None:
        """Waits until it is written; cancelled or not, it still says how it ended.

        NotSent where a part of a body that goes on takes too long, Withheld where it is no longer wanted.
        """
        loop = asyncio.get_running_loop()
        # Guards against a server that takes nothing: no other time runs until a body's last byte is written.
        until = math.inf if body is None else loop.time() + STALL_TIMEOUT_S
        while not writing.done():
            left = max(0.0, until - loop.time())
            await asyncio.wait({writing}, timeout=min(left, CLIENT_CHECK_INTERVAL_S))
            if writing.done():
                break
            # Closed here and not by who hears of it, turns later: the stream would write on until then.
            if loop.time() >= until:
                self.close()
                raise RequestNotSentError("takes nothing more")
            if (body is None or body.complete) and not is_wanted():
                # Guards against a request that becomes whole later, as its server takes more, for nobody.
                self.close()
                raise AttemptWithheldError("no longer wanted")
        writing.result()

    @property
    def socket(self) -> socket.socket:
        found: socket.socket = self._stream.socket
        return found

    def start_reading(self, most: int = READ_CHUNK_BYTES) -> asyncio.Future[bytes]:
        """A read that goes on until `read` takes it; while it does, nothing that came is held here."""
        if self._reading is None:
            self._reading = start_read(self._stream, most)
        return self._reading

    def has_read(self) -> bool:
        return self._reading is not None and self._reading.done()

    def take_buffered(self) -> bytes | None:
        """What has come and was not read; nothing is held here then. None where the other side has ended."""
        reading = self.start_reading(MAX_BUFFER_BYTES)
        if not reading.done():
            return b""
        self._reading = None
        try:
            return reading.result()
        except StreamClosedError:
            return None

    def mark_idle(self, now: float, strayed: Callable[[], None] = lambda: None) -> None:
        """Stands idle from now on; a read goes on, so that an end is noticed.

        `strayed` is called where bytes come that nobody asked for.
        """
        if self._reading is not None:
            return  # nothing was written since it last stood idle: to the other side it never ceased to
        self.idle_since = now
        self.has_served = True
        self._reading = start_read(self._stream)
        self._strayed = strayed
        self._reading.add_done_callback(partial(self._rested, asyncio.get_running_loop().time()))

    def _rested(self, began: float, reading: asyncio.Future[bytes]) -> None:
        """Notes an end; one in the midst of an exchange, or of our own, is never asked for."""
        if reading.cancelled():
            return
        if not reading.exception():
            self._stray()
        else:
            self.idle_lifetime = asyncio.get_running_loop().time() - began

    def _stray(self) -> None:
        """Bytes have come; once, and not where they answer the next request."""
        strayed, self._strayed = self._strayed, None
        if strayed is not None:
            strayed()

    def is_reusable(self) -> bool:
        """Whether a request may be written: open, and nothing unread. Guards against resets at reuse."""
        if self._stream.closed() or self._reading is None or self._reading.done():
            return False
        unread = self._stream.unread()
        if unread is Unread.BYTES:
            self._stray()
        return unread is Unread.NOTHING

    def close(self) -> None:
        self._closed_here = True
        self._stream.close()
        if self._reading is not None and self._reading.done() and not self._reading.cancelled():
            self._reading.exception()  # seen: an idle connection's end is no failure

    async def read(self, most: int = READ_CHUNK_BYTES) -> bytes:
        """What comes next; Cut at the end of the connection."""
        reading, self._reading = self._reading, None
        try:
            return await (reading if reading is not None else start_read(self._stream, most))
        except StreamClosedError as error:
            # Guards against an answer given up by this node that passes for a whole one.
            clean = error.real_error is None and not self._closed_here
            raise ConnectionLostError(_cause(error), clean) from error


def create_connection(address: Address, spare_one: Callable[[], bool]) -> UpstreamConnection:
    """A new connection; where the operating system has no descriptor for it, once more after `spare_one`."""
    try:
        return UpstreamConnection(address)
    except NoDescriptorError:
        # Guards against callers at rest holding what others left of the operating system's descriptors: they
        # would keep servers from being reached, and the list from being asked for.
        if not spare_one():
            raise
        return UpstreamConnection(address)
