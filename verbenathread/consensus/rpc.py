"""RPC between replicas over grpclib.

Each call carries the cluster name and the node key as metadata, has a timeout
and uses the single channel kept for its peer.
"""

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
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel, call_within
from verbenathread.schema import consensus_pb2 as messages
from verbenathread.schema.consensus_grpc import ConsensusBase, ConsensusStub
from verbenathread.types import Millis, Peer

_CLUSTER = 'x-cluster'
_NODE_KEY = 'x-node-key'
_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


class RpcTransport:
    """Calls other replicas, with one channel per peer."""

    def __init__(self, cluster: str, node_key: str) -> None:
        """Send the cluster name and the node key with every call."""
        self._metadata = ((_CLUSTER, cluster), (_NODE_KEY, node_key))
        self._channel_by_peer: dict[Peer, Channel] = {}

    async def vote(
        self, peer: Peer, request: messages.VoteRequest, limit: Millis
    ) -> messages.VoteReply:
        """Request a vote or a pre-vote."""
        stub = self._stub(peer)
        try:
            return await self._call(peer, stub.Vote, request, limit)
        except UnavailableError:
            self._discard_channel(peer)
            raise

    async def append(
        self, peer: Peer, request: messages.AppendRequest, limit: Millis
    ) -> messages.AppendReply:
        """Send log entries."""
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
            self._discard_channel(peer)
            raise

    async def install(
        self, peer: Peer, request: messages.InstallRequest, limit: Millis
    ) -> messages.InstallReply:
        """Send a snapshot chunk."""
        stub = self._stub(peer)
        return await self._call(peer, stub.Install, request, limit)

    async def transfer(
        self, peer: Peer, request: messages.TransferRequest, limit: Millis
    ) -> messages.TransferReply:
        """Ask the peer to start an election immediately."""
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

    def _discard_channel(self, peer: Peer) -> None:
        """Close the channel so that the next call reconnects.

        After a long network partition, TCP backoff on the old connection would
        delay the next packet by minutes. Only vote and heartbeat calls do
        this: an append or a snapshot may just be waiting for a slow sync.
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
            # Also bounds a connection attempt that never completes.
            return await call_within(
                method(
                    request, timeout=seconds(limit), metadata=self._metadata
                ),
                limit,
            )
        except RPC_ERRORS as error:
            raise _unavailable(peer, error) from error


class ConsensusService(ConsensusBase):
    """Serves calls from other replicas of the same cluster."""

    def __init__(self, handler: Handler, cluster: str, node_key: str) -> None:
        """Pass calls with the matching cluster and key to ``handler``."""
        self._handler = handler
        self._cluster = cluster
        self._node_key = node_key

    async def Vote(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.VoteRequest, messages.VoteReply]
    ) -> None:
        """Handle a vote request."""
        await self._serve(stream, self._handler.vote)

    async def Append(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.AppendRequest, messages.AppendReply]
    ) -> None:
        """Handle entries from the leader."""
        await self._serve(stream, self._handler.append)

    async def Beat(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.BeatRequest, messages.BeatReply]
    ) -> None:
        """Handle a heartbeat."""
        await self._serve(stream, self._handler.beat)

    async def Install(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.InstallRequest, messages.InstallReply]
    ) -> None:
        """Handle a snapshot chunk."""
        await self._serve(stream, self._handler.install)

    async def Transfer(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.TransferRequest, messages.TransferReply]
    ) -> None:
        """Handle a leadership transfer."""
        await self._serve(stream, self._handler.transfer)

    async def _serve(
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
