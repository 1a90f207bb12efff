"""The folder that a node's processes share, and the Unix sockets in it at which they reach one another."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

HANDOVER_SOCKET = "notchjunction.handover"  # at which the next process joins the serving one
STREAMS_SOCKET = "notchjunction.streams"  # at which a process receives migrated streams, one a message


class FileIdentity(NamedTuple):
    """The identity of a file, independent of its path."""

    device: int
    inode: int

    @classmethod
    def of(cls, path: str) -> FileIdentity:
        """Returns the identity of the file at a path; raises OSError if there is none."""
        status = os.stat(path)
        return cls(status.st_dev, status.st_ino)


@contextmanager
def short_path(folder: str) -> Iterator[str]:
    """Yields a path of the folder that fits into a socket address, however long the folder's own path is.

    It uses one descriptor until the context ends. Raises OSError if none is left or there is no such folder.
    """
    descriptor = os.open(Path(folder), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


def publish(listener: socket.socket, folder: str, name: str, backlog: int | None = None) -> FileIdentity:
    """Binds the socket and listens, then atomically replaces any file of this name with it.

    The socket is bound under a temporary name and renamed once it listens. So no process finds a socket that
    does not listen yet.
    """
    own_path = f"{folder}/{name}.{os.getpid()}"
    with suppress(FileNotFoundError):
        os.unlink(own_path)
    listener.bind(own_path)
    if backlog is None:
        listener.listen()
    else:
        listener.listen(backlog)
    identity = FileIdentity.of(own_path)
    os.rename(own_path, f"{folder}/{name}")
    return identity
