"""Writer for the response to one request, whole or in parts."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Protocol

from verbenathread.http1 import messages

_CLOSE = b'Connection: close\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
# SO_LINGER on with timeout 0: closing the socket resets the connection.
_LINGER_RESET = struct.pack('ii', 1, 0)


class ResponseOwner(Protocol):
    """The connection that a response is written to."""

    def response_done(self, response: 'ResponseWriter') -> None:
        """Handle the end of a completely written response."""

    def closes_after_response(self) -> bool:
        """Return whether the connection closes after the response."""


class ResponseWriter:
    """Writes one response; writes after a disconnect are dropped."""

    def __init__(
        self,
        owner: ResponseOwner,
        transport: asyncio.Transport,
        *,
        chunked: bool,
        omit_body: bool,
    ) -> None:
        """Write to ``transport``; without chunks, its close ends the body."""
        self._owner = owner
        self._transport = transport
        # HTTP/1.0 clients do not support chunked encoding.
        self._chunked = chunked
        self._omit_body = omit_body
        # Status of the response; 0 before it is started.
        self.status = 0
        self.started = False
        self.done = False
        # The head says that the connection closes after this response.
        self.announced_close = False
        self._is_lost = False
        self.on_disconnect: Callable[[], None] | None = None
        # Called with True when the write buffer is full and with False once it
        # has drained.
        self.on_backpressure: Callable[[bool], None] | None = None

    @property
    def is_disconnected(self) -> bool:
        """Return whether the client can receive nothing more.

        That is so from the moment at which its connection begins to close; the
        loss is notified later.
        """
        return self._is_lost or self._transport.is_closing()

    def send(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes = b'',
    ) -> None:
        """Write a complete response."""
        if self._is_closed():
            return
        framing = b''
        if status >= _FIRST_FINAL_STATUS and status not in _NO_BODY_STATUSES:
            framing = b'Content-Length: %d\r\n' % len(body)
        head = messages.encode_response_head(
            status, headers, framing + self._connection_header()
        )
        content = (
            b'' if self._omit_body or status in _NO_BODY_STATUSES else body
        )
        self.started = True
        self.status = status
        self._transport.write(head + content)
        self._mark_done()

    def begin(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of a response of unknown length."""
        if self._is_closed():
            return
        framing = _CHUNKED if self._chunked else b''
        self.started = True
        self.status = status
        self._transport.write(
            messages.encode_response_head(
                status, headers, framing + self._connection_header()
            )
        )

    def write(self, content: bytes) -> None:
        """Write a part of the body."""
        if self._is_closed() or not content or self._omit_body:
            return
        if self._chunked:
            content = messages.encode_chunk(content)
        self._transport.write(content)

    def finish(self) -> None:
        """Complete a response that was started with :meth:`begin`."""
        if self._is_closed():
            return
        if self._chunked and not self._omit_body:
            self._transport.write(messages.LAST_CHUNK)
        self._mark_done()

    def abort(self) -> None:
        """Reset the connection, so that the response is seen as incomplete."""
        if self._is_closed():
            return
        self.done = True
        # A FIN would look like the regular end of an unchunked response.
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._transport.abort()

    def connection_lost(self) -> None:
        """Handle the loss of the client's connection."""
        self._is_lost = True
        if self.on_disconnect is not None and not self.done:
            self.on_disconnect()

    def _is_closed(self) -> bool:
        """Return whether nothing more can be written."""
        return self.done or self.is_disconnected

    def _connection_header(self) -> bytes:
        self.announced_close = self._owner.closes_after_response()
        return _CLOSE if self.announced_close else b''

    def _mark_done(self) -> None:
        self.done = True
        self._owner.response_done(self)
