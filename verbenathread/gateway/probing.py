"""What engines say of their pace, asked by one gateway for all.

Each engine is asked by the gateway that a hash prefers, which passes the
answer on; without that every gateway would ask every engine.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from verbenathread.clock import seconds
from verbenathread.gateway.view import ClusterView
from verbenathread.gateway.worker_client import WorkerClient
from verbenathread.membership.hashing import PreferredNodeCache
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import Dialect
from verbenathread.serving.types import Worker
from verbenathread.types import Millis, NodeId

_log = get_logger('gateway')

# A worker tells of its load from memory, also while it reads.
PROBE_TIMEOUT: Millis = 350
# A slow engine is found within about this time; each question is billed.
_ASK_EVERY: Millis = 1000
# Unanswered questions in a row that make an engine silent.
_MISSES = 2


class ProbeListener(Protocol):
    """Hears of engines."""

    def on_pace(self, worker_id: str, pace: float) -> None:
        """Take an engine's pace."""

    def on_unresponsive(self, worker_id: str) -> None:
        """Note that an engine does not answer."""


class LoadProber:
    """Asks the engines that this gateway is preferred for."""

    def __init__(
        self,
        node_id: NodeId,
        view: ClusterView,
        caller: WorkerClient,
        dialect: Dialect,
        listeners: Iterable[ProbeListener],
    ) -> None:
        """Tell ``listeners`` what the engines of ``view`` say."""
        self._node_id = node_id
        self._view = view
        self._caller = caller
        self._dialect = dialect
        self._listeners = tuple(listeners)
        self._preferences = PreferredNodeCache()
        self._misses_by_id: dict[str, int] = {}
        self._pace_by_id: dict[str, float] = {}

    async def run(self) -> None:
        """Ask again and again."""
        while True:
            await asyncio.sleep(seconds(_ASK_EVERY))
            await asyncio.gather(*(self._ask(one) for one in self._mine()))

    def _mine(self) -> list[Worker]:
        node_ids = frozenset(
            (self._node_id, *(peer.node_id for peer in self._view.gateways))
        )
        mine = []
        for worker in self._engines():
            preferred = self._preferences.get(worker.worker_id, node_ids)
            if preferred == self._node_id:
                mine.append(worker)
        return mine

    def _engines(self) -> Iterable[Worker]:
        table = self._view.table
        if table is None:
            return
        for name, spec in table.config.service_by_name.items():
            if spec.engine is not None:
                yield from self._view.workers(name)

    async def _ask(self, worker: Worker) -> None:
        worker_id = worker.worker_id
        call = self._dialect.probe_call(worker_id)
        answer = await self._caller.call(worker, call, PROBE_TIMEOUT)
        if answer is None:
            misses = self._misses_by_id.get(worker_id, 0) + 1
            self._misses_by_id[worker_id] = misses
            if misses >= _MISSES:
                _log.warning('An engine is silent.', worker=worker_id)
                self._tell(lambda one: one.on_unresponsive(worker_id))
            return
        self._misses_by_id.pop(worker_id, None)
        report = self._dialect.parse_load_report(answer.body)
        if report is None:
            _log.warning('A report can not be read.', worker=worker_id)
            return
        before = self._pace_by_id.get(worker_id, 1)
        self._pace_by_id[worker_id] = report.pace
        if report.pace != before:
            _log.info('A pace changed.', worker=worker_id, pace=report.pace)
            self._tell(lambda one: one.on_pace(worker_id, report.pace))

    def _tell(self, say: Callable[[ProbeListener], None]) -> None:
        for listener in self._listeners:
            say(listener)
