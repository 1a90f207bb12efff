"""The words that clients, endpoints and discovery use on sockets: paths and names of headers."""

from __future__ import annotations

# Paths of an endpoint, and of the node towards its clients.
REQUEST_PATH = "/api"
READY_PATH = "/ready"
HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
# The path of discovery's endpoint list.
LIST_PATH = "/v1/endpoints"

# Headers of a request.
REQUEST_ID = "req-id"
REQUEST_CLASS = "req-kind"
DEADLINE_MS = "req-deadline-ms"  # from now on
CLIENT_RETRY = "req-retry"
TENANT = "req-owner"
WORK_HINT = "req-cost"
IDEMPOTENCY_KEY = "idempotency-key"
EXTRA = "req-extra"
# Headers of an endpoint's response.
ENDPOINT_LOAD = "srv-load"
DECLINED = "srv-declined"

# Headers that a client's request takes with it to an endpoint; all others stay at the node.
FORWARDED_REQUEST_HEADERS = frozenset(
    (
        REQUEST_ID,
        REQUEST_CLASS,
        CLIENT_RETRY,
        TENANT,
        WORK_HINT,
        IDEMPOTENCY_KEY,
        EXTRA,
        "host",
        "accept",
        "content-type",
    )
)
# Headers that an endpoint's response takes with it to the client.
FORWARDED_RESPONSE_HEADERS = frozenset(("content-type",))
