"""Parsing and encoding of HTTP/1.1 messages, split at any byte or malformed."""

from __future__ import annotations

import pytest

from notchjunction.http1.encoder import encode_request, encode_response
from notchjunction.http1.messages import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MalformedMessageError,
    Request,
    Response,
)
from notchjunction.http1.parser import (
    MAX_READ_BYTES,
    SMALL_PARTS_READ_BYTES,
    MessageReader,
    RequestReader,
    ResponseReader,
)

POST = b"POST /api HTTP/1.1\r\n"
CHUNKED_HEADER_END = b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("step", [1, 3, 7, 1000])
def test_pipelined_requests_parse_the_same_for_any_split_of_the_input(step: int) -> None:
    wire = (
        b"\r\n" + POST + b"Req-Id: 1\r\nContent-Length: 3\r\n\r\nabc"
        b"GET /api?x=1 HTTP/1.1\r\nX: a\r\nx: b\r\nConnection: close\r\n\r\n"
        + POST
        + CHUNKED_HEADER_END
        + b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n"
    )
    reader, found = RequestReader(), []
    for start in range(0, len(wire), step):
        reader.feed(wire[start : start + step])
        while (request := reader.next()) is not None:
            found.append(request)
    assert [request.body for request in found] == [b"abc", b"", b"abcde"]
    assert [request.keep_alive for request in found] == [True, False, True]
    assert found[1].path == "/api" and found[1].target == "/api?x=1" and found[1].headers["x"] == "a, b"
    assert not reader.started


@pytest.mark.parametrize(
    ("wire", "status"),
    [
        (b"\x16\x03\x01\x02\r\n\r\n", 400),
        (b"GET /a b HTTP/1.1\r\n\r\n", 400),
        (b"GET /api HTTP/2.0\r\n\r\n", 505),
        (b"GET /api HTTP/1.1\r\nNo colon\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nA : b\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nA: b\nB: c\r\n\r\n", 400),
        (POST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (POST + b"Content-Length: 3\r\n" + CHUNKED_HEADER_END, 400),
        (POST + b"Content-Length: -1\r\n\r\n", 400),
        (POST + b"Content-Length: 1e3\r\n\r\n", 400),
        (POST + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (POST + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", 413),
        (POST + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (b"\r\n" * 9 + b"GET /api HTTP/1.1\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nA: a\x07b\r\n\r\n", 400),
        (POST + CHUNKED_HEADER_END + b"0\r\n" + b"A: b\r\n" * 40, 431),
        (POST + CHUNKED_HEADER_END + b"x\r\n", 400),
        (POST + CHUNKED_HEADER_END + b"1\r\nabc", 400),
        (POST + CHUNKED_HEADER_END + b"fffffff\r\n", 413),
        (POST + CHUNKED_HEADER_END + b"1;" + b"x" * 300, 400),
        (b"GET /api HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES, 431),
        (b"GET /api HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n", 431),
    ],
)
def test_a_malformed_or_unsupported_request_raises_the_expected_status(wire: bytes, status: int) -> None:
    reader = RequestReader()
    reader.feed(wire)
    with pytest.raises(MalformedMessageError) as raised:
        reader.next()
    assert raised.value.status == status


@pytest.mark.parametrize(
    ("wire", "body_before_end", "body_at_end"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", None),
        (b"HTTP/1.1 200 OK\r\n" + CHUNKED_HEADER_END + b"2\r\nok\r\n0\r\n\r\n", b"ok", None),
        (b"HTTP/1.1 200 OK\r\n\r\nok", None, b"ok"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", None),
        (b"HTTP/1.1 204 None\r\n\r\n", b"", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", None, None),
        (b"HTTP/1.1 200 OK\r\n" + CHUNKED_HEADER_END + b"2\r\nok\r\n", None, None),
        (b"HTTP/1.1 200 OK\r\nConte", None, None),
    ],
)
def test_a_truncated_body_is_never_a_complete_response(
    wire: bytes, body_before_end: bytes | None, body_at_end: bytes | None
) -> None:
    reader = ResponseReader()
    reader.feed(wire)
    found = reader.next()
    assert (found.body if found else None) == body_before_end
    if found is None:
        final = reader.finish()
        assert (final.body if final else None) == body_at_end and (final is None or not final.keep_alive)


@pytest.mark.parametrize(
    "wire",
    [
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 40,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * MAX_HEAD_BYTES,
        b"\x00\xff\r\n\r\n",
    ],
)
def test_a_malformed_response_head_is_rejected(wire: bytes) -> None:
    reader = ResponseReader()
    reader.feed(wire)
    with pytest.raises(MalformedMessageError):
        reader.next()


def test_invalid_bytes_in_a_header_do_not_make_a_response_malformed() -> None:
    reader = ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nSrv-Load: {\x00\x07\xff\r\nContent-Length: 2\r\n\r\nok")
    found = reader.next()
    assert found is not None and (found.body, found.keep_alive) == (b"ok", True)


@pytest.mark.parametrize(
    ("wire", "keep_alive"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nleftover", False),
    ],
)
def test_keep_alive_needs_http_1_1_no_close_header_and_no_leftover_bytes(
    wire: bytes, keep_alive: bool
) -> None:
    reader = ResponseReader()
    reader.feed(wire)
    found = reader.next()
    assert found is not None and found.keep_alive is keep_alive


def test_encoded_messages_are_parsed_back() -> None:
    request_reader, response_reader = RequestReader(), ResponseReader()
    request_reader.feed(encode_request(Request("POST", "/api?a=b", {"req-id": "1"}, b"body")))
    response_reader.feed(encode_response(Response(503, {"retry-after": "0.250"}, b"", keep_alive=False)))
    request, response = request_reader.next(), response_reader.next()
    assert request is not None and (request.target, request.body) == ("/api?a=b", b"body")
    assert response is not None and response.headers["retry-after"] == "0.250" and not response.keep_alive


def tiny_chunks(count: int) -> bytes:
    return b"1\r\nx\r\n" * count


@pytest.mark.parametrize("reader", [RequestReader(), ResponseReader()])
def test_less_is_read_at_once_of_tiny_chunks_than_of_large_ones(reader: MessageReader) -> None:
    """Guards against one client or endpoint with tiny chunks that holds up all others for each read."""
    start = b"HTTP/1.1 200 OK" if isinstance(reader, ResponseReader) else b"POST /api HTTP/1.1"
    reader.feed(start + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + b"11000\r\n" + b"x" * 0x11000 + b"\r\n")
    assert reader.next() is not None and reader.read_limit == MAX_READ_BYTES  # type: ignore[attr-defined]
    for wire, limit in [
        (tiny_chunks(1000), SMALL_PARTS_READ_BYTES),
        (tiny_chunks(10), MAX_READ_BYTES),
        (tiny_chunks(100) + b"1000\r\n" + b"x" * 0x1000 + b"\r\n", SMALL_PARTS_READ_BYTES),
        (b"8000\r\n" + b"x" * 0x8000 + b"\r\n", MAX_READ_BYTES),
    ]:
        reader.feed(wire)
        piece, ended = reader.take_piece()
        assert piece.strip(b"x") == b"" and not ended and reader.read_limit == limit
