"""Reads a node's configuration from environment variables and the file that GW_CONFIG names."""

from __future__ import annotations

import json
import math
import resource
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from notchjunction import protocol
from notchjunction.addresses import Address, address_of
from notchjunction.balancing.engine import SettingNames
from notchjunction.balancing.interface import BalancerSettings
from notchjunction.config import settings, validation
from notchjunction.discovery.endpoint_list import EndpointList, ListUnavailableError, read_list

# Assumed lateness of an event loop's timers on a shared core; up to 12 ms was observed.
LOOP_TICK_S = 0.01
BYTES_PER_MB = 1024 * 1024
# Limit on file descriptors if the configuration gives none.
DEFAULT_MAX_DESCRIPTORS = 1024
# The registry mode in which an agent pushes lists.
PUSHED_LIST_MODE = "automatic"
# Environment variables that override keys of the file, by key.
ENVIRONMENT_VARIABLES = {
    "name": "GW_NAME",
    "listen": "GW_LISTEN",
    "discovery": "GW_DISCOVERY",
    "mgmt": "GW_MGMT",
}
NO_ADDRESS: Address = ("", 0)
# How long endpoints keep an idle connection open, if the settings do not say.
DEFAULT_IDLE_TIMEOUT_MS = 5000.0


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of one node; times in s. Fields without a value in the file have their defaults."""

    name: str
    listen: Address
    discovery: Address
    balancer: BalancerSettings
    setting_names: SettingNames
    cached_list: EndpointList | None
    max_descriptors: int
    connect_timeout: float
    connection_idle_timeout: float
    load_path: str
    max_memory: float = math.inf  # bytes, of all processes of the node together; inf: no limit
    admin_address: Address | None = None  # of the admin API; None: no admin API
    shared_directory: str | None = None  # in which the node's processes hand over; None: no handover
    file: str | None = None  # path of the configuration file
    gossip: tuple[Address, list[Address]] | None = None  # own address, and those of all peers by number
    key_header: str = ""  # request header with the affinity key, in lower case; empty: none
    list_is_pushed: bool = False  # by an agent, whose changes count at once
    fleet: Mapping[str, Any] | None = None  # the file's section `fleet`, validated; None: no fleet
    document: Mapping[str, Any] = field(default_factory=dict)  # the file's JSON object


def load_config(environment: Mapping[str, str]) -> NodeConfig:
    """Returns the configuration with which a node starts.

    Validation is as lenient as is safe, as a node that does not start serves no clients.

    Raises:
        InvalidConfigurationError: The file mixes two kinds of deployment, or has an invalid section `fleet`.
        ValueError: A value is unusable.
    """
    file = environment.get("GW_CONFIG") or None
    document = _read_document(file) if file else {}
    if mixed := validation.mixed_deployment_errors(document):
        # Guards against a file that mixes both kinds of deployment: the node would start and lose requests.
        raise validation.InvalidConfigurationError(mixed)
    overrides = {
        name: environment[key] for name, key in ENVIRONMENT_VARIABLES.items() if environment.get(key)
    }
    try:
        return _initial_config({**document, **overrides}, document, environment)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        # Guards against an error message that does not say which key is wrong.
        errors = validation.errors_of(validation.SCHEMA, {**document, **overrides})
        raise ValueError("; ".join(errors) or repr(error)) from error


def _initial_config(
    merged: Mapping[str, Any], document: Mapping[str, Any], environment: Mapping[str, str]
) -> NodeConfig:
    """Returns the configuration from `merged`, the file `document` overridden by the environment."""
    gossip, admin, file = merged.get("talk"), merged.get("mgmt"), environment.get("GW_CONFIG") or None
    return replace(
        _config_from_settings(document),
        name=merged["name"],
        listen=address_of(merged["listen"]),
        discovery=address_of(merged["discovery"]),
        cached_list=_read_cached_list(document.get("known")),
        # Guards against relying on more descriptors than the operating system allows.
        max_descriptors=min(
            int(document.get("limits", {}).get("sockets", DEFAULT_MAX_DESCRIPTORS)), _descriptor_limit()
        ),
        max_memory=float(document.get("limits", {}).get("memory_mb", math.inf)) * BYTES_PER_MB,
        admin_address=address_of(admin) if admin else None,
        # Only a node with an admin API is upgraded, as operators request that. Without a directory of its
        # own it takes no part in handovers, as it might join a process of another node.
        shared_directory=environment.get("TMPDIR") if admin else None,
        file=file,
        gossip=(address_of(gossip["listen"]), [address_of(peer) for peer in gossip["peers"]])
        if gossip
        else None,
    )


def reload_config(current: NodeConfig) -> NodeConfig:
    """Returns the node's configuration with discovery and settings read again from its file.

    Raises:
        InvalidConfigurationError: The file is invalid, or changes a key that only a start applies.
    """
    if current.file is None:
        raise validation.InvalidConfigurationError(["there is no configuration file to reload"])
    document = validation.parse(Path(current.file).read_text(encoding="utf-8"))
    validation.validate(document, current.document)
    reloaded = _config_from_settings(document)
    fixed = _deployment_changes(current.balancer, reloaded.balancer) + _fleet_changes(
        current.fleet, reloaded.fleet
    )
    if fixed:
        raise validation.InvalidConfigurationError(
            [f"{key}: can be changed only by a restart" for key in fixed]
        )
    return replace(
        reloaded,
        name=current.name,
        listen=current.listen,
        discovery=address_of(document["discovery"]),
        cached_list=current.cached_list,
        max_descriptors=current.max_descriptors,
        max_memory=current.max_memory,
        admin_address=current.admin_address,
        shared_directory=current.shared_directory,
        file=current.file,
        gossip=current.gossip,
    )


def _deployment_changes(before: BalancerSettings, after: BalancerSettings) -> list[str]:
    """Returns the keys of changed settings that decide the kind of deployment."""
    rows = [
        ("settings.family", before.sidecar, after.sidecar),
        ("settings.limits.may_tell", before.gossips, after.gossips),
        ("settings.extra.warm_keys", before.key_affinity, after.key_affinity),
    ]
    return [key for key, old, new in rows if old != new]


def _fleet_changes(before: Mapping[str, Any] | None, after: Mapping[str, Any] | None) -> list[str]:
    """Returns the changed keys of section `fleet` that only a start applies; keys and limits may change."""
    if before is None or after is None:
        return [] if before is after else ["fleet"]
    fixed_names = ("listen", "advertise", "seeds", "clock_drift", "clock_rate")
    return [f"fleet.{name}" for name in fixed_names if before.get(name) != after.get(name)]


def _config_from_settings(document: Mapping[str, Any]) -> NodeConfig:
    """Returns the configuration that follows from the file alone; other fields have placeholders."""
    paths = settings.flatten(document.get("settings", {}))
    balancer = settings.read_settings(int(str(document.get("seed", "0")), 16), paths)
    return NodeConfig(
        name="",
        listen=NO_ADDRESS,
        discovery=NO_ADDRESS,
        # A node on a network always polls the list.
        balancer=replace(balancer, polls_list=True, tick=max(balancer.tick, LOOP_TICK_S)),
        setting_names=SettingNames(
            request_classes=settings.names_of(paths, "profiles"),
            tenants=settings.names_of(paths, "tenants"),
            zones=settings.word_list(paths, "localities"),
        ),
        cached_list=None,
        max_descriptors=DEFAULT_MAX_DESCRIPTORS,
        connect_timeout=settings.number(paths, "limits.connect_timeout", settings.DEFAULT_CONNECT_TIMEOUT_MS)
        / 1000,
        connection_idle_timeout=settings.number(paths, "limits.conn_idle", DEFAULT_IDLE_TIMEOUT_MS) / 1000,
        key_header=str(document.get("key_header", "")).lower(),
        fleet=document.get("fleet"),
        list_is_pushed=paths.get("registry_mode") == PUSHED_LIST_MODE,
        load_path=protocol.LOAD_PATH if settings.word_list(paths, "report.fields") else protocol.HEALTH_PATH,
        document=document,
    )


def changed_keys(before: NodeConfig, after: NodeConfig) -> list[str]:
    """Returns the changed keys of the file, except those that a node reloads or reads only at its start."""
    names = sorted({*before.document, *after.document} - {"discovery", "known", "seed", "settings"})
    return [name for name in names if before.document.get(name) != after.document.get(name)]


def _read_document(file: str) -> dict[str, Any]:
    parsed = json.loads(Path(file).read_text(encoding="utf-8"))
    if not isinstance(parsed, dict):
        raise ValueError("no JSON object in the file")
    return parsed


def _descriptor_limit() -> int:
    """Returns how many descriptors the operating system allows this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit


def _read_cached_list(document: Any) -> EndpointList | None:
    """Returns the cached list; None for an empty or unreadable one: the node then waits for discovery.

    Guards against a node that serves no clients while discovery is down because one row of the list is
    incomplete or has an unknown form: the readable rows are used. The list is then no snapshot, so no
    changes can be applied to it.
    """
    try:
        cached = read_list(document)
    except ListUnavailableError:
        rows = document.get("endpoints") if isinstance(document, Mapping) else None
        readable = [row for row in rows if _is_readable(row)] if isinstance(rows, list) else []
        cached = read_list({"index": 0, "snapshot": False, "endpoints": readable})
    return cached if cached.endpoints else None


def _is_readable(row: Any) -> bool:
    try:
        read_list({"index": 0, "snapshot": False, "endpoints": [row]})
    except ListUnavailableError:
        return False
    return True
