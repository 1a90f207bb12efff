"""Nodes that are one fleet: their file, their talk, the door before the decisions, and processes that part
and heal.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from notchjunction.addresses import text_of
from notchjunction.balancing.interface import Idempotency, RequestClass
from notchjunction.config import validation
from notchjunction.emulator.checkers import limit_held
from notchjunction.emulator.scenario import Scenario, Stream
from notchjunction.emulator.trace import FinalResponse, RequestAnswered
from notchjunction.errors import FleetError
from notchjunction.fleet.agent import FleetAgent, read_section
from notchjunction.fleet.envelope import ForgedError, MalformedError
from notchjunction.fleet.quotas import quotas
from notchjunction.net import fleet_transport
from notchjunction.node.node import Node
from notchjunction.testbed.fleet_stage import (
    OBSERVATION_LAG_S,
    FleetPart,
    ProcessFault,
    ProcessKind,
    play_fleet,
)
from notchjunction.testbed.links import Kind, LinkFault
from tests.helpers import OK, Client, Peer, call, configuration, free_address, running
from tests.test_net import run

SECRET = "0f" * 16
LIMIT = {"name": "l", "revision": 1, "owners": {"n": 1}}


def section(**more: Any) -> dict[str, Any]:
    plain = {"listen": "127.0.0.1:7", "seeds": ["127.0.0.1:7"], "keys": [{"number": 1, "secret": SECRET}]}
    places = {"n": more.get("listen", plain["listen"])}
    return {**plain, "places": places, "limits": [LIMIT], **more}


# The file.


@pytest.mark.parametrize(
    ("more", "key"),
    [
        ({"keys": []}, "fleet.keys"),
        ({"keys": [{"number": 1, "secret": "short"}]}, "fleet.keys.0.secret"),
        ({"keys": [{"number": 1, "secret": SECRET}] * 2}, "fleet.keys"),
        ({"seeds": []}, "fleet.seeds"),
        ({"listen": 7}, "fleet.listen"),
        ({"clock_drift": 0.5}, "fleet.clock_drift"),
        ({"limits": [LIMIT, LIMIT]}, "fleet.limits"),
        ({"limits": [{**LIMIT, "owners": {"n": 0}}]}, "fleet.limits.0.owners"),
        ({"limits": [{**LIMIT, "profiles": ["other"]}]}, "fleet.limits.0.profiles"),
        ({"limits": [{**LIMIT, "before": {"revision": 1, "owners": {}}}]}, "fleet.limits.0.before.revision"),
        ({"places": {"n": "127.0.0.1:8"}}, "fleet.listen"),
        ({"places": {}}, "fleet.limits.0.owners"),
        ({"color": "blue"}, "fleet.color"),
    ],
)
def test_a_section_that_lacks_or_mixes_things_is_refused_by_its_key(
    more: Mapping[str, Any], key: str, tmp_path: Path
) -> None:
    found = {**configuration(), "fleet": section(**more)}
    with pytest.raises(validation.InvalidConfigurationError) as unfit:
        validation.validate(found)
    assert any(error.startswith(key) for error in unfit.value.errors), unfit.value.errors
    file = tmp_path / "told.json"
    file.write_text(json.dumps(found))
    asked = [sys.executable, "-m", "notchjunction"]
    ended = subprocess.run(asked, env={"GW_CONFIG": str(file)}, capture_output=True, text=True, timeout=20)
    assert ended.returncode == 2 and key in ended.stderr  # at a start too


def test_without_the_section_nothing_of_the_fleet_is_loaded() -> None:
    text = (
        "import sys, notchjunction.__main__; "
        "assert not [m for m in sys.modules if m.startswith(('notchjunction.fleet', 'msgspec'))]"
    )
    subprocess.run([sys.executable, "-c", text], check=True, timeout=20)


# The talk.


class Wire:
    """Members and the datagrams between them, in virtual time; `spoil` may change what is under way."""

    def __init__(self, count: int) -> None:
        names = [f"n{number}" for number in range(count)]
        self.spoil: Callable[[bytes], bytes] = lambda data: data
        self.refused: list[FleetError] = []
        self.now = 0.0
        self.members: dict[str, FleetAgent] = {}
        for number, name in enumerate(names):
            limit = {**LIMIT, "owners": dict.fromkeys(names, 2)}
            told = read_section(section(listen=name, seeds=["n0"], limits=[limit]))
            self.members[name] = FleetAgent(name, 5 + number, told, 1.0, number, 0.0)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.025
            ahead = [(name, each) for name in self.members for each in self.members[name].tick(self.now)]
            while ahead:
                source, (to, data) = ahead.pop(0)
                try:
                    answers = self.members[to].receive(self.now, self.spoil(data), source)
                except FleetError as error:
                    self.refused.append(error)
                    continue
                ahead += [(to, answer) for answer in answers]


def test_members_find_one_another_from_one_seed_and_lend_what_they_own() -> None:
    wire = Wire(3)
    wire.run(8.0)
    assert all(
        member.membership.live() == sorted({*wire.members} - {name}) for name, member in wire.members.items()
    )
    limits_of = wire.members["n2"].quotas
    assert [limits_of.acquire(wire.now, "l", wire.now + 1.0) is not None for _ in range(3)] == [
        True,
        True,
        False,
    ]
    for _ in range(4):
        for out in wire.members["n2"].pack(limits_of.set_waiting(wire.now, "l", 1)):
            for answer in wire.members[out.address].receive(wire.now, out.data, "n2"):
                wire.members[answer.address].receive(wire.now, answer.data, out.address)
        wire.run(0.05)
    assert limits_of.acquire(wire.now, "l", wire.now + 1.0) is not None
    figures = [member.quotas.stats(wire.now, "l") for member in wire.members.values()]
    assert sum(each.lent for each in figures) >= 1 and sum(each.in_use for each in figures) == 3


@pytest.mark.parametrize(
    ("spoil", "error"),
    [(lambda data: data[:-1] + bytes([data[-1] ^ 1]), ForgedError), (lambda data: data[:20], MalformedError)],
)
def test_what_is_not_under_seal_is_refused_with_what_to_do(
    spoil: Callable[[bytes], bytes], error: type[FleetError]
) -> None:
    wire = Wire(2)
    wire.spoil = spoil
    wire.run(3.0)
    assert wire.refused and all(type(each) is error and each.remedy for each in wire.refused)
    assert not any(member.membership.live() for member in wire.members.values())


# The door before the decisions.


def test_a_job_past_the_limit_is_turned_back_at_once_and_a_right_comes_back_with_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(quotas, "LEASE_TERM_FACTOR", 0.01)

    async def story() -> None:
        fleet = section(listen=text_of(free_address()))
        slow = Peer((b"", "hold"))
        mgmt = free_address()
        async with slow, running(slow, mgmt=mgmt, fleet=fleet, retry_after_max=5.0) as (node, address):
            await settled(node)
            first, second = await Client().open(address), await Client().open(address)
            first.ask()
            await slow.asked.wait()
            began = asyncio.get_running_loop().time()
            second.ask()
            refused = await second.answer()
            assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
            assert asyncio.get_running_loop().time() - began < 1.0
            slow.go_on.set()
            assert (await first.answer()).status == 200
            slow.reply = OK
            second.ask()
            assert (await second.answer()).status == 200
            assert node.counters.read()["fleet_requests_rejected"] == 1
            assert await call(mgmt, "GET", "/control/fleet") == 200

    run(story())


async def settled(node: Node) -> None:
    while not all(limit["settled"] for limit in (node.fleet_figures() or {})["limits"].values()):
        await asyncio.sleep(0.01)


def test_a_job_that_ends_unanswered_keeps_its_right_until_its_time_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(quotas, "LEASE_TERM_FACTOR", 0.01)

    async def story() -> None:
        fleet = section(listen=text_of(free_address()))
        async with Peer((b"", "hold")) as slow, running(slow, fleet=fleet) as (node, address):
            await settled(node)
            gone, next_one = await Client().open(address), await Client().open(address)
            gone.ask(left="400")
            await slow.asked.wait()
            gone.writer.close()
            while not node.counters.read().get(
                "requests_cancelled"
            ):  # the node has let go; its server may work on
                await asyncio.sleep(0.005)
            slow.reply = OK
            next_one.ask()
            assert (await next_one.answer()).status == 503
            await asyncio.sleep(0.8)
            next_one.ask()
            assert (await next_one.answer()).status == 200

    run(story())


def test_a_job_that_waits_under_a_limit_that_goes_is_sent_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quotas, "LEASE_TERM_FACTOR", 0.01)
    monkeypatch.setattr(fleet_transport, "REQUEST_TIMEOUT_S", 5.0)
    monkeypatch.setattr(fleet_transport, "WAIT_SHARE", 1.0)

    async def story() -> None:
        fleet = section(listen=text_of(free_address()))
        file = tmp_path / "told.json"
        told = {**configuration(), "fleet": fleet}
        slow = Peer((b"", "hold"))
        async with slow, running(slow, fleet=fleet, told=told, file=file) as (node, address):
            await settled(node)
            first, second = await Client().open(address), await Client().open(address)
            first.ask()
            await slow.asked.wait()
            slow.reply = OK
            second.ask()
            while not node.counters.read()["fleet_requests_waiting"]:
                await asyncio.sleep(0.005)
            file.write_text(json.dumps({**told, "fleet": {**fleet, "limits": []}}))
            node.reload()
            assert (await second.answer()).status == 200
            slow.go_on.set()
            assert (await first.answer()).status == 200

    run(story())


def test_two_processes_of_one_name_never_own_its_rights_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quotas, "LEASE_TERM_FACTOR", 0.05)

    def owned(node: Node) -> int:
        return int((node.fleet_figures() or {})["limits"]["l"]["owned"])

    async def story() -> None:
        fleet = section(listen=text_of(free_address()))
        async with Peer() as peer, AsyncExitStack() as before, AsyncExitStack() as after:
            first, _ = await before.enter_async_context(running(peer, fleet=fleet))
            await settled(first)
            second, address = await after.enter_async_context(running(peer, fleet=fleet))
            client = await Client().open(address)
            for _ in range(10):
                await asyncio.sleep(0.05)
                assert (owned(first), owned(second)) == (1, 0)
                client.ask()
                assert (await client.answer()).status == 503
            await before.aclose()
            await settled(second)
            client.ask()
            assert (owned(second), (await client.answer()).status) == (1, 200)

    run(story())


@pytest.mark.parametrize(
    ("changed", "taken"),
    [
        ({"limits": [{**LIMIT, "owners": {"n": 3}}]}, False),
        ({"limits": [{**LIMIT, "revision": 2, "owners": {"n": 3}}]}, False),
        (
            {
                "limits": [
                    {
                        **LIMIT,
                        "revision": 2,
                        "owners": {"n": 3},
                        "before": {"revision": 1, "owners": {"n": 1}},
                    }
                ]
            },
            True,
        ),
        ({"keys": [{"number": 2, "secret": SECRET}, {"number": 1, "secret": SECRET}]}, True),
        ({"seeds": ["127.0.0.1:9"]}, False),
    ],
)
def test_limits_and_keys_change_at_sighup_whole_or_not_at_all(
    changed: Mapping[str, Any], taken: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quotas, "LEASE_TERM_FACTOR", 0.01)

    async def story() -> None:
        fleet = section(listen=text_of(free_address()))
        file = tmp_path / "told.json"
        told = {**configuration(), "fleet": fleet}
        async with Peer() as peer, running(peer, fleet=fleet, told=told, file=file) as (node, _):
            await settled(node)
            file.write_text(json.dumps({**told, "fleet": {**fleet, **changed}}))
            node.reload()
            assert node.counters.read().get("reloads_failed", 0) == (not taken)
            await settled(node)
            wanted = {**fleet, **changed}["limits"][0]["owners"]["n"]
            assert (node.fleet_figures() or {})["limits"]["l"]["owned"] == (wanted if taken else 1)

    run(story())


# Processes.

CUT = (("n0", "n1", "n2"), ("n3", "n4"))
PARTS = {
    "a fleet of two cut in half": FleetPart(
        (2, 2), links=(LinkFault(Kind.CUT, 0.5, 3.0, sides=(("n0",), ("n1",))),)
    ),
    "five part in a loss of a tenth, one sleeps past its leases, one is killed": FleetPart(
        (2, 2, 2, 0, 2),
        drift=0.02,
        rates=(1.0, 1.02, 0.98, 1.0, 1.0),
        links=(LinkFault(Kind.LOSE, 0.0, size=0.1), LinkFault(Kind.CUT, 1.0, 3.0, sides=CUT)),
        processes=(ProcessFault(ProcessKind.PAUSE, 4, 2.0, 5.5), ProcessFault(ProcessKind.KILL, 1, 3.5, 3.7)),
    ),
}


@pytest.mark.parametrize("name", PARTS)
def test_processes_that_part_and_heal_never_have_more_out_than_the_limit(name: str, tmp_path: Path) -> None:
    part = PARTS[name]
    nodes = len(part.owners)
    profile = RequestClass(0.5, 1.0, 1.0, 0.0, Idempotency.IDEMPOTENT)
    scenario = Scenario(
        name,
        nodes=nodes,
        servers=4,
        workers=4,
        queue_most=60,
        length=2.5 + 1.5 * nodes / 2,
        profiles=(profile,),
        streams=(Stream(0, 20.0 * part.total_permits, work=0.1),),
        client_tries=1,
    )
    stage, story = asyncio.run(asyncio.wait_for(play_fleet(scenario, part, tmp_path), 120))
    assert list(limit_held(story.rows, part.total_permits, OBSERVATION_LAG_S)) == []
    finals = [row.final for row in story.rows if isinstance(row, RequestAnswered)]
    assert finals.count(FinalResponse.SUCCEEDED) > 10 and FinalResponse.REJECTED in finals
    assert not any(counters.get("fleet_datagrams_rejected_forged") for counters in stage.counters)
