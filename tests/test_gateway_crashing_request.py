"""Repeated requests that crash every worker that runs them."""

from unittest import IsolatedAsyncioTestCase

from tests.crash_play import Call, Case, play
from tests.standins.troubled_worker import PLAIN_SERVICE, Behaviour
from tests.test_gateway_crashing_part import check_sound

# Sends that may follow the third crash.
COUNTED_CRASHES = 3
MAX_LATER_SENDS = 3
CASES = (
    Case(
        'a lookup at a plain service with few workers',
        gateways=9,
        workers=3,
        behaviour=Behaviour(crashing_requests=('night GET /check/bad',)),
        group=1,
        group_interval_s=0.45,
        crashing=(Call('/check/bad', 'GET'),),
        sound=(
            Call('/check/{number}', 'GET'),
            Call('/check/popular', 'GET'),
            Call('/hold/{number}'),
        ),
        service=PLAIN_SERVICE,
        counted_crashes=COUNTED_CRASHES,
    ),
    Case(
        'a body of a call that may run once, answered until the connection ends',
        gateways=4,
        workers=5,
        behaviour=Behaviour(
            crashing_requests=('night POST /hold/1 bad',), until_close=True
        ),
        group=1,
        group_interval_s=0.3,
        crashing=(Call('/hold/1', body='bad'),),
        sound=(Call('/hold/1', body='{number}'), Call('/check/1', 'GET')),
        service=PLAIN_SERVICE,
        counted_crashes=COUNTED_CRASHES,
    ),
    Case(
        'a resumed stream that shares nothing with others',
        gateways=5,
        workers=8,
        behaviour=Behaviour(crashing_requests=('night POST /note/1 bad',)),
        group=1,
        group_interval_s=0.5,
        crashing=(Call('/note/1', body='bad'),),
        sound=(Call('/note/1', body='{number}'),),
        counted_crashes=COUNTED_CRASHES,
    ),
    Case(
        'two requests, beside crashes of workers and broken connections, with'
        ' a gateway that starts late',
        gateways=6,
        workers=6,
        behaviour=Behaviour(
            crashing_requests=('night GET /check/x', 'night GET /check/y'),
            broken_answer=9,
        ),
        group=2,
        group_interval_s=0.6,
        crashing=(Call('/check/x', 'GET'), Call('/check/y', 'GET')),
        sound=(Call('/check/{number}', 'GET'), Call('/check/popular', 'GET')),
        service=PLAIN_SERVICE,
        counted_crashes=COUNTED_CRASHES,
        late_gateways=1,
        own_crash_interval_s=1.7,
    ),
)


class CrashingRequestTest(IsolatedAsyncioTestCase):
    async def test_a_repeated_request_crashes_few_workers(self):
        for case in CASES:
            with self.subTest(case.name):
                outcome = await play(case)
                self.assertTrue(outcome.later_sends)
                for later_sends in outcome.later_sends.values():
                    self.assertLessEqual(later_sends, MAX_LATER_SENDS)
                check_sound(self, outcome)
                # No sound request is kept from workers.
                self.assertEqual(len(outcome.found), len(case.crashing))
