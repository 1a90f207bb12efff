"""How a quota is split between its owners, and which split may replace which. Pure."""

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
    """Another owner uses a later split than the one that this node started with."""


class QuotaOverspentError(FleetError):
    """More units would be in use or lent than are owned, because of a defect of the program."""


@dataclass(frozen=True, slots=True)
class Split:
    """The number of units that each owner has."""

    revision: int
    owners: Mapping[str, int]
    ended: tuple[str, ...] = ()  # owners that an on-call operator has declared stopped for good

    def owned_by(self, node: str) -> int:
        """Return the number of units that a node owns; 0 for a node that is no owner."""
        return self.owners.get(node, 0)

    @property
    def total(self) -> int:
        """The size of the quota: the units of all owners."""
        return sum(self.owners.values())


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota as configured."""

    name: str
    split: Split
    before: Split | None = None  # the previous split, until the new one has settled at all owners


def check_follows(current: Plan, phase: Phase, plan: Plan) -> None:
    """Check that a configured plan may replace the current one, of which this node is in phase `phase`.

    Raises:
        SplitMismatchError: The split is neither the current one nor the one after it.
        UnsettledSplitError: The current split, or the one before it, may still be in use elsewhere.
    """
    where = f"fleet.limits {plan.name}"
    if plan.split.revision == current.split.revision:
        _check_same_revision(current, phase, plan, where)
        return
    follows = plan.before is not None and plan.split.revision == current.split.revision + 1
    if not follows or plan.before is None or plan.before.owners != current.split.owners:
        raise SplitMismatchError(
            f"revision {plan.split.revision} does not follow {current.split.revision}",
            where,
            "put the split in force under `before`, and set `revision` to its revision plus one",
        )
    if phase is not Phase.GROWN:
        raise UnsettledSplitError(
            f"revision {current.split.revision} has not settled",
            where,
            "wait until every owner shows it as settled, or list owners stopped for good under `ended`",
        )


def _check_same_revision(current: Plan, phase: Phase, plan: Plan, where: str) -> None:
    differs = plan.split.owners != current.split.owners
    if plan.before is not None and current.before is not None:
        differs = differs or plan.before.owners != current.before.owners
    if differs:
        raise SplitMismatchError(
            f"revision {plan.split.revision} has other owners",
            where,
            "give the changed split the next revision",
        )
    if plan.before is None and current.before is not None and phase is not Phase.GROWN:
        raise UnsettledSplitError(
            "`before` was removed too early",
            where,
            "keep it until every owner shows the limit as settled",
        )
