"""Probes the pace of engines, each by one gateway on behalf of all.

A hash assigns every engine to one gateway, which shares the result; otherwise
every gateway would have to probe every engine.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from verbenathread.clock import seconds
from verbenathread.gateway.reachability import Reachability
from verbenathread.gateway.view import ClusterView
from verbenathread.gateway.worker_client import WorkerClient
from verbenathread.gateway.worker_signals import WorkerSignals
from verbenathread.membership.hashing import PreferredNodeCache
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import Dialect
from verbenathread.serving.types import Worker
from verbenathread.types import Millis, NodeId

_log = get_logger('gateway')

# A worker reports its load from memory, even during a prefill.
PROBE_TIMEOUT: Millis = 350
# Bounds the time to detect a slow engine; each probe is billed.
_PROBE_INTERVAL: Millis = 1000
# Consecutive unanswered probes after which an engine is unresponsive.
_MAX_MISSES = 2


class ProbeListener(Protocol):
    """Receives the results of probes."""

    def on_pace(self, worker_id: str, pace: float) -> None:
        """Handle the new pace of an engine."""

    def on_unresponsive(self, worker_id: str) -> None:
        """Handle an engine that does not answer."""


class LoadProber:
    """Probes the engines that are assigned to this gateway."""

    def __init__(
        self,
        node_id: NodeId,
        view: ClusterView,
        client: WorkerClient,
        dialect: Dialect,
        signals: WorkerSignals,
        reachability: Reachability,
        listeners: Iterable[ProbeListener],
    ) -> None:
        """Report the pace of the engines of ``view`` to ``listeners``."""
        self._node_id = node_id
        self._view = view
        self._client = client
        self._dialect = dialect
        self._signals = signals
        self._reachability = reachability
        self._listeners = tuple(listeners)
        self._preferences = PreferredNodeCache()
        self._misses_by_id: dict[str, int] = {}
        self._pace_by_id: dict[str, float] = {}

    async def run(self) -> None:
        """Probe all assigned engines periodically."""
        while True:
            await asyncio.sleep(seconds(_PROBE_INTERVAL))
            await asyncio.gather(
                *(self._probe(worker) for worker in self._assigned_engines())
            )

    def _assigned_engines(self) -> list[Worker]:
        node_ids = frozenset(
            (
                self._node_id,
                *(peer.node_id for peer in self._view.notice_targets),
            )
        )
        assigned = []
        for worker in self._engines():
            preferred = self._preferences.get(worker.worker_id, node_ids)
            if preferred == self._node_id:
                assigned.append(worker)
        return assigned

    def _engines(self) -> Iterable[Worker]:
        table = self._view.table
        if table is None:
            return
        for name, spec in table.config.service_by_name.items():
            if spec.engine is not None:
                yield from self._view.workers(name)

    async def _probe(self, worker: Worker) -> None:
        if not self._signals.may_call(worker):
            return
        worker_id = worker.worker_id
        call = self._dialect.probe_call(worker_id)
        answer = await self._client.call(worker, call, PROBE_TIMEOUT)
        if answer is None:
            misses = self._misses_by_id.get(worker_id, 0) + 1
            self._misses_by_id[worker_id] = misses
            if misses >= _MAX_MISSES and not await self._reachability.check():
                _log.warning('An engine is unresponsive.', worker=worker_id)
                self._notify(
                    lambda listener: listener.on_unresponsive(worker_id)
                )
            return
        self._misses_by_id.pop(worker_id, None)
        report = self._dialect.parse_load_report(answer.body)
        if report is None:
            _log.warning('Received a malformed report.', worker=worker_id)
            return
        previous = self._pace_by_id.get(worker_id, 1)
        self._pace_by_id[worker_id] = report.pace
        if report.pace != previous:
            _log.info(
                'The pace of an engine changed.',
                worker=worker_id,
                pace=report.pace,
            )
            self._notify(
                lambda listener: listener.on_pace(worker_id, report.pace)
            )

    def _notify(self, notify: Callable[[ProbeListener], None]) -> None:
        for listener in self._listeners:
            notify(listener)
