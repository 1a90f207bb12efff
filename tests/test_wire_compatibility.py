"""Messages between processes and nodes of two releases, compared byte for byte with those of commit 98f791a.

The fixtures in `tests/fixtures/wire/` were recorded from that commit, as its README describes. Strings on the
wire are literals here: an identifier of the program may be renamed, the string that it stands for may not.
"""

from __future__ import annotations

import asyncio
import json
import re
from base64 import b64decode, b64encode
from pathlib import Path
from typing import Any

import msgspec
import pytest

from notchjunction.balancing.engine import BalancerEngine, SettingNames
from notchjunction.balancing.interface import (
    BalancerSettings,
    DeduplicationScope,
    Idempotency,
    ListUpdate,
    RequestClass,
)
from notchjunction.balancing.outcome_gossip import OutcomeGossip, OutcomeReport, endpoint_hash
from notchjunction.discovery import endpoint_list
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from notchjunction.emulator.scenario import Kind as ServerFault
from notchjunction.fleet.agent import DECODER, ENCODER, FleetAgent, read_section
from notchjunction.fleet.envelope import Envelope, Key, Sender
from notchjunction.fleet.membership import messages as membership
from notchjunction.fleet.quotas import messages as quota_messages
from notchjunction.fleet.quotas.phase import Phase
from notchjunction.http1.parser import RequestReader, ResponseReader
from notchjunction.simulator import vocabulary
from notchjunction.testbed.fleet_stage import ProcessKind
from notchjunction.testbed.links import Kind as LinkFault
from tests import handover_player
from tests.helpers import Peer, free_address, running

REPOSITORY = Path(__file__).parent.parent
FIXTURES = Path(__file__).parent / "fixtures" / "wire"


def read_fixture(name: str) -> Any:
    return json.loads((FIXTURES / name).read_text())


# Gossip between nodes.


def test_gossip_datagram_is_encoded_and_decoded_as_recorded() -> None:
    fixture = read_fixture("gossip.json")
    reports = [OutcomeReport(*fields) for fields in fixture["words"]]
    assert OutcomeGossip(fixture["start"]).encode(fixture["newest"], reports).hex() == fixture["datagram"]
    named = [
        OutcomeReport(endpoint_hash=hash_value, age=age, success=success, latency=latency)
        for hash_value, age, success, latency in fixture["words"]
    ]
    assert named == reports
    decoded = OutcomeGossip(1).decode(3, bytes.fromhex(fixture["datagram"]))
    assert [list(report) for report in decoded] == fixture["read"]


def test_endpoint_hash_in_gossip_is_as_recorded() -> None:
    hashes = read_fixture("gossip.json")["tags"]
    assert {name: endpoint_hash(name) for name in hashes} == hashes


# The fleet's datagrams.


@pytest.mark.parametrize("number", range(4))
def test_sealed_datagram_is_written_and_read_as_recorded(number: int) -> None:
    fixture = read_fixture("envelopes.json")[number]
    keys = [Key(int(name), bytes.fromhex(secret)) for name, secret in fixture["secrets"].items()]
    sender, payload = Sender(*fixture["sender"]), bytes.fromhex(fixture["payload"])
    to, to_start = fixture["to"]
    envelope = Envelope(sender, keys)
    for _ in range(1, fixture["sequence"]):
        envelope.seal("other", 77, b"the first of its sequence")
    assert envelope.seal(to, to_start, payload).hex() == fixture["datagram"]
    opened = Envelope(Sender("other", 77), keys[::-1]).open(bytes.fromhex(fixture["datagram"]))
    assert opened == (sender, to_start, payload, to_start == 0)


UPDATES = tuple(
    membership.MemberUpdate(
        name=f"n{state}",
        address=f"10.0.0.{state}:7000",
        start=11 + state,
        incarnation=21 + state,
        state=membership.MemberState(state),
        age=31 + state,
        accusers=accusers,
    )
    for state, accusers in enumerate(((), ("n5", "n6"), (), ("n7",)))
)
SUMS = bytes(range(256))
# In the fixture's order. Fields are given by name, so that the test fails if two of them change places.
MESSAGES: list[tuple[int, Any]] = [
    (1, membership.Join(seq=1)),
    (2, membership.JoinReply(seq=2, updates=UPDATES)),
    (3, membership.Ping(seq=3, updates=UPDATES[:1])),
    (4, membership.Ack(seq=4, updates=UPDATES[1:2])),
    (5, membership.IndirectPing(seq=5, name="n9", updates=UPDATES[2:3])),
    (6, membership.Nack(seq=6, updates=UPDATES[3:])),
    (7, membership.Digest(sums=SUMS, updates=UPDATES)),
    (8, membership.Differences(sums=SUMS[::-1], updates=())),
    (9, membership.UpdateBatch(updates=UPDATES)),
    (20, quota_messages.LeaseRequest(quota="payments", serial=41, round=42, count=43)),
    (21, quota_messages.LeaseGrant(quota="payments", serial=51, round=52, count=53, term=54.5)),
    (22, quota_messages.LeaseDenial(quota="payments", serial=61, retry_after=0.25)),
    (23, quota_messages.LeaseReturn(quota="payments", serial=71, kept=72)),
    (24, quota_messages.LeaseRecall(quota="payments", serial=81, count=82, keep=83)),
    (25, quota_messages.PhaseAnnouncement(quota="payments", revision=91, phase=4, wants_reply=True)),
]


@pytest.mark.parametrize("number", range(len(MESSAGES)))
def test_fleet_message_is_encoded_and_decoded_as_recorded(number: int) -> None:
    data = bytes.fromhex(read_fixture("fleet_messages.json")[number])
    tag, message = MESSAGES[number]
    assert ENCODER.encode([message]) == data
    assert DECODER.decode(data) == [message]
    assert msgspec.msgpack.decode(data)[0][0] == tag


def test_every_kind_of_fleet_message_is_recorded() -> None:
    tags = {kind.__struct_config__.tag for kind in (membership.Message | quota_messages.Message).__args__}
    assert tags == {tag for tag, _ in MESSAGES}
    assert len(read_fixture("fleet_messages.json")) == len(MESSAGES)


def test_numbers_of_member_states_and_phases_on_the_wire() -> None:
    assert {state.name.lower(): int(state) for state in membership.MemberState} == {
        "alive": 0,
        "suspect": 1,
        "dead": 2,
        "left": 3,
    }
    assert sorted(int(phase) for phase in Phase) == [1, 2, 3, 4]


def test_fleet_conversation_is_replayed_as_recorded() -> None:
    """Four nodes join, lose contact with one, lend permits while the split changes, and one leaves.

    Each receives the recorded datagrams and must send the same bytes: tags, fields and seals.
    """
    setup, recorded, *rows = map(json.loads, (FIXTURES / "fleet_conversation.jsonl").read_text().splitlines())
    members = {
        name: FleetAgent(name, 5 + number, read_section(section), setup["longest"], number, 0.0)
        for number, (name, section) in enumerate(setup["sections"].items())
    }
    permits: dict[int, Any] = {}
    for number, (now, name, action, arguments, sent) in enumerate(rows):
        agent = members[name]
        datagrams: list[Any] = []
        match action:
            case "tick":
                datagrams = agent.tick(now)
            case "hear":
                datagrams = agent.receive(
                    now, bytes.fromhex(recorded[arguments["datagram"]]), arguments["source"]
                )
            case "seek":
                datagrams = agent.pack(agent.quotas.set_waiting(now, "payments", 2))
            case "spend":
                permits[number] = agent.quotas.acquire(now, "payments", now + setup["longest"])
                assert (permits[number] is not None) == arguments["got"]
            case "release":
                datagrams = agent.pack(agent.quotas.release(now, permits[arguments["of"]]))
            case "leave":
                datagrams = agent.leave(now)
            case _:
                raise AssertionError(action)
        assert [datagram.data.hex() for datagram in datagrams] == [recorded[index] for index in sent], (
            now,
            name,
            action,
        )


# Handover from one process to the next: all of it between real processes, and parts of it byte for byte.

HANDOVER_TIMEOUT_S = 60.0  # for one handover, which takes some seconds on an idle machine
BANNED = ["s2"]  # servers that were banned when the handover was recorded
BODY_REST = handover_player.BODY_SIZE - handover_player.BODY_SENT  # bytes sent after a response migrated


def test_process_sends_its_successor_what_is_recorded(tmp_path: Path) -> None:
    fixture = read_fixture("handover.json")
    handover = handover_player.hear_all(REPOSITORY, tmp_path)
    sent = asyncio.run(asyncio.wait_for(handover, HANDOVER_TIMEOUT_S))
    assert handover_player.masked(sent.pop("state")) == handover_player.masked(fixture.pop("state"))
    # Since the recording, a response also names the id of its request, as the last key; an upload has none.
    request_id = re.compile(r', "id": "[!-~]+"}$')
    assert [len(request_id.findall(stream)) for stream in sent["streams"]] == [0, 1, 1, 1]
    sent["streams"] = [request_id.sub("}", stream) for stream in sent["streams"]]
    assert sent == fixture


def test_recorded_handover_has_every_kind_of_message() -> None:
    fixture = read_fixture("handover.json")
    assert fixture["identity"] == '{"node": "n", "listen": "<listen>", "version": "1"}'
    state = json.loads(fixture["state"])["state"]
    assert list(state) == ["barred", "out", "list", "starts", "lessons"]
    assert state["barred"] == BANNED and state["out"] is False and len(state["starts"]) == 3
    commands = [json.loads(line) for line in fixture["words"]]
    assert [(command["word"], command["value"]) for command in commands] == [
        ("bar", "s1"),
        ("unbar", "s1"),
        ("out", True),
        ("out", False),
    ]
    streams = [json.loads(message.partition(" ")[2]) for message in fixture["streams"]]
    assert [list(stream) for stream in streams] == [
        ["keep", "rest"],
        *[["length", "chunks", "keep", "answers", "unsent"]] * 3,
    ]
    assert [stream["answers"]["framing"] for stream in streams[1:]] == ["LENGTH", "CHUNKS", "TO_THE_END"]


def test_process_continues_from_the_recorded_handover(tmp_path: Path) -> None:
    fixture = read_fixture("handover.json")
    # Adds a response with bytes that were read but not processed, and bytes that were processed but not sent.
    stream = json.loads(fixture["streams"][1].partition(" ")[2])
    stream["answers"].update(come=handover_player.BODY_SENT - 2, unread=b64encode(b"yy").decode())
    stream["unsent"] = b64encode(b"zzz").decode()
    fixture["streams"].append(f"2 {json.dumps(stream)}")
    handover = handover_player.hand_over(REPOSITORY, tmp_path, fixture)
    sent = asyncio.run(asyncio.wait_for(handover, HANDOVER_TIMEOUT_S))
    assert sent["got"] == '{"got": true}'
    assert sent["ready"] == '{"ready": true}'
    assert sent["usage"] == fixture["usage"] == '{"usage": {"held": #, "callers": #}}'
    assert sent["acks"] == [f'{{"ack": {number}}}' for number in range(1, 5)]
    assert sent["identity"] == fixture["identity"] and sent["listeners"] == 1
    check_state(json.loads(fixture["state"])["state"], json.loads(sent["state"])["state"])
    states = [json.loads(state)["state"] for state in sent["states"]]
    assert [(state["barred"], state["out"]) for state in states] == [
        (["s1", *BANNED], False),
        (BANNED, False),
        (BANNED, True),
        (BANNED, False),
    ]
    after_upload, by_length, chunked, until_closed, buffered = sent["answers"]
    assert after_upload.startswith(b"HTTP/1.1 200 ")
    assert by_length == b"y" * BODY_REST and buffered == b"zzz" + b"y" * (BODY_REST + 2)
    for chunks in (chunked, until_closed):
        assert chunks.count(b"y") == BODY_REST and chunks.endswith(b"\r\n0\r\n\r\n")


def check_state(received: dict[str, Any], kept: dict[str, Any]) -> None:
    """Checks that a process hands over the state that it received, with all ages increased."""
    lessons, kept_lessons = received.pop("lessons"), kept.pop("lessons")
    starts, kept_starts = received.pop("starts"), kept.pop("starts")
    assert kept == received
    for name, (started_at, age) in starts.items():
        assert kept_starts[name][0] == started_at and kept_starts[name][1] >= age
    assert kept_starts.keys() == starts.keys()
    clearing, kept_clearing = lessons.pop("clearing"), kept_lessons.pop("clearing")
    assert kept_clearing["began"] >= clearing["began"]
    assert kept_clearing["calm"] == clearing["calm"]
    for (response_age, objective), (kept_response_age, kept_objective) in zip(
        clearing["answers"], kept_clearing["answers"], strict=False
    ):
        assert kept_response_age >= response_age and kept_objective == objective
    assert kept_lessons == lessons


def test_learned_state_is_restored_and_exported_as_recorded() -> None:
    fixture = read_fixture("learned.json")
    settings = BalancerSettings(
        seed=7, request_classes=[RequestClass(1.0, 2.0, late_weight=0.5)], tier=0, tier_count=1
    )
    engine = BalancerEngine(
        settings, SettingNames(["plain"], [], ["a"]), lambda: float(fixture["now"]), lambda delay: None
    )
    engine.restore_start_times(json.loads(fixture["starts"]))
    listed = [
        ListedEndpoint(name, EndpointState.ACTIVE, started_at, "a", 0)
        for name, started_at in fixture["servers"]
    ]
    engine.apply_list_update(ListUpdate.CACHED, listed)
    engine.restore_state(json.loads(fixture["lessons"]))
    assert json.dumps(engine.start_ages()) == fixture["starts"]
    assert json.dumps(engine.export_state()) == fixture["lessons"]


def test_keys_of_the_learned_state() -> None:
    lessons = json.loads(read_fixture("learned.json")["lessons"])
    assert list(lessons) == ["clearing", "servers", "spent"]
    assert list(lessons["clearing"]) == ["began", "answers", "calm"]
    assert all(
        list(server) == ["last", "seconds", "back_in", "wait"] for server in lessons["servers"].values()
    )
    assert all(lessons["clearing"].values()) and lessons["servers"]["s2"]["back_in"] > 0
    assert list(lessons["spent"]) == ["plain"] and lessons["spent"]["plain"]


REMAINING_BODY_SIZE = 100_000  # bytes of each recorded body that were not yet processed when it migrated
FRAMINGS = ["LENGTH", "CHUNKS", "TO_THE_END", "LENGTH"]


@pytest.mark.parametrize("number", range(len(FRAMINGS)))
def test_body_is_read_on_from_the_recorded_position(number: int) -> None:
    fixture = read_fixture("positions.json")[number]
    position = json.loads(fixture["position"])
    assert position["framing"] == FRAMINGS[number]
    unread = b64decode(position["unread"])
    reader = ResponseReader() if fixture["of"] == "answer" else RequestReader()
    reader.restore(position)
    assert json.dumps(reader.state()) == fixture["position"]
    end = fixture["rest"].encode().lstrip(unread[:1])
    reader.feed(unread[:1] * (REMAINING_BODY_SIZE - len(unread)) + end)
    body = bytearray()
    while True:
        piece, ended = reader.take_piece()
        body += piece
        if ended or not piece:
            break
    assert bytes(body) == unread[:1] * REMAINING_BODY_SIZE
    assert ended == (position["framing"] != "TO_THE_END")


# Words for members of enumerations in settings, lists, reports and records.


@pytest.mark.parametrize(
    ("kind", "words"),
    [
        (Idempotency, ["reissuable", "numbered", "at-most-once"]),
        (DeduplicationScope, ["all", "zone", "cell"]),
        (
            ServerFault,
            [
                "crash",
                "hang",
                "slow",
                "errors",
                "reset",
                "lose",
                "lie",
                "drain",
                "cut",
                "list-down",
                "list-late",
                "list-split",
                "list-silent",
            ],
        ),
        (LinkFault, ["cut", "lose", "delay", "jitter", "repeat", "reorder"]),
        (ProcessKind, ["pause", "kill"]),
    ],
)
def test_words_of_scenario_files(kind: Any, words: list[str]) -> None:
    assert [member.value for member in kind] == words


def test_words_of_lists_and_results_on_sockets_and_in_the_simulator() -> None:
    assert set(endpoint_list.STATE_BY_STATUS) == {"active", "leaving", "left"}
    assert set(vocabulary.ENDPOINT_STATES) == {"on", "fading", "off"}
    assert set(vocabulary.LIST_UPDATES) == {"patch", "whole", "stale_copy", "broken"}
    assert set(vocabulary.RESULTS) == {
        "done",
        "err",
        "busy",
        "etimedout",
        "econnrefused",
        "econnreset",
        "ecanceled",
        "skipped",
    }


def test_format_of_an_endpoint_list_row() -> None:
    row = endpoint_list.format_row(ListedEndpoint("s0", EndpointState.DRAINING, 1.5, "a", 3), "10.0.0.1:80")
    assert json.dumps(row) == (
        '{"name": "s0", "address": "10.0.0.1:80", "zone": "a", "group": 3, "status": "leaving", '
        '"since_ms": 1500.0}'
    )


def test_fleet_report_of_the_admin_api(tmp_path: Path) -> None:
    """Checks all of the response to `GET /control/fleet` but the values that differ from start to start."""

    async def scenario() -> None:
        admin, (host, port) = free_address(), free_address()
        listen = f"{host}:{port}"
        fleet = {
            "listen": listen,
            "seeds": [listen],
            "keys": [{"number": 1, "secret": "0f" * 16}],
            "limits": [{"name": "payments", "revision": 3, "owners": {"n": 2}}],
        }
        async with Peer() as peer, running(peer, mgmt=admin, fleet=fleet):
            reader, writer = await asyncio.open_connection(*admin)
            writer.write(b"GET /control/fleet HTTP/1.1\r\nHost: n\r\n\r\n")
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
        assert b"content-type: application/json" in head.lower()
        report = json.loads(body)
        start = report["nodes"]["n"].pop("start")
        quarantine = report["limits"]["payments"].pop("quarantined_for")
        assert isinstance(start, int) and isinstance(quarantine, float)
        assert report == {
            "away": False,
            "nodes": {"n": {"state": "alive", "at": listen}},
            "limits": {
                "payments": {
                    "owned": 0,
                    "in_use": 0,
                    "lent": 0,
                    "borrowed": 0,
                    "revision": 3,
                    "settled": False,
                    "age": 0.0,
                }
            },
            "faults": [],
        }

    asyncio.run(asyncio.wait_for(scenario(), 20))
