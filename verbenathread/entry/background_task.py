"""An asyncio task bound to an ``async with`` block."""

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self


class BackgroundTask:
    """Runs a coroutine while an ``async with`` block is active."""

    def __init__(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Wrap ``coroutine``, which starts when the block is entered."""
        self._coroutine = coroutine
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start the task."""
        self._task = asyncio.create_task(self._coroutine)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
