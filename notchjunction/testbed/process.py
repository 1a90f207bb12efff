"""A real node in a process of its own, configured from a scenario."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from notchjunction.addresses import Address, text_of
from notchjunction.config.settings import DEDUPLICATION_SCOPES, IDEMPOTENCY
from notchjunction.emulator.node import CONNECTION_COST, CROSS_ZONE_COST, MAX_ATTEMPTS, POLL_INTERVAL_S
from notchjunction.emulator.scenario import Scenario
from notchjunction.http1.messages import Request
from notchjunction.testbed.client import FakeClients
from notchjunction.testbed.discovery import zone_name
from notchjunction.testbed.server import REPORTED_FIELDS

READY_TIMEOUT_S = 20.0  # for a node to be ready, on a machine where many start on few cores
READY_POLL_INTERVAL_S = 0.05
EXIT_POLL_INTERVAL_S = 0.01  # short, because the end of a scenario waits mainly for this
PROGRAM = [sys.executable, "-m", "notchjunction"]
IDEMPOTENCY_NAMES = {idempotency: name for name, idempotency in IDEMPOTENCY.items()}
SCOPE_NAMES = {scope: name for name, scope in DEDUPLICATION_SCOPES.items()}


@dataclass(frozen=True, slots=True)
class NodePlacement:
    """The tier that a node balances, its zone, and the number of nodes of its tier."""

    tier: int
    zone: int
    group_size: int


def node_settings(scenario: Scenario, placement: NodePlacement) -> dict[str, Any]:
    """Returns the section `settings` of the configuration file, as the platform would write it."""
    return {
        "layers": [f"tier{depth}" for depth in range(len(scenario.effective_tiers))],
        "layer": placement.tier,
        "localities": [zone_name(zone) for zone in range(scenario.zones)],
        "zone": placement.zone,
        "group_size": placement.group_size,
        "registry_mode": "subscribe",
        "tick": 5.0,
        "profiles": _request_classes(scenario),
        "limits": {
            "max_dispatches": MAX_ATTEMPTS,
            "cancel": True,
            "probes": True,
            "second_copies": True,
            "conn_idle": (scenario.connection_idle or 30.0) * 1000,
            "connect_timeout": scenario.connect_within * 1000,
        },
        "invariants": {
            "ask_within": POLL_INTERVAL_S * 1000,
            "start_capacity": scenario.cold_share,
            "cold": scenario.cold_time * 1000,
            "tip_multiple": scenario.tip_multiple,
        },
        "prices": {
            "cross_zone": CROSS_ZONE_COST if scenario.zone_latency else 0.0,
            "handshake": CONNECTION_COST if scenario.handshake_work else 0.0,
        },
        "report": {"via": "pull", "fields": list(REPORTED_FIELDS.values())},
        "tenants": [
            {"name": f"o{index}", "quota_rps": quota}
            for index, quota in enumerate(() if placement.tier else scenario.quotas)
        ],
    }


def _request_classes(scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "name": f"p{index}",
            "effect": IDEMPOTENCY_NAMES[request_class.idempotency],
            "contract_time": request_class.latency_objective * 1000,
            "abandon_time": request_class.deadline * 1000,
            "revenue": request_class.priority_weight,
            "tardy_revenue": request_class.late_weight,
            "dedup_scope": SCOPE_NAMES[request_class.deduplication_scope],
            "window": request_class.deduplication_window * 1000,
        }
        for index, request_class in enumerate(scenario.profiles)
    ]


class NodeProcess:
    """A node's process with its configuration file and its log, which both remain after a restart."""

    def __init__(self, number: int, listen: Address, folder: Path) -> None:
        self.number = number
        self.listen = listen
        self.config: dict[str, Any] = {}  # the content of the file
        self._file = folder / f"node-{number}.json"
        self._log = folder / f"node-{number}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(
        self,
        scenario: Scenario,
        placement: NodePlacement,
        discovery: Address,
        known: Mapping[str, Any],
        sections: Mapping[str, Any] | None = None,
    ) -> None:
        """Writes the file and starts the program.

        Args:
            scenario: The source of the settings.
            placement: The node's tier and zone.
            discovery: The address of its discovery service.
            known: The endpoint list that it starts with, in the format of discovery's responses.
            sections: Further sections of the file, such as `fleet`.
        """
        self.write_config(
            {
                "name": f"n{self.number}",
                "listen": text_of(self.listen),
                "discovery": text_of(discovery),
                "seed": f"{scenario.seed:x}{self.number:04x}",
                "known": known,
                "settings": node_settings(scenario, placement),
                **(sections or {}),
            }
        )
        self.launch()

    def write_config(self, config: Mapping[str, Any]) -> None:
        """Replaces the file atomically."""
        self.config = dict(config)
        written = self._file.with_suffix(".new")
        written.write_text(json.dumps(self.config))
        written.replace(self._file)

    def launch(self) -> None:
        """Starts the program with the present file."""
        environment = {"PATH": os.environ.get("PATH", ""), "GW_CONFIG": str(self._file)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                PROGRAM,
                env=environment,
                stderr=log,
                cwd=Path(__file__).parents[2],
            )

    async def wait_until_ready(self, clients: FakeClients) -> None:
        """Waits until the node reports that it is ready.

        Raises:
            TimeoutError: It was not ready within `READY_TIMEOUT_S`.
            RuntimeError: Its process ended before.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await clients.request(self.listen, Request("GET", "/ready", {"host": "n"}), 1.0) != 200:
                if self._process is not None and self._process.poll() is not None:
                    raise RuntimeError(f"node {self.number} ended: {self._log.read_text()[-500:]}")
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    def pause(self) -> None:
        """Suspends the process until `resume`; its connections stay open and its clock continues."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a paused process."""
        self._signal(signal.SIGCONT)

    def reload(self, config: Mapping[str, Any]) -> None:
        """Replaces the file and signals the node to read it."""
        self.write_config(config)
        self._signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kills the process without a shutdown."""
        self._signal(signal.SIGKILL)

    async def wait_until_exited(self) -> None:
        """Waits until the process has ended."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)

    async def restart(self) -> None:
        """Kills the process if it still runs, and starts it with the same file."""
        self.kill()
        await self.wait_until_exited()
        self.launch()

    async def terminate(self) -> Mapping[str, float]:
        """Ends the process as the platform does; returns the counters that it logs at its exit."""
        self._signal(signal.SIGTERM)
        # Guards against waiting for ever for a paused process, which does not handle the signal.
        self.resume()
        await self.wait_until_exited()
        return parse_counters(self.log_lines())

    def log_lines(self) -> list[str]:
        """Returns the lines of the log, since the first start."""
        return self._log.read_text().splitlines() if self._log.exists() else []

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None:
            self._process.send_signal(number)


def parse_counters(lines: Sequence[str]) -> dict[str, float]:
    """Returns the last counters in a node's log; empty if it has none."""
    last = next((line for line in reversed(lines) if "event=counters" in line), "")
    counters: dict[str, float] = {}
    for word in last.split():
        name, _, value = word.partition("=")
        # Other words of the line, such as its time and level, are no numbers.
        with suppress(ValueError):
            counters[name] = float(value)
    return counters
