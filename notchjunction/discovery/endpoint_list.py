"""The endpoint list as discovery sends it: JSON documents to typed values, and back."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from notchjunction.addresses import MAX_PORT, Address, address_of
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from notchjunction.discovery.watch_state import WatchEvent

# The protocol's names for the state of an endpoint.
STATE_BY_STATUS = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
STATUS_BY_STATE = {state: status for status, state in STATE_BY_STATUS.items()}


class ListUnavailableError(Exception):
    """A poll failed, or its response is not an endpoint list.

    `event` is the failure as an event of the watch's state machine.
    """

    def __init__(self, reason: str, event: WatchEvent = WatchEvent.CONNECTION_LOST) -> None:
        super().__init__(reason)
        self.event = event


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A version of the list: a snapshot, or the changes since an earlier version."""

    version: int
    is_snapshot: bool
    endpoints: tuple[ListedEndpoint, ...]
    addresses: Mapping[str, Address]  # by endpoint name; without addresses that cannot be connected to
    is_stale: bool = False  # older than the previous list: discovery restarted its versions, or lags

    def drains_and_removals(self) -> EndpointList:
        """Returns, as changes, only the entries of endpoints that may get no new requests."""
        inactive = tuple(
            endpoint for endpoint in self.endpoints if endpoint.state is not EndpointState.ACTIVE
        )
        return replace(self, is_snapshot=False, endpoints=inactive, addresses={})


def read_list(document: Any) -> EndpointList:
    """Converts a decoded JSON document to a list; raises ListUnavailableError if it is malformed."""
    try:
        # Guards against two rows for the same endpoint in one list: only the last one is used.
        rows = list({str(row["name"]): row for row in document["endpoints"]}.values())
        addresses = {str(row["name"]): _parse_address(row["address"]) for row in rows if row.get("address")}
        unreachable = {name for name, address in addresses.items() if address is None}
        return EndpointList(
            version=int(document["index"]),
            is_snapshot=bool(document["snapshot"]),
            endpoints=tuple(_parse_row(row, str(row["name"]) not in unreachable) for row in rows),
            addresses={name: address for name, address in addresses.items() if address is not None},
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListUnavailableError(f"malformed list: {error!r}") from error


def _parse_address(text: Any) -> Address | None:
    """Parses an address; returns None if its port is out of range, as connecting to it would raise."""
    address = address_of(text)
    return address if 0 < address[1] <= MAX_PORT else None


def _parse_row(row: Mapping[str, Any], reachable: bool) -> ListedEndpoint:
    """Returns the endpoint of one row of the JSON document; raises ValueError if its start is not finite."""
    started_at_ms = float(row.get("since_ms") or 0)
    if not math.isfinite(started_at_ms):
        raise ValueError("since_ms is not a finite number")
    return ListedEndpoint(
        name=str(row["name"]),
        # Guards against requests to an endpoint with an unknown state, or without a valid address.
        state=_parse_state(row["status"], reachable),
        started_at=started_at_ms / 1000,
        zone=str(row.get("zone") or ""),
        deduplication_group=None if row.get("group") is None else int(row["group"]),
    )


def _parse_state(status: Any, reachable: bool) -> EndpointState:
    """Returns the state for a status; an unknown status and an unreachable endpoint count as draining."""
    state = STATE_BY_STATUS.get(status, EndpointState.DRAINING)
    return state if reachable or state is not EndpointState.ACTIVE else EndpointState.DRAINING


def format_row(endpoint: ListedEndpoint, address: str | None) -> dict[str, object]:
    """Returns an endpoint as a row of the JSON document."""
    return {
        "name": endpoint.name,
        "address": address,
        "zone": endpoint.zone,
        "group": endpoint.deduplication_group,
        "status": STATUS_BY_STATE[endpoint.state],
        "since_ms": endpoint.started_at * 1000,
    }
