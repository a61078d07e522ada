"""HTTP requests and response heads, and their encoding."""

import http
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.types import Millis

Headers = tuple[tuple[bytes, bytes], ...]

# Headers of a single connection (RFC 9110, section 7.6.1) and of the framing,
# which each hop sets itself.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
LINE_END = b'\r\n'
LAST_CHUNK = b'0\r\n\r\n'
_CONNECTION = b'connection'
_LENGTH_REQUIRED = frozenset((b'POST', b'PUT', b'PATCH'))


class Request(NamedTuple):
    """One complete request."""

    method: bytes
    # Path and query as received.
    target: bytes
    headers: Headers
    # Keyed by lower-case name; values of repeated headers are joined.
    value_by_name: dict[bytes, bytes]
    body: bytes
    # Monotonic time at which the last byte was read.
    received_at: Millis

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b'?')[0]


class ResponseHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: Headers
    value_by_name: dict[bytes, bytes]


def index_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return values by lower-case name, with repeated headers joined."""
    values_by_name: dict[bytes, list[bytes]] = {}
    for name, text in headers:
        values_by_name.setdefault(name.lower(), []).append(text)
    value_by_name = {}
    for lower, values in values_by_name.items():
        value_by_name[lower] = b', '.join(values)
    return value_by_name


def end_to_end_headers(
    headers: Headers, value_by_name: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward, without hop-by-hop ones."""
    dropped = HOP_BY_HOP
    listed = value_by_name.get(_CONNECTION)
    if listed is not None:
        names = (name.strip().lower() for name in listed.split(b','))
        dropped = HOP_BY_HOP.union(names)
    kept = []
    for name, text in headers:
        if name.lower() not in dropped:
            kept.append((name, text))
    return kept


def encode_request(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Encode a request whose body is framed by Content-Length."""
    parts = [b'%b %b HTTP/1.1\r\n' % (method, target)]
    for name, text in headers:
        parts.append(b'%b: %b\r\n' % (name, text))
    if body or method in _LENGTH_REQUIRED:
        parts.append(b'Content-Length: %d\r\n' % len(body))
    parts.append(LINE_END)
    parts.append(body)
    return b''.join(parts)


def encode_response_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], framing: bytes
) -> bytes:
    """Encode a response head; ``framing`` holds complete header lines."""
    parts = [b'HTTP/1.1 %d %b\r\n' % (status, _reason_phrase(status))]
    for name, text in headers:
        parts.append(b'%b: %b\r\n' % (name, text))
    parts.append(framing)
    parts.append(LINE_END)
    return b''.join(parts)


def encode_chunk(content: bytes) -> bytes:
    """Encode non-empty ``content`` as one chunk."""
    return b'%x\r\n%b\r\n' % (len(content), content)


def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'
