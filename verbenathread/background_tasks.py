"""Tasks that run for as long as their process does."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenathread.clock import seconds
from verbenathread.observability.logs import get_logger
from verbenathread.types import Millis

_log = get_logger('duties')

# An error that comes again at once is logged twice a second at most.
_RESTART_DELAY: Millis = 500

BackgroundTask = Callable[[], Awaitable[None]]


async def restart_on_error(duty: BackgroundTask) -> None:
    """Run ``duty`` again whenever an error that nobody expected ends it.

    A task that ends by itself would leave its process half alive: a gateway
    that follows no leader, a directory that drops no silent worker.
    """
    ended = False
    while not ended:
        try:
            ended = await _run_once(duty)
        except Exception:
            _log.exception('A duty failed and starts again.', duty=repr(duty))
            await asyncio.sleep(seconds(_RESTART_DELAY))


async def _run_once(duty: BackgroundTask) -> bool:
    await duty()
    return True
