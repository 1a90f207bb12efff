"""What processes and nodes of two releases say to each other, byte for byte as commit 98f791a said it.

The fixtures in `tests/fixtures/wire/` were recorded from that commit; its README says how. Strings that reach
the wire are literals here: an identifier of the program may be renamed, its string may not.
"""

from __future__ import annotations

import asyncio
import json
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


def recorded(name: str) -> Any:
    return json.loads((FIXTURES / name).read_text())


# Gossip between nodes.


def test_a_gossip_datagram_is_written_and_read_as_recorded() -> None:
    fixture = recorded("gossip.json")
    words = [OutcomeReport(*word) for word in fixture["words"]]
    assert OutcomeGossip(fixture["start"]).encode(fixture["newest"], words).hex() == fixture["datagram"]
    named = [
        OutcomeReport(endpoint_hash=tag, age=ago, success=good, latency=s)
        for tag, ago, good, s in fixture["words"]
    ]
    assert named == words
    read = OutcomeGossip(1).decode(3, bytes.fromhex(fixture["datagram"]))
    assert [list(word) for word in read] == fixture["read"]


def test_the_tag_of_a_server_in_gossip_is_as_recorded() -> None:
    tags = recorded("gossip.json")["tags"]
    assert {name: endpoint_hash(name) for name in tags} == tags


# The fleet's datagrams.


@pytest.mark.parametrize("number", range(4))
def test_a_sealed_datagram_is_written_and_read_as_recorded(number: int) -> None:
    fixture = recorded("envelopes.json")[number]
    keys = [Key(int(name), bytes.fromhex(secret)) for name, secret in fixture["secrets"].items()]
    sender, payload = Sender(*fixture["sender"]), bytes.fromhex(fixture["payload"])
    to, to_start = fixture["to"]
    own = Envelope(sender, keys)
    for _ in range(1, fixture["sequence"]):
        own.seal("other", 77, b"the first of its sequence")
    assert own.seal(to, to_start, payload).hex() == fixture["datagram"]
    opened = Envelope(Sender("other", 77), keys[::-1]).open(bytes.fromhex(fixture["datagram"]))
    assert opened == (sender, to_start, payload, to_start == 0)


RUMOURS = tuple(
    membership.MemberUpdate(
        name=f"n{state}",
        address=f"10.0.0.{state}:7000",
        start=11 + state,
        incarnation=21 + state,
        state=membership.MemberState(state),
        age=31 + state,
        accusers=by,
    )
    for state, by in enumerate(((), ("n5", "n6"), (), ("n7",)))
)
SUMS = bytes(range(256))
# In the fixture's order; by the names of their fields, so that none changes its place unnoticed.
MESSAGES: list[tuple[int, Any]] = [
    (1, membership.Join(seq=1)),
    (2, membership.JoinReply(seq=2, updates=RUMOURS)),
    (3, membership.Ping(seq=3, updates=RUMOURS[:1])),
    (4, membership.Ack(seq=4, updates=RUMOURS[1:2])),
    (5, membership.IndirectPing(seq=5, name="n9", updates=RUMOURS[2:3])),
    (6, membership.Nack(seq=6, updates=RUMOURS[3:])),
    (7, membership.Digest(sums=SUMS, updates=RUMOURS)),
    (8, membership.Differences(sums=SUMS[::-1], updates=())),
    (9, membership.UpdateBatch(updates=RUMOURS)),
    (20, quota_messages.LeaseRequest(quota="payments", serial=41, round=42, count=43)),
    (21, quota_messages.LeaseGrant(quota="payments", serial=51, round=52, count=53, term=54.5)),
    (22, quota_messages.LeaseDenial(quota="payments", serial=61, retry_after=0.25)),
    (23, quota_messages.LeaseReturn(quota="payments", serial=71, kept=72)),
    (24, quota_messages.LeaseRecall(quota="payments", serial=81, count=82, keep=83)),
    (25, quota_messages.PhaseAnnouncement(quota="payments", revision=91, phase=4, wants_reply=True)),
]


@pytest.mark.parametrize("number", range(len(MESSAGES)))
def test_a_message_of_the_fleet_is_written_and_read_as_recorded(number: int) -> None:
    data = bytes.fromhex(recorded("fleet_messages.json")[number])
    tag, message = MESSAGES[number]
    assert ENCODER.encode([message]) == data
    assert DECODER.decode(data) == [message]
    assert msgspec.msgpack.decode(data)[0][0] == tag


def test_every_message_of_the_fleet_is_recorded() -> None:
    tags = {kind.__struct_config__.tag for kind in (membership.Message | quota_messages.Message).__args__}
    assert tags == {tag for tag, _ in MESSAGES}
    assert len(recorded("fleet_messages.json")) == len(MESSAGES)


def test_numbers_that_the_fleet_says_for_states_and_phases() -> None:
    assert {state.name.lower(): int(state) for state in membership.MemberState} == {
        "alive": 0,
        "suspect": 1,
        "dead": 2,
        "left": 3,
    }
    assert sorted(int(phase) for phase in Phase) == [1, 2, 3, 4]


def test_a_conversation_of_a_fleet_goes_as_recorded() -> None:
    """Four nodes meet, miss one, lend rights under a changing split, and one leaves.

    Each hears what the recorded ones said, and must say the same bytes: tags, fields, seals and all.
    """
    heads, said, *rows = map(json.loads, (FIXTURES / "fleet_conversation.jsonl").read_text().splitlines())
    members = {
        name: FleetAgent(name, 5 + number, read_section(section), heads["longest"], number, 0.0)
        for number, (name, section) in enumerate(heads["sections"].items())
    }
    permits: dict[int, Any] = {}
    for number, (now, name, action, more, says) in enumerate(rows):
        own = members[name]
        datagrams: list[Any] = []
        match action:
            case "tick":
                datagrams = own.tick(now)
            case "hear":
                datagrams = own.receive(now, bytes.fromhex(said[more["datagram"]]), more["source"])
            case "seek":
                datagrams = own.pack(own.quotas.set_waiting(now, "payments", 2))
            case "spend":
                permits[number] = own.quotas.acquire(now, "payments", now + heads["longest"])
                assert (permits[number] is not None) == more["got"]
            case "release":
                datagrams = own.pack(own.quotas.release(now, permits[more["of"]]))
            case "leave":
                datagrams = own.leave(now)
            case _:
                raise AssertionError(action)
        assert [each.data.hex() for each in datagrams] == [said[each] for each in says], (now, name, action)


# What one process gives another: the whole handover by real processes, and parts of it byte for byte.

HANDOVER_WITHIN = 60.0  # s for either of these stories, which take some seconds on an idle machine
BARRED = ["s2"]  # servers that operators had taken out as the handover was recorded
REST = handover_player.BODY - handover_player.BEGUN  # bytes of each moved answer that were still to come


def test_a_process_says_to_the_next_one_what_is_recorded(tmp_path: Path) -> None:
    fixture = recorded("handover.json")
    hearing = handover_player.hear_all(REPOSITORY, tmp_path)
    said = asyncio.run(asyncio.wait_for(hearing, HANDOVER_WITHIN))
    assert handover_player.masked(said.pop("state")) == handover_player.masked(fixture.pop("state"))
    assert said == fixture


def test_what_is_recorded_of_the_handover_is_all_that_passes() -> None:
    fixture = recorded("handover.json")
    assert fixture["identity"] == '{"node": "n", "listen": "<listen>", "version": "1"}'
    state = json.loads(fixture["state"])["state"]
    assert list(state) == ["barred", "out", "list", "starts", "lessons"]
    assert state["barred"] == BARRED and state["out"] is False and len(state["starts"]) == 3
    words = [json.loads(word) for word in fixture["words"]]
    assert [(word["word"], word["value"]) for word in words] == [
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


def test_a_process_goes_on_from_what_is_recorded(tmp_path: Path) -> None:
    fixture = recorded("handover.json")
    # Beside the recorded ones an answer with bytes read and not passed on, and some passed on and not sent.
    by_length = json.loads(fixture["streams"][1].partition(" ")[2])
    by_length["answers"].update(come=handover_player.BEGUN - 2, unread=b64encode(b"yy").decode())
    by_length["unsent"] = b64encode(b"zzz").decode()
    fixture["streams"].append(f"2 {json.dumps(by_length)}")
    telling = handover_player.tell_all(REPOSITORY, tmp_path, fixture)
    said = asyncio.run(asyncio.wait_for(telling, HANDOVER_WITHIN))
    assert said["got"] == '{"got": true}'
    assert said["ready"] == '{"ready": true}'
    assert said["usage"] == fixture["usage"] == '{"usage": {"held": #, "callers": #}}'
    assert said["acks"] == [f'{{"ack": {number}}}' for number in range(1, 5)]
    assert said["identity"] == fixture["identity"] and said["listeners"] == 1
    check_state(json.loads(fixture["state"])["state"], json.loads(said["state"])["state"])
    states = [json.loads(state)["state"] for state in said["states"]]
    assert [(state["barred"], state["out"]) for state in states] == [
        (["s1", *BARRED], False),
        (BARRED, False),
        (BARRED, True),
        (BARRED, False),
    ]
    rest_of_body, whole, in_chunks, to_the_end, held = said["answers"]
    assert rest_of_body.startswith(b"HTTP/1.1 200 ")
    assert whole == b"y" * REST and held == b"zzz" + b"y" * (REST + 2)
    for chunks in (in_chunks, to_the_end):
        assert chunks.count(b"y") == REST and chunks.endswith(b"\r\n0\r\n\r\n")


def check_state(told: dict[str, Any], kept: dict[str, Any]) -> None:
    """A process that was told a state hands over the same, with all ages some time older."""
    lessons, kept_lessons = told.pop("lessons"), kept.pop("lessons")
    starts, kept_starts = told.pop("starts"), kept.pop("starts")
    assert kept == told
    for name, (at, age) in starts.items():
        assert kept_starts[name][0] == at and kept_starts[name][1] >= age
    assert kept_starts.keys() == starts.keys()
    clearing, kept_clearing = lessons.pop("clearing"), kept_lessons.pop("clearing")
    assert kept_clearing["began"] >= clearing["began"]
    assert kept_clearing["calm"] == clearing["calm"]
    for (ago, contract), (kept_ago, kept_contract) in zip(
        clearing["answers"], kept_clearing["answers"], strict=False
    ):
        assert kept_ago >= ago and kept_contract == contract
    assert kept_lessons == lessons


def test_what_a_process_has_learned_is_taken_over_and_said_again_as_recorded() -> None:
    fixture = recorded("learned.json")
    told = BalancerSettings(
        seed=7, request_classes=[RequestClass(1.0, 2.0, late_weight=0.5)], tier=0, tier_count=1
    )
    own = BalancerEngine(
        told, SettingNames(["plain"], [], ["a"]), lambda: float(fixture["now"]), lambda delay: None
    )
    own.restore_start_times(json.loads(fixture["starts"]))
    listed = [ListedEndpoint(name, EndpointState.ACTIVE, at, "a", 0) for name, at in fixture["servers"]]
    own.apply_list_update(ListUpdate.CACHED, listed)
    own.restore_state(json.loads(fixture["lessons"]))
    assert json.dumps(own.start_ages()) == fixture["starts"]
    assert json.dumps(own.export_state()) == fixture["lessons"]


def test_the_keys_of_what_a_process_has_learned() -> None:
    lessons = json.loads(recorded("learned.json")["lessons"])
    assert list(lessons) == ["clearing", "servers", "spent"]
    assert list(lessons["clearing"]) == ["began", "answers", "calm"]
    assert all(
        list(server) == ["last", "seconds", "back_in", "wait"] for server in lessons["servers"].values()
    )
    assert all(lessons["clearing"].values()) and lessons["servers"]["s2"]["back_in"] > 0
    assert list(lessons["spent"]) == ["plain"] and lessons["spent"]["plain"]


BODY_LEFT = 100_000  # bytes of each recorded body that were not given out when it was given away
FRAMINGS = ["LENGTH", "CHUNKS", "TO_THE_END", "LENGTH"]


@pytest.mark.parametrize("number", range(len(FRAMINGS)))
def test_a_body_is_read_on_from_where_it_is_recorded_to_stand(number: int) -> None:
    fixture = recorded("positions.json")[number]
    position = json.loads(fixture["position"])
    assert position["framing"] == FRAMINGS[number]
    unread = b64decode(position["unread"])
    reader = ResponseReader() if fixture["of"] == "answer" else RequestReader()
    reader.restore(position)
    assert json.dumps(reader.state()) == fixture["position"]
    end = fixture["rest"].encode().lstrip(unread[:1])
    reader.feed(unread[:1] * (BODY_LEFT - len(unread)) + end)
    body = bytearray()
    while True:
        piece, ended = reader.take_piece()
        body += piece
        if ended or not piece:
            break
    assert bytes(body) == unread[:1] * BODY_LEFT
    assert ended == (position["framing"] != "TO_THE_END")


# Words that stand for the members of enumerations: in settings, lists, reports and records.


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
    assert [each.value for each in kind] == words


def test_words_of_lists_and_results_on_sockets_and_at_the_simulator() -> None:
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


def test_a_server_in_the_lists_own_form() -> None:
    row = endpoint_list.format_row(ListedEndpoint("s0", EndpointState.DRAINING, 1.5, "a", 3), "10.0.0.1:80")
    assert json.dumps(row) == (
        '{"name": "s0", "address": "10.0.0.1:80", "zone": "a", "group": 3, "status": "leaving", '
        '"since_ms": 1500.0}'
    )


def test_the_fleet_as_operators_are_shown_it(tmp_path: Path) -> None:
    """The whole answer of `GET /control/fleet`, but for what differs from start to start."""

    async def story() -> None:
        mgmt, (host, port) = free_address(), free_address()
        at = f"{host}:{port}"
        fleet = {
            "listen": at,
            "seeds": [at],
            "keys": [{"number": 1, "secret": "0f" * 16}],
            "limits": [{"name": "payments", "revision": 3, "owners": {"n": 2}}],
        }
        async with Peer() as peer, running(peer, mgmt=mgmt, fleet=fleet):
            reader, writer = await asyncio.open_connection(*mgmt)
            writer.write(b"GET /control/fleet HTTP/1.1\r\nHost: n\r\n\r\n")
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
        assert b"content-type: application/json" in head.lower()
        shown = json.loads(body)
        start = shown["nodes"]["n"].pop("start")
        quarantine = shown["limits"]["payments"].pop("quarantined_for")
        assert isinstance(start, int) and isinstance(quarantine, float)
        assert shown == {
            "away": False,
            "nodes": {"n": {"state": "alive", "at": at}},
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

    asyncio.run(asyncio.wait_for(story(), 20))
