"""Clients read long answers slowly and without a pause: does each answer come whole?"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass

from standins.case import Stage, run
from standins.discovery import Discovery
from standins.http import Address, Message, encode, text_of
from standins.record import Record
from standins.server import Server

CLIENTS = 4
ANSWER_BYTES = 12_000_000  # "Answers and bodies of up to 32 MB occur ... read and written slowly"
READ_BYTES = 6_400
READ_S = 0.1  # between two reads: 64 kB a second, the slowest pace that the page names
SLOW_S = 40.0  # for so long; then each client reads the rest at full speed
LONGEST_S = 60.0
DEADLINE_MS = 2000
SETTINGS = {
    "layers": ["ledger"],
    "layer": 0,
    "group_size": 1,
    "registry_mode": "subscribe",
    "limits": {
        "max_dispatches": 3,
        "cancel": True,
        "probes": True,
        "second_copies": True,
        "conn_idle": 15000,
        "connect_timeout": 250,
    },
    "invariants": {"ask_within": 10000, "drain_grace": 1000},
    "profiles": [
        {
            "name": "rate-check",
            "effect": "repeatable",
            "contract_time": DEADLINE_MS,
            "abandon_time": DEADLINE_MS,
            "revenue": 5,
        }
    ],
}


async def work(server: Server, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answers with 12 MB at once, and gives them as fast as they are taken."""
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
    writer.write(b"a" * ANSWER_BYTES)
    await writer.drain()


@dataclass
class Reading:
    """A client that reads one long answer."""

    number: int
    status: int | None = None
    got: int = 0
    longest_gap_s: float = 0.0  # between two reads
    pause_s: float = 0.0  # after each read
    ended: bool = False


async def read_answer(address: Address, reading: Reading, record: Record) -> None:
    """Sends one request, and reads its answer at the client's pace."""
    loop = asyncio.get_running_loop()
    headers = {
        "Host": "app.svc",
        "Req-Id": f"r-{reading.number}",
        "Req-Kind": "rate-check",
        "Req-Deadline-Ms": str(DEADLINE_MS),
    }
    with socket.socket() as sock, suppress(OSError):
        sock.setblocking(False)
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, encode("GET /api HTTP/1.1", headers))
        record.note("sent", id=f"r-{reading.number}")
        head = b""
        while b"\r\n\r\n" not in head and (piece := await loop.sock_recv(sock, READ_BYTES)):
            head += piece
        if head:
            reading.status = int(head.split(b" ")[1])
            reading.got = len(head.partition(b"\r\n\r\n")[2])
        read_at, noted_at = record.now(), 0.0
        while reading.status == 200 and reading.got < ANSWER_BYTES:
            piece = await loop.sock_recv(sock, READ_BYTES)
            if not piece:
                break
            reading.got += len(piece)
            reading.longest_gap_s = max(reading.longest_gap_s, record.now() - read_at)
            read_at = record.now()
            if read_at - noted_at > 5:
                noted_at = record.note("reading", id=f"r-{reading.number}", got=reading.got)
            await asyncio.sleep(reading.pause_s)
    reading.ended = True
    record.note(
        "answer ended",
        id=f"r-{reading.number}",
        status=reading.status,
        got=reading.got,
        of=ANSWER_BYTES,
        longest_gap_s=f"{reading.longest_gap_s:.2f}",
    )


async def play(stage: Stage) -> int:
    """Plays the case; returns the exit status."""
    record = stage.record
    servers = [Server(f"s{number}", record, work) for number in range(2)]
    discovery = Discovery()
    for server in servers:
        await server.start()
    await discovery.start(server.row(text_of(server.address)) for server in servers)
    config = {"discovery": text_of(discovery.address), "known": discovery.snapshot(), "settings": SETTINGS}
    node = stage.add_node("n1", config)
    node.start()
    await node.wait_ready()
    pause_s = READ_S if stage.trouble else 0.0
    readings = [Reading(number, pause_s=pause_s) for number in range(CLIENTS)]
    tasks: list[asyncio.Task[None]] = []
    for reading in readings:
        tasks.append(asyncio.create_task(read_answer(node.listen, reading, record)))
        await asyncio.sleep(0.1)
    await asyncio.wait(tasks, timeout=SLOW_S)
    for reading in readings:
        reading.pause_s = 0.0
    await asyncio.wait(tasks, timeout=LONGEST_S)
    begun = [reading for reading in readings if reading.status == 200]
    if not begun:
        raise RuntimeError("no answer has begun")
    broken = [
        f"the answer to r-{reading.number} was {'cut off' if reading.ended else 'held back'} "
        f"after {reading.got} of {ANSWER_BYTES} bytes; "
        f"its client never paused for more than {reading.longest_gap_s:.2f} s"
        for reading in begun
        if reading.got < ANSWER_BYTES
    ]
    return record.verdict(broken, f"no answer of {len(begun)} was cut off")


run(play, __file__)
