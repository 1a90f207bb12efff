"""One client's connection: its requests are read, served one after another, and answered."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, NamedTuple

from tornado.iostream import StreamClosedError

from notchjunction import protocol
from notchjunction.balancing.engine import RequestSpec
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.net.body_streaming import Download, Upload
from notchjunction.net.client_closing import ConnectionCloser
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_migration import ConnectionMigrator
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.open_request import OpenRequest, Response, client_error
from notchjunction.net.request_handler import (
    QuotaPermits,
    RequestHandler,
    forwarded_response,
    internal_error,
    request_spec_of,
)
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.response_writer import ResponseWriter
from notchjunction.net.stream_state import MigratedResponse, MigratedUpload, ResponseFraming
from notchjunction.net.upstream_connection import ConnectionLost
from notchjunction.safety.preconditions import AdmissionFacts, Refusal, may_start
from notchjunction.telemetry.flight_recorder import Occurrence

REJECTION_STATUSES = (429, 503)  # these say that nothing was done
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HandledRequest(NamedTuple):
    """What became of a request."""

    handler: RequestHandler | None  # None where the request was answered without the balancer
    response: Response | None  # None once the client has gone


class ClientConnection:
    """Serves one client; at each moment one task runs `converse`, `resume` or `resume_upload`."""

    def __init__(self, context: ClientContext, stream: ClientStream, over_limit: bool) -> None:
        self._context = context
        self._stream = stream
        self._state = state = ConnectionState(over_limit)
        self._intake = RequestIntake(self, context, stream, state)
        self._closer = ConnectionCloser(self, context, stream, state, self._intake)
        self._migrator = ConnectionMigrator(context, stream, state, self._intake)
        self._writer = ResponseWriter(context, stream, state, self._migrator)
        self._open = True
        self._open_request: OpenRequest | None = None
        self._discarding = False  # the request has its response; the rest of its body is read

    def note_queued(self, since: float) -> None:
        """The connection may have been in the queue since then (s), and what has come by now as well."""
        self._intake.note_queued(since)

    async def converse(self) -> None:
        """Serves requests until the connection ends; StreamClosedError where the client has gone."""
        self._stream.set_nodelay(True)
        keep = True
        while keep:
            try:
                request = await self._intake.next_request(self._send_continue)
            except Malformed as error:
                await self._writer.write(encode_answer(self._client_error(error.status)))
                await self._closer.linger()
                return
            if request is None:
                break
            self._state.request_open = True
            keep = await self._respond(request)
            # Also where the connection ends after it: a close would destroy the response on its way to a
            # client that reads it only once all of its body is sent.
            rest = self._intake.parser.going and not (self._state.bad_request or self._state.over_limit)
            if rest and await self._discard_body(keep):
                return
            self._state.request_open = False
            self._intake.start_idle()
            if self._intake.parser.begun:
                await asyncio.sleep(0)  # guards against a client of many requests at once taking all turns
        await self._closer.linger()

    async def _send_continue(self) -> None:
        await self._writer.write(CONTINUE)

    async def _respond(self, request: Request) -> bool:
        """Serves one request; whether the connection can be used again."""
        response: Response | None = self._answer_directly(request)
        handler: RequestHandler | None = None
        if response is None:
            handler, response = await self._handle_request(request)
        if response is None:
            return False
        self._record_response(request, handler, response)
        closes = self._context.closing_announced and (
            self._intake.parser.going or not self._intake.has_more()
        )
        keep = request.keep and not self._state.over_limit and not closes
        if isinstance(response, Download):
            assert handler is not None
            return await self._stream_response(request, handler, response, keep)
        keep = keep and response.keep
        await self._writer.write(encode_answer(replace(response, keep=keep)))
        return keep

    def _record_response(self, request: Request, handler: RequestHandler | None, response: Response) -> None:
        status = response.beginning.status if isinstance(response, Download) else response.status
        recorder = self._context.counters.recorder
        recorder.note(
            Occurrence.REQUEST_ANSWERED, request.headers.get(protocol.REQUEST_ID, ""), status=status
        )
        if handler is not None:
            rejected = status in REJECTION_STATUSES
            handler.check(handler.ledger.response_sent(self._context.clock(), rejected), status=status)

    # Closing, by the listener and at the end of the connection's task.

    def close(self) -> None:
        """Closes the connection: the one place where a client's descriptor is given back."""
        if self._open:
            self._open = False
            self._context.counters.recorder.note(
                Occurrence.CLIENT_CONNECTION_CLOSED, why=self._close_reason()
            )
            if self._open_request is not None:
                handler = self._open_request.handler
                handler.check(handler.ledger.connection_closed())
            self._stream.close()
            self._context.phases.leave(self)
            self._context.descriptors.give_back_caller()
            self._context.counters.add("client_connections_closed")

    def _close_reason(self) -> str:
        if self._state.bad_request:
            return "bad request"
        if self._state.closing:
            return "ended by the node"
        return "ended by the client" if self._stream.closed() else "given up"

    def end_if_idle(self) -> None:
        """Ends the sending where no request is open; the connection's task reads on for a moment."""
        if self._closer.is_idle():
            self._closer.end_sending_and_close_later()

    def reject_partial_head(self) -> None:
        """Answers 408 to a head under way and ends the sending, unless more of the head has just come."""
        if self._closer.is_idle_in_head():
            self._stream.write(encode_answer(self._client_error(408)))
            self._closer.end_sending_and_close_later()

    def close_if_idle(self) -> bool:
        """Closes the connection now where no request is open on it; whether it did."""
        if not self._closer.end_sending_and_discard():
            return False
        self.close()
        return True

    # One request, from its head to its response.

    def _answer_directly(self, request: Request) -> Answer | None:
        """The answer to a readiness check, or to a request of no use; None for one to be balanced."""
        if request.path == protocol.READY_PATH and request.method == "GET":
            return Answer(200 if self._context.ready() and not self._context.draining else 503)
        if request.path != protocol.REQUEST_PATH and not request.path.startswith(protocol.REQUEST_PATH + "/"):
            return self._client_error(404)
        return self._client_error(405) if request.method not in ("GET", "POST") else None

    async def _handle_request(self, request: Request) -> HandledRequest:
        """Has a request balanced, if it is sound and may start."""
        waited = 0.0 if request.more else self._context.clock() - self._intake.arrived_at
        spec = request_spec_of(request, waited, self._context.request_classes)
        if spec is None:
            return HandledRequest(None, self._client_error(400))
        request_id = request.headers[protocol.REQUEST_ID]
        refusal = may_start(AdmissionFacts(self._state.closing, is_duplicate=request_id in self._context.ids))
        if refusal is Refusal.CONNECTION_CLOSING:
            # Guards against a request that crosses the end of its connection: no response could be given.
            return HandledRequest(None, None)
        if refusal is not None:
            # Guards against one request's response being mistaken for another's, here and at endpoints.
            return HandledRequest(None, self._client_error(409))
        self._context.counters.add("requests_received")
        self._context.counters.recorder.note(
            Occurrence.REQUEST_ACCEPTED, request_id, left=round(spec.time_left, 3), waited=round(waited, 4)
        )
        if self._state.over_limit:
            self._context.counters.add("responses_rejected")
            return HandledRequest(None, Answer(503))
        self._context.ids.add(request_id)
        try:
            return await self._balance(request, spec)
        finally:
            self._context.ids.discard(request_id)

    async def _balance(self, request: Request, spec: RequestSpec) -> HandledRequest:
        """Takes a request through the quotas of the fleet and the balancer to its response."""
        upload = Upload(self._context.streams) if request.more else None
        permits: QuotaPermits | None = None
        try:
            if self._context.admit is not None:
                admitted = await self._context.admit(spec)
                if isinstance(admitted, Answer):
                    self._context.counters.add("responses_rejected")
                    return HandledRequest(None, admitted)
                permits, spec = admitted
            handler = self._context.start_request(spec, request, upload, permits)
            self._open_request = OpenRequest(self._context, self._stream, self._intake, handler, upload)
            try:
                return HandledRequest(handler, await self._open_request.response())
            except BaseException:
                # Guards against attempts that go on for a request that nobody waits for.
                handler.withdraw()
                raise
        except StreamClosedError:
            raise
        except Exception as error:
            self._context.counters.add_failure("request handler failed", error)
            return HandledRequest(None, internal_error(self._context.counters))
        finally:
            self._open_request = None
            if permits is not None:
                permits.close()
            if upload is not None:
                upload.close()

    def _client_error(self, status: int) -> Answer:
        return client_error(self._context, self._state, status)

    # Bodies past the response's head, of either side.

    async def _stream_response(
        self, request: Request, handler: RequestHandler, download: Download, keep: bool
    ) -> bool:
        """Passes a large response on as it comes and as the client reads; whether the connection is kept."""
        head = forwarded_response(download.beginning)
        keep = keep and (head.length is not None or request.chunks)
        framing = ResponseFraming(head.length, request.chunks, keep)
        try:
            await self._writer.write(encode_answer(replace(head, keep=keep), request.chunks))
            return await self._writer.write_body(download, framing)
        except (ConnectionLost, Malformed) as error:
            download.close(error)
            raise self._writer.truncate(framing) from error
        except BaseException:
            handler.withdraw()
            raise
        finally:
            download.close()

    async def _discard_body(self, keep: bool) -> bool:
        """Reads the rest of a body whose request has its response, and throws it away.

        Returns whether the connection is over here: it has moved, or the rest is not waited for.
        """
        self._discarding = True
        while not self._is_body_over():
            if self._state.closing:
                await self._closer.linger()
                return True
            if self._migrator.is_due():
                if self._migrator.move_upload(keep):
                    return True
                await self._migrator.pause()
            if self._state.upload_rejected and self._migrator.stays():
                break  # the process ends, and nobody can go on with it
            moves = asyncio.ensure_future(self._context.migrating.wait())
            reading = self._intake.read(self._context.streams.piece())
            late = await self._intake.wait(reading, *([] if self._state.pinned else [moves]))
            moves.cancel()
            if reading.done():
                self._intake.feed()
            elif late:
                self._closer.end_sending()
        self._discarding = False
        return False

    def _is_body_over(self) -> bool:
        """Throws away what has come of a body; whether its end has. Where it is none, the sending ends."""
        try:
            return self._intake.parser.piece()[1]
        except Malformed:
            self._closer.end_sending()
            return False

    def reject_upload(self) -> None:
        """The node ends: a request whose body is not whole is rejected, and one with its response let go."""
        if self._discarding and not self._state.upload_rejected and self._migrator.stays():
            # It had its response a while ago, and nobody goes on with it.
            self._closer.end_sending_and_close_later()
        if self._open_request is not None:
            self._open_request.reject_upload()

    # What another process of the node began.

    async def resume(self, wire: Mapping[str, Any], download: Download) -> None:
        """Passes on a response that another process began to, and goes on as with any client.

        Args:
            wire: The JSON value of a `MigratedResponse`.
            download: The rest of the response, which is closed here in any case.
        """
        self._state.request_open = True
        self._context.phases.leave(self)
        try:
            keep = await self._resume_response(MigratedResponse.from_wire(wire), download)
        finally:
            download.close()
        await self._go_on(keep)

    async def _resume_response(self, migrated: MigratedResponse, download: Download) -> bool:
        """What was unsent and the pieces after it; whether the connection can be used again."""
        try:
            if migrated.unsent:
                await self._writer.write(migrated.unsent)
            return await self._writer.write_body(download, migrated.framing)
        except (ConnectionLost, Malformed) as error:
            self._context.counters.add("streams_truncated")
            raise self._writer.truncate(migrated.framing) from error

    async def resume_upload(self, wire: Mapping[str, Any]) -> None:
        """Reads on a body whose request another process has answered, and goes on as with any client.

        Args:
            wire: The JSON value of a `MigratedUpload`.
        """
        self._state.request_open = True
        self._context.phases.leave(self)
        migrated = MigratedUpload.from_wire(wire)
        self._intake.parser.go_on(migrated.parser)
        if await self._discard_body(migrated.keep):
            return
        await self._go_on(migrated.keep)

    async def _go_on(self, keep: bool) -> None:
        """What another process began is done: from here on as with any client."""
        self._state.request_open = False
        if keep and not self._context.closing_announced:
            self._intake.start_idle()
            await self.converse()
        else:
            await self._closer.linger()
