"""Takes the part of a node's other process in a handover, on raw sockets, and returns what the program sends.

It imports nothing from the program, so that it works with any commit: `tests/fixtures/wire/record.py` runs it
with a checkout of an earlier one, `tests/test_wire_compatibility.py` with the code of today.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any, Self

HANDOVER_SOCKET = "notchjunction.handover"
STREAMS_SOCKET = "notchjunction.streams"
TIMEOUT_S = 30.0  # of each wait; most end at once, that for a migrated response after 1.6 s
MAX_FIRST_LINE_BYTES = 4096
MAX_LISTENERS = 8  # descriptors
MAX_STREAM_BYTES = 512 * 1024  # of a message with a migrated response
MAX_LINE_BYTES = 8 * 1024 * 1024
BODY_SENT = 400_000  # bytes of each response sent before it migrates; too large for the node to buffer it all
BODY_SIZE = 600_000  # bytes of each response
UPLOAD_SENT, UPLOAD_SIZE = 70_000, 100_000  # bytes of a request's body that continues after its response
FRAMINGS = ("length", "chunks", "end")  # Content-Length, chunked coding, end of the connection
HEADS = {
    "length": b"Content-Length: %d\r\n\r\n" % BODY_SIZE,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % BODY_SIZE,
    "end": b"\r\n",
}
SERVER_AGE_STEP_S = 100  # time since the first server started; each further one is older by as much
REQUESTS_BEFORE = 6  # before the handover, so that the process has learned something
Address = tuple[str, int]


def free_address() -> Address:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address: Address = free.getsockname()
    return address


def text_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def masked(text: str) -> str:
    """Replaces durations and their counts, which differ from run to run: numbers by `#`, lists by `[...]`."""
    numbers = re.sub(r"(?<![\w.\"])-?\d+(\.\d+)?(e-?\d+)?(?![\w.\"])", "#", text)
    flat_lists = re.sub(r"\[(#|true|false)(, (#|true|false))*\]|\[\]", "[...]", numbers)
    return re.sub(r"\[\[\.\.\.\](, \[\.\.\.\])*\]", "[...]", flat_lists)


class Server:
    """A server. Some responses stop in the middle; one is sent before its request's body is complete."""

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.at = text_of(self._server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                accept = re.search(rb"\r\naccept: (\w+)", head)
                if accept is None or accept[1] == b"early":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\n" + HEADS[accept[1].decode()] + b"x" * BODY_SENT)
                if accept is not None:
                    await reader.read()  # sends nothing more, and waits for the end of the connection
        writer.close()


class Client:
    request_count = 0

    async def open(self, listen: Address) -> Self:
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=MAX_LINE_BYTES)
        return self

    def send_request(
        self, accept: str = "any", method: str = "GET", length: int = 0, body: bytes = b""
    ) -> None:
        Client.request_count += 1
        framing = f"Content-Length: {length}\r\n" if length else ""
        accept_field = "" if accept == "any" else f"Accept: {accept}\r\n"
        head = f"{method} /api HTTP/1.1\r\nHost: h\r\nReq-Id: {Client.request_count}\r\nReq-Kind: plain\r\n"
        self.writer.write(f"{head}Req-Deadline-Ms: 20000\r\n{accept_field}{framing}\r\n".encode() + body)

    async def read_body(self, count: int) -> None:
        """Reads a response until so many bytes of its body have arrived, in any framing."""
        received = 0
        await self.reader.readuntil(b"\r\n\r\n")
        while received < count:
            piece = await self.reader.read(65536)
            assert piece, "closed in the middle of a response"
            received += piece.count(b"x")

    async def read_ok(self) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        assert await self.reader.readexactly(2) == b"ok"


class Channel:
    """Sends and receives the lines of a handover, as either side of it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, text: str) -> None:
        self.writer.write(text.encode() + b"\n")

    async def receive(self, key: str) -> str:
        """Returns the next line that has this key; skips others, as lines with usage may come at any time."""
        while True:
            async with asyncio.timeout(TIMEOUT_S):
                line = (await self.reader.readline()).decode()
            assert line.endswith("\n"), f"the channel ended before {key!r}"
            if key in json.loads(line):
                return line[:-1]


async def call(admin: Address, method: str, path: str) -> int:
    """Sends a request to the admin API; returns the status of the response."""
    reader, writer = await asyncio.open_connection(*admin)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    async with asyncio.timeout(TIMEOUT_S):
        response = await reader.read()
    writer.close()
    return int(response.split(b" ")[1])


@asynccontextmanager
async def process(
    program: Path, folder: Path, listen: Address, admin: Address, servers: list[Server]
) -> AsyncIterator[subprocess.Popen[bytes]]:
    """Runs the program in this working tree with a list of these servers; with none, it waits for a list."""
    request_class = {"name": "plain", "effect": "repeatable", "contract_time": 1000, "abandon_time": 2000}
    config: dict[str, Any] = {
        "name": "n",
        "discovery": text_of(free_address()),
        "seed": "7",
        "settings": {
            "layers": ["web"],
            "layer": 0,
            "localities": ["a"],
            "limits": {"max_dispatches": 5, "cancel": True},
            "profiles": [{**request_class, "tardy_revenue": 0.5}],
        },
    }
    if servers:
        rows = [
            {
                "name": f"s{number}",
                "address": server.at,
                "zone": "a",
                "group": number,
                "status": "active",
                "since_ms": 1000 * (int(time.time()) - SERVER_AGE_STEP_S * (number + 1)),
            }
            for number, server in enumerate(servers)
        ]
        config["known"] = {"index": 4, "snapshot": True, "endpoints": rows}
    file = folder / f"config-{admin[1]}.json"
    file.write_text(json.dumps(config))
    environment = {
        **os.environ,
        "GW_CONFIG": str(file),
        "GW_LISTEN": text_of(listen),
        "GW_MGMT": text_of(admin),
        "TMPDIR": str(folder),
    }
    environment.pop("PYTHONPATH", None)
    command = [sys.executable, "-B", "-m", "notchjunction"]
    started = subprocess.Popen(command, cwd=program, env=environment, stderr=subprocess.DEVNULL)
    try:
        yield started
    finally:
        started.kill()
        await asyncio.to_thread(started.wait)


async def wait_until_ready(admin: Address, started: subprocess.Popen[bytes]) -> None:
    while True:
        assert started.poll() is None, "exited before it was ready"
        with suppress(OSError):
            if await call(admin, "GET", "/control/ready") == 200:
                return
        await asyncio.sleep(0.02)


async def connect_as_successor(folder: Path) -> tuple[str, int, Channel]:
    """Connects as the next process would.

    Returns:
        The first line, the number of listeners received with it, and the channel.
    """

    def connect() -> tuple[socket.socket, str, int]:
        sock = socket.socket(socket.AF_UNIX)
        sock.settimeout(TIMEOUT_S)
        sock.connect(str(folder / HANDOVER_SOCKET))
        text, descriptors, _, _ = socket.recv_fds(sock, MAX_FIRST_LINE_BYTES, MAX_LISTENERS)
        for descriptor in descriptors:
            os.close(descriptor)
        sock.setblocking(False)
        return sock, text.decode(), len(descriptors)

    sock, text, listeners = await asyncio.to_thread(connect)
    return text, listeners, Channel(*await asyncio.open_unix_connection(sock=sock, limit=MAX_LINE_BYTES))


def listen_for_streams(folder: Path) -> socket.socket:
    """Returns a listener to which the program migrates its open responses from now on."""
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.settimeout(TIMEOUT_S)
    temporary = folder / f"{STREAMS_SOCKET}.player"
    listener.bind(str(temporary))
    listener.listen()
    temporary.rename(folder / STREAMS_SOCKET)
    return listener


def receive_streams(listener: socket.socket, count: int) -> list[str]:
    """Returns the messages of migrated responses, each after the number of its connections."""
    sender, _ = listener.accept()
    sender.settimeout(TIMEOUT_S)
    messages = []
    with sender:
        for _ in range(count):
            text, descriptors, _, _ = socket.recv_fds(sender, MAX_STREAM_BYTES, 2)
            for descriptor in descriptors:
                os.close(descriptor)
            messages.append(f"{len(descriptors)} {text.decode()}")
    return sorted(messages)


async def hear_all(program: Path, folder: Path) -> dict[str, Any]:
    """Returns all kinds of lines and messages that a serving process sends to its successor.

    The recorder of the fixtures calls this function by its name.
    """
    listen, admin = free_address(), free_address()
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server()) for _ in range(3)]
        started = await stack.enter_async_context(process(program, folder, listen, admin, servers))
        await wait_until_ready(admin, started)
        client = await Client().open(listen)
        for _ in range(REQUESTS_BEFORE):
            client.send_request()
            await client.read_ok()
        assert await call(admin, "PUT", "/control/servers/s2/offline") == 200
        while not (folder / HANDOVER_SOCKET).exists():
            await asyncio.sleep(0.01)
        identity, listeners, channel = await connect_as_successor(folder)
        channel.send('{"got": true}')
        state = await channel.receive("state")
        usage = await channel.receive("usage")
        commands = []
        for number, path in enumerate(
            ("servers/s1/offline", "servers/s1/online", "out-of-service", "in-service"), 1
        ):
            status = asyncio.create_task(call(admin, "PUT", f"/control/{path}"))
            commands.append(await channel.receive("tell"))
            channel.send(json.dumps({"ack": number}))
            assert await status == 200
        clients = []
        for framing in FRAMINGS:
            clients.append(await Client().open(listen))
            clients[-1].send_request(accept=framing)
            await clients[-1].read_body(BODY_SENT)
        uploader = await Client().open(listen)
        uploader.send_request("early", "POST", UPLOAD_SIZE, b"u" * UPLOAD_SENT)
        await uploader.read_ok()
        with listen_for_streams(folder) as streams:
            channel.send('{"ready": true}')
            started.send_signal(signal.SIGTERM)
            messages = await asyncio.to_thread(receive_streams, streams, len(FRAMINGS) + 1)
        for number, server in enumerate(servers):
            state = state.replace(server.at, f"<s{number}>")
        return {
            "identity": identity.replace(text_of(listen), "<listen>"),
            "listeners": listeners,
            "state": state,
            "usage": masked(usage),
            "words": commands,
            "streams": messages,
        }


def connect_pair() -> tuple[socket.socket, socket.socket]:
    """Returns both ends of a TCP connection."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        connected = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    for end in (connected, accepted):
        end.settimeout(TIMEOUT_S)
    return connected, accepted


def read_all(sock: socket.socket, end: bytes = b"") -> bytes:
    """Returns the bytes received until these ones, or until the end of the connection."""
    received = bytearray()
    while not (end and received.endswith(end)) and (piece := sock.recv(65536)):
        received += piece
    return bytes(received)


def send_stream(folder: Path, message: str) -> bytes:
    """Migrates a recorded response or upload to the program; returns all that its client then receives."""
    count, _, text = message.partition(" ")
    state = json.loads(text)
    client, migrated_client = connect_pair()
    server, migrated_server = connect_pair()
    with (
        client,
        server,
        migrated_client,
        migrated_server,
        socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sender,
    ):
        sender.connect(str(folder / STREAMS_SOCKET))
        migrated = [migrated_client, migrated_server][: int(count)]
        socket.send_fds(sender, [text.encode()], [end.fileno() for end in migrated])
        for end in (migrated_client, migrated_server):
            end.close()
        if "rest" in state:
            client.sendall(b"u" * (UPLOAD_SIZE - UPLOAD_SENT))
            client.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return read_all(client)
        server.sendall(b"y" * (BODY_SIZE - BODY_SENT))
        framing = state["answers"]["framing"]
        if framing == "CHUNKS":
            server.sendall(b"\r\n0\r\n\r\n")
        if framing == "TO_THE_END":
            server.shutdown(socket.SHUT_WR)
        client.shutdown(socket.SHUT_WR)
        return read_all(client)


async def hand_over(program: Path, folder: Path, recorded: Mapping[str, Any]) -> dict[str, Any]:
    """Hands recorded state, responses and commands over to the program; returns what it sends in reply.

    That includes the state that the program then hands over itself.
    """
    admin = free_address()
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server()) for _ in range(3)]
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listen: Address = listener.getsockname()[:2]
        handover_listener = stack.enter_context(socket.socket(socket.AF_UNIX))
        handover_listener.settimeout(TIMEOUT_S)
        handover_listener.bind(str(folder / HANDOVER_SOCKET))
        handover_listener.listen()
        await stack.enter_async_context(process(program, folder, listen, admin, []))
        sock, _ = await asyncio.to_thread(handover_listener.accept)
        identity = recorded["identity"].replace("<listen>", text_of(listen))
        socket.send_fds(sock, [identity.encode()], [listener.fileno()])
        sock.setblocking(False)
        channel = Channel(*await asyncio.open_unix_connection(sock=sock, limit=MAX_LINE_BYTES))
        got = await channel.receive("got")
        state = recorded["state"]
        for number, server in enumerate(servers):
            state = state.replace(f"<s{number}>", server.at)
        channel.send(state)
        usage = await channel.receive("usage")
        ready = await channel.receive("ready")
        own_identity, listeners, own_state = await read_state(folder, servers)
        client = await Client().open(listen)
        client.send_request()
        await client.read_ok()
        received = [await asyncio.to_thread(send_stream, folder, message) for message in recorded["streams"]]
        acks, states = [], []
        for command in recorded["words"]:
            channel.send(command)
            acks.append(await channel.receive("ack"))
            states.append((await read_state(folder, servers))[2])
        return {
            "got": got,
            "usage": masked(usage),
            "ready": ready,
            "identity": own_identity.replace(text_of(listen), "<listen>"),
            "listeners": listeners,
            "state": own_state,
            "answers": received,
            "acks": acks,
            "states": states,
        }


async def read_state(folder: Path, servers: list[Server]) -> tuple[str, int, str]:
    """Returns what the program hands over now: its first line, the number of listeners, and its state."""
    identity, listeners, channel = await connect_as_successor(folder)
    channel.send('{"got": true}')
    state = await channel.receive("state")
    channel.writer.close()
    for number, server in enumerate(servers):
        state = state.replace(server.at, f"<s{number}>")
    return identity, listeners, state
