"""Accepts clients, and delays or rejects them while descriptors are short."""

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
from notchjunction.http1.encoder import encode_response
from notchjunction.http1.messages import Response
from notchjunction.net.client_registry import ClientRegistry
from notchjunction.net.descriptor_pressure import AcceptDecision, DescriptorPressure
from notchjunction.net.descriptors import SHORTAGE_ERRNOS, SHORTAGE_PAUSE_S
from notchjunction.net.event_loop import max_unread_age
from notchjunction.net.socket_stream import call_despite_shortage, end_sending_and_discard
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

# Connections queued by the operating system: a burst of clients, also after a restart.
BACKLOG = 1024
# Connections accepted in one turn of the event loop, so that a burst of them does not delay requests.
MAX_ACCEPTS = 16
# Errors of accept(2) that concern one connection and not the listener.
CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
)
# Pause between attempts to free a descriptor for a waiting client; a rejection takes less.
ROOM_POLL_INTERVAL_S = 0.01
# Clients that wait for a descriptor are rejected after this time; most deadlines are longer.
ROOM_TIMEOUT_S = 0.3
REJECTION_RESPONSE = encode_response(Response(503, keep_alive=False))
# At most one log line is written in this time about accepts that fail for lack of a descriptor or memory.
SHORTAGE_LOG_INTERVAL_S = 10.0


def reject_unread(connection: socket.socket) -> None:
    """Responds 503 without reading the request, and closes at once to free the descriptor.

    The request does not run. Unread bytes are discarded, because a close with unread bytes sends a reset,
    which may destroy the response. A client whose request arrives later gets the response as well, because
    the operating system delivers that first.
    """
    with suppress(OSError):
        call_despite_shortage(connection.send, REJECTION_RESPONSE, socket.MSG_DONTWAIT)
    end_sending_and_discard(connection)
    connection.close()


class ClientListener:
    """The listening sockets, and the clients that wait to be accepted."""

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
        self._waiting: socket.socket | None = None  # accepted past the margin, not served yet
        self._waiting_since: float | None = None  # s; since then clients have been queued without a gap
        self._hold_off_call: asyncio.TimerHandle | None = None  # no accept before it
        self._queued_since = 0.0  # s; the earliest time at which queued clients may have connected
        self._queue_checked_at = 0.0  # s; the last accept or start; clients may have remained queued

    @property
    def connected(self) -> int:
        """Number of clients with an open connection, including one that is not served yet."""
        return len(self._clients.connections) + (self._waiting is not None)

    @property
    def queued(self) -> bool:
        """Whether clients may be queued that have to be accepted before the shutdown's final phase."""
        return self._stopping and bool(self.listeners) and not self._clients.final_phase

    def close_oldest(self) -> bool:
        """Closes a lingering, idle or silent client to free a descriptor. Returns whether it closed one."""
        return self._pressure.close_oldest()

    def open(self, address: Address, shared: bool = False) -> None:
        """Binds an address and accepts clients. If `shared`, another process may bind the same address."""
        self.adopt(bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=shared))

    def adopt(self, listeners: list[socket.socket]) -> None:
        """Accepts clients on sockets that are listening already."""
        self.listeners = listeners
        self._paused = False
        # Guards against a first client that is taken for one queued long ago.
        self._queued_since = self._clients.clock()
        if self._stopping:
            # Guards against accepting until the process exits: these listeners arrived after the stop.
            self.stop()
        self._listen()

    def pause(self) -> None:
        """Stops accepting while another process accepts on the same sockets.

        The sockets stay open here, so that the queue persists if that process ends.
        """
        self._paused = True
        for listener in self.listeners:
            self._loop.remove_reader(listener.fileno())

    def resume(self) -> None:
        """Accepts clients again after a pause."""
        self.adopt(self.listeners)

    def stop(self) -> None:
        """Accepts the clients queued by now, and then closes the listening sockets."""
        self._stopping = True
        for listener in self.listeners:
            # Guards against resets: closing a listener resets all connections that are still queued.
            while self._accept(listener) == MAX_ACCEPTS:
                pass
        if self._hold_off_call is None:
            self.close()

    def close(self) -> None:
        """Closes the listening sockets. Clients that are still queued get a reset."""
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
        """Accepts no clients for so many seconds; they stay queued."""
        for listener in self.listeners:
            self._loop.remove_reader(listener.fileno())
        self._hold_off_call = self._loop.call_later(seconds, self._end_hold_off)

    def _end_hold_off(self) -> None:
        self._hold_off_call = None
        connection, self._waiting = self._waiting, None
        if connection is not None:
            self._serve_or_delay(connection)
        if self._stopping:
            self.stop()
        else:
            self._listen()

    def _accept(self, listener: socket.socket) -> int:
        """Accepts queued clients. Returns the number of tries: `MAX_ACCEPTS` if more may be queued."""
        arrived_after = self._clients.clock() - max_unread_age()
        if arrived_after > self._queue_checked_at:
            # The loop was idle at some time after the last accept, so no client was queued then.
            self._queued_since = arrived_after
        for count in range(MAX_ACCEPTS):
            if self._hold_off_call is not None:
                return count
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                self._waiting_since = None
                return count
            except OSError as error:
                if self._can_continue_after(error):
                    continue
                self._queue_checked_at = self._clients.clock()
                return count
            self._serve_or_delay(connection)
        self._queue_checked_at = self._clients.clock()
        return MAX_ACCEPTS

    def _can_continue_after(self, error: OSError) -> bool:
        """Counts and logs a failed accept. Returns whether the next one may succeed at once.

        Guards against clients that disconnect before they are accepted, and against descriptors that are used
        up elsewhere.
        """
        self._counters.add("accepts_failed")
        is_shortage = error.errno in SHORTAGE_ERRNOS
        if not is_shortage or self._clients.clock() > self._shortage_logged_at + SHORTAGE_LOG_INTERVAL_S:
            log.warning("accept failed", extra=pairs(why=error))
            self._shortage_logged_at = self._clients.clock() if is_shortage else self._shortage_logged_at
        if error.errno in CONNECTION_ERRORS or (is_shortage and self._pressure.make_room_past_margin()):
            # Guards against resets for all clients queued behind this one if the listener is closed next.
            return True
        if is_shortage:
            # Guards against a busy loop of failing accepts, as the listener stays readable.
            self._hold_off(SHORTAGE_PAUSE_S)
        return False

    def _serve_or_delay(self, connection: socket.socket) -> None:
        decision = self._pressure.decide()
        if decision is AcceptDecision.WAIT:
            self._delay(connection)
            return
        self._clients.start(connection, decision is AcceptDecision.REJECT, self._queued_since)

    def _delay(self, connection: socket.socket) -> None:
        """Delays a client accepted past the margin; further ones stay queued, where they use no descriptor.

        Guards against rejecting a short burst. Once clients have been queued for too long, each is rejected
        for which there is no room: those behind it have waited as well.
        """
        now = self._clients.clock()
        if self._waiting_since is None:
            self._waiting_since = now
        if now < self._waiting_since + ROOM_TIMEOUT_S:
            self._waiting = connection
            self._hold_off(ROOM_POLL_INTERVAL_S)
        else:
            self._counters.add("client_connections_dropped")
            reject_unread(connection)
