"""Parsing and validation of experiment files (TOML). All errors are reported at once, each with its path.

All times in these files are in seconds.
"""

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

VERSION = 1  # version of the file format; any other version is rejected
MAX_RUNS = 10_000  # runs per experiment; a larger number is most likely a mistake in the file
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
# Maps the keys of a profile in the file to the fields of `RequestClass`.
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
INTERVAL: dict[Any, Any] = {Required("at"): FROM_0, Required("until"): ABOVE_0}
LINK_FAULT: dict[Any, Any] = {
    **INTERVAL,
    Required("kind"): In([kind.value for kind in LinkKind]),
    Optional("size"): FROM_0,
    Optional("sides"): [[WORD]],
    Optional("pairs"): [All([WORD], Length(min=2, max=2, msg="expected two nodes"))],
}
PROCESS_FAULT: dict[Any, Any] = {
    **INTERVAL,
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
COUNT_FIELDS = ("nodes", "servers", "zones", "workers", "queue_most", "client_tries")
DEFAULT_SCENARIO = Scenario("")
NUMERIC_FIELDS = [field.name for field in fields(Scenario) if isinstance(field.default, int | float)]
# Numeric fields that must not be 0.
POSITIVE_FIELDS = ("length", "cold_time", "tip_span", "list_rate", "overdrive_times")
SHARE_FIELDS = ("cold_share", "client_patience", "client_leaves")
SCENARIO: dict[Any, Any] = {
    **{Optional(name): FROM_0 for name in NUMERIC_FIELDS if name != "seed"},
    **{Optional(name): ABOVE_0 for name in POSITIVE_FIELDS},
    **{Optional(name): SHARE for name in SHARE_FIELDS},
    **{Optional(name): COUNT for name in COUNT_FIELDS},
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
    """An experiment: every scenario is run with every variant and every seed."""

    name: str
    seeds: tuple[int, ...]
    variants: tuple[str, ...]
    scenarios: tuple[Scenario, ...]
    fleets: Mapping[str, FleetPart]  # by scenario name; only scenarios whose nodes form a fleet


def read_experiment(file: Path) -> Experiment:
    """Read and validate an experiment file.

    Raises `InvalidConfigurationError` with all errors of the file.
    """
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidConfigurationError([str(error)]) from error
    if malformed := errors_of(EXPERIMENT, document):
        raise InvalidConfigurationError(malformed)
    errors = [
        error
        for i, row in enumerate(document["scenarios"])
        for error in _scenario_errors(f"scenarios.{i}", row)
    ]
    names = [row["name"] for row in document["scenarios"]]
    for name in sorted({name for name in names if names.count(name) > 1}):
        errors.append(f"scenarios: name {name} is used more than once")
    for key in ("seeds", "variants"):
        if len(set(document[key])) < len(document[key]):
            errors.append(f"{key}: duplicate value, whose runs would be counted twice")
    if len(names) * len(document["seeds"]) * len(document["variants"]) > MAX_RUNS:
        errors.append(f"seeds: more than {MAX_RUNS} runs")
    if errors:
        raise InvalidConfigurationError(errors)
    scenarios = tuple(_scenario(row) for row in document["scenarios"])
    fleets = {row["name"]: _fleet(row["fleet"]) for row in document["scenarios"] if "fleet" in row}
    return Experiment(
        document["name"], tuple(document["seeds"]), tuple(document["variants"]), scenarios, fleets
    )


SINGLE_TIER_KEYS = ("servers", "workers", "queue_most")  # allowed only without `tiers`
KINDS_WITH_SHARE = (Kind.ERRORS, Kind.RESET, Kind.LOSE, Kind.LIST_SPLIT)  # their `size` is a share, 0 to 1


def _scenario_errors(path: str, row: Mapping[str, Any]) -> list[str]:
    errors = []
    profiles = row.get("profiles", DEFAULT_SCENARIO.profiles)
    tiers = [tier["servers"] for tier in row.get("tiers", ())] or [
        row.get("servers", DEFAULT_SCENARIO.servers)
    ]
    zones = row.get("zones", 1)
    if zones > tiers[0]:
        errors.append(f"{path}.zones: more zones than servers")
    for name in SINGLE_TIER_KEYS:
        if "tiers" in row and name in row:
            errors.append(f"{path}.{name}: not allowed together with tiers")
    for i, stream in enumerate(row.get("streams", ())):
        if row.get("quotas") and stream.get("operator", 0) >= len(row["quotas"]):
            errors.append(f"{path}.streams.{i}.operator: no quota for this operator")
    for i, profile in enumerate(row.get("profiles", ())):
        if profile["abandon_time"] < profile["contract_time"]:
            errors.append(f"{path}.profiles.{i}.abandon_time: less than contract_time")
        if profile.get("window", 0) and profile.get("effect") != Idempotency.KEYED.value:
            errors.append(f"{path}.profiles.{i}.window: only allowed with the effect numbered")
    for i, stream in enumerate(row.get("streams", ())):
        if stream["profile"] >= len(profiles):
            errors.append(f"{path}.streams.{i}.profile: no such profile")
        if stream.get("until", float("inf")) <= stream.get("at", 0.0):
            errors.append(f"{path}.streams.{i}.until: must be after `at`")
    for i, fault in enumerate(row.get("faults", ())):
        if fault["until"] <= fault["at"]:
            errors.append(f"{path}.faults.{i}.until: must be after `at`")
        if fault.get("tier", 0) >= len(tiers):
            errors.append(f"{path}.faults.{i}.tier: no such tier")
        elif any(server >= tiers[fault.get("tier", 0)] for server in fault.get("servers", ())):
            errors.append(f"{path}.faults.{i}.servers: no such server")
        if any(zone >= zones for zone in fault.get("zones", ())):
            errors.append(f"{path}.faults.{i}.zones: no such zone")
        if Kind(fault["kind"]) in KINDS_WITH_SHARE and fault.get("size", 1.0) > 1:
            errors.append(f"{path}.faults.{i}.size: expected a share of at most 1")
    return errors + (_fleet_errors(path + ".fleet", row) if "fleet" in row else [])


def _fleet_errors(path: str, row: Mapping[str, Any]) -> list[str]:
    errors, fleet, nodes = [], row["fleet"], row.get("nodes", DEFAULT_SCENARIO.nodes)
    names = {f"n{number}" for number in range(nodes)}
    if "tiers" in row:
        errors.append(f"{path}: not allowed together with tiers")
    for name in ("owners", "rates"):
        if name in fleet and len(fleet[name]) != nodes:
            errors.append(f"{path}.{name}: expected one value per node")
    if not sum(fleet["owners"]):
        errors.append(f"{path}.owners: expected at least one permit in total")
    for i, fault in enumerate(fleet.get("processes", ())):
        if fault["node"] >= nodes:
            errors.append(f"{path}.processes.{i}.node: no such node")
    for i, fault in enumerate(fleet.get("links", ())):
        unknown_names = {
            name for nodes_named in (*fault.get("sides", ()), *fault.get("pairs", ())) for name in nodes_named
        } - names
        if unknown_names:
            errors.append(f"{path}.links.{i}: no such node: {', '.join(sorted(unknown_names))}")
    for key in ("processes", "links"):
        for i, fault in enumerate(fleet.get(key, ())):
            if fault["until"] <= fault["at"]:
                errors.append(f"{path}.{key}.{i}.until: must be after `at`")
    return errors


def _scenario(row: Mapping[str, Any]) -> Scenario:
    arguments = dict(row)
    if "profiles" in arguments:
        arguments["profiles"] = tuple(_profile(profile) for profile in arguments["profiles"])
    if "streams" in arguments:
        arguments["streams"] = tuple(Stream(**stream) for stream in arguments["streams"])
    if "tiers" in arguments:
        arguments["tiers"] = tuple(
            Tier(**{**tier, "speeds": tuple(tier.get("speeds", Tier().speeds))})
            for tier in arguments["tiers"]
        )
    arguments["quotas"] = tuple(arguments.get("quotas", ()))
    arguments["faults"] = tuple(
        Fault(
            **{
                **fault,
                "kind": Kind(fault["kind"]),
                "servers": tuple(fault.get("servers", ())),
                "zones": tuple(fault.get("zones", ())),
            }
        )
        for fault in arguments.get("faults", ())
    )
    return Scenario(
        **{field.name: arguments[field.name] for field in fields(Scenario) if field.name in arguments}
    )


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
    arguments = {REQUEST_CLASS_FIELDS[key]: value for key, value in row.items()}
    if "idempotency" in arguments:
        arguments["idempotency"] = Idempotency(arguments["idempotency"])
    if "deduplication_scope" in arguments:
        arguments["deduplication_scope"] = DeduplicationScope(arguments["deduplication_scope"])
    return RequestClass(**arguments)
