"""The channel for calls between our processes."""

from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

# A call that failed in one of these ways may still have been acted on.
RPC_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class PeerChannel(Channel):
    """A grpclib channel that survives a connection lost as it opens.

    grpclib 0.4.9 hands such a connection out and then fails with
    AttributeError, which callers can't tell from a bug of their own; a
    connection that opens while the channel is closed stays open. Here both
    are a ConnectionError.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take what :class:`grpclib.client.Channel` takes."""
        super().__init__(*args, **options)
        self._is_closed = False

    async def __connect__(self) -> H2Protocol:  # noqa: PLW3201
        """Return a connection that stands, opened if there is none."""
        protocol = await super().__connect__()
        if self._is_closed:
            self.close()
            raise ConnectionAbortedError('the channel was closed meanwhile')
        if protocol.connection.is_closing():
            raise ConnectionResetError('the connection was lost as it opened')
        return protocol

    def close(self) -> None:
        """Close for good, also what is just being opened."""
        self._is_closed = True
        super().close()
