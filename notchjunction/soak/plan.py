"""What happens in a run, drawn from its seed alone: faults that overlap in time. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any


class Kind(Enum):
    """What goes wrong, or changes; `size` means what the line says."""

    TERMINATE = auto()  # a node gets SIGTERM and starts again
    TERMINATE_SERIES = auto()  # one node after another gets it, `size` in all
    KILL = auto()  # a node dies and starts again
    UPGRADE = auto()  # a node's next process starts beside it and takes over
    UPGRADE_FAILS = auto()  # the same, but it dies `size` s later
    PAUSE = auto()  # a node is stopped for `size` s
    HANG_UP_SERIES = auto()  # `size` new configurations in quick succession, at all nodes
    MOVE_DISCOVERY = auto()  # a new configuration names another place of discovery
    BACKENDS_CRASH = auto()  # a share of `size` dies and comes back cold at the end
    BACKENDS_HANG = auto()  # a share of `size` reads all and answers nothing
    BACKENDS_DRAIN = auto()  # a share of `size` is listed as leaving, stays up, and leaves the list later
    BACKENDS_REPLACE = auto()  # the same, while as many others join cold
    BACKENDS_TROUBLE = auto()  # answers go wrong, a share of `size` of them
    BACKENDS_SLOW = auto()  # answers take `size` times as long
    CONNECTIONS_RESET = auto()  # a share of `size` of the connections to backends is reset
    DISCOVERY_DOWN = auto()
    DISCOVERY_SILENT = auto()  # watches that are open are never answered
    DISCOVERY_RESET = auto()  # watches are reset
    DISCOVERY_SLOW = auto()  # works `size` times slower
    DISCOVERY_WHOLE = auto()  # answers with the whole list, indented, in pieces
    CLIENTS_LEAVE = auto()  # a share of `size` of those who wait closes at once
    BURST = auto()  # `size` times the traffic
    CROWD = auto()  # idle clients fill a node's descriptors


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that goes wrong from `at` to `until`, in s since the run began."""

    kind: Kind
    at: float
    until: float
    size: float
    target: int  # a number by which whoever is met is chosen


@dataclass(frozen=True, slots=True)
class Plan:
    """A run as data."""

    seed: int
    nodes: int
    backends: int
    zones: int
    layers: int  # tiers in all; the nodes stand before the first one
    seconds: float
    rate: float  # requests a second
    descriptors: int  # that a node may hold
    upgrades: bool  # whether a node's processes can take over from one another
    shim: Mapping[str, Any]  # faults of system calls and clocks in each node
    faults: Sequence[Fault]


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
}
LENGTHS: Mapping[Kind, tuple[float, float]] = {
    Kind.DISCOVERY_DOWN: (1.0, 4.0),
    Kind.CROWD: (1.0, 3.0),
}
ANY_LENGTH = (0.5, 4.0)
OFTEN = (
    Kind.TERMINATE,
    Kind.TERMINATE_SERIES,
    Kind.BACKENDS_DRAIN,
    Kind.BACKENDS_REPLACE,
    Kind.BACKENDS_TROUBLE,
    Kind.CONNECTIONS_RESET,
)
UPGRADES = (Kind.UPGRADE, Kind.UPGRADE_FAILS)
ANY = tuple(kind for kind in Kind if kind not in UPGRADES)
UPGRADES_MOST = 4  # in a run that has any
QUIET = 1.0  # s at the beginning in which nothing goes wrong


def draw(seed: int, nodes: int | None = None, seconds: float = 10.0, backends: int | None = None) -> Plan:
    """The run of a seed; what is given is not drawn."""
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
    # Drawn apart: seeds of before these were there keep their other faults.
    calls = Random(f"soak calls {seed}")
    shim |= {
        "short_reads": calls.choice((0, 0.1)),
        "failing_sockets": calls.choice((0, 0, 0.02)),
        "out_of_memory": calls.choice((0, 0, 0.01)),
        "dead_connections": calls.choice((0, 0, 0.01)),
    }
    count = random.randint(6, 14)
    kinds = [random.choice(OFTEN if random.random() < 0.4 else ANY) for _ in range(count)]
    faults = [_fault(random, kind, seconds) for kind in kinds]
    upgrades = _upgrades(seed, seconds)
    return Plan(
        seed=seed,
        nodes=nodes or drawn_nodes,
        backends=backends or drawn_backends,
        zones=random.choice((1, 2, 3)),
        layers=random.choice((1, 1, 2)),
        seconds=seconds,
        rate=random.choice((60, 120, 200)),
        descriptors=random.choice((64, 120, 256, 1024)),
        upgrades=bool(upgrades),
        shim=shim,
        faults=sorted((*faults, *upgrades), key=lambda fault: fault.at),
    )


def _upgrades(seed: int, seconds: float) -> list[Fault]:
    """In every other run some. Drawn apart, as the calls' faults are."""
    random = Random(f"soak upgrades {seed}")
    if random.random() < 0.5:
        return []
    count = random.randint(1, UPGRADES_MOST)
    return [_fault(random, random.choice(UPGRADES), seconds) for _ in range(count)]


def _fault(random: Random, kind: Kind, seconds: float) -> Fault:
    at = random.uniform(QUIET, seconds * 0.8)
    length = random.uniform(*LENGTHS.get(kind, ANY_LENGTH))
    size = random.uniform(*SIZES.get(kind, (1.0, 1.0)))
    return Fault(kind, at, min(at + length, seconds), size, random.randrange(1 << 16))
