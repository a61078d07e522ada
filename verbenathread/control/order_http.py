"""Sends orders over HTTP, each on its own connection.

Leadership is checked after the connect and right before the first byte of
the order, to keep the time between the check and the send short. An abandoned
connection is reset, so that the kernel can't deliver an order later that no
leader is responsible for any more.
"""

import json
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from verbenathread.clock import seconds
from verbenathread.exceptions import UnavailableError
from verbenathread.settings.node import parse_address
from verbenathread.types import Millis

_PATH = '/v1/orders'
_MAX_REPLY_BYTES = 65_536
_STATUS_FENCED = 409
_FIRST_ERROR_STATUS = 400
_CONNECTION_ERRORS = (HTTPError, OSError, ValueError)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

MaySend = Callable[[], bool]


class Order(NamedTuple):
    """One order as it is sent to an upstream."""

    order_id: str
    fencing: int
    action: str
    subject: str


class ReportedState(NamedTuple):
    """The state that an upstream reports at its orders path."""

    fencing: int
    models: tuple[str, ...]
    role: str
    # Empty when the upstream does not report it.
    drain: str


class OrderRefusedError(Exception):
    """The upstream rejected the fencing number or the content of an order."""


class LeadershipLostError(Exception):
    """Leadership was lost before the order was sent."""


class OrderTransport(Protocol):
    """Reads the state of upstreams and sends them orders."""

    def read(self, address: str, timeout: Millis) -> ReportedState:
        """Return the reported state, or raise UnavailableError."""

    def send(
        self, address: str, order: Order, timeout: Millis, may_send: MaySend
    ) -> ReportedState:
        """Send one order and return the state reported afterwards.

        Raises :class:`OrderRefusedError`, :class:`LeadershipLostError` or
        UnavailableError; after the last one the order may have taken effect.
        """


class HttpOrderTransport:
    """Uses the HTTP interface described in docs/UPSTREAMS.md."""

    def read(self, address: str, timeout: Millis) -> ReportedState:
        """Return the reported state."""
        connection = _connection(address, timeout)
        try:
            return _exchange(connection, 'GET', None)
        except _CONNECTION_ERRORS as error:
            raise _unavailable(address, error) from error
        finally:
            connection.close()

    def send(
        self, address: str, order: Order, timeout: Millis, may_send: MaySend
    ) -> ReportedState:
        """Connect, then send one order if ``may_send`` allows it."""
        connection = _connection(address, timeout)
        try:
            return _send(connection, order, may_send)
        except _CONNECTION_ERRORS as error:
            raise _unavailable(address, error) from error
        finally:
            connection.close()


def _connection(address: str, timeout: Millis) -> HTTPConnection:
    parsed = parse_address(address)
    return HTTPConnection(
        parsed.host,
        parsed.port,
        timeout=seconds(timeout),
        socket_options=[
            (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        ],
    )


def _send(
    connection: HTTPConnection, order: Order, may_send: MaySend
) -> ReportedState:
    body = json.dumps(order._asdict()).encode()
    connection.connect()
    if not may_send():
        raise LeadershipLostError
    return _exchange(connection, 'POST', body)


def _exchange(
    connection: HTTPConnection, method: str, body: bytes | None
) -> ReportedState:
    connection.request(
        method,
        _PATH,
        body=body,
        headers={'Content-Type': 'application/json'},
        preload_content=False,
    )
    response = connection.getresponse()
    content = response.read(_MAX_REPLY_BYTES)
    if response.status == _STATUS_FENCED:
        raise OrderRefusedError('it has a higher fencing number')
    if response.status >= _FIRST_ERROR_STATUS:
        raise OrderRefusedError(f'it answered status {response.status}')
    return _parse_state(json.loads(content))


def _parse_state(members: Any) -> ReportedState:
    if not isinstance(members, Mapping):
        raise ValueError('the response is not a JSON object')
    return ReportedState(
        fencing=int(members.get('fencing', 0)),
        models=tuple(str(name) for name in members.get('models', ())),
        role=str(members.get('role', '')),
        drain=str(members.get('drain', '')),
    )


def _unavailable(address: str, error: Exception) -> UnavailableError:
    return UnavailableError(
        f'the upstream at {address} did not answer a request: {error}; '
        + 'check that it is running and serves /v1/orders'
    )
