"""The HTTP server for callers: a bounded thread pool on top of cheroot.

Cheroot queues accepted connections without a limit or a deadline. Here a
connection with a request either gets a worker at once or is refused at once
with a final response; an idle connection occupies no worker.
"""

import http
import logging
import threading
from contextlib import ExitStack
from typing import Any

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from verbenathread.clock import seconds
from verbenathread.entry.error_responses import (
    JSON_TYPE,
    HttpError,
    RunState,
    status_line,
)
from verbenathread.entry.exchange import Exchange, ServerContext
from verbenathread.entry.lingering_close import LingeringCloser
from verbenathread.entry.socket_deadlines import (
    DeadlineReader,
    DeadlineWriter,
    SocketDeadlines,
)
from verbenathread.observability.logs import get_logger
from verbenathread.types import Address, Millis

# Threads beyond ``limits.streams``: with them, upstreams can renew their leases
# and callers get a refusal while all other threads are busy.
RESERVED_WORKERS = 4
_MAX_HEADER_BYTES = 32768
_BACKLOG = 1024
# Time in ms for the headers of a request to arrive.
_HEADER_TIMEOUT = 5000
# Time in ms for a whole request, body included, on a reserved worker.
_RESERVED_TIMEOUT = 1000
_RETRY_AFTER_MS = 1000
_SINGLETON_HEADERS = frozenset(
    (
        b'Authorization',
        b'Content-Length',
        b'Host',
        b'Idempotency-Key',
        b'Transfer-Encoding',
        b'X-Time-Limit-Ms',
    )
)
_STOP_SECONDS = 1

_log = get_logger('callers')


class _StrictHeaders(dict[bytes, bytes]):
    """Request headers; rejects duplicates of single-valued headers.

    A proxy and a server that pick different ones of two lengths would see
    different requests on one connection (request smuggling).
    """

    def __setitem__(self, name: bytes, text: bytes) -> None:
        """Store one header; cheroot answers a ``ValueError`` with 400."""
        if name in _SINGLETON_HEADERS and name in self:
            header = name.decode('latin-1')
            raise ValueError(f'Duplicate {header} header')
        super().__setitem__(name, text)
        if b'Content-Length' in self and b'Transfer-Encoding' in self:
            raise ValueError('Content-Length with a chunked body')


class _JsonRequest(HTTPRequest):
    """Sends the errors of the HTTP parser as JSON error responses."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Use :class:`_StrictHeaders`."""
        super().__init__(*arguments, **options)
        self.inheaders = _StrictHeaders()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Send the response to a request that could not be parsed."""
        code = int(str(status).split(' ', 1)[0])
        if code == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            error = self._too_large()
        else:
            error = _parse_error(code, msg)
        self.close_connection = True
        self.conn.drain_on_close = True
        self.sent_headers = True
        self.conn.wfile.write(encode_error_response(error))

    def _too_large(self) -> HttpError:
        limit = self.server.max_request_body_size
        if self._body_exceeds(limit):
            return HttpError(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body_too_large',
                f'The body is over {limit} bytes; send a shorter one.',
            )
        return HttpError(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            'headers_too_large',
            f'The headers are over {_MAX_HEADER_BYTES} bytes; send fewer.',
        )

    def _body_exceeds(self, limit: int) -> bool:
        length = self.inheaders.get(b'Content-Length', b'')
        return length.isdigit() and int(length) > limit


class _CallerConnection(HTTPConnection):
    """One connection of a caller; every read and write has a deadline."""

    RequestHandlerClass = _JsonRequest  # noqa: WPS115 cheroot's name

    def __init__(
        self, server: 'CallerServer', sock: Any, makefile: Any
    ) -> None:
        """Wrap the socket in a reader and a writer with deadlines."""
        super().__init__(server, sock)
        context = server.context
        self.deadlines = SocketDeadlines(context.clock)
        self.deadlines.write_timeout = context.limits.write_timeout
        self.rfile = DeadlineReader(sock, self.deadlines)
        self.wfile = DeadlineWriter(sock, self.deadlines)
        self.arrival: Millis = 0
        self.reserved = False
        self.drain_on_close = False
        self.seen_by_selector = False

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        context = self.server.context
        self.arrival = context.clock.now()
        timeout = _HEADER_TIMEOUT
        if self.reserved:
            timeout = _RESERVED_TIMEOUT
        self.deadlines.read_by = self.arrival + timeout
        self.deadlines.write_by = self.arrival + context.limits.write_timeout
        with ExitStack() as stack:
            stack.callback(self.server.release_worker)
            return bool(super().communicate())  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Close at once, or linger so that the caller gets the response."""
        if not self.drain_on_close:
            super().close()
            return
        self.rfile.close()
        self.server.lingering_closer.close(self.socket)


class _CallerGateway(Gateway):
    """Passes one parsed request to the handler."""

    def respond(self) -> None:
        """Serve the request and release its body in any case."""
        context: ServerContext = self.req.server.context
        timeout = context.limits.body_timeout
        if self.req.conn.reserved:
            timeout = min(timeout, _RESERVED_TIMEOUT)
        self.req.conn.deadlines.read_by = self.req.conn.arrival + timeout
        exchange = Exchange(self.req, context.limits, context.budget)
        with ExitStack() as stack:
            stack.callback(exchange.release_body)
            self._handle(exchange, context)

    def _handle(self, exchange: Exchange, context: ServerContext) -> None:
        try:
            context.handler.handle(exchange)
        except HttpError as error:
            if exchange.response_started:
                raise
            exchange.send_error(error)
        except OSError:
            # The caller disconnected or reads too slowly: no response.
            self.req.close_connection = True
            exchange.response_started = True
            self.req.chunked_write = False
            self.req.sent_headers = True
        except Exception:
            _log.exception('A request failed.', request=exchange.request_id)
            if exchange.response_started:
                raise
            exchange.send_error(_internal_error())


class CallerServer(HTTPServer):
    """Accepts callers' connections; serves ``streams`` requests at once."""

    ConnectionClass = _CallerConnection  # noqa: WPS115 cheroot's name
    request_queue_size = _BACKLOG
    max_request_header_size = _MAX_HEADER_BYTES
    # Keep-alive timeout of idle connections in seconds.
    timeout = 60
    shutdown_timeout = _STOP_SECONDS

    def __init__(self, address: Address, context: ServerContext) -> None:
        """Prepare to listen on ``address``; see :meth:`start`."""
        super().__init__((address.host, address.port), _CallerGateway)
        self.context = context
        self.lingering_closer = LingeringCloser(context.clock)
        self.max_request_body_size = context.limits.body_bytes
        # Idle connections occupy no thread, but a file descriptor each.
        self.keep_alive_conn_limit = 4 * context.limits.streams
        workers = context.limits.streams + RESERVED_WORKERS
        self.requests = ThreadPool(self, min=workers, max=workers)
        self._busy = 0
        self._changed = threading.Condition()
        self._thread = threading.Thread(
            target=self.serve, name='callers-accept', daemon=True
        )

    @property
    def address(self) -> Address:
        """Return the address; the port is the bound one if 0 was given."""
        host, port = self.bind_addr[:2]
        return Address(host, port)

    @property
    def busy(self) -> int:
        """Return how many requests are in progress."""
        return self._busy

    def start(self) -> None:
        """Listen and serve in background threads."""
        self.prepare()
        self.lingering_closer.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close idle connections."""
        super().stop()
        self._thread.join()
        self.lingering_closer.stop()

    def process_conn(self, conn: _CallerConnection) -> None:
        """Pass a readable connection to a thread, or refuse it at once."""
        if not conn.seen_by_selector:
            # A new connection gets a thread only after its first byte.
            conn.seen_by_selector = True
            self._wait_for_bytes(conn)
            return
        with self._changed:
            limit = self.context.limits.streams
            conn.reserved = self._busy >= limit
            accepted = self._busy < limit + RESERVED_WORKERS
            if accepted:
                self._busy += 1
        if accepted:
            self.requests.put(conn)
            return
        conn.rfile.close()
        self.lingering_closer.close(
            conn.socket, encode_error_response(overloaded_error())
        )

    def release_worker(self) -> None:
        """Count one thread less as busy."""
        with self._changed:
            self._busy -= 1
            self._changed.notify_all()

    def wait_idle(self, timeout: Millis) -> bool:
        """Wait up to ``timeout`` ms until no request is in progress."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._busy == 0, seconds(timeout)
            )

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Forward messages of cheroot to the log."""
        if level >= logging.ERROR:
            _log.error('HTTP server error.', fault=msg)
            return
        _log.debug('HTTP server message.', what=msg)

    def _wait_for_bytes(self, conn: _CallerConnection) -> None:
        if self.can_add_keepalive_connection:
            # cheroot's selector of idle connections.
            self._connections.put(conn)  # type: ignore[attr-defined]
            return
        conn.rfile.close()
        self.lingering_closer.close(
            conn.socket, encode_error_response(overloaded_error())
        )


def overloaded_error() -> HttpError:
    """Return the error for a request that arrives while no thread is free."""
    return HttpError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'overloaded',
        'The entry has reached its limit of concurrent requests; '
        'send the request again later.',
        retry_after=_RETRY_AFTER_MS,
    )


def encode_error_response(error: HttpError) -> bytes:
    """Return an error as the bytes of a complete HTTP response."""
    content = error.body()
    lines = [
        b'HTTP/1.1 %b' % status_line(error.status),
        f'Content-Type: {JSON_TYPE}'.encode(),
        f'Content-Length: {len(content)}'.encode(),
        b'Connection: close',
    ]
    for name, text in error.headers():
        lines.append(f'{name}: {text}'.encode('latin-1'))
    lines.extend((b'', content))
    return b'\r\n'.join(lines)


def _parse_error(status: int, text: str) -> HttpError:
    if status == http.HTTPStatus.REQUEST_TIMEOUT:
        return HttpError(
            status,
            'request_too_slow',
            'The request did not arrive in time; send it faster.',
        )
    if status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return _internal_error()
    detail = text or http.HTTPStatus(status).phrase
    return HttpError(
        status,
        'malformed_request',
        f'{detail}. Send a well-formed HTTP/1.1 request.',
    )


def _internal_error() -> HttpError:
    return HttpError(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        'internal_error',
        'The entry failed on this request. Check its effect before sending '
        'it again, and report its request identifier to the operators.',
        run_state=RunState.MAY_HAVE_RUN,
    )
