"""A request and an answer, as values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 16 * 1024  # bytes of a message's head; far over what a caller sends
MAX_BUFFERED_BODY_BYTES = (
    64 * 1024
)  # bytes of a body that is whole before it goes on; longer ones go on in pieces
MAX_BODY_BYTES = 32 * 1024 * 1024  # bytes of a body at all; the protocol's bound


def connection_options(headers: Mapping[str, str]) -> set[str]:
    return {word.strip().lower() for word in headers.get("connection", "").split(",")}


class MalformedMessageError(Exception):
    """Bytes that are no message; `status` is what a caller is told. The connection is of no further use."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    keep_alive: bool = True
    more_body: bool = False  # the body goes on: what is here is its beginning
    length: int | None = None  # of a body that goes on, where the head tells it
    accepts_chunked: bool = True  # whether the other side reads chunks: a caller of HTTP/1.0 does not

    @property
    def path(self) -> str:
        path = self.target.partition("?")[0]
        if path.startswith(("http://", "https://")):
            # A target may name the place too (RFC 9112, 3.2.2).
            path = "/" + path.partition("://")[2].partition("/")[2]
        return path


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    more_body: bool = False
    length: int | None = None
