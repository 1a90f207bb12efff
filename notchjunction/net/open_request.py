"""Waits for the response to one request, and reads its connection meanwhile."""

from __future__ import annotations

import asyncio

from tornado.iostream import StreamClosedError

from notchjunction.http1.messages import MalformedMessageError, Response
from notchjunction.net.body_streaming import Download, Upload
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.request_handler import RequestHandler, no_time_elapsed
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.upstream_connection import CLIENT_CHECK_INTERVAL_S
from notchjunction.telemetry.flight_recorder import Occurrence

FinalResponse = Response | Download


def client_error(context: ClientContext, state: ConnectionState, status: int) -> Response:
    """Counts a bad request and returns its response, after which the connection closes."""
    context.counters.add("bad_requests")
    state.bad_request = True
    return Response(status, keep_alive=False)


class OpenRequest:
    """Waits for a response, forwards the rest of the body, and notices when the client disconnects."""

    def __init__(
        self,
        context: ClientContext,
        stream: ClientStream,
        intake: RequestIntake,
        handler: RequestHandler,
        upload: Upload | None,
    ) -> None:
        self.handler = handler
        self.upload = upload
        self._context = context
        self._stream = stream
        self._state = intake.state
        self._intake = intake
        # s; when its endpoint first left no room for more of the body
        self._held_back_at: float | None = None

    async def wait_response(self) -> FinalResponse | None:
        """Waits for the response and returns it; None if the client has gone.

        Raises:
            StreamClosedError: The client had gone before a read began. The handler still runs.
        """
        if self.upload is not None:
            self.handler.upload_elapsed = self._intake.observe_upload
        try:
            return await self._wait_response()
        finally:
            if self.upload is not None and not self.upload.complete:
                self._note_body_ended("incomplete")
            # Guards against requests that stay in memory until the cycle collector runs.
            self.handler.upload_elapsed = no_time_elapsed

    async def _wait_response(self) -> FinalResponse | None:
        handler_task = asyncio.create_task(self.handler.run(self._stream.is_peer_connected))
        error: Response | None = None
        while not handler_task.done():
            error = self._rejection_due()
            is_client_gone = False
            if error is None:
                error, is_client_gone = await self._wait_for_progress(handler_task)
            has_bytes = self._intake.has_read() and not handler_task.done()
            if error is None and has_bytes and not is_client_gone:
                try:
                    error = self._feed()
                except StreamClosedError:
                    is_client_gone = True
            if is_client_gone:
                self._cancel_for_client()
                break
            if error is not None:
                self.handler.cancel()
                break
        return self._select_response(await handler_task, error)

    def _rejection_due(self) -> Response | None:
        """Returns the response to a request whose body is incomplete, if it cannot be served any more."""
        upload = self.upload
        if upload is None or upload.complete:
            return None
        if self._is_overdue():
            self._context.counters.add("uploads_expired")
            self._note_refused("its time is over and its body incomplete")
            return Response(503)  # its last byte was never sent on, so it has not run
        if not upload.has_room() and self._intake.is_pause_over():
            return self._reject_slow_body()
        return None

    async def _wait_for_progress(
        self, handler_task: asyncio.Task[FinalResponse | None]
    ) -> tuple[Response | None, bool]:
        """Waits for the response, for bytes of the client, or for room for them.

        Returns the error response if the body is too slow, and whether the client has gone.
        """
        upload = self.upload
        if upload is None or upload.complete:
            return None, await self._wait_complete(handler_task)
        if upload.has_room():
            return await self._wait_for_body(handler_task), False
        self._intake.note_held_back()
        self._note_held_back()
        return None, not await self._wait_for_room(handler_task, upload)

    def _select_response(
        self, response: FinalResponse | None, error: Response | None
    ) -> FinalResponse | None:
        if self.upload is not None and not self.upload.complete:
            self.handler.ledger.body_incomplete()
        if response is None:
            self._context.counters.add("requests_cancelled")
            error = error or (Response(503, keep_alive=False) if self._state.upload_rejected else None)
        if error is not None and isinstance(response, Download):
            response.close()
        return response if error is None else error

    async def _wait_complete(self, handler_task: asyncio.Task[FinalResponse | None]) -> bool:
        """Waits for the response to a request that is read whole. Returns whether the client has gone."""
        if self._intake.may_read_ahead():
            # Reading continues however much was sent ahead, because the client's end comes after it.
            futures: set[asyncio.Future[FinalResponse | None] | asyncio.Future[bytes]]
            futures = {handler_task, self._intake.read()}
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            return False
        await asyncio.wait({handler_task}, timeout=CLIENT_CHECK_INTERVAL_S)
        return not handler_task.done() and not self._stream.is_peer_connected()

    def _is_overdue(self) -> bool:
        """Whether the client's time may be over although its body has not been read to the end.

        Guards against a response seconds after the client's deadline, where an endpoint takes a body slowly.
        """
        return self._intake.observe_upload() >= self.handler.time_left

    async def _wait_for_body(self, handler_task: asyncio.Task[FinalResponse | None]) -> Response | None:
        """Waits for the response or more of the body. Returns the error response if the body is too slow."""
        timed_out = await self._intake.wait(
            handler_task, self._intake.read(self._context.streams.piece_size())
        )
        # Guards against a late event loop: a response that is ready by now is not replaced by 408.
        if timed_out and not self._intake.has_read() and not handler_task.done():
            return self._reject_slow_body()
        return None

    def _reject_slow_body(self) -> Response:
        self._note_refused("its body came too slowly")
        return client_error(self._context, self._state, 408)

    async def _wait_for_room(self, handler_task: asyncio.Task[FinalResponse | None], upload: Upload) -> bool:
        """Waits for the response or for room in the upload. Returns False if the client has gone.

        Guards against a client whose disconnect is not noticed while its endpoint reads nothing.
        """
        room = asyncio.create_task(upload.wait_for_room())
        await asyncio.wait(
            {handler_task, room}, timeout=CLIENT_CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
        )
        is_full = not room.done()
        room.cancel()
        return not is_full or handler_task.done() or self._stream.is_peer_connected()

    def _feed(self) -> Response | None:
        """Processes bytes read while the request is open. Returns an error response if they are invalid.

        Raises:
            StreamClosedError: The client has gone.
        """
        try:
            self._intake.feed()
            if self.upload is not None and not self.upload.complete:
                self.upload.put(*self._intake.parser.take_piece())
                if self.upload.complete:
                    self._note_body_ended("complete")
                    self.handler.report_body_complete(self._intake.upload_elapsed())
        except MalformedMessageError as malformed:
            self._note_refused(str(malformed))
            return client_error(self._context, self._state, malformed.status)
        if self._intake.is_over_discard_limit():
            self._note_refused("its client sent too much ahead")
            return client_error(self._context, self._state, 413)
        return None

    def _note_refused(self, why: str) -> None:
        self._context.counters.recorder.note(Occurrence.REQUEST_REFUSED, self.handler.request_id, why=why)

    def _note_held_back(self) -> None:
        """Records that the endpoint takes the body more slowly than the client sends it, once a request."""
        if self._held_back_at is None:
            self._held_back_at = self._context.clock()
            self._context.counters.add("uploads_held_back")
            self._note_body(Occurrence.BODY_HELD_BACK)

    def _note_body_ended(self, state: str) -> None:
        held_back_s = 0.0 if self._held_back_at is None else self._context.clock() - self._held_back_at
        self._note_body(Occurrence.BODY_ENDED, state=state, held_back=round(held_back_s, 3))

    def _note_body(self, occurrence: Occurrence, **facts: str | float) -> None:
        """Records an event of the body, with what the node knows of it at this moment."""
        parser = self._intake.parser
        self._context.counters.recorder.note(
            occurrence,
            self.handler.request_id,
            received=parser.body_received,
            unread=self._stream.unread_bytes(),
            missing=parser.bytes_missing,
            elapsed=round(self._intake.upload_elapsed(), 3),
            **facts,
        )

    def _cancel_for_client(self) -> None:
        """Withdraws the request, as its client has gone: neither a response nor an attempt is needed."""
        self.handler.ledger.client_gone = True
        self._context.counters.recorder.note(Occurrence.CLIENT_GONE, self.handler.request_id)
        self.handler.cancel()

    def reject_upload(self) -> None:
        """Rejects a request whose body is incomplete, as the node shuts down. The request has not run."""
        if self.upload is not None and not self.upload.complete and not self._state.upload_rejected:
            self._state.upload_rejected = True
            self._note_refused("the node shuts down and its body is incomplete")
            self.handler.cancel()
