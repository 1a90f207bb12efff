"""An upgrade while clients read long answers slowly."""

from __future__ import annotations

import asyncio
import signal
import socket

from standins_2 import harness
from standins_2.harness import Ask, Case, Message, Node, NotRunError

CLIENTS = 150
SMALLEST_BYTES, LARGEST_BYTES = 3_000_000, 4_300_000  # of answers; up to 32 MB occur
PACE = 64_000  # bytes a second that a client reads
SLOW_S = 14.0  # for which a client reads slowly; then it reads the rest at once
DEADLINE_MS = 3000
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # from SIGTERM, as PROTOCOL.md says
UPGRADE_AFTER_S = 8.0


class Reader:
    """A client that reads one long answer slowly."""

    def __init__(self, case: Case, port: int, number: int) -> None:
        self.size = SMALLEST_BYTES + (LARGEST_BYTES - SMALLEST_BYTES) * number // CLIENTS
        self.got = 0
        self.begun = False  # a 200 has come
        self.ask = Ask(f"{number}-{self.size}", "read", DEADLINE_MS)
        self._record = case.record
        self._port = port
        self._start_after = number * 0.03

    async def run(self) -> None:
        """Asks, and reads the answer."""
        await asyncio.sleep(self._start_after)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (harness.HOST, self._port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=32_000)
        try:
            writer.write(self.ask.wire())
            self.begun = b" 200 " in await reader.readuntil(b"\r\n\r\n")
            if self.begun:
                await self._read_body(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._record.note("client", "end", id=self.ask.id, why=repr(error))
        self._record.note("client", "read", id=self.ask.id, bytes=self.got, begun=self.begun)
        writer.close()

    async def _read_body(self, reader: asyncio.StreamReader) -> None:
        began = self._record.now()
        while self.got < self.size:
            data = await reader.read(32_000)
            if not data:
                return
            self.got += len(data)
            if self._record.now() < began + SLOW_S:
                await asyncio.sleep(max(0.0, began + self.got / PACE - self._record.now()))


async def upgrade(case: Case, serving: Node) -> None:
    """Lets a new process follow the serving one, as DAYS.md says."""
    new = case.node("n1", serving.config)
    new.file, new.temporary, new.port = serving.file, serving.temporary, serving.port
    new.config = serving.config
    new.log = case.folder / "new.log"
    new.start(GW_MGMT=f"{harness.HOST}:{new.mgmt}")
    if not await harness.until(lambda: harness.call(new.mgmt, "GET", "/control/ready"), 200, 6):
        raise NotRunError("the new process is not ready")
    serving.signal(signal.SIGTERM)
    process = serving.process
    assert process is not None
    ended = await harness.wait_for(lambda: process.poll() is not None, KILL_AFTER_S)
    case.record.note("n1", "has ended" if ended else "is killed")
    serving.kill()


async def play(case: Case) -> list[str]:
    """Plays the case."""
    given: set[str] = set()

    async def handle(request: Message, writer: asyncio.StreamWriter) -> None:
        size = int(request.request_id.partition("-")[2])
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
        for at in range(0, size, 65536):
            writer.write(b"x" * min(65536, size - at))
            await writer.drain()
        given.add(request.request_id)
        case.record.note("servers", "gave all", id=request.request_id)

    discovery = await case.serve(lambda name: handle)
    settings = harness.settings([harness.profile("read", "repeatable", DEADLINE_MS)])
    node = case.node("n1", harness.discovery_config(discovery, settings))
    node.start()
    await node.ready()
    readers = [Reader(case, node.port, number) for number in range(CLIENTS)]
    tasks = [case.spawn(reader.run()) for reader in readers]
    await asyncio.sleep(UPGRADE_AFTER_S)
    if harness.TROUBLE:
        await upgrade(case, node)
    await asyncio.wait(tasks, timeout=60)
    whole = sum(1 for reader in readers if reader.got == reader.size)
    short = [
        reader for reader in readers if reader.begun and reader.got < reader.size and reader.ask.id in given
    ]
    case.record.note("case", "answers", whole=whole, cut_off=len(short))
    if whole < CLIENTS // 2:
        raise NotRunError(f"too few answers: {whole}")
    lacks = ", ".join(str(reader.size - reader.got) for reader in short)
    return [f"{len(short)} of {CLIENTS} answers lack their last bytes: {lacks}"] if short else []


harness.run_case(__file__, play)
