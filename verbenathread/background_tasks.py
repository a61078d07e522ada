"""Background tasks that run as long as the process."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from verbenathread.clock import seconds
from verbenathread.observability.logs import get_logger
from verbenathread.types import Millis

_log = get_logger('duties')

# Limits an error that recurs immediately to two log lines per second.
_RESTART_DELAY: Millis = 500

# Between two attempts to cancel a task that handled the first one.
_CANCEL_INTERVAL: Millis = 200

BackgroundTask = Callable[[], Awaitable[None]]


async def restart_on_error(task: BackgroundTask) -> None:
    """Run ``task`` until it returns, restarting it after any exception.

    A background task that dies would leave its process running but broken: a
    gateway that follows no leader, or a directory that never drops workers
    whose heartbeats stopped.
    """
    ended = False
    while not ended:
        try:
            ended = await _run_once(task)
        except Exception:
            _log.exception(
                'A background task failed and is restarted.', duty=repr(task)
            )
            await asyncio.sleep(seconds(_RESTART_DELAY))


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel ``tasks`` and wait until all have ended.

    A cancel is repeated because it may be lost: grpclib raises
    StreamTerminatedError in its place if the connection is lost in the same
    step of the loop, and a task that handles this error runs on.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(
            pending, timeout=seconds(_CANCEL_INTERVAL)
        )


async def _run_once(task: BackgroundTask) -> bool:
    await task()
    return True
