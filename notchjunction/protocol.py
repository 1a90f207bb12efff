"""The HTTP paths and header names of clients, endpoints and discovery."""

from __future__ import annotations

# Paths that an endpoint serves; the node serves the first two itself.
REQUEST_PATH = "/api"
READY_PATH = "/ready"
HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
# Path of the endpoint list on discovery.
LIST_PATH = "/v1/endpoints"

# Request headers.
REQUEST_ID = "req-id"
REQUEST_CLASS = "req-kind"
DEADLINE_MS = "req-deadline-ms"  # ms from the arrival of the request
CLIENT_RETRY = "req-retry"
TENANT = "req-owner"
WORK_HINT = "req-cost"
IDEMPOTENCY_KEY = "idempotency-key"
EXTRA = "req-extra"
# Response headers of an endpoint.
ENDPOINT_LOAD = "srv-load"
DECLINED = "srv-declined"

# Request headers that are forwarded to an endpoint unchanged; the node drops or replaces all others.
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
# Request headers that a node uses itself.
USED_REQUEST_HEADERS = frozenset(
    (DEADLINE_MS, "connection", "content-length", "expect", "host", "transfer-encoding")
)
# Response headers that are forwarded to the client.
FORWARDED_RESPONSE_HEADERS = frozenset(("content-type",))
# Response headers that a node uses itself.
USED_RESPONSE_HEADERS = frozenset(
    (ENDPOINT_LOAD, DECLINED, "connection", "content-length", "transfer-encoding")
)
