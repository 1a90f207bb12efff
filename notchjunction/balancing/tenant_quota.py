"""Tenant quotas: which requests are over their tenant's quota."""

from __future__ import annotations

from collections.abc import Sequence

from notchjunction.balancing.recent_events import EVENT_SPAN_S, RecentEvents


class TenantQuotas:
    """Counts the requests of each tenant that has a quota; requests over quota are not counted.

    `quotas` are in requests per second for all nodes together, in the order of the tenants' numbers. 0 means
    that the tenant is not limited.
    """

    def __init__(self, quotas: Sequence[float] = ()) -> None:
        self._quotas = quotas
        self._used = [RecentEvents() for _ in quotas]

    def has_quota(self, tenant: int) -> bool:
        """Return whether the tenant's requests are limited."""
        return tenant < len(self._quotas) and self._quotas[tenant] > 0

    def take(self, tenant: int, traffic_divisor: float, process_count: int, now: float) -> bool:
        """Count a request of a tenant that has a quota.

        Args:
            tenant: the tenant's number.
            traffic_divisor: how many times this node's traffic all nodes have together.
            process_count: how many processes share this node's part of the quota.
            now: the current time (s).

        Returns:
            False if the request is over quota; it is not counted then.
        """
        used, limit = self._used[tenant], self._quotas[tenant] * EVENT_SPAN_S / traffic_divisor
        if used.count(now) >= limit / process_count:
            return False
        used.record(now)
        return True
