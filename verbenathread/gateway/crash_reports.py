"""Tells all gateways of workers that crash as they answer requests."""

import asyncio

from verbenathread.clock import seconds
from verbenathread.gateway.death_check import DeathCheck
from verbenathread.gateway.notices import GatewayNotices
from verbenathread.gateway.prompt_quarantine import (
    SETTLE_TIME,
    PromptQuarantine,
)
from verbenathread.serving.request_key import RequestIdentity
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# Longest delay of a retry while the death of the worker is checked.
_MAX_DELAY: Millis = 60


class CrashReports:
    """Checks sends that broke, and reports those whose worker crashed."""

    def __init__(
        self,
        check: DeathCheck,
        quarantine: PromptQuarantine,
        notices: GatewayNotices,
    ) -> None:
        """Record crashes in ``quarantine`` and announce them."""
        self._check = check
        self._quarantine = quarantine
        self._notices = notices
        self._tasks: set[asyncio.Task[None]] = set()

    async def report(self, worker: Worker, identity: RequestIdentity) -> None:
        """Report a crash under a request if ``worker`` has died.

        If other workers crashed under the same parts, returns only after all
        sends that this crash ended are known, so that a retry is not sent if
        the parts turn out to crash workers.
        """
        task = asyncio.create_task(self._report(worker, identity))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait((task,), timeout=seconds(_MAX_DELAY))
        if task.done() and self._quarantine.is_suspect(identity):
            await asyncio.sleep(seconds(SETTLE_TIME))

    def report_close(self, worker: Worker, identity: RequestIdentity) -> None:
        """Report a complete answer that ended with its connection.

        The connection also ends if the worker crashes.
        """
        task = asyncio.create_task(
            self._report(worker, identity, is_whole=True)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(
        self,
        worker: Worker,
        identity: RequestIdentity,
        *,
        is_whole: bool = False,
    ) -> None:
        died = await self._check.begin(worker)
        if died:
            parts = sorted(identity.parts)
            self._quarantine.record_crash(
                worker.worker_id, worker.started_at, parts, observed=True
            )
            self._notices.announce_crash(worker, parts)
        elif is_whole:
            parts = self._quarantine.counted_parts(identity)
            self._quarantine.record_completion(parts)
            self._notices.announce_completion(parts)
