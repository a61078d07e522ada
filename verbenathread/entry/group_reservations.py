"""Reservations over several engines, for prompts larger than one."""

import asyncio

from verbenathread.clock import seconds
from verbenathread.entry import hold_messages
from verbenathread.entry.background import Background
from verbenathread.entry.engine_owners import EngineOwners
from verbenathread.scheduling.groups import GroupClaim
from verbenathread.scheduling.ledger import START_WITHIN
from verbenathread.scheduling.messages import Ask
from verbenathread.schema import peer_pb2
from verbenathread.types import Reservation, UpstreamId

# Holds are renewed this often while the next engine is waited for.
_RENEW_MS = START_WITHIN // 3

_Outcome = Reservation | peer_pb2.ReserveReply


class GroupReservation:
    """Holds one engine after the other, in ascending order of all."""

    def __init__(self, claim: GroupClaim, owners: EngineOwners) -> None:
        """Take the claim that names the engines."""
        self._claim = claim
        self._owners = owners
        self._ask_by_id: dict[UpstreamId, Ask] = {}

    async def reserve(self) -> _Outcome:
        """Return the whole group's reservation, or the first refusal."""
        async with Background(self._renew_until_cancelled()):
            refusal = await self._reserve_each()
        if refusal is not None:
            return refusal
        return await self._renewed_whole()

    async def _reserve_each(self) -> peer_pb2.ReserveReply | None:
        while True:
            step = self._claim.next_ask()
            if step is None:
                return None
            upstream_id, ask = step
            outcome = await self._owners.reserve(
                upstream_id, ask, may_queue=True
            )
            if isinstance(outcome, peer_pb2.ReserveReply):
                return outcome
            self._ask_by_id[upstream_id] = ask
            self._claim.granted(outcome)

    async def _renewed_whole(self) -> _Outcome:
        """Give all holds one more time to start, now that all are there."""
        whole = self._claim.whole()
        start_by_each = []
        for outcome in await self._renew():
            if isinstance(outcome, peer_pb2.ReserveReply):
                return outcome
            start_by_each.append(outcome.start_by)
        if whole is None:
            return peer_pb2.ReserveReply(refusal=hold_messages.NOT_OWNER)
        return whole._replace(start_by=min(start_by_each))

    async def _renew(self) -> list[_Outcome]:
        # An ask that is sent again renews the time to start.
        return await asyncio.gather(
            *[
                self._owners.reserve(upstream_id, ask, may_queue=False)
                for upstream_id, ask in self._ask_by_id.items()
            ]
        )

    async def _renew_until_cancelled(self) -> None:
        while True:
            await asyncio.sleep(seconds(_RENEW_MS))
            await self._renew()
