"""Plays the other process of a node by raw sockets, so that all that a program says there can be looked at.

No name of the program's own is used: the recorder of `tests/fixtures/wire/` plays against a checkout of an
earlier commit, `tests/test_wire_compatibility.py` against the program of today.
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
WITHIN = 30.0  # s for each thing that is waited for; most come at once, a moved answer after 1.6 s
FIRST_LINE_MOST = 4096  # bytes
LISTENERS_MOST = 8  # descriptors
STREAM_MOST = 512 * 1024  # bytes of a message with a moved answer
LINE_MOST = 8 * 1024 * 1024  # bytes
BEGUN = 400_000  # bytes of each answer that have come when it moves; too large for the node to hold it whole
BODY = 600_000  # bytes of each answer
UPLOAD_SENT, UPLOAD = 70_000, 100_000  # bytes of a request's body that goes on after its answer
ANSWERS = ("length", "chunks", "end")  # how the end of an answer is told
HEADS = {
    "length": b"Content-Length: %d\r\n\r\n" % BODY,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % BODY,
    "end": b"\r\n",
}
SERVER_AGE = 100  # s since the first server started; each further one is older by as much
JOBS = 6  # answers before the handover, so that something is learned
Address = tuple[str, int]


def free_address() -> Address:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address: Address = free.getsockname()
    return address


def text_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def masked(text: str) -> str:
    """A line without what differs from run to run: how long things took, and how many of them there were."""
    numbers = re.sub(r"(?<![\w.\"])-?\d+(\.\d+)?(e-?\d+)?(?![\w.\"])", "#", text)
    several = re.sub(r"\[(#|true|false)(, (#|true|false))*\]|\[\]", "[...]", numbers)
    return re.sub(r"\[\[\.\.\.\](, \[\.\.\.\])*\]", "[...]", several)


class Server:
    """A server of the node. Some answers stop in the middle; one comes before its request's body is whole."""

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
                asked = re.search(rb"\r\naccept: (\w+)", head)
                if asked is None or asked[1] == b"early":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\n" + HEADS[asked[1].decode()] + b"x" * BEGUN)
                if asked is not None:
                    await reader.read()  # nothing more is said here; until the other side ends
        writer.close()


class Caller:
    jobs = 0

    async def open(self, listen: Address) -> Self:
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=LINE_MOST)
        return self

    def ask(self, accept: str = "any", method: str = "GET", length: int = 0, body: bytes = b"") -> None:
        Caller.jobs += 1
        framing = f"Content-Length: {length}\r\n" if length else ""
        wanted = "" if accept == "any" else f"Accept: {accept}\r\n"
        head = f"{method} /api HTTP/1.1\r\nHost: h\r\nReq-Id: {Caller.jobs}\r\nReq-Kind: plain\r\n"
        self.writer.write(f"{head}Req-Deadline-Ms: 20000\r\n{wanted}{framing}\r\n".encode() + body)

    async def begun(self, count: int) -> None:
        """Until so many bytes of the answer's body have come, however they are framed."""
        found = 0
        await self.reader.readuntil(b"\r\n\r\n")
        while found < count:
            piece = await self.reader.read(65536)
            assert piece, "closed in the middle of an answer"
            found += piece.count(b"x")

    async def answer(self) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        assert await self.reader.readexactly(2) == b"ok"


class Channel:
    """The handover's lines, from one side of it or the other."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def say(self, text: str) -> None:
        self.writer.write(text.encode() + b"\n")

    async def hear(self, key: str) -> str:
        """The next line that has this key; words on what is used may come before any other."""
        while True:
            async with asyncio.timeout(WITHIN):
                line = (await self.reader.readline()).decode()
            assert line.endswith("\n"), f"the channel ended before {key!r}"
            if key in json.loads(line):
                return line[:-1]


async def call(mgmt: Address, method: str, path: str) -> int:
    reader, writer = await asyncio.open_connection(*mgmt)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    async with asyncio.timeout(WITHIN):
        answer = await reader.read()
    writer.close()
    return int(answer.split(b" ")[1])


@asynccontextmanager
async def process(
    program: Path, folder: Path, listen: Address, mgmt: Address, servers: list[Server]
) -> AsyncIterator[subprocess.Popen[bytes]]:
    """The program in that working tree, with these servers for its list; none: it waits for a list."""
    profile = {"name": "plain", "effect": "repeatable", "contract_time": 1000, "abandon_time": 2000}
    told: dict[str, Any] = {
        "name": "n",
        "discovery": text_of(free_address()),
        "seed": "7",
        "settings": {
            "layers": ["web"],
            "layer": 0,
            "localities": ["a"],
            "limits": {"max_dispatches": 5, "cancel": True},
            "profiles": [{**profile, "tardy_revenue": 0.5}],
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
                "since_ms": 1000 * (int(time.time()) - SERVER_AGE * (number + 1)),
            }
            for number, server in enumerate(servers)
        ]
        told["known"] = {"index": 4, "snapshot": True, "endpoints": rows}
    file = folder / f"told-{mgmt[1]}.json"
    file.write_text(json.dumps(told))
    environment = {
        **os.environ,
        "GW_CONFIG": str(file),
        "GW_LISTEN": text_of(listen),
        "GW_MGMT": text_of(mgmt),
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


async def until_ready(mgmt: Address, started: subprocess.Popen[bytes]) -> None:
    while True:
        assert started.poll() is None, "ended before it was ready"
        with suppress(OSError):
            if await call(mgmt, "GET", "/control/ready") == 200:
                return
        await asyncio.sleep(0.02)


async def follow(folder: Path) -> tuple[str, int, Channel]:
    """Connects as the next process would: the first line, how many listeners came with it, the channel."""

    def connect() -> tuple[socket.socket, str, int]:
        sock = socket.socket(socket.AF_UNIX)
        sock.settimeout(WITHIN)
        sock.connect(str(folder / HANDOVER_SOCKET))
        text, descriptors, _, _ = socket.recv_fds(sock, FIRST_LINE_MOST, LISTENERS_MOST)
        for descriptor in descriptors:
            os.close(descriptor)
        sock.setblocking(False)
        return sock, text.decode(), len(descriptors)

    sock, text, listeners = await asyncio.to_thread(connect)
    return text, listeners, Channel(*await asyncio.open_unix_connection(sock=sock, limit=LINE_MOST))


def take_place_for_streams(folder: Path) -> socket.socket:
    """From now on the program gives its answers under way to this listener."""
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.settimeout(WITHIN)
    new = folder / f"{STREAMS_SOCKET}.player"
    listener.bind(str(new))
    listener.listen()
    new.rename(folder / STREAMS_SOCKET)
    return listener


def given_streams(listener: socket.socket, count: int) -> list[str]:
    """The messages in which answers were given, each with its number of connections."""
    giver, _ = listener.accept()
    giver.settimeout(WITHIN)
    found = []
    with giver:
        for _ in range(count):
            text, descriptors, _, _ = socket.recv_fds(giver, STREAM_MOST, 2)
            for descriptor in descriptors:
                os.close(descriptor)
            found.append(f"{len(descriptors)} {text.decode()}")
    return sorted(found)


async def hear_all(program: Path, folder: Path) -> dict[str, Any]:
    """All that a serving process says to one that follows it."""
    listen, mgmt = free_address(), free_address()
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server()) for _ in range(3)]
        started = await stack.enter_async_context(process(program, folder, listen, mgmt, servers))
        await until_ready(mgmt, started)
        caller = await Caller().open(listen)
        for _ in range(JOBS):
            caller.ask()
            await caller.answer()
        assert await call(mgmt, "PUT", "/control/servers/s2/offline") == 200
        while not (folder / HANDOVER_SOCKET).exists():
            await asyncio.sleep(0.01)
        identity, listeners, channel = await follow(folder)
        channel.say('{"got": true}')
        state = await channel.hear("state")
        usage = await channel.hear("usage")
        words = []
        for number, path in enumerate(
            ("servers/s1/offline", "servers/s1/online", "out-of-service", "in-service"), 1
        ):
            answer = asyncio.create_task(call(mgmt, "PUT", f"/control/{path}"))
            words.append(await channel.hear("tell"))
            channel.say(json.dumps({"ack": number}))
            assert await answer == 200
        callers = []
        for kind in ANSWERS:
            callers.append(await Caller().open(listen))
            callers[-1].ask(accept=kind)
            await callers[-1].begun(BEGUN)
        early = await Caller().open(listen)
        early.ask("early", "POST", UPLOAD, b"u" * UPLOAD_SENT)
        await early.answer()
        with take_place_for_streams(folder) as streams:
            channel.say('{"ready": true}')
            started.send_signal(signal.SIGTERM)
            given = await asyncio.to_thread(given_streams, streams, len(ANSWERS) + 1)
        for number, server in enumerate(servers):
            state = state.replace(server.at, f"<s{number}>")
        return {
            "identity": identity.replace(text_of(listen), "<listen>"),
            "listeners": listeners,
            "state": state,
            "usage": masked(usage),
            "words": words,
            "streams": given,
        }


def connected() -> tuple[socket.socket, socket.socket]:
    """Both ends of a TCP connection."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        one = socket.create_connection(listener.getsockname())
        other, _ = listener.accept()
    for each in (one, other):
        each.settimeout(WITHIN)
    return one, other


def read_all(sock: socket.socket, end: bytes = b"") -> bytes:
    """What comes until the end of the connection, or until these bytes."""
    found = bytearray()
    while not (end and found.endswith(end)) and (piece := sock.recv(65536)):
        found += piece
    return bytes(found)


def give_stream(folder: Path, message: str) -> bytes:
    """Gives one recorded answer, or rest of a body; what its caller gets of the rest, with all framing."""
    count, _, text = message.partition(" ")
    state = json.loads(text)
    caller, given_caller = connected()
    server, given_server = connected()
    with (
        caller,
        server,
        given_caller,
        given_server,
        socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as giver,
    ):
        giver.connect(str(folder / STREAMS_SOCKET))
        given = [given_caller, given_server][: int(count)]
        socket.send_fds(giver, [text.encode()], [each.fileno() for each in given])
        for each in (given_caller, given_server):
            each.close()
        if "rest" in state:
            caller.sendall(b"u" * (UPLOAD - UPLOAD_SENT))
            caller.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return read_all(caller)
        server.sendall(b"y" * (BODY - BEGUN))
        framing = state["answers"]["framing"]
        if framing == "CHUNKS":
            server.sendall(b"\r\n0\r\n\r\n")
        if framing == "TO_THE_END":
            server.shutdown(socket.SHUT_WR)
        caller.shutdown(socket.SHUT_WR)
        return read_all(caller)


async def tell_all(program: Path, folder: Path, said: Mapping[str, Any]) -> dict[str, Any]:
    """Hands over to a process what another one said; what it says to that, and hands over in its turn."""
    mgmt = free_address()
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Server()) for _ in range(3)]
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listen: Address = listener.getsockname()[:2]
        place = stack.enter_context(socket.socket(socket.AF_UNIX))
        place.settimeout(WITHIN)
        place.bind(str(folder / HANDOVER_SOCKET))
        place.listen()
        await stack.enter_async_context(process(program, folder, listen, mgmt, []))
        sock, _ = await asyncio.to_thread(place.accept)
        identity = said["identity"].replace("<listen>", text_of(listen))
        socket.send_fds(sock, [identity.encode()], [listener.fileno()])
        sock.setblocking(False)
        channel = Channel(*await asyncio.open_unix_connection(sock=sock, limit=LINE_MOST))
        got = await channel.hear("got")
        state = said["state"]
        for number, server in enumerate(servers):
            state = state.replace(f"<s{number}>", server.at)
        channel.say(state)
        usage = await channel.hear("usage")
        ready = await channel.hear("ready")
        identity_there, listeners, state_there = await own_state(folder, servers)
        caller = await Caller().open(listen)
        caller.ask()
        await caller.answer()
        answers = [await asyncio.to_thread(give_stream, folder, message) for message in said["streams"]]
        acks, states = [], []
        for word in said["words"]:
            channel.say(word)
            acks.append(await channel.hear("ack"))
            states.append((await own_state(folder, servers))[2])
        return {
            "got": got,
            "usage": masked(usage),
            "ready": ready,
            "identity": identity_there.replace(text_of(listen), "<listen>"),
            "listeners": listeners,
            "state": state_there,
            "answers": answers,
            "acks": acks,
            "states": states,
        }


async def own_state(folder: Path, servers: list[Server]) -> tuple[str, int, str]:
    """What a process hands over now: its first line, how many listeners, and its state."""
    identity, listeners, channel = await follow(folder)
    channel.say('{"got": true}')
    state = await channel.hear("state")
    channel.writer.close()
    for number, server in enumerate(servers):
        state = state.replace(server.at, f"<s{number}>")
    return identity, listeners, state
