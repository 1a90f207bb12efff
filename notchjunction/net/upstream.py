"""The pool of upstream connections, by endpoint; carries out single attempts and probes on them."""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from statistics import median_high
from typing import Any, NoReturn

from notchjunction import protocol
from notchjunction.addresses import Address
from notchjunction.balancing.engine import ExchangeOutcome
from notchjunction.balancing.interface import AttemptResult, LoadReport
from notchjunction.config.settings import read_load_report
from notchjunction.http1.messages import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MalformedMessageError,
    Request,
    Response,
)
from notchjunction.http1.parser import ResponseReader
from notchjunction.net.body_streaming import Download, StreamBuffers, Upload
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.upstream_connection import (
    UNLIMITED_MEMORY,
    AttemptWithheldError,
    ConnectionLostError,
    ExchangeHooks,
    NoDescriptorError,
    RequestNotSentError,
    ResponseMemory,
    UpstreamConnection,
    create_connection,
)
from notchjunction.safety.preconditions import AttemptFacts, Refusal, deadline_to_send, may_write
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.flight_recorder import Occurrence

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
# The others are dropped: some endpoints send very many.
KEPT_RESPONSE_HEADERS = protocol.FORWARDED_RESPONSE_HEADERS | protocol.USED_RESPONSE_HEADERS
PROBE_TIMEOUT_S = 0.5  # a later response says little about the present load
SECOND_CONNECT_SHARE = 0.3  # of the connect timeout, after which a second connection is attempted in parallel
LATE_CONNECT_TIMEOUT_S = 2.0  # until a connection that no request waits for is abandoned; above most delays
MAX_LATE_CONNECTS = 2  # of those for an endpoint; more would load an endpoint that accepts none


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The outcome of an attempt or a probe, and the response if there was one."""

    outcome: ExchangeOutcome
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class AttemptSpec:
    """An attempt for the pool to carry out; for a probe all but the first two fields have their defaults."""

    endpoint: str
    expires_at: float  # s on the pool's clock, when its timeout ends
    upload: Upload | None = None  # the rest of the body, if the request has only its beginning
    memory: ResponseMemory = UNLIMITED_MEMORY  # for the response
    # With an upload: s on the pool's clock when the timeout ends; known once the last byte is received.
    upload_expires_at: Callable[[], float] = lambda: math.inf
    # Called once the head of a response is there whose body is still incomplete.
    on_response_head: Callable[[], None] = lambda: None
    on_response_start: Callable[[Download], None] | None = None  # called for a large response
    # Called with the remaining time (s) that is sent as deadline; returns whether fleet quotas allow it.
    acquire_quota: Callable[[float], bool] | None = None
    is_wanted: Callable[[], bool] = lambda: True  # the request is unanswered and the attempt not cancelled
    client_connected: Callable[[], bool] = lambda: True
    # s on the pool's clock, until which the attempt can't make an effect happen twice.
    repeatable_until: Callable[[], float] = lambda: math.inf
    # Called when it is written, with the remaining time (s) that is sent as deadline.
    on_written: Callable[[float], None] = lambda time_left: None

    def is_still_wanted(self) -> bool:
        """Whether the attempt still has a purpose; polled while the upstream accepts no more bytes."""
        return self.is_wanted() and self.client_connected()


@dataclass(frozen=True, slots=True, eq=False)
class PendingConnect:
    """A connection that is being opened."""

    connection: UpstreamConnection
    opening: asyncio.Task[None]


def parse_load_report(text: str | bytes) -> LoadReport | None:
    """Parses a load report; None if it is not valid."""
    try:
        report = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return read_load_report(report) if isinstance(report, Mapping) else None


def result_of(response: Response) -> AttemptResult:
    """Maps the status of a response to a result, as the protocol defines; other statuses to UNKNOWN."""
    if response.status == 200:
        return AttemptResult.SUCCEEDED
    if response.status in (503, 504):
        return (
            AttemptResult.REJECTED if response.headers.get(protocol.DECLINED) == "1" else AttemptResult.ERROR
        )
    return AttemptResult.ERROR if response.status == 500 else AttemptResult.UNKNOWN


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
        self._recorder = counters.recorder
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
        self._close_idle_where(lambda endpoint, connection: not self._is_current(endpoint, connection))

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
        endpoint, upload, on_response_start = attempt.endpoint, attempt.upload, attempt.on_response_start
        started_at = self._clock()
        # The client's pace limits an upload; the timeout for the response starts when the upload ends.
        timeout = attempt.expires_at - started_at
        connection: UpstreamConnection | None = None
        writing = written = keep = False
        response: Response | None = None
        parser = ResponseReader(
            max_body=MAX_BUFFERED_BODY_BYTES if on_response_start is None else MAX_BODY_BYTES,
            kept_headers=KEPT_RESPONSE_HEADERS,
        )
        first_bytes_after: float | None = None
        why: str | None = None  # the reason of a failure
        loop = asyncio.get_running_loop()

        def all_written() -> None:
            nonlocal started_at, written
            written = True
            if upload is not None:
                started_at = self._clock()
                limit.reschedule(loop.time() + timeout)

        def time_left() -> float:
            times_out_at = limit.when()
            until_timeout = math.inf if times_out_at is None else times_out_at - loop.time()
            # The client's time, which may end before the timeout where an upload took long.
            return min(until_timeout, attempt.upload_expires_at() - self._clock())

        try:
            async with asyncio.timeout(None if upload is not None else timeout) as limit:
                connection = await self._acquire(endpoint, reuse=self._may_reuse(request))
                # No other task runs between this check and the first byte written.
                request = self._prepare(attempt, request, connection, timeout)
                writing = True
                response = await connection.exchange(
                    request,
                    parser,
                    upload,
                    ExchangeHooks(
                        on_written=all_written,
                        on_head=attempt.on_response_head,
                        is_wanted=attempt.is_still_wanted,
                        time_left=time_left,
                    ),
                    attempt.memory,
                )
            if parser.unread and not response.more_body:
                self._count_unsolicited()
            result = result_of(response)
            keep = response.keep_alive
            if response.more_body and result is AttemptResult.SUCCEEDED and on_response_start is not None:
                first_bytes_after = self._clock() - started_at
                self._recorder.note(
                    Occurrence.RESPONSE_STARTED,
                    request.headers.get(protocol.REQUEST_ID, ""),
                    endpoint=endpoint,
                    after=round(first_bytes_after, 4),
                    received=parser.body_received,
                    length=parser.length,
                )
                download = Download(self._streams, connection, parser, response)
                response = replace(
                    response, body=b""
                )  # the download has it, and drops it once it is forwarded
                on_response_start(download)
                await download.ended
                # Guards against the rest of a response whose client has gone being read as the next response.
                keep = download.finished and parser.connection_reusable() and not download.moved
        except AttemptWithheldError as error:
            result, keep, why = AttemptResult.NOT_SENT, not writing, str(error)
        except NoDescriptorError as error:
            result, why = AttemptResult.NOT_SENT, str(error)
        except RequestNotSentError as error:
            result, why = AttemptResult.NO_CONNECTION, str(error)
        except ConnectionLostError as error:
            result, why = AttemptResult.RESET, str(error)
            if connection is not None and connection.has_served:
                self._reset_at = self._clock()
        except MalformedMessageError as error:
            why = str(error)
            # The endpoint's own fault: a malformed response further down the call chain arrives as an error.
            result = AttemptResult.MALFORMED
        except TimeoutError:
            result = AttemptResult.TIMED_OUT if written else AttemptResult.NO_CONNECTION
        finally:
            if connection is not None:
                self._release(endpoint, connection, keep)
        report = response.headers.get(protocol.ENDPOINT_LOAD) if response is not None else None
        self._recorder.note(
            Occurrence.ATTEMPT_ENDED,
            request.headers.get(protocol.REQUEST_ID, ""),
            endpoint=endpoint,
            result=result.value,
            after=round(self._clock() - started_at, 4),
            received=parser.body_received,
            kept=str(keep),
            why=why or None,
        )
        if result is AttemptResult.TIMED_OUT and parser.in_body:
            self._counters.add("responses_abandoned")
        # The latency of a large response is that of its first bytes.
        seconds = self._clock() - started_at if first_bytes_after is None else first_bytes_after
        outcome = ExchangeOutcome(result, seconds, parse_load_report(report) if report else None)
        return ExchangeResult(outcome, response)

    def _prepare(
        self, attempt: AttemptSpec, request: Request, connection: UpstreamConnection, timeout: float
    ) -> Request:
        """Returns the request as it may be written at this moment, with the deadline that remains.

        Guards against what has changed while the connection was opened: the endpoint list, the client, the
        time left, and the outcomes of earlier attempts.

        Raises:
            RequestNotSentError: The endpoint is not listed any more.
            AttemptWithheldError: Another precondition is not met.
        """
        now = self._clock()
        is_probe = protocol.REQUEST_ID not in request.headers
        facts = AttemptFacts(
            now=now,
            # The timeout of a request with an upload starts at the last byte of the body.
            expires_at=attempt.expires_at if attempt.upload is None else attempt.upload_expires_at(),
            is_wanted=attempt.is_wanted(),
            client_connected=attempt.client_connected(),
            listed=self._is_current(attempt.endpoint, connection),
            repeatable_until=attempt.repeatable_until(),
        )
        refusal = may_write(facts)
        time_left = min(timeout, deadline_to_send(now, facts.expires_at))
        if refusal is None and attempt.acquire_quota is not None and not attempt.acquire_quota(time_left):
            refusal = Refusal.NO_QUOTA
        if refusal is not None:
            self._withhold(attempt, request, refusal)
        if is_probe:
            return request
        attempt.on_written(time_left)
        request_id = request.headers[protocol.REQUEST_ID]
        self._recorder.note(
            Occurrence.ATTEMPT_WRITTEN,
            request_id,
            endpoint=attempt.endpoint,
            told=round(time_left, 3),
            kept=str(connection.has_served),
        )
        deadline_ms = str(max(1, int(time_left * 1000)))
        return replace(request, headers={**request.headers, protocol.DEADLINE_MS: deadline_ms})

    def _withhold(self, attempt: AttemptSpec, request: Request, refusal: Refusal) -> NoReturn:
        """Counts and records why an attempt is not sent, and raises the error for it."""
        self._counters.add(f"attempts_withheld_{refusal.name.lower()}")
        request_id = request.headers.get(protocol.REQUEST_ID, "")
        self._recorder.note(
            Occurrence.ATTEMPT_WITHHELD, request_id, endpoint=attempt.endpoint, why=refusal.value
        )
        if refusal is Refusal.NOT_LISTED:
            raise RequestNotSentError(refusal.value)
        raise AttemptWithheldError(refusal.value)

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

    def _may_reuse(self, request: Request) -> bool:
        """Whether a reused connection is safe enough for the request.

        Guards against lost requests where upstreams drop idle connections without notice: the next request on
        such a connection is reset.
        """
        return request.method == "GET" or self._clock() - self._reset_at > NO_REUSE_AFTER_RESET_S

    async def _acquire(self, endpoint: str, reuse: bool) -> UpstreamConnection:
        """Returns the most recently used connection that can be reused, if `reuse` is set; else a new one."""
        address = self._addresses.get(endpoint)
        if address is None:
            raise RequestNotSentError("no longer in the list")
        idle = self._idle.get(endpoint, deque()) if reuse else deque()
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
        self._release(endpoint, pending.connection, keep=succeeded)

    def _count_unsolicited(self) -> None:
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

    def _is_current(self, endpoint: str, connection: UpstreamConnection) -> bool:
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

    def _release(self, endpoint: str, connection: UpstreamConnection, keep: bool) -> None:
        if keep and self._is_current(endpoint, connection):
            connection.mark_idle(self._clock(), self._count_unsolicited)
            self._idle.setdefault(endpoint, deque()).append(connection)
        else:
            self._close(connection)

    def _close(self, connection: UpstreamConnection) -> None:
        connection.close()
        self._descriptors.release()
        self._counters.add("connections_closed")
