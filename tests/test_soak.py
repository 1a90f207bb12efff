"""Tests of the soak: its oracle detects each violated invariant, and a few seeds run on real processes."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from notchjunction.soak.__main__ import play, seeds_in
from notchjunction.soak.events import (
    Attempt,
    BackendStart,
    CutResponse,
    Disposition,
    Effect,
    Exchange,
    Journal,
    MemoryUse,
    Notified,
    ProcessExit,
    Published,
    Reachable,
)
from notchjunction.soak.oracle import Limits, violations
from notchjunction.soak.plan import Kind, draw

LIMITS = Limits(
    deduplication_window=3.0,
    slow_start_time=4.0,
    slow_start_share=0.5,
    overload_multiple=2.0,
    overload_span=2.0,
    capacity=10.0,
)
SENT_AT = 100.0  # s
BODY = b"response to r1"


def exchange(effect: Effect = Effect.SAFE) -> Exchange:
    """Returns a request that got its response a second after it was sent."""
    return Exchange("r1", "n0", effect, 2.0, SENT_AT, SENT_AT, True, SENT_AT + 1.0, 200, BODY)


def attempt(at: float = SENT_AT + 0.1, **changes: object) -> Attempt:
    """Returns an attempt of that request that the backend executed, with some fields changed."""
    valid = Attempt(at, at, "s0", "z0", "r1", SENT_AT + 2.0 - at, Disposition.EXECUTED)
    return replace(valid, **changes)  # type: ignore[arg-type]


def journal_of(observed: Exchange, *attempts: Attempt) -> Journal:
    """Returns the journal of a run with one request and its attempts."""
    return Journal(
        attempts=list(attempts),
        exchanges=[observed],
        reachable=[Reachable(0.0, "n0", True)],
        response_bodies={"r1": {BODY}},
    )


def violated(journal: Journal) -> set[str]:
    """Returns the names of the violated invariants."""
    return {violation.invariant for violation in violations(journal, LIMITS)}


def test_a_correct_run_violates_nothing() -> None:
    assert violated(journal_of(exchange(), attempt())) == set()


def changed(observed: Exchange, **changes: object) -> Exchange:
    """Returns an exchange with some fields changed."""
    return replace(observed, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "observations",
    [
        journal_of(changed(exchange(), status=None, ended_at=SENT_AT + 2.8), attempt()),  # no response at all
        journal_of(changed(exchange(), ended_at=SENT_AT + 2.6), attempt()),  # over 0.5 s late
        journal_of(changed(exchange(), status=None, ended_at=None, closed_at=SENT_AT + 0.5), attempt()),
        # Read, then closed.
        journal_of(changed(exchange(), status=None, ended_at=None, closed_at=SENT_AT + 0.5)),
        journal_of(changed(exchange(), body=b"of another"), attempt()),
        journal_of(exchange(), attempt(), attempt(SENT_AT + 1.2)),  # sent after its response
        journal_of(
            changed(exchange(), status=None, ended_at=None, cancelled_at=SENT_AT), attempt(SENT_AT + 0.2)
        ),
        journal_of(exchange(), attempt(time_left_seconds=2.2)),  # reports more time than is left
    ],
)
def test_a_lost_request_is_detected(observations: Journal) -> None:
    assert violated(observations) == {"lost"}


def test_an_unread_request_at_the_close_of_its_connection_is_not_lost() -> None:
    unread = changed(exchange(), status=None, ended_at=None, closed_at=SENT_AT + 0.01)
    assert violated(journal_of(unread)) == set()


def test_a_duplicate_execution_is_detected() -> None:
    repeat = attempt(SENT_AT + 0.5, backend="s1")
    assert violated(journal_of(exchange(Effect.UNSAFE), attempt(), repeat)) == {"duplicate"}
    assert violated(journal_of(exchange(Effect.KEYED), attempt(), repeat)) == set()
    other_zone = attempt(SENT_AT + 0.5, backend="s1", zone="z1")
    assert violated(journal_of(exchange(Effect.KEYED), attempt(), other_zone)) == {"duplicate"}
    long_deadline = changed(exchange(Effect.KEYED), deadline_seconds=9.0, ended_at=SENT_AT + 6.0)
    assert violated(journal_of(long_deadline, attempt(), attempt(SENT_AT + 5.0))) == {"duplicate"}
    rejected = changed(exchange(Effect.UNSAFE), status=503)
    assert violated(journal_of(rejected, attempt())) == {"duplicate"}
    assert violated(journal_of(rejected, attempt(disposition=Disposition.DECLINED))) == set()


def test_an_attempt_at_a_draining_backend_is_detected_with_and_without_a_notification() -> None:
    notified = journal_of(exchange(), attempt())
    notified.notified = [Notified(SENT_AT - 0.6, "n0", "s0", False)]
    assert violated(notified) == {"drain"}
    notified.notified.append(Notified(SENT_AT - 0.3, "n0", "s0", True))
    assert violated(notified) == set()
    unnotified = journal_of(exchange(), attempt())
    unnotified.published = [Published(SENT_AT - 7.0, "s0", False)]
    assert violated(unnotified) == {"drain"}
    unnotified.reachable += [Reachable(SENT_AT - 5.0, "n0", False), Reachable(SENT_AT - 1.0, "n0", True)]
    assert violated(unnotified) == set()


def test_an_overload_in_slow_start_and_a_crash_are_detected() -> None:
    burst = [attempt(SENT_AT + 0.1 + 0.001 * number) for number in range(50)]
    overloaded = journal_of(exchange(), attempt(), *burst)
    overloaded.backend_starts = [BackendStart(SENT_AT, "s0")]
    assert violated(overloaded) == set()  # discovery has not notified the node of the start
    overloaded.notified = [Notified(SENT_AT - 1.0, "n0", "s0", True)]
    assert violated(overloaded) == set()  # the notification is older than the start
    overloaded.notified.append(Notified(SENT_AT + 0.05, "n0", "s0", True))
    assert violated(overloaded) == {"failback"}
    overloaded.notified.clear()
    overloaded.backend_starts = [BackendStart(SENT_AT - 6.0, "s0")]
    assert violated(overloaded) == set()  # its slow start is over
    long_slow_start = replace(LIMITS, slow_start_time=20.0)
    # The node counts as notified.
    assert {violation.invariant for violation in violations(overloaded, long_slow_start)} == {"failback"}
    crashed = journal_of(exchange(), attempt())
    crashed.process_exits = [ProcessExit(SENT_AT + 5.0, "n0", None, 1)]
    assert violated(crashed) == {"crash"}
    crashed.process_exits = [ProcessExit(SENT_AT + 5.0, "n0", SENT_AT + 4.0, 0)]
    assert violated(crashed) == set()


def test_a_plan_depends_on_its_seed_alone_and_plans_differ() -> None:
    assert draw(7) == draw(7) != draw(8)
    kinds = {fault.kind for seed in range(60) for fault in draw(seed).faults}
    assert kinds == set(Kind)
    plans = [draw(seed) for seed in range(60)]
    overlaps = [
        fault
        for plan in plans
        for fault, following in zip(plan.faults, plan.faults[1:], strict=False)
        if following.at < fault.until
    ]
    assert len(overlaps) > 200
    assert seeds_in("1-3,9") == [1, 2, 3, 9]


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", [4, 10, 16])
def test_a_few_seeds_on_real_processes_violate_nothing(seed: int, tmp_path: Path) -> None:
    """Plays overlapping faults; 50 or more seeds are played by hand with `python -m notchjunction.soak`."""
    result = play(seed, tmp_path, nodes=None, seconds=8.0, backends=None)
    assert result.succeeded > 100
    assert [str(violation) for violation in result.violations] == []


def long_response(observed: Exchange, head_at: float = SENT_AT + 0.1) -> Journal:
    """Returns the journal of a request whose long response the node cut off at its backend."""
    journal = journal_of(observed, attempt())
    journal.long_responses = {"r1"}
    journal.cut_responses = [CutResponse(SENT_AT + 0.9, head_at, "r1")]
    return journal


def test_a_long_response_that_the_node_cuts_off_is_detected() -> None:
    rejected = changed(exchange(), status=503, body=b"")
    assert violated(long_response(rejected)) == {"lost"}
    assert violated(long_response(exchange())) == set()  # of another attempt
    gone = changed(exchange(), status=None, ended_at=None, cancelled_at=SENT_AT + 0.8)
    assert violated(long_response(gone)) == set()
    assert violated(long_response(rejected, head_at=SENT_AT + 1.9)) == set()  # too late for the client
    ending = long_response(rejected)
    ending.process_exits = [ProcessExit(SENT_AT + 1.0, "n0", SENT_AT, 0)]
    assert violated(ending) == set()


def test_the_first_bytes_of_a_long_response_are_due_by_the_deadline_and_its_last_ones_later() -> None:
    late = changed(exchange(), ended_at=SENT_AT + 5.0, response_begun=True, begun_at=SENT_AT + 1.0)
    assert violated(journal_of(late, attempt())) == {"lost"}
    long = journal_of(late, attempt())
    long.long_responses = {"r1"}
    assert violated(long) == set()
    long.exchanges = [changed(late, begun_at=SENT_AT + 2.6)]
    assert violated(long) == {"lost"}


def test_a_node_over_its_memory_limit_is_detected() -> None:
    journal = journal_of(exchange(), attempt())
    journal.memory_peaks = {"n0": MemoryUse(SENT_AT, "n0", 33.0)}
    limits = replace(LIMITS, memory_mb=32.0)
    assert {violation.invariant for violation in violations(journal, limits)} == {"memory"}
    assert violations(journal, replace(limits, memory_mb=64.0)) == []
