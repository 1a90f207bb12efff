"""Socket reads and writes that fail because the kernel is briefly out of memory: ENOBUFS or ENOMEM."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest
from tornado.iostream import IOStream

from notchjunction.net.client_listener import reject_unread
from tests.helpers import Client, Peer, running
from tests.test_net import run


def fail_first_call(monkeypatch: pytest.MonkeyPatch, method: str, error_number: int) -> set[int]:
    """Make this method's first call fail on each of the node's streams; return the ids of those streams."""
    original = getattr(IOStream, method)
    failed: set[int] = set()

    def fail_once(self: IOStream, data: Any) -> Any:
        if id(self) not in failed:
            failed.add(id(self))
            raise OSError(error_number, os.strerror(error_number))
        return original(self, data)

    monkeypatch.setattr(IOStream, method, fail_once)
    return failed


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("method", ["read_from_fd", "write_to_fd"])
def test_a_brief_lack_of_kernel_memory_closes_no_connection(
    method: str, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closing the client's would lose the response; closing the server's would look like its fault."""

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            failed = fail_first_call(monkeypatch, method, error_number)
            client = await Client().open(address)
            client.ask()
            assert (await client.answer()).status == 200
            assert len(peer.requests) == 1 and len(failed) >= 2
            counters = node.counters.read()
            assert counters["attempts_first"] == 1 and "attempts_retried" not in counters

    run(scenario())


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM])
def test_a_peek_that_fails_for_lack_of_memory_does_not_mark_the_client_as_gone(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node peeks at the client's socket before it forwards a request."""
    original_recv = socket.socket.recv
    peeked: set[socket.socket] = set()

    def fail_first_peek(self: socket.socket, size: int, flags: int = 0) -> bytes:
        if flags & socket.MSG_PEEK and self not in peeked:
            peeked.add(self)
            raise OSError(error_number, os.strerror(error_number))
        return original_recv(self, size, flags)

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (_, address):
            monkeypatch.setattr(socket.socket, "recv", fail_first_peek)
            client = await Client().open(address)
            client.ask()
            assert (await client.answer()).status == 200 and len(peer.requests) == 1

    run(scenario())


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("method", ["send", "recv"])
def test_a_client_that_is_rejected_unread_gets_its_response_despite_a_brief_lack_of_memory(
    method: str, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a close with no response written, or over unread bytes, which resets the connection."""
    original = getattr(socket.socket, method)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    failed: list[int] = []

    def fail_first_call(self: socket.socket, *arguments: Any) -> Any:
        if self is accepted and not failed:
            failed.append(error_number)
            raise OSError(error_number, os.strerror(error_number))
        return original(self, *arguments)

    monkeypatch.setattr(socket.socket, method, fail_first_call)
    with client:
        client.sendall(b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n")
        reject_unread(accepted)
        assert failed and client.recv(1000).startswith(b"HTTP/1.1 503 ")
        assert client.recv(1000) == b""
