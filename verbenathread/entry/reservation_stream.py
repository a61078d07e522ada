"""Reservation requests and their replies, multiplexed on one gRPC stream.

A message on a stream costs a fraction of the processor time of a unary call,
most of which goes into headers.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

import grpclib
from grpclib.exceptions import ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from verbenathread.clock import seconds
from verbenathread.entry.ledger_host import LedgerHost
from verbenathread.schema import peer_pb2
from verbenathread.types import Millis

_STREAM_ERRORS = (
    grpclib.GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
)

_ClientStream = grpclib.client.Stream[
    peer_pb2.ReserveRequest, peer_pb2.ReserveReply
]
_ServerStream = Stream[peer_pb2.ReserveRequest, peer_pb2.ReserveReply]


class ReservationStream:
    """The client end; opens the stream with the first request."""

    def __init__(self, open_stream: Callable[[], _ClientStream]) -> None:
        """Prepare to open streams with ``open_stream``."""
        self._open_stream = open_stream
        self._stream: _ClientStream | None = None
        self._number = 0
        self._future_by_number: dict[
            int, asyncio.Future[peer_pb2.ReserveReply]
        ] = {}
        self._sending = asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def request(
        self, request: peer_pb2.ReserveRequest, limit: Millis
    ) -> peer_pb2.ReserveReply:
        """Return the reply; the wait at the peer ends with this call.

        Raises :class:`OSError` or :class:`TimeoutError`.
        """
        self._number += 1
        number = self._number
        request.number = number
        loop = asyncio.get_running_loop()
        future: asyncio.Future[peer_pb2.ReserveReply] = loop.create_future()
        self._future_by_number[number] = future
        try:
            async with asyncio.timeout(seconds(limit)):
                # Cancelling a send midway would corrupt the stream.
                await asyncio.shield(self._spawn(self._send(request)))
                return await future
        except (asyncio.CancelledError, TimeoutError):
            self._spawn(self._cancel(number))
            raise
        finally:
            self._future_by_number.pop(number, None)

    def close(self) -> None:
        """End the stream and all pending requests."""
        for task in self._tasks:
            task.cancel()

    async def _send(self, request: peer_pb2.ReserveRequest) -> None:
        async with self._sending:
            try:
                await self._send_on_stream(request)
            except _STREAM_ERRORS as error:
                raise ConnectionResetError(str(error)) from None

    async def _send_on_stream(self, request: peer_pb2.ReserveRequest) -> None:
        if self._stream is not None:
            await self._stream.send_message(request)
            return
        stack = contextlib.AsyncExitStack()
        stream = await stack.enter_async_context(self._open_stream())
        await stream.send_message(request)
        self._stream = stream
        self._spawn(self._read(stack, stream))

    async def _read(
        self, stack: contextlib.AsyncExitStack, stream: _ClientStream
    ) -> None:
        """Receive replies until the stream ends; fail the pending requests."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._fail_all, stream)
            with contextlib.suppress(*_STREAM_ERRORS):
                await self._dispatch_replies(stream)
        with contextlib.suppress(*_STREAM_ERRORS):
            await stream.cancel()
        with contextlib.suppress(*_STREAM_ERRORS):
            await stack.aclose()

    async def _dispatch_replies(self, stream: _ClientStream) -> None:
        while True:
            reply = await stream.recv_message()
            if reply is None:
                return
            future = self._future_by_number.get(reply.number)
            if future is not None and not future.done():
                future.set_result(reply)

    async def _cancel(self, number: int) -> None:
        if self._stream is None:
            # The peer cancels every wait of a stream that has ended.
            return
        cancel = peer_pb2.ReserveRequest(number=number, cancel=True)
        with contextlib.suppress(OSError):
            await self._send(cancel)

    def _fail_all(self, stream: _ClientStream) -> None:
        if self._stream is stream:
            self._stream = None
        for future in self._future_by_number.values():
            if not future.done():
                future.set_exception(ConnectionResetError('the stream ended'))

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Mark the exception as retrieved, or asyncio logs it. A caller
            # that still waits gets it from the task.
            task.exception()


class ReservationStreamServer:
    """The server end of one stream."""

    def __init__(self, host: LedgerHost, stream: _ServerStream) -> None:
        """Reply with what ``host`` grants from the engines owned here."""
        self._host = host
        self._stream = stream
        self._sending = asyncio.Lock()
        self._task_by_number: dict[int, asyncio.Task[None]] = {}

    async def serve(self) -> None:
        """Serve requests until the stream ends, which ends every wait."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._cancel_all)
            while True:
                request = await self._stream.recv_message()
                if request is None:
                    return
                if request.cancel:
                    self._cancel(request.number)
                elif request.may_queue:
                    self._start(request)
                else:
                    await self._answer(request)

    def _start(self, request: peer_pb2.ReserveRequest) -> None:
        self._task_by_number[request.number] = asyncio.create_task(
            self._answer(request)
        )

    async def _answer(self, request: peer_pb2.ReserveRequest) -> None:
        reply = await self._host.reserve(request)
        reply.number = request.number
        # A cancel is ignored from here on: it would corrupt the stream.
        self._task_by_number.pop(request.number, None)
        with contextlib.suppress(*_STREAM_ERRORS):
            async with self._sending:
                await self._stream.send_message(reply)

    def _cancel(self, number: int) -> None:
        task = self._task_by_number.pop(number, None)
        if task is not None:
            task.cancel()

    def _cancel_all(self) -> None:
        for task in self._task_by_number.values():
            task.cancel()
