"""A TCP proxy on loopback that delays, holds, silences or resets."""

import asyncio
import enum

from tests.standins.platform_worker import reset
from verbenathread.clock import seconds
from verbenathread.types import Address, Millis

_CHUNK_BYTES = 0x10000


class Direction(enum.Enum):
    """Which way bytes go, as the client sees it."""

    SENT = 'sent'
    RECEIVED = 'received'


class _Connection:
    """One connection through the proxy."""

    def __init__(
        self, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, server)
        self.is_silent = False

    def reset(self) -> None:
        for writer in self.writers:
            if not writer.transport.is_closing():
                reset(writer)


class LoopbackProxy:
    """Passes connections on to ``target``, as well as it is told to."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Listen at ``listen`` once started."""
        self.listen = listen
        self.target = target
        # Added to each piece, on either way.
        self.delay: Millis = 0
        self._held: frozenset[Direction] = frozenset()
        self._passing = asyncio.Event()
        self._passing.set()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, *self.listen)

    async def stop(self) -> None:
        """Break every connection and listen no more."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold(self, *directions: Direction) -> None:
        """Let nothing through these ways; nothing gets lost."""
        self._held = frozenset(directions)
        self._passing.clear()

    def release(self) -> None:
        """Deliver what was held, and hold nothing more."""
        self._held = frozenset()
        self._passing.set()

    def silence(self) -> None:
        """Let the connections of now say nothing for good."""
        for link in self._connections:
            link.is_silent = True

    def reset(self) -> None:
        """Reset the connections of now."""
        for link in tuple(self._connections):
            link.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            there = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            reset(writer)
            return
        link = _Connection(writer, there[1])
        self._connections.add(link)
        try:
            await asyncio.gather(
                self._pump(link, Direction.SENT, reader, there[1]),
                self._pump(link, Direction.RECEIVED, there[0], writer),
            )
        except (OSError, asyncio.CancelledError):
            link.reset()
        finally:
            self._connections.discard(link)
            for one in link.writers:
                one.close()

    async def _pump(
        self,
        link: _Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            content = await reader.read(_CHUNK_BYTES)
            await self._apply_faults(link, direction)
            if not content:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(content)
            await writer.drain()

    async def _apply_faults(
        self, link: _Connection, direction: Direction
    ) -> None:
        if self.delay:
            await asyncio.sleep(seconds(self.delay))
        while direction in self._held:
            await self._passing.wait()
        if link.is_silent:
            await asyncio.Event().wait()
