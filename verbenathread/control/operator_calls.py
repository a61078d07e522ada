"""Handles the calls of operators; only the leader answers most of them."""

from collections.abc import Callable, Sequence

from verbenathread.control.access import credential_of
from verbenathread.control.answers import answer_of, invalid, ok
from verbenathread.control.interfaces import ControlLog
from verbenathread.control.machine import ControlMachine
from verbenathread.control.nodes import NodeTable
from verbenathread.control.operations import digest_of
from verbenathread.control.proposals import (
    CHANGE_TIMEOUT,
    OperatorDeniedError,
    Proposer,
)
from verbenathread.exceptions import (
    SettingsError,
    UsageError,
    VerbenathreadError,
)
from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.settings.node import parse_address
from verbenathread.types import Millis, Peer

_MAX_RECORDS = 1000
_DEFAULT_RECORDS = 50
_MEMBER_TIMEOUT: Millis = 30_000

OrderStates = Callable[[], Sequence[control_pb2.OrderStatus]]
_OperatorRequest = (
    control_pb2.ChangeRequest
    | control_pb2.ReadTreeRequest
    | control_pb2.HistoryRequest
    | control_pb2.AuditRequest
    | control_pb2.StatusRequest
    | control_pb2.OrderRequest
    | control_pb2.MemberRequest
)


class OperatorCalls:
    """Answers operators from the log and the replicated state."""

    def __init__(
        self,
        *,
        log: ControlLog,
        machine: ControlMachine,
        proposer: Proposer,
        nodes: NodeTable,
        orders: OrderStates,
        root_key_sha256: str,
    ) -> None:
        """Check keys against the tree and ``root_key_sha256``."""
        self._log = log
        self._machine = machine
        self._proposer = proposer
        self._nodes = nodes
        self._orders = orders
        self._root_key_sha256 = root_key_sha256

    async def change(
        self, request: control_pb2.ChangeRequest
    ) -> control_pb2.ChangeReply:
        """Change one branch."""
        return await self._proposer.change(
            commands_pb2.ChangeCommand(
                operation_id=request.operation_id,
                credential=self._credential(request),
                path=request.path,
                text=request.text,
                expected_revision=request.expected_revision,
                remove=request.remove,
                comment=request.comment,
            )
        )

    async def read_tree(
        self, request: control_pb2.ReadTreeRequest
    ) -> control_pb2.ReadTreeReply:
        """Return the branches at and below a path."""
        try:
            await self._allow_read(request)
        except (VerbenathreadError, OperatorDeniedError) as error:
            return control_pb2.ReadTreeReply(answer=_error_answer(error))
        return control_pb2.ReadTreeReply(
            answer=ok(),
            revision=self._machine.tree.revision(),
            branches=self._machine.tree.branches(request.path or '/'),
        )

    async def history(
        self, request: control_pb2.HistoryRequest
    ) -> control_pb2.HistoryReply:
        """Return the last accepted changes of one branch, newest first."""
        try:
            await self._proposer.require_operator(self._credential(request))
        except (VerbenathreadError, OperatorDeniedError) as error:
            return control_pb2.HistoryReply(answer=_error_answer(error))
        return control_pb2.HistoryReply(
            answer=ok(),
            records=self._machine.audit.history(
                request.path, _record_limit(request.limit)
            ),
        )

    async def audit(
        self, request: control_pb2.AuditRequest
    ) -> control_pb2.AuditReply:
        """Return records of the audit trail, oldest first."""
        try:
            await self._proposer.require_operator(self._credential(request))
        except (VerbenathreadError, OperatorDeniedError) as error:
            return control_pb2.AuditReply(answer=_error_answer(error))
        return control_pb2.AuditReply(
            answer=ok(),
            records=self._machine.audit.after(
                request.after_index, _record_limit(request.limit), request.path
            ),
        )

    async def status(
        self, request: control_pb2.StatusRequest
    ) -> control_pb2.StatusReply:
        """Return the group, the nodes and the upstreams.

        Without a leader, the answer is NO_QUORUM with the local state.
        """
        credential = self._credential(request)
        answer = ok()
        try:
            await self._log.barrier(CHANGE_TIMEOUT)
        except VerbenathreadError as error:
            answer = answer_of(error)
        if answer.code == control_pb2.NOT_LEADER:
            return control_pb2.StatusReply(answer=answer)
        try:
            self._proposer.check_operator(credential)
        except OperatorDeniedError as refused:
            return control_pb2.StatusReply(answer=refused.answer)
        return self._status_reply(answer)

    async def place_order(
        self, request: control_pb2.OrderRequest
    ) -> control_pb2.OrderReply:
        """Set the wanted state of an upstream.

        Its address and service may be omitted once they are known.
        """
        try:
            await self._log.barrier(CHANGE_TIMEOUT)
            order = self._order(request)
        except VerbenathreadError as error:
            return control_pb2.OrderReply(answer=_error_answer(error))
        return await self._proposer.order(order)

    async def change_member(
        self, request: control_pb2.MemberRequest
    ) -> control_pb2.MemberReply:
        """Add, promote or remove a member of the control group."""
        try:
            await self._change_member(request)
        except (VerbenathreadError, OperatorDeniedError) as error:
            return control_pb2.MemberReply(answer=_error_answer(error))
        return control_pb2.MemberReply(answer=ok())

    async def _change_member(self, request: control_pb2.MemberRequest) -> None:
        credential = self._credential(request)
        await self._proposer.require_operator(credential, root=True)
        record = commands_pb2.MemberCommand(
            operation_id=request.operation_id,
            operator_name=request.operator_name,
            action=request.action,
            node_id=request.node_id,
            address=request.address,
            result='asked',
        )
        peer = self._peer(request)
        await self._record_audit(record)
        try:
            await self._log.change_member(request.action, peer, _MEMBER_TIMEOUT)
        except VerbenathreadError as error:
            record.result = f'refused: {error}'
            await self._record_audit(record)
            raise
        record.result = 'accepted'
        await self._record_audit(record)

    def _order(
        self, request: control_pb2.OrderRequest
    ) -> commands_pb2.OrderCommand:
        if not request.upstream_id:
            raise UsageError('name the upstream')
        order = commands_pb2.OrderCommand(
            operation_id=request.operation_id,
            credential=self._credential(request),
            upstream_id=request.upstream_id,
            address=request.address,
            service=request.service,
            action=request.action,
            subject=request.subject,
        )
        order.digest = digest_of(order)
        for source in (
            self._nodes.upstream(request.upstream_id),
            self._machine.wanted.get(request.upstream_id),
        ):
            if source is not None:
                order.address = order.address or source.address
                order.service = order.service or source.service
        parse_address(order.address)
        return order

    async def _record_audit(self, record: commands_pb2.MemberCommand) -> None:
        await self._proposer.propose(
            commands_pb2.Command(member=record), CHANGE_TIMEOUT
        )

    def _peer(self, request: control_pb2.MemberRequest) -> Peer:
        if request.address:
            return Peer(request.node_id, parse_address(request.address))
        for member in self._log.status().members:
            if member.node_id == request.node_id:
                return Peer(member.node_id, member.address)
        raise UsageError(
            f'{request.node_id!r} is not a member; give its address'
        )

    async def _allow_read(self, request: control_pb2.ReadTreeRequest) -> None:
        credential = self._credential(request)
        if request.may_be_stale:
            self._proposer.check_operator(credential)
            return
        await self._proposer.require_operator(credential)

    def _credential(self, request: _OperatorRequest) -> commands_pb2.Credential:
        return credential_of(
            request.operator_name,
            request.operator_key,
            self._root_key_sha256,
        )

    def _status_reply(
        self, answer: control_pb2.Answer
    ) -> control_pb2.StatusReply:
        status = self._log.status()
        reply = control_pb2.StatusReply(
            answer=answer,
            leader=status.leader,
            term=status.term,
            commit_index=status.commit_index,
            revision=self._machine.tree.revision(),
            nodes=self._nodes.statuses(),
            upstreams=self._nodes.upstreams(),
            orders=self._orders(),
        )
        for member in status.members:
            reply.members.add(
                node_id=member.node_id,
                address=str(member.address),
                voter=member.voter,
                match_index=member.match_index,
            )
        return reply


def _error_answer(error: Exception) -> control_pb2.Answer:
    if isinstance(error, OperatorDeniedError):
        return error.answer
    if isinstance(error, (SettingsError, UsageError)):
        return invalid(str(error))
    if isinstance(error, VerbenathreadError):
        return answer_of(error)
    raise error


def _record_limit(limit: int) -> int:
    return min(limit or _DEFAULT_RECORDS, _MAX_RECORDS)
