"""An endpoint as the endpoint list describes it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint may get new requests, by the endpoint list."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint in the list.

    `started_at` is in s of Unix time, 0 where the list gives none. An endpoint without a deduplication group
    shares its group with no other.
    """

    name: str
    state: EndpointState
    started_at: float = 0.0
    zone: str = ""
    deduplication_group: int | None = None
