"""Stand-ins and helpers for the cases of the second review: servers, discovery, clients, and node processes.

Only the standard library is used. All addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # exit statuses; run.sh makes 1 of BROKEN, so that a crash is no result


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port of the loopback address that is free now, and that no outgoing connection gets."""
    while True:
        port = random.randrange(12000, 30000)
        with suppress(OSError), socket.socket(type=kind) as sock:
            sock.bind((HOST, port))
            return port


class Record:
    """Writes what was sent, answered and run to `record.txt`; times are in s since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the time (s) since the start of the case."""
        return time.monotonic() - self._started_at

    def note(self, who: str, what: str, **facts: Any) -> float:
        """Writes one line and returns its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{now:8.3f} {who:<10} {what} {text}".rstrip() + "\n")
        self._file.flush()
        return now


@dataclass
class Message:
    """A request or a response that was read whole."""

    start: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def request_id(self) -> str:
        """The id of a request."""
        return self.headers.get("req-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the connection ended inside a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def response(status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def discovery_config(discovery: Discovery, settings: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the part of a node's configuration that follows from discovery and the settings."""
    return {
        "discovery": f"{HOST}:{discovery.port}",
        "known": discovery.snapshot(),
        "settings": settings,
    }


@dataclass
class Ask:
    """What a client asks for."""

    id: str
    kind: str
    deadline_ms: int
    method: str = "GET"
    key: str = ""
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def wire(self) -> bytes:
        """Returns the bytes of the request."""
        lines = [
            f"{self.method} /api HTTP/1.1",
            "Host: app.svc",
            f"Req-Id: {self.id}",
            f"Req-Kind: {self.kind}",
            f"Req-Deadline-Ms: {self.deadline_ms}",
            *([f"Idempotency-Key: {self.key}"] if self.key else []),
            *(f"{name}: {value}" for name, value in self.headers.items()),
            *([f"Content-Length: {len(self.body)}"] if self.method == "POST" else []),
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + self.body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    with suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def open_connection(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to a port of the loopback address."""
    return await asyncio.open_connection(HOST, port, limit=64 * 1024 * 1024)


async def ask_once(port: int, ask: Ask, timeout: float) -> Message | None:
    """Sends one request on a connection of its own; None without an answer in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await open_connection(port)
            writer.write(ask.wire())
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call(port: int, method: str, path: str, timeout: float = 1.0) -> int | None:
    """Makes a call without a request id, such as `GET /ready`; returns its status, or None without one."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await open_connection(port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n".encode())
            answer = await read_message(reader)
            return answer.status if answer else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server: answers probes, and leaves each request to `handler`, which writes the answer."""

    def __init__(self, name: str, record: Record, handler: Handler) -> None:
        self.name = name
        self.port = 0
        self._record = record
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=64 * 1024 * 1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                request.at = self._record.now()
                if not request.request_id:
                    writer.write(response(200, b"{}"))
                    continue
                self._record.note(
                    self.name,
                    "request",
                    id=request.request_id,
                    told_ms=request.headers.get("req-deadline-ms"),
                    body=len(request.body),
                )
                await self._handler(request, writer)
        writer.close()

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


class Proxy:
    """The network before one server: passes bytes on, and may reset a connection at both ends."""

    def __init__(self, server: Server) -> None:
        self.name = server.name
        self.port = 0
        self._server = server
        self._listener: asyncio.Server | None = None
        self._links: dict[int, tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}

    async def start(self) -> None:
        """Listens on a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """Resets the connection that reached the server as `writer`, at both ends."""
        for end in self._links.pop(writer.get_extra_info("peername")[1], ()):
            reset(end)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream_reader, upstream = await asyncio.open_connection(HOST, self._server.port)
        port = upstream.get_extra_info("sockname")[1]
        self._links[port] = (writer, upstream)
        await asyncio.gather(_pass_on(reader, upstream), _pass_on(upstream_reader, writer))
        self._links.pop(port, None)


async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()


class Discovery:
    """Discovery: the whole list, and watches on changes. `rows` holds the list, by name."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.port = 0
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.refuse: Callable[[], Awaitable[bool]] | None = None  # whether a call is answered 503
        self._name = name
        self._record = record
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def add(self, server: Server | Proxy, status: str = "active", group: int = 0, zone: str = "a") -> None:
        """Lists a server."""
        self.rows[server.name] = {
            "name": server.name,
            "address": f"{HOST}:{server.port}",
            "zone": zone,
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self._touch(server.name)

    def set_status(self, name: str, status: str) -> None:
        """Changes a server's status."""
        self.rows[name] = {**self.rows[name], "status": status}
        self._touch(name)
        self._record.note(self._name, "change", server=name, status=status, index=self.version)

    def _touch(self, name: str) -> None:
        self.version += 1
        self.changed_at[name] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"index": self.version, "snapshot": True, "endpoints": list(self.rows.values())}

    async def start(self) -> None:
        """Listens, on the same port after `stop`."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Goes down: ends the open watches, and refuses connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                self._record.note(self._name, "call", target=request.target)
                if self.refuse is not None and await self.refuse():
                    self._record.note(self._name, "answer", status=503)
                    writer.write(response(503))
                    continue
                answer = await self._answer(request)
                statuses = ",".join(f"{row['name']}:{row['status']}" for row in answer["endpoints"])
                kind = "whole" if answer["snapshot"] else "changes"
                self._record.note(self._name, "answer", index=answer["index"], kind=kind, rows=statuses)
                writer.write(response(200, json.dumps(answer).encode()))
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message) -> dict[str, Any]:
        query = parse_qs(urlsplit(request.target).query)
        if "after" not in query:
            return self.snapshot()
        after, wait = int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        if after >= self.version and wait:
            with suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait()
        changes = [row for name, row in self.rows.items() if self.changed_at[name] > after]
        return {"index": self.version, "snapshot": False, "endpoints": changes}


def profile(name: str, effect: str, abandon_ms: int, contract_ms: int = 0, **more: Any) -> dict[str, Any]:
    """Returns a request class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "contract_time": contract_ms or abandon_ms // 2,
        "abandon_time": abandon_ms,
        "revenue": 1.0,
        "tardy_revenue": 0.5,
        "dedup_scope": "cell",
        "window": 10000 if effect == "by_key" else 0,
        **more,
    }


def settings(profiles: list[dict[str, Any]], nodes: int = 1, **more: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment with one tier."""
    return {
        "layers": ["web"],
        "layer": 0,
        "localities": ["a"],
        "zone": 0,
        "group_size": nodes,
        "registry_mode": "subscribe",
        "family": "chain",
        "tick": 5.0,
        "profiles": profiles,
        "limits": {
            "max_dispatches": 4,
            "cancel": True,
            "probes": True,
            "retry_after": True,
            "max_retry_after": 2000.0,
            "second_copies": False,
            "conn_idle": 10000.0,
            "connect_timeout": 200.0,
        },
        "invariants": {
            "ask_within": 10000.0,
            "drain_grace": 500.0,
            "start_capacity": 0.3,
            "cold": 9000.0,
            "tip_multiple": 3.0,
            "fall": 2000.0,
        },
        "report": {"via": "silent", "fields": []},
        **more,
    }


class Node:
    """A node: its configuration file, and its process, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record, config: Mapping[str, Any]) -> None:
        self.name = name
        self.port = free_port()
        self.mgmt = free_port()
        self.record = record
        self.file = folder / f"{name}.json"
        self.temporary = folder / f"{name}.tmp"
        self.temporary.mkdir(exist_ok=True)
        self.log = folder / f"{name}.log"
        self.environment: dict[str, str] = {}
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "mgmt": f"{HOST}:{self.mgmt}",
            "seed": f"{time.time_ns() & 0xFFFFFFFF:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            **config,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write(self, **changes: Any) -> None:
        """Replaces the configuration file at one go."""
        self.config = {**self.config, **changes}
        written = self.file.with_suffix(".new")
        written.write_text(json.dumps(self.config))
        written.replace(self.file)

    def start(self, **environment: str) -> None:
        """Starts the program as DEPLOY.md says."""
        self.write()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "TMPDIR": str(self.temporary),
                    "GW_CONFIG": str(self.file),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    **self.environment,
                    **environment,
                },
                stdout=log,
                stderr=log,
            )
        self.record.note(self.name, "started", pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program."""
        assert self.process is not None
        self.record.note(self.name, "signal", name=number.name)
        self.process.send_signal(number)

    async def ready(self, timeout: float = 30.0) -> None:
        """Waits until `GET /ready` answers 200."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await call(self.port, "GET", "/ready") == 200:
                self.record.note(self.name, "ready")
                return
            if self.process is not None and self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} is not ready: {self.log.read_text()[-400:]}")

    def kill(self) -> None:
        """Kills the program, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class NotRunError(Exception):
    """The case could not run."""


async def wait_for(condition: Callable[[], bool], timeout: float) -> bool:
    """Waits until a condition holds; returns whether it did in time."""
    until = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.01)
    return True


async def until(ask: Callable[[], Awaitable[Any]], wanted: Any, timeout: float) -> bool:
    """Asks every 0.05 s until the answer is the wanted one; returns whether it was in time."""
    end = time.monotonic() + timeout
    while await ask() != wanted:
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.05)
    return True


class Case:
    """One run of a case: its record, its temporary folder, and its processes."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.nodes: list[Node] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    async def serve(
        self,
        make_handler: Callable[[str], Handler],
        discovery: Discovery | None = None,
        proxies: dict[str, Proxy] | None = None,
    ) -> Discovery:
        """Starts discovery and three servers, named s0 to s2, in its list.

        Args:
            make_handler: returns what handles the requests of the server of this name.
            discovery: the discovery to start; an ordinary one by default.
            proxies: where given, each server is listed behind a proxy, which is stored here by its name.
        """
        discovery = discovery or Discovery(self.record)
        await discovery.start()
        for name in ("s0", "s1", "s2"):
            server = Server(name, self.record, make_handler(name))
            await server.start()
            if proxies is not None:
                proxies[name] = Proxy(server)
                await proxies[name].start()
            discovery.add(server if proxies is None else proxies[name])
        return discovery

    def node(self, name: str, config: Mapping[str, Any]) -> Node:
        """Returns a new node, which is killed at the end of the case."""
        node = Node(name, self.folder, self.record, config)
        self.nodes.append(node)
        return node

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine in the background."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def end(self) -> None:
        """Kills all processes that were started, and keeps the ends of their logs in the record."""
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            node.kill()
            if node.log.exists():
                for line in node.log.read_text(errors="replace").splitlines()[-12:]:
                    self.record.note(node.name, "log", line=line[:400])


class ReadLoad:
    """Clients that send short requests which may be repeated, and servers that answer them."""

    CLIENTS = 4
    DEADLINE_MS = 2000
    WORK_S = 0.02

    def __init__(self, case: Case, pause: float) -> None:
        self.arrivals: list[tuple[float, str]] = []  # time and server of each attempt
        self._case = case
        self._pause = pause  # s between an answer and the client's next request
        self._sent = 0

    def settings(self) -> dict[str, Any]:
        """Returns the settings of the deployment."""
        return settings([profile("read", "repeatable", self.DEADLINE_MS)])

    def make_handler(self, name: str) -> Handler:
        """Returns what handles the requests of the server of this name."""

        async def handle(request: Message, writer: asyncio.StreamWriter) -> None:
            self.arrivals.append((request.at, name))
            await asyncio.sleep(self.WORK_S)
            writer.write(response(200, request.request_id.encode()))

        return handle

    def start(self, port: int) -> None:
        """Starts the clients."""
        for _ in range(self.CLIENTS):
            self._case.spawn(self._client(port))

    async def _client(self, port: int) -> None:
        while True:
            self._sent += 1
            ask = Ask(str(self._sent), "read", self.DEADLINE_MS)
            answer = await ask_once(port, ask, self.DEADLINE_MS / 1000 + 0.5)
            self._case.record.note("client", "answer", id=ask.id, status=answer.status if answer else None)
            await asyncio.sleep(self._pause)

    def arrived(self, server: str, since: float, until: float = math.inf) -> list[float]:
        """Returns when attempts arrived at a server, from `since` to `until`."""
        return [at for at, name in self.arrivals if name == server and since < at <= until]


def run_case(file: str, play: Callable[[Case], Awaitable[list[str]]], limit: float = 110.0) -> None:
    """Plays a case; ends this process with its result.

    `play` returns one line for each breach of the rule that it saw. It raises `NotRunError` if the case could
    not run.
    """
    record = Record(Path(file).resolve().parent)

    async def whole() -> int:
        with tempfile.TemporaryDirectory() as folder:
            case = Case(record, Path(folder))
            try:
                async with asyncio.timeout(limit):
                    breaches = await play(case)
            except Exception as error:
                record.note("case", "not run", why=repr(error))
                print(f"could not run: {error!r}")
                return NOT_RUN
            finally:
                case.end()
            for breach in breaches:
                record.note("case", "breach", seen=breach)
                print(breach)
            verdict = "broken" if breaches else "held"
            record.note("case", "result", rule=verdict, trouble=TROUBLE)
            print(f"the rule {verdict} ({'with' if TROUBLE else 'without'} the disruption)")
            return BROKEN if breaches else HELD

    # Ends the processes that the case started also where the case itself is ended from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def ended() -> None:
        status = NOT_RUN
        try:
            status = await whole()
        finally:
            sys.stdout.flush()
            os._exit(status)  # at once: open connections of the stand-ins are of no further interest

    asyncio.run(ended())
