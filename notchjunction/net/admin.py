"""The operators' listener: one call to a connection, read, asked of the node, and answered."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import socket
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import Any, NamedTuple, Protocol
from urllib.parse import unquote

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.net.descriptors import SHORT, SHORT_PAUSE
from notchjunction.net.socket_stream import NodeStream, Unread, end_sending, end_sending_and_discard
from notchjunction.net.upstream_connection import BUFFER_MOST, PIECE, read_piece
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

CALLS_MOST = 16  # connections at once; operators and their tools are few, and descriptors are kept back
CALL_WITHIN = 3.0  # s from connecting until a call is whole; a call is one small piece
ANSWERED_WITHIN = 0.9  # s for the node to do as it is asked; the answer is due after 1 s
LINGER_WITHIN = 0.3  # s of reading on after the answer, so that a reset does not destroy it on its way
BACKLOG = 128  # connections that wait to be accepted; those who say nothing may come in a crowd
DESCRIPTORS = CALLS_MOST + 2  # what this listener may use: its calls, itself, and one being turned away


class AdminTarget(Protocol):
    """What operators may ask of a node; each says whether it was done, or what is shown of it as JSON."""

    def control_ready(self) -> bool: ...

    async def take_offline(self, server: str) -> bool: ...

    async def bring_online(self, server: str) -> bool: ...

    async def out_of_service(self) -> bool: ...

    async def in_service(self) -> bool: ...

    def fleet_figures(self) -> Mapping[str, Any] | None: ...


class Call(NamedTuple):
    method: str
    path: re.Pattern[str]
    refusal: int  # the status of a no
    ask: Callable[[AdminTarget, str], Awaitable[bool | bytes]]


async def _ready(node: AdminTarget, _: str) -> bool:
    return node.control_ready()


async def _fleet(node: AdminTarget, _: str) -> bool | bytes:
    figures = node.fleet_figures()
    return False if figures is None else json.dumps(figures, indent=1).encode() + b"\n"


CALLS = (
    Call("GET", re.compile(r"/control/(ready)"), 503, _ready),
    Call("PUT", re.compile(r"/control/servers/([^/]+)/offline"), 404, lambda node, id: node.take_offline(id)),
    Call("PUT", re.compile(r"/control/servers/([^/]+)/online"), 404, lambda node, id: node.bring_online(id)),
    Call("PUT", re.compile(r"/control/(out-of-service)"), 409, lambda node, _: node.out_of_service()),
    Call("PUT", re.compile(r"/control/(in-service)"), 409, lambda node, _: node.in_service()),
    Call("GET", re.compile(r"/control/(fleet)"), 404, _fleet),
)


class CallStream(NodeStream):
    """Knows whether anything has come."""

    begun = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        count = super().read_from_fd(buf)
        self.begun = self.begun or bool(count)
        return count


class AdminListener:
    def __init__(self, node: AdminTarget, counters: Counters) -> None:
        self._node = node
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._listeners: list[socket.socket] = []
        self._calls: dict[asyncio.Task[None], CallStream] = {}
        self._unread: dict[CallStream, None] = {}  # whose call is not whole; the oldest come first

    def open(self, address: Address) -> None:
        self._listeners = bind_sockets(address[1], address[0], backlog=BACKLOG)
        for listener in self._listeners:
            self._listen(listener)

    def _listen(self, listener: socket.socket) -> None:
        if listener in self._listeners:
            self._loop.add_reader(listener.fileno(), self._accept, listener)

    async def close(self, within: float) -> None:
        """Lets nobody in any more; the calls that have begun, also of those who wait, have so many s yet."""
        for listener in self._listeners:
            # Guards against a reset for each that waits: closing a listener ends them unheard.
            while self._accept(listener):
                pass
        while self._listeners:
            listener = self._listeners.pop()
            self._loop.remove_reader(listener.fileno())
            listener.close()
        for stream in self._calls.values():
            if _is_silent(stream):
                stream.close()
        if self._calls:
            await asyncio.wait(list(self._calls), timeout=within)
        for task in self._calls:
            task.cancel()

    def _accept(self, listener: socket.socket) -> bool:
        """Whether somebody came."""
        try:
            connection, _ = listener.accept()
        except OSError as error:
            if error.errno in SHORT:
                # Guards against a loop that does nothing but fail: the listener stays readable.
                self._counters.add("accepts_failed")
                self._loop.remove_reader(listener.fileno())
                self._loop.call_later(SHORT_PAUSE, self._listen, listener)
            return False
        if len(self._calls) >= CALLS_MOST:
            # Guards against callers that say nothing keeping out those who do: the oldest of them goes.
            oldest = next(iter(self._unread), None)
            if oldest is None:
                end_sending_and_discard(connection)
                connection.close()
                return True
            self._counters.add("admin_calls_dropped")
            self._close(oldest)
            del self._unread[oldest]
        stream = CallStream(connection, max_buffer_size=BUFFER_MOST, read_chunk_size=PIECE)
        task = self._loop.create_task(self._serve(stream))
        self._calls[task] = stream
        task.add_done_callback(self._done)
        return True

    def _close(self, stream: CallStream) -> None:
        if not stream.closed():
            end_sending_and_discard(stream.socket)
            stream.close()

    def _done(self, task: asyncio.Task[None]) -> None:
        stream = self._calls.pop(task)
        self._unread.pop(stream, None)
        self._close(stream)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.add_failure("admin call failed", error)

    async def _serve(self, stream: CallStream) -> None:
        with suppress(StreamClosedError):
            stream.set_nodelay(True)
            self._unread[stream] = None
            try:
                async with asyncio.timeout(CALL_WITHIN):
                    request = await self._read(stream)
            except Malformed as error:
                answer = Answer(error.status, keep=False)
            except TimeoutError:
                answer = Answer(408, keep=False)
            else:
                self._unread.pop(stream, None)
                answer = await self._answer(request)
            self._unread.setdefault(stream)  # answered: the first to go where there is no room
            with suppress(TimeoutError):
                async with asyncio.timeout(LINGER_WITHIN):
                    await stream.write(encode_answer(answer))
                    if not stream.closed():
                        end_sending(stream.socket)
                    while True:
                        await read_piece(stream)

    async def _read(self, stream: CallStream) -> Request:
        requests = RequestReader()
        while (request := requests.next()) is None:
            requests.feed(await read_piece(stream))
        return request

    async def _answer(self, request: Request) -> Answer:
        self._counters.add("admin_calls")
        found = [(call, match) for call in CALLS if (match := call.path.fullmatch(request.path))]
        if not found:
            return Answer(404, keep=False)
        fitting = [(call, match) for call, match in found if call.method == request.method]
        if not fitting:
            return Answer(405, {"allow": ", ".join(call.method for call, _ in found)}, keep=False)
        call, match = fitting[0]
        try:
            async with asyncio.timeout(ANSWERED_WITHIN):
                done = await call.ask(self._node, unquote(match[1]))
        except TimeoutError:
            done = False
        except Exception as error:
            self._counters.add_failure("admin call failed", error)
            return Answer(500, keep=False)
        if call.method == "PUT":
            log.info("admin call", extra=pairs(path=request.path, done=done))
        if isinstance(done, bytes):
            return Answer(200, {"content-type": "application/json"}, done, keep=False)
        return Answer(200 if done else call.refusal, keep=False)


def _is_silent(stream: CallStream) -> bool:
    """Whether nothing of a call has come, as the operating system knows it."""
    if stream.begun or stream.closed():
        return stream.closed()
    return stream.unread() is Unread.NOTHING
