"""Index of the prefixes that each engine has cached.

The index follows numbered events of the engines, some of which may be lost.
A prompt has hashes over its first 1, 2, 4, ... blocks, so that one of a
million tokens has eleven of them.
"""

import hashlib
from collections.abc import Container, Sequence
from typing import NamedTuple

from verbenathread.types import UpstreamId

# Tokens that the first hash covers; each further hash covers twice as many.
BLOCK_TOKENS = 1024
_MAX_HASHES = 11
_HASH_BYTES = 8


class CacheEvent(NamedTuple):
    """Hashes that an engine's cache added and removed since its last event."""

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    # The event lists all cached hashes, and may follow any sequence number.
    is_snapshot: bool = False


class _CachedPrefixes(NamedTuple):
    """Hashes cached by one engine as of an event."""

    sequence: int
    hashes: frozenset[int]


_NOTHING_CACHED = _CachedPrefixes(0, frozenset())


class PrefixIndex:
    """Cached prefixes by engine, from the events that one entry received."""

    def __init__(self) -> None:
        """Start empty."""
        self._cached_by_id: dict[UpstreamId, _CachedPrefixes] = {}
        self._holders_by_hash: dict[int, set[UpstreamId]] = {}

    def apply(self, upstream_id: UpstreamId, event: CacheEvent) -> bool:
        """Apply an event; return False if a snapshot is needed.

        After a gap in the sequence numbers the index holds nothing of the
        engine until its next snapshot.
        """
        current = self._cached_by_id.get(upstream_id)
        if event.is_snapshot:
            if current is None or event.sequence >= current.sequence:
                self._replace(
                    upstream_id, event.sequence, frozenset(event.added)
                )
            return True
        if current is None:
            return False
        if event.sequence <= current.sequence:
            return True
        if event.sequence > current.sequence + 1:
            self.forget(upstream_id)
            return False
        hashes = (current.hashes - set(event.removed)) | set(event.added)
        self._replace(upstream_id, event.sequence, hashes)
        return True

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove the hashes of an engine, as when it restarts."""
        if upstream_id in self._cached_by_id:
            self._replace(upstream_id, 0, frozenset())
            self._cached_by_id.pop(upstream_id)

    def holders(self, prefix_hashes: Sequence[int]) -> list[UpstreamId]:
        """Return the engines that have the longest cached prefix."""
        for prefix in reversed(prefix_hashes):
            holders = self._holders_by_hash.get(prefix)
            if holders:
                return sorted(holders)
        return []

    def cached_tokens(
        self, upstream_id: UpstreamId, prefix_hashes: Sequence[int]
    ) -> int:
        """Return the number of leading tokens that the engine has cached."""
        current = self._cached_by_id.get(upstream_id)
        if current is None:
            return 0
        return covered_tokens(prefix_hashes, current.hashes)

    def _replace(
        self, upstream_id: UpstreamId, sequence: int, hashes: frozenset[int]
    ) -> None:
        current = self._cached_by_id.get(upstream_id, _NOTHING_CACHED)
        for removed in current.hashes - hashes:
            holders = self._holders_by_hash[removed]
            holders.discard(upstream_id)
            if not holders:
                self._holders_by_hash.pop(removed)
        for added in hashes - current.hashes:
            self._holders_by_hash.setdefault(added, set()).add(upstream_id)
        self._cached_by_id[upstream_id] = _CachedPrefixes(sequence, hashes)


def covered_tokens(prefix_hashes: Sequence[int], cached: Container[int]) -> int:
    """Return the number of tokens in the longest cached prefix."""
    for position in reversed(range(len(prefix_hashes))):
        if prefix_hashes[position] in cached:
            return BLOCK_TOKENS << position
    return 0


def hash_prefixes(prompt: bytes, bytes_per_token: float) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, the shortest first."""
    hashes: list[int] = []
    size = int(BLOCK_TOKENS * bytes_per_token)
    hasher = hashlib.blake2b(digest_size=_HASH_BYTES)
    done = 0
    while size <= len(prompt) and len(hashes) < _MAX_HASHES:
        hasher.update(prompt[done:size])
        hashes.append(int.from_bytes(hasher.digest(), 'big'))
        done = size
        size *= 2
    return tuple(hashes)
