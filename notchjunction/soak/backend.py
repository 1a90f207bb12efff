"""Backends on loopback that serve, and fail, as the run's faults tell them."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from random import Random

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.http1.messages import Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.soak.events import Attempt, ColdStart, Disposition, Journal

HOST = "127.0.0.1"
ABORT = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
CAPACITY_SPAN = 1.0  # s
BACKLOG = 256
STRAY_AFTER = 0.004  # s until a second answer follows the first; the protocol's spoilt answers
IDLE_MOMENTS = (0.0, 0.01, 0.03, 0.05)  # s after an answer at which a connection is closed without a word
SLOW_RESET_AFTER = 0.8  # s
DRIP_PIECES = 5  # of an answer that comes slowly
DRIP_PAUSE = 0.02  # s between them
LARGE_BODY = 200 * 1024  # bytes of a large answer, which a node passes on in pieces


class Trouble(Enum):
    """What may go wrong with an answer."""

    NONE = auto()
    ERROR = auto()  # 500
    DECLINED = auto()  # turned away before any work
    RESET_READ = auto()  # reset once the request was read: it ran
    RESET_MIDWAY = auto()  # reset within the answer
    HANG = auto()  # reads it and never answers
    GARBAGE = auto()  # bytes that are no answer
    TRUNCATED = auto()  # ended in the middle of an answer with a length
    UNTIL_CLOSE = auto()  # an answer with no length, whole
    UNTIL_RESET = auto()  # the same, reset on the way: a reset is no end
    STRAY = auto()  # a second answer follows
    DRIP = auto()  # comes in pieces with pauses
    LARGE = auto()
    CHUNKED = auto()
    CLOSING = auto()  # says Connection: close, and closes
    CLOSES_IDLE = auto()  # closes without a word a moment after its answer, as it is used again
    HALF_LINE = auto()  # the beginning of a further answer follows, and never goes on
    INTERIM = auto()  # interim answers come ahead
    LONG_RESET = auto()  # a large answer with no length, in pieces, reset on the way
    SLOW_RESET = auto()  # reset long after the request was read


# After which the client can't have a whole answer.
NOT_WHOLE = (
    Trouble.RESET_MIDWAY,
    Trouble.GARBAGE,
    Trouble.TRUNCATED,
    Trouble.UNTIL_RESET,
    Trouble.LONG_RESET,
    Trouble.SLOW_RESET,
)


@dataclass(slots=True)
class Behaviour:
    """How backends behave at the moment; shares from 0 to 1."""

    service_seconds: float = 0.03  # mean time of an answer
    trouble_share: float = 0.0  # of answers that have one of `troubles`
    troubles: tuple[Trouble, ...] = (Trouble.ERROR,)
    hangs: bool = False  # reads all and answers nothing
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
        self.started_at_ms = 0.0  # Unix time, as the list tells it
        self.active = True
        self.listed = True
        self.address: Address = (HOST, 0)
        self.journal = journal
        self.random = random
        self.request_of = request_of
        self.capacity = inf  # requests that it serves in CAPACITY_SPAN; it declines what comes past them
        self._served_at: deque[float] = deque()
        self._listener: asyncio.Server | None = None
        self.connections: set[BackendConnection] = set()

    async def open(self) -> None:
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
        self.journal.cold_starts.append(ColdStart(asyncio.get_running_loop().time(), self.name))
        if self._listener is None:
            await self.open()

    def serves_one_more(self, now: float) -> bool:
        """Whether it has room for a request that comes now (s), which is counted then."""
        while self._served_at and self._served_at[0] <= now - CAPACITY_SPAN:
            self._served_at.popleft()
        if len(self._served_at) >= self.capacity:
            return False
        self._served_at.append(now)
        return True

    @property
    def is_up(self) -> bool:
        return self._listener is not None

    def reset_connections(self, share: float) -> None:
        for connection in list(self.connections):
            if self.random.random() < share:
                connection.abort()

    def row(self, status: str) -> dict[str, object]:
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
        self._open_request: str | None = None  # read and not yet answered whole

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backend.connections.add(self)
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self._backend.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        now = asyncio.get_running_loop().time()
        if self._first_byte_at is None:
            self._first_byte_at = now
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self._requests.feed(data)
        try:
            while (request := self._requests.next()) is not None:
                self._came(request, now)
        except Malformed:
            self.abort()

    def abort(self) -> None:
        """Ends the connection with a reset."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._open_request is not None:
            self._backend.journal.cut_by_backend.add(self._open_request)
        with suppress(OSError):
            opened = self._transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
        self._transport.abort()

    def _came(self, request: Request, now: float) -> None:
        first_byte_at, self._first_byte_at = self._first_byte_at or now, None
        backend = self._backend
        if not request.path.startswith(protocol.REQUEST_PATH):
            if not backend.behaviour.hangs:
                self._write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                self._rest()
            return
        behaviour = backend.behaviour
        trouble = Trouble.NONE
        if behaviour.hangs:
            trouble = Trouble.HANG
        elif backend.random.random() < behaviour.trouble_share:
            trouble = backend.random.choice(behaviour.troubles)
        if trouble is not Trouble.DECLINED and not backend.serves_one_more(now):
            trouble = Trouble.DECLINED
        name = backend.request_of(request)
        told_seconds = int(request.headers.get(protocol.DEADLINE_MS, "0")) / 1000
        disposition = Disposition.DECLINED if trouble is Trouble.DECLINED else Disposition.EXECUTED
        backend.journal.attempts.append(
            Attempt(first_byte_at, now, backend.name, backend.zone, name, told_seconds, disposition)
        )
        self._open_request = name
        if trouble is Trouble.HANG:
            return
        if trouble is Trouble.RESET_READ:
            self.abort()
            return
        delay = min(backend.random.expovariate(1 / behaviour.service_seconds), 20 * behaviour.service_seconds)
        delay = 0.0 if trouble is Trouble.DECLINED else delay
        asyncio.get_running_loop().call_later(delay, self._answer, name, trouble)

    def _answer(self, name: str, trouble: Trouble) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        body = f"{name}@{self._backend.name}#{self._backend.random.randrange(1 << 30)}".encode()
        if trouble is Trouble.LARGE:
            body += b"." * LARGE_BODY
        wire = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        whole = trouble not in NOT_WHOLE
        if whole:
            self._backend.journal.answers_made.setdefault(name, set()).add(body)
        if whole and trouble is not Trouble.DRIP:
            self._open_request = None
        else:
            self._backend.journal.cut_by_backend.add(name)
        match trouble:
            case Trouble.ERROR:
                self._write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
            case Trouble.DECLINED:
                self._write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            case Trouble.RESET_MIDWAY:
                self._write(wire[: len(wire) - 5])
                asyncio.get_running_loop().call_later(STRAY_AFTER, self.abort)
            case Trouble.GARBAGE:
                self._write(b"\x00\x01 what is this?\r\n\r\n")
            case Trouble.TRUNCATED:
                self._write(wire[: len(wire) - 5])
                self._close()
            case Trouble.UNTIL_CLOSE:
                self._write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
                self._close()
            case Trouble.UNTIL_RESET:
                self._write(b"HTTP/1.1 200 OK\r\n\r\n" + body[: len(body) // 2])
                asyncio.get_running_loop().call_later(STRAY_AFTER, self.abort)
            case Trouble.STRAY:
                self._write(wire)
                stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
                asyncio.get_running_loop().call_later(STRAY_AFTER, self._write, stray)
            case Trouble.DRIP:
                self._drip(wire)
            case Trouble.CHUNKED:
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                self._write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
            case Trouble.CLOSES_IDLE:
                self._write(wire)
                moment = self._backend.random.choice(IDLE_MOMENTS)
                asyncio.get_running_loop().call_later(moment, self._close)
            case Trouble.HALF_LINE:
                self._write(wire)
                asyncio.get_running_loop().call_later(STRAY_AFTER, self._write, b"HTTP/1.1 2")
            case Trouble.INTERIM:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + wire)
            case Trouble.LONG_RESET:
                self._drip(b"HTTP/1.1 200 OK\r\n\r\n" + body + b"." * LARGE_BODY)
                asyncio.get_running_loop().call_later(DRIP_PAUSE * DRIP_PIECES, self.abort)
            case Trouble.SLOW_RESET:
                asyncio.get_running_loop().call_later(SLOW_RESET_AFTER, self.abort)
            case Trouble.CLOSING:
                self._write(wire.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
                self._close()
            case _:
                self._write(wire)
        self._rest()

    def _drip(self, wire: bytes) -> None:
        step = len(wire) // DRIP_PIECES + 1
        for index in range(DRIP_PIECES):
            piece = wire[index * step : (index + 1) * step]
            asyncio.get_running_loop().call_later(DRIP_PAUSE * index, self._write, piece)

    def _rest(self) -> None:
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
