"""Client of control for operators: finds the leader and retries safely."""

import asyncio
import contextlib
import uuid
from collections.abc import Sequence
from typing import Any, NoReturn, TypeVar

from grpclib.client import Channel

from verbenathread.clock import MS_PER_SECOND, seconds
from verbenathread.exceptions import (
    ConflictError,
    DeniedError,
    SettingsError,
    UnavailableError,
    UnknownOutcomeError,
    UsageError,
)
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel, call_within
from verbenathread.schema import control_pb2
from verbenathread.schema.control_grpc import ControlStub
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis

# How long a call looks for a leader.
DEFAULT_TIMEOUT: Millis = 15_000
# After this time without a reply, the call is sent to another process. The time
# doubles with each timeout.
_INITIAL_CALL_TIMEOUT: Millis = 1000
_MAX_CALL_TIMEOUT: Millis = 8000
_MEMBER_CALL_TIMEOUT: Millis = 35_000
_RETRY_DELAY: Millis = 200
_RETRYABLE_CODES = frozenset(
    (
        control_pb2.NOT_LEADER,
        control_pb2.NO_QUORUM,
        control_pb2.UNKNOWN_OUTCOME,
    )
)
_Reply = TypeVar('_Reply')


class BranchConflictError(ConflictError):
    """Another change came first; ``current`` is the branch as it is now."""

    def __init__(self, message: str, current: control_pb2.Branch) -> None:
        """Store the message and the current branch."""
        super().__init__(message)
        self.current = current


class ControlClient:
    """Sends calls to whichever control process leads.

    A call whose reply was lost is sent again with the same operation ID, so
    it takes effect only once and gets the original reply. A change of the
    control group's members is the exception: control handles a resent one as
    a new change.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        operator_name: str,
        operator_key: str,
        timeout: Millis = DEFAULT_TIMEOUT,
    ) -> None:
        """Create a client of the control processes at ``addresses``."""
        self._addresses = list(addresses)
        self._timeout = timeout
        self._channel_by_address: dict[Address, Channel] = {}
        self._credentials = {
            'operator_name': operator_name,
            'operator_key': operator_key,
        }

    async def change(
        self,
        path: str,
        text: str,
        expected_revision: int,
        *,
        remove: bool = False,
        comment: str = '',
        operation_id: str = '',
    ) -> int:
        """Change a branch and return its new revision.

        Raises :class:`BranchConflictError` if the branch is not at
        ``expected_revision``.
        """
        request = control_pb2.ChangeRequest(
            operation_id=operation_id or new_operation_id(),
            path=path,
            text=text,
            expected_revision=expected_revision,
            remove=remove,
            comment=comment,
            **self._credentials,
        )
        reply = await self._call('Change', request, control_pb2.ChangeReply)
        if reply.answer.code == control_pb2.CONFLICT:
            raise BranchConflictError(reply.answer.message, reply.current)
        return reply.revision

    async def read_tree(
        self, path: str = '/', *, may_be_stale: bool = False
    ) -> control_pb2.ReadTreeReply:
        """Return the branches at and below ``path``."""
        request = control_pb2.ReadTreeRequest(
            path=path, may_be_stale=may_be_stale, **self._credentials
        )
        return await self._call('ReadTree', request, control_pb2.ReadTreeReply)

    async def history(self, path: str, limit: int) -> control_pb2.HistoryReply:
        """Return the latest accepted changes of a branch, newest first."""
        request = control_pb2.HistoryRequest(
            path=path, limit=limit, **self._credentials
        )
        return await self._call('History', request, control_pb2.HistoryReply)

    async def audit(
        self, after_index: int, limit: int, path: str
    ) -> control_pb2.AuditReply:
        """Return records of the audit trail, oldest first."""
        request = control_pb2.AuditRequest(
            after_index=after_index,
            limit=limit,
            path=path,
            **self._credentials,
        )
        return await self._call('Audit', request, control_pb2.AuditReply)

    async def status(self) -> control_pb2.StatusReply:
        """Return the control group, nodes, upstreams and their orders."""
        request = control_pb2.StatusRequest(**self._credentials)
        return await self._call('Status', request, control_pb2.StatusReply)

    async def order(
        self,
        upstream_id: str,
        action: str,
        subject: str,
        *,
        address: str = '',
        service: str = '',
    ) -> control_pb2.OrderReply:
        """Set the desired state of an upstream."""
        request = control_pb2.OrderRequest(
            operation_id=new_operation_id(),
            upstream_id=upstream_id,
            action=action,
            subject=subject,
            address=address,
            service=service,
            **self._credentials,
        )
        return await self._call('PlaceOrder', request, control_pb2.OrderReply)

    async def change_member(
        self, action: str, node_id: str, address: str = ''
    ) -> None:
        """Add, promote or remove a member of the control group."""
        request = control_pb2.MemberRequest(
            operation_id=new_operation_id(),
            action=action,
            node_id=node_id,
            address=address,
            **self._credentials,
        )
        # Long timeout: a new member takes a while to catch up, and control
        # would handle a resent call as a second change.
        await self._call(
            'ChangeMember',
            request,
            control_pb2.MemberReply,
            _MEMBER_CALL_TIMEOUT,
        )

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channel_by_address.values():
            channel.close()
        self._channel_by_address.clear()

    async def _call(
        self,
        method: str,
        request: Any,
        reply_type: type[_Reply],
        initial_timeout: Millis = _INITIAL_CALL_TIMEOUT,
    ) -> _Reply:
        """Call processes until one gives a final reply or time runs out."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds(self._timeout)
        search = _LeaderSearch(self._addresses, initial_timeout)
        while loop.time() < deadline:
            remaining = int((deadline - loop.time()) * MS_PER_SECOND)
            reply = await self._call_next(search, method, request, remaining)
            if reply is not None:
                code = reply.answer.code
                if code not in _RETRYABLE_CODES:
                    _raise_refusal(reply.answer)
                    return reply  # type: ignore[no-any-return]
                search.record_answer(reply.answer)
            if search.has_tried_all():
                await asyncio.sleep(seconds(_RETRY_DELAY))
        search.raise_failure()

    async def _call_next(
        self,
        search: '_LeaderSearch',
        method: str,
        request: Any,
        remaining: Millis,
    ) -> Any:
        """Call the next process and return its reply, or None on failure."""
        address = search.next_address()
        timeout = max(1, min(remaining, search.call_timeout()))
        call = getattr(ControlStub(self._channel(address)), method)
        try:
            return await call_within(
                call(request, timeout=seconds(timeout)), timeout
            )
        except RPC_ERRORS as error:
            search.record_failure(address, error)
        return None

    def _channel(self, address: Address) -> Channel:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = PeerChannel(address.host, address.port)
            self._channel_by_address[address] = channel
        return channel


class _LeaderSearch:
    """Chooses the process to call next and records earlier failures."""

    def __init__(
        self, addresses: Sequence[Address], initial_timeout: Millis
    ) -> None:
        self._call_timeout = initial_timeout
        self._addresses = list(addresses)
        self._call_count = 0
        self._hint: Address | None = None
        self._last_message = 'no control process was called'
        self._outcome_unknown = False

    def next_address(self) -> Address:
        hint = self._hint
        if hint is not None:
            self._hint = None
            return hint
        address = self._addresses[self._call_count % len(self._addresses)]
        self._call_count += 1
        return address

    def has_tried_all(self) -> bool:
        """Return whether every process was called since the last pause."""
        if self._hint is not None:
            return False
        return self._call_count % len(self._addresses) == 0

    def record_answer(self, answer: control_pb2.Answer) -> None:
        self._last_message = answer.message
        if answer.code == control_pb2.UNKNOWN_OUTCOME:
            self._outcome_unknown = True
        if answer.leader:
            with contextlib.suppress(SettingsError):
                self._hint = parse_address(answer.leader)

    def call_timeout(self) -> Millis:
        return self._call_timeout

    def record_failure(self, address: Address, error: Exception) -> None:
        self._last_message = f'{address}: {error or type(error).__name__}'
        # Only a refused connection proves that the call was not received.
        if not isinstance(error, ConnectionRefusedError):
            self._outcome_unknown = True
        if isinstance(error, TimeoutError):
            self._call_timeout = max(
                self._call_timeout,
                min(2 * self._call_timeout, _MAX_CALL_TIMEOUT),
            )

    def raise_failure(self) -> NoReturn:
        if self._outcome_unknown:
            raise UnknownOutcomeError(
                f'no control process confirmed the call ({self._last_message}); '
                + 'check the audit trail before retrying'
            )
        raise UnavailableError(
            f'no control process leads now ({self._last_message}); make sure '
            + 'that a majority runs, then try again'
        )


def new_operation_id() -> str:
    """Return a new operation ID."""
    return uuid.uuid4().hex


def _raise_refusal(answer: control_pb2.Answer) -> None:
    if answer.code == control_pb2.DENIED:
        raise DeniedError(answer.message)
    if answer.code == control_pb2.INVALID:
        raise SettingsError(answer.message)
    if answer.code == control_pb2.NOT_FOUND:
        raise UsageError(answer.message)
