"""Expected waiting times at one engine, from the owner's ledger."""

from collections.abc import Iterable

from verbenathread.scheduling.holds import Hold, HoldTable, memory_forecast
from verbenathread.scheduling.prefill_usage import PrefillUsage
from verbenathread.scheduling.queueing import (
    QueuedRequest,
    RequestQueue,
    queue_key,
)
from verbenathread.scheduling.tuning import Tuning
from verbenathread.types import LengthClass, Millis


class WaitForecast:
    """Forecasts waiting times from the current load of one engine."""

    def __init__(
        self,
        holds: HoldTable,
        queue: RequestQueue,
        usage: PrefillUsage,
        tuning: Tuning,
        now: Millis,
    ) -> None:
        """Forecast from the current state of the ledger's parts."""
        self._holds = holds
        self._queue = queue
        self._usage = usage
        self._tuning = tuning
        self._now = now

    def wait(self, queued: QueuedRequest, required_tokens: int) -> float:
        """Return expected ms until the engine starts the prompt.

        ``required_tokens`` is the memory that must be free before it.
        """
        prefill: float = 0
        for hold in self._holds:
            if hold.level <= queued.level:
                prefill += hold.remaining_prefill(self._now)
        missing_tokens = required_tokens - self._holds.free_tokens
        own_key = queue_key(queued)
        for other in self._queue:
            if queue_key(other) >= own_key:
                continue
            prefill += other.prefill_ms
        release = memory_forecast(self._holds, missing_tokens, self._now)
        memory_wait = release.wait
        if release.surplus < 0:
            # The requests queued before it must run and finish first.
            memory_wait += self._queue_time(queued)
        if self._tuning.slow_memory_release:
            memory_wait = self._slowed(memory_wait, queued.level)
        return max(self._slowed(prefill, queued.level), memory_wait)

    def prefill_time(self, queued: QueuedRequest) -> float:
        """Return expected ms of prefill beside more urgent levels.

        These take their share of the engine meanwhile.
        """
        return self._slowed(queued.prefill_ms, queued.level)

    def half_drain_time(self) -> Millis:
        """Return expected ms until half of the queued prefill is done."""
        prefill = sum(queued.prefill_ms for queued in self._queue)
        return int(prefill / 2)

    def _queue_time(self, queued: QueuedRequest) -> float:
        """Return ms for which earlier requests would fill all memory."""
        token_ms: float = 0
        for other in self._queue:
            if other is queued or other.length == LengthClass.SHORT:
                continue
            if other.queued_at > queued.queued_at:
                continue
            time = other.prefill_ms + other.output_ms
            token_ms += time * other.request.memory_tokens
        return token_ms / self._holds.memory_tokens

    def _slowed(self, time: float, level: int) -> float:
        return time / (1 - self._usage.more_urgent_share(level, self._now))


class PrefillWindows:
    """Limits the prefill in progress at the engine, by length class."""

    def __init__(
        self, holds: Iterable[Hold], tuning: Tuning, now: Millis
    ) -> None:
        """Count the holds that have no first token yet."""
        self._tuning = tuning
        # Long prompts are limited by memory alone.
        self._window_by_class = (tuning.short_window, tuning.middle_window, 0)
        self._prefill: list[float] = [0 for _ in LengthClass]
        self._short_only = False
        self.is_closed = False
        for hold in holds:
            if hold.first_token_at is not None:
                continue
            self._prefill[hold.length] += hold.remaining_prefill(now)

    def has_room(self, length: LengthClass) -> bool:
        """Return whether a prompt of this class may go to the engine."""
        if self.is_closed:
            return False
        if length == LengthClass.SHORT:
            return self._in_window(length)
        if self._short_only:
            return False
        return self._in_window(length)

    def add(self, queued: QueuedRequest) -> None:
        """Count a request that is granted."""
        self._prefill[queued.length] += queued.prefill_ms

    def restrict_to_short(self) -> None:
        """Let only short prompts overtake one that waits for memory.

        Without class priority nothing overtakes it.
        """
        self._short_only = True
        self.is_closed = not self._tuning.class_priority

    def _in_window(self, length: LengthClass) -> bool:
        window = self._window_by_class[length]
        return not window or self._prefill[length] < window


def backlog_by_class(
    holds: Iterable[Hold], queue: Iterable[QueuedRequest], now: Millis
) -> tuple[Millis, Millis, Millis]:
    """Return the expected remaining prefill, by length class, in ms."""
    backlog: list[float] = [0 for _ in LengthClass]
    for hold in holds:
        backlog[hold.length] += hold.remaining_prefill(now)
    for queued in queue:
        backlog[queued.length] += queued.prefill_ms
    short, middle, long = backlog
    return int(short), int(middle), int(long)
