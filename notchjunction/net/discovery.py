"""Asks discovery for the list and follows it from the last version on."""

from __future__ import annotations

import asyncio
import json
import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from notchjunction.decider import Listed
from notchjunction.http1.messages import Malformed, Request
from notchjunction.http1.parser import AnswerReader
from notchjunction.interface import Presence
from notchjunction.net import words
from notchjunction.net.connections import Address, Connection, Cut, NotSent, address_of, text_of

WAIT_SHARE = 0.75  # of the time within which the list must be asked for; a wait that is cut off says nothing
WAIT_MOST = 20.0  # s that a call waits at most: where no such time is stated, or calls are refused
REFUSALS_KEPT = 8  # last calls by which it is seen whether discovery has more of them than it can answer
LIST_MOST = 8 * 1024 * 1024  # bytes of a list; tens of thousands of servers, and far under the memory limit
SLACK = 1.5  # s over its wait that a call may take


class Unusable(Exception):
    """The call failed, or its answer is no list."""


@dataclass(frozen=True, slots=True)
class ServerList:
    version: int
    whole: bool
    servers: tuple[Listed, ...]
    addresses: Mapping[str, Address]
    older: bool = False  # than the last one heard: counted anew, or from a place that lags


def read_list(value: Any) -> ServerList:
    try:
        rows = value["endpoints"]
        return ServerList(
            version=int(value["index"]),
            whole=bool(value["snapshot"]),
            servers=tuple(_listed(row) for row in rows),
            addresses={str(row["name"]): address_of(row["address"]) for row in rows if row.get("address")},
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise Unusable(f"malformed list: {error!r}") from error


def _listed(row: Mapping[str, Any]) -> Listed:
    since = float(row.get("since_ms") or 0)
    if not math.isfinite(since):
        raise ValueError("since_ms is no time")
    return Listed(
        name=str(row["name"]),
        # Guards against sending to a server in a state this node does not know.
        presence=words.PRESENCES.get(row["status"], Presence.DRAINING),
        started_at=since / 1000,
        zone=str(row.get("zone") or ""),
        cell=None if row.get("group") is None else int(row["group"]),
    )


class Discovery:
    def __init__(self, address: Address, ask_within: float) -> None:
        self._address = address
        self._wait_least = min(WAIT_MOST, ask_within * WAIT_SHARE) if ask_within > 0 else WAIT_MOST
        self._refused: deque[bool] = deque([False] * REFUSALS_KEPT, maxlen=REFUSALS_KEPT)
        self._connection: Connection | None = None
        self.version: int | None = None
        self._moves = 0

    def remember(self, version: int) -> None:
        self.version = version

    def move(self, address: Address) -> None:
        """Asks there from now on, from the last version on; the call that is out at the old place ends."""
        self._address = address
        self._moves += 1
        self.close()

    async def news(self) -> ServerList:
        """The next news; waits for it, for a bounded time."""
        while True:
            moves = self._moves
            try:
                found = await self._ask()
            except Unusable:
                if moves == self._moves:
                    raise
                continue  # the call was ended by a move: no failure, and the next one is due at once
            if moves != self._moves:
                continue  # a late answer from the old place, which no longer speaks for the list
            if self.version is not None and found.version < self.version and not found.whole:
                # Guards against a list that is counted anew: its changes would miss all that went before.
                self.version = None
                continue
            older = self.version is not None and found.version < self.version
            self.version = found.version
            return replace(found, older=older)

    def _wait(self) -> float:
        """Short, as a place cut off says nothing; the longer, the more of the last calls were refused.

        While one waits the list is followed. Guards against all nodes' calls keeping each other out.
        """
        share = sum(self._refused) / REFUSALS_KEPT
        return self._wait_least + (WAIT_MOST - self._wait_least) * share

    async def _ask(self) -> ServerList:
        target = words.LIST
        wait = 0.0
        if self.version is not None:
            wait = self._wait()
            target += f"?after={self.version}&wait_ms={int(wait * 1000)}"
        try:
            async with asyncio.timeout(wait + SLACK):
                return read_list(await self._call(target))
        except (NotSent, Cut, Malformed, TimeoutError) as error:
            self.close()
            raise Unusable(str(error) or type(error).__name__) from error
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _call(self, target: str) -> Any:
        connection = self._connection
        if connection is None or not connection.fit():
            self.close()
            connection = self._connection = Connection(self._address)
            await connection.open()
        request = Request("GET", target, {"host": text_of(self._address)})
        answer = await connection.exchange(request, AnswerReader(LIST_MOST, LIST_MOST))
        if answer.keep:
            connection.rest(0.0)
        else:
            self.close()
        self._refused.append(answer.status == 503)
        if answer.status != 200:
            raise Unusable(f"status {answer.status}")
        try:
            return json.loads(answer.body)
        except (ValueError, RecursionError) as error:
            raise Unusable("no JSON") from error
