"""The wire's words and milliseconds as the interface's types; unknown words get the safest reading."""

from __future__ import annotations

from collections.abc import Sequence

from notchjunction.interface import Effect, Group, Load, News, Presence, Profile, Result, Terms
from notchjunction.simwire.codec import Fields

RESULTS = {
    "done": Result.HONOURED,
    "err": Result.ERROR,
    "busy": Result.FULL,
    "etimedout": Result.TIMED_OUT,
    "econnrefused": Result.NO_CONNECTION,
    "econnreset": Result.RESET,
    "ecanceled": Result.RECALLED,
    "skipped": Result.NEVER_SENT,
}
EFFECTS = {"repeatable": Effect.REISSUABLE, "by_key": Effect.NUMBERED, "once": Effect.AT_MOST_ONCE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
PRESENCES = {"on": Presence.READY, "fading": Presence.DRAINING, "off": Presence.GONE}
NEWS = {"patch": News.CHANGES, "whole": News.WHOLE, "stale_copy": News.REMEMBERED, "broken": News.FAILED}
LOAD_WORDS = {
    "rif": "held",
    "q": "waiting",
    "busy": "busy",
    "lat_ms": "pace",
    "rate": "rate",
    "fail_rate": "errors",
}


def _number(paths: Fields, path: str, default: float) -> float:
    try:
        return float(paths[path])
    except (KeyError, ValueError):
        return default


def _flag(paths: Fields, path: str, default: bool) -> bool:
    return paths.get(path, "true" if default else "false") in ("true", "1")


def _profile(paths: Fields, stem: str) -> Profile:
    abandon = _number(paths, stem + "abandon_time", 1000.0) / 1000
    return Profile(
        contract_time=_number(paths, stem + "contract_time", abandon * 1000) / 1000,
        abandon_time=abandon,
        revenue=_number(paths, stem + "revenue", 1.0),
        late_share=_number(paths, stem + "tardy_revenue", 0.0),
        effect=EFFECTS.get(paths.get(stem + "effect", ""), Effect.AT_MOST_ONCE),
        group=GROUPS.get(paths.get(stem + "dedup_scope", ""), Group.CELL),
        window=_number(paths, stem + "window", 0.0) / 1000,
        contract_stretch=_number(paths, stem + "aim_stretch", 0.0),
    )


def terms(seed: int, paths: Fields) -> Terms:
    layers = [name for name in paths.get("layers", "").split(",") if name]
    layer = int(_number(paths, "layer", -1))
    operators = range(int(_number(paths, "tenants.count", 0)))
    advised = _flag(paths, "limits.retry_after", False)
    return Terms(
        seed=seed,
        profiles=[_profile(paths, f"profiles.{i}.") for i in range(int(_number(paths, "profiles.count", 0)))],
        operator_quotas=[_number(paths, f"tenants.{i}.quota_rps", 0.0) for i in operators],
        nodes=max(1, int(_number(paths, "group_size", 1))),
        depth=layer if 0 <= layer < len(layers) else None,
        depths=len(layers),
        zone=int(_number(paths, "zone", 0)),
        must_follow=paths.get("registry_mode") == "subscribe",
        probes=_flag(paths, "limits.probes", False),
        recalls=_flag(paths, "limits.cancel", False),
        second_copies=_flag(paths, "limits.second_copies", False),
        advice_limit=_number(paths, "limits.max_retry_after", 0.0) / 1000 if advised else 0.0,
        max_dispatches=int(_number(paths, "limits.max_dispatches", 1)),
        ask_within=_number(paths, "invariants.ask_within", 0.0) / 1000,
        tick=_number(paths, "tick", 5.0) / 1000,
        crossing_price=_number(paths, "prices.cross_zone", 0.0),
        connection_price=_number(paths, "prices.connection", 0.0) + _number(paths, "prices.handshake", 0.0),
        connection_idle=_number(paths, "limits.conn_idle", 0.0) / 1000,
        connection_jobs=int(_number(paths, "limits.max_streams", 1)),
        cold_share=_number(paths, "invariants.start_capacity", 1.0),
        cold_time=_number(paths, "invariants.cold", 0.0) / 1000,
        tip_multiple=_number(paths, "invariants.tip_multiple", 1.0),
        tip_span=_number(paths, "invariants.fall", 1000.0) / 1000,
    )


def load(fields: Sequence[str], row: str | None) -> Load | None:
    """A report row; a value that is missing or unreadable stays unknown."""
    if not row:
        return None
    figures: dict[str, float] = {}
    for name, value in zip(fields, row.split(","), strict=False):
        if name in LOAD_WORDS and value:
            try:
                figures[LOAD_WORDS[name]] = float(value) / (1000 if name == "lat_ms" else 1)
            except ValueError:
                continue
    return Load(**figures)
