"""Long responses that arrive slowly are forwarded, and not ended by the timeout of their attempt."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from notchjunction.addresses import Address
from tests.helpers import Program, configuration, rows
from tests.test_large_bodies import BODY, BodyClient, ScriptedConnection, ScriptedServer
from tests.test_net import run

LENGTH = 171_250  # above what a node holds back, and far below what systems buffer
BODY_BYTES = BODY[:LENGTH]
LATENCY_OBJECTIVE_MS = 500  # an attempt of the class times out after it
DEADLINE_MS = 1500
PAUSE_S = 0.9  # of the server: longer than the objective, shorter than the deadline
# s after the request at which the server sends its head: at once, and shortly before the attempt times out.
HEAD_TIMES = {"at once": 0.0, "late": 0.35}
LUMP = 27_000
CHUNK_HEAD = b"%x\r\n"


class Received(NamedTuple):
    status: int
    is_body_whole: bool


@asynccontextmanager
async def program_with(
    server: ScriptedServer, folder: Path, late_revenue: float = 0.0
) -> AsyncIterator[Address]:
    document: dict[str, Any] = configuration(layers=["web"])
    request_class: dict[str, Any] = {"name": "plain", "effect": "repeatable"}
    request_class |= {"contract_time": LATENCY_OBJECTIVE_MS, "tardy_revenue": late_revenue}
    document["settings"]["profiles"] = [{**request_class, "abandon_time": DEADLINE_MS}]
    document["known"] = {"index": 1, "snapshot": True, "endpoints": rows(server)}
    async with Program(folder, document) as program:
        await program.says("ready")
        yield program.listen


async def requested_response(address: Address, body: bytes | None = None) -> Received:
    client = await BodyClient().open(address)
    client.begin_request(body, deadline_ms=DEADLINE_MS)
    client.send(body or b"")
    status, response_body, is_complete = await client.read_response()
    client.writer.close()
    return Received(status, is_complete and response_body == BODY_BYTES)


def framed(framing: str, part: bytes) -> bytes:
    return CHUNK_HEAD % len(part) + part + b"\r\n" if framing == "chunks" else part


HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LENGTH,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "to the end": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}


@pytest.mark.parametrize("head_time", HEAD_TIMES)
@pytest.mark.parametrize("framing", HEADS)
def test_long_response_that_comes_in_lumps_is_not_cut_off(
    framing: str, head_time: str, tmp_path: Path
) -> None:
    """Guards against a hold that ends only with the next byte: the attempt's timeout ends the response."""

    async def send_lumps(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await asyncio.sleep(HEAD_TIMES[head_time])
        await connection.send(HEADS[framing], framed(framing, BODY_BYTES[:LUMP]))
        await asyncio.sleep(PAUSE_S)
        for at in range(LUMP, LENGTH, LUMP):
            await connection.send(framed(framing, BODY_BYTES[at : at + LUMP]))
            await asyncio.sleep(0.05)
        if framing == "chunks":
            await connection.send(b"0\r\n\r\n")

    async def scenario() -> None:
        async with ScriptedServer(send_lumps) as server, program_with(server, tmp_path) as address:
            assert await requested_response(address) == Received(200, True)

    run(scenario())


@pytest.mark.parametrize("framing", HEADS)
def test_long_response_whose_body_begins_after_the_timeout_of_its_attempt_is_not_cut_off(
    framing: str, tmp_path: Path
) -> None:
    """Guards against taking a response for missing whose head is there, whether or not it states a length."""

    async def send_head_first(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(HEADS[framing])
        await asyncio.sleep(PAUSE_S)
        await connection.send(framed(framing, BODY_BYTES))
        if framing == "chunks":
            await connection.send(b"0\r\n\r\n")

    async def scenario() -> None:
        async with ScriptedServer(send_head_first) as server, program_with(server, tmp_path) as address:
            assert await requested_response(address) == Received(200, True)

    run(scenario())


def test_long_response_to_a_body_that_was_taken_slowly_is_begun_before_the_clients_time_is_over(
    tmp_path: Path,
) -> None:
    """Guards against a hold that goes by the attempt's timeout, which ends after the client's time."""

    async def take_body_late(connection: ScriptedConnection) -> None:
        await asyncio.sleep(0.6 * DEADLINE_MS / 1000)
        await connection.read_request()
        await connection.send(HEADS["length"], BODY_BYTES[:LUMP])
        await asyncio.sleep(PAUSE_S)
        await connection.send(BODY_BYTES[LUMP:])

    async def scenario() -> None:
        async with (
            ScriptedServer(take_body_late) as server,
            program_with(server, tmp_path, late_revenue=0.5) as address,
        ):
            assert await requested_response(address, BODY * 6) == Received(200, True)

    run(scenario())
