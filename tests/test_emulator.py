"""The emulated world: the rules hold through faults; each checker catches a module that breaks its rule."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

import pytest

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerHost,
    BalancerSettings,
    ListUpdate,
    RequestClass,
)
from notchjunction.balancing.retry_policy import RetryBudget
from notchjunction.balancing.slow_start import SlowStart
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.discovery.watch_state import ListWatch
from notchjunction.emulator import node
from notchjunction.emulator.checkers import (
    CANCEL_GRACE_S,
    EFFECTIVE_AFTER_S,
    breaches,
    none_for_the_gone,
    one_answer,
    told_in_time,
)
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream
from notchjunction.emulator.trace import (
    AttemptSent,
    ClientClosed,
    DiscoveryReachable,
    EndpointNotified,
    EndpointPublished,
    FinalResponse,
    RequestAccepted,
    RequestAnswered,
    Trace,
    TraceRow,
)
from notchjunction.emulator.world import DRAIN_GRACE_S, World

CALM = Scenario("calm", length=12.0)
FAULTS = {
    "calm": (),
    "crash": (Fault(Kind.CRASH, 3.0, 5.0, (0, 1, 2)),),
    "hang": (Fault(Kind.HANG, 3.0, 8.0, (0,)),),
    "slow": (Fault(Kind.SLOW, 3.0, 8.0, (0, 1), 6.0),),
    "release": tuple(Fault(Kind.DRAIN, 2.0 + n, 5.0 + n, (n,)) for n in range(4)),
    "list silent": (Fault(Kind.LIST_SILENT, 2.0, 2.1), Fault(Kind.DRAIN, 3.0, 11.0, (0, 1, 2))),
    "list down": (Fault(Kind.LIST_DOWN, 1.0, 8.0), Fault(Kind.DRAIN, 3.0, 11.0, (0,))),
}


def share(story: Trace, final: FinalResponse) -> float:
    finals = [row.final for row in story.rows if isinstance(row, RequestAnswered)]
    return finals.count(final) / len(finals)


@pytest.mark.parametrize("nodes", [1, 3, 40])
@pytest.mark.parametrize("name", FAULTS)
def test_the_rules_hold_through_faults_at_each_size(name: str, nodes: int) -> None:
    # Forty nodes hear within 6 s only from a discovery that can answer as many.
    rate = 10.0 if name == "list silent" else CALM.list_rate
    story = World(replace(CALM, name=name, nodes=nodes, list_rate=rate, faults=FAULTS[name])).play()
    assert breaches(story) == []
    assert share(story, FinalResponse.SUCCEEDED) > 0.8


def test_the_same_seed_gives_the_same_rows_and_another_one_others() -> None:
    first, second, other = (World(replace(CALM, seed=seed)).play().rows for seed in (5, 5, 6))
    assert first == second != other


def test_a_fleet_that_is_asked_for_too_much_turns_back_and_breaks_no_rule() -> None:
    story = World(replace(CALM, streams=(Stream(0, 600.0), Stream(1, 100.0)))).play()
    assert breaches(story) == [] and share(story, FinalResponse.REJECTED) > 0.2


class Mute(Balancer):
    """Turns jobs back without a word."""

    def __init__(self, terms: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(terms, host)
        host.reject = lambda request, retry_after: None  # type: ignore[method-assign]


class Twice(Balancer):
    """Sends again whatever was reset, and turns back what it gives up."""

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        held = self._pending.get(outcome.request)
        if held is not None and outcome.result is AttemptResult.RESET:
            other = next(server for server in self._active if server.entry.number != outcome.endpoint)
            self._host.send_attempt(outcome.request, other.entry.number, 1.0)
        super().attempt_ended(outcome)

    def _is_rejection_safe(self, held: object) -> bool:
        return True


class Deaf(Balancer):
    """Hears no news after the first list."""

    def list_updated(self, news: ListUpdate, entries: object) -> None:
        if news is ListUpdate.CACHED:
            super().list_updated(news, entries)  # type: ignore[arg-type]


class Resigned(Balancer):
    """Never asks for the list again once a call has failed."""

    def list_updated(self, news: ListUpdate, entries: object) -> None:
        if news is not ListUpdate.FAILED:
            super().list_updated(news, entries)  # type: ignore[arg-type]


class Loyal(Balancer):
    """Goes on with jobs whose callers have withdrawn."""

    def __init__(self, terms: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(terms, host)
        self._gone: set[int] = set()

    def request_cancelled(self, job: int) -> None:
        self._gone.add(job)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        super().attempt_ended(replace(outcome, final=outcome.final and outcome.request not in self._gone))


class NoSlowStart(SlowStart):
    def is_warming_up(self, endpoint: object, now: float) -> bool:
        return False


class Eager(Balancer):
    """Takes each server for warm."""

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        super().settings_changed(settings, request_classes)
        self._slow_start = NoSlowStart(settings)


class UnlimitedRetryBudget(RetryBudget):
    def allows_retry(self, now: float) -> bool:
        return True


class Stubborn(Balancer):
    """Knows no budget for further dispatches."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(settings, host)
        self._retry_budget = UnlimitedRetryBudget()


class Blind(Balancer):
    """Probes nothing."""

    def _send_next_probe(self) -> None:
        pass


class Repeating(Balancer):
    """Answers twice what it writes off."""

    def __init__(self, terms: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(terms, host)
        once = host.reject

        def turn_back(request: int, retry_after: float) -> None:
            once(request, retry_after)
            host.fail(request)

        host.reject = turn_back  # type: ignore[method-assign]


STEADY = (Stream(0, 150.0), Stream(1, 40.0))
COLD = replace(
    CALM, streams=STEADY, servers=6, cold_share=0.05, cold_time=10.0, list_delay=0.0, tip_multiple=2.0
)
BUSY = (Stream(0, 250.0), Stream(1, 60.0))
DRAINS = Fault(Kind.DRAIN, 4.0, 15.9, (0, 1, 2))
MISSED = replace(CALM, streams=STEADY, length=16.0, faults=(Fault(Kind.LIST_DOWN, 1.0, 3.0), DRAINS))
UNHEARD = replace(MISSED, faults=(Fault(Kind.LIST_SPLIT, 1.0, 5.0, size=0.7), DRAINS))
SILENT = replace(MISSED, faults=(Fault(Kind.LIST_SILENT, 2.0, 2.1), DRAINS))


@pytest.mark.parametrize(
    ("broken", "checker", "scenario"),
    [
        (Mute, "one_answer", replace(CALM, streams=(Stream(0, 500.0),), length=6.0)),
        (Repeating, "one_answer", replace(CALM, streams=(Stream(0, 500.0),), length=6.0)),
        (Twice, "no_double_effects", replace(CALM, faults=FAULTS["crash"], streams=BUSY)),
        (Deaf, "clean_drains", replace(CALM, faults=FAULTS["release"])),
        (Loyal, "none_for_the_gone", replace(CALM, streams=BUSY, client_leaves=0.3)),
        (Resigned, "told_in_time", MISSED),
        (Resigned, "told_in_time", UNHEARD),
        (
            Eager,
            "gentle_fail_back",
            replace(COLD, faults=FAULTS["crash"], length=9.0),
        ),
        (Stubborn, "retry_bound", replace(CALM, faults=(Fault(Kind.CRASH, 1.0, 12.0, tuple(range(8))),))),
        (Blind, "probe_bound", CALM),
    ],
)
def test_each_checker_catches_a_module_that_breaks_its_rule(
    broken: Callable[[BalancerSettings, BalancerHost], Balancer], checker: str, scenario: Scenario
) -> None:
    assert not [text for text in breaches(World(scenario).play()) if text.startswith(checker)]
    assert [text for text in breaches(World(scenario, broken).play()) if text.startswith(checker)]


def test_word_of_changes_reaches_every_node_through_discovery() -> None:
    scenario = replace(CALM, nodes=40, faults=(Fault(Kind.DRAIN, 6.0, 11.9, (0,)),), length=30.0)
    rows = World(scenario).play().rows
    heard = {
        row.node
        for row in rows
        if isinstance(row, EndpointNotified) and row.state is not EndpointState.ACTIVE
    }
    assert heard == set(range(40))


class Waiting(ListWatch):
    """Waits for a silent call's answer for as long as a run lasts."""

    def poll_started(self, now: float, wait: float) -> float:
        return 1000.0


def test_a_node_that_never_finds_a_watch_silent_is_caught_and_the_real_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def heard(story: Trace) -> bool:
        return any(
            isinstance(row, EndpointNotified) and row.state is EndpointState.DRAINING for row in story.rows
        )

    for seed in (1, 2, 3):
        story = World(replace(SILENT, seed=seed)).play()
        assert heard(story) and breaches(story) == []
    monkeypatch.setattr(node, "ListWatch", Waiting)
    story = World(SILENT).play()
    assert not heard(story)
    assert {text.partition(":")[0] for text in breaches(story)} == {"told_in_time"}


HAS = 10.0  # the moment at which discovery has the change
COUNTS = HAS + EFFECTIVE_AFTER_S
JOINED = DiscoveryReachable(0.0, 1, 0, True)
DRAINING = EndpointPublished(HAS, 0, 5, EndpointState.DRAINING)
BROKEN_OFF, BACK = DiscoveryReachable(HAS - 1, 1, 0, False), DiscoveryReachable(HAS + 20, 1, 0, True)


def sent(at: float, node: int = 1, server: int = 5) -> AttemptSent:
    return AttemptSent(at, node, 1, 0, server)


@pytest.mark.parametrize(
    ("rows", "broken"),
    [
        # Reached all along, as with a watch that fell silent: its 6 s, and the grace.
        ([JOINED, DRAINING, sent(COUNTS + DRAIN_GRACE_S)], False),
        ([JOINED, DRAINING, sent(COUNTS + DRAIN_GRACE_S + 0.01)], True),
        ([JOINED, DRAINING, sent(HAS + 2.0), sent(COUNTS + DRAIN_GRACE_S)], False),
        ([JOINED, DRAINING, sent(COUNTS + 9.0, server=6)], False),
        (
            [
                JOINED,
                EndpointPublished(HAS, 0, 5, EndpointState.REMOVED),
                sent(COUNTS + DRAIN_GRACE_S + 0.01),
            ],
            True,
        ),
        (
            [
                JOINED,
                DRAINING,
                EndpointPublished(HAS + 5.0, 0, 5, EndpointState.REMOVED),
                sent(COUNTS + DRAIN_GRACE_S + 0.01),
            ],
            True,
        ),
        # Word of it is another rule's.
        ([JOINED, DRAINING, EndpointNotified(HAS + 0.1, 1, 5, EndpointState.DRAINING), sent(COUNTS)], False),
        (
            [JOINED, DRAINING, EndpointNotified(HAS + 0.1, 1, 5, EndpointState.DRAINING), sent(COUNTS + 1.0)],
            True,
        ),
        # Not to be reached: from the end of that.
        ([JOINED, BROKEN_OFF, DRAINING, sent(HAS + 30.0)], False),
        ([JOINED, BROKEN_OFF, DRAINING, BACK, sent(BACK.at + EFFECTIVE_AFTER_S + DRAIN_GRACE_S)], False),
        (
            [JOINED, BROKEN_OFF, DRAINING, BACK, sent(BACK.at + EFFECTIVE_AFTER_S + DRAIN_GRACE_S + 0.01)],
            True,
        ),
        (
            [
                JOINED,
                DRAINING,
                DiscoveryReachable(HAS + 5.9, 1, 0, False),
                sent(COUNTS + DRAIN_GRACE_S + 1.0),
            ],
            False,
        ),
        (
            [
                JOINED,
                DRAINING,
                DiscoveryReachable(COUNTS + 0.1, 1, 0, False),
                sent(COUNTS + DRAIN_GRACE_S + 1.0),
            ],
            True,
        ),
        (
            [JOINED, DiscoveryReachable(0.0, 2, 0, True), BROKEN_OFF, DRAINING, sent(COUNTS + 9.0, node=2)],
            True,
        ),
        # A later start of the server, and a change after that.
        (
            [JOINED, DRAINING, EndpointPublished(HAS + 1, 0, 5, EndpointState.ACTIVE), sent(COUNTS + 9.0)],
            False,
        ),
        (
            [
                *(JOINED, DRAINING, EndpointPublished(HAS + 1, 0, 5, EndpointState.ACTIVE)),
                *(
                    EndpointPublished(HAS + 9, 0, 5, EndpointState.REMOVED),
                    sent(HAS + 9 + EFFECTIVE_AFTER_S + DRAIN_GRACE_S),
                ),
            ],
            False,
        ),
        (
            [
                *(JOINED, DRAINING, EndpointPublished(HAS + 1, 0, 5, EndpointState.ACTIVE)),
                *(
                    EndpointPublished(HAS + 9, 0, 5, EndpointState.REMOVED),
                    sent(HAS + 9 + EFFECTIVE_AFTER_S + DRAIN_GRACE_S + 0.01),
                ),
            ],
            True,
        ),
        # A node of another tier, and one that began with the list as it was after the change.
        ([DiscoveryReachable(0.0, 1, 1, True), DRAINING, sent(COUNTS + 9.0)], False),
        ([DRAINING, DiscoveryReachable(HAS + 1, 1, 0, True), sent(COUNTS + 9.0)], False),
        (
            [
                DiscoveryReachable(HAS - 1, 1, 0, False),
                DRAINING,
                DiscoveryReachable(HAS + 1, 1, 0, True),
                sent(COUNTS + 2.0),
            ],
            True,
        ),
    ],
)
def test_a_change_counts_6_s_after_discovery_had_it_and_could_be_reached(
    rows: list[TraceRow], broken: bool
) -> None:
    story = Trace(tuple(rows), CALM.profiles, DRAIN_GRACE_S, 0.01, rows[-1].at)
    assert bool(list(told_in_time(story))) is broken


CLOSED = RequestAnswered(10.0, 1, 1, FinalResponse.CANCELLED)


def again(at: float, node: int = 1, job: int = 1, dispatch: int = 1) -> AttemptSent:
    return AttemptSent(at, node, job, dispatch, 5)


@pytest.mark.parametrize(
    ("rows", "broken"),
    [
        ([CLOSED, again(10.09)], False),
        ([CLOSED, again(10.11)], True),
        ([CLOSED, again(10.11, dispatch=0)], True),
        ([CLOSED, again(10.05), again(10.11, dispatch=2)], True),
        ([CLOSED, again(15.0, job=2), again(15.0, node=2)], False),
        ([RequestAnswered(10.0, 1, 1, FinalResponse.SUCCEEDED), again(15.0)], False),  # one_answer's
        ([ClientClosed(10.0, 1, 1), again(10.09)], False),
        ([ClientClosed(10.0, 1, 1), again(10.11)], True),
        ([again(9.0, dispatch=0), CLOSED], False),
    ],
)
def test_a_caller_that_has_closed_gets_no_attempt_later(rows: list[TraceRow], broken: bool) -> None:
    story = Trace(tuple(rows), CALM.profiles, DRAIN_GRACE_S, 0.01, rows[-1].at)
    assert bool(list(none_for_the_gone(story))) is broken


@pytest.mark.parametrize(
    ("end", "crossing", "after", "broken"),
    [
        (FinalResponse.CANCELLED, 0.0, 0.0, True),
        (FinalResponse.CANCELLED, CANCEL_GRACE_S, 0.09, False),
        (FinalResponse.CANCELLED, CANCEL_GRACE_S, 0.11, True),
        (FinalResponse.CANCELLED, CANCEL_GRACE_S + 0.05, 0.14, False),  # read by so much late at most
        (FinalResponse.CANCELLED, CANCEL_GRACE_S + 0.05, 0.16, True),
        (FinalResponse.SUCCEEDED, CANCEL_GRACE_S, 0.0, True),
        (FinalResponse.REJECTED, CANCEL_GRACE_S, 0.09, True),
    ],
)
def test_a_send_may_cross_its_callers_close_on_sockets_and_no_other_end(
    end: FinalResponse, crossing: float, after: float, broken: bool
) -> None:
    rows = (RequestAccepted(9.0, 1, 1, 0, 12.0, 1), RequestAnswered(10.0, 1, 1, end), again(10.0 + after))
    story = Trace(rows, CALM.profiles, DRAIN_GRACE_S, 0.01, 11.0, cancel_delay=crossing)
    assert bool(list(one_answer(story))) is broken
    late = end is FinalResponse.CANCELLED and after > max(CANCEL_GRACE_S, crossing)
    assert bool(list(none_for_the_gone(story))) is late


def test_so_many_clients_leave_early_and_do_not_come_again() -> None:
    story = World(replace(CALM, streams=BUSY, client_leaves=1.0)).play()
    assert breaches(story) == []
    tries: dict[int, list[RequestAccepted]] = {}
    for row in story.rows:
        if isinstance(row, RequestAccepted):
            tries.setdefault(row.first_request, []).append(row)
    first_of = {(row.node, row.request): first for first, rows in tries.items() for row in rows}
    gone = [
        row for row in story.rows if isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED
    ]
    assert len(gone) > 100
    for row in gone:
        assert tries[first_of[row.node, row.request]][-1].request == row.request
