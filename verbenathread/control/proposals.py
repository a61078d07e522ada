"""Checks requests and proposes them to the log."""

from verbenathread.clock import Clock
from verbenathread.control.access import denied, may_change, may_read
from verbenathread.control.answers import answer_of, invalid
from verbenathread.control.changes import (
    RESULT_BY_CODE,
    decide_change,
    digest_of_change,
)
from verbenathread.control.interfaces import ControlLog
from verbenathread.control.machine import (
    ControlMachine,
    ReusedOperationError,
    redacted,
)
from verbenathread.exceptions import VerbenathreadError
from verbenathread.schema import commands_pb2, control_pb2
from verbenathread.types import Millis

CHANGE_TIMEOUT: Millis = 5000
CLAIM_TIMEOUT: Millis = 3000
_MAX_ID_CHARS = 128
_MAX_COMMENT_CHARS = 1000
_MAX_DENIALS = 20
_DENIAL_PERIOD_MS = 1000


class Proposer:
    """Checks the requests of callers and proposes them to the log."""

    def __init__(
        self, log: ControlLog, machine: ControlMachine, clock: Clock
    ) -> None:
        """Propose to ``log``, whose commands are applied by ``machine``."""
        self._log = log
        self._machine = machine
        self._clock = clock
        self._denials = _DenialRateLimit(clock)

    async def change(
        self, change: commands_pb2.ChangeCommand
    ) -> control_pb2.ChangeReply:
        """Accept or refuse a change; both are recorded in the audit trail."""
        problem = _length_problem(change.operation_id, change.comment)
        if problem:
            return control_pb2.ChangeReply(answer=invalid(problem))
        try:
            return await self._change(change)
        except VerbenathreadError as error:
            return control_pb2.ChangeReply(answer=answer_of(error))

    async def order(
        self, order: commands_pb2.OrderCommand
    ) -> control_pb2.OrderReply:
        """Place an order to an upstream; record refusals too."""
        problem = _length_problem(order.operation_id, order.subject)
        if problem:
            return control_pb2.OrderReply(answer=invalid(problem))
        try:
            return await self._order(order)
        except VerbenathreadError as error:
            return control_pb2.OrderReply(answer=answer_of(error))

    async def claim(
        self, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply:
        """Record a claim on a quorum, or return its state."""
        command = commands_pb2.Command(claim=request)
        command.claim.ClearField('node_key')
        try:
            reply = await self.propose(command, CLAIM_TIMEOUT)
        except VerbenathreadError as error:
            return control_pb2.ClaimReply(answer=answer_of(error))
        return control_pb2.ClaimReply.FromString(reply)

    async def settle(
        self, request: control_pb2.SettleRequest
    ) -> control_pb2.SettleReply:
        """Record the outcome of an attempt on a quorum."""
        command = commands_pb2.Command(settle=request)
        command.settle.ClearField('node_key')
        try:
            reply = await self.propose(command, CLAIM_TIMEOUT)
        except VerbenathreadError as error:
            return control_pb2.SettleReply(answer=answer_of(error))
        return control_pb2.SettleReply.FromString(reply)

    async def propose(
        self, command: commands_pb2.Command, limit: Millis
    ) -> bytes:
        """Stamp a command with the wall time and propose it to the log."""
        command.time_ms = self._clock.wall()
        applied = await self._log.propose(command.SerializeToString(), limit)
        return applied.result

    async def require_operator(
        self, credential: commands_pb2.Credential, *, root: bool = False
    ) -> None:
        """Wait until reads are not stale, then check the operator."""
        await self._log.barrier(CHANGE_TIMEOUT)
        self.check_operator(credential, root=root)

    def check_operator(
        self, credential: commands_pb2.Credential, *, root: bool = False
    ) -> None:
        """Raise OperatorDeniedError unless the operator may read.

        With ``root``, the operator must be allowed to change the root.
        """
        tree = self._machine.tree.effective()
        allowed = may_read(tree, credential)
        if root:
            allowed = may_change(tree, credential, '/')
        if not allowed:
            raise OperatorDeniedError(denied(credential.operator_name))

    async def _change(
        self, change: commands_pb2.ChangeCommand
    ) -> control_pb2.ChangeReply:
        await self._log.barrier(CHANGE_TIMEOUT)
        digest = digest_of_change(change)
        try:
            recorded = self._machine.recorded_reply(change.operation_id, digest)
        except ReusedOperationError as error:
            return error.change_reply()
        if recorded is not None:
            return control_pb2.ChangeReply.FromString(recorded)
        reply = decide_change(self._machine.tree, change)
        command = commands_pb2.Command(change=change)
        command.change.checked_revision = self._machine.tree.revision()
        if reply.answer.code != control_pb2.OK:
            denial = reply.answer.code == control_pb2.DENIED
            if denial and not self._denials.try_acquire():
                return reply
            command = self._refusal(change, digest, reply)
        return control_pb2.ChangeReply.FromString(
            await self.propose(command, CHANGE_TIMEOUT)
        )

    async def _order(
        self, order: commands_pb2.OrderCommand
    ) -> control_pb2.OrderReply:
        await self._log.barrier(CHANGE_TIMEOUT)
        answer = self._machine.decide_order(order)
        if (
            answer.code == control_pb2.DENIED
            and not self._denials.try_acquire()
        ):
            return control_pb2.OrderReply(answer=answer)
        reply = await self.propose(
            commands_pb2.Command(order=order), CHANGE_TIMEOUT
        )
        return control_pb2.OrderReply.FromString(reply)

    def _refusal(
        self,
        change: commands_pb2.ChangeCommand,
        digest: str,
        reply: control_pb2.ChangeReply,
    ) -> commands_pb2.Command:
        """Return the command that records a refusal, without the text."""
        code = reply.answer.code
        outcome = RESULT_BY_CODE[code]
        if code == control_pb2.INVALID:
            text = None if change.remove else change.text
            locations = self._machine.tree.problem_locations(change.path, text)
            outcome = f'{outcome}: {"; ".join(locations)}'[:_MAX_COMMENT_CHARS]
        denial = code == control_pb2.DENIED
        return commands_pb2.Command(
            refusal=commands_pb2.RefusalCommand(
                operation_id=change.operation_id,
                digest='' if denial else digest,
                operator_name=change.credential.operator_name[:_MAX_ID_CHARS],
                action='remove' if change.remove else 'change',
                subject=change.path[:_MAX_COMMENT_CHARS],
                expected_revision=change.expected_revision,
                comment=change.comment,
                result=outcome,
                text_sha256=redacted(change.text),
                reply=reply,
            )
        )


class OperatorDeniedError(Exception):
    """An operator is not authorized; holds the answer."""

    def __init__(self, answer: control_pb2.Answer) -> None:
        """Keep the answer."""
        super().__init__(answer.message)
        self.answer = answer


class _DenialRateLimit:
    """Limits how many denials per second are written to the log.

    Anyone who can reach the port can cause denials, so the rate is limited.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._available = _MAX_DENIALS
        self._period_start = 0

    def try_acquire(self) -> bool:
        now = self._clock.now()
        if now - self._period_start >= _DENIAL_PERIOD_MS:
            self._period_start = now
            self._available = _MAX_DENIALS
        self._available -= 1
        return self._available >= 0


def _length_problem(operation_id: str, text: str) -> str:
    if not operation_id or len(operation_id) > _MAX_ID_CHARS:
        return (
            f'give an operation identifier of 1 to {_MAX_ID_CHARS} characters'
        )
    if len(text) > _MAX_COMMENT_CHARS:
        return (
            f'the comment or subject is over {_MAX_COMMENT_CHARS} characters; '
            'shorten it'
        )
    return ''
