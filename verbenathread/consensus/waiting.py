"""Helpers for waiting on shared state and managing tasks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

_Result = TypeVar('_Result')


class Signal:
    """Wakes tasks that wait for a condition on shared state."""

    def __init__(self, clock: Clock) -> None:
        """Measure timeouts with ``clock``."""
        self._clock = clock
        self._waiting: list[asyncio.Future[None]] = []

    def notify_all(self) -> None:
        """Make every waiting task check its condition again."""
        waiting = self._waiting
        self._waiting = []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait_for(
        self, condition: Callable[[], bool], limit: Millis | None = None
    ) -> bool:
        """Wait for ``condition``; return False after ``limit`` ms."""
        deadline = None if limit is None else self._clock.now() + limit
        while not condition():
            left = None
            if deadline is not None:
                left = deadline - self._clock.now()
                if left <= 0:
                    return False
            await self._wait(left)
        return True

    async def _wait(self, limit: Millis | None) -> None:
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        timeout = None if limit is None else seconds(limit)
        await asyncio.wait((future,), timeout=timeout)
        if future in self._waiting:
            self._waiting.remove(future)


async def wait_event(event: asyncio.Event, limit: Millis) -> None:
    """Wait up to ``limit`` ms for ``event``, and clear it if set."""
    if not event.is_set():
        try:
            async with asyncio.timeout(seconds(limit)):
                await event.wait()
        except TimeoutError:
            return
    event.clear()


class TaskSet:
    """The tasks of one replica, with a callback for their errors."""

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        """Call ``on_error`` with the exception of each task that fails."""
        self._on_error = on_error
        # A dict rather than a set, to preserve the start order.
        self._by_task: dict[asyncio.Task[Any], None] = {}
        self._closed = False

    def spawn(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine until it ends or the set is cancelled."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._by_task[task] = None
        task.add_done_callback(self._on_done)
        if self._closed:
            task.cancel()
        return task

    def cancel(self) -> None:
        """Cancel every task, including those spawned later."""
        self._closed = True
        for task in tuple(self._by_task):
            task.cancel()

    async def join(self) -> None:
        """Wait until every task but the caller's has ended."""
        mine = asyncio.current_task()
        others = [task for task in self._by_task if task is not mine]
        if others:
            await asyncio.wait(others)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._by_task.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_error(error)
