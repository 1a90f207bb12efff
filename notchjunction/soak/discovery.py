"""Discovery on loopback: one queue of calls that cost by their lines, watches, and ways to fail."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qs, urlsplit

from notchjunction.addresses import Address
from notchjunction.http1.messages import Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.soak.backend import HOST, Backend
from notchjunction.soak.events import Journal, Notified, Published, Reachable

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
DRIP_PIECES = 4  # of an answer that comes slowly
DRIP_PAUSE = 0.05  # s between them
WATCH_GOES_ON = 0.2  # s after an answer within which the next call is no new one; the protocol's


@dataclass(slots=True)
class Manner:
    """How discovery answers at the moment."""

    call_lines: float = 40.0  # lines that a call costs besides those of its answer
    lines_per_second: float = 20000.0
    queue_seconds: float = 1.0  # that a call may wait; then it is refused, and has cost as much as any
    whole_share: float = 0.0  # of answers that are the whole list, whatever was asked
    indented: bool = False
    drip_share: float = 0.0  # of answers that come in slow pieces
    reset_share: float = 0.0  # of answers that end with a reset instead


@dataclass(slots=True, eq=False)
class Watch:
    """A call that waits for something newer."""

    door: Door
    version: int
    answer: Callable[[bool], None]
    timer: asyncio.TimerHandle | None = None


class DiscoveryService:
    """The list of backends, its versions, and the one queue of calls."""

    def __init__(self, journal: Journal, random: Random) -> None:
        self.manner = Manner()
        self.up = True
        self._journal = journal
        self._random = random
        self._backends: dict[str, Backend] = {}
        self._statuses: dict[str, str] = {}
        self._changed_at: dict[str, int] = {}  # by backend, the version of its last change
        self._version = 0
        self._free_at = 0.0
        self.doors: dict[str, Door] = {}
        self.calls = 0
        self.refused = 0

    @property
    def version(self) -> int:
        return self._version

    def list_backends(self, backends: Iterable[Backend]) -> None:
        """The list at the beginning, which nobody needs to be told of."""
        for backend in backends:
            self._backends[backend.name] = backend
            self._statuses[backend.name] = ACTIVE
            self._changed_at[backend.name] = 0

    async def door(self, node: str) -> Door:
        """Where one node finds discovery."""
        door = Door(self, node)
        await door.open()
        self.doors[node] = door
        self._note_reachable(node)
        return door

    async def move_door(self, node: str) -> Door:
        """From now on this node finds discovery at another place; the old one answers no more."""
        old = self.doors.get(node)
        door = await self.door(node)
        if old is not None:
            old.close()
        return door

    def change(self, changes: Iterable[tuple[Backend, str]]) -> None:
        """Changes to the list, in one version; watches hear of them."""
        self._version += 1
        now = asyncio.get_running_loop().time()
        for backend, status in changes:
            self._backends[backend.name] = backend
            self._statuses[backend.name] = status
            self._changed_at[backend.name] = self._version
            self._journal.published.append(Published(now, backend.name, status == ACTIVE))
        for door in self.doors.values():
            door.news()

    def go_down(self) -> None:
        self.up = False
        for door in self.doors.values():
            door.reset()
            self._note_reachable(door.node)

    def come_back(self) -> None:
        self.up = True
        for door in self.doors.values():
            self._note_reachable(door.node)

    def fall_silent(self) -> None:
        """All watches that are open are never answered."""
        for door in self.doors.values():
            door.silence()

    def reset_watches(self) -> None:
        for door in self.doors.values():
            door.reset()

    def listing(self, after: int | None) -> dict[str, object]:
        """What a call is answered with: the changes after a version, or the whole list."""
        whole = after is None or self._random.random() < self.manner.whole_share
        rows = []
        for name, backend in self._backends.items():
            status = self._statuses[name]
            if (whole and status != LEFT) or (
                not whole and after is not None and self._changed_at[name] > after
            ):
                rows.append(backend.row(status))
        return {"index": self._version, "snapshot": whole, "endpoints": rows}

    def work(self, lines: int) -> float | None:
        """s until a new call with so many lines has been worked through; None where it is refused then."""
        now = asyncio.get_running_loop().time()
        begins = max(now, self._free_at)
        self.calls += 1
        self._free_at = begins + (self.manner.call_lines + lines) / self.manner.lines_per_second
        if begins - now > self.manner.queue_seconds:
            self.refused += 1
            return None
        return self._free_at - now

    def written(self, node: str, listing: dict[str, object]) -> None:
        """An answer has been written to a node: it has been told of all in it."""
        now = asyncio.get_running_loop().time()
        rows = listing["endpoints"]
        assert isinstance(rows, list)
        named = set()
        for row in rows:
            named.add(row["name"])
            self._journal.notified.append(Notified(now, node, row["name"], row["status"] == ACTIVE))
        if listing["snapshot"]:
            for name in self._backends.keys() - named:
                self._journal.notified.append(Notified(now, node, name, False))

    def spoilt(self) -> tuple[bool, bool]:
        """Whether an answer drips, and whether it ends with a reset."""
        draw = self._random.random
        return draw() < self.manner.drip_share, draw() < self.manner.reset_share

    def _note_reachable(self, node: str) -> None:
        now = asyncio.get_running_loop().time()
        self._journal.reachable.append(Reachable(now, node, self.up))

    def close(self) -> None:
        for door in self.doors.values():
            door.close()


class Door:
    """One node's way to discovery."""

    def __init__(self, service: DiscoveryService, node: str) -> None:
        self.node = node
        self._service = service
        self.address: Address = (HOST, 0)
        self._listener: asyncio.Server | None = None
        self._connections: set[DoorConnection] = set()
        self._watches: set[Watch] = set()
        self.answered_at = float("-inf")

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: DoorConnection(self), HOST, 0)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        self.reset()

    def reset(self) -> None:
        self._watches.clear()
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        for watch in self._watches:
            if watch.timer is not None:
                watch.timer.cancel()
        self._watches.clear()

    def news(self) -> None:
        for watch in list(self._watches):
            self._end(watch)

    def _end(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.discard(watch)
            if watch.timer is not None:
                watch.timer.cancel()
            watch.answer(True)

    def call(self, after: int | None, wait: float, answer: Callable[[bool], None]) -> None:
        """Answers a call through `answer`: true, with the list as it is then; false where it is refused."""
        service = self._service
        loop = asyncio.get_running_loop()
        if not service.up:
            answer(False)
            return
        goes_on = after is not None and loop.time() - self.answered_at <= WATCH_GOES_ON
        if goes_on:
            self._hold(after or 0, wait, answer)
            return
        lines = len(service.listing(after)["endpoints"])  # type: ignore[arg-type]
        seconds = service.work(lines)
        if seconds is None:
            loop.call_later(service.manner.queue_seconds, answer, False)
        elif after is None:
            loop.call_later(seconds, answer, True)
        else:
            loop.call_later(seconds, self._hold, after, max(0.0, wait - seconds), answer)

    def _hold(self, after: int, wait: float, answer: Callable[[bool], None]) -> None:
        if not self._service.up:
            answer(False)
        elif self._service.version > after or wait <= 0:
            answer(True)
        else:
            watch = Watch(self, after, answer)
            watch.timer = asyncio.get_running_loop().call_later(wait, self._end, watch)
            self._watches.add(watch)

    @property
    def service(self) -> DiscoveryService:
        return self._service

    @property
    def connections(self) -> set[DoorConnection]:
        return self._connections


class DoorConnection(asyncio.Protocol):
    """One connection of a node to discovery."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self._requests = RequestReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._door.connections.add(self)
        if not self._door.service.up:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._door.connections.discard(self)
        self._transport = None

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._requests.feed(data)
        try:
            while (request := self._requests.next()) is not None:
                self._ask(request)
        except Malformed:
            self.abort()

    def _ask(self, request: Request) -> None:
        query = parse_qs(urlsplit(request.target).query)
        after = int(query["after"][0]) if "after" in query else None
        wait = int(query.get("wait_ms", ["0"])[0]) / 1000
        self._door.call(after, wait, lambda accepted: self._answer(accepted, after))

    def _answer(self, accepted: bool, after: int | None) -> None:
        transport, service = self._transport, self._door.service
        if transport is None or transport.is_closing():
            return
        self._door.answered_at = asyncio.get_running_loop().time()
        if not accepted:
            transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        listing = service.listing(after)
        body = json.dumps(listing, indent=2 if service.manner.indented else None).encode()
        wire = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        drips, resets = service.spoilt()
        loop = asyncio.get_running_loop()
        if resets:
            transport.write(wire[: len(wire) // 2])
            loop.call_later(0.01, self.abort)
        elif drips:
            step = len(wire) // 4 + 1
            for index in range(4):
                last = index == 3
                loop.call_later(
                    0.05 * index,
                    self._piece,
                    wire[index * step : (index + 1) * step],
                    listing if last else None,
                )
        else:
            self._piece(wire, listing)

    def _piece(self, piece: bytes, listing: dict[str, object] | None) -> None:
        """Writes a part of an answer; with the last one comes the list that the node has been told then."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(piece)
        if listing is not None:
            self._door.service.written(self._door.node, listing)
            self._door.answered_at = asyncio.get_running_loop().time()
