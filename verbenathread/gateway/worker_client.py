"""Short calls to workers by the gateway itself."""

import asyncio
import functools
from collections.abc import Callable
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.worker_signals import WorkerSignals
from verbenathread.http1.client import Ending
from verbenathread.http1.messages import ResponseHead, encode_request
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import Dialect, WorkerCall, WorkerResponse
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

_log = get_logger('gateway')


class CallResponse(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class WorkerClient(Protocol):
    """Calls workers."""

    async def call(
        self, worker: Worker, call: WorkerCall, limit: Millis
    ) -> CallResponse | None:
        """Return the response, or None if there is none in time."""


class PooledWorkerClient:
    """Calls workers over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        signals: WorkerSignals,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        """Take connections from ``pool``; pass all responses to ``signals``."""
        self._pool = pool
        self._dialect = dialect
        self._signals = signals
        self._clock = clock
        self._max_body_bytes = max_body_bytes

    async def call(
        self, worker: Worker, call: WorkerCall, limit: Millis
    ) -> CallResponse | None:
        """Return the response, or None if there is none in time."""
        try:
            connection = await self._pool.acquire(worker, limit)
        except (OSError, TimeoutError):
            return None
        sink = _ResponseSink(
            self._dialect,
            functools.partial(self._signals.observe, worker),
            self._max_body_bytes,
        )
        host = (b'Host', str(worker.address).encode())
        connection.send_request(
            encode_request(
                call.method, call.target, (host, *call.headers), call.body
            ),
            sink,
        )
        try:
            await asyncio.wait((sink.future,), timeout=seconds(limit))
        except asyncio.CancelledError:
            connection.discard()
            raise
        if sink.future.done():
            self._pool.release(worker, connection)
            return sink.future.result()
        connection.discard()
        return None


class _ResponseSink:
    """Collects the response to one call."""

    def __init__(
        self,
        dialect: Dialect,
        observe: Callable[[WorkerResponse], None],
        max_body_bytes: int,
    ) -> None:
        self.future: asyncio.Future[CallResponse | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._dialect = dialect
        self._observe = observe
        self._max_body_bytes = max_body_bytes
        self._status = 0
        self._body = bytearray()

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether the response is not one to a caller's request."""
        return not self._dialect.parse_response(head).attempt_id

    def on_head(self, head: ResponseHead) -> None:
        """Store the status."""
        self._status = head.status
        self._observe(self._dialect.parse_response(head))

    def on_body(self, content: bytes) -> None:
        """Store a part of the body."""
        if len(self._body) + len(content) <= self._max_body_bytes:
            self._body += content
        elif not self.future.done():
            _log.warning('The response to a call is too large.')
            self.future.set_result(None)

    def on_trailers(self, value_by_name: dict[bytes, bytes]) -> None:
        """Ignore the trailers."""

    def on_end(self, ending: Ending) -> None:
        """Set the result."""
        if self.future.done():
            return
        if ending is Ending.COMPLETE:
            body = bytes(self._body)
            self.future.set_result(CallResponse(self._status, body))
        else:
            self.future.set_result(None)
