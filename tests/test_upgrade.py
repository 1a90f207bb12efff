"""Upgrades of a node: queued clients, the list, bans, limits, and a process killed at each step."""

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

HANDOVER_SOCKET = shared_folder.HANDOVER_SOCKET


async def wait_for_handover(node: Node, attribute: str, value: object) -> None:
    """Waits until an attribute of the node's handover has this value."""
    while getattr(node._handover, attribute) != value:
        await asyncio.sleep(0.001)


async def wait_until_offered(node: Node) -> None:
    while node._handover is None or not node._handover.is_offered:
        await asyncio.sleep(0.001)


async def check_served(client: Client) -> None:
    client.ask()
    assert (await client.answer()).status == 200


def test_no_connection_is_refused_or_closed_unread_over_many_upgrades(tmp_path: Path) -> None:
    """Clients connect without a pause, and some are in the accept queue while a process exits."""

    async def scenario() -> None:
        async with Peer() as peer, AsyncExitStack() as current:
            started = await current.enter_async_context(running(peer, shared=tmp_path))
            node, listen = started
            sending = True
            response_count = 0

            async def send_requests() -> None:
                nonlocal response_count
                while sending:
                    client = await Client().open(listen)
                    for _ in range(2):
                        client.ask()
                        response = await client.answer()
                        assert response.status in (200, 503)  # the one server may be at its limit
                        response_count += 1
                        if not response.keep_alive:
                            break
                    client.writer.close()

            tasks = [asyncio.create_task(send_requests()) for _ in range(8)]
            for _ in range(12):
                before = response_count
                new = AsyncExitStack()
                successor, _ = await new.enter_async_context(
                    running(peer, shared=tmp_path, listen=listen, known=False)
                )
                await wait_for_handover(node, "has_successor", True)
                while response_count < before + 20:
                    await asyncio.sleep(0.001)
                await current.aclose()
                current.push_async_exit(new.pop_all())
                node = successor
            sending = False
            await asyncio.gather(*tasks)
            assert response_count >= 240

    run(scenario())


def test_successor_receives_the_list_and_bans_and_both_processes_apply_commands(tmp_path: Path) -> None:
    async def scenario() -> None:
        old_admin, new_admin = free_address(), free_address()
        async with (
            Peer() as a,
            Peer() as b,
            running(a, b, shared=tmp_path, mgmt=old_admin) as (old, listen),
        ):
            assert await call(old_admin, "PUT", "/control/servers/s0/offline") == 200
            async with running(shared=tmp_path, listen=listen, mgmt=new_admin, known=False) as (new, _):
                await wait_for_handover(old, "has_successor", True)
                assert await call(new_admin, "GET", "/control/ready") == 200
                assert new._engine.banned == {"s0"}
                # A command that succeeds applies in both processes; one for an unknown server fails.
                assert await call(new_admin, "PUT", "/control/servers/s1/offline") == 200
                assert old._engine.banned == {"s0", "s1"}
                assert await call(old_admin, "PUT", "/control/servers/s0/online") == 200
                assert new._engine.banned == {"s1"} == old._engine.banned
                assert await call(new_admin, "PUT", "/control/servers/s7/offline") == 404
                for _ in range(6):
                    await check_served(await Client().open(listen))
                assert not b.requests and len(a.requests) == 6
                assert await call(old_admin, "PUT", "/control/out-of-service") == 200
                assert await ask_ready(listen) == 503
                assert new._serving_state.state is old._serving_state.state
                assert await call(new_admin, "PUT", "/control/in-service") == 200
                assert await ask_ready(listen) == 200

    run(scenario())


def test_drain_and_bans_outlast_the_process_that_received_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer() as a, Peer() as b, AsyncExitStack() as stack:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(a, b, shared=tmp_path))
            assert await old.take_offline("s0") and await old.out_of_service()
            new, _ = await stack.enter_async_context(running(shared=tmp_path, listen=listen, known=False))
            await wait_for_handover(old, "has_successor", True)
            await first.aclose()
            assert await ask_ready(listen) == 503
            assert await new.in_service() and await ask_ready(listen) == 200
            for _ in range(4):
                await check_served(await Client().open(listen))
            assert not a.requests

    run(scenario())


def test_requests_in_flight_are_answered_by_the_process_that_accepted_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path))
            client, idle = await Client().open(listen), await Client().open(listen)
            client.ask()
            await peer.asked.wait()
            async with running(shared=tmp_path, listen=listen, known=False):
                await wait_for_handover(old, "has_successor", True)
                shutting_down = asyncio.create_task(first.aclose())
                assert await idle.closed()
                peer.go_on.set()
                response = await client.answer()
                assert response.status == 200 and not response.keep_alive
                await shutting_down
                await check_served(await Client().open(listen))

    run(scenario())


def test_two_processes_share_the_nodes_limits_and_the_remaining_one_gets_all_of_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer() as peer:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path, sockets=64))
            clients = [await Client().open(listen) for _ in range(10)]
            for client in clients:
                await check_served(client)
            async with running(shared=tmp_path, listen=listen, known=False, sockets=64) as (new, _):
                in_use = old._descriptors.in_use
                assert in_use > 10
                while new._descriptors.other_process < in_use + BASE_DESCRIPTORS:
                    await asyncio.sleep(0.001)
                assert new._descriptors.other_process_clients == 10
                assert new._engine._settings.process_count == old._engine._settings.process_count == 2
                await first.aclose()
                while new._descriptors.other_process or new._engine._settings.process_count != 1:
                    await asyncio.sleep(0.001)

    run(scenario())


@pytest.mark.parametrize(
    "found", ["nothing", "a dead socket", "a plain file", "a folder", "another node", "noise"]
)
def test_node_starts_whatever_it_finds_at_the_handover_path(
    found: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        path = tmp_path / HANDOVER_SOCKET
        server: Any = None
        if found in ("a dead socket", "noise", "another node"):
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(str(path))
            if found == "a dead socket":
                sock.close()
            else:
                text = b"\xff" if found == "noise" else b'{"node": "m", "listen": "h:1", "version": "1"}'

                async def send_text(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                    with socket.socket() as listener:
                        connection = writer.get_extra_info("socket")
                        socket.send_fds(connection._sock, [text], [listener.fileno()])

                sock.listen()
                server = await asyncio.start_unix_server(send_text, sock=sock)
        elif found == "a plain file":
            path.write_text("what")
        elif found == "a folder":
            path.mkdir()
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, listen):
            await check_served(await Client().open(listen))
            assert ("handovers_failed" in node.counters.read()) == (found != "nothing")
            if found != "a folder":  # a folder cannot be replaced, so the next process gets no handover
                async with running(shared=tmp_path, listen=listen, known=False):
                    await wait_for_handover(node, "has_successor", True)
        if server is not None:
            server.close()

    run(scenario())


def test_without_a_handover_the_address_is_shared_and_queued_clients_are_accepted(tmp_path: Path) -> None:
    async def scenario() -> None:
        old_folder, new_folder = tmp_path / "one", tmp_path / "other"
        old_folder.mkdir()
        new_folder.mkdir()
        async with Peer() as peer:
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=old_folder))
            # The process accepts no client, so that all stay in the queue of its listener.
            old._loop.remove_reader(old._client_listener.listeners[0].fileno())
            queued = [await Client().open(listen) for _ in range(40)]
            async with running(peer, shared=new_folder, listen=listen):
                for client in queued:
                    client.ask()
                shutting_down = asyncio.create_task(first.aclose())
                for client in queued:
                    assert (await client.answer()).status in (200, 503)  # the one server may be at its limit
                await shutting_down
                await check_served(await Client().open(listen))

    run(scenario())


def test_shared_folder_may_have_a_long_name(tmp_path: Path) -> None:
    folder = tmp_path / ("long" * 40)
    folder.mkdir()

    async def scenario() -> None:
        async with (
            Peer() as peer,
            running(peer, shared=folder) as (old, listen),
            running(shared=folder, listen=listen, known=False),
        ):
            await wait_for_handover(old, "has_successor", True)

    run(scenario())


@pytest.mark.parametrize("step", ["connected", "given", "got"])
def test_successor_that_exits_before_it_is_ready_leaves_the_node_unchanged(step: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, listen):
            with socket.socket(socket.AF_UNIX) as sock:
                sock.setblocking(False)
                await wait_until_offered(node)
                await node._loop.sock_connect(sock, str(tmp_path / HANDOVER_SOCKET))
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
                    await wait_for_handover(node, "peer_count", 1)
            await wait_for_handover(node, "peer_count", 0)
            assert not node._handover.has_successor and node._engine._settings.process_count == 1  # type: ignore[union-attr]
            await check_served(await Client().open(listen))
            assert await node.take_offline("s0")

    run(scenario())


def test_successor_that_hangs_fails_a_command_after_the_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("notchjunction.upgrade.channel.ACK_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            with socket.socket(socket.AF_UNIX) as sock:
                sock.setblocking(False)
                await wait_until_offered(node)
                await node._loop.sock_connect(sock, str(tmp_path / HANDOVER_SOCKET))
                sock.send(b'{"got": true}\n')
                await wait_for_handover(node, "peer_count", 1)
                assert not await node.take_offline("s0") and node._engine.banned == {"s0"}

    run(scenario())


@pytest.mark.parametrize("exits", ["before the command is sent", "before it acknowledges"])
def test_successor_that_exits_during_a_command_neither_delays_nor_fails_it(
    exits: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("notchjunction.upgrade.channel.ACK_TIMEOUT_S", 60.0)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            with socket.socket(socket.AF_UNIX) as sock:
                sock.setblocking(False)
                await wait_until_offered(node)
                await node._loop.sock_connect(sock, str(tmp_path / HANDOVER_SOCKET))
                sock.send(b'{"got": true}\n')
                await wait_for_handover(node, "peer_count", 1)
                assert node._handover is not None
                (channel,) = node._handover._channels
                send_command = Channel.send_command

                async def send_to_exited(self: Channel, command: str, value: Any) -> bool:
                    sock.close()
                    if exits == "before the command is sent":
                        await wait_for_handover(node, "peer_count", 0)
                    return await send_command(self, command, value)

                monkeypatch.setattr(Channel, "send_command", send_to_exited)
                async with asyncio.timeout(5):
                    assert await node.take_offline("s0")
                assert not channel.unanswered and node._engine.banned == {"s0"}

    run(scenario())


def test_process_that_shuts_down_resumes_accepting_if_its_successor_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has stopped accepting and has a request in flight; no other process listens on the address."""
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", 8.0)
    monkeypatch.setattr(shutdown, "DRAIN_SHARE", 0.1)

    async def scenario() -> None:
        second_admin, third_admin = free_address(), free_address()
        async with Peer(SILENT) as peer, Peer() as discovery, AsyncExitStack() as stack:
            config = configuration(discovery.at)
            config["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            (tmp_path / "config.json").write_text(json.dumps(config))
            first = AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path))
            assert await old.take_offline("s0") and await old.bring_online("s0")
            client_in_flight = await Client().open(listen)
            client_in_flight.ask(left="20000")
            await peer.asked.wait()
            successor = start(tmp_path, listen, second_admin)
            stack.callback(successor.kill)
            await wait_until_ready(second_admin)
            shutting_down = asyncio.create_task(first.aclose())
            while not old._clients.closing_announced:
                await asyncio.sleep(0.001)
            peer.reply = OK
            successor.kill()
            await asyncio.to_thread(successor.wait)
            await check_served(await Client().open(listen))
            # A further successor connects to it and receives the ban.
            assert await old.take_offline("s0")
            successor = start(tmp_path, listen, third_admin)
            stack.callback(successor.kill)
            await wait_until_ready(third_admin)
            await wait_for_handover(old, "has_successor", True)
            peer.go_on.set()
            assert (await client_in_flight.answer()).status == 200
            await shutting_down
            client = await Client().open(listen)
            client.ask(left="100")
            assert (await client.answer()).status == 503
            assert await call(third_admin, "PUT", "/control/servers/s0/online") == 200
            await check_served(await Client().open(listen))

    run(scenario())


def test_process_that_shuts_down_leaves_the_handover_socket_to_a_third_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer(SILENT) as peer, AsyncExitStack() as stack:
            first, second = AsyncExitStack(), AsyncExitStack()
            old, listen = await first.enter_async_context(running(peer, shared=tmp_path))
            client_in_flight = await Client().open(listen)
            client_in_flight.ask()
            await peer.asked.wait()

            def run_successor() -> Any:
                return running(shared=tmp_path, listen=listen, known=False)

            middle, _ = await second.enter_async_context(run_successor())
            await wait_for_handover(old, "has_successor", True)
            shutting_down = asyncio.create_task(first.aclose())
            last, _ = await stack.enter_async_context(run_successor())
            await wait_for_handover(middle, "has_successor", True)
            await second.aclose()
            await wait_for_handover(old, "peer_count", 0)
            assert old._handover.has_successor and old._clients.closing_announced  # type: ignore[union-attr]
            peer.reply = OK
            await check_served(await Client().open(listen))
            assert last.counters.read()["requests_received"] == 1
            peer.go_on.set()
            assert (await client_in_flight.answer()).status == 200
            await shutting_down

    run(scenario())


@contextmanager
def free_descriptors(count: int) -> Iterator[None]:
    """Lets this process open just so many more descriptors."""
    with no_descriptor_left(max(1, count)) as taken:
        for _ in range(count):
            os.close(taken.pop())
        yield


def has_streams_listener(folder: Path) -> bool:
    """Returns whether a process listens on the streams socket, which is created last."""
    try:
        handover.StreamSender(str(folder)).close()
    except OSError:
        return False
    return True


@contextmanager
def no_descriptor_for_one_sender() -> Iterator[None]:
    """Makes only the next attempt to open a `StreamSender` fail for want of a descriptor."""
    with pytest.MonkeyPatch.context() as patch:

        def fail_once(*_: object) -> None:
            patch.undo()
            raise OSError(errno.EMFILE, "none for now")

        patch.setattr(handover.StreamSender, "__init__", fail_once)
        yield


def run_next_call_short(
    patch: pytest.MonkeyPatch, name: str, shortage: Callable[[], AbstractContextManager[None]]
) -> list[str]:
    """Makes the next call of this method of `Handover` run under a shortage.

    Returns:
        A list to which the method's name is appended after that call.
    """
    method, calls = getattr(handover.Handover, name), []

    def call_once(self: handover.Handover) -> None:
        patch.setattr(handover.Handover, name, method)
        with shortage():
            method(self)
        calls.append(name)

    patch.setattr(handover.Handover, name, call_once)
    return calls


@pytest.mark.parametrize("free", [0, 1, 2, None])
def test_third_process_keeps_its_handover_socket_if_descriptors_are_short_as_the_second_exits(
    free: int | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, AsyncExitStack() as stack:
            second = AsyncExitStack()
            old, listen = await stack.enter_async_context(running(peer, shared=tmp_path))

            def run_successor() -> Any:
                return running(shared=tmp_path, listen=listen, known=False)

            middle, _ = await second.enter_async_context(run_successor())
            await wait_for_handover(old, "has_successor", True)
            await stack.enter_async_context(run_successor())
            await wait_for_handover(middle, "has_successor", True)
            socket_inode = os.stat(tmp_path / HANDOVER_SOCKET).st_ino
            shortage = no_descriptor_for_one_sender if free is None else partial(free_descriptors, free)
            calls = run_next_call_short(monkeypatch, "_reclaim_socket_path", shortage)
            await second.aclose()
            while not calls:
                await asyncio.sleep(0.001)
            await wait_for_handover(old, "has_successor", True)
            assert os.stat(tmp_path / HANDOVER_SOCKET).st_ino == socket_inode

    run(scenario())


@pytest.mark.parametrize("free", [0, 1, 2])
@pytest.mark.parametrize("method", ["offer", "_reclaim_socket_path"])
def test_successor_can_connect_even_if_descriptors_were_short_when_the_sockets_were_created(
    method: str, free: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, AsyncExitStack() as stack:
            if method == "offer":
                calls = run_next_call_short(monkeypatch, method, partial(free_descriptors, free))
            old, listen = await stack.enter_async_context(running(peer, shared=tmp_path))
            if method != "offer":
                await wait_until_offered(old)
                async with running(shared=tmp_path, listen=listen, known=False):
                    await wait_for_handover(old, "has_successor", True)
                    calls = run_next_call_short(monkeypatch, method, partial(free_descriptors, free))
            while not calls or not has_streams_listener(tmp_path):
                await asyncio.sleep(0.001)
            last, _ = await stack.enter_async_context(running(shared=tmp_path, listen=listen, known=False))
            await wait_for_handover(old, "has_successor", True)
            assert last.counters.read()["handovers_received"] == 1

    run(scenario())


def test_retry_of_the_offer_ends_when_the_handover_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        calls = run_next_call_short(monkeypatch, "offer", partial(free_descriptors, 0))
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while not calls:
                await asyncio.sleep(0.001)
            assert node._handover is not None and node._handover._retry_call is not None
            node._handover.close()
            await asyncio.sleep(2 * SHORTAGE_PAUSE_S)
            assert not os.listdir(tmp_path)

    run(scenario())


PROGRAM = [sys.executable, "-m", "notchjunction"]


def start(folder: Path, listen: Address, admin: Address) -> subprocess.Popen[bytes]:
    environment = {
        **os.environ,
        "GW_CONFIG": str(folder / "config.json"),
        "GW_LISTEN": f"{listen[0]}:{listen[1]}",
        "GW_MGMT": f"{admin[0]}:{admin[1]}",
        "TMPDIR": str(folder),
    }
    return subprocess.Popen(PROGRAM, env=environment, stderr=subprocess.DEVNULL)


async def wait_until_ready(admin: Address) -> None:
    while True:
        try:
            if await call(admin, "GET", "/control/ready") == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("killed", ["old, ready", "old, in its drain", "new, ready", "new, starting"])
def test_node_serves_after_a_process_is_killed_at_any_step(killed: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Peer() as peer, Peer(SILENT) as discovery:
            config = configuration(discovery.at)
            config["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            (tmp_path / "config.json").write_text(json.dumps(config))
            listen, old_admin, new_admin, last_admin = (free_address() for _ in range(4))
            processes = [start(tmp_path, listen, old_admin)]
            try:
                await wait_until_ready(old_admin)
                processes.append(start(tmp_path, listen, new_admin))
                old, new = processes
                if killed != "new, starting":
                    await wait_until_ready(new_admin)
                if killed == "old, in its drain":
                    old.send_signal(signal.SIGTERM)
                victim, remaining_admin = (new, old_admin) if killed.startswith("new") else (old, new_admin)
                victim.kill()
                await asyncio.to_thread(victim.wait)
                assert await call(remaining_admin, "PUT", "/control/servers/s0/offline") == 200
                assert await call(remaining_admin, "PUT", "/control/servers/s0/online") == 200
                await check_served(await Client().open(listen))
                # The node can be upgraded again.
                processes.append(start(tmp_path, listen, last_admin))
                await wait_until_ready(last_admin)
                await check_served(await Client().open(listen))
            finally:
                for process in processes:
                    process.kill()
                    await asyncio.to_thread(process.wait)

    run(scenario())


def test_last_migrated_streams_are_served_without_a_busy_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listener that is shut down and stays readable while its last sender is served."""
    accept_sender = handover.Handover._accept_sender
    accept_count = 0

    def count_accepts(self: handover.Handover, listener: socket.socket) -> bool:
        nonlocal accept_count
        accept_count += 1
        return accept_sender(self, listener)

    monkeypatch.setattr(handover.Handover, "_accept_sender", count_accepts)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            await wait_until_offered(node)
            assert node._handover is not None
            sender = handover.StreamSender(str(tmp_path))
            node._handover.accept_last_streams()
            assert accept_count == 2  # one accepts the sender, the next finds no other
            for _ in range(200):
                await asyncio.sleep(0)
            assert accept_count <= 3
            sender.close()

    run(scenario())
