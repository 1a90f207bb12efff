"""A stage whose nodes are one fleet, with faults of their links and processes.

The nodes are real processes; servers, clients and links are fakes. The fleet's guarantees are checked from
the servers' rows of the trace.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from notchjunction.addresses import Address, text_of
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.trace import Trace
from notchjunction.testbed.links import LinkFault, Links
from notchjunction.testbed.server import HOST, bind_free_port
from notchjunction.testbed.stage import Stage

SECRET = "5a" * 16  # the key of the fleets in the testbed, for tests only
SETTLE_TIMEOUT_S = 60.0  # for all nodes to learn of one another and settle their quotas, on a busy machine
OBSERVATION_LAG_S = 0.3  # on a busy machine, an attempt's end may be recorded this long after its node saw it
POLL_INTERVAL_S = 0.1  # of a node's fleet state, until the fleet has settled
DEFAULT_CLOCK_DRIFT = 0.01  # share by which clocks may drift, in the nodes' configuration
QUOTA_NAME = "out"  # the only quota of the fleet


class ProcessKind(Enum):
    """The kinds of faults of a node process."""

    PAUSE = "pause"  # suspended, and resumed at the end
    KILL = "kill"  # killed without a shutdown, and restarted at the end


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """A fault of one node process; `at` and `until` are seconds after the fleet has settled."""

    kind: ProcessKind
    node: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class FleetPart:
    """The part of an experiment that makes a scenario's nodes a fleet.

    `owners` has the number of permits that each node owns; `rates` has the clocks' rates (empty: all 1.0).
    """

    owners: tuple[int, ...]
    drift: float = DEFAULT_CLOCK_DRIFT
    rates: tuple[float, ...] = ()
    links: tuple[LinkFault, ...] = ()
    processes: tuple[ProcessFault, ...] = field(default=())

    @property
    def total_permits(self) -> int:
        """The permits of all nodes: the fleet's quota."""
        return sum(self.owners)


def free_datagram_port() -> Address:
    """Returns an unused UDP address on loopback."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind((HOST, 0))
        address: Address = free.getsockname()
    return address


class FleetStage(Stage):
    """A stage whose nodes have an admin API and a section `fleet` in their configuration files."""

    def __init__(self, scenario: Scenario, part: FleetPart, folder: Path, links: Links) -> None:
        super().__init__(scenario, folder)
        self.part = part
        self.links = links
        self.settled_at = 0.0  # s, on the stage's clock
        self._admin_addresses: dict[int, Address] = {}
        self._private_addresses = [free_datagram_port() for _ in range(scenario.nodes)]

    def fleet_section(self, number: int) -> dict[str, Any]:
        """Returns a node's section `fleet`; the peers' addresses are the public ones of the links."""
        name = f"n{number}"
        listen = self._private_addresses[number]
        self.links.join(name, listen)
        owners = {f"n{node}": count for node, count in enumerate(self.part.owners)}
        return {
            "listen": text_of(listen),
            "advertise": text_of(self.links.public(name)),
            "seeds": [text_of(self.links.public(f"n{node}")) for node in range(min(3, self.scenario.nodes))],
            "keys": [{"number": 1, "secret": SECRET}],
            "clock_drift": self.part.drift,
            "clock_rate": self.part.rates[number] if self.part.rates else 1.0,
            "places": {f"n{node}": text_of(address) for node, address in enumerate(self._private_addresses)},
            "limits": [{"name": QUOTA_NAME, "revision": 1, "owners": owners}],
        }

    def _config_sections(self, number: int) -> Mapping[str, Any]:
        listener = bind_free_port()
        self._admin_addresses[number] = listener.getsockname()
        listener.close()
        return {"mgmt": text_of(self._admin_addresses[number]), "fleet": self.fleet_section(number)}

    async def _wait_until_ready(self) -> None:
        await super()._wait_until_ready()
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not all([self._is_settled(await self.fleet_state(number)) for number in self.nodes]):
                await asyncio.sleep(POLL_INTERVAL_S)
        self.settled_at = self.clock.now

    def _is_settled(self, state: Mapping[str, Any] | None) -> bool:
        if state is None or len(state["nodes"]) < self.scenario.nodes:
            return False
        return all(limit["settled"] for limit in state["limits"].values())

    async def fleet_state(self, number: int) -> dict[str, Any] | None:
        """Returns a node's report of its fleet; None without a response within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._admin_addresses[number])
                writer.write(b"GET /control/fleet HTTP/1.1\r\nHost: n\r\n\r\n")
                response = await reader.read()
                writer.close()
            state: dict[str, Any] = json.loads(response.partition(b"\r\n\r\n")[2])
        except (OSError, TimeoutError, ValueError):
            return None
        return state

    def _on_started(self) -> None:
        self.links.schedule(self.part.links)
        for fault in self.part.processes:
            self._spawn(self._apply_process_fault(fault))

    async def _apply_process_fault(self, fault: ProcessFault) -> None:
        process = self._placed_nodes[fault.node].process
        await asyncio.sleep(fault.at)
        match fault.kind:
            case ProcessKind.PAUSE:
                process.pause()
                await asyncio.sleep(fault.until - fault.at)
                process.resume()
            case ProcessKind.KILL:
                process.kill()
                await process.wait_until_exited()
                await asyncio.sleep(fault.until - fault.at)
                process.launch()


async def play_fleet(scenario: Scenario, part: FleetPart, folder: Path) -> tuple[FleetStage, Trace]:
    """Plays a scenario with its fleet; returns the stage and the trace."""
    links = await Links([f"n{number}" for number in range(scenario.nodes)], scenario.seed).open()
    stage = FleetStage(scenario, part, folder, links)
    try:
        trace = await stage.play()
    finally:
        await links.close()
    return stage, trace
