"""Datagrams between nodes under seal: who says it, to which start of whom, and that it is heard once. Pure.

A datagram holds a version, a key's number, the sender's start and sequence number, the receiver's start, the
lengths of both names, the names, the payload, and a keyed BLAKE2b of all of that. It proves that a holder of
the key said it to this receiver; it hides nothing. What comes twice, from an earlier start of its sender, or
for another start of this node is refused, so that nothing is heard that was said to an earlier one.

A *greeting* comes from a node that does not yet know the receiver's start (it is 0 then, and the name may be
empty). Nothing bounds its repetition, so it may only be answered, and nothing in it believed.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from struct import Struct
from typing import Any, NamedTuple

from notchjunction.errors import FleetError

MOST = 1200  # bytes of a sealed datagram; with its headers it fits the least IPv6 path in one piece
VERSION = 1  # of the layout below
HEADER = Struct("!BHQQQBB")  # version, key, sender's start, sequence, receiver's start, lengths of both names
MAC_BYTES = 16  # of the seal; 128 bits can't be guessed at any rate
NAME_MOST = 64  # bytes of a node's name; with two of them most of a datagram is left for the payload
SECRET_LEAST = 16  # bytes of a key; fewer could be guessed from one datagram
SECRET_MOST = 64  # bytes of a key that BLAKE2b takes
WINDOW = 256  # newest sequence numbers of a sender told apart; seconds of its talk to all
SENDERS_MOST = 1024  # senders whose numbers are kept; five times the largest fleet that is promised
PERSON = b"notchjunction"  # keeps seals apart from whatever else the same secret may seal


class Sender(NamedTuple):
    """One start of a node; `start` is a whole number that is larger for later starts."""

    name: str
    start: int


class Out(NamedTuple):
    """A message to send; `to` is a node's name."""

    to: str
    message: Any


class Key(NamedTuple):
    """`number` is 0 to 65535, and names the secret (16 to 64 bytes) in a datagram."""

    number: int
    secret: bytes


class Opened(NamedTuple):
    sender: Sender
    to_start: int
    payload: bytes
    greeting: bool  # to be answered only; see above


class Heard(NamedTuple):
    start: int
    newest: int  # sequence number
    seen: int  # bit k: the number newest - k has come


class Oversized(FleetError):
    """More bytes than a datagram may have."""


class Malformed(FleetError):
    """Not of the layout of a datagram, or a name that does not fit it."""


class UnknownVersion(FleetError):
    """Of a layout that this program does not know."""


class UnknownKey(FleetError):
    """Under a key that this node does not hold."""


class Forged(FleetError):
    """The seal does not fit the content and the key."""


class Replayed(FleetError):
    """Heard before, or said by an earlier start of its sender."""


class NotForMe(FleetError):
    """For another node, or for another start of this one."""


class UnusableKeys(FleetError):
    """Keys that can't seal."""


class Envelope:
    """Seals and opens for one start of a node, `me`. The first key seals, all of them open."""

    def __init__(self, me: Sender, keys: Sequence[Key]) -> None:
        self._me = me
        self._name = _packed(me.name)
        self._where = f"a datagram at {me.name}"
        self._sequence = 0
        self._heard: dict[str, Heard] = {}  # in the order in which senders were last heard
        self.renew(keys)

    def renew(self, keys: Sequence[Key]) -> None:
        """Other keys from now on. Nothing is lost if all nodes open with a key before any seals with it."""
        secrets = {key.number: key.secret for key in keys}
        sizes = [len(secret) for secret in secrets.values()]
        for wrong, what in (
            (not keys, "no key is given"),
            (len(secrets) < len(keys), "two keys have one number"),
            (not all(0 <= number < 1 << 16 for number in secrets), "a key's number is not 0 to 65535"),
            (
                not all(SECRET_LEAST <= size <= SECRET_MOST for size in sizes),
                f"a secret does not have {SECRET_LEAST} to {SECRET_MOST} bytes",
            ),
        ):
            if wrong:
                raise UnusableKeys(what, f"the keys of {self._me.name}", "mend the fleet's keys in the file")
        self._secrets = secrets
        self._sealing = keys[0]

    def room(self, to: str) -> int:
        """Bytes that a payload for this node may have."""
        return MOST - HEADER.size - len(self._name) - len(_packed(to)) - MAC_BYTES

    def seal(self, to: str, to_start: int, payload: bytes) -> bytes:
        """A datagram for one start of a node; a greeting if that is 0 (and `to` "", if not known either)."""
        room = self.room(to)
        if len(payload) > room:
            what = f"{len(payload)} bytes to say, where {room} fit"
            raise Oversized(what, f"a datagram to {to}", "report this: it should have been cut in pieces")
        self._sequence += 1
        name = _packed(to)
        sizes = len(self._name), len(name)
        number, secret = self._sealing
        header = HEADER.pack(VERSION, number, self._me.start, self._sequence, to_start, *sizes)
        body = header + self._name + name + payload
        return body + _mac(secret, body)

    def open(self, data: bytes) -> Opened:
        """Who said what; raises a FleetError if it must not be heard."""
        # Guards against work for strangers: size, version and key number are looked at before the seal.
        strangers = "let nothing but the fleet's nodes send to its port"
        if len(data) > MOST:
            raise Oversized(f"{len(data)} bytes, of {MOST} at most", self._where, strangers)
        if len(data) < HEADER.size + MAC_BYTES:
            raise Malformed(f"only {len(data)} bytes", self._where, strangers)
        version, number, start, sequence, to_start, name_size, to_size = HEADER.unpack_from(data)
        if version != VERSION:
            what = f"version {version}, where {VERSION} is known"
            raise UnknownVersion(what, self._where, "run one release on all nodes, or two that follow")
        if number not in self._secrets:
            what = f"key {number}, where {sorted(self._secrets)} are held"
            remedy = "give all nodes a new key second, then first, and take the old one out last"
            raise UnknownKey(what, self._where, remedy)
        body, seal = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not compare_digest(_mac(self._secrets[number], body), seal):
            what = f"the seal under key {number} does not fit"
            raise Forged(what, self._where, f"give all nodes the same secret as key {number}")
        names_end = HEADER.size + name_size + to_size
        names = body[HEADER.size : names_end]
        try:
            name, to = names[:name_size].decode(), names[name_size:].decode()
        except UnicodeDecodeError:
            raise Malformed("names that are not text", self._where, "report this: it has the seal") from None
        if (to, to_start) not in ((self._me.name, self._me.start), (self._me.name, 0), ("", 0)):
            what = f"for start {to_start} of {to!r}, from {name}"
            remedy = f"nothing, if {self._me.name} has just started; else see who else has its address"
            raise NotForMe(what, self._where, remedy)
        sender = Sender(name, start)
        if to_start:
            self._once(sender, sequence)
        return Opened(sender, to_start, body[names_end:], not to_start)

    def _once(self, sender: Sender, sequence: int) -> None:
        # Guards against replays: an earlier start, a number that has come, and one too old to tell.
        heard = self._heard.get(sender.name)
        if heard is None or sender.start > heard.start:
            heard = Heard(sender.start, sequence, 1)
        elif sender.start < heard.start:
            what = f"from start {sender.start} of {sender.name}, which has started again at {heard.start}"
            remedy = f"if it goes on, see if two nodes are named {sender.name}, or its clock was set back"
            raise Replayed(what, self._where, remedy)
        elif sequence > heard.newest:
            # Guards against a shift as long as a sender claims.
            ahead = min(sequence - heard.newest, WINDOW)
            heard = Heard(heard.start, sequence, (heard.seen << ahead | 1) & ((1 << WINDOW) - 1))
        else:
            behind = heard.newest - sequence
            if behind >= WINDOW or heard.seen >> behind & 1:
                what = f"number {sequence} of {sender.name} again, or too late to tell"
                remedy = "nothing, if rare: networks repeat; else find who repeats what nodes send"
                raise Replayed(what, self._where, remedy)
            heard = heard._replace(seen=heard.seen | 1 << behind)
        self._heard.pop(sender.name, None)
        self._heard[sender.name] = heard
        # Guards against memory without bound. It costs that what the sender silent for longest once said to
        # this start could be heard again. That is safe: only holders of a key can push it out, by a thousand
        # names, and what nodes say of each other bears starts and incarnations: what is overtaken is void.
        if len(self._heard) > SENDERS_MOST:
            del self._heard[next(iter(self._heard))]


def _packed(name: str) -> bytes:
    data = name.encode()
    if len(data) > NAME_MOST:
        what = f"a name of {len(data)} bytes"
        raise Malformed(what, name, f"give the node a name of {NAME_MOST} bytes at most")
    return data


def _mac(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=MAC_BYTES, person=PERSON).digest()
