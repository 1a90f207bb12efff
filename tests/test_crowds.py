"""Crowds of slow clients: a node stays under its memory limit, and serves its other clients beside them."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from notchjunction.addresses import Address
from tests import crowd
from tests.helpers import Program, configuration, rows
from tests.test_large_bodies import MB, ScriptedConnection, ScriptedServer
from tests.test_memory import peak_memory_mb
from tests.test_net import run

CROWD_TIME_S = 5.0
SETTLE_TIME_S = 1.0  # after the crowd has come, until the answers to usual clients are counted
USUAL_CLIENTS = 5
REQUEST_INTERVAL_S = 0.05
# Share of the usual clients' requests that are served beside a crowd; the operators' gate wants half.
MIN_SERVED_SHARE = 0.5
# Clients hold no more than a third of the descriptors for requests; others connect by hundreds besides.
THIRD_OF_DESCRIPTORS = 340
HUNDREDS_MORE = 600
LEAST_MEMORY_MB = 32
MORE_MEMORY_MB = 64
MOST_MEMORY_MB = 192
LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (30 * MB)
SHORT_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PIECE = b"x" * 65536


async def serve(connection: ScriptedConnection) -> None:
    while True:
        request, _ = await connection.read_request()
        if request.path != crowd.LONG_ANSWER_PATH:
            await connection.send(SHORT_ANSWER)
            continue
        await connection.send(LONG_ANSWER)
        for _ in range(30 * MB // len(PIECE)):
            await connection.send(PIECE)


async def play_usual_client(address: Address, first_id: int, statuses: list[tuple[float, int]]) -> None:
    """Send small requests one after another, on a new connection after each that the node closes."""
    reader, writer = await asyncio.open_connection(*address)
    for number in range(first_id, first_id + 100_000):
        writer.write(crowd.head(number, length=200).replace(b"crowd-", b"usual-") + b"b" * 200)
        try:
            answer = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            answer = b"HTTP/1.1 000 closed"
        status = int(answer.split()[1])
        statuses.append((time.monotonic(), status))
        if status == 200:
            await reader.readexactly(2)
        await asyncio.sleep(REQUEST_INTERVAL_S)
        if status != 200:
            writer.close()
            reader, writer = await asyncio.open_connection(*address)


async def play_crowd(address: Address, form: str, clients: int) -> None:
    arguments = [*map(str, address), form, str(clients), str(CROWD_TIME_S)]
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", "tests.crowd", *arguments)
    assert await process.wait() == 0


class Outcome(NamedTuple):
    peak_mb: float
    statuses: Counter[int]  # of the usual clients' requests, once the crowd has come

    @property
    def served_share(self) -> float:
        return self.statuses[200] / self.statuses.total()


async def play_beside_usual_clients(form: str, clients: int, memory_mb: int, folder: Path) -> Outcome:
    async with ScriptedServer(serve) as server:
        document: dict[str, Any] = configuration(layers=["web"])
        document["known"] = {"index": 1, "snapshot": True, "endpoints": rows(server, server, server)}
        document["limits"] = {"memory_mb": memory_mb, "sockets": 1024}
        async with Program(folder, document) as program:
            await program.says("ready")
            statuses: list[tuple[float, int]] = []
            usual = [
                asyncio.create_task(play_usual_client(program.listen, 1_000_000 * index, statuses))
                for index in range(USUAL_CLIENTS)
            ]
            began_at = time.monotonic()
            await play_crowd(program.listen, form, clients)
            crowd_time = time.monotonic() - began_at  # shorter where the node refuses all of the crowd
            for task in usual:
                task.cancel()
            await asyncio.gather(*usual, return_exceptions=True)
            assert program._process.returncode is None
            counted_from = began_at + min(SETTLE_TIME_S, crowd_time / 2)
            counted = Counter(status for at, status in statuses if at > counted_from)
            outcome = Outcome(peak_memory_mb(program._process.pid), counted)
            print(f"peak {outcome.peak_mb:.1f} of {memory_mb} MB, {dict(counted)}, crowd {crowd_time:.1f} s")
            return outcome


SLOW_READERS = "read_a_long_answer_slowly"
CROWDS = [
    *((form, THIRD_OF_DESCRIPTORS, LEAST_MEMORY_MB) for form in crowd.FORMS if form != SLOW_READERS),
    ("stop_half_way", THIRD_OF_DESCRIPTORS, MORE_MEMORY_MB),
    (SLOW_READERS, THIRD_OF_DESCRIPTORS, MORE_MEMORY_MB),
    ("stop_half_way", HUNDREDS_MORE, MORE_MEMORY_MB),
    ("send_a_long_body_slowly", HUNDREDS_MORE, MORE_MEMORY_MB),
    ("send_a_long_body_slowly", HUNDREDS_MORE, MOST_MEMORY_MB),
]


@pytest.mark.parametrize(("form", "clients", "memory_mb"), CROWDS)
def test_crowd_does_not_exceed_the_memory_limit_and_leaves_usual_clients_served(
    form: str, clients: int, memory_mb: int, tmp_path: Path
) -> None:
    """Guards against a node that is killed for its memory, or serves nobody else, because of slow clients."""

    async def scenario() -> None:
        outcome = await play_beside_usual_clients(form, clients, memory_mb, tmp_path)
        assert outcome.peak_mb < memory_mb
        assert outcome.served_share >= MIN_SERVED_SHARE

    run(scenario())


def test_slow_readers_do_not_exceed_the_least_memory_limit(tmp_path: Path) -> None:
    """Guards against a node that is killed for its memory because its clients read slowly."""

    async def scenario() -> None:
        crowd_of_readers = (SLOW_READERS, THIRD_OF_DESCRIPTORS, LEAST_MEMORY_MB)
        outcome = await play_beside_usual_clients(*crowd_of_readers, tmp_path)
        assert outcome.peak_mb < LEAST_MEMORY_MB

    run(scenario())


def test_slow_readers_leave_usual_clients_served_under_the_least_memory_limit(tmp_path: Path) -> None:
    """Guards against slow readers that take all places for open requests."""

    async def scenario() -> None:
        crowd_of_readers = (SLOW_READERS, THIRD_OF_DESCRIPTORS, LEAST_MEMORY_MB)
        outcome = await play_beside_usual_clients(*crowd_of_readers, tmp_path)
        assert outcome.served_share >= MIN_SERVED_SHARE

    run(scenario())
