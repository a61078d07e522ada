"""Tests of cancels to unresponsive engines."""

import unittest

from tests.entry_fakes import FakeReservations, FakeUpstreams, wait_until
from verbenathread.clock import ManualClock
from verbenathread.entry.engine_client import Owner
from verbenathread.entry.engine_errors import EngineBrokenError
from verbenathread.entry.reaper import Reaper
from verbenathread.types import (
    Address,
    Reservation,
    UpstreamKind,
    UpstreamRecord,
    UpstreamState,
)

UNRESPONSIVE = Address('127.0.0.1', 1)
RESPONSIVE = Address('127.0.0.1', 2)


class FakeClient:
    """Does not answer cancels to one engine while ``unresponsive`` is set."""

    def __init__(self):
        self.cancelled_engines = []
        self.unresponsive = True

    def cancel(self, engine, attempt_id, timeout):
        self.cancelled_engines.append(engine)
        if engine == UNRESPONSIVE and self.unresponsive:
            raise EngineBrokenError('No answer.')
        return False

    def holds(self, engine, timeout):
        return ()


class ReaperTest(unittest.TestCase):
    def setUp(self):
        self.client = FakeClient()
        self.clock = ManualClock()
        self.upstreams = FakeUpstreams()
        self.reservations = FakeReservations(self.upstreams)
        self.reaper = Reaper(
            self.client,
            self.reservations,
            self.upstreams,
            Owner('entry-1', 1),
            self.clock,
        )

    def cancel(self, attempt_id, address):
        engine = UpstreamRecord(
            str(address),
            1,
            UpstreamState.READY,
            0,
            'draft-desk',
            UpstreamKind.ENGINE,
            address,
            'local',
            1000,
        )
        self.upstreams.announce(engine)
        held = Reservation(
            attempt_id, attempt_id, (engine.upstream_id,), 10, 0, 0
        )
        self.reservations.live_by_id[attempt_id] = held
        self.reaper.cancel(held, (engine,), 0)

    def test_unresponsive_engine_does_not_delay_another(self):
        for number in range(20):
            self.cancel(f'unresponsive-{number}', UNRESPONSIVE)
        self.cancel('responsive', RESPONSIVE)
        self.reaper.start()
        live = self.reservations.live_by_id
        self.assertTrue(wait_until(lambda: 'responsive' not in live))
        self.assertEqual(
            self.client.cancelled_engines, [UNRESPONSIVE, RESPONSIVE]
        )
        # Pending until the engine answers, however long that takes.
        self.assertEqual((len(live), self.reaper.pending), (20, 20))
        self.client.unresponsive = False
        self.clock.advance(5000)
        self.assertTrue(wait_until(lambda: not live))
        self.reaper.stop(0)
        self.assertEqual(self.reservations.released, 21)
