"""Links with scheduled faults, processes that are paused and restarted, and the checker of hard limits."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from contextlib import asynccontextmanager
from functools import wraps
from math import inf
from pathlib import Path
from typing import Any, ParamSpec

import pytest

from notchjunction.balancing.interface import EndpointEntry, Idempotency, RequestClass
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.checkers import limit_held, measure_in_flight
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream
from notchjunction.emulator.trace import AttemptEnded, AttemptSent, ProbeSent, TraceRow
from notchjunction.emulator.world import START_TIME, World
from notchjunction.http1.messages import Request
from notchjunction.testbed import links as links_module
from notchjunction.testbed.client import FakeClients
from notchjunction.testbed.discovery import encode_list
from notchjunction.testbed.links import NO_IMPAIRMENT, Count, Impairment, LinkFault, Links
from notchjunction.testbed.process import NodePlacement, NodeProcess
from notchjunction.testbed.server import HOST
from notchjunction.testbed.stage import Stage
from tests.helpers import free_address
from tests.test_net import run

NUMBERS = list(range(60))
Sockets = dict[str, socket.socket]
P = ParamSpec("P")


def run_in_loop(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    return wraps(test)(lambda *args, **kwargs: run(test(*args, **kwargs)))


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


@asynccontextmanager
async def joined_links(seed: int = 1) -> AsyncIterator[tuple[Links, Sockets]]:
    """Open links between nodes a, b and c, which have joined, and d, which has not."""
    links, sockets = await Links("abcd", seed).open(), Sockets()
    for name in "abc":
        sock = sockets[name] = socket.socket(type=socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((HOST, 0))
        links.join(name, sock.getsockname())
    yield links, sockets
    await links.close()
    for sock in sockets.values():
        sock.close()


async def send_numbers(
    links: Links, sockets: Sockets, direction: str, numbers: Sequence[int] = NUMBERS
) -> list[int]:
    """Send numbers from one node to another ("ab": from a to b), and return those that arrive."""
    source, to = direction[0], direction[1]
    counts, loop, arrived = links.link(source, to).datagrams, asyncio.get_running_loop(), list[int]()
    seen, before = counts[Count.SEEN] + len(numbers), counts[Count.PASSED] + counts[Count.REPEATED]
    for number in numbers:
        sockets[source].sendto(b"%d" % number, links.public(to))
    await wait_until(lambda: counts[Count.SEEN] == seen)
    while len(arrived) < counts[Count.PASSED] + counts[Count.REPEATED] - before:
        data, sender = await loop.sock_recvfrom(sockets[to], 9)
        assert sender == links.public(source)
        arrived.append(int(data))
    return arrived


@pytest.mark.parametrize(
    ("impairment", "is_expected"),
    [
        (NO_IMPAIRMENT, lambda received: received == NUMBERS),
        (Impairment(cut=True), lambda received: received == []),
        (Impairment(loss=0.3), lambda received: 30 < len(received) < 54 and received == sorted(received)),
        (Impairment(repeats=0.3), lambda received: 66 < len(received) < 90 and set(received) == set(NUMBERS)),
        (Impairment(reorder=0.3), lambda received: sorted(received) == NUMBERS != received),
    ],
    ids=str,
)
@run_in_loop
async def test_seed_determines_which_datagrams_an_impairment_affects(
    impairment: Impairment, is_expected: Callable[[list[int]], bool]
) -> None:
    async def send_with_seed(seed: int, cut_count: int = 0) -> list[int]:
        async with joined_links(seed) as (links, sockets):
            links.partition("a", "b")
            assert await send_numbers(links, sockets, "ab", NUMBERS[:cut_count]) == []
            links.heal()
            links.impair("a", "b", impairment)
            return await send_numbers(links, sockets, "ab", NUMBERS[cut_count:])

    first, repeated, other_seed, after_cut = (
        await send_with_seed(1),
        await send_with_seed(1),
        await send_with_seed(2),
        await send_with_seed(1, 20),
    )
    assert is_expected(first) and first == repeated
    assert (first == other_seed) == (impairment.cut or impairment == NO_IMPAIRMENT)
    assert sorted(after_cut) == sorted(number for number in first if number >= 20)


@run_in_loop
async def test_cuts_are_one_way_or_between_sides_and_follow_a_schedule() -> None:
    async with joined_links() as (links, sockets):
        link = links.link("c", "b")
        links.partition_one_way("a", "bc")
        assert (
            await send_numbers(links, sockets, "ab") == []
            and await send_numbers(links, sockets, "ba") == NUMBERS
        )
        links.heal()
        cut = LinkFault(links_module.Kind.CUT, sides=("ab", "c"))
        links.schedule([cut, LinkFault(links_module.Kind.LOSE, 0.5, 0.6)])
        await wait_until(lambda: link.impairment.cut)
        assert await send_numbers(links, sockets, "cb") == await send_numbers(links, sockets, "ac") == []
        assert await send_numbers(links, sockets, "ab") == NUMBERS
        links.heal()
        links.end_fault(cut)
        assert await send_numbers(links, sockets, "cb") == NUMBERS
        await wait_until(lambda: link.impairment == Impairment(loss=1.0))
        await wait_until(lambda: link.impairment == NO_IMPAIRMENT)


@run_in_loop
async def test_delays_are_counted_strays_dropped_and_closing_with_datagrams_in_flight_is_no_error() -> None:
    loop, failures = asyncio.get_running_loop(), list[object]()
    loop.set_exception_handler(lambda _, failure: failures.append(failure))
    async with joined_links() as (links, sockets):
        link, started_at = links.link("a", "b"), loop.time()
        links.impair("a", "b", Impairment(delay=0.05, jitter=0.01))
        assert (
            sorted(await send_numbers(links, sockets, "ab", NUMBERS[:10])) == NUMBERS[:10]
            and loop.time() > started_at + 0.05
        )
        assert link.datagrams[Count.DELAYED] == link.bytes[Count.DELAYED] == 10
        links.join("b", free_address())
        for source, to in ("ad", "ba", "ab"):
            sockets[source].sendto(b"1", links.public(to))
        await wait_until(lambda: links.strays == 2 and link.datagrams[Count.SEEN] == 11)
    await asyncio.sleep(0.1)
    assert failures == []


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while chunk := await reader.read(9):
        writer.write(chunk)
    writer.close()


@pytest.mark.parametrize("resets", [False, True])
@run_in_loop
async def test_stream_is_delayed_stops_while_cut_and_then_continues_or_is_reset(resets: bool) -> None:
    loop, server = asyncio.get_running_loop(), await asyncio.start_server(echo, HOST, 0)
    async with joined_links() as (links, _):
        address = await links.open_stream("a", "b", server.sockets[0].getsockname(), resets)
        links.impair("b", "a", Impairment(delay=0.05))
        reader, writer = await asyncio.open_connection(*address)
        started_at = loop.time()
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one" and loop.time() > started_at + 0.05
        links.partition("a", "b")
        streams = [(reader, writer), await asyncio.open_connection(*address)]
        for _, stream in streams:
            stream.write(b"two")
        reads = [asyncio.create_task(stream.read(9)) for stream, _ in streams]
        assert not (await asyncio.wait(reads, timeout=0.1))[0]
        links.heal()
        results = await asyncio.gather(*reads, return_exceptions=True)
        if resets:
            assert all(isinstance(result, ConnectionResetError) for result in results)
        else:
            writer.write_eof()
            assert results == [b"two", b"two"] and await reader.read(9) == b""
        for _, stream in streams:
            stream.close()
    server.close()


@run_in_loop
async def test_process_pauses_resumes_reloads_and_restarts(tmp_path: Path) -> None:
    clients, node = FakeClients(), NodeProcess(0, free_address(), tmp_path)
    known = json.loads(encode_list([EndpointEntry(0, EndpointState.ACTIVE)], 1, True, lambda _: (HOST, 9)))
    node.start(Scenario("small"), NodePlacement(0, 0, 1), (HOST, 9), {}, {"known": known})
    await node.wait_until_ready(clients)
    node.pause()
    assert await clients.request(node.listen, Request("GET", "/ready", {"host": "n"}), 0.3) is None
    node.resume()
    await node.wait_until_ready(clients)
    node.reload({**node.config, "discovery": f"{HOST}:10"})
    await wait_until(lambda: any('event="configuration reloaded"' in line for line in node.log_lines()))
    await node.restart()
    await node.wait_until_ready(clients)
    clients.close()
    node.pause()
    assert "client_connections_closed" in await node.terminate()


def rows_of(*attempts: tuple[float, float, float], last_row_at: float = 0.0) -> list[TraceRow]:
    """Return the rows of attempts, each given as when it is sent, ends and times out, and of one probe."""
    rows: list[TraceRow] = [
        AttemptSent(at, 0, request, 0, 0, timeout_at) for request, (at, _, timeout_at) in enumerate(attempts)
    ]
    rows += [AttemptEnded(at, 0, request, 0, 0) for request, (_, at, _) in enumerate(attempts) if at < inf]
    return sorted([*rows, ProbeSent(last_row_at, 0, 0)], key=lambda row: row.at)


@pytest.mark.parametrize(
    ("rows", "tolerance", "is_within_limit"),
    [
        (rows_of((0, 2, 9), (1, 3, 9), (2, 4, 9)), 0.0, True),
        (rows_of((0, 2, 9), (1, 3, 9), (1.5, 1.6, 9)), 0.0, False),
        (rows_of((0, inf, 1), (0, 1.5, 1), (1, 2, 9), (1, 2, 9)), 0.0, True),
        (rows_of((0, 1, 9), (0, 1, 9), (0.95, 2, 9)), 0.1, True),
        (rows_of((0, 1, 9), (0, 1, 9), (0.95, 2, 9)), 0.0, False),
        (rows_of((0, inf, 9), (0, inf, 9), (1, inf, 9)), 0.1, True),
        (rows_of((0, inf, 9), (0, inf, 9), (1, inf, 9), last_row_at=1.2), 0.1, False),
    ],
)
def test_excess_over_the_hard_limit_is_detected(
    rows: list[TraceRow], tolerance: float, is_within_limit: bool
) -> None:
    assert (list(limit_held(rows, 2, tolerance)) == []) == is_within_limit


def test_attempts_in_flight_are_measured_over_a_period() -> None:
    assert measure_in_flight(rows_of((0, 2, 9), (1, 3, 9), (5, 6, 9)), 0.0, 4.0) == (2, 1.0)
    rows = World(Scenario("calm", length=4.0)).play().rows
    peak = measure_in_flight(rows, START_TIME, START_TIME + 4).peak
    assert 1 < peak < 30 and not list(limit_held(rows, peak)) and list(limit_held(rows, peak - 1))


@run_in_loop
async def test_each_attempt_on_sockets_ends_exactly_once(tmp_path: Path) -> None:
    faults = (Fault(Kind.CRASH, 0.5, 1.0, (0,)), Fault(Kind.LOSE, 0.0, 2.0, (1,), 0.3))
    request_classes = (RequestClass(0.3, 0.5, idempotency=Idempotency.IDEMPOTENT),)
    scenario = Scenario(
        "short", 1, 3, length=2.0, profiles=request_classes, streams=(Stream(0, 40.0),), faults=faults
    )
    trace = await Stage(scenario, tmp_path).play()
    sent = [
        row for row in trace.rows if isinstance(row, AttemptSent) and row.timeout_at < trace.ended_at - 0.3
    ]
    ended = Counter(
        (row.node, row.request, row.attempt) for row in trace.rows if isinstance(row, AttemptEnded)
    )
    assert len(sent) > 40 and max(ended.values()) == 1
    assert {(row.node, row.request, row.attempt) for row in sent} <= ended.keys()
