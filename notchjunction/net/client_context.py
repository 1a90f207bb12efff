"""The interfaces through which client connections use the node that accepted them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any, Protocol

from notchjunction.balancing.engine import RequestSpec
from notchjunction.http1.messages import Request, Response
from notchjunction.net.body_streaming import StreamBuffers, Upload
from notchjunction.net.client_state import ConnectionPhases
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.request_handler import QuotaPermits, RequestHandler
from notchjunction.safety.request_ids import RequestIds
from notchjunction.telemetry.counters import Counters

# Admission under the fleet's quotas, before the balancer: a rejection, or the permits and the request.
Admit = Callable[[RequestSpec], Awaitable[Response | tuple[QuotaPermits | None, RequestSpec]]]
StartRequest = Callable[[RequestSpec, Request, Upload | None, QuotaPermits | None], RequestHandler]


class StreamMigrator(Protocol):
    """Sends open connections to the process that replaces this one."""

    def __call__(self, state: Mapping[str, Any], *sockets: socket.socket) -> bool:
        """Sends a client's socket, and its endpoint's if a response is open. Returns whether it was accepted.

        Raises:
            BlockingIOError: The other process is still busy with earlier connections; try again later.
        """


class ClientContext(Protocol):
    """The shared state of all client connections of a node."""

    clock: Callable[[], float]  # s
    admit: Admit | None
    start_request: StartRequest
    ready: Callable[[], bool]
    request_classes: Collection[str]  # served request classes; empty: all
    counters: Counters
    descriptors: Descriptors
    streams: StreamBuffers
    phases: ConnectionPhases
    request_ids: RequestIds
    draining: bool  # readiness checks are answered with 503
    closing_announced: bool  # responses announce that the connection closes
    migrate_stream: StreamMigrator | None
    migrating: asyncio.Event  # set while open responses migrate to another process

    def linger_timeout(self) -> float:
        """Returns how long (s) a connection is read from after its last response."""
