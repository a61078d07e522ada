"""Which prefixes each engine has cached, from numbered events with gaps.

A prefix is known by hashes over its first 1, 2, 4, ... blocks, so that a
prompt of a million tokens has eleven of them.
"""

import hashlib
from collections.abc import Container, Sequence
from typing import NamedTuple

from verbenathread.types import UpstreamId

# Tokens under the first hash; each next one covers twice as many.
BLOCK_TOKENS = 1024
_MOST_HASHES = 11
_HASH_BYTES = 8


class CacheEvent(NamedTuple):
    """What an engine's cache gained and lost since its last event."""

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    # The event lists all that is cached; it may follow any number.
    is_snapshot: bool = False


class _Index(NamedTuple):
    """Hashes cached by one engine, as of an event."""

    number: int
    hashes: frozenset[int]


_UNKNOWN = _Index(0, frozenset())


class PrefixIndex:
    """Cached prefixes by engine, as one entry heard of them."""

    def __init__(self) -> None:
        """Know of nothing cached."""
        self._index_by_id: dict[UpstreamId, _Index] = {}
        self._holders_by_hash: dict[int, set[UpstreamId]] = {}

    def apply(self, upstream_id: UpstreamId, event: CacheEvent) -> bool:
        """Take an event; False asks for a snapshot, as some were lost.

        After a gap nothing is known of the engine until its snapshot.
        """
        known = self._index_by_id.get(upstream_id)
        if event.is_snapshot:
            if known is None or event.sequence >= known.number:
                self._put(upstream_id, event.sequence, frozenset(event.added))
            return True
        if known is None:
            return False
        if event.sequence <= known.number:
            return True
        if event.sequence > known.number + 1:
            self.forget(upstream_id)
            return False
        hashes = (known.hashes - set(event.removed)) | set(event.added)
        self._put(upstream_id, event.sequence, hashes)
        return True

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is known of an engine, as when it starts anew."""
        if upstream_id in self._index_by_id:
            self._put(upstream_id, 0, frozenset())
            self._index_by_id.pop(upstream_id)

    def holders(self, prefix_hashes: Sequence[int]) -> list[UpstreamId]:
        """Return the engines with the longest prefix that any has cached."""
        for prefix in reversed(prefix_hashes):
            holders = self._holders_by_hash.get(prefix)
            if holders:
                return sorted(holders)
        return []

    def cached_tokens(
        self, upstream_id: UpstreamId, prefix_hashes: Sequence[int]
    ) -> int:
        """Return how many leading tokens the engine has cached."""
        known = self._index_by_id.get(upstream_id)
        if known is None:
            return 0
        return covered_tokens(prefix_hashes, known.hashes)

    def _put(
        self, upstream_id: UpstreamId, number: int, hashes: frozenset[int]
    ) -> None:
        known = self._index_by_id.get(upstream_id, _UNKNOWN)
        for lost in known.hashes - hashes:
            holders = self._holders_by_hash[lost]
            holders.discard(upstream_id)
            if not holders:
                self._holders_by_hash.pop(lost)
        for added in hashes - known.hashes:
            self._holders_by_hash.setdefault(added, set()).add(upstream_id)
        self._index_by_id[upstream_id] = _Index(number, hashes)


def covered_tokens(prefix_hashes: Sequence[int], cached: Container[int]) -> int:
    """Return the tokens under the longest prefix that is cached."""
    for position in reversed(range(len(prefix_hashes))):
        if prefix_hashes[position] in cached:
            return BLOCK_TOKENS << position
    return 0


def hash_prefixes(prompt: bytes, bytes_per_token: float) -> tuple[int, ...]:
    """Return the hashes of the leading blocks of a prompt."""
    hashes: list[int] = []
    size = int(BLOCK_TOKENS * bytes_per_token)
    hasher = hashlib.blake2b(digest_size=_HASH_BYTES)
    done = 0
    while size <= len(prompt) and len(hashes) < _MOST_HASHES:
        hasher.update(prompt[done:size])
        hashes.append(int.from_bytes(hasher.digest(), 'big'))
        done = size
        size *= 2
    return tuple(hashes)
