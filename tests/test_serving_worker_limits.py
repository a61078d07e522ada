"""Limits that workers name, kept over the sends of all gateways."""

import collections
import random
import unittest

from tests.gateway_harness import worker
from verbenathread.serving.worker_limits import WorkerLimits
from verbenathread.types import Address

TARGET = worker('w0', 'desk', Address('127.0.0.1', 9))
SUCCESSOR = TARGET._replace(started_at=2)


class WorkerLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = WorkerLimits()

    def test_rate_under_constant_demand(self):
        # rate in requests/s, seconds, sends at most
        cases = (
            (1, 10, 11),
            (0.5, 10, 6),
            (2.5, 10, 26),
            (40, 5, 221),
            (0, 20, 3),
        )
        for rate, duration, most in cases:
            with self.subTest(rate=rate):
                limits = WorkerLimits()
                limits.name(TARGET, rate, 0)
                sends = sum(
                    try_send(limits, now) for now in range(duration * 1000)
                )
                self.assertLessEqual(sends, most)
                self.assertGreaterEqual(sends, rate * duration * 0.9)

    def test_gateways_that_choose_at_the_same_time(self):
        times = play_gateways(random.Random(3), rate=1, duration=20_000)
        self.assertGreaterEqual(len(times), 15)
        for first in times:
            span = [at for at in times if first <= at < first + 4000]
            if first >= 3000:
                self.assertLessEqual(len(span), 1.5 * 4 + 5)

    def test_who_lifts_a_limit(self):
        # incarnation that answers, when its request was sent, whether lifted
        cases = (
            (TARGET, 900, False),
            (TARGET, 1000, False),
            (TARGET, 1001, True),
            (SUCCESSOR, 1001, False),
        )
        for answering, sent_at, lifted in cases:
            with self.subTest(sent_at=sent_at, born=answering.started_at):
                limits = WorkerLimits()
                limits.name(TARGET, 1, 1000)
                limits.record_send('w0', 1000)
                self.assertEqual(limits.lift(answering, sent_at), lifted)
                self.assertEqual(limits.is_named('w0'), not lifted)
                self.assertEqual(limits.left(TARGET, 1000) == 0, lifted)

    def test_a_limit_that_is_named_again_keeps_its_count(self):
        self.limits.name(TARGET, 1, 0)
        for _ in range(5):
            self.limits.record_send('w0', 0)
        self.assertTrue(self.limits.lift(TARGET, 1))
        self.limits.name(TARGET, 1, 10)
        self.assertGreater(self.limits.left(TARGET, 10), 4000)

    def test_a_successor_has_no_limit(self):
        self.limits.name(TARGET, 1, 0)
        self.limits.record_send('w0', 0)
        self.assertEqual(self.limits.left(SUCCESSOR, 1), 0)

    def test_when_to_announce(self):
        # time, rate, whether other gateways should hear of it
        cases = (
            (0, 1, True),
            (10, 1, False),
            (20, 2, True),
            (900, 2, False),
            (1020, 2, True),
        )
        for now, rate, announce in cases:
            with self.subTest(now=now):
                self.assertEqual(self.limits.name(TARGET, rate, now), announce)

    def test_old_limits_are_forgotten(self):
        self.limits.name(TARGET, 1, 0)
        for now, is_named in ((60_000, True), (60_001, False)):
            self.limits.drop_expired(now)
            self.assertEqual(self.limits.is_named('w0'), is_named)


def try_send(limits, now):
    """Send if the limit allows it; return whether it does."""
    if limits.left(TARGET, now):
        return False
    limits.record_send('w0', now)
    return True


def play_gateways(rng, rate, duration):
    """Return when 191 gateways send, each told of others' sends 8 ms later.

    400 requests a second reach random gateways.
    """
    gateways = [WorkerLimits() for _ in range(191)]
    for limits in gateways:
        limits.name(TARGET, rate, 0)
    notices = collections.deque()
    times = []
    for now in range(duration):
        while notices and notices[0][0] <= now:
            _, sender = notices.popleft()
            for limits in gateways:
                if limits is not sender:
                    limits.record_send('w0', now)
        receiver = rng.choice(gateways)
        if rng.randrange(10) < 4 and try_send(receiver, now):
            notices.append((now + 8, receiver))
            times.append(now)
    return times
