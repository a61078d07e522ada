"""Calls to the owners of engines, in this process or in a peer's."""

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

# An owner that does not queue an ask answers it within this time.
_QUICK_MS = 1000
# Time that a waiting ask may outlast its deadline on the way back.
_SLACK_MS = 1000
_HOLDINGS_MS = 500
# How often the owner in whose queue an ask waits is looked at.
_SILENCE_STEP_MS = 250


class EngineOwners:
    """Finds the owner of an engine and asks it."""

    def __init__(
        self,
        cell: Cell,
        host: LedgerHost,
        channels: PeerCalls,
        clock: Clock,
    ) -> None:
        """Take the owner side of this process and the way to the others."""
        self._cell = cell
        self._host = host
        self._channels = channels
        self._clock = clock

    async def reserve(
        self,
        upstream_id: UpstreamId,
        ask: ReservationRequest,
        *,
        may_queue: bool,
    ) -> Reservation | peer_pb2.ReserveReply:
        """Ask the owner; a reply that is returned is a refusal."""
        identity = self._cell.identity
        now = self._clock.now()
        request = reservation_messages.encode_request(
            upstream_id, ask, identity.incarnation, now
        )
        request.may_queue = may_queue
        owner_id = self._cell.engine_leases.owner(upstream_id)
        if owner_id is None:
            return reservation_messages.not_owner_reply('No entry', upstream_id)
        limit = _QUICK_MS
        if may_queue:
            limit = max(0, ask.work.deadline - now) + _SLACK_MS
        try:
            reply = await self._ask(owner_id, request, limit)
        except UnavailableError:
            return reservation_messages.not_owner_reply(owner_id, upstream_id)
        if reply.refusal:
            return reply
        return self._reservation(owner_id, upstream_id, ask, reply)

    async def holdings_at(
        self, upstream_id: UpstreamId
    ) -> Sequence[peer_pb2.Holding]:
        """Return what living peers reserved at one engine."""
        request = peer_pb2.HoldingsRequest(upstream_id=upstream_id)
        replies = await asyncio.gather(
            *[
                self._channels.holdings(peer_id, request, _HOLDINGS_MS)
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

    async def _ask(
        self, owner_id: NodeId, request: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        if owner_id == self._cell.identity.node_id:
            return await self._host.reserve(request)
        call = asyncio.create_task(
            self._channels.reserve(owner_id, request, limit)
        )
        async with BackgroundTask(self._cancel_when_silent(owner_id, call)):
            try:
                await asyncio.wait([call])
            except asyncio.CancelledError:
                call.cancel()
                raise
        if call.cancelled():
            raise PeerUnreachableError(
                f'{owner_id} was not heard lately: see whether it runs'
            )
        return call.result()

    async def _cancel_when_silent(
        self, owner_id: NodeId, call: asyncio.Task[peer_pb2.ReserveReply]
    ) -> None:
        """End a wait in the queue of an owner that fell silent."""
        view = self._cell.views.by_id[owner_id]
        while view.alive(self._clock.now()):
            await asyncio.sleep(seconds(_SILENCE_STEP_MS))
        call.cancel()

    def _reservation(
        self,
        owner_id: NodeId,
        upstream_id: UpstreamId,
        ask: ReservationRequest,
        reply: peer_pb2.ReserveReply,
    ) -> Reservation | peer_pb2.ReserveReply:
        start_by: Millis | None = reply.start_by_ms
        if owner_id != self._cell.identity.node_id:
            view = self._cell.views.by_id[owner_id]
            start_by = None
            if view.incarnation == reply.owner_incarnation:
                start_by = view.earliest_local(reply.start_by_ms)
        if start_by is None or start_by <= self._clock.now():
            # Too late to use: the owner takes the memory back by itself.
            return reservation_messages.not_owner_reply(owner_id, upstream_id)
        return Reservation(
            reservation_id=reply.reservation_id,
            attempt_id=ask.attempt_id,
            upstream_ids=(upstream_id,),
            memory_tokens=reply.memory_tokens,
            start_by=start_by,
            priority=reply.priority,
        )
