"""One node's part in its fleet: its seal, its view of who is there, and its rights, behind two calls. Pure.

`hear` takes a datagram and `tick` the time; both give the datagrams to send. Nothing here knows a socket or
a clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from notchjunction.errors import FleetError
from notchjunction.fleet.envelope import Envelope, Key, MalformedError, OutgoingMessage, Sender
from notchjunction.fleet.membership import messages as membership_messages
from notchjunction.fleet.membership.membership import Membership
from notchjunction.fleet.quotas import messages as quota_messages
from notchjunction.fleet.quotas.plan import Plan, Split
from notchjunction.fleet.quotas.quotas import LeaseTiming, Quotas

LIST_HEADER_BYTES_MAX = 5  # of a list's own head in msgpack, at most
MEMBERSHIP_TICK_INTERVAL_S = 0.1  # s between looks at who is there; a tenth of the time between two probes
DEFAULT_CLOCK_DRIFT = (
    0.01  # part by which clocks may run off where the file does not say; a hundred times that of plain quartz
)

Message = membership_messages.Message | quota_messages.Message
DECODER = msgspec.msgpack.Decoder(list[Message])
ENCODER = msgspec.msgpack.Encoder()


class Datagram(NamedTuple):
    address: str  # "host:port"
    data: bytes


@dataclass(frozen=True, slots=True)
class Scope:
    """The jobs that a limit is about; empty: of all profiles, or of all operators."""

    request_classes: frozenset[str]
    tenants: frozenset[str]

    def covers(self, request_class: str, tenant: str) -> bool:
        return (not self.request_classes or request_class in self.request_classes) and (
            not self.tenants or tenant in self.tenants
        )


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The file's section `fleet`, as typed values; times in seconds."""

    listen: str
    advertise: str
    seeds: tuple[str, ...]
    keys: tuple[Key, ...]
    clock_drift: float
    clock_rate: float  # at which the node's clock is said to run, in tests; 1 elsewhere
    plans: tuple[Plan, ...]
    scopes: Mapping[str, Scope]


def read_section(section: Mapping[str, Any]) -> FleetConfig:
    """The section after its check."""
    limits = section.get("limits", [])
    return FleetConfig(
        listen=section["listen"],
        advertise=section.get("advertise", section["listen"]),
        seeds=tuple(section["seeds"]),
        keys=tuple(Key(int(key["number"]), bytes.fromhex(key["secret"])) for key in section["keys"]),
        clock_drift=float(section.get("clock_drift", DEFAULT_CLOCK_DRIFT)),
        clock_rate=float(section.get("clock_rate", 1.0)),
        plans=tuple(
            Plan(limit["name"], _split(limit), _split(limit["before"]) if "before" in limit else None)
            for limit in limits
        ),
        scopes={
            limit["name"]: Scope(frozenset(limit.get("profiles", ())), frozenset(limit.get("operators", ())))
            for limit in limits
        },
    )


def _split(config: Mapping[str, Any]) -> Split:
    owners = {name: int(count) for name, count in config["owners"].items()}
    return Split(int(config["revision"]), owners, tuple(config.get("ended", ())))


class FleetAgent:
    """`start`: larger for a later start of the same name; `longest`: s that a job's time may be at most."""

    def __init__(
        self, name: str, start: int, config: FleetConfig, request_time_max: float, seed: int, now: float
    ) -> None:
        me = Sender(name, start)
        self.envelope = Envelope(me, config.keys)
        self.membership = Membership(me, config.advertise, config.seeds, seed)
        self.quotas = Quotas(me, config.plans, LeaseTiming(config.clock_drift, request_time_max), seed, now)
        self.unknown_peers = 0  # messages for nodes that are not known to be there
        self._next_membership_tick_at = now
        self._keys = config.keys

    def apply_config(self, now: float, config: FleetConfig) -> None:
        """Other keys and limits from now on; a FleetError where the limits can't be taken yet."""
        self.envelope.replace_keys(config.keys)
        try:
            self.quotas.apply_plans(now, config.plans)
        except FleetError:
            # Guards against half a file in force.
            self.envelope.replace_keys(self._keys)
            raise
        self._keys = config.keys

    def tick(self, now: float) -> list[Datagram]:
        """What is due; to be called every 20 to 50 ms."""
        outgoing = self.quotas.tick(now, len(self.membership.members()))
        found: list[Datagram] = []
        if now >= self._next_membership_tick_at:
            self._next_membership_tick_at = now + MEMBERSHIP_TICK_INTERVAL_S
            outgoing += self.membership.tick(now)
            for address, hello in self.membership.due_joins(now):
                found.append(Datagram(address, self.envelope.seal("", 0, ENCODER.encode([hello]))))
        return found + self.pack(outgoing)

    def receive(self, now: float, data: bytes, source: str) -> list[Datagram]:
        """A datagram that came from this address; a FleetError where it must not be heard."""
        opened = self.envelope.open(data)
        try:
            messages = DECODER.decode(opened.payload)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            what = f"{opened.sender.name} says what can't be read: {error}"
            raise MalformedError(
                what, "a datagram", "run one release on all nodes, or two that follow"
            ) from error
        sender = opened.sender
        if opened.is_join:
            answers = [each for message in messages for each in self._reply_to_join(now, sender, message)]
            sealed = (
                self.envelope.seal(sender.name, sender.start, ENCODER.encode([each])) for each in answers
            )
            return [Datagram(source, data) for data in sealed]
        outgoing: list[OutgoingMessage] = []
        for message in messages:
            if isinstance(message, quota_messages.Message):
                outgoing += self.quotas.receive(now, sender, message)
            else:
                outgoing += self.membership.receive(now, sender, message)
        return self.pack(outgoing)

    def _reply_to_join(self, now: float, sender: Sender, message: Message) -> Iterable[Message]:
        # Guards against rights asked for or given by what may be heard again without bound.
        if isinstance(message, quota_messages.Message):
            return ()
        return self.membership.reply_to_join(now, sender, message)

    def leave(self, now: float) -> list[Datagram]:
        return self.pack(self.membership.leave(now))

    def pack(self, outgoing: Sequence[OutgoingMessage]) -> list[Datagram]:
        """As few datagrams as the messages for each node fit in, in order."""
        by_node: dict[str, list[bytes]] = {}
        for out in outgoing:
            by_node.setdefault(out.to, []).append(ENCODER.encode(out.message))
        found: list[Datagram] = []
        for name, messages in by_node.items():
            address, start = self.membership.address_of(name), self.membership.start_of(name)
            if address is None or not start:
                self.unknown_peers += len(messages)
                continue
            room = self.envelope.payload_max(name) - LIST_HEADER_BYTES_MAX
            piece: list[msgspec.Raw] = []
            size = 0
            for message in messages:
                if piece and size + len(message) > room:
                    found.append(self._sealed(address, name, start, piece))
                    piece, size = [], 0
                piece.append(msgspec.Raw(message))
                size += len(message)
            found.append(self._sealed(address, name, start, piece))
        return found

    def _sealed(self, address: str, name: str, start: int, messages: list[msgspec.Raw]) -> Datagram:
        return Datagram(address, self.envelope.seal(name, start, ENCODER.encode(messages)))

    def faults(self, now: float) -> list[FleetError]:
        """What an operator has to mend."""
        fault = self.membership.fault(now)
        return self.quotas.faults + ([fault] if fault is not None else [])
