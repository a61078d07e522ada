"""Reports the nodes with a session at this process to the leader."""

from grpclib.client import Channel

from verbenathread.control.nodes import NodeTable
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel, call_within
from verbenathread.schema import control_pb2
from verbenathread.schema.control_grpc import ControlStub
from verbenathread.settings.node import parse_address
from verbenathread.types import Millis

# Interval between reports to the leader, in ms.
REPORT_INTERVAL: Millis = 1000
_REPORT_TIMEOUT: Millis = 2000


class NodeReporter:
    """Keeps one channel to the current leader."""

    def __init__(self, cluster: str, node_key: str, nodes: NodeTable) -> None:
        """Report the content of ``nodes``."""
        self._cluster = cluster
        self._node_key = node_key
        self._nodes = nodes
        self._leader = ''
        self._channel: Channel | None = None
        # The upstreams last reported to this leader; only changes are sent.
        self._reported_by_upstream: dict[str, control_pb2.UpstreamStatus] = {}

    async def report(self, leader: str) -> bool:
        """Send one report to the leader; return False if the call failed."""
        if leader != self._leader:
            self.close()
            self._leader = leader
        if self._channel is None:
            address = parse_address(leader)
            self._channel = PeerChannel(address.host, address.port)
        upstreams = self._changed_upstreams()
        request = control_pb2.NodesReport(
            cluster=self._cluster,
            node_key=self._node_key,
            nodes=self._nodes.statuses(),
            upstreams=upstreams,
        )
        try:
            await call_within(
                ControlStub(self._channel).ReportNodes(request),
                _REPORT_TIMEOUT,
            )
        except RPC_ERRORS:
            return False
        for status in upstreams:
            self._reported_by_upstream[status.upstream_id] = status
        return True

    def close(self) -> None:
        """Close the channel."""
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        self._reported_by_upstream.clear()

    def _changed_upstreams(self) -> list[control_pb2.UpstreamStatus]:
        return [
            status
            for status in self._nodes.upstreams()
            if self._reported_by_upstream.get(status.upstream_id) != status
        ]
