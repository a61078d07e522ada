"""Progress and releases on their way to the owners of engines.

One update is kept for each reservation, the newest; it stays until the
owner of the engine has taken it, also over a change of owner.
"""

import asyncio
from typing import NamedTuple, Protocol

from verbenathread.clock import seconds
from verbenathread.exceptions import UnavailableError
from verbenathread.membership.cell import Cell
from verbenathread.schema import peer_pb2
from verbenathread.types import Millis, NodeId, UpstreamId, UpstreamState

# Updates are gathered this long before they are sent.
_GATHER_MS = 20
# Pause after an owner could not be reached.
_RETRY_MS = 200
_CALL_MS = 1000


class OwnerCalls(Protocol):
    """Reaches the owner of an engine, in this process or another."""

    async def update_holds(
        self, owner_id: NodeId, updates: peer_pb2.HoldUpdates, limit: Millis
    ) -> peer_pb2.HoldUpdatesReply:
        """Tell an owner; raises :class:`UnavailableError`."""


class _Pending(NamedTuple):
    update: peer_pb2.HoldUpdate
    # Tells an update from a later one of the same reservation.
    number: int


class HoldOutbox:
    """Sends updates of holds, one batch an owner at a time."""

    def __init__(self, cell: Cell, calls: OwnerCalls) -> None:
        """Start with nothing to send."""
        self._cell = cell
        self._calls = calls
        self._pending_by_id: dict[str, _Pending] = {}
        self._number = 0
        self._changed = asyncio.Event()

    def __len__(self) -> int:
        """Return how many reservations have an update to send."""
        return len(self._pending_by_id)

    def put(self, update: peer_pb2.HoldUpdate) -> None:
        """Send an update soon; it includes what an earlier one told."""
        self._number += 1
        self._pending_by_id[update.reservation_id] = _Pending(
            update, self._number
        )
        self._changed.set()

    async def run(self) -> None:
        """Send whatever there is, until cancelled."""
        while True:
            await self._changed.wait()
            await asyncio.sleep(seconds(_GATHER_MS))
            self._changed.clear()
            if not await self.flush():
                await asyncio.sleep(seconds(_RETRY_MS))
                self._changed.set()

    async def flush(self) -> bool:
        """Send one batch to each owner; False if something is left."""
        batch_by_owner: dict[NodeId, list[_Pending]] = {}
        for key, pending in tuple(self._pending_by_id.items()):
            if self._is_gone(pending.update.upstream_id):
                self._pending_by_id.pop(key)
                continue
            owner_id = self._cell.engine_leases.owner(
                pending.update.upstream_id
            )
            if owner_id is not None:
                batch_by_owner.setdefault(owner_id, []).append(pending)
        await asyncio.gather(
            *[
                self._send(owner_id, batch)
                for owner_id, batch in batch_by_owner.items()
            ]
        )
        return not self._pending_by_id

    async def _send(self, owner_id: NodeId, batch: list[_Pending]) -> None:
        identity = self._cell.identity
        message = peer_pb2.HoldUpdates(
            node_id=identity.node_id, incarnation=identity.incarnation
        )
        message.updates.extend(pending.update for pending in batch)
        try:
            reply = await self._calls.update_holds(owner_id, message, _CALL_MS)
        except UnavailableError:
            return
        for pending in batch:
            if pending.update.upstream_id in reply.not_owned:
                continue
            key = pending.update.reservation_id
            if self._pending_by_id.get(key) == pending:
                self._pending_by_id.pop(key)

    def _is_gone(self, upstream_id: UpstreamId) -> bool:
        record = self._cell.table.get(upstream_id)
        return record is None or record.state is UpstreamState.GONE
