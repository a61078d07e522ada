"""Outlier ejection: engines that fail are passed over until a probe works."""

from typing import NamedTuple

from verbenathread.types import Millis, UpstreamId

# Consecutive failures that eject an engine.
CONSECUTIVE_FAILURES = 3
BASE_EJECTION: Millis = 2000
_MAX_EJECTION: Millis = 60000
# A probe without a result for this long counts as failed.
PROBE_TIMEOUT: Millis = 30000


class _Health(NamedTuple):
    """Recent failures and ejections of one engine."""

    failures: int = 0
    ejections: int = 0
    # Nothing is sent before this time, and only a probe after it.
    ejected_until: Millis | None = None
    probed_at: Millis | None = None


_HEALTHY = _Health()


class OutlierTracker:
    """Consecutive failures by engine, as seen by one entry."""

    def __init__(self) -> None:
        """Start with every engine healthy."""
        self._health_by_id: dict[UpstreamId, _Health] = {}

    def ejected(self, now: Millis) -> frozenset[UpstreamId]:
        """Return the engines that the next request must not use.

        An engine that is due for a probe is left out until the probe is sent.
        If every engine is ejected, the caller should try any of them.
        """
        return frozenset(
            upstream_id
            for upstream_id, health in self._health_by_id.items()
            if _is_ejected(health, now)
        )

    def record_sent(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Record an attempt; at an ejected engine it is the probe."""
        health = self._health_by_id.get(upstream_id, _HEALTHY)
        if health.ejected_until is not None:
            self._health_by_id[upstream_id] = health._replace(probed_at=now)

    def record_success(self, upstream_id: UpstreamId) -> None:
        """End the engine's ejection and reset its failures."""
        self._health_by_id.pop(upstream_id, None)

    def record_failure(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Count a failure; eject the engine once there are enough."""
        health = self._health_by_id.get(upstream_id, _HEALTHY)
        failures = health.failures + 1
        health = health._replace(failures=failures, probed_at=None)
        if failures >= CONSECUTIVE_FAILURES:
            ejection = BASE_EJECTION * 2**health.ejections
            health = health._replace(
                ejections=health.ejections + 1,
                ejected_until=now + min(ejection, _MAX_EJECTION),
            )
        self._health_by_id[upstream_id] = health

    def eject(self, upstream_id: UpstreamId, now: Millis) -> None:
        """Eject an engine for the base time, however few its failures."""
        health = self._health_by_id.get(upstream_id, _HEALTHY)
        until = max(health.ejected_until or 0, now + BASE_EJECTION)
        self._health_by_id[upstream_id] = health._replace(
            ejected_until=until, probed_at=None
        )

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove the state of an engine, as when it restarts."""
        self._health_by_id.pop(upstream_id, None)


def _is_ejected(health: _Health, now: Millis) -> bool:
    if health.ejected_until is None:
        return False
    if now < health.ejected_until:
        return True
    if health.probed_at is None:
        return False
    return now < health.probed_at + PROBE_TIMEOUT
