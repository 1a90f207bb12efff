"""Reports requests that are refused because the node's memory is used up."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from notchjunction.net.memory_budget import MIB, MemoryBudget
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

# At most one log line is written in this time.
LOG_INTERVAL_S = 10.0


class MemoryShortage:
    """Counts the requests that are refused for lack of memory, and logs them at intervals."""

    def __init__(self, memory: MemoryBudget, counters: Counters, clock: Callable[[], float]) -> None:
        self._memory = memory
        self._counters = counters
        self._clock = clock
        self._logged_at = -math.inf

    def report(self, refused: str) -> None:
        """Counts a refusal; `refused` names what there was no room for."""
        self._counters.add("requests_without_memory")
        now = self._clock()
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged_at = now
        log.warning(
            "memory limit reached",
            extra=pairs(refused=refused, reserved_mb=round(self._memory.reserved / MIB, 1)),
        )
