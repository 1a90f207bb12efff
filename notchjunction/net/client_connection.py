"""One caller's connection: its requests are read, served one after another, and answered."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
import time
from base64 import b64decode, b64encode
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from tornado.iostream import StreamClosedError

from notchjunction import protocol
from notchjunction.http1.encoder import encode_answer, encode_end, encode_piece
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.net.body_streaming import Download, Upload
from notchjunction.net.event_loop import waited_most
from notchjunction.net.request_handler import (
    QuotaPermits,
    RequestHandler,
    forwarded_response,
    internal_error,
    request_spec_of,
)
from notchjunction.net.socket_stream import NodeStream, Unread, discard_unread, end_sending
from notchjunction.net.upstream_connection import LOOK_EVERY, PIECE, ConnectionLost, read_piece
from notchjunction.safety.preconditions import AdmissionFacts, ConnectionFacts, Refusal, may_close, may_start
from notchjunction.telemetry.flight_recorder import Occurrence

if TYPE_CHECKING:
    from notchjunction.net.client_listener import ClientListener

log = logging.getLogger(__name__)

HEAD_WITHIN = 2.6  # s from connecting, or a later request's first byte, to a whole head; some take 2 s
BODY_PACE = 48 * 1024  # bytes a second that a body comes with at least; slow callers send 64 kB
BODY_SLACK = 2.2  # s that it may lag behind: pauses of slow callers; half a request is answered within 3 s
WRITTEN_WITHIN = 10.0  # s that a caller may take to read its answer, or a piece of it; then it counts as gone
REFUSED_WITHIN = 1.0  # s that a caller over the limit has for the one request that is refused
LINGER_MOST = 1024 * 1024  # bytes thrown away in that time; more costs too much for politeness
IDLE_MOST = 120.0  # s that a caller may stand idle; longer than pauses in traffic
MOVE_PAUSE = 0.02  # s until an answer that could not move yet is tried again
AHEAD_MOST = 2 * PIECE  # bytes kept of what comes ahead of an answer: a whole message and some of the next
THROWN_MOST = 1024 * 1024  # bytes past those that are thrown away; whoever sends more ahead only costs
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what tells of an end behind unread bytes
REFUSALS = (429, 503)  # what tells a caller that nothing was done
GO_AHEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientStream(NodeStream):
    """Knows how much of what was written the operating system has taken, and when what was read came."""

    taken = 0
    came_at = 0.0  # s, monotonic; the earliest moment at which the bytes that were read last can have come

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        count = super().read_from_fd(buf)
        if count:
            self.came_at = time.monotonic() - waited_most()
        return count

    def write_to_fd(self, data: memoryview) -> int:
        count = super().write_to_fd(data)
        self.taken += count
        return count


class StreamMigrator(Protocol):
    def __call__(self, state: Mapping[str, Any], *sockets: socket.socket) -> bool:
        """Hands a caller to another process, with its server where an answer is under way; whether it did."""


class ClientConnection:
    """One connection; requests on it are served one after another."""

    def __init__(self, callers: ClientListener, stream: ClientStream, full: bool) -> None:
        self._callers = callers
        self._stream = stream
        self._full = full
        self._requests = RequestReader()
        self._reading: asyncio.Future[bytes] | None = None
        self._parted = False  # its sending has ended
        self._open = True
        self._busy = False
        # When the request's last byte was read; of one that came ahead of its turn, the first.
        self._came_at = callers.clock()
        self._early_since: float | None = None  # s; since when what came before it was let in may wait
        self._waited = 0.0  # s so far for the body under way
        self._job: RequestHandler | None = None
        self._upload: Upload | None = None
        self._queued = 0  # bytes written so far, whether or not the operating system has taken them
        self._stays = False  # whether its answer can't move to another process
        self._at_fault = False  # sent what is no job: nothing more of it is read
        self._thrown = 0  # bytes sent too far ahead, thrown away; what comes after them makes no sense
        self._discards = False  # has its answer; the rest of its body is read
        self._turned_back = False  # as the node ends before its body is whole
        callers.silent[self] = self._came_at
        # The first request is due by the time of connecting: bytes that drip in do not renew it.
        self._due = self._came_at + (REFUSED_WITHIN if full else HEAD_WITHIN)

    def waited_since(self, since: float) -> None:
        """It may have been in the queue since then (s), and what has come by now as well."""
        if self._is_unread():
            self._early_since = since

    async def converse(self) -> None:
        self._stream.set_nodelay(True)
        keep = True
        while keep:
            try:
                request = await self._request()
            except Malformed as error:
                await self._write(encode_answer(self._bad(error.status)))
                await self._linger()
                return
            if request is None:
                break
            self._busy = True
            keep = await self._respond(request)
            # Also where the connection ends after it: a close would destroy the answer on its way to a caller
            # that reads it only once all of its body is sent.
            rest = self._requests.going and not (self._at_fault or self._full)
            if rest and await self._discard(keep):
                return
            self._busy = False
            self._rest()
            if self._requests.begun:
                await asyncio.sleep(0)  # guards against a caller of many requests at once taking all turns
        await self._linger()

    async def _respond(self, request: Request) -> bool:
        """Serves one request; whether the connection can be used again."""
        job: RequestHandler | None = None
        answer: Answer | Download | None = self._misplaced(request)
        if answer is None:
            job, answer = await self._take(request)
        if answer is None:
            return False
        self._note_answer(request, job, answer)
        parts = self._callers.parting and (self._requests.going or not self._has_more())
        keep = request.keep and not self._full and not parts
        if isinstance(answer, Download):
            assert job is not None
            return await self._pass_on(request, job, answer, keep)
        keep = keep and answer.keep
        await self._write(encode_answer(replace(answer, keep=keep)))
        return keep

    def _has_more(self) -> bool:
        """Guards against closing over a request that came with this one, read or not, drain or not."""
        return self._requests.begun or self._has_read() or self._is_unread()

    def _note_answer(self, request: Request, job: RequestHandler | None, answer: Answer | Download) -> None:
        status = answer.beginning.status if isinstance(answer, Download) else answer.status
        recorder = self._callers.counters.recorder
        recorder.note(
            Occurrence.REQUEST_ANSWERED, request.headers.get(protocol.REQUEST_ID, ""), status=status
        )
        if job is not None:
            refused = status in REFUSALS
            job.check(job.ledger.response_sent(self._callers.clock(), refused), status=status)

    def close(self) -> None:
        """The one place where a caller's descriptor is given back."""
        if self._open:
            self._open = False
            self._callers.counters.recorder.note(Occurrence.CLIENT_CONNECTION_CLOSED, why=self._why_closed())
            if self._job is not None:
                self._job.check(self._job.ledger.connection_closed())
            self._stream.close()
            self._stir()
            self._callers.descriptors.give_back_caller()
            self._callers.counters.add("client_connections_closed")

    def _why_closed(self) -> str:
        if self._at_fault:
            return "bad request"
        if self._parted:
            return "ended by the node"
        return "ended by the caller" if self._stream.closed() else "given up"

    def part_if_idle(self) -> None:
        """Ends the sending where no request is open; its coroutine reads on for a moment."""
        if self._rests():
            self._part_from_outside()

    def turn_away_in_head(self) -> None:
        """Answers 408 and ends the sending, unless more of the head has just come."""
        if may_close(replace(self._facts(), request_started=False)) is None:
            self._stream.write(encode_answer(self._bad(408)))
            self._part_from_outside()

    def close_if_idle(self) -> bool:
        """The same where its descriptor is needed at once: what has come by now is all that is read."""
        if self._stream.closed() or not (self._parted or self._rests()):
            return False
        self._part()
        discard_unread(self._stream.socket)
        self.close()
        return True

    def _rests(self) -> bool:
        """Whether it may be closed now though its caller has not asked for that."""
        return may_close(self._facts()) is None

    def _facts(self) -> ConnectionFacts:
        ending = self._parted or self._stream.closed()
        unread = self._has_read() or self._is_unread()
        return ConnectionFacts(self._busy, self._requests.begun, unread, ending)

    def _is_unread(self) -> bool:
        """Whether bytes, or an end, have come that wait in the operating system."""
        return self._stream.unread() is not Unread.NOTHING

    def _part(self) -> None:
        """Ends the sending. Guards against a request that crosses this: from here on none is sent on."""
        if self._parted:
            return
        self._parted = True
        self._stir()
        if self._stream.closed():
            return  # the caller went first; its coroutine has not heard of it yet
        self._callers.lingering[self] = self._callers.clock()
        end_sending(self._stream.socket)

    def _part_from_outside(self) -> None:
        """The same while its coroutine waits for what comes, which may be nothing."""
        self._part()
        asyncio.get_running_loop().call_later(self._callers.linger_within(), self.close)

    def _rest(self) -> None:
        """Between two requests, unless the next one has begun to come."""
        now = self._callers.clock()
        self._waited = 0.0
        if self._requests.begun:
            self._due = now + HEAD_WITHIN
        else:
            self._due = now + IDLE_MOST
            self._callers.idle[self] = now

    def _stir(self) -> None:
        self._callers.silent.pop(self, None)
        self._callers.idle.pop(self, None)
        self._callers.heads.pop(self, None)
        self._callers.lingering.pop(self, None)

    async def _request(self) -> Request | None:
        """The next whole request; None when the caller is parted with, or has sent nothing for too long."""
        try:
            return await self._next_request()
        finally:
            self._callers.heads.pop(self, None)

    async def _next_request(self) -> Request | None:
        late = False
        while (request := self._requests.next()) is None:
            if self._thrown:
                raise Malformed(413, "too much sent ahead")
            if late and self._requests.begun:
                raise Malformed(408, "request too slow")
            if late:
                return None
            if self._requests.in_body:
                self._callers.heads.pop(self, None)
            elif self._requests.begun:
                self._callers.heads.setdefault(self, self._callers.clock())
            reading = self._read()
            if self._requests.awaits_go_ahead():
                await self._write(GO_AHEAD)
            late = await self._wait(reading)
            if self._parted:
                return None
            if reading.done():
                self._feed()
                late = late and self._callers.clock() >= self._due
            elif late and not self._requests.begun:
                # Guards against ending a connection over a request that came as its time was over.
                late = may_close(self._facts()) is None
        return request

    async def _wait(self, *waiting: asyncio.Future[Any]) -> bool:
        """Waits for any of these while the caller's next bytes are due; whether they are late.

        A body is due by its pace, over the time that was spent waiting for it: guards against callers that
        hold a connection for nothing.
        """
        began = self._callers.clock()
        in_body = self._requests.in_body and not self._full
        if in_body:
            self._due = began + BODY_SLACK + self._requests.body_come / BODY_PACE - self._waited
        await asyncio.wait(waiting, timeout=max(0.0, self._due - began), return_when=asyncio.FIRST_COMPLETED)
        now = self._callers.clock()
        if in_body:
            self._waited += now - began
        # Guards against a busy loop's delay being put down to the caller: what has come is read first.
        return now >= self._due

    def _misplaced(self, request: Request) -> Answer | None:
        if request.path == protocol.READY_PATH and request.method == "GET":
            return Answer(200 if self._callers.ready() and not self._callers.draining else 503)
        if request.path != protocol.REQUEST_PATH and not request.path.startswith(protocol.REQUEST_PATH + "/"):
            return self._bad(404)
        return self._bad(405) if request.method not in ("GET", "POST") else None

    async def _take(self, request: Request) -> tuple[RequestHandler | None, Answer | Download | None]:
        """The job and its final answer; no answer once the caller has gone."""
        waited = 0.0 if request.more else self._callers.clock() - self._came_at
        ask = request_spec_of(request, waited, self._callers.profiles)
        if ask is None:
            return None, self._bad(400)
        job_id = request.headers[protocol.REQUEST_ID]
        refusal = may_start(AdmissionFacts(self._parted, is_duplicate=job_id in self._callers.ids))
        if refusal is Refusal.CONNECTION_CLOSING:
            # Guards against a request that crosses the end of its connection: no answer could be given.
            return None, None
        if refusal is not None:
            # Guards against one job's answer and end being mistaken for another's, here and at servers.
            return None, self._bad(409)
        self._callers.counters.add("requests_received")
        self._callers.counters.recorder.note(
            Occurrence.REQUEST_ACCEPTED, job_id, left=round(ask.time_left, 3), waited=round(waited, 4)
        )
        if self._full:
            self._callers.counters.add("responses_rejected")
            return None, Answer(503)
        self._callers.ids.add(job_id)
        upload = Upload(self._callers.streams) if request.more else None
        rights: QuotaPermits | None = None
        try:
            if self._callers.admit is not None:
                admitted = await self._callers.admit(ask)
                if isinstance(admitted, Answer):
                    self._callers.counters.add("responses_rejected")
                    return None, admitted
                rights, ask = admitted
            job = self._callers.take(ask, request, upload, rights)
            self._job, self._upload = job, upload
            try:
                return job, await self._answer(job, upload)
            except BaseException:
                # Guards against dispatches that go on for a job that nobody waits for.
                job.withdraw()
                raise
        except StreamClosedError:
            raise
        except Exception as error:
            self._callers.counters.add_failure("request handler failed", error)
            return None, internal_error(self._callers.counters)
        finally:
            self._callers.ids.discard(job_id)
            self._job = self._upload = None
            if rights is not None:
                rights.close()
            if upload is not None:
                upload.close()

    async def _answer(self, job: RequestHandler, upload: Upload | None) -> Answer | Download | None:
        """Waits for the job's answer, and reads on: the rest of its body, or whether the caller goes."""
        work = asyncio.create_task(job.answer(self._there))
        error: Answer | None = None
        while not work.done():
            waiting: set[asyncio.Future[Any]] = {work}
            if upload is not None and not upload.ended:
                if upload.wants_more():
                    late = await self._wait(work, self._read(self._callers.streams.piece()))
                    # Guards against a late loop's delay undoing an answer that is there.
                    if late and not self._has_read() and not work.done():
                        error = self._bad(408)
                else:
                    room = asyncio.create_task(upload.room())
                    await asyncio.wait({work, room}, timeout=LOOK_EVERY, return_when=asyncio.FIRST_COMPLETED)
                    full = not room.done()
                    room.cancel()
                    # Guards against a caller that goes unheard while its server takes nothing.
                    if full and not work.done() and not self._there():
                        self._left(job)
                        break
            else:
                # However much was sent ahead: the end stands behind it.
                waiting.add(self._read())
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if self._has_read() and not work.done():
                try:
                    self._feed()
                    if upload is not None and not upload.ended:
                        upload.put(*self._requests.piece())
                        if upload.ended:
                            job.whole()
                    if self._thrown > THROWN_MOST:
                        error = self._bad(413)
                except StreamClosedError:
                    self._left(job)
                    break
                except Malformed as malformed:
                    error = self._bad(malformed.status)
            if error is not None:
                job.withdraw()
                break
        answer = await work
        if answer is None:
            self._callers.counters.add("requests_cancelled")
            error = error or (Answer(503, keep=False) if self._turned_back else None)
        if error is not None and isinstance(answer, Download):
            answer.close()
        return answer if error is None else error

    def _left(self, job: RequestHandler) -> None:
        """The caller has gone: nothing is owed, and nothing more is sent for it."""
        job.ledger.client_gone = True
        self._callers.counters.recorder.note(Occurrence.CLIENT_GONE, job.name)
        job.withdraw()

    async def _pass_on(self, request: Request, job: RequestHandler, download: Download, keep: bool) -> bool:
        """A large answer, piece by piece as it comes and as the caller reads."""
        beginning = forwarded_response(download.beginning)
        length, chunks = beginning.length, request.chunks
        keep = keep and (length is not None or chunks)
        try:
            await self._write(encode_answer(replace(beginning, keep=keep), chunks))
            return await self._pump(download, length, chunks, keep)
        except (ConnectionLost, Malformed) as error:
            download.close(error)
            raise self._broken_off(length, chunks) from error
        except BaseException:
            job.withdraw()
            raise
        finally:
            download.close()

    async def _pump(self, download: Download, length: int | None, chunks: bool, keep: bool) -> bool:
        """The pieces and their end; whether the connection can be used again."""
        while True:
            if self._callers.moving.is_set() and not self._stays:
                if self._move(download, length, chunks, keep):
                    return False
                await asyncio.sleep(MOVE_PAUSE)
            piece = download.ready_piece()
            if piece:
                wire = encode_piece(piece, length, chunks)
                self._queued += len(wire)
                written = self._stream.write(wire)
                while not written.done() and not await self._taken(written):
                    if self._move(download, length, chunks, keep, wire):
                        return False
                    await asyncio.sleep(MOVE_PAUSE)
                await asyncio.sleep(0)  # guards against one body taking all turns
            elif download.over:
                break
            else:
                await download.waits(asyncio.Event() if self._stays else self._callers.moving)
                if download.has_more():
                    await download.more()
        if end := encode_end(length, chunks):
            await self._write(end)
        return keep

    async def _taken(self, written: asyncio.Future[None]) -> bool:
        """Waits until a piece is written, or answers are to move; whether it is written."""
        moving = self._callers.moving
        waits: set[asyncio.Future[Any]] = {written}
        if not self._stays:
            waits.add(told := asyncio.ensure_future(moving.wait()))
        await asyncio.wait(waits, timeout=WRITTEN_WITHIN, return_when=asyncio.FIRST_COMPLETED)
        if not self._stays:
            told.cancel()
        if written.done():
            written.result()
        elif self._stays or not moving.is_set():
            # Guards against a caller that reads nothing: a drain would wait for it.
            raise StreamClosedError
        return written.done()

    def _move(
        self, download: Download, length: int | None, chunks: bool, keep: bool, wire: bytes = b""
    ) -> bool:
        """Gives the answer to the process that follows, with what is unread and what of `wire` is unsent."""
        self._stays = True
        mover = self._callers.mover
        ahead = self._requests.begun or self._has_read() or self._stream.closed()
        if mover is None or ahead or download.over or not download.take_held():
            return False
        unsent = b64encode(wire[len(wire) - (self._queued - self._stream.taken) :] if wire else b"")
        state: dict[str, Any] = {"length": length, "chunks": chunks, "keep": keep, "answers": download.state}
        state["unsent"] = unsent.decode()
        try:
            if not mover(state, self._stream.socket, download.socket):
                return False
        except BlockingIOError:
            self._stays = False  # the other process is still busy with those before it
            return False
        self._callers.counters.add("streams_migrated")
        download.move()
        # Guards against ending it for the other process, too.
        self._stream.close()
        return True

    async def resume(self, state: Mapping[str, Any], download: Download) -> None:
        """Passes on what another process began to, and goes on as with any caller."""
        self._busy = True
        self._stir()
        length, chunks = state["length"], bool(state["chunks"])
        try:
            if unsent := b64decode(state["unsent"]):
                await self._write(unsent)
            keep = await self._pump(download, length, chunks, bool(state["keep"]))
        except (ConnectionLost, Malformed) as error:
            self._callers.counters.add("streams_truncated")
            raise self._broken_off(length, chunks) from error
        finally:
            download.close()
        await self._go_on(keep)

    def turn_back_upload(self) -> None:
        if self._discards and not self._turned_back and (self._callers.mover is None or self._stays):
            self._part_from_outside()  # it had its answer a while ago, and nobody goes on with it
        under_way = self._upload is not None and not self._upload.ended
        if under_way and self._job is not None and not self._turned_back:
            self._turned_back = True
            self._job.withdraw()

    def _broken_off(self, length: int | None, chunks: bool) -> StreamClosedError:
        """Not whole through no fault of the node's: the caller can tell, by the end that is missing."""
        if length is None and not chunks:
            # The end of the connection would pass for that of the answer: it is reset.
            with suppress(OSError):
                self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return StreamClosedError()

    def _cast_off(self) -> bool:
        try:
            return self._requests.piece()[1]
        except Malformed:
            self._part()
            return False

    async def _discard(self, keep: bool) -> bool:
        """Reads the rest of a body whose job has its answer, and throws it away.

        Says whether the connection is over here: it has moved, or the rest is not waited for.
        """
        self._discards = True
        while not self._cast_off():
            if self._parted:
                await self._linger()
                return True
            if self._callers.moving.is_set() and not self._stays:
                if self._move_rest(keep):
                    return True
                await asyncio.sleep(MOVE_PAUSE)
            if self._turned_back and (self._stays or self._callers.mover is None):
                break  # the process ends, and nobody can go on with it
            told = asyncio.ensure_future(self._callers.moving.wait())
            reading = self._read(self._callers.streams.piece())
            late = await self._wait(reading, *([] if self._stays else [told]))
            told.cancel()
            if reading.done():
                self._feed()
            elif late:
                self._part()
        self._discards = False
        return False

    def _move_rest(self, keep: bool) -> bool:
        """Gives a caller whose body still comes to the process that follows."""
        mover = self._callers.mover
        if mover is None or self._has_read() or self._stream.closed():
            return False
        try:
            moved = mover({"keep": keep, "rest": self._requests.state()}, self._stream.socket)
        except BlockingIOError:
            return False
        self._stays = not moved
        if moved:
            self._callers.counters.add("uploads_migrated")
            # Guards against ending it for the other process, too.
            self._stream.close()
        return moved

    async def resume_rest(self, state: Mapping[str, Any]) -> None:
        """Reads on a body whose job another process has answered, and goes on as with any caller."""
        self._busy = True
        self._stir()
        self._requests.go_on(state["rest"])
        keep = bool(state["keep"])
        if await self._discard(keep):
            return
        await self._go_on(keep)

    async def _go_on(self, keep: bool) -> None:
        """What another process began is done: from here on as with any caller."""
        self._busy = False
        if keep and not self._callers.parting:
            self._rest()
            await self.converse()
        else:
            await self._linger()

    def _read(self, most: int = PIECE) -> asyncio.Future[bytes]:
        if self._reading is None:
            self._reading = read_piece(self._stream, most)
        return self._reading

    def _there(self) -> bool:
        """Whether the caller has not gone, as the operating system knows it: its end may not be read yet.

        Guards against a request that is sent on for nobody: the end stands behind bytes, or came just now.
        """
        unread = self._stream.unread()
        if unread in (Unread.END, Unread.NOTHING):
            return unread is Unread.NOTHING
        poll = select.poll()
        poll.register(self._stream.socket, select.POLLRDHUP)
        with suppress(OSError):
            return not any(events & ENDED for _, events in poll.poll(0))
        return True  # nothing tells of an end

    def _has_read(self) -> bool:
        return self._reading is not None and self._reading.done()

    def _feed(self) -> None:
        assert self._reading is not None
        reading, self._reading = self._reading, None
        piece = reading.result()
        now = self._callers.clock()
        # A request's time counts from its last byte; of one that came ahead only the first is known for sure.
        if not self._busy or not self._requests.begun:
            # Guards against a late loop's delay passing for time that the caller still has.
            self._came_at = now - max(0.0, time.monotonic() - self._stream.came_at)
        if self._early_since is not None:
            self._came_at, self._early_since = min(self._came_at, self._early_since), None
        if not self._requests.begun:
            if self in self._callers.idle:
                self._due = now + HEAD_WITHIN
            self._stir()
        # Guards against memory that grows with what a caller sends ahead, which is read on for its end.
        if self._thrown or (self._busy and self._requests.unread + len(piece) > AHEAD_MOST):
            self._thrown += len(piece)
        else:
            self._requests.feed(piece)

    def _bad(self, status: int) -> Answer:
        """An error that the caller made: said once, and the connection is not used further."""
        self._callers.counters.add("bad_requests")
        self._at_fault = True
        return Answer(status, keep=False)

    async def _write(self, wire: bytes) -> None:
        self._queued += len(wire)
        try:
            async with asyncio.timeout(WRITTEN_WITHIN):
                await self._stream.write(wire)
        except TimeoutError as error:
            # Guards against a caller that reads nothing: a drain would wait for it.
            raise StreamClosedError from error

    async def _linger(self) -> None:
        """Reads on for a moment: a close over unread bytes is a reset, which may destroy what was written."""
        if self._stream.closed():
            return
        self._part()
        if self._callers.descriptors.full_of_callers():
            discard_unread(self._stream.socket)
            return
        left = LINGER_MOST
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._callers.linger_within()):
                while left > 0:
                    left -= len(await self._read())
                    self._reading = None
