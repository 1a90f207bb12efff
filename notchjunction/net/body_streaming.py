"""Bodies that pass through the node in pieces: a caller's to a server, a server's to a caller."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Any

from notchjunction.http1.messages import MalformedMessageError, Response
from notchjunction.http1.parser import ResponseReader
from notchjunction.net.upstream_connection import (
    READ_CHUNK_BYTES,
    STALL_TIMEOUT_S,
    AttemptWithheldError,
    ConnectionLostError,
    UpstreamConnection,
)

PIECE_SIZES = ((32, READ_CHUNK_BYTES), (128, 16 * 1024))  # streams up to which a piece has so many bytes
MIN_PIECE_BYTES = 4 * 1024  # bytes of one past those; memory then depends on the number of descriptors alone


class StreamBuffers:
    """How many bodies pass through, which bounds what each may hold."""

    def __init__(self) -> None:
        self.active = 0

    def piece_size(self) -> int:
        return next((size for most, size in PIECE_SIZES if self.active <= most), MIN_PIECE_BYTES)


class Upload:
    """A request's body that goes on. Its beginning is kept; the rest is held only until it is sent on."""

    def __init__(self, streams: StreamBuffers) -> None:
        self.consumed = False  # whether more than the beginning was given out: it can't be sent again
        self.complete = False  # whether the caller's last byte has come
        self._streams = streams
        self._pieces: deque[bytes] = deque()
        self._held = 0
        self._news = asyncio.Event()
        self._taken = asyncio.Event()
        self._open = True
        self._lost = False  # whether it was closed with some of it not given out
        streams.active += 1

    def has_room(self) -> bool:
        """Whether there is room for a further piece; a server that does not read leaves none."""
        return not self.complete and self._held < self._streams.piece_size()

    @property
    def drained(self) -> bool:
        """Whether its last byte has been given out."""
        return self.complete and not self._pieces and not self._lost

    async def wait_for_room(self) -> None:
        while not self.has_room():
            self._taken.clear()
            await self._taken.wait()

    def put(self, piece: bytes, ended: bool) -> None:
        if piece:
            self._pieces.append(piece)
            self._held += len(piece)
        self.complete = ended
        self._news.set()

    async def get(self) -> bytes:
        """The next piece; an empty one at the end. Withheld where the rest was given up."""
        while not self._pieces:
            if self._lost:
                # Guards against a dispatch that nobody recalls: it would wait for ever for what never comes.
                raise AttemptWithheldError("the rest was given up")
            if self.complete:
                return b""
            self._news.clear()
            await self._news.wait()
        self.consumed = True
        piece = self._pieces.popleft()
        self._held -= len(piece)
        self._taken.set()
        return piece

    def close(self) -> None:
        if self._open:
            self._open = False
            self._streams.active -= 1
            self._lost = not self.complete or bool(self._pieces)
            self._pieces.clear()
            self._news.set()


class Download:
    """An answer that has begun to come and goes on; whoever passes it on pulls its pieces."""

    def __init__(
        self,
        streams: StreamBuffers,
        connection: UpstreamConnection,
        answers: ResponseReader,
        beginning: Response,
    ) -> None:
        self.beginning = beginning
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.moved = False  # to another process of the node, with its connection
        self._streams = streams
        self._connection = connection
        self._answers = answers
        self.finished = False
        self._open = True
        streams.active += 1

    def take_piece(self) -> bytes:
        """What has come and can be passed on; MalformedMessageError where it can't be read."""
        if self.finished:
            return b""
        piece, self.finished = self._answers.take_piece()
        return piece

    @property
    def socket(self) -> socket.socket:
        return self._connection.socket

    @property
    def state(self) -> dict[str, Any]:
        return self._answers.state()

    def take_buffered(self) -> bool:
        """Takes in what has come: only its state is held here then. False where its server has ended."""
        held = self._connection.take_buffered()
        if held is None:
            return False
        self._answers.feed(held)
        return True

    async def wait_readable(self, until: asyncio.Event) -> None:
        """Until more of the answer has come, or that event; Cut where neither does for long."""
        reading: asyncio.Future[Any] = self._connection.start_reading(self._streams.piece_size())
        told: asyncio.Future[Any] = asyncio.ensure_future(until.wait())
        try:
            await asyncio.wait({reading, told}, timeout=STALL_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            told.cancel()
        if not reading.done() and not until.is_set():
            raise ConnectionLostError("nothing more comes")

    def has_more(self) -> bool:
        return self._connection.has_read()

    async def read_more(self) -> None:
        """Takes in what comes next; Cut where nothing does, and the answer is not over."""
        try:
            self._answers.feed(await self._connection.read(self._streams.piece_size()))
        except ConnectionLostError as error:
            if not error.clean or not self._answers.ends_with_connection():
                raise
            self.finished = True

    def move(self) -> None:
        """Another process has the connection and reads on from here."""
        self.moved = True
        # At once: an event that is already due would read here what the other process waits for.
        self._connection.close()

    def close(self, error: ConnectionLostError | MalformedMessageError | None = None) -> None:
        """Nothing more will be pulled: the answer is over, or was given up for this error."""
        if self._open:
            self._open = False
            self._streams.active -= 1
        if not self.ended.done():
            if error is None:
                self.ended.set_result(None)
            else:
                self.ended.set_exception(error)
