"""One barrier of the log for all callers that wait at the same time."""

import asyncio
from collections.abc import Awaitable, Callable


class SharedBarrier:
    """Runs one barrier at a time.

    A caller that arrives during one waits for the next, which begins after
    its call. Hundreds of gateways that connect at once need two of them.
    """

    def __init__(self, barrier: Callable[[], Awaitable[object]]) -> None:
        """Share ``barrier``, which raises if this replica does not lead."""
        self._barrier = barrier
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Return once a barrier that began after this call is done."""
        running = self._running
        if running is None or running.done():
            joined = asyncio.create_task(self._run())
            self._running = joined
        elif self._next is None:
            joined = asyncio.create_task(self._run_after(running))
            self._next = joined
        else:
            joined = self._next
        # A caller that hangs up must not cancel it for the others.
        await asyncio.shield(joined)

    async def _run(self) -> None:
        await self._barrier()

    async def _run_after(self, running: asyncio.Task[None]) -> None:
        await asyncio.wait((running,))
        if self._next is not None:
            self._running = self._next
        self._next = None
        await self._barrier()
