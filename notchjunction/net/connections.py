"""One connection that this node opened, to a server or to discovery, and one exchange at a time on it."""

from __future__ import annotations

import asyncio
import socket
from functools import partial

from tornado.iostream import IOStream, StreamClosedError

from notchjunction.http1.encoder import encode_request
from notchjunction.http1.messages import BODY_MOST, HEAD_MOST, Answer, Request
from notchjunction.http1.parser import AnswerReader

Address = tuple[str, int]
PIECE = 64 * 1024  # bytes read at once
BUFFER_MOST = 2 * (BODY_MOST + HEAD_MOST)  # bytes kept of either direction; a message and some of the next


def read_piece(stream: IOStream) -> asyncio.Future[bytes]:
    """A read that goes on; it also notices the end of the connection, and never fails at once."""
    try:
        return asyncio.ensure_future(stream.read_bytes(PIECE, partial=True))
    except StreamClosedError as error:
        # Guards against a peer whose last bytes and end come together: the stream is closed before this read.
        ended: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        ended.set_exception(error)
        ended.exception()  # seen: an end is no failure by itself
        return ended


class NotSent(Exception):
    """The request was not written whole: it never ran."""


class NoDescriptor(NotSent):
    """This node had no descriptor left: no fault of the other side."""


class Cut(Exception):
    """The connection ended after the request was written and before its answer was whole."""


def address_of(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def text_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _cause(error: Exception) -> str:
    """What the operating system said, where the stream tells it."""
    return str(getattr(error, "real_error", None) or error)


class Connection:
    def __init__(self, address: Address) -> None:
        self.address = address
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            # Guards against an outcome in doubt where the operating system itself is short of descriptors.
            raise NoDescriptor(_cause(error)) from error
        self._stream = IOStream(sock, max_buffer_size=BUFFER_MOST, read_chunk_size=PIECE)
        self._reading: asyncio.Future[bytes] | None = None
        self.idle_since = 0.0
        self.kept = False  # whether it has served before
        self.lived: float | None = None  # s that it stood idle until the other side ended it

    async def open(self) -> None:
        try:
            await self._stream.connect(self.address)
        except (OSError, StreamClosedError) as error:
            raise NotSent(_cause(error)) from error
        self._stream.set_nodelay(True)

    async def exchange(self, request: Request, answers: AnswerReader) -> Answer:
        """Writes the request in one piece and waits for its whole answer."""
        try:
            await self._stream.write(encode_request(request))
        except StreamClosedError as error:
            raise NotSent(_cause(error)) from error
        while True:
            try:
                piece = await self._read()
            except StreamClosedError as error:
                answer = answers.end() if error.real_error is None else None
                if answer is None:
                    raise Cut(_cause(error)) from error
                return answer
            answers.feed(piece)
            answer = answers.next()
            if answer is not None:
                return answer

    def rest(self, now: float) -> None:
        """Stands idle from now on; a read goes on, so that an end is noticed."""
        self.idle_since = now
        self.kept = True
        self._reading = read_piece(self._stream)
        self._reading.add_done_callback(partial(self._rested, asyncio.get_running_loop().time()))

    def _rested(self, began: float, reading: asyncio.Future[bytes]) -> None:
        """Notes an end; one in the midst of an exchange, or of our own, is never asked for."""
        if not reading.cancelled() and reading.exception():
            self.lived = asyncio.get_running_loop().time() - began

    def fit(self) -> bool:
        """Whether a request may be written: open, and nothing unread. Guards against resets at reuse."""
        if self._stream.closed() or self._reading is None or self._reading.done():
            return False
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        self._stream.close()
        if self._reading is not None and self._reading.done() and not self._reading.cancelled():
            self._reading.exception()  # seen: an idle connection's end is no failure

    async def _read(self) -> bytes:
        reading, self._reading = self._reading, None
        return await (reading if reading is not None else read_piece(self._stream))
