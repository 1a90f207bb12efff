"""What nodes send one another about quotas. Tags and the order of fields are the wire.

`quota` names the quota, `serial` is the borrower's number of a lease, `round` counts its renewals.
"""

from __future__ import annotations

import msgspec


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A borrower asks an owner for units; a `round` over 0 asks for the renewal of a lease."""

    quota: str
    serial: int
    round: int
    count: int


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """An owner lends units, for `term` seconds from the borrower's request."""

    quota: str
    serial: int
    round: int
    count: int
    term: float  # s


class LeaseDenial(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """An owner does not lend."""

    quota: str
    serial: int
    retry_after: float  # s until a unit may come free at this owner


class LeaseReturn(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """A borrower gives units back before the lease ends."""

    quota: str
    serial: int
    kept: int  # units that the borrower keeps; never more than before


class LeaseRecall(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """An owner wants idle units back; the borrower need not comply before the lease ends."""

    quota: str
    serial: int
    count: int  # units that are lent according to the owner
    keep: int  # units that the borrower's waiting requests may keep; all others that are idle are recalled


class PhaseAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Which split the sender uses, and how far it has changed to it."""

    quota: str
    revision: int
    phase: int  # of the sender's split; see Phase
    wants_reply: bool  # whether the receiver is to announce its own phase


Message = LeaseRequest | LeaseGrant | LeaseDenial | LeaseReturn | LeaseRecall | PhaseAnnouncement
