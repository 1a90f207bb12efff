"""Backends on loopback that serve, and fail, as the run's faults set them."""

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
from notchjunction.http1.messages import Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.soak.events import Attempt, BackendStart, Disposition, Journal

HOST = "127.0.0.1"
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
CAPACITY_SPAN_S = 1.0  # in which a backend serves its capacity
BACKLOG = 256
STRAY_DELAY_S = 0.004  # until a second response follows the first, or a reset the part that was written
IDLE_CLOSE_DELAYS_S = (
    0.0,
    0.01,
    0.03,
    0.05,
)  # after a response; an idle connection is closed then
SLOW_RESET_DELAY_S = 0.8  # after the backend's service time
DRIP_CHUNKS = 5  # of a slow response
DRIP_PAUSE_S = 0.02  # between them
LARGE_BODY_SIZE = 200 * 1024  # bytes of a large response, which a node forwards in chunks


class Trouble(Enum):
    """What may go wrong with a response."""

    NONE = auto()
    ERROR = auto()  # 500
    DECLINED = auto()  # rejected before any work
    RESET_READ = auto()  # reset once the request was read: it ran
    RESET_MIDWAY = auto()  # reset within the response
    HANG = auto()  # reads it and never responds
    GARBAGE = auto()  # bytes that are no response
    TRUNCATED = auto()  # ended in the middle of a response with a length
    UNTIL_CLOSE = auto()  # a response with no length, whole
    UNTIL_RESET = auto()  # the same, reset midway: a reset is no end
    STRAY = auto()  # a second response follows
    DRIP = auto()  # comes in chunks with pauses
    LARGE = auto()
    CHUNKED = auto()
    CLOSING = auto()  # sends Connection: close, and closes
    CLOSES_IDLE = auto()  # closes an idle connection as it is about to be reused
    HALF_LINE = auto()  # the beginning of a further response follows, and no more
    INTERIM = auto()  # interim responses come first
    LONG_RESET = auto()  # a large response with no length, in chunks, reset midway
    SLOW_RESET = auto()  # reset long after the request was read


# After which the client can't have a whole response.
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
    """How backends behave now; shares from 0 to 1."""

    service_seconds: float = 0.03  # mean time of a response
    trouble_share: float = 0.0  # of responses that have one of `troubles`
    troubles: tuple[Trouble, ...] = (Trouble.ERROR,)
    hangs: bool = False  # reads all and responds to nothing
    idle_seconds: float = 30.0  # after which an idle connection is closed


class Backend:
    """One server that discovery lists; each start is a new life of it."""

    def __init__(
        self,
        name: str,
        zone: str,
        journal: Journal,
        random: Random,
        request_of: Callable[[Request], str] = lambda request: request.headers.get(protocol.REQUEST_ID, ""),
    ) -> None:
        self.name = name
        self.zone = zone
        self.behaviour = Behaviour()
        self.started_at_ms = 0.0  # Unix time, as in the list
        self.active = True
        self.listed = True
        self.address: Address = (HOST, 0)
        self.journal = journal
        self.random = random
        self.request_name_of = request_of
        self.capacity = inf  # requests served in CAPACITY_SPAN_S; the rest are rejected
        self._served_at: deque[float] = deque()
        self._listener: asyncio.Server | None = None
        self.connections: set[BackendConnection] = set()

    async def open(self) -> None:
        """Listens, at the same address as before."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: BackendConnection(self), *self.address, backlog=BACKLOG, reuse_address=True
        )
        self.address = self._listener.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """Refuses new connections and resets those there are."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()

    async def restart(self, unix_now: float) -> None:
        """Comes back cold, at the same address."""
        self.started_at_ms = unix_now * 1000
        self.journal.backend_starts.append(BackendStart(asyncio.get_running_loop().time(), self.name))
        if self._listener is None:
            await self.open()

    def admit(self, now: float) -> bool:
        """Whether there is capacity for a request at `now` (s), which is counted then."""
        while self._served_at and self._served_at[0] <= now - CAPACITY_SPAN_S:
            self._served_at.popleft()
        if len(self._served_at) >= self.capacity:
            return False
        self._served_at.append(now)
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
        """Its entry in discovery's list."""
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
    """One connection of a node; requests on it are served one after another."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._requests = RequestReader(body_most=1 << 26)
        self._first_byte_at: float | None = None
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._open_request: str | None = None  # read, without a whole response yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, which is idle at first."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backend.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._backend.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses requests and serves them; aborts on malformed ones."""
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
        except Malformed:
            self.abort()

    def abort(self) -> None:
        """Ends the connection with a reset."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._open_request is not None:
            self._backend.journal.truncated_by_backend.add(self._open_request)
        with suppress(OSError):
            opened = self._transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
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
        name = backend.request_name_of(request)
        time_left = int(request.headers.get(protocol.DEADLINE_MS, "0")) / 1000
        disposition = Disposition.DECLINED if trouble is Trouble.DECLINED else Disposition.EXECUTED
        backend.journal.attempts.append(
            Attempt(first_byte_at, now, backend.name, backend.zone, name, time_left, disposition)
        )
        self._open_request = name
        if trouble is Trouble.HANG:
            return
        if trouble is Trouble.RESET_READ:
            self.abort()
            return
        mean = backend.behaviour.service_seconds
        delay = min(backend.random.expovariate(1 / mean), 20 * mean)
        delay = 0.0 if trouble is Trouble.DECLINED else delay
        asyncio.get_running_loop().call_later(delay, self._respond, name, trouble)

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

    def _respond(self, name: str, trouble: Trouble) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        body = f"{name}@{self._backend.name}#{self._backend.random.randrange(1 << 30)}".encode()
        if trouble is Trouble.LARGE:
            body += b"." * LARGE_BODY_SIZE
        wire = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        whole = trouble not in INCOMPLETE
        if whole:
            self._backend.journal.response_bodies.setdefault(name, set()).add(body)
        if whole and trouble is not Trouble.DRIP:
            self._open_request = None
        else:
            self._backend.journal.truncated_by_backend.add(name)
        RESPONDERS.get(trouble, BackendConnection._send_whole)(self, wire, body)
        self._restart_idle_timer()

    def _send_whole(self, wire: bytes, _: bytes) -> None:
        self._write(wire)

    def _send_error(self, _: bytes, __: bytes) -> None:
        self._write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")

    def _decline(self, _: bytes, __: bytes) -> None:
        self._write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")

    def _reset_midway(self, wire: bytes, _: bytes) -> None:
        self._write(wire[: len(wire) - 5])
        self._later(STRAY_DELAY_S, self.abort)

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
        self._later(STRAY_DELAY_S, self.abort)

    def _send_stray(self, wire: bytes, _: bytes) -> None:
        self._write(wire)
        self._later(STRAY_DELAY_S, self._write, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

    def _send_slowly(self, wire: bytes, _: bytes) -> None:
        self._drip(wire)

    def _send_chunked(self, _: bytes, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self._write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))

    def _close_idle(self, wire: bytes, _: bytes) -> None:
        self._write(wire)
        self._later(self._backend.random.choice(IDLE_CLOSE_DELAYS_S), self._close)

    def _send_half_line(self, wire: bytes, _: bytes) -> None:
        self._write(wire)
        self._later(STRAY_DELAY_S, self._write, b"HTTP/1.1 2")

    def _send_interim(self, wire: bytes, _: bytes) -> None:
        self._write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + wire)

    def _reset_long(self, _: bytes, body: bytes) -> None:
        self._drip(b"HTTP/1.1 200 OK\r\n\r\n" + body + b"." * LARGE_BODY_SIZE)
        self._later(DRIP_PAUSE_S * DRIP_CHUNKS, self.abort)

    def _reset_slowly(self, _: bytes, __: bytes) -> None:
        self._later(SLOW_RESET_DELAY_S, self.abort)

    def _send_closing(self, wire: bytes, _: bytes) -> None:
        self._write(wire.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        self._close()

    def _later(self, delay: float, call: Callable[..., None], *arguments: bytes) -> None:
        asyncio.get_running_loop().call_later(delay, call, *arguments)

    def _drip(self, wire: bytes) -> None:
        step = len(wire) // DRIP_CHUNKS + 1
        for index in range(DRIP_CHUNKS):
            self._later(DRIP_PAUSE_S * index, self._write, wire[index * step : (index + 1) * step])

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


# What a connection sends for a trouble, of the whole response and its body; others send the whole response.
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
}
