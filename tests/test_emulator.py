"""The emulated world: its rules hold through faults, and each checker detects a breach of its rule."""

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


def share_of(trace: Trace, final: FinalResponse) -> float:
    finals = [row.final for row in trace.rows if isinstance(row, RequestAnswered)]
    return finals.count(final) / len(finals)


@pytest.mark.parametrize("nodes", [1, 3, 40])
@pytest.mark.parametrize("name", FAULTS)
def test_rules_hold_through_faults_with_any_number_of_nodes(name: str, nodes: int) -> None:
    # Forty nodes are notified within 6 s only if discovery can answer that many polls.
    rate = 10.0 if name == "list silent" else CALM.list_rate
    trace = World(replace(CALM, name=name, nodes=nodes, list_rate=rate, faults=FAULTS[name])).play()
    assert breaches(trace) == []
    assert share_of(trace, FinalResponse.SUCCEEDED) > 0.8


def test_same_seed_gives_the_same_rows_and_another_seed_does_not() -> None:
    first, second, other = (World(replace(CALM, seed=seed)).play().rows for seed in (5, 5, 6))
    assert first == second != other


def test_overloaded_fleet_rejects_requests_and_breaks_no_rule() -> None:
    trace = World(replace(CALM, streams=(Stream(0, 600.0), Stream(1, 100.0)))).play()
    assert breaches(trace) == [] and share_of(trace, FinalResponse.REJECTED) > 0.2


class DropsRejections(Balancer):
    """Rejects requests without a response."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(settings, host)
        host.reject = lambda request, retry_after: None  # type: ignore[method-assign]


class RetriesAfterResets(Balancer):
    """Retries every request after a reset, and rejects each request that it gives up."""

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        pending = self._pending.get(outcome.request)
        if pending is not None and outcome.result is AttemptResult.RESET:
            endpoint = next(
                candidate for candidate in self._active if candidate.entry.number != outcome.endpoint
            )
            self._host.send_attempt(outcome.request, endpoint.entry.number, 1.0)
        super().attempt_ended(outcome)

    def _is_rejection_safe(self, pending: object) -> bool:
        return True


class IgnoresListUpdates(Balancer):
    """Ignores all updates after the cached list."""

    def list_updated(self, update: ListUpdate, entries: object) -> None:
        if update is ListUpdate.CACHED:
            super().list_updated(update, entries)  # type: ignore[arg-type]


class StopsPollingAfterFailure(Balancer):
    """Ignores failed polls, and so never polls the list again after one."""

    def list_updated(self, update: ListUpdate, entries: object) -> None:
        if update is not ListUpdate.FAILED:
            super().list_updated(update, entries)  # type: ignore[arg-type]


class IgnoresCancellations(Balancer):
    """Continues requests that their clients have cancelled."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(settings, host)
        self._cancelled_requests: set[int] = set()

    def request_cancelled(self, request: int) -> None:
        self._cancelled_requests.add(request)

    def attempt_ended(self, outcome: AttemptOutcome) -> None:
        super().attempt_ended(
            replace(outcome, final=outcome.final and outcome.request not in self._cancelled_requests)
        )


class NoSlowStart(SlowStart):
    def is_warming_up(self, endpoint: object, now: float) -> bool:
        return False


class SkipsSlowStart(Balancer):
    """Treats each endpoint as warm."""

    def settings_changed(
        self, settings: BalancerSettings, request_classes: Mapping[int, RequestClass]
    ) -> None:
        super().settings_changed(settings, request_classes)
        self._slow_start = NoSlowStart(settings)


class UnlimitedRetryBudget(RetryBudget):
    def allows_retry(self, now: float) -> bool:
        return True


class RetriesWithoutBudget(Balancer):
    """Retries without a budget."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(settings, host)
        self._retry_budget = UnlimitedRetryBudget()


class NeverProbes(Balancer):
    """Sends no probes."""

    def _send_next_probe(self) -> None:
        pass


class AnswersTwice(Balancer):
    """Answers each rejected request twice."""

    def __init__(self, settings: BalancerSettings, host: BalancerHost) -> None:
        super().__init__(settings, host)
        reject = host.reject

        def reject_and_fail(request: int, retry_after: float) -> None:
            reject(request, retry_after)
            host.fail(request)

        host.reject = reject_and_fail  # type: ignore[method-assign]


STEADY_LOAD = (Stream(0, 150.0), Stream(1, 40.0))
COLD_STARTS = replace(
    CALM, streams=STEADY_LOAD, servers=6, cold_share=0.05, cold_time=10.0, list_delay=0.0, tip_multiple=2.0
)
HIGH_LOAD = (Stream(0, 250.0), Stream(1, 60.0))
DRAIN = Fault(Kind.DRAIN, 4.0, 15.9, (0, 1, 2))
LIST_DOWN = replace(CALM, streams=STEADY_LOAD, length=16.0, faults=(Fault(Kind.LIST_DOWN, 1.0, 3.0), DRAIN))
LIST_SPLIT = replace(LIST_DOWN, faults=(Fault(Kind.LIST_SPLIT, 1.0, 5.0, size=0.7), DRAIN))
LIST_SILENT = replace(LIST_DOWN, faults=(Fault(Kind.LIST_SILENT, 2.0, 2.1), DRAIN))


@pytest.mark.parametrize(
    ("balancer_type", "checker", "scenario"),
    [
        (DropsRejections, "one_answer", replace(CALM, streams=(Stream(0, 500.0),), length=6.0)),
        (AnswersTwice, "one_answer", replace(CALM, streams=(Stream(0, 500.0),), length=6.0)),
        (RetriesAfterResets, "no_double_effects", replace(CALM, faults=FAULTS["crash"], streams=HIGH_LOAD)),
        (IgnoresListUpdates, "clean_drains", replace(CALM, faults=FAULTS["release"])),
        (IgnoresCancellations, "none_for_the_gone", replace(CALM, streams=HIGH_LOAD, client_leaves=0.3)),
        (StopsPollingAfterFailure, "told_in_time", LIST_DOWN),
        (StopsPollingAfterFailure, "told_in_time", LIST_SPLIT),
        (
            SkipsSlowStart,
            "gentle_fail_back",
            replace(COLD_STARTS, faults=FAULTS["crash"], length=9.0),
        ),
        (
            RetriesWithoutBudget,
            "retry_bound",
            replace(CALM, faults=(Fault(Kind.CRASH, 1.0, 12.0, tuple(range(8))),)),
        ),
        (NeverProbes, "probe_bound", CALM),
    ],
)
def test_each_checker_detects_a_balancer_that_breaks_its_rule(
    balancer_type: Callable[[BalancerSettings, BalancerHost], Balancer], checker: str, scenario: Scenario
) -> None:
    assert not [text for text in breaches(World(scenario).play()) if text.startswith(checker)]
    assert [text for text in breaches(World(scenario, balancer_type).play()) if text.startswith(checker)]


def test_endpoint_changes_reach_every_node_through_discovery() -> None:
    scenario = replace(CALM, nodes=40, faults=(Fault(Kind.DRAIN, 6.0, 11.9, (0,)),), length=30.0)
    rows = World(scenario).play().rows
    notified_nodes = {
        row.node
        for row in rows
        if isinstance(row, EndpointNotified) and row.state is not EndpointState.ACTIVE
    }
    assert notified_nodes == set(range(40))


class WaitsForever(ListWatch):
    """Waits for the response to a silent poll longer than a run lasts."""

    def poll_started(self, now: float, wait: float) -> float:
        return 1000.0


def test_node_that_never_times_out_a_silent_watch_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def drain_notified(trace: Trace) -> bool:
        return any(
            isinstance(row, EndpointNotified) and row.state is EndpointState.DRAINING for row in trace.rows
        )

    for seed in (1, 2, 3):
        trace = World(replace(LIST_SILENT, seed=seed)).play()
        assert drain_notified(trace) and breaches(trace) == []
    monkeypatch.setattr(node, "ListWatch", WaitsForever)
    trace = World(LIST_SILENT).play()
    assert not drain_notified(trace)
    assert {text.partition(":")[0] for text in breaches(trace)} == {"told_in_time"}


PUBLISHED_AT = 10.0  # s; when discovery has the change
EFFECTIVE_AT = PUBLISHED_AT + EFFECTIVE_AFTER_S
REACHABLE = DiscoveryReachable(0.0, 1, 0, True)
DRAINING = EndpointPublished(PUBLISHED_AT, 0, 5, EndpointState.DRAINING)
UNREACHABLE, REACHABLE_AGAIN = (
    DiscoveryReachable(PUBLISHED_AT - 1, 1, 0, False),
    DiscoveryReachable(PUBLISHED_AT + 20, 1, 0, True),
)


def attempt_to(at: float, node: int = 1, endpoint: int = 5) -> AttemptSent:
    return AttemptSent(at, node, 1, 0, endpoint)


@pytest.mark.parametrize(
    ("rows", "is_breach"),
    [
        # Discovery is always reachable, as with a watch that has fallen silent: 6 s, and the grace.
        ([REACHABLE, DRAINING, attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S)], False),
        ([REACHABLE, DRAINING, attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S + 0.01)], True),
        (
            [REACHABLE, DRAINING, attempt_to(PUBLISHED_AT + 2.0), attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S)],
            False,
        ),
        ([REACHABLE, DRAINING, attempt_to(EFFECTIVE_AT + 9.0, endpoint=6)], False),
        (
            [
                REACHABLE,
                EndpointPublished(PUBLISHED_AT, 0, 5, EndpointState.REMOVED),
                attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S + 0.01),
            ],
            True,
        ),
        (
            [
                REACHABLE,
                DRAINING,
                EndpointPublished(PUBLISHED_AT + 5.0, 0, 5, EndpointState.REMOVED),
                attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S + 0.01),
            ],
            True,
        ),
        # A notice of the change is checked by another rule.
        (
            [
                REACHABLE,
                DRAINING,
                EndpointNotified(PUBLISHED_AT + 0.1, 1, 5, EndpointState.DRAINING),
                attempt_to(EFFECTIVE_AT),
            ],
            False,
        ),
        (
            [
                REACHABLE,
                DRAINING,
                EndpointNotified(PUBLISHED_AT + 0.1, 1, 5, EndpointState.DRAINING),
                attempt_to(EFFECTIVE_AT + 1.0),
            ],
            True,
        ),
        # Discovery is unreachable: the time counts from the end of that.
        ([REACHABLE, UNREACHABLE, DRAINING, attempt_to(PUBLISHED_AT + 30.0)], False),
        (
            [
                REACHABLE,
                UNREACHABLE,
                DRAINING,
                REACHABLE_AGAIN,
                attempt_to(REACHABLE_AGAIN.at + EFFECTIVE_AFTER_S + DRAIN_GRACE_S),
            ],
            False,
        ),
        (
            [
                REACHABLE,
                UNREACHABLE,
                DRAINING,
                REACHABLE_AGAIN,
                attempt_to(REACHABLE_AGAIN.at + EFFECTIVE_AFTER_S + DRAIN_GRACE_S + 0.01),
            ],
            True,
        ),
        (
            [
                REACHABLE,
                DRAINING,
                DiscoveryReachable(PUBLISHED_AT + 5.9, 1, 0, False),
                attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S + 1.0),
            ],
            False,
        ),
        (
            [
                REACHABLE,
                DRAINING,
                DiscoveryReachable(EFFECTIVE_AT + 0.1, 1, 0, False),
                attempt_to(EFFECTIVE_AT + DRAIN_GRACE_S + 1.0),
            ],
            True,
        ),
        (
            [
                REACHABLE,
                DiscoveryReachable(0.0, 2, 0, True),
                UNREACHABLE,
                DRAINING,
                attempt_to(EFFECTIVE_AT + 9.0, node=2),
            ],
            True,
        ),
        # The endpoint is started again, and changes after that.
        (
            [
                REACHABLE,
                DRAINING,
                EndpointPublished(PUBLISHED_AT + 1, 0, 5, EndpointState.ACTIVE),
                attempt_to(EFFECTIVE_AT + 9.0),
            ],
            False,
        ),
        (
            [
                *(REACHABLE, DRAINING, EndpointPublished(PUBLISHED_AT + 1, 0, 5, EndpointState.ACTIVE)),
                *(
                    EndpointPublished(PUBLISHED_AT + 9, 0, 5, EndpointState.REMOVED),
                    attempt_to(PUBLISHED_AT + 9 + EFFECTIVE_AFTER_S + DRAIN_GRACE_S),
                ),
            ],
            False,
        ),
        (
            [
                *(REACHABLE, DRAINING, EndpointPublished(PUBLISHED_AT + 1, 0, 5, EndpointState.ACTIVE)),
                *(
                    EndpointPublished(PUBLISHED_AT + 9, 0, 5, EndpointState.REMOVED),
                    attempt_to(PUBLISHED_AT + 9 + EFFECTIVE_AFTER_S + DRAIN_GRACE_S + 0.01),
                ),
            ],
            True,
        ),
        # A node of another tier, and one that started with the list as it was after the change.
        ([DiscoveryReachable(0.0, 1, 1, True), DRAINING, attempt_to(EFFECTIVE_AT + 9.0)], False),
        ([DRAINING, DiscoveryReachable(PUBLISHED_AT + 1, 1, 0, True), attempt_to(EFFECTIVE_AT + 9.0)], False),
        (
            [
                DiscoveryReachable(PUBLISHED_AT - 1, 1, 0, False),
                DRAINING,
                DiscoveryReachable(PUBLISHED_AT + 1, 1, 0, True),
                attempt_to(EFFECTIVE_AT + 2.0),
            ],
            True,
        ),
    ],
)
def test_change_takes_effect_6_s_after_it_is_published_and_discovery_is_reachable(
    rows: list[TraceRow], is_breach: bool
) -> None:
    trace = Trace(tuple(rows), CALM.profiles, DRAIN_GRACE_S, 0.01, rows[-1].at)
    assert bool(list(told_in_time(trace))) is is_breach


CANCELLED = RequestAnswered(10.0, 1, 1, FinalResponse.CANCELLED)


def attempt_of(at: float, node: int = 1, request: int = 1, attempt: int = 1) -> AttemptSent:
    return AttemptSent(at, node, request, attempt, 5)


@pytest.mark.parametrize(
    ("rows", "is_breach"),
    [
        ([CANCELLED, attempt_of(10.09)], False),
        ([CANCELLED, attempt_of(10.11)], True),
        ([CANCELLED, attempt_of(10.11, attempt=0)], True),
        ([CANCELLED, attempt_of(10.05), attempt_of(10.11, attempt=2)], True),
        ([CANCELLED, attempt_of(15.0, request=2), attempt_of(15.0, node=2)], False),
        # Detected by one_answer.
        ([RequestAnswered(10.0, 1, 1, FinalResponse.SUCCEEDED), attempt_of(15.0)], False),
        ([ClientClosed(10.0, 1, 1), attempt_of(10.09)], False),
        ([ClientClosed(10.0, 1, 1), attempt_of(10.11)], True),
        ([attempt_of(9.0, attempt=0), CANCELLED], False),
    ],
)
def test_attempt_after_the_client_has_closed_is_detected(rows: list[TraceRow], is_breach: bool) -> None:
    trace = Trace(tuple(rows), CALM.profiles, DRAIN_GRACE_S, 0.01, rows[-1].at)
    assert bool(list(none_for_the_gone(trace))) is is_breach


@pytest.mark.parametrize(
    ("final", "cancel_delay", "sent_after", "is_breach"),
    [
        (FinalResponse.CANCELLED, 0.0, 0.0, True),
        (FinalResponse.CANCELLED, CANCEL_GRACE_S, 0.09, False),
        (FinalResponse.CANCELLED, CANCEL_GRACE_S, 0.11, True),
        # A server may read an attempt later by up to `cancel_delay`.
        (FinalResponse.CANCELLED, CANCEL_GRACE_S + 0.05, 0.14, False),
        (FinalResponse.CANCELLED, CANCEL_GRACE_S + 0.05, 0.16, True),
        (FinalResponse.SUCCEEDED, CANCEL_GRACE_S, 0.0, True),
        (FinalResponse.REJECTED, CANCEL_GRACE_S, 0.09, True),
    ],
)
def test_attempt_on_sockets_may_cross_a_cancellation_but_no_other_final_response(
    final: FinalResponse, cancel_delay: float, sent_after: float, is_breach: bool
) -> None:
    rows = (
        RequestAccepted(9.0, 1, 1, 0, 12.0, 1),
        RequestAnswered(10.0, 1, 1, final),
        attempt_of(10.0 + sent_after),
    )
    trace = Trace(rows, CALM.profiles, DRAIN_GRACE_S, 0.01, 11.0, cancel_delay=cancel_delay)
    assert bool(list(one_answer(trace))) is is_breach
    is_late = final is FinalResponse.CANCELLED and sent_after > max(CANCEL_GRACE_S, cancel_delay)
    assert bool(list(none_for_the_gone(trace))) is is_late


def test_clients_that_leave_early_do_not_retry() -> None:
    trace = World(replace(CALM, streams=HIGH_LOAD, client_leaves=1.0)).play()
    assert breaches(trace) == []
    requests_of: dict[int, list[RequestAccepted]] = {}
    for row in trace.rows:
        if isinstance(row, RequestAccepted):
            requests_of.setdefault(row.first_request, []).append(row)
    first_of = {(row.node, row.request): first for first, rows in requests_of.items() for row in rows}
    cancelled = [
        row for row in trace.rows if isinstance(row, RequestAnswered) and row.final is FinalResponse.CANCELLED
    ]
    assert len(cancelled) > 100
    for row in cancelled:
        assert requests_of[first_of[row.node, row.request]][-1].request == row.request
