"""Tests of engine choice, cached prefixes, estimates and weight loads."""

import random
import unittest
from collections import Counter

from tests.test_scheduling_ledger import make_work
from verbenathread.replay.deployment import TILLERY, engine_records
from verbenathread.replay.replay import default_policy
from verbenathread.scheduling.candidates import CandidateIterator, reroute_delay
from verbenathread.scheduling.estimates import (
    OutputEstimator,
    PrefillCost,
    TokenEstimator,
)
from verbenathread.scheduling.messages import EngineReport
from verbenathread.scheduling.prefixes import (
    CacheEvent,
    PrefixIndex,
    hash_prefixes,
)
from verbenathread.scheduling.router import Router
from verbenathread.scheduling.tuning import CURRENT
from verbenathread.scheduling.weight_loads import (
    LOAD_TIMEOUT,
    ModelDemand,
    WeightLoad,
    WeightLoadQueue,
)


def make_router(seed):
    return Router(default_policy(), random.Random(seed))


class RouterTest(unittest.TestCase):
    def test_entries_with_equal_reports_do_not_herd(self):
        records = engine_records(TILLERY)
        chosen = Counter()
        for seed in range(9):
            router = make_router(seed)
            for number in range(20):
                work = make_work(f'r{number}', 3000)
                first = router.choose(work, records, 0)[0]
                router.record_sent(first, work, 0)
                chosen[first] += 1
        # 180 sends over 20 engines: 9 each if perfectly even.
        self.assertEqual(len(chosen), 20)
        self.assertLessEqual(max(chosen.values()), 18)

    def test_sample_size_is_independent_of_the_fleet(self):
        sampled_count = set()
        for engines in (20, 200, 4000):
            records = engine_records(TILLERY._replace(engines=engines))
            router = make_router(1)
            router.choose(make_work('r', 3000), records, 0)
            sampled_count.add(router.sampled_count)
        self.assertEqual(len(sampled_count), 1)

    def test_one_known_rate_does_not_draw_every_prompt(self):
        # One engine has measured a prefill time below the initial estimate,
        # which the unused engines still report. They may be as fast, so they
        # must get prompts too. All engines are otherwise idle.
        records = engine_records(TILLERY._replace(engines=4))
        router = make_router(1)
        for record in records:
            is_measured = record.upstream_id == 'e0002'
            report = EngineReport(
                upstream_id=record.upstream_id,
                sequence=1,
                memory_tokens=record.memory_tokens,
                free_tokens=record.memory_tokens,
                running=0,
                queued=0,
                backlog_by_class=(5, 0, 0) if is_measured else (0, 0, 0),
                granted_by_class=(0, 0, 0),
                prefill_us=5000 if is_measured else 50000,
                output_us=2000,
            )
            router.record_report(report, 0)
        chosen = Counter()
        for number in range(40):
            work = make_work(f'r{number}', 3000)
            first = router.choose(work, records, 0)[0]
            chosen[first] += 1
        self.assertLess(chosen['e0002'], 20)

    def test_leaves_out_failed_engines(self):
        records = engine_records(TILLERY._replace(engines=3))
        router = make_router(1)
        chosen = router.choose(
            make_work('r', 3000), records, 0, {'e0000', 'e0002'}
        )
        self.assertEqual(chosen, ['e0001'])

    def test_iterator_ends_at_the_shortest_wait(self):
        candidates = CandidateIterator(('a', 'b', 'c'), 50)
        self.assertEqual(candidates.next(), 'a')
        self.assertFalse(candidates.accepts_wait('a', 900))
        self.assertEqual(candidates.next(), 'b')
        self.assertFalse(candidates.accepts_wait('b', 300))
        # c refuses.
        self.assertEqual(candidates.next(), 'c')
        self.assertEqual(candidates.next(), 'b')
        self.assertTrue(candidates.accepts_wait('b', 300))
        self.assertIsNone(CandidateIterator((), 50).next())

    def test_reroute_delay(self):
        # Prompt tokens, expected wait and delay; None is never rerouted.
        cases = (
            (3000, 100, 500),
            (30000, 2000, 3000),
            (30000, 90000, 5000),
            (200000, 90000, None),
        )
        for tokens, wait, delay in cases:
            with self.subTest(tokens=tokens, wait=wait):
                found = reroute_delay(
                    make_work('r', tokens), wait, default_policy(), CURRENT
                )
                self.assertEqual(found, delay)


class PrefixTest(unittest.TestCase):
    def test_events(self):
        first = CacheEvent(1, (11, 12), is_snapshot=True)
        cases = {
            'in order': ([first, CacheEvent(2, (13,))], 4096, True),
            'removed': ([first, CacheEvent(2, (), (12,))], 1024, True),
            'a gap removes all': ([first, CacheEvent(3, (13,))], 0, False),
            'an old event is ignored': (
                [first, CacheEvent(1, (13,))],
                2048,
                True,
            ),
            'nothing before a snapshot': ([CacheEvent(1, (11,))], 0, False),
            'a snapshot after a gap': (
                [first, CacheEvent(3), CacheEvent(4, (11,), is_snapshot=True)],
                1024,
                True,
            ),
        }
        for name, (events, tokens, is_applied) in cases.items():
            with self.subTest(name):
                index = PrefixIndex()
                answers = [index.apply('e1', event) for event in events]
                self.assertEqual(answers[-1], is_applied)
                self.assertEqual(
                    index.cached_tokens('e1', (11, 12, 13)), tokens
                )

    def test_equal_prefixes_have_equal_hashes(self):
        one = hash_prefixes(b'a' * 4096 + b'b' * 4096, 4)
        other = hash_prefixes(b'a' * 4096 + b'c' * 4096, 4)
        self.assertEqual(one[0], other[0])
        self.assertNotEqual(one[1], other[1])


class EstimateTest(unittest.TestCase):
    def test_prefill_cost_fits_both_coefficients(self):
        cost = PrefillCost()
        rng = random.Random(1)
        for _ in range(600):
            tokens = rng.choice((2000, 20000, 80000, 300000))
            busy = tokens * 0.1 + tokens * tokens / 1e6 * 0.2
            cost.observe_busy_period(int(busy), [tokens])
        for tokens in (4000, 100000, 300000):
            expected = tokens * 0.1 + tokens * tokens / 1e6 * 0.2
            self.assertAlmostEqual(
                cost.prefill(tokens) / expected, 1, delta=0.1
            )

    def test_output_follows_a_change_of_the_account(self):
        outputs = OutputEstimator()
        rng = random.Random(1)
        for mean in (100, 800):
            for _ in range(400):
                outputs.observe('a', 's', int(rng.uniform(0.5, 1.5) * mean))
            expected = outputs.expected('a', 's', 4096)
            self.assertGreater(expected, mean)
            self.assertLess(expected, mean * 1.6)
        self.assertEqual(outputs.expected('a', 's', 50), 50)

    def test_bytes_per_token_are_learned(self):
        tokens = TokenEstimator()
        self.assertEqual(tokens.tokens('s', 4000, 4), 1000)
        for _ in range(300):
            tokens.observe('s', 3000, 1000, 4)
        self.assertAlmostEqual(tokens.tokens('s', 3000, 4), 1000, delta=20)


class WeightLoadTest(unittest.TestCase):
    def test_mass_restart_starts_the_most_needed_loads(self):
        queue = WeightLoadQueue(2)
        need = {'big': ModelDemand(90, 0), 'small': ModelDemand(10, 0)}
        for number in range(10):
            model = 'small' if number == 9 else 'big'
            queue.enqueue(WeightLoad(f'e{number}', model))
        started = queue.start(need, 0)
        # Each model gets its first engine before any gets its second.
        self.assertEqual([load.model for load in started], ['big', 'small'])
        self.assertEqual(queue.start(need, 0), [])
        queue.finish(started[0])
        self.assertEqual(len(queue.start(need, 0)), 1)

    def test_an_expired_load_is_queued_again(self):
        queue = WeightLoadQueue(1)
        expired = WeightLoad('e1', 'm')
        queue.enqueue(expired)
        self.assertEqual(queue.start({}, 0), [expired])
        self.assertEqual(queue.start({}, LOAD_TIMEOUT), [])
        self.assertEqual(queue.start({}, LOAD_TIMEOUT + 1), [expired])
        queue.forget('e1')
        self.assertEqual(queue.start({}, 3 * LOAD_TIMEOUT), [])
