"""Pool of idle connections to workers."""

from verbenathread.clock import Clock
from verbenathread.http1.client import ClientConnection, connect
from verbenathread.http1.limits import DEFAULT_LIMITS, ResponseLimits
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# A worker accepts a connection within a few ms; an unreachable one never does.
_CONNECT_TIMEOUT: Millis = 300
# Maximum number of idle connections per worker; a burst opens new ones.
_MAX_IDLE = 8


class ConnectionPool:
    """Idle connections by worker."""

    def __init__(
        self, clock: Clock, limits: ResponseLimits = DEFAULT_LIMITS
    ) -> None:
        """Start without connections."""
        self._clock = clock
        self._limits = limits
        self._idle_by_id: dict[str, list[ClientConnection]] = {}

    async def acquire(
        self, worker: Worker, time_left: Millis, exchange_id: str = ''
    ) -> ClientConnection:
        """Return an open connection that never carried ``exchange_id``.

        Raises OSError or TimeoutError if a new one can't be opened.
        """
        idle = self._idle_by_id.get(worker.worker_id, [])
        now = self._clock.now()
        for connection in reversed(tuple(idle)):
            if not connection.is_reusable(now):
                idle.remove(connection)
                connection.close()
            elif not connection.has_carried(exchange_id):
                idle.remove(connection)
                return connection
        return await self._open(worker, time_left)

    async def open_idle(self, worker: Worker) -> None:
        """Open a connection and keep it; raises OSError or TimeoutError."""
        connection = await self._open(worker, _CONNECT_TIMEOUT)
        self.release(worker, connection)

    def release(self, worker: Worker, connection: ClientConnection) -> None:
        """Keep a connection that can be reused, else close it."""
        idle = self._idle_by_id.setdefault(worker.worker_id, [])
        usable = connection.is_reusable(self._clock.now())
        if usable and len(idle) < _MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that the worker is about to close."""
        now = self._clock.now()
        for worker_id, idle in tuple(self._idle_by_id.items()):
            kept = []
            for connection in idle:
                if connection.is_reusable(now):
                    kept.append(connection)
                else:
                    connection.close()
            self._idle_by_id[worker_id] = kept
            if not kept:
                self._idle_by_id.pop(worker_id)

    def retain(self, worker_ids: frozenset[str]) -> None:
        """Close the connections to all workers except these."""
        for worker_id in tuple(self._idle_by_id):
            if worker_id not in worker_ids:
                self._close(worker_id)

    def close(self) -> None:
        """Close every idle connection."""
        for worker_id in tuple(self._idle_by_id):
            self._close(worker_id)

    async def _open(
        self, worker: Worker, time_left: Millis
    ) -> ClientConnection:
        return await connect(
            worker.address,
            self._clock,
            min(time_left, _CONNECT_TIMEOUT),
            self._limits,
        )

    def _close(self, worker_id: str) -> None:
        for connection in self._idle_by_id.pop(worker_id):
            connection.close()
