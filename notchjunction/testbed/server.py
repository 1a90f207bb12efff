"""A server behind sockets: the emulator's model, with a door for each node, so that it is known who asks."""

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
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.http1.parser import RequestReader

HOST = "127.0.0.1"
WORK = "work"  # in the query: s of work of the job, on a server of speed 1
WORK_LEAST = 0.001  # s, where a request does not say
REPORTED = {
    held: word for word, held in LOAD_REPORT_FIELDS.items() if held in ("in_flight", "queued", "utilization")
}
ANSWERS = {
    AttemptResult.SUCCEEDED: Answer(200, body=b"done"),
    AttemptResult.ERROR: Answer(500),
    AttemptResult.REJECTED: Answer(503, {protocol.DECLINED: "1"}),
}
HARD_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset

Came = Callable[[int, Request], bool]  # a node, and what came from it; whether it knows of the last start
Landed = Callable[[int, Request], None]  # the same request, as it is answered or its connection ends


def free_listener() -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    return listener


class Door:
    """Where one node finds one server."""

    def __init__(self, standin: ServerStandIn, node: int, address: Address) -> None:
        self.node = node
        self.address = address
        self.silent = False  # cut off: what comes is not heard, what is said does not arrive
        self._standin = standin
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._listening = await asyncio.start_server(self._serve, *self.address, reuse_address=True)

    def shut(self) -> None:
        """Refuses new connections and resets those there are."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = self._standin.server
        self._writers.add(writer)
        life = server.life
        held = server.connect()
        requests = RequestReader()
        call: Call | None = None
        try:
            while piece := await reader.read(65536):
                requests.feed(piece)
                while (request := requests.next()) is not None:
                    if self.silent:
                        continue
                    if request.path == protocol.REQUEST_PATH:
                        if not held:
                            self.say(writer, ANSWERS[AttemptResult.REJECTED])
                            continue
                        call = self._standin.call(self, request, writer)
                        server.reach(call)
                    else:
                        self._standin.probe(self, request, writer)
        except (ConnectionError, Malformed):
            pass
        finally:
            if call is not None:
                server.drop(call)  # whoever closes waits no more
                self._standin.land(self, call)
            if held:
                server.disconnect(life)
            self._writers.discard(writer)
            writer.close()

    def say(self, writer: asyncio.StreamWriter, answer: Answer) -> None:
        if not self.silent and not writer.is_closing():
            writer.write(encode_answer(answer))

    def end(self, writer: asyncio.StreamWriter, call: Call, result: AttemptResult) -> None:
        """How a call ended, as its node sees it."""
        if self.silent:
            return
        self._standin.land(self, call)
        if result in ANSWERS:
            self.say(writer, ANSWERS[result])
        else:
            reset(writer)


def time_left(request: Request) -> float:
    """Seconds that its sender waits."""
    return int(request.headers.get(protocol.DEADLINE_MS, "1000")) / 1000


def reset(writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, HARD_CLOSE)
    writer.close()


class ServerStandIn:
    """One server of a scenario.

    `came` hears of each request for a job, `landed` of the same as it is out no more, `probed` of the node of
    each probe.
    """

    def __init__(
        self,
        server: Server,
        clock: Clock,
        came: Came,
        probed: Callable[[int], None],
        landed: Landed = lambda node, request: None,
    ) -> None:
        self.server = server
        self._clock = clock
        self._came, self._probed, self._landed = came, probed, landed
        self._out: dict[Call, Request] = {}
        self.doors: dict[int, Door] = {}

    async def open_to(self, node: int) -> Address:
        # The port stays this door's while the server is down: a restarted one is at the same address.
        place = free_listener()
        address: Address = place.getsockname()
        place.close()
        door = self.doors[node] = Door(self, node, address)
        await door.open()
        return address

    def stop(self) -> None:
        self.server.stop()
        for door in self.doors.values():
            door.shut()

    async def start(self) -> None:
        self.server.start()
        for door in self.doors.values():
            await door.open()

    def shut(self, node: int) -> None:
        """That node has gone for good."""
        door = self.doors.pop(node, None)
        if door is not None:
            door.shut()

    def close(self) -> None:
        for door in self.doors.values():
            door.shut()

    def call(self, door: Door, request: Request, writer: asyncio.StreamWriter) -> Call:
        headers = request.headers
        query = parse_qs(urlsplit(request.target).query)
        call = Call(
            name=(door.node, headers.get(protocol.REQUEST_ID, ""), 0),
            profile=int(headers.get(protocol.REQUEST_CLASS, "p0")[1:]),
            seconds=float(query.get(WORK, [str(WORK_LEAST)])[0]),
            until=self._clock.now + time_left(request),
            answer=lambda result: door.end(writer, call, result),
            number=headers.get(protocol.IDEMPOTENCY_KEY),
            knowing=self._came(door.node, request),
        )
        self._out[call] = request
        return call

    def land(self, door: Door, call: Call) -> None:
        """It is out no more; only the first word of it counts."""
        request = self._out.pop(call, None)
        if request is not None:
            self._landed(door.node, request)

    def probe(self, door: Door, request: Request, writer: asyncio.StreamWriter) -> None:
        self._probed(door.node)
        seconds = self.server.probe_seconds()
        if seconds is None:
            return  # it hangs
        sound = self.server.presence is EndpointState.ACTIVE
        load = self.server.report()
        report = {word: getattr(load, held) for held, word in REPORTED.items()}
        body = json.dumps(report).encode() if request.path == protocol.LOAD_PATH else b""
        answer = Answer(200 if sound else 503, body=body)
        self._clock.after(seconds, lambda: door.say(writer, answer))
