"""What a node is told: the environment and the file that GW_CONFIG names."""

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

LOOP_TICK = 0.01  # s by which timers of a loop on a shared core come late; 12 ms was the most seen
SOCKETS = 1024  # descriptors where no limit is told
PUSHED = "automatic"  # the mode in which lists are pushed
VARIABLES = {"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY", "mgmt": "GW_MGMT"}
NOWHERE: Address = ("", 0)
IDLE = 5000.0  # ms that servers keep an idle connection, where that is not told


@dataclass(frozen=True, slots=True)
class NodeConfig:
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
    admin_address: Address | None = None  # where operators call; none: nowhere
    shared_directory: str | None = (
        None  # the folder in which a later process of the node finds this one; none: nowhere
    )
    file: str | None = None
    gossip: tuple[Address, list[Address]] | None = None  # where notes are heard, and the peers by number
    key_header: str = ""
    list_is_pushed: bool = False  # an agent has the list, and what it has counts as told at once
    fleet: Mapping[str, Any] | None = None  # the section of that name, checked; none: nothing is shared
    document: Mapping[str, Any] = field(default_factory=dict)


def load_config(environment: Mapping[str, str]) -> NodeConfig:
    """What a node starts with. Read as safely as it can be: one that does not start serves nobody."""
    file = environment.get("GW_CONFIG") or None
    told = _object(file) if file else {}
    if mixed := validation.mixed_deployment_errors(told):
        # Guards against half of one shape and half of the other: it would serve, and lose jobs.
        raise validation.InvalidConfigurationError(mixed)
    given = {name: environment[key] for name, key in VARIABLES.items() if environment.get(key)}
    try:
        return _started({**told, **given}, told, environment)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        # Guards against an error that says what is wrong and not where.
        wrong = validation.errors_of(validation.SCHEMA, {**told, **given})
        raise ValueError("; ".join(wrong) or repr(error)) from error


def _started(said: Mapping[str, Any], told: Mapping[str, Any], environment: Mapping[str, str]) -> NodeConfig:
    """By all that is said, of which `told` is the file."""
    talk, mgmt, file = said.get("talk"), said.get("mgmt"), environment.get("GW_CONFIG") or None
    return replace(
        _settled(told),
        name=said["name"],
        listen=address_of(said["listen"]),
        discovery=address_of(said["discovery"]),
        cached_list=_known(told.get("known")),
        # Guards against counting on descriptors that the operating system will not give.
        max_descriptors=min(int(told.get("limits", {}).get("sockets", SOCKETS)), _may_open()),
        admin_address=address_of(mgmt) if mgmt else None,
        # Upgrades are asked for by operators; without a folder of the node's own another's might be met.
        shared_directory=environment.get("TMPDIR") if mgmt else None,
        file=file,
        gossip=(address_of(talk["listen"]), [address_of(peer) for peer in talk["peers"]]) if talk else None,
    )


def reload_config(told: NodeConfig) -> NodeConfig:
    """The same node with the discovery and the settings of its file now; Unfit with all that is wrong."""
    if told.file is None:
        raise validation.InvalidConfigurationError(["no file to read"])
    found = validation.parse(Path(told.file).read_text(encoding="utf-8"))
    validation.validate(found, told.document)
    settled = _settled(found)
    shape = _shape_changed(told.balancer, settled.balancer) + _fleet_changed(told.fleet, settled.fleet)
    if shape:
        raise validation.InvalidConfigurationError([f"{key}: changes with a start only" for key in shape])
    return replace(
        settled,
        name=told.name,
        listen=told.listen,
        discovery=address_of(found["discovery"]),
        cached_list=told.cached_list,
        max_descriptors=told.max_descriptors,
        admin_address=told.admin_address,
        shared_directory=told.shared_directory,
        file=told.file,
        gossip=told.gossip,
    )


def _shape_changed(before: BalancerSettings, after: BalancerSettings) -> list[str]:
    """The settings that decide the shape and are not the same."""
    rows = [
        ("settings.family", before.sidecar, after.sidecar),
        ("settings.limits.may_tell", before.gossips, after.gossips),
        ("settings.extra.warm_keys", before.key_affinity, after.key_affinity),
    ]
    return [key for key, one, other in rows if one != other]


def _fleet_changed(before: Mapping[str, Any] | None, after: Mapping[str, Any] | None) -> list[str]:
    """What of the section `fleet` a node takes at a start only, and has changed; keys and limits may."""
    if before is None or after is None:
        return [] if before is after else ["fleet"]
    fixed = ("listen", "advertise", "seeds", "clock_drift", "clock_rate")
    return [f"fleet.{name}" for name in fixed if before.get(name) != after.get(name)]


def _settled(told: Mapping[str, Any]) -> NodeConfig:
    """What follows from the settings; the rest is blank."""
    paths = settings.flatten(told.get("settings", {}))
    found = settings.read_settings(int(str(told.get("seed", "0")), 16), paths)
    return NodeConfig(
        name="",
        listen=NOWHERE,
        discovery=NOWHERE,
        # On sockets the list must always be asked for.
        balancer=replace(found, polls_list=True, tick=max(found.tick, LOOP_TICK)),
        setting_names=SettingNames(
            request_classes=settings.names_of(paths, "profiles"),
            tenants=settings.names_of(paths, "tenants"),
            zones=settings.word_list(paths, "localities"),
        ),
        cached_list=None,
        max_descriptors=SOCKETS,
        connect_timeout=settings.number(paths, "limits.connect_timeout", settings.DEFAULT_CONNECT_TIMEOUT_MS)
        / 1000,
        connection_idle_timeout=settings.number(paths, "limits.conn_idle", IDLE) / 1000,
        key_header=str(told.get("key_header", "")).lower(),
        fleet=told.get("fleet"),
        list_is_pushed=paths.get("registry_mode") == PUSHED,
        load_path=protocol.LOAD_PATH if settings.word_list(paths, "report.fields") else protocol.HEALTH_PATH,
        document=told,
    )


def changed(before: NodeConfig, after: NodeConfig) -> list[str]:
    """What says something else in the file, but for what a node takes as it runs or only starts with."""
    names = sorted({*before.document, *after.document} - {"discovery", "known", "seed", "settings"})
    return [name for name in names if before.document.get(name) != after.document.get(name)]


def _object(file: str) -> dict[str, Any]:
    found = json.loads(Path(file).read_text(encoding="utf-8"))
    if not isinstance(found, dict):
        raise ValueError("no JSON object in the file")
    return found


def _may_open() -> int:
    """Descriptors that this process may hold by the operating system's word."""
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if most == resource.RLIM_INFINITY else most


def _known(told: Any) -> EndpointList | None:
    """The remembered list; one that is empty or unreadable is none, and discovery is waited for.

    Guards against a node that serves nobody while discovery is down, for a row that was torn or is of a form
    unheard of: what can be read counts. It is not whole then, and no changes can follow on it.
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
