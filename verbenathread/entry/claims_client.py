"""Claims on a quorum of control, found by asking for the leader."""

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

_Reply = TypeVar('_Reply', control_pb2.ClaimReply, control_pb2.SettleReply)
_Method = Callable[[control_grpc.ControlStub, float], Awaitable[_Reply]]

# One control process has this long to answer before the next is asked.
_CALL_MS = 1500
_BACKOFF_MS = 50


class ClaimsClient:
    """Records claims and outcomes with whoever leads.

    Both calls are idempotent by their attempt identifier, so a lost answer
    is asked for again until the limit.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        node: settings_pb2.NodeSection,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Take the control processes; one channel is kept for each."""
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

    async def _call(self, method: _Method[_Reply], limit: Millis) -> _Reply:
        """Ask until a leader answers.

        Raises :class:`UnavailableError` when nothing was recorded, and
        :class:`UnknownOutcomeError` when an answer was lost and no later one
        told what became of it.
        """
        end = self._clock.now() + limit
        lost: UnknownOutcomeError | None = None
        refused = _refused('no control process could be asked in time')
        while self._clock.now() < end:
            left = min(_CALL_MS, end - self._clock.now())
            try:
                return await self._ask_once(method, left)
            except UnknownOutcomeError as unknown:
                lost = unknown
            except UnavailableError as unavailable:
                refused = unavailable
            await asyncio.sleep(seconds(_BACKOFF_MS))
        raise lost or refused

    async def _ask_once(self, method: _Method[_Reply], limit: Millis) -> _Reply:
        address = self._leader or self._rng.choice(self._addresses)
        try:
            reply = await method(self._stub(address), seconds(limit))
        except ConnectionRefusedError:
            # Nothing was sent.
            self._leader = None
            raise _refused(f'{address} takes no connection') from None
        except RPC_ERRORS:
            self._drop(address)
            raise _lost() from None
        if reply.answer.code == control_pb2.NOT_LEADER:
            self._leader = self._address(reply.answer.leader)
            raise _refused(f'{address} does not lead')
        if reply.answer.code == control_pb2.NO_QUORUM:
            raise _refused('control has no quorum')
        if reply.answer.code == control_pb2.UNKNOWN_OUTCOME:
            raise _lost()
        self._leader = address
        return reply

    def _address(self, leader: str) -> Address | None:
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


def _refused(why: str) -> UnavailableError:
    return UnavailableError(
        f'Nothing was recorded, since {why}: see whether a majority of the '
        + 'control processes runs, then send the call again.'
    )


def _lost() -> UnknownOutcomeError:
    return UnknownOutcomeError(
        'Control did not answer in time: the record may stand; look it up '
        + 'with the same idempotency key.'
    )
