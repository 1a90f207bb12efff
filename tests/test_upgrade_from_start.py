"""Upgrades from a released commit to the code of today, and back, with real processes.

One program serves and the other takes over from it. Meanwhile clients send requests, a response is partly
sent, and on-call operators have banned a server.
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

TIMEOUT_S = 60.0  # for one upgrade, which takes a tenth of it on an idle machine
CLIENTS = 4  # connections that send one request after another
REQUEST_INTERVAL_S = 0.01  # between the requests of one connection
RESPONSES_BEFORE = 60  # before the upgrade, so that there is state to hand over
RESPONSES_TO_FLUSH = 10 * CLIENTS  # after so many, no request that was sent earlier is in flight
RESPONSES_AFTER = 60  # during which banned servers get no request
SERVER_AGE_STEP_S = 100  # time since the first server started; each further one is older by as much
SLOW_TYPE = "text/slow"  # a request that accepts it gets a response that stops until `go_on` is set
BODY_START = b"x" * 400_000  # sent before the stop; too large for the node to buffer it all
BODY_SIZE = len(BODY_START) + len(OK[0])  # the peer writes `OK[0]` after the stop
SLOW_REPLY: Reply = (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_SIZE + BODY_START, "hold")
HANDOVER_SOCKET = "notchjunction.handover"
HANDOVER_VERSION = "1"
MAX_LINE_BYTES = 8 * 1024 * 1024  # on that socket


def reply(request: Request) -> Reply:
    return SLOW_REPLY if request.headers.get("accept") == SLOW_TYPE else OK


def request_count(peer: Peer) -> int:
    """Returns how many clients' requests a server has received; the node's probes are not counted."""
    return sum(1 for request in peer.requests if request.path.startswith("/api"))


class SharedSetup(NamedTuple):
    """What all processes of the node share: the folder with the handover socket, and the listen address."""

    folder: Path
    listen: Address

    def start(self, program: Path, admin: Address, config: dict[str, Any]) -> subprocess.Popen[bytes]:
        """Starts a process of the node that runs the program in this working tree."""
        file = self.folder / f"config-{admin[1]}.json"
        file.write_text(json.dumps(config))
        environment = {
            **os.environ,
            "GW_CONFIG": str(file),
            "GW_LISTEN": f"{self.listen[0]}:{self.listen[1]}",
            "GW_MGMT": f"{admin[0]}:{admin[1]}",
            "TMPDIR": str(self.folder),
        }
        environment.pop("PYTHONPATH", None)
        command = [sys.executable, "-B", "-m", "notchjunction"]
        return subprocess.Popen(command, cwd=program, env=environment, stderr=subprocess.DEVNULL)

    def read_state(self) -> dict[str, Any]:
        """Connects as a successor, returns the state that the serving process sends, and disconnects."""
        with socket.socket(socket.AF_UNIX) as successor:
            successor.settimeout(TIMEOUT_S)
            successor.connect(str(self.folder / HANDOVER_SOCKET))
            text, descriptors, _, _ = socket.recv_fds(successor, 4096, 8)
            for descriptor in descriptors:
                os.close(descriptor)
            listen = f"{self.listen[0]}:{self.listen[1]}"
            assert descriptors
            assert json.loads(text) == {"node": "n", "listen": listen, "version": HANDOVER_VERSION}
            successor.sendall(b'{"got": true}\n')
            with successor.makefile("rb") as lines:
                state: dict[str, Any] = json.loads(lines.readline(MAX_LINE_BYTES))["state"]
        return state


async def wait_until_ready(admin: Address, process: subprocess.Popen[bytes]) -> None:
    while True:
        assert process.poll() is None, "exited before it was ready"
        try:
            if await call(admin, "GET", "/control/ready") == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


class Traffic:
    """Clients that fail if a connection is refused, or closed before a request's response."""

    def __init__(self, listen: Address) -> None:
        self.succeeded = 0
        self._listen = listen
        self._running = True

    async def run(self) -> None:
        while self._running:
            client = await Client().open(self._listen)
            keep_alive = True
            while self._running and keep_alive:
                client.ask()
                response = await client.answer()
                assert response.status in (200, 503)  # three servers may be at their limits at times
                self.succeeded += response.status == 200
                keep_alive = response.keep_alive
                await asyncio.sleep(REQUEST_INTERVAL_S)
            client.writer.close()

    async def wait_for_responses(self, count: int, tasks: list[asyncio.Task[None]]) -> None:
        """Waits for so many more successful responses; raises the error of a client that failed."""
        wanted = self.succeeded + count
        while self.succeeded < wanted:
            for task in tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(0.005)

    def stop(self) -> None:
        self._running = False


async def upgrade(first_program: Path, second_program: Path, folder: Path) -> None:
    """Starts one program, then the other; checks that the second continues from the state of the first."""
    setup = SharedSetup(folder, free_address())
    first_admin, second_admin = free_address(), free_address()
    async with (
        Peer(reply) as a,
        Peer(reply) as b,
        Peer(reply) as c,
        Peer(SILENT) as discovery,
        AsyncExitStack() as stack,
    ):
        listed = [
            {**row, "since_ms": 1000 * (int(time.time()) - SERVER_AGE_STEP_S * number)}
            for number, row in enumerate(rows(a, b, c), 1)
        ]
        cached_list = {"index": 4, "snapshot": True, "endpoints": listed}

        async def start(program: Path, admin: Address, **sections: Any) -> subprocess.Popen[bytes]:
            process = setup.start(program, admin, {**configuration(discovery.at), **sections})
            stack.push_async_callback(asyncio.to_thread, process.wait)
            stack.callback(process.kill)
            await wait_until_ready(admin, process)
            return process

        first = await start(first_program, first_admin, known=cached_list)
        traffic = Traffic(setup.listen)
        tasks = [asyncio.create_task(traffic.run()) for _ in range(CLIENTS)]
        await traffic.wait_for_responses(RESPONSES_BEFORE, tasks)
        assert await call(first_admin, "PUT", "/control/servers/s0/offline") == 200
        reader, writer = await start_slow_response(setup.listen)
        before = await asyncio.to_thread(setup.read_state)
        # The second process gets the list from the first: its file has none, and discovery does not respond.
        await start(second_program, second_admin)
        # A ban sent to the second process applies in the first, which has the clients' connections.
        assert await call(second_admin, "PUT", "/control/servers/s1/offline") == 200
        await traffic.wait_for_responses(RESPONSES_TO_FLUSH, tasks)
        banned_counts = request_count(a), request_count(b)
        await traffic.wait_for_responses(RESPONSES_AFTER, tasks)
        assert (request_count(a), request_count(b)) == banned_counts
        assert (await asyncio.to_thread(setup.read_state))["barred"] == ["s0", "s1"]
        # Commands sent to the first process apply in the second as well.
        assert await call(first_admin, "PUT", "/control/servers/s1/online") == 200
        assert await call(first_admin, "PUT", "/control/out-of-service") == 200
        state = await asyncio.to_thread(setup.read_state)
        assert state["barred"] == ["s0"] and state["out"] is True
        assert await call(second_admin, "PUT", "/control/in-service") == 200
        # The first process exits with half of a response sent; the second sends the rest.
        first.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(first.wait) == 0
        for peer in (a, b, c):
            peer.go_on.set()
        assert await reader.readexactly(BODY_SIZE) == BODY_START + OK[0]
        writer.close()
        other_count = request_count(b) + request_count(c)
        await traffic.wait_for_responses(RESPONSES_AFTER, tasks)
        # Each client had at most one request in flight when they were counted.
        assert (
            request_count(a) == banned_counts[0]
            and request_count(b) + request_count(c) >= other_count + RESPONSES_AFTER - CLIENTS
        )
        after = await asyncio.to_thread(setup.read_state)
        check_state_kept(before, after, cached_list)
        assert await call(second_admin, "PUT", "/control/servers/s0/online") == 200
        while request_count(a) == banned_counts[0]:
            await traffic.wait_for_responses(1, tasks)
        traffic.stop()
        await asyncio.gather(*tasks)


async def start_slow_response(listen: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a client connection and reads the head of a response whose body stops in the middle."""
    reader, writer = await asyncio.open_connection(*listen, limit=2 * BODY_SIZE)
    writer.write(wire_of(1, left=20_000, extra=f"Accept: {SLOW_TYPE}\r\n"))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head
    return reader, writer


def check_state_kept(before: dict[str, Any], after: dict[str, Any], cached_list: dict[str, Any]) -> None:
    """Checks the second process's state, `after`, against the first's some seconds earlier, `before`."""
    assert before["barred"] == after["barred"] == ["s0"]
    assert before["out"] is after["out"] is False
    assert before["list"] == after["list"] == cached_list
    assert set(before["starts"]) == set(after["starts"]) == {"s0", "s1", "s2"}
    for name, (started_at, age) in before["starts"].items():
        assert after["starts"][name][0] == started_at and after["starts"][name][1] >= age
    # The second process started after this was measured, so it must have received it.
    learned, kept = before["lessons"], after["lessons"]
    assert kept["clearing"]["began"] >= learned["clearing"]["began"] > 0
    assert len(learned["spent"]["plain"]) == len(kept["spent"]["plain"]) > 0
    assert learned["servers"]["s0"]["last"] == kept["servers"]["s0"]["last"] != []
    assert learned["servers"]["s0"]["seconds"] == kept["servers"]["s0"]["seconds"] != []


@pytest.mark.parametrize("commit", [FIRST_COMMIT, LAST_COMMIT_BEFORE_RENAMING])
@pytest.mark.parametrize("direction", ["commit to today", "today to commit"])
def test_an_upgrade_keeps_connections_responses_and_the_nodes_state(
    direction: str, commit: str, tmp_path: Path
) -> None:
    folder = tmp_path / "shared"
    folder.mkdir()
    with working_tree(commit, tmp_path) as released:
        programs = (released, REPOSITORY)
        first, second = programs if direction == "commit to today" else programs[::-1]
        asyncio.run(asyncio.wait_for(upgrade(first, second, folder), TIMEOUT_S))
