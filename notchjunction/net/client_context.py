"""The interfaces through which client connections use the node that accepted them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any, Protocol

from notchjunction.balancing.engine import RequestSpec
from notchjunction.http1.messages import Request, Response
from notchjunction.net.body_streaming import StreamBuffers
from notchjunction.net.client_state import ConnectionPhases
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.memory_budget import MemoryBudget
from notchjunction.net.memory_shortage import MemoryShortage
from notchjunction.net.request_handler import QuotaPermits, RequestHandler, RequestResources
from notchjunction.safety.request_ids import RequestIds
from notchjunction.telemetry.counters import Counters

# Admission under the fleet's quotas, before the balancer: a rejection, or the permits and the request.
Admit = Callable[[RequestSpec], Awaitable[Response | tuple[QuotaPermits | None, RequestSpec]]]
StartRequest = Callable[[RequestSpec, Request, RequestResources], RequestHandler]


class StreamMigrator(Protocol):
    """Sends open connections to the process that replaces this one."""

    def __call__(self, state: Mapping[str, Any], *sockets: socket.socket) -> bool:
        """Sends a client's socket, and its endpoint's if a response is open. Returns whether it was accepted.

        Raises:
            BlockingIOError: The other process is still busy with earlier connections; try again later.
        """


class IdClaims(Protocol):
    """Agrees with the other processes of the node which request ids are taken."""

    async def claim(self, request_id: str, time_allowed: float, needs_consent: bool) -> bool:
        """Tells the others that a request is open here; returns False if one of them denies the id.

        Args:
            request_id: The id, which this process has taken already.
            time_allowed: The time left of the request in s.
            needs_consent: Whether to wait for the others' consent.
        """

    def adopted(self, request_id: str, time_allowed: float) -> None:
        """Tells the others that a request is open here, without waiting for their consent."""

    def closed(self, request_id: str, hold: float) -> None:
        """Tells the others that a request has ended here; its id stays taken for `hold` s."""


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
    memory: MemoryBudget
    memory_shortage: MemoryShortage
    kept_headers: Collection[str] | None  # of requests, the others are dropped; None: all are kept
    phases: ConnectionPhases
    request_ids: RequestIds
    draining: bool  # readiness checks are answered with 503
    closing_announced: bool  # responses announce that the connection closes
    migrate_stream: StreamMigrator | None
    migrating: asyncio.Event  # set while open responses migrate to another process

    @property
    def max_uploads(self) -> float:
        """How many uploads may be open at once, which leave room for other requests."""
        ...

    async def take_id(self, request_id: str, spec: RequestSpec) -> bool:
        """Takes the id of a request for as long as it is open; returns False if it is taken."""

    def adopt_id(self, request_id: str) -> None:
        """Takes the id of a request whose response another process of the node began to forward."""

    def free_id(self, request_id: str, may_run: bool) -> None:
        """Frees an id; it stays taken for a while if an endpoint may still run its request."""

    def linger_timeout(self) -> float:
        """Returns how long (s) a connection is read from after its last response."""
