"""Tells all gateways of workers that crash as they answer requests."""

import asyncio
from collections.abc import Sequence

from verbenathread.clock import seconds
from verbenathread.gateway.attempt import Result, Verdict
from verbenathread.gateway.death_check import DeathCheck
from verbenathread.gateway.notices import GatewayNotices
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.quarantine import (
    SETTLE_TIME,
    Quarantine,
)
from verbenathread.gateway.reachability import Reachability
from verbenathread.serving.request_key import RequestIdentity
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# Longest delay of a retry while the death of the worker is checked.
_MAX_DELAY: Millis = 60
_FIRST_FAILURE = 300


class CrashReports:
    """Checks sends that broke, and reports those whose worker crashed."""

    def __init__(
        self,
        pool: ConnectionPool,
        reachability: Reachability,
        quarantine: Quarantine,
        notices: GatewayNotices,
    ) -> None:
        """Record crashes in ``quarantine`` and announce them."""
        self._check = DeathCheck(pool, reachability)
        self._quarantine = quarantine
        self._notices = notices
        self._tasks: set[asyncio.Task[None]] = set()

    async def report(
        self, worker: Worker, identity: RequestIdentity, result: Result
    ) -> None:
        """Report a crash under a request if ``worker`` has died.

        If other workers crashed under the same parts, returns only after all
        sends that this crash ended are known, so that a retry is not sent if
        the parts turn out to crash workers. A complete answer that ended with
        its connection is checked as well: a crash also ends the connection.
        """
        is_whole = result.verdict is Verdict.COMPLETE
        if is_whole and not result.ended_by_close:
            return
        if not is_whole and result.verdict is not Verdict.BROKEN:
            return
        task = asyncio.create_task(
            self._report(worker, identity, is_whole=is_whole)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if is_whole:
            return
        await asyncio.wait((task,), timeout=seconds(_MAX_DELAY))
        if task.done() and self._quarantine.is_suspect(identity):
            await asyncio.sleep(seconds(SETTLE_TIME))

    def completed_parts(
        self, identity: RequestIdentity, result: Result | None
    ) -> Sequence[str]:
        """Return the parts that a worker certainly answered to the end."""
        if result is None or result.head is None or result.ended_by_close:
            return ()
        if (
            result.verdict is not Verdict.COMPLETE
            or result.head.status >= _FIRST_FAILURE
        ):
            return ()
        return self._quarantine.counted_parts(identity)

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
