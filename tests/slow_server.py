"""A server that reads requests slowly, or stops reading them, over connections that hold few bytes.

Loopback holds megabytes of a body in its buffers. Small segments and a small receive buffer make it hold as
little as a network does, so that a node has to wait for the server.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Self

SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 8 * 1024
READ_INTERVAL_S = 0.1
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LAST_CHUNK = b"0\r\n\r\n"


def small_segment_socket() -> socket.socket:
    """Return a TCP socket whose segments are as small as on a network."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setblocking(False)
    return sock


class SlowServer:
    """Reads `at_once` bytes of a connection, then `bytes_per_s`, and answers each request that is whole."""

    def __init__(self, at_once: int, bytes_per_s: int) -> None:
        self._at_once = at_once
        self._bytes_per_s = bytes_per_s
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def at(self) -> str:
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    async def __aenter__(self) -> Self:
        self._listener = small_segment_socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(100)
        self._run(self._accept())
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.add(asyncio.create_task(work))

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            connection.setblocking(False)
            self._run(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            while await self._read_request(connection):
                await asyncio.get_running_loop().sock_sendall(connection, ANSWER)

    async def _read_request(self, connection: socket.socket) -> bool:
        """Read one request; return False if the connection ends before."""
        received = bytearray()
        while not is_whole(received):
            read_size = self._at_once - len(received)
            if read_size <= 0:
                await asyncio.sleep(READ_INTERVAL_S)
                read_size = int(self._bytes_per_s * READ_INTERVAL_S)
            if read_size > 0:
                piece = await asyncio.get_running_loop().sock_recv(connection, read_size)
                if not piece:
                    return False
                received += piece
        return True


def is_whole(received: bytearray) -> bool:
    """Whether the bytes are one whole request."""
    end = received.find(b"\r\n\r\n")
    if end < 0:
        return False
    head = bytes(received[:end]).lower()
    if b"chunked" in head:
        return received.endswith(LAST_CHUNK)
    _, stated, rest = head.partition(b"content-length:")
    return not stated or len(received) >= end + 4 + int(rest.split(b"\r\n")[0])
