"""The words that callers, servers and discovery use on sockets."""

from __future__ import annotations

from notchjunction.interface import Effect, Presence

JOBS = "/api"
READY = "/ready"
HEALTH = "/health"
LOAD = "/status/load"
LIST = "/v1/endpoints"

JOB_ID = "req-id"
PROFILE = "req-kind"
TIME_LEFT = "req-deadline-ms"
REPEAT = "req-retry"
OPERATOR = "req-owner"
WORK_HINT = "req-cost"
NUMBER = "idempotency-key"
FIGURES = "req-extra"
SERVER_LOAD = "srv-load"
DECLINED = "srv-declined"

# What a job's request takes with it to a server, and an answer to its caller; anything else stays here.
ONWARD = frozenset(
    (JOB_ID, PROFILE, REPEAT, OPERATOR, WORK_HINT, NUMBER, FIGURES, "host", "accept", "content-type")
)
BACK = frozenset(("content-type",))

PRESENCES = {"active": Presence.READY, "leaving": Presence.DRAINING, "left": Presence.GONE}


def effect(method: str, numbered: bool) -> Effect:
    """What method and key say a second run does."""
    if method == "GET":
        return Effect.REISSUABLE
    return Effect.NUMBERED if numbered else Effect.AT_MOST_ONCE
