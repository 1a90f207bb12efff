"""Serves one client connection: reads its requests, handles them one at a time and writes the responses."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, NamedTuple

from tornado.iostream import StreamClosedError

from notchjunction import protocol
from notchjunction.balancing.engine import RequestSpec
from notchjunction.http1.encoder import encode_response
from notchjunction.http1.messages import MalformedMessageError, Request, Response
from notchjunction.net.body_streaming import Download, Upload
from notchjunction.net.client_closing import ConnectionCloser
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_migration import ConnectionMigrator
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.memory_budget import RequestMemory
from notchjunction.net.open_request import FinalResponse, OpenRequest, client_error
from notchjunction.net.request_handler import (
    QuotaPermits,
    RequestHandler,
    RequestResources,
    forwarded_response,
    internal_error,
    request_spec_of,
)
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.response_writer import ResponseWriter
from notchjunction.net.stream_state import MigratedResponse, MigratedUpload, ResponseFraming
from notchjunction.net.upstream_connection import ConnectionLostError
from notchjunction.safety.preconditions import AdmissionFacts, Refusal, may_start
from notchjunction.telemetry.flight_recorder import Occurrence

# Statuses of responses to requests that did not run.
REJECTION_STATUSES = (429, 503)
# A complete request waits this long for memory, which others free soon.
REQUEST_MEMORY_TIMEOUT_S = 0.3
# The same for a body that is streamed: its client sends meanwhile what the operating system holds. A client
# is answered within 3 s, whether or not there is room.
UPLOAD_MEMORY_TIMEOUT_S = 1.5
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HandledRequest(NamedTuple):
    """The result of handling one request."""

    handler: RequestHandler | None  # None if the balancer did not take the request
    response: FinalResponse | None  # None if the client has gone


class ClientConnection:
    """Serves one client. Its task runs `serve`, `resume` or `resume_upload`."""

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
        self._handler: RequestHandler | None = None  # of the open request
        self._beginning = b""  # of a streamed body that no upload has taken
        self._discarding = False  # the response was sent before the body ended; the rest is read
        self._memory = RequestMemory(context.memory)  # of the open request

    def note_queued(self, since: float) -> None:
        """Records that the connection, and bytes received by now, may have been queued since then (s)."""
        self._intake.note_queued(since)

    async def serve(self) -> None:
        """Serves requests until the connection ends.

        Raises:
            StreamClosedError: The client has gone.
        """
        self._stream.set_nodelay(True)
        while await self._serve_one():
            if self._intake.parser.started:
                await asyncio.sleep(0)  # guards against a pipelining client that starves all others
        # No request is referred to here: an idle or closing connection keeps none in memory.
        await self._closer.linger()

    async def _serve_one(self) -> bool:
        """Serves the next request. Returns whether the connection can be used again."""
        request = await self._next_request()
        if request is None:
            return False
        self._state.request_open = True
        self._state.pinned = False  # what kept an earlier response here says nothing of this one
        if request.more_body:
            self._beginning, request = request.body, replace(request, body=b"")
        keep = await self._respond(request)
        # The rest of the body is read even if the connection ends after this request. A close would reset
        # the connection and destroy the response to a client that sends its whole body before it reads.
        is_body_unread = self._intake.parser.streaming and not (
            self._state.bad_request or self._state.over_limit
        )
        if is_body_unread and await self._discard_body(keep):
            return False
        self._state.request_open = False
        self._intake.start_idle()
        return keep

    async def _next_request(self) -> Request | None:
        """Returns the next request; None if the connection ends without one.

        A client whose bytes are no valid request has got its error by then.
        """
        try:
            return await self._intake.next_request(self._send_continue)
        except MalformedMessageError as error:
            status = error.status
        # Not in the handler above: the error's traceback keeps the objects of the failed parse in memory.
        self._intake.parser.discard()
        self._state.request_open = True  # guards against a close before the response is written
        await self._writer.write(encode_response(self._client_error(status)))
        return None

    async def _send_continue(self) -> None:
        await self._writer.write(CONTINUE)

    async def _respond(self, request: Request) -> bool:
        """Responds to one request. Returns whether the connection can be used again."""
        response = self._direct_response(request)
        if response is None:
            try:
                accepted = await self._accept(request)
                if isinstance(accepted, RequestSpec):
                    return await self._respond_balanced(request, accepted)
            finally:
                self._memory.close()
            response = accepted
        return await self._send_response(request, HandledRequest(None, response))

    async def _respond_balanced(self, request: Request, spec: RequestSpec) -> bool:
        """Passes an accepted request to the balancer and responds; returns as `_respond` does.

        The request's id, which it has taken, stays taken until the last byte of the response is written.
        """
        self._state.request_id = request.headers[protocol.REQUEST_ID]
        self._handler = None
        delivered = False
        try:
            handled = await self._balance(request, spec)
            keep = await self._send_response(request, handled)
            delivered = handled.response is not None
            return keep
        finally:
            handler, self._handler = self._handler, None
            self._free_id(handler is not None and handler.may_run(delivered))

    def _free_id(self, may_run: bool) -> None:
        """Frees the id of the request that has ended, unless it goes on at another process."""
        request_id, self._state.request_id = self._state.request_id, ""
        if not self._state.moved:
            self._context.free_id(request_id, may_run)

    async def _send_response(self, request: Request, handled: HandledRequest) -> bool:
        """Writes a response to its last byte. Returns whether the connection can be used again."""
        handler, response = handled
        if response is None:
            return False
        self._record_response(request, handler, response)
        must_close = self._context.closing_announced and (
            self._intake.parser.streaming or not self._intake.has_more()
        )
        keep = request.keep_alive and not self._state.over_limit and not must_close
        if isinstance(response, Download):
            assert handler is not None
            return await self._stream_response(request, handler, response, keep)
        keep = keep and response.keep_alive
        return await self._writer.write_response(encode_response(replace(response, keep_alive=keep)), keep)

    def _record_response(
        self, request: Request, handler: RequestHandler | None, response: FinalResponse
    ) -> None:
        status = response.beginning.status if isinstance(response, Download) else response.status
        recorder = self._context.counters.recorder
        recorder.note(
            Occurrence.REQUEST_ANSWERED, request.headers.get(protocol.REQUEST_ID, ""), status=status
        )
        if handler is not None:
            rejected = status in REJECTION_STATUSES
            handler.report_violations(
                handler.ledger.response_sent(self._context.clock(), rejected), status=status
            )

    # Closing: by the registry or the listener, and at the end of the connection's task.

    def close(self) -> None:
        """Closes the connection and releases its descriptor. No other code releases a client's descriptor."""
        if self._open:
            self._open = False
            self._context.counters.recorder.note(
                Occurrence.CLIENT_CONNECTION_CLOSED, why=self._close_reason()
            )
            if self._open_request is not None:
                handler = self._open_request.handler
                handler.report_violations(handler.ledger.connection_closed())
            self._stream.close()
            self._intake.close()
            self._memory.close()
            self._context.phases.leave(self)
            self._context.descriptors.release_for_client()
            self._context.counters.add("client_connections_closed")

    def _close_reason(self) -> str:
        if self._state.bad_request:
            return "bad request"
        if self._state.closing:
            return "ended by the node"
        return "ended by the client" if self._stream.closed() else "given up"

    def end_if_idle(self) -> None:
        """Closes the sending side if no request is open. The task reads on until the linger timeout."""
        if self._closer.is_idle():
            self._closer.end_sending_and_close_later()

    def reject_partial_head(self) -> None:
        """Responds 408 to an incomplete request head and closes the sending side, unless bytes are unread."""
        if self._closer.is_idle_in_head():
            self._stream.write(encode_response(self._client_error(408)))
            self._closer.end_sending_and_close_later()

    def stop_discarding(self) -> None:
        """Closes the sending side if the request is answered and only the rest of its body is read."""
        self._context.phases.discarding.pop(self, None)
        if self._discarding:
            self._closer.end_sending_and_close_later()

    def close_if_stopped(self) -> bool:
        """Closes the connection at once if its request is answered and its client sends no more of the body.

        Returns whether it did.
        """
        if not self._discarding or not self._intake.has_stopped():
            return False
        self._closer.end_sending()
        return self.close_if_idle()

    def close_if_idle(self) -> bool:
        """Closes the connection at once if no request is open on it. Returns whether it did."""
        if not self._closer.end_sending_and_discard():
            return False
        self.close()
        return True

    # Handling one request, from its head to its response.

    def _direct_response(self, request: Request) -> Response | None:
        """Returns the response to a readiness check or an invalid target; None if the balancer is needed."""
        if request.path == protocol.READY_PATH and request.method == "GET":
            return Response(200 if self._context.ready() and not self._context.draining else 503)
        if request.path != protocol.REQUEST_PATH and not request.path.startswith(protocol.REQUEST_PATH + "/"):
            return self._client_error(404)
        return self._client_error(405) if request.method not in ("GET", "POST") else None

    async def _accept(self, request: Request) -> RequestSpec | Response | None:
        """Validates a request, and takes its id if it may start.

        Returns its specification, or the response that rejects it, or None if the connection is closing: no
        response could be sent.
        """
        waited = 0.0 if request.more_body else self._intake.waited()
        spec = request_spec_of(request, waited, self._context.request_classes)
        if spec is None:
            return self._client_error(400)
        request_id = request.headers[protocol.REQUEST_ID]
        asked_at = self._context.clock()
        is_duplicate = self._context.request_ids.is_taken(request_id, asked_at)
        refusal = may_start(AdmissionFacts(self._state.closing, is_duplicate))
        if refusal is Refusal.CONNECTION_CLOSING:
            # Guards against a request that arrives as its connection is closed: no response could be sent.
            return None
        shortage = None if refusal is not None else await self._find_shortage(request)
        if shortage is not None:
            self._note_accepted(request_id, spec, waited)
            self._note_refused(request_id, shortage)
            self._context.counters.add("responses_rejected")
            return Response(503)
        if self._state.closing:
            return None  # closed while it waited for memory
        if refusal is not None or not await self._context.take_id(request_id, spec):
            # Guards against responses confused between requests of one id, here and at endpoints.
            self._note_refused(request_id, "its id is taken")
            return self._client_error(409)
        if request.more_body:
            self._intake.note_held_back()
        else:
            spec = replace(spec, time_left=spec.time_left - (self._context.clock() - asked_at))
        self._note_accepted(request_id, spec, waited)
        return spec

    async def _find_shortage(self, request: Request) -> str | None:
        """Reserves what the open request will use; returns what there is not enough of, if anything.

        Guards against more requests than fit into the node's memory limit, and against slow uploads that
        leave no room for other requests.
        """
        if self._state.over_limit:
            return "too many clients are connected"
        is_upload = request.more_body
        if is_upload and self._context.streams.uploads >= self._context.max_uploads:
            self._context.counters.add("uploads_over_limit")
            return "too many uploads are open"
        timeout = UPLOAD_MEMORY_TIMEOUT_S if is_upload else REQUEST_MEMORY_TIMEOUT_S
        if self._context.descriptors.full_for_clients():
            timeout = 0.0  # guards against clients that wait for memory and keep out others
        if await self._memory.open(timeout):
            return None
        self._context.memory_shortage.report("upload" if is_upload else "request")
        return "no memory for it"

    def _note_refused(self, request_id: str, why: str) -> None:
        self._context.counters.recorder.note(Occurrence.REQUEST_REFUSED, request_id, why=why)

    def _note_accepted(self, request_id: str, spec: RequestSpec, waited: float) -> None:
        self._context.counters.add("requests_received")
        self._context.counters.recorder.note(
            Occurrence.REQUEST_ACCEPTED, request_id, left=round(spec.time_left, 3), waited=round(waited, 4)
        )

    async def _balance(self, request: Request, spec: RequestSpec) -> HandledRequest:
        """Applies the fleet's quotas to a request, passes it to the balancer and returns the response."""
        upload = self._begin_upload() if request.more_body else None
        permits: QuotaPermits | None = None
        try:
            if self._context.admit is not None:
                admitted = await self._context.admit(spec)
                if isinstance(admitted, Response):
                    self._context.counters.add("responses_rejected")
                    return HandledRequest(None, admitted)
                permits, spec = admitted
            self._handler = handler = self._context.start_request(
                spec, request, RequestResources(upload, permits, self._memory)
            )
            self._open_request = OpenRequest(self._context, self._stream, self._intake, handler, upload)
            try:
                return HandledRequest(handler, await self._open_request.wait_response())
            except BaseException:
                # Guards against attempts that continue although nothing awaits the response.
                handler.cancel()
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

    def _begin_upload(self) -> Upload:
        beginning, self._beginning = self._beginning, b""
        return Upload(self._context.streams, beginning, self._intake.release_memory)

    def _client_error(self, status: int) -> Response:
        return client_error(self._context, self._state, status)

    # Bodies that are not complete when the response starts.

    async def _stream_response(
        self, request: Request, handler: RequestHandler, download: Download, keep: bool
    ) -> bool:
        """Forwards a large response piece by piece. Returns whether the connection can be used again."""
        head = forwarded_response(download.beginning)
        keep = keep and (head.length is not None or request.accepts_chunked)
        framing = ResponseFraming(head.length, request.accepts_chunked, keep)
        try:
            wire = encode_response(replace(head, keep_alive=keep), request.accepts_chunked)
            if await self._writer.write_part(wire, download, framing):
                return False
            del wire
            head = replace(head, body=b"")
            download.drop_beginning()
            self._memory.release_buffered()
            return await self._writer.write_body(download, framing)
        except (ConnectionLostError, MalformedMessageError) as error:
            download.close(error)
            raise self._writer.truncate(framing) from error
        except BaseException:
            handler.cancel()
            raise
        finally:
            download.close()

    async def _discard_body(self, keep: bool) -> bool:
        """Reads and discards the rest of a request body after its response.

        Returns whether this process has finished with the connection: it migrated or is closing.
        """
        self._discarding = True
        self._beginning = b""
        self._context.phases.discarding[self] = self._context.clock()
        while not self._is_body_over():
            if self._state.closing:
                return True
            if self._migrator.is_due():
                if self._migrator.migrate_upload(keep):
                    return True
                await self._migrator.pause()
            if self._state.upload_rejected and self._migrator.must_stay():
                break  # the node shuts down, and no other process can take the connection
            self._intake.drop_body()
            if self._is_body_over():
                break
            migration = asyncio.ensure_future(self._context.migrating.wait())
            reading = self._intake.read(self._context.streams.piece_size())
            timed_out = await self._intake.wait(reading, *([] if self._state.pinned else [migration]))
            migration.cancel()
            if reading.done():
                self._intake.feed()
            elif timed_out:
                self._closer.end_sending()
        self._discarding = False
        self._context.phases.discarding.pop(self, None)
        return False

    def _is_body_over(self) -> bool:
        """Discards what has been received of a body. Returns whether the body has ended.

        Closes the sending side if the body is malformed.
        """
        try:
            return self._intake.parser.take_piece()[1]
        except MalformedMessageError:
            self._closer.end_sending()
            return False

    def reject_upload(self) -> None:
        """Rejects the open request if its body is incomplete, as the node shuts down.

        If the response has been sent already, the connection is closed instead.
        """
        if self._discarding and not self._state.upload_rejected and self._migrator.must_stay():
            # The response was sent, and no other process can read the rest of the body.
            self._closer.end_sending_and_close_later()
        if self._open_request is not None:
            self._open_request.reject_upload()

    # Connections that another process of the node migrated to this one.

    async def resume(self, wire: Mapping[str, Any], download: Download) -> None:
        """Forwards the rest of a response that another process began, then serves further requests.

        Args:
            wire: The JSON value of a `MigratedResponse`.
            download: The rest of the response. It is closed here in any case.
        """
        self._state.request_open = True
        self._context.phases.leave(self)
        self._memory.adopt()
        delivered = False
        try:
            migrated = MigratedResponse.from_wire(wire)
            self._adopt_id(migrated.request_id)
            keep = await self._resume_response(migrated, download)
            delivered = True
        finally:
            download.close()
            self._memory.close()
            if self._state.request_id:
                self._free_id(may_run=not delivered)
        await self._serve_further(keep)

    def _adopt_id(self, request_id: str) -> None:
        """Takes the id of a request that another process accepted; an earlier release does not tell it."""
        self._state.request_id = request_id
        if request_id:
            self._context.adopt_id(request_id)

    async def _resume_response(self, migrated: MigratedResponse, download: Download) -> bool:
        """Writes the unsent bytes and further pieces. Returns whether the connection can be used again."""
        self._stream.assume_largest_peer_window()
        try:
            if migrated.unsent and await self._writer.write_part(migrated.unsent, download, migrated.framing):
                return False
            return await self._writer.write_body(download, migrated.framing)
        except (ConnectionLostError, MalformedMessageError) as error:
            self._context.counters.add("streams_truncated")
            raise self._writer.truncate(migrated.framing) from error

    async def resume_upload(self, wire: Mapping[str, Any]) -> None:
        """Reads the rest of a body whose request another process answered, then serves further requests.

        Args:
            wire: The JSON value of a `MigratedUpload`.
        """
        self._state.request_open = True
        self._context.phases.leave(self)
        migrated = MigratedUpload.from_wire(wire)
        self._intake.parser.restore(migrated.parser)
        has_finished = await self._discard_body(migrated.keep)
        await self._serve_further(migrated.keep and not has_finished)

    async def _serve_further(self, keep: bool) -> None:
        """Serves further requests if the connection is kept, and else closes it."""
        self._state.request_open = False
        if keep and not self._context.closing_announced:
            self._intake.start_idle()
            await self.serve()
        else:
            await self._closer.linger()
