"""Reads batches of events and writes replies in the simulator's line protocol.

A line is a name and fields of the form key=value, separated by tabs. The protocol's names are used in this
package only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import BinaryIO, TextIO, TypeVar

Fields = dict[str, str]
T = TypeVar("T", int, float)


class WireError(Exception):
    """The input is malformed, or an event lacks a required value."""


@dataclass(slots=True)
class Event:
    """One event of a batch; the methods return its fields as values."""

    line: int  # number of its line in the input, from 1
    name: str
    fields: Fields
    entries: list[Fields] = field(default_factory=list)  # of REGISTER: the fields of its M lines

    def text(self, key: str) -> str:
        """Return a field's text; raise `WireError` if it is missing or empty."""
        value = self.fields.get(key)
        if not value:
            raise WireError(f"line {self.line}: {self.name}: missing {key}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a field as a number, or the default if it is missing or empty.

        Raises:
            WireError: the field is missing and there is no default, or it is not a number.
        """
        return self._parse_value(key, default, float, "number")

    def integer(self, key: str, default: int | None = None) -> int:
        """Return a field as an integer; otherwise like `number`."""
        return self._parse_value(key, default, int, "integer")

    def _parse_value(self, key: str, default: T | None, convert: Callable[[str], T], type_name: str) -> T:
        if default is not None and not self.fields.get(key):
            return default
        value = self.text(key)
        try:
            return convert(value)
        except ValueError:
            raise WireError(f"line {self.line}: {self.name}: {key}: invalid {type_name} {value!r}") from None

    def flag(self, key: str) -> bool:
        """Return whether a field is set to 1 or true; a missing one is false."""
        return self.fields.get(key, "0") in ("1", "true")


@dataclass(slots=True)
class Batch:
    """The events of one moment of simulated time."""

    time_ms: float
    events: list[Event]


class Reader:
    """Splits the input stream into batches."""

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._line = 0

    def _read_line(self) -> tuple[str, Fields] | None:
        raw = self._stream.readline()
        if not raw:
            return None
        self._line += 1
        try:
            parts = raw.decode("utf-8").rstrip("\n").split("\t")
        except UnicodeDecodeError:
            raise WireError(f"line {self._line}: invalid UTF-8") from None
        fields: Fields = {}
        for part in parts[1:]:
            key, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"line {self._line}: field without '=': {part[:40]!r}")
            fields[key] = value
        return parts[0], fields

    def batches(self) -> Iterator[Batch]:
        """Yield the batches until the input ends; raise `WireError` if it is malformed."""
        while (first_line := self._read_line()) is not None:
            name, fields = first_line
            if name == "" and not fields:
                continue
            if name != "SYNC":
                raise WireError(f"line {self._line}: expected SYNC, got {name[:40]!r}")
            time_ms = Event(self._line, name, fields).number("at_time")
            yield Batch(time_ms, list(self._events()))

    def _events(self) -> Iterator[Event]:
        while (line := self._read_line()) is not None:
            name, fields = line
            if name == "EOF_BATCH":
                return
            event = Event(self._line, name, fields)
            if name == "REGISTER":
                for _ in range(event.integer("lines")):
                    entry = self._read_line()
                    if entry is None or entry[0] != "M":
                        raise WireError(f"line {self._line}: expected M in the list of line {event.line}")
                    event.entries.append(entry[1])
            yield event
        raise WireError(f"line {self._line}: input ended inside a batch")


def write_reply(stream: TextIO, actions: list[tuple[int, list[str]]]) -> None:
    """Write the reply to a batch: each node's actions, as `format_action` returns them, then READY."""
    lines: list[str] = []
    for node, rows in actions:
        if rows:
            lines.append(f"BY\tnode_id={node}")
            lines.extend(rows)
    lines.append("READY\n")
    stream.write("\n".join(lines))
    stream.flush()


def format_action(name: str, **fields: str | int | float) -> str:
    """Return an action as a line of the protocol, without its newline."""
    return "\t".join([name, *(f"{key}={value}" for key, value in fields.items())])
