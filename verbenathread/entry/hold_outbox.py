"""Delivers progress and releases of reservations to the owners of engines.

Only the newest update of each reservation is kept, until the owner of the
engine has accepted it, even if the owner changes. Updates for peers are added
to the messages of the cell. Two kinds are sent at once: a release, and the
first token, whose time tells the owner how fast the engine is. All others wait
for the next message.
"""

import asyncio
from typing import NamedTuple

from verbenathread.clock import seconds
from verbenathread.entry.ledger_host import LedgerHost
from verbenathread.membership.cell import Cell
from verbenathread.scheduling.holds import make_reservation_id
from verbenathread.schema import peer_pb2
from verbenathread.types import NodeId, UpstreamState

# How often updates that no owner has accepted are tried again.
_RETRY_INTERVAL_MS = 200


class _Pending(NamedTuple):
    update: peer_pb2.HoldUpdate
    urgent: bool
    # Distinguishes updates of the same reservation.
    number: int


class HoldOutbox:
    """Queues updates of reservations and adds them to cell messages."""

    def __init__(self, host: LedgerHost, cell: Cell) -> None:
        """Start empty; ``host`` accepts updates of engines owned here."""
        self._host = host
        self._cell = cell
        self._pending_by_id: dict[str, _Pending] = {}
        self._sent_by_peer: dict[NodeId, dict[str, int]] = {}
        self._number = 0

    def __len__(self) -> int:
        """Return the number of reservations with a pending update."""
        return len(self._pending_by_id)

    def put(self, update: peer_pb2.HoldUpdate, *, urgent: bool = False) -> None:
        """Queue an update, which replaces the previous one.

        An update contains everything that the previous one reported.
        """
        self._number += 1
        pending = _Pending(update, urgent, self._number)
        self._pending_by_id[_key(update)] = pending
        self._deliver(pending)

    def fill_message(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> None:
        """Add the updates whose engines the peer owns."""
        sent = {}
        for key, pending in self._pending_by_id.items():
            if self._owner(pending) == peer_id:
                message.hold_updates.append(pending.update)
                sent[key] = pending.number
        self._sent_by_peer[peer_id] = sent

    def handle_message(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Apply the updates of a peer."""
        for update in message.hold_updates:
            if not self._host.update(update):
                reply.not_owned.append(update.upstream_id)

    def handle_reply(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Drop the updates that the peer has accepted."""
        not_owned = frozenset(reply.not_owned)
        sent = self._sent_by_peer.get(peer_id, {})
        for key, number in sent.items():
            pending = self._pending_by_id.get(key)
            if pending is None or pending.number != number:
                continue
            if pending.update.upstream_id not in not_owned:
                self._pending_by_id.pop(key)

    async def run(self) -> None:
        """Retry the updates that no owner has accepted, until cancelled."""
        while True:
            self.flush()
            await asyncio.sleep(seconds(_RETRY_INTERVAL_MS))

    def flush(self) -> None:
        """Try to deliver all pending updates."""
        for pending in tuple(self._pending_by_id.values()):
            self._deliver(pending)

    def _deliver(self, pending: _Pending) -> None:
        update = pending.update
        owner_id = self._owner(pending)
        record = self._cell.table.get(update.upstream_id)
        if record is None or record.state is UpstreamState.GONE:
            self._pending_by_id.pop(_key(update))
        elif owner_id == self._cell.identity.node_id:
            if self._host.update(update):
                self._pending_by_id.pop(_key(update))
        elif owner_id is not None and pending.urgent:
            self._cell.wake(owner_id)

    def _owner(self, pending: _Pending) -> NodeId | None:
        return self._cell.engine_leases.owner(pending.update.upstream_id)


def _key(update: peer_pb2.HoldUpdate) -> str:
    return make_reservation_id(update.upstream_id, update.attempt_id)
