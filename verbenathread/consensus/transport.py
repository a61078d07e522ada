"""What a replica needs of its network, and what it answers there."""

from typing import Protocol

from verbenathread.schema import consensus_pb2
from verbenathread.types import Millis, Peer


class Transport(Protocol):
    """Calls to other replicas.

    A call ends within ``limit`` ms. UnavailableError means that no answer
    came; the other side may have acted all the same.
    """

    async def vote(
        self, peer: Peer, request: consensus_pb2.VoteRequest, limit: Millis
    ) -> consensus_pb2.VoteReply:
        """Ask for a vote."""

    async def append(
        self, peer: Peer, request: consensus_pb2.AppendRequest, limit: Millis
    ) -> consensus_pb2.AppendReply:
        """Send entries of the log."""

    async def beat(
        self, peer: Peer, request: consensus_pb2.BeatRequest, limit: Millis
    ) -> consensus_pb2.BeatReply:
        """Send a heartbeat."""

    async def install(
        self, peer: Peer, request: consensus_pb2.InstallRequest, limit: Millis
    ) -> consensus_pb2.InstallReply:
        """Send a part of a snapshot."""

    async def transfer(
        self, peer: Peer, request: consensus_pb2.TransferRequest, limit: Millis
    ) -> consensus_pb2.TransferReply:
        """Ask the peer to stand for election at once."""


class Handler(Protocol):
    """The answering side of :class:`Transport`."""

    async def vote(
        self, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Give or refuse a vote."""

    async def append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Take entries of the log."""

    async def beat(
        self, request: consensus_pb2.BeatRequest
    ) -> consensus_pb2.BeatReply:
        """Take a heartbeat."""

    async def install(
        self, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.InstallReply:
        """Take a part of a snapshot."""

    async def transfer(
        self, request: consensus_pb2.TransferRequest
    ) -> consensus_pb2.TransferReply:
        """Stand for election at once."""
