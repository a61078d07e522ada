"""Calls to the other entries of a cell, over one channel to each."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol, TypeVar

import grpclib
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from verbenathread.clock import seconds
from verbenathread.entry.reservation_stream import ReservationStream
from verbenathread.membership.cell import PeerUnreachableError
from verbenathread.node_auth import NodeAuth
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema import peer_grpc, peer_pb2
from verbenathread.types import Millis, NodeId, Peer

_Reply = TypeVar('_Reply')
_RPC_ERRORS = (
    grpclib.GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)
# Consecutive failures after which a connection is replaced.
_MAX_CONNECTION_FAILURES = 2

_ReserveStream = grpclib.client.Stream[
    peer_pb2.ReserveRequest, peer_pb2.ReserveReply
]
_LinkStream = grpclib.client.Stream[peer_pb2.PeerMessage, peer_pb2.PeerReply]


class _PeerChannel:
    """The channel to one peer, with one stream of messages."""

    def __init__(self, peer: Peer, auth: NodeAuth) -> None:
        self._peer = peer
        self._auth = auth
        self._channel: Channel | None = None
        self._stack = contextlib.AsyncExitStack()
        self._stream: _LinkStream | None = None
        self._failures = 0
        self.reservations = ReservationStream(self._open_reserve_stream)

    def stub(self) -> peer_grpc.PeerStub:
        """Return a stub over the channel, which is opened if needed."""
        if self._channel is None:
            address = self._peer.address
            self._channel = PeerChannel(address.host, address.port)
        return peer_grpc.PeerStub(self._channel)

    async def exchange(
        self, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply | None:
        """Send a message on the stream and wait for its reply."""
        if self._stream is None:
            opened = self.stub().Link.open(metadata=self._auth.metadata)
            self._stream = await self._stack.enter_async_context(opened)
        await self._stream.send_message(message)
        return await self._stream.recv_message()

    async def end_stream(self, *, failed: bool) -> None:
        """Close the stream, and the connection after repeated failures."""
        stack = self._stack
        stream = self._stream
        self._stack = contextlib.AsyncExitStack()
        self._stream = None
        with contextlib.suppress(ProtocolError, *_RPC_ERRORS):
            if stream is not None:
                await stream.cancel()
        with contextlib.suppress(ProtocolError, *_RPC_ERRORS):
            await stack.aclose()
        self._failures = self._failures + 1 if failed else 0
        if self._failures >= _MAX_CONNECTION_FAILURES:
            self.close()

    def succeeded(self) -> None:
        """Reset the failure count because the peer replied."""
        self._failures = 0

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self.reservations.close()
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        self._failures = 0

    def _open_reserve_stream(self) -> _ReserveStream:
        return self.stub().Reserve.open(metadata=self._auth.metadata)


class PeerCalls(Protocol):
    """Calls to the other entries; each may raise PeerUnreachableError."""

    async def exchange(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        """Send a message of the cell and return its reply."""

    async def reserve(
        self, peer_id: NodeId, request: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        """Request memory of an engine; cancelled together with the call."""

    async def holdings(
        self, peer_id: NodeId, request: peer_pb2.HoldingsRequest, limit: Millis
    ) -> peer_pb2.HoldingsReply:
        """Fetch what a peer has reserved at one engine."""

    async def fetch_tree(
        self,
        peer_id: NodeId,
        request: peer_pb2.FetchTreeRequest,
        limit: Millis,
    ) -> peer_pb2.FetchTreeReply:
        """Fetch the shared settings in force at a peer."""

    async def close(self) -> None:
        """Close all streams and connections."""


class PeerChannels:
    """Carries messages and calls to the peers of this entry."""

    def __init__(self, peers: Iterable[Peer], auth: NodeAuth) -> None:
        """Prepare channels to ``peers``, which connect on first use."""
        self._auth = auth
        self._channel_by_id = {
            peer.node_id: _PeerChannel(peer, auth) for peer in peers
        }

    async def exchange(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        """Return the reply, or raise :class:`PeerUnreachableError`."""
        channel = self._channel_by_id[peer_id]
        try:
            reply = await channel.exchange(message)
        except _RPC_ERRORS as error:
            await channel.end_stream(failed=True)
            raise _unreachable(peer_id, error) from None
        except asyncio.CancelledError:
            await channel.end_stream(failed=True)
            raise
        if reply is None or reply.number != message.number:
            await channel.end_stream(failed=True)
            raise _unreachable(peer_id, 'it closed the stream')
        channel.succeeded()
        return reply

    async def reserve(
        self, peer_id: NodeId, request: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        """Request memory of an engine; cancelled together with the call."""
        try:
            return await self._channel_by_id[peer_id].reservations.request(
                request, limit
            )
        except (OSError, TimeoutError) as error:
            raise _unreachable(peer_id, error) from None

    async def holdings(
        self, peer_id: NodeId, request: peer_pb2.HoldingsRequest, limit: Millis
    ) -> peer_pb2.HoldingsReply:
        """Fetch what a peer has reserved at one engine."""
        return await self._call(
            peer_id,
            lambda stub: stub.Holdings(
                request,
                timeout=seconds(limit),
                metadata=self._auth.metadata,
            ),
        )

    async def fetch_tree(
        self,
        peer_id: NodeId,
        request: peer_pb2.FetchTreeRequest,
        limit: Millis,
    ) -> peer_pb2.FetchTreeReply:
        """Fetch the shared settings in force at a peer."""
        return await self._call(
            peer_id,
            lambda stub: stub.FetchTree(
                request,
                timeout=seconds(limit),
                metadata=self._auth.metadata,
            ),
        )

    async def close(self) -> None:
        """Close all streams and connections."""
        for channel in self._channel_by_id.values():
            await channel.end_stream(failed=False)  # noqa: WPS476 - at the end
            channel.close()

    async def _call(
        self,
        peer_id: NodeId,
        method: Callable[[peer_grpc.PeerStub], Awaitable[_Reply]],
    ) -> _Reply:
        try:
            return await method(self._channel_by_id[peer_id].stub())
        except _RPC_ERRORS as error:
            raise _unreachable(peer_id, error) from None


def _unreachable(peer_id: NodeId, reason: object) -> PeerUnreachableError:
    return PeerUnreachableError(
        f'{peer_id} could not be reached ({reason}): check that it is running '
        + 'and that its peer_listen address is right'
    )
