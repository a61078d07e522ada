"""Prompts with one part that crashes every worker, beside sound ones."""

import itertools
from unittest import IsolatedAsyncioTestCase

from tests.crash_play import MIN_SAMPLE, Call, Case, play
from tests.gateway_fleet import GatewayFleet
from tests.standins.troubled_worker import Behaviour

# Sends with the part that may follow.
MAX_LATER_SENDS = 3
# Sound requests served at the first attempt, against the time before.
MIN_SOUND_SHARE = 0.5
CRASHING = 'bad0'


def prompt(*shared):
    """Return a request whose prompt begins with these parts."""
    parts = ''.join(f'{part},' for part in shared)
    return Call('/note/1', headers=f'Prompt-Prefix: {parts}{{number:x}}:30\r\n')


CASES = (
    Case(
        'groups that are resumed',
        gateways=4,
        workers=10,
        behaviour=Behaviour(CRASHING),
        group=4,
        group_interval_s=1.6,
        crashing=(
            prompt('a1:40', f'{CRASHING}:30'),
            prompt('a2:40', f'{CRASHING}:30'),
        ),
        sound=(prompt('a1:40'), prompt('a2:40'), prompt('a3:40')),
    ),
    Case(
        'single requests, answers that end with their connection',
        gateways=9,
        workers=6,
        behaviour=Behaviour(CRASHING, until_close=True),
        group=1,
        group_interval_s=0.5,
        crashing=(prompt('a1:40', f'{CRASHING}:30'),),
        sound=(prompt('a1:40'), prompt('a2:40')),
        resumable=False,
    ),
    Case(
        'beside broken connections, with a first part that is rarely sound',
        gateways=5,
        workers=8,
        behaviour=Behaviour(CRASHING, broken_answer=9),
        group=2,
        group_interval_s=0.7,
        crashing=(prompt('a9:40', f'{CRASHING}:30'),),
        sound=(*itertools.repeat(prompt('a1:40'), 9), prompt('a9:40')),
    ),
)


class CrashingPartTest(IsolatedAsyncioTestCase):
    async def test_crashes_end_and_sound_requests_are_served(self):
        for case in CASES:
            with self.subTest(case.name):
                outcome = await play(case)
                for later_sends in outcome.later_sends.values():
                    self.assertLessEqual(later_sends, MAX_LATER_SENDS)
                check_sound(self, outcome)


def check_sound(test, outcome):
    """Check that sound requests are served nearly as often as before."""
    before = outcome.served_before
    after = outcome.served_after
    test.assertGreaterEqual(len(before), MIN_SAMPLE)
    test.assertGreaterEqual(len(after), MIN_SAMPLE)
    share_before = sum(before) / len(before)
    share_after = sum(after) / len(after)
    test.assertGreaterEqual(share_after, MIN_SOUND_SHARE * share_before)


class RefusalTest(IsolatedAsyncioTestCase):
    async def test_a_quarantined_prompt_is_not_sent(self):
        fleet = GatewayFleet(1, 2, Behaviour(CRASHING))
        await fleet.start()
        gateway = fleet.gateways[0]
        # An empty group, of which every request has all parts, is none.
        gateway.context.quarantine.apply_list(
            [frozenset((CRASHING,)), frozenset()]
        )
        # Prompt-Prefix, status
        cases = (
            (f'a1:40,{CRASHING}:30,c1:30', 503),
            # The last part is the request's own.
            (f'a1:40,{CRASHING}:30', 200),
            ('a1:40,c1:30', 200),
        )
        for prefix, status in cases:
            with self.subTest(prefix):
                response = await gateway.send(
                    '/note/1', headers=f'Prompt-Prefix: {prefix}\r\n'
                )
                self.assertEqual(response.status, status)
                if status == 503:
                    retry_after = float(response.header_by_name['retry-after'])
                    self.assertGreater(retry_after, 600)
        sends = sum(len(standin.requests) for standin in fleet.standins)
        self.assertEqual(sends, 2)
        await fleet.stop()
