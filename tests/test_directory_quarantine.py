"""Groups of prompt parts on the directory's log, as gateways receive them."""

import asyncio
from random import Random
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase, TestCase, mock

from tests.test_serving_request_key import identity
from tests.virtual_loop import run_virtual
from verbenathread.clock import SystemClock
from verbenathread.directory.machine import (
    DirectoryMachine,
    decode_group,
    encode_group,
)
from verbenathread.directory.quarantine import QuarantineKeeper
from verbenathread.directory.updates import SentState, UpdateSource
from verbenathread.exceptions import UnavailableError
from verbenathread.gateway.quarantine import Quarantine
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.crash_evidence import (
    MAX_GROUPS,
    QUARANTINE_TIME,
    REQUEST_QUARANTINE_TIME,
    quarantine_time,
)

GROUP = frozenset(('b0',))
PAIR = frozenset(('a1', 'b0'))


class FakeLog:
    """Applies each command at once."""

    def __init__(self, machine):
        self.machine = machine
        self.is_leader = True
        self.is_writable = True
        self.proposed = 0

    def status(self):
        return SimpleNamespace(is_leader=self.is_leader)

    async def propose(self, command, limit):
        if not self.is_writable:
            raise UnavailableError('no quorum; wait for one')
        self.proposed += 1
        self.machine.apply(self.proposed, command)


class QuarantineKeeperTest(IsolatedAsyncioTestCase):
    def setUp(self):
        self.machine = DirectoryMachine()
        self.log = FakeLog(self.machine)
        self.keeper = QuarantineKeeper(self.log, self.machine, SystemClock())

    async def test_a_group_is_added_once(self):
        self.assertTrue(await self.keeper.add(GROUP))
        self.assertTrue(await self.keeper.add(GROUP))
        self.assertEqual(self.log.proposed, 1)
        self.assertEqual(self.machine.quarantine, (GROUP,))

    async def test_only_reports_on_the_log_are_confirmed(self):
        # whether the process leads, whether it can write
        for is_leader, is_writable in ((False, True), (True, False)):
            with self.subTest(is_leader=is_leader):
                self.log.is_leader = is_leader
                self.log.is_writable = is_writable
                self.assertFalse(await self.keeper.add(GROUP))
                self.assertEqual(self.machine.quarantine, ())

    async def test_the_oldest_groups_make_room(self):
        for number in range(MAX_GROUPS + 2):
            await self.keeper.add(frozenset((f'p{number}',)))
        self.assertEqual(len(self.machine.quarantine), MAX_GROUPS)
        self.assertEqual(self.machine.quarantine[0], frozenset(('p2',)))

    async def test_a_restart_keeps_the_groups(self):
        await self.keeper.add(PAIR)
        restored = DirectoryMachine()
        restored.restore(self.machine.snapshot())
        self.assertEqual(restored.quarantine, (PAIR,))


class ExpiryTest(TestCase):
    def test_a_group_ends_after_the_quarantine_time(self):
        run_virtual(self._expire())

    def test_a_request_is_kept_longer_the_second_time(self):
        run_virtual(self._expire_twice())

    async def _expire_twice(self):
        loop = asyncio.get_running_loop()
        clock = SimpleNamespace(now=lambda: int(loop.time() * 1000))
        machine = DirectoryMachine()
        keeper = QuarantineKeeper(FakeLog(machine), machine, clock)
        task = asyncio.create_task(keeper.run())
        group = frozenset((identity().key,))
        for is_repeated in (False, True):
            kept = quarantine_time(group, is_repeated=is_repeated) / 1000
            await keeper.add(group)
            await asyncio.sleep(kept - 1)
            self.assertEqual(machine.quarantine, (group,))
            await asyncio.sleep(20)
            self.assertEqual(machine.quarantine, ())
        task.cancel()

    async def _expire(self):
        loop = asyncio.get_running_loop()
        clock = SimpleNamespace(now=lambda: int(loop.time() * 1000))
        machine = DirectoryMachine()
        log = FakeLog(machine)
        keeper = QuarantineKeeper(log, machine, clock)
        task = asyncio.create_task(keeper.run())
        await keeper.add(GROUP)
        await asyncio.sleep(QUARANTINE_TIME / 2000)
        # A new leader counts the time anew.
        log.is_leader = False
        await asyncio.sleep(10)
        log.is_leader = True
        await asyncio.sleep(QUARANTINE_TIME / 1000 - 10)
        self.assertEqual(machine.quarantine, (GROUP,))
        await asyncio.sleep(30)
        self.assertEqual(machine.quarantine, ())
        task.cancel()


class ListTest(IsolatedAsyncioTestCase):
    def setUp(self):
        self.machine = DirectoryMachine()
        self.updates = UpdateSource(self.machine)

    def put(self, group):
        command = messages.DirectoryCommand(put_quarantine=encode_group(group))
        self.machine.apply(1, command.SerializeToString())

    def test_newcomers_get_the_whole_list(self):
        _, sent = self.updates.build(SentState(0))
        self.assertFalse(self.updates.has_changes(sent))
        self.put(GROUP)
        self.assertTrue(self.updates.has_changes(sent))
        for earlier in (sent, SentState(0)):
            update, later = self.updates.build(earlier)
            listed = [decode_group(group) for group in update.quarantine.groups]
            self.assertEqual(listed, [GROUP])
            self.assertFalse(self.updates.has_changes(later))
        update, _ = self.updates.build(later)
        self.assertFalse(update.HasField('quarantine'))

    async def test_prompts_with_all_listed_parts_are_refused(self):
        quarantine = Quarantine(SystemClock(), Random(1))
        # listed groups, shared parts of a prompt, whether it is refused
        cases = (
            ((), ('b0',), False),
            ((GROUP,), (), False),
            ((GROUP,), ('a1', 'b0'), True),
            ((PAIR,), ('b0',), False),
            ((PAIR,), ('b0', 'c2', 'a1'), True),
            ((PAIR, GROUP), ('b0',), True),
            ((), ('a1', 'b0'), False),
        )
        for listed, parts, refused in cases:
            with self.subTest(listed=listed, parts=parts):
                quarantine.apply_list(listed)
                request = identity(shared_parts=parts)
                self.assertEqual(
                    quarantine.retry_after(request) is not None, refused
                )

    async def test_a_listed_request_is_refused(self):
        quarantine = Quarantine(SystemClock(), Random(1))
        bad = identity(target=b'/check/bad')
        quarantine.apply_list((frozenset((bad.key,)),))
        # target, shared parts, whether the request is refused
        cases = (
            (b'/check/bad', (), True),
            (b'/check/bad', ('a1',), False),
            (b'/check/good', (), False),
        )
        for target, parts, refused in cases:
            with self.subTest(target=target, parts=parts):
                request = identity(shared_parts=parts, target=target)
                retry_after = quarantine.retry_after(request)
                self.assertEqual(retry_after is not None, refused)
                self.assertLessEqual(retry_after or 0, REQUEST_QUARANTINE_TIME)

    async def test_a_released_request_is_on_probation(self):
        bad = identity()
        group = frozenset((bad.key,))
        # whether the request is answered first, whether a crash finds it again
        for is_answered in (False, True):
            with self.subTest(is_answered=is_answered):
                quarantine = Quarantine(SystemClock(), Random(1))
                quarantine.apply_list((group,))
                quarantine.apply_list(())
                self.assertIsNone(quarantine.retry_after(bad))
                self.assertTrue(quarantine.is_suspect(bad))
                if is_answered:
                    counted = quarantine.counted_parts(bad)
                    self.assertEqual(counted, [bad.key])
                    quarantine.record_completion(counted)
                quarantine.record_crash('w1', 1, bad.parts)
                await asyncio.sleep(0.11)
                self.assertEqual(
                    list(quarantine.groups), [] if is_answered else [group]
                )

    async def test_two_parts_are_found_together(self):
        quarantine = Quarantine(SystemClock(), Random(1))
        for number in range(4):
            quarantine.record_crash(f'w{number}', 1, ('b0',))
            quarantine.record_crash(f'v{number}', 1, ('c0',))
            if number:
                await asyncio.sleep(0.11)
        self.assertEqual(set(quarantine.groups), {GROUP, frozenset(('c0',))})

    async def test_answers_count_for_a_request_after_a_crash(self):
        quarantine = Quarantine(SystemClock(), Random(1))
        request = identity(shared_parts=('a1',))
        self.assertEqual(quarantine.counted_parts(request), ['a1'])
        quarantine.record_crash('w1', 1, request.parts)
        counted = quarantine.counted_parts(request)
        self.assertEqual(set(counted), request.parts)

    async def test_who_saw_the_crash_reports_at_once(self):
        for observed in (True, False):
            with self.subTest(observed=observed):
                quarantine = Quarantine(SystemClock(), Random(1))
                on_found = mock.Mock()
                quarantine.on_found = on_found
                for number in range(4):
                    quarantine.record_crash(
                        f'w{number}', 1, ('b0',), observed=observed
                    )
                    await asyncio.sleep(0.11)
                self.assertEqual(list(quarantine.groups), [GROUP])
                self.assertEqual(bool(quarantine.unreported()), observed)
                on_found.assert_called_once_with()
                self.assertTrue(quarantine.has_unlisted())
                quarantine.apply_list((GROUP,))
                self.assertFalse(quarantine.has_unlisted())
                self.assertEqual(quarantine.unreported(), [])
