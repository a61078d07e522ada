"""HTTP/1.1 server that passes complete requests to a handler in order."""

import asyncio
from collections import deque
from typing import NamedTuple, Protocol

import httptools

from verbenathread.clock import Clock, seconds
from verbenathread.http1.limits import MemoryBudget
from verbenathread.http1.messages import Request, index_headers
from verbenathread.http1.reading import BoundedReader
from verbenathread.http1.response import ResponseWriter
from verbenathread.observability.logs import get_logger
from verbenathread.types import Address, Millis

_log = get_logger('http')

# Pipelined requests queued per connection before reading is paused.
_MAX_PIPELINED = 8
# How often idle and slow connections are checked for timeouts.
_SWEEP_INTERVAL: Millis = 500
# How often a draining server closes connections that became idle.
_DRAIN_CHECK_INTERVAL: Millis = 50
# A draining server closes a connection after this time without a request: one
# that was just accepted may have sent its first request already.
_DRAIN_IDLE: Millis = 300
# How long what a client still sends is read and dropped after an error. Closing
# a socket with unread data resets it, and the client could lose the response.
_LINGER_TIME: Millis = 1000
# Length of the kernel's accept queue.
_BACKLOG = 1024
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HOST = b'host'
_UPGRADE = b'upgrade'
_CONNECT = b'CONNECT'
_SUPPORTED_VERSIONS = frozenset(('1.0', '1.1'))
_BAD_REQUEST = 400
_TIMED_OUT = 408
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
# Headers of a request; those of clients number some dozens.
_MAX_HEADERS = 1024
# Incomplete bodies of all connections, unless the caller sets a limit.
_DEFAULT_HELD_BYTES = 0x2000000
_OLD_HTTP_VERSION = '1.0'


class Limits(NamedTuple):
    """Limits on the size and duration of requests."""

    header_bytes: int = 16384
    body_bytes: int = 0x400000
    # For the whole head, and for each pause while the body arrives.
    header_timeout: Millis = 3000
    idle_timeout: Millis = 15000


class Handler(Protocol):
    """Handles requests."""

    async def handle(self, request: Request, response: ResponseWriter) -> None:
        """Handle ``request``; return once ``response`` is done or abandoned."""


class _RequestError(NamedTuple):
    status: int
    message: bytes


class HttpServer:
    """Accepts and serves connections on the running event loop."""

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        held_bytes: int = _DEFAULT_HELD_BYTES,
    ) -> None:
        """Pass each request to ``handler``.

        ``held_bytes`` bounds the incomplete bodies of all connections.
        """
        self.memory = MemoryBudget(held_bytes)
        self.handler = handler
        self.clock = clock
        self.limits = Limits()
        # While set, responses carry "Connection: close".
        self.stopping = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, listen: Address) -> None:
        """Listen on address ``listen``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            listen.host,
            listen.port,
            backlog=_BACKLOG,
            reuse_address=True,
        )
        self._sweeper = loop.create_task(self._sweep())

    @property
    def address(self) -> Address:
        """Return the address that the server listens on, with its actual port."""
        if self._server is None:
            raise RuntimeError('start the server first')
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def busy_count(self) -> int:
        """Return the number of connections with a partial or pending request."""
        return sum(1 for connection in self.connections if connection.is_busy())

    async def drain(self, deadline: Millis) -> None:
        """Stop accepting requests; wait for all responses until ``deadline``.

        Idle connections are closed after a moment. A request that arrives
        during the close is never read, so its caller can safely send it
        elsewhere.
        """
        self.stopping = True
        self.stop_listening()
        while self.connections and self.clock.now() < deadline:
            idle_since = self.clock.now() - _DRAIN_IDLE
            for connection in tuple(self.connections):
                is_idle = connection.last_active <= idle_since
                if is_idle and not connection.is_busy():
                    connection.close()
            await asyncio.sleep(seconds(_DRAIN_CHECK_INTERVAL))

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and abort every connection."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in tuple(self.connections):
            connection.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(seconds(_SWEEP_INTERVAL))
            now = self.clock.now()
            for connection in tuple(self.connections):
                connection.check_timeouts(now)


class ServerConnection(BoundedReader):
    """One client connection."""

    def __init__(self, server: HttpServer) -> None:
        """Serve a connection that ``server`` accepted."""
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Request | _RequestError] = deque()
        self._response: ResponseWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._error: _RequestError | None = None
        self._closing = False
        # When the client sent something or a response ended.
        self.last_active = server.clock.now()
        self._partial = _PartialRequest()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the response in progress of the disconnect."""
        self._server.connections.discard(self)
        self._server.memory.release(self)
        self._queue.clear()
        self._closing = True
        if self._response is not None:
            self._response.connection_lost()

    def pause_writing(self) -> None:
        """Signal backpressure: the write buffer is full."""
        if (
            self._response is not None
            and self._response.on_backpressure is not None
        ):
            self._response.on_backpressure(True)

    def resume_writing(self) -> None:
        """Signal the end of backpressure."""
        if (
            self._response is not None
            and self._response.on_backpressure is not None
        ):
            self._response.on_backpressure(False)

    def data_received(self, content: bytes) -> None:
        """Parse data from the client."""
        if self._closing or self._error is not None:
            return
        self.last_active = self._server.clock.now()
        self._partial.raw_bytes += len(content)
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserUpgrade:
            self._set_error(_BAD_REQUEST, b'upgrades are not supported')
        except httptools.HttpParserError:
            self._set_error(_BAD_REQUEST, b'the request is not valid HTTP')
        if self._partial.head_too_large(self._server.limits):
            self._set_error(_HEAD_TOO_LARGE, b'the headers are too large')
        if len(self._queue) > _MAX_PIPELINED:
            self._transport.pause_reading()
        self._serve_next()

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Begin a request."""
        raw_bytes = self._partial.raw_bytes
        self._partial = _PartialRequest(raw_bytes, started_at=self.last_active)

    def on_url(self, url: bytes) -> None:
        """Store a part of the target."""
        self._partial.target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self._partial.head_complete:
            self._partial.headers.append((name, text))
            if len(self._partial.headers) > _MAX_HEADERS:
                self._set_error(_HEAD_TOO_LARGE, b'there are too many headers')
            # The name and value are separated by ': ' and end with CRLF.
            self._partial.head_bytes += len(name) + len(text) + 4

    def on_headers_complete(self) -> None:
        """Validate the head before the body is read."""
        partial = self._partial
        partial.head_complete = True
        if partial.head_bytes > self._server.limits.header_bytes:
            self._set_error(_HEAD_TOO_LARGE, b'the headers are too large')
            return
        names = [name.lower() for name, _ in partial.headers]
        if names.count(_HOST) > 1:
            self._set_error(_BAD_REQUEST, b'there are two Host headers')
        if _UPGRADE in names or self._parser.get_method() == _CONNECT:
            # The parser would treat a body as data of the new protocol.
            self._set_error(_BAD_REQUEST, b'upgrades are not supported')
        if self._parser.get_http_version() not in _SUPPORTED_VERSIONS:
            self._set_error(
                _BAD_REQUEST,
                b'the HTTP version is not supported; send HTTP/1.1',
            )
        for name, text in partial.headers:
            if name.lower() == b'expect' and text.lower() == b'100-continue':
                self._transport.write(_CONTINUE)

    def on_body(self, content: bytes) -> None:
        """Store a part of the body."""
        partial = self._partial
        size = len(partial.body) + len(content)
        if size > self._server.limits.body_bytes:
            self._set_error(_TOO_LARGE, b'the body is too large')
        if self._error is None:
            partial.body += content
            self._server.memory.hold(self, size)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._server.memory.release(self)
        if self._error is not None:
            return
        partial = self._partial
        headers = tuple(partial.headers)
        self._queue.append(
            Request(
                self._parser.get_method(),
                partial.target,
                headers,
                index_headers(headers),
                bytes(partial.body),
                self.last_active,
            )
        )
        if not self._parser.should_keep_alive():
            # No error, but the connection closes after this response.
            self._error = _RequestError(0, b'')
        partial.raw_bytes = 0
        partial.started_at = 0

    # ---- lifecycle ----

    def is_busy(self) -> bool:
        """Return whether a request is partially read, queued or in progress."""
        return (
            self._response is not None
            or bool(self._queue)
            or self._partial.started_at > 0
        )

    def check_timeouts(self, now: Millis) -> None:
        """Close the connection if it is idle or slow for too long."""
        if self._response is not None or self._queue or self._closing:
            return
        limits = self._server.limits
        started_at = self._partial.started_at
        if not started_at:
            if now - self.last_active > limits.idle_timeout:
                self.close()
            return
        if self._partial.head_complete:
            timed_out = now - self.last_active > limits.header_timeout
        else:
            timed_out = now - started_at > limits.header_timeout
        if timed_out:
            self._set_error(_TIMED_OUT, b'the request arrived too slowly')
            self._serve_next()

    def give_way(self) -> None:
        """Refuse the request whose body is being read."""
        self._partial.body.clear()
        self._set_error(
            _UNAVAILABLE, b'too many bodies are read; send it again'
        )
        self._serve_next()

    def closes_after_response(self) -> bool:
        """Return whether the connection closes after this response."""
        if self._queue:
            # Requests that were read are answered before the close.
            return False
        return self._server.stopping or self._error is not None

    def response_done(self, response: ResponseWriter) -> None:
        """Continue with the next queued request."""
        must_close = self._error is not None and not self._queue
        if must_close or response.announced_close:
            self.close()
            return
        # While stopping, a client that was not told of the close may have sent
        # its next request already.
        self._response = None
        self.last_active = self._server.clock.now()
        if self._queue:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def close(self) -> None:
        """Close once all buffered data is written."""
        self._closing = True
        if self._error is None or not self._error.status:
            self._transport.close()
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        asyncio.get_running_loop().call_later(
            seconds(_LINGER_TIME), self._transport.close
        )

    def abort(self) -> None:
        """Abort the connection."""
        self._closing = True
        self._transport.abort()

    def _set_error(self, status: int, message: bytes) -> None:
        if self._error is None:
            self._error = _RequestError(status, message)
            self._queue.append(self._error)
            self._transport.pause_reading()

    def _serve_next(self) -> None:
        """Serve the next queued request unless one is in progress."""
        if self._response is not None or not self._queue or self._closing:
            return
        item = self._queue.popleft()
        if len(self._queue) == _MAX_PIPELINED and self._error is None:
            self._transport.resume_reading()
        chunked = self._parser.get_http_version() != _OLD_HTTP_VERSION
        omit_body = isinstance(item, Request) and item.method == b'HEAD'
        response = ResponseWriter(
            self, self._transport, chunked=chunked, omit_body=omit_body
        )
        self._response = response
        if isinstance(item, _RequestError):
            response.send(item.status, (), b'%b\n' % item.message)
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(item, response))

    async def _serve(self, request: Request, response: ResponseWriter) -> None:
        try:
            await self._server.handler.handle(request, response)
        except Exception:
            _log.exception('Unhandled error in a request handler.')
        if response.done or response.is_disconnected:
            return
        if response.started:
            response.abort()
        else:
            response.send(_INTERNAL_ERROR, (), b'internal error\n')


class _PartialRequest:
    """The part of a request that was read so far."""

    def __init__(self, raw_bytes: int = 0, started_at: Millis = 0) -> None:
        self.raw_bytes = raw_bytes
        self.started_at = started_at
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.head_complete = False
        self.body = bytearray()

    def head_too_large(self, limits: Limits) -> bool:
        """Return whether an incomplete head exceeds the limit."""
        return not self.head_complete and self.raw_bytes > limits.header_bytes
