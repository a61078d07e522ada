"""A fake platform worker that crashes under some prompts or names a limit."""

import asyncio
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
)

EVENT_INTERVAL_S = 0.03
LAST_EVENT = 6
PLAIN_SERVICE = 'ledger'


class Behaviour(NamedTuple):
    """How the workers of one service answer."""

    # Each worker ends soon after it begins to write an answer on this part.
    crashing_part: str = ''
    # The answer has neither a length nor chunks and ends with its connection.
    until_close: bool = False
    # Each answer with a multiple of this number breaks in its third event,
    # and its worker goes on; 0 is none.
    broken_answer: int = 0


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
        # Times at which requests arrived.
        self.arrivals: list[float] = []
        self._writers: set[asyncio.StreamWriter] = set()
        # Set once this worker has ended.
        self.crashed = asyncio.Event()
        # Requests with the crashing part, by time of arrival.
        self.crashing_arrivals: list[float] = []

    def crash(self) -> None:
        """Reset all connections and stop listening."""
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

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._record_arrival()
        await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(
            signed_response(request, b'booked', extra=self._limit_header())
        )

    async def _stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        arrived_at = self._record_arrival()
        behaviour = self._behaviour
        crashes = behaviour.crashing_part in shared_parts(request)
        if crashes:
            self.crashing_arrivals.append(arrived_at)
        breaks = (
            behaviour.broken_answer
            and len(self.requests) % behaviour.broken_answer == 0
        )
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
            await asyncio.sleep(EVENT_INTERVAL_S)
            if crashes:
                self.crash()
            elif breaks and number > first:
                reset(writer)
                return
        if behaviour.until_close:
            writer.close()
        else:
            writer.write(LAST_CHUNK)

    def _record_arrival(self) -> float:
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        return now

    def _limit_header(self) -> str:
        return '' if self.limit is None else f'Server-Limit: {self.limit}\r\n'


def shared_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts that other prompts may share."""
    text = request.header_by_name.get('prompt-prefix', '')
    *shared, _ = text.split(',')
    return [part.partition(':')[0] for part in shared]
