"""Tests of gossip of upstream records, their leases and engine owners."""

import asyncio
import unittest

from tests.cell_network import LEASE_MS, CellNetwork, engine_record, wait_until
from tests.virtual_loop import run_virtual
from verbenathread.membership.hashing import preferred_node
from verbenathread.types import UpstreamState

STARTUP_S = 9
SPREAD_MS = 3000
# Shorter than a repair by digests takes, so that only relayed records meet it.
RELAY_MS = 500


def with_cell(size):
    """Run a test on a virtual loop after a cell has started up."""

    def wrap(method):
        def run(case):
            async def main():
                network = CellNetwork(size)
                network.start_all()
                await asyncio.sleep(STARTUP_S)
                await method(case, network)
                await network.close()

            run_virtual(main())

        return run

    return wrap


class GossipTest(unittest.TestCase):
    @with_cell(9)
    async def test_leave_spreads_after_its_receiver_is_killed(self, network):
        first = network.cell_by_id['entry-0']
        first.announce(engine_record('e1'))
        await asyncio.sleep(1)
        leave = asyncio.create_task(first.leave('e1', 1))
        await asyncio.wait([leave], timeout=2)
        self.assertTrue(leave.result())
        await network.kill('entry-0')
        spread = await wait_until(
            lambda: network.states('e1') == {UpstreamState.LEAVING}, SPREAD_MS
        )
        self.assertTrue(spread)

    @with_cell(9)
    async def test_single_receiver_relays_leave(self, network):
        first = network.cell_by_id['entry-0']
        first.announce(engine_record('e1'))
        await asyncio.sleep(1)
        pair = {'entry-0', 'entry-1'}
        network.delivers = lambda source, target: (
            'entry-0' not in {source, target} or {source, target} == pair
        )
        await asyncio.wait(
            [asyncio.create_task(first.leave('e1', 1))], timeout=0.1
        )
        await network.kill('entry-0')
        spread = await wait_until(
            lambda: network.states('e1') == {UpstreamState.LEAVING}, RELAY_MS
        )
        self.assertTrue(spread)

    @with_cell(3)
    async def test_leave_without_majority_returns_false(self, network):
        first = network.cell_by_id['entry-0']
        first.announce(engine_record('e1'))
        network.isolate('entry-0')
        self.assertFalse(await first.leave('e1', 1))

    @with_cell(3)
    async def test_late_renewal_does_not_revive_upstream(self, network):
        first, second, third = network.cell_by_id.values()
        first.announce(engine_record('e1'))
        await first.leave('e1', 1)
        held = third.announce(engine_record('e1', version=99))
        self.assertIs(held.state, UpstreamState.LEAVING)
        await asyncio.sleep(1)
        self.assertEqual(network.states('e1'), {UpstreamState.LEAVING})
        second.announce(engine_record('e1', incarnation=2))
        await asyncio.sleep(1)
        self.assertEqual(network.states('e1'), {UpstreamState.READY})

    @with_cell(3)
    async def test_leave_before_announcement_keeps_details(self, network):
        network.isolate('entry-0')
        first, second, _ = network.cell_by_id.values()
        first.announce(engine_record('e1'))
        await second.leave('e1', 1)
        network.heal()
        await asyncio.sleep(4)
        for cell in network.cell_by_id.values():
            record = cell.table.get('e1')
            self.assertIs(record.state, UpstreamState.LEAVING)
            self.assertEqual(record.memory_tokens, 400_000)

    @with_cell(3)
    async def test_lost_update_is_repaired_by_digest(self, network):
        first, second, third = network.cell_by_id.values()
        # An update that was queued for no peer, as after a fault in its sender.
        first.table.announce(engine_record('e1'), 0)
        spread = await wait_until(
            lambda: network.states('e1') == {UpstreamState.READY}, 5000
        )
        self.assertTrue(spread)
        digests = {cell.table.digest() for cell in (first, second, third)}
        self.assertEqual(len(digests), 1)


class UpstreamLeaseTest(unittest.TestCase):
    @with_cell(9)
    async def test_renewals_at_changing_entries_keep_a_lease(self, network):
        cells = list(network.cell_by_id.values())
        for renewal in range(27):
            cells[renewal * 4 % 9].announce(engine_record('e1'))
            await asyncio.sleep(2)  # noqa: WPS476 - renewals are sequential
        self.assertEqual(network.states('e1'), {UpstreamState.READY})
        ended = await wait_until(
            lambda: network.states('e1') == {UpstreamState.GONE},
            LEASE_MS + SPREAD_MS,
        )
        self.assertTrue(ended)

    @with_cell(5)
    async def test_unreachable_peer_prevents_expiry(self, network):
        network.cell_by_id['entry-0'].announce(engine_record('e1'))
        coordinator = preferred_node('e1', network.ids)
        receiver = next(name for name in network.ids if name != coordinator)
        await asyncio.sleep(1)
        # The receiver of renewals reaches the coordinator but gets no queries.
        network.delivers = lambda source, target: (
            (source, target) != (coordinator, receiver)
        )
        for _ in range(10):
            network.cell_by_id[receiver].announce(engine_record('e1'))
            await asyncio.sleep(2)  # noqa: WPS476 - renewals are sequential
        self.assertEqual(network.states('e1'), {UpstreamState.READY})

    @with_cell(5)
    async def test_isolated_entries_expire_no_lease(self, network):
        for name in ('e1', 'e2', 'e3', 'e4', 'e5'):
            network.cell_by_id['entry-0'].announce(engine_record(name))
        await asyncio.sleep(1)
        network.isolate('entry-0', 'entry-1')
        for _ in range(10):
            for name in ('e1', 'e2', 'e3', 'e4', 'e5'):
                network.cell_by_id['entry-4'].announce(engine_record(name))
            await asyncio.sleep(2)  # noqa: WPS476 - renewals are sequential
        network.heal()
        await asyncio.sleep(4)
        for name in ('e1', 'e2', 'e3', 'e4', 'e5'):
            self.assertEqual(network.states(name), {UpstreamState.READY})


class EngineOwnerTest(unittest.TestCase):
    async def renew(self, network, names, rounds):
        """Renew engines at one entry; assert that none has two owners."""
        for _ in range(rounds):
            for cell in tuple(network.cell_by_id.values())[-1:]:
                for name in names:
                    cell.announce(engine_record(name))
            await asyncio.sleep(1)  # noqa: WPS476 - renewals are sequential
            for name in names:
                self.assertLessEqual(len(network.owners(name)), 1)

    @with_cell(9)
    async def test_each_engine_keeps_one_owner(self, network):
        names = [f'e{number}' for number in range(20)]
        await self.renew(network, names, 2)
        before = [network.owners(name) for name in names]
        self.assertTrue(all(before))
        await self.renew(network, names, 20)
        self.assertEqual([network.owners(name) for name in names], before)

    @with_cell(5)
    async def test_engines_of_a_killed_owner_move(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        await network.kill(owner)
        await self.renew(network, ['e1'], 8)
        self.assertEqual(len(network.owners('e1')), 1)

    @with_cell(5)
    async def test_isolated_owner_loses_its_engines(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        network.isolate(owner)
        await self.renew(network, ['e1'], 9)
        successor = network.owners('e1')
        self.assertEqual(len(successor), 1)
        self.assertNotEqual(successor, [owner])
        minority = network.cell_by_id[owner].engine_leases
        self.assertFalse(minority.holds('e1'))

    @with_cell(3)
    async def test_planned_stop_hands_over_immediately(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        await network.cell_by_id[owner].stop()
        network.cell_by_id.pop(owner)
        moved = await wait_until(lambda: any(network.owners('e1')), 1500)
        self.assertTrue(moved)

    @with_cell(5)
    async def test_restarted_entry_gets_its_engines_back(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        await network.kill(owner)
        await self.renew(network, ['e1'], 10)
        substitute = network.owners('e1')
        self.assertNotIn(owner, substitute)
        network.start(owner, incarnation=2)
        await self.renew(network, ['e1'], 25)
        self.assertEqual(network.owners('e1'), substitute)
        await self.renew(network, ['e1'], 20)
        self.assertEqual(network.owners('e1'), [owner])
