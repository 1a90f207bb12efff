"""A fake discovery on loopback: one queue of calls, long polls, and faults.

A call takes time in the queue according to the lines of its response. A watch is a long poll, which gets its
response when the list changes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qs, urlsplit

from notchjunction.addresses import Address
from notchjunction.http1.messages import MalformedMessageError, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.soak.backend import HOST, Backend
from notchjunction.soak.events import Journal, Notified, Published, Reachable

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
DRIP_CHUNKS = 4  # of a slow response
DRIP_PAUSE_S = 0.05  # between the chunks of a slow response
# A poll within this time after a response continues the watch and isn't a new call; the protocol defines it.
WATCH_CONTINUES_S = 0.2


@dataclass(slots=True)
class DiscoveryBehaviour:
    """The current behaviour of discovery; shares are of responses, from 0 to 1."""

    call_lines: float = 40.0  # cost of a call besides that of its response, in lines
    lines_per_second: float = 20000.0
    queue_seconds: float = 1.0  # a call that would wait longer is rejected, at the full cost
    snapshot_share: float = 0.0  # snapshots, even if the poll asks for changes
    indented: bool = False  # formats the JSON with indentation
    drip_share: float = 0.0  # responses in slow chunks
    reset_share: float = 0.0  # responses that are reset midway


@dataclass(slots=True, eq=False)
class PendingPoll:
    """A long poll that waits for a newer version than `version`."""

    port: DiscoveryPort
    version: int
    respond: Callable[[bool], None]
    timer: asyncio.TimerHandle | None = None


class FakeDiscovery:
    """The list of backends, its version, and the queue of calls that all nodes share."""

    def __init__(self, journal: Journal, random: Random) -> None:
        self.behaviour = DiscoveryBehaviour()
        self.up = True
        self._journal = journal
        self._random = random
        self._backends: dict[str, Backend] = {}
        self._statuses: dict[str, str] = {}
        self._changed_in: dict[str, int] = {}  # by backend, the version of its last change
        self._version = 0
        self._queue_empty_at = 0.0
        self.ports: dict[str, DiscoveryPort] = {}
        self.calls = 0  # including the rejected ones
        self.rejected = 0

    @property
    def version(self) -> int:
        """The version of the list, which is that of its last change."""
        return self._version

    def list_backends(self, backends: Iterable[Backend]) -> None:
        """Adds backends to the initial list as active, without a notification."""
        for backend in backends:
            self._backends[backend.name] = backend
            self._statuses[backend.name] = ACTIVE
            self._changed_in[backend.name] = 0

    async def open_port(self, node: str) -> DiscoveryPort:
        """Opens the port at which one node reaches discovery."""
        port = DiscoveryPort(self, node)
        await port.open()
        self.ports[node] = port
        self._record_reachable(node)
        return port

    async def move_port(self, node: str) -> DiscoveryPort:
        """Opens another port for a node and closes the old one."""
        old_port = self.ports.get(node)
        port = await self.open_port(node)
        if old_port is not None:
            old_port.close()
        return port

    def change(self, changes: Iterable[tuple[Backend, str]]) -> None:
        """Applies changes to the list as one version and responds to the open watches."""
        self._version += 1
        now = asyncio.get_running_loop().time()
        for backend, status in changes:
            self._backends[backend.name] = backend
            self._statuses[backend.name] = status
            self._changed_in[backend.name] = self._version
            self._journal.published.append(Published(now, backend.name, status == ACTIVE))
        for port in self.ports.values():
            port.notify_watches()

    def go_down(self) -> None:
        """Resets all connections and refuses new ones until `come_back`."""
        self.up = False
        for port in self.ports.values():
            port.reset()
            self._record_reachable(port.node)

    def come_back(self) -> None:
        """Serves polls again."""
        self.up = True
        for port in self.ports.values():
            self._record_reachable(port.node)

    def abandon_watches(self) -> None:
        """Drops all open watches, which never get a response."""
        for port in self.ports.values():
            port.abandon_watches()

    def reset_watches(self) -> None:
        """Resets all connections, and with them the open watches."""
        for port in self.ports.values():
            port.reset()

    def list_response(self, after: int | None) -> dict[str, object]:
        """Returns the response to a poll: the changes after version `after`, or a snapshot.

        It is a snapshot if `after` is None, and for a random share of other polls.
        """
        is_snapshot = after is None or self._random.random() < self.behaviour.snapshot_share
        rows = []
        for name, backend in self._backends.items():
            status = self._statuses[name]
            if (is_snapshot and status != LEFT) or (
                not is_snapshot and after is not None and self._changed_in[name] > after
            ):
                rows.append(backend.list_entry(status))
        return {"index": self._version, "snapshot": is_snapshot, "endpoints": rows}

    def queue_call(self, lines: int) -> float | None:
        """Queues a call with a response of so many lines.

        Returns:
            The seconds until it is served; None if it is rejected because the queue is too long.
        """
        now = asyncio.get_running_loop().time()
        begins_at = max(now, self._queue_empty_at)
        self.calls += 1
        self._queue_empty_at = (
            begins_at + (self.behaviour.call_lines + lines) / self.behaviour.lines_per_second
        )
        if begins_at - now > self.behaviour.queue_seconds:
            self.rejected += 1
            return None
        return self._queue_empty_at - now

    def record_notified(self, node: str, listing: dict[str, object]) -> None:
        """Records that a response was written to a node, which is then notified of all its entries.

        A snapshot also notifies it that the backends missing in it have left the list.
        """
        now = asyncio.get_running_loop().time()
        rows = listing["endpoints"]
        assert isinstance(rows, list)
        listed = set()
        for row in rows:
            listed.add(row["name"])
            self._journal.notified.append(Notified(now, node, row["name"], row["status"] == ACTIVE))
        if listing["snapshot"]:
            for name in self._backends.keys() - listed:
                self._journal.notified.append(Notified(now, node, name, False))

    def draw_response_faults(self) -> tuple[bool, bool]:
        """Draws whether a response comes in slow chunks, and whether it is reset midway."""
        draw = self._random.random
        return draw() < self.behaviour.drip_share, draw() < self.behaviour.reset_share

    def _record_reachable(self, node: str) -> None:
        now = asyncio.get_running_loop().time()
        self._journal.reachable.append(Reachable(now, node, self.up))

    def close(self) -> None:
        """Closes all ports."""
        for port in self.ports.values():
            port.close()


class DiscoveryPort:
    """The address at which one node reaches discovery."""

    def __init__(self, service: FakeDiscovery, node: str) -> None:
        self.node = node
        self._service = service
        self.address: Address = (HOST, 0)
        self._listener: asyncio.Server | None = None
        self._connections: set[DiscoveryConnection] = set()
        self._watches: set[PendingPoll] = set()
        self.responded_at = float("-inf")

    async def open(self) -> None:
        """Listens on a free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: DiscoveryConnection(self), HOST, 0)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._listener is not None:
            self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        self._watches.clear()
        for connection in list(self._connections):
            connection.abort()

    def abandon_watches(self) -> None:
        """Drops the open watches, which never get a response."""
        for watch in self._watches:
            if watch.timer is not None:
                watch.timer.cancel()
        self._watches.clear()

    def notify_watches(self) -> None:
        """Responds to all open watches."""
        for watch in list(self._watches):
            self._end_watch(watch)

    def _end_watch(self, watch: PendingPoll) -> None:
        if watch in self._watches:
            self._watches.discard(watch)
            if watch.timer is not None:
                watch.timer.cancel()
            watch.respond(True)

    def poll(self, after: int | None, wait: float, respond: Callable[[bool], None]) -> None:
        """Serves a poll.

        Args:
            after: the version that the node has; None for a snapshot.
            wait: the seconds that the poll may wait for a newer version.
            respond: called with True to send the current list, with False to reject the poll.
        """
        service = self._service
        loop = asyncio.get_running_loop()
        if not service.up:
            respond(False)
            return
        continues_watch = after is not None and loop.time() - self.responded_at <= WATCH_CONTINUES_S
        if continues_watch:
            self._watch(after or 0, wait, respond)
            return
        lines = len(service.list_response(after)["endpoints"])  # type: ignore[arg-type]
        seconds = service.queue_call(lines)
        if seconds is None:
            loop.call_later(service.behaviour.queue_seconds, respond, False)
        elif after is None:
            loop.call_later(seconds, respond, True)
        else:
            loop.call_later(seconds, self._watch, after, max(0.0, wait - seconds), respond)

    def _watch(self, after: int, wait: float, respond: Callable[[bool], None]) -> None:
        if not self._service.up:
            respond(False)
        elif self._service.version > after or wait <= 0:
            respond(True)
        else:
            watch = PendingPoll(self, after, respond)
            watch.timer = asyncio.get_running_loop().call_later(wait, self._end_watch, watch)
            self._watches.add(watch)

    @property
    def service(self) -> FakeDiscovery:
        """The discovery that this port belongs to."""
        return self._service

    @property
    def connections(self) -> set[DiscoveryConnection]:
        """The open connections."""
        return self._connections


class DiscoveryConnection(asyncio.Protocol):
    """A node's connection to discovery."""

    def __init__(self, port: DiscoveryPort) -> None:
        self._port = port
        self._requests = RequestReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or resets it while discovery is down."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._port.connections.add(self)
        if not self._port.service.up:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection."""
        self._port.connections.discard(self)
        self._transport = None

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses and serves polls; closes the connection at once on a malformed one."""
        self._requests.feed(data)
        try:
            while (request := self._requests.next()) is not None:
                self._poll(request)
        except MalformedMessageError:
            self.abort()

    def _poll(self, request: Request) -> None:
        query = parse_qs(urlsplit(request.target).query)
        after = int(query["after"][0]) if "after" in query else None
        wait = int(query.get("wait_ms", ["0"])[0]) / 1000
        self._port.poll(after, wait, lambda accepted: self._respond(accepted, after))

    def _respond(self, accepted: bool, after: int | None) -> None:
        transport, service = self._transport, self._port.service
        if transport is None or transport.is_closing():
            return
        self._port.responded_at = asyncio.get_running_loop().time()
        if not accepted:
            transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        listing = service.list_response(after)
        body = json.dumps(listing, indent=2 if service.behaviour.indented else None).encode()
        wire = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        is_slow, is_reset = service.draw_response_faults()
        loop = asyncio.get_running_loop()
        if is_reset:
            transport.write(wire[: len(wire) // 2])
            loop.call_later(0.01, self.abort)
        elif is_slow:
            step = len(wire) // DRIP_CHUNKS + 1
            for index in range(DRIP_CHUNKS):
                is_last = index == DRIP_CHUNKS - 1
                loop.call_later(
                    DRIP_PAUSE_S * index,
                    self._write_chunk,
                    wire[index * step : (index + 1) * step],
                    listing if is_last else None,
                )
        else:
            self._write_chunk(wire, listing)

    def _write_chunk(self, chunk: bytes, listing: dict[str, object] | None) -> None:
        """Writes a chunk of a response; with the last one, `listing` is recorded as notified."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(chunk)
        if listing is not None:
            self._port.service.record_notified(self._port.node, listing)
            self._port.responded_at = asyncio.get_running_loop().time()
