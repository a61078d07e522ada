"""Tests that memory is granted only once over all entries, under faults."""

import asyncio
import unittest

from tests.cell_network import wait_until
from tests.node_network import NodeNetwork
from tests.virtual_loop import run_virtual
from verbenathread.entry import reservation_messages
from verbenathread.scheduling.ledger import START_TIMEOUT
from verbenathread.scheduling.messages import ReservationRequest
from verbenathread.types import RefusalReason, Reservation

MEMORY = 400_000
# Time for an engine to get its first owner: started acceptors reject requests
# at first, then a message round and the takeover delay follow.
OWNED_MS = 12_000


def with_engines(size, *names):
    """Run a test on a virtual loop, once each engine has an owner."""

    def wrap(method):
        def run(case):
            async def main():
                network = NodeNetwork(size)
                for node_id in network.ids:
                    await network.start(node_id)  # noqa: WPS476 - in order
                renewals = asyncio.create_task(network.keep_announcing(*names))
                owned = await wait_until(
                    lambda: all(map(network.owner, names)), OWNED_MS
                )
                case.assertTrue(owned)
                # The other entries learn of the owner with its next renewal.
                await asyncio.sleep(2)
                await method(case, network)
                renewals.cancel()
                await network.close()

            run_virtual(main())

        return run

    return wrap


def non_owners(network, name):
    owner = network.owner(name)
    return [node_id for node_id in network.node_by_id if node_id != owner]


class MemoryTest(unittest.TestCase):
    @with_engines(5, 'e1')
    async def test_concurrent_requests_share_one_memory(self, network):
        network.reply_delay_s = 0.3
        tasks = [
            asyncio.create_task(network.reserve(node_id, 150_000))
            for node_id in network.ids
        ]
        done, waiting = await asyncio.wait(tasks, timeout=3)
        granted = [
            task.result()
            for task in done
            if isinstance(task.result(), Reservation)
        ]
        self.assertEqual(len(waiting), 3)
        self.assertEqual(len(granted), 2)
        self.assertEqual(network.free('e1'), MEMORY - 300_000)

    @with_engines(3, 'e1')
    async def test_release_grants_the_memory_to_the_next_waiter(self, network):
        first, second = non_owners(network, 'e1')
        held = await network.reserve(first, 300_000)
        network.engines.run(held, first)
        waiting = asyncio.create_task(network.reserve(second, 300_000))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        network.engines.end(held)
        network.node_by_id[first].reservations.release(
            held, output_tokens=1, failed=False
        )
        await asyncio.wait([waiting], timeout=1)
        self.assertIsInstance(waiting.result(), Reservation)

    @with_engines(3, 'e1')
    async def test_owner_learns_the_prefill_rate_at_once(self, network):
        user = non_owners(network, 'e1')[0]
        reservations = network.node_by_id[user].reservations
        host = network.node_by_id[network.owner('e1')].host
        before = host.engine('e1').ledger.report().prefill_us
        for _ in range(8):
            held = await network.reserve(  # noqa: WPS476 - one at a time
                user, 101_000
            )
            reservations.report_started(held)
            # 100,000 tokens in 0.2 s: 2 ms per 1,000 tokens.
            await asyncio.sleep(0.2)  # noqa: WPS476 - the prefill
            reservations.report_progress(held, 1)
            await asyncio.sleep(0.2)  # noqa: WPS476 - the output
            reservations.release(held, output_tokens=9, failed=False)
        learned = host.engine('e1').ledger.report().prefill_us
        self.assertLess(learned, before / 5)

    @with_engines(3, 'e1')
    async def test_abandoned_request_takes_no_memory(self, network):
        first, second = non_owners(network, 'e1')
        held = await network.reserve(first, 300_000)
        work = network.work(300_000)
        reservations = network.node_by_id[second].reservations
        waiting = asyncio.create_task(reservations.reserve(work, 'a'))
        await asyncio.sleep(0.5)
        reservations.abandon(work)
        await asyncio.wait([waiting], timeout=1)
        self.assertIs(waiting.result().reason, RefusalReason.NO_UPSTREAM)
        network.node_by_id[first].reservations.release(
            held, output_tokens=0, failed=False
        )
        await asyncio.sleep(1)
        self.assertEqual(network.free('e1'), MEMORY)

    @with_engines(3, 'e1', 'e2', 'e3')
    async def test_group_is_reserved_whole_or_not_at_all(self, network):
        group = await network.reserve('entry-0', 900_000)
        self.assertEqual(group.upstream_ids, ('e1', 'e2', 'e3'))
        network.engines.run(group, 'entry-0')
        waiting = asyncio.create_task(network.reserve('entry-1', 900_000))
        await asyncio.sleep(5)
        self.assertFalse(waiting.done())
        waiting.cancel()
        too_long = await network.reserve('entry-1', 1_500_000)
        self.assertIs(too_long.reason, RefusalReason.TOO_LONG)
        network.engines.end(group)
        network.node_by_id['entry-0'].reservations.release(
            group, output_tokens=0, failed=False
        )
        await asyncio.sleep(5)
        free = [network.free(name) for name in ('e1', 'e2', 'e3')]
        self.assertEqual(free, [MEMORY, MEMORY, MEMORY])

    @with_engines(5, 'e1', 'e2', 'e3')
    async def test_two_groups_never_deadlock(self, network):
        names = ('e1', 'e2', 'e3')
        owners = set(map(network.owner, names))
        users = sorted(set(network.ids) - owners)[:2]
        # At e1 the second user's request arrives first, at e2 the first one's.
        network.delay_by_request = {
            (users[0], 'e1'): 0.1,
            (users[1], 'e2'): 0.1,
        }
        user_by_task = {
            asyncio.create_task(network.reserve(user, 900_000)): user
            for user in users
        }
        waiting = set(user_by_task)
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, timeout=20, return_when=asyncio.FIRST_COMPLETED
            )
            self.assertEqual(len(done), 1)
            for task in done:
                group = task.result()
                self.assertIsInstance(group, Reservation)
                network.engines.run(group, user_by_task[task])
                await asyncio.sleep(1)  # noqa: WPS476 - one at a time
                network.engines.end(group)
                network.node_by_id[user_by_task[task]].reservations.release(
                    group, output_tokens=1, failed=False
                )

    @with_engines(3, 'e1', 'e2', 'e3')
    async def test_abandoned_group_releases_its_parts(self, network):
        held = await asyncio.gather(
            *[network.reserve('entry-0', 350_000) for _ in range(3)]
        )
        for reservation in held:
            network.engines.run(reservation, 'entry-0')
        full_id = 'e3'
        for reservation in held:
            if reservation.upstream_ids != (full_id,):
                network.engines.end(reservation)
                network.node_by_id['entry-0'].reservations.release(
                    reservation, output_tokens=0, failed=False
                )
        await asyncio.sleep(1)
        work = network.work(900_000)
        reservations = network.node_by_id['entry-1'].reservations
        waiting = asyncio.create_task(reservations.reserve(work, 'group'))
        await asyncio.sleep(5)
        self.assertLess(network.free('e1'), MEMORY)
        self.assertLess(network.free('e2'), MEMORY)
        reservations.abandon(work)
        await asyncio.sleep(0.5)
        self.assertTrue(waiting.done())
        self.assertEqual(network.free('e1'), MEMORY)
        self.assertEqual(network.free('e2'), MEMORY)


class TakeoverTest(unittest.TestCase):
    async def new_owner(self, network, name, old):
        """Wait for a new owner; return it and its takeover delay in ms."""
        loop = asyncio.get_running_loop()
        leased = await wait_until(
            lambda: any(
                node.cell.engine_leases.holds(name)
                for node_id, node in network.node_by_id.items()
                if node_id != old
            ),
            20_000,
        )
        self.assertTrue(leased)
        began = loop.time()
        moved = await wait_until(
            lambda: network.owner(name) not in {None, old}, 20_000
        )
        self.assertTrue(moved)
        return network.owner(name), int((loop.time() - began) * 1000)

    @with_engines(5, 'e1')
    async def test_new_owner_restores_running_attempts(self, network):
        user = non_owners(network, 'e1')[0]
        held = await network.reserve(user, 150_000)
        network.engines.run(held, user)
        network.node_by_id[user].reservations.report_started(held)
        await asyncio.sleep(1)
        old = network.owner('e1')
        await network.kill(old)
        successor, waited = await self.new_owner(network, 'e1', old)
        self.assertGreaterEqual(waited, START_TIMEOUT)
        self.assertEqual(network.free('e1'), MEMORY - 150_000)
        self.assertIn(user, network.node_by_id)
        network.engines.end(held)
        network.node_by_id[user].reservations.release(
            held, output_tokens=9, failed=False
        )
        await asyncio.sleep(2)
        self.assertEqual(network.owner('e1'), successor)
        self.assertEqual(network.free('e1'), MEMORY)

    @with_engines(5, 'e1')
    async def test_no_takeover_of_an_unreadable_engine(self, network):
        old = network.owner('e1')
        network.engines.unreadable.add('e1')
        await network.kill(old)
        moved = await wait_until(lambda: network.owner('e1'), 20_000)
        self.assertFalse(moved)
        network.engines.unreadable.clear()
        moved = await wait_until(lambda: network.owner('e1'), 2000)
        self.assertTrue(moved)

    @with_engines(5, 'e1', 'e2')
    async def test_new_owner_replaces_a_partitioned_one(self, network):
        old = network.owner('e1')
        network.isolated_ids.add(old)
        await self.new_owner(network, 'e1', old)
        isolated = network.node_by_id[old]
        self.assertEqual(isolated.cell.engine_leases.term('e1'), 0)
        refused = await network.reserve(old, 5000)
        self.assertNotIsInstance(refused, Reservation)
        user = non_owners(network, 'e1')[0]
        granted = await network.reserve(user, 5000)
        self.assertIsInstance(granted, Reservation)

    @with_engines(5, 'e1', 'e2')
    async def test_wait_moves_on_from_an_unreachable_owner(self, network):
        owners = {network.owner('e1'), network.owner('e2')}
        user = (set(network.ids) - owners).pop()
        held = await asyncio.gather(
            *[network.reserve(user, 350_000) for _ in range(2)]
        )
        for reservation in held:
            network.engines.run(reservation, user)
        waiting = asyncio.create_task(network.reserve(user, 350_000))
        await asyncio.sleep(1)
        self.assertFalse(waiting.done())
        network.isolated_ids.update(owners)
        await asyncio.sleep(30)
        # All memory is still in use; the request waits at new owners.
        self.assertFalse(waiting.done())
        network.engines.end(held[0])
        network.node_by_id[user].reservations.release(
            held[0], output_tokens=0, failed=False
        )
        await asyncio.wait([waiting], timeout=5)
        self.assertEqual(waiting.result().upstream_ids, held[0].upstream_ids)

    @with_engines(5, 'e1')
    async def test_owner_suspended_past_its_lease_refuses(self, network):
        old = network.owner('e1')
        frozen = network.node_by_id[old].host.engine('e1')
        # Its tasks are stopped, but its ledger keeps its state.
        await network.kill(old)
        await self.new_owner(network, 'e1', old)
        request = _reserve_message(network, old)
        reply = await frozen.reserve(request)
        self.assertEqual(reply.refusal, 'not_owner')

    @with_engines(3, 'e1')
    async def test_late_grant_is_not_used(self, network):
        user = non_owners(network, 'e1')[0]
        network.reply_delay_s = (START_TIMEOUT + 100) / 1000
        outcome = await network.reserve(user, 5000, 40_000)
        self.assertNotIsInstance(outcome, Reservation)
        network.reply_delay_s = 0.001
        await asyncio.sleep(5)
        self.assertEqual(network.free('e1'), MEMORY)


class ReconcileTest(unittest.TestCase):
    @with_engines(3, 'e1')
    async def test_memory_of_a_dead_entry_stays_in_use(self, network):
        user = non_owners(network, 'e1')[0]
        held = await network.reserve(user, 150_000)
        network.engines.run(held, user)
        await network.kill(user)
        await asyncio.sleep(10)
        self.assertEqual(network.free('e1'), MEMORY - 150_000)
        network.engines.end(held)
        await asyncio.sleep(3)
        self.assertEqual(network.free('e1'), MEMORY)

    @with_engines(3, 'e1')
    async def test_lost_start_report_does_not_free_the_memory(self, network):
        user = non_owners(network, 'e1')[0]
        held = await network.reserve(user, 300_000)
        network.engines.run(held, user)
        network.isolated_ids.add(user)
        await asyncio.sleep(10)
        self.assertEqual(network.free('e1'), MEMORY - 300_000)

    @with_engines(3, 'e1')
    async def test_grant_that_never_started_is_released(self, network):
        user = non_owners(network, 'e1')[0]
        await network.reserve(user, 300_000)
        await network.kill(user)
        await asyncio.sleep(6)
        self.assertEqual(network.free('e1'), MEMORY)


def _reserve_message(network, node_id):
    work = network.work(5000)
    request = ReservationRequest(work, 'late', node_id, 5000)
    return reservation_messages.encode_request('e1', request, 1, work.arrival)
