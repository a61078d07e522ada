"""One send of a request to one worker, and what came of it."""

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

_SUCCESS_FAMILY = 2
_FAMILY_SIZE = 100


class Verdict(enum.Enum):
    """How a send ended; all but the first two may have run."""

    COMPLETE = 'complete'
    # On the worker's word.
    NOT_RUN = 'not-run'
    # The connection broke, or what came was no answer to this request.
    BROKEN = 'broken'
    # Nothing came for longer than a sound worker ever pauses.
    STALLED = 'stalled'
    TIMED_OUT = 'timed-out'
    # The caller left.
    ABANDONED = 'abandoned'


class Result(NamedTuple):
    """What came of one send."""

    verdict: Verdict
    head: ResponseHead | None = None
    # Empty for a stream, whose events were relayed as they came.
    body: bytes = b''


class Relay:
    """The caller's answer to a stream, over all sends that feed it."""

    def __init__(
        self, reply: ResponseWriter, dialect: Dialect, last_event_id: int | None
    ) -> None:
        """Write to ``reply`` from the event after ``last_event_id`` on."""
        self._reply = reply
        self._dialect = dialect
        self.events = EventSplitter(last_event_id)
        self.started = False
        self.written_bytes = 0

    def write(self, head: ResponseHead, content: bytes) -> None:
        """Write events; the first ones bring the head of their worker."""
        if not content:
            return
        self._begin(head)
        self.written_bytes += len(content)
        self._reply.write(content)

    def finish(self, head: ResponseHead) -> None:
        """End the answer as complete."""
        self._begin(head)
        self._reply.finish()

    def _begin(self, head: ResponseHead) -> None:
        if not self.started:
            self.started = True
            self._reply.begin(head.status, self._dialect.caller_headers(head))


class StallTimeouts(NamedTuple):
    """Silence after which a worker is asked whether it lives."""

    first_event: Millis
    between_events: Millis


# A worker that answers but stays silent on our request for so many limits
# has lost it. Reading other prompts explains less: some 2 s at most.
_MOST_LIMITS = 3
Probe = Callable[[], Awaitable[bool]]


class Attempt:
    """Takes one worker's answer; relays it if it is a stream."""

    def __init__(
        self,
        connection: ClientConnection,
        dialect: Dialect,
        attempt_id: str,
        relay: Relay | None,
        clock: Clock,
    ) -> None:
        """Expect the answer to ``attempt_id`` on ``connection``."""
        self._connection = connection
        self._dialect = dialect
        self._attempt_id = attempt_id
        self._relay = relay
        self._clock = clock
        self._streams = False
        self._head: ResponseHead | None = None
        self._not_run = False
        self._body: list[bytes] = []
        self._result: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        if relay is not None:
            relay.events.discard_partial()
        self.last_received_at = clock.now()
        self._asked = self.last_received_at
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
        """Send ``request`` and return once the answer ended.

        ``probe`` tells whether a worker that is silent still lives.
        """
        self._connection.send_request(request, self)
        while not self._result.done():
            heard = self.first_event_at is not None
            limit = stall.between_events if heard else stall.first_event
            now = self._clock.now()
            asked = max(self.last_received_at, self._asked)
            if now >= deadline:
                self._stop(Verdict.TIMED_OUT)
            elif now >= self.last_received_at + limit * _MOST_LIMITS:
                self._stop(Verdict.STALLED)
            elif now >= asked + limit:
                await self._ask_whether_alive(probe)
            else:
                left = min(deadline, asked + limit) - now
                await asyncio.wait((self._result,), timeout=seconds(left))
        return self._result.result()

    def abandon(self) -> None:
        """End the worker's work: the caller left."""
        self._stop(Verdict.ABANDONED)

    def set_backpressure(self, held: bool) -> None:  # noqa: FBT001
        """Read no faster than the caller does."""
        self._connection.set_reading_paused(held)

    def accepts(self, head: ResponseHead) -> bool:
        """Tell whether this head answers our request."""
        answer = self._dialect.parse_response(head)
        if answer.attempt_id == self._attempt_id:
            return True
        if answer.attempt_id:
            # The late answer to another request.
            return False
        if answer.not_run:
            return True
        self._stop(Verdict.BROKEN)
        return False

    def on_head(self, head: ResponseHead) -> None:
        """Take the head."""
        self.last_received_at = self._clock.now()
        self._head = head
        answer = self._dialect.parse_response(head)
        self._not_run = answer.not_run
        succeeded = head.status // _FAMILY_SIZE == _SUCCESS_FAMILY
        if succeeded and not answer.signed:
            self._stop(Verdict.BROKEN)
        self._streams = self._relay is not None and succeeded

    def on_body(self, content: bytes) -> None:
        """Take a part of the body; relay whole events."""
        now = self._clock.now()
        if self._relay is None or not self._streams or self._head is None:
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
        """Settle the result."""
        if self._result.done():
            return
        if ending is Ending.BROKEN or self._head is None:
            self._result.set_result(Result(Verdict.BROKEN))
            return
        verdict = Verdict.NOT_RUN if self._not_run else Verdict.COMPLETE
        if self._streams and self._relay is not None:
            if self._relay.events.has_partial_event:
                verdict = Verdict.BROKEN
        body = b''.join(self._body)
        self._result.set_result(Result(verdict, self._head, body))

    async def _ask_whether_alive(self, probe: Probe) -> None:
        heard_before = self.last_received_at
        alive = await probe()
        self._asked = self._clock.now()
        if not alive and self.last_received_at == heard_before:
            self._stop(Verdict.STALLED)

    def _stop(self, verdict: Verdict) -> None:
        if not self._result.done():
            self._result.set_result(Result(verdict))
            self._connection.discard()
