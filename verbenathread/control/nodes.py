"""Nodes and upstreams as reported to control; nothing here is durable.

Each control process receives the reports of the nodes that have a session
with it and passes them to the leader, so that a new leader has the state of
all nodes shortly after its election.
"""

from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.schema import control_pb2
from verbenathread.types import Millis

# A node is removed after this time without a report, in ms.
NODE_RETENTION: Millis = 600_000
MAX_UPSTREAMS = 16_384
_STATES_BY_RANK = ('', 'ready', 'leaving', 'gone')


class NodeRecord(NamedTuple):
    """The last report of a node and its monotonic time."""

    status: control_pb2.NodeStatus
    reported_at: Millis


class NodeTable:
    """Nodes and upstreams by their identifiers."""

    def __init__(self, clock: Clock) -> None:
        """Start without nodes."""
        self._clock = clock
        self._record_by_node: dict[str, NodeRecord] = {}
        self._upstream_by_id: dict[str, control_pb2.UpstreamStatus] = {}

    def record_report(self, report: control_pb2.NodeReport) -> None:
        """Record a report that a node sent over its own session."""
        self._record_node(
            control_pb2.NodeStatus(
                node_id=report.node_id,
                data_centre=report.data_centre,
                role=report.role,
                revision=report.revision,
                incarnation=report.incarnation,
                address=report.address,
                stopping=report.stopping,
            ),
            self._clock.now(),
        )
        self._record_upstreams(report.upstreams)

    def record_peer_report(self, report: control_pb2.NodesReport) -> None:
        """Record the nodes that another control process reports."""
        now = self._clock.now()
        for status in report.nodes:
            self._record_node(status, now - status.silent_ms)
        self._record_upstreams(report.upstreams)

    def get(self, node_id: str) -> NodeRecord | None:
        """Return the last report of one node, or None."""
        return self._record_by_node.get(node_id)

    def statuses(self) -> list[control_pb2.NodeStatus]:
        """Return the recently reported nodes and the age of each report."""
        now = self._clock.now()
        self._remove_stale(now)
        statuses = []
        for _, record in sorted(self._record_by_node.items()):
            status = control_pb2.NodeStatus()
            status.CopyFrom(record.status)
            status.silent_ms = max(0, now - record.reported_at)
            statuses.append(status)
        return statuses

    def upstreams(self) -> list[control_pb2.UpstreamStatus]:
        """Return the upstreams that nodes reported, sorted."""
        return [status for _, status in sorted(self._upstream_by_id.items())]

    def upstream(self, upstream_id: str) -> control_pb2.UpstreamStatus | None:
        """Return one upstream, or None."""
        return self._upstream_by_id.get(upstream_id)

    def _record_node(
        self, status: control_pb2.NodeStatus, reported_at: Millis
    ) -> None:
        previous = self._record_by_node.get(status.node_id)
        if previous is not None:
            version = (status.incarnation, reported_at)
            if version < (previous.status.incarnation, previous.reported_at):
                return
        self._record_by_node[status.node_id] = NodeRecord(status, reported_at)

    def _record_upstreams(
        self, upstreams: Iterable[control_pb2.UpstreamStatus]
    ) -> None:
        for status in upstreams:
            previous = self._upstream_by_id.get(status.upstream_id)
            if previous is not None and _rank(status) < _rank(previous):
                continue
            self._upstream_by_id[status.upstream_id] = status
        while len(self._upstream_by_id) > MAX_UPSTREAMS:
            self._upstream_by_id.pop(next(iter(self._upstream_by_id)))

    def _remove_stale(self, now: Millis) -> None:
        for node_id, record in list(self._record_by_node.items()):
            if now - record.reported_at > NODE_RETENTION:
                self._record_by_node.pop(node_id)


def _rank(status: control_pb2.UpstreamStatus) -> tuple[int, int]:
    state = status.state.lower()
    if state not in _STATES_BY_RANK:
        return (status.incarnation, 0)
    return (status.incarnation, _STATES_BY_RANK.index(state))
