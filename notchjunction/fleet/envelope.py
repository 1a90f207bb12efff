"""Authenticated datagrams between nodes: for one start of one node, and accepted once. Pure.

A datagram holds a version, a key number, the sender's start and sequence number, the receiver's start, the
lengths of both names, the names, the payload, and a keyed BLAKE2b over all of that as its MAC. The MAC proves
that a holder of the key sent the datagram to this receiver. Nothing is encrypted. A datagram that arrives
twice, that an earlier start of its sender sent, or that is for another start of this node is rejected. So
nothing that was sent to an earlier start of this node is accepted.

A *join* comes from a node that does not yet know the receiver's start: that field is 0, and the receiver's
name may be empty. Joins are not checked for replay. So a join may only be answered, and nothing in it may be
trusted.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from struct import Struct
from typing import Any, NamedTuple

from notchjunction.errors import FleetError

DATAGRAM_BYTES_MAX = 1200  # with IP and UDP headers it fits the minimum IPv6 MTU, so it is not fragmented
VERSION = 1  # of the datagram layout
# Version, key number, sender's start, sequence number, receiver's start, lengths of both names.
HEADER = Struct("!BHQQQBB")
MAC_BYTES = 16  # 128 bits cannot be guessed at any rate of datagrams
NAME_BYTES_MAX = 64  # two names of this length leave most of a datagram to the payload
SECRET_BYTES_MIN = 16  # a shorter secret could be found by brute force from one datagram
SECRET_BYTES_MAX = 64  # the longest key that BLAKE2b takes
REPLAY_WINDOW = 256  # sequence numbers tracked for each sender; it sends that many to all nodes in seconds
SENDERS_MAX = 1024  # senders tracked; five times the largest supported fleet
MAC_PERSONALIZATION = b"notchjunction"  # domain separation from other uses of the same secret


class Sender(NamedTuple):
    """One start of a node; `start` is an integer that is larger for later starts."""

    name: str
    start: int


class OutgoingMessage(NamedTuple):
    """A message to send; `to` is a node's name."""

    to: str
    message: Any


class Key(NamedTuple):
    """A secret of 16 to 64 bytes, and the number (0 to 65535) that identifies it in a datagram."""

    number: int
    secret: bytes


class OpenedDatagram(NamedTuple):
    """A datagram that passed all checks."""

    sender: Sender
    receiver_start: int
    payload: bytes
    is_join: bool  # may only be answered, as it may be a replay


class ReplayState(NamedTuple):
    """The sequence numbers that have arrived from one start of a sender."""

    start: int
    newest: int  # the highest sequence number
    bitmap: int  # bit k is set if the sequence number `newest - k` has arrived


class OversizedError(FleetError):
    """The datagram is longer than the maximum."""


class MalformedError(FleetError):
    """The datagram does not have the expected layout, or a name is too long for it."""


class UnknownVersionError(FleetError):
    """The datagram has a layout version that this release does not support."""


class UnknownKeyError(FleetError):
    """The datagram was sealed with a key that this node does not have."""


class ForgedError(FleetError):
    """The MAC does not match the content and the key."""


class ReplayedError(FleetError):
    """The datagram has been received before, or was sent by an earlier start of its sender."""


class NotForMeError(FleetError):
    """The datagram is for another node, or for another start of this one."""


class UnusableKeysError(FleetError):
    """The configured keys are missing, ambiguous or of the wrong size."""


class Envelope:
    """Seals and opens the datagrams of one start of a node, `me`.

    The first key seals; datagrams sealed with any of the keys are opened.
    """

    def __init__(self, me: Sender, keys: Sequence[Key]) -> None:
        self._me = me
        self._name = _encoded_name(me.name)
        self._where = f"a datagram at {me.name}"
        self._sequence = 0
        self._received: dict[str, ReplayState] = {}  # by sender, least recent first
        self.replace_keys(keys)

    def replace_keys(self, keys: Sequence[Key]) -> None:
        """Replaces the keys.

        No datagram is lost if all nodes can open with a new key before any node seals with it.

        Raises:
            UnusableKeysError: The keys are missing, ambiguous or of the wrong size.
        """
        secrets = {key.number: key.secret for key in keys}
        sizes = [len(secret) for secret in secrets.values()]
        for is_invalid, what in (
            (not keys, "no key is configured"),
            (len(secrets) < len(keys), "two keys have the same number"),
            (not all(0 <= number < 1 << 16 for number in secrets), "a key number is not in 0 to 65535"),
            (
                not all(SECRET_BYTES_MIN <= size <= SECRET_BYTES_MAX for size in sizes),
                f"a secret does not have {SECRET_BYTES_MIN} to {SECRET_BYTES_MAX} bytes",
            ),
        ):
            if is_invalid:
                raise UnusableKeysError(
                    what, f"the keys of {self._me.name}", "correct fleet.keys in the configuration"
                )
        self._secrets = secrets
        self._sealing_key = keys[0]

    def payload_max(self, to: str) -> int:
        """Returns the maximum size in bytes of a payload for this node."""
        return DATAGRAM_BYTES_MAX - HEADER.size - len(self._name) - len(_encoded_name(to)) - MAC_BYTES

    def seal(self, to: str, to_start: int, payload: bytes) -> bytes:
        """Returns a datagram with this payload for one start of a node.

        Args:
            to: The receiver's name; "" in a join to a node whose name is not known.
            to_start: The receiver's start; 0 for a join.
            payload: The content.

        Raises:
            OversizedError: The payload does not fit a datagram.
        """
        payload_max = self.payload_max(to)
        if len(payload) > payload_max:
            what = f"a payload of {len(payload)} bytes exceeds the maximum of {payload_max}"
            raise OversizedError(
                what, f"a datagram to {to}", "report it as a defect: the payload should have been split"
            )
        self._sequence += 1
        name = _encoded_name(to)
        sizes = len(self._name), len(name)
        number, secret = self._sealing_key
        header = HEADER.pack(VERSION, number, self._me.start, self._sequence, to_start, *sizes)
        body = header + self._name + name + payload
        return body + _mac(secret, body)

    def open(self, data: bytes) -> OpenedDatagram:
        """Checks a datagram and returns its content.

        Raises:
            FleetError: It must not be accepted; the type of the error gives the reason.
        """
        # Guards against CPU time spent on datagrams from outside the fleet: size, version and key number are
        # checked before the MAC is computed.
        restrict_port = "allow only the fleet's nodes to send to this port"
        if len(data) > DATAGRAM_BYTES_MAX:
            raise OversizedError(
                f"{len(data)} bytes exceed the maximum of {DATAGRAM_BYTES_MAX}", self._where, restrict_port
            )
        if len(data) < HEADER.size + MAC_BYTES:
            raise MalformedError(f"{len(data)} bytes are too few", self._where, restrict_port)
        version, number, start, sequence, to_start, name_size, to_size = HEADER.unpack_from(data)
        if version != VERSION:
            what = f"version {version} is not supported, only {VERSION}"
            raise UnknownVersionError(
                what, self._where, "run the same release on all nodes, or two consecutive ones"
            )
        if number not in self._secrets:
            what = f"key {number} is not configured, only {sorted(self._secrets)}"
            remedy = (
                "on all nodes, add a new key as the second, then make it the first, then remove the old one"
            )
            raise UnknownKeyError(what, self._where, remedy)
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not compare_digest(_mac(self._secrets[number], body), mac):
            what = f"the authentication code under key {number} does not match"
            raise ForgedError(what, self._where, f"configure the same secret for key {number} on all nodes")
        names_end = HEADER.size + name_size + to_size
        names = body[HEADER.size : names_end]
        try:
            name, to = names[:name_size].decode(), names[name_size:].decode()
        except UnicodeDecodeError:
            raise MalformedError(
                "a name is not valid UTF-8",
                self._where,
                "report it as a defect: the authentication code is valid",
            ) from None
        if (to, to_start) not in ((self._me.name, self._me.start), (self._me.name, 0), ("", 0)):
            what = f"for start {to_start} of {to!r}, sent by {name}"
            remedy = (
                f"ignore it if {self._me.name} has just started; otherwise check whether another node "
                "has the same address"
            )
            raise NotForMeError(what, self._where, remedy)
        sender = Sender(name, start)
        if to_start:
            self._check_not_replayed(sender, sequence)
        return OpenedDatagram(sender, to_start, body[names_end:], not to_start)

    def _check_not_replayed(self, sender: Sender, sequence: int) -> None:
        # Guards against replays: from an earlier start, of a sequence number that has arrived, or of one that
        # is too old to be tracked.
        received = self._received.get(sender.name)
        if received is None or sender.start > received.start:
            received = ReplayState(sender.start, sequence, 1)
        elif sender.start < received.start:
            what = f"from start {sender.start} of {sender.name}, which has restarted as {received.start}"
            remedy = (
                f"if it persists, check whether two nodes are named {sender.name}, "
                "or whether its clock was set back"
            )
            raise ReplayedError(what, self._where, remedy)
        elif sequence > received.newest:
            # Guards against a bitmap as long as the gap that a sender claims.
            ahead = min(sequence - received.newest, REPLAY_WINDOW)
            received = ReplayState(
                received.start, sequence, (received.bitmap << ahead | 1) & ((1 << REPLAY_WINDOW) - 1)
            )
        else:
            behind = received.newest - sequence
            if behind >= REPLAY_WINDOW or received.bitmap >> behind & 1:
                what = f"sequence number {sequence} of {sender.name} is a duplicate, or too old to check"
                remedy = (
                    "ignore it if rare: networks duplicate datagrams; otherwise find out who replays them"
                )
                raise ReplayedError(what, self._where, remedy)
            received = received._replace(bitmap=received.bitmap | 1 << behind)
        self._received.pop(sender.name, None)
        self._received[sender.name] = received
        # Guards against unbounded memory. The cost: datagrams that the least recent sender once sent to this
        # start could be accepted again. That is safe. Only holders of a key can evict a sender, with a
        # thousand names. And the records that nodes send of one another carry starts and incarnations, so
        # outdated ones have no effect.
        if len(self._received) > SENDERS_MAX:
            del self._received[next(iter(self._received))]


def _encoded_name(name: str) -> bytes:
    data = name.encode()
    if len(data) > NAME_BYTES_MAX:
        what = f"the name has {len(data)} bytes"
        raise MalformedError(what, name, f"give the node a name of at most {NAME_BYTES_MAX} bytes")
    return data


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC_BYTES, person=MAC_PERSONALIZATION).digest()
