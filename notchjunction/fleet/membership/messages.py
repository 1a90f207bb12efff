"""Messages between nodes about the fleet's members. Tags and the order of fields are the wire format."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from notchjunction.fleet.envelope import NAME_BYTES_MAX

CONFIRMATIONS_MAX = 3  # so many confirmations of a suspicion give the shortest timeout; more have no effect
DIGEST_PARTS = 64  # with 200 nodes a few records in each; 256 bytes in total
CHECKSUM_BYTES = 4  # of each part; parts that differ have equal checksums once in billions
ADDRESS_LENGTH_MAX = 128  # characters; any "host:port" fits


class MemberState(IntEnum):
    """States in order of precedence within one incarnation.

    The values are part of the wire format, and the names of the admin API.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


Name = Annotated[str, msgspec.Meta(max_length=NAME_BYTES_MAX)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=2**62)]  # leaves higher incarnations to refute with
Checksums = Annotated[
    bytes,
    msgspec.Meta(min_length=DIGEST_PARTS * CHECKSUM_BYTES, max_length=DIGEST_PARTS * CHECKSUM_BYTES),
]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A record as it is sent; `age` is the time in seconds since a death or leave."""

    name: Name
    address: Annotated[str, msgspec.Meta(max_length=ADDRESS_LENGTH_MAX)]
    start: Natural
    incarnation: Natural
    state: MemberState
    age: Natural
    accusers: Annotated[tuple[Name, ...], msgspec.Meta(max_length=CONFIRMATIONS_MAX + 1)]


class Join(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sent to an address whose node is not known; requests a JoinReply."""

    seq: Natural


class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a Join with the records of both nodes."""

    seq: Natural  # of the Join
    updates: tuple[MemberUpdate, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A probe, to be answered with an Ack."""

    seq: Natural
    updates: tuple[MemberUpdate, ...]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers a probe, direct or indirect."""

    seq: Natural  # of the Ping or IndirectPing
    updates: tuple[MemberUpdate, ...]


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks the receiver to probe another node."""

    seq: Natural
    name: Name
    updates: tuple[MemberUpdate, ...]


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Sent by a helper if the node of an IndirectPing has not answered."""

    seq: Natural  # of the IndirectPing
    updates: tuple[MemberUpdate, ...]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Checksums of all the sender's records, by parts."""

    sums: Checksums
    updates: tuple[MemberUpdate, ...]


class Differences(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The sender's records where two digests differ, as far as they fit."""

    sums: Checksums
    updates: tuple[MemberUpdate, ...]


class UpdateBatch(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Records without another message."""

    updates: tuple[MemberUpdate, ...]


PeerMessage = JoinReply | Ping | Ack | IndirectPing | Nack | Digest | Differences | UpdateBatch
Message = Join | PeerMessage
