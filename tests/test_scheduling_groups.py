"""Tests of group reservations: all or nothing, ordered, no deadlock."""

import unittest

from tests.test_scheduling_ledger import make_request, make_work
from verbenathread.clock import ManualClock
from verbenathread.replay.replay import default_policy
from verbenathread.scheduling.groups import GroupRequest, group_size
from verbenathread.scheduling.ledger import GROUP_LEASE, EngineLedger
from verbenathread.scheduling.messages import Queued
from verbenathread.types import Reservation

_ENGINE = 400000
_MEMBERS = ('e1', 'e2')


class GroupTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        policy = default_policy()
        self.ledger_by_id = {}
        for member in _MEMBERS:
            ledger = EngineLedger(member, _ENGINE, policy, self.clock)
            self.ledger_by_id[member] = ledger

    def make_group(self, name, timestamp):
        work = make_work(name, 600000)
        return GroupRequest(work, name, 'n1', _MEMBERS, 600000, timestamp)

    def request(self, group, member):
        """Send the request to one owner; record an immediate grant."""
        answer = self.ledger_by_id[member].reserve(group.member_request)
        if isinstance(answer, Reservation):
            group.record_grant(answer)
        return answer

    def deliver_grants(self, *groups):
        """Deliver the grants that the owners have made since."""
        group_by_id = {
            group.member_request.attempt_id: group for group in groups
        }
        for ledger in self.ledger_by_id.values():
            for reservation in ledger.take_grants():
                group_by_id[reservation.attempt_id].record_grant(reservation)

    def renew(self, group):
        """Renew every hold; request those that yielded again."""
        for reservation in group.member_reservations():
            member = reservation.upstream_ids[0]
            ledger = self.ledger_by_id[member]
            if ledger.renew(reservation.reservation_id) is None:
                ledger.reserve(group.record_loss(member))

    def test_sizes(self):
        size_by_memory = {1: 1, 360000: 1, 360001: 2, 720001: 3, 1001024: 3}
        for memory, size in size_by_memory.items():
            with self.subTest(memory):
                found = group_size(memory, _ENGINE, default_policy())
                self.assertEqual(found, size)

    def test_is_complete_only_with_every_member(self):
        group = self.make_group('a', 1)
        self.request(group, 'e1')
        self.assertIsNone(group.complete_reservation())
        self.request(group, 'e2')
        complete = group.complete_reservation()
        self.assertEqual(complete.upstream_ids, _MEMBERS)
        self.assertEqual(complete.memory_tokens, 600000)

    def test_two_partial_groups_do_not_deadlock(self):
        earlier = self.make_group('earlier', 1)
        later = self.make_group('later', 2)
        self.request(later, 'e1')
        self.request(earlier, 'e2')
        self.assertIsInstance(self.request(earlier, 'e1'), Queued)
        self.assertIsInstance(self.request(later, 'e2'), Queued)
        for _ in range(2):
            self.renew(earlier)
            self.renew(later)
            self.deliver_grants(earlier, later)
        self.assertIsNotNone(earlier.complete_reservation())
        self.assertEqual(later.member_reservations(), ())
        for member in _MEMBERS:
            ledger = self.ledger_by_id[member]
            ledger.mark_started(f'{member}/earlier')
            ledger.release(f'{member}/earlier', 10)
        self.deliver_grants(later)
        self.assertIsNotNone(later.complete_reservation())

    def test_holds_of_a_dead_entry_expire(self):
        group = self.make_group('a', 1)
        self.request(group, 'e1')
        self.clock.advance(GROUP_LEASE)
        ledger = self.ledger_by_id['e1']
        ledger.take_grants()
        self.assertEqual(ledger.free_tokens, _ENGINE - 300000)
        self.clock.advance(1)
        ledger.take_grants()
        self.assertEqual(ledger.free_tokens, _ENGINE)
        self.assertIsNone(ledger.renew('e1/a'))

    def test_a_hold_that_has_started_never_yields(self):
        later = self.make_group('later', 2)
        self.request(later, 'e1')
        self.ledger_by_id['e1'].mark_started('e1/later')
        self.request(self.make_group('earlier', 1), 'e1')
        self.assertIsNotNone(self.ledger_by_id['e1'].renew('e1/later'))

    def test_single_prompts_share_the_engine_with_a_group(self):
        self.request(self.make_group('a', 1), 'e1')
        answer = self.ledger_by_id['e1'].reserve(make_request('short', 2000))
        self.assertIsInstance(answer, Reservation)
