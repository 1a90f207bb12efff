"""A request and an answer, as values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

HEAD_MOST = 16 * 1024  # bytes of a message's head; far over what a caller sends
BODY_MOST = 64 * 1024  # bytes of a body; the protocol's bound


def connection_options(headers: Mapping[str, str]) -> set[str]:
    return {word.strip().lower() for word in headers.get("connection", "").split(",")}


class Malformed(Exception):
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
    keep: bool = True

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep: bool = True
