"""Table of all known upstreams, merged from the records of all nodes."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from verbenathread.membership.hashing import hash64
from verbenathread.types import (
    Millis,
    UpstreamId,
    UpstreamRecord,
    UpstreamState,
)

# How long the record of a gone upstream is kept, so that an older record
# from a peer that was isolated can't restore it.
TOMBSTONE_TTL_MS = 3_600_000


class UpstreamKey(NamedTuple):
    """Rank of one record, without its details."""

    upstream_id: UpstreamId
    incarnation: int
    state: int
    version: int
    # Hash of the whole record; orders records that are otherwise equal.
    check: int


class TableDiff(NamedTuple):
    """Records in which two tables differ."""

    # Records that the other table lacks or has in an older version.
    newer_local: tuple[UpstreamRecord, ...]
    # Identifiers of records that the other table has in a newer version.
    newer_remote: tuple[UpstreamId, ...]


def record_checksum(record: UpstreamRecord) -> int:
    """Return a hash of the whole record that is the same on every node."""
    return hash64(repr(tuple(record)))


def record_key(record: UpstreamRecord) -> UpstreamKey:
    """Return the rank of a record."""
    return UpstreamKey(
        record.upstream_id,
        record.incarnation,
        int(record.state),
        record.version,
        record_checksum(record),
    )


def _outranks(key: UpstreamKey, other: UpstreamKey | None) -> bool:
    """Return whether a node whose record ranks ``other`` needs this one.

    A node that never had the upstream needs no record of its end.
    """
    if other is None:
        return key.state != UpstreamState.GONE
    return key > other


class UpstreamTable:
    """Upstream records by identifier; the record of greater rank wins.

    Only one thread changes a table. Other threads may call :meth:`get` and
    :meth:`ready`, which read immutable values that are replaced as a whole.
    """

    def __init__(self) -> None:
        """Start with an empty table."""
        self._record_by_id: dict[UpstreamId, UpstreamRecord] = {}
        self._key_by_id: dict[UpstreamId, UpstreamKey] = {}
        self._id_by_hash: dict[int, UpstreamId] = {}
        self._gone_at_by_id: dict[UpstreamId, Millis] = {}
        self._ready_by_service: dict[str, tuple[UpstreamRecord, ...]] = {}
        self._digest = 0

    def __iter__(self) -> Iterator[UpstreamRecord]:
        """Iterate over all records, whatever their state."""
        return iter(tuple(self._record_by_id.values()))

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_id)

    def get(self, upstream_id: UpstreamId) -> UpstreamRecord | None:
        """Return one upstream, whatever its state, or None."""
        return self._record_by_id.get(upstream_id)

    def by_hash(self, upstream_hash: int) -> UpstreamRecord | None:
        """Return the upstream whose identifier has this hash, or None."""
        upstream_id = self._id_by_hash.get(upstream_hash)
        return None if upstream_id is None else self.get(upstream_id)

    def ready(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of a service that accept new requests."""
        return self._ready_by_service.get(service, ())

    def digest(self) -> int:
        """Return the XOR of the checksums of all records that aren't gone.

        Gone records matter only to a peer that still has them in an earlier
        state, and nodes may drop them at different times.
        """
        return self._digest

    def summary(self) -> tuple[UpstreamKey, ...]:
        """Return the rank of every record."""
        return tuple(self._key_by_id.values())

    def key(self, upstream_id: UpstreamId) -> UpstreamKey | None:
        """Return the rank of one record, or None."""
        return self._key_by_id.get(upstream_id)

    def merge(self, record: UpstreamRecord, now: Millis) -> bool:
        """Store a record if it outranks the held one; return whether it did.

        A leave that arrived before the announcement carries no details; the
        ones held here are kept, in a version that outranks it.
        """
        record = self._with_details(record)
        key = record_key(record)
        held_key = self._key_by_id.get(record.upstream_id)
        if held_key is not None and key <= held_key:
            return False
        self._put(record, key, now)
        return True

    def announce(self, record: UpstreamRecord, now: Millis) -> bool:
        """Apply an announcement or renewal; return whether the table changed.

        A renewal never changes the state of an incarnation that is leaving.
        """
        held = self.get(record.upstream_id)
        if held is None or record.incarnation > held.incarnation:
            ready = record._replace(state=UpstreamState.READY)
            return self.merge(ready, now)
        if record.incarnation < held.incarnation:
            return False
        if held.state is not UpstreamState.READY:
            return False
        same_rank = record._replace(state=held.state, version=held.version)
        if same_rank == held:
            return False
        version = max(record.version, held.version + 1)
        return self.merge(same_rank._replace(version=version), now)

    def retire(
        self, record: UpstreamRecord, state: UpstreamState, now: Millis
    ) -> bool:
        """Move the incarnation of ``record`` to a later state."""
        return self.merge(
            record._replace(state=state, version=record.version + 1), now
        )

    def compare(self, summary: Iterable[UpstreamKey]) -> TableDiff:
        """Compare with the ranks of another table."""
        key_by_id = {key.upstream_id: key for key in summary}
        newer_there = [
            key.upstream_id
            for key in key_by_id.values()
            if _outranks(key, self._key_by_id.get(key.upstream_id))
        ]
        newer_here = [
            self._record_by_id[key.upstream_id]
            for key in self._key_by_id.values()
            if _outranks(key, key_by_id.get(key.upstream_id))
        ]
        return TableDiff(tuple(newer_here), tuple(newer_there))

    def expire_tombstones(self, now: Millis) -> None:
        """Drop the records that have been gone for TOMBSTONE_TTL_MS."""
        for upstream_id, gone_at in tuple(self._gone_at_by_id.items()):
            if now - gone_at < TOMBSTONE_TTL_MS:
                continue
            self._gone_at_by_id.pop(upstream_id)
            self._key_by_id.pop(upstream_id)
            self._record_by_id.pop(upstream_id)
            self._id_by_hash.pop(hash64(upstream_id))

    def _with_details(self, record: UpstreamRecord) -> UpstreamRecord:
        held = self._record_by_id.get(record.upstream_id)
        if held is None or record.service or not held.service:
            return record
        if held.incarnation != record.incarnation:
            return record
        return held._replace(
            state=max(held.state, record.state),
            version=max(held.version, record.version) + 1,
        )

    def _put(
        self, record: UpstreamRecord, key: UpstreamKey, now: Millis
    ) -> None:
        upstream_id = record.upstream_id
        old = self._record_by_id.get(upstream_id)
        old_key = self._key_by_id.get(upstream_id)
        if old_key is not None and old_key.state != UpstreamState.GONE:
            self._digest ^= old_key.check
        if record.state is not UpstreamState.GONE:
            self._digest ^= key.check
        self._record_by_id[upstream_id] = record
        self._key_by_id[upstream_id] = key
        self._id_by_hash[hash64(upstream_id)] = upstream_id
        self._gone_at_by_id.pop(upstream_id, None)
        if record.state is UpstreamState.GONE:
            self._gone_at_by_id[upstream_id] = now
        self._index(record.service)
        if old is not None and old.service != record.service:
            self._index(old.service)

    def _index(self, service: str) -> None:
        ready = []
        for record in self._record_by_id.values():
            if record.service != service:
                continue
            if record.state is UpstreamState.READY:
                ready.append(record)
        self._ready_by_service[service] = tuple(ready)
