"""Fake servers of the testbed: the emulator's model behind sockets, with a port for each node."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.balancing.interface import AttemptResult
from notchjunction.config.settings import LOAD_REPORT_FIELDS
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.servers import Call, Server
from notchjunction.http1.encoder import encode_response
from notchjunction.http1.messages import MalformedMessageError, Request, Response
from notchjunction.http1.parser import RequestReader
from notchjunction.testbed.client import READ_SIZE

HOST = "127.0.0.1"
WORK_PARAMETER = "work"  # in the query: work (s) of the request on a server of speed 1
DEFAULT_WORK_S = 0.001  # of a request without this parameter
REPORTED_FIELDS = {
    field: wire_name
    for wire_name, field in LOAD_REPORT_FIELDS.items()
    if field in ("in_flight", "queued", "utilization")
}
RESPONSES = {
    AttemptResult.SUCCEEDED: Response(200, body=b"done"),
    AttemptResult.ERROR: Response(500),
    AttemptResult.REJECTED: Response(503, {protocol.DECLINED: "1"}),
}
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER, 0 s: closing resets the connection

OnRequest = Callable[[int, Request], bool]  # (node, request) -> whether notified of the last start
OnCallEnded = Callable[[int, Request], None]  # (node, request), after the response or with the connection


def bind_free_port() -> socket.socket:
    """Returns a TCP socket that is bound to a free port of the loopback address."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    return listener


class ServerPort:
    """The address at which one node reaches one server.

    While it is `partitioned`, it drops requests and responses.
    """

    def __init__(self, server: FakeServer, node: int, address: Address) -> None:
        self.node = node
        self.address = address
        self.partitioned = False
        self._server = server
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Accepts connections."""
        self._listener = await asyncio.start_server(self._serve, *self.address, reuse_address=True)

    def close(self) -> None:
        """Refuses new connections and resets the open ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = self._server.server
        self._writers.add(writer)
        generation = server.generation
        accepted = server.connect()
        requests = RequestReader()
        call: Call | None = None
        try:
            while data := await reader.read(READ_SIZE):
                requests.feed(data)
                while (request := requests.next()) is not None:
                    if not self.partitioned:
                        call = self._handle(request, writer, accepted) or call
        except (ConnectionError, MalformedMessageError):
            pass
        finally:
            if call is not None:
                server.cancel(call)  # its client has closed the connection
                self._server.call_ended(self, call)
            if accepted:
                server.disconnect(generation)
            self._writers.discard(writer)
            writer.close()

    def _handle(self, request: Request, writer: asyncio.StreamWriter, accepted: bool) -> Call | None:
        """Handles a request; returns its call, or None for a probe or over the connection limit."""
        if request.path != protocol.REQUEST_PATH:
            self._server.answer_probe(self, request, writer)
            return None
        if not accepted:
            self.send(writer, RESPONSES[AttemptResult.REJECTED])
            return None
        call = self._server.new_call(self, request, writer)
        self._server.server.receive(call)
        return call

    def send(self, writer: asyncio.StreamWriter, response: Response) -> None:
        """Writes a response unless the port is partitioned or the connection is closing."""
        if not self.partitioned and not writer.is_closing():
            writer.write(encode_response(response))

    def finish_call(self, writer: asyncio.StreamWriter, call: Call, result: AttemptResult) -> None:
        """Sends the response for a call's result, or resets the connection if there is none for it."""
        if self.partitioned:
            return
        self._server.call_ended(self, call)
        if result in RESPONSES:
            self.send(writer, RESPONSES[result])
        else:
            reset(writer)


def remaining_time(request: Request) -> float:
    """Returns the time (s) to the request's deadline, from its header."""
    return int(request.headers.get(protocol.DEADLINE_MS, "1000")) / 1000


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    with suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.close()


class FakeServer:
    """One server of a scenario, with a port for each node.

    `on_request` is called with each request that is no probe, `on_call_ended` as it is no longer in flight,
    and `on_probe` with the node of each probe.
    """

    def __init__(
        self,
        server: Server,
        clock: Clock,
        on_request: OnRequest,
        on_probe: Callable[[int], None],
        on_call_ended: OnCallEnded = lambda node, request: None,
    ) -> None:
        self.server = server
        self._clock = clock
        self._on_request, self._on_probe, self._on_call_ended = on_request, on_probe, on_call_ended
        self._calls: dict[Call, Request] = {}  # in flight
        self.ports: dict[int, ServerPort] = {}

    async def open_port(self, node: int) -> Address:
        """Listens for one node; returns the address, which stays the same after a restart."""
        listener = bind_free_port()
        address: Address = listener.getsockname()
        listener.close()
        port = self.ports[node] = ServerPort(self, node, address)
        await port.open()
        return address

    def stop(self) -> None:
        """Crashes the server."""
        self.server.stop()
        self.close()

    async def start(self) -> None:
        """Starts the server again, at the same addresses."""
        self.server.start()
        for port in self.ports.values():
            await port.open()

    def close_port(self, node: int) -> None:
        """Closes the port of a node that has stopped for good."""
        port = self.ports.pop(node, None)
        if port is not None:
            port.close()

    def close(self) -> None:
        """Closes all ports."""
        for port in self.ports.values():
            port.close()

    def new_call(self, port: ServerPort, request: Request, writer: asyncio.StreamWriter) -> Call:
        """Returns a request as a call of the emulator's model; its result goes to the writer."""
        headers = request.headers
        query = parse_qs(urlsplit(request.target).query)
        call = Call(
            attempt_id=(port.node, headers.get(protocol.REQUEST_ID, ""), 0),
            request_class=int(headers.get(protocol.REQUEST_CLASS, "p0")[1:]),
            work=float(query.get(WORK_PARAMETER, [str(DEFAULT_WORK_S)])[0]),
            deadline=self._clock.now + remaining_time(request),
            on_result=lambda result: port.finish_call(writer, call, result),
            deduplication_key=headers.get(protocol.IDEMPOTENCY_KEY),
            informed=self._on_request(port.node, request),
        )
        self._calls[call] = request
        return call

    def call_ended(self, port: ServerPort, call: Call) -> None:
        """Reports that a call is no longer in flight; only the first report of a call counts."""
        request = self._calls.pop(call, None)
        if request is not None:
            self._on_call_ended(port.node, request)

    def answer_probe(self, port: ServerPort, request: Request, writer: asyncio.StreamWriter) -> None:
        """Responds to a health check or a load poll after the model's time; a hung server never responds."""
        self._on_probe(port.node)
        seconds = self.server.probe_seconds()
        if seconds is None:
            return
        healthy = self.server.state is EndpointState.ACTIVE
        load = self.server.report()
        report = {wire_name: getattr(load, field) for field, wire_name in REPORTED_FIELDS.items()}
        body = json.dumps(report).encode() if request.path == protocol.LOAD_PATH else b""
        response = Response(200 if healthy else 503, body=body)
        self._clock.after(seconds, lambda: port.send(writer, response))
