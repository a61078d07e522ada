"""An event loop in a background thread, for callers that block."""

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
# How much longer than the limit of a coroutine its caller waits for a result.
_RESULT_SLACK_MS = 2000


class LoopThread:
    """Runs coroutines for threads that wait for their results."""

    def __init__(self, name: str) -> None:
        """Create the loop; it runs after :meth:`start`."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run(
        self, coroutine: Coroutine[Any, Any, _Result], limit: Millis
    ) -> _Result:
        """Run a coroutine and wait for its result.

        Raises :class:`UnavailableError` if there is no result shortly after
        ``limit`` ms.
        """
        if self._loop.is_closed():
            coroutine.close()
            raise UnavailableError('This entry has stopped; use another one.')
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return future.result(seconds(limit + _RESULT_SLACK_MS))
        except futures.CancelledError:
            raise UnavailableError(
                'This entry is stopping; use another one.'
            ) from None
        except futures.TimeoutError:
            future.cancel()
            raise UnavailableError(
                'The event loop of this entry did not respond in time: give '
                + 'the entry more processor time.'
            ) from None

    def call_soon(
        self,
        action: Callable[_Arguments, None],
        *arguments: _Arguments.args,
        **named: _Arguments.kwargs,
    ) -> None:
        """Schedule a call on the loop without waiting for it."""
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(lambda: action(*arguments, **named))
