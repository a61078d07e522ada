"""Decides which queued requests are granted memory of an engine now.

The most urgent go first. The oldest request above the short class is
protected: a later request above that class may overtake it only if it is
expected to end before the protected one can start, or if its memory fits
beside it (EASY backfilling, Lifka 1995). Short prompts may always overtake it.
So a long prompt waits for the current holds and for short prompts, not for
everything that arrives after it.
"""

from collections.abc import Iterable

from verbenathread.scheduling.forecast import PrefillWindows
from verbenathread.scheduling.groups import group_sort_key
from verbenathread.scheduling.holds import Hold, HoldTable, memory_forecast
from verbenathread.scheduling.queueing import QueuedRequest, RequestQueue
from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass, Millis


def required_headroom(
    holds: HoldTable,
    length: LengthClass,
    policy: settings_pb2.PolicySettings,
) -> int:
    """Return the memory that must stay free beside a prompt of this class.

    Memory that short prompts already hold counts towards their headroom.
    """
    if length == LengthClass.SHORT:
        return 0
    headroom = int(holds.memory_tokens * policy.short_headroom)
    return max(0, headroom - holds.short_tokens)


class ProtectedStart:
    """Expected start of the protected request, never after its first forecast.

    Requests that overtake it may run longer than expected. If the start moved
    later with each forecast, others could overtake it forever.
    """

    def __init__(self) -> None:
        """Start without a protected request."""
        self._attempt_id = ''
        self._starts_at: float = 0

    def remaining(
        self, queued: QueuedRequest, starts_in: float, now: Millis
    ) -> float:
        """Return ms until the expected start; 0 once it has passed."""
        if queued.request.attempt_id != self._attempt_id:
            self._attempt_id = queued.request.attempt_id
            self._starts_at = now + starts_in
        return max(0, min(starts_in, self._starts_at - now))


class GrantPass:
    """One pass over the queue of an engine."""

    def __init__(
        self,
        holds: HoldTable,
        policy: settings_pb2.PolicySettings,
        tuning: Tuning,
        now: Millis,
    ) -> None:
        """Start from the current holds."""
        self._holds = holds
        self._policy = policy
        self._tuning = tuning
        self._now = now
        self._windows = PrefillWindows(holds, tuning, now)
        self._protected: QueuedRequest | None = None
        self._starts_in: float = 0
        self._spare_tokens = 0

    def protect_oldest(
        self, queue: RequestQueue, protected_start: ProtectedStart
    ) -> None:
        """Protect the oldest queued request above the short class."""
        if not self._tuning.backfill:
            return
        longer = [
            queued for queued in queue if queued.length != LengthClass.SHORT
        ]
        if not longer:
            return
        oldest = min(longer, key=_arrival_key)
        forecast = memory_forecast(
            self._holds, self._missing_tokens(oldest), self._now
        )
        self._protected = oldest
        self._starts_in = protected_start.remaining(
            oldest, forecast.wait, self._now
        )
        # Once the expected start has passed without enough memory, none is
        # spare for others.
        if forecast.wait <= 0 or self._starts_in > 0:
            self._spare_tokens = max(0, forecast.surplus)

    @property
    def is_closed(self) -> bool:
        """Return whether no further request can be granted in this pass."""
        return self._windows.is_closed

    def accept(self, queued: QueuedRequest) -> bool:
        """Return whether to grant a request now; if so, count it."""
        if not self._windows.has_room(queued.length):
            return False
        if self._missing_tokens(queued) > 0:
            if not self._tuning.backfill:
                self._windows.restrict_to_short()
            return False
        if not self._may_overtake(queued):
            return False
        self._windows.add(queued)
        if queued is self._protected:
            self._protected = None
        return True

    def _missing_tokens(self, queued: QueuedRequest) -> int:
        headroom = required_headroom(self._holds, queued.length, self._policy)
        return queued.request.memory_tokens + headroom - self._holds.free_tokens

    def _may_overtake(self, queued: QueuedRequest) -> bool:
        if self._protected is None or queued is self._protected:
            return True
        if queued.length == LengthClass.SHORT:
            return True
        tokens = queued.request.memory_tokens
        if queued.prefill_ms + queued.output_ms <= self._starts_in:
            return True
        if tokens <= self._spare_tokens:
            self._spare_tokens -= tokens
            return True
        return False


def memory_ahead(queue: Iterable[QueuedRequest], queued: QueuedRequest) -> int:
    """Return the memory that older requests will take before this one.

    Older requests above the short class are protected one after the other;
    short prompts have their own headroom.
    """
    if queued.length == LengthClass.SHORT:
        return 0
    tokens = 0
    for other in queue:
        if other.length == LengthClass.SHORT or other is queued:
            continue
        if _arrival_key(other) < _arrival_key(queued):
            tokens += other.request.memory_tokens
    return tokens


def must_yield(hold: Hold, queue: Iterable[QueuedRequest]) -> bool:
    """Return whether a group that precedes the hold's group is queued."""
    own_key = group_sort_key(hold.request)
    return any(
        other.request.group and group_sort_key(other.request) < own_key
        for other in queue
    )


def _arrival_key(queued: QueuedRequest) -> tuple[Millis, str]:
    return queued.request.work.arrival, queued.request.attempt_id
