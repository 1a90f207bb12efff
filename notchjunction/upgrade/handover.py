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
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from notchjunction.net.descriptors import SHORT, SHORT_PAUSE
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

FILE = "notchjunction.handover"  # in the shared folder, which is the node's own
VERSION = 1  # of what is said on the channel; another one is not followed
JOINED_WITHIN = (
    1.5  # s for the handover as a whole; past it a start without one leaves time enough to be ready
)
ACKED_WITHIN = 0.6  # s for the other process to do as told; operators wait 1 s at most
FIRST_MOST = 4096  # bytes of the first line, which comes with the listeners
LISTENERS_MOST = 8  # descriptors that may come with it; one address has one or two
STREAMS = "notchjunction.streams"  # where the serving process takes answers under way; one message each
STREAM_SOCKETS = 2  # connections that come with such a message at most: a caller's and its server's
STREAM_MOST = 512 * 1024  # bytes of such a message: a state, and what of an answer was not read yet
BACKLOG = 16
LINE_MOST = 8 * 1024 * 1024  # bytes of a line; the list of tens of thousands of servers
TOLD_EVERY = 0.05  # s between words on what each uses; short against the time in which callers come


class HandoverFailed(Exception):
    """The other side is no process of this node, or has gone."""


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a serving process gave this one."""

    listeners: list[socket.socket]
    state: Mapping[str, Any]


class HandoverTarget(Protocol):
    """What the handover needs of the node."""

    def listeners(self) -> list[socket.socket]: ...

    def state(self) -> dict[str, Any]: ...

    def usage(self) -> dict[str, int]: ...

    def told(self, word: str, value: Any) -> None: ...

    def others_changed(self) -> None: ...

    def adopt_stream(
        self, state: Mapping[str, Any], caller: socket.socket, server: socket.socket
    ) -> None: ...

    def adopt_rest(self, state: Mapping[str, Any], caller: socket.socket) -> None: ...

    def used_elsewhere(self) -> None: ...


class Channel:
    """One other process of the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.usage: Mapping[str, int] = {}
        self.ready = False  # whether it has said so: it serves on when this process ends
        self._said = 0
        self._awaited: dict[int, asyncio.Future[bool]] = {}

    def say(self, **words: Any) -> None:
        self._writer.write(json.dumps(words).encode() + b"\n")

    async def hear(self) -> dict[str, Any]:
        try:
            line = await self._reader.readline()
            found = json.loads(line)
        except (OSError, ValueError, asyncio.LimitOverrunError) as error:
            raise HandoverFailed(str(error)) from error
        if not isinstance(found, dict):
            raise HandoverFailed("no object")
        return found

    async def tell(self, word: str, value: Any) -> bool:
        """Says it and waits until it is done there; one that has gone has nothing left to do."""
        if self._writer.is_closing():
            return True  # since it was listed among those to be told
        self._said += 1
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._awaited[self._said] = done
        self.say(tell=self._said, word=word, value=value)
        try:
            async with asyncio.timeout(ACKED_WITHIN):
                return await done
        except TimeoutError:
            return False
        finally:
            self._awaited.pop(self._said, None)

    def acked(self, number: int) -> None:
        done = self._awaited.get(number)
        if done is not None and not done.done():
            done.set_result(True)

    def abort(self) -> None:
        """Ends it at once. Guards against a loop that goes on watching the number of a closed descriptor."""
        self._writer.transport.abort()

    def close(self) -> None:
        self._writer.close()
        for number in list(self._awaited):
            self.acked(number)


class Handover:
    def __init__(
        self, folder: str, identity: Mapping[str, str], node: HandoverTarget, counters: Counters
    ) -> None:
        self._folder = folder
        self._identity = {**identity, "version": str(VERSION)}
        self._node = node
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._listener: socket.socket | None = None
        self._file_is: tuple[int, int] | None = None
        self._streams_are: tuple[int, int] | None = None
        self._again: asyncio.TimerHandle | None = None  # when it is tried again to have the place
        self._channels: list[Channel] = []
        self._succeeded = False  # by a process that came after the one which followed
        self._taking: list[socket.socket] = []  # the listener for streams, and those who give some
        self._cant_give = False  # and one line has said so
        self._shut = False  # nobody can give streams any more; those who did by now are let in
        self.queued = False  # whether some of those may wait, as there was no descriptor for them
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def others(self) -> int:
        return len(self._channels)

    @property
    def followed(self) -> bool:
        """Whether another process is ready to serve in this one's place."""
        return self._succeeded or any(channel.ready for channel in self._channels)

    def used_elsewhere(self, what: str) -> int:
        return sum(int(channel.usage.get(what, 0)) for channel in self._channels)

    # The process that comes.

    async def join(self) -> InheritedState | None:
        """What a serving process hands over; None where there is none, or it fails in any way."""
        try:
            async with asyncio.timeout(JOINED_WITHIN):
                return await self._join()
        except (HandoverFailed, OSError, TimeoutError, ValueError) as error:
            if not isinstance(error, FileNotFoundError):
                self._counters.add("handovers_failed")
                log.warning("handover failed", extra=pairs(why=repr(error)))
            return None

    async def _join(self) -> InheritedState:
        sock = socket.socket(socket.AF_UNIX)
        channel: Channel | None = None
        listeners: list[socket.socket] = []
        try:
            sock.setblocking(False)
            with _short(self._folder) as folder:
                await self._loop.sock_connect(sock, f"{folder}/{FILE}")
            await self._readable(sock)
            text, descriptors, _, _ = socket.recv_fds(sock, FIRST_MOST, LISTENERS_MOST)
            listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            if json.loads(text or b"null") != self._identity or not listeners:
                raise HandoverFailed("another node's, or another version's")
            reader, writer = await asyncio.open_unix_connection(sock=sock, limit=LINE_MOST)
            channel = Channel(reader, writer)
            channel.say(got=True)
            state = (await channel.hear()).get("state")
            if not isinstance(state, dict):
                raise HandoverFailed("no state")
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
        self._keep(channel)
        self._counters.add("handovers_received")
        return InheritedState(listeners, state)

    async def _readable(self, sock: socket.socket) -> None:
        come = asyncio.Event()
        self._loop.add_reader(sock.fileno(), come.set)
        try:
            await come.wait()
        finally:
            self._loop.remove_reader(sock.fileno())

    # The process that serves.

    def offer(self) -> None:
        """From now on the next process finds this one; whatever lay in its place is replaced at one go.

        Where there is no descriptor for it now, it is tried again a little later.
        """
        self._offer(self.offer)

    def _offer(self, again: Callable[[], None]) -> None:
        tried = self._again is not None
        self._withdraw()
        try:
            self._listener = socket.socket(socket.AF_UNIX)
            self._listener.setblocking(False)
            with _short(self._folder) as folder:
                # A name of its own, renamed: nobody meets a socket that does not listen yet.
                new = f"{folder}/{FILE}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(new)
                self._listener.bind(new)
                self._listener.listen()
                self._file_is = _file(new)
                os.rename(new, f"{folder}/{FILE}")
                self._take_streams(folder)
            self._hear(self._listener, self._accept)
        except OSError as error:
            if not tried:
                log.warning("handover unavailable", extra=pairs(why=error))
            if self._listener is not None:
                self._listener.close()
                self._listener = None
            if error.errno in SHORT:
                # Guards against a next process that finds nobody, for the one moment in which this failed.
                self._again = self._loop.call_later(SHORT_PAUSE, again)
        for channel in self._channels:
            channel.say(ready=True)

    def _take_place_again(self) -> None:
        """The process that followed has gone; unless yet another serves, the next one finds this one."""
        if self.followed:
            return
        try:
            if not self._has_place():
                StreamSender(self._folder, self._is_own).close()
                self._succeeded = True
            return
        except OSError as error:
            if error.errno in (*SHORT, errno.EAGAIN):
                # Guards against putting a live process out of its place: whether one is there isn't known.
                self._again = self._loop.call_later(SHORT_PAUSE, self._take_place_again)
                return
        # Guards against a next process that finds a dead one's socket, and no bans.
        self._offer(self._take_place_again)

    def _has_place(self) -> bool:
        if self._listener is None:
            return False
        with _short(self._folder) as folder:
            return _file(f"{folder}/{FILE}") == self._file_is

    def _take_streams(self, folder: str) -> None:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._taking.append(listener)
        listener.setblocking(False)
        new = f"{folder}/{STREAMS}.{os.getpid()}"
        with suppress(FileNotFoundError):
            os.unlink(new)
        listener.bind(new)
        listener.listen(BACKLOG)
        self._streams_are = _file(new)
        os.rename(new, f"{folder}/{STREAMS}")
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
        if error.errno in SHORT:
            self._put_off(listener, accept)

    def _put_off(self, sock: socket.socket, take: Callable[[socket.socket], Any]) -> None:
        # Guards against a loop that does nothing but fail: the socket stays readable.
        self._counters.add("accepts_failed")
        self._loop.remove_reader(sock.fileno())
        self._loop.call_later(SHORT_PAUSE, self._hear, sock, take)
        self.queued = self._shut

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

    def take_last(self) -> None:
        """Takes in all that was given by now. Guards against a stream that is given to a process as it ends.

        A queue that is shut down is read to its end, and who would add to it fails and keeps the stream.
        """
        if not self._taking:
            return
        listener = self._taking[0]
        # Guards against a loop that does nothing but fail: what is shut down stays readable.
        self._shut = True
        self._loop.remove_reader(listener.fileno())
        self.queued = False
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
        if not _has_descriptors(STREAM_SOCKETS, giver):
            self._put_off(giver, self._take_stream)
            return False
        given: list[socket.socket] = []
        try:
            text, descriptors, _, _ = socket.recv_fds(giver, STREAM_MOST, STREAM_SOCKETS)
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
                self._node.adopt_rest(state, caller)
            case _:
                raise ValueError("no connection came")

    def giver(self) -> StreamSender | None:
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
        return _file(path) == self._streams_are

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except OSError as error:
            self._not_accepted(error, listener, self._accept)
            return
        sock.setblocking(False)
        self._run(self._welcome(sock))

    async def _welcome(self, sock: socket.socket) -> None:
        channel: Channel | None = None
        try:
            async with asyncio.timeout(JOINED_WITHIN):
                descriptors = [listener.fileno() for listener in self._node.listeners()]
                socket.send_fds(sock, [json.dumps(self._identity).encode()], descriptors)
                reader, writer = await asyncio.open_unix_connection(sock=sock, limit=LINE_MOST)
                channel = Channel(reader, writer)
                await channel.hear()
        except (HandoverFailed, OSError, TimeoutError) as error:
            log.warning("handover failed", extra=pairs(why=repr(error)))
            if channel is not None:
                channel.abort()
            else:
                sock.close()
            return
        # In one go: word that comes later follows the state on the channel.
        channel.say(state=self._node.state())
        self._counters.add("handovers_served")
        log.info("successor joined", extra=pairs(others=self.others + 1))
        self._keep(channel)

    # Both.

    async def tell(self, word: str, value: Any) -> bool:
        """Whether all other processes of the node have done as this one was told."""
        return all(await asyncio.gather(*(channel.tell(word, value) for channel in self._channels)))

    def _keep(self, channel: Channel) -> None:
        self._channels.append(channel)
        self._node.others_changed()
        self._run(self._listen(channel))
        self._run(self._talk(channel))

    async def _talk(self, channel: Channel) -> None:
        while channel in self._channels:
            channel.say(usage=self._node.usage())
            await asyncio.sleep(TOLD_EVERY)

    async def _listen(self, channel: Channel) -> None:
        try:
            while True:
                match await channel.hear():
                    case {"tell": int(number), "word": str(word), "value": value}:
                        self._node.told(word, value)
                        channel.say(ack=number)
                    case {"ack": int(number)}:
                        channel.acked(number)
                    case {"usage": dict(usage)}:
                        channel.usage = {str(name): int(value) for name, value in usage.items()}
                        self._node.used_elsewhere()
                    case {"ready": True}:
                        channel.ready = True
                        self._node.others_changed()
        except (HandoverFailed, ValueError, TypeError):
            pass
        finally:
            channel.close()
            if channel in self._channels:
                self._channels.remove(channel)
                self._node.others_changed()
                self._node.used_elsewhere()
                log.info("peer process left", extra=pairs(others=self.others))
                if channel.ready and not self.followed:
                    self._take_place_again()

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
        if self._again is not None:
            self._again.cancel()
            self._again = None
        if self._listener is not None:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None
            with suppress(OSError), _short(self._folder) as folder:
                if _file(f"{folder}/{FILE}") == self._file_is:  # else it is the next process's
                    os.unlink(f"{folder}/{FILE}")
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
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, STREAM_MOST)
            sock.setblocking(False)
            with _short(self._folder) as name:
                if self._own(f"{name}/{STREAMS}"):
                    raise ConnectionRefusedError(errno.ECONNREFUSED, "no other process")
                sock.connect(f"{name}/{STREAMS}")
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
            if error.errno in SHORT:
                raise BlockingIOError(error.errno, "no descriptor for now") from error
            raise
        self._sock.close()
        self._sock = sock

    def close(self) -> None:
        self._sock.close()


class _short:
    """A name of the folder short enough for a socket's address, however long its own is."""

    def __init__(self, folder: str) -> None:
        self._folder = folder

    def __enter__(self) -> str:
        self._descriptor = os.open(Path(self._folder), os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._descriptor}"

    def __exit__(self, *_: object) -> None:
        os.close(self._descriptor)


def _has_descriptors(count: int, sock: socket.socket) -> bool:
    """Guards against what is sent along where there is no descriptor for it: the system lets go of it."""
    tried: list[int] = []
    try:
        for _ in range(count):
            tried.append(os.dup(sock.fileno()))
    except OSError as error:
        return error.errno not in SHORT
    finally:
        for each in tried:
            os.close(each)
    return True


def _file(path: str) -> tuple[int, int]:
    found = os.stat(path)
    return found.st_dev, found.st_ino
