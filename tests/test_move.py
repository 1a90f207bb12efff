"""Tests of sidecar mode: gossip of outcomes, key affinity, rejection, cancellation and settings."""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from notchjunction.__main__ import main
from notchjunction.balancing.engine import (
    BalancerEngine,
    ExchangeOutcome,
    RequestSpec,
    SendGossip,
    SettingNames,
)
from notchjunction.balancing.interface import (
    AttemptResult,
    DeduplicationScope,
    Idempotency,
    ListUpdate,
    NewRequest,
    PeerOutcome,
)
from notchjunction.balancing.outcome_gossip import (
    MAX_DATAGRAM_BYTES,
    OutcomeGossip,
    OutcomeReport,
    endpoint_hash,
)
from notchjunction.config import settings, validation
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from notchjunction.net.gossip_socket import GossipSocket
from notchjunction.telemetry.counters import Counters
from tests.helpers import (
    PLAIN,
    Client,
    FakeHost,
    Peer,
    configuration,
    free_address,
    make_request_class,
    running,
)
from tests.test_net import run

SIDECAR: dict[str, Any] = {"sidecar": True, "gossips": True, "node_count": 40, "node_index": 3}
SIDECAR["hedging"] = False
VALID_DATAGRAM = OutcomeGossip(1).encode(1, [OutcomeReport(5, 0.1, True, 0.1)] * 4)


def test_each_outcome_is_gossiped_to_one_peer_and_never_to_the_node_itself() -> None:
    host = FakeHost(**SIDECAR)
    host.serve_requests(60)
    gossip = [row for row in host.commands if row[0] == "send_gossip"]
    assert len(gossip) == 60 and all(0 <= row[1] < 40 and row[1] != 3 for row in gossip)
    assert [row[2] for row in gossip] == list(range(1, 61)) and max(len(row[3]) for row in gossip) == 12


@pytest.mark.parametrize(
    ("outcome", "ejected"),
    [
        (PeerOutcome(0, 0.0, False, 0.0), True),
        (PeerOutcome(0, 5.0, False, 0.0), False),  # older than the node's own outcomes
        (PeerOutcome(0, 60.0, False, 0.0), False),
        (PeerOutcome(9, 0.0, False, 0.0), False),  # not in the node's list
    ],
)
def test_recent_reported_failures_eject_an_endpoint_and_other_reports_do_not(
    outcome: PeerOutcome, ejected: bool
) -> None:
    host = FakeHost(**SIDECAR)
    host.serve_requests(40)
    host.advance(0.01)
    host.balancer.gossip_received([outcome] * 20)
    assert (host.count_commands("report_ejection") > 0) == ejected


def test_gossip_neither_activates_a_draining_endpoint_nor_ends_slow_start() -> None:
    host = FakeHost(endpoints=1, slow_start_time=20.0, slow_start_share=0.1, **SIDECAR)
    host.list_endpoints(0, state=EndpointState.DRAINING)
    host.list_endpoints(1, started_at=host.clock - 1.0)
    host.balancer.gossip_received([PeerOutcome(endpoint, 0.05, True, 0.1) for endpoint in (0, 1) * 10])
    sent = [endpoint for _ in range(20) for endpoint in host.sent_to(host.submit())]
    assert 0 not in sent and len(sent) <= 1


def test_overlapping_lost_and_duplicate_datagrams_count_each_outcome_once() -> None:
    receiver, reports = (
        OutcomeGossip(2),
        [OutcomeReport(endpoint_hash(f"s{n}"), 0.5, True, n / 1000) for n in range(20)],
    )
    datagrams = [OutcomeGossip(1).encode(n, reports[max(0, n - 12) : n][::-1]) for n in range(1, 21) if n % 3]
    latencies = [
        report.latency
        for datagram in [*datagrams, datagrams[0], datagrams[3]]
        for report in receiver.decode(7, datagram)
    ]
    assert sorted(latencies) == [n / 1000 for n in range(20)]
    assert len(receiver.decode(7, OutcomeGossip(9).encode(1, reports[:1]))) == 1  # the sender has restarted


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"garbage",
        VALID_DATAGRAM[:-1],
        VALID_DATAGRAM + b"x",
        b"\x09" + VALID_DATAGRAM[1:],
        VALID_DATAGRAM * 9,
    ],
)
def test_an_invalid_datagram_is_ignored_and_counted(datagram: bytes) -> None:
    receiver = OutcomeGossip(2)
    assert receiver.decode(1, datagram) == [] and receiver.ignored_datagrams == 1


@pytest.mark.parametrize(
    ("key", "key_affinity"), [("k7", True), ("k7", False), ("", True), ("x" * 5000, True)]
)
def test_requests_of_a_key_go_to_the_same_two_endpoints_at_all_nodes_until_those_are_busy(
    key: str, key_affinity: bool
) -> None:
    endpoints_used = set()
    for seed, order in ((1, range(12)), (2, range(11, -1, -1))):
        host = FakeHost(endpoints=0, seed=seed, key_affinity=key_affinity, **SIDECAR)
        for endpoint in order:
            host.list_endpoints(endpoint, name_hash=endpoint_hash(f"s{endpoint}"))
        for n in range(30):
            host.balancer.request_arrived(NewRequest(n, 0, 0, 2.0, affinity_key=key))
            endpoints_used.update(host.sent_to(n))
            host.end_attempt(n)
    assert (len(endpoints_used) <= 2) == (key_affinity and key != "")
    host.balancer.gossip_received([PeerOutcome(endpoint, 0.1, True, 0.05) for endpoint in range(12)])
    for n in range(100, 116):
        host.balancer.request_arrived(NewRequest(n, 0, 0, 2.0, affinity_key=key))
    assert len({endpoint for n in range(100, 116) for endpoint in host.sent_to(n)}) > 2


@pytest.mark.parametrize(("latency", "minimum", "maximum"), [(None, 60, 60), (0.05, 60, 60), (0.6, 0, 25)])
def test_requests_that_would_be_served_too_late_are_rejected_at_once_low_priority_first(
    latency: float | None, minimum: int, maximum: int
) -> None:
    host = FakeHost(endpoints=30, request_classes=[PLAIN, replace(PLAIN, priority_weight=8.0)], **SIDECAR)
    sent = [0, 0]
    for n in range(120):
        if latency is not None:
            host.balancer.gossip_received([PeerOutcome(n % 30, 0.0, True, latency)] * 3)
        if host.sent_to(request := host.submit(request_class=n % 2)):
            sent[n % 2] += 1
            host.end_attempt(request, seconds=latency or 0.1)
        else:
            assert host.final_commands(request) == ["reject"]
    assert minimum <= sent[0] <= maximum and sent[1] > (1.5 * sent[0] if maximum < 60 else 59)


@pytest.mark.parametrize(
    ("idempotency", "scope", "failure_reported", "cancelled"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, True, True),
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, False, False),
        (Idempotency.KEYED, DeduplicationScope.ALL, True, True),
        (Idempotency.KEYED, DeduplicationScope.ZONE, True, False),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, True, False),
    ],
)
def test_an_attempt_at_an_unresponsive_endpoint_is_cancelled_before_it_is_retried_elsewhere(
    idempotency: Idempotency, scope: DeduplicationScope, failure_reported: bool, cancelled: bool
) -> None:
    host = FakeHost(endpoints=0, request_classes=[PLAIN, make_request_class(idempotency, scope)], **SIDECAR)
    for endpoint in range(4):
        host.list_endpoints(endpoint, zone=endpoint)
    host.serve_requests(40)
    host.advance(0.01)
    (first,) = host.sent_to(request := host.submit(request_class=1))
    host.advance(0.3)
    host.balancer.gossip_received(
        [PeerOutcome(endpoint, 0.0, True, 0.1) for endpoint in range(4) if endpoint != first]
    )
    host.balancer.gossip_received([PeerOutcome(first, 0.0, False, 0.5)] if failure_reported else [])
    host.advance(0.25)
    assert (("cancel_attempt", request, 0) in host.commands) == cancelled and host.sent_to(request) == [first]
    if cancelled:
        host.end_attempt(request, AttemptResult.CANCELLED)
        assert len(set(host.sent_to(request))) == 2


@pytest.mark.parametrize("head_received", [False, True])
def test_an_attempt_whose_response_has_begun_to_arrive_is_not_cancelled_as_stalled(
    head_received: bool,
) -> None:
    """Guards against cutting off a long response that is held back, at an endpoint that failed before."""
    host = FakeHost(**SIDECAR)
    host.serve_requests(40)
    host.advance(0.01)
    (first,) = host.sent_to(request := host.submit())
    host.advance(0.3)
    if head_received:
        host.balancer.response_received(request, 0)
    host.balancer.gossip_received(
        [PeerOutcome(endpoint, 0.0, endpoint != first, 0.1) for endpoint in range(4)]
    )
    host.advance(0.25)
    assert (("cancel_attempt", request, 0) in host.commands) is not head_received


def test_an_attempt_cancelled_at_its_deadline_is_gossiped_as_a_failure() -> None:
    host = FakeHost(endpoints=1, **SIDECAR)
    host.submit(time_left=1.5)
    host.advance(1.5)
    host.end_attempt(1, AttemptResult.CANCELLED, seconds=0.0)
    (outcomes,) = [row[3] for row in host.commands if row[0] == "send_gossip"]
    assert not outcomes[0].success and outcomes[0].seconds > 1.0


def sidecar_document() -> dict[str, Any]:
    document = configuration(
        family="mesh", group_size=2, me=0, extra={"warm_keys": True}, overage_revenue=0.1
    )
    document["settings"]["limits"].update(may_tell=True, second_copies=False)
    addresses = ["127.0.0.1:7001", "127.0.0.1:7002"]
    return {**document, "key_header": "Seat", "talk": {"listen": addresses[0], "peers": addresses}}


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("settings.limits.second_copies", True, "settings.limits.second_copies"),
        ("settings.family", "chain", "settings.limits.may_tell"),
        ("settings.family", "chain", "settings.extra.warm_keys"),
        ("settings.limits.may_tell", False, "talk"),
        ("settings.extra.warm_keys", False, "key_header"),
        ("settings.layers", ["a", "b"], "settings.layers"),
        ("settings.group_size", 3, "talk.peers"),
        ("settings.me", 2, "settings.me"),
        ("settings.me", 1, "talk.listen"),
        ("talk", None, "talk"),
        ("key_header", None, "key_header"),
    ],
)
def test_inconsistent_sidecar_settings_are_rejected_at_startup_with_the_key(
    path: str, value: Any, key: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: Any
) -> None:
    document = sidecar_document()
    validation.validate(document)
    *parent_keys, last_key = path.split(".")
    parent: Any = document
    for parent_key in parent_keys:
        parent = parent[parent_key]
    parent[last_key] = value
    if value is None:
        del parent[last_key]
    file = tmp_path / "config.json"
    file.write_text(json.dumps(document))
    monkeypatch.setenv("GW_CONFIG", str(file))
    monkeypatch.setattr("sys.argv", ["notchjunction"])
    assert main() == 2 and f"{key}:" in capfd.readouterr().err
    monkeypatch.setattr("sys.argv", ["notchjunction", "--check", str(file)])
    assert main() == 1


def test_settings_enable_sidecar_mode_and_sighup_does_not_change_it(tmp_path: Path) -> None:
    old = settings.read_settings(7, settings.flatten(configuration()["settings"]))
    assert (old.sidecar, old.gossips, old.key_affinity, old.over_quota_weight) == (False, False, False, 1.0)
    new = settings.read_settings(7, settings.flatten(sidecar_document()["settings"]))
    assert (new.sidecar, new.gossips, new.key_affinity, new.over_quota_weight) == (True, True, True, 0.1)

    async def scenario() -> None:
        file = tmp_path / "config.json"
        file.write_text(json.dumps(sidecar_document()))
        async with Peer() as server, running(server, file=file) as (node, _):
            node.reload()
            assert node.counters.read()["reloads_failed"] == 1 and not node._config.balancer.sidecar

    run(scenario())


def test_nodes_exchange_datagrams_and_count_unknown_senders_oversized_and_unsent_ones() -> None:
    async def scenario() -> None:
        addresses, received, counters = [free_address() for _ in range(3)], [], [Counters(), Counters()]
        sockets = [
            GossipSocket(addresses[n], addresses, lambda *datagram: received.append(datagram), counters[n])
            for n in (0, 1)
        ]
        for gossip_socket in sockets:
            await gossip_socket.open()
        for peer, datagram in (
            (1, b"one"),
            (1, b"one"),
            (1, b"x" * (MAX_DATAGRAM_BYTES + 1)),
            (2, b"gone"),
            (9, b"none"),
        ):
            sockets[0].send(peer, datagram)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            unknown_sender.sendto(b"one", addresses[1])
        async with asyncio.timeout(5):
            while len(counters[1].read()) < 3 or len(received) < 2:
                await asyncio.sleep(0.005)
        assert received == [(0, b"one")] * 2 and counters[0].read()["gossip_send_failed"] == 1
        assert counters[1].read() == {"gossip_unknown_sender": 1, "gossip_received": 2, "gossip_oversized": 1}
        for gossip_socket in sockets:
            gossip_socket.close()

    run(scenario())


def test_a_node_gossips_and_another_node_matches_the_outcomes_by_endpoint_name() -> None:
    async def scenario() -> None:
        datagrams: list[bytes] = []
        async with (
            Peer() as server,
            running(server, **{**SIDECAR, "node_count": 2, "node_index": 0}) as (node, address),
        ):
            node._gossip = GossipSocket(free_address(), [], lambda *_: None, node.counters)
            node._gossip.send = lambda peer, data: datagrams.append(data)  # type: ignore[method-assign]
            client = await Client().open(address)
            client.ask()
            assert (await client.answer()).status == 200
            async with asyncio.timeout(5):
                while not datagrams:
                    await asyncio.sleep(0.005)
        other_engine = BalancerEngine(
            node._config.balancer, SettingNames(["plain"]), lambda: 1000.0, lambda _: None
        )
        other_engine.apply_list_update(
            ListUpdate.SNAPSHOT, [ListedEndpoint(name, EndpointState.ACTIVE) for name in ("s9", "s0")]
        )
        other_engine.receive_gossip(1, datagrams[0])
        other_engine.receive_gossip(1, b"garbage")
        assert other_engine.ignored_datagrams == 1
        handle = other_engine.submit(RequestSpec("plain", 2.0, Idempotency.IDEMPOTENT, affinity_key="7"))
        other_engine.report_attempt(handle, 0, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
        commands = [
            other_engine._node_commands.get_nowait() for _ in range(other_engine._node_commands.qsize())
        ]
        assert [command.peer for command in commands if isinstance(command, SendGossip)] == [1]

    run(scenario())
