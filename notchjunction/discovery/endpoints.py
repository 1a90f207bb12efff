"""What the list says of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """What the list says of a server."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A server in the list; a cell that is not given is shared with no other server."""

    name: str
    state: EndpointState
    started_at: float = 0.0
    zone: str = ""
    deduplication_group: int | None = None
