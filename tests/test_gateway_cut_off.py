"""Gateways that are cut off from all workers, beside others that serve."""

import asyncio
import itertools
from typing import NamedTuple
from unittest import IsolatedAsyncioTestCase

from tests.gateway_fleet import GatewayFleet
from tests.gateway_harness import Response
from tests.standins.platform_worker import event
from tests.standins.troubled_worker import LAST_EVENT
from tests.worker_links import Cut

# Gateways that are cut off serve their callers from this time after the cut.
CONTACT_S = 3.0
OBSERVED_S = 3.0
# First tries served by gateways that are cut off, against the others.
MIN_SHARE = 2 / 3
# Time after the end of a cut in which its gateways reach workers again.
JOIN_S = 2.0
# A caller whom no gateway can serve is told at once.
MAX_REFUSAL_S = 1.0
INTERVAL_S = 0.02
EVENTS = b''.join(event(number) for number in range(1, LAST_EVENT + 1))


class Case(NamedTuple):
    """One deployment and one cut."""

    name: str
    gateways: int
    cut: int
    how: Cut
    engines: int
    plain_workers: int


CASES = (
    Case('six of nine', 9, 6, Cut.REFUSED, 8, 3),
    Case('one data centre', 6, 2, Cut.SILENT, 6, 2),
    Case('living connections', 5, 3, Cut.NEW_REFUSED, 4, 4),
    Case('living connections, silent ports', 4, 1, Cut.NEW_SILENT, 12, 1),
)


class Sent(NamedTuple):
    """The first try of a request."""

    sent_at: float
    took_s: float
    gateway: int
    attempt_id: str
    path: str
    response: Response

    @property
    def is_served(self) -> bool:
        """Return whether the whole answer to this request came."""
        body = EVENTS if self.path.startswith('/note') else b'booked'
        return (
            self.response.status == 200
            and self.response.complete
            and self.response.body == body
            and self.response.header_by_name['attempt-id'] == self.attempt_id
        )


class Callers:
    """Send requests of all kinds to all gateways in turn."""

    def __init__(self, fleet: GatewayFleet) -> None:
        """Send to the gateways of ``fleet``."""
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent: list[Sent] = []

    async def run(self) -> None:
        """Send until cancelled."""
        paths = itertools.cycle(('/note/{}', '/check/{}', '/hold/{}'))
        count = len(self._fleet.started)
        for number in itertools.count(1):
            # A path and a gateway meet in all pairs.
            gateway = number // 3 % count
            task = asyncio.create_task(
                self._send(gateway, f'r{number}', next(paths).format(number))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    async def finish(self) -> None:
        """Wait for the requests in progress."""
        await asyncio.gather(*self._tasks)

    async def _send(self, gateway: int, attempt_id: str, path: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        harness = self._fleet.started[gateway]
        headers = ''
        if path.startswith('/note'):
            headers = f'Prompt-Prefix: a1:40,{attempt_id}:30\r\n'
        response = await harness.send(
            path, attempt_id=attempt_id, headers=headers
        )
        took_s = loop.time() - sent_at
        self.sent.append(
            Sent(sent_at, took_s, gateway, attempt_id, path, response)
        )


class CutOffTest(IsolatedAsyncioTestCase):
    async def test_gateways_that_are_cut_off_serve_their_callers(self):
        for case in CASES:
            with self.subTest(case.name):
                await self._play(case)

    async def test_a_cut_of_all_gateways_refuses_at_once(self):
        fleet, callers = await self._start(3, 3, 4, 2)
        sending = asyncio.create_task(callers.run())
        await asyncio.sleep(1)
        await fleet.cut(Cut.REFUSED)
        loop = asyncio.get_running_loop()
        cut_at = loop.time()
        await asyncio.sleep(2 * CONTACT_S)
        sending.cancel()
        await callers.finish()
        await fleet.stop()
        late = [one for one in callers.sent if one.sent_at > cut_at + CONTACT_S]
        self.assertTrue(late)
        for one in late:
            self.assertEqual(one.response.status, 503)
            self.assertLess(one.took_s, MAX_REFUSAL_S)
        self._check_runs(fleet, callers)

    async def test_cuts_that_overlap_beside_crashes_of_workers(self):
        fleet, callers = await self._start(6, 4, 8, 4)
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(callers.run())
        crashing = asyncio.create_task(self._crash_workers(fleet))
        await asyncio.sleep(1)
        await fleet.cut(Cut.REFUSED, (0, 1))
        await asyncio.sleep(1)
        await fleet.cut(Cut.SILENT, (2, 3))
        observed_from = loop.time() + CONTACT_S
        await asyncio.sleep(CONTACT_S + OBSERVED_S / 2)
        await fleet.join((0, 1))
        await asyncio.sleep(OBSERVED_S / 2)
        observed_to = loop.time()
        crashing.cancel()
        await fleet.join((2, 3))
        await asyncio.sleep(JOIN_S)
        sending.cancel()
        await callers.finish()
        await fleet.stop()
        self._check_shares(callers, observed_from, observed_to, 4)
        self._check_runs(fleet, callers)
        for gateway in fleet.started:
            # Neither the cuts nor the crashes are blamed on a request.
            self.assertEqual(list(gateway.context.quarantine.groups), [])

    async def _crash_workers(self, fleet: GatewayFleet) -> None:
        while True:
            await asyncio.sleep(1.3)
            fleet.crash_worker()

    async def _play(self, case: Case) -> None:
        fleet, callers = await self._start(
            case.gateways, case.cut, case.engines, case.plain_workers
        )
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(callers.run())
        await asyncio.sleep(1)
        await fleet.cut(case.how)
        observed_from = loop.time() + CONTACT_S
        await asyncio.sleep(CONTACT_S + OBSERVED_S)
        observed_to = loop.time()
        await fleet.join()
        await asyncio.sleep(JOIN_S)
        joined_at = loop.time()
        await asyncio.sleep(1)
        sending.cancel()
        await callers.finish()
        await fleet.stop()
        self._check_shares(callers, observed_from, observed_to, case.cut)
        after = [one for one in callers.sent if one.sent_at > joined_at]
        self.assertTrue(all(one.is_served for one in after))
        self._check_runs(fleet, callers)

    async def _start(self, gateways, cut, engines, plain_workers):
        fleet = GatewayFleet(gateways, engines, plain_workers=plain_workers)
        await fleet.start()
        await fleet.prepare_cuts(range(cut))
        return fleet, Callers(fleet)

    def _check_shares(
        self, callers: Callers, begin: float, end: float, cut_count: int
    ) -> None:
        """Check that cut gateways serve nearly as many as the others."""
        observed = [one for one in callers.sent if begin < one.sent_at < end]
        cut = [one.is_served for one in observed if one.gateway < cut_count]
        others = [one.is_served for one in observed if one.gateway >= cut_count]
        self.assertGreaterEqual(
            sum(cut) / len(cut), MIN_SHARE * sum(others) / len(others)
        )

    def _check_runs(self, fleet: GatewayFleet, callers: Callers) -> None:
        """Check that bookings ran once at most, refused requests never."""
        runs = [
            received.attempt_id
            for standin in fleet.standins
            for received in standin.requests
        ]
        for one in callers.sent:
            count = runs.count(one.attempt_id)
            if one.path.startswith('/hold'):
                self.assertLessEqual(count, 1)
            if one.response.status == 503:
                self.assertEqual(count, 0)
