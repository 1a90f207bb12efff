"""What must never happen to one request, checked at run time from what was done, whoever decided it.

The checks share no code with the decisions: each act is told here after it was done, and what breaks a rule
is returned, to be counted and logged. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from notchjunction.balancing.interface import AttemptResult, Idempotency

# s by which a server may be told more than is left: the operators', for a process that is held up between its
# clock and its act.
TOLD_SLACK = 0.15
LATE_ANSWER = 0.5  # s past its deadline from which an answer counts as lost; the operators'
NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.NO_CONNECTION, AttemptResult.NOT_SENT)


class Violation(Enum):
    """What was broken; the values name counters."""

    SENT_AFTER_END = "sent_after_end"
    SENT_TO_UNLISTED = "sent_to_unlisted"
    TOLD_TOO_LONG = "told_too_long"
    MAY_RUN_TWICE = "may_run_twice"
    REFUSED_AFTER_RUN = "refused_after_run"
    ANSWERED_TWICE = "answered_twice"
    ANSWERED_LATE = "answered_late"
    CLOSED_UNANSWERED = "closed_unanswered"


@dataclass(slots=True)
class RequestLedger:
    """What was done about one request; moments in s on the node's clock."""

    idempotency: Idempotency
    deadline_at: float  # the earliest that it can be, as it is not known when its bytes came
    arrived_at: float = 0.0
    may_have_run: dict[int, bool] = field(default_factory=dict)  # by attempt, those that were written
    answered: bool = False
    client_gone: bool = False

    def attempt_written(self, attempt: int, now: float, told: float, listed: bool) -> list[Violation]:
        """An attempt has been written; `told` in s."""
        found = []
        if self.answered or self.client_gone:
            found.append(Violation.SENT_AFTER_END)
        if not listed:
            found.append(Violation.SENT_TO_UNLISTED)
        if now + told > self.deadline_at + TOLD_SLACK:
            found.append(Violation.TOLD_TOO_LONG)
        if self.idempotency is Idempotency.NON_IDEMPOTENT and any(self.may_have_run.values()):
            found.append(Violation.MAY_RUN_TWICE)
        self.may_have_run[attempt] = True
        return found

    def attempt_ended(self, attempt: int, result: AttemptResult) -> None:
        """How an attempt that was written has ended."""
        if attempt in self.may_have_run:
            self.may_have_run[attempt] = result not in NEVER_RAN

    def response_sent(self, now: float, refused: bool) -> list[Violation]:
        """The caller is given its final answer; `refused`: one that says that nothing was done."""
        found = []
        if self.answered:
            found.append(Violation.ANSWERED_TWICE)
        # One that was late already as it was read is answered at once.
        if now > max(self.deadline_at, self.arrived_at) + LATE_ANSWER:
            found.append(Violation.ANSWERED_LATE)
        if refused and self.idempotency is Idempotency.NON_IDEMPOTENT and any(self.may_have_run.values()):
            found.append(Violation.REFUSED_AFTER_RUN)
        self.answered = True
        return found

    def connection_closed(self) -> list[Violation]:
        """The node closes the caller's connection, or loses it."""
        if self.answered or self.client_gone:
            return []
        return [Violation.CLOSED_UNANSWERED]
