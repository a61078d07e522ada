"""The answering side: reads requests whole and hands them on in order."""

import asyncio
from collections import deque
from typing import NamedTuple, Protocol

import httptools

from verbenathread.clock import Clock, seconds
from verbenathread.http1.messages import Request, index_headers
from verbenathread.http1.response import ResponseWriter
from verbenathread.observability.logs import get_logger
from verbenathread.types import Address, Millis

_log = get_logger('http')

# Requests that one connection may send ahead; a client that pipelines more
# is not read from until it has its answers.
_MAX_PIPELINED = 8
# How often idle and slow connections are looked for.
_SWEEP_INTERVAL: Millis = 500
# How often a draining server looks for connections that became idle.
_DRAIN_CHECK_INTERVAL: Millis = 50
# Length of the kernel's queue of connections not yet accepted.
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
_OLD_HTTP_VERSION = '1.0'


class Limits(NamedTuple):
    """What a client may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 0x400000
    header_timeout: Millis = 3000
    idle_timeout: Millis = 15000


class Handler(Protocol):
    """Answers requests."""

    async def handle(self, request: Request, reply: ResponseWriter) -> None:
        """Answer ``request``; returns once ``reply`` is done or given up."""


class _RequestError(NamedTuple):
    status: int
    message: bytes


class HttpServer:
    """Listens and serves connections on the running loop."""

    def __init__(self, handler: Handler, clock: Clock) -> None:
        """Hand each request to ``handler``."""
        self.handler = handler
        self.clock = clock
        self.limits = Limits()
        # Answers carry "Connection: close" once the process stops.
        self.stopping = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, listen: Address) -> None:
        """Listen at ``listen``."""
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
        """Return where the server listens; the port is the real one."""
        if self._server is None:
            raise RuntimeError('start the server first')
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def busy_count(self) -> int:
        """Return how many connections wait for an answer or sent a part."""
        return sum(1 for one in self.connections if one.is_busy())

    async def drain(self, deadline: Millis) -> None:
        """Take nothing new; return once all is answered, or at ``until``.

        Idle connections are closed first: a request that crosses the close
        is read by nobody, so its caller can send it elsewhere.
        """
        self.stopping = True
        self.stop_listening()
        while self.connections and self.clock.now() < deadline:
            for connection in tuple(self.connections):
                if not connection.is_busy():
                    connection.close()
            await asyncio.sleep(seconds(_DRAIN_CHECK_INTERVAL))

    def stop_listening(self) -> None:
        """Take no further connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and break every connection."""
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


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: HttpServer) -> None:
        """Serve a connection that ``server`` accepted."""
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Request | _RequestError] = deque()
        self._response: ResponseWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._error: _RequestError | None = None
        self._closing = False
        self._last_active = server.clock.now()
        self._partial = _PartialRequest()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell who answers that nobody waits any longer."""
        self._server.connections.discard(self)
        self._queue.clear()
        self._closing = True
        if self._response is not None:
            self._response.connection_lost()

    def pause_writing(self) -> None:
        """Tell who answers that the client reads slowly."""
        if (
            self._response is not None
            and self._response.on_backpressure is not None
        ):
            self._response.on_backpressure(True)

    def resume_writing(self) -> None:
        """Tell who answers that the client caught up."""
        if (
            self._response is not None
            and self._response.on_backpressure is not None
        ):
            self._response.on_backpressure(False)

    def data_received(self, content: bytes) -> None:
        """Take what the client sent."""
        if self._closing or self._error is not None:
            return
        self._last_active = self._server.clock.now()
        self._partial.raw_bytes += len(content)
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserUpgrade:
            self._set_error(_BAD_REQUEST, b'upgrades are not served')
        except httptools.HttpParserError:
            self._set_error(_BAD_REQUEST, b'the request can not be read')
        if self._partial.head_too_large(self._server.limits):
            self._set_error(_HEAD_TOO_LARGE, b'the headers are too large')
        if len(self._queue) > _MAX_PIPELINED:
            self._transport.pause_reading()
        self._serve_next()

    # ---- what the parser calls ----

    def on_message_begin(self) -> None:
        """Begin a request."""
        raw_bytes = self._partial.raw_bytes
        self._partial = _PartialRequest(raw_bytes, begun=self._last_active)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._partial.target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header; a trailer is dropped."""
        if not self._partial.head_complete:
            self._partial.headers.append((name, text))
            self._partial.head_bytes += len(name) + len(text) + 4

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
        message = self._partial
        message.head_complete = True
        if message.head_bytes > self._server.limits.header_bytes:
            self._set_error(_HEAD_TOO_LARGE, b'the headers are too large')
            return
        names = [name.lower() for name, _ in message.headers]
        if names.count(_HOST) > 1:
            self._set_error(_BAD_REQUEST, b'there are two Host headers')
        if _UPGRADE in names or self._parser.get_method() == _CONNECT:
            # The parser would take a body for bytes of another protocol.
            self._set_error(_BAD_REQUEST, b'upgrades are not served')
        if self._parser.get_http_version() not in _SUPPORTED_VERSIONS:
            self._set_error(_BAD_REQUEST, b'send HTTP/1.1')
        for name, text in message.headers:
            if name.lower() == b'expect' and text.lower() == b'100-continue':
                self._transport.write(_CONTINUE)

    def on_body(self, content: bytes) -> None:
        """Take a part of the body."""
        message = self._partial
        message.body_bytes += len(content)
        if message.body_bytes > self._server.limits.body_bytes:
            self._set_error(_TOO_LARGE, b'the body is too large')
        if self._error is None:
            message.body.append(content)

    def on_message_complete(self) -> None:
        """Queue the request that was read whole."""
        if self._error is not None:
            return
        message = self._partial
        headers = tuple(message.headers)
        self._queue.append(
            Request(
                self._parser.get_method(),
                message.target,
                headers,
                index_headers(headers),
                b''.join(message.body),
                self._last_active,
            )
        )
        if not self._parser.should_keep_alive():
            self._error = _RequestError(0, b'')
        message.raw_bytes = 0
        message.started_at = 0

    # ---- the rest ----

    def is_busy(self) -> bool:
        """Tell whether a request was begun and not answered."""
        return (
            self._response is not None
            or bool(self._queue)
            or self._partial.started_at > 0
        )

    def check_timeouts(self, now: Millis) -> None:
        """Close the connection if the client takes too long."""
        if self._response is not None or self._queue or self._closing:
            return
        limits = self._server.limits
        begun = self._partial.started_at
        if not begun:
            if now - self._last_active > limits.idle_timeout:
                self.close()
            return
        if self._partial.head_complete:
            late = now - self._last_active > limits.header_timeout
        else:
            late = now - begun > limits.header_timeout
        if late:
            self._set_error(_TIMED_OUT, b'the request came too slowly')
            self._serve_next()

    def closes_after_response(self) -> bool:
        """Tell whether the connection ends after the present answer."""
        return (
            self._server.stopping or self._error is not None and not self._queue
        )

    def response_done(self, reply: ResponseWriter) -> None:
        """Go on with what the client sent ahead."""
        if self.closes_after_response():
            self.close()
            return
        self._response = None
        self._last_active = self._server.clock.now()
        if self._queue:
            asyncio.get_running_loop().call_soon(self._serve_next)

    def close(self) -> None:
        """Close once everything is written."""
        self._closing = True
        self._transport.close()

    def abort(self) -> None:
        """Break the connection."""
        self._closing = True
        self._transport.abort()

    def _set_error(self, status: int, message: bytes) -> None:
        if self._error is None:
            self._error = _RequestError(status, message)
            self._queue.append(self._error)
            self._transport.pause_reading()

    def _serve_next(self) -> None:
        """Answer the next request, if the one before it is answered."""
        if self._response is not None or not self._queue or self._closing:
            return
        item = self._queue.popleft()
        if len(self._queue) == _MAX_PIPELINED and self._error is None:
            self._transport.resume_reading()
        framed = self._parser.get_http_version() != _OLD_HTTP_VERSION
        bodiless = isinstance(item, Request) and item.method == b'HEAD'
        reply = ResponseWriter(
            self, self._transport, chunked=framed, omit_body=bodiless
        )
        self._response = reply
        if isinstance(item, _RequestError):
            reply.send(item.status, (), b'%b\n' % item.message)
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(item, reply))

    async def _serve(self, request: Request, reply: ResponseWriter) -> None:
        try:
            await self._server.handler.handle(request, reply)
        except Exception:
            _log.exception('A request failed inside.')
        if reply.done or reply.is_disconnected:
            return
        if reply.started:
            reply.abort()
        else:
            reply.send(_INTERNAL_ERROR, (), b'internal error\n')


class _PartialRequest:
    """What was read so far of one request."""

    def __init__(self, raw_bytes: int = 0, begun: Millis = 0) -> None:
        self.raw_bytes = raw_bytes
        self.started_at = begun
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.head_complete = False
        self.body: list[bytes] = []
        self.body_bytes = 0

    def head_too_large(self, limits: Limits) -> bool:
        """Tell whether an unfinished head is longer than any allowed."""
        return not self.head_complete and self.raw_bytes > limits.header_bytes
