"""The listener of the admin API; each connection carries one call."""

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
from notchjunction.http1.encoder import encode_response
from notchjunction.http1.messages import MalformedMessageError, Request, Response
from notchjunction.http1.parser import RequestReader
from notchjunction.net.descriptors import SHORTAGE_ERRNOS, SHORTAGE_PAUSE_S
from notchjunction.net.socket_stream import NodeStream, Unread, end_sending, end_sending_and_discard
from notchjunction.net.upstream_connection import MAX_BUFFER_BYTES, READ_CHUNK_BYTES, start_read
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

MAX_CALLS = 16  # connections at once; operators and their tools are few, and their descriptors are reserved
READ_TIMEOUT_S = 3.0  # from connecting until a call is complete; calls are small
HANDLER_TIMEOUT_S = 0.9  # for the node to carry out a call; the response is due after 1 s
LINGER_TIMEOUT_S = 0.3  # of reading after the response, so that a reset doesn't destroy it on its way
BACKLOG = 128  # connections that wait to be accepted; many silent ones may arrive at once
DESCRIPTORS = MAX_CALLS + 2  # that this listener may use: its calls, itself, and one being turned away


class AdminTarget(Protocol):
    """The operations of a node that the admin API offers; those with a bool return whether they succeeded."""

    def control_ready(self) -> bool:
        """Whether the node has started and is not shutting down."""
        ...

    async def take_offline(self, server: str) -> bool:
        """Bans an endpoint."""
        ...

    async def bring_online(self, server: str) -> bool:
        """Lifts the ban of an endpoint."""
        ...

    async def out_of_service(self) -> bool:
        """Takes the node out of service."""
        ...

    async def in_service(self) -> bool:
        """Puts the node back in service."""
        ...

    def fleet_figures(self) -> Mapping[str, Any] | None:
        """Returns the fleet's figures as a JSON object; None if the node is in no fleet."""
        ...


class Route(NamedTuple):
    """An operation of the admin API."""

    method: str
    path: re.Pattern[str]
    failure_status: int  # if the operation returns False
    operation: Callable[[AdminTarget, str], Awaitable[bool | bytes]]


async def _ready(node: AdminTarget, _: str) -> bool:
    return node.control_ready()


async def _fleet(node: AdminTarget, _: str) -> bool | bytes:
    figures = node.fleet_figures()
    return False if figures is None else json.dumps(figures, indent=1).encode() + b"\n"


ROUTES = (
    Route("GET", re.compile(r"/control/(ready)"), 503, _ready),
    Route(
        "PUT", re.compile(r"/control/servers/([^/]+)/offline"), 404, lambda node, id: node.take_offline(id)
    ),
    Route("PUT", re.compile(r"/control/servers/([^/]+)/online"), 404, lambda node, id: node.bring_online(id)),
    Route("PUT", re.compile(r"/control/(out-of-service)"), 409, lambda node, _: node.out_of_service()),
    Route("PUT", re.compile(r"/control/(in-service)"), 409, lambda node, _: node.in_service()),
    Route("GET", re.compile(r"/control/(fleet)"), 404, _fleet),
)


class AdminStream(NodeStream):
    """A stream that records whether any bytes have been received."""

    has_received = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads into a buffer, as in the base class."""
        count = super().read_from_fd(buf)
        self.has_received = self.has_received or bool(count)
        return count


class AdminListener:
    """Accepts admin calls, has the node carry them out, and writes the responses."""

    def __init__(self, node: AdminTarget, counters: Counters) -> None:
        self._node = node
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._listeners: list[socket.socket] = []
        self._calls: dict[asyncio.Task[None], AdminStream] = {}
        self._incomplete: dict[AdminStream, None] = {}  # their calls are incomplete; oldest first

    def open(self, address: Address) -> None:
        """Listens on an address."""
        self._listeners = bind_sockets(address[1], address[0], backlog=BACKLOG)
        for listener in self._listeners:
            self._listen(listener)

    def _listen(self, listener: socket.socket) -> None:
        if listener in self._listeners:
            self._loop.add_reader(listener.fileno(), self._accept, listener)

    async def close(self, timeout: float) -> None:
        """Stops listening; calls that have begun, also on connections not accepted yet, get `timeout` s."""
        for listener in self._listeners:
            # Guards against resets of waiting connections: closing a listener resets those not accepted.
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
            await asyncio.wait(list(self._calls), timeout=timeout)
        for task in self._calls:
            task.cancel()

    def _accept(self, listener: socket.socket) -> bool:
        """Accepts a connection; returns whether there was one."""
        try:
            connection, _ = listener.accept()
        except OSError as error:
            if error.errno in SHORTAGE_ERRNOS:
                # Guards against a busy loop of failing accepts: the listener stays readable.
                self._counters.add("accepts_failed")
                self._loop.remove_reader(listener.fileno())
                self._loop.call_later(SHORTAGE_PAUSE_S, self._listen, listener)
            return False
        if len(self._calls) >= MAX_CALLS:
            # Guards against silent connections blocking others: the oldest of them is closed.
            oldest = next(iter(self._incomplete), None)
            if oldest is None:
                end_sending_and_discard(connection)
                connection.close()
                return True
            self._counters.add("admin_calls_dropped")
            self._drop(oldest)
            del self._incomplete[oldest]
        stream = AdminStream(connection, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        task = self._loop.create_task(self._serve(stream))
        self._calls[task] = stream
        task.add_done_callback(self._done)
        return True

    def _drop(self, stream: AdminStream) -> None:
        if not stream.closed():
            end_sending_and_discard(stream.socket)
            stream.close()

    def _done(self, task: asyncio.Task[None]) -> None:
        stream = self._calls.pop(task)
        self._incomplete.pop(stream, None)
        self._drop(stream)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.add_failure("admin call failed", error)

    async def _serve(self, stream: AdminStream) -> None:
        with suppress(StreamClosedError):
            stream.set_nodelay(True)
            self._incomplete[stream] = None
            try:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    request = await self._read(stream)
            except MalformedMessageError as error:
                response = Response(error.status, keep_alive=False)
            except TimeoutError:
                response = Response(408, keep_alive=False)
            else:
                self._incomplete.pop(stream, None)
                response = await self._respond(request)
            self._incomplete.setdefault(stream)  # answered, so it may be closed to make room
            with suppress(TimeoutError):
                async with asyncio.timeout(LINGER_TIMEOUT_S):
                    await stream.write(encode_response(response))
                    if not stream.closed():
                        end_sending(stream.socket)
                    while True:
                        await start_read(stream)
                        await asyncio.sleep(0)  # guards against a caller that sends fast and starves others

    async def _read(self, stream: AdminStream) -> Request:
        parser = RequestReader()
        while (request := parser.next()) is None:
            parser.feed(await start_read(stream))
        return request

    async def _respond(self, request: Request) -> Response:
        self._counters.add("admin_calls")
        path_matches = [(route, match) for route in ROUTES if (match := route.path.fullmatch(request.path))]
        if not path_matches:
            return Response(404, keep_alive=False)
        matches = [(route, match) for route, match in path_matches if route.method == request.method]
        if not matches:
            return Response(
                405, {"allow": ", ".join(route.method for route, _ in path_matches)}, keep_alive=False
            )
        route, match = matches[0]
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                outcome = await route.operation(self._node, unquote(match[1]))
        except TimeoutError:
            outcome = False
        except Exception as error:
            self._counters.add_failure("admin call failed", error)
            return Response(500, keep_alive=False)
        if route.method == "PUT":
            log.info("admin call", extra=pairs(path=request.path, done=outcome))
        if isinstance(outcome, bytes):
            return Response(200, {"content-type": "application/json"}, outcome, keep_alive=False)
        return Response(200 if outcome else route.failure_status, keep_alive=False)


def _is_silent(stream: AdminStream) -> bool:
    """Whether the stream is closed, or no byte of a call was received, not even by the operating system."""
    if stream.has_received or stream.closed():
        return stream.closed()
    return stream.unread() is Unread.NOTHING
