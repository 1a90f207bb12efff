"""Tests of the endpoints that a node knows after snapshots and changes, and of the changes returned."""

from __future__ import annotations

from typing import Any

import pytest

from notchjunction.discovery.endpoint_list import EndpointList, read_list
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.discovery.known_endpoints import KnownEndpoints


def entry(name: str, status: str = "active", port: int = 80, since: float = 0.0) -> dict[str, Any]:
    return {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "status": status, "since_ms": since}


def listed(*entries: dict[str, Any], is_snapshot: bool = True) -> EndpointList:
    return read_list({"index": 1, "snapshot": is_snapshot, "endpoints": list(entries)})


def known_after(*entries: dict[str, Any]) -> KnownEndpoints:
    known_endpoints = KnownEndpoints()
    known_endpoints.apply(listed(*entries))
    return known_endpoints


def test_of_a_snapshot_only_the_differences_are_returned() -> None:
    known_endpoints = known_after(entry("same"), entry("moves"), entry("drains"), entry("goes"))
    changes = known_endpoints.apply(
        listed(entry("same"), entry("moves", port=81), entry("drains", "leaving"), entry("comes"))
    )
    states = {endpoint.name: endpoint.state for endpoint in changes.endpoints}
    assert states == {
        "moves": EndpointState.ACTIVE,
        "drains": EndpointState.DRAINING,
        "comes": EndpointState.ACTIVE,
        "goes": EndpointState.REMOVED,
    }
    ports = {name: address[1] for name, address in known_endpoints.active(()).items()}
    assert ports == {"same": 80, "moves": 81, "comes": 80}
    assert (
        len(known_endpoints) == 4
        and known_endpoints.apply(listed(*map(entry, ("same", "comes")))).endpoints != ()
    )


def test_the_first_list_is_returned_completely_and_the_same_list_again_is_empty() -> None:
    known_endpoints = KnownEndpoints()
    first = listed(entry("a"), entry("b", "leaving"))
    assert known_endpoints.apply(first) == first
    assert known_endpoints.apply(first).endpoints == ()
    assert set(known_endpoints.active(())) == {"a"} and known_endpoints.active({"a"}) == {}


def test_an_endpoint_without_an_address_in_a_later_snapshot_is_not_active() -> None:
    known_endpoints = known_after(entry("a"), entry("b"))
    without_address = {name: value for name, value in entry("a").items() if name != "address"}
    known_endpoints.apply(listed(without_address, entry("b")))
    assert set(known_endpoints.active(())) == {"b"}


@pytest.mark.parametrize(("since", "active"), [(0.0, False), (500.0, True), (-500.0, True)])
def test_a_stale_list_ends_a_drain_only_with_another_start_time(since: float, active: bool) -> None:
    known_endpoints = known_after(entry("a", "leaving", since=1000.0))
    stale = listed(entry("a", since=1000.0 + since))
    known_endpoints.apply(
        EndpointList(stale.version, stale.is_snapshot, stale.endpoints, stale.addresses, is_stale=True)
    )
    assert bool(known_endpoints.active(())) is active


@pytest.mark.parametrize("port", [0, 65536, 99999])
def test_an_endpoint_with_an_invalid_port_is_not_active_and_the_rest_of_the_list_applies(port: int) -> None:
    known_endpoints = known_after(entry("a", port=port), entry("b"))
    assert set(known_endpoints.active(())) == {"b"}


def test_drains_and_removals_of_a_list_can_be_applied_separately() -> None:
    closings = listed(entry("a"), entry("b", "leaving"), entry("c", "left")).drains_and_removals()
    assert [endpoint.name for endpoint in closings.endpoints] == ["b", "c"] and not closings.is_snapshot
    known_endpoints = known_after(entry("a"), entry("b"), entry("c"))
    known_endpoints.apply(closings)
    assert set(known_endpoints.active(())) == {"a"} and len(known_endpoints) == 2
