"""Tests of account limits over the entries of a cell, and retry budgets."""

import random
import unittest

from verbenathread.clock import ManualClock
from verbenathread.entry.admissions import USAGE_INTERVAL, CellAdmissions
from verbenathread.entry.retry_budgets import RetryBudgets
from verbenathread.scheduling.limits import BURST, LOCAL_SHARE_FACTOR
from verbenathread.scheduling.retries import Retry
from verbenathread.schema import peer_pb2, settings_pb2
from verbenathread.settings.rules import fill_defaults
from verbenathread.types import (
    Address,
    Outcome,
    RefusalReason,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
    Work,
)

ENTRIES = 3
RATE = 30
SECONDS = 20
STEP_MS = 10


class Policies:
    def policy(self, service):
        policy = settings_pb2.PolicySettings()
        fill_defaults(policy)
        return policy


class ReadyEngines:
    def ready(self, service):
        return (
            UpstreamRecord(
                'e', 1, UpstreamState.READY, 1, service, UpstreamKind.ENGINE,
                Address('127.0.0.1', 1), 'a', 400_000,
            ),
        )  # fmt: skip


class CellOfAdmissions:
    """Entries that exchange messages once a second, some of which are lost.

    ``lost_part`` returns which part of an exchange is lost, by its number:
    ``'message'``, ``'reply'`` or neither.
    """

    def __init__(self, lost_part):
        self.clock = ManualClock()
        self.lost_part = lost_part
        self.by_id = {f'e{number}': self.make() for number in range(ENTRIES)}
        self.incarnation_by_id = dict.fromkeys(self.by_id, 1)
        self.exchanges = 0
        self.account = settings_pb2.AccountSettings()
        fill_defaults(self.account)
        self.account.requests_per_second = RATE

    def make(self):
        return CellAdmissions(ENTRIES, Policies(), self.clock)

    def restart(self, node_id):
        self.by_id[node_id] = self.make()
        self.incarnation_by_id[node_id] += 1

    def exchange(self):
        for node_id, sender in self.by_id.items():
            for peer_id, receiver in self.by_id.items():
                if peer_id != node_id:
                    self.send(node_id, sender, peer_id, receiver)

    def send(self, node_id, sender, peer_id, receiver):
        self.exchanges += 1
        message = peer_pb2.PeerMessage(
            node_id=node_id, incarnation=self.incarnation_by_id[node_id]
        )
        sender.fill_message(peer_id, message)
        lost = self.lost_part(self.exchanges)
        if lost == 'message':
            return
        reply = peer_pb2.PeerReply(
            node_id=peer_id, incarnation=self.incarnation_by_id[peer_id]
        )
        receiver.handle_message(message, reply)
        if lost != 'reply':
            sender.handle_reply(peer_id, message, reply)

    def run(self, seconds, restart_at=None):
        """Send a call to each entry at each step; return how many it admits."""
        admitted = 0
        for step in range(seconds * 1000 // STEP_MS):
            if step * STEP_MS == restart_at:
                self.restart('e0')
            if step * STEP_MS % 1000 == 0:
                self.exchange()
            for entry in self.by_id.values():
                refusal = entry.admit_call('flood', self.account)
                admitted += refusal is None
            self.clock.advance(STEP_MS)
        return admitted


def no_loss(number):
    return ''


def every_third_reply(number):
    return 'reply' if number % 3 == 0 else ''


def every_third_message(number):
    return 'message' if number % 3 == 0 else ''


def all_lost(number):
    return 'message'


class CellAdmissionsTest(unittest.TestCase):
    def test_flooding_account_stays_within_the_bound(self):
        # The bound documented in scheduling.limits, with a lag of 2 s.
        lag = 2 * 1000
        bound = (
            RATE
            * (SECONDS * 1000 + BURST + LOCAL_SHARE_FACTOR * (BURST + lag))
            / 1000
        ) + ENTRIES
        for lost_part in (no_loss, every_third_reply, every_third_message):
            with self.subTest(lost_part=lost_part.__name__):
                admitted = CellOfAdmissions(lost_part).run(SECONDS)
                self.assertLessEqual(admitted, bound)
                # Most of the limit can be used, too.
                self.assertGreater(admitted, RATE * SECONDS * 0.8)

    def test_partitioned_entries_keep_to_even_shares(self):
        admitted = CellOfAdmissions(all_lost).run(SECONDS)
        bound = RATE * (SECONDS + LOCAL_SHARE_FACTOR * (BURST + 5000) / 1000)
        self.assertLessEqual(admitted, bound + ENTRIES)

    def test_restarted_entry_receives_the_whole_usage(self):
        cell = CellOfAdmissions(no_loss)
        before = cell.run(SECONDS)
        after = cell.run(SECONDS, restart_at=0)
        # The restarted entry adds one burst at most; usage totals from before
        # its restart don't count against the account.
        self.assertLess(abs(after - before), RATE * BURST / 1000 * 2)

    def test_restart_ends_the_long_prompts_of_an_entry(self):
        cell = CellOfAdmissions(no_loss)
        cell.exchange()
        work = Work('r', 'a', 's', 200_000, 10, 10, 600_000, 0)
        cell.account.long_prompts = 1
        cell.account.tokens_per_second = 1e6
        for entry in cell.by_id.values():
            entry.connect(ReadyEngines())
        self.assertIsNone(cell.by_id['e0'].admit(work, cell.account))
        cell.clock.advance(USAGE_INTERVAL)
        cell.exchange()
        refusal = cell.by_id['e1'].admit(work, cell.account)
        self.assertEqual(refusal.reason, RefusalReason.ACCOUNT_LIMIT)
        cell.restart('e0')
        cell.clock.advance(USAGE_INTERVAL)
        cell.exchange()
        self.assertIsNone(cell.by_id['e1'].admit(work, cell.account))

    def test_refusal_has_a_usable_retry_delay(self):
        cell = CellOfAdmissions(no_loss)
        answers = [
            cell.by_id['e1'].admit_call('flood', cell.account)
            for _ in range(RATE * 10)
        ]
        refusal = answers[-1]
        self.assertEqual(refusal.reason, RefusalReason.ACCOUNT_LIMIT)
        cell.clock.advance(refusal.retry_after + 1)
        again = cell.by_id['e1'].admit_call('flood', cell.account)
        self.assertIsNone(again)


class RetryBudgetsTest(unittest.TestCase):
    def test_outage_spends_only_the_budget_of_its_service(self):
        budgets = RetryBudgets(ManualClock(), random.Random(1))
        policy = Policies().policy('')
        attempts = 0
        requests = 1000
        for service in ('dead', 'other'):
            budgets.record_first_attempt(service, policy)
        for _ in range(requests):
            budgets.record_first_attempt('dead', policy)
            made = 1
            while isinstance(
                budgets.next_retry('dead', made, Outcome.NOT_RUN, 60_000), Retry
            ):
                made += 1
            attempts += made
        self.assertLessEqual(attempts, requests * (1 + policy.retry_share) + 50)
        retry = budgets.next_retry('other', 1, Outcome.UNKNOWN, 60_000)
        self.assertIsInstance(retry, Retry)
