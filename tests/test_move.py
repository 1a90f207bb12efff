"""Stories of the shape with a node beside each client: notes, keys, crowding, recall, settings, talk."""

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

BESIDE: dict[str, Any] = {"sidecar": True, "gossips": True, "node_count": 40, "node_index": 3}
BESIDE["hedging"] = False
SOUND = OutcomeGossip(1).encode(1, [OutcomeReport(5, 0.1, True, 0.1)] * 4)


def test_each_outcome_is_told_to_one_peer_and_never_to_oneself() -> None:
    host = FakeHost(**BESIDE)
    host.serve_requests(60)
    told = [row for row in host.commands if row[0] == "send_gossip"]
    assert len(told) == 60 and all(0 <= row[1] < 40 and row[1] != 3 for row in told)
    assert [row[2] for row in told] == list(range(1, 61)) and max(len(row[3]) for row in told) == 12


@pytest.mark.parametrize(
    ("word", "aside"),
    [
        (PeerOutcome(0, 0.0, False, 0.0), True),
        (PeerOutcome(0, 5.0, False, 0.0), False),  # older than own news
        (PeerOutcome(0, 60.0, False, 0.0), False),
        (PeerOutcome(9, 0.0, False, 0.0), False),  # not in the own list
    ],
)
def test_fresh_word_of_failures_sets_a_server_aside_and_other_hearsay_changes_nothing(
    word: PeerOutcome, aside: bool
) -> None:
    host = FakeHost(**BESIDE)
    host.serve_requests(40)
    host.advance(0.01)
    host.balancer.gossip_received([word] * 20)
    assert (host.count_commands("report_ejection") > 0) == aside


def test_hearsay_opens_no_drained_server_and_warms_no_cold_one() -> None:
    host = FakeHost(endpoints=1, slow_start_time=20.0, slow_start_share=0.1, **BESIDE)
    host.list_endpoints(0, state=EndpointState.DRAINING)
    host.list_endpoints(1, started_at=host.clock - 1.0)
    host.balancer.gossip_received([PeerOutcome(server, 0.05, True, 0.1) for server in (0, 1) * 10])
    sent = [server for _ in range(20) for server in host.sent_to(host.submit())]
    assert 0 not in sent and len(sent) <= 1


def test_notes_that_overlap_get_lost_or_come_twice_count_each_outcome_once() -> None:
    reader, words = (
        OutcomeGossip(2),
        [OutcomeReport(endpoint_hash(f"s{n}"), 0.5, True, n / 1000) for n in range(20)],
    )
    notes = [OutcomeGossip(1).encode(n, words[max(0, n - 12) : n][::-1]) for n in range(1, 21) if n % 3]
    heard = [word.latency for note in [*notes, notes[0], notes[3]] for word in reader.decode(7, note)]
    assert sorted(heard) == [n / 1000 for n in range(20)]
    assert len(reader.decode(7, OutcomeGossip(9).encode(1, words[:1]))) == 1  # started anew


@pytest.mark.parametrize("note", [b"", b"garbage", SOUND[:-1], SOUND + b"x", b"\x09" + SOUND[1:], SOUND * 9])
def test_a_note_that_cannot_be_read_is_passed_over_and_counted(note: bytes) -> None:
    reader = OutcomeGossip(2)
    assert reader.decode(1, note) == [] and reader.ignored_datagrams == 1


@pytest.mark.parametrize(("key", "warm"), [("k7", True), ("k7", False), ("", True), ("x" * 5000, True)])
def test_a_keys_jobs_go_to_the_same_two_servers_at_all_nodes_until_those_are_busy(
    key: str, warm: bool
) -> None:
    found = set()
    for seed, order in ((1, range(12)), (2, range(11, -1, -1))):
        host = FakeHost(endpoints=0, seed=seed, key_affinity=warm, **BESIDE)
        for server in order:
            host.list_endpoints(server, name_hash=endpoint_hash(f"s{server}"))
        for n in range(30):
            host.balancer.request_arrived(NewRequest(n, 0, 0, 2.0, affinity_key=key))
            found.update(host.sent_to(n))
            host.end_attempt(n)
    assert (len(found) <= 2) == (warm and key != "")
    host.balancer.gossip_received([PeerOutcome(server, 0.1, True, 0.05) for server in range(12)])
    for n in range(100, 116):
        host.balancer.request_arrived(NewRequest(n, 0, 0, 2.0, affinity_key=key))
    assert len({server for n in range(100, 116) for server in host.sent_to(n)}) > 2


@pytest.mark.parametrize(("seconds", "least", "most"), [(None, 60, 60), (0.05, 60, 60), (0.6, 0, 25)])
def test_what_servers_would_do_too_late_is_given_up_at_once_little_revenue_first(
    seconds: float | None, least: int, most: int
) -> None:
    host = FakeHost(endpoints=30, request_classes=[PLAIN, replace(PLAIN, priority_weight=8.0)], **BESIDE)
    sent = [0, 0]
    for n in range(120):
        if seconds is not None:
            host.balancer.gossip_received([PeerOutcome(n % 30, 0.0, True, seconds)] * 3)
        if host.sent_to(job := host.submit(request_class=n % 2)):
            sent[n % 2] += 1
            host.end_attempt(job, seconds=seconds or 0.1)
        else:
            assert host.final_commands(job) == ["reject"]
    assert least <= sent[0] <= most and sent[1] > (1.5 * sent[0] if most < 60 else 59)


@pytest.mark.parametrize(
    ("effect", "group", "doubted", "recalled"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, True, True),
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, False, False),
        (Idempotency.KEYED, DeduplicationScope.ALL, True, True),
        (Idempotency.KEYED, DeduplicationScope.ZONE, True, False),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, True, False),
    ],
)
def test_what_a_silent_server_swallowed_is_recalled_first_and_then_sent_elsewhere(
    effect: Idempotency, group: DeduplicationScope, doubted: bool, recalled: bool
) -> None:
    host = FakeHost(endpoints=0, request_classes=[PLAIN, make_request_class(effect, group)], **BESIDE)
    for server in range(4):
        host.list_endpoints(server, zone=server)
    host.serve_requests(40)
    host.advance(0.01)
    (first,) = host.sent_to(job := host.submit(request_class=1))
    host.advance(0.3)
    host.balancer.gossip_received(
        [PeerOutcome(server, 0.0, True, 0.1) for server in range(4) if server != first]
    )
    host.balancer.gossip_received([PeerOutcome(first, 0.0, False, 0.5)] if doubted else [])
    host.advance(0.25)
    assert (("cancel_attempt", job, 0) in host.commands) == recalled and host.sent_to(job) == [first]
    if recalled:
        host.end_attempt(job, AttemptResult.CANCELLED)
        assert len(set(host.sent_to(job))) == 2


def test_a_job_recalled_at_its_end_counts_against_its_server() -> None:
    host = FakeHost(endpoints=1, **BESIDE)
    host.submit(time_left=1.5)
    host.advance(1.5)
    host.end_attempt(1, AttemptResult.CANCELLED, seconds=0.0)
    (told,) = [row[3] for row in host.commands if row[0] == "send_gossip"]
    assert not told[0].success and told[0].seconds > 1.0


def beside_clients() -> dict[str, Any]:
    found = configuration(family="mesh", group_size=2, me=0, extra={"warm_keys": True}, overage_revenue=0.1)
    found["settings"]["limits"].update(may_tell=True, second_copies=False)
    addresses = ["127.0.0.1:7001", "127.0.0.1:7002"]
    return {**found, "key_header": "Seat", "talk": {"listen": addresses[0], "peers": addresses}}


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
def test_a_mix_of_shapes_is_refused_at_a_start_and_names_its_key(
    path: str, value: Any, key: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: Any
) -> None:
    found = beside_clients()
    validation.validate(found)
    *stems, last = path.split(".")
    place: Any = found
    for name in stems:
        place = place[name]
    place[last] = value
    if value is None:
        del place[last]
    file = tmp_path / "told.json"
    file.write_text(json.dumps(found))
    monkeypatch.setenv("GW_CONFIG", str(file))
    monkeypatch.setattr("sys.argv", ["notchjunction"])
    assert main() == 2 and f"{key}:" in capfd.readouterr().err
    monkeypatch.setattr("sys.argv", ["notchjunction", "--check", str(file)])
    assert main() == 1


def test_settings_alone_give_the_shape_and_sighup_does_not_change_it(tmp_path: Path) -> None:
    old = settings.read_settings(7, settings.flatten(configuration()["settings"]))
    assert (old.sidecar, old.gossips, old.key_affinity, old.over_quota_weight) == (False, False, False, 1.0)
    new = settings.read_settings(7, settings.flatten(beside_clients()["settings"]))
    assert (new.sidecar, new.gossips, new.key_affinity, new.over_quota_weight) == (True, True, True, 0.1)

    async def story() -> None:
        file = tmp_path / "told.json"
        file.write_text(json.dumps(beside_clients()))
        async with Peer() as server, running(server, file=file) as (node, _):
            node.read_again()
            assert node.counters.read()["reloads_failed"] == 1 and not node._told.balancer.sidecar

    run(story())


def test_nodes_talk_by_datagrams_and_pass_over_the_foreign_the_oversized_and_the_gone() -> None:
    async def story() -> None:
        addresses, heard, counters = [free_address() for _ in range(3)], [], [Counters(), Counters()]
        talks = [
            GossipSocket(addresses[n], addresses, lambda *note: heard.append(note), counters[n])
            for n in (0, 1)
        ]
        for talk in talks:
            await talk.open()
        for peer, note in (
            (1, b"one"),
            (1, b"one"),
            (1, b"x" * (MAX_DATAGRAM_BYTES + 1)),
            (2, b"gone"),
            (9, b"none"),
        ):
            talks[0].send(peer, note)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"one", addresses[1])
        async with asyncio.timeout(5):
            while len(counters[1].read()) < 3 or len(heard) < 2:
                await asyncio.sleep(0.005)
        assert heard == [(0, b"one")] * 2 and counters[0].read()["gossip_send_failed"] == 1
        assert counters[1].read() == {"gossip_unknown_sender": 1, "gossip_received": 2, "gossip_oversized": 1}
        for talk in talks:
            talk.close()

    run(story())


def test_a_node_tells_over_sockets_and_another_reads_its_notes_by_servers_names() -> None:
    async def story() -> None:
        notes: list[bytes] = []
        async with (
            Peer() as server,
            running(server, **{**BESIDE, "node_count": 2, "node_index": 0}) as (node, at),
        ):
            node._talk = GossipSocket(free_address(), [], lambda *_: None, node.counters)
            node._talk.send = lambda peer, note: notes.append(note)  # type: ignore[method-assign]
            client = await Client().open(at)
            client.ask()
            assert (await client.answer()).status == 200
            async with asyncio.timeout(5):
                while not notes:
                    await asyncio.sleep(0.005)
        other = BalancerEngine(node._told.balancer, SettingNames(["plain"]), lambda: 1000.0, lambda _: None)
        other.apply_list_update(
            ListUpdate.SNAPSHOT, [ListedEndpoint(name, EndpointState.ACTIVE) for name in ("s9", "s0")]
        )
        other.receive_gossip(1, notes[0])
        other.receive_gossip(1, b"garbage")
        assert other.ignored_datagrams == 1
        ticket = other.submit(RequestSpec("plain", 2.0, Idempotency.IDEMPOTENT, affinity_key="7"))
        other.report_attempt(ticket, 0, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
        errands = [other._node_commands.get_nowait() for _ in range(other._node_commands.qsize())]
        assert [each.peer for each in errands if isinstance(each, SendGossip)] == [1]

    run(story())
