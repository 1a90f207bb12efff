"""HTTP clients of a testbed: one request to a connection at a time, connections kept and opened as needed."""

from __future__ import annotations

import asyncio
from collections import deque

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_request
from notchjunction.http1.messages import MalformedMessageError, Request
from notchjunction.http1.parser import ResponseReader

MAX_IDLE_CONNECTIONS = 64  # to one address; a connection beyond these is closed after its response
READ_SIZE = 65536  # bytes read at once
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class FakeClients:
    """A pool of client connections by address.

    Shares no code with the node but the parsers, so that it does not share its faults.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, deque[Connection]] = {}

    async def request(self, address: Address, request: Request, timeout: float) -> int | None:
        """Sends a request; the response's status, or None without a response in `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                return await self.exchange(address, request)
        except (TimeoutError, OSError, MalformedMessageError):
            return None

    async def exchange(self, address: Address, request: Request) -> int:
        """Sends a request and waits without a bound for the response's status.

        Raises:
            OSError: The connection failed or ended before the whole response.
            MalformedMessageError: What came is no response.
        """
        idle = self._idle.setdefault(address, deque())
        while idle and not _is_reusable(idle[-1]):
            idle.pop()[1].close()
        reader, writer = idle.pop() if idle else await asyncio.open_connection(*address)
        reusable = False
        try:
            writer.write(encode_request(request))
            responses = ResponseReader()
            while (response := responses.next()) is None or response.more_body:
                data = await reader.read(READ_SIZE)
                if not data:
                    raise ConnectionResetError
                responses.feed(data)
            reusable = response.keep_alive and len(idle) < MAX_IDLE_CONNECTIONS
        finally:
            if reusable:
                idle.append((reader, writer))
            else:
                writer.close()
        return response.status

    def forget(self, address: Address) -> None:
        """Closes the idle connections to an address whose server has gone."""
        for _, writer in self._idle.pop(address, ()):
            writer.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.forget(address)


def _is_reusable(connection: Connection) -> bool:
    """Whether the peer has not ended the connection."""
    reader, writer = connection
    return not (reader.at_eof() or reader.exception() or writer.is_closing())
