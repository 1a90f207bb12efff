"""Final answers to clients whose body is held back, as its server reads it slowly or not at all.

A node process on loopback; a client's time counts from the last byte that it has sent.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from notchjunction.addresses import Address
from tests.helpers import Program, configuration
from tests.slow_server import LAST_CHUNK, SlowServer, small_segment_socket
from tests.test_net import run

KIB = 1024
DEADLINE_S = 1.0
MAX_DELAY_S = 0.5  # a later answer counts as lost
MAX_STOPPED_S = 3.0  # until a client that stops in a request gets an error or a close
LONGEST_DEADLINE_MS = 2500
CLIENT_PATIENCE_S = 12.0  # longer than any timeout of the node
READ_AT_ONCE_BYTES = 20_000
SERVER_NAMES = 3
# From bodies that the systems between client and server hold to such that they do not, in small steps.
SIZES = [*range(80 * KIB, 640 * KIB, 40 * KIB), 1024 * KIB, 2048 * KIB]
# The operators' clients send a body at 64 kB a second or faster.
STUCK, SLOW = 0, 64_000
SLOW_PIECE_BYTES, SLOW_BYTES_PER_S = 8 * KIB, 128_000  # of a slow client


class Upload(NamedTuple):
    size: int
    chunked: bool
    piece_bytes: int
    bytes_per_s: float  # 0: as fast as the node takes it


class Result(NamedTuple):
    upload: Upload
    sent_at: float | None  # s; when the last byte was written, if it was
    answered_at: float
    status: str

    @property
    def is_late(self) -> bool:
        return self.sent_at is not None and self.answered_at - self.sent_at > DEADLINE_S + MAX_DELAY_S


@asynccontextmanager
async def program_with(server: SlowServer, folder: Path) -> AsyncIterator[Program]:
    document: dict[str, Any] = configuration(layers=["web"])
    row = {"address": server.at, "zone": "a", "group": 0, "status": "active", "since_ms": 0}
    endpoints = [{"name": f"s{number}", **row} for number in range(SERVER_NAMES)]
    document["known"] = {"index": 1, "snapshot": True, "endpoints": endpoints}
    async with Program(folder, document) as program:
        await program.says("ready")
        yield program


async def send_body(client: socket.socket, upload: Upload) -> float:
    """Send the body; return when its last byte was written."""
    loop = asyncio.get_running_loop()
    for offset in range(0, upload.size, upload.piece_bytes):
        piece = b"z" * min(upload.piece_bytes, upload.size - offset)
        if upload.chunked:
            is_last = offset + len(piece) == upload.size
            piece = b"%x\r\n%b\r\n" % (len(piece), piece) + (LAST_CHUNK if is_last else b"")
        await loop.sock_sendall(client, piece)
        if upload.bytes_per_s:
            await asyncio.sleep(upload.piece_bytes / upload.bytes_per_s)
    return loop.time()


async def play_upload(node: Address, number: int, upload: Upload) -> Result:
    loop = asyncio.get_running_loop()
    framing = "Transfer-Encoding: chunked" if upload.chunked else f"Content-Length: {upload.size}"
    head = (
        f"POST /api HTTP/1.1\r\nHost: a\r\nReq-Id: upload-{number}\r\nReq-Kind: plain\r\n"
        f"Req-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n{framing}\r\n\r\n"
    )
    with small_segment_socket() as client:
        await loop.sock_connect(client, node)
        await loop.sock_sendall(client, head.encode())
        sending = asyncio.create_task(send_body(client, upload))
        status = "none"
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                status = (await loop.sock_recv(client, 64 * KIB)).decode().partition(" ")[2][:3]
        except TimeoutError:
            pass
        answered_at = loop.time()
        is_sent = sending.done() and sending.exception() is None
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return Result(upload, sending.result() if is_sent else None, answered_at, status)


async def play_uploads(folder: Path, bytes_per_s: int, uploads: list[Upload]) -> list[Result]:
    """Play all uploads at once, at a server that reads as many bytes a second once it has read some."""
    async with SlowServer(READ_AT_ONCE_BYTES, bytes_per_s) as server, program_with(server, folder) as program:
        plays = (play_upload(program.listen, *numbered) for numbered in enumerate(uploads))
        return await asyncio.gather(*plays)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("bytes_per_s", [STUCK, SLOW])
@pytest.mark.parametrize("piece_bytes", [1000, 16 * KIB, 4096 * KIB])
def test_final_answer_is_in_time_where_the_server_holds_a_body_back(
    chunked: bool, bytes_per_s: int, piece_bytes: int, tmp_path: Path
) -> None:
    """Guards against answers seconds late, where the rest of a body waits unread or with the client."""

    async def scenario() -> None:
        uploads = [Upload(size, chunked, piece_bytes, 0) for size in SIZES]
        results = await play_uploads(tmp_path, bytes_per_s, uploads)
        assert sum(result.sent_at is not None for result in results) > len(SIZES) / 2
        assert not [result for result in results if result.is_late]

    run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("bytes_per_s", [STUCK, SLOW])
def test_final_answer_is_in_time_where_client_and_server_are_slow(
    chunked: bool, bytes_per_s: int, tmp_path: Path
) -> None:
    """Guards against the same where the body comes slowly, and is held back only at its end."""

    async def scenario() -> None:
        sizes = range(80 * KIB, 400 * KIB, 20 * KIB)
        uploads = [Upload(size, chunked, SLOW_PIECE_BYTES, SLOW_BYTES_PER_S) for size in sizes]
        results = await play_uploads(tmp_path, bytes_per_s, uploads)
        assert not [result for result in results if result.is_late]

    run(scenario())


async def stop_in_body(node: Address, number: int, size: int, chunked: bool) -> float:
    """Send a part of a body slowly and wait; return after how long (s) the node answered or closed."""
    loop = asyncio.get_running_loop()
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {4096 * KIB}"
    head = (
        f"POST /api HTTP/1.1\r\nHost: a\r\nReq-Id: stop-{number}\r\nReq-Kind: plain\r\n"
        f"Req-Deadline-Ms: {LONGEST_DEADLINE_MS}\r\n{framing}\r\n\r\n"
    )
    with small_segment_socket() as client:
        await loop.sock_connect(client, node)
        chunk_head = b"%x\r\n" % (4096 * KIB) if chunked else b""
        await loop.sock_sendall(client, head.encode() + chunk_head)
        for _ in range(0, size, SLOW_PIECE_BYTES):
            await loop.sock_sendall(client, b"z" * SLOW_PIECE_BYTES)
            await asyncio.sleep(SLOW_PIECE_BYTES / SLOW_BYTES_PER_S)
        stopped_at = loop.time()
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                await loop.sock_recv(client, 64 * KIB)
        except TimeoutError:
            pass
        return loop.time() - stopped_at


@pytest.mark.parametrize("chunked", [False, True])
def test_client_that_stops_in_a_body_is_ended_where_its_server_has_stopped_reading_as_well(
    chunked: bool, tmp_path: Path
) -> None:
    """Guards against a client's pause that is looked at only while the node reads from it."""

    async def scenario() -> None:
        async with (
            SlowServer(READ_AT_ONCE_BYTES, STUCK) as server,
            program_with(server, tmp_path) as program,
        ):
            sizes = range(80 * KIB, 400 * KIB, SLOW_PIECE_BYTES)
            plays = (stop_in_body(program.listen, number, size, chunked) for number, size in enumerate(sizes))
            assert max(await asyncio.gather(*plays)) < MAX_STOPPED_S

    run(scenario())
