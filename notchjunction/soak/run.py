"""Plays a plan against real node processes on loopback and records the observations in a journal."""

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
from notchjunction.soak.backend import CAPACITY_SPAN_S, Backend, Behaviour, ReadingPace, Trouble
from notchjunction.soak.client import LONG_STYLES, FakeClients, WritingStyle
from notchjunction.soak.crowd import CrowdForm, run_crowd
from notchjunction.soak.discovery import ACTIVE, LEAVING, LEFT, FakeDiscovery
from notchjunction.soak.events import Effect, Journal, MemoryUse
from notchjunction.soak.node import SoakNode
from notchjunction.soak.oracle import Limits, Violation, violations
from notchjunction.soak.plan import Fault, Kind, Plan

DEDUPLICATION_WINDOW_S = 3.0  # for which the backends of a zone remember an idempotency key
SLOW_START_TIME_S = 4.0  # from the start of a backend until it has its full capacity
SLOW_START_SHARE = 0.15  # capacity of a backend right after its start, as a share of the full one
OVERLOAD_MULTIPLE = 2.0  # times its capacity that a backend in slow start may receive
OVERLOAD_SPAN_S = 2.0  # over which the requests to a backend in slow start are counted
CONNECT_TIMEOUT_S = 0.5  # of a node's connection to a backend
IDLE_TIMEOUT_S = 5.0  # after which a backend closes an idle connection, as in the nodes' settings
CAPACITY_FACTOR = 1.5  # capacity of a backend past its slow start, in even shares of the traffic
MAX_DEADLINE_S = 2.5  # of a request
WATCH_INTERVAL_S = 0.01  # between two checks of the harness's event loop, and of the node processes
MIN_STALL_S = 0.005  # shorter delays of the harness's event loop are not recorded
MIN_DRAIN_S = 1.5  # from a drain until the backend leaves the list, even if the fault is shorter
FINISH_TIMEOUT_S = MAX_DEADLINE_S + 1.5  # for requests to end after the last one was sent
CONNECTIONS_PER_DESCRIPTOR = 1.2  # idle client connections, for each descriptor that a node may have open
# These have faults of their own, so that older seeds keep the troubles and styles that they had before.
SEPARATE_TROUBLES = (Trouble.HANG, Trouble.LUMPS, Trouble.LATE_BODY)
ALL_TROUBLES = tuple(trouble for trouble in Trouble if trouble not in (Trouble.NONE, *SEPARATE_TROUBLES))
SLOW_PACES = (ReadingPace.SLOW, ReadingPace.STOPPED)
MEMORY_CHECK_INTERVAL_S = 0.1  # between two looks at the memory of the node processes
ODD_STYLES = tuple(style for style in WritingStyle if style not in (WritingStyle.PLAIN, *LONG_STYLES))


@dataclass(slots=True)
class Result:
    """The result of a run."""

    plan: Plan
    violations: list[Violation]
    requests: int = 0
    succeeded: int = 0  # requests answered with status 200
    attempts: int = 0
    max_stall: float = 0.0  # longest delay of the harness's event loop, in seconds
    counters: Mapping[str, float] = field(default_factory=dict)  # the last in each node's log, summed


class SoakRun:
    """Plays one plan on real sockets and processes."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.journal = Journal()
        self.random = Random(f"play {plan.seed}")
        self.folder = folder
        # Requests per second of a backend past its slow start.
        self.capacity = CAPACITY_FACTOR * plan.rate / plan.backends
        self.nodes = [
            SoakNode(number, folder, self.journal, plan.shim, plan.upgrades) for number in range(plan.nodes)
        ]
        self.backends: list[Backend] = []
        self.discovery = FakeDiscovery(self.journal, self.random)
        self.second_discovery = False
        self.clients = FakeClients(self.nodes, self.journal, self.random, f"r{plan.seed}x")
        self._tasks: set[asyncio.Task[None]] = set()
        self._config_number = 0
        self._busy_nodes: set[str] = set()

    async def play(self) -> Result:
        """Plays the plan to its end and returns what the oracle found."""
        loop = asyncio.get_running_loop()
        plan = self.plan
        stall_watch = self._spawn(self._watch_stalls())
        try:
            await self.open()
            began = loop.time()
            self.clients.traffic.rate = plan.rate
            self.clients.traffic.styles = ODD_STYLES
            arrivals = self._spawn(self.clients.send_until(began + plan.seconds))
            crash_watch = self._spawn(self._watch_crashes())
            memory_watch = self._spawn(self._watch_memory())
            faults = [self._spawn(self._play_fault(fault, began)) for fault in plan.faults]
            await asyncio.gather(arrivals, *faults)
            await self.clients.finish(FINISH_TIMEOUT_S)
            crash_watch.cancel()
            memory_watch.cancel()
            await asyncio.gather(*(self._terminate_ready(node) for node in self.nodes))
        finally:
            stall_watch.cancel()
            await self.close()
        self._collect_node_errors()
        return self._result()

    async def open(self) -> None:
        """Starts backends, discovery and nodes, and waits until all nodes are ready."""
        plan = self.plan
        for number in range(plan.backends):
            self.backends.append(await self._open_backend(f"s{number}", number % plan.zones))
        self.discovery.list_backends(self.backends)
        for node in self.nodes:
            await self._write_config(node)
            node.start()
        await asyncio.gather(*(node.wait_until_ready() for node in self.nodes))

    async def close(self) -> None:
        """Stops all tasks, nodes, backends and discovery at once."""
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
        backend.behaviour.idle_seconds = self.random.choice((1.0, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S))
        backend.holds_little = any(fault.kind is Kind.BACKENDS_READ_SLOWLY for fault in self.plan.faults)
        await backend.open()
        return backend

    async def _write_config(self, node: SoakNode, **settings: Any) -> None:
        port = self.discovery.ports.get(node.name) or await self.discovery.open_port(node.name)
        snapshot = self.discovery.list_response(None)
        number = self.nodes.index(node)
        node.write_config(
            {
                "discovery": text_of(port.address),
                "seed": f"{self.plan.seed:x}{number:04x}",
                "known": json.loads(json.dumps(snapshot)),
                "limits": {"sockets": self.plan.descriptors, "memory_mb": self.plan.memory_mb},
                "settings": {**self._settings(number), **settings},
            }
        )

    def _settings(self, number: int) -> dict[str, Any]:
        plan = self.plan
        idempotency_by_effect = {Effect.SAFE: "repeatable", Effect.KEYED: "by_key", Effect.UNSAFE: "once"}
        return {
            "layers": [f"tier{tier}" for tier in range(plan.layers)],
            "layer": 0,
            "localities": [f"z{zone}" for zone in range(plan.zones)],
            "zone": number % plan.zones,
            "group_size": plan.nodes,
            "registry_mode": "subscribe",
            "tick": 5.0,
            "profiles": [
                {
                    "name": effect.value,
                    "effect": idempotency,
                    "contract_time": 1000.0,
                    "abandon_time": MAX_DEADLINE_S * 1000,
                    "revenue": 1.0,
                    "tardy_revenue": 0.5,
                    "dedup_scope": "zone",
                    "window": DEDUPLICATION_WINDOW_S * 1000,
                }
                for effect, idempotency in idempotency_by_effect.items()
            ],
            "limits": {
                "max_dispatches": 4,
                "cancel": True,
                "probes": True,
                "second_copies": True,
                "conn_idle": IDLE_TIMEOUT_S * 1000,
                "connect_timeout": CONNECT_TIMEOUT_S * 1000,
            },
            "invariants": {
                "ask_within": 10000.0,
                "start_capacity": SLOW_START_SHARE,
                "cold": SLOW_START_TIME_S * 1000,
                "tip_multiple": OVERLOAD_MULTIPLE,
                "drain_grace": 500.0,
            },
            "report": {"via": "pull", "fields": ["q"]},
        }

    # Faults.

    async def _play_fault(self, fault: Fault, began: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(began + fault.at - loop.time())
        await FAULT_ACTIONS[fault.kind](self, fault, fault.until - fault.at)

    def pick_node(self, fault: Fault) -> SoakNode | None:
        """Returns the node that a fault affects; None if it isn't ready or another fault is using it."""
        node = self.nodes[fault.target % len(self.nodes)]
        return node if node.ready and node.name not in self._busy_nodes else None

    def pick_backends(self, fault: Fault) -> list[Backend]:
        """Draws the listed backends that a fault affects; the draw depends on its target alone."""
        listed = [backend for backend in self.backends if backend.listed]
        count = max(1, round(len(listed) * fault.size))
        return Random(fault.target).sample(listed, min(count, len(listed)))

    async def terminate(self, node: SoakNode) -> None:
        """Sends SIGTERM to a node while its clients go on sending, then restarts it."""
        self._busy_nodes.add(node.name)
        loop = asyncio.get_running_loop()
        client_task = self._spawn(self.clients.send_to_draining(node, loop.time() + MAX_DEADLINE_S + 2.0))
        await node.terminate(MAX_DEADLINE_S)
        client_task.cancel()
        await self._restart(node)

    async def upgrade(self, node: SoakNode) -> None:
        """Upgrades a node while its clients go on sending, also on the connections that they have."""
        self._busy_nodes.add(node.name)
        await node.upgrade(MAX_DEADLINE_S)
        self._busy_nodes.discard(node.name)

    async def upgrade_that_fails(self, node: SoakNode, seconds: float) -> None:
        """Starts a node's next process and kills it `seconds` later."""
        self._busy_nodes.add(node.name)
        await node.upgrade_that_fails(seconds)
        self._busy_nodes.discard(node.name)

    async def kill(self, node: SoakNode) -> None:
        """Kills a node and restarts it."""
        self._busy_nodes.add(node.name)
        await node.kill()
        await self._restart(node)

    async def _restart(self, node: SoakNode) -> None:
        await self._write_config(node)
        node.start()
        await node.wait_until_ready()
        self._busy_nodes.discard(node.name)

    async def reload(self, node: SoakNode) -> None:
        """Writes a new configuration, with another maximum of attempts, and lets the node reload it."""
        self._config_number += 1
        limits = {**self._settings(0)["limits"], "max_dispatches": 3 + self._config_number % 3}
        await self._write_config(node, limits=limits)
        node.signal(signal.SIGHUP)

    def publish(self, *changes: tuple[Backend, str]) -> None:
        """Changes the status of backends in discovery's list, as one version."""
        for backend, status in changes:
            backend.listed = status == ACTIVE
        self.discovery.change(changes)

    async def add_backends(self, count: int) -> list[Backend]:
        """Starts new backends, which begin with their slow start; returns them, not listed yet."""
        added = []
        for _ in range(count):
            number = len(self.backends)
            backend = await self._open_backend(f"s{number}", number % self.plan.zones)
            await backend.restart(time.time())
            self.backends.append(backend)
            added.append(backend)
        return added

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that is cancelled when the run ends."""
        return self._spawn(coroutine)

    # Tasks.

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _watch_stalls(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            delay = loop.time() - due
            if delay > MIN_STALL_S:
                self.journal.stalls.append((loop.time(), delay))

    async def _watch_crashes(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for node in self.nodes:
                if node.has_crashed and node.name not in self._busy_nodes:
                    node.record_crash()

    async def _watch_memory(self) -> None:
        while True:
            for node in self.nodes:
                use = MemoryUse(asyncio.get_running_loop().time(), node.name, node.memory_mb())
                highest = self.journal.memory_peaks.setdefault(node.name, use)
                if use.megabytes > highest.megabytes:
                    self.journal.memory_peaks[node.name] = use
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def _terminate_ready(self, node: SoakNode) -> None:
        if node.ready:
            await node.terminate(MAX_DEADLINE_S)

    def _collect_node_errors(self) -> None:
        for node in self.nodes:
            for line in node.log_lines():
                if "level=error" in line or "Traceback" in line:
                    self.journal.node_errors.append(f"{node.name}: {line[:400]}")

    def _result(self) -> Result:
        limits = Limits(
            DEDUPLICATION_WINDOW_S,
            SLOW_START_TIME_S,
            SLOW_START_SHARE,
            OVERLOAD_MULTIPLE,
            OVERLOAD_SPAN_S,
            self.capacity,
            self.plan.memory_mb,
            connections_die=self.plan.shim.get("dead_connections", 0) > 0,
        )
        counters: dict[str, float] = {}
        for node in self.nodes:
            for name, value in node.counters().items():
                counters[name] = counters.get(name, 0.0) + value
        exchanges = self.journal.exchanges
        return Result(
            self.plan,
            violations(self.journal, limits),
            requests=len(exchanges),
            succeeded=sum(1 for exchange in exchanges if exchange.status == 200),
            attempts=len(self.journal.attempts),
            max_stall=max((delay for _, delay in self.journal.stalls), default=0.0),
            counters=counters,
        )


# Plays one fault; gets the run, the fault and the fault's length in seconds.
FaultAction = Callable[[SoakRun, Fault, float], Coroutine[Any, Any, None]]


async def _terminate_series(run: SoakRun, fault: Fault, _: float) -> None:
    for step in range(round(fault.size)):
        node = run.nodes[(fault.target + step) % len(run.nodes)]
        if node.ready and node.name not in run._busy_nodes:
            run.start_task(run.terminate(node))
        await asyncio.sleep(0.4)
    while run._busy_nodes:
        await asyncio.sleep(0.05)


def _on_node(act: Callable[[SoakRun, SoakNode], Coroutine[Any, Any, None]]) -> FaultAction:
    """Returns the action of a fault that affects one node; it does nothing if no node is free."""

    async def act_on_node(run: SoakRun, fault: Fault, _: float) -> None:
        node = run.pick_node(fault)
        if node is not None:
            await act(run, node)

    return act_on_node


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
    affected = run.pick_backends(fault)
    for backend in affected:
        backend.crash()
    await asyncio.sleep(seconds)
    for backend in affected:
        if not backend.is_up:
            await backend.restart(time.time())
    run.publish(*((backend, ACTIVE) for backend in affected if backend.listed))


async def _backends_hang(run: SoakRun, fault: Fault, seconds: float) -> None:
    affected = run.pick_backends(fault)
    for backend in affected:
        backend.behaviour.hangs = True
    await asyncio.sleep(seconds)
    for backend in affected:
        backend.behaviour.hangs = False


async def _backends_drain(run: SoakRun, fault: Fault, seconds: float) -> None:
    affected = run.pick_backends(fault)
    if len(affected) >= sum(1 for backend in run.backends if backend.listed):
        return
    run.publish(*((backend, LEAVING) for backend in affected))
    await asyncio.sleep(max(seconds, MIN_DRAIN_S))
    run.publish(*((backend, LEFT) for backend in affected))


async def _backends_replace(run: SoakRun, fault: Fault, seconds: float) -> None:
    affected = run.pick_backends(fault)
    added = await run.add_backends(len(affected))
    run.publish(*((backend, LEAVING) for backend in affected), *((backend, ACTIVE) for backend in added))
    await asyncio.sleep(max(seconds, MIN_DRAIN_S))
    run.publish(*((backend, LEFT) for backend in affected))


async def _backends_trouble(run: SoakRun, fault: Fault, seconds: float) -> None:
    await _change_behaviour(run, seconds, trouble_share=fault.size, troubles=ALL_TROUBLES)


async def _backends_slow(run: SoakRun, fault: Fault, seconds: float) -> None:
    await _change_behaviour(run, seconds, service_seconds=Behaviour().service_seconds * fault.size)


async def _change_behaviour(run: SoakRun, seconds: float, **changes: Any) -> None:
    """Changes the named fields of all backends' behaviour for so many seconds."""
    affected = list(run.backends)
    for backend in affected:
        for name, value in changes.items():
            setattr(backend.behaviour, name, value)
    await asyncio.sleep(seconds)
    for backend in affected:
        for name in changes:
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
    behaviour = run.discovery.behaviour
    behaviour.lines_per_second /= fault.size
    await asyncio.sleep(seconds)
    behaviour.lines_per_second *= fault.size


async def _discovery_whole(run: SoakRun, fault: Fault, seconds: float) -> None:
    behaviour = run.discovery.behaviour
    behaviour.snapshot_share, behaviour.indented, behaviour.drip_share, behaviour.reset_share = (
        0.5,
        True,
        0.2,
        0.1,
    )
    await asyncio.sleep(seconds)
    behaviour.snapshot_share, behaviour.indented, behaviour.drip_share, behaviour.reset_share = (
        0.0,
        False,
        0.0,
        0.0,
    )


async def _clients_leave(run: SoakRun, fault: Fault, _: float) -> None:
    run.clients.cancel_share(fault.size)


async def _burst(run: SoakRun, fault: Fault, seconds: float) -> None:
    run.clients.traffic.rate *= fault.size
    await asyncio.sleep(seconds)
    run.clients.traffic.rate /= fault.size


async def _crowd(run: SoakRun, fault: Fault, seconds: float) -> None:
    node = run.nodes[fault.target % len(run.nodes)]
    if node.ready:
        await run.clients.open_idle_connections(
            node, round(run.plan.descriptors * CONNECTIONS_PER_DESCRIPTOR), seconds
        )


async def _slow_crowd(run: SoakRun, fault: Fault, seconds: float) -> None:
    node = run.nodes[fault.target % len(run.nodes)]
    if node.ready:
        forms = list(CrowdForm)
        clients = round(fault.size * run.plan.descriptors)
        name = f"crowd{fault.target}-{round(fault.at * 1000)}"
        await run_crowd(node.listen, forms[fault.target % len(forms)], clients, seconds, name)


async def _backends_lumpy(run: SoakRun, fault: Fault, seconds: float) -> None:
    await _change_behaviour(run, seconds, trouble_share=fault.size, troubles=(Trouble.LUMPS,))


async def _backends_read_slowly(run: SoakRun, fault: Fault, seconds: float) -> None:
    affected = run.pick_backends(fault)
    pace = SLOW_PACES[fault.target % len(SLOW_PACES)]
    for backend in affected:
        backend.behaviour.reading = pace
    await run.clients.send_long_bodies(seconds)
    for backend in affected:
        backend.behaviour.reading = ReadingPace.FULL


async def _backends_late_body(run: SoakRun, fault: Fault, seconds: float) -> None:
    await _change_behaviour(run, seconds, trouble_share=fault.size, troubles=(Trouble.LATE_BODY,))


FAULT_ACTIONS: Mapping[Kind, FaultAction] = {
    Kind.TERMINATE: _on_node(SoakRun.terminate),
    Kind.TERMINATE_SERIES: _terminate_series,
    Kind.KILL: _on_node(SoakRun.kill),
    Kind.UPGRADE: _on_node(SoakRun.upgrade),
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
    Kind.SLOW_CROWD: _slow_crowd,
    Kind.BACKENDS_LUMPY: _backends_lumpy,
    Kind.BACKENDS_READ_SLOWLY: _backends_read_slowly,
    Kind.BACKENDS_LATE_BODY: _backends_late_body,
}
