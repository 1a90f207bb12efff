"""Clients that use a node as the protocol allows: kept connections, leaving early, slow and odd writers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any

from notchjunction.http1.messages import Malformed
from notchjunction.http1.parser import AnswerReader
from notchjunction.soak.events import Effect, Exchange, Journal
from notchjunction.soak.node import SoakNode

ANSWER_MOST = 0.8  # s past its deadline that a client waits; past the slack that the oracle allows
RESEND_MOST = 1  # times that a request which crossed a close is sent again
NEW_CONNECTIONS_SPAN = 0.3  # s after SIGTERM in which clients still open connections
HALF_CLOSED_FOR = 0.2  # s for which a client that has ended its sending keeps the connection
PIPELINED = 3  # requests at once on one connection
LARGE_REQUEST = 150 * 1024  # bytes of a body that a node passes on in pieces


class Manner(Enum):
    """How a client writes its request, and whether it stays."""

    PLAIN = auto()
    LEAVES = auto()  # closes before its answer came
    RESETS = auto()  # the same with a reset
    HALF_CLOSES = auto()  # ends its sending, which means that it has gone
    SLOW = auto()  # writes in pieces
    LARGE = auto()  # a body of many pieces
    STOPS = auto()  # writes half a request and stays
    PIPELINES = auto()  # the next request right behind the first
    CHUNKED = auto()  # a body of unknown length
    EXPECTS = auto()  # holds its body back until it is told to go on
    NONSENSE = auto()


LEAVING_MANNERS = (Manner.LEAVES, Manner.RESETS, Manner.HALF_CLOSES)


@dataclass(slots=True)
class Traffic:
    """What clients send; shares from 0 to 1."""

    rate: float = 100.0  # requests a second over all nodes
    deadlines: tuple[float, ...] = (0.02, 0.1, 0.3, 0.8, 1.5, 2.5)  # s
    odd_share: float = 0.15  # of requests that are not PLAIN
    manners: tuple[Manner, ...] = (Manner.LEAVES, Manner.SLOW)
    effects: tuple[Effect, ...] = (Effect.SAFE, Effect.SAFE, Effect.KEYED, Effect.UNSAFE)


class Link:
    """A connection of a client to a node."""

    def __init__(self, node: SoakNode, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.node = node
        self.generation = node.generation
        self.reader, self.writer = reader, writer
        self.used = False

    def is_open(self) -> bool:
        return not (self.reader.at_eof() or self.reader.exception() or self.writer.is_closing())

    def abort(self) -> None:
        """Ends it with a reset."""
        with suppress(OSError, AttributeError):
            opened = self.writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@contextmanager
def noting_end(each: Exchange) -> Iterator[None]:
    """Notes how an exchange ended that got no whole answer."""
    loop = asyncio.get_running_loop()
    try:
        yield
    except TimeoutError:
        each.ended_at = loop.time()
    except asyncio.CancelledError:
        each.client_left_at = loop.time()
        raise
    except (OSError, Malformed):
        each.closed_at = loop.time()


class Clients:
    """All clients of a run; connections are kept to each node and used until they close."""

    def __init__(self, nodes: list[SoakNode], journal: Journal, random: Random, prefix: str) -> None:
        self.traffic = Traffic()
        self._nodes = nodes
        self._journal = journal
        self._random = random
        self._prefix = prefix
        self._count = 0
        self._kept: dict[str, deque[Link]] = {node.name: deque() for node in nodes}
        self._tasks: set[asyncio.Task[None]] = set()
        self._crowd: list[Link] = []

    async def arrive(self, until: float) -> None:
        """Open loop: requests come whether or not earlier ones were answered."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        while at < until:
            await asyncio.sleep(at - loop.time())
            self._start(self._one())
            at += self._random.expovariate(self.traffic.rate)

    async def press_ending(self, node: SoakNode, until: float) -> None:
        """Sends on every connection to a node that ends for as long as any stays open."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            kept = self._kept[node.name]
            while kept:
                link = kept.popleft()
                if link.is_open() and link.generation == node.generation:
                    self._start(self._one(link))
            await asyncio.sleep(0.02)

    async def crowd(self, node: SoakNode, count: int, seconds: float) -> None:
        """Clients that connect and say nothing."""
        links = []
        for _ in range(count):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    links.append(await self._connect(node))
        await asyncio.sleep(seconds)
        for link in links:
            link.writer.close()

    def leave_in_a_burst(self, share: float) -> None:
        """So many of those who wait close at once."""
        for task in list(self._tasks):
            if self._random.random() < share:
                task.cancel()

    async def finish(self, seconds: float) -> None:
        """Waits until all requests have ended, at most so long."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _one(self, link: Link | None = None) -> None:
        """One request with a new id; on this connection, or as a client picks one."""
        random = self._random
        manner = Manner.PLAIN
        if random.random() < self.traffic.odd_share:
            manner = random.choice(self.traffic.manners)
        effect = random.choice(self.traffic.effects)
        deadline = random.choice(self.traffic.deadlines)
        key = f"k{self._prefix}{self._count}"
        if manner is Manner.PIPELINES:
            await self._pipelined(link or await self._pick(), effect, deadline)
            return
        for _ in range(RESEND_MOST + 1):
            if link is None:
                link = await self._pick()
            if link is None:
                return
            each = self._new_exchange(link, effect, deadline)
            await self._exchange(link, each, manner, key)
            crossed = each.closed_at is not None and each.client_left_at is None
            if not crossed or manner is not Manner.PLAIN:
                return
            link = None

    def _new_exchange(self, link: Link, effect: Effect, deadline: float) -> Exchange:
        self._count += 1
        each = Exchange(
            f"{self._prefix}{self._count}",
            link.node.name,
            effect,
            deadline,
            asyncio.get_running_loop().time(),
            first_on_connection=not link.used,
        )
        self._journal.exchanges.append(each)
        link.used = True
        return each

    async def _pipelined(self, link: Link | None, effect: Effect, deadline: float) -> None:
        """Several requests at once on one connection; each counts from its own turn at the latest."""
        if link is None:
            return
        loop = asyncio.get_running_loop()
        # One reader: several answers may come at once.
        answers = AnswerReader(body_most=1 << 26)
        waiting = [self._new_exchange(link, effect, deadline) for _ in range(PIPELINED)]
        for each in waiting:
            link.writer.write(self._wire(each, Manner.PLAIN, f"k{each.request}"))
        try:
            for each in waiting:
                each.sent_at = loop.time()
                with noting_end(each):
                    async with asyncio.timeout(deadline + ANSWER_MOST):
                        await self._answer(link, each, answers)
                if each.status is None or each.closing:
                    break
        finally:
            # Those behind one that ended the connection were never owed an answer on it.
            link.writer.close()

    async def _pick(self) -> Link | None:
        """A kept connection to a random node, or a new one where the front would still open one."""
        now = asyncio.get_running_loop().time()
        nodes = [node for node in self._nodes if self._takes_new(node, now) or self._kept[node.name]]
        self._random.shuffle(nodes)
        for node in nodes:
            kept = self._kept[node.name]
            while kept:
                link = kept.pop()
                if link.is_open() and link.generation == node.generation:
                    return link
                link.writer.close()
            if self._takes_new(node, now):
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(1.0):
                        return await self._connect(node)
        return None

    def _takes_new(self, node: SoakNode, now: float) -> bool:
        if node.terminated_at is not None:
            return now < node.terminated_at + NEW_CONNECTIONS_SPAN
        return node.ready

    async def _connect(self, node: SoakNode) -> Link:
        reader, writer = await asyncio.open_connection(*node.listen)
        return Link(node, reader, writer)

    async def _exchange(self, link: Link, each: Exchange, manner: Manner, key: str) -> None:
        kept = False
        try:
            with noting_end(each):
                await self._write(link, each, manner, key)
                if manner in LEAVING_MANNERS:
                    kept = await self._answer_or_leave(link, each, manner)
                else:
                    async with asyncio.timeout(each.deadline_seconds + ANSWER_MOST):
                        kept = await self._answer(link, each)
        finally:
            if kept and link.is_open():
                self._kept[link.node.name].append(link)
            else:
                link.writer.close()

    async def _answer_or_leave(self, link: Link, each: Exchange, manner: Manner) -> bool:
        """Waits for a part of its time, and goes where no answer came."""
        try:
            async with asyncio.timeout(self._random.random() * each.deadline_seconds):
                return await self._answer(link, each)
        except TimeoutError:
            each.client_left_at = asyncio.get_running_loop().time()
        if manner is Manner.RESETS:
            link.abort()
        elif manner is Manner.HALF_CLOSES:
            with suppress(OSError):
                link.writer.write_eof()
            await asyncio.sleep(HALF_CLOSED_FOR)
        return False

    async def _write(self, link: Link, each: Exchange, manner: Manner, key: str) -> None:
        wire = self._wire(each, manner, key)
        loop = asyncio.get_running_loop()
        if manner is Manner.STOPS:
            each.malformed = True
            link.writer.write(wire[: len(wire) // 2])
            return
        if manner is Manner.NONSENSE:
            each.malformed = True
            link.writer.write(b"\x16\x03\x01 what?\r\n\r\n")
            return
        if manner is Manner.EXPECTS:
            head, _, body = wire.partition(b"\r\n\r\n")
            link.writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
            await asyncio.sleep(0.05 * self._random.random())
            each.sent_at = loop.time()
            link.writer.write(body)
            return
        if manner in (Manner.SLOW, Manner.LARGE):
            pieces = 4
            step = len(wire) // pieces + 1
            for index in range(pieces):
                each.sent_at = loop.time()
                link.writer.write(wire[index * step : (index + 1) * step])
                await link.writer.drain()
                if index < pieces - 1:
                    each.sent_at = None
                    await asyncio.sleep(0.05 * self._random.random())
            return
        each.sent_at = loop.time()
        link.writer.write(wire)

    def _wire(self, each: Exchange, manner: Manner, key: str) -> bytes:
        body = b""
        if each.effect is not Effect.SAFE:
            body = b"b" * (LARGE_REQUEST if manner is Manner.LARGE else 10)
        lines = [
            f"{'GET' if each.effect is Effect.SAFE else 'POST'} /api HTTP/1.1",
            "Host: app.svc",
            f"Req-Id: {each.request}",
            f"Req-Kind: {each.effect.value}",
            f"Req-Deadline-Ms: {int(each.deadline_seconds * 1000)}",
        ]
        if each.effect is Effect.KEYED:
            lines.append(f"Idempotency-Key: {key}")
        if body and manner is Manner.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x;x=1\r\n%b\r\n0\r\nTrailer: 1\r\n\r\n" % (len(body), body)
        elif body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _answer(self, link: Link, each: Exchange, answers: AnswerReader | None = None) -> bool:
        """Reads the answer; whether the connection can be used again. OSError where it ends first."""
        answers = answers or AnswerReader(body_most=1 << 26)
        while (answer := answers.next()) is None:
            piece = await link.reader.read(65536)
            if not piece:
                raise ConnectionResetError
            each.answer_begun = True
            answers.feed(piece)
        each.ended_at = asyncio.get_running_loop().time()
        each.status, each.body = answer.status, answer.body
        each.closing = "close" in answer.headers.get("connection", "").lower()
        return answer.keep
