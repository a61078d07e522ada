"""Tests of the spread of upstream records, their leases and owners."""

import asyncio
import unittest

from tests.cell_network import LEASE_MS, CellNetwork, engine, until
from tests.virtual_loop import run_virtual
from verbenathread.membership.hashing import preferred_node
from verbenathread.types import UpstreamState

SETTLE_S = 9
SPREAD_MS = 3000
# Sooner than the comparison of digests would bring it.
RELAY_MS = 500


def in_cell(size):
    """Run a test on a virtual loop, with a cell that has settled."""

    def wrap(method):
        def run(case):
            async def main():
                network = CellNetwork(size)
                network.start_all()
                await asyncio.sleep(SETTLE_S)
                await method(case, network)
                await network.close()

            run_virtual(main())

        return run

    return wrap


class SpreadTest(unittest.TestCase):
    @in_cell(9)
    async def test_leave_reaches_all_though_the_hearer_is_killed(self, network):
        first = network.cell_by_id['entry-0']
        first.announce(engine('e1'))
        await asyncio.sleep(1)
        leave = asyncio.create_task(first.leave('e1', 1))
        await asyncio.wait([leave], timeout=2)
        self.assertTrue(leave.result())
        await network.kill('entry-0')
        spread = await until(
            lambda: network.states('e1') == {UpstreamState.LEAVING}, SPREAD_MS
        )
        self.assertTrue(spread)

    @in_cell(9)
    async def test_one_hearer_relays_a_leave(self, network):
        first = network.cell_by_id['entry-0']
        first.announce(engine('e1'))
        await asyncio.sleep(1)
        pair = {'entry-0', 'entry-1'}
        network.passes = lambda source, target: (
            'entry-0' not in {source, target} or {source, target} == pair
        )
        await asyncio.wait(
            [asyncio.create_task(first.leave('e1', 1))], timeout=0.1
        )
        await network.kill('entry-0')
        spread = await until(
            lambda: network.states('e1') == {UpstreamState.LEAVING}, RELAY_MS
        )
        self.assertTrue(spread)

    @in_cell(3)
    async def test_leave_says_so_when_nobody_could_be_told(self, network):
        first = network.cell_by_id['entry-0']
        first.announce(engine('e1'))
        network.isolate('entry-0')
        self.assertFalse(await first.leave('e1', 1))

    @in_cell(3)
    async def test_late_renewal_revives_nothing(self, network):
        first, second, third = network.cell_by_id.values()
        first.announce(engine('e1'))
        await first.leave('e1', 1)
        held = third.announce(engine('e1', version=99))
        self.assertIs(held.state, UpstreamState.LEAVING)
        await asyncio.sleep(1)
        self.assertEqual(network.states('e1'), {UpstreamState.LEAVING})
        second.announce(engine('e1', incarnation=2))
        await asyncio.sleep(1)
        self.assertEqual(network.states('e1'), {UpstreamState.READY})

    @in_cell(3)
    async def test_leave_before_announcement_keeps_details(self, network):
        network.isolate('entry-0')
        first, second, _ = network.cell_by_id.values()
        first.announce(engine('e1'))
        await second.leave('e1', 1)
        network.heal()
        await asyncio.sleep(4)
        for cell in network.cell_by_id.values():
            record = cell.table.get('e1')
            self.assertIs(record.state, UpstreamState.LEAVING)
            self.assertEqual(record.memory_tokens, 400_000)

    @in_cell(3)
    async def test_lost_news_is_found_by_digest(self, network):
        first, second, third = network.cell_by_id.values()
        # News that no peer was told of, as after a fault in its sender.
        first.table.announce(engine('e1'), 0)
        spread = await until(
            lambda: network.states('e1') == {UpstreamState.READY}, 5000
        )
        self.assertTrue(spread)
        digests = {cell.table.digest() for cell in (first, second, third)}
        self.assertEqual(len(digests), 1)


class UpstreamLeaseTest(unittest.TestCase):
    @in_cell(9)
    async def test_renewals_at_changing_entries_keep_a_lease(self, network):
        cells = list(network.cell_by_id.values())
        for renewal in range(27):
            cells[renewal * 4 % 9].announce(engine('e1'))
            await asyncio.sleep(2)  # noqa: WPS476 - a renewal in its turn
        self.assertEqual(network.states('e1'), {UpstreamState.READY})
        ended = await until(
            lambda: network.states('e1') == {UpstreamState.GONE},
            LEASE_MS + SPREAD_MS,
        )
        self.assertTrue(ended)

    @in_cell(5)
    async def test_one_living_entry_that_cannot_be_asked(self, network):
        network.cell_by_id['entry-0'].announce(engine('e1'))
        keeper = preferred_node('e1', network.ids)
        hearer = next(name for name in network.ids if name != keeper)
        await asyncio.sleep(1)
        # What the hearer sends arrives; what the keeper sends to it doesn't.
        network.passes = lambda source, target: (
            (source, target) != (keeper, hearer)
        )
        for _ in range(10):
            network.cell_by_id[hearer].announce(engine('e1'))
            await asyncio.sleep(2)  # noqa: WPS476 - a renewal in its turn
        self.assertEqual(network.states('e1'), {UpstreamState.READY})

    @in_cell(5)
    async def test_entries_that_are_cut_off_end_no_lease(self, network):
        for name in ('e1', 'e2', 'e3', 'e4', 'e5'):
            network.cell_by_id['entry-0'].announce(engine(name))
        await asyncio.sleep(1)
        network.isolate('entry-0', 'entry-1')
        for _ in range(10):
            for name in ('e1', 'e2', 'e3', 'e4', 'e5'):
                network.cell_by_id['entry-4'].announce(engine(name))
            await asyncio.sleep(2)  # noqa: WPS476 - a renewal in its turn
        network.heal()
        await asyncio.sleep(4)
        for name in ('e1', 'e2', 'e3', 'e4', 'e5'):
            self.assertEqual(network.states(name), {UpstreamState.READY})


class OwnerTest(unittest.TestCase):
    async def renew(self, network, names, rounds):
        """Renew the engines at one entry and look at their owners."""
        for _ in range(rounds):
            for cell in tuple(network.cell_by_id.values())[-1:]:
                for name in names:
                    cell.announce(engine(name))
            await asyncio.sleep(1)  # noqa: WPS476 - a renewal in its turn
            for name in names:
                self.assertLessEqual(len(network.owners(name)), 1)

    @in_cell(9)
    async def test_each_engine_has_one_owner_that_stays(self, network):
        names = [f'e{number}' for number in range(20)]
        await self.renew(network, names, 2)
        before = [network.owners(name) for name in names]
        self.assertTrue(all(before))
        await self.renew(network, names, 20)
        self.assertEqual([network.owners(name) for name in names], before)

    @in_cell(5)
    async def test_engines_of_a_killed_owner_move(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        await network.kill(owner)
        await self.renew(network, ['e1'], 8)
        self.assertEqual(len(network.owners('e1')), 1)

    @in_cell(5)
    async def test_an_owner_cut_off_loses_its_engines(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        network.isolate(owner)
        await self.renew(network, ['e1'], 9)
        successor = network.owners('e1')
        self.assertEqual(len(successor), 1)
        self.assertNotEqual(successor, [owner])
        minority = network.cell_by_id[owner].engine_leases
        self.assertFalse(minority.holds('e1'))

    @in_cell(3)
    async def test_a_planned_stop_hands_over_at_once(self, network):
        await self.renew(network, ['e1'], 2)
        owner = network.owners('e1')[0]
        await network.cell_by_id[owner].stop()
        network.cell_by_id.pop(owner)
        moved = await until(lambda: any(network.owners('e1')), 1500)
        self.assertTrue(moved)

    @in_cell(5)
    async def test_a_restarted_entry_gets_its_engines_back(self, network):
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
