"""How a quota is split between its owners, and which split may follow which. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from notchjunction.errors import FleetError
from notchjunction.fleet.quotas.phase import Phase


class UnsettledSplitError(FleetError):
    """The previous split may still be in use at some node."""


class SplitMismatchError(FleetError):
    """A split does not follow the one in force."""


class StaleSplitError(FleetError):
    """Another owner knows of a later split than the one this node started with."""


class QuotaOverspentError(FleetError):
    """More units are in use or lent than owned: a defect of the program itself."""


@dataclass(frozen=True, slots=True)
class Split:
    """Which node owns how many units; `ended`: owners that an operator declares stopped for good."""

    revision: int
    owners: Mapping[str, int]
    ended: tuple[str, ...] = ()

    def owned_by(self, node: str) -> int:
        """Units that a node owns; 0 for a node that is no owner."""
        return self.owners.get(node, 0)

    @property
    def total(self) -> int:
        """The quota: the units of all owners."""
        return sum(self.owners.values())


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota as configured; `before`: the split that it follows, until that has settled everywhere."""

    name: str
    split: Split
    before: Split | None = None


def check_follows(known: Plan, phase: Phase, plan: Plan) -> None:
    """Check that a configured plan may replace the known one, which this node has in the given phase.

    Raises:
        SplitMismatchError: The split is not the known one, nor the one after it.
        UnsettledSplitError: The known split, or the one before it, may still be in use elsewhere.
    """
    where = f"fleet.limits {plan.name}"
    if plan.split.revision == known.split.revision:
        _check_same_revision(known, phase, plan, where)
        return
    follows = plan.before is not None and plan.split.revision == known.split.revision + 1
    if not follows or plan.before is None or plan.before.owners != known.split.owners:
        raise SplitMismatchError(
            f"revision {plan.split.revision} does not follow {known.split.revision}",
            where,
            "put the split in force under `before`, and count one on from its revision",
        )
    if phase is not Phase.GROWN:
        raise UnsettledSplitError(
            f"revision {known.split.revision} has not settled",
            where,
            "wait until every owner shows it as settled, or name those stopped for good under `ended`",
        )


def _check_same_revision(known: Plan, phase: Phase, plan: Plan, where: str) -> None:
    differs = plan.split.owners != known.split.owners
    if plan.before is not None and known.before is not None:
        differs = differs or plan.before.owners != known.before.owners
    if differs:
        raise SplitMismatchError(
            f"revision {plan.split.revision} has other owners",
            where,
            "give the changed split the next revision",
        )
    if plan.before is None and known.before is not None and phase is not Phase.GROWN:
        raise UnsettledSplitError(
            "`before` is left out too early",
            where,
            "keep it until every owner shows the limit as settled",
        )
