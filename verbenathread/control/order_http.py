"""Orders over HTTP, each on a connection of its own.

The leadership is looked at between the connect and the first byte of the
order, so that little time passes between the check and the act. A connection
that is given up is reset: the kernel must not deliver an order later that
nobody stands behind any more.
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
    """What an upstream shows of the orders it follows."""

    fencing: int
    models: tuple[str, ...]
    role: str
    # Empty when the upstream does not show it.
    drain: str


class OrderRefusedError(Exception):
    """The upstream refused the order, for its fencing number or content."""


class LeadershipLostError(Exception):
    """The lead was lost before the order was sent."""


class OrderTransport(Protocol):
    """How orders reach upstreams."""

    def read(self, address: str, limit: Millis) -> ReportedState:
        """Return what the upstream shows; UnavailableError if it does not."""

    def send(
        self, address: str, order: Order, limit: Millis, may_send: MaySend
    ) -> ReportedState:
        """Send one order and return what the upstream shows then.

        Raises :class:`OrderRefusedError`, :class:`LeadershipLostError` or
        UnavailableError; only the last leaves open whether it took effect.
        """


class HttpOrderTransport:
    """Upstreams that speak the HTTP interface of docs/UPSTREAMS.md."""

    def read(self, address: str, limit: Millis) -> ReportedState:
        """Return what the upstream shows."""
        connection = _connection(address, limit)
        try:
            return _exchange(connection, 'GET', None)
        except _CONNECTION_ERRORS as error:
            raise _unavailable(address, error) from error
        finally:
            connection.close()

    def send(
        self, address: str, order: Order, limit: Millis, may_send: MaySend
    ) -> ReportedState:
        """Send one order, if this process may once it is connected."""
        connection = _connection(address, limit)
        try:
            return _send(connection, order, may_send)
        except _CONNECTION_ERRORS as error:
            raise _unavailable(address, error) from error
        finally:
            connection.close()


def _connection(address: str, limit: Millis) -> HTTPConnection:
    parsed = parse_address(address)
    return HTTPConnection(
        parsed.host,
        parsed.port,
        timeout=seconds(limit),
        socket_options=[
            (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit),
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
        raise OrderRefusedError('it knows a higher fencing number')
    if response.status >= _FIRST_ERROR_STATUS:
        raise OrderRefusedError(f'it answered status {response.status}')
    return _parse_state(json.loads(content))


def _parse_state(members: Any) -> ReportedState:
    if not isinstance(members, Mapping):
        raise ValueError('the answer is no JSON object')
    return ReportedState(
        fencing=int(members.get('fencing', 0)),
        models=tuple(str(name) for name in members.get('models', ())),
        role=str(members.get('role', '')),
        drain=str(members.get('drain', '')),
    )


def _unavailable(address: str, error: Exception) -> UnavailableError:
    return UnavailableError(
        f'the upstream at {address} did not answer an order: {error}; '
        + 'see that it runs and serves /v1/orders'
    )
