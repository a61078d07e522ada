"""Short calls to workers by the gateway itself."""

import asyncio
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.http1.client import Ending
from verbenathread.http1.messages import ResponseHead, encode_request
from verbenathread.serving.dialect import WorkerCall
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

_MIN_FINAL_STATUS = 200


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

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        """Take connections from ``pool``."""
        self._pool = pool
        self._clock = clock

    async def call(
        self, worker: Worker, call: WorkerCall, limit: Millis
    ) -> CallResponse | None:
        """Return the response, or None if there is none in time."""
        try:
            connection = await self._pool.acquire(worker, limit)
        except (OSError, TimeoutError):
            return None
        sink = _ResponseSink()
        host = (b'Host', str(worker.address).encode())
        connection.send_request(
            encode_request(
                call.method, call.target, (host, *call.headers), call.body
            ),
            sink,
        )
        await asyncio.wait((sink.future,), timeout=seconds(limit))
        if sink.future.done():
            self._pool.release(worker, connection)
            return sink.future.result()
        connection.discard()
        return None


class _ResponseSink:
    """Collects the response to one call."""

    def __init__(self) -> None:
        self.future: asyncio.Future[CallResponse | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._status = 0
        self._body: list[bytes] = []

    def accepts(self, head: ResponseHead) -> bool:
        """Accept any final response."""
        return head.status >= _MIN_FINAL_STATUS

    def on_head(self, head: ResponseHead) -> None:
        """Store the status."""
        self._status = head.status

    def on_body(self, content: bytes) -> None:
        """Store a part of the body."""
        self._body.append(content)

    def on_end(self, ending: Ending) -> None:
        """Set the result."""
        if self.future.done():
            return
        if ending is Ending.COMPLETE:
            body = b''.join(self._body)
            self.future.set_result(CallResponse(self._status, body))
        else:
            self.future.set_result(None)
