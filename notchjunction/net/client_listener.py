"""The listener: who is let in, and who makes room where descriptors are short."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
from collections.abc import Callable, Collection, Coroutine, Mapping
from contextlib import suppress
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer
from notchjunction.net.body_streaming import Download, StreamBuffers
from notchjunction.net.client_connection import ClientConnection
from notchjunction.net.client_context import Admit, StartRequest, StreamMigrator
from notchjunction.net.client_state import ConnectionPhases
from notchjunction.net.client_stream import ClientStream
from notchjunction.net.descriptor_pressure import DescriptorPressure, Verdict
from notchjunction.net.descriptors import SHORT, SHORT_PAUSE, Descriptors
from notchjunction.net.event_loop import waited_most
from notchjunction.net.socket_stream import give_up
from notchjunction.net.upstream_connection import BUFFER_MOST, PIECE
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait to be accepted; a burst of callers, also after a restart
ACCEPT_MOST = 16  # connections accepted at one go; jobs get their turn in between, however many knock
# What the system says at an accept of that one connection, and not of the listener (accept(2)).
ONE_FAILED = (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTUNREACH)
LINGER_WITHIN = 0.5  # s of reading on after the last answer, so that a reset does not destroy it on its way
LINGER_LAST = 0.2  # s of it once all has to be answered: the kill may come 0.3 s after that
ROOM_LOOK = 0.01  # s between looks for room past the margin, while callers wait; refusals take less
ROOM_WITHIN = 0.3  # s that they wait for it, then they are refused; most deadlines are longer
REFUSAL = encode_answer(Answer(503, keep=False))
SHORT_SAID = 10.0  # s in which one line says that the operating system has no descriptor for a caller


def _refuse_unread(connection: socket.socket) -> None:
    """Answers 503 and closes at once, whatever was asked: no descriptor is left to read it with.

    Nothing of it ran. What has come is thrown away, as a close over it would be a reset that may destroy the
    answer; a request that comes later finds the answer, too, as the operating system gives that out first.
    """
    with suppress(OSError):
        connection.send(REFUSAL, socket.MSG_DONTWAIT)
    give_up(connection)
    connection.close()


class ClientListener:
    def __init__(
        self,
        clock: Callable[[], float],
        take: StartRequest,
        ready: Callable[[], bool],
        spare_one: Callable[[], bool],
        profiles: Collection[str],
        descriptors: Descriptors,
        counters: Counters,
        streams: StreamBuffers,
        admit: Admit | None = None,
    ) -> None:
        self.clock = clock
        self.admit = admit
        self.streams = streams
        self.take = take
        self.ready = ready
        self.profiles = profiles
        self.counters = counters
        self.descriptors = descriptors
        self._loop = asyncio.get_running_loop()
        self.listeners: list[socket.socket] = []
        self._callers: dict[ClientConnection, asyncio.Task[None]] = {}
        self.phases = ConnectionPhases()
        self._pressure = DescriptorPressure(
            lambda: self.clock(), self.phases, descriptors, spare_one, counters
        )
        self.ids: set[str] = set()  # of the jobs that are held
        self._limited = False
        self._short_said = -math.inf
        self._paused = False
        self._stops = False
        self._waiting: socket.socket | None = None  # past the margin; those after it are in the queue
        self._waits_since: float | None = None
        self._look: asyncio.TimerHandle | None = None  # nobody is let in before it
        self._queued_since = 0.0  # s; since when those in the queue may wait there
        self._left_at = 0.0  # s; when it was left, last, with some in it maybe
        self.draining = False
        self.parting = False
        self.last = False  # by now all has to be answered
        self.mover: StreamMigrator | None = None
        self.moving = asyncio.Event()
        counters.gauge("client_connections_open", lambda: descriptors.callers)
        counters.gauge("client_connections_idle", lambda: len(self.phases.idle))

    @property
    def connected(self) -> int:
        return len(self._callers) + (self._waiting is not None)

    @property
    def queued(self) -> bool:
        """Whether callers may wait who are to be let in before the node ends, if it can be in time."""
        return self._stops and bool(self.listeners) and not self.last

    def open(self, address: Address, shared: bool = False) -> None:
        """Lets callers in; where it is shared, another process may bind the same address."""
        self.adopt(bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=shared))

    def adopt(self, listeners: list[socket.socket]) -> None:
        self.listeners = listeners
        self._paused = False
        # Guards against a caller of the first moment that passes for one of long ago.
        self._queued_since = self.clock()
        if self._stops:
            # Guards against letting callers in up to the node's end: their list has come only now.
            self.stop()
        self._listen()

    def _listen(self) -> None:
        if not self._paused and self._look is None:
            self._left_at = self.clock()
            for listener in self.listeners:
                self._loop.add_reader(listener.fileno(), self._accept, listener)

    def pause(self) -> None:
        """Lets nobody in; another process has the same queue, which outlives it while it is open here too."""
        self._paused = True
        for listener in self.listeners:
            self._loop.remove_reader(listener.fileno())

    def _hold_off(self, seconds: float) -> None:
        """Lets nobody in for so long; callers wait in the queue."""
        for listener in self.listeners:
            self._loop.remove_reader(listener.fileno())
        self._look = self._loop.call_later(seconds, self._look_again)

    def _look_again(self) -> None:
        self._look = None
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            self._let_in(waiting)
        if self._stops:
            self.stop()
        else:
            self._listen()

    def go_on(self) -> None:
        """Lets callers in again after a pause."""
        self.adopt(self.listeners)

    def stop(self) -> None:
        """Lets nobody in from now on but those who wait."""
        self._stops = True
        for listener in self.listeners:
            # Guards against a reset for each that waits: closing a listener ends them unheard.
            while self._accept(listener) == ACCEPT_MOST:
                pass
        if self._look is None:
            self.close_listeners()

    def close_listeners(self) -> None:
        while self.listeners:
            listener = self.listeners.pop()
            self._loop.remove_reader(listener.fileno())
            listener.close()

    def _accept(self, listener: socket.socket) -> int:
        """How many came in at one go."""
        came_after = self.clock() - waited_most()
        if came_after > self._left_at:
            # The loop has waited since: nobody was there then.
            self._queued_since = came_after
        for count in range(ACCEPT_MOST):
            if self._look is not None:
                return count
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                self._waits_since = None
                return count
            except OSError as error:
                # Guards against a caller gone before it was let in, and descriptors that others use up.
                self.counters.add("accepts_failed")
                short = error.errno in SHORT
                if not short or self.clock() > self._short_said + SHORT_SAID:
                    log.warning("accept failed", extra=pairs(why=error))
                    self._short_said = self.clock() if short else self._short_said
                if error.errno in ONE_FAILED or (short and self._pressure.press()):
                    # Guards against resets for all behind that one, as where the listener is closed next.
                    continue
                if short:
                    # Guards against a loop that does nothing but fail: the listener stays readable.
                    self._hold_off(SHORT_PAUSE)
                self._left_at = self.clock()
                return count
            self._let_in(connection)
        self._left_at = self.clock()
        return ACCEPT_MOST

    def _let_in(self, connection: socket.socket) -> None:
        verdict = self._pressure.judge()
        if verdict is Verdict.WAIT:
            self._keep_waiting(connection)
            return
        self._waits_since = None
        full = verdict is Verdict.REJECT
        self.descriptors.take_caller()
        self.counters.add("client_connections_opened")
        if full:
            self.counters.add("client_connections_rejected")
        if full and not self._limited:
            log.warning(
                "descriptor limit reached", extra=pairs(limit="descriptors", in_use=self.descriptors.held)
            )
        self._limited = full
        stream = ClientStream(connection, max_buffer_size=BUFFER_MOST, read_chunk_size=PIECE)
        caller = ClientConnection(self, stream, full)
        caller.note_queued(self._queued_since)
        self._callers[caller] = self._loop.create_task(self._serve(caller, caller.converse()))

    def _keep_waiting(self, connection: socket.socket) -> None:
        """Past the margin, and nobody can go: those who come next wait where they take no descriptor.

        Guards against a moment's crowd that is refused; who waits in vain is told soon.
        """
        now = self.clock()
        if self._waits_since is None:
            self._waits_since = now
        if now < self._waits_since + ROOM_WITHIN:
            self._waiting = connection
            self._hold_off(ROOM_LOOK)
        else:
            self.counters.add("client_connections_dropped")
            _refuse_unread(connection)

    def close_oldest(self) -> bool:
        """Closes the client that has been idle longest, else one that has sent nothing since it came."""
        return self._pressure.close_oldest()

    async def _serve(self, caller: ClientConnection, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except StreamClosedError:
            pass
        except Exception as error:
            self.counters.add_failure("client connection failed", error)
        finally:
            caller.close()
            del self._callers[caller]

    def drain(self) -> None:
        """The node says from now on that it is not ready for more callers."""
        self.draining = True

    def part(self) -> None:
        """Answers say from now on that the connection closes."""
        self.parting = True

    def move_streams(self, mover: StreamMigrator) -> None:
        """From now on answers under way go to another process of the node, between two of their pieces."""
        self.mover = mover
        self.moving.set()

    def keep_streams(self) -> None:
        """They stay from now on: the process that they went to has gone."""
        self.mover = None
        self.moving.clear()

    def turn_back_uploads(self) -> None:
        """What is not whole by the node's end never ran."""
        self.last = True
        for caller in list(self._callers):
            caller.reject_upload()

    def linger_within(self) -> float:
        """s that a caller is read from after its last answer."""
        return LINGER_LAST if self.last else LINGER_WITHIN

    def adopt_stream(self, state: Mapping[str, Any], caller_sock: socket.socket, download: Download) -> None:
        """A caller whose answer another process of this node began to pass on."""
        caller = self._adopted(caller_sock, "streams_adopted")
        self._callers[caller] = self._loop.create_task(self._serve(caller, caller.resume(state, download)))

    def adopt_rest(self, state: Mapping[str, Any], caller_sock: socket.socket) -> None:
        """A caller who has its answer from another process of this node, and still sends its body."""
        caller = self._adopted(caller_sock, "uploads_adopted")
        self._callers[caller] = self._loop.create_task(self._serve(caller, caller.resume_upload(state)))

    def _adopted(self, caller_sock: socket.socket, counter: str) -> ClientConnection:
        self.descriptors.take_caller()
        self.counters.add(counter)
        stream = ClientStream(caller_sock, max_buffer_size=BUFFER_MOST, read_chunk_size=PIECE)
        return ClientConnection(self, stream, over_limit=False)

    def serve(self) -> None:
        """Takes both back: the node is ready for more, and connections are kept."""
        self.draining = self.parting = False

    def close_idle(self, least: float = 0.0) -> None:
        """Closes callers with no request open, but for those that have stood so for less time."""
        since = self.clock() - least
        for caller in list(self._callers):
            if self.phases.idle.get(caller, self.phases.silent.get(caller, 0.0)) <= since:
                caller.end_if_idle()
