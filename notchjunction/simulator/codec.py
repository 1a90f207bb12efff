"""Reads batches of the bench's wire and writes replies. Wire names stay in this package."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import BinaryIO, TextIO, TypeVar

Fields = dict[str, str]
T = TypeVar("T", int, float)


class WireError(Exception):
    """A line that breaks the framing, or an event without a value it cannot do without."""


@dataclass(slots=True)
class Event:
    line: int
    name: str
    fields: Fields
    entries: list[Fields] = field(default_factory=list)

    def text(self, key: str) -> str:
        value = self.fields.get(key)
        if not value:
            raise WireError(f"line {self.line}: {self.name} without {key}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        return self._read(key, default, float, "number")

    def whole(self, key: str, default: int | None = None) -> int:
        return self._read(key, default, int, "whole number")

    def _read(self, key: str, default: T | None, kind: Callable[[str], T], name: str) -> T:
        if default is not None and not self.fields.get(key):
            return default
        value = self.text(key)
        try:
            return kind(value)
        except ValueError:
            raise WireError(f"line {self.line}: {self.name}: {key} is no {name}: {value!r}") from None

    def flag(self, key: str) -> bool:
        return self.fields.get(key, "0") in ("1", "true")


@dataclass(slots=True)
class Batch:
    at_ms: float
    events: list[Event]


class Reader:
    """Splits the input stream into batches."""

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._line = 0

    def _next(self) -> tuple[str, Fields] | None:
        raw = self._stream.readline()
        if not raw:
            return None
        self._line += 1
        try:
            parts = raw.decode("utf-8").rstrip("\n").split("\t")
        except UnicodeDecodeError:
            raise WireError(f"line {self._line}: not UTF-8") from None
        fields: Fields = {}
        for part in parts[1:]:
            key, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"line {self._line}: part without '=': {part[:40]!r}")
            fields[key] = value
        return parts[0], fields

    def batches(self) -> Iterator[Batch]:
        while (opening := self._next()) is not None:
            name, fields = opening
            if name == "" and not fields:
                continue
            if name != "SYNC":
                raise WireError(f"line {self._line}: SYNC wanted, got {name[:40]!r}")
            clock = Event(self._line, name, fields).number("at_time")
            yield Batch(clock, list(self._events()))

    def _events(self) -> Iterator[Event]:
        while (item := self._next()) is not None:
            name, fields = item
            if name == "EOF_BATCH":
                return
            event = Event(self._line, name, fields)
            if name == "REGISTER":
                for _ in range(event.whole("lines")):
                    entry = self._next()
                    if entry is None or entry[0] != "M":
                        raise WireError(f"line {self._line}: M wanted in the list of line {event.line}")
                    event.entries.append(entry[1])
            yield event
        raise WireError(f"line {self._line}: input ended inside a batch")


def write_reply(stream: TextIO, actions: list[tuple[int, list[str]]]) -> None:
    lines: list[str] = []
    for node, rows in actions:
        if rows:
            lines.append(f"BY\tnode_id={node}")
            lines.extend(rows)
    lines.append("READY\n")
    stream.write("\n".join(lines))
    stream.flush()


def act(name: str, **fields: str | int | float) -> str:
    return "\t".join([name, *(f"{key}={value}" for key, value in fields.items())])
