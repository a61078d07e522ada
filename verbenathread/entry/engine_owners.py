"""Calls to the owners of engines, in this process or on a peer."""

import asyncio
from collections.abc import Sequence

from verbenathread.clock import Clock, seconds
from verbenathread.entry import reservation_messages
from verbenathread.entry.background_task import BackgroundTask
from verbenathread.entry.ledger_host import LedgerHost
from verbenathread.entry.peer_channels import PeerCalls
from verbenathread.exceptions import UnavailableError
from verbenathread.membership.cell import Cell, PeerUnreachableError
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.schema import peer_pb2
from verbenathread.types import Millis, NodeId, Reservation, UpstreamId

# Timeout of a request that must not queue.
_IMMEDIATE_TIMEOUT_MS = 1000
# How long after the deadline of a queued request its reply may arrive.
_REPLY_SLACK_MS = 1000
_HOLDINGS_TIMEOUT_MS = 500
# How often to check that the owner of the queue is still alive.
_LIVENESS_CHECK_MS = 250


class EngineOwners:
    """Looks up the owner of an engine and sends it reservation requests."""

    def __init__(
        self,
        cell: Cell,
        host: LedgerHost,
        channels: PeerCalls,
        clock: Clock,
    ) -> None:
        """Use ``host`` for engines owned here, ``channels`` for the rest."""
        self._cell = cell
        self._host = host
        self._channels = channels
        self._clock = clock

    async def reserve(
        self,
        upstream_id: UpstreamId,
        request: ReservationRequest,
        *,
        may_queue: bool,
    ) -> Reservation | peer_pb2.ReserveReply:
        """Request memory from the owner; a returned reply is a refusal."""
        identity = self._cell.identity
        now = self._clock.now()
        message = reservation_messages.encode_request(
            upstream_id, request, identity.incarnation, now
        )
        message.may_queue = may_queue
        owner_id = self._cell.engine_leases.owner(upstream_id)
        if owner_id is None:
            return reservation_messages.not_owner_reply('No entry', upstream_id)
        limit = _IMMEDIATE_TIMEOUT_MS
        if may_queue:
            limit = max(0, request.work.deadline - now) + _REPLY_SLACK_MS
        try:
            reply = await self._call(owner_id, message, limit)
        except UnavailableError:
            return reservation_messages.not_owner_reply(owner_id, upstream_id)
        if reply.refusal:
            return reply
        return self._reservation(owner_id, upstream_id, request, reply)

    async def holdings_at(
        self, upstream_id: UpstreamId
    ) -> Sequence[peer_pb2.Holding]:
        """Return what the live peers have reserved at one engine."""
        request = peer_pb2.HoldingsRequest(upstream_id=upstream_id)
        replies = await asyncio.gather(
            *[
                self._channels.holdings(peer_id, request, _HOLDINGS_TIMEOUT_MS)
                for peer_id in self._cell.views.alive_ids(self._clock.now())
            ],
            return_exceptions=True,
        )
        return tuple(
            holding
            for reply in replies
            if isinstance(reply, peer_pb2.HoldingsReply)
            for holding in reply.holdings
        )

    async def _call(
        self, owner_id: NodeId, message: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        if owner_id == self._cell.identity.node_id:
            return await self._host.reserve(message)
        call = asyncio.create_task(
            self._channels.reserve(owner_id, message, limit)
        )
        async with BackgroundTask(self._cancel_when_dead(owner_id, call)):
            try:
                await asyncio.wait([call])
            except asyncio.CancelledError:
                call.cancel()
                raise
        if call.cancelled():
            raise PeerUnreachableError(
                f'no recent message from {owner_id}: check that it is running'
            )
        return call.result()

    async def _cancel_when_dead(
        self, owner_id: NodeId, call: asyncio.Task[peer_pb2.ReserveReply]
    ) -> None:
        """Cancel a call when its owner stops sending messages."""
        view = self._cell.views.by_id[owner_id]
        while view.is_alive(self._clock.now()):
            await asyncio.sleep(seconds(_LIVENESS_CHECK_MS))
        call.cancel()

    def _reservation(
        self,
        owner_id: NodeId,
        upstream_id: UpstreamId,
        request: ReservationRequest,
        reply: peer_pb2.ReserveReply,
    ) -> Reservation | peer_pb2.ReserveReply:
        start_by: Millis | None = reply.start_by_ms
        if owner_id != self._cell.identity.node_id:
            view = self._cell.views.by_id[owner_id]
            start_by = None
            if view.incarnation == reply.owner_incarnation:
                start_by = view.earliest_local_time(reply.start_by_ms)
        if start_by is None or start_by <= self._clock.now():
            # Too late to use: the owner reclaims the memory by itself.
            return reservation_messages.not_owner_reply(owner_id, upstream_id)
        return Reservation(
            reservation_id=reply.reservation_id,
            attempt_id=request.attempt_id,
            upstream_ids=(upstream_id,),
            memory_tokens=reply.memory_tokens,
            start_by=start_by,
            priority=reply.priority,
        )
