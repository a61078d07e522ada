"""Log output that never blocks, and the story of one request."""

import io
import json
import os
import unittest
from unittest.mock import patch

from verbenathread import cmdline
from verbenathread.observability.bounded_output import BoundedOutput
from verbenathread.observability.request_history import format_request_history


def line(node, clock, event, **said):
    """Return a line as a collector writes it."""
    said |= {'event': event, 'timestamp': f'2026-12-04T{clock}Z'}
    return f'{node} {json.dumps(said)}'


LINES = (
    line('g1', '10:00:00.100000', 'gateway: A worker changed.', worker='w1'),
    line('g1', '10:00:00.200000', 'gateway: A worker changed.', worker='w9'),
    line(
        'g1',
        '10:00:01.500000',
        'gateway: Lost the connection to the directory.',
    ),
    line(
        'g2',
        '10:00:01.600000',
        'gateway: Lost the connection to the directory.',
    ),
    line(
        'g1',
        '10:00:02.500000',
        'gateway: A request ended.',
        request_id='r1',
        outcome='failed',
        reason='broken',
    ),
    line(
        'g1',
        '10:00:02.400000',
        'gateway: A send ended.',
        request_id='r1',
        worker='w1',
        verdict='broken',
        first=None,
    ),
    line(
        'g1',
        '10:00:02.300000',
        'gateway: A send ended.',
        request_id='r2',
        worker='w1',
    ),
    'g1 Traceback (most recent call last):',
    'g1 {"broken": ',
)


class StoryTest(unittest.TestCase):
    def test_the_story_is_in_order_and_about_one_request(self):
        told = format_request_history(LINES, 'r1')
        self.assertEqual(
            told,
            [
                '10:00:00.100 g1 gateway: A worker changed. worker=w1',
                '10:00:01.500 g1 gateway: Lost the connection to the directory. ',
                '10:00:02.400 g1 gateway: A send ended. worker=w1'
                ' verdict=broken',
                '10:00:02.500 g1 gateway: A request ended. outcome=failed'
                ' reason=broken',
            ],
        )

    def test_the_command(self):
        with patch('sys.stdin', io.StringIO('\n'.join(LINES))):
            with patch('sys.stdout', io.StringIO()) as printed:
                self.assertEqual(cmdline.main(['debug', '--request', 'r1']), 0)
        self.assertIn('verdict=broken', printed.getvalue())

    def test_an_unknown_request_is_an_error_with_a_remedy(self):
        with patch('sys.stdin', io.StringIO('')):
            with patch('sys.stderr', io.StringIO()) as printed:
                self.assertEqual(cmdline.main(['debug', '--request', 'x']), 2)
        self.assertIn('give the logs', printed.getvalue())


class BoundedOutputTest(unittest.TestCase):
    def test_a_reader_that_stops_blocks_nobody(self):
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        text = 'x' * 199 + '\n'
        for _ in range(10_000):
            output.write(text)
        self.assertGreater(output.dropped, 1000)
        os.set_blocking(reader, False)
        whole = b''
        for _ in range(100):
            try:
                whole += os.read(reader, 0x10000)
            except BlockingIOError:
                output.write('last\n')
        lines = whole.decode().splitlines()
        self.assertIn('last', lines)
        self.assertTrue(any('Lines were dropped' in one for one in lines))
        for one in lines:
            self.assertIn(one[0], 'x{l')
        os.close(reader)
        os.close(writer)

    def test_a_closed_reader_is_survived(self):
        reader, writer = os.pipe()
        os.close(reader)
        output = BoundedOutput(writer)
        output.write('nobody reads\n')
        output.flush()
        os.close(writer)
