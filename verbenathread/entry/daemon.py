"""The entry daemon: starts the components and shuts them down gracefully."""

import importlib
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock, SystemClock, seconds
from verbenathread.entry.engine_client import Owner
from verbenathread.entry.exchange import Limits
from verbenathread.entry.http_frontend import FrontendInterfaces, HttpFrontend
from verbenathread.entry.trace_recorder import TraceRecorder
from verbenathread.exceptions import SettingsError
from verbenathread.observability.logs import get_logger
from verbenathread.observability.metrics import EntryMetrics
from verbenathread.observability.status_server import StatusServer
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import parse_address, parse_peers
from verbenathread.types import Address, Millis

# Time in ms to record outcomes and confirm cancels during shutdown.
_FLUSH_TIME = 5000

_log = get_logger('entry')


class ClusterNode(Protocol):
    """The node's membership in the cluster: connections to other nodes."""

    interfaces: FrontendInterfaces
    # Increases at each start of this node; sent to control and engines.
    incarnation: int

    def start(self) -> None:
        """Connect to the other nodes."""

    def stop(self) -> None:
        """Hand over or release leases, then disconnect."""

    def ready(self) -> bool:
        """Return whether shared settings are in force."""


class StopTimes(NamedTuple):
    """Durations of the steps of a graceful shutdown, in ms."""

    # Time between failing readiness and refusing new requests.
    notice: Millis
    # Time for requests in progress to end.
    limit: Millis


class EntryDaemon:
    """One entry process."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        cluster_node: ClusterNode | None = None,
        *,
        clock: Clock | None = None,
    ) -> None:
        """Create the components; nothing runs before :meth:`start`."""
        entry = settings.entry
        clock = clock or SystemClock()
        if cluster_node is None:
            cluster_node = _create_cluster_node(settings)
        self._cluster_node = cluster_node
        self._stop_times = StopTimes(entry.stop_notice, entry.stop_limit)
        self._unready_reason = 'starting'
        self.metrics = EntryMetrics()
        self.frontend = HttpFrontend(
            parse_address(entry.listen),
            cluster_node.interfaces,
            Owner(settings.node.id, cluster_node.incarnation),
            Limits(
                entry.streams,
                entry.buffered_bytes,
                entry.body_bytes,
                entry.body_timeout,
            ),
            self.metrics,
            clock=clock,
            recorder=_create_recorder(settings, clock),
        )
        self.status = StatusServer(
            parse_address(entry.metrics_listen),
            self.metrics.registry,
            self._readiness,
        )

    def start(self) -> None:
        """Start serving; readiness succeeds once callers can be served."""
        self._cluster_node.start()
        self._start_listening(
            'listen', self.frontend.server.address, self.frontend.start
        )
        self._start_listening(
            'metrics_listen', self.status.address, self.status.start
        )
        self._unready_reason = ''
        _log.info('Serving callers.', address=str(self.frontend.server.address))

    def stop(self) -> None:
        """Shut down gracefully; requests in progress get time to end."""
        _log.info('Stopping.')
        self._unready_reason = 'stopping'
        time.sleep(seconds(self._stop_times.notice))
        self.frontend.refuse_new_work()
        if not self.frontend.drain(self._stop_times.limit):
            _log.warning(
                'Stop limit reached; aborting requests in progress.',
                requests=self.frontend.server.busy,
            )
        self.frontend.stop(_FLUSH_TIME)
        self._cluster_node.stop()
        self.status.stop()
        _log.info('Stopped.')

    def _readiness(self) -> str:
        if self._unready_reason:
            return self._unready_reason
        if not self._cluster_node.ready():
            return 'no shared settings are in force yet'
        return ''

    def _start_listening(
        self, option: str, address: Address, start: Callable[[], None]
    ) -> None:
        try:
            start()
        except OSError as exc:
            raise SettingsError(
                f'[entry] {option}: cannot listen on {address} '
                f'({exc.strerror}); stop the process that uses it or set '
                'another port.'
            ) from exc


def _create_cluster_node(settings: settings_pb2.NodeSettings) -> ClusterNode:
    # Imported late: with another cluster node, grpclib is not needed.
    module = importlib.import_module('verbenathread.entry.node_thread')
    cluster_node: ClusterNode = module.NodeThread(settings)
    return cluster_node


def _create_recorder(
    settings: settings_pb2.NodeSettings, clock: Clock
) -> TraceRecorder:
    node_ids = [peer.node_id for peer in parse_peers(settings.entry.cell)]
    position = 0
    if settings.node.id in node_ids:
        position = node_ids.index(settings.node.id)
    return TraceRecorder(settings.entry.trace_file, position, clock)
