"""Handles one request: carries out the engine's commands until the final response, and owns the attempts."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Protocol

from notchjunction import protocol
from notchjunction.balancing.engine import (
    BalancerEngine,
    CancelAttempt,
    DropRequest,
    ExchangeOutcome,
    FailRequest,
    ForwardResponse,
    RejectRequest,
    RequestSpec,
    SendAttempt,
    StartResponse,
)
from notchjunction.balancing.interface import AttemptResult, Idempotency
from notchjunction.http1.messages import Request, Response
from notchjunction.net.body_streaming import Download, Upload
from notchjunction.net.upstream import UpstreamPool
from notchjunction.net.upstream_attempt import AttemptSpec, ExchangeResult
from notchjunction.net.upstream_connection import (
    UNLIMITED_MEMORY,
    ConnectionLostError,
    ResponseMemory,
)
from notchjunction.safety.invariants import RequestLedger, Violation
from notchjunction.safety.preconditions import MAX_PROCESS_DELAY_S
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.flight_recorder import Occurrence

IDENTIFIER = re.compile(r"[!-~]{1,128}")  # a valid request id or idempotency key
MAX_MILLISECOND_DIGITS = 6  # no client waits for over a quarter of an hour
MAX_MICROSECOND_DIGITS = 8  # no request takes over a minute and a half of work
# How long after its timeout a request may stay unanswered; by then it was lost by a failure of the node.
# Longer than a process may be delayed: the last command may be due in the same late iteration of the loop.
RESPONSE_GRACE_S = MAX_PROCESS_DELAY_S + 0.05
UNANSWERED = (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED, AttemptResult.UNKNOWN)
FAILED_RESPONSE = Response(502)
INTERNAL_ERROR_RESPONSE = Response(500)


def no_time_elapsed() -> float:
    """Returns 0 s, for a request without an incomplete body."""
    return 0.0


def internal_error(counters: Counters) -> Response:
    """Counts a request that the node itself failed, and returns the response for it."""
    counters.add("responses_internal_error")
    return INTERNAL_ERROR_RESPONSE


def forwarded_response(response: Response) -> Response:
    """Returns the response as the client gets it: its status, its body and the headers that are forwarded.

    Guards against unusual headers of an endpoint.
    """
    headers = {
        name: value for name, value in response.headers.items() if name in protocol.FORWARDED_RESPONSE_HEADERS
    }
    return replace(response, headers=headers, keep_alive=True)


def rejection(retry_after: float) -> Response:
    """Returns the response for a rejected request; `retry_after` is in s, and 0 leaves the header out."""
    return Response(503, {"retry-after": f"{retry_after:.3f}"} if retry_after > 0 else {})


class QuotaPermits(Protocol):
    """The permits of a request under the fleet's quotas."""

    def acquire(self, attempt: int, timeout: float) -> bool:
        """Acquires permits for an attempt; returns whether it may be written.

        `timeout` is the time in s that the attempt's endpoint gets as its deadline.
        """

    def attempt_ended(self, attempt: int, answered: bool) -> None:
        """Frees the permits of an attempt that has ended.

        Without an answer they stay in use until its deadline, as its endpoint may still be working on it.
        """

    def close(self) -> None:
        """Ends the acquisition of permits; attempts in flight keep theirs until they end."""


@dataclass(frozen=True, slots=True)
class RequestResources:
    """What a request uses; closed by the code that accepted it."""

    upload: Upload | None = None  # the rest of its body, if it is streamed
    permits: QuotaPermits | None = None  # under the fleet's quotas
    memory: ResponseMemory = UNLIMITED_MEMORY


class RequestHandler:
    """Handles one request from its submission to the engine to its final response."""

    def __init__(
        self,
        engine: BalancerEngine,
        upstreams: UpstreamPool,
        counters: Counters,
        spec: RequestSpec,
        request: Request,
        resources: RequestResources | None = None,
        time_to_shutdown: Callable[[], float] = lambda: math.inf,
    ) -> None:
        resources = resources or RequestResources()
        self._engine = engine
        self._upstreams = upstreams
        self._counters = counters
        self._request = request
        self._upload = resources.upload
        self._memory = resources.memory
        self._time_to_shutdown = time_to_shutdown  # s until the node shuts down
        self._permits = resources.permits
        self._client_connected: Callable[[], bool] = lambda: True
        self._downloads: dict[int, Download] = {}
        self._completion: asyncio.Task[None] | None = None
        self._timeout: asyncio.Timeout | None = None
        self._tasks: dict[int, asyncio.Task[ExchangeResult]] = {}
        self._ran: set[int] = set()  # attempts that were written, without those that certainly never ran
        self._answered: set[int] = set()  # attempts whose endpoints have sent a response, or its beginning
        self._responses: dict[int, Response] = {}
        self._failed = False
        self.time_left = max(0.0, spec.time_left)  # s; counts from the last byte of the request
        self._response_timeout = self.time_left + RESPONSE_GRACE_S
        self.request_id = request.headers.get(protocol.REQUEST_ID, "")
        deadline = engine.now() + spec.time_left if spec.complete else math.inf
        self._upload_expires_at = math.inf  # s; known once the last byte is received
        # Returns for how long (s) all of an incomplete body may have been sent already.
        self.upload_elapsed: Callable[[], float] = no_time_elapsed
        self.ledger = RequestLedger(spec.idempotency, deadline, engine.now())
        self._handle = engine.submit(spec)

    async def run(self, client_connected: Callable[[], bool] = lambda: True) -> Response | Download | None:
        """Returns the final response, complete or streamed; None if the client has gone.

        `client_connected` checks the connection itself, whatever has been read from it so far.
        """
        self._client_connected = client_connected
        try:
            upload_in_progress = self._upload is not None and not self._upload.complete
            async with asyncio.timeout(
                None if upload_in_progress else self._response_timeout
            ) as self._timeout:
                return await self._follow_commands()
        except Exception as error:
            self._fail(error)
            for attempt in list(self._tasks):
                self._cancel_attempt(attempt)
            for download in self._downloads.values():
                # Guards against a download that is never closed: it would count as an open stream forever.
                download.close(ConnectionLostError("not passed on"))
            return internal_error(self._counters)

    def report_body_complete(self, elapsed: float = 0.0) -> None:
        """Reports that the last byte of the body has been received; the timeout starts now.

        `elapsed` is the time (s) for which it may have waited to be read, which counts.
        """
        time_left = max(0.0, self.time_left - elapsed)
        self._upload_expires_at = self._engine.now() + time_left
        self.ledger.deadline_at = self._upload_expires_at
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time() + time_left + RESPONSE_GRACE_S)
        try:
            self._engine.report_body_complete(self._handle, min(time_left, self._time_to_shutdown()))
        except Exception as error:
            self._fail(error)

    async def _follow_commands(self) -> Response | Download | None:
        while True:
            match await self._engine.next_command(self._handle):
                case SendAttempt() as command:
                    self._send(command)
                case CancelAttempt(attempt):
                    self._cancel_attempt(attempt)
                case StartResponse(attempt):
                    self._counters.add("responses_streamed")
                    self._completion = asyncio.create_task(self._follow_streamed())
                    return self._downloads[attempt]
                case ForwardResponse(attempt):
                    self._counters.add("responses_succeeded")
                    return forwarded_response(self._responses[attempt])
                case RejectRequest(retry_after):
                    self._counters.add("responses_rejected")
                    return rejection(retry_after)
                case FailRequest():
                    self._counters.add("responses_failed")
                    return FAILED_RESPONSE
                case DropRequest():
                    return internal_error(self._counters) if self._failed else None

    async def _follow_streamed(self) -> None:
        """Carries out commands after a streamed response has started; the last one says how it ended."""
        while True:
            match await self._engine.next_command(self._handle):
                case CancelAttempt(attempt):
                    self._cancel_attempt(attempt)
                case ForwardResponse():
                    return self._counters.add("responses_succeeded")
                case RejectRequest() | FailRequest():
                    return self._counters.add("responses_truncated")
                case DropRequest():
                    return self._counters.add("requests_cancelled")

    def cancel(self) -> None:
        """Drops the request, because the client has gone or the node failed; only a last command follows."""
        try:
            self._engine.cancel(self._handle)
        except Exception as error:
            self._counters.add_failure("request handler failed", error)

    def _is_client_connected(self) -> bool:
        """Checks at the moment of writing: the client's end may have arrived without having been read."""
        client_connected = self._client_connected()
        if not client_connected:
            self.ledger.client_gone = True
            self.cancel()
        return client_connected

    def _send(self, command: SendAttempt) -> None:
        self._counters.add("attempts_first" if command.attempt == 0 else "attempts_retried")
        permits, attempt = self._permits, command.attempt
        self._counters.recorder.note(
            Occurrence.ATTEMPT_ORDERED,
            self.request_id,
            endpoint=command.endpoint,
            attempt=attempt,
            within=round(command.expires_at - self._engine.now(), 3),
        )
        spec = AttemptSpec(
            command.endpoint,
            command.expires_at,
            upload=self._upload,
            memory=self._memory,
            upload_expires_at=self._latest_upload_end,
            on_response_head=partial(self._engine.report_response_received, self._handle, attempt),
            on_response_start=partial(self._response_started, attempt),
            acquire_quota=partial(permits.acquire, attempt) if permits is not None else None,
            is_wanted=partial(self._engine.is_wanted, self._handle, attempt),
            client_connected=self._is_client_connected,
            repeatable_until=partial(self._engine.repeatable_until, self._handle, attempt),
            on_written=partial(self._attempt_written, attempt, command.endpoint),
        )
        coroutine = self._upstreams.attempt(spec, self._request)
        task = asyncio.create_task(coroutine)
        self._tasks[attempt] = task
        # Reported here and not inside the task: a task that is cancelled before its first step runs no code.
        task.add_done_callback(lambda _: self._attempt_done(attempt, task))

    def _latest_upload_end(self) -> float:
        """Returns when (s) the client's time ends; inf if its last byte has certainly not been sent."""
        if self._upload_expires_at < math.inf:
            return self._upload_expires_at
        elapsed = self.upload_elapsed()
        return self._engine.now() + self.time_left - elapsed if elapsed > 0 else math.inf

    def _attempt_written(self, attempt: int, endpoint: str, time_left: float) -> None:
        listed = self._upstreams.is_listed(endpoint)
        now = self._engine.now()
        self._ran.add(attempt)
        self.report_violations(self.ledger.attempt_written(attempt, now, time_left, listed), attempt=attempt)

    def may_run(self, delivered: bool) -> bool:
        """Returns whether an endpoint may run the ended request, or has run it without a response to show.

        Args:
            delivered: Whether the client has got a complete response. Then only attempts count that an
                endpoint may still be working on.
        """
        return bool(self._ran - self._answered if delivered else self._ran)

    def report_violations(self, violations: Iterable[Violation], **facts: float | str | None) -> None:
        """Counts and logs broken invariants."""
        for violation in violations:
            self._counters.add(f"invariant_{violation.value}")
            self._counters.recorder.report(violation.value, self.request_id, **facts)

    def _response_started(self, attempt: int, download: Download) -> None:
        self._downloads[attempt] = download
        self._answered.add(attempt)
        if not self._engine.report_response_started(self._handle, attempt):
            download.close(ConnectionLostError("another answer was first"))

    def _cancel_attempt(self, attempt: int) -> None:
        if attempt in self._tasks:
            self._tasks[attempt].cancel()

    def _attempt_done(self, attempt: int, task: asyncio.Task[ExchangeResult]) -> None:
        outcome = ExchangeOutcome(AttemptResult.UNKNOWN, 0.0)
        del self._tasks[attempt]
        if task.cancelled():
            outcome = ExchangeOutcome(AttemptResult.CANCELLED, 0.0)
            self._counters.recorder.note(
                Occurrence.ATTEMPT_ENDED, self.request_id, attempt=attempt, result=outcome.result.value
            )
        elif (error := task.exception()) is not None:
            self._counters.add_failure("attempt failed internally", error)
        else:
            result = task.result()
            outcome = result.outcome
            if result.response is not None:
                self._responses[attempt] = result.response
        if outcome.result.never_ran:
            self._ran.discard(attempt)
        elif not outcome.result.may_still_run:
            self._answered.add(attempt)
        self.ledger.attempt_ended(attempt, outcome.result)
        if self._permits is not None:
            self._permits.attempt_ended(attempt, outcome.result not in UNANSWERED)
        self._counters.add_result("attempts", outcome.result)
        try:
            self._engine.report_attempt(self._handle, attempt, outcome)
        except Exception as failure:
            self._fail(failure)

    def _fail(self, error: Exception) -> None:
        self._counters.add_failure("request handler failed", error)
        self._failed = True
        self.cancel()


def request_spec_of(request: Request, waited: float, request_classes: Collection[str]) -> RequestSpec | None:
    """Reads the request's specification from its headers; `waited` is the time in s that it waited already.

    Returns None if the id, the idempotency key, the request class or the deadline is missing or invalid.
    """
    headers = request.headers
    if not IDENTIFIER.fullmatch(headers.get(protocol.REQUEST_ID, "")) or not IDENTIFIER.fullmatch(
        headers.get(protocol.IDEMPOTENCY_KEY, "-")
    ):
        return None
    if request_classes and headers.get(protocol.REQUEST_CLASS, "") not in request_classes:
        # Guards against unknown request classes: endpoints only reject them, at the cost of valid requests.
        return None
    milliseconds = _whole_number(headers.get(protocol.DEADLINE_MS, ""))
    microseconds = _whole_number(headers.get(protocol.WORK_HINT, ""), MAX_MICROSECOND_DIGITS)
    if milliseconds is None:
        return None
    return RequestSpec(
        request_class=headers.get(protocol.REQUEST_CLASS, ""),
        time_left=milliseconds / 1000 - waited,
        complete=not request.more_body,
        idempotency=idempotency_of(request.method, protocol.IDEMPOTENCY_KEY in headers),
        tenant=headers.get(protocol.TENANT, ""),
        is_client_retry=headers.get(protocol.CLIENT_RETRY) == "1",
        work_hint=None if microseconds is None else microseconds / 1e6,  # sent in microseconds
    )


def _whole_number(text: str, max_digits: int = MAX_MILLISECOND_DIGITS) -> int | None:
    """Parses a whole number; None if it is invalid or too long. A float would accept "nan"."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= max_digits else None


def idempotency_of(method: str, has_key: bool) -> Idempotency:
    """Returns what a second execution does, by the method and by whether there is an idempotency key."""
    if method == "GET":
        return Idempotency.IDEMPOTENT
    return Idempotency.KEYED if has_key else Idempotency.NON_IDEMPOTENT
