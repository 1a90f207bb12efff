"""The memory of a node stays under its limit, whatever crowds of clients send, and however slowly."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from notchjunction.addresses import Address
from notchjunction.net.descriptors import Descriptors
from notchjunction.net.memory_budget import (
    COPIES,
    MAX_READ_BYTES,
    MIB,
    MIN_AVAILABLE_BYTES,
    MIN_READ_BYTES,
    READ_AHEAD_SHARE,
    REQUEST_BYTES,
    REQUEST_SHARE,
    STREAM_SHARE,
    WORK_BYTES,
    MemoryBudget,
    MemoryPool,
)
from tests.helpers import Peer, Program, configuration, rows, wire_of
from tests.test_large_bodies import BODY, MB, ScriptedConnection, ScriptedServer
from tests.test_net import run

CLIENTS = 340
MEMORY_LIMIT_MB = 64
CROWD_TIME_S = 4.0  # clients that stop in a request are owed an answer within 3 s
KIB = 1024


def budget_of(buffer_bytes: int) -> MemoryBudget:
    """Return a budget with a pool of that size for buffered bytes."""
    share = (1 - REQUEST_SHARE) * (1 - STREAM_SHARE)
    return MemoryBudget(WORK_BYTES + COPIES * buffer_bytes / share)


def test_reservations_wait_for_room_in_their_order_and_not_for_longer_than_their_timeout() -> None:
    async def scenario() -> None:
        budget = MemoryPool(10 * MIB)
        assert await budget.reserve(8 * MIB, 0.0)
        second = asyncio.create_task(budget.reserve(4 * MIB, 5.0))
        third = asyncio.create_task(budget.reserve(1 * MIB, 5.0))
        await asyncio.sleep(0)
        assert not await budget.reserve(1 * MIB, 0.01)  # it may not overtake the others
        assert not second.done() and not third.done()
        budget.release(8 * MIB)
        assert await second and await third and budget.reserved == 5 * MIB

    run(scenario())


def test_cancelled_reservation_holds_no_room_and_blocks_no_other() -> None:
    async def scenario() -> None:
        budget = MemoryPool(10 * MIB)
        assert await budget.reserve(8 * MIB, 0.0)
        large = asyncio.create_task(budget.reserve(9 * MIB, 5.0))
        small = asyncio.create_task(budget.reserve(1 * MIB, 5.0))
        await asyncio.sleep(0)
        large.cancel()
        assert await small and budget.reserved == 9 * MIB
        budget.release(9 * MIB)
        assert await budget.reserve(20 * MIB, 0.0)  # more than the budget, while nothing else is reserved

    run(scenario())


def test_budget_is_shared_by_the_processes_of_a_node_and_has_a_minimum() -> None:
    limit = 100 * MIB
    budget = MemoryBudget(limit, resident=20 * MIB)
    whole = budget.buffers.size
    budget.buffers.add(1 + int(whole / 2))
    assert not budget.allows_read_ahead
    budget.buffers.release(MIB)
    assert budget.allows_read_ahead
    budget.set_process_count(2)
    assert budget.buffers.size < whole / 2 and not budget.allows_read_ahead
    smallest = MemoryBudget(1.0, resident=20 * MIB)
    assert smallest.requests.size == REQUEST_SHARE * MIN_AVAILABLE_BYTES
    assert smallest.requests.size >= 10 * REQUEST_BYTES  # some requests can always be served
    smallest.buffers.add(int(READ_AHEAD_SHARE * smallest.buffers.size) - 1)
    assert smallest.allows_read_ahead and smallest.max_clients >= 10 and smallest.max_slow_requests >= 10


def test_clients_are_limited_by_the_memory_of_their_process_and_by_the_descriptors_of_the_node() -> None:
    descriptors = Descriptors(1024)
    allowed = descriptors.max_clients
    descriptors.limit_clients(100)
    descriptors.other_process_clients = 300  # of another process, which has memory of its own
    descriptors.clients = 99
    assert descriptors.max_clients == 100 and not descriptors.full_for_clients()
    descriptors.clients = 100
    assert descriptors.full_for_clients() and not descriptors.exhausted()
    descriptors.clients = 120
    assert descriptors.exhausted()
    descriptors.clients, descriptors.other_process_clients = 99, allowed - 99
    assert descriptors.full_for_clients()


def test_all_connections_together_read_no_more_at_once_than_the_budget_allows() -> None:
    budget = budget_of(10 * MIB)
    for connections in (1, 50, 500):
        size = budget.read_size(connections)
        assert MIN_READ_BYTES <= size <= MAX_READ_BYTES
        assert size * connections <= 10 * MIB
    assert MemoryBudget().read_size(1000) == MAX_READ_BYTES


def post(number: int, length: int, fields: bytes = b"") -> bytes:
    extra = b"Content-Length: %d\r\n" % length + fields
    return wire_of(number, left=5000, extra=extra.decode()).replace(b"GET", b"POST", 1)


def many_short_fields() -> bytes:
    return b"".join(b"%x:\r\n" % number for number in range(2200))


def two_bodies(number: int) -> bytes:
    request = post(number, 60 * KIB)
    return (request + BODY[: 60 * KIB]) + (request + BODY[: 60 * KIB])


# What each client of a crowd sends at full speed before it stops.
CROWDS: dict[str, Callable[[int], bytes]] = {
    "half of a large body": lambda number: post(number, 4 * MB) + BODY + BODY,
    "almost all of a small body": lambda number: post(number, 64 * KIB) + BODY[: 60 * KIB],
    "very many short fields": lambda number: post(number, 1000, many_short_fields()) + BODY[:1000],
    "two bodies at once": two_bodies,
    "much ahead": lambda number: post(number, 0) + b"GET / HTTP/1.1\r\nA: " + b"x" * (130 * KIB),
}


async def send_and_stop(address: Address, wire: bytes) -> socket.socket:
    """Connect, send as much as the node reads in the time of the crowd, and stay."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    try:
        async with asyncio.timeout(CROWD_TIME_S):
            await loop.sock_connect(client, address)
            await loop.sock_sendall(client, wire)
            await loop.sock_recv(client, 1)
            await asyncio.sleep(CROWD_TIME_S)
    except (TimeoutError, ConnectionError):
        pass
    return client


def peak_memory_mb(process_id: int) -> float:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the system does not tell the peak")


@pytest.mark.parametrize("crowd", CROWDS)
def test_crowd_of_clients_that_stop_does_not_exceed_the_memory_limit(crowd: str, tmp_path: Path) -> None:
    """Guards against a node that is killed because a crowd makes it hold too many bytes of requests."""

    async def hang(connection: ScriptedConnection) -> None:
        await asyncio.Event().wait()

    async def scenario() -> None:
        async with ScriptedServer(hang) as server:
            document: dict[str, Any] = configuration(layers=["web"])
            document["known"] = {"index": 1, "snapshot": True, "endpoints": rows(server)}
            document["limits"] = {"memory_mb": MEMORY_LIMIT_MB, "sockets": 1024}
            async with Program(tmp_path, document) as program:
                await program.says("ready")
                sends = (send_and_stop(program.listen, CROWDS[crowd](number)) for number in range(CLIENTS))
                clients = await asyncio.gather(*sends)
                peak = peak_memory_mb(program._process.pid)
                for client in clients:
                    client.close()
                assert peak < MEMORY_LIMIT_MB and program._process.returncode is None

    run(scenario())


def test_requests_of_usual_clients_are_served_beside_a_crowd_that_uses_all_memory(tmp_path: Path) -> None:
    """Guards against a budget that is used up by clients that stop, and so rejects everyone else."""

    async def scenario() -> None:
        async with Peer() as peer:
            document: dict[str, Any] = configuration(layers=["web"])
            document["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            document["limits"] = {"memory_mb": 32, "sockets": 1024}
            async with Program(tmp_path, document) as program:
                await program.says("ready")
                wires = [CROWDS["almost all of a small body"](number) for number in range(100)]
                crowd = [asyncio.create_task(send_and_stop(program.listen, wire)) for wire in wires]
                await asyncio.sleep(0.5)
                reader, writer = await asyncio.open_connection(*program.listen)
                for number in range(1000, 1020):
                    writer.write(post(number, 200) + BODY[:200])
                    assert b" 200 " in await reader.readline()
                    await reader.readuntil(b"ok")
                writer.close()
                for client in await asyncio.gather(*crowd):
                    client.close()

    run(scenario())
