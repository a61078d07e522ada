"""Status reports from an entry to the control processes."""

from verbenathread.clock import Clock
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.membership.cell import Cell
from verbenathread.schema import control_pb2, settings_pb2
from verbenathread.types import Millis, UpstreamRecord

_ROLE = 'entry'
# How often the state of all upstreams is reported again without a change.
_REPEAT_MS = 15_000


class NodeReports:
    """Builds the reports of one entry."""

    def __init__(
        self,
        settings: settings_pb2.NodeSettings,
        cell: Cell,
        settings_store: SettingsStore,
        clock: Clock,
    ) -> None:
        """Report on these settings, this cell and the settings in force."""
        self._settings = settings
        self._cell = cell
        self._settings_store = settings_store
        self._clock = clock
        self._reported_digest = 0
        self._repeat_at: Millis = 0

    def report(self) -> control_pb2.NodeReport:
        """Return a report, with all upstreams if something changed."""
        node = self._settings.node
        report = control_pb2.NodeReport(
            node_id=node.id,
            incarnation=self._cell.identity.incarnation,
            data_centre=node.data_centre,
            role=_ROLE,
            address=self._settings.entry.peer_listen,
            revision=self._settings_store.revision(),
            stopping=self._cell.stopping,
            cluster=node.cluster,
            node_key=node.node_key,
        )
        now = self._clock.now()
        digest = self._cell.table.digest()
        if digest != self._reported_digest or now >= self._repeat_at:
            self._reported_digest = digest
            self._repeat_at = now + _REPEAT_MS
            report.upstreams.extend(map(_status, self._cell.table))
        return report


def _status(record: UpstreamRecord) -> control_pb2.UpstreamStatus:
    return control_pb2.UpstreamStatus(
        upstream_id=record.upstream_id,
        incarnation=record.incarnation,
        service=record.service,
        address=str(record.address),
        state=record.state.name.lower(),
        data_centre=record.data_centre,
    )
