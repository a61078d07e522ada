"""The Control service over grpclib, with its calls for operators."""

from grpclib.server import Stream

from verbenathread.control.node_service import NodeService, answer_call
from verbenathread.control.nodes import NodeTable
from verbenathread.control.operator_calls import OperatorCalls
from verbenathread.control.proposals import Proposer
from verbenathread.control.sessions import Sessions
from verbenathread.schema import control_pb2 as messages
from verbenathread.schema.control_grpc import ControlBase


class ControlService(NodeService, ControlBase):
    """Answers operators and the nodes of this cluster."""

    def __init__(
        self,
        *,
        cluster: str,
        node_key: str,
        operators: OperatorCalls,
        proposer: Proposer,
        sessions: Sessions,
        nodes: NodeTable,
    ) -> None:
        """Delegate operator calls to ``operators``."""
        super().__init__(
            cluster=cluster,
            node_key=node_key,
            proposer=proposer,
            sessions=sessions,
            nodes=nodes,
        )
        self._operators = operators

    async def Change(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.ChangeRequest, messages.ChangeReply]
    ) -> None:
        """Change one branch."""
        await answer_call(stream, self._operators.change)

    async def ReadTree(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.ReadTreeRequest, messages.ReadTreeReply]
    ) -> None:
        """Read branches."""
        await answer_call(stream, self._operators.read_tree)

    async def History(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.HistoryRequest, messages.HistoryReply]
    ) -> None:
        """Read the changes of one branch."""
        await answer_call(stream, self._operators.history)

    async def Audit(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.AuditRequest, messages.AuditReply]
    ) -> None:
        """Read the audit trail."""
        await answer_call(stream, self._operators.audit)

    async def Status(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.StatusRequest, messages.StatusReply]
    ) -> None:
        """Read the state of the group and of the nodes."""
        await answer_call(stream, self._operators.status)

    async def PlaceOrder(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.OrderRequest, messages.OrderReply]
    ) -> None:
        """Place an order to an upstream."""
        await answer_call(stream, self._operators.place_order)

    async def ChangeMember(  # noqa: N802  the generated base sets the name
        self, stream: Stream[messages.MemberRequest, messages.MemberReply]
    ) -> None:
        """Change the members of the control group."""
        await answer_call(stream, self._operators.change_member)
