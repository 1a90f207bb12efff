"""A crowd of clients in a process of its own, as a node would not see one from the process of the tests.

Usage: python -m tests.crowd HOST PORT FORM CLIENTS SECONDS
"""

from __future__ import annotations

import asyncio
import resource
import socket
import sys
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from notchjunction.addresses import Address

KIB = 1024
MIB = 1024 * KIB
SLOW_BYTES_PER_S = 64 * KIB
SLOW_INTERVAL_S = 0.25
LONG_BODY_BYTES = 4 * MIB
LONG_ANSWER_PATH = "/api/long"
CONNECT_DESCRIPTORS = 4096

Client = Callable[[socket.socket, int], Coroutine[Any, Any, None]]


def head(number: int, path: str = "/api", length: int | None = None, fields: bytes = b"") -> bytes:
    method, framing = ("GET", "") if length is None else ("POST", f"Content-Length: {length}\r\n")
    text = f"{method} {path} HTTP/1.1\r\nHost: a\r\nReq-Id: crowd-{number}\r\nReq-Kind: plain\r\n"
    return f"{text}Req-Deadline-Ms: 2000\r\n{framing}".encode() + fields + b"\r\n"


async def send(client: socket.socket, wire: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(client, wire)


async def send_slowly(client: socket.socket, size: int) -> None:
    step = int(SLOW_BYTES_PER_S * SLOW_INTERVAL_S)
    for at in range(0, size, step):
        await send(client, b"z" * min(step, size - at))
        await asyncio.sleep(SLOW_INTERVAL_S)


async def read_until_the_end(client: socket.socket) -> None:
    while await asyncio.get_running_loop().sock_recv(client, 64 * KIB):
        pass


async def read_slowly(client: socket.socket) -> None:
    step = int(SLOW_BYTES_PER_S * SLOW_INTERVAL_S)
    while await asyncio.get_running_loop().sock_recv(client, step):
        await asyncio.sleep(SLOW_INTERVAL_S)


async def stop_half_way(client: socket.socket, number: int) -> None:
    await send(client, head(number, length=LONG_BODY_BYTES) + b"z" * (LONG_BODY_BYTES // 2))


async def send_a_long_body(client: socket.socket, number: int) -> None:
    await send(client, head(number, length=LONG_BODY_BYTES) + b"z" * LONG_BODY_BYTES)


async def send_a_long_body_slowly(client: socket.socket, number: int) -> None:
    await send(client, head(number, length=LONG_BODY_BYTES))
    await send_slowly(client, LONG_BODY_BYTES)


async def stop_in_a_short_body(client: socket.socket, number: int) -> None:
    await send(client, head(number, length=64 * KIB) + b"z" * (60 * KIB))


async def send_two_bodies(client: socket.socket, number: int) -> None:
    bodies = (head(2 * number + second, length=60 * KIB) + b"z" * (60 * KIB) for second in (0, 1))
    await send(client, b"".join(bodies))


async def send_short_fields(client: socket.socket, number: int) -> None:
    fields = b"".join(b"%x:\r\n" % field for field in range(90))
    await send(client, head(number, length=4000, fields=fields) + b"z" * 1000)


async def stop_in_a_head(client: socket.socket, number: int) -> None:
    fields = b"".join(b"%x: %s\r\n" % (field, b"v" * 150) for field in range(90))
    await send(client, head(number, fields=fields)[:-2])


async def read_a_long_answer_slowly(client: socket.socket, number: int) -> None:
    await send(client, head(number, path=LONG_ANSWER_PATH))
    await read_slowly(client)


async def say_nothing(client: socket.socket, number: int) -> None:
    pass


FORMS: dict[str, Client] = {
    function.__name__: function
    for function in (
        stop_half_way,
        send_a_long_body,
        send_a_long_body_slowly,
        stop_in_a_short_body,
        send_two_bodies,
        send_short_fields,
        stop_in_a_head,
        read_a_long_answer_slowly,
        say_nothing,
    )
}


async def play_client(address: Address, form: Client, number: int) -> None:
    """Connect, do as the form says, and stay until the node ends the connection."""
    with suppress(OSError), socket.socket() as client:
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, address)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(form(client, number))
            if form is not read_a_long_answer_slowly:
                tasks.create_task(read_until_the_end(client))


async def play(address: Address, form: Client, clients: int, seconds: float) -> None:
    """Play all clients at once for so many seconds."""
    tasks = [asyncio.create_task(play_client(address, form, number)) for number in range(clients)]
    await asyncio.wait(tasks, timeout=seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main() -> None:
    host, port, form, clients, seconds = sys.argv[1:]
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(CONNECT_DESCRIPTORS, most), most))
    asyncio.run(play((host, int(port)), FORMS[form], int(clients), float(seconds)))


if __name__ == "__main__":
    main()
