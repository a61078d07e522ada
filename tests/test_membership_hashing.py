"""Nodes that a hash prefers, as nodes come and go."""

from unittest import TestCase, mock

from verbenathread.membership.hashing import (
    PreferredNodeCache,
    hash64,
    preferred_node,
)

HASH = 'verbenathread.membership.hashing.hash64'
KEYS = tuple(f'i-{number}' for number in range(60))
NODES = tuple(f'edge-{number}' for number in range(40))


def nodes(begin, end):
    """Return some of the nodes."""
    return frozenset(NODES[begin:end])


# name, sets of nodes in turn
CASES = (
    ('nodes are added', (nodes(0, 3), nodes(0, 20), nodes(0, 40))),
    ('nodes are removed', (nodes(0, 40), nodes(5, 40), nodes(30, 40))),
    ('nodes are replaced', (nodes(0, 20), nodes(10, 30), nodes(20, 40))),
    ('other nodes altogether', (nodes(0, 10), nodes(20, 30))),
    ('and the first ones again', (nodes(0, 9), nodes(0, 40), nodes(0, 9))),
)


def in_turn(sets):
    """Return all keys for the first set of nodes, then for the next."""
    return [(key, node_ids) for node_ids in sets for key in KEYS]


class PreferredNodeCacheTest(TestCase):
    def test_every_change_gives_what_no_cache_would(self):
        for name, sets in CASES:
            with self.subTest(name):
                cache = PreferredNodeCache()
                for key, node_ids in in_turn(sets):
                    expected = preferred_node(key, node_ids)
                    self.assertEqual(cache.get(key, node_ids), expected)

    def test_a_node_that_is_added_costs_few_hashes(self):
        cache = PreferredNodeCache()
        for key in KEYS:
            cache.get(key, nodes(0, 39))
        with mock.patch(HASH, wraps=hash64) as counted:
            for key in KEYS:
                cache.get(key, nodes(0, 40))
        # One of the new node and one of the preferred one.
        self.assertLessEqual(counted.call_count, 2 * len(KEYS))
