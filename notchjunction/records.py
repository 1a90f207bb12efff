"""What the decisions remember of dispatches, servers and outcomes; plain records, nothing decided here."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from notchjunction.interface import Load, ServerEntry

LAST_FEW = 8  # outcomes kept of a server; fewer are chance, more are old news
IDLE_MOST = 32  # idle connections remembered of a server; a node rarely has more jobs there at once


@dataclass(slots=True, eq=False)
class Dispatch:
    server: Server
    at: float
    contract_time: float
    linked: bool
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of one server, mostly from its own traffic."""

    entry: ServerEntry
    flights: list[Dispatch] = field(default_factory=list)
    heard_at: float = -math.inf
    last: deque[bool] = field(default_factory=lambda: deque(maxlen=LAST_FEW))
    seconds: deque[float] = field(default_factory=lambda: deque(maxlen=LAST_FEW))
    answer: Load | None = None
    answered_at: float = -math.inf
    asked_at: float | None = None  # when the last probe was sent, while it is out
    wait: float = 0.0  # s that the last probe took; whatever its server does delays it
    waited_at: float = -math.inf
    back_at: float = -math.inf
    idle: deque[float] = field(default_factory=lambda: deque(maxlen=IDLE_MOST))
    cold_from: float = -math.inf  # since when this node's part of the cold budget adds up to the next send
    cold_due: float = 1.0  # sends that it has to add up to
    warm_take: float = 0.0  # what this node sent each warm server in a second when this one came
    out_since: float = -math.inf  # since when an operator had it out, if it was given back
    owed: bool = False  # given back and not yet sent to


class End(NamedTuple):
    """One of the last outcomes of all servers."""

    server: Server
    good: bool
    seconds: float


class Usual(NamedTuple):
    seconds: float
    pace: float
    wait: float


def middle(values: Iterable[float], default: float) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
