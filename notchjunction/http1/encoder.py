"""Writes messages as bytes, each in one piece."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from notchjunction.http1.messages import Answer, Request


def encode_request(request: Request) -> bytes:
    headers = dict(request.headers)
    headers.pop("content-length", None)
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers["content-length"] = str(len(request.body))
    return _encode(f"{request.method} {request.target} HTTP/1.1", headers, request.body)


def encode_answer(answer: Answer) -> bytes:
    headers = {name: value for name, value in answer.headers.items() if name != "content-length"}
    headers["content-length"] = str(len(answer.body))
    if not answer.keep:
        headers["connection"] = "close"
    return _encode(f"HTTP/1.1 {answer.status} {reason(answer.status)}", headers, answer.body)


def reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _encode(start: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [start, *(f"{name.title()}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
