"""What a node knows of servers after lists and changes, and what of them is new."""

from __future__ import annotations

from typing import Any

import pytest

from notchjunction.discovery.endpoint_list import EndpointList, read_list
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.discovery.known_endpoints import KnownEndpoints


def row(name: str, status: str = "active", port: int = 80, since: float = 0.0) -> dict[str, Any]:
    return {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "status": status, "since_ms": since}


def listed(*rows: dict[str, Any], whole: bool = True) -> EndpointList:
    return read_list({"index": 1, "snapshot": whole, "endpoints": list(rows)})


def known(*rows: dict[str, Any]) -> KnownEndpoints:
    servers = KnownEndpoints()
    servers.apply(listed(*rows))
    return servers


def test_of_a_whole_list_only_the_differences_are_new() -> None:
    servers = known(row("same"), row("moves"), row("drains"), row("goes"))
    new = servers.apply(listed(row("same"), row("moves", port=81), row("drains", "leaving"), row("comes")))
    presences = {server.name: server.state for server in new.endpoints}
    assert presences == {
        "moves": EndpointState.ACTIVE,
        "drains": EndpointState.DRAINING,
        "comes": EndpointState.ACTIVE,
        "goes": EndpointState.REMOVED,
    }
    ports = {name: address[1] for name, address in servers.active(()).items()}
    assert ports == {"same": 80, "moves": 81, "comes": 80}
    assert len(servers) == 4 and servers.apply(listed(*map(row, ("same", "comes")))).endpoints != ()


def test_the_first_list_is_new_as_a_whole_and_the_same_one_again_is_not() -> None:
    servers = KnownEndpoints()
    first = listed(row("a"), row("b", "leaving"))
    assert servers.apply(first) == first
    assert servers.apply(first).endpoints == ()
    assert set(servers.active(())) == {"a"} and servers.active({"a"}) == {}


def test_a_server_that_loses_its_address_in_a_whole_list_is_not_ready() -> None:
    servers = known(row("a"), row("b"))
    nowhere = {name: value for name, value in row("a").items() if name != "address"}
    servers.apply(listed(nowhere, row("b")))
    assert set(servers.active(())) == {"b"}


@pytest.mark.parametrize(("since", "back"), [(0.0, False), (500.0, True), (-500.0, True)])
def test_on_older_word_a_drain_is_taken_back_by_another_start_alone(since: float, back: bool) -> None:
    servers = known(row("a", "leaving", since=1000.0))
    older = listed(row("a", since=1000.0 + since))
    servers.apply(
        EndpointList(older.version, older.is_snapshot, older.endpoints, older.addresses, is_stale=True)
    )
    assert bool(servers.active(())) is back


@pytest.mark.parametrize("port", [0, 65536, 99999])
def test_a_server_at_a_port_that_cannot_be_gets_nothing_and_spoils_no_list(port: int) -> None:
    servers = known(row("a", port=port), row("b"))
    assert set(servers.active(())) == {"b"}


def test_what_a_list_says_of_servers_that_close_can_be_told_from_the_rest() -> None:
    closings = listed(row("a"), row("b", "leaving"), row("c", "left")).drains_and_removals()
    assert [server.name for server in closings.endpoints] == ["b", "c"] and not closings.is_snapshot
    servers = known(row("a"), row("b"), row("c"))
    servers.apply(closings)
    assert set(servers.active(())) == {"a"} and len(servers) == 2
