"""Tests of the ledger: memory, refusals, queue order, takeover."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenathread.clock import ManualClock
from verbenathread.replay.replay import default_policy
from verbenathread.scheduling.ledger import START_TIMEOUT, EngineLedger
from verbenathread.scheduling.messages import (
    EngineHold,
    Queued,
    ReservationRequest,
)
from verbenathread.scheduling.tuning import CURRENT, PREVIOUS
from verbenathread.types import Refusal, RefusalReason, Reservation, Work

_MEMORY = 10000
_FAR_DEADLINE = 600000


def make_work(name, tokens, *, deadline=_FAR_DEADLINE, arrival=0, output=100):
    return Work(
        name, 'county', 'draft', tokens, output, output, deadline, arrival
    )


def make_request(name, tokens, **parts):
    memory = parts.pop('memory', tokens + 100)
    entry_id = parts.pop('entry_id', 'n1')
    work = make_work(name, tokens, **parts)
    return ReservationRequest(work, name, entry_id, memory)


def make_ledger(clock=None, *, memory=_MEMORY, tuning=CURRENT, **policy):
    rules = default_policy()
    for name, setting in policy.items():
        setattr(rules, name, setting)
    return EngineLedger('e1', memory, rules, clock or ManualClock(), tuning)


class RandomEntry:
    """An entry that requests, starts and releases in any order."""

    def __init__(self):
        self.clock = ManualClock()
        self.ledger = make_ledger(self.clock)

    def reserve(self, name, tokens):
        self.ledger.reserve(make_request(name, tokens))

    def cancel(self, name, tokens):
        self.ledger.cancel(name)

    def wait(self, name, tokens):
        self.clock.advance(tokens)

    def drop(self, name, tokens):
        for started in self.ledger.drop_entry('n1'):
            self.ledger.release(started.reservation_id, 0)

    def start(self, name, tokens):
        self.ledger.mark_started(f'e1/{name}')

    def progress(self, name, tokens):
        self.ledger.record_progress(f'e1/{name}', 1)

    def release(self, name, tokens):
        self.ledger.release(f'e1/{name}', 10)


# Requests and starts are frequent, so that memory is scarce most of the time.
_ACTIONS = ('reserve', 'reserve', 'reserve', 'start', 'start', 'progress') + (
    'release',
    'cancel',
    'wait',
    'drop',
)
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(_ACTIONS), st.integers(0, 11), st.integers(500, 9000)
    ),
    min_size=30,
    max_size=60,
)


class MemoryTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(_STEPS)
    def test_grants_memory_once_in_any_order(self, steps):
        entry = RandomEntry()
        ledger = entry.ledger
        for action, number, tokens in steps:
            getattr(entry, action)(f'r{number}', tokens)
            ledger.take_grants()
            self.assertGreaterEqual(ledger.free_tokens, 0)
            self.assertLessEqual(ledger.free_tokens, _MEMORY)
        for number in range(12):
            ledger.cancel(f'r{number}')
            ledger.release(f'e1/r{number}', 0)
        self.assertEqual(ledger.free_tokens, _MEMORY)

    def test_frees_grants_that_did_not_start_in_time(self):
        clock = ManualClock()
        ledger = make_ledger(clock)
        self.assertIsInstance(
            ledger.reserve(make_request('a', 8000)), Reservation
        )
        self.assertIsInstance(ledger.reserve(make_request('b', 8000)), Queued)
        clock.advance(START_TIMEOUT + 1)
        self.assertEqual(
            [grant.attempt_id for grant in ledger.take_grants()], ['b']
        )

    def test_a_resent_request_is_granted_once(self):
        ledger = make_ledger()
        first = ledger.reserve(make_request('a', 4000))
        self.assertEqual(ledger.reserve(make_request('a', 4000)), first)
        self.assertEqual(ledger.free_tokens, _MEMORY - 4100)

    def test_a_cancelled_grant_is_not_returned(self):
        ledger = make_ledger()
        ledger.reserve(make_request('a', 8000))
        ledger.reserve(make_request('b', 8000))
        ledger.release('e1/a', 0)
        ledger.cancel('b')
        self.assertEqual(ledger.take_grants(), [])
        self.assertEqual(ledger.free_tokens, _MEMORY)

    def test_takeover_counts_what_the_engine_holds(self):
        ledger = make_ledger()
        ledger.restore([EngineHold('old', 8000, 7000, 5, 'n2')])
        self.assertIsInstance(ledger.reserve(make_request('a', 4000)), Queued)
        ledger.release('e1/old', 9)
        self.assertEqual(
            [grant.attempt_id for grant in ledger.take_grants()], ['a']
        )

    def test_drop_entry_keeps_only_started_holds(self):
        ledger = make_ledger()
        ledger.reserve(make_request('runs', 3000, entry_id='gone'))
        ledger.reserve(make_request('granted', 3000, entry_id='gone'))
        ledger.reserve(make_request('waits', 8000, entry_id='gone'))
        ledger.mark_started('e1/runs')
        left = ledger.drop_entry('gone')
        self.assertEqual([grant.attempt_id for grant in left], ['runs'])
        self.assertEqual(ledger.free_tokens, _MEMORY - 3100)
        self.assertEqual(ledger.take_grants(), [])


class RefusalTest(unittest.TestCase):
    def test_refuses_on_arrival(self):
        cases = {
            'its own prefill': (None, 8000, 100, RefusalReason.DEADLINE),
            'the wait before it': (9000, 8000, 800, RefusalReason.DEADLINE),
            'more than the engine': (
                None,
                10500,
                _FAR_DEADLINE,
                RefusalReason.TOO_LONG,
            ),
        }
        for name, (before, tokens, deadline, reason) in cases.items():
            with self.subTest(name):
                ledger = make_ledger()
                if before:
                    ledger.reserve(make_request('before', before - 200))
                answer = ledger.reserve(
                    make_request('late', tokens, deadline=deadline)
                )
                self.assertIsInstance(answer, Refusal)
                self.assertEqual(answer.reason, reason)
                if reason is RefusalReason.DEADLINE:
                    self.assertGreater(answer.retry_after, 0)

    def test_retry_after_grows_with_the_backlog(self):
        waits = []
        for backlog in (1, 3):
            ledger = make_ledger(memory=400000)
            for number in range(backlog):
                ledger.reserve(make_request(f'b{number}', 300000))
            late = ledger.reserve(make_request('late', 300000, deadline=20000))
            self.assertIsInstance(late, Refusal)
            waits.append(late.retry_after)
        self.assertGreater(waits[1], waits[0])

    def test_the_queue_is_bounded(self):
        ledger = make_ledger(queue_limit=2)
        answers = [
            ledger.reserve(make_request(f'r{number}', 8000))
            for number in range(4)
        ]
        self.assertIsInstance(answers[2], Queued)
        self.assertIsInstance(answers[3], Refusal)
        self.assertEqual(answers[3].reason, RefusalReason.OVERLOADED)

    def test_admitted_work_is_not_refused(self):
        ledger = make_ledger(queue_limit=1)
        ledger.reserve(make_request('a', 8000))
        ledger.reserve(make_request('b', 8000))
        again = make_request('c', 8000, deadline=10)._replace(admitted=True)
        self.assertIsInstance(ledger.reserve(again), Queued)


class OrderTest(unittest.TestCase):
    def run_stream(self, tuning):
        """Send middle prompts steadily; return when the long one starts."""
        clock = ManualClock()
        ledger = make_ledger(clock, memory=400000, tuning=tuning)
        for number in range(4):
            ledger.reserve(make_request(f'm{number}', 90000))
            ledger.mark_started(f'e1/m{number}')
        ledger.reserve(make_request('long', 300000, deadline=10**9))
        running = [f'm{number}' for number in range(4)]
        for turn in range(100):
            clock.advance(3000)
            ended = running.pop(0)
            ledger.record_progress(f'e1/{ended}', 1)
            ledger.release(f'e1/{ended}', 100)
            answer = ledger.reserve(
                make_request(
                    f'n{turn}', 90000, deadline=10**9, arrival=clock.now()
                )
            )
            granted = [grant.attempt_id for grant in ledger.take_grants()]
            if isinstance(answer, Reservation):
                granted.append(f'n{turn}')
            if 'long' in granted:
                return turn
            for name in granted:
                ledger.mark_started(f'e1/{name}')
            running.extend(granted)
            if not running:
                self.fail('Nothing runs.')
        return None

    def test_a_long_prompt_is_not_overtaken_forever(self):
        started = self.run_stream(CURRENT)
        self.assertIsNotNone(started)
        self.assertLessEqual(started, 6)

    def test_headroom_is_reserved_for_short_prompts(self):
        ledger = make_ledger()
        ledger.reserve(make_request('a', 4500))
        # 5,400 tokens are free, of which 1,000 are for short prompts.
        self.assertIsInstance(ledger.reserve(make_request('m', 4400)), Queued)
        self.assertIsInstance(
            ledger.reserve(make_request('s', 4000)), Reservation
        )

    def test_shorter_goes_first_when_memory_is_freed(self):
        for name, tuning in (('current', CURRENT), ('previous', PREVIOUS)):
            with self.subTest(name):
                ledger = make_ledger(memory=20000, tuning=tuning)
                ledger.reserve(make_request('a', 17000))
                ledger.reserve(make_request('middle', 9000))
                ledger.reserve(make_request('short', 4000))
                ledger.release('e1/a', 10)
                order = [grant.attempt_id for grant in ledger.take_grants()]
                self.assertEqual(order, ['short', 'middle'])

    def test_accounts_share_by_weight(self):
        tuning = PREVIOUS._replace(fair_queueing=True)
        ledger = make_ledger(tuning=tuning, memory=4000)
        ledger.reserve(make_request('runs', 3000))
        for number in range(6):
            ledger.reserve(make_request(f'flood{number}', 3000))
        other = make_request('other', 3000)
        work = other.work._replace(account='quiet')
        ledger.reserve(other._replace(work=work))
        order = []
        last = 'runs'
        for _ in range(3):
            ledger.release(f'e1/{last}', 10)
            last = ledger.take_grants()[0].attempt_id
            order.append(last)
        self.assertIn('other', order)
