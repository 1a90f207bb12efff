"""Upgrades between two released commits and the code of today, in both directions, on real processes.

A commit is checked out beside the test. One of the two programs serves; the other takes over from it, while
requests flow, an answer is under way, and operators have said something.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from notchjunction.addresses import Address
from notchjunction.http1.messages import Request
from tests.helpers import OK, SILENT, Client, Peer, Reply, call, configuration, free_address, rows, wire_of
from tests.released_commits import FIRST_COMMIT, LAST_COMMIT_BEFORE_RENAMING, REPOSITORY, working_tree

WITHIN = 60.0  # s for a whole story, which takes a tenth of it on an idle machine
CALLERS = 4  # connections that send one request after the other
CALLERS_PAUSE = 0.01  # s between the requests of one connection
JOBS_BEFORE = 60  # answers before the upgrade, so that there is something to hand over
JOBS_UNDER_WAY = 10 * CALLERS  # answers after which no request of an earlier moment is under way
JOBS_AFTER = 60  # answers in which servers that are out get no request
SERVER_AGE = 100  # s since the first server started; each further one is older by as much
SLOW = "text/slow"  # what a request accepts whose answer stops in the middle until the story lets it go on
BEGINNING = b"x" * 400_000  # of that answer's body: too large for the node to hold it whole
BODY_SIZE = len(BEGINNING) + len(OK[0])  # its rest is what the stand-in writes once it is let go on
SLOW_REPLY: Reply = (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_SIZE + BEGINNING, "hold")
HANDOVER_SOCKET = "notchjunction.handover"
HANDOVER_VERSION = "1"
LINE_MOST = 8 * 1024 * 1024  # bytes of a line on that socket


def reply(request: Request) -> Reply:
    return SLOW_REPLY if request.headers.get("accept") == SLOW else OK


def jobs(peer: Peer) -> int:
    """Requests of callers that came to a server, without the node's own looks at it."""
    return sum(1 for request in peer.requests if request.path.startswith("/api"))


class Place(NamedTuple):
    """What the processes of one node share."""

    folder: Path
    listen: Address

    def start(self, program: Path, mgmt: Address, told: dict[str, Any]) -> subprocess.Popen[bytes]:
        """A process of the node that runs the program in that working tree."""
        file = self.folder / f"told-{mgmt[1]}.json"
        file.write_text(json.dumps(told))
        environment = {
            **os.environ,
            "GW_CONFIG": str(file),
            "GW_LISTEN": f"{self.listen[0]}:{self.listen[1]}",
            "GW_MGMT": f"{mgmt[0]}:{mgmt[1]}",
            "TMPDIR": str(self.folder),
        }
        environment.pop("PYTHONPATH", None)
        command = [sys.executable, "-B", "-m", "notchjunction"]
        return subprocess.Popen(command, cwd=program, env=environment, stderr=subprocess.DEVNULL)

    def handed_over(self) -> dict[str, Any]:
        """What the serving process gives one that follows it, which goes away at once."""
        with socket.socket(socket.AF_UNIX) as follower:
            follower.settimeout(WITHIN)
            follower.connect(str(self.folder / HANDOVER_SOCKET))
            text, descriptors, _, _ = socket.recv_fds(follower, 4096, 8)
            for descriptor in descriptors:
                os.close(descriptor)
            listen = f"{self.listen[0]}:{self.listen[1]}"
            assert descriptors
            assert json.loads(text) == {"node": "n", "listen": listen, "version": HANDOVER_VERSION}
            follower.sendall(b'{"got": true}\n')
            with follower.makefile("rb") as lines:
                state: dict[str, Any] = json.loads(lines.readline(LINE_MOST))["state"]
        return state


async def until_ready(mgmt: Address, process: subprocess.Popen[bytes]) -> None:
    while True:
        assert process.poll() is None, "ended before it was ready"
        try:
            if await call(mgmt, "GET", "/control/ready") == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


class Flow:
    """Callers whose connections are never refused, nor closed with a request unanswered."""

    def __init__(self, listen: Address) -> None:
        self.answered = 0
        self._listen = listen
        self._going = True

    async def run(self) -> None:
        while self._going:
            client = await Client().open(self._listen)
            keep = True
            while self._going and keep:
                client.ask()
                answer = await client.answer()
                assert answer.status in (200, 503)  # few servers have not always room
                self.answered += answer.status == 200
                keep = answer.keep_alive
                await asyncio.sleep(CALLERS_PAUSE)
            client.writer.close()

    async def more(self, count: int, work: list[asyncio.Task[None]]) -> None:
        """Until so many more are answered; a caller that failed says so here."""
        wanted = self.answered + count
        while self.answered < wanted:
            for each in work:
                if each.done():
                    each.result()
            await asyncio.sleep(0.005)

    def stop(self) -> None:
        self._going = False


async def upgrade(first_program: Path, second_program: Path, folder: Path) -> None:
    """One program serves, the other takes over; what the first knew is what the second goes on from."""
    place = Place(folder, free_address())
    mgmt, mgmt2 = free_address(), free_address()
    async with (
        Peer(reply) as a,
        Peer(reply) as b,
        Peer(reply) as c,
        Peer(SILENT) as discovery,
        AsyncExitStack() as stack,
    ):
        listed = [
            {**row, "since_ms": 1000 * (int(time.time()) - SERVER_AGE * number)}
            for number, row in enumerate(rows(a, b, c), 1)
        ]
        known = {"index": 4, "snapshot": True, "endpoints": listed}

        async def started(program: Path, mgmt: Address, **more: Any) -> subprocess.Popen[bytes]:
            process = place.start(program, mgmt, {**configuration(discovery.at), **more})
            stack.push_async_callback(asyncio.to_thread, process.wait)
            stack.callback(process.kill)
            await until_ready(mgmt, process)
            return process

        first = await started(first_program, mgmt, known=known)
        flow = Flow(place.listen)
        work = [asyncio.create_task(flow.run()) for _ in range(CALLERS)]
        await flow.more(JOBS_BEFORE, work)
        assert await call(mgmt, "PUT", "/control/servers/s0/offline") == 200
        reader, writer = await begun_answer(place.listen)
        before = await asyncio.to_thread(place.handed_over)
        # The list comes from the first process alone: this one's file has none, and discovery says nothing.
        await started(second_program, mgmt2)
        # What operators say to the second process holds in the first, which has the callers' connections.
        assert await call(mgmt2, "PUT", "/control/servers/s1/offline") == 200
        await flow.more(JOBS_UNDER_WAY, work)
        barred_had = jobs(a), jobs(b)
        await flow.more(JOBS_AFTER, work)
        assert (jobs(a), jobs(b)) == barred_had
        assert (await asyncio.to_thread(place.handed_over))["barred"] == ["s0", "s1"]
        # And what they say to the first one holds in the second.
        assert await call(mgmt, "PUT", "/control/servers/s1/online") == 200
        assert await call(mgmt, "PUT", "/control/out-of-service") == 200
        state = await asyncio.to_thread(place.handed_over)
        assert state["barred"] == ["s0"] and state["out"] is True
        assert await call(mgmt2, "PUT", "/control/in-service") == 200
        # The first process ends with its answer half told; the second one tells the rest.
        first.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(first.wait) == 0
        for peer in (a, b, c):
            peer.go_on.set()
        assert await reader.readexactly(BODY_SIZE) == BEGINNING + OK[0]
        writer.close()
        others_had = jobs(b) + jobs(c)
        await flow.more(JOBS_AFTER, work)
        # Each caller had one request at most under way as they were counted.
        assert jobs(a) == barred_had[0] and jobs(b) + jobs(c) >= others_had + JOBS_AFTER - CALLERS
        after = await asyncio.to_thread(place.handed_over)
        check_taken_over(before, after, known)
        assert await call(mgmt2, "PUT", "/control/servers/s0/online") == 200
        while jobs(a) == barred_had[0]:
            await flow.more(1, work)
        flow.stop()
        await asyncio.gather(*work)


async def begun_answer(listen: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A caller past the head of an answer that stops in the middle."""
    reader, writer = await asyncio.open_connection(*listen, limit=2 * BODY_SIZE)
    writer.write(wire_of(1, left=20_000, extra=f"Accept: {SLOW}\r\n"))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    return reader, writer


def check_taken_over(before: dict[str, Any], after: dict[str, Any], known: dict[str, Any]) -> None:
    """`before` was the first process's state, `after` is that of the second, some seconds later."""
    assert before["barred"] == after["barred"] == ["s0"]
    assert before["out"] is after["out"] is False
    assert before["list"] == after["list"] == known
    assert set(before["starts"]) == set(after["starts"]) == {"s0", "s1", "s2"}
    for name, (told, age) in before["starts"].items():
        assert after["starts"][name][0] == told and after["starts"][name][1] >= age
    # The second process is younger than what the first one learned: it can only have been told of it.
    learned, kept = before["lessons"], after["lessons"]
    assert kept["clearing"]["began"] >= learned["clearing"]["began"] > 0
    assert len(learned["spent"]["plain"]) == len(kept["spent"]["plain"]) > 0
    assert learned["servers"]["s0"]["last"] == kept["servers"]["s0"]["last"] != []
    assert learned["servers"]["s0"]["seconds"] == kept["servers"]["s0"]["seconds"] != []


@pytest.mark.parametrize("commit", [FIRST_COMMIT, LAST_COMMIT_BEFORE_RENAMING])
@pytest.mark.parametrize("direction", ["commit to today", "today to commit"])
def test_an_upgrade_keeps_callers_answers_and_what_the_node_knows(
    direction: str, commit: str, tmp_path: Path
) -> None:
    folder = tmp_path / "shared"
    folder.mkdir()
    with working_tree(commit, tmp_path) as released:
        programs = (released, REPOSITORY)
        first, second = programs if direction == "commit to today" else programs[::-1]
        asyncio.run(asyncio.wait_for(upgrade(first, second, folder), WITHIN))
