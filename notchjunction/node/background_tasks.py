"""The background tasks of a node, with one owner that cancels and awaits them when the node ends."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from notchjunction.telemetry.counters import Counters


class BackgroundTasks:
    """Runs coroutines as tasks; a failed task is counted and logged, and does not affect the others."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine until it ends or `cancel` is called."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancels all running tasks and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.add_failure("node task failed", error)
