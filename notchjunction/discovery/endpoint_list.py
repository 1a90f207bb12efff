"""The list as discovery tells it: rows of JSON as typed values, and back."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from notchjunction.addresses import Address, address_of
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from notchjunction.discovery.watch_state import WatchEvent

PORT_MOST = 65535
PRESENCES = {"active": EndpointState.ACTIVE, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}
STATUSES = {presence: status for status, presence in PRESENCES.items()}


class ListUnavailable(Exception):
    """The call failed, or its answer is no list; `event`: how, to what follows the list."""

    def __init__(self, why: str, event: WatchEvent = WatchEvent.CONNECTION_LOST) -> None:
        super().__init__(why)
        self.event = event


@dataclass(frozen=True, slots=True)
class EndpointList:
    version: int
    is_snapshot: bool
    endpoints: tuple[ListedEndpoint, ...]
    addresses: Mapping[str, Address]
    is_stale: bool = False  # than the last one heard: counted anew, or from a place that lags

    def closures(self) -> EndpointList:
        """What it says of servers that may get nothing new; as changes, whatever else it says."""
        closed = tuple(server for server in self.endpoints if server.state is not EndpointState.ACTIVE)
        return replace(self, is_snapshot=False, endpoints=closed, addresses={})


def read_list(value: Any) -> EndpointList:
    try:
        # Guards against two words on one server in one list: the last one holds, for all who read it.
        rows = list({str(row["name"]): row for row in value["endpoints"]}.values())
        addresses = {str(row["name"]): _address(row["address"]) for row in rows if row.get("address")}
        unreachable = {name for name, address in addresses.items() if address is None}
        return EndpointList(
            version=int(value["index"]),
            is_snapshot=bool(value["snapshot"]),
            endpoints=tuple(_listed(row, str(row["name"]) not in unreachable) for row in rows),
            addresses={name: address for name, address in addresses.items() if address is not None},
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListUnavailable(f"malformed list: {error!r}") from error


def _address(text: Any) -> Address | None:
    """None where there can be nobody: no connection can be tried there, and it must not fail in the node."""
    address = address_of(text)
    return address if 0 < address[1] <= PORT_MOST else None


def _listed(row: Mapping[str, Any], reachable: bool = True) -> ListedEndpoint:
    since = float(row.get("since_ms") or 0)
    if not math.isfinite(since):
        raise ValueError("since_ms is no time")
    return ListedEndpoint(
        name=str(row["name"]),
        # Guards against sending to a server in a state this node does not know, or at no address.
        state=_presence(row["status"], reachable),
        started_at=since / 1000,
        zone=str(row.get("zone") or ""),
        deduplication_group=None if row.get("group") is None else int(row["group"]),
    )


def _presence(status: Any, reachable: bool) -> EndpointState:
    found = PRESENCES.get(status, EndpointState.DRAINING)
    return found if reachable or found is not EndpointState.ACTIVE else EndpointState.DRAINING


def row(server: ListedEndpoint, address: str | None) -> dict[str, object]:
    """A server in the list's own form."""
    return {
        "name": server.name,
        "address": address,
        "zone": server.zone,
        "group": server.deduplication_group,
        "status": STATUSES[server.state],
        "since_ms": server.started_at * 1000,
    }
