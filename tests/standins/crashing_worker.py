"""A fake platform worker that ends as it answers certain prompts."""

import asyncio
from typing import NamedTuple

from tests.standins.platform_worker import (
    LAST_CHUNK,
    PlatformWorker,
    ReceivedRequest,
    chunk,
    event,
    reset,
    stream_head,
)

EVENT_INTERVAL_S = 0.03
LAST_EVENT = 6


class Behaviour(NamedTuple):
    """How the workers of one service answer."""

    # Each worker ends soon after it begins to write an answer on this part.
    crashing_part: str
    # The answer has neither a length nor chunks and ends with its connection.
    until_close: bool = False
    # Each answer with a multiple of this number breaks in its third event,
    # and its worker goes on; 0 is none.
    broken_answer: int = 0


class CrashingWorker(PlatformWorker):
    """Streams events until a prompt ends it."""

    def __init__(self, worker_id: str, behaviour: Behaviour) -> None:
        """Start with no recorded requests."""
        super().__init__(worker_id, self._stream)
        self._behaviour = behaviour
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

    async def _stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        behaviour = self._behaviour
        crashes = behaviour.crashing_part in shared_parts(request)
        if crashes:
            now = asyncio.get_running_loop().time()
            self.crashing_arrivals.append(now)
        breaks = (
            behaviour.broken_answer
            and len(self.requests) % behaviour.broken_answer == 0
        )
        head = stream_head(request)
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


def shared_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts that other prompts may share."""
    text = request.header_by_name.get('prompt-prefix', '')
    *shared, _ = text.split(',')
    return [part.partition(':')[0] for part in shared]
