"""Requests that are tried again after their quarantine."""

import gc
import unittest
import weakref
from types import SimpleNamespace

from tests.test_serving_request_key import identity
from verbenathread.gateway.probation import Probation
from verbenathread.serving.crash_evidence import MAX_GROUPS

KEY = identity().key
GROUP = frozenset((KEY,))
CHOSEN_TIME = 60_000
TRIAL_TIME = 10_000


class ProbationTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000
        self.is_chosen = True
        self.probation = Probation(
            SimpleNamespace(now=lambda: self.now), lambda key: self.is_chosen
        )
        self.probation.add(GROUP)

    def may_send(self, request):
        return self.probation.retry_after(request) is None

    def try_large(self):
        """Try a large request; return a weak reference to it."""
        request = identity(body=b'x' * 100_000)
        self.probation.add(frozenset((request.key,)))
        self.assertTrue(self.may_send(request))
        return weakref.ref(request)

    def test_one_request_is_tried_at_a_time(self):
        first, second = identity(), identity()
        self.assertTrue(self.may_send(first))
        self.assertFalse(self.may_send(second))
        # The trial itself is looked at again before it is sent.
        self.assertTrue(self.may_send(first))
        self.assertTrue(self.may_send(identity(target=b'/other')))
        self.now += TRIAL_TIME
        self.assertTrue(self.may_send(second))
        self.assertFalse(self.may_send(first))

    def test_a_trial_keeps_no_body(self):
        kept = self.try_large()
        gc.collect()
        self.assertIsNone(kept())

    def test_the_chosen_gateway_tries_first(self):
        self.is_chosen = False
        self.assertFalse(self.may_send(identity()))
        self.now += CHOSEN_TIME
        self.assertTrue(self.may_send(identity()))

    def test_a_complete_answer_ends_the_probation(self):
        self.assertTrue(self.may_send(identity()))
        # parts of the answered request, whether others are sent
        for parts, may_send in ((('other',), False), ((KEY, 'a1'), True)):
            with self.subTest(parts):
                self.probation.record_completion(frozenset(parts))
                self.assertEqual(self.may_send(identity()), may_send)

    def test_the_oldest_make_room(self):
        for number in range(MAX_GROUPS):
            self.probation.add(frozenset((f'request:{number}',)))
        self.assertEqual(len(self.probation.groups), MAX_GROUPS)
        self.assertFalse(self.probation.includes(identity()))
