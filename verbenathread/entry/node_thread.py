"""Runs the cell node of an entry on an event loop in its own thread.

Worker threads use it through blocking adapters, which pass each call to the
event loop. See :mod:`verbenathread.entry.cell_node` for the node itself.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Protocol

from verbenathread.clock import Clock, SystemClock
from verbenathread.entry.blocking_adapters import (
    BlockingClaims,
    BlockingReservations,
    BlockingUpstreams,
)
from verbenathread.entry.cell_node import CellNode, NodeContext
from verbenathread.entry.hold_reader import HttpHoldReader
from verbenathread.entry.http_frontend import FrontendInterfaces
from verbenathread.entry.loop_thread import LoopThread
from verbenathread.entry.peer_server import bound_socket
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.exceptions import SettingsError
from verbenathread.scheduling.messages import EngineHold
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import parse_address
from verbenathread.types import Millis, UpstreamRecord

_START_TIMEOUT_MS = 5000
_STOP_TIMEOUT_MS = 10_000


class BlockingHoldReader(Protocol):
    """Reads what an engine holds, in a thread that may block."""

    def holds(
        self, record: UpstreamRecord, timeout: Millis
    ) -> Sequence[EngineHold]:
        """Return the attempts for which the engine holds memory.

        Raises :class:`.UnavailableError` when it can't be read in time.
        """


class NodeThread:
    """A cell node on its own thread; its interfaces work once it is started."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        reader: BlockingHoldReader | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Create the node and its interfaces.

        ``reader`` reads what engines hold, over HTTP by default.
        """
        clock = clock or SystemClock()
        # Wall time, so that the number grows with each start of this node.
        self.incarnation = clock.wall()
        rng = random.Random(f'{settings.node.id} {self.incarnation}')
        self._settings = settings
        self._loop = LoopThread('fabric')
        self._settings_store = SettingsStore()
        self._node = CellNode(
            NodeContext(settings, self.incarnation, clock, rng),
            self._settings_store,
            _ThreadedReader(reader or HttpHoldReader(clock)),
        )
        self.interfaces = FrontendInterfaces(
            self._settings_store,
            BlockingUpstreams(self._node.cell, self._loop),
            BlockingReservations(self._node.reservations, self._loop, clock),
            BlockingClaims(self._node.claims, self._loop),
            self._node.admissions,
        )

    def start(self) -> None:
        """Listen for peers and start; return when peers can connect."""
        text = self._settings.entry.peer_listen
        try:
            listener = bound_socket(parse_address(text))
        except OSError as error:
            raise SettingsError(
                f'[entry] peer_listen = {text}: cannot listen on this address '
                + f'({error.strerror}); free the port or choose another one.'
            ) from error
        self._loop.start()
        self._loop.run(self._node.start(listener), _START_TIMEOUT_MS)

    def stop(self) -> None:
        """Flush pending updates, hand the engine leases over, and stop."""
        self._loop.run(self._node.stop(), _STOP_TIMEOUT_MS)
        self._loop.stop()

    def ready(self) -> bool:
        """Return whether shared settings are in force."""
        return self._settings_store.revision() > 0


class _ThreadedReader:
    """Reads holds in a thread, so as not to block the event loop."""

    def __init__(self, reader: BlockingHoldReader) -> None:
        self._reader = reader

    async def holds(
        self, record: UpstreamRecord, timeout: Millis
    ) -> Sequence[EngineHold]:
        return await asyncio.to_thread(self._reader.holds, record, timeout)
