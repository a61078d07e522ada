"""Tests of the account limits: overshoot, lost usage, long prompts."""

import unittest

from verbenathread.scheduling.limits import (
    BURST,
    LOCAL_SHARE_FACTOR,
    USAGE_STALE_AFTER,
    AccountLimiter,
)
from verbenathread.schema import settings_pb2
from verbenathread.types import RefusalReason

_ENTRIES = 9
_LAG = 2000
_RATE = 30


def make_limits(**changes):
    parts = {
        'requests_per_second': _RATE,
        'tokens_per_second': 10**9,
        'long_prompts': 8,
    }
    parts.update(changes)
    return settings_pb2.AccountSettings(**parts)


def flood(limits, duration, *, entries, exchange_usage, is_long=False):
    """Send far more than the limit; return the number admitted."""
    limiters = [AccountLimiter(_ENTRIES, 0) for _ in range(_ENTRIES)]
    admitted = 0
    in_flight = []
    for now in range(0, duration, 10):
        for limiter in limiters[:entries]:
            refusal = limiter.admit('a', limits, 1, now, is_long=is_long)
            admitted += refusal is None
        if now % 1000:
            continue
        in_flight.append([limiter.usage() for limiter in limiters])
        if exchange_usage and len(in_flight) * 1000 > _LAG:
            deliver(limiters, in_flight.pop(0), now)
    return admitted


def deliver(limiters, usages, now):
    for sender, usage in enumerate(usages):
        for receiver, limiter in enumerate(limiters):
            if receiver != sender:
                limiter.record_usage(f'n{sender}', usage, now)


class LimitTest(unittest.TestCase):
    def test_overshoot_is_within_the_stated_bound(self):
        for entries in (1, 3, _ENTRIES):
            for seconds in (2, 20, 60):
                with self.subTest(entries=entries, seconds=seconds):
                    window = seconds * 1000
                    admitted = flood(
                        make_limits(),
                        window,
                        entries=entries,
                        exchange_usage=True,
                    )
                    # Usage is sent every second and takes 2 s to arrive.
                    lag = _LAG + 1000
                    extra = BURST + LOCAL_SHARE_FACTOR * (BURST + lag)
                    bound = _RATE * (window + extra) / 1000 + _ENTRIES
                    self.assertLessEqual(admitted, bound)

    def test_debt_keeps_the_long_term_rate_at_the_limit(self):
        long = flood(make_limits(), 330000, entries=9, exchange_usage=True)
        short = flood(make_limits(), 30000, entries=9, exchange_usage=True)
        self.assertLessEqual(long - short, _RATE * 300 * 1.03)
        self.assertGreaterEqual(long - short, _RATE * 300 * 0.9)

    def test_an_entry_without_remote_usage_keeps_its_share(self):
        early = flood(
            make_limits(), USAGE_STALE_AFTER, entries=9, exchange_usage=False
        )
        late = flood(
            make_limits(),
            USAGE_STALE_AFTER + 60000,
            entries=9,
            exchange_usage=False,
        )
        self.assertLessEqual(late - early, _RATE * 60 * 1.05)

    def test_long_prompts_in_progress_are_bounded(self):
        admitted = flood(
            make_limits(),
            20000,
            entries=_ENTRIES,
            exchange_usage=True,
            is_long=True,
        )
        max_per_entry = -(-8 * LOCAL_SHARE_FACTOR // _ENTRIES)
        self.assertLessEqual(admitted, max_per_entry * _ENTRIES)

    def test_retry_after_is_long_enough(self):
        limiter = AccountLimiter(1, 0)
        limits = make_limits(requests_per_second=1)
        answers = [
            limiter.admit('a', limits, 1, 0, is_long=False) for _ in range(5)
        ]
        refusal = answers[-1]
        self.assertEqual(refusal.reason, RefusalReason.ACCOUNT_LIMIT)
        again = limiter.admit(
            'a', limits, 1, refusal.retry_after, is_long=False
        )
        self.assertIsNone(again)

    def test_finish_returns_unspent_tokens_and_long_slots(self):
        limiter = AccountLimiter(1, 0)
        limits = make_limits(tokens_per_second=10, long_prompts=1)
        limiter.admit('a', limits, 100, 0, is_long=True)
        self.assertIsNotNone(limiter.admit('a', limits, 1, 0, is_long=False))
        limiter.finish('a', 50, 0, is_long=True)
        self.assertIsNone(limiter.admit('a', limits, 1, 0, is_long=True))
