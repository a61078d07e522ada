"""Calls between replicas over grpclib.

Each call carries the cluster's name and key as metadata, ends within a
limit, and uses the one channel that is kept for its peer.
"""

import asyncio
import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from verbenathread.clock import seconds
from verbenathread.consensus.transport import Handler
from verbenathread.exceptions import UnavailableError
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel
from verbenathread.schema import consensus_pb2 as messages
from verbenathread.schema.consensus_grpc import ConsensusBase, ConsensusStub
from verbenathread.types import Millis, Peer

_CLUSTER = 'x-cluster'
_NODE_KEY = 'x-node-key'
_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


class RpcTransport:
    """Calls other replicas, over one channel for each."""

    def __init__(self, cluster: str, node_key: str) -> None:
        """Name the cluster and its key in every call."""
        self._metadata = ((_CLUSTER, cluster), (_NODE_KEY, node_key))
        self._channel_by_peer: dict[Peer, Channel] = {}

    async def vote(
        self, peer: Peer, request: messages.VoteRequest, limit: Millis
    ) -> messages.VoteReply:
        """Ask for a vote."""
        stub = self._stub(peer)
        try:
            return await self._call(peer, stub.Vote, request, limit)
        except UnavailableError:
            self._drop(peer)
            raise

    async def append(
        self, peer: Peer, request: messages.AppendRequest, limit: Millis
    ) -> messages.AppendReply:
        """Send entries of the log."""
        stub = self._stub(peer)
        return await self._call(peer, stub.Append, request, limit)

    async def beat(
        self, peer: Peer, request: messages.BeatRequest, limit: Millis
    ) -> messages.BeatReply:
        """Send a heartbeat."""
        stub = self._stub(peer)
        try:
            return await self._call(peer, stub.Beat, request, limit)
        except UnavailableError:
            self._drop(peer)
            raise

    async def install(
        self, peer: Peer, request: messages.InstallRequest, limit: Millis
    ) -> messages.InstallReply:
        """Send a part of a snapshot."""
        stub = self._stub(peer)
        return await self._call(peer, stub.Install, request, limit)

    async def transfer(
        self, peer: Peer, request: messages.TransferRequest, limit: Millis
    ) -> messages.TransferReply:
        """Ask the peer to stand for election at once."""
        stub = self._stub(peer)
        return await self._call(peer, stub.Transfer, request, limit)

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channel_by_peer.values():
            channel.close()
        self._channel_by_peer.clear()

    def _stub(self, peer: Peer) -> ConsensusStub:
        channel = self._channel_by_peer.get(peer)
        if channel is None:
            channel = PeerChannel(peer.address.host, peer.address.port)
            self._channel_by_peer[peer] = channel
        return ConsensusStub(channel)

    def _drop(self, peer: Peer) -> None:
        """Connect anew at the next call.

        After a long cut the old connection would wait for minutes before it
        sends again. Only calls that no sync slows down come here.
        """
        channel = self._channel_by_peer.pop(peer, None)
        if channel is not None:
            channel.close()

    async def _call(
        self,
        peer: Peer,
        method: Callable[..., Awaitable[_Reply]],
        request: object,
        limit: Millis,
    ) -> _Reply:
        try:
            # The limit holds for a connect that never completes, too.
            return await asyncio.wait_for(
                method(
                    request, timeout=seconds(limit), metadata=self._metadata
                ),
                seconds(limit),
            )
        except RPC_ERRORS as error:
            raise _unavailable(peer, error) from error


class ConsensusService(ConsensusBase):
    """Answers other replicas of the same cluster."""

    def __init__(self, handler: Handler, cluster: str, node_key: str) -> None:
        """Pass calls that name the cluster and its key on to ``handler``."""
        self._handler = handler
        self._cluster = cluster
        self._node_key = node_key

    async def Vote(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.VoteRequest, messages.VoteReply]
    ) -> None:
        """Answer a candidate."""
        await self._answer(stream, self._handler.vote)

    async def Append(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.AppendRequest, messages.AppendReply]
    ) -> None:
        """Answer the leader's entries."""
        await self._answer(stream, self._handler.append)

    async def Beat(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.BeatRequest, messages.BeatReply]
    ) -> None:
        """Answer a heartbeat."""
        await self._answer(stream, self._handler.beat)

    async def Install(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.InstallRequest, messages.InstallReply]
    ) -> None:
        """Answer a part of a snapshot."""
        await self._answer(stream, self._handler.install)

    async def Transfer(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.TransferRequest, messages.TransferReply]
    ) -> None:
        """Answer the leader that hands over."""
        await self._answer(stream, self._handler.transfer)

    async def _answer(
        self,
        stream: Stream[_Request, _Reply],
        handle: Callable[[_Request], Awaitable[_Reply]],
    ) -> None:
        metadata: Mapping[str, object] = stream.metadata or {}
        if metadata.get(_CLUSTER) != self._cluster:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f'This node belongs to cluster {self._cluster}; correct the '
                'address or the cluster in the settings.',
            )
        key = str(metadata.get(_NODE_KEY, ''))
        if not hmac.compare_digest(key.encode(), self._node_key.encode()):
            raise GRPCError(
                Status.PERMISSION_DENIED,
                'The node key is not that of this cluster; correct node_key.',
            )
        request = await stream.recv_message()
        if request is None:
            return
        try:
            reply = await handle(request)
        except UnavailableError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        await stream.send_message(reply)


def _unavailable(peer: Peer, error: Exception) -> UnavailableError:
    reason = str(error) or type(error).__name__
    return UnavailableError(
        f'{peer.node_id} at {peer.address} does not answer: {reason}. Check '
        'that it runs and that the network lets calls pass.'
    )
