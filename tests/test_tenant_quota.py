"""Tests of tenant quotas: which tenants are limited, the part of a process, and the span of the count."""

from __future__ import annotations

import pytest

from notchjunction.balancing.recent_events import EVENT_SPAN_S
from notchjunction.balancing.tenant_quota import TenantQuotas

NOW = 1000.0


def accept_requests(
    quotas: TenantQuotas, count: int, now: float, divisor: float = 1.0, processes: int = 1
) -> int:
    """Return how many of `count` requests of tenant 0 are within its quota."""
    return sum(quotas.take(0, divisor, processes, now) for _ in range(count))


@pytest.mark.parametrize(
    ("quotas", "tenant", "limited"),
    [((), 0, False), ((0.0,), 0, False), ((2.0,), 0, True), ((2.0,), 1, False), ((0.0, 0.5), 1, True)],
)
def test_a_tenant_is_limited_only_by_a_quota_above_zero(
    quotas: tuple[float, ...], tenant: int, limited: bool
) -> None:
    assert TenantQuotas(quotas).has_quota(tenant) is limited


@pytest.mark.parametrize(
    ("quota", "divisor", "processes", "within_quota"),
    [
        (2.0, 1.0, 1, 20),
        (2.0, 4.0, 1, 5),
        (2.0, 1.0, 2, 10),
        (2.0, 4.0, 2, 3),  # the part is 2.5: the request that exceeds it is the last one accepted
        (0.01, 1.0, 1, 1),
    ],
)
def test_a_process_accepts_only_its_part_of_the_quota(
    quota: float, divisor: float, processes: int, within_quota: int
) -> None:
    quotas = TenantQuotas((quota,))
    assert accept_requests(quotas, 50, NOW, divisor, processes) == within_quota
    assert not quotas.take(0, divisor, processes, NOW)


def test_requests_over_the_quota_are_not_counted() -> None:
    quotas = TenantQuotas((1.0,))
    assert accept_requests(quotas, 10, NOW) == 10
    assert accept_requests(quotas, 100, NOW + EVENT_SPAN_S / 2) == 0
    assert accept_requests(quotas, 100, NOW + EVENT_SPAN_S + 0.001) == 10


def test_a_request_counts_until_the_end_of_the_span() -> None:
    quotas = TenantQuotas((1.0 / EVENT_SPAN_S,))
    assert quotas.take(0, 1.0, 1, NOW)
    assert not quotas.take(0, 1.0, 1, NOW + EVENT_SPAN_S)
    assert quotas.take(0, 1.0, 1, NOW + EVENT_SPAN_S + 0.001)


def test_each_tenant_uses_only_its_own_quota() -> None:
    quotas = TenantQuotas((1.0, 1.0))
    assert accept_requests(quotas, 20, NOW) == 10
    assert quotas.take(1, 1.0, 1, NOW)


def test_requests_accepted_before_count_after_the_part_of_the_process_shrinks() -> None:
    quotas = TenantQuotas((1.0,))
    assert accept_requests(quotas, 6, NOW) == 6
    assert accept_requests(quotas, 10, NOW, processes=2) == 0
    assert accept_requests(quotas, 10, NOW) == 4
