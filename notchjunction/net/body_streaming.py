"""Bodies streamed through the node: uploads from a client to an upstream, and downloads the other way."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from notchjunction.http1.messages import MalformedMessageError, Response
from notchjunction.http1.parser import ResponseReader
from notchjunction.net.memory_budget import MemoryBudget
from notchjunction.net.upstream_connection import (
    READ_CHUNK_BYTES,
    AttemptWithheldError,
    ConnectionLostError,
    UpstreamConnection,
)
from notchjunction.net.write_stall import STALL_TIMEOUT_S

# Without a memory limit, bytes of a piece by the number of open streams: (streams at most, bytes).
PIECE_SIZES = ((32, READ_CHUNK_BYTES), (128, 16 * 1024))
# Bytes of a piece with more streams; the memory used then depends only on the number of descriptors.
MIN_PIECE_BYTES = 4 * 1024


class StreamBuffers:
    """Counts the open streams, and limits what each may buffer."""

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self.active = 0
        self.uploads = 0  # of them
        self._memory = memory or MemoryBudget()

    def piece_size(self) -> int:
        """Returns the size of a piece in bytes at the present number of open streams."""
        if self._memory.is_limited:
            return self._memory.piece_size(self.active)
        return next(
            (size for max_streams, size in PIECE_SIZES if self.active <= max_streams), MIN_PIECE_BYTES
        )


class Upload:
    """The streamed rest of a request's body.

    The rest is buffered only until it is sent; the beginning is kept until then, as the request can be
    repeated.
    """

    def __init__(
        self, streams: StreamBuffers, beginning: bytes = b"", on_begun: Callable[[], None] = lambda: None
    ) -> None:
        """Starts with the beginning of the body.

        Args:
            streams: The node's open streams.
            beginning: What has been received of the body.
            on_begun: Called once the beginning is not kept any more.
        """
        self.beginning = beginning
        self._on_begun = on_begun
        self.consumed = False  # part of the rest was handed out, so the request can't be repeated
        self.complete = False  # the last byte has been received from the client
        self._streams = streams
        self._pieces: deque[bytes] = deque()
        self._buffered = 0
        self._changed = asyncio.Event()
        self._room_made = asyncio.Event()
        self._open = True
        self._truncated = False  # closed before all of it was handed out
        streams.active += 1
        streams.uploads += 1

    def has_room(self) -> bool:
        """Whether there is room for another piece; there is none while the upstream reads nothing."""
        return not self.complete and self._buffered < self._streams.piece_size()

    @property
    def drained(self) -> bool:
        """Whether the last byte has been handed out."""
        return self.complete and not self._pieces and not self._truncated

    async def wait_for_room(self) -> None:
        """Waits until there is room for another piece."""
        while not self.has_room():
            self._room_made.clear()
            await self._room_made.wait()

    def put(self, piece: bytes, ended: bool) -> None:
        """Adds a piece received from the client; `ended` says whether it is the last one."""
        if piece:
            self._pieces.append(piece)
            self._buffered += len(piece)
        self.complete = ended
        self._changed.set()

    async def get(self) -> bytes:
        """Returns the next piece, or an empty one at the end.

        Raises:
            AttemptWithheldError: The upload was closed before all of it was handed out.
        """
        while not self._pieces:
            if self._truncated:
                # Guards against an attempt that isn't cancelled: it would wait forever for the next piece.
                raise AttemptWithheldError("the upload was closed")
            if self.complete:
                return b""
            self._changed.clear()
            await self._changed.wait()
        if not self.consumed:
            self.consumed = True
            self._drop_beginning()
        piece = self._pieces.popleft()
        self._buffered -= len(piece)
        self._room_made.set()
        return piece

    def _drop_beginning(self) -> None:
        self.beginning = b""
        self._on_begun()

    def close(self) -> None:
        """Ends the upload and discards what is buffered."""
        if self._open:
            self._open = False
            if not self.consumed:
                self._drop_beginning()
            self._streams.active -= 1
            self._streams.uploads -= 1
            self._truncated = not self.complete or bool(self._pieces)
            self._pieces.clear()
            self._changed.set()


class Download:
    """A streamed response; its reader takes the pieces of the body one by one."""

    def __init__(
        self,
        streams: StreamBuffers,
        connection: UpstreamConnection,
        parser: ResponseReader,
        beginning: Response,
    ) -> None:
        self.beginning = beginning
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.moved = False  # to another process of the node, together with its connection
        self._streams = streams
        self._connection = connection
        self._parser = parser
        self.finished = False
        self._open = True
        streams.active += 1

    def drop_beginning(self) -> None:
        """Drops the beginning of the body, which has been forwarded."""
        self.beginning = replace(self.beginning, body=b"")

    def take_piece(self) -> bytes:
        """Returns what has been received of the body.

        Raises:
            MalformedMessageError: The body can't be parsed.
        """
        if self.finished:
            return b""
        piece, self.finished = self._parser.take_piece()
        return piece

    @property
    def socket(self) -> socket.socket:
        """The socket of the upstream connection."""
        return self._connection.socket

    @property
    def state(self) -> dict[str, Any]:
        """The position in the body, for another process to continue from."""
        return self._parser.state()

    def take_buffered(self) -> bool:
        """Moves what the connection has received into the parser, so that `state` covers it.

        Returns False if the connection has ended.
        """
        received = self._connection.take_buffered()
        if received is None:
            return False
        self._parser.feed(received)
        return self._connection.is_open

    @property
    def ended_cleanly(self) -> bool:
        """Whether the upstream has closed the connection without an error."""
        return self._connection.ended_cleanly

    async def wait_readable(self, event: asyncio.Event) -> None:
        """Waits until more of the response has been received, or until the event is set.

        Raises:
            ConnectionLostError: Neither happened for `STALL_TIMEOUT_S`.
        """
        reading: asyncio.Future[Any] = self._connection.start_reading(self._read_size())
        event_set: asyncio.Future[Any] = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait(
                {reading, event_set}, timeout=STALL_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            event_set.cancel()
        if not reading.done() and not event.is_set():
            raise ConnectionLostError("no bytes received in time")

    def _read_size(self) -> int:
        return min(self._streams.piece_size(), self._parser.read_limit)

    def has_more(self) -> bool:
        """Whether `read_more` returns at once."""
        return self._connection.has_read()

    async def read_more(self) -> None:
        """Feeds the next received bytes to the parser.

        Raises:
            ConnectionLostError: The connection ended before the end of the response.
        """
        try:
            self._parser.feed(await self._connection.read(self._read_size()))
        except ConnectionLostError as error:
            if not error.clean or not self._parser.ends_with_connection():
                raise
            self.finished = True

    def move(self) -> None:
        """Closes this process's side: another process has the connection and continues from `state`."""
        self.moved = True
        # At once: an event that is already due would read bytes here that the other process waits for.
        self._connection.close()

    def close(self, error: ConnectionLostError | MalformedMessageError | None = None) -> None:
        """Ends the stream: the response is complete, or was abandoned because of the error."""
        if self._open:
            self._open = False
            self._streams.active -= 1
        if not self.ended.done():
            if error is None:
                self.ended.set_result(None)
            else:
                self.ended.set_exception(error)
