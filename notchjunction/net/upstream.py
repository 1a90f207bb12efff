"""The pool of upstream connections, by endpoint."""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from statistics import median_high
from typing import Any

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.balancing.engine import ExchangeOutcome
from notchjunction.balancing.interface import AttemptResult
from notchjunction.http1.messages import Request, Response
from notchjunction.http1.parser import ResponseReader
from notchjunction.net.body_streaming import Download, StreamBuffers
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.upstream_attempt import (
    AttemptExchange,
    AttemptSpec,
    ExchangeResult,
    ExchangeServices,
    parse_load_report,
)
from notchjunction.net.upstream_connection import (
    NoDescriptorError,
    RequestNotSentError,
    UpstreamConnection,
    create_connection,
)
from notchjunction.telemetry.counters import Counters

# Share of an upstream's idle timeout after which the node closes an idle connection itself, so that no
# request is sent while the upstream closes it.
IDLE_TIMEOUT_SHARE = 0.75
# Per endpoint, the idle times after which it closed connections: the node learns its idle timeout from them.
MAX_IDLE_LIFETIMES = 8  # kept
MIN_IDLE_LIFETIMES = 3  # needed for an estimate; fewer may be chance
IDLE_LIFETIME_WINDOW_S = 60.0  # maximum age; then the settings apply again, as the endpoint may have changed
# After the reset of a reused connection, requests other than GET get new connections for so long.
NO_REUSE_AFTER_RESET_S = 10.0
# How long a connection is idle before it is reused; a surplus second response has arrived by then. With r
# requests a second to an endpoint this costs about r times 0.03 more connections to it.
MIN_IDLE_BEFORE_REUSE_S = 0.03
PROBE_TIMEOUT_S = 0.5  # a later response says little about the present load
SECOND_CONNECT_SHARE = 0.3  # of the connect timeout, after which a second connection is attempted in parallel
LATE_CONNECT_TIMEOUT_S = 2.0  # until a connection that no request waits for is abandoned; above most delays
MAX_LATE_CONNECTS = 2  # of those for an endpoint; more would load an endpoint that accepts none


@dataclass(frozen=True, slots=True, eq=False)
class PendingConnect:
    """A connection that is being opened."""

    connection: UpstreamConnection
    opening: asyncio.Task[None]


class UpstreamPool:
    """Opens, reuses and closes the connections to all endpoints, and sends attempts and probes on them."""

    def __init__(
        self,
        clock: Callable[[], float],
        connect_timeout: float,
        idle_timeout: float,
        load_path: str,
        close_idle_client: Callable[[], bool],
        descriptors: Descriptors,
        counters: Counters,
        streams: StreamBuffers | None = None,
    ) -> None:
        self._clock = clock
        self._streams = streams or StreamBuffers()
        self.apply_settings(connect_timeout, idle_timeout, load_path)
        self._close_idle_client = close_idle_client
        self._descriptors = descriptors
        self._counters = counters
        self._services = ExchangeServices(clock, counters, self._streams)
        self._addresses: dict[str, Address] = {}
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._late_connects: dict[str, set[PendingConnect]] = {}
        self._reset_at = -math.inf
        self._idle_lifetimes: dict[str, deque[tuple[float, float]]] = {}
        counters.gauge(
            "connections_idle", lambda: sum(len(connections) for connections in self._idle.values())
        )
        counters.gauge("endpoints_active", lambda: len(self._addresses))

    def apply_settings(self, connect_timeout: float, idle_timeout: float, load_path: str) -> None:
        """Applies new settings; the timeouts are in s."""
        self._connect_timeout = connect_timeout
        self._idle_timeout = idle_timeout * IDLE_TIMEOUT_SHARE
        self._load_path = load_path

    def set_endpoints(self, addresses: Mapping[str, Address]) -> None:
        """Sets the endpoints for new requests, with their addresses; closes idle connections to others."""
        self._addresses = dict(addresses)
        self._idle_lifetimes = {
            endpoint: lifetimes
            for endpoint, lifetimes in self._idle_lifetimes.items()
            if endpoint in addresses
        }
        self._close_idle_where(lambda endpoint, connection: not self.is_current(endpoint, connection))

    async def attempt(self, attempt: AttemptSpec, request: Request) -> ExchangeResult:
        """Carries out one attempt; whether it may be sent is decided at the moment of writing."""
        upload = attempt.upload
        if upload is not None and upload.consumed:
            # Guards against a body without its middle: what an earlier attempt sent is not kept.
            return ExchangeResult(ExchangeOutcome(AttemptResult.NOT_SENT, 0.0, unrepeatable=True))
        # Guards against unusual headers of a client, which would make an upstream close the connection.
        headers = {
            name: value
            for name, value in request.headers.items()
            if name in protocol.FORWARDED_REQUEST_HEADERS and value.isascii()
        }
        result = await self._exchange(attempt, replace(request, headers=headers))
        return replace(
            result, outcome=replace(result.outcome, unrepeatable=upload is not None and upload.consumed)
        )

    async def probe(self, endpoint: str) -> ExchangeOutcome:
        """Sends a probe. A successful one yields a load report if it goes to the path of load reports."""
        request = Request("GET", self._load_path, {"host": "probe"})
        probe = AttemptSpec(endpoint, self._clock() + PROBE_TIMEOUT_S)
        result = await self._exchange(probe, request)
        response = result.response
        if (
            result.outcome.result is AttemptResult.SUCCEEDED
            and response is not None
            and self._load_path == protocol.LOAD_PATH
        ):
            return ExchangeOutcome(
                AttemptResult.SUCCEEDED, result.outcome.seconds, parse_load_report(response.body)
            )
        return result.outcome

    def close_stale(self) -> None:
        """Closes connections that have been idle for too long or were closed by their upstream."""
        self._close_idle_where(lambda endpoint, connection: not self._is_reusable(endpoint, connection))

    def close_oldest(self) -> bool:
        """Closes the connection that has been idle longest; returns False if none is idle."""
        oldest = [
            (connections[0].idle_since, endpoint)
            for endpoint, connections in self._idle.items()
            if connections
        ]
        if not oldest:
            return False
        self._close(self._idle[min(oldest)[1]].popleft())
        return True

    def close(self) -> None:
        """Closes idle connections and cancels late ones; attempts in flight are not affected."""
        self.set_endpoints({})
        for pending in [pending for late in self._late_connects.values() for pending in late]:
            pending.opening.cancel()

    async def _exchange(self, attempt: AttemptSpec, request: Request) -> ExchangeResult:
        return await AttemptExchange(self, self._services, attempt, request).run()

    def adopt_response(self, state: Mapping[str, Any], sock: socket.socket) -> Download:
        """Continues a response to a request that another process of this node sent.

        The connection is closed at the end of the response. `state` is the position in the body.
        """
        parser = ResponseReader()
        parser.restore(state)
        connection = UpstreamConnection(("", 0), sock)
        self._descriptors.take()
        download = Download(self._streams, connection, parser, Response(200, more_body=True))
        download.finished = parser.body_ended
        download.ended.add_done_callback(lambda _: self._close(connection))
        return download

    def note_reset(self) -> None:
        """Records that a connection was reset in use: for a while fewer requests reuse connections."""
        self._reset_at = self._clock()

    def _may_reuse(self, request: Request) -> bool:
        """Whether a reused connection is safe enough for the request.

        Guards against lost requests where upstreams drop idle connections without notice: the next request on
        such a connection is reset.
        """
        return request.method == "GET" or self._clock() - self._reset_at > NO_REUSE_AFTER_RESET_S

    async def acquire(self, endpoint: str, request: Request) -> UpstreamConnection:
        """Returns the most recently used connection that is safe enough for the request; else a new one.

        Raises:
            RequestNotSentError: The endpoint is not listed, or cannot be connected to.
        """
        address = self._addresses.get(endpoint)
        if address is None:
            raise RequestNotSentError("no longer in the list")
        idle = self._idle.get(endpoint, deque()) if self._may_reuse(request) else deque()
        idle_before = self._clock() - MIN_IDLE_BEFORE_REUSE_S
        recently_used: deque[UpstreamConnection] = deque()
        reusable: UpstreamConnection | None = None
        while idle and reusable is None:
            connection = idle.pop()
            if connection.idle_since > idle_before:
                # Guards against a late second response: it would be read as that of the next request.
                recently_used.appendleft(connection)
            elif self._is_reusable(endpoint, connection):
                reusable = connection
            else:
                self._counters.add("connections_stale")
                self._close_idle(endpoint, connection)
        idle.extend(recently_used)
        if reusable is not None:
            return reusable
        if self._descriptors.full() and not self._make_room():
            self._counters.add("descriptors_exhausted")
            raise NoDescriptorError
        if recently_used:
            self._counters.add("connections_unsettled")
        return await self._connect(endpoint, address)

    def _make_room(self) -> bool:
        """Closes an idle upstream connection, or else an idle client; returns whether there was one."""
        return self.close_oldest() or self._close_idle_client()

    async def _connect(self, endpoint: str, address: Address) -> UpstreamConnection:
        """Opens a connection; if that is slow, a second one in parallel, and returns the first that opens.

        The other one may still serve a later request.
        """
        # Guards against lost requests where many connections independently open late.
        pending_connects = [self._start_connect(create_connection(address, self._make_room))]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._connect_timeout
        first: PendingConnect | None = None
        try:
            done, _ = await asyncio.wait(
                [pending_connects[0].opening], timeout=self._connect_timeout * SECOND_CONNECT_SHARE
            )
            if not done and not self._descriptors.full():
                with suppress(NoDescriptorError):
                    pending_connects.append(self._start_connect(UpstreamConnection(address)))
                    self._counters.add("connections_raced")
            if not done:
                tasks = [pending.opening for pending in pending_connects]
                remaining = max(0.0, deadline - loop.time())
                done, _ = await asyncio.wait(tasks, timeout=remaining, return_when=asyncio.FIRST_COMPLETED)
            # Guards against choosing a refused connection if the other one opened in the same loop iteration.
            finished = [pending for pending in pending_connects if pending.opening in done]
            first = min(finished, key=lambda pending: pending.opening.exception() is not None, default=None)
        finally:
            for pending in pending_connects:
                if pending is not first:
                    self._abandon_connect(endpoint, pending)
        if first is None:
            raise RequestNotSentError("connecting took too long")
        if error := first.opening.exception():
            self._close(first.connection)
            raise error
        return first.connection

    def _start_connect(self, connection: UpstreamConnection) -> PendingConnect:
        self._descriptors.take()
        self._counters.add("connections_opened")
        return PendingConnect(connection, asyncio.create_task(connection.open()))

    def _abandon_connect(self, endpoint: str, pending: PendingConnect) -> None:
        """Keeps a connection that no request waits for if it opens soon and there are few of its kind."""
        late = self._late_connects.setdefault(endpoint, set())
        late.add(pending)
        pending.opening.add_done_callback(lambda _: self._late_connect_done(endpoint, pending))
        if len(late) > MAX_LATE_CONNECTS or self._descriptors.full():
            pending.opening.cancel()
        else:
            asyncio.get_running_loop().call_later(LATE_CONNECT_TIMEOUT_S, pending.opening.cancel)

    def _late_connect_done(self, endpoint: str, pending: PendingConnect) -> None:
        self._late_connects[endpoint].discard(pending)
        if not self._late_connects[endpoint]:
            del self._late_connects[endpoint]
        succeeded = not pending.opening.cancelled() and pending.opening.exception() is None
        self.release(endpoint, pending.connection, keep=succeeded)

    def count_unsolicited(self) -> None:
        """Counts bytes that an upstream sent without a request."""
        self._counters.add("responses_unsolicited")

    def _close_idle_where(self, matches: Callable[[str, UpstreamConnection], bool]) -> None:
        for endpoint, connections in list(self._idle.items()):
            for connection in list(connections):
                if matches(endpoint, connection):
                    connections.remove(connection)
                    self._close_idle(endpoint, connection)
            if not connections:
                del self._idle[endpoint]

    def is_listed(self, endpoint: str) -> bool:
        """Whether the endpoint may get new requests: it is listed as ready and not banned by an operator."""
        return endpoint in self._addresses

    def is_current(self, endpoint: str, connection: UpstreamConnection) -> bool:
        """Whether the connection leads to the present address of an endpoint that may get new requests."""
        return self._addresses.get(endpoint) == connection.address

    def _is_reusable(self, endpoint: str, connection: UpstreamConnection) -> bool:
        """Whether an idle connection can carry a request.

        Guards against sending a request while the upstream closes the connection.
        """
        return connection.idle_since > self._clock() - self._idle_limit(endpoint) and connection.is_reusable()

    def _idle_limit(self, endpoint: str) -> float:
        """Returns how long (s) a connection to the endpoint may be idle.

        This is the configured time, or less if the endpoint recently closed idle connections sooner.
        """
        lifetimes = [
            lifetime
            for at, lifetime in self._idle_lifetimes.get(endpoint, ())
            if at > self._clock() - IDLE_LIFETIME_WINDOW_S
        ]
        if len(lifetimes) < MIN_IDLE_LIFETIMES:
            return self._idle_timeout
        return min(self._idle_timeout, median_high(lifetimes) * IDLE_TIMEOUT_SHARE)

    def _close_idle(self, endpoint: str, connection: UpstreamConnection) -> None:
        if connection.idle_lifetime is not None and endpoint in self._addresses:
            self._idle_lifetimes.setdefault(endpoint, deque(maxlen=MAX_IDLE_LIFETIMES)).append(
                (self._clock(), connection.idle_lifetime)
            )
        self._close(connection)

    def release(self, endpoint: str, connection: UpstreamConnection, keep: bool) -> None:
        """Takes a connection back, to be used again if `keep` is set and it is still current."""
        if keep and self.is_current(endpoint, connection):
            connection.mark_idle(self._clock(), self.count_unsolicited)
            self._idle.setdefault(endpoint, deque()).append(connection)
        else:
            self._close(connection)

    def _close(self, connection: UpstreamConnection) -> None:
        connection.close()
        self._descriptors.release()
        self._counters.add("connections_closed")
