"""Run-time invariants of one request, checked against what was done, independently of the code that decided.

The checks share no code with the decisions. Each action is recorded here after it was done, and the
invariants that it violates are returned, to be counted and logged. Pure: no I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from notchjunction.balancing.interface import AttemptResult, Idempotency

# The deadline sent to an endpoint may exceed the time left by this much, as a process may be delayed between
# reading the clock and the write; set by the operators.
SENT_DEADLINE_TOLERANCE_S = 0.15
# A response this long past its request's deadline counts as lost; set by the operators.
MAX_RESPONSE_DELAY_S = 0.5
# Results of attempts that the endpoint did not run.
NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT)


class Violation(Enum):
    """An invariant that was violated; the values name counters."""

    SENT_AFTER_END = "sent_after_end"
    SENT_TO_UNLISTED = "sent_to_unlisted"
    DEADLINE_TOO_LONG = "told_too_long"
    MAY_RUN_TWICE = "may_run_twice"
    REJECTED_AFTER_RUN = "refused_after_run"
    ANSWERED_TWICE = "answered_twice"
    ANSWERED_LATE = "answered_late"
    CLOSED_UNANSWERED = "closed_unanswered"


@dataclass(slots=True)
class RequestLedger:
    """The actions on one request; moments are seconds on the node's clock."""

    idempotency: Idempotency
    deadline_at: float  # the earliest possible one, as it is not known when the request's bytes arrived
    arrived_at: float = 0.0
    # For each attempt that was written, by its number.
    may_have_run: dict[int, bool] = field(default_factory=dict)
    answered: bool = False
    client_gone: bool = False

    def attempt_written(
        self, attempt: int, now: float, sent_deadline: float, listed: bool
    ) -> list[Violation]:
        """Records that an attempt was written; returns the invariants that this violates.

        Args:
            attempt: its number.
            now: the node's clock (s) at the write.
            sent_deadline: the deadline (s from now) sent with it.
            listed: whether the list had its endpoint as active, with the address written to.
        """
        violations = []
        if self.answered or self.client_gone:
            violations.append(Violation.SENT_AFTER_END)
        if not listed:
            violations.append(Violation.SENT_TO_UNLISTED)
        if now + sent_deadline > self.deadline_at + SENT_DEADLINE_TOLERANCE_S:
            violations.append(Violation.DEADLINE_TOO_LONG)
        if self.idempotency is Idempotency.NON_IDEMPOTENT and any(self.may_have_run.values()):
            violations.append(Violation.MAY_RUN_TWICE)
        self.may_have_run[attempt] = True
        return violations

    def attempt_ended(self, attempt: int, result: AttemptResult) -> None:
        """Records how an attempt ended; one that was never written is ignored."""
        if attempt in self.may_have_run:
            self.may_have_run[attempt] = result not in NEVER_RAN

    def body_incomplete(self) -> None:
        """Records that the last byte of the request's body never arrived, so that no attempt can have run."""
        self.may_have_run = dict.fromkeys(self.may_have_run, False)

    def response_sent(self, now: float, rejected: bool) -> list[Violation]:
        """Records the final response to the client; returns the invariants that this violates.

        Args:
            now: the node's clock (s).
            rejected: whether the response says that nothing was done.
        """
        violations = []
        if self.answered:
            violations.append(Violation.ANSWERED_TWICE)
        # A request that is read after its deadline is answered at once.
        if now > max(self.deadline_at, self.arrived_at) + MAX_RESPONSE_DELAY_S:
            violations.append(Violation.ANSWERED_LATE)
        if rejected and self.idempotency is Idempotency.NON_IDEMPOTENT and any(self.may_have_run.values()):
            violations.append(Violation.REJECTED_AFTER_RUN)
        self.answered = True
        return violations

    def connection_closed(self) -> list[Violation]:
        """Records that the node closed the client's connection; returns the invariants that this violates."""
        if self.answered or self.client_gone:
            return []
        return [Violation.CLOSED_UNANSWERED]
