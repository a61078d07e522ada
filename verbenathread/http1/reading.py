"""Reads connections in bounded parts, so that all of them get their turn.

What a peer sends is parsed in callbacks, whose number depends on how the peer
cuts it up and not only on its length. asyncio passes on up to 256 KiB at once,
which are 40,000 chunks of one byte.
"""

import abc
import asyncio

# Bytes that are parsed before the event loop serves other connections.
READ_BYTES = 0x8000

# Shared by all connections: it is filled and parsed in one callback.
_buffer = bytearray(READ_BYTES)


class BoundedReader(asyncio.BufferedProtocol, abc.ABC):
    """A connection that reads at most READ_BYTES in one turn of the loop."""

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that the next read fills."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.data_received(bytes(memoryview(_buffer)[:nbytes]))

    @abc.abstractmethod
    def data_received(self, content: bytes) -> None:
        """Parse data from the peer."""
