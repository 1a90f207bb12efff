"""Which requests are over their tenant's quota."""

from __future__ import annotations

from collections.abc import Sequence

from notchjunction.balancing.recent_events import EVENT_SPAN_S, RecentEvents


class TenantQuotas:
    """What tenants used of their quotas lately; requests over quota use none.

    `quotas` are requests a second for all nodes together, by the tenant's number; 0 means no quota.
    """

    def __init__(self, quotas: Sequence[float] = ()) -> None:
        self._quotas = quotas
        self._used = [RecentEvents() for _ in quotas]

    def has_quota(self, tenant: int) -> bool:
        """Return whether the tenant's requests are limited."""
        return tenant < len(self._quotas) and self._quotas[tenant] > 0

    def take(self, tenant: int, divisor: float, process_count: int, now: float) -> bool:
        """Count a request of a limited tenant; false where it is over quota, and not counted.

        This process keeps to its part: one by `divisor`, of one by `process_count`.
        """
        used, limit = self._used[tenant], self._quotas[tenant] * EVENT_SPAN_S / divisor
        if used.count(now) >= limit / process_count:
            return False
        used.record(now)
        return True
