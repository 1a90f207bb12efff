"""How a new process of a node joins the serving one and receives the clients' listeners and the node's state.

Both processes accept clients from one queue of connections from then on.
"""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import dataclass

from notchjunction.upgrade.channel import Channel
from notchjunction.upgrade.messages import HandoverError, ListenersReceived, NodeState, ProcessIdentity
from notchjunction.upgrade.shared_folder import HANDOVER_SOCKET, short_path

# For the complete handover; after it, a start without a handover is still ready in time.
JOIN_TIMEOUT_S = 1.5
# Length of the first line, which comes with the listeners.
MAX_IDENTITY_BYTES = 4096
# Listeners that may come with it; one address has one or two.
MAX_LISTENERS = 8


class IdentityMismatchError(HandoverError):
    """The process that listens in the shared folder is of another node or version, or sent no listeners."""

    def __init__(self) -> None:
        super().__init__(
            "the process there is of another node or version, or sent no listeners",
            HANDOVER_SOCKET,
            "give each node its own TMPDIR, and all processes of one node the same GW_NAME and GW_LISTEN",
        )


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a serving process has handed over to this one."""

    listeners: list[socket.socket]
    state: NodeState


async def join_serving_process(folder: str, identity: ProcessIdentity) -> tuple[Channel, InheritedState]:
    """Connects to the serving process, and receives its listeners and its state.

    Raises:
        FileNotFoundError: There is no serving process.
        HandoverError, OSError, ValueError: The handover failed; all sockets are closed.
    """
    sock = socket.socket(socket.AF_UNIX)
    channel: Channel | None = None
    listeners: list[socket.socket] = []
    try:
        sock.setblocking(False)
        async with asyncio.timeout(JOIN_TIMEOUT_S):
            with short_path(folder) as short_folder:
                await asyncio.get_running_loop().sock_connect(sock, f"{short_folder}/{HANDOVER_SOCKET}")
            await _wait_readable(sock)
            text, descriptors, _, _ = socket.recv_fds(sock, MAX_IDENTITY_BYTES, MAX_LISTENERS)
            listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            if not identity.matches(text) or not listeners:
                raise IdentityMismatchError
            channel = await Channel.open(sock)
            channel.send(ListenersReceived())
            state = NodeState.from_object(await channel.receive())
    except BaseException:
        for listener in listeners:
            listener.close()
        if channel is not None:
            channel.abort()
        else:
            sock.close()
        raise
    for listener in listeners:
        listener.setblocking(False)
    return channel, InheritedState(listeners, state)


async def share_listeners(
    sock: socket.socket, identity: ProcessIdentity, listeners: list[socket.socket]
) -> Channel:
    """Sends the listeners to a process that has connected; returns the channel once it has confirmed them.

    Raises:
        HandoverError, OSError: The handover failed or timed out; the connection is closed.
    """
    channel: Channel | None = None
    try:
        async with asyncio.timeout(JOIN_TIMEOUT_S):
            descriptors = [listener.fileno() for listener in listeners]
            socket.send_fds(sock, [json.dumps(identity.to_object()).encode()], descriptors)
            channel = await Channel.open(sock)
            await channel.receive()
    except (HandoverError, OSError):
        if channel is not None:
            channel.abort()
        else:
            sock.close()
        raise
    return channel


async def _wait_readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    readable = asyncio.Event()
    loop.add_reader(sock.fileno(), readable.set)
    try:
        await readable.wait()
    finally:
        loop.remove_reader(sock.fileno())
