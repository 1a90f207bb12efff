"""The state of a connection that migrates from one process of a node to the next, and its JSON form.

The other process may run another release: the keys, their order and the form of each value are a wire format.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ResponseFraming:
    """How the body of an open response is framed, and whether the connection is kept after it."""

    length: int | None  # bytes of the complete body; None if the head does not state it
    chunks: bool  # the client accepts chunked encoding
    keep: bool  # the connection is kept after the response


@dataclass(frozen=True, slots=True)
class MigratedResponse:
    """A response between two of its pieces."""

    framing: ResponseFraming
    parser: Mapping[str, Any]  # state of the parser of the endpoint's response
    unsent: bytes  # encoded bytes that the operating system has not accepted yet
    request_id: str  # empty if an earlier release sent the response

    def to_wire(self) -> dict[str, Any]:
        """Returns the JSON value that the handover sends."""
        return {
            "length": self.framing.length,
            "chunks": self.framing.chunks,
            "keep": self.framing.keep,
            "answers": self.parser,
            "unsent": b64encode(self.unsent).decode(),
            "id": self.request_id,
        }

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> MigratedResponse:
        """Returns the state of a received JSON value.

        Raises:
            KeyError: A key is missing.
            ValueError: The unsent bytes are not valid base64.
        """
        framing = ResponseFraming(wire["length"], bool(wire["chunks"]), bool(wire["keep"]))
        return cls(framing, wire["answers"], b64decode(wire["unsent"]), str(wire.get("id", "")))


@dataclass(frozen=True, slots=True)
class MigratedUpload:
    """A request whose response has been sent, and whose body is incomplete."""

    keep: bool  # the connection is kept after the body
    parser: Mapping[str, Any]  # state of the parser of the client's requests

    def to_wire(self) -> dict[str, Any]:
        """Returns the JSON value that the handover sends."""
        return {"keep": self.keep, "rest": self.parser}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> MigratedUpload:
        """Returns the state of a received JSON value.

        Raises:
            KeyError: A key is missing.
        """
        return cls(bool(wire["keep"]), wire["rest"])
