"""Connections that are closed while bytes of the client are arriving.

Closing a socket that has unread bytes sends a TCP reset, and a reset destroys the part of a response that the
client has not read yet. The tests send bytes at the moment of a close, a shutdown or a handover. They check
that accepted requests are answered, and that no response is cut off.
"""

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
from notchjunction.balancing.engine import RequestSpec
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
from notchjunction.net.body_streaming import StreamBuffers
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
from tests.test_large_bodies import ScriptedConnection, running_with_scripts
from tests.test_net import run

# Larger than the client's receive buffer and smaller than the node's send buffer: a reset destroys the rest.
LONG_REPLY: Reply = (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000, "keep")
RECEIVE_BUFFER_BYTES = 8 * 1024


def connect_client(address: Address) -> socket.socket:
    """Open a blocking client socket: its writes happen at once, and the test decides when it reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.connect(address)
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """Return everything received until the connection ends; a reset raises an error."""
    sock.setblocking(False)
    received = b""
    async with asyncio.timeout(5):
        while chunk := await asyncio.get_running_loop().sock_recv(sock, 65536):
            received += chunk
    sock.close()
    return received


class CloseHook:
    """Runs an action once when the node ends a connection, before or after the call of `shutdown`."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, action: Callable[[], None], after: bool = False
    ) -> None:
        self.fired = asyncio.Event()
        shutdown, close = socket.socket.shutdown, ClientStream.close

        def run_once() -> None:
            if not self.fired.is_set():
                self.fired.set()
                action()

        def hooked_shutdown(sock: socket.socket, how: int) -> None:
            if not after:
                run_once()
            shutdown(sock, how)
            run_once()

        def hooked_close(stream: ClientStream, exc_info: Any = False) -> None:
            run_once()
            close(stream, exc_info)

        monkeypatch.setattr(socket.socket, "shutdown", hooked_shutdown)
        monkeypatch.setattr(ClientStream, "close", hooked_close)


async def stop_node(node: Node) -> None:
    node.stop()


async def take_out_of_service(node: Node) -> None:
    assert await node.out_of_service()


async def close_oldest_connection(node: Node) -> None:
    while not node._clients.phases.idle:
        await asyncio.sleep(0)
    assert node._client_listener.close_oldest()


async def report_descriptor_shortage(node: Node) -> None:
    node._descriptors.other_process_clients = 10_000


async def do_nothing(_: Node) -> None:
    pass


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize(
    ("start_closing", "extra", "timeouts"),
    [
        (stop_node, "", {}),
        (take_out_of_service, "", {}),
        (close_oldest_connection, "", {"MIN_IDLE_S": 0.0}),
        (do_nothing, "", {"IDLE_TIMEOUT_S": 0.05}),
        (do_nothing, "Connection: close\r\n", {}),
        (report_descriptor_shortage, "Connection: close\r\n", {}),
    ],
)
def test_request_arriving_during_a_close_is_not_forwarded_and_destroys_no_response(
    start_closing: Callable[[Node], Awaitable[None]],
    extra: str,
    timeouts: dict[str, float],
    after: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name, value in timeouts.items():
        monkeypatch.setattr(
            request_intake if hasattr(request_intake, name) else descriptor_pressure, name, value
        )

    async def scenario() -> None:
        async with Peer(LONG_REPLY) as peer, running(peer) as (node, address):
            client = connect_client(address)
            hook = CloseHook(monkeypatch, lambda: client.sendall(wire_of(2)), after)
            client.sendall(wire_of(1, extra=extra))
            await peer.asked.wait()
            await start_closing(node)
            await hook.fired.wait()
            received = await read_to_end(client)
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"x" * 60_000)
            assert len(peer.requests) == 1

    run(scenario())


@pytest.mark.parametrize("cause", ["invalid chunk", "timeout", "shutdown"])
def test_giving_up_a_body_after_an_early_response_destroys_no_response(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request was rejected early. More of its body arrives as the node stops reading it."""
    monkeypatch.setattr(request_intake, "BODY_GRACE_S", 0.1 if cause == "timeout" else 60.0)
    monkeypatch.setattr(request_intake, "BODY_MIN_RATE", 10_000_000)
    monkeypatch.setattr(shutdown, "KILL_AFTER_S", -1.5)  # the shutdown deadline is 0.2 s after `stop`

    async def scenario() -> None:
        async with running() as (node, address):
            client = connect_client(address)
            hook = CloseHook(monkeypatch, lambda: client.sendall(b"y" * 1000))
            client.sendall(wire_of(1, extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST"))
            client.sendall(b"%x\r\n%b\r\n" % (70_000, b"x" * 70_000))
            while not any(connection._discarding for connection in node._clients.connections):
                await asyncio.sleep(0.001)
            if cause == "invalid chunk":
                client.sendall(b"what is this\r\n")
            elif cause == "shutdown":
                node.stop()
            await hook.fired.wait()
            assert (await read_to_end(client)).startswith(b"HTTP/1.1 503")

    run(scenario())


@pytest.mark.parametrize("last_bytes", [b"", b"what is this\r\n"], ids=["shutdown", "invalid chunk"])
def test_client_that_closes_while_its_body_is_given_up_is_no_internal_error(
    last_bytes: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last bytes and the end arrive together: the connection is closed before the bytes are parsed."""
    close = ClientStream.close

    async def scenario() -> None:
        async with running() as (node, address):
            closed_streams: list[ClientStream] = []

            def hooked_close(stream: ClientStream, exc_info: Any = False) -> None:
                close(stream, exc_info)
                if not last_bytes:
                    node._clients.reject_uploads()
                closed_streams.append(stream)

            monkeypatch.setattr(ClientStream, "close", hooked_close)
            client = connect_client(address)
            client.sendall(wire_of(1, extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST"))
            client.sendall(b"%x\r\n%b\r\n" % (70_000, b"x" * 70_000))
            while not any(connection._discarding for connection in node._clients.connections):
                await asyncio.sleep(0.001)
            client.recv(65536)
            client.sendall(last_bytes)
            client.close()
            while node._client_listener.connected:
                await asyncio.sleep(0.001)
            assert (
                len(closed_streams) == 2
                and not node.counters.read().get("internal_errors")
                and not node._clients.phases.lingering
            )

    run(scenario())


def test_request_arriving_at_the_end_of_a_migrated_response_destroys_none_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()
        size = 100_000

        async def send_large(connection: ScriptedConnection) -> None:
            await connection.read_request()
            await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size, b"x" * 70_000)
            await go_on.wait()
            await connection.send(b"x" * (size - 70_000))

        async with running_with_scripts(send_large, shared=tmp_path) as (old, address, _):
            client = connect_client(address)
            client.sendall(wire_of(1, extra="Connection: close\r\n"))
            async with running(shared=tmp_path, listen=address, known=False) as (new, _):
                while old._handover is None or not old._handover.has_successor:
                    await asyncio.sleep(0.001)
                old.stop()
                while not new.counters.read().get("streams_adopted") or old._client_listener.connected:
                    await asyncio.sleep(0.001)
                hook = CloseHook(monkeypatch, lambda: client.sendall(wire_of(2)))
                go_on.set()
                await hook.fired.wait()
                assert (await read_to_end(client)).endswith(b"x" * size)

    run(scenario())


@pytest.mark.parametrize(
    "client_action", ["closes", "keeps sending", "stays silent", "stays silent in the final phase"]
)
def test_lingering_close_is_limited_in_time_and_bytes(
    client_action: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    final_phase = client_action == "stays silent in the final phase"
    monkeypatch.setattr(
        client_registry, "LINGER_TIMEOUT_S", 0.05 if client_action == "stays silent" else 60.0
    )
    monkeypatch.setattr(client_registry, "LINGER_FINAL_S", 0.05 if final_phase else 60.0)
    monkeypatch.setattr(client_closing, "MAX_LINGER_BYTES", 100_000)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._clients.final_phase = final_phase
            client = await Client().open(address)
            client.ask(extra="Connection: close\r\n")
            assert (await client.answer()).status == 200 and await client.closed()
            if client_action == "closes":
                client.writer.close()
            elif client_action == "keeps sending":
                client.send(b"x" * 200_000)
            async with asyncio.timeout(5):
                while node._client_listener.connected:
                    await asyncio.sleep(0.001)
            assert not node._clients.phases.lingering and not node._descriptors.clients

    run(scenario())


def test_lingering_connections_make_room_for_new_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_registry, "LINGER_TIMEOUT_S", 60.0)
    monkeypatch.setattr(descriptor_pressure, "MIN_LINGER_S", 0.0)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (node, address):
            lingering_clients = [await Client().open(address) for _ in range(6)]
            for client in lingering_clients:
                client.ask(extra="Connection: close\r\n")
                assert (await client.answer()).status == 200
            new_clients = [await Client().open(address) for _ in range(4)]
            for client in new_clients:
                client.ask()
                assert (await client.answer()).status == 200
            assert not node.counters.read().get("client_connections_rejected")
            for client in lingering_clients + new_clients:
                client.writer.close()

    run(scenario())


@pytest.mark.parametrize("form", ["small", "pipelined", "large", "large and complete"])
def test_request_read_after_the_shutdown_deadline_is_rejected_and_not_forwarded(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first byte arrives in time. The clock is past the deadline when the rest of the request arrives."""
    for setting in ("HEAD_TIMEOUT_S", "BODY_GRACE_S"):
        monkeypatch.setattr(request_intake, setting, 60.0)  # longer than the step of the clock below
    wire = wire_of(1, left=60_000)
    if form == "pipelined":
        wire += wire_of(2, left=60_000)
    elif form in ("large", "large and complete"):
        head = wire_of(1, left=60_000, extra="Content-Length: 200000\r\n").replace(b"GET", b"POST")
        wire = head + b"x" * (200_000 if form == "large and complete" else 100_000)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            client = connect_client(address)
            client.sendall(wire[:1])
            while not any(connection._intake.parser.started for connection in node._clients.connections):
                await asyncio.sleep(0.001)
            node.stop()
            while not node._clients.closing_announced:
                await asyncio.sleep(0.001)
            node._clock_offset += 10.0
            client.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(client, wire[1:])
            received = await read_to_end(client)
            assert received.count(b"HTTP/1.1 503") == (2 if form == "pipelined" else 1)
            assert received.count(b"HTTP/1.1 ") == received.count(b"HTTP/1.1 503")
            assert not peer.requests and not peer.connections

    run(scenario())


def test_shutdown_deadline_counts_from_the_signal_even_during_startup(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node gets the signal to stop while it still waits for its predecessor.

    It is killed a fixed time after the signal, so the wait must not postpone the deadline.
    """
    joined, waiting = asyncio.Event(), asyncio.Event()
    clients: list[socket.socket] = []
    original_open = ClientListener.open

    async def wait_for_join(_: Node) -> None:
        waiting.set()
        await joined.wait()

    def hooked_open(client_listener: ClientListener, address: Address, shared: bool = False) -> None:
        original_open(client_listener, address, shared)
        clients.append(connect_client(address))
        clients[0].sendall(wire_of(1, left=60_000))

    monkeypatch.setattr(Node, "_join_serving_process", wait_for_join)
    monkeypatch.setattr(ClientListener, "open", hooked_open)

    async def scenario() -> None:
        async def stop_during_startup(node: Node) -> None:
            await waiting.wait()
            node.stop()
            node._clock_offset += 1.0
            joined.set()

        async with Peer() as peer, running(peer, starting=stop_during_startup):
            assert (await read_to_end(clients[0])).startswith(b"HTTP/1.1 200")
            # In seconds; 2.0 is the longest deadline of a request.
            max_time_left = shutdown.KILL_AFTER_S - shutdown.KILL_MARGIN_S + 2.0
            assert int(peer.requests[0].headers["req-deadline-ms"]) <= (max_time_left - 1.0) * 1000

    run(scenario())


@pytest.mark.parametrize("when", ["startup", "shutdown"])
def test_reload_during_startup_or_shutdown_is_applied_and_undoes_nothing(
    when: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new request class has another name and a longer deadline.

    A client stays connected during the first phase of the shutdown.
    """
    file = tmp_path / "config.json"
    settings = configuration()["settings"]
    changed = {**settings["profiles"][0], "name": "other", "abandon_time": 9000}
    file.write_text(json.dumps(configuration(profiles=[settings["profiles"][0], changed])))
    waiting, joined = asyncio.Event(), asyncio.Event()

    async def wait_for_join(_: Node) -> None:
        waiting.set()
        await joined.wait()

    monkeypatch.setattr(Node, "_join_serving_process", wait_for_join)

    async def scenario() -> None:
        async def reload_during_startup(starting_node: Node) -> None:
            await waiting.wait()
            if when == "startup":
                os.kill(os.getpid(), signal.SIGHUP)
                while not starting_node.counters.read().get("reloads"):
                    await asyncio.sleep(0.001)
            joined.set()

        async with (
            Peer() as peer,
            running(peer, file=file, starting=reload_during_startup) as (node, address),
        ):
            client = connect_client(address)
            wire = wire_of(1, left=60_000).replace(b"plain", b"other")
            client.sendall(wire[:1])
            while not any(connection._intake.parser.started for connection in node._clients.connections):
                await asyncio.sleep(0.001)
            node.stop()
            shutdown_deadline = node._shutdown_deadline
            while not node._clients.closing_announced:
                await asyncio.sleep(0.001)
            if when == "shutdown":
                os.kill(os.getpid(), signal.SIGHUP)
                while not node.counters.read().get("reloads"):
                    await asyncio.sleep(0.001)
                assert node._shutdown_deadline == shutdown_deadline and not node._client_listener.listeners
            assert node._clients.draining and node._clients.closing_announced
            time_left = shutdown_deadline - node.now()
            client.sendall(wire[1:])
            assert (await read_to_end(client)).startswith(b"HTTP/1.1 200")
            assert int(peer.requests[0].headers["req-deadline-ms"]) <= time_left * 1000
        assert not node.counters.read().get("internal_errors") and not node.counters.read().get(
            "reloads_failed"
        )

    run(scenario())


def test_accept_queue_inherited_after_the_listener_closed_is_emptied_and_closed() -> None:
    """The endpoint list that the queued clients wait for arrives only after the listener has closed."""

    async def scenario() -> None:
        async with Peer() as peer, running(known=False) as (node, address):
            (queue,) = bind_sockets(0, "127.0.0.1")
            node._tasks.start(node._adopt_when_ready([queue]))
            open_client, queued_client = connect_client(address), connect_client(queue.getsockname())
            open_client.sendall(wire_of(1)[:1])
            queued_client.sendall(wire_of(2))
            while not node._client_listener.connected:
                await asyncio.sleep(0.001)
            node.stop()
            while node._client_listener.listeners:
                await asyncio.sleep(0.001)
            endpoints = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            node._apply_list(read_list(endpoints), ListUpdate.CACHED)
            assert (await read_to_end(queued_client)).startswith(b"HTTP/1.1 200")
            assert not node._client_listener.listeners and queue.fileno() < 0
            open_client.close()

    run(scenario())


@pytest.mark.parametrize("predecessor", ["gone", "serving"])
def test_accept_queue_of_a_process_that_stops_before_its_list_is_answered_or_left_to_predecessor(
    predecessor: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        address = free_address()
        identity = {"node": "n", "listen": text_of(address), "version": str(messages.PROTOCOL_VERSION)}
        closing = asyncio.Event()
        (queue,) = bind_sockets(address[1], address[0])

        async def hand_over(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            handover_socket = writer.get_extra_info("socket")
            socket.send_fds(handover_socket._sock, [json.dumps(identity).encode()], [queue.fileno()])
            await reader.readline()
            writer.write(b'{"state": {}}\n')
            await closing.wait()
            writer.close()

        server = await asyncio.start_unix_server(hand_over, str(tmp_path / shared_folder.HANDOVER_SOCKET))
        async with running(known=False, shared=tmp_path, listen=address) as (node, _):
            assert node._handover is not None and node._handover.peer_count == 1
            client = connect_client(address)
            client.sendall(wire_of(1))
            if predecessor == "gone":
                queue.close()
                closing.set()
                while node._handover.peer_count:
                    await asyncio.sleep(0.001)
            node.stop()
            if predecessor == "gone":
                assert (await read_to_end(client)).startswith(b"HTTP/1.1 503")
        if predecessor == "serving":
            queued_connection, _ = queue.accept()
            assert (
                queued_connection.recv(4096) == wire_of(1)
                and node.counters.read().get("client_connections_opened", 0) == 0
            )
            queued_connection.close()
            client.close()
            queue.close()
            closing.set()
        server.close()

    run(scenario())


def test_connection_aborted_before_accept_does_not_keep_out_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The listener closes right afterwards: a client that was not accepted would be reset."""
    stop, accept = ClientListener.stop, socket.socket.accept
    late_clients: list[socket.socket] = []
    failures = [errno.ECONNABORTED]

    def fail_once(listener: socket.socket) -> tuple[socket.socket, Address]:
        if late_clients and failures:
            raise OSError(failures.pop(), "aborted")
        return accept(listener)

    def hooked_stop(client_listener: ClientListener) -> None:
        late_clients.append(connect_client(client_listener.listeners[0].getsockname()))
        late_clients[0].sendall(wire_of(1))
        stop(client_listener)

    monkeypatch.setattr(ClientListener, "stop", hooked_stop)
    monkeypatch.setattr(socket.socket, "accept", fail_once)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, _):
            node.stop()
            while not late_clients:
                await asyncio.sleep(0)
            assert (await read_to_end(late_clients[0])).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["accepts_failed"] == 1

    run(scenario())


@pytest.mark.parametrize("shortage", [False, True])
def test_upload_handed_to_a_process_that_is_stopping_is_adopted(
    shortage: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client has its response and still sends its body. The process has no other client and is stopping.

    With `shortage` no descriptor is free at that moment, and the upload is adopted a little later.
    """
    stop, accept_last = ClientListener.stop, handover.Handover.accept_last_streams
    upload_reader = RequestReader()
    upload_reader.feed(
        wire_of(1, extra="Content-Length: 100000\r\n").replace(b"GET", b"POST") + b"x" * 70_000
    )
    assert upload_reader.next() is not None
    client, handed_socket = socket.socketpair()
    accepted: list[bool] = []

    def hooked_stop(client_listener: ClientListener) -> None:
        stop(client_listener)
        sender = handover.StreamSender(str(tmp_path))
        accepted.append(sender({"keep": True, "rest": upload_reader.state()}, handed_socket))
        sender.close()
        handed_socket.close()

    def accept_with_shortage(self: handover.Handover) -> None:
        monkeypatch.setattr(handover.Handover, "accept_last_streams", accept_last)
        with no_descriptor_left() if shortage else nullcontext():
            accept_last(self)

    monkeypatch.setattr(handover.Handover, "accept_last_streams", accept_with_shortage)
    monkeypatch.setattr(ClientListener, "stop", hooked_stop)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            node.stop()
            while not node.counters.read().get("uploads_adopted"):
                await asyncio.sleep(0.001)
            assert accepted == [True] and node._shutdown is not None and not node._shutdown.finished
            client.sendall(b"x" * 30_000)
            assert await read_to_end(client) == b""
        assert node.counters.read()["uploads_adopted"] == 1 and not node.counters.read().get(
            "internal_errors"
        )
        with pytest.raises(OSError):
            handover.StreamSender(str(tmp_path))  # a process that has more uploads keeps them

    run(scenario())


def test_successor_that_hangs_before_it_has_the_listener_harms_no_later_client(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next client gets the descriptor number that was closed."""
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, address):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            client, hung_successor = connect_client(address), socket.socket(socket.AF_UNIX)
            while not node._client_listener.connected:
                await asyncio.sleep(0.001)
            node._client_listener.pause()
            later_client = connect_client(address)
            fillers = [os.dup(later_client.fileno()) for _ in range(20)]  # so that no lower number is free
            hung_successor.connect(str(tmp_path / shared_folder.HANDOVER_SOCKET))
            hung_successor.setblocking(False)
            while await asyncio.get_running_loop().sock_recv(hung_successor, 4096):
                pass
            node._client_listener.resume()
            while node.counters.read()["client_connections_opened"] < 2:
                await asyncio.sleep(0.001)
            later_client.sendall(wire_of(1, extra="Connection: close\r\n"))
            assert (await read_to_end(later_client)).startswith(b"HTTP/1.1 200")
            assert not node.counters.read().get("internal_errors")
            client.close()
            hung_successor.close()
            for filler in fillers:
                os.close(filler)

    run(scenario())


@pytest.mark.parametrize("handed_over", ["listener only", "listener and empty message"])
def test_predecessor_that_hangs_in_the_handover_does_not_keep_the_successor_from_serving(
    handed_over: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The successor's own listener gets the descriptor number that was closed."""
    monkeypatch.setattr(listener_sharing, "JOIN_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        address = free_address()
        identity = {"node": "n", "listen": text_of(address), "version": str(messages.PROTOCOL_VERSION)}
        closing = asyncio.Event()

        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with socket.socket() as listener:
                handover_socket = writer.get_extra_info("socket")
                socket.send_fds(handover_socket._sock, [json.dumps(identity).encode()], [listener.fileno()])
            if handed_over == "listener and empty message":
                await reader.readline()
                writer.write(b"{}\n")
            await closing.wait()
            writer.close()

        server = await asyncio.start_unix_server(hang, str(tmp_path / shared_folder.HANDOVER_SOCKET))
        async with Peer() as peer, running(peer, shared=tmp_path, listen=address) as (node, _):
            sock = connect_client(address)
            sock.sendall(wire_of(1, extra="Connection: close\r\n"))
            assert (await read_to_end(sock)).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["handovers_failed"] == 1
            closing.set()
        server.close()

    run(scenario())


# Programs that send signals while the modules of the node are loaded, and after the node has run.
SIGNALS_WHILE_LOADING = """
import os, runpy, signal, sys
class SendSignals:
    def find_spec(self, name, path=None, target=None):
        if name == "notchjunction.node.node":
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGUSR1)
sys.meta_path.insert(0, SendSignals())
sys.argv = ["notchjunction"]
runpy.run_module("notchjunction", run_name="__main__")
"""
SIGNALS_WHILE_EXITING = """
import asyncio, os, runpy, signal, sys
run = asyncio.run
def run_then_signal(main):
    run(main)
    for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)
asyncio.run = run_then_signal
sys.argv = ["notchjunction"]
runpy.run_module("notchjunction", run_name="__main__")
"""


@pytest.mark.parametrize(
    ("program", "exit_code"),
    [(SIGNALS_WHILE_LOADING, 2), (SIGNALS_WHILE_EXITING, 0)],
    ids=["loading", "exiting"],
)
def test_signal_before_or_after_the_node_runs_does_not_end_the_program(
    program: str, exit_code: int, tmp_path: Path
) -> None:
    """Covers the signals for a reload, for counters and to stop. Without configuration the exit code is 2."""

    async def scenario() -> None:
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration()))
        listen = text_of(free_address())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            program,
            env={"GW_CONFIG": str(file), "GW_LISTEN": listen} if program is SIGNALS_WHILE_EXITING else {},
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        if program is SIGNALS_WHILE_EXITING:
            while b"event=start" not in await process.stderr.readline():
                pass
            process.terminate()
        stderr = (await process.stderr.read()).decode()
        assert await process.wait() == exit_code, stderr

    run(scenario())


def test_request_read_while_the_previous_response_becomes_ready_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node is closing its connections. The second request has been read, but not parsed."""
    balance = ClientConnection._balance
    second_requests: list[socket.socket] = []

    async def hooked(connection: ClientConnection, request: Request, spec: RequestSpec) -> HandledRequest:
        handled = await balance(connection, request, spec)
        if second_requests:
            second_requests.pop().sendall(wire_of(2))
            while not connection._intake.has_read():
                await asyncio.sleep(0)
        return handled

    monkeypatch.setattr(ClientConnection, "_balance", hooked)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._clients.announce_closing()
            second_requests.append(sock := connect_client(address))
            sock.sendall(wire_of(1))
            while second_requests:
                await asyncio.sleep(0)
            received = await read_to_end(sock)
            assert received.count(b"HTTP/1.1 200") == len(peer.requests) == 2
            assert received.count(b"Connection: close") == 1

    run(scenario())


@pytest.mark.parametrize("shortage", [False, True])
def test_client_accepted_by_the_last_check_of_the_queue_is_answered(
    shortage: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client connects right before the listener closes, on a node without other clients.

    With `shortage` no descriptor is free at that moment, and the client is accepted a little later.
    """
    late_clients: list[socket.socket] = []
    stop = ClientListener.stop

    def hooked_stop(client_listener: ClientListener) -> None:
        late_clients.append(connect_client(client_listener.listeners[0].getsockname()))
        late_clients[0].sendall(wire_of(1))
        monkeypatch.setattr(ClientListener, "stop", stop)
        with no_descriptor_left() if shortage else nullcontext():
            stop(client_listener)

    monkeypatch.setattr(ClientListener, "stop", hooked_stop)

    async def scenario() -> None:
        async with Peer() as peer:
            async with running(peer) as (node, _):
                node.stop()
                while not late_clients:
                    await asyncio.sleep(0)
                assert (await read_to_end(late_clients[0])).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["responses_succeeded"] == 1

    run(scenario())


def test_upload_handed_over_without_a_free_descriptor_waits_and_is_not_lost(tmp_path: Path) -> None:
    upload_reader = RequestReader()
    upload_reader.feed(
        wire_of(1, extra="Content-Length: 100000\r\n").replace(b"GET", b"POST") + b"x" * 70_000
    )
    assert upload_reader.next() is not None
    client, handed_socket = socket.socketpair()

    async def scenario() -> None:
        async with Peer() as peer, running(peer, shared=tmp_path) as (node, _):
            while node._handover is None or not node._handover.is_offered:
                await asyncio.sleep(0.001)
            sender = handover.StreamSender(str(tmp_path))
            while len(node._handover._stream_sockets) < 2:
                await asyncio.sleep(0.001)
            with no_descriptor_left():
                assert sender({"keep": False, "rest": upload_reader.state()}, handed_socket)
                for _ in range(200):
                    await asyncio.sleep(0)
                assert "uploads_adopted" not in node.counters.read()
            handed_socket.close()
            client.sendall(b"x" * 30_000)
            assert await read_to_end(client) == b""
            assert node.counters.read()["uploads_adopted"] == 1
            sender.close()

    run(scenario())


def test_early_response_is_written_even_when_the_event_loop_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When the node sees the response, the next piece of the body is overdue too."""
    original_run = RequestHandler.run

    async def scenario() -> None:
        async with running() as (node, address):
            clock = node._clients.clock

            async def run_then_delay_clock(handler: RequestHandler, *args: Callable[[], bool]) -> Any:
                result = await original_run(handler, *args)
                node._clients.clock = lambda: clock() + 60.0
                return result

            monkeypatch.setattr(RequestHandler, "run", run_then_delay_clock)
            client = connect_client(address)
            client.sendall(wire_of(1, extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST"))
            client.sendall(b"%x\r\n%b" % (90_000, b"x" * 70_000))
            client.setblocking(False)
            async with asyncio.timeout(5):
                received = await node._loop.sock_recv(client, 4096)
            assert received.startswith(b"HTTP/1.1 503")
            client.close()

    run(scenario())


def test_node_without_free_descriptors_still_finishes_its_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """After the shutdown deadline the node does not wait for clients that cannot be accepted."""
    monkeypatch.setattr(
        ClientListener, "stop", lambda client_listener: setattr(client_listener, "_stopping", True)
    )

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, _):
            node.stop()
            assert node._shutdown is not None
            while not node._client_listener.queued:
                await asyncio.sleep(0.001)
            while not node._shutdown.finished:
                await asyncio.sleep(0.001)
            assert node.now() >= node._shutdown.deadline

    run(scenario())


def before_each_response(action: Callable[[ClientConnection], None], monkeypatch: pytest.MonkeyPatch) -> None:
    """Run an action before each response, with the connection that it is written to."""
    record_response = ClientConnection._record_response

    def hooked(self: ClientConnection, *facts: Any) -> None:
        action(self)
        record_response(self, *facts)

    monkeypatch.setattr(ClientConnection, "_record_response", hooked)


def test_request_waiting_unread_when_a_response_becomes_ready_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node is closing its connections. The next request has arrived, and has not been read yet."""

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            client = RawClient(address)

            def send_second_request(_: ClientConnection) -> None:
                node._clients.announce_closing()
                if len(peer.requests) == 1:
                    client.ask()

            before_each_response(send_second_request, monkeypatch)
            client.ask()
            async with asyncio.timeout(5):
                while len(peer.requests) < 2:
                    await asyncio.sleep(0.01)
                client.socket.setblocking(False)
                received = b""
                while chunk := await asyncio.get_running_loop().sock_recv(client.socket, 65536):
                    received += chunk
            assert received.count(b" 200 ") == 2 and received.lower().count(b"connection: close") == 1

    asyncio.run(scenario())


def test_request_arriving_as_the_idle_timeout_fires_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_intake, "IDLE_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (_, address):
            client = RawClient(address)
            wait = RequestIntake.wait

            async def hooked(self: RequestIntake, *futures: asyncio.Future[Any]) -> bool:
                timed_out = await wait(self, *futures)
                if timed_out and len(peer.requests) == 1 and not self.has_read():
                    client.ask()
                return timed_out

            monkeypatch.setattr(RequestIntake, "wait", hooked)
            client.ask()
            async with asyncio.timeout(5):
                while len(peer.requests) < 2:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_client_gone_when_its_response_is_ready_is_no_internal_error_while_draining(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            client = RawClient(address)

            def close_stream(connection: ClientConnection) -> None:
                node._clients.announce_closing()
                connection._stream.close()

            before_each_response(close_stream, monkeypatch)
            # The node does not read from the client while it writes an immediate response.
            client.more(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
            async with asyncio.timeout(5):
                while node.counters.read().get("client_connections_closed", 0) < 1:
                    await asyncio.sleep(0.01)
            assert node.counters.read().get("internal_errors", 0) == 0

    asyncio.run(scenario())


def test_reasons_for_closed_connections_and_node_states_are_recorded() -> None:
    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            invalid_client, closing_client = RawClient(address), RawClient(address)
            invalid_client.more(b"nonsense\r\n\r\n")
            closing_client.go("close")
            async with asyncio.timeout(5):
                while node.counters.read().get("client_connections_closed", 0) < 2:
                    await asyncio.sleep(0.01)
            await node.out_of_service()
            await node.in_service()
        events = [(entry.occurrence, dict(entry.facts)) for entry in node.counters.recorder.entries_of("")]
        reasons = [
            facts["why"] for occurrence, facts in events if occurrence is Occurrence.CLIENT_CONNECTION_CLOSED
        ]
        states = [facts for occurrence, facts in events if occurrence is Occurrence.STATE_CHANGED]
        assert sorted(map(str, reasons)) == ["bad request", "ended by the client"]
        assert [facts["service"] for facts in states if "service" in facts] == ["not_ready", "serving"]
        assert [facts["ending"] for facts in states if "ending" in facts][:1] == ["report_not_ready"]

    asyncio.run(scenario())


def test_a_slow_client_whose_body_is_dropped_after_its_response_is_not_taken_for_one_that_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pause that is reckoned without the bytes that were dropped unread."""
    monkeypatch.setattr(request_intake, "BODY_GRACE_S", 0.5)
    monkeypatch.setattr(StreamBuffers, "piece_size", lambda _: 4096)

    async def scenario() -> None:
        async with running() as (node, address):
            client = connect_client(address)
            head = wire_of(1, extra="Content-Length: 4000000\r\n").replace(b"GET", b"POST")
            client.sendall(head + b"x" * 70_000)
            while not any(connection._discarding for connection in node._clients.connections):
                await asyncio.sleep(0.001)
            client.sendall(b"x" * 200_000)
            for _ in range(15):
                await asyncio.sleep(0.1)
                client.sendall(b"x" * 12_000)
                assert any(connection._discarding for connection in node._clients.connections)
            client.close()

    run(scenario())
