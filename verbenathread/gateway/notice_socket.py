"""A datagram socket that is read when a decision needs it.

Designed for hundreds of gateways: each hears of every send of all others, some
hundred datagrams a second, and waking up for each would cost more than what
they say. After a datagram has arrived, the next ones are read together.
"""

import asyncio
import socket
from collections.abc import Callable

from verbenathread.clock import seconds
from verbenathread.observability.logs import get_logger
from verbenathread.types import Address, Millis

_log = get_logger('gateway')

# Longest time that a datagram waits to be read; half of the time in which all
# sends that one crash ended are told.
_READ_INTERVAL: Millis = 25
# Datagrams that are read at once, so that requests are served in between.
_MAX_READ = 256
_MAX_DATAGRAM_BYTES = 65_536

# Takes the content and the sender's address.
Receiver = Callable[[bytes, object], None]


class NoticeSocket:
    """Sends datagrams, and passes those that arrive to a receiver."""

    def __init__(self, receive: Receiver) -> None:
        """Pass each datagram to ``receive``."""
        self._receive = receive
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Datagrams read since the timer was set.
        self._read_count = 0
        # Times at which the loop woke up to read.
        self.wakeups = 0

    def start(self, listen: Address) -> None:
        """Listen at an address."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(tuple(listen))
        self._wait_readable()

    def stop(self) -> None:
        """Stop listening."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, content: bytes, address: Address) -> None:
        """Send one datagram; it is lost if there is no room for it."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(content, tuple(address))
        except OSError as error:
            _log.debug(
                'Could not send a notice.',
                address=str(address),
                reason=repr(error),
            )

    def read(self) -> None:
        """Pass on the datagrams that have arrived."""
        if self._socket is None:
            return
        for _ in range(_MAX_READ):
            try:
                content, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                # Nothing more has arrived.
                return
            except OSError as error:
                _log.debug('Could not read a notice.', reason=repr(error))
                return
            self._read_count += 1
            self._receive(content, sender)

    def _wait_readable(self) -> None:
        if self._socket is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket, self._on_readable)

    def _on_readable(self) -> None:
        if self._socket is None:
            return
        self.wakeups += 1
        self.read()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._set_timer()

    def _set_timer(self) -> None:
        self._read_count = 0
        self._timer = asyncio.get_running_loop().call_later(
            seconds(_READ_INTERVAL), self._on_timer
        )

    def _on_timer(self) -> None:
        self.wakeups += 1
        self.read()
        if self._read_count:
            self._set_timer()
        else:
            self._wait_readable()
