"""The deterministic state machine on the control log.

Every replica applies the same commands in the same order and so reaches the
same state. Nothing here reads a clock: the commands carry the time, and the
time of the machine never goes back.
"""

import hashlib
from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError, Message

from verbenathread.control.access import denied, may_change
from verbenathread.control.audit import AuditTrail
from verbenathread.control.changes import (
    RESULT_BY_CODE,
    apply_change,
    decide_change,
    digest_of_change,
)
from verbenathread.control.claims import ClaimTable
from verbenathread.control.operations import OperationTable, digest_of
from verbenathread.control.tree import BranchTree
from verbenathread.control.wanted import WantedOrders, order_problem
from verbenathread.exceptions import StorageError
from verbenathread.schema import commands_pb2, control_pb2

IMAGE_VERSION = 1


class ControlMachine:
    """The whole state of control; changed only by ``apply``."""

    def __init__(self) -> None:
        """Start empty, before index 1 of the log."""
        self.tree = BranchTree()
        self.operations = OperationTable()
        self.audit = AuditTrail()
        self.claims = ClaimTable()
        self.wanted = WantedOrders()
        self._applied = 0
        self._now = 0
        self._apply_by_kind: dict[str, Callable[[int, Any], bytes]] = {
            'change': self._apply_change,
            'refusal': self._apply_refusal,
            'claim': self._apply_claim,
            'settle': self._apply_settle,
            'order': self._apply_order,
            'owner_gone': self._apply_owner_gone,
            'member': self._apply_member,
        }

    def applied(self) -> int:
        """Return the index of the last command applied."""
        return self._applied

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its reply, serialised."""
        parsed = _parse(command, index)
        self._applied = index
        self._now = max(self._now, parsed.time_ms)
        self.claims.remove_expired(self._now)
        kind = parsed.WhichOneof('kind')
        if kind is None:
            return b''
        return self._apply_by_kind[kind](index, getattr(parsed, kind))

    def recorded_reply(self, operation_id: str, digest: str) -> bytes | None:
        """Return the first reply to an operation, or None if unknown.

        Raises :class:`ReusedOperationError` when the operation id was used
        for a request with different content.
        """
        image = self.operations.get(operation_id)
        if image is None:
            return None
        if image.digest != digest:
            raise ReusedOperationError(operation_id)
        return image.reply

    def decide_order(
        self, order: commands_pb2.OrderCommand
    ) -> control_pb2.Answer:
        """Return the answer to an order, without placing it."""
        tree = self.tree.effective()
        path = tree.service_path(order.service)
        if path is None:
            return control_pb2.Answer(
                code=control_pb2.NOT_FOUND,
                message=f'no service {order.service!r}; see service list',
            )
        if not may_change(tree, order.credential, path):
            return denied(order.credential.operator_name, path)
        problem = order_problem(order.action, order.subject)
        if not problem and self.wanted.is_full(order.upstream_id):
            problem = 'too many orders are kept; forget an upstream first'
        if problem:
            return control_pb2.Answer(code=control_pb2.INVALID, message=problem)
        return control_pb2.Answer(code=control_pb2.OK)

    def snapshot(self) -> bytes:
        """Return the whole state, serialised."""
        image = commands_pb2.Image(
            version=IMAGE_VERSION,
            applied_index=self._applied,
            time_ms=self._now,
            branches=self.tree.images(),
            operations=self.operations.images(),
            audit=self.audit.images(),
            claims=self.claims.images(),
            owners=self.claims.owner_images(),
            wanted=self.wanted.images(),
        )
        return image.SerializeToString(deterministic=True)

    def restore(self, image: bytes) -> None:
        """Replace the whole state by a snapshot.

        Raises :class:`StorageError` if this version can't read the snapshot.
        """
        parsed = commands_pb2.Image()
        try:
            parsed.ParseFromString(image)
        except DecodeError as error:
            raise StorageError(
                f'the snapshot is damaged ({error}); add this member again'
            )
        if parsed.version != IMAGE_VERSION:
            raise StorageError(
                f'the snapshot has version {parsed.version} and this program '
                + f'reads {IMAGE_VERSION}; run the program that wrote it'
            )
        self._applied = parsed.applied_index
        self._now = parsed.time_ms
        self.tree.load(parsed.branches)
        self.operations.load(parsed.operations)
        self.audit.load(parsed.audit)
        self.claims.load(parsed.claims, parsed.owners)
        self.wanted.load(parsed.wanted)

    def _apply_change(
        self, index: int, change: commands_pb2.ChangeCommand
    ) -> bytes:
        digest = digest_of_change(change)
        try:
            recorded = self.recorded_reply(change.operation_id, digest)
        except ReusedOperationError as error:
            return self._refuse_reused(index, change, error)
        if recorded is not None:
            return recorded
        before = self.tree.get(change.path).text
        reply = decide_change(self.tree, change)
        code = reply.answer.code
        if code == control_pb2.OK:
            apply_change(self.tree, change, index)
            reply.revision = index
        self._audit(
            index,
            operator_name=change.credential.operator_name,
            action='remove' if change.remove else 'change',
            subject=change.path,
            expected_revision=change.expected_revision,
            revision=reply.revision,
            result=RESULT_BY_CODE[code],
            before=before,
            after=_audited_text(change, code),
            operation_id=change.operation_id,
            comment=change.comment,
        )
        return self._record_reply(change.operation_id, digest, reply)

    def _refuse_reused(
        self,
        index: int,
        change: commands_pb2.ChangeCommand,
        error: 'ReusedOperationError',
    ) -> bytes:
        self._audit(
            index,
            operator_name=change.credential.operator_name,
            action='change',
            subject=change.path,
            expected_revision=change.expected_revision,
            result='operation identifier used again',
            after=redacted(change.text),
            operation_id=change.operation_id,
        )
        return error.change_reply().SerializeToString()

    def _apply_refusal(
        self, index: int, refusal: commands_pb2.RefusalCommand
    ) -> bytes:
        records_reply = bool(refusal.digest)
        if records_reply:
            try:
                recorded = self.recorded_reply(
                    refusal.operation_id, refusal.digest
                )
            except ReusedOperationError as error:
                return error.change_reply().SerializeToString()
            if recorded is not None:
                return recorded
        self._audit(
            index,
            operator_name=refusal.operator_name,
            action=refusal.action,
            subject=refusal.subject,
            expected_revision=refusal.expected_revision,
            revision=refusal.reply.revision,
            result=refusal.result,
            after=refusal.text_sha256,
            operation_id=refusal.operation_id,
            comment=refusal.comment,
        )
        if not records_reply:
            return refusal.reply.SerializeToString()
        return self._record_reply(
            refusal.operation_id, refusal.digest, refusal.reply
        )

    def _apply_claim(
        self, _index: int, request: control_pb2.ClaimRequest
    ) -> bytes:
        return self.claims.claim(request, self._now).SerializeToString()

    def _apply_settle(
        self, _index: int, request: control_pb2.SettleRequest
    ) -> bytes:
        return self.claims.settle(request, self._now).SerializeToString()

    def _apply_order(
        self, index: int, order: commands_pb2.OrderCommand
    ) -> bytes:
        digest = order.digest or digest_of(order)
        try:
            recorded = self.recorded_reply(order.operation_id, digest)
        except ReusedOperationError as error:
            return error.order_reply().SerializeToString()
        if recorded is not None:
            return recorded
        answer = self.decide_order(order)
        reply = control_pb2.OrderReply(answer=answer)
        if answer.code == control_pb2.OK:
            # The log index only grows, also across leaders, so it serves as
            # the fencing number.
            reply.fencing = index
            reply.state = 'wanted'
            self.wanted.put(order, index)
        self._audit(
            index,
            operator_name=order.credential.operator_name,
            action=f'order {order.action}',
            subject=order.upstream_id,
            revision=reply.fencing,
            result=RESULT_BY_CODE[answer.code],
            after=order.subject,
            operation_id=order.operation_id,
        )
        return self._record_reply(order.operation_id, digest, reply)

    def _apply_owner_gone(
        self, _index: int, gone: commands_pb2.OwnerGone
    ) -> bytes:
        self.claims.mark_owner_gone(gone)
        return b''

    def _apply_member(
        self, index: int, member: commands_pb2.MemberCommand
    ) -> bytes:
        self._audit(
            index,
            operator_name=member.operator_name,
            action=f'member {member.action}',
            subject=member.node_id,
            after=member.address,
            result=member.result,
            operation_id=member.operation_id,
        )
        return b''

    def _audit(self, index: int, **fields: Any) -> None:
        self.audit.add(
            control_pb2.AuditRecord(index=index, time_ms=self._now, **fields)
        )

    def _record_reply(
        self, operation_id: str, digest: str, reply: Message
    ) -> bytes:
        serialised = reply.SerializeToString()
        code: int = reply.answer.code  # type: ignore[attr-defined]
        if operation_id and code != control_pb2.DENIED:
            # A denied request must not use up an operator's operation id.
            self.operations.record(operation_id, digest, serialised, self._now)
        return serialised


class ReusedOperationError(ValueError):
    """An operation id was used again with different content."""

    def __init__(self, operation_id: str) -> None:
        """Name the operation."""
        super().__init__(
            f'operation {operation_id!r} was used for another request; '
            + 'give each request an identifier of its own'
        )

    def change_reply(self) -> control_pb2.ChangeReply:
        """Return the reply to a change."""
        return control_pb2.ChangeReply(answer=self._answer())

    def order_reply(self) -> control_pb2.OrderReply:
        """Return the reply to an order."""
        return control_pb2.OrderReply(answer=self._answer())

    def _answer(self) -> control_pb2.Answer:
        return control_pb2.Answer(code=control_pb2.INVALID, message=str(self))


def redacted(text: str) -> str:
    """Return the hash of a text that may hold a secret."""
    hashed = hashlib.sha256(text.encode()).hexdigest()
    return f'sha256:{hashed}'


def _parse(command: bytes, index: int) -> commands_pb2.Command:
    parsed = commands_pb2.Command()
    try:
        parsed.ParseFromString(command)
    except DecodeError as error:
        raise StorageError(
            f'record {index} of the log is not a command ({error}); '
            + 'run the program that wrote it'
        )
    return parsed


def _audited_text(
    change: commands_pb2.ChangeCommand, code: control_pb2.Code
) -> str:
    if change.remove:
        return ''
    return change.text if code == control_pb2.OK else redacted(change.text)
