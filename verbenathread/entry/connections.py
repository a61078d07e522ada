"""Pooled HTTP connections to upstreams, reused only after a clean exchange."""

import socket
import struct
import threading
from collections import deque
from collections.abc import Mapping
from contextlib import suppress
from http.client import HTTPException

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from verbenathread.clock import Clock, seconds
from verbenathread.exceptions import VerbenathreadError
from verbenathread.types import Address, Millis

_CONNECT_TIMEOUT_MS = 1000
_MAX_IDLE_PER_ADDRESS = 64
_MIN_WAIT_MS = 1
# Enables SO_LINGER with a timeout of 0, so that closing resets the connection.
_LINGER_RESET = struct.pack('ii', 1, 0)
_ERRORS = (HTTPError, HTTPException, OSError, ValueError)


class ConnectError(VerbenathreadError):
    """The connection could not be opened, so nothing was sent."""


class BrokenExchangeError(VerbenathreadError):
    """The connection broke after part of a request may have been sent."""


class UpstreamExchange:
    """One request that was sent to an upstream, and its response."""

    def __init__(
        self,
        pool: 'ConnectionPool',
        address: Address,
        connection: HTTPConnection,
    ) -> None:
        """Wrap a connection on which a complete request was sent."""
        self._pool = pool
        self._address = address
        self._connection = connection
        # Kept because http.client drops its reference if the upstream closes.
        self._socket = connection.sock
        self._response: HTTPResponse | None = None
        self.status = 0
        self.headers: Mapping[str, str] = {}

    def read_head(self, deadline: Millis) -> None:
        """Wait for the status and the headers."""
        # urllib3 sets the socket's timeout from this attribute.
        self._connection.timeout = self._pool.seconds_left(deadline)
        try:
            response = self._connection.getresponse()
        except _ERRORS as exc:
            raise BrokenExchangeError(
                f'The connection to {self._address} broke before a response.'
            ) from exc
        self._response = response
        self.status = response.status
        self.headers = response.headers

    def read1(self, max_bytes: int, deadline: Millis) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        if self._response is None:
            self.read_head(deadline)
        assert self._response is not None
        self._set_timeout(deadline)
        try:
            return self._response.read1(max_bytes)
        except _ERRORS as exc:
            raise BrokenExchangeError(
                f'The response of {self._address} was cut off.'
            ) from exc

    def unframed_socket(self) -> socket.socket | None:
        """Return the socket if the rest of the body is unframed on it.

        That is so for a response that ends when the upstream closes the
        connection, once :meth:`read1` has returned what arrived together
        with the headers.
        """
        response = self._response
        if response is None or response.chunked:
            return None
        if response.length_remaining is not None:
            return None
        return self._socket

    def read_nonblocking(self, max_bytes: int) -> bytes | None:
        """Return available bytes of an unframed body, or None."""
        if self._socket.gettimeout() != 0:
            self._socket.setblocking(False)
        try:
            return self._socket.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError as exc:
            raise BrokenExchangeError(
                f'The response of {self._address} was cut off.'
            ) from exc

    def read_all(self, max_bytes: int, deadline: Millis) -> bytes:
        """Return the rest of the body, at most ``max_bytes`` bytes."""
        blocks = []
        received = 0
        block = self.read1(max_bytes, deadline)
        while block:
            blocks.append(block)
            received += len(block)
            if received > max_bytes:
                raise BrokenExchangeError(
                    f'The response of {self._address} exceeds '
                    f'{max_bytes} bytes.'
                )
            block = self.read1(max_bytes, deadline)
        return b''.join(blocks)

    def interrupt(self) -> None:
        """Make a read that is blocked in another thread fail at once."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self, *, clean: bool) -> None:
        """Release the connection for reuse, or close it.

        It is reused only if ``clean`` is set and the whole response was read.
        """
        response = self._response
        if clean and response is not None and response.closed:
            if self._connection.sock is not None:
                self._pool.release(self._address, self._connection)
                return
        # Reset the connection, so that the kernel delivers no more data.
        with suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        if response is not None:
            response.close()
        self._connection.close()

    def _set_timeout(self, deadline: Millis) -> None:
        """Make the next read time out at the deadline."""
        self._socket.settimeout(self._pool.seconds_left(deadline))


class ConnectionPool:
    """Keeps idle connections by address."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._idle_by_address: dict[Address, deque[HTTPConnection]] = {}
        self._lock = threading.Lock()

    def send(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        deadline: Millis,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        new_connection: bool = False,
    ) -> UpstreamExchange:
        """Send a complete request.

        Raises :class:`ConnectError` if nothing was sent and
        :class:`BrokenExchangeError` otherwise. With ``new_connection``, a new
        connection is opened: unlike an idle one, the upstream cannot already
        have closed it.
        """
        connection = self.connect(
            address, deadline, new_connection=new_connection
        )
        connection.timeout = self.seconds_left(deadline)
        try:
            connection.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except _ERRORS as exc:
            connection.close()
            raise BrokenExchangeError(
                f'The connection to {address} broke before a response.'
            ) from exc
        return UpstreamExchange(self, address, connection)

    def connect(
        self,
        address: Address,
        deadline: Millis,
        *,
        new_connection: bool = False,
    ) -> HTTPConnection:
        """Return an open connection, preferably an idle one."""
        if not new_connection:
            idle = self._take_idle(address)
            if idle is not None:
                return idle
        timeout = min(deadline - self._clock.now(), _CONNECT_TIMEOUT_MS)
        if timeout <= 0:
            raise ConnectError(f'No time is left to connect to {address}.')
        connection = HTTPConnection(
            address.host, address.port, timeout=seconds(timeout)
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as exc:
            connection.close()
            raise ConnectError(f'Could not connect to {address}.') from exc
        return connection

    def seconds_left(self, deadline: Millis) -> float:
        """Return the socket timeout in seconds that ends at the deadline."""
        return seconds(max(_MIN_WAIT_MS, deadline - self._clock.now()))

    def release(self, address: Address, connection: HTTPConnection) -> None:
        """Return a connection to the pool after a clean exchange."""
        with self._lock:
            idle = self._idle_by_address.setdefault(address, deque())
            if len(idle) < _MAX_IDLE_PER_ADDRESS:
                idle.append(connection)
                return
        connection.close()

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        with self._lock:
            return sum(map(len, self._idle_by_address.values()))

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = tuple(self._idle_by_address.values())
            self._idle_by_address = {}
        for idle in pools:
            for connection in idle:
                connection.close()

    def _take_idle(self, address: Address) -> HTTPConnection | None:
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            # An idle connection that is readable was closed by the upstream or
            # received bytes outside an exchange.
            if connection.is_connected:
                return connection
            connection.close()
