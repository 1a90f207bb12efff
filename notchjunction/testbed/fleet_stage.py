"""A stage whose nodes are one fleet: they talk over links that fail, and are paused, killed and started
again.

The nodes are the program; servers, callers and links are stand-ins. What is promised is judged from the
servers' rows.
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
from notchjunction.testbed.server import HOST, free_listener
from notchjunction.testbed.stage import Stage

SECRET = "5a" * 16  # the stand-ins' key; a fleet of an operator's has one of its own
SETTLED_WITHIN = 60.0  # s for all nodes to know one another and to own what they do, on a busy machine
SEEN_LATE = 0.3  # s by which a stage on a busy machine may see a dispatch's end later than its node did
LOOK = 0.1  # s between looks
DRIFT = 0.01  # part by which the nodes' clocks are said to run off
LIMIT = "out"  # the name of the one limit


class ProcessKind(Enum):
    PAUSE = "pause"  # does nothing until it goes on
    KILL = "kill"  # killed outright, and started again at the end


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """`at` and `until` are seconds after the fleet has settled."""

    kind: ProcessKind
    node: int
    at: float
    until: float


@dataclass(frozen=True, slots=True)
class FleetPart:
    """What makes a scenario's nodes a fleet. `owners`: rights of each node; `rates`: of each node's clock."""

    owners: tuple[int, ...]
    drift: float = DRIFT
    rates: tuple[float, ...] = ()
    links: tuple[LinkFault, ...] = ()
    processes: tuple[ProcessFault, ...] = field(default=())

    @property
    def most(self) -> int:
        return sum(self.owners)


def free_datagram_port() -> Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind((HOST, 0))
        address: Address = free.getsockname()
    return address


class FleetStage(Stage):
    def __init__(self, scenario: Scenario, part: FleetPart, folder: Path, links: Links) -> None:
        super().__init__(scenario, folder)
        self.part = part
        self.links = links
        self.began = 0.0  # the stage's time at which the fleet had settled
        self._mgmt: dict[int, Address] = {}
        self._private = [free_datagram_port() for _ in range(scenario.nodes)]

    def section(self, number: int) -> dict[str, Any]:
        """A node's part of the file; the peers' addresses are those of the links."""
        name = f"n{number}"
        listen = self._private[number]
        self.links.join(name, listen)
        owners = {f"n{each}": count for each, count in enumerate(self.part.owners)}
        return {
            "listen": text_of(listen),
            "advertise": text_of(self.links.public(name)),
            "seeds": [text_of(self.links.public(f"n{each}")) for each in range(min(3, self.scenario.nodes))],
            "keys": [{"number": 1, "secret": SECRET}],
            "clock_drift": self.part.drift,
            "clock_rate": self.part.rates[number] if self.part.rates else 1.0,
            "places": {f"n{each}": text_of(place) for each, place in enumerate(self._private)},
            "limits": [{"name": LIMIT, "revision": 1, "owners": owners}],
        }

    def _more(self, number: int) -> Mapping[str, Any]:
        place = free_listener()
        self._mgmt[number] = place.getsockname()
        place.close()
        return {"mgmt": text_of(self._mgmt[number]), "fleet": self.section(number)}

    async def _all_ready(self) -> None:
        await super()._all_ready()
        async with asyncio.timeout(SETTLED_WITHIN):
            while not all([self._is_settled(await self.figures(number)) for number in self.nodes]):
                await asyncio.sleep(LOOK)
        self.began = self.clock.now

    def _is_settled(self, figures: Mapping[str, Any] | None) -> bool:
        if figures is None or len(figures["nodes"]) < self.scenario.nodes:
            return False
        return all(limit["settled"] for limit in figures["limits"].values())

    async def figures(self, number: int) -> dict[str, Any] | None:
        """What a node shows of its fleet; None where it does not answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._mgmt[number])
                writer.write(b"GET /control/fleet HTTP/1.1\r\nHost: n\r\n\r\n")
                answer = await reader.read()
                writer.close()
            found: dict[str, Any] = json.loads(answer.partition(b"\r\n\r\n")[2])
        except (OSError, TimeoutError, ValueError):
            return None
        return found

    def _begin(self) -> None:
        self.links.play(self.part.links)
        for fault in self.part.processes:
            self._start(self._befalls(fault))

    async def _befalls(self, fault: ProcessFault) -> None:
        process = self._places[fault.node].process
        await asyncio.sleep(fault.at)
        match fault.kind:
            case ProcessKind.PAUSE:
                process.pause()
                await asyncio.sleep(fault.until - fault.at)
                process.go_on()
            case ProcessKind.KILL:
                process.kill()
                await process.gone()
                await asyncio.sleep(fault.until - fault.at)
                process.launch()


async def staged(scenario: Scenario, part: FleetPart, folder: Path) -> tuple[FleetStage, Trace]:
    """Plays a scenario with its fleet; the stage, and what happened on it."""
    links = await Links([f"n{number}" for number in range(scenario.nodes)], scenario.seed).open()
    stage = FleetStage(scenario, part, folder, links)
    try:
        story = await stage.play()
    finally:
        await links.close()
    return stage, story
