"""What passes between two processes of one node: the listener, the list, operators' word.

The serving process listens on a Unix socket in the folder that both share. The next one connects, is given
the callers' listener itself, so that one queue of connections serves both, and what it needs to be ready. The
channel stays open while both live; its end says that the other one has gone.
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
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs
from notchjunction.upgrade.channel import Channel
from notchjunction.upgrade.listener_sharing import (
    InheritedState,
    join_serving_process,
    share_listeners,
)
from notchjunction.upgrade.messages import (
    Acknowledgement,
    CommandMessage,
    HandoverError,
    NodeState,
    ProcessIdentity,
    ReadyMessage,
    ResourceUsage,
    decode,
)
from notchjunction.upgrade.shared_folder import (
    HANDOVER_SOCKET,
    STREAMS_SOCKET,
    FileIdentity,
    publish,
    short_path,
)

log = logging.getLogger(__name__)

MAX_STREAM_SOCKETS = 2  # connections that come with a migrated stream: a client's and its endpoint's
MAX_STREAM_BYTES = 512 * 1024  # of such a message: a state, and what of a response was not read yet
STREAM_BACKLOG = 16
# Between reports on what each process uses; short against the time in which clients come.
USAGE_INTERVAL_S = 0.05


class HandoverTarget(Protocol):
    """What the handover needs of the node."""

    def listeners(self) -> list[socket.socket]: ...

    def state(self) -> NodeState: ...

    def usage(self) -> ResourceUsage: ...

    def apply_operator_command(self, word: str, value: Any) -> None: ...

    def peers_changed(self) -> None: ...

    def adopt_stream(
        self, state: Mapping[str, Any], caller: socket.socket, server: socket.socket
    ) -> None: ...

    def adopt_upload(self, state: Mapping[str, Any], caller: socket.socket) -> None: ...

    def peer_usage_changed(self) -> None: ...


class Handover:
    def __init__(
        self, folder: str, identity: ProcessIdentity, node: HandoverTarget, counters: Counters
    ) -> None:
        self._folder = folder
        self._identity = identity
        self._node = node
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._file_is: FileIdentity | None = None
        self._streams_are: FileIdentity | None = None
        self._retry: asyncio.TimerHandle | None = None  # when it is tried again to have the place
        self._channels: list[Channel] = []
        self._succeeded = False  # by a process that came after the one which followed
        self._taking: list[socket.socket] = []  # the listener for streams, and those who give some
        self._cant_give = False  # and one line has said so
        self._shut = False  # nobody can give streams any more; those who did by now are let in
        self.has_queued_streams = False  # whether some of those may wait, as there was no descriptor for them
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def peer_count(self) -> int:
        return len(self._channels)

    @property
    def has_successor(self) -> bool:
        """Whether another process is ready to serve in this one's place."""
        return self._succeeded or any(channel.is_ready for channel in self._channels)

    def peer_usage(self) -> ResourceUsage:
        """What all other processes of the node use together."""
        return ResourceUsage(
            sum(channel.usage.descriptors for channel in self._channels),
            sum(channel.usage.clients for channel in self._channels),
        )

    @property
    def is_offered(self) -> bool:
        """Whether the next process can find this one."""
        return self._listener is not None

    # The process that comes.

    async def join(self) -> InheritedState | None:
        """What a serving process hands over; None where there is none, or it fails in any way."""
        try:
            return await self._join()
        except (HandoverError, OSError, TimeoutError, ValueError) as error:
            if not isinstance(error, FileNotFoundError):
                self._counters.add("handovers_failed")
                log.warning("handover failed", extra=pairs(why=repr(error)))
            return None

    async def _join(self) -> InheritedState:
        channel, inherited = await join_serving_process(self._folder, self._identity)
        self._keep(channel)
        self._counters.add("handovers_received")
        return inherited

    # The process that serves.

    def offer(self) -> None:
        """From now on the next process finds this one; whatever lay in its place is replaced at one go.

        Where there is no descriptor for it now, it is tried again a little later.
        """
        self._offer(self.offer)

    def _offer(self, again: Callable[[], None]) -> None:
        tried = self._retry is not None
        self._withdraw()
        try:
            self._listener = socket.socket(socket.AF_UNIX)
            self._listener.setblocking(False)
            with short_path(self._folder) as folder:
                self._file_is = publish(self._listener, folder, HANDOVER_SOCKET)
                self._take_streams(folder)
            self._hear(self._listener, self._accept)
        except OSError as error:
            if not tried:
                log.warning("handover unavailable", extra=pairs(why=error))
            if self._listener is not None:
                self._listener.close()
                self._listener = None
            if error.errno in SHORTAGE_ERRNOS:
                # Guards against a next process that finds nobody, for the one moment in which this failed.
                self._retry = self._loop.call_later(SHORTAGE_PAUSE_S, again)
        for channel in self._channels:
            channel.send(ReadyMessage())

    def _retake_place(self) -> None:
        """The process that followed has gone; unless yet another serves, the next one finds this one."""
        if self.has_successor:
            return
        try:
            if not self._has_place():
                StreamSender(self._folder, self._is_own).close()
                self._succeeded = True
            return
        except OSError as error:
            if error.errno in (*SHORTAGE_ERRNOS, errno.EAGAIN):
                # Guards against putting a live process out of its place: whether one is there isn't known.
                self._retry = self._loop.call_later(SHORTAGE_PAUSE_S, self._retake_place)
                return
        # Guards against a next process that finds a dead one's socket, and no bans.
        self._offer(self._retake_place)

    def _has_place(self) -> bool:
        if self._listener is None:
            return False
        with short_path(self._folder) as folder:
            return FileIdentity.of(f"{folder}/{HANDOVER_SOCKET}") == self._file_is

    def _take_streams(self, folder: str) -> None:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._taking.append(listener)
        listener.setblocking(False)
        self._streams_are = publish(listener, folder, STREAMS_SOCKET, STREAM_BACKLOG)
        self._shut = False
        self._hear(listener, self._accept_giver)

    def _hear(self, listener: socket.socket, accept: Callable[[socket.socket], Any]) -> None:
        """Who knocks is let in, unless the listener was withdrawn by now, or is read to its end."""
        read_out = self._shut and bool(self._taking) and listener is self._taking[0]
        if listener is self._listener or (listener in self._taking and not read_out):
            self._loop.add_reader(listener.fileno(), accept, listener)

    def _not_accepted(
        self, error: OSError, listener: socket.socket, accept: Callable[[socket.socket], Any]
    ) -> None:
        if error.errno in SHORTAGE_ERRNOS:
            self._put_off(listener, accept)

    def _put_off(self, sock: socket.socket, take: Callable[[socket.socket], Any]) -> None:
        # Guards against a loop that does nothing but fail: the socket stays readable.
        self._counters.add("accepts_failed")
        self._loop.remove_reader(sock.fileno())
        self._loop.call_later(SHORTAGE_PAUSE_S, self._hear, sock, take)
        self.has_queued_streams = self._shut

    def _accept_giver(self, listener: socket.socket) -> bool:
        try:
            giver, _ = listener.accept()
        except OSError as error:
            self._not_accepted(error, listener, self._accept_giver)
            return False
        giver.setblocking(False)
        self._taking.append(giver)
        self._loop.add_reader(giver.fileno(), self._take_stream, giver)
        return True

    def accept_last_streams(self) -> None:
        """Takes in all that was given by now. Guards against a stream that is given to a process as it ends.

        A queue that is shut down is read to its end, and who would add to it fails and keeps the stream.
        """
        if not self._taking:
            return
        listener = self._taking[0]
        # Guards against a loop that does nothing but fail: what is shut down stays readable.
        self._shut = True
        self._loop.remove_reader(listener.fileno())
        self.has_queued_streams = False
        with suppress(OSError):
            listener.shutdown(socket.SHUT_RD)
        while self._accept_giver(listener):
            pass
        for giver in self._taking[1:]:
            with suppress(OSError):
                giver.shutdown(socket.SHUT_RD)
            while giver in self._taking and self._take_stream(giver):
                pass

    def _take_stream(self, giver: socket.socket) -> bool:
        """False where nothing could be taken now."""
        if not _has_descriptors(MAX_STREAM_SOCKETS, giver):
            self._put_off(giver, self._take_stream)
            return False
        given: list[socket.socket] = []
        try:
            text, descriptors, _, _ = socket.recv_fds(giver, MAX_STREAM_BYTES, MAX_STREAM_SOCKETS)
            given = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            if text:
                for each in given:
                    each.setblocking(False)
                self._adopt(json.loads(text), given)
                return True
        except BlockingIOError:
            return False
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.warning("stream adoption failed", extra=pairs(why=repr(error)))
        for each in given:
            each.close()
        self._loop.remove_reader(giver.fileno())
        self._taking.remove(giver)
        giver.close()
        return True

    def _adopt(self, state: Mapping[str, Any], given: list[socket.socket]) -> None:
        """With its server an answer under way; alone a caller who has its answer and still sends."""
        match given:
            case [caller, server]:
                self._node.adopt_stream(state, caller, server)
            case [caller]:
                self._node.adopt_upload(state, caller)
            case _:
                raise ValueError("no connection came")

    def open_stream_sender(self) -> StreamSender | None:
        """A way to give answers under way to the process that follows; None where there is none."""
        try:
            giver = StreamSender(self._folder, self._is_own)
        except OSError as error:
            if not self._cant_give:
                log.warning("stream migration unavailable", extra=pairs(why=error))
            self._cant_give = True
            return None
        self._cant_give = False
        return giver

    def _is_own(self, path: str) -> bool:
        """Guards against giving to oneself, as where the place was taken again in this moment."""
        return FileIdentity.of(path) == self._streams_are

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except OSError as error:
            self._not_accepted(error, listener, self._accept)
            return
        sock.setblocking(False)
        self._run(self._welcome(sock))

    async def _welcome(self, sock: socket.socket) -> None:
        try:
            channel = await share_listeners(sock, self._identity, self._node.listeners())
        except (HandoverError, OSError) as error:
            log.warning("handover failed", extra=pairs(why=repr(error)))
            return
        # In one go: word that comes later follows the state on the channel.
        channel.send(self._node.state())
        self._counters.add("handovers_served")
        log.info("successor joined", extra=pairs(others=self.peer_count + 1))
        self._keep(channel)

    # Both.

    async def send_command(self, word: str, value: Any) -> bool:
        """Whether all other processes of the node have done as this one was told."""
        return all(await asyncio.gather(*(channel.send_command(word, value) for channel in self._channels)))

    def _keep(self, channel: Channel) -> None:
        self._channels.append(channel)
        self._node.peers_changed()
        self._run(self._listen(channel))
        self._run(self._talk(channel))

    async def _talk(self, channel: Channel) -> None:
        while channel in self._channels:
            channel.send(self._node.usage())
            await asyncio.sleep(USAGE_INTERVAL_S)

    async def _listen(self, channel: Channel) -> None:
        try:
            while True:
                match decode(await channel.receive()):
                    case CommandMessage(number, command, value):
                        self._node.apply_operator_command(command, value)
                        channel.send(Acknowledgement(number))
                    case Acknowledgement(number):
                        channel.acknowledge(number)
                    case ResourceUsage() as usage:
                        channel.usage = usage
                        self._node.peer_usage_changed()
                    case ReadyMessage():
                        channel.is_ready = True
                        self._node.peers_changed()
        except (HandoverError, ValueError, TypeError):
            pass
        finally:
            channel.close()
            if channel in self._channels:
                self._channels.remove(channel)
                self._node.peers_changed()
                self._node.peer_usage_changed()
                log.info("peer process left", extra=pairs(others=self.peer_count))
                if channel.is_ready and not self.has_successor:
                    self._retake_place()

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.add_failure("handover task failed", error)

    def _withdraw(self) -> None:
        """Nobody finds this process from now on."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._listener is not None:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None
            with suppress(OSError), short_path(self._folder) as folder:
                if (
                    FileIdentity.of(f"{folder}/{HANDOVER_SOCKET}") == self._file_is
                ):  # else it is the next process's
                    os.unlink(f"{folder}/{HANDOVER_SOCKET}")
        self._streams_are = None  # the file's number may be another's from now on
        while self._taking:
            sock = self._taking.pop()
            self._loop.remove_reader(sock.fileno())
            sock.close()

    def close(self) -> None:
        channels, self._channels = self._channels, []
        for channel in channels:
            channel.close()
        self._withdraw()
        for task in self._tasks:
            task.cancel()


class StreamSender:
    """Gives answers under way to the process that has the place now, and once that has gone to the next.

    `own` says of a socket's path whether this process listens there. Raises OSError where nobody else does.
    """

    def __init__(self, folder: str, own: Callable[[str], bool] = lambda _: False) -> None:
        self._folder = folder
        self._own = own
        self._sock = self._open()

    def _open(self) -> socket.socket:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_STREAM_BYTES)
            sock.setblocking(False)
            with short_path(self._folder) as name:
                if self._own(f"{name}/{STREAMS_SOCKET}"):
                    raise ConnectionRefusedError(errno.ECONNREFUSED, "no other process")
                sock.connect(f"{name}/{STREAMS_SOCKET}")
        except OSError:
            sock.close()
            raise
        return sock

    def __call__(self, state: Mapping[str, Any], *sockets: socket.socket) -> bool:
        message = json.dumps(state).encode()
        descriptors = [each.fileno() for each in sockets]
        try:
            try:
                socket.send_fds(self._sock, [message], descriptors)
            except BlockingIOError:
                raise  # for now: its queue is full
            except OSError:
                # Guards against answers that stay as a third process has the place by now, between two looks.
                self._open_anew()
                socket.send_fds(self._sock, [message], descriptors)
        except BlockingIOError:
            raise
        except OSError as error:
            log.warning("stream migration failed", extra=pairs(why=error))
            return False
        return True

    def _open_anew(self) -> None:
        try:
            sock = self._open()
        except OSError as error:
            if error.errno in SHORTAGE_ERRNOS:
                raise BlockingIOError(error.errno, "no descriptor for now") from error
            raise
        self._sock.close()
        self._sock = sock

    def close(self) -> None:
        self._sock.close()


def _has_descriptors(count: int, sock: socket.socket) -> bool:
    """Guards against what is sent along where there is no descriptor for it: the system lets go of it."""
    tried: list[int] = []
    try:
        for _ in range(count):
            tried.append(os.dup(sock.fileno()))
    except OSError as error:
        return error.errno not in SHORTAGE_ERRNOS
    finally:
        for each in tried:
            os.close(each)
    return True
