"""Gossip of upstream records between the entries of a cell.

Each node keeps, for each peer, the identifiers of records that the peer has
not confirmed yet. A message carries those records and its reply confirms
them, so a lost message delays an update but doesn't lose it. A node that
receives a new record passes it on. Each message carries a digest; when the
digests of two nodes stay unequal, the nodes compare the ranks of all their
records (anti-entropy, Demers et al. 1987).
"""

from collections.abc import Callable, Iterable

from verbenathread.membership import wire
from verbenathread.membership.upstreams import UpstreamTable
from verbenathread.schema import peer_pb2
from verbenathread.types import Millis, NodeId, UpstreamId, UpstreamRecord

_MAX_RECORDS_PER_MESSAGE = 200
# Replies with a different digest, while no record is pending, after which the
# ranks are compared.
_MAX_DIGEST_MISMATCHES = 2


class _PeerState:
    """Unconfirmed records and digest mismatches of one peer."""

    def __init__(self) -> None:
        self.pending: dict[UpstreamId, None] = {}
        self.digest_mismatches = 0


class Gossip:
    """Exchanges upstream records with each peer."""

    def __init__(
        self,
        table: UpstreamTable,
        peer_ids: Iterable[NodeId],
        wake: Callable[[NodeId], None],
    ) -> None:
        """Share ``table``; ``wake`` is called with a peer that has updates."""
        self._table = table
        self._wake = wake
        self._state_by_peer = {peer_id: _PeerState() for peer_id in peer_ids}

    def enqueue(self, upstream_id: UpstreamId) -> None:
        """Queue one record for every peer."""
        for peer_id, state in self._state_by_peer.items():
            state.pending[upstream_id] = None
            self._wake(peer_id)

    def confirmed_ids(self, upstream_id: UpstreamId) -> frozenset[NodeId]:
        """Return the peers that confirmed the current record."""
        return frozenset(
            peer_id
            for peer_id, state in self._state_by_peer.items()
            if upstream_id not in state.pending
        )

    def fill_message(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> None:
        """Add pending records, the digest and, if due, all ranks."""
        state = self._state_by_peer[peer_id]
        for upstream_id in tuple(state.pending)[:_MAX_RECORDS_PER_MESSAGE]:
            record = self._table.get(upstream_id)
            if record is None:
                state.pending.pop(upstream_id)
                continue
            message.news.append(wire.encode_record(record))
        message.digest = self._table.digest()
        if state.digest_mismatches >= _MAX_DIGEST_MISMATCHES:
            state.digest_mismatches = 0
            message.summary.extend(map(wire.encode_key, self._table.summary()))

    def handle_message(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
        now: Millis,
    ) -> tuple[UpstreamRecord, ...]:
        """Apply a peer's message and fill the reply; return the new records."""
        merged = self._merge(peer_id, message.news, now)
        if message.summary:
            ranks = map(wire.decode_key, message.summary)
            diff = self._table.compare(ranks)
            reply.wanted.extend(diff.newer_remote)
            reply.news.extend(map(wire.encode_record, diff.newer_local))
        reply.digest = self._table.digest()
        return merged

    def handle_reply(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
        now: Millis,
    ) -> tuple[UpstreamRecord, ...]:
        """Apply the reply to a message; return the new records."""
        state = self._state_by_peer[peer_id]
        for news in message.news:
            self._confirm(peer_id, wire.decode_record(news))
        merged = self._merge(peer_id, reply.news, now)
        for upstream_id in reply.wanted:
            if self._table.get(upstream_id) is not None:
                state.pending[upstream_id] = None
        if state.pending or reply.digest == self._table.digest():
            state.digest_mismatches = 0
        else:
            state.digest_mismatches += 1
        return merged

    def _merge(
        self,
        peer_id: NodeId,
        messages: Iterable[peer_pb2.UpstreamNews],
        now: Millis,
    ) -> tuple[UpstreamRecord, ...]:
        merged = []
        for news in messages:
            record = wire.decode_record(news)
            if self._table.merge(record, now):
                merged.append(record)
                self.enqueue(record.upstream_id)
            self._confirm(peer_id, record)
        return tuple(merged)

    def _confirm(self, peer_id: NodeId, record: UpstreamRecord) -> None:
        """Record that a peer has a record, unless a newer one is held here."""
        if self._table.get(record.upstream_id) == record:
            pending = self._state_by_peer[peer_id].pending
            pending.pop(record.upstream_id, None)
