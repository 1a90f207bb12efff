"""Errors that an on-call operator can act on; logs and the admin API show all of their parts."""

from __future__ import annotations


class NotchjunctionError(Exception):
    """An error that an on-call operator can act on.

    Args:
        what: What happened.
        where: Where it happened: a key of the configuration, a node or a quota.
        remedy: What the operator can do about it.
    """

    def __init__(self, what: str, where: str, remedy: str) -> None:
        super().__init__(what, where, remedy)
        self.what = what
        self.where = where
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.where}: {self.what}; {self.remedy}"


class FleetError(NotchjunctionError):
    """An error between the nodes of a fleet."""
