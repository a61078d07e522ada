"""The gRPC channel for calls between processes of the cluster."""

from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

# The peer may still have executed a call that failed with one of these.
RPC_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


class PeerChannel(Channel):
    """A grpclib channel that handles connections lost while opening.

    grpclib 0.4.9 returns such a connection and then fails with an
    AttributeError, which callers can't tell from a bug of their own. It also
    leaves a connection open that opens while the channel is being closed.
    This class raises a ConnectionError in both cases.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Accept the arguments of :class:`grpclib.client.Channel`."""
        super().__init__(*args, **options)
        self._is_closed = False

    async def __connect__(self) -> H2Protocol:  # noqa: PLW3201
        """Return an open connection, connecting if there is none."""
        protocol = await super().__connect__()
        if self._is_closed:
            self.close()
            raise ConnectionAbortedError(
                'the channel was closed while connecting'
            )
        if protocol.connection.is_closing():
            raise ConnectionResetError('the connection was lost while opening')
        return protocol

    def close(self) -> None:
        """Close permanently, including a connection that is being opened."""
        self._is_closed = True
        super().close()
