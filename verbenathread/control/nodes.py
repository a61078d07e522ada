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
FORGET_AFTER = 600_000
MOST_UPSTREAMS = 16_384
_RANK_BY_STATE = ('', 'ready', 'leaving', 'gone')


class HeardNode(NamedTuple):
    """The last report of a node and the monotonic time it was heard."""

    status: control_pb2.NodeStatus
    heard: Millis


class NodeTable:
    """Nodes and upstreams by their identifiers."""

    def __init__(self, clock: Clock) -> None:
        """Start with nobody heard."""
        self._clock = clock
        self._heard_by_node: dict[str, HeardNode] = {}
        self._upstream_by_id: dict[str, control_pb2.UpstreamStatus] = {}

    def take_report(self, report: control_pb2.NodeReport) -> None:
        """Take what a node reported over its own session."""
        self._take(
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
        self._take_upstreams(report.upstreams)

    def take_nodes(self, report: control_pb2.NodesReport) -> None:
        """Take what another control process heard."""
        now = self._clock.now()
        for status in report.nodes:
            self._take(status, now - status.silent_ms)
        self._take_upstreams(report.upstreams)

    def get(self, node_id: str) -> HeardNode | None:
        """Return what was last heard of one node, or None."""
        return self._heard_by_node.get(node_id)

    def statuses(self) -> list[control_pb2.NodeStatus]:
        """Return every node heard lately, with how long it is silent."""
        now = self._clock.now()
        self._forget(now)
        statuses = []
        for _, heard in sorted(self._heard_by_node.items()):
            status = control_pb2.NodeStatus()
            status.CopyFrom(heard.status)
            status.silent_ms = max(0, now - heard.heard)
            statuses.append(status)
        return statuses

    def upstreams(self) -> list[control_pb2.UpstreamStatus]:
        """Return the upstreams that nodes told of, sorted."""
        return [status for _, status in sorted(self._upstream_by_id.items())]

    def upstream(self, upstream_id: str) -> control_pb2.UpstreamStatus | None:
        """Return one upstream, or None."""
        return self._upstream_by_id.get(upstream_id)

    def _take(self, status: control_pb2.NodeStatus, heard: Millis) -> None:
        known = self._heard_by_node.get(status.node_id)
        if known is not None:
            order = (status.incarnation, heard)
            if order < (known.status.incarnation, known.heard):
                return
        self._heard_by_node[status.node_id] = HeardNode(status, heard)

    def _take_upstreams(
        self, upstreams: Iterable[control_pb2.UpstreamStatus]
    ) -> None:
        for status in upstreams:
            known = self._upstream_by_id.get(status.upstream_id)
            if known is not None and _rank(status) < _rank(known):
                continue
            self._upstream_by_id[status.upstream_id] = status
        while len(self._upstream_by_id) > MOST_UPSTREAMS:
            self._upstream_by_id.pop(next(iter(self._upstream_by_id)))

    def _forget(self, now: Millis) -> None:
        for node_id, heard in list(self._heard_by_node.items()):
            if now - heard.heard > FORGET_AFTER:
                self._heard_by_node.pop(node_id)


def _rank(status: control_pb2.UpstreamStatus) -> tuple[int, int]:
    state = status.state.lower()
    if state not in _RANK_BY_STATE:
        return (status.incarnation, 0)
    return (status.incarnation, _RANK_BY_STATE.index(state))
