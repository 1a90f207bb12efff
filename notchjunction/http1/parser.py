"""Incremental parsers for the messages of one connection; bytes may be fed in pieces of any size."""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from collections.abc import Collection, Mapping
from enum import Enum, auto
from typing import Any

from notchjunction.http1.messages import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    MalformedMessageError,
    Request,
    Response,
    connection_options,
)

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")  # a header value without control characters
TARGET = re.compile(r"[\x21-\x7e]+")
MAX_BLANK_LINES = 8  # ahead of a message (RFC 9112, 2.2); bounds an endless series
MAX_INTERIM_RESPONSES = 16  # interim responses (1xx) ahead of a response; usually there are few
MAX_RESPONSE_HEADER_FIELDS = 1000  # endpoints are trusted with more than clients
MAX_TRAILER_LINES = 32  # lines after the last chunk; bounds an endless trailer
CHUNK_SIZE = re.compile(r"[0-9A-Fa-f]{1,8}")
# A part of the chunked coding (a size, data, an end) takes as long to parse as thousands of bytes of data. So
# less is read at once where the last parts, if they were more than this many, had fewer bytes in the mean.
MIN_SMALL_PARTS = 100
SMALL_PART_BYTES = 64
SMALL_PARTS_READ_BYTES = 1024
MAX_READ_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 256  # of a chunk's size line; chunk extensions are rare and short


class Framing(Enum):
    """How the end of a body is found. The names of the members are part of the exported state."""

    LENGTH = auto()
    CHUNKS = auto()
    TO_THE_END = auto()  # the body ends with the connection


# The exported state of a body that has ended, whatever its framing was.
ENDED_BODY: Mapping[str, Any] = {
    "unread": "",
    "framing": Framing.LENGTH.name,
    "wanted": 0,
    "come": 0,
    "trailers": 0,
    "in_trailer": False,
    "chunk_left": -1,
}


class MessageReader:
    """Parses what requests and responses have in common: the lines of the head, the framing and the body.

    A body of up to `max_buffered_body` bytes is returned with its message. A larger one is streamed: `next`
    returns the message with the beginning of the body, and `take_piece` the rest. A body of more than
    `max_body` bytes is an error. All methods that parse raise MalformedMessageError. Headers that are
    not in `kept_headers`, if it is given, are dropped once they have been checked.
    """

    HEADER_VALUE = FIELD_VALUE
    MAX_HEADER_FIELDS = MAX_HEADER_FIELDS

    def __init__(
        self,
        max_buffered_body: int = MAX_BUFFERED_BODY_BYTES,
        max_body: int = MAX_BODY_BYTES,
        kept_headers: Collection[str] | None = None,
    ) -> None:
        self._buffer = bytearray()
        self._max_buffered_body = max_buffered_body
        self._max_body = max(max_buffered_body, max_body)
        self._kept_headers = kept_headers
        self._search_from = 0
        self._parsed = 0  # bytes of the buffer that are parsed already; 0 between two calls
        self._has_small_parts = False  # the bytes parsed last were chunks of a few bytes each
        self._blank_lines = 0
        self._interim_responses = 0
        self._start_line: tuple[str, str, str] | None = None
        self._headers: dict[str, str] = {}
        self._in_body = False
        self._framing = Framing.LENGTH
        self._body_length = 0
        self._body = bytearray()
        self._body_received = 0
        self._streaming = False
        self._in_trailer = False
        self._trailer_lines = 0
        self._chunk_remaining = -1

    @property
    def started(self) -> bool:
        """Whether part of a message has been received."""
        return self._start_line is not None or len(self._buffer) > 0

    @property
    def unread(self) -> int:
        """Number of bytes received and not parsed yet."""
        return len(self._buffer)

    @property
    def in_body(self) -> bool:
        """Whether the head is parsed and the body is still incomplete."""
        return self._in_body

    @property
    def read_limit(self) -> int:
        """Number of bytes to read at most before they are parsed, as that holds up other connections."""
        return SMALL_PARTS_READ_BYTES if self._has_small_parts else MAX_READ_BYTES

    @property
    def bytes_to_buffer(self) -> int:
        """Number of bytes of the current body that are still missing until it is complete or streamed."""
        limit = self._max_buffered_body + 1
        total = min(self._body_length, limit) if self._framing is Framing.LENGTH else limit
        return max(0, total - self.body_received)

    @property
    def bytes_missing(self) -> int | None:
        """Number of bytes of the current body that have not been received; None if no length is stated."""
        if self._framing is not Framing.LENGTH:
            return None
        return max(0, self._body_length - self.body_received)

    @property
    def body_received(self) -> int:
        """Number of bytes received of the current body."""
        return self._body_received + len(self._buffer)

    @property
    def streaming(self) -> bool:
        """Whether a body is streamed: its beginning was returned, and `take_piece` returns the rest."""
        return self._streaming

    @property
    def body_ended(self) -> bool:
        """Whether all bytes of a body of a stated length have been parsed."""
        return self._framing is Framing.LENGTH and self._body_received == self._body_length

    @property
    def length(self) -> int | None:
        """The length of the body in bytes, if the head states it."""
        return self._body_length if self._framing is Framing.LENGTH else None

    def skip(self, count: int) -> None:
        """Counts bytes of a streamed body of a stated length that were read and dropped elsewhere."""
        self._body_received += count

    def take_piece(self) -> tuple[bytes, bool]:
        """Returns what has been received of a streamed body, and whether that was its end."""
        ended = self._read_body()
        taken = self._take_body()
        if ended:
            self._end_message()
        return taken, ended

    def state(self) -> dict[str, Any]:
        """Exports the position in a streamed body, for another process to continue from.

        The keys are a wire format: the other process may be of another release.
        """
        return {
            "unread": b64encode(self._buffer).decode(),
            "framing": self._framing.name,
            "wanted": self._body_length,
            "come": self._body_received,
            "trailers": self._trailer_lines,
            "in_trailer": self._in_trailer,
            "chunk_left": self._chunk_remaining,
        }

    def restore(self, state: Mapping[str, Any]) -> None:
        """Continues a streamed body from a position that `state` exported."""
        self._buffer = bytearray(b64decode(state["unread"]))
        self._framing = Framing[state["framing"]]
        self._body_length, self._body_received = int(state["wanted"]), int(state["come"])
        self._trailer_lines, self._in_trailer = int(state["trailers"]), bool(state["in_trailer"])
        self._chunk_remaining = int(state["chunk_left"])
        self._in_body = self._streaming = True

    def discard(self) -> None:
        """Drops the bytes received, after an error: no further message can be parsed."""
        self._buffer.clear()
        self._body.clear()

    def feed(self, piece: bytes) -> None:
        """Adds received bytes."""
        self._buffer += piece

    def _read_head(self) -> bool:
        """Parses the head once it has been received completely; returns whether it is parsed."""
        if self._start_line is not None:
            return True
        while self._blank_lines < MAX_BLANK_LINES and self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
            self._blank_lines += 1
        end = self._buffer.find(b"\r\n\r\n", self._search_from)
        if end < 0 or end > MAX_HEAD_BYTES:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError(431, "head too large")
            self._search_from = max(0, len(self._buffer) - 3)
            return False
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        self._search_from = 0
        if len(lines) - 1 > self.MAX_HEADER_FIELDS:
            # Guards against heads of very many short fields, which take far more memory than they have bytes.
            raise MalformedMessageError(431, "too many headers")
        start = lines[0].split(" ", 2)
        if len(start) < 2:
            raise MalformedMessageError(400, "no start line")
        self._headers = {}
        for line in lines[1:]:
            self._add_header(line)
        self._start_line = (start[0], start[1], start[2] if len(start) > 2 else "")
        self._blank_lines = 0
        return True

    def _add_header(self, line: str) -> None:
        """Checks one line of the head, and stores its header if it is kept."""
        name, colon, value = line.partition(":")
        if not colon or not TOKEN.fullmatch(name) or not self.HEADER_VALUE.fullmatch(value):
            raise MalformedMessageError(400, "malformed header")
        name, value = name.lower(), value.strip(" \t")
        if name in self._headers and name in ("content-length", "transfer-encoding", "host"):
            raise MalformedMessageError(400, f"two headers {name}")
        if self._kept_headers is None or name in self._kept_headers:
            self._headers[name] = f"{self._headers[name]}, {value}" if name in self._headers else value

    def _set_framing(self, default: Framing) -> None:
        """Determines the framing of the body from the head; `default` applies if the head states none."""
        self._body = bytearray()
        self._body_received = 0
        self._chunk_remaining = -1
        self._in_trailer = False
        self._trailer_lines = 0
        length = self._headers.get("content-length")
        transfer_coding = self._headers.get("transfer-encoding")
        self._body_length = 0
        if transfer_coding is not None:
            if length is not None:
                # Guards against a message with two different ends: the start of the next would be ambiguous.
                raise MalformedMessageError(400, "both length and chunks")
            if transfer_coding.lower() != "chunked":
                raise MalformedMessageError(501, "unknown transfer coding")
            self._framing = Framing.CHUNKS
        elif length is not None:
            if not (length.isascii() and length.isdigit()):
                raise MalformedMessageError(400, "malformed length")
            if len(length) > 9 or int(length) > self._max_body:
                raise MalformedMessageError(413, "body too large")
            self._framing = Framing.LENGTH
            self._body_length = int(length)
        else:
            self._framing = default
        self._in_body = True

    def _end_message(self) -> None:
        self._start_line, self._in_body, self._streaming = None, False, False

    def _take_body(self) -> bytes:
        taken = bytes(self._body)
        self._body.clear()
        return taken

    def _read_body(self) -> bool:
        """Parses what has been received of the body; returns whether that was its end."""
        if self._framing is Framing.LENGTH:
            self._consume(min(self._body_length - self._body_received, len(self._buffer)))
            self._drop_parsed()
            return self._body_received == self._body_length
        if self._framing is Framing.CHUNKS:
            return self._read_chunks()
        self._consume(len(self._buffer))
        self._drop_parsed()
        return False

    def _consume(self, count: int) -> None:
        if self._body_received + count > self._max_body:
            raise MalformedMessageError(413, "body too large")
        self._body_received += count
        start, end = self._parsed, self._parsed + count
        if start == 0 and end == len(self._buffer) and not self._body:
            # The usual case of a streamed body: the buffers are swapped, so nothing is copied.
            self._body, self._buffer = self._buffer, self._body
            return
        self._body += self._buffer[start:end]
        self._parsed = end

    def _drop_parsed(self) -> None:
        """Drops the parsed bytes from the buffer, all at once: each drop moves all bytes that follow."""
        del self._buffer[: self._parsed]
        self._parsed = 0

    def _read_line(self) -> str | None:
        end = self._buffer.find(b"\r\n", self._parsed, self._parsed + MAX_CHUNK_LINE_BYTES + 2)
        if end < 0:
            if len(self._buffer) - self._parsed > MAX_CHUNK_LINE_BYTES:
                raise MalformedMessageError(400, "malformed chunk")
            return None
        line = self._buffer[self._parsed : end].decode("latin-1")
        self._parsed = end + 2
        return line

    def _read_chunks(self) -> bool:
        """Parses chunks as far as they have been received; returns whether the last one has ended."""
        parts = 0
        while (ended := self._read_chunk_part()) is None:
            parts += 1
        self._has_small_parts = parts > MIN_SMALL_PARTS and parts * SMALL_PART_BYTES > self._parsed
        self._drop_parsed()
        return ended

    def _read_chunk_part(self) -> bool | None:
        """Parses one part: a size, data, the end of a chunk, or a line of the trailer.

        Returns whether the body has ended; None if it has not, and the next part may be there.
        """
        if self._in_trailer:
            return self._read_trailer_line()
        if self._chunk_remaining < 0:
            return self._read_chunk_size()
        if self._chunk_remaining > 0:
            if self._body_received + self._chunk_remaining > self._max_body:
                raise MalformedMessageError(413, "body too large")
            count = min(self._chunk_remaining, len(self._buffer) - self._parsed)
            self._consume(count)
            self._chunk_remaining -= count
            return False if self._chunk_remaining else None
        end = self._buffer[self._parsed : self._parsed + 2]
        if len(end) < 2 and b"\r\n".startswith(end):
            return False
        if end != b"\r\n":
            raise MalformedMessageError(400, "malformed chunk")
        self._parsed += 2
        self._chunk_remaining = -1
        return None

    def _read_chunk_size(self) -> bool | None:
        line = self._read_line()
        if line is None:
            return False
        size = line.partition(";")[0].strip(" \t")
        if not CHUNK_SIZE.fullmatch(size):
            raise MalformedMessageError(400, "malformed chunk")
        self._chunk_remaining = int(size, 16)
        self._in_trailer = self._chunk_remaining == 0
        if self._in_trailer:
            self._chunk_remaining = -1
        return None

    def _read_trailer_line(self) -> bool | None:
        line = self._read_line()
        if line is None:
            return False
        if line == "":
            return True
        self._trailer_lines += 1
        if self._trailer_lines > MAX_TRAILER_LINES:
            raise MalformedMessageError(431, "trailer too large")
        return None

    def _keeps_alive(self, version: str) -> bool:
        options = connection_options(self._headers)
        return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)


class RequestReader(MessageReader):
    """Parses the requests of a client."""

    _streams_early = False

    def expects_continue(self) -> bool:
        """Returns whether the client sends the body only after an interim response 100 (RFC 9110, 10.1.1).

        Returns True at most once for a request.
        """
        expects = self._in_body and self._headers.get("expect", "").lower() == "100-continue"
        if expects:
            self._headers.pop("expect")
        return expects

    def stream_early(self) -> None:
        """Makes `next` return the current request although less of its body is there than is buffered."""
        self._streams_early = self._in_body

    def next(self) -> Request | None:
        """Returns the next request, with its body or the beginning of a large one; None if none is there."""
        if self._streaming or not self._read_head():
            return None
        assert self._start_line is not None
        method, target, version = self._start_line
        if not self._in_body:
            if version not in ("HTTP/1.1", "HTTP/1.0"):
                raise MalformedMessageError(505 if version.startswith("HTTP/") else 400, "unknown version")
            if not TOKEN.fullmatch(method) or not TARGET.fullmatch(target):
                raise MalformedMessageError(400, "malformed request line")
            self._set_framing(default=Framing.LENGTH)
        more = not self._read_body()
        if more and len(self._body) <= self._max_buffered_body and not self._streams_early:
            return None
        self._streaming = more
        accepts_chunked = version != "HTTP/1.0"
        self._streams_early = False
        body, keep_alive = self._take_body(), self._keeps_alive(version)
        request = Request(method, target, self._headers, body, keep_alive, more, self.length, accepts_chunked)
        if not more:
            self._end_message()
        return request


class ResponseReader(MessageReader):
    """Parses the responses of a server."""

    _keep_alive = False
    # Lenient, so that an unusual header doesn't make a response unusable: only a few headers are looked at.
    HEADER_VALUE = re.compile(r"[^\r\n]*")
    MAX_HEADER_FIELDS = MAX_RESPONSE_HEADER_FIELDS

    def next(self) -> Response | None:
        """Returns the response, with its body or the beginning of a large one; None if it is not there.

        Interim responses (1xx) are skipped.
        """
        if self._streaming:
            return None
        while self._read_head():
            assert self._start_line is not None
            version, status, _ = self._start_line
            if not self._in_body:
                if version not in ("HTTP/1.1", "HTTP/1.0") or not re.fullmatch(r"[1-9][0-9]{2}", status):
                    raise MalformedMessageError(502, "malformed status line")
                if status[0] == "1":
                    self._interim_responses += 1
                    # No request here asks for another protocol, and a long series might never end.
                    if status == "101" or self._interim_responses > MAX_INTERIM_RESPONSES:
                        raise MalformedMessageError(502, "unexpected interim response")
                    self._end_message()
                    continue
                self._keep_alive = self._keeps_alive(version)
                self._set_framing(default=Framing.LENGTH if status in ("204", "304") else Framing.TO_THE_END)
            if self._read_body():
                return self._complete_response(keep_alive=True)
            return self.start_streaming() if len(self._body) > self._max_buffered_body else None
        return None

    def can_stream(self) -> bool:
        """Whether `start_streaming` is possible, however short the body may be: part of it is there."""
        return self._in_body and len(self._body) > 0 and self._max_body > self._max_buffered_body

    def may_be_large(self) -> bool:
        """Whether the incomplete body is large, or may be as its length is not stated."""
        if not self._in_body or self._max_body <= self._max_buffered_body:
            return False
        return self.length is None or self.length > self._max_buffered_body

    def can_stream_early(self) -> bool:
        """Whether `start_streaming` is worth it before the body is complete.

        The body's length has to be stated and large, or part of it is there and it may turn out to be large.
        """
        return self.may_be_large() and (self.length is not None or len(self._body) > 0)

    def start_streaming(self) -> Response:
        """Returns the response with what has been received of its body; `take_piece` returns the rest."""
        assert self._start_line is not None
        self._streaming = True
        # Whether the connection is kept is known only at the end.
        return Response(int(self._start_line[1]), self._headers, self._take_body(), False, True, self.length)

    def ends_with_connection(self) -> bool:
        """Whether the end of the connection marks the end of the current body."""
        return self._in_body and self._framing is Framing.TO_THE_END

    def connection_reusable(self) -> bool:
        """Whether the connection can be used again after the end of a response."""
        # Guards against a connection kept as idle although its end belongs to the response.
        return self._keep_alive and not self._buffer and not self.ends_with_connection()

    def finish(self) -> Response | None:
        """Handles the end of the connection: returns the response if that marks the end of its body."""
        return self._complete_response(keep_alive=False) if self.ends_with_connection() else None

    def _complete_response(self, keep_alive: bool) -> Response:
        assert self._start_line is not None
        status = self._start_line[1]
        # Guards against parsing left-over bytes as the next response: such a connection isn't used again.
        keep_alive = keep_alive and self.connection_reusable()
        self._end_message()
        return Response(int(status), self._headers, self._take_body(), keep_alive)
