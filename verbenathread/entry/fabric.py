"""The inter-process side of one entry, for worker threads that block.

``start`` brings the parts of :mod:`verbenathread.entry.fabric_node` up on an
event loop in a thread of its own; the ports hand each call over to it.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Protocol

from verbenathread.clock import Clock, SystemClock
from verbenathread.entry.blocking_ports import (
    BlockingClaims,
    BlockingReservations,
    BlockingUpstreams,
)
from verbenathread.entry.fabric_node import FabricNode, NodeContext
from verbenathread.entry.loop_thread import LoopThread
from verbenathread.entry.peers import bound_socket
from verbenathread.entry.ports import (
    Claims,
    Reservations,
    SharedSettings,
    Upstreams,
)
from verbenathread.entry.shared import SharedTree
from verbenathread.scheduling.messages import EngineHold
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import parse_address
from verbenathread.types import Millis, UpstreamRecord

_START_MS = 5000
_STOP_MS = 10_000


class BlockingHoldReader(Protocol):
    """Reads what an engine holds, in a thread that may wait."""

    def holds(
        self, record: UpstreamRecord, limit: Millis
    ) -> Sequence[EngineHold]:
        """Return the attempts that it holds memory for.

        Raises :class:`.UnavailableError` when it can't be read in time.
        """


class EntryFabric:
    """The ports of one entry."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        reader: BlockingHoldReader,
        clock: Clock | None = None,
    ) -> None:
        """Take the node's settings and what reads holds of engines."""
        self._clock = clock or SystemClock()
        self._settings = settings
        # Wall time makes a number that grows with each start of this node.
        self.incarnation = self._clock.wall()
        self._reader = reader
        self._shared = SharedTree()
        self._loop = LoopThread('fabric')
        self._node: FabricNode | None = None

    def start(self) -> None:
        """Listen for peers and start; returns when peers can connect."""
        self._loop.start()
        self._loop.run(self._start(), _START_MS)

    def stop(self) -> None:
        """Hand the engine leases over, tell what is due, and end."""
        self._loop.run(self._running().stop(), _STOP_MS)
        self._loop.stop()

    def ready(self) -> bool:
        """Tell whether shared settings are in force."""
        return self._shared.revision() > 0

    def shared_settings(self) -> SharedSettings:
        """Return the shared settings in force."""
        return self._shared

    def upstreams(self) -> Upstreams:
        """Return the upstreams that this entry knows."""
        return BlockingUpstreams(self._running().cell, self._loop)

    def reservations(self) -> Reservations:
        """Return the way to the memory of engines."""
        return BlockingReservations(
            self._running().reservations, self._loop, self._clock
        )

    def claims(self) -> Claims:
        """Return the way to claims on a quorum of control."""
        return BlockingClaims(self._running().claims, self._loop)

    async def _start(self) -> None:
        context = NodeContext(
            self._settings,
            self.incarnation,
            self._clock,
            random.Random(f'{self._settings.node.id} {self.incarnation}'),
        )
        self._node = FabricNode(
            context, self._shared, _ThreadedReader(self._reader)
        )
        address = parse_address(self._settings.entry.peer_listen)
        await self._node.start(bound_socket(address))

    def _running(self) -> FabricNode:
        if self._node is None:
            raise RuntimeError('start() must come first')
        return self._node


class _ThreadedReader:
    """Reads holds in a thread, so that the loop goes on."""

    def __init__(self, reader: BlockingHoldReader) -> None:
        self._reader = reader

    async def holds(
        self, record: UpstreamRecord, limit: Millis
    ) -> Sequence[EngineHold]:
        return await asyncio.to_thread(self._reader.holds, record, limit)
