"""The messages between two processes of one node: typed values, and the JSON they have on the channel.

A line of the channel holds one JSON object. Words, keys and their order are a wire between two releases: they
stay as they are, whatever the names here.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, TypeAlias

from notchjunction.errors import NotchjunctionError

PROTOCOL_VERSION = 1  # of the messages on the channel; a process of another one is not joined

JsonObject: TypeAlias = Mapping[str, Any]


class HandoverError(NotchjunctionError):
    """Between two processes of one node."""


class MalformedMessageError(HandoverError):
    """A peer process sent what is no message of this protocol."""

    def __init__(self, what: str, where: str = "handover channel") -> None:
        super().__init__(what, where, "check which releases of the node run side by side")


class Message(Protocol):
    """What can be sent on the channel."""

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Which node a process belongs to; two processes hand over to one another only if theirs are equal."""

    node: str
    listen: str  # host:port of the clients' listener
    version: str = str(PROTOCOL_VERSION)

    def to_object(self) -> JsonObject:
        """The JSON object of the channel's first line, which comes with the listeners."""
        return {"node": self.node, "listen": self.listen, "version": self.version}

    def matches(self, text: bytes) -> bool:
        """Whether this is the same identity as received; ValueError for what is no JSON."""
        return bool(json.loads(text or b"null") == self.to_object())


@dataclass(frozen=True, slots=True)
class ListenersReceived:
    """The process that joins has the listeners, and waits for the node's state."""

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""
        return {"got": True}


@dataclass(frozen=True, slots=True)
class NodeState:
    """What a process needs of the one that serves to be ready at once.

    The last three are as they came: whoever restores them judges them. None where the peer sent none.
    """

    banned: Iterable[str]  # names of endpoints that operators banned
    out_of_service: bool
    endpoint_list: Any  # rows and version, as discovery has them
    start_times: Any  # by endpoint, each with its age
    learned_state: Any

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""
        return {
            "state": {
                "barred": self.banned,
                "out": self.out_of_service,
                "list": self.endpoint_list,
                "starts": self.start_times,
                "lessons": self.learned_state,
            }
        }

    @classmethod
    def from_object(cls, message: JsonObject) -> NodeState:
        """The state in a peer's message; MalformedMessageError where it has none."""
        state = message.get("state")
        if not isinstance(state, dict):
            raise MalformedMessageError("no state in the message")
        return cls(
            banned=state.get("barred", ()),
            out_of_service=bool(state.get("out")),
            endpoint_list=state.get("list"),
            start_times=state.get("starts", {}),
            learned_state=state.get("lessons"),
        )


class OperatorCommand(StrEnum):
    """What an operator asked of one process, and holds for all processes of the node."""

    BAN = "bar"  # an endpoint, by name
    LIFT_BAN = "unbar"  # of an endpoint, by name
    OUT_OF_SERVICE = "out"  # whether the node is


@dataclass(frozen=True, slots=True)
class CommandMessage:
    """An operator's command, acknowledged by its number once it is done."""

    number: int
    command: str  # an OperatorCommand; another release's that is unknown here is acknowledged, too
    value: Any

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""
        return {"tell": self.number, "word": self.command, "value": self.value}


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The command of this number is done."""

    number: int

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""
        return {"ack": self.number}


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """What a process uses of the descriptors that all processes of the node share."""

    descriptors: int = 0
    clients: int = 0  # connected to it

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""
        return {"usage": {"held": self.descriptors, "callers": self.clients}}

    @classmethod
    def from_counts(cls, counts: JsonObject) -> ResourceUsage:
        """The usage in a peer's message; MalformedMessageError for a count that is no number."""
        try:
            numbers = {name: int(value) for name, value in counts.items()}
        except (TypeError, ValueError) as error:
            raise MalformedMessageError(f"usage {counts!r}") from error
        return cls(numbers.get("held", 0), numbers.get("callers", 0))


@dataclass(frozen=True, slots=True)
class ReadyMessage:
    """The process accepts clients: the node is served when the other process ends."""

    def to_object(self) -> JsonObject:
        """The JSON object of the message's line."""
        return {"ready": True}


PeerMessage: TypeAlias = CommandMessage | Acknowledgement | ResourceUsage | ReadyMessage


def encode_line(message: Message) -> bytes:
    """The message's line on the channel, with its end."""
    return json.dumps(message.to_object()).encode() + b"\n"


def parse_object(text: bytes) -> JsonObject:
    """The JSON object of a line; MalformedMessageError for anything else."""
    try:
        found = json.loads(text)
    except ValueError as error:
        raise MalformedMessageError(str(error)) from error
    if not isinstance(found, dict):
        raise MalformedMessageError(f"{type(found).__name__} in place of an object")
    return found


def decode(message: JsonObject) -> PeerMessage | None:
    """The message between two processes that have joined; None for one that this release doesn't know."""
    match message:
        case {"tell": int(number), "word": str(command), "value": value}:
            return CommandMessage(number, command, value)
        case {"ack": int(number)}:
            return Acknowledgement(number)
        case {"usage": dict(counts)}:
            return ResourceUsage.from_counts(counts)
        case {"ready": True}:
            return ReadyMessage()
    return None
