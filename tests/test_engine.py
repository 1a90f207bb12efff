"""Tests of the balancer engine on a fake clock: commands, outcomes and timers, without sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace

import pytest

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.engine import (
    BalancerEngine,
    CancelAttempt,
    DropRequest,
    ExchangeOutcome,
    FailRequest,
    ForwardResponse,
    PollList,
    RejectRequest,
    RequestCommand,
    RequestHandle,
    RequestSpec,
    SendAttempt,
    SettingNames,
)
from notchjunction.balancing.interface import (
    AttemptResult,
    BalancerSettings,
    DeduplicationScope,
    Idempotency,
    ListUpdate,
)
from notchjunction.config import settings
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint
from tests.helpers import PLAIN, SETTINGS, make_request_class

IDEMPOTENT, KEYED, NON_IDEMPOTENT = Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT


class EngineHarness:
    """Runs an engine with four endpoints on a fake clock."""

    def __init__(self, balancer_settings: BalancerSettings = SETTINGS, group: int | None = 0) -> None:
        self.clock = 1000.0
        self.wake_times: list[float] = []
        names = SettingNames(["plain"], [], ["a"])
        self.engine = BalancerEngine(balancer_settings, names, lambda: self.clock, self.wake_times.append)
        endpoints = [
            ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=group)
            for i in range(4)
        ]
        self.engine.apply_list_update(ListUpdate.SNAPSHOT, endpoints)

    def submit(self, idempotency: Idempotency = IDEMPOTENT, kind: str = "plain") -> RequestHandle:
        return self.engine.submit(RequestSpec(kind, 2.0, idempotency))

    def end_attempt(self, handle: RequestHandle, result: AttemptResult, attempt: int = 0) -> None:
        self.engine.report_attempt(handle, attempt, ExchangeOutcome(result, 0.1))

    def commands(self, handle: RequestHandle) -> list[RequestCommand]:
        async def queued() -> list[RequestCommand]:
            return [await self.engine.next_command(handle) for _ in range(handle.commands.qsize())]

        return asyncio.run(queued())


@pytest.mark.parametrize("snapshot", [True, False])
def test_memory_does_not_grow_with_removed_endpoints_and_ended_requests(snapshot: bool) -> None:
    harness = EngineHarness()

    def sizes() -> list[int]:
        balancer = harness.engine._balancer
        assert isinstance(balancer, Balancer)
        components = (
            balancer._tenant_quotas,
            balancer._retry_budget,
            balancer._connections,
            balancer._ejection,
        )
        owners = (harness.engine, balancer, *components)
        attributes = [value for owner in owners for value in vars(owner).values()]
        collections = [value for value in attributes if isinstance(value, dict | list | set)]
        return [len(value) for value in collections if value is not harness.engine._zones]

    def add_and_remove_endpoints(count: int) -> None:
        for i in range(count):
            added = [
                ListedEndpoint(f"n{harness.clock}-{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0)
                for _ in range(1)
            ]
            harness.engine.apply_list_update(ListUpdate.SNAPSHOT if snapshot else ListUpdate.CHANGES, added)
            harness.end_attempt(handle := harness.submit(), AttemptResult.SUCCEEDED)
            harness.engine.report_probe(added[0].name, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
            removed = [replace(added[0], state=EndpointState.REMOVED)]
            harness.engine.apply_list_update(
                ListUpdate.SNAPSHOT if snapshot else ListUpdate.CHANGES, [] if snapshot else removed
            )
            harness.engine.report_probe(added[0].name, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
            assert handle.ended
            harness.clock += 0.5
            harness.engine.run_due_timers()

    add_and_remove_endpoints(100)
    sizes_before = sizes()
    add_and_remove_endpoints(2000)
    assert all(
        size_after <= size_before + 8 for size_before, size_after in zip(sizes_before, sizes(), strict=True)
    )


def fill_retry_budget(harness: EngineHarness, count: int = 10) -> None:
    """Let enough requests succeed that the retry budget allows a retry."""
    for _ in range(count):
        harness.end_attempt(harness.submit(), AttemptResult.SUCCEEDED)


def test_a_request_is_sent_its_response_forwarded_and_its_state_dropped() -> None:
    harness = EngineHarness()
    handle = harness.submit()
    assert isinstance(harness.commands(handle)[0], SendAttempt) and harness.engine.in_flight == 1
    harness.end_attempt(handle, AttemptResult.SUCCEEDED)
    assert harness.commands(handle) == [ForwardResponse(0)]
    assert harness.engine.in_flight == harness.engine.tracked == 0


def test_a_refused_connection_is_retried_at_another_endpoint() -> None:
    harness = EngineHarness()
    fill_retry_budget(harness)
    handle = harness.submit()
    harness.end_attempt(handle, AttemptResult.NO_CONNECTION)
    commands = harness.commands(handle)
    assert [command.attempt for command in commands if isinstance(command, SendAttempt)] == [0, 1]
    assert len({command.endpoint for command in commands if isinstance(command, SendAttempt)}) == 2


def test_a_cancelled_request_cancels_its_attempt_and_is_tracked_until_the_outcome() -> None:
    harness = EngineHarness()
    handle = harness.submit()
    harness.engine.cancel(handle)
    harness.engine.cancel(handle)
    assert harness.commands(handle)[1:] == [CancelAttempt(0), DropRequest()]
    assert (harness.engine.in_flight, harness.engine.tracked) == (0, 1)
    harness.end_attempt(handle, AttemptResult.SUCCEEDED)
    assert harness.commands(handle) == [] and harness.engine.tracked == 0


@pytest.mark.parametrize(
    ("idempotency", "kind", "class_idempotency", "final_command"),
    [
        (IDEMPOTENT, "plain", IDEMPOTENT, RejectRequest),
        (KEYED, "plain", KEYED, RejectRequest),
        (NON_IDEMPOTENT, "plain", NON_IDEMPOTENT, FailRequest),
        (NON_IDEMPOTENT, "plain", IDEMPOTENT, FailRequest),
        (KEYED, "plain", IDEMPOTENT, FailRequest),
        (IDEMPOTENT, "plain", NON_IDEMPOTENT, FailRequest),
        (IDEMPOTENT, "unheard of", IDEMPOTENT, FailRequest),
    ],
)
def test_the_stricter_idempotency_of_request_and_class_applies(
    idempotency: Idempotency, kind: str, class_idempotency: Idempotency, final_command: type[RequestCommand]
) -> None:
    harness = EngineHarness(
        replace(SETTINGS, request_classes=[make_request_class(class_idempotency, DeduplicationScope.ALL)])
    )
    handle = harness.submit(idempotency, kind)
    harness.end_attempt(handle, AttemptResult.RESET)  # the budget is still empty: no retry
    assert isinstance(harness.commands(handle)[-1], final_command)


@pytest.mark.parametrize(("group", "attempts"), [(0, 2), (None, 1)])
def test_a_keyed_request_is_not_retried_where_endpoints_have_no_deduplication_group(
    group: int | None, attempts: int
) -> None:
    harness = EngineHarness(
        replace(SETTINGS, request_classes=[make_request_class(KEYED, DeduplicationScope.GROUP)]), group
    )
    for _ in range(10):
        harness.end_attempt(harness.submit(KEYED), AttemptResult.SUCCEEDED)
    handle = harness.submit(KEYED)
    harness.end_attempt(handle, AttemptResult.RESET)
    assert sum(isinstance(command, SendAttempt) for command in harness.commands(handle)) == attempts


def test_a_tick_runs_due_timers_and_sets_the_next_wake_time() -> None:
    harness = EngineHarness(replace(SETTINGS, probes=False))
    handle = harness.submit()
    assert harness.wake_times[-1] < 2.0
    harness.clock += 1.0
    wakes_before = len(harness.wake_times)
    harness.engine.run_due_timers()
    assert handle.ended is False and len(harness.wake_times) > wakes_before
    harness.clock += 0.995
    harness.engine.run_due_timers()
    assert isinstance(harness.commands(handle)[-1], RejectRequest)
    assert max(harness.engine.timer_lags) < 1.0


def test_the_list_is_polled_at_once_and_after_a_failure_only_with_a_delay() -> None:
    harness = EngineHarness(replace(SETTINGS, polls_list=True, probes=False))

    async def next_node_command() -> object:
        return await harness.engine.next_node_command()

    assert asyncio.run(next_node_command()) == PollList()
    harness.engine.apply_list_update(ListUpdate.FAILED)
    assert harness.engine._node_commands.empty()
    harness.clock += 1.0
    harness.engine.run_due_timers()
    assert asyncio.run(next_node_command()) == PollList()


@pytest.mark.parametrize(
    "fail", [lambda harness: harness.engine.cancel(harness.submit()), lambda harness: harness.submit()]
)
def test_a_request_is_not_tracked_after_an_exception_in_the_balancer(
    fail: Callable[[EngineHarness], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = EngineHarness()

    def broken(*_: object) -> None:
        raise RuntimeError("broken balancer")

    monkeypatch.setattr("notchjunction.balancing.balancer.Balancer.request_arrived", broken)
    with pytest.raises(RuntimeError):
        fail(harness)
    assert harness.engine.tracked == 0


@pytest.mark.parametrize("value", ["nan", "inf", float("nan"), -1, "much", None, [], {}])
def test_a_load_report_value_that_is_not_a_valid_number_is_unknown(value: object) -> None:
    report = settings.read_load_report({"q": value, "rate": 2.5, "news": 1})
    assert report is not None and (report.queued, report.rate) == (None, 2.5)


def test_both_forms_of_the_settings_give_the_same_result() -> None:
    nested = {
        "layer": 1,
        "layers": ["x", "y"],
        "limits": {"cancel": True, "conn_idle": 60000.0, "max_dispatches": 4},
        "profiles": [{"name": "plain", "abandon_time": 2000.0, "effect": "once", "revenue": 3}],
        "tenants": [],
    }
    flat = {
        "layer": "1",
        "layers": "x,y",
        "limits.cancel": "true",
        "limits.conn_idle": "60000.0",
        "limits.max_dispatches": "4",
        "profiles.count": "1",
        "profiles.0.name": "plain",
        "profiles.0.abandon_time": "2000.0",
        "profiles.0.effect": "once",
        "profiles.0.revenue": "3",
        "tenants.count": "0",
    }
    assert settings.flatten(nested) == flat
    balancer_settings = settings.read_settings(7, flat)
    assert (
        balancer_settings.tier,
        balancer_settings.tier_count,
        balancer_settings.cancellation,
        balancer_settings.connection_idle_timeout,
    ) == (
        1,
        2,
        True,
        60.0,
    )
    assert balancer_settings.request_classes[0] == replace(
        PLAIN,
        latency_objective=2.0,
        priority_weight=3.0,
        late_weight=0.0,
        idempotency=NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.GROUP,
    )


def test_a_ban_applies_to_the_name_and_lasts_after_its_removal_from_the_list() -> None:
    harness = EngineHarness()
    listed = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in range(4)
    ]
    assert not harness.engine.ban("unheard of") and not harness.engine.lift_ban("unheard of")
    assert harness.engine.ban("s1") and harness.engine.ban("s1")
    harness.engine.apply_list_update(
        ListUpdate.SNAPSHOT, [endpoint for endpoint in listed if endpoint.name != "s1"]
    )
    harness.engine.apply_list_update(ListUpdate.SNAPSHOT, listed)
    commands = [
        command
        for _ in range(40)
        for command in harness.commands(harness.submit())
        if isinstance(command, SendAttempt)
    ]
    assert commands and "s1" not in {command.endpoint for command in commands}
    harness.engine.apply_list_update(
        ListUpdate.SNAPSHOT, [endpoint for endpoint in listed if endpoint.name != "s1"]
    )
    assert harness.engine.lift_ban("s1") and not harness.engine.banned
    assert harness.engine.ban("s1")  # no longer listed, but the name is still known to the engine


def test_the_next_process_restores_learned_state_by_endpoint_name() -> None:
    old, new = EngineHarness(), EngineHarness()
    for _ in range(20):
        handle = old.submit()
        old.commands(handle)
        old.clock += 0.02
        old.end_attempt(handle, AttemptResult.SUCCEEDED)
    listed = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in (3, 2, 9)
    ]  # in another order, so with other numbers; s9 is unknown
    new.engine.apply_list_update(ListUpdate.SNAPSHOT, listed)
    new.clock = old.clock + 0.1
    learned_state = json.loads(json.dumps(old.engine.export_state()))
    new.engine.restore_state(learned_state)
    before, after = old.engine._balancer, new.engine._balancer
    assert isinstance(before, Balancer) and isinstance(after, Balancer)
    assert after._throughput.rate(new.clock) == before._throughput.rate(old.clock) == 10.0
    assert after._capacity() == pytest.approx(before._capacity(), rel=0.3)
    assert after._fast_latency(0) == before._fast_latency(0) > 0
    records = {name: after._endpoints[number] for name, number in new.engine._endpoint_numbers.items()}
    assert not records["s9"].recent_successes
    for name in ("s2", "s3"):
        assert (
            records[name].recent_successes
            == before._endpoints[old.engine._endpoint_numbers[name]].recent_successes
        )
    for invalid_state in ({}, {**learned_state, "clearing": {}}, {**learned_state, "spent": 5}):
        with pytest.raises((KeyError, TypeError, ValueError)):
            new.engine.restore_state(invalid_state)


def test_an_ejected_endpoint_stays_ejected_in_the_next_process() -> None:
    old, new = EngineHarness(), EngineHarness()
    balancer = old.engine._balancer
    assert isinstance(balancer, Balancer)
    balancer._endpoints[1].ejected_until = old.clock + 2.0
    new.engine.restore_state(old.engine.export_state())
    sent = [
        command.endpoint
        for _ in range(20)
        for command in new.commands(new.submit())
        if isinstance(command, SendAttempt)
    ]
    assert sent and old.engine._endpoint_names[1] not in sent


@pytest.mark.parametrize("snapshot", [True, False])
def test_requests_at_a_removed_endpoint_that_fails_are_retried_elsewhere(snapshot: bool) -> None:
    harness = EngineHarness()
    fill_retry_budget(harness, 20)
    in_flight = [harness.submit() for _ in range(12)]
    at_removed = [
        handle for handle in in_flight if harness.engine._endpoint_names[handle.endpoints[0]] == "s1"
    ]
    remaining = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in (0, 2, 3)
    ]
    removed = [ListedEndpoint("s1", EndpointState.REMOVED, zone="a", deduplication_group=0)]
    harness.engine.apply_list_update(
        ListUpdate.SNAPSHOT if snapshot else ListUpdate.CHANGES, remaining if snapshot else removed
    )
    for handle in at_removed:
        harness.end_attempt(handle, AttemptResult.RESET)
        assert [type(command) for command in harness.commands(handle)] == [
            SendAttempt,
            SendAttempt,
        ]  # first to the removed endpoint, then to another
