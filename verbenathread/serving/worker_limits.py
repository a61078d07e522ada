"""Limits that workers in need name: requests a second from all gateways.

Designed for one worker in need among others that take its load, and for all
workers of a service in need during a burst. Every gateway counts the sends of
all gateways to such a worker, from their notices, so the limit needs no shares
and no owner. Gateways that choose the worker within the delay of a notice
exceed it together; as every send counts, they pause the longer after that, and
the rate over some seconds holds.
"""

from verbenathread.serving.types import Worker
from verbenathread.types import Millis

_MS_PER_SECOND = 1000
# A worker may get the requests of this time at once, and at least one.
_BURST: Millis = 500
# A limit below this, also 0, allows this rate: only an answer tells that the
# limit is lifted.
_MIN_RATE = 0.1
# A limit that no answer has named for this long is forgotten.
_RETENTION: Millis = 60_000
# A gateway announces a limit again that it heard after this time, for others
# that missed its notice.
_ANNOUNCE_INTERVAL: Millis = 1000


class _Limit:
    """The limit of one incarnation, as a bucket that drains at its rate."""

    def __init__(self, started_at: int, now: Millis) -> None:
        self.started_at = started_at
        self.rate: float = 0
        # False once an answer names no limit any more. The count goes on, as
        # the limit may be named again.
        self.is_named = False
        self.named_at = now
        self.announced_at: Millis | None = None
        # Requests sent and not yet worked off at the rate.
        self._level: float = 0
        self._drained_at = now

    def name(self, rate: float, now: Millis) -> None:
        """Set the rate in requests a second."""
        self._drain(now)
        self.rate = max(_MIN_RATE, rate)
        self.is_named = True
        self.named_at = now

    def count(self, now: Millis) -> None:
        """Count a request."""
        self._drain(now)
        self._level += 1

    def wait(self, now: Millis) -> Millis:
        """Return the time until another request may be sent."""
        if not self.is_named:
            return 0
        self._drain(now)
        capacity = max(1, self.rate * _BURST / _MS_PER_SECOND)
        excess = self._level + 1 - capacity
        if excess <= 0:
            return 0
        return int(excess / self.rate * _MS_PER_SECOND) + 1

    def _drain(self, now: Millis) -> None:
        drained = self.rate * (now - self._drained_at) / _MS_PER_SECOND
        self._level = max(0, self._level - drained)
        self._drained_at = now


class WorkerLimits:
    """The limits that are named now, by worker."""

    def __init__(self) -> None:
        """Start without any."""
        self._limit_by_id: dict[str, _Limit] = {}

    def name(self, worker: Worker, rate: float, now: Millis) -> bool:
        """Set a worker's limit; return whether to announce it.

        ``rate`` is in requests a second from all gateways together.
        """
        limit = self._limit_by_id.get(worker.worker_id)
        if limit is None or limit.started_at != worker.started_at:
            limit = _Limit(worker.started_at, now)
            self._limit_by_id[worker.worker_id] = limit
        was_named = limit.is_named and limit.rate == max(_MIN_RATE, rate)
        limit.name(rate, now)
        if was_named and limit.announced_at is not None:
            if now - limit.announced_at < _ANNOUNCE_INTERVAL:
                return False
        limit.announced_at = now
        return True

    def lift(self, worker: Worker, sent_at: Millis) -> bool:
        """Lift a worker's limit; return False if it names one.

        Its answer to a request that was sent at ``sent_at`` named none; a limit
        named since then stays.
        """
        limit = self._limit_by_id.get(worker.worker_id)
        if limit is None or limit.started_at != worker.started_at:
            return False
        if not limit.is_named or limit.named_at >= sent_at:
            return False
        limit.is_named = False
        return True

    def record_send(self, worker_id: str, now: Millis) -> None:
        """Count a send by any gateway."""
        limit = self._limit_by_id.get(worker_id)
        if limit is not None:
            limit.count(now)

    def is_empty(self) -> bool:
        """Return whether no worker has named a limit lately."""
        return not self._limit_by_id

    def is_named(self, worker_id: str) -> bool:
        """Return whether a worker names a limit now."""
        limit = self._limit_by_id.get(worker_id)
        return limit is not None and limit.is_named

    def left(self, worker: Worker, now: Millis) -> Millis:
        """Return how long to send nothing to ``worker``; 0 if it takes more."""
        limit = self._limit_by_id.get(worker.worker_id)
        if limit is None or limit.started_at != worker.started_at:
            return 0
        return limit.wait(now)

    def drop_expired(self, now: Millis) -> None:
        """Forget limits that no answer has named for long."""
        for worker_id, limit in tuple(self._limit_by_id.items()):
            if now - limit.named_at > _RETENTION:
                self._limit_by_id.pop(worker_id)
