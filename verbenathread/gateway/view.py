"""What a gateway believes: configuration, workers, other gateways."""

from collections.abc import Callable, Iterable

from verbenathread.observability.logs import get_logger
from verbenathread.serving.placement import PlacingGateway
from verbenathread.serving.routes import RouteTable
from verbenathread.serving.types import ServingConfig, Worker, WorkerState
from verbenathread.types import Address, Millis, Peer

_log = get_logger('gateway')

# What was sent before a gateway heard of the others ends within about this.
_BLIND_FOR: Millis = 2500
# A gateway that is listed no more is told of sends for so much longer: after
# a change of leaders the list fills up again within about 2 s.
_TOLD_FOR: Millis = 5000

_ConfigListener = Callable[[ServingConfig], None]
_WorkersListener = Callable[[frozenset[str]], None]


class ClusterView:
    """The newest that the directory told."""

    def __init__(self, node_id: str = '') -> None:
        """Know nothing; a gateway without configuration is not ready."""
        self._node_id = node_id
        self.table: RouteTable | None = None
        self.directory: tuple[Peer, ...] = ()
        self.gateways: tuple[Peer, ...] = ()
        # The gateways that are told of sends: those listed, now or recently.
        self.notice_targets: tuple[Peer, ...] = ()
        self._listed_at_by_peer: dict[Peer, Millis] = {}
        # True while a leader that a quorum follows feeds this view.
        self.is_fresh = False
        # Monotonic times at which it was fed first and last.
        self.first_update_at: Millis | None = None
        self.updated_at: Millis = 0
        self.on_config: list[_ConfigListener] = []
        self.on_workers: list[_WorkersListener] = []
        self._workers_by_service: dict[str, tuple[Worker, ...]] = {}
        # Workers at whose address another one answered.
        self._misplaced: set[tuple[str, int]] = set()
        self.worker_by_id: dict[str, Worker] = {}

    @property
    def config_version(self) -> int:
        """Return the version in force here; 0 for none."""
        return 0 if self.table is None else self.table.config.version

    def apply_config(self, config: ServingConfig) -> None:
        """Bring a configuration in force, unless it is older."""
        if config.version <= self.config_version:
            return
        self.table = RouteTable(config)
        _log.info(
            'A configuration is in force.',
            version=config.version,
            routes=len(config.routes),
        )
        for notify in self.on_config:
            notify(config)

    def apply_workers(self, workers: Iterable[Worker]) -> None:
        """Replace the workers by those that the directory lists."""
        before = self.worker_by_id
        self.worker_by_id = {one.worker_id: one for one in workers}
        for worker in self.worker_by_id.values():
            if before.get(worker.worker_id) != worker:
                _log.info(
                    'A worker changed.',
                    worker=worker.worker_id,
                    state=worker.state.name,
                    address=str(worker.address),
                )
        for worker_id in before:
            if worker_id not in self.worker_by_id:
                _log.info('A worker is gone.', worker=worker_id)
        self._misplaced.intersection_update(
            (one.worker_id, one.started_at)
            for one in self.worker_by_id.values()
        )
        self._index()
        known = frozenset(self.worker_by_id)
        for notify in self.on_workers:
            notify(known)

    def apply_nodes(
        self,
        directory: tuple[Peer, ...],
        gateways: tuple[Peer, ...],
        now: Millis,
    ) -> None:
        """Take the directory processes and gateways that a leader lists.

        A new leader lists only the gateways that have come to it so far.
        """
        for peer in (*self.gateways, *gateways):
            self._listed_at_by_peer[peer] = now
        self.directory = directory
        self.gateways = gateways
        self.expire_unlisted(now)

    def expire_unlisted(self, now: Millis) -> None:
        """Tell gateways no more that were not listed for long."""
        for peer, listed_at in tuple(self._listed_at_by_peer.items()):
            if peer not in self.gateways and now - listed_at > _TOLD_FOR:
                self._listed_at_by_peer.pop(peer)
        self.notice_targets = tuple(self._listed_at_by_peer)

    def mark_misdirected(self, worker: Worker) -> None:
        """Note that another worker answers at this one's address."""
        _log.warning('Another worker answers.', worker=worker.worker_id)
        self._misplaced.add((worker.worker_id, worker.started_at))
        self._index()

    def record_update(self, now: Millis) -> None:
        """Note that a leader fed this view."""
        self.is_fresh = True
        self.updated_at = now
        if self.first_update_at is None:
            self.first_update_at = now

    def placing_gateway(self, now: Millis) -> PlacingGateway:
        """Return who chooses; blind while it knows no loads yet."""
        first = self.first_update_at
        is_blind = first is None or now - first < _BLIND_FOR
        return PlacingGateway(self._node_id, is_blind)

    def workers(self, service: str) -> tuple[Worker, ...]:
        """Return the workers that take new requests of a service."""
        return self._workers_by_service.get(service, ())

    def _index(self) -> None:
        found: dict[str, list[Worker]] = {}
        for worker in self.worker_by_id.values():
            if worker.state is not WorkerState.READY:
                continue
            if (worker.worker_id, worker.started_at) in self._misplaced:
                continue
            found.setdefault(worker.service, []).append(worker)
        self._workers_by_service = {
            service: tuple(workers) for service, workers in found.items()
        }


def make_peer(node_id: str, host: str, port: int) -> Peer:
    """Return a node and its address."""
    return Peer(node_id, Address(host, port))
