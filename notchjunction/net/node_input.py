"""What a node is told: the environment and the file that GW_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from notchjunction import terms
from notchjunction.decider import Names
from notchjunction.interface import Terms
from notchjunction.net import words
from notchjunction.net.connections import Address, address_of
from notchjunction.net.discovery import ServerList, Unusable, read_list

LOOP_TICK = 0.01  # s by which timers of a loop on a shared core come late; 12 ms was the most seen
SOCKETS = 1024  # descriptors where no limit is told
CONNECT_WITHIN = 250.0  # ms where no connect time-out is told
IDLE = 5000.0  # ms that servers keep an idle connection, where that is not told


@dataclass(frozen=True, slots=True)
class NodeInput:
    name: str
    listen: Address
    discovery: Address
    terms: Terms
    names: Names
    known: ServerList | None
    sockets: int
    connect_within: float
    idle_most: float
    load_path: str


def read(environment: Mapping[str, str]) -> NodeInput:
    told: dict[str, Any] = {}
    if environment.get("GW_CONFIG"):
        told = json.loads(Path(environment["GW_CONFIG"]).read_text(encoding="utf-8"))
        if not isinstance(told, dict):
            raise ValueError("no JSON object in the file")
    paths = terms.flatten(told.get("settings", {}))
    found = terms.terms(int(str(told.get("seed", "0")), 16), paths)
    return NodeInput(
        name=environment.get("GW_NAME") or told["name"],
        listen=address_of(environment.get("GW_LISTEN") or told["listen"]),
        discovery=address_of(environment.get("GW_DISCOVERY") or told["discovery"]),
        # On sockets the list must always be asked for.
        terms=replace(found, must_follow=True, tick=max(found.tick, LOOP_TICK)),
        names=Names(
            profiles=terms.named(paths, "profiles"),
            operators=terms.named(paths, "tenants"),
            zones=terms.words(paths, "localities"),
        ),
        known=_known(told.get("known")),
        sockets=int(told.get("limits", {}).get("sockets", SOCKETS)),
        connect_within=terms.number(paths, "limits.connect_timeout", CONNECT_WITHIN) / 1000,
        idle_most=terms.number(paths, "limits.conn_idle", IDLE) / 1000,
        load_path=words.LOAD if terms.words(paths, "report.fields") else words.HEALTH,
    )


def _known(told: Any) -> ServerList | None:
    """The remembered list; one that is empty or unreadable is none, and discovery is waited for."""
    try:
        known = read_list(told)
    except Unusable:
        return None
    return known if known.servers else None
