"""Closes and ends that cross bytes on their way: what was taken is answered, and no answer meets a reset."""

from __future__ import annotations

import asyncio
import socket

import pytest

from notchjunction.net.callers import Callers
from notchjunction.net.connections import Address
from tests.helpers import Peer, running, wire_of
from tests.test_net import run


def connect(address: Address) -> socket.socket:
    """A caller whose reads and writes happen at once, wherever the story stands."""
    return socket.create_connection(address)


async def heard(sock: socket.socket) -> bytes:
    """All that comes until the connection ends; a reset is an error."""
    sock.setblocking(False)
    found = b""
    async with asyncio.timeout(5):
        while piece := await asyncio.get_running_loop().sock_recv(sock, 65536):
            found += piece
    sock.close()
    return found


def test_a_caller_let_in_by_the_last_look_at_the_queue_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """It connects right before the listener closes, on a node that nobody else is connected to."""
    late: list[socket.socket] = []
    stop = Callers.stop

    def crossed(callers: Callers) -> None:
        late.append(connect(callers.listeners[0].getsockname()))
        late[0].sendall(wire_of(1))
        stop(callers)

    monkeypatch.setattr(Callers, "stop", crossed)

    async def story() -> None:
        async with Peer() as peer:
            async with running(peer) as (node, _):
                node.stop()
                while not late:
                    await asyncio.sleep(0)
                assert (await heard(late[0])).startswith(b"HTTP/1.1 200")
            assert node.counters.read()["answered_honoured"] == 1

    run(story())
