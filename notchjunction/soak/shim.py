"""Starts the node's program with system calls, clocks and an event loop that fail as documented.

The faults come as JSON in SOAK_SHIM, with a seed; the program itself is unchanged. The faults are those
that Linux documents for each call: an accept that finds its client gone, no descriptors for a moment, short
writes, connections that come up late, a wall clock that is stepped, a process that is delayed.
"""

from __future__ import annotations

import asyncio
import atexit
import errno
import json
import os
import runpy
import signal
import socket
import sys
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from random import Random
from typing import Any
from weakref import WeakSet

VARIABLE = "SOAK_SHIM"
HOLD_INTERVAL_S = 0.3  # between two moments in which the process may be delayed
STEP_INTERVAL_S = 1.0  # between two steps of the wall clock
STARTUP_S = 1.5  # from the program's start in which it opens its listeners
FILENO_AT = 4  # the place of `fileno` among the arguments of a new socket


def install(faults: Mapping[str, Any]) -> None:
    """Installs the faults named in `faults`; shares are of calls, from 0 to 1."""
    random = Random(str(faults.get("seed", 0)))
    if share := float(faults.get("late_connects", 0)):
        _late_connects(random, share, float(faults.get("late_seconds", 0.5)))
    for name, fault in FAULTS:
        if size := float(faults.get(name, 0)):
            fault(random, size)


def _error(random: Random, numbers: Sequence[int]) -> OSError:
    """One of these errors, as the operating system words it."""
    number = random.choice(numbers)
    return OSError(number, os.strerror(number))


def _late_connects(random: Random, share: float, seconds: float) -> None:
    """A share of connections to servers comes up later by up to so many seconds."""
    from tornado.iostream import IOStream, StreamClosedError

    connect = IOStream.connect

    def late(self: Any, address: Any, *more: Any, **named: Any) -> Any:
        async def open_late() -> Any:
            if random.random() < share:
                await asyncio.sleep(seconds * random.random())
            if self.closed():
                raise StreamClosedError  # cancelled meanwhile
            return await connect(self, address, *more, **named)

        return asyncio.ensure_future(open_late())

    IOStream.connect = late  # type: ignore[method-assign]


def _failing_connects(random: Random, share: float) -> None:
    """A share of connects fails at once as connect(2) documents it."""
    connect = socket.socket.connect
    errors = (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED)

    def failing(self: socket.socket, address: Any) -> None:
        if random.random() < share:
            raise _error(random, errors)
        connect(self, address)

    socket.socket.connect = failing  # type: ignore[method-assign,assignment]


def _failing_accepts(random: Random, share: float) -> None:
    """A share of accepts fails: the client has gone, or there is no descriptor in that moment."""
    accept = socket.socket.accept
    errors = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EPROTO)

    def failing(self: socket.socket) -> Any:
        if random.random() < share:
            raise _error(random, errors)
        return accept(self)

    socket.socket.accept = failing  # type: ignore[method-assign]


def _short_writes(random: Random, share: float) -> None:
    """A share of writes takes only a part of what it is given."""
    from tornado.iostream import IOStream

    write = IOStream.write_to_fd

    def short(self: Any, data: memoryview) -> int:
        if len(data) > 1 and random.random() < share:
            data = data[: random.randrange(1, len(data))]
        return write(self, data)

    IOStream.write_to_fd = short  # type: ignore[method-assign]


def _short_reads(random: Random, share: float) -> None:
    """A share of reads gives only a part of what is there."""
    from tornado.iostream import IOStream

    read = IOStream.read_from_fd

    def short(self: Any, buffer: bytearray | memoryview) -> int | None:
        if len(buffer) < 2 or random.random() >= share:
            return read(self, buffer)
        with memoryview(buffer) as whole, whole[: random.randrange(1, len(buffer))] as part:
            return read(self, part)

    IOStream.read_from_fd = short  # type: ignore[method-assign,assignment]


def _failing_sockets(random: Random, share: float) -> None:
    """A share of new sockets finds no descriptor, or no memory, once the program has its listeners."""
    initialize = socket.socket.__init__
    began = time.monotonic()
    errors = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

    def failing(self: socket.socket, *arguments: Any, **named: Any) -> None:
        made_anew = named.get("fileno") is None and len(arguments) < FILENO_AT
        if made_anew and time.monotonic() > began + STARTUP_S and random.random() < share:
            initialize(self, *arguments, **named)
            self.close()
            raise _error(random, errors)
        initialize(self, *arguments, **named)

    socket.socket.__init__ = failing  # type: ignore[method-assign]


def _out_of_memory(random: Random, share: float) -> None:
    """A share of reads, looks and writes finds no memory for a moment; the connection stays."""
    errors = (errno.ENOBUFS, errno.ENOMEM)

    def wrap(name: str) -> None:
        call = getattr(socket.socket, name)

        def failing(self: socket.socket, *arguments: Any) -> Any:
            if self.family in (socket.AF_INET, socket.AF_INET6) and random.random() < share:
                raise _error(random, errors)
            return call(self, *arguments)

        setattr(socket.socket, name, failing)

    for name in ("recv", "recv_into", "send"):
        wrap(name)


def _dead_connections(random: Random, share: float) -> None:
    """A share of reads on connections that the program opened finds that the other machine is gone."""
    connect, receive = socket.socket.connect, socket.socket.recv_into
    opened: WeakSet[socket.socket] = WeakSet()
    errors = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)

    def noted(self: socket.socket, address: Any) -> None:
        opened.add(self)
        connect(self, address)

    def failing(self: socket.socket, *arguments: Any) -> int:
        try:
            return receive(self, *arguments)
        except BlockingIOError:
            # Only then: the operating system delivers received data before it reports an error.
            if self not in opened or random.random() >= share:
                raise
        with suppress(OSError):
            self.shutdown(socket.SHUT_RDWR)
        raise _error(random, errors)

    socket.socket.connect = noted  # type: ignore[method-assign,assignment]
    socket.socket.recv_into = failing  # type: ignore[method-assign,assignment]


def _clock_steps(random: Random, seconds: float) -> None:
    """The wall clock is wrong from the first moment on, each second by up to so many s either way."""
    wall = time.time
    steps: dict[int, float] = {}

    def stepped() -> float:
        step = steps.setdefault(int(time.monotonic() / STEP_INTERVAL_S), random.uniform(-seconds, seconds))
        return wall() + step

    time.time = stepped


def _holds(random: Random, seconds: float) -> None:
    """The process is delayed by up to so many seconds now and then, wherever it is."""

    def hold(_: int, __: Any) -> None:
        time.sleep(seconds * random.random())
        signal.setitimer(signal.ITIMER_REAL, HOLD_INTERVAL_S * (0.5 + random.random()))

    def close(self: asyncio.BaseEventLoop) -> None:
        signal.setitimer(signal.ITIMER_REAL, 0)  # a loop that closes can't be woken by this signal
        close_loop(self)

    close_loop = asyncio.SelectorEventLoop.close
    asyncio.SelectorEventLoop.close = close  # type: ignore[method-assign]
    signal.signal(signal.SIGALRM, hold)
    atexit.register(signal.setitimer, signal.ITIMER_REAL, 0)
    signal.setitimer(signal.ITIMER_REAL, HOLD_INTERVAL_S)


# By name, the faults besides late connects; a later one wraps an earlier one of the same call.
FAULTS = (
    ("failing_connects", _failing_connects),
    ("failing_accepts", _failing_accepts),
    ("failing_sockets", _failing_sockets),
    ("short_writes", _short_writes),
    ("short_reads", _short_reads),
    ("out_of_memory", _out_of_memory),
    ("dead_connections", _dead_connections),
    ("clock_steps", _clock_steps),
    ("hold_seconds", _holds),
)


def main() -> None:
    """Installs the faults of the environment and runs the program."""
    install(json.loads(os.environ.get(VARIABLE, "{}")))
    sys.argv = ["notchjunction", *sys.argv[1:]]
    runpy.run_module("notchjunction", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
