"""Measurements of an engine's prefill, taken by its owner."""

import math

from verbenathread.scheduling.estimates import PrefillCost
from verbenathread.scheduling.holds import Hold
from verbenathread.scheduling.length_classes import PRIORITY_LEVELS
from verbenathread.scheduling.queueing import QueuedRequest
from verbenathread.types import LengthClass, Millis

_HALF_LIFE_MS = 20000.0
_MAX_SHARE = 0.9


class PrefillUsage:
    """Prefill time granted at one engine, by length class and by level."""

    def __init__(self) -> None:
        """Start with nothing granted."""
        self._granted: list[float] = [0 for _ in LengthClass]
        self._decayed: list[float] = [0 for _ in range(PRIORITY_LEVELS)]
        self._decayed_at: Millis = 0

    def record(self, queued: QueuedRequest, now: Millis) -> None:
        """Count the prefill of a granted request."""
        self._decay(now)
        self._granted[queued.length] += queued.prefill_ms
        self._decayed[queued.level] += queued.prefill_ms

    def more_urgent_share(self, level: int, now: Millis) -> float:
        """Return the share of time used by more urgent levels, at most 0.9."""
        self._decay(now)
        more_urgent = sum(self._decayed[:level])
        # With continuous use the sum converges to half-life / ln 2.
        return min(_MAX_SHARE, more_urgent * math.log(2) / _HALF_LIFE_MS)

    def granted_by_class(self) -> tuple[Millis, Millis, Millis]:
        """Return the total prefill granted, by length class, in ms."""
        short, middle, long = self._granted
        return int(short), int(middle), int(long)

    def _decay(self, now: Millis) -> None:
        elapsed = now - self._decayed_at
        if elapsed <= 0:
            return
        kept = 0.5 ** (elapsed / _HALF_LIFE_MS)
        self._decayed = [part * kept for part in self._decayed]
        self._decayed_at = now


class BusyPeriodMeter:
    """Measures busy periods of the engine's prefill."""

    def __init__(self, cost: PrefillCost) -> None:
        """Add each busy period to the estimates of ``cost``."""
        self._cost = cost
        self._outstanding = 0
        self._started_at: Millis = 0
        self._prompts: list[int] = []
        self._is_valid = True

    def record_start(self, now: Millis) -> None:
        """Record that the engine has accepted an attempt."""
        if not self._outstanding:
            self._started_at = now
            self._prompts = []
            self._is_valid = True
        self._outstanding += 1

    def record_first_token(self, hold: Hold, now: Millis) -> None:
        """Record the first token of an attempt."""
        if hold.started_at is None:
            return
        if hold.request.group or not hold.request.work.service:
            # The engine prefills only a part of a group's prompt. An attempt
            # without a service was restored at a takeover and started earlier.
            self._is_valid = False
        self._prompts.append(hold.request.work.prompt_tokens)
        self._finish_one(now)

    def record_drop(self, hold: Hold, now: Millis) -> None:
        """Record the end of an attempt, perhaps before its first token."""
        if hold.started_at is None or hold.first_token_at is not None:
            return
        self._is_valid = False
        self._finish_one(now)

    def _finish_one(self, now: Millis) -> None:
        self._outstanding = max(0, self._outstanding - 1)
        if not self._outstanding and self._is_valid:
            self._cost.observe_busy_period(
                now - self._started_at, self._prompts
            )
