"""Tests of relaying: faulty, late and cancelled answers of engines."""

import json
import socket
import time
import unittest
from http.client import HTTPResponse

import openai
import urllib3

from tests.entry_fakes import CALLER_KEY, LIMITS, FakeEntry, wait_until
from tests.standins.engine import token_text
from tests.standins.processes import LocalStandIn, StandIn
from tests.test_entry_bad_input import call
from verbenathread.entry.engine_client import Owner
from verbenathread.types import UpstreamState

TOKENS = 20
MODEL = 'draft-desk'
FULL_TEXT = ''.join(token_text(position) for position in range(TOKENS))
# Faults of the first engine, and the attempts that the request then takes.
FAULTS = (
    (('--die-at', '0'), 2),
    (('--die-at', '7'), 2),
    (('--truncate',), 2),
    (('--cross-at', '7'), 2),
    (('--skip-at', '7'), 2),
    (('--double-at', '7'), 1),
    (('--memory-tokens', '1'), 2),
    (('--chunked', '--die-at', '7'), 2),
    (('--chunked', '--cross-at', '7'), 2),
    (('--chunked', '--truncate'), 2),
    (('--die-at', '7', '--refuse-cancels', '3'), 2),
)


class RelayTestCase(unittest.TestCase):
    # Long, so that a busy machine is not mistaken for a slow reader.
    limits = LIMITS._replace(write_timeout=60_000)
    most_output_tokens = 100_000

    def setUp(self):
        self.entry = FakeEntry(
            limits=self.limits, most_output_tokens=self.most_output_tokens
        )
        self.addCleanup(self.entry.stop)
        self.pool = urllib3.PoolManager(retries=False)
        self.addCleanup(self.pool.clear)

    def start_engine(self, *options):
        engine = LocalStandIn('engine', *options)
        self.addCleanup(engine.stop)
        self.assertEqual(engine.announce(self.entry.address), 200)
        return engine

    def complete(self, headers=(), *, stream=False, preload=True, wait=20):
        return self.pool.request(
            'POST',
            f'{self.entry.url}/v1/completions',
            json={'model': MODEL, 'prompt': 'any cot?', 'stream': stream},
            headers={'Authorization': f'Bearer {CALLER_KEY}', **dict(headers)},
            preload_content=preload,
            timeout=wait,
        )

    def upstream_record(self, engine):
        return self.entry.upstreams.get(engine.announcement['upstream_id'])

    def assert_nothing_held(self, *engines):
        for engine in engines:
            self.assertTrue(
                wait_until(lambda one=engine: not one.state.hold_by_attempt)
            )
        fake = self.entry.reservations
        self.assertTrue(wait_until(lambda: fake.opened == fake.released))
        self.assertEqual(fake.live_by_id, {})
        self.assertTrue(
            wait_until(lambda: not self.entry.frontend.reaper.pending)
        )
        self.assertTrue(
            wait_until(lambda: not self.entry.frontend.body_budget.used_bytes)
        )


def streamed_text(content):
    text = ''
    for line in content.decode().splitlines():
        if line.startswith('data: {'):
            event = json.loads(line.removeprefix('data: '))
            text += event['choices'][0]['text']
    return text


class RelayFaultTest(RelayTestCase):
    def test_every_fault_yields_the_whole_answer(self):
        for options, attempts in FAULTS:
            for stream in (False, True):
                with self.subTest(fault=options, stream=stream):
                    self.check_fault(options, attempts, stream=stream)

    def check_fault(self, options, attempts, *, stream):
        opened = self.entry.reservations.opened
        self.entry.upstreams.record_by_id.clear()
        self.entry.reservations.turns = iter(range(100))
        faulty = self.start_engine(*options)
        healthy = self.start_engine()
        answer = self.complete(stream=stream)
        self.assertEqual(answer.status, 200)
        if stream:
            self.assertEqual(streamed_text(answer.data), FULL_TEXT)
            self.assertTrue(answer.data.endswith(b'data: [DONE]\n\n'))
        else:
            self.assertEqual(answer.json()['choices'][0]['text'], FULL_TEXT)
        self.assertEqual(self.entry.reservations.opened - opened, attempts)
        self.assert_nothing_held(faulty, healthy)

    def test_error_in_the_stream_if_no_engine_is_left(self):
        engine = self.start_engine('--die-at', '7')
        client = openai.OpenAI(
            base_url=f'{self.entry.url}/v1', api_key=CALLER_KEY, max_retries=0
        )
        self.addCleanup(client.close)
        texts = []
        with self.assertRaises(openai.APIError) as caught:
            for chunk in client.completions.create(
                model=MODEL, prompt='any cot?', stream=True
            ):
                texts.append(chunk.choices[0].text)
        self.assertEqual(len(texts), 7)
        self.assertEqual(caught.exception.body['run_state'], 'may_have_run')
        self.assert_nothing_held(engine)

    def test_late_answer_ends_at_the_time_limit(self):
        for options in ((), ('--forget-cancels',)):
            with self.subTest(options=options):
                self.check_late(options)

    def check_late(self, options):
        self.entry.upstreams.record_by_id.clear()
        engine = self.start_engine('--late', '0.6', *options)
        answer = self.complete((('X-Time-Limit-Ms', '200'),))
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.json()['error']['run_state'], 'may_have_run')
        # The engine reads the request only after the cancel.
        self.assertTrue(wait_until(lambda: engine.state.received))
        if options:
            self.entry.frontend.reaper.reconcile(self.upstream_record(engine))
        self.assert_nothing_held(engine)
        # The connection of the late answer is not reused.
        engine.options.late = 0
        self.assertEqual(
            self.complete().json()['choices'][0]['text'], FULL_TEXT
        )

    def test_killed_engine_is_released_once_gone(self):
        dying = StandIn('engine', '--decode-rate', '50')
        self.addCleanup(dying.kill)
        dying.announce(self.entry.address)
        healthy = self.start_engine()
        answer = self.complete(stream=True, preload=False)
        first = answer.read1()
        dying.kill()
        rest = answer.read()
        self.assertEqual(streamed_text(first + rest), FULL_TEXT)
        fake = self.entry.reservations
        self.assertEqual((fake.opened, fake.released), (2, 1))
        gone = self.upstream_record(dying)._replace(state=UpstreamState.GONE)
        self.entry.upstreams.record_by_id[gone.upstream_id] = gone
        self.assert_nothing_held(healthy)

    def test_successor_cancels_attempts_of_a_killed_entry(self):
        engine = self.start_engine('--decode-rate', '20')
        killed = StandIn('entry')
        self.addCleanup(killed.kill)
        engine.announce(killed.address)
        host, _, port = killed.address.rpartition(':')
        content = call({'model': MODEL, 'prompt': 'a', 'stream': True})
        with socket.create_connection((host, int(port)), 20) as sock:
            sock.sendall(content)
            sock.recv(4096)
            killed.kill()
        self.assertTrue(wait_until(lambda: engine.state.broken_streams))
        self.assertEqual(len(engine.state.hold_by_attempt), 1)
        successor = FakeEntry(incarnation=2)
        self.addCleanup(successor.stop)
        engine.announce(successor.address)
        self.assert_nothing_held(engine)

    def test_slow_reader_gets_every_token_in_order(self):
        tokens = 45_000
        engine = self.start_engine('--answer-tokens', str(tokens))
        content = call(
            {
                'model': MODEL,
                'prompt': 'a',
                'stream': True,
                'max_tokens': tokens,
            }
        )
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.settimeout(20)
            sock.connect(self.entry.address)
            sock.sendall(content)
            # Nothing is read until the send buffers of the entry are full.
            self.assertTrue(wait_until(lambda: engine.state.generated))
            last_count = -1
            while last_count < engine.state.generated:
                last_count = engine.state.generated
                time.sleep(0.2)
            self.assertEqual(self.entry.frontend.server.busy, 1)
            answer = HTTPResponse(sock)
            answer.begin()
            text = streamed_text(answer.read())
        self.assertEqual(text, ''.join(map(token_text, range(tokens))))
        self.assert_nothing_held(engine)

    def test_holds_of_an_earlier_incarnation_are_cancelled(self):
        engine = self.start_engine()
        owners = (
            (Owner('entry-1', 0), False),
            (Owner('entry-1', 2), True),
            (Owner('entry-2', 0), True),
        )
        for number, (owner, _) in enumerate(owners):
            engine.state.reserve(
                {
                    'attempt_id': f'attempt-{number}',
                    'memory_tokens': 5,
                    'owner': {
                        'node': owner.node_id,
                        'incarnation': owner.incarnation,
                    },
                }
            )
        found = self.entry.frontend.reaper.reconcile(
            self.upstream_record(engine)
        )
        self.assertEqual(found, 1)
        for number, (owner, kept) in enumerate(owners):
            with self.subTest(owner=owner):
                self.assertEqual(engine.state.holds(f'attempt-{number}'), kept)


class GroupTest(RelayTestCase):
    def test_each_engine_of_a_group_reserves_its_share(self):
        engines = [self.start_engine('--die-at', '7'), self.start_engine()]
        # More than the memory of either engine.
        fake = self.entry.reservations
        fake.group_tokens = 600_000
        error = self.complete().json()['error']
        self.assertEqual(error['code'], 'no_upstream')
        self.assertEqual(error['run_state'], 'may_have_run')
        self.assertEqual(engines[0].state.generated, 7)
        # The failed attempt was cancelled on both.
        self.assert_nothing_held(*engines)
        for engine in engines:
            self.assertTrue(engine.state.cancelled)


class CallerDisconnectTest(RelayTestCase):
    def test_disconnect_while_streaming(self):
        engine = self.start_engine('--decode-rate', '20')
        answer = self.complete(stream=True, preload=False)
        answer.read1()
        self.assertEqual(len(engine.state.hold_by_attempt), 1)
        answer.connection.sock.shutdown(2)
        answer.close()
        self.assert_nothing_held(engine)
        self.assertLess(engine.state.generated, TOKENS)

    def test_disconnect_before_the_first_token(self):
        engine = self.start_engine('--late', '0.3')
        with self.assertRaises(urllib3.exceptions.TimeoutError):
            self.complete(wait=0.1)
        self.assertTrue(wait_until(lambda: engine.state.received))
        self.assert_nothing_held(engine)
        self.assertEqual(engine.state.generated, 0)

    def test_disconnect_while_queued(self):
        engine = self.start_engine()
        self.entry.reservations.full.set()
        with self.assertRaises(urllib3.exceptions.TimeoutError):
            self.complete(wait=0.1)
        abandoned = self.entry.reservations.abandoned
        self.assertTrue(wait_until(lambda: len(abandoned) == 1))
        self.assertTrue(
            wait_until(lambda: self.entry.frontend.server.busy == 0)
        )
        self.assert_nothing_held(engine)
        self.assertEqual(engine.state.generated, 0)
