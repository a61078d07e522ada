"""Small helpers for tasks that wait on one another."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

_Result = TypeVar('_Result')


class Signal:
    """Wakes whoever waits for a condition over shared state."""

    def __init__(self, clock: Clock) -> None:
        """Bound waits by ``clock``."""
        self._clock = clock
        self._waiting: list[asyncio.Future[None]] = []

    def notify_all(self) -> None:
        """Let every waiting task look at its condition again."""
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
    """Wait for ``event``, at most ``limit`` ms, and clear it."""
    if not event.is_set():
        try:
            await asyncio.wait_for(event.wait(), seconds(limit))
        except TimeoutError:
            return
    event.clear()


class TaskSet:
    """The tasks of one replica; an error in one of them is reported."""

    def __init__(self, report: Callable[[BaseException], None]) -> None:
        """Call ``report`` with the error of any task that fails."""
        self._report = report
        # A mapping keeps the order of starting, which a set would not.
        self._by_task: dict[asyncio.Task[Any], None] = {}
        self._closed = False

    def spawn(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine until it ends or the set is cancelled."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._by_task[task] = None
        task.add_done_callback(self._ended)
        if self._closed:
            task.cancel()
        return task

    def cancel(self) -> None:
        """Cancel every task, now and in the future."""
        self._closed = True
        for task in tuple(self._by_task):
            task.cancel()

    async def join(self) -> None:
        """Wait until every task but the caller's has ended."""
        mine = asyncio.current_task()
        others = [task for task in self._by_task if task is not mine]
        if others:
            await asyncio.wait(others)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._by_task.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._report(error)
