"""New settings while the node serves: what is taken, what is not, and what a job keeps."""

from __future__ import annotations

import copy
import json
import logging
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from notchjunction.__main__ import main
from notchjunction.balancing.engine import FailRequest, RejectRequest, SendAttempt, SettingNames
from notchjunction.balancing.interface import AttemptResult, Idempotency
from notchjunction.config import validation
from tests.helpers import (
    PLAIN,
    SETTINGS,
    SILENT,
    Client,
    FakeHost,
    Peer,
    configuration,
    make_request_class,
    running,
)
from tests.test_engine import IDEMPOTENT, KEYED, NON_IDEMPOTENT, EngineHarness
from tests.test_net import run

Change = Callable[[dict[str, Any]], None]


def first(told: dict[str, Any]) -> dict[str, Any]:
    found: dict[str, Any] = told["settings"]["profiles"][0]
    return found


def setting(name: str, value: object) -> Change:
    return lambda told: first(told).__setitem__(name, value)


def without(*path: Any) -> Change:
    def change(told: dict[str, Any]) -> None:
        *stems, last = path
        for stem in stems:
            told = told[stem]
        del told[last]

    return change


BROKEN: list[tuple[Change, str]] = [
    (setting("abandon_time", -5), "settings.profiles.0.abandon_time"),
    (setting("abandon_time", 0), "settings.profiles.0.abandon_time"),
    (setting("abandon_time", "soon"), "settings.profiles.0.abandon_time"),
    (setting("abandon_time", True), "settings.profiles.0.abandon_time"),
    (setting("contract_time", float("nan")), "settings.profiles.0.contract_time"),
    (setting("contract_time", float("inf")), "settings.profiles.0.contract_time"),
    (setting("effect", "perhaps"), "settings.profiles.0.effect"),
    (setting("dedup_scope", "town"), "settings.profiles.0.dedup_scope"),
    (setting("window", -1), "settings.profiles.0.window"),
    (setting("name", ""), "settings.profiles.0.name"),
    (lambda told: told["settings"]["limits"].update(max_dispatches=0), "settings.limits.max_dispatches"),
    (lambda told: told["settings"]["limits"].update(max_dispatches=1.5), "settings.limits.max_dispatches"),
    (lambda told: told["settings"]["limits"].update(cancel="yes"), "settings.limits.cancel"),
    (lambda told: told["settings"].update(profiles=[]), "settings.profiles"),
    (lambda told: told["settings"].update(profiles={"name": "plain"}), "settings.profiles"),
    (lambda told: told["settings"]["profiles"].append(dict(first(told))), "settings.profiles"),
    (lambda told: told.update(discovery="nowhere"), "discovery"),
    (lambda told: told.update(discovery="h:70000"), "discovery"),
    (lambda told: told.update(settings=None), "settings"),
    (lambda told: told.update(limits={"sockets": 0}), "limits.sockets"),
    (lambda told: told.update(limits={"sockets": "many"}), "limits.sockets"),
    (lambda told: told.update(limits=None), "limits"),
    (lambda told: told.update(seed="seven"), "seed"),
    (without("settings"), "settings"),
    (without("discovery"), "discovery"),
    (without("settings", "profiles"), "settings.profiles"),
    (without("settings", "limits"), "settings.limits"),
    (without("settings", "limits", "max_dispatches"), "settings.limits.max_dispatches"),
    (without("settings", "limits", "cancel"), "settings.limits.cancel"),
    (without("settings", "localities"), "settings.localities"),
    (without("settings", "profiles", 0, "effect"), "settings.profiles.0.effect"),
    (without("settings", "profiles", 0, "tardy_revenue"), "settings.profiles.0.tardy_revenue"),
]


@pytest.mark.parametrize(("change", "place"), BROKEN)
def test_a_broken_configuration_is_refused_with_the_place(change: Change, place: str) -> None:
    before = configuration()
    found = copy.deepcopy(before)
    change(found)
    with pytest.raises(validation.InvalidConfigurationError) as refused:
        validation.validate(found, before)
    assert [error.partition(":")[0] for error in refused.value.errors] == [place]


def test_all_errors_are_named_at_once_and_a_sound_file_has_none() -> None:
    before = configuration()
    validation.validate(before, before)
    found = copy.deepcopy(before)
    for change, _ in BROKEN[:1] + BROKEN[6:7] + BROKEN[10:11] + BROKEN[16:17]:
        change(found)
    with pytest.raises(validation.InvalidConfigurationError) as refused:
        validation.validate(found, before)
    assert len(refused.value.errors) == 4
    more = copy.deepcopy(before)
    more["settings"]["profiles"].append({**first(more), "name": "new", "effect": "once", "window": 5})
    more["settings"]["limits"]["max_dispatches"] = 1
    validation.validate(more, before)


@pytest.mark.parametrize("text", ["", " \n", "[]", "7", "[" * 100000, '{"a": }'])
def test_what_is_no_object_is_refused(text: str) -> None:
    with pytest.raises(validation.InvalidConfigurationError):
        validation.parse(text)


def test_a_file_cut_anywhere_is_refused() -> None:
    text = json.dumps(configuration())
    for end in range(len(text)):
        with pytest.raises(validation.InvalidConfigurationError):
            validation.validate(validation.parse(text[:end]), configuration())


def retune(story: EngineHarness, attempts: int = 5, **profiles: Any) -> None:
    terms = replace(SETTINGS, request_classes=list(profiles.values()), max_attempts=attempts)
    story.engine.apply_settings(terms, SettingNames(list(profiles), [], ["a"]))


@pytest.mark.parametrize(
    ("after", "order"), [(NON_IDEMPOTENT, RejectRequest), (None, RejectRequest), (IDEMPOTENT, RejectRequest)]
)
def test_a_job_keeps_the_profile_it_was_taken_with(after: Idempotency | None, order: type) -> None:
    story = EngineHarness(replace(SETTINGS, request_classes=[make_request_class(IDEMPOTENT)]))
    ticket = story.submit(IDEMPOTENT)
    story.commands(ticket)
    if after is None:
        retune(story, other=PLAIN)
    else:
        retune(story, plain=make_request_class(after))
    story.end_attempt(ticket, AttemptResult.UNKNOWN)  # may have run, and not its server's fault
    (final,) = story.commands(ticket)
    assert isinstance(final, order)  # a repeat was harmless when it was taken


def test_a_stricter_profile_holds_for_what_comes_from_now_on() -> None:
    story = EngineHarness(replace(SETTINGS, request_classes=[make_request_class(IDEMPOTENT)]))
    retune(story, plain=make_request_class(NON_IDEMPOTENT))
    for effect in (IDEMPOTENT, KEYED, NON_IDEMPOTENT):
        ticket = story.submit(effect)
        story.commands(ticket)
        story.end_attempt(ticket, AttemptResult.UNKNOWN)
        (final,) = story.commands(ticket)
        assert isinstance(final, FailRequest), effect


def test_a_profile_that_stays_keeps_its_number_and_what_was_learned_of_it() -> None:
    story = EngineHarness()
    for _ in range(8):
        ticket = story.submit()
        story.commands(ticket)
        story.end_attempt(ticket, AttemptResult.SUCCEEDED)
    retune(story, new=make_request_class(NON_IDEMPOTENT), plain=PLAIN)
    kinds = story.engine._request_classes
    core: Any = story.engine._balancer
    assert (
        len(core._recent_latencies[kinds["plain"].number]) == 8
        and not core._recent_latencies[kinds["new"].number]
    )
    for _ in range(50):
        retune(story, plain=make_request_class(NON_IDEMPOTENT))
        retune(story, plain=PLAIN)
    assert (
        len(core._recent_latencies) == len(core._recent_times_left) == len(core._request_classes) == 2
    )  # nothing grows


@pytest.mark.parametrize(("before", "after", "most"), [(5, 2, 2), (2, 5, 2)])
def test_of_two_numbers_of_attempts_a_held_job_has_the_stricter(before: int, after: int, most: int) -> None:
    host = FakeHost(max_attempts=before)
    host.serve_requests(100)
    job = host.submit()
    host.balancer.settings_changed(replace(SETTINGS, max_attempts=after), {0: PLAIN})
    for dispatch in range(most):
        host.end_attempt(job, AttemptResult.REJECTED, dispatch)
    assert len(host.sent_to(job)) == most and len(host.final_commands(job)) == 1


def test_settings_are_taken_at_once_and_broken_ones_leave_all_as_it_was(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    file = tmp_path / "told.json"

    async def story() -> None:
        async with (
            Peer() as peer,
            Peer(SILENT) as place,
            running(peer, discovery=place, file=file) as (node, at),
        ):
            client = await Client().open(at)

            async def status(kind: str) -> int:
                client.job_id += 1
                client.send(
                    f"GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: {client.job_id}\r\nReq-Kind: {kind}\r\n"
                    "Req-Deadline-Ms: 900\r\n\r\n".encode()
                )
                return (await client.answer()).status

            def write(*names: str, **changes: Any) -> None:
                told = configuration(place.at)
                told["settings"]["profiles"] = [{**first(told), "name": name, **changes} for name in names]
                file.write_text(json.dumps(told))
                node.read_again()

            assert await status("plain") == 200
            write("plain", "new")
            assert [await status("plain"), await status("new")] == [200, 200]
            write("elsewhere", abandon_time=0)
            told = configuration("127.0.0.1:3")
            told["settings"]["limits"]["max_dispatches"] = -1
            file.write_text(json.dumps(told))
            node.read_again()
            assert [await status("plain"), await status("new")] == [200, 200]
            assert node._told.discovery == place.address and node._told.balancer.max_attempts == 5
            write("new")
            assert await status("new") == 200
            assert await status("plain") == 400
            figures = node.counters.read()
            assert (figures["reloads"], figures["reloads_failed"]) == (2, 2)

    run(story())
    said = [
        record.__dict__["pairs"]
        for record in caplog.records
        if "configuration invalid" in record.getMessage()
    ]
    assert [each["why"].partition(":")[0] for each in said] == [
        "settings.profiles.0.abandon_time",
        "settings.limits.max_dispatches",
    ]


def test_a_job_of_a_profile_that_vanished_is_answered(tmp_path: Path) -> None:
    file = tmp_path / "told.json"

    async def story() -> None:
        async with Peer(SILENT) as peer, running(peer, file=file) as (node, at):
            client = await Client().open(at)
            client.ask()
            await peer.asked.wait()
            told = configuration()
            first(told)["name"] = "new"
            file.write_text(json.dumps(told))
            node.read_again()
            assert node.counters.read()["reloads"] == 1
            peer.go_on.set()
            assert (await client.answer()).status == 200
            assert node.counters.read()["requests_tracked"] == 0

    run(story())


def test_servers_zones_keep_their_numbers_when_the_list_of_zones_changes() -> None:
    story = EngineHarness(replace(SETTINGS, zone=0))
    retuned = replace(SETTINGS, zone=1)
    story.engine.apply_settings(retuned, SettingNames(["plain"], [], ["b", "a"]))
    core: Any = story.engine._balancer
    assert core._settings.zone == 0
    ticket = story.submit()
    assert isinstance(story.commands(ticket)[0], SendAttempt)


def test_a_file_can_be_checked_before_it_is_put_in_place(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "told.json"
    monkeypatch.setattr("sys.argv", ["notchjunction", "--check", str(file)])
    assert main() == 1 and "No such file" in capsys.readouterr().out
    told = configuration()
    file.write_text(json.dumps(told))
    assert main() == 0 and capsys.readouterr().out == f"{file}: sound\n"
    first(told)["abandon_time"] = 0
    del told["settings"]["limits"]["max_dispatches"]
    file.write_text(json.dumps(told))
    assert main() == 1
    assert [line.split(": ")[1] for line in capsys.readouterr().out.splitlines()] == [
        "settings.limits.max_dispatches",
        "settings.profiles.0.abandon_time",
    ]
