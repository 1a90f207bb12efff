"""Closes and ends that cross bytes on their way: what was taken is answered, and no answer meets a reset."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from pathlib import Path
from typing import Any

import pytest
from tornado.netutil import bind_sockets

from notchjunction.addresses import Address, text_of
from notchjunction.balancing.interface import ListUpdate
from notchjunction.discovery.endpoint_list import read_list
from notchjunction.http1.messages import Request
from notchjunction.http1.parser import RequestReader
from notchjunction.net import (
    client_closing,
    client_registry,
    descriptor_pressure,
    request_intake,
)
from notchjunction.net.client_connection import ClientConnection, HandledRequest
from notchjunction.net.client_listener import ClientListener
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.request_handler import RequestHandler
from notchjunction.net.request_intake import RequestIntake
from notchjunction.node.node import Node
from notchjunction.telemetry.flight_recorder import Occurrence
from notchjunction.upgrade import handover, listener_sharing, messages, shared_folder, shutdown
from tests.helpers import (
    Client,
    Peer,
    RawClient,
    Reply,
    configuration,
    free_address,
    no_descriptor_left,
    rows,
    running,
    wire_of,
)
from tests.test_large_bodies import Talk, served
from tests.test_net import run

# More than a caller's system takes in unasked, and less than the node's holds: a reset destroys the rest.
LONG: Reply = (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000, "keep")
RECEIVED_MOST = 8 * 1024


def connect(address: Address) -> socket.socket:
    """A caller whose writes happen at once, wherever the story stands, and that reads only when told to."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED_MOST)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.connect(address)
    return sock


async def heard(sock: socket.socket) -> bytes:
    """All that comes until the connection ends; a reset is an error."""
    sock.setblocking(False)
    found = b""
    async with asyncio.timeout(5):
        while piece := await asyncio.get_running_loop().sock_recv(sock, 65536):
            found += piece
    sock.close()
    return found


class Crossing:
    """Does something in the moment in which the node ends a connection, before or after it has said so."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, do: Callable[[], None], after: bool = False) -> None:
        self.over = asyncio.Event()
        shutdown, close = socket.socket.shutdown, ClientStream.close

        def once() -> None:
            if not self.over.is_set():
                self.over.set()
                do()

        def crossed_shutdown(sock: socket.socket, how: int) -> None:
            if not after:
                once()
            shutdown(sock, how)
            once()

        def crossed_close(stream: ClientStream, exc_info: Any = False) -> None:
            once()
            close(stream, exc_info)

        monkeypatch.setattr(socket.socket, "shutdown", crossed_shutdown)
        monkeypatch.setattr(ClientStream, "close", crossed_close)


async def drained(node: Node) -> None:
    node.stop()


async def led_away(node: Node) -> None:
    assert await node.out_of_service()


async def room_made(node: Node) -> None:
    while not node._clients.phases.idle:
        await asyncio.sleep(0)
    assert node._client_listener.close_oldest()


async def short_of_descriptors(node: Node) -> None:
    node._descriptors.other_process_clients = 10_000


async def nothing(_: Node) -> None:
    pass


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize(
    ("ends", "extra", "spans"),
    [
        (drained, "", {}),
        (led_away, "", {}),
        (room_made, "", {"MIN_IDLE_S": 0.0}),
        (nothing, "", {"IDLE_TIMEOUT_S": 0.05}),
        (nothing, "Connection: close\r\n", {}),
        (short_of_descriptors, "Connection: close\r\n", {}),
    ],
)
def test_a_request_that_crosses_a_close_destroys_no_answer_and_is_not_sent_on(
    ends: Callable[[Node], Awaitable[None]],
    extra: str,
    spans: dict[str, float],
    after: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name, span in spans.items():
        monkeypatch.setattr(
            request_intake if hasattr(request_intake, name) else descriptor_pressure, name, span
        )

    async def story() -> None:
        async with Peer(LONG) as peer, running(peer) as (node, address):
            caller = connect(address)
            crossing = Crossing(monkeypatch, lambda: caller.sendall(wire_of(2)), after)
            caller.sendall(wire_of(1, extra=extra))
            await peer.asked.wait()
            await ends(node)
            await crossing.over.wait()
            found = await heard(caller)
            assert found.startswith(b"HTTP/1.1 200") and found.endswith(b"x" * 60_000)
            assert len(peer.requests) == 1

    run(story())


@pytest.mark.parametrize("ends", ["noise", "stalls", "the node ends"])
def test_a_body_given_up_after_its_answer_destroys_no_answer(
    ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its job was turned back early; more of the body comes as the node gives it up."""
    monkeypatch.setattr(request_intake, "BODY_GRACE_S", 0.1 if ends == "stalls" else 60.0)
    monkeypatch.setattr(request_intake, "BODY_MIN_RATE", 10_000_000)
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", -1.5)  # the node's end is 0.2 s after it was asked to

    async def story() -> None:
        async with running() as (node, address):
            caller = connect(address)
            crossing = Crossing(monkeypatch, lambda: caller.sendall(b"y" * 1000))
            caller.sendall(wire_of(1, extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST"))
            caller.sendall(b"%x\r\n%b\r\n" % (70_000, b"x" * 70_000))
            while not any(one._discarding for one in node._clients.connections):
                await asyncio.sleep(0.001)
            if ends == "noise":
                caller.sendall(b"what is this\r\n")
            elif ends == "the node ends":
                node.stop()
            await crossing.over.wait()
            assert (await heard(caller)).startswith(b"HTTP/1.1 503")

    run(story())


@pytest.mark.parametrize("last", [b"", b"what is this\r\n"], ids=["the node ends", "noise"])
def test_a_caller_that_goes_as_its_body_is_given_up_is_no_failure(
    last: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its last bytes and its end come together: the connection has ended before they are looked at."""
    close = ClientStream.close

    async def story() -> None:
        async with running() as (node, address):
            over: list[ClientStream] = []

            def ended(stream: ClientStream, exc_info: Any = False) -> None:
                close(stream, exc_info)
                if not last:
                    node._clients.reject_uploads()
                over.append(stream)

            monkeypatch.setattr(ClientStream, "close", ended)
            caller = connect(address)
            caller.sendall(wire_of(1, extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST"))
            caller.sendall(b"%x\r\n%b\r\n" % (70_000, b"x" * 70_000))
            while not any(one._discarding for one in node._clients.connections):
                await asyncio.sleep(0.001)
            caller.recv(65536)
            caller.sendall(last)
            caller.close()
            while node._client_listener.connected:
                await asyncio.sleep(0.001)
            assert (
                len(over) == 2
                and not node.counters.read().get("internal_errors")
                and not node._clients.phases.lingering
            )

    run(story())


def test_a_request_that_crosses_the_end_of_a_moved_answer_destroys_none_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story() -> None:
        go_on = asyncio.Event()
        size = 100_000

        async def large(talk: Talk) -> None:
            await talk.request()
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size, b"x" * 70_000)
            await go_on.wait()
            await talk.send(b"x" * (size - 70_000))

        async with served(large, shared=tmp_path) as (old, address, _):
            caller = connect(address)
            caller.sendall(wire_of(1, extra="Connection: close\r\n"))
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.001)
                old.stop()
                while not new.counters.read().get("streams_adopted") or old._client_listener.connected:
                    await asyncio.sleep(0.001)
                crossing = Crossing(monkeypatch, lambda: caller.sendall(wire_of(2)))
                go_on.set()
                await crossing.over.wait()
                assert (await heard(caller)).endswith(b"x" * size)

    run(story())


@pytest.mark.parametrize("then", ["closes", "sends on", "says nothing", "says nothing at the last"])
def test_a_caller_is_read_from_for_a_moment_only(then: str, monkeypatch: pytest.MonkeyPatch) -> None:
    last = then == "says nothing at the last"
    monkeypatch.setattr(client_registry, "LINGER_TIMEOUT_S", 0.05 if then == "says nothing" else 60.0)
    monkeypatch.setattr(client_registry, "LINGER_FINAL_S", 0.05 if last else 60.0)
    monkeypatch.setattr(client_closing, "MAX_LINGER_BYTES", 100_000)

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._clients.final_phase = last
            client = await Client().open(address)
            client.ask(extra="Connection: close\r\n")
            assert (await client.answer()).status == 200 and await client.closed()
            if then == "closes":
                client.writer.close()
            elif then == "sends on":
                client.send(b"x" * 200_000)
            async with asyncio.timeout(5):
                while node._client_listener.connected:
                    await asyncio.sleep(0.001)
            assert not node._clients.phases.lingering and not node._descriptors.clients

    run(story())


def test_callers_that_have_their_last_answer_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_registry, "LINGER_TIMEOUT_S", 60.0)
    monkeypatch.setattr(descriptor_pressure, "MIN_LINGER_S", 0.0)

    async def story() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            open_still = [await Client().open(address) for _ in range(6)]
            for client in open_still:
                client.ask(extra="Connection: close\r\n")
                assert (await client.answer()).status == 200
            crowd = [await Client().open(address) for _ in range(4)]
            for client in crowd:
                client.ask()
                assert (await client.answer()).status == 200
            assert not node.counters.read().get("client_connections_rejected")
            for client in open_still + crowd:
                client.writer.close()

    run(story())


@pytest.mark.parametrize("form", ["small", "two at once", "large", "whole by then"])
def test_a_request_that_is_read_past_the_nodes_end_is_refused_and_not_sent_on(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its first byte came before; the clock is past the end when its last byte, or its beginning, does."""
    for span in ("HEAD_TIMEOUT_S", "BODY_GRACE_S"):
        monkeypatch.setattr(request_intake, span, 60.0)  # the clock is stepped by less
    wire = wire_of(1, left=60_000)
    if form == "two at once":
        wire += wire_of(2, left=60_000)
    elif form in ("large", "whole by then"):
        head = wire_of(1, left=60_000, extra="Content-Length: 200000\r\n").replace(b"GET", b"POST")
        wire = head + b"x" * (200_000 if form == "whole by then" else 100_000)

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            caller = connect(address)
            caller.sendall(wire[:1])
            while not any(one._intake.parser.started for one in node._clients.connections):
                await asyncio.sleep(0.001)
            node.stop()
            while not node._clients.closing_announced:
                await asyncio.sleep(0.001)
            node._clock_offset += 10.0
            caller.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(caller, wire[1:])
            found = await heard(caller)
            assert found.count(b"HTTP/1.1 503") == (2 if form == "two at once" else 1)
            assert found.count(b"HTTP/1.1 ") == found.count(b"HTTP/1.1 503")
            assert not peer.requests and not peer.connections

    run(story())


def test_the_nodes_end_counts_from_its_signal_also_where_its_start_is_not_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waits for a process before it, and is told to end; the kill doesn't wait for the wait."""
    joined, waiting = asyncio.Event(), asyncio.Event()
    late: list[socket.socket] = []
    opens = ClientListener.open

    async def join(_: Node) -> None:
        waiting.set()
        await joined.wait()

    def opened(callers: ClientListener, address: Address, shared: bool = False) -> None:
        opens(callers, address, shared)
        late.append(connect(address))
        late[0].sendall(wire_of(1, left=60_000))

    monkeypatch.setattr(Node, "_join_serving_process", join)
    monkeypatch.setattr(ClientListener, "open", opened)

    async def story() -> None:
        async def told_to_end_meanwhile(starts: Node) -> None:
            await waiting.wait()
            starts.stop()
            starts._clock_offset += 1.0
            joined.set()

        async with Peer() as peer, running(peer, starting=told_to_end_meanwhile):
            assert (await heard(late[0])).startswith(b"HTTP/1.1 200")
            span = shutdown.KILL_AFTER_S - shutdown.KILL_MARGIN_S + 2.0  # s, 2.0 of them the longest deadline
            assert int(peer.requests[0].headers["req-deadline-ms"]) <= (span - 1.0) * 1000

    run(story())


@pytest.mark.parametrize("when", ["as it starts", "as it ends"])
def test_new_configuration_as_a_node_starts_or_ends_is_taken_and_undoes_nothing(
    when: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new profile has another name and a longer time; a caller stays over the first part of the end."""
    file = tmp_path / "told.json"
    settings = configuration()["settings"]
    changed = {**settings["profiles"][0], "name": "other", "abandon_time": 9000}
    file.write_text(json.dumps(configuration(profiles=[settings["profiles"][0], changed])))
    waiting, joined = asyncio.Event(), asyncio.Event()

    async def join(_: Node) -> None:
        waiting.set()
        await joined.wait()

    monkeypatch.setattr(Node, "_join_serving_process", join)

    async def story() -> None:
        async def told_meanwhile(starts: Node) -> None:
            await waiting.wait()
            if when == "as it starts":
                os.kill(os.getpid(), signal.SIGHUP)
                while not starts.counters.read().get("reloads"):
                    await asyncio.sleep(0.001)
            joined.set()

        async with Peer() as peer, running(peer, file=file, starting=told_meanwhile) as (node, address):
            stays = connect(address)
            wire = wire_of(1, left=60_000).replace(b"plain", b"other")
            stays.sendall(wire[:1])
            while not any(one._intake.parser.started for one in node._clients.connections):
                await asyncio.sleep(0.001)
            node.stop()
            end_at = node._shutdown_deadline
            while not node._clients.closing_announced:
                await asyncio.sleep(0.001)
            if when == "as it ends":
                os.kill(os.getpid(), signal.SIGHUP)
                while not node.counters.read().get("reloads"):
                    await asyncio.sleep(0.001)
                assert node._shutdown_deadline == end_at and not node._client_listener.listeners
            assert node._clients.draining and node._clients.closing_announced
            left = end_at - node.now()
            stays.sendall(wire[1:])
            assert (await heard(stays)).startswith(b"HTTP/1.1 200")
            assert int(peer.requests[0].headers["req-deadline-ms"]) <= left * 1000
        assert not node.counters.read().get("internal_errors") and not node.counters.read().get(
            "reloads_failed"
        )

    run(story())


def test_a_queue_that_is_inherited_once_the_node_lets_nobody_in_is_emptied_and_closed() -> None:
    """The list that its callers had to wait for comes late."""

    async def story() -> None:
        async with Peer() as peer, running(known=False) as (node, address):
            (queue,) = bind_sockets(0, "127.0.0.1")
            node._tasks.start(node._adopt_when_ready([queue]))
            stays, waits = connect(address), connect(queue.getsockname())
            stays.sendall(wire_of(1)[:1])
            waits.sendall(wire_of(2))
            while not node._client_listener.connected:
                await asyncio.sleep(0.001)
            node.stop()
            while node._client_listener.listeners:
                await asyncio.sleep(0.001)
            endpoints = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            node._apply_list(read_list(endpoints), ListUpdate.CACHED)
            assert (await heard(waits)).startswith(b"HTTP/1.1 200")
            assert not node._client_listener.listeners and queue.fileno() < 0
            stays.close()

    run(story())


@pytest.mark.parametrize("giver", ["has gone", "serves"])
def test_a_queue_inherited_by_a_process_that_ends_before_its_list_is_answered_or_left_to_its_giver(
    giver: str, tmp_path: Path
) -> None:
    async def story() -> None:
        address = free_address()
        identity = {"node": "n", "listen": text_of(address), "version": str(messages.PROTOCOL_VERSION)}
        goes = asyncio.Event()
        (queue,) = bind_sockets(address[1], address[0])

        async def give(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            raw = writer.get_extra_info("socket")
            socket.send_fds(raw._sock, [json.dumps(identity).encode()], [queue.fileno()])
            await reader.readline()
            writer.write(b'{"state": {}}\n')
            await goes.wait()
            writer.close()

        server = await asyncio.start_unix_server(give, str(tmp_path / shared_folder.HANDOVER_SOCKET))
        async with running(known=False, shared=tmp_path, listen=address) as (node, _):
            assert node._handover is not None and node._handover.peer_count == 1
            caller = connect(address)
            caller.sendall(wire_of(1))
            if giver == "has gone":
                queue.close()
                goes.set()
                while node._handover.peer_count:
                    await asyncio.sleep(0.001)
            node.stop()
            if giver == "has gone":
                assert (await heard(caller)).startswith(b"HTTP/1.1 503")
        if giver == "serves":
            waits, _ = queue.accept()
            assert (
                waits.recv(4096) == wire_of(1)
                and node.counters.read().get("client_connections_opened", 0) == 0
            )
            waits.close()
            caller.close()
            queue.close()
            goes.set()
        server.close()

    run(story())


def test_one_caller_that_is_gone_before_it_is_let_in_keeps_out_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The listener closes right after: whoever was not let in meets a reset."""
    stop, accept = ClientListener.stop, socket.socket.accept
    late: list[socket.socket] = []
    failures = [errno.ECONNABORTED]

    def fails_once(listener: socket.socket) -> tuple[socket.socket, Address]:
        if late and failures:
            raise OSError(failures.pop(), "gone")
        return accept(listener)

    def crossed(callers: ClientListener) -> None:
        late.append(connect(callers.listeners[0].getsockname()))
        late[0].sendall(wire_of(1))
        stop(callers)

    monkeypatch.setattr(ClientListener, "stop", crossed)
    monkeypatch.setattr(socket.socket, "accept", fails_once)

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, _):
            node.stop()
            while not late:
                await asyncio.sleep(0)
            assert (await heard(late[0])).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["accepts_failed"] == 1

    run(story())


@pytest.mark.parametrize("short", [False, True])
def test_a_caller_given_to_a_process_in_the_moment_of_its_end_is_taken(
    short: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has its answer, and still sends its body; the process has nobody else and is about to end.

    Where descriptors are short in that moment, it is taken a little later.
    """
    stop, take_last = ClientListener.stop, handover.Handover.accept_last_streams
    rest = RequestReader()
    rest.feed(wire_of(1, extra="Content-Length: 100000\r\n").replace(b"GET", b"POST") + b"x" * 70_000)
    assert rest.next() is not None
    caller, given = socket.socketpair()
    gave: list[bool] = []

    def crossed(callers: ClientListener) -> None:
        stop(callers)
        giver = handover.StreamSender(str(tmp_path))
        gave.append(giver({"keep": True, "rest": rest.state()}, given))
        giver.close()
        given.close()

    def at_first_short(self: handover.Handover) -> None:
        monkeypatch.setattr(handover.Handover, "accept_last_streams", take_last)
        with no_descriptor_left() if short else nullcontext():
            take_last(self)

    monkeypatch.setattr(handover.Handover, "accept_last_streams", at_first_short)
    monkeypatch.setattr(ClientListener, "stop", crossed)

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            node.stop()
            while not node.counters.read().get("uploads_adopted"):
                await asyncio.sleep(0.001)
            assert gave == [True] and node._shutdown is not None and not node._shutdown.finished
            caller.sendall(b"x" * 30_000)
            assert await heard(caller) == b""
        assert node.counters.read()["uploads_adopted"] == 1 and not node.counters.read().get(
            "internal_errors"
        )
        with pytest.raises(OSError):
            handover.StreamSender(str(tmp_path))  # so that who would give more keeps it

    run(story())


def test_a_follower_that_hangs_before_it_has_the_listener_harms_no_caller_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The caller that comes next gets the number of the descriptor that was closed."""
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.05)

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, address):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            caller, hangs = connect(address), socket.socket(socket.AF_UNIX)
            while not node._client_listener.connected:
                await asyncio.sleep(0.001)
            node._client_listener.pause()
            late = connect(address)
            fillers = [os.dup(late.fileno()) for _ in range(20)]  # so that no lower number is free
            hangs.connect(str(tmp_path / shared_folder.HANDOVER_SOCKET))
            hangs.setblocking(False)
            while await asyncio.get_running_loop().sock_recv(hangs, 4096):
                pass
            node._client_listener.resume()
            while node.counters.read()["client_connections_opened"] < 2:
                await asyncio.sleep(0.001)
            late.sendall(wire_of(1, extra="Connection: close\r\n"))
            assert (await heard(late)).startswith(b"HTTP/1.1 200")
            assert not node.counters.read().get("internal_errors")
            caller.close()
            hangs.close()
            for filler in fillers:
                os.close(filler)

    run(story())


@pytest.mark.parametrize("gives", ["a listener alone", "no state"])
def test_a_process_that_hangs_as_it_is_followed_keeps_the_next_one_from_nothing(
    gives: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next one's own listener gets the number of the descriptor that was closed."""
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.1)

    async def story() -> None:
        address = free_address()
        identity = {"node": "n", "listen": text_of(address), "version": str(messages.PROTOCOL_VERSION)}
        ends = asyncio.Event()

        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with socket.socket() as given:
                raw = writer.get_extra_info("socket")
                socket.send_fds(raw._sock, [json.dumps(identity).encode()], [given.fileno()])
            if gives == "no state":
                await reader.readline()
                writer.write(b"{}\n")
            await ends.wait()
            writer.close()

        server = await asyncio.start_unix_server(hang, str(tmp_path / shared_folder.HANDOVER_SOCKET))
        async with Peer() as peer, running(peer, shared=tmp_path, listen=address) as (node, _):
            sock = connect(address)
            sock.sendall(wire_of(1, extra="Connection: close\r\n"))
            assert (await heard(sock)).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["handovers_failed"] == 1
            ends.set()
        server.close()

    run(story())


LOADING = """
import os, runpy, signal, sys
class Signals:
    def find_spec(self, name, path=None, target=None):
        if name == "notchjunction.node.node":
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGUSR1)
sys.meta_path.insert(0, Signals())
sys.argv = ["notchjunction"]
runpy.run_module("notchjunction", run_name="__main__")
"""
LEAVING = """
import asyncio, os, runpy, signal, sys
run = asyncio.run
def leave(work):
    run(work)
    for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)
asyncio.run = leave
sys.argv = ["notchjunction"]
runpy.run_module("notchjunction", run_name="__main__")
"""


@pytest.mark.parametrize(("when", "code"), [(LOADING, 2), (LEAVING, 0)], ids=["loading", "leaving"])
def test_a_signal_before_or_after_the_node_runs_does_not_end_the_program(
    when: str, code: int, tmp_path: Path
) -> None:
    """For new configuration or counters, or a second one to end; with no input it ends with 2."""

    async def story() -> None:
        file = tmp_path / "told.json"
        file.write_text(json.dumps(configuration()))
        listen = text_of(free_address())
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            when,
            env={"GW_CONFIG": str(file), "GW_LISTEN": listen} if when is LEAVING else {},
            stderr=asyncio.subprocess.PIPE,
        )
        assert program.stderr is not None
        if when is LEAVING:
            while b"event=start" not in await program.stderr.readline():
                pass
            program.terminate()
        said = (await program.stderr.read()).decode()
        assert await program.wait() == code, said

    run(story())


def test_a_request_read_as_the_answer_before_it_is_ready_is_answered_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node parts with its callers; the second request has been read, but not looked at."""
    take = ClientConnection._handle_request
    second: list[socket.socket] = []

    async def crossed(caller: ClientConnection, request: Request) -> HandledRequest:
        taken = await take(caller, request)
        if second:
            second.pop().sendall(wire_of(2))
            while not caller._intake.has_read():
                await asyncio.sleep(0)
        return taken

    monkeypatch.setattr(ClientConnection, "_handle_request", crossed)

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._clients.announce_closing()
            second.append(sock := connect(address))
            sock.sendall(wire_of(1))
            while second:
                await asyncio.sleep(0)
            found = await heard(sock)
            assert found.count(b"HTTP/1.1 200") == len(peer.requests) == 2
            assert found.count(b"Connection: close") == 1

    run(story())


@pytest.mark.parametrize("short", [False, True])
def test_a_caller_let_in_by_the_last_look_at_the_queue_is_answered(
    short: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It connects right before the listener closes, on a node that nobody else is connected to.

    Where descriptors are short in that moment, it is let in a little later.
    """
    late: list[socket.socket] = []
    stop = ClientListener.stop

    def crossed(callers: ClientListener) -> None:
        late.append(connect(callers.listeners[0].getsockname()))
        late[0].sendall(wire_of(1))
        monkeypatch.setattr(ClientListener, "stop", stop)
        with no_descriptor_left() if short else nullcontext():
            stop(callers)

    monkeypatch.setattr(ClientListener, "stop", crossed)

    async def story() -> None:
        async with Peer() as peer:
            async with running(peer) as (node, _):
                node.stop()
                while not late:
                    await asyncio.sleep(0)
                assert (await heard(late[0])).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["responses_succeeded"] == 1

    run(story())


def test_what_is_given_where_there_is_no_descriptor_for_it_waits_and_is_not_lost(tmp_path: Path) -> None:
    rest = RequestReader()
    rest.feed(wire_of(1, extra="Content-Length: 100000\r\n").replace(b"GET", b"POST") + b"x" * 70_000)
    assert rest.next() is not None
    caller, given = socket.socketpair()

    async def story() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            giver = handover.StreamSender(str(tmp_path))
            while len(node._handover._stream_sockets) < 2:
                await asyncio.sleep(0.001)
            with no_descriptor_left():
                assert giver({"keep": False, "rest": rest.state()}, given)
                for _ in range(200):
                    await asyncio.sleep(0)
                assert "uploads_adopted" not in node.counters.read()
            given.close()
            caller.sendall(b"x" * 30_000)
            assert await heard(caller) == b""
            assert node.counters.read()["uploads_adopted"] == 1
            giver.close()

    run(story())


def test_an_early_answer_is_told_though_the_loop_is_late_in_that_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """By the time the answer is seen the next piece of the body is overdue, too."""
    answer = RequestHandler.run

    async def story() -> None:
        async with running() as (node, address):
            clock = node._clients.clock

            async def late(job: RequestHandler, *there: Callable[[], bool]) -> Any:
                found = await answer(job, *there)
                node._clients.clock = lambda: clock() + 60.0
                return found

            monkeypatch.setattr(RequestHandler, "run", late)
            caller = connect(address)
            caller.sendall(wire_of(1, extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST"))
            caller.sendall(b"%x\r\n%b" % (90_000, b"x" * 70_000))
            caller.setblocking(False)
            async with asyncio.timeout(5):
                found = await node._loop.sock_recv(caller, 4096)
            assert found.startswith(b"HTTP/1.1 503")
            caller.close()

    run(story())


def test_a_node_that_finds_no_descriptor_as_it_ends_does_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """By when all has to be answered it waits for nobody who can't be let in."""
    monkeypatch.setattr(ClientListener, "stop", lambda callers: setattr(callers, "_stopping", True))

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, _):
            node.stop()
            assert node._shutdown is not None
            while not node._client_listener.queued:
                await asyncio.sleep(0.001)
            while not node._shutdown.finished:
                await asyncio.sleep(0.001)
            assert node.now() >= node._shutdown.deadline

    run(story())


def as_an_answer_is_ready(act: Callable[[ClientConnection], None], monkeypatch: pytest.MonkeyPatch) -> None:
    """Does this ahead of each answer, with the caller that it is for."""
    note = ClientConnection._record_response

    def noted(self: ClientConnection, *facts: Any) -> None:
        act(self)
        note(self, *facts)

    monkeypatch.setattr(ClientConnection, "_record_response", noted)


def test_a_request_that_waits_unread_as_an_answer_is_ready_is_answered_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node parts with its callers; the next request has come, and nobody has read it yet."""

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            caller = RawClient(address)

            def crossed(_: ClientConnection) -> None:
                node._clients.announce_closing()
                if len(peer.requests) == 1:
                    caller.ask()

            as_an_answer_is_ready(crossed, monkeypatch)
            caller.ask()
            async with asyncio.timeout(5):
                while len(peer.requests) < 2:
                    await asyncio.sleep(0.01)
                caller.socket.setblocking(False)
                text = b""
                while piece := await asyncio.get_running_loop().sock_recv(caller.socket, 65536):
                    text += piece
            assert text.count(b" 200 ") == 2 and text.lower().count(b"connection: close") == 1

    asyncio.run(story())


def test_a_request_that_comes_as_its_connection_has_rested_for_too_long_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_intake, "IDLE_TIMEOUT_S", 0.1)

    async def story() -> None:
        async with Peer() as peer, running(peer) as (_, address):
            caller = RawClient(address)
            wait = RequestIntake.wait

            async def crossed(self: RequestIntake, *waiting: asyncio.Future[Any]) -> bool:
                late = await wait(self, *waiting)
                if late and len(peer.requests) == 1 and not self.has_read():
                    caller.ask()
                return late

            monkeypatch.setattr(RequestIntake, "wait", crossed)
            caller.ask()
            async with asyncio.timeout(5):
                while len(peer.requests) < 2:
                    await asyncio.sleep(0.01)

    asyncio.run(story())


def test_a_caller_that_is_gone_as_its_answer_is_ready_is_no_failure_of_a_node_that_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            caller = RawClient(address)

            def gone(answered: ClientConnection) -> None:
                node._clients.announce_closing()
                answered._stream.close()

            as_an_answer_is_ready(gone, monkeypatch)
            # No read is under way beside an answer that takes no time.
            caller.more(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
            async with asyncio.timeout(5):
                while node.counters.read().get("client_connections_closed", 0) < 1:
                    await asyncio.sleep(0.01)
            assert node.counters.read().get("internal_errors", 0) == 0

    asyncio.run(story())


def test_why_a_caller_was_closed_and_what_state_the_node_came_to_are_recorded() -> None:
    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            bad, gone = RawClient(address), RawClient(address)
            bad.more(b"nonsense\r\n\r\n")
            gone.go("close")
            async with asyncio.timeout(5):
                while node.counters.read().get("client_connections_closed", 0) < 2:
                    await asyncio.sleep(0.01)
            await node.out_of_service()
            await node.in_service()
        noted = [(entry.occurrence, dict(entry.facts)) for entry in node.counters.recorder.entries_of("")]
        whys = [facts["why"] for what, facts in noted if what is Occurrence.CLIENT_CONNECTION_CLOSED]
        states = [facts for what, facts in noted if what is Occurrence.STATE_CHANGED]
        assert sorted(map(str, whys)) == ["bad request", "ended by the client"]
        assert [facts["service"] for facts in states if "service" in facts] == ["not_ready", "serving"]
        assert [facts["ending"] for facts in states if "ending" in facts][:1] == ["report_not_ready"]

    asyncio.run(story())
