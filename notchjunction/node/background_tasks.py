"""The tasks that a node runs beside its clients: one owner, which cancels and awaits them at the end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from notchjunction.telemetry.counters import Counters


class BackgroundTasks:
    """Runs coroutines as tasks; one that fails is counted and logged, and the others go on."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine until it ends or `cancel` is called."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    async def cancel(self) -> None:
        """Cancels all that run, and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.add_failure("node task failed", error)
