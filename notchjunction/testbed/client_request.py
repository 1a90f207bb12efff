"""What a client of a scenario sends, and the HTTP request that it becomes."""

from __future__ import annotations

from dataclasses import dataclass

from notchjunction import protocol
from notchjunction.balancing.interface import Idempotency
from notchjunction.emulator.scenario import Scenario
from notchjunction.http1.messages import Request
from notchjunction.testbed.server import WORK_PARAMETER


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client, or of a server to the next tier."""

    node: int
    request_class: int
    timeout: float  # s that the client waits
    work: float  # s of work on a server of speed 1
    first: int  # the number of the client's first try; NO_FIRST_REQUEST for a server's call
    is_retry: bool = False
    tenant: int = 0
    cancel_after: float | None = None  # s after which the client closes, if it does


def http_request(name: str, sent: ClientRequest, scenario: Scenario) -> Request:
    """The request named `name` as the protocol has it."""
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
