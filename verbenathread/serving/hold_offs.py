"""Workers that refused with a Retry-After and must be left alone until then.

Designed for a burst that fills the workers of a service: each worker refuses
what it can't queue, and more requests to it would only be refused too.
"""

from random import Random

from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# Gateways that were refused at the same time return spread over this share of
# the time that the worker asked for, up to the maximum.
_SPREAD_SHARE = 0.1
_MAX_SPREAD: Millis = 500
# Longer times are cut to a day; a worker restarts more often than that.
_MAX_HOLD_OFF: Millis = 86_400_000


class HoldOffs:
    """Times before which workers accept nothing from this gateway.

    They hold for one incarnation of a worker.
    """

    def __init__(self, random: Random) -> None:
        """Start without any; ``random`` spreads the returns."""
        self._random = random
        self._until_by_key: dict[tuple[str, int], Millis] = {}

    def record(self, worker: Worker, wait: Millis, now: Millis) -> None:
        """Leave ``worker`` alone for ``wait`` ms, or longer if already so."""
        wait = min(wait, _MAX_HOLD_OFF)
        spread = min(_MAX_SPREAD, int(wait * _SPREAD_SHARE))
        until = now + wait + self._random.randint(0, spread)
        key = _key(worker)
        self._until_by_key[key] = max(until, self._until_by_key.get(key, 0))

    def is_empty(self) -> bool:
        """Return whether no worker has refused lately."""
        return not self._until_by_key

    def left(self, worker: Worker, now: Millis) -> Millis:
        """Return how long to leave ``worker`` alone; 0 if it may be used."""
        return max(0, self._until_by_key.get(_key(worker), 0) - now)

    def drop_expired(self, now: Millis) -> None:
        """Forget the times that have passed."""
        for key, until in tuple(self._until_by_key.items()):
            if until <= now:
                self._until_by_key.pop(key)


def _key(worker: Worker) -> tuple[str, int]:
    return worker.worker_id, worker.started_at
