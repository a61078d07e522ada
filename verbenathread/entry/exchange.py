"""One request of a caller and its one answer."""

import http
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from verbenathread.clock import Clock
from verbenathread.entry.body_budget import BodyBudget
from verbenathread.entry.error_responses import (
    JSON_TYPE,
    HttpError,
    status_line,
)
from verbenathread.types import Millis

_READ_BYTES = 65536
_RETRY_AFTER_MS = 1000
_LENGTH = 'content-length'
_TYPE = 'Content-Type'


class Limits(NamedTuple):
    """Bounds on what one entry takes from callers."""

    # Most requests served at once.
    streams: int
    # Most bytes of bodies held at once over all requests.
    buffered_bytes: int
    # Largest body in bytes.
    body_bytes: int
    # Longest time in ms to receive a request.
    body_timeout: Millis
    # Longest time in ms that one write may wait for a slow reader.
    write_timeout: Millis = 10_000


class Exchange:
    """Reads one request and writes one answer, each within its time."""

    def __init__(
        self, request: HTTPRequest, limits: Limits, budget: BodyBudget
    ) -> None:
        """Wrap a request whose headers were read."""
        self._request = request
        self._limits = limits
        self._budget = budget
        self._held = 0
        self.request_id = ''
        self.method: str = request.method.decode('latin-1')
        self.path: str = request.path.decode('latin-1')
        self.query: str = request.qs.decode('latin-1')
        self.headers: Mapping[str, str] = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in request.inheaders.items()
        }
        # Monotonic time in ms at which the request began to arrive.
        self.arrival: Millis = request.conn.arrival
        self.sock = request.conn.socket
        self.response_started = False
        # True for requests that may be served beyond the streams' limit.
        self.on_reserved_worker: bool = request.conn.reserved

    def bearer_key(self) -> str:
        """Return the bearer key, empty without one."""
        scheme, _, key = self.headers.get('authorization', '').partition(' ')
        if scheme.lower() != 'bearer':
            return ''
        return key.strip()

    def read_body(self) -> bytes:
        """Return the whole body; it counts as held until :meth:`finish`.

        Raises :class:`HttpError` for a body that is too large, too slow,
        cut off, or one that there is no room for.
        """
        length = self._announced_length()
        self._hold(length)
        blocks = []
        received = 0
        for block in self._blocks():
            blocks.append(block)
            received += len(block)
        if not self._request.chunked_read and received < length:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'body_cut_off',
                'The body ended before its Content-Length; send it whole.',
            )
        self._budget.release(self._held - received)
        self._held = received
        return b''.join(blocks)

    def set_write_deadline(self, deadline: Millis) -> None:
        """Let no write of the answer wait beyond ``deadline``."""
        self._request.conn.times.write_by = deadline

    def reply(
        self,
        status: int,
        content: bytes,
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer at once."""
        lines = ((_TYPE, content_type), ('Content-Length', str(len(content))))
        writer = self._request.conn.wfile
        writer.cork()
        self._send_headers(status, (*lines, *headers))
        if self.method != 'HEAD':
            writer.write(content)
        writer.uncork()

    def start_stream(
        self,
        status: int,
        content_type: str,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Hold the head of a streamed answer until its first part."""
        self._request.conn.wfile.cork()
        lines = ((_TYPE, content_type), ('Cache-Control', 'no-cache'))
        self._send_headers(status, (*lines, *headers))

    def write(self, block: bytes) -> None:
        """Send one part of a streamed answer at once."""
        writer = self._request.conn.wfile
        writer.write(self._framed(block))
        writer.uncork()

    def write_nonblocking(self, block: bytes) -> bytes:
        """Send without waiting; return the bytes that are left to send."""
        framed = self._framed(block)
        if self.sock.gettimeout() != 0:
            self.sock.setblocking(False)
        try:
            sent = self.sock.send(framed)
        except BlockingIOError:
            return framed
        return framed[sent:]

    def write_remaining(self, rest: bytes) -> None:
        """Send what :meth:`write_ready` left, waiting for a slow reader."""
        self._request.conn.wfile.write(rest)

    def send_error(self, error: HttpError) -> None:
        """Send an error as the final answer."""
        self.close_after_response()
        self.reply(
            error.status,
            error.body(self.request_id),
            headers=error.headers(),
        )

    def close_after_response(self) -> None:
        """Close the connection once this answer is out."""
        self._request.close_connection = True
        self._request.conn.drain_on_close = True

    def release_body(self) -> None:
        """Let go of the body; called once, whatever happened."""
        self._budget.release(self._held)
        self._held = 0

    def _framed(self, block: bytes) -> bytes:
        if self._request.chunked_write:
            return b'%x\r\n%b\r\n' % (len(block), block)
        return block

    def _send_headers(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.response_started = True
        lines = [('X-Request-Id', self.request_id), *headers]
        # The stub says str; the library joins it with bytes.
        request: Any = self._request
        request.status = status_line(status)
        self._request.outheaders = [
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in lines
        ]
        self._request.ensure_headers_sent()

    def _announced_length(self) -> int:
        if self._request.chunked_read:
            # How much will come is not known: room for the largest.
            return self._limits.body_bytes
        text = self.headers.get(_LENGTH, '0')
        if not text.isascii() or not text.isdigit():
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'malformed_request',
                'Content-Length is no whole number; send that of the body.',
            )
        length = int(text)
        if length > self._limits.body_bytes:
            raise _too_large(self._limits)
        return length

    def _hold(self, length: int) -> None:
        if not self._budget.try_acquire(length):
            raise HttpError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'buffers_full',
                'The entry holds as many request bodies as it may; '
                'send the request again later.',
                retry_after=_RETRY_AFTER_MS,
            )
        self._held = length

    def _blocks(self) -> list[bytes]:
        found = []
        try:
            block = self._request.rfile.read(_READ_BYTES)
            while block:
                found.append(block)
                block = self._request.rfile.read(_READ_BYTES)
        except TimeoutError as exc:
            raise HttpError(
                http.HTTPStatus.REQUEST_TIMEOUT,
                'body_too_slow',
                f'The body did not arrive within '
                f'{self._limits.body_timeout} ms; send it faster.',
            ) from exc
        except ValueError as exc:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'malformed_request',
                'The chunks of the body are malformed; '
                'send a Content-Length instead.',
            ) from exc
        except (MaxSizeExceeded, OSError) as exc:
            if self._request.chunked_read:
                raise _too_large(self._limits) from exc
            raise
        return found


class Handler(Protocol):
    """What serves the requests of callers."""

    def handle(self, exchange: Exchange) -> None:
        """Serve one request; raise :class:`HttpError` to refuse it."""


class ServerContext(NamedTuple):
    """What the server and its connections share."""

    limits: Limits
    budget: BodyBudget
    handler: Handler
    clock: Clock


def _too_large(limits: Limits) -> HttpError:
    return HttpError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'body_too_large',
        f'The body is over {limits.body_bytes} bytes; send a shorter one.',
    )
