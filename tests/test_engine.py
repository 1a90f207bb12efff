"""The facade against a plain clock: orders, reports and timers, without sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace

import pytest

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.engine import (
    Ask,
    Decider,
    Ended,
    Follow,
    Leave,
    Names,
    Order,
    PassOn,
    Send,
    Stop,
    Ticket,
    TurnBack,
    WriteOff,
)
from notchjunction.balancing.interface import Effect, Group, News, Result, Terms
from notchjunction.config import settings
from notchjunction.discovery.endpoints import Listed, Presence
from tests.helpers import PLAIN, TERMS, profile

SAFE, NUMBERED, ONCE = Effect.REISSUABLE, Effect.NUMBERED, Effect.AT_MOST_ONCE


class Story:
    def __init__(self, told: Terms = TERMS, cell: int | None = 0) -> None:
        self.clock = 1000.0
        self.wakes: list[float] = []
        names = Names(["plain"], [], ["a"])
        self.decider = Decider(told, names, lambda: self.clock, self.wakes.append)
        servers = [Listed(f"s{i}", Presence.READY, zone="a", cell=cell) for i in range(4)]
        self.decider.report_list(News.WHOLE, servers)

    def take(self, effect: Effect = SAFE, kind: str = "plain") -> Ticket:
        return self.decider.take(Ask(kind, 2.0, effect))

    def end(self, ticket: Ticket, result: Result, dispatch: int = 0) -> None:
        self.decider.report(ticket, dispatch, Ended(result, 0.1))

    def orders(self, ticket: Ticket) -> list[Order]:
        async def picked() -> list[Order]:
            return [await self.decider.pick(ticket) for _ in range(ticket.orders.qsize())]

        return asyncio.run(picked())


@pytest.mark.parametrize("whole", [True, False])
def test_nothing_grows_with_the_servers_and_jobs_that_have_gone_by(whole: bool) -> None:
    story = Story()

    def sizes() -> list[int]:
        core = story.decider._core
        held = [*vars(story.decider).values(), *vars(core).values()]
        kept = [each for each in held if isinstance(each, dict | list | set)]
        return [len(each) for each in kept if each is not story.decider._zones]

    def pass_by(count: int) -> None:
        for i in range(count):
            new = [Listed(f"n{story.clock}-{i}", Presence.READY, zone="a", cell=0) for _ in range(1)]
            story.decider.report_list(News.WHOLE if whole else News.CHANGES, new)
            story.end(ticket := story.take(), Result.HONOURED)
            story.decider.report_probe(new[0].name, Ended(Result.HONOURED, 0.1))
            gone = [replace(new[0], presence=Presence.GONE)]
            story.decider.report_list(News.WHOLE if whole else News.CHANGES, [] if whole else gone)
            story.decider.report_probe(new[0].name, Ended(Result.HONOURED, 0.1))
            assert ticket.answered
            story.clock += 0.5
            story.decider.tick()

    pass_by(100)
    before = sizes()
    pass_by(2000)
    assert all(now <= then + 8 for then, now in zip(before, sizes(), strict=True))


def first_sends(story: Story, count: int = 10) -> None:
    """Traffic that leaves room in the budget."""
    for _ in range(count):
        story.end(story.take(), Result.HONOURED)


def test_a_job_is_sent_passed_on_and_forgotten() -> None:
    story = Story()
    ticket = story.take()
    assert isinstance(story.orders(ticket)[0], Send) and story.decider.held == 1
    story.end(ticket, Result.HONOURED)
    assert story.orders(ticket) == [PassOn(0)]
    assert story.decider.held == story.decider.kept == 0


def test_a_refused_connection_is_followed_by_another_server() -> None:
    story = Story()
    first_sends(story)
    ticket = story.take()
    story.end(ticket, Result.NO_CONNECTION)
    sends = story.orders(ticket)
    assert [send.dispatch for send in sends if isinstance(send, Send)] == [0, 1]
    assert len({send.server for send in sends if isinstance(send, Send)}) == 2


def test_a_caller_who_goes_stops_what_is_out_and_the_job_stays_until_its_end_is_told() -> None:
    story = Story()
    ticket = story.take()
    story.decider.withdraw(ticket)
    story.decider.withdraw(ticket)
    assert story.orders(ticket)[1:] == [Stop(0), Leave()]
    assert (story.decider.held, story.decider.kept) == (0, 1)
    story.end(ticket, Result.HONOURED)
    assert story.orders(ticket) == [] and story.decider.kept == 0


@pytest.mark.parametrize(
    ("stated", "kind", "profiles", "final"),
    [
        (SAFE, "plain", SAFE, TurnBack),
        (NUMBERED, "plain", NUMBERED, TurnBack),
        (ONCE, "plain", ONCE, WriteOff),
        (ONCE, "plain", SAFE, WriteOff),
        (NUMBERED, "plain", SAFE, WriteOff),
        (SAFE, "plain", ONCE, WriteOff),
        (SAFE, "unheard of", SAFE, WriteOff),
    ],
)
def test_of_two_readings_of_an_effect_the_safer_holds(
    stated: Effect, kind: str, profiles: Effect, final: type[Order]
) -> None:
    story = Story(replace(TERMS, profiles=[profile(profiles, Group.ALL)]))
    ticket = story.take(stated, kind)
    story.end(ticket, Result.RESET)  # the budget is still empty: no retry
    assert isinstance(story.orders(ticket)[-1], final)


@pytest.mark.parametrize(("cell", "dispatches"), [(0, 2), (None, 1)])
def test_servers_without_a_cell_share_it_with_nobody(cell: int | None, dispatches: int) -> None:
    story = Story(replace(TERMS, profiles=[profile(NUMBERED, Group.CELL)]), cell)
    for _ in range(10):
        story.end(story.take(NUMBERED), Result.HONOURED)
    ticket = story.take(NUMBERED)
    story.end(ticket, Result.RESET)
    assert sum(isinstance(order, Send) for order in story.orders(ticket)) == dispatches


def test_a_tick_runs_what_is_due_and_asks_for_the_next() -> None:
    story = Story(replace(TERMS, probes=False))
    ticket = story.take()
    assert story.wakes[-1] < 2.0
    story.clock += 1.0
    asked = len(story.wakes)
    story.decider.tick()
    assert ticket.answered is False and len(story.wakes) > asked
    story.clock += 0.995
    story.decider.tick()
    assert isinstance(story.orders(ticket)[-1], TurnBack)
    assert max(story.decider.lags) < 1.0


def test_the_list_is_followed_at_once_and_after_a_failure_only_in_time() -> None:
    story = Story(replace(TERMS, must_follow=True, probes=False))

    async def first() -> object:
        return await story.decider.errand()

    assert asyncio.run(first()) == Follow()
    story.decider.report_list(News.FAILED)
    assert story.decider._errands.empty()
    story.clock += 1.0
    story.decider.tick()
    assert asyncio.run(first()) == Follow()


@pytest.mark.parametrize(
    "fail", [lambda story: story.decider.withdraw(story.take()), lambda story: story.take()]
)
def test_a_failure_of_the_module_leaves_no_job_behind(
    fail: Callable[[Story], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    story = Story()

    def broken(*_: object) -> None:
        raise RuntimeError("module")

    monkeypatch.setattr("notchjunction.balancing.balancer.Balancer.take", broken)
    with pytest.raises(RuntimeError):
        fail(story)
    assert story.decider.kept == 0


@pytest.mark.parametrize("figure", ["nan", "inf", float("nan"), -1, "much", None, [], {}])
def test_a_load_figure_that_is_no_number_stays_unknown(figure: object) -> None:
    found = settings.load({"q": figure, "rate": 2.5, "news": 1})
    assert found is not None and (found.waiting, found.rate) == (None, 2.5)


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
    found = settings.terms(7, flat)
    assert (found.depth, found.depths, found.recalls, found.connection_idle) == (1, 2, True, 60.0)
    assert found.profiles[0] == replace(
        PLAIN, contract_time=2.0, revenue=3.0, late_share=0.0, effect=ONCE, group=Group.CELL
    )


def test_a_ban_is_on_the_name_and_outlives_the_lists_word() -> None:
    story = Story()
    listed = [Listed(f"s{i}", Presence.READY, zone="a", cell=0) for i in range(4)]
    assert not story.decider.bar("unheard of") and not story.decider.unbar("unheard of")
    assert story.decider.bar("s1") and story.decider.bar("s1")
    story.decider.report_list(News.WHOLE, [each for each in listed if each.name != "s1"])
    story.decider.report_list(News.WHOLE, listed)
    orders = [order for _ in range(40) for order in story.orders(story.take()) if isinstance(order, Send)]
    assert orders and "s1" not in {order.server for order in orders}
    story.decider.report_list(News.WHOLE, [each for each in listed if each.name != "s1"])
    assert story.decider.unbar("s1") and not story.decider.barred
    assert story.decider.bar("s1")  # left the list a while ago, and is still a name that operators use


def test_what_was_learned_passes_to_the_next_process_by_names() -> None:
    old, new = Story(), Story()
    for _ in range(20):
        ticket = old.take()
        old.orders(ticket)
        old.clock += 0.02
        old.end(ticket, Result.HONOURED)
    listed = [
        Listed(f"s{i}", Presence.READY, zone="a", cell=0) for i in (3, 2, 9)
    ]  # other numbers, one unknown
    new.decider.report_list(News.WHOLE, listed)
    new.clock = old.clock + 0.1
    lessons = json.loads(json.dumps(old.decider.lessons()))
    new.decider.learn(lessons)
    before, after = old.decider._core, new.decider._core
    assert isinstance(before, Balancer) and isinstance(after, Balancer)
    assert after._clearing.rate(new.clock) == before._clearing.rate(old.clock) == 10.0
    assert after._room() == pytest.approx(before._room(), rel=0.3)
    assert after._quick(0) == before._quick(0) > 0
    records = {name: after._servers[number] for name, number in new.decider._servers.items()}
    assert not records["s9"].last
    for name in ("s2", "s3"):
        assert records[name].last == before._servers[old.decider._servers[name]].last
    for broken in ({}, {**lessons, "clearing": {}}, {**lessons, "spent": 5}):
        with pytest.raises((KeyError, TypeError, ValueError)):
            new.decider.learn(broken)


def test_a_server_set_aside_stays_so_in_the_next_process() -> None:
    old, new = Story(), Story()
    core = old.decider._core
    assert isinstance(core, Balancer)
    core._servers[1].back_at = old.clock + 2.0
    new.decider.learn(old.decider.lessons())
    sent = [order.server for _ in range(20) for order in new.orders(new.take()) if isinstance(order, Send)]
    assert sent and old.decider._names[1] not in sent


@pytest.mark.parametrize("whole", [True, False])
def test_a_server_that_fails_after_it_left_the_list_costs_no_job(whole: bool) -> None:
    story = Story()
    first_sends(story, 20)
    out = [story.take() for _ in range(12)]
    at_s1 = [ticket for ticket in out if story.decider._names[ticket.servers[0]] == "s1"]
    left = [Listed(f"s{i}", Presence.READY, zone="a", cell=0) for i in (0, 2, 3)]
    gone = [Listed("s1", Presence.GONE, zone="a", cell=0)]
    story.decider.report_list(News.WHOLE if whole else News.CHANGES, left if whole else gone)
    for ticket in at_s1:
        story.end(ticket, Result.RESET)
        assert [type(order) for order in story.orders(ticket)] == [Send, Send]  # there, and then elsewhere
