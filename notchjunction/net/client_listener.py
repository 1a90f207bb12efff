"""Accepts clients: how many at once, who waits while descriptors are short, who is let in at the end."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
from collections.abc import Callable
from contextlib import suppress

from tornado.netutil import bind_sockets

from notchjunction.addresses import Address
from notchjunction.http1.encoder import encode_answer
from notchjunction.http1.messages import Answer
from notchjunction.net.client_registry import ClientRegistry
from notchjunction.net.descriptor_pressure import DescriptorPressure, Verdict
from notchjunction.net.descriptors import SHORT, SHORT_PAUSE
from notchjunction.net.event_loop import waited_most
from notchjunction.net.socket_stream import end_sending_and_discard
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait to be accepted; a burst of clients, also after a restart
ACCEPT_MAX = 16  # connections accepted at one go; requests get their turn in between, however many knock
# What the system says at an accept of that one connection, and not of the listener (accept(2)).
CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
)
ROOM_POLL_INTERVAL_S = (
    0.01  # between looks for room past the margin, while clients wait; rejections take less
)
ROOM_TIMEOUT_S = 0.3  # that they wait for it, then they are rejected; most deadlines are longer
REJECTION = encode_answer(Answer(503, keep=False))
SHORTAGE_LOG_INTERVAL_S = 10.0  # in which one line says that the system has no descriptor for a client


def _reject_unread(connection: socket.socket) -> None:
    """Answers 503 and closes at once, whatever was requested: no descriptor is left to read it with.

    Nothing of it ran. What has come is thrown away, as a close over it would be a reset that may destroy the
    answer; a request that comes later finds the answer, too, as the operating system gives that out first.
    """
    with suppress(OSError):
        connection.send(REJECTION, socket.MSG_DONTWAIT)
    end_sending_and_discard(connection)
    connection.close()


class ClientListener:
    """The listening sockets, and the queue of clients that the operating system keeps behind them."""

    def __init__(self, clients: ClientRegistry, close_idle_upstream: Callable[[], bool]) -> None:
        self.listeners: list[socket.socket] = []
        self._clients = clients
        self._counters = clients.counters
        self._pressure = DescriptorPressure(
            lambda: clients.clock(),
            clients.phases,
            clients.descriptors,
            close_idle_upstream,
            clients.counters,
        )
        self._loop = asyncio.get_running_loop()
        self._shortage_logged_at = -math.inf
        self._paused = False
        self._stopping = False
        self._waiting: socket.socket | None = None  # past the margin; those after it are in the queue
        self._waiting_since: float | None = None
        self._hold_off_call: asyncio.TimerHandle | None = None  # nobody is accepted before it
        self._queued_since = 0.0  # s; since when those in the queue may wait there
        self._queue_checked_at = 0.0  # s; when the queue was looked at last, with some left in it maybe

    @property
    def connected(self) -> int:
        """Clients with a connection that is open here, whether or not it is served yet."""
        return len(self._clients.connections) + (self._waiting is not None)

    @property
    def queued(self) -> bool:
        """Whether clients may wait who are to be accepted before the node ends, if it can be in time."""
        return self._stopping and bool(self.listeners) and not self._clients.final_phase

    def close_oldest(self) -> bool:
        """Closes the client that has been idle longest, else one that has sent nothing since it came."""
        return self._pressure.close_oldest()

    def open(self, address: Address, shared: bool = False) -> None:
        """Accepts clients; where it is shared, another process may bind the same address."""
        self.adopt(bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=shared))

    def adopt(self, listeners: list[socket.socket]) -> None:
        """Accepts clients of sockets that listen already."""
        self.listeners = listeners
        self._paused = False
        # Guards against a client of the first moment that passes for one of long ago.
        self._queued_since = self._clients.clock()
        if self._stopping:
            # Guards against accepting clients up to the node's end: their listeners have come only now.
            self.stop()
        self._listen()

    def pause(self) -> None:
        """Accepts nobody; another process has the same queue, which outlives it while it is open here too."""
        self._paused = True
        for listener in self.listeners:
            self._loop.remove_reader(listener.fileno())

    def resume(self) -> None:
        """Accepts clients again after a pause."""
        self.adopt(self.listeners)

    def stop(self) -> None:
        """Accepts nobody from now on but those who wait."""
        self._stopping = True
        for listener in self.listeners:
            # Guards against a reset for each that waits: closing a listener ends them unserved.
            while self._accept(listener) == ACCEPT_MAX:
                pass
        if self._hold_off_call is None:
            self.close()

    def close(self) -> None:
        """Closes the listening sockets; whoever still waits behind them meets a reset."""
        while self.listeners:
            listener = self.listeners.pop()
            self._loop.remove_reader(listener.fileno())
            listener.close()

    def _listen(self) -> None:
        if not self._paused and self._hold_off_call is None:
            self._queue_checked_at = self._clients.clock()
            for listener in self.listeners:
                self._loop.add_reader(listener.fileno(), self._accept, listener)

    def _hold_off(self, seconds: float) -> None:
        """Accepts nobody for so long; clients wait in the queue."""
        for listener in self.listeners:
            self._loop.remove_reader(listener.fileno())
        self._hold_off_call = self._loop.call_later(seconds, self._end_hold_off)

    def _end_hold_off(self) -> None:
        self._hold_off_call = None
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            self._let_in(waiting)
        if self._stopping:
            self.stop()
        else:
            self._listen()

    def _accept(self, listener: socket.socket) -> int:
        """Accepts those who wait; how many were tried, `ACCEPT_MAX` where more may wait."""
        came_after = self._clients.clock() - waited_most()
        if came_after > self._queue_checked_at:
            # The loop has waited since: nobody was there then.
            self._queued_since = came_after
        for count in range(ACCEPT_MAX):
            if self._hold_off_call is not None:
                return count
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                self._waiting_since = None
                return count
            except OSError as error:
                if self._goes_on_after(error):
                    continue
                self._queue_checked_at = self._clients.clock()
                return count
            self._let_in(connection)
        self._queue_checked_at = self._clients.clock()
        return ACCEPT_MAX

    def _goes_on_after(self, error: OSError) -> bool:
        """Counts and logs an accept that failed; whether the next one may succeed at once.

        Guards against a client gone before it was accepted, and descriptors that others use up.
        """
        self._counters.add("accepts_failed")
        short = error.errno in SHORT
        if not short or self._clients.clock() > self._shortage_logged_at + SHORTAGE_LOG_INTERVAL_S:
            log.warning("accept failed", extra=pairs(why=error))
            self._shortage_logged_at = self._clients.clock() if short else self._shortage_logged_at
        if error.errno in CONNECTION_ERRORS or (short and self._pressure.press()):
            # Guards against resets for all behind that one, as where the listener is closed next.
            return True
        if short:
            # Guards against a loop that does nothing but fail: the listener stays readable.
            self._hold_off(SHORT_PAUSE)
        return False

    def _let_in(self, connection: socket.socket) -> None:
        verdict = self._pressure.judge()
        if verdict is Verdict.WAIT:
            self._keep_waiting(connection)
            return
        self._waiting_since = None
        self._clients.start(connection, verdict is Verdict.REJECT, self._queued_since)

    def _keep_waiting(self, connection: socket.socket) -> None:
        """Past the margin, and nobody can go: those who come next wait where they take no descriptor.

        Guards against a moment's crowd that is rejected; whoever waits in vain is answered soon.
        """
        now = self._clients.clock()
        if self._waiting_since is None:
            self._waiting_since = now
        if now < self._waiting_since + ROOM_TIMEOUT_S:
            self._waiting = connection
            self._hold_off(ROOM_POLL_INTERVAL_S)
        else:
            self._counters.add("client_connections_dropped")
            _reject_unread(connection)
