"""The platform's templates, filled in with the values of various sites."""

import re
import unittest
from pathlib import Path
from types import MappingProxyType

from verbenathread.clock import SystemClock
from verbenathread.gateway.context import build_context
from verbenathread.platform.headers import PlatformDialect
from verbenathread.settings.node import check_node_text
from verbenathread.types import Address, Peer

_DEPLOY = Path(__file__).resolve().parent.parent / 'deploy'
SITE = MappingProxyType(
    {
        'node': 'edge-jackson-ms-1',
        'zone': 'jackson-ms',
        'region': 'deep-south',
        'ip': '10.1.0.40',
        'listen.front': '10.1.0.40:8227',
        'listen.ready': '10.1.0.40:8220',
        'listen.control': '10.1.0.40:8229',
        'internal-ports.0': '7340',
        'seeds': '10.1.0.43:8229,10.2.0.32:8229',
        'data-dir': '/data',
        'bootstrap': 'true',
        'heartbeat-interval-ms': '1200',
        'fault-tolerance.machines': '1',
        'bounds.grace-s': '8',
        'bounds.budget-ratio': '0.2',
        'bounds.budget-window-s': '10',
        'bounds.budget-slack': '106',
        'bounds.free-ms': '4000',
    }
)
FRACTIONS = MappingProxyType(
    {
        'heartbeat-interval-ms': '1200.5',
        'bounds.grace-s': '7.25',
        'bounds.budget-ratio': '0.175',
        'bounds.budget-window-s': '2.5',
        'bounds.budget-slack': '37.666666666666664',
        'bounds.free-ms': '3999.6',
    }
)
ZEROS = MappingProxyType(
    {
        'fault-tolerance.machines': '0',
        'bounds.grace-s': '0',
        'bounds.budget-ratio': '0',
        'bounds.budget-window-s': '0',
        'bounds.budget-slack': '0',
        'bounds.free-ms': '0',
    }
)
LARGE = MappingProxyType(
    {
        'heartbeat-interval-ms': '60000',
        'fault-tolerance.machines': '3',
        'bounds.grace-s': '600',
        'bounds.budget-ratio': '2',
        'bounds.budget-window-s': '300',
        'bounds.budget-slack': '1e6',
        'bounds.free-ms': '120000',
    }
)


def fill(name, changes):
    """Return the template with its placeholders replaced."""
    value_by_name = {**SITE, **changes}
    text = (_DEPLOY / name).read_text()
    return re.sub(r'\{\{(.+?)\}\}', lambda match: value_by_name[match[1]], text)


class TemplateTest(unittest.TestCase):
    def test_templates_accept_the_values_of_a_site(self):
        for changes in ({}, FRACTIONS, ZEROS, LARGE):
            for name in ('gateway.ini', 'directory.ini'):
                with self.subTest(name=name, changes=changes):
                    _, problems = check_node_text(name, fill(name, changes))
                    self.assertEqual([str(one) for one in problems], [])

    def test_fractions_keep_their_meaning(self):
        text = fill('gateway.ini', FRACTIONS)
        gateway = check_node_text('gateway.ini', text)[0].gateway
        self.assertEqual(gateway.stop_limit, 7250)
        self.assertEqual(gateway.retry_window, 2500)
        self.assertAlmostEqual(gateway.retry_slack, 37.6667, 3)
        self.assertEqual(gateway.reserve_stale, 4000)
        text = fill('directory.ini', FRACTIONS)
        directory = check_node_text('directory.ini', text)[0].directory
        self.assertEqual(directory.worker_heartbeat, 1200)

    def test_a_gateway_can_be_built_from_extreme_values(self):
        for changes in (FRACTIONS, ZEROS, LARGE):
            with self.subTest(changes=changes):
                text = fill('gateway.ini', changes)
                node, _ = check_node_text('gateway.ini', text)
                peer = Peer('g1', Address('127.0.0.1', 0))
                context = build_context(
                    node.gateway,
                    'a',
                    peer,
                    {},
                    PlatformDialect(),
                    SystemClock(),
                )
                context.retry_budget.record_request('desk', 1)
                context.retry_budget.try_acquire('desk', 1)

    def test_malformed_durations_are_rejected(self):
        for text in ('x', '', 's', '1 h', '1 mss', 'nan', 'inf', '-1', '1 s 2'):
            with self.subTest(text=text):
                changed = fill('gateway.ini', {'bounds.free-ms': text})
                _, problems = check_node_text('gateway.ini', changed)
                self.assertEqual(len(problems), 1)
                self.assertIn('reserve_stale', str(problems[0]))
