"""A client of a node: one request on a connection, and how it ended."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from standins.http import Address, encode, read_body, read_head
from standins.record import Record


@dataclass
class Answer:
    """How a request ended: `status` is None if the connection ended with no whole answer."""

    request_id: str
    status: int | None
    body: bytes = b""
    why: str = ""


class Client:
    """Sends requests to one node, each on a connection of its own."""

    def __init__(self, address: Address, record: Record) -> None:
        self._address = address
        self._record = record

    async def send(
        self, request_id: str, kind: str, deadline_ms: int, body: bytes = b"x", method: str = "POST"
    ) -> Answer:
        """Sends one request and waits for its answer, or for the end of the connection."""
        reader, writer = await asyncio.open_connection(*self._address)
        headers = {
            "Host": "app.svc",
            "Req-Id": request_id,
            "Req-Kind": kind,
            "Req-Deadline-Ms": str(deadline_ms),
        }
        writer.write(encode(f"{method} /api HTTP/1.1", headers, body if method == "POST" else b""))
        self._record.note("sent", id=request_id, kind=kind, deadline_ms=deadline_ms)
        answer = Answer(request_id, None)
        try:
            head = await read_head(reader)
            answer.body = await read_body(reader, head.headers)
            answer.status = int(head.words[1])
        except asyncio.IncompleteReadError:
            answer.why = "the connection ended with no whole answer"
        except OSError as error:
            answer.why = f"the connection was reset ({type(error).__name__})"
        finally:
            with suppress(OSError):
                writer.close()
        self._record.note(
            "answered", id=request_id, status=answer.status, bytes=len(answer.body), why=answer.why or "-"
        )
        return answer
