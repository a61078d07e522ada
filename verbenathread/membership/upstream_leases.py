"""Leases of upstreams, whose renewals may reach any entry of the cell.

A load balancer chooses the entry for each renewal, and renewals are not
gossiped. Each entry records when it last received a renewal of an upstream,
and one entry, the coordinator of the upstream, queries the others once its
own record grows old. It declares the lease expired only when every entry that
it can reach, and a majority of the cell, replied after the end of the lease
that they received no later renewal. So an isolated entry expires no lease.
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

# Fraction of a lease without a renewal after which the peers are queried.
_QUERY_AFTER_FRACTION = 0.5


class RenewalAge(NamedTuple):
    """A peer's reply about the last renewal of one upstream."""

    upstream_hash: int
    # Time since the last renewal that the peer received; None without one.
    age: Millis | None


class LeaseCheck(NamedTuple):
    """Result of one check of all leases."""

    # Hashes of the upstreams to query every peer about.
    queries: tuple[int, ...]
    expired: tuple[UpstreamRecord, ...]


class _LeaseWatch:
    """Lease of one upstream, as tracked by its coordinator."""

    def __init__(self, known_at: Millis, incarnation: int) -> None:
        self.renewed_at = known_at
        self.incarnation = incarnation
        # Peers that confirmed after the end of the lease that it expired.
        self.confirmed_ids: set[NodeId] = set()

    def record_renewal(self, renewed_at: Millis) -> None:
        """Record a renewal that some entry received."""
        if renewed_at > self.renewed_at:
            self.renewed_at = renewed_at
            self.confirmed_ids.clear()


class UpstreamLeases:
    """Finds upstreams that stopped renewing at all entries of a cell."""

    def __init__(
        self,
        node_id: NodeId,
        cell_size: int,
        table: UpstreamTable,
        lease_of: Callable[[str], Millis],
    ) -> None:
        """Watch ``table``; ``lease_of`` returns the lease of a service."""
        self._node_id = node_id
        self._majority = cell_size // 2 + 1
        self._table = table
        self._lease_of = lease_of
        self._renewed_at_by_id: dict[UpstreamId, Millis] = {}
        self._watch_by_id: dict[UpstreamId, _LeaseWatch] = {}
        self._preferred_nodes = PreferredNodeCache()

    def record_renewal(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Record a renewal that reached this node."""
        self._renewed_at_by_id[upstream_id] = now

    def renewal_age(self, upstream_hash: int, now: Millis) -> Millis | None:
        """Return the time since the last renewal received here, or None."""
        record = self._table.by_hash(upstream_hash)
        if record is None:
            return None
        renewed_at = self._renewed_at_by_id.get(record.upstream_id)
        return None if renewed_at is None else now - renewed_at

    def check(self, now: Millis, alive_ids: frozenset[NodeId]) -> LeaseCheck:
        """Return the queries to send to every peer and the expired leases."""
        queries = []
        expired = []
        for record in self._table:
            watch = self._watch(record, now, alive_ids)
            if watch is None:
                continue
            lease = self._lease_of(record.service)
            if now - watch.renewed_at >= lease * _QUERY_AFTER_FRACTION:
                queries.append(hash64(record.upstream_id))
            if now - watch.renewed_at >= lease:
                if self._is_expiry_confirmed(watch, alive_ids):
                    expired.append(record)
        return LeaseCheck(tuple(queries), tuple(expired))

    def handle_renewal_ages(
        self, peer_id: NodeId, ages: Iterable[RenewalAge], sent_at: Millis
    ) -> None:
        """Apply a peer's reply to queries sent at ``sent_at``."""
        for renewal in ages:
            record = self._table.by_hash(renewal.upstream_hash)
            if record is None or record.upstream_id not in self._watch_by_id:
                continue
            watch = self._watch_by_id[record.upstream_id]
            lease = self._lease_of(record.service)
            if renewal.age is not None:
                watch.record_renewal(sent_at - renewal.age)
            if sent_at >= watch.renewed_at + lease:
                watch.confirmed_ids.add(peer_id)

    def _is_expiry_confirmed(
        self, watch: _LeaseWatch, alive_ids: frozenset[NodeId]
    ) -> bool:
        confirmed_ids = watch.confirmed_ids | {self._node_id}
        if len(confirmed_ids) < self._majority:
            return False
        return confirmed_ids.issuperset(alive_ids)

    def _watch(
        self,
        record: UpstreamRecord,
        now: Millis,
        alive_ids: frozenset[NodeId],
    ) -> _LeaseWatch | None:
        """Return the watch if this node coordinates the lease, else None."""
        upstream_id = record.upstream_id
        if record.state is UpstreamState.GONE:
            self._renewed_at_by_id.pop(upstream_id, None)
            self._watch_by_id.pop(upstream_id, None)
            return None
        coordinator = self._preferred_nodes.get(
            upstream_id, alive_ids | {self._node_id}
        )
        if coordinator != self._node_id:
            self._watch_by_id.pop(upstream_id, None)
            return None
        watch = self._watch_by_id.get(upstream_id)
        if watch is None or watch.incarnation != record.incarnation:
            # A new coordinator has no renewals yet and waits for a full lease.
            watch = _LeaseWatch(now, record.incarnation)
            self._watch_by_id[upstream_id] = watch
        watch.record_renewal(
            self._renewed_at_by_id.get(upstream_id, watch.renewed_at)
        )
        return watch
