"""Messages: however they are cut, whatever is wrong with them."""

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
from notchjunction.http1.parser import RequestReader, ResponseReader

POST = b"POST /api HTTP/1.1\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("step", [1, 3, 7, 1000])
def test_requests_are_read_however_they_are_cut(step: int) -> None:
    wire = (
        b"\r\n" + POST + b"Req-Id: 1\r\nContent-Length: 3\r\n\r\nabc"
        b"GET /api?x=1 HTTP/1.1\r\nX: a\r\nx: b\r\nConnection: close\r\n\r\n"
        + POST
        + CHUNKS
        + b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n"
    )
    reader, found = RequestReader(), []
    for at in range(0, len(wire), step):
        reader.feed(wire[at : at + step])
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
        (POST + b"Content-Length: 3\r\n" + CHUNKS, 400),
        (POST + b"Content-Length: -1\r\n\r\n", 400),
        (POST + b"Content-Length: 1e3\r\n\r\n", 400),
        (POST + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
        (POST + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", 413),
        (POST + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (b"\r\n" * 9 + b"GET /api HTTP/1.1\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nA: a\x07b\r\n\r\n", 400),
        (POST + CHUNKS + b"0\r\n" + b"A: b\r\n" * 40, 431),
        (POST + CHUNKS + b"x\r\n", 400),
        (POST + CHUNKS + b"1\r\nabc", 400),
        (POST + CHUNKS + b"fffffff\r\n", 413),
        (POST + CHUNKS + b"1;" + b"x" * 300, 400),
        (b"GET /api HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES, 431),
        (b"GET /api HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n", 431),
    ],
)
def test_what_is_no_request_has_one_plain_answer(wire: bytes, status: int) -> None:
    reader = RequestReader()
    reader.feed(wire)
    with pytest.raises(MalformedMessageError) as caught:
        reader.next()
    assert caught.value.status == status


@pytest.mark.parametrize(
    ("wire", "at_once", "at_the_end"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", None),
        (b"HTTP/1.1 200 OK\r\n" + CHUNKS + b"2\r\nok\r\n0\r\n\r\n", b"ok", None),
        (b"HTTP/1.1 200 OK\r\n\r\nok", None, b"ok"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", None),
        (b"HTTP/1.1 204 None\r\n\r\n", b"", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", None, None),
        (b"HTTP/1.1 200 OK\r\n" + CHUNKS + b"2\r\nok\r\n", None, None),
        (b"HTTP/1.1 200 OK\r\nConte", None, None),
    ],
)
def test_a_cut_body_is_never_a_whole_answer(
    wire: bytes, at_once: bytes | None, at_the_end: bytes | None
) -> None:
    reader = ResponseReader()
    reader.feed(wire)
    found = reader.next()
    assert (found.body if found else None) == at_once
    if found is None:
        last = reader.finish()
        assert (last.body if last else None) == at_the_end and (last is None or not last.keep_alive)


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
def test_a_spoilt_answer_is_given_up_at_its_head(wire: bytes) -> None:
    reader = ResponseReader()
    reader.feed(wire)
    with pytest.raises(MalformedMessageError):
        reader.next()


def test_an_odd_header_spoils_no_answer() -> None:
    reader = ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nSrv-Load: {\x00\x07\xff\r\nContent-Length: 2\r\n\r\nok")
    found = reader.next()
    assert found is not None and (found.body, found.keep_alive) == (b"ok", True)


@pytest.mark.parametrize(
    ("wire", "keep"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nleftover", False),
    ],
)
def test_a_connection_is_kept_only_when_both_sides_may_go_on(wire: bytes, keep: bool) -> None:
    reader = ResponseReader()
    reader.feed(wire)
    found = reader.next()
    assert found is not None and found.keep_alive is keep


def test_what_is_encoded_is_read_back() -> None:
    requests, answers = RequestReader(), ResponseReader()
    requests.feed(encode_request(Request("POST", "/api?a=b", {"req-id": "1"}, b"body")))
    answers.feed(encode_response(Response(503, {"retry-after": "0.250"}, b"", keep_alive=False)))
    request, answer = requests.next(), answers.next()
    assert request is not None and (request.target, request.body) == ("/api?a=b", b"body")
    assert answer is not None and answer.headers["retry-after"] == "0.250" and not answer.keep_alive
