"""Runs the node's program with faults injected into system calls, the wall clock and the process.

The environment variable SOAK_SHIM has the faults and a seed as JSON; the program itself is unchanged. The
faults are those that Linux documents for each call: for example an accept whose client is gone, a temporary
lack of descriptors, short writes, late connections, a stepped wall clock, and a process that is delayed.
"""

from __future__ import annotations

from notchjunction.net.tls_stub import leave_out_tls

if __name__ == "__main__":
    leave_out_tls()  # before the imports below, as in the program: a node's memory is judged

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
HOLD_INTERVAL_S = 0.3  # mean time between two delays of the process
STEP_INTERVAL_S = 1.0  # between two steps of the wall clock
STARTUP_S = 1.5  # after the program's start, in which it opens its listeners and no new socket fails
FILENO_POSITION = 4  # of `fileno` among the positional arguments of a new socket, from 1


def install(faults: Mapping[str, Any]) -> None:
    """Installs faults.

    Args:
        faults: the seed, and by name the size of each fault: a share of calls from 0 to 1, or seconds.
    """
    random = Random(str(faults.get("seed", 0)))
    if share := float(faults.get("late_connects", 0)):
        _late_connects(random, share, float(faults.get("late_seconds", 0.5)))
    for name, install_fault in FAULTS:
        if size := float(faults.get(name, 0)):
            install_fault(random, size)


def _error(random: Random, errnos: Sequence[int]) -> OSError:
    """Returns one of these errors, with the message of the operating system."""
    number = random.choice(errnos)
    return OSError(number, os.strerror(number))


def _late_connects(random: Random, share: float, seconds: float) -> None:
    """Delays a share of the program's outgoing connections by up to so many seconds."""
    from tornado.iostream import IOStream, StreamClosedError

    connect = IOStream.connect

    def late(self: Any, address: Any, *args: Any, **kwargs: Any) -> Any:
        async def open_late() -> Any:
            if random.random() < share:
                await asyncio.sleep(seconds * random.random())
            if self.closed():
                raise StreamClosedError  # the program closed the stream during the delay
            return await connect(self, address, *args, **kwargs)

        return asyncio.ensure_future(open_late())

    IOStream.connect = late  # type: ignore[method-assign]


def _failing_connects(random: Random, share: float) -> None:
    """Lets a share of connects fail at once with an error that connect(2) documents."""
    connect = socket.socket.connect
    errors = (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED)

    def failing(self: socket.socket, address: Any) -> None:
        if random.random() < share:
            raise _error(random, errors)
        connect(self, address)

    socket.socket.connect = failing  # type: ignore[method-assign,assignment]


def _failing_accepts(random: Random, share: float) -> None:
    """Lets a share of accepts fail: the client is gone, or descriptors or buffers are lacking."""
    accept = socket.socket.accept
    errors = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EPROTO)

    def failing(self: socket.socket) -> Any:
        if random.random() < share:
            raise _error(random, errors)
        return accept(self)

    socket.socket.accept = failing  # type: ignore[method-assign]


def _short_writes(random: Random, share: float) -> None:
    """Lets a share of writes take only a part of the data."""
    from tornado.iostream import IOStream

    write = IOStream.write_to_fd

    def short(self: Any, data: memoryview) -> int:
        if len(data) > 1 and random.random() < share:
            data = data[: random.randrange(1, len(data))]
        return write(self, data)

    IOStream.write_to_fd = short  # type: ignore[method-assign]


def _short_reads(random: Random, share: float) -> None:
    """Lets a share of reads return only a part of the data."""
    from tornado.iostream import IOStream

    read = IOStream.read_from_fd

    def short(self: Any, buffer: bytearray | memoryview) -> int | None:
        if len(buffer) < 2 or random.random() >= share:
            return read(self, buffer)
        with memoryview(buffer) as view, view[: random.randrange(1, len(buffer))] as part:
            return read(self, part)

    IOStream.read_from_fd = short  # type: ignore[method-assign,assignment]


def _failing_sockets(random: Random, share: float) -> None:
    """Lets the creation of a share of new sockets fail for lack of descriptors or memory, after startup."""
    initialize = socket.socket.__init__
    started_at = time.monotonic()
    errors = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

    def failing(self: socket.socket, *args: Any, **kwargs: Any) -> None:
        is_new = kwargs.get("fileno") is None and len(args) < FILENO_POSITION
        if is_new and time.monotonic() > started_at + STARTUP_S and random.random() < share:
            initialize(self, *args, **kwargs)
            self.close()
            raise _error(random, errors)
        initialize(self, *args, **kwargs)

    socket.socket.__init__ = failing  # type: ignore[method-assign]


def _out_of_memory(random: Random, share: float) -> None:
    """Lets a share of reads, peeks and writes fail for a temporary lack of memory.

    The connection stays open.
    """
    errors = (errno.ENOBUFS, errno.ENOMEM)

    def wrap(name: str) -> None:
        call = getattr(socket.socket, name)

        def failing(self: socket.socket, *args: Any) -> Any:
            if self.family in (socket.AF_INET, socket.AF_INET6) and random.random() < share:
                raise _error(random, errors)
            return call(self, *args)

        setattr(socket.socket, name, failing)

    for name in ("recv", "recv_into", "send"):
        wrap(name)


def _dead_connections(random: Random, share: float) -> None:
    """Lets a share of reads on outgoing connections fail because the peer's machine is gone."""
    connect, receive = socket.socket.connect, socket.socket.recv_into
    opened: WeakSet[socket.socket] = WeakSet()
    errors = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)

    def recording(self: socket.socket, address: Any) -> None:
        opened.add(self)
        connect(self, address)

    def failing(self: socket.socket, *args: Any) -> int:
        try:
            return receive(self, *args)
        except BlockingIOError:
            # Fails only if there is nothing to read: the operating system delivers received data before it
            # reports an error.
            if self not in opened or random.random() >= share:
                raise
        with suppress(OSError):
            self.shutdown(socket.SHUT_RDWR)
        raise _error(random, errors)

    socket.socket.connect = recording  # type: ignore[method-assign,assignment]
    socket.socket.recv_into = failing  # type: ignore[method-assign,assignment]


def _clock_steps(random: Random, seconds: float) -> None:
    """Steps the wall clock each second, to an error of up to so many seconds in either direction."""
    wall_clock = time.time
    steps: dict[int, float] = {}

    def stepped() -> float:
        step = steps.setdefault(int(time.monotonic() / STEP_INTERVAL_S), random.uniform(-seconds, seconds))
        return wall_clock() + step

    time.time = stepped


def _holds(random: Random, seconds: float) -> None:
    """Delays the process by up to so many seconds from time to time, at any place in its code."""

    def hold(_: int, __: Any) -> None:
        time.sleep(seconds * random.random())
        signal.setitimer(signal.ITIMER_REAL, HOLD_INTERVAL_S * (0.5 + random.random()))

    def close(self: asyncio.BaseEventLoop) -> None:
        signal.setitimer(signal.ITIMER_REAL, 0)  # a loop that is being closed can't be woken by the signal
        close_loop(self)

    close_loop = asyncio.SelectorEventLoop.close
    asyncio.SelectorEventLoop.close = close  # type: ignore[method-assign]
    signal.signal(signal.SIGALRM, hold)
    atexit.register(signal.setitimer, signal.ITIMER_REAL, 0)
    signal.setitimer(signal.ITIMER_REAL, HOLD_INTERVAL_S)


# The faults besides late connects, by name; a later one wraps an earlier one of the same call.
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
    """Installs the faults given in the environment and runs the node's program."""
    install(json.loads(os.environ.get(VARIABLE, "{}")))
    sys.argv = ["notchjunction", *sys.argv[1:]]
    runpy.run_module("notchjunction", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
