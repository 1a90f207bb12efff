"""Reloading the configuration while the node serves: what it accepts and rejects, and what requests keep."""

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


def first_request_class(config: dict[str, Any]) -> dict[str, Any]:
    """Returns the first request class of a configuration."""
    request_class: dict[str, Any] = config["settings"]["profiles"][0]
    return request_class


def set_in_class(name: str, value: object) -> Change:
    return lambda config: first_request_class(config).__setitem__(name, value)


def remove(*path: Any) -> Change:
    def change(config: dict[str, Any]) -> None:
        *sections, key = path
        for section in sections:
            config = config[section]
        del config[key]

    return change


INVALID: list[tuple[Change, str]] = [
    (set_in_class("abandon_time", -5), "settings.profiles.0.abandon_time"),
    (set_in_class("abandon_time", 0), "settings.profiles.0.abandon_time"),
    (set_in_class("abandon_time", "soon"), "settings.profiles.0.abandon_time"),
    (set_in_class("abandon_time", True), "settings.profiles.0.abandon_time"),
    (set_in_class("contract_time", float("nan")), "settings.profiles.0.contract_time"),
    (set_in_class("contract_time", float("inf")), "settings.profiles.0.contract_time"),
    (set_in_class("effect", "perhaps"), "settings.profiles.0.effect"),
    (set_in_class("dedup_scope", "town"), "settings.profiles.0.dedup_scope"),
    (set_in_class("window", -1), "settings.profiles.0.window"),
    (set_in_class("name", ""), "settings.profiles.0.name"),
    (lambda config: config["settings"]["limits"].update(max_dispatches=0), "settings.limits.max_dispatches"),
    (
        lambda config: config["settings"]["limits"].update(max_dispatches=1.5),
        "settings.limits.max_dispatches",
    ),
    (lambda config: config["settings"]["limits"].update(cancel="yes"), "settings.limits.cancel"),
    (lambda config: config["settings"].update(profiles=[]), "settings.profiles"),
    (lambda config: config["settings"].update(profiles={"name": "plain"}), "settings.profiles"),
    (
        lambda config: config["settings"]["profiles"].append(dict(first_request_class(config))),
        "settings.profiles",
    ),
    (lambda config: config.update(discovery="nowhere"), "discovery"),
    (lambda config: config.update(discovery="h:70000"), "discovery"),
    (lambda config: config.update(settings=None), "settings"),
    (lambda config: config.update(limits={"sockets": 0}), "limits.sockets"),
    (lambda config: config.update(limits={"sockets": "many"}), "limits.sockets"),
    (lambda config: config.update(limits=None), "limits"),
    (lambda config: config.update(seed="seven"), "seed"),
    (remove("settings"), "settings"),
    (remove("discovery"), "discovery"),
    (remove("settings", "profiles"), "settings.profiles"),
    (remove("settings", "limits"), "settings.limits"),
    (remove("settings", "limits", "max_dispatches"), "settings.limits.max_dispatches"),
    (remove("settings", "limits", "cancel"), "settings.limits.cancel"),
    (remove("settings", "localities"), "settings.localities"),
    (remove("settings", "profiles", 0, "effect"), "settings.profiles.0.effect"),
    (remove("settings", "profiles", 0, "tardy_revenue"), "settings.profiles.0.tardy_revenue"),
]


@pytest.mark.parametrize(("change", "path"), INVALID)
def test_invalid_configuration_is_rejected_with_the_path_of_the_error(change: Change, path: str) -> None:
    current = configuration()
    changed = copy.deepcopy(current)
    change(changed)
    with pytest.raises(validation.InvalidConfigurationError) as raised:
        validation.validate(changed, current)
    assert [error.partition(":")[0] for error in raised.value.errors] == [path]


def test_all_errors_are_reported_at_once_and_a_valid_file_has_none() -> None:
    current = configuration()
    validation.validate(current, current)
    changed = copy.deepcopy(current)
    for change, _ in INVALID[:1] + INVALID[6:7] + INVALID[10:11] + INVALID[16:17]:
        change(changed)
    with pytest.raises(validation.InvalidConfigurationError) as raised:
        validation.validate(changed, current)
    assert len(raised.value.errors) == 4
    valid = copy.deepcopy(current)
    valid["settings"]["profiles"].append(
        {**first_request_class(valid), "name": "new", "effect": "once", "window": 5}
    )
    valid["settings"]["limits"]["max_dispatches"] = 1
    validation.validate(valid, current)


@pytest.mark.parametrize("text", ["", " \n", "[]", "7", "[" * 100000, '{"a": }'])
def test_text_that_is_no_json_object_is_rejected(text: str) -> None:
    with pytest.raises(validation.InvalidConfigurationError):
        validation.parse(text)


def test_truncated_file_is_rejected() -> None:
    text = json.dumps(configuration())
    for end in range(len(text)):
        with pytest.raises(validation.InvalidConfigurationError):
            validation.validate(validation.parse(text[:end]), configuration())


def apply_classes(harness: EngineHarness, attempts: int = 5, **request_classes: Any) -> None:
    settings = replace(SETTINGS, request_classes=list(request_classes.values()), max_attempts=attempts)
    harness.engine.apply_settings(settings, SettingNames(list(request_classes), [], ["a"]))


@pytest.mark.parametrize(
    ("after", "command"),
    [(NON_IDEMPOTENT, RejectRequest), (None, RejectRequest), (IDEMPOTENT, RejectRequest)],
)
def test_request_keeps_the_class_that_it_was_accepted_with(after: Idempotency | None, command: type) -> None:
    harness = EngineHarness(replace(SETTINGS, request_classes=[make_request_class(IDEMPOTENT)]))
    ticket = harness.submit(IDEMPOTENT)
    harness.commands(ticket)
    if after is None:
        apply_classes(harness, other=PLAIN)
    else:
        apply_classes(harness, plain=make_request_class(after))
    harness.end_attempt(ticket, AttemptResult.UNKNOWN)  # may have been executed; the server is not to blame
    (final,) = harness.commands(ticket)
    assert isinstance(final, command)  # it was idempotent when it was accepted


def test_stricter_class_applies_to_requests_accepted_from_now_on() -> None:
    harness = EngineHarness(replace(SETTINGS, request_classes=[make_request_class(IDEMPOTENT)]))
    apply_classes(harness, plain=make_request_class(NON_IDEMPOTENT))
    for idempotency in (IDEMPOTENT, KEYED, NON_IDEMPOTENT):
        ticket = harness.submit(idempotency)
        harness.commands(ticket)
        harness.end_attempt(ticket, AttemptResult.UNKNOWN)
        (final,) = harness.commands(ticket)
        assert isinstance(final, FailRequest), idempotency


def test_class_that_remains_keeps_its_number_and_its_learned_state() -> None:
    harness = EngineHarness()
    for _ in range(8):
        ticket = harness.submit()
        harness.commands(ticket)
        harness.end_attempt(ticket, AttemptResult.SUCCEEDED)
    apply_classes(harness, new=make_request_class(NON_IDEMPOTENT), plain=PLAIN)
    request_classes = harness.engine._request_classes
    balancer: Any = harness.engine._balancer
    assert (
        len(balancer._recent_latencies[request_classes["plain"].number]) == 8
        and not balancer._recent_latencies[request_classes["new"].number]
    )
    for _ in range(50):
        apply_classes(harness, plain=make_request_class(NON_IDEMPOTENT))
        apply_classes(harness, plain=PLAIN)
    assert (
        len(balancer._recent_latencies)
        == len(balancer._recent_times_left)
        == len(balancer._request_classes)
        == 2
    )  # no entries accumulate


@pytest.mark.parametrize(("before", "after", "max_attempts"), [(5, 2, 2), (2, 5, 2)])
def test_pending_request_gets_the_lower_of_two_attempt_limits(
    before: int, after: int, max_attempts: int
) -> None:
    host = FakeHost(max_attempts=before)
    host.serve_requests(100)
    request = host.submit()
    host.balancer.settings_changed(replace(SETTINGS, max_attempts=after), {0: PLAIN})
    for attempt in range(max_attempts):
        host.end_attempt(request, AttemptResult.REJECTED, attempt)
    assert len(host.sent_to(request)) == max_attempts and len(host.final_commands(request)) == 1


def test_valid_settings_apply_at_once_and_invalid_ones_change_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    file = tmp_path / "config.json"

    async def scenario() -> None:
        async with (
            Peer() as peer,
            Peer(SILENT) as discovery,
            running(peer, discovery=discovery, file=file) as (node, listen),
        ):
            client = await Client().open(listen)

            async def status(class_name: str) -> int:
                client.job_id += 1
                client.send(
                    f"GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: {client.job_id}\r\nReq-Kind: {class_name}\r\n"
                    "Req-Deadline-Ms: 900\r\n\r\n".encode()
                )
                return (await client.answer()).status

            def write(*names: str, **changes: Any) -> None:
                config = configuration(discovery.at)
                config["settings"]["profiles"] = [
                    {**first_request_class(config), "name": name, **changes} for name in names
                ]
                file.write_text(json.dumps(config))
                node.reload()

            assert await status("plain") == 200
            write("plain", "new")
            assert [await status("plain"), await status("new")] == [200, 200]
            write("elsewhere", abandon_time=0)
            config = configuration("127.0.0.1:3")
            config["settings"]["limits"]["max_dispatches"] = -1
            file.write_text(json.dumps(config))
            node.reload()
            assert [await status("plain"), await status("new")] == [200, 200]
            assert node._config.discovery == discovery.address and node._config.balancer.max_attempts == 5
            write("new")
            assert await status("new") == 200
            assert await status("plain") == 400
            counters = node.counters.read()
            assert (counters["reloads"], counters["reloads_failed"]) == (2, 2)

    run(scenario())
    logged = [
        record.__dict__["pairs"]
        for record in caplog.records
        if "configuration invalid" in record.getMessage()
    ]
    assert [pairs["why"].partition(":")[0] for pairs in logged] == [
        "settings.profiles.0.abandon_time",
        "settings.limits.max_dispatches",
    ]


def test_request_of_a_removed_class_is_answered(tmp_path: Path) -> None:
    file = tmp_path / "config.json"

    async def scenario() -> None:
        async with Peer(SILENT) as peer, running(peer, file=file) as (node, listen):
            client = await Client().open(listen)
            client.ask()
            await peer.asked.wait()
            config = configuration()
            first_request_class(config)["name"] = "new"
            file.write_text(json.dumps(config))
            node.reload()
            assert node.counters.read()["reloads"] == 1
            peer.go_on.set()
            assert (await client.answer()).status == 200
            assert node.counters.read()["requests_tracked"] == 0

    run(scenario())


def test_zones_keep_their_numbers_when_the_list_of_zones_changes() -> None:
    harness = EngineHarness(replace(SETTINGS, zone=0))
    changed = replace(SETTINGS, zone=1)
    harness.engine.apply_settings(changed, SettingNames(["plain"], [], ["b", "a"]))
    balancer: Any = harness.engine._balancer
    assert balancer._settings.zone == 0
    ticket = harness.submit()
    assert isinstance(harness.commands(ticket)[0], SendAttempt)


def test_file_can_be_checked_before_it_is_deployed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "config.json"
    monkeypatch.setattr("sys.argv", ["notchjunction", "--check", str(file)])
    assert main() == 1 and "No such file" in capsys.readouterr().out
    config = configuration()
    file.write_text(json.dumps(config))
    assert main() == 0 and capsys.readouterr().out == f"{file}: sound\n"
    first_request_class(config)["abandon_time"] = 0
    del config["settings"]["limits"]["max_dispatches"]
    file.write_text(json.dumps(config))
    assert main() == 1
    assert [line.split(": ")[1] for line in capsys.readouterr().out.splitlines()] == [
        "settings.limits.max_dispatches",
        "settings.profiles.0.abandon_time",
    ]
