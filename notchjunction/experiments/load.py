"""Open-loop load: a schedule that waits for no answer; latency counts from when a request was meant to go."""

from __future__ import annotations

import asyncio
import csv
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram
from voluptuous import Invalid

from notchjunction.addresses import Address
from notchjunction.config.validation import InvalidConfigurationError
from notchjunction.http1.messages import Request
from notchjunction.testbed.client import FakeClients

LONGEST = 3600.0  # s; the longest latency that the histogram holds
DIGITS = 3  # significant digits of its figures
PAUSE = 0.05  # s after a turn-back until a client asks again, and as much again at random


@dataclass(frozen=True, slots=True)
class Send:
    """A request as the schedule has it: when it is meant to be sent, and for how long it is waited for."""

    at: float
    profile: str
    within: float
    effect: str = "reissuable"
    first_try: str = ""  # in a recorded trace: whose retry it is; its own name at a first try


@dataclass(frozen=True, slots=True)
class Shape:
    """Requests a second over time: from `rate` to `rate_end`, at random moments or evenly."""

    rate: float
    seconds: float
    rate_end: float | None = None
    even: bool = False


def schedule(shapes: Iterable[Shape], profile: str, within: float, seed: int) -> Iterator[Send]:
    """One shape after the other; the same for the same seed."""
    random = Random(seed)
    began = 0.0
    for shape in shapes:
        end = shape.rate if shape.rate_end is None else shape.rate_end
        most = max(shape.rate, end)
        at = 0.0
        while most > 0:
            at += 1 / most if shape.even else random.expovariate(most)
            if at >= shape.seconds:
                break
            # Thinned to the rate of the moment, so that a ramp has no steps.
            now = shape.rate + (end - shape.rate) * at / shape.seconds
            if (shape.even and end == shape.rate) or random.random() * most < now:
                yield Send(began + at, profile, within)
        began += shape.seconds


TRACE = ("at", "id", "first_try", "profile", "within", "effect")
EFFECTS = ("reissuable", "numbered", "at-most-once")


def read_trace(file: Path) -> list[Send]:
    """A recorded trace as CSV; Unfit with every line that is wrong, and nothing of it is played."""
    errors: list[str] = []
    found: list[Send] = []
    names: set[str] = set()
    text = file.read_text(encoding="utf-8")
    if not text.endswith("\n"):
        errors.append("the last line has no end: the file is torn")
    rows = csv.DictReader(text.splitlines())
    if tuple(rows.fieldnames or ()) != TRACE:
        raise InvalidConfigurationError([f"line 1: expected the columns {','.join(TRACE)}"])
    for row in rows:
        try:
            found.append(_sent(row, names))
        except (ValueError, TypeError, Invalid) as error:
            errors.append(f"line {rows.line_num}: {error}")
        names.add(row["id"])
    if errors:
        raise InvalidConfigurationError(errors)
    if any(later.at < earlier.at for earlier, later in pairwise(found)):
        raise InvalidConfigurationError(["the rows are not in order of time"])
    return found


def _sent(row: dict[str, str], names: set[str]) -> Send:
    at, within = float(row["at"]), float(row["within"])
    if not (0 <= at < float("inf") and 0 < within < float("inf")):
        raise ValueError("a time that is none")
    if row["effect"] not in EFFECTS:
        raise ValueError(f"effect is none of {', '.join(EFFECTS)}")
    if row["id"] in names:
        raise ValueError(f"id {row['id']} came before")
    if row["first_try"] != row["id"] and row["first_try"] not in names:
        raise ValueError(f"retry of {row['first_try']}, which did not come before")
    return Send(at, row["profile"], within, row["effect"], row["first_try"])


@dataclass(slots=True)
class Outcome:
    """What came of a load, by first tries: a client's retries belong to the try that they repeat."""

    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, int(LONGEST * 1e6), DIGITS))
    lateness: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, int(LONGEST * 1e6), DIGITS))
    finals: Counter[str] = field(default_factory=Counter)
    tries: int = 0
    first_tries: int = 0

    def percentile(self, share: float) -> float:
        """Seconds within which so many of a hundred first tries were answered."""
        return float(self.latency.get_value_at_percentile(share)) / 1e6


class Load:
    """Plays a schedule against one address; a slow target delays no request of it."""

    def __init__(self, address: Address, tries: int = 1, seed: int = 0) -> None:
        self._address = address
        self._tries = tries
        self._random = Random(seed)
        self._callers = FakeClients()
        self._sent = 0
        self._ends: dict[str, float] = {}
        self.outcome = Outcome()

    async def play(self, sends: Iterable[Send]) -> Outcome:
        loop = asyncio.get_running_loop()
        began = loop.time()
        work: set[asyncio.Task[None]] = set()
        meant: dict[str, float] = {}
        for number, send in enumerate(sends):
            name = send.first_try or str(number)
            first = meant.setdefault(name, began + send.at)
            if (delay := began + send.at - loop.time()) > 0:
                await asyncio.sleep(delay)
            self.outcome.lateness.record_value(max(1, int((loop.time() - began - send.at) * 1e6)))
            task = asyncio.create_task(self._serve(send, name, first))
            work.add(task)
            task.add_done_callback(work.discard)
        while work:
            await asyncio.wait(work)
        self.outcome.first_tries = len(meant)
        for name, end in self._ends.items():
            self.outcome.latency.record_value(max(1, int((end - meant[name]) * 1e6)))
        self._callers.close()
        return self.outcome

    async def _serve(self, send: Send, name: str, first: float) -> None:
        """One request of the schedule, and the retries that its client makes of itself."""
        loop = asyncio.get_running_loop()
        end = loop.time() + send.within
        final = "lost"
        for again in range(self._tries):
            left = end - loop.time()
            if left <= 0:
                break
            self.outcome.tries += 1
            try:
                async with asyncio.timeout(left):
                    final = await self._ask(send, left, again > 0)
            except TimeoutError:
                final = "unanswered"
            except OSError:
                final = "lost"
            if final != "turned back":
                break
            if again + 1 < self._tries:
                await asyncio.sleep(PAUSE * self._random.uniform(1, 2))
        self.outcome.finals[final] += 1
        if final == "honoured":
            self._ends.setdefault(name, loop.time())

    async def _ask(self, send: Send, left: float, again: bool) -> str:
        self._sent += 1
        headers = {
            "host": "load",
            "req-id": f"load-{self._sent}",
            "req-kind": send.profile,
            "req-deadline-ms": str(max(1, int(left * 1000))),
            **({"req-retry": "1"} if again else {}),
            **({"idempotency-key": f"key-{self._sent}"} if send.effect == "numbered" else {}),
        }
        method = "GET" if send.effect == "reissuable" else "POST"
        status = await self._callers.exchange(self._address, Request(method, "/api", headers))
        return {200: "honoured", 503: "turned back", 429: "turned back"}.get(status, "failed")
