"""Hands requests over to a gateway that reaches workers.

Designed for a cut between a few gateways, or all of a data centre, and all
workers, while callers and the other gateways still reach them. The request goes
over whole, one hop, and the other gateway decides everything: route, account,
placing, limits and retries.
"""

import asyncio
import contextlib
import enum
import functools
from collections.abc import Callable, Iterator, Mapping
from random import Random
from typing import Protocol

from grpclib import GRPCError, Status
from grpclib.client import Stream
from grpclib.config import Configuration

from verbenathread.clock import Clock
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.progress import Progress
from verbenathread.gateway.reachability import Reachability
from verbenathread.gateway.view import ClusterView
from verbenathread.http1.messages import Request
from verbenathread.observability.logs import get_logger
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel, call_within
from verbenathread.schema import gateway_pb2 as messages
from verbenathread.schema.gateway_grpc import GatewayStub
from verbenathread.types import Millis, NodeId, Peer

_log = get_logger('gateway')

# A connection opens, and a gateway accepts or refuses, within a few ms. One that
# took the request may be busy: a request that may run once can't be repeated.
_CONNECT_TIMEOUT: Millis = 300
_ACCEPT_TIMEOUT: Millis = 1000
# Gateways that do not answer in this time, or refuse, are asked again after it.
_UNAVAILABLE_TIME: Millis = 2000
# Gateways that are tried for one request, as many may be cut off as well, and
# those of them that did not answer.
_MAX_TRIES = 8
_MAX_SILENT = 3
# A gateway that answers no ping for this long has crashed or is cut off. A
# process may be suspended for a second or so without harm.
_PING_INTERVAL_S = 1.0
_PING_TIMEOUT_S = 1.5
# Bytes of one response that wait for a slow caller, in addition to the sockets'.
_WINDOW_BYTES = 0x40000
# How much later than the deadline the other gateway's final answer may arrive.
_DEADLINE_MARGIN: Millis = 150
_UNAVAILABLE = 503

_ServeStream = Stream[messages.ServeRequest, messages.ServePart]
_OpenServe = Callable[[], _ServeStream]


class Outcome(enum.Enum):
    """What became of a request that was handed over."""

    # The whole response was passed on.
    ANSWERED = 'answered'
    # No other gateway took it; it was sent to no worker by one.
    REFUSED = 'refused'
    # The other gateway gave up midway, or was lost: a worker may have run it.
    BROKEN = 'broken'
    TIMED_OUT = 'timed-out'
    # The caller disconnected.
    ABANDONED = 'abandoned'


class PartReceiver(Protocol):
    """Receives the response to a request that was handed over."""

    def on_answer(self, answer: messages.WholeAnswer) -> None:
        """Receive a whole response."""

    def on_head(self, head: messages.AnswerHead) -> None:
        """Receive the head of a response."""

    def on_content(self, content: bytes) -> None:
        """Receive a part of the body."""

    def on_finish(self) -> None:
        """Handle the end of a complete response."""

    async def wait_writable(self) -> None:
        """Wait until the caller takes more."""


class HandoverClient:
    """Hands requests over to other gateways."""

    def __init__(
        self,
        node_id: NodeId,
        view: ClusterView,
        pool: ConnectionPool,
        metadata: Mapping[str, str],
        clock: Clock,
        random: Random,
    ) -> None:
        """Choose among the gateways of ``view``, apart from ``node_id``.

        ``pool`` has the connections to the workers, and calls to other nodes
        carry ``metadata``.
        """
        # Tells whether requests are handed over.
        self.reachability = Reachability(view, pool, random)
        self._node_id = node_id
        self._view = view
        self._metadata = dict(metadata)
        self._clock = clock
        self._random = random
        self._channel_by_peer: dict[Peer, PeerChannel] = {}
        self._calls_by_peer: dict[Peer, int] = {}
        self._unavailable_until_by_peer: dict[Peer, Millis] = {}

    async def serve(
        self,
        request_id: str,
        request: Request,
        progress: Progress,
        deadline: Millis,
        receiver: PartReceiver,
    ) -> Outcome:
        """Hand a request over; pass the response on to ``receiver``."""
        tried: set[Peer] = set()
        silent = 0
        while len(tried) < _MAX_TRIES and silent < _MAX_SILENT:
            peer = self._choose(tried)
            if peer is None:
                break
            tried.add(peer)
            call = _Call(self._clock, deadline, receiver)
            message = self._encode(request, progress)
            with self._counted(peer):
                outcome = await call.run(self._opener(peer), message)
            result = call.reason or outcome.value
            self._log_call(request_id, progress, peer, result)
            if outcome is Outcome.REFUSED or call.is_silent:
                self._avoid(peer)
            if outcome is not Outcome.REFUSED:
                return outcome
            silent += call.is_silent
        return Outcome.REFUSED

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channel_by_peer.values():
            channel.close()
        self._channel_by_peer.clear()

    def drop_unlisted(self) -> None:
        """Close the channels to gateways that are no longer listed."""
        listed = frozenset(self._view.notice_targets)
        for peer in tuple(self._channel_by_peer):
            if peer not in listed and not self._calls_by_peer.get(peer):
                self._channel_by_peer.pop(peer).close()

    def _choose(self, tried: set[Peer]) -> Peer | None:
        """Return the gateway with the fewest calls of this one."""
        now = self._clock.now()
        available = []
        for peer in self._view.notice_targets:
            if peer.node_id == self._node_id or peer in tried:
                continue
            if self._unavailable_until_by_peer.get(peer, now) > now:
                continue
            available.append(peer)
        self._random.shuffle(available)
        return min(available, key=self._call_count, default=None)

    def _call_count(self, peer: Peer) -> int:
        return self._calls_by_peer.get(peer, 0)

    def _avoid(self, peer: Peer) -> None:
        until = self._clock.now() + _UNAVAILABLE_TIME
        self._unavailable_until_by_peer[peer] = until

    def _opener(self, peer: Peer) -> _OpenServe:
        """Return what opens a call to a gateway."""
        channel = self._channel_by_peer.get(peer)
        if channel is None:
            host, port = peer.address
            config = Configuration(
                _keepalive_time=_PING_INTERVAL_S,
                _keepalive_timeout=_PING_TIMEOUT_S,
                _keepalive_permit_without_calls=False,
                _http2_max_pings_without_data=0,
                http2_stream_window_size=_WINDOW_BYTES,
            )
            channel = PeerChannel(host, port, config=config)
            self._channel_by_peer[peer] = channel
        return functools.partial(
            GatewayStub(channel).Serve.open, metadata=self._metadata
        )

    def _encode(
        self, request: Request, progress: Progress
    ) -> messages.ServeRequest:
        message = messages.ServeRequest(
            method=request.method,
            target=request.target,
            headers=[
                messages.HttpHeader(name=name, text=text)
                for name, text in request.headers
            ],
            body=request.body,
            elapsed=self._clock.now() - request.received_at,
            config_version=self._view.config_version,
            sends=progress.sends,
            may_have_run=progress.may_have_run,
            has_head=progress.has_head,
        )
        if progress.last_event_id is not None:
            message.last_event_id = progress.last_event_id
        return message

    @contextlib.contextmanager
    def _counted(self, peer: Peer) -> Iterator[None]:
        self._calls_by_peer[peer] = self._call_count(peer) + 1
        try:
            yield
        finally:
            calls = self._calls_by_peer.pop(peer) - 1
            if calls:
                self._calls_by_peer[peer] = calls

    def _log_call(
        self, request_id: str, progress: Progress, peer: Peer, result: str
    ) -> None:
        _log.info(
            'A request was handed over.',
            request_id=request_id,
            gateway=peer.node_id,
            result=result,
            sends=progress.sends,
        )


class _Call:
    """One request at one gateway."""

    def __init__(
        self, clock: Clock, deadline: Millis, receiver: PartReceiver
    ) -> None:
        self._clock = clock
        self._deadline = deadline
        self._receiver = receiver
        self._is_accepted = False
        # Why the request was refused, and whether by no answer.
        self.reason = ''
        self.is_silent = False

    async def run(
        self, open_call: _OpenServe, message: messages.ServeRequest
    ) -> Outcome:
        """Return what became of the request."""
        outcome = Outcome.REFUSED
        try:
            async with open_call() as stream:
                await call_within(stream.send_request(), _CONNECT_TIMEOUT)
                outcome = Outcome.BROKEN
                await call_within(
                    stream.send_message(message, end=True), self._limit()
                )
                outcome = await self._receive(stream)
        except RPC_ERRORS as error:
            self.reason = repr(error)
            self.is_silent = True
            if _is_rejected(error):
                outcome = Outcome.REFUSED
        if outcome is Outcome.BROKEN and self._clock.now() >= self._deadline:
            return Outcome.TIMED_OUT
        return outcome

    async def _receive(self, stream: _ServeStream) -> Outcome:
        while True:
            await self._receiver.wait_writable()
            part = await call_within(stream.recv_message(), self._limit())
            if part is None:
                # The end of the call without the end of the response.
                return Outcome.BROKEN
            outcome = self._handle(part)
            if outcome is not None:
                return outcome
            # Parts that have arrived already are received without a wait.
            await asyncio.sleep(0)

    def _limit(self) -> Millis:
        if not self._is_accepted:
            return _ACCEPT_TIMEOUT
        left = self._deadline - self._clock.now()
        return max(1, left + _DEADLINE_MARGIN)

    def _handle(self, part: messages.ServePart) -> Outcome | None:
        kind = part.WhichOneof('part')
        if kind == 'refusal':
            self.reason = part.refusal.reason
            return Outcome.REFUSED
        if kind == 'acceptance':
            self._is_accepted = True
        elif kind == 'answer':
            return self._handle_answer(part.answer)
        elif kind == 'head':
            self._receiver.on_head(part.head)
        elif kind == 'content':
            self._receiver.on_content(part.content)
        else:
            self._receiver.on_finish()
            return Outcome.ANSWERED
        return None

    def _handle_answer(self, answer: messages.WholeAnswer) -> Outcome:
        if answer.is_cut_off and answer.head.status == _UNAVAILABLE:
            # It says that no worker has run the request.
            self.reason = 'cut off from all workers since'
            return Outcome.REFUSED
        self._receiver.on_answer(answer)
        return Outcome.ANSWERED


def _is_rejected(error: Exception) -> bool:
    """Return whether the other node rejected the call before it read it."""
    return (
        isinstance(error, GRPCError) and error.status is Status.UNAUTHENTICATED
    )
