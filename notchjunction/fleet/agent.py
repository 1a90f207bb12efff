"""One node's part in its fleet: authenticated datagrams, the fleet's membership, and its quotas. Pure.

`receive` takes a datagram and `tick` the time; both return the datagrams to send. This module uses neither
a socket nor a clock.
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

LIST_HEADER_BYTES_MAX = 5  # the longest header of an array in msgpack
MEMBERSHIP_TICK_INTERVAL_S = 0.1  # a tenth of the probe interval
# Share by which a clock's rate may deviate, if not configured; 100 times the drift of an ordinary quartz.
DEFAULT_CLOCK_DRIFT = 0.01

Message = membership_messages.Message | quota_messages.Message
DECODER = msgspec.msgpack.Decoder(list[Message])
ENCODER = msgspec.msgpack.Encoder()


class Datagram(NamedTuple):
    """A datagram to send."""

    address: str  # "host:port"
    data: bytes


@dataclass(frozen=True, slots=True)
class Scope:
    """The requests that a quota applies to; an empty set stands for all classes, or for all tenants."""

    request_classes: frozenset[str]
    tenants: frozenset[str]

    def covers(self, request_class: str, tenant: str) -> bool:
        """Returns whether the quota applies to requests of this class and tenant."""
        return (not self.request_classes or request_class in self.request_classes) and (
            not self.tenants or tenant in self.tenants
        )


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The section `fleet` of the configuration, as typed values."""

    listen: str
    advertise: str
    seeds: tuple[str, ...]
    keys: tuple[Key, ...]
    clock_drift: float
    clock_rate: float  # factor on the rate of the node's clock, for tests; 1 otherwise
    plans: tuple[Plan, ...]
    scopes: Mapping[str, Scope]


def read_section(section: Mapping[str, Any]) -> FleetConfig:
    """Returns the validated section `fleet` as typed values."""
    limits = section.get("limits", [])
    return FleetConfig(
        listen=section["listen"],
        advertise=section.get("advertise", section["listen"]),
        seeds=tuple(section["seeds"]),
        keys=tuple(Key(int(key["number"]), bytes.fromhex(key["secret"])) for key in section["keys"]),
        clock_drift=float(section.get("clock_drift", DEFAULT_CLOCK_DRIFT)),
        clock_rate=float(section.get("clock_rate", 1.0)),
        plans=tuple(
            Plan(
                limit["name"],
                _parse_split(limit),
                _parse_split(limit["before"]) if "before" in limit else None,
            )
            for limit in limits
        ),
        scopes={
            limit["name"]: Scope(frozenset(limit.get("profiles", ())), frozenset(limit.get("operators", ())))
            for limit in limits
        },
    )


def _parse_split(row: Mapping[str, Any]) -> Split:
    owners = {name: int(count) for name, count in row["owners"].items()}
    return Split(int(row["revision"]), owners, tuple(row.get("ended", ())))


class FleetAgent:
    """One start of a node as a member of its fleet.

    Args:
        name: The node's name.
        start: A number that is larger for a later start of the same name.
        config: The section `fleet` of the configuration.
        request_time_max: The longest time in seconds that a request may take.
        seed: For all random choices.
        now: The node's clock (s).
    """

    def __init__(
        self, name: str, start: int, config: FleetConfig, request_time_max: float, seed: int, now: float
    ) -> None:
        me = Sender(name, start)
        self.envelope = Envelope(me, config.keys)
        self.membership = Membership(me, config.advertise, config.seeds, seed)
        self.quotas = Quotas(me, config.plans, LeaseTiming(config.clock_drift, request_time_max), seed, now)
        self.unknown_peers = 0  # messages dropped as their receiver is not a known member
        self._next_membership_tick_at = now
        self._keys = config.keys

    def apply_config(self, now: float, config: FleetConfig) -> None:
        """Replaces the keys and the quotas; raises FleetError if the quotas can't change yet."""
        self.envelope.replace_keys(config.keys)
        try:
            self.quotas.apply_plans(now, config.plans)
        except FleetError:
            # Guards against a configuration that is only partly in force: new keys with the old quotas.
            self.envelope.replace_keys(self._keys)
            raise
        self._keys = config.keys

    def tick(self, now: float) -> list[Datagram]:
        """Returns the datagrams that are due; to be called every 20 to 50 ms."""
        outgoing = self.quotas.tick(now, len(self.membership.members()))
        joins: list[Datagram] = []
        if now >= self._next_membership_tick_at:
            self._next_membership_tick_at = now + MEMBERSHIP_TICK_INTERVAL_S
            outgoing += self.membership.tick(now)
            for address, join in self.membership.due_joins(now):
                joins.append(Datagram(address, self.envelope.seal("", 0, ENCODER.encode([join]))))
        return joins + self.pack(outgoing)

    def receive(self, now: float, data: bytes, source: str) -> list[Datagram]:
        """Processes a datagram from the address `source`, and returns the datagrams to send.

        Raises:
            FleetError: The datagram must not be accepted.
        """
        opened = self.envelope.open(data)
        try:
            messages = DECODER.decode(opened.payload)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            what = f"the payload from {opened.sender.name} cannot be decoded: {error}"
            raise MalformedError(
                what, "a datagram", "run the same release on all nodes, or two consecutive ones"
            ) from error
        sender = opened.sender
        if opened.is_join:
            replies = [reply for message in messages for reply in self._reply_to_join(now, sender, message)]
            sealed = (
                self.envelope.seal(sender.name, sender.start, ENCODER.encode([reply])) for reply in replies
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
        # Guards against leases that are requested or granted by a replayed datagram: a join is not checked
        # for replay.
        if isinstance(message, quota_messages.Message):
            return ()
        return self.membership.reply_to_join(now, sender, message)

    def leave(self, now: float) -> list[Datagram]:
        """Returns the datagrams by which this node announces that it leaves the fleet."""
        return self.pack(self.membership.leave(now))

    def pack(self, outgoing: Sequence[OutgoingMessage]) -> list[Datagram]:
        """Returns the messages in as few datagrams for each node as they fit in, in order."""
        encoded: dict[str, list[bytes]] = {}
        for item in outgoing:
            encoded.setdefault(item.to, []).append(ENCODER.encode(item.message))
        datagrams: list[Datagram] = []
        for name, messages in encoded.items():
            address, start = self.membership.address_of(name), self.membership.start_of(name)
            if address is None or not start:
                self.unknown_peers += len(messages)
                continue
            size_max = self.envelope.payload_max(name) - LIST_HEADER_BYTES_MAX
            batch: list[msgspec.Raw] = []
            size = 0
            for message in messages:
                if batch and size + len(message) > size_max:
                    datagrams.append(self._seal(address, name, start, batch))
                    batch, size = [], 0
                batch.append(msgspec.Raw(message))
                size += len(message)
            datagrams.append(self._seal(address, name, start, batch))
        return datagrams

    def _seal(self, address: str, name: str, start: int, messages: list[msgspec.Raw]) -> Datagram:
        return Datagram(address, self.envelope.seal(name, start, ENCODER.encode(messages)))

    def faults(self, now: float) -> list[FleetError]:
        """Returns the errors that an on-call operator has to resolve."""
        fault = self.membership.fault(now)
        return self.quotas.faults + ([fault] if fault is not None else [])
