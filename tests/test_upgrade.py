"""One process of a node follows another: waiting callers, the list, bans, limits, deaths at each step."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, AsyncExitStack, contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from notchjunction.addresses import Address
from notchjunction.net.descriptors import BASE_DESCRIPTORS, SHORTAGE_PAUSE_S
from notchjunction.node.node import Node
from notchjunction.upgrade import handover, listener_sharing, shared_folder, shutdown
from notchjunction.upgrade.channel import Channel
from tests.helpers import (
    OK,
    SILENT,
    Client,
    Peer,
    call,
    configuration,
    free_address,
    no_descriptor_left,
    rows,
    running,
)
from tests.test_net import run
from tests.test_operations import ask_ready

FILE = shared_folder.HANDOVER_SOCKET


async def until(node: Node, what: str, value: object) -> None:
    while getattr(node._handover, what) != value:
        await asyncio.sleep(0.001)


async def offered(node: Node) -> None:
    while node._handover is None or not node._handover.is_offered:
        await asyncio.sleep(0.001)


async def served(client: Client) -> None:
    client.ask()
    assert (await client.answer()).status == 200


def test_no_connection_is_refused_or_closed_unread_over_many_upgrades(tmp_path: Path) -> None:
    """Callers connect without a pause, and some wait in the queue while the one process ends."""

    async def story() -> None:
        async with Peer() as peer, AsyncExitStack() as last:
            opened = await last.enter_async_context(running(peer, shared=tmp_path))
            node, listen = opened
            going = True
            answered = 0

            async def callers() -> None:
                nonlocal answered
                while going:
                    client = await Client().open(listen)
                    for _ in range(2):
                        client.ask()
                        answer = await client.answer()
                        assert answer.status in (200, 503)  # one server has not always room
                        answered += 1
                        if not answer.keep_alive:
                            break
                    client.writer.close()

            work = [asyncio.create_task(callers()) for _ in range(8)]
            for _ in range(12):
                before = answered
                new = AsyncExitStack()
                follower, _ = await new.enter_async_context(
                    running(peer, shared=tmp_path, listen=listen, known=False)
                )
                await until(node, "has_successor", True)
                while answered < before + 20:
                    await asyncio.sleep(0.001)
                await last.aclose()
                last.push_async_exit(new.pop_all())
                node = follower
            going = False
            await asyncio.gather(*work)
            assert answered >= 240

    run(story())


def test_a_follower_has_the_list_and_operators_word_and_tells_back(tmp_path: Path) -> None:
    async def story() -> None:
        mgmt, mgmt2 = free_address(), free_address()
        async with (
            Peer() as a,
            Peer() as b,
            running(a, b, shared=tmp_path, mgmt=mgmt) as (old, listen),
        ):
            assert await call(mgmt, "PUT", "/control/servers/s0/offline") == 200
            async with running(shared=tmp_path, listen=listen, mgmt=mgmt2, known=False) as (new, _):
                await until(old, "has_successor", True)
                assert await call(mgmt2, "GET", "/control/ready") == 200
                assert new._engine.banned == {"s0"}
                # A yes holds in both, whichever was asked; an unknown one is a no.
                assert await call(mgmt2, "PUT", "/control/servers/s1/offline") == 200
                assert old._engine.banned == {"s0", "s1"}
                assert await call(mgmt, "PUT", "/control/servers/s0/online") == 200
                assert new._engine.banned == {"s1"} == old._engine.banned
                assert await call(mgmt2, "PUT", "/control/servers/s7/offline") == 404
                for _ in range(6):
                    await served(await Client().open(listen))
                assert not b.requests and len(a.requests) == 6
                assert await call(mgmt, "PUT", "/control/out-of-service") == 200
                assert await ask_ready(listen) == 503
                assert new._serving_state.state is old._serving_state.state
                assert await call(mgmt2, "PUT", "/control/in-service") == 200
                assert await ask_ready(listen) == 200

    run(story())


def test_a_drain_and_bans_outlast_the_process_that_heard_of_them(tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer() as a, Peer() as b, AsyncExitStack() as stack:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(a, b, shared=tmp_path))
            assert await old.take_offline("s0") and await old.out_of_service()
            new, _ = await stack.enter_async_context(running(shared=tmp_path, listen=listen, known=False))
            await until(old, "has_successor", True)
            await first.aclose()
            assert await ask_ready(listen) == 503
            assert await new.in_service() and await ask_ready(listen) == 200
            for _ in range(4):
                await served(await Client().open(listen))
            assert not a.requests

    run(story())


def test_jobs_under_way_are_answered_by_the_process_that_took_them(tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path))
            client, idle = await Client().open(listen), await Client().open(listen)
            client.ask()
            await peer.asked.wait()
            async with running(shared=tmp_path, listen=listen, known=False):
                await until(old, "has_successor", True)
                ends = asyncio.create_task(first.aclose())
                assert await idle.closed()
                peer.go_on.set()
                answer = await client.answer()
                assert answer.status == 200 and not answer.keep_alive
                await ends
                await served(await Client().open(listen))

    run(story())


def test_both_are_within_one_nodes_limits_and_the_one_that_stays_has_them_whole(tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer() as peer:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path, sockets=64))
            clients = [await Client().open(listen) for _ in range(10)]
            for client in clients:
                await served(client)
            async with running(shared=tmp_path, listen=listen, known=False, sockets=64) as (new, _):
                held = old._descriptors.in_use
                assert held > 10
                while new._descriptors.other_process < held + BASE_DESCRIPTORS:
                    await asyncio.sleep(0.001)
                assert new._descriptors.other_process_clients == 10
                assert new._engine._settings.process_count == old._engine._settings.process_count == 2
                await first.aclose()
                while new._descriptors.other_process or new._engine._settings.process_count != 1:
                    await asyncio.sleep(0.001)

    run(story())


@pytest.mark.parametrize(
    "left", ["nothing", "a dead socket", "a plain file", "a folder", "another node", "noise"]
)
def test_whatever_lies_in_the_place_of_a_process_a_node_starts(
    left: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.2)

    async def story() -> None:
        place = tmp_path / FILE
        server: Any = None
        if left in ("a dead socket", "noise", "another node"):
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(str(place))
            if left == "a dead socket":
                sock.close()
            else:
                text = b"\xff" if left == "noise" else b'{"node": "m", "listen": "h:1", "version": "1"}'

                async def other(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                    with socket.socket() as sent:
                        raw = writer.get_extra_info("socket")
                        socket.send_fds(raw._sock, [text], [sent.fileno()])

                sock.listen()
                server = await asyncio.start_unix_server(other, sock=sock)
        elif left == "a plain file":
            place.write_text("what")
        elif left == "a folder":
            place.mkdir()
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, listen):
            await served(await Client().open(listen))
            assert ("handovers_failed" in node.counters.read()) == (left != "nothing")
            if left != "a folder":  # which can't be replaced: the next process starts without a handover
                async with running(shared=tmp_path, listen=listen, known=False):
                    await until(node, "has_successor", True)
        if server is not None:
            server.close()

    run(story())


def test_without_a_handover_the_address_is_shared_and_who_waits_is_let_in(tmp_path: Path) -> None:
    async def story() -> None:
        one, other = tmp_path / "one", tmp_path / "other"
        one.mkdir()
        other.mkdir()
        async with Peer() as peer:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=one))
            # So that they wait in its queue.
            old._loop.remove_reader(old._client_listener.listeners[0].fileno())
            waiting = [await Client().open(listen) for _ in range(40)]
            async with running(peer, shared=other, listen=listen):
                for client in waiting:
                    client.ask()
                ends = asyncio.create_task(first.aclose())
                for client in waiting:
                    assert (await client.answer()).status in (200, 503)  # one server has no room for all
                await ends
                await served(await Client().open(listen))

    run(story())


def test_a_folder_with_a_long_name_serves_as_well(tmp_path: Path) -> None:
    folder = tmp_path / ("long" * 40)
    folder.mkdir()

    async def story() -> None:
        async with (
            Peer() as peer,
            running(peer, shared=folder) as (old, listen),
            running(shared=folder, listen=listen, known=False),
        ):
            await until(old, "has_successor", True)

    run(story())


@pytest.mark.parametrize("step", ["connected", "given", "got"])
def test_a_follower_that_dies_before_its_yes_leaves_the_node_as_it_was(step: str, tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, listen):
            with socket.socket(socket.AF_UNIX) as sock:
                sock.setblocking(False)
                await offered(node)
                await node._loop.sock_connect(sock, str(tmp_path / FILE))
                if step != "connected":
                    while True:
                        try:
                            _, descriptors, _, _ = socket.recv_fds(sock, 4096, 8)
                            break
                        except BlockingIOError:
                            await asyncio.sleep(0.001)
                    for descriptor in descriptors:
                        os.close(descriptor)
                if step == "got":
                    sock.send(b'{"got": true}\n')
                    await until(node, "peer_count", 1)
            await until(node, "peer_count", 0)
            assert not node._handover.has_successor and node._engine._settings.process_count == 1  # type: ignore[union-attr]
            await served(await Client().open(listen))
            assert await node.take_offline("s0")

    run(story())


def test_a_follower_that_hangs_is_no_yes_and_delays_no_operator_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("notchjunction.upgrade.channel.ACK_TIMEOUT_S", 0.05)

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            with socket.socket(socket.AF_UNIX) as sock:
                sock.setblocking(False)
                await offered(node)
                await node._loop.sock_connect(sock, str(tmp_path / FILE))
                sock.send(b'{"got": true}\n')
                await until(node, "peer_count", 1)
                assert not await node.take_offline("s0") and node._engine.banned == {"s0"}

    run(story())


@pytest.mark.parametrize("goes", ["before it is told", "before it answers"])
def test_a_process_that_goes_as_it_is_told_delays_no_operator_and_is_no_no(
    goes: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("notchjunction.upgrade.channel.ACK_TIMEOUT_S", 60.0)

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            with socket.socket(socket.AF_UNIX) as sock:
                sock.setblocking(False)
                await offered(node)
                await node._loop.sock_connect(sock, str(tmp_path / FILE))
                sock.send(b'{"got": true}\n')
                await until(node, "peer_count", 1)
                assert node._handover is not None
                (channel,) = node._handover._channels
                tell = Channel.send_command

                async def crossed(self: Channel, word: str, value: Any) -> bool:
                    sock.close()
                    if goes == "before it is told":
                        await until(node, "peer_count", 0)
                    return await tell(self, word, value)

                monkeypatch.setattr(Channel, "send_command", crossed)
                async with asyncio.timeout(5):
                    assert await node.take_offline("s0")
                assert not channel.unacknowledged and node._engine.banned == {"s0"}

    run(story())


def test_a_process_that_ends_serves_on_where_the_one_that_followed_dies_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has stopped letting callers in, and still holds a job; nobody else is left at the address."""
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", 8.0)
    monkeypatch.setattr(shutdown, "DRAIN_SHARE", 0.1)

    async def story() -> None:
        mgmt2, mgmt3 = free_address(), free_address()
        async with Peer(SILENT) as peer, Peer() as place, AsyncExitStack() as stack:
            told = configuration(place.at)
            told["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            (tmp_path / "told.json").write_text(json.dumps(told))
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path))
            assert await old.take_offline("s0") and await old.bring_online("s0")
            holder = await Client().open(listen)
            holder.ask(left="20000")
            await peer.asked.wait()
            follower = start(tmp_path, listen, mgmt2)
            stack.callback(follower.kill)
            await until_yes(mgmt2)
            ends = asyncio.create_task(first.aclose())
            while not old._clients.closing_announced:
                await asyncio.sleep(0.001)
            peer.reply = OK
            follower.kill()
            await asyncio.to_thread(follower.wait)
            await served(await Client().open(listen))
            # And the next process finds it, with what operators said.
            assert await old.take_offline("s0")
            follower = start(tmp_path, listen, mgmt3)
            stack.callback(follower.kill)
            await until_yes(mgmt3)
            await until(old, "has_successor", True)
            peer.go_on.set()
            assert (await holder.answer()).status == 200
            await ends
            client = await Client().open(listen)
            client.ask(left="100")
            assert (await client.answer()).status == 503
            assert await call(mgmt3, "PUT", "/control/servers/s0/online") == 200
            await served(await Client().open(listen))

    run(story())


def test_a_process_that_ends_leaves_the_place_to_a_third_one(tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer(SILENT) as peer, AsyncExitStack() as stack:
            first, second = AsyncExitStack(), AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path))
            holder = await Client().open(listen)
            holder.ask()
            await peer.asked.wait()

            def one_more() -> Any:
                return running(shared=tmp_path, listen=listen, known=False)

            middle, _ = await second.enter_async_context(one_more())
            await until(old, "has_successor", True)
            ends = asyncio.create_task(first.aclose())
            last, _ = await stack.enter_async_context(one_more())
            await until(middle, "has_successor", True)
            await second.aclose()
            await until(old, "peer_count", 0)
            assert old._handover.has_successor and old._clients.closing_announced  # type: ignore[union-attr]
            peer.reply = OK
            await served(await Client().open(listen))
            assert last.counters.read()["requests_received"] == 1
            peer.go_on.set()
            assert (await holder.answer()).status == 200
            await ends

    run(story())


@contextmanager
def descriptors_left(left: int) -> Iterator[None]:
    with no_descriptor_left(max(1, left)) as taken:
        for _ in range(left):
            os.close(taken.pop())
        yield


def found(folder: Path) -> bool:
    """Whether the socket that is put in its place last is there, and somebody listens."""
    try:
        handover.StreamSender(str(folder)).close()
    except OSError:
        return False
    return True


@contextmanager
def no_way_once() -> Iterator[None]:
    """The moment of the look alone is short of descriptors."""
    with pytest.MonkeyPatch.context() as patch:

        def fails(*_: object) -> None:
            patch.undo()
            raise OSError(errno.EMFILE, "none for now")

        patch.setattr(handover.StreamSender, "__init__", fails)
        yield


def first_in(
    patch: pytest.MonkeyPatch, name: str, short: Callable[[], AbstractContextManager[None]]
) -> list[str]:
    """The handover's next such step meets what is short; the list then holds its name."""
    step, met = getattr(handover.Handover, name), []

    def meets(self: handover.Handover) -> None:
        patch.setattr(handover.Handover, name, step)
        with short():
            step(self)
        met.append(name)

    patch.setattr(handover.Handover, name, meets)
    return met


@pytest.mark.parametrize("left", [0, 1, 2, None])
def test_a_third_process_keeps_its_place_though_descriptors_are_short_in_that_moment(
    left: int | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer() as peer, AsyncExitStack() as stack:
            second = AsyncExitStack()
            old, listen = await stack.enter_async_context(running(peer, shared=tmp_path))

            def one_more() -> Any:
                return running(shared=tmp_path, listen=listen, known=False)

            middle, _ = await second.enter_async_context(one_more())
            await until(old, "has_successor", True)
            await stack.enter_async_context(one_more())
            await until(middle, "has_successor", True)
            place = os.stat(tmp_path / FILE).st_ino
            short = no_way_once if left is None else partial(descriptors_left, left)
            met = first_in(monkeypatch, "_reclaim_socket_path", short)
            await second.aclose()
            while not met:
                await asyncio.sleep(0.001)
            await until(old, "has_successor", True)
            assert os.stat(tmp_path / FILE).st_ino == place

    run(story())


@pytest.mark.parametrize("left", [0, 1, 2])
@pytest.mark.parametrize("step", ["offer", "_reclaim_socket_path"])
def test_the_next_process_finds_this_one_though_descriptors_were_short_as_it_took_its_place(
    step: str, left: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        async with Peer() as peer, AsyncExitStack() as stack:
            if step == "offer":
                met = first_in(monkeypatch, step, partial(descriptors_left, left))
            old, listen = await stack.enter_async_context(running(peer, shared=tmp_path))
            if step != "offer":
                await offered(old)
                async with running(shared=tmp_path, listen=listen, known=False):
                    await until(old, "has_successor", True)
                    met = first_in(monkeypatch, step, partial(descriptors_left, left))
            while not met or not found(tmp_path):
                await asyncio.sleep(0.001)
            last, _ = await stack.enter_async_context(running(shared=tmp_path, listen=listen, known=False))
            await until(old, "has_successor", True)
            assert last.counters.read()["handovers_received"] == 1

    run(story())


def test_what_is_tried_again_ends_with_the_process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def story() -> None:
        met = first_in(monkeypatch, "offer", partial(descriptors_left, 0))
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while not met:
                await asyncio.sleep(0.001)
            assert node._handover is not None and node._handover._retry_call is not None
            node._handover.close()
            await asyncio.sleep(2 * SHORTAGE_PAUSE_S)
            assert not os.listdir(tmp_path)

    run(story())


PROGRAM = [sys.executable, "-m", "notchjunction"]


def start(folder: Path, listen: Address, mgmt: Address) -> subprocess.Popen[bytes]:
    environment = {
        **os.environ,
        "GW_CONFIG": str(folder / "told.json"),
        "GW_LISTEN": f"{listen[0]}:{listen[1]}",
        "GW_MGMT": f"{mgmt[0]}:{mgmt[1]}",
        "TMPDIR": str(folder),
    }
    return subprocess.Popen(PROGRAM, env=environment, stderr=subprocess.DEVNULL)


async def until_yes(mgmt: Address) -> None:
    while True:
        try:
            if await call(mgmt, "GET", "/control/ready") == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("killed", ["old, ready", "old, in its drain", "new, ready", "new, starting"])
def test_a_process_killed_at_any_step_leaves_a_node_that_serves(killed: str, tmp_path: Path) -> None:
    async def story() -> None:
        async with Peer() as peer, Peer(SILENT) as place:
            told = configuration(place.at)
            told["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            (tmp_path / "told.json").write_text(json.dumps(told))
            listen, mgmt, mgmt2, mgmt3 = (free_address() for _ in range(4))
            processes = [start(tmp_path, listen, mgmt)]
            try:
                await until_yes(mgmt)
                processes.append(start(tmp_path, listen, mgmt2))
                old, new = processes
                if killed != "new, starting":
                    await until_yes(mgmt2)
                if killed == "old, in its drain":
                    old.send_signal(signal.SIGTERM)
                dead, left = (new, mgmt) if killed.startswith("new") else (old, mgmt2)
                dead.kill()
                await asyncio.to_thread(dead.wait)
                assert await call(left, "PUT", "/control/servers/s0/offline") == 200
                assert await call(left, "PUT", "/control/servers/s0/online") == 200
                await served(await Client().open(listen))
                # And it can be upgraded again.
                processes.append(start(tmp_path, listen, mgmt3))
                await until_yes(mgmt3)
                await served(await Client().open(listen))
            finally:
                for process in processes:
                    process.kill()
                    await asyncio.to_thread(process.wait)

    run(story())


def test_what_was_given_last_is_served_without_a_loop_that_spins(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A listener that is shut down stays readable while what it gave is still served."""
    accept = handover.Handover._accept_sender
    accepts = 0

    def counted(self: handover.Handover, listener: socket.socket) -> bool:
        nonlocal accepts
        accepts += 1
        return accept(self, listener)

    monkeypatch.setattr(handover.Handover, "_accept_sender", counted)

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            await offered(node)
            assert node._handover is not None
            giver = handover.StreamSender(str(tmp_path))
            node._handover.accept_last_streams()
            assert accepts == 2  # the giver, and nobody after it
            for _ in range(200):
                await asyncio.sleep(0)
            assert accepts <= 3
            giver.close()

    run(story())
