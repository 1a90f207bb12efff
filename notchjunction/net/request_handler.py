"""A job: one coroutine that takes its orders until it has its final answer, and owns its dispatches."""

from __future__ import annotations

import asyncio
import math
import re
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
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
from notchjunction.net.upstream import AttemptSpec, ExchangeResult, UpstreamPool
from notchjunction.net.upstream_connection import ConnectionLostError
from notchjunction.safety.invariants import RequestLedger, Violation
from notchjunction.safety.preconditions import MAX_PROCESS_DELAY_S
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.flight_recorder import Occurrence

WORD = re.compile(r"[!-~]{1,128}")  # an id or a number: what is longer or not printable is none
DIGITS_MOST = 6  # digits of milliseconds: over a quarter of an hour is no time that a caller waits
HINT_MOST = 8  # digits of microseconds: over a minute and a half is no work of one job
# s past the abandon time; a job unanswered by then was lost by a failure of the node's own. Over the time
# that a process may be held up: its last order may be due in the same late turn of the loop.
LOST_AFTER = MAX_PROCESS_DELAY_S + 0.05
UNANSWERED = (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED, AttemptResult.UNKNOWN)
WRITTEN_OFF = Response(502)
OWN_FAILURE = Response(500)


def internal_error(counters: Counters) -> Response:
    """The node itself failed at the job, which is answered all the same."""
    counters.add("responses_internal_error")
    return OWN_FAILURE


def forwarded_response(answer: Response) -> Response:
    """Guards against a server's oddities: its body and what that is are the caller's alone."""
    back = {
        name: value for name, value in answer.headers.items() if name in protocol.FORWARDED_RESPONSE_HEADERS
    }
    return replace(answer, headers=back, keep_alive=True)


def rejection(come_back_in: float) -> Response:
    return Response(503, {"retry-after": f"{come_back_in:.3f}"} if come_back_in > 0 else {})


class QuotaPermits(Protocol):
    """What a job may have out under limits of the whole fleet."""

    def acquire(self, attempt: int, timeout: float) -> bool:
        """Whether a dispatch may be written now that its server is told to end within so many seconds."""

    def attempt_ended(self, attempt: int, answered: bool) -> None:
        """It ended; without an answer its server may work on it until its time is over."""

    def close(self) -> None:
        """Nothing more will be written; what is out keeps its rights until it has landed."""


class RequestHandler:
    def __init__(
        self,
        decider: BalancerEngine,
        servers: UpstreamPool,
        counters: Counters,
        ask: RequestSpec,
        request: Request,
        upload: Upload | None = None,
        left: Callable[[], float] = lambda: math.inf,
        rights: QuotaPermits | None = None,
    ) -> None:
        self._decider = decider
        self._servers = servers
        self._counters = counters
        self._request = request
        self._upload = upload
        self._left = left  # s until the node itself ends
        self._rights = rights  # under limits of the whole fleet; whoever took the job gives them back
        self._there: Callable[[], bool] = lambda: True
        self._downloads: dict[int, Download] = {}
        self._after: asyncio.Task[None] | None = None
        self._limit: asyncio.Timeout | None = None
        self._tasks: dict[int, asyncio.Task[ExchangeResult]] = {}
        self._answers: dict[int, Response] = {}
        self._broken = False
        self._answer_within = max(0.0, ask.time_left) + LOST_AFTER
        self.request_id = request.headers.get(protocol.REQUEST_ID, "")
        deadline = decider.now() + ask.time_left if ask.complete else math.inf
        self._whole_until = math.inf  # s; the end of its time, once the last byte of a large body has come
        self.ledger = RequestLedger(ask.idempotency, deadline, decider.now())
        self._ticket = decider.submit(ask)

    async def run(self, there: Callable[[], bool] = lambda: True) -> Response | Download | None:
        """The final answer, whole or as it comes; None once the caller has gone.

        `there` looks whether the caller is, whatever was heard of it so far.
        """
        self._there = there
        try:
            waits = self._upload is not None and not self._upload.complete
            async with asyncio.timeout(None if waits else self._answer_within) as self._limit:
                return await self._follow_orders()
        except Exception as error:
            self._fail(error)
            for dispatch in list(self._tasks):
                self._stop(dispatch)
            for download in self._downloads.values():
                # Guards against one that nobody closes: it would count among the streams for ever.
                download.close(ConnectionLostError("not passed on"))
            return internal_error(self._counters)

    def report_body_complete(self) -> None:
        """Its last byte has come: its time counts from now."""
        self._whole_until = self._decider.now() + self._answer_within - LOST_AFTER
        self.ledger.deadline_at = self._whole_until
        if self._limit is not None:
            self._limit.reschedule(asyncio.get_running_loop().time() + self._answer_within)
        try:
            self._decider.report_body_complete(self._ticket, self._left())
        except Exception as error:
            self._fail(error)

    async def _follow_orders(self) -> Response | Download | None:
        while True:
            match await self._decider.next_command(self._ticket):
                case SendAttempt() as order:
                    self._send(order)
                case CancelAttempt(dispatch):
                    self._stop(dispatch)
                case StartResponse(dispatch):
                    self._counters.add("responses_streamed")
                    self._after = asyncio.create_task(self._follow_on())
                    return self._downloads[dispatch]
                case ForwardResponse(dispatch):
                    self._counters.add("responses_succeeded")
                    return forwarded_response(self._answers[dispatch])
                case RejectRequest(come_back_in):
                    self._counters.add("responses_rejected")
                    return rejection(come_back_in)
                case FailRequest():
                    self._counters.add("responses_failed")
                    return WRITTEN_OFF
                case DropRequest():
                    return internal_error(self._counters) if self._broken else None

    async def _follow_on(self) -> None:
        """What is still ordered once the answer goes on its way; how that ends is the final answer."""
        while True:
            match await self._decider.next_command(self._ticket):
                case CancelAttempt(dispatch):
                    self._stop(dispatch)
                case ForwardResponse():
                    return self._counters.add("responses_succeeded")
                case RejectRequest() | FailRequest():
                    return self._counters.add("responses_truncated")
                case DropRequest():
                    return self._counters.add("requests_cancelled")

    def cancel(self) -> None:
        """The caller has gone, or the node failed: no orders but the last will come."""
        try:
            self._decider.cancel(self._ticket)
        except Exception as error:
            self._counters.add_failure("request handler failed", error)

    def _caller_there(self) -> bool:
        """Asked at the very writing: the caller's end may have come and not be read yet."""
        there = self._there()
        if not there:
            self.ledger.client_gone = True
            self.cancel()
        return there

    def _send(self, order: SendAttempt) -> None:
        self._counters.add("attempts_first" if order.attempt == 0 else "attempts_retried")
        rights, dispatch = self._rights, order.attempt
        self._counters.recorder.note(
            Occurrence.ATTEMPT_ORDERED,
            self.request_id,
            endpoint=order.endpoint,
            attempt=dispatch,
            within=round(order.expires_at - self._decider.now(), 3),
        )
        attempt = AttemptSpec(
            order.endpoint,
            order.expires_at,
            upload=self._upload,
            upload_expires_at=lambda: self._whole_until,
            on_response_start=partial(self._begun, dispatch),
            acquire_quota=partial(rights.acquire, dispatch) if rights is not None else None,
            is_wanted=partial(self._decider.is_wanted, self._ticket, dispatch),
            client_connected=self._caller_there,
            repeatable_until=partial(self._decider.repeatable_until, self._ticket, dispatch),
            on_written=partial(self._written, dispatch, order.endpoint),
        )
        work = self._servers.attempt(attempt, self._request)
        task = asyncio.create_task(work)
        self._tasks[dispatch] = task
        # Told here and not inside the task: one that is stopped before its first step runs no code.
        task.add_done_callback(lambda _: self._ended(dispatch, task))

    def _written(self, dispatch: int, server: str, told: float) -> None:
        listed = self._servers.is_listed(server)
        now = self._decider.now()
        self.report_violations(self.ledger.attempt_written(dispatch, now, told, listed), attempt=dispatch)

    def report_violations(self, violations: Iterable[Violation], **facts: float | str | None) -> None:
        """Counts and logs what has been broken."""
        for violation in violations:
            self._counters.add(f"invariant_{violation.value}")
            self._counters.recorder.report(violation.value, self.request_id, **facts)

    def _begun(self, dispatch: int, download: Download) -> None:
        self._downloads[dispatch] = download
        if not self._decider.report_response_started(self._ticket, dispatch):
            download.close(ConnectionLostError("another answer was first"))

    def _stop(self, dispatch: int) -> None:
        if dispatch in self._tasks:
            self._tasks[dispatch].cancel()

    def _ended(self, dispatch: int, task: asyncio.Task[ExchangeResult]) -> None:
        ended = ExchangeOutcome(AttemptResult.UNKNOWN, 0.0)
        del self._tasks[dispatch]
        if task.cancelled():
            ended = ExchangeOutcome(AttemptResult.CANCELLED, 0.0)
        elif (error := task.exception()) is not None:
            self._counters.add_failure("attempt failed internally", error)
        else:
            exchanged = task.result()
            ended = exchanged.outcome
            if exchanged.response is not None:
                self._answers[dispatch] = exchanged.response
        self.ledger.attempt_ended(dispatch, ended.result)
        if self._rights is not None:
            self._rights.attempt_ended(dispatch, ended.result not in UNANSWERED)
        self._counters.add_result("attempts", ended.result)
        try:
            self._decider.report_attempt(self._ticket, dispatch, ended)
        except Exception as failure:
            self._fail(failure)

    def _fail(self, error: Exception) -> None:
        self._counters.add_failure("request handler failed", error)
        self._broken = True
        self.cancel()


def request_spec_of(request: Request, waited: float, profiles: Collection[str]) -> RequestSpec | None:
    """The job that a request states; None where its id, number, profile or time is missing or absurd."""
    headers = request.headers
    if not WORD.fullmatch(headers.get(protocol.REQUEST_ID, "")) or not WORD.fullmatch(
        headers.get(protocol.IDEMPOTENCY_KEY, "-")
    ):
        return None
    if profiles and headers.get(protocol.REQUEST_CLASS, "") not in profiles:
        # Guards against work that no server knows: each would only refuse it, at the cost of sound jobs.
        return None
    left = _whole(headers.get(protocol.DEADLINE_MS, ""))
    hint = _whole(headers.get(protocol.WORK_HINT, ""), HINT_MOST)
    if left is None:
        return None
    return RequestSpec(
        request_class=headers.get(protocol.REQUEST_CLASS, ""),
        time_left=left / 1000 - waited,
        complete=not request.more_body,
        idempotency=idempotency_of(request.method, protocol.IDEMPOTENCY_KEY in headers),
        tenant=headers.get(protocol.TENANT, ""),
        is_client_retry=headers.get(protocol.CLIENT_RETRY) == "1",
        work_hint=None if hint is None else hint / 1e6,  # microseconds on sockets
    )


def _whole(text: str, most: int = DIGITS_MOST) -> int | None:
    """A whole number; None where there is none, or an absurd one (a float would let "nan" in)."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= most else None


def idempotency_of(method: str, numbered: bool) -> Idempotency:
    """What method and key say a second run does."""
    if method == "GET":
        return Idempotency.IDEMPOTENT
    return Idempotency.KEYED if numbered else Idempotency.NON_IDEMPOTENT
