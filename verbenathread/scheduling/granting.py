"""Which waiting asks get the memory of an engine now.

The most urgent go first. The oldest ask above the short class is protected:
another may pass it only if that is expected to end before the protected one
can begin, or fits beside it (EASY backfilling, Lifka 1995). So a long prompt
waits for those that hold memory, not for all that come after it.
"""

from collections.abc import Iterable

from verbenathread.scheduling.forecast import Gate
from verbenathread.scheduling.groups import group_order
from verbenathread.scheduling.holds import Hold, HoldBook, memory_outlook
from verbenathread.scheduling.queueing import Waiting, WaitQueue
from verbenathread.scheduling.tuning import Tuning
from verbenathread.schema import settings_pb2
from verbenathread.types import LengthClass, Millis


def kept_for_short(
    book: HoldBook,
    length: LengthClass,
    policy: settings_pb2.PolicySettings,
) -> int:
    """Return the free memory that a prompt of this class must leave.

    What short prompts hold already counts against what is kept for them.
    """
    if length == LengthClass.SHORT:
        return 0
    headroom = int(book.memory_tokens * policy.short_headroom)
    return max(0, headroom - book.short_tokens)


class Promise:
    """When the protected ask should begin, as first forecast.

    The forecast is kept: those that pass may take longer than expected, and
    a new forecast each time would let others pass for ever.
    """

    def __init__(self) -> None:
        """Promise nothing yet."""
        self._attempt_id = ''
        self._begins_at: float = 0

    def left(self, waiting: Waiting, begins_in: float, now: Millis) -> float:
        """Return ms until the ask should begin; 0 when that has passed."""
        if waiting.ask.attempt_id != self._attempt_id:
            self._attempt_id = waiting.ask.attempt_id
            self._begins_at = now + begins_in
        return max(0, min(begins_in, self._begins_at - now))


class Granter:
    """One look at the queue of an engine."""

    def __init__(
        self,
        book: HoldBook,
        policy: settings_pb2.PolicySettings,
        tuning: Tuning,
        now: Millis,
    ) -> None:
        """Look at the memory as it is now."""
        self._book = book
        self._policy = policy
        self._tuning = tuning
        self._now = now
        self._gate = Gate(book, tuning, now)
        self._protected: Waiting | None = None
        self._begins_in: float = 0
        self._beside = 0

    def protect(self, queue: WaitQueue, promise: Promise) -> None:
        """Protect the oldest ask above the short class."""
        if not self._tuning.backfill:
            return
        longer = [
            waiting for waiting in queue if waiting.length != LengthClass.SHORT
        ]
        if not longer:
            return
        oldest = min(longer, key=_age)
        outlook = memory_outlook(self._book, self._missing(oldest), self._now)
        self._protected = oldest
        self._begins_in = promise.left(oldest, outlook.wait, self._now)
        if outlook.wait <= 0 or self._begins_in > 0:
            self._beside = max(0, outlook.surplus)

    @property
    def is_shut(self) -> bool:
        """Tell whether nobody else can get memory in this look."""
        return self._gate.is_shut

    def may_have(self, waiting: Waiting) -> bool:
        """Tell whether an ask gets its memory now."""
        if not self._gate.is_open(waiting.length):
            return False
        if self._missing(waiting) > 0:
            if not self._tuning.backfill:
                self._gate.close_for_longer()
            return False
        if not self._may_pass(waiting):
            return False
        self._gate.count(waiting)
        if waiting is self._protected:
            self._protected = None
        return True

    def _missing(self, waiting: Waiting) -> int:
        kept = kept_for_short(self._book, waiting.length, self._policy)
        return waiting.ask.memory_tokens + kept - self._book.free

    def _may_pass(self, waiting: Waiting) -> bool:
        if self._protected is None or waiting is self._protected:
            return True
        if waiting.length == LengthClass.SHORT:
            return True
        tokens = waiting.ask.memory_tokens
        if waiting.prefill + waiting.output <= self._begins_in:
            return True
        if tokens <= self._beside:
            self._beside -= tokens
            return True
        return False


def ahead_of(queue: Iterable[Waiting], asked: Waiting) -> int:
    """Return the memory that older asks will take before this one.

    Those are protected in the order of their age; short ones have headroom.
    """
    if asked.length == LengthClass.SHORT:
        return 0
    tokens = 0
    for waiting in queue:
        if waiting.length == LengthClass.SHORT or waiting is asked:
            continue
        if _age(waiting) < _age(asked):
            tokens += waiting.ask.memory_tokens
    return tokens


def must_yield(hold: Hold, queue: Iterable[Waiting]) -> bool:
    """Tell whether a group that comes before this hold's waits here."""
    place = group_order(hold.ask)
    return any(
        waiting.ask.group and group_order(waiting.ask) < place
        for waiting in queue
    )


def _age(waiting: Waiting) -> tuple[Millis, str]:
    return waiting.ask.work.arrival, waiting.ask.attempt_id
