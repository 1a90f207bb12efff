"""Validation of a configuration: all of its errors, each with its place. Pure: no I/O and no clock."""

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

# Errors listed at once; a file with more is another kind of file.
MAX_ERRORS = 20
# Share by which clocks may be configured to drift; with more, leases are mostly waited for.
MAX_CLOCK_DRIFT = 0.2
# A node's name goes into each message between nodes.
MAX_NAME_BYTES = 64


class InvalidConfigurationError(Exception):
    """A configuration was rejected; `errors` lists why, each with its place."""

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
    Required("owners"): All(OWNERS, Length(min=1, msg="expected one owner at least")),
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
        Required("seeds"): All([_address], Length(min=1, msg="expected one seed at least")),
        Required("keys"): All(
            [{Required("number"): All(whole_number, Range(min=0, max=255)), Required("secret"): _secret}],
            Length(min=1, msg="expected one key at least"),
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
        Optional("limits"): {Optional("sockets"): All(whole_number, Range(min=1))},
        Optional("seed"): _hexadecimal,
        Required("settings"): {
            Required("layers"): [WORD],
            Required("layer"): whole_number,
            Required("limits"): LIMITS,
            Required("profiles"): All(
                [PROFILE], Length(min=1, msg="expected one profile at least"), _check_unique_names
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
# Keys that a node only reads at its start; they may be missing later.
START_ONLY_KEYS = frozenset(("known", "seed"))


def parse(text: str) -> dict[str, Any]:
    """Returns the file's JSON object; raises InvalidConfigurationError for anything else.

    As when the file was read in the middle of being written.
    """
    try:
        found = json.loads(text)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        raise InvalidConfigurationError(
            [f"{place}: {error.msg}" if text.strip() else "the file is empty"]
        ) from error
    except RecursionError as error:
        raise InvalidConfigurationError(["nested too deeply"]) from error
    if not isinstance(found, dict):
        raise InvalidConfigurationError(["no JSON object in the file"])
    return found


def errors_of(schema: Schema, found: object) -> list[str]:
    """Returns the errors that a schema finds in a value, each with its place."""
    try:
        schema(found)
    except MultipleInvalid as invalid:
        return [f"{place(error.path)}: {error.msg}" for error in invalid.errors]
    return []


def mixed_deployment_errors(found: Mapping[str, Any]) -> list[str]:
    """Returns the errors of a configuration that mixes both kinds of deployment; checked at a start too."""
    paths = flatten(found.get("settings", {}))

    def is_on(path: str) -> bool:
        return paths.get(path) == "true"

    beside = paths.get("family") == SIDECAR_FAMILY
    shape = f"settings.family {SIDECAR_FAMILY}"
    tells, warm = is_on("limits.may_tell"), is_on("extra.warm_keys")
    rows = [
        (beside and is_on("limits.second_copies"), f"settings.limits.second_copies: not with {shape}"),
        (beside and "," in paths.get("layers", ""), f"settings.layers: one alone with {shape}"),
        (tells and not beside, f"settings.limits.may_tell: only with {shape}"),
        (warm and not beside, f"settings.extra.warm_keys: only with {shape}"),
        (tells and "talk" not in found, "talk: missing, and settings.limits.may_tell is true"),
        (not tells and "talk" in found, "talk: given, and settings.limits.may_tell is not true"),
        (warm and "key_header" not in found, "key_header: missing, and settings.extra.warm_keys is true"),
        (not warm and "key_header" in found, "key_header: given, and settings.extra.warm_keys is not true"),
    ]
    errors = [error for is_wrong, error in rows if is_wrong]
    errors += _peers(found["talk"], paths) if tells and "talk" in found else []
    return errors + fleet_errors(found)


def fleet_errors(found: Mapping[str, Any]) -> list[str]:
    """Returns the errors of the section `fleet`, where there is one; checked at a start too."""
    if "fleet" not in found:
        return []
    fleet, stem = found["fleet"], "fleet"
    if errors := errors_of(FLEET, fleet):
        return [stem if error.startswith("the file: ") else f"{stem}.{error}" for error in errors]
    profiles = {str(each.get("name")) for each in found.get("settings", {}).get("profiles", ())}
    numbers = [key["number"] for key in fleet["keys"]]
    limits, places = fleet.get("limits", []), fleet.get("places", {})
    own = places.get(found.get("name"), fleet["listen"])
    names = [limit["name"] for limit in limits]
    rows = [
        (
            not 0 < len(str(found.get("name", "")).encode()) <= MAX_NAME_BYTES,
            f"name: expected up to {MAX_NAME_BYTES} bytes",
        ),
        (len(set(numbers)) < len(numbers), f"{stem}.keys: a number is given twice"),
        (len(set(names)) < len(names), f"{stem}.limits: a name is given twice"),
        # Guards against two processes that own the same quota: only one can have the address.
        (own != fleet["listen"], f"{stem}.listen: expected what {stem}.places says of this node"),
        (
            "talk" in found and found["talk"].get("listen") == fleet["listen"],
            f"{stem}.listen: taken by talk.listen",
        ),
    ]
    for index, limit in enumerate(limits):
        at = f"{stem}.limits.{index}"
        unknown = sorted(set(limit.get("profiles", ())) - profiles)
        nowhere = sorted(set(limit["owners"]) - places.keys())
        before = limit.get("before")
        rows += [
            (bool(unknown), f"{at}.profiles: not in settings.profiles: {', '.join(unknown)}"),
            (bool(nowhere), f"{at}.owners: not in {stem}.places: {', '.join(nowhere)}"),
            (not sum(limit["owners"].values()), f"{at}.owners: expected one right at least"),
            (
                before is not None and before["revision"] != limit["revision"] - 1,
                f"{at}.before.revision: expected the one before {at}.revision",
            ),
        ]
    return [error for is_wrong, error in rows if is_wrong]


def _peers(talk: Any, paths: FlatSettings) -> list[str]:
    """Returns the errors of the peers: they are numbered by position, and `me` is this node's position."""
    peers = talk.get("peers") if isinstance(talk, Mapping) else None
    if not isinstance(peers, list):
        return ["talk.peers: expected a list"]
    if paths.get("group_size") != str(len(peers)):
        return ["talk.peers: expected as many as settings.group_size, this node among them"]
    me = paths.get("me", "")
    if not me.isdigit() or int(me) >= len(peers):
        return ["settings.me: expected this node's place among talk.peers"]
    at_place = peers[int(me)] == talk.get("listen")
    return [] if at_place else ["talk.listen: expected at its place in talk.peers"]


def validate(found: Mapping[str, Any], before: Mapping[str, Any] | None = None) -> None:
    """Raises InvalidConfigurationError with all errors of `found`.

    `before` is the configuration in force, no key of which may be missing.
    """
    errors = errors_of(SCHEMA, dict(found)) or mixed_deployment_errors(found)
    for missing in _missing(_permanent_part(before or {}), _permanent_part(found), ()):
        # Guards against a file that lost a key: its setting would silently fall back to a default.
        line = f"{place(missing)}: in force, and missing"
        if not any(error.startswith(place(missing) + ":") for error in errors):
            errors.append(line)
    if errors:
        raise InvalidConfigurationError(errors[:MAX_ERRORS])


def _permanent_part(found: Mapping[str, Any]) -> dict[str, Any]:
    """Returns it without what a later file may leave out: limits of the fleet, and how they were split."""
    fleet = found.get("fleet")
    if not isinstance(fleet, Mapping):
        return dict(found)
    return {**found, "fleet": {name: value for name, value in fleet.items() if name != "limits"}}


def _missing(before: Any, found: Any, path: tuple[object, ...]) -> list[tuple[object, ...]]:
    """Returns the paths in `before` that `found` lacks; in a list of objects, those all of them share."""
    if isinstance(before, Mapping) and isinstance(found, Mapping):
        paths: list[tuple[object, ...]] = []
        for name, value in before.items():
            if path or name not in START_ONLY_KEYS:
                here = (*path, name)
                paths += _missing(value, found[name], here) if name in found else [here]
        return paths
    if isinstance(before, list) and isinstance(found, list) and before and isinstance(before[0], Mapping):
        shared = set(before[0]).intersection(*before)
        return [
            (*path, index, name)
            for index, item in enumerate(found)
            if isinstance(item, Mapping)
            for name in sorted(shared - item.keys())
        ]
    return []


def place(path: tuple[object, ...] | list[object]) -> str:
    """Returns a path of keys and positions as a place in the file."""
    return ".".join(str(part) for part in path) or "the file"
