"""The listener and one coroutine for each caller's connection."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from notchjunction.decider import Ask
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.http1.parser import RequestReader
from notchjunction.net import words
from notchjunction.net.connections import BUFFER_MOST, PIECE, Address, read_piece
from notchjunction.net.counters import Counters
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.jobs import Job, ask_of, own_failure
from notchjunction.net.logs import pairs

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait to be accepted; a burst of callers, also after a restart
HEAD_WITHIN = 10.0  # s from a request's first byte to its last; far over what a sound caller takes
WRITTEN_WITHIN = 10.0  # s that a caller may take to read its answer; then it counts as gone
REFUSED_WITHIN = 1.0  # s that a caller over the limit has for the one request that is refused
IDLE_MOST = 120.0  # s that a caller may stand idle; longer than pauses in traffic


GO_AHEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


class Callers(TCPServer):
    def __init__(
        self,
        clock: Callable[[], float],
        take: Callable[[Ask, Request], Job],
        ready: Callable[[], bool],
        spare_one: Callable[[], bool],
        descriptors: Descriptors,
        counters: Counters,
    ) -> None:
        super().__init__(max_buffer_size=BUFFER_MOST, read_chunk_size=PIECE)
        self.clock = clock
        self.take = take
        self.ready = ready
        self.counters = counters
        self._spare_one = spare_one
        self._descriptors = descriptors
        self._callers: dict[int, Caller] = {}
        self._limited = False
        self.draining = False
        counters.gauge("callers_connected", lambda: self.connected)

    def open(self, address: Address) -> None:
        self.listen(address[1], address[0], backlog=BACKLOG, reuse_port=False)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        full = self._descriptors.full() and not self._spare_one()
        if full and self._descriptors.spent():
            # Guards against running out altogether: then not even the list could be asked for.
            self.counters.add("callers_dropped")
            stream.close()
            return
        self._descriptors.take()
        self.counters.add("callers_opened")
        if full:
            self.counters.add("callers_refused")
        if full and not self._limited:
            log.warning("limit reached", extra=pairs(limit="descriptors", held=self._descriptors.held))
        self._limited = full
        caller = Caller(self, stream, full)
        self._callers[id(caller)] = caller
        try:
            await caller.converse()
        except StreamClosedError:
            pass
        except Exception as error:
            self.counters.add_failure("caller failed in the node", error)
        finally:
            del self._callers[id(caller)]
            stream.close()
            self._descriptors.give_back()
            self.counters.add("callers_closed")

    def drain(self) -> None:
        """Answers say from now on that the connection closes."""
        self.draining = True

    def close_idle(self) -> None:
        for caller in list(self._callers.values()):
            caller.close_if_idle()

    @property
    def connected(self) -> int:
        return len(self._callers)


class Caller:
    """One connection; requests on it are served one after another."""

    def __init__(self, callers: Callers, stream: IOStream, full: bool) -> None:
        self._callers = callers
        self._stream = stream
        self._full = full
        self._idle_most = REFUSED_WITHIN if full else IDLE_MOST
        self._requests = RequestReader()
        self._reading: asyncio.Future[bytes] | None = None
        self._first_at = 0.0
        self._busy = False

    async def converse(self) -> None:
        self._stream.set_nodelay(True)
        keep = True
        while keep:
            try:
                request = await self._request()
            except Malformed as error:
                await self._refuse(error.status)
                return
            if request is None:
                return
            self._busy = True
            keep = request.keep and not self._full
            answer = await self._answer(request)
            if answer is None:
                return
            # Guards against closing over a request that came with this one, drain or not.
            keep = keep and (not self._callers.draining or self._requests.begun)
            await self._write(Answer(answer.status, answer.headers, answer.body, keep))
            self._busy = False

    def close_if_idle(self) -> None:
        """Guards against closing over a request that has come and is not yet read."""
        if self._busy or self._requests.begun or (self._reading is not None and self._reading.done()):
            return
        try:
            self._stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._stream.close()
        except OSError:
            pass

    async def _request(self) -> Request | None:
        """The next whole request; None when the caller has stood idle for too long."""
        while (request := self._requests.next()) is None:
            begun = self._requests.begun
            wait = self._first_at + HEAD_WITHIN - self._callers.clock() if begun else self._idle_most
            reading = self._read()
            if self._requests.awaits_go_ahead():
                await self._stream.write(GO_AHEAD)
            await asyncio.wait({reading}, timeout=max(0.0, wait))
            if reading.done():
                self._feed()
            elif begun:
                raise Malformed(408, "request too slow")
            else:
                return None
        return request

    async def _answer(self, request: Request) -> Answer | None:
        if request.path == words.READY and request.method == "GET":
            return Answer(200 if self._callers.ready() and not self._callers.draining else 503)
        if request.path != words.JOBS and not request.path.startswith(words.JOBS + "/"):
            return self._bad(404)
        if request.method not in ("GET", "POST"):
            return self._bad(405)
        ask = ask_of(request, self._callers.clock() - self._first_at)
        if ask is None or not request.headers.get(words.JOB_ID):
            return self._bad(400)
        self._callers.counters.add("taken")
        if self._full:
            self._callers.counters.add("answered_turned_back")
            return Answer(503)
        try:
            job = self._callers.take(ask, request)
        except Exception as error:
            self._callers.counters.add_failure("job failed in the node", error)
            return own_failure(self._callers.counters)
        return await self._job(job)

    async def _job(self, job: Job) -> Answer | None:
        """Waits for the job's answer, and reads on so that a caller who goes is noticed."""
        work = asyncio.create_task(job.answer())
        while not work.done():
            waiting: set[asyncio.Future[Any]] = {work}
            if self._requests.unread < PIECE:  # bounds what a caller can send ahead
                waiting.add(self._read())
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if self._reading is not None and self._reading.done() and not work.done():
                try:
                    self._feed()
                except StreamClosedError:
                    job.withdraw()
                    break
        answer = await work
        if answer is None:
            self._callers.counters.add("withdrawn")
        return answer

    def _read(self) -> asyncio.Future[bytes]:
        if self._reading is None:
            self._reading = read_piece(self._stream)
        return self._reading

    def _feed(self) -> None:
        assert self._reading is not None
        reading, self._reading = self._reading, None
        piece = reading.result()
        if not self._requests.begun:
            self._first_at = self._callers.clock()
        self._requests.feed(piece)

    def _bad(self, status: int) -> Answer:
        self._callers.counters.add("bad_requests")
        return Answer(status)

    async def _refuse(self, status: int) -> None:
        answer = self._bad(status)
        await self._write(Answer(answer.status, keep=False))

    async def _write(self, answer: Answer) -> None:
        try:
            async with asyncio.timeout(WRITTEN_WITHIN):
                await self._stream.write(encode_answer(answer))
        except TimeoutError as error:
            # Guards against a caller that reads nothing: a drain would wait for it.
            raise StreamClosedError from error
