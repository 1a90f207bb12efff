"""A fake host for the balancer, and loopback peers for the node that behave as a test scripts them."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import struct
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any, Self

from notchjunction.addresses import Address
from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.engine import SettingNames
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerSettings,
    DeduplicationScope,
    EndpointEntry,
    Idempotency,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestClass,
)
from notchjunction.balancing.records import Endpoint
from notchjunction.config.node_config import NodeConfig
from notchjunction.discovery.endpoint_list import read_list
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.http1.messages import Request, Response
from notchjunction.http1.parser import RequestReader, ResponseReader
from notchjunction.node.node import Node

PLAIN = RequestClass(
    latency_objective=1.0,
    deadline=2.0,
    priority_weight=1.0,
    late_weight=0.5,
    idempotency=Idempotency.IDEMPOTENT,
)
SETTINGS = BalancerSettings(seed=7, request_classes=[PLAIN], tier=0, tier_count=1, max_attempts=5)


def make_request_class(
    idempotency: Idempotency, scope: DeduplicationScope = DeduplicationScope.ALL, late_weight: float = 0.5
) -> RequestClass:
    return replace(
        PLAIN,
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window=1.5,
        late_weight=late_weight,
    )


def endpoint_record(number: int = 0, started_at: float = 0.0, zone: int = 0, group: int = 0) -> Endpoint:
    """Return what a node knows of an active endpoint before it has sent anything there."""
    return Endpoint(EndpointEntry(number, EndpointState.ACTIVE, started_at, zone, group))


class FakeHost:
    """Runs a balancer on a clock of its own, and records its commands."""

    def __init__(self, endpoints: int = 4, **settings: Any) -> None:
        self.clock = 1000.0
        self.commands: list[tuple[Any, ...]] = []
        self.sent_attempts: list[tuple[float, int]] = []
        self.timers: list[tuple[float, int]] = []
        self.request_count = 0
        self.balancer = Balancer(replace(SETTINGS, **settings), self)
        self.list_endpoints(*range(endpoints))

    def now(self) -> float:
        return self.clock

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        self.commands.append(("send_attempt", request, endpoint, timeout))
        self.sent_attempts.append((self.clock, endpoint))

    def cancel_attempt(self, request: int, attempt: int) -> None:
        self.commands.append(("cancel_attempt", request, attempt))

    def send_probe(self, endpoint: int) -> None:
        self.commands.append(("send_probe", endpoint))

    def reject(self, request: int, retry_after: float) -> None:
        self.commands.append(("reject", request, retry_after))

    def fail(self, request: int) -> None:
        self.commands.append(("fail", request))

    def set_timer(self, delay: float, token: int) -> None:
        self.timers.append((self.clock + delay, token))

    def poll_list(self) -> None:
        self.commands.append(("poll_list",))

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        self.commands.append(("report_ejection", endpoint, seconds))

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        self.commands.append(("send_gossip", peer, newest, list(outcomes)))

    # Calls that tests make to the balancer.

    def list_endpoints(
        self, *endpoints: int, state: EndpointState = EndpointState.ACTIVE, **entry: Any
    ) -> None:
        entries = [EndpointEntry(endpoint, state, **entry) for endpoint in endpoints]
        self.balancer.list_updated(ListUpdate.CHANGES, entries)

    def submit(
        self, time_left: float = 2.0, request_class: int = 0, tenant: int = 0, is_client_retry: bool = False
    ) -> int:
        self.request_count += 1
        self.balancer.request_arrived(
            NewRequest(self.request_count, request_class, tenant, time_left, is_client_retry)
        )
        return self.request_count

    def end_attempt(
        self,
        request: int,
        result: AttemptResult = AttemptResult.SUCCEEDED,
        attempt: int = 0,
        seconds: float = 0.1,
    ) -> None:
        final = result is AttemptResult.SUCCEEDED
        endpoint = self.sent_to(request)[attempt]
        self.balancer.attempt_ended(AttemptOutcome(request, attempt, endpoint, result, seconds, final))

    def serve_requests(
        self, count: int, result: AttemptResult = AttemptResult.SUCCEEDED, every: float = 0.05
    ) -> None:
        """Serve requests one by one, for the balancer to learn from."""
        for _ in range(count):
            request = self.submit()
            self.advance(every)
            self.end_attempt(request, result)

    def advance(self, seconds: float) -> None:
        end = self.clock + seconds
        while due := min((timer for timer in self.timers if timer[0] <= end), default=None):
            self.timers.remove(due)
            self.clock = max(self.clock, due[0])
            self.balancer.timer_fired(due[1])
        self.clock = end

    def answer_probe(self, endpoint: int, **figures: float) -> None:
        self.balancer.probe_ended(endpoint, AttemptResult.SUCCEEDED, LoadReport(**figures))

    def probe_all(
        self, seconds: Mapping[int, float], result: AttemptResult = AttemptResult.SUCCEEDED
    ) -> None:
        """Serve requests until these endpoints, else all, were probed; a probe takes as given or 5 ms."""
        missing, seen = set(seconds) or set(self.balancer._endpoints), len(self.commands)
        while missing:
            self.serve_requests(1, every=0.01)
            rows, seen = [row for row in self.commands[seen:] if row[0] == "send_probe"], len(self.commands)
            for row in rows:
                missing.discard(row[1])
                self.advance(seconds.get(row[1], 0.005))
                self.balancer.probe_ended(
                    row[1], result if row[1] in seconds else AttemptResult.SUCCEEDED, LoadReport()
                )

    def sent_to(self, request: int) -> list[int]:
        return [row[2] for row in self.commands if row[0] == "send_attempt" and row[1] == request]

    def count_commands(self, name: str) -> int:
        return sum(1 for row in self.commands if row[0] == name)

    def final_commands(self, request: int) -> list[str]:
        return [row[0] for row in self.commands if row[0] in ("reject", "fail") and row[1] == request]

    def serve_until(self, done: Callable[[], bool], tries: int = 200) -> None:
        for _ in range(tries):
            if done():
                return
            self.serve_requests(1)
        raise AssertionError("the condition was never met")


# Loopback peers.

Reply = tuple[bytes, str]  # the bytes to write, and what follows: "keep", "close", "reset" or "hold"
OK: Reply = (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "keep")
FULL: Reply = (b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", "keep")
SILENT: Reply = (b"", "hold")


class Peer:
    """A fake server or discovery service; `reply` determines how it responds to a request."""

    def __init__(
        self, reply: Callable[[Request], Reply] | Reply = OK, address: Address | None = None
    ) -> None:
        self.reply = reply
        self.address: Address = address or ("127.0.0.1", 0)
        self.requests: list[Request] = []
        self.connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self.asked = asyncio.Event()
        self.left = asyncio.Event()
        self.go_on = asyncio.Event()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    @property
    def at(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def end_all(self) -> None:
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        requests = RequestReader()
        try:
            while received := await reader.read(65536):
                requests.feed(received)
                while (request := requests.next()) is not None:
                    self.requests.append(request)
                    self.asked.set()
                    response, next_action = self.reply(request) if callable(self.reply) else self.reply
                    writer.write(response)
                    if next_action == "hold":
                        await self.go_on.wait()
                        writer.write(OK[0])
                    if next_action == "reset":
                        linger = struct.pack("ii", 1, 0)
                        writer.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                    if next_action in ("close", "reset"):
                        return
        except ConnectionError:
            pass
        finally:
            self.left.set()
            writer.close()


def rows(*servers: Peer, status: str = "active") -> list[dict[str, Any]]:
    return [
        {"name": f"s{i}", "address": peer.at, "zone": "a", "group": 0, "status": status, "since_ms": 0}
        for i, peer in enumerate(servers)
    ]


def news(index: int, endpoints: list[dict[str, Any]], whole: bool = True) -> Reply:
    text = json.dumps({"index": index, "snapshot": whole, "endpoints": endpoints}).encode()
    return (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text, "keep")


def wire_of(job_id: int, left: int = 2000, extra: str = "") -> bytes:
    """Return the bytes of a complete request, for tests that write it themselves."""
    head = f"GET /api?x=1 HTTP/1.1\r\nHost: app\r\nReq-Id: {job_id}\r\nReq-Kind: plain\r\n"
    return f"{head}Req-Deadline-Ms: {left}\r\n{extra}\r\n".encode()


class Client:
    """A client with one connection; each request has an id of its own."""

    opened = 0

    async def open(self, address: Address) -> Self:
        Client.opened += 1
        self.job_id = 1000 * Client.opened
        self._reader, self.writer = await asyncio.open_connection(*address)
        self._answers = ResponseReader()
        return self

    def send(self, text: bytes) -> None:
        self.writer.write(text)

    def ask(self, method: str = "GET", left: str = "2000", extra: str = "", body: bytes = b"") -> None:
        self.job_id += 1
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = f"{method} /api?x=1 HTTP/1.1\r\nHost: app\r\nReq-Id: {self.job_id}\r\nReq-Kind: plain\r\n"
        self.send(f"{head}Req-Deadline-Ms: {left}\r\n{extra}{length}\r\n".encode() + body)

    async def answer(self) -> Response:
        async with asyncio.timeout(5):
            while (response := self._answers.next()) is None:
                received = await self._reader.read(65536)
                assert received, "closed without an answer"
                self._answers.feed(received)
        return response

    async def closed(self) -> bool:
        async with asyncio.timeout(5):
            return await self._reader.read() == b""


class RawClient:
    """A client whose sends and disconnect reach the operating system before the event loop runs again."""

    def __init__(self, address: Address) -> None:
        Client.opened += 1
        self._job_id = 1000 * Client.opened
        self.socket = socket.create_connection(address)

    def ask(self, body: bytes = b"", method: str = "GET", length: int | None = None) -> None:
        """Send a request; if `length` exceeds the body, `more` sends the rest of it."""
        self._job_id += 1
        framing = f"Content-Length: {length or len(body)}\r\n" if body else ""
        head = f"{method} /api HTTP/1.1\r\nHost: app\r\nReq-Id: {self._job_id}\r\nReq-Kind: plain\r\n"
        self.more(f"{head}Req-Deadline-Ms: 2000\r\n{framing}\r\n".encode() + body)

    def more(self, text: bytes) -> None:
        # Guards against blocking here: the node that would read the bytes runs in the same thread.
        self.socket.setblocking(False)
        assert self.socket.send(text) == len(text)

    def go(self, how: str) -> None:
        """Disconnect: "close" ends both directions, "half" only the sending one, "reset" sends a reset."""
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


def free_address() -> Address:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address: Address = free.getsockname()
    return address


async def call(mgmt: Address, method: str, path: str, body: bytes = b"") -> int:
    """Call the admin API; return the status of the response."""
    reader, writer = await asyncio.open_connection(*mgmt)
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    )
    async with asyncio.timeout(5):
        response = await reader.read()
    writer.close()
    return int(response.split(b" ")[1])


def configuration(discovery: str = "127.0.0.1:1", **settings: Any) -> dict[str, Any]:
    """Return a valid configuration of a node; `settings` replace the top-level settings given here."""
    request_class = {"name": "plain", "effect": "repeatable", "contract_time": 1000, "abandon_time": 2000}
    settings_document: dict[str, Any] = {
        "layers": ["web"],
        "layer": 0,
        "localities": ["a"],
        "limits": {"max_dispatches": 5, "cancel": True},
        "profiles": [{**request_class, "tardy_revenue": 0.5}],
        **settings,
    }
    return {
        "name": "n",
        "listen": "127.0.0.1:2",
        "discovery": discovery,
        "seed": "7",
        "settings": settings_document,
    }


@asynccontextmanager
async def running(
    *servers: Peer,
    discovery: Peer | None = None,
    known: bool = True,
    sockets: int = 1024,
    file: Any = None,
    mgmt: Address | None = None,
    shared: Any = None,
    listen: Address | None = None,
    pushed: bool = False,
    fleet: Mapping[str, Any] | None = None,
    told: Mapping[str, Any] | None = None,
    starting: Callable[[Node], Awaitable[None]] | None = None,
    **terms: Any,
) -> AsyncIterator[tuple[Node, Address]]:
    """Run a node on a free port of the loopback address, with a cached list if `known`."""
    listen = listen or free_address()
    config = NodeConfig(
        name="n",
        listen=listen,
        discovery=discovery.address if discovery else listen,
        balancer=replace(SETTINGS, polls_list=discovery is not None, probes=False, tick=0.005, **terms),
        setting_names=SettingNames(["plain"], [], ["a"]),
        cached_list=read_list({"index": 1, "snapshot": True, "endpoints": rows(*servers)}) if known else None,
        max_descriptors=sockets,
        connect_timeout=0.5,
        connection_idle_timeout=5.0,
        load_path="/health",
        admin_address=mgmt,
        shared_directory=shared and str(shared),
        file=file and str(file),
        list_is_pushed=pushed,
        fleet=fleet,
        document=told or {},
    )
    node = Node(config)
    node_run = asyncio.create_task(node.run())
    if starting is not None:
        await starting(node)
    await node.listening.wait()
    try:
        yield node, listen
    finally:
        node.stop()
        async with asyncio.timeout(5):
            await node_run


PROGRAM = (sys.executable, "-m", "notchjunction")
# Runs the program with a limit of open descriptors, some of which the process inherits as already open.
LIMITED_PROGRAM = f"""
import os, resource, sys
limit, inherited = map(int, sys.argv[1:])
for _ in range(inherited):
    os.set_inheritable(os.dup(0), True)
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
os.execv(sys.executable, {PROGRAM!r})
"""


class Program:
    """The program in a process of its own; `descriptors` limits its open ones, `lost` of them are in use."""

    def __init__(
        self, folder: Path, document: Mapping[str, Any], descriptors: int = 0, lost: int = 0
    ) -> None:
        self.listen = free_address()
        self._file = folder / "node.json"
        self._file.write_text(json.dumps({**document, "listen": f"{self.listen[0]}:{self.listen[1]}"}))
        self._descriptors = descriptors
        self._lost = lost
        self.lines: list[str] = []

    async def __aenter__(self) -> Self:
        limits = [str(self._descriptors), str(self._lost)]
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", LIMITED_PROGRAM, *limits) if self._descriptors else PROGRAM,
            env={"GW_CONFIG": str(self._file)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        await self._reading

    async def _read(self) -> None:
        assert self._process.stderr is not None
        while line := await self._process.stderr.readline():
            self.lines.append(line.decode())

    def count(self, event: str) -> int:
        return sum(1 for line in self.lines if f"event={event} " in line or f'event="{event}"' in line)

    async def says(self, event: str) -> None:
        while not self.count(event):
            await asyncio.sleep(0.002)

    async def figures(self) -> dict[str, str]:
        """Terminate the program and return its final counters."""
        self._process.terminate()
        await self._process.wait()
        await self._reading
        (line,) = (line for line in self.lines if "event=counters " in line)
        return dict(pair.split("=", 1) for pair in line.split() if "=" in pair)

    def held(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))


@contextmanager
def no_descriptor_left(given: int = 1) -> Iterator[list[int]]:
    """Use up all descriptors of this process; a test may close some of those yielded, at least `given`."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    # Opened here, since the number of free ones below the highest descriptor in use depends on earlier tests.
    taken = [os.open(os.devnull, os.O_RDONLY) for _ in range(given)]
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 1, hard))
    try:
        with suppress(OSError):
            while True:
                taken.append(os.dup(taken[0]))
        yield taken
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for descriptor in taken:
            os.close(descriptor)
