"""A TCP proxy on loopback that injects network faults."""

import asyncio
import enum

from tests.standins.platform_worker import reset
from verbenathread.clock import seconds
from verbenathread.types import Address, Millis

_CHUNK_BYTES = 0x10000


class Direction(enum.Enum):
    """Direction of transfer, as the client sees it."""

    SENT = 'sent'
    RECEIVED = 'received'


class _Connection:
    """A proxied connection: the writers to its two ends."""

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
    """Forwards connections to ``target``, with faults on request."""

    def __init__(self, listen: Address, target: Address) -> None:
        """Prepare to listen at ``listen``; :meth:`start` binds it."""
        self.listen = listen
        self.target = target
        # Delay of each chunk, in either direction.
        self.delay: Millis = 0
        self._held: frozenset[Direction] = frozenset()
        self._passing = asyncio.Event()
        self._passing.set()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, *self.listen)

    def refuse(self) -> None:
        """Stop listening and reset every connection, until :meth:`start`."""
        self.stop_listening()
        self.reset()

    def stop_listening(self) -> None:
        """Refuse new connections, until :meth:`start`."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        self.refuse()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def hold(self, *directions: Direction) -> None:
        """Hold back all data in these directions, without loss."""
        self._held = frozenset(directions)
        self._passing.clear()

    def release(self) -> None:
        """Deliver the data held back and forward normally again."""
        self._held = frozenset()
        self._passing.set()

    def silence(self) -> None:
        """Stop forwarding on the open connections, for good."""
        for connection in self._connections:
            connection.is_silent = True

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in tuple(self._connections):
            connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            target = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            reset(writer)
            return
        connection = _Connection(writer, target[1])
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, Direction.SENT, reader, target[1]),
                self._pump(connection, Direction.RECEIVED, target[0], writer),
            )
        except (OSError, asyncio.CancelledError):
            connection.reset()
        finally:
            self._connections.discard(connection)
            for end in connection.writers:
                end.close()

    async def _pump(
        self,
        connection: _Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            content = await reader.read(_CHUNK_BYTES)
            await self._apply_faults(connection, direction)
            if not content:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(content)
            await writer.drain()

    async def _apply_faults(
        self, connection: _Connection, direction: Direction
    ) -> None:
        if self.delay:
            await asyncio.sleep(seconds(self.delay))
        while direction in self._held:
            await self._passing.wait()
        if connection.is_silent:
            await asyncio.Event().wait()
