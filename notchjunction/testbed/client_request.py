"""A client's request in a scenario, and its HTTP form."""

from __future__ import annotations

from dataclasses import dataclass

from notchjunction import protocol
from notchjunction.balancing.interface import Idempotency
from notchjunction.emulator.scenario import Scenario
from notchjunction.http1.messages import Request
from notchjunction.testbed.server import WORK_PARAMETER


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One try of a client's request, or a server's request to the next tier."""

    node: int
    request_class: int
    timeout: float  # s that the client waits for the response
    work: float  # s of work on a server of speed 1
    first_request: int  # number of the client's first try; NO_FIRST_REQUEST if a server sends it
    is_retry: bool = False
    tenant: int = 0
    cancel_after: float | None = None  # s after which the client cancels; None: never


def http_request(name: str, sent: ClientRequest, scenario: Scenario) -> Request:
    """Returns the HTTP request, with `name` as its request ID and idempotency key."""
    idempotency = scenario.profiles[sent.request_class].idempotency
    headers = {
        "host": "app",
        protocol.REQUEST_ID: name,
        protocol.REQUEST_CLASS: f"p{sent.request_class}",
        protocol.DEADLINE_MS: str(max(1, int(sent.timeout * 1000))),
        **({protocol.CLIENT_RETRY: "1"} if sent.is_retry else {}),
        **({protocol.IDEMPOTENCY_KEY: name} if idempotency is Idempotency.KEYED else {}),
        **({protocol.TENANT: f"o{sent.tenant}"} if scenario.quotas else {}),
    }
    method = "GET" if idempotency is Idempotency.IDEMPOTENT else "POST"
    return Request(method, f"{protocol.REQUEST_PATH}?{WORK_PARAMETER}={sent.work:.5f}", headers)
