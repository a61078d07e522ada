"""Decides when a send whose worker sends nothing is probed or given up.

Designed for long prompts beside crashes: a worker that reads 200 k tokens is
silent for seconds and must not lose its work, one that died must be left while
the caller still waits.
"""

import enum
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis

# A worker that answers probes but sends nothing for this many timeouts has
# lost the request. Prefills of other prompts take less, about 2 s at most.
_MAX_SILENT_TIMEOUTS = 3
# Unanswered probes after which a worker counts as dead: a single one may be
# lost on the way.
_MAX_MISSES = 2
_MISS_DELAY: Millis = 100
# A worker that was replaced counts as dead after this time without data. The
# list of workers may name the replacement after it took the request.
_REPLACED_SILENCE: Millis = 500


class StallTimeouts(NamedTuple):
    """Times without data after which a worker is probed."""

    first_event: Millis
    between_events: Millis
    # A shorter time until the probe, which leaves the time until the worker
    # counts as having lost the request as it is.
    max_probe_delay: Millis


class Liveness(enum.Enum):
    """What a probe tells of the incarnation that has the request."""

    ALIVE = 'alive'
    SILENT = 'silent'
    # Another incarnation or another worker answers at its address.
    REPLACED = 'replaced'


class StallWatch:
    """The silence of one worker during one send."""

    def __init__(self, clock: Clock, timeouts: StallTimeouts) -> None:
        """Begin at the time of the send."""
        self._clock = clock
        self._timeouts = timeouts
        self.last_received_at = clock.now()
        self._probed_at = self.last_received_at
        self._misses = 0
        self._has_started = False
        # Others find the worker silent, or a later incarnation is known.
        self.is_suspect = False
        self.is_replaced = False

    def record_data(self, *, is_event: bool) -> None:
        """Record that the worker sent a part of the response."""
        self.last_received_at = self._clock.now()
        self._has_started = self._has_started or is_event
        self._misses = 0

    def record_probe(self, liveness: Liveness, asked_at: Millis) -> None:
        """Record the result of a probe that was sent at ``asked_at``."""
        self._probed_at = self._clock.now()
        if liveness is Liveness.ALIVE or self.last_received_at > asked_at:
            self.is_suspect = False
            self._misses = 0
        elif liveness is Liveness.REPLACED:
            self._misses = _MAX_MISSES
        else:
            self._misses += 1

    def is_dead(self) -> bool:
        """Return whether the worker certainly serves the request no more."""
        silent = self._clock.now() - self.last_received_at
        if self.is_replaced and silent >= _REPLACED_SILENCE:
            return True
        if silent >= self._timeout() * _MAX_SILENT_TIMEOUTS:
            return True
        return self._misses >= _MAX_MISSES

    def probe_time(self) -> Millis:
        """Return when to probe the worker unless it sends data before."""
        active_at = max(self.last_received_at, self._probed_at)
        if self._misses:
            return active_at + _MISS_DELAY
        if self.is_suspect:
            return active_at
        return active_at + min(self._timeout(), self._timeouts.max_probe_delay)

    def next_check(self) -> Millis:
        """Return when :meth:`is_dead` or :meth:`probe_time` may change."""
        if self.is_replaced:
            return min(
                self.probe_time(), self.last_received_at + _REPLACED_SILENCE
            )
        return self.probe_time()

    def _timeout(self) -> Millis:
        if self._has_started:
            return self._timeouts.between_events
        return self._timeouts.first_event
