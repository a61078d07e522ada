"""Tests of non-blocking log output and of the request history."""

import io
import json
import os
import unittest
from unittest.mock import patch

from verbenathread import cmdline
from verbenathread.observability.bounded_output import BoundedOutput
from verbenathread.observability.request_history import format_request_history


def log_line(node, clock, event, **fields):
    """Return a line as a log collector writes it."""
    fields |= {'event': event, 'timestamp': f'2026-12-04T{clock}Z'}
    return f'{node} {json.dumps(fields)}'


LINES = (
    log_line(
        'g1', '10:00:00.100000', 'gateway: A worker changed.', worker='w1'
    ),
    log_line(
        'g1', '10:00:00.200000', 'gateway: A worker changed.', worker='w9'
    ),
    log_line(
        'g1',
        '10:00:01.500000',
        'gateway: Lost the connection to the directory.',
    ),
    log_line(
        'g2',
        '10:00:01.600000',
        'gateway: Lost the connection to the directory.',
    ),
    log_line(
        'g1',
        '10:00:02.500000',
        'gateway: A request ended.',
        request_id='r1',
        outcome='failed',
        reason='broken',
    ),
    log_line(
        'g1',
        '10:00:02.400000',
        'gateway: A send ended.',
        request_id='r1',
        worker='w1',
        verdict='broken',
        first=None,
    ),
    log_line(
        'g1',
        '10:00:02.300000',
        'gateway: A send ended.',
        request_id='r2',
        worker='w1',
    ),
    'g1 Traceback (most recent call last):',
    'g1 {"broken": ',
)


class RequestHistoryTest(unittest.TestCase):
    def test_history_is_ordered_and_about_one_request(self):
        history = format_request_history(LINES, 'r1')
        self.assertEqual(
            history,
            [
                '10:00:00.100 g1 gateway: A worker changed. worker=w1',
                '10:00:01.500 g1 gateway: Lost the connection to the directory. ',
                '10:00:02.400 g1 gateway: A send ended. worker=w1'
                ' verdict=broken',
                '10:00:02.500 g1 gateway: A request ended. outcome=failed'
                ' reason=broken',
            ],
        )

    def test_debug_command(self):
        with patch('sys.stdin', io.StringIO('\n'.join(LINES))):
            with patch('sys.stdout', io.StringIO()) as printed:
                self.assertEqual(cmdline.main(['debug', '--request', 'r1']), 0)
        self.assertIn('verdict=broken', printed.getvalue())

    def test_unknown_request_is_an_error_with_advice(self):
        with patch('sys.stdin', io.StringIO('')):
            with patch('sys.stderr', io.StringIO()) as printed:
                self.assertEqual(cmdline.main(['debug', '--request', 'x']), 2)
        self.assertIn('pass the logs', printed.getvalue())


class BoundedOutputTest(unittest.TestCase):
    def test_stalled_reader_does_not_block(self):
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        text = 'x' * 199 + '\n'
        for _ in range(10_000):
            output.write(text)
        self.assertGreater(output.dropped, 1000)
        os.set_blocking(reader, False)
        output_bytes = b''
        for _ in range(100):
            try:
                output_bytes += os.read(reader, 0x10000)
            except BlockingIOError:
                output.write('last\n')
        lines = output_bytes.decode().splitlines()
        self.assertIn('last', lines)
        self.assertTrue(any('Lines were dropped' in one for one in lines))
        for one in lines:
            self.assertIn(one[0], 'x{l')
        os.close(reader)
        os.close(writer)

    def test_closed_reader_is_tolerated(self):
        reader, writer = os.pipe()
        os.close(reader)
        output = BoundedOutput(writer)
        output.write('unread\n')
        output.flush()
        os.close(writer)
