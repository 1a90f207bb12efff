"""Tests of the preconditions that are checked before an action, and of the invariants checked after it."""

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

VALID_FACTS = AttemptFacts(now=10.0, expires_at=11.0, is_wanted=True, client_connected=True, listed=True)


def test_an_attempt_that_meets_all_preconditions_may_be_written() -> None:
    assert may_write(VALID_FACTS) is None
    assert may_write(replace(VALID_FACTS, repeatable_until=10.0 + MAX_PROCESS_DELAY_S + 0.01)) is None


@pytest.mark.parametrize(
    ("changed", "refusal"),
    [
        ({"is_wanted": False}, Refusal.REQUEST_ENDED),
        ({"client_connected": False}, Refusal.CLIENT_GONE),
        ({"listed": False}, Refusal.NOT_LISTED),
        ({"now": 11.0}, Refusal.DEADLINE_PASSED),
        ({"repeatable_until": -math.inf}, Refusal.MAY_HAVE_RUN),
        ({"repeatable_until": 10.0}, Refusal.MAY_HAVE_RUN),
        # The process may be delayed between reading the clock and the write.
        ({"repeatable_until": 10.0 + MAX_PROCESS_DELAY_S}, Refusal.MAY_HAVE_RUN),
    ],
)
def test_one_unmet_precondition_prevents_an_attempt(changed: dict[str, Any], refusal: Refusal) -> None:
    assert may_write(replace(VALID_FACTS, **changed)) is refusal


def test_the_deadline_sent_to_an_endpoint_is_less_than_the_time_left() -> None:
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


def test_a_request_starts_only_once_and_not_on_a_closing_connection() -> None:
    assert may_start(AdmissionFacts(closing=False, is_duplicate=False)) is None
    assert may_start(AdmissionFacts(closing=True, is_duplicate=False)) is Refusal.CONNECTION_CLOSING
    assert may_start(AdmissionFacts(closing=False, is_duplicate=True)) is Refusal.DUPLICATE_REQUEST


def ledger(idempotency: Idempotency = Idempotency.NON_IDEMPOTENT) -> RequestLedger:
    return RequestLedger(idempotency, deadline_at=10.0)


def test_a_correctly_handled_request_violates_no_invariant() -> None:
    request = ledger()
    assert request.attempt_written(0, 8.0, 2.0, listed=True) == []
    request.attempt_ended(0, AttemptResult.REJECTED)
    assert request.attempt_written(1, 9.0, 1.0, listed=True) == []
    request.attempt_ended(1, AttemptResult.SUCCEEDED)
    assert request.response_sent(9.5, rejected=False) == []
    assert request.connection_closed() == []


@pytest.mark.parametrize(
    "result", [AttemptResult.RESET, AttemptResult.TIMED_OUT, AttemptResult.ERROR, AttemptResult.UNKNOWN]
)
def test_an_attempt_after_one_that_may_have_run_is_detected(result: AttemptResult) -> None:
    non_idempotent = ledger()
    non_idempotent.attempt_written(0, 8.0, 2.0, listed=True)
    non_idempotent.attempt_ended(0, result)
    assert non_idempotent.attempt_written(1, 8.5, 1.5, listed=True) == [Violation.MAY_RUN_TWICE]
    idempotent = ledger(Idempotency.IDEMPOTENT)
    idempotent.attempt_written(0, 8.0, 2.0, listed=True)
    idempotent.attempt_ended(0, result)
    assert idempotent.attempt_written(1, 8.5, 1.5, listed=True) == []


def test_each_violation_is_detected() -> None:
    assert ledger().attempt_written(0, 8.0, 2.0, listed=False) == [Violation.SENT_TO_UNLISTED]
    assert ledger().attempt_written(0, 8.0, 2.0 + 2 * SENT_DEADLINE_TOLERANCE_S, listed=True) == [
        Violation.DEADLINE_TOO_LONG
    ]
    rejected = ledger()
    assert rejected.response_sent(9.0, rejected=True) == []
    assert rejected.attempt_written(0, 9.0, 0.5, listed=True) == [Violation.SENT_AFTER_END]
    assert rejected.response_sent(9.1, rejected=True) == [
        Violation.ANSWERED_TWICE,
        Violation.REJECTED_AFTER_RUN,
    ]
    assert ledger().response_sent(10.0 + 2 * MAX_RESPONSE_DELAY_S, rejected=False) == [
        Violation.ANSWERED_LATE
    ]
    read_late = RequestLedger(Idempotency.NON_IDEMPOTENT, deadline_at=10.0, arrived_at=11.0)
    assert read_late.response_sent(11.1, rejected=True) == []
    assert replace(read_late, answered=False).response_sent(11.6, rejected=True) == [Violation.ANSWERED_LATE]
    assert ledger().connection_closed() == [Violation.CLOSED_UNANSWERED]
    disconnected = ledger()
    disconnected.client_gone = True
    assert disconnected.connection_closed() == []
    assert disconnected.attempt_written(0, 8.0, 1.0, listed=True) == [Violation.SENT_AFTER_END]


def test_the_flight_recorder_keeps_the_newest_entries_and_logs_those_of_a_reported_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = [0.0]
    recorder = FlightRecorder(lambda: clock[0])
    for number in range(MAX_ENTRIES + 5):
        recorder.note(Occurrence.REQUEST_ACCEPTED, f"r{number}", left=1.0)
    assert recorder.entries_of("r0") == [] and len(recorder.entries_of("r5")) == 1
    recorder.note(Occurrence.ATTEMPT_WRITTEN, "r9", server="s1", told=0.5)
    recorder.report("told_too_long", "r9", attempt=0)
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ["anomaly", "request taken", "attempt written", "invariant broken"]
    caplog.clear()
    for _ in range(3 * MAX_REPORTS):
        recorder.report("told_too_long")
    assert len(caplog.records) == MAX_REPORTS - 1  # further reports in the same interval are not logged
    clock[0] += 60.0
    recorder.report("told_too_long")
    assert len(caplog.records) == MAX_REPORTS


class BlockedLoop(ObservedLoop):
    """An event loop that blocks once for `block_for` seconds before it checks its sockets."""

    block_for = 0.0

    def _run_once(self) -> None:
        seconds, self.block_for = self.block_for, 0.0
        time.sleep(seconds)
        super()._run_once()  # type: ignore[misc]


@pytest.mark.parametrize("reuses_connection", [False, True])
def test_time_that_a_request_was_unread_by_a_blocked_loop_counts_against_its_deadline(
    reuses_connection: bool,
) -> None:
    """Both on a connection that is accepted late and on one that is open already."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, BlockedLoop)
        async with Peer() as peer, running(peer) as (_, address):
            client = await asyncio.to_thread(RawClient, address)
            if reuses_connection:
                client.ask()
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.05)
            client = client if reuses_connection else RawClient(address)  # connects while the loop is idle
            client.ask()
            loop.block_for = 0.4
            async with asyncio.timeout(2):
                while len(peer.requests) < 1 + reuses_connection:
                    await asyncio.sleep(0.01)
            deadline_sent = int(peer.requests[-1].headers[protocol.DEADLINE_MS]) / 1000
            assert 1.3 < deadline_sent <= 1.6 + 0.01  # of 2 s

    with asyncio.Runner(loop_factory=BlockedLoop) as runner:
        runner.run(scenario())


def test_the_first_client_after_the_start_has_its_whole_deadline() -> None:
    """The loop has not checked the sockets since the listener was opened."""

    async def scenario() -> None:
        async with Peer() as peer, running(peer) as (node, address):
            node._client_listener._queue_checked_at = node.now() + 1.0  # later than any arrival
            client = RawClient(address)
            client.ask()  # before the loop accepts it
            response = await asyncio.get_running_loop().sock_recv(client.socket, 65536)
            assert response.startswith(b"HTTP/1.1 200 ")

    asyncio.run(scenario())
