"""Reservations that span several engines, for prompts too large for one."""

import asyncio

from verbenathread.clock import seconds
from verbenathread.entry.background_task import BackgroundTask
from verbenathread.entry.engine_owners import EngineOwners
from verbenathread.scheduling.groups import GroupRequest
from verbenathread.scheduling.ledger import START_TIMEOUT
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.schema import peer_pb2
from verbenathread.types import Reservation, UpstreamId

# How often partial grants are renewed until the whole group is reserved.
_RENEW_MS = START_TIMEOUT // 3


class GroupReservation:
    """Requests memory from all owners at once and keeps the grants alive."""

    def __init__(self, group: GroupRequest, owners: EngineOwners) -> None:
        """Prepare to reserve the engines that ``group`` names."""
        self._group = group
        self._owners = owners
        self._refusal: peer_pb2.ReserveReply | None = None
        self._changed = asyncio.Event()

    async def reserve(self) -> Reservation | peer_pb2.ReserveReply:
        """Return the whole group's reservation, or the first refusal."""
        async with BackgroundTask(self._reserve_all()):
            while True:
                await self._changed.wait()
                self._changed.clear()
                reservation = self._group.complete_reservation()
                if reservation is not None:
                    return reservation
                if self._refusal is not None:
                    return self._refusal

    async def _reserve_all(self) -> None:
        await asyncio.gather(*map(self._reserve_one, self._group.members))

    async def _reserve_one(self, upstream_id: UpstreamId) -> None:
        """Hold memory of one engine until cancelled.

        If the owner yields it to another group, request it again.
        """
        request = self._group.member_request
        while True:
            outcome = await self._owners.reserve(
                upstream_id, request, may_queue=True
            )
            if isinstance(outcome, peer_pb2.ReserveReply):
                self._refusal = outcome
                self._changed.set()
                return
            self._group.record_grant(outcome)
            self._changed.set()
            request = await self._renew_until_lost(upstream_id)

    async def _renew_until_lost(
        self, upstream_id: UpstreamId
    ) -> ReservationRequest:
        while True:
            await asyncio.sleep(seconds(_RENEW_MS))
            # A repeated request extends the deadline for the start.
            outcome = await self._owners.reserve(
                upstream_id, self._group.member_request, may_queue=False
            )
            if isinstance(outcome, peer_pb2.ReserveReply):
                return self._group.record_loss(upstream_id)
            self._group.record_grant(outcome)
