"""The asking side: one connection to an upstream, one request at a time."""

import asyncio
import enum
from typing import Protocol

import httptools

from verbenathread.clock import Clock, seconds
from verbenathread.http1.messages import ResponseHead, index_headers
from verbenathread.types import Address, Millis

_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = frozenset((204, 304))
_LENGTH = b'content-length'
_ENCODING = b'transfer-encoding'
_CONNECTION = b'connection'
_KEEP_ALIVE = b'keep-alive'
# An upstream that does not say how long it keeps idle connections: less than
# the shortest usual default, 5 s.
_DEFAULT_KEEP_ALIVE: Millis = 4000
# Left of the upstream's time so that a request doesn't cross its close.
_KEEP_ALIVE_MARGIN: Millis = 700
_MS_PER_SECOND = 1000


class Ending(enum.Enum):
    """How an exchange ended."""

    COMPLETE = 'complete'
    # The connection broke, or what came was no answer in HTTP.
    BROKEN = 'broken'


class Sink(Protocol):
    """Takes the answer to one request; ``on_end`` is called exactly once."""

    def accepts(self, head: ResponseHead) -> bool:
        """Tell whether this head answers the request; else it is skipped."""

    def on_head(self, head: ResponseHead) -> None:
        """Take the head."""

    def on_body(self, content: bytes) -> None:
        """Take a part of the body."""

    def on_end(self, ending: Ending) -> None:
        """Note that nothing more comes."""


class ClientConnection(asyncio.Protocol):
    """A connection that may be kept for further requests."""

    def __init__(self, clock: Clock) -> None:
        """Stand idle until :meth:`ask`."""
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._sink: Sink | None = None
        self._open = False
        self._aborted = False
        # False once it may hold bytes that belong to no request.
        self._clean = True
        self._until_close = False
        self._skipping = False
        self._head_complete = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._keep_alive: Millis = _DEFAULT_KEEP_ALIVE
        self._last_used = clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection stands."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open = True

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange, if there is one."""
        self._open = False
        self._clean = False
        complete = (
            error is None
            and not self._aborted
            and self._until_close
            and not self._skipping
        )
        self._end(Ending.COMPLETE if complete else Ending.BROKEN)

    def is_reusable(self, now: Millis) -> bool:
        """Tell whether another request may be sent."""
        if not self._open or not self._clean or self._sink is not None:
            return False
        if self._transport is None or self._transport.is_closing():
            return False
        return now - self._last_used < self._keep_alive

    def send_request(self, request: bytes, sink: Sink) -> None:
        """Send a request; ``sink`` takes what comes."""
        if self._transport is None:
            raise RuntimeError('the connection does not stand yet')
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._until_close = False
        self._skipping = False
        self._transport.write(request)

    def close(self) -> None:
        """Break the connection; an exchange on it ends as broken."""
        self._clean = False
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Break the connection without telling the sink."""
        self._sink = None
        self.close()

    def set_reading_paused(self, paused: bool) -> None:  # noqa: FBT001
        """Stop or go on reading."""
        if self._transport is None or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def data_received(self, content: bytes) -> None:
        """Take what the upstream sent."""
        if self._sink is None:
            # Bytes that no request asked for.
            self.close()
            return
        try:
            self._parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
            self._end(Ending.BROKEN)

    # ---- what the parser calls ----

    def on_message_begin(self) -> None:
        """Begin an answer, or find one that nobody asked for."""
        self._headers = []
        self._head_complete = False
        if self._sink is None:
            self._clean = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header; a trailer is dropped."""
        if not self._head_complete:
            self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Hand the head on if it answers the request."""
        self._head_complete = True
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self._sink is None:
            return
        headers = tuple(self._headers)
        value_by_name = index_headers(headers)
        head = ResponseHead(status, headers, value_by_name)
        self._skipping = not self._sink.accepts(head)
        if self._skipping:
            self._clean = False
            return
        self._read_keep_alive(value_by_name)
        framed = _LENGTH in value_by_name or _ENCODING in value_by_name
        self._until_close = not framed and status not in _NO_BODY_STATUSES
        self._sink.on_head(head)

    def on_body(self, content: bytes) -> None:
        """Hand a part of the body on."""
        if self._sink is not None and not self._skipping:
            self._sink.on_body(content)

    def on_message_complete(self) -> None:
        """End the exchange."""
        if (
            self._parser.get_status_code() < _FIRST_FINAL_STATUS
            or self._skipping
        ):
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self._clean = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            # The answer came before the upstream had read the request.
            self._clean = False
        self._end(Ending.COMPLETE)

    def _read_keep_alive(self, value_by_name: dict[bytes, bytes]) -> None:
        if value_by_name.get(_CONNECTION, b'').lower() == b'close':
            self._clean = False
        for part in value_by_name.get(_KEEP_ALIVE, b'').split(b','):
            name, _, text = part.strip().partition(b'=')
            if name.lower() == b'timeout' and text.isdigit():
                self._keep_alive = (
                    int(text) * _MS_PER_SECOND - _KEEP_ALIVE_MARGIN
                )

    def _end(self, ending: Ending) -> None:
        self._last_used = self._clock.now()
        sink = self._sink
        self._sink = None
        if not self._clean:
            self.close()
        if sink is not None:
            sink.on_end(ending)


async def connect(
    address: Address, clock: Clock, timeout: Millis
) -> ClientConnection:
    """Open a connection; raises OSError or TimeoutError within ``limit``."""
    loop = asyncio.get_running_loop()
    _, connection = await asyncio.wait_for(
        loop.create_connection(
            lambda: ClientConnection(clock), address.host, address.port
        ),
        seconds(timeout),
    )
    return connection
