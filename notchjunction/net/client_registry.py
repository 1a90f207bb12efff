"""All client connections of a node: what they share, their tasks, and how they end or move together."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Collection, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

from tornado.iostream import StreamClosedError

from notchjunction.net.body_streaming import Download, StreamBuffers
from notchjunction.net.client_connection import ClientConnection
from notchjunction.net.client_context import Admit, StartRequest, StreamMigrator
from notchjunction.net.client_state import ConnectionPhases
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.upstream_connection import BUFFER_MOST, PIECE
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

LINGER_TIMEOUT_S = (
    0.5  # of reading on after the last response, so that a reset does not destroy it on its way
)
LINGER_FINAL_S = 0.2  # the same once all has to be answered: the kill may come 0.3 s after that


@dataclass(frozen=True, slots=True)
class ClientServices:
    """What a node provides to its client connections."""

    clock: Callable[[], float]  # s
    start_request: StartRequest
    ready: Callable[[], bool]
    request_classes: Collection[str]  # request classes that are served; empty: all
    descriptors: Descriptors
    counters: Counters
    streams: StreamBuffers
    admit: Admit | None = None


class ClientRegistry:
    """The context of client connections, and the owner of their tasks; each task ends with its connection."""

    def __init__(self, services: ClientServices) -> None:
        self.clock = services.clock
        self.admit = services.admit
        self.streams = services.streams
        self.start_request = services.start_request
        self.ready = services.ready
        self.request_classes = services.request_classes
        self.counters = services.counters
        self.descriptors = services.descriptors
        self.phases = ConnectionPhases()
        self.connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self.ids: set[str] = set()  # of requests in flight
        self.draining = False  # readiness checks are answered with 503
        self.closing_announced = False  # responses announce that the connection closes
        self.final_phase = False  # by now all has to be answered
        self.migrate_stream: StreamMigrator | None = None
        self.migrating = asyncio.Event()
        self._at_limit = False  # the last client accepted was over the limit
        self.counters.gauge("client_connections_open", lambda: self.descriptors.callers)
        self.counters.gauge("client_connections_idle", lambda: len(self.phases.idle))

    def start(self, sock: socket.socket, over_limit: bool, queued_since: float) -> None:
        """Serves a client that was accepted.

        Args:
            sock: The client's socket, which the connection owns from here on.
            over_limit: Whether its one request is answered with 503.
            queued_since: Since when (s) it may have waited to be accepted.
        """
        self.descriptors.take_caller()
        self.counters.add("client_connections_opened")
        if over_limit:
            self.counters.add("client_connections_rejected")
        if over_limit and not self._at_limit:
            log.warning(
                "descriptor limit reached", extra=pairs(limit="descriptors", in_use=self.descriptors.held)
            )
        self._at_limit = over_limit
        connection = self._connection(sock, over_limit)
        connection.note_queued(queued_since)
        self._run(connection, connection.converse())

    def adopt_stream(self, wire: Mapping[str, Any], sock: socket.socket, download: Download) -> None:
        """Serves a client whose response another process of this node began to pass on."""
        connection = self._adopt(sock, "streams_adopted")
        self._run(connection, connection.resume(wire, download))

    def adopt_upload(self, wire: Mapping[str, Any], sock: socket.socket) -> None:
        """Serves a client that another process of this node has answered, and that still sends its body."""
        connection = self._adopt(sock, "uploads_adopted")
        self._run(connection, connection.resume_upload(wire))

    def _adopt(self, sock: socket.socket, counter: str) -> ClientConnection:
        self.descriptors.take_caller()
        self.counters.add(counter)
        return self._connection(sock, over_limit=False)

    def _connection(self, sock: socket.socket, over_limit: bool) -> ClientConnection:
        stream = ClientStream(sock, max_buffer_size=BUFFER_MOST, read_chunk_size=PIECE)
        return ClientConnection(self, stream, over_limit)

    def _run(self, connection: ClientConnection, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connection, work))
        self.connections[connection] = task

    async def _serve(self, connection: ClientConnection, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except StreamClosedError as error:
            # Guards against memory of closed connections that waits for the cycle collector: the traceback's
            # frames hold the connection, and the read that failed, which holds the error.
            error.__traceback__ = None
        except Exception as error:
            self.counters.add_failure("client connection failed", error)
        finally:
            connection.close()
            del self.connections[connection]

    def drain(self) -> None:
        """The node says from now on that it is not ready for more clients."""
        self.draining = True

    def announce_closing(self) -> None:
        """Responses say from now on that the connection closes."""
        self.closing_announced = True

    def resume_service(self) -> None:
        """Takes both back: the node is ready for more, and connections are kept."""
        self.draining = self.closing_announced = False

    def start_migration(self, migrate_stream: StreamMigrator) -> None:
        """From now on responses under way go to another process of the node, between two of their pieces."""
        self.migrate_stream = migrate_stream
        self.migrating.set()

    def stop_migration(self) -> None:
        """They stay from now on: the process that they went to has gone."""
        self.migrate_stream = None
        self.migrating.clear()

    def reject_uploads(self) -> None:
        """By now all has to be answered: a request that is not whole is rejected, as it never ran."""
        self.final_phase = True
        for connection in list(self.connections):
            connection.reject_upload()

    def close_idle(self, idle_min: float = 0.0) -> None:
        """Closes connections with no request open, but for those that have been so for less time (s)."""
        since = self.clock() - idle_min
        for connection in list(self.connections):
            if self.phases.idle.get(connection, self.phases.silent.get(connection, 0.0)) <= since:
                connection.end_if_idle()

    def linger_within(self) -> float:
        """How long (s) a connection is read from after its last response."""
        return LINGER_FINAL_S if self.final_phase else LINGER_TIMEOUT_S
