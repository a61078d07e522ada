"""Hash functions that give the same result on every entry."""

import functools
import hashlib
from collections.abc import Iterable

from verbenathread.types import NodeId

_HASH_BYTES = 8
_CACHED_HASHES = 16_384


@functools.lru_cache(maxsize=_CACHED_HASHES)
def hash64(text: str) -> int:
    """Return the first 8 bytes of the SHA-256 of ``text`` as an int."""
    digest = hashlib.sha256(text.encode('utf-8')).digest()
    return int.from_bytes(digest[:_HASH_BYTES], 'big')


def preferred_node(key: str, node_ids: Iterable[NodeId]) -> NodeId:
    """Return the node that rendezvous hashing (Thaler 1996) assigns to a key.

    Adding or removing a node moves only the keys that it gains or loses.
    """
    return max(
        node_ids, key=lambda node_id: (hash64(f'{node_id} {key}'), node_id)
    )


class PreferredNodeCache:
    """Caches the preferred node of each key.

    A node that is added costs one hash a key, and one that is removed only the
    keys that it had: many nodes that start one after the other would otherwise
    cost all hashes each time.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._node_ids: frozenset[NodeId] = frozenset()
        self._node_by_key: dict[str, NodeId] = {}

    def get(self, key: str, node_ids: frozenset[NodeId]) -> NodeId:
        """Return the preferred node of a key among ``node_ids``."""
        if node_ids != self._node_ids:
            self._change_nodes(node_ids)
        if key not in self._node_by_key:
            self._node_by_key[key] = preferred_node(key, node_ids)
        return self._node_by_key[key]

    def _change_nodes(self, node_ids: frozenset[NodeId]) -> None:
        added = node_ids - self._node_ids
        for key, node_id in tuple(self._node_by_key.items()):
            if node_id in node_ids:
                candidates = (node_id, *added)
                self._node_by_key[key] = preferred_node(key, candidates)
            else:
                self._node_by_key.pop(key)
        self._node_ids = node_ids
