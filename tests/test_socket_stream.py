"""Reads and writes for which the operating system has no memory for a moment (recv(2), send(2))."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest
from tornado.iostream import IOStream

from tests.helpers import Client, Peer, running
from tests.test_net import run


def fail_first(monkeypatch: pytest.MonkeyPatch, call: str, number: int) -> set[int]:
    """The first such call on each connection of the node fails; the connections that it failed on, so far."""
    known = getattr(IOStream, call)
    failed: set[int] = set()

    def failing(self: IOStream, data: Any) -> Any:
        if id(self) not in failed:
            failed.add(id(self))
            raise OSError(number, os.strerror(number))
        return known(self, data)

    monkeypatch.setattr(IOStream, call, failing)
    return failed


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("call", ["read_from_fd", "write_to_fd"])
def test_a_moment_without_memory_ends_no_connection(
    call: str, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither the caller's, whose answer would be lost, nor the server's, which would look like its fault."""

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            failed = fail_first(monkeypatch, call, number)
            client = await Client().open(address)
            client.ask()
            assert (await client.answer()).status == 200
            assert len(peer.requests) == 1 and len(failed) >= 2
            figures = node.counters.read()
            assert figures["attempts_first"] == 1 and "attempts_retried" not in figures

    run(story())


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM])
def test_a_look_that_fails_for_want_of_memory_says_nothing_of_the_caller(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whether a caller is there is looked at before its request is sent on."""
    receive = socket.socket.recv
    looked_at: set[socket.socket] = set()

    def failing(self: socket.socket, size: int, flags: int = 0) -> bytes:
        if flags & socket.MSG_PEEK and self not in looked_at:
            looked_at.add(self)
            raise OSError(number, os.strerror(number))
        return receive(self, size, flags)

    async def story() -> None:
        async with Peer() as peer, running(peer) as (_, address):
            monkeypatch.setattr(socket.socket, "recv", failing)
            client = await Client().open(address)
            client.ask()
            assert (await client.answer()).status == 200 and len(peer.requests) == 1

    run(story())
