"""The words that callers, servers and discovery use on sockets."""

from __future__ import annotations

from notchjunction.decider import Listed
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
STATUSES = {presence: status for status, presence in PRESENCES.items()}


def row(server: Listed, address: str | None) -> dict[str, object]:
    """A server in the list's own form."""
    return {
        "name": server.name,
        "address": address,
        "zone": server.zone,
        "group": server.cell,
        "status": STATUSES[server.presence],
        "since_ms": server.started_at * 1000,
    }


def effect(method: str, numbered: bool) -> Effect:
    """What method and key say a second run does."""
    if method == "GET":
        return Effect.REISSUABLE
    return Effect.NUMBERED if numbered else Effect.AT_MOST_ONCE
