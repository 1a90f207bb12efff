"""What can go wrong between processes, and what an operator can do about it: one small hierarchy.

Logs and the operators' listener print all three parts of each.
"""

from __future__ import annotations


class NotchjunctionError(Exception):
    """`what` happened, `where` (a place in the file, a node, a limit), and `remedy`, a sentence to act on."""

    def __init__(self, what: str, where: str, remedy: str) -> None:
        super().__init__(what, where, remedy)
        self.what = what
        self.where = where
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.where}: {self.what}; {self.remedy}"


class FleetError(NotchjunctionError):
    """Between the nodes of a fleet."""
