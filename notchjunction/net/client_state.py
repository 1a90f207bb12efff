"""The state of client connections: the flags of one connection, and tables of all by phase."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class ManagedConnection(Protocol):
    """A connection as the listener sees it, which may close it to free its descriptor."""

    def close(self) -> None:
        """Closes the connection at once; a second call changes nothing."""

    def close_if_idle(self) -> bool:
        """Closes the connection at once if no request is open on it. Returns whether it did."""

    def reject_partial_head(self) -> None:
        """Responds 408 to an incomplete request head and closes the sending side, unless bytes are unread."""

    def close_if_stopped(self) -> bool:
        """Closes the connection at once if its request is answered and its client sends no more of the body.

        Returns whether it did.
        """

    def stop_discarding(self) -> None:
        """Closes the sending side if the request is answered and only the rest of its body is read."""


class ConnectionPhases:
    """Connections by phase, each with the time (s, the node's clock) at which it entered the phase.

    Each connection adds and removes itself, so each table is ordered: the longest in its phase comes first.
    """

    def __init__(self) -> None:
        self.silent: dict[ManagedConnection, float] = {}  # nothing received yet
        self.idle: dict[ManagedConnection, float] = {}  # between two requests
        # Part of a head has been received, and no complete one is pending.
        self.heads: dict[ManagedConnection, float] = {}
        # The request is answered, and the rest of its body is read and discarded.
        self.discarding: dict[ManagedConnection, float] = {}
        self.lingering: dict[ManagedConnection, float] = {}  # half-closed, read from until the linger timeout

    def leave(self, connection: ManagedConnection) -> None:
        """Removes a connection from all phases."""
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.heads.pop(connection, None)
        self.discarding.pop(connection, None)
        self.lingering.pop(connection, None)


@dataclass(slots=True)
class ConnectionState:
    """The flags that the parts of one connection share."""

    over_limit: bool  # accepted past the descriptor limit: its one request is answered with 503
    request_open: bool = False  # a request has been read and has no complete response yet
    request_id: str = ""  # of the open request, if the balancer has accepted it
    closing: bool = False  # the sending side is closed
    bad_request: bool = False  # the client sent an invalid request: no more requests are read
    moved: bool = False  # another process of the node serves the connection
    pinned: bool = False  # cannot migrate to another process
    upload_rejected: bool = False  # because the node shuts down before the body is complete
