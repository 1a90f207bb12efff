"""How a new process of a node joins the serving one and is given the clients' listeners and the node's state.

One queue of connections serves both processes from then on.
"""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import dataclass

from notchjunction.upgrade.channel import Channel
from notchjunction.upgrade.messages import HandoverError, ListenersReceived, NodeState, ProcessIdentity
from notchjunction.upgrade.shared_folder import HANDOVER_SOCKET, short_path

# For the handover as a whole; past it a start without one leaves time enough to be ready.
JOIN_TIMEOUT_S = 1.5
# Of the first line, which comes with the listeners.
MAX_IDENTITY_BYTES = 4096
# Descriptors that may come with it; one address has one or two.
MAX_LISTENERS = 8


class IdentityMismatchError(HandoverError):
    """The process that listens in the shared folder is of another node or release, or has no listener."""

    def __init__(self) -> None:
        super().__init__(
            "another node's, or another version's",
            HANDOVER_SOCKET,
            "give each node its own TMPDIR, and all processes of one node the same GW_NAME and GW_LISTEN",
        )


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a serving process gave this one."""

    listeners: list[socket.socket]
    state: NodeState


async def join_serving_process(folder: str, identity: ProcessIdentity) -> tuple[Channel, InheritedState]:
    """Connects to the process that serves, and takes its listeners and its state.

    Raises FileNotFoundError where there is none, else HandoverError, OSError, ValueError; closes all then.
    """
    sock = socket.socket(socket.AF_UNIX)
    channel: Channel | None = None
    listeners: list[socket.socket] = []
    try:
        sock.setblocking(False)
        async with asyncio.timeout(JOIN_TIMEOUT_S):
            with short_path(folder) as short:
                await asyncio.get_running_loop().sock_connect(sock, f"{short}/{HANDOVER_SOCKET}")
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
    """Gives the listeners to a process that has connected; the channel on which it confirmed that.

    Raises HandoverError or OSError, TimeoutError among them; the connection is closed then.
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
