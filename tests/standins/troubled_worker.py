"""A fake platform worker that crashes under some requests or names a limit."""

import asyncio
import json
from typing import NamedTuple

from tests.standins.platform_worker import (
    LAST_CHUNK,
    PlatformWorker,
    ReceivedRequest,
    chunk,
    event,
    reset,
    signed_response,
    stream_head,
    unsigned_response,
)

EVENT_INTERVAL_S = 0.03
LAST_EVENT = 6
PLAIN_SERVICE = 'ledger'


class Behaviour(NamedTuple):
    """How the workers of one service answer."""

    # Each worker ends soon after it begins to write an answer on this part.
    crashing_part: str = ''
    # Each worker ends soon after it begins to run one of these requests, as
    # :func:`request_text` returns them.
    crashing_requests: tuple[str, ...] = ()
    # The answer has neither a length nor chunks and ends with its connection.
    until_close: bool = False
    # Each answer with a multiple of this number breaks in its third event,
    # and its worker goes on; 0 is none.
    broken_answer: int = 0
    # Time between two events of a stream.
    event_interval_s: float = EVENT_INTERVAL_S
    # Body of the answers to plain calls.
    plain_body: bytes = b'booked'


class TroubledWorker(PlatformWorker):
    """Streams events, or answers the calls of a plain service."""

    def __init__(
        self, worker_id: str, service: str, behaviour: Behaviour
    ) -> None:
        """Start with no recorded requests."""
        is_plain = service == PLAIN_SERVICE
        super().__init__(worker_id, self._respond if is_plain else self._stream)
        self.service = service
        self._behaviour = behaviour
        # Requests a second that it takes, as its answers say; None if they do
        # not say.
        self.limit: float | None = None
        # Orders of gateways, which are all done.
        self.orders: list[dict[str, object]] = []
        # Times at which requests arrived.
        self.arrivals: list[float] = []
        self._writers: set[asyncio.StreamWriter] = set()
        # Set once this worker has ended.
        self.crashed = asyncio.Event()
        # Requests that crash workers: time of arrival, and why they do.
        self.crashing_arrivals: list[tuple[float, str]] = []
        # Why this worker ended; empty if no request is the reason.
        self.crash_reason = ''

    def crash(self, reason: str = '') -> None:
        """Reset all connections and stop listening."""
        self.crash_reason = self.crash_reason or reason
        self.crashed.set()
        self._server.close()
        for writer in tuple(self._writers):
            if not writer.is_closing():
                reset(writer)
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_line.startswith('POST /order '):
            self.orders.append(json.loads(request.body))
            writer.write(unsigned_response(b'{"free":1}'))
            return
        await super()._answer(request, writer)

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        reason = self._record_arrival(request)
        await asyncio.sleep(EVENT_INTERVAL_S)
        answer = signed_response(
            request, self._behaviour.plain_body, extra=self._limit_header()
        )
        if reason and self._behaviour.until_close:
            writer.write(answer[:-1].replace(b'Content-Length', b'Length'))
            await writer.drain()
        if reason:
            self.crash(reason)
        elif self._breaks():
            reset(writer)
        else:
            writer.write(answer)

    async def _stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        reason = self._record_arrival(request)
        behaviour = self._behaviour
        breaks = self._breaks()
        head = stream_head(request).replace(
            b'Content-Type', self._limit_header().encode() + b'Content-Type'
        )
        if behaviour.until_close:
            head = head.replace(
                b'Transfer-Encoding: chunked', b'Connection: close'
            )
        writer.write(head)
        first = int(request.header_by_name.get('last-event-id', '0')) + 1
        for number in range(first, LAST_EVENT + 1):
            content = event(number)
            writer.write(content if behaviour.until_close else chunk(content))
            await writer.drain()
            await asyncio.sleep(behaviour.event_interval_s)
            if reason:
                self.crash(reason)
            elif breaks and number > first:
                reset(writer)
                return
        if behaviour.until_close:
            writer.close()
        else:
            writer.write(LAST_CHUNK)

    def _record_arrival(self, request: ReceivedRequest) -> str:
        """Record a request; return why it crashes workers, if it does."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        reason = ''
        if self._behaviour.crashing_part in shared_parts(request):
            reason = self._behaviour.crashing_part
        if request_text(request) in self._behaviour.crashing_requests:
            reason = request_text(request)
        if reason:
            self.crashing_arrivals.append((now, reason))
        return reason

    def _breaks(self) -> bool:
        """Return whether the answer to the newest request breaks."""
        every = self._behaviour.broken_answer
        return every > 0 and len(self.requests) % every == 0

    def _limit_header(self) -> str:
        return '' if self.limit is None else f'Server-Limit: {self.limit}\r\n'


def shared_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts that other prompts may share."""
    text = request.header_by_name.get('prompt-prefix', '')
    *shared, _ = text.split(',')
    return [part.partition(':')[0] for part in shared]


def request_text(request: ReceivedRequest) -> str:
    """Return the client account, method, path and body of a request."""
    method, path, _ = request.request_line.split()
    account = request.header_by_name.get('tenant', '')
    return f'{account} {method} {path} {request.body.decode()}'.strip()
