"""The list as discovery tells it: rows of JSON as typed values, and back."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from notchjunction.addresses import Address, address_of
from notchjunction.discovery.endpoints import Listed, Presence
from notchjunction.discovery.watch_state import Input

PORT_MOST = 65535
PRESENCES = {"active": Presence.READY, "leaving": Presence.DRAINING, "left": Presence.GONE}
STATUSES = {presence: status for status, presence in PRESENCES.items()}


class Unusable(Exception):
    """The call failed, or its answer is no list; `event`: how, to what follows the list."""

    def __init__(self, why: str, event: Input = Input.BREAK) -> None:
        super().__init__(why)
        self.event = event


@dataclass(frozen=True, slots=True)
class ServerList:
    version: int
    whole: bool
    servers: tuple[Listed, ...]
    addresses: Mapping[str, Address]
    older: bool = False  # than the last one heard: counted anew, or from a place that lags

    def closings(self) -> ServerList:
        """What it says of servers that may get nothing new; as changes, whatever else it says."""
        closed = tuple(server for server in self.servers if server.presence is not Presence.READY)
        return replace(self, whole=False, servers=closed, addresses={})


def read_list(value: Any) -> ServerList:
    try:
        # Guards against two words on one server in one list: the last one holds, for all who read it.
        rows = list({str(row["name"]): row for row in value["endpoints"]}.values())
        addresses = {str(row["name"]): _address(row["address"]) for row in rows if row.get("address")}
        unreachable = {name for name, address in addresses.items() if address is None}
        return ServerList(
            version=int(value["index"]),
            whole=bool(value["snapshot"]),
            servers=tuple(_listed(row, str(row["name"]) not in unreachable) for row in rows),
            addresses={name: address for name, address in addresses.items() if address is not None},
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise Unusable(f"malformed list: {error!r}") from error


def _address(text: Any) -> Address | None:
    """None where there can be nobody: no connection can be tried there, and it must not fail in the node."""
    address = address_of(text)
    return address if 0 < address[1] <= PORT_MOST else None


def _listed(row: Mapping[str, Any], reachable: bool = True) -> Listed:
    since = float(row.get("since_ms") or 0)
    if not math.isfinite(since):
        raise ValueError("since_ms is no time")
    return Listed(
        name=str(row["name"]),
        # Guards against sending to a server in a state this node does not know, or at no address.
        presence=_presence(row["status"], reachable),
        started_at=since / 1000,
        zone=str(row.get("zone") or ""),
        cell=None if row.get("group") is None else int(row["group"]),
    )


def _presence(status: Any, reachable: bool) -> Presence:
    found = PRESENCES.get(status, Presence.DRAINING)
    return found if reachable or found is not Presence.READY else Presence.DRAINING


def row(server: Listed, address: str | None) -> dict[str, object]:
    """A server in the list's own form."""
    return {
        "name": server.name,
        "address": address,
        "zone": server.zone,
        "group": server.cell,
        "status": STATUSES[server.presence],
        "since_ms": server.started_at * 1000,
    }
