"""A bad client that sends the id of another client's open request, whose long answer has begun."""

from __future__ import annotations

import asyncio

from standins_2 import harness
from standins_2.harness import Ask, Case, Message, NotRunError

ANSWER_BYTES = 400 * 1024  # over 64 KiB: passed on as it comes
PIECE_BYTES = 16 * 1024
PIECE_EACH_S = 0.1  # at a server; the whole answer takes 2.5 s
DEADLINE_MS = 4000
REPEAT_AFTER_S = 1.0  # from the client's first byte of the answer to the bad client's request
ROUNDS = 5


class Service:
    """Servers that count how often the request of an id has run."""

    def __init__(self, case: Case) -> None:
        self.runs: dict[str, int] = {}
        self._record = case.record

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Runs a request, and gives its long answer piece by piece."""
        self.runs[request.request_id] = self.runs.get(request.request_id, 0) + 1
        self._record.note("servers", "ran", id=request.request_id, body=request.body.decode())
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
        for _ in range(ANSWER_BYTES // PIECE_BYTES):
            writer.write(request.body[:1] * PIECE_BYTES)
            await writer.drain()
            await asyncio.sleep(PIECE_EACH_S)


async def play_round(case: Case, port: int, request_id: str) -> tuple[int | None, int | None]:
    """Returns the statuses that the usual and the bad client hear; the latter is None without trouble."""
    reader, writer = await harness.open_connection(port)
    writer.write(Ask(request_id, "charge", DEADLINE_MS, "POST", body=b"usual").wire())
    first = await reader.readexactly(1)
    case.record.note("client", "answer begins", id=request_id)
    await asyncio.sleep(REPEAT_AFTER_S)
    bad = None
    if harness.TROUBLE:
        repeat = Ask(request_id, "charge", DEADLINE_MS, "POST", body=b"bad")
        case.record.note("bad", "sent", id=request_id)
        bad = await harness.ask_once(port, repeat, 6)
        case.record.note("bad", "answer", id=request_id, status=bad.status if bad else None)
    head = first + await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(ANSWER_BYTES)
    writer.close()
    case.record.note("client", "answer whole", id=request_id, right=body == b"u" * ANSWER_BYTES)
    return int(head.split(b" ")[1]), bad.status if bad else None


async def play(case: Case) -> list[str]:
    """Plays the case."""
    service = Service(case)
    discovery = await case.serve(lambda name: service.handle)
    settings = harness.settings([harness.profile("charge", "once", DEADLINE_MS)])
    node = case.node("n1", harness.discovery_config(discovery, settings))
    node.start()
    await node.ready()
    statuses = [await play_round(case, node.port, f"r{number}") for number in range(ROUNDS)]
    if any(usual != 200 for usual, _ in statuses):
        raise NotRunError(f"the usual client was not served: {statuses}")
    twice = [request for request, runs in service.runs.items() if runs > 1]
    served = sum(1 for _, bad in statuses if bad == 200)
    if not twice and not served:
        return []
    return [f"{len(twice)} of {ROUNDS} ids ran twice, and the bad client was served {served} times"]


harness.run_case(__file__, play)
