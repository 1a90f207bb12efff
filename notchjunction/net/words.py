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
SERVER_LOAD = "srv-load"
DECLINED = "srv-declined"

PRESENCES = {"active": Presence.READY, "leaving": Presence.DRAINING, "left": Presence.GONE}


def effect(method: str, numbered: bool) -> Effect:
    """What method and key say a second run does."""
    if method == "GET":
        return Effect.REISSUABLE
    return Effect.NUMBERED if numbered else Effect.AT_MOST_ONCE
