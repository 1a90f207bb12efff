"""Preconditions of writing an attempt, closing a connection and starting a request, checked at that moment.

A decision is based on facts: the endpoint list, the time left, whether the client is connected, what earlier
attempts may have done. Between a decision and its execution a connection is opened, a peer reads its bytes,
or the process is delayed, and the facts change. So the code that executes a decision gathers the facts again
and checks them here. No other code may run between the check and the execution. Pure: no I/O and no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

# A process may be delayed by this much between reading the clock and a write; set by the operators.
MAX_PROCESS_DELAY_S = 0.15
# Subtracted from the time left for the network from the client and to the endpoint, which is not measured.
MAX_NETWORK_MARGIN_S = 0.02
# Share of the time left that is subtracted at most, as a request with little time needs the rest.
NETWORK_MARGIN_SHARE = 0.1
# The shortest deadline that can be sent; the protocol has a resolution of 1 ms.
MIN_SENT_DEADLINE_S = 0.001


class Refusal(Enum):
    """Why an action may not be done now; the values name counters."""

    REQUEST_ENDED = "request ended"  # it has its final response, or the attempt was cancelled
    CLIENT_GONE = "client gone"
    NOT_LISTED = "not listed"  # the endpoint is draining, removed or banned, or has another address
    DEADLINE_PASSED = "deadline passed"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    DUPLICATE_REQUEST = "duplicate request"  # another request with the same id is open or may run
    NO_QUOTA = "no quota"  # a quota of the whole fleet has no free unit
    CONNECTION_CLOSING = "connection closing"  # its sending side is closed, so no response could be sent
    REQUEST_PENDING = "request pending"  # a request, or part of one, has been read and has no response
    BYTES_UNREAD = "bytes unread"  # closing would reset the connection, and the bytes may be a request


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """The facts that decide whether an attempt may be written, gathered at the moment of the write."""

    now: float  # s on the node's clock
    expires_at: float  # s on the same clock; the attempt's deadline
    is_wanted: bool  # its request has no response, and the attempt was not cancelled
    client_connected: bool
    listed: bool  # the list has the endpoint as active, with this connection's address
    repeatable_until: float = math.inf  # s; a retry until then cannot run twice; -inf: never


def may_write(facts: AttemptFacts) -> Refusal | None:
    """Returns why an attempt, the first or a retry, may not be written now; None if it may."""
    if not facts.is_wanted:
        return Refusal.REQUEST_ENDED
    if not facts.client_connected:
        return Refusal.CLIENT_GONE
    if not facts.listed:
        return Refusal.NOT_LISTED
    if facts.now >= facts.expires_at:
        return Refusal.DEADLINE_PASSED
    if facts.now + MAX_PROCESS_DELAY_S >= facts.repeatable_until:
        return Refusal.MAY_HAVE_RUN
    return None


def deadline_to_send(now: float, expires_at: float) -> float:
    """Returns the deadline (s from now) to send to an endpoint: the time left, less a margin for the network.

    Args:
        now: the node's clock (s) at the moment of the write.
        expires_at: the attempt's deadline on that clock (s).
    """
    time_left = expires_at - now
    margin = min(MAX_NETWORK_MARGIN_S, NETWORK_MARGIN_SHARE * time_left)
    return max(MIN_SENT_DEADLINE_S, time_left - margin)


@dataclass(frozen=True, slots=True)
class ConnectionFacts:
    """The facts that decide whether a client's connection may be closed, gathered at that moment."""

    response_pending: bool  # a request on it was accepted and has no complete response yet
    request_started: bool  # part of a next request has been read
    has_unread_bytes: bool  # bytes, or the end of the stream, have arrived and not been read
    closing: bool = False  # its sending side is closed


def may_close(facts: ConnectionFacts) -> Refusal | None:
    """Returns why the node may not close a client's connection on its own now; None if it may."""
    if facts.closing:
        return Refusal.CONNECTION_CLOSING
    if facts.response_pending or facts.request_started:
        return Refusal.REQUEST_PENDING
    if facts.has_unread_bytes:
        return Refusal.BYTES_UNREAD
    return None


@dataclass(frozen=True, slots=True)
class AdmissionFacts:
    """The facts that decide whether a request that has been read is accepted."""

    closing: bool  # the connection's sending side is closed
    is_duplicate: bool  # a request with the same id is open or may run


def may_start(facts: AdmissionFacts) -> Refusal | None:
    """Returns why a request that has just been read may not be accepted; None if it may."""
    if facts.closing:
        return Refusal.CONNECTION_CLOSING
    return Refusal.DUPLICATE_REQUEST if facts.is_duplicate else None
