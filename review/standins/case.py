"""Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.node import Node, temporary_folder
from standins.record import Record

LIMIT_S = 110.0  # a case may take 120 s


class Stage:
    """What a case has at hand: its record, its folder, its nodes, and whether the disruption is played."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = folder
        self.nodes: list[Node] = []

    def add_node(self, name: str, config: dict[str, Any]) -> Node:
        """Returns a node that is not started yet; `name` and `listen` are added to its configuration."""
        node = Node(name, self._folder, self.record)
        node.config = {"name": name, "listen": f"{node.listen[0]}:{node.listen[1]}", "seed": "1f", **config}
        self.nodes.append(node)
        return node


Play = Callable[[Stage], Awaitable[int]]


async def _play(play: Play, stage: Stage) -> int:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await play(stage)


def run(play: Play, file: str) -> None:
    """Plays a case, ends all that it started, and exits."""
    record = Record(Path(file).parent / "record.txt")
    status = 2
    with temporary_folder() as folder:
        stage = Stage(record, Path(folder))
        record.note("case begins", trouble=int(stage.trouble))
        try:
            status = asyncio.run(_play(play, stage))
        except BaseException as error:
            record.note("case could not run", error=repr(error))
            traceback.print_exc()
        finally:
            for node in stage.nodes:
                node.end()
            for node in stage.nodes:
                record.note(f"log of {node.name}:\n{node.log()}")
    sys.stdout.flush()
    os._exit(status)
