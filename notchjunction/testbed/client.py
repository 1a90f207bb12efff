"""HTTP clients of the testbed: one request at a time per connection, and a pool of idle connections."""

from __future__ import annotations

import asyncio
from collections import deque

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_request
from notchjunction.http1.messages import MalformedMessageError, Request
from notchjunction.http1.parser import ResponseReader

MAX_IDLE_CONNECTIONS = 64  # per address; a further connection is closed after its response
READ_SIZE = 65536  # bytes per read
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class FakeClients:
    """A pool of client connections by address.

    It shares no code with the node except the parsers, so that the node's faults do not hide here too.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, deque[Connection]] = {}

    async def request(self, address: Address, request: Request, timeout: float) -> int | None:
        """Sends a request; returns the response's status, or None without one in `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                return await self.exchange(address, request)
        except (TimeoutError, OSError, MalformedMessageError):
            return None

    async def exchange(self, address: Address, request: Request) -> int:
        """Sends a request and returns the response's status, without a timeout.

        Raises:
            OSError: The connection failed, or ended before the end of the response.
            MalformedMessageError: The bytes received are no response.
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
        """Closes the idle connections to an address that is no longer in use."""
        for _, writer in self._idle.pop(address, ()):
            writer.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.forget(address)


def _is_reusable(connection: Connection) -> bool:
    """Returns whether the connection is still open at both ends."""
    reader, writer = connection
    return not (reader.at_eof() or reader.exception() or writer.is_closing())
