"""Property test of engine leases: never two owners at one moment."""

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
    """A clock of one node that runs fast or slow within the bound."""

    def __init__(self, world, per_mille, offset):
        self._world = world
        self._per_mille = per_mille
        self._offset = offset

    def now(self):
        gained = self._world.true_now * self._per_mille // 1000
        return self._world.true_now + gained + self._offset

    def wall(self):
        return self.now()


class World:
    """Three nodes whose messages are lost, late, doubled and reordered."""

    def __init__(self, seed, calm=False, step=STEP_MS):
        self.rng = random.Random(seed)
        self.cut_id = ''
        self.alive_ids = frozenset(IDS)
        self.calm = calm
        self.step = step
        self.true_now = 0
        self.in_flight = []
        self.lives = 0
        self.clock_by_id = {}
        self.leases_by_id = {}
        self.life_by_id = {}
        self.frozen_until_by_id = dict.fromkeys(IDS, 0)
        self.loss = 0 if calm else self.rng.choice((0, 1, 4))
        self.longest_delay = 20 if calm else self.rng.choice((20, 400, 7000))
        for node_id in IDS:
            self.clock_by_id[node_id] = DriftingClock(
                self,
                self.rng.choice((-DRIFT_PER_MILLE, 0, DRIFT_PER_MILLE)),
                self.rng.randrange(10**6),
            )
            self.restart(node_id)

    def restart(self, node_id):
        self.lives += 1
        clock = self.clock_by_id[node_id]
        acceptor = LeaseAcceptor(clock, self.lives)
        self.life_by_id[node_id] = self.lives
        self.leases_by_id[node_id] = EngineLeases(
            IDS, acceptor, clock, lambda node_id: None, node_id=node_id
        )

    def owners(self):
        return [
            node_id
            for node_id, leases in self.leases_by_id.items()
            if leases.holds(ENGINE)
        ]

    def later(self, action):
        """Carry out an action after a delay, perhaps never or twice."""
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
        if self.true_now < self.frozen_until_by_id[node_id]:
            return
        chance = 1000 if self.calm else self.rng.randrange(1000)
        if chance < 2:
            self.restart(node_id)
        elif chance < 7:
            pause = self.rng.randrange(100, 9000)
            self.frozen_until_by_id[node_id] = self.true_now + pause
        elif chance < 12 and self.leases_by_id[node_id].holds(ENGINE):
            self.leases_by_id[node_id].release(ENGINE)
        alive_ids = self.alive_ids
        if not self.calm and self.rng.randrange(3) == 0:
            alive_ids = frozenset((node_id,))
        self.leases_by_id[node_id].run_step([ENGINE], alive_ids, ())
        for peer_id in IDS:
            if peer_id != node_id and self.cut_id not in {node_id, peer_id}:
                self.send(node_id, peer_id)

    def send(self, node_id, peer_id):
        leases = self.leases_by_id[node_id]
        life = self.life_by_id[node_id]
        for ask in leases.take_requests(peer_id):
            self.later(
                partial(self.deliver, leases, life, node_id, peer_id, ask)
            )

    def deliver(self, leases, life, node_id, peer_id, ask):
        if self.true_now < self.frozen_until_by_id[peer_id]:
            return
        peer = self.leases_by_id[peer_id]
        answer = peer.handle_request(node_id, life, ask, leases.lease)
        peer_life = self.life_by_id[peer_id]

        def reply():
            awake = self.true_now >= self.frozen_until_by_id[node_id]
            if self.leases_by_id[node_id] is leases and awake:
                leases.handle_response(peer_id, peer_life, ask, answer)

        self.later(reply)


class EngineLeaseTest(unittest.TestCase):
    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(st.integers(min_value=0, max_value=2**32))
    def test_never_two_owners(self, seed):
        world = World(seed)
        for _ in range(STEPS):
            world.advance()
            owners = world.owners()
            self.assertLessEqual(len(owners), 1, (seed, world.true_now))

    def test_a_calm_cell_keeps_one_owner(self):
        """The invariant is not met by nobody ever owning anything."""
        world = World(seed=1, calm=True)
        owned = 0
        for _ in range(STEPS):
            world.advance()
            owned += len(world.owners())
        self.assertGreater(owned, STEPS * 4 // 5)

    def test_a_slow_owner_ends_before_fast_acceptors(self):
        world = World(seed=1, calm=True, step=1)
        world.longest_delay = 2
        owner = preferred_node(ENGINE, IDS)
        for node_id in IDS:
            drift = -DRIFT_PER_MILLE if node_id == owner else DRIFT_PER_MILLE
            world.clock_by_id[node_id] = DriftingClock(world, drift, 0)
            world.restart(node_id)
        for _ in range(8000):
            world.advance()
        self.assertEqual(world.owners(), [owner])
        world.cut_id = owner
        world.alive_ids = frozenset(IDS) - {owner}
        for _ in range(8000):
            world.advance()
            self.assertLessEqual(len(world.owners()), 1, world.true_now)
        self.assertTrue(world.alive_ids.issuperset(world.owners()))


class RulesTest(unittest.TestCase):
    """The rules that go beyond the paper, one at a time."""

    def setUp(self):
        self.clock = ManualClock()
        acceptor = LeaseAcceptor(self.clock, 1)
        self.leases = EngineLeases(
            IDS, acceptor, self.clock, lambda node_id: None, node_id='a'
        )
        self.clock.advance(MAX_LEASE_MS + 1)

    def ask(self):
        """Let the proposer act and return what it asks of ``b``."""
        self.leases.run_step([ENGINE], frozenset(IDS[:2]), ())
        return self.leases.take_requests('b')[0]

    def absorb(self, ask):
        self.leases.handle_response('b', 9, ask, LeaseResponse(Verdict.GRANTED))

    def acquire(self):
        self.absorb(self.ask())
        self.absorb(self.leases.take_requests('b')[0])
        self.assertTrue(self.leases.holds(ENGINE))

    def test_acceptor_takes_only_what_it_promised(self):
        promised = Ballot(5, 'b', 1)
        for name, ballot, life, verdict in (
            ('same', promised, 1, Verdict.GRANTED),
            ('lower', Ballot(4, 'c', 1), 1, Verdict.REFUSED),
            ('greater, unprepared', Ballot(6, 'c', 1), 1, Verdict.REFUSED),
            ('promise of a former life', promised, 0, Verdict.REFUSED),
        ):
            with self.subTest(name):
                acceptor = LeaseAcceptor(self.clock, 1)
                self.clock.advance(MAX_LEASE_MS + 1)
                acceptor.prepare(1, promised)
                answer = acceptor.propose(1, ballot, life, MAX_LEASE_MS)
                self.assertIs(answer.verdict, verdict)

    def test_a_lapsed_lease_needs_a_new_prepare(self):
        self.acquire()
        self.clock.advance(MAX_LEASE_MS // 2)
        renewal = self.ask()
        self.assertIs(renewal.phase, Phase.PROPOSE)
        self.clock.advance(MAX_LEASE_MS // 2)
        self.absorb(renewal)
        self.assertFalse(self.leases.holds(ENGINE))

    def test_old_answer_confirms_no_later_renewal(self):
        self.acquire()
        held_until = self.leases.held_until(ENGINE)
        renewals = []
        for _ in range(2):
            self.clock.advance(MAX_LEASE_MS // 3 + 1)
            renewals.append(self.ask())
        self.absorb(renewals[0])
        self.assertEqual(self.leases.held_until(ENGINE), held_until)
        self.absorb(renewals[1])
        self.assertGreater(self.leases.held_until(ENGINE), held_until)


class WireTest(unittest.TestCase):
    def test_a_proposal_of_another_life_is_not_sent(self):
        leases = World(1).leases_by_id['a']
        leases.run_step([ENGINE], frozenset('a'), ())
        asks = leases.take_requests('b')
        self.assertEqual(wire.order_requests(asks, 7), asks)
        stale = [
            ask._replace(phase=type(ask.phase).PROPOSE, acceptor_incarnation=6)
            for ask in asks
        ]
        self.assertEqual(wire.order_requests(stale, 7), ())
