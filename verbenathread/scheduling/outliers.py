"""Engines that fail are put aside, and let back by probes."""

from typing import NamedTuple

from verbenathread.types import Millis, UpstreamId

# Failures in a row that put an engine aside.
CONSECUTIVE_FAILURES = 3
BASE_EJECTION: Millis = 2000
_LONGEST_EJECTION: Millis = 60000
# A probe that is not heard of for this long counts as failed.
PROBE_TIMEOUT: Millis = 30000


class _Health(NamedTuple):
    """What attempts at one engine came to."""

    failures: int = 0
    ejections: int = 0
    # Nothing but a probe goes there after this time, nothing before it.
    until: Millis | None = None
    probe_at: Millis | None = None


_HEALTHY = _Health()


class OutlierTracker:
    """Failures in a row by engine, as one entry sees them."""

    def __init__(self) -> None:
        """Think well of every engine."""
        self._health_by_id: dict[UpstreamId, _Health] = {}

    def ejected(self, now: Millis) -> frozenset[UpstreamId]:
        """Return the engines that the next request must pass over.

        One that waits for a probe is not among them, until the probe is
        sent. If every engine were aside the caller should try any of them.
        """
        return frozenset(
            upstream_id
            for upstream_id, health in self._health_by_id.items()
            if _is_aside(health, now)
        )

    def record_sent(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Note an attempt; at an engine put aside it is the probe."""
        health = self._health_by_id.get(upstream_id, _HEALTHY)
        if health.until is not None:
            self._health_by_id[upstream_id] = health._replace(probe_at=now)

    def record_success(self, upstream_id: UpstreamId) -> None:
        """Let the engine back."""
        self._health_by_id.pop(upstream_id, None)

    def record_failure(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Count a failure; put the engine aside when there are enough."""
        health = self._health_by_id.get(upstream_id, _HEALTHY)
        failures = health.failures + 1
        health = health._replace(failures=failures, probe_at=None)
        if failures >= CONSECUTIVE_FAILURES:
            ejection = BASE_EJECTION * 2**health.ejections
            health = health._replace(
                ejections=health.ejections + 1,
                until=now + min(ejection, _LONGEST_EJECTION),
            )
        self._health_by_id[upstream_id] = health

    def eject(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Put an engine aside on somebody's word, for the first time span."""
        health = self._health_by_id.get(upstream_id, _HEALTHY)
        until = max(health.until or 0, now + BASE_EJECTION)
        self._health_by_id[upstream_id] = health._replace(
            until=until, probe_at=None
        )

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is known of an engine, as when it starts anew."""
        self._health_by_id.pop(upstream_id, None)


def _is_aside(health: _Health, now: Millis) -> bool:
    if health.until is None:
        return False
    if now < health.until:
        return True
    if health.probe_at is None:
        return False
    return now < health.probe_at + PROBE_TIMEOUT
