"""The facade against a plain clock: orders, reports and timers, without sockets."""

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
from tests.helpers import PLAIN, TERMS, profile

SAFE, NUMBERED, ONCE = Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT


class Story:
    def __init__(self, told: BalancerSettings = TERMS, cell: int | None = 0) -> None:
        self.clock = 1000.0
        self.wakes: list[float] = []
        names = SettingNames(["plain"], [], ["a"])
        self.decider = BalancerEngine(told, names, lambda: self.clock, self.wakes.append)
        servers = [
            ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=cell)
            for i in range(4)
        ]
        self.decider.apply_list_update(ListUpdate.SNAPSHOT, servers)

    def take(self, effect: Idempotency = SAFE, kind: str = "plain") -> RequestHandle:
        return self.decider.submit(RequestSpec(kind, 2.0, effect))

    def end(self, ticket: RequestHandle, result: AttemptResult, dispatch: int = 0) -> None:
        self.decider.report_attempt(ticket, dispatch, ExchangeOutcome(result, 0.1))

    def orders(self, ticket: RequestHandle) -> list[RequestCommand]:
        async def picked() -> list[RequestCommand]:
            return [await self.decider.next_command(ticket) for _ in range(ticket.commands.qsize())]

        return asyncio.run(picked())


@pytest.mark.parametrize("whole", [True, False])
def test_nothing_grows_with_the_servers_and_jobs_that_have_gone_by(whole: bool) -> None:
    story = Story()

    def sizes() -> list[int]:
        core = story.decider._balancer
        assert isinstance(core, Balancer)
        parts = (core._tenant_quotas, core._retry_budget, core._connections, core._ejection)
        owners = (story.decider, core, *parts)
        held = [each for owner in owners for each in vars(owner).values()]
        kept = [each for each in held if isinstance(each, dict | list | set)]
        return [len(each) for each in kept if each is not story.decider._zones]

    def pass_by(count: int) -> None:
        for i in range(count):
            new = [
                ListedEndpoint(f"n{story.clock}-{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0)
                for _ in range(1)
            ]
            story.decider.apply_list_update(ListUpdate.SNAPSHOT if whole else ListUpdate.CHANGES, new)
            story.end(ticket := story.take(), AttemptResult.SUCCEEDED)
            story.decider.report_probe(new[0].name, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
            gone = [replace(new[0], state=EndpointState.REMOVED)]
            story.decider.apply_list_update(
                ListUpdate.SNAPSHOT if whole else ListUpdate.CHANGES, [] if whole else gone
            )
            story.decider.report_probe(new[0].name, ExchangeOutcome(AttemptResult.SUCCEEDED, 0.1))
            assert ticket.answered
            story.clock += 0.5
            story.decider.run_due_timers()

    pass_by(100)
    before = sizes()
    pass_by(2000)
    assert all(now <= then + 8 for then, now in zip(before, sizes(), strict=True))


def first_sends(story: Story, count: int = 10) -> None:
    """Traffic that leaves room in the budget."""
    for _ in range(count):
        story.end(story.take(), AttemptResult.SUCCEEDED)


def test_a_job_is_sent_passed_on_and_forgotten() -> None:
    story = Story()
    ticket = story.take()
    assert isinstance(story.orders(ticket)[0], SendAttempt) and story.decider.in_flight == 1
    story.end(ticket, AttemptResult.SUCCEEDED)
    assert story.orders(ticket) == [ForwardResponse(0)]
    assert story.decider.in_flight == story.decider.tracked == 0


def test_a_refused_connection_is_followed_by_another_server() -> None:
    story = Story()
    first_sends(story)
    ticket = story.take()
    story.end(ticket, AttemptResult.NO_CONNECTION)
    sends = story.orders(ticket)
    assert [send.attempt for send in sends if isinstance(send, SendAttempt)] == [0, 1]
    assert len({send.endpoint for send in sends if isinstance(send, SendAttempt)}) == 2


def test_a_caller_who_goes_stops_what_is_out_and_the_job_stays_until_its_end_is_told() -> None:
    story = Story()
    ticket = story.take()
    story.decider.cancel(ticket)
    story.decider.cancel(ticket)
    assert story.orders(ticket)[1:] == [CancelAttempt(0), DropRequest()]
    assert (story.decider.in_flight, story.decider.tracked) == (0, 1)
    story.end(ticket, AttemptResult.SUCCEEDED)
    assert story.orders(ticket) == [] and story.decider.tracked == 0


@pytest.mark.parametrize(
    ("stated", "kind", "profiles", "final"),
    [
        (SAFE, "plain", SAFE, RejectRequest),
        (NUMBERED, "plain", NUMBERED, RejectRequest),
        (ONCE, "plain", ONCE, FailRequest),
        (ONCE, "plain", SAFE, FailRequest),
        (NUMBERED, "plain", SAFE, FailRequest),
        (SAFE, "plain", ONCE, FailRequest),
        (SAFE, "unheard of", SAFE, FailRequest),
    ],
)
def test_of_two_readings_of_an_effect_the_safer_holds(
    stated: Idempotency, kind: str, profiles: Idempotency, final: type[RequestCommand]
) -> None:
    story = Story(replace(TERMS, request_classes=[profile(profiles, DeduplicationScope.ALL)]))
    ticket = story.take(stated, kind)
    story.end(ticket, AttemptResult.RESET)  # the budget is still empty: no retry
    assert isinstance(story.orders(ticket)[-1], final)


@pytest.mark.parametrize(("cell", "dispatches"), [(0, 2), (None, 1)])
def test_servers_without_a_cell_share_it_with_nobody(cell: int | None, dispatches: int) -> None:
    story = Story(replace(TERMS, request_classes=[profile(NUMBERED, DeduplicationScope.GROUP)]), cell)
    for _ in range(10):
        story.end(story.take(NUMBERED), AttemptResult.SUCCEEDED)
    ticket = story.take(NUMBERED)
    story.end(ticket, AttemptResult.RESET)
    assert sum(isinstance(order, SendAttempt) for order in story.orders(ticket)) == dispatches


def test_a_tick_runs_what_is_due_and_asks_for_the_next() -> None:
    story = Story(replace(TERMS, probes=False))
    ticket = story.take()
    assert story.wakes[-1] < 2.0
    story.clock += 1.0
    asked = len(story.wakes)
    story.decider.run_due_timers()
    assert ticket.answered is False and len(story.wakes) > asked
    story.clock += 0.995
    story.decider.run_due_timers()
    assert isinstance(story.orders(ticket)[-1], RejectRequest)
    assert max(story.decider.timer_lags) < 1.0


def test_the_list_is_followed_at_once_and_after_a_failure_only_in_time() -> None:
    story = Story(replace(TERMS, polls_list=True, probes=False))

    async def first() -> object:
        return await story.decider.next_node_command()

    assert asyncio.run(first()) == PollList()
    story.decider.apply_list_update(ListUpdate.FAILED)
    assert story.decider._node_commands.empty()
    story.clock += 1.0
    story.decider.run_due_timers()
    assert asyncio.run(first()) == PollList()


@pytest.mark.parametrize(
    "fail", [lambda story: story.decider.cancel(story.take()), lambda story: story.take()]
)
def test_a_failure_of_the_module_leaves_no_job_behind(
    fail: Callable[[Story], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    story = Story()

    def broken(*_: object) -> None:
        raise RuntimeError("module")

    monkeypatch.setattr("notchjunction.balancing.balancer.Balancer.request_arrived", broken)
    with pytest.raises(RuntimeError):
        fail(story)
    assert story.decider.tracked == 0


@pytest.mark.parametrize("figure", ["nan", "inf", float("nan"), -1, "much", None, [], {}])
def test_a_load_figure_that_is_no_number_stays_unknown(figure: object) -> None:
    found = settings.read_load_report({"q": figure, "rate": 2.5, "news": 1})
    assert found is not None and (found.queued, found.rate) == (None, 2.5)


def test_both_forms_of_the_settings_give_the_same_terms() -> None:
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
        idempotency=ONCE,
        deduplication_scope=DeduplicationScope.GROUP,
    )


def test_a_ban_is_on_the_name_and_outlives_the_lists_word() -> None:
    story = Story()
    listed = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in range(4)
    ]
    assert not story.decider.ban("unheard of") and not story.decider.lift_ban("unheard of")
    assert story.decider.ban("s1") and story.decider.ban("s1")
    story.decider.apply_list_update(ListUpdate.SNAPSHOT, [each for each in listed if each.name != "s1"])
    story.decider.apply_list_update(ListUpdate.SNAPSHOT, listed)
    orders = [
        order for _ in range(40) for order in story.orders(story.take()) if isinstance(order, SendAttempt)
    ]
    assert orders and "s1" not in {order.endpoint for order in orders}
    story.decider.apply_list_update(ListUpdate.SNAPSHOT, [each for each in listed if each.name != "s1"])
    assert story.decider.lift_ban("s1") and not story.decider.banned
    assert story.decider.ban("s1")  # left the list a while ago, and is still a name that operators use


def test_what_was_learned_passes_to_the_next_process_by_names() -> None:
    old, new = Story(), Story()
    for _ in range(20):
        ticket = old.take()
        old.orders(ticket)
        old.clock += 0.02
        old.end(ticket, AttemptResult.SUCCEEDED)
    listed = [
        ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in (3, 2, 9)
    ]  # other numbers, one unknown
    new.decider.apply_list_update(ListUpdate.SNAPSHOT, listed)
    new.clock = old.clock + 0.1
    lessons = json.loads(json.dumps(old.decider.export_state()))
    new.decider.restore_state(lessons)
    before, after = old.decider._balancer, new.decider._balancer
    assert isinstance(before, Balancer) and isinstance(after, Balancer)
    assert after._throughput.rate(new.clock) == before._throughput.rate(old.clock) == 10.0
    assert after._capacity() == pytest.approx(before._capacity(), rel=0.3)
    assert after._fast_latency(0) == before._fast_latency(0) > 0
    records = {name: after._endpoints[number] for name, number in new.decider._endpoint_numbers.items()}
    assert not records["s9"].recent_successes
    for name in ("s2", "s3"):
        assert (
            records[name].recent_successes
            == before._endpoints[old.decider._endpoint_numbers[name]].recent_successes
        )
    for broken in ({}, {**lessons, "clearing": {}}, {**lessons, "spent": 5}):
        with pytest.raises((KeyError, TypeError, ValueError)):
            new.decider.restore_state(broken)


def test_a_server_set_aside_stays_so_in_the_next_process() -> None:
    old, new = Story(), Story()
    core = old.decider._balancer
    assert isinstance(core, Balancer)
    core._endpoints[1].ejected_until = old.clock + 2.0
    new.decider.restore_state(old.decider.export_state())
    sent = [
        order.endpoint
        for _ in range(20)
        for order in new.orders(new.take())
        if isinstance(order, SendAttempt)
    ]
    assert sent and old.decider._endpoint_names[1] not in sent


@pytest.mark.parametrize("whole", [True, False])
def test_a_server_that_fails_after_it_left_the_list_costs_no_job(whole: bool) -> None:
    story = Story()
    first_sends(story, 20)
    out = [story.take() for _ in range(12)]
    at_s1 = [ticket for ticket in out if story.decider._endpoint_names[ticket.endpoints[0]] == "s1"]
    left = [ListedEndpoint(f"s{i}", EndpointState.ACTIVE, zone="a", deduplication_group=0) for i in (0, 2, 3)]
    gone = [ListedEndpoint("s1", EndpointState.REMOVED, zone="a", deduplication_group=0)]
    story.decider.apply_list_update(
        ListUpdate.SNAPSHOT if whole else ListUpdate.CHANGES, left if whole else gone
    )
    for ticket in at_s1:
        story.end(ticket, AttemptResult.RESET)
        assert [type(order) for order in story.orders(ticket)] == [
            SendAttempt,
            SendAttempt,
        ]  # there, and then elsewhere
