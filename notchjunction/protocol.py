"""The words that callers, servers and discovery use on sockets."""

from __future__ import annotations

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
