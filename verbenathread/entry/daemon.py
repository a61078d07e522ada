"""The entry daemon: its parts wired, started, and stopped as planned."""

import importlib
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.entry.engine_client import Owner
from verbenathread.entry.exchange import Limits
from verbenathread.entry.http_frontend import FrontendPorts, HttpFrontend
from verbenathread.entry.trace_recorder import TraceRecorder
from verbenathread.exceptions import SettingsError
from verbenathread.observability.logs import get_logger
from verbenathread.observability.metrics import EntryMetrics
from verbenathread.observability.status_server import StatusServer
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import parse_address, parse_peers
from verbenathread.types import Address, Millis

# Longest time in ms to record outcomes and confirm cancels at a stop.
_FLUSH_TIME = 5000

_log = get_logger('entry')


class Fabric(Protocol):
    """The entry's connections with other nodes."""

    ports: FrontendPorts
    # Grows with each start of this node; control and engines see this one.
    incarnation: int

    def start(self) -> None:
        """Begin to talk with the other nodes."""

    def stop(self) -> None:
        """Hand over or release leases and end."""

    def ready(self) -> bool:
        """Return whether shared settings are in force."""


class StopTimes(NamedTuple):
    """How long the steps of a planned stop take, in ms."""

    # How long readiness fails before new work is refused.
    notice: Millis
    # How long requests in progress are waited for.
    limit: Millis


class EntryDaemon:
    """One entry process."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        fabric: Fabric | None = None,
        *,
        clock: Clock | None = None,
    ) -> None:
        """Wire the parts; nothing runs before :meth:`start`."""
        entry = settings.entry
        clock = clock or SystemClock()
        if fabric is None:
            fabric = _entry_fabric(settings)
        self._fabric = fabric
        self._stop_times = StopTimes(entry.stop_notice, entry.stop_limit)
        self._fault = 'starting'
        self.metrics = EntryMetrics()
        self.frontend = HttpFrontend(
            parse_address(entry.listen),
            fabric.ports,
            Owner(settings.node.id, fabric.incarnation),
            Limits(
                entry.streams,
                entry.buffered_bytes,
                entry.body_bytes,
                entry.body_timeout,
            ),
            self.metrics,
            clock=clock,
            recorder=_recorder(settings, clock),
        )
        self.status = StatusServer(
            parse_address(entry.metrics_listen),
            self.metrics.registry,
            self._readiness,
        )

    def start(self) -> None:
        """Begin to serve; readiness tells when callers may be sent here."""
        self._fabric.start()
        self._listen(
            'listen', self.frontend.server.address, self.frontend.start
        )
        self._listen('metrics_listen', self.status.address, self.status.start)
        self._fault = ''
        _log.info('Serving callers.', address=str(self.frontend.server.address))

    def stop(self) -> None:
        """Stop as planned: no request in progress is cut off in its limit."""
        _log.info('Stopping.')
        self._fault = 'stopping'
        time.sleep(seconds(self._stop_times.notice))
        self.frontend.refuse_new_work()
        if not self.frontend.drain(self._stop_times.limit):
            _log.warning(
                'Requests are cut off at the stop limit.',
                requests=self.frontend.server.busy,
            )
        self.frontend.stop(_FLUSH_TIME)
        self._fabric.stop()
        self.status.stop()
        _log.info('Stopped.')

    def _readiness(self) -> str:
        if self._fault:
            return self._fault
        if not self._fabric.ready():
            return 'no shared settings are in force yet'
        return ''

    def _listen(
        self, option: str, address: Address, start: Callable[[], None]
    ) -> None:
        try:
            start()
        except OSError as exc:
            raise SettingsError(
                f'[entry] {option} = {address} can not be listened on '
                f'({exc.strerror}); end what uses it or write another port.'
            ) from exc


def _entry_fabric(settings: settings_pb2.NodeSettings) -> Fabric:
    # Loaded late: callers that bring a fabric of their own need no grpclib.
    module = importlib.import_module('verbenathread.entry.node_thread')
    fabric: Fabric = module.NodeThread(settings)
    return fabric


def _recorder(
    settings: settings_pb2.NodeSettings, clock: Clock
) -> TraceRecorder:
    node_ids = [peer.node_id for peer in parse_peers(settings.entry.cell)]
    position = 0
    if settings.node.id in node_ids:
        position = node_ids.index(settings.node.id)
    return TraceRecorder(settings.entry.trace_file, position, clock)
