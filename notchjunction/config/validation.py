"""Validation of a configuration: finds all errors, each with its key. Pure: no I/O and no clock."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Mapping
from typing import Any

from voluptuous import (
    ALLOW_EXTRA,
    All,
    In,
    Invalid,
    Length,
    MultipleInvalid,
    Optional,
    Range,
    Required,
    Schema,
)
from voluptuous import (
    Any as AnyOf,
)

from notchjunction.addresses import MAX_PORT
from notchjunction.config.settings import (
    DEDUPLICATION_SCOPES,
    IDEMPOTENCY,
    SIDECAR_FAMILY,
    FlatSettings,
    flatten,
)

# Errors reported at once; a file with more is probably not a node's configuration.
MAX_ERRORS = 20
# Upper bound of the configured clock drift, as a share; with more, nodes mostly wait for leases to expire.
MAX_CLOCK_DRIFT = 0.2
# Length of a node's name, which is part of each message between nodes.
MAX_NAME_BYTES = 64


class InvalidConfigurationError(Exception):
    """A configuration was rejected; `errors` lists the reasons, each with its key."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise Invalid("expected a finite number")
    return value


def whole_number(value: Any) -> int:
    """Returns a whole number as an int; raises Invalid for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value != int(_number(value)):
        raise Invalid("expected a whole number")
    return int(value)


def _address(value: Any) -> str:
    host, _, port = str(value).rpartition(":")
    if not isinstance(value, str) or not host or not port.isascii() or not port.isdigit():
        raise Invalid("expected HOST:PORT")
    if not 0 < int(port) <= MAX_PORT:
        raise Invalid(f"expected a port from 1 to {MAX_PORT}")
    return value


def _secret(value: Any) -> str:
    if not isinstance(value, str) or not re.fullmatch(r"([0-9a-fA-F]{2}){16,64}", value):
        raise Invalid("expected 16 to 64 bytes in hexadecimal")
    return value


def _hexadecimal(value: Any) -> Any:
    try:
        int(str(value), 16)
    except ValueError as error:
        raise Invalid("expected a number in hexadecimal") from error
    return value


def _check_unique_names(value: list[dict[str, Any]]) -> list[dict[str, Any]]:
    names = [request_class["name"] for request_class in value]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise Invalid(f"named twice: {', '.join(duplicates)}")
    return value


ABOVE_0 = All(_number, Range(min=0, min_included=False))
FROM_0 = All(_number, Range(min=0))
FLAG = AnyOf(bool, msg="expected true or false")
WORD = All(str, Length(min=1, msg="expected a name"))
PROFILE = {
    Required("name"): WORD,
    Required("effect"): In(sorted(IDEMPOTENCY)),
    Required("contract_time"): ABOVE_0,
    Required("abandon_time"): ABOVE_0,
    Optional("dedup_scope"): In(sorted(DEDUPLICATION_SCOPES)),
    Optional("window"): FROM_0,
    Optional("revenue"): FROM_0,
    Optional("tardy_revenue"): FROM_0,
    Optional("aim_stretch"): FROM_0,
}
LIMITS: dict[Any, Any] = {
    Required("max_dispatches"): All(whole_number, Range(min=1)),
    Optional("max_streams"): All(whole_number, Range(min=1)),
    Optional("conn_idle"): ABOVE_0,
    Optional("connect_timeout"): ABOVE_0,
    Optional("max_retry_after"): FROM_0,
    **{Optional(name): FLAG for name in ("cancel", "may_tell", "probes", "retry_after", "second_copies")},
}
OWNERS = {WORD: All(whole_number, Range(min=0))}
FLEET_LIMIT = {
    Required("name"): WORD,
    Required("revision"): All(whole_number, Range(min=1)),
    Required("owners"): All(OWNERS, Length(min=1, msg="expected at least one owner")),
    Optional("before"): {
        Required("revision"): All(whole_number, Range(min=1)),
        Required("owners"): OWNERS,
        Optional("ended"): [WORD],
    },
    Optional("profiles"): [WORD],
    Optional("operators"): [WORD],
}
FLEET = Schema(
    {
        Required("listen"): _address,
        Optional("advertise"): _address,
        Required("seeds"): All([_address], Length(min=1, msg="expected at least one seed")),
        Required("keys"): All(
            [{Required("number"): All(whole_number, Range(min=0, max=255)), Required("secret"): _secret}],
            Length(min=1, msg="expected at least one key"),
        ),
        Optional("clock_drift"): All(_number, Range(min=0, max=MAX_CLOCK_DRIFT)),
        Optional("clock_rate"): All(_number, Range(min=0.5, max=2)),
        Optional("places"): {WORD: _address},
        Optional("limits"): [FLEET_LIMIT],
    }
)
FAMILIES = ("chain", SIDECAR_FAMILY)  # tiers behind a pool of nodes, or a node beside each client
SCHEMA = Schema(
    {
        Required("name"): WORD,
        Required("listen"): _address,
        Required("discovery"): _address,
        Optional("mgmt"): _address,
        Optional("talk"): {Required("listen"): _address, Required("peers"): [_address]},
        Optional("key_header"): WORD,
        Optional("limits"): {
            Optional("sockets"): All(whole_number, Range(min=1)),
            Optional("memory_mb"): All(whole_number, Range(min=1)),
        },
        Optional("seed"): _hexadecimal,
        Required("settings"): {
            Required("layers"): [WORD],
            Required("layer"): whole_number,
            Required("limits"): LIMITS,
            Required("profiles"): All(
                [PROFILE], Length(min=1, msg="expected at least one profile"), _check_unique_names
            ),
            Optional("localities"): [WORD],
            Optional("zone"): whole_number,
            Optional("group_size"): All(whole_number, Range(min=1)),
            Optional("family"): In(sorted(FAMILIES)),
            Optional("me"): All(whole_number, Range(min=0)),
            Optional("overage_revenue"): FROM_0,
            Optional("extra"): {Optional("warm_keys"): FLAG},
            Optional("invariants"): {str: FROM_0},
            Optional("prices"): {str: FROM_0},
            Optional("tenants"): [{Required("name"): WORD, Optional("quota_rps"): FROM_0}],
        },
    },
    extra=ALLOW_EXTRA,
)
# Keys that a node reads only at its start; a reloaded file may lack them.
START_ONLY_KEYS = frozenset(("known", "seed"))


def parse(text: str) -> dict[str, Any]:
    """Returns the JSON object in a file's text.

    Raises:
        InvalidConfigurationError: The text is no JSON object, for instance as it was read half-written.
    """
    try:
        document = json.loads(text)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno}, column {error.colno}"
        raise InvalidConfigurationError(
            [f"{position}: {error.msg}" if text.strip() else "the file is empty"]
        ) from error
    except RecursionError as error:
        raise InvalidConfigurationError(["nested too deeply"]) from error
    if not isinstance(document, dict):
        raise InvalidConfigurationError(["no JSON object in the file"])
    return document


def errors_of(schema: Schema, value: object) -> list[str]:
    """Returns the errors that a schema finds in a value, each with its key."""
    try:
        schema(value)
    except MultipleInvalid as invalid:
        return [f"{format_path(error.path)}: {error.msg}" for error in invalid.errors]
    return []


def mixed_deployment_errors(document: Mapping[str, Any]) -> list[str]:
    """Returns the errors of a configuration that mixes both kinds of deployment; also checked at a start."""
    paths = flatten(document.get("settings", {}))

    def is_on(path: str) -> bool:
        return paths.get(path) == "true"

    is_sidecar = paths.get("family") == SIDECAR_FAMILY
    sidecar = f"settings.family {SIDECAR_FAMILY}"
    gossips, has_key_affinity = is_on("limits.may_tell"), is_on("extra.warm_keys")
    rows = [
        (
            is_sidecar and is_on("limits.second_copies"),
            f"settings.limits.second_copies: must not be true with {sidecar}",
        ),
        (
            is_sidecar and "," in paths.get("layers", ""),
            f"settings.layers: expected a single layer with {sidecar}",
        ),
        (gossips and not is_sidecar, f"settings.limits.may_tell: allowed only with {sidecar}"),
        (has_key_affinity and not is_sidecar, f"settings.extra.warm_keys: allowed only with {sidecar}"),
        (gossips and "talk" not in document, "talk: missing, but settings.limits.may_tell is true"),
        (not gossips and "talk" in document, "talk: given, but settings.limits.may_tell is not true"),
        (
            has_key_affinity and "key_header" not in document,
            "key_header: missing, but settings.extra.warm_keys is true",
        ),
        (
            not has_key_affinity and "key_header" in document,
            "key_header: given, but settings.extra.warm_keys is not true",
        ),
    ]
    errors = [error for is_wrong, error in rows if is_wrong]
    errors += _peer_errors(document["talk"], paths) if gossips and "talk" in document else []
    return errors + fleet_errors(document)


def fleet_errors(document: Mapping[str, Any]) -> list[str]:
    """Returns the errors of the section `fleet`, if there is one; also checked at a start."""
    if "fleet" not in document:
        return []
    fleet, prefix = document["fleet"], "fleet"
    if errors := errors_of(FLEET, fleet):
        return [prefix if error.startswith("the file: ") else f"{prefix}.{error}" for error in errors]
    profiles = {str(item.get("name")) for item in document.get("settings", {}).get("profiles", ())}
    numbers = [key["number"] for key in fleet["keys"]]
    limits, places = fleet.get("limits", []), fleet.get("places", {})
    own_address = places.get(document.get("name"), fleet["listen"])
    names = [limit["name"] for limit in limits]
    rows = [
        (
            not 0 < len(str(document.get("name", "")).encode()) <= MAX_NAME_BYTES,
            f"name: expected up to {MAX_NAME_BYTES} bytes",
        ),
        (len(set(numbers)) < len(numbers), f"{prefix}.keys: a number is given twice"),
        (len(set(names)) < len(names), f"{prefix}.limits: a name is given twice"),
        # Guards against two processes that own the same quota: only one of them can listen at the address.
        (
            own_address != fleet["listen"],
            f"{prefix}.listen: expected the address of this node in {prefix}.places",
        ),
        (
            "talk" in document and document["talk"].get("listen") == fleet["listen"],
            f"{prefix}.listen: already used by talk.listen",
        ),
    ]
    for index, limit in enumerate(limits):
        at = f"{prefix}.limits.{index}"
        unknown = sorted(set(limit.get("profiles", ())) - profiles)
        without_address = sorted(set(limit["owners"]) - places.keys())
        previous = limit.get("before")
        rows += [
            (bool(unknown), f"{at}.profiles: not in settings.profiles: {', '.join(unknown)}"),
            (bool(without_address), f"{at}.owners: not in {prefix}.places: {', '.join(without_address)}"),
            (not sum(limit["owners"].values()), f"{at}.owners: expected a total above 0"),
            (
                previous is not None and previous["revision"] != limit["revision"] - 1,
                f"{at}.before.revision: expected {at}.revision minus 1",
            ),
        ]
    return [error for is_wrong, error in rows if is_wrong]


def _peer_errors(talk: Any, paths: FlatSettings) -> list[str]:
    """Returns the errors of the list of peers, in which `settings.me` is this node's position."""
    peers = talk.get("peers") if isinstance(talk, Mapping) else None
    if not isinstance(peers, list):
        return ["talk.peers: expected a list"]
    if paths.get("group_size") != str(len(peers)):
        return ["talk.peers: expected settings.group_size addresses, including the one of this node"]
    own_index = paths.get("me", "")
    if not own_index.isdigit() or int(own_index) >= len(peers):
        return ["settings.me: expected this node's position in talk.peers"]
    is_own = peers[int(own_index)] == talk.get("listen")
    return [] if is_own else ["talk.listen: expected the address at position settings.me in talk.peers"]


def validate(document: Mapping[str, Any], in_force: Mapping[str, Any] | None = None) -> None:
    """Validates a configuration.

    Args:
        document: The JSON object of the configuration file.
        in_force: The configuration in force, of which no key may be missing.

    Raises:
        InvalidConfigurationError: There are errors; it lists them all, up to `MAX_ERRORS`.
    """
    errors = errors_of(SCHEMA, dict(document)) or mixed_deployment_errors(document)
    for path in _missing(_permanent_part(in_force or {}), _permanent_part(document), ()):
        # Guards against a file that lost a key: the setting would silently fall back to its default.
        line = f"{format_path(path)}: missing, but set in the configuration in force"
        if not any(error.startswith(format_path(path) + ":") for error in errors):
            errors.append(line)
    if errors:
        raise InvalidConfigurationError(errors[:MAX_ERRORS])


def _permanent_part(document: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the document without the fleet's limits and their owners, which a later file may omit."""
    fleet = document.get("fleet")
    if not isinstance(fleet, Mapping):
        return dict(document)
    return {**document, "fleet": {name: value for name, value in fleet.items() if name != "limits"}}


def _missing(before: Any, after: Any, path: tuple[object, ...]) -> list[tuple[object, ...]]:
    """Returns the paths in `before` that `after` lacks; in a list of objects, keys that all items have."""
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        paths: list[tuple[object, ...]] = []
        for name, value in before.items():
            if path or name not in START_ONLY_KEYS:
                here = (*path, name)
                paths += _missing(value, after[name], here) if name in after else [here]
        return paths
    if isinstance(before, list) and isinstance(after, list) and before and isinstance(before[0], Mapping):
        shared = set(before[0]).intersection(*before)
        return [
            (*path, index, name)
            for index, item in enumerate(after)
            if isinstance(item, Mapping)
            for name in sorted(shared - item.keys())
        ]
    return []


def format_path(path: tuple[object, ...] | list[object]) -> str:
    """Returns a path of keys and list positions as text; "the file" for the empty path."""
    return ".".join(str(part) for part in path) or "the file"
