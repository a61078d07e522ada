"""Tests of groups: all or nothing, in one order, without a deadlock."""

import unittest

from tests.test_scheduling_ledger import make_ask, make_work
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

    def make_claim(self, name, order):
        work = make_work(name, 600000)
        return GroupRequest(work, name, 'n1', _MEMBERS, 600000, order)

    def ask(self, claim, member):
        """Ask one owner; note the hold if it is granted at once."""
        answer = self.ledger_by_id[member].reserve(claim.member_request)
        if isinstance(answer, Reservation):
            claim.record_grant(answer)
        return answer

    def hand_out(self, *claims):
        """Deliver what the owners have granted since."""
        claim_by_id = {
            claim.member_request.attempt_id: claim for claim in claims
        }
        for ledger in self.ledger_by_id.values():
            for reservation in ledger.take_grants():
                claim_by_id[reservation.attempt_id].record_grant(reservation)

    def renew(self, claim):
        """Renew every hold; ask again for those that yielded."""
        for held in claim.member_reservations():
            member = held.upstream_ids[0]
            ledger = self.ledger_by_id[member]
            if ledger.renew(held.reservation_id) is None:
                ledger.reserve(claim.record_loss(member))

    def test_sizes(self):
        size_by_memory = {1: 1, 360000: 1, 360001: 2, 720001: 3, 1001024: 3}
        for memory, size in size_by_memory.items():
            with self.subTest(memory):
                found = group_size(memory, _ENGINE, default_policy())
                self.assertEqual(found, size)

    def test_is_whole_only_with_every_member(self):
        claim = self.make_claim('a', 1)
        self.ask(claim, 'e1')
        self.assertIsNone(claim.complete_reservation())
        self.ask(claim, 'e2')
        whole = claim.complete_reservation()
        self.assertEqual(whole.upstream_ids, _MEMBERS)
        self.assertEqual(whole.memory_tokens, 600000)

    def test_two_half_held_groups_do_not_deadlock(self):
        earlier = self.make_claim('earlier', 1)
        later = self.make_claim('later', 2)
        self.ask(later, 'e1')
        self.ask(earlier, 'e2')
        self.assertIsInstance(self.ask(earlier, 'e1'), Queued)
        self.assertIsInstance(self.ask(later, 'e2'), Queued)
        for _ in range(2):
            self.renew(earlier)
            self.renew(later)
            self.hand_out(earlier, later)
        self.assertIsNotNone(earlier.complete_reservation())
        self.assertEqual(later.member_reservations(), ())
        for member in _MEMBERS:
            ledger = self.ledger_by_id[member]
            ledger.mark_started(f'{member}/earlier')
            ledger.release(f'{member}/earlier', 10)
        self.hand_out(later)
        self.assertIsNotNone(later.complete_reservation())

    def test_holds_of_a_dead_entry_come_back(self):
        claim = self.make_claim('a', 1)
        self.ask(claim, 'e1')
        self.clock.advance(GROUP_LEASE)
        ledger = self.ledger_by_id['e1']
        ledger.take_grants()
        self.assertEqual(ledger.free_tokens, _ENGINE - 300000)
        self.clock.advance(1)
        ledger.take_grants()
        self.assertEqual(ledger.free_tokens, _ENGINE)
        self.assertIsNone(ledger.renew('e1/a'))

    def test_a_hold_that_has_started_never_yields(self):
        later = self.make_claim('later', 2)
        self.ask(later, 'e1')
        self.ledger_by_id['e1'].mark_started('e1/later')
        self.ask(self.make_claim('earlier', 1), 'e1')
        self.assertIsNotNone(self.ledger_by_id['e1'].renew('e1/later'))

    def test_single_prompts_share_the_engine_with_a_group(self):
        self.ask(self.make_claim('a', 1), 'e1')
        answer = self.ledger_by_id['e1'].reserve(make_ask('short', 2000))
        self.assertIsInstance(answer, Reservation)
