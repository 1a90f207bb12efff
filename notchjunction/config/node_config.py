"""A node's configuration, from the environment and the file that GW_CONFIG names."""

from __future__ import annotations

import json
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

# Timers of an event loop on a shared core fire this late; at most 12 ms was seen.
LOOP_TICK_S = 0.01
# File descriptors where no limit is given.
DEFAULT_MAX_DESCRIPTORS = 1024
# The registry mode in which an agent pushes lists.
PUSHED_LIST_MODE = "automatic"
VARIABLES = {"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY", "mgmt": "GW_MGMT"}
NO_ADDRESS: Address = ("", 0)
# Endpoints keep an idle connection for this long, where the settings do not say.
DEFAULT_IDLE_TIMEOUT_MS = 5000.0


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """What a node runs with; times in s. Fields without a value in the file have their defaults."""

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
    admin_address: Address | None = None  # of the admin API; None: it is off
    shared_directory: str | None = None  # where a later process of the node finds this one; None: no upgrades
    file: str | None = None
    gossip: tuple[Address, list[Address]] | None = None  # own address, and those of all peers by number
    key_header: str = ""
    list_is_pushed: bool = False  # by an agent: its changes count at once
    fleet: Mapping[str, Any] | None = None  # the section of that name, validated; None: no fleet
    document: Mapping[str, Any] = field(default_factory=dict)


def load_config(environment: Mapping[str, str]) -> NodeConfig:
    """Returns what a node starts with, as lenient as is safe: a node that does not start serves nobody.

    Raises InvalidConfigurationError for mixed kinds of deployment, ValueError for anything else unusable.
    """
    file = environment.get("GW_CONFIG") or None
    document = _object(file) if file else {}
    if mixed := validation.mixed_deployment_errors(document):
        # Guards against half of one shape and half of the other: it would serve, and lose requests.
        raise validation.InvalidConfigurationError(mixed)
    overrides = {name: environment[key] for name, key in VARIABLES.items() if environment.get(key)}
    try:
        return _started({**document, **overrides}, document, environment)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        # Guards against an error that says what is wrong and not where.
        errors = validation.errors_of(validation.SCHEMA, {**document, **overrides})
        raise ValueError("; ".join(errors) or repr(error)) from error


def _started(
    merged: Mapping[str, Any], document: Mapping[str, Any], environment: Mapping[str, str]
) -> NodeConfig:
    """Returns the configuration from `merged`, the file `document` overridden by the environment."""
    gossip, admin, file = merged.get("talk"), merged.get("mgmt"), environment.get("GW_CONFIG") or None
    return replace(
        _settled(document),
        name=merged["name"],
        listen=address_of(merged["listen"]),
        discovery=address_of(merged["discovery"]),
        cached_list=_known(document.get("known")),
        # Guards against counting on descriptors that the operating system will not give.
        max_descriptors=min(
            int(document.get("limits", {}).get("sockets", DEFAULT_MAX_DESCRIPTORS)), _may_open()
        ),
        admin_address=address_of(admin) if admin else None,
        # Operators request upgrades; without a directory of its own, a node might meet another one's process.
        shared_directory=environment.get("TMPDIR") if admin else None,
        file=file,
        gossip=(address_of(gossip["listen"]), [address_of(peer) for peer in gossip["peers"]])
        if gossip
        else None,
    )


def reload_config(current: NodeConfig) -> NodeConfig:
    """Returns the same node with discovery and settings of its file as it is now.

    Raises InvalidConfigurationError with all errors.
    """
    if current.file is None:
        raise validation.InvalidConfigurationError(["no file to read"])
    document = validation.parse(Path(current.file).read_text(encoding="utf-8"))
    validation.validate(document, current.document)
    settled = _settled(document)
    shape = _shape_changed(current.balancer, settled.balancer) + _fleet_changed(current.fleet, settled.fleet)
    if shape:
        raise validation.InvalidConfigurationError([f"{key}: changes with a start only" for key in shape])
    return replace(
        settled,
        name=current.name,
        listen=current.listen,
        discovery=address_of(document["discovery"]),
        cached_list=current.cached_list,
        max_descriptors=current.max_descriptors,
        admin_address=current.admin_address,
        shared_directory=current.shared_directory,
        file=current.file,
        gossip=current.gossip,
    )


def _shape_changed(before: BalancerSettings, after: BalancerSettings) -> list[str]:
    """Returns the settings that decide the kind of deployment and differ."""
    rows = [
        ("settings.family", before.sidecar, after.sidecar),
        ("settings.limits.may_tell", before.gossips, after.gossips),
        ("settings.extra.warm_keys", before.key_affinity, after.key_affinity),
    ]
    return [key for key, one, other in rows if one != other]


def _fleet_changed(before: Mapping[str, Any] | None, after: Mapping[str, Any] | None) -> list[str]:
    """Returns what differs in section `fleet` that only a start applies; keys and limits may differ."""
    if before is None or after is None:
        return [] if before is after else ["fleet"]
    fixed = ("listen", "advertise", "seeds", "clock_drift", "clock_rate")
    return [f"fleet.{name}" for name in fixed if before.get(name) != after.get(name)]


def _settled(document: Mapping[str, Any]) -> NodeConfig:
    """Returns the configuration that follows from the file's settings; other fields are blank."""
    paths = settings.flatten(document.get("settings", {}))
    balancer = settings.read_settings(int(str(document.get("seed", "0")), 16), paths)
    return NodeConfig(
        name="",
        listen=NO_ADDRESS,
        discovery=NO_ADDRESS,
        # On sockets the list must always be polled.
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
    """Returns the keys that differ, except those that a node reloads or only reads at its start."""
    names = sorted({*before.document, *after.document} - {"discovery", "known", "seed", "settings"})
    return [name for name in names if before.document.get(name) != after.document.get(name)]


def _object(file: str) -> dict[str, Any]:
    found = json.loads(Path(file).read_text(encoding="utf-8"))
    if not isinstance(found, dict):
        raise ValueError("no JSON object in the file")
    return found


def _may_open() -> int:
    """Returns how many descriptors the operating system allows this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit


def _known(told: Any) -> EndpointList | None:
    """Returns the cached list; None for an empty or unreadable one, and the node waits for discovery.

    Guards against a node that serves nobody while discovery is down, for a row that was torn or has an
    unknown form: what can be read counts. Then it is no snapshot, and no changes can be applied to it.
    """
    try:
        known = read_list(told)
    except ListUnavailableError:
        rows = told.get("endpoints") if isinstance(told, Mapping) else None
        sound = [row for row in rows if _readable(row)] if isinstance(rows, list) else []
        known = read_list({"index": 0, "snapshot": False, "endpoints": sound})
    return known if known.endpoints else None


def _readable(row: Any) -> bool:
    try:
        read_list({"index": 0, "snapshot": False, "endpoints": [row]})
    except ListUnavailableError:
        return False
    return True
