"""Values for HTTP/1.1 requests and responses, and the size limits of messages."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 16 * 1024  # far above the heads that clients send
MAX_HEADER_FIELDS = 100  # of a request; each takes some 100 bytes of memory, however short it is
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # larger bodies are streamed in pieces instead
MAX_BODY_BYTES = 32 * 1024 * 1024  # the protocol's limit


def connection_options(headers: Mapping[str, str]) -> set[str]:
    """Returns the options of the Connection header, in lower case."""
    return {word.strip().lower() for word in headers.get("connection", "").split(",")}


class MalformedMessageError(Exception):
    """The bytes received are not a valid message; the connection can't be used any more.

    `status` is the status code for the client.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """A request, or its head and the beginning of its body."""

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)  # by name in lower case
    body: bytes = b""
    keep_alive: bool = True
    more_body: bool = False  # `body` is only its beginning; the rest follows in pieces
    length: int | None = None  # bytes of the whole body; None: not stated in the head
    accepts_chunked: bool = True  # whether the client reads the chunked coding; HTTP/1.0 clients don't

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        path = self.target.partition("?")[0]
        if path.startswith(("http://", "https://")):
            # A target in absolute form also names the host (RFC 9112, 3.2.2).
            path = "/" + path.partition("://")[2].partition("/")[2]
        return path


@dataclass(frozen=True, slots=True)
class Response:
    """A response, or its head and the beginning of its body."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)  # by name in lower case
    body: bytes = b""
    keep_alive: bool = True
    more_body: bool = False  # as in Request
    length: int | None = None  # as in Request
