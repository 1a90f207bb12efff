"""The little of HTTP/1.1 that the stand-ins need: reading messages from a stream and writing them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass
class Message:
    """A request or a response."""

    start: str  # the first line
    headers: dict[str, str] = field(default_factory=dict)  # by name in lower case
    body: bytes = b""

    @property
    def words(self) -> list[str]:
        """The words of the first line."""
        return self.start.split(" ", 2)


def text_of(address: Address) -> str:
    """Returns an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the first line and the headers; raises IncompleteReadError if the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body that has a length or comes in chunks; raises IncompleteReadError if it is not whole."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body or start.startswith(("HTTP/", "POST")):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
