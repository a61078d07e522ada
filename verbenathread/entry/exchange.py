"""One HTTP request of a caller and its response."""

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
_CONTENT_LENGTH = 'content-length'
_CONTENT_TYPE = 'Content-Type'


class Limits(NamedTuple):
    """Limits on the requests that one entry accepts."""

    # Maximum number of concurrent requests.
    streams: int
    # Maximum bytes of request bodies in memory over all requests.
    buffered_bytes: int
    # Maximum bytes of one request body.
    body_bytes: int
    # Time in ms for a whole request to arrive.
    body_timeout: Millis
    # Time in ms that one write may block on a slow reader.
    write_timeout: Millis = 10_000


class Exchange:
    """Reads one request and writes its response, each with a deadline."""

    def __init__(
        self, request: HTTPRequest, limits: Limits, budget: BodyBudget
    ) -> None:
        """Wrap a request whose headers have been parsed."""
        self._request = request
        self._limits = limits
        self._budget = budget
        self._acquired_bytes = 0
        self.request_id = ''
        self.method: str = request.method.decode('latin-1')
        self.path: str = request.path.decode('latin-1')
        self.query: str = request.qs.decode('latin-1')
        self.headers: Mapping[str, str] = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in request.inheaders.items()
        }
        # Monotonic time in ms of the first byte of the request.
        self.arrival: Millis = request.conn.arrival
        self.sock = request.conn.socket
        self.response_started = False
        # True if every stream was in use when the request came in; only
        # requests of upstreams are served then.
        self.on_reserved_worker: bool = request.conn.reserved

    def bearer_key(self) -> str:
        """Return the bearer key, or an empty string if there is none."""
        scheme, _, key = self.headers.get('authorization', '').partition(' ')
        if scheme.lower() != 'bearer':
            return ''
        return key.strip()

    def read_body(self) -> bytes:
        """Return the whole body.

        It counts against the body budget until :meth:`release_body`. Raises
        :class:`HttpError` for a body that is too large, too slow or cut off,
        or when the budget is used up.
        """
        length = self._declared_length()
        self._acquire(length)
        blocks = []
        received = 0
        for block in self._read_blocks():
            blocks.append(block)
            received += len(block)
        if not self._request.chunked_read and received < length:
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'body_cut_off',
                'The body is shorter than its Content-Length.',
            )
        self._budget.release(self._acquired_bytes - received)
        self._acquired_bytes = received
        return b''.join(blocks)

    def set_write_deadline(self, deadline: Millis) -> None:
        """Set the deadline of every write of the response."""
        self._request.conn.deadlines.write_by = deadline

    def reply(
        self,
        status: int,
        content: bytes,
        content_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete response."""
        lines = (
            (_CONTENT_TYPE, content_type),
            ('Content-Length', str(len(content))),
        )
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
        """Prepare a streamed response; the first block sends its head."""
        self._request.conn.wfile.cork()
        lines = ((_CONTENT_TYPE, content_type), ('Cache-Control', 'no-cache'))
        self._send_headers(status, (*lines, *headers))

    def write(self, block: bytes) -> None:
        """Send one block of a streamed response."""
        writer = self._request.conn.wfile
        writer.write(self._framed(block))
        writer.uncork()

    def write_nonblocking(self, block: bytes) -> bytes:
        """Send a block without blocking; return the bytes left unsent."""
        framed = self._framed(block)
        if self.sock.gettimeout() != 0:
            self.sock.setblocking(False)
        try:
            sent = self.sock.send(framed)
        except BlockingIOError:
            return framed
        return framed[sent:]

    def write_remaining(self, remaining: bytes) -> None:
        """Send what :meth:`write_nonblocking` left; may block."""
        self._request.conn.wfile.write(remaining)

    def send_error(self, error: HttpError) -> None:
        """Send an error response and close the connection after it."""
        self.close_after_response()
        self.reply(
            error.status,
            error.body(self.request_id),
            headers=error.headers(),
        )

    def close_after_response(self) -> None:
        """Close the connection once the response is sent."""
        self._request.close_connection = True
        self._request.conn.drain_on_close = True

    def release_body(self) -> None:
        """Return the body's bytes to the budget; called for every request."""
        self._budget.release(self._acquired_bytes)
        self._acquired_bytes = 0

    def _framed(self, block: bytes) -> bytes:
        if self._request.chunked_write:
            return b'%x\r\n%b\r\n' % (len(block), block)
        return block

    def _send_headers(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.response_started = True
        lines = [('X-Request-Id', self.request_id), *headers]
        # Typed as str in the stub, but cheroot joins it with bytes.
        request: Any = self._request
        request.status = status_line(status)
        self._request.outheaders = [
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in lines
        ]
        self._request.ensure_headers_sent()

    def _declared_length(self) -> int:
        if self._request.chunked_read:
            # The length of a chunked body is unknown: assume the maximum.
            return self._limits.body_bytes
        text = self.headers.get(_CONTENT_LENGTH, '0')
        if not text.isascii() or not text.isdigit():
            raise HttpError(
                http.HTTPStatus.BAD_REQUEST,
                'malformed_request',
                'Content-Length must be a whole number.',
            )
        length = int(text)
        if length > self._limits.body_bytes:
            raise _body_too_large(self._limits)
        return length

    def _acquire(self, length: int) -> None:
        if not self._budget.try_acquire(length):
            raise HttpError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'buffers_full',
                'The entry has no buffer space left for request bodies; '
                'send the request again later.',
                retry_after=_RETRY_AFTER_MS,
            )
        self._acquired_bytes = length

    def _read_blocks(self) -> list[bytes]:
        blocks = []
        try:
            block = self._request.rfile.read(_READ_BYTES)
            while block:
                blocks.append(block)
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
                raise _body_too_large(self._limits) from exc
            raise
        return blocks


class Handler(Protocol):
    """The application that serves the requests of a server."""

    def handle(self, exchange: Exchange) -> None:
        """Serve one request; raise :class:`HttpError` to refuse it."""


class ServerContext(NamedTuple):
    """State shared by the server and its connections."""

    limits: Limits
    budget: BodyBudget
    handler: Handler
    clock: Clock


def _body_too_large(limits: Limits) -> HttpError:
    return HttpError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'body_too_large',
        f'The body is over {limits.body_bytes} bytes; send a shorter one.',
    )
