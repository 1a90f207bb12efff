"""Reads messages out of the bytes of one connection, however they are cut into pieces."""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from collections.abc import Mapping
from enum import Enum, auto
from typing import Any

from notchjunction.http1.messages import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MalformedMessageError,
    Request,
    Response,
    connection_options,
)

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
SOUND = re.compile(r"[\t\x20-\x7e\x80-\xff]*")  # a header's value without control bytes
TARGET = re.compile(r"[\x21-\x7e]+")
BLANK_MOST = 8  # empty lines ahead of a message (RFC 9112, 2.2); more never end
INTERIM_MOST = 16  # interim answers (1xx) ahead of one answer; a sound server sends a few
TRAILERS_MOST = 32  # lines after the last chunk; more never end
CHUNK_LINE_MOST = 256  # bytes of a chunk's size line; extensions are rare and short


class Framing(Enum):
    LENGTH = auto()
    CHUNKS = auto()
    TO_THE_END = auto()


class MessageReader:
    """What both kinds of message share: the head's lines, the length rules and the body."""

    VALUE = SOUND

    def __init__(
        self, max_buffered_body: int = MAX_BUFFERED_BODY_BYTES, max_body: int = MAX_BODY_BYTES
    ) -> None:
        self._bytes = bytearray()
        self._body_most = max_buffered_body
        self._large_most = max(max_buffered_body, max_body)
        self._searched = 0
        self._blank = 0
        self._interim = 0
        self._start: tuple[str, str, str] | None = None
        self._headers: dict[str, str] = {}
        self._framed = False
        self._framing = Framing.LENGTH
        self._wanted = 0
        self._body = bytearray()
        self._come = 0
        self._going = False
        self._in_trailer = False
        self._trailers = 0
        self._chunk_left = -1

    @property
    def started(self) -> bool:
        """Whether part of a message has come."""
        return self._start is not None or len(self._bytes) > 0

    @property
    def unread(self) -> int:
        """Bytes that came and are not yet read."""
        return len(self._bytes)

    @property
    def in_body(self) -> bool:
        """Whether the head is whole and the body is not."""
        return self._framed

    @property
    def body_received(self) -> int:
        """Bytes of a body under way that have come."""
        return self._come + len(self._bytes)

    @property
    def streaming(self) -> bool:
        """Whether a body goes on: its beginning was given out, and `piece` gives the rest."""
        return self._going

    @property
    def length(self) -> int | None:
        """The body's length, where the head tells it."""
        return self._wanted if self._framing is Framing.LENGTH else None

    def take_piece(self) -> tuple[bytes, bool]:
        """What has come of a body that goes on, and whether that was its end."""
        ended = self._body_read()
        found = self._take_body()
        if ended:
            self._end_message()
        return found, ended

    def state(self) -> dict[str, Any]:
        """Where a body that goes on stands, for another process to read it on from."""
        return {
            "unread": b64encode(self._bytes).decode(),
            "framing": self._framing.name,
            "wanted": self._wanted,
            "come": self._come,
            "trailers": self._trailers,
            "in_trailer": self._in_trailer,
            "chunk_left": self._chunk_left,
        }

    def restore(self, state: Mapping[str, Any]) -> None:
        self._bytes = bytearray(b64decode(state["unread"]))
        self._framing = Framing[state["framing"]]
        self._wanted, self._come = int(state["wanted"]), int(state["come"])
        self._trailers, self._in_trailer = int(state["trailers"]), bool(state["in_trailer"])
        self._chunk_left = int(state["chunk_left"])
        self._framed = self._going = True

    def feed(self, piece: bytes) -> None:
        self._bytes += piece

    def _head_read(self) -> bool:
        """Reads the head once it is whole."""
        if self._start is not None:
            return True
        while self._blank < BLANK_MOST and self._bytes[:2] == b"\r\n":
            del self._bytes[:2]
            self._blank += 1
        end = self._bytes.find(b"\r\n\r\n", self._searched)
        if end < 0 or end > MAX_HEAD_BYTES:
            if len(self._bytes) > MAX_HEAD_BYTES:
                raise MalformedMessageError(431, "head too large")
            self._searched = max(0, len(self._bytes) - 3)
            return False
        lines = self._bytes[:end].decode("latin-1").split("\r\n")
        del self._bytes[: end + 4]
        self._searched = 0
        start = lines[0].split(" ", 2)
        if len(start) < 2:
            raise MalformedMessageError(400, "no start line")
        self._headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.fullmatch(name) or not self.VALUE.fullmatch(value):
                raise MalformedMessageError(400, "malformed header")
            name, value = name.lower(), value.strip(" \t")
            if name in self._headers and name in ("content-length", "transfer-encoding", "host"):
                raise MalformedMessageError(400, f"two headers {name}")
            self._headers[name] = f"{self._headers[name]}, {value}" if name in self._headers else value
        self._start = (start[0], start[1], start[2] if len(start) > 2 else "")
        self._blank = 0
        return True

    def _frame(self, without: Framing) -> None:
        """How the body ends, by the head; `without` holds where the head does not say."""
        self._body = bytearray()
        self._come = 0
        self._chunk_left = -1
        self._in_trailer = False
        self._trailers = 0
        length = self._headers.get("content-length")
        coding = self._headers.get("transfer-encoding")
        self._wanted = 0
        if coding is not None:
            if length is not None:
                # Guards against two ends of one message: what the next one begins with would be in doubt.
                raise MalformedMessageError(400, "both length and chunks")
            if coding.lower() != "chunked":
                raise MalformedMessageError(501, "unknown transfer coding")
            self._framing = Framing.CHUNKS
        elif length is not None:
            if not (length.isascii() and length.isdigit()):
                raise MalformedMessageError(400, "malformed length")
            if len(length) > 9 or int(length) > self._large_most:
                raise MalformedMessageError(413, "body too large")
            self._framing = Framing.LENGTH
            self._wanted = int(length)
        else:
            self._framing = without
        self._framed = True

    def _end_message(self) -> None:
        self._start, self._framed, self._going = None, False, False

    def _take_body(self) -> bytes:
        found = bytes(self._body)
        self._body.clear()
        return found

    def _body_read(self) -> bool:
        """Reads what has come of the body; whether that was its end."""
        if self._framing is Framing.LENGTH:
            self._add(min(self._wanted - self._come, len(self._bytes)))
            return self._come == self._wanted
        if self._framing is Framing.CHUNKS:
            return self._chunks_read()
        self._add(len(self._bytes))
        return False

    def _add(self, count: int) -> None:
        if self._come + count > self._large_most:
            raise MalformedMessageError(413, "body too large")
        self._come += count
        if count == len(self._bytes) and not self._body:
            # The usual case of a body that goes on: nothing is copied.
            self._body, self._bytes = self._bytes, self._body
        else:
            self._body += self._bytes[:count]
            del self._bytes[:count]

    def _line(self) -> str | None:
        end = self._bytes.find(b"\r\n")
        if end < 0 or end > CHUNK_LINE_MOST:
            if len(self._bytes) > CHUNK_LINE_MOST:
                raise MalformedMessageError(400, "malformed chunk")
            return None
        line = self._bytes[:end].decode("latin-1")
        del self._bytes[: end + 2]
        return line

    def _chunks_read(self) -> bool:
        while True:
            if self._in_trailer:
                line = self._line()
                if line is None:
                    return False
                if line == "":
                    return True
                self._trailers += 1
                if self._trailers > TRAILERS_MOST:
                    raise MalformedMessageError(431, "trailer too large")
            elif self._chunk_left < 0:
                line = self._line()
                if line is None:
                    return False
                size = line.partition(";")[0].strip(" \t")
                if not re.fullmatch(r"[0-9A-Fa-f]{1,8}", size):
                    raise MalformedMessageError(400, "malformed chunk")
                self._chunk_left = int(size, 16)
                self._in_trailer = self._chunk_left == 0
                if self._in_trailer:
                    self._chunk_left = -1
            elif self._chunk_left > 0:
                if self._come + self._chunk_left > self._large_most:
                    raise MalformedMessageError(413, "body too large")
                count = min(self._chunk_left, len(self._bytes))
                self._add(count)
                self._chunk_left -= count
                if self._chunk_left:
                    return False
            else:
                if len(self._bytes) < 2 and b"\r\n".startswith(self._bytes):
                    return False
                if self._bytes[:2] != b"\r\n":
                    raise MalformedMessageError(400, "malformed chunk")
                del self._bytes[:2]
                self._chunk_left = -1

    def _keeps(self, version: str) -> bool:
        options = connection_options(self._headers)
        return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)


class RequestReader(MessageReader):
    def expects_continue(self) -> bool:
        """Once for a request whose caller holds the body back until told to go on (RFC 9110, 10.1.1)."""
        awaited = self._framed and self._headers.get("expect", "").lower() == "100-continue"
        if awaited:
            self._headers.pop("expect")
        return awaited

    def next(self) -> Request | None:
        """The next request, whole or, where it is large, its beginning; None while neither is there."""
        if self._going or not self._head_read():
            return None
        assert self._start is not None
        method, target, version = self._start
        if not self._framed:
            if version not in ("HTTP/1.1", "HTTP/1.0"):
                raise MalformedMessageError(505 if version.startswith("HTTP/") else 400, "unknown version")
            if not TOKEN.fullmatch(method) or not TARGET.fullmatch(target):
                raise MalformedMessageError(400, "malformed request line")
            self._frame(without=Framing.LENGTH)
        more = not self._body_read()
        if more and len(self._body) <= self._body_most:
            return None
        self._going = more
        chunks = version != "HTTP/1.0"
        body, keep = self._take_body(), self._keeps(version)
        request = Request(method, target, self._headers, body, keep, more, self.length, chunks)
        if not more:
            self._end_message()
        return request


class ResponseReader(MessageReader):
    _keep = False
    VALUE = re.compile(r"[^\r\n]*")  # an odd header spoils no answer: none but the named ones is looked at

    def next(self) -> Response | None:
        """The answer, whole or, where it is large, its beginning; interim ones (1xx) are passed over."""
        if self._going:
            return None
        while self._head_read():
            assert self._start is not None
            version, status, _ = self._start
            if not self._framed:
                if version not in ("HTTP/1.1", "HTTP/1.0") or not re.fullmatch(r"[1-9][0-9]{2}", status):
                    raise MalformedMessageError(502, "malformed status line")
                if status[0] == "1":
                    self._interim += 1
                    # Nothing here asked for another protocol, and more than a few never end.
                    if status == "101" or self._interim > INTERIM_MOST:
                        raise MalformedMessageError(502, "unexpected interim answer")
                    self._end_message()
                    continue
                self._keep = self._keeps(version)
                self._frame(without=Framing.LENGTH if status in ("204", "304") else Framing.TO_THE_END)
            if self._body_read():
                return self._whole(keep=True)
            return self.start_streaming() if len(self._body) > self._body_most else None
        return None

    def can_stream_early(self) -> bool:
        """Whether what has come may be a large answer's beginning."""
        if not self._framed or not self._body or self._large_most <= self._body_most:
            return False
        return self.length is None or self.length > self._body_most

    def start_streaming(self) -> Response:
        """Its beginning, as it stands; the rest goes on in pieces."""
        assert self._start is not None
        self._going = True
        # Whether the connection is kept is seen at the end.
        return Response(int(self._start[1]), self._headers, self._take_body(), False, True, self.length)

    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is that of the body under way."""
        return self._framed and self._framing is Framing.TO_THE_END

    def connection_reusable(self) -> bool:
        """After a large answer's end: whether the connection can be used again."""
        # Guards against an end that belongs to the answer passing for an idle connection's.
        return self._keep and not self._bytes and not self.ends_with_connection()

    def finish(self) -> Response | None:
        """The connection has ended: the answer, if its end was to be the end of the connection."""
        return self._whole(keep=False) if self.ends_with_connection() else None

    def _whole(self, keep: bool) -> Response:
        assert self._start is not None
        status = self._start[1]
        # Guards against reading a leftover as the next answer: with bytes to spare the connection is unfit.
        keep = keep and self.connection_reusable()
        self._end_message()
        return Response(int(status), self._headers, self._take_body(), keep)
