"""Owns all client connections of a node: their shared context, their tasks, draining and migration."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Collection, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

from tornado.iostream import StreamClosedError

from notchjunction.balancing.engine import RequestSpec
from notchjunction.balancing.interface import Idempotency
from notchjunction.net.body_streaming import Download, StreamBuffers
from notchjunction.net.client_connection import ClientConnection
from notchjunction.net.client_context import Admit, IdClaims, StartRequest, StreamMigrator
from notchjunction.net.client_state import ConnectionPhases
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.memory_budget import MemoryBudget
from notchjunction.net.memory_shortage import MemoryShortage
from notchjunction.net.upstream_connection import MAX_BUFFER_BYTES, READ_CHUNK_BYTES
from notchjunction.safety.request_ids import RequestIds
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

# A connection is read from for this long after its last response, so that no reset destroys that in transit.
LINGER_TIMEOUT_S = 0.5
# The same in the final phase of a shutdown: the kill may come 0.3 s after the start of that phase.
LINGER_FINAL_S = 0.2


@dataclass(frozen=True, slots=True)
class ClientServices:
    """What a node provides to its client connections."""

    clock: Callable[[], float]  # s
    start_request: StartRequest
    ready: Callable[[], bool]
    request_classes: Collection[str]  # served request classes; empty: all
    descriptors: Descriptors
    counters: Counters
    streams: StreamBuffers
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    kept_headers: Collection[str] | None = None  # of requests, the others are dropped; None: all are kept
    admit: Admit | None = None


class ClientRegistry:
    """The context of client connections, and the owner of their tasks. Each task closes its connection."""

    def __init__(self, services: ClientServices) -> None:
        self.clock = services.clock
        self.admit = services.admit
        self.streams = services.streams
        self.memory = services.memory
        self.memory_shortage = MemoryShortage(services.memory, services.counters, services.clock)
        self.kept_headers = services.kept_headers
        self.start_request = services.start_request
        self.ready = services.ready
        self.request_classes = services.request_classes
        self.counters = services.counters
        self.descriptors = services.descriptors
        self.phases = ConnectionPhases()
        self.connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self.request_ids = RequestIds()
        self.claims: IdClaims | None = None  # with the other processes of the node
        self.draining = False  # readiness checks are answered with 503
        self.closing_announced = False  # responses announce that the connection closes
        self.final_phase = False  # of a shutdown: each open request has to be answered now
        self.migrate_stream: StreamMigrator | None = None
        self.migrating = asyncio.Event()
        self._last_over_limit = False  # the last client accepted was over the limit
        self.counters.gauge("client_connections_open", lambda: self.descriptors.clients)
        self.counters.gauge("client_connections_idle", lambda: len(self.phases.idle))

    def start(self, sock: socket.socket, over_limit: bool, queued_since: float) -> None:
        """Serves a client that was accepted.

        Args:
            sock: The client's socket, which the connection owns from here on.
            over_limit: Accepted past the descriptor limit: its one request is answered with 503.
            queued_since: The earliest time (s) at which it may have connected.
        """
        self.descriptors.take_for_client()
        self.counters.add("client_connections_opened")
        if over_limit:
            self.counters.add("client_connections_rejected")
        if over_limit and not self._last_over_limit:
            log.warning(
                "descriptor limit reached", extra=pairs(limit="descriptors", in_use=self.descriptors.in_use)
            )
        self._last_over_limit = over_limit
        connection = self._new_connection(sock, over_limit)
        connection.note_queued(queued_since)
        self._run(connection, connection.serve())

    def adopt_stream(self, wire: Mapping[str, Any], sock: socket.socket, download: Download) -> None:
        """Serves a client whose response another process of this node began to forward."""
        connection = self._adopt(sock, "streams_adopted")
        self._run(connection, connection.resume(wire, download))

    def adopt_upload(self, wire: Mapping[str, Any], sock: socket.socket) -> None:
        """Serves a client that still sends its body, and whose response another process has sent."""
        connection = self._adopt(sock, "uploads_adopted")
        self._run(connection, connection.resume_upload(wire))

    def _adopt(self, sock: socket.socket, counter: str) -> ClientConnection:
        self.descriptors.take_for_client()
        self.counters.add(counter)
        return self._new_connection(sock, over_limit=False)

    def _new_connection(self, sock: socket.socket, over_limit: bool) -> ClientConnection:
        stream = ClientStream(sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        return ClientConnection(self, stream, over_limit)

    def _run(self, connection: ClientConnection, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connection, work))
        self.connections[connection] = task

    async def _serve(self, connection: ClientConnection, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except StreamClosedError as error:
            # Guards against closed connections that stay in memory until the cycle collector runs: the frames
            # of the traceback refer to the connection and to the failed read, which refers to the error.
            error.__traceback__ = None
        except Exception as error:
            self.counters.add_failure("client connection failed", error)
        finally:
            connection.close()
            del self.connections[connection]

    @property
    def max_uploads(self) -> float:
        """How many uploads may be open at once, which leave room for other requests."""
        return min(self.memory.max_slow_requests, self.descriptors.max_slow_requests)

    async def take_id(self, request_id: str, spec: RequestSpec) -> bool:
        """Takes the id of a request for as long as it is open; returns False if it is taken."""
        if self.request_ids.is_taken(request_id, self.clock()):
            return False
        self.request_ids.open(request_id, spec.time_left)
        if self.claims is None:
            return True
        is_granted = False
        try:
            needs_consent = spec.idempotency is not Idempotency.IDEMPOTENT
            is_granted = await self.claims.claim(request_id, spec.time_left, needs_consent)
        finally:
            if not is_granted:
                self.free_id(request_id, may_run=False)
        return is_granted

    def adopt_id(self, request_id: str) -> None:
        """Takes the id of a request whose response another process of the node began to forward."""
        time_allowed = self.request_ids.adopt(request_id)
        if self.claims is not None:
            self.claims.adopted(request_id, time_allowed)

    def free_id(self, request_id: str, may_run: bool) -> None:
        """Frees an id; it stays taken for a while if an endpoint may still run its request."""
        hold = self.request_ids.close(request_id, self.clock(), may_run)
        if self.claims is not None:
            self.claims.closed(request_id, hold)

    def drain(self) -> None:
        """Answers readiness checks with 503 from now on."""
        self.draining = True

    def announce_closing(self) -> None:
        """Announces in responses that the connection closes, unless a further request has arrived."""
        self.closing_announced = True

    def resume_service(self) -> None:
        """Reverts `drain` and `announce_closing`: the node is ready again and keeps connections."""
        self.draining = self.closing_announced = False

    def start_migration(self, migrate_stream: StreamMigrator) -> None:
        """Migrates open responses to another process of the node from now on, between two of their pieces."""
        self.migrate_stream = migrate_stream
        self.migrating.set()

    def stop_migration(self) -> None:
        """Stops migrating, as the other process has gone."""
        self.migrate_stream = None
        self.migrating.clear()

    def reject_uploads(self) -> None:
        """Enters the final phase of a shutdown, and rejects each request whose body is incomplete.

        Such a request has not run.
        """
        self.final_phase = True
        for connection in list(self.connections):
            connection.reject_upload()

    def close_idle(self, min_idle: float = 0.0) -> None:
        """Closes connections with no open request, unless idle or silent for less than `min_idle` (s)."""
        idle_by = self.clock() - min_idle
        for connection in list(self.connections):
            if self.phases.idle.get(connection, self.phases.silent.get(connection, 0.0)) <= idle_by:
                connection.end_if_idle()

    def linger_timeout(self) -> float:
        """Returns how long (s) a connection is read from after its last response."""
        return LINGER_FINAL_S if self.final_phase else LINGER_TIMEOUT_S
