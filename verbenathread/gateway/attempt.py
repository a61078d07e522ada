"""One attempt to serve a request with one worker, and its result."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.events import EventSplitter
from verbenathread.gateway.reply import Reply
from verbenathread.gateway.stall_watch import (
    Liveness,
    StallTimeouts,
    StallWatch,
)
from verbenathread.http1.client import ClientConnection, Ending
from verbenathread.http1.limits import MemoryBudget
from verbenathread.http1.messages import ResponseHead
from verbenathread.serving.dialect import Dialect, WorkerResponse
from verbenathread.types import Millis

_SUCCESS_CLASS = 2
_STATUS_CLASS_SIZE = 100


class Verdict(enum.Enum):
    """How a send ended; only the first two tell whether the request ran."""

    COMPLETE = 'complete'
    # The worker states that it has not run the request.
    NOT_RUN = 'not-run'
    # The connection broke, or the response does not belong to this request.
    BROKEN = 'broken'
    # Nothing was received for longer than a healthy worker ever pauses.
    STALLED = 'stalled'
    TIMED_OUT = 'timed-out'
    # The caller disconnected.
    ABANDONED = 'abandoned'


class Result(NamedTuple):
    """The result of one send."""

    verdict: Verdict
    head: ResponseHead | None = None
    # Empty for a stream, whose events were relayed as they arrived.
    body: bytes = b''
    # The body ended with the connection, which a crash also ends.
    ended_by_close: bool = False


class Relay:
    """The response to the caller as it arrives, across all sends that feed it.

    Carries the events of a stream, or a plain body that is too large to hold.
    """

    def __init__(
        self,
        reply: Reply,
        dialect: Dialect,
        last_event_id: int | None,
        *,
        started: bool = False,
    ) -> None:
        """Write the events after ``last_event_id`` to ``reply``.

        ``started`` tells that the caller has the head.
        """
        self._reply = reply
        self._dialect = dialect
        self.events = EventSplitter(last_event_id)
        self.started = started
        self.written_bytes = 0

    def write(self, head: ResponseHead, content: bytes) -> None:
        """Write a part, preceded by the worker's head if it is the first."""
        if not content:
            return
        self._begin(head)
        self.written_bytes += len(content)
        self._reply.write(content)

    def finish(self, head: ResponseHead) -> None:
        """End the response as complete."""
        self._begin(head)
        self._reply.finish()

    def _begin(self, head: ResponseHead) -> None:
        if not self.started:
            self.started = True
            self._reply.begin(head.status, self._dialect.caller_headers(head))


Probe = Callable[[], Awaitable[Liveness]]


class Expectation(NamedTuple):
    """The response that an attempt expects."""

    attempt_id: str
    # The response is a stream of events if it succeeds.
    is_stream: bool
    # A plain body is held up to this size, so that the request can still be
    # retried; more is relayed as it arrives. No event may be larger.
    max_held_bytes: int
    # The request has the method HEAD.
    head_only: bool = False


class Attempt:
    """Receives one worker's response and relays it if it is a stream."""

    def __init__(
        self,
        connection: ClientConnection,
        dialect: Dialect,
        expected: Expectation,
        relay: Relay,
        timeouts: StallTimeouts,
        memory: MemoryBudget,
        clock: Clock,
    ) -> None:
        """Expect the response on ``connection``.

        What is held of it counts in ``memory``.
        """
        self._connection = connection
        self._dialect = dialect
        self._expected = expected
        self._relay = relay
        self._memory = memory
        self._clock = clock
        self._is_stream = False
        self._head: ResponseHead | None = None
        self._not_run = False
        self._body = bytearray()
        # The plain body was too large to hold; what follows is relayed at once.
        self._is_relayed = False
        self._result: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        relay.events.discard_partial()
        self._stall = StallWatch(clock, timeouts)
        # Completed to make the loop of :meth:`run` look again.
        self._wake: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.first_event_at: Millis | None = None
        self.on_first_event: Callable[[], None] | None = None
        # Called with the parsed head and again with parsed trailers.
        self.on_response: Callable[[WorkerResponse], None] | None = None
        self.longest_pause: Millis = 0

    @property
    def written_bytes(self) -> int:
        """Return the bytes that the caller has, from all attempts."""
        return self._relay.written_bytes

    async def run(
        self, request: bytes, deadline: Millis, probe: Probe
    ) -> Result:
        """Send ``request`` and return once the response has ended.

        ``probe`` returns whether a worker that sends nothing is alive.
        """
        self._connection.send_request(
            request,
            self,
            exchange_id=self._expected.attempt_id,
            head_only=self._expected.head_only,
        )
        while not self._result.done():
            now = self._clock.now()
            if now >= deadline:
                self._stop(Verdict.TIMED_OUT)
            elif self._stall.is_dead():
                self._stop(Verdict.STALLED)
            elif now >= self._stall.probe_time():
                liveness = await probe()
                self._stall.record_probe(liveness, now)
            else:
                await self._wait(min(deadline, self._stall.next_check()) - now)
        return self._result.result()

    def suspect(self) -> None:
        """Probe the worker now, since others find it silent."""
        self._stall.is_suspect = True
        self._look_again()

    def lose_worker(self) -> None:
        """Give up unless the worker still sends data."""
        self._stall.is_replaced = True
        self._look_again()

    def abandon(self) -> None:
        """Cancel the send because the caller disconnected."""
        self._stop(Verdict.ABANDONED)

    def give_way(self) -> None:
        """Hold nothing of the response any more, as others need the memory."""
        if self._head is None:
            return
        if self._is_stream:
            self._stop(Verdict.BROKEN)
        else:
            self._relay_held(self._head)

    def set_backpressure(self, paused: bool) -> None:  # noqa: FBT001
        """Pause or resume reading, as the caller's connection requires."""
        self._connection.set_reading_paused(paused)

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether this head belongs to the awaited response.

        The attempt's id does, as no earlier send of it used this connection.
        """
        response = self._dialect.parse_response(head)
        if response.attempt_id == self._expected.attempt_id:
            return True
        if response.attempt_id:
            # A late response to another request.
            return False
        if response.not_run and not self._connection.is_reused:
            # On a reused connection it may belong to an earlier request.
            return True
        self._stop(Verdict.BROKEN)
        return False

    def on_head(self, head: ResponseHead) -> None:
        """Store the head of the response."""
        self._stall.record_data(is_event=False)
        self._head = head
        response = self._dialect.parse_response(head)
        self._not_run = response.not_run
        if self.on_response is not None:
            self.on_response(response)
        succeeded = head.status // _STATUS_CLASS_SIZE == _SUCCESS_CLASS
        if succeeded and not response.has_stamp:
            self._stop(Verdict.BROKEN)
        self._is_stream = self._expected.is_stream and succeeded

    def on_body(self, content: bytes) -> None:
        """Store a part of the body, or relay what can be relayed."""
        if self._head is None or self._result.done():
            return
        if self._is_stream:
            self._relay_events(self._head, content)
        else:
            self._hold(self._head, content)

    def on_trailers(self, value_by_name: dict[bytes, bytes]) -> None:
        """Handle the headers after the body."""
        if self._head is None or self.on_response is None:
            return
        trailers = ResponseHead(self._head.status, (), value_by_name)
        self.on_response(self._dialect.parse_response(trailers))

    def on_end(self, ending: Ending) -> None:
        """Set the result."""
        if self._result.done():
            return
        if ending is Ending.BROKEN or self._head is None:
            self._result.set_result(Result(Verdict.BROKEN))
            return
        verdict = Verdict.NOT_RUN if self._not_run else Verdict.COMPLETE
        if self._is_stream and self._relay.events.has_partial_event:
            verdict = Verdict.BROKEN
        body = bytes(self._body)
        self._result.set_result(
            Result(verdict, self._head, body, self._connection.is_until_close)
        )

    def _relay_events(self, head: ResponseHead, content: bytes) -> None:
        now = self._clock.now()
        events = self._relay.events.feed(content)
        partial_bytes = self._relay.events.partial_bytes
        if partial_bytes > self._expected.max_held_bytes:
            self._stop(Verdict.BROKEN)
            return
        self._memory.hold(self, partial_bytes)
        if not events:
            return
        if self.first_event_at is None:
            self.first_event_at = now
            if self.on_first_event is not None:
                self.on_first_event()
        else:
            pause = now - self._stall.last_received_at
            self.longest_pause = max(self.longest_pause, pause)
        self._stall.record_data(is_event=True)
        self._relay.write(head, events)

    def _hold(self, head: ResponseHead, content: bytes) -> None:
        """Hold a part of a plain body, or relay it once there is too much."""
        self._stall.record_data(is_event=False)
        self._body += content
        size = len(self._body)
        if size > self._expected.max_held_bytes or self._is_relayed:
            self._relay_held(head)
        else:
            self._memory.hold(self, size)

    def _relay_held(self, head: ResponseHead) -> None:
        """Relay what is held of a plain body, and all that follows."""
        if head.status // _STATUS_CLASS_SIZE != _SUCCESS_CLASS:
            self._stop(Verdict.BROKEN)
            return
        self._is_relayed = True
        self._memory.release(self)
        self._relay.write(head, bytes(self._body))
        self._body.clear()

    async def _wait(self, limit: Millis) -> None:
        await asyncio.wait(
            (self._result, self._wake),
            timeout=seconds(limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self._wake.done():
            self._wake = asyncio.get_running_loop().create_future()

    def _look_again(self) -> None:
        if not self._wake.done():
            self._wake.set_result(None)

    def _stop(self, verdict: Verdict) -> None:
        if not self._result.done():
            self._result.set_result(Result(verdict))
            self._connection.discard()
