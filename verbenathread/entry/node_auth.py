"""What nodes of one cluster show one another with each call."""

import hmac
from collections.abc import Mapping

import grpclib
from grpclib.events import RecvRequest, listen
from grpclib.server import Server

from verbenathread.schema import settings_pb2

_CLUSTER = 'verbenathread-cluster'
_NODE_KEY = 'verbenathread-node-key'


class NodeAuth:
    """The cluster and the key that its nodes share."""

    def __init__(self, node: settings_pb2.NodeSection) -> None:
        """Take both from the settings of this node."""
        self.metadata: Mapping[str, str] = {
            _CLUSTER: node.cluster,
            _NODE_KEY: node.node_key,
        }

    def guard(self, server: Server) -> None:
        """Refuse calls to ``server`` from nodes of another cluster."""
        listen(server, RecvRequest, self._check)

    async def _check(self, event: RecvRequest) -> None:
        for name, wanted in self.metadata.items():
            shown = str(event.metadata.get(name, ''))
            if not hmac.compare_digest(shown.encode(), wanted.encode()):
                raise grpclib.GRPCError(
                    grpclib.Status.UNAUTHENTICATED,
                    'This is a node of another cluster: give both nodes the '
                    + 'same cluster and node_key under [node]',
                )
