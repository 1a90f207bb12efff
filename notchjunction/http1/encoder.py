"""Encodes messages as bytes.

A message whose body is complete is encoded at once. A streamed one is encoded as its head with the beginning
of its body, then piece by piece, then its end.
"""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from notchjunction.http1.messages import Request, Response

CHUNKED = "chunked"
FRAMING_HEADERS = ("content-length", "transfer-encoding")


def encode_request(request: Request) -> bytes:
    """Encodes a request; its framing headers follow from its body."""
    headers = {name: value for name, value in request.headers.items() if name not in FRAMING_HEADERS}
    if request.more_body:
        headers |= _framing(request.length, chunked=True)
    elif request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers["content-length"] = str(len(request.body))
    body = encode_piece(request.body, request.length) if request.more_body else request.body
    return _encode(f"{request.method} {request.target} HTTP/1.1", headers, body)


def encode_response(response: Response, chunked: bool = True) -> bytes:
    """Encodes a response; its framing headers follow from its body.

    `chunked` says whether the client reads the chunked coding. If it doesn't, the end of the connection marks
    the end of a body of unknown length.
    """
    headers = {name: value for name, value in response.headers.items() if name not in FRAMING_HEADERS}
    if response.more_body:
        headers |= _framing(response.length, chunked)
    else:
        headers["content-length"] = str(len(response.body))
    if not response.keep_alive:
        headers["connection"] = "close"
    body = encode_piece(response.body, response.length, chunked) if response.more_body else response.body
    return _encode(f"HTTP/1.1 {response.status} {reason_phrase(response.status)}", headers, body)


def encode_piece(piece: bytes, length: int | None, chunked: bool = True) -> bytes:
    """Encodes a piece of a streamed body: as a chunk if the head states no length.

    An empty piece becomes no bytes, because an empty chunk would end the body.
    """
    if length is not None or not chunked or not piece:
        return piece
    return b"%x\r\n%b\r\n" % (len(piece), piece)


def encode_end(length: int | None, chunked: bool = True) -> bytes:
    """Encodes the end of a streamed body; no bytes unless the body is chunked."""
    return b"0\r\n\r\n" if length is None and chunked else b""


def reason_phrase(status: int) -> str:
    """Returns the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _framing(length: int | None, chunked: bool) -> dict[str, str]:
    if length is not None:
        return {"content-length": str(length)}
    return {"transfer-encoding": CHUNKED} if chunked else {}


def _encode(start_line: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [start_line, *(f"{name.title()}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
