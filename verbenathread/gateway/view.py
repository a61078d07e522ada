"""A gateway's view of the cluster: configuration, workers, gateways."""

from collections.abc import Callable, Iterable

from verbenathread.membership.hashing import preferred_node
from verbenathread.observability.logs import get_logger
from verbenathread.serving.placement import PlacingGateway
from verbenathread.serving.routes import RouteTable
from verbenathread.serving.types import ServingConfig, Worker, WorkerState
from verbenathread.types import Address, Millis, Peer

_log = get_logger('gateway')

# Sends that were announced before a gateway started end within about this time.
_WARM_UP: Millis = 2500
# A gateway that is no longer listed still receives notices for this long. After
# a change of leader it is listed again once it has found the new one.
_NOTICE_RETENTION: Millis = 15_000

# Workers that leave are remembered up to this number; a rollout of 4,000
# workers leaves that many.
_MAX_LEAVING = 4096

_ConfigListener = Callable[[ServingConfig], None]
_WorkersListener = Callable[[frozenset[str]], None]


class ClusterView:
    """The latest state received from the directory."""

    def __init__(self, node_id: str = '') -> None:
        """Start empty; a gateway without configuration is not ready."""
        self._node_id = node_id
        self.table: RouteTable | None = None
        self.directory: tuple[Peer, ...] = ()
        self.gateways: tuple[Peer, ...] = ()
        # The gateways that receive notices: those listed now or recently.
        self.notice_targets: tuple[Peer, ...] = ()
        self._listed_at_by_peer: dict[Peer, Millis] = {}
        # True while a leader with a quorum updates this view.
        self.is_fresh = False
        # The process that sends the updates; None while there is none.
        self.leader: Address | None = None
        # Monotonic times of the first and the last update.
        self.first_update_at: Millis | None = None
        self.updated_at: Millis = 0
        self.on_config: list[_ConfigListener] = []
        self.on_workers: list[_WorkersListener] = []
        self._workers_by_service: dict[str, tuple[Worker, ...]] = {}
        # Workers at whose address another one answered, by id and start time.
        self._misdirected: set[tuple[str, int]] = set()
        # Incarnations of workers that said that they leave, oldest first. Kept
        # when the directory stops listing them, as it may list them again.
        self._leaving: dict[tuple[str, int], None] = {}
        self.worker_by_id: dict[str, Worker] = {}
        self._worker_by_address: dict[Address, Worker] = {}

    @property
    def config_version(self) -> int:
        """Return the version of the current configuration; 0 for none."""
        return 0 if self.table is None else self.table.config.version

    def apply_config(self, config: ServingConfig) -> None:
        """Apply a configuration unless it is older than the current one."""
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
        """Replace the workers with those that the directory lists."""
        previous = self.worker_by_id
        self.worker_by_id = {worker.worker_id: worker for worker in workers}
        self._worker_by_address = {
            worker.address: worker for worker in self.worker_by_id.values()
        }
        for worker in self.worker_by_id.values():
            if previous.get(worker.worker_id) != worker:
                _log.info(
                    'A worker changed.',
                    worker=worker.worker_id,
                    state=worker.state.name,
                    address=str(worker.address),
                )
        for worker_id in previous:
            if worker_id not in self.worker_by_id:
                _log.info('A worker was removed.', worker=worker_id)
        self._misdirected.intersection_update(
            (known.worker_id, known.started_at)
            for known in self.worker_by_id.values()
        )
        self._index()
        worker_ids = frozenset(self.worker_by_id)
        for notify in self.on_workers:
            notify(worker_ids)

    def change_workers(
        self, changed: Iterable[Worker], removed_ids: Iterable[str]
    ) -> None:
        """Apply the changes of the directory's list since the last one."""
        worker_by_id = dict(self.worker_by_id)
        for removed_id in removed_ids:
            worker_by_id.pop(removed_id, None)
        for worker in changed:
            worker_by_id[worker.worker_id] = worker
        self.apply_workers(worker_by_id.values())

    def apply_nodes(
        self,
        directory: tuple[Peer, ...],
        gateways: tuple[Peer, ...],
        now: Millis,
    ) -> None:
        """Apply the directory processes and gateways that a leader lists.

        A new leader lists only the gateways that have connected to it so far.
        """
        for peer in (*self.gateways, *gateways):
            self._listed_at_by_peer[peer] = now
        self.directory = directory
        self.gateways = gateways
        self.expire_unlisted(now)

    def expire_unlisted(self, now: Millis) -> None:
        """Stop notifying gateways that were last listed too long ago."""
        listed = frozenset(self.gateways)
        for peer, listed_at in tuple(self._listed_at_by_peer.items()):
            if peer not in listed and now - listed_at > _NOTICE_RETENTION:
                self._listed_at_by_peer.pop(peer)
        self.notice_targets = tuple(self._listed_at_by_peer)

    def mark_misdirected(self, worker: Worker) -> None:
        """Exclude a worker at whose address another one answers."""
        _log.warning(
            "Another worker answers at this worker's address.",
            worker=worker.worker_id,
        )
        self._misdirected.add((worker.worker_id, worker.started_at))
        self._index()

    def mark_leaving(self, worker: Worker) -> bool:
        """Exclude a worker that leaves; return False if it already was."""
        key = (worker.worker_id, worker.started_at)
        if key in self._leaving:
            return False
        self._leaving[key] = None
        if len(self._leaving) > _MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        self._index()
        return True

    def is_available(self, worker: Worker) -> bool:
        """Return whether this incarnation accepts new requests."""
        known = self.worker_by_id.get(worker.worker_id)
        if known is None or known.started_at != worker.started_at:
            return False
        return self._accepts_requests(known)

    def is_replaced(self, worker: Worker) -> bool:
        """Return whether a later incarnation has the id or the address."""
        for known in (
            self.worker_by_id.get(worker.worker_id),
            self._worker_by_address.get(worker.address),
        ):
            if known is not None and known.started_at > worker.started_at:
                return True
        return False

    def record_update(self, now: Millis) -> None:
        """Record that a leader updated this view."""
        self.is_fresh = True
        self.updated_at = now
        if self.first_update_at is None:
            self.first_update_at = now

    def placing_gateway(self, now: Millis) -> PlacingGateway:
        """Return this gateway, and whether it still lacks others' sends."""
        first_update_at = self.first_update_at
        is_warming_up = (
            first_update_at is None or now - first_update_at < _WARM_UP
        )
        return PlacingGateway(self._node_id, is_warming_up)

    def is_chosen(self, key: str) -> bool:
        """Return whether a hash assigns ``key`` to this gateway."""
        node_ids = {peer.node_id for peer in self.notice_targets}
        chosen = preferred_node(key, node_ids | {self._node_id})
        return chosen == self._node_id

    def workers(self, service: str) -> tuple[Worker, ...]:
        """Return the workers that accept new requests of a service."""
        return self._workers_by_service.get(service, ())

    def _index(self) -> None:
        workers_by_service: dict[str, list[Worker]] = {}
        for worker in self.worker_by_id.values():
            if not self._accepts_requests(worker):
                continue
            workers_by_service.setdefault(worker.service, []).append(worker)
        self._workers_by_service = {
            service: tuple(workers)
            for service, workers in workers_by_service.items()
        }

    def _accepts_requests(self, worker: Worker) -> bool:
        if worker.state is not WorkerState.READY:
            return False
        key = (worker.worker_id, worker.started_at)
        return key not in self._misdirected and key not in self._leaving


def make_peer(node_id: str, host: str, port: int) -> Peer:
    """Return a peer for a node id and its address."""
    return Peer(node_id, Address(host, port))
