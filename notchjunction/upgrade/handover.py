"""The handover between processes of one node: listeners, state, operators' commands, and streams.

The serving process listens on a Unix socket in a folder that all processes of the node share. The next one
connects and receives the clients' listening sockets, so that both accept from one queue, and the state that
it needs to be ready at once. The channel stays open while both processes run; its end means that the other
one has ended. A process that shuts down migrates its open streams over a second socket in that folder.
"""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import os
import socket
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from typing import Any, Protocol

from notchjunction.net.descriptors import SHORTAGE_ERRNOS, SHORTAGE_PAUSE_S
from notchjunction.safety.request_ids import RequestIds
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs
from notchjunction.upgrade.channel import Channel, Reply
from notchjunction.upgrade.listener_sharing import (
    InheritedState,
    join_serving_process,
    share_listeners,
)
from notchjunction.upgrade.messages import (
    Acknowledgement,
    CommandMessage,
    Denial,
    HandoverError,
    NodeState,
    PeerMessage,
    ProcessIdentity,
    ReadyMessage,
    ResourceUsage,
    decode,
)
from notchjunction.upgrade.request_claims import RequestClaims
from notchjunction.upgrade.shared_folder import (
    HANDOVER_SOCKET,
    STREAMS_SOCKET,
    FileIdentity,
    publish,
    short_path,
)

log = logging.getLogger(__name__)

# Sockets that come with a migrated stream: the client's, and the upstream one of an unfinished response.
MAX_STREAM_SOCKETS = 2
# Size of a migrated stream's message: its state, and the part of the response that was not read yet.
MAX_STREAM_BYTES = 512 * 1024
STREAM_BACKLOG = 16
# Between reports of each process's resource usage; short against the time in which clients arrive.
USAGE_INTERVAL_S = 0.05


class HandoverTarget(Protocol):
    """What the handover needs of the node."""

    def now(self) -> float:
        """Returns the present moment (s) on the node's clock."""

    def listeners(self) -> list[socket.socket]:
        """Returns the sockets on which the node listens for clients."""

    def state(self) -> NodeState:
        """Returns what the next process needs to be ready at once."""

    def usage(self) -> ResourceUsage:
        """Returns the descriptors that this process uses and the clients it has."""

    def apply_operator_command(self, command: str, value: Any) -> None:
        """Applies a command that an operator sent to another process of the node."""

    def peers_changed(self) -> None:
        """Called when another process has joined, become ready or left."""

    def adopt_stream(self, state: Mapping[str, Any], client: socket.socket, upstream: socket.socket) -> None:
        """Continues a response that another process of the node began to forward."""

    def adopt_upload(self, state: Mapping[str, Any], client: socket.socket) -> None:
        """Takes over a client that another process has answered and that still sends its request body."""

    def peer_usage_changed(self) -> None:
        """Called when another process has reported its resource usage, or has left."""


class Handover:
    """This process's part in handovers, in both roles: it joins a serving process, then serves later ones."""

    def __init__(
        self,
        folder: str,
        identity: ProcessIdentity,
        node: HandoverTarget,
        counters: Counters,
        request_ids: RequestIds,
    ) -> None:
        self._folder = folder
        self._identity = identity
        self._node = node
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._handover_file: FileIdentity | None = None
        self._streams_file: FileIdentity | None = None
        self._retry_call: asyncio.TimerHandle | None = None  # publishes the handover socket again
        self._channels: list[Channel] = []
        self.claims = RequestClaims(request_ids, node.now, lambda: self._channels)
        self._successor_replaced = False  # the successor has gone, and a later process serves in its place
        self._stream_sockets: list[socket.socket] = []  # the listener for streams, then connected senders
        self._sender_failure_logged = False
        self._streams_shut_down = False  # new streams are refused; those already queued are still read
        self.has_queued_streams = False  # some of those may be queued, for lack of a descriptor
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def peer_count(self) -> int:
        """The number of other processes of the node."""
        return len(self._channels)

    @property
    def has_successor(self) -> bool:
        """Whether another process is ready to serve after this one has ended."""
        return self._successor_replaced or any(channel.is_ready for channel in self._channels)

    def peer_usage(self) -> ResourceUsage:
        """Returns what all other processes of the node use together."""
        return ResourceUsage(
            sum(channel.usage.descriptors for channel in self._channels),
            sum(channel.usage.clients for channel in self._channels),
        )

    @property
    def is_offered(self) -> bool:
        """Whether the next process can find this one."""
        return self._listener is not None

    # The process that joins.

    async def join(self) -> InheritedState | None:
        """Returns what a serving process hands over; None if there is none or the handover fails."""
        try:
            return await self._join()
        except (HandoverError, OSError, TimeoutError, ValueError) as error:
            if not isinstance(error, FileNotFoundError):
                self._counters.add("handovers_failed")
                log.warning("handover failed", extra=pairs(why=repr(error)))
            return None

    async def _join(self) -> InheritedState:
        channel, inherited = await join_serving_process(self._folder, self._identity)
        channel.is_to_predecessor = True
        self._add_channel(channel)
        self._counters.add("handovers_received")
        return inherited

    # The process that serves.

    def offer(self) -> None:
        """Publishes the handover socket for the next process, atomically replacing an older one.

        If no descriptor is available, it is tried again after a short pause.
        """
        self._try_offer(self.offer)

    def _try_offer(self, retry: Callable[[], None]) -> None:
        is_retry = self._retry_call is not None
        self._withdraw()
        try:
            self._listener = socket.socket(socket.AF_UNIX)
            self._listener.setblocking(False)
            with short_path(self._folder) as folder:
                self._handover_file = publish(self._listener, folder, HANDOVER_SOCKET)
                self._listen_for_streams(folder)
            self._watch(self._listener, self._accept)
        except OSError as error:
            if not is_retry:
                log.warning("handover unavailable", extra=pairs(why=error))
            if self._listener is not None:
                self._listener.close()
                self._listener = None
            if error.errno in SHORTAGE_ERRNOS:
                # Guards against a next process that finds no socket, for a momentary lack of descriptors.
                self._retry_call = self._loop.call_later(SHORTAGE_PAUSE_S, retry)
        for channel in self._channels:
            channel.send(ReadyMessage())

    def _reclaim_socket_path(self) -> None:
        """Publishes the handover socket again after the successor has gone, unless another process serves."""
        if self.has_successor:
            return
        try:
            if not self._owns_socket_path():
                StreamSender(self._folder, self._is_own_socket).close()
                self._successor_replaced = True
            return
        except OSError as error:
            if error.errno in (*SHORTAGE_ERRNOS, errno.EAGAIN):
                # Guards against replacing a live process's socket: the error doesn't tell whether it runs.
                self._retry_call = self._loop.call_later(SHORTAGE_PAUSE_S, self._reclaim_socket_path)
                return
        # Guards against a next process that finds the socket of an ended one, and so starts without the bans.
        self._try_offer(self._reclaim_socket_path)

    def _owns_socket_path(self) -> bool:
        if self._listener is None:
            return False
        with short_path(self._folder) as folder:
            return FileIdentity.of(f"{folder}/{HANDOVER_SOCKET}") == self._handover_file

    def _listen_for_streams(self, folder: str) -> None:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._stream_sockets.append(listener)
        listener.setblocking(False)
        self._streams_file = publish(listener, folder, STREAMS_SOCKET, STREAM_BACKLOG)
        self._streams_shut_down = False
        self._watch(listener, self._accept_sender)

    def _watch(self, sock: socket.socket, callback: Callable[[socket.socket], Any]) -> None:
        """Watches a listener or sender for input, unless it was closed, or is shut down and drained."""
        is_drained = (
            self._streams_shut_down and bool(self._stream_sockets) and sock is self._stream_sockets[0]
        )
        if sock is self._listener or (sock in self._stream_sockets and not is_drained):
            self._loop.add_reader(sock.fileno(), callback, sock)

    def _accept_failed(
        self, error: OSError, listener: socket.socket, callback: Callable[[socket.socket], Any]
    ) -> None:
        if error.errno in SHORTAGE_ERRNOS:
            self._retry_reading(listener, callback)

    def _retry_reading(self, sock: socket.socket, callback: Callable[[socket.socket], Any]) -> None:
        """Stops watching a socket for a short pause, after a lack of descriptors.

        Guards against a busy loop of failures: the socket stays readable.
        """
        self._counters.add("accepts_failed")
        self._loop.remove_reader(sock.fileno())
        self._loop.call_later(SHORTAGE_PAUSE_S, self._watch, sock, callback)
        self.has_queued_streams = self._streams_shut_down

    def _accept_sender(self, listener: socket.socket) -> bool:
        try:
            sender, _ = listener.accept()
        except OSError as error:
            self._accept_failed(error, listener, self._accept_sender)
            return False
        sender.setblocking(False)
        self._stream_sockets.append(sender)
        self._loop.add_reader(sender.fileno(), self._receive_stream, sender)
        return True

    def accept_last_streams(self) -> None:
        """Refuses further streams, and receives those that are already queued.

        Guards against losing a stream that is sent to this process while it ends: a sender that finds the
        queue shut down gets an error and keeps the stream.
        """
        if not self._stream_sockets:
            return
        listener = self._stream_sockets[0]
        # Guards against a busy loop of failures: a socket that is shut down stays readable.
        self._streams_shut_down = True
        self._loop.remove_reader(listener.fileno())
        self.has_queued_streams = False
        with suppress(OSError):
            listener.shutdown(socket.SHUT_RD)
        while self._accept_sender(listener):
            pass
        for sender in self._stream_sockets[1:]:
            with suppress(OSError):
                sender.shutdown(socket.SHUT_RD)
            while sender in self._stream_sockets and self._receive_stream(sender):
                pass

    def _receive_stream(self, sender: socket.socket) -> bool:
        """Receives one stream, or closes the connection of a sender that has ended or failed.

        Returns False if nothing could be received now.
        """
        if not _has_descriptors(MAX_STREAM_SOCKETS, sender):
            self._retry_reading(sender, self._receive_stream)
            return False
        sockets: list[socket.socket] = []
        try:
            text, descriptors, _, _ = socket.recv_fds(sender, MAX_STREAM_BYTES, MAX_STREAM_SOCKETS)
            sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            if text:
                for sock in sockets:
                    sock.setblocking(False)
                self._adopt(json.loads(text), sockets)
                return True
        except BlockingIOError:
            return False
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.warning("stream adoption failed", extra=pairs(why=repr(error)))
        for sock in sockets:
            sock.close()
        self._loop.remove_reader(sender.fileno())
        self._stream_sockets.remove(sender)
        sender.close()
        return True

    def _adopt(self, state: Mapping[str, Any], sockets: list[socket.socket]) -> None:
        """Adopts a stream: a response in progress with two sockets, an answered client's upload with one."""
        match sockets:
            case [client, upstream]:
                self._node.adopt_stream(state, client, upstream)
            case [client]:
                self._node.adopt_upload(state, client)
            case _:
                raise ValueError("the message came without a socket")

    def open_stream_sender(self) -> StreamSender | None:
        """Returns a sender of open streams to the successor; None if it cannot be reached now."""
        try:
            sender = StreamSender(self._folder, self._is_own_socket)
        except OSError as error:
            if not self._sender_failure_logged:
                log.warning("stream migration unavailable", extra=pairs(why=error))
            self._sender_failure_logged = True
            return None
        self._sender_failure_logged = False
        return sender

    def _is_own_socket(self, path: str) -> bool:
        """Returns whether the path leads to this process's stream socket.

        Guards against migrating streams to this process itself, when it has just published its socket again.
        """
        return FileIdentity.of(path) == self._streams_file

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except OSError as error:
            self._accept_failed(error, listener, self._accept)
            return
        sock.setblocking(False)
        self._start_task(self._hand_over(sock))

    async def _hand_over(self, sock: socket.socket) -> None:
        try:
            channel = await share_listeners(sock, self._identity, self._node.listeners())
        except (HandoverError, OSError) as error:
            log.warning("handover failed", extra=pairs(why=repr(error)))
            return
        # No await until the channel is added, so that later messages follow the state on the channel.
        channel.send(self._node.state())
        self.claims.send_taken(channel)
        self._counters.add("handovers_served")
        log.info("successor joined", extra=pairs(others=self.peer_count + 1))
        self._add_channel(channel)

    # Both roles.

    async def send_command(self, command: str, value: Any) -> bool:
        """Sends an operator's command to all other processes; returns whether all acknowledged it."""
        return all(
            await asyncio.gather(*(channel.send_command(command, value) for channel in self._channels))
        )

    def _add_channel(self, channel: Channel) -> None:
        self._channels.append(channel)
        self._node.peers_changed()
        self._start_task(self._receive_messages(channel))
        self._start_task(self._report_usage(channel))

    async def _report_usage(self, channel: Channel) -> None:
        while channel in self._channels:
            channel.send(self._node.usage())
            await asyncio.sleep(USAGE_INTERVAL_S)

    async def _receive_messages(self, channel: Channel) -> None:
        try:
            while True:
                if (message := decode(await channel.receive())) is not None:
                    self._handle_message(channel, message)
        except (HandoverError, ValueError, TypeError):
            pass
        finally:
            channel.close()
            if channel in self._channels:
                self._channels.remove(channel)
                self.claims.process_left(channel)
                self._node.peers_changed()
                self._node.peer_usage_changed()
                log.info("peer process left", extra=pairs(others=self.peer_count))
                if channel.is_ready and not self.has_successor:
                    self._reclaim_socket_path()

    def _handle_message(self, channel: Channel, message: PeerMessage) -> None:
        match message:
            case CommandMessage(number, command, value):
                self._node.apply_operator_command(command, value)
                channel.send(Acknowledgement(number))
            case Acknowledgement(number):
                channel.answered(number, Reply.ACKNOWLEDGED)
            case Denial(number):
                channel.answered(number, Reply.DENIED)
            case ResourceUsage() as usage:
                channel.usage = usage
                self._node.peer_usage_changed()
            case ReadyMessage():
                channel.is_ready = True
                self._node.peers_changed()
            case _:
                self.claims.receive(channel, message)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.add_failure("handover task failed", error)

    def _withdraw(self) -> None:
        """Removes this process's handover socket from the folder, and closes listeners and senders."""
        if self._retry_call is not None:
            self._retry_call.cancel()
            self._retry_call = None
        if self._listener is not None:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None
            with suppress(OSError), short_path(self._folder) as folder:
                # Unless another process has published its own there.
                if FileIdentity.of(f"{folder}/{HANDOVER_SOCKET}") == self._handover_file:
                    os.unlink(f"{folder}/{HANDOVER_SOCKET}")
        self._streams_file = None  # its inode number may be reused from now on
        while self._stream_sockets:
            sock = self._stream_sockets.pop()
            self._loop.remove_reader(sock.fileno())
            sock.close()

    def close(self) -> None:
        """Closes all channels, withdraws the offer and cancels all tasks."""
        channels, self._channels = self._channels, []
        for channel in channels:
            channel.close()
        self._withdraw()
        for task in self._tasks:
            task.cancel()


class StreamSender:
    """Sends open streams to the process that has published the stream socket, or to the one that replaces it.

    `is_own_path` returns whether this process itself listens at a socket's path. The constructor raises
    OSError if no other process does.
    """

    def __init__(self, folder: str, is_own_path: Callable[[str], bool] = lambda _: False) -> None:
        self._folder = folder
        self._is_own_path = is_own_path
        self._sock = self._connect()

    def _connect(self) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_STREAM_BYTES)
            sock.setblocking(False)
            with short_path(self._folder) as folder:
                if self._is_own_path(f"{folder}/{STREAMS_SOCKET}"):
                    raise ConnectionRefusedError(errno.ECONNREFUSED, "no other process")
                sock.connect(f"{folder}/{STREAMS_SOCKET}")
        except OSError:
            sock.close()
            raise
        return sock

    def __call__(self, state: Mapping[str, Any], *sockets: socket.socket) -> bool:
        """Sends one stream with its sockets; returns False if it failed.

        Raises:
            BlockingIOError: The other process's queue is full, or no descriptor is left; a retry may succeed.
        """
        message = json.dumps(state).encode()
        descriptors = [sock.fileno() for sock in sockets]
        try:
            try:
                socket.send_fds(self._sock, [message], descriptors)
            except BlockingIOError:
                raise  # the queue is full for now
            except OSError:
                # Guards against responses that are cut off because a third process replaced the socket since.
                self._reconnect()
                socket.send_fds(self._sock, [message], descriptors)
        except BlockingIOError:
            raise
        except OSError as error:
            log.warning("stream migration failed", extra=pairs(why=error))
            return False
        return True

    def _reconnect(self) -> None:
        try:
            sock = self._connect()
        except OSError as error:
            if error.errno in SHORTAGE_ERRNOS:
                raise BlockingIOError(error.errno, "no descriptor is available now") from error
            raise
        self._sock.close()
        self._sock = sock

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()


def _has_descriptors(count: int, sock: socket.socket) -> bool:
    """Returns whether so many descriptors are available, by opening and closing them.

    Guards against losing the sockets of a message: the operating system drops those for which the receiver
    has no descriptor.
    """
    duplicates: list[int] = []
    try:
        for _ in range(count):
            duplicates.append(os.dup(sock.fileno()))
    except OSError as error:
        return error.errno not in SHORTAGE_ERRNOS
    finally:
        for descriptor in duplicates:
            os.close(descriptor)
    return True
