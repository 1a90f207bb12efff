"""Parses settings, flat `path=value` pairs from a file or a protocol, into types. All settings are read here.

A missing or unreadable value gets the safest default. No balancing decision is made here.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from notchjunction.balancing.interface import (
    BalancerSettings,
    DeduplicationScope,
    Idempotency,
    LoadReport,
    RequestClass,
)

FlatSettings = Mapping[str, str]  # values by dotted path

IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.GROUP,
}
# Connect timeout if the settings give none.
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
# The kind of deployment in which each client process has a node of its own.
SIDECAR_FAMILY = "mesh"
# Figures of a load report: by their names in settings and on the wire, the fields of LoadReport.
LOAD_REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "error_rate",
}


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Returns nested JSON as flat settings.

    A list of objects gives `.count`, `.0`, `.1`, ...; other lists are joined by commas; null is left out.
    """
    prefix = path + "." if path else ""
    flat: dict[str, str] = {}
    if isinstance(value, Mapping):
        for name, item in value.items():
            flat.update(flatten(item, prefix + str(name)))
    elif isinstance(value, list) and all(isinstance(item, Mapping) for item in value):
        flat[prefix + "count"] = str(len(value))
        for i, item in enumerate(value):
            flat.update(flatten(item, f"{prefix}{i}"))
    elif isinstance(value, list):
        flat[path] = ",".join(str(item) for item in value)
    elif isinstance(value, bool):
        flat[path] = "true" if value else "false"
    elif value is not None:
        flat[path] = str(value)
    return flat


def number(paths: FlatSettings, path: str, default: float) -> float:
    """Returns the number at a path; `default` if it is missing or no number."""
    try:
        return float(paths[path])
    except (KeyError, ValueError):
        return default


def word_list(paths: FlatSettings, path: str) -> list[str]:
    """Returns the values of a list of simple values."""
    return [value for value in paths.get(path, "").split(",") if value]


def names_of(paths: FlatSettings, prefix: str) -> list[str]:
    """Returns the names in a list of objects."""
    return [paths.get(item + "name", "") for item in _items(paths, prefix)]


def _items(paths: FlatSettings, prefix: str) -> list[str]:
    """Returns the path prefixes of the objects in a list."""
    return [f"{prefix}.{i}." for i in range(int(number(paths, f"{prefix}.count", 0)))]


def _flag(paths: FlatSettings, path: str, default: bool) -> bool:
    return paths.get(path, "true" if default else "false") in ("true", "1")


def _read_request_class(paths: FlatSettings, prefix: str) -> RequestClass:
    deadline = number(paths, prefix + "abandon_time", 1000.0) / 1000
    return RequestClass(
        latency_objective=number(paths, prefix + "contract_time", deadline * 1000) / 1000,
        deadline=deadline,
        priority_weight=number(paths, prefix + "revenue", 1.0),
        late_weight=number(paths, prefix + "tardy_revenue", 0.0),
        idempotency=IDEMPOTENCY.get(paths.get(prefix + "effect", ""), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=DEDUPLICATION_SCOPES.get(
            paths.get(prefix + "dedup_scope", ""), DeduplicationScope.GROUP
        ),
        deduplication_window=number(paths, prefix + "window", 0.0) / 1000,
    )


def read_settings(seed: int, paths: FlatSettings) -> BalancerSettings:
    """Returns the balancer's settings; `seed` seeds its random number generator."""
    tiers = word_list(paths, "layers")
    tier = int(number(paths, "layer", -1))
    advises_retry = _flag(paths, "limits.retry_after", False)
    return BalancerSettings(
        seed=seed,
        request_classes=[_read_request_class(paths, item) for item in _items(paths, "profiles")],
        tenant_quotas=[number(paths, item + "quota_rps", 0.0) for item in _items(paths, "tenants")],
        over_quota_weight=number(paths, "overage_revenue", 1.0),
        node_count=max(1, int(number(paths, "group_size", 1))),
        tier=tier if 0 <= tier < len(tiers) else None,
        tier_count=len(tiers),
        zone=int(number(paths, "zone", 0)),
        polls_list=paths.get("registry_mode") == "subscribe",
        probes=_flag(paths, "limits.probes", False),
        cancellation=_flag(paths, "limits.cancel", False),
        hedging=_flag(paths, "limits.second_copies", False),
        retry_after_max=number(paths, "limits.max_retry_after", 0.0) / 1000 if advises_retry else 0.0,
        max_attempts=int(number(paths, "limits.max_dispatches", 1)),
        poll_interval=number(paths, "invariants.ask_within", 0.0) / 1000,
        tick=number(paths, "tick", 5.0) / 1000,
        cross_zone_cost=number(paths, "prices.cross_zone", 0.0),
        connection_cost=number(paths, "prices.connection", 0.0) + number(paths, "prices.handshake", 0.0),
        connection_idle_timeout=number(paths, "limits.conn_idle", 0.0) / 1000,
        connect_timeout=number(paths, "limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS) / 1000,
        streams_per_connection=int(number(paths, "limits.max_streams", 1)),
        slow_start_share=number(paths, "invariants.start_capacity", 1.0),
        slow_start_time=number(paths, "invariants.cold", 0.0) / 1000,
        overload_multiple=number(paths, "invariants.tip_multiple", 1.0),
        sidecar=paths.get("family") == SIDECAR_FAMILY,
        gossips=_flag(paths, "limits.may_tell", False),
        node_index=int(number(paths, "me", 0)),
        key_affinity=_flag(paths, "extra.warm_keys", False),
    )


def read_load_report(report: Mapping[str, object]) -> LoadReport | None:
    """Returns a load report from its figures by name; None for an empty one.

    A figure that is missing or unreadable stays unknown.
    """
    figures: dict[str, float] = {}
    for name, value in report.items():
        if name in LOAD_REPORT_FIELDS and isinstance(value, str | int | float) and value != "":
            try:
                figure = float(value) / (1000 if name.endswith("_ms") else 1)
            except (ValueError, OverflowError):
                continue
            # Guards against an endpoint that reports NaN: every comparison with it would be false.
            if math.isfinite(figure) and figure >= 0:
                figures[LOAD_REPORT_FIELDS[name]] = figure
    return LoadReport(**figures) if report else None
