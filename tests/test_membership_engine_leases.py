"""Property test of engine leases: never two owners at the same time."""

import random
import unittest
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenathread.clock import ManualClock
from verbenathread.membership import wire
from verbenathread.membership.engine_leases import (
    DRIFT_PER_MILLE,
    EngineLeases,
    Phase,
)
from verbenathread.membership.hashing import preferred_node
from verbenathread.membership.lease_acceptor import (
    MAX_LEASE_MS,
    Ballot,
    LeaseAcceptor,
    LeaseResponse,
    Verdict,
)

IDS = ('a', 'b', 'c')
ENGINE = 'e1'
STEP_MS = 50
STEPS = 900


class DriftingClock:
    """Clock of one node that drifts within the bound."""

    def __init__(self, world, per_mille, offset):
        self._world = world
        self._per_mille = per_mille
        self._offset = offset

    def now(self):
        drift = self._world.true_now * self._per_mille // 1000
        return self._world.true_now + drift + self._offset

    def wall(self):
        return self.now()


class World:
    """Three nodes whose messages are lost, delayed, doubled and reordered."""

    def __init__(self, seed, reliable=False, step=STEP_MS):
        self.rng = random.Random(seed)
        self.isolated_id = ''
        self.alive_ids = frozenset(IDS)
        self.reliable = reliable
        self.step = step
        self.true_now = 0
        self.in_flight = []
        self.last_incarnation = 0
        self.clock_by_id = {}
        self.leases_by_id = {}
        self.incarnation_by_id = {}
        self.paused_until_by_id = dict.fromkeys(IDS, 0)
        self.loss = 0 if reliable else self.rng.choice((0, 1, 4))
        self.longest_delay = (
            20 if reliable else self.rng.choice((20, 400, 7000))
        )
        for node_id in IDS:
            self.clock_by_id[node_id] = DriftingClock(
                self,
                self.rng.choice((-DRIFT_PER_MILLE, 0, DRIFT_PER_MILLE)),
                self.rng.randrange(10**6),
            )
            self.restart(node_id)

    def restart(self, node_id):
        self.last_incarnation += 1
        clock = self.clock_by_id[node_id]
        acceptor = LeaseAcceptor(clock, self.last_incarnation)
        self.incarnation_by_id[node_id] = self.last_incarnation
        self.leases_by_id[node_id] = EngineLeases(
            IDS, acceptor, clock, lambda node_id: None, node_id=node_id
        )

    def owners(self):
        return [
            node_id
            for node_id, leases in self.leases_by_id.items()
            if leases.holds(ENGINE)
        ]

    def schedule(self, action):
        """Run an action after a delay, possibly twice or not at all."""
        for _ in range(self.rng.choice((1, 1, 1, 2))):
            if self.rng.randrange(10) >= self.loss:
                delay = self.rng.randrange(1, self.longest_delay)
                self.in_flight.append((self.true_now + delay, action))

    def advance(self):
        self.true_now += self.step
        due = [entry for entry in self.in_flight if entry[0] <= self.true_now]
        self.in_flight = [entry for entry in self.in_flight if entry not in due]
        self.rng.shuffle(due)
        for _, action in due:
            action()
        for node_id in IDS:
            self.run_node(node_id)

    def run_node(self, node_id):
        if self.true_now < self.paused_until_by_id[node_id]:
            return
        chance = 1000 if self.reliable else self.rng.randrange(1000)
        if chance < 2:
            self.restart(node_id)
        elif chance < 7:
            pause = self.rng.randrange(100, 9000)
            self.paused_until_by_id[node_id] = self.true_now + pause
        elif chance < 12 and self.leases_by_id[node_id].holds(ENGINE):
            self.leases_by_id[node_id].release(ENGINE)
        alive_ids = self.alive_ids
        if not self.reliable and self.rng.randrange(3) == 0:
            alive_ids = frozenset((node_id,))
        self.leases_by_id[node_id].run_step([ENGINE], alive_ids, ())
        for peer_id in IDS:
            if peer_id != node_id and self.isolated_id not in {
                node_id,
                peer_id,
            }:
                self.send(node_id, peer_id)

    def send(self, node_id, peer_id):
        leases = self.leases_by_id[node_id]
        incarnation = self.incarnation_by_id[node_id]
        for request in leases.take_requests(peer_id):
            self.schedule(
                partial(
                    self.deliver, leases, incarnation, node_id, peer_id, request
                )
            )

    def deliver(self, leases, incarnation, node_id, peer_id, request):
        if self.true_now < self.paused_until_by_id[peer_id]:
            return
        peer = self.leases_by_id[peer_id]
        response = peer.handle_request(
            node_id, incarnation, request, leases.lease
        )
        peer_incarnation = self.incarnation_by_id[peer_id]

        def reply():
            running = self.true_now >= self.paused_until_by_id[node_id]
            if self.leases_by_id[node_id] is leases and running:
                leases.handle_response(
                    peer_id, peer_incarnation, request, response
                )

        self.schedule(reply)


class EngineLeaseTest(unittest.TestCase):
    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(st.integers(min_value=0, max_value=2**32))
    def test_never_two_owners(self, seed):
        world = World(seed)
        for _ in range(STEPS):
            world.advance()
            owners = world.owners()
            self.assertLessEqual(len(owners), 1, (seed, world.true_now))

    def test_reliable_cell_keeps_one_owner(self):
        """Guards against meeting the invariant by never owning an engine."""
        world = World(seed=1, reliable=True)
        owned = 0
        for _ in range(STEPS):
            world.advance()
            owned += len(world.owners())
        self.assertGreater(owned, STEPS * 4 // 5)

    def test_slow_owner_expires_before_fast_acceptors(self):
        world = World(seed=1, reliable=True, step=1)
        world.longest_delay = 2
        owner = preferred_node(ENGINE, IDS)
        for node_id in IDS:
            drift = -DRIFT_PER_MILLE if node_id == owner else DRIFT_PER_MILLE
            world.clock_by_id[node_id] = DriftingClock(world, drift, 0)
            world.restart(node_id)
        for _ in range(8000):
            world.advance()
        self.assertEqual(world.owners(), [owner])
        world.isolated_id = owner
        world.alive_ids = frozenset(IDS) - {owner}
        for _ in range(8000):
            world.advance()
            self.assertLessEqual(len(world.owners()), 1, world.true_now)
        self.assertTrue(world.alive_ids.issuperset(world.owners()))


class ProtocolRulesTest(unittest.TestCase):
    """Tests of each rule that goes beyond the PaxosLease paper."""

    def setUp(self):
        self.clock = ManualClock()
        acceptor = LeaseAcceptor(self.clock, 1)
        self.leases = EngineLeases(
            IDS, acceptor, self.clock, lambda node_id: None, node_id='a'
        )
        self.clock.advance(MAX_LEASE_MS + 1)

    def next_request(self):
        """Run the proposer and return its request to ``b``."""
        self.leases.run_step([ENGINE], frozenset(IDS[:2]), ())
        return self.leases.take_requests('b')[0]

    def grant(self, request):
        self.leases.handle_response(
            'b', 9, request, LeaseResponse(Verdict.GRANTED)
        )

    def acquire(self):
        self.grant(self.next_request())
        self.grant(self.leases.take_requests('b')[0])
        self.assertTrue(self.leases.holds(ENGINE))

    def test_acceptor_accepts_only_promised_ballot(self):
        promised = Ballot(5, 'b', 1)
        for name, ballot, incarnation, verdict in (
            ('same', promised, 1, Verdict.GRANTED),
            ('lower', Ballot(4, 'c', 1), 1, Verdict.REFUSED),
            ('greater, unprepared', Ballot(6, 'c', 1), 1, Verdict.REFUSED),
            ('promise of another incarnation', promised, 0, Verdict.REFUSED),
        ):
            with self.subTest(name):
                acceptor = LeaseAcceptor(self.clock, 1)
                self.clock.advance(MAX_LEASE_MS + 1)
                acceptor.prepare(1, promised)
                response = acceptor.propose(
                    1, ballot, incarnation, MAX_LEASE_MS
                )
                self.assertIs(response.verdict, verdict)

    def test_lapsed_lease_needs_new_prepare(self):
        self.acquire()
        self.clock.advance(MAX_LEASE_MS // 2)
        renewal = self.next_request()
        self.assertIs(renewal.phase, Phase.PROPOSE)
        self.clock.advance(MAX_LEASE_MS // 2)
        self.grant(renewal)
        self.assertFalse(self.leases.holds(ENGINE))

    def test_old_response_does_not_confirm_later_renewal(self):
        self.acquire()
        held_until = self.leases.held_until(ENGINE)
        renewals = []
        for _ in range(2):
            self.clock.advance(MAX_LEASE_MS // 3 + 1)
            renewals.append(self.next_request())
        self.grant(renewals[0])
        self.assertEqual(self.leases.held_until(ENGINE), held_until)
        self.grant(renewals[1])
        self.assertGreater(self.leases.held_until(ENGINE), held_until)


class WireTest(unittest.TestCase):
    def test_proposal_for_another_incarnation_is_not_sent(self):
        leases = World(1).leases_by_id['a']
        leases.run_step([ENGINE], frozenset('a'), ())
        requests = leases.take_requests('b')
        self.assertEqual(wire.order_requests(requests, 7), requests)
        stale = [
            request._replace(
                phase=type(request.phase).PROPOSE, acceptor_incarnation=6
            )
            for request in requests
        ]
        self.assertEqual(wire.order_requests(stale, 7), ())
