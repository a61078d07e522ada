"""Connections to workers, kept for the next request."""

from verbenathread.clock import Clock
from verbenathread.http1.client import ClientConnection, connect
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# A worker answers an opening within a few ms; one that is dark never does.
_CONNECT_LIMIT: Millis = 300
# Idle connections kept to one worker; a burst opens new ones.
_MOST_IDLE = 8


class ConnectionPool:
    """Idle connections by worker."""

    def __init__(self, clock: Clock) -> None:
        """Hold no connection."""
        self._clock = clock
        self._idle_by_id: dict[str, list[ClientConnection]] = {}

    async def acquire(self, worker: Worker, left: Millis) -> ClientConnection:
        """Return a connection that stands; raises OSError, TimeoutError."""
        idle = self._idle_by_id.get(worker.worker_id, [])
        now = self._clock.now()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return await connect(
            worker.address, self._clock, min(left, _CONNECT_LIMIT)
        )

    def release(self, worker: Worker, connection: ClientConnection) -> None:
        """Keep a connection whose exchange ended cleanly, else close it."""
        idle = self._idle_by_id.setdefault(worker.worker_id, [])
        usable = connection.is_reusable(self._clock.now())
        if usable and len(idle) < _MOST_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def close_expired(self) -> None:
        """Close connections that the worker will close soon."""
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
        """Close the connections to workers that are gone."""
        for worker_id in tuple(self._idle_by_id):
            if worker_id not in worker_ids:
                self._close(worker_id)

    def close(self) -> None:
        """Close every idle connection."""
        for worker_id in tuple(self._idle_by_id):
            self._close(worker_id)

    def _close(self, worker_id: str) -> None:
        for connection in self._idle_by_id.pop(worker_id):
            connection.close()
