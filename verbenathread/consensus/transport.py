"""Interfaces for sending and handling calls between replicas."""

from typing import Protocol

from verbenathread.schema import consensus_pb2
from verbenathread.types import Millis, Peer


class Transport(Protocol):
    """Calls to other replicas.

    A call ends within ``limit`` ms. UnavailableError means that no reply
    arrived; the peer may have processed the request all the same.
    """

    async def vote(
        self, peer: Peer, request: consensus_pb2.VoteRequest, limit: Millis
    ) -> consensus_pb2.VoteReply:
        """Request a vote or a pre-vote."""

    async def append(
        self, peer: Peer, request: consensus_pb2.AppendRequest, limit: Millis
    ) -> consensus_pb2.AppendReply:
        """Send log entries."""

    async def beat(
        self, peer: Peer, request: consensus_pb2.BeatRequest, limit: Millis
    ) -> consensus_pb2.BeatReply:
        """Send a heartbeat."""

    async def install(
        self, peer: Peer, request: consensus_pb2.InstallRequest, limit: Millis
    ) -> consensus_pb2.InstallReply:
        """Send a snapshot chunk."""

    async def transfer(
        self, peer: Peer, request: consensus_pb2.TransferRequest, limit: Millis
    ) -> consensus_pb2.TransferReply:
        """Ask the peer to start an election immediately."""


class Handler(Protocol):
    """The receiving side of :class:`Transport`."""

    async def vote(
        self, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Grant or refuse a vote or a pre-vote."""

    async def append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Handle log entries."""

    async def beat(
        self, request: consensus_pb2.BeatRequest
    ) -> consensus_pb2.BeatReply:
        """Handle a heartbeat."""

    async def install(
        self, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.InstallReply:
        """Handle a snapshot chunk."""

    async def transfer(
        self, request: consensus_pb2.TransferRequest
    ) -> consensus_pb2.TransferReply:
        """Start an election immediately."""
