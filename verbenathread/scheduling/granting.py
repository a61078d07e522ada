"""Which waiting asks get the memory of an engine now.

The most urgent go first. The oldest ask above the short class is protected:
another may pass it only if that is expected to end before the protected one
can begin, or fits beside it (EASY backfilling, Lifka 1995). So a long prompt
waits for those that hold memory, not for all that come after it.
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
    """Return the free memory that a prompt of this class must leave.

    What short prompts hold already counts against what is kept for them.
    """
    if length == LengthClass.SHORT:
        return 0
    headroom = int(holds.memory_tokens * policy.short_headroom)
    return max(0, headroom - holds.short_tokens)


class ProtectedStart:
    """When the protected ask should begin, as first forecast.

    The forecast is kept: those that pass may take longer than expected, and
    a new forecast each time would let others pass for ever.
    """

    def __init__(self) -> None:
        """Promise nothing yet."""
        self._attempt_id = ''
        self._starts_at: float = 0

    def remaining(
        self, queued: QueuedRequest, starts_in: float, now: Millis
    ) -> float:
        """Return ms until the ask should begin; 0 when that has passed."""
        if queued.request.attempt_id != self._attempt_id:
            self._attempt_id = queued.request.attempt_id
            self._starts_at = now + starts_in
        return max(0, min(starts_in, self._starts_at - now))


class GrantPass:
    """One look at the queue of an engine."""

    def __init__(
        self,
        holds: HoldTable,
        policy: settings_pb2.PolicySettings,
        tuning: Tuning,
        now: Millis,
    ) -> None:
        """Look at the memory as it is now."""
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
        """Protect the oldest ask above the short class."""
        if not self._tuning.backfill:
            return
        longer = [
            waiting for waiting in queue if waiting.length != LengthClass.SHORT
        ]
        if not longer:
            return
        oldest = min(longer, key=_arrival_key)
        outlook = memory_forecast(
            self._holds, self._missing_tokens(oldest), self._now
        )
        self._protected = oldest
        self._starts_in = protected_start.remaining(
            oldest, outlook.wait, self._now
        )
        if outlook.wait <= 0 or self._starts_in > 0:
            self._spare_tokens = max(0, outlook.surplus)

    @property
    def is_closed(self) -> bool:
        """Tell whether nobody else can get memory in this look."""
        return self._windows.is_closed

    def accept(self, queued: QueuedRequest) -> bool:
        """Tell whether an ask gets its memory now."""
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
        kept = required_headroom(self._holds, queued.length, self._policy)
        return queued.request.memory_tokens + kept - self._holds.free_tokens

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
    """Return the memory that older asks will take before this one.

    Those are protected in the order of their age; short ones have headroom.
    """
    if queued.length == LengthClass.SHORT:
        return 0
    tokens = 0
    for waiting in queue:
        if waiting.length == LengthClass.SHORT or waiting is queued:
            continue
        if _arrival_key(waiting) < _arrival_key(queued):
            tokens += waiting.request.memory_tokens
    return tokens


def must_yield(hold: Hold, queue: Iterable[QueuedRequest]) -> bool:
    """Tell whether a group that comes before this hold's waits here."""
    place = group_sort_key(hold.request)
    return any(
        waiting.request.group and group_sort_key(waiting.request) < place
        for waiting in queue
    )


def _arrival_key(queued: QueuedRequest) -> tuple[Millis, str]:
    return queued.request.work.arrival, queued.request.attempt_id
