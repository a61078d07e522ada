"""The gateway daemon."""

import asyncio
from collections.abc import Callable

from verbenathread.background_tasks import cancel_all, restart_on_error
from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.directory.seeds import SeedFile
from verbenathread.gateway.context import build_context
from verbenathread.gateway.handler import GatewayHandler
from verbenathread.gateway.handover_server import (
    HandoverServer,
    HandoverService,
)
from verbenathread.gateway.quarantine_reports import QuarantineReports
from verbenathread.gateway.watch import DirectoryWatch
from verbenathread.http1.server import HttpServer, Limits
from verbenathread.node_auth import NodeAuth
from verbenathread.observability.logs import get_logger
from verbenathread.observability.status_handler import StatusHandler
from verbenathread.schema import settings_pb2
from verbenathread.serving.dialect import Dialect
from verbenathread.serving.types import ServingConfig
from verbenathread.settings.node import parse_address
from verbenathread.types import Millis, Peer

_log = get_logger('gateway')

_MAINTENANCE_INTERVAL: Millis = 2000
# The load balancer checks readiness once a second and stops sending new
# connections after two failures.
_SHUTDOWN_DELAY: Millis = 2600
# Part of the stop limit left for closing and for interpreter shutdown.
_STOP_MARGIN: Millis = 850
# Longest time to send the last answers, which are those of requests that did not
# end in time; a part of the margin.
_LAST_ANSWERS_TIME: Millis = 150


class GatewayDaemon:
    """A gateway process; other programs can embed it."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        path: str,
        dialect: Dialect,
        read_config: Callable[[bytes], ServingConfig],
    ) -> None:
        """Wire the components; seeds are reloaded from the file ``path``."""
        section = settings.gateway
        self._section = section
        self._clock: Clock = SystemClock()
        self._seeds = SeedFile(path, 'gateway')
        peer = Peer(settings.node.id, parse_address(section.peer_listen))
        self._peer_listen = peer.address
        auth = NodeAuth(settings.node)
        self.context = build_context(
            section,
            settings.node.data_centre,
            peer,
            auth.metadata,
            dialect,
            self._clock,
        )
        self.view = self.context.view
        self._watch = DirectoryWatch(
            self.view,
            self.context.quarantine,
            self._seeds,
            peer,
            read_config,
            self._clock,
        )
        self._quarantine_reports = QuarantineReports(
            self.context.quarantine, self.view
        )
        self._handler = GatewayHandler(self.context)
        self.server = HttpServer(self._handler, self._clock, section.held_bytes)
        self._handover_server = HandoverServer(
            HandoverService(self.context, self._handler), auth, self._clock
        )
        status = StatusHandler(
            self.context.metrics.registry, self.why_not_ready
        )
        self._status = HttpServer(status, self._clock)
        self._metrics = HttpServer(status, self._clock)
        self.view.on_config.append(self._apply_limits)
        self.view.on_workers.append(self._retain_workers)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start listening and connect to the directory."""
        self.context.notices.start()
        await self._handover_server.start(self._peer_listen)
        await self._status.start(parse_address(self._section.ready_listen))
        if self._section.metrics_listen:
            await self._metrics.start(
                parse_address(self._section.metrics_listen)
            )
        await self.server.start(parse_address(self._section.listen))
        for background_task in (
            self._watch.run,
            self._quarantine_reports.run,
            self._maintain,
            self.context.prober.run,
            self.context.handover.reachability.run,
        ):
            self._tasks.append(
                asyncio.create_task(restart_on_error(background_task))
            )
        _log.info(
            'Gateway started.',
            listen=self._section.listen,
            seeds=[str(address) for address in self._seeds.addresses],
        )

    async def stop(self) -> None:
        """Fail readiness, then drain until idle or until the stop limit."""
        until = self._clock.now() + self._section.stop_limit - _STOP_MARGIN
        self.server.stopping = True
        self._handover_server.refuse_new()
        _log.info('Gateway stopping.', busy=self.server.busy_count())
        left = max(0, until - self._clock.now())
        await asyncio.sleep(seconds(min(_SHUTDOWN_DELAY, left // 2)))
        self._handler.ends_at = until
        await self.server.drain(until)
        await self._handover_server.drain(until)
        await self._end_requests()
        await self.context.reservations.close()
        await cancel_all(self._tasks)
        _log.info('Gateway stopped.', cut=self.server.busy_count())
        await self._close()

    def reload(self) -> None:
        """Reload the seeds."""
        self._seeds.refresh()

    def why_not_ready(self) -> str:
        """Return why this gateway is not ready, or an empty string."""
        if self.server.stopping:
            return 'stopping'
        if self.view.table is None:
            return 'no configuration is known yet'
        return ''

    async def _end_requests(self) -> None:
        """Answer the requests that still run, and send these answers."""
        self._handler.end_exchanges()
        until = self._clock.now() + _LAST_ANSWERS_TIME
        await self.server.drain(until)
        await self._handover_server.drain(until)

    async def _close(self) -> None:
        self.server.close()
        self._status.close()
        self._metrics.close()
        await self._handover_server.close()
        self.context.handover.close()
        self.context.notices.stop()
        self.context.pool.close()

    def _apply_limits(self, config: ServingConfig) -> None:
        limits = config.limits
        self.server.limits = Limits(*limits)
        self.context.metrics.config_version.set(config.version)

    def _retain_workers(self, worker_ids: frozenset[str]) -> None:
        context = self.context
        context.pool.retain(worker_ids)
        context.fleet.retain(worker_ids)
        context.retry_budget.gateway_count = max(
            1, len(self.view.notice_targets)
        )
        context.metrics.workers.set(len(worker_ids))
        context.queue.wake()

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(seconds(_MAINTENANCE_INTERVAL))
            self._seeds.refresh()
            self.context.pool.close_expired()
            self.context.handover.drop_unlisted()
            self.context.signals.drop_expired()
            self.context.fleet.drop_expired(self._clock.now())
            self.context.quarantine.drop_expired()
            self.context.metrics.waiting.set(len(self.context.queue))
            self.view.expire_unlisted(self._clock.now())
            self.context.retry_budget.gateway_count = max(
                1, len(self.view.notice_targets)
            )
