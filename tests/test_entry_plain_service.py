"""Tests of calls to plain services: retried, claimed or sent once."""

import threading
import unittest

import urllib3

from tests.entry_fakes import (
    CALLER_KEY,
    FakeClaims,
    FakeEntry,
    wait_until,
)
from tests.standins.processes import LocalStandIn

# Method, key and fault of the service; then the expected status, error code
# and run state, and the expected number of runs after the call was sent a
# second time, to another entry.
CALLS = (
    ('POST', 'k', 'none', 201, None, 'run', 1),
    ('POST', 'k', 'die-before', 502, 'outcome_unknown', 'may_have_run', 0),
    ('POST', 'k', 'die-after', 502, 'outcome_unknown', 'may_have_run', 1),
    ('POST', 'k', 'cross', 502, 'outcome_unknown', 'may_have_run', 1),
    ('POST', '', 'die-before', 502, 'outcome_unknown', 'may_have_run', 1),
    ('POST', '', 'none', 201, None, 'run', 2),
    ('GET', '', 'drop-get', 200, None, 'run', 0),
)


class PlainServiceTest(unittest.TestCase):
    def setUp(self):
        self.claims = FakeClaims()
        self.entries = [FakeEntry(claims=self.claims) for _ in range(2)]
        for entry in self.entries:
            self.addCleanup(entry.stop)
        self.pool = urllib3.PoolManager(retries=False)
        self.addCleanup(self.pool.clear)

    def service(self, *options):
        service = LocalStandIn('service', *options)
        self.addCleanup(service.stop)
        for entry in self.entries:
            entry.upstreams.record_by_id.clear()
            self.assertEqual(service.announce(entry.address), 200)
        return service

    def send(self, entry, key='k', body=b'cot 7', method='POST'):
        headers = {'Authorization': f'Bearer {CALLER_KEY}'}
        if key:
            headers['Idempotency-Key'] = key
        return self.pool.request(
            method,
            f'{entry.url}/services/cot-ledger/holds?night=1',
            body=body if method == 'POST' else None,
            headers=headers,
        )

    def collect_answer(self, entry, answers):
        answers.append(self.send(entry))

    def settled(self, count=1):
        return wait_until(lambda: len(self.claims.settled_by_key) >= count)

    def test_outcomes_are_reported(self):
        for case in CALLS:
            with self.subTest(case[:3]):
                self.check(*case)

    def check(self, method, key, fault, status, code, run_state, runs):
        self.claims.claim_by_key.clear()
        self.claims.settled_by_key.clear()
        service = self.service('--fault', fault)
        answer = self.send(self.entries[0], key, method=method)
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.headers['X-Run-State'], run_state)
        if code:
            self.assertEqual(answer.json()['error']['code'], code)
        if key:
            self.assertTrue(self.settled())
        again = self.send(self.entries[1], key, method=method)
        if key and not code:
            self.assertEqual(again.data, answer.data)
            self.assertEqual(again.headers['Idempotent-Replayed'], 'true')
        if key and code:
            self.assertEqual(again.status, 409)
            self.assertEqual(again.json()['error']['code'], code)
        counted = service.state.runs_by_key.get(key or 'no-key', 0)
        self.assertEqual(counted, runs)

    def test_unknown_outcome_is_not_retried_elsewhere(self):
        first = self.service('--fault', 'die-after')
        second = LocalStandIn('service', '--fault', 'die-after')
        self.addCleanup(second.stop)
        entry = self.entries[0]
        self.assertEqual(second.announce(entry.address), 200)
        for runs, key in enumerate(('k', ''), start=1):
            with self.subTest(key=key):
                first.state.faults_left = 1
                second.state.faults_left = 1
                self.assertEqual(self.send(entry, key).status, 502)
                counted = sum(first.state.runs_by_key.values())
                counted += sum(second.state.runs_by_key.values())
                self.assertEqual(counted, runs)

    def test_concurrent_calls_with_one_key_run_once(self):
        service = self.service('--slow', '0.2')
        self.claims.settles_to_fail = 2
        answers = []
        threads = [
            threading.Thread(target=self.collect_answer, args=(entry, answers))
            for entry in self.entries * 4
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        by_status = {}
        for answer in answers:
            by_status.setdefault(answer.status, []).append(answer)
        self.assertEqual(len(by_status[201]), 1)
        self.assertEqual(len(by_status[409]), 7)
        for answer in by_status[409]:
            self.assertEqual(answer.json()['error']['code'], 'in_progress')
            self.assertTrue(answer.headers['Retry-After'])
        # The outcome is recorded although the first two attempts failed.
        self.assertTrue(self.settled())
        self.assertEqual(self.send(self.entries[1]).status, 201)
        other = self.send(self.entries[1], body=b'cot 8')
        self.assertEqual(other.status, 422)
        self.assertEqual(service.state.runs_by_key, {'k': 1})

    def test_not_run_is_reported_only_if_certain(self):
        service = self.service()
        self.claims.has_quorum = False
        answer = self.send(self.entries[0])
        self.assertEqual(answer.json()['error']['code'], 'no_quorum')
        self.assertEqual(answer.headers['X-Run-State'], 'not_run')
        self.claims.has_quorum = True
        service.stop()
        answer = self.send(self.entries[0])
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()['error']['run_state'], 'not_run')
        self.assertTrue(self.settled())
        # Nothing was sent, so a call with the same key may run.
        later = self.service()
        self.assertEqual(self.send(self.entries[1]).status, 201)
        self.assertEqual(later.state.runs_by_key, {'k': 1})

    def test_claimed_call_outlives_its_caller(self):
        service = self.service('--slow', '0.3')
        with self.assertRaises(urllib3.exceptions.TimeoutError):
            self.pool.request(
                'POST',
                f'{self.entries[0].url}/services/cot-ledger/holds',
                body=b'cot 7',
                headers={
                    'Authorization': f'Bearer {CALLER_KEY}',
                    'Idempotency-Key': 'k',
                },
                timeout=0.1,
            )
        self.assertTrue(self.settled())
        stored = next(iter(self.claims.settled_by_key.values())).stored
        self.assertEqual(stored.status, 201)
        self.assertEqual(service.state.runs_by_key, {'k': 1})
