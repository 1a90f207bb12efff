"""Experiments as TOML files, checked whole: every error at once, with its place. Times in seconds."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from voluptuous import All, In, Length, Optional, Range, Required, Schema

from notchjunction.balancing.interface import DeduplicationScope, Idempotency, RequestClass
from notchjunction.config.validation import (
    ABOVE_0,
    FROM_0,
    MAX_CLOCK_DRIFT,
    WORD,
    InvalidConfigurationError,
    errors_of,
    whole_number,
)
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream, Tier
from notchjunction.experiments.baselines import VARIANTS
from notchjunction.testbed.fleet_stage import DEFAULT_CLOCK_DRIFT, FleetPart, ProcessFault, ProcessKind
from notchjunction.testbed.links import Kind as LinkKind
from notchjunction.testbed.links import LinkFault

VERSION = 1  # of the files; another one is refused
RUNS_MOST = 10_000  # of one experiment; more is a slip of the pen
COUNT = All(whole_number, Range(min=1))
SHARE = All(FROM_0, Range(max=1))
PROFILE = {
    Required("contract_time"): ABOVE_0,
    Required("abandon_time"): ABOVE_0,
    Optional("revenue"): FROM_0,
    Optional("late_share"): SHARE,
    Optional("effect"): In([effect.value for effect in Idempotency]),
    Optional("group"): In([group.value for group in DeduplicationScope]),
    Optional("window"): FROM_0,
}
# A profile's keys in the file, and the fields of the request class that they set.
REQUEST_CLASS_FIELDS = {
    "contract_time": "latency_objective",
    "abandon_time": "deadline",
    "revenue": "priority_weight",
    "late_share": "late_weight",
    "effect": "idempotency",
    "group": "deduplication_scope",
    "window": "deduplication_window",
}
STREAM = {
    Required("profile"): All(whole_number, Range(min=0)),
    Required("rate"): ABOVE_0,
    Optional("at"): FROM_0,
    Optional("until"): ABOVE_0,
    Optional("work"): ABOVE_0,
    Optional("operator"): All(whole_number, Range(min=0)),
}
TIER: dict[Any, Any] = {
    Required("servers"): COUNT,
    **{Optional(name): COUNT for name in ("workers", "queue_most")},
    **{Optional(name): ABOVE_0 for name in ("share", "calls")},
    Optional("speeds"): All([ABOVE_0], Length(min=1)),
    **{Optional(name): All(whole_number, Range(min=0)) for name in ("connections_most", "slots")},
}
FAULT = {
    Required("kind"): In([kind.value for kind in Kind]),
    Required("at"): FROM_0,
    Required("until"): ABOVE_0,
    Optional("servers"): [All(whole_number, Range(min=0))],
    Optional("size"): ABOVE_0,
    Optional("tier"): All(whole_number, Range(min=0)),
    Optional("zones"): [All(whole_number, Range(min=0))],
}
AT: dict[Any, Any] = {Required("at"): FROM_0, Required("until"): ABOVE_0}
LINK_FAULT: dict[Any, Any] = {
    **AT,
    Required("kind"): In([kind.value for kind in LinkKind]),
    Optional("size"): FROM_0,
    Optional("sides"): [[WORD]],
    Optional("pairs"): [All([WORD], Length(min=2, max=2, msg="expected two nodes"))],
}
PROCESS_FAULT: dict[Any, Any] = {
    **AT,
    Required("kind"): In([kind.value for kind in ProcessKind]),
    Required("node"): All(whole_number, Range(min=0)),
}
FLEET = {
    Required("owners"): All([All(whole_number, Range(min=0))], Length(min=1)),
    Optional("drift"): All(FROM_0, Range(max=MAX_CLOCK_DRIFT)),
    Optional("rates"): [ABOVE_0],
    Optional("links"): [LINK_FAULT],
    Optional("processes"): [PROCESS_FAULT],
}
COUNTS = ("nodes", "servers", "zones", "workers", "queue_most", "client_tries")
DEFAULT = Scenario("")
PLAIN = [field.name for field in fields(Scenario) if isinstance(field.default, int | float)]
POSITIVE = ("length", "cold_time", "tip_span", "list_rate", "overdrive_times")  # of the plain ones, never 0
SHARES = ("cold_share", "client_patience", "client_leaves")
SCENARIO: dict[Any, Any] = {
    **{Optional(name): FROM_0 for name in PLAIN if name != "seed"},
    **{Optional(name): ABOVE_0 for name in POSITIVE},
    **{Optional(name): SHARE for name in SHARES},
    **{Optional(name): COUNT for name in COUNTS},
    Required("name"): WORD,
    Optional("profiles"): All([PROFILE], Length(min=1)),
    Optional("streams"): All([STREAM], Length(min=1)),
    Optional("tiers"): All([TIER], Length(min=1)),
    Optional("quotas"): [FROM_0],
    Optional("faults"): [FAULT],
    Optional("fleet"): FLEET,
}
EXPERIMENT = Schema(
    {
        Required("version"): In([VERSION]),
        Required("name"): WORD,
        Required("seeds"): All([whole_number], Length(min=1)),
        Required("variants"): All([In(sorted(VARIANTS))], Length(min=1)),
        Required("scenarios"): All([SCENARIO], Length(min=1)),
    }
)


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    seeds: tuple[int, ...]
    variants: tuple[str, ...]
    scenarios: tuple[Scenario, ...]
    fleets: Mapping[str, FleetPart]  # by scenario, of those whose nodes are one fleet


def read_experiment(file: Path) -> Experiment:
    """The experiment in a file; Unfit with all that is wrong with it."""
    try:
        told = tomllib.loads(file.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidConfigurationError([str(error)]) from error
    if malformed := errors_of(EXPERIMENT, told):
        raise InvalidConfigurationError(malformed)
    errors = [
        error for i, row in enumerate(told["scenarios"]) for error in _contradictions(f"scenarios.{i}", row)
    ]
    names = [row["name"] for row in told["scenarios"]]
    for name in sorted({name for name in names if names.count(name) > 1}):
        errors.append(f"scenarios: {name} is named twice")
    for what in ("seeds", "variants"):
        if len(set(told[what])) < len(told[what]):
            errors.append(f"{what}: one is named twice, and its runs would count twice")
    if len(names) * len(told["seeds"]) * len(told["variants"]) > RUNS_MOST:
        errors.append(f"seeds: more than {RUNS_MOST} runs")
    if errors:
        raise InvalidConfigurationError(errors)
    scenarios = tuple(_scenario(row) for row in told["scenarios"])
    fleets = {row["name"]: _fleet(row["fleet"]) for row in told["scenarios"] if "fleet" in row}
    return Experiment(told["name"], tuple(told["seeds"]), tuple(told["variants"]), scenarios, fleets)


ONE_TIER = ("servers", "workers", "queue_most")  # said of the one tier, where there are no `tiers`
SHARED = (Kind.ERRORS, Kind.RESET, Kind.LOSE, Kind.LIST_SPLIT)  # whose size is a share


def _contradictions(stem: str, row: Mapping[str, Any]) -> list[str]:
    found = []
    profiles = row.get("profiles", DEFAULT.profiles)
    tiers = [tier["servers"] for tier in row.get("tiers", ())] or [row.get("servers", DEFAULT.servers)]
    zones = row.get("zones", 1)
    if zones > tiers[0]:
        found.append(f"{stem}.zones: more zones than servers")
    for name in ONE_TIER:
        if "tiers" in row and name in row:
            found.append(f"{stem}.{name}: said of one tier, and there are tiers")
    for i, stream in enumerate(row.get("streams", ())):
        if row.get("quotas") and stream.get("operator", 0) >= len(row["quotas"]):
            found.append(f"{stem}.streams.{i}.operator: has no quota")
    for i, profile in enumerate(row.get("profiles", ())):
        if profile["abandon_time"] < profile["contract_time"]:
            found.append(f"{stem}.profiles.{i}.abandon_time: under the contract time")
        if profile.get("window", 0) and profile.get("effect") != Idempotency.KEYED.value:
            found.append(f"{stem}.profiles.{i}.window: repeats are dropped of numbered profiles alone")
    for i, stream in enumerate(row.get("streams", ())):
        if stream["profile"] >= len(profiles):
            found.append(f"{stem}.streams.{i}.profile: no such profile")
        if stream.get("until", float("inf")) <= stream.get("at", 0.0):
            found.append(f"{stem}.streams.{i}.until: not after its beginning")
    for i, fault in enumerate(row.get("faults", ())):
        if fault["until"] <= fault["at"]:
            found.append(f"{stem}.faults.{i}.until: not after its beginning")
        if fault.get("tier", 0) >= len(tiers):
            found.append(f"{stem}.faults.{i}.tier: no such tier")
        elif any(server >= tiers[fault.get("tier", 0)] for server in fault.get("servers", ())):
            found.append(f"{stem}.faults.{i}.servers: no such server")
        if any(zone >= zones for zone in fault.get("zones", ())):
            found.append(f"{stem}.faults.{i}.zones: no such zone")
        if Kind(fault["kind"]) in SHARED and fault.get("size", 1.0) > 1:
            found.append(f"{stem}.faults.{i}.size: a share over 1")
    return found + (_fleet_contradictions(stem + ".fleet", row) if "fleet" in row else [])


def _fleet_contradictions(stem: str, row: Mapping[str, Any]) -> list[str]:
    found, fleet, nodes = [], row["fleet"], row.get("nodes", DEFAULT.nodes)
    names = {f"n{number}" for number in range(nodes)}
    if "tiers" in row:
        found.append(f"{stem}: with one tier alone")
    for name in ("owners", "rates"):
        if name in fleet and len(fleet[name]) != nodes:
            found.append(f"{stem}.{name}: expected one for each node")
    if not sum(fleet["owners"]):
        found.append(f"{stem}.owners: expected one right at least")
    for i, fault in enumerate(fleet.get("processes", ())):
        if fault["node"] >= nodes:
            found.append(f"{stem}.processes.{i}.node: no such node")
    for i, fault in enumerate(fleet.get("links", ())):
        strangers = {
            name for each in (*fault.get("sides", ()), *fault.get("pairs", ())) for name in each
        } - names
        if strangers:
            found.append(f"{stem}.links.{i}: no such node: {', '.join(sorted(strangers))}")
    for what in ("processes", "links"):
        for i, fault in enumerate(fleet.get(what, ())):
            if fault["until"] <= fault["at"]:
                found.append(f"{stem}.{what}.{i}.until: not after its beginning")
    return found


def _scenario(row: Mapping[str, Any]) -> Scenario:
    told = dict(row)
    if "profiles" in told:
        told["profiles"] = tuple(_profile(profile) for profile in told["profiles"])
    if "streams" in told:
        told["streams"] = tuple(Stream(**stream) for stream in told["streams"])
    if "tiers" in told:
        told["tiers"] = tuple(
            Tier(**{**tier, "speeds": tuple(tier.get("speeds", Tier().speeds))}) for tier in told["tiers"]
        )
    told["quotas"] = tuple(told.get("quotas", ()))
    told["faults"] = tuple(
        Fault(
            **{
                **fault,
                "kind": Kind(fault["kind"]),
                "servers": tuple(fault.get("servers", ())),
                "zones": tuple(fault.get("zones", ())),
            }
        )
        for fault in told.get("faults", ())
    )
    return Scenario(**{field.name: told[field.name] for field in fields(Scenario) if field.name in told})


def _fleet(row: Mapping[str, Any]) -> FleetPart:
    links = (
        {**fault, "kind": LinkKind(fault["kind"]), "pairs": [tuple(pair) for pair in fault.get("pairs", ())]}
        for fault in row.get("links", ())
    )
    processes = ({**fault, "kind": ProcessKind(fault["kind"])} for fault in row.get("processes", ()))
    return FleetPart(
        owners=tuple(row["owners"]),
        drift=row.get("drift", DEFAULT_CLOCK_DRIFT),
        rates=tuple(row.get("rates", ())),
        links=tuple(LinkFault(**fault) for fault in links),
        processes=tuple(ProcessFault(**fault) for fault in processes),
    )


def _profile(row: Mapping[str, Any]) -> RequestClass:
    told = {REQUEST_CLASS_FIELDS[key]: value for key, value in row.items()}
    if "idempotency" in told:
        told["idempotency"] = Idempotency(told["idempotency"])
    if "deduplication_scope" in told:
        told["deduplication_scope"] = DeduplicationScope(told["deduplication_scope"])
    return RequestClass(**told)
