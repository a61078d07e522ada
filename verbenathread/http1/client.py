"""HTTP/1.1 client connection to an upstream, one request at a time."""

import asyncio
import enum
from collections import deque
from typing import Protocol

import httptools

from verbenathread.clock import Clock, seconds
from verbenathread.http1.limits import DEFAULT_LIMITS, ResponseLimits
from verbenathread.http1.messages import ResponseHead, index_headers
from verbenathread.http1.reading import BoundedReader
from verbenathread.observability.logs import get_logger
from verbenathread.types import Address, Millis

_log = get_logger('http')

_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = frozenset((204, 304))
_LENGTH = b'content-length'
_ENCODING = b'transfer-encoding'
_CONNECTION = b'connection'
_KEEP_ALIVE = b'keep-alive'
# Used if an upstream sends no Keep-Alive timeout: below 5 s, the shortest common
# server default.
_DEFAULT_KEEP_ALIVE: Millis = 4000
# Subtracted from the upstream's timeout, so that no request is sent while the
# upstream closes the connection.
_KEEP_ALIVE_MARGIN: Millis = 700
_MS_PER_SECOND = 1000
# Exchanges whose ids a connection remembers. A second copy of a response comes
# with one of the next exchanges and ends the use of the connection.
_MAX_EXCHANGE_IDS = 64
# Most bytes that frame one part of a body: the size of a chunk and line ends.
_MAX_CHUNK_FRAMING = 32
# Memory that a header takes beside its bytes.
_HEADER_OVERHEAD = 100


class Ending(enum.Enum):
    """How an exchange ended."""

    COMPLETE = 'complete'
    # The connection was lost or the upstream did not send valid HTTP.
    BROKEN = 'broken'


class Sink(Protocol):
    """Receives the response to one request.

    ``on_end`` is called exactly once.
    """

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether this response is for the request; else skip it."""

    def on_head(self, head: ResponseHead) -> None:
        """Receive the status and headers."""

    def on_body(self, content: bytes) -> None:
        """Receive a part of the body."""

    def on_trailers(self, value_by_name: dict[bytes, bytes]) -> None:
        """Receive the headers that followed the body, if there are any."""

    def on_end(self, ending: Ending) -> None:
        """Handle the end of the exchange."""


class ClientConnection(BoundedReader):
    """A client connection that can be reused for further requests."""

    def __init__(
        self, clock: Clock, limits: ResponseLimits = DEFAULT_LIMITS
    ) -> None:
        """Start idle; call :meth:`send_request` once connected."""
        self._clock = clock
        self._limits = limits
        # Exchanges begun on this connection.
        self._exchanges = 0
        # Ids of the latest of them, of those that have one.
        self._exchange_ids: deque[str] = deque(maxlen=_MAX_EXCHANGE_IDS)
        # The request has the method HEAD, so its response has no body.
        self._head_only = False
        # Bytes received in this exchange: all, and those of bodies that were
        # passed to the sink or skipped, with the number of their parts.
        self._received_bytes = 0
        self._body_bytes = 0
        self._body_parts = 0
        self._skipped_bytes = 0
        # Parts of the body that the sink receives together once all that was
        # read is parsed.
        self._unsent_parts: list[bytes] = []
        self._transport: asyncio.Transport | None = None
        self._sink: Sink | None = None
        self._open = False
        self._aborted = False
        # False once the connection must not be reused: it is closed or may
        # carry bytes that belong to no request.
        self._reusable = True
        # The response body ends when the connection closes.
        self._until_close = False
        # The sink did not accept the current response.
        self._skipping = False
        self._head_complete = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._trailers: list[tuple[bytes, bytes]] = []
        self._keep_alive: Millis = _DEFAULT_KEEP_ALIVE
        self._last_used = clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open = True

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress, if any."""
        self._open = False
        self._reusable = False
        complete = (
            error is None
            and not self._aborted
            and self._until_close
            and not self._skipping
        )
        self._end(Ending.COMPLETE if complete else Ending.BROKEN)

    @property
    def is_reused(self) -> bool:
        """Return whether an earlier exchange used this connection.

        Its upstream may then send a second response to that one late.
        """
        return self._exchanges > 1

    @property
    def is_until_close(self) -> bool:
        """Return whether the response body ends with the connection."""
        return self._until_close

    def has_carried(self, exchange_id: str) -> bool:
        """Return whether an earlier exchange here had this id.

        A second copy of its response, which may come late, could not be told
        from the response to another exchange with the same id.
        """
        return exchange_id in self._exchange_ids

    def is_reusable(self, now: Millis) -> bool:
        """Return whether another request can be sent."""
        if not self._open or not self._reusable or self._sink is not None:
            return False
        if self._transport is None or self._transport.is_closing():
            return False
        return now - self._last_used < self._keep_alive

    def send_request(
        self,
        request: bytes,
        sink: Sink,
        *,
        exchange_id: str = '',
        head_only: bool = False,
    ) -> None:
        """Send a request; ``sink`` receives the response.

        ``exchange_id`` is the id that the response repeats, if it has one.
        ``head_only`` is for the method HEAD, whose response has no body.
        """
        if self._transport is None:
            raise RuntimeError('the connection is not established yet')
        self._sink = sink
        self._exchanges += 1
        if exchange_id:
            self._exchange_ids.append(exchange_id)
        self._head_only = head_only
        self._received_bytes = 0
        self._body_bytes = 0
        self._body_parts = 0
        self._skipped_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._until_close = False
        self._skipping = False
        # The previous response may have ended while reading was paused.
        self.set_reading_paused(False)
        self._transport.write(request)

    def close(self) -> None:
        """Abort the connection; an exchange in progress ends as broken."""
        self._reusable = False
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Abort the connection without notifying the sink."""
        self._sink = None
        self.close()

    def set_reading_paused(self, paused: bool) -> None:  # noqa: FBT001
        """Pause or resume reading from the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def data_received(self, content: bytes) -> None:
        """Parse data from the upstream."""
        if self._sink is None:
            # Data without a request in progress.
            self.close()
            return
        self._received_bytes += len(content)
        try:
            self._parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
            self._end(Ending.BROKEN)
            return
        self._send_parts()
        if self._sink is not None and self._exceeds_limits():
            _log.warning(
                'A response exceeds a limit.',
                received_bytes=self._received_bytes,
                body_bytes=self._body_bytes,
                skipped_bytes=self._skipped_bytes,
            )
            self.close()
            self._end(Ending.BROKEN)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Begin a response, which may be an unsolicited one."""
        self._headers = []
        self._trailers = []
        self._head_complete = False
        if self._sink is None:
            self._reusable = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header or, after the body, a trailer."""
        stored = self._trailers if self._head_complete else self._headers
        stored.append((name, text))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink if it accepts the response."""
        self._head_complete = True
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self._sink is None:
            return
        headers = tuple(self._headers)
        value_by_name = index_headers(headers)
        head = ResponseHead(status, headers, value_by_name)
        self._skipping = not self._sink.accepts(head)
        if self._skipping:
            self._reusable = False
            return
        self._read_keep_alive(value_by_name)
        framed = _LENGTH in value_by_name or _ENCODING in value_by_name
        self._until_close = not framed and status not in _NO_BODY_STATUSES
        self._sink.on_head(head)
        if self._head_only:
            # The parser would wait for the body that the head announces.
            self._reusable = False
            self._end(Ending.COMPLETE)

    def on_body(self, content: bytes) -> None:
        """Store a part of the body for the sink."""
        if self._skipping:
            self._skipped_bytes += len(content)
        elif self._sink is not None:
            self._unsent_parts.append(content)

    def on_message_complete(self) -> None:
        """End the exchange."""
        if (
            self._parser.get_status_code() < _FIRST_FINAL_STATUS
            or self._skipping
        ):
            self._skipping = False
            return
        self._send_parts()
        if self._sink is None:
            return
        if self._trailers:
            self._sink.on_trailers(index_headers(self._trailers))
        if not self._parser.should_keep_alive():
            self._reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            # The upstream answered before it read the whole request.
            self._reusable = False
        self._end(Ending.COMPLETE)

    def _send_parts(self) -> None:
        """Pass the stored parts of the body to the sink."""
        parts = self._unsent_parts
        if not parts:
            return
        content = b''.join(parts)
        self._body_bytes += len(content)
        self._body_parts += len(parts)
        parts.clear()
        if self._sink is not None:
            self._sink.on_body(content)

    def _exceeds_limits(self) -> bool:
        """Return whether the upstream sent more than any response needs."""
        limits = self._limits
        framing = self._received_bytes - self._body_bytes - self._skipped_bytes
        headers = len(self._headers) + len(self._trailers)
        framing += headers * _HEADER_OVERHEAD
        allowed = limits.head_bytes + self._body_parts * _MAX_CHUNK_FRAMING
        return framing > allowed or self._skipped_bytes > limits.skipped_bytes

    def _read_keep_alive(self, value_by_name: dict[bytes, bytes]) -> None:
        if value_by_name.get(_CONNECTION, b'').lower() == b'close':
            self._reusable = False
        for part in value_by_name.get(_KEEP_ALIVE, b'').split(b','):
            name, _, text = part.strip().partition(b'=')
            if name.lower() == b'timeout' and text.isdigit():
                self._keep_alive = (
                    int(text) * _MS_PER_SECOND - _KEEP_ALIVE_MARGIN
                )

    def _end(self, ending: Ending) -> None:
        self._send_parts()
        self._last_used = self._clock.now()
        sink = self._sink
        self._sink = None
        if not self._reusable:
            self.close()
        if sink is not None:
            sink.on_end(ending)


async def connect(
    address: Address,
    clock: Clock,
    timeout: Millis,
    limits: ResponseLimits = DEFAULT_LIMITS,
) -> ClientConnection:
    """Open a connection; raises OSError or TimeoutError on failure."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds(timeout)):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(clock, limits), address.host, address.port
        )
    return connection
