"""Reservations over several engines, for prompts larger than one."""

import asyncio

from verbenathread.clock import seconds
from verbenathread.entry.background_task import BackgroundTask
from verbenathread.entry.engine_owners import EngineOwners
from verbenathread.scheduling.groups import GroupRequest
from verbenathread.scheduling.ledger import START_TIMEOUT
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.schema import peer_pb2
from verbenathread.types import Reservation, UpstreamId

# Holds are renewed this often until the whole group is held.
_RENEW_MS = START_TIMEOUT // 3


class GroupReservation:
    """Asks the owners of all engines at once, and keeps what they grant."""

    def __init__(self, claim: GroupRequest, owners: EngineOwners) -> None:
        """Take the claim that names the engines."""
        self._claim = claim
        self._owners = owners
        self._refusal: peer_pb2.ReserveReply | None = None
        self._changed = asyncio.Event()

    async def reserve(self) -> Reservation | peer_pb2.ReserveReply:
        """Return the whole group's reservation, or the first refusal."""
        async with BackgroundTask(self._hold_all()):
            while True:
                await self._changed.wait()
                self._changed.clear()
                whole = self._claim.complete_reservation()
                if whole is not None:
                    return whole
                if self._refusal is not None:
                    return self._refusal

    async def _hold_all(self) -> None:
        await asyncio.gather(*map(self._hold, self._claim.members))

    async def _hold(self, upstream_id: UpstreamId) -> None:
        """Hold one engine until cancelled; ask again when it yielded."""
        ask = self._claim.member_request
        while True:
            outcome = await self._owners.reserve(
                upstream_id, ask, may_queue=True
            )
            if isinstance(outcome, peer_pb2.ReserveReply):
                self._refusal = outcome
                self._changed.set()
                return
            self._claim.record_grant(outcome)
            self._changed.set()
            ask = await self._renew_until_lost(upstream_id)

    async def _renew_until_lost(
        self, upstream_id: UpstreamId
    ) -> ReservationRequest:
        while True:
            await asyncio.sleep(seconds(_RENEW_MS))
            # An ask that is sent again renews the time to start.
            outcome = await self._owners.reserve(
                upstream_id, self._claim.member_request, may_queue=False
            )
            if isinstance(outcome, peer_pb2.ReserveReply):
                return self._claim.record_loss(upstream_id)
            self._claim.record_grant(outcome)
