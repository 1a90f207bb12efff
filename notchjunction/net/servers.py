"""The connections to servers, kept by server and address; one dispatch or one probe on them."""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from statistics import median_high
from typing import Any

from notchjunction.decider import Ended
from notchjunction.http1.messages import BODY_MOST, LARGE_MOST, Answer, Malformed, Request
from notchjunction.http1.parser import AnswerReader
from notchjunction.interface import Load, Result
from notchjunction.net import words
from notchjunction.net.connections import Address, Connection, Cut, NoDescriptor, NotSent
from notchjunction.net.counters import Counters
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.relay import Download, Streams, Upload
from notchjunction.terms import load

IDLE_SHARE = (
    0.75  # of the servers' idle time; then a connection is retired, so that no request crosses its end
)
LIVES_KEPT = 8  # idle connections that a server ended, by which it is learned how long it keeps them
LIVES_LEAST = 3  # of them; fewer are chance
LIVES_SPAN = 60.0  # s that they count; then the settings hold again, as the server may have changed
DOUBT_SPAN = 10.0  # s after a kept connection was reset in which what may run once only is not put on one
PROBE_WITHIN = 0.5  # s that a probe may take; a later answer says little of now


class NoRight(NotSent):
    """A limit that holds for the whole fleet has no right left for it."""


@dataclass(frozen=True, slots=True)
class Exchanged:
    ended: Ended
    answer: Answer | None = None


def read_load(text: str | bytes) -> Load | None:
    try:
        report = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return load(report) if isinstance(report, Mapping) else None


def read_result(answer: Answer) -> Result:
    """The protocol's table; a status that it does not name is an unknown outcome."""
    if answer.status == 200:
        return Result.HONOURED
    if answer.status in (503, 504):
        return Result.FULL if answer.headers.get(words.DECLINED) == "1" else Result.ERROR
    return Result.ERROR if answer.status == 500 else Result.UNKNOWN


class Servers:
    def __init__(
        self,
        clock: Callable[[], float],
        connect_within: float,
        idle_most: float,
        load_path: str,
        spare_one: Callable[[], bool],
        descriptors: Descriptors,
        counters: Counters,
        streams: Streams | None = None,
    ) -> None:
        self._clock = clock
        self._streams = streams or Streams()
        self.retune(connect_within, idle_most, load_path)
        self._spare_one = spare_one
        self._descriptors = descriptors
        self._counters = counters
        self._addresses: dict[str, Address] = {}
        self._idle: dict[str, deque[Connection]] = {}
        self._reset_at = -math.inf
        self._lives: dict[str, deque[tuple[float, float]]] = {}
        counters.gauge("connections_idle", lambda: sum(len(kept) for kept in self._idle.values()))
        counters.gauge("servers_known", lambda: len(self._addresses))

    def retune(self, connect_within: float, idle_most: float, load_path: str) -> None:
        """What the settings say, from now on."""
        self._connect_within = connect_within
        self._idle_most = idle_most * IDLE_SHARE
        self._load_path = load_path

    def point(self, ready: Mapping[str, Address]) -> None:
        """The servers that may get new requests, and where; idle connections elsewhere are closed."""
        self._addresses = dict(ready)
        self._lives = {server: lives for server, lives in self._lives.items() if server in ready}
        self._retire(lambda server, connection: not self._current(server, connection))

    async def dispatch(
        self,
        server: str,
        request: Request,
        within: float,
        rest: Upload | None = None,
        begun: Callable[[Download], None] | None = None,
        may_write: Callable[[float], bool] | None = None,
    ) -> Exchanged:
        """One dispatch; `rest` is what follows the request's beginning, `begun` is told of a large answer.

        `may_write` is asked at the very writing, with the time that the server is told (s).
        """
        if rest is not None and rest.spent:
            # Guards against a body without its middle: what was sent on before is not kept.
            return Exchanged(Ended(Result.NEVER_SENT, 0.0, spent=True))
        # Guards against a caller's oddities, on which a server would close the connection.
        headers = {
            name: value for name, value in request.headers.items() if name in words.ONWARD and value.isascii()
        }
        headers[words.TIME_LEFT] = str(max(1, int(within * 1000)))
        onward = replace(request, headers=headers)
        exchanged = await self._exchange(server, onward, within, rest, begun, may_write)
        return replace(exchanged, ended=replace(exchanged.ended, spent=rest is not None and rest.spent))

    async def probe(self, server: str) -> Ended:
        request = Request("GET", self._load_path, {"host": "probe"})
        exchanged = await self._exchange(server, request, PROBE_WITHIN)
        answer = exchanged.answer
        if exchanged.ended.result is Result.HONOURED and answer is not None and self._load_path == words.LOAD:
            return Ended(Result.HONOURED, exchanged.ended.seconds, read_load(answer.body))
        return exchanged.ended

    def sweep(self) -> None:
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
        self.point({})

    async def _exchange(
        self,
        server: str,
        request: Request,
        within: float,
        rest: Upload | None = None,
        begun: Callable[[Download], None] | None = None,
        may_write: Callable[[float], bool] | None = None,
    ) -> Exchanged:
        began = self._clock()
        connection: Connection | None = None
        written = keep = False
        answer: Answer | None = None
        answers = AnswerReader(large_most=BODY_MOST if begun is None else LARGE_MOST)
        first_after: float | None = None
        loop = asyncio.get_running_loop()

        def all_written() -> None:
            nonlocal began, written
            written = True
            if rest is not None:
                began = self._clock()
                limit.reschedule(loop.time() + within)

        try:
            # A body under way is bounded by its caller's pace; the wait for the answer counts from its end.
            async with asyncio.timeout(None if rest is not None else within) as limit:
                connection = await self._connected(server, kept=self._may_be_kept(request))
                if may_write is not None and not may_write(within):
                    raise NoRight
                answer = await connection.exchange(request, answers, rest, all_written)
            result = read_result(answer)
            keep = answer.keep
            if answer.more and result is Result.HONOURED and begun is not None:
                first_after = self._clock() - began
                download = Download(self._streams, connection, answers, answer)
                begun(download)
                await download.ended
                keep = answers.kept() and not download.moved
        except NoRight:
            result, keep = Result.NEVER_SENT, True
        except NoDescriptor:
            result = Result.NEVER_SENT
        except NotSent:
            result = Result.NO_CONNECTION
        except Cut:
            result = Result.RESET
            if connection is not None and connection.kept:
                self._reset_at = self._clock()
        except Malformed:
            # The called server's own doing: what a deeper one spoils comes up as a plain error.
            result = Result.SPOILT
        except TimeoutError:
            result = Result.TIMED_OUT if written else Result.NO_CONNECTION
        finally:
            if connection is not None:
                self._give_back(server, connection, keep)
        report = answer.headers.get(words.SERVER_LOAD) if answer is not None else None
        # A large answer's time is that of its first bytes.
        seconds = self._clock() - began if first_after is None else first_after
        ended = Ended(result, seconds, read_load(report) if report else None)
        return Exchanged(ended, answer)

    def adopt(self, state: Mapping[str, Any], opened: socket.socket) -> Download:
        """The rest of an answer that another process of this node asked for; its connection ends with it."""
        answers = AnswerReader()
        answers.go_on(state)
        connection = Connection(("", 0), opened)
        self._descriptors.take()
        download = Download(self._streams, connection, answers, Answer(200, more=True))
        download.ended.add_done_callback(lambda _: self._close(connection))
        return download

    def _may_be_kept(self, request: Request) -> bool:
        """Guards against jobs lost where servers end kept connections unheard: the next request is reset."""
        return request.method == "GET" or self._clock() - self._reset_at > DOUBT_SPAN

    async def _connected(self, server: str, kept: bool) -> Connection:
        """The newest idle connection that is fit, if one may be used; else a new one to a ready server."""
        address = self._addresses.get(server)
        if address is None:
            raise NotSent("no longer in the list")
        idle = self._idle.get(server, deque()) if kept else deque()
        while idle:
            connection = idle.pop()
            if self._fit(server, connection):
                return connection
            self._counters.add("connections_found_unfit")
            self._close_idle(server, connection)
        if self._descriptors.full() and not self.close_oldest() and not self._spare_one():
            self._counters.add("descriptors_short")
            raise NoDescriptor
        connection = self._new(address)  # takes no descriptor of the budget where there is none to be had
        self._descriptors.take()
        self._counters.add("connections_opened")
        try:
            async with asyncio.timeout(self._connect_within):
                await connection.open()
            # Guards against a request to a server that the list has dropped while the connection came up.
            if not self._current(server, connection):
                raise NotSent("no longer in the list")
        except TimeoutError as error:
            self._close(connection)
            raise NotSent("connecting took too long") from error
        except BaseException:
            self._close(connection)
            raise
        return connection

    def _new(self, address: Address) -> Connection:
        try:
            return Connection(address)
        except NoDescriptor:
            # Guards against callers at rest holding what others left of the operating system's descriptors.
            if not self.close_oldest() and not self._spare_one():
                raise
            return Connection(address)

    def _retire(self, unwanted: Callable[[str, Connection], bool]) -> None:
        for server, kept in list(self._idle.items()):
            for connection in list(kept):
                if unwanted(server, connection):
                    kept.remove(connection)
                    self._close_idle(server, connection)
            if not kept:
                del self._idle[server]

    def _current(self, server: str, connection: Connection) -> bool:
        """Whether the list still has the server ready, and at that address."""
        return self._addresses.get(server) == connection.address

    def _fit(self, server: str, connection: Connection) -> bool:
        """Guards against a request that crosses the end of a connection its server is about to close."""
        return connection.idle_since > self._clock() - self._idle_limit(server) and connection.fit()

    def _idle_limit(self, server: str) -> float:
        """By the settings, or by what the server did lately: it may keep idle connections for less."""
        lives = [life for at, life in self._lives.get(server, ()) if at > self._clock() - LIVES_SPAN]
        if len(lives) < LIVES_LEAST:
            return self._idle_most
        return min(self._idle_most, median_high(lives) * IDLE_SHARE)

    def _close_idle(self, server: str, connection: Connection) -> None:
        if connection.lived is not None and server in self._addresses:
            self._lives.setdefault(server, deque(maxlen=LIVES_KEPT)).append((self._clock(), connection.lived))
        self._close(connection)

    def _give_back(self, server: str, connection: Connection, keep: bool) -> None:
        if keep and self._current(server, connection):
            connection.rest(self._clock())
            self._idle.setdefault(server, deque()).append(connection)
        else:
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        connection.close()
        self._descriptors.give_back()
        self._counters.add("connections_closed")
