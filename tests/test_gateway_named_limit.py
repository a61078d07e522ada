"""Workers that name how many requests a second they take from all gateways."""

import asyncio
import itertools
from typing import NamedTuple
from unittest import IsolatedAsyncioTestCase

from tests.gateway_fleet import GatewayFleet
from tests.standins.troubled_worker import PLAIN_SERVICE, TroubledWorker

# All gateways heed a limit this long after it was first named.
CONTACT_S = 3.0
# In each span of this length a worker may get so many times what its limit
# allows, and some requests more.
SPAN_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
CALM_S = 1.0
LIMITED_S = CONTACT_S + SPAN_S + 1
LIFTED_S = 2.0
# A caller who is refused knows it at once.
MAX_REFUSAL_S = 0.3
# Requests that limited workers serve, at least, of those that they take.
MIN_SERVED_SHARE = 0.5


class Case(NamedTuple):
    """One deployment, its load and its limits."""

    name: str
    service: str
    gateways: int
    workers: int
    limited: int
    limit: float
    requests_per_s: float


CASES = (
    Case('one engine of six', 'desk', 4, 6, 1, 1, 30),
    Case('a fraction, many gateways', 'desk', 16, 4, 2, 0.5, 30),
    Case('a plain service', PLAIN_SERVICE, 9, 3, 1, 2.5, 60),
    Case('all of a plain service', PLAIN_SERVICE, 4, 3, 3, 4, 40),
)


class Sent(NamedTuple):
    """One request and its answer."""

    sent_at: float
    took_s: float
    status: int
    retry_after: str


class NamedLimitTest(IsolatedAsyncioTestCase):
    async def test_a_named_limit_holds_over_all_gateways(self):
        for case in CASES:
            with self.subTest(case.name):
                await self._play(case)

    async def _play(self, case: Case) -> None:
        fleet = GatewayFleet(case.gateways, case.workers, service=case.service)
        await fleet.start()
        limited = fleet.standins[: case.limited]
        callers = Callers(fleet, case)
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(callers.send())
        await asyncio.sleep(CALM_S)
        _name_limit(limited, case.limit)
        limited_at = loop.time()
        await asyncio.sleep(LIMITED_S)
        _name_limit(limited, None)
        lifted_at = loop.time()
        # Heard of with the next answer, which the limit delays.
        await asyncio.sleep(CONTACT_S + LIFTED_S)
        sending.cancel()
        await callers.finish()
        await fleet.stop()
        for standin in limited:
            self._check_spans(standin, case, limited_at + CONTACT_S, lifted_at)
            used = _count(standin, lifted_at + CONTACT_S)
            self.assertGreater(used, LIFTED_S * case.limit)
        self._check_answers(callers.results, case)
        served = [
            sent
            for sent in callers.results
            if sent.status == 200
            and limited_at + CONTACT_S <= sent.sent_at < lifted_at
        ]
        limits = case.limit * case.limited * (LIMITED_S - CONTACT_S)
        self.assertGreaterEqual(len(served), MIN_SERVED_SHARE * limits)

    def _check_spans(
        self, standin: TroubledWorker, case: Case, begin: float, end: float
    ) -> None:
        allowed = TOLERANCE * case.limit * SPAN_S + EXTRA_REQUESTS
        arrivals = [at for at in standin.arrivals if begin <= at < end]
        for first in arrivals:
            count = sum(1 for at in arrivals if first <= at < first + SPAN_S)
            self.assertLessEqual(count, allowed)

    def _check_answers(self, results: list[Sent], case: Case) -> None:
        for sent in results:
            if sent.status == 200:
                continue
            self.assertEqual(case.limited, case.workers)
            self.assertEqual(sent.status, 503)
            self.assertGreater(float(sent.retry_after), 0)
            self.assertLess(sent.took_s, MAX_REFUSAL_S)


class Callers:
    """Send requests to the gateways in turn."""

    def __init__(self, fleet: GatewayFleet, case: Case) -> None:
        self._fleet = fleet
        self._case = case
        self._tasks: set[asyncio.Task[None]] = set()
        self.results: list[Sent] = []

    async def send(self) -> None:
        """Send requests until cancelled."""
        for number in itertools.count():
            task = asyncio.create_task(self._send_one(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self._case.requests_per_s)

    async def finish(self) -> None:
        """Wait for the requests in progress."""
        await asyncio.gather(*self._tasks)

    async def _send_one(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        gateways = self._fleet.gateways
        is_plain = self._case.service == PLAIN_SERVICE
        response = await gateways[number % len(gateways)].send(
            '/check/1' if is_plain else '/note/1', attempt_id=f'r{number}'
        )
        self.results.append(
            Sent(
                sent_at,
                loop.time() - sent_at,
                response.status,
                response.header_by_name.get('retry-after', '0'),
            )
        )


def _name_limit(standins: list[TroubledWorker], limit: float | None) -> None:
    for standin in standins:
        standin.limit = limit


def _count(standin: TroubledWorker, begin: float) -> int:
    return sum(1 for arrived_at in standin.arrivals if arrived_at >= begin)
