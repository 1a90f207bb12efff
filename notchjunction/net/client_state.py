"""The state of client connections: the flags of one, and the tables of all by phase."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class ManagedConnection(Protocol):
    """A connection as the listener sees it, which may close it to free a descriptor."""

    def close(self) -> None:
        """Closes the connection at once; a second call changes nothing."""

    def close_if_idle(self) -> bool:
        """Closes the connection now where no request is open on it; whether it did."""

    def reject_partial_head(self) -> None:
        """Answers 408 to a head under way and ends the sending, unless more of the head has just come."""


class ConnectionPhases:
    """Connections by phase, each with the time (s, the listener's clock) since when it has been in it.

    A connection enters and leaves the tables itself, so that each has the longest in its phase first.
    """

    def __init__(self) -> None:
        self.silent: dict[ManagedConnection, float] = {}  # nothing has come yet
        self.idle: dict[ManagedConnection, float] = {}  # between two requests
        self.heads: dict[ManagedConnection, float] = {}  # part of a head has come, and no whole one is unread
        self.lingering: dict[ManagedConnection, float] = {}  # sending has ended; still read from for a moment

    def leave(self, connection: ManagedConnection) -> None:
        """Takes a connection out of whatever phase it is in."""
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.heads.pop(connection, None)
        self.lingering.pop(connection, None)


@dataclass(slots=True)
class ConnectionState:
    """What the parts of one connection know of each other."""

    over_limit: bool  # accepted past the descriptor limit: its one request is answered with 503
    request_open: bool = False  # a request has been read and has no whole response yet
    closing: bool = False  # sending has ended
    bad_request: bool = False  # the client sent what is no request: nothing more of it is read
    pinned: bool = False  # can't move to another process
    upload_rejected: bool = False  # as the node ends before the body is whole
