"""Plays a plan against real node processes on loopback; the observations go to a journal."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from notchjunction.addresses import text_of
from notchjunction.soak.backend import CAPACITY_SPAN_S, Backend, Behaviour, Trouble
from notchjunction.soak.client import FakeClients, WritingStyle
from notchjunction.soak.discovery import ACTIVE, LEAVING, LEFT, FakeDiscovery
from notchjunction.soak.events import Effect, Journal
from notchjunction.soak.node import SoakNode
from notchjunction.soak.oracle import Limits, Violation, violations
from notchjunction.soak.plan import Fault, Kind, Plan

KEY_WINDOW = 3.0  # s for which a zone remembers a key
COLD_TIME = 4.0  # s until a backend that has started is warm
COLD_SHARE = 0.15  # of its capacity that it has as it starts
FALL_MULTIPLE = 2.0
FALL_SPAN = 2.0  # s
CONNECT_WITHIN = 0.5  # s after which a node gives up a connection that does not come up
CONNECTION_IDLE = 5.0  # s after which a backend closes an idle connection, as the settings tell it
CAPACITY_TIMES = 1.5  # times an even part of the traffic that a warm backend takes in a second
LONGEST_DEADLINE = 2.5  # s
LOOK_EVERY = 0.01  # s between looks at how late this harness's own loop is
STALL_LEAST = 0.005  # s of harness_delay that is noted
LEFT_AFTER = 1.5  # s from a drain until the backend leaves the list, where its fault does not last longer
TAIL = LONGEST_DEADLINE + 1.5  # s after the last arrival in which all has to end
CROWD_SHARE = 1.2  # idle clients for each descriptor that a node may hold
ALL_TROUBLES = tuple(trouble for trouble in Trouble if trouble not in (Trouble.NONE, Trouble.HANG))
ALL_MANNERS = tuple(manner for manner in WritingStyle if manner is not WritingStyle.PLAIN)


@dataclass(slots=True)
class Result:
    """What a run came to."""

    plan: Plan
    violations: list[Violation]
    requests: int = 0
    answered: int = 0
    attempts: int = 0
    worst_stall: float = 0.0  # s
    counters: Mapping[str, float] = field(default_factory=dict)  # summed over processes that ended soundly


class SoakRun:
    """One plan on sockets."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.journal = Journal()
        self.random = Random(f"play {plan.seed}")
        self.folder = folder
        self.capacity = CAPACITY_TIMES * plan.rate / plan.backends  # requests a second of a warm backend
        self.nodes = [
            SoakNode(number, folder, self.journal, plan.shim, plan.upgrades) for number in range(plan.nodes)
        ]
        self.backends: list[Backend] = []
        self.discovery = FakeDiscovery(self.journal, self.random)
        self.second_discovery = False
        self.clients = FakeClients(self.nodes, self.journal, self.random, f"r{plan.seed}x")
        self._tasks: set[asyncio.Task[None]] = set()
        self._configuration = 0
        self._busy_nodes: set[str] = set()

    async def play(self) -> Result:
        """Plays the plan to its end; what the oracle found."""
        loop = asyncio.get_running_loop()
        plan = self.plan
        watching = self._spawn(self._watch_stalls())
        try:
            await self.open()
            began = loop.time()
            self.clients.traffic.rate = plan.rate
            self.clients.traffic.styles = ALL_MANNERS
            arrivals = self._spawn(self.clients.send_until(began + plan.seconds))
            guard = self._spawn(self._watch_crashes())
            faults = [self._spawn(self._play_fault(fault, began)) for fault in plan.faults]
            await asyncio.gather(arrivals, *faults)
            await self.clients.finish(TAIL)
            guard.cancel()
            await asyncio.gather(*(self._terminate_ready(node) for node in self.nodes))
        finally:
            watching.cancel()
            await self.close()
        self._collect_node_errors()
        return self._result()

    async def open(self) -> None:
        """Starts backends, discovery and nodes; all are ready then."""
        plan = self.plan
        for number in range(plan.backends):
            self.backends.append(await self._open_backend(f"s{number}", number % plan.zones))
        self.discovery.list_backends(self.backends)
        for node in self.nodes:
            await self._write_config(node)
            node.start()
        await asyncio.gather(*(node.wait_until_ready() for node in self.nodes))

    async def close(self) -> None:
        """Ends all there is, at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(node.discard() for node in self.nodes))
        for backend in self.backends:
            backend.crash()
        self.discovery.close()

    async def _open_backend(self, name: str, zone: int) -> Backend:
        backend = Backend(name, f"z{zone}", self.journal, self.random)
        backend.capacity = self.capacity * CAPACITY_SPAN_S
        backend.behaviour.idle_seconds = self.random.choice((1.0, CONNECTION_IDLE, CONNECTION_IDLE))
        await backend.open()
        return backend

    async def _write_config(self, node: SoakNode, **settings: Any) -> None:
        port = self.discovery.ports.get(node.name) or await self.discovery.open_port(node.name)
        known = self.discovery.list_response(None)
        number = self.nodes.index(node)
        node.write_config(
            {
                "discovery": text_of(port.address),
                "seed": f"{self.plan.seed:x}{number:04x}",
                "known": json.loads(json.dumps(known)),
                "limits": {"sockets": self.plan.descriptors},
                "settings": {**self._settings(number), **settings},
            }
        )

    def _settings(self, number: int) -> dict[str, Any]:
        plan = self.plan
        effects = {Effect.SAFE: "repeatable", Effect.KEYED: "by_key", Effect.UNSAFE: "once"}
        return {
            "layers": [f"tier{depth}" for depth in range(plan.layers)],
            "layer": 0,
            "localities": [f"z{zone}" for zone in range(plan.zones)],
            "zone": number % plan.zones,
            "group_size": plan.nodes,
            "registry_mode": "subscribe",
            "tick": 5.0,
            "profiles": [
                {
                    "name": effect.value,
                    "effect": word,
                    "contract_time": 1000.0,
                    "abandon_time": LONGEST_DEADLINE * 1000,
                    "revenue": 1.0,
                    "tardy_revenue": 0.5,
                    "dedup_scope": "zone",
                    "window": KEY_WINDOW * 1000,
                }
                for effect, word in effects.items()
            ],
            "limits": {
                "max_dispatches": 4,
                "cancel": True,
                "probes": True,
                "second_copies": True,
                "conn_idle": CONNECTION_IDLE * 1000,
                "connect_timeout": CONNECT_WITHIN * 1000,
            },
            "invariants": {
                "ask_within": 10000.0,
                "start_capacity": COLD_SHARE,
                "cold": COLD_TIME * 1000,
                "tip_multiple": FALL_MULTIPLE,
                "drain_grace": 500.0,
            },
            "report": {"via": "pull", "fields": ["q"]},
        }

    # Faults.

    async def _play_fault(self, fault: Fault, began: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(began + fault.at - loop.time())
        await PLAYERS[fault.kind](self, fault, fault.until - fault.at)

    def pick_node(self, fault: Fault) -> SoakNode | None:
        """The node that is met; None where another fault has it."""
        node = self.nodes[fault.target % len(self.nodes)]
        return node if node.ready and node.name not in self._busy_nodes else None

    def pick_backends(self, fault: Fault) -> list[Backend]:
        """Draws the listed backends that a fault concerns, from its target alone."""
        listed = [backend for backend in self.backends if backend.listed]
        count = max(1, round(len(listed) * fault.size))
        return Random(fault.target).sample(listed, min(count, len(listed)))

    async def terminate(self, node: SoakNode) -> None:
        """SIGTERM, while its clients go on; then it starts again."""
        self._busy_nodes.add(node.name)
        loop = asyncio.get_running_loop()
        pressing = self._spawn(self.clients.send_to_draining(node, loop.time() + LONGEST_DEADLINE + 2.0))
        await node.terminate(LONGEST_DEADLINE)
        pressing.cancel()
        await self._restart(node)

    async def upgrade(self, node: SoakNode) -> None:
        """The next process of a node takes over; clients go on, on the connections that they have too."""
        self._busy_nodes.add(node.name)
        await node.upgrade(LONGEST_DEADLINE)
        self._busy_nodes.discard(node.name)

    async def upgrade_that_fails(self, node: SoakNode, seconds: float) -> None:
        """Starts a node's next process, which dies so many seconds later."""
        self._busy_nodes.add(node.name)
        await node.upgrade_that_fails(seconds)
        self._busy_nodes.discard(node.name)

    async def kill(self, node: SoakNode) -> None:
        """Kills a node and starts it again."""
        self._busy_nodes.add(node.name)
        await node.kill()
        await self._restart(node)

    async def _restart(self, node: SoakNode) -> None:
        await self._write_config(node)
        node.start()
        await node.wait_until_ready()
        self._busy_nodes.discard(node.name)

    async def reload(self, node: SoakNode) -> None:
        """A new configuration, which names another order of attempts."""
        self._configuration += 1
        limits = {**self._settings(0)["limits"], "max_dispatches": 3 + self._configuration % 3}
        await self._write_config(node, limits=limits)
        node.signal(signal.SIGHUP)

    def publish(self, *changes: tuple[Backend, str]) -> None:
        """Changes statuses in discovery's list, in one version."""
        for backend, status in changes:
            backend.listed = status == ACTIVE
        self.discovery.change(changes)

    async def join_cold(self, count: int) -> list[Backend]:
        """Backends that are new, and cold."""
        joined = []
        for _ in range(count):
            number = len(self.backends)
            backend = await self._open_backend(f"s{number}", number % self.plan.zones)
            await backend.restart(time.time())
            self.backends.append(backend)
            joined.append(backend)
        return joined

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that ends with the run."""
        return self._spawn(work)

    # Plumbing.

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _watch_stalls(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LOOK_EVERY
            await asyncio.sleep(LOOK_EVERY)
            late = loop.time() - due
            if late > STALL_LEAST:
                self.journal.stalls.append((loop.time(), late))

    async def _watch_crashes(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            for node in self.nodes:
                if node.has_crashed and node.name not in self._busy_nodes:
                    node.record_crash()

    async def _terminate_ready(self, node: SoakNode) -> None:
        if node.ready:
            await node.terminate(LONGEST_DEADLINE)

    def _collect_node_errors(self) -> None:
        for node in self.nodes:
            for line in node.log_lines():
                if "level=error" in line or "Traceback" in line:
                    self.journal.node_errors.append(f"{node.name}: {line[:400]}")

    def _result(self) -> Result:
        limits = Limits(KEY_WINDOW, COLD_TIME, COLD_SHARE, FALL_MULTIPLE, FALL_SPAN, self.capacity)
        counters: dict[str, float] = {}
        for node in self.nodes:
            for name, figure in node.counters().items():
                counters[name] = counters.get(name, 0.0) + figure
        exchanges = self.journal.exchanges
        return Result(
            self.plan,
            violations(self.journal, limits),
            requests=len(exchanges),
            answered=sum(1 for each in exchanges if each.status == 200),
            attempts=len(self.journal.attempts),
            worst_stall=max((late for _, late in self.journal.stalls), default=0.0),
            counters=counters,
        )


# What each kind of fault does.

Player = Callable[[SoakRun, Fault, float], Coroutine[Any, Any, None]]


async def _terminate_series(run: SoakRun, fault: Fault, _: float) -> None:
    for step in range(round(fault.size)):
        node = run.nodes[(fault.target + step) % len(run.nodes)]
        if node.ready and node.name not in run._busy_nodes:
            run.start(run.terminate(node))
        await asyncio.sleep(0.4)
    while run._busy_nodes:
        await asyncio.sleep(0.05)


def _at_a_node(act: Callable[[SoakRun, SoakNode], Coroutine[Any, Any, None]]) -> Player:
    """Does this to the node that is met, if there is one."""

    async def play(run: SoakRun, fault: Fault, _: float) -> None:
        node = run.pick_node(fault)
        if node is not None:
            await act(run, node)

    return play


async def _upgrade_fails(run: SoakRun, fault: Fault, _: float) -> None:
    node = run.pick_node(fault)
    if node is not None:
        await run.upgrade_that_fails(node, fault.size)


async def _pause(run: SoakRun, fault: Fault, _: float) -> None:
    await run.nodes[fault.target % len(run.nodes)].pause(fault.size)


async def _hang_up_series(run: SoakRun, fault: Fault, seconds: float) -> None:
    for _ in range(round(fault.size)):
        for node in run.nodes:
            if node.ready:
                await run.reload(node)
        await asyncio.sleep(min(0.1, seconds / fault.size))


async def _move_discovery(run: SoakRun, fault: Fault, _: float) -> None:
    for node in run.nodes:
        await run.discovery.move_port(node.name)
        if node.ready:
            await run.reload(node)


async def _backends_crash(run: SoakRun, fault: Fault, seconds: float) -> None:
    met = run.pick_backends(fault)
    for backend in met:
        backend.crash()
    await asyncio.sleep(seconds)
    for backend in met:
        if not backend.is_up:
            await backend.restart(time.time())
    run.publish(*((backend, ACTIVE) for backend in met if backend.listed))


async def _backends_hang(run: SoakRun, fault: Fault, seconds: float) -> None:
    met = run.pick_backends(fault)
    for backend in met:
        backend.behaviour.hangs = True
    await asyncio.sleep(seconds)
    for backend in met:
        backend.behaviour.hangs = False


async def _backends_drain(run: SoakRun, fault: Fault, seconds: float) -> None:
    met = run.pick_backends(fault)
    if len(met) >= sum(1 for backend in run.backends if backend.listed):
        return
    run.publish(*((backend, LEAVING) for backend in met))
    await asyncio.sleep(max(seconds, LEFT_AFTER))
    run.publish(*((backend, LEFT) for backend in met))


async def _backends_replace(run: SoakRun, fault: Fault, seconds: float) -> None:
    met = run.pick_backends(fault)
    joined = await run.join_cold(len(met))
    run.publish(*((backend, LEAVING) for backend in met), *((backend, ACTIVE) for backend in joined))
    await asyncio.sleep(max(seconds, LEFT_AFTER))
    run.publish(*((backend, LEFT) for backend in met))


async def _backends_trouble(run: SoakRun, fault: Fault, seconds: float) -> None:
    await _behave(run, seconds, trouble_share=fault.size, troubles=ALL_TROUBLES)


async def _backends_slow(run: SoakRun, fault: Fault, seconds: float) -> None:
    await _behave(run, seconds, service_seconds=Behaviour().service_seconds * fault.size)


async def _behave(run: SoakRun, seconds: float, **changed: Any) -> None:
    met = list(run.backends)
    for backend in met:
        for name, value in changed.items():
            setattr(backend.behaviour, name, value)
    await asyncio.sleep(seconds)
    for backend in met:
        for name in changed:
            setattr(backend.behaviour, name, getattr(Behaviour(), name))


async def _connections_reset(run: SoakRun, fault: Fault, seconds: float) -> None:
    for backend in run.backends:
        backend.reset_connections(fault.size)
    await asyncio.sleep(seconds / 2)
    for backend in run.backends:
        backend.reset_connections(fault.size)


async def _discovery_down(run: SoakRun, fault: Fault, seconds: float) -> None:
    run.discovery.go_down()
    await asyncio.sleep(seconds)
    run.discovery.come_back()


async def _discovery_silent(run: SoakRun, fault: Fault, _: float) -> None:
    run.discovery.abandon_watches()


async def _discovery_reset(run: SoakRun, fault: Fault, _: float) -> None:
    run.discovery.reset_watches()


async def _discovery_slow(run: SoakRun, fault: Fault, seconds: float) -> None:
    manner = run.discovery.behaviour
    manner.lines_per_second /= fault.size
    await asyncio.sleep(seconds)
    manner.lines_per_second *= fault.size


async def _discovery_whole(run: SoakRun, fault: Fault, seconds: float) -> None:
    manner = run.discovery.behaviour
    manner.snapshot_share, manner.indented, manner.drip_share, manner.reset_share = 0.5, True, 0.2, 0.1
    await asyncio.sleep(seconds)
    manner.snapshot_share, manner.indented, manner.drip_share, manner.reset_share = 0.0, False, 0.0, 0.0


async def _clients_leave(run: SoakRun, fault: Fault, _: float) -> None:
    run.clients.cancel_share(fault.size)


async def _burst(run: SoakRun, fault: Fault, seconds: float) -> None:
    run.clients.traffic.rate *= fault.size
    await asyncio.sleep(seconds)
    run.clients.traffic.rate /= fault.size


async def _crowd(run: SoakRun, fault: Fault, seconds: float) -> None:
    node = run.nodes[fault.target % len(run.nodes)]
    if node.ready:
        await run.clients.open_idle_connections(node, round(run.plan.descriptors * CROWD_SHARE), seconds)


PLAYERS: Mapping[Kind, Player] = {
    Kind.TERMINATE: _at_a_node(SoakRun.terminate),
    Kind.TERMINATE_SERIES: _terminate_series,
    Kind.KILL: _at_a_node(SoakRun.kill),
    Kind.UPGRADE: _at_a_node(SoakRun.upgrade),
    Kind.UPGRADE_FAILS: _upgrade_fails,
    Kind.PAUSE: _pause,
    Kind.HANG_UP_SERIES: _hang_up_series,
    Kind.MOVE_DISCOVERY: _move_discovery,
    Kind.BACKENDS_CRASH: _backends_crash,
    Kind.BACKENDS_HANG: _backends_hang,
    Kind.BACKENDS_DRAIN: _backends_drain,
    Kind.BACKENDS_REPLACE: _backends_replace,
    Kind.BACKENDS_TROUBLE: _backends_trouble,
    Kind.BACKENDS_SLOW: _backends_slow,
    Kind.CONNECTIONS_RESET: _connections_reset,
    Kind.DISCOVERY_DOWN: _discovery_down,
    Kind.DISCOVERY_SILENT: _discovery_silent,
    Kind.DISCOVERY_RESET: _discovery_reset,
    Kind.DISCOVERY_SLOW: _discovery_slow,
    Kind.DISCOVERY_WHOLE: _discovery_whole,
    Kind.CLIENTS_LEAVE: _clients_leave,
    Kind.BURST: _burst,
    Kind.CROWD: _crowd,
}
