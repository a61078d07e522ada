"""The gRPC channel and time limits for calls between processes."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from verbenathread.clock import seconds
from verbenathread.types import Millis

_Result = TypeVar('_Result')

# The peer may still have executed a call that failed with one of these.
# OSError includes the TimeoutError of call_within.
RPC_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError)


async def call_within(call: Awaitable[_Result], limit: Millis) -> _Result:
    """Return the reply to ``call``; raises TimeoutError after ``limit`` ms.

    The call runs in a task of its own, and has ended when this function
    returns or raises. Unlike asyncio.wait_for of Python 3.11, a cancelled
    caller always gets CancelledError: wait_for returns normally if the call
    ends in the same step of the loop, and a caller that loops would run on.
    """
    task = asyncio.ensure_future(call)
    try:
        await asyncio.wait((task,), timeout=seconds(limit))
    except asyncio.CancelledError:
        await _cancel(task)
        raise
    if task.done():
        return task.result()
    await _cancel(task)
    if task.cancelled():
        raise TimeoutError
    return task.result()


async def _cancel(task: asyncio.Task[Any]) -> None:
    """Cancel ``task`` and wait until it has ended."""
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        # Marks an error as retrieved, so that the loop does not report it.
        task.exception()


class PeerChannel(Channel):
    """A grpclib channel that handles connections lost while opening.

    grpclib 0.4.9 returns such a connection and then fails with an
    AttributeError, which callers can't tell from a bug of their own. It also
    leaves a connection open that opens while the channel is being closed.
    This class raises a ConnectionError in both cases.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Accept the arguments of :class:`grpclib.client.Channel`."""
        super().__init__(*args, **options)
        self._is_closed = False

    async def __connect__(self) -> H2Protocol:  # noqa: PLW3201
        """Return an open connection, connecting if there is none."""
        protocol = await super().__connect__()
        if self._is_closed:
            self.close()
            raise ConnectionAbortedError(
                'the channel was closed while connecting'
            )
        if protocol.connection.is_closing():
            raise ConnectionResetError('the connection was lost while opening')
        return protocol

    def close(self) -> None:
        """Close permanently, including a connection that is being opened."""
        self._is_closed = True
        super().close()
