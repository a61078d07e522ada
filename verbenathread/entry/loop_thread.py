"""One event loop in a background thread, for callers that block."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent import futures
from typing import Any, ParamSpec, TypeVar

from verbenathread.clock import seconds
from verbenathread.exceptions import UnavailableError
from verbenathread.types import Millis

_Result = TypeVar('_Result')
_Arguments = ParamSpec('_Arguments')
# A wait outlasts what it waits for by this much.
_SLACK_MS = 2000


class LoopThread:
    """Runs coroutines for threads that wait for their results."""

    def __init__(self, name: str) -> None:
        """Start nothing before :meth:`start`."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(self, work: Coroutine[Any, Any, _Result], limit: Millis) -> _Result:
        """Run a coroutine and wait for it.

        Raises :class:`UnavailableError` when the loop is not done a little
        after ``limit`` ms.
        """
        if self._loop.is_closed():
            work.close()
            raise UnavailableError('This entry has stopped; use another one.')
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return future.result(seconds(limit + _SLACK_MS))
        except futures.CancelledError:
            raise UnavailableError(
                'This entry stops; use another one.'
            ) from None
        except futures.TimeoutError:
            future.cancel()
            raise UnavailableError(
                'The entry did not answer itself in time: give it more '
                + 'processor time.'
            ) from None

    def call_soon(
        self,
        action: Callable[_Arguments, None],
        *arguments: _Arguments.args,
        **named: _Arguments.kwargs,
    ) -> None:
        """Have the loop call something soon, and don't wait for it."""
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(lambda: action(*arguments, **named))
