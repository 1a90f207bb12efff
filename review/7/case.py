"""Upgrades whose new process cannot listen at its admin address."""

from __future__ import annotations

import asyncio
import itertools
import signal

from standins_2 import harness
from standins_2.harness import Ask, Case, Message, Node, NotRunError

STARTS = 40 if harness.TROUBLE else 10  # of a new process
DEADLINE_MS = 2000
WORK_S = 0.02
CLIENTS = 40  # each sends one request on a connection of its own, and then the next
PAUSE_S = 0.05
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # from SIGTERM, as PROTOCOL.md says


class Clients:
    """Clients that open a connection for each request."""

    def __init__(self, case: Case, port: int) -> None:
        self.answered: dict[int, int] = {}
        self.lost: list[str] = []
        self.unread = 0  # connections that were refused, or reset before the request was read
        self._record = case.record
        self._port = port
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Sends requests, one after the other."""
        while True:
            ask = Ask(str(next(self._numbers)), "read", DEADLINE_MS)
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                    await self._exchange(ask)
            except TimeoutError:
                self._note_lost(ask, "no answer in time")
            except (OSError, asyncio.IncompleteReadError) as error:
                # The system resets a connection that a process closes over unread bytes.
                self.unread += 1
                self._record.note("client", "reset", id=ask.id, why=type(error).__name__)
            await asyncio.sleep(PAUSE_S)

    async def _exchange(self, ask: Ask) -> None:
        reader, writer = await harness.open_connection(self._port)
        try:
            writer.write(ask.wire())
            answer = await harness.read_message(reader)
        finally:
            writer.close()
        if answer is None:
            # No reset: the request was read whole.
            self._note_lost(ask, "read, and closed without an answer")
            return
        self.answered[answer.status] = self.answered.get(answer.status, 0) + 1

    def _note_lost(self, ask: Ask, why: str) -> None:
        self.lost.append(ask.id)
        self._record.note("client", "lost", id=ask.id, why=why)


async def upgrade(case: Case, serving: Node, number: int, taken: int) -> Node:
    """Starts a new process beside the serving one; returns the one that serves then."""
    new = case.node("n1", serving.config)
    new.file, new.temporary, new.port = serving.file, serving.temporary, serving.port
    new.log = case.folder / f"start{number}.log"
    new.config = serving.config
    if harness.TROUBLE:
        new.start(GW_MGMT=f"{harness.HOST}:{taken}")
        assert new.process is not None
        if not await harness.wait_for(lambda: new.process is None or new.process.poll() is not None, 6):
            raise NotRunError("the new process runs although its admin address is taken")
        case.record.note("new", "ended", status=new.process.returncode)
        await asyncio.sleep(0.2)
        return serving
    new.start(GW_MGMT=f"{harness.HOST}:{new.mgmt}")
    for _ in range(120):
        if await harness.call(new.mgmt, "GET", "/control/ready") == 200:
            break
        await asyncio.sleep(0.05)
    serving.signal(signal.SIGTERM)
    assert serving.process is not None
    await harness.wait_for(
        lambda: serving.process is None or serving.process.poll() is not None, KILL_AFTER_S
    )
    serving.kill()
    return new


async def play(case: Case) -> list[str]:
    """Plays the case."""

    async def handle(request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(harness.response(200, request.request_id.encode()))

    discovery = await case.serve(lambda name: handle)
    settings = harness.settings([harness.profile("read", "repeatable", DEADLINE_MS)])
    serving = case.node("n1", harness.discovery_config(discovery, settings))
    serving.start(GW_MGMT=f"{harness.HOST}:{serving.mgmt}")
    await serving.ready()
    clients = Clients(case, serving.port)
    for _ in range(CLIENTS):
        case.spawn(clients.run())
    await asyncio.sleep(1)
    first_mgmt = serving.mgmt  # of the process that serves: another one cannot listen there
    for number in range(STARTS):
        serving = await upgrade(case, serving, number, first_mgmt)
    await asyncio.sleep(1)
    if serving.process is None or serving.process.poll() is not None:
        raise NotRunError("the serving process has ended")
    record = {str(status): count for status, count in clients.answered.items()}
    case.record.note("case", "answers", lost=len(clients.lost), unread=clients.unread, **record)
    if clients.answered.get(200, 0) < 100:
        raise NotRunError(f"too few requests were served: {record}")
    lost = clients.lost
    return [f"{len(lost)} requests read and never answered, over {STARTS} starts"] if lost else []


harness.run_case(__file__, play)
