"""A strict parser of HTTP/1.1 responses, separate from the product's, so that both cannot share a parsing fault."""

import re
from dataclasses import dataclass

HEAD_END = re.compile(rb"\r?\n\r?\n")  # a bare line feed may also end a line (RFC 9112, 2.2)
LINE_END = re.compile(rb"\r?\n")
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-9]\d\d) [^\r\n]*")
HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*?)[ \t]*")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class Response:
    """One response as parsed; the body of an incomplete response is the part that was received."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_complete: bool

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, given its name in lower case."""
        return [value for found, value in self.headers if found == name]

    def value(self, name: bytes) -> bytes | None:
        """Returns the only value of a header, or None if the header is missing or repeated."""
        found = self.values(name)
        return found[0] if len(found) == 1 else None


@dataclass(frozen=True, slots=True)
class Reading:
    """The responses parsed from a byte string, and the remaining bytes after them."""

    responses: tuple[Response, ...]
    rest: bytes


def read_responses(raw: bytes, methods: list[str], is_closed: bool = True) -> Reading:
    """Parses one final response for each request method, skipping informational responses.

    >>> reading = read_responses(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nokHTTP", ["GET", "GET"])
    >>> reading.responses[0].body, reading.responses[0].is_complete, reading.rest
    (b'ok', True, b'HTTP')
    """
    responses = []
    for method in methods:
        response, raw = _read_final(raw, method, is_closed)
        if response is None:
            break
        responses.append(response)
        if not response.is_complete:
            break
    return Reading(tuple(responses), raw)


def _read_final(raw: bytes, method: str, is_closed: bool) -> tuple[Response | None, bytes]:
    while True:
        head = _read_head(raw)
        if head is None:
            return None, raw
        status, headers, after = head
        if status >= 200 or status == 101:
            return _read_body(status, headers, after, method, is_closed)
        raw = after


def _read_head(raw: bytes) -> tuple[int, tuple[tuple[bytes, bytes], ...], bytes] | None:
    end = HEAD_END.search(raw)
    if end is None:
        return None
    first, *lines = LINE_END.split(raw[: end.start()])
    after = raw[end.end() :]
    status = STATUS_LINE.fullmatch(first)
    if status is None:
        return None
    headers = []
    for line in lines:
        match = HEADER_LINE.fullmatch(line)
        if match is None:
            return None
        headers.append((match[1].lower(), match[2]))
    return int(status[1]), tuple(headers), after


def _read_body(
    status: int, headers: tuple[tuple[bytes, bytes], ...], raw: bytes, method: str, is_closed: bool
) -> tuple[Response, bytes]:
    if method == "HEAD" or status in BODILESS_STATUSES:
        return Response(status, headers, b"", True), raw
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
    if codings == [b"chunked"] and not lengths:
        body, rest, is_complete = _read_chunks(raw)
        return Response(status, headers, body, is_complete), rest
    if len(lengths) == 1 and lengths[0].isdigit() and not codings:
        length = int(lengths[0])
        return Response(status, headers, raw[:length], len(raw) >= length), raw[length:]
    # without a length, the end cannot be distinguished from a cut connection
    return Response(status, headers, raw, False), b""


def _read_chunks(raw: bytes) -> tuple[bytes, bytes, bool]:
    body = b""
    while match := CHUNK_LINE.match(raw):
        size, raw = int(match[1], 16), raw[match.end() :]
        if size == 0:
            return _read_trailers(body, raw)
        body += raw[:size]
        if raw[size : size + 2] != b"\r\n":
            return body, b"", False
        raw = raw[size + 2 :]
    return body, raw, False


def _read_trailers(body: bytes, raw: bytes) -> tuple[bytes, bytes, bool]:
    while True:
        line, mark, raw = raw.partition(b"\r\n")
        if not mark:
            return body, b"", False
        if not line:
            return body, raw, True
