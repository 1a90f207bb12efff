"""Preconditions at the moment of an act, and the invariants that are checked after it."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import replace
from typing import Any

import pytest

from notchjunction import protocol
from notchjunction.balancing.interface import AttemptResult, Idempotency
from notchjunction.net.event_loop import ObservedLoop
from notchjunction.safety.invariants import (
    MAX_RESPONSE_DELAY_S,
    SENT_DEADLINE_TOLERANCE_S,
    RequestLedger,
    Violation,
)
from notchjunction.safety.preconditions import (
    MAX_NETWORK_MARGIN_S,
    MAX_PROCESS_DELAY_S,
    MIN_SENT_DEADLINE_S,
    NETWORK_MARGIN_SHARE,
    AdmissionFacts,
    AttemptFacts,
    ConnectionFacts,
    Refusal,
    deadline_to_send,
    may_close,
    may_start,
    may_write,
)
from notchjunction.telemetry.flight_recorder import MAX_ENTRIES, MAX_REPORTS, FlightRecorder, Occurrence
from tests.helpers import Peer, RawClient, running

SOUND = AttemptFacts(now=10.0, expires_at=11.0, is_wanted=True, client_connected=True, listed=True)


def test_an_attempt_whose_facts_all_hold_may_be_written() -> None:
    assert may_write(SOUND) is None
    assert may_write(replace(SOUND, repeatable_until=10.0 + MAX_PROCESS_DELAY_S + 0.01)) is None


@pytest.mark.parametrize(
    ("changed", "refusal"),
    [
        ({"is_wanted": False}, Refusal.REQUEST_ENDED),
        ({"client_connected": False}, Refusal.CLIENT_GONE),
        ({"listed": False}, Refusal.NOT_LISTED),
        ({"now": 11.0}, Refusal.DEADLINE_PASSED),
        ({"repeatable_until": -math.inf}, Refusal.MAY_HAVE_RUN),
        ({"repeatable_until": 10.0}, Refusal.MAY_HAVE_RUN),
        # The process may be delayed between its clock and the write.
        ({"repeatable_until": 10.0 + MAX_PROCESS_DELAY_S}, Refusal.MAY_HAVE_RUN),
    ],
)
def test_one_fact_that_does_not_hold_is_enough_to_withhold_an_attempt(
    changed: dict[str, Any], refusal: Refusal
) -> None:
    assert may_write(replace(SOUND, **changed)) is refusal


def test_an_endpoint_is_never_sent_more_than_the_time_left() -> None:
    assert deadline_to_send(10.0, 11.5) == pytest.approx(1.5 - MAX_NETWORK_MARGIN_S)
    assert deadline_to_send(10.0, 10.1) == pytest.approx(0.1 * (1 - NETWORK_MARGIN_SHARE))
    assert deadline_to_send(10.0, 9.0) == MIN_SENT_DEADLINE_S


@pytest.mark.parametrize(
    ("facts", "refusal"),
    [
        (ConnectionFacts(False, False, False), None),
        (ConnectionFacts(True, False, False), Refusal.REQUEST_PENDING),
        (ConnectionFacts(False, True, False), Refusal.REQUEST_PENDING),
        (ConnectionFacts(False, False, True), Refusal.BYTES_UNREAD),
        (ConnectionFacts(False, False, False, closing=True), Refusal.CONNECTION_CLOSING),
    ],
)
def test_a_connection_is_closed_only_where_no_response_is_pending_on_it(
    facts: ConnectionFacts, refusal: Refusal | None
) -> None:
    assert may_close(facts) is refusal


def test_a_request_starts_once_and_not_on_a_connection_that_ends() -> None:
    assert may_start(AdmissionFacts(closing=False, is_duplicate=False)) is None
    assert may_start(AdmissionFacts(closing=True, is_duplicate=False)) is Refusal.CONNECTION_CLOSING
    assert may_start(AdmissionFacts(closing=False, is_duplicate=True)) is Refusal.DUPLICATE_REQUEST


def ledger(idempotency: Idempotency = Idempotency.NON_IDEMPOTENT) -> RequestLedger:
    return RequestLedger(idempotency, deadline_at=10.0)


def test_what_was_done_soundly_violates_no_invariant() -> None:
    sound = ledger()
    assert sound.attempt_written(0, 8.0, 2.0, listed=True) == []
    sound.attempt_ended(0, AttemptResult.REJECTED)
    assert sound.attempt_written(1, 9.0, 1.0, listed=True) == []
    sound.attempt_ended(1, AttemptResult.SUCCEEDED)
    assert sound.response_sent(9.5, rejected=False) == []
    assert sound.connection_closed() == []


@pytest.mark.parametrize(
    "result", [AttemptResult.RESET, AttemptResult.TIMED_OUT, AttemptResult.ERROR, AttemptResult.UNKNOWN]
)
def test_an_attempt_after_one_that_may_have_run_is_detected(result: AttemptResult) -> None:
    again = ledger()
    again.attempt_written(0, 8.0, 2.0, listed=True)
    again.attempt_ended(0, result)
    assert again.attempt_written(1, 8.5, 1.5, listed=True) == [Violation.MAY_RUN_TWICE]
    harmless = ledger(Idempotency.IDEMPOTENT)
    harmless.attempt_written(0, 8.0, 2.0, listed=True)
    harmless.attempt_ended(0, result)
    assert harmless.attempt_written(1, 8.5, 1.5, listed=True) == []


def test_each_violation_is_detected() -> None:
    assert ledger().attempt_written(0, 8.0, 2.0, listed=False) == [Violation.SENT_TO_UNLISTED]
    assert ledger().attempt_written(0, 8.0, 2.0 + 2 * SENT_DEADLINE_TOLERANCE_S, listed=True) == [
        Violation.DEADLINE_TOO_LONG
    ]
    ended = ledger()
    assert ended.response_sent(9.0, rejected=True) == []
    assert ended.attempt_written(0, 9.0, 0.5, listed=True) == [Violation.SENT_AFTER_END]
    assert ended.response_sent(9.1, rejected=True) == [Violation.ANSWERED_TWICE, Violation.REJECTED_AFTER_RUN]
    assert ledger().response_sent(10.0 + 2 * MAX_RESPONSE_DELAY_S, rejected=False) == [
        Violation.ANSWERED_LATE
    ]
    read_late = RequestLedger(Idempotency.NON_IDEMPOTENT, deadline_at=10.0, arrived_at=11.0)
    assert read_late.response_sent(11.1, rejected=True) == []
    assert replace(read_late, answered=False).response_sent(11.6, rejected=True) == [Violation.ANSWERED_LATE]
    assert ledger().connection_closed() == [Violation.CLOSED_UNANSWERED]
    left = ledger()
    left.client_gone = True
    assert left.connection_closed() == []
    assert left.attempt_written(0, 8.0, 1.0, listed=True) == [Violation.SENT_AFTER_END]


def test_the_recorder_keeps_the_newest_and_logs_a_requests_entries_where_it_went_wrong(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = [0.0]
    recorder = FlightRecorder(lambda: clock[0])
    for number in range(MAX_ENTRIES + 5):
        recorder.note(Occurrence.REQUEST_ACCEPTED, f"r{number}", left=1.0)
    assert recorder.entries_of("r0") == [] and len(recorder.entries_of("r5")) == 1
    recorder.note(Occurrence.ATTEMPT_WRITTEN, "r9", server="s1", told=0.5)
    recorder.report("told_too_long", "r9", attempt=0)
    said = [record.getMessage() for record in caplog.records]
    assert said == ["anomaly", "request taken", "attempt written", "invariant broken"]
    caplog.clear()
    for _ in range(3 * MAX_REPORTS):
        recorder.report("told_too_long")
    assert len(caplog.records) == MAX_REPORTS - 1  # a storm of them says no more
    clock[0] += 60.0
    recorder.report("told_too_long")
    assert len(caplog.records) == MAX_REPORTS


class LateLoop(ObservedLoop):
    """A loop that is held up for a moment before a look at the sockets, where it is told to be."""

    hold = 0.0

    def _run_once(self) -> None:
        held, self.hold = self.hold, 0.0
        time.sleep(held)
        super()._run_once()  # type: ignore[misc]


@pytest.mark.parametrize("kept", [False, True])
def test_what_a_late_loop_has_left_unread_counts_against_its_callers_time(kept: bool) -> None:
    """On a connection that is let in late, and on one that is there."""

    async def story() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, LateLoop)
        async with Peer() as peer, running(peer) as (_, address):
            caller = await asyncio.to_thread(RawClient, address)
            if kept:
                caller.ask()
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.05)
            caller = caller if kept else RawClient(address)  # knocks while the loop does nothing
            caller.ask()
            loop.hold = 0.4
            async with asyncio.timeout(2):
                while len(peer.requests) < 1 + kept:
                    await asyncio.sleep(0.01)
            told = int(peer.requests[-1].headers[protocol.DEADLINE_MS]) / 1000
            assert 1.3 < told <= 1.6 + 0.01  # of 2 s

    with asyncio.Runner(loop_factory=LateLoop) as runner:
        runner.run(story())


def test_a_caller_of_the_first_moment_has_all_its_time() -> None:
    """The loop has not looked at the sockets since the listener was opened."""

    async def story() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._client_listener._queue_checked_at = node.now() + 1.0  # later than anything that has come
            caller = RawClient(address)
            caller.ask()  # before the loop lets it in
            found = await asyncio.get_running_loop().sock_recv(caller.socket, 65536)
            assert found.startswith(b"HTTP/1.1 200 ")

    asyncio.run(story())
