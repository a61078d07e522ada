"""Authenticates the calls between the nodes of one cluster."""

import hmac

import grpclib
from grpclib.events import RecvRequest, listen
from grpclib.server import Server

from verbenathread.schema import settings_pb2

_CLUSTER = 'verbenathread-cluster'
_NODE_KEY = 'verbenathread-node-key'


class NodeAuth:
    """The cluster name and node key that all nodes of a cluster share."""

    def __init__(self, node: settings_pb2.NodeSection) -> None:
        """Read both from the settings of this node."""
        self.metadata: dict[str, str] = {
            _CLUSTER: node.cluster,
            _NODE_KEY: node.node_key,
        }

    def guard(self, server: Server) -> None:
        """Reject calls to ``server`` from nodes of another cluster."""
        listen(server, RecvRequest, self._check)

    async def _check(self, event: RecvRequest) -> None:
        for name, expected in self.metadata.items():
            received = str(event.metadata.get(name, ''))
            if not hmac.compare_digest(received.encode(), expected.encode()):
                raise grpclib.GRPCError(
                    grpclib.Status.UNAUTHENTICATED,
                    'This is a node of another cluster: give both nodes the '
                    + 'same cluster and node_key under [node]',
                )
