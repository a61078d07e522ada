"""Connects an entry to the peers of its cell and the control processes."""

import asyncio
import random
import socket
from collections.abc import Coroutine
from typing import Any, NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.entry.admissions import CellAdmissions
from verbenathread.entry.claims_client import ClaimsClient
from verbenathread.entry.control_session import ControlSession
from verbenathread.entry.engine_owners import EngineOwners
from verbenathread.entry.hold_outbox import HoldOutbox
from verbenathread.entry.ledger_host import HoldReader, LedgerHost
from verbenathread.entry.load_reports import LoadReports
from verbenathread.entry.node_reports import NodeReports
from verbenathread.entry.peer_channels import PeerCalls, PeerChannels
from verbenathread.entry.peer_server import PeerServer, PeerService
from verbenathread.entry.reservations import EngineReservations
from verbenathread.entry.settings_fetcher import SettingsFetcher
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.membership.cell import Cell, NodeIdentity
from verbenathread.node_auth import NodeAuth
from verbenathread.observability.logs import get_logger
from verbenathread.schema import peer_pb2, settings_pb2
from verbenathread.settings.node import parse_addresses, parse_peers
from verbenathread.types import Millis, UpstreamId

# Lease of an upstream whose service is not in the settings of this node.
_UNKNOWN_SERVICE_LEASE_MS = 6000
_FLUSH_ATTEMPTS = 10
_FLUSH_PAUSE_MS = 100

_log = get_logger('fabric')


class NodeContext(NamedTuple):
    """Settings and sources of time and randomness shared by a node's parts."""

    settings: settings_pb2.NodeSettings
    incarnation: int
    clock: Clock
    rng: random.Random


class CellNode:
    """The parts of one entry that talk to peers and control processes."""

    def __init__(
        self,
        context: NodeContext,
        settings_store: SettingsStore,
        reader: HoldReader,
        channels: PeerCalls | None = None,
    ) -> None:
        """Create and connect the parts; nothing runs before :meth:`start`."""
        settings = context.settings
        clock = context.clock
        self.settings_store = settings_store
        peers = parse_peers(settings.entry.cell)
        auth = NodeAuth(settings.node)
        others = [peer for peer in peers if peer.node_id != settings.node.id]
        self._channels = channels or PeerChannels(others, auth)
        self._loads = LoadReports(clock)
        self.admissions = CellAdmissions(len(peers), settings_store, clock)
        self._fetcher = SettingsFetcher(settings_store, self._channels)
        self.cell = Cell(
            NodeIdentity(
                settings.node.id,
                context.incarnation,
                tuple(peer.node_id for peer in peers),
            ),
            self._channels,
            clock,
            self._lease_of,
        )
        self.host = LedgerHost(
            self.cell, reader, settings_store.policy, self._holdings_at, clock
        )
        self.owners = EngineOwners(self.cell, self.host, self._channels, clock)
        self.outbox = HoldOutbox(self.host, self.cell)
        self.reservations = EngineReservations(
            self.cell,
            self.owners,
            self.outbox,
            settings_store,
            clock,
            context.rng,
        )
        self._loads.connect(self.cell.table, self.reservations)
        self.admissions.connect(self.cell.table)
        self.cell.add_extensions(
            self._loads, self._fetcher, self.outbox, self.admissions
        )
        addresses = parse_addresses(settings.entry.control)
        self.claims = ClaimsClient(addresses, settings.node, clock, context.rng)
        reports = NodeReports(settings, self.cell, settings_store, clock)
        self._session = ControlSession(
            addresses, settings_store, reports.report, context.rng
        )
        self._server = PeerServer(
            PeerService(
                self.cell, self.host, self.reservations.held, settings_store
            ),
            auth,
        )
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self, listener: socket.socket) -> None:
        """Serve peers on a bound socket and start all tasks."""
        await self._server.start(listener)
        self.cell.start()
        self.host.start()
        self._tasks = tuple(
            _create_task(coroutine)
            for coroutine in (
                self.outbox.run(),
                self._session.run(),
                self._fetcher.run(),
                self._loads.run(self.host),
            )
        )

    async def stop(self) -> None:
        """Flush pending updates, hand the leases over, and close."""
        for _ in range(_FLUSH_ATTEMPTS):
            self.outbox.flush()
            if not self.outbox:
                break
            await asyncio.sleep(  # noqa: WPS476 - one try at a time
                seconds(_FLUSH_PAUSE_MS)
            )
        self._session.report_soon()
        await self.host.close()
        await self.cell.stop()
        await self.close()

    async def close(self) -> None:
        """Cancel all tasks at once, without notifying peers or control."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.host.close()
        await self.cell.close()
        await self._channels.close()
        self.claims.close()
        await self._server.stop()

    async def _holdings_at(
        self, upstream_id: UpstreamId
    ) -> tuple[peer_pb2.Holding, ...]:
        others = await self.owners.holdings_at(upstream_id)
        return (*self.reservations.held.at(upstream_id), *others)

    def _lease_of(self, service: str) -> Millis:
        settings = self.settings_store.service(service)
        return _UNKNOWN_SERVICE_LEASE_MS if settings is None else settings.lease


def _create_task(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task whose failure is logged at once."""
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error('Background task failed.', exc_info=task.exception())
