"""Writes messages as bytes, each in one piece; a body that goes on as its head, its pieces and its end."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from notchjunction.http1.messages import Request, Response

CHUNKED = "chunked"
FRAMING = ("content-length", "transfer-encoding")


def encode_request(request: Request) -> bytes:
    headers = {name: value for name, value in request.headers.items() if name not in FRAMING}
    if request.more_body:
        headers |= _framing(request.length, chunks=True)
    elif request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers["content-length"] = str(len(request.body))
    body = encode_piece(request.body, request.length) if request.more_body else request.body
    return _encode(f"{request.method} {request.target} HTTP/1.1", headers, body)


def encode_response(answer: Response, chunks: bool = True) -> bytes:
    """`chunks` says whether the caller reads them; else a body of unknown length ends with the connection."""
    headers = {name: value for name, value in answer.headers.items() if name not in FRAMING}
    if answer.more_body:
        headers |= _framing(answer.length, chunks)
    else:
        headers["content-length"] = str(len(answer.body))
    if not answer.keep_alive:
        headers["connection"] = "close"
    body = encode_piece(answer.body, answer.length, chunks) if answer.more_body else answer.body
    return _encode(f"HTTP/1.1 {answer.status} {reason(answer.status)}", headers, body)


def encode_piece(piece: bytes, length: int | None, chunks: bool = True) -> bytes:
    """A part of a body that goes on; framed where its length was not told. An empty one is nothing."""
    if length is not None or not chunks or not piece:
        return piece
    return b"%x\r\n%b\r\n" % (len(piece), piece)


def encode_end(length: int | None, chunks: bool = True) -> bytes:
    return b"0\r\n\r\n" if length is None and chunks else b""


def reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _framing(length: int | None, chunks: bool) -> dict[str, str]:
    if length is not None:
        return {"content-length": str(length)}
    return {"transfer-encoding": CHUNKED} if chunks else {}


def _encode(start: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [start, *(f"{name.title()}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
