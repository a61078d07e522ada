"""Which gateways receive notices across changes of leader."""

import unittest

from verbenathread.gateway.view import ClusterView
from verbenathread.types import Address, Peer

GATEWAYS = tuple(
    Peer(f'g{number}', Address('127.0.0.1', 9000 + number))
    for number in range(4)
)


class NoticeTargetsTest(unittest.TestCase):
    def setUp(self):
        self.view = ClusterView('g0')

    def list_at(self, now, *numbers):
        listed = tuple(GATEWAYS[number] for number in numbers)
        self.view.apply_nodes((), listed, now)

    def target_ids(self):
        return {peer.node_id for peer in self.view.notice_targets}

    def test_new_leader_lists_few_gateways_at_first(self):
        self.list_at(0, 0, 1, 2, 3)
        # A new leader takes over 60 s later; until then the old list is valid.
        self.list_at(60_000, 0, 1)
        self.assertEqual(self.target_ids(), {'g0', 'g1', 'g2', 'g3'})
        self.list_at(61_000, 0, 1, 2)
        self.view.expire_unlisted(75_500)
        self.assertEqual(self.target_ids(), {'g0', 'g1', 'g2'})
        self.assertEqual(len(self.view.gateways), 3)

    def test_listed_gateway_never_expires(self):
        self.list_at(0, 0, 1)
        self.view.expire_unlisted(900_000)
        self.assertEqual(self.target_ids(), {'g0', 'g1'})
