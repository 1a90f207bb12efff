"""The one reader of the settings: flat `path=value` names, whichever wire or file they came by.

A value that is missing or unreadable gets the safest reading. No decision is taken here.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from notchjunction.balancing.interface import Effect, Group, Load, Profile, Terms

Paths = Mapping[str, str]

EFFECTS = {"repeatable": Effect.REISSUABLE, "by_key": Effect.NUMBERED, "once": Effect.AT_MOST_ONCE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
CONNECT_WITHIN = 250.0  # ms where no connect time-out is told
BESIDE_CLIENTS = "mesh"  # the kind of deployment in which each client process has a node of its own
# What a load report's figures are called in the settings and, on sockets, in the report itself.
LOAD_WORDS = {
    "rif": "held",
    "q": "waiting",
    "busy": "busy",
    "lat_ms": "pace",
    "rate": "rate",
    "fail_rate": "errors",
}


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as flat names: a list of objects gives `.count`, `.0`, `.1`, ..., others are joined."""
    stem = path + "." if path else ""
    flat: dict[str, str] = {}
    if isinstance(value, Mapping):
        for name, inner in value.items():
            flat.update(flatten(inner, stem + str(name)))
    elif isinstance(value, list) and all(isinstance(inner, Mapping) for inner in value):
        flat[stem + "count"] = str(len(value))
        for i, inner in enumerate(value):
            flat.update(flatten(inner, f"{stem}{i}"))
    elif isinstance(value, list):
        flat[path] = ",".join(str(inner) for inner in value)
    elif isinstance(value, bool):
        flat[path] = "true" if value else "false"
    elif value is not None:
        flat[path] = str(value)
    return flat


def number(paths: Paths, path: str, default: float) -> float:
    try:
        return float(paths[path])
    except (KeyError, ValueError):
        return default


def words(paths: Paths, path: str) -> list[str]:
    """A list of simple values."""
    return [word for word in paths.get(path, "").split(",") if word]


def named(paths: Paths, stem: str) -> list[str]:
    """The names in a list of objects."""
    return [paths.get(item + "name", "") for item in _items(paths, stem)]


def _items(paths: Paths, stem: str) -> list[str]:
    """The stems of the objects in a list."""
    return [f"{stem}.{i}." for i in range(int(number(paths, f"{stem}.count", 0)))]


def _flag(paths: Paths, path: str, default: bool) -> bool:
    return paths.get(path, "true" if default else "false") in ("true", "1")


def _profile(paths: Paths, stem: str) -> Profile:
    abandon = number(paths, stem + "abandon_time", 1000.0) / 1000
    return Profile(
        contract_time=number(paths, stem + "contract_time", abandon * 1000) / 1000,
        abandon_time=abandon,
        revenue=number(paths, stem + "revenue", 1.0),
        late_share=number(paths, stem + "tardy_revenue", 0.0),
        effect=EFFECTS.get(paths.get(stem + "effect", ""), Effect.AT_MOST_ONCE),
        group=GROUPS.get(paths.get(stem + "dedup_scope", ""), Group.CELL),
        window=number(paths, stem + "window", 0.0) / 1000,
    )


def terms(seed: int, paths: Paths) -> Terms:
    layers = words(paths, "layers")
    layer = int(number(paths, "layer", -1))
    advised = _flag(paths, "limits.retry_after", False)
    return Terms(
        seed=seed,
        profiles=[_profile(paths, item) for item in _items(paths, "profiles")],
        operator_quotas=[number(paths, item + "quota_rps", 0.0) for item in _items(paths, "tenants")],
        overage=number(paths, "overage_revenue", 1.0),
        nodes=max(1, int(number(paths, "group_size", 1))),
        depth=layer if 0 <= layer < len(layers) else None,
        depths=len(layers),
        zone=int(number(paths, "zone", 0)),
        must_follow=paths.get("registry_mode") == "subscribe",
        probes=_flag(paths, "limits.probes", False),
        recalls=_flag(paths, "limits.cancel", False),
        second_copies=_flag(paths, "limits.second_copies", False),
        advice_limit=number(paths, "limits.max_retry_after", 0.0) / 1000 if advised else 0.0,
        max_dispatches=int(number(paths, "limits.max_dispatches", 1)),
        ask_within=number(paths, "invariants.ask_within", 0.0) / 1000,
        tick=number(paths, "tick", 5.0) / 1000,
        crossing_price=number(paths, "prices.cross_zone", 0.0),
        connection_price=number(paths, "prices.connection", 0.0) + number(paths, "prices.handshake", 0.0),
        connection_idle=number(paths, "limits.conn_idle", 0.0) / 1000,
        connect_within=number(paths, "limits.connect_timeout", CONNECT_WITHIN) / 1000,
        connection_jobs=int(number(paths, "limits.max_streams", 1)),
        cold_share=number(paths, "invariants.start_capacity", 1.0),
        cold_time=number(paths, "invariants.cold", 0.0) / 1000,
        tip_multiple=number(paths, "invariants.tip_multiple", 1.0),
        beside_clients=paths.get("family") == BESIDE_CLIENTS,
        may_tell=_flag(paths, "limits.may_tell", False),
        me=int(number(paths, "me", 0)),
        warm_keys=_flag(paths, "extra.warm_keys", False),
    )


def load(report: Mapping[str, object]) -> Load | None:
    """A load report by the settings' names; a figure that is missing or unreadable stays unknown."""
    figures: dict[str, float] = {}
    for name, value in report.items():
        if name in LOAD_WORDS and isinstance(value, str | int | float) and value != "":
            try:
                figure = float(value) / (1000 if name.endswith("_ms") else 1)
            except (ValueError, OverflowError):
                continue
            # Guards against a server that reports no number: a comparison with it would hold neither way.
            if math.isfinite(figure) and figure >= 0:
                figures[LOAD_WORDS[name]] = figure
    return Load(**figures) if report else None
