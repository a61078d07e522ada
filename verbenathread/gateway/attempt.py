"""One attempt to serve a request with one worker, and its result."""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.events import EventSplitter
from verbenathread.http1.client import ClientConnection, Ending
from verbenathread.http1.messages import ResponseHead
from verbenathread.http1.response import ResponseWriter
from verbenathread.serving.dialect import Dialect
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


class Relay:
    """The event stream to the caller, across all sends that feed it."""

    def __init__(
        self, reply: ResponseWriter, dialect: Dialect, last_event_id: int | None
    ) -> None:
        """Write the events after ``last_event_id`` to ``reply``."""
        self._reply = reply
        self._dialect = dialect
        self.events = EventSplitter(last_event_id)
        self.started = False
        self.written_bytes = 0

    def write(self, head: ResponseHead, content: bytes) -> None:
        """Write events, preceded by the worker's head if they are the first."""
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


class StallTimeouts(NamedTuple):
    """Times without data after which a worker is probed."""

    first_event: Millis
    between_events: Millis


# A worker that answers probes but sends nothing for this many timeouts has
# lost the request. Prefills of other prompts take less, about 2 s at most.
_MAX_SILENT_TIMEOUTS = 3
Probe = Callable[[], Awaitable[bool]]


class Attempt:
    """Receives one worker's response and relays it if it is a stream."""

    def __init__(
        self,
        connection: ClientConnection,
        dialect: Dialect,
        attempt_id: str,
        relay: Relay | None,
        clock: Clock,
    ) -> None:
        """Expect the response to ``attempt_id`` on ``connection``."""
        self._connection = connection
        self._dialect = dialect
        self._attempt_id = attempt_id
        self._relay = relay
        self._clock = clock
        self._is_stream = False
        self._head: ResponseHead | None = None
        self._not_run = False
        self._body: list[bytes] = []
        self._result: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        if relay is not None:
            relay.events.discard_partial()
        self.last_received_at = clock.now()
        self._probed_at = self.last_received_at
        self.first_event_at: Millis | None = None
        self.on_first_event: Callable[[], None] | None = None
        self.longest_pause: Millis = 0

    async def run(
        self,
        request: bytes,
        deadline: Millis,
        stall: StallTimeouts,
        probe: Probe,
    ) -> Result:
        """Send ``request`` and return once the response has ended.

        ``probe`` returns whether a worker that sends nothing is alive.
        """
        self._connection.send_request(request, self)
        while not self._result.done():
            has_started = self.first_event_at is not None
            timeout = stall.between_events if has_started else stall.first_event
            now = self._clock.now()
            active_at = max(self.last_received_at, self._probed_at)
            if now >= deadline:
                self._stop(Verdict.TIMED_OUT)
            elif now >= self.last_received_at + timeout * _MAX_SILENT_TIMEOUTS:
                self._stop(Verdict.STALLED)
            elif now >= active_at + timeout:
                await self._probe(probe)
            else:
                wait = min(deadline, active_at + timeout) - now
                await asyncio.wait((self._result,), timeout=seconds(wait))
        return self._result.result()

    def abandon(self) -> None:
        """Cancel the send because the caller disconnected."""
        self._stop(Verdict.ABANDONED)

    def set_backpressure(self, paused: bool) -> None:  # noqa: FBT001
        """Pause or resume reading, as the caller's connection requires."""
        self._connection.set_reading_paused(paused)

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether this head belongs to the awaited response."""
        response = self._dialect.parse_response(head)
        if response.attempt_id == self._attempt_id:
            return True
        if response.attempt_id:
            # A late response to another request.
            return False
        if response.not_run:
            return True
        self._stop(Verdict.BROKEN)
        return False

    def on_head(self, head: ResponseHead) -> None:
        """Store the head of the response."""
        self.last_received_at = self._clock.now()
        self._head = head
        response = self._dialect.parse_response(head)
        self._not_run = response.not_run
        succeeded = head.status // _STATUS_CLASS_SIZE == _SUCCESS_CLASS
        if succeeded and not response.has_stamp:
            self._stop(Verdict.BROKEN)
        self._is_stream = self._relay is not None and succeeded

    def on_body(self, content: bytes) -> None:
        """Store a part of the body, or relay the events it completes."""
        now = self._clock.now()
        if self._relay is None or not self._is_stream or self._head is None:
            self.last_received_at = now
            self._body.append(content)
            return
        events = self._relay.events.feed(content)
        if not events:
            return
        if self.first_event_at is None:
            self.first_event_at = now
            if self.on_first_event is not None:
                self.on_first_event()
        else:
            pause = now - self.last_received_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_received_at = now
        if not self._result.done():
            self._relay.write(self._head, events)

    def on_end(self, ending: Ending) -> None:
        """Set the result."""
        if self._result.done():
            return
        if ending is Ending.BROKEN or self._head is None:
            self._result.set_result(Result(Verdict.BROKEN))
            return
        verdict = Verdict.NOT_RUN if self._not_run else Verdict.COMPLETE
        if self._is_stream and self._relay is not None:
            if self._relay.events.has_partial_event:
                verdict = Verdict.BROKEN
        body = b''.join(self._body)
        self._result.set_result(Result(verdict, self._head, body))

    async def _probe(self, probe: Probe) -> None:
        received_before = self.last_received_at
        is_alive = await probe()
        self._probed_at = self._clock.now()
        if not is_alive and self.last_received_at == received_before:
            self._stop(Verdict.STALLED)

    def _stop(self, verdict: Verdict) -> None:
        if not self._result.done():
            self._result.set_result(Result(verdict))
            self._connection.discard()
