"""Stories of the shape with a node beside each client: notes, keys, crowding, recall, settings, talk."""

from __future__ import annotations

import asyncio
import copy
import json
import socket
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from notchjunction import checks, terms
from notchjunction.__main__ import main
from notchjunction.decider import Ask, Decider, Ended, Listed, Names, Tell
from notchjunction.interface import Effect, Group, Job, News, Presence, Profile, Result, Told
from notchjunction.net.counters import Counters
from notchjunction.net.talk import Talk
from notchjunction.notes import MOST, Notes, Word, tag_of
from tests.helpers import (
    PLAIN,
    TERMS,
    Client,
    FakeHost,
    Peer,
    configuration,
    free_address,
    profile,
    running,
)
from tests.test_net import run

BESIDE: dict[str, Any] = {
    "beside_clients": True,
    "may_tell": True,
    "nodes": 40,
    "me": 3,
    "second_copies": False,
}
SOUND = Notes(1).write(1, [Word(5, 0.1, True, 0.1)] * 4)
SHORT = Profile(contract_time=0.6, abandon_time=2.0, effect=Effect.REISSUABLE)


# What nodes tell one another.


def test_each_outcome_is_told_to_one_peer_and_never_to_oneself() -> None:
    host = FakeHost(**BESIDE)
    host.serve(60)
    told = [row for row in host.did if row[0] == "tell"]
    assert len(told) == 60 and all(0 <= row[1] < 40 and row[1] != 3 for row in told)
    assert [row[2] for row in told] == list(range(1, 61)) and max(len(row[3]) for row in told) == 12


def test_a_server_that_fails_for_others_is_set_aside_before_it_is_met() -> None:
    host = FakeHost(**BESIDE)
    host.core.heard([Told(server, 0.1, server != 0, 0.1) for server in (0, 1, 2, 3) * 8])
    assert ("set_aside", 0) in [row[:2] for row in host.did]


@pytest.mark.parametrize(
    ("word", "why"),
    [
        (Told(0, 5.0, False, 0.0), "older than own news"),
        (Told(0, 60.0, False, 0.0), "too old"),
        (Told(9, 0.1, False, 0.0), "a server that is not in the own list"),
    ],
)
def test_hearsay_that_is_old_or_of_others_servers_changes_nothing(word: Told, why: str) -> None:
    host = FakeHost(servers=1, **BESIDE)
    host.serve(10)
    host.core.heard([word] * 20)
    assert not host.count("set_aside"), why


def test_hearsay_opens_no_drained_server_and_warms_no_cold_one() -> None:
    host = FakeHost(servers=1, cold_time=20.0, cold_share=0.1, **BESIDE)
    host.list_servers(0, presence=Presence.DRAINING)
    host.list_servers(1, started_at=host.clock - 1.0)
    host.core.heard([Told(server, 0.05, True, 0.1) for server in (0, 1) * 10])
    sent = [server for _ in range(20) for server in host.sent(host.take())]
    assert 0 not in sent and len(sent) <= 1


@pytest.mark.parametrize("lost", [0, 2])
def test_notes_that_overlap_come_twice_or_out_of_order_count_each_outcome_once(lost: int) -> None:
    writer, reader = Notes(1), Notes(2)
    words = [Word(tag_of(f"s{n}"), 0.5, True, n / 1000) for n in range(20)]
    notes = [writer.write(n, words[max(0, n - 12) : n][::-1]) for n in range(1, 21) if not lost or n % lost]
    heard = [word for note in [*notes, notes[0], notes[3]] for word in reader.read(7, note)]
    assert sorted(word.seconds for word in heard) == [n / 1000 for n in range(19 if lost else 20)]


@pytest.mark.parametrize("note", [b"", b"garbage", SOUND[:-1], SOUND + b"x", b"\x09" + SOUND[1:], SOUND * 9])
def test_a_note_that_cannot_be_read_is_passed_over_and_counted(note: bytes) -> None:
    reader = Notes(2)
    assert reader.read(1, note) == [] and reader.passed_over == 1


def test_a_peer_that_starts_anew_is_heard_again() -> None:
    reader, word = Notes(9), [Word(5, 0.1, True, 0.1)]
    reader.read(1, Notes(1).write(500, word))
    assert reader.read(1, Notes(2).write(1, word)) == [Word(5, 0.1, True, 0.1)]


def test_a_thick_nodes_part_of_the_room_follows_what_it_carries() -> None:
    host = FakeHost(servers=20, **BESIDE)
    host.serve(50, every=0.02)
    for n in range(5):
        host.core.heard([Told(n, 0.01, True, 0.1)])
    assert host.core._parts() < 40 / 8


# Keys.


def keyed(host: FakeHost, key: str) -> int:
    host.jobs += 1
    host.core.take(Job(host.jobs, 0, 0, 2.0, key=key))
    server = host.sent(host.jobs)[0]
    host.end(host.jobs)
    return server


@pytest.mark.parametrize("warm", [True, False])
def test_a_keys_jobs_go_to_the_same_few_servers_at_all_nodes(warm: bool) -> None:
    hosts = [FakeHost(servers=0, seed=seed, warm_keys=warm, **BESIDE) for seed in (1, 2)]
    for host, order in zip(hosts, (range(12), reversed(range(12))), strict=True):
        for server in order:
            host.list_servers(server, tag=tag_of(f"s{server}"))
    found = {keyed(host, "seat:7") for host in hosts for _ in range(30)}
    assert (len(found) <= 2) == warm


@pytest.mark.parametrize("key", ["", "x" * 5000])
def test_a_missing_or_huge_key_costs_no_job(key: str) -> None:
    host = FakeHost(warm_keys=True, **BESIDE)
    assert keyed(host, key) in range(4)


def test_a_hot_key_spreads_over_more_servers_than_its_own() -> None:
    host = FakeHost(servers=0, warm_keys=True, **BESIDE)
    for server in range(12):
        host.list_servers(server, tag=tag_of(f"s{server}"))
    host.core.heard([Told(server, 0.1, True, 0.05) for server in range(12)])
    for _ in range(16):
        host.jobs += 1
        host.core.take(Job(host.jobs, 0, 0, 2.0, key="hot"))
    assert len({server for _, server in host.sent_at}) > 2


# Crowding, recall.


@pytest.mark.parametrize(("seconds", "least", "most"), [(None, 100, 100), (0.05, 100, 100), (1.2, 0, 40)])
def test_as_many_jobs_are_given_up_at_once_as_servers_would_do_too_late(
    seconds: float | None, least: int, most: int
) -> None:
    host = FakeHost(servers=30, profiles=[SHORT], **BESIDE)
    if seconds is not None:
        host.core.heard([Told(n % 30, 0.1, True, seconds) for n in range(64)])
    sent = 0
    for _ in range(100):
        job = host.take()
        if host.sent(job):
            sent += 1
            host.end(job, seconds=seconds or 0.1)
        else:
            assert host.finals(job) == ["turn_back"]
    assert least <= sent <= most


def test_when_crowded_jobs_of_more_revenue_are_sent_more_often() -> None:
    host = FakeHost(servers=30, profiles=[SHORT, replace(SHORT, revenue=8.0)], **BESIDE)
    sent = Counter[int]()
    for n in range(200):
        host.core.heard([Told(n % 30, 0.1, True, 0.4)] * 3)
        if host.sent(job := host.take(profile=n % 2)):
            sent[n % 2] += 1
            host.end(job, seconds=0.4)
    assert sent[1] > 1.5 * sent[0]


@pytest.mark.parametrize(
    ("effect", "group", "doubted", "recalled"),
    [
        (Effect.REISSUABLE, Group.ALL, True, True),
        (Effect.REISSUABLE, Group.ALL, False, False),
        (Effect.NUMBERED, Group.ALL, True, True),
        (Effect.NUMBERED, Group.ZONE, True, False),
        (Effect.AT_MOST_ONCE, Group.ALL, True, False),
    ],
)
def test_what_a_silent_server_swallowed_is_recalled_first_and_then_sent_elsewhere(
    effect: Effect, group: Group, doubted: bool, recalled: bool
) -> None:
    host = FakeHost(servers=0, profiles=[PLAIN, profile(effect, group)], **BESIDE)
    for server in range(4):
        host.list_servers(server, zone=server)
    host.serve(40)
    host.advance(0.01)
    job = host.take(profile=1)
    host.advance(0.3)
    host.core.heard([Told(server, 0.0, True, 0.1) for server in range(4) if server not in host.sent(job)])
    if doubted:
        host.core.heard([Told(host.sent(job)[0], 0.0, False, 0.5)])
    host.advance(0.25)
    assert (("recall", job, 0) in host.did) == recalled and len(host.sent(job)) == 1
    if recalled:
        host.end(job, Result.RECALLED)
        assert len(host.sent(job)) == 2 and len(set(host.sent(job))) == 2


def test_a_job_recalled_at_its_end_counts_against_its_server() -> None:
    host = FakeHost(servers=1, profiles=[replace(PLAIN, contract_time=0.5)], **BESIDE)
    host.take(time_left=1.0)
    host.advance(1.0)
    host.end(1, Result.RECALLED, seconds=0.0)
    (told,) = [row[3] for row in host.did if row[0] == "tell"]
    assert not told[0].good and told[0].seconds > 0.9


# Settings, and the node.


def beside_clients() -> dict[str, Any]:
    found = configuration(family="mesh", group_size=2, me=0, extra={"warm_keys": True}, overage_revenue=0.1)
    found["settings"]["limits"].update(may_tell=True, second_copies=False)
    addresses = ["127.0.0.1:7001", "127.0.0.1:7002"]
    return {**found, "key_header": "Seat", "talk": {"listen": addresses[0], "peers": addresses}}


MIXES: list[tuple[tuple[str, ...], Any, str]] = [
    (("settings", "limits", "second_copies"), True, "settings.limits.second_copies"),
    (("settings", "family"), "chain", "settings.limits.may_tell"),
    (("settings", "family"), "chain", "settings.extra.warm_keys"),
    (("settings", "limits", "may_tell"), False, "talk"),
    (("settings", "extra", "warm_keys"), False, "key_header"),
    (("settings", "layers"), ["a", "b"], "settings.layers"),
    (("settings", "group_size"), 3, "talk.peers"),
    (("settings", "me"), 2, "settings.me"),
    (("settings", "me"), 1, "talk.listen"),
    (("talk",), None, "talk"),
    (("key_header",), None, "key_header"),
]


@pytest.mark.parametrize(("path", "value", "key"), MIXES)
def test_a_mix_of_shapes_is_refused_at_a_start_and_names_its_key(
    path: tuple[str, ...], value: Any, key: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: Any
) -> None:
    found = beside_clients()
    checks.check(found)
    place: Any = found
    for name in path[:-1]:
        place = place[name]
    if value is None:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    assert any(error.startswith(f"{key}:") for error in checks.mixes(found))
    file = tmp_path / "told.json"
    file.write_text(json.dumps(found))
    monkeypatch.setenv("GW_CONFIG", str(file))
    monkeypatch.setattr("sys.argv", ["notchjunction"])
    assert main() == 2 and key in capfd.readouterr().err
    monkeypatch.setattr("sys.argv", ["notchjunction", "--check", str(file)])
    assert main() == 1


def test_without_any_of_the_new_settings_the_old_shape_is_in_force() -> None:
    found = configuration()
    checks.check(found)
    old = terms.terms(7, terms.flatten(found["settings"]))
    assert (old.beside_clients, old.may_tell, old.warm_keys, old.overage) == (False, False, False, 1.0)
    new = terms.terms(7, terms.flatten(beside_clients()["settings"]))
    assert (new.beside_clients, new.may_tell, new.warm_keys, new.overage) == (True, True, True, 0.1)


def test_at_sighup_the_shape_stays_and_all_settings_with_it(tmp_path: Path) -> None:
    async def story() -> None:
        file, found = tmp_path / "told.json", beside_clients()
        settings = terms.terms(7, terms.flatten(found["settings"]))
        async with Peer() as server, running(server, file=file) as (node, _):
            node._told = replace(node._told, terms=settings, told=copy.deepcopy(found))
            found["settings"].update(family="chain", extra={"warm_keys": False})
            found["settings"]["limits"].update(may_tell=False, max_dispatches=2)
            del found["talk"], found["key_header"]
            file.write_text(json.dumps(found))
            node.read_again()
            assert node.counters.read()["reloads_failed"] == 1
            assert node._told.terms.max_dispatches == 5

    run(story())


def test_a_jobs_key_comes_by_its_header_and_counts_up_to_a_bound() -> None:
    async def story() -> None:
        async with Peer() as server, running(server, warm_keys=True) as (node, address):
            node._told = replace(node._told, key_header="seat")
            asked: list[Ask] = []
            node._decider.take = lambda ask, take=node._decider.take: (asked.append(ask), take(ask))[1]  # type: ignore
            client = await Client().open(address)
            client.ask(extra=f"Seat: {'7' * 500}\r\n")
            assert (await client.answer()).status == 200 and asked[0].key == "7" * 128

    run(story())


def test_two_nodes_talk_by_datagrams_and_pass_over_foreign_oversized_garbled_and_gone() -> None:
    async def story() -> None:
        addresses = [free_address() for _ in range(3)]
        heard: list[tuple[int, bytes]] = []
        counters = [Counters(), Counters()]
        talks = [Talk(addresses[n], addresses, lambda *note: heard.append(note), counters[n]) for n in (0, 1)]
        for talk in talks:
            await talk.open()
        talks[0].tell(1, b"one")
        talks[0].tell(1, b"one")
        talks[0].tell(1, b"x" * (MOST + 1))
        talks[0].tell(2, b"to one that is gone")
        talks[0].tell(9, b"to none")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"one", addresses[1])
        async with asyncio.timeout(5):
            while len(heard) < 2 or len(counters[1].read()) < 3:
                await asyncio.sleep(0.005)
        assert heard == [(0, b"one"), (0, b"one")]
        assert {name: counters[1].read()[name] for name in ("notes_foreign", "notes_oversized")} == {
            "notes_foreign": 1,
            "notes_oversized": 1,
        }
        assert counters[0].read()["notes_unsent"] == 1
        for talk in talks:
            talk.close()
        talks[0].tell(1, b"after the close")
        assert counters[0].read()["notes_unsent"] == 2

    run(story())


def test_a_nodes_note_tells_another_of_a_failing_server_by_its_name() -> None:
    def decider(me: int, names: list[str]) -> Decider:
        told = replace(TERMS, seed=me, **{**BESIDE, "nodes": 2, "me": me})
        made = Decider(told, Names(["plain"], [], ["a"]), lambda: 1000.0, lambda _: None)
        made.report_list(News.WHOLE, [Listed(name, Presence.READY, zone="a", cell=0) for name in names])
        return made

    one, other = decider(0, ["s0", "s1", "s2"]), decider(1, ["s2", "s1", "s0", "s9"])
    for _ in range(12):
        ticket = one.take(Ask("plain", 2.0, Effect.REISSUABLE))
        if ticket.servers:
            bad = one._names[ticket.servers[0]] == "s1"
            one.report(ticket, 0, Ended(Result.RESET if bad else Result.HONOURED, 0.1))
    notes = [errand for errand in iter_errands(one) if isinstance(errand, Tell)]
    for note in notes:
        assert note.peer == 1
        other.hear(0, note.note)
    other.hear(0, b"garbage")
    ends = Counter((other._names[end.server.entry.server], end.good) for end in other._core._ends)  # type: ignore
    assert notes and sum(ends.values()) >= 12 and {name for name, good in ends if not good} <= {"s1"}
    assert other.notes_passed_over == 1


def iter_errands(decider: Decider) -> list[Any]:
    return [decider._errands.get_nowait() for _ in range(decider._errands.qsize())]


def test_a_node_beside_its_client_serves_and_tells_over_sockets() -> None:
    async def story() -> None:
        async with (
            Peer() as server,
            running(server, **{**BESIDE, "nodes": 2, "me": 0}) as (node, at),
        ):
            told: list[tuple[int, bytes]] = []

            class Ear:
                def tell(self, peer: int, note: bytes) -> None:
                    told.append((peer, note))

                def close(self) -> None:
                    pass

            node._talk = Ear()  # type: ignore[assignment]
            client = await Client().open(at)
            client.ask()
            assert (await client.answer()).status == 200
            async with asyncio.timeout(5):
                while not told:
                    await asyncio.sleep(0.005)
            assert told[0][0] == 1 and len(told[0][1]) <= MOST

    run(story())
