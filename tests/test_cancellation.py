"""A cancel is not lost when the awaited call ends at the same moment."""

import asyncio
import contextlib
import unittest

from tests.virtual_loop import run_virtual
from verbenathread.background_tasks import cancel_all, restart_on_error
from verbenathread.consensus.waiting import wait_event
from verbenathread.rpc_channel import call_within

LIMIT_MS = 100


async def reply_after(delay, error):
    """Return a reply, or raise ``error``, after ``delay`` seconds."""
    await asyncio.sleep(delay)
    if error is not None:
        raise error
    return 'reply'


async def run_repeatedly(wait):
    """Wait again after each end and each error, like a background task."""
    while True:
        with contextlib.suppress(ConnectionResetError):
            await wait()


async def ends_by_cancel(wait, end, steps):
    """Return whether a cancel ends a loop, ``steps`` steps after a wait ends."""
    running = asyncio.create_task(run_repeatedly(wait))
    await asyncio.sleep(0.01)
    end()
    for _ in range(steps):
        await asyncio.sleep(0)
    running.cancel()
    await asyncio.wait((running,), timeout=1)
    return running.cancelled()


class Call:
    """A call that ends when told to; later calls never end."""

    def __init__(self):
        self.first = asyncio.get_running_loop().create_future()

    def wait(self):
        return call_within(self._call(), 100 * LIMIT_MS)

    async def _call(self):
        if self.first.done():
            await asyncio.sleep(1000)
        return await self.first


class UnreliableTask:
    """Turns its first cancels into an error, as grpclib may."""

    def __init__(self, lost_cancels):
        self.lost_cancels = lost_cancels

    async def run(self):
        try:
            await asyncio.sleep(1000)
        except asyncio.CancelledError:
            if not self.lost_cancels:
                raise
        self.lost_cancels -= 1
        raise ConnectionResetError('connection lost')


class CallWithinTest(unittest.TestCase):
    def test_result_error_and_timeout(self):
        async def scenario():
            reply = await call_within(reply_after(0.09, None), LIMIT_MS)
            self.assertEqual(reply, 'reply')
            with self.assertRaises(ConnectionResetError):
                await call_within(
                    reply_after(0.09, ConnectionResetError()), LIMIT_MS
                )
            with self.assertRaises(TimeoutError):
                await call_within(reply_after(0.11, None), LIMIT_MS)

        run_virtual(scenario())

    def test_call_has_ended_after_a_timeout(self):
        ended = []

        async def slow_to_end():
            try:
                await asyncio.sleep(1)
            finally:
                await asyncio.sleep(0.01)
                ended.append(True)

        async def scenario():
            with self.assertRaises(TimeoutError):
                await call_within(slow_to_end(), LIMIT_MS)
            self.assertEqual(ended, [True])

        run_virtual(scenario())

    def test_cancel_while_a_call_ends(self):
        async def scenario(error, steps):
            call = Call()

            def end():
                if error is None:
                    call.first.set_result('reply')
                else:
                    call.first.set_exception(error)

            return await ends_by_cancel(call.wait, end, steps)

        for error in (None, ConnectionResetError('the peer has stopped')):
            for steps in range(5):
                with self.subTest(error=error, steps=steps):
                    self.assertTrue(run_virtual(scenario(error, steps)))


class WaitEventTest(unittest.TestCase):
    def test_cancel_while_an_event_is_set(self):
        async def scenario(steps):
            event = asyncio.Event()
            return await ends_by_cancel(
                lambda: wait_event(event, LIMIT_MS), event.set, steps
            )

        for steps in range(5):
            with self.subTest(steps=steps):
                self.assertTrue(run_virtual(scenario(steps)))


class CancelAllTest(unittest.TestCase):
    def test_task_that_loses_cancels_is_ended(self):
        async def scenario(lost_cancels):
            task = UnreliableTask(lost_cancels)
            running = asyncio.create_task(restart_on_error(task.run))
            await asyncio.sleep(1)
            async with asyncio.timeout(10):
                await cancel_all([running])
            return running.cancelled()

        for lost_cancels in (0, 1, 3):
            with self.subTest(lost_cancels=lost_cancels):
                self.assertTrue(run_virtual(scenario(lost_cancels)))
