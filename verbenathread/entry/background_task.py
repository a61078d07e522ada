"""A task that runs while a block does."""

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self


class BackgroundTask:
    """Runs a coroutine for as long as an ``async with`` block."""

    def __init__(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Take the coroutine; it starts with the block."""
        self._work = coroutine
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start the task."""
        self._task = asyncio.create_task(self._work)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
