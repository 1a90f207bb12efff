"""The plan of a run: faults that overlap in time, drawn from the run's seed alone.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any


class Kind(Enum):
    """A kind of fault or of operation; each comment says what the fault's `size` means.

    The names are written to plan.json.
    """

    TERMINATE = auto()  # a node gets SIGTERM and is restarted
    TERMINATE_SERIES = auto()  # `size` nodes get SIGTERM one after another and are restarted
    KILL = auto()  # a node gets SIGKILL and is restarted
    UPGRADE = auto()  # a node's next process starts beside the current one and replaces it
    UPGRADE_FAILS = auto()  # a node's next process starts and is killed `size` seconds later
    PAUSE = auto()  # a node is stopped for `size` seconds
    HANG_UP_SERIES = auto()  # all nodes reload a new configuration, `size` times in quick succession
    MOVE_DISCOVERY = auto()  # all nodes reload a configuration with another address of discovery
    BACKENDS_CRASH = auto()  # a share `size` of the backends crashes and restarts at the end
    BACKENDS_HANG = auto()  # a share `size` of the backends reads requests and responds to none
    BACKENDS_DRAIN = auto()  # a share `size` of the backends drains, stays up, and leaves the list later
    BACKENDS_REPLACE = auto()  # a share `size` of the backends drains, while as many new ones join
    BACKENDS_TROUBLE = auto()  # a share `size` of the responses is faulty
    BACKENDS_SLOW = auto()  # responses take `size` times as long
    CONNECTIONS_RESET = auto()  # a share `size` of the connections to backends is reset, twice
    DISCOVERY_DOWN = auto()  # discovery resets its connections and every new one
    DISCOVERY_SILENT = auto()  # open polls never get a response
    DISCOVERY_RESET = auto()  # the connections to discovery are reset
    DISCOVERY_SLOW = auto()  # discovery is `size` times slower
    DISCOVERY_WHOLE = auto()  # some responses are snapshots, indented, in chunks, or reset
    CLIENTS_LEAVE = auto()  # a share `size` of the waiting clients closes at once
    BURST = auto()  # `size` times the traffic
    CROWD = auto()  # idle client connections use up a node's descriptors
    SLOW_CROWD = auto()  # clients for a share `size` of a node's descriptors send slowly, or stop midway
    BACKENDS_LUMPY = auto()  # a share `size` of the responses is long, and comes in lumps with pauses
    BACKENDS_READ_SLOWLY = auto()  # a share `size` of the backends reads long requests slowly, or stops
    BACKENDS_LATE_BODY = auto()  # a share `size` of the responses is long; its body comes after a pause


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from `at` to `until`, in seconds since the run began."""

    kind: Kind
    at: float
    until: float
    size: float  # its meaning depends on the kind
    target: int  # a random number that selects the nodes or backends concerned


@dataclass(frozen=True, slots=True)
class Plan:
    """The fleet, the traffic and the faults of a run; written to plan.json."""

    seed: int
    nodes: int
    backends: int
    zones: int
    layers: int  # tiers of services; the nodes are in front of the first one
    seconds: float  # of traffic and faults
    rate: float  # requests per second over all nodes
    descriptors: int  # maximum open file descriptors of a node
    upgrades: bool  # a node's processes share a folder, so that a successor can take over
    shim: Mapping[str, Any]  # settings of the shim: faults of system calls and clocks in each node
    faults: Sequence[Fault]  # in order of time
    memory_mb: int = 192  # maximum memory of a node's processes together


# Minimum and maximum of a fault's `size`; 1 where the kind isn't listed.
SIZES: Mapping[Kind, tuple[float, float]] = {
    Kind.TERMINATE_SERIES: (2, 4),
    Kind.PAUSE: (0.05, 0.15),
    Kind.HANG_UP_SERIES: (2, 6),
    Kind.BACKENDS_CRASH: (0.1, 0.4),
    Kind.BACKENDS_HANG: (0.1, 0.5),
    Kind.BACKENDS_DRAIN: (0.1, 0.3),
    Kind.BACKENDS_REPLACE: (0.2, 0.6),
    Kind.BACKENDS_TROUBLE: (0.05, 0.4),
    Kind.BACKENDS_SLOW: (2, 10),
    Kind.CONNECTIONS_RESET: (0.2, 1.0),
    Kind.DISCOVERY_SLOW: (10, 100),
    Kind.CLIENTS_LEAVE: (0.2, 0.8),
    Kind.BURST: (1.5, 3),
    Kind.UPGRADE_FAILS: (0.1, 1.5),
    Kind.SLOW_CROWD: (0.1, 1.0),
    Kind.BACKENDS_LUMPY: (0.1, 0.5),
    Kind.BACKENDS_READ_SLOWLY: (0.3, 1.0),
    Kind.BACKENDS_LATE_BODY: (0.1, 0.5),
}
# Minimum and maximum length of a fault, in seconds.
LENGTHS: Mapping[Kind, tuple[float, float]] = {
    Kind.DISCOVERY_DOWN: (1.0, 4.0),
    Kind.CROWD: (1.0, 3.0),
    Kind.SLOW_CROWD: (2.0, 4.0),
    Kind.BACKENDS_READ_SLOWLY: (2.0, 6.0),
}
DEFAULT_LENGTH = (0.5, 4.0)  # of kinds that LENGTHS doesn't list
FREQUENT_KINDS = (  # drawn more often than the others
    Kind.TERMINATE,
    Kind.TERMINATE_SERIES,
    Kind.BACKENDS_DRAIN,
    Kind.BACKENDS_REPLACE,
    Kind.BACKENDS_TROUBLE,
    Kind.CONNECTIONS_RESET,
)
UPGRADE_KINDS = (Kind.UPGRADE, Kind.UPGRADE_FAILS)
SLOW_PEER_KINDS = (Kind.SLOW_CROWD, Kind.BACKENDS_LUMPY)
HELD_BODY_KINDS = (Kind.BACKENDS_READ_SLOWLY, Kind.BACKENDS_LATE_BODY)
SEPARATE_KINDS = (*UPGRADE_KINDS, *SLOW_PEER_KINDS, *HELD_BODY_KINDS)
# Drawn for every run; the others have generators of their own.
REGULAR_KINDS = tuple(kind for kind in Kind if kind not in SEPARATE_KINDS)
MEMORY_CHOICES_MB = (32, 64, 192)
MEMORY_CHOICES_WITH_UPGRADES_MB = (96, 192)  # two processes share the limit
MAX_SLOW_PEER_FAULTS = 3  # in a run with slow peers
MAX_HELD_BODY_FAULTS = 3  # in a run with held bodies
MAX_UPGRADES = 4  # in a run with upgrades
FAULT_FREE_START_S = 1.0  # at the beginning of a run


def draw(seed: int, nodes: int | None = None, seconds: float = 10.0, backends: int | None = None) -> Plan:
    """Draws the plan of a seed.

    Args:
        seed: determines the plan, together with the other arguments.
        nodes: the number of nodes; drawn where None.
        seconds: of traffic and faults.
        backends: the number of backends in the list; drawn where None.
    """
    random = Random(f"soak {seed}")
    drawn_nodes = random.choice((3, 5, 10, 10, 16))
    drawn_backends = random.choice((8, 12, 20, 40))
    shim = {
        "late_connects": random.choice((0, 0.1, 0.3)),
        "late_seconds": random.choice((0.2, 0.6, 1.2)),
        "failing_connects": random.choice((0, 0, 0.02)),
        "failing_accepts": random.choice((0, 0, 0.05)),
        "short_writes": random.choice((0, 0.1)),
        "clock_steps": random.choice((0, 0, 3600)),
        "hold_seconds": random.choice((0, 0, 0.15)),
    }
    # These are drawn from another generator, so that older seeds keep the faults that they had before.
    calls_random = Random(f"soak calls {seed}")
    shim |= {
        "short_reads": calls_random.choice((0, 0.1)),
        "failing_sockets": calls_random.choice((0, 0, 0.02)),
        "out_of_memory": calls_random.choice((0, 0, 0.01)),
        "dead_connections": calls_random.choice((0, 0, 0.01)),
    }
    count = random.randint(6, 14)
    kinds = [random.choice(FREQUENT_KINDS if random.random() < 0.4 else REGULAR_KINDS) for _ in range(count)]
    faults = [_draw_fault(random, kind, seconds) for kind in kinds]
    upgrades = _draw_upgrades(seed, seconds)
    slow_peers = _draw_slow_peers(seed, seconds)
    held_bodies = _draw_held_bodies(seed, seconds)
    memory_choices = MEMORY_CHOICES_WITH_UPGRADES_MB if upgrades else MEMORY_CHOICES_MB
    return Plan(
        seed=seed,
        nodes=nodes or drawn_nodes,
        backends=backends or drawn_backends,
        zones=random.choice((1, 2, 3)),
        layers=random.choice((1, 1, 2)),
        seconds=seconds,
        rate=random.choice((60, 120, 200)),
        descriptors=random.choice((64, 120, 256, 1024)),
        memory_mb=Random(f"soak memory {seed}").choice(memory_choices),
        upgrades=bool(upgrades),
        shim=shim,
        faults=sorted((*faults, *upgrades, *slow_peers, *held_bodies), key=lambda fault: fault.at),
    )


def _draw_upgrades(seed: int, seconds: float) -> list[Fault]:
    """Draws upgrades for half of the seeds, from a generator of their own as well."""
    random = Random(f"soak upgrades {seed}")
    if random.random() < 0.5:
        return []
    count = random.randint(1, MAX_UPGRADES)
    return [_draw_fault(random, random.choice(UPGRADE_KINDS), seconds) for _ in range(count)]


def _draw_slow_peers(seed: int, seconds: float) -> list[Fault]:
    """Draws slow clients and backends for two thirds of the seeds."""
    random = Random(f"soak slow peers {seed}")
    if random.random() < 1 / 3:
        return []
    count = random.randint(1, MAX_SLOW_PEER_FAULTS)
    return [_draw_fault(random, random.choice(SLOW_PEER_KINDS), seconds) for _ in range(count)]


def _draw_held_bodies(seed: int, seconds: float) -> list[Fault]:
    """Draws backends that hold bodies back, in requests and in responses, for half of the seeds."""
    random = Random(f"soak held bodies {seed}")
    if random.random() < 0.5:
        return []
    count = random.randint(1, MAX_HELD_BODY_FAULTS)
    return [_draw_fault(random, random.choice(HELD_BODY_KINDS), seconds) for _ in range(count)]


def _draw_fault(random: Random, kind: Kind, seconds: float) -> Fault:
    at = random.uniform(FAULT_FREE_START_S, seconds * 0.8)
    length = random.uniform(*LENGTHS.get(kind, DEFAULT_LENGTH))
    size = random.uniform(*SIZES.get(kind, (1.0, 1.0)))
    return Fault(kind, at, min(at + length, seconds), size, random.randrange(1 << 16))
