"""Callers on sockets: one request to a connection at a time, connections kept and opened as needed."""

from __future__ import annotations

import asyncio
from collections import deque

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_request
from notchjunction.http1.messages import Malformed, Request
from notchjunction.http1.parser import AnswerReader

KEEP_MOST = 64  # idle connections to one address; more are closed
Link = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Callers:
    """Shares no code with the node but the parsers, so that it does not share its faults."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[Link]] = {}

    async def ask(self, address: Address, request: Request, within: float) -> int | None:
        """The status of the answer; None where none came, or the connection ended first."""
        try:
            async with asyncio.timeout(within):
                return await self.exchange(address, request)
        except (TimeoutError, OSError, Malformed):
            return None

    async def exchange(self, address: Address, request: Request) -> int:
        """The same without a bound; OSError where the connection fails."""
        kept = self._idle.setdefault(address, deque())
        while kept and not _fit(kept[-1]):
            kept.pop()[1].close()
        reader, writer = kept.pop() if kept else await asyncio.open_connection(*address)
        fit = False
        try:
            writer.write(encode_request(request))
            answers = AnswerReader()
            while (answer := answers.next()) is None or answer.more:
                piece = await reader.read(65536)
                if not piece:
                    raise ConnectionResetError
                answers.feed(piece)
            fit = answer.keep and len(kept) < KEEP_MOST
        finally:
            if fit:
                kept.append((reader, writer))
            else:
                writer.close()
        return answer.status

    def forget(self, address: Address) -> None:
        """Closes what is kept to a place that has gone."""
        for _, writer in self._idle.pop(address, ()):
            writer.close()

    def close(self) -> None:
        for address in list(self._idle):
            self.forget(address)


def _fit(link: Link) -> bool:
    """Whether the other side has not ended it."""
    reader, writer = link
    return not (reader.at_eof() or reader.exception() or writer.is_closing())
