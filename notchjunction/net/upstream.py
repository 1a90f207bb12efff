"""The connections to servers, kept by server and address; one dispatch or one probe on them."""

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
    AttemptWithheldError,
    ConnectionLostError,
    NoDescriptorError,
    RequestNotSentError,
    UpstreamConnection,
    create_connection,
)
from notchjunction.safety.preconditions import AttemptFacts, Refusal, deadline_to_send, may_write
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.flight_recorder import Occurrence

IDLE_TIMEOUT_SHARE = (
    0.75  # of the servers' idle time; then a connection is retired, so that no request crosses its end
)
MAX_IDLE_LIFETIMES = 8  # idle connections that a server ended, by which it is learned how long it keeps them
MIN_IDLE_LIFETIMES = 3  # of them; fewer are chance
IDLE_LIFETIME_WINDOW_S = (
    60.0  # s that they count; then the settings hold again, as the server may have changed
)
NO_REUSE_AFTER_RESET_S = (
    10.0  # s after a kept connection was reset in which what may run once only is not put on one
)
# s that a kept connection rests before it is used again; a second answer that is to come has come by then.
# It costs a node that sends a server r requests a second about r times 0.03 more connections there.
MIN_IDLE_BEFORE_REUSE_S = 0.03
PROBE_TIMEOUT_S = 0.5  # s that a probe may take; a later answer says little of now
SECOND_CONNECT_SHARE = (
    0.3  # of the connect time-out after which a second connection is tried beside one not yet up
)
LATE_CONNECT_TIMEOUT_S = (
    2.0  # s after which a connection that nobody waits for any more is given up; past most delays
)
MAX_LATE_CONNECTS = 2  # such connections of a server; more would be the trouble of one that takes none


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    outcome: ExchangeOutcome
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class AttemptSpec:
    """What an attempt of a job asks of the connections' owner; a probe has none of it."""

    endpoint: str
    expires_at: float  # s; the end of the time that it was given
    upload: Upload | None = None  # what follows the request's beginning
    upload_expires_at: Callable[[], float] = lambda: (
        math.inf
    )  # s; its end, once the last byte of `rest` has come
    on_response_start: Callable[[Download], None] | None = None  # told of a large answer
    acquire_quota: Callable[[float], bool] | None = (
        None  # whether limits let it, told to end within so many s
    )
    is_wanted: Callable[[], bool] = lambda: True  # its job has no answer, and it was not recalled
    client_connected: Callable[[], bool] = lambda: True
    repeatable_until: Callable[[], float] = lambda: math.inf  # s; until when it may be a repeat
    on_written: Callable[[float], None] = lambda told: None  # told as it is written, with the time told (s)

    def is_still_wanted(self) -> bool:
        """Whether it still concerns anybody; asked again and again while its server takes no more."""
        return self.is_wanted() and self.client_connected()


@dataclass(frozen=True, slots=True, eq=False)
class PendingConnect:
    """A connection that is to come up."""

    connection: UpstreamConnection
    up: asyncio.Task[None]


def parse_load_report(text: str | bytes) -> LoadReport | None:
    try:
        report = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return read_load_report(report) if isinstance(report, Mapping) else None


def result_of(answer: Response) -> AttemptResult:
    """The protocol's table; a status that it does not name is an unknown outcome."""
    if answer.status == 200:
        return AttemptResult.SUCCEEDED
    if answer.status in (503, 504):
        return AttemptResult.REJECTED if answer.headers.get(protocol.DECLINED) == "1" else AttemptResult.ERROR
    return AttemptResult.ERROR if answer.status == 500 else AttemptResult.UNKNOWN


class UpstreamPool:
    def __init__(
        self,
        clock: Callable[[], float],
        connect_within: float,
        idle_most: float,
        load_path: str,
        spare_one: Callable[[], bool],
        descriptors: Descriptors,
        counters: Counters,
        streams: StreamBuffers | None = None,
    ) -> None:
        self._clock = clock
        self._streams = streams or StreamBuffers()
        self.apply_settings(connect_within, idle_most, load_path)
        self._spare_one = spare_one
        self._descriptors = descriptors
        self._counters = counters
        self._recorder = counters.recorder
        self._addresses: dict[str, Address] = {}
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._late: dict[str, set[PendingConnect]] = {}
        self._reset_at = -math.inf
        self._lives: dict[str, deque[tuple[float, float]]] = {}
        counters.gauge("connections_idle", lambda: sum(len(kept) for kept in self._idle.values()))
        counters.gauge("endpoints_active", lambda: len(self._addresses))

    def apply_settings(self, connect_within: float, idle_most: float, load_path: str) -> None:
        """What the settings say, from now on."""
        self._connect_within = connect_within
        self._idle_most = idle_most * IDLE_TIMEOUT_SHARE
        self._load_path = load_path

    def set_endpoints(self, ready: Mapping[str, Address]) -> None:
        """The servers that may get new requests, and where; idle connections elsewhere are closed."""
        self._addresses = dict(ready)
        self._lives = {server: lives for server, lives in self._lives.items() if server in ready}
        self._retire(lambda server, connection: not self._current(server, connection))

    async def attempt(self, attempt: AttemptSpec, request: Request) -> ExchangeResult:
        """One attempt of a job; whether it may be written is decided as it is written."""
        upload = attempt.upload
        if upload is not None and upload.consumed:
            # Guards against a body without its middle: what was sent on before is not kept.
            return ExchangeResult(ExchangeOutcome(AttemptResult.NOT_SENT, 0.0, unrepeatable=True))
        # Guards against a caller's oddities, on which a server would close the connection.
        headers = {
            name: value
            for name, value in request.headers.items()
            if name in protocol.FORWARDED_REQUEST_HEADERS and value.isascii()
        }
        exchanged = await self._exchange(attempt, replace(request, headers=headers))
        return replace(
            exchanged, outcome=replace(exchanged.outcome, unrepeatable=upload is not None and upload.consumed)
        )

    async def probe(self, server: str) -> ExchangeOutcome:
        request = Request("GET", self._load_path, {"host": "probe"})
        probe = AttemptSpec(server, self._clock() + PROBE_TIMEOUT_S)
        exchanged = await self._exchange(probe, request)
        answer = exchanged.response
        if (
            exchanged.outcome.result is AttemptResult.SUCCEEDED
            and answer is not None
            and self._load_path == protocol.LOAD_PATH
        ):
            return ExchangeOutcome(
                AttemptResult.SUCCEEDED, exchanged.outcome.seconds, parse_load_report(answer.body)
            )
        return exchanged.outcome

    def close_stale(self) -> None:
        """Retires connections that have stood idle, or were closed by their server."""
        self._retire(lambda server, connection: not self._fit(server, connection))

    def close_oldest(self) -> bool:
        """Gives up one idle connection, where descriptors are short."""
        rows = [(kept[0].idle_since, server) for server, kept in self._idle.items() if kept]
        if not rows:
            return False
        self._close(self._idle[min(rows)[1]].popleft())
        return True

    def close(self) -> None:
        self.set_endpoints({})
        for dial in [dial for late in self._late.values() for dial in late]:
            dial.up.cancel()

    async def _exchange(self, attempt: AttemptSpec, request: Request) -> ExchangeResult:
        server, upload, begun = attempt.endpoint, attempt.upload, attempt.on_response_start
        began = self._clock()
        # A body under way is bounded by its caller's pace; the wait for the answer counts from its end.
        within = attempt.expires_at - began
        connection: UpstreamConnection | None = None
        writing = written = keep = False
        answer: Response | None = None
        answers = ResponseReader(max_body=MAX_BUFFERED_BODY_BYTES if begun is None else MAX_BODY_BYTES)
        first_after: float | None = None
        loop = asyncio.get_running_loop()

        def all_written() -> None:
            nonlocal began, written
            written = True
            if upload is not None:
                began = self._clock()
                limit.reschedule(loop.time() + within)

        try:
            async with asyncio.timeout(None if upload is not None else within) as limit:
                connection = await self._acquire(server, kept=self._may_be_kept(request))
                # From here to the first byte nothing else runs.
                request = self._permitted(attempt, request, connection, within)
                writing = True
                answer = await connection.exchange(
                    request, answers, upload, all_written, is_wanted=attempt.is_still_wanted
                )
            if answers.unread and not answer.more_body:
                self._strayed()
            result = result_of(answer)
            keep = answer.keep_alive
            if answer.more_body and result is AttemptResult.SUCCEEDED and begun is not None:
                first_after = self._clock() - began
                download = Download(self._streams, connection, answers, answer)
                begun(download)
                await download.ended
                # Guards against the rest of an answer whose caller went: it would pass for the next one's.
                keep = download.finished and answers.connection_reusable() and not download.moved
        except AttemptWithheldError:
            result, keep = AttemptResult.NOT_SENT, not writing
        except NoDescriptorError:
            result = AttemptResult.NOT_SENT
        except RequestNotSentError:
            result = AttemptResult.NO_CONNECTION
        except ConnectionLostError:
            result = AttemptResult.RESET
            if connection is not None and connection.has_served:
                self._reset_at = self._clock()
        except MalformedMessageError:
            # The called server's own doing: what a deeper one spoils comes up as a plain error.
            result = AttemptResult.MALFORMED
        except TimeoutError:
            result = AttemptResult.TIMED_OUT if written else AttemptResult.NO_CONNECTION
        finally:
            if connection is not None:
                self._give_back(server, connection, keep)
        report = answer.headers.get(protocol.ENDPOINT_LOAD) if answer is not None else None
        self._recorder.note(
            Occurrence.ATTEMPT_ENDED,
            request.headers.get(protocol.REQUEST_ID, ""),
            endpoint=server,
            result=result.value,
            after=round(self._clock() - began, 4),
            kept=str(keep),
        )
        # A large answer's time is that of its first bytes.
        seconds = self._clock() - began if first_after is None else first_after
        ended = ExchangeOutcome(result, seconds, parse_load_report(report) if report else None)
        return ExchangeResult(ended, answer)

    def _permitted(
        self, attempt: AttemptSpec, request: Request, connection: UpstreamConnection, within: float
    ) -> Request:
        """The request as it may be written at this moment; NotSent or Withheld where it may not.

        Guards against what has changed while its connection came up: the list, the caller, the time left, and
        what became of earlier attempts.
        """
        now = self._clock()
        is_probe = protocol.REQUEST_ID not in request.headers
        facts = AttemptFacts(
            now=now,
            # The time of a request whose body still comes counts from its last byte.
            expires_at=attempt.expires_at if attempt.upload is None else attempt.upload_expires_at(),
            is_wanted=attempt.is_wanted(),
            client_connected=attempt.client_connected(),
            listed=self._current(attempt.endpoint, connection),
            repeatable_until=attempt.repeatable_until(),
        )
        refusal = may_write(facts)
        told = min(within, deadline_to_send(now, facts.expires_at))
        if refusal is None and attempt.acquire_quota is not None and not attempt.acquire_quota(told):
            refusal = Refusal.NO_QUOTA
        if refusal is not None:
            self._withhold(attempt, request, refusal)
        if is_probe:
            return request
        attempt.on_written(told)
        job_id = request.headers[protocol.REQUEST_ID]
        self._recorder.note(
            Occurrence.ATTEMPT_WRITTEN,
            job_id,
            endpoint=attempt.endpoint,
            told=round(told, 3),
            kept=str(connection.has_served),
        )
        told_ms = str(max(1, int(told * 1000)))
        return replace(request, headers={**request.headers, protocol.DEADLINE_MS: told_ms})

    def _withhold(self, attempt: AttemptSpec, request: Request, refusal: Refusal) -> NoReturn:
        """What may not be written is not, and it is counted why."""
        self._counters.add(f"attempts_withheld_{refusal.name.lower()}")
        job_id = request.headers.get(protocol.REQUEST_ID, "")
        self._recorder.note(Occurrence.ATTEMPT_WITHHELD, job_id, endpoint=attempt.endpoint, why=refusal.value)
        if refusal is Refusal.NOT_LISTED:
            raise RequestNotSentError(refusal.value)
        raise AttemptWithheldError(refusal.value)

    def adopt_response(self, state: Mapping[str, Any], opened: socket.socket) -> Download:
        """The rest of an answer that another process of this node asked for; its connection ends with it."""
        answers = ResponseReader()
        answers.restore(state)
        connection = UpstreamConnection(("", 0), opened)
        self._descriptors.take()
        download = Download(self._streams, connection, answers, Response(200, more_body=True))
        download.ended.add_done_callback(lambda _: self._close(connection))
        return download

    def _may_be_kept(self, request: Request) -> bool:
        """Guards against jobs lost where servers end kept connections unheard: the next request is reset."""
        return request.method == "GET" or self._clock() - self._reset_at > NO_REUSE_AFTER_RESET_S

    async def _acquire(self, server: str, kept: bool) -> UpstreamConnection:
        """The newest idle connection that is fit and has rested, if one may be used; else a new one."""
        address = self._addresses.get(server)
        if address is None:
            raise RequestNotSentError("no longer in the list")
        idle = self._idle.get(server, deque()) if kept else deque()
        rested_by = self._clock() - MIN_IDLE_BEFORE_REUSE_S
        unsettled: deque[UpstreamConnection] = deque()
        found: UpstreamConnection | None = None
        while idle and found is None:
            connection = idle.pop()
            if connection.idle_since > rested_by:
                # Guards against a second answer that comes late: it would pass for the next request's.
                unsettled.appendleft(connection)
            elif self._fit(server, connection):
                found = connection
            else:
                self._counters.add("connections_stale")
                self._close_idle(server, connection)
        idle.extend(unsettled)
        if found is not None:
            return found
        if self._descriptors.full() and not self._make_room():
            self._counters.add("descriptors_exhausted")
            raise NoDescriptorError
        if unsettled:
            self._counters.add("connections_unsettled")
        return await self._dialled(server, address)

    def _make_room(self) -> bool:
        """Closes an idle connection, else a caller at rest."""
        return self.close_oldest() or self._spare_one()

    async def _dialled(self, server: str, address: Address) -> UpstreamConnection:
        """A new connection, or the first of two to come up; the other one may still serve a later request."""
        # Guards against requests lost one by one where many connections come up late, each by itself.
        dials = [self._dial(create_connection(address, self._make_room))]
        loop = asyncio.get_running_loop()
        until = loop.time() + self._connect_within
        first: PendingConnect | None = None
        try:
            done, _ = await asyncio.wait([dials[0].up], timeout=self._connect_within * SECOND_CONNECT_SHARE)
            if not done and not self._descriptors.full():
                with suppress(NoDescriptorError):
                    dials.append(self._dial(UpstreamConnection(address)))
                    self._counters.add("connections_raced")
            if not done:
                ups = [dial.up for dial in dials]
                left = max(0.0, until - loop.time())
                done, _ = await asyncio.wait(ups, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            # Guards against a connection that came up, passed by for one refused in the same turn.
            over = [dial for dial in dials if dial.up in done]
            first = min(over, key=lambda dial: dial.up.exception() is not None, default=None)
        finally:
            for dial in dials:
                if dial is not first:
                    self._leave(server, dial)
        if first is None:
            raise RequestNotSentError("connecting took too long")
        if error := first.up.exception():
            self._close(first.connection)
            raise error
        return first.connection

    def _dial(self, connection: UpstreamConnection) -> PendingConnect:
        self._descriptors.take()
        self._counters.add("connections_opened")
        return PendingConnect(connection, asyncio.create_task(connection.open()))

    def _leave(self, server: str, dial: PendingConnect) -> None:
        """Nobody waits for it any more: it is kept if it comes up soon, as long as there are few such."""
        late = self._late.setdefault(server, set())
        late.add(dial)
        dial.up.add_done_callback(lambda _: self._came_late(server, dial))
        if len(late) > MAX_LATE_CONNECTS or self._descriptors.full():
            dial.up.cancel()
        else:
            asyncio.get_running_loop().call_later(LATE_CONNECT_TIMEOUT_S, dial.up.cancel)

    def _came_late(self, server: str, dial: PendingConnect) -> None:
        self._late[server].discard(dial)
        if not self._late[server]:
            del self._late[server]
        up = not dial.up.cancelled() and dial.up.exception() is None
        self._give_back(server, dial.connection, keep=up)

    def _strayed(self) -> None:
        """A server sends what nobody asked for."""
        self._counters.add("responses_unsolicited")

    def _retire(self, unwanted: Callable[[str, UpstreamConnection], bool]) -> None:
        for server, kept in list(self._idle.items()):
            for connection in list(kept):
                if unwanted(server, connection):
                    kept.remove(connection)
                    self._close_idle(server, connection)
            if not kept:
                del self._idle[server]

    def is_listed(self, server: str) -> bool:
        """Whether the list has the server ready, and no operator has it out."""
        return server in self._addresses

    def _current(self, server: str, connection: UpstreamConnection) -> bool:
        """Whether the list still has the server ready, and at that address."""
        return self._addresses.get(server) == connection.address

    def _fit(self, server: str, connection: UpstreamConnection) -> bool:
        """Guards against a request that crosses the end of a connection its server is about to close."""
        return connection.idle_since > self._clock() - self._idle_limit(server) and connection.is_reusable()

    def _idle_limit(self, server: str) -> float:
        """By the settings, or by what the server did lately: it may keep idle connections for less."""
        lives = [
            life for at, life in self._lives.get(server, ()) if at > self._clock() - IDLE_LIFETIME_WINDOW_S
        ]
        if len(lives) < MIN_IDLE_LIFETIMES:
            return self._idle_most
        return min(self._idle_most, median_high(lives) * IDLE_TIMEOUT_SHARE)

    def _close_idle(self, server: str, connection: UpstreamConnection) -> None:
        if connection.idle_lifetime is not None and server in self._addresses:
            self._lives.setdefault(server, deque(maxlen=MAX_IDLE_LIFETIMES)).append(
                (self._clock(), connection.idle_lifetime)
            )
        self._close(connection)

    def _give_back(self, server: str, connection: UpstreamConnection, keep: bool) -> None:
        if keep and self._current(server, connection):
            connection.mark_idle(self._clock(), self._strayed)
            self._idle.setdefault(server, deque()).append(connection)
        else:
            self._close(connection)

    def _close(self, connection: UpstreamConnection) -> None:
        connection.close()
        self._descriptors.release()
        self._counters.add("connections_closed")
