"""Shortens the node's intervals and timeouts for all tests, so that none waits for a drain."""

from __future__ import annotations

import pytest

from notchjunction.net import client_registry
from notchjunction.node import node as node_module
from notchjunction.upgrade import handover, shutdown

pytest_plugins = ("tests.known_red",)

SHORT_TIMES_S = {
    "DRAIN_CHECK_INTERVAL_S": 0.005,
    "READINESS_NOTICE_S": 0.05,
    "IDLE_GRACE_S": 0.05,
    "MIN_IDLE_S": 0.03,
}


@pytest.fixture(autouse=True)
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, seconds in SHORT_TIMES_S.items():
        monkeypatch.setattr(node_module, name, seconds)
    monkeypatch.setattr(shutdown, "ACCEPT_TIME_S", 0.05)
    monkeypatch.setattr(shutdown, "MIGRATE_AFTER_S", 0.1)
    monkeypatch.setattr(shutdown, "DRAIN_SHARE", 1.0)
    monkeypatch.setattr(handover, "USAGE_INTERVAL_S", 0.005)
    monkeypatch.setattr(client_registry, "LINGER_TIMEOUT_S", 0.1)
