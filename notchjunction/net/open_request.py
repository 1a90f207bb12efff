"""One request of a client from its handler to its response, while the connection is read on."""

from __future__ import annotations

import asyncio

from tornado.iostream import StreamClosedError

from notchjunction.http1.messages import MalformedMessageError, Response
from notchjunction.net.body_streaming import Download, Upload
from notchjunction.net.client_context import ClientContext
from notchjunction.net.client_state import ConnectionState
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.request_handler import RequestHandler
from notchjunction.net.request_intake import RequestIntake
from notchjunction.net.upstream_connection import CLIENT_CHECK_INTERVAL_S
from notchjunction.telemetry.flight_recorder import Occurrence

FinalResponse = Response | Download


def client_error(context: ClientContext, state: ConnectionState, status: int) -> Response:
    """An error that the client made: reported once, and the connection is not used further."""
    context.counters.add("bad_requests")
    state.bad_request = True
    return Response(status, keep_alive=False)


class OpenRequest:
    """Waits for a response, feeds the rest of the body to its endpoint, and notices a client that goes."""

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

    async def response(self) -> FinalResponse | None:
        """The response; None once the client has gone.

        Raises:
            StreamClosedError: The client's end was met before a read began. The handler still runs.
        """
        work = asyncio.create_task(self.handler.run(self._stream.is_peer_connected))
        error: Response | None = None
        while not work.done():
            upload = self.upload
            if upload is None or upload.complete:
                # However much was sent ahead: the end stands behind it.
                waiting: set[asyncio.Future[FinalResponse | None] | asyncio.Future[bytes]]
                waiting = {work, self._intake.read()}
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            elif upload.has_room():
                error = await self._wait_upload(work)
            elif not await self._wait_upload_room(work, upload):
                self._cancel_for_client()
                break
            if self._intake.has_read() and not work.done():
                try:
                    error = self._feed()
                except StreamClosedError:
                    self._cancel_for_client()
                    break
            if error is not None:
                self.handler.cancel()
                break
        return self._final_response(await work, error)

    def _final_response(self, response: FinalResponse | None, error: Response | None) -> FinalResponse | None:
        if response is None:
            self._context.counters.add("requests_cancelled")
            error = error or (Response(503, keep_alive=False) if self._state.upload_rejected else None)
        if error is not None and isinstance(response, Download):
            response.close()
        return response if error is None else error

    async def _wait_upload(self, work: asyncio.Task[FinalResponse | None]) -> Response | None:
        """Waits for the response or more of the body; the error that ends the request where that is late."""
        late = await self._intake.wait(work, self._intake.read(self._context.streams.piece_size()))
        # Guards against a late loop's delay undoing a response that is there.
        if late and not self._intake.has_read() and not work.done():
            return client_error(self._context, self._state, 408)
        return None

    async def _wait_upload_room(self, work: asyncio.Task[FinalResponse | None], upload: Upload) -> bool:
        """Waits for the response, or until the endpoint takes more; False where the client has gone.

        Guards against a client that goes unnoticed while its endpoint takes nothing.
        """
        room = asyncio.create_task(upload.wait_for_room())
        await asyncio.wait({work, room}, timeout=CLIENT_CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
        full = not room.done()
        room.cancel()
        return not full or work.done() or self._stream.is_peer_connected()

    def _feed(self) -> Response | None:
        """Feeds what was read beside the request; the error that ends the request where there is one.

        Raises:
            StreamClosedError: The client has gone.
        """
        try:
            self._intake.feed()
            if self.upload is not None and not self.upload.complete:
                self.upload.put(*self._intake.parser.take_piece())
                if self.upload.complete:
                    self.handler.report_body_complete()
        except MalformedMessageError as malformed:
            return client_error(self._context, self._state, malformed.status)
        if self._intake.is_over_discard_limit():
            return client_error(self._context, self._state, 413)
        return None

    def _cancel_for_client(self) -> None:
        """The client has gone: no response is due, and nothing more is sent for it."""
        self.handler.ledger.client_gone = True
        self._context.counters.recorder.note(Occurrence.CLIENT_GONE, self.handler.request_id)
        self.handler.cancel()

    def reject_upload(self) -> None:
        """The node ends: a request whose body is not whole is rejected, as it never ran."""
        if self.upload is not None and not self.upload.complete and not self._state.upload_rejected:
            self._state.upload_rejected = True
            self.handler.cancel()
