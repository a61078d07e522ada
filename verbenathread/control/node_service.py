"""The calls of the Control service for nodes, over grpclib."""

import hmac
from collections.abc import Awaitable, Callable
from typing import TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from verbenathread.control.answers import ok
from verbenathread.control.nodes import NodeTable
from verbenathread.control.proposals import Proposer
from verbenathread.control.sessions import Sessions
from verbenathread.schema import control_pb2 as messages

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')
_NodeCall = (
    messages.NodeReport
    | messages.ClaimRequest
    | messages.SettleRequest
    | messages.NodesReport
)


class NodeService:
    """Answers nodes of this cluster that present its key."""

    def __init__(
        self,
        *,
        cluster: str,
        node_key: str,
        proposer: Proposer,
        sessions: Sessions,
        nodes: NodeTable,
    ) -> None:
        """Refuse nodes without the ``node_key`` of ``cluster``."""
        self._cluster = cluster
        self._node_key = node_key
        self._proposer = proposer
        self._sessions = sessions
        self._nodes = nodes

    async def Session(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.NodeReport, messages.TreeUpdate]
    ) -> None:
        """Serve the session of one node."""
        first = await stream.recv_message()
        if first is None:
            return
        self._check_node(first)
        await self._sessions.serve(first, stream)

    async def Claim(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.ClaimRequest, messages.ClaimReply]
    ) -> None:
        """Record a claim."""
        await answer_call(stream, self._claim)

    async def Settle(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.SettleRequest, messages.SettleReply]
    ) -> None:
        """Record the outcome of a claim."""
        await answer_call(stream, self._settle)

    async def ReportNodes(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.NodesReport, messages.NodesReply]
    ) -> None:
        """Record the nodes that a follower reports."""
        await answer_call(stream, self._report_nodes)

    async def _claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        self._check_node(request)
        return await self._proposer.claim(request)

    async def _settle(
        self, request: messages.SettleRequest
    ) -> messages.SettleReply:
        self._check_node(request)
        return await self._proposer.settle(request)

    async def _report_nodes(
        self, request: messages.NodesReport
    ) -> messages.NodesReply:
        self._check_node(request)
        self._nodes.record_peer_report(request)
        return messages.NodesReply(answer=ok())

    def _check_node(self, call: _NodeCall) -> None:
        if call.cluster != self._cluster:
            raise GRPCError(
                Status.PERMISSION_DENIED,
                f'this is cluster {self._cluster!r}; set [node] cluster',
            )
        if not hmac.compare_digest(
            call.node_key.encode(), self._node_key.encode()
        ):
            raise GRPCError(
                Status.UNAUTHENTICATED,
                'the node key is wrong; set [node] node_key',
            )


async def answer_call(
    stream: Stream[_Request, _Reply],
    handle: Callable[[_Request], Awaitable[_Reply]],
) -> None:
    """Answer the one request of a call."""
    request = await stream.recv_message()
    if request is None:
        return
    await stream.send_message(await handle(request))
