"""Client of the claims table; calls the leader of the control processes."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from grpclib.client import Channel

from verbenathread.clock import Clock, seconds
from verbenathread.entry.control_session import RPC_ERRORS, control_channel
from verbenathread.exceptions import (
    SettingsError,
    UnavailableError,
    UnknownOutcomeError,
)
from verbenathread.schema import control_grpc, control_pb2, settings_pb2
from verbenathread.settings.node import parse_address
from verbenathread.types import Address, Millis

_ReplyT = TypeVar('_ReplyT', control_pb2.ClaimReply, control_pb2.SettleReply)
_Method = Callable[[control_grpc.ControlStub, float], Awaitable[_ReplyT]]

# Timeout of a call to one control process before the next is tried.
_CALL_TIMEOUT_MS = 1500
_BACKOFF_MS = 50


class ClaimsClient:
    """Records claims and outcomes with the leader of the control processes.

    Both calls are idempotent by their attempt identifier, so a call without
    a reply is retried until the time limit.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        node: settings_pb2.NodeSection,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Call the control processes at ``addresses``, one channel each."""
        self._addresses = tuple(addresses)
        self._node = node
        self._clock = clock
        self._rng = rng
        self._channel_by_address: dict[Address, Channel] = {}
        self._leader: Address | None = None

    async def claim(
        self, request: control_pb2.ClaimRequest, limit: Millis
    ) -> control_pb2.ClaimReply:
        """Record a claim; see :meth:`_call` for what is raised."""
        request.cluster = self._node.cluster
        request.node_key = self._node.node_key
        return await self._call(
            lambda stub, timeout: stub.Claim(request, timeout=timeout), limit
        )

    async def settle(
        self, request: control_pb2.SettleRequest, limit: Millis
    ) -> control_pb2.SettleReply:
        """Record an outcome; see :meth:`_call` for what is raised."""
        request.cluster = self._node.cluster
        request.node_key = self._node.node_key
        return await self._call(
            lambda stub, timeout: stub.Settle(request, timeout=timeout), limit
        )

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channel_by_address.values():
            channel.close()
        self._channel_by_address.clear()

    async def _call(self, method: _Method[_ReplyT], limit: Millis) -> _ReplyT:
        """Retry until a leader replies.

        Raises :class:`UnavailableError` if nothing was recorded, and
        :class:`UnknownOutcomeError` if a reply was lost and no later reply
        gave the outcome.
        """
        deadline = self._clock.now() + limit
        unknown_outcome: UnknownOutcomeError | None = None
        unavailable = _unavailable('no control process was called in time')
        while self._clock.now() < deadline:
            timeout = min(_CALL_TIMEOUT_MS, deadline - self._clock.now())
            try:
                return await self._call_once(method, timeout)
            except UnknownOutcomeError as exc:
                unknown_outcome = exc
            except UnavailableError as exc:
                unavailable = exc
            await asyncio.sleep(seconds(_BACKOFF_MS))
        raise unknown_outcome or unavailable

    async def _call_once(
        self, method: _Method[_ReplyT], limit: Millis
    ) -> _ReplyT:
        address = self._leader or self._rng.choice(self._addresses)
        try:
            reply = await method(self._stub(address), seconds(limit))
        except ConnectionRefusedError:
            # The request was not sent.
            self._leader = None
            raise _unavailable(f'{address} refuses connections') from None
        except RPC_ERRORS:
            self._drop(address)
            raise _unknown_outcome() from None
        if reply.answer.code == control_pb2.NOT_LEADER:
            self._leader = self._parse_leader(reply.answer.leader)
            raise _unavailable(f'{address} is not the leader')
        if reply.answer.code == control_pb2.NO_QUORUM:
            raise _unavailable('control has no quorum')
        if reply.answer.code == control_pb2.UNKNOWN_OUTCOME:
            raise _unknown_outcome()
        self._leader = address
        return reply

    def _parse_leader(self, leader: str) -> Address | None:
        try:
            return parse_address(leader)
        except SettingsError:
            return None

    def _stub(self, address: Address) -> control_grpc.ControlStub:
        if address not in self._channel_by_address:
            self._channel_by_address[address] = control_channel(address)
        return control_grpc.ControlStub(self._channel_by_address[address])

    def _drop(self, address: Address) -> None:
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()
        self._leader = None


def _unavailable(reason: str) -> UnavailableError:
    return UnavailableError(
        f'Nothing was recorded: {reason}. Check that a majority of the '
        + 'control processes is running, then send the call again.'
    )


def _unknown_outcome() -> UnknownOutcomeError:
    return UnknownOutcomeError(
        'Control did not reply in time: the record may exist; look it up '
        + 'with the same idempotency key.'
    )
