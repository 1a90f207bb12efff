"""Rows of recorded commands: codes, text, and how two recordings compare. Knows no name of the project.

A recorder writes one row for each command that the code under test gave. A row holds numbers alone, so that
it stays the same whatever is renamed. `Mutation` is for the check of the check: a recorder that is asked for
one plants a single small difference, which the comparison has to find.
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

MUTATED_DRAW = 800  # the random draw from 0 to 1, counted over a recording, before which one more is made
MUTATED_TIMER = 40  # the timer that it delays
MUTATED_TIMER_DELAY_S = 0.001  # by so much
MUTATED_ROW = 200  # the row from which on it looks for two unequal commands to swap
NO_ENDPOINT = -1
ABSENT = -1.0  # in place of a number that is not given


class Code(IntEnum):
    """Kinds of rows."""

    PLAY = 0  # the beginning of a play: its number and its seed
    ATTEMPT = 1
    CANCEL = 2
    PROBE = 3
    REJECT = 4
    FAIL = 5
    SET_TIMER = 6
    POLL_LIST = 7
    EJECT = 8
    GOSSIP = 9
    REPEAT_LIMIT = 10  # the answer to a host's question until when a repeat does no harm
    WATCH = 20  # what the watch of the endpoint list decided
    LIMIT_MOVE = 30  # a move in a world of hard limits
    LIMIT_MESSAGE = 31  # a message that is on its way after it
    LIMIT_STATE = 32
    DATAGRAM = 40  # sent from one member of a fleet to another
    REFUSED_DATAGRAM = 41
    PERMIT = 42  # the answer to a member that asked for one
    MEMBER_STATE = 43
    RENEWAL = 44  # whether a member took a changed split


class Mutation(Enum):
    """The one difference that a recorder plants on request."""

    DRAW = "draw"
    TIMER = "timer"
    ORDER = "order"


class Row(NamedTuple):
    """One command as recorded."""

    sequence: int
    time: float
    code: int
    endpoint: int
    numbers: tuple[float, ...]

    def text(self) -> str:
        """The row as a line; every digit of a float is kept."""
        return " ".join(map(repr, (self.sequence, self.time, int(self.code), self.endpoint, *self.numbers)))


class Difference(NamedTuple):
    """The first place where two recordings differ; a side that has ended there has no row."""

    base: str | None
    other: str | None


@dataclass(slots=True)
class Recording:
    """Takes the rows of one process in order."""

    mutation: Mutation | None = None
    rows: list[Row] = field(default_factory=list)
    _timers: int = 0

    def add(self, time: float, code: Code, endpoint: int = NO_ENDPOINT, *numbers: float) -> None:
        """Appends a row."""
        self.rows.append(Row(len(self.rows), time, int(code), endpoint, numbers))

    def timer_delay(self, delay: float) -> float:
        """The delay to set a timer with: as given, but for the one that a mutation changes."""
        self._timers += 1
        mutated = self.mutation is Mutation.TIMER and self._timers == MUTATED_TIMER
        return delay + MUTATED_TIMER_DELAY_S if mutated else delay

    def lines(self) -> Iterator[str]:
        """The rows as text."""
        rows = swapped(self.rows) if self.mutation is Mutation.ORDER else self.rows
        return (row.text() for row in rows)


def swapped(rows: Sequence[Row]) -> list[Row]:
    """The rows with the first two neighbours exchanged, from MUTATED_ROW on, that differ in command."""
    found = list(rows)
    for number in range(min(MUTATED_ROW, len(rows) // 2), len(rows) - 1):
        first, second = found[number : number + 2]
        if first[1:] != second[1:]:
            found[number] = second._replace(sequence=first.sequence)
            found[number + 1] = first._replace(sequence=second.sequence)
            break
    return found


def first_difference(base: Iterable[str], other: Iterable[str]) -> Difference | None:
    """The first pair of lines that are not the same; none where all are."""
    for one, two in zip_longest(base, other):
        if one != two:
            return Difference(one, two)
    return None


def digest(lines: Iterable[str]) -> str:
    """A short mark of a recording."""
    mark = blake2b(digest_size=8)
    for line in lines:
        mark.update(line.encode() + b"\n")
    return mark.hexdigest()


def flattened(value: Any) -> Iterator[float]:
    """The numbers in nested sequences and maps; text and bytes by a checksum, None as ABSENT."""
    if value is None:
        yield ABSENT
    elif isinstance(value, bool | int | float):
        yield float(value) if isinstance(value, float) else int(value)
    elif isinstance(value, str):
        yield crc32(value.encode())
    elif isinstance(value, bytes):
        yield crc32(value)
    elif isinstance(value, dict):
        for key, inner in value.items():
            yield from flattened(key)
            yield from flattened(inner)
    else:
        for inner in value:
            yield from flattened(inner)


class _MutatedRandom(random.Random):
    """A generator whose draws are the usual ones, but for one more of all generators of the process."""

    drawn = 0

    def random(self) -> float:
        _MutatedRandom.drawn += 1
        if _MutatedRandom.drawn == MUTATED_DRAW:
            super().random()
        return super().random()

    def getrandbits(self, k: int, /) -> int:
        # Guards against other draws of whole numbers: a class that has `random` alone would make them by it.
        return super().getrandbits(k)


def plant(mutation: Mutation | None) -> None:
    """To be called before the code under test is imported: prepares the mutation of a random draw."""
    if mutation is Mutation.DRAW:
        random.Random = _MutatedRandom  # type: ignore[misc]
