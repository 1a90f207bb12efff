"""Crowds of clients that hold a node's connections and memory, and whose requests are never complete.

A crowd runs in a process of its own, so that it does not delay what the soak observes.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import suppress
from enum import Enum, auto

from notchjunction.addresses import Address

SLOW_BYTES_PER_S = 64 * 1024  # of a slow client in a body
SLOW_INTERVAL_S = 0.25  # between the pieces of a slow client
BODY_BYTES = 4 * 1024 * 1024  # announced; never sent to the end
MAX_FIELDS = 90  # of a head with many fields
CONNECT_TIMEOUT_S = 1.0


class CrowdForm(Enum):
    """What each client of a crowd does."""

    SENDS_SLOWLY = auto()  # sends a body at the slowest pace that the protocol allows
    STOPS_IN_BODY = auto()  # sends half of a body at full speed and stays
    STOPS_IN_HEAD = auto()  # sends a long head without its end and stays
    MANY_FIELDS = auto()  # sends a head of many short fields and the beginning of a body, and stays


async def run_crowd(address: Address, form: CrowdForm, clients: int, seconds: float, name: str) -> None:
    """Plays a crowd in another process, as `play_crowd` does in this one."""
    arguments = [*map(str, address), form.name, str(clients), str(seconds), name]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "notchjunction.soak.crowd", *arguments
    )
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def play_crowd(address: Address, form: CrowdForm, clients: int, seconds: float, name: str) -> None:
    """Plays so many clients at once for so many seconds, then closes their connections.

    Args:
        address: of the node.
        form: what each client does.
        clients: how many there are.
        seconds: how long they stay at most.
        name: begins the ids of their requests, which no backend ever gets whole.
    """
    plays = (_play_client(address, form, f"{name}-{number}") for number in range(clients))
    tasks = [asyncio.ensure_future(play) for play in plays]
    try:
        await asyncio.wait(tasks, timeout=seconds)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _play_client(address: Address, form: CrowdForm, request_id: str) -> None:
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            reading = asyncio.ensure_future(reader.read())
            async for piece in _pieces(form, request_id):
                writer.write(piece)
                await writer.drain()
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()


async def _pieces(form: CrowdForm, request_id: str) -> AsyncIterator[bytes]:
    """Yields what a client writes."""
    head = _head(request_id)
    match form:
        case CrowdForm.SENDS_SLOWLY:
            yield head + b"\r\n"
            for _ in range(int(BODY_BYTES / SLOW_BYTES_PER_S / SLOW_INTERVAL_S) - 1):
                yield b"s" * int(SLOW_BYTES_PER_S * SLOW_INTERVAL_S)
                await asyncio.sleep(SLOW_INTERVAL_S)
        case CrowdForm.STOPS_IN_BODY:
            yield head + b"\r\n"
            yield b"s" * (BODY_BYTES // 2)
        case CrowdForm.STOPS_IN_HEAD:
            yield head + b"".join(b"%x: %s\r\n" % (field, b"v" * 150) for field in range(MAX_FIELDS))
        case CrowdForm.MANY_FIELDS:
            yield head + b"".join(b"%x:\r\n" % field for field in range(MAX_FIELDS)) + b"\r\nbody"


def _head(request_id: str) -> bytes:
    lines = (
        "POST /api HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {request_id}",
        "Req-Kind: safe",
        "Req-Deadline-Ms: 1500",
        f"Content-Length: {BODY_BYTES}",
        "",
    )
    return "\r\n".join(lines).encode()


def main() -> None:
    """Plays the crowd of the command line."""
    parser = argparse.ArgumentParser(prog="notchjunction.soak.crowd", description=__doc__)
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("form", choices=CrowdForm.__members__)
    parser.add_argument("clients", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("name")
    options = parser.parse_args()
    address, form = (options.host, options.port), CrowdForm[options.form]
    asyncio.run(play_crowd(address, form, options.clients, options.seconds, options.name))


if __name__ == "__main__":
    main()
