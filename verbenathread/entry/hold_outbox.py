"""Progress and releases on their way to the owners of engines.

One update is kept for each reservation, the newest; it stays until the
owner of the engine has taken it, also over a change of owner. Updates for
peers travel with the messages of the cell. A release goes at once, and so
does the first token, from whose moment the owner learns how fast the engine
is; all else goes with the next message.
"""

import asyncio
from typing import NamedTuple

from verbenathread.clock import seconds
from verbenathread.entry.ledger_host import LedgerHost
from verbenathread.membership.cell import Cell
from verbenathread.scheduling.holds import reservation_id
from verbenathread.schema import peer_pb2
from verbenathread.types import NodeId, UpstreamState

# Updates without an owner to take them are looked at this often.
_STEP_MS = 200


class _Pending(NamedTuple):
    update: peer_pb2.HoldUpdate
    urgent: bool
    # Tells an update from a later one of the same reservation.
    number: int


class HoldOutbox:
    """Sends updates of holds; rides on the messages of the cell."""

    def __init__(self, host: LedgerHost, cell: Cell) -> None:
        """Start with nothing to send; ``host`` takes what is owned here."""
        self._host = host
        self._cell = cell
        self._pending_by_id: dict[str, _Pending] = {}
        self._sent_by_peer: dict[NodeId, dict[str, int]] = {}
        self._number = 0

    def __len__(self) -> int:
        """Return how many reservations have an update to send."""
        return len(self._pending_by_id)

    def put(self, update: peer_pb2.HoldUpdate, *, urgent: bool = False) -> None:
        """Send an update soon; it includes what an earlier one told."""
        self._number += 1
        pending = _Pending(update, urgent, self._number)
        self._pending_by_id[_key(update)] = pending
        self._push(pending)

    def compose(self, peer_id: NodeId, message: peer_pb2.PeerMessage) -> None:
        """Put in the updates whose engines the peer owns."""
        sent = {}
        for key, pending in self._pending_by_id.items():
            if self._owner(pending) == peer_id:
                message.hold_updates.append(pending.update)
                sent[key] = pending.number
        self._sent_by_peer[peer_id] = sent

    def answer(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Take the updates of a peer."""
        for update in message.hold_updates:
            if not self._host.update(update):
                reply.not_owned.append(update.upstream_id)

    def absorb(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Drop what the peer has taken."""
        not_owned = frozenset(reply.not_owned)
        sent = self._sent_by_peer.get(peer_id, {})
        for key, number in sent.items():
            pending = self._pending_by_id.get(key)
            if pending is None or pending.number != number:
                continue
            if pending.update.upstream_id not in not_owned:
                self._pending_by_id.pop(key)

    async def run(self) -> None:
        """Try again what no owner has taken, until cancelled."""
        while True:
            self.flush()
            await asyncio.sleep(seconds(_STEP_MS))

    def flush(self) -> None:
        """Try to pass on whatever there is."""
        for pending in tuple(self._pending_by_id.values()):
            self._push(pending)

    def _push(self, pending: _Pending) -> None:
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
    return reservation_id(update.upstream_id, update.attempt_id)
