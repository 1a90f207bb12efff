"""A real node as a process of its own, configured from a scenario."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from notchjunction.addresses import Address, text_of
from notchjunction.config.settings import DEDUPLICATION_SCOPES, IDEMPOTENCY
from notchjunction.emulator.node import ASK_WITHIN, CONNECTION_PRICE, CROSSING_PRICE, MAX_DISPATCHES
from notchjunction.emulator.scenario import Scenario
from notchjunction.http1.messages import Request
from notchjunction.testbed.client import Callers
from notchjunction.testbed.discovery import zone_name
from notchjunction.testbed.server import REPORTED

READY_WITHIN = 20.0  # s for a node to be ready, where many start on few cores
READY_LOOK = 0.05  # s between looks
GONE_LOOK = 0.01  # s between looks whether a process has ended; a story waits for little else
PROGRAM = [sys.executable, "-m", "notchjunction"]
EFFECT_WORDS = {effect: word for word, effect in IDEMPOTENCY.items()}
GROUP_WORDS = {group: word for word, group in DEDUPLICATION_SCOPES.items()}


def settings(scenario: Scenario, tier: int, zone: int, group: int) -> dict[str, Any]:
    """What the platform would tell a node that stands before `tier`."""
    return {
        "layers": [f"tier{depth}" for depth in range(len(scenario.effective_tiers))],
        "layer": tier,
        "localities": [zone_name(each) for each in range(scenario.zones)],
        "zone": zone,
        "group_size": group,
        "registry_mode": "subscribe",
        "tick": 5.0,
        "profiles": [
            {
                "name": f"p{index}",
                "effect": EFFECT_WORDS[profile.idempotency],
                "contract_time": profile.latency_objective * 1000,
                "abandon_time": profile.deadline * 1000,
                "revenue": profile.priority_weight,
                "tardy_revenue": profile.late_weight,
                "dedup_scope": GROUP_WORDS[profile.deduplication_scope],
                "window": profile.deduplication_window * 1000,
            }
            for index, profile in enumerate(scenario.profiles)
        ],
        "limits": {
            "max_dispatches": MAX_DISPATCHES,
            "cancel": True,
            "probes": True,
            "second_copies": True,
            "conn_idle": (scenario.connection_idle or 30.0) * 1000,
            "connect_timeout": scenario.connect_within * 1000,
        },
        "invariants": {
            "ask_within": ASK_WITHIN * 1000,
            "start_capacity": scenario.cold_share,
            "cold": scenario.cold_time * 1000,
            "tip_multiple": scenario.tip_multiple,
        },
        "prices": {
            "cross_zone": CROSSING_PRICE if scenario.zone_latency else 0.0,
            "handshake": CONNECTION_PRICE if scenario.handshake_work else 0.0,
        },
        "report": {"via": "pull", "fields": list(REPORTED.values())},
        "tenants": [
            {"name": f"o{index}", "quota_rps": quota}
            for index, quota in enumerate(() if tier else scenario.quotas)
        ],
    }


class NodeProcess:
    """A node's program with its file and its log; both stay where it is started again."""

    def __init__(self, number: int, listen: Address, folder: Path) -> None:
        self.number = number
        self.listen = listen
        self.told: dict[str, Any] = {}  # what its file says
        self._file = folder / f"node-{number}.json"
        self._log = folder / f"node-{number}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(
        self,
        scenario: Scenario,
        tier: int,
        zone: int,
        group: int,
        discovery: Address,
        known: Mapping[str, Any],
        more: Mapping[str, Any] | None = None,
    ) -> None:
        """`more` are further parts of its file, as a section `fleet`."""
        self.tell(
            {
                "name": f"n{self.number}",
                "listen": text_of(self.listen),
                "discovery": text_of(discovery),
                "seed": f"{scenario.seed:x}{self.number:04x}",
                "known": known,
                "settings": settings(scenario, tier, zone, group),
                **(more or {}),
            }
        )
        self.launch()

    def tell(self, told: Mapping[str, Any]) -> None:
        """Writes its file anew, at one go."""
        self.told = dict(told)
        written = self._file.with_suffix(".new")
        written.write_text(json.dumps(self.told))
        written.replace(self._file)

    def launch(self) -> None:
        """Starts the program with the file as it is."""
        environment = {"PATH": os.environ.get("PATH", ""), "GW_CONFIG": str(self._file)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                PROGRAM,
                env=environment,
                stderr=log,
                cwd=Path(__file__).parents[2],
            )

    async def ready(self, callers: Callers) -> None:
        """Waits until it is; TimeoutError where it never is."""
        async with asyncio.timeout(READY_WITHIN):
            while await callers.ask(self.listen, Request("GET", "/ready", {"host": "n"}), 1.0) != 200:
                if self._process is not None and self._process.poll() is not None:
                    raise RuntimeError(f"node {self.number} ended: {self._log.read_text()[-500:]}")
                await asyncio.sleep(READY_LOOK)

    def pause(self) -> None:
        """It does nothing until it goes on; its connections stay, and its clock runs."""
        self._signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self._signal(signal.SIGCONT)

    def hang_up(self, changed: Mapping[str, Any]) -> None:
        """Its file is from now on this, and it is asked to read it."""
        self.tell(changed)
        self._signal(signal.SIGHUP)

    def kill(self) -> None:
        self._signal(signal.SIGKILL)

    async def gone(self) -> None:
        """Waits until no process of it is left."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(GONE_LOOK)

    async def restart(self) -> None:
        """Kills it where it still runs, and starts it with the same file."""
        self.kill()
        await self.gone()
        self.launch()

    async def end(self) -> Mapping[str, float]:
        """Ends it as the platform does; its counters, as it prints them at its exit."""
        self._signal(signal.SIGTERM)
        # Guards against a paused process, which would not hear of its end.
        self.go_on()
        await self.gone()
        return counters_in(self.lines())

    def lines(self) -> list[str]:
        """Its log so far, over all its starts."""
        return self._log.read_text().splitlines() if self._log.exists() else []

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None:
            self._process.send_signal(number)


def counters_in(lines: Sequence[str]) -> dict[str, float]:
    found: dict[str, float] = {}
    for line in lines:
        if "event=counters" in line:
            pairs = (word.partition("=") for word in line.split())
            found = {}
            for name, _, value in pairs:
                try:
                    found[name] = float(value)
                except ValueError:
                    continue
    return found
