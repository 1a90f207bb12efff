"""An endpoint as the endpoint list describes it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of an endpoint in the endpoint list; only active ones may get new requests."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint in the list."""

    name: str
    state: EndpointState
    started_at: float = 0.0  # s of Unix time; 0 if the list gives none
    zone: str = ""
    deduplication_group: int | None = None  # None: a group of its own
