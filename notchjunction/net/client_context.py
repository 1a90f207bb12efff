"""What a client's connection needs of whoever accepted it, as types without the listener itself."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any, Protocol

from notchjunction.balancing.engine import RequestSpec
from notchjunction.http1.messages import Answer, Request
from notchjunction.net.body_streaming import StreamBuffers, Upload
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.request_handler import QuotaPermits, RequestHandler
from notchjunction.telemetry.counters import Counters

# Admission under quotas of the whole fleet, ahead of the balancer: a rejection, or permits and request.
Admit = Callable[[RequestSpec], Awaitable[Answer | tuple[QuotaPermits | None, RequestSpec]]]
StartRequest = Callable[[RequestSpec, Request, Upload | None, QuotaPermits | None], RequestHandler]


class StreamMigrator(Protocol):
    """Sends open connections to the process of the node that replaces this one."""

    def __call__(self, state: Mapping[str, Any], *sockets: socket.socket) -> bool:
        """Sends a client's socket, and its endpoint's where a response is under way; whether it was taken.

        Raises:
            BlockingIOError: The other process is still busy with earlier ones; a later try may succeed.
        """


class IdleConnection(Protocol):
    """What the listener may close of a connection on its own account, to free a descriptor."""

    def close_if_idle(self) -> bool:
        """Closes the connection now where no request is open on it; whether it did."""

    def turn_away_in_head(self) -> None:
        """Answers 408 to a head under way and ends the sending, unless more of the head has just come."""


class ClientContext(Protocol):
    """The shared state of all client connections of a node.

    The four tables hold each connection under the time (s, `clock`) since when it has been in that phase, the
    longest first. A connection enters and leaves them itself.
    """

    clock: Callable[[], float]
    admit: Admit | None
    take: StartRequest
    ready: Callable[[], bool]
    profiles: Collection[str]  # request classes that are served; empty: all
    counters: Counters
    descriptors: Descriptors
    streams: StreamBuffers
    silent: dict[IdleConnection, float]  # nothing has come yet
    idle: dict[IdleConnection, float]  # between two requests
    heads: dict[IdleConnection, float]  # part of a head has come, and no whole one is unread
    lingering: dict[IdleConnection, float]  # sending has ended; still read from for a moment
    ids: set[str]  # of requests in flight
    draining: bool  # readiness checks are answered with 503
    parting: bool  # responses announce that the connection closes
    mover: StreamMigrator | None
    moving: asyncio.Event  # set while responses under way go to another process

    def linger_within(self) -> float:
        """How long (s) a connection is read from after its last response."""
