"""Datagrams between nodes under seal: authenticated, for one start of one node, accepted once. Pure.

A datagram holds a version, a key's number, the sender's start and sequence number, the receiver's start, the
lengths of both names, the names, the payload, and a keyed BLAKE2b of all of that. It proves that a holder of
the key sent it to this receiver; it hides nothing. What arrives twice, from an earlier start of its sender,
or for another start of this node is rejected, so that nothing sent to an earlier one is accepted.

A *join* comes from a node that does not yet know the receiver's start (it is 0 then, and the name may be
empty). Nothing bounds its repetition, so it may only be answered, and nothing in it believed.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from struct import Struct
from typing import Any, NamedTuple

from notchjunction.errors import FleetError

DATAGRAM_BYTES_MAX = (
    1200  # bytes of a sealed datagram; with its headers it fits the least IPv6 path in one piece
)
VERSION = 1  # of the layout below
HEADER = Struct("!BHQQQBB")  # version, key, sender's start, sequence, receiver's start, lengths of both names
MAC_BYTES = 16  # of the seal; 128 bits can't be guessed at any rate
NAME_BYTES_MAX = 64  # bytes of a node's name; with two of them most of a datagram is left for the payload
SECRET_BYTES_MIN = 16  # bytes of a key; fewer could be guessed from one datagram
SECRET_BYTES_MAX = 64  # bytes of a key that BLAKE2b takes
REPLAY_WINDOW = 256  # newest sequence numbers of a sender told apart; seconds of its talk to all
SENDERS_MAX = 1024  # senders whose numbers are kept; five times the largest fleet that is promised
SEAL_PERSONALIZATION = b"notchjunction"  # keeps seals apart from whatever else the same secret may seal


class Sender(NamedTuple):
    """One start of a node; `start` is a whole number that is larger for later starts."""

    name: str
    start: int


class OutgoingMessage(NamedTuple):
    """A message to send; `to` is a node's name."""

    to: str
    message: Any


class Key(NamedTuple):
    """`number` is 0 to 65535, and names the secret (16 to 64 bytes) in a datagram."""

    number: int
    secret: bytes


class OpenedDatagram(NamedTuple):
    """A datagram that passed all checks."""

    sender: Sender
    receiver_start: int
    payload: bytes
    is_join: bool  # to be answered only; see above


class ReceivedNumbers(NamedTuple):
    """Which sequence numbers of a sender have arrived."""

    start: int
    newest: int  # sequence number
    bitmap: int  # bit k: the number newest - k has arrived


class OversizedError(FleetError):
    """More bytes than a datagram may have."""


class MalformedError(FleetError):
    """Not of the layout of a datagram, or a name that does not fit it."""


class UnknownVersionError(FleetError):
    """Of a layout that this program does not know."""


class UnknownKeyError(FleetError):
    """Under a key that this node does not hold."""


class ForgedError(FleetError):
    """The seal does not fit the content and the key."""


class ReplayedError(FleetError):
    """Received before, or sent by an earlier start of its sender."""


class NotForMeError(FleetError):
    """For another node, or for another start of this one."""


class UnusableKeysError(FleetError):
    """Keys that can't seal."""


class Envelope:
    """Seals and opens for one start of a node, `me`. The first key seals, all of them open."""

    def __init__(self, me: Sender, keys: Sequence[Key]) -> None:
        self._me = me
        self._name = _encoded_name(me.name)
        self._where = f"a datagram at {me.name}"
        self._sequence = 0
        self._received: dict[str, ReceivedNumbers] = {}  # in the order in which senders last sent
        self.replace_keys(keys)

    def replace_keys(self, keys: Sequence[Key]) -> None:
        """Use other keys now; nothing is lost if all nodes open with a key before any seals with it."""
        secrets = {key.number: key.secret for key in keys}
        sizes = [len(secret) for secret in secrets.values()]
        for wrong, what in (
            (not keys, "no key is given"),
            (len(secrets) < len(keys), "two keys have one number"),
            (not all(0 <= number < 1 << 16 for number in secrets), "a key's number is not 0 to 65535"),
            (
                not all(SECRET_BYTES_MIN <= size <= SECRET_BYTES_MAX for size in sizes),
                f"a secret does not have {SECRET_BYTES_MIN} to {SECRET_BYTES_MAX} bytes",
            ),
        ):
            if wrong:
                raise UnusableKeysError(
                    what, f"the keys of {self._me.name}", "mend the fleet's keys in the file"
                )
        self._secrets = secrets
        self._sealing = keys[0]

    def payload_max(self, to: str) -> int:
        """Bytes that a payload for this node may have at most."""
        return DATAGRAM_BYTES_MAX - HEADER.size - len(self._name) - len(_encoded_name(to)) - MAC_BYTES

    def seal(self, to: str, to_start: int, payload: bytes) -> bytes:
        """A datagram for one start of a node; a join if that is 0 (and `to` "", if not known either)."""
        payload_max = self.payload_max(to)
        if len(payload) > payload_max:
            what = f"{len(payload)} bytes to say, where {payload_max} fit"
            raise OversizedError(
                what, f"a datagram to {to}", "report this: it should have been cut in pieces"
            )
        self._sequence += 1
        name = _encoded_name(to)
        sizes = len(self._name), len(name)
        number, secret = self._sealing
        header = HEADER.pack(VERSION, number, self._me.start, self._sequence, to_start, *sizes)
        body = header + self._name + name + payload
        return body + _mac(secret, body)

    def open(self, data: bytes) -> OpenedDatagram:
        """Check a datagram and return its content.

        Raises:
            FleetError: It must not be accepted; the type says why.
        """
        # Guards against work for strangers: size, version and key number are looked at before the seal.
        strangers = "let nothing but the fleet's nodes send to its port"
        if len(data) > DATAGRAM_BYTES_MAX:
            raise OversizedError(
                f"{len(data)} bytes, of {DATAGRAM_BYTES_MAX} at most", self._where, strangers
            )
        if len(data) < HEADER.size + MAC_BYTES:
            raise MalformedError(f"only {len(data)} bytes", self._where, strangers)
        version, number, start, sequence, to_start, name_size, to_size = HEADER.unpack_from(data)
        if version != VERSION:
            what = f"version {version}, where {VERSION} is known"
            raise UnknownVersionError(what, self._where, "run one release on all nodes, or two that follow")
        if number not in self._secrets:
            what = f"key {number}, where {sorted(self._secrets)} are held"
            remedy = "give all nodes a new key second, then first, and take the old one out last"
            raise UnknownKeyError(what, self._where, remedy)
        body, seal = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not compare_digest(_mac(self._secrets[number], body), seal):
            what = f"the seal under key {number} does not fit"
            raise ForgedError(what, self._where, f"give all nodes the same secret as key {number}")
        names_end = HEADER.size + name_size + to_size
        names = body[HEADER.size : names_end]
        try:
            name, to = names[:name_size].decode(), names[name_size:].decode()
        except UnicodeDecodeError:
            raise MalformedError(
                "names that are not text", self._where, "report this: it has the seal"
            ) from None
        if (to, to_start) not in ((self._me.name, self._me.start), (self._me.name, 0), ("", 0)):
            what = f"for start {to_start} of {to!r}, from {name}"
            remedy = f"nothing, if {self._me.name} has just started; else see who else has its address"
            raise NotForMeError(what, self._where, remedy)
        sender = Sender(name, start)
        if to_start:
            self._check_not_replayed(sender, sequence)
        return OpenedDatagram(sender, to_start, body[names_end:], not to_start)

    def _check_not_replayed(self, sender: Sender, sequence: int) -> None:
        # Guards against replays: an earlier start, a number that has arrived, and one too old to know.
        received = self._received.get(sender.name)
        if received is None or sender.start > received.start:
            received = ReceivedNumbers(sender.start, sequence, 1)
        elif sender.start < received.start:
            what = f"from start {sender.start} of {sender.name}, which has started again at {received.start}"
            remedy = f"if it goes on, see if two nodes are named {sender.name}, or its clock was set back"
            raise ReplayedError(what, self._where, remedy)
        elif sequence > received.newest:
            # Guards against a shift as long as a sender claims.
            ahead = min(sequence - received.newest, REPLAY_WINDOW)
            received = ReceivedNumbers(
                received.start, sequence, (received.bitmap << ahead | 1) & ((1 << REPLAY_WINDOW) - 1)
            )
        else:
            behind = received.newest - sequence
            if behind >= REPLAY_WINDOW or received.bitmap >> behind & 1:
                what = f"number {sequence} of {sender.name} again, or too late to tell"
                remedy = "nothing, if rare: networks repeat; else find who repeats what nodes send"
                raise ReplayedError(what, self._where, remedy)
            received = received._replace(bitmap=received.bitmap | 1 << behind)
        self._received.pop(sender.name, None)
        self._received[sender.name] = received
        # Guards against memory without bound. It costs that what the sender silent for longest once sent to
        # this start could be accepted again. That is safe: only holders of a key can push it out, by a
        # thousand names, and what nodes send of each other bears starts and incarnations: what is overtaken
        # is void.
        if len(self._received) > SENDERS_MAX:
            del self._received[next(iter(self._received))]


def _encoded_name(name: str) -> bytes:
    data = name.encode()
    if len(data) > NAME_BYTES_MAX:
        what = f"a name of {len(data)} bytes"
        raise MalformedError(what, name, f"give the node a name of {NAME_BYTES_MAX} bytes at most")
    return data


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC_BYTES, person=SEAL_PERSONALIZATION).digest()
