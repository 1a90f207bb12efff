"""What the list says of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Presence(Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Listed:
    """A server in the list; a cell that is not given is shared with no other server."""

    name: str
    presence: Presence
    started_at: float = 0.0
    zone: str = ""
    cell: int | None = None
