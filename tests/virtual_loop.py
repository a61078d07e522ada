"""An event loop with virtual time, which advances only while all tasks wait.

A test that sleeps for an hour of loop time takes no real time, and its
outcome is the same on each run.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _SkippingSelector(selectors.DefaultSelector):
    """Polls the sockets and advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.skipped += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A selector loop with a virtual clock that starts at zero."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._skipping.skipped


def run_virtual(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run ``main`` to its end on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
