"""Backends on loopback that serve requests and fail as the run's faults demand."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from random import Random

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.http1.messages import MalformedMessageError, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.soak.events import Attempt, BackendStart, CutResponse, Disposition, Journal

HOST = "127.0.0.1"
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset
CAPACITY_SPAN_S = 1.0  # over which the capacity of a backend is counted
BACKLOG = 256  # connections
STRAY_DELAY_S = 0.004  # between a response and unsolicited bytes or a reset
IDLE_CLOSE_DELAYS_S = (0.0, 0.01, 0.03, 0.05)  # between a response and the close of the connection
SLOW_RESET_DELAY_S = 0.8  # after the backend's service time
DRIP_CHUNKS = 5  # of a slow response
DRIP_PAUSE_S = 0.02  # between the chunks of a slow response
LUMPS = 4  # of a long response with pauses
MIN_LUMP_PAUSE_S, MAX_LUMP_PAUSE_S = 0.2, 0.8  # between the lumps
LARGE_BODY_SIZE = 200 * 1024  # bytes; large enough that a node forwards the response in chunks
# Loopback holds megabytes of a body in its buffers; with these sizes it holds as little as a network.
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 8 * 1024
READ_AT_ONCE_BYTES = 20_000  # of a body, before a backend reads slowly
READ_PAUSE_S = 0.1  # between two reads of a backend that reads slowly


class Trouble(Enum):
    """A fault or an unusual form of a response."""

    NONE = auto()
    ERROR = auto()  # status 500
    DECLINED = auto()  # rejected before any work
    RESET_READ = auto()  # the connection is reset once the request is read, which counts as executed
    RESET_MIDWAY = auto()  # the connection is reset within the response
    HANG = auto()  # the request is read and never gets a response
    GARBAGE = auto()  # bytes that are not HTTP
    TRUNCATED = auto()  # the connection is closed within a response that has a length
    UNTIL_CLOSE = auto()  # a complete response without a length, which the close ends
    UNTIL_RESET = auto()  # a response without a length, reset midway; a reset doesn't end it validly
    STRAY = auto()  # an unsolicited second response follows
    DRIP = auto()  # the response comes in chunks with pauses
    LARGE = auto()  # a large body
    CHUNKED = auto()  # chunked transfer coding
    CLOSING = auto()  # the response has Connection: close, and the connection is closed
    CLOSES_IDLE = auto()  # the connection is closed soon after, about when the node reuses it
    HALF_LINE = auto()  # an incomplete status line follows
    INTERIM = auto()  # interim responses come first
    LONG_RESET = auto()  # a large response without a length, in chunks, reset midway
    SLOW_RESET = auto()  # the connection is reset long after the request was read
    LUMPS = auto()  # a large body that comes in lumps with long pauses
    LATE_BODY = auto()  # a large body without a length that comes long after its head


class ReadingPace(Enum):
    """How a backend reads a long request."""

    FULL = auto()
    SLOW = auto()  # about 100 kB a second
    STOPPED = auto()


# Troubles with which a client can't get a complete response.
INCOMPLETE = (
    Trouble.RESET_MIDWAY,
    Trouble.GARBAGE,
    Trouble.TRUNCATED,
    Trouble.UNTIL_RESET,
    Trouble.LONG_RESET,
    Trouble.SLOW_RESET,
)


@dataclass(slots=True)
class Behaviour:
    """The current behaviour of a backend."""

    service_seconds: float = 0.03  # mean time until the response
    trouble_share: float = 0.0  # share of requests that get one of `troubles`, from 0 to 1
    troubles: tuple[Trouble, ...] = (Trouble.ERROR,)
    hangs: bool = False  # reads requests and responds to none
    reading: ReadingPace = ReadingPace.FULL
    idle_seconds: float = 30.0  # after which an idle connection is closed


class Backend:
    """A backend in discovery's list; its address stays the same over restarts."""

    def __init__(
        self,
        name: str,
        zone: str,
        journal: Journal,
        random: Random,
        id_of: Callable[[Request], str] = lambda request: request.headers.get(protocol.REQUEST_ID, ""),
    ) -> None:
        """Prepares a backend that doesn't listen yet.

        Args:
            name: in discovery's list.
            zone: in discovery's list.
            journal: records attempts, starts and response bodies.
            random: draws service times and troubles.
            id_of: returns the id of a request.
        """
        self.name = name
        self.zone = zone
        self.behaviour = Behaviour()
        self.started_at_ms = 0.0  # Unix time in milliseconds, as in discovery's list
        self.active = True
        self.listed = True  # as active
        self.address: Address = (HOST, 0)
        self.journal = journal
        self.random = random
        self.id_of = id_of
        self.holds_little = False  # its connections hold as few bytes as those of a network
        self.capacity = inf  # requests per CAPACITY_SPAN_S; further ones are declined
        self._admitted_at: deque[float] = deque()
        self._listener: asyncio.Server | None = None
        self.connections: set[BackendConnection] = set()

    async def open(self) -> None:
        """Listens at a free port, or at the address used before."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.holds_little:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(self.address)
        self._listener = await loop.create_server(lambda: BackendConnection(self), sock=sock, backlog=BACKLOG)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """Stops listening and resets all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()

    async def restart(self, unix_now: float) -> None:
        """Starts again at the same address, with a slow start from `unix_now` (Unix time in seconds)."""
        self.started_at_ms = unix_now * 1000
        self.journal.backend_starts.append(BackendStart(asyncio.get_running_loop().time(), self.name))
        if self._listener is None:
            await self.open()

    def admit(self, now: float) -> bool:
        """Counts a request at `now` (s) and returns True, or returns False if the capacity is used up."""
        while self._admitted_at and self._admitted_at[0] <= now - CAPACITY_SPAN_S:
            self._admitted_at.popleft()
        if len(self._admitted_at) >= self.capacity:
            return False
        self._admitted_at.append(now)
        return True

    @property
    def is_up(self) -> bool:
        """Whether the backend listens."""
        return self._listener is not None

    def reset_connections(self, share: float) -> None:
        """Resets a random share of the connections."""
        for connection in list(self.connections):
            if self.random.random() < share:
                connection.abort()

    def list_entry(self, status: str) -> dict[str, object]:
        """Returns the backend's entry in discovery's list, with this status."""
        return {
            "name": self.name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "type": "m",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": self.started_at_ms,
        }


class BackendConnection(asyncio.Protocol):
    """A node's connection to a backend."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._requests = RequestReader(max_buffered_body=1 << 26)
        self._first_byte_at: float | None = None
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._pending_request: str | None = None  # id of a request without a complete response yet
        self._long_response_at: float | None = None  # when the head of a response in lumps was sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backend.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection."""
        self._backend.connections.discard(self)
        if self._long_response_at is not None and self._pending_request is not None:
            self._backend.journal.cut_responses.append(
                CutResponse(asyncio.get_running_loop().time(), self._long_response_at, self._pending_request)
            )
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses and serves requests; resets the connection on a malformed one."""
        now = asyncio.get_running_loop().time()
        if self._first_byte_at is None:
            self._first_byte_at = now
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self._requests.feed(data)
        try:
            while (request := self._requests.next()) is not None:
                self._on_request(request, now)
        except MalformedMessageError:
            self.abort()
        if self._is_held_back():
            assert self._transport is not None
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(READ_PAUSE_S, self._continue_reading)

    def _is_held_back(self) -> bool:
        """Whether the request that is being read is so long that the backend reads it at its pace."""
        is_long = self._requests.in_body and self._requests.body_received >= READ_AT_ONCE_BYTES
        return is_long and self._backend.behaviour.reading is not ReadingPace.FULL

    def _continue_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._backend.behaviour.reading is ReadingPace.STOPPED:
            asyncio.get_running_loop().call_later(READ_PAUSE_S, self._continue_reading)
        else:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._pending_request is not None:
            self._backend.journal.truncated_by_backend.add(self._pending_request)
        self._long_response_at = None
        with suppress(OSError):
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._transport.abort()

    def _on_request(self, request: Request, now: float) -> None:
        first_byte_at, self._first_byte_at = self._first_byte_at or now, None
        backend = self._backend
        if not request.path.startswith(protocol.REQUEST_PATH):
            if not backend.behaviour.hangs:
                self._write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                self._restart_idle_timer()
            return
        trouble = self._draw_trouble(now)
        request_id = backend.id_of(request)
        time_left = int(request.headers.get(protocol.DEADLINE_MS, "0")) / 1000
        disposition = Disposition.DECLINED if trouble is Trouble.DECLINED else Disposition.EXECUTED
        backend.journal.attempts.append(
            Attempt(first_byte_at, now, backend.name, backend.zone, request_id, time_left, disposition)
        )
        self._pending_request = request_id
        if trouble is Trouble.HANG:
            return
        if trouble is Trouble.RESET_READ:
            self.abort()
            return
        mean = backend.behaviour.service_seconds
        delay = min(backend.random.expovariate(1 / mean), 20 * mean)
        delay = 0.0 if trouble is Trouble.DECLINED else delay
        asyncio.get_running_loop().call_later(delay, self._respond, request_id, trouble)

    def _draw_trouble(self, now: float) -> Trouble:
        backend, behaviour = self._backend, self._backend.behaviour
        trouble = Trouble.NONE
        if behaviour.hangs:
            trouble = Trouble.HANG
        elif backend.random.random() < behaviour.trouble_share:
            trouble = backend.random.choice(behaviour.troubles)
        if trouble is not Trouble.DECLINED and not backend.admit(now):
            trouble = Trouble.DECLINED
        return trouble

    def _respond(self, request_id: str, trouble: Trouble) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        body = f"{request_id}@{self._backend.name}#{self._backend.random.randrange(1 << 30)}".encode()
        if trouble in (Trouble.LARGE, Trouble.LUMPS, Trouble.LATE_BODY):
            body += b"." * LARGE_BODY_SIZE
        wire = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        complete = trouble not in INCOMPLETE
        if complete:
            self._backend.journal.response_bodies.setdefault(request_id, set()).add(body)
        if trouble in (Trouble.LUMPS, Trouble.LATE_BODY):
            self._backend.journal.long_responses.add(request_id)
        elif complete and trouble is not Trouble.DRIP:
            self._pending_request = None
        else:
            self._backend.journal.truncated_by_backend.add(request_id)
        RESPONDERS.get(trouble, BackendConnection._send_complete)(self, wire, body)
        if self._long_response_at is None:
            self._restart_idle_timer()

    def _send_complete(self, wire: bytes, _: bytes) -> None:
        self._write(wire)

    def _send_error(self, _: bytes, __: bytes) -> None:
        self._write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")

    def _decline(self, _: bytes, __: bytes) -> None:
        self._write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")

    def _reset_midway(self, wire: bytes, _: bytes) -> None:
        self._write(wire[: len(wire) - 5])
        self._call_later(STRAY_DELAY_S, self.abort)

    def _send_garbage(self, _: bytes, __: bytes) -> None:
        self._write(b"\x00\x01 what is this?\r\n\r\n")

    def _truncate(self, wire: bytes, _: bytes) -> None:
        self._write(wire[: len(wire) - 5])
        self._close()

    def _send_until_close(self, _: bytes, body: bytes) -> None:
        self._write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        self._close()

    def _send_until_reset(self, _: bytes, body: bytes) -> None:
        self._write(b"HTTP/1.1 200 OK\r\n\r\n" + body[: len(body) // 2])
        self._call_later(STRAY_DELAY_S, self.abort)

    def _send_stray(self, wire: bytes, _: bytes) -> None:
        self._write(wire)
        self._call_later(STRAY_DELAY_S, self._write, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

    def _send_slowly(self, wire: bytes, _: bytes) -> None:
        self._drip(wire)

    def _send_chunked(self, _: bytes, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self._write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))

    def _close_idle(self, wire: bytes, _: bytes) -> None:
        self._write(wire)
        self._call_later(self._backend.random.choice(IDLE_CLOSE_DELAYS_S), self._close)

    def _send_half_line(self, wire: bytes, _: bytes) -> None:
        self._write(wire)
        self._call_later(STRAY_DELAY_S, self._write, b"HTTP/1.1 2")

    def _send_interim(self, wire: bytes, _: bytes) -> None:
        self._write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + wire)

    def _reset_long(self, _: bytes, body: bytes) -> None:
        self._drip(b"HTTP/1.1 200 OK\r\n\r\n" + body + b"." * LARGE_BODY_SIZE)
        self._call_later(DRIP_PAUSE_S * DRIP_CHUNKS, self.abort)

    def _reset_slowly(self, _: bytes, __: bytes) -> None:
        self._call_later(SLOW_RESET_DELAY_S, self.abort)

    def _send_lumps(self, wire: bytes, _: bytes) -> None:
        self._long_response_at = asyncio.get_running_loop().time()
        step = len(wire) // LUMPS + 1
        delay = 0.0
        for at in range(0, len(wire) - step, step):
            self._call_later(delay, self._write, wire[at : at + step])
            delay += self._backend.random.uniform(MIN_LUMP_PAUSE_S, MAX_LUMP_PAUSE_S)
        self._call_later(delay, self._send_last_lump, wire[step * (LUMPS - 1) :])

    def _send_late_body(self, _: bytes, body: bytes) -> None:
        self._long_response_at = asyncio.get_running_loop().time()
        self._write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        delay = self._backend.random.uniform(MIN_LUMP_PAUSE_S, MAX_LUMP_PAUSE_S)
        self._call_later(delay, self._send_last_lump, b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))

    def _send_last_lump(self, lump: bytes) -> None:
        self._long_response_at = self._pending_request = None
        self._write(lump)
        self._restart_idle_timer()

    def _send_closing(self, wire: bytes, _: bytes) -> None:
        self._write(wire.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        self._close()

    def _call_later(self, delay: float, callback: Callable[..., None], *arguments: bytes) -> None:
        asyncio.get_running_loop().call_later(delay, callback, *arguments)

    def _drip(self, wire: bytes) -> None:
        step = len(wire) // DRIP_CHUNKS + 1
        for index in range(DRIP_CHUNKS):
            self._call_later(DRIP_PAUSE_S * index, self._write, wire[index * step : (index + 1) * step])

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(self._backend.behaviour.idle_seconds, self._close)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


# What a connection sends for each trouble, given the complete response and its body; troubles that aren't
# listed send the complete response.
RESPONDERS: Mapping[Trouble, Callable[[BackendConnection, bytes, bytes], None]] = {
    Trouble.ERROR: BackendConnection._send_error,
    Trouble.DECLINED: BackendConnection._decline,
    Trouble.RESET_MIDWAY: BackendConnection._reset_midway,
    Trouble.GARBAGE: BackendConnection._send_garbage,
    Trouble.TRUNCATED: BackendConnection._truncate,
    Trouble.UNTIL_CLOSE: BackendConnection._send_until_close,
    Trouble.UNTIL_RESET: BackendConnection._send_until_reset,
    Trouble.STRAY: BackendConnection._send_stray,
    Trouble.DRIP: BackendConnection._send_slowly,
    Trouble.CHUNKED: BackendConnection._send_chunked,
    Trouble.CLOSES_IDLE: BackendConnection._close_idle,
    Trouble.HALF_LINE: BackendConnection._send_half_line,
    Trouble.INTERIM: BackendConnection._send_interim,
    Trouble.LONG_RESET: BackendConnection._reset_long,
    Trouble.SLOW_RESET: BackendConnection._reset_slowly,
    Trouble.CLOSING: BackendConnection._send_closing,
    Trouble.LUMPS: BackendConnection._send_lumps,
    Trouble.LATE_BODY: BackendConnection._send_late_body,
}
