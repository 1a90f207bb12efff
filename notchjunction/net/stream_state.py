"""What one process of a node tells the next of a connection that it migrates, as values and as JSON words.

The other process may be of another release: keys, their order and the form of each value are a wire format.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ResponseFraming:
    """How a response that is under way is framed, and what comes after it."""

    length: int | None  # bytes of the whole body; None where the head does not state it
    chunks: bool  # the client reads chunks
    keep: bool  # the connection is kept after the response


@dataclass(frozen=True, slots=True)
class MigratedResponse:
    """A response between two of its pieces."""

    framing: ResponseFraming
    parser: Mapping[str, Any]  # where the parser of the endpoint's response stands
    unsent: bytes  # encoded for the client, and not accepted by the operating system yet

    def to_wire(self) -> dict[str, Any]:
        """The JSON value of the handover."""
        return {
            "length": self.framing.length,
            "chunks": self.framing.chunks,
            "keep": self.framing.keep,
            "answers": self.parser,
            "unsent": b64encode(self.unsent).decode(),
        }

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> MigratedResponse:
        """The value of such JSON; KeyError or ValueError where it is none."""
        framing = ResponseFraming(wire["length"], bool(wire["chunks"]), bool(wire["keep"]))
        return cls(framing, wire["answers"], b64decode(wire["unsent"]))


@dataclass(frozen=True, slots=True)
class MigratedUpload:
    """A request that has its response, and whose body still comes."""

    keep: bool  # the connection is kept after the body
    parser: Mapping[str, Any]  # where the parser of the client's requests stands

    def to_wire(self) -> dict[str, Any]:
        """The JSON value of the handover."""
        return {"keep": self.keep, "rest": self.parser}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> MigratedUpload:
        """The value of such JSON; KeyError where it is none."""
        return cls(bool(wire["keep"]), wire["rest"])
