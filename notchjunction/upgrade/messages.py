"""The messages between two processes of one node: typed values, and their JSON form on the channel.

A line of the channel holds one JSON object. Its keys, values and their order are a wire format that two
releases of the node share: they stay as they are, even where the names in this module differ.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, TypeAlias

from notchjunction.errors import NotchjunctionError
from notchjunction.safety.request_ids import TakenIds

REQUEST_OPENED = "open"  # the command word of `RequestOpened`
PROTOCOL_VERSION = 1  # of the messages on the channel; processes of different versions do not join

JsonObject: TypeAlias = Mapping[str, Any]


class HandoverError(NotchjunctionError):
    """An error between two processes of one node."""


class MalformedMessageError(HandoverError):
    """A peer process sent something that is no message of this protocol."""

    def __init__(self, what: str, where: str = "handover channel") -> None:
        super().__init__(what, where, "check which releases of the node run side by side")


class Message(Protocol):
    """A message that can be sent on the channel."""

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """The node that a process belongs to; processes hand over to one another only if theirs are equal."""

    node: str
    listen: str  # host:port of the clients' listener
    version: str = str(PROTOCOL_VERSION)

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the channel's first line, which comes with the listeners."""
        return {"node": self.node, "listen": self.listen, "version": self.version}

    def matches(self, text: bytes) -> bool:
        """Returns whether a received identity equals this one; raises ValueError if it is no JSON."""
        return bool(json.loads(text or b"null") == self.to_object())


@dataclass(frozen=True, slots=True)
class ListenersReceived:
    """The joining process has received the listeners, and waits for the node's state."""

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"got": True}


@dataclass(frozen=True, slots=True)
class NodeState:
    """What a process needs from the serving one to be ready at once.

    The last three are not validated here but by the code that restores them; None if the peer sent none.
    """

    banned: Iterable[str]  # names of endpoints that operators banned
    out_of_service: bool
    endpoint_list: Any  # rows and version, in the form that discovery uses
    start_times: Any  # by endpoint name, with its age
    learned_state: Any  # of the balancer

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
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
        """Returns the state in a peer's message; raises MalformedMessageError if it has none."""
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
    """Commands that an operator sends to one process and that apply to all processes of the node."""

    BAN = "bar"  # value: the endpoint's name
    LIFT_BAN = "unbar"  # value: the endpoint's name
    OUT_OF_SERVICE = "out"  # value: whether the node is out of service


@dataclass(frozen=True, slots=True)
class CommandMessage:
    """An operator's command, acknowledged by its number once it is done."""

    number: int
    command: str  # an OperatorCommand; one of another release that is unknown here is acknowledged, too
    value: Any

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"tell": self.number, "word": self.command, "value": self.value}


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Reports that the command of this number is done."""

    number: int

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"ack": self.number}


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """What a process uses of the limit on descriptors that all processes of the node share."""

    descriptors: int = 0  # in use, including those of clients
    clients: int = 0  # connected

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"usage": {"held": self.descriptors, "callers": self.clients}}

    @classmethod
    def from_counts(cls, counts: JsonObject) -> ResourceUsage:
        """Returns the usage in a peer's message; raises MalformedMessageError unless counts are numbers."""
        try:
            numbers = {name: int(value) for name, value in counts.items()}
        except (TypeError, ValueError) as error:
            raise MalformedMessageError(f"usage {counts!r}") from error
        return cls(numbers.get("held", 0), numbers.get("callers", 0))


@dataclass(frozen=True, slots=True)
class ReadyMessage:
    """The process accepts clients: it goes on serving when the other process ends."""

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"ready": True}


@dataclass(frozen=True, slots=True)
class RequestOpened:
    """The process has accepted a request; the reply is an acknowledgement, or a denial if its id is taken.

    It has the form of a command, as a process of an earlier release acknowledges commands unknown to it.
    """

    number: int  # 0 if no reply is awaited
    request_id: str
    time_allowed: float  # s

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        value = {"id": self.request_id, "seconds": self.time_allowed}
        return {"tell": self.number, "word": REQUEST_OPENED, "value": value}


@dataclass(frozen=True, slots=True)
class Denial:
    """Reports that the id in the message of this number is taken."""

    number: int

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"deny": self.number}


@dataclass(frozen=True, slots=True)
class RequestClosed:
    """A request has ended at the process; its id stays taken for `hold` s, as the request may run."""

    request_id: str
    hold: float

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"closed": self.request_id, "seconds": self.hold}


@dataclass(frozen=True, slots=True)
class TakenIdsMessage:
    """The ids that are taken as a process joins."""

    taken: TakenIds

    def to_object(self) -> JsonObject:
        """Returns the JSON object of the message's line."""
        return {"taken": {"open": dict(self.taken.open), "held": dict(self.taken.held)}}


def _times_of(value: Any) -> dict[str, float]:
    """Returns times (s) by request id; raises TypeError, ValueError or AttributeError for anything else."""
    return {str(request_id): float(seconds) for request_id, seconds in value.items()}


PeerMessage: TypeAlias = (
    CommandMessage
    | Acknowledgement
    | ResourceUsage
    | ReadyMessage
    | RequestOpened
    | Denial
    | RequestClosed
    | TakenIdsMessage
)


def encode_line(message: Message) -> bytes:
    """Returns the message's line on the channel, including the newline."""
    return json.dumps(message.to_object()).encode() + b"\n"


def parse_object(text: bytes) -> JsonObject:
    """Returns the JSON object of a line; raises MalformedMessageError for anything else."""
    try:
        parsed = json.loads(text)
    except ValueError as error:
        raise MalformedMessageError(str(error)) from error
    if not isinstance(parsed, dict):
        raise MalformedMessageError(f"{type(parsed).__name__} in place of an object")
    return parsed


def decode(message: JsonObject) -> PeerMessage | None:
    """Returns the message of a JSON object from a peer; None for one that this release doesn't know.

    Raises TypeError or ValueError for one with malformed values.
    """
    match message:
        case {
            "tell": int(number),
            "word": "open",  # REQUEST_OPENED
            "value": {"id": str(request_id), "seconds": float() | int() as seconds},
        }:
            return RequestOpened(number, request_id, float(seconds))
        case {"deny": int(number)}:
            return Denial(number)
        case {"closed": str(request_id), "seconds": float() | int() as seconds}:
            return RequestClosed(request_id, float(seconds))
        case {"taken": {"open": dict(open_ids), "held": dict(held_ids)}}:
            return TakenIdsMessage(TakenIds(_times_of(open_ids), _times_of(held_ids)))
        case {"tell": int(number), "word": str(command), "value": value}:
            return CommandMessage(number, command, value)
        case {"ack": int(number)}:
            return Acknowledgement(number)
        case {"usage": dict(counts)}:
            return ResourceUsage.from_counts(counts)
        case {"ready": True}:
            return ReadyMessage()
    return None
