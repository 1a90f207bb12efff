"""Messages between nodes about quotas. Tags and the order of fields are the wire format.

`quota` is the quota's name, `serial` the borrower's number of a lease, and `round` the count of its renewals.
"""

from __future__ import annotations

import msgspec


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A borrower requests units from an owner; with a `round` above 0, the renewal of a lease."""

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
    """An owner denies a request or a renewal."""

    quota: str
    serial: int
    retry_after: float  # s until a unit may come free at this owner


class LeaseReturn(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """A borrower returns units before the lease ends."""

    quota: str
    serial: int
    kept: int  # units that the borrower keeps; never more than before


class LeaseRecall(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """An owner recalls idle units; the borrower need not comply before the lease ends."""

    quota: str
    serial: int
    count: int  # units lent, as the owner has recorded
    keep: int  # units that the borrower's waiting requests may keep; all others that are idle are recalled


class PhaseAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """The split that the sender uses, and its phase of the change to it."""

    quota: str
    revision: int
    phase: int  # of the sender's split; see Phase
    wants_reply: bool  # whether the receiver is to announce its own phase


Message = LeaseRequest | LeaseGrant | LeaseDenial | LeaseReturn | LeaseRecall | PhaseAnnouncement
