"""The engine against a plain clock: commands, outcomes and timers, without sockets."""

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
    """Runs an engine with four endpoints on a clock of its own."""

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
def test_nothing_grows_with_removed_endpoints_and_ended_requests(snapshot: bool) -> None:
    harness = EngineHarness()

    def sizes() -> list[int]:
        balancer = harness.engine._balancer
        assert isinstance(balancer, Balancer)
        parts = (balancer._tenant_quotas, balancer._retry_budget, balancer._connections, balancer._ejection)
        owners = (harness.engine, balancer, *parts)
        values = [each for owner in owners for each in vars(owner).values()]
        kept = [each for each in values if isinstance(each, dict | list | set)]
        return [len(each) for each in kept if each is not harness.engine._zones]

    def pass_by(count: int) -> None:
        for i in range(count):
            new = [
                ListedEndpoint(f"n{harness.clock}-{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0)
                for _ in range(1)
            ]
            harness.engine.apply_list_update(ListUpdate.SNAPSHOT if snapshot else ListUpdate.CHANGES, new)
            harness.end_attempt(handle := harness.submit(), AttemptResult.SUCCEEDED)
            harness.engine.report_probe(new[0].name, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
            removed = [replace(new[0], state=EndpointState.REMOVED)]
            harness.engine.apply_list_update(
                ListUpdate.SNAPSHOT if snapshot else ListUpdate.CHANGES, [] if snapshot else removed
            )
            harness.engine.report_probe(new[0].name, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
            assert handle.ended
            harness.clock += 0.5
            harness.engine.run_due_timers()

    pass_by(100)
    before = sizes()
    pass_by(2000)
    assert all(now <= then + 8 for then, now in zip(before, sizes(), strict=True))


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
    sends = harness.commands(handle)
    assert [send.attempt for send in sends if isinstance(send, SendAttempt)] == [0, 1]
    assert len({send.endpoint for send in sends if isinstance(send, SendAttempt)}) == 2


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
    ("idempotency", "kind", "class_idempotency", "final"),
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
def test_the_safer_of_two_stated_idempotencies_applies(
    idempotency: Idempotency, kind: str, class_idempotency: Idempotency, final: type[RequestCommand]
) -> None:
    harness = EngineHarness(
        replace(SETTINGS, request_classes=[make_request_class(class_idempotency, DeduplicationScope.ALL)])
    )
    handle = harness.submit(idempotency, kind)
    harness.end_attempt(handle, AttemptResult.RESET)  # the budget is still empty: no retry
    assert isinstance(harness.commands(handle)[-1], final)


@pytest.mark.parametrize(("group", "attempts"), [(0, 2), (None, 1)])
def test_endpoints_without_a_deduplication_group_share_it_with_none(group: int | None, attempts: int) -> None:
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

    async def first() -> object:
        return await harness.engine.next_node_command()

    assert asyncio.run(first()) == PollList()
    harness.engine.apply_list_update(ListUpdate.FAILED)
    assert harness.engine._node_commands.empty()
    harness.clock += 1.0
    harness.engine.run_due_timers()
    assert asyncio.run(first()) == PollList()


@pytest.mark.parametrize(
    "fail", [lambda harness: harness.engine.cancel(harness.submit()), lambda harness: harness.submit()]
)
def test_an_exception_in_the_balancer_leaves_no_request_behind(
    fail: Callable[[EngineHarness], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = EngineHarness()

    def broken(*_: object) -> None:
        raise RuntimeError("broken balancer")

    monkeypatch.setattr("notchjunction.balancing.balancer.Balancer.request_arrived", broken)
    with pytest.raises(RuntimeError):
        fail(harness)
    assert harness.engine.tracked == 0


@pytest.mark.parametrize("figure", ["nan", "inf", float("nan"), -1, "much", None, [], {}])
def test_a_load_figure_that_is_no_number_is_unknown(figure: object) -> None:
    found = settings.read_load_report({"q": figure, "rate": 2.5, "news": 1})
    assert found is not None and (found.queued, found.rate) == (None, 2.5)


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
    found = settings.read_settings(7, flat)
    assert (found.tier, found.tier_count, found.cancellation, found.connection_idle_timeout) == (
        1,
        2,
        True,
        60.0,
    )
    assert found.request_classes[0] == replace(
        PLAIN,
        latency_objective=2.0,
        priority_weight=3.0,
        late_weight=0.0,
        idempotency=NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.GROUP,
    )


def test_a_ban_applies_to_the_name_and_outlives_its_removal_from_the_list() -> None:
    harness = EngineHarness()
    listed = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in range(4)
    ]
    assert not harness.engine.ban("unheard of") and not harness.engine.lift_ban("unheard of")
    assert harness.engine.ban("s1") and harness.engine.ban("s1")
    harness.engine.apply_list_update(ListUpdate.SNAPSHOT, [each for each in listed if each.name != "s1"])
    harness.engine.apply_list_update(ListUpdate.SNAPSHOT, listed)
    commands = [
        command
        for _ in range(40)
        for command in harness.commands(harness.submit())
        if isinstance(command, SendAttempt)
    ]
    assert commands and "s1" not in {command.endpoint for command in commands}
    harness.engine.apply_list_update(ListUpdate.SNAPSHOT, [each for each in listed if each.name != "s1"])
    assert harness.engine.lift_ban("s1") and not harness.engine.banned
    assert harness.engine.ban("s1")  # left the list a while ago, and is still a name that operators use


def test_learned_state_passes_to_the_next_process_by_endpoint_names() -> None:
    old, new = EngineHarness(), EngineHarness()
    for _ in range(20):
        handle = old.submit()
        old.commands(handle)
        old.clock += 0.02
        old.end_attempt(handle, AttemptResult.SUCCEEDED)
    listed = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in (3, 2, 9)
    ]  # other numbers, one unknown
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
    for broken in ({}, {**learned_state, "clearing": {}}, {**learned_state, "spent": 5}):
        with pytest.raises((KeyError, TypeError, ValueError)):
            new.engine.restore_state(broken)


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
def test_an_endpoint_that_fails_after_its_removal_costs_no_request(snapshot: bool) -> None:
    harness = EngineHarness()
    fill_retry_budget(harness, 20)
    in_flight = [harness.submit() for _ in range(12)]
    at_endpoint = [
        handle for handle in in_flight if harness.engine._endpoint_names[handle.endpoints[0]] == "s1"
    ]
    left = [ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in (0, 2, 3)]
    removed = [ListedEndpoint("s1", EndpointState.REMOVED, zone="a", deduplication_group=0)]
    harness.engine.apply_list_update(
        ListUpdate.SNAPSHOT if snapshot else ListUpdate.CHANGES, left if snapshot else removed
    )
    for handle in at_endpoint:
        harness.end_attempt(handle, AttemptResult.RESET)
        assert [type(command) for command in harness.commands(handle)] == [
            SendAttempt,
            SendAttempt,
        ]  # there, and then elsewhere
