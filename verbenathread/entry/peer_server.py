"""The gRPC service that an entry offers to the other entries of its cell."""

import socket
from collections.abc import Sequence
from typing import Protocol

import grpclib
from grpclib.server import Server, Stream

from verbenathread.entry.ledger_host import LedgerHost
from verbenathread.entry.reservation_stream import ReservationStreamServer
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.exceptions import UnavailableError
from verbenathread.membership.cell import Cell
from verbenathread.node_auth import NodeAuth
from verbenathread.schema import peer_grpc, peer_pb2
from verbenathread.types import Address, UpstreamId


class LocalHoldings(Protocol):
    """The reservations that this entry holds."""

    def at(self, upstream_id: UpstreamId) -> Sequence[peer_pb2.Holding]:
        """Return what is reserved at one engine."""


class PeerService(peer_grpc.PeerBase):
    """Handles the calls of the other entries."""

    def __init__(
        self,
        cell: Cell,
        host: LedgerHost,
        holdings: LocalHoldings,
        settings_store: SettingsStore,
    ) -> None:
        """Serve calls with the given parts of this entry."""
        self._cell = cell
        self._host = host
        self._holdings = holdings
        self._settings_store = settings_store

    async def Link(  # noqa: N802 - the name in the schema
        self, stream: Stream[peer_pb2.PeerMessage, peer_pb2.PeerReply]
    ) -> None:
        """Reply to the messages of one peer, in order."""
        while True:
            message = await stream.recv_message()
            if message is None:
                return
            try:
                reply = self._cell.handle_message(message)
            except UnavailableError as error:
                raise grpclib.GRPCError(
                    grpclib.Status.FAILED_PRECONDITION, str(error)
                ) from None
            await stream.send_message(reply)

    async def Reserve(  # noqa: N802 - the name in the schema
        self, stream: Stream[peer_pb2.ReserveRequest, peer_pb2.ReserveReply]
    ) -> None:
        """Serve reservation requests; every wait ends with the stream."""
        await ReservationStreamServer(self._host, stream).serve()

    async def Holdings(  # noqa: N802 - the name in the schema
        self, stream: Stream[peer_pb2.HoldingsRequest, peer_pb2.HoldingsReply]
    ) -> None:
        """Return to a new owner what is reserved at its engine."""
        request = await stream.recv_message()
        if request is not None:
            holdings = self._holdings.at(request.upstream_id)
            await stream.send_message(peer_pb2.HoldingsReply(holdings=holdings))

    async def FetchTree(  # noqa: N802 - the name in the schema
        self, stream: Stream[peer_pb2.FetchTreeRequest, peer_pb2.FetchTreeReply]
    ) -> None:
        """Return the shared settings in force at this entry."""
        request = await stream.recv_message()
        if request is not None:
            update = self._settings_store.update_since(request.revision)
            await stream.send_message(
                peer_pb2.FetchTreeReply(
                    revision=update.revision, branches=update.branches
                )
            )


class PeerServer:
    """Listens for calls of the other entries."""

    def __init__(self, service: PeerService, auth: NodeAuth) -> None:
        """Prepare to serve callers that ``auth`` accepts."""
        self._service = service
        self._auth = auth
        self._server: Server | None = None

    async def start(self, listener: socket.socket) -> None:
        """Serve on a bound socket."""
        self._server = Server([self._service])
        self._auth.guard(self._server)
        await self._server.start(sock=listener)

    async def stop(self) -> None:
        """Stop listening and end all calls."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None


def bound_socket(address: Address) -> socket.socket:
    """Return a socket bound to an address; port 0 takes any free port."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    # The event loop disables Nagle's algorithm only for sockets created with
    # IPPROTO_TCP; accepted sockets inherit this from the listener.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(tuple(address))
    return listener
