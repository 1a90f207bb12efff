"""Errors between processes, each with what an operator can do about it.

Logs and the admin API print all three parts of each.
"""

from __future__ import annotations


class NotchjunctionError(Exception):
    """An error that an operator can act on.

    `what` happened, `where` (a place in the file, a node, a limit), and `remedy`, what to do about it.
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
