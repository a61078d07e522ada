"""Nodes and upstreams as control hears of them; nothing here is durable.

Each control process hears the nodes that hold a session with it, and tells
the leader; so the leader knows of all nodes a moment after it was elected.
"""

from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.schema import control_pb2
from verbenathread.types import Millis

# A node is forgotten after this long without a report, in ms.
NODE_RETENTION = 600_000
MAX_UPSTREAMS = 16_384
_STATES_BY_RANK = ('', 'ready', 'leaving', 'gone')


class NodeRecord(NamedTuple):
    """The last report of a node and the monotonic time it was heard."""

    status: control_pb2.NodeStatus
    reported_at: Millis


class NodeTable:
    """Nodes and upstreams by their identifiers."""

    def __init__(self, clock: Clock) -> None:
        """Start with nobody heard."""
        self._clock = clock
        self._record_by_node: dict[str, NodeRecord] = {}
        self._upstream_by_id: dict[str, control_pb2.UpstreamStatus] = {}

    def record_report(self, report: control_pb2.NodeReport) -> None:
        """Take what a node reported over its own session."""
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
        """Take what another control process heard."""
        now = self._clock.now()
        for status in report.nodes:
            self._record_node(status, now - status.silent_ms)
        self._record_upstreams(report.upstreams)

    def get(self, node_id: str) -> NodeRecord | None:
        """Return what was last heard of one node, or None."""
        return self._record_by_node.get(node_id)

    def statuses(self) -> list[control_pb2.NodeStatus]:
        """Return every node heard lately, with how long it is silent."""
        now = self._clock.now()
        self._remove_stale(now)
        statuses = []
        for _, heard in sorted(self._record_by_node.items()):
            status = control_pb2.NodeStatus()
            status.CopyFrom(heard.status)
            status.silent_ms = max(0, now - heard.reported_at)
            statuses.append(status)
        return statuses

    def upstreams(self) -> list[control_pb2.UpstreamStatus]:
        """Return the upstreams that nodes told of, sorted."""
        return [status for _, status in sorted(self._upstream_by_id.items())]

    def upstream(self, upstream_id: str) -> control_pb2.UpstreamStatus | None:
        """Return one upstream, or None."""
        return self._upstream_by_id.get(upstream_id)

    def _record_node(
        self, status: control_pb2.NodeStatus, heard: Millis
    ) -> None:
        known = self._record_by_node.get(status.node_id)
        if known is not None:
            order = (status.incarnation, heard)
            if order < (known.status.incarnation, known.reported_at):
                return
        self._record_by_node[status.node_id] = NodeRecord(status, heard)

    def _record_upstreams(
        self, upstreams: Iterable[control_pb2.UpstreamStatus]
    ) -> None:
        for status in upstreams:
            known = self._upstream_by_id.get(status.upstream_id)
            if known is not None and _rank(status) < _rank(known):
                continue
            self._upstream_by_id[status.upstream_id] = status
        while len(self._upstream_by_id) > MAX_UPSTREAMS:
            self._upstream_by_id.pop(next(iter(self._upstream_by_id)))

    def _remove_stale(self, now: Millis) -> None:
        for node_id, heard in list(self._record_by_node.items()):
            if now - heard.reported_at > NODE_RETENTION:
                self._record_by_node.pop(node_id)


def _rank(status: control_pb2.UpstreamStatus) -> tuple[int, int]:
    state = status.state.lower()
    if state not in _STATES_BY_RANK:
        return (status.incarnation, 0)
    return (status.incarnation, _STATES_BY_RANK.index(state))
