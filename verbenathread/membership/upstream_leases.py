"""Leases of upstreams whose renewals reach any entry behind the balancer.

Renewals are not gossiped. Each entry remembers when it last heard an
upstream, and one entry, the keeper, asks the others for that moment when its
own knowledge grows old. It declares the lease ended only when every entry
that it can reach, and a majority of the cell, answered after the end that
they heard nothing later. So an entry that is cut off ends no lease.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from verbenathread.membership.hashing import PreferredNodeCache, hash64
from verbenathread.membership.upstreams import UpstreamTable
from verbenathread.types import (
    Millis,
    NodeId,
    UpstreamId,
    UpstreamRecord,
    UpstreamState,
)

# The keeper asks once this share of a lease has passed without a renewal.
_ASK_AFTER_SHARE = 0.5


class RenewalAge(NamedTuple):
    """What one peer answered about one upstream."""

    upstream_hash: int
    # Time since the peer last heard the upstream; None if it never did.
    age: Millis | None


class LeaseCheck(NamedTuple):
    """What one look at the leases came to."""

    # Hashes of the upstreams to ask every peer about.
    queries: tuple[int, ...]
    expired: tuple[UpstreamRecord, ...]


class _LeaseWatch:
    """What the keeper knows of the lease of one upstream."""

    def __init__(self, known_at: Millis, incarnation: int) -> None:
        self.renewed_at = known_at
        self.incarnation = incarnation
        # Peers that answered after the end of the lease, having heard nothing.
        self.confirmed_ids: set[NodeId] = set()

    def record_renewal(self, moment: Millis) -> None:
        """Note when some entry heard the upstream."""
        if moment > self.renewed_at:
            self.renewed_at = moment
            self.confirmed_ids.clear()


class UpstreamLeases:
    """Finds upstreams that stopped renewing, over all entries of a cell."""

    def __init__(
        self,
        node_id: NodeId,
        cell_size: int,
        table: UpstreamTable,
        lease_of: Callable[[str], Millis],
    ) -> None:
        """Take the table to watch and the lease of a service in ms."""
        self._node_id = node_id
        self._majority = cell_size // 2 + 1
        self._table = table
        self._lease_of = lease_of
        self._heard_at_by_id: dict[UpstreamId, Millis] = {}
        self._watch_by_id: dict[UpstreamId, _LeaseWatch] = {}
        self._preferences = PreferredNodeCache()

    def record_renewal(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Note a renewal that reached this node."""
        self._heard_at_by_id[upstream_id] = now

    def renewal_age(self, upstream_hash: int, now: Millis) -> Millis | None:
        """Return the time since this node heard an upstream, or None."""
        record = self._table.by_hash(upstream_hash)
        if record is None:
            return None
        heard_at = self._heard_at_by_id.get(record.upstream_id)
        return None if heard_at is None else now - heard_at

    def check(self, now: Millis, alive_ids: frozenset[NodeId]) -> LeaseCheck:
        """Return what to ask every peer about, and which leases ended."""
        asks = []
        ended = []
        for record in self._table:
            watch = self._watch(record, now, alive_ids)
            if watch is None:
                continue
            lease = self._lease_of(record.service)
            if now - watch.renewed_at >= lease * _ASK_AFTER_SHARE:
                asks.append(hash64(record.upstream_id))
            if now - watch.renewed_at >= lease:
                if self._all_silent(watch, alive_ids):
                    ended.append(record)
        return LeaseCheck(tuple(asks), tuple(ended))

    def handle_renewal_ages(
        self, peer_id: NodeId, answers: Iterable[RenewalAge], sent_at: Millis
    ) -> None:
        """Take a peer's answers to questions sent at ``sent_at``."""
        for answer in answers:
            record = self._table.by_hash(answer.upstream_hash)
            if record is None or record.upstream_id not in self._watch_by_id:
                continue
            watch = self._watch_by_id[record.upstream_id]
            lease = self._lease_of(record.service)
            if answer.age is not None:
                watch.record_renewal(sent_at - answer.age)
            if sent_at >= watch.renewed_at + lease:
                watch.confirmed_ids.add(peer_id)

    def _all_silent(
        self, watch: _LeaseWatch, alive_ids: frozenset[NodeId]
    ) -> bool:
        silent_ids = watch.confirmed_ids | {self._node_id}
        if len(silent_ids) < self._majority:
            return False
        return silent_ids.issuperset(alive_ids)

    def _watch(
        self,
        record: UpstreamRecord,
        now: Millis,
        alive_ids: frozenset[NodeId],
    ) -> _LeaseWatch | None:
        """Return the watch over a record, or None if another keeps it."""
        upstream_id = record.upstream_id
        if record.state is UpstreamState.GONE:
            self._heard_at_by_id.pop(upstream_id, None)
            self._watch_by_id.pop(upstream_id, None)
            return None
        keeper = self._preferences.get(upstream_id, alive_ids | {self._node_id})
        if keeper != self._node_id:
            self._watch_by_id.pop(upstream_id, None)
            return None
        watch = self._watch_by_id.get(upstream_id)
        if watch is None or watch.incarnation != record.incarnation:
            # A new keeper has heard nothing yet and allows a whole lease.
            watch = _LeaseWatch(now, record.incarnation)
            self._watch_by_id[upstream_id] = watch
        watch.record_renewal(
            self._heard_at_by_id.get(upstream_id, watch.renewed_at)
        )
        return watch
