"""A discovery service: the whole list, and watches on its changes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.http import Address, encode, read_head


class Discovery:
    """Lists the servers of one tier; `change` tells a new version to all watches."""

    def __init__(self) -> None:
        self.address: Address = ("127.0.0.1", 0)
        self._index = 1
        self._rows: dict[str, tuple[int, dict[str, Any]]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, rows: Iterable[dict[str, Any]]) -> None:
        """Listens on a free port."""
        self._rows = {row["name"]: (self._index, row) for row in rows}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def snapshot(self) -> dict[str, Any]:
        """Returns the whole list."""
        rows = [row for _, row in self._rows.values() if row["status"] != "left"]
        return {"index": self._index, "snapshot": True, "endpoints": rows}

    async def change(self, row: dict[str, Any]) -> None:
        """Replaces the row of one server."""
        self._index += 1
        self._rows[row["name"]] = (self._index, row)
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            return self.snapshot()
        after, wait = int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._index > after)
        rows = [row for index, row in self._rows.values() if index > after]
        return {"index": self._index, "snapshot": False, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                target = (await read_head(reader)).words[1]
                body = json.dumps(await self._answer(target)).encode()
                writer.write(encode("HTTP/1.1 200 OK", {}, body))
                await writer.drain()
        writer.close()
