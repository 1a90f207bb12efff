"""The one place that decides whether something may be sent, repeated, closed or started at this moment.

A decision rests on facts: the list of servers, the time left, whether the caller is there, what earlier
attempts may have done. Between the decision and its act a connection comes up, a peer takes its bytes, or the
process is held up, and the facts change. So whoever acts gathers the facts anew in the moment of the act, and
asks here. Nothing may run between the answer and the act. Pure: no I/O and no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

HELD_UP = 0.15  # s that a process may be held up between its clock and its act; the operators'
WAY_MOST = 0.02  # s kept of what is left for the ways from the caller and to the server; nobody measures them
WAY_SHARE = 0.1  # of what is left that is kept for them at most: a request with little time needs it
TOLD_LEAST = 0.001  # s that a server can be told at least; the protocol counts whole milliseconds


class Refusal(Enum):
    """Why something may not be done now."""

    REQUEST_ENDED = "request ended"  # it has its final answer, or the attempt was recalled
    CLIENT_GONE = "client gone"
    NOT_LISTED = "not listed"  # the server drains, has left, is barred, or has moved
    DEADLINE_PASSED = "deadline passed"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    DUPLICATE_REQUEST = "duplicate request"  # another request of that id is under way here
    NO_QUOTA = "no quota"  # under a limit of the whole fleet
    CONNECTION_CLOSING = "connection closing"  # its sending has ended: no answer could be given
    REQUEST_PENDING = "request pending"  # one has been read, or has begun to come, and is not answered
    BYTES_UNREAD = "bytes unread"  # a close over them is a reset, and they may be a request


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """What decides whether an attempt may be written, as it is in the moment of the writing."""

    now: float  # s
    expires_at: float  # s; the end of the time that the attempt was given
    is_wanted: bool  # its job has no answer, and the attempt was not recalled
    client_connected: bool
    listed: bool  # the list has the server ready, and at the address of this connection
    repeatable_until: float = math.inf  # s; until when it cannot make an effect happen twice; -inf: never


def may_write(facts: AttemptFacts) -> Refusal | None:
    """Whether an attempt, first or further, may be written now."""
    if not facts.is_wanted:
        return Refusal.REQUEST_ENDED
    if not facts.client_connected:
        return Refusal.CLIENT_GONE
    if not facts.listed:
        return Refusal.NOT_LISTED
    if facts.now >= facts.expires_at:
        return Refusal.DEADLINE_PASSED
    if facts.now + HELD_UP >= facts.repeatable_until:
        return Refusal.MAY_HAVE_RUN
    return None


def deadline_to_send(now: float, expires_at: float) -> float:
    """s that a server is told it has: what is left in the moment of the writing, less the way, never more."""
    left = expires_at - now
    return max(TOLD_LEAST, left - min(WAY_MOST, WAY_SHARE * left))


@dataclass(frozen=True, slots=True)
class ConnectionFacts:
    """What decides whether a caller's connection may be closed, as it is in that moment."""

    response_pending: bool  # a request on it has been taken and has no whole answer yet
    request_started: bool  # part of a further request has been read
    has_unread_bytes: bool  # bytes or an end have come that nobody has read
    closing: bool = False  # its sending has ended


def may_close(facts: ConnectionFacts) -> Refusal | None:
    """Whether a caller's connection may be closed now though its caller has not asked for it."""
    if facts.closing:
        return Refusal.CONNECTION_CLOSING
    if facts.response_pending or facts.request_started:
        return Refusal.REQUEST_PENDING
    if facts.has_unread_bytes:
        return Refusal.BYTES_UNREAD
    return None


@dataclass(frozen=True, slots=True)
class AdmissionFacts:
    """What decides whether a request that has been read becomes a job."""

    closing: bool  # the connection's sending has ended
    is_duplicate: bool  # one of the same id is under way


def may_start(facts: AdmissionFacts) -> Refusal | None:
    """Whether a request that has just been read may become a job."""
    if facts.closing:
        return Refusal.CONNECTION_CLOSING
    return Refusal.DUPLICATE_REQUEST if facts.is_duplicate else None
