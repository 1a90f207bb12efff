"""The folder that a node's processes share, and the Unix sockets by which they find one another in it."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple

HANDOVER_SOCKET = "notchjunction.handover"  # where the serving process is joined
STREAMS_SOCKET = "notchjunction.streams"  # where it takes streams that migrate, one message each


class FileIdentity(NamedTuple):
    """Which file a path leads to, whatever its name."""

    device: int
    inode: int

    @classmethod
    def of(cls, path: str) -> FileIdentity:
        """The file at the path; OSError where there is none."""
        found = os.stat(path)
        return cls(found.st_dev, found.st_ino)


@contextmanager
def short_path(folder: str) -> Iterator[str]:
    """A path of the folder short enough for a socket's address, however long its own is.

    It takes one descriptor while it is used; OSError where there is none, or no such folder.
    """
    descriptor = os.open(Path(folder), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


def publish(listener: socket.socket, folder: str, name: str, backlog: int | None = None) -> FileIdentity:
    """Binds and listens, and puts the socket in the place of whatever has this name, at one go.

    It is bound by a name of its own first, and renamed: nobody meets a socket that does not listen yet.
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
