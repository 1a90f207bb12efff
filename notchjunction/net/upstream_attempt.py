"""One attempt at an endpoint, or a probe: from its connection to its outcome."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import NoReturn, Protocol

from notchjunction import protocol
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
from notchjunction.net.upstream_connection import (
    UNLIMITED_MEMORY,
    AttemptWithheldError,
    ConnectionLostError,
    ExchangeHooks,
    NoDescriptorError,
    RequestNotSentError,
    ResponseMemory,
    UpstreamConnection,
)
from notchjunction.safety.preconditions import AttemptFacts, Refusal, deadline_to_send, may_write
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.flight_recorder import Fact, Occurrence

# The others are dropped: some endpoints send very many.
KEPT_RESPONSE_HEADERS = protocol.FORWARDED_RESPONSE_HEADERS | protocol.USED_RESPONSE_HEADERS


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


class ConnectionPool(Protocol):
    """The connections to all endpoints."""

    async def acquire(self, endpoint: str, request: Request) -> UpstreamConnection:
        """Returns a connection for the request.

        Raises:
            RequestNotSentError: There is none.
        """
        ...

    def release(self, endpoint: str, connection: UpstreamConnection, keep: bool) -> None:
        """Takes a connection back, to be used again if `keep` is set."""

    def is_current(self, endpoint: str, connection: UpstreamConnection) -> bool:
        """Whether the connection leads to the present address of an endpoint that may get new requests."""
        ...

    def note_reset(self) -> None:
        """Records that a connection was reset in use."""

    def count_unsolicited(self) -> None:
        """Counts bytes that an upstream sent without a request."""


@dataclass(frozen=True, slots=True)
class ExchangeServices:
    """What a node provides to its attempts."""

    clock: Callable[[], float]  # s
    counters: Counters
    streams: StreamBuffers


class AttemptExchange:
    """Carries out one attempt. Whether it may be sent is decided at the moment of writing."""

    def __init__(
        self, pool: ConnectionPool, services: ExchangeServices, attempt: AttemptSpec, request: Request
    ) -> None:
        self._pool = pool
        self._services = services
        self._attempt = attempt
        self._request = request
        self._started_at = services.clock()
        # The client's pace limits an upload; the timeout for the response starts when the upload ends.
        self._timeout = attempt.expires_at - self._started_at
        self._limit = asyncio.timeout(None if attempt.upload is not None else self._timeout)
        self._parser = ResponseReader(
            max_body=MAX_BUFFERED_BODY_BYTES if attempt.on_response_start is None else MAX_BODY_BYTES,
            kept_headers=KEPT_RESPONSE_HEADERS,
        )
        self._connection: UpstreamConnection | None = None
        self._response: Response | None = None
        self._writing = False  # the first byte of the request may have been written
        self._written = False  # its last byte has been written
        self._keep = False  # the connection can be used again
        self._first_bytes_after: float | None = None  # s; of a streamed response

    async def run(self) -> ExchangeResult:
        """Carries the attempt out; returns its outcome, with the response if that is complete."""
        why: str | None = None  # the reason of a failure
        try:
            response = await self._receive_response()
            result = result_of(response)
            if response.more_body and result is AttemptResult.SUCCEEDED:
                await self._stream_response(response)
        except AttemptWithheldError as error:
            result, why = AttemptResult.NOT_SENT, str(error)
            self._keep = not self._writing
        except NoDescriptorError as error:
            result, why = AttemptResult.NOT_SENT, str(error)
        except RequestNotSentError as error:
            result, why = AttemptResult.NO_CONNECTION, str(error)
        except ConnectionLostError as error:
            result, why = AttemptResult.RESET, str(error)
            if self._connection is not None and self._connection.has_served:
                self._pool.note_reset()
        except MalformedMessageError as error:
            # The endpoint's own fault: a malformed response further down the call chain arrives as an error.
            result, why = AttemptResult.MALFORMED, str(error)
        except TimeoutError:
            result = AttemptResult.TIMED_OUT if self._written else AttemptResult.NO_CONNECTION
        finally:
            if self._connection is not None:
                self._pool.release(self._attempt.endpoint, self._connection, self._keep)
        return self._end(result, why)

    async def _receive_response(self) -> Response:
        """Sends the request; returns the response, or the beginning of one that is streamed."""
        async with self._limit:
            self._connection = await self._pool.acquire(self._attempt.endpoint, self._request)
            # No other task runs between this check and the first byte written.
            self._request = self._prepare(self._connection)
            self._writing = True
            hooks = ExchangeHooks(
                on_written=self._all_written,
                on_head=self._attempt.on_response_head,
                is_wanted=self._attempt.is_still_wanted,
                time_left=self._time_left,
            )
            upload, memory = self._attempt.upload, self._attempt.memory
            response = await self._connection.exchange(self._request, self._parser, upload, hooks, memory)
        if self._parser.unread and not response.more_body:
            self._pool.count_unsolicited()
        self._keep = response.keep_alive
        self._response = response
        return response

    def _all_written(self) -> None:
        self._written = True
        if self._attempt.upload is not None:
            self._started_at = self._services.clock()
            self._limit.reschedule(asyncio.get_running_loop().time() + self._timeout)

    def _time_left(self) -> float:
        times_out_at = self._limit.when()
        now = asyncio.get_running_loop().time()
        until_timeout = math.inf if times_out_at is None else times_out_at - now
        # The client's time, which may end before the timeout where an upload took long.
        return min(until_timeout, self._attempt.upload_expires_at() - self._services.clock())

    async def _stream_response(self, response: Response) -> None:
        """Hands a large response over, and waits until it has been forwarded."""
        assert self._connection is not None and self._attempt.on_response_start is not None
        self._first_bytes_after = self._services.clock() - self._started_at
        self._note(
            Occurrence.RESPONSE_STARTED,
            after=round(self._first_bytes_after, 4),
            received=self._parser.body_received,
            length=self._parser.length,
        )
        download = Download(self._services.streams, self._connection, self._parser, response)
        # The download has the beginning, and drops it once it is forwarded.
        self._response = replace(response, body=b"")
        self._attempt.on_response_start(download)
        await download.ended
        # Guards against the rest of a response whose client has gone being read as the next response.
        self._keep = download.finished and self._parser.connection_reusable() and not download.moved

    def _end(self, result: AttemptResult, why: str | None) -> ExchangeResult:
        """Records the end of the attempt, and returns its outcome."""
        passed = self._services.clock() - self._started_at
        self._note(
            Occurrence.ATTEMPT_ENDED,
            result=result.value,
            after=round(passed, 4),
            received=self._parser.body_received,
            kept=str(self._keep),
            why=why or None,
        )
        if result is AttemptResult.TIMED_OUT and self._parser.in_body:
            self._services.counters.add("responses_abandoned")
        # The latency of a large response is that of its first bytes.
        seconds = passed if self._first_bytes_after is None else self._first_bytes_after
        report = self._response.headers.get(protocol.ENDPOINT_LOAD) if self._response is not None else None
        outcome = ExchangeOutcome(result, seconds, parse_load_report(report) if report else None)
        return ExchangeResult(outcome, self._response)

    def _note(self, occurrence: Occurrence, **facts: Fact) -> None:
        request_id = self._request.headers.get(protocol.REQUEST_ID, "")
        recorder = self._services.counters.recorder
        recorder.note(occurrence, request_id, endpoint=self._attempt.endpoint, **facts)

    def _prepare(self, connection: UpstreamConnection) -> Request:
        """Returns the request as it may be written at this moment, with the deadline that remains.

        Guards against what has changed while the connection was opened: the endpoint list, the client, the
        time left, and the outcomes of earlier attempts.

        Raises:
            RequestNotSentError: The endpoint is not listed any more.
            AttemptWithheldError: Another precondition is not met.
        """
        attempt, request = self._attempt, self._request
        now = self._services.clock()
        is_probe = protocol.REQUEST_ID not in request.headers
        facts = AttemptFacts(
            now=now,
            # The timeout of a request with an upload starts at the last byte of the body.
            expires_at=attempt.expires_at if attempt.upload is None else attempt.upload_expires_at(),
            is_wanted=attempt.is_wanted(),
            client_connected=attempt.client_connected(),
            listed=self._pool.is_current(attempt.endpoint, connection),
            repeatable_until=attempt.repeatable_until(),
        )
        refusal = may_write(facts)
        time_left = min(self._timeout, deadline_to_send(now, facts.expires_at))
        if refusal is None and attempt.acquire_quota is not None and not attempt.acquire_quota(time_left):
            refusal = Refusal.NO_QUOTA
        if refusal is not None:
            self._withhold(refusal)
        if is_probe:
            return request
        attempt.on_written(time_left)
        self._note(Occurrence.ATTEMPT_WRITTEN, told=round(time_left, 3), kept=str(connection.has_served))
        deadline_ms = str(max(1, int(time_left * 1000)))
        return replace(request, headers={**request.headers, protocol.DEADLINE_MS: deadline_ms})

    def _withhold(self, refusal: Refusal) -> NoReturn:
        """Counts and records why an attempt is not sent, and raises the error for it."""
        self._services.counters.add(f"attempts_withheld_{refusal.name.lower()}")
        self._note(Occurrence.ATTEMPT_WITHHELD, why=refusal.value)
        if refusal is Refusal.NOT_LISTED:
            raise RequestNotSentError(refusal.value)
        raise AttemptWithheldError(refusal.value)
