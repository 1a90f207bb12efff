"""Links that fail as told, processes that pause and come back, and the checker of hard limits."""

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
from notchjunction.testbed import links as of_links
from notchjunction.testbed.client import FakeClients
from notchjunction.testbed.discovery import encode_list
from notchjunction.testbed.links import NO_IMPAIRMENT, Count, Impairment, LinkFault, Links
from notchjunction.testbed.process import NodePlacement, NodeProcess
from notchjunction.testbed.server import HOST
from notchjunction.testbed.stage import Stage
from tests.helpers import free_address
from tests.test_net import run

ALL = list(range(60))
Ends = dict[str, socket.socket]
P = ParamSpec("P")


def on_a_loop(story: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    return wraps(story)(lambda *args, **kwargs: run(story(*args, **kwargs)))


async def until(done: Callable[[], bool]) -> None:
    while not done():
        await asyncio.sleep(0.001)


@asynccontextmanager
async def meeting(seed: int = 1) -> AsyncIterator[tuple[Links, Ends]]:
    """Nodes a, b and c, which have joined, and d, which has not."""
    links, ends = await Links("abcd", seed).open(), Ends()
    for name in "abc":
        end = ends[name] = socket.socket(type=socket.SOCK_DGRAM)
        end.setblocking(False)
        end.bind((HOST, 0))
        links.join(name, end.getsockname())
    yield links, ends
    await links.close()
    for end in ends.values():
        end.close()


async def say(links: Links, ends: Ends, way: str, numbers: Sequence[int] = ALL) -> list[int]:
    """The numbers that arrive on the way from one node to another, once all have."""
    source, to = way[0], way[1]
    counts, loop, came = links.link(source, to).datagrams, asyncio.get_running_loop(), list[int]()
    seen, before = counts[Count.SEEN] + len(numbers), counts[Count.PASSED] + counts[Count.REPEATED]
    for number in numbers:
        ends[source].sendto(b"%d" % number, links.public(to))
    await until(lambda: counts[Count.SEEN] == seen)
    while len(came) < counts[Count.PASSED] + counts[Count.REPEATED] - before:
        data, sender = await loop.sock_recvfrom(ends[to], 9)
        assert sender == links.public(source)
        came.append(int(data))
    return came


@pytest.mark.parametrize(
    ("told", "fits"),
    [
        (NO_IMPAIRMENT, lambda got: got == ALL),
        (Impairment(cut=True), lambda got: got == []),
        (Impairment(loss=0.3), lambda got: 30 < len(got) < 54 and got == sorted(got)),
        (Impairment(repeats=0.3), lambda got: 66 < len(got) < 90 and set(got) == set(ALL)),
        (Impairment(reorder=0.3), lambda got: sorted(got) == ALL != got),
    ],
    ids=str,
)
@on_a_loop
async def test_datagrams_meet_what_their_link_is_told_and_the_seed_says_which(
    told: Impairment, fits: Callable[[list[int]], bool]
) -> None:
    async def got(seed: int, cut: int = 0) -> list[int]:
        async with meeting(seed) as (links, ends):
            links.partition("a", "b")
            assert await say(links, ends, "ab", ALL[:cut]) == []
            links.heal()
            links.impair("a", "b", told)
            return await say(links, ends, "ab", ALL[cut:])

    first, again, other, later = await got(1), await got(1), await got(2), await got(1, 20)
    assert fits(first) and first == again
    assert (first == other) == (told.cut or told == NO_IMPAIRMENT)
    assert sorted(later) == sorted(number for number in first if number >= 20)


@on_a_loop
async def test_cuts_are_one_way_or_between_sides_and_a_schedule_begins_and_ends_them() -> None:
    async with meeting() as (links, ends):
        link = links.link("c", "b")
        links.partition_one_way("a", "bc")
        assert await say(links, ends, "ab") == [] and await say(links, ends, "ba") == ALL
        links.heal()
        cut = LinkFault(of_links.Kind.CUT, sides=("ab", "c"))
        links.schedule([cut, LinkFault(of_links.Kind.LOSE, 0.5, 0.6)])
        await until(lambda: link.impairment.cut)
        assert await say(links, ends, "cb") == await say(links, ends, "ac") == []
        assert await say(links, ends, "ab") == ALL
        links.heal()
        links.end_fault(cut)
        assert await say(links, ends, "cb") == ALL
        await until(lambda: link.impairment == Impairment(loss=1.0))
        await until(lambda: link.impairment == NO_IMPAIRMENT)


@on_a_loop
async def test_a_delay_is_counted_strays_are_dropped_and_what_is_under_way_at_the_end_is_no_error() -> None:
    loop, failures = asyncio.get_running_loop(), list[object]()
    loop.set_exception_handler(lambda _, failure: failures.append(failure))
    async with meeting() as (links, ends):
        link, began = links.link("a", "b"), loop.time()
        links.impair("a", "b", Impairment(delay=0.05, jitter=0.01))
        assert sorted(await say(links, ends, "ab", ALL[:10])) == ALL[:10] and loop.time() > began + 0.05
        assert link.datagrams[Count.DELAYED] == link.bytes[Count.DELAYED] == 10
        links.join("b", free_address())
        for source, to in ("ad", "ba", "ab"):
            ends[source].sendto(b"1", links.public(to))
        await until(lambda: links.strays == 2 and link.datagrams[Count.SEEN] == 11)
    await asyncio.sleep(0.1)
    assert failures == []


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while piece := await reader.read(9):
        writer.write(piece)
    writer.close()


@pytest.mark.parametrize("resets", [False, True])
@on_a_loop
async def test_a_stream_is_late_stands_still_while_cut_and_then_goes_on_or_is_reset(resets: bool) -> None:
    loop, far = asyncio.get_running_loop(), await asyncio.start_server(echo, HOST, 0)
    async with meeting() as (links, _):
        at = await links.open_stream("a", "b", far.sockets[0].getsockname(), resets)
        links.impair("b", "a", Impairment(delay=0.05))
        reader, writer = await asyncio.open_connection(*at)
        began = loop.time()
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one" and loop.time() > began + 0.05
        links.partition("a", "b")
        both = [(reader, writer), await asyncio.open_connection(*at)]
        for _, each in both:
            each.write(b"two")
        answers = [asyncio.create_task(each.read(9)) for each, _ in both]
        assert not (await asyncio.wait(answers, timeout=0.1))[0]
        links.heal()
        heard = await asyncio.gather(*answers, return_exceptions=True)
        if resets:
            assert all(isinstance(each, ConnectionResetError) for each in heard)
        else:
            writer.write_eof()
            assert heard == [b"two", b"two"] and await reader.read(9) == b""
        for _, each in both:
            each.close()
    far.close()


@on_a_loop
async def test_a_paused_process_says_nothing_goes_on_and_comes_back_with_its_file(tmp_path: Path) -> None:
    clients, node = FakeClients(), NodeProcess(0, free_address(), tmp_path)
    known = json.loads(encode_list([EndpointEntry(0, EndpointState.ACTIVE)], 1, True, lambda _: (HOST, 9)))
    node.start(Scenario("small"), NodePlacement(0, 0, 1), (HOST, 9), {}, {"known": known})
    await node.wait_until_ready(clients)
    node.pause()
    assert await clients.request(node.listen, Request("GET", "/ready", {"host": "n"}), 0.3) is None
    node.resume()
    await node.wait_until_ready(clients)
    node.reload({**node.config, "discovery": f"{HOST}:10"})
    await until(lambda: any('event="configuration reloaded"' in line for line in node.log_lines()))
    await node.restart()
    await node.wait_until_ready(clients)
    clients.close()
    node.pause()
    assert "client_connections_closed" in await node.terminate()


def rows_of(*dispatches: tuple[float, float, float], last: float = 0.0) -> list[TraceRow]:
    """Each: when it is sent, when it has landed, when its time is over; and a row of another kind."""
    rows: list[TraceRow] = [
        AttemptSent(at, 0, job, 0, 0, over) for job, (at, _, over) in enumerate(dispatches)
    ]
    rows += [AttemptEnded(at, 0, job, 0, 0) for job, (_, at, _) in enumerate(dispatches) if at < inf]
    return sorted([*rows, ProbeSent(last, 0, 0)], key=lambda row: row.at)


@pytest.mark.parametrize(
    ("rows", "slack", "holds"),
    [
        (rows_of((0, 2, 9), (1, 3, 9), (2, 4, 9)), 0.0, True),
        (rows_of((0, 2, 9), (1, 3, 9), (1.5, 1.6, 9)), 0.0, False),
        (rows_of((0, inf, 1), (0, 1.5, 1), (1, 2, 9), (1, 2, 9)), 0.0, True),
        (rows_of((0, 1, 9), (0, 1, 9), (0.95, 2, 9)), 0.1, True),
        (rows_of((0, 1, 9), (0, 1, 9), (0.95, 2, 9)), 0.0, False),
        (rows_of((0, inf, 9), (0, inf, 9), (1, inf, 9)), 0.1, True),
        (rows_of((0, inf, 9), (0, inf, 9), (1, inf, 9), last=1.2), 0.1, False),
    ],
)
def test_a_story_that_goes_one_over_its_limit_is_caught(
    rows: list[TraceRow], slack: float, holds: bool
) -> None:
    assert (list(limit_held(rows, 2, slack)) == []) == holds


def test_what_is_out_is_measured_over_a_span() -> None:
    assert measure_in_flight(rows_of((0, 2, 9), (1, 3, 9), (5, 6, 9)), 0.0, 4.0) == (2, 1.0)
    rows = World(Scenario("calm", length=4.0)).play().rows
    most = measure_in_flight(rows, START_TIME, START_TIME + 4).peak
    assert 1 < most < 30 and not list(limit_held(rows, most)) and list(limit_held(rows, most - 1))


@on_a_loop
async def test_on_sockets_each_dispatch_lands_once_however_it_ends(tmp_path: Path) -> None:
    faults = (Fault(Kind.CRASH, 0.5, 1.0, (0,)), Fault(Kind.LOSE, 0.0, 2.0, (1,), 0.3))
    short = (RequestClass(0.3, 0.5, idempotency=Idempotency.IDEMPOTENT),)
    scenario = Scenario("short", 1, 3, length=2.0, profiles=short, streams=(Stream(0, 40.0),), faults=faults)
    found = await Stage(scenario, tmp_path).play()
    sent = [
        row for row in found.rows if isinstance(row, AttemptSent) and row.timeout_at < found.ended_at - 0.3
    ]
    landed = Counter(
        (row.node, row.request, row.attempt) for row in found.rows if isinstance(row, AttemptEnded)
    )
    assert len(sent) > 40 and max(landed.values()) == 1
    assert {(row.node, row.request, row.attempt) for row in sent} <= landed.keys()
