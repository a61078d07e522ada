"""Calls to the other entries of a cell, one channel for each."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol, TypeVar

import grpclib
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from verbenathread.clock import seconds
from verbenathread.entry.node_auth import NodeAuth
from verbenathread.entry.reservation_stream import ReservationStream
from verbenathread.membership.cell import PeerUnreachableError
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema import peer_grpc, peer_pb2
from verbenathread.types import Millis, NodeId, Peer

_Reply = TypeVar('_Reply')
_FAULTS = (
    grpclib.GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)
# A connection that failed this often in a row is replaced.
_FAILURES_PER_CONNECTION = 2

_AskStream = grpclib.client.Stream[
    peer_pb2.ReserveRequest, peer_pb2.ReserveReply
]
_LinkStream = grpclib.client.Stream[peer_pb2.PeerMessage, peer_pb2.PeerReply]


class _PeerChannel:
    """The channel to one peer, and its one stream of messages."""

    def __init__(self, peer: Peer, auth: NodeAuth) -> None:
        self._peer = peer
        self._auth = auth
        self._channel: Channel | None = None
        self._stack = contextlib.AsyncExitStack()
        self._stream: _LinkStream | None = None
        self._failures = 0
        self.asks = ReservationStream(self._open_asks)

    def stub(self) -> peer_grpc.PeerStub:
        """Return a stub over the channel, made anew if there is none."""
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
        """Drop the stream, and the connection after a second failure."""
        stack = self._stack
        stream = self._stream
        self._stack = contextlib.AsyncExitStack()
        self._stream = None
        with contextlib.suppress(ProtocolError, *_FAULTS):
            if stream is not None:
                await stream.cancel()
        with contextlib.suppress(ProtocolError, *_FAULTS):
            await stack.aclose()
        self._failures = self._failures + 1 if failed else 0
        if self._failures >= _FAILURES_PER_CONNECTION:
            self.close()

    def succeeded(self) -> None:
        """Note that the peer replied."""
        self._failures = 0

    def close(self) -> None:
        """Close the connection; the next call makes a new one."""
        self.asks.close()
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        self._failures = 0

    def _open_asks(self) -> _AskStream:
        return self.stub().Reserve.open(metadata=self._auth.metadata)


class PeerCalls(Protocol):
    """Calls to the other entries; each raises PeerUnreachableError."""

    async def exchange(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> peer_pb2.PeerReply:
        """Send a message of the cell and return its reply."""

    async def reserve(
        self, peer_id: NodeId, request: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        """Ask the owner of an engine for memory; ends with the caller."""

    async def holdings(
        self, peer_id: NodeId, request: peer_pb2.HoldingsRequest, limit: Millis
    ) -> peer_pb2.HoldingsReply:
        """Ask what a peer has reserved at one engine."""

    async def fetch_tree(
        self,
        peer_id: NodeId,
        request: peer_pb2.FetchTreeRequest,
        limit: Millis,
    ) -> peer_pb2.FetchTreeReply:
        """Ask a peer for the shared settings that it runs."""

    async def close(self) -> None:
        """End every stream and connection."""


class PeerChannels:
    """Carries messages and calls to the peers of this entry."""

    def __init__(self, peers: Iterable[Peer], auth: NodeAuth) -> None:
        """Take the other entries of the cell; connect when first used."""
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
        except _FAULTS as error:
            await channel.end_stream(failed=True)
            raise _unreachable(peer_id, error) from None
        except asyncio.CancelledError:
            await channel.end_stream(failed=True)
            raise
        if reply is None or reply.number != message.number:
            await channel.end_stream(failed=True)
            raise _unreachable(peer_id, 'it ended the stream')
        channel.succeeded()
        return reply

    async def reserve(
        self, peer_id: NodeId, request: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        """Ask the owner of an engine for memory; ends with the caller."""
        try:
            return await self._channel_by_id[peer_id].asks.request(
                request, limit
            )
        except (OSError, TimeoutError) as error:
            raise _unreachable(peer_id, error) from None

    async def holdings(
        self, peer_id: NodeId, request: peer_pb2.HoldingsRequest, limit: Millis
    ) -> peer_pb2.HoldingsReply:
        """Ask what a peer has reserved at one engine."""
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
        """Ask a peer for the shared settings that it runs."""
        return await self._call(
            peer_id,
            lambda stub: stub.FetchTree(
                request,
                timeout=seconds(limit),
                metadata=self._auth.metadata,
            ),
        )

    async def close(self) -> None:
        """End every stream and connection."""
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
        except _FAULTS as error:
            raise _unreachable(peer_id, error) from None


def _unreachable(peer_id: NodeId, why: object) -> PeerUnreachableError:
    return PeerUnreachableError(
        f'{peer_id} could not be reached ({why}): see whether it runs and '
        + 'whether its peer_listen address is right'
    )
