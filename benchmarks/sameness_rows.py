"""Rows of recorded commands: their codes and text, and the comparison of two recordings.

A recorder writes one row for each command of the code under test. A row holds only numbers, so that renaming
does not change it. A `Mutation` tests the comparison: on request, a recorder injects a single small
difference, which the comparison has to find.

This module uses no name of the project. Recorders of older revisions import it, so the names that they use
(`Code`, `Recording`, `flattened`) must not change.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from hashlib import blake2b
from itertools import zip_longest
from typing import Any, NamedTuple
from zlib import crc32

MUTATED_DRAW = 800  # number of the random draw from 0 to 1 in a recording before which `DRAW` makes one more
MUTATED_TIMER = 40  # number of the timer that `TIMER` delays
MUTATED_TIMER_DELAY_S = 0.001  # by which `TIMER` delays it
MUTATED_ROW = 200  # first row at which `ORDER` looks for two unequal commands to swap
NO_ENDPOINT = -1
ABSENT = -1.0  # in place of a number that is None


class Code(IntEnum):
    """The kind of a row."""

    PLAY = 0  # the start of a play, or of one of its parts, with the seed
    ATTEMPT = 1
    CANCEL = 2
    PROBE = 3
    REJECT = 4
    FAIL = 5
    SET_TIMER = 6
    POLL_LIST = 7
    EJECT = 8
    GOSSIP = 9
    REPEAT_LIMIT = 10  # until when an attempt may be repeated without harm, as returned to the host
    WATCH = 20  # a decision of the watch of the endpoint list
    LIMIT_MOVE = 30  # a step of the exploration of quotas
    LIMIT_MESSAGE = 31  # a message in flight after that step
    LIMIT_STATE = 32
    DATAGRAM = 40  # sent by a fleet member to another
    REFUSED_DATAGRAM = 41
    PERMIT = 42  # whether a member acquired a permit
    MEMBER_STATE = 43
    RENEWAL = 44  # whether a member accepted a changed split of a quota


class Mutation(Enum):
    """The difference that a recorder injects on request."""

    DRAW = "draw"
    TIMER = "timer"
    ORDER = "order"


class Row(NamedTuple):
    """One recorded command."""

    sequence: int
    time: float
    code: int
    endpoint: int
    numbers: tuple[float, ...]

    def text(self) -> str:
        """Return the row as a line of text, with all digits of floats."""
        return " ".join(map(repr, (self.sequence, self.time, int(self.code), self.endpoint, *self.numbers)))


class Difference(NamedTuple):
    """The first pair of different rows; None for a side that has already ended."""

    base: str | None
    other: str | None


@dataclass(slots=True)
class Recording:
    """The recorded rows of one process, in order."""

    mutation: Mutation | None = None
    rows: list[Row] = field(default_factory=list)
    _timers: int = 0

    def add(self, time: float, code: Code, endpoint: int = NO_ENDPOINT, *numbers: float) -> None:
        """Append a row."""
        self.rows.append(Row(len(self.rows), time, int(code), endpoint, numbers))

    def timer_delay(self, delay: float) -> float:
        """Return the delay (s) to set a timer with: the given one, unless the mutation changes this timer."""
        self._timers += 1
        mutated = self.mutation is Mutation.TIMER and self._timers == MUTATED_TIMER
        return delay + MUTATED_TIMER_DELAY_S if mutated else delay

    def lines(self) -> Iterator[str]:
        """Return the rows as text."""
        rows = swapped(self.rows) if self.mutation is Mutation.ORDER else self.rows
        return (row.text() for row in rows)


def swapped(rows: Sequence[Row]) -> list[Row]:
    """Return the rows with two neighbours swapped: the first different ones from MUTATED_ROW on."""
    result = list(rows)
    for number in range(min(MUTATED_ROW, len(rows) // 2), len(rows) - 1):
        first, second = result[number : number + 2]
        if first[1:] != second[1:]:
            result[number] = second._replace(sequence=first.sequence)
            result[number + 1] = first._replace(sequence=second.sequence)
            break
    return result


def first_difference(base: Iterable[str], other: Iterable[str]) -> Difference | None:
    """Return the first pair of different lines, or None if all are equal."""
    for base_line, other_line in zip_longest(base, other):
        if base_line != other_line:
            return Difference(base_line, other_line)
    return None


def digest(lines: Iterable[str]) -> str:
    """Return a short hash of lines."""
    line_hash = blake2b(digest_size=8)
    for line in lines:
        line_hash.update(line.encode() + b"\n")
    return line_hash.hexdigest()


def flattened(value: Any) -> Iterator[float]:
    """Yield the numbers in nested sequences and maps; a checksum for text and bytes, ABSENT for None."""
    if value is None:
        yield ABSENT
    elif isinstance(value, bool | int | float):
        yield float(value) if isinstance(value, float) else int(value)
    elif isinstance(value, str):
        yield crc32(value.encode())
    elif isinstance(value, bytes):
        yield crc32(value)
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from flattened(key)
            yield from flattened(item)
    else:
        for item in value:
            yield from flattened(item)


class _MutatedRandom(random.Random):
    """A random generator that skips one draw: draw number MUTATED_DRAW of all generators of the process."""

    draw_count = 0

    def random(self) -> float:
        _MutatedRandom.draw_count += 1
        if _MutatedRandom.draw_count == MUTATED_DRAW:
            super().random()
        return super().random()

    def getrandbits(self, k: int, /) -> int:
        # Guards against different draws of integers: `Random` derives them from `random` in subclasses that
        # override only `random`.
        return super().getrandbits(k)


def install_mutation(mutation: Mutation | None) -> None:
    """Prepare a mutation of random draws. Must be called before the code under test is imported."""
    if mutation is Mutation.DRAW:
        random.Random = _MutatedRandom  # type: ignore[misc]
