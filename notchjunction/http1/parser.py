"""Reads messages out of the bytes of one connection, however they are cut into pieces."""

from __future__ import annotations

import re
from enum import Enum, auto

from notchjunction.http1.messages import BODY_MOST, HEAD_MOST, Answer, Malformed, Request, connection_options

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
SOUND = re.compile(r"[\t\x20-\x7e\x80-\xff]*")  # a header's value without control bytes
TARGET = re.compile(r"[\x21-\x7e]+")
INTERIM_MOST = 16  # interim answers (1xx) ahead of one answer; a sound server sends a few
TRAILERS_MOST = 32  # lines after the last chunk; more never end
CHUNK_LINE_MOST = 256  # bytes of a chunk's size line; extensions are rare and short


class Framing(Enum):
    LENGTH = auto()
    CHUNKS = auto()
    TO_THE_END = auto()


class Reader:
    """What both kinds of message share: the head's lines, the length rules and the body."""

    VALUE = SOUND

    def __init__(self, body_most: int = BODY_MOST) -> None:
        self._bytes = bytearray()
        self._body_most = body_most
        self._searched = 0
        self._blank = False
        self._interim = 0
        self._start: tuple[str, str, str] | None = None
        self._headers: dict[str, str] = {}
        self._framed = False
        self._framing = Framing.LENGTH
        self._wanted = 0
        self._body = bytearray()
        self._in_trailer = False
        self._trailers = 0
        self._chunk_left = -1

    @property
    def begun(self) -> bool:
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
    def body_come(self) -> int:
        """Bytes of a body under way that have come, its framing among them."""
        return len(self._body) + len(self._bytes)

    def feed(self, piece: bytes) -> None:
        self._bytes += piece

    def _head_read(self) -> bool:
        """Reads the head once it is whole."""
        if self._start is not None:
            return True
        if not self._blank and self._bytes[:2] == b"\r\n":
            # An empty line before a message is passed over (RFC 9112, 2.2); more would never end.
            del self._bytes[:2]
            self._blank = True
        end = self._bytes.find(b"\r\n\r\n", self._searched)
        if end < 0 or end > HEAD_MOST:
            if len(self._bytes) > HEAD_MOST:
                raise Malformed(431, "head too large")
            self._searched = max(0, len(self._bytes) - 3)
            return False
        lines = self._bytes[:end].decode("latin-1").split("\r\n")
        del self._bytes[: end + 4]
        self._searched = 0
        start = lines[0].split(" ", 2)
        if len(start) < 2:
            raise Malformed(400, "no start line")
        self._headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.fullmatch(name) or not self.VALUE.fullmatch(value):
                raise Malformed(400, "malformed header")
            name, value = name.lower(), value.strip(" \t")
            if name in self._headers and name in ("content-length", "transfer-encoding", "host"):
                raise Malformed(400, f"two headers {name}")
            self._headers[name] = f"{self._headers[name]}, {value}" if name in self._headers else value
        self._start = (start[0], start[1], start[2] if len(start) > 2 else "")
        self._blank = False
        return True

    def _frame(self, without: Framing) -> None:
        """How the body ends, by the head; `without` holds where the head does not say."""
        self._body = bytearray()
        self._chunk_left = -1
        self._in_trailer = False
        self._trailers = 0
        length = self._headers.get("content-length")
        coding = self._headers.get("transfer-encoding")
        self._wanted = 0
        if coding is not None:
            if length is not None:
                # Guards against two ends of one message: what the next one begins with would be in doubt.
                raise Malformed(400, "both length and chunks")
            if coding.lower() != "chunked":
                raise Malformed(501, "unknown transfer coding")
            self._framing = Framing.CHUNKS
        elif length is not None:
            if not (length.isascii() and length.isdigit()):
                raise Malformed(400, "malformed length")
            if len(length) > 9 or int(length) > self._body_most:
                raise Malformed(413, "body too large")
            self._framing = Framing.LENGTH
            self._wanted = int(length)
        else:
            self._framing = without
        self._framed = True

    def _end_message(self) -> None:
        self._start, self._framed = None, False

    def _body_read(self) -> bool:
        if self._framing is Framing.LENGTH:
            if len(self._bytes) < self._wanted:
                return False
            self._body = self._bytes[: self._wanted]
            del self._bytes[: self._wanted]
            return True
        if self._framing is Framing.CHUNKS:
            return self._chunks_read()
        self._add(len(self._bytes))
        return False

    def _add(self, count: int) -> None:
        if len(self._body) + count > self._body_most:
            raise Malformed(413, "body too large")
        self._body += self._bytes[:count]
        del self._bytes[:count]

    def _line(self) -> str | None:
        end = self._bytes.find(b"\r\n")
        if end < 0 or end > CHUNK_LINE_MOST:
            if len(self._bytes) > CHUNK_LINE_MOST:
                raise Malformed(400, "malformed chunk")
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
                    raise Malformed(431, "trailer too large")
            elif self._chunk_left < 0:
                line = self._line()
                if line is None:
                    return False
                size = line.partition(";")[0].strip(" \t")
                if not re.fullmatch(r"[0-9A-Fa-f]{1,8}", size):
                    raise Malformed(400, "malformed chunk")
                self._chunk_left = int(size, 16)
                self._in_trailer = self._chunk_left == 0
            else:
                if len(self._body) + self._chunk_left > self._body_most:
                    raise Malformed(413, "body too large")
                if len(self._bytes) < self._chunk_left + 2:
                    return False
                self._add(self._chunk_left)
                if self._bytes[:2] != b"\r\n":
                    raise Malformed(400, "malformed chunk")
                del self._bytes[:2]
                self._chunk_left = -1

    def _keeps(self, version: str) -> bool:
        options = connection_options(self._headers)
        return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)


class RequestReader(Reader):
    def awaits_go_ahead(self) -> bool:
        """Once for a request whose caller holds the body back until told to go on (RFC 9110, 10.1.1)."""
        awaited = self._framed and self._headers.get("expect", "").lower() == "100-continue"
        if awaited:
            self._headers.pop("expect")
        return awaited

    def next(self) -> Request | None:
        """The next whole request; None while it is not whole."""
        if not self._head_read():
            return None
        assert self._start is not None
        method, target, version = self._start
        if not self._framed:
            if version not in ("HTTP/1.1", "HTTP/1.0"):
                raise Malformed(505 if version.startswith("HTTP/") else 400, "unknown version")
            if not TOKEN.fullmatch(method) or not TARGET.fullmatch(target):
                raise Malformed(400, "malformed request line")
            self._frame(without=Framing.LENGTH)
        if not self._body_read():
            return None
        request = Request(method, target, self._headers, bytes(self._body), self._keeps(version))
        self._end_message()
        return request


class AnswerReader(Reader):
    VALUE = re.compile(r"[^\r\n]*")  # an odd header spoils no answer: none but the named ones is looked at

    def next(self) -> Answer | None:
        """The whole answer; None while it is not whole. Interim answers (1xx) are passed over."""
        while self._head_read():
            assert self._start is not None
            version, status, _ = self._start
            if not self._framed:
                if version not in ("HTTP/1.1", "HTTP/1.0") or not re.fullmatch(r"[1-9][0-9]{2}", status):
                    raise Malformed(502, "malformed status line")
                if status[0] == "1":
                    self._interim += 1
                    # Nothing here asked for another protocol, and more than a few never end.
                    if status == "101" or self._interim > INTERIM_MOST:
                        raise Malformed(502, "unexpected interim answer")
                    self._end_message()
                    continue
                self._frame(without=Framing.LENGTH if status in ("204", "304") else Framing.TO_THE_END)
            return self._whole(keep=True) if self._body_read() else None
        return None

    def end(self) -> Answer | None:
        """The connection has ended: the answer, if its end was to be the end of the connection."""
        if not self._framed or self._framing is not Framing.TO_THE_END:
            return None
        return self._whole(keep=False)

    def _whole(self, keep: bool) -> Answer:
        assert self._start is not None
        version, status, _ = self._start
        # Guards against reading a leftover as the next answer: with bytes to spare the connection is unfit.
        keep = keep and self._keeps(version) and not self._bytes
        self._end_message()
        return Answer(int(status), self._headers, bytes(self._body), keep)
