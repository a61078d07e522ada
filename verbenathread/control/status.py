"""The metrics, health and readiness of a control process."""

from collections.abc import Callable

from prometheus_client import Gauge

from verbenathread.consensus.replica import Replica
from verbenathread.control.daemon import ControlDaemon
from verbenathread.observability.metrics import ControlMetrics
from verbenathread.observability.status_server import StatusServer
from verbenathread.types import Address

_NO_LEADER = 'no leader of the control group is known'


def status_server(daemon: ControlDaemon, listen: Address) -> StatusServer:
    """Return the HTTP server for the status of ``daemon``."""
    metrics = ControlMetrics()
    replica = daemon.replica
    reader_by_gauge: dict[Gauge, Callable[[], float]] = {
        metrics.leads: lambda: replica.status().is_leader,
        metrics.term: lambda: replica.status().term,
        metrics.committed: lambda: replica.status().commit_index,
        metrics.revision: daemon.machine.tree.revision,
        metrics.sessions: lambda: len(daemon.sessions),
    }
    for gauge, reader in reader_by_gauge.items():
        gauge.set_function(reader)
    return StatusServer(listen, metrics.registry, _Readiness(replica))


class _Readiness:
    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def __call__(self) -> str:
        status = self._replica.status()
        if status.failure:
            return status.failure
        return '' if status.leader else _NO_LEADER
