"""Open-loop load generator.

Requests are sent on a fixed schedule, whether or not earlier ones have been answered. Latency is measured
from the scheduled send time.
"""

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

MAX_LATENCY_S = 3600.0  # upper limit of the histograms
SIGNIFICANT_DIGITS = 3  # of the values in the histograms
RETRY_PAUSE_S = 0.05  # least pause after a rejection until the client's retry; up to twice that at random


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """A request of the schedule. Times are in seconds; `at` counts from the start of the load."""

    at: float
    profile: str
    timeout: float
    effect: str = "reissuable"
    first_try: str = ""  # in a recorded trace, the id of the client's first request; for that one its own id


@dataclass(frozen=True, slots=True)
class Shape:
    """A part of the schedule: the rate in requests per second, constant or rising linearly to `rate_end`.

    Requests are sent at random times, or at even intervals with `even`.
    """

    rate: float
    seconds: float
    rate_end: float | None = None
    even: bool = False


def schedule(shapes: Iterable[Shape], profile: str, timeout: float, seed: int) -> Iterator[ScheduledRequest]:
    """Yield the requests of all shapes, one shape after the other. Equal seeds give equal schedules."""
    random = Random(seed)
    shape_start = 0.0
    for shape in shapes:
        rate_end = shape.rate if shape.rate_end is None else shape.rate_end
        max_rate = max(shape.rate, rate_end)
        at = 0.0
        while max_rate > 0:
            at += 1 / max_rate if shape.even else random.expovariate(max_rate)
            if at >= shape.seconds:
                break
            # Drop requests at random down to the current rate, so that a ramp has no steps.
            current_rate = shape.rate + (rate_end - shape.rate) * at / shape.seconds
            if (shape.even and rate_end == shape.rate) or random.random() * max_rate < current_rate:
                yield ScheduledRequest(shape_start + at, profile, timeout)
        shape_start += shape.seconds


TRACE_COLUMNS = ("at", "id", "first_try", "profile", "within", "effect")
EFFECTS = ("reissuable", "numbered", "at-most-once")


def read_trace(file: Path) -> list[ScheduledRequest]:
    """Read a recorded trace (CSV).

    Raises `InvalidConfigurationError` with the errors of all lines.
    """
    errors: list[str] = []
    requests: list[ScheduledRequest] = []
    ids: set[str] = set()
    text = file.read_text(encoding="utf-8")
    if not text.endswith("\n"):
        errors.append("the last line has no newline: the file is incomplete")
    rows = csv.DictReader(text.splitlines())
    if tuple(rows.fieldnames or ()) != TRACE_COLUMNS:
        raise InvalidConfigurationError([f"line 1: expected the columns {','.join(TRACE_COLUMNS)}"])
    for row in rows:
        try:
            requests.append(_parsed_request(row, ids))
        except (ValueError, TypeError, Invalid) as error:
            errors.append(f"line {rows.line_num}: {error}")
        ids.add(row["id"])
    if errors:
        raise InvalidConfigurationError(errors)
    if any(later.at < earlier.at for earlier, later in pairwise(requests)):
        raise InvalidConfigurationError(["the rows are not in order of time"])
    return requests


def _parsed_request(row: dict[str, str], earlier_ids: set[str]) -> ScheduledRequest:
    at, timeout = float(row["at"]), float(row["within"])
    if not (0 <= at < float("inf") and 0 < timeout < float("inf")):
        raise ValueError("at must be finite and at least 0, within finite and above 0")
    if row["effect"] not in EFFECTS:
        raise ValueError(f"effect must be one of {', '.join(EFFECTS)}")
    if row["id"] in earlier_ids:
        raise ValueError(f"id {row['id']} is used in an earlier row")
    if row["first_try"] != row["id"] and row["first_try"] not in earlier_ids:
        raise ValueError(f"first_try {row['first_try']} is not the id of an earlier row")
    return ScheduledRequest(at, row["profile"], timeout, row["effect"], row["first_try"])


@dataclass(slots=True)
class LoadResult:
    """The result of a load.

    Latency is counted per first request of a client, up to the response to it or to one of its retries.
    """

    latency: HdrHistogram = field(  # microseconds
        default_factory=lambda: HdrHistogram(1, int(MAX_LATENCY_S * 1e6), SIGNIFICANT_DIGITS)
    )
    schedule_lag: HdrHistogram = field(  # microseconds between scheduled and actual send time
        default_factory=lambda: HdrHistogram(1, int(MAX_LATENCY_S * 1e6), SIGNIFICANT_DIGITS)
    )
    final_results: Counter[str] = field(default_factory=Counter)  # scheduled requests by how they ended
    request_count: int = 0  # requests sent, with retries
    first_request_count: int = 0

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latency, in seconds."""
        return float(self.latency.get_value_at_percentile(percent)) / 1e6


class LoadGenerator:
    """Sends the requests of a schedule to one address. A slow target does not delay later requests."""

    def __init__(self, address: Address, max_tries: int = 1, seed: int = 0) -> None:
        self._address = address
        self._max_tries = max_tries
        self._random = Random(seed)
        self._clients = FakeClients()
        self._sent_count = 0
        self._succeeded_at: dict[str, float] = {}
        self.result = LoadResult()

    async def play(self, requests: Iterable[ScheduledRequest]) -> LoadResult:
        """Send all requests of the schedule and wait until each has ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        scheduled_at: dict[str, float] = {}  # of first requests, by id
        for number, scheduled in enumerate(requests):
            first_id = scheduled.first_try or str(number)
            first_at = scheduled_at.setdefault(first_id, started_at + scheduled.at)
            if (delay := started_at + scheduled.at - loop.time()) > 0:
                await asyncio.sleep(delay)
            self.result.schedule_lag.record_value(
                max(1, int((loop.time() - started_at - scheduled.at) * 1e6))
            )
            task = asyncio.create_task(self._run_request(scheduled, first_id, first_at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        self.result.first_request_count = len(scheduled_at)
        for first_id, succeeded_at in self._succeeded_at.items():
            self.result.latency.record_value(max(1, int((succeeded_at - scheduled_at[first_id]) * 1e6)))
        self._clients.close()
        return self.result

    async def _run_request(self, scheduled: ScheduledRequest, first_id: str, first_at: float) -> None:
        """Send one request of the schedule, and its retries after rejections."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + scheduled.timeout
        final = "lost"
        for retry in range(self._max_tries):
            time_left = deadline - loop.time()
            if time_left <= 0:
                break
            self.result.request_count += 1
            try:
                async with asyncio.timeout(time_left):
                    final = await self._send(scheduled, time_left, retry > 0)
            except TimeoutError:
                final = "unanswered"
            except OSError:
                final = "lost"
            if final != "turned back":
                break
            if retry + 1 < self._max_tries:
                await asyncio.sleep(RETRY_PAUSE_S * self._random.uniform(1, 2))
        self.result.final_results[final] += 1
        if final == "honoured":
            self._succeeded_at.setdefault(first_id, loop.time())

    async def _send(self, scheduled: ScheduledRequest, time_left: float, is_retry: bool) -> str:
        self._sent_count += 1
        headers = {
            "host": "load",
            "req-id": f"load-{self._sent_count}",
            "req-kind": scheduled.profile,
            "req-deadline-ms": str(max(1, int(time_left * 1000))),
            **({"req-retry": "1"} if is_retry else {}),
            **({"idempotency-key": f"key-{self._sent_count}"} if scheduled.effect == "numbered" else {}),
        }
        method = "GET" if scheduled.effect == "reissuable" else "POST"
        status = await self._clients.exchange(self._address, Request(method, "/api", headers))
        return {200: "honoured", 503: "turned back", 429: "turned back"}.get(status, "failed")
